"""Coroutines as the event loop runs them.

A coroutine is a generator that yields the time at which it must run again, or None. It is resumed then, or
earlier after an event on a connection that it owns or a call of ``EventLoop.wake``. It must check what has
changed, so spurious wake-ups are harmless.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeAlias, TypeVar

T = TypeVar("T")
Coroutine: TypeAlias = Generator[int | None, None, T]


class Task:
    """A coroutine that the event loop runs.

    Attributes:
        wake_at: when it runs again, microseconds; None: only when it is woken.
        is_queued: whether it is going to run in this round or the next.
        high_priority: whether it runs before the other tasks of a round.
    """

    __slots__ = ("coroutine", "high_priority", "is_queued", "name", "wake_at")

    def __init__(self, coroutine: Coroutine[None], name: str, high_priority: bool = False) -> None:
        self.coroutine, self.name, self.high_priority = coroutine, name, high_priority
        self.wake_at: int | None = None
        self.is_queued = False
