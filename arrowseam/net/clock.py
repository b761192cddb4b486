"""The clock that all parts of the proxy use: monotonic, in microseconds."""

from __future__ import annotations

import time

SECOND = 1_000_000
MS = 1_000


def clock() -> int:
    """Return the time in microseconds; its zero is arbitrary but the same for all processes of a machine."""
    return time.monotonic_ns() // 1000
