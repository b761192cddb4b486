"""Signal handling of a proxy's process outside the event loop: during start-up and interpreter shutdown.

Until a handler is set, and again while the interpreter shuts down, a signal has its default action: SIGHUP,
SIGTERM or SIGINT would kill the process, which a supervisor takes for a crash. So signals are recorded from
the first line of the program until the event loop handles them, and ignored after the loop has ended.
"""

from __future__ import annotations

import signal
from types import FrameType

TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*TERMINATION_SIGNALS, signal.SIGHUP)

_recorded: set[int] = set()


def _record(number: int, _frame: FrameType | None) -> None:
    _recorded.add(number)


def record_signals() -> None:
    """Record signals from now on for ``replay_signals``; child processes do not inherit this."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, _record)


def is_termination_recorded() -> bool:
    """Return whether a termination signal was recorded before the event loop runs."""
    return not _recorded.isdisjoint(TERMINATION_SIGNALS)


def replay_signals() -> None:
    """Raise each recorded signal once more, now that its handler is set."""
    while _recorded:
        signal.raise_signal(_recorded.pop())


def ignore_signals() -> None:
    """Ignore the handled signals from now on, also while the interpreter shuts down."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
