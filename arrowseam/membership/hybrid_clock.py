"""Hybrid logical clock: timestamps that follow the wall clock and never go backwards.

Kulkarni, Demirbas, Madappa, Avva, Leone: "Logical Physical Clocks", 2014.
"""

from __future__ import annotations

COUNTER_BITS = 16  # the low bits of a timestamp; the rest are milliseconds of the wall clock


class HybridLogicalClock:
    """The latest timestamp issued or observed; the caller supplies the wall-clock time."""

    def __init__(self) -> None:
        self.latest = 0

    def next_timestamp(self, wall_ms: int) -> int:
        """Return a timestamp later than any issued or observed; ``wall_ms`` in milliseconds since 1970."""
        self.latest = max(self.latest + 1, max(0, wall_ms) << COUNTER_BITS)
        return self.latest

    def observe(self, timestamp: int) -> None:
        """Advance to a timestamp issued by another clock."""
        self.latest = max(self.latest, timestamp)
