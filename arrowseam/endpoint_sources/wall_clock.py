"""Wall-clock time, and ages in readable form."""

from __future__ import annotations

import time

MILLISECOND_NS = 1_000_000
AGE_UNITS = (("d", 86400), ("h", 3600), ("min", 60))  # units and their seconds


def unix_ms() -> int:
    """Return the current Unix time in milliseconds."""
    return time.time_ns() // MILLISECOND_NS


def age_text(taken_at_ms: int) -> str:
    """Return the time since ``taken_at_ms`` in readable form."""
    seconds = max(0, unix_ms() - taken_at_ms) / 1000
    for unit, span in AGE_UNITS:
        if seconds >= 2 * span:
            return f"{seconds / span:.0f} {unit}"
    return f"{seconds:.0f} s"
