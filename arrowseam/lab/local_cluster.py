"""A cluster of real ``serve`` processes on this machine, with stand-in discovery and an emulated network.

The processes it starts are ended by their id. They are observed only from outside: through their control,
their logs and the stand-ins. A seed repeats the faults and their times, not the timing of the machine.
"""

from __future__ import annotations

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from arrowseam.lab.network_emulator import NetworkEmulator
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.listener import listen
from arrowseam.net.task import Coroutine

ROOT = Path(__file__).resolve().parents[2]
LANES = [
    {"aim": 300000, "deadline": 1800000, "effect": "retryable", "name": "tech"},
    {"aim": 300000, "deadline": 600000, "effect": "retryable", "name": "resident"},
]
RULES = {"cold_share": 0.12, "drain_grace": 2000000, "fall_multiple": 4.0, "overload_for": 2000000,
         "warm_up": 24000000, "ask_within": 400000}  # fmt: skip
CAPS = {"max_attempts": 5, "dial_timeout": 250000, "max_retry_after": 1500000, "retry_after": True}


def free_ports(count: int, first: int = 0) -> list[int]:
    """Return ports that are free for TCP and UDP, below the system's ephemeral range.

    Clusters that run at the same time pass different ``first`` ports to start searching from.
    """
    found: list[int] = []
    port = first or 10_000 + os.getpid() * 97 % 20_000
    while len(found) < count:
        port = 10_000 + (port - 9_999) % 22_000
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                udp.bind(("127.0.0.1", port))
            found.append(port)
    return found


class SuccessorProcess:
    """The successor that a proxy has started in a hot restart; it is not a child of this process."""

    def __init__(self, pid: int) -> None:
        self.pid = pid

    def poll(self) -> int | None:
        """Return 0 if it has ended, else None."""
        try:
            state = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
        except OSError:
            return 0
        return 0 if state in "ZX" else None

    def send_signal(self, number: int) -> None:
        """Send a signal; does nothing if the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Send SIGKILL."""
        self.send_signal(signal.SIGKILL)

    def wait(self) -> int:
        """Block until it has ended; return 0."""
        while self.poll() is None:
            time.sleep(0.005)
        return 0


