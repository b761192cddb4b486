"""Arrival rates of new connections, averaged over ``RATE_TIME_CONSTANT`` and over the overload window."""

from __future__ import annotations

import math

from arrowseam.balancer.units import SECOND

RATE_TIME_CONSTANT = 10.0 * SECOND  # microseconds; of the exponential average of arrivals


class ArrivalRates:
    """Exponentially decayed counts of first arrivals (clients that do not return).

    Guards against counting a retry storm as traffic: the same clients arrive many times, and a rate that
    includes them would let slow start admit more. Arrivals in a storm are not counted.

    Attributes:
        observed: time in which arrivals were counted, microseconds.
        recent_count: arrivals, decayed over the overload window.
    """

    def __init__(self) -> None:
        self._count = 0.0
        self._counted_at = 0
        self.observed = 0
        self.recent_count = 0.0
        self._recent_at = 0

    def start(self, now: int) -> None:
        """Start counting now."""
        self._counted_at = now

    @property
    def is_starting(self) -> bool:
        """Whether too little was observed for a rate; returning clients then count in part."""
        return self.observed < RATE_TIME_CONSTANT

    def decay_recent(self, now: int, overload_window: int) -> None:
        """Decay the recent count to now."""
        elapsed, self._recent_at = now - self._recent_at, now
        self.recent_count *= math.exp(-elapsed / overload_window)

    def add_recent(self) -> None:
        """Add an arrival to the recent count."""
        self.recent_count += 1.0

    def count(self, now: int, weight: float, in_storm: bool) -> None:
        """Count an arrival with this weight; one ``in_storm`` is left out, with the time before it."""
        elapsed, self._counted_at = now - self._counted_at, now
        if in_storm:
            return
        self.observed += elapsed
        self._count = self._count * math.exp(-elapsed / RATE_TIME_CONSTANT) + weight

    def usual_rate(self) -> float:
        """Return the rate of first arrivals outside storms, per microsecond."""
        span = RATE_TIME_CONSTANT * (1.0 - math.exp(-max(self.observed, SECOND) / RATE_TIME_CONSTANT))
        return max(self._count, 1.0) / span
