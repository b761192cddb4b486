"""Consensus and rollouts without sockets: the log, the replicated state, budgets, gates, storage, and
simulated fleets on a virtual clock under injected faults."""

from __future__ import annotations

import os
import random
from collections import Counter
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from arrowseam.config.budgets import DisruptionBudgets
from arrowseam.consensus import framing, messages, storage
from arrowseam.consensus.effects import Persist, Send
from arrowseam.consensus.messages import (
    AppendedEntries,
    Checkpoint,
    Entry,
    EntryKind,
    Epoch,
    HardState,
    Snapshot,
    Voter,
)
from arrowseam.consensus.node import Node, Role
from arrowseam.lab import gate_simulation, raft_exploration, rollout_mutants, rollout_simulation
from arrowseam.lab.rollout_simulation import Schedule, Step
from arrowseam.rollouts import gates
from arrowseam.rollouts.agent import Agent, AgentSettings
from arrowseam.rollouts.budgets import Resource, ResourceKind, budget_violation, totals_of
from arrowseam.rollouts.commands import (
    AdvanceRelease,
    Command,
    Drain,
    GrantPermit,
    HaltRelease,
    PermitOutcome,
    PlanRelease,
    ResumeRelease,
    ReturnPermit,
    RollBackRelease,
    SetBudgets,
    StartRelease,
    Undrain,
    encoder,
)
from arrowseam.rollouts.controller import Controller, Inputs
from arrowseam.rollouts.effects import ExecutePermit
from arrowseam.rollouts.messages import (
    LogCatchUp,
    ProxyStatus,
    StatusReport,
    decode_message,
    encode_message,
    sender_name,
)
from arrowseam.rollouts.observed import ClusterState
from arrowseam.rollouts.release_plan import bundle_digest, plan_waves
from arrowseam.rollouts.replicated_state import ReplicatedState

MS, SECOND = 1_000, 1_000_000
RESOURCES = [Resource(f"s{n}", "ab"[n % 2], "xyz"[n % 3], 1.0 + n) for n in range(6)]
TOTALS = totals_of(RESOURCES)


# --- budgets ------------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("voter_budgets", "kind", "out", "violation"),
    [
        ([], "server", [], "no voter has said a budget"),
        ([DisruptionBudgets(servers=2)], "server", [1], ""),
        ([DisruptionBudgets(servers=2)], "server", [1, 2], "2 out, 2 of 6 may be"),
        (
            [DisruptionBudgets(servers=5), DisruptionBudgets(servers=1)],
            "server",
            [1],
            "1 out, 1 of 6 may be",
        ),  # the strictest one applies
        ([DisruptionBudgets(servers=0.34)], "server", [1], ""),  # a share of the total, rounded down
        ([DisruptionBudgets(servers=0.33)], "server", [1], "1 out, 1 of 6 may be"),
        ([DisruptionBudgets(servers=6, servers_zone=1)], "server", [2], "1 out in zone a, 1 of 3 may be"),
        ([DisruptionBudgets(servers=6, servers_zone=1)], "server", [1], ""),
        ([DisruptionBudgets(servers=6, servers_type=0.5)], "server", [3], "1 out of type x, 1 of 2 may be"),
        (
            [DisruptionBudgets(servers=6, least_ready=0.5)],
            "server",
            [5, 4],
            "9 of the weight would be ready, 10.5 must be",
        ),
        ([DisruptionBudgets(servers=6, proxies=0)], "server", [], ""),
        ([DisruptionBudgets(servers=6, proxies=0)], "proxy", [], "0 out, 0 of 6 may be"),
    ],
)
def test_budget_violations(voter_budgets, kind: str, out: list[int], violation: str) -> None:
    budgets = {str(n): b for n, b in enumerate(voter_budgets)}
    assert (
        budget_violation(
            budgets, ResourceKind(kind), RESOURCES[0], {RESOURCES[n].name: RESOURCES[n] for n in out}, TOTALS
        )
        == violation
    )


# --- the replicated state ---------------------------------------------------------------------------------


def apply_command(replicated: ReplicatedState, command: Command) -> str:
    """Returns the rejection, or empty."""
    decision = replicated.apply(replicated.index + 1, encoder.encode(command))
    assert decision is not None
    return decision.rejection


