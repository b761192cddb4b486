"""Endpoints from watched files, on real sockets and over both protocols: scripts that rewrite the files
under traffic, other things in a file's place, and crashes of the processes. The last valid list must stay in
force.
"""

from __future__ import annotations

import itertools
import json
import os
import shutil
import stat
import struct
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from network import REQUEST_CLASS, ProxyNetwork

from arrowseam.config.operator import Operator, Servers
from arrowseam.endpoint_sources.file_watcher import path_steps
from arrowseam.endpoint_sources.snapshots import snapshot_path
from arrowseam.net.clock import SECOND, clock


class WatchedFolder:
    """A folder of endpoint files that the test rewrites, and the proxies that watch it."""

    def __init__(
        self, path: Path, wire: str = "lines", endpoint_count: int = 3, **source_settings: Any
    ) -> None:
        self.path, self.wire, self.endpoint_count = path, wire, endpoint_count
        self.source_settings = {"settle_ms": 0, "drain_s": 1, "max_removed": 0.7} | source_settings
        self.generations = itertools.count(1)
        self.worlds: list[ProxyNetwork] = []

    def create_world(self, *names: str, has_snapshots: bool = False, **options: Any) -> ProxyNetwork:
        """Create a world whose proxy starts without endpoints, until files name the stand-ins."""
        sources = [
            Servers(file=str(self.path / f"{name}.json"), name=name, **self.source_settings)
            for name in names or ("a",)
        ]
        operator = Operator(servers=tuple(sources), state_dir=str(self.path) if has_snapshots else "")
        w = ProxyNetwork(
            self.wire, *["up"] * self.endpoint_count, operator=operator, **{"known": False} | options
        )
        self.worlds.append(w)
        return w

    def encode_list(self, w: ProxyNetwork, *endpoints: int, generation: bool = False, **fields: Any) -> bytes:
        document: dict[str, Any] = {"instances": [w.servers[n].row | fields for n in endpoints]}
        if generation:
            document["generation"] = next(self.generations)
        return json.dumps(document).encode()

    def replace(self, data: bytes, name: str = "a") -> None:
        """Replace a file atomically, as scripts should: write a new file beside it, then rename that."""
        new_file = self.path / f".{name}.new"
        new_file.write_bytes(data)
        os.replace(new_file, self.path / f"{name}.json")

    def replace_accepted(self, w: ProxyNetwork, data: bytes, name: str = "a") -> None:
        """Replace a file and wait until the list is accepted and published."""
        source = w.proxy.endpoint_sources.merged.sources[name]
        count_before = source.taken_count
        self.replace(data, name)
        w.until(lambda: source.taken_count > count_before and not w.proxy.endpoint_sources.merged.has_changes)

    def await_rejection(self, w: ProxyNetwork, act: Callable[[], Any], name: str = "a") -> str:
        """Call ``act`` and return the reason of the rejection that follows."""
        source = w.proxy.endpoint_sources.merged.sources[name]
        count_before, records_before = source.rejections.total(), dict(source.records)
        act()
        w.until(lambda: source.rejections.total() > count_before)
        assert source.records == records_before  # no part of a rejected list is accepted
        return source.rejection[0]


@pytest.fixture(params=["lines", "nats"])
def create_folder(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Callable[..., WatchedFolder]]:
    created: list[WatchedFolder] = []

    def create(**source_settings: Any) -> WatchedFolder:
        created.append(WatchedFolder(tmp_path, request.param, **source_settings))
        return created[-1]

    yield create
    for folder in created:
        for w in folder.worlds:
            w.close()


@pytest.fixture
def folder(tmp_path: Path) -> Iterator[WatchedFolder]:
    watched = WatchedFolder(tmp_path)
    yield watched
    for w in watched.worlds:
        w.close()


def ready_names(w: ProxyNetwork) -> set[str]:
    return {
        name for name, record in w.proxy.endpoint_sources.merged.published.items() if record.state == "Ready"
    }


# --- traffic while files are rewritten ------------------------------------------------------------------


