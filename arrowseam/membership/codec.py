"""The bytes of membership datagrams and streams.

A magic word, a checksum, then MessagePack arrays: the names of the fields stay in the process. Fields that a
later version appends to an array are ignored. What an update says is judged elsewhere.
"""

from __future__ import annotations

import zlib
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from arrowseam.errors import ArrowseamError
from arrowseam.membership.cordons import Cordon
from arrowseam.membership.records import ZONE_MAX, MemberInfo, MemberRecord, Name, Number

MAGIC = b"aF1"
HEADER_SIZE = len(MAGIC) + 4  # the magic word and a CRC-32 of the rest
DATAGRAM_MAX = 1400
STREAM_MAX = 4 << 20
LENGTH_SIZE = 4  # bytes before a frame of a stream that give its length
VERSION = 1

BUCKET_COUNT = 64  # that names are divided into, each with a digest of its own
ZONES_MAX = 64
HEARTBEATS_MAX = 4 + 4 * ZONES_MAX
HeartbeatAges = Annotated[bytes, Meta(max_length=ZONES_MAX)]  # one byte a zone; empty: not told
STATE_SYNC_PREFIX = b"W"  # before the body of a frame
DATAGRAM_PREFIX = b"D"


class MessageKind(IntEnum):
    """Kinds of datagrams; a datagram of another kind is counted and otherwise ignored."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3  # asks the receiver to probe a third member
    NACK = 4  # the third member has not answered
    PUSH = 5  # updates that cannot wait for a probe; no answer
    BRIDGE = 6  # between zones
    BRIDGE_REPLY = 7


class SyncPart(IntEnum):
    """The steps of a state synchronisation."""

    REQUEST = 0  # with the digests of our buckets
    RESPONSE = 1  # with the records of the buckets that differ
    PUSH = 2  # what the responder turned out to lack
    REDIRECT = 3  # the responder has used up its bytes: other members to ask


Cluster = Annotated[str, Meta(max_length=64)]
Digest = int  # 64 bits; msgspec bounds no more than 63


class ZoneSummary(msgspec.Struct, array_like=True, frozen=True):
    """The members of a zone, counted by one of its speakers, for operators only."""

    zone: Annotated[str, Meta(min_length=1, max_length=ZONE_MAX)]
    heartbeat: Annotated[int, Meta(ge=0, le=(1 << 32) - 1)]  # at its writing: the latest summary holds
    author: Name
    active: Number
    dead: Number
    ended: Number


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One message; every kind carries gossip."""

    version: Annotated[int, Meta(ge=1)]
    cluster: Cluster
    kind: int  # a ``MessageKind``, or one of a later version
    number: Number  # of the probe that it belongs to
    sender: MemberRecord
    digest: Digest  # of the sender's view
    subject: MemberRecord | None = None  # whom to probe, or who has answered
    updates: list[MemberRecord] = []
    cordons: list[Cordon] = []
    recognised: bool = True  # in an answer: the sender holds the process that it answers for a member
    info: MemberInfo | None = None
    heartbeats: Annotated[bytes, Meta(max_length=HEARTBEATS_MAX)] = b""  # in the order of the zone table
    holders: Annotated[bytes, Meta(max_length=1024)] = b""  # who holds the digest above
    summaries: Annotated[list[ZoneSummary], Meta(max_length=64)] = []
    contacts: Annotated[list[MemberRecord], Meta(max_length=16)] = []  # members of any zone
    heartbeat_ages: HeartbeatAges = b""


class StateSync(msgspec.Struct, array_like=True, frozen=True):
    """A view, or the part in which two views differ, as it goes over a stream."""

    version: Annotated[int, Meta(ge=1)]
    cluster: Cluster
    sender: MemberRecord
    records: list[MemberRecord]
    cordons: list[Cordon]
    info: MemberInfo | None = None
    buckets: Annotated[list[Digest], Meta(max_length=BUCKET_COUNT)] = []  # empty: from an older version
    cordon_digest: Digest = 0
    part: int = SyncPart.REQUEST
    heartbeats: Annotated[bytes, Meta(max_length=HEARTBEATS_MAX)] = b""
    summaries: Annotated[list[ZoneSummary], Meta(max_length=256)] = []
    contacts: Annotated[list[MemberRecord], Meta(max_length=1024)] = []
    heartbeat_ages: HeartbeatAges = b""


class MalformedMessageError(ArrowseamError, ValueError):
    """Bytes that are no message of this protocol; the text is short and names the reason."""


class ForeignClusterError(MalformedMessageError):
    """A message of a cluster with another name."""


_encoder = msgspec.msgpack.Encoder()
_datagram_decoder: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)
_state_sync_decoder: msgspec.msgpack.Decoder[StateSync] = msgspec.msgpack.Decoder(StateSync)


def encoded_size(part: MemberRecord | Cordon | ZoneSummary) -> int:
    """Return the bytes that a part takes in a datagram."""
    return len(_encoder.encode(part))


def _encode(message: Datagram | StateSync) -> bytes:
    """Return the body of a message; without ages it has the form of the versions that know none."""
    fields = msgspec.structs.astuple(message)
    return _encoder.encode(fields if message.heartbeat_ages else fields[:-1])


def seal(body: bytes) -> bytes:
    """Return the body with the magic word and its checksum before it."""
    return MAGIC + zlib.crc32(body).to_bytes(4, "big") + body


def _unseal(data: bytes | memoryview) -> bytes:
    if bytes(data[: len(MAGIC)]) != MAGIC:
        raise MalformedMessageError("not of this protocol")
    body = bytes(data[HEADER_SIZE:])
    if zlib.crc32(body) != int.from_bytes(data[len(MAGIC) : HEADER_SIZE], "big"):
        raise MalformedMessageError("cut or corrupted")
    return body


def encode_datagram(message: Datagram) -> bytes:
    """Return the bytes of a datagram."""
    return seal(_encode(message))


def decode_datagram(data: bytes, cluster: str) -> Datagram:
    """Raise MalformedMessageError, or ForeignClusterError if the message is of another cluster."""
    if len(data) > DATAGRAM_MAX:
        raise MalformedMessageError("longer than a datagram may be")
    try:
        message = _datagram_decoder.decode(_unseal(data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessageError(f"malformed: {error}") from None
    if message.cluster != cluster:
        raise ForeignClusterError("of another fleet")
    return message


def encode_frame(message: Datagram | StateSync) -> bytes:
    """Return one frame of a stream, with its length before it."""
    prefix = STATE_SYNC_PREFIX if isinstance(message, StateSync) else DATAGRAM_PREFIX
    data = seal(prefix + _encode(message))
    return len(data).to_bytes(LENGTH_SIZE, "big") + data


def decode_frame(data: bytes, cluster: str) -> Datagram | StateSync:
    """Decode a frame without its length; raise MalformedMessageError or ForeignClusterError."""
    body = _unseal(data)
    is_state_sync = body[:1] == STATE_SYNC_PREFIX
    try:
        message = (
            _state_sync_decoder.decode(body[1:]) if is_state_sync else _datagram_decoder.decode(body[1:])
        )
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessageError(f"malformed: {error}") from None
    if message.cluster != cluster:
        raise ForeignClusterError("of another fleet")
    return message
