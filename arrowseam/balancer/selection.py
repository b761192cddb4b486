"""Selection: the endpoint of the next attempt, from a weighted random order of the ready endpoints.

Sorting by keys u^(1/share), descending, gives a weighted random order. Drawing one by one without replacement
has the same distribution (Efraimidis and Spirakis, 2006), and usually only the first few are needed.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable
from itertools import accumulate

from arrowseam.balancer.affinity import HEALTHY_FRACTION, rendezvous_order
from arrowseam.balancer.capacity import CapacityEstimate
from arrowseam.balancer.endpoints import EndpointList, EndpointRecord
from arrowseam.balancer.health_checks import REPORT_LIFETIME, HealthChecker
from arrowseam.balancer.outliers import OutlierDetector
from arrowseam.balancer.requests import PendingRequest, RequestTable
from arrowseam.balancer.retries import allowed_endpoints
from arrowseam.balancer.settings import Settings
from arrowseam.balancer.shares import EndpointShares
from arrowseam.balancer.slow_start import SlowStart
from arrowseam.balancer.units import SECOND

REJECTION_DRAWS = 12  # draws by rejection before the exact draw over all remaining endpoints
# Endpoints that may deny a request before it is queued: with many endpoints, asking all of them would nearly
# always find one that admits it by chance, which would defeat slow start.
MAX_DENIALS = 2
# Utilization above which an endpoint may be skipped in a draw, and from which it always is: messages become
# slow before the limit, and a report is a second old.
MIN_SKIP_UTILIZATION, FULL_SKIP_UTILIZATION = 0.7, 1.1
UNCORDONED_WAIT = 2 * SECOND  # an uncordoned endpoint without an attempt for this long is sent one
UNCORDONED_ATTEMPTS = 4.0  # expected number of these from all proxies together, as the endpoint is cold


class Selector:
    """Draws the endpoint of an attempt."""

    def __init__(
        self,
        settings: Settings,
        random: Callable[[], float],
        endpoints: EndpointList,
        shares: EndpointShares,
        requests: RequestTable,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        capacity: CapacityEstimate,
        health_checks: HealthChecker,
    ) -> None:
        self.settings, self.random = settings, random
        self.endpoints, self.shares, self.requests = endpoints, shares, requests
        self.outliers, self.slow_start, self.capacity = outliers, slow_start, capacity
        self.health_checks = health_checks

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings

    def draw_endpoint(self, request: PendingRequest, now: int) -> EndpointRecord | None:
        """Return the next endpoint of the order that admits the request; None = none does now.

        Endpoints that were tried or that deny this request are skipped. A draw changes state: the request is
        no longer new, tokens are spent, and endpoints that have warmed up since they were uncordoned are
        removed from ``uncordoned``.
        """
        if not self.shares.ready:
            return None
        excluded = request.tried.copy()
        is_new, request.is_new = request.is_new, False
        allowed = allowed_endpoints(request, self.shares.ready, now)
        if self.endpoints.uncordoned:
            uncordoned = self._draw_uncordoned(excluded, allowed, now)
            if uncordoned is not None:
                return uncordoned
        if request.group and self._uses_group_order(request, now):
            return self._next_of_group(request.group, excluded, allowed, is_new, now)
        endpoint = self._draw_by_rejection(excluded, allowed, is_new, now)
        if endpoint is not None:
            return endpoint
        denials = len(excluded) - len(request.tried)  # all that the draws above added were denials
        if denials == MAX_DENIALS and allowed is None:
            return self._draw_unlimited(excluded, now)
        return self._draw_from_remaining(excluded, allowed, is_new, denials, now)

    def _draw_by_rejection(
        self, excluded: list[EndpointRecord], allowed: list[EndpointRecord] | None, is_new: bool, now: int
    ) -> EndpointRecord | None:
        """Draw by rejection; endpoints that deny the request are added to ``excluded``."""
        random, usable, shares = self.random, self.endpoints.is_usable, self.shares
        ready, cumulative, total = shares.ready, shares.cumulative, shares.total
        last, denials = len(ready) - 1, 0
        for _ in range(REJECTION_DRAWS):
            endpoint = ready[min(bisect(cumulative, random() * total), last)]
            if endpoint in excluded or not (allowed is None or endpoint in allowed) or not usable(endpoint):
                continue
            skip_probability = self._skip_probability(endpoint, now)
            if skip_probability > 0.0 and random() < skip_probability:
                continue
            excluded.append(endpoint)
            if self._admits(endpoint, is_new, now):
                return endpoint
            denials += 1
            if denials == MAX_DENIALS:
                break
        return None

    def _draw_unlimited(self, excluded: list[EndpointRecord], now: int) -> EndpointRecord | None:
        """Draw among endpoints without a limit, by rejection; where few are left, waiting is as good."""
        shares = self.shares
        ready, last = shares.ready, len(shares.ready) - 1
        for _ in range(2 * REJECTION_DRAWS):
            endpoint = ready[min(bisect(shares.cumulative, self.random() * shares.total), last)]
            unlimited = self._is_unlimited(endpoint, now)
            if unlimited and endpoint not in excluded and self.endpoints.is_usable(endpoint):
                return endpoint
        return None

    def _draw_from_remaining(
        self,
        excluded: list[EndpointRecord],
        allowed: list[EndpointRecord] | None,
        is_new: bool,
        denials: int,
        now: int,
    ) -> EndpointRecord | None:
        """Draw over all remaining endpoints of the order."""
        usable = self.endpoints.is_usable
        candidates = self.shares.ready if allowed is None else allowed
        remaining = [endpoint for endpoint in candidates if endpoint not in excluded and usable(endpoint)]
        while remaining:
            cumulative = list(accumulate(endpoint.share for endpoint in remaining))
            endpoint = remaining.pop(
                min(bisect(cumulative, self.random() * cumulative[-1]), len(remaining) - 1)
            )
            if denials == MAX_DENIALS:
                if self._is_unlimited(endpoint, now):
                    return endpoint
            elif self._admits(endpoint, is_new, now):
                return endpoint
            else:
                denials += 1
        return None

    def _uses_group_order(self, request: PendingRequest, now: int) -> bool:
        """Return whether to use the group's own order: endpoints are scarce or fail, or a client returns."""
        if self.capacity.scarce or request.is_returning or request.attempts:
            return True
        return self.outliers.healthy_fraction(now) < HEALTHY_FRACTION

    def _next_of_group(
        self,
        group: int,
        excluded: list[EndpointRecord],
        allowed: list[EndpointRecord] | None,
        is_new: bool,
        now: int,
    ) -> EndpointRecord | None:
        """Return the next endpoint of a group's order."""
        denials = 0
        for endpoint in rendezvous_order(group, self.shares.ready):
            if endpoint in excluded or not (allowed is None or endpoint in allowed):
                continue
            if not self.endpoints.is_usable(endpoint):
                continue
            skip_probability = self._skip_probability(endpoint, now)
            if skip_probability > 0.0 and self.random() < skip_probability:
                continue
            limited = self.slow_start.limits(endpoint, now)
            if denials < MAX_DENIALS or not limited:
                if self._admits(endpoint, is_new, now):
                    return endpoint
                denials += limited
        return None

    def _draw_uncordoned(
        self, excluded: list[EndpointRecord], allowed: list[EndpointRecord] | None, now: int
    ) -> EndpointRecord | None:
        """Return an uncordoned endpoint without an attempt since; by chance it might long not be drawn.

        It gets one request from this proxy or, with many proxies, one from some of them at random.
        """
        for endpoint_id, uncordoned_at in list(self.endpoints.uncordoned.items()):
            endpoint = self.endpoints.by_id.get(endpoint_id)
            if now - uncordoned_at >= self.settings.rules.warm_up_time:
                del self.endpoints.uncordoned[endpoint_id]
                continue
            if endpoint is None or not endpoint.awaits_first_attempt or now - uncordoned_at < UNCORDONED_WAIT:
                continue
            if endpoint in excluded or not (allowed is None or endpoint in allowed):
                continue
            if self.endpoints.is_usable(endpoint):
                endpoint.awaits_first_attempt = False
                if self.random() * self.settings.proxy_count < UNCORDONED_ATTEMPTS:
                    return endpoint
        return None

    def _skip_probability(self, endpoint: EndpointRecord, now: int) -> float:
        """Return the probability (may be below 0 or above 1) that a draw skips an endpoint.

        It depends on the endpoint's load report, else on how far this proxy's load there exceeds the
        endpoint's share of its total load. Guards against imbalance of long-lived connections: draws that
        ignore the existing load let some endpoints fill up while the shares are right. Within one connection
        of the share the effect is small.
        """
        if now - endpoint.reported_at <= REPORT_LIFETIME:
            load = self.health_checks.estimated_utilization(endpoint)
            return (load - MIN_SKIP_UTILIZATION) / (FULL_SKIP_UTILIZATION - MIN_SKIP_UTILIZATION)
        requests = self.requests
        if not requests.connection_count:
            return 0.0
        expected_load = endpoint.share / self.shares.total * requests.load
        return (endpoint.load - expected_load) / (
            expected_load + requests.load / requests.connection_count + 1e-9
        )

    def _is_unlimited(self, endpoint: EndpointRecord, now: int) -> bool:
        return not self.slow_start.limits(endpoint, now) and not self.capacity.is_full(endpoint, now)

    def _admits(self, endpoint: EndpointRecord, is_new: bool, now: int) -> bool:
        self.outliers.healthy_fraction(now)  # assessed first, since the failure scores below depend on it
        if self.capacity.is_full(endpoint, now):
            return False
        return self.slow_start.admits(endpoint, is_new, now)
