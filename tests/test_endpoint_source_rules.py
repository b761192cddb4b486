"""The rules of endpoint sources, without I/O: validation of lists, snapshots, and merging of sources."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arrowseam.balancer.weights import scaled_weight
from arrowseam.endpoint_sources import snapshots, validation
from arrowseam.endpoint_sources.merge import MergedEndpointList
from arrowseam.endpoint_sources.records import DRAINING, READY, REMOVED, EndpointRecord, read_record
from arrowseam.endpoint_sources.source_state import DISCOVERY_SOURCE, INITIAL_SOURCE, SourceSettings
from arrowseam.endpoint_sources.traffic import traffic_shares, traffic_shift

MS, SECOND = 1_000, 1_000_000
ENDPOINT = "feed.katy.example.org"


def row(name: str = ENDPOINT, port: int = 5000, **fields: Any) -> dict[str, Any]:
    return {"instanceId": name, "hostPort": f"10.1.0.1:{port}", "zone": "katy"} | fields


def encode_list(*rows: dict[str, Any], **fields: Any) -> bytes:
    return json.dumps({"instances": list(rows)} | fields).encode()


def create_record(name: str, weight: float = 1.0, state: str = READY, address: str = "") -> EndpointRecord:
    return EndpointRecord(
        name,
        address or f"10.1.0.1:{int.from_bytes(name.encode(), 'big') % 65521 + 1}",
        "z",
        "k",
        0,
        state,
        weight,
    )


VALID = encode_list(
    row(), row("s2", 5001, weight=2.5, lifecycle="Terminating", startedAtMs=1e12), generation=4
)


def test_a_valid_list_is_read_completely():
    parsed = validation.parse(VALID)
    assert parsed.generation == 4
    assert parsed.records[ENDPOINT] == EndpointRecord(ENDPOINT, "10.1.0.1:5000", "katy")
    second = EndpointRecord("s2", "10.1.0.1:5001", "katy", "", None, DRAINING, 2.5, 1e12)
    assert parsed.records["s2"] == second


def test_a_field_that_is_not_stated_is_not_read_as_its_default():
    """Records could not tell a cell of 0 or a weight of 1 from none, so that a file overrode discovery."""
    default = row(cell=0, weight=1.0, startedAtMs=0, machineType="")
    stated, unstated = (
        validation.parse(encode_list(fields)).records[ENDPOINT] for fields in (default, row())
    )
    assert (stated.cell, stated.weight) == (0, 1.0)
    assert (unstated.cell, unstated.weight) == (None, None)
    assert unstated.effective_weight == 1.0
    with pytest.raises(validation.ListRejectedError, match="null"):
        validation.parse(encode_list(row(cell=None)))
    from_discovery = {"instanceId": "a", "hostPort": "10.0.0.1:1", "lifecycle": READY, "cell": None}
    assert read_record(from_discovery) == EndpointRecord("a", "10.0.0.1:1")


def test_a_list_truncated_at_any_byte_is_rejected():
    """A file is read while it is written. Wherever the part that is there ends, it must not be accepted as
    a list.
    """
    for size in range(len(VALID)):
        with pytest.raises(validation.ListRejectedError) as rejection:
            validation.parse(VALID[:size])
        assert rejection.value.reason in ("json", "empty-file")


@pytest.mark.parametrize(
    ("data", "reason", "expected_text"),
    [
        (b"\xff" + VALID, "encoding", "byte 0"),
        (b" \n", "empty-file", "empty"),
        (b"[" * 100_000, "json", "brackets"),
        (b'{"instances":[],"instances":[]}', "twice-key", "instances"),
        (VALID.replace(b'"zone"', b'"hostPort"', 1), "twice-key", ENDPOINT),
        (VALID + b"x", "json", "Extra data"),
        (encode_list(row(weight=float("nan"))), "json", "NaN"),
        (b'{"generation":' + b"9" * 5000 + b"}", "json", "digits"),
        (b"[]", "form", "object"),
        (b"{}", "form", "instances"),
        (encode_list(row(), reset=False), "form", "reset"),
        (encode_list(row(), generation="7"), "form", "generation"),
        (encode_list(row(), instance=[]), "form", "instance"),
        (encode_list(row(wieght=3)), "form", "instances[0] (feed.katy.example.org)"),
        (encode_list(row(weight="3")), "form", "weight"),
        (encode_list(row(weight=True)), "form", "weight"),
        (encode_list({"instanceId": "a", "hostPort": "10.0.0.1:1"}), "form", "zone"),
        (encode_list(row("a b")), "form", "instanceId"),
        (encode_list(row(), row(port=5001)), "twice-server", ENDPOINT),
        (encode_list(row(), row("other")), "twice-address", ENDPOINT),
        (
            encode_list(row("a", hostPort="[::1]:5"), row("b", hostPort="[0:0::1]:5")),
            "twice-address",
            "used by a",
        ),
        (encode_list(row(hostPort="feed.katy.example.org:5000")), "address", "instances[0]"),
        (encode_list(row(hostPort="10.0.0.1")), "address", "HOST:PORT"),
        (encode_list(row(hostPort="10.0.0.1:0")), "address", "port"),
        (encode_list(row(weight=0)), "weight", "0"),
        (encode_list(row(weight=-1)), "weight", "-1"),
        (encode_list(row(weight=1e7)), "weight", "1e+07"),
        (encode_list(row()).replace(b'"zone"', b'"weight":1e999,"zone"'), "weight", "inf"),
        (encode_list(row(lifecycle="Gone")), "lifecycle", "Gone"),
        (encode_list(row(lifecycle="ready")), "lifecycle", "ready"),
    ],
)
def test_a_malformed_list_is_rejected_with_the_place(data: bytes, reason: str, expected_text: str):
    with pytest.raises(validation.ListRejectedError) as rejection:
        validation.parse(data)
    assert rejection.value.reason == reason
    assert reason in validation.REASONS
    assert expected_text in str(rejection.value)
    assert "\n" not in str(rejection.value)
    assert len(str(rejection.value)) < 400


CURRENT = {name: create_record(name, weight) for name, weight in (("a", 2.0), ("b", 1.0), ("c", 1.0))}


@pytest.mark.parametrize(
    ("kept", "generation", "reason"),
    [
        ({}, 5, "no-servers"),
        ({"b": READY}, 5, "removes-too-much"),
        ({"a": DRAINING, "b": READY, "c": DRAINING}, 5, "removes-too-much"),
        ({"a": READY}, 5, None),  # exactly half
        ({"a": READY, "b": READY, "c": DRAINING}, None, None),
        ({"a": READY, "b": READY, "c": READY}, 4, None),
        ({"a": READY, "b": READY, "c": READY}, 3, "generation"),
    ],
)
def test_a_list_is_compared_with_the_last_valid_one(kept, generation, reason):
    new = validation.ValidList(
        generation, {name: CURRENT[name]._replace(state=state) for name, state in kept.items()}
    )
    if reason is None:
        delta = validation.compare(new, CURRENT, 4, 0.5)
        assert set(delta.removed) == CURRENT.keys() - kept.keys()
        assert {record.name for record in delta.changed} == {
            name for name, state in kept.items() if state != READY
        }
        return
    with pytest.raises(validation.ListRejectedError) as rejection:
        validation.compare(new, CURRENT, 4, 0.5)
    assert rejection.value.reason == reason
    if reason == "generation":  # the operator can allow a large removal and nothing else
        with pytest.raises(validation.ListRejectedError):
            validation.compare(new, CURRENT, 4, 0.5, allow=True)
    else:
        assert (
            set(validation.compare(new, CURRENT, 4, 0.5, allow=True).removed) == CURRENT.keys() - kept.keys()
        )


def test_shares_follow_the_balancer_and_a_change_shifts_traffic():
    records = {
        "a": create_record("a"),
        "b": create_record("b")._replace(zone="y"),
        "c": create_record("c", 2.0)._replace(zone="y"),
    }
    assert traffic_shares(records) == pytest.approx({"a": 0.25, "b": 0.25, "c": 0.5})
    assert traffic_shift(records, records) == 0.0
    assert traffic_shift(records, {name: records[name] for name in "ab"}) == pytest.approx(0.5)
    assert traffic_shift(records, {}) == 1.0


# --- snapshots -------------------------------------------------------------------------------------------


def snapshot_error(data: bytes) -> str | None:
    try:
        snapshots.decode(data, "s")
    except snapshots.SnapshotError as error:
        return str(error)
    return None


def test_a_snapshot_damaged_anywhere_is_rejected():
    """A disk has corrupted a snapshot, or a crash has truncated it. It must be rejected, wherever that is."""
    data = snapshots.encode("s", 4, 99, CURRENT)
    snapshot = snapshots.decode(data, "s")
    assert (snapshot.generation, snapshot.taken_at_ms, snapshot.records) == (4, 99, CURRENT)
    for position in range(len(data)):
        for damaged in (
            data[:position],
            data[:position] + bytes([data[position] ^ 1]) + data[position + 1 :],
        ):
            error = snapshot_error(damaged)
            if error is None:  # a number in the header, which the checksum does not cover
                assert snapshots.decode(damaged, "s").records == CURRENT
                assert position < data.index(b"\n")
            else:
                assert "\n" not in error
    with pytest.raises(snapshots.SnapshotError, match="version 2"):
        snapshots.decode(data.replace(b'"version":1', b'"version":2'), "s")
    with pytest.raises(snapshots.SnapshotError, match="of source"):
        snapshots.decode(data, "t")


# --- several sources ------------------------------------------------------------------------------------


def create_list(*settings: SourceSettings) -> MergedEndpointList:
    merged = MergedEndpointList()
    merged.configure(settings or (SourceSettings(DISCOVERY_SOURCE), FILE, OTHER))
    return merged


FILE, OTHER = SourceSettings("f", 10, 500 * MS, 5 * SECOND), SourceSettings("g", 10, 500 * MS, 5 * SECOND)


def states(records: list[EndpointRecord]) -> dict[str, str]:
    return {record.name: record.state for record in records}


def test_the_highest_rank_wins_and_any_source_may_drain_an_endpoint():
    merged = create_list()
    merged.report_list(DISCOVERY_SOURCE, [create_record("a", 1.0)], 0)
    merged.report_list("f", [create_record("a", 7.0)], 0)
    assert [record.weight for record in merged.take_changes(0)] == [7.0]
    merged.report_list(DISCOVERY_SOURCE, [create_record("a", 1.0, DRAINING)], 1)
    assert [(record.weight, record.state) for record in merged.take_changes(1)] == [(7.0, DRAINING)]
    merged.report_list(DISCOVERY_SOURCE, [], 2)  # the file still names it
    assert not merged.take_changes(2)  # it goes on draining
    assert merged.published["a"].state == DRAINING
    merged.report_list(DISCOVERY_SOURCE, [create_record("a", 1.0)], 3)
    assert [(record.weight, record.state) for record in merged.take_changes(3)] == [(7.0, READY)]
    merged.report_list("f", [], 4)
    assert [record.weight for record in merged.take_changes(4)] == [1.0]


def test_an_endpoint_that_discovery_withdraws_drains_while_a_file_names_it():
    """Callers were sent to a server that discovery had withdrawn, since a file still named it: the removal of
    discovery's record took back that it drains.
    """
    merged = create_list()
    merged.report_list(DISCOVERY_SOURCE, [create_record("a"), create_record("b")], 0)
    merged.report_list("f", [create_record("a", 2.0), create_record("b", 2.0)], 0)
    merged.take_changes(0)
    merged.report_change(DISCOVERY_SOURCE, {}, ["a"], 1)
    assert states(merged.take_changes(1)) == {"a": DRAINING}
    merged.report_list("f", [create_record("a", 5.0), create_record("b", 5.0)], 2)  # no news of discovery's
    merged.report_list("g", [create_record("a", 5.0)], 2)
    assert states(merged.take_changes(2)) == {"a": DRAINING, "b": READY}
    merged.report_change(DISCOVERY_SOURCE, {"a": create_record("a", state=DRAINING)}, [], 3)
    assert not merged.take_changes(3)
    merged.report_change(DISCOVERY_SOURCE, {"a": create_record("a")}, [], 4)
    assert states(merged.take_changes(4)) == {"a": READY}
    assert not merged.sources[DISCOVERY_SOURCE].withdrawals
    merged.report_list(DISCOVERY_SOURCE, [create_record("b")], 5)  # left out of a complete list
    assert states(merged.take_changes(5)) == {"a": DRAINING}


def test_an_endpoint_that_a_file_drained_and_dropped_drains_on():
    """The same between any two sources: what drained a moment ago was opened again as its row was removed."""
    merged = create_list()
    merged.report_list(DISCOVERY_SOURCE, [create_record("a"), create_record("b")], 0)
    merged.report_list("f", [create_record("a", 2.0, DRAINING), create_record("b", 2.0)], 0)
    merged.take_changes(0)
    merged.report_list("f", [], 1)
    assert [(r.name, r.state, r.weight) for r in merged.take_changes(1, 1)] == [("b", READY, 1.0)]
    assert [(r.name, r.state, r.weight) for r in merged.take_changes(1, 1)] == [("a", DRAINING, 1.0)]
    merged.report_change(DISCOVERY_SOURCE, {"a": create_record("a", 3.0)}, [], 2)  # another weight, no news
    assert states(merged.take_changes(2)) == {"a": DRAINING}
    restarted = create_record("a", 3.0)._replace(started_at_ms=1e12)
    merged.report_change(DISCOVERY_SOURCE, {"a": restarted}, [], 3)
    assert states(merged.take_changes(3)) == {"a": READY}


def test_a_withdrawn_endpoint_is_forgotten_once_no_source_names_it():
    """Withdrawals must not pile up, and what a file names after the end of the drain is a new endpoint."""
    merged = create_list()
    merged.report_list(DISCOVERY_SOURCE, [create_record("a"), create_record("b")], 0)
    merged.report_list("f", [create_record("a")], 0)
    merged.take_changes(0)
    merged.report_list(DISCOVERY_SOURCE, [], 1)
    assert states(merged.take_changes(1)) == {"a": DRAINING, "b": REMOVED}
    assert list(merged.sources[DISCOVERY_SOURCE].withdrawals) == [("a", create_record("a").address)]
    merged.report_list("f", [], 2)
    assert not merged.take_changes(2)
    assert merged.show("a").state == "leaving"  # at once: a withdrawn endpoint does not settle
    merged.report_list("f", [create_record("a")], 3)
    assert not merged.take_changes(3)  # it was there all the time
    merged.report_list("f", [], 4)
    merged.take_changes(4)
    assert states(merged.take_changes(4 + FILE.drain)) == {"a": REMOVED}
    assert not merged.sources[DISCOVERY_SOURCE].withdrawals
    merged.report_list("f", [create_record("a")], 5 + FILE.drain)
    assert states(merged.take_changes(5 + FILE.drain)) == {"a": READY}


def test_a_withdrawal_ends_with_its_source():
    """Discovery is taken out of the configuration: from then on the files alone say what there is."""
    merged = create_list()
    merged.report_list(DISCOVERY_SOURCE, [create_record("a"), create_record("b")], 0)
    merged.report_list("f", [create_record("a")], 0)
    merged.report_list("g", [create_record("x", address=create_record("b").address)], 0)
    merged.take_changes(0)
    merged.report_list(DISCOVERY_SOURCE, [], 1)
    assert states(merged.take_changes(1)) == {"a": DRAINING, "x": DRAINING}
    merged.configure([FILE, OTHER])
    assert states(merged.take_changes(2)) == {"a": READY, "x": READY}


def test_a_replacement_at_the_address_of_a_withdrawn_endpoint_is_used():
    """Discovery lists the machine again, under a new id. The file still has the old one."""
    merged = create_list()
    old, new = (create_record(name, address="10.0.0.1:1") for name in ("old", "new"))
    merged.report_list(DISCOVERY_SOURCE, [old], 0)
    merged.report_list("f", [old], 0)
    merged.take_changes(0)
    merged.report_change(DISCOVERY_SOURCE, {}, ["old"], 1)
    assert states(merged.take_changes(1)) == {"old": DRAINING}
    merged.report_change(DISCOVERY_SOURCE, {"new": new}, [], 2)
    merged.take_changes(2)
    assert states(list(merged.published.values())) == {"old": READY}
    merged.report_change(DISCOVERY_SOURCE, {}, ["new"], 3)
    merged.take_changes(3)
    assert states(list(merged.published.values())) == {"old": DRAINING}


def test_a_withdrawal_outlives_a_hot_restart():
    """The new process gets the file's list, and a list of discovery in which the endpoint is not named."""
    merged = create_list()
    merged.report_list(DISCOVERY_SOURCE, [create_record("a"), create_record("b"), create_record("c")], 0)
    merged.report_list("f", [create_record("a"), create_record("b"), create_record("c", state=DRAINING)], 0)
    merged.take_changes(0)
    merged.report_change(DISCOVERY_SOURCE, {}, ["a"], 1)
    merged.report_list("f", [create_record("a"), create_record("b")], 1)
    merged.take_changes(1)
    successor = create_list()
    successor.import_state(json.loads(json.dumps(merged.export_state(2))), 1000)
    for now in (1000, 1001):  # the list that was handed over, then discovery's answer
        successor.report_list(DISCOVERY_SOURCE, [create_record("b"), create_record("c")], now)
        successor.take_changes(now)
        assert states(list(successor.published.values())) == {"a": DRAINING, "b": READY, "c": DRAINING}
    successor.report_change(DISCOVERY_SOURCE, {"a": create_record("a")}, [], 1002)
    assert states(successor.take_changes(1002)) == {"a": READY}
    earlier = {key: value for key, value in merged.export_state(2).items() if key != "withdrawn"}
    create_list().import_state(earlier, 1000)  # from an earlier version


