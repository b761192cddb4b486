"""Stand-ins and helpers of the cases 6 to 10: discovery, servers, clients, and proxies as separate processes.

Everything runs on loopback addresses and the real clock. The stand-ins are tasks of this process; a proxy is started
with the command ``run`` of the deploy file. Servers and clients record what they receive; they judge nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT = 115  # seconds; a case ends before 120
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

LANES = [
    {"name": "tech-orders", "aim": 300000, "deadline": 1800000, "effect": "retryable", "worth": 2.0},
    {"name": "resident-notices", "aim": 800000, "deadline": 3200000, "effect": "retryable", "worth": 1.0},
]
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "my_zone": 0,
    "zones": ["katy", "humble"],
    "kinds": ["gen3-fast", "gen2-std"],
    "registry_mode": "subscribe",
    "lanes": LANES,
    "tenants": [{"name": "bluebonnet-ridge", "share": 1.0}],
    "caps": {"max_attempts": 5, "dial_timeout": 250000, "max_retry_after": 1500000, "retry_after": True},
    "invariants": {
        "drain_grace": 2000000,
        "cold_share": 0.12,
        "warm_up": 24000000,
        "fall_multiple": 4.0,
        "overload_for": 2000000,
        "ask_within": 10000000,
        "grace_to_answer": 8000,
    },
}


class NotRunError(Exception):
    """The case could not be played; it says nothing about the rule."""


# Below the range from which the system takes the ports of outgoing connections: one that is free now stays so until
# a proxy binds it. Runs side by side begin at different ports.
FIRST_PORT, PORTS = 10_000, 20_000
_next_port = os.getpid() * 211


def free_port() -> int:
    """A port that is free for TCP and UDP on this address, and was not given before."""
    global _next_port
    for _ in range(PORTS):
        _next_port += 1
        port = FIRST_PORT + _next_port % PORTS
        with contextlib.suppress(OSError), socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            tcp.bind((HOST, port))
            tcp.listen()
            udp.bind((HOST, port))
            return port
    raise NotRunError("no free port")


class Record:
    """The record of a run, in ``record.txt`` beside the case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    @property
    def now(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        """Write one line with its time."""
        self.file.write(f"{self.now:8.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Write one line to the record and to the standard output."""
        self.write(text)
        print(text, flush=True)


class Server:
    """A stand-in server of the line protocol.

    ``mode`` says what it does with an opening: ``up`` (serves, and answers each line with the same line) or ``error``
    (runs it, and answers ERR).
    """

    def __init__(self, record: Record, name: str, zone: str = "katy", mode: str = "up", cell: int = 0) -> None:
        self.record, self.name, self.mode = record, name, mode
        self.port = free_port()
        self.openings: list[tuple[float, str]] = []  # when, and the id of the connection
        self.live: set[asyncio.StreamWriter] = set()
        self.row: dict[str, Any] = {
            "instanceId": name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": zone,
            "machineType": "gen2-std",
            "cell": cell,
            "lifecycle": "Ready",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.listener = await asyncio.start_server(self._serve, HOST, self.port)

    async def stop(self) -> int:
        """End as a process does: refuse what comes, break what is open; returns how many were open."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        live = list(self.live)
        for writer in live:
            writer.transport.abort()
        return len(live)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = await reader.readline()
            words = line.split()
            if len(words) < 4 or words[0] != b"OPEN":
                writer.write(b"NO\r\n")
                return
            number = words[1].decode()
            self.openings.append((self.record.now, number))
            self.record.write(f"{self.name} gets {line.decode().strip()}")
            if self.mode == "error":
                self.record.write(f"{self.name} has run {number}, and answers ERR")
                writer.write(b"ERR\r\n")
                return
            self.live.add(writer)
            writer.write(f"UP {self.name}-{number}\r\n".encode())
            while line := await reader.readline():
                writer.write(line)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.live.discard(writer)
            writer.close()


class Discovery:
    """Stand-in discovery: the whole list, and watches that wait for the next version."""

    def __init__(self, record: Record, rows: list[dict[str, Any]]) -> None:
        self.record = record
        self.rows = {row["instanceId"]: dict(row) for row in rows}
        self.changed_at = dict.fromkeys(self.rows, 1)
        self.gone: dict[str, dict[str, Any]] = {}
        self.version = 1
        self.changed = asyncio.Event()
        self.port = free_port()
        self.told: list[tuple[float, int]] = []  # when a version was written to a caller

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, HOST, self.port)

    def known(self) -> dict[str, Any]:
        """The whole list."""
        return {"generation": self.version, "reset": True, "instances": list(self.rows.values())}

    def set(self, name: str, **fields: Any) -> None:
        """Change the entry of a server."""
        self.version += 1
        row = self.rows.get(name) or self.gone.pop(name, {"instanceId": name})
        self.rows[name] = row | fields
        self.changed_at[name] = self.version
        if fields.get("lifecycle") == "Gone":
            self.gone[name] = self.rows.pop(name)
        self.record.write(f"discovery: version {self.version}: {name} {fields}")
        self.changed.set()
        self.changed = asyncio.Event()

    def _answer(self, since: int | None) -> dict[str, Any]:
        if since is None:
            return self.known()
        rows = [row for row in (self.rows | self.gone).values() if self.changed_at[row["instanceId"]] > since]
        return {"generation": self.version, "reset": False, "instances": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                target = line.split()[1].decode()
                while (await reader.readline()).strip():
                    pass
                query = dict(part.split("=") for part in target.partition("?")[2].split("&") if "=" in part)
                since = int(query["since"]) if "since" in query else None
                if since is not None and since >= self.version:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), int(query.get("timeout_ms", 0)) / 1000)
                body = json.dumps(self._answer(since)).encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write(head % len(body) + body)
                await writer.drain()
                self.told.append((self.record.now, self.version))
        except (ConnectionError, asyncio.IncompleteReadError, IndexError):
            pass
        finally:
            writer.close()

    async def until_told(self, version: int, seconds: float = 8.0) -> float:
        """Wait until a version is written to a caller; returns when."""
        await until(lambda: any(number >= version for _, number in self.told), seconds, "discovery has no caller")
        return next(at for at, number in self.told if number >= version)


class Client:
    """A stand-in client: opens, waits for the answer, then sends a line every 2 s."""

    count = 0

    def __init__(self, record: Record, port: int, lane: str = "tech-orders", wait_ms: int = 1800) -> None:
        Client.count += 1
        self.record, self.port, self.lane, self.wait_ms = record, port, lane, wait_ms
        self.number = f"{0x9B1F000000000000 + os.getpid() * 0x100000 + Client.count:016x}"
        self.answer = ""  # its first line
        self.answered_at = 0.0
        self.end = ""  # how its connection ended: moved, closed or reset
        self.ended_at = 0.0
        self.leaving = False
        self.writer: asyncio.StreamWriter | None = None
        self.task = asyncio.get_running_loop().create_task(self._run())

    @property
    def server(self) -> str:
        """The server that has it, by its receipt."""
        return self.answer.split()[1].rpartition("-")[0] if self.answer.startswith("UP ") else ""

    async def _run(self) -> None:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            self.answer, self.end = "refused", "refused"
            return
        self.writer = writer
        opening = f"OPEN {self.number} 7f3a9c21e0b4d655 c={self.lane},t=bluebonnet-ridge,d={self.wait_ms}"
        writer.write(opening.encode() + b"\r\n")
        self.record.write(f"client sends {opening}")
        speaker = asyncio.get_running_loop().create_task(self._speak(writer))
        try:
            while line := await reader.readline():
                text = line.decode().strip()
                if not self.answer:
                    self.answer, self.answered_at = text, self.record.now
                    self.record.write(f"client {self.number} is answered {text}")
                elif text == "MOVE":
                    self.end = "moved"
            self.end = self.end or "closed"
        except ConnectionError:
            self.end = self.end or "reset"
        finally:
            speaker.cancel()
            writer.close()
            self.ended_at = self.record.now
            if not self.leaving:
                self.record.write(f"client {self.number} ({self.server}) has ended: {self.end}")

    async def _speak(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(2)
            if self.answer.startswith("UP "):
                writer.write(b"hello\r\n")

    def leave(self) -> None:
        """Close the connection."""
        self.leaving = True
        if self.writer is not None:
            self.writer.close()


class Proxy:
    """One proxy, started with ``run`` of the deploy file, in a folder of its own."""

    def __init__(self, case: Case, name: str, document: dict[str, Any], operator: str = "") -> None:
        self.case, self.name, self.operator = case, name, operator
        self.folder = case.folder / name
        (self.folder / "tmp").mkdir(parents=True)
        self.document = {
            "name": name,
            "listen": f"{HOST}:{free_port()}",
            "control": f"{HOST}:{free_port()}",
            "seed": f"{os.getpid():x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        } | document
        self.process: subprocess.Popen[bytes] | None = None
        self.processes: list[subprocess.Popen[bytes]] = []  # all that were started

    @property
    def port(self) -> int:
        """Where clients connect."""
        return int(self.document["listen"].rpartition(":")[2])

    def start(self) -> None:
        """Start the process."""
        config = self.folder / "config.json"
        config.write_text(json.dumps(self.document))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        if self.operator:
            (self.folder / "operator.star").write_text(self.operator)
            command += f" --operator {shlex.quote(str(self.folder / 'operator.star'))}"
        env = os.environ | {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.document["listen"],
            "EDGE_DISCOVERY": self.document.get("discovery", ""),
            "EDGE_CONFIG": str(config),
            "TMPDIR": str(self.folder / "tmp"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.processes.append(self.process)
        self.case.record.write(f"{self.name} is started")

    async def until_ready(self, seconds: float = 20.0) -> None:
        """Wait until ``health`` at control says ACK and clients are answered."""
        await until_async(lambda: self._is_ready(), seconds, f"{self.name} does not get ready")

    async def _is_ready(self) -> bool:
        return (await self.call("health", quiet=True)).startswith("ACK")

    async def call(self, line: str, body: bytes = b"", quiet: bool = False) -> str:
        """One line to control; returns the answer, empty if there is none."""
        host, _, port = self.document["control"].rpartition(":")
        answer = ""
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(line.encode() + b"\r\n" + body)
            answer = (await asyncio.wait_for(reader.read(-1), 10)).decode()
            writer.close()
        except (TimeoutError, OSError):
            pass
        if not quiet:
            self.case.record.write(f"{self.name}: {line}: {answer.strip() or 'no answer'}")
        return answer

    async def rows(self, line: str) -> list[dict[str, Any]]:
        """The rows of a call that is answered by rows."""
        answer = await self.call(line, quiet=True)
        return [json.loads(row) for row in answer.splitlines() if row.startswith("{")]

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.case.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, seconds: float) -> None:
        """Wait until the process has ended."""
        process = self.process
        assert process is not None
        await until(lambda: process.poll() is not None, seconds, f"{self.name} does not end")
        self.case.record.write(f"{self.name} has ended with status {process.returncode}")

    def end(self) -> None:
        """End the processes that were started here, with their workers, by the ids of their groups."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
            process.wait()


class Case:
    """One run of a case: its record, its folder for temporary files, its proxies."""

    def __init__(self, case_folder: Path) -> None:
        self.record = Record(case_folder)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.proxies: list[Proxy] = []

    def proxy(self, name: str, document: dict[str, Any], operator: str = "") -> Proxy:
        """A proxy, not started yet."""
        self.proxies.append(Proxy(self, name, document, operator))
        return self.proxies[-1]

    def close(self) -> None:
        """End all processes, keep their logs in the record, and remove the folder."""
        for proxy in self.proxies:
            proxy.end()
            with contextlib.suppress(OSError):
                for line in (proxy.folder / "log").read_text(errors="replace").splitlines()[-200:]:
                    self.record.file.write(f"log of {proxy.name}: {line}\n")
        self.record.file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Fleet:
    """Proxies that know each other and agree on drains and releases; all vote."""

    def __init__(
        self, case: Case, size: int, discovery: Discovery, settings: dict[str, Any], budgets: str, **options: int
    ) -> None:
        """``state``: each proxy has a lasting folder for its vote; ``voters``: how many vote, else all."""
        self.case = case
        ports = [free_port() for _ in range(size)]
        addresses = {f"n{n}": f"{HOST}:{port}" for n, port in enumerate(ports)}
        self.voters = options.get("voters", size)
        voters = dict(list(addresses.items())[: self.voters])
        self.proxies = []
        for n, port in enumerate(ports):
            folder = case.folder / f"state-n{n}"
            operator = [
                f"fleet(listen = {json.dumps(f'{HOST}:{port}')}, seeds = {json.dumps(list(voters.values()))})",
                f"agree(voters = {json.dumps(voters)})",
                budgets,
            ]
            if options.get("state"):
                folder.mkdir()
                operator.append(f"state_dir({json.dumps(str(folder))})")
            document = {
                "discovery": f"{HOST}:{discovery.port}",
                "known": discovery.known(),
                "settings": settings | {"balancers": size, "me": n},
            }
            self.proxies.append(case.proxy(f"n{n}", document, "\n".join(operator) + "\n"))

    async def start(self) -> None:
        """Start all, and begin the agreement as the operators' page says."""
        for proxy in self.proxies:
            proxy.start()
        for proxy in self.proxies:
            await proxy.until_ready()
        await until_async(self._know_each_other, 20, "the proxies do not meet")
        await until_async(self._begun, 20, "the agreement does not begin")
        await until_async(self._all_vote, 20, "the voters do not meet")

    async def _know_each_other(self) -> bool:
        views = [await proxy.rows("fleet") for proxy in self.proxies]
        return all(sum(row.get("state") == "alive" for row in view) >= len(self.proxies) for view in views)

    async def _begun(self) -> bool:
        return (await self.proxies[0].call("agree reset")).startswith("ACK")

    async def _all_vote(self) -> bool:
        for proxy in self.proxies:
            rows = await proxy.rows("agree")
            budgets = sum("budgets" in row for row in rows)
            if budgets < self.voters or 0 < len(rows[0].get("voters", [])) < self.voters:
                return False
        return True

    async def permit(self, server: str, proxy: int = 0) -> dict[str, Any]:
        """The row of a server that is out by agreement, as a proxy knows it; empty if it is not."""
        rows = await self.proxies[proxy].rows("agree")
        return next((row for row in rows if "permit" in row and row.get("name") == server), {})


async def until(condition: Callable[[], Any], seconds: float, failure: str) -> None:
    """Wait until a condition holds."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise NotRunError(failure)
        await asyncio.sleep(0.01)


async def until_async(condition: Callable[[], Awaitable[Any]], seconds: float, failure: str) -> None:
    """Wait until a condition holds that must itself be awaited."""
    end = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > end:
            raise NotRunError(failure)
        await asyncio.sleep(0.01)


def main(file: str, play: Callable[[Case], Awaitable[int]]) -> None:
    """Play a case and exit with its result."""
    case = Case(Path(file).resolve().parent)

    async def limited() -> int:
        return await asyncio.wait_for(play(case), TIME_LIMIT - 5)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    result = NOT_RUN
    try:
        result = asyncio.run(limited())
    except (TimeoutError, NotRunError, OSError) as error:
        case.record.say(f"could not run: {error!r}")
    finally:
        case.close()
    sys.exit(result)
