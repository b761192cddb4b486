"""Bytes that the version before the names were changed has written: read, and written the same again.

``tests/data/wire/make_proxy.py`` has made them: messages of a hot restart, the cordon file, snapshots, the
lines of a source's worker, the answers of control, what commands print.
"""

from __future__ import annotations

import json
import os
import time
from collections import Counter
from collections.abc import Generator, Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from click.testing import CliRunner

from arrowseam import cli
from arrowseam.balancer.events import UpdateKind
from arrowseam.client_request import Request
from arrowseam.config import script
from arrowseam.config.operator import Operator, Servers
from arrowseam.config.proxy import Config, overlay_bundle, read_config
from arrowseam.control import server as control
from arrowseam.driver import BalancerDriver
from arrowseam.endpoint_sources import file_sources, snapshots, worker
from arrowseam.endpoint_sources import sources as sources_module
from arrowseam.endpoint_sources import status as sources_status
from arrowseam.endpoint_sources.records import EndpointRecord, create_update
from arrowseam.endpoint_sources.sources import EndpointSources
from arrowseam.hot_restart.channel import HandoverChannel
from arrowseam.hot_restart.connection_state import decode_connection, encode_connection
from arrowseam.hot_restart.cordon_file import CordonFile
from arrowseam.hot_restart.hot_restart import HotRestart
from arrowseam.hot_restart.messages import (
    HANDOVER_REQUEST,
    ConnectionHandedOver,
    ConnectionIdChange,
    CordonChange,
    DescriptorCount,
    ListenersReleased,
    ListenersTaken,
    decode_message,
    decode_state,
    encode_message,
    encode_state,
)
from arrowseam.hot_restart.restart_socket import RestartSocket
from arrowseam.net.event_loop import EventLoop
from arrowseam.proxy.server import Proxy
from arrowseam.request_handling.requests import RequestHandler

WRITTEN: dict[str, Any] = json.loads((Path(__file__).parent / "data" / "wire" / "proxy.json").read_text())
NOW_US = 5_000_000
UNIX_NS = 1_700_000_000_000 * 1_000_000
CONFIG = WRITTEN["config.text"]
LIST = {key: CONFIG["known"][key] for key in ("generation", "instances")}
ENDPOINTS = {
    endpoint.name: endpoint
    for endpoint in (
        EndpointRecord("s0", "127.0.0.1:5000", "z"),
        EndpointRecord("s1", "127.0.0.1:5001", "z", "k", 3, "Ready", 2.5, 0.0),
        EndpointRecord("s2", "127.0.0.1:5002", "z", "", 0, "Terminating", 1.0, 1.6e12),
        EndpointRecord("sé", "127.0.0.1:5003"),
    )
}


def written(name: str) -> bytes:
    return str(WRITTEN[name]).encode("latin-1")


def config(**changes: Any) -> Config:
    return read_config(json.dumps(CONFIG | changes).encode())


def shorter_list() -> dict[str, Any]:
    return LIST | {"generation": 8, "instances": LIST["instances"][:2]}


@pytest.fixture(autouse=True)
def folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    monkeypatch.chdir(tmp_path)
    return tmp_path


# --- hot restart ------------------------------------------------------------------------------------------


def test_messages_of_a_hot_restart_are_read_and_written_as_before():
    driver = BalancerDriver(config(), lambda: NOW_US)
    driver.register_endpoint("s1")
    request = Request(class_index=0, tenant_index=0, flow_key=255, deadline=9_000_000, group=11,
                      expected_load=3.5, name="c-1", class_name="tech")  # fmt: skip
    request.endpoint_id = driver.endpoint_ids["s1"]
    session_state, forwarder_state = (
        {"wire": "lines", "last": ""},
        {"outward": "PING\r\n", "inward": "", "asked": 4},
    )
    state = encode_connection(driver.export_connection(request), session_state, forwarder_state)
    conn: Any = SimpleNamespace(writable=False, broken=False, closed=False)
    loop: Any = None
    channel = HandoverChannel(loop, conn, lambda *_: None)
    hot_restart = HotRestart(loop, loop, loop)
    hot_restart.channel = channel
    channel.send(ListenersTaken(("front", "control", "nats")))
    channel.send(ListenersReleased())
    channel.send(ConnectionHandedOver(state))
    hot_restart.notify_cordon_change("s0", True)
    hot_restart.notify_cordon_change("s0", False)
    hot_restart.notify_connection_id_change("c-1", True)
    hot_restart.notify_connection_id_change("c-1", False)
    channel.send(DescriptorCount(42))
    names = ("ready", "released", "stands", "cordon", "uncordon", "id", "id.gone", "held")
    lines = [written(f"handover.{name}") for name in names]
    assert [data for data, _ in channel.unsent] == lines
    messages = [decode_message(line) for line in lines]
    assert messages[0] == ListenersTaken(("front", "control", "nats"))
    assert messages[1] == ListenersReleased()
    assert messages[2] == ConnectionHandedOver(state)
    assert messages[3:5] == [CordonChange("s0", True), CordonChange("s0", False)]
    assert messages[5:7] == [ConnectionIdChange("c-1", True), ConnectionIdChange("c-1", False)]
    assert messages[7] == DescriptorCount(42)
    assert [encode_message(message) for message in messages if message is not None] == lines
    assert written("handover.hello") == HANDOVER_REQUEST


