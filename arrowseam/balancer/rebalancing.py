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
# Fractions of this proxy's connections at an endpoint that are migrated at once: small, so that the endpoint
# is back within its capacity in a few seconds without all clients returning at the same time.
OVERLOADED_MIGRATED_FRACTION = 0.2  # per report that a message is slow there or that the endpoint is full
OVERCOMMITTED_MIGRATED_FRACTION = 0.1  # per round; its estimated connections exceed its share of the capacity
CORDONED_MIGRATED_FRACTION = 0.5  # per round
# At a draining endpoint the fraction grows from when it was first seen draining: it stops within seconds and
# may then disconnect its clients itself, while its replacement has only just started.
DRAINING_FRACTION_PER_SECOND = 0.05
EXCESS_DEVIATIONS = 1.0  # standard deviations of its load by which an endpoint must exceed its capacity
MAX_USED_FRACTION = 0.8  # of the usable capacity: with more in use, other endpoints have no room either


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
        """Take connections off the endpoint's list, to be migrated, and return their ids.

        Their number is rounded at random, so that its mean is exact. Each is chosen from two drawn at random:
        the one with more load per unit of its priority weight.
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

        Guards against a draining endpoint that disconnects all its clients when it stops, and against all
        proxies migrating them at once, while it can still serve them and few other endpoints have room. The
        fraction is small at first and grows each second. There is no minimum per proxy: if each has only one
        or two connections there, a minimum of one would migrate half or all of them at once. From a
        cordoned endpoint at least one is migrated per round, so that the last ones do not stay by chance.
        """
        migrated: list[int] = []
        for endpoint in list(self.requests.serving.values()):
            if endpoint.endpoint_id in self.endpoints.cordoned:
                migrated += self.select_from(endpoint, CORDONED_MIGRATED_FRACTION, at_least=1)
            elif endpoint.state is EndpointState.DRAINING:
                endpoint.draining_since = endpoint.draining_since or now
                fraction = DRAINING_FRACTION_PER_SECOND * (now - endpoint.draining_since + SECOND) / SECOND
                migrated += self.select_from(endpoint, min(1.0, fraction))
            else:
                endpoint.draining_since = 0
        return migrated

    def select_from_overcommitted(self) -> list[int]:
        """Return connections to migrate off endpoints that exceed their share of the capacity, by weight.

        Guards against connections that concentrate on one endpoint unnoticed, where slow messages are not
        reported. Nothing is migrated if the other endpoints have no room, except in a shortage: clients that
        are migrated may then wait without a connection, but those that remain are served in time.
        """
        requests, capacity = self.requests, self.capacity
        if requests.load <= 0.0 or not requests.connection_count or not capacity.full_weight:
            return []
        usable_capacity = capacity.total * capacity.shares.usable_weight / max(1, capacity.full_weight)
        proxies = self.settings.proxy_count
        has_spare = 0.0 < proxies * requests.connection_count < MAX_USED_FRACTION * usable_capacity
        if not has_spare and not capacity.has_shortage():
            return []
        mean_load = requests.load / requests.connection_count
        migrated: list[int] = []
        for endpoint in list(requests.serving.values()):
            # This proxy may have more load here than other proxies by chance, so one standard deviation is
            # subtracted: with random arrivals, the root of the sum of the squared loads.
            sum_of_squares = sum(requests.by_id[request_id].load ** 2 for request_id in endpoint.established)
            load_lower_bound = endpoint.load - EXCESS_DEVIATIONS * math.sqrt(sum_of_squares)
            connections = proxies * load_lower_bound / mean_load + GROUP_COST * requests.groups_at(endpoint)
            is_overcommitted = connections > capacity.total * endpoint.weight / capacity.full_weight
            if (
                is_overcommitted
                and len(endpoint.established) > 1
                and capacity.can_estimate_connections(endpoint)
            ):
                migrated += self.select_from(endpoint, OVERCOMMITTED_MIGRATED_FRACTION)
        return migrated
