"""What is known of the other zones: their heartbeats, their summaries, and some members to contact.

Nothing here decides who is a member or how large a share is: a zone without heartbeats is reported as silent
and keeps its part of the budgets.
"""

from __future__ import annotations

import random
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from arrowseam.membership.codec import ZoneSummary
from arrowseam.membership.records import MemberRecord, fingerprint
from arrowseam.membership.settings import SECOND

SPEAKER_COUNT = 3  # members of a zone that raise its heartbeat: the first active ones by rank
HEARTBEAT_INTERVAL = SECOND
SILENCE_TIMEOUT = 6 * SECOND  # without a heartbeat, until a zone is reported as silent
CONTACTS_MAX = 8  # members of another zone whose addresses are kept
HEARTBEAT_MAX = (1 << 32) - 1
TABLE_DIGEST_SIZE = 4  # bytes before the heartbeats
AGE_UNIT = SECOND // 10  # of the ages of heartbeats in messages
AGE_MAX = 255


def speaker_rank(name: str) -> int:
    """Return a number drawn by the name, so that the speakers of a zone are any of its members."""
    return fingerprint("speaks", name)


@dataclass
class Zone:
    """One zone; times in microseconds of the clock that the view is given."""

    name: str
    size: int  # configured members
    heartbeat: int = 0
    heartbeat_at: int | None = None  # when its zone raised the heartbeat, as far as messages tell
    silent: bool = False
    summary: ZoneSummary | None = None
    contacts: dict[str, MemberRecord] = field(default_factory=dict)  # the one met last is the last
    awaited: str = ""  # the contact that we last sent to, until it answers
    unresponsive: dict[str, None] = field(default_factory=dict)  # contacts without an answer, the next first

    @property
    def preferred_contacts(self) -> list[MemberRecord]:
        """Return the contacts that answer, or all if none does."""
        answering = [r for name, r in self.contacts.items() if name not in self.unresponsive]
        return answering or list(self.contacts.values())

    def note_unresponsive(self) -> None:
        """The contact that we last sent to has not answered before the next message."""
        if self.awaited in self.contacts:
            self.unresponsive.setdefault(self.awaited)
        self.awaited = ""

    def note_responsive(self, name: str) -> None:
        """A contact has answered, or its name has a new process."""
        self.unresponsive.pop(name, None)
        if self.awaited == name:
            self.awaited = ""

    def remove_contact(self, name: str) -> None:
        """Forget a contact."""
        del self.contacts[name]
        self.note_responsive(name)


