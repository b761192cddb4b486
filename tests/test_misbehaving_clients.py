"""Clients that write slowly, send without end, stop half way or come again: the others must not notice.

Some tests play scenarios of ``benchmarks/misbehaving_clients.py``: a real process with the platform's limits,
and misbehaving clients in processes of their own.
"""

from __future__ import annotations

import importlib.util
import socket
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from pathlib import Path
from types import ModuleType

import pytest
from network import ProxyNetwork, create_networks

from arrowseam.net.buffer import Buffer
from arrowseam.net.clock import clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.forwarding import Forwarder, MessageFramer
from arrowseam.protocols.edge.messages import LINE_BYTES_MAX, parse_opening
from arrowseam.protocols.edge.session import ClientLineFramer, EndpointLineFramer
from arrowseam.protocols.edge.used_ids import GENERATION_SIZE, UsedIds
from arrowseam.protocols.nats.framing import (
    OPERATIONS_PER_CALL,
    UNANSWERED_PINGS_MAX,
    ClientFramer,
    EndpointFramer,
)

SCRIPT = Path(__file__).parent.parent / "benchmarks" / "misbehaving_clients.py"
LATENCY_OBJECTIVE_S = 0.3  # of the class that the sound clients ask for
CLIENT_BUFFER_BYTES = 16384  # what a client may have buffered


def load_script() -> ModuleType:
    spec = importlib.util.spec_from_file_location("misbehaving_clients", SCRIPT)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


SCENES = load_script()


@pytest.fixture(params=["lines", "nats"])
def world(request: pytest.FixtureRequest) -> Iterator[Callable[..., ProxyNetwork]]:
    yield from create_networks(request.param)


@pytest.fixture
def line_world() -> Iterator[Callable[..., ProxyNetwork]]:
    yield from create_networks("lines")


@pytest.fixture
def nats_world() -> Iterator[Callable[..., ProxyNetwork]]:
    yield from create_networks("nats")


# --- what is blamed on an endpoint ----------------------------------------------------------------------


def test_a_client_that_stops_inside_a_message_does_not_count_against_its_endpoint(world):
    """Callers got BUSY while servers were idle: 150 clients that sent half a line had three of four servers
    taken for lost. A server owes an answer only to what it got whole.
    """
    w = world("deaf")
    (client,) = w.up()
    half = b"hel" if w.wire == "lines" else b"PUB a 100000\r\n" + b"x" * 50_000
    client.send(half)
    w.until(lambda: half in w.servers[0].received[-1])
    w.run(1.5)
    assert not client.ended_at
    assert not client.has("moved")
    client.send(b"lo\r\n" if w.wire == "lines" else b"x" * 50_000 + b"\r\nPING\r\n")
    w.until(lambda: client.has("moved"), 3)  # now it owes one


def test_a_reply_is_due_once_the_last_byte_of_a_message_is_written():
    """Not with the first byte, and not with a message that waits for the endpoint to read."""
    framer, received = ClientLineFramer(), Buffer(4096)
    received.append(b"one\r\ntw")
    assert (framer.release(received, 0), framer.reply_due_after) == (7, 5)
    received.append(b"o")
    assert (framer.release(received, 7), framer.reply_due_after) == (8, 0)
    pings = ClientFramer(1000)
    received = Buffer(4096)
    received.append(b"PUB a 1\r\nx\r\nPING\r\nPUB a 9\r\nx")
    assert (pings.release(received, 0), pings.reply_due_after) == (18, 18)

    loop, ends = EventLoop(), [socket.socketpair(), socket.socketpair()]
    client, endpoint = (Connection(loop, near) for near, _ in ends)
    client.readable = client.writable = endpoint.readable = True
    forwarder = Forwarder(client, endpoint, ClientLineFramer(), EndpointLineFramer())
    ends[0][1].send(b"hello\r\nhal")
    forwarder.forward()
    assert forwarder.reply_awaited_since is None  # the endpoint's socket does not accept anything yet
    endpoint.writable = True
    forwarder.forward()
    assert forwarder.reply_awaited_since is not None
    ends[1][1].send(b"hello\r\n")
    endpoint.readable = client.readable = True
    forwarder.forward()
    ends[0][1].send(b"f")
    client.readable = True
    forwarder.forward()
    assert forwarder.reply_awaited_since is None
    assert ends[1][1].recv(100) == b"hello\r\nhalf"


