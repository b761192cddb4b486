"""Token buckets for the traffic that grows with the number of changes: pushes and state synchronisations."""

from __future__ import annotations

from arrowseam.membership.settings import SECOND

PUSH_RATE, PUSH_BURST = 500, 16 << 10  # bytes per second, and bytes in a burst
SYNC_RATE, SYNC_BURST = 1_200, 96 << 10


class TrafficBudget:
    """Bytes that may be sent now. A negative allowance must be refilled before the next message."""

    def __init__(self) -> None:
        self.push_allowance, self.sync_allowance = float(PUSH_BURST), float(SYNC_BURST)
        self.refilled_at = 0

    def refill(self, now: int) -> None:
        """Refill the allowances for the time since the last refill; ``now`` in microseconds."""
        span = now - self.refilled_at
        self.refilled_at = now
        self.push_allowance = min(PUSH_BURST, self.push_allowance + PUSH_RATE * span / SECOND)
        self.sync_allowance = min(SYNC_BURST, self.sync_allowance + SYNC_RATE * span / SECOND)

    def may_sync(self, now: int) -> bool:
        """Return whether a state synchronisation may be sent."""
        self.refill(now)
        return self.sync_allowance > 0

    def spend_sync(self, now: int, size: int) -> None:
        """Charge a state synchronisation of ``size`` bytes."""
        self.refill(now)
        self.sync_allowance -= size
