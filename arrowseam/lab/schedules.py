"""Schedules of faults as data: what happens to whom and when. Their fields are keys of schedules in JSON."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict, dataclass, field


@dataclass(frozen=True)
class Step:
    """One fault, or one operation of an operator."""

    at: int  # microseconds
    what: str
    who: tuple[str, ...] = ()
    span: int = 0  # microseconds, for a fault that ends by itself
    number: float = 0.0
    server: str = ""


@dataclass
class Schedule:
    """Steps for a number of members, and the seed of all random numbers of a play."""

    seed: int
    members: int
    steps: list[Step] = field(default_factory=list)

    def text(self) -> str:
        """Return it as JSON."""
        return json.dumps(
            {"seed": self.seed, "members": self.members, "steps": [asdict(s) for s in self.steps]}
        )

    def with_steps(self, steps: list[Step]) -> Schedule:
        """Return the same schedule with other steps."""
        return Schedule(self.seed, self.members, steps)

    @staticmethod
    def read(text: str) -> Schedule:
        """Return the schedule in this JSON; raises ValueError, KeyError or TypeError if it holds none."""
        doc = json.loads(text)
        steps = [Step(**(step | {"who": tuple(step["who"])})) for step in doc["steps"]]
        return Schedule(doc["seed"], doc["members"], steps)


@dataclass
class ZoneSchedule(Schedule):
    """A schedule for members in zones."""

    zones: dict[str, int] = field(default_factory=dict)  # sizes by name

    def text(self) -> str:
        """Return it as JSON, with its zones."""
        return json.dumps(json.loads(super().text()) | {"zones": self.zones})

    def with_steps(self, steps: list[Step]) -> ZoneSchedule:
        """Return the same schedule with other steps."""
        return ZoneSchedule(self.seed, self.members, steps, self.zones)


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool], tries: int = 200) -> Schedule:
    """Reduce a failing schedule: drop halves, then smaller parts, then single steps, while it still fails.

    About ``tries`` schedules are played at most (delta debugging; Zeller and Hildebrandt, 2002, without the
    complements).
    """
    steps, size = schedule.steps, max(1, len(schedule.steps) // 2)
    while tries > 0:
        for at in range(0, len(steps), size):
            tries -= 1
            fewer = schedule.with_steps(steps[:at] + steps[at + size :])
            if fails(fewer):
                steps = fewer.steps
                break
        else:
            if size == 1:
                break
            size //= 2
    return schedule.with_steps(steps)
