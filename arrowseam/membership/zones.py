"""Information about the other zones: heartbeats, summaries, and some members to contact.

It has no effect on membership or budget shares: a zone without heartbeats is reported as silent and keeps its
part of the budgets.
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

SPEAKER_COUNT = 3  # members of a zone that raise its heartbeat: the active ones of lowest rank
HEARTBEAT_INTERVAL = SECOND
SILENCE_TIMEOUT = 6 * SECOND  # without a new heartbeat, until a zone is reported as silent
CONTACTS_MAX = 8  # members kept as contacts for each other zone
HEARTBEAT_MAX = (1 << 32) - 1
TABLE_DIGEST_SIZE = 4  # bytes of the zone table's digest before the heartbeats
AGE_UNIT = SECOND // 10  # resolution of heartbeat ages in messages
AGE_MAX = 255


def speaker_rank(name: str) -> int:
    """Return a pseudo-random rank from the name; the members with the lowest ranks speak for their zone."""
    return fingerprint("speaks", name)


@dataclass
class Zone:
    """One zone; times in microseconds of the clock passed to the view."""

    name: str
    size: int  # configured members
    heartbeat: int = 0
    heartbeat_at: int | None = None  # when the zone raised its heartbeat, derived from ages in messages
    silent: bool = False
    summary: ZoneSummary | None = None
    contacts: dict[str, MemberRecord] = field(default_factory=dict)  # most recently heard one last
    awaiting_answer: str = ""  # name of the contact to which we last sent, until it answers
    unresponsive: dict[str, None] = field(default_factory=dict)  # names of contacts, next retry first

    @property
    def preferred_contacts(self) -> list[MemberRecord]:
        """Return the responsive contacts, or all if none is responsive."""
        answering = [r for name, r in self.contacts.items() if name not in self.unresponsive]
        return answering or list(self.contacts.values())

    def note_unresponsive(self) -> None:
        """Mark the contact to which we last sent as unresponsive: it has not answered until now."""
        if self.awaiting_answer in self.contacts:
            self.unresponsive.setdefault(self.awaiting_answer)
        self.awaiting_answer = ""

    def note_responsive(self, name: str) -> None:
        """Mark a contact as responsive: it answered, or its name has a new process."""
        self.unresponsive.pop(name, None)
        if self.awaiting_answer == name:
            self.awaiting_answer = ""

    def remove_contact(self, name: str) -> None:
        """Remove a contact."""
        del self.contacts[name]
        self.note_responsive(name)


class ZoneTable:
    """All zones by name, in an order that is identical at all members."""

    def __init__(self, own: str, sizes: Iterable[tuple[str, int]], rnd: random.Random) -> None:
        self.own, self.random = own, rnd
        self.by_name = {name: Zone(name, size) for name, size in sorted(sizes)}
        text = repr([(zone.name, zone.size) for zone in self.by_name.values()])
        self._digest = zlib.crc32(text.encode()).to_bytes(TABLE_DIGEST_SIZE, "big")
        self._form = struct.Struct(f">{len(self.by_name)}I")

    @property
    def others(self) -> list[Zone]:
        """All zones except ours."""
        return [zone for zone in self.by_name.values() if zone.name != self.own]

    @property
    def total_size(self) -> int:
        """Number of configured members of all zones."""
        return sum(zone.size for zone in self.by_name.values())

    # --- heartbeats ---

    def encoded_heartbeats(self) -> bytes:
        """Return the heartbeats of all zones for a message; empty if there are no zones."""
        if not self.by_name:
            return b""
        return self._digest + self._form.pack(*(zone.heartbeat for zone in self.by_name.values()))

    def encoded_ages(self, now: int) -> bytes:
        """Return how long ago each zone raised its heartbeat, for a message, rounded down.

        Without ages a heartbeat that arrives late would count as new: a member that was cut off or has just
        started would report a zone that ended long ago as silent only a whole timeout later.
        """
        ages = (0 if zone.heartbeat_at is None else now - zone.heartbeat_at for zone in self.by_name.values())
        return bytes(min(AGE_MAX, age // AGE_UNIT) for age in ages)

    def merge_heartbeats(self, now: int, encoded: bytes, ages: bytes = b"") -> bool:
        """Merge received heartbeats; return False if the sender has a different zone table.

        ``ages``: as returned by ``encoded_ages``; heartbeats from versions that send none count as new.
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
                # A reported age never exceeds the true one, so the greater of two is more accurate.
                zone.heartbeat_at = min(zone.heartbeat_at, raised_at)
        return True

    def is_speaker(self, own_name: str, others: Iterable[str], ranks: dict[str, int]) -> bool:
        """Return whether we are one of our zone's speakers; ``ranks`` caches the ranks of other members."""
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
        """Raise our zone's heartbeat unless another speaker has just done so.

        It follows the wall clock in seconds, so that it still rises after all members of a zone restarted and
        lost their state; if the clock went back, it is incremented by one.
        """
        zone = self.by_name[self.own]
        if zone.heartbeat_at is not None and now - zone.heartbeat_at < HEARTBEAT_INTERVAL:
            return False
        zone.heartbeat, zone.heartbeat_at = min(HEARTBEAT_MAX, max(zone.heartbeat + 1, wall_s)), now
        return True

    def update_silence(self, now: int) -> list[Zone]:
        """Update which zones are silent; return those that changed."""
        changed = []
        for zone in self.others:
            silent = zone.heartbeat_at is not None and now - zone.heartbeat_at >= SILENCE_TIMEOUT
            if silent != zone.silent:
                zone.silent = silent
                changed.append(zone)
        return changed

    # --- summaries ---

    def merge_summary(self, summary: ZoneSummary) -> bool:
        """Store a summary if it is the latest of its zone; return False for a late or repeated one."""
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
        """Add a member of another zone that sent us a message (``answered``) or was named by others."""
        zone = self.by_name.get(record.zone)
        if zone is None or zone.name == self.own:
            return
        known = zone.contacts.get(record.name)
        if answered:
            zone.contacts.pop(record.name, None)
        elif known is not None and known.precedence >= record.precedence:
            return
        elif known is None and len(zone.contacts) >= CONTACTS_MAX:
            # Replace a random contact: otherwise all members would keep the few that they started with.
            zone.remove_contact(self.random.choice(list(zone.unresponsive or zone.contacts)))
        if answered or known is None or known.process_id != record.process_id:
            zone.note_responsive(record.name)
        zone.contacts[record.name] = record
        while len(zone.contacts) > CONTACTS_MAX:
            zone.remove_contact(next(iter(zone.unresponsive or zone.contacts)))

    def choose_contact(self, zone: Zone) -> MemberRecord | None:
        """Return a contact to send to, preferably a responsive one."""
        if zone.awaiting_answer:
            zone.note_unresponsive()
        if not zone.contacts:
            return None
        contact = self.random.choice(zone.preferred_contacts)
        zone.awaiting_answer = contact.name
        return contact

    def next_unresponsive(self, zone: Zone) -> MemberRecord | None:
        """Return the least recently tried unresponsive contact, if there is one.

        It may receive our messages though we do not receive its answers, and after a partition it may be the
        only reachable member. A dropped contact would not be tried again, since no member that could name it
        is heard either.
        """
        name = next(iter(zone.unresponsive), None)
        if name is None:
            return None
        del zone.unresponsive[name]
        zone.unresponsive[name] = None
        return zone.contacts[name]

    def sample_contacts(self, count: int, excluded: str = "") -> list[MemberRecord]:
        """Return one contact from each of up to ``count`` other zones, except the excluded one."""
        zones = [zone for zone in self.others if zone.name != excluded and zone.contacts]
        chosen = self.random.sample(zones, min(count, len(zones)))
        return [self.random.choice(zone.preferred_contacts) for zone in chosen]
