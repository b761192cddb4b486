"""Misbehaving clients at every listener of one real proxy, with the platform's limits, beside sound clients.

    python benchmarks/misbehaving_clients.py [--root CHECKOUT] [--seconds 5] [SCENARIO...]

Each scenario prints one line: how many sound clients of each kind were answered, how long they waited, the
peak memory of the proxy, and how often it blamed a server. The proxy runs from CHECKOUT (default: this one)
with 1,024 descriptors and a limit of 192 MB, as on a scored day. Servers and misbehaving clients are other
processes; all stays on loopback. ``tests/test_misbehaving_clients.py`` plays parts of it in CI.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import multiprocessing
import os
import resource
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from multiprocessing.process import BaseProcess
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
FIRST_PORT, PORT_COUNT = 10_000, 20_000
ROOT = Path(__file__).resolve().parents[1]
MEMORY_LIMIT_MB = 192
DESCRIPTOR_LIMIT = 1024
SERVER_COUNT = 4
DEADLINE_MS = 1800
DRAINING = "Terminating"
POISON = b"x=poison"  # in an opening that the servers answer with an error
CLASS = {"name": "tech", "aim": 300000, "deadline": DEADLINE_MS * 1000, "effect": "retryable"}
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "caps": {"max_attempts": 5, "dial_timeout": 250000, "max_retry_after": 1500000, "retry_after": True},
    "invariants": {"cold_share": 0.12, "drain_grace": 2000000, "fall_multiple": 4.0, "overload_for": 2000000,
                   "warm_up": 24000000, "ask_within": 10000000},
    "lanes": [CLASS],
    "tenants": [{"name": "acme", "share": 1.0}],
    "kinds": ["k"],
    "zones": ["z"],
    "registry_mode": "subscribe",
}  # fmt: skip
HEALTH_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
NATS_GREETING = b'CONNECT {"user":"tech","verbose":false}\r\nPING\r\n'
PIECE_BYTES = 60
ANSWER_WAIT_S = 3.0
CONNECT_INTERVAL_S = 0.05  # between two sound clients of one kind
LATE_S = 0.5


_ports = itertools.count(os.getpid() * 211)


def free_port() -> int:
    """A port that is free, below the range from which the system takes those of outgoing connections."""
    for number in _ports:
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((HOST, FIRST_PORT + number % PORT_COUNT))
            return int(sock.getsockname()[1])
    raise AssertionError("not reached: the numbers do not end")


def opening(number: int, fields: bytes = b"") -> bytes:
    return b"OPEN %016x 7f3a9c21e0b4d655 c=tech,t=acme,d=%d" % (number, DEADLINE_MS) + fields + b"\r\n"


# --- stand-in servers -----------------------------------------------------------------------------------


async def _serve_lines(record: Path, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Accept every opening that is not marked as poison, then echo whole lines."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
        words = (await reader.readline()).split()
        if len(words) > 1 and words[0] == b"OPEN":
            with record.open("ab") as file:
                file.write(words[1] + b"\n")
            writer.write(b"ERR\r\n" if POISON in words[-1] else b"UP r-%s\r\n" % words[1])
        while line := await reader.readline():
            writer.write(line)
            await writer.drain()
    writer.close()


async def _serve_nats(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each PING; payloads are read and dropped. A wrong subject ends the connection with an error."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
        writer.write(b'INFO {"server_id":"s","max_payload":1048576}\r\n')
        while line := await reader.readline():
            if line.startswith(b"PUB"):
                await reader.readexactly(int(line.split()[-1]) + 2)
            elif line.startswith(b"PING"):
                writer.write(b"PONG\r\n")
                await writer.drain()
            elif line.startswith(b"SUB .."):
                writer.write(b"-ERR 'Invalid Subject'\r\n")
                break
    writer.close()


def run_server(lines_port: int, nats_port: int, record: Path) -> None:
    async def serve() -> None:
        await asyncio.start_server(lambda r, w: _serve_lines(record, r, w), HOST, lines_port)
        await asyncio.start_server(_serve_nats, HOST, nats_port)
        await asyncio.Event().wait()

    asyncio.run(serve())


# --- the proxy ------------------------------------------------------------------------------------------


@dataclass
class Addresses:
    """The ports of the proxy's listeners."""

    lines: int = field(default_factory=free_port)
    nats: int = field(default_factory=free_port)
    control: int = field(default_factory=free_port)
    health: int = field(default_factory=free_port)
    agent: int = field(default_factory=free_port)


