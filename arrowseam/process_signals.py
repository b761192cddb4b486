"""Signals of a proxy's process outside the event loop: while it starts, and while it ends.

Python gives a signal its default action back before the interpreter ends, and has that action until a handler
is set: SIGHUP, SIGTERM or SIGINT would end the process by the signal, which a supervisor takes for a crash.
So they are recorded from the first line of the program until the loop handles them, and ignored after it.
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
    """Keep the signals that come from now on for ``replay_signals``; processes started meanwhile do not."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, _record)


def is_termination_recorded() -> bool:
    """Return whether the process was told to end before the event loop runs."""
    return not _recorded.isdisjoint(TERMINATION_SIGNALS)


def replay_signals() -> None:
    """Send the recorded signals again, now that they have their handlers; each once."""
    while _recorded:
        signal.raise_signal(_recorded.pop())


def ignore_signals() -> None:
    """Let no signal end the process any more; ignored ones stay so while the interpreter ends."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
