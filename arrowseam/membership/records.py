"""The record of one member, and which of two updates about it takes precedence.

Updates are totally ordered, so views converge by keeping the larger one, whatever the order and number of
deliveries. On the wire a record is a MessagePack array: its field names are not transmitted.
"""

from __future__ import annotations

from enum import IntEnum
from functools import lru_cache
from hashlib import blake2b
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta

NAME_MAX = 64
ZONE_MAX = 32
FINGERPRINTS_CACHED = 4096

Name = Annotated[str, Meta(min_length=1, max_length=NAME_MAX)]
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Address: TypeAlias = tuple[str, int]


class State(IntEnum):
    """Of two updates about the same incarnation, the one with the larger state takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # did not answer in time; the process may still be running but unreachable
    GONE = 3  # its host refused a connection to its address: the process has ended
    LEFT = 4  # announced by the member itself, or declared by an operator


ENDED_STATES = (State.GONE, State.LEFT)  # the process has certainly ended

Precedence: TypeAlias = tuple[int, int, int, int]
ProcessId: TypeAlias = tuple[str, int, int]  # name, start time, nonce


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """One update about one member. After a restart under the same name the member is a new process."""

    name: Name
    started_at: Number  # microseconds on its own clock, or one more than the latest known start of its name
    nonce: Number  # random, drawn at start: distinguishes processes that claim the same name and start time
    incarnation: Number  # raised by the member itself to refute a suspicion
    state: State
    host: Annotated[str, Meta(min_length=1, max_length=64)]
    port: Port
    reported_by: Annotated[str, Meta(max_length=NAME_MAX)] = ""  # who suspects it or declared it dead
    zone: Annotated[str, Meta(max_length=ZONE_MAX)] = ""

    @property
    def precedence(self) -> Precedence:
        """The key by which updates are ordered: the larger one wins."""
        return self.started_at, self.nonce, self.incarnation, self.state

    @property
    def process_id(self) -> ProcessId:
        """Identifies one process of one member."""
        return self.name, self.started_at, self.nonce

    @property
    def is_active(self) -> bool:
        """Whether the member is believed to be running: alive, or only suspected."""
        return self.state <= State.SUSPECT

    @property
    def address(self) -> Address:
        """The address for datagrams and streams."""
        return self.host, self.port

    def with_state(self, state: State, reported_by: str = "") -> MemberRecord:
        """Return the same process and incarnation in another state."""
        return msgspec.structs.replace(self, state=state, reported_by=reported_by)


class MemberInfo(msgspec.Struct, array_like=True, frozen=True):
    """What a member reports about itself. Membership bases no decision on it; rollouts read some fields."""

    version: Annotated[str, Meta(max_length=32)] = ""
    settings_digest: Annotated[str, Meta(max_length=32)] = ""
    zone: Annotated[str, Meta(max_length=64)] = ""
    draining: bool = False
    connections: Number = 0
    rejections: Number = 0
    proxy_count: Number = 0  # the number of proxies by which it divides each budget


@lru_cache(FINGERPRINTS_CACHED)  # each fingerprint added to a digest is computed again to remove it
def fingerprint(*parts: str | int) -> int:
    """Return a 64-bit hash of one fact. The XOR of the hashes is the digest of a set of facts."""
    text = "\0".join(map(str, parts)).encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def activity_fingerprint(record: MemberRecord) -> int:
    """Return the contribution of a member to the digest of a view: a hash of its active process, or 0."""
    return fingerprint("here", *record.process_id) if record.is_active else 0
