"""Evidence about other processes, and the share of the budgets that follows from it.

A member is counted out only by evidence of our own that its process has ended, and it takes the same kind of
evidence to know that another member has not counted us out. Silence is neither: in a partition both sides
would count the other out and the shares would exceed the budget.
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
    """Who has answered us and whose address refused us, in the present process."""

    def __init__(self, view: ClusterView) -> None:
        self.view, self.context, self.members = view, view.context, view.members
        self.holders = DigestHolders(view.members.me.name)
        self.acked: set[ProcessId] = set()
        self.refused: set[ProcessId] = set()
        self.confirmed: set[str] = set()  # names that can't count out our present process
        self.counted_out: set[str] = set()
        self.complete = False  # all configured members are known and confirmed; stays until our next process

    # --- evidence ---

    def has_evidence(self, record: MemberRecord) -> bool:
        """Return whether this process answered ours, was refused to us, or was written off by an operator."""
        process = record.process_id
        written_off = record.state is State.LEFT and record.reported_by != ""
        return process in self.acked or process in self.refused or written_off

    def judge(self, name: str) -> None:
        """Decide anew whether a name is counted out, and whether it may have counted us out.

        A name stays confirmed for our present process: a later process under that name has not met our former
        one, so it cannot count that one out.
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
        """Note that a process has answered our present one: it holds us for a member."""
        known, process = self.members.records.get(record.name), record.process_id
        if known is not None and process not in self.acked and known.process_id == process:
            self.acked.add(process)
            self.judge(record.name)

    def on_refusal(self, record: MemberRecord) -> None:
        """Note that a process's host refused a stream to its address."""
        self.refused.add(record.process_id)
        self.judge(record.name)

    def on_equal_digest(self, sender: MemberRecord, encoded_holders: bytes) -> None:
        """Note that a sender holds what we hold, our own process too, and so do those that it names."""
        holders = self.current_holders()
        if holders.add(sender.name):
            self.on_answer(sender)
        for name in holders.merge(encoded_holders):
            record = self.members.records.get(name)
            if record is not None:
                self.on_answer(record)

    def current_holders(self) -> DigestHolders:
        """Return who is known to hold our digest, begun anew where that has changed."""
        digest = self.view.digest
        if self.holders.digest != digest:
            own_name = self.members.me.name
            self.holders.reset(digest, [*self.members.ring.names, own_name], own_name)
        return self.holders

    def forget_process(self, process: ProcessId) -> None:
        """Drop the evidence about a process whose name another one has now."""
        self.acked.discard(process)
        self.refused.discard(process)

    def reset(self) -> None:
        """Drop all evidence: our own process has another start time or name, which nobody has answered."""
        self.acked.clear()
        self.refused.clear()
        self.confirmed.clear()
        self.counted_out.clear()
        self.complete = False

    def update_complete(self) -> None:
        """Look whether all configured members are known and confirmed."""
        if not self.complete and not self.context.leaving and self.members.known_count >= self.configured:
            self.complete = all(name in self.confirmed for name in self.members.ring.names)

    # --- share ---

    @property
    def counted_out_count(self) -> int:
        """Names that have ended, by evidence of our own."""
        return len(self.counted_out)

    @property
    def unconfirmed_count(self) -> int:
        """Names that may have counted us out, with those that are configured and unknown."""
        others = max(self.configured, self.members.known_count) - 1
        return others if self.context.leaving else others - len(self.confirmed)

    @property
    def configured(self) -> int:
        """Members configured in our zone, or in the cluster where there are no zones."""
        zone = self.view.zones.by_name.get(self.context.settings.zone)
        return self.context.settings.configured_members if zone is None else zone.size

    @property
    def never_counts_out(self) -> bool:
        """Whether nobody is counted out: configured so, or while only some members have zones."""
        return self.context.settings.never_count_out or bool(self.members.zone_mismatches)

    def proxy_count(self, rule: Callable[..., int] = proxy_count) -> int:
        """Return the number of proxies that our budgets are divided by."""
        configured, known = self.configured, self.members.known_count
        numbers = configured, known, self.counted_out_count, self.unconfirmed_count
        if self.never_counts_out:
            # Others may go by another rule or other sizes: what an unconfirmed member costs there is unknown.
            others = max(configured, known) - 1
            numbers = configured, known, 0, others if self.unconfirmed_count else 0
        settings, zones = self.context.settings, self.view.zones
        if settings.zone not in zones.by_name:
            return rule(*numbers)
        total = max(settings.configured_members, zones.total_size)
        return rule(*numbers, Fraction(configured, total))