STATED = {"zone": "katy", "machineType": "gen2-std", "cell": 3, "weight": 2.5, "startedAtMs": 1e12}


def create_discovery_record(**fields: Any) -> EndpointRecord:
    return read_record({"instanceId": "a", "hostPort": "10.1.0.1:5000", "lifecycle": READY} | STATED | fields)


def parse_row(**fields: Any) -> EndpointRecord:
    return validation.parse(encode_list(row("a", **fields))).records["a"]


@pytest.mark.parametrize("field", ["machineType", "cell", "weight", "startedAtMs"])
def test_a_field_that_a_file_does_not_state_comes_from_discovery(field: str):
    """Callers saw keyed requests run in two cells, and restarted endpoints without a slow start: the file
    replaced the whole record of discovery, also the fields that it does not have.
    """
    merged = create_list()
    merged.report_list(DISCOVERY_SOURCE, [create_discovery_record()], 0)
    written = {"machineType": "gen3-fast", "cell": 7, "weight": 5.0, "startedAtMs": 2e12}
    merged.report_list("f", [parse_row(**{key: value for key, value in written.items() if key != field})], 0)
    (published,) = merged.take_changes(0)
    assert published.to_row().items() >= (written | {field: STATED[field]}).items()
    merged.report_list(DISCOVERY_SOURCE, [create_discovery_record(**{field: type(STATED[field])(9)})], 1)
    (published,) = merged.take_changes(1)
    assert published.to_row()[field] == {"startedAtMs": 9.0, "machineType": "9"}.get(field, 9)


