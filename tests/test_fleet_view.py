"""Membership without sockets: updates, wire format, proxy count, and simulated clusters under faults."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from arrowseam.lab import mutants
from arrowseam.lab.schedule_drawing import draw
from arrowseam.lab.schedule_player import Player
from arrowseam.lab.schedules import Schedule, Step, shrink
from arrowseam.lab.simulated_cluster import MS, SECOND, SimulatedCluster
from arrowseam.membership import codec
from arrowseam.membership.cordons import Cordon, CordonSet
from arrowseam.membership.effects import OpenStream, SendDatagram
from arrowseam.membership.gossip import GossipQueue
from arrowseam.membership.proxy_share import DECREASE_DELAY, ProxyCountInUse, proxy_count
from arrowseam.membership.records import MemberInfo, MemberRecord, State
from arrowseam.membership.settings import MembershipSettings
from arrowseam.membership.view import ClusterView
from arrowseam.outcomes import StreamOutcome


def record(
    name: str = "m0", started_at: int = 5, nonce: int = 1, incarnation: int = 0, state: State = State.ALIVE
) -> MemberRecord:
    return MemberRecord(name, started_at, nonce, incarnation, state, "127.0.0.1", 7000)


# --- updates and cordons ---------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("winner", "loser"),
    [
        (record(state=State.SUSPECT), record()),
        (record(state=State.DEAD), record(state=State.SUSPECT)),
        (record(state=State.GONE), record(state=State.DEAD)),
        (record(incarnation=1), record(state=State.DEAD)),  # refuted
        (record(started_at=6), record(incarnation=9, state=State.LEFT)),  # restarted
        (record(nonce=2), record(nonce=1)),
    ],
)
def test_of_two_updates_the_same_one_wins_in_either_order(winner: MemberRecord, loser: MemberRecord) -> None:
    for first, second in ((winner, loser), (loser, winner)):
        view = ClusterView(record("us"), MembershipSettings(), random.Random(1))
        view.start(0)
        view.updates.on_update(first)
        view.updates.on_update(second)
        assert view.records["m0"].precedence == winner.precedence


timestamps = st.integers(0, 6)
cordons = st.builds(
    Cordon,
    st.just("s1"),
    timestamps,
    st.sampled_from("ab"),
    timestamps,
    st.sampled_from("ab"),
    st.sampled_from("ab"),
)


@given(st.lists(cordons, max_size=6), st.randoms())
def test_cordon_updates_converge_in_any_order_and_with_repeats(updates: list[Cordon], rnd) -> None:
    one, other = CordonSet(), CordonSet()
    for update in updates:
        one.merge(update)
    shuffled = updates + [update for update in updates if rnd.random() < 0.5]
    rnd.shuffle(shuffled)
    for update in shuffled:
        other.merge(update)
    assert one.by_endpoint == other.by_endpoint
    assert one.digest == other.digest


@pytest.mark.parametrize("ahead_ms", [-3_600_000, 0, 3_600_000])
def test_a_cordon_is_lifted_only_by_an_uncordon_that_names_it(ahead_ms: int) -> None:
    """Both sides of a partition change the same cordon, one of them with a wrong clock.

    The sides converge, and an uncordon lifts only the cordon that it names.
    """
    local, remote = CordonSet(), CordonSet()
    first = local.set_locally("s1", True, "n0", 1_000_000_000)
    assert first is not None
    assert remote.merge(first) == first
    uncordon = remote.set_locally("s1", False, "n1", 1_000_000_000 + ahead_ms)  # works with a wrong clock
    assert uncordon is not None
    assert not local.merge(uncordon).is_cordoned
    # During a partition one side sets a new cordon; the other sets one of its own later and lifts it.
    kept = local.set_locally("s1", True, "n0", 1_000_000_010)
    set_, lifted = (
        remote.set_locally("s1", True, "n1", 1_000_000_020),
        remote.set_locally("s1", False, "n1", 1_000_000_030),
    )
    assert kept
    assert set_
    assert lifted
    local.merge(lifted)
    remote.merge(kept)
    assert local.by_endpoint == remote.by_endpoint
    assert local.set_locally("s1", True, "n0", 0) is None or local.cordoned() == ["s1"]
    assert local.set_locally("s2", False, "n0", 1) is None  # nothing to lift


def test_a_cordon_that_the_uncordon_did_not_know_of_stays() -> None:
    """An endpoint is uncordoned at one member while another uncordons it and cordons it again."""
    local, remote = CordonSet(), CordonSet()
    shared = local.set_locally("s1", True, "n0", 1_000)
    remote.merge(shared)
    lifted = remote.set_locally("s1", False, "n1", 5_000)
    assert local.set_locally("s1", False, "n0", 6_000)
    assert local.set_locally("s1", True, "n0", 7_000)
    local.merge(lifted)
    assert local.cordoned() == ["s1"]


# --- wire format ------------------------------------------------------------------------------------------


def message(**fields) -> codec.Datagram:
    updates = [record(f"m{n}") for n in range(5)]
    base = codec.Datagram(
        1, "fleet", codec.MessageKind.PING, 7, record("us"), 1 << 63, None, updates, [Cordon("s1", 5, "us")]
    )
    return msgspec.structs.replace(base, **fields)


def test_a_datagram_truncated_at_any_byte_or_with_any_bit_flipped_is_malformed() -> None:
    """The checksum detects a datagram that the network truncated or in which it flipped a bit."""
    data = codec.encode_datagram(message(info=MemberInfo("0.1.0", "abc", "z", True, 4, 2, 12)))
    assert codec.decode_datagram(data, "fleet").updates[4].name == "m4"
    for at in range(len(data)):
        with pytest.raises(codec.MalformedMessageError):
            codec.decode_datagram(data[:at], "fleet")
        for bit in range(8):
            with pytest.raises(codec.MalformedMessageError):
                codec.decode_datagram(data[:at] + bytes([data[at] ^ 1 << bit]) + data[at + 1 :], "fleet")


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "not a message of this protocol"),
        (b"GET / HTTP/1.1\r\n\r\n", "not a message of this protocol"),
        (codec.add_header(b"\xff\xff"), "malformed"),
        (codec.add_header(msgspec.msgpack.encode([1, "fleet", 1, -1])), "malformed"),
        (codec.encode_datagram(message(cluster="another")), "message of another cluster"),
        (codec.add_header(b"\x00" * 1500), "longer than the maximum size of a datagram"),
    ],
)
def test_malformed_and_foreign_messages_change_nothing(data: bytes, reason: str) -> None:
    """A foreign program or a member of another cluster sends to our port."""
    with pytest.raises(codec.MalformedMessageError, match=reason):
        codec.decode_datagram(data, "fleet")
    view = ClusterView(record("us"), MembershipSettings(), random.Random(1))
    view.start(0)
    assert view.on_datagram(1, data) == []
    assert not view.records
    assert view.counters["junk"] + view.counters["foreign"] == 1


def test_unknown_fields_and_kinds_of_a_later_version_are_ignored() -> None:
    """A later version sends additional fields and unknown kinds of messages."""
    body = msgspec.msgpack.decode(msgspec.msgpack.encode(message(version=2)))
    body[4].append("a later field of a record")
    data = codec.add_header(msgspec.msgpack.encode([*body, "a later field of a datagram"]))
    assert codec.decode_datagram(data, "fleet").sender.name == "us"
    view = ClusterView(record("other"), MembershipSettings(), random.Random(1))
    view.start(0)
    view.on_datagram(1, codec.encode_datagram(message(kind=99)))
    assert view.counters["unknown"] == 1
    assert "us" in view.records


@pytest.mark.parametrize("updates", [3, 500])
def test_gossip_fits_into_a_datagram_and_the_newest_goes_first(updates: int) -> None:
    view = ClusterView(record("us"), MembershipSettings(), random.Random(1))
    view.start(0)
    view.updates.on_update(record("to"))
    for n in range(updates):
        view.updates.on_update(record(f"member-{n:03}", state=State.LEFT))
    sent = [
        codec.decode_datagram(
            view.dissemination.ping(view.records["to"]) and view.context.effects[-1].data, "fleet"
        )
        for _ in range(60)
    ]
    assert all(len(codec.encode_datagram(m)) <= codec.DATAGRAM_MAX for m in sent)
    assert f"member-{updates - 1:03}" in {r.name for r in sent[0].updates}
    assert len({r.name for m in sent for r in m.updates}) >= min(updates, 400)


def test_an_update_has_a_limited_number_of_transmissions() -> None:
    gossip = GossipQueue()
    gossip.add(record("old"))
    for n in range(40):
        gossip.add(record(f"m{n}"))
    sent = [r.name for _ in range(200) for r in gossip.take(48, 700)[0]]
    assert not gossip.queued
    assert sent.count("old") == 3 * 6


# --- proxy count ------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("configured", "known", "counted_out", "unconfirmed", "expected"),
    [
        (4, 4, 0, 0, 4), (4, 1, 0, 3, 16), (4, 4, 1, 0, 4), (10, 10, 7, 0, 4),
        (200, 200, 140, 0, 73),
        (4, 8, 0, 0, 8), (1, 1, 0, 0, 1), (2, 2, 1, 0, 2), (3, 3, 3, 0, 2),
        # Unconfirmed members reduce the share: 1 of 12 by 45%, 2 of a zone of 542 by 3%, all by 3/4.
        (12, 12, 0, 1, 22), (542, 542, 0, 2, 560), (542, 542, 0, 541, 2168),
        (2, 2, 0, 1, 8), (6500, 6500, 0, 23, 6698),
        (10, 10, 9, 0, 4),  # at most seven tenths are counted out
    ],
)  # fmt: skip
def test_proxy_count(configured: int, known: int, counted_out: int, unconfirmed: int, expected: int) -> None:
    assert proxy_count(configured, known, counted_out, unconfirmed) == expected


@given(st.integers(1, 300), st.data())
def test_shares_never_exceed_the_budget_whoever_counts_out_whom(size: int, data) -> None:
    """Confirmed members take shares by their own evidence; all others that may run take the minimum share."""
    ended = data.draw(st.integers(0, size - 1))
    counted_out = [data.draw(st.integers(0, ended)) for _ in range(min(6, size - ended))]
    counted_out += [ended] * (size - ended - len(counted_out))
    confirmed = sum(1 / proxy_count(size, size, count, 0) for count in counted_out)
    assert confirmed + ended / proxy_count(size, size, 0, size - 1) <= 1 + 1e-9


@given(st.integers(1, 40), st.data())
def test_shares_never_exceed_the_budget_whoever_has_not_answered_whom(size: int, data) -> None:
    """For any relation of who counts out whom: a member's share is reduced for each that counts it out."""
    running = data.draw(st.integers(1, size))
    counts_out = {(i, j) for i in range(running) for j in range(running)
           if i != j and data.draw(st.integers(0, 3)) == 0}  # fmt: skip
    ended = [data.draw(st.integers(0, size - running)) for _ in range(running)]
    counted_out = [ended[i] + sum((i, j) in counts_out for j in range(running)) for i in range(running)]
    unconfirmed = [sum((i, j) in counts_out for i in range(running)) for j in range(running)]
    shares = (1 / proxy_count(size, size, counted_out[n], unconfirmed[n]) for n in range(running))
    assert sum(shares) <= 1 + 1e-9


