"""Hot restart with real processes of one proxy, started by its command line, among stand-ins on loopback."""

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
from network import ProxyNetwork, free_port

from arrowseam.hot_restart.channel import DescriptorConnection, HandoverChannel
from arrowseam.hot_restart.cordon_file import CordonFile
from arrowseam.hot_restart.restart_socket import RestartSocket
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.listener import Listener
from arrowseam.net.task import Coroutine


class ProxyProcesses:
    """A world in which the proxy runs in child processes; ``wire`` selects the protocol that clients use."""

    def __init__(self, wire: str, tmp_path: Path, *modes: str) -> None:
        self.world = ProxyNetwork(wire, *(modes or ("up", "up")))
        self.folder, self.processes = tmp_path, []
        edge_port, nats_port = free_port(), free_port()
        self.config = self.world.doc | {"listen": f"127.0.0.1:{edge_port}"}
        self.nats_config = self.world.nats | {"listen": f"127.0.0.1:{nats_port}"}
        del self.nats_config["health"], self.nats_config["agent"]
        self.world.address = ("127.0.0.1", edge_port if wire == "lines" else nats_port)

    def start(self, *options: str) -> subprocess.Popen[bytes]:
        """Start another process and wait until it reports that it serves."""
        process = self.spawn(*options)
        self.world.until(lambda: self.call(b"health\n") == b"ACK\n", 10)
        return process

    def spawn(self, *options: str) -> subprocess.Popen[bytes]:
        port = free_port()
        self.world.addresses["control"] = ("127.0.0.1", port)
        config_path, nats_path = self.folder / f"{port}.json", self.folder / "nats.json"
        config_path.write_text(json.dumps(self.config | {"control": f"127.0.0.1:{port}"}))
        nats_path.write_text(json.dumps(self.nats_config))
        command = [
            sys.executable,
            "-m",
            "arrowseam",
            "serve",
            "--config",
            str(config_path),
            "--nats",
            str(nats_path),
            *options,
        ]
        log = (self.folder / f"{port}.log").open("wb")
        process = subprocess.Popen(
            command, stdout=log, stderr=log, env=os.environ | {"TMPDIR": str(self.folder)}
        )
        log.close()
        self.processes.append(process)
        return process

    def call(self, request: bytes) -> bytes:
        """Ask the newest process's control server, without running the world; empty if nothing listens."""
        try:
            with socket.create_connection(self.world.addresses["control"], timeout=2) as sock:
                sock.sendall(request)
                return sock.makefile("rb").read()
        except OSError:
            return b""

    def log_text(self) -> str:
        return "".join(path.read_text() for path in self.folder.glob("*.log"))

    def close(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
        self.world.close()


@pytest.fixture(params=["lines", "nats"])
def proxy(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[ProxyProcesses]:
    created = ProxyProcesses(request.param, tmp_path)
    yield created
    created.close()


def test_no_client_connection_is_reset_during_a_hot_restart(proxy):
    """Clients connect all the time; each must be served, by the old process or by the new one."""
    w, clients = proxy.world, []
    old = proxy.start()

    def connect_repeatedly() -> Coroutine[None]:
        while True:
            clients.append(w.client(next(w.numbers)))
            next_at = clock() + 5000
            while clock() < next_at:
                yield next_at

    w.loop.start_task(connect_repeatedly(), "clients")
    w.until(lambda: len(clients) > 10)
    proxy.start()
    old.send_signal(signal.SIGTERM)
    w.until(lambda: old.poll() is not None, 8)
    assert old.returncode == 0
    count = len(clients)
    w.until(lambda: len(clients) > count + 10 and all(c.has("up") for c in clients[: count + 10]))
    assert "does not hand over" not in proxy.log_text()
    assert "Traceback" not in proxy.log_text()


def test_old_process_continues_if_the_new_one_dies_during_the_handover(proxy):
    """A new process requests the handover, gets all sockets and dies before it accepts. The old one has not
    released anything yet, so it must continue as if there had been no request.
    """
    w = proxy.world
    proxy.start()
    (client,) = w.up()
    # The new process receives all sockets, and dies before it reports that it is ready.
    channel = RestartSocket(proxy.folder, "n0", proxy.config["listen"]).connect()
    channel.sendall(b'{"hello":1}\n')
    data, fds, _, _ = socket.recv_fds(channel, 65536, 16)
    assert data
    assert len(fds) >= 3
    for fd in fds:
        os.close(fd)
    channel.close()
    w.until(lambda: "the new process has ended first" in proxy.log_text())
    assert proxy.call(b"health\n") == b"ACK\n"
    w.up(5)
    assert not client.ended_at


def test_cordons_survive_a_hot_restart_and_a_crash(proxy):
    """Endpoints are cordoned and uncordoned before and during a hot restart, also at the old process, and
    then both processes are killed. Whichever process serves must know all cordons.
    """
    w = proxy.world
    old = proxy.start()
    old_control = w.addresses["control"]
    assert proxy.call(b"cordon s0\n") == b"ACK\n"
    for server in w.servers:
        server.mode = "silent"
    w.client()
    w.until(lambda: w.in_flight)  # an unanswered attempt keeps the old process alive for a while
    new = proxy.start()
    new_control = w.addresses["control"]
    w.addresses["control"] = old_control  # the old process still runs and takes commands
    assert proxy.call(b"uncordon s0\n") == b"ACK\n"
    assert proxy.call(b"cordon s1\n") == b"ACK\n"
    w.addresses["control"] = new_control
    w.run(0.2)
    for server in w.servers:
        server.mode = "up"
    before = len(w.servers[1].received)
    w.up(10)
    assert len(w.servers[1].received) == before
    for process in (old, new):
        process.kill()
        process.wait()
    proxy.start()
    w.up(10)
    assert len(w.servers[1].received) == before
    assert proxy.call(b"uncordon s1\n") == b"ACK\n"
    assert not CordonFile(proxy.folder, "n0", proxy.config["listen"]).load()


def test_connection_id_in_use_at_the_old_process_is_rejected_by_the_new_one(tmp_path):
    """During a hot restart both processes share the ids of client connections. An id that is in use at one of
    them must be rejected by the other.
    """
    proxy = ProxyProcesses("lines", tmp_path)
    w = proxy.world
    proxy.start()
    first = w.client(7)
    w.until(lambda: first.has("up"))
    proxy.start()
    second = w.client(7)
    w.until(lambda: second.ended_at or second.has("up"))
    assert second.has("failed")
    assert not second.has("up")
    proxy.close()


def test_new_process_continues_discovery_from_the_list_handed_over(proxy):
    w = proxy.world
    proxy.start()
    w.until(lambda: w.calls)
    w.update_list(s0={"lifecycle": "Terminating"}, s1={})
    w.until(lambda: any("since=2" in target for _, target in w.calls))
    calls = len(w.calls)
    proxy.start()
    before = len(w.servers[0].received)
    w.until(lambda: len(w.calls) > calls, 2)
    w.up(10)
    assert len(w.servers[0].received) == before
    assert all("since=2" in target for _, target in w.calls[calls:])


@pytest.mark.parametrize("text", ["", "{", '{"a": 1}', "[1]"])
def test_a_damaged_cordon_file_is_ignored_and_replaced(tmp_path, text):
    """The cordon file is damaged. A proxy must start all the same, without cordons, and rewrite the file at
    the next cordon.
    """
    cordon_file = CordonFile(tmp_path, "n0", "127.0.0.1:1")
    cordon_file.path.write_text(text)
    assert cordon_file.load() == []
    cordon_file.save(["s1", "s2"])
    assert cordon_file.load() == ["s1", "s2"]


def test_restart_socket_excludes_other_users_and_replaces_a_stale_one(tmp_path):
    """A process has died and left its socket behind. The next one must start as usual and listen in its
    place, with a file mode that excludes other users.
    """
    folder = tmp_path / ("long" * 40)  # longer than the path of a unix socket may be
    folder.mkdir()
    restart_socket = RestartSocket(folder, "n0", "127.0.0.1:1")
    assert restart_socket.connect() is None
    restart_socket.listen().close()
    assert restart_socket.connect() is None  # stale
    with restart_socket.listen():
        assert (folder / restart_socket.file_name).stat().st_mode & 0o777 == 0o600
        connected = restart_socket.connect()
        assert connected is not None
        connected.close()
    assert len(list(folder.iterdir())) == 1


def test_established_connections_continue_at_the_new_process_without_loss(proxy):
    """Clients and endpoints notice nothing: no connection is migrated or ended, and none loses a partly
    received message or an unanswered request.
    """
    w = proxy.world
    old = proxy.start()
    clients = w.up(20)
    for server in w.servers:
        server.send_to_all(w.messages["half"])
    w.run(0.1)
    new = proxy.start()
    w.until(lambda: old.poll() == 0, 4)
    for server in w.servers:
        server.send_to_all(w.messages["rest"])
    message = w.messages["half"] + w.messages["rest"]
    w.until(lambda: all(message in c.got for c in clients))
    for client in clients:
        client.send(w.messages["ask"])
    w.until(lambda: all(c.has("reply") for c in clients))
    assert not any(c.ended_at or c.has("moved") for c in clients)
    counters = w.counters()
    assert counters["edge.concurrent"] == 20
    assert counters["edge.replies.tech.success"] == 0
    clients[0].conn.close()  # a client that disconnects is no longer counted at the new process
    w.until(lambda: w.counters()["edge.concurrent"] == 19)
    new.send_signal(signal.SIGTERM)  # a drain of the new process migrates the others
    w.until(lambda: all(c.ended_at for c in clients[1:]))
    assert all(c.has("moved") for c in clients[1:])


def test_a_handed_over_connection_is_migrated_off_a_cordoned_endpoint(proxy):
    """A connection was handed over in a hot restart, and its endpoint is cordoned after that. The new
    process must migrate it as if it had established it itself.
    """
    w = proxy.world
    proxy.start()
    clients = w.up(12)
    assert w.servers[0].live
    proxy.start()
    w.run(0.2)
    assert proxy.call(b"cordon s0\n") == b"ACK\n"
    w.until(lambda: not w.servers[0].live, 8)
    assert {c.has("moved") for c in clients} == {True, False}


def test_a_connection_inside_a_long_message_is_not_handed_over_before_its_end(proxy):
    """A message too long to be buffered cannot be handed over: the old process forwards it to its end."""
    w = proxy.world
    old = proxy.start()
    (client,) = w.up()
    (server,) = [s for s in w.servers if s.live]
    size = 200_000
    head = b"MSG a 1 %d\r\n" % size if w.wire == "nats" else b""
    server.send_to_all(head + b"x" * 40_000)
    w.until(lambda: len(client.got) > 10_000)
    proxy.start()
    w.run(0.1)
    assert old.poll() is None
    rest = b"x" * (size - 40_000) + b"\r\n"
    w.loop.start_task(server.live[0].send(rest, clock() + 5 * SECOND), "rest")
    w.until(lambda: old.poll() == 0, 4)
    assert len(client.got) >= size
    assert not client.ended_at


def test_an_old_process_that_hangs_does_not_keep_the_new_one_from_serving(proxy):
    """The old process, here a stand-in, hands over and then never releases its listeners."""
    w = proxy.world
    state = {"list": {"generation": 1, "reset": True, "instances": [s.row for s in w.servers]}, "sockets": []}
    reports: list[bytes | None] = []

    def hanging_process(conn: Connection) -> Coroutine[None]:
        yield from conn.read_line(1000, clock() + SECOND)
        yield from conn.send(json.dumps(state).encode() + b"\n", clock() + SECOND)
        reports.append((yield from conn.read_line(1000, clock() + 9 * SECOND)))
        while not conn.eof:
            yield None

    Listener(
        w.loop, RestartSocket(proxy.folder, "n0", proxy.config["listen"]).listen(), "old", hanging_process
    )
    proxy.spawn()
    w.until(lambda: reports == [b'{"ready": []}\n'], 8)
    assert not proxy.call(b"health\n").startswith(b"ACK")
    w.until(lambda: proxy.call(b"health\n") == b"ACK\n", 5)
    w.up(5)


def test_channel_closes_if_the_kernel_drops_descriptors():
    """When no descriptor is free, the kernel drops some that were sent. The others must not be paired
    wrongly, or a client would get another client's endpoint.
    """
    loop = EventLoop()
    receiver, sender = socket.socketpair()
    conn = DescriptorConnection(loop, receiver, None)
    messages: list[object] = []
    channel = HandoverChannel(loop, conn, lambda message, _: messages.append(message))
    extra_sockets = [socket.socket() for _ in range(3)]
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    socket.send_fds(sender, [b'{"stands":{}}\n'], [sock.fileno() for sock in extra_sockets[:2]])
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(sock.fileno() for sock in extra_sockets) + 4, hard))
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
    for sock in (*extra_sockets, sender):
        sock.close()
    loop.epoll.close()
    os.close(loop.spare_descriptor)


