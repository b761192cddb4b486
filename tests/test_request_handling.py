"""The rules on real sockets, each shown on both fronts; the wires differ, the core does not."""

from __future__ import annotations

import gc
import json
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from network import SETTINGS, StandInClient, World, create_worlds

from arrowseam.client_request import Request
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.listener import listen
from arrowseam.net.task import Coroutine


@pytest.fixture(params=["lines", "nats"])
def world(request: pytest.FixtureRequest) -> Iterator[Callable[..., World]]:
    yield from create_worlds(request.param)


@pytest.mark.parametrize("mode", ["busy", "error", "reset", "half"])
def test_a_call_that_fails_is_followed_by_the_next_and_never_overlaps_it(world, mode):
    w = world(mode, "up")
    seen = [w.client(n) for n in range(4)]
    w.until(lambda: all(c.answers for c in seen))
    w.run(0.05)
    assert all(c.answers == 1 for c in seen)
    assert any(c.has("up") for c in seen)
    # Nothing of an earlier call may be out when the next begins: one client, one call.
    w2 = world(mode, mode, "up")
    w2.client()
    w2.until(lambda: w2.servers[2].live or sum(len(s.heard) for s in w2.servers) >= 2)
    assert w2.most_flying == 1


def test_a_client_that_none_takes_is_refused_at_once_and_told_when_to_come(world):
    """Never held back: the module has given up, and says when to come again."""
    w = world("busy", "busy")
    client = w.client()
    w.until(lambda: client.ended_at)
    assert client.has("rejected")
    assert client.answers == 1
    assert client.ended_at - client.began < SECOND


def test_the_answer_comes_before_the_client_gives_up(world):
    w = world("silent", "silent")
    client = w.client(klass=b"resident")
    w.until(lambda: client.ended_at)
    assert client.answers == 1
    assert not client.has("up")
    assert client.ended_at - client.began <= 0.658 * SECOND  # with the rules' slack


def test_nothing_new_goes_to_a_server_that_drains(world):
    w = world("up", "up")
    w.up()
    w.until(lambda: w.calls)
    w.tell(s0={"lifecycle": "Terminating"})
    w.until(lambda: w.driver.ready_count == 1)
    before = len(w.servers[0].heard)
    w.up(20)
    assert len(w.servers[0].heard) == before


def test_a_cold_server_is_sent_less(world):
    """It can do 2% of its work at first, and twice that would push it over."""
    w = world("up", "up", invariants=SETTINGS["invariants"] | {"cold_share": 0.02, "fall_multiple": 2.0})
    w.up(20)
    w.tell(s0={"startedAtMs": int(time.time() * 1000)})
    w.until(lambda: any("since=2" in target for _, target in w.calls))
    at = len(w.servers[0].heard), len(w.servers[1].heard)
    w.up(40)
    assert 3 * (len(w.servers[0].heard) - at[0]) < len(w.servers[1].heard) - at[1]


def test_messages_pass_both_ways(world):
    w = world("up")
    (client,) = w.up()
    client.say(w.words["ask"])
    w.until(lambda: client.has("reply"))
    assert w.words["ask"] in w.servers[0].heard[0]


def test_large_messages_arrive_whole_though_the_reader_is_slow(world):
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


def test_a_move_goes_between_two_messages(world):
    w = world("up")
    (client,) = w.up()
    w.servers[0].say(w.words["half"])
    (request,) = w.handler.active.values()
    request.migration_requested = True
    request.wake()
    w.run(0.05)
    assert not client.has("moved")
    w.servers[0].say(w.words["rest"])
    w.until(lambda: client.ended_at)
    text = bytes(client.got)
    assert text.index(w.words["half"] + w.words["rest"]) < text.index(w.words["moved"])
    assert text.endswith(w.words["moved"])
    w.until(lambda: not w.servers[0].live)


def test_a_server_that_brings_nothing_back_loses_its_client(world):
    w = world("deaf")
    (client,) = w.up()
    client.say(w.words["ask"])
    w.until(lambda: client.ended_at)
    assert client.has("moved")
    assert client.ended_at - client.began < 4 * SECOND


@pytest.mark.parametrize("reset", [False, True])
def test_what_a_server_ends_is_ended_for_its_client(world, reset):
    w = world("up")
    (client,) = w.up()
    w.servers[0].live[0].close(reset=reset)
    began = clock()
    w.until(lambda: client.ended_at and not w.handler.active)
    assert client.ended_at - began < SECOND


def test_what_a_client_ends_is_ended_at_its_server(world):
    w = world("up")
    (client,) = w.up()
    client.conn.close()
    w.until(lambda: not w.servers[0].live and not w.handler.active)


