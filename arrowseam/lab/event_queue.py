"""An event queue on simulated time. It must never read a clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable

MS = 1_000


class EventQueue:
    """Events ordered by time, then by insertion; times are microseconds from the run's start."""

    def __init__(self) -> None:
        self.now = 0
        self.inserted = 0  # events so far; orders those of the same time
        self.events: list[tuple[int, int, Callable[[], None]]] = []

    def at(self, when: int, act: Callable[[], None]) -> None:
        """Schedule an event at ``when``."""
        self.inserted += 1
        heapq.heappush(self.events, (when, self.inserted, act))

    def run(self, until: int) -> None:
        """Run all events up to ``until``, to which the time then advances."""
        while self.events and self.events[0][0] <= until:
            self.now, _, act = heapq.heappop(self.events)
            act()
        self.now = until

    def until(self, condition: Callable[[], bool], limit: int, step: int = 50 * MS) -> int | None:
        """Run until the condition holds, checked every ``step``.

        Returns the microseconds that took, or None if it did not hold within ``limit``.
        """
        began = self.now
        while not condition():
            if self.now - began >= limit:
                return None
            self.run(self.now + step)
        return self.now - began
