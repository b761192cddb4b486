"""Tables of cases for the parsers, and behaviour that is specific to one wire protocol."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
from network import REQUEST_CLASS, SETTINGS, ProxyNetwork, free_port

from arrowseam.address import parse_address
from arrowseam.balancer.events import HealthCheckEnded, UpdateKind
from arrowseam.client_request import DEADLINE_MARGIN
from arrowseam.config.proxy import ConfigError, read_config
from arrowseam.endpoint_list import EndpointIds
from arrowseam.endpoint_sources.records import read_update
from arrowseam.net.buffer import Buffer
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.listener import listen
from arrowseam.net.task import Coroutine
from arrowseam.outcomes import AttemptOutcome
from arrowseam.protocols.edge import messages as edge_messages
from arrowseam.protocols.nats import messages as nats_messages
from arrowseam.protocols.nats import session as nats_session
from arrowseam.protocols.nats.config import read_nats_config
from arrowseam.protocols.nats.framing import ClientFramer, EndpointFramer
from arrowseam.proxy.configuration import read_configuration
from arrowseam.request_handling import connections


def buffer(data: bytes, limit: int = 8192) -> Buffer:
    result = Buffer(limit)
    while data:
        view = result.free_space()
        size = min(len(view), len(data))
        view[:size] = data[:size]
        view.release()
        result.end += size
        data = data[size:]
    return result


def config(**changes: Any) -> Any:
    doc = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ff", "settings": SETTINGS}
    return read_config(json.dumps(doc | changes).encode())


@pytest.fixture
def world() -> Iterator[Callable[..., ProxyNetwork]]:
    created: list[ProxyNetwork] = []

    def create(*modes: str, **fields: Any) -> ProxyNetwork:
        created.append(ProxyNetwork(fields.pop("wire", "lines"), *modes, **fields))
        return created[-1]

    yield create
    for created_world in created:
        created_world.close()


# --- the buffer -------------------------------------------------------------------------------------------


def test_a_buffer_is_compacted_in_place_and_keeps_its_bytes():
    found = buffer(b"a" * 400, 600)
    found.consume(390)
    data = found.data
    for n in range(50):
        view = found.free_space()
        view[:10] = b"%010d" % n
        view.release()
        found.end += 10
        assert found.take(10) == (b"a" * 10 if n == 0 else b"%010d" % (n - 1))
    assert found.data is data
    assert len(data) <= 8192
    found.remove(2, 5)
    assert found.take(9) == b"00049"


# --- the line protocol ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("line", "forwarded"),
    [
        (b"OPEN 9b 7f c=tech,t=acme,d=2000,g=5c", b"OPEN 9b 7f c=tech,t=acme,d=70,g=5c\r\n"),
        (b"OPEN 9b 7f d=1,c=tech,zz=,again=1", b"OPEN 9b 7f d=70,c=tech,zz=,again=1\r\n"),
        (b"OPEN 9b 7f c=tech,d=9,at=s-1,h=2.5", b"OPEN 9b 7f c=tech,d=70,at=s-1,h=2.5\r\n"),
    ],
)
def test_an_opening_is_forwarded_unchanged_except_for_its_deadline(line, forwarded):
    assert edge_messages.parse_opening(line).forwarded_line(70) == forwarded


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"OPEN",
        b"OPEN 9b 7f",
        b"OPEN 9b 7f c",
        b"OPEN 9b 7f =x,d=1",
        b"OPEN 9b zz c=tech,d=1",
        b"HELLO 1 2 3",
        b"OPEN 9b 7f c=tech",
        b"OPEN 9b 7f d=5",
        b"OPEN 9b 7f c=tech,d=x",
        b"OPEN 9b 7f c=tech,d=-5",
        b"OPEN 9b 7f c=tech,d=5,d=6",
        b"OPEN  7f c=tech,d=5",
        b"OPEN 9b 7f c=tech,d=5 more",
        b"open 9b 7f c=tech,d=5",
        b"OPEN 9b 7f c=odd,d=5",
        b"OPEN 9b 7f c=tech,t=odd,d=5",
        b"OPEN 9b 7f c=tech,d=5,h=x",
        b"OPEN \xff 7f c=tech,d=5",
        b"OPEN 0x9b 7f c=tech,d=5",
        b"OPEN 9b -7f c=tech,d=5",
        b"OPEN 9b 7_f c=tech,d=5",
        b"OPEN 9b 11112222333344445 c=tech,d=5",
        b"OPEN 9b 7f c=tech,d=9999999999",
        b"OPEN 9b 7f c=tech,d=1_0",
        b"OPEN 9b 7f c=tech,d=5,g=+5",
        b"OPEN 9b 7f c=tech,d=5,g=",
        b"OPEN 9b 7f c=tech,d=5,h=nan",
        b"OPEN 9b 7f c=tech,d=5,h=1e999",
        b"OPEN 9b 7f c=tech,d=5,h=-1",
        b"OPEN 9b 7f c=tech,d=5\r",
        b"OPEN 9b 7f c=tech,d=5,z=\0",
    ],
)
def test_an_invalid_opening_is_failed_and_closed(world, line):
    with pytest.raises(edge_messages.OpeningError):
        edge_messages.create_request(edge_messages.parse_opening(line), config(), 0)
    w = world("up")
    w.messages = w.messages | {"open": lambda n, klass: line + b"\r\n"}
    client = w.client()
    w.until(lambda: client.ended_at)
    assert bytes(client.got) == b"ERR\r\n"
    assert not w.servers[0].received


def test_the_fields_of_an_opening_reach_the_request():
    opening = edge_messages.parse_opening(b"OPEN 9b 7f c=resident,t=acme,d=1500,g=5c,r=1,again=1,h=2.5,at=s7")
    request = edge_messages.create_request(opening, config(), 100)
    assert (
        request.class_index,
        request.tenant_index,
        request.flow_key,
        request.group,
        request.expected_load,
    ) == (
        1,
        0,
        0x7F,
        0x5C,
        2.5,
    )
    assert request.is_retry
    assert request.is_reconnect
    assert request.adopted_endpoint == "s7"
    # The client's deadline counts from before the request arrived.
    assert request.deadline == 100 + 1500 * MS - DEADLINE_MARGIN


@pytest.mark.parametrize("end", [b"\n", b"\r\nOPEN 02 0a c=tech,t=acme,d=1800\r\n"])
def test_an_opening_with_a_wrong_line_end_or_followed_by_data_is_failed(world, end):
    """Forwarded, it would be a line that the client did not send in this form."""
    w = world("up")
    w.messages = w.messages | {"open": lambda n, klass: b"OPEN 01 0a c=tech,t=acme,d=1800" + end}
    client = w.client()
    w.until(lambda: client.ended_at)
    assert bytes(client.got) == b"ERR\r\n"
    assert not w.servers[0].received


def test_no_client_waits_longer_than_its_class_allows():
    """Guards against a huge ``d``, with which a request would stay queued for as long as it says."""
    request = edge_messages.create_request(
        edge_messages.parse_opening(b"OPEN 9b 7f c=tech,d=999999999"), config(), 0
    )
    assert request.deadline == 1800 * MS - DEADLINE_MARGIN


def test_a_connection_id_in_use_is_refused_without_harm_to_the_first_connection(world):
    w = world("up")
    first = w.client(7)
    w.until(lambda: first.has("up"))
    second = w.client(7)
    w.until(lambda: second.ended_at)
    assert bytes(second.got) == b"ERR\r\n"
    assert not first.ended_at
    assert len(w.servers[0].received) == 1
    first.send(b"still here\r\n")
    w.until(lambda: b"still here" in first.got)
    first.conn.close()
    w.until(lambda: not w.handler.active)
    third = w.client(7)  # it has run, so it must not run again
    w.until(lambda: third.ended_at)
    assert bytes(third.got) == b"ERR\r\n"
    assert len(w.servers[0].received) == 1


def test_an_overlong_opening_is_failed(world):
    w = world("up")
    w.messages = w.messages | {"open": lambda n, klass: b"OPEN " + b"x" * 5000}
    client = w.client()
    w.until(lambda: client.ended_at)
    assert bytes(client.got) == b"ERR\r\n"


def test_pings_before_the_opening_are_answered(world):
    w = world("up")
    w.messages = w.messages | {"open": lambda n, klass: b"PING\r\nPING\r\n"}
    client = w.client()
    w.until(lambda: bytes(client.got) == b"PONG\r\nPONG\r\n")


def test_an_endpoint_is_told_how_long_the_attempt_will_wait(world):
    w = world("silent", "up")
    for n in range(4):
        w.client(n)
    w.until(lambda: w.servers[1].received)
    (is_bounded,) = {
        int(got.split(b"d=")[1].split(b"\r")[0]) <= 1785 for s in w.servers for got in s.received
    }
    assert is_bounded


def test_an_adopted_connection_goes_to_its_own_endpoint(world):
    w = world("up", "up", "up")
    line = b"OPEN %02x 0a c=tech,t=acme,d=4294967,at=s2\r\n"
    w.messages = w.messages | {"open": lambda n, klass: line % n}
    clients = [w.client(n) for n in range(5)]
    w.until(lambda: all(c.has("up") for c in clients))
    assert [len(s.received) for s in w.servers] == [0, 0, 5]
    assert all(b"at=s2" in got for got in w.servers[2].received)
    endpoints = w.driver.balancer.endpoints.by_id
    assert endpoints[w.driver.endpoint_ids["s2"]].in_flight == 5


@pytest.mark.parametrize(
    ("line", "load", "outcome"),
    [
        (b"LOAD 125.5\r\n", 125.5, AttemptOutcome.RESET),
        (b"BYE\r\n", None, AttemptOutcome.COMPLETED),
        (b"MOVE\r\n", None, AttemptOutcome.MIGRATED),
    ],
)
def test_what_an_endpoint_reports_on_a_connection_reaches_the_balancer(
    world, monkeypatch, line, load, outcome
):
    w = world("up")
    outcomes: list[AttemptOutcome] = []
    report = w.driver.report_outcome
    monkeypatch.setattr(
        w.driver, "report_outcome", lambda request, end: (outcomes.append(end), report(request, end))
    )
    (client,) = w.up()
    w.servers[0].send_to_all(line)
    w.until(lambda: line in client.got)
    if load is not None:
        assert next(iter(w.driver.balancer.requests.by_id.values())).load == load
    w.servers[0].live[0].close()
    w.until(lambda: not w.handler.active)
    assert outcomes == [AttemptOutcome.ESTABLISHED, outcome]
    assert bytes(client.got).endswith(line)


@pytest.mark.parametrize(
    ("answer", "ok"), [(b"PONG x0=0.5,x1=2\r\n", True), (b"ERR\r\n", False), (b"", False)]
)
def test_a_health_check_reports_to_the_balancer(world, monkeypatch, answer, ok):
    w = world("up", telemetry={"fields": ["x1", "x0"]})
    received: list[bytes | None] = []

    def serve(conn: Connection) -> Coroutine[None]:
        received.append((yield from conn.read_line(100, clock() + SECOND)))
        yield from conn.send(answer, clock() + SECOND)

    w.driver.addresses["s0"] = f"127.0.0.1:{listen(w.loop, ('127.0.0.1', 0), 'p', serve).address[1]}"
    events: list[Any] = []
    # Timers of the balancer may fire first; they are not tested here.
    monkeypatch.setattr(
        w.driver,
        "_notify",
        lambda event: events.append(event) if isinstance(event, HealthCheckEnded) else None,
    )
    w.handler.check_health("s0")
    w.until(lambda: events)
    assert received == [b"STATS"]
    assert (events[0].outcome == 0) is ok
    assert events[0].report == ((2.0, 0.5) if ok else ())


# --- NATS -------------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("data", "verb", "size"),
    [
        (b"PING\r\n", b"PING", 6),
        (b"ping\r\nPONG\r\n", b"PING", 6),
        (b"pUb a.b 5\r\nhello\r\n", b"PUB", 18),
        (b"PUB a.b reply 5\r\nhello\r\n", b"PUB", 24),
        (b"PUB a 9\r\n\r\nPING\r\n!\r\n", b"PUB", 20),
        (b"PUB a 9\r\nshort", b"PUB", 20),
        (b"HPUB a 12 17\r\nNATS/1.0\r\n\r\nhello\r\n", b"HPUB", 33),
        (b"SUB\ta\t1\r\n", b"SUB", 9),
        (b"SUB a q 1\r\n", b"SUB", 11),
        (b"UNSUB 1 5\r\n", b"UNSUB", 11),
        (b'CONNECT {"a":1}\r\n', b"CONNECT", 17),
        (b"PUB a", None, 0),
        (b"", None, 0),
    ],
)
def test_client_operations(data, verb, size):
    operation = nats_messages.parse_operation(
        buffer(data), 0, nats_messages.CLIENT_VERBS, nats_messages.CLIENT_LINE_MAX, 1 << 20
    )
    assert (operation and operation.verb, operation.size if operation else 0) == (verb, size)


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (b"NOPE\r\n", "Unknown Protocol Operation"),
        (b"\r\n", "Unknown Protocol Operation"),
        (b"MSG a 1 5\r\n", "Unknown Protocol Operation"),
        (b"PUB a\r\n", "Parser Error"),
        (b"PUB a x\r\n", "Parser Error"),
        (b"PUB a -1\r\n", "Parser Error"),
        (b"PUB a b c 5\r\n", "Parser Error"),
        (b"HPUB a 9 5\r\n", "Parser Error"),
        (b"SUB a\r\n", "Parser Error"),
        (b"PUB a 2000000\r\n", "Maximum Payload Violation"),
        (b"SUB " + b"x" * 5000, "Maximum Control Line Exceeded"),
        (b"SUB " + b"x" * 5000 + b"\r\n", "Maximum Control Line Exceeded"),
    ],
)
def test_operations_that_violate_the_protocol(world, data, text):
    with pytest.raises(nats_messages.NatsProtocolError, match=text):
        nats_messages.parse_operation(
            buffer(data), 0, nats_messages.CLIENT_VERBS, nats_messages.CLIENT_LINE_MAX, 1 << 20
        )
    w = world("up", wire="nats")
    (client,) = w.up()
    client.send(data)
    w.until(lambda: client.ended_at and not w.handler.active)
    assert bytes(client.got).endswith(b"-ERR '%s'\r\n" % text.encode())
    assert w.servers[0].received[0].endswith(b"PING\r\nPING\r\n")


@pytest.mark.parametrize(
    ("opening", "answer"),
    [
        (b"PING\r\n", b"PONG\r\n"),
        (b"SUB a 1\r\n", b"-ERR 'Authorization Violation'\r\n"),
        (b'CONNECT {"user":"who"}\r\n', b"-ERR 'Authorization Violation'\r\n"),
        (b"CONNECT [1]\r\n", b"-ERR 'Parser Error'\r\n"),
        (b"GET / HTTP/1.1\r\n", b"-ERR 'Unknown Protocol Operation'\r\n"),
        (b'connect {"user":"tech","verbose":true}\r\n', b"+OK\r\n"),
    ],
)
def test_the_greeting_of_a_nats_client(world, opening, answer):
    w = world("silent", wire="nats")
    w.messages = w.messages | {"open": lambda n, klass: opening}
    client = w.client()
    w.until(lambda: bytes(client.got).endswith(answer))
    head, line = bytes(client.got).split(b"\r\n")[:2]
    assert head.startswith(b"INFO {")
    assert json.loads(head[5:])["max_payload"] == 1 << 20
    assert line + b"\r\n" == answer


@pytest.mark.parametrize(
    ("data", "forwarded"),
    [
        (b"PONG\r\nPONG\r\n", b"PONG\r\n"),  # the first answers the proxy's own PING
        (b'PONG\r\nINFO {"connect_urls":["10.0.0.1:4222"]}\r\n+OK\r\n', b"+OK\r\n"),
        (b"PONG\r\nMSG a 1 8\r\nPONG\r\n!!\r\n", b"MSG a 1 8\r\nPONG\r\n!!\r\n"),
    ],
)
def test_operations_for_the_proxy_do_not_reach_the_client(data, forwarded):
    client_framer = ClientFramer(1 << 20)
    client_framer.on_own_message_sent()
    endpoint_framer = EndpointFramer(1 << 20, client_framer.unanswered_pings)
    received = buffer(data)
    size = endpoint_framer.release(received, 0)
    assert received.take(size) == forwarded
    assert not len(received)


def test_lame_duck_mode_of_an_endpoint_migrates_its_client(world):
    w = world("up", wire="nats")
    (client,) = w.up()
    w.servers[0].send_to_all(b'MSG a 1 2\r\nhi\r\nINFO {"ldm":true,"connect_urls":["10.0.0.1:4222"]}\r\n')
    w.until(lambda: client.ended_at and not w.handler.active)
    assert client.has("moved")
    assert b"connect_urls" not in client.got
    assert bytes(client.got).index(b"hi\r\n") < bytes(client.got).index(b'"ldm":true')


def test_a_client_that_is_slow_to_send_does_not_make_its_endpoint_count_as_lost(world, monkeypatch):
    """The proxy must not send its PING inside the client's message, so it awaits no reply."""
    monkeypatch.setattr(nats_session, "PING_AFTER", 100 * MS)
    monkeypatch.setattr(connections, "REPLY_TIMEOUT", 100 * MS)
    w = world("up", wire="nats")
    (client,) = w.up()
    first_part = b"PUB a 100000\r\n" + b"x" * 80000
    w.loop.start_task(client.conn.send(first_part, clock() + SECOND), "half a message")
    w.until(lambda: len(w.servers[0].received[0]) > 50000)
    w.run(0.5)
    assert not client.ended_at
    w.loop.start_task(client.conn.send(b"x" * 20000 + b"\r\n", clock() + SECOND), "the rest")
    w.until(lambda: w.servers[0].received[0].endswith(b"x\r\nPING\r\n"))