def test_traffic_continues_whatever_a_script_writes(create_folder):
    """A script writes a list truncated at every byte, malformed in each way, and at last valid. No connection
    may be placed on an endpoint that the last valid list omits, or be closed without a notice to move.
    """
    folder = create_folder(max_bytes=2000)
    w = folder.create_world()
    folder.replace_accepted(w, folder.encode_list(w, 0, 1, generation=True))
    clients, valid = w.up(8), folder.encode_list(w, 0, 1, weight=2.0, generation=True)
    source = w.proxy.endpoint_sources.merged.sources["a"]
    heard_before = [len(s.received) for s in w.servers]
    invalid = [valid[:size] for size in range(len(valid))]
    for old, new in (
        (b"2.0", b"0"), (b"2.0", b"-1"), (b"2.0", b"NaN"), (b"2.0", b"1e999"), (b"2.0", b"1e9"),
        (b"Ready", b"Up"), (b'"zone"', b'"zone": "y", "zone"'), (b'"s1"', b'"s0"'),
        (w.servers[1].row["hostPort"].encode(), w.servers[0].row["hostPort"].encode()),
        (b'"generation": 2', b'"generation": 0'),
    ):  # fmt: skip
        assert old in valid
        invalid.append(valid.replace(old, new))
    invalid += [b'{"instances":[]}', b"\xff\xfe", valid + b"{", folder.encode_list(w, 2), valid + b" " * 2000]
    for data in invalid:
        count_before = source.rejections.total()
        folder.replace(data)
        w.until(lambda count_before=count_before: source.rejections.total() > count_before)
        if len(w.handler.active) < 30 and source.rejections.total() % 9 == 0:
            clients += w.up(1)
    assert source.taken_count == 1
    assert len(source.records) == 2
    assert len(w.servers[2].received) == heard_before[2] == 0
    assert not any(c.ended_at for c in clients)
    folder.replace_accepted(w, valid)
    for client in clients:
        client.got.clear()
        client.send(w.messages["ask"])
    w.until(lambda: all(c.has("reply") for c in clients))
    assert w.max_in_flight <= len(clients)


def test_a_removed_endpoint_gets_no_new_clients_and_its_own_are_migrated(create_folder):
    """A file no longer names an endpoint that has clients. It must get no new ones, and those that it has
    must be migrated before it is removed.
    """
    folder = create_folder(settle_ms=300)
    w = folder.create_world()
    folder.replace_accepted(w, folder.encode_list(w, 0, 1))
    clients = w.up(12)
    affected_count = len(w.servers[0].live)
    assert 0 < affected_count < 12
    folder.replace(folder.encode_list(w, 1))
    removed_at = clock()
    w.until(lambda: w.servers[0].row["instanceId"] not in ready_names(w))
    assert clock() - removed_at < 2 * SECOND
    drained_at = clock()
    later_clients = w.up(8)
    w.until(lambda: not w.servers[0].live, 25)  # a growing share each second, chosen at random
    assert max(w.servers[0].opened_at) < drained_at
    migrated = [c for c in clients if c.ended_at]
    assert len(migrated) == affected_count
    assert all(c.has("moved") for c in migrated)
    assert not any(c.ended_at for c in later_clients)
    w.until(lambda: w.driver.endpoint_count == 1)  # removed once it has no connections


def test_weights_of_a_file_decide_the_placement(create_folder):
    folder = create_folder(max_removed=1.0)
    w = folder.create_world()
    rows = [w.servers[n].row | {"weight": weight} for n, weight in ((0, 0.001), (1, 1.0), (2, 0.001))]
    folder.replace_accepted(w, json.dumps({"instances": rows}).encode())
    w.up(1)
    assert len(w.servers[1].live) == 1  # the first connection is drawn by weight alone
    counters = w.counters()
    assert counters["edge.sources.a.servers"] == 3
    assert counters["edge.members"] == 3


