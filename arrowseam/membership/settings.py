"""The settings of a cluster view."""

from __future__ import annotations

from dataclasses import dataclass

from arrowseam.membership.records import Address

MS = 1_000  # microseconds
SECOND = 1_000_000


@dataclass(frozen=True)
class MembershipSettings:
    """The settings that operators configure. Times in microseconds."""

    cluster: str = "fleet"
    seeds: tuple[Address, ...] = ()
    probe_interval: int = 300 * MS
    probe_timeout: int = 100 * MS  # until other members are asked for an indirect probe
    indirect_probes: int = 3
    suspicion_factor: float = 2.5  # shortest suspicion: probe intervals, times log10 of the cluster size
    suspicion_stretch: float = 3.0  # longest suspicion, as a multiple of the shortest
    tombstone_ttl: int = 3600 * SECOND  # how long to keep ended members beyond the configured number
    configured_members: int = 1
    zone: str = ""  # our own; empty: the cluster has no zones
    zones: tuple[tuple[str, int], ...] = ()  # name and size of each zone, identical at all members
    never_count_out: bool = False  # True: ended members keep their share of the budgets
    lifeguard: bool = True  # turned off only for comparisons with plain SWIM
