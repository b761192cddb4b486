"""Suspicions: a member that did not answer gets time to refute before it is declared dead.

Lifeguard's dynamic timeout (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate
Failure Detection", 2017): the more members suspect it independently, the shorter the timeout.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from arrowseam.membership.records import MemberRecord, ProcessId, State

if TYPE_CHECKING:
    from arrowseam.membership.view import ClusterView

CONFIRMATIONS = 3  # independent confirmations that reduce the timeout to its minimum


class Suspicion(msgspec.Struct):
    """One suspected process; times in microseconds."""

    since: int
    process: ProcessId
    shortest: int
    longest: int
    confirmations_needed: int
    reporters: set[str]

    @property
    def ends_at(self) -> int:
        """Time at which the member will be declared dead, given the reports so far."""
        if self.confirmations_needed <= 0:
            return self.since + self.shortest
        fraction = math.log(max(1, len(self.reporters))) / math.log(self.confirmations_needed + 1)
        span = int(self.longest - (self.longest - self.shortest) * fraction)
        return self.since + max(self.shortest, span)


class SuspicionTracker:
    """The suspicions of this view, by member name."""

    def __init__(self, view: ClusterView) -> None:
        self.view, self.context = view, view.context
        self.by_name: dict[str, Suspicion] = {}

    def suspect(self, record: MemberRecord, reporter: str) -> None:
        """Start a suspicion, or confirm the existing one."""
        if record.state is State.ALIVE:
            self.view.updates.apply(record.with_state(State.SUSPECT, reporter))
        else:
            self.confirm(record, reporter)

    def confirm(self, record: MemberRecord, reporter: str) -> None:
        """Record that another member also suspects this one, and gossip it."""
        suspicion = self.by_name.get(record.name)
        if suspicion is None or not reporter or reporter in suspicion.reporters:
            return
        if len(suspicion.reporters) > suspicion.confirmations_needed:
            return
        suspicion.reporters.add(reporter)
        self.view.dissemination.queue.add(record.with_state(State.SUSPECT, reporter))
        self.context.timers.schedule(suspicion.ends_at, self.on_timer, record.name)

    def begin(self, record: MemberRecord) -> None:
        """Start the timeout of a record that is now suspect."""
        settings, count = self.context.settings, self.view.members.active_count
        shortest = int(settings.suspicion_factor * settings.probe_interval * max(1.0, math.log10(count)))
        longest = int(shortest * settings.suspicion_stretch)
        needed = min(CONFIRMATIONS, count - 2)
        if not settings.lifeguard:
            needed, shortest = 0, longest
        reporters = {record.reported_by}
        suspicion = Suspicion(self.context.now, record.process_id, shortest, longest, needed, reporters)
        self.by_name[record.name] = suspicion
        self.context.timers.schedule(suspicion.ends_at, self.on_timer, record.name)

    def clear(self, name: str) -> None:
        """End a suspicion without declaring the member dead."""
        self.by_name.pop(name, None)

    def postpone(self, span: int) -> None:
        """Postpone all suspicions by a period in which this process did not run."""
        for suspicion in self.by_name.values():
            suspicion.since += span

    def on_timer(self, name: str) -> None:
        """Declare a member dead if its time to refute is over."""
        suspicion, record = self.by_name.get(name), self.view.members.records.get(name)
        if suspicion is None or record is None or suspicion.process != record.process_id:
            return
        if suspicion.ends_at > self.context.now:  # postponed in the meantime
            self.context.timers.schedule(suspicion.ends_at, self.on_timer, name)
            return
        self.view.updates.apply(record.with_state(State.DEAD, self.view.members.me.name))