def test_no_attempt_is_made_at_the_proxys_own_address(world):
    """Seen with the example configuration: each attempt came back as a client, 500 within a moment."""
    w = world("up", wire="nats")
    w.nats_config.overrides["s0"] = w.nats_config.listen
    client = w.client()
    w.until(lambda: client.ended_at)
    assert client.has("rejected")
    assert w.handler._last_number == 1


def test_the_proxys_pings_keep_the_connection_of_an_idle_client(world):
    w = world("up", wire="nats")
    (client,) = w.up()
    w.until(lambda: w.servers[0].received[0].count(b"PING") == 3)
    w.run(0.1)
    assert bytes(client.got).count(b"PONG") == 1
    assert not client.ended_at


# --- health -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("state", "line", "status"),
    [("ready", b"up ready\n", b"200"), ("draining", b"drain\n", b"503"), ("empty list", b"down\n", b"503")],
)
def test_health_is_reported_to_agent_checks_and_over_http(world, state, line, status):
    w = world(*(["up"] if state != "empty list" else []))
    if state == "draining":
        w.handler.shutdown.is_draining = True
    for listener, opening, answer in (
        ("agent", b"", line),
        ("health", b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", b"HTTP/1.1 " + status),
        ("health", b"GET /other HTTP/1.1\r\nHost: x\r\n\r\n", b"HTTP/1.1 404"),
        ("health", b"POST /healthz HTTP/1.1\r\nHost: x\r\n\r\n", b"HTTP/1.1 405"),
        ("health", b"\0nonsense\r\n\r\n", b"HTTP/1.1 400"),
    ):
        w.address = w.addresses[listener]
        w.messages = w.messages | {"open": lambda n, klass, opening=opening: opening}
        client = w.client()
        w.until(lambda client=client: client.ended_at)
        assert bytes(client.got).startswith(answer)


# --- discovery ----------------------------------------------------------------------------------------

ROW = {"instanceId": "s1", "hostPort": "127.0.0.1:5", "zone": "z", "machineType": "k", "lifecycle": "Ready"}


@pytest.mark.parametrize(
    "doc",
    [
        [],
        {"instances": 5},
        {"instances": [5]},
        {"instances": [{}]},
        {"instances": [ROW | {"lifecycle": "Odd"}]},
        {"instances": [ROW | {"weight": "x"}]},
        {"instances": [ROW], "generation": "x"},
    ],
)
def test_an_invalid_endpoint_list_is_rejected(doc):
    with pytest.raises(ConfigError, match=r"list|settings"):
        read_update(doc, config(), EndpointIds())


def test_an_endpoint_list_is_decoded_with_ids_and_start_times():
    ids = EndpointIds()
    doc = {
        "generation": 4,
        "reset": True,
        "instances": [ROW | {"startedAtMs": 0}, ROW | {"instanceId": "s2"}],
    }
    update = read_update(doc, config(), ids)
    assert (update.kind, update.version, len(update.endpoints)) == (UpdateKind.SNAPSHOT, 4, 2)
    assert ids == {"s1": update.endpoints[0].endpoint_id, "s2": update.endpoints[1].endpoint_id}
    assert update.endpoints[0].started_at == 0
    assert update.addresses["s2"] == "127.0.0.1:5"
    started = read_update({"instances": [ROW | {"startedAtMs": time.time() * 1000}]}, config(), ids)
    assert abs(started.endpoints[0].started_at - clock()) < SECOND // 10
    assert started.kind is UpdateKind.DELTA


def test_the_watch_continues_from_the_known_version_without_a_gap(world):
    w = world("up")
    w.until(lambda: w.calls)
    assert "since=1&" in w.calls[0][1]
    w.update_list(s0={"lifecycle": "Terminating"})
    changed_at = clock()
    w.until(lambda: len(w.calls) == 2)
    assert "since=2&" in w.calls[1][1]
    assert w.calls[1][0] - changed_at < 200 * MS


@pytest.mark.parametrize("response", [b"[1]", b"{nonsense", b'{"instances":[{}]}'])
def test_an_invalid_response_leaves_the_list_and_counts_as_a_failed_call(world, response):
    w = world("up")
    w.raw_response = response
    w.until(lambda: w.driver.balancer.poller.failures)
    assert w.driver.ready_count == 1
    w.up()
    w.raw_response = None
    w.until(lambda: w.driver.balancer.poller.subscribed or w.calls[-1][0] > w.calls[0][0])


# --- configuration and command line -----------------------------------------------------------------------


@pytest.mark.parametrize("text", ["", "5000", ":5000", "h:", "h:x", "h:70000"])
def test_an_invalid_address_is_rejected(text):
    with pytest.raises(ValueError, match="HOST:PORT"):
        parse_address(text)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"{", "JSON"),
        (b"[]", "object"),
        (b'{"settings":{}}', "request class"),
        (b'{"seed":"xyz"}', "request class"),
        (json.dumps({"settings": SETTINGS, "seed": "xyz"}).encode(), "seed"),
        (json.dumps({"settings": SETTINGS, "listen": 5}).encode(), "listen"),
        (json.dumps({"settings": SETTINGS, "listen": "here"}).encode(), "listen"),
        (json.dumps({"settings": SETTINGS | {"lanes": [REQUEST_CLASS | {"aim": "x"}]}}).encode(), "aim"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(tmp_path: Path, text, expected):
    path = tmp_path / "config.json"
    path.write_bytes(text)
    result = subprocess.run(
        [sys.executable, "-m", "arrowseam", "check-config", "--config", str(path)],
        capture_output=True,
        text=True,
    )
    assert result.returncode == 1
    assert not result.stdout
    assert expected in result.stderr
    assert result.stderr.count("\n") == 1


@pytest.mark.parametrize(
    "text",
    [
        b"{",
        b"[]",
        b"{}",
        b'{"listen":"x"}',
        b'{"listen":"127.0.0.1:1","users":{"a":{"class":"odd"}}}',
        b'{"listen":"127.0.0.1:1","default":{"class":"tech","tenant":"odd"}}',
        b'{"listen":"127.0.0.1:1","servers":{"s":"nowhere"}}',
    ],
)
def test_an_invalid_nats_file_is_rejected(text):
    with pytest.raises(ConfigError, match="nats"):
        read_nats_config(text, config())


@contextmanager
def program(folder: Path, descriptors: int = 1024) -> Iterator[tuple[subprocess.Popen[bytes], int]]:
    """Run the whole program as a process, with no endpoint known."""
    port = free_port()
    path = folder / "config.json"
    doc = {"listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:1", "seed": "1", "settings": SETTINGS}
    path.write_text(json.dumps(doc))
    process = subprocess.Popen(
        [
            "/bin/sh",
            "-c",
            f"ulimit -n {descriptors}; exec {sys.executable} -m arrowseam serve --config {path}",
        ],
        stderr=subprocess.PIPE,
        env=os.environ | {"TMPDIR": str(path.parent)},
    )
    assert process.stderr is not None
    assert b"listens" in process.stderr.readline()
    try:
        yield process, port
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def test_the_program_serves_reloads_on_sighup_and_ends_on_sigterm(tmp_path: Path):
    """Each signal has its own effect: with one wake-up pipe per signal, the last pipe got all signals."""
    with program(tmp_path) as (process, port):
        for text in ("reload: done", "reload: configuration: not JSON"):
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            while text.encode() not in (line := process.stderr.readline()):
                assert line
            (tmp_path / "config.json").write_text("{")
        with socket.create_connection(("127.0.0.1", port), timeout=5) as conn:
            conn.sendall(b"PING\r\n")
            assert conn.recv(100) == b"PONG\r\n"
            process.terminate()
        assert process.wait(timeout=10) == 0
        assert process.stderr is not None
        assert b"drained" in process.stderr.read()


@pytest.mark.parametrize("descriptors", [64, 20])
def test_every_accepted_connection_is_answered_when_descriptors_run_out(tmp_path: Path, descriptors: int):
    """With 64, clients are rejected early, while some are left; with 20, only the spare one is left."""
    with program(tmp_path, descriptors) as (_, port):
        clients = [socket.create_connection(("127.0.0.1", port), timeout=5) for _ in range(100)]
        for n, client in enumerate(clients):
            client.sendall(b"OPEN %016x 0a c=resident,t=acme,d=600\r\n" % n)
        for client in clients:
            assert client.recv(100).startswith((b"BUSY", b"ERR"))
            client.close()


@pytest.mark.parametrize("key", ["control", "listen", "health", "agent"])
def test_two_listeners_on_one_address_are_rejected_at_start(tmp_path, key):
    # Listeners may share their address with those of the previous process, so the system would allow it.
    port = free_port()
    doc = {"listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:1", "seed": "1", "settings": SETTINGS}
    nats = {"listen": f"127.0.0.1:{free_port()}"}
    (doc if key == "control" else nats)[key] = f"127.0.0.1:{port}"
    paths = [tmp_path / "config.json", tmp_path / "nats.json"]
    for path, text in zip(paths, (doc, nats), strict=True):
        path.write_text(json.dumps(text))
    with pytest.raises(ConfigError, match="one address"):
        read_configuration(*map(str, paths))
    (doc if key == "control" else nats)[key] = f"127.0.0.1:{free_port()}"
    for path, text in zip(paths, (doc, nats), strict=True):
        path.write_text(json.dumps(text))
    assert read_configuration(*map(str, paths))[0].listen == doc["listen"]


def test_ports_for_tests_are_none_that_the_system_assigns_for_port_0():
    lowest = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    assert all(1024 < free_port() < lowest for _ in range(50))


def test_an_endpoint_has_the_same_id_at_every_proxy_in_any_order():
    first, second = EndpointIds(), EndpointIds()
    names = ["\udcff", *(f"edge-{n}" for n in range(49))]
    ids = [first.assign(name) for name in names]
    assert len(set(ids)) == 50
    assert min(ids) > 0
    assert [second.assign(name) for name in reversed(names)] == ids[::-1]
    colliding = EndpointIds()
    colliding["another"] = ids[0]
    colliding.names[ids[0]] = "another"
    assert colliding.assign(names[0]) == ids[0] + 1 == colliding.assign(names[0])
