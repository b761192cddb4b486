"""Effects that a Raft node returns to its runtime: messages to send, records to store, entries to apply."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from arrowseam.consensus.messages import Entry, RaftMessage, StoredRecord


@dataclass(frozen=True)
class Send:
    """Send a message to the voter of this name; delivery is not guaranteed."""

    to: str
    message: RaftMessage


@dataclass(frozen=True)
class Persist:
    """Store these records, in this order, then call ``Node.on_records_stored`` with the token."""

    token: int
    records: tuple[StoredRecord, ...]


@dataclass(frozen=True)
class Commit:
    """Apply this committed entry to the replicated state; indices follow each other without gaps."""

    index: int
    entry: Entry


@dataclass(frozen=True)
class Restore:
    """Replace the replicated state by this one, which includes all entries up to ``index``."""

    index: int
    state: bytes


@dataclass(frozen=True)
class RoleChanged:
    """The role, the known leader or the voter configuration has changed."""


Effect: TypeAlias = Send | Persist | Commit | Restore | RoleChanged
