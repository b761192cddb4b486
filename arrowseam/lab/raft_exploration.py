"""Small configurations of the log explored exhaustively: every order of deliveries, timeouts, syncs, crashes
and proposals there is, up to a depth.

It owns the search and what must hold in every state. Losing a message is not delivering it, so all losses are
in it; each message is delivered once at most. It must never ask a node why.
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
WEIGHTS = {"deliver": 6.0, "sync": 6.0, "elapsed": 1.0, "propose": 2.0, "crash": 0.4}  # of a walk


@dataclass
class State:
    nodes: dict[str, Node]
    disks: dict[str, list[StoredRecord]]
    pending: dict[str, list[tuple[int, tuple[StoredRecord, ...]]]]
    flying: list[tuple[str, RaftMessage]] = field(default_factory=list)
    leaders: dict[int, str] = field(default_factory=dict)  # by term
    committed: dict[int, Entry] = field(default_factory=dict)
    proposed: int = 0
    crashed: int = 0
    violations: list[str] = field(default_factory=list)

    def clone(self) -> State:
        return State(
            {name: _clone(node) for name, node in self.nodes.items()},
            {name: list(disk) for name, disk in self.disks.items()},
            {name: list(rows) for name, rows in self.pending.items()},
            list(self.flying), dict(self.leaders), dict(self.committed), self.proposed, self.crashed,
            list(self.violations),
        )  # fmt: skip

    def key(self) -> int:
        nodes = tuple(_node_key(node) for node in self.nodes.values())
        flying = tuple(sorted(map(repr, self.flying)))
        disks = tuple((len(d), len(self.pending[name])) for name, d in self.disks.items())
        return hash((nodes, flying, disks, self.proposed, self.crashed))


def _node_key(n: Node) -> tuple[Any, ...]:
    """All that a node's further behaviour depends on."""
    progress = sorted((v, p.next_index, p.match_index, p.in_flight) for v, p in n.progress.items())
    return (
        n.role.value, n.term, n.voted_for, n.log.snapshot.index, tuple(n.log.entries), n.commit_index,
        n.durable_index, n.leader, n.leader_silent, n.pre_vote, frozenset(n.votes_received), tuple(progress),
        frozenset(n.responsive), n.quorum_checks, len(n.outbox.pending_writes),
    )  # fmt: skip


def _clone(node: Node) -> Node:
    fresh = object.__new__(type(node))
    for key, value in node.__dict__.items():
        if key == "progress":
            value = copy.deepcopy(value)
        elif isinstance(value, list | dict | set | ReplicatedLog | Outbox):
            value = value.copy()
        fresh.__dict__[key] = value
    return fresh