def state_with_budgets(**overrides) -> ReplicatedState:
    replicated = ReplicatedState()
    assert (
        apply_command(
            replicated,
            SetBudgets(voter="n0", budgets=DisruptionBudgets(**({"proxies": 2, "servers": 2} | overrides))),
        )
        == ""
    )
    return replicated


def grant(
    name: str, kind=ResourceKind.PROXY, missing=(), started_at: int = 1, release_id: int = 0, digest: str = ""
) -> GrantPermit:
    return GrantPermit(
        kind=ResourceKind(kind),
        resource=Resource(name),
        started_at=started_at,
        missing=tuple(Resource(n) for n in missing),
        totals=totals_of([Resource(f"p{n}") for n in range(6)]),
        release_id=release_id,
        digest=digest,
    )


def start_release(
    replicated: ReplicatedState, bundle: bytes = b"{}", kind: str = "settings", **fields
) -> int:
    plan = PlanRelease(kind=kind, bundle=bundle, waves=(("p0",), ("p1", "p2")), **fields)
    assert apply_command(replicated, plan) == ""
    release_id = replicated.index
    assert apply_command(replicated, StartRelease(release_id=release_id)) == ""
    return release_id


def test_budgets_are_checked_again_when_a_grant_is_committed() -> None:
    """Between a leader's proposal and its commit, others go out and a voter lowers its budget. The state
    checks the budgets again, so that the grant does not exceed them."""
    replicated = state_with_budgets(least_ready=0.0)
    for name in ("a", "b", "c"):
        assert apply_command(replicated, Drain(endpoint=Resource(name))) == ""
    assert apply_command(replicated, grant("x", "server")) == "nobody wants x drained"
    assert apply_command(replicated, grant("a", "server", missing=("z",))) == ""
    assert apply_command(replicated, grant("b", "server", missing=("z",))) == "2 out, 2 of 6 may be"
    assert apply_command(replicated, grant("b", "server", missing=("a",))) == ""  # each name counts once
    assert apply_command(replicated, grant("a", "server")) == "a is out already"
    assert (
        apply_command(replicated, SetBudgets(voter="n1", budgets=DisruptionBudgets(servers=1))) == ""
    )  # below the number that is out
    assert apply_command(replicated, grant("c", "server")) == "2 out, 1 of 6 may be"
    assert sorted(replicated.out_by_plan(ResourceKind.ENDPOINT)) == ["a", "b"]
    assert apply_command(replicated, SetBudgets(voter="n1", budgets=None)) == ""
    assert apply_command(replicated, Undrain(endpoint="a")) == ""
    assert apply_command(replicated, grant("c", "server")) == ""


def test_a_permit_ends_once_by_a_report_of_its_holder() -> None:
    """A proxy restarts under a permit. A late report of its previous process must not end the permit while
    the new process is still starting, and no report may end it twice."""
    replicated = state_with_budgets()
    release_id = start_release(replicated)
    digest = bundle_digest(b"{}")
    assert (
        apply_command(replicated, grant("p0", started_at=5, release_id=release_id, digest="other"))
        == f"p0 is to get {digest}"
    )
    assert apply_command(replicated, grant("p0", started_at=5, release_id=release_id, digest=digest)) == ""
    permit = replicated.index
    assert (
        apply_command(replicated, ReturnPermit(permit_id=permit, outcome=PermitOutcome.BACK, started_at=4))
        == "p0: the word of a former life"
    )
    assert (
        apply_command(replicated, ReturnPermit(permit_id=permit, outcome=PermitOutcome.BACK, started_at=5))
        == ""
    )
    assert (
        apply_command(replicated, ReturnPermit(permit_id=permit, outcome=PermitOutcome.BACK, started_at=5))
        == "no such permit"
    )
    assert apply_command(replicated, grant("p0", release_id=release_id, digest=digest)) == "p0 is new already"
    assert replicated.desired_digest("p0") == digest
    assert replicated.desired_digest("p1") == ""


