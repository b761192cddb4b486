"""The messages that proxies exchange about rollouts, besides those of Raft.

Each is sent in an envelope that names the fleet, within a frame of ``consensus.framing``. Type tags and the
order of fields are the wire format.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from arrowseam.consensus.framing import FrameError, unwrap_frame, wrap_frame
from arrowseam.consensus.messages import Entry, Epoch, RaftMessage, Snapshot, WireStruct, encoder
from arrowseam.membership.records import Name, Number
from arrowseam.rollouts.gates import Counters


class ProxyStatus(WireStruct, frozen=True):
    """What a proxy reports about its current process."""

    name: Name
    started_at: Number  # orders the processes of one name
    applied_index: Number  # of the replicated state that it has
    digest: str  # of the bundle that it runs with
    serving: bool
    completed: list[Number] = msgspec.field(default_factory=list)  # permits that it has completed
    unused: list[Number] = msgspec.field(default_factory=list)
    failed: dict[int, str] = msgspec.field(default_factory=dict)
    connections: dict[str, int] = msgspec.field(
        default_factory=dict
    )  # how many it holds to each endpoint that is out
    bundle_checks: dict[str, str] = msgspec.field(
        default_factory=dict
    )  # by digest: empty, or why it cannot apply the bundle
    counters: Counters = Counters()
    version: str = ""
    durable: bool = False  # whether its state as a voter outlives the process


class StatusReport(WireStruct, frozen=True, tag=20):
    """A proxy's status, sent to each voter; it may request the entries after its applied index."""

    epoch: Epoch
    status: ProxyStatus
    wants_entries: bool


class LogCatchUp(WireStruct, frozen=True, tag=21):
    """Committed entries for a non-voting proxy, with a snapshot if the log lacks earlier ones."""

    epoch: Epoch
    sender: Name
    leader: str
    snapshot: Snapshot | None
    first_index: Number
    entries: list[Entry]


class CommandRequest(WireStruct, frozen=True, tag=22):
    """An encoded command, sent to the leader."""

    epoch: Epoch
    sender: Name
    id: Number
    command: bytes


class CommandReply(WireStruct, frozen=True, tag=23):
    """The outcome of a command."""

    sender: Name
    id: Number
    text: str
    rejection: str  # why it was rejected; empty if it was carried out
    index: Number = 0  # of its log entry


RolloutMessage: TypeAlias = StatusReport | LogCatchUp | CommandRequest | CommandReply
Message: TypeAlias = RaftMessage | RolloutMessage


class Envelope(WireStruct, frozen=True):
    """The payload of a frame."""

    fleet: str
    message: Message


_decoder: msgspec.msgpack.Decoder[Envelope] = msgspec.msgpack.Decoder(Envelope)


def encode_message(fleet: str, message: Message) -> bytes:
    """Encode a message as a frame."""
    return wrap_frame(encoder.encode(Envelope(fleet, message)))


def decode_message(frame: bytes, fleet: str) -> Message:
    """Decode the message in a frame; raises FrameError, also if it comes from another fleet."""
    try:
        envelope = _decoder.decode(unwrap_frame(frame))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise FrameError(f"malformed frame: {error}") from None
    if envelope.fleet != fleet:
        raise FrameError("frame comes from another fleet")
    return envelope.message


def sender_name(message: Message) -> str:
    """The name of the proxy that sent a message."""
    if isinstance(message, StatusReport):
        return message.status.name
    if isinstance(message, LogCatchUp | CommandRequest | CommandReply):
        return message.sender
    return message.sender.name