def test_the_latest_start_counts_whichever_source_states_it():
    """A file still states the start before the last, and discovery the last. It must get a slow start."""
    merged = create_list()
    merged.report_list("f", [parse_row(startedAtMs=1e12)], 0)
    merged.report_list(DISCOVERY_SOURCE, [create_discovery_record(startedAtMs=2e12)], 0)
    assert [record.started_at_ms for record in merged.take_changes(0)] == [2e12]
    merged.report_list("f", [parse_row(startedAtMs=3e12)], 1)
    assert [record.started_at_ms for record in merged.take_changes(1)] == [3e12]


def test_fields_that_a_file_does_not_state_stay_so_in_snapshots_and_a_hand_over():
    """Otherwise a restarted proxy would take a default for a statement of the file."""
    records = {"a": parse_row(), "b": EndpointRecord("b", "10.0.0.2:1", "z", "k", 0, READY, 1.0, 0.0)}
    assert snapshots.decode(snapshots.encode("s", 4, 99, records), "s").records == records
    merged = create_list(FILE)
    merged.report_list("f", records.values(), 0)
    merged.take_changes(0)
    merged.report_list("f", [records["b"]], 1)
    merged.take_changes(1)
    merged.take_changes(1 + FILE.settle)
    successor = create_list(FILE)
    successor.import_state(json.loads(json.dumps(merged.export_state(2 + FILE.settle))), 1000)
    assert successor.sources["f"].records == {"b": records["b"]}
    assert successor.published == {"a": records["a"]}  # it drains
    earlier = [["c", "10.0.0.3:1", "z", "k", 0, READY, 1.0, 0.0]]  # from an earlier version
    assert EndpointRecord.from_transfer(earlier[0]).to_transfer() == tuple(earlier[0])


