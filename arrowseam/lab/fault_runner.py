"""Plays a schedule of faults on real processes under traffic, records what happens and checks the results.

Processes are observed only from outside: through control, logs and the records of the stand-ins. A seed
repeats the faults and their times, not the timing of the machine.
"""

from __future__ import annotations

import heapq
import json
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from arrowseam.lab.fault_kinds import KINDS, FaultKind
from arrowseam.lab.fault_record import Record
from arrowseam.lab.schedules import Schedule, Step
from arrowseam.lab.traffic import TrafficCluster
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.task import Coroutine

SETTLE = 15.0  # seconds after the last fault within which all views must be equal
FALSE_DEAD_MAX = 3.0  # seconds after it; later, no view may show a reachable member as dead
CORDON_SPREAD = 2.0  # seconds after which a cordon survives the end of the proxy that accepted it
LOG_POLL = 50 * MS  # interval between reads of the logs, hence the precision of times in a record
PROCESS_POLL = 50 * MS  # interval between checks whether a draining process has ended
RESTART_DELAY_MAX = 300 * MS

PARTITIONS = (FaultKind.PARTITION, FaultKind.PARTITION_IN_THREE, FaultKind.PARTITION_ONE_WAY)
# Faults of all links, with the default strength: a probability, or seconds of delay.
LINK_FAULTS = {
    FaultKind.LOSS: 0.3,
    FaultKind.DUPLICATION: 0.5,
    FaultKind.CORRUPTION: 0.2,
    FaultKind.DELAY: 0.05,
}
WITHOUT_SPAN = (FaultKind.KILL, FaultKind.KILL_SOME, FaultKind.RESTART_ALL, FaultKind.START, FaultKind.LEAVE,
                FaultKind.CORDON, FaultKind.UNCORDON)  # fmt: skip