def test_an_endpoint_moved_between_files_is_neither_migrated_nor_counted_twice(create_folder):
    """A script takes an endpoint out of one file and writes it into another, in two steps. In between no
    source names it, but its clients must not be migrated.
    """
    folder = create_folder(settle_ms=400)
    w = folder.create_world("a", "b")
    folder.replace_accepted(w, folder.encode_list(w, 0, 1), "a")
    folder.replace_accepted(w, folder.encode_list(w, 2), "b")
    clients = w.up(9)
    folder.replace_accepted(w, folder.encode_list(w, 1), "a")
    folder.replace_accepted(w, folder.encode_list(w, 0, 2), "b")
    w.run(0.8)
    assert w.driver.endpoint_count == 3 == w.driver.ready_count
    assert not any(c.ended_at for c in clients)
    rows = {row["instanceId"]: row for row in w.proxy.endpoint_sources.endpoint_rows()}
    assert rows["s0"]["sources"] == ("b",)
    assert rows["s0"]["state"] == "ready"


def test_a_file_and_discovery_name_the_same_endpoints(create_folder):
    """The file's row wins, either source may drain an endpoint, and either alone keeps it in the list: one
    that discovery has withdrawn drains there, until discovery lists it as ready again.
    """
    folder = create_folder()
    w = folder.create_world()
    w.update_list(s0={}, s1={"weight": 5.0})
    w.until(lambda: ready_names(w) == {"s0", "s1"})
    folder.replace_accepted(w, folder.encode_list(w, 0, 2, weight=3.0))
    w.until(lambda: ready_names(w) == {"s0", "s1", "s2"})
    published = w.proxy.endpoint_sources.merged.published
    assert published["s0"].weight == 3.0
    assert published["s1"].weight == 5.0
    w.update_list(s0={"lifecycle": "Terminating"})
    w.until(lambda: ready_names(w) == {"s1", "s2"})
    w.update_list(s0={"lifecycle": "Gone"}, s1={"lifecycle": "Gone"})
    w.until(lambda: "s1" not in published)
    assert ready_names(w) == {"s2"}
    assert published["s0"].state == "Terminating"
    assert [
        row["state"] for row in w.proxy.endpoint_sources.endpoint_rows() if row["instanceId"] == "s0"
    ] == ["withdrawn"]
    w.update_list(s0={"weight": 9.0})
    w.until(lambda: ready_names(w) == {"s0", "s2"})
    assert w.control(b"cordon s0\n") == b"ACK\n"
    folder.replace_accepted(w, folder.encode_list(w, 0, 2, weight=4.0))
    assert w.driver.cordoned == ["s0"]
    clients = w.up(4)
    assert not w.servers[0].live
    assert len(w.servers[2].live) == len(clients)


@pytest.mark.parametrize("by_other_name", [False, True], ids=["same-name", "other-name"])
def test_clients_are_not_placed_on_a_server_that_discovery_has_withdrawn(create_folder, by_other_name):
    """Discovery drained a server and withdrew it. A file still named it, and callers were placed there again
    until it stopped under them. Rewritten files must not bring it back, and discovery must.
    """
    folder = create_folder()
    w = folder.create_world()
    w.update_list(s0={}, s1={})
    rows = json.loads(folder.encode_list(w, 0, 1, weight=3.0))
    if by_other_name:
        rows["instances"][0]["instanceId"] = "feed.katy.example.org"
        if w.proxy.nats_server is not None:
            overrides = w.proxy.nats_server.nats_config.overrides
            overrides["feed.katy.example.org"] = overrides["s0"]
    folder.replace_accepted(w, json.dumps(rows).encode())
    w.until(lambda: len(ready_names(w)) == 2)
    for lifecycle in ("Terminating", "Gone"):
        w.update_list(s0={"lifecycle": lifecycle}, s1={})
        w.until(lambda: len(ready_names(w)) == 1)
        w.run(0.3)
    before = len(w.servers[0].received)
    w.up(6)
    rows["instances"][0]["weight"] = 5.0
    folder.replace_accepted(w, json.dumps(rows).encode())
    w.up(6)
    assert len(w.servers[0].received) == before
    w.update_list(s0={}, s1={})
    w.until(lambda: len(ready_names(w)) == 2)
    w.until(lambda: w.up(1) and len(w.servers[0].received) > before)


