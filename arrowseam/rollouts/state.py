"""The records that make up the replicated state, and its encoded form.

As in ``commands``, the order of fields is the format of snapshots and state files.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from arrowseam.config.budgets import DisruptionBudgets
from arrowseam.rollouts.budgets import Resource, ResourceKind
from arrowseam.rollouts.commands import Drain, PlanRelease


class MemberState(StrEnum):
    """Where a proxy stands in a release."""

    OLD = "old"
    OUT = "out"
    NEW = "new"
    FAILED = "failed"


class ReleaseState(StrEnum):
    """Where a release stands."""

    PLANNED = "planned"
    RUNNING = "running"
    HALTED = "halted"
    ROLLING_BACK = "backing"
    DONE = "done"
    ROLLED_BACK = "back"
    CANCELLED = "cancelled"


ACTIVE_STATES = (ReleaseState.RUNNING, ReleaseState.ROLLING_BACK)  # permits are granted
OVER = (ReleaseState.DONE, ReleaseState.ROLLED_BACK, ReleaseState.CANCELLED)


class Permit(msgspec.Struct, array_like=True):
    """A proxy or an endpoint may be out; its id is the index of the entry that granted it."""

    id: int
    kind: ResourceKind
    resource: Resource
    started_at: int  # of the proxy's process that it was granted to
    release_id: int  # 0: a drain
    digest: str  # of the bundle that the proxy is to run with
    former_digest: str  # of the one that it ran with
    at_ms: int
    drained: bool = False  # an endpoint that nobody holds a connection to


class Member(msgspec.Struct, array_like=True):
    """One proxy's part in a release."""

    state: MemberState = MemberState.OLD
    attempts: int = 0


class Release(msgspec.Struct, array_like=True):
    """A release; its id is the index of the entry that planned it."""

    id: int
    plan: PlanRelease
    digest: str  # of its bundle; empty of a restart
    former_digests: dict[str, str]  # what each proxy ran with before
    members: dict[str, Member]
    state: ReleaseState = ReleaseState.PLANNED
    rolling_back: bool = False  # also while it is halted on the way back
    waves_done: int = 0
    reason: str = ""  # of its halt
    resumed_stamp: int = 0  # halts up to this stamp
    resumed_by: str = ""  # and proxy have been resumed

    @property
    def is_over(self) -> bool:
        """Whether nothing more happens in it."""
        return self.state in OVER

    @property
    def is_active(self) -> bool:
        """Whether permits are granted in it."""
        return self.state in ACTIVE_STATES

    def digest_for(self, name: str) -> str:
        """Of the bundle that a proxy is to run with, on the way that the release is on."""
        return self.former_digests.get(name, "") if self.rolling_back else self.digest


class Decision(msgspec.Struct, array_like=True):
    """What came of one command."""

    index: int
    at_ms: int
    by: str
    command: str  # its decision_name
    text: str
    rejection: str  # empty if it was carried out
    id: int = 0

    def row(self) -> dict[str, int | str]:
        """As control shows it."""
        return {
            "index": self.index,
            "at_ms": self.at_ms,
            "by": self.by,
            "what": self.command,
            "text": self.text,
            "refused": self.rejection,
        }


class State(msgspec.Struct, array_like=True):
    """All that the replicated state remembers."""

    index: int = 0  # of the last entry applied
    budgets: dict[str, DisruptionBudgets] = {}  # by voter
    drain_requests: dict[str, Drain] = {}  # by endpoint, in the order of their entries
    permits: dict[int, Permit] = {}
    releases: dict[int, Release] = {}
    desired_digests: dict[str, str] = {}  # by proxy: the bundle that it is to run with
    bundles: dict[str, bytes] = {}  # by digest
    applied_ids: list[int] = []
    history: list[Decision] = []
    granted_ms: dict[str, int] = {}  # by resource kind: time of the last grant


_decoder: msgspec.msgpack.Decoder[State] = msgspec.msgpack.Decoder(State)


def decode_state(data: bytes) -> State:
    """The state of a snapshot; raises msgspec.DecodeError."""
    return _decoder.decode(data)
