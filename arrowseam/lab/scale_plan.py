"""The plan of a scale run, and the check that it fits this machine."""

from __future__ import annotations

import os
import resource
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

from arrowseam.errors import ArrowseamError


class ScaleFault(StrEnum):
    """A fault of a scale run; the value is its word in ``--faults``."""

    REST = "rest"
    RESTART = "restart"
    RESTARTS = "restarts"
    SILENT = "silent"
    RACK = "rack"
    ZONE = "zone"
    CUT = "cut"
    ONE_WAY = "one way"
    STOP = "stop"
    HALF = "half"
    LEADER = "leader"


FAULTS = tuple(fault.value for fault in ScaleFault)

PERIOD_MS = 300  # the probe period of proxies
SETTLE = 30.0  # seconds after the last fault of a phase within which all views must be equal
DEFAULT_SPANS: dict[str, float] = {
    ScaleFault.CUT: 60.0,
    ScaleFault.ONE_WAY: 60.0,
    ScaleFault.STOP: 10.0,
}  # seconds that a fault lasts
PROCESSES_MAX = 300
SIMULATED_PROCESS_MIB, PROXY_MIB = 32, 40  # measured memory of a simulated process, and of a real proxy
RECORD_KIB = 2.4  # memory of a record and its data in a view; 2.1 to 2.3 measured with 500 and 1,000 members
MEMBER_DESCRIPTORS_MAX = 34  # two sockets, and 16 streams in each direction
IDLE_MEMBER_CORES = 0.0025  # cores of an idle member at PERIOD_MS; measured with 100 members: 0.0019


class PlanError(ArrowseamError):
    """A plan that does not fit this machine or is inconsistent; the message is one line with the figure."""


@dataclass(frozen=True)
class Plan:
    """What a scale run does; its fields are keys of ``record.json``."""

    members: int  # in total, real ones included
    real: int = 2
    zones: int = 1
    faults: tuple[str, ...] = ("rest",)
    seconds: float = 60.0  # minimum duration of each phase
    period_ms: int = PERIOD_MS
    standing: bool = False
    agent: bool = False
    seed: int = 1
    per_host: int = 50
    view: str = "arrowseam.membership.view:ClusterView"  # tests substitute a mutant
    spans: dict[str, float] = field(default_factory=dict)  # overrides of DEFAULT_SPANS
    settle: float = SETTLE
    spread: float = 0.0  # seconds over which the first start of all members is spread

    def span(self, fault: str) -> float:
        """Return the seconds that a fault lasts; 0 if it does not end by itself."""
        return self.spans.get(fault, DEFAULT_SPANS.get(fault, 0.0))

    def sizes(self) -> list[int]:
        """Return the number of members of each zone, as even as possible."""
        return [self.members // self.zones + (z < self.members % self.zones) for z in range(self.zones)]


@dataclass(frozen=True)
class Machine:
    """The resources of a machine."""

    cores: int
    memory_mib: int  # available now
    descriptors: int  # limit of a process


def machine() -> Machine:
    """Measure this machine."""
    text = Path("/proc/meminfo").read_text()
    free = next(int(line.split()[1]) for line in text.splitlines() if line.startswith("MemAvailable"))
    return Machine(len(os.sched_getaffinity(0)), free // 1024, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def estimate(plan: Plan) -> dict[str, float]:
    """Estimate a run's needs: processes, MiB, descriptors of the largest process, cores while idle."""
    hosts = sum(len(part) for part in assign_members(plan))
    zone_members = max(plan.sizes())
    records = plan.members * zone_members * RECORD_KIB / 1024
    return {
        "processes": hosts + plan.real,
        "MiB": round(hosts * SIMULATED_PROCESS_MIB + plan.real * PROXY_MIB + records),
        "descriptors": MEMBER_DESCRIPTORS_MAX * min(plan.per_host, plan.members) + 40,
        "cores": round(plan.members * IDLE_MEMBER_CORES * PERIOD_MS / plan.period_ms, 2),
    }


def check(plan: Plan, on: Machine) -> dict[str, float]:
    """Return the estimate; raises PlanError with the figure if the plan does not fit the machine."""
    if not 2 <= plan.zones * 2 <= plan.members + plan.zones or plan.real > plan.sizes()[0]:
        raise PlanError(
            f"{plan.members} members, {plan.real} of them real, do not fit into {plan.zones} zones"
        )
    if unknown := [f for f in plan.faults if f not in FAULTS]:
        raise PlanError(f"unknown fault {unknown[0]!r}; known: {', '.join(FAULTS)}")
    if "leader" in plan.faults and not plan.agent:
        raise PlanError("the fault leader requires --agent")
    needs = estimate(plan)
    if needs["processes"] > PROCESSES_MAX:
        raise PlanError(f"{needs['processes']:.0f} processes; at most {PROCESSES_MAX}")
    if needs["MiB"] > on.memory_mib / 2:
        raise PlanError(f"about {needs['MiB']:.0f} MiB; at most half of the {on.memory_mib} MiB available")
    if needs["descriptors"] > on.descriptors:
        raise PlanError(f"{needs['descriptors']:.0f} descriptors in a process; the limit is {on.descriptors}")
    if needs["cores"] > 0.75 * on.cores:
        fitting_period_ms = int(plan.members * IDLE_MEMBER_CORES * PERIOD_MS / (0.75 * on.cores)) + 1
        raise PlanError(
            f"about {needs['cores']:.1f} cores while idle; at most three quarters of {on.cores}: "
            f"a stretched period, --period-ms {fitting_period_ms}, would fit"
        )
    return needs


def assign_members(plan: Plan) -> list[list[list[str]]]:
    """Return the names of the simulated members by zone and process; real ones are in the first zone."""
    found, number = [], 0
    for zone, count in enumerate(plan.sizes()):
        count -= plan.real if zone == 0 else 0
        names = [f"h{n:05}" for n in range(number, number + count)]
        number += count
        hosts = max(-(-count // plan.per_host), 1 if plan.zones > 1 else 2)
        found.append([names[n * count // hosts : (n + 1) * count // hosts] for n in range(hosts)])
    return found
