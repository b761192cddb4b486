"""How many proxies the module is told: those that may share what a cold server can be sent.

It owns one rule and its reason: only proof counts a proxy out, never silence, and who has just started takes
a sliver until all that might count it out have answered it. Then the shares of all processes together never
pass one, in any split and heal; ``docs/design/fleet-view.md`` has the sum. It must never read a clock or do
I/O.
"""

from __future__ import annotations

import math
from collections import deque

SLIVER = 4  # a proxy that is not met yet takes the share of one in so many times the fleet
HOLD = 1_000_000  # microseconds: the number told is the largest of so long


def wanted(configured: int, known: int, over: int, met: bool) -> int:
    """The number to go by: ``known`` names, ``over`` of them surely ended, ``met`` by all the others."""
    whole = max(1, configured, known)
    if not met:
        return SLIVER * whole
    over = min(over, whole - 1)
    return math.ceil((whole - over) / (1.0 - over / (SLIVER * whole)))


class Told:
    """What the module is told: it grows at once and shrinks slowly.

    Guards against numbers that follow each restart down and up, and against taking the room of one that is
    just starting again.
    """

    def __init__(self, first: int) -> None:
        self.now = first
        self.recent: deque[tuple[int, int]] = deque()  # (since when none was larger, number), falling

    def follow(self, at: int, number: int) -> int:
        """The largest number there was in the last ``HOLD``."""
        recent = self.recent
        if not recent:
            recent.append((at, self.now))
        since = at
        while recent and recent[-1][1] < number:
            since = recent.pop()[0]
        if not recent or recent[-1][1] > number:
            recent.append((since, number))
        while len(recent) > 1 and recent[1][0] <= at - HOLD:
            recent.popleft()
        self.now = recent[0][1]
        return self.now
