"""Request handling on real sockets, tested over both wire protocols."""

from __future__ import annotations

import gc
import json
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from network import SETTINGS, ProxyNetwork, StandInClient, create_networks

from arrowseam.client_request import Request
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.listener import listen
from arrowseam.net.task import Coroutine


@pytest.fixture(params=["lines", "nats"])
def world(request: pytest.FixtureRequest) -> Iterator[Callable[..., ProxyNetwork]]:
    yield from create_networks(request.param)


@pytest.mark.parametrize("mode", ["busy", "error", "reset", "half"])
def test_a_failed_attempt_is_followed_by_the_next_and_never_overlaps_it(world, mode):
    w = world(mode, "up")
    clients = [w.client(n) for n in range(4)]
    w.until(lambda: all(c.answers for c in clients))
    w.run(0.05)
    assert all(c.answers == 1 for c in clients)
    assert any(c.has("up") for c in clients)
    # No earlier attempt may be open when the next begins: one client, one attempt.
    w2 = world(mode, mode, "up")
    w2.client()
    w2.until(lambda: w2.servers[2].live or sum(len(s.received) for s in w2.servers) >= 2)
    assert w2.max_in_flight == 1


def test_a_client_that_no_endpoint_accepts_is_rejected_at_once(world):
    """It is not queued: the balancer gives up, and says when to retry."""
    w = world("busy", "busy")
    client = w.client()
    w.until(lambda: client.ended_at)
    assert client.has("rejected")
    assert client.answers == 1
    assert client.ended_at - client.began < SECOND


def test_the_final_answer_comes_before_the_client_gives_up(world):
    w = world("silent", "silent")
    client = w.client(klass=b"resident")
    w.until(lambda: client.ended_at)
    assert client.answers == 1
    assert not client.has("up")
    assert client.ended_at - client.began <= 0.658 * SECOND  # with the tolerance of the rules


def test_a_draining_endpoint_gets_no_new_connections(world):
    w = world("up", "up")
    w.up()
    w.until(lambda: w.calls)
    w.update_list(s0={"lifecycle": "Terminating"})
    w.until(lambda: w.driver.ready_count == 1)
    before = len(w.servers[0].received)
    w.up(20)
    assert len(w.servers[0].received) == before


def test_a_cold_endpoint_gets_fewer_connections(world):
    """It has 2% of its capacity at first, and twice that would overload it."""
    w = world("up", "up", invariants=SETTINGS["invariants"] | {"cold_share": 0.02, "fall_multiple": 2.0})
    w.up(20)
    w.update_list(s0={"startedAtMs": int(time.time() * 1000)})
    w.until(lambda: any("since=2" in target for _, target in w.calls))
    before = len(w.servers[0].received), len(w.servers[1].received)
    w.up(40)
    assert 3 * (len(w.servers[0].received) - before[0]) < len(w.servers[1].received) - before[1]


def test_messages_are_forwarded_both_ways(world):
    w = world("up")
    (client,) = w.up()
    client.send(w.messages["ask"])
    w.until(lambda: client.has("reply"))
    assert w.messages["ask"] in w.servers[0].received[0]