def test_keyed_requests_stay_in_the_cell_that_discovery_tells_beside_a_file(create_folder):
    """Connections are reset under keyed requests, and a file names the endpoints without their cells. Callers
    saw requests run twice: retries went to another cell, which does not know their keys.
    """
    keyed = REQUEST_CLASS | {"effect": "dedup", "key_scope": "cell", "key_ttl": 5 * SECOND}
    folder = create_folder(endpoint_count=6)
    w = folder.create_world(lanes=[keyed, keyed | {"name": "resident"}])
    for server in w.servers:
        server.mode = "reset"
    w.update_list(**{f"s{n}": {"cell": 3 + n % 2} for n in range(6)})
    w.until(lambda: ready_names(w) == {f"s{n}" for n in range(6)})
    folder.replace_accepted(w, folder.encode_list(w, *range(6)))
    for _ in range(6):
        received = [len(server.received) for server in w.servers]
        client = w.client(next(w.numbers))
        w.until(lambda client=client: client.ended_at)
        tried = [n for n, server in enumerate(w.servers) if len(server.received) > received[n]]
        assert tried
        assert len({3 + n % 2 for n in tried}) == 1


def test_without_discovery_the_initial_list_serves_until_files_are_read(create_folder):
    """There is no discovery service and the files cannot be read yet. The list of the configuration must
    be in force until then.
    """
    folder = create_folder()
    w = folder.create_world(discovery=False, known=True)
    w.until(lambda: w.driver.ready_count == 3)
    w.up(3)
    folder.replace(folder.encode_list(w, 0, 1))
    w.until(lambda: ready_names(w) == {"s0", "s1"})


# --- other things in a file's place, and changes of its path -----------------------------------------------


def test_a_file_is_rewritten_in_place_in_parts_with_pauses(folder):
    """A script rewrites a file in place, in parts, with pauses between them. What is read in between must be
    rejected, and the last valid list must stay in force.
    """
    w = folder.create_world()
    folder.replace_accepted(w, folder.encode_list(w, 0, 1))
    data, source = folder.encode_list(w, 0, 1, 2), w.proxy.endpoint_sources.merged.sources["a"]
    with open(folder.path / "a.json", "r+b", buffering=0) as file:
        file.truncate(0)
        for offset in range(0, len(data), 100):
            file.write(data[offset : offset + 100])
            w.run(0.3 if offset == 200 else 0.02)  # 0.3 s exceeds ``WRITER_QUIET_TIME``
        assert len(source.records) == 2
    w.until(lambda: len(source.records) == 3)
    assert source.rejections["json"]
    assert set(source.rejections) <= {"absent", "json", "empty-file", "torn"}


def test_a_link_is_replaced_and_a_folder_renamed(folder):
    """The path of a file contains a symbolic link and a folder. After either is replaced, the file that the
    path now leads to must be read.
    """
    w = folder.create_world()
    one, two = folder.path / "one", folder.path / "two"
    for target, endpoints in ((one, (0, 1)), (two, (0, 1, 2))):
        target.mkdir()
        (target / "list").write_bytes(folder.encode_list(w, *endpoints))
    (folder.path / "now").symlink_to("one")
    (folder.path / "a.json").symlink_to("now/list")
    w.until(lambda: ready_names(w) == {"s0", "s1"})
    (folder.path / "new").symlink_to("two")
    os.replace(folder.path / "new", folder.path / "now")
    w.until(lambda: ready_names(w) == {"s0", "s1", "s2"})
    assert folder.await_rejection(w, lambda: os.rename(two, folder.path / "three")) == "absent"
    (one / "list").write_bytes(folder.encode_list(w, 0, 2))
    os.rename(one, two)
    w.until(lambda: ready_names(w) == {"s0", "s2"})
    steps = path_steps(str(folder.path / "a.json"))
    assert {s.name for s in steps} >= {"a.json", "now", "two", "list"}