def test_a_client_that_does_not_read_does_not_count_against_its_endpoint():
    """The endpoint's answers wait behind those that the client does not read, so they cannot be seen."""
    loop, ends = EventLoop(), [socket.socketpair(), socket.socketpair()]
    client, endpoint = (Connection(loop, near) for near, _ in ends)
    endpoint.received.limit = 64
    client.readable = endpoint.readable = endpoint.writable = True  # the client's socket accepts nothing
    forwarder = Forwarder(client, endpoint, ClientLineFramer(), MessageFramer())
    ends[1][1].send(b"x" * 200)
    forwarder.forward()
    ends[0][1].send(b"hello\r\n")
    client.readable = True
    forwarder.forward()
    assert forwarder.reply_awaited_since is not None
    time.sleep(0.05)
    looked_at = clock()
    forwarder.forward()
    assert forwarder.reply_awaited_since >= looked_at  # it counts from when it could have been read


@pytest.mark.parametrize(
    ("error", "is_blamed"),
    [(b"Invalid Subject", False), (b"Slow Consumer", False), (b"Server Shutdown", True)],
)
def test_a_client_sent_away_for_its_own_fault_is_not_blamed_on_its_endpoint(nats_world, error, is_blamed):
    """One NATS client whose connections were ended one after another raised the scores of all servers."""
    w = nats_world("up")
    w.up()
    (conn,) = w.servers[0].live
    conn.write(b"-ERR '%s'\r\n" % error)
    conn.close()
    w.until(lambda: not w.handler.active)
    (endpoint,) = w.driver.balancer.endpoints.by_id.values()
    assert (endpoint.failure_score > 0) == is_blamed


# --- fair turns -----------------------------------------------------------------------------------------


def test_a_turn_of_a_connection_ends_after_a_number_of_messages():
    """One NATS client that sent PINGs at full speed kept the loop busy for half a second at a time: 16 full
    buffers of 2,700 messages in one turn. The rest must wait for the next round, and must not be forgotten.
    """
    loop, ends = EventLoop(), [socket.socketpair(), socket.socketpair()]
    task = loop.start_task(iter(()), "connection")
    loop._ready.clear()
    task.is_queued = False
    client, endpoint = (Connection(loop, near, task) for near, _ in ends)
    client.readable = client.writable = endpoint.readable = endpoint.writable = True
    framer = ClientFramer(1000)
    forwarder = Forwarder(client, endpoint, framer, EndpointFramer(1000, framer.unanswered_pings))
    count = 5 * OPERATIONS_PER_CALL
    ends[0][1].send(b"SUB a 1\r\n" * count)
    turns, received = 0, b""
    while len(received) < 9 * count:
        turns += 1
        forwarder.forward()
        received += ends[1][1].recv(1 << 20)
        assert len(received) <= 9 * OPERATIONS_PER_CALL * turns
        assert task.is_queued or len(received) == 9 * count
        task.is_queued = False
    assert turns == 5
    client.received.append(b"CONNECT {}\r\n" * count)  # messages that are not forwarded count as well
    forwarder.forward()
    assert task.is_queued
    assert len(client.received) == 12 * 4 * OPERATIONS_PER_CALL


