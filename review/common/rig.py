"""Stand-ins on loopback for the cases of the review: the platform, discovery, servers and clients.

They behave as the protocol pages say. Every event is written to the record file of the case, with the seconds
since its start.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"

now = time.monotonic

# As a small deployment of houston-live has them (BRIEF and WIRE of the pages).
HOUSTON: dict[str, Any] = {
    "balancers": 1, "me": 0, "my_zone": 0, "zones": ["katy"], "kinds": ["gen3-fast", "gen2-std", "gen1-old"],
    "registry_mode": "subscribe", "workload": "conn", "weights": "nominal",
    "lanes": [
        {"name": "tech-orders", "aim": 300000, "deadline": 1800000, "effect": "retryable", "worth": 2.0,
         "stream": True},
        {"name": "resident-notices", "aim": 800000, "deadline": 3200000, "effect": "retryable", "worth": 1.0,
         "stream": True},
    ],
    "tenants": [{"name": "bluebonnet-ridge", "share": 1.0, "quota_rps": 28.0}],
    "caps": {"max_attempts": 5, "dial_timeout": 250000, "max_retry_after": 1500000, "retry_after": True,
             "probing": False, "second_copies": False, "may_cancel": True},
    "family_info": {"groups": False, "mode": "proxy", "tells_load": True, "tells_delay": True,
                    "message_aim": [150000.0, 250000.0]},
    "invariants": {"drain_grace": 2000000, "cold_share": 0.12, "warm_up": 24000000, "fall_multiple": 4.0,
                   "overload_for": 2000000, "ask_within": 10000000, "grace_to_answer": 8000},
}  # fmt: skip
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


class Record:
    """What was sent, answered and run, a line each, with the time since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.began = now()
        self.file = path.open("w")

    def note(self, text: str) -> None:
        self.file.write(f"{now() - self.began:9.3f} {text}\n")
        self.file.flush()

    def close(self) -> None:
        self.file.close()


class Discovery:
    """Discovery, or the agent on the proxy's machine, at one or more addresses (HTTP/1.1).

    While ``down`` is set it accepts connections and answers nothing. Calls that were open when it went down, or
    that came while it was down, are never answered: they have to be made anew.
    """

    def __init__(self, record: Record, rows: list[dict[str, Any]]) -> None:
        self.record = record
        self.rows = {row["instanceId"]: dict(row) for row in rows}
        self.changed_in = dict.fromkeys(self.rows, 1)
        self.version = 1
        self.down = False
        self.outages = 0
        self.changed = asyncio.Event()
        self.servers: dict[int, asyncio.Server] = {}
        self.writers: dict[int, set[asyncio.StreamWriter]] = {}
        self.told: list[tuple[float, int]] = []  # when a list of this version was written to a proxy

    async def listen(self) -> int:
        port = free_port()
        self.writers[port] = set()
        self.servers[port] = await asyncio.start_server(
            lambda reader, writer: self.serve(port, reader, writer), HOST, port
        )
        return port

    async def retire(self, port: int, after: float) -> None:
        """An old address: it takes no new connection, and closes the open ones after a while."""
        self.servers[port].close()
        await asyncio.sleep(after)
        for writer in list(self.writers[port]):
            writer.close()

    def update(self, changes: dict[str, dict[str, Any]]) -> None:
        """Change fields of servers, by their names."""
        self.version += 1
        for name, fields in changes.items():
            self.rows[name] |= fields
            self.changed_in[name] = self.version
        self.record.note(f"discovery: version {self.version}: {changes}")
        self.wake()

    def wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def set_down(self, down: bool) -> None:
        self.down = down
        self.outages += down
        self.record.note(f"discovery: {'down' if down else 'back'}")
        self.wake()

    async def serve(self, port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers[port].add(writer)
        try:
            while line := await reader.readline():
                if not line.startswith(b"GET "):
                    continue
                if not await self.answer(line.split()[1].decode(), writer):
                    await reader.read()  # silent until the proxy gives the call up
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers[port].discard(writer)
            writer.close()

    async def answer(self, target: str, writer: asyncio.StreamWriter) -> bool:
        self.record.note(f"discovery: call {target}{' (unanswered)' if self.down else ''}")
        outages = self.outages
        if self.down:
            return False
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        complete = "since" not in query
        since = int(query.get("since", 0))
        if not complete:
            end = now() + int(query.get("timeout_ms", 0)) / 1000
            while since >= self.version and now() < end and self.outages == outages:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), max(0.0, end - now()))
        if self.outages != outages:
            return False  # a watch that was open when discovery went down
        rows = [r for name, r in self.rows.items() if complete or self.changed_in[name] > since]
        if complete:
            rows = [row for row in rows if row["lifecycle"] != "Gone"]
        document = {"generation": self.version, "reset": complete, "instances": rows}
        text = json.dumps(document).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(text))
        writer.write(text)
        self.told.append((now(), self.version))
        if rows:
            self.record.note(f"discovery: told version {self.version} ({len(rows)} rows)")
        await writer.drain()
        return True


