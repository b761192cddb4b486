"""A cold backend falls under the sum of what all relays send it: that sum, over many relays on one clock."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest
from fleet import Fleet
from helpers import SECOND, settings

from arrowseam import api

SERVERS = 12
EACH = 2.6  # new connections a second that fill one backend; houston-live's draws lie about there
RULES = replace(
    settings().rules, cold_share=0.12, warm_up=24 * SECOND, fall_multiple=4.0, overload_for=2 * SECOND
)


class Watched(Fleet):
    """Counts what is sent to the backends that started cold, and when."""

    def __init__(self, relays: int, seed: int, quota: float, started: int, fresh: bool, each: float) -> None:
        self.random = random.Random(seed)
        self.cold = {100 + n for n in range(started)}
        self.each = each
        entries = tuple(api.Backend(backend=100 + n) for n in range(SERVERS))
        quotas = (api.Tenant(share=1.0, rate=quota * SERVERS * each),) if quota else ()
        super().__init__(relays, entries, rules=RULES, tells_delay=False, tenants=quotas)
        for n, one in enumerate(self.relays):
            one.random = random.Random(seed * 1000 + n).random
        if not fresh:  # they have seen a while of traffic before
            self.traffic(0.45, 12 * SECOND)
        self.began = self.now
        self.told(
            api.BackendList(
                api.ListKind.CHANGES, 2, tuple(api.Backend(backend=b, started=self.now) for b in self.cold)
            )
        )

    def traffic(self, load: float, span: int, returned: bool = False) -> None:
        """First arrivals at this part of what the fleet can take, each at any of the relays."""
        end, rate = self.now + span, load * SERVERS * self.each / SECOND
        while True:
            step = int(self.random.expovariate(rate))
            if self.now + step >= end:
                self.run(end - self.now)
                return
            self.run(step)
            self.ask(self.random.randrange(len(self.relays)), returned=returned)

    def most(self) -> float:
        """The most that a cold backend got in one span, over what it is allowed there with its chance."""
        worst = 0.0
        span = RULES.overload_for
        for times in ([t for t in self.sends.get(b, []) if t >= self.began] for b in self.cold):
            for last, at in enumerate(times):
                share = min(
                    1.0, RULES.cold_share + (1 - RULES.cold_share) * (at - self.began) / RULES.warm_up
                )
                allowed = RULES.fall_multiple * share * self.each * span / SECOND
                got = sum(at - span < t <= at for t in times[: last + 1])
                worst = max(worst, got / (allowed + 2 * math.sqrt(allowed) + 2))
        return worst


@pytest.mark.parametrize(
    ("what", "relays", "each", "started", "quota"),
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
def test_all_relays_together_stay_within_a_cold_backends_budget(
    what: str, relays: int, each: float, started: int, quota: float
) -> None:
    over: list[float] = []
    for seed in range(3):
        fleet = Watched(relays, seed, quota, started, what == "restart", each)
        if what == "restart":  # of the relays, all at once: all clients come again, some are new
            for n in range(relays):
                for _ in range(max(1, int(8 * SERVERS * each / relays))):
                    fleet.ask(n, returned=True)
        fleet.traffic(1.1 if what == "burst" else 0.6, 6 * SECOND)
        over.append(fleet.most())
    assert max(over) <= 1.0, over
