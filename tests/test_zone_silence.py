"""Reports of silent zones while some directions between members are cut."""

from __future__ import annotations

import random

import pytest

from arrowseam.lab.schedule_drawing import ZoneFault
from arrowseam.lab.schedules import Step, ZoneSchedule
from arrowseam.lab.simulated_cluster import MS, SECOND, SimulatedCluster
from arrowseam.lab.zone_schedule_player import ZonePlayer
from arrowseam.membership import codec
from arrowseam.membership.codec import MessageKind
from arrowseam.membership.effects import SendDatagram
from arrowseam.membership.records import MemberRecord, State
from arrowseam.membership.settings import MembershipSettings
from arrowseam.membership.view import ClusterView
from arrowseam.membership.zones import AGE_MAX, AGE_UNIT, ZoneTable

SIZES = (("a", 3), ("b", 3), ("c", 3))


def running_cluster(zones: dict[str, int]) -> SimulatedCluster:
    net = SimulatedCluster(sum(zones.values()), 1, zones=zones)
    net.start_established()
    net.run(net.now + 5 * SECOND)
    return net


def members_of(net: SimulatedCluster, zone: str) -> list[str]:
    return [name for name in net.names if net.zone_of[name] == zone]


def is_silent(net: SimulatedCluster, name: str, zone: str) -> bool:
    return net.running[name].view.zones.by_name[zone].silent


def report_times(net: SimulatedCluster, name: str, event: str, zone: str) -> list[int]:
    """Return the times at which a member logged this event about a zone."""
    return [
        at
        for at, who, entry in net.log_events
        if who == name and entry.event == event and f" {zone} " in entry.text
    ]


# --- the checker of the schedules -------------------------------------------------------------------------


def test_a_connection_that_is_open_between_two_checks_is_seen_by_the_checker() -> None:
    """A cut healed and was repeated within half a second: the checker took both for one long cut."""
    zones = {"a": 3, "b": 3}
    names = [f"m{n}" for n in range(6)]
    cut = ZoneFault.CUT_REGION.value
    first = Step(8 * SECOND + 20 * MS, cut, tuple(names[:3]), 10 * SECOND)
    second = Step(first.at + first.span + 400 * MS, cut, tuple(names[:3]), 4 * SECOND)
    for offset in (0, 100 * MS, 200 * MS, 300 * MS, 400 * MS):
        steps = [Step(s.at + offset, s.what, s.who, s.span) for s in (first, second)]
        assert ZonePlayer(ZoneSchedule(1, 6, steps, zones)).play().broken == []


# --- age of heartbeats ------------------------------------------------------------------------------------


def test_the_age_of_a_heartbeat_counts_from_when_its_zone_raised_it() -> None:
    """A late heartbeat counted as new: a zone that had ended was believed alive for a timeout more."""
    sender, receiver = (ZoneTable("a", SIZES, random.Random(1)) for _ in range(2))
    source = ZoneTable("b", SIZES, random.Random(1))
    source.raise_heartbeat(0, 100)
    assert sender.merge_heartbeats(0, source.encoded_heartbeats(), source.encoded_ages(0))
    late = 20 * SECOND
    assert receiver.merge_heartbeats(late, sender.encoded_heartbeats(), sender.encoded_ages(late))
    assert receiver.by_name["b"].heartbeat_at == 0
    assert [zone.name for zone in receiver.update_silence(late)] == ["b"]


def test_of_two_ages_of_one_heartbeat_the_greater_is_used() -> None:
    zones = ZoneTable("a", SIZES, random.Random(1))
    source = ZoneTable("b", SIZES, random.Random(1))
    source.raise_heartbeat(0, 100)
    heartbeats = source.encoded_heartbeats()
    for age, raised_at in ((5, 50 * AGE_UNIT), (9, 46 * AGE_UNIT), (2, 46 * AGE_UNIT), (0, 46 * AGE_UNIT)):
        assert zones.merge_heartbeats(55 * AGE_UNIT, heartbeats, bytes([0, age, 0]))
        assert zones.by_name["b"].heartbeat_at == raised_at


def test_heartbeat_ages_of_the_wrong_length_are_ignored() -> None:
    """The sender has a version without ages, or the ages are malformed."""
    source = ZoneTable("b", SIZES, random.Random(1))
    source.raise_heartbeat(0, 100)
    for ages in (b"", b"\x05", bytes([5] * 4)):
        zones = ZoneTable("a", SIZES, random.Random(1))
        assert zones.merge_heartbeats(SECOND, source.encoded_heartbeats(), ages)
        assert zones.by_name["b"].heartbeat_at == SECOND
    assert source.encoded_ages(1000 * SECOND) == bytes([0, AGE_MAX, 0])


def test_a_member_that_was_cut_off_reports_a_zone_that_ended_meanwhile_as_silent() -> None:
    net = running_cluster({"a": 3, "b": 3, "c": 3})
    links = net.partition(["m0"], net.names[1:])
    net.run(net.now + 4 * SECOND)
    for name in members_of(net, "b"):
        net.powered_off.add(name)
        net.kill(name)
    net.run(net.now + 20 * SECOND)
    net.heal(links)
    net.run(net.now + 10 * SECOND)
    assert is_silent(net, "m0", "b")
    assert not is_silent(net, "m0", "c")
    assert report_times(net, "m0", "zone.back", "b") == []


