"""Stand-ins of a soak run: endpoints, clients and discovery that record what they receive and when.

They never judge. Times are microseconds of ``net.clock``.
"""

from __future__ import annotations

import json
import os
import re
from dataclasses import dataclass, field
from typing import Any

from arrowseam.address import Address
from arrowseam.lab.soak_plan import (
    DEADLINE,
    MS,
    REFUSING,
    SECOND,
    SHORT_DEADLINE,
    DiscoveryMode,
    RequestKind,
    Wire,
)
from arrowseam.lab.stand_ins import PROTOCOL_MESSAGES
from arrowseam.net.clock import clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.listener import listen
from arrowseam.net.task import Coroutine

ENDPOINT_PORTS = {Wire.LINES: 20_000, Wire.NATS: 21_000}  # of the first endpoint
DISCOVERY_PORT = 22_000
LATE_ANSWER_DELAY = 400 * MS
SLOW_CALL_DELAY = 900 * MS
LINE_INTERVAL = 250 * MS  # between two lines of a client
REQUEST_ID = {Wire.LINES: re.compile(rb"OPEN ([0-9a-f]{16})"), Wire.NATS: re.compile(rb'"name":\s*"(\d+)"')}
DEADLINES = {RequestKind.NON_IDEMPOTENT: SHORT_DEADLINE}


def own_host() -> str:
    """Return a loopback address that no other process of this machine uses.

    Listeners share ports (``SO_REUSEPORT``): two runs with the same address and ports would listen without an
    error and get each other's connections.
    """
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 250}.{pid >> 8 & 255}.{pid & 255}"


@dataclass
class Attempt:
    """One connection that a proxy made to an endpoint, and the request on it."""

    request_id: int
    endpoint: int
    mode: str
    began_at: int
    ended_at: int = 0  # 0: still open
    answered_at: int = 0


@dataclass
class ClientRecord:
    """What one client did and received."""

    request_id: int
    wire: Wire
    request: RequestKind
    connected_at: int = 0
    opened_at: int = 0  # when all of its opening was sent
    left_at: int = 0  # when it closed the connection
    ended_at: int = 0  # when the proxy ended the connection
    answered_at: int = 0
    got: bytearray = field(default_factory=bytearray)
    sent_at: list[int] = field(default_factory=list)
    replied_at: list[int] = field(default_factory=list)

    @property
    def messages(self) -> dict[str, Any]:
        """The messages of its protocol by name."""
        return PROTOCOL_MESSAGES[self.wire]

    @property
    def answers(self) -> int:
        """How many final answers of any kind were received."""
        got = bytes(self.got)
        return sum(got.count(self.messages[name]) for name in ("up", "rejected", "failed"))

    def has(self, message: str) -> bool:
        """Whether the message of this name has been received."""
        return self.messages[message] in bytes(self.got)

    @property
    def deadline(self) -> int:
        """How long it waits for its answer."""
        return DEADLINES.get(self.request, DEADLINE)


class SoakEndpoint:
    """An endpoint of one protocol, whose ``mode`` may change during the run."""

    def __init__(self, loop: EventLoop, wire: Wire, number: int, mode: str, attempts: list[Attempt]) -> None:
        self.loop, self.wire, self.number, self.mode, self.attempts = loop, wire, number, mode, attempts
        self._address = own_host(), ENDPOINT_PORTS[wire] + number
        self.listener = listen(loop, self._address, f"s{number}", self.serve)

    @property
    def address(self) -> str:
        """HOST:PORT."""
        host, port = self._address
        return f"{host}:{port}"

    def set_mode(self, mode: str) -> None:
        """Change how it answers; the listener is closed while it refuses connections."""
        if mode == REFUSING and self.mode != REFUSING:
            self.listener.close()
        elif mode != REFUSING and self.mode == REFUSING:
            self.listener = listen(self.loop, self._address, f"s{self.number}", self.serve)
        self.mode = mode

    def serve(self, conn: Connection) -> Coroutine[None]:
        """Serve one connection of a proxy."""
        messages, got, attempt = PROTOCOL_MESSAGES[self.wire], bytearray(), None
        yield from conn.send(messages["greeting"], clock() + SECOND)
        try:
            while not conn.eof and not conn.closed:
                if not conn.read():
                    if not conn.eof:
                        yield None
                    continue
                data = conn.received.take(len(conn.received))
                got += data
                if attempt is None and (attempt := self._attempt(got)) is not None:
                    if not (yield from self._answer(conn, attempt)):
                        return
                elif attempt is not None and attempt.answered_at:
                    yield from conn.send(self._replies(data), clock() + SECOND)
        finally:
            if attempt is not None:
                attempt.ended_at = clock()

    def _attempt(self, got: bytearray) -> Attempt | None:
        found = REQUEST_ID[self.wire].search(got)
        complete = got.endswith(b"\n") if self.wire is Wire.LINES else b"PING\r\n" in got
        if found is None or not complete:
            return None
        request_id = int(found[1], 16 if self.wire is Wire.LINES else 10)
        self.attempts.append(Attempt(request_id, self.number, self.mode, clock()))
        return self.attempts[-1]

    def _answer(self, conn: Connection, attempt: Attempt) -> Coroutine[bool]:
        """Answer an opening according to the mode; returns whether the connection stays open."""
        messages = PROTOCOL_MESSAGES[self.wire]
        match attempt.mode:
            case "reset":
                conn.close(reset=True)
                return False
            case "busy" | "error":
                yield from conn.send(messages["server " + attempt.mode], clock() + SECOND)
                return False
            case "silent":
                return True
            case "late":
                due = clock() + LATE_ANSWER_DELAY
                while clock() < due:
                    conn.read()
                    if conn.eof:
                        return False  # the proxy gave up
                    yield due
        attempt.answered_at = clock()
        greeting = b"UP r1\r\n" if self.wire is Wire.LINES else b"PONG\r\n"
        return (yield from conn.send(greeting, clock() + SECOND))

    def _replies(self, data: bytes) -> bytes:
        if self.wire is Wire.LINES:
            return data
        reply: bytes = PROTOCOL_MESSAGES[self.wire]["reply"]
        return b"PONG\r\n" * data.count(b"PING\r\n") + reply * data.count(b"PUB ")