def test_the_proxy_count_grows_at_once_and_shrinks_slowly() -> None:
    in_use = ProxyCountInUse(12)
    delay = DECREASE_DELAY
    assert in_use.update(0, 5) == 12
    assert in_use.update(delay - 1, 7) == 12
    assert in_use.update(delay, 5) == 7  # the maximum in that period
    assert in_use.update(delay + 1, 6) == 7
    assert in_use.update(2 * delay, 6) == 6
    assert in_use.update(2 * delay + 1, 40) == 40


# --- fault scenarios on the virtual clock -----------------------------------------------------------------


def running_cluster(members: int = 5, seed: int = 1, **fields) -> SimulatedCluster:
    net = SimulatedCluster(members, seed, **fields)
    for name in net.names:
        net.start(name)
    assert net.until(net.agreed, 5 * SECOND) is not None
    net.run(net.now + 12 * SECOND)
    return net


def assert_converges(net: SimulatedCluster, within: int = 5 * SECOND) -> None:
    assert net.until(net.agreed, within) is not None


def events(net: SimulatedCluster, event: str) -> list[tuple[int, str, str]]:
    return [(at, who, entry.member) for at, who, entry in net.log_events if entry.event == event]


def test_a_member_that_some_members_cannot_hear_is_not_declared_dead() -> None:
    """A member receives from all others, but some receive nothing from it for 15 s.

    Others probe it on their behalf, so it is not declared dead and declares no member dead.
    """
    net = running_cluster(6)
    net.cut_links = {("m0", name) for name in net.names[1:3]}  # m0 reaches only some of the others
    net.run(net.now + 15 * SECOND)
    assert all(net.active_names(p) == set(net.names) for p in net.running.values())


