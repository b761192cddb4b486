"""A warming endpoint fails by the sum of what all proxies send it: that sum, of many proxies on one clock."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest
from helpers import SECOND, settings
from proxy_fleet import Fleet

from arrowseam.balancer.events import Endpoint, EndpointUpdate, UpdateKind
from arrowseam.balancer.settings import Tenant

SERVERS = 12
EACH = 2.6  # new connections a second that fill one endpoint; houston-live's draws lie about there
RULES = replace(
    settings().rules,
    cold_capacity_fraction=0.12,
    warm_up_time=24 * SECOND,
    overload_multiple=4.0,
    overload_window=2 * SECOND,
)


class Watched(Fleet):
    """Counts what is sent to the endpoints that started cold, and when."""

    def __init__(self, proxies: int, seed: int, quota: float, started: int, fresh: bool, each: float) -> None:
        self.random = random.Random(seed)
        self.cold = {100 + n for n in range(started)}
        self.each = each
        entries = tuple(Endpoint(endpoint_id=100 + n) for n in range(SERVERS))
        quotas = (Tenant(rate_quota=quota * SERVERS * each),) if quota else ()
        first_seed = seed * 1000
        super().__init__(
            proxies, entries, first_seed=first_seed, rules=RULES, reports_latency=False, tenants=quotas
        )
        if not fresh:  # they have seen a while of traffic before
            self.traffic(0.45, 12 * SECOND)
        self.began = self.now
        self.notify_all(
            EndpointUpdate(
                UpdateKind.DELTA,
                2,
                tuple(Endpoint(endpoint_id=b, started_at=self.now) for b in self.cold),
            )
        )

    def traffic(self, load: float, span: int, returned: bool = False) -> None:
        """First arrivals at this part of what the fleet can take, each at any of the proxies."""
        end, rate = self.now + span, load * SERVERS * self.each / SECOND
        while True:
            step = int(self.random.expovariate(rate))
            if self.now + step >= end:
                self.run(end - self.now)
                return
            self.run(step)
            self.arrive(self.random.randrange(len(self.balancers)), is_reconnect=returned)

    def most(self) -> float:
        """The most that a cold endpoint got in one span, over what it is allowed there with its chance."""
        worst = 0.0
        span = RULES.overload_window
        for times in ([t for t in self.attempts_at.get(b, []) if t >= self.began] for b in self.cold):
            for last, at in enumerate(times):
                share = min(
                    1.0,
                    RULES.cold_capacity_fraction
                    + (1 - RULES.cold_capacity_fraction) * (at - self.began) / RULES.warm_up_time,
                )
                allowed = RULES.overload_multiple * share * self.each * span / SECOND
                got = sum(at - span < t <= at for t in times[: last + 1])
                worst = max(worst, got / (allowed + 2 * math.sqrt(allowed) + 2))
        return worst


@pytest.mark.parametrize(
    ("what", "proxies", "each", "started", "quota"),
    [
        ("steady", 20, EACH, 1, 0.94),
        ("steady", 30, 10 * EACH, 4, 0.94),
        ("burst", 20, EACH, 4, 0.94),
        ("burst", 30, EACH, 1, 0.94),
        ("burst", 20, 10 * EACH, 1, 0.94),
        ("burst", 30, 10 * EACH, 4, 0.7),
        ("burst", 30, 10 * EACH, 4, 0.0),
        ("restart", 30, EACH, 1, 0.94),
        ("restart", 20, 10 * EACH, 4, 0.94),
        ("restart", 30, EACH, 4, 0.0),
    ],
)
def test_all_proxies_together_stay_within_the_limit_of_a_warming_endpoint(
    what: str, proxies: int, each: float, started: int, quota: float
) -> None:
    """Endpoints that had just started failed under the sum of what all proxies sent them, though each
    sent little. The most that one gets in the overload window must stay within what the rules allow it at
    its age.
    """
    over: list[float] = []
    for seed in range(3):
        fleet = Watched(proxies, seed, quota, started, what == "restart", each)
        if what == "restart":  # of the proxies, all at once: all clients come again, some are new
            for n in range(proxies):
                for _ in range(max(1, int(8 * SERVERS * each / proxies))):
                    fleet.arrive(n, is_reconnect=True)
        fleet.traffic(1.1 if what == "burst" else 0.6, 6 * SECOND)
        over.append(fleet.most())
    assert max(over) <= 1.0, over