def test_large_messages_arrive_complete_at_a_slow_reader(world):
    """Guards against lost bytes at partial writes and full buffers."""
    w = world("up")
    (client,) = w.up()
    client.reading = False
    size = 400_000
    nats = w.wire == "nats"
    text = b"x" * 998 + b"\r\n"
    data = b"MSG a 1 %d\r\n" % size + text * (size // 1000) + b"\r\n" if nats else text * (size // 1000)
    w.loop.start_task(w.servers[0].live[0].send(data, clock() + 5 * SECOND), "flood")
    w.run(0.05)
    client.reading = True
    w.loop.wake(client.conn.owner)
    w.until(lambda: len(client.got) >= size)
    assert bytes(client.got).endswith(data)


def test_the_migration_message_goes_between_two_messages(world):
    w = world("up")
    (client,) = w.up()
    w.servers[0].send_to_all(w.messages["half"])
    (request,) = w.handler.active.values()
    request.migration_requested = True
    request.wake()
    w.run(0.05)
    assert not client.has("moved")
    w.servers[0].send_to_all(w.messages["rest"])
    w.until(lambda: client.ended_at)
    text = bytes(client.got)
    assert text.index(w.messages["half"] + w.messages["rest"]) < text.index(w.messages["moved"])
    assert text.endswith(w.messages["moved"])
    w.until(lambda: not w.servers[0].live)


def test_a_client_is_migrated_from_an_endpoint_that_does_not_reply(world):
    w = world("deaf")
    (client,) = w.up()
    client.send(w.messages["ask"])
    w.until(lambda: client.ended_at)
    assert client.has("moved")
    assert client.ended_at - client.began < 4 * SECOND


@pytest.mark.parametrize("reset", [False, True])
def test_a_connection_that_its_endpoint_closes_is_closed_for_the_client(world, reset):
    w = world("up")
    (client,) = w.up()
    w.servers[0].live[0].close(reset=reset)
    began = clock()
    w.until(lambda: client.ended_at and not w.handler.active)
    assert client.ended_at - began < SECOND


def test_a_connection_that_its_client_closes_is_closed_at_the_endpoint(world):
    w = world("up")
    (client,) = w.up()
    client.conn.close()
    w.until(lambda: not w.servers[0].live and not w.handler.active)


def test_a_client_that_disconnects_early_ends_its_attempt_and_gets_no_other(world):
    w = world("silent", "silent")
    client = w.client()
    w.until(lambda: w.in_flight)
    client.conn.close()
    w.until(lambda: not w.in_flight and not w.handler.active)
    w.run(0.4)
    assert sum(len(s.received) for s in w.servers) == 1
    assert not w.driver._requests


def test_a_shutdown_spreads_migrations_over_its_time_and_rejects_new_clients(world):
    """New clients were served until the drain was over, by endpoints that could stay silent until its end."""
    w = world("up", "up")
    clients = w.up(12)
    w.handler.shutdown.begin()
    heard = sum(len(s.received) for s in w.servers)
    late = w.client(99)
    w.until(lambda: late.ended_at)
    assert late.has("rejected")
    assert late.answers == 1
    assert late.ended_at - late.began < SECOND // 2
    w.until(lambda: not w.handler.active and w.loop.stopped)
    assert sum(len(s.received) for s in w.servers) == heard
    ends = sorted(c.ended_at - late.began for c in clients)
    assert all(c.has("moved") for c in clients)
    assert ends[-1] < (1.8 + 0.7) * SECOND
    assert ends[-1] - ends[0] > 0.3 * SECOND


def test_a_shutdown_answers_requests_that_are_not_established(world):
    w = world("silent")
    client = w.client()
    w.until(lambda: w.in_flight)
    w.handler.shutdown.begin()
    w.until(lambda: client.ended_at)
    assert client.answers == 1
    assert client.ended_at - client.began < (1.8 + 0.7) * SECOND


def test_clients_are_rejected_at_once_when_descriptors_are_scarce(world):
    w = world("up")
    w.loop.descriptor_limit = len(w.loop.watched) + 10
    client = w.client()
    w.until(lambda: client.ended_at)
    assert client.has("rejected")
    assert not w.servers[0].received


def test_idle_clients_are_rejected_in_place_of_new_ones(world):
    """Hundreds of idle clients held every descriptor, and the others were rejected because of them."""
    w = world("up")
    opening, w.messages = w.messages, w.messages | {"open": lambda n, klass: b""}
    idle = [w.client() for _ in range(30)]
    w.until(lambda: len(w.loop.expendable) == 30)
    w.messages = opening
    w.loop.descriptor_limit = len(w.loop.watched) + 20
    client = w.client()
    w.until(lambda: client.answers)
    assert client.has("up")
    rejected = [c for c in idle if c.ended_at]
    assert rejected
    assert rejected == idle[: len(rejected)]
    assert all(c.has("rejected") for c in rejected)
    w.until(lambda: all(c.ended_at for c in idle))  # the others may not stay idle for long either
    assert max(c.ended_at - c.began for c in idle) < 3 * SECOND


def test_endless_pings_are_cut_off_and_others_are_served_meanwhile(world):
    w = world("up")
    opening, w.messages = w.messages, w.messages | {"open": lambda n, klass: b"PING\r\n" * 1000}
    noisy = w.client()
    w.messages = opening
    w.up()
    w.until(lambda: noisy.ended_at)
    assert noisy.ended_at - noisy.began < 3 * SECOND
    assert bytes(noisy.got).count(b"PONG") <= 16


def test_the_error_reaches_a_client_that_sends_sixty_megabytes(world):
    """A reset, caused by unread bytes of the client, overtook the error. The payload is not buffered."""
    w = world("up")
    head = b"" if w.wire == "lines" else w.messages["open"](1, b"tech") + b"PUB a 62914560\r\n"
    got, ended_at, began = bytearray(), [], clock()

    def send() -> Coroutine[None]:
        conn = yield from w.loop.connect(w.address, clock() + SECOND)
        assert (yield from conn.send(head + b"k" * (60 << 20), clock() + 10 * SECOND))
        while not conn.eof:  # it reads nothing before all is sent
            if conn.read():
                got.extend(conn.received.take(len(conn.received)))
            elif not conn.eof:
                yield None
        ended_at.append(clock())

    w.loop.start_task(send(), "sender")
    largest = 0

    def has_ended() -> bool:
        nonlocal largest
        buffers = [len(c.received.data) for c in w.loop.watched.values() if isinstance(c, Connection)]
        largest = max(largest, *buffers)
        return bool(ended_at)

    w.until(has_ended, 10)
    assert b"ERR" in got
    assert ended_at[0] - began < 6 * SECOND
    assert largest <= 1 << 16


def test_a_reload_switches_discovery_and_keeps_established_connections(world, tmp_path):
    """SIGHUP ended the process. The old service is left in the middle of a call, its list stays meanwhile."""
    w = world("up", "up")
    (client,) = w.up()
    w.until(lambda: w.calls)
    path, nats = tmp_path / "config.json", tmp_path / "nats.json"
    nats.write_text(json.dumps(w.nats))
    for text in ("{", json.dumps(w.doc | {"discovery": "nowhere"})):  # an invalid file changes nothing
        path.write_text(text)
        w.proxy.reload(str(path), str(nats))
    old, calls = w.proxy.discovery.http_client.conn, len(w.calls)
    assert old is not None
    assert not old.closed
    w.update_list(s0={"lifecycle": "Terminating"}, s1={})
    w.version = 0  # the new service has its own versions
    address = listen(w.loop, ("127.0.0.1", 0), "the new discovery", w._discovery).address
    path.write_text(json.dumps(w.doc | {"discovery": f"{address[0]}:{address[1]}"}))
    for _ in range(3):
        w.proxy.reload(str(path), str(nats))
    assert old.closed
    assert w.driver.ready_count == 2
    w.until(lambda: w.driver.ready_count == 1)
    assert [target for _, target in w.calls[calls : calls + 1]] == ["/api/targets"]
    assert all("since=0&" in target for _, target in w.calls[calls + 1 :])
    assert not client.ended_at
    assert w.up()


def test_an_exception_in_one_coroutine_ends_only_that_connection(world, monkeypatch, capfd):
    w = world("up")
    (good,) = w.up()
    monkeypatch.setattr(w.handler.attempts, "endpoint_address", lambda name: 1 // 0)
    bad = w.client(2)
    w.until(lambda: bad.ended_at and len(w.handler.active) == 1)
    assert bad.has("failed")
    assert not good.ended_at
    assert "ZeroDivisionError" in capfd.readouterr().err
    assert len(w.handler.active) == len(w.driver._requests) == 1


def test_early_data_reaches_only_the_chosen_endpoint_and_only_once(world):
    """The hard case: endpoints stall in the middle of the greeting, and the client has already sent data."""
    w = world("half", "half", "half", "up")
    early = b"SUB news 1\r\nPUB a 2\r\nhi\r\n" if w.wire == "nats" else b"early\r\n"
    client = w.client(more=early)
    w.until(lambda: client.answers)
    if client.has("up"):
        w.until(lambda: client.has("reply") if w.wire == "nats" else b"early" in client.got)
    heard = Counter(s.name for s in w.servers for got in s.received if early in got)
    assert heard == ({"s3": 1} if client.has("up") else {})
    assert sum(bytes(got).count(early) for got in w.servers[3].received) == heard["s3"]


def test_messages_may_be_split_at_any_byte(world):
    """Openings, greetings, answers and messages both ways: each in two parts, split at each of its bytes."""
    w = world("drip")

    def send_split(data: bytes, send: Callable[[int, bytes], None]) -> None:
        """Send the data on one connection for each position, in two parts that arrive separately."""
        positions = range(1, len(data))
        for n in positions:
            send(n, data[:n])
        w.run(0.05)
        for n in positions:
            send(n, data[n:])

    opening = w.messages["open"](0, b"tech")
    clients: dict[int, Any] = {}

    def open_or_send(n: int, part: bytes) -> None:
        if n in clients:
            clients[n].send(w.messages["open"](n, b"tech")[n:])
        else:
            clients[n] = StandInClient(w, w.messages["open"](n, b"tech")[:n])

    send_split(opening, open_or_send)
    w.until(lambda: all(c.has("up") for c in clients.values()))
    server = w.servers[0]
    server.mode = "up"
    before = [len(c.got) for c in clients.values()]
    ask = w.messages["ask"]
    send_split(ask, lambda n, part: clients[n].send(part))
    w.until(lambda: sum(c.has("reply") for c in clients.values()) == len(ask) - 1)
    assert sum(ask in got for got in server.received) == len(ask) - 1
    assert sum(len(c.got) > b for c, b in zip(clients.values(), before)) == len(ask) - 1
    for client in clients.values():
        client.got.clear()
    message = w.messages["half"] + w.messages["rest"]
    live = list(server.live)
    send_split(message, lambda n, part: live[n].write(part) and None)
    w.until(lambda: sum(bytes(c.got) == message for c in clients.values()) == len(message) - 1)


def test_a_client_that_disconnects_at_any_moment_frees_everything_at_once(world):
    w = world("up", "silent", "half")
    base = len(w.loop.watched)
    opening = w.messages["open"](1, b"tech")
    clients = [
        StandInClient(w, w.messages["open"](n, b"tech")[: 1 + n * 3]) for n in range(len(opening) // 3 + 5)
    ]
    w.until(lambda: all(c.conn is not None for c in clients) and len(w.handler.active) >= 4)
    for client in clients:
        client.conn.close()
    w.until(lambda: not w.handler.active and not w.driver._requests, 2)
    w.until(lambda: not w.driver.balancer.requests.by_id and not w.proxy.edge_server.connection_ids, 2)
    w.until(lambda: not any(s.live for s in w.servers) and len(w.loop.watched) <= base + 3, 2)


def test_a_connection_that_ends_leaves_nothing_to_the_garbage_collector(world):
    """Its buffers are freed at once, and objects that the collector ignores hold no connections."""
    w = world("up")
    w.up(2)
    gc.collect()
    gc.disable()
    try:
        for client in w.up(20):
            client.conn.close()
        del client
        w.until(lambda: len(w.handler.active) == 2)
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        left = [o for o in gc.garbage if isinstance(o, (Connection, Request))]
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
    assert not left
