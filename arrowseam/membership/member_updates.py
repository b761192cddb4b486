"""Decides which updates about members are accepted, and applies them.

A suspicion or death reported about us is refuted with a higher incarnation. If a process with our name and a
later start time is reported, we take a still later start time; if it is really another process, we change our
name.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from arrowseam.membership.effects import MembershipEvent
from arrowseam.membership.members import MEMBERS_MAX
from arrowseam.membership.records import MemberRecord, State

if TYPE_CHECKING:
    from arrowseam.membership.view import ClusterView

NAME_PREFIX_MAX = 50  # characters of our name that are kept before the suffix added in a name conflict


class MemberUpdates:
    """Applies updates to the member table and notifies the other components."""

    def __init__(self, view: ClusterView) -> None:
        self.view, self.context, self.members = view, view.context, view.members
        self._conflicting_nonces: set[int] = set()  # of other processes that use our name

    def on_update(self, record: MemberRecord, demote_death: bool = False, synced: bool = False) -> None:
        """Process an update.

        ``demote_death``: treat a death as a suspicion. ``synced``: received in a state synchronisation.
        """
        members = self.members
        if members.is_foreign(record):
            self.view.zones.add_contact(record, False)
            return
        if record.name == members.me.name:
            self.on_update_about_us(record)
            return
        known = members.records.get(record.name)
        if known is None:
            if len(members.records) >= MEMBERS_MAX:
                self.context.counters["surplus"] += 1
            else:
                # A starting member that receives all records does not gossip them: the others have them.
                self.apply(record, gossip=not synced)
            return
        if (
            demote_death
            and record.state is State.DEAD
            and known.is_active
            and record.process_id == known.process_id
        ):
            record = record.with_state(State.SUSPECT, record.reported_by)
        if record.precedence > known.precedence:
            self.apply(record)
        elif record.precedence == known.precedence and record.state is State.SUSPECT:
            self.view.suspicions.confirm(known, record.reported_by)

    # --- updates about us ---

    def on_update_about_us(self, record: MemberRecord) -> None:
        """Process an update about our own name."""
        me = self.members.me
        if (record.started_at, record.nonce) == (me.started_at, me.nonce):
            self._on_same_process(record)
        elif (record.started_at, record.nonce) < (me.started_at, me.nonce):
            self.view.dissemination.queue.add(me)  # some member still has the record of our previous process
        else:
            self._on_later_process(record)

    def _on_same_process(self, record: MemberRecord) -> None:
        me = self.members.me
        is_suspected = record.state is not State.ALIVE and record.incarnation >= me.incarnation
        if is_suspected and not self.context.leaving:
            self._refute(record)
        elif record.incarnation > me.incarnation:
            self.announce(msgspec.structs.replace(me, incarnation=record.incarnation))

    def _refute(self, record: MemberRecord) -> None:
        self.context.counters["refuted"] += 1
        self.view.failure_detector.adjust_health(1)
        self.announce(msgspec.structs.replace(self.members.me, incarnation=record.incarnation + 1))
        self.view.dissemination.schedule_push()
        author = record.reported_by or "another member"
        self.context.log(MembershipEvent.REFUTED, f"{author} reported us as {record.state.name.lower()}")

    def _on_later_process(self, record: MemberRecord) -> None:
        """Process a later start under our name: our clock went back, or another process uses our name."""
        me = self.members.me
        if record.nonce in self._conflicting_nonces and record.state is State.ALIVE:
            self.context.counters["namesakes"] += 1
            name = f"{me.name[:NAME_PREFIX_MAX]}~{me.nonce & 0xFFFFFFFF:08x}"
            self.announce(msgspec.structs.replace(me, name=name))
            text = f"{record.host}:{record.port} also uses the name {me.name}; renamed to {name}"
            self.context.log(MembershipEvent.NAME_CONFLICT, text, "error")
            self.apply(record)
            return
        self._conflicting_nonces.add(record.nonce)
        self.announce(msgspec.structs.replace(me, started_at=record.started_at + 1, incarnation=0))

    def announce(self, record: MemberRecord) -> None:
        """Replace our own record and gossip it."""
        former = self.members.me
        self.members.replace_self(msgspec.structs.replace(record, reported_by=""))
        if self.members.me.process_id != former.process_id:
            self.view.evidence.reset()
            self.view.failure_detector.startup_pings_sent = False
            self.context.first_number = self.context.next_number()
        self.context.changed_at = self.context.now
        self.view.dissemination.queue.add(self.members.me)

    # --- updates about other members ---

    def apply(self, record: MemberRecord, gossip: bool = True) -> None:
        """Store an update and gossip it."""
        members, evidence = self.members, self.view.evidence
        known = members.records.get(record.name)
        is_new_process = known is None or known.process_id != record.process_id
        changed = is_new_process or known is None or known.state != record.state
        members.store(record)
        if changed:
            members.state_since[record.name] = self.context.now
        if known is not None and is_new_process:
            evidence.forget_process(known.process_id)
            members.forget_reports(record.name)
        evidence.reevaluate(record.name)
        if gossip:
            self.view.dissemination.queue.add(record)
            if changed and (is_new_process or not record.is_active):
                self.view.dissemination.schedule_push()
        self._update_ring(known is not None and known.is_active, record)
        self._on_state(record)
        if changed:
            self.context.changed_at = self.context.now
            self._log_state(record)

    def _update_ring(self, was_active: bool, record: MemberRecord) -> None:
        if record.is_active and not was_active:
            self.members.ring.insert(record.name, self.context.random)
        elif was_active and not record.is_active:
            self.members.ring.remove(record.name)

    def _on_state(self, record: MemberRecord) -> None:
        self.view.suspicions.clear(record.name)
        if record.state is State.SUSPECT:
            self.view.suspicions.begin(record)
        elif not record.is_active:
            self.view.reconnection.on_member_lost()

    def _log_state(self, record: MemberRecord) -> None:
        state = record.state.name.lower()
        self.context.counters[state] += 1
        author = f", reported by {record.reported_by}" if record.reported_by else ""
        text = f"{record.name} at {record.host}:{record.port}{author}"
        self.context.log(MembershipEvent[record.state.name], text, member=record.name)

    def declare_left(self, record: MemberRecord) -> None:
        """Mark a member as left on our operator's request."""
        self.apply(record.with_state(State.LEFT, self.members.me.name))

    def on_refused(self, record: MemberRecord) -> None:
        """Mark a process as ended after its host refused a stream."""
        self.view.evidence.on_refusal(record)
        if record.state < State.GONE:
            self.apply(record.with_state(State.GONE, self.members.me.name))
            self.view.failure_detector.on_process_ended(record)

    def drop(self, name: str) -> None:
        """Remove an inactive member."""
        self.members.drop(name)
        self.view.bridges.ranks.pop(name, None)
        self.view.dissemination.queue.remove_member(name)
        self.view.evidence.reevaluate(name)