def test_a_starting_member_learns_at_once_that_a_zone_has_long_been_silent() -> None:
    net = running_cluster({"a": 3, "b": 3, "c": 3})
    for name in members_of(net, "b"):
        net.powered_off.add(name)
        net.kill(name)
    net.run(net.now + 20 * SECOND)
    net.start("m1")
    assert net.until(lambda: is_silent(net, "m1", "b"), 3 * SECOND) is not None


# --- remaining connections --------------------------------------------------------------------------------


def bridge_receivers(view: ClusterView, began: int, ends: int) -> list[str]:
    """Return the hosts in other zones to which a view sends messages while it receives no answers."""
    hosts = []
    for now in range(began, ends, 50 * MS):
        for effect in view.on_timer(now):
            if isinstance(effect, SendDatagram):
                message = codec.decode_datagram(effect.data, "fleet")
                if message.kind == MessageKind.BRIDGE:
                    hosts.append(effect.address[0])
    return hosts


def test_contacts_that_do_not_answer_are_tried_again() -> None:
    """All contacts but one were dropped, and a cut might have made that one unreachable for ever."""
    settings = MembershipSettings(zone="a", zones=(("a", 1), ("b", 5)))
    view = ClusterView(MemberRecord("me", 1, 1, 0, State.ALIVE, "h0", 7000), settings, random.Random(1))
    view.start(0)
    for n in range(1, 6):
        record = MemberRecord(f"m{n}", 1, n, 0, State.ALIVE, f"h{n}", 7000, "", "b")
        view.zones.add_contact(record, False)
    bridge_receivers(view, 0, 20 * SECOND)
    hosts = bridge_receivers(view, 20 * SECOND, 26 * SECOND)
    assert set(hosts) == {f"h{n}" for n in range(1, 6)}


def test_unresponsive_contacts_are_not_named_to_others_and_are_replaced_first() -> None:
    zones = ZoneTable("a", SIZES, random.Random(1))
    for n in range(8):
        zones.add_contact(MemberRecord(f"m{n}", 1, n, 0, State.ALIVE, f"h{n}", 7000, "", "b"), True)
    zone = zones.by_name["b"]
    chosen = zones.choose_contact(zone)
    assert chosen is not None
    other = zones.choose_contact(zone)
    assert other is not None
    assert other.name != chosen.name
    zones.add_contact(other, True)
    assert all(record.name != chosen.name for _ in range(50) for record in zones.sample_contacts(1))
    zones.add_contact(MemberRecord("new", 1, 99, 0, State.ALIVE, "h99", 7000, "", "b"), False)
    assert chosen.name not in zone.contacts
    assert len(zone.contacts) == 8
    assert not zone.unresponsive


def test_a_member_whose_probes_fail_keeps_sending_to_other_zones() -> None:
    """Its probes slow down; its messages to other zones were slowed down too, by a factor of up to nine."""
    net = running_cluster({"a": 3, "b": 3})
    net.partition(["m0"], ["m1", "m2"])
    net.run(net.now + 15 * SECOND)
    before = net.running["m0"].view.counters["bridges"]
    net.run(net.now + 6 * SECOND)
    assert net.running["m0"].view.counters["bridges"] - before >= 9


def test_the_zone_of_a_starting_member_that_cannot_receive_is_not_silent() -> None:
    """It contacted its seeds only by streams, which need both directions, and so knew no other member."""
    net = running_cluster({"a": 1, "b": 3})
    net.partition(members_of(net, "b"), ["m0"], one_way=True)
    net.run(net.now + 3 * SECOND)
    net.start("m0")
    net.run(net.now + 15 * SECOND)
    assert not any(is_silent(net, name, "a") for name in members_of(net, "b"))


def test_a_member_that_cannot_send_still_hears_the_other_zones() -> None:
    """Its own zone declared it dead and stopped sending to it; few members of other zones know it."""
    net = running_cluster({"a": 40, "b": 4})
    net.partition(["m0"], net.names[1:], one_way=True)
    net.run(net.now + 15 * SECOND)
    began = net.now
    net.run(net.now + 20 * SECOND)
    assert not is_silent(net, "m0", "b")
    assert [at for at in report_times(net, "m0", "zone.silent", "b") if at > began] == []


@pytest.mark.parametrize("zones", [None, {"a": 12, "b": 4}, {"a": 40, "b": 4}], ids=["flat", "12", "40"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_member_that_cannot_send_still_receives_cordons(zones: dict[str, int] | None, seed: int) -> None:
    """Its cluster declared it dead and sent it nothing: it kept placing clients on a cordoned endpoint."""
    net = SimulatedCluster(sum(zones.values()) if zones else 12, seed, zones=zones)
    net.start_established()
    net.run(net.now + 5 * SECOND)
    net.partition(["m0"], net.names[1:], one_way=True)
    net.run(net.now + 15 * SECOND)
    net.cordon("m1", "s1", True)
    assert net.until(lambda: "s1" in net.running["m0"].cordoned, 6 * SECOND) is not None
    net.run(net.now + 30 * SECOND)
    net.cordon("m1", "s1", False)
    assert net.until(lambda: "s1" not in net.running["m0"].cordoned, 6 * SECOND) is not None
