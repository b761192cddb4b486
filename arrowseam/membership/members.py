"""The members of our zone as known to this view, and the order in which they are probed."""

from __future__ import annotations

import random

from arrowseam.membership.digests import BucketDigests
from arrowseam.membership.records import (
    ENDED_STATES,
    Address,
    MemberInfo,
    MemberRecord,
    activity_fingerprint,
)

MEMBERS_MAX = 16_384  # per zone; updates about further members are ignored


class ProbeRing:
    """The other active members, each visited once per round, in an order shuffled anew for each round."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self._position = 0

    def fill(self, names: list[str], rnd: random.Random) -> None:
        """Replace all names."""
        self.names = names
        rnd.shuffle(self.names)

    def insert(self, name: str, rnd: random.Random) -> None:
        """Add a member at a random position."""
        self.names.insert(rnd.randrange(len(self.names) + 1), name)

    def remove(self, name: str) -> None:
        """Remove a member."""
        at = self.names.index(name)
        del self.names[at]
        self._position -= at < self._position

    def next(self, rnd: random.Random) -> str | None:
        """Return the next member to probe; None if there are no others."""
        if not self.names:
            return None
        if self._position >= len(self.names):
            self._position = 0
            rnd.shuffle(self.names)
        name = self.names[self._position]
        self._position += 1
        return name


class MemberTable:
    """Our own record and those of the other members by name, with digests that are updated on each change."""

    def __init__(self, me: MemberRecord) -> None:
        self.me = me
        self.records: dict[str, MemberRecord] = {}  # of the other members
        self.state_since: dict[str, int] = {}  # microseconds
        self.infos: dict[str, tuple[MemberInfo, int]] = {}  # with the time of receipt
        self.reported_digests: dict[str, int] = {}  # the digest of each member's view, as last reported by it
        self.zone_mismatches: set[str] = set()  # members without a zone or of a zone other than ours
        self.ring = ProbeRing()
        self.digest = activity_fingerprint(me)
        self.buckets = BucketDigests()
        self.buckets.toggle(me)

    @property
    def active_count(self) -> int:
        """Active members, including us."""
        return len(self.ring.names) + 1

    @property
    def known_count(self) -> int:
        """Known names in any state, including ours."""
        return len(self.records) + 1

    def active_addresses(self) -> set[Address]:
        """Return the addresses of all active members, including ours."""
        return {r.address for r in self.records.values() if r.is_active} | {self.me.address}

    def is_foreign(self, record: MemberRecord) -> bool:
        """Return whether a member is in another zone; a member without a zone belongs to all zones."""
        return bool(record.zone and self.me.zone and record.zone != self.me.zone)

    def is_self(self, sender: MemberRecord) -> bool:
        """Return whether a message was sent by this process itself."""
        return sender.name == self.me.name and sender.nonce == self.me.nonce

    def sample(self, count: int, rnd: random.Random) -> list[MemberRecord]:
        """Return up to ``count`` random active members."""
        names = rnd.sample(self.ring.names, min(count, len(self.ring.names)))
        return [self.records[name] for name in names]

    def replace_self(self, record: MemberRecord) -> None:
        """Replace our own record."""
        self._toggle(self.me)
        self.me = record
        self._toggle(record)

    def store(self, record: MemberRecord) -> None:
        """Insert or replace the record of a member."""
        known = self.records.get(record.name)
        self.records[record.name] = record
        if known is not None:
            self._toggle(known)
        self._toggle(record)
        if record.zone != self.me.zone and record.state not in ENDED_STATES:
            self.zone_mismatches.add(record.name)
        else:
            self.zone_mismatches.discard(record.name)

    def load(self, records: list[MemberRecord], now: int, like: MemberTable | None) -> None:
        """Start with these members. ``like``: a table of the same members and us; its digests are copied."""
        self.records = {record.name: record for record in records}
        self.state_since = dict.fromkeys(self.records, now)
        self.zone_mismatches = {r.name for r in records if r.zone != self.me.zone}
        if like is not None:
            self.digest, self.buckets = like.digest, like.buckets.copy()
            return
        for record in records:
            self._toggle(record)

    def _toggle(self, record: MemberRecord) -> None:
        self.digest ^= activity_fingerprint(record)
        self.buckets.toggle(record)

    def forget_reports(self, name: str) -> None:
        """Discard what a previous process of a member reported."""
        self.infos.pop(name, None)
        self.reported_digests.pop(name, None)

    def drop(self, name: str) -> None:
        """Remove an inactive member."""
        self.buckets.forget(self.records.pop(name))
        self.state_since.pop(name, None)
        self.forget_reports(name)
        self.zone_mismatches.discard(name)