def test_a_halted_release_grants_nothing_and_its_rollback_restores_each_proxy() -> None:
    """A release is halted with one proxy changed. No other proxy goes out; the rollback returns that proxy
    to its own file and drops the bundle."""
    replicated = state_with_budgets()
    release_id, digest = start_release(replicated), bundle_digest(b"{}")
    assert apply_command(replicated, grant("p0", release_id=release_id, digest=digest)) == ""
    first = replicated.index
    assert apply_command(replicated, HaltRelease(release_id=release_id, reason="by hand")) == ""
    assert (
        apply_command(replicated, grant("p1", release_id=release_id, digest=digest))
        == f"release {release_id} does not go on"
    )
    assert (
        apply_command(replicated, ReturnPermit(permit_id=first, outcome=PermitOutcome.BACK, started_at=1))
        == ""
    )  # a permit may still end
    assert apply_command(replicated, RollBackRelease(release_id=release_id)) == ""
    assert (
        apply_command(replicated, grant("p1", release_id=release_id, digest=""))
        == "p1 has nothing to go back from"
    )
    assert apply_command(replicated, grant("p0", release_id=release_id, digest="")) == ""
    assert (
        apply_command(
            replicated, ReturnPermit(permit_id=replicated.index, outcome=PermitOutcome.BACK, started_at=1)
        )
        == ""
    )
    release = replicated.state.releases[release_id]
    assert release.state == "back"
    assert replicated.desired_digest("p0") == ""
    assert replicated.state.bundles == {}


def test_a_failed_member_keeps_its_former_bundle_and_its_wave_is_not_complete() -> None:
    """A proxy cannot apply a bundle. It is to run with its former one, its wave does not count as complete,
    and after a resume it gets another attempt."""
    replicated = state_with_budgets()
    release_id, digest = start_release(replicated), bundle_digest(b"{}")
    apply_command(replicated, grant("p0", release_id=release_id, digest=digest))
    assert (
        apply_command(replicated, AdvanceRelease(release_id=release_id, waves_done=1))
        == "not all of the wave are through"
    )
    apply_command(
        replicated,
        ReturnPermit(permit_id=replicated.index - 1, outcome=PermitOutcome.FAILED, started_at=1, reason="no"),
    )
    assert replicated.desired_digest("p0") == ""
    assert replicated.state.releases[release_id].members["p0"].state == "failed"
    assert apply_command(replicated, HaltRelease(release_id=release_id, reason="p0")) == ""
    assert apply_command(replicated, ResumeRelease(release_id=release_id, halt_stamp=7, halted_by="n1")) == ""
    assert replicated.state.releases[release_id].members["p0"].state == "old"  # will be tried again


def test_a_repeated_command_is_applied_once_and_one_of_a_later_version_is_skipped() -> None:
    """A reply is lost and the command is resent; a proxy of a later version proposes a command that this
    one does not know. The repeated command changes nothing, the unknown one is skipped."""
    replicated = state_with_budgets()
    assert apply_command(replicated, Drain(endpoint=Resource("a"), id=7)) == ""
    assert apply_command(replicated, Drain(endpoint=Resource("b"), id=7)) == "said already"
    before = replicated.save()
    assert replicated.apply(replicated.index + 1, msgspec.msgpack.encode([99, 1, 2])) is None
    after = ReplicatedState()
    after.load(replicated.index, before)
    assert after.state.drain_requests.keys() == replicated.state.drain_requests.keys() == {"a"}


def test_waves_are_a_canary_5_percent_25_percent_and_the_rest() -> None:
    names = [f"p{n:02}" for n in range(40)]
    assert [len(w) for w in plan_waves(names)] == [1, 2, 10, 27]
    assert [n for w in plan_waves(names) for n in w] == names
    zones = {n: "ab"[int(n[1:]) % 2] for n in names}
    assert [len(w) for w in plan_waves(names, zones)] == [1, 19, 20]
    assert plan_waves(["p0"]) == (("p0",),)
    assert plan_waves([]) == ()


# --- the log ------------------------------------------------------------------------------------------------


def sent_messages(effects) -> list:
    return [e.message for e in effects if isinstance(e, Send)]