def test_an_earlier_version_reads_unstated_fields_as_its_defaults():
    """It takes over the state of this version on the way back; any negative weight counts as 1 there."""
    transferred = EndpointRecord("a", "10.0.0.1:1", "z").to_transfer()
    assert transferred == ("a", "10.0.0.1:1", "z", "", -1, READY, -1.0, 0.0)
    assert scaled_weight(transferred.weight or 0.0) == scaled_weight(1.0)


OPTIONAL = st.fixed_dictionaries(
    {},
    optional={
        "machineType": st.sampled_from(["k", "l"]),
        "cell": st.integers(0, 2),
        "weight": st.sampled_from([1.0, 2.0]),
        "startedAtMs": st.sampled_from([0, 1e12, 2e12]),
        "lifecycle": st.sampled_from([READY, DRAINING]),
    },
)


def follow_withdrawals(
    withdrawn: set[tuple[str, str]],
    lists: dict[str, dict[str, dict[str, Any]]],
    source: str,
    rows: dict[str, dict[str, Any]],
    has_reported: bool,
) -> None:
    """Bring a model of what the sources have withdrawn, by source and endpoint, to the next report."""
    for name in lists[source].keys() - rows.keys():
        if source == DISCOVERY_SOURCE or lists[source][name].get("lifecycle") == DRAINING:
            withdrawn.add((source, name))
        if source == DISCOVERY_SOURCE and not any(name in lists[other] for other in "fg"):
            withdrawn -= {(other, name) for other in lists}  # removed at once, and forgotten
    for name, fields in rows.items():
        withdrawn.discard((source, name))
        before = lists[source].get(name, {"lifecycle": DRAINING})
        is_started = fields.get("startedAtMs", 0) > before.get("startedAtMs", 0)
        is_news = is_started or before.get("lifecycle", READY) == DRAINING
        if source == DISCOVERY_SOURCE and fields.get("lifecycle", READY) == READY:
            withdrawn -= {(other, name) for other in lists if has_reported and is_news}


