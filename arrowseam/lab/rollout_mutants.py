"""Mutants of consensus and rollouts, each with one planted fault, to prove that the checks catch it.

Each is the code with one rule left out or done wrong. It must never be imported by a proxy.
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

# --- consensus ----------------------------------------------------------------------------------------------


class CommitsOldTermsByCount(Node):
    """Commits entries of an older term by counting the voters that have them."""

    def _advance_commit_index(self) -> None:
        for index in range(self.log.last_index, self.commit_index, -1):
            have = {v for v, p in self.progress.items() if p.match_index >= index}
            if self.durable_index >= index:
                have.add(self.identity)
            if self._is_quorum(have):
                self._commit_up_to(index)
                break


class CountsUnstoredEntries(Node):
    """A leader counts itself for entries that it has not stored yet."""

    def _advance_commit_index(self) -> None:
        self.durable_index = self.log.last_index
        super()._advance_commit_index()


class RepliesBeforeStoring(Node):
    """Sends votes and acknowledgements before the records that they depend on are stored."""

    def _send_when_stored(self, to: str, message: RaftMessage) -> None:
        self._send(to, message)


class VotesAfterStateLoss(Node):
    """A voter that has lost its state keeps its identity and goes on voting."""

    def __init__(self, identity: Voter, *rest: Any) -> None:
        super().__init__(Voter(identity.name, 1), *rest)

    def _on_request_vote(self, message: RequestVote) -> None:
        if self.role is Role.NON_VOTER:  # it still takes itself for a voter
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
    """Grants more than one vote in a term."""

    def _on_request_vote(self, message: RequestVote) -> None:
        if not message.pre_vote and message.term == self.term:
            self.voted_for = None
        super()._on_request_vote(message)


class VotesForStaleLogs(Node):
    """Grants its vote to candidates whose log is behind its own."""

    def _on_request_vote(self, message: RequestVote) -> None:
        super()._on_request_vote(msgspec.structs.replace(message, last_index=1 << 40, last_term=1 << 40))


class OverlappingVoterChanges(Node):
    """Changes the voters again before the previous change is committed."""

    @property
    def is_configuration_committed(self) -> bool:
        return True


class KeepsConflictingEntries(Node):
    """A follower keeps its own entries where they conflict with the leader's."""

    def _on_append_entries(self, message: AppendEntries) -> None:
        if message.epoch == self.epoch and message.prev_index < self.log.last_index:
            new_entries = message.entries[max(0, self.log.last_index - message.prev_index) :]
            if self._accept_leader(message):
                if new_entries:
                    self._replace_entries(self.log.last_index + 1, new_entries)
                match = message.prev_index + len(message.entries)
                self._commit_up_to(min(message.commit_index, match, self.log.last_index))
                self._send_when_stored(
                    message.sender.name, AppendEntriesReply(self.epoch, self.term, self.identity, True, match)
                )
            return
        super()._on_append_entries(message)


class HalfIsQuorum(Node):
    """Takes half of the voters for a quorum."""

    def _is_quorum(self, voters: set[Voter]) -> bool:
        return 2 * len(voters.intersection(self.voters)) >= len(self.voters)


class IgnoresNewEpochs(Node):
    """Does not prefer an epoch that an operator started to the previous one."""

    def on_message(self, message: RaftMessage) -> list[effects.Effect]:
        if message.epoch != self.epoch and self.epoch != Epoch():
            message = msgspec.structs.replace(message, epoch=self.epoch)
        return super().on_message(message)


# --- the replicated state and the controller --------------------------------------------------------------


class SnapshotLosesPermits(ReplicatedState):
    def save(self) -> bytes:
        permits, self.state.permits = self.state.permits, {}
        try:
            return super().save()
        finally:
            self.state.permits = permits


class NoBudgetCheckOnApply(ReplicatedState):
    """Applies a grant as the leader proposed it, without checking the budgets again."""

    def _grant_permit(self, index: int, command: GrantPermit) -> str:
        budgets, self.state.budgets = self.state.budgets, {}
        try:
            unlimited = DisruptionBudgets(proxies=1000, servers=1000, least_ready=0.0)
            self.state.budgets = {"x": unlimited}
            return super()._grant_permit(index, command)
        finally:
            self.state.budgets = budgets


