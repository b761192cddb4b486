"""The capacity of the remaining endpoints, estimated from the tenants' quotas, and which of them are full."""

from __future__ import annotations

from collections.abc import Callable, Sized

from arrowseam.balancer.endpoints import EndpointRecord
from arrowseam.balancer.requests import RequestTable
from arrowseam.balancer.settings import Settings
from arrowseam.balancer.shares import EndpointShares
from arrowseam.balancer.slow_start import QUOTA_FRACTION, expected_fraction
from arrowseam.balancer.units import SECOND

# Cost of an affinity group at an endpoint, in connections of mean load: two for the group's own work, one for
# groups that only other proxies have there and this proxy does not see.
GROUP_COST = 3.0
REPLACEMENT_OVERLAP = 6 * SECOND  # an endpoint and its replacement may both be ready for this long
SHRINK_DELAY = 600 * SECOND  # a list that has been short for this long counts as permanently smaller
SCARCE_FRACTION = 0.85  # of the full weight: with less remaining, endpoints are scarce
SHORTAGE_FRACTION = 0.7  # of the remaining capacity: with less demand there is no shortage
FULL_FRACTION = 0.75  # of the capacity of a warm endpoint, by the quotas, while there is a shortage
# A proxy whose part of an endpoint is fewer connections than this cannot estimate how many the endpoint has:
# one more or less, times the number of proxies, is as much as the whole capacity.
MIN_OWN_CONNECTIONS = 4.0


class CapacityEstimate:
    """An estimate of how many connections the endpoints can carry, where slow messages are not reported.

    The quotas apply to a complete list of endpoints. Guards against a capacity estimate that grows at the
    remaining endpoints when another one is removed: they get more load, but can carry no more than before.
    During a release the old process and its replacement are both ready, which is not more capacity either.

    Attributes:
        total: connections that a complete list can carry, from all proxies; 0 = no quota is stated.
        full_weight: scaled weight of a complete list, the most that was ready for some time; 0 = unknown.
        scarce: much of that weight is gone or cold.
        available: expected capacity of the remaining endpoints, in connections.
        group_load: part of that which the affinity groups take.
    """

    def __init__(
        self,
        settings: Settings,
        random: Callable[[], float],
        shares: EndpointShares,
        requests: RequestTable,
        queued: Sized,
    ) -> None:
        self.random, self.shares, self.requests, self.queued = random, shares, requests, queued
        self.scarce = False
        self.available = self.group_load = 0.0
        self.full_weight = 0
        self._complete_at = 0
        # When the ready weight last rose above the full weight, and the lowest that it has been since then.
        self._larger_weight = self._larger_since = 0
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings, self.rules = settings, settings.rules
        self.reports_latency = settings.reports_latency
        self.total = sum(t.connection_quota for t in settings.tenants) / QUOTA_FRACTION

    def update(self, now: int) -> None:
        """Renew the estimate; called after the shares were rebuilt and once a second."""
        self._update_full_weight(now)
        warming, rules = self.shares.warming, self.rules
        remaining = self.shares.usable_weight - sum(
            e.weight * (1.0 - expected_fraction(e, now, rules)) for e in warming
        )
        self.scarce = remaining < SCARCE_FRACTION * self.full_weight
        self.available = self.total * remaining / max(1, self.full_weight)
        self.group_load = GROUP_COST * sum(map(self.requests.groups_at, self.requests.serving.values()))

    def _update_full_weight(self, now: int) -> None:
        weight = self.shares.ready_weight
        if weight <= self.full_weight:
            self._larger_weight, self._larger_since = weight, now
        self._larger_weight = (
            min(self._larger_weight, weight) if self._larger_weight > self.full_weight else weight
        )
        if not self.full_weight:
            # A proxy that starts during a release has never seen the complete list: draining endpoints were
            # part of it. Later, they would be counted twice, with their replacements.
            self.full_weight, self._larger_since = max(weight, self.shares.initial_weight), now
        elif now - self._larger_since >= REPLACEMENT_OVERLAP:
            self.full_weight, self._larger_since = max(self.full_weight, self._larger_weight), now
        if weight >= SCARCE_FRACTION * self.full_weight:
            self._complete_at = now
        elif now - self._complete_at >= SHRINK_DELAY:
            self.full_weight = weight

    def warm_capacity(self, endpoint: EndpointRecord) -> float:
        """Return the capacity of an endpoint when it is warm, in connections, by its weight."""
        return self.total * endpoint.weight / max(1, self.full_weight)

    def has_shortage(self) -> bool:
        """Return whether endpoints are scarce and demand takes most of the remaining capacity.

        Guards against filling the remaining endpoints until no client there is served in time.
        """
        if not self.scarce:
            return False
        own = self.requests.connection_count + len(self.queued)
        return self.settings.proxy_count * own + self.group_load > SHORTAGE_FRACTION * self.available > 0.0

    def can_estimate_connections(self, endpoint: EndpointRecord) -> bool:
        """Return whether the endpoint's connections from all proxies can be estimated from this proxy's.

        Guards against forty proxies that each act on one connection too many by chance, and together migrate
        or withhold that many from endpoints that have capacity.
        """
        return self.warm_capacity(endpoint) >= MIN_OWN_CONNECTIONS * self.settings.proxy_count

    def is_full(self, endpoint: EndpointRecord, now: int) -> bool:
        """Return whether an endpoint that is warming up, or any in a shortage, is at its expected capacity.

        Guards against migrating connections off one endpoint to others that have just started, where none
        is served in time until they are warm. Requests that wait or are retried cost nothing there. Where
        slow messages are reported, these decide instead.
        """
        requests = self.requests
        if self.reports_latency or not requests.connection_count or not self.full_weight:
            return False
        warm = now - endpoint.warming_since >= self.rules.warm_up_time
        if not (self.has_shortage() if warm else self.can_estimate_connections(endpoint)):
            return False
        mean = requests.load / requests.connection_count
        if endpoint.rounding_draw < 0.0:
            # Whole connections of many proxies may add up to far more than the capacity, or to none: each
            # proxy draws its rounding offset once, so that the expected sum is right.
            endpoint.rounding_draw = self.random()
        own = endpoint.load / max(mean, 1e-9) + endpoint.rounding_draw
        connections: float = self.settings.proxy_count * own
        connections += GROUP_COST * requests.groups_at(endpoint)
        limit = FULL_FRACTION if warm else expected_fraction(endpoint, now, self.rules)
        return connections > limit * self.total * endpoint.weight / self.full_weight > 0.0