def test_a_vote_is_sent_only_after_it_is_stored() -> None:
    """A voter that sends its vote before it is stored could crash and vote for another candidate in the same
    term, which would elect two leaders."""
    voters = tuple(Voter(n, 1) for n in "abc")
    node = Node(
        voters[0],
        Checkpoint(HardState(Epoch(1, 1), voters[0], 3), Snapshot(1, 1, voters), []),
        ("a", "b", "c"),
    )
    request = messages.RequestVote(Epoch(1, 1), 4, voters[1], 1, 1, False)
    effects = node.on_message(request)
    (persist,) = [e for e in effects if isinstance(e, Persist)]
    assert not sent_messages(effects)
    assert HardState(Epoch(1, 1), voters[0], 4, voters[1]) in persist.records
    (reply,) = sent_messages(node.on_records_stored(persist.token))
    assert reply.granted
    other = node.on_message(messages.RequestVote(Epoch(1, 1), 4, voters[2], 9, 9, False))
    assert not sent_messages(other)[0].granted  # one vote per term
    assert not sent_messages(node.on_storage_failed())
    assert not node.on_message(request)


def test_a_voter_that_lost_its_state_has_no_vote_and_joins_as_a_new_voter() -> None:
    """A voter loses its disk, and with it the record of its vote. Under its old identity it could vote twice,
    so it grants no vote until the leader has added it as a new voter."""
    joining = Node(Voter("a", 2), None, ("a", "b", "c"))
    joining.epoch = Epoch(1, 1)
    assert joining.role is Role.NON_VOTER
    for pre_vote in (True, False):
        (reply,) = sent_messages(
            joining.on_message(messages.RequestVote(Epoch(1, 1), 4, Voter("b", 1), 9, 9, pre_vote))
        ) or [None]
        if reply is None:  # the new term has to be stored first
            (reply,) = sent_messages(joining.on_records_stored(joining.outbox.write_token))
        assert not reply.granted


def test_a_leader_of_an_old_epoch_follows_the_epoch_that_an_operator_started() -> None:
    """An operator starts a new epoch while a leader of the old one is partitioned. When that leader learns of
    the new epoch, it drops its log and asks to join."""
    a = Voter("a", 1)
    node = Node(a, Checkpoint(HardState(Epoch(1, 5), a, 3), Snapshot(4, 3, (a,), b""), []), ("a",))
    for effect in node.on_election_timeout():
        if isinstance(effect, Persist):
            node.on_records_stored(effect.token)
    assert node.role is Role.LEADER
    node.on_message(messages.RequestVoteReply(Epoch(2, 1), 1, Voter("b", 1), False, False))
    assert node.role is Role.NON_VOTER
    assert node.epoch == Epoch(2, 1)
    assert node.log.last_index == 0


def test_exhaustive_exploration_of_a_small_configuration() -> None:
    """Explores every order of deliveries, losses, timeouts and crashes up to a number of steps."""
    found = raft_exploration.explore(voters=3, depth=4, proposals=2, crashes=1)
    assert found.violations == []
    assert found.states > 1000


# --- storage ------------------------------------------------------------------------------------------------

A = Voter("a", 1)
RECORDS: list[messages.StoredRecord] = [
    Checkpoint(HardState(Epoch(1, 1), A, 1, A), Snapshot(1, 0, (A,), b"book"), []),
    AppendedEntries(2, [Entry(1, EntryKind.COMMAND, b"x"), Entry(1, EntryKind.COMMAND, b"y")]),
    HardState(Epoch(1, 1), A, 2, None),
    AppendedEntries(3, [Entry(2, EntryKind.COMMAND, b"z")]),
]


def test_a_truncated_file_is_read_back_and_a_corrupted_one_refused(tmp_path: Path) -> None:
    """The machine loses power during a write. Whatever prefix of the file is left yields one of the states
    that were written. A changed byte is refused, unless it looks like a truncated record."""
    path = storage.state_file_path(str(tmp_path), "n0")
    store = storage.StateFile(path)
    assert store.load() is None
    store.append(RECORDS[:1])
    store.append(RECORDS[1:])
    store.close()
    data = path.read_bytes()
    states = [storage.replay(RECORDS[:n]) for n in range(len(RECORDS) + 1)]
    for size in range(len(data) + 1):
        path.write_bytes(data[:size])
        store = storage.StateFile(path)
        assert store.load() in states  # an incomplete last record is cut off
        store.close()
    path.write_bytes(data + bytes(100))
    store = storage.StateFile(path)
    assert store.load() == states[-1]
    assert path.read_bytes() == data
    store.append([HardState(Epoch(1, 1), A, 9, None)])
    store.close()
    store = storage.StateFile(path)
    found = store.load()
    assert found is not None
    assert found.hard_state.term == 9
    store.close()
    for at in range(len(storage.HEADER), len(data)):
        corrupted = bytearray(data)
        corrupted[at] ^= 1
        try:
            state = storage.replay(storage.decode_file(bytes(corrupted))[0])
        except storage.StateFileError:
            continue
        assert state in states  # a length that points past the end looks like a truncated record


