"""The state of one source of endpoints: its settings, last valid list, withdrawals and last rejection."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from arrowseam.endpoint_sources.records import READY, EndpointRecord
from arrowseam.endpoint_sources.withdrawals import Withdrawals

DISCOVERY_SOURCE, INITIAL_SOURCE = "directory", "known"


class Origin(StrEnum):
    """Where a source's list came from; control shows the values."""

    NONE = ""
    FILE = "file"
    SNAPSHOT = "snapshot"
    HANDOVER = "hand-over"
    DISCOVERY = DISCOVERY_SOURCE
    INITIAL = INITIAL_SOURCE


class SourceSettings(NamedTuple):
    """The configuration of a source; times in microseconds."""

    name: str
    rank: int = 0
    settle: int = 0
    drain: int = 0


@dataclass(slots=True)
class Source:
    """A source: its last valid list, and its last rejection.

    Attributes:
        order: position among the configured sources.
        withdrawals: endpoints that it has removed, as far as other sources still name them.
        reported_at: time of the last valid list; None = none yet.
        taken_at_ms: the same in Unix milliseconds, which stay valid across processes.
        rejected_at, rejection: time, and reason and text, of the last rejected list if it came after the last
            valid one.
        taken_count: number of valid lists, without snapshots and handovers.
        rejections: number of rejected lists by reason.
    """

    settings: SourceSettings
    order: int = 0
    records: dict[str, EndpointRecord] = field(default_factory=dict)
    withdrawals: Withdrawals = field(default_factory=Withdrawals)
    generation: int | None = None
    reported_at: int | None = None
    taken_at_ms: int = 0
    origin: Origin = Origin.NONE
    rejected_at: int | None = None
    rejection: tuple[str, str] = ("", "")
    taken_count: int = 0
    rejections: Counter[str] = field(default_factory=Counter)

    @property
    def rank(self) -> tuple[int, int]:
        """The sort key: rank, then order of configuration."""
        return self.settings.rank, -self.order

    def withdraw(self, record: EndpointRecord) -> None:
        """Note that the source no longer lists an endpoint.

        What the discovery service removes is gone. A file's row may only override another source's fields,
        so its removal withdraws the endpoint only if the row said that it drains.
        """
        if self.settings.name == DISCOVERY_SOURCE or record.state != READY:
            self.withdrawals.add(record.name, record.address)

    def has_withdrawn(self, names: Iterable[str], address: str) -> bool:
        """Whether it has withdrawn the machine of these names and this address, and does not list it now."""
        return self.withdrawals.includes(names, address) and not any(name in self.records for name in names)
