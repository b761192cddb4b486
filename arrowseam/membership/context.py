"""State shared by the components of a view: settings, time, random numbers, timers, effects, counters."""

from __future__ import annotations

import random
from collections import Counter

from arrowseam.membership.effects import Effect, LogEvent, MembershipEvent
from arrowseam.membership.settings import MembershipSettings
from arrowseam.membership.timers import TimerQueue

NONCE_MASK = (1 << 40) - 1  # the bits of the nonce that prefix the message numbers of a process
NUMBER_BITS = 20
NEVER = -(1 << 62)


class ViewContext:
    """Owned by the view; times in microseconds."""

    def __init__(self, settings: MembershipSettings, rnd: random.Random, nonce: int) -> None:
        self.settings, self.random = settings, rnd
        self.now = 0
        self.changed_at = NEVER  # time of the last change to the state of this view
        self.leaving = False
        self.timers = TimerQueue()
        self.effects: list[Effect] = []
        self.counters: Counter[str] = Counter()
        # Numbers are prefixed with bits of the nonce, to recognise late answers to a previous process.
        self.last_number = self.first_number = (nonce & NONCE_MASK) << NUMBER_BITS

    def next_number(self) -> int:
        """Return a number for a probe, stream or timer, unique within this process."""
        self.last_number += 1
        return self.last_number

    def count_sent(self, data: bytes) -> bytes:
        """Count the bytes of a frame sent on a stream; return the frame."""
        self.counters["bytes_out"] += len(data)
        return data

    def log(self, event: MembershipEvent, text: str, level: str = "info", member: str = "") -> None:
        """Log an event; ``member`` is the member that it concerns."""
        subject = event.removeprefix("member.")
        self.effects.append(LogEvent(event, f"membership: {subject}: {text}", member, level))