def test_a_file_is_deleted_created_again_and_rewritten_a_hundred_times(folder):
    """A file is deleted, created again and rewritten a hundred times in quick succession. The last version
    must be in force in the end.
    """
    w = folder.create_world()
    folder.replace_accepted(w, folder.encode_list(w, 0, 1))
    assert folder.await_rejection(w, (folder.path / "a.json").unlink) == "absent"
    assert ready_names(w) == {"s0", "s1"}
    folder.replace_accepted(w, folder.encode_list(w, 0, 1, 2))
    for n in range(100):
        folder.replace(folder.encode_list(w, 0, 1, 2, weight=1.0 + n))
        if n % 10 == 0:
            w.run(0.005)
    published = w.proxy.endpoint_sources.merged.published
    w.until(lambda: all(published[name].weight == 100.0 for name in ("s0", "s1", "s2")))
    assert w.longest_round_s < 0.1


def test_a_fifo_a_folder_a_huge_or_world_writable_file_is_rejected_at_once(folder):
    """In the place of a file is a FIFO without a writer, a folder, or a file that is too large or
    world-writable. It must be rejected without blocking the proxy.
    """
    w = folder.create_world()
    folder.replace_accepted(w, folder.encode_list(w, 0, 1))
    path = folder.path / "a.json"

    def replace_with(create: Callable[[], Any]) -> Callable[[], Any]:
        def act() -> None:
            path.rmdir() if path.is_dir() else path.unlink(missing_ok=True)
            create()

        return act

    def create_huge() -> None:
        with path.open("wb") as file:
            file.truncate(10 << 30)  # sparse: it takes no space on the disk

    def create_world_writable() -> None:
        path.write_bytes(folder.encode_list(w, 0, 1, 2))
        path.chmod(0o666)

    assert folder.await_rejection(w, replace_with(path.mkdir)) in ("not-a-file", "absent")
    w.until(lambda: w.proxy.endpoint_sources.merged.sources["a"].rejection[0] == "not-a-file")
    started_at = clock()
    for create, reason in (
        (lambda: os.mkfifo(path), "not-a-file"),
        (create_huge, "too-large"),
        (create_world_writable, "writable-by-all"),
    ):
        replace_with(create)()
        w.until(lambda reason=reason: w.proxy.endpoint_sources.merged.sources["a"].rejection[0] == reason)
    assert clock() - started_at < 3 * SECOND
    path.chmod(stat.S_IRUSR | stat.S_IWUSR)
    w.until(lambda: ready_names(w) == {"s0", "s1", "s2"})


def test_inotify_events_are_lost_or_inotify_is_not_available(folder, monkeypatch):
    """The queue of inotify overflows: all files must be read again. Without inotify, files must be polled."""
    w = folder.create_world()
    folder.replace_accepted(w, folder.encode_list(w, 0, 1))
    watcher = w.proxy.endpoint_sources.files.watcher
    folder.path.joinpath("a.json").write_bytes(folder.encode_list(w, 0, 1, 2))
    os.read(watcher.inotify.fd, 1 << 16)  # discard the events
    watcher._handle_events(struct.pack("iIII", -1, 0x4000, 0, 0))  # IN_Q_OVERFLOW
    w.until(lambda: ready_names(w) == {"s0", "s1", "s2"})

    def raise_no_inotify(**_options: Any) -> None:
        raise OSError(24, "too many")

    monkeypatch.setattr("arrowseam.endpoint_sources.file_watcher.INotify", raise_no_inotify)
    folder.source_settings["poll_ms"] = 50
    polling = folder.create_world()
    assert polling.proxy.endpoint_sources.files.watcher is None
    polling.until(lambda: len(ready_names(polling)) == 3)
    folder.replace(folder.encode_list(polling, 0, 1))
    polling.until(lambda: ready_names(polling) == {"s0", "s1"})


# --- allowed removals and crashes ---------------------------------------------------------------------