def test_a_client_that_leaves_early_ends_its_call_and_gets_no_other(world):
    w = world("silent", "silent")
    client = w.client()
    w.until(lambda: w.flying)
    client.conn.close()
    w.until(lambda: not w.flying and not w.handler.active)
    w.run(0.4)
    assert sum(len(s.heard) for s in w.servers) == 1
    assert not w.driver._requests


def test_a_drain_moves_all_spread_over_the_time_and_refuses_who_comes(world):
    """Who came was served until the drain was over, at a server that could hang into the process's end."""
    w = world("up", "up")
    seen = w.up(12)
    w.handler.shutdown.begin()
    heard = sum(len(s.heard) for s in w.servers)
    late = w.client(99)
    w.until(lambda: late.ended_at)
    assert late.has("rejected")
    assert late.answers == 1
    assert late.ended_at - late.began < SECOND // 2
    w.until(lambda: not w.handler.active and w.loop.stopped)
    assert sum(len(s.heard) for s in w.servers) == heard
    ends = sorted(c.ended_at - late.began for c in seen)
    assert all(c.has("moved") for c in seen)
    assert ends[-1] < (1.8 + 0.7) * SECOND
    assert ends[-1] - ends[0] > 0.3 * SECOND


def test_a_drain_answers_what_is_not_placed(world):
    w = world("silent")
    client = w.client()
    w.until(lambda: w.flying)
    w.handler.shutdown.begin()
    w.until(lambda: client.ended_at)
    assert client.answers == 1
    assert client.ended_at - client.began < (1.8 + 0.7) * SECOND


def test_where_descriptors_are_scarce_clients_are_refused_at_once(world):
    w = world("up")
    w.loop.descriptor_limit = len(w.loop.watched) + 10
    client = w.client()
    w.until(lambda: client.ended_at)
    assert client.has("rejected")
    assert not w.servers[0].heard


def test_the_mute_are_turned_away_and_not_whoever_comes_next(world):
    """Hundreds that connect and say nothing held every descriptor, and the others were refused for them."""
    w = world("up")
    opening, w.words = w.words, w.words | {"open": lambda n, klass: b""}
    mute = [w.client() for _ in range(30)]
    w.until(lambda: len(w.loop.expendable) == 30)
    w.words = opening
    w.loop.descriptor_limit = len(w.loop.watched) + 20
    client = w.client()
    w.until(lambda: client.answers)
    assert client.has("up")
    gone = [c for c in mute if c.ended_at]
    assert gone
    assert gone == mute[: len(gone)]
    assert all(c.has("rejected") for c in gone)
    w.until(lambda: all(c.ended_at for c in mute))  # nobody else may be mute for long either
    assert max(c.ended_at - c.began for c in mute) < 3 * SECOND


def test_endless_pings_are_ended_and_others_are_served_meanwhile(world):
    w = world("up")
    opening, w.words = w.words, w.words | {"open": lambda n, klass: b"PING\r\n" * 1000}
    noisy = w.client()
    w.words = opening
    w.up()
    w.until(lambda: noisy.ended_at)
    assert noisy.ended_at - noisy.began < 3 * SECOND
    assert bytes(noisy.got).count(b"PONG") <= 16


def test_the_error_reaches_a_sender_of_sixty_megabytes(world):
    """A reset that its own unread bytes brought about overtook it; and nothing of the value is kept."""
    w = world("up")
    head = b"" if w.wire == "lines" else w.words["open"](1, b"tech") + b"PUB a 62914560\r\n"
    got, ended_at, began = bytearray(), [], clock()

    def send() -> Coroutine[None]:
        conn = yield from w.loop.connect(w.address, clock() + SECOND)
        assert (yield from conn.send(head + b"k" * (60 << 20), clock() + 10 * SECOND))
        while not conn.eof:  # it hears nothing before all is sent
            if conn.read():
                got.extend(conn.received.take(len(conn.received)))
            elif not conn.eof:
                yield None
        ended_at.append(clock())

    w.loop.start_task(send(), "sender")
    largest = 0

    def over() -> bool:
        nonlocal largest
        buffers = [len(c.received.data) for c in w.loop.watched.values() if isinstance(c, Connection)]
        largest = max(largest, *buffers)
        return bool(ended_at)

    w.until(over, 10)
    assert b"ERR" in got
    assert ended_at[0] - began < 6 * SECOND
    assert largest <= 1 << 16