@given(
    st.lists(
        st.tuples(
            st.sampled_from([DISCOVERY_SOURCE, "f", "g"]), st.dictionaries(st.sampled_from("ab"), OPTIONAL)
        ),
        max_size=10,
    )
)
def test_each_field_follows_the_first_source_that_states_it(reports):
    """Against a plain model, for any lists in any order: no default may override a statement."""
    merged = create_list()
    lists: dict[str, dict[str, dict[str, Any]]] = {"f": {}, "g": {}, DISCOVERY_SOURCE: {}}
    withdrawn: set[tuple[str, str]] = set()  # by source and endpoint
    for now, (source, rows) in enumerate(reports):
        has_reported = merged.sources[DISCOVERY_SOURCE].reported_at is not None
        follow_withdrawals(withdrawn, lists, source, rows, has_reported)
        lists[source] = rows
        documents = [row(name, 5000 + ord(name), **fields) for name, fields in rows.items()]
        if source == DISCOVERY_SOURCE:
            records = [read_record({"lifecycle": READY} | document) for document in documents]
        else:
            records = list(validation.parse(encode_list(*documents)).records.values())
        merged.report_list(source, records, now)
        merged.take_changes(now)
    for name in "ab":
        stated = [rows[name] for rows in lists.values() if name in rows]
        if not stated:
            continue
        shown = merged.published[name].to_row()
        for field, default in (("machineType", ""), ("cell", None), ("weight", 1.0)):
            assert shown[field] == next((fields[field] for fields in stated if field in fields), default)
        assert shown["startedAtMs"] == max(fields.get("startedAtMs", 0) for fields in stated)
        is_withdrawn = any((source, name) in withdrawn for source in lists)
        is_ready = not is_withdrawn and all(f.get("lifecycle", READY) == READY for f in stated)
        assert (shown["lifecycle"] == READY) == is_ready


