"""The pure rules of servers from files: what a good list is, and several sources into one list."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arrowseam.endpoint_sources import snapshots, validation
from arrowseam.endpoint_sources.merge import (
    DISCOVERY_SOURCE,
    INITIAL_SOURCE,
    MergedEndpointList,
    SourceSettings,
)
from arrowseam.endpoint_sources.records import DRAINING, READY, REMOVED, EndpointRecord
from arrowseam.endpoint_sources.traffic import traffic_shares, traffic_shift

MS, SECOND = 1_000, 1_000_000
KATY = "feed.katy.example.org"


def row(name: str = KATY, port: int = 5000, **fields: Any) -> dict[str, Any]:
    return {"instanceId": name, "hostPort": f"10.1.0.1:{port}", "zone": "katy"} | fields


def text(*rows: dict[str, Any], **fields: Any) -> bytes:
    return json.dumps({"instances": list(rows)} | fields).encode()


def member(name: str, weight: float = 1.0, state: str = READY, address: str = "") -> EndpointRecord:
    return EndpointRecord(
        name,
        address or f"10.1.0.1:{int.from_bytes(name.encode(), 'big') % 65521 + 1}",
        "z",
        "k",
        0,
        state,
        weight,
    )


GOOD = text(row(), row("s2", 5001, weight=2.5, lifecycle="Terminating", startedAtMs=1e12), generation=4)


def test_a_good_list_is_read_whole():
    found = validation.parse(GOOD)
    assert found.generation == 4
    assert found.records[KATY] == EndpointRecord(KATY, "10.1.0.1:5000", "katy")
    assert found.records["s2"] == EndpointRecord("s2", "10.1.0.1:5001", "katy", "", 0, DRAINING, 2.5, 1e12)


def test_a_list_cut_at_any_byte_is_refused():
    """A file is read while it is written. However much of it is there, a part must not be taken for the
    list.
    """
    for size in range(len(GOOD)):
        with pytest.raises(validation.ListRejectedError) as caught:
            validation.parse(GOOD[:size])
        assert caught.value.reason in ("json", "empty-file")


@pytest.mark.parametrize(
    ("data", "reason", "words"),
    [
        (b"\xff" + GOOD, "encoding", "byte 0"),
        (b" \n", "empty-file", "empty"),
        (b"[" * 100_000, "json", "brackets"),
        (b'{"instances":[],"instances":[]}', "twice-key", "instances"),
        (GOOD.replace(b'"zone"', b'"hostPort"', 1), "twice-key", KATY),
        (GOOD + b"x", "json", "Extra data"),
        (text(row(weight=float("nan"))), "json", "NaN"),
        (b'{"generation":' + b"9" * 5000 + b"}", "json", "digits"),
        (b"[]", "form", "object"),
        (b"{}", "form", "instances"),
        (text(row(), reset=False), "form", "reset"),
        (text(row(), generation="7"), "form", "generation"),
        (text(row(), instance=[]), "form", "instance"),
        (text(row(wieght=3)), "form", "instances[0] (feed.katy.example.org)"),
        (text(row(weight="3")), "form", "weight"),
        (text(row(weight=True)), "form", "weight"),
        (text({"instanceId": "a", "hostPort": "10.0.0.1:1"}), "form", "zone"),
        (text(row("a b")), "form", "instanceId"),
        (text(row(), row(port=5001)), "twice-server", KATY),
        (text(row(), row("other")), "twice-address", KATY),
        (text(row("a", hostPort="[::1]:5"), row("b", hostPort="[0:0::1]:5")), "twice-address", "used by a"),
        (text(row(hostPort="feed.katy.example.org:5000")), "address", "instances[0]"),
        (text(row(hostPort="10.0.0.1")), "address", "HOST:PORT"),
        (text(row(hostPort="10.0.0.1:0")), "address", "port"),
        (text(row(weight=0)), "weight", "0"),
        (text(row(weight=-1)), "weight", "-1"),
        (text(row(weight=1e7)), "weight", "1e+07"),
        (text(row()).replace(b'"zone"', b'"weight":1e999,"zone"'), "weight", "inf"),
        (text(row(lifecycle="Gone")), "lifecycle", "Gone"),
        (text(row(lifecycle="ready")), "lifecycle", "ready"),
    ],
)
def test_a_malformed_list_is_refused_with_its_place(data: bytes, reason: str, words: str):
    with pytest.raises(validation.ListRejectedError) as caught:
        validation.parse(data)
    assert caught.value.reason == reason
    assert reason in validation.REASONS
    assert words in str(caught.value)
    assert "\n" not in str(caught.value)
    assert len(str(caught.value)) < 400


HELD = {name: member(name, weight) for name, weight in (("a", 2.0), ("b", 1.0), ("c", 1.0))}


@pytest.mark.parametrize(
    ("kept", "generation", "reason"),
    [
        ({}, 5, "no-servers"),
        ({"b": READY}, 5, "removes-too-much"),
        ({"a": DRAINING, "b": READY, "c": DRAINING}, 5, "removes-too-much"),
        ({"a": READY}, 5, None),  # just half
        ({"a": READY, "b": READY, "c": DRAINING}, None, None),
        ({"a": READY, "b": READY, "c": READY}, 4, None),
        ({"a": READY, "b": READY, "c": READY}, 3, "generation"),
    ],
)
def test_a_list_is_compared_with_the_last_good_one(kept, generation, reason):
    new = validation.ValidList(generation, {n: HELD[n]._replace(state=s) for n, s in kept.items()})
    if reason is None:
        delta = validation.compare(new, HELD, 4, 0.5)
        assert set(delta.removed) == HELD.keys() - kept.keys()
        assert {m.name for m in delta.changed} == {n for n, s in kept.items() if s != READY}
        return
    with pytest.raises(validation.ListRejectedError) as caught:
        validation.compare(new, HELD, 4, 0.5)
    assert caught.value.reason == reason
    if reason == "generation":  # allowed by hand is a large removal and nothing else
        with pytest.raises(validation.ListRejectedError):
            validation.compare(new, HELD, 4, 0.5, allow=True)
    else:
        assert set(validation.compare(new, HELD, 4, 0.5, allow=True).removed) == HELD.keys() - kept.keys()


def test_shares_are_the_modules_and_a_change_tells_what_shifts():
    zones = {"a": member("a"), "b": member("b")._replace(zone="y"), "c": member("c", 2.0)._replace(zone="y")}
    assert traffic_shares(zones) == pytest.approx({"a": 0.25, "b": 0.25, "c": 0.5})
    assert traffic_shift(zones, zones) == 0.0
    assert traffic_shift(zones, {n: zones[n] for n in "ab"}) == pytest.approx(0.5)
    assert traffic_shift(zones, {}) == 1.0


# --- the snapshot's form ---------------------------------------------------------------------------------


def snapshot_error(data: bytes) -> str | None:
    try:
        snapshots.decode(data, "s")
    except snapshots.SnapshotError as error:
        return str(error)
    return None


def test_a_snapshot_damaged_anywhere_is_refused():
    """A disk has damaged a snapshot, or a crash has cut it. It must be rejected, wherever the damage is."""
    data = snapshots.encode("s", 4, 99, HELD)
    found = snapshots.decode(data, "s")
    assert (found.generation, found.taken_at_ms, found.records) == (4, 99, HELD)
    for at in range(len(data)):
        for damaged in (data[:at], data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]):
            error = snapshot_error(damaged)
            if error is None:  # a number of the header, which is not part of the list
                assert snapshots.decode(damaged, "s").records == HELD
                assert at < data.index(b"\n")
            else:
                assert "\n" not in error
    with pytest.raises(snapshots.SnapshotError, match="version 2"):
        snapshots.decode(data.replace(b'"version":1', b'"version":2'), "s")
    with pytest.raises(snapshots.SnapshotError, match="of source"):
        snapshots.decode(data, "t")


# --- several sources ------------------------------------------------------------------------------------


def merged(*specs: SourceSettings) -> MergedEndpointList:
    found = MergedEndpointList()
    found.configure(specs or (SourceSettings(DISCOVERY_SOURCE), FILE, OTHER))
    return found


FILE, OTHER = SourceSettings("f", 10, 500 * MS, 5 * SECOND), SourceSettings("g", 10, 500 * MS, 5 * SECOND)


def states(members: list[EndpointRecord]) -> dict[str, str]:
    return {m.name: m.state for m in members}


def test_rank_decides_the_row_and_any_source_may_drain_it():
    r = merged()
    r.report_list(DISCOVERY_SOURCE, [member("a", 1.0)], 0)
    r.report_list("f", [member("a", 7.0)], 0)
    assert [m.weight for m in r.take_changes(0)] == [7.0]
    r.report_list(DISCOVERY_SOURCE, [member("a", 1.0, DRAINING)], 1)
    assert [(m.weight, m.state) for m in r.take_changes(1)] == [(7.0, DRAINING)]
    r.report_list(DISCOVERY_SOURCE, [], 2)  # the file still names it
    assert states(r.take_changes(2)) == {"a": READY}
    r.report_list("f", [], 3)
    assert not r.take_changes(3)
    assert r.next_change_at() == 3 + FILE.settle


def test_a_removed_server_settles_drains_and_is_gone():
    r = merged()
    r.report_list("f", [member("a"), member("b")], 0)
    r.take_changes(0)
    r.report_list("f", [member("b")], 10)
    assert not r.take_changes(10)
    assert states(r.take_changes(10 + FILE.settle)) == {"a": DRAINING}
    assert r.show("a").state == "leaving"
    assert not r.take_changes(9 + FILE.settle + FILE.drain)
    assert states(r.take_changes(10 + FILE.settle + FILE.drain)) == {"a": REMOVED}
    assert r.published.keys() == {"b"}
    assert not r.departures
    assert not r._timers


def test_a_server_that_wanders_to_another_file_neither_drains_nor_counts_twice():
    """An endpoint is taken out of one file and written into another a moment later. It must neither drain
    in between nor count twice.
    """
    r = merged()
    r.report_list("f", [member("a"), member("b")], 0)
    r.take_changes(0)
    r.report_list("f", [member("b")], 10)
    assert not r.take_changes(10)
    r.report_list("g", [member("a", 3.0)], 10 + FILE.settle - 1)
    assert [(m.name, m.state, m.weight) for m in r.take_changes(10 + FILE.settle)] == [("a", READY, 3.0)]
    assert not r.departures
    assert not r.take_changes(SECOND * 100)


def test_what_the_discovery_alone_named_is_gone_at_once():
    r = merged()
    r.report_list(DISCOVERY_SOURCE, [member("a")], 0)
    r.take_changes(0)
    r.report_change(DISCOVERY_SOURCE, {}, ["a"], 5)
    assert states(r.take_changes(5)) == {"a": REMOVED}


def test_one_address_under_two_names_counts_once():
    """A machine was renamed and for a while has both names in the list. It must not get two shares."""
    r = merged()
    r.report_list(DISCOVERY_SOURCE, [member("a", address="10.0.0.1:1")], 0)
    r.take_changes(0)
    r.report_list("f", [member("x", address="10.0.0.1:1")], 1)
    r.take_changes(1)
    told = {m.name: m.state for m in r.published.values()}
    assert told == {"x": READY}  # discovery's name for it has gone
    r.report_list("f", [member("y")], 2)
    assert states(r.take_changes(2)) == {"y": READY, "a": READY}
    assert states(r.take_changes(2 + FILE.settle)) == {"x": DRAINING}


def test_a_source_that_is_dropped_stays_until_the_new_one_has_told():
    """A file is renamed in the operator file, and the new one is invalid at first. The endpoints of the old
    one must stay until the new one is valid.
    """
    r = merged(FILE)
    r.report_list("f", [member("a")], 0)
    r.take_changes(0)
    assert r.configure([OTHER]) == ["g"]
    assert "f" in r.retiring
    r.report_rejection("g", "json", "line 1", 2)
    assert not r.take_changes(SECOND * 9)
    r.report_list("g", [member("a"), member("b")], 3)
    assert states(r.take_changes(3)) == {"b": READY}
    assert r.is_retired("f")


def test_the_list_at_the_start_stands_in_for_files_that_have_not_told():
    r = MergedEndpointList()
    r.configure([SourceSettings(INITIAL_SOURCE, -1, 0, SECOND)])
    r.report_list(INITIAL_SOURCE, [member("a"), member("b")], 0)
    r.configure([FILE])
    assert states(r.take_changes(0)) == {"a": READY, "b": READY}
    r.report_list("f", [member("a")], 1)
    assert states(r.take_changes(1)) == {"b": DRAINING}


def test_those_that_leave_are_told_first_and_in_parts():
    r = merged(FILE._replace(settle=0))
    r.report_list("f", [member(f"s{n}") for n in range(100)], 0)
    told = 0
    while r.has_changes:
        told += len(r.take_changes(0, 30))
    assert told == 100
    r.report_list("f", [member(f"s{n}", 2.0) for n in range(1, 98)], 1)
    first = r.take_changes(1, 10)
    assert states(first[:3]) == {"s0": DRAINING, "s98": DRAINING, "s99": DRAINING}
    assert r.has_changes


def test_a_new_process_goes_on_from_what_is_handed_over():
    r = merged(FILE)
    r.report_list("f", [member("a"), member("b")], 0, generation=3, taken_at_ms=77)
    r.take_changes(0)
    r.report_list("f", [member("b")], 1, generation=4, taken_at_ms=78)
    r.take_changes(1)
    r.take_changes(1 + FILE.settle)
    state = json.loads(json.dumps(r.export_state(2 + FILE.settle)))
    new = merged(FILE)
    new.import_state(state, 1000)
    assert states(new.take_changes(1000)) == {"a": DRAINING, "b": READY}
    assert (new.sources["f"].generation, new.sources["f"].taken_at_ms) == (4, 78)
    assert states(new.take_changes(1000 + FILE.drain)) == {"a": REMOVED}


NAMES = st.sampled_from("abcde")
LISTS = st.dictionaries(
    NAMES, st.tuples(st.sampled_from([1.0, 2.0]), st.sampled_from([READY, DRAINING]), st.integers(1, 4))
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from([DISCOVERY_SOURCE, "f", "g"]), LISTS, st.integers(0, 3 * SECOND), st.integers(1, 9)
    ),
    max_size=12,
)


@given(STEPS)
def test_whatever_sources_say_the_module_ends_with_what_they_name(steps):
    """Told in parts of any size: no address twice, none ready that a source drains, all at the end."""
    r, now, seen = merged(), 0, {}
    lists: dict[str, dict[str, EndpointRecord]] = {DISCOVERY_SOURCE: {}, "f": {}, "g": {}}

    def heed(found: list[EndpointRecord]) -> None:
        for m in found:
            assert m.state != seen.get(m.name, m._replace(state="")).state or m != seen[m.name]
            seen[m.name] = m
            if m.state == REMOVED:
                del seen[m.name]
        assert seen == r.published

    for source, rows, wait, most in steps:
        lists[source] = {
            n: member(n, weight, state, f"10.0.0.1:{port}") for n, (weight, state, port) in rows.items()
        }
        r.report_list(source, lists[source].values(), now)
        heed(r.take_changes(now, most))
        now += wait
    for _ in range(3):
        while r.has_changes or (r.next_change_at() is not None and r.next_change_at() <= now):
            heed(r.take_changes(now, 3))
        now += 100 * SECOND
    named = {n for rows in lists.values() for n in rows}
    assert seen.keys() <= named
    ready = [m for m in seen.values() if m.state == READY]
    assert len({m.address for m in ready}) == len(ready)
    addresses = set()
    for name in named:
        ranked = [lists[s][name] for s in ("f", "g", DISCOVERY_SOURCE) if name in lists[s]]
        addresses.add(ranked[0].address)
        if name in seen:
            assert seen[name].weight == ranked[0].weight
            assert (seen[name].state == READY) == all(m.state == READY for m in ranked)
    assert {m.address for m in seen.values()} == addresses  # each machine counts, once
    assert not r.departures
    assert not r._timers
