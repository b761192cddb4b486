"""Timers of a view: callbacks ordered by time, on the clock passed to the view."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class TimerQueue:
    """Callbacks in order of time; those with the same time in the order in which they were scheduled."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled = 0
        self._interrupted = False

    @property
    def next_due(self) -> int | None:
        """Time of the next callback, microseconds."""
        return self._heap[0][0] if self._heap else None

    def schedule(self, at: int, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback at a time in microseconds.

        Timers cannot be cancelled: a callback checks whether it still applies.
        """
        self._scheduled += 1
        heapq.heappush(self._heap, (at, self._scheduled, callback, args))

    def run_due(self, now: int) -> None:
        """Run the due callbacks until none is left or one of them interrupts."""
        self._interrupted = False
        while self._heap and self._heap[0][0] <= now and not self._interrupted:
            _, _, callback, args = heapq.heappop(self._heap)
            callback(*args)

    def interrupt(self) -> None:
        """Defer the remaining callbacks to the next call, so that the event loop can serve other work."""
        self._interrupted = True