def test_a_large_removal_is_allowed_once_by_the_operator(folder):
    folder.source_settings["max_removed"] = 0.5
    w = folder.create_world()
    folder.replace_accepted(w, folder.encode_list(w, 0, 1, 2))
    assert folder.await_rejection(w, lambda: folder.replace(folder.encode_list(w, 0))) == "removes-too-much"
    assert w.control(b"allow b\n").startswith(b"NAK")
    assert w.control(b"allow a\n") == b"ACK\n"
    w.until(lambda: ready_names(w) == {"s0"})  # the file that is already there is accepted
    folder.replace_accepted(w, folder.encode_list(w, 0, 1, 2))
    assert folder.await_rejection(w, lambda: folder.replace(folder.encode_list(w, 1))) == "removes-too-much"
    sources = [json.loads(line) for line in w.control(b"sources\n").splitlines()[:-1]]
    (row,) = [row for row in sources if row["source"] == "a"]
    assert row["refused"]["removes-too-much"] == 2
    assert row["servers"] == 3
    assert not row["allowed"]
    assert "67%" in row["last_refused"]
    *lines, last_line = w.control(b"members\n").splitlines()
    assert last_line == b"--"
    assert [json.loads(line)["state"] for line in lines] == ["ready"] * 3


def test_a_killed_file_worker_is_restarted(folder):
    """The worker that reads files is killed. Another one must be started and get the lists in force, so that
    the next version is compared with them.
    """
    w = folder.create_world(has_snapshots=True)
    folder.replace_accepted(w, folder.encode_list(w, 0, 1, generation=True))
    clients = w.up(4)
    first_pid = w.proxy.endpoint_sources.files.worker.pid
    os.kill(first_pid, 9)  # a process that this test's proxy started
    folder.replace(folder.encode_list(w, 0, 1, 2, generation=True))
    w.until(lambda: ready_names(w) == {"s0", "s1", "s2"})
    assert w.proxy.endpoint_sources.files.worker.pid != first_pid
    assert not any(c.ended_at for c in clients)
    assert (
        folder.await_rejection(w, lambda: folder.replace(b'{"generation":1,"instances":[]}')) == "generation"
    )


def test_a_proxy_started_with_an_invalid_file_serves_from_the_snapshot(folder, capfd):
    """A proxy crashes, and a file is invalid when it starts again. It must serve from the snapshot, but
    reject a truncated one.
    """
    w = folder.create_world(has_snapshots=True)
    folder.replace_accepted(w, folder.encode_list(w, 0, 1))
    path = snapshot_path(str(folder.path), "n0", "a")
    w.until(path.exists)
    folder.await_rejection(w, lambda: folder.replace(b'{"instances": ['))
    rows = [server.row for server in w.servers]
    w.proxy.endpoint_sources.close()  # the proxy crashes here
    restarted = folder.create_world(has_snapshots=True)
    assert ready_names(restarted) == {"s0", "s1"}  # already in force when the listeners open
    for server, row in zip(restarted.servers, rows):
        assert server.name == row["instanceId"]
    source = restarted.proxy.endpoint_sources.merged.sources["a"]
    assert source.origin == "snapshot"
    assert source.rejection[0] == "json"
    assert "2 servers from the last good list" in capfd.readouterr().err
    restarted.proxy.endpoint_sources.close()
    path.write_bytes(path.read_bytes()[:-5])  # truncated: it must be rejected as a whole, with a log line
    restarted_again = folder.create_world(has_snapshots=True)
    assert not ready_names(restarted_again)
    assert "the last good list: torn" in capfd.readouterr().err


