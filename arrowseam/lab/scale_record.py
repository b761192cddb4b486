"""The record of a scale run, and its conversion to a run file of ``capacity``."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from typing import Any

from arrowseam import __version__

RUN_FILE_FORM = 1

SERIES = {
    "bytes_worst": ("B/s", "of the worst member, over the phase (at most 60 s)"),
    "bytes_median": ("B/s", "of the median member"),
    "bytes_peak": ("B/s", "of the worst member in its worst second"),
    "messages_worst": ("1/s", "of the worst member"),
    "host_cpu_a_member_median": (
        "core",
        "processor of a process of simulated members, per member, without its reports",
    ),
    "event_ms_worst": ("ms", "processor time of the longest event of any member"),
}


@dataclass
class Phase:
    """One fault and its effects; fields are keys of ``record.json``. Times in seconds of the run."""

    fault: str
    begin: float
    about: str = ""
    ends: float = 0.0  # when the fault was over
    until: float = 0.0
    equal: float | None = None  # seconds from the end of the fault until all views were equal
    known: float | None = None  # seconds until all simulated members saw all of ``ended`` as ended or dead
    whole: float | None = None  # seconds until restarted members had their usual share again
    ended: list[str] = field(default_factory=list)
    cost: dict[str, float] = field(default_factory=dict)
    real: dict[str, dict[str, float]] = field(default_factory=dict)


@dataclass
class Record:
    """The record of a run; fields are keys of ``record.json``, from which ``lab report`` makes a page."""

    kind: str
    plan: dict[str, Any]
    machine: dict[str, Any]
    began: str
    said: list[str] = field(default_factory=list)  # how the run differs from a real cluster
    phases: list[dict[str, Any]] = field(default_factory=list)
    # Rows of ``Measurements.seconds``.
    seconds: list[list[float]] = field(default_factory=list)
    share: float = 0.0
    memory_mib: float = 0.0
    clients: dict[str, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)  # violations found

    def text(self) -> str:
        """Return it as JSON."""
        return json.dumps(asdict(self))

    @staticmethod
    def read(text: str) -> Record:
        """Return the record in this JSON; raises ValueError or TypeError if it contains none."""
        doc = json.loads(text)
        if doc.get("kind") != "scale":
            raise ValueError("not the record of a scale run")
        return Record(**doc)


def series(records: list[Record]) -> dict[str, Any]:
    """Return records as a run file, in the form of ``docs/design/fleet-zones.md``."""
    found: dict[str, dict[str, Any]] = {}
    for record in records:
        count = record.plan["members"]
        for phase in record.phases:
            rows = {name: (*of, phase["cost"].get(name)) for name, of in SERIES.items()}
            rows["equal"] = ("s", "from the last fault until all views are equal", phase["equal"])
            rows["known"] = (
                "s",
                "until all simulated members see the ended members as ended",
                phase["known"],
            )
            rows["whole"] = (
                "s",
                "until restarted members have the proxy count of the others",
                phase["whole"],
            )
            for name, (unit, why, value) in rows.items():
                if value is None:
                    continue
                at_rest = phase["fault"] in ("rest",)
                form = "constant" if at_rest else "log" if unit == "s" else "linear"
                reason = "probes per period, for any number of members" if at_rest else "rounds of gossip" \
                    if unit == "s" else "each update goes to all members"  # fmt: skip
                row = found.setdefault(
                    f"fleet.{phase['fault'].replace(' ', '_')}.{name}",
                    {"name": f"fleet.{phase['fault'].replace(' ', '_')}.{name}", "role": "control",
                     "unit": unit, "x": "members", "form": form, "why": f"{why}; {reason}", "how": "hollow",
                     "samples": []},
                )  # fmt: skip
                row["samples"].append([count, round(value, 6)])
    first = records[0]
    return {
        "form": RUN_FILE_FORM, "made": "arrowseam lab scale", "at": first.began, "machine": first.machine,
        "version": __version__, "seed": first.plan["seed"], "series": list(found.values()),
    }  # fmt: skip
