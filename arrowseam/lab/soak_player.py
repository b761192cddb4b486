"""Plays a soak plan on one real proxy (two in a hot restart), with stand-ins around it, and records it.

It owns the processes that it starts and ends them by their id. It must never look into them, nor judge.
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
    DESCRIPTOR_LIMIT,
    KILL_AFTER_DEADLINE,
    MS,
    REPEAT_WINDOW,
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
    ASK_INTERVAL,
    DISCOVERY_PORT,
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
RUN_DELAY_WINDOW = 250 * MS  # in which waits for a processor add up
START_TIMEOUT = 20 * SECOND
POLL_INTERVAL = 5 * MS
PROXY_PORTS = {Wire.LINES: 15_000, Wire.NATS: 15_001}
FIRST_REQUEST_ID = 1_000
LANES = [
    {"name": RequestKind.RETRYABLE, "aim": 300_000, "deadline": DEADLINE, "effect": "retryable"},
    {"name": RequestKind.FRAGILE, "aim": 300_000, "deadline": SHORT_DEADLINE, "effect": "fragile"},
    {"name": RequestKind.KEYED, "aim": 300_000, "deadline": DEADLINE, "effect": "dedup",
     "key_scope": "all", "key_ttl": REPEAT_WINDOW},
]  # fmt: skip
RULES = {"cold_share": 0.12, "drain_grace": 2 * SECOND, "fall_multiple": 4.0, "overload_for": 2 * SECOND,
         "warm_up": 24 * SECOND, "ask_within": 400 * MS}  # fmt: skip
CAPS = {"max_attempts": 4, "dial_timeout": 250 * MS, "max_retry_after": 1_500 * MS, "retry_after": True}


class ProcessNotServingError(Exception):
    """A process did not answer PING in time; the text is its log."""


class SoakProcess:
    """One ``serve``; its log is JSON lines in a file."""

    def __init__(self, folder: Path, number: int, program: tuple[str, ...]) -> None:
        self.log_path = folder / f"log-{number}"
        words = [*(program or PROGRAM), "serve", "--config", "config.json", "--nats", "nats.json",
                 "--operator", "operator.star"]  # fmt: skip
        source = str(Path(__file__).resolve().parents[2])
        environment = os.environ | {"TMPDIR": str(folder), "PYTHONPATH": source}
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(words, cwd=folder, stdout=log, stderr=log, env=environment)
        self.was_held = False

    def send(self, name: str) -> None:
        """Send a signal; nothing if it has ended."""
        if self.process.poll() is None:
            self.process.send_signal(signal.Signals[name])

    def kill(self) -> None:
        """End it; it was held if it had not ended by itself."""
        self.was_held = self.process.poll() is None
        self.process.kill()
        self.process.wait()

    def descriptors(self) -> int:
        """How many descriptors it has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def run_delay(self) -> int:
        """Microseconds that it was ready to run and waited for a processor, so far; 0 once it ended."""
        try:
            return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[1]) // 1_000
        except (OSError, IndexError):
            return 0

    def record(self) -> ProcessRecord:
        """How it ended."""
        status = None if self.was_held else self.process.returncode
        return ProcessRecord(status, self.log_path.read_text().splitlines())