def test_an_established_connection_of_the_version_before_is_read():
    driver = BalancerDriver(config(), lambda: NOW_US)
    state = json.loads(written("handover.stands"))["stands"]
    request = driver.import_connection(decode_connection(state))
    assert (request.name, request.class_name, request.flow_key) == ("c-1", "tech", 255)
    assert (request.group, request.expected_load, request.adopted_endpoint) == (11, 3.5, "s1")
    assert request.request_class is not None
    assert request.request_class.priority_weight == 2.0
    driver.adopt(request)
    assert encode_connection(driver.export_connection(request), {}, {}).items() <= state.items()


def test_the_state_that_a_new_process_is_given_is_read_and_written_as_before():
    restart_socket = RestartSocket(Path("."), "n0", "127.0.0.1:0")
    loop = EventLoop(500)
    proxy = Proxy(loop, config(control=""), None, restart_socket, None)
    proxy.edge_server.connection_ids.update(("c-2", "c-1"))
    proxy.driver.cordon("s1", True)
    assert proxy.hot_restart is not None
    listeners = tuple(listener.name for listener in loop.listeners)
    state = proxy.hot_restart.export_state()._replace(listener_names=listeners, descriptor_count=3)
    assert encode_state(state) == written("handover.state")
    assert decode_state(written("handover.state")) == state


def test_the_cordon_file_is_read_and_written_as_before(folder: Path):
    restart_socket = RestartSocket(folder, "n0", "127.0.0.1:0")
    cordon_file = CordonFile(folder, "n0", "127.0.0.1:0")
    assert f"{restart_socket.file_name} {cordon_file.path.name}".encode() == written("cordons.names")
    cordon_file.path.write_bytes(written("cordons.file"))
    assert cordon_file.load() == ["s1", "sé"]
    cordon_file.path.unlink()
    cordon_file.save(["s1", "sé"])
    assert cordon_file.path.read_bytes() == written("cordons.file")


# --- sources of endpoints ---------------------------------------------------------------------------------


def test_snapshots_are_read_and_written_as_before():
    assert snapshots.encode("list", 7, 1_700_000_000_000, ENDPOINTS) == written("snapshot")
    assert snapshots.encode("list", None, 0, {}) == written("snapshot.none")
    assert str(snapshots.snapshot_path("state", "n0", "list")).encode() == written("snapshot.path")
    assert snapshots.decode(written("snapshot"), "list").records == ENDPOINTS
    assert snapshots.decode(written("snapshot.none"), "list").generation is None


class WorkerInThisProcess:
    """A worker in this process that keeps the lines of both directions."""

    def __init__(self) -> None:
        self.worker = worker.Worker()
        self.asked: list[bytes] = []
        self.answered: list[bytes] = []
        self.pending: list[bytes] = []
        self.has_ended = False

    def send_line(self, line: bytes, deadline: int) -> Generator[None, None, None]:
        assert deadline
        self.asked.append(line)
        self.pending += self.worker.handle(json.loads(line))
        yield from ()

    def receive_line(self, deadline: int) -> Generator[None, None, bytes]:
        assert deadline
        self.answered.append(self.pending.pop(0))
        yield from ()
        return self.answered[-1]


@pytest.fixture
def sources(monkeypatch: pytest.MonkeyPatch) -> Iterator[EndpointSources]:
    """Sources after the same readings as in ``make_proxy.py``; ``asked`` and ``answered`` are on it."""
    for module in (sources_module, file_sources, sources_status):
        monkeypatch.setattr(module, "clock", lambda: NOW_US)
    monkeypatch.setattr(time, "time_ns", lambda: UNIX_NS)
    specs = (Servers(file="list.json", name="list", rank=20), Servers(file="gone.json", name="gone"))
    driver = BalancerDriver(config(), lambda: NOW_US)
    members: Any = EndpointSources(
        EventLoop(500), config(), driver, Operator(servers=specs, state_dir="state")
    )
    members.on_discovery_update(UpdateKind.SNAPSHOT, 3, [EndpointRecord("s9", "127.0.0.1:5009", "z")])
    first, second = WorkerInThisProcess(), WorkerInThisProcess()
    members.files.worker = first
    Path("state").mkdir()
    Path("list.json").write_text(json.dumps(LIST))
    for name, always in (("list", True), ("list", False), ("gone", True)):
        list(members.files._read_file(name, always))
    Path("list.json").write_text(json.dumps(shorter_list()))
    members.files._allowed_until["list"] = NOW_US + 1
    list(members.files._read_file("list", True))
    first.worker.save_snapshots(time.monotonic(), even_if_not_due=True)
    members.files._known_to_worker.clear()
    list(members.files._read_file("list", True))
    members.files.worker = second
    members.merged.sources["list"].reported_at = None
    members.files._known_to_worker.clear()
    list(members.files._read_file("list", True))
    del members.files.settings["gone"]
    list(members.files._read_file("list", True))
    members.files.settings["gone"] = specs[1]
    members.merged.take_changes(NOW_US)
    members.merged.take_changes(NOW_US + 600_000)
    members.asked, members.answered = first.asked + second.asked, first.answered + second.answered
    members.files.worker = None
    yield members
    members.close()


