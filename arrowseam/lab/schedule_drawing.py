"""Schedules of faults for the simulated cluster, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import replace
from enum import StrEnum

from arrowseam.lab.schedules import Schedule, Step, ZoneSchedule
from arrowseam.lab.simulated_cluster import MS, SECOND


class SimulatedFault(StrEnum):
    """A fault on the simulated cluster, by its word in schedules."""

    KILL = "kill"
    RESTART = "restart"
    STALL = "stall"
    PARTITION = "part"
    PARTITION_IN_THREE = "part3"
    PARTITION_ONE_WAY = "one way"
    LOSS = "loss"
    DUPLICATION = "double"
    POWER_OFF = "power"
    LEAVE = "leave"
    CLOCK_SKEW = "skew"
    KILL_SOME = "half"
    RESTART_ALL = "all"
    START = "start"
    POWER_OFF_FOR_GOOD = "dark"
    CORDON = "cordon"
    UNCORDON = "uncordon"


class ZoneFault(StrEnum):
    """A fault of whole zones or regions, by its word in schedules."""

    KILL_ZONE = "zone"
    POWER_OFF_ZONE = "zone dark"
    CUT_REGION = "regions"
    CUT_REGION_ONE_WAY = "regions one way"
    KILL_SPEAKERS = "speakers"
    STALL_SPEAKER = "speaker stalls"
    RESTART_IN_CUT_REGIONS = "regions restart"
    START_ZONE = "zone starts"


# Kinds to draw from; one that is listed twice is drawn twice as often. A seed depends on this order.
DRAWN = (
    SimulatedFault.KILL, SimulatedFault.KILL, SimulatedFault.RESTART, SimulatedFault.RESTART,
    SimulatedFault.STALL, SimulatedFault.STALL, SimulatedFault.PARTITION, SimulatedFault.PARTITION,
    SimulatedFault.PARTITION_IN_THREE, SimulatedFault.PARTITION_ONE_WAY, SimulatedFault.LOSS,
    SimulatedFault.DUPLICATION, SimulatedFault.POWER_OFF, SimulatedFault.LEAVE, SimulatedFault.CLOCK_SKEW,
    SimulatedFault.KILL_SOME, SimulatedFault.RESTART_ALL, SimulatedFault.START, SimulatedFault.START,
    SimulatedFault.POWER_OFF_FOR_GOOD, SimulatedFault.CORDON, SimulatedFault.CORDON, SimulatedFault.UNCORDON,
)  # fmt: skip
DRAWN_ZONE_FAULTS = (
    ZoneFault.KILL_ZONE, ZoneFault.POWER_OFF_ZONE, ZoneFault.CUT_REGION, ZoneFault.CUT_REGION,
    ZoneFault.CUT_REGION_ONE_WAY, ZoneFault.KILL_SPEAKERS, ZoneFault.KILL_SPEAKERS, ZoneFault.STALL_SPEAKER,
    ZoneFault.RESTART_IN_CUT_REGIONS, ZoneFault.START_ZONE, ZoneFault.START_ZONE,
)  # fmt: skip
SCHEDULE_LENGTH = 45 * SECOND
ZONE_SCHEDULE_LENGTH = 35 * SECOND


def draw(seed: int, members_max: int = 12, steps: int = 12) -> Schedule:
    """Draw a schedule of up to ``steps`` faults for 2 to ``most`` members."""
    rnd = random.Random(seed)
    members = rnd.randint(2, members_max)
    names = [f"m{n}" for n in range(members)]
    drawn: list[Step] = []
    servers = 0
    for _ in range(rnd.randint(1, steps)):
        kind = rnd.choice(DRAWN)
        at, span = rnd.randrange(SCHEDULE_LENGTH), rnd.choice((400, 1_500, 4_000, 10_000, 25_000)) * MS
        subset = tuple(rnd.sample(names, rnd.randint(1, members)))
        single = (rnd.choice(names),)
        if kind is SimulatedFault.CORDON:
            servers += 1
            drawn.append(Step(at, kind.value, single, 0, 0.0, f"s{servers}"))
        elif kind is SimulatedFault.UNCORDON:
            if servers:
                drawn.append(Step(at, kind.value, single, 0, 0.0, f"s{rnd.randint(1, servers)}"))
        else:
            drawn.append(_draw_fault(rnd, Step(at, kind.value, single, span), subset, members))
    return Schedule(seed, members, sorted(drawn, key=lambda s: s.at))


def _draw_fault(rnd: random.Random, step: Step, subset: tuple[str, ...], members: int) -> Step:
    """Return the step with the members and the number that its kind needs."""
    match step.what:
        case SimulatedFault.PARTITION | SimulatedFault.PARTITION_IN_THREE | SimulatedFault.PARTITION_ONE_WAY:
            return replace(step, who=subset)
        case SimulatedFault.LOSS:
            return replace(step, who=(), number=rnd.choice((0.05, 0.3, 0.5)))
        case SimulatedFault.DUPLICATION:
            return replace(step, who=(), number=0.5)
        case SimulatedFault.KILL_SOME:
            return replace(step, who=subset[: members // 2])
        case SimulatedFault.CLOCK_SKEW:
            return replace(step, number=rnd.choice((-3600.0, -1.0, 3600.0)))
    return step


def draw_zones(seed: int, zone_members_max: int = 8, steps: int = 10) -> ZoneSchedule:
    """Draw 1 to 5 zones of 1 to ``most`` members, in 1 to 3 regions; a step hits a member, zone or region."""
    rnd = random.Random(seed)
    regions = rnd.randint(1, 3)
    count = rnd.randint(max(regions, rnd.randint(1, 3)), 5)
    zones = {f"z{n}": rnd.randint(1, zone_members_max) for n in range(count)}
    names = [f"m{n}" for n in range(sum(zones.values()))]
    zone_members = _assign_zones(zones, names)
    region_members: list[tuple[str, ...]] = [()] * regions
    for n, zone in enumerate(zones):
        region_members[n % regions] += zone_members[zone]
    drawn, single_count = _draw_single_faults(rnd, seed, steps, names)
    for n in range(rnd.randint(0, 2)):
        for kind in (SimulatedFault.CORDON, SimulatedFault.UNCORDON):
            if kind is SimulatedFault.CORDON or rnd.random() < 0.5:
                at = rnd.randrange(ZONE_SCHEDULE_LENGTH)
                drawn.append(Step(at, kind.value, (rnd.choice(names),), 0, 0.0, f"t{n}"))
    for _ in range(rnd.randint(1, steps - single_count if single_count < steps else 1)):
        drawn.append(_draw_zone_fault(rnd, zone_members, region_members))
    return ZoneSchedule(seed, len(names), sorted(drawn, key=lambda s: s.at), zones)


def _assign_zones(zones: dict[str, int], names: list[str]) -> dict[str, tuple[str, ...]]:
    zone_members, at = {}, 0
    for zone, members in zones.items():
        zone_members[zone] = tuple(names[at : at + members])
        at += members
    return zone_members


def _draw_single_faults(
    rnd: random.Random, seed: int, steps: int, names: list[str]
) -> tuple[list[Step], int]:
    """Draw faults as without zones; returns those that apply to members here, and how many were drawn."""
    drawn = [
        replace(step, at=step.at % ZONE_SCHEDULE_LENGTH)
        for step in draw(seed, steps=max(2, steps // 2)).steps
        if step.what not in (SimulatedFault.RESTART_ALL, SimulatedFault.KILL_SOME) or rnd.random() < 0.3
    ]
    renamed = {f"m{n}": name for n, name in enumerate(rnd.sample(names, min(12, len(names))))}
    kept = [
        replace(step, who=who)
        for step in drawn
        if (who := tuple(renamed[n] for n in step.who if n in renamed)) or not step.who
    ]
    return kept, len(drawn)


def _draw_zone_fault(
    rnd: random.Random, zone_members: dict[str, tuple[str, ...]], region_members: list[tuple[str, ...]]
) -> Step:
    kind = rnd.choice(DRAWN_ZONE_FAULTS)
    at, span = rnd.randrange(ZONE_SCHEDULE_LENGTH), rnd.choice((1_500, 4_000, 10_000, 20_000)) * MS
    zone = zone_members[rnd.choice(list(zone_members))]
    match kind:
        case ZoneFault.CUT_REGION | ZoneFault.CUT_REGION_ONE_WAY | ZoneFault.RESTART_IN_CUT_REGIONS:
            count = 2 if kind is ZoneFault.RESTART_IN_CUT_REGIONS else 1
            cut = rnd.sample(region_members, min(len(region_members), count))
            return Step(at, kind.value, sum(cut, ()), span, len(cut[0]))
        case ZoneFault.STALL_SPEAKER:
            return Step(at, kind.value, zone, 10 * SECOND)
        case ZoneFault.POWER_OFF_ZONE:  # for good, or restarted after the span
            return Step(at, kind.value, zone, span, float(rnd.random() < 0.5))
    return Step(at, kind.value, zone, 0)
