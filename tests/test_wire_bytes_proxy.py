"""Compatibility with data written by an earlier version: it must be read, and written with the same bytes.

``tests/data/wire/make_proxy.py`` recorded the data: messages of a hot restart, the cordon file, snapshots,
the lines of a source's worker, the answers of control, the output of commands.
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

RECORDED: dict[str, Any] = json.loads((Path(__file__).parent / "data" / "wire" / "proxy.json").read_text())
NOW_US = 5_000_000
UNIX_NS = 1_700_000_000_000 * 1_000_000
CONFIG = RECORDED["config.text"]
ENDPOINT_LIST = {key: CONFIG["known"][key] for key in ("generation", "instances")}
ENDPOINTS = {
    endpoint.name: endpoint
    for endpoint in (
        EndpointRecord("s0", "127.0.0.1:5000", "z", "", 0, "Ready", 1.0, 0.0),
        EndpointRecord("s1", "127.0.0.1:5001", "z", "k", 3, "Ready", 2.5, 0.0),
        EndpointRecord("s2", "127.0.0.1:5002", "z", "", 0, "Terminating", 1.0, 1.6e12),
        EndpointRecord("sé", "127.0.0.1:5003", "", "", 0, "Ready", 1.0, 0.0),
    )
}


def recorded(name: str) -> bytes:
    return str(RECORDED[name]).encode("latin-1")


def config(**changes: Any) -> Config:
    return read_config(json.dumps(CONFIG | changes).encode())


def shortened_endpoint_list() -> dict[str, Any]:
    return ENDPOINT_LIST | {"generation": 8, "instances": ENDPOINT_LIST["instances"][:2]}


def with_stated_fields(document: dict[str, Any]) -> dict[str, Any]:
    """The recorded version took an unstated cell for 0 and an unstated weight for 1, as if stated."""
    rows = [{"cell": 0, "weight": 1.0} | row for row in document["instances"]]
    return document | {"instances": rows}


@pytest.fixture(autouse=True)
def folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    monkeypatch.chdir(tmp_path)
    return tmp_path


# --- hot restart ------------------------------------------------------------------------------------------


def test_hot_restart_messages_are_read_and_written_unchanged():
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
    lines = [recorded(f"handover.{name}") for name in names]
    assert [data for data, _ in channel.unsent] == lines
    messages = [decode_message(line) for line in lines]
    assert messages[0] == ListenersTaken(("front", "control", "nats"))
    assert messages[1] == ListenersReleased()
    assert messages[2] == ConnectionHandedOver(state)
    assert messages[3:5] == [CordonChange("s0", True), CordonChange("s0", False)]
    assert messages[5:7] == [ConnectionIdChange("c-1", True), ConnectionIdChange("c-1", False)]
    assert messages[7] == DescriptorCount(42)
    assert [encode_message(message) for message in messages if message is not None] == lines
    assert recorded("handover.hello") == HANDOVER_REQUEST


def test_an_established_connection_from_an_earlier_version_is_read():
    driver = BalancerDriver(config(), lambda: NOW_US)
    state = json.loads(recorded("handover.stands"))["stands"]
    request = driver.import_connection(decode_connection(state))
    assert (request.name, request.class_name, request.flow_key) == ("c-1", "tech", 255)
    assert (request.group, request.expected_load, request.adopted_endpoint) == (11, 3.5, "s1")
    assert request.request_class is not None
    assert request.request_class.priority_weight == 2.0
    driver.adopt(request)
    assert encode_connection(driver.export_connection(request), {}, {}).items() <= state.items()


def test_the_state_for_a_new_process_is_read_and_written_unchanged():
    restart_socket = RestartSocket(Path("."), "n0", "127.0.0.1:0")
    loop = EventLoop(500)
    proxy = Proxy(loop, config(control=""), None, restart_socket, None)
    proxy.edge_server.connection_ids.update(("c-2", "c-1"))
    proxy.driver.cordon("s1", True)
    assert proxy.hot_restart is not None
    listeners = tuple(listener.name for listener in loop.listeners)
    state = proxy.hot_restart.export_state()._replace(listener_names=listeners, descriptor_count=3)
    assert encode_state(state) == recorded("handover.state")
    assert decode_state(recorded("handover.state")) == state


def test_the_cordon_file_is_read_and_written_unchanged(folder: Path):
    restart_socket = RestartSocket(folder, "n0", "127.0.0.1:0")
    cordon_file = CordonFile(folder, "n0", "127.0.0.1:0")
    assert f"{restart_socket.file_name} {cordon_file.path.name}".encode() == recorded("cordons.names")
    cordon_file.path.write_bytes(recorded("cordons.file"))
    assert cordon_file.load() == ["s1", "sé"]
    cordon_file.path.unlink()
    cordon_file.save(["s1", "sé"])
    assert cordon_file.path.read_bytes() == recorded("cordons.file")


# --- sources of endpoints ---------------------------------------------------------------------------------


def test_snapshots_are_read_and_written_unchanged():
    assert snapshots.encode("list", 7, 1_700_000_000_000, ENDPOINTS) == recorded("snapshot")
    assert snapshots.encode("list", None, 0, {}) == recorded("snapshot.none")
    assert str(snapshots.snapshot_path("state", "n0", "list")).encode() == recorded("snapshot.path")
    assert snapshots.decode(recorded("snapshot"), "list").records == ENDPOINTS
    assert snapshots.decode(recorded("snapshot.none"), "list").generation is None


class WorkerInThisProcess:
    """Runs the worker in this process, and records the lines in both directions."""

    def __init__(self) -> None:
        self.worker = worker.Worker()
        self.requests: list[bytes] = []
        self.replies: list[bytes] = []
        self.pending: list[bytes] = []
        self.has_ended = False

    def send_line(self, line: bytes, deadline: int) -> Generator[None, None, None]:
        assert deadline
        self.requests.append(line)
        self.pending += self.worker.handle(json.loads(line))
        yield from ()

    def receive_line(self, deadline: int) -> Generator[None, None, bytes]:
        assert deadline
        self.replies.append(self.pending.pop(0))
        yield from ()
        return self.replies[-1]


@pytest.fixture
def sources(monkeypatch: pytest.MonkeyPatch) -> Iterator[EndpointSources]:
    """Sources after the same reads as in ``make_proxy.py``, with the lines to and from their worker."""
    for module in (sources_module, file_sources, sources_status):
        monkeypatch.setattr(module, "clock", lambda: NOW_US)
    monkeypatch.setattr(time, "time_ns", lambda: UNIX_NS)
    specs = (Servers(file="list.json", name="list", rank=20), Servers(file="gone.json", name="gone"))
    driver = BalancerDriver(config(), lambda: NOW_US)
    created: Any = EndpointSources(
        EventLoop(500), config(), driver, Operator(servers=specs, state_dir="state")
    )
    created.on_discovery_update(
        UpdateKind.SNAPSHOT, 3, [EndpointRecord("s9", "127.0.0.1:5009", "z", "", 0, "Ready", 1.0)]
    )
    first, second = WorkerInThisProcess(), WorkerInThisProcess()
    created.files.worker = first
    Path("state").mkdir()
    Path("list.json").write_text(json.dumps(with_stated_fields(ENDPOINT_LIST)))
    for name, always in (("list", True), ("list", False), ("gone", True)):
        list(created.files._read_file(name, always))
    Path("list.json").write_text(json.dumps(with_stated_fields(shortened_endpoint_list())))
    created.files._allowed_until["list"] = NOW_US + 1
    list(created.files._read_file("list", True))
    first.worker.save_snapshots(time.monotonic(), even_if_not_due=True)
    created.files._known_to_worker.clear()
    list(created.files._read_file("list", True))
    created.files.worker = second
    created.merged.sources["list"].reported_at = None
    created.files._known_to_worker.clear()
    list(created.files._read_file("list", True))
    del created.files.settings["gone"]
    list(created.files._read_file("list", True))
    created.files.settings["gone"] = specs[1]
    created.merged.take_changes(NOW_US)
    created.merged.take_changes(NOW_US + 600_000)
    created.worker_requests, created.worker_replies = (
        first.requests + second.requests,
        first.replies + second.replies,
    )
    created.files.worker = None
    yield created
    created.close()


def test_lines_between_a_proxy_and_its_worker_are_unchanged(sources: Any):
    assert [line.decode("latin-1") for line in sources.worker_requests] == RECORDED["worker.asked"]
    assert [line.decode("latin-1") for line in sources.worker_replies] == RECORDED["worker.answered"]
    assert snapshots.snapshot_path("state", "n0", "list").read_bytes() == recorded("snapshot.written")


def test_unstated_fields_are_transferred_as_values_that_an_earlier_version_reads_as_its_defaults():
    first, second, third, _ = ENDPOINTS.values()
    unstated = first._replace(cell=None, weight=None)
    encoded = snapshots.encode("list", 7, 0, {"s0": unstated, "s1": second, "s2": third._replace(cell=None)})
    assert encoded.partition(b"\n")[2] == (
        b'[["s0","127.0.0.1:5000","z","",-1,"Ready",-1.0,0.0],["s1","127.0.0.1:5001","z","k",3,"Ready",2.5,0.0],'
        b'["s2","127.0.0.1:5002","z","",-1,"Terminating",1.0,1600000000000.0]]'
    )
    file_worker = worker.Worker()
    Path("list.json").write_text(json.dumps(ENDPOINT_LIST))
    file_worker.handle({"do": "hold", "source": "list", "file": "list.json"})
    _, rows = file_worker.handle({"do": "read", "source": "list", "always": True, "allow": False})
    assert b'["s0","127.0.0.1:5000","z","",-1,"Ready",-1.0,0.0]' in rows


def test_exported_state_counters_and_rows_of_sources_are_unchanged(sources: Any):
    assert json.dumps(sources.merged.export_state(NOW_US)).encode() == recorded("members.export")
    assert "\n".join(sources.counter_lines()).encode() == recorded("members.counters")
    for name, rows in (("sources", sources.source_rows()), ("members", sources.endpoint_rows())):
        assert [control.encode_row(row).decode("latin-1") for row in rows] == RECORDED[f"members.{name}"]


# --- control ----------------------------------------------------------------------------------------------


class StubMembership:
    def counter_lines(self) -> Iterator[str]:
        return iter(["edge.fleet:3|g"])

    def can_cordon(self, endpoint: str) -> bool:
        return bool(endpoint)

    def set_cordon(self, endpoint: str, cordoned: bool) -> None:
        pass

    def declare_left(self, name: str) -> bool:
        return name == "b"


class StubRollouts:
    def counter_lines(self) -> Iterator[str]:
        return iter(["edge.agreed:3|g"])

    def is_cordoned_by_rollout(self, endpoint: str) -> bool:
        return endpoint == "s9"


def test_control_answers_are_unchanged(sources: EndpointSources):
    driver, loop = sources.driver, EventLoop(500)
    handler = RequestHandler(loop, driver)
    answer_counts = {("tech", "success"): 5, ("tech", "overload"): 2, ("old", "error"): 1}
    handler.statistics.answers = Counter(answer_counts)
    handler.statistics.openings_sent = 9
    handler.statistics.reloads_succeeded, handler.statistics.reloads_failed = 2, 1
    endpoints = list(ENDPOINTS.values())
    driver.update_endpoints(create_update(UpdateKind.DELTA, 7, endpoints, config(), driver.endpoint_ids))
    plain, complete = control.Control(loop, handler), control.Control(loop, handler)
    parts: list[Any] = [StubMembership(), StubRollouts()]
    complete.endpoint_sources, complete.membership, complete.rollouts = sources, parts[0], parts[1]
    for name, control_server in (("plain", plain), ("full", complete)):
        for line, answer in RECORDED[f"control.{name}"]:
            assert (line, control_server.answer(line.encode()).decode()) == (line, answer)
    plain.is_ready = lambda: False
    assert plain.answer(b"health") == recorded("control.not_ready")


# --- commands ---------------------------------------------------------------------------------------------


def test_output_of_commands_is_unchanged():
    Path("config.json").write_text(json.dumps(CONFIG))
    Path("operator.star").write_text(RECORDED["script.text"])
    for name, content in (
        ("other", ENDPOINT_LIST),
        ("old", ENDPOINT_LIST),
        ("list", shortened_endpoint_list()),
    ):
        Path(f"{name}.json").write_text(json.dumps(content))
    for command, status, output in RECORDED["commands"]:
        result = CliRunner().invoke(cli.main, command, env={"EDGE_CONTROL": ""})
        actual = result.output.replace(os.getcwd(), "HERE")
        assert (command, result.exit_code, actual) == (command, status, output)


def test_evaluation_of_a_script_is_unchanged():
    Path("operator.star").write_text(RECORDED["script.text"])
    Path("bad.star").write_text("servers(nothing = 1)\n")
    assert script.answer(recorded("script.asked")) == recorded("script.answered")
    refused = recorded("script.asked").replace(b"operator.star", b"bad.star")
    assert script.answer(refused) == recorded("script.refused")


def test_settings_of_a_bundle_are_overlaid_unchanged():
    bundle = json.dumps({"settings": {"balancers": 9}}).encode()
    assert overlay_bundle(json.dumps(CONFIG).encode(), bundle) == recorded("config.overlaid")
