"""Digests by which views are compared without sending them: per bucket, and the members with an equal digest.

The bucket digests form a Merkle tree of one level. Comparison by digests of ranges: Demers and others,
"Epidemic Algorithms for Replicated Database Maintenance", 1987.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from arrowseam.membership.codec import BUCKET_COUNT
from arrowseam.membership.records import MemberRecord, fingerprint

ALL_HOLDERS = b"f"
BITMAP_PREFIX = b"s"  # followed by one bit per name, in the order of the names, lowest bit first
BITMAP_NAMES_MAX = 2_048  # a bitmap takes at most 256 bytes of a datagram
BUCKETS_CACHED = 4096


@lru_cache(BUCKETS_CACHED)
def bucket_of(name: str) -> int:
    """Return the bucket of a member's name; all members compute the same."""
    return blake2b(name.encode(), digest_size=2).digest()[0] % BUCKET_COUNT


class BucketDigests:
    """For each bucket, a digest of all records whose names belong to it, whatever their state."""

    def __init__(self) -> None:
        self.digests = [0] * BUCKET_COUNT
        self._bucket_by_name: dict[str, int] = {}

    def copy(self) -> BucketDigests:
        """Return an independent copy."""
        copied = BucketDigests()
        copied.digests, copied._bucket_by_name = list(self.digests), dict(self._bucket_by_name)
        return copied

    def bucket(self, name: str) -> int:
        """Return the bucket of a name, cached for the names of this view."""
        found = self._bucket_by_name.get(name)
        if found is None:
            found = self._bucket_by_name[name] = bucket_of(name)
        return found

    def toggle(self, record: MemberRecord) -> None:
        """Add a record to its bucket's digest, or remove it again."""
        self.digests[self.bucket(record.name)] ^= fingerprint("said", record.name, *record.precedence)

    def forget(self, record: MemberRecord) -> None:
        """Remove a record and the cached bucket of its name."""
        self.toggle(record)
        self._bucket_by_name.pop(record.name, None)

    def differing(self, others: list[int]) -> set[int]:
        """Return the buckets that differ; all of them if the other side uses another number of buckets."""
        if len(others) != BUCKET_COUNT:
            return set(range(BUCKET_COUNT))
        return {n for n in range(BUCKET_COUNT) if others[n] != self.digests[n]}


class DigestHolders:
    """Bitmap of the members known to have our current digest, in the order of their names.

    A member with an equal digest knows the same processes, including ours: that is as good as an answer to
    one of our pings.
    """

    def __init__(self, name: str) -> None:
        self.digest = 0
        self._names = [name]
        self._bits = self._all_bits = 1

    def reset(self, digest: int, names: Iterable[str], own_name: str) -> None:
        """Start again with another digest, which only we are known to have."""
        self.digest = digest
        self._names = sorted(names)
        self._all_bits = (1 << len(self._names)) - 1
        self._bits = 0
        self.add(own_name)

    @property
    def is_complete(self) -> bool:
        """Whether all members have the digest."""
        return self._bits == self._all_bits

    def add(self, name: str) -> bool:
        """Add a holder; return whether it is a new one."""
        at = bisect_left(self._names, name)
        if at == len(self._names) or self._names[at] != name:
            return False
        is_new = not self._bits >> at & 1
        self._bits |= 1 << at
        return is_new

    def merge(self, encoded: bytes) -> list[str]:
        """Merge the holders known to another holder; return the names that are new here."""
        if encoded == ALL_HOLDERS:
            bits = self._all_bits
        elif encoded[:1] == BITMAP_PREFIX:
            bits = int.from_bytes(encoded[1:], "little")
        else:
            return []
        added = bits & self._all_bits & ~self._bits
        self._bits |= added
        names = []
        while added:
            lowest = added & -added
            names.append(self._names[lowest.bit_length() - 1])
            added ^= lowest
        return names

    def encoded(self) -> bytes:
        """Return the known holders for a datagram; empty if there are too many names for one."""
        if self.is_complete:
            return ALL_HOLDERS
        if len(self._names) > BITMAP_NAMES_MAX:
            return b""
        return BITMAP_PREFIX + self._bits.to_bytes((len(self._names) + 7) // 8, "little")