class Stage:
    """One proxy with its stand-in servers; misbehaving clients are started beside it."""

    def __init__(self, folder: Path, root: Path = ROOT, draining_count: int = 0) -> None:
        """``draining_count``: how many further servers the file names, all of them draining."""
        self.folder, self.root, self.ports = folder, root, Addresses()
        self.draining_count = draining_count
        self.record = folder / "openings"
        self.record.touch()
        self.server_ports = [(free_port(), free_port()) for _ in range(SERVER_COUNT)]
        self.context = multiprocessing.get_context("fork")
        self.children: list[BaseProcess] = []
        self.proxies: list[subprocess.Popen[bytes]] = []
        for lines_port, nats_port in self.server_ports:  # a process each: one may be kept busy by a client
            self.start_child(run_server, lines_port, nats_port, self.record)
        self.start_proxy()

    def start_child(self, run: Callable[..., None], *arguments: Any) -> BaseProcess:
        child = self.context.Process(target=run, args=arguments, daemon=True)
        child.start()
        self.children.append(child)
        return child

    def start_proxy(self) -> subprocess.Popen[bytes]:
        """Start a proxy of this name and these addresses, and wait until it serves."""
        rows = [
            {"instanceId": f"s{n}", "hostPort": f"{HOST}:{port}", "zone": "z", "machineType": "k", "cell": 0,
             "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}
            for n, (port, _) in enumerate(self.server_ports)
        ]  # fmt: skip
        document = {
            "name": "n0", "listen": f"{HOST}:{self.ports.lines}", "control": f"{HOST}:{self.ports.control}",
            "discovery": "", "seed": "1f", "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": DESCRIPTOR_LIMIT},
            "known": {"generation": 1, "reset": True, "instances": rows},
        }  # fmt: skip
        nats = {
            "listen": f"{HOST}:{self.ports.nats}", "health": f"{HOST}:{self.ports.health}",
            "agent": f"{HOST}:{self.ports.agent}", "users": {"tech": {"class": "tech", "tenant": "acme"}},
            "servers": {f"s{n}": f"{HOST}:{port}" for n, (_, port) in enumerate(self.server_ports)},
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(document))
        (self.folder / "nats.json").write_text(json.dumps(nats))
        draining = [
            rows[0]
            | {"instanceId": f"t{n}", "hostPort": f"127.1.{n >> 8}.{n & 255}:9", "lifecycle": "Terminating"}
            for n in range(self.draining_count)
        ]
        (self.folder / "servers.json").write_text(json.dumps({"instances": rows + draining}))
        (self.folder / "operator.star").write_text('servers(file = "servers.json")\n')
        command = [
            sys.executable,
            "-m",
            "arrowseam",
            "serve",
            "--config",
            "config.json",
            "--nats",
            "nats.json",
        ]
        limits = (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT)
        with (self.folder / "log").open("ab") as log:
            process = subprocess.Popen(
                [*command, "--operator", "operator.star"],
                cwd=self.folder,
                env=os.environ | {"PYTHONPATH": str(self.root), "TMPDIR": str(self.folder)},
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits),
            )
        self.proxies.append(process)
        end = time.monotonic() + 10
        while self.call(b"health\n") != b"ACK\n":
            if time.monotonic() > end:
                raise TimeoutError("the proxy does not serve")
            time.sleep(0.02)
        return process

    def call(self, command: bytes, seconds: float = 2.0) -> bytes:
        """Send a command to control and return the answer."""
        try:
            with socket.create_connection((HOST, self.ports.control), seconds) as sock:
                sock.settimeout(seconds)
                sock.sendall(command)
                return b"".join(iter(lambda: sock.recv(65536), b""))
        except OSError:
            return b""

    def counter(self, name: str) -> int:
        """A counter of control's; -1 if it does not answer."""
        for line in self.call(b"counters\n").decode().splitlines():
            if line.startswith(name + ":"):
                return int(line.partition(":")[2].partition("|")[0])
        return -1

    @property
    def is_running(self) -> bool:
        return self.proxies[-1].poll() is None

    def memory_mb(self, key: str = "VmHWM") -> float:
        """Peak (VmHWM) or present (VmRSS) memory of the proxy in MB; 0 if it has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.proxies[-1].pid}/status").read_text().splitlines():
                if line.startswith(key + ":"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def log_count(self, text: str) -> int:
        return (self.folder / "log").read_text(errors="replace").count(text)

    def runs(self) -> dict[str, int]:
        """How often each id was opened at the servers."""
        counts: dict[str, int] = {}
        for number in self.record.read_text().split():
            counts[number] = counts.get(number, 0) + 1
        return counts

    def close(self) -> None:
        for process in self.proxies:
            process.kill()
            process.wait()
        for child in self.children:
            child.kill()
            child.join()


@contextlib.contextmanager
def stage(root: Path = ROOT, draining_count: int = 0) -> Iterator[Stage]:
    with tempfile.TemporaryDirectory() as folder:
        created = Stage(Path(folder), root, draining_count)
        try:
            yield created
        finally:
            created.close()


# --- sound clients --------------------------------------------------------------------------------------


@dataclass
class Waits:
    """How long the sound clients of one kind waited for their answer, in seconds; None: none or a refusal."""

    waits: list[float | None] = field(default_factory=list)

    @property
    def served(self) -> list[float]:
        return [wait for wait in self.waits if wait is not None]

    @property
    def late(self) -> int:
        return sum(wait is None or wait > LATE_S for wait in self.waits)

    def __str__(self) -> str:
        if not self.served:
            return f"0/{len(self.waits)}"
        median, longest = statistics.median(self.served) * 1000, max(self.served) * 1000
        return f"{len(self.served)}/{len(self.waits)} {median:.1f} ms, at most {longest:.0f}"


async def _ask(port: int, request: bytes, expected: bytes, skip: bytes = b"\0") -> float | None:
    """Send a request; returns how long the expected line took, without lines that begin with ``skip``."""
    began, writer = time.monotonic(), None
    try:
        async with asyncio.timeout(ANSWER_WAIT_S):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(request)
            line = await reader.readline()
            while line.startswith(skip):
                line = await reader.readline()
            return time.monotonic() - began if line.startswith(expected) else None
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def _ask_regularly(seconds: float, ask: Callable[[], Any], waits: Waits) -> None:
    end, tasks = time.monotonic() + seconds, []
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(ask()))
        await asyncio.sleep(CONNECT_INTERVAL_S)
    waits.waits += await asyncio.gather(*tasks)


def sound_clients(ports: Addresses, seconds: float) -> dict[str, Waits]:
    """Let sound clients come to every listener for so long; returns their waits by listener."""
    numbers = iter(range(0x50000000, 0x60000000))
    asks: dict[str, Callable[[], Any]] = {
        "lines": lambda: _ask(ports.lines, opening(next(numbers)), b"UP"),
        "nats": lambda: _ask(ports.nats, NATS_GREETING, b"PONG", b"INFO"),
        "control": lambda: _ask(ports.control, b"health\n", b"ACK"),
        "healthz": lambda: _ask(ports.health, HEALTH_REQUEST, b"HTTP/1.1 200"),
        "agent": lambda: _ask(ports.agent, b"", b"up"),
    }
    results = {kind: Waits() for kind in asks}

    async def run() -> None:
        await asyncio.gather(*(_ask_regularly(seconds, ask, results[kind]) for kind, ask in asks.items()))

    asyncio.run(run())
    return results


# --- misbehaving clients --------------------------------------------------------------------------------


def connect(port: int) -> socket.socket | None:
    try:
        return socket.create_connection((HOST, port), 3)
    except OSError:
        return None


def connect_without_end(port: int, count: int, data: bytes) -> None:
    """Connect again and again at full speed, sending each time the same; the last connections stay open."""
    sockets: deque[socket.socket] = deque()
    while True:
        sock = connect(port)
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.send(data)
            sockets.append(sock)
        if len(sockets) > count:
            sockets.popleft().close()


def send_in_pieces(sockets: list[socket.socket], data: bytes, piece: int, pause: float) -> None:
    """Send the same bytes on all connections, a piece at a time."""
    for start in range(0, len(data), piece):
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.send(data[start : start + piece])
        time.sleep(pause)


def hold(port: int, count: int, data: bytes, piece: int = 0, pause: float = 0.02) -> None:
    """Open connections, send each the data (in pieces, if ``piece`` is set), and stay without reading."""
    sockets = [sock for sock in (connect(port) for _ in range(count)) if sock is not None]
    for sock in sockets:
        sock.setblocking(False)
    send_in_pieces(sockets, data, piece or len(data), pause)
    time.sleep(600)


def open_and_hold(
    port: int, count: int, greet: Callable[[int], bytes], data: bytes, goes_on: bool = False
) -> None:
    """Open connections one after another, have each established, send it the data, and stay without reading.

    With ``goes_on`` the data is sent again and again, as far as the proxy takes it.
    """
    sockets = []
    for number in range(count):
        sock = connect(port)
        if sock is None:
            continue
        sock.sendall(greet(0x10000000 + os.getpid() * 0x1000 + number))
        time.sleep(0.01)
        with contextlib.suppress(OSError):
            sock.recv(65536)
            sock.setblocking(False)
            sock.send(data)
        sockets.append(sock)
    while True:
        time.sleep(0.1)
        for sock in sockets if goes_on else ():
            with contextlib.suppress(OSError):
                sock.send(data)


def flood(port: int, greet: bytes, messages: Callable[[int], bytes], reads: bool = True) -> None:
    """Send messages at full speed on one connection, reconnecting when it is closed."""
    number = 0
    while True:
        sock = connect(port)
        if sock is None:
            time.sleep(0.01)
            continue
        with sock, contextlib.suppress(OSError):
            sock.sendall(greet.replace(b"%NUMBER%", b"%016x" % (0x20000000 + os.getpid() * 0x1000 + number)))
            sock.recv(65536)
            sock.setblocking(False)
            while True:
                number += 1
                data = memoryview(messages(number))
                while data:
                    with contextlib.suppress(BlockingIOError):
                        data = data[sock.send(data) :]
                    if reads:
                        with contextlib.suppress(BlockingIOError):
                            if not sock.recv(1 << 20):
                                raise ConnectionResetError


def churn_after_greeting(port: int, greet: bytes, message: bytes) -> None:
    """Connect, send a message once the connection is established, read until it ends, again and again."""
    while True:
        sock = connect(port)
        if sock is not None:
            with sock, contextlib.suppress(OSError):
                sock.settimeout(ANSWER_WAIT_S)
                sock.sendall(greet)
                received = sock.recv(4096)
                while b"PONG" not in received:
                    received = sock.recv(4096)
                sock.sendall(message)
                while sock.recv(4096):
                    pass


def churn(port: int, request: Callable[[int], bytes], waits_for_answer: bool = True) -> None:
    """Connect, send one request and leave, again and again at full speed."""
    number = os.getpid() * 0x100000
    while True:
        number += 1
        sock = connect(port)
        if sock is not None:
            with sock, contextlib.suppress(OSError):
                sock.sendall(request(number))
                if waits_for_answer:
                    sock.recv(4096)


# --- scenarios ------------------------------------------------------------------------------------------

LONG_LINE = b"x" * 2046 + b"\r\n"
SHORT_FIELDS = b"".join(b",%x=1" % n for n in range(0x100, 0x100 + 640))
SHORT_HEADERS = b"GET /healthz HTTP/1.1\r\n" + b"".join(b"%x:\r\n" % n for n in range(1500))
SHORT_KEYS = b",".join(b'"%x":[]' % n for n in range(0x100, 0x100 + 380))
NATS_SHORT_FIELDS = b'CONNECT {"user":"tech",' + SHORT_KEYS + b"}\r\nPING\r\n"
LINES_GREETING = b"OPEN %NUMBER% 7f3a9c21e0b4d655 c=tech,t=acme,d=1800\r\n"


def many_lines(unit: bytes) -> Callable[[int], bytes]:
    block = unit * (65536 // len(unit))
    return lambda _number: block


def pub_block(number: int) -> bytes:
    return b"".join(b"PUB s%x 0\r\n\r\n" % (number * 1000 + n) for n in range(1000))


def greet_nats(_number: int) -> bytes:
    return NATS_GREETING


def greet_nats_short_fields(_number: int) -> bytes:
    return NATS_SHORT_FIELDS


def greet_nats_nested(_number: int) -> bytes:
    return b"CONNECT " + b"[" * 4000 + b"\r\nPING\r\n"


def open_with_short_fields(number: int) -> bytes:
    return opening(number, SHORT_FIELDS)


def open_poisoned(number: int) -> bytes:
    return opening(number, b"," + POISON)


def always(request: bytes) -> Callable[[int], bytes]:
    return lambda _number: request


def numbered(request: bytes) -> Callable[[int], bytes]:
    return lambda number: request % number


# What misbehaving clients do, at which listener, and with what.
SCENARIOS: dict[str, tuple[Any, ...]] = {
    "nothing": (),
    "a-lines-fields": (open_and_hold, "lines", 470, open_with_short_fields, b""),
    "a-lines-pieces": (hold, "lines", 900, opening(7, SHORT_FIELDS)[:-2], PIECE_BYTES),
    "a-lines-mute": (connect_without_end, "lines", 900, opening(7, SHORT_FIELDS)[:-2]),
    "a-nats-mute": (connect_without_end, "nats", 900, NATS_SHORT_FIELDS[:3000]),
    "a-control-mute": (connect_without_end, "control", 900, b"cordon s"),
    "a-healthz-mute": (connect_without_end, "health", 900, SHORT_HEADERS[:8000]),
    "a-nats-fields": (open_and_hold, "nats", 470, greet_nats_short_fields, b""),
    "a-nats-half": (open_and_hold, "nats", 470, greet_nats, b"PUB a 1000000\r\n" + b"x" * 500_000),
    "a-nats-nested": (open_and_hold, "nats", 400, greet_nats_nested, b""),
    "a-control-half": (hold, "control", 900, b"cordon s", 1, 0.1),
    "a-control-readers": (hold, "control", 900, b"members\n"),
    "a-healthz-fields": (hold, "health", 900, SHORT_HEADERS, PIECE_BYTES),
    "a-agent": (hold, "agent", 900, b"x" * 1000, PIECE_BYTES),
    "b-lines-half": (open_and_hold, "lines", 150, opening, b"x" * 3000),
    "b-lines-unread": (open_and_hold, "lines", 40, opening, LONG_LINE * 400, True),
    "b-lines-flood": (flood, "lines", LINES_GREETING, many_lines(b"\r\n")),
    "b-lines-flood-unread": (flood, "lines", LINES_GREETING, many_lines(b"\r\n"), False),
    "b-nats-ping": (flood, "nats", NATS_GREETING, many_lines(b"PING\r\n")),
    "b-nats-ping-unread": (flood, "nats", NATS_GREETING, many_lines(b"PING\r\n"), False),
    "b-nats-pub": (flood, "nats", NATS_GREETING, pub_block),
    "b-nats-bad": (churn, "nats", numbered(b"WHAT %d\r\n")),
    "b-lines-bad": (churn, "lines", numbered(b"OPEN x%x y\r\n")),
    "b-lines-ping": (flood, "lines", b"PING\r\n", many_lines(b"PING\r\n")),
    "b-lines-ids": (churn, "lines", opening),
    "b-lines-poison": (churn, "lines", open_poisoned),
    "b-lines-leave": (churn, "lines", opening, False),
    "b-nats-leave": (churn, "nats", greet_nats, False),
    "b-nats-wrong-subject": (churn_after_greeting, "nats", NATS_GREETING, b"SUB .. 1\r\n"),
    "b-nats-names": (churn, "nats", numbered(b'CONNECT {"user":"u%x"}\r\nPING\r\n')),
    "b-healthz-leave": (churn, "health", always(HEALTH_REQUEST), False),
    "b-control": (churn, "control", always(b"counters\n")),
    "b-control-rows": (churn, "control", always(b"members\n"), False),
    "b-control-bad": (churn, "control", numbered(b"x%d\n")),
    "b-control-flood": (flood, "control", b"", many_lines(b"x")),
    "b-healthz": (churn, "health", always(HEALTH_REQUEST)),
    "b-healthz-bad": (churn, "health", numbered(b"x%d\r\n\r\n")),
    "b-healthz-pipeline": (flood, "health", b"", many_lines(HEALTH_REQUEST)),
    "b-agent": (churn, "agent", always(b"")),
}
MANY_SERVERS = 10_000
NEEDS_MANY_SERVERS = ("a-control-readers", "b-control-rows")
PREPARATION_S = {"a": 8.0, "b": 4.0, "n": 0.0}
UNANSWERED = "its endpoint answers nothing"


def play(name: str, root: Path, seconds: float) -> str:
    """Play one scenario; returns its line."""
    with stage(root, MANY_SERVERS if name in NEEDS_MANY_SERVERS else 0) as created:
        if SCENARIOS[name]:
            run, listener, *arguments = SCENARIOS[name]
            created.start_child(run, getattr(created.ports, listener), *arguments)
        time.sleep(PREPARATION_S[name[0]])
        before = created.memory_mb("VmRSS")
        results = sound_clients(created.ports, seconds)
        after = created.memory_mb("VmRSS")
        ended = "" if created.is_running else "; THE PROXY HAS ENDED"
        kinds = "; ".join(f"{kind} {waits}" for kind, waits in results.items())
        disabled = created.counter("edge.targets_disabled") if created.is_running else -1
        return (
            f"{name}: {kinds}; memory peak {created.memory_mb():.0f} MB, "
            f"{before:.1f} to {after:.1f} while they came; "
            f"{created.log_count(UNANSWERED)} unanswered, {disabled} servers out, "
            f"{created.log_count('task.failed') + created.log_count('Traceback')} failed tasks{ended}"
        )


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--root", type=Path, default=ROOT)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("scenario", nargs="*")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    for name in arguments.scenario or SCENARIOS:
        print(play(name, arguments.root.resolve(), arguments.seconds), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
