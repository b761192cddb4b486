"""Stand-ins for endpoints and clients of both protocols, on the event loop and on loopback.

They send what real ones send, with the failures that a caller asks for, and record what came and when. They
must never judge it. Tests and the laboratory use the same ones.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import socket
from typing import Any, Protocol

from arrowseam.address import Address
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.listener import listen
from arrowseam.net.task import Coroutine


class StandInNetwork(Protocol):
    """Where stand-ins of one protocol run."""

    loop: EventLoop
    wire: str
    messages: dict[str, Any]
    address: Address  # where its clients connect
    in_flight: int  # calls that servers have taken and not answered
    max_in_flight: int


# The messages of each protocol: the opening, and how each answer begins.
PROTOCOL_MESSAGES: dict[str, dict[str, Any]] = {
    "lines": {
        "open": lambda n, klass: b"OPEN %016x 0a c=%s,t=acme,d=%d\r\n" % (n, klass, DEADLINES_MS[klass]),
        "up": b"UP ", "rejected": b"BUSY ", "failed": b"ERR", "moved": b"MOVE\r\n",
        "ask": b"hello 1\r\n", "reply": b"hello 1\r\n", "half": b"half a ", "rest": b"line\r\n",
        "server busy": b"BUSY\r\n", "server error": b"ERR\r\n", "greeting": b"", "half greeting": b"UP ha",
    },
    "nats": {
        "open": lambda n, klass: b'CONNECT {"user":"%s","name":"%d"}\r\nPING\r\n' % (klass, n),
        "up": b"PONG\r\n", "rejected": b"-ERR 'Maximum Connections Exceeded, Retry After ",
        "failed": b"-ERR 'Upstream Failed'", "moved": b'"ldm":true}\r\n',
        "ask": b"PUB a 2\r\nhi\r\n", "reply": b"MSG a 1 2\r\nhi\r\n",
        "half": b"MSG a 1 10\r\nhalf ", "rest": b"more.\r\n",
        "server busy": b"-ERR 'maximum connections exceeded'\r\n", "server error": b"-ERR 'Nope'\r\n",
        "greeting": b'INFO {"server_id":"s","max_payload":1048576}\r\n', "half greeting": b'INFO {"ser',
    },
}  # fmt: skip
DEADLINES_MS: dict[bytes, int] = {
    b"tech": 1800,
    b"resident": 600,
}  # how long a client of each class waits


_PORTS = itertools.count(10_000 + os.getpid() * 61 % 20_000)


def free_port() -> int:
    """A port that no other listener gets.

    It is below those that the system assigns for port 0: two listeners of one process may share a port
    without an error (``SO_REUSEPORT``).
    """
    while True:
        port = next(_PORTS)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


class StandInEndpoint:
    """A stand-in endpoint.

    ``mode`` says how it answers an opening: up, busy, error, reset, silent (takes it and sends nothing), half
    (stalls midway through its greeting), deaf (sends nothing after it has taken the client), or drip (up,
    each byte of its greeting and answer by itself).
    """

    def __init__(self, world: StandInNetwork, name: str, mode: str) -> None:
        self.world, self.name, self.mode = world, name, mode
        self.received: list[bytearray] = []  # all that came, a connection each
        self.live: list[Connection] = []
        self.opened_at: list[int] = []
        self.listener = listen(world.loop, ("127.0.0.1", 0), name, self.serve)
        self.row = {"instanceId": name, "hostPort": f"127.0.0.1:{self.listener.address[1]}", "zone": "z",
                    "machineType": "k", "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}  # fmt: skip

    def serve(self, conn: Connection) -> Coroutine[None]:
        """Serve one connection as ``mode`` says."""
        words, mode, got = self.world.messages, self.mode, bytearray()
        self.received.append(got)
        self.opened_at.append(clock())
        self.live.append(conn)
        self.world.in_flight += 1
        self.world.max_in_flight = max(self.world.max_in_flight, self.world.in_flight)
        answered = False
        try:
            yield from self.send(conn, words["half greeting"] if mode == "half" else words["greeting"])
            while not conn.eof and not conn.closed:
                if not conn.read():
                    if not conn.eof:
                        yield None
                    continue
                data = conn.received.take(len(conn.received))
                got += data
                deaf = mode == "deaf" and answered and (self.world.wire == "lines" or got.count(b"PING") > 2)
                if mode in ("silent", "half") or deaf:
                    continue
                if not answered and (b"PING" in got or self.world.wire == "lines"):
                    if mode == "reset":
                        conn.close(reset=True)
                    elif mode in ("busy", "error"):
                        yield from conn.send(words["server " + mode], clock() + SECOND)
                        return
                    answered = True
                    self.world.in_flight -= 1
                    yield from self.send(conn, b"UP r1\r\n" if self.world.wire == "lines" else b"")
                    data = b"" if self.world.wire == "lines" else data
                if self.world.wire == "lines":
                    yield from conn.send(data, clock() + SECOND)
                else:
                    yield from self.send(conn, b"PONG\r\n" * data.count(b"PING\r\n"))
                    yield from conn.send(words["reply"] * data.count(b"PUB "), clock() + SECOND)
        finally:
            self.live.remove(conn)
            self.world.in_flight -= not answered

    def send(self, conn: Connection, data: bytes) -> Coroutine[None]:
        """Send to one connection, in the mode drip byte by byte."""
        size = 1 if self.mode == "drip" else len(data) or 1
        for at in range(0, len(data), size):
            yield from conn.send(data[at : at + size], clock() + SECOND)
            pause = clock() + 500
            while size < len(data) and clock() < pause:
                yield pause

    def send_to_all(self, data: bytes) -> None:
        """Send to all connections at once."""
        for conn in self.live:
            assert conn.write(data) == len(data)


class StandInClient:
    """A stand-in client: what it got, and when its connection ended."""

    def __init__(self, world: StandInNetwork, opening: bytes) -> None:
        self.world, self.got = world, bytearray()
        self.conn: Connection | None = None
        self.ended_at = 0
        self.reading = True
        self.began = clock()
        world.loop.start_task(self.run(opening), "client")

    def run(self, opening: bytes) -> Coroutine[None]:
        """Connect, send the opening and read until the connection ends."""
        conn = yield from self.world.loop.connect(self.world.address, clock() + SECOND)
        assert conn is not None
        self.conn = conn
        yield from conn.send(opening, clock() + SECOND)
        while not conn.eof and not conn.closed:
            if self.reading and conn.read():
                self.got += conn.received.take(len(conn.received))
            elif not conn.eof:
                yield None
        self.ended_at = clock()
        conn.close()

    def send(self, data: bytes) -> None:
        """Send at once."""
        assert self.conn is not None
        assert self.conn.write(data) == len(data)

    def has(self, word: str) -> bool:
        """Whether a message of this kind has come."""
        return self.world.messages[word] in bytes(self.got)

    @property
    def answers(self) -> int:
        """Final answers, in whatever form."""
        return sum(bytes(self.got).count(self.world.messages[w]) for w in ("up", "rejected", "failed"))
