"""The records that make up the replicated state, and its encoded form.

As in ``commands``, structs are encoded as arrays: the order of fields is the format of snapshots and state
files.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from arrowseam.config.budgets import DisruptionBudgets
from arrowseam.rollouts.budgets import Resource, ResourceKind
from arrowseam.rollouts.commands import Drain, PlanRelease


class MemberState(StrEnum):
    """The state of a proxy in a release."""

    OLD = "old"
    OUT = "out"
    NEW = "new"
    FAILED = "failed"


class ReleaseState(StrEnum):
    """The state of a release."""

    PLANNED = "planned"
    RUNNING = "running"
    HALTED = "halted"
    ROLLING_BACK = "backing"
    DONE = "done"
    ROLLED_BACK = "back"
    CANCELLED = "cancelled"


ACTIVE_STATES = (ReleaseState.RUNNING, ReleaseState.ROLLING_BACK)  # permits are granted in these
FINAL_STATES = (ReleaseState.DONE, ReleaseState.ROLLED_BACK, ReleaseState.CANCELLED)


class Permit(msgspec.Struct, array_like=True):
    """Allows a proxy or an endpoint to be out; its id is the index of the log entry that granted it."""

    id: int
    kind: ResourceKind
    resource: Resource
    started_at: int  # of the proxy process that it was granted to
    release_id: int  # 0 for a drain
    digest: str  # of the bundle that the proxy is to run with
    former_digest: str  # of the bundle that it ran with before
    at_ms: int
    drained: bool = False  # for endpoints: no proxy holds a connection to it


class ReleaseMember(msgspec.Struct, array_like=True):
    """The progress of one proxy in a release."""

    state: MemberState = MemberState.OLD
    attempts: int = 0


class Release(msgspec.Struct, array_like=True):
    """A release; its id is the index of the log entry that planned it."""

    id: int
    plan: PlanRelease
    digest: str  # of its bundle; empty for a restart
    former_digests: dict[str, str]  # by proxy: of the bundle that it ran with before
    members: dict[str, ReleaseMember]
    state: ReleaseState = ReleaseState.PLANNED
    rolling_back: bool = False  # also while a rollback is halted
    waves_done: int = 0
    reason: str = ""  # why it was halted
    # The latest halt that was resumed: this one and earlier ones no longer apply.
    resumed_stamp: int = 0
    resumed_by: str = ""  # the proxy that announced it

    @property
    def is_over(self) -> bool:
        """Whether the release has ended."""
        return self.state in FINAL_STATES

    @property
    def is_active(self) -> bool:
        """Whether permits are granted for the release."""
        return self.state in ACTIVE_STATES

    def digest_for(self, name: str) -> str:
        """Digest of the bundle that a proxy is to get; during a rollback, of its former one."""
        return self.former_digests.get(name, "") if self.rolling_back else self.digest


class Decision(msgspec.Struct, array_like=True):
    """The outcome of one command."""

    index: int
    at_ms: int
    by: str
    command: str  # its ``decision_name``
    text: str
    rejection: str  # why it was rejected; empty if it was carried out
    id: int = 0

    def row(self) -> dict[str, int | str]:
        """The row that control shows."""
        return {
            "index": self.index,
            "at_ms": self.at_ms,
            "by": self.by,
            "what": self.command,
            "text": self.text,
            "refused": self.rejection,
        }


class State(msgspec.Struct, array_like=True):
    """The contents of the replicated state."""

    index: int = 0  # of the last applied entry
    budgets: dict[str, DisruptionBudgets] = {}  # by voter
    drain_requests: dict[str, Drain] = {}  # by endpoint, in log order
    permits: dict[int, Permit] = {}
    releases: dict[int, Release] = {}
    desired_digests: dict[str, str] = {}  # by proxy: of the bundle that it is to run with
    bundles: dict[str, bytes] = {}  # by digest
    applied_ids: list[int] = []
    history: list[Decision] = []
    granted_ms: dict[str, int] = {}  # by resource kind: time of the last grant


_decoder: msgspec.msgpack.Decoder[State] = msgspec.msgpack.Decoder(State)


def decode_state(data: bytes) -> State:
    """Decode the state of a snapshot; raises msgspec.DecodeError."""
    return _decoder.decode(data)