class FaultRunner:
    """One play of a schedule. A fault may harm the clients of the proxies in ``faulted``."""

    def __init__(
        self,
        schedule: Schedule,
        folder: Path,
        first_port: int = 0,
        servers: int = 3,
        visits: float = 40.0,
        operator_text: str = "",
        **cluster_options: Any,
    ) -> None:
        self.schedule, self.folder = schedule, folder
        json_log = 'log(format = "json")\n'
        self.traffic = TrafficCluster(
            folder,
            schedule.members,
            servers,
            schedule.seed,
            first_port,
            visits,
            json_log + operator_text,
            **cluster_options,
        )
        self.cluster = self.traffic.cluster
        self.faulted: set[str] = set()
        self.record = Record(schedule.text())
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.event_count = 0
        self.began = clock()
        self.cordoned: dict[str, tuple[int, str]] = {}  # server -> when it was set, and at which proxy
        self.stalled: set[str] = set()
        self.log_offsets: dict[str, int] = {}
        # Called with the time, the member and the fields of each log line.
        self.log_listeners: list[Callable[[float, str, dict[str, Any]], None]] = []

    # --- the record ---

    @property
    def now(self) -> float:
        """Seconds since the beginning of the schedule."""
        return (clock() - self.began) / SECOND

    def _follow_logs(self) -> Coroutine[None]:
        """Read new log lines at intervals."""
        while True:
            self.read_logs()
            pause = clock() + LOG_POLL
            while clock() < pause:
                yield pause

    def read_logs(self) -> None:
        """Read the complete lines appended to the logs since the last call."""
        for name in self.cluster.names:
            path = self.folder / f"{name}.log"
            if not path.exists():
                continue
            with path.open("rb") as file:
                file.seek(self.log_offsets.get(name, 0))
                data = file.read()
            complete = data[: data.rfind(b"\n") + 1]
            self.log_offsets[name] = self.log_offsets.get(name, 0) + len(complete)
            for line in complete.splitlines():
                self._read_line(name, line)

    def _read_line(self, name: str, line: bytes) -> None:
        try:
            doc = json.loads(line)
        except ValueError:
            if b"Traceback" in line:
                self.report_violation(f"{name}: an exception in its log")
            return
        event = doc.get("event", "")
        if event == "task.failed":
            self.report_violation(f"{name}: {doc.get('message', '')[:80]}")
        if event.startswith(("member.", "fleet.")):
            about = doc.get("member") or doc.get("server") or name
            self.record.events.append((self.now, name, event, about))
        for listener in self.log_listeners:
            listener(self.now, name, doc)

    def report_violation(self, text: str) -> None:
        """Record a violation, once."""
        if text not in self.record.broken:
            self.record.broken.append(text)

    # --- the faults ---

    def at(self, when: int, act: Callable[[], None]) -> None:
        """Schedule ``act`` at ``when``, in microseconds from the beginning of the schedule."""
        self.event_count += 1
        heapq.heappush(self.events, (when, self.event_count, act))

    def _record_down(self, name: str) -> None:
        self.faulted.add(name)
        self.traffic.avoided.add(name)
        self.record.lives.append((self.now, name, "down"))

    def _start(self, name: str) -> None:
        if name not in self.cluster.processes:
            self.cluster.start([name])
            self.record.lives.append((self.now, name, "up"))

    def _kill(self, name: str, power_off: bool = False) -> None:
        if name in self.cluster.processes:
            self.stalled.discard(name)
            self._record_down(name)
            self.cluster.kill([name], power_off)
            self._forget_recent_cordons(name)

    def _leave(self, name: str) -> None:
        if name in self.cluster.processes and name not in self.stalled:
            self.traffic.avoided.add(name)
            process = self.cluster.terminate(name)
            self.faulted.add(name)  # while it drains, it refuses requests that it still has to place

            def check_ended() -> None:
                if self.cluster.processes.get(name) is not process:
                    return
                if process.poll() is None:
                    self.at(int(self.now * SECOND) + PROCESS_POLL, check_ended)
                    return
                self.cluster.reap(name)
                self.record.lives.append((self.now, name, "down"))
                self._forget_recent_cordons(name)

            self.at(int(self.now * SECOND) + PROCESS_POLL, check_ended)

    def _forget_recent_cordons(self, name: str) -> None:
        """Forget cordons that a member accepted just before its end: they may have reached no other."""
        for server, (set_at, by) in list(self.cordoned.items()):
            if by == name and clock() - set_at < CORDON_SPREAD * SECOND:
                del self.cordoned[server]

    def _stall(self, name: str) -> None:
        if name in self.cluster.processes and name not in self.stalled:
            self.faulted.add(name)
            self.traffic.avoided.add(name)
            self.stalled.add(name)
            self.cluster.stall([name])

    def _resume(self, name: str) -> None:
        if name in self.stalled:
            self.stalled.discard(name)
            if name in self.cluster.processes:
                self.cluster.resume([name])
            self.traffic.avoided.discard(name)

    def step(self, step: Step) -> None:
        """Begin one fault and schedule its end after its span."""
        span = 0.0 if step.what in WITHOUT_SPAN else step.span / SECOND
        self.record.faults.append((self.now, self.now + span, step.what, " ".join(step.who)))
        if step.what not in KINDS:
            return  # a schedule in JSON may contain faults that only the simulated cluster has
        kind = FaultKind(step.what)
        if kind in PARTITIONS:
            self._partition(kind, step)
        elif kind in LINK_FAULTS:
            self._disturb_links(kind, step)
        elif kind in (FaultKind.CORDON, FaultKind.UNCORDON):
            self._cordon(kind, step)
        elif kind is FaultKind.DISCOVERY_OUTAGE:
            self.cluster.discovery_up = False
            self.at(step.at + step.span, lambda: setattr(self.cluster, "discovery_up", True))
        else:
            self._change_processes(kind, step)

    def _change_processes(self, kind: FaultKind, step: Step) -> None:
        one = step.who[0] if step.who else ""
        match kind:
            case FaultKind.KILL:
                self._kill(one)
            case FaultKind.KILL_SOME:
                for name in step.who:
                    self._kill(name)
            case FaultKind.POWER_OFF:
                self._kill(one, power_off=True)
                self.at(step.at + step.span, lambda: self._start(one))
            case FaultKind.RESTART:
                self._kill(one)
                self.at(step.at + min(step.span, RESTART_DELAY_MAX), lambda: self._start(one))
            case FaultKind.RESTART_ALL:
                self._restart_all(step.at)
            case FaultKind.START:
                self._start(one)
            case FaultKind.LEAVE:
                self._leave(one)
            case FaultKind.STALL:
                self._stall(one)
                self.at(step.at + step.span, lambda: self._resume(one))

    def _restart_all(self, at: int) -> None:
        """Kill all members and restart them, spread over a second."""
        names = self.cluster.names
        for name in names:
            self._kill(name)
        for number, name in enumerate(names):
            self.at(at + number * SECOND // len(names), partial(self._start, name))

    def _partition(self, kind: FaultKind, step: Step) -> None:
        network, some = self.cluster.network, list(step.who)
        rest = [name for name in self.cluster.names if name not in some]
        groups = [some, rest[::2], rest[1::2]] if kind is FaultKind.PARTITION_IN_THREE else [some, rest]
        links = network.partition(*groups, one_way=kind is FaultKind.PARTITION_ONE_WAY)
        self.at(step.at + step.span, lambda: network.restore(links))

    def _disturb_links(self, kind: FaultKind, step: Step) -> None:
        """Set a fault on the links between all members; the step's number overrides the default strength."""
        network, names = self.cluster.network, self.cluster.names
        strength = step.number or LINK_FAULTS[kind]
        fields: dict[str, float]
        match kind:
            case FaultKind.LOSS:
                fields = {"loss": strength}
            case FaultKind.DUPLICATION:
                fields = {"doubled": strength}
            case FaultKind.CORRUPTION:
                fields = {"corrupted": strength}
            case _:
                fields = {"delay": 20 * MS, "spread": int(strength * SECOND)}
        network.set_links(names, **fields)
        self.at(step.at + step.span, lambda: network.set_links(names, **dict.fromkeys(fields, 0)))

    def _cordon(self, kind: FaultKind, step: Step) -> None:
        """Cordon or uncordon a server at one proxy, unless the proxy cannot reply."""
        one = step.who[0] if step.who else ""
        if one not in self.cluster.processes or one in self.stalled:
            return
        if self.cluster.blocking_control_call(one, f"{kind.value} {step.server}") != ["ACK"]:
            return
        self.cordoned.pop(step.server, None)
        if kind is FaultKind.CORDON:
            self.cordoned[step.server] = clock(), one

    # --- the play ---

    def play(self) -> Record:
        """Play the whole schedule; raises TimeoutError if the cluster does not come up."""
        cluster = self.cluster
        cluster.start()
        cluster.until(lambda: cluster.views_agree(cluster.names), 20 + len(cluster.names))
        self.prepare()
        self.record.lives += [(0.0, name, "up") for name in cluster.names]
        cluster.loop.start_task(self._follow_logs(), "logs")
        cluster.loop.start_task(self.traffic.generate_clients(), "crowd")
        cluster.run(0.3)
        self.began = clock()
        for step in self.schedule.steps:
            self.at(step.at, lambda step=step: self.step(step))  # type: ignore[misc]
        self.run_events()
        self.settle()
        self.judge()
        return self.record

    def prepare(self) -> None:
        """Hook for subclasses: called once the views agree, before the schedule begins."""

    def run_events(self) -> None:
        """Run all pending events, each at its time."""
        while self.events:
            when = self.events[0][0]
            wait = when / SECOND - self.now
            if wait > 0:
                self.cluster.run(wait)
            heapq.heappop(self.events)[2]()

    def settle(self) -> None:
        """Remove all remaining faults and check that the views become equal."""
        cluster = self.cluster
        cluster.network.heal()
        for name in list(self.stalled):
            self._resume(name)
        cluster.discovery_up = True
        try:
            self.record.settled = cluster.until(cluster.views_agree, SETTLE)
        except TimeoutError:
            self.report_violation(f"views differ {SETTLE:g} s after the last fault")
        if (self.record.settled or SETTLE) > FALSE_DEAD_MAX:
            for name in cluster.processes:
                for row in cluster.view(name):
                    if row["name"] in cluster.processes and row["state"] not in ("alive", "suspect"):
                        self.report_violation(f"{name} shows {row['name']} as {row['state']}")

    def judge(self) -> None:
        """Check proxy counts, cordons and clients once the views are equal."""
        cluster, settled = self.cluster, time.monotonic()
        for name, count in cluster.proxy_counts().items():
            if count < len(cluster.processes):
                self.report_violation(f"{name} counts {count} of {len(cluster.processes)} proxies")
        for server in self.cordoned:
            self._judge_cordon(server)
        self.traffic.avoided = set(cluster.names)  # clients that have already arrived get their replies
        cluster.run(max(1.0, 2.5 - (time.monotonic() - settled)))
        for name, received in self.traffic.harmed_clients(self.faulted):
            self.report_violation(
                f"a client of {name} was not served or was cut off; it received {received[:60]!r}"
            )
        self.read_logs()
        self.record.ended = self.now
        counted = [c for name, c in self.traffic.arrivals if name not in self.faulted]
        self.record.clients = {"came": len(self.traffic.arrivals), "to proxies spared": len(counted),
                               "of these up": sum(c.has("up") for c in counted)}  # fmt: skip

    def _judge_cordon(self, server: str) -> None:
        """Check that all proxies have the cordon, and that 2 s later no new connections go to the server."""
        cluster = self.cluster
        held = {name: server in cluster.cordons(name) for name in cluster.processes}
        if not any(held.values()):
            return  # all proxies that knew of it have ended
        if not all(held.values()):
            self.report_violation(f"a cordon is known only to {sorted(n for n in held if held[n])}")
        known_at = clock()
        cluster.run(2.5)
        for servers in self.traffic.servers.values():
            late = [
                at for s in servers if s.name == server for at in s.opened_at if at > known_at + 2 * SECOND
            ]
            if late:
                self.report_violation(f"{len(late)} connections to {server} later than 2 s after its cordon")

    def close(self) -> None:
        """Close the cluster."""
        self.traffic.close()


def play(
    schedule: Schedule,
    folder: Path,
    first_port: int = 0,
    kind: type[FaultRunner] = FaultRunner,
    **fields: Any,
) -> Record:
    """Play one schedule; if the cluster cannot be set up, the record says "not played"."""
    runner = kind(schedule, folder, first_port, **fields)
    try:
        return runner.play()
    except (TimeoutError, OSError) as error:
        runner.report_violation(f"not played: {error}")
        return runner.record
    finally:
        runner.close()