def test_endpoints_of_a_file_survive_a_hot_restart_while_the_file_is_invalid(proxy):
    """The new process must use the endpoints that the old one had, continue to drain the removed one, and
    read the file again once it is valid.
    """
    w = proxy.world
    operator, path = proxy.folder / "op.star", proxy.folder / "servers.json"
    operator.write_text('servers(file="servers.json", max_removed=0.6, settle_ms=0, drain_s=30)')
    proxy.config |= {"discovery": "", "known": {}}
    rows = [server.row for server in w.servers]
    path.write_text(json.dumps({"generation": 4, "instances": rows}))
    proxy.start("--operator", str(operator))
    old_clients = w.up(6)
    path.write_text(json.dumps({"generation": 5, "instances": rows[:1]}))
    w.until(lambda: b'"state":"leaving"' in proxy.call(b"members\n"))
    path.write_text('{"generation": 6, "instances": [')
    w.until(lambda: b"refused.json" in proxy.call(b"counters\n"))
    proxy.start("--operator", str(operator))
    sources = [json.loads(line) for line in proxy.call(b"sources\n").splitlines()[:-1]]
    assert [(s["origin"], s["servers"], s["generation"]) for s in sources] == [("hand-over", 1, 5)]
    states = {
        row["instanceId"]: row["state"] for row in map(json.loads, proxy.call(b"members\n").splitlines()[:-1])
    }
    assert states == {"s0": "ready", "s1": "leaving"}
    w.until(lambda: not w.servers[1].live, 10)
    new_clients = w.up(4)
    assert not w.servers[1].live
    assert not any(c.ended_at for c in new_clients)
    assert all(c.has("moved") for c in old_clients if c.ended_at)
    path.write_text(json.dumps({"generation": 3, "instances": rows}))  # older than the list handed over
    w.until(lambda: b"refused.generation" in proxy.call(b"counters\n"))
    path.write_text(json.dumps({"generation": 6, "instances": rows}))
    w.until(lambda: b'"leaving"' not in proxy.call(b"members\n"))
