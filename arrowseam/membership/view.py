"""The cluster as one proxy sees it: a state machine without I/O, clock or random numbers of its own.

``ClusterView`` receives events with their time, passes each to the components concerned and returns the
effects to carry out. Each component has its own module: failure detector and suspicions, dissemination,
state synchronisation, zone bridges, cordons, reconnection, evidence and budget share.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

import msgspec

from arrowseam.membership import codec
from arrowseam.membership.bridges import ZoneBridges
from arrowseam.membership.codec import (
    Datagram,
    ForeignClusterError,
    MalformedMessageError,
    MessageKind,
    StateSync,
)
from arrowseam.membership.context import ViewContext
from arrowseam.membership.cordon_replication import CordonReplication
from arrowseam.membership.cordons import CordonSet
from arrowseam.membership.dissemination import Dissemination
from arrowseam.membership.effects import Effect
from arrowseam.membership.evidence import EvidenceTracker
from arrowseam.membership.failure_detector import FailureDetector
from arrowseam.membership.member_updates import MemberUpdates
from arrowseam.membership.members import MemberTable
from arrowseam.membership.reconnection import RETRY_SHORTEST, Reconnection
from arrowseam.membership.records import ENDED_STATES, MemberInfo, MemberRecord, State
from arrowseam.membership.settings import MembershipSettings
from arrowseam.membership.state_sync import QUIET_TIME, StateSynchronizer
from arrowseam.membership.streams import StreamTable
from arrowseam.membership.suspicion import SuspicionTracker
from arrowseam.membership.zones import ZoneTable
from arrowseam.outcomes import StreamOutcome

LEAVE_NOTIFICATIONS = 5  # members to which a leaving member sends its update directly


class ClusterView:
    """Times in microseconds of one monotonic clock; each event method returns its effects in order."""

    def __init__(
        self,
        me: MemberRecord,
        settings: MembershipSettings,
        rnd: random.Random,
        info: MemberInfo | None = None,
    ) -> None:
        if me.zone != settings.zone:
            me = msgspec.structs.replace(me, zone=settings.zone)
        self.info = info
        self.due: int | None = None  # time at which ``on_timer`` is to be called
        self.context = ViewContext(settings, rnd, me.nonce)
        self.members = MemberTable(me)
        self.zones = ZoneTable(settings.zone, settings.zones, rnd)
        self.evidence = EvidenceTracker(self)
        self.updates = MemberUpdates(self)
        self.suspicions = SuspicionTracker(self)
        self.failure_detector = FailureDetector(self)
        self.dissemination = Dissemination(self)
        self.streams = StreamTable(self)
        self.state_sync = StateSynchronizer(self)
        self.cordon_replication = CordonReplication(self)
        self.cordons: CordonSet = self.cordon_replication.cordons
        self.bridges = ZoneBridges(self)
        self.reconnection = Reconnection(self)

    # --- state ---

    @property
    def settings(self) -> MembershipSettings:
        """The settings in force."""
        return self.context.settings

    @property
    def me(self) -> MemberRecord:
        """Our own record."""
        return self.members.me

    @property
    def records(self) -> dict[str, MemberRecord]:
        """The other members of our zone by name."""
        return self.members.records

    @property
    def digest(self) -> int:
        """Equal for two views with the same active processes and the same cordons."""
        return self.members.digest ^ self.cordons.digest

    @property
    def changed_at(self) -> int:
        """Time of the last change to the state of this view."""
        return self.context.changed_at

    @property
    def counters(self) -> Counter[str]:
        """Event counters, by the names under which they are published."""
        return self.context.counters

    # --- events ---

    def start(self, now: int) -> list[Effect]:
        """Start as a member that knows only the seeds."""
        self._start_components(now)
        self.reconnection.start()
        return self._end_event()

    def start_established(
        self, now: int, records: Iterable[MemberRecord], like: ClusterView | None = None
    ) -> list[Effect]:
        """For simulations: start as a member of a long-running cluster whose members have all answered.

        ``like``: another view with the same members, including us, whose digests are copied.
        """
        self._start_components(now)
        members, evidence = self.members, self.evidence
        # As ``MemberUpdates.apply`` for each record, without its messages: simulations hold millions.
        own_zone = []
        for record in records:
            if record.name == members.me.name or members.is_foreign(record):
                self.zones.add_contact(record, False)
            else:
                own_zone.append(record)
                evidence.answered.add(record.process_id)
        members.load(own_zone, now, like.members if like is not None else None)
        evidence.confirmed = set(members.records)
        members.ring.fill(list(members.records), self.context.random)
        self.context.changed_at = now - QUIET_TIME
        return self._end_event()

    def on_timer(self, now: int) -> list[Effect]:
        """Run the timers that are due."""
        self._begin_event(now)
        self.context.timers.run_due(now)
        return self._end_event()

    def on_datagram(self, now: int, data: bytes) -> list[Effect]:
        """Process a datagram."""
        self._begin_event(now)
        try:
            message = codec.decode_datagram(data, self.settings.cluster)
        except MalformedMessageError as error:
            self.count_malformed(error)
            return self._end_event()
        self.counters["messages_in"] += 1
        self.counters["bytes_in"] += len(data)
        reply = self.on_message(message)
        if reply is not None:
            self.dissemination.send(message.sender.address, reply)
        return self._end_event()

    def on_stream_request(self, now: int, data: bytes) -> tuple[list[Effect], bytes | None]:
        """Process a frame on a stream that another member opened; return the effects and the answer frame."""
        self._begin_event(now)
        answer: bytes | None = None
        try:
            message = codec.decode_frame(data, self.settings.cluster)
        except MalformedMessageError as error:
            self.count_malformed(error)
        else:
            self.counters["bytes_in"] += len(data)
            answer = self._answer_frame(message)
        return self._end_event(), answer

    def _answer_frame(self, message: Datagram | StateSync) -> bytes | None:
        if isinstance(message, StateSync):
            response = self.state_sync.on_request(message)
            return None if response is None else self.state_sync.encode(response)
        reply = self.on_message(message)
        return None if reply is None else self.context.count_sent(codec.encode_frame(reply))

    def on_stream_closed(
        self, now: int, token: int, outcome: StreamOutcome, data: bytes = b""
    ) -> list[Effect]:
        """Process the outcome of a stream that we opened, with the received frame if it was answered."""
        self._begin_event(now)
        self.streams.on_closed(token, outcome, data)
        return self._end_event()

    def set_cordon(
        self, now: int, wall_ms: int, endpoint: str, cordoned: bool, renew: bool = False
    ) -> list[Effect]:
        """Cordon or uncordon an endpoint for our operator; ``renew``: also renew a cordon in force."""
        self._begin_event(now)
        self.cordon_replication.set_locally(endpoint, cordoned, wall_ms, renew)
        return self._end_event()

    def leave(self, now: int) -> list[Effect]:
        """Announce to the other members that this process is about to end on purpose."""
        self._begin_event(now)
        context = self.context
        if not context.leaving:
            context.leaving, self.evidence.complete = True, False
            left = msgspec.structs.replace(self.me, incarnation=self.me.incarnation + 1, state=State.LEFT)
            self.updates.announce(left)
            for record in self.members.sample(LEAVE_NOTIFICATIONS, context.random):
                self.dissemination.ping(record)
        return self._end_event()

    def declare_left(self, now: int, name: str) -> list[Effect] | None:
        """Declare a member left on our operator's request; None if it is unknown or active."""
        record = self.records.get(name)
        if record is None or record.is_active:
            return None
        self._begin_event(now)
        self.updates.declare_left(record)
        return self._end_event()

    def reconfigure(self, configured_members: int) -> None:
        """Change the number of configured members."""
        self.context.settings = replace(self.settings, configured_members=configured_members)

    # --- start and end of each event ---

    def _start_components(self, now: int) -> None:
        self._begin_event(now)
        self.dissemination.budget.refilled_at = now
        self.failure_detector.schedule_probe(int(self.context.random.random() * self.settings.probe_interval))
        self.reconnection.schedule(RETRY_SHORTEST)
        self.bridges.start(self.me.started_at - now)

    def _begin_event(self, now: int) -> None:
        context = self.context
        # Counted once per stall: events that queued up during it all arrive with the same time.
        late = now - max(self.due, context.now) if self.due is not None else 0
        context.now, context.effects = now, []
        if late > context.settings.probe_interval // 2 and context.settings.lifeguard:
            self.failure_detector.on_stall(late)

    def _end_event(self) -> list[Effect]:
        self.evidence.update_complete()
        self.due = self.context.timers.next_due
        return self.context.effects

    def count_malformed(self, error: MalformedMessageError) -> None:
        """Count data that is not a message of this cluster."""
        self.counters["foreign" if isinstance(error, ForeignClusterError) else "junk"] += 1

    # --- messages ---

    def on_message(self, message: Datagram) -> Datagram | None:
        """Process a message; return the answer to its sender."""
        members, sender = self.members, message.sender
        if members.is_self(sender):
            self.counters["echoes"] += 1
            return None
        if members.is_foreign(sender):
            return self.bridges.on_message(message)
        updates = self.updates
        updates.on_update(sender)
        known = members.records.get(sender.name)
        recognised = (
            known is not None and known.process_id == sender.process_id and known.state not in ENDED_STATES
        )
        if recognised:
            self._store_report(message)
        for record in message.updates:
            updates.on_update(record)
        for record in message.contacts:
            updates.on_update(record)
        self.cordon_replication.on_cordons(message.cordons)
        self.bridges.on_zone_status(message)
        # If our record of the sender is newer than the one it sent, it goes back so that it can be refuted.
        refutable = known if known is not None and known.precedence > sender.precedence else None
        reply = self._answer(message, refutable, recognised) if sender.state is not State.LEFT else None
        self.state_sync.compare(message)
        return reply

    def _store_report(self, message: Datagram) -> None:
        """Store what a member reports about itself and its view."""
        members, sender = self.members, message.sender
        if message.info is not None:
            members.infos[sender.name] = message.info, self.context.now
        members.reported_digests[sender.name] = message.digest
        if message.digest == self.digest and not self.context.leaving and sender.is_active:
            self.evidence.on_equal_digest(sender, message.holders)

    def _answer(self, message: Datagram, refutable: MemberRecord | None, recognised: bool) -> Datagram | None:
        match message.kind:
            case MessageKind.PING:
                return self.dissemination.compose(
                    MessageKind.ACK, message.number, refutable, recognised=recognised
                )
            case MessageKind.ACK:
                self.failure_detector.on_ack(message)
            case MessageKind.PING_REQUEST if message.subject is not None:
                self.failure_detector.on_ping_request(message, message.subject)
            case MessageKind.NACK:
                self.failure_detector.on_nack(message)
            case MessageKind.BRIDGE:  # the sender believes that we are in another zone
                return self.bridges.compose(MessageKind.BRIDGE_REPLY, message.number, message.sender.zone)
            case MessageKind.PUSH | MessageKind.BRIDGE_REPLY:
                pass  # they carry gossip only
            case _:
                self.counters["unknown"] += 1
        return None