class NoMissingProxies(ClusterState):
    """Observes no missing proxy."""

    def missing_proxies(self) -> tuple[Resource, ...]:
        return ()


class NoMissingEndpoints(ClusterState):
    """Observes no missing endpoint."""

    def missing_endpoints(self) -> tuple[Resource, ...]:
        return ()


class IgnoresMissingProxies(Controller):
    """Proposes grants without counting missing proxies; only the replicated state can reject them."""

    def decide(self, inputs: Inputs) -> Command | None:
        return super().decide(replace(inputs, cluster=NoMissingProxies(**vars(inputs.cluster))))


class IgnoresMissingEndpoints(Controller):
    """Does not count servers that are down because of a fault."""

    def decide(self, inputs: Inputs) -> Command | None:
        return super().decide(replace(inputs, cluster=NoMissingEndpoints(**vars(inputs.cluster))))


class ReturnsPermitsByTime(Controller):
    """Takes a proxy that reports for back 0.2 s after its permit was first seen."""

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
    """Takes a proxy that does not report its connections to a server to have none."""

    def _mark_drained(self, permit: Permit, inputs: Inputs) -> Command | None:
        endpoint, reports = permit.resource.name, {}
        for name, (at, status) in inputs.reports.items():
            if endpoint not in status.connections:
                status = msgspec.structs.replace(status, applied_index=1 << 40, connections={endpoint: 0})
            reports[name] = at, status
        return super()._mark_drained(permit, replace(inputs, reports=reports))


# --- the permit holder and the agent ------------------------------------------------------------------------


class HolderIgnoresHalts(PermitHolder):
    def is_halted(self, release: Release) -> bool:
        return False


class UsesPermitsTwice(PermitHolder):
    def reconcile(self) -> list[Effect]:
        self._handled_permits.clear()
        return super().reconcile()


class LaterProcessUsesPermit(PermitHolder):
    """A process that started after the grant uses the permit as well."""

    def _handle_permit(self, permit_id: int) -> None:
        permit = self.replicated.state.permits[permit_id]
        started_at, self.started_at = self.started_at, permit.started_at
        try:
            super()._handle_permit(permit_id)
        finally:
            self.started_at = started_at


class HaltWaitsForQuorum(Agent):
    """Proposes a halt to the log only, instead of gossiping it."""

    def announce_halt(self, now: int, wall_ms: int, release_id: int) -> list[Effect]:
        halt = HaltRelease(release_id=release_id, reason=f"halted at {self.name}")
        return self.submit(now, wall_ms, halt)[1]


class ReportsDoneAtStart(PermitHolder):
    """Reports a permit as completed as soon as it begins to execute it."""

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
    """An agent type with one component replaced by a mutant."""
    components: dict[str, Any] = {
        "node_type": node,
        "state_type": state,
        "controller_type": controller,
        "holder_type": holder,
    }
    mutant = node or state or controller or holder
    assert mutant is not None
    return type(
        mutant.__name__, (Agent,), {key: value for key, value in components.items() if value is not None}
    )


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
STORAGE_FAULTS = ("unsynced", "forgets votes")  # of simulated disks


def all_mutants() -> list[tuple[str, type[Agent], str]]:
    """Name, agent type and storage fault of each."""
    mutants = [(mutant.__name__, agent_with(node=mutant), "") for mutant in NODE_MUTANTS]
    mutants += [(mutant.__name__, agent_with(state=mutant), "") for mutant in STATE_MUTANTS]
    mutants += [(mutant.__name__, agent_with(controller=mutant), "") for mutant in CONTROLLER_MUTANTS]
    mutants += [(mutant.__name__, mutant, "") for mutant in AGENT_MUTANTS]
    return mutants + [(f"disk {storage_fault}", Agent, storage_fault) for storage_fault in STORAGE_FAULTS]
