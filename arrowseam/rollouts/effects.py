"""The effects that a rollout agent returns for its runtime to carry out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from arrowseam.consensus.effects import Persist
from arrowseam.rollouts.messages import Message


@dataclass(frozen=True)
class SendMessage:
    """Send a message to the proxy of this name; it may be lost."""

    to: str
    message: Message


@dataclass(frozen=True)
class ExecutePermit:
    """Do what a permit allows, apply this bundle or restart; then call ``on_permit_executed``.

    ``permit_id`` 0: there is no permit; restore the bundle that the proxy is to run with.
    """

    permit_id: int
    kind: str  # a ReleaseKind
    digest: str
    bundle: bytes


@dataclass(frozen=True)
class CheckBundle:
    """Check whether this bundle could be applied; then call ``on_bundle_checked``."""

    digest: str
    bundle: bytes


@dataclass(frozen=True)
class CordonEndpoint:
    """Cordon an endpoint that is now out by plan, or uncordon one that no longer is."""

    endpoint: str
    out: bool


@dataclass(frozen=True)
class AnnounceHalt:
    """Announce a halt through the membership view, which needs no quorum."""

    release_id: int


@dataclass(frozen=True)
class CommandResult:
    """The outcome of a command that was submitted here."""

    id: int
    text: str
    rejection: str  # why it was rejected; empty if it was carried out
    index: int  # of its log entry, which may not be applied here yet


@dataclass(frozen=True)
class LogEvent:
    """Write a line to the log."""

    event: str
    text: str
    level: str = "info"


Effect: TypeAlias = (
    SendMessage
    | Persist
    | ExecutePermit
    | CheckBundle
    | CordonEndpoint
    | AnnounceHalt
    | CommandResult
    | LogEvent
)
