"""The number of proxies by which a budget is divided, so that the sum of all shares never exceeds the budget.

A proxy counts another one out only on first-hand evidence, never because of silence, and a proxy that has
just started reduces its share for each member that may have counted it out. Then the shares of all processes
sum to at most one, during any partition and after it heals; ``docs/design/fleet-zones.md`` has the proof.
"""

from __future__ import annotations

import math
from collections import deque
from fractions import Fraction
from functools import lru_cache

MINIMUM_SHARE_DIVISOR = 4  # a proxy keeps at least 1 / (this * cluster size) of a budget
COUNTED_OUT_MAX = Fraction(7, 10)  # of the cluster; beyond this fraction the other shares stop growing
DECREASE_DELAY = 1_000_000  # microseconds; the number in use is the maximum over this period


@lru_cache(4096)
def proxy_count(
    configured: int, known: int, counted_out: int, unconfirmed: int, part: Fraction = Fraction(1)
) -> int:
    """Return the number of proxies by which to divide a budget.

    ``known`` names, of which ``counted_out`` have ended and ``unconfirmed`` may have counted us out; these
    proxies divide ``part`` of the whole budget.
    """
    size = max(1, configured, known)
    counted_out_max = math.floor(COUNTED_OUT_MAX * size)
    remaining = size - counted_out_max
    bulk = Fraction(1, size - min(counted_out, counted_out_max))
    bulk -= Fraction(max(0, unconfirmed), remaining * (remaining + 1))
    least = Fraction(1, MINIMUM_SHARE_DIVISOR)
    share = least / size + (1 - least) * max(bulk, Fraction(0))
    return math.ceil(1 / (share * part))


class ProxyCountInUse:
    """The number of proxies given to the balancer: increases apply at once, decreases are delayed.

    A restart makes the number fall and rise again; without the delay the other proxies would take the share
    of a proxy that is only restarting.
    """

    def __init__(self, initial: int) -> None:
        self.value = initial
        # (start of the period without a larger number, number), by descending number.
        self._recent: deque[tuple[int, int]] = deque()

    def update(self, now: int, number: int) -> int:
        """Add a number and return the maximum over ``DECREASE_DELAY``; ``now`` in microseconds."""
        recent = self._recent
        if not recent:
            recent.append((now, self.value))
        since = now
        while recent and recent[-1][1] < number:
            since = recent.pop()[0]
        if not recent or recent[-1][1] > number:
            recent.append((since, number))
        while len(recent) > 1 and recent[1][0] <= now - DECREASE_DELAY:
            recent.popleft()
        self.value = recent[0][1]
        return self.value
