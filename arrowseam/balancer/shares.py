"""Each ready endpoint's share of new connections: two-stage weights, reduced by the cross-zone price."""

from __future__ import annotations

import math
from collections.abc import Iterator
from itertools import accumulate

from arrowseam.balancer.endpoints import EndpointList, EndpointRecord
from arrowseam.balancer.events import EndpointState
from arrowseam.balancer.settings import Settings
from arrowseam.balancer.weights import endpoint_share, zone_shares

REBUILD_CHUNK = 1000  # endpoints processed at once
CROSS_ZONE_PRICE = 0.1  # ``Prices.cross_zone`` at which endpoints of other zones keep 1/e of their share


class EndpointShares:
    """The shares of the ready endpoints and their running sums, rebuilt when the endpoint list changes.

    Guards against delaying all requests while the shares of 10,000 endpoints are rebuilt, which takes a
    quarter of a message's latency objective: a large list is rebuilt in chunks, one per timer event. Until it
    is complete the old shares apply, and draws skip endpoints that are no longer usable.

    Attributes:
        outdated: the list, the cordons or a zone's health have changed since the last rebuild began.
        ready: usable endpoints at the last rebuild.
        cumulative: running sums of their shares; ``total`` is the last.
        local_count: how many of them are in this proxy's zone.
        local_healthy_fraction: part of the endpoints of this proxy's zone without a failure score.
        ready_weight: scaled weight of the endpoints that are ready by the list.
        usable_weight: the same without cordoned endpoints.
        warming: usable endpoints that are warming up.
        initial_weight: weight of draining and of warm ready endpoints; computed on request only.
    """

    def __init__(self, settings: Settings, endpoints: EndpointList) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.outdated = False
        self.ready: list[EndpointRecord] = []
        self.cumulative: list[int] = []
        self.total = 0
        self.local_count = 0
        self.local_healthy_fraction = 1.0
        self.ready_weight = self.usable_weight = self.initial_weight = 0
        self.warming: list[EndpointRecord] = []
        self._rebuild: Iterator[None] | None = None

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings

    @property
    def rebuilding(self) -> bool:
        """Whether a rebuild in chunks is in progress."""
        return self._rebuild is not None

    def is_small(self) -> bool:
        """Return whether to rebuild at once: the list is short, or there are no shares to use meanwhile."""
        return len(self.endpoints.by_id) <= REBUILD_CHUNK or not self.ready

    def rebuild(self, now: int, measure_initial: bool) -> None:
        """Rebuild the shares at once."""
        self.start_rebuild(now, measure_initial)
        while not self.continue_rebuild():
            pass

    def start_rebuild(self, now: int, measure_initial: bool) -> None:
        """Begin a rebuild in chunks; it replaces one in progress."""
        self.outdated = False
        self._rebuild = self._chunks(now, measure_initial)

    def continue_rebuild(self) -> bool:
        """Process the next chunk of a rebuild in progress; return whether that completed it."""
        if self._rebuild is None or not next(self._rebuild, True):
            return False
        self._rebuild = None
        return True

    def _chunks(self, now: int, measure_initial: bool) -> Iterator[None]:
        """Rebuild the shares, yielding after each chunk; the old ones apply until the last."""
        if self.endpoints.unsorted:
            self.endpoints.sort()
            yield
        totals = _EndpointTotals(
            self.endpoints.cordoned, now - self.settings.rules.warm_up_time, measure_initial
        )
        endpoints = list(self.endpoints.by_id.values())
        for start in range(0, len(endpoints), REBUILD_CHUNK):
            totals.add(endpoints[start : start + REBUILD_CHUNK])
            yield
        ready = totals.ready
        zone_weights = [(e.zone, e.weight) for e in ready]
        yield
        zones = zone_shares(zone_weights)
        yield
        shares: list[int] = []
        for start in range(0, len(zone_weights), REBUILD_CHUNK):
            shares += [
                endpoint_share(zones[zone], weight)
                for zone, weight in zone_weights[start : start + REBUILD_CHUNK]
            ]
            yield
        shares = self._apply_cross_zone_price(shares, zone_weights)
        cumulative = list(accumulate(shares))
        local_count = sum([zone == self.settings.zone for zone, _ in zone_weights])
        yield
        for endpoint, share in zip(ready, shares):
            endpoint.share = share
        self.ready, self.cumulative, self.local_count = ready, cumulative, local_count
        self.total = cumulative[-1] if ready else 0
        self.ready_weight, self.initial_weight = totals.ready_weight, totals.initial_weight
        self.warming = totals.warming
        self.usable_weight = sum([weight for _, weight in zone_weights])

    def _apply_cross_zone_price(self, shares: list[int], zone_weights: list[tuple[int, int]]) -> list[int]:
        """Reduce other zones' shares by the price of a connection there, while the local zone is healthy."""
        settings = self.settings
        health = max(0.0, 2.0 * self.local_healthy_fraction - 1.0)
        kept_fraction = math.exp(-(health * settings.prices.cross_zone / CROSS_ZONE_PRICE))
        if kept_fraction >= 1.0:
            return shares
        local_zone = settings.zone
        return [
            share if zone == local_zone else max(1, int(share * kept_fraction))
            for share, (zone, _) in zip(shares, zone_weights)
        ]


class _EndpointTotals:
    """Totals over the endpoints for a rebuild, by chunk; attributes as in ``EndpointShares``."""

    def __init__(self, cordoned: set[int], warm_before: int, measure_initial: bool) -> None:
        self._cordoned, self._warm_before, self._measure_initial = cordoned, warm_before, measure_initial
        self.ready: list[EndpointRecord] = []
        self.warming: list[EndpointRecord] = []
        self.ready_weight = self.initial_weight = 0

    def add(self, chunk: list[EndpointRecord]) -> None:
        """Add a chunk of the endpoint list."""
        ready = [e for e in chunk if e.state is EndpointState.READY]
        weight = sum([e.weight for e in ready])
        self.ready_weight += weight
        usable = [e for e in ready if e.endpoint_id not in self._cordoned]
        self.ready += usable
        warming = [e for e in usable if e.warming_since > self._warm_before]
        self.warming += warming
        if self._measure_initial:
            draining = sum([e.weight for e in chunk if e.state is EndpointState.DRAINING])
            self.initial_weight += weight + draining - sum([e.weight for e in warming])