@pytest.mark.parametrize("data", [b"x" * 100, b"arrowseam-agree 2\n", b"\x00" * 40])
def test_an_unknown_file_is_refused_and_left_unchanged(tmp_path: Path, data: bytes) -> None:
    """The file is not a state file, or of an unknown version. Overwriting it could destroy a vote."""
    path = tmp_path / "x.agree"
    path.write_bytes(data)
    with pytest.raises(storage.StateFileError):
        storage.StateFile(path).load()
    assert path.read_bytes() == data


def test_a_state_file_is_locked_until_its_process_closes_it(tmp_path: Path) -> None:
    """During a hot restart two processes of one name run at once. If both wrote, their records would mix."""
    path = tmp_path / "x.agree"
    first = storage.StateFile(path)
    with pytest.raises(BlockingIOError):
        storage.StateFile(path)
    first.close()
    storage.StateFile(path).close()


@pytest.mark.skipif(os.geteuid() == 0 and not Path("/proc/sys").is_dir(), reason="needs /proc")
def test_a_read_only_folder_raises_os_error() -> None:
    with pytest.raises(OSError):
        storage.StateFile(Path("/proc/sys/x.agree"))


@given(st.binary(max_size=200))
def test_random_bytes_are_never_a_message(data: bytes) -> None:
    with pytest.raises(framing.FrameError):
        decode_message(data, "fleet")


def test_a_message_of_another_fleet_or_with_a_flipped_bit_is_rejected() -> None:
    """A frame is corrupted in transit, or comes from another fleet on the same network."""
    message = StatusReport(Epoch(), ProxyStatus("n1", 1, 2, "", True), False)
    data = encode_message("fleet", message)
    assert decode_message(data, "fleet") == message
    assert sender_name(message) == "n1"
    with pytest.raises(framing.FrameError, match="another fleet"):
        decode_message(data, "other")
    for at in range(len(data)):
        with pytest.raises(framing.FrameError):
            decode_message(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :], "fleet")


# --- gates --------------------------------------------------------------------------------------------------


def test_gates_alarm_on_worse_proxies_and_rarely_otherwise() -> None:
    assert sum(gate_simulation.seconds_to_alarm(seed) is not None for seed in range(40)) <= 2
    assert all((gate_simulation.seconds_to_alarm(seed, failure_factor=30) or 99) <= 15 for seed in range(5))
    assert all((gate_simulation.seconds_to_alarm(seed, log_slowdown=0.4) or 99) <= 15 for seed in range(5))


def test_a_gate_without_enough_baseline_data_never_alarms() -> None:
    history = gates.CounterHistory()
    gate = gates.Gate(history, ["p0"], ["p1"], 10, 10)
    assert not gate.has_baseline
    assert gate.wealth == 1.0


# --- simulated fleets ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(60))
def test_random_schedules(seed: int) -> None:
    verdict = rollout_simulation.play(rollout_simulation.draw(seed))
    assert verdict.violations == []


def test_a_schedule_is_deterministic() -> None:
    first, second = (rollout_simulation.play(rollout_simulation.draw(7)) for _ in range(2))
    assert first == second
    assert first.messages > 100


def test_random_schedules_cover_every_kind_of_decision() -> None:
    counts = Counter[str]()
    for seed in range(25):
        counts += rollout_simulation.play(rollout_simulation.draw(seed)).counts
    assert all(
        counts[command] >= 5 for command in ("grant", "return", "drain", "safe", "plan", "advance", "limit")
    )


FAULT_SEEDS = {
    "RepliesBeforeStoring": range(12), "HalfIsQuorum": range(12), "SnapshotLosesPermits": range(6),
    "ReturnsPermitsByTime": range(12), "UnreportedIsDrained": range(20), "UsesPermitsTwice": range(30),
    "ReportsDoneAtStart": range(10), "disk unsynced": range(12), "IgnoresMissingProxies": range(40),
    "CountsUnstoredEntries": range(40),
}  # fmt: skip
WALK_SEEDS = {
    "VotesTwice": range(100),
    "VotesForStaleLogs": range(100),
    "KeepsConflictingEntries": range(200),
}