def test_pings_that_the_endpoint_does_not_answer_are_bounded():
    """Each PING forwarded is remembered until its PONG: without a bound, memory grew with an endpoint that
    reads and does not answer.
    """
    framer, received = ClientFramer(1000), Buffer(1 << 20)
    received.append(b"PING\r\n" * (UNANSWERED_PINGS_MAX + 100))
    released = 0
    for _ in range(100):
        released = framer.release(received, released)
    assert released == 6 * UNANSWERED_PINGS_MAX
    assert not framer.has_more  # it waits for the endpoint, not for its next turn
    framer.unanswered_pings.popleft()
    assert framer.release(received, released) == released + 6


def test_an_endless_stream_does_not_block_the_loop_while_its_connection_is_closed(line_world):
    """A client closes its sending side while its endpoint goes on sending without end."""
    w = line_world("up")
    (client,) = w.up()
    sending = True

    def send_without_end() -> Iterator[int | None]:
        while sending:
            w.servers[0].live[0].write(b"x\r\n" * 1000)
            yield clock() + 100

    w.loop.start_task(send_without_end(), "stream")
    client.conn.shutdown_write()
    w.until(lambda: client.ended_at, 4)
    sending = False
    assert w.longest_round_s < 0.3


@pytest.mark.parametrize("scenario", ["b-nats-ping", "b-nats-pub", "b-lines-half", "b-control-rows"])
def test_sound_clients_are_served_beside_one_that_sends_at_full_speed(scenario):
    """One client at full speed, or clients that stop inside a line: sound ones got their answers late or
    never, at all listeners. One connection must not take the others' turns.
    """
    many = SCENES.MANY_SERVERS if scenario in SCENES.NEEDS_MANY_SERVERS else 0
    with SCENES.stage(draining_count=many) as stage:
        run, listener, *arguments = SCENES.SCENARIOS[scenario]
        stage.start_child(run, getattr(stage.ports, listener), *arguments)
        time.sleep(3)
        results = SCENES.sound_clients(stage.ports, 3)
        assert stage.is_running
        for kind, waits in results.items():
            assert len(waits.served) == len(waits.waits), f"{kind} {waits}"
            assert statistics.median(waits.served) < LATENCY_OBJECTIVE_S, f"{kind} {waits}"
        assert stage.log_count(SCENES.UNANSWERED) == 0
        assert stage.memory_mb() < SCENES.MEMORY_LIMIT_MB


def test_control_has_a_bounded_number_of_callers_and_prefers_those_who_still_wait():
    """Callers who sent a command and left took all of control's time and the clients' descriptors."""
    w = ProxyNetwork("lines", "up")
    control = w.proxy.control
    callers = [w.call(b"health\n" if n % 2 else b"cordon s") for n in range(60)]
    w.run(0.05)
    assert len(control.callers) <= 16
    assert len(control.waiting) <= 16
    listener = next(listener for listener in w.loop.listeners if listener.name == "control")
    assert listener.active <= 17  # the others are not only closed: their tasks have ended
    assert w.control(b"health\n").startswith(b"ACK")
    w.until(lambda: sum(answer() == b"ACK\n" for answer in callers) == 30)  # nobody lost an answer
    assert not w.driver.cordoned
    w.close()


# --- memory ---------------------------------------------------------------------------------------------


def test_an_opening_of_many_short_fields_is_kept_in_little_memory():
    """Each connection kept an object for each of hundreds of fields, thirty times the memory of the line."""
    fields = SCENES.SHORT_FIELDS
    line = b"OPEN 1 2 c=tech,d=1800" + fields
    assert len(line) < LINE_BYTES_MAX
    tracemalloc.start()
    try:
        openings = [parse_opening(line) for _ in range(50)]
        kept = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert openings[0].forwarded_line(7) == b"OPEN 1 2 c=tech,d=7" + fields + b"\r\n"
    assert kept / len(openings) < 2 * len(line)