class SoakClient:
    """A client that connects at once, and sends what the player calls for."""

    def __init__(self, loop: EventLoop, address: Address, record: ClientRecord) -> None:
        self.loop, self.record = loop, record
        self.conn: Connection | None = None
        loop.start_task(self._run(address), "client")

    def _run(self, address: Address) -> Coroutine[None]:
        conn = yield from self.loop.connect(address, clock() + SECOND)
        if conn is None:
            return  # the proxy no longer listens
        self.conn, record = conn, self.record
        record.connected_at = clock()
        while not conn.eof and not conn.closed:
            if conn.read():
                self._take(conn.received.take(len(conn.received)))
            elif not conn.eof:
                yield None
        if not record.left_at:
            record.ended_at = clock()
        conn.close()

    def _take(self, data: bytes) -> None:
        record = self.record
        before = bytes(record.got).count(record.messages["reply"])
        record.got += data
        if not record.answered_at and record.answers:
            record.answered_at = clock()
        replies = bytes(record.got).count(record.messages["reply"]) - before
        record.replied_at += [clock()] * replies

    def send(self, data: bytes) -> bool:
        """Write all of ``data`` without waiting; False if that is not possible."""
        conn = self.conn
        return conn is not None and not conn.closed and not conn.eof and conn.write(data) == len(data)

    def open(self) -> None:
        """Send the whole opening."""
        self.finish_opening(0)

    def begin_opening(self) -> int:
        """Send half of the opening; returns the number of bytes sent."""
        half = len(self._opening()) // 2
        return half if self.send(self._opening()[:half]) else 0

    def finish_opening(self, sent: int) -> None:
        """Send the rest of the opening."""
        if self.send(self._opening()[sent:]):
            self.record.opened_at = clock()

    def _opening(self) -> bytes:
        record = self.record
        if record.wire is Wire.NATS:
            opening: bytes = record.messages["open"](record.request_id, record.request.encode())
            return opening
        wait = record.deadline // MS
        return b"OPEN %016x 0a c=%s,t=acme,d=%d\r\n" % (record.request_id, record.request.encode(), wait)

    def send_line(self) -> None:
        """Send a line that the endpoint replies to."""
        if self.send(self.record.messages["ask"]):
            self.record.sent_at.append(clock())

    def leave(self) -> None:
        """Close the connection, if the proxy has not ended it."""
        if self.conn is not None and not self.record.ended_at:
            self.record.left_at = clock()
            self.conn.close()


class SoakDiscovery:
    """The discovery service; it records when it first listed an endpoint as draining."""

    def __init__(self, loop: EventLoop, rows: list[dict[str, Any]]) -> None:
        self.loop, self.rows, self.version = loop, rows, 1
        self.mode = DiscoveryMode.UP
        self.draining_since: dict[int, int] = {}  # endpoint -> when it was first listed as draining
        self.listener = listen(loop, (own_host(), DISCOVERY_PORT), "discovery", self.serve)

    def set_draining(self, endpoint: int, draining: bool) -> None:
        """List an endpoint as draining, or as ready again."""
        lifecycle = "Terminating" if draining else "Ready"
        if self.rows[endpoint]["lifecycle"] != lifecycle:
            self.rows[endpoint] = self.rows[endpoint] | {"lifecycle": lifecycle}
            self.version += 1
            if not draining:
                self.draining_since.pop(endpoint, None)

    def serve(self, conn: Connection) -> Coroutine[None]:
        """Answer calls at once, and long polls when the list has changed."""
        while (line := (yield from conn.read_line(1_000, clock() + 60 * SECOND))) is not None:
            if not line.startswith(b"GET"):
                continue
            since = re.search(rb"since=(\d+)", line)
            if self.mode is DiscoveryMode.DOWN:
                conn.close(reset=True)
                return
            due = clock() + (SLOW_CALL_DELAY if self.mode is DiscoveryMode.SLOW else 0)
            while clock() < due or self._has_no_update(int(since[1]) if since else -1):
                yield clock() + 5 * MS
                if conn.peer_closed:
                    return
            yield from self._send_list(conn, complete=not since)

    def _has_no_update(self, since: int) -> bool:
        return self.mode is DiscoveryMode.SILENT or since >= self.version

    def _send_list(self, conn: Connection, complete: bool) -> Coroutine[None]:
        for endpoint, row in enumerate(self.rows):
            if row["lifecycle"] == "Terminating":
                self.draining_since.setdefault(endpoint, clock())
        document = {"generation": self.version, "reset": complete, "instances": self.rows}
        text = json.dumps(document).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text)
        yield from conn.send(head + text, clock() + SECOND)
