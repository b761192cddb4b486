"""Explores small Raft configurations exhaustively: every order of deliveries, timeouts, syncs, crashes and
proposals up to a depth.

It owns the search and the invariants of every state. A lost message is one that is never delivered, so all
losses are covered; no message is delivered twice. It must never ask a node for its reasons.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from arrowseam.consensus import effects
from arrowseam.consensus.log import ReplicatedLog
from arrowseam.consensus.messages import (
    Checkpoint,
    Entry,
    EntryKind,
    Epoch,
    HardState,
    RaftMessage,
    Snapshot,
    StoredRecord,
    Voter,
)
from arrowseam.consensus.node import Node, Role
from arrowseam.consensus.outbox import Outbox
from arrowseam.consensus.storage import replay

EPOCH = Epoch(1, 1)
# How likely a random walk takes each kind of step.
STEP_WEIGHTS = {"deliver": 6.0, "sync": 6.0, "elapsed": 1.0, "propose": 2.0, "crash": 0.4}


@dataclass
class State:
    nodes: dict[str, Node]
    disks: dict[str, list[StoredRecord]]
    pending: dict[str, list[tuple[int, tuple[StoredRecord, ...]]]]
    in_transit: list[tuple[str, RaftMessage]] = field(default_factory=list)
    leaders: dict[int, str] = field(default_factory=dict)  # by term
    committed: dict[int, Entry] = field(default_factory=dict)
    proposal_count: int = 0
    crash_count: int = 0
    violations: list[str] = field(default_factory=list)

    def clone(self) -> State:
        return State(
            {name: _clone(node) for name, node in self.nodes.items()},
            {name: list(disk) for name, disk in self.disks.items()},
            {name: list(rows) for name, rows in self.pending.items()},
            list(self.in_transit), dict(self.leaders), dict(self.committed), self.proposal_count,
            self.crash_count, list(self.violations),
        )  # fmt: skip

    def key(self) -> int:
        nodes = tuple(_node_key(node) for node in self.nodes.values())
        in_transit = tuple(sorted(map(repr, self.in_transit)))
        disks = tuple((len(d), len(self.pending[name])) for name, d in self.disks.items())
        return hash((nodes, in_transit, disks, self.proposal_count, self.crash_count))


def _node_key(node: Node) -> tuple[Any, ...]:
    """Everything that the node's further behaviour depends on."""
    progress = sorted((v, p.next_index, p.match_index, p.in_flight) for v, p in node.progress.items())
    return (
        node.role.value, node.term, node.voted_for, node.log.snapshot.index, tuple(node.log.entries),
        node.commit_index, node.durable_index, node.leader, node.leader_silent, node.pre_vote,
        frozenset(node.votes_received), tuple(progress), frozenset(node.responsive), node.quorum_checks,
        len(node.outbox.pending_writes),
    )  # fmt: skip


def _clone(node: Node) -> Node:
    copied = object.__new__(type(node))
    for key, value in node.__dict__.items():
        if key == "progress":
            value = copy.deepcopy(value)
        elif isinstance(value, list | dict | set | ReplicatedLog | Outbox):
            value = value.copy()
        copied.__dict__[key] = value
    return copied


