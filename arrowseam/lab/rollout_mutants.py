"""Faults planted in the agreement's code one by one, to prove that its referee bites.

Each is the code with one thing left out or done wrong. It must never be imported by a proxy.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import msgspec

from arrowseam.config.budgets import DisruptionBudgets
from arrowseam.consensus import effects
from arrowseam.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    Epoch,
    RaftMessage,
    RequestVote,
    RequestVoteReply,
    Voter,
)
from arrowseam.consensus.node import Node, Role
from arrowseam.rollouts.agent import Agent
from arrowseam.rollouts.budgets import Resource, ResourceKind
from arrowseam.rollouts.commands import Command, GrantPermit, HaltRelease, PermitOutcome, ReturnPermit
from arrowseam.rollouts.controller import Controller, Inputs
from arrowseam.rollouts.effects import Effect, ExecutePermit
from arrowseam.rollouts.observed import ClusterState
from arrowseam.rollouts.permit_holder import PermitHolder
from arrowseam.rollouts.replicated_state import ReplicatedState
from arrowseam.rollouts.state import Permit, Release

# --- the log ------------------------------------------------------------------------------------------------


class CommitsOldTermsByCount(Node):
    """An entry of an older term is committed by counting who has it."""

    def _advance_commit_index(self) -> None:
        for index in range(self.log.last_index, self.commit_index, -1):
            have = {v for v, p in self.progress.items() if p.match_index >= index}
            if self.durable_index >= index:
                have.add(self.identity)
            if self._is_quorum(have):
                self._commit_up_to(index)
                break


class CountsUnstoredEntries(Node):
    """A leader counts itself for entries that it has not stored."""

    def _advance_commit_index(self) -> None:
        self.durable_index = self.log.last_index
        super()._advance_commit_index()


class RepliesBeforeStoring(Node):
    """Votes and acknowledgements go out before what they rest on is stored."""

    def _send_when_stored(self, to: str, what: RaftMessage) -> None:
        self._send(to, what)


class VotesAfterStateLoss(Node):
    """Who has lost its state is taken for who it was."""

    def __init__(self, me: Voter, *rest: Any) -> None:
        super().__init__(Voter(me.name, 1), *rest)

    def _on_request_vote(self, message: RequestVote) -> None:
        if self.role is Role.NON_VOTER:  # it believes to be a voter still
            granted = not message.pre_vote and self.voted_for in (None, message.sender)
            granted = granted or message.pre_vote
            if granted and not message.pre_vote:
                self.voted_for = message.sender
                self.outbox.unwritten.append(self._hard_state())
            self._send_when_stored(
                message.sender.name,
                RequestVoteReply(self.epoch, message.term, self.identity, granted, message.pre_vote),
            )
            return
        super()._on_request_vote(message)


class VotesTwice(Node):
    """A vote given in a term does not keep from giving another."""

    def _on_request_vote(self, message: RequestVote) -> None:
        if not message.pre_vote and message.term == self.term:
            self.voted_for = None
        super()._on_request_vote(message)


class VotesForStaleLogs(Node):
    """A vote is given to whoever asks, however little it has."""

    def _on_request_vote(self, message: RequestVote) -> None:
        super()._on_request_vote(msgspec.structs.replace(message, last_index=1 << 40, last_term=1 << 40))


class OverlappingVoterChanges(Node):
    """Voters are changed before the last change is committed."""

    @property
    def is_configuration_committed(self) -> bool:
        return True


class KeepsConflictingEntries(Node):
    """A follower keeps its own entries where the leader's differ."""

    def _on_append_entries(self, message: AppendEntries) -> None:
        if message.epoch == self.epoch and message.prev_index < self.log.last_index:
            fresh = message.entries[max(0, self.log.last_index - message.prev_index) :]
            if self._accept_leader(message):
                if fresh:
                    self._replace_entries(self.log.last_index + 1, fresh)
                match = message.prev_index + len(message.entries)
                self._commit_up_to(min(message.commit_index, match, self.log.last_index))
                self._send_when_stored(
                    message.sender.name, AppendEntriesReply(self.epoch, self.term, self.identity, True, match)
                )
            return
        super()._on_append_entries(message)


class HalfIsQuorum(Node):
    """Half of the voters are enough."""

    def _is_quorum(self, who: set[Voter]) -> bool:
        return 2 * len(who.intersection(self.voters)) >= len(self.voters)


class IgnoresNewEpochs(Node):
    """A history begun by hand is not preferred to the one before."""

    def on_message(self, message: RaftMessage) -> list[effects.Effect]:
        if message.epoch != self.epoch and self.epoch != Epoch():
            message = msgspec.structs.replace(message, epoch=self.epoch)
        return super().on_message(message)


# --- the replicated state and the controller --------------------------------------------------------------


class SnapshotLosesPermits(ReplicatedState):
    def save(self) -> bytes:
        held, self.state.permits = self.state.permits, {}
        try:
            return super().save()
        finally:
            self.state.permits = held


class NoBudgetCheckOnApply(ReplicatedState):
    """What the leader proposed is taken as it is."""

    def _grant_permit(self, index: int, command: GrantPermit) -> str:
        budgets, self.state.budgets = self.state.budgets, {}
        try:
            boundless = DisruptionBudgets(proxies=1000, servers=1000, least_ready=0.0)
            self.state.budgets = {"x": boundless}
            return super()._grant_permit(index, command)
        finally:
            self.state.budgets = budgets


class NoMissingProxies(ClusterState):
    """No proxy is seen to be missing."""

    def missing_proxies(self) -> tuple[Resource, ...]:
        return ()


