"""Slow start limits the sum of what all proxies send to a warming endpoint: many proxies on one clock."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest
from helpers import SECOND, settings
from proxy_fleet import ProxyFleet

from arrowseam.balancer.events import Endpoint, EndpointUpdate, UpdateKind
from arrowseam.balancer.settings import Tenant

ENDPOINTS = 12
ENDPOINT_RATE = 2.6  # new connections per second that fill one endpoint; as in a simulated deployment
RULES = replace(
    settings().rules,
    cold_capacity_fraction=0.12,
    warm_up_time=24 * SECOND,
    overload_multiple=4.0,
    overload_window=2 * SECOND,
)


class ColdStartFleet(ProxyFleet):
    """Counts the attempts at endpoints that have just started, with their times."""

    def __init__(
        self, proxies: int, seed: int, quota: float, cold_count: int, restarted: bool, endpoint_rate: float
    ) -> None:
        self.random = random.Random(seed)
        self.cold_ids = {100 + n for n in range(cold_count)}
        self.endpoint_rate = endpoint_rate
        entries = tuple(Endpoint(endpoint_id=100 + n) for n in range(ENDPOINTS))
        tenants = (Tenant(rate_quota=quota * ENDPOINTS * endpoint_rate),) if quota else ()
        first_seed = seed * 1000
        super().__init__(
            proxies, entries, first_seed=first_seed, rules=RULES, reports_latency=False, tenants=tenants
        )
        if not restarted:  # the proxies have already had traffic
            self.traffic(0.45, 12 * SECOND)
        self.began = self.now
        self.notify_all(
            EndpointUpdate(
                UpdateKind.DELTA,
                2,
                tuple(Endpoint(endpoint_id=endpoint, started_at=self.now) for endpoint in self.cold_ids),
            )
        )

    def traffic(self, load: float, duration: int, is_reconnect: bool = False) -> None:
        """Arrivals at this part of the capacity of all endpoints, each at a random proxy."""
        end, rate = self.now + duration, load * ENDPOINTS * self.endpoint_rate / SECOND
        while True:
            step = int(self.random.expovariate(rate))
            if self.now + step >= end:
                self.run(end - self.now)
                return
            self.run(step)
            self.arrive(self.random.randrange(len(self.balancers)), is_reconnect=is_reconnect)

    def worst_ratio(self) -> float:
        """The largest ratio of a cold endpoint's attempts in an overload window to their limit."""
        largest = 0.0
        window = RULES.overload_window
        for times in (
            [t for t in self.attempts_at.get(endpoint, []) if t >= self.began] for endpoint in self.cold_ids
        ):
            for index, at in enumerate(times):
                capacity_fraction = min(
                    1.0,
                    RULES.cold_capacity_fraction
                    + (1 - RULES.cold_capacity_fraction) * (at - self.began) / RULES.warm_up_time,
                )
                allowed = RULES.overload_multiple * capacity_fraction * self.endpoint_rate * window / SECOND
                received = sum(at - window < t <= at for t in times[: index + 1])
                largest = max(largest, received / (allowed + 2 * math.sqrt(allowed) + 2))
        return largest


@pytest.mark.parametrize(
    ("scenario", "proxies", "endpoint_rate", "cold_count", "quota"),
    [
        ("steady", 20, ENDPOINT_RATE, 1, 0.94),
        ("steady", 30, 10 * ENDPOINT_RATE, 4, 0.94),
        ("burst", 20, ENDPOINT_RATE, 4, 0.94),
        ("burst", 30, ENDPOINT_RATE, 1, 0.94),
        ("burst", 20, 10 * ENDPOINT_RATE, 1, 0.94),
        ("burst", 30, 10 * ENDPOINT_RATE, 4, 0.7),
        ("burst", 30, 10 * ENDPOINT_RATE, 4, 0.0),
        ("restart", 30, ENDPOINT_RATE, 1, 0.94),
        ("restart", 20, 10 * ENDPOINT_RATE, 4, 0.94),
        ("restart", 30, ENDPOINT_RATE, 4, 0.0),
    ],
)
def test_all_proxies_together_stay_within_the_limit_of_a_warming_endpoint(
    scenario: str, proxies: int, endpoint_rate: float, cold_count: int, quota: float
) -> None:
    """Endpoints that had just started failed under the sum of what all proxies sent them, though each proxy
    sent little. The attempts at one endpoint in an overload window must stay within the limit for its age.
    """
    ratios: list[float] = []
    for seed in range(3):
        fleet = ColdStartFleet(proxies, seed, quota, cold_count, scenario == "restart", endpoint_rate)
        if scenario == "restart":  # all proxies restart at once: all clients return, some are new
            for n in range(proxies):
                for _ in range(max(1, int(8 * ENDPOINTS * endpoint_rate / proxies))):
                    fleet.arrive(n, is_reconnect=True)
        fleet.traffic(1.1 if scenario == "burst" else 0.6, 6 * SECOND)
        ratios.append(fleet.worst_ratio())
    assert max(ratios) <= 1.0, ratios
