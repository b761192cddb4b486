"""Races between a termination (shutdown, disconnect, timeout, close) and an answer or data that is still due.

Each is forced on real sockets, over both wire protocols where it applies. ``docs/design/endings.md`` has the
table of them.
"""

from __future__ import annotations

import json
import socket
import struct
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from network import REQUEST_CLASS, SETTINGS, ProxyNetwork, create_networks, free_port

from arrowseam.client_request import DEADLINE_MARGIN
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.listener import Listener
from arrowseam.net.task import Coroutine
from arrowseam.protocols.edge import server as edge_server
from arrowseam.protocols.nats import server as nats_server


@pytest.fixture(params=["lines", "nats"])
def world(request: pytest.FixtureRequest) -> Iterator[Callable[..., ProxyNetwork]]:
    yield from create_networks(request.param)


@pytest.fixture
def line_world() -> Iterator[Callable[..., ProxyNetwork]]:
    """For tests that do not depend on the wire protocol."""
    yield from create_networks("lines")


class RawClient:
    """A client outside the event loop, so that everything it does happens at once."""

    def __init__(self, w: ProxyNetwork) -> None:
        self.w, self.got, self.reset, self.eof = w, b"", False, False
        self.sock = socket.create_connection(w.address, timeout=5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def open(self, number: int = 1, klass: bytes = b"tech") -> RawClient:
        self.sock.sendall(self.w.messages["open"](number, klass))
        return self

    def leave(self, how: str) -> None:
        if how == "bytes":  # more than is buffered of a waiting client, followed by the end
            self.sock.setblocking(False)
            size = 0
            while size < 60_000:
                try:
                    size += self.sock.send(b"x" * 60_000)
                except BlockingIOError:
                    break
        if how == "rst":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def read(self) -> bytes:
        """Everything received so far."""
        self.sock.setblocking(False)
        while not self.eof:
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                break
            except ConnectionError:
                self.reset = self.eof = True
                break
            self.eof = not data
            self.got += data
        return self.got

    def ended(self) -> bool:
        self.read()
        return self.eof

    def has(self, word: str) -> bool:
        return self.w.messages[word] in self.read()


def count_openings(w: ProxyNetwork) -> int:
    """How many attempts have sent their opening to any endpoint."""
    word = b"OPEN " if w.wire == "lines" else b"CONNECT "
    return sum(word in got for server in w.servers for got in server.received)


def block(seconds: float) -> None:
    """Block the process in the middle of a round of the event loop."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        pass


def with_effect(effect: str, **fields: Any) -> dict[str, Any]:
    return {"lanes": [REQUEST_CLASS | {"effect": effect} | fields, SETTINGS["lanes"][1]]}


# --- the end of the process -------------------------------------------------------------------------------


def test_clients_in_the_accept_queue_at_the_shutdown_are_answered(world, monkeypatch):
    """Clients in the accept queue were accepted at the last moment and reset when the process ended."""
    w = world("up")
    late: list[RawClient] = []
    close = Listener.close

    def closing(listener: Listener) -> None:
        if listener.address == w.address:
            late.extend([RawClient(w).open(7), RawClient(w)])
        close(listener)

    monkeypatch.setattr(Listener, "close", closing)
    w.handler.shutdown.begin()
    w.until(lambda: w.loop.stopped and late)
    assert late[0].has("rejected")
    assert late[1].has("rejected")
    assert not any(c.reset for c in late)
    assert not count_openings(w)


@pytest.mark.parametrize("half", [0, 6])
@pytest.mark.parametrize("sends", [False, True])
def test_an_idle_client_is_answered_at_the_shutdown_even_if_it_sends(world, monkeypatch, sends, half):
    """It has sent nothing, or half a line."""
    w = world("up")
    idle_client = RawClient(w)
    idle_client.sock.sendall(w.messages["open"](1, b"tech")[:half])
    w.until(lambda: len(w.loop.expendable) == 1)
    end = Connection.shutdown_write

    def ending(conn: Connection) -> None:
        if sends and conn.sock.getpeername() == idle_client.sock.getsockname():
            idle_client.open()
        end(conn)

    monkeypatch.setattr(Connection, "shutdown_write", ending)
    w.handler.shutdown.begin()
    w.until(idle_client.ended)
    assert w.handler.shutdown.is_closing
    assert idle_client.has("rejected")
    assert not idle_client.reset
    assert not count_openings(w)


@pytest.mark.parametrize(
    ("effect", "fields", "word"),
    [
        ("retryable", {}, "rejected"),
        ("fragile", {}, "failed"),
        ("dedup", {"key_scope": "all", "key_ttl": SECOND}, "rejected"),
        ("dedup", {"key_scope": "zone", "key_ttl": SECOND}, "failed"),
    ],
)
def test_an_attempt_aborted_by_the_shutdown_is_rejected_if_it_may_be_repeated(world, effect, fields, word):
    """Every request was rejected as safe to retry, although a silent endpoint may have executed it."""
    caps = SETTINGS["caps"] | {"max_attempts": 1}  # a single attempt may take the whole deadline
    w = world("silent", caps=caps, **with_effect(effect, **fields))
    client = w.client()
    w.until(opening_counter(w))
    w.handler.shutdown.begin()
    w.until(lambda: client.ended_at)
    assert client.ended_at - client.began < 1.75 * SECOND  # by the drain, not by its deadline
    assert client.has(word)
    assert client.answers == 1


def opening_counter(w: ProxyNetwork) -> Callable[[], int]:
    return lambda: count_openings(w)


def test_a_request_between_two_attempts_at_the_shutdown_gets_one_answer_and_no_attempt(world):
    """Its endpoint has rejected it, and no other is available before the last moment."""
    w = world("busy", "up", known=False)
    client = w.client()
    w.until(lambda: w.handler.active)
    w.update_list(s0={})
    w.until(opening_counter(w))
    w.handler.shutdown.begin()
    w.until(lambda: client.ended_at)
    assert client.has("rejected")
    assert client.answers == 1
    assert count_openings(w) == 1
    w.update_list(s1={})
    w.until(lambda: w.handler.shutdown.is_closing)
    assert not w.servers[1].received


def test_a_request_that_cannot_have_run_is_rejected_at_the_shutdown_whatever_its_class(world):
    w = world("up", known=False, **with_effect("fragile"))
    client = w.client()
    w.until(lambda: w.handler.active)
    w.handler.shutdown.begin()
    w.until(lambda: client.ended_at)
    assert client.has("rejected")
    assert client.answers == 1


def test_a_request_accepted_by_its_endpoint_at_the_shutdown_is_served_and_migrated(world):
    """UP in the round of the last moment: one answer, and no connection closed without MOVE."""
    w = world("silent", caps=SETTINGS["caps"] | {"max_attempts": 1})  # it may take the whole deadline
    client = w.client()
    w.until(opening_counter(w))
    w.handler.shutdown.begin()
    (request,) = w.handler.active.values()

    w.until(lambda: request.is_aborted)
    w.servers[0].send_to_all(b"UP r1\r\n" if w.wire == "lines" else b"PONG\r\n")
    w.until(lambda: client.ended_at)
    moved = client.has("moved")
    # The silent endpoint's one PONG answers the proxy's PING; the client's own PING stays unanswered.
    assert client.answers == (1 if w.wire == "lines" or not moved else 0)
    assert moved or client.has("rejected")


def test_a_peer_that_does_not_close_does_not_hold_the_process_beyond_its_time(world):
    """The process read from it for five seconds, and was killed with other answers still unsent."""
    w = world("up")
    raw = RawClient(w).open()
    w.until(lambda: raw.has("up"))
    w.handler.shutdown.begin()
    began = clock()

    def keeps_sending() -> bool:
        try:
            raw.sock.send(b"still here\r\n" if w.wire == "lines" else b"PUB a 2\r\nhi\r\n")
        except OSError:
            return True
        return w.loop.stopped

    w.until(lambda: keeps_sending() and w.loop.stopped, 8)
    assert clock() - began < (1.8 + 0.7) * SECOND
    assert raw.has("moved")


def test_half_a_line_of_an_endpoint_does_not_prevent_the_migration_message(world):
    w = world("up")
    (client,) = w.up()
    w.servers[0].send_to_all(w.messages["half"])
    w.handler.shutdown.begin()
    w.until(lambda: client.ended_at and w.loop.stopped)
    assert client.has("moved")
    assert w.messages["half"] not in client.got


def test_signals_during_the_shutdown_do_not_change_its_end(world, tmp_path):
    """A second SIGTERM, and SIGHUP with a new address of discovery at the same moment."""
    w = world("up", "up")
    clients = w.up(6)
    path, nats_path = tmp_path / "config.json", tmp_path / "nats.json"
    nats_path.write_text(json.dumps(w.nats))
    path.write_text(json.dumps(w.doc | {"discovery": f"127.0.0.1:{free_port()}"}))
    w.handler.shutdown.begin()
    began = clock()
    w.handler.shutdown.begin()
    w.proxy.reload(str(path), str(nats_path))
    w.run(0.1)
    w.handler.shutdown.begin()
    w.until(lambda: w.loop.stopped and not w.handler.active)
    assert all(c.has("moved") for c in clients)
    assert clock() - began < (1.8 + 0.7) * SECOND


# --- clients that have left -------------------------------------------------------------------------------

WAYS_TO_LEAVE = ["fin", "rst", "bytes"]


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_a_client_that_left_while_queued_gets_no_attempt(world, how):
    w = world("up", known=False)
    raw = RawClient(w).open()
    w.until(lambda: w.handler.active)
    raw.leave(how)
    w.update_list(s0={})
    w.until(lambda: not w.handler.active and w.driver.ready_count)
    w.run(0.2)
    assert not count_openings(w)
    assert not w.driver._requests


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_a_client_that_left_before_it_was_accepted_gets_no_attempt(world, how):
    """The accept queue has everything: the opening, the data after it, and the end."""
    w = world("up")
    raw = RawClient(w).open()
    raw.leave(how)
    w.run(0.2)
    assert not count_openings(w)
    assert not w.handler.active


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
@pytest.mark.parametrize("first", ["busy", "reset"])
def test_a_client_that_leaves_in_the_round_of_an_answer_gets_no_retry(world, monkeypatch, how, first):
    """The round was blocked: the events of epoll were outdated when the next attempt was made."""
    w = world(first, first)
    raw = RawClient(w)
    report = w.driver.report_outcome
    ends: list[str] = []

    def reported(request: Any, end: str) -> None:
        ends.append(end)
        if len(ends) == 1:
            raw.leave(how)
            block(0.12)
        report(request, end)

    monkeypatch.setattr(w.driver, "report_outcome", reported)
    raw.open()
    w.until(lambda: ends and not w.handler.active)
    w.run(0.1)
    assert count_openings(w) == 1
    assert not w.driver._requests


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_a_client_that_leaves_during_the_connect_gets_no_attempt(world, monkeypatch, how):
    w = world("up")
    raw = RawClient(w)
    connect = w.loop.connect

    def slow(*args: Any, **fields: Any) -> Coroutine[Any]:
        conn = yield from connect(*args, **fields)
        if args[0][1] == w.servers[0].listener.address[1] and not raw.sock._closed:
            raw.leave(how)
            block(0.12)
        return conn

    monkeypatch.setattr(w.loop, "connect", slow)
    raw.open()
    w.until(lambda: raw.sock._closed and not w.handler.active)
    w.run(0.1)
    assert not count_openings(w)


# --- between the choice of an endpoint and the first byte -------------------------------------------------


def late_connect(
    w: ProxyNetwork, monkeypatch: pytest.MonkeyPatch, act: Callable[[int], Coroutine[None]]
) -> list[int]:
    """Run ``act`` between the choice of an endpoint and the use of its connection."""
    connect, ports = w.loop.connect, {s.listener.address[1] for s in w.servers}
    calls: list[int] = []

    def slow(*args: Any, **fields: Any) -> Coroutine[Any]:
        if args[0][1] in ports:
            calls.append(args[0][1])
            conn = yield from connect(*args, **fields)
            yield from act(len(calls))
            return conn
        return (yield from connect(*args, **fields))

    monkeypatch.setattr(w.loop, "connect", slow)
    return calls


def test_an_endpoint_that_drains_during_the_connect_gets_no_opening(world, monkeypatch):
    w = world("up", "up")
    w.until(lambda: w.calls)

    def drains(call: int) -> Coroutine[None]:
        if call == 1:
            name = next(s.name for s in w.servers if s.listener.address[1] == calls[0])
            w.update_list(**{name: {"lifecycle": "Terminating"}})
            while w.driver.ready_count == 2:
                yield clock() + MS

    calls = late_connect(w, monkeypatch, drains)
    raw = RawClient(w).open()
    w.until(lambda: raw.has("up"))
    first = next(s for s in w.servers if s.listener.address[1] == calls[0])
    word = b"OPEN " if w.wire == "lines" else b"CONNECT "
    assert not any(word in got for got in first.received)
    assert count_openings(w) == 1
    assert not w.driver.balancer.outliers.failing  # it is no failure of the endpoint


def test_no_retry_begins_after_the_deduplication_window(world, monkeypatch):
    """The endpoint was chosen within the window, and connected after its end."""
    window = 150 * MS
    w = world("reset", "reset", **with_effect("dedup", key_scope="all", key_ttl=window))

    def delays(call: int) -> Coroutine[None]:
        until = clock() + (2 * window if call == 2 else 0)
        while clock() < until:
            yield until

    calls = late_connect(w, monkeypatch, delays)
    client = w.client()
    w.until(lambda: client.ended_at)
    assert len(calls) == 2
    assert count_openings(w) == 1
    assert client.has("rejected")
    assert client.answers == 1


def test_an_endpoint_that_drains_while_a_request_is_queued_is_not_chosen(world):
    w = world("up", "up", known=False)
    raw = RawClient(w).open()
    w.until(lambda: w.handler.active)
    w.update_list(s0={"lifecycle": "Terminating"}, s1={})
    w.until(lambda: raw.has("up"))
    assert not w.servers[0].received
    assert len(w.servers[1].received) == 1


# --- the end of an attempt --------------------------------------------------------------------------------


def test_an_answer_in_the_round_of_its_timeout_is_the_only_one(world):
    """The process is blocked past the timeout, and the answer arrives meanwhile: it is accepted, or the
    attempt is closed; never both."""
    w = world("silent", "silent")
    raw = RawClient(w).open()
    w.until(opening_counter(w))
    first = next(s for s in w.servers if s.received)
    first.send_to_all(b"UP r1\r\n" if w.wire == "lines" else b"PONG\r\n")
    block(1.0)  # the attempt had 360 ms
    w.run(0.3)
    assert w.max_in_flight <= 1
    assert count_openings(w) == 1
    assert raw.got.count(w.messages["up"]) <= 1
    assert not raw.has("rejected")
    assert not raw.has("failed")


def test_the_final_answer_is_due_before_the_client_gives_up(world):
    """On NATS it was due at the end of the class's deadline, when the client had already given up."""
    w = world("silent")
    began = clock()
    w.client(1, b"resident")
    w.until(lambda: w.handler.active)
    (request,) = w.handler.active.values()
    due = request.request_class.deadline - DEADLINE_MARGIN
    assert began + due <= request.deadline <= clock() + due


def test_a_late_answer_to_an_attempt_that_was_given_up_goes_to_nobody(world):
    w = world("silent", "up")
    clients = [RawClient(w).open(n) for n in range(1, 9)]
    late = w.servers[0]
    w.until(lambda: late.live)
    answered: list[Connection] = []

    def answers_late() -> bool:
        """The endpoint answers on each connection that the proxy has given up."""
        for conn in late.live:
            if conn.hung_up and conn not in answered:
                answered.append(conn)
                conn.write(b"UP late\r\n" if w.wire == "lines" else b"PONG\r\n")
        return all(c.has("up") or c.ended() for c in clients)

    w.until(answers_late)
    w.run(0.1)
    assert all(c.read().count(w.messages["up"]) <= 1 and b"late" not in c.got for c in clients)
    assert any(c.has("up") for c in clients)


@pytest.mark.parametrize("answer", [b"", b"UP", b"UP r1", b"LOAD 1\r\nUP r"])
@pytest.mark.parametrize("reset", [False, True])
def test_an_incomplete_answer_does_not_count(line_world, answer, reset):
    w = line_world("silent", "silent", "up")
    client = w.client()

    def broken_off() -> bool:
        for server in w.servers[:2]:
            for conn in list(server.live):
                if any(b"OPEN" in got for got in server.received) and not conn.closed:
                    conn.write(answer)
                    conn.close(reset=reset)
        return client.answers > 0

    w.until(broken_off)
    assert client.has("up")
    assert client.answers == 1
    assert bytes(client.got).count(b"UP") == 1


def test_a_connect_that_times_out_has_never_run(world):
    """Whatever its class: nothing was sent, so the next endpoint is tried, or the request is rejected."""
    w = world("up", **with_effect("fragile"))
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    queued = [socket.socket() for _ in range(4)]
    for sock in queued:
        sock.setblocking(False)
        sock.connect_ex(full.getsockname())
    address = w.handler.attempts.endpoint_address
    w.handler.attempts.endpoint_address = lambda server: full.getsockname() if address(server) else None
    if w.wire == "nats":
        object.__setattr__(w.proxy.nats_server.nats_config, "overrides", {})
        object.__setattr__(w.proxy.nats_server.nats_config, "server_port", full.getsockname()[1])
    raw, began = RawClient(w).open(), clock()
    w.until(raw.ended)
    assert raw.has("rejected")
    assert not raw.has("failed")
    assert clock() - began < 1.9 * SECOND
    for sock in [full, *queued]:
        sock.close()


# --- closing ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("half", [b"", b"OPEN 1"])
def test_a_client_closed_for_lack_of_descriptors_is_told_why_even_if_it_sends(world, monkeypatch, half):
    """Bytes that arrived after the last read caused a reset, which discarded the answer."""
    w = world("up")
    idle_client = RawClient(w)
    idle_client.sock.sendall(half if w.wire == "lines" else half.replace(b"OPEN 1", b"CONN"))
    w.until(lambda: len(w.loop.expendable) == 1)
    w.run(0.05)
    write = Connection.write

    def writing(conn: Connection, data: bytes) -> int:
        if conn in w.loop.expendable:
            idle_client.open()
        return write(conn, data)

    monkeypatch.setattr(Connection, "write", writing)
    w.loop.descriptor_limit = len(w.loop.watched) + 10
    w.loop.reclaim_descriptors()
    w.until(idle_client.ended)
    assert idle_client.has("rejected")
    assert not idle_client.reset


def test_an_idle_client_that_times_out_is_told_why_even_if_it_sends(world, monkeypatch):
    monkeypatch.setattr(edge_server, "OPENING_TIMEOUT", 100 * MS)
    monkeypatch.setattr(nats_server, "GREETING_TIMEOUT", 100 * MS)
    w = world("up")
    idle_client = RawClient(w)
    end = Connection.shutdown_write

    def ending(conn: Connection) -> None:
        end(conn)
        if conn.sock.getpeername() == idle_client.sock.getsockname():
            idle_client.open()

    monkeypatch.setattr(Connection, "shutdown_write", ending)
    w.until(idle_client.ended)
    assert idle_client.has("rejected") or b"-ERR" in idle_client.got
    assert not idle_client.reset
    idle_client.sock.close()
    w.until(lambda: not count_openings(w) and not w.loop.expendable)


def test_no_retry_after_where_the_settings_allow_none(world):
    w = world("up", caps=SETTINGS["caps"] | {"retry_after": False})
    w.handler.shutdown.begin()
    raw = RawClient(w).open()
    w.until(raw.ended)
    assert b"BUSY\r\n" in raw.got if w.wire == "lines" else b"Maximum Connections Exceeded'" in raw.got


def test_a_peer_that_never_closes_is_bounded_in_time_and_count(world):
    w = world("busy")
    base = len(w.loop.watched)
    clients = [RawClient(w).open(n) for n in range(30)]
    w.until(lambda: all(c.has("rejected") for c in clients))
    began = clock()
    w.until(lambda: len(w.loop.watched) <= base + 4, 4)  # discovery's two connections, and its calls
    assert clock() - began < 2 * SECOND
    assert not any(c.reset for c in clients)


@pytest.mark.parametrize("side", ["client", "server"])
def test_bytes_sent_just_before_a_close_arrive_before_it(world, side):
    """Small messages in close succession, the last of them followed by the end, in both directions."""
    w = world("up")
    raw = RawClient(w).open()
    w.until(lambda: raw.has("up"))
    messages = (
        [w.messages["half"] + w.messages["rest"]] * 20 if side == "server" else [w.messages["ask"]] * 20
    )
    w.until(lambda: w.servers[0].live)
    got = w.servers[0].received[0]
    if side == "server":
        conn = w.servers[0].live[0]
        for message in messages:
            assert conn.write(message) == len(message)
        conn.close()
        w.until(raw.ended)
        assert raw.got.endswith(b"".join(messages))
        assert not raw.reset
    else:
        for message in messages:
            raw.sock.sendall(message)
        raw.sock.shutdown(socket.SHUT_WR)
        w.until(lambda: bytes(got).endswith(b"".join(messages)))
        w.until(lambda: not w.handler.active)


# --- descriptors ------------------------------------------------------------------------------------------


def test_a_lack_of_descriptors_is_no_failure_of_an_endpoint(world):
    w = world("up", "up")
    raw = RawClient(w)
    w.until(lambda: w.loop.expendable)
    w.loop.descriptor_limit = len(w.loop.watched) + 4
    raw.open()
    w.until(raw.ended)
    assert raw.has("rejected")
    assert not count_openings(w)
    assert not w.driver.balancer.outliers.failing


def test_a_queued_request_has_a_descriptor_reserved(world):
    """500 clients were accepted while no endpoint was known; then no descriptor was left for attempts."""
    w = world("up", known=False)
    free = 120
    w.loop.descriptor_limit = len(w.loop.watched) + free
    clients: list[RawClient] = []
    while not any(c.ended() for c in clients):  # one after the other
        clients.append(RawClient(w).open(len(clients)))
        w.until(lambda: len(w.handler.active) == len(clients) or clients[-1].ended())
    queued = len(w.handler.active)
    assert queued >= 5
    assert 2 * queued <= free - 8
    w.update_list(s0={})
    w.until(lambda: sum(c.has("up") for c in clients) == queued)


# --- floods -----------------------------------------------------------------------------------------------


FLOOD_SCRIPT = """
import socket, sys, time
listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)
sock, _ = listener.accept()
stop = time.monotonic() + 4
data = sys.argv[1].encode() * 2000
while time.monotonic() < stop:
    sock.sendall(data)
"""


def test_an_endpoint_that_never_finishes_its_answer_does_not_hold_up_others(world):
    """Its bytes were read for as long as it sent them, and the event loop did nothing else meanwhile."""
    w = world("up")
    message = b"LOAD 1.0\r\n" if w.wire == "lines" else w.messages["greeting"]
    flood = subprocess.Popen([sys.executable, "-c", FLOOD_SCRIPT, message.decode()], stdout=subprocess.PIPE)
    assert flood.stdout is not None
    port = int(flood.stdout.readline())
    address = w.handler.attempts.endpoint_address
    flooding: list[str] = []

    def flood_first(endpoint: str) -> Any:
        if not flooding:
            flooding.append(endpoint)
            return ("127.0.0.1", port)
        return address(endpoint)

    w.handler.attempts.endpoint_address = flood_first  # type: ignore[method-assign]
    override = w.proxy.nats_server.nats_config.endpoint_address if w.proxy.nats_server else None
    if w.wire == "nats" and override is not None:
        object.__setattr__(w.proxy.nats_server.nats_config, "overrides", {})
        object.__setattr__(w.proxy.nats_server.nats_config, "server_port", port)
    victim = RawClient(w).open(1, b"resident")
    began = clock()
    try:
        w.until(lambda: bool(flooding) and victim.ended(), 8)
        assert clock() - began < 0.7 * SECOND
        assert w.longest_round_s < 0.3
    finally:
        flood.kill()
        flood.wait()
        flood.stdout.close()


def test_a_good_client_is_served_among_many_that_are_idle_slow_or_noisy(world):
    w = world("up")
    w.until(lambda: w.calls)
    w.loop.descriptor_limit = len(w.loop.watched) + 150
    idle = [RawClient(w) for _ in range(60)]
    slow = [RawClient(w) for _ in range(60)]
    noisy = [RawClient(w) for _ in range(10)]
    for client in noisy:
        client.sock.setblocking(False)
        client.sock.send(b"k" * 65536)
        client.sock.close()
    rounds = 0

    def send_slowly() -> bool:
        nonlocal rounds
        rounds += 1
        for client in slow:
            try:
                client.sock.send(b"O" if w.wire == "lines" else b"C")
            except OSError:
                continue
        return rounds > 20

    w.until(send_slowly)
    good = RawClient(w).open()
    began = clock()
    w.until(lambda: send_slowly() and good.has("up"))
    assert clock() - began < SECOND
    most_connections = 0

    def have_ended() -> bool:
        nonlocal most_connections
        send_slowly()
        most_connections = max(
            most_connections, sum(isinstance(c, Connection) for c in w.loop.watched.values())
        )
        return all(c.ended() for c in [*idle, *slow])

    w.until(have_ended, 6)  # without a trigger, and with an answer
    assert most_connections <= w.loop.descriptor_limit
    assert not good.ended()


# --- the start --------------------------------------------------------------------------------------------


@pytest.mark.parametrize("mode", ["refused", "silent", "never up"])
@pytest.mark.parametrize("registry", ["subscribe", "automatic"])
def test_a_proxy_is_ready_whatever_discovery_does(tmp_path: Path, mode: str, registry: str):
    port, path = free_port(), tmp_path / "config.json"
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    queued = [socket.socket() for _ in range(4 if mode == "never up" else 0)]
    for sock in queued:  # never accepted: further connections are not established
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    address = "127.0.0.1:1" if mode == "refused" else f"127.0.0.1:{listener.getsockname()[1]}"
    doc = {"listen": f"127.0.0.1:{port}", "discovery": address, "seed": "1",
           "settings": SETTINGS | {"registry_mode": registry}}  # fmt: skip
    path.write_text(json.dumps(doc))
    began = time.monotonic()
    process = subprocess.Popen([sys.executable, "-m", "arrowseam", "serve", "--config", str(path)])
    try:
        answer = b""
        while not answer and time.monotonic() - began < 10:
            try:
                with socket.create_connection(("127.0.0.1", port), timeout=5) as conn:
                    conn.sendall(b"PING\r\n")
                    answer = conn.recv(100)
            except ConnectionRefusedError:
                time.sleep(0.02)
        assert answer == b"PONG\r\n"
        assert time.monotonic() - began < 10
    finally:
        process.kill()
        process.wait()
        for sock in [listener, *queued]:
            sock.close()
