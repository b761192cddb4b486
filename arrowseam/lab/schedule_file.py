"""Schedules of faults as Starlark files; a file with an error is refused with a message of one line.

It owns the functions of such a file and their checks. It must never play a schedule. The file is the
operator's own and is evaluated in the command's process, with a deadline; a proxy never imports this.

    fleet(members = 12, seed = 7)                     # servers = 3, visits = 40 a second
    at(1.0, "part", ["n0", "n1", "n2"], span = 4)     # in seconds; ``number`` if the fault has one
    at(2.5, "cordon", ["n5"], server = "s0")
    draw(steps = 5, within = 8)                       # more steps, drawn from the fleet's seed
"""

from __future__ import annotations

import math
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import starlark

from arrowseam.config.script import CALL_DEPTH_MAX, SCRIPT_BYTES_MAX, error_line
from arrowseam.errors import ArrowseamError
from arrowseam.lab import fault_kinds
from arrowseam.lab.fault_kinds import Targets
from arrowseam.lab.schedules import Schedule, Step
from arrowseam.net.clock import SECOND

DEADLINE = 5.0  # seconds of evaluation
MEMBERS_MAX, STEPS_MAX, SECONDS_MAX = 64, 1000, 600.0


class ScheduleError(ArrowseamError):
    """A schedule file is refused; the message is one line that names the place and the reason."""


@dataclass
class ScheduleFile:
    """The content of a file: the schedule, the number of servers, and clients a second (``visits``)."""

    schedule: Schedule
    servers: int = 3
    visits: float = 40.0


class _FileFunctions:
    def __init__(self, kinds: dict[str, Targets]) -> None:
        self.kinds = kinds
        self.members, self.seed, self.servers, self.visits = 0, 1, 3, 40.0
        self.steps: list[Step] = []

    def fleet(self, members: int, seed: int = 1, servers: int = 3, visits: float = 40.0) -> None:
        if self.members:
            raise ValueError("fleet: called twice")
        self.members = int(_number("fleet: members", members, 1, MEMBERS_MAX))
        self.seed = int(_number("fleet: seed", seed, 0, 1 << 60))
        self.servers = int(_number("fleet: servers", servers, 1, MEMBERS_MAX))
        self.visits = _number("fleet: visits", visits, 0.1, 1000)

    def at(
        self,
        when: float,
        what: str,
        who: list[str] | None = None,
        span: float = 0.0,
        number: float = 0.0,
        server: str = "",
    ) -> None:
        self._require_fleet()
        if what not in self.kinds:
            raise ValueError(f"at: no fault is called {what!r}; there are {', '.join(sorted(self.kinds))}")
        names = tuple(who or ())
        if not all(isinstance(name, str) for name in names):
            raise ValueError("at: who: names of members")
        if unknown := [n for n in names if n not in {f"n{k}" for k in range(self.members)}]:
            raise ValueError(f"at: who: {unknown[0]!r} is none of n0 to n{self.members - 1}")
        targets = self.kinds[what]
        if (targets is Targets.ONE and len(names) != 1) or (targets is Targets.SOME and not names):
            raise ValueError(
                f"at: who: {what} takes {'one member' if targets is Targets.ONE else 'some members'}"
            )
        servers = [f"s{n}" for n in range(self.servers)]
        if what.endswith("cordon") and server not in servers:
            raise ValueError(f"at: server: {server!r} is none of s0 to s{self.servers - 1}")
        start = int(_number("at: when", when, 0, SECONDS_MAX) * SECOND)
        duration = int(_number("at: span", span, 0, SECONDS_MAX) * SECOND)
        self._add(Step(start, what, names, duration, _number("at: number", number, 0, 1e6), server))

    def draw(self, steps: int = 5, within: float = 8.0) -> None:
        self._require_fleet()
        count = int(_number("draw: steps", steps, 1, STEPS_MAX))
        seconds = _number("draw: within", within, 0, SECONDS_MAX)
        for step in fault_kinds.draw(self.seed, self.members, count, seconds).steps:
            self._add(step)

    def _add(self, step: Step) -> None:
        if len(self.steps) >= STEPS_MAX:
            raise ValueError(f"more than {STEPS_MAX} steps")
        self.steps.append(step)

    def _require_fleet(self) -> None:
        if not self.members:
            raise ValueError("fleet(members = ...) has to come first")


def _number(what: str, value: Any, minimum: float, maximum: float) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{what}: not a number: {value!r}")
    if not minimum <= value <= maximum:
        raise ValueError(f"{what}: {value:g} is not in {minimum:g} to {maximum:g}")
    return float(value)


def read(path: Path, kinds: dict[str, Targets] | None = None) -> ScheduleFile:
    """Read a schedule from a Starlark file or the JSON that ``lab shrink`` writes; raises ScheduleError."""
    try:
        data = path.read_bytes()
        text = data.decode()
    except OSError as error:
        raise ScheduleError(f"{path.name}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise ScheduleError(f"{path.name}: not UTF-8 at byte {error.start}") from None
    if len(data) > SCRIPT_BYTES_MAX:
        raise ScheduleError(f"{path.name}: longer than {SCRIPT_BYTES_MAX} bytes")
    if path.suffix == ".json":
        try:
            return ScheduleFile(Schedule.read(text))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise ScheduleError(f"{path.name}: not a schedule: {error}") from None
    functions, due = _FileFunctions(kinds or fault_kinds.KINDS), time.monotonic() + DEADLINE
    module = starlark.Module()
    for name in ("fleet", "at", "draw"):
        module.add_callable(name, getattr(functions, name))
    options = starlark.EvalOptions(
        check_cancelled=lambda: time.monotonic() >= due, max_callstack_size=CALL_DEPTH_MAX
    )
    try:
        tree = starlark.parse(path.name, text, starlark.Dialect.extended())
        starlark.eval_with(options, module, tree, starlark.Globals.standard())
    except starlark.StarlarkError as error:
        raise ScheduleError(error_line(str(error), path.name)) from None
    if not functions.members:
        raise ScheduleError(f"{path.name}: it says no fleet(members = ...)")
    steps = sorted(functions.steps, key=lambda s: s.at)
    return ScheduleFile(
        Schedule(functions.seed, functions.members, steps), functions.servers, functions.visits
    )
