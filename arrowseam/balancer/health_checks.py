"""Health checks: which endpoints are asked for a load report and when, and what a report says."""

from __future__ import annotations

from collections.abc import Iterator

from arrowseam.balancer.endpoints import EndpointList, EndpointRecord
from arrowseam.balancer.settings import Settings
from arrowseam.balancer.shares import EndpointShares
from arrowseam.balancer.units import SECOND

BUDGET = 0.01  # what one counted arrival pays for health checks, in the unit of ``Prices.health_check``
MAX_SAVED = 4.0  # health checks that may be saved up, for each endpoint of the list
CHECK_INTERVAL = 5 * SECOND // 2  # an endpoint is not checked again sooner
REPORT_LIFETIME = 4 * SECOND  # a report says something about its endpoint for so long
COST_GAIN = 0.2  # part of the load of a connection that one report replaces: endpoints and loads differ
UTILIZATION_FIELD, IN_FLIGHT_FIELD = "x0", "inflight"  # values of a load report


class HealthChecker:
    """Asks the endpoints for load reports, as often as arrivals pay for it; no request waits for one.

    Guards against endpoints that fill by chance, since a proxy sees only its own connections. A report is
    evidence that reduces an endpoint's chance, like a failure. It does not choose: of two endpoints checked
    for each request the better one, drawn by share alone, would make every endpoint pay for each group.

    Attributes:
        utilization_per_connection: utilization that a connection takes of an endpoint on average; 0: unknown
    """

    def __init__(self, settings: Settings, endpoints: EndpointList, shares: EndpointShares) -> None:
        self.endpoints, self.shares = endpoints, shares
        self.utilization_per_connection = 0.0
        self._tokens = 0.0
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Take over settings."""
        self.settings = settings
        fields = settings.report_fields
        has_reports = settings.limits.health_checks_allowed and UTILIZATION_FIELD in fields
        self._utilization_index = fields.index(UTILIZATION_FIELD) if has_reports else -1

    def earn_budget(self) -> None:
        """Earn what one arrival pays for health checks."""
        count = float(len(self.endpoints.by_id))
        self._tokens += min(count, BUDGET / max(self.settings.prices.health_check, 1e-9))
        self._tokens = min(self._tokens, MAX_SAVED * count)

    def due(self, now: int) -> Iterator[EndpointRecord]:
        """Yield the endpoints to check now, those checked longest ago first, and count them as checked."""
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
        """Take over a load report; return whether it says anything."""
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
            self.utilization_per_connection = mean + COST_GAIN * (load - mean) if mean else load
        return True

    def _reported_in_flight(self, report: tuple[float, ...]) -> float | None:
        """Return the connections that a report tells; None if it tells none, also if it ends before."""
        fields = self.settings.report_fields
        if IN_FLIGHT_FIELD not in fields:
            return None
        index = fields.index(IN_FLIGHT_FIELD)
        return report[index] if index < len(report) else None

    def estimated_utilization(self, endpoint: EndpointRecord) -> float:
        """Return the utilization of an endpoint, by its report and what was sent there since.

        All proxies read the same report: what this one has sent there since, the others have as well.
        """
        since = self.settings.proxy_count * (endpoint.in_flight - endpoint.in_flight_at_report)
        return endpoint.reported_utilization + since * self.utilization_per_connection
