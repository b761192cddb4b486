"""Whatever ends something, at the instant in which something is still owed: each crossing is forced, on real
sockets, on both fronts where it applies. ``docs/design/endings.md`` has the table of them."""

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
from network import LANE, SETTINGS, World, create_worlds, free_port

from arrowseam.client_request import DEADLINE_MARGIN
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.listener import Listener
from arrowseam.net.task import Coroutine
from arrowseam.protocols.edge import server as edge_server
from arrowseam.protocols.nats import server as nats_server


@pytest.fixture(params=["lines", "nats"])
def world(request: pytest.FixtureRequest) -> Iterator[Callable[..., World]]:
    yield from create_worlds(request.param)


@pytest.fixture
def plain() -> Iterator[Callable[..., World]]:
    """For what no front has a part in."""
    yield from create_worlds("lines")


class Raw:
    """A client outside the loop, so that what it does happens at the very moment at which it is told to."""

    def __init__(self, w: World) -> None:
        self.w, self.got, self.reset, self.eof = w, b"", False, False
        self.sock = socket.create_connection(w.address, timeout=5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def open(self, number: int = 1, klass: bytes = b"tech") -> Raw:
        self.sock.sendall(self.w.words["open"](number, klass))
        return self

    def leave(self, how: str) -> None:
        if how == "bytes":  # more than is held of anybody who waits, and the end behind it
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
        """All that has come."""
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
        return self.w.words[word] in self.read()


def openings(w: World) -> int:
    """Attempts that have begun at any server."""
    word = b"OPEN " if w.wire == "lines" else b"CONNECT "
    return sum(word in got for server in w.servers for got in server.heard)


def stall(seconds: float) -> None:
    """The process stands still, in the middle of a round."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        pass


def lane(effect: str, **fields: Any) -> dict[str, Any]:
    return {"lanes": [LANE | {"effect": effect} | fields, SETTINGS["lanes"][1]]}


# --- the end of the process -------------------------------------------------------------------------------


def test_clients_in_the_accept_queue_at_the_shutdown_are_answered(world, monkeypatch):
    """Whoever was in the accept queue was taken at the last moment and reset: nobody waited for them."""
    w = world("up")
    late: list[Raw] = []
    close = Listener.close

    def closing(listener: Listener) -> None:
        if listener.address == w.address:
            late.extend([Raw(w).open(7), Raw(w)])
        close(listener)

    monkeypatch.setattr(Listener, "close", closing)
    w.handler.shutdown.begin()
    w.until(lambda: w.loop.stopped and late)
    assert late[0].has("rejected")
    assert late[1].has("rejected")
    assert not any(c.reset for c in late)
    assert not openings(w)


@pytest.mark.parametrize("half", [0, 6])
@pytest.mark.parametrize("speaks", [False, True])
def test_an_idle_client_is_answered_at_the_shutdown_even_if_it_sends(world, monkeypatch, speaks, half):
    """Having said nothing, or half a line."""
    w = world("up")
    resting = Raw(w)
    resting.sock.sendall(w.words["open"](1, b"tech")[:half])
    w.until(lambda: len(w.loop.expendable) == 1)
    end = Connection.shutdown_write

    def ending(conn: Connection) -> None:
        if speaks and conn.sock.getpeername() == resting.sock.getsockname():
            resting.open()
        end(conn)

    monkeypatch.setattr(Connection, "shutdown_write", ending)
    w.handler.shutdown.begin()
    w.until(resting.ended)
    assert w.handler.shutdown.is_closing
    assert resting.has("rejected")
    assert not resting.reset
    assert not openings(w)


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
    """All were told that trying again is harmless, whatever a silent server may have done meanwhile."""
    one = SETTINGS["caps"] | {"max_attempts": 1}  # which has all the time there is
    w = world("silent", caps=one, **lane(effect, **fields))
    client = w.client()
    w.until(openings_of(w))
    w.handler.shutdown.begin()
    w.until(lambda: client.ended_at)
    assert client.ended_at - client.began < 1.75 * SECOND  # by the drain, not by its deadline
    assert client.has(word)
    assert client.answers == 1


def openings_of(w: World) -> Callable[[], int]:
    return lambda: openings(w)


def test_a_request_between_two_attempts_at_the_shutdown_gets_one_answer_and_no_attempt(world):
    """Its server has refused it, and none other is to be had before the last moment."""
    w = world("busy", "up", known=False)
    client = w.client()
    w.until(lambda: w.handler.active)
    w.tell(s0={})
    w.until(openings_of(w))
    w.handler.shutdown.begin()
    w.until(lambda: client.ended_at)
    assert client.has("rejected")
    assert client.answers == 1
    assert openings(w) == 1
    w.tell(s1={})
    w.until(lambda: w.handler.shutdown.is_closing)
    assert not w.servers[1].heard


def test_a_request_that_cannot_have_run_is_rejected_at_the_shutdown_whatever_its_class(world):
    w = world("up", known=False, **lane("fragile"))
    client = w.client()
    w.until(lambda: w.handler.active)
    w.handler.shutdown.begin()
    w.until(lambda: client.ended_at)
    assert client.has("rejected")
    assert client.answers == 1


def test_a_request_accepted_by_its_endpoint_at_the_shutdown_is_served_and_migrated(world):
    """UP in the round in which the last moment comes: one answer, and never a cut without MOVE."""
    w = world("silent", caps=SETTINGS["caps"] | {"max_attempts": 1})  # which has all the time there is
    client = w.client()
    w.until(openings_of(w))
    w.handler.shutdown.begin()
    (request,) = w.handler.active.values()

    w.until(lambda: request.is_aborted)
    w.servers[0].say(b"UP r1\r\n" if w.wire == "lines" else b"PONG\r\n")
    w.until(lambda: client.ended_at)
    moved = client.has("moved")
    # The silent server's one PONG is for our PING; the client's own is never answered there.
    assert client.answers == (1 if w.wire == "lines" or not moved else 0)
    assert moved or client.has("rejected")


def test_a_peer_that_does_not_close_does_not_hold_the_process_beyond_its_time(world):
    """It was heard out for five seconds, and the process was killed with all that it still had to say."""
    w = world("up")
    raw = Raw(w).open()
    w.until(lambda: raw.has("up"))
    w.handler.shutdown.begin()
    began = clock()

    def talking() -> bool:
        try:
            raw.sock.send(b"still here\r\n" if w.wire == "lines" else b"PUB a 2\r\nhi\r\n")
        except OSError:
            return True
        return w.loop.stopped

    w.until(lambda: talking() and w.loop.stopped, 8)
    assert clock() - began < (1.8 + 0.7) * SECOND
    assert raw.has("moved")


def test_half_a_line_of_an_endpoint_does_not_prevent_the_migration_message(world):
    w = world("up")
    (client,) = w.up()
    w.servers[0].say(w.words["half"])
    w.handler.shutdown.begin()
    w.until(lambda: client.ended_at and w.loop.stopped)
    assert client.has("moved")
    assert w.words["half"] not in client.got


def test_signals_during_the_shutdown_do_not_change_its_end(world, tmp_path):
    """A second SIGTERM; SIGHUP with discovery that moves in the same moment."""
    w = world("up", "up")
    seen = w.up(6)
    path, second = tmp_path / "config.json", tmp_path / "nats.json"
    second.write_text(json.dumps(w.nats))
    path.write_text(json.dumps(w.doc | {"discovery": f"127.0.0.1:{free_port()}"}))
    w.handler.shutdown.begin()
    began = clock()
    w.handler.shutdown.begin()
    w.proxy.reload(str(path), str(second))
    w.run(0.1)
    w.handler.shutdown.begin()
    w.until(lambda: w.loop.stopped and not w.handler.active)
    assert all(c.has("moved") for c in seen)
    assert clock() - began < (1.8 + 0.7) * SECOND


# --- clients that are gone --------------------------------------------------------------------------------

GONE = ["fin", "rst", "bytes"]


@pytest.mark.parametrize("how", GONE)
def test_a_client_that_left_while_queued_gets_no_attempt(world, how):
    w = world("up", known=False)
    raw = Raw(w).open()
    w.until(lambda: w.handler.active)
    raw.leave(how)
    w.tell(s0={})
    w.until(lambda: not w.handler.active and w.driver.ready_count)
    w.run(0.2)
    assert not openings(w)
    assert not w.driver._requests


@pytest.mark.parametrize("how", GONE)
def test_a_client_that_left_before_it_was_accepted_gets_no_attempt(world, how):
    """All of it lies in the accept queue: the opening, what came behind it, and the end."""
    w = world("up")
    raw = Raw(w).open()
    raw.leave(how)
    w.run(0.2)
    assert not openings(w)
    assert not w.handler.active


@pytest.mark.parametrize("how", GONE)
@pytest.mark.parametrize("first", ["busy", "reset"])
def test_a_client_that_leaves_in_the_round_of_an_answer_gets_no_retry(world, monkeypatch, how, first):
    """The round stood still: what epoll said at its beginning was old when the next attempt went out."""
    w = world(first, first)
    raw = Raw(w)
    report = w.driver.report_outcome
    ends: list[str] = []

    def reported(request: Any, end: str) -> None:
        ends.append(end)
        if len(ends) == 1:
            raw.leave(how)
            stall(0.12)
        report(request, end)

    monkeypatch.setattr(w.driver, "report_outcome", reported)
    raw.open()
    w.until(lambda: ends and not w.handler.active)
    w.run(0.1)
    assert openings(w) == 1
    assert not w.driver._requests


@pytest.mark.parametrize("how", GONE)
def test_a_client_that_leaves_during_the_connect_gets_no_attempt(world, monkeypatch, how):
    w = world("up")
    raw = Raw(w)
    connect = w.loop.connect

    def slow(*args: Any, **fields: Any) -> Coroutine[Any]:
        conn = yield from connect(*args, **fields)
        if args[0][1] == w.servers[0].listener.address[1] and not raw.sock._closed:
            raw.leave(how)
            stall(0.12)
        return conn

    monkeypatch.setattr(w.loop, "connect", slow)
    raw.open()
    w.until(lambda: raw.sock._closed and not w.handler.active)
    w.run(0.1)
    assert not openings(w)


# --- between the choice of a server and the first byte ----------------------------------------------------


def late_connect(
    w: World, monkeypatch: pytest.MonkeyPatch, act: Callable[[int], Coroutine[None]]
) -> list[int]:
    """Something happens between the choice of a server and the moment its connection is up."""
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
            w.tell(**{name: {"lifecycle": "Terminating"}})
            while w.driver.ready_count == 2:
                yield clock() + MS

    calls = late_connect(w, monkeypatch, drains)
    raw = Raw(w).open()
    w.until(lambda: raw.has("up"))
    first = next(s for s in w.servers if s.listener.address[1] == calls[0])
    word = b"OPEN " if w.wire == "lines" else b"CONNECT "
    assert not any(word in got for got in first.heard)
    assert openings(w) == 1
    assert not w.driver.balancer.outliers.failing  # it is no fault of the server's


def test_no_retry_begins_after_the_deduplication_window(world, monkeypatch):
    """It was chosen within the window, and its connection came up after it."""
    window = 150 * MS
    w = world("reset", "reset", **lane("dedup", key_scope="all", key_ttl=window))

    def comes_late(call: int) -> Coroutine[None]:
        until = clock() + (2 * window if call == 2 else 0)
        while clock() < until:
            yield until

    calls = late_connect(w, monkeypatch, comes_late)
    client = w.client()
    w.until(lambda: client.ended_at)
    assert len(calls) == 2
    assert openings(w) == 1
    assert client.has("rejected")
    assert client.answers == 1


def test_an_endpoint_that_drains_while_a_request_is_queued_is_not_chosen(world):
    w = world("up", "up", known=False)
    raw = Raw(w).open()
    w.until(lambda: w.handler.active)
    w.tell(s0={"lifecycle": "Terminating"}, s1={})
    w.until(lambda: raw.has("up"))
    assert not w.servers[0].heard
    assert len(w.servers[1].heard) == 1


# --- the end of an attempt --------------------------------------------------------------------------------


def test_an_answer_in_the_round_of_its_time_out_is_the_only_one(world):
    """The process stood still past the time-out, and the answer had come meanwhile: it is taken, or the
    server is left and hears no more; never both."""
    w = world("silent", "silent")
    raw = Raw(w).open()
    w.until(openings_of(w))
    first = next(s for s in w.servers if s.heard)
    first.say(b"UP r1\r\n" if w.wire == "lines" else b"PONG\r\n")
    stall(1.0)  # the attempt had 360 ms
    w.run(0.3)
    assert w.most_flying <= 1
    assert openings(w) == 1
    assert raw.got.count(w.words["up"]) <= 1
    assert not raw.has("rejected")
    assert not raw.has("failed")


def test_the_final_answer_is_due_before_the_client_gives_up(world):
    """On NATS it was due at the end of the class's deadline, when the client had gone."""
    w = world("silent")
    began = clock()
    w.client(1, b"resident")
    w.until(lambda: w.handler.active)
    (request,) = w.handler.active.values()
    due = request.request_class.deadline - DEADLINE_MARGIN
    assert began + due <= request.deadline <= clock() + due


def test_a_late_answer_to_an_attempt_that_was_given_up_goes_to_nobody(world):
    w = world("silent", "up")
    seen = [Raw(w).open(n) for n in range(1, 9)]
    late = w.servers[0]
    w.until(lambda: late.live)
    answered: list[Connection] = []

    def speaks_late() -> bool:
        """Each time one of its connections is given up, it answers there all the same."""
        for conn in late.live:
            if conn.hung_up and conn not in answered:
                answered.append(conn)
                conn.write(b"UP late\r\n" if w.wire == "lines" else b"PONG\r\n")
        return all(c.has("up") or c.ended() for c in seen)

    w.until(speaks_late)
    w.run(0.1)
    assert all(c.read().count(w.words["up"]) <= 1 and b"late" not in c.got for c in seen)
    assert any(c.has("up") for c in seen)


@pytest.mark.parametrize("said", [b"", b"UP", b"UP r1", b"LOAD 1\r\nUP r"])
@pytest.mark.parametrize("reset", [False, True])
def test_an_answer_that_breaks_off_is_none(plain, said, reset):
    w = plain("silent", "silent", "up")
    client = w.client()

    def broken_off() -> bool:
        for server in w.servers[:2]:
            for conn in list(server.live):
                if any(b"OPEN" in got for got in server.heard) and not conn.closed:
                    conn.write(said)
                    conn.close(reset=reset)
        return client.answers > 0

    w.until(broken_off)
    assert client.has("up")
    assert client.answers == 1
    assert bytes(client.got).count(b"UP") == 1


def test_a_connect_that_times_out_has_never_run(world):
    """Whatever the class: nothing was written, so the next server is asked, or it is refused."""
    w = world("up", **lane("fragile"))
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    taken = [socket.socket() for _ in range(4)]
    for one in taken:
        one.setblocking(False)
        one.connect_ex(full.getsockname())
    address = w.handler.attempts.endpoint_address
    w.handler.attempts.endpoint_address = lambda server: full.getsockname() if address(server) else None
    if w.wire == "nats":
        object.__setattr__(w.proxy.nats_server.nats_config, "overrides", {})
        object.__setattr__(w.proxy.nats_server.nats_config, "server_port", full.getsockname()[1])
    raw, began = Raw(w).open(), clock()
    w.until(raw.ended)
    assert raw.has("rejected")
    assert not raw.has("failed")
    assert clock() - began < 1.9 * SECOND
    for one in [full, *taken]:
        one.close()


# --- closing ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("half", [b"", b"OPEN 1"])
def test_a_client_closed_for_want_of_descriptors_reads_why_even_if_it_sends(world, monkeypatch, half):
    """Its own bytes, come after we looked last, brought about a reset that took our word with it."""
    w = world("up")
    resting = Raw(w)
    resting.sock.sendall(half if w.wire == "lines" else half.replace(b"OPEN 1", b"CONN"))
    w.until(lambda: len(w.loop.expendable) == 1)
    w.run(0.05)
    write = Connection.write

    def writing(conn: Connection, data: bytes) -> int:
        if conn in w.loop.expendable:
            resting.open()
        return write(conn, data)

    monkeypatch.setattr(Connection, "write", writing)
    w.loop.descriptor_limit = len(w.loop.watched) + 10
    w.loop.reclaim_descriptors()
    w.until(resting.ended)
    assert resting.has("rejected")
    assert not resting.reset


def test_an_idle_client_that_times_out_reads_why_even_if_it_sends(world, monkeypatch):
    monkeypatch.setattr(edge_server, "OPENING_TIMEOUT", 100 * MS)
    monkeypatch.setattr(nats_server, "GREETING_TIMEOUT", 100 * MS)
    w = world("up")
    resting = Raw(w)
    end = Connection.shutdown_write

    def ending(conn: Connection) -> None:
        end(conn)
        if conn.sock.getpeername() == resting.sock.getsockname():
            resting.open()

    monkeypatch.setattr(Connection, "shutdown_write", ending)
    w.until(resting.ended)
    assert resting.has("rejected") or b"-ERR" in resting.got
    assert not resting.reset
    resting.sock.close()
    w.until(lambda: not openings(w) and not w.loop.expendable)


def test_no_retry_after_where_the_settings_allow_none(world):
    w = world("up", caps=SETTINGS["caps"] | {"retry_after": False})
    w.handler.shutdown.begin()
    raw = Raw(w).open()
    w.until(raw.ended)
    assert b"BUSY\r\n" in raw.got if w.wire == "lines" else b"Maximum Connections Exceeded'" in raw.got


def test_a_peer_that_never_closes_is_bounded_in_time_and_count(world):
    w = world("busy")
    base = len(w.loop.watched)
    seen = [Raw(w).open(n) for n in range(30)]
    w.until(lambda: all(c.has("rejected") for c in seen))
    began = clock()
    w.until(lambda: len(w.loop.watched) <= base + 4, 4)  # discovery's two connections, and what it asks
    assert clock() - began < 2 * SECOND
    assert not any(c.reset for c in seen)


@pytest.mark.parametrize("side", ["client", "server"])
def test_bytes_sent_just_before_a_close_arrive_before_it(world, side):
    """Small words, one right after the other, the last of them with the end behind it, in both directions."""
    w = world("up")
    raw = Raw(w).open()
    w.until(lambda: raw.has("up"))
    words = [w.words["half"] + w.words["rest"]] * 20 if side == "server" else [w.words["ask"]] * 20
    w.until(lambda: w.servers[0].live)
    got = w.servers[0].heard[0]
    if side == "server":
        conn = w.servers[0].live[0]
        for word in words:
            assert conn.write(word) == len(word)
        conn.close()
        w.until(raw.ended)
        assert raw.got.endswith(b"".join(words))
        assert not raw.reset
    else:
        for word in words:
            raw.sock.sendall(word)
        raw.sock.shutdown(socket.SHUT_WR)
        w.until(lambda: bytes(got).endswith(b"".join(words)))
        w.until(lambda: not w.handler.active)


# --- descriptors ------------------------------------------------------------------------------------------


def test_a_lack_of_descriptors_is_no_failure_of_an_endpoint(world):
    w = world("up", "up")
    raw = Raw(w)
    w.until(lambda: w.loop.expendable)
    w.loop.descriptor_limit = len(w.loop.watched) + 4
    raw.open()
    w.until(raw.ended)
    assert raw.has("rejected")
    assert not openings(w)
    assert not w.driver.balancer.outliers.failing


def test_a_queued_request_has_a_descriptor_reserved(world):
    """Five hundred were let in while no server was known, and then had nothing left to call one with."""
    w = world("up", known=False)
    free = 120
    w.loop.descriptor_limit = len(w.loop.watched) + free
    seen: list[Raw] = []
    while not any(c.ended() for c in seen):  # one after the other
        seen.append(Raw(w).open(len(seen)))
        w.until(lambda: len(w.handler.active) == len(seen) or seen[-1].ended())
    taken = len(w.handler.active)
    assert taken >= 5
    assert 2 * taken <= free - 8
    w.tell(s0={})
    w.until(lambda: sum(c.has("up") for c in seen) == taken)


# --- floods -----------------------------------------------------------------------------------------------


POUR = """
import socket, sys, time
listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)
sock, _ = listener.accept()
stop = time.monotonic() + 4
words = sys.argv[1].encode() * 2000
while time.monotonic() < stop:
    sock.sendall(words)
"""


def test_an_endpoint_that_never_finishes_its_answer_does_not_hold_up_others(world):
    """Its words were read as fast as it said them, for as long as it did: nothing else was done meanwhile."""
    w = world("up")
    word = b"LOAD 1.0\r\n" if w.wire == "lines" else w.words["greeting"]
    flood = subprocess.Popen([sys.executable, "-c", POUR, word.decode()], stdout=subprocess.PIPE)
    assert flood.stdout is not None
    port = int(flood.stdout.readline())
    address = w.handler.attempts.endpoint_address
    poured: list[str] = []

    def first_there(server: str) -> Any:
        if not poured:
            poured.append(server)
            return ("127.0.0.1", port)
        return address(server)

    w.handler.attempts.endpoint_address = first_there  # type: ignore[method-assign]
    override = w.proxy.nats_server.nats_config.endpoint_address if w.proxy.nats_server else None
    if w.wire == "nats" and override is not None:
        object.__setattr__(w.proxy.nats_server.nats_config, "overrides", {})
        object.__setattr__(w.proxy.nats_server.nats_config, "server_port", port)
    victim = Raw(w).open(1, b"resident")
    began = clock()
    try:
        w.until(lambda: bool(poured) and victim.ended(), 8)
        assert clock() - began < 0.7 * SECOND
        assert w.stood < 0.3
    finally:
        flood.kill()
        flood.wait()
        flood.stdout.close()


def test_a_good_client_is_served_among_many_that_are_idle_slow_or_noisy(world):
    w = world("up")
    w.until(lambda: w.calls)
    w.loop.descriptor_limit = len(w.loop.watched) + 150
    idle = [Raw(w) for _ in range(60)]
    slow = [Raw(w) for _ in range(60)]
    noisy = [Raw(w) for _ in range(10)]
    for one in noisy:
        one.sock.setblocking(False)
        one.sock.send(b"k" * 65536)
        one.sock.close()
    typed = 0

    def typing() -> bool:
        nonlocal typed
        typed += 1
        for one in slow:
            try:
                one.sock.send(b"O" if w.wire == "lines" else b"C")
            except OSError:
                continue
        return typed > 20

    w.until(typing)
    good = Raw(w).open()
    began = clock()
    w.until(lambda: typing() and good.has("up"))
    assert clock() - began < SECOND
    most = 0

    def gone() -> bool:
        nonlocal most
        typing()
        most = max(most, sum(isinstance(c, Connection) for c in w.loop.watched.values()))
        return all(c.ended() for c in [*idle, *slow])

    w.until(gone, 6)  # by themselves, and with a word
    assert most <= w.loop.descriptor_limit
    assert not good.ended()


# --- the start --------------------------------------------------------------------------------------------


@pytest.mark.parametrize("mode", ["refused", "silent", "never up"])
@pytest.mark.parametrize("registry", ["subscribe", "automatic"])
def test_a_proxy_is_ready_whatever_discovery_does(tmp_path: Path, mode: str, registry: str):
    port, path = free_port(), tmp_path / "config.json"
    other = socket.create_server(("127.0.0.1", 0), backlog=0)
    full = [socket.socket() for _ in range(4 if mode == "never up" else 0)]
    for one in full:  # nobody takes them: further ones never come up
        one.setblocking(False)
        one.connect_ex(other.getsockname())
    address = "127.0.0.1:1" if mode == "refused" else f"127.0.0.1:{other.getsockname()[1]}"
    doc = {"listen": f"127.0.0.1:{port}", "discovery": address, "seed": "1",
           "settings": SETTINGS | {"registry_mode": registry}}  # fmt: skip
    path.write_text(json.dumps(doc))
    began = time.monotonic()
    child = subprocess.Popen([sys.executable, "-m", "arrowseam", "serve", "--config", str(path)])
    try:
        answer = b""
        while not answer and time.monotonic() - began < 10:
            try:
                with socket.create_connection(("127.0.0.1", port), timeout=5) as asker:
                    asker.sendall(b"PING\r\n")
                    answer = asker.recv(100)
            except ConnectionRefusedError:
                time.sleep(0.02)
        assert answer == b"PONG\r\n"
        assert time.monotonic() - began < 10
    finally:
        child.kill()
        child.wait()
        for one in [other, *full]:
            one.close()
