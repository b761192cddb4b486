"""Plays a soak plan on one real proxy (two in a hot restart) among stand-ins, and records the run.

It owns the processes that it starts and ends them by their id. It must never inspect them, nor judge.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from arrowseam.address import Address
from arrowseam.lab.soak_judge import ProcessRecord, SoakRecord
from arrowseam.lab.soak_plan import (
    DEADLINE,
    DEDUPLICATION_WINDOW,
    DESCRIPTOR_LIMIT,
    KILL_AFTER_DEADLINE,
    MS,
    SECOND,
    SETTLE_TIME,
    SHORT_DEADLINE,
    ClientKind,
    ClientStep,
    DiscoveryMode,
    RequestKind,
    SignalStep,
    SoakPlan,
    Wire,
)
from arrowseam.lab.soak_stand_ins import (
    DISCOVERY_PORT,
    LINE_INTERVAL,
    ClientRecord,
    SoakClient,
    SoakDiscovery,
    SoakEndpoint,
    own_host,
)
from arrowseam.net.clock import clock
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine

PROGRAM = (sys.executable, "-m", "arrowseam")
RUN_DELAY_WINDOW = 250 * MS  # over which the waits of a process for a processor are added up
START_TIMEOUT = 20 * SECOND
POLL_INTERVAL = 5 * MS
PROXY_PORTS = {Wire.LINES: 15_000, Wire.NATS: 15_001}
FIRST_REQUEST_ID = 1_000
REQUEST_CLASSES = [
    {"name": RequestKind.IDEMPOTENT, "aim": 300_000, "deadline": DEADLINE, "effect": "retryable"},
    {"name": RequestKind.NON_IDEMPOTENT, "aim": 300_000, "deadline": SHORT_DEADLINE, "effect": "fragile"},
    {"name": RequestKind.KEYED, "aim": 300_000, "deadline": DEADLINE, "effect": "dedup",
     "key_scope": "all", "key_ttl": DEDUPLICATION_WINDOW},
]  # fmt: skip
INVARIANTS = {"cold_share": 0.12, "drain_grace": 2 * SECOND, "fall_multiple": 4.0, "overload_for": 2 * SECOND,
              "warm_up": 24 * SECOND, "ask_within": 400 * MS}  # fmt: skip
LIMITS = {"max_attempts": 4, "dial_timeout": 250 * MS, "max_retry_after": 1_500 * MS, "retry_after": True}


class ProcessNotServingError(Exception):
    """A process did not listen in time; the message is its log."""


class SoakProcess:
    """One process that runs ``serve``, with its log in a file of JSON lines."""

    def __init__(self, folder: Path, number: int, program: tuple[str, ...]) -> None:
        self.log_path = folder / f"log-{number}"
        arguments = [*(program or PROGRAM), "serve", "--config", "config.json", "--nats", "nats.json",
                     "--operator", "operator.star"]  # fmt: skip
        source = str(Path(__file__).resolve().parents[2])
        environment = os.environ | {"TMPDIR": str(folder), "PYTHONPATH": source}
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(arguments, cwd=folder, stdout=log, stderr=log, env=environment)
        self.was_killed = False

    def send(self, name: str) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(signal.Signals[name])

    def kill(self) -> None:
        """Kill the process; ``was_killed`` tells whether it was still running."""
        self.was_killed = self.process.poll() is None
        self.process.kill()
        self.process.wait()

    def descriptors(self) -> int:
        """The number of its open descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def run_delay(self) -> int:
        """Total time in microseconds that it was ready to run and had no processor; 0 once it has ended."""
        try:
            return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[1]) // 1_000
        except (OSError, IndexError):
            return 0

    def record(self) -> ProcessRecord:
        """How it ended."""
        status = None if self.was_killed else self.process.returncode
        return ProcessRecord(status, self.log_path.read_text().splitlines())


