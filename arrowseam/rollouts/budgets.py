"""Whether disruption budgets allow one more proxy or endpoint to be out of service.

Each name counts once, whether it is out by plan or because of a fault. Where voters set different budgets,
the strictest value of each limit applies.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from enum import StrEnum

import msgspec

from arrowseam.config.budgets import Amount, DisruptionBudgets

TOLERANCE = 1e-9  # for rounding errors in shares of a count and in sums of weights


class ResourceKind(StrEnum):
    """What a permit takes out of service; the values appear in the log, on the wire and in control's rows."""

    PROXY = "proxy"
    ENDPOINT = "server"


class Resource(msgspec.Struct, frozen=True, array_like=True):
    """A proxy or an endpoint, as the budgets count it."""

    name: str
    zone: str = ""
    machine_type: str = ""
    weight: float = 1.0


class ResourceTotals(msgspec.Struct, frozen=True, array_like=True):
    """The number of resources in total, by zone and by machine type, and their total weight."""

    count: int = 0
    zones: dict[str, int] = {}
    machine_types: dict[str, int] = {}
    weight: float = 0.0


def totals_of(resources: Iterable[Resource]) -> ResourceTotals:
    """Count resources; the last digits of the total weight depend on their order."""
    zones: dict[str, int] = {}
    machine_types: dict[str, int] = {}
    count, weight = 0, 0.0
    for resource in resources:
        count, weight = count + 1, weight + resource.weight
        zones[resource.zone] = zones.get(resource.zone, 0) + 1
        machine_types[resource.machine_type] = machine_types.get(resource.machine_type, 0) + 1
    return ResourceTotals(count, zones, machine_types, weight)


def tightest_limit(amounts: Iterable[Amount], total: int) -> int:
    """The smallest of these amounts, with shares of ``total`` rounded down; 0 if there are none."""
    limits = [a if isinstance(a, int) else math.floor(a * total + TOLERANCE) for a in amounts]
    return min(limits, default=0)


def budget_violation(
    budgets: Mapping[str, DisruptionBudgets],
    kind: ResourceKind,
    resource: Resource,
    out: Mapping[str, Resource],
    totals: ResourceTotals,
) -> str:
    """Why this resource may not go out in addition to those that are out; empty if it may.

    ``budgets`` is keyed by the voter that set them; ``out`` is keyed by name and holds what is out for any
    reason.
    """
    if not budgets:
        return "no voter has said a budget"
    limits = list(budgets.values())
    others = [other for name, other in out.items() if name != resource.name]
    return (
        _count_violation(limits, kind, len(others), totals)
        or _zone_violation(limits, kind, resource, others, totals)
        or (kind == ResourceKind.ENDPOINT and _machine_type_violation(limits, resource, others, totals))
        or (kind == ResourceKind.ENDPOINT and _weight_violation(limits, resource, others, totals))
        or ""
    )


def _count_violation(
    limits: list[DisruptionBudgets], kind: ResourceKind, out: int, totals: ResourceTotals
) -> str:
    is_proxy = kind == ResourceKind.PROXY
    allowed = tightest_limit((b.proxies if is_proxy else b.servers for b in limits), totals.count)
    return f"{out} out, {allowed} of {totals.count} may be" if out + 1 > allowed else ""


def _zone_violation(
    limits: list[DisruptionBudgets],
    kind: ResourceKind,
    resource: Resource,
    others: list[Resource],
    totals: ResourceTotals,
) -> str:
    zone, is_proxy = resource.zone, kind == ResourceKind.PROXY
    out, total = sum(other.zone == zone for other in others), totals.zones.get(zone, 0)
    allowed = tightest_limit((b.proxies_zone if is_proxy else b.servers_zone for b in limits), total)
    return f"{out} out in zone {zone}, {allowed} of {total} may be" if zone and out + 1 > allowed else ""


def _machine_type_violation(
    limits: list[DisruptionBudgets], resource: Resource, others: list[Resource], totals: ResourceTotals
) -> str:
    machine_type = resource.machine_type
    out, total = (
        sum(other.machine_type == machine_type for other in others),
        totals.machine_types.get(machine_type, 0),
    )
    allowed = tightest_limit((b.servers_type for b in limits), total)
    return (
        f"{out} out of type {machine_type}, {allowed} of {total} may be"
        if machine_type and out + 1 > allowed
        else ""
    )


def _weight_violation(
    limits: list[DisruptionBudgets], resource: Resource, others: list[Resource], totals: ResourceTotals
) -> str:
    ready = totals.weight - resource.weight - sum(other.weight for other in others)
    required = max(b.least_ready for b in limits) * totals.weight
    if ready < required - TOLERANCE:
        return f"{ready:g} of the weight would be ready, {required:g} must be"
    return ""