class Server:
    """A server: takes connections, sends every line back at once."""

    def __init__(self, record: Record, name: str, zone: str, kind: str, cell: int = 0) -> None:
        self.record, self.name, self.zone, self.kind, self.cell = record, name, zone, kind, cell
        self.opened: list[tuple[float, str]] = []  # each first line: when its first byte came, and its id
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def row(self) -> dict[str, Any]:
        return {"instanceId": self.name, "hostPort": f"{HOST}:{self.port}", "zone": self.zone,
                "machineType": self.kind, "cell": self.cell, "lifecycle": "Ready", "weight": 1.0,
                "startedAtMs": 0}  # fmt: skip

    async def listen(self) -> None:
        self.port = free_port()
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            first = await reader.read(1)
            began = now()
            line = first + await reader.readline()
            if not line.startswith(b"OPEN ") or not line.endswith(b"\r\n"):
                return
            name = line.split()[1].decode()
            self.opened.append((began, name))
            self.record.note(f"{self.name}: OPEN {name}")
            writer.write(b"UP %s-%s\r\n" % (self.name.encode(), name.encode()))
            while line := await reader.readline():
                writer.write(line)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def turn_away(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """What a draining server does with a new connection."""
        first = await reader.read(1)
        began = now()
        line = first + await reader.readline()
        if line.startswith(b"OPEN "):
            name = line.split()[1].decode()
            self.opened.append((began, name))
            self.record.note(f"{self.name}: OPEN {name} (drains: BUSY)")
            writer.write(b"BUSY\r\n")
        writer.close()


class Client:
    """A client: opens, waits for its answer, then sends a line every 2 s until it is moved or leaves."""

    def __init__(self, record: Record, opening: str, wait: float, stays: float) -> None:
        self.record, self.opening, self.wait, self.stays = record, opening, wait, stays
        self.name = opening.split()[1]
        self.sent_at = self.answered_at = 0.0
        self.answer = b""
        self.end = ""

    async def run(self, port: int) -> None:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
        except OSError as error:
            self.end = f"not connected: {error}"
            self.record.note(f"client {self.name}: {self.end}")
            return
        try:
            writer.write(self.opening.encode() + b"\r\n")
            self.sent_at = now()
            self.record.note(f"client {self.name}: sent {self.opening}")
            with contextlib.suppress(TimeoutError):
                self.answer = await asyncio.wait_for(reader.readline(), self.wait + 1.0)
            self.answered_at = now()
            self.record.note(f"client {self.name}: answered {self.answer!r}")
            if self.answer.startswith(b"UP "):
                await self.talk(reader, writer)
        except OSError as error:
            self.end = f"reset: {error}"
            self.record.note(f"client {self.name}: {self.end}")
        finally:
            writer.close()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        leave_at, line = now() + self.stays, b""
        next_at = now()
        while now() < leave_at:
            if now() >= next_at:
                writer.write(b"hello\r\n")
                next_at += 2.0
            try:
                line = await asyncio.wait_for(reader.readline(), min(next_at, leave_at) - now())
            except TimeoutError:
                continue
            if line == b"MOVE\r\n" or not line:
                self.end = "moved" if line else "ended"
                return
        self.end = "left"


class Proxy:
    """One real proxy, started with the command of the deploy file."""

    def __init__(
        self, record: Record, folder: Path, number: int, discovery: str, rows: list[dict[str, Any]], settings: Any
    ) -> None:
        self.record, self.folder = record, folder / f"n{number}"
        self.folder.mkdir()
        self.port = free_port()
        self.config = {
            "name": f"n{number}", "listen": f"{HOST}:{self.port}", "discovery": discovery, "seed": f"{number + 17:x}",
            "limits": LIMITS, "known": {"generation": 1, "reset": True, "instances": rows},
            "settings": settings | {"me": number},
        }  # fmt: skip
        self.path = self.folder / "config.json"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def has_ended(self) -> bool:
        return self.process is None or self.process.returncode is not None

    def write(self) -> None:
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        os.replace(temporary, self.path)

    async def start(self, arguments: str = "") -> None:
        self.write()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"] + arguments
        tmp = self.folder / "tmp"
        tmp.mkdir(exist_ok=True)
        env = os.environ | {
            "EDGE_NAME": self.config["name"], "EDGE_LISTEN": self.config["listen"],
            "EDGE_DISCOVERY": self.config["discovery"], "EDGE_CONFIG": str(self.path), "TMPDIR": str(tmp),
        }  # fmt: skip
        with (self.folder / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        end = now() + 30.0
        while now() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if line == b"PONG\r\n":
                    return True
            await asyncio.sleep(0.05)
        return False

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record.note(f"proxy: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


def write_servers_file(folder: Path, servers: Sequence[Server], names: dict[str, str] | None = None) -> None:
    """A watched file with servers and weights, with the fields of the example in the operators' page.

    Its writer does not know what only discovery tells: when a server last started, and its cell.
    """
    keys = ("instanceId", "hostPort", "zone", "machineType", "lifecycle", "weight")
    rows = [{key: server.row[key] for key in keys} for server in servers]
    for row in rows:
        row["instanceId"] = (names or {}).get(row["instanceId"], row["instanceId"])
    (folder / "servers.json").write_text(json.dumps({"generation": 1, "instances": rows}))
    (folder / "operator.star").write_text('servers(file = "servers.json", name = "changeover")\n')


def run_case(folder: Path, play: Callable[[Record, Path], Awaitable[int]]) -> int:
    """Run a case in a temporary folder. 2: it could not run."""
    record = Record(folder / "record.txt")

    async def run(home: Path) -> int:
        return await play(record, home)

    try:
        with tempfile.TemporaryDirectory(prefix="case-") as home:
            return asyncio.run(run(Path(home)))
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        return 2
    finally:
        record.close()