def test_a_removed_endpoint_settles_drains_and_is_gone():
    merged = create_list()
    merged.report_list("f", [create_record("a"), create_record("b")], 0)
    merged.take_changes(0)
    merged.report_list("f", [create_record("b")], 10)
    assert not merged.take_changes(10)
    assert states(merged.take_changes(10 + FILE.settle)) == {"a": DRAINING}
    assert merged.show("a").state == "leaving"
    assert not merged.take_changes(9 + FILE.settle + FILE.drain)
    assert states(merged.take_changes(10 + FILE.settle + FILE.drain)) == {"a": REMOVED}
    assert merged.published.keys() == {"b"}
    assert not merged.departures
    assert not merged._timers


def test_an_endpoint_moved_to_another_file_neither_drains_nor_counts_twice():
    """An endpoint is taken out of one file and written into another a moment later. It must neither drain
    in between nor count twice.
    """
    merged = create_list()
    merged.report_list("f", [create_record("a"), create_record("b")], 0)
    merged.take_changes(0)
    merged.report_list("f", [create_record("b")], 10)
    assert not merged.take_changes(10)
    merged.report_list("g", [create_record("a", 3.0)], 10 + FILE.settle - 1)
    assert [
        (record.name, record.state, record.weight) for record in merged.take_changes(10 + FILE.settle)
    ] == [("a", READY, 3.0)]
    assert not merged.departures
    assert not merged.take_changes(SECOND * 100)


def test_an_endpoint_that_only_discovery_named_is_removed_at_once():
    merged = create_list()
    merged.report_list(DISCOVERY_SOURCE, [create_record("a")], 0)
    merged.take_changes(0)
    merged.report_change(DISCOVERY_SOURCE, {}, ["a"], 5)
    assert states(merged.take_changes(5)) == {"a": REMOVED}


def test_one_address_under_two_names_counts_once():
    """A machine was renamed and is listed under both names for a while. It must not get two shares."""
    merged = create_list()
    merged.report_list(DISCOVERY_SOURCE, [create_record("a", address="10.0.0.1:1")], 0)
    merged.take_changes(0)
    merged.report_list("f", [create_record("x", address="10.0.0.1:1")], 1)
    merged.take_changes(1)
    published_states = {record.name: record.state for record in merged.published.values()}
    assert published_states == {"x": READY}  # the name that only discovery gives is removed
    merged.report_list("f", [create_record("y")], 2)
    assert states(merged.take_changes(2)) == {"y": READY, "a": READY}
    assert states(merged.take_changes(2 + FILE.settle)) == {"x": DRAINING}


