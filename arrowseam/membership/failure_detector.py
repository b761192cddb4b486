"""SWIM's failure detector with Lifeguard's local health.

In each interval one member is pinged. If it does not answer in time, other members are asked to ping it and a
stream is opened to its address; if none of these brings an answer, it is suspected. A member that misses
answers first slows its own probes down: the fault may be its own.

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

HEALTH_MAX = 8  # Lifeguard's S: probe intervals are multiplied by at most one more than this
DELAY_AFTER_ENDED = 10 * MS  # until the next probe if the probed process has ended: many may end at once
STARTUP_PINGS_FIRST, STARTUP_PINGS_LATER = 20, 4  # extra pings in the first interval, and in each later one
ROUND_TRIPS_KEPT = 256


class Probe(msgspec.Struct):
    """The probe of this interval; times in microseconds."""

    number: int
    target: MemberRecord
    sent_at: int
    nacks_due: int = 0  # members asked for an indirect probe
    nacks: int = 0


class RelayedProbe(msgspec.Struct):
    """A probe made on behalf of another member."""

    requester: MemberRecord
    number: int  # of the requester's probe


class FailureDetector:
    """Probes one member per interval, probes members for others, and tracks our own local health."""

    def __init__(self, view: ClusterView) -> None:
        self.view, self.context, self.members = view, view.context, view.members
        self.probe: Probe | None = None
        self.relayed: dict[int, RelayedProbe] = {}
        self.health = 0  # Lifeguard's local health score; 0: healthy
        self.startup_pings_sent = False  # to some members, since our process identity last changed
        self.round_trips: deque[int] = deque(maxlen=ROUND_TRIPS_KEPT)  # microseconds, for a histogram
        self._timer_number = 0  # of the current probe timer; earlier ones are ignored

    def adjust_health(self, change: int) -> None:
        """Raise or lower our local health score; higher is worse."""
        if self.context.settings.lifeguard:
            self.health = max(0, min(HEALTH_MAX, self.health + change))

    def on_stall(self, stalled_for: int) -> None:
        """Handle a stall: this process did not run for ``stalled_for`` microseconds.

        Probes in progress are dropped without a result. Otherwise a process that resumes after ten seconds
        would find all its probes unanswered and declare the whole cluster dead.
        """
        self.context.counters["stalls"] += 1
        self.adjust_health(1 + stalled_for // self.context.settings.probe_interval)
        self.probe = None
        self.relayed.clear()
        self.view.suspicions.postpone(stalled_for)

    # --- the probe of each interval ---

    def schedule_probe(self, delay: int) -> None:
        """Schedule a probe after ``delay`` microseconds, replacing the one scheduled before."""
        self._timer_number = self.context.next_number()
        self.context.timers.schedule(self.context.now + delay, self._on_probe_timer, self._timer_number)

    def _on_probe_timer(self, timer_number: int) -> None:
        if timer_number != self._timer_number:
            return
        self._conclude_probe()
        self.probe = None
        slowdown = 1 + self.health
        self.schedule_probe(self.context.settings.probe_interval * slowdown)
        if self.context.leaving:
            return
        self._ping_unconfirmed()
        name = self.members.ring.next(self.context.random)
        if name is None:
            return
        target = self.members.records[name]
        number = self.view.dissemination.ping(target)
        self.probe = Probe(number, target, self.context.now)
        timeout = self.context.now + self.context.settings.probe_timeout * slowdown
        self.context.timers.schedule(timeout, self._on_probe_timeout, number)
        self.context.counters["probes"] += 1

    def _ping_unconfirmed(self) -> None:
        """After a start: ping some members that have not yet answered our current process."""
        evidence, rnd = self.view.evidence, self.context.random
        if evidence.complete:
            return
        unconfirmed = [name for name in self.members.ring.names if name not in evidence.confirmed]
        limit = STARTUP_PINGS_LATER if self.startup_pings_sent else STARTUP_PINGS_FIRST
        self.startup_pings_sent = self.startup_pings_sent or bool(unconfirmed)
        for name in rnd.sample(unconfirmed, min(limit, len(unconfirmed))):
            # Without gossip: selecting it would block the event loop in a cluster of hundreds.
            self.view.dissemination.ping(self.members.records[name], with_gossip=False)

    def _on_probe_timeout(self, number: int) -> None:
        """Without an answer in time, ask others to probe the member, and open a stream to its address."""
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

    def _conclude_probe(self) -> None:
        """Suspect the member probed in the last interval if that probe is still unanswered."""
        probe = self.probe
        if probe is None:
            return
        self.context.counters["failed"] += 1
        # Missing NACKs from the members asked for indirect probes mean that we ourselves are cut off or slow.
        self.adjust_health(max(0, probe.nacks_due - probe.nacks) if probe.nacks_due else 1)
        known = self.members.records.get(probe.target.name)
        if (
            known is not None
            and known.process_id == probe.target.process_id
            and known.incarnation == probe.target.incarnation
            and known.is_active
        ):
            self.view.suspicions.suspect(known, self.members.me.name)

    def on_process_ended(self, record: MemberRecord) -> None:
        """Drop a probe of a process known to have ended, without a health penalty; probe the next at once."""
        if self.probe is not None and self.probe.target.process_id == record.process_id:
            self.probe = None
            self.schedule_probe(DELAY_AFTER_ENDED)

    # --- messages ---

    def on_ack(self, message: Datagram) -> None:
        """Process an answer to a ping that we sent, or that another member sent for us."""
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
        """Count a NACK: the member probing for us works, though the probed one did not answer it."""
        if self.probe is not None and self.probe.number == message.number:
            self.probe.nacks += 1

    def on_ping_request(self, message: Datagram, target: MemberRecord) -> None:
        """Probe a member on behalf of another."""
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