class NoMissingEndpoints(ClusterState):
    """No endpoint is seen to be missing."""

    def missing_endpoints(self) -> tuple[Resource, ...]:
        return ()


class IgnoresMissingProxies(Controller):
    """Goes by the wants alone; the replicated state is left to refuse."""

    def decide(self, inputs: Inputs) -> Command | None:
        return super().decide(replace(inputs, cluster=NoMissingProxies(**vars(inputs.cluster))))


class IgnoresMissingEndpoints(Controller):
    """Servers that are down by themselves are not counted."""

    def decide(self, inputs: Inputs) -> Command | None:
        return super().decide(replace(inputs, cluster=NoMissingEndpoints(**vars(inputs.cluster))))


class ReturnsPermitsByTime(Controller):
    """Who has been out for three seconds is taken for back."""

    def _return_permit(self, permit: Permit, inputs: Inputs) -> Command | None:
        report = inputs.reports.get(permit.resource.name)
        since = self._permits_seen.get(permit.id, 0)
        if permit.kind == ResourceKind.PROXY and report is not None and inputs.now - since > 200_000:
            started_at = max(permit.started_at, report[1].started_at)
            return ReturnPermit(permit_id=permit.id, outcome=PermitOutcome.BACK, started_at=started_at)
        return super()._return_permit(permit, inputs)


class LeaderIgnoresHalts(Controller):
    def _halt_reason(self, release: Release, inputs: Inputs) -> str:
        return super()._halt_reason(release, replace(inputs, cluster=replace(inputs.cluster, halts={})))


class UnreportedIsDrained(Controller):
    """Who says nothing of a server is taken to hold nothing there."""

    def _mark_drained(self, permit: Permit, inputs: Inputs) -> Command | None:
        endpoint, reports = permit.resource.name, {}
        for name, (at, status) in inputs.reports.items():
            if endpoint not in status.connections:
                status = msgspec.structs.replace(status, applied_index=1 << 40, connections={endpoint: 0})
            reports[name] = at, status
        return super()._mark_drained(permit, replace(inputs, reports=reports))


# --- the holder ---------------------------------------------------------------------------------------------


class HolderIgnoresHalts(PermitHolder):
    def is_halted(self, release: Release) -> bool:
        return False


class UsesPermitsTwice(PermitHolder):
    def reconcile(self) -> list[Effect]:
        self._handled_permits.clear()
        return super().reconcile()


class LaterProcessUsesPermit(PermitHolder):
    """A life that has started since goes out once more."""

    def _handle_permit(self, permit_id: int) -> None:
        permit = self.replicated.state.permits[permit_id]
        started_at, self.started_at = self.started_at, permit.started_at
        try:
            super()._handle_permit(permit_id)
        finally:
            self.started_at = started_at


class HaltWaitsForQuorum(Agent):
    """A halt is put in the log, and nowhere else."""

    def announce_halt(self, now: int, wall_ms: int, release_id: int) -> list[Effect]:
        halt = HaltRelease(release_id=release_id, reason=f"said at {self.name}")
        return self.submit(now, wall_ms, halt)[1]


class ReportsDoneAtStart(PermitHolder):
    """Says that it is back as soon as it goes."""

    def _execute(self, effect: ExecutePermit) -> None:
        super()._execute(effect)
        if effect.permit_id:
            self.completed.append(effect.permit_id)
            self.report_due = True


def agent_with(
    node: type[Node] | None = None,
    state: type[ReplicatedState] | None = None,
    controller: type[Controller] | None = None,
    holder: type[PermitHolder] | None = None,
) -> type[Agent]:
    """An agent with one of its parts replaced."""
    parts: dict[str, Any] = {
        "node_type": node,
        "state_type": state,
        "controller_type": controller,
        "holder_type": holder,
    }
    kind = node or state or controller or holder
    assert kind is not None
    return type(kind.__name__, (Agent,), {key: value for key, value in parts.items() if value is not None})


NODE_MUTANTS: tuple[type[Node], ...] = (
    CommitsOldTermsByCount, CountsUnstoredEntries, RepliesBeforeStoring, VotesAfterStateLoss, VotesTwice,
    VotesForStaleLogs, OverlappingVoterChanges, KeepsConflictingEntries, HalfIsQuorum, IgnoresNewEpochs,
)  # fmt: skip
STATE_MUTANTS: tuple[type[ReplicatedState], ...] = (SnapshotLosesPermits, NoBudgetCheckOnApply)
CONTROLLER_MUTANTS: tuple[type[Controller], ...] = (
    IgnoresMissingProxies, IgnoresMissingEndpoints, ReturnsPermitsByTime, LeaderIgnoresHalts,
    UnreportedIsDrained,
)  # fmt: skip
AGENT_MUTANTS: tuple[type[Agent], ...] = (
    agent_with(holder=HolderIgnoresHalts), agent_with(holder=UsesPermitsTwice),
    agent_with(holder=LaterProcessUsesPermit), HaltWaitsForQuorum, agent_with(holder=ReportsDoneAtStart),
)  # fmt: skip
STORAGE_FAULTS = ("unsynced", "forgets votes")  # of the laboratory's disks


def all_mutants() -> list[tuple[str, type[Agent], str]]:
    """All of them: name, agent, and how its disk fails it."""
    found = [(kind.__name__, agent_with(node=kind), "") for kind in NODE_MUTANTS]
    found += [(kind.__name__, agent_with(state=kind), "") for kind in STATE_MUTANTS]
    found += [(kind.__name__, agent_with(controller=kind), "") for kind in CONTROLLER_MUTANTS]
    found += [(kind.__name__, kind, "") for kind in AGENT_MUTANTS]
    return found + [(f"disk {how}", Agent, how) for how in STORAGE_FAULTS]