def test_a_machine_that_discovery_knows_by_another_name_keeps_its_fields_and_drains():
    """A file names a machine by its host name, discovery by an id. Its cell and start were lost, and callers
    were sent to it while discovery drained it.
    """
    merged = create_list()
    merged.report_list(DISCOVERY_SOURCE, [create_discovery_record()], 0)
    merged.take_changes(0)
    by_host_name = validation.parse(encode_list(row(ENDPOINT))).records[ENDPOINT]
    merged.report_list("f", [by_host_name], 1)
    merged.take_changes(1)
    (published,) = merged.published.values()
    assert published == EndpointRecord(ENDPOINT, "10.1.0.1:5000", "katy", "gen2-std", 3, READY, 2.5, 1e12)
    merged.report_change(DISCOVERY_SOURCE, {"a": create_discovery_record(lifecycle=DRAINING)}, [], 2)
    assert states(merged.take_changes(2, 2)) == {ENDPOINT: DRAINING}
    merged.report_change(DISCOVERY_SOURCE, {"a": create_discovery_record(startedAtMs=2e12)}, [], 3)
    (published,) = merged.take_changes(3)
    assert (published.state, published.started_at_ms) == (READY, 2e12)
    merged.report_change(DISCOVERY_SOURCE, {}, ["a"], 4)
    assert merged.take_changes(4) == [by_host_name._replace(state=DRAINING)]  # it is withdrawn
    merged.report_change(DISCOVERY_SOURCE, {"a": create_discovery_record()}, [], 5)
    assert [record.state for record in merged.take_changes(5)] == [READY]


def test_a_retired_source_stays_until_the_new_one_has_reported():
    """A file is renamed in the operator file, and the new one is invalid at first. The endpoints of the old
    one must stay until the new one is valid.
    """
    merged = create_list(FILE)
    merged.report_list("f", [create_record("a")], 0)
    merged.take_changes(0)
    assert merged.configure([OTHER]) == ["g"]
    assert "f" in merged.retiring
    merged.report_rejection("g", "json", "line 1", 2)
    assert not merged.take_changes(SECOND * 9)
    merged.report_list("g", [create_record("a"), create_record("b")], 3)
    assert states(merged.take_changes(3)) == {"b": READY}
    assert merged.is_retired("f")


def test_the_initial_list_is_in_force_until_a_file_is_read():
    merged = MergedEndpointList()
    merged.configure([SourceSettings(INITIAL_SOURCE, -1, 0, SECOND)])
    merged.report_list(INITIAL_SOURCE, [create_record("a"), create_record("b")], 0)
    merged.configure([FILE])
    assert states(merged.take_changes(0)) == {"a": READY, "b": READY}
    merged.report_list("f", [create_record("a")], 1)
    assert states(merged.take_changes(1)) == {"b": DRAINING}


def test_departing_endpoints_are_published_first_and_in_batches():
    merged = create_list(FILE._replace(settle=0))
    merged.report_list("f", [create_record(f"s{n}") for n in range(100)], 0)
    published_count = 0
    while merged.has_changes:
        published_count += len(merged.take_changes(0, 30))
    assert published_count == 100
    merged.report_list("f", [create_record(f"s{n}", 2.0) for n in range(1, 98)], 1)
    first = merged.take_changes(1, 10)
    assert states(first[:3]) == {"s0": DRAINING, "s98": DRAINING, "s99": DRAINING}
    assert merged.has_changes


def test_a_new_process_continues_from_the_handed_over_state():
    merged = create_list(FILE)
    merged.report_list("f", [create_record("a"), create_record("b")], 0, generation=3, taken_at_ms=77)
    merged.take_changes(0)
    merged.report_list("f", [create_record("b")], 1, generation=4, taken_at_ms=78)
    merged.take_changes(1)
    merged.take_changes(1 + FILE.settle)
    state = json.loads(json.dumps(merged.export_state(2 + FILE.settle)))
    successor = create_list(FILE)
    successor.import_state(state, 1000)
    assert states(successor.take_changes(1000)) == {"a": DRAINING, "b": READY}
    assert (successor.sources["f"].generation, successor.sources["f"].taken_at_ms) == (4, 78)
    assert states(successor.take_changes(1000 + FILE.drain)) == {"a": REMOVED}


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


