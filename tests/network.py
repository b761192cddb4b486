"""One proxy on loopback for the tests of the network code, with stand-in clients, endpoints and discovery.

The stand-ins are coroutines on the proxy's own event loop, so a test needs no threads and waits on
conditions. The proxy listens for both protocols; ``wire`` is the one that the stand-ins speak.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import re
import time
from collections.abc import Callable, Iterator
from typing import Any

from arrowseam.config.proxy import read_config
from arrowseam.lab.stand_ins import PROTOCOL_MESSAGES, StandInClient, StandInEndpoint, free_port
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.listener import listen
from arrowseam.net.task import Coroutine
from arrowseam.protocols.nats.config import read_nats_config
from arrowseam.proxy.server import Proxy

REQUEST_CLASS = {"aim": 300000, "deadline": 1800000, "effect": "retryable", "name": "tech"}
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "caps": {"max_attempts": 5, "dial_timeout": 250000, "max_retry_after": 1500000, "retry_after": True},
    "invariants": {"cold_share": 0.12, "drain_grace": 2000000, "fall_multiple": 4.0, "overload_for": 2000000,
                   "warm_up": 24000000, "ask_within": 400000},
    "lanes": [REQUEST_CLASS, REQUEST_CLASS | {"name": "resident", "deadline": 600000}],
    "tenants": [{"name": "acme", "share": 1.0}],
    "kinds": ["k"],
    "zones": ["z"],
    "registry_mode": "subscribe",
}  # fmt: skip


class ProxyNetwork:
    def __init__(
        self,
        wire: str,
        *modes: str,
        known: bool = True,
        operator: Any = None,
        discovery: bool = True,
        **changes: Any,
    ) -> None:
        self.wire, self.messages, self.loop = wire, PROTOCOL_MESSAGES[wire], EventLoop()
        self.longest_round_s = 0.0  # of the rounds in the last call of ``until``
        self.in_flight = self.max_in_flight = 0
        self.numbers = itertools.count(1000)  # request ids; each connection has a new one
        self.version, self.endpoint_rows, self.calls = 1, [], []  # of discovery
        self.raw_response: bytes | None = None  # sent by discovery in place of a list
        self.servers = [StandInEndpoint(self, f"s{n}", mode) for n, mode in enumerate(modes)]
        discovery_port = listen(self.loop, ("127.0.0.1", 0), "directory", self._discovery).address[1]
        rows = [server.row for server in self.servers]
        doc = {
            "name": "n0", "listen": "127.0.0.1:0", "control": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{discovery_port}" if discovery else "",
            "seed": "1f", "limits": {"sockets": 1000}, "settings": SETTINGS | changes,
            "known": {"generation": 1, "reset": True, "instances": rows if known else []},
        }  # fmt: skip
        self.doc: dict[str, Any] = doc
        self.config = read_config(json.dumps(doc).encode())
        users = {user: {"class": user, "tenant": "acme"} for user in ("tech", "resident")}
        self.nats = nats = {
            "listen": f"127.0.0.1:{free_port()}",
            "users": users,
            "health": "127.0.0.1:0",
            "agent": "127.0.0.1:0",
        }
        nats["servers"] = {row["instanceId"]: row["hostPort"] for row in rows}
        self.nats_config = read_nats_config(json.dumps(nats).encode(), self.config)
        self.proxy = Proxy(self.loop, self.config, self.nats_config, operator=operator)
        self.handler, self.driver = self.proxy.request_handler, self.proxy.driver
        self.addresses = {listener.name: listener.address for listener in self.loop.listeners}
        self.address = self.addresses["front" if wire == "lines" else "nats"]

    def _discovery(self, conn: Connection) -> Coroutine[None]:
        while (line := (yield from conn.read_line(1000, clock() + 60 * SECOND))) is not None:
            if not line.startswith(b"GET"):
                continue
            self.calls.append((clock(), line.split()[1].decode()))
            since = re.search(rb"since=(\d+)", line)
            while since and int(since[1]) >= self.version and self.raw_response is None:
                yield clock() + 5000
            text = json.dumps(
                {"generation": self.version, "reset": not since, "instances": self.endpoint_rows}
            ).encode()
            text = self.raw_response if self.raw_response is not None else text
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text)
            yield from conn.send(head + text, clock() + SECOND)

    def call(self, command: bytes) -> Callable[[], bytes | None]:
        """Send a command to control; the returned function gives the response once it is complete."""
        got: list[bytes] = []

        def run() -> Coroutine[None]:
            conn = yield from self.loop.connect(self.addresses["control"], clock() + SECOND)
            assert conn is not None
            assert (yield from conn.send(command, clock() + SECOND))
            while not conn.eof:
                if not conn.read() and not conn.eof:
                    yield None
            got.append(conn.received.take(len(conn.received)))
            conn.close()

        self.loop.start_task(run(), "caller")
        return lambda: got[0] if got else None

    def control(self, command: bytes) -> bytes:
        """The response of control to a command."""
        answer = self.call(command)
        self.until(lambda: answer() is not None)
        return answer() or b""

    def counters(self) -> dict[str, int]:
        """What the command ``counters`` prints, by name."""
        *lines, end = self.control(b"counters\r\n").decode().splitlines()
        assert end == "--"
        found = [re.fullmatch(r"(edge\.[\w.-]+):(\d+)\|([cg])", line) for line in lines]
        assert all(found)
        return {match[1]: int(match[2]) for match in found if match}

    def update_list(self, **rows: dict[str, Any]) -> None:
        """Make discovery list the endpoints named, each with the given fields changed."""
        self.endpoint_rows = [
            server.row | rows[server.name] for server in self.servers if server.name in rows
        ]
        self.version += 1

    def client(self, number: int = 1, klass: bytes = b"tech", more: bytes = b"") -> StandInClient:
        return StandInClient(self, self.messages["open"](number, klass) + more)

    def until(self, condition: Callable[[], Any], seconds: float = 5.0) -> None:
        """Run the event loop until the condition holds."""
        run_balancer, end = self.handler.run_balancer, time.monotonic() + seconds
        self.longest_round_s, last = 0.0, time.monotonic()

        def on_round(now: int) -> int:
            nonlocal last
            due = run_balancer(now)
            self.longest_round_s, last = max(self.longest_round_s, time.monotonic() - last), time.monotonic()
            self.loop.stopped = bool(condition()) or time.monotonic() > end
            return min(due or now + 10_000, now + 10_000)

        self.loop.on_round = on_round
        self.loop.stopped = False
        self.loop.run()
        assert condition(), "the condition did not hold in time"

    def run(self, seconds: float) -> None:
        """Run the event loop for so long, to check that nothing happens."""
        end = time.monotonic() + seconds
        self.until(lambda: time.monotonic() >= end, seconds + 5)

    def up(self, count: int = 1, **fields: Any) -> list[StandInClient]:
        """Connect clients and wait until all are served. Tries again with new ones if a round took over
        0.1 s: to the proxy, a stand-in on its own loop is then an endpoint that does not answer."""
        for _ in range(3):
            found = [self.client(next(self.numbers), **fields) for _ in range(count)]
            self.until(lambda found=found: all(c.answers for c in found))
            if all(c.has("up") for c in found):
                return found
            assert self.longest_round_s > 0.1, [bytes(c.got) for c in found]
        raise AssertionError("a round of the event loop took over 0.1 s in three attempts")

    def close(self) -> None:
        if self.proxy.endpoint_sources is not None:
            self.proxy.endpoint_sources.close()
        for conn in list(self.loop.watched.values()):
            if isinstance(conn, Connection):
                conn.close()
        for listener in self.loop.listeners:
            listener.sock.close()
        with contextlib.suppress(OSError):
            self.loop.epoll.close()


def create_networks(wire: str) -> Iterator[Callable[..., ProxyNetwork]]:
    """For fixtures: yields a function that creates networks of this protocol, and closes them at the end."""
    created: list[ProxyNetwork] = []

    def create(*modes: str, **fields: Any) -> ProxyNetwork:
        created.append(ProxyNetwork(wire, *modes, **fields))
        return created[-1]

    yield create
    for network in created:
        network.close()