def test_a_stalled_process_declares_no_member_dead_and_recovers_at_once() -> None:
    """A process does not run for 10 s and then finds its probes unanswered.

    The others have declared it dead; it refutes that within 3 s and declares no other member dead.
    """
    net = running_cluster(8)
    net.stall("m3", 10 * SECOND)
    net.run(net.now + 9 * SECOND)
    assert "m3" not in net.active_names(net.running["m0"])
    before = len(net.log_events)
    net.run(net.now + 1 * SECOND)
    assert_converges(net, 3 * SECOND)
    assert not [
        entry
        for _, who, entry in net.log_events[before:]
        if who == "m3" and entry.event in ("member.dead", "member.gone")
    ]


def test_a_stall_is_counted_once_and_dead_members_are_still_declared_dead() -> None:
    """Each datagram queued during a stall postponed the suspicions by the whole stall: they never ended."""
    net = running_cluster(6)
    net.powered_off.add("m5")
    net.kill("m5")
    net.run(net.now + 600 * MS)
    net.stall("m2", 10 * SECOND)
    net.run(net.now + 10 * SECOND)
    assert_converges(net, 8 * SECOND)
    assert net.running["m2"].view.counters["stalls"] == 1


def test_a_member_that_left_and_restarted_is_found_though_its_seeds_have_ended() -> None:
    """A member leaves, then all its seeds end, then it restarts and knows no member.

    The others still try its former address.
    """
    net = running_cluster(6)
    net.leave("m5")
    net.run(net.now + 2 * SECOND)
    for name in ("m0", "m1", "m2"):
        net.kill(name)
    net.run(net.now + 5 * SECOND)
    net.start("m5")
    assert_converges(net, 6 * SECOND)