class SoakPlayer:
    """Plays one plan in its own folder."""

    def __init__(self, plan: SoakPlan, folder: Path, program: tuple[str, ...] = ()) -> None:
        self.plan, self.folder, self.program, self.loop = plan, folder, program, EventLoop()
        self.record = SoakRecord()
        self.endpoints = {
            wire: [
                SoakEndpoint(self.loop, wire, number, mode, self.record.attempts)
                for number, mode in enumerate(plan.modes)
            ]
            for wire in Wire
        }
        self.discovery = SoakDiscovery(self.loop, self._rows())
        self.addresses: dict[Wire, Address] = {wire: (own_host(), port) for wire, port in PROXY_PORTS.items()}
        self.processes: list[SoakProcess] = []
        self.clients: list[SoakClient] = []
        self.config_writes = 0
        self._round_at = 0
        self._drains: dict[int, int] = {}
        self._run_delays: dict[SoakProcess, int] = {}  # of each process, when last read
        self._next_delay_check = 0
        self._crashed_requests: set[int] = set()  # of the clients that had been started at a crash
        self._process_count = 0

    # --- files ---

    def _rows(self) -> list[dict[str, Any]]:
        return [
            {"instanceId": f"s{number}", "hostPort": endpoint.address, "zone": "z", "machineType": "k",
             "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}
            for number, endpoint in enumerate(self.endpoints[Wire.LINES])
        ]  # fmt: skip

    def _write_files(self) -> None:
        """Write the configuration, with another limit each time so that a reload changes something."""
        host, port = self.addresses[Wire.LINES]
        limits = LIMITS | {"max_attempts": 3 + self.config_writes % 3}
        document = {
            "name": "n0", "listen": f"{host}:{port}", "seed": f"{self.plan.seed:x}",
            "discovery": f"{own_host()}:{DISCOVERY_PORT}",
            "limits": {"sockets": DESCRIPTOR_LIMIT},
            "settings": {"balancers": 1, "caps": limits, "invariants": INVARIANTS, "lanes": REQUEST_CLASSES,
                         "tenants": [{"name": "acme", "share": 1.0}], "kinds": ["k"], "zones": ["z"],
                         "registry_mode": "subscribe"},
        }  # fmt: skip
        host, port = self.addresses[Wire.NATS]
        nats = {
            "listen": f"{host}:{port}",
            "users": {kind: {"class": kind, "tenant": "acme"} for kind in RequestKind},
            "servers": {f"s{n}": endpoint.address for n, endpoint in enumerate(self.endpoints[Wire.NATS])},
        }
        for name, text in (("config.json", json.dumps(document)), ("nats.json", json.dumps(nats)),
                           ("operator.star", 'log(format = "json")\n')):  # fmt: skip
            temporary = self.folder / f"{name}.new"
            temporary.write_text(text)
            os.replace(temporary, self.folder / name)
        self.config_writes += 1

    # --- time ---

    def _run_until(self, condition: Callable[[], bool], due: int) -> bool:
        """Run the stand-ins until the condition holds or until ``due``; their longest delay becomes slack."""

        def on_round(now: int) -> int:
            if self._round_at:
                self.record.slack = max(self.record.slack, now - self._round_at - POLL_INTERVAL)
            self._round_at = now
            self._note_run_delays(now)
            self._note_drains()
            self.loop.stopped = condition() or now >= due
            return now + POLL_INTERVAL

        self.loop.on_round, self.loop.stopped, self._round_at = on_round, False, 0
        self.loop.run()
        return condition()

    def _note_run_delays(self, now: int) -> None:
        """Count the waits of a process for a processor as slack: they are no fault of the proxy."""
        if now < self._next_delay_check:
            return
        self._next_delay_check = now + RUN_DELAY_WINDOW
        for process in self.processes:
            delay = process.run_delay()
            self.record.slack = max(self.record.slack, delay - self._run_delays.get(process, delay))
            self._run_delays[process] = delay

    def _note_drains(self) -> None:
        """Record which endpoints discovery has listed as draining, and which of them as ready again."""
        draining = self.discovery.draining_since
        for endpoint in [e for e in self._drains if e not in draining]:
            self.record.drains.append((endpoint, self._drains.pop(endpoint), clock()))
        self._drains.update(draining)

    def _start_process(self) -> SoakProcess:
        process = SoakProcess(self.folder, self._process_count, self.program)
        self._process_count += 1
        self.processes.append(process)
        due = clock() + START_TIMEOUT
        if not self._run_until(lambda: "listens on" in process.log_path.read_text(), due):
            raise ProcessNotServingError(process.log_path.read_text())
        return process

    # --- steps ---

    def _steps(self) -> list[tuple[int, Callable[[], None]]]:
        plan = self.plan
        steps: list[tuple[int, Callable[[], None]]] = []
        steps += [(step.at, lambda step=step: self._start_client(step)) for step in plan.clients]  # type: ignore[misc]
        for change in plan.endpoint_steps:
            steps.append((change.at, lambda change=change: self._set_mode(change.endpoint, change.mode)))  # type: ignore[misc]
        for listing in plan.list_steps:
            steps.append(
                (listing.at, lambda s=listing: self.discovery.set_draining(s.endpoint, s.draining))  # type: ignore[misc]
            )
        for outage in plan.discovery_steps:
            steps.append((outage.at, lambda mode=outage.mode: self._set_discovery(mode)))  # type: ignore[misc]
            steps.append((outage.at + outage.duration, lambda: self._set_discovery(DiscoveryMode.UP)))
        steps += [(step.at, lambda step=step: self._signal(step)) for step in plan.signals]  # type: ignore[misc]
        return sorted(steps, key=lambda step: step[0])

    def _set_mode(self, endpoint: int, mode: str) -> None:
        for wire in Wire:
            self.endpoints[wire][endpoint].set_mode(mode)

    def _set_discovery(self, mode: DiscoveryMode) -> None:
        self.discovery.mode = mode

    def _signal(self, step: SignalStep) -> None:
        if step.rewrites_config:
            self._write_files()
        self.processes[-1].send(step.name)

    def _start_client(self, step: ClientStep) -> None:
        record = ClientRecord(FIRST_REQUEST_ID + len(self.clients), step.wire, step.request)
        self.record.clients.append(record)
        client = SoakClient(self.loop, self.addresses[step.wire], record)
        self.clients.append(client)
        self.loop.start_task(self._drive(client, step), "client's driver")

    def _drive(self, client: SoakClient, step: ClientStep) -> Coroutine[None]:
        """Do what the step says for a client, until its connection ends."""
        record, began = client.record, clock()
        while client.conn is None:
            if clock() - began > SECOND:
                return
            yield clock() + POLL_INTERVAL
        sent = 0
        if step.kind is ClientKind.PARTIAL:
            sent = client.begin_opening()
        if step.kind in (ClientKind.OPENS_LATE, ClientKind.PARTIAL):
            yield from self._pause(clock() + step.delay)
        if step.kind is ClientKind.IDLE or (step.kind is ClientKind.PARTIAL and step.delay > 2 * SECOND):
            return
        if not record.ended_at and not record.got.count(record.messages["rejected"]):
            client.finish_opening(sent)
        leave_at = clock() + step.delay if step.kind is ClientKind.LEAVES else 0
        while not record.ended_at and not record.left_at:
            if leave_at and clock() >= leave_at:
                client.leave()
            elif record.has("up") and not record.has("moved"):
                client.send_line()
            yield from self._pause(min(clock() + LINE_INTERVAL, leave_at or clock() + LINE_INTERVAL))

    @staticmethod
    def _pause(due: int) -> Coroutine[None]:
        while clock() < due:
            yield due

    # --- the whole run ---

    def play(self) -> SoakRecord:
        """Play the plan until all processes have ended."""
        try:
            self._write_files()
            self._start_process()
            self._play_steps()
            self._end()
        finally:
            for process in self.processes:
                if process.process.poll() is None:
                    process.kill()
            self._close()
        self.record.processes = [process.record() for process in self.processes]
        return self.record

    def _play_steps(self) -> None:
        before = self.processes[0].descriptors()
        began, steps = clock(), self._steps()
        restart_at, crash_at = self.plan.restart_at, self.plan.crash_at
        while steps or clock() < began + self.plan.end_at:
            due = began + (steps[0][0] if steps else self.plan.end_at)
            if restart_at and clock() >= began + restart_at:
                restart_at = 0
                self._restart()
            if crash_at and clock() >= began + crash_at:
                crash_at = 0
                self._crash()
            self._run_until(lambda due=due: clock() >= due, due)  # type: ignore[misc]
            while steps and clock() >= began + steps[0][0]:
                steps.pop(0)[1]()
        if self.plan.settles:
            for client in self.clients:
                client.leave()
            self._run_until(lambda: False, clock() + SETTLE_TIME)
            self.record.descriptors = before, self.processes[-1].descriptors()

    def _restart(self) -> None:
        """Let a second process take over; the first one gets SIGTERM and the usual time to drain."""
        former = self.processes[-1]
        self._start_process()
        former.send("SIGTERM")

    def _crash(self) -> None:
        """Kill the process and start it again; clients from before the crash are not judged."""
        self.processes.pop().kill()
        crashed = {client.record.request_id for client in self.clients}
        self.record.clients.clear()
        self.record.attempts[:] = [a for a in self.record.attempts if a.request_id not in crashed]
        self._crashed_requests |= crashed
        self._start_process()

    def _end(self) -> None:
        """Send SIGTERM, the last signals, and SIGKILL at the earliest time a supervisor may send it."""
        term_at = self.record.term_at = clock()
        process, signals = self.processes[-1], list(self.plan.signals_after_end)
        process.send("SIGTERM")
        kill_at = term_at + DEADLINE + KILL_AFTER_DEADLINE
        while clock() < kill_at and any(p.process.poll() is None for p in self.processes):
            due = min(kill_at, term_at + signals[0].at) if signals else kill_at
            self._run_until(self._have_all_ended, due)
            while signals and clock() >= term_at + signals[0].at:
                self._signal(signals.pop(0))
        for started in self.processes:
            started.kill()
        self.record.ended_at = clock()
        crashed = self._crashed_requests  # an attempt in progress may have arrived after the crash
        self.record.attempts[:] = [a for a in self.record.attempts if a.request_id not in crashed]
        self._run_until(lambda: False, clock() + 50 * MS)  # to record the ends of connections
        for endpoint, listed_at in self._drains.items():
            self.record.drains.append((endpoint, listed_at, 0))

    def _have_all_ended(self) -> bool:
        return all(process.process.poll() is not None for process in self.processes)

    def _close(self) -> None:
        for listener in self.loop.listeners:
            listener.sock.close()
        for client in self.clients:
            if client.conn is not None:
                client.conn.close()
        with contextlib.suppress(OSError):
            self.loop.epoll.close()


def play(plan: SoakPlan, folder: Path, program: tuple[str, ...] = ()) -> SoakRecord:
    """Play a plan in a folder used for nothing else, and return the record.

    ``program`` replaces ``python -m arrowseam`` if given.
    """
    return SoakPlayer(plan, folder, program).play()
