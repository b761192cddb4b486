"""The faults that a schedule on real processes may contain, and schedules drawn from a seed."""

from __future__ import annotations

import random
from enum import StrEnum

from arrowseam.lab.schedules import Schedule, Step
from arrowseam.net.clock import SECOND


class FaultKind(StrEnum):
    """A fault; the value is its word in schedule files."""

    KILL = "kill"
    RESTART = "restart"
    START = "start"
    STALL = "stall"
    LEAVE = "leave"
    POWER_OFF = "power"
    KILL_SOME = "half"
    RESTART_ALL = "all"
    PARTITION = "part"
    PARTITION_IN_THREE = "part3"
    PARTITION_ONE_WAY = "one way"
    LOSS = "loss"
    DELAY = "slow"
    DUPLICATION = "double"
    CORRUPTION = "corrupt"
    CORDON = "cordon"
    UNCORDON = "uncordon"
    DISCOVERY_OUTAGE = "directory"


class Targets(StrEnum):
    """How many members a fault applies to; a fault of all links or of discovery names none."""

    ONE = "one"
    SOME = "some"
    NONE = "none"


_SOME = (FaultKind.KILL_SOME, FaultKind.PARTITION, FaultKind.PARTITION_IN_THREE, FaultKind.PARTITION_ONE_WAY)
_NONE = (FaultKind.RESTART_ALL, FaultKind.LOSS, FaultKind.DELAY, FaultKind.DUPLICATION, FaultKind.CORRUPTION,
         FaultKind.DISCOVERY_OUTAGE)  # fmt: skip


def _targets(kind: FaultKind) -> Targets:
    if kind in _SOME:
        return Targets.SOME
    return Targets.NONE if kind in _NONE else Targets.ONE


KINDS: dict[str, Targets] = {kind.value: _targets(kind) for kind in FaultKind}

# Kinds to draw from; one listed twice is drawn twice as often. Reordering changes the schedule of each seed.
DRAWN = (
    FaultKind.KILL, FaultKind.RESTART, FaultKind.STALL, FaultKind.STALL, FaultKind.PARTITION,
    FaultKind.PARTITION, FaultKind.PARTITION_IN_THREE, FaultKind.PARTITION_ONE_WAY, FaultKind.LOSS,
    FaultKind.DELAY, FaultKind.CORRUPTION, FaultKind.CORDON, FaultKind.DISCOVERY_OUTAGE, FaultKind.POWER_OFF,
    FaultKind.LEAVE,
)  # fmt: skip


def draw(seed: int, members: int | None = None, steps: int = 5, within: float = 8.0) -> Schedule:
    """Draw up to ``steps`` faults within ``within`` seconds, for 3 to 7 members if ``members`` is None."""
    rnd = random.Random(seed)
    count = rnd.randint(3, 7) if members is None else members
    names = [f"n{n}" for n in range(count)]
    found: list[Step] = []
    has_cordon = False
    for _ in range(rnd.randint(1, steps)):
        step = _draw_step(rnd, names, within)
        if step.what == FaultKind.CORDON:
            if has_cordon:
                continue
            has_cordon = True
        found.append(step)
    return Schedule(seed, count, sorted(found, key=lambda s: s.at))


def _draw_step(rnd: random.Random, names: list[str], within: float) -> Step:
    kind = rnd.choice(DRAWN)
    at, span = int(rnd.uniform(0, within) * SECOND), int(rnd.uniform(0.3, 3.0) * SECOND)
    who: tuple[str, ...] = (rnd.choice(names),)
    if KINDS[kind] is Targets.SOME:
        who = tuple(rnd.sample(names, rnd.randint(1, len(names) - 1)))
    elif KINDS[kind] is Targets.NONE:
        who = ()
    number = rnd.choice((0.1, 0.3)) if kind in (FaultKind.LOSS, FaultKind.CORRUPTION) else 0.0
    return Step(at, kind.value, who, span, number, "s0" if kind is FaultKind.CORDON else "")