class WithdrawalModel:
    """Which endpoints the sources have withdrawn, worked out anew from their lists.

    When a withdrawal is forgotten depends on time and batches. The model therefore keeps all, and knows of
    which the list must not have forgotten: those of names and machines that were named all the time.
    """

    def __init__(self, lists: dict[str, dict[str, EndpointRecord]]) -> None:
        self.lists = lists
        self.reported: set[str] = set()
        # By source and name: the address, and the names that have been at that address ever since.
        self.withdrawn: dict[tuple[str, str], tuple[str, set[str]]] = {}
        self.named_since: set[tuple[str, str]] = set()  # withdrawals whose own name was named ever since

    def addresses(self) -> dict[str, str]:
        order = ("f", "g", DISCOVERY_SOURCE)
        return {name: row.address for s in reversed(order) for name, row in self.lists[s].items()}

    def report(self, source: str, rows: dict[str, EndpointRecord]) -> None:
        before, self.lists[source] = self.lists[source], rows
        addresses = self.addresses()
        for name, old in before.items():
            if name not in rows and (source == DISCOVERY_SOURCE or old.state == DRAINING):
                aliases = {other for other, address in addresses.items() if address == old.address}
                self.withdrawn[source, name] = old.address, aliases
                self.named_since.add((source, name))
        for name, row in rows.items():
            old = before.get(name)
            if old != row:
                at_address = {
                    other
                    for s, other in self.withdrawn
                    if s == source and self.withdrawn[s, other][0] == row.address
                }
                self.lift({source}, {name} | (at_address - addresses.keys()))
                is_news = row.state == READY and (old is None or old.state != READY)
                if source == DISCOVERY_SOURCE and source in self.reported and is_news:
                    self.lift(set(self.lists), {name}, row.address)
        self.reported.add(source)
        for key, (address, aliases) in self.withdrawn.items():
            aliases -= {alias for alias in aliases if addresses.get(alias) != address}
            if key[1] not in addresses:
                self.named_since.discard(key)

    def lift(self, sources: set[str], names: set[str], address: str = "") -> None:
        for source, name in list(self.withdrawn):
            is_same = name in names or self.withdrawn[source, name][0] == address
            if source in sources and is_same:
                del self.withdrawn[source, name]

    def has_withdrawn(self, name: str, must_be_remembered: bool = False) -> bool:
        """Whether a source has withdrawn the machine of this name, and names it no longer."""
        addresses = self.addresses()
        names = {other for other, address in addresses.items() if address == addresses[name]}
        return any(
            names.isdisjoint(self.lists[source])
            and (
                (withdrawn in names and (not must_be_remembered or (source, withdrawn) in self.named_since))
                or (address == addresses[name] and (not must_be_remembered or name in aliases))
            )
            for (source, withdrawn), (address, aliases) in self.withdrawn.items()
        )


@given(STEPS)
def test_the_merged_list_converges_to_what_the_sources_name(steps):
    """Changes are taken in batches of any size. In the end no address may be published twice, no endpoint be
    ready that a source drains or has withdrawn, none drain for any other reason, and none be missing.
    """
    merged, now, published = create_list(), 0, {}
    lists: dict[str, dict[str, EndpointRecord]] = {DISCOVERY_SOURCE: {}, "f": {}, "g": {}}
    model = WithdrawalModel(lists)

    def apply(changes: list[EndpointRecord]) -> None:
        for record in changes:
            assert (
                record.state != published.get(record.name, record._replace(state="")).state
                or record != published[record.name]
            )
            published[record.name] = record
            if record.state == REMOVED:
                del published[record.name]
        assert published == merged.published

    for source, rows, delay, limit in steps:
        model.report(
            source,
            {
                name: create_record(name, weight, state, f"10.0.0.1:{port}")
                for name, (weight, state, port) in rows.items()
            },
        )
        merged.report_list(source, lists[source].values(), now)
        apply(merged.take_changes(now, limit))
        now += delay
    for _ in range(3):
        while merged.has_changes or (merged.next_change_at() is not None and merged.next_change_at() <= now):
            apply(merged.take_changes(now, 3))
        now += 100 * SECOND
    named = {name for rows in lists.values() for name in rows}
    assert published.keys() <= named
    ready = [record for record in published.values() if record.state == READY]
    assert len({record.address for record in ready}) == len(ready)
    naming = {
        name: [source for source in ("f", "g", DISCOVERY_SOURCE) if name in lists[source]] for name in named
    }
    ranked = {name: [lists[source][name] for source in naming[name]] for name in named}
    drains = {name for name in named if any(record.state != READY for record in ranked[name])}
    for name in named & published.keys():
        first = ranked[name][0]
        # Names that another source gives to this machine.
        others = {
            other
            for other in named - {name}
            if ranked[other][0].address == first.address and naming[other][0] != naming[name][0]
        }
        assert published[name].weight == first.weight
        if published[name].state == READY:
            assert drains.isdisjoint({name} | others)
            assert not model.has_withdrawn(name, must_be_remembered=True)
        else:
            assert not drains.isdisjoint({name} | others) or model.has_withdrawn(name)
    addresses = {records[0].address for records in ranked.values()}
    assert {record.address for record in published.values()} == addresses  # each machine is published once
    assert not merged.departures
    assert not merged._timers
