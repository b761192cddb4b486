"""First-hand evidence about other processes, and our share of the cluster's budgets that follows from it.

A member whose process has ended is counted out (its share is redistributed) only if we have first-hand
evidence of that process, and only such evidence shows that another member has not counted us out. Silence
proves neither: in a partition each side would count the other out, and the shares would exceed the budget.
"""

from __future__ import annotations

from collections.abc import Callable
from fractions import Fraction
from typing import TYPE_CHECKING

from arrowseam.membership.digests import DigestHolders
from arrowseam.membership.proxy_share import proxy_count
from arrowseam.membership.records import ENDED_STATES, MemberRecord, ProcessId, State

if TYPE_CHECKING:
    from arrowseam.membership.view import ClusterView


class EvidenceTracker:
    """Which members we have first-hand evidence of, which we count out, and which may have counted us out."""

    def __init__(self, view: ClusterView) -> None:
        self.view, self.context, self.members = view, view.context, view.members
        self.holders = DigestHolders(view.members.me.name)
        self.answered: set[ProcessId] = set()  # our current process
        self.refused: set[ProcessId] = set()  # ended: nothing or another process listens there
        self.confirmed: set[str] = set()  # names that cannot have counted out our current process
        self.counted_out: set[str] = set()
        # All configured members are known and confirmed; stays set until we leave or ``reset`` is called.
        self.complete = False

    # --- evidence ---

    def has_evidence(self, record: MemberRecord) -> bool:
        """Return whether the process answered us, its address refused us, or an operator declared it left."""
        process = record.process_id
        declared_left = record.state is State.LEFT and record.reported_by != ""
        return process in self.answered or process in self.refused or declared_left

    def reevaluate(self, name: str) -> None:
        """Update whether a name is counted out, and whether it may have counted us out.

        A name stays confirmed when a later process takes it over: that one has never known an earlier process
        of ours, so it cannot count us out because of it.
        """
        record = self.members.records.get(name)
        if record is None:
            self.counted_out.discard(name)
            self.confirmed.discard(name)
            return
        evidence = self.has_evidence(record)
        if evidence:
            self.confirmed.add(name)
        if evidence and record.state in ENDED_STATES:
            self.counted_out.add(name)
        else:
            self.counted_out.discard(name)

    def on_answer(self, record: MemberRecord) -> None:
        """Record that a process has answered our current one, so it knows us as a member."""
        known, process = self.members.records.get(record.name), record.process_id
        if known is not None and process not in self.answered and known.process_id == process:
            self.answered.add(process)
            self.reevaluate(record.name)

    def on_refusal(self, record: MemberRecord) -> None:
        """Record that a process has ended: its host refused a stream, or another process answered there."""
        self.refused.add(record.process_id)
        self.reevaluate(record.name)

    def on_equal_digest(self, sender: MemberRecord, encoded_holders: bytes) -> None:
        """Record that the sender and the members that it lists have our view's digest, and so know us."""
        holders = self.current_holders()
        if holders.add(sender.name):
            self.on_answer(sender)
        for name in holders.merge(encoded_holders):
            record = self.members.records.get(name)
            if record is not None:
                self.on_answer(record)

    def current_holders(self) -> DigestHolders:
        """Return the members known to have our view's digest; reset if the digest has changed."""
        digest = self.view.digest
        if self.holders.digest != digest:
            own_name = self.members.me.name
            self.holders.reset(digest, [*self.members.ring.names, own_name], own_name)
        return self.holders

    def forget_process(self, process: ProcessId) -> None:
        """Drop the evidence about a process whose name is now used by another process."""
        self.answered.discard(process)
        self.refused.discard(process)

    def reset(self) -> None:
        """Drop all evidence: our process has a new start time or name, which no member has answered yet."""
        self.answered.clear()
        self.refused.clear()
        self.confirmed.clear()
        self.counted_out.clear()
        self.complete = False

    def update_complete(self) -> None:
        """Set ``complete`` once all configured members are known and all active ones are confirmed."""
        if (
            not self.complete
            and not self.context.leaving
            and self.members.known_count >= self.configured_count
        ):
            self.complete = all(name in self.confirmed for name in self.members.ring.names)

    # --- share ---

    @property
    def counted_out_count(self) -> int:
        """Number of names that are counted out; not applied while ``never_counts_out`` holds."""
        return len(self.counted_out)

    @property
    def unconfirmed_count(self) -> int:
        """Number of names that may have counted us out, including configured members that are unknown.

        Once we have announced that we leave, any other member may have counted us out.
        """
        others = max(self.configured_count, self.members.known_count) - 1
        return others if self.context.leaving else others - len(self.confirmed)

    @property
    def configured_count(self) -> int:
        """Number of members configured in our zone, or in the cluster if it has no zones."""
        zone = self.view.zones.by_name.get(self.context.settings.zone)
        return self.context.settings.configured_members if zone is None else zone.size

    @property
    def never_counts_out(self) -> bool:
        """Whether no member is counted out: by configuration, or while some have no zone or another one."""
        return self.context.settings.never_count_out or bool(self.members.zone_mismatches)

    def proxy_count(self, rule: Callable[..., int] = proxy_count) -> int:
        """Return the number of proxies that our budgets are divided by.

        ``rule`` computes it from the numbers of members; simulations replace it.
        """
        configured, known = self.configured_count, self.members.known_count
        numbers = configured, known, self.counted_out_count, self.unconfirmed_count
        if self.never_counts_out:
            # Others may use another rule or other sizes, so how much of our share they have taken is unknown:
            # if any member is unconfirmed, assume that all others have counted us out.
            others = max(configured, known) - 1
            numbers = configured, known, 0, others if self.unconfirmed_count else 0
        settings, zones = self.context.settings, self.view.zones
        if settings.zone not in zones.by_name:
            return rule(*numbers)
        total = max(settings.configured_members, zones.total_size)
        # Our zone gets a part of each budget by its number of members.
        return rule(*numbers, Fraction(configured, total))