class FileChanges(RuleBasedStateMachine):
    """Writes, renames and deletions of a file, and crashes of the worker and the proxy, against a model of
    the list in force: the last one that was written completely and did not remove too much.
    """

    @initialize()
    def begin(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.watched = WatchedFolder(self.folder)
        self.model: dict[str, float] = {}
        self.content: bytes | None = None
        self.world = self.watched.create_world(has_snapshots=True)
        self.rows = {s.name: s.row for s in self.world.servers}

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.crash_proxy()
            shutil.rmtree(self.folder)

    def crash_proxy(self) -> None:
        """The proxy crashes; its worker sees the end of its input, writes pending snapshots, and ends."""
        worker = self.world.proxy.endpoint_sources.files.worker
        self.world.close()
        if worker is not None:
            worker.process.wait()

    @property
    def file(self) -> Path:
        return self.folder / "a.json"

    def is_acceptable(self, rows: dict[str, float]) -> bool:
        """Whether a complete list must be accepted, by the model."""
        removed = sum(weight for name, weight in self.model.items() if name not in rows)
        return bool(rows) and removed <= 0.7 * sum(self.model.values()) * (1 + 1e-9)

    def encode_list(self, rows: dict[str, float]) -> bytes:
        return json.dumps(
            {"instances": [self.rows[name] | {"weight": weight} for name, weight in rows.items()]}
        ).encode()

    LISTS = st.dictionaries(st.sampled_from(["s0", "s1", "s2"]), st.sampled_from([1.0, 2.0, 4.0]))

    @rule(rows=LISTS, in_place=st.booleans())
    def write(self, rows: dict[str, float], in_place: bool) -> None:
        self.content = self.encode_list(rows)
        self.file.write_bytes(self.content) if in_place else self.watched.replace(self.content)
        if self.is_acceptable(rows):
            self.model = rows
        self.wait_for_model()

    @rule(rows=LISTS, fraction=st.floats(0.0, 0.99))
    def write_truncated(self, rows: dict[str, float], fraction: float) -> None:
        data = self.encode_list(rows)
        self.content = data[: int(len(data) * fraction)]
        self.watched.replace(self.content)
        self.wait_for_model()

    @rule()
    def delete(self) -> None:
        self.file.unlink(missing_ok=True)
        self.content = None
        self.wait_for_model()

    @rule(rows=LISTS)
    def rename_folder(self, rows: dict[str, float]) -> None:
        """The folder is renamed, and a copy of it, with its snapshots and another list, takes its place."""
        renamed = self.folder.with_name(self.folder.name + "-away")
        os.rename(self.folder, renamed)
        while True:
            try:
                shutil.copytree(renamed, self.folder)
                break
            except shutil.Error:  # the worker was replacing a snapshot just then: copy again
                shutil.rmtree(self.folder)
        shutil.rmtree(renamed)
        self.write(rows, False)

    @rule()
    def kill_worker(self) -> None:
        sources = self.world.proxy.endpoint_sources
        self.world.until(lambda: "a" in sources.files._known_to_worker)
        worker = sources.files.worker
        worker.process.kill()
        worker.process.wait()
        self.world.until(lambda: sources.files.worker is not worker and "a" in sources.files._known_to_worker)

    @rule()
    def restart_after_crash(self) -> None:
        """The proxy crashes and is started again, perhaps beside an invalid file."""
        self.crash_proxy()
        self.world = self.watched.create_world(has_snapshots=True)
        self.wait_for_model()

    def wait_for_model(self) -> None:
        merged = self.world.proxy.endpoint_sources.merged
        source = merged.sources["a"]
        counts_before, read_by = (source.taken_count, source.rejections.total()), clock() + SECOND // 5

        def matches_model() -> bool:
            was_read = (source.taken_count, source.rejections.total()) != counts_before or clock() > read_by
            return (
                was_read
                and {name: record.weight for name, record in source.records.items()} == self.model
                and not merged.has_changes
            )

        self.world.until(matches_model, 8)

    @invariant()
    def the_last_valid_list_is_in_force(self) -> None:
        if hasattr(self, "world"):
            sources = self.world.proxy.endpoint_sources
            assert {
                name: record.weight for name, record in sources.merged.sources["a"].records.items()
            } == self.model
            assert ready_names(self.world) == set(self.model)


TestFileChanges = FileChanges.TestCase
TestFileChanges.settings = settings(
    max_examples=10, stateful_step_count=10, derandomize=True, deadline=None, database=None
)
