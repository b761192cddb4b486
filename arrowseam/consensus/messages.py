"""Messages between voters and their stored records, encoded as MessagePack arrays.

The order of fields and the tags define the wire and file format; names may change. A later version may append
fields to an array: decoders ignore them.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TypeAlias

import msgspec

from arrowseam.membership.records import Name, Number


class WireStruct(msgspec.Struct, array_like=True, frozen=True):
    """Base class of all messages and stored records."""


class Voter(WireStruct, frozen=True, order=True):
    """A proxy and the identity of its stored state: a proxy that has lost this state is a different voter."""

    name: Name
    nonce: Number  # random, drawn when the state is created


class Epoch(WireStruct, frozen=True, order=True):
    """One history of the log. The larger epoch wins: an operator began it to replace those before."""

    number: Number = 0
    nonce: Number = 0  # distinguishes two epochs that were begun at the same time


class EntryKind(IntEnum):
    """Type of an entry's data. A later version may add kinds, so ``Entry.kind`` is a plain number."""

    NOOP = 0  # the first entry of a leader's term
    VOTERS = 1  # a configuration: the list of voters
    COMMAND = 2  # a command for the replicated state


class Entry(WireStruct, frozen=True):
    """One entry of the log."""

    term: Number
    kind: int  # an EntryKind
    data: bytes = b""


class Snapshot(WireStruct, frozen=True):
    """Replaces all entries up to ``index``; the entry at ``index`` was of ``term``."""

    index: Number = 0
    term: Number = 0
    voters: tuple[Voter, ...] = ()
    state: bytes = b""  # the replicated state, encoded


# --- stored records ---------------------------------------------------------------------------------------


class HardState(WireStruct, frozen=True, tag=1):
    """What a voter must have stored before it answers: its epoch, identity, term and vote."""

    epoch: Epoch
    voter: Voter
    term: Number
    voted_for: Voter | None = None


class AppendedEntries(WireStruct, frozen=True, tag=2):
    """Entries from ``index`` on; they replace any entries stored from there on."""

    index: Number
    entries: list[Entry]


class Checkpoint(WireStruct, frozen=True, tag=3):
    """The complete state; it replaces all earlier records."""

    hard_state: HardState
    snapshot: Snapshot
    entries: list[Entry]


StoredRecord: TypeAlias = HardState | AppendedEntries | Checkpoint


# --- messages ---------------------------------------------------------------------------------------------


class RequestVote(WireStruct, frozen=True, tag=10):
    """Asks for a vote; a pre-vote only asks whether it would be granted, and binds nobody."""

    epoch: Epoch
    term: Number
    sender: Voter
    last_index: Number
    last_term: Number
    pre_vote: bool


class RequestVoteReply(WireStruct, frozen=True, tag=11):
    """The reply; a refusal also tells a sender with an older epoch or term the newer one."""

    epoch: Epoch
    term: Number
    sender: Voter
    granted: bool
    pre_vote: bool


class AppendEntries(WireStruct, frozen=True, tag=12):
    """The entries after ``prev_index``; a heartbeat if there are none."""

    epoch: Epoch
    term: Number
    sender: Voter
    prev_index: Number
    prev_term: Number
    entries: list[Entry]
    commit_index: Number


class AppendEntriesReply(WireStruct, frozen=True, tag=13):
    """The reply to ``AppendEntries`` and to ``InstallSnapshot``."""

    epoch: Epoch
    term: Number
    sender: Voter
    success: bool
    match_index: Number  # the logs match up to here; without success, the index after which to retry


class InstallSnapshot(WireStruct, frozen=True, tag=14):
    """The leader's snapshot, for a log that lacks entries which the leader has already compacted."""

    epoch: Epoch
    term: Number
    sender: Voter
    snapshot: Snapshot


class JoinRequest(WireStruct, frozen=True, tag=15):
    """Sent by a process that operators list as a voter and that is in no voter configuration it knows of."""

    epoch: Epoch
    term: Number
    sender: Voter


RaftMessage: TypeAlias = (
    RequestVote | RequestVoteReply | AppendEntries | AppendEntriesReply | InstallSnapshot | JoinRequest
)

encoder = msgspec.msgpack.Encoder()
_voters_decoder: msgspec.msgpack.Decoder[tuple[Voter, ...]] = msgspec.msgpack.Decoder(tuple[Voter, ...])


def encode_voters(voters: tuple[Voter, ...]) -> bytes:
    """Encode a configuration as the data of an entry of kind ``VOTERS``."""
    return encoder.encode(voters)


def decode_voters(entry: Entry) -> tuple[Voter, ...]:
    """Decode the configuration in an entry of kind ``VOTERS``."""
    return _voters_decoder.decode(entry.data)