def test_lines_between_a_proxy_and_its_worker_are_as_before(sources: Any):
    assert [line.decode("latin-1") for line in sources.asked] == WRITTEN["worker.asked"]
    assert [line.decode("latin-1") for line in sources.answered] == WRITTEN["worker.answered"]
    assert snapshots.snapshot_path("state", "n0", "list").read_bytes() == written("snapshot.written")


def test_what_sources_hand_over_and_show_is_as_before(sources: Any):
    assert json.dumps(sources.merged.export_state(NOW_US)).encode() == written("members.export")
    assert "\n".join(sources.counter_lines()).encode() == written("members.counters")
    for name, rows in (("sources", sources.source_rows()), ("members", sources.endpoint_rows())):
        assert [control.encode_row(row).decode("latin-1") for row in rows] == WRITTEN[f"members.{name}"]


# --- control ----------------------------------------------------------------------------------------------


class Membership:
    def counter_lines(self) -> Iterator[str]:
        return iter(["edge.fleet:3|g"])

    def can_cordon(self, endpoint: str) -> bool:
        return bool(endpoint)

    def set_cordon(self, endpoint: str, cordoned: bool) -> None:
        pass

    def declare_left(self, name: str) -> bool:
        return name == "b"


class Rollouts:
    def counter_lines(self) -> Iterator[str]:
        return iter(["edge.agreed:3|g"])

    def is_cordoned_by_rollout(self, endpoint: str) -> bool:
        return endpoint == "s9"


def test_control_answers_as_before(sources: EndpointSources):
    driver, loop = sources.driver, EventLoop(500)
    handler = RequestHandler(loop, driver)
    counted = {("tech", "success"): 5, ("tech", "overload"): 2, ("old", "error"): 1}
    handler.statistics.answers = Counter(counted)
    handler.statistics.openings_sent = 9
    handler.statistics.reloads_succeeded, handler.statistics.reloads_failed = 2, 1
    endpoints = list(ENDPOINTS.values())
    driver.update_endpoints(create_update(UpdateKind.DELTA, 7, endpoints, config(), driver.endpoint_ids))
    plain, complete = control.Control(loop, handler), control.Control(loop, handler)
    parts: list[Any] = [Membership(), Rollouts()]
    complete.endpoint_sources, complete.membership, complete.rollouts = sources, parts[0], parts[1]
    for name, asked in (("plain", plain), ("full", complete)):
        for line, answer in WRITTEN[f"control.{name}"]:
            assert (line, asked.answer(line.encode()).decode()) == (line, answer)
    plain.is_ready = lambda: False
    assert plain.answer(b"health") == written("control.not_ready")


# --- commands ---------------------------------------------------------------------------------------------


def test_commands_print_as_before():
    Path("config.json").write_text(json.dumps(CONFIG))
    Path("operator.star").write_text(WRITTEN["script.text"])
    for name, content in (("other", LIST), ("old", LIST), ("list", shorter_list())):
        Path(f"{name}.json").write_text(json.dumps(content))
    for words, status, output in WRITTEN["commands"]:
        result = CliRunner().invoke(cli.main, words, env={"EDGE_CONTROL": ""})
        shown = result.output.replace(os.getcwd(), "HERE")
        assert (words, result.exit_code, shown) == (words, status, output)


def test_a_script_is_evaluated_as_before():
    Path("operator.star").write_text(WRITTEN["script.text"])
    Path("bad.star").write_text("servers(nothing = 1)\n")
    assert script.answer(written("script.asked")) == written("script.answered")
    refused = written("script.asked").replace(b"operator.star", b"bad.star")
    assert script.answer(refused) == written("script.refused")


def test_settings_of_a_bundle_are_laid_over_as_before():
    bundle = json.dumps({"settings": {"balancers": 9}}).encode()
    assert overlay_bundle(json.dumps(CONFIG).encode(), bundle) == written("config.overlaid")
