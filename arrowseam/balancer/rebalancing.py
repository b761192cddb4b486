"""Rebalancing: migration of established connections off draining, cordoned and overloaded endpoints."""

from __future__ import annotations

import math
from collections.abc import Callable

from arrowseam.balancer.capacity import GROUP_COST, CapacityEstimate
from arrowseam.balancer.endpoints import EndpointList, EndpointRecord
from arrowseam.balancer.events import EndpointState
from arrowseam.balancer.requests import RequestTable
from arrowseam.balancer.settings import Settings
from arrowseam.balancer.units import SECOND

REBALANCE_INTERVAL = SECOND  # between two rounds
# Parts of this proxy's connections at an endpoint that are migrated in one round: small, so that the endpoint
# is back within its capacity in a few seconds without all clients returning at once.
OVERLOADED_MIGRATED_FRACTION = 0.2  # messages are slow there
OVERCOMMITTED_FRACTION = 0.1  # its load exceeds its capacity, by its weight
CORDONED_FRACTION = 0.5
# The same for a draining endpoint, for each second since it was first seen draining: it stops within seconds
# and may then disconnect its clients itself, while its replacement has only just started.
DRAINING_FRACTION_GROWTH = 0.05
DEVIATIONS = 1.0  # standard deviations of the load by which an endpoint must exceed its capacity
SPARE_FRACTION = 0.8  # of the capacity: with more of it in use, no other endpoint is a better place


class Rebalancer:
    """Chooses the connections to migrate."""

    def __init__(
        self,
        settings: Settings,
        random: Callable[[], float],
        endpoints: EndpointList,
        requests: RequestTable,
        capacity: CapacityEstimate,
    ) -> None:
        self.settings, self.random = settings, random
        self.endpoints, self.requests, self.capacity = endpoints, requests, capacity

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings

    def has_leaving(self) -> bool:
        """Return whether this proxy has connections at a draining or cordoned endpoint."""
        return any(map(self.endpoints.is_leaving, self.requests.serving.values()))

    def select_from(
        self, endpoint: EndpointRecord, fraction: float = OVERLOADED_MIGRATED_FRACTION, at_least: int = 0
    ) -> list[int]:
        """Return a part of the endpoint's connections, to be migrated; their number is rounded at random.

        Each is the one with more load for its priority weight of two drawn.
        """
        established, random = endpoint.established, self.random
        count = max(int(fraction * len(established) + random()), min(at_least, len(established)))
        selected = []
        for _ in range(count):
            candidates = list(established)
            draws = [candidates[int(random() * len(candidates))] for _ in range(2)]
            request_id = max(draws, key=self.requests.load_per_weight)
            self.requests.unlist_established(request_id, endpoint)
            selected.append(request_id)
        return selected

    def select_from_leaving(self, now: int) -> list[int]:
        """Return connections to migrate off cordoned and draining endpoints in this round.

        Guards against clients that are all disconnected when a draining endpoint stops, and against all
        proxies migrating them at once while that endpoint still has capacity and few others do. The part is
        small at first and grows each second. Where a proxy has one or two connections there, chance decides:
        a minimum of one per proxy would be all of them. From a cordoned endpoint at least one is migrated,
        so that the last ones do not stay by chance.
        """
        migrated: list[int] = []
        for endpoint in list(self.requests.serving.values()):
            if endpoint.endpoint_id in self.endpoints.cordoned:
                migrated += self.select_from(endpoint, CORDONED_FRACTION, at_least=1)
            elif endpoint.state is EndpointState.DRAINING:
                endpoint.draining_since = endpoint.draining_since or now
                fraction = DRAINING_FRACTION_GROWTH * (now - endpoint.draining_since + SECOND) / SECOND
                migrated += self.select_from(endpoint, min(1.0, fraction))
            else:
                endpoint.draining_since = 0
        return migrated

    def select_from_overcommitted(self) -> list[int]:
        """Return connections to migrate off endpoints whose load exceeds their capacity by weight.

        Guards against connections that concentrate on one endpoint where slow messages are not reported. In
        a shortage those that are migrated may find no capacity; they wait without a connection, and the
        others are served in time.
        """
        requests, capacity = self.requests, self.capacity
        if requests.load <= 0.0 or not requests.connection_count or not capacity.full_weight:
            return []
        usable = capacity.total * capacity.shares.usable_weight / max(1, capacity.full_weight)
        proxies = self.settings.proxy_count
        has_spare = 0.0 < proxies * requests.connection_count < SPARE_FRACTION * usable
        if not has_spare and not capacity.has_shortage():
            return []
        mean = requests.load / requests.connection_count
        migrated: list[int] = []
        for endpoint in list(requests.serving.values()):
            # A proxy may have more connections here than others by chance: only the excess over that counts.
            squares = sum(requests.by_id[request_id].load ** 2 for request_id in endpoint.established)
            assured_load = endpoint.load - DEVIATIONS * math.sqrt(squares)
            connections = proxies * assured_load / mean + GROUP_COST * requests.groups_at(endpoint)
            is_overcommitted = connections > capacity.total * endpoint.weight / capacity.full_weight
            if (
                is_overcommitted
                and len(endpoint.established) > 1
                and capacity.can_estimate_connections(endpoint)
            ):
                migrated += self.select_from(endpoint, OVERCOMMITTED_FRACTION)
        return migrated
