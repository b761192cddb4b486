"""Upgrades: two processes of one proxy, started by its own command line, beside a world of stand-ins."""

from __future__ import annotations

import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from network import World, free_port

from arrowseam.hot_restart.channel import DescriptorConnection, HandoverChannel
from arrowseam.hot_restart.cordon_file import CordonFile
from arrowseam.hot_restart.restart_socket import RestartSocket
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.listener import Listener
from arrowseam.net.task import Coroutine


class Pair:
    """A world in which the proxy runs as processes of its own; ``wire`` says which front is used."""

    def __init__(self, wire: str, tmp_path: Path, *modes: str) -> None:
        self.world = World(wire, *(modes or ("up", "up")))
        self.folder, self.processes = tmp_path, []
        listen, nats = free_port(), free_port()
        self.doc = self.world.doc | {"listen": f"127.0.0.1:{listen}"}
        self.nats = self.world.nats | {"listen": f"127.0.0.1:{nats}"}
        del self.nats["health"], self.nats["agent"]
        self.world.address = ("127.0.0.1", listen if wire == "lines" else nats)

    def start(self, *more: str) -> subprocess.Popen[bytes]:
        """One more process, when it says that it serves."""
        process = self.begin(*more)
        self.world.until(lambda: self.call(b"health\n") == b"ACK\n", 10)
        return process

    def begin(self, *more: str) -> subprocess.Popen[bytes]:
        port = free_port()
        self.world.addresses["control"] = ("127.0.0.1", port)
        path, nats = self.folder / f"{port}.json", self.folder / "nats.json"
        path.write_text(json.dumps(self.doc | {"control": f"127.0.0.1:{port}"}))
        nats.write_text(json.dumps(self.nats))
        words = [
            sys.executable,
            "-m",
            "arrowseam",
            "serve",
            "--config",
            str(path),
            "--nats",
            str(nats),
            *more,
        ]
        log = (self.folder / f"{port}.log").open("wb")
        process = subprocess.Popen(
            words, stdout=log, stderr=log, env=os.environ | {"TMPDIR": str(self.folder)}
        )
        log.close()
        self.processes.append(process)
        return process

    def call(self, words: bytes) -> bytes:
        """Ask control of the newest process, without waiting for the world; empty where nobody listens."""
        try:
            with socket.create_connection(self.world.addresses["control"], timeout=2) as sock:
                sock.sendall(words)
                return sock.makefile("rb").read()
        except OSError:
            return b""

    def logs(self) -> str:
        return "".join(path.read_text() for path in self.folder.glob("*.log"))

    def close(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
        self.world.close()


@pytest.fixture(params=["lines", "nats"])
def pair(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Pair]:
    made = Pair(request.param, tmp_path)
    yield made
    made.close()


def test_no_client_meets_a_reset_while_one_process_takes_over_from_the_other(pair):
    """Clients come all the time; each is served, by the one or by the other."""
    w, seen = pair.world, []
    old = pair.start()

    def crowd() -> Coroutine[None]:
        while True:
            seen.append(w.client(next(w.numbers)))
            pause = clock() + 5000
            while clock() < pause:
                yield pause

    w.loop.start_task(crowd(), "crowd")
    w.until(lambda: len(seen) > 10)
    pair.start()
    old.send_signal(signal.SIGTERM)
    w.until(lambda: old.poll() is not None, 8)
    assert old.returncode == 0
    last = len(seen)
    w.until(lambda: len(seen) > last + 10 and all(c.has("up") for c in seen[: last + 10]))
    assert "does not hand over" not in pair.logs()
    assert "Traceback" not in pair.logs()


def test_where_the_new_process_dies_first_the_old_one_goes_on(pair):
    """A new process asks for the handover, gets all sockets and dies before it accepts. The old one has not
    let go of anything yet, so it must go on as if nobody had asked.
    """
    w = pair.world
    pair.start()
    (kept,) = w.up()
    # It asks, gets all the sockets, and dies before it says that it is ready.
    link = RestartSocket(pair.folder, "n0", pair.doc["listen"]).connect()
    link.sendall(b'{"hello":1}\n')
    data, fds, _, _ = socket.recv_fds(link, 65536, 16)
    assert data
    assert len(fds) >= 3
    for fd in fds:
        os.close(fd)
    link.close()
    w.until(lambda: "the new process has ended first" in pair.logs())
    assert pair.call(b"health\n") == b"ACK\n"
    w.up(5)
    assert not kept.ended_at


def test_cordons_hold_over_an_upgrade_a_crash_and_when_called_in_the_overlap(pair):
    """An endpoint is cordoned before, during and after a hot restart, at the old process and at the new
    one, and then a process is killed. Whichever process serves must know all cordons.
    """
    w = pair.world
    old = pair.start()
    old_control = w.addresses["control"]
    assert pair.call(b"cordon s0\n") == b"ACK\n"
    for server in w.servers:
        server.mode = "silent"
    w.client()
    w.until(lambda: w.flying)  # which keeps the old process there for a while
    new = pair.start()
    new_control = w.addresses["control"]
    w.addresses["control"] = old_control  # the old one is still there, and is asked
    assert pair.call(b"uncordon s0\n") == b"ACK\n"
    assert pair.call(b"cordon s1\n") == b"ACK\n"
    w.addresses["control"] = new_control
    w.run(0.2)
    for server in w.servers:
        server.mode = "up"
    before = len(w.servers[1].heard)
    w.up(10)
    assert len(w.servers[1].heard) == before
    for process in (old, new):
        process.kill()
        process.wait()
    pair.start()
    w.up(10)
    assert len(w.servers[1].heard) == before
    assert pair.call(b"uncordon s1\n") == b"ACK\n"
    assert not CordonFile(pair.folder, "n0", pair.doc["listen"]).load()


def test_an_id_in_use_at_the_old_process_is_refused_by_the_new_one(tmp_path):
    """During a hot restart two processes share the ids of clients. An id that is in use at one of them must
    be rejected by the other.
    """
    pair = Pair("lines", tmp_path)
    w = pair.world
    pair.start()
    first = w.client(7)
    w.until(lambda: first.has("up"))
    pair.start()
    second = w.client(7)
    w.until(lambda: second.ended_at or second.has("up"))
    assert second.has("failed")
    assert not second.has("up")
    pair.close()


def test_the_old_process_tells_its_list_and_the_new_one_watches_on(pair):
    w = pair.world
    pair.start()
    w.until(lambda: w.calls)
    w.tell(s0={"lifecycle": "Terminating"}, s1={})
    w.until(lambda: any("since=2" in target for _, target in w.calls))
    calls = len(w.calls)
    pair.start()
    before = len(w.servers[0].heard)
    w.until(lambda: len(w.calls) > calls, 2)
    w.up(10)
    assert len(w.servers[0].heard) == before
    assert all("since=2" in target for _, target in w.calls[calls:])


@pytest.mark.parametrize("text", ["", "{", '{"a": 1}', "[1]"])
def test_a_broken_file_of_cordons_is_no_cordon_and_no_crash(tmp_path, text):
    """The cordon file was damaged. A proxy must start all the same, without cordons, and write the file
    anew at the next one.
    """
    cordon_file = CordonFile(tmp_path, "n0", "127.0.0.1:1")
    cordon_file.path.write_text(text)
    assert cordon_file.load() == []
    cordon_file.save(["s1", "s2"])
    assert cordon_file.load() == ["s1", "s2"]


def test_the_socket_is_ours_alone_and_a_stale_one_is_replaced(tmp_path):
    """A process has died and left its socket behind. The next one must start as usual and listen in its
    place, with a mode that lets in nobody else.
    """
    folder = tmp_path / ("long" * 40)  # longer than a unix socket's path may be
    folder.mkdir()
    restart_socket = RestartSocket(folder, "n0", "127.0.0.1:1")
    assert restart_socket.connect() is None
    restart_socket.listen().close()
    assert restart_socket.connect() is None  # stale
    with restart_socket.listen():
        assert (folder / restart_socket.file_name).stat().st_mode & 0o777 == 0o600
        link = restart_socket.connect()
        assert link is not None
        link.close()
    assert len(list(folder.iterdir())) == 1


def test_what_stands_goes_on_at_the_new_process_and_no_byte_is_lost(pair):
    """Neither end notices: no move, no end; half a message and questions unanswered cross with it."""
    w = pair.world
    old = pair.start()
    seen = w.up(20)
    for server in w.servers:
        server.say(w.words["half"])
    w.run(0.1)
    new = pair.start()
    w.until(lambda: old.poll() == 0, 4)
    for server in w.servers:
        server.say(w.words["rest"])
    whole = w.words["half"] + w.words["rest"]
    w.until(lambda: all(whole in c.got for c in seen))
    for client in seen:
        client.say(w.words["ask"])
    w.until(lambda: all(c.has("reply") for c in seen))
    assert not any(c.ended_at or c.has("moved") for c in seen)
    found = w.figures()
    assert found["edge.concurrent"] == 20
    assert found["edge.replies.tech.success"] == 0
    seen[0].conn.close()  # whoever leaves frees both sides here too
    w.until(lambda: w.figures()["edge.concurrent"] == 19)
    new.send_signal(signal.SIGTERM)  # and the next drain moves them
    w.until(lambda: all(c.ended_at for c in seen[1:]))
    assert all(c.has("moved") for c in seen[1:])


def test_a_connection_taken_over_is_still_moved_off_a_cordoned_server(pair):
    """A connection was handed over in a hot restart, and its endpoint is cordoned after that. The new
    process must migrate it as if it had established it itself.
    """
    w = pair.world
    pair.start()
    seen = w.up(12)
    assert w.servers[0].live
    pair.start()
    w.run(0.2)
    assert pair.call(b"cordon s0\n") == b"ACK\n"
    w.until(lambda: not w.servers[0].live, 8)
    assert {c.has("moved") for c in seen} == {True, False}


def test_what_is_in_the_middle_of_a_message_waits_and_is_moved_at_the_last(pair):
    """A message longer than may be kept whole cannot cross: it is passed on to its end where it began."""
    w = pair.world
    old = pair.start()
    (client,) = w.up()
    (server,) = [s for s in w.servers if s.live]
    size = 200_000
    head = b"MSG a 1 %d\r\n" % size if w.wire == "nats" else b""
    server.say(head + b"x" * 40_000)
    w.until(lambda: len(client.got) > 10_000)
    pair.start()
    w.run(0.1)
    assert old.poll() is None
    rest = b"x" * (size - 40_000) + b"\r\n"
    w.loop.start_task(server.live[0].send(rest, clock() + 5 * SECOND), "rest")
    w.until(lambda: old.poll() == 0, 4)
    assert len(client.got) >= size
    assert not client.ended_at


def test_an_old_process_that_hangs_does_not_keep_the_new_one_from_serving(pair):
    """It hands over and then never lets go: a stand-in."""
    w = pair.world
    state = {"list": {"generation": 1, "reset": True, "instances": [s.row for s in w.servers]}, "sockets": []}
    heard: list[bytes | None] = []

    def old(conn: Connection) -> Coroutine[None]:
        yield from conn.read_line(1000, clock() + SECOND)
        yield from conn.send(json.dumps(state).encode() + b"\n", clock() + SECOND)
        heard.append((yield from conn.read_line(1000, clock() + 9 * SECOND)))
        while not conn.eof:
            yield None

    Listener(w.loop, RestartSocket(pair.folder, "n0", pair.doc["listen"]).listen(), "old", old)
    pair.begin()
    w.until(lambda: heard == [b'{"ready": []}\n'], 8)
    assert not pair.call(b"health\n").startswith(b"ACK")
    w.until(lambda: pair.call(b"health\n") == b"ACK\n", 5)
    w.up(5)


def test_sockets_that_do_not_all_arrive_are_never_paired():
    """With no descriptor free the kernel drops some: a client must not get another client's server."""
    loop = EventLoop()
    ours, theirs = socket.socketpair()
    conn = DescriptorConnection(loop, ours, None)
    messages: list[object] = []
    channel = HandoverChannel(loop, conn, lambda message, _: messages.append(message))
    spare = [socket.socket() for _ in range(3)]
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    socket.send_fds(theirs, [b'{"stands":{}}\n'], [sock.fileno() for sock in spare[:2]])
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(sock.fileno() for sock in spare) + 4, hard))
    try:
        fillers = []
        with contextlib.suppress(OSError):
            while True:
                fillers.append(os.dup(0))
        os.close(fillers.pop())
        next(channel.run(), None)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for fd in fillers:
            os.close(fd)
    assert conn.closed
    assert not messages
    assert not conn.descriptors
    for sock in (*spare, theirs):
        sock.close()
    loop.epoll.close()
    os.close(loop.spare_descriptor)