@pytest.mark.parametrize("name", FAULT_SEEDS)
def test_random_schedules_catch_a_planted_fault(name: str) -> None:
    kind, storage_kind = next((k, s) for n, k, s in rollout_mutants.all_mutants() if n == name)
    assert any(
        rollout_simulation.play(rollout_simulation.draw(seed), kind, storage_kind).violations
        for seed in FAULT_SEEDS[name]
    )


def test_random_walks_keep_committed_entries() -> None:
    assert [raft_exploration.walk(seed) for seed in range(100)] == [[]] * 100


@pytest.mark.parametrize("name", WALK_SEEDS)
def test_random_walks_catch_a_planted_fault(name: str) -> None:
    kind = next(k for k in rollout_mutants.NODE_MUTANTS if k.__name__ == name)
    assert any(raft_exploration.walk(seed, node_type=kind) for seed in WALK_SEEDS[name])


RELEASE_SCHEDULE = Schedule(5, 6, 3, True, steps=[Step(0, "release", ("p1",), text="good", number=1)])


def test_random_walks_catch_votes_that_are_kept_in_memory_only() -> None:
    """With terms and votes kept only in memory, a crash can lead to two leaders in one term."""
    assert any(raft_exploration.walk(seed, loses_votes=True) for seed in range(400))


def elected_leader(kind: type[Node], entries: list[Entry], names=("a", "b", "c")) -> Node:
    """A leader of term 4, elected with the vote of b; all its records are stored."""
    voters = tuple(Voter(n, 1) for n in "abc")
    node = kind(
        voters[0], Checkpoint(HardState(Epoch(1, 1), voters[0], 3), Snapshot(1, 1, voters), entries), names
    )
    for effects in (
        node.on_election_timeout(),
        node.on_message(messages.RequestVoteReply(Epoch(1, 1), 4, voters[1], True, True)),
    ):
        for effect in effects:
            if isinstance(effect, Persist):
                node.on_records_stored(effect.token)
    for effect in node.on_message(messages.RequestVoteReply(Epoch(1, 1), 4, voters[1], True, False)):
        if isinstance(effect, Persist):
            node.on_records_stored(effect.token)
    assert node.role is Role.LEADER
    assert node.term == 4
    return node


def entries_of_older_terms_are_not_committed_by_counting(kind: type[Node]) -> bool:
    """A majority has an entry of term 2, but a node without it may still be elected (Ongaro, figure 3.7)."""
    node = elected_leader(kind, [Entry(2, EntryKind.COMMAND, b"x")])
    node.on_message(messages.AppendEntriesReply(Epoch(1, 1), 4, Voter("b", 1), True, 2))
    early = node.commit_index
    node.on_message(messages.AppendEntriesReply(Epoch(1, 1), 4, Voter("b", 1), True, 3))
    return early == 1 and node.commit_index == 3


def voters_change_one_at_a_time(kind: type[Node]) -> bool:
    node = elected_leader(kind, [], ("a", "b"))  # c is to be removed
    node.on_message(messages.AppendEntriesReply(Epoch(1, 1), 4, Voter("b", 1), True, 2))
    node.wanted_voters = ("a",)
    node.change_voters()
    before = node.log.last_index
    node.change_voters()
    return node.log.last_index == before


def an_epoch_started_by_an_operator_replaces_the_previous_one(kind: type[Node]) -> bool:
    node = elected_leader(kind, [])
    node.on_message(messages.RequestVoteReply(Epoch(2, 1), 1, Voter("b", 1), False, False))
    return node.role is Role.NON_VOTER and node.epoch == Epoch(2, 1)


def the_state_checks_budgets_again(kind: type[ReplicatedState]) -> bool:
    replicated = kind()
    apply_command(replicated, SetBudgets(voter="n0", budgets=DisruptionBudgets(servers=1, least_ready=0.0)))
    for name in ("a", "b"):
        apply_command(replicated, Drain(endpoint=Resource(name)))
        last = apply_command(replicated, grant(name, "server"))
    return last != ""