def test_a_reload_moves_to_the_new_discovery_and_keeps_what_stands(world, tmp_path):
    """SIGHUP ended the process; now the old discovery is left in mid-call, and its list kept meanwhile."""
    w = world("up", "up")
    (client,) = w.up()
    w.until(lambda: w.calls)
    path, nats = tmp_path / "config.json", tmp_path / "nats.json"
    nats.write_text(json.dumps(w.nats))
    for text in ("{", json.dumps(w.doc | {"discovery": "nowhere"})):  # a bad file changes nothing
        path.write_text(text)
        w.proxy.reload(str(path), str(nats))
    old, calls = w.proxy.discovery.http_client.conn, len(w.calls)
    assert old is not None
    assert not old.closed
    w.tell(s0={"lifecycle": "Terminating"}, s1={})
    w.version = 0  # the new one counts anew
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


def test_a_fault_in_one_coroutine_ends_that_connection_only(world, monkeypatch, capfd):
    w = world("up")
    (good,) = w.up()
    monkeypatch.setattr(w.handler.attempts, "endpoint_address", lambda name: 1 // 0)
    bad = w.client(2)
    w.until(lambda: bad.ended_at and len(w.handler.active) == 1)
    assert bad.has("failed")
    assert not good.ended_at
    assert "ZeroDivisionError" in capfd.readouterr().err
    assert len(w.handler.active) == len(w.driver._requests) == 1


def test_what_came_early_reaches_the_winner_once_and_none_else(world):
    """The hard case: a server stalls midway through its greeting, the client has spoken already."""
    w = world("half", "half", "half", "up")
    early = b"SUB news 1\r\nPUB a 2\r\nhi\r\n" if w.wire == "nats" else b"early\r\n"
    client = w.client(more=early)
    w.until(lambda: client.answers)
    if client.has("up"):
        w.until(lambda: client.has("reply") if w.wire == "nats" else b"early" in client.got)
    heard = Counter(s.name for s in w.servers for got in s.heard if early in got)
    assert heard == ({"s3": 1} if client.has("up") else {})
    assert sum(bytes(got).count(early) for got in w.servers[3].heard) == heard["s3"]


def test_messages_may_be_cut_at_any_byte(world):
    """Openings, greetings, answers and messages both ways: each in two parts, cut at each of its bytes."""
    w = world("drip")

    def cut(data: bytes, say: Callable[[int, bytes], None]) -> None:
        """Say the data on one connection for each cut, in two parts that arrive apart."""
        cuts = range(1, len(data))
        for n in cuts:
            say(n, data[:n])
        w.run(0.05)
        for n in cuts:
            say(n, data[n:])

    whole = w.words["open"](0, b"tech")
    seen: dict[int, Any] = {}

    def open_or_say(n: int, part: bytes) -> None:
        if n in seen:
            seen[n].say(w.words["open"](n, b"tech")[n:])
        else:
            seen[n] = StandInClient(w, w.words["open"](n, b"tech")[:n])

    cut(whole, open_or_say)
    w.until(lambda: all(c.has("up") for c in seen.values()))
    server = w.servers[0]
    server.mode = "up"
    before = [len(c.got) for c in seen.values()]
    ask = w.words["ask"]
    cut(ask, lambda n, part: seen[n].say(part))
    w.until(lambda: sum(c.has("reply") for c in seen.values()) == len(ask) - 1)
    assert sum(ask in got for got in server.heard) == len(ask) - 1
    assert sum(len(c.got) > b for c, b in zip(seen.values(), before)) == len(ask) - 1
    for client in seen.values():
        client.got.clear()
    news = w.words["half"] + w.words["rest"]
    live = list(server.live)
    cut(news, lambda n, part: live[n].write(part) and None)
    w.until(lambda: sum(bytes(c.got) == news for c in seen.values()) == len(news) - 1)


def test_who_walks_away_at_any_moment_frees_everything_at_once(world):
    w = world("up", "silent", "half")
    base = len(w.loop.watched)
    opening = w.words["open"](1, b"tech")
    seen = [StandInClient(w, w.words["open"](n, b"tech")[: 1 + n * 3]) for n in range(len(opening) // 3 + 5)]
    w.until(lambda: all(c.conn is not None for c in seen) and len(w.handler.active) >= 4)
    for client in seen:
        client.conn.close()
    w.until(lambda: not w.handler.active and not w.driver._requests, 2)
    w.until(lambda: not w.driver.balancer.requests.by_id and not w.proxy.edge_server.connection_ids, 2)
    w.until(lambda: not any(s.live for s in w.servers) and len(w.loop.watched) <= base + 3, 2)


def test_a_connection_that_ends_leaves_nothing_to_the_collector(world):
    """Its buffers are freed at once, and what is kept out of the collector's way keeps no connections."""
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