def test_servers_from_files_outlive_an_upgrade_beside_a_bad_file(pair):
    """The new process serves from what the old one held, drains what that drains, and reads on."""
    w = pair.world
    operator, path = pair.folder / "op.star", pair.folder / "servers.json"
    operator.write_text('servers(file="servers.json", max_removed=0.6, settle_ms=0, drain_s=30)')
    pair.doc |= {"discovery": "", "known": {}}
    rows = [server.row for server in w.servers]
    path.write_text(json.dumps({"generation": 4, "instances": rows}))
    pair.start("--operator", str(operator))
    served = w.up(6)
    path.write_text(json.dumps({"generation": 5, "instances": rows[:1]}))
    w.until(lambda: b'"state":"leaving"' in pair.call(b"members\n"))
    path.write_text('{"generation": 6, "instances": [')
    w.until(lambda: b"refused.json" in pair.call(b"counters\n"))
    pair.start("--operator", str(operator))
    sources = [json.loads(line) for line in pair.call(b"sources\n").splitlines()[:-1]]
    assert [(s["origin"], s["servers"], s["generation"]) for s in sources] == [("hand-over", 1, 5)]
    states = {
        row["instanceId"]: row["state"] for row in map(json.loads, pair.call(b"members\n").splitlines()[:-1])
    }
    assert states == {"s0": "ready", "s1": "leaving"}
    w.until(lambda: not w.servers[1].live, 10)
    more = w.up(4)
    assert not w.servers[1].live
    assert not any(c.ended_at for c in more)
    assert all(c.has("moved") for c in served if c.ended_at)
    path.write_text(json.dumps({"generation": 3, "instances": rows}))  # older than what was handed over
    w.until(lambda: b"refused.generation" in pair.call(b"counters\n"))
    path.write_text(json.dumps({"generation": 6, "instances": rows}))
    w.until(lambda: b'"leaving"' not in pair.call(b"members\n"))