@pytest.mark.parametrize("scenario", ["a-lines-fields", "a-nats-fields"])
def test_clients_with_openings_of_many_short_fields_take_little_memory(scenario):
    """470 of them took 92 MB (lines) and 62 MB (NATS) of a proxy that may have 192 MB."""
    with SCENES.stage() as stage:
        before = stage.memory_mb("VmRSS")
        run, listener, _, *arguments = SCENES.SCENARIOS[scenario]
        count = 200
        stage.start_child(run, getattr(stage.ports, listener), count, *arguments)
        deadline = time.monotonic() + 15
        while stage.counter("edge.concurrent") < count and time.monotonic() < deadline:
            time.sleep(0.1)
        assert stage.counter("edge.concurrent") == count
        kept = (stage.memory_mb("VmRSS") - before) * (1 << 20) / count
        assert kept < 2 * CLIENT_BUFFER_BYTES


def test_a_connect_of_thousands_of_brackets_is_answered():
    """Its connection was closed without an answer: such depth is another exception of the decoder."""
    with SCENES.stage() as stage, socket.create_connection((SCENES.HOST, stage.ports.nats), 5) as sock:
        sock.sendall(SCENES.greet_nats_nested(0))
        assert b"-ERR 'Parser Error'" in b"".join(iter(lambda: sock.recv(4096), b""))


# --- ids that come again --------------------------------------------------------------------------------


def test_an_id_that_may_have_run_does_not_run_again_after_its_client_has_left(line_world):
    """An id was free as soon as its connection had ended, and ran a second time when it came again."""
    w = line_world("up")
    first = w.client(7)
    w.until(lambda: first.has("up"))
    first.conn.close()
    w.until(lambda: not w.handler.active)
    again = w.client(7)
    w.until(lambda: again.ended_at)
    assert again.has("failed")
    assert len(w.servers[0].received) == 1


def test_an_id_that_was_rejected_may_come_again(line_world):
    """BUSY promises that nothing has run, and that trying again is harmless."""
    w = line_world("busy")
    first = w.client(7)
    w.until(lambda: first.ended_at)
    assert first.has("rejected")
    w.servers[0].mode = "up"
    again = w.client(7)
    w.until(lambda: again.answers)
    assert again.has("up")


def test_used_ids_are_bounded_and_the_last_ones_are_kept():
    ids = UsedIds()
    ids.update(f"{n:x}" for n in range(5 * GENERATION_SIZE + 3))
    last = [f"{n:x}" for n in range(4 * GENERATION_SIZE + 3, 5 * GENERATION_SIZE + 3)]
    assert all(name in ids for name in last)
    assert len(list(ids)) <= 2 * GENERATION_SIZE
    assert "0" not in ids


def test_an_id_does_not_run_again_at_the_other_process_of_an_upgrade():
    """Ids that had ended at the old process were free at the new one: 40 of 40 ran a second time there, and
    after the old process's end as well.
    """
    with SCENES.stage() as stage:

        def open_all(first: int) -> list[bytes]:
            answers = []
            for number in range(first, first + 20):
                with socket.create_connection((SCENES.HOST, stage.ports.lines), 5) as sock:
                    sock.sendall(SCENES.opening(number))
                    answers.append(sock.recv(100).split()[0])
            return answers

        assert set(open_all(0x100)) == {b"UP"}
        held = [socket.create_connection((SCENES.HOST, stage.ports.lines), 5) for _ in range(20)]
        for number, sock in enumerate(held):
            sock.sendall(SCENES.opening(0x200 + number))
            assert sock.recv(100).startswith(b"UP")
        old = stage.proxies[-1]
        stage.start_proxy()
        for sock in held:
            sock.close()
        assert set(open_all(0x100) + open_all(0x200)) == {b"ERR"}
        old.wait(10)
        assert set(open_all(0x100) + open_all(0x200)) == {b"ERR"}
        assert set(open_all(0x300)) == {b"UP"}
        assert set(stage.runs().values()) == {1}
        stage.start_proxy()
        assert set(open_all(0x100) + open_all(0x200) + open_all(0x300)) == {b"ERR"}
