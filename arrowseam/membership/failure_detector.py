"""SWIM's failure detector with Lifeguard's local health.

Each interval one member is pinged. Without an answer in time others are asked to ping it, and a stream is
opened to its address; without an answer from any of these it is suspected. A member that fails to hear from
others slows its own probes down first: the fault may be its own.

Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
2002; Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2017.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from arrowseam.membership.codec import Datagram, MessageKind
from arrowseam.membership.records import MemberRecord, State
from arrowseam.membership.settings import MS

if TYPE_CHECKING:
    from arrowseam.membership.view import ClusterView

HEALTH_MAX = 8  # Lifeguard's S: probes are slowed down by one more than this at most
AFTER_PROOF = 10 * MS  # until the next probe, where the last member has ended: many may have, at once
GREETED_FIRST, GREETED_LATER = 20, 4  # members greeted in the first interval, and in each later one
ROUND_TRIPS_KEPT = 256


class Probe(msgspec.Struct):
    """The probe of this interval; times in microseconds."""

    number: int
    target: MemberRecord
    sent_at: int
    nacks_due: int = 0
    nacks: int = 0


class RelayedProbe(msgspec.Struct):
    """A probe made for another member."""

    requester: MemberRecord
    number: int  # of the requester's probe


class FailureDetector:
    """Probes one member an interval, answers for others, and knows how far to trust itself."""

    def __init__(self, view: ClusterView) -> None:
        self.view, self.context, self.members = view, view.context, view.members
        self.probe: Probe | None = None
        self.relayed: dict[int, RelayedProbe] = {}
        self.health = 0  # 0: as it should be
        self.greeted = False
        self.round_trips: deque[int] = deque(maxlen=ROUND_TRIPS_KEPT)  # microseconds, for a histogram
        self._timer_number = 0  # of the only probe timer that counts

    def adjust_health(self, change: int) -> None:
        """Trust ourselves less, or more again."""
        if self.context.settings.lifeguard:
            self.health = max(0, min(HEALTH_MAX, self.health + change))

    def on_stall(self, late: int) -> None:
        """This process did not run for ``late`` microseconds.

        Otherwise a process that wakes after ten seconds finds all its probes unanswered and declares the
        whole cluster dead: what was under way is dropped without a verdict.
        """
        self.context.counters["stalls"] += 1
        self.adjust_health(1 + late // self.context.settings.probe_interval)
        self.probe = None
        self.relayed.clear()
        self.view.suspicions.postpone(late)

    # --- the probe of each interval ---

    def schedule_probe(self, delay: int) -> None:
        """Probe after ``delay`` microseconds, in place of the probe scheduled before."""
        self._timer_number = self.context.next_number()
        self.context.timers.schedule(self.context.now + delay, self._on_probe_timer, self._timer_number)

    def _on_probe_timer(self, timer_number: int) -> None:
        if timer_number != self._timer_number:
            return
        self._evaluate()
        self.probe = None
        slowdown = 1 + self.health
        self.schedule_probe(self.context.settings.probe_interval * slowdown)
        if self.context.leaving:
            return
        self._greet()
        name = self.members.ring.next(self.context.random)
        if name is None:
            return
        target = self.members.records[name]
        number = self.view.dissemination.ping(target)
        self.probe = Probe(number, target, self.context.now)
        timeout = self.context.now + self.context.settings.probe_timeout * slowdown
        self.context.timers.schedule(timeout, self._on_probe_timeout, number)
        self.context.counters["probes"] += 1

    def _greet(self) -> None:
        """After a start: ping some of those that have not answered our present process."""
        evidence, rnd = self.view.evidence, self.context.random
        if evidence.complete:
            return
        unconfirmed = [name for name in self.members.ring.names if name not in evidence.confirmed]
        limit = GREETED_LATER if self.greeted else GREETED_FIRST
        self.greeted = self.greeted or bool(unconfirmed)
        for name in rnd.sample(unconfirmed, min(limit, len(unconfirmed))):
            # Without gossip: its choice would hold the loop up in a cluster of hundreds.
            self.view.dissemination.ping(self.members.records[name], with_gossip=False)

    def _on_probe_timeout(self, number: int) -> None:
        """No answer in time: ask others to probe it, and open a stream to its address."""
        probe = self.probe
        if probe is None or probe.number != number:
            return
        self.context.counters["indirect"] += 1
        records, name = self.members.records, probe.target.name
        others = [n for n in self.members.ring.names if n != name and records[n].state is State.ALIVE]
        count = min(self.context.settings.indirect_probes, len(others))
        dissemination = self.view.dissemination
        for other in self.context.random.sample(others, count):
            probe.nacks_due += 1
            request = dissemination.compose(MessageKind.PING_REQUEST, probe.number, subject=probe.target)
            dissemination.send(records[other].address, request)
        self.view.streams.probe(records.get(name, probe.target))

    def _evaluate(self) -> None:
        """Suspect the member of the last interval's probe, if that is still under way."""
        probe = self.probe
        if probe is None:
            return
        self.context.counters["failed"] += 1
        # Helpers that did not even report their failure mean that we are the one that is cut off or slow.
        self.adjust_health(max(0, probe.nacks_due - probe.nacks) if probe.nacks_due else 1)
        known = self.members.records.get(probe.target.name)
        if (
            known is not None
            and known.process_id == probe.target.process_id
            and known.incarnation == probe.target.incarnation
            and known.is_active
        ):
            self.view.suspicions.suspect(known, self.members.me.name)

    def on_proven_ended(self, record: MemberRecord) -> None:
        """The process has ended: a probe of it is no failure of ours, and the next follows at once."""
        if self.probe is not None and self.probe.target.process_id == record.process_id:
            self.probe = None
            self.schedule_probe(AFTER_PROOF)

    # --- messages ---

    def on_ack(self, message: Datagram) -> None:
        """Take in an answer to a ping of ours, or to one that others made for us."""
        relayed = self.relayed.pop(message.number, None)
        if relayed is not None:
            dissemination = self.view.dissemination
            answer = dissemination.compose(MessageKind.ACK, relayed.number, subject=message.sender)
            dissemination.send(relayed.requester.address, answer)
        context = self.context
        if message.subject is not None:
            self.view.updates.on_update(message.subject)
        elif message.recognised and context.first_number <= message.number <= context.last_number:
            self.view.evidence.on_answer(message.sender)
        probe = self.probe
        reached = message.subject if message.subject is not None else message.sender
        if probe is not None and reached.process_id == probe.target.process_id:
            if message.number == probe.number:
                self.round_trips.append(context.now - probe.sent_at)
            self.probe = None
            self.adjust_health(-1)

    def on_nack(self, message: Datagram) -> None:
        """Note that a helper works, though the member that it probed for us has not answered."""
        if self.probe is not None and self.probe.number == message.number:
            self.probe.nacks += 1

    def on_ping_request(self, message: Datagram, target: MemberRecord) -> None:
        """Probe a member for another one."""
        number = self.context.next_number()
        self.relayed[number] = RelayedProbe(message.sender, message.number)
        known = self.members.records.get(target.name)
        is_known = known is not None and known.process_id == target.process_id
        self.view.dissemination.ping(known if known is not None and is_known else target, number)
        due = self.context.now + self.context.settings.probe_timeout * 4 // 5
        self.context.timers.schedule(due, self._on_nack_timer, number)

    def _on_nack_timer(self, number: int) -> None:
        relayed = self.relayed.pop(number, None)
        if relayed is not None and self.context.settings.lifeguard:
            dissemination = self.view.dissemination
            nack = dissemination.compose(MessageKind.NACK, relayed.number)
            dissemination.send(relayed.requester.address, nack)
