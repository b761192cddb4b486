"""Stand-ins for endpoints and clients of both protocols, run by the event loop on loopback.

They send what real ones send, with the failures that a caller asks for, and record what they receive and
when. They must never judge it. Tests and the laboratory use the same ones.
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
    """What the stand-in endpoints and clients of one protocol share."""

    loop: EventLoop
    wire: str
    messages: dict[str, Any]
    address: Address  # where its clients connect
    in_flight: int  # openings that endpoints have accepted and not answered
    max_in_flight: int  # the highest value of ``in_flight`` so far


# The messages of each protocol by name: the opening, the beginnings of answers, and data.
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
    """Return a port that no other listener uses.

    It is below the range that the system assigns from for port 0: two listeners of one process may share a
    port without an error (``SO_REUSEPORT``).
    """
    while True:
        port = next(_PORTS)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


class StandInEndpoint:
    """A stand-in endpoint.

    ``mode`` is how it answers an opening: up, busy, error, reset, silent (reads it and sends nothing), half
    (stops midway through its greeting), deaf (sends nothing more once it has accepted the client), or drip
    (up, with each byte of its greeting and answer sent separately).
    """

    def __init__(self, network: StandInNetwork, name: str, mode: str) -> None:
        self.network, self.name, self.mode = network, name, mode
        self.received: list[bytearray] = []  # all bytes received, one buffer for each connection
        self.live: list[Connection] = []  # open connections
        self.opened_at: list[int] = []
        self.listener = listen(network.loop, ("127.0.0.1", 0), name, self.serve)
        self.row = {"instanceId": name, "hostPort": f"127.0.0.1:{self.listener.address[1]}", "zone": "z",
                    "machineType": "k", "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}  # fmt: skip

    def serve(self, conn: Connection) -> Coroutine[None]:
        """Serve one connection as ``mode`` says."""
        messages, mode, got = self.network.messages, self.mode, bytearray()
        self.received.append(got)
        self.opened_at.append(clock())
        self.live.append(conn)
        self.network.in_flight += 1
        self.network.max_in_flight = max(self.network.max_in_flight, self.network.in_flight)
        answered = False
        try:
            yield from self.send(conn, messages["half greeting"] if mode == "half" else messages["greeting"])
            while not conn.eof and not conn.closed:
                if not conn.read():
                    if not conn.eof:
                        yield None
                    continue
                data = conn.received.take(len(conn.received))
                got += data
                deaf = (
                    mode == "deaf" and answered and (self.network.wire == "lines" or got.count(b"PING") > 2)
                )
                if mode in ("silent", "half") or deaf:
                    continue
                if not answered and (b"PING" in got or self.network.wire == "lines"):
                    if mode == "reset":
                        conn.close(reset=True)
                    elif mode in ("busy", "error"):
                        yield from conn.send(messages["server " + mode], clock() + SECOND)
                        return
                    answered = True
                    self.network.in_flight -= 1
                    yield from self.send(conn, b"UP r1\r\n" if self.network.wire == "lines" else b"")
                    data = b"" if self.network.wire == "lines" else data
                if self.network.wire == "lines":
                    yield from conn.send(data, clock() + SECOND)
                else:
                    yield from self.send(conn, b"PONG\r\n" * data.count(b"PING\r\n"))
                    yield from conn.send(messages["reply"] * data.count(b"PUB "), clock() + SECOND)
        finally:
            self.live.remove(conn)
            self.network.in_flight -= not answered

    def send(self, conn: Connection, data: bytes) -> Coroutine[None]:
        """Send on one connection; in the mode drip, byte by byte."""
        size = 1 if self.mode == "drip" else len(data) or 1
        for at in range(0, len(data), size):
            yield from conn.send(data[at : at + size], clock() + SECOND)
            pause = clock() + 500
            while size < len(data) and clock() < pause:
                yield pause

    def send_to_all(self, data: bytes) -> None:
        """Write to all open connections without waiting."""
        for conn in self.live:
            assert conn.write(data) == len(data)


class StandInClient:
    """A stand-in client: the bytes that it received, and when its connection ended."""

    def __init__(self, network: StandInNetwork, opening: bytes) -> None:
        self.network, self.got = network, bytearray()
        self.conn: Connection | None = None
        self.ended_at = 0
        self.reading = True
        self.began = clock()
        network.loop.start_task(self.run(opening), "client")

    def run(self, opening: bytes) -> Coroutine[None]:
        """Connect, send the opening and read until the connection ends."""
        conn = yield from self.network.loop.connect(self.network.address, clock() + SECOND)
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
        """Write without waiting."""
        assert self.conn is not None
        assert self.conn.write(data) == len(data)

    def has(self, message: str) -> bool:
        """Whether the message of this name has been received."""
        return self.network.messages[message] in bytes(self.got)

    @property
    def answers(self) -> int:
        """How many final answers of any kind have been received."""
        return sum(bytes(self.got).count(self.network.messages[m]) for m in ("up", "rejected", "failed"))
