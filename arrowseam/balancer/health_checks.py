"""Health checks: which endpoints are asked for a load report and when, and how reports are used."""

from __future__ import annotations

from collections.abc import Iterator

from arrowseam.balancer.endpoints import EndpointList, EndpointRecord
from arrowseam.balancer.settings import Settings
from arrowseam.balancer.shares import EndpointShares
from arrowseam.balancer.units import SECOND

BUDGET_PER_ARRIVAL = 0.01  # earned by each counted arrival, in the unit of ``Prices.health_check``
MAX_SAVED_CHECKS = 4.0  # health checks that may accumulate, for each endpoint of the list
CHECK_INTERVAL = 5 * SECOND // 2  # an endpoint is not checked again sooner
REPORT_LIFETIME = 4 * SECOND  # an older report is ignored
UTILIZATION_GAIN = 0.2  # weight of one report in ``utilization_per_connection``: endpoints and loads differ
UTILIZATION_FIELD, IN_FLIGHT_FIELD = "x0", "inflight"  # names of fields in a load report


class HealthChecker:
    """Asks the endpoints for load reports, within a budget earned by arrivals; no request waits for one.

    Guards against endpoints that fill up by chance, since a proxy sees only its own connections. A report
    reduces an endpoint's probability in the draw, like a failure. Choosing the better of two endpoints drawn
    by share and checked for each request would instead place every affinity group at every endpoint.

    Attributes:
        utilization_per_connection: average utilization of an endpoint by one connection; 0 = unknown.
    """

    def __init__(self, settings: Settings, endpoints: EndpointList, shares: EndpointShares) -> None:
        self.endpoints, self.shares = endpoints, shares
        self.utilization_per_connection = 0.0
        self._tokens = 0.0
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings
        fields = settings.report_fields
        has_reports = settings.limits.health_checks_allowed and UTILIZATION_FIELD in fields
        self._utilization_index = fields.index(UTILIZATION_FIELD) if has_reports else -1

    def add_budget(self) -> None:
        """Add the budget earned by one arrival."""
        count = float(len(self.endpoints.by_id))
        self._tokens += min(count, BUDGET_PER_ARRIVAL / max(self.settings.prices.health_check, 1e-9))
        self._tokens = min(self._tokens, MAX_SAVED_CHECKS * count)

    def due(self, now: int) -> Iterator[EndpointRecord]:
        """Yield the endpoints to check now, least recently checked first, and mark them as checked."""
        if self._utilization_index < 0 or self._tokens < 1.0:
            return
        usable = self.endpoints.is_usable
        due = [e for e in self.shares.ready if now - e.health_checked_at >= CHECK_INTERVAL and usable(e)]
        due.sort(key=lambda e: e.health_checked_at)
        for endpoint in due[: int(self._tokens)]:
            self._tokens -= 1.0
            endpoint.health_checked_at = now
            yield endpoint

    def on_report(self, endpoint: EndpointRecord, report: tuple[float, ...], now: int) -> bool:
        """Apply a load report; return whether it states a valid utilization."""
        index = self._utilization_index
        if not 0 <= index < len(report) or not report[index] >= 0.0:
            return False
        endpoint.reported_utilization, endpoint.reported_at = report[index], now
        endpoint.in_flight_at_report = endpoint.in_flight
        in_flight = self._reported_in_flight(report)
        if in_flight is None:
            in_flight = float(self.settings.proxy_count * endpoint.in_flight)
        if in_flight >= 1.0:
            load = endpoint.reported_utilization / in_flight
            mean = self.utilization_per_connection
            self.utilization_per_connection = mean + UTILIZATION_GAIN * (load - mean) if mean else load
        return True

    def _reported_in_flight(self, report: tuple[float, ...]) -> float | None:
        """Return the number of connections in a report; None if it has none or is too short."""
        fields = self.settings.report_fields
        if IN_FLIGHT_FIELD not in fields:
            return None
        index = fields.index(IN_FLIGHT_FIELD)
        return report[index] if index < len(report) else None

    def estimated_utilization(self, endpoint: EndpointRecord) -> float:
        """Return the utilization of an endpoint, from its report and the attempts sent there since.

        All proxies get the same report, so the others are assumed to have sent as much as this one.
        """
        since = self.settings.proxy_count * (endpoint.in_flight - endpoint.in_flight_at_report)
        return endpoint.reported_utilization + since * self.utilization_per_connection