@pytest.mark.parametrize(
    ("check", "correct", "faulty"),
    [
        (entries_of_older_terms_are_not_committed_by_counting, Node, rollout_mutants.CommitsOldTermsByCount),
        (voters_change_one_at_a_time, Node, rollout_mutants.OverlappingVoterChanges),
        (an_epoch_started_by_an_operator_replaces_the_previous_one, Node, rollout_mutants.IgnoresNewEpochs),
        (the_state_checks_budgets_again, ReplicatedState, rollout_mutants.NoBudgetCheckOnApply),
    ],
    ids=lambda x: x.__name__,
)
def test_faults_that_random_schedules_do_not_find(check, correct, faulty) -> None:
    assert check(correct)
    assert not check(faulty)


HALT_STEPS = [Step(0, "release", ("p1",), text="s1", number=1), Step(1300 * MS, "halt", ("p5",))]
ENDPOINT_DOWN_STEPS = [Step(0, "server down", ("p0",), 20 * SECOND, text="s0")] + [
    Step(5 * SECOND + n, "drain", ("p1",), text=f"s{n + 1}") for n in range(2)
]


@pytest.mark.parametrize(
    ("name", "steps"),
    [
        ("HaltWaitsForQuorum", HALT_STEPS),
        ("LeaderIgnoresHalts", HALT_STEPS),
        ("IgnoresMissingEndpoints", ENDPOINT_DOWN_STEPS),
    ],
)
def test_a_specific_schedule_catches_a_planted_fault(name: str, steps: list[Step]) -> None:
    kind = next(k for n, k, _ in rollout_mutants.all_mutants() if n == name)
    schedule = Schedule(5, 6, 3, True, steps=steps)
    assert rollout_simulation.play(schedule).violations == []
    assert rollout_simulation.play(schedule, kind).violations


def test_a_holder_that_knows_of_a_halt_returns_its_permit_unused() -> None:
    """The grant was in transit when the halt was announced; a holder that ignores the halt goes out."""
    for kind, executions in (
        (Agent, 0),
        (rollout_mutants.agent_with(holder=rollout_mutants.HolderIgnoresHalts), 1),
    ):
        agent = kind("p0", 1, 7, AgentSettings(voters=("v",)), random.Random(1))
        agent.start(0, 0)
        replicated = state_with_budgets()
        release_id = start_release(replicated)
        apply_command(replicated, grant("p0", release_id=release_id, digest=bundle_digest(b"{}")))
        agent.on_cluster_state(1, 0, ClusterState(halts={release_id: (5, "p3")}))
        catch_up = LogCatchUp(
            Epoch(1, 1),
            "v",
            "v",
            Snapshot(replicated.index, 0, (), replicated.save()),
            replicated.index + 1,
            [],
        )
        effects = agent.on_message(2, 0, catch_up)
        assert sum(isinstance(e, ExecutePermit) for e in effects) == executions
        assert (replicated.index in agent.holder.unused) == (not executions)


def test_a_stalled_release_is_halted_with_its_reason() -> None:
    """The next proxy of a release is missing and stays so. The release halts after its timeout and gives the
    reason, instead of waiting silently."""
    replicated, controller, history = (
        state_with_budgets(),
        Controller(0, random.Random(1)),
        gates.CounterHistory(),
    )
    start_release(replicated, timeout_s=5.0, gated=False)
    for now in (0, 6 * SECOND):
        cluster = ClusterState(configured_proxies=3)
        command = controller.decide(Inputs(now, replicated, cluster, {}, history, {}, {}))
    assert isinstance(command, HaltRelease)
    assert command.reason == "no proxy could go out for 5 s: p0 is missing"


def test_a_good_release_completes_and_a_bad_one_is_halted() -> None:
    verdict = rollout_simulation.play(RELEASE_SCHEDULE)
    assert verdict.violations == []
    assert verdict.counts["advance"] == 4
    assert verdict.counts["grant"] == 6
    bad_release = Schedule(5, 6, 3, True, steps=[Step(0, "release", ("p1",), text="s1", number=0.5)])
    verdict = rollout_simulation.play(bad_release)
    assert verdict.violations == []
    assert verdict.counts["halt"] == 1
    assert verdict.counts["grant"] == 1
