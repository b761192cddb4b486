"""The record of one play of a schedule on real processes, written as ``record.json``."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field

# Member states by the log event that reports them.
STATES = {"member.alive": "alive", "member.suspect": "suspect", "member.dead": "dead", "member.gone": "gone",
          "member.left": "left"}  # fmt: skip


@dataclass
class Record:
    """The results of one play; fields are keys of ``record.json``. Times in seconds from its beginning."""

    schedule: str
    events: list[tuple[float, str, str, str]] = field(default_factory=list)  # when, observer, event, subject
    faults: list[tuple[float, float, str, str]] = field(default_factory=list)  # from, to, fault, members
    lives: list[tuple[float, str, str]] = field(default_factory=list)  # when, member, "up" or "down"
    outs: list[tuple[float, str, int, int]] = field(
        default_factory=list
    )  # when, kind, number out of service, budget
    broken: list[str] = field(default_factory=list)  # violations found
    settled: float | None = None  # seconds from the last fault until all views were equal
    ended: float = 0.0
    clients: dict[str, int] = field(default_factory=dict)

    def text(self) -> str:
        """Return it as JSON."""
        return json.dumps(asdict(self))

    @staticmethod
    def read(text: str) -> Record:
        """Return the record in this JSON; raises ValueError or TypeError if it contains none."""
        return Record(**json.loads(text))