def test_no_member_is_declared_dead_at_30_percent_datagram_loss() -> None:
    """The network loses 30% of the datagrams for a minute."""
    net = running_cluster(12, loss=0.3)
    net.run(net.now + 60 * SECOND)
    assert not events(net, "member.dead")
    assert not events(net, "member.gone")


@pytest.mark.parametrize("members", [2, 12])
def test_half_killed_at_once_are_counted_out(members: int) -> None:
    """Half of the members are killed at once; their hosts refuse streams to them.

    All others detect it within 3 s and divide the budget among themselves after that.
    """
    net = running_cluster(members)
    for name in net.names[: members // 2]:
        net.kill(name)
    took = net.until(net.agreed, 5 * SECOND)
    assert took is not None
    assert took <= 3 * SECOND
    net.run(net.now + 15 * SECOND)
    expected = proxy_count(members, members, members // 2, 0)
    assert {p.proxy_count.value for p in net.running.values()} == {expected}
    assert net.share_sum_max <= 1 + 1e-9


def test_a_restart_of_all_members_within_a_second_converges() -> None:
    """All members restart one after the other within a second."""
    net = running_cluster(12)
    for n, name in enumerate(net.names):
        net.at(net.now + n * 80 * MS, lambda name=name: net.start(name))
    net.run(net.now + SECOND)
    assert_converges(net)


def test_a_member_whose_seeds_have_ended_is_found_by_members_that_knew_it() -> None:
    """A member is killed together with all seeds and restarts alone: it has no seed to contact."""
    net = running_cluster(6)
    for name in ("m0", "m1", "m2", "m5"):  # the first three are the seeds of all members
        net.kill(name)
    net.run(net.now + 5 * SECOND)
    net.start("m5")
    assert_converges(net)


@pytest.mark.parametrize("skew", [-3600 * SECOND, 3600 * SECOND])
def test_a_member_rejoins_after_a_clock_jump(skew: int) -> None:
    """A member restarts after its clock jumped by an hour: its start time may precede the previous one."""
    net = running_cluster(4)
    net.skew["m1"] = skew
    net.start("m1")
    assert_converges(net, 2 * SECOND)
    assert net.running["m0"].view.records["m1"].nonce == net.running["m1"].view.me.nonce


def test_a_late_datagram_of_a_previous_process_changes_nothing() -> None:
    """A datagram arrives after its sender has restarted three times."""
    net = running_cluster(4)
    late = codec.encode_datagram(net.running["m1"].view.dissemination.compose(codec.MessageKind.PING, 1))
    for _ in range(3):
        net.start("m1")
        net.run(net.now + SECOND)
    before = net.running["m0"].view.records["m1"]
    net.running["m0"].view.on_datagram(net.now, late)
    assert net.running["m0"].view.records["m1"] == before


def test_a_name_conflict_is_resolved_and_reported_once() -> None:
    """Two processes are configured with the same name; one of them takes another name."""
    net = running_cluster(4)
    net.names.append("m9")
    net.start("m9")
    view = net.running["m9"].view
    view.members.me = replace_record(view.me, name="m1")
    view.members.digest = 0
    view.updates.announce(view.me)
    net.run(net.now + 10 * SECOND)
    names = [p.view.me.name for p in net.running.values()]
    assert len(set(names)) == 5
    assert len(events(net, "member.name_conflict")) == 1
    assert {len(net.active_names(p)) for p in net.running.values()} == {5}


def replace_record(r: MemberRecord, **fields) -> MemberRecord:
    return msgspec.structs.replace(r, **fields)


def test_a_member_that_leaves_is_not_suspected() -> None:
    """A member announces that it ends, so the others need not detect it by probes."""
    net = running_cluster(5)
    net.leave("m2")
    net.run(net.now + 2 * SECOND)
    assert {p.view.records["m2"].state for p in net.running.values()} == {State.LEFT}
    assert not events(net, "member.suspect")


def test_many_members_that_leave_at_once_are_recorded_as_left() -> None:
    """Fifty of sixty members leave at once, so many leave messages go to members that leave too."""
    net = SimulatedCluster(60, 3)
    for name in net.names:
        net.start(name)
    net.run(5 * SECOND)
    for name in net.names[10:]:
        net.leave(name)
    net.run(net.now + 5 * SECOND)
    assert all(net.active_names(p) == set(net.names[:10]) for p in net.running.values())


def test_an_operator_declares_a_silent_member_left() -> None:
    """A machine loses power: nothing proves that its process has ended, so it keeps its share.

    An operator may declare it left; an active or unknown member cannot be declared left.
    """
    net = running_cluster(4)
    net.powered_off.add("m3")
    net.kill("m3")
    assert_converges(net, 8 * SECOND)
    net.run(net.now + 20 * SECOND)
    assert {p.proxy_count.value for p in net.running.values()} == {4}  # silent members are not counted out
    view = net.running["m0"].view
    assert view.declare_left(net.now, "m1") is None
    assert view.declare_left(net.now, "m7") is None
    net._apply_effects(net.running["m0"], view.declare_left(net.now, "m3"))
    net.run(net.now + 15 * SECOND)
    states = {p.view.records["m3"].state for p in net.running.values()}
    assert states == {State.LEFT}
    assert all(p.view.evidence.counted_out_count == 1 for p in net.running.values())


def test_a_tombstone_is_dropped_only_if_more_members_are_known_than_configured() -> None:
    """A member ended a minute ago. A configured member that is unknown would take a share."""
    for configured, kept in ((4, True), (3, False)):
        net = SimulatedCluster(
            4, 1, replace(MembershipSettings(), tombstone_ttl=20 * SECOND), configured=configured
        )
        for name in net.names:
            net.start(name)
        net.run(3 * SECOND)
        net.kill("m3")
        net.run(net.now + 60 * SECOND)
        assert ("m3" in net.running["m0"].view.records) is kept


def test_an_idle_cluster_sends_little_and_runs_are_reproducible() -> None:
    totals = []
    for _ in range(2):
        net = running_cluster(24)
        messages_before, bytes_before, began = net.sent, net.bytes, net.now
        net.run(began + 10 * SECOND)
        totals.append((net.sent, net.bytes))
        assert (net.sent - messages_before) / 24 / 10 < 8
        assert (net.bytes - bytes_before) / 24 / 10 < 600
    assert totals[0] == totals[1]


# --- schedules --------------------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(50))
def test_random_schedules(seed: int) -> None:
    verdict = Player(draw(seed)).play()
    assert verdict.broken == []


def kill(*names: str, at: int = 0) -> list[Step]:
    return [Step(at * SECOND, "kill", (name,)) for name in names]


SPLIT = [Step(14 * SECOND, "part", ("m0", "m1"), 20 * SECOND)]
SPLIT_WITH_RESTARTS = Schedule(
    1, 4, [*kill("m2", "m3"), *SPLIT, *(Step(16 * SECOND, "start", (n,)) for n in ("m2", "m3"))]
)
SPLIT_IN_HALVES = Schedule(1, 6, [Step(0, "part", ("m0", "m1", "m2"), 25 * SECOND)])
UNREFUSED_KILL = Schedule(1, 4, [Step(0, "dark", ("m1",))])
MUTANT_CASES = [
    (mutants.NoRefutation, SPLIT_IN_HALVES),
    (mutants.IncarnationNotRaised, SPLIT_IN_HALVES),
    (mutants.DeadNeverRetried, SPLIT_IN_HALVES),
    (mutants.SilentCountedOut, SPLIT_IN_HALVES),
    (mutants.TimeoutIsRefusal, SPLIT_IN_HALVES),
    (mutants.AlwaysComplete, SPLIT_WITH_RESTARTS),
    (mutants.OnlyKnownAreUnconfirmed, SPLIT_WITH_RESTARTS),
    (mutants.LaterProcessOfOurNameIgnored, draw(11)),
    (mutants.CordonsNotSynchronised, draw(3)),
    (mutants.NoStateSync, draw(3)),
    (mutants.DigestKeepsEndedMembers, draw(0)),
    (mutants.SuspicionNeverEnds, UNREFUSED_KILL),
]


@pytest.mark.parametrize(("view", "schedule"), MUTANT_CASES, ids=[v.__name__ for v, _ in MUTANT_CASES])
def test_schedules_detect_a_mutant(view: type[ClusterView], schedule: Schedule) -> None:
    assert Player(schedule).play().broken == []
    assert Player(schedule, view=view).play().broken


@pytest.mark.parametrize("share_rule", mutants.SHARE_RULES)
def test_schedules_detect_a_proxy_count_that_is_too_small(share_rule) -> None:
    assert Player(SPLIT_WITH_RESTARTS).play().broken == []
    assert any("shares" in text for text in Player(SPLIT_WITH_RESTARTS, share_rule=share_rule).play().broken)


def test_a_failing_schedule_is_shrunk_and_read_back() -> None:
    found = Schedule(
        3, 6, [*draw(5).steps[:0], *SPLIT_IN_HALVES.steps, Step(30 * SECOND, "stall", ("m1",), SECOND)]
    )

    def fails(schedule: Schedule) -> bool:
        return bool(Player(schedule, view=mutants.NoRefutation).play().broken)

    shrunk = shrink(Schedule.read(found.text()), fails)
    assert fails(shrunk)
    assert len(shrunk.steps) == 1


class Faults(RuleBasedStateMachine):
    """Faults in any order; the invariants are checked after each."""

    @initialize(seed=st.integers(0, 1 << 30), members=st.integers(2, 7))
    def begin(self, seed: int, members: int) -> None:
        self.net = SimulatedCluster(members, seed)
        for name in self.net.names:
            self.net.start(name)
        self.net.run(2 * SECOND)

    def pick(self, number: int) -> str:
        return self.net.names[number % len(self.net.names)]

    @rule(number=st.integers(0, 6))
    def kill(self, number: int) -> None:
        self.net.kill(self.pick(number))

    @rule(number=st.integers(0, 6), skew=st.sampled_from([0, -3600, 3600]))
    def start(self, number: int, skew: int) -> None:
        self.net.skew[self.pick(number)] = skew * SECOND
        self.net.start(self.pick(number))

    @rule(number=st.integers(0, 6), span=st.sampled_from([300, 3_000, 12_000]))
    def stall(self, number: int, span: int) -> None:
        self.net.stall(self.pick(number), span * MS)

    @rule(first=st.integers(1, 6))
    def part(self, first: int) -> None:
        self.net.partition(self.net.names[:first], self.net.names[first:])

    @precondition(lambda self: self.net.cut_links)
    @rule()
    def heal(self) -> None:
        self.net.heal()

    @rule(span=st.sampled_from([200, 2_000, 15_000]))
    def wait(self, span: int) -> None:
        self.net.run(self.net.now + span * MS)

    @invariant()
    def no_budget_is_exceeded(self) -> None:
        if hasattr(self, "net"):
            assert self.net.share_sum_max <= 1 + 1e-9
            for process in self.net.running.values():
                assert process.proxy_count.value >= len(process.view.members.ring.names) * 0.7

    def teardown(self) -> None:
        if hasattr(self, "net"):
            self.net.heal()
            self.net.run(self.net.now + 12 * SECOND)
            assert_converges(self.net, 10 * SECOND)


Faults.TestCase.settings = settings(max_examples=25, stateful_step_count=12, deadline=None, derandomize=True)
TestFaults = Faults.TestCase


def test_effects_address_members_by_their_records() -> None:
    net = running_cluster(3)
    for process in net.running.values():
        for effect in process.view.on_timer(net.now + SECOND):
            if isinstance(effect, SendDatagram | OpenStream):
                assert effect.address[0] in net.names


# --- mutants that random schedules do not detect: each is compared with the unchanged code ------------------


def a_refusal_of_a_previous_process_ends_no_member(view_type: type[ClusterView]) -> bool:
    """A stream probe of the previous process was in progress when the member restarted there."""
    view = view_type(record("us"), MembershipSettings(), random.Random(1))
    view.start(0)
    view.updates.on_update(record(started_at=5))
    view._begin_event(SECOND)
    view.streams.probe(view.records["m0"])
    (probe,) = [e for e in view._end_event() if isinstance(e, OpenStream)]
    view.updates.on_update(record(started_at=6, nonce=2))
    view.on_stream_closed(SECOND + 1, probe.token, StreamOutcome.REFUSED)
    return view.records["m0"].is_active


def an_answer_to_a_previous_process_does_not_count(view_type: type[ClusterView]) -> bool:
    """A process that takes a new start time, because a later one is known, has not been answered yet."""
    view = view_type(record("us", started_at=5), MembershipSettings(configured_members=2), random.Random(1))
    view.start(0)
    (ping,) = [e for e in view.on_timer(SECOND) if isinstance(e, SendDatagram)] or [None]
    view.updates.on_update(record("m0"))
    for at in range(2 * SECOND, 4 * SECOND, 100 * MS):
        ping = next((e for e in view.on_timer(at) if isinstance(e, SendDatagram)), ping)
    assert ping is not None
    sent = codec.decode_datagram(ping.data, "fleet")
    ack = codec.Datagram(1, "fleet", codec.MessageKind.ACK, sent.number, record("m0"), 0)
    view.on_datagram(4 * SECOND, codec.encode_datagram(ack))
    assert view.evidence.complete
    later = record("us", started_at=9, nonce=7)
    update = codec.Datagram(1, "fleet", codec.MessageKind.PING, 1, record("m0"), 0, None, [later])
    view.on_datagram(5 * SECOND, codec.encode_datagram(update))
    assert view.me.started_at == 10
    return not view.evidence.complete


def an_unrefused_death_is_known_to_40_members_within_4_seconds(view_type: type[ClusterView]) -> bool:
    """Without gossip each member would have to detect the death by itself."""
    net = running_cluster(40, view=view_type)
    net.powered_off.add("m5")
    net.kill("m5")
    took = net.until(net.agreed, 30 * SECOND)
    return took is not None and took <= 4 * SECOND


@pytest.mark.parametrize(
    ("property_holds", "mutant"),
    [
        (a_refusal_of_a_previous_process_ends_no_member, mutants.RefusalOfFormerProcessCounts),
        (an_answer_to_a_previous_process_does_not_count, mutants.AckOfFormerProcessCounts),
        (an_unrefused_death_is_known_to_40_members_within_4_seconds, mutants.DeathsNotGossiped),
    ],
    ids=lambda x: x.__name__,
)
def test_a_mutant_violates_a_property(property_holds, mutant: type[ClusterView]) -> None:
    assert property_holds(ClusterView)
    assert not property_holds(mutant)
