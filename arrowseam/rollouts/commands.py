"""The commands of the replicated log: what operators and the leader ask the replicated state to change.

Commands are encoded as MessagePack arrays: type tags and the order of fields are the log format, names may
change. ``decision_name`` is the name of a command in control's rows and in logs.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, ClassVar, TypeAlias

import msgspec
from msgspec import Meta

from arrowseam.config.budgets import DisruptionBudgets
from arrowseam.membership.records import Name, Number
from arrowseam.rollouts.budgets import Resource, ResourceKind, ResourceTotals

BUNDLE_MAX = 64 << 10  # maximum size of a settings bundle in bytes

ShortText = Annotated[str, Meta(max_length=400)]


class ReleaseKind(StrEnum):
    """What a release does to each proxy."""

    SETTINGS = "settings"  # applies a bundle of settings
    RESTART = "restart"


class PermitOutcome(StrEnum):
    """How a proxy's permit ended."""

    BACK = "back"  # the proxy has done what was permitted, and serves again
    UNUSED = "unused"  # the proxy did not start, because the release was halted
    FAILED = "failed"
    WRITTEN_OFF = "written off"  # an operator has declared that the proxy will not come back


class CommandBase(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Fields of all commands."""

    decision_name: ClassVar[str] = ""

    by: ShortText = ""  # who requested it
    at_ms: Number = 0  # Unix time; informational, decides nothing
    id: Number = 0  # makes retries idempotent: a repeated id changes nothing; 0: none


class SetBudgets(CommandBase, frozen=True, tag=1):
    """Set the budgets from a voter's operator file; None removes that voter's budgets."""

    decision_name: ClassVar[str] = "limit"

    voter: Name
    budgets: DisruptionBudgets | None


class Drain(CommandBase, frozen=True, tag=2):
    """Take an endpoint out of service as soon as the budgets allow."""

    decision_name: ClassVar[str] = "drain"

    endpoint: Resource


class Undrain(CommandBase, frozen=True, tag=3):
    """End the drain of an endpoint that is back, or that is ``written_off`` and no longer waited for."""

    decision_name: ClassVar[str] = "undrain"

    endpoint: str
    written_off: bool = False


class GrantPermit(CommandBase, frozen=True, tag=4):
    """Allow a proxy or an endpoint to go out of service.

    Carries what the leader observed when it proposed the grant, with which the replicated state checks the
    budgets again.
    """

    decision_name: ClassVar[str] = "grant"

    kind: ResourceKind
    resource: Resource
    started_at: Number  # of the proxy's process; 0 for an endpoint
    missing: tuple[Resource, ...]  # out for any reason, as observed by the leader
    totals: ResourceTotals
    release_id: Number = 0
    digest: str = ""  # of the bundle that the proxy is to run with


class ReturnPermit(CommandBase, frozen=True, tag=5):
    """End the permit of a proxy."""

    decision_name: ClassVar[str] = "return"

    permit_id: Number
    outcome: PermitOutcome
    started_at: Number = 0  # of the process that reports the outcome
    reason: ShortText = ""


class MarkDrained(CommandBase, frozen=True, tag=6):
    """Record that no proxy holds a connection to an endpoint that is out."""

    decision_name: ClassVar[str] = "safe"

    permit_id: Number


class PlanRelease(CommandBase, frozen=True, tag=7):
    """Plan a release to proxies in waves; ``StartRelease`` starts it."""

    decision_name: ClassVar[str] = "plan"

    kind: str  # a ReleaseKind; other values are rejected when the command is applied
    bundle: Annotated[bytes, Meta(max_length=BUNDLE_MAX)]
    waves: tuple[tuple[str, ...], ...]
    soak_s: float = 30.0  # how long a wave is observed before the next one starts
    timeout_s: float = 120.0  # a member that is out for longer halts the release
    false_halt_rate: float = 0.01  # probability that the gates halt a harmless release
    gated: bool = True


class StartRelease(CommandBase, frozen=True, tag=8):
    """Start a planned release."""

    decision_name: ClassVar[str] = "start"

    release_id: Number


class AdvanceRelease(CommandBase, frozen=True, tag=9):
    """Record that a wave is complete; ``waves_done`` includes it."""

    decision_name: ClassVar[str] = "advance"

    release_id: Number
    waves_done: int


class HaltRelease(CommandBase, frozen=True, tag=10):
    """Grant no more permits for a release until it is resumed."""

    decision_name: ClassVar[str] = "halt"

    release_id: Number
    reason: ShortText


class ResumeRelease(CommandBase, frozen=True, tag=11):
    """Resume a release, overriding the halts announced up to this one."""

    decision_name: ClassVar[str] = "resume"

    release_id: Number
    halt_stamp: Number
    halted_by: str = ""


class RollBackRelease(CommandBase, frozen=True, tag=12):
    """Return all changed members to the settings that they had before."""

    decision_name: ClassVar[str] = "back"

    release_id: Number


class CancelRelease(CommandBase, frozen=True, tag=13):
    """End a release that has not started, or a halted one; its members stay as they are."""

    decision_name: ClassVar[str] = "cancel"

    release_id: Number


ReleaseStep: TypeAlias = (
    StartRelease | AdvanceRelease | HaltRelease | ResumeRelease | RollBackRelease | CancelRelease
)
Command: TypeAlias = (
    SetBudgets | Drain | Undrain | GrantPermit | ReturnPermit | MarkDrained | PlanRelease | ReleaseStep
)

encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def decode_command(data: bytes) -> Command | None:
    """Decode a command of the log; None if it is of a later version."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None