class SoakPlayer:
    """Plays one plan in a folder of its own."""

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
        self.rewrites = 0
        self._round_at = 0
        self._drains: dict[int, int] = {}
        self._run_delays: dict[SoakProcess, int] = {}  # of each process, when it was last looked at
        self._delays_until = 0
        self._crashed_requests: set[int] = set()  # of clients that were there at a crash
        self._process_count = 0

    # --- files ---

    def _rows(self) -> list[dict[str, Any]]:
        return [
            {"instanceId": f"s{number}", "hostPort": endpoint.address, "zone": "z", "machineType": "k",
             "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}
            for number, endpoint in enumerate(self.endpoints[Wire.LINES])
        ]  # fmt: skip

    def _write_files(self) -> None:
        """Write the configuration; each time with another limit, so that a reload changes something."""
        host, port = self.addresses[Wire.LINES]
        caps = CAPS | {"max_attempts": 3 + self.rewrites % 3}
        document = {
            "name": "n0", "listen": f"{host}:{port}", "seed": f"{self.plan.seed:x}",
            "discovery": f"{own_host()}:{DISCOVERY_PORT}",
            "limits": {"sockets": DESCRIPTOR_LIMIT},
            "settings": {"balancers": 1, "caps": caps, "invariants": RULES, "lanes": LANES,
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
        self.rewrites += 1

    # --- time ---

    def _run_until(self, condition: Callable[[], bool], due: int) -> bool:
        """Run the stand-ins until it holds or until ``due``; how long they were held up adds to the slack."""

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
        """What a process waited for a processor, in any short window, is no fault of its own."""
        if now < self._delays_until:
            return
        self._delays_until = now + RUN_DELAY_WINDOW
        for process in self.processes:
            delay = process.run_delay()
            self.record.slack = max(self.record.slack, delay - self._run_delays.get(process, delay))
            self._run_delays[process] = delay

    def _note_drains(self) -> None:
        """Follow which endpoints discovery has told to drain, and which it lists as ready again."""
        told = self.discovery.drained_at
        for endpoint in [e for e in self._drains if e not in told]:
            self.record.drains.append((endpoint, self._drains.pop(endpoint), clock()))
        self._drains.update(told)

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
        for trouble in plan.discovery_steps:
            steps.append((trouble.at, lambda mode=trouble.mode: self._set_discovery(mode)))  # type: ignore[misc]
            steps.append((trouble.at + trouble.span, lambda: self._set_discovery(DiscoveryMode.UP)))
        steps += [(step.at, lambda step=step: self._signal(step)) for step in plan.signals]  # type: ignore[misc]
        return sorted(steps, key=lambda step: step[0])

    def _set_mode(self, endpoint: int, mode: str) -> None:
        for wire in Wire:
            self.endpoints[wire][endpoint].set_mode(mode)

    def _set_discovery(self, mode: DiscoveryMode) -> None:
        self.discovery.mode = mode

    def _signal(self, step: SignalStep) -> None:
        if step.rewrites:
            self._write_files()
        self.processes[-1].send(step.name)

    def _start_client(self, step: ClientStep) -> None:
        record = ClientRecord(FIRST_REQUEST_ID + len(self.clients), step.wire, step.request)
        self.record.clients.append(record)
        client = SoakClient(self.loop, self.addresses[step.wire], record)
        self.clients.append(client)
        self.loop.start_task(self._drive(client, step), "client's driver")

    def _drive(self, client: SoakClient, step: ClientStep) -> Coroutine[None]:
        """Do what a client does, until its connection ends."""
        record, began = client.record, clock()
        while client.conn is None:
            if clock() - began > SECOND:
                return
            yield clock() + POLL_INTERVAL
        sent = 0
        if step.kind is ClientKind.PARTIAL:
            sent = client.begin_opening()
        if step.kind in (ClientKind.RESTS, ClientKind.PARTIAL):
            yield from self._pause(clock() + step.span)
        if step.kind is ClientKind.IDLE or (step.kind is ClientKind.PARTIAL and step.span > 2 * SECOND):
            return
        if not record.ended_at and not record.got.count(record.words["rejected"]):
            client.finish_opening(sent)
        leaves_at = clock() + step.span if step.kind is ClientKind.LEAVES else 0
        while not record.ended_at and not record.left_at:
            if leaves_at and clock() >= leaves_at:
                client.leave()
            elif record.has("up") and not record.has("moved"):
                client.ask()
            yield from self._pause(min(clock() + ASK_INTERVAL, leaves_at or clock() + ASK_INTERVAL))

    @staticmethod
    def _pause(due: int) -> Coroutine[None]:
        while clock() < due:
            yield due

    # --- the whole run ---

    def play(self) -> SoakRecord:
        """Play the plan to the end of its processes; none of them is left."""
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
        """A second process takes over; the first one is told to end, and has its time for that."""
        former = self.processes[-1]
        self._start_process()
        former.send("SIGTERM")

    def _crash(self) -> None:
        """Kill the process and start it again; what its clients had is not judged."""
        self.processes.pop().kill()
        lost = {client.record.request_id for client in self.clients}
        self.record.clients.clear()
        self.record.attempts[:] = [a for a in self.record.attempts if a.request_id not in lost]
        self._crashed_requests |= lost
        self._start_process()

    def _end(self) -> None:
        """SIGTERM, the last signals, and SIGKILL at the earliest moment at which it may come."""
        term_at = self.record.term_at = clock()
        process, signals = self.processes[-1], list(self.plan.signals_after_end)
        process.send("SIGTERM")
        kill_at = term_at + DEADLINE + KILL_AFTER_DEADLINE
        while clock() < kill_at and any(p.process.poll() is None for p in self.processes):
            due = min(kill_at, term_at + signals[0].at) if signals else kill_at
            self._run_until(self._have_all_ended, due)
            while signals and clock() >= term_at + signals[0].at:
                self._signal(signals.pop(0))
        for one in self.processes:
            one.kill()
        self.record.ended_at = clock()
        lost = self._crashed_requests  # an attempt that was being made may have come after the crash
        self.record.attempts[:] = [a for a in self.record.attempts if a.request_id not in lost]
        self._run_until(lambda: False, clock() + 50 * MS)  # what the end of the process brings
        for endpoint, told_at in self._drains.items():
            self.record.drains.append((endpoint, told_at, 0))

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
    """Play a plan in a folder that is its own; returns what was recorded.

    ``program`` is what to run in place of ``python -m arrowseam``.
    """
    return SoakPlayer(plan, folder, program).play()
