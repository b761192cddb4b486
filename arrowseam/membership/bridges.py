"""Messages between zones: cordons, heartbeats, summaries and contacts.

A view holds only the members of its own zone. Each member sends to another zone occasionally, so that a zone
as a whole sends to every other zone often, regardless of its size.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from arrowseam.membership import codec
from arrowseam.membership.codec import Datagram, MessageKind, StateSync, ZoneSummary
from arrowseam.membership.dissemination import ARRAY_HEADERS
from arrowseam.membership.effects import MembershipEvent
from arrowseam.membership.records import ENDED_STATES, Address, MemberRecord, State
from arrowseam.membership.settings import SECOND
from arrowseam.membership.zones import Zone

if TYPE_CHECKING:
    from arrowseam.membership.view import ClusterView

# Probe intervals between two messages of a member: active members of its zone / divisor, within these bounds.
INTERVALS_MIN, INTERVALS_MAX, INTERVALS_DIVISOR = 2, 20, 27
CORDON_SENDERS = 24  # average number of members, for any zone size, that forward a cordon to another zone
OWN_CONTACTS = 2  # members of our zone listed as contacts in a message
SUMMARIES_OF_OTHERS = 2  # summaries of other zones in a message
ANSWERED_KINDS = (MessageKind.PING, MessageKind.BRIDGE)
BRIDGE_KINDS = (MessageKind.BRIDGE, MessageKind.BRIDGE_REPLY)


class ZoneBridges:
    """Exchanges messages with other zones; raises our zone's heartbeat if we are one of its speakers."""

    def __init__(self, view: ClusterView) -> None:
        self.view, self.context, self.members = view, view.context, view.members
        self.foreign_seeds: set[Address] = set()  # seed addresses used by a member of another zone
        self.ranks: dict[str, int] = {}  # speaker ranks of the members of our zone
        self._conflicting_nonces: set[int] = set()  # nonces of processes in other zones that use our name
        self._wall_offset = 0  # wall clock minus the view's clock, microseconds
        self._last_zone_index = 0  # of the zone to which we last sent

    def start(self, wall_offset: int) -> None:
        """Start sending; ``wall_offset``: wall clock minus the view's clock, microseconds."""
        self._wall_offset = wall_offset
        if self.view.zones.others:
            self._schedule_send(self.context.random.randrange(self._intervals_between_sends()) + 1)
            self._last_zone_index = self.context.random.randrange(len(self.view.zones.others))
            first = self.context.now + int(self.context.random.random() * SECOND)
            self.context.timers.schedule(first, self._on_heartbeat_timer)

    # --- sending ---

    def _intervals_between_sends(self) -> int:
        return min(INTERVALS_MAX, max(INTERVALS_MIN, self.members.active_count // INTERVALS_DIVISOR))

    def _schedule_send(self, intervals: int) -> None:
        """Send after this many probe intervals.

        Unlike probes, these messages do not slow down when this member misses answers: they may be the only
        path by which its zone or another one is heard.
        """
        at = self.context.now + intervals * self.context.settings.probe_interval
        self.context.timers.schedule(at, self._on_send_timer)

    def _on_send_timer(self) -> None:
        self._schedule_send(self._intervals_between_sends())
        if not self.context.leaving:
            self.send_to(self._next_zone())

    def _next_zone(self) -> Zone:
        """Return the other zones in turn: with a random choice one might get no message for long."""
        others = self.view.zones.others
        self._last_zone_index = (self._last_zone_index + 1) % len(others)
        return others[self._last_zone_index]

    def on_cordon_push(self) -> None:
        """Forward queued cordons to a random zone, as one of about ``CORDON_SENDERS`` members that do."""
        others, rnd = self.view.zones.others, self.context.random
        if others and rnd.random() * self.members.active_count < CORDON_SENDERS:
            self.send_to(rnd.choice(others))

    def send_to(self, zone: Zone) -> None:
        """Send to a contact in the zone and to an unresponsive one; to a seed if no contact is known."""
        zones = self.view.zones
        contact = zones.choose_contact(zone)
        if contact is None:
            self._send_to_seed(zone)
            return
        self._send_bridge(zone, contact.address)
        unresponsive = zones.next_unresponsive(zone)
        if unresponsive is not None and unresponsive is not contact:
            self._send_bridge(zone, unresponsive.address)

    def _send_to_seed(self, zone: Zone) -> None:
        """Send to a seed that may be in this zone.

        If a member can send but not receive when it starts, its streams to the seeds fail; datagrams still
        tell the seeds that its zone is alive.
        """
        contacts = (record.address for other in self.view.zones.others for record in other.contacts.values())
        known = self.members.active_addresses().union(contacts)
        unknown = [seed for seed in self.context.settings.seeds if seed not in known]
        if unknown:
            self._send_bridge(zone, self.context.random.choice(unknown))

    def _send_bridge(self, zone: Zone, address: Address) -> None:
        self.context.counters["bridges"] += 1
        message = self.compose(MessageKind.BRIDGE, self.context.next_number(), zone.name)
        self.view.dissemination.send(address, message)

    def compose(self, kind: MessageKind, number: int, zone_name: str) -> Datagram:
        """Return a message for another zone: cordons, heartbeats, summaries, and members to contact."""
        zones = self.view.zones
        contacts = self.own_contacts(OWN_CONTACTS) + zones.sample_contacts(1, zone_name)
        zone = zones.by_name.get(zone_name)
        if zone is not None and zone.contacts:
            contacts.append(self.context.random.choice(zone.preferred_contacts))
        bare = Datagram(
            codec.VERSION,
            self.context.settings.cluster,
            kind,
            number,
            self.members.me,
            self.view.cordons.digest,
            heartbeats=zones.encoded_heartbeats(),
            heartbeat_ages=zones.encoded_ages(self.context.now),
            contacts=contacts,
        )
        room = codec.DATAGRAM_MAX - len(codec.encode_datagram(bare)) - ARRAY_HEADERS
        queue = self.view.dissemination.cross_zone_queue
        _, cordons, _ = queue.take(len(zones.by_name) * CORDON_SENDERS, room)
        room -= sum(codec.encoded_size(cordon) for cordon in cordons)
        summaries = self._summaries_for(zone_name, room)
        return msgspec.structs.replace(bare, cordons=cordons, summaries=summaries)

    def _summaries_for(self, zone_name: str, room: int) -> list[ZoneSummary]:
        """Return the summaries of our zone and of some others, ``room`` bytes at most."""
        zones = self.view.zones
        known = [z.summary for z in zones.others if z.summary is not None and z.name != zone_name]
        candidates = self.context.random.sample(known, min(SUMMARIES_OF_OTHERS, len(known)))
        own = zones.by_name.get(self.members.me.zone)
        if own is not None and own.summary is not None:
            candidates.insert(0, own.summary)
        summaries = []
        for summary in candidates:
            room -= codec.encoded_size(summary)
            if room < 0:
                break
            summaries.append(summary)
        return summaries

    def own_contacts(self, count: int) -> list[MemberRecord]:
        """Return up to ``count`` members of our zone that are not suspected."""
        sampled = self.members.sample(count, self.context.random)
        return [record for record in sampled if record.state is State.ALIVE]

    # --- receiving ---

    def on_message(self, message: Datagram) -> Datagram | None:
        """Process a message from a member of another zone; return the answer."""
        self.on_foreign_sender(message.sender)
        for record in message.contacts:
            self.view.updates.on_update(record)
        self.view.cordon_replication.on_cordons(message.cordons)
        self.on_zone_status(message)
        state_sync = self.view.state_sync
        cordons_differ = message.kind in BRIDGE_KINDS and message.digest != self.view.cordons.digest
        if cordons_differ and state_sync.is_due():
            state_sync.request(message.sender.address)
        if message.kind in ANSWERED_KINDS and message.sender.state is not State.LEFT:
            return self.compose(MessageKind.BRIDGE_REPLY, message.number, message.sender.zone)
        return None

    def on_foreign_sender(self, record: MemberRecord) -> None:
        """Process the record of a member of another zone that sent us a message."""
        known = self.members.records.get(record.name)
        counted_out = self.view.evidence.counted_out
        if known is not None and record.address == known.address and known.name not in counted_out:
            # The member may have moved to that zone; or the message is late, or its clock wrong: probe it.
            self.view.streams.probe(known)
        if record.name == self.members.me.name and record.nonce not in self._conflicting_nonces:
            self._conflicting_nonces.add(record.nonce)
            self.context.counters["namesakes"] += 1
            text = f"{record.host}:{record.port} in zone {record.zone} also uses the name {record.name}"
            self.context.log(MembershipEvent.NAME_CONFLICT, text, "error")
        if record.is_active:
            self.view.zones.add_contact(record, True)
        if record.address in self.context.settings.seeds:
            self.foreign_seeds.add(record.address)

    def on_zone_status(self, message: Datagram | StateSync) -> None:
        """Merge heartbeats and summaries received from a member of any zone."""
        zones, now = self.view.zones, self.context.now
        if not zones.merge_heartbeats(now, message.heartbeats, message.heartbeat_ages):
            if not self.context.counters["tables"]:
                text = "a member is configured with different zones or zone sizes"
                self.context.log(MembershipEvent.ZONE_TABLE_MISMATCH, text, "error")
            self.context.counters["tables"] += 1
        for summary in message.summaries:
            self._on_summary(summary)

    def _on_summary(self, summary: ZoneSummary) -> None:
        if self.view.zones.merge_summary(summary):
            self.view.dissemination.queue.add(summary)

    # --- our zone's heartbeat ---

    def _on_heartbeat_timer(self) -> None:
        """Raise our zone's heartbeat if we are a speaker; log zones that became silent or are heard again."""
        now, zones = self.context.now, self.view.zones
        self.context.timers.schedule(now + SECOND, self._on_heartbeat_timer)
        if not self.context.leaving and self._is_speaker():
            zones.raise_heartbeat(now, (self._wall_offset + now) // SECOND)
            self._update_own_summary()
        for zone in zones.update_silence(now):
            if zone.silent:
                self.context.log(MembershipEvent.ZONE_SILENT, f"zone {zone.name} is silent", "warning")
            else:
                self.context.log(MembershipEvent.ZONE_BACK, f"zone {zone.name} is heard again")

    def _is_speaker(self) -> bool:
        members = self.members
        return self.view.zones.is_speaker(members.me.name, members.ring.names, self.ranks)

    def _update_own_summary(self) -> None:
        zone = self.view.zones.by_name[self.members.me.zone]
        states = Counter(record.state for record in self.members.records.values())
        active = 1 + states[State.ALIVE] + states[State.SUSPECT]
        ended = sum(states[state] for state in ENDED_STATES)
        counts = active, states[State.DEAD], ended
        known = zone.summary
        if known is None or (known.active, known.dead, known.ended) != counts:
            self._on_summary(ZoneSummary(zone.name, zone.heartbeat, self.members.me.name, *counts))