class Explorer:
    def __init__(
        self,
        voters: int = 3,
        proposals: int = 2,
        crashes: int = 1,
        node_type: type[Node] = Node,
        loses_votes: bool = False,
    ) -> None:
        """``loses_votes`` plants a fault: terms and votes are not written to the disks."""
        self.loses_votes = loses_votes
        self.node_type, self.proposals, self.crashes = node_type, proposals, crashes
        self.names = tuple("abcde"[:voters])
        self.voters = tuple(Voter(name, 1) for name in self.names)

    def begin(self, term: int = 1, uneven: bool = False) -> State:
        """All nodes are followers in this term; ``uneven``: all but ``a`` have an entry of an older term."""
        state = State({}, {name: [] for name in self.names}, {name: [] for name in self.names})
        for voter in self.voters:
            base = Snapshot(1, 0, self.voters)
            entries = [Entry(1, EntryKind.COMMAND, b"old")] if uneven and voter.name != "a" else []
            checkpoint = Checkpoint(HardState(EPOCH, voter, term, None), base, entries)
            state.disks[voter.name] = [checkpoint]
            state.nodes[voter.name] = self.node_type(voter, checkpoint, self.names)
        return state

    def _carry_out(self, state: State, name: str, requested: list[effects.Effect]) -> None:
        for effect in requested:
            match effect:
                case effects.Send(to, message):
                    if to in state.nodes:
                        state.in_transit.append((to, message))
                case effects.Persist(token, records):
                    state.pending[name].append((token, records))
                case effects.Commit(index, entry):
                    if state.committed.setdefault(index, entry) != entry:
                        state.violations.append(f"two entries committed at {index}")
        node = state.nodes[name]
        if node.role is Role.LEADER and state.leaders.setdefault(node.term, name) != name:
            state.violations.append(f"two leaders in term {node.term}")

    def steps(self, state: State) -> Iterator[tuple[str, Any]]:
        seen = set()
        for n, (to, message) in enumerate(state.in_transit):
            text = repr((to, message))
            if text not in seen:
                seen.add(text)
                yield "deliver", n
        for name, node in state.nodes.items():
            if state.pending[name]:
                yield "sync", name
            if node.role is not Role.LEADER:
                yield "elapsed", name
            elif state.proposal_count < self.proposals:
                yield "propose", name
            if state.crash_count < self.crashes:
                yield "crash", name

    def step(self, before: State, what: str, which: Any) -> State:
        state = before.clone()
        match what:
            case "deliver":
                to, message = state.in_transit.pop(which)
                self._carry_out(state, to, state.nodes[to].on_message(message))
            case "sync":
                token, records = state.pending[which].pop(0)
                state.disks[which] += [
                    k for k in records if not (self.loses_votes and isinstance(k, HardState))
                ]
                self._carry_out(state, which, state.nodes[which].on_records_stored(token))
            case "elapsed":
                self._carry_out(state, which, state.nodes[which].on_election_timeout())
            case "propose":
                state.proposal_count += 1
                _, effects = state.nodes[which].propose(b"%d" % state.proposal_count)
                self._carry_out(state, which, effects)
            case "crash":
                state.crash_count += 1
                state.pending[which].clear()
                stored = replay(state.disks[which])
                state.disks[which] = [stored] if stored is not None else []
                voter = Voter(which, 1)
                state.nodes[which] = self.node_type(voter, stored, self.names)
        return state


@dataclass
class ExplorationResult:
    states: int
    depth: int
    violations: list[str]


def explore(
    voters: int = 3,
    depth: int = 6,
    proposals: int = 2,
    crashes: int = 1,
    node_type: type[Node] = Node,
    max_states: int = 1_000_000,
    initial: str = "stands",
) -> ExplorationResult:
    """Explore breadth first. ``initial`` is ``stands`` (``a`` has stood for election and won) or ``uneven``
    (there is no leader, and all but ``a`` have an entry of an older term)."""
    explorer = Explorer(voters, proposals, crashes, node_type)
    state = explorer.begin(uneven=initial == "uneven")
    if initial == "stands":
        state = explorer.step(state, "elapsed", "a")
        while any(n.role is not Role.LEADER for n in [state.nodes["a"]]):
            possible = [(w, x) for w, x in explorer.steps(state) if w in ("sync", "deliver")]
            state = explorer.step(state, *possible[0])
    layer, seen = [state], {state.key()}
    for level in range(depth):
        next_layer = []
        for before in layer:
            for what, which in explorer.steps(before):
                after = explorer.step(before, what, which)
                if after.violations:
                    return ExplorationResult(len(seen), level + 1, after.violations)
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    next_layer.append(after)
            if len(seen) > max_states:
                return ExplorationResult(len(seen), level, [])
        layer = next_layer
    return ExplorationResult(len(seen), depth, [])


def walk(
    seed: int,
    steps: int = 120,
    voters: int = 3,
    node_type: type[Node] = Node,
    initial: str = "stands",
    loses_votes: bool = False,
) -> list[str]:
    """Take one random walk of many more steps, drawn from a seed; returns the violations on it.

    It begins before any election; ``uneven`` is the same as in ``explore``.
    """
    rnd = random.Random(seed)
    explorer = Explorer(voters, proposals=6, crashes=6, node_type=node_type, loses_votes=loses_votes)
    state = explorer.begin(uneven=initial == "uneven")
    for _ in range(steps):
        possible = list(explorer.steps(state))
        what, which = rnd.choices(possible, [STEP_WEIGHTS[what] for what, _ in possible])[0]
        try:
            state = explorer.step(state, what, which)
        except AssertionError as error:
            return [str(error)]
        if len(state.in_transit) > 12:  # a message is lost
            state.in_transit.pop(rnd.randrange(len(state.in_transit)))
        if state.violations:
            return state.violations
    return []