class LocalCluster:
    """Members ``n0`` to ``nN``. ``endpoint_rows`` are the endpoints that the stand-in discovery serves;
    ``operator_text`` is Starlark text added to each proxy's operator file."""

    def __init__(
        self,
        folder: Path,
        members: int,
        seed: int = 1,
        seeds: int = 3,
        operator_text: str = "",
        nats: bool = False,
        fleet: bool = True,
        first_port: int = 0,
        voters: int = 0,
        disk: bool = False,
    ) -> None:
        """``seeds`` and ``voters``: how many members are seeds, and vote in Raft; ``disk``: each proxy has a
        persistent state folder."""
        self.folder, self.loop = folder, EventLoop()
        self.names = [f"n{n}" for n in range(members)]
        self.network = NetworkEmulator(self.loop, "rig", seed)
        self.processes: dict[str, subprocess.Popen[bytes] | SuccessorProcess] = {}
        self.replaced_pids: set[int] = set()
        self.replaced_processes: list[subprocess.Popen[bytes] | SuccessorProcess] = []
        self.endpoint_rows: list[dict[str, Any]] = []
        self.version, self.discovery_up = 1, True
        discovery_port = listen(self.loop, ("127.0.0.1", 0), "directory", self._discovery).address[1]
        ports = iter(free_ports(5 * members, first_port))
        self.ports = {n: {k: next(ports) for k in ("front", "control", "fleet", "nats")} for n in self.names}
        listen_addresses = {n: ("127.0.0.1", self.ports[n]["fleet"]) for n in self.names}
        advertised = {n: self.network.add(n, listen_addresses[n], next(ports)) for n in self.names}
        for index, name in enumerate(self.names):
            own_ports = self.ports[name]
            doc = {
                "name": name, "listen": f"127.0.0.1:{own_ports['front']}",
                "control": f"127.0.0.1:{own_ports['control']}",
                "discovery": f"127.0.0.1:{discovery_port}", "seed": f"{index + 1:x}",
                "limits": {"sockets": 1000},
                "known": {"generation": 0, "reset": True, "instances": []},
                "settings": {"balancers": members, "me": index, "caps": CAPS, "invariants": RULES,
                             "lanes": LANES,
                             "tenants": [{"name": "acme", "share": 1.0}], "kinds": ["k"], "zones": ["z"],
                             "registry_mode": "subscribe"},
            }  # fmt: skip
            (folder / f"{name}.json").write_text(json.dumps(doc))
            membership = {
                "name": "rig", "listen": f"127.0.0.1:{own_ports['fleet']}",
                "advertise": _address_text(advertised[name]),
                "seeds": [_address_text(advertised[n]) for n in self.names[:seeds]],
            }  # fmt: skip
            lines = [operator_text]
            if fleet:
                lines.append(f"fleet({', '.join(f'{k} = {json.dumps(v)}' for k, v in membership.items())})")
            if nats:
                users = {u: {"class": u, "tenant": "acme"} for u in ("tech", "resident")}
                lines.append(f"nats(listen = '127.0.0.1:{own_ports['nats']}', users = {json.dumps(users)}, "
                             "servers = SERVERS)")  # fmt: skip
            if voters:
                voter_addresses = {n: _address_text(advertised[n]) for n in self.names[:voters]}
                lines.append(f"agree(voters = {json.dumps(voter_addresses)})")
            if disk:
                (folder / f"state-{name}").mkdir(exist_ok=True)
                lines.append(f"state_dir({json.dumps(str(folder / f'state-{name}'))})")
            (folder / f"{name}.star").write_text("\n".join(lines))

    # --- processes ---

    def start(self, names: Iterable[str] | None = None) -> None:
        """Start the processes of these members, or of all."""
        for name in names if names is not None else self.names:
            env = os.environ | {"TMPDIR": str(self._temp_folder(name)), "PYTHONPATH": str(ROOT)}
            words = [sys.executable, "-m", "arrowseam", "serve"]
            words += ["--config", str(self.folder / f"{name}.json")]
            words += ["--operator", str(self.folder / f"{name}.star")]
            with (self.folder / f"{name}.log").open("ab") as log:
                self.processes[name] = subprocess.Popen(words, stdout=log, stderr=log, env=env, cwd=ROOT)
            self.network.powered_off.discard(name)
            self.network.up(name)

    def _temp_folder(self, name: str) -> Path:
        folder = self.folder / f"tmp-{name}"
        folder.mkdir(exist_ok=True)
        return folder

    def kill(self, names: Iterable[str], power_off: bool = False) -> None:
        """Kill with SIGKILL, as in a crash: connections to the process are refused from then on.

        With ``power_off`` the machine counts as switched off, so connections to it are not even refused.
        """
        names = list(names)
        if power_off:
            self.network.powered_off.update(names)
        for name in names:
            self.processes[name].kill()
        for name in names:
            self.processes.pop(name).wait()
            if not power_off:
                self.network.down(name)

    def terminate(self, name: str) -> subprocess.Popen[bytes] | SuccessorProcess:
        """Ask a member to drain and end (SIGTERM); return the process, whose end the caller awaits."""
        self.processes[name].send_signal(signal.SIGTERM)
        return self.processes[name]

    def reap(self, name: str) -> None:
        """Reap a process that has ended after ``terminate``; its machine refuses connections from then on."""
        self.processes.pop(name).wait()
        self.network.down(name)

    def stall(self, names: Iterable[str]) -> None:
        """Stop the processes without ending them (SIGSTOP)."""
        for name in names:
            self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, names: Iterable[str]) -> None:
        """Resume stalled processes (SIGCONT)."""
        for name in names:
            self.processes[name].send_signal(signal.SIGCONT)

    def adopt(self) -> None:
        """Replace processes by the hot-restart successors that their logs name."""
        for name in list(self.processes):
            text = self.log(name) if (self.folder / f"{name}.log").exists() else ""
            found = re.findall(r"started again as process (\d+)", text)
            if (
                found
                and int(found[-1]) != self.processes[name].pid
                and int(found[-1]) not in self.replaced_pids
            ):
                self.replaced_pids.add(self.processes[name].pid)
                self.replaced_processes.append(self.processes[name])
                self.processes[name] = SuccessorProcess(int(found[-1]))

    def close(self) -> None:
        """End every process and close every socket."""
        self.adopt()
        for replaced in self.replaced_processes:
            replaced.kill()
            replaced.wait()
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        for conn in list(self.loop.watched.values()):
            if isinstance(conn, Connection):
                conn.close()
        for listener in self.loop.listeners:
            listener.sock.close()
        for sock in self.network.udp.values():
            sock.close()
        with contextlib.suppress(OSError):
            self.loop.epoll.close()

    # --- time ---

    def until(self, condition: Callable[[], Any], seconds: float, step: float = 0.05) -> float:
        """Run until ``condition`` holds, checked every ``step`` seconds; return how long it took.

        Raises TimeoutError after ``seconds``.
        """
        began = time.monotonic()
        on_round, state = self.loop.on_round, {"next": 0.0, "held": False}

        def check_condition(now: int) -> int:
            on_round(now)
            checked_at = time.monotonic()
            if checked_at >= state["next"]:
                state["held"] = bool(condition())
                state["next"] = time.monotonic() + step
            self.loop.stopped = bool(state["held"]) or checked_at - began > seconds
            return clock() + int(step * SECOND)

        self.loop.on_round, self.loop.stopped = check_condition, False
        try:
            self.loop.run()
        finally:
            self.loop.on_round = on_round
        if not state["held"]:
            raise TimeoutError(f"condition not met within {seconds:g} s")
        return time.monotonic() - began

    def run(self, seconds: float) -> None:
        """Run the cluster's event loop for this long."""
        end = time.monotonic() + seconds
        self.until(lambda: time.monotonic() >= end, seconds + 5)

    # --- control, logs and views ---

    def start_control_call(self, name: str, words: str, body: bytes = b"") -> Callable[[], str | None]:
        """Send a command to control without waiting; the returned function gives the reply or None."""
        replies: list[str] = []

        def run() -> Coroutine[None]:
            address, due = ("127.0.0.1", self.ports[name]["control"]), clock() + 10 * SECOND
            conn = yield from self.loop.connect(address, due)
            if conn is None:
                replies.append("")
                return
            yield from conn.send(words.encode() + b"\n" + body, due)
            reply = bytearray()  # of any length: the view of a thousand members takes 300 KB
            while not conn.eof and clock() < due:
                if not conn.read() and not conn.eof:
                    yield due
                reply += conn.received.take(len(conn.received))
            replies.append(reply.decode().strip())
            conn.close()

        self.loop.start_task(run(), "operator")
        return lambda: replies[0] if replies else None

    def control_call(self, name: str, words: str, body: bytes = b"") -> str:
        """Send a command to control and run the cluster until the reply is there; return it."""
        reply = self.start_control_call(name, words, body)
        self.until(lambda: reply() is not None, 12)
        return reply() or ""

    def run_program(self, *words: str) -> subprocess.CompletedProcess[str]:
        """Run ``arrowseam`` with these arguments; the loop runs on, since it carries the proxies' traffic."""
        line = [sys.executable, "-m", "arrowseam", *words]
        process = subprocess.Popen(line, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, cwd=ROOT)
        self.until(lambda: process.poll() is not None, 30)
        out, err = process.communicate()
        return subprocess.CompletedProcess(line, process.returncode, out, err)

    def agreement_rows(self, name: str) -> list[dict[str, Any]]:
        """Return the rows of control's ``agree``."""
        return [json.loads(line) for line in self.blocking_control_call(name, "agree")[:-1]]

    def replicated(self, name: str) -> dict[str, Any]:
        """Return the replicated state as one proxy reports it: its first row, with permits and releases."""
        rows = self.agreement_rows(name)
        found: dict[str, Any] = rows[0] if rows else {}
        found["permits"] = [row for row in rows if "permit" in row]
        found["releases"] = {row["release"]: row for row in rows if "members" in row}
        return found

    def blocking_control_call(self, name: str, words: str) -> list[str]:
        """Return the lines of control's reply, none if unreachable. Blocks the loop, for 2 s at most."""
        try:
            with socket.create_connection(("127.0.0.1", self.ports[name]["control"]), timeout=2) as sock:
                sock.sendall(words.encode() + b"\n")
                return sock.makefile("r", encoding="utf-8").read().splitlines()
        except OSError:
            return []

    def view(self, name: str) -> list[dict[str, Any]]:
        """Return the member rows of control's ``fleet``."""
        return [
            row for row in map(json.loads, self.blocking_control_call(name, "fleet")[:-1]) if "name" in row
        ]

    def cordons(self, name: str) -> list[str]:
        """Return the endpoints that a proxy has cordoned."""
        rows = [json.loads(line) for line in self.blocking_control_call(name, "fleet")[:-1]]
        return next((row["cordons"] for row in rows if "cordons" in row), [])

    def metrics(self, name: str) -> dict[str, int]:
        """Return a proxy's counters and gauges."""
        found = (
            re.fullmatch(r"([\w.]+):(-?\d+)\|[cg]", line)
            for line in self.blocking_control_call(name, "counters")
        )
        return {match[1]: int(match[2]) for match in found if match}

    def views_agree(self, names: Iterable[str] | None = None) -> bool:
        """Whether each of these members sees exactly these as alive, none suspected, all with one digest."""
        names = sorted(names if names is not None else self.processes)
        digests = set()
        for name in names:
            rows = self.view(name)
            if sorted(row["name"] for row in rows if row["state"] == "alive") != names:
                return False
            if any(row["state"] == "suspect" for row in rows):
                return False
            digests.add(rows[0]["digest"])
        return len(digests) == 1

    def proxy_counts(self) -> dict[str, int]:
        """Return the proxy count that each member divides its budgets by."""
        return {name: self.metrics(name).get("edge.fleet.told", 0) for name in self.processes}

    def log(self, name: str) -> str:
        """Return the whole log of a member."""
        return (self.folder / f"{name}.log").read_text()

    # --- discovery ---

    def set_endpoints(self, rows: list[dict[str, Any]]) -> None:
        """Make discovery serve these rows as its next version."""
        self.endpoint_rows = rows
        self.version += 1

    def _discovery(self, conn: Connection) -> Coroutine[None]:
        while (line := (yield from conn.read_line(1000, clock() + 60 * SECOND))) is not None:
            if not line.startswith(b"GET"):
                continue
            since = re.search(rb"since=(\d+)", line)
            while (since and int(since[1]) >= self.version) or not self.discovery_up:
                if conn.peer_closed:
                    return
                yield clock() + 20_000
            text = json.dumps(
                {"generation": self.version, "reset": True, "instances": self.endpoint_rows}
            ).encode()
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text)
            yield from conn.send(head + text, clock() + SECOND)


def _address_text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
