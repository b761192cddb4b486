"""One small world on loopback for the tests of the network code: stand-ins for consumers, servers and the
directory, written as coroutines on the proxy's own loop, so a test needs no threads and waits on conditions.

``World(wire)`` has one proxy with both fronts; ``wire`` says which one the stand-ins speak.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import re
import socket
import time
from collections.abc import Callable
from typing import Any

from arrowseam.config.proxy import read_config
from arrowseam.net.loop import SECOND, Conn, Loop, Steps, clock
from arrowseam.net.nats import read_nats_config
from arrowseam.proxy import Proxy

LANE = {"aim": 300000, "deadline": 1800000, "effect": "retryable", "name": "tech"}
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "caps": {"max_attempts": 5, "dial_timeout": 250000, "max_retry_after": 1500000, "retry_after": True},
    "invariants": {"cold_share": 0.12, "drain_grace": 2000000, "fall_multiple": 4.0, "overload_for": 2000000,
                   "warm_up": 24000000, "ask_within": 400000},
    "lanes": [LANE, LANE | {"name": "resident", "deadline": 600000}],
    "tenants": [{"name": "acme", "share": 1.0}],
    "kinds": ["k"],
    "zones": ["z"],
    "registry_mode": "subscribe",
}  # fmt: skip

# What each wire's words look like: the opening, and how each answer begins.
WORDS: dict[str, dict[str, Any]] = {
    "lines": {
        "open": lambda n, klass: b"OPEN %016x 0a c=%s,t=acme,d=%d\r\n" % (n, klass, LANE_MS[klass]),
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
LANE_MS = {b"tech": 1800, b"resident": 600}


PORTS = itertools.count(10_000 + os.getpid() * 61 % 20_000)


def free_port() -> int:
    """One that no other listener is given: below those the system hands out for port 0, since two listeners
    of one process may share a port without an error (``SO_REUSEPORT``)."""
    while True:
        port = next(PORTS)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


class Server:
    """A stand-in server. ``mode`` says how it answers a first line: up, busy, error, reset, silent (takes it
    and says nothing), half (stalls midway through its greeting), deaf (says nothing after UP), or drip (up,
    each byte of its greeting and answer by itself)."""

    def __init__(self, world: World, name: str, mode: str) -> None:
        self.world, self.name, self.mode = world, name, mode
        self.heard: list[bytearray] = []  # all that came, a connection each
        self.live: list[Conn] = []
        self.opened_at: list[int] = []
        self.listener = world.loop.listen(("127.0.0.1", 0), name, self.serve)
        self.row = {"instanceId": name, "hostPort": f"127.0.0.1:{self.listener.address[1]}", "zone": "z",
                    "machineType": "k", "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}  # fmt: skip

    def serve(self, conn: Conn) -> Steps[None]:
        words, mode, got = self.world.words, self.mode, bytearray()
        self.heard.append(got)
        self.opened_at.append(clock())
        self.live.append(conn)
        self.world.flying += 1
        self.world.most_flying = max(self.world.most_flying, self.world.flying)
        answered = False
        try:
            yield from self.send(conn, words["half greeting"] if mode == "half" else words["greeting"])
            while not conn.eof and not conn.closed:
                if not conn.fill():
                    if not conn.eof:
                        yield None
                    continue
                data = conn.inbox.take(len(conn.inbox))
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
                    self.world.flying -= 1
                    yield from self.send(conn, b"UP r1\r\n" if self.world.wire == "lines" else b"")
                    data = b"" if self.world.wire == "lines" else data
                if self.world.wire == "lines":
                    yield from conn.send(data, clock() + SECOND)
                else:
                    yield from self.send(conn, b"PONG\r\n" * data.count(b"PING\r\n"))
                    yield from conn.send(words["reply"] * data.count(b"PUB "), clock() + SECOND)
        finally:
            self.live.remove(conn)
            self.world.flying -= not answered

    def send(self, conn: Conn, data: bytes) -> Steps[None]:
        size = 1 if self.mode == "drip" else len(data) or 1
        for at in range(0, len(data), size):
            yield from conn.send(data[at : at + size], clock() + SECOND)
            pause = clock() + 500
            while size < len(data) and clock() < pause:
                yield pause

    def say(self, data: bytes) -> None:
        for conn in self.live:
            assert conn.push(data) == len(data)


class Consumer:
    """A stand-in consumer: what it got, and when its connection ended."""

    def __init__(self, world: World, opening: bytes) -> None:
        self.world, self.got, self.conn = world, bytearray(), None
        self.ended_at = 0
        self.reading = True
        self.began = clock()
        world.loop.spawn(self.run(opening), "consumer")

    def run(self, opening: bytes) -> Steps[None]:
        conn = yield from self.world.loop.connect(self.world.address, clock() + SECOND)
        assert conn is not None
        self.conn = conn
        yield from conn.send(opening, clock() + SECOND)
        while not conn.eof and not conn.closed:
            if self.reading and conn.fill():
                self.got += conn.inbox.take(len(conn.inbox))
            elif not conn.eof:
                yield None
        self.ended_at = clock()
        conn.close()

    def say(self, data: bytes) -> None:
        assert self.conn is not None and self.conn.push(data) == len(data)

    def has(self, word: str) -> bool:
        return self.world.words[word] in bytes(self.got)

    @property
    def answers(self) -> int:
        """Final answers, in whatever form."""
        return sum(bytes(self.got).count(self.world.words[w]) for w in ("up", "rejected", "failed"))


class World:
    def __init__(
        self,
        wire: str,
        *modes: str,
        known: bool = True,
        operator: Any = None,
        directory: bool = True,
        **changes: Any,
    ) -> None:
        self.wire, self.words, self.loop = wire, WORDS[wire], Loop()
        self.stood = 0.0  # the longest that a round took, of those last run, in seconds
        self.flying = self.most_flying = 0
        self.numbers = itertools.count(1000)  # an id is new with every connection
        self.version, self.told, self.calls = 1, [], []
        self.bad: bytes | None = None  # what the directory answers in place of a list
        self.servers = [Server(self, f"s{n}", mode) for n, mode in enumerate(modes)]
        asked = self.loop.listen(("127.0.0.1", 0), "directory", self._directory).address[1]
        rows = [server.row for server in self.servers]
        doc = {
            "name": "n0", "listen": "127.0.0.1:0", "control": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{asked}" if directory else "",
            "seed": "1f", "limits": {"sockets": 1000}, "settings": SETTINGS | changes,
            "known": {"generation": 1, "reset": True, "instances": rows if known else []},
        }  # fmt: skip
        self.doc: dict[str, Any] = doc
        self.config = read_config(json.dumps(doc).encode())
        place = {user: {"class": user, "tenant": "acme"} for user in ("tech", "resident")}
        self.nats = nats = {
            "listen": f"127.0.0.1:{free_port()}",
            "users": place,
            "health": "127.0.0.1:0",
            "agent": "127.0.0.1:0",
        }
        nats["servers"] = {row["instanceId"]: row["hostPort"] for row in rows}
        self.second = read_nats_config(json.dumps(nats).encode(), self.config)
        self.proxy = Proxy(self.loop, self.config, self.second, operator=operator)
        self.relay = self.proxy.relay
        self.addresses = {listener.name: listener.address for listener in self.loop.listeners}
        self.address = self.addresses["front" if wire == "lines" else "nats"]

    def _directory(self, conn: Conn) -> Steps[None]:
        while (line := (yield from conn.line(1000, clock() + 60 * SECOND))) is not None:
            if not line.startswith(b"GET"):
                continue
            self.calls.append((clock(), line.split()[1].decode()))
            since = re.search(rb"since=(\d+)", line)
            while since and int(since[1]) >= self.version and self.bad is None:
                yield clock() + 5000
            text = json.dumps(
                {"generation": self.version, "reset": not since, "instances": self.told}
            ).encode()
            text = self.bad if self.bad is not None else text
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text)
            yield from conn.send(head + text, clock() + SECOND)

    def call(self, words: bytes) -> Callable[[], bytes | None]:
        """Say a line to control; what comes back is there once all of it is."""
        got: list[bytes] = []

        def run() -> Steps[None]:
            conn = yield from self.loop.connect(self.addresses["control"], clock() + SECOND)
            assert conn is not None and (yield from conn.send(words, clock() + SECOND))
            while not conn.eof:
                if not conn.fill() and not conn.eof:
                    yield None
            got.append(conn.inbox.take(len(conn.inbox)))
            conn.close()

        self.loop.spawn(run(), "caller")
        return lambda: got[0] if got else None

    def control(self, words: bytes) -> bytes:
        answer = self.call(words)
        self.until(lambda: answer() is not None)
        return answer() or b""

    def figures(self) -> dict[str, int]:
        """What ``counters`` tells."""
        *lines, end = self.control(b"counters\r\n").decode().splitlines()
        assert end == "--"
        found = [re.fullmatch(r"(edge\.[\w.-]+):(\d+)\|([cg])", line) for line in lines]
        assert all(found)
        return {match[1]: int(match[2]) for match in found if match}

    def tell(self, **rows: dict[str, Any]) -> None:
        """The directory's list changes: fields by server."""
        self.told = [server.row | rows[server.name] for server in self.servers if server.name in rows]
        self.version += 1

    def consumer(self, number: int = 1, klass: bytes = b"tech", more: bytes = b"") -> Consumer:
        return Consumer(self, self.words["open"](number, klass) + more)

    def until(self, condition: Callable[[], Any], seconds: float = 5.0) -> None:
        """Run the world until the condition holds."""
        turn, end = self.relay.turn, time.monotonic() + seconds
        self.stood, last = 0.0, time.monotonic()

        def watched(now: int) -> int:
            nonlocal last
            due = turn(now)
            self.stood, last = max(self.stood, time.monotonic() - last), time.monotonic()
            self.loop.stopped = bool(condition()) or time.monotonic() > end
            return min(due or now + 10_000, now + 10_000)

        self.loop.turn = watched
        self.loop.stopped = False
        self.loop.run()
        assert condition(), "it did not come about"

    def run(self, seconds: float) -> None:
        """Let time pass, to see that nothing happens."""
        end = time.monotonic() + seconds
        self.until(lambda: time.monotonic() >= end, seconds + 5)

    def up(self, count: int = 1, **fields: Any) -> list[Consumer]:
        """Consumers that have been served. Where the machine stood still meanwhile, others are tried: to the
        proxy, a stand-in on its own loop is then a server that does not answer."""
        for _ in range(3):
            found = [self.consumer(next(self.numbers), **fields) for _ in range(count)]
            self.until(lambda found=found: all(c.answers for c in found))
            if all(c.has("up") for c in found):
                return found
            assert self.stood > 0.1, [bytes(c.got) for c in found]
        raise AssertionError("the machine stands still too often")

    def close(self) -> None:
        if self.proxy.members is not None:
            self.proxy.members.close()
        for conn in list(self.loop.conns.values()):
            if isinstance(conn, Conn):
                conn.close()
        for listener in self.loop.listeners:
            listener.sock.close()
        with contextlib.suppress(OSError):
            self.loop.epoll.close()