class Explorer:
    def __init__(
        self,
        voters: int = 3,
        proposals: int = 2,
        crashes: int = 1,
        node_type: type[Node] = Node,
        loses_votes: bool = False,
    ) -> None:
        """``loses_votes``, planted: terms and votes are not written to the disks."""
        self.loses_votes = loses_votes
        self.node_type, self.proposals, self.crashes = node_type, proposals, crashes
        self.names = tuple("abcde"[:voters])
        self.voters = tuple(Voter(name, 1) for name in self.names)

    def begin(self, term: int = 1, uneven: bool = False) -> State:
        """A leader of a term, a, has just been elected; ``uneven``: c has an entry of an older term."""
        state = State({}, {name: [] for name in self.names}, {name: [] for name in self.names})
        for voter in self.voters:
            base = Snapshot(1, 0, self.voters)
            entries = [Entry(1, EntryKind.COMMAND, b"old")] if uneven and voter.name != "a" else []
            whole = Checkpoint(HardState(EPOCH, voter, term, None), base, entries)
            state.disks[voter.name] = [whole]
            state.nodes[voter.name] = self.node_type(voter, whole, self.names)
        return state

    def _do(self, state: State, name: str, asked: list[effects.Effect]) -> None:
        for effect in asked:
            match effect:
                case effects.Send(to, message):
                    if to in state.nodes:
                        state.flying.append((to, message))
                case effects.Persist(token, records):
                    state.pending[name].append((token, records))
                case effects.Commit(index, entry):
                    if state.committed.setdefault(index, entry) != entry:
                        state.violations.append(f"two entries committed at {index}")
        node = state.nodes[name]
        if node.role is Role.LEADER and state.leaders.setdefault(node.term, name) != name:
            state.violations.append(f"two leaders of term {node.term}")

    def steps(self, state: State) -> Iterator[tuple[str, Any]]:
        seen = set()
        for n, (to, what) in enumerate(state.flying):
            text = repr((to, what))
            if text not in seen:
                seen.add(text)
                yield "deliver", n
        for name, node in state.nodes.items():
            if state.pending[name]:
                yield "sync", name
            if node.role is not Role.LEADER:
                yield "elapsed", name
            elif state.proposed < self.proposals:
                yield "propose", name
            if state.crashed < self.crashes:
                yield "crash", name

    def step(self, before: State, what: str, which: Any) -> State:
        state = before.clone()
        match what:
            case "deliver":
                to, message = state.flying.pop(which)
                self._do(state, to, state.nodes[to].on_message(message))
            case "sync":
                token, records = state.pending[which].pop(0)
                state.disks[which] += [
                    k for k in records if not (self.loses_votes and isinstance(k, HardState))
                ]
                self._do(state, which, state.nodes[which].on_records_stored(token))
            case "elapsed":
                self._do(state, which, state.nodes[which].on_election_timeout())
            case "propose":
                state.proposed += 1
                _, effects = state.nodes[which].propose(b"%d" % state.proposed)
                self._do(state, which, effects)
            case "crash":
                state.crashed += 1
                state.pending[which].clear()
                held = replay(state.disks[which])
                state.disks[which] = [held] if held is not None else []
                me = Voter(which, 1)
                state.nodes[which] = self.node_type(me, held, self.names)
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
    """Breadth first. ``initial``: ``stands`` (a has asked for votes and all have said yes), ``uneven`` (the
    others have an entry of an older term beside)."""
    explorer = Explorer(voters, proposals, crashes, node_type)
    state = explorer.begin(uneven=initial == "uneven")
    if initial == "stands":
        state = explorer.step(state, "elapsed", "a")
        while any(n.role is not Role.LEADER for n in [state.nodes["a"]]):
            found = [(w, x) for w, x in explorer.steps(state) if w in ("sync", "deliver")]
            state = explorer.step(state, *found[0])
    layer, seen = [state], {state.key()}
    for level in range(depth):
        fresh = []
        for one in layer:
            for what, which in explorer.steps(one):
                after = explorer.step(one, what, which)
                if after.violations:
                    return ExplorationResult(len(seen), level + 1, after.violations)
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    fresh.append(after)
            if len(seen) > max_states:
                return ExplorationResult(len(seen), level, [])
        layer = fresh
    return ExplorationResult(len(seen), depth, [])


def walk(
    seed: int,
    steps: int = 120,
    voters: int = 3,
    node_type: type[Node] = Node,
    initial: str = "stands",
    loses_votes: bool = False,
) -> list[str]:
    """One way through far more steps, drawn from a seed; what was broken on it."""
    rnd = random.Random(seed)
    explorer = Explorer(voters, proposals=6, crashes=6, node_type=node_type, loses_votes=loses_votes)
    state = explorer.begin(uneven=initial == "uneven")
    for _ in range(steps):
        found = list(explorer.steps(state))
        what, which = rnd.choices(found, [WEIGHTS[what] for what, _ in found])[0]
        try:
            state = explorer.step(state, what, which)
        except AssertionError as error:
            return [str(error)]
        if len(state.flying) > 12:  # lost
            state.flying.pop(rnd.randrange(len(state.flying)))
        if state.violations:
            return state.violations
    return []