class ZoneTable:
    """All zones by name, in the same order at all members."""

    def __init__(self, own: str, sizes: Iterable[tuple[str, int]], rnd: random.Random) -> None:
        self.own, self.random = own, rnd
        self.by_name = {name: Zone(name, size) for name, size in sorted(sizes)}
        text = repr([(zone.name, zone.size) for zone in self.by_name.values()])
        self._digest = zlib.crc32(text.encode()).to_bytes(TABLE_DIGEST_SIZE, "big")
        self._form = struct.Struct(f">{len(self.by_name)}I")

    @property
    def others(self) -> list[Zone]:
        """All zones but ours."""
        return [zone for zone in self.by_name.values() if zone.name != self.own]

    @property
    def total_size(self) -> int:
        """Configured members of all zones."""
        return sum(zone.size for zone in self.by_name.values())

    # --- heartbeats ---

    def encoded_heartbeats(self) -> bytes:
        """Return the heartbeats of all zones for a datagram; empty where there are no zones."""
        if not self.by_name:
            return b""
        return self._digest + self._form.pack(*(zone.heartbeat for zone in self.by_name.values()))

    def encoded_ages(self, now: int) -> bytes:
        """Return how long ago each zone raised its heartbeat, for a datagram, rounded down.

        Without it a heartbeat counts as new where it arrives late: a zone that ended long ago would be held
        for heard by a member that was cut off, or started, until a whole timeout after it heard of it.
        """
        ages = (0 if zone.heartbeat_at is None else now - zone.heartbeat_at for zone in self.by_name.values())
        return bytes(min(AGE_MAX, age // AGE_UNIT) for age in ages)

    def merge_heartbeats(self, now: int, encoded: bytes, ages: bytes = b"") -> bool:
        """Take in the heartbeats that rose; return False if the sender has another table of zones.

        ``ages``: as ``encoded_ages`` gives them; versions that send none count as telling new heartbeats.
        """
        if not encoded or not self.by_name:
            return True
        if encoded[:TABLE_DIGEST_SIZE] != self._digest or len(encoded) != TABLE_DIGEST_SIZE + self._form.size:
            return False
        heartbeats = self._form.unpack_from(encoded, TABLE_DIGEST_SIZE)
        if len(ages) != len(heartbeats):
            ages = bytes(len(heartbeats))
        for zone, heartbeat, age in zip(self.by_name.values(), heartbeats, ages):
            raised_at = now - age * AGE_UNIT
            if heartbeat > zone.heartbeat:
                zone.heartbeat, zone.heartbeat_at = heartbeat, raised_at
            elif heartbeat == zone.heartbeat and zone.heartbeat_at is not None:
                # The age told is never more than the true one: who tells the greater is nearer to it.
                zone.heartbeat_at = min(zone.heartbeat_at, raised_at)
        return True

    def is_speaker(self, own_name: str, others: Iterable[str], ranks: dict[str, int]) -> bool:
        """Return whether we are among the first active members by rank; ``ranks`` caches those of others."""
        own_rank, before = speaker_rank(own_name), 0
        for name in others:
            found = ranks.get(name)
            if found is None:
                found = ranks[name] = speaker_rank(name)
            before += found < own_rank
            if before >= SPEAKER_COUNT:
                return False
        return True

    def raise_heartbeat(self, now: int, wall_s: int) -> bool:
        """Raise our zone's heartbeat unless another speaker just has.

        It follows the wall clock in seconds, so that it keeps rising after a zone that has lost all memory
        restarts, and is one more than the last where that clock went back.
        """
        zone = self.by_name[self.own]
        if zone.heartbeat_at is not None and now - zone.heartbeat_at < HEARTBEAT_INTERVAL:
            return False
        zone.heartbeat, zone.heartbeat_at = min(HEARTBEAT_MAX, max(zone.heartbeat + 1, wall_s)), now
        return True

    def update_silence(self, now: int) -> list[Zone]:
        """Return the zones that have become silent, or are heard again."""
        changed = []
        for zone in self.others:
            silent = zone.heartbeat_at is not None and now - zone.heartbeat_at >= SILENCE_TIMEOUT
            if silent != zone.silent:
                zone.silent = silent
                changed.append(zone)
        return changed

    # --- summaries ---

    def merge_summary(self, summary: ZoneSummary) -> bool:
        """Return whether a summary is the latest of its zone; a late or repeated one is not."""
        zone = self.by_name.get(summary.zone)
        if zone is None:
            return False
        known = zone.summary
        if known is not None and (summary.heartbeat, summary.author) <= (known.heartbeat, known.author):
            return False
        zone.summary = summary
        return True

    # --- contacts ---

    def add_contact(self, record: MemberRecord, answered: bool) -> None:
        """Note a member of another zone that spoke to us, or that others named."""
        zone = self.by_name.get(record.zone)
        if zone is None or zone.name == self.own:
            return
        known = zone.contacts.get(record.name)
        if answered:
            zone.contacts.pop(record.name, None)
        elif known is not None and known.precedence >= record.precedence:
            return
        elif known is None and len(zone.contacts) >= CONTACTS_MAX:
            # Replaces one by lot: otherwise all members would keep to the few that they began with.
            zone.remove_contact(self.random.choice(list(zone.unresponsive or zone.contacts)))
        if answered or known is None or known.process_id != record.process_id:
            zone.note_responsive(record.name)
        zone.contacts[record.name] = record
        while len(zone.contacts) > CONTACTS_MAX:
            zone.remove_contact(next(iter(zone.unresponsive or zone.contacts)))

    def choose_contact(self, zone: Zone) -> MemberRecord | None:
        """Return a member to send to, one that answers if there is any."""
        if zone.awaited:
            zone.note_unresponsive()
        if not zone.contacts:
            return None
        contact = self.random.choice(zone.preferred_contacts)
        zone.awaited = contact.name
        return contact

    def next_unresponsive(self, zone: Zone) -> MemberRecord | None:
        """Return the contact without an answer that was tried the longest ago, if there is one.

        It may hear us though we do not hear it, and after a cut it may be the only member within reach: a
        contact that was dropped would not be tried again, since nobody who could name it is heard either.
        """
        name = next(iter(zone.unresponsive), None)
        if name is None:
            return None
        del zone.unresponsive[name]
        zone.unresponsive[name] = None
        return zone.contacts[name]

    def sample_contacts(self, count: int, excluded: str = "") -> list[MemberRecord]:
        """Return one contact each of up to ``count`` other zones, without the one excluded."""
        zones = [zone for zone in self.others if zone.name != excluded and zone.contacts]
        chosen = self.random.sample(zones, min(count, len(zones)))
        return [self.random.choice(zone.preferred_contacts) for zone in chosen]
