"""The state of one source of endpoints: its settings, its last valid list and its last rejection."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from arrowseam.endpoint_sources.records import EndpointRecord

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
