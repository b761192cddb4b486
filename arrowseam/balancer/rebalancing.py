"""Rebalancing: established connections that are migrated off draining, cordoned and overloaded endpoints."""

from __future__ import annotations

import math
from collections.abc import Callable

from arrowseam.balancer.capacity import GROUP_COST, CapacityEstimate
from arrowseam.balancer.endpoints import EndpointList, EndpointRecord
from arrowseam.balancer.events import EndpointState
from arrowseam.balancer.requests import RequestTable
from arrowseam.balancer.settings import Settings
from arrowseam.balancer.units import SECOND

INTERVAL = SECOND  # between two rounds
# Parts of the connections of this proxy at an endpoint that are migrated in one round: small, so that the
# endpoint is back within its capacity in a few seconds and not all clients return at once.
OVERLOADED_MIGRATED_FRACTION = 0.2  # messages are slow there
OVERCOMMITTED_FRACTION = 0.1  # it must carry more than it can, by its weight
CORDONED_FRACTION = 0.5
# The same for a draining endpoint, for each second since it was first seen to drain: it stops a few seconds
# later and may disconnect its clients itself, while its replacement has hardly started.
DRAINING_FRACTION_GROWTH = 0.05
DEVIATIONS = 1.0  # standard deviations of the load by which an endpoint must be over its capacity
SPARE_FRACTION = 0.8  # of the capacity: with more of it taken there is no better place to migrate to


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
        """Take over settings."""
        self.settings = settings

    def any_leaving(self) -> bool:
        """Return whether this proxy has connections at a draining or cordoned endpoint."""
        return any(map(self.endpoints.is_leaving, self.requests.serving.values()))

    def pick(
        self, endpoint: EndpointRecord, fraction: float = OVERLOADED_MIGRATED_FRACTION, at_least: int = 0
    ) -> list[int]:
        """Return a part of the endpoint's connections, to be migrated; chance rounds their number.

        Of two drawn the one with more load for its priority weight goes.
        """
        established, random = endpoint.established, self.random
        count = max(int(fraction * len(established) + random()), min(at_least, len(established)))
        picked = []
        for _ in range(count):
            numbers = list(established)
            draws = [numbers[int(random() * len(numbers))] for _ in range(2)]
            number = max(draws, key=self.requests.load_per_weight)
            self.requests.unlist_established(number, endpoint)
            picked.append(number)
        return picked

    def off_leaving(self, now: int) -> list[int]:
        """Return connections to migrate off cordoned and draining endpoints in this round.

        Guards against clients that are cut off all at once when a draining endpoint stops, and against
        migrating them all at once, from all proxies together, while it can still carry them and little else
        can. So it is hardly any at first and then a growing part of what is left. Where a proxy has one or
        two connections there, chance decides: one at least from each would be all of them. A cordoned
        endpoint loses one at least, so that the last ones do not stay by chance.
        """
        migrated: list[int] = []
        for endpoint in list(self.requests.serving.values()):
            if endpoint.endpoint_id in self.endpoints.cordoned:
                migrated += self.pick(endpoint, CORDONED_FRACTION, at_least=1)
            elif endpoint.state is EndpointState.DRAINING:
                endpoint.draining_since = endpoint.draining_since or now
                fraction = DRAINING_FRACTION_GROWTH * (now - endpoint.draining_since + SECOND) / SECOND
                migrated += self.pick(endpoint, min(1.0, fraction))
            else:
                endpoint.draining_since = 0
        return migrated

    def off_overcommitted(self) -> list[int]:
        """Return connections to migrate off endpoints that by their weight must carry more than they can.

        Guards against connections that gather at one endpoint where nobody reports slow messages. Where
        endpoints are short, those that are migrated may find no capacity; they wait outside, and the rest is
        served in time.
        """
        requests, capacity = self.requests, self.capacity
        if requests.load <= 0.0 or not requests.connection_count or not capacity.full_weight:
            return []
        usable = capacity.total * capacity.shares.usable_weight / max(1, capacity.full_weight)
        proxies = self.settings.proxy_count
        spare = 0.0 < proxies * requests.connection_count < SPARE_FRACTION * usable
        if not spare and not capacity.is_short():
            return []
        mean = requests.load / requests.connection_count
        migrated: list[int] = []
        for endpoint in list(requests.serving.values()):
            # By chance a proxy has more here than the others do: only what is beyond that counts.
            squares = sum(requests.by_id[n].load ** 2 for n in endpoint.established)
            sure = endpoint.load - DEVIATIONS * math.sqrt(squares)
            held = proxies * sure / mean + GROUP_COST * requests.groups_at(endpoint)
            over = held > capacity.total * endpoint.weight / capacity.full_weight
            if over and len(endpoint.established) > 1 and capacity.is_known(endpoint):
                migrated += self.pick(endpoint, OVERCOMMITTED_FRACTION)
        return migrated
