"""Wire format of membership datagrams and streams.

A magic word and a checksum, followed by MessagePack arrays: field names are not transmitted. Fields that a
later version appends to an array are ignored. This module does not interpret the updates.
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
HEADER_SIZE = len(MAGIC) + 4  # the magic word and the CRC-32 of the body
DATAGRAM_MAX = 1400
STREAM_MAX = 4 << 20
LENGTH_SIZE = 4  # bytes of the length prefix of a frame on a stream
VERSION = 1

BUCKET_COUNT = 64  # member names are hashed into buckets, each with its own digest
ZONES_MAX = 64
HEARTBEATS_MAX = 4 + 4 * ZONES_MAX
HeartbeatAges = Annotated[bytes, Meta(max_length=ZONES_MAX)]  # one byte per zone; empty: not sent
STATE_SYNC_PREFIX = b"W"  # the first byte of the body of a frame
DATAGRAM_PREFIX = b"D"


class MessageKind(IntEnum):
    """Kinds of datagrams; a datagram of an unknown kind is counted and otherwise ignored."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3  # asks the receiver to probe a third member (indirect probe)
    NACK = 4  # the third member did not answer the indirect probe
    PUSH = 5  # urgent updates that do not wait for a probe; not answered
    BRIDGE = 6  # sent to a member of another zone
    BRIDGE_REPLY = 7


class SyncPart(IntEnum):
    """The messages of a state synchronisation."""

    REQUEST = 0  # carries the requester's bucket digests
    RESPONSE = 1  # carries the records of the buckets that differ
    PUSH = 2  # carries the records that the response showed to be missing at the responder
    REDIRECT = 3  # the responder's traffic budget is used up; names other members to ask


Cluster = Annotated[str, Meta(max_length=64)]
Digest = int  # 64 bits; msgspec cannot constrain integers beyond 63 bits


class ZoneSummary(msgspec.Struct, array_like=True, frozen=True):
    """Member counts of a zone, compiled by one of its speakers; only shown to operators."""

    zone: Annotated[str, Meta(min_length=1, max_length=ZONE_MAX)]
    heartbeat: Annotated[int, Meta(ge=0, le=(1 << 32) - 1)]  # at its creation: the latest summary wins
    author: Name
    active: Number
    dead: Number
    ended: Number


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One datagram; every kind carries gossip."""

    version: Annotated[int, Meta(ge=1)]
    cluster: Cluster
    kind: int  # a ``MessageKind``, or a kind of a later version
    number: Number  # of the probe to which the datagram belongs
    sender: MemberRecord
    digest: Digest  # of the sender's view
    subject: MemberRecord | None = None  # the member to probe, or the one that answered
    updates: list[MemberRecord] = []
    cordons: list[Cordon] = []
    recognised: bool = True  # in an answer: the sender knows the requesting process as a member
    info: MemberInfo | None = None
    heartbeats: Annotated[bytes, Meta(max_length=HEARTBEATS_MAX)] = b""  # in the order of the zone table
    holders: Annotated[bytes, Meta(max_length=1024)] = b""  # members known to have the same digest
    summaries: Annotated[list[ZoneSummary], Meta(max_length=64)] = []
    contacts: Annotated[list[MemberRecord], Meta(max_length=16)] = []  # members of any zone
    heartbeat_ages: HeartbeatAges = b""


class StateSync(msgspec.Struct, array_like=True, frozen=True):
    """A view, or the part in which two views differ, as sent over a stream."""

    version: Annotated[int, Meta(ge=1)]
    cluster: Cluster
    sender: MemberRecord
    records: list[MemberRecord]
    cordons: list[Cordon]
    info: MemberInfo | None = None
    buckets: Annotated[list[Digest], Meta(max_length=BUCKET_COUNT)] = []  # empty: sent by an older version
    cordon_digest: Digest = 0
    part: int = SyncPart.REQUEST
    heartbeats: Annotated[bytes, Meta(max_length=HEARTBEATS_MAX)] = b""
    summaries: Annotated[list[ZoneSummary], Meta(max_length=256)] = []
    contacts: Annotated[list[MemberRecord], Meta(max_length=1024)] = []
    heartbeat_ages: HeartbeatAges = b""


class MalformedMessageError(ArrowseamError, ValueError):
    """The bytes are not a message of this protocol; the text gives the reason."""


class ForeignClusterError(MalformedMessageError):
    """The message belongs to a cluster with another name."""


_encoder = msgspec.msgpack.Encoder()
_datagram_decoder: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)
_state_sync_decoder: msgspec.msgpack.Decoder[StateSync] = msgspec.msgpack.Decoder(StateSync)


def encoded_size(part: MemberRecord | Cordon | ZoneSummary) -> int:
    """Return the encoded size of an element of a datagram, in bytes."""
    return len(_encoder.encode(part))


def _encode(message: Datagram | StateSync) -> bytes:
    """Return the encoded body; without heartbeat ages, in the format of versions that do not know them."""
    fields = msgspec.structs.astuple(message)
    return _encoder.encode(fields if message.heartbeat_ages else fields[:-1])


def add_header(body: bytes) -> bytes:
    """Return the body prefixed with the magic word and its checksum."""
    return MAGIC + zlib.crc32(body).to_bytes(4, "big") + body


def _strip_header(data: bytes | memoryview) -> bytes:
    if bytes(data[: len(MAGIC)]) != MAGIC:
        raise MalformedMessageError("not a message of this protocol")
    body = bytes(data[HEADER_SIZE:])
    if zlib.crc32(body) != int.from_bytes(data[len(MAGIC) : HEADER_SIZE], "big"):
        raise MalformedMessageError("checksum mismatch: truncated or corrupted")
    return body


def encode_datagram(message: Datagram) -> bytes:
    """Return the encoded datagram."""
    return add_header(_encode(message))


def decode_datagram(data: bytes, cluster: str) -> Datagram:
    """Decode a datagram; raise MalformedMessageError, or ForeignClusterError if it is of another cluster."""
    if len(data) > DATAGRAM_MAX:
        raise MalformedMessageError("longer than the maximum size of a datagram")
    try:
        message = _datagram_decoder.decode(_strip_header(data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessageError(f"malformed: {error}") from None
    if message.cluster != cluster:
        raise ForeignClusterError("message of another cluster")
    return message


def encode_frame(message: Datagram | StateSync) -> bytes:
    """Return a frame for a stream, with its length prefix."""
    prefix = STATE_SYNC_PREFIX if isinstance(message, StateSync) else DATAGRAM_PREFIX
    data = add_header(prefix + _encode(message))
    return len(data).to_bytes(LENGTH_SIZE, "big") + data


def decode_frame(data: bytes, cluster: str) -> Datagram | StateSync:
    """Decode a frame without its length prefix; raise MalformedMessageError or ForeignClusterError."""
    body = _strip_header(data)
    is_state_sync = body[:1] == STATE_SYNC_PREFIX
    try:
        message = (
            _state_sync_decoder.decode(body[1:]) if is_state_sync else _datagram_decoder.decode(body[1:])
        )
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessageError(f"malformed: {error}") from None
    if message.cluster != cluster:
        raise ForeignClusterError("message of another cluster")
    return message
