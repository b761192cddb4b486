"""A scale run: simulated members beside real proxies under traffic, with faults, and the checks on it.

All started processes are ended by their ids, also after an error or an interrupt. The checks use only what is
visible from outside: the reports of the simulated processes, the control of real proxies, the bytes that
clients received. A run whose estimate exceeds half of the available memory is refused before anything starts.
"""

from __future__ import annotations

import json
import platform
import random
import secrets
import shutil
import signal
import tempfile
import time
from collections.abc import Callable, Iterable
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from arrowseam.address import Address
from arrowseam.lab.local_cluster import free_ports
from arrowseam.lab.scale_faults import FaultInjector
from arrowseam.lab.scale_measurements import Measurements, ProcessSamples, processor_seconds
from arrowseam.lab.scale_plan import PERIOD_MS, Plan, assign_members, check, machine
from arrowseam.lab.scale_record import Phase, Record, series
from arrowseam.lab.simulated_process import SimulatedProcess
from arrowseam.lab.traffic import TrafficCluster
from arrowseam.membership.records import fingerprint
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.task import Coroutine

FALSE_DEAD_MAX = 3.0  # seconds after the last fault; later, no view may show a reachable member as dead
START_SETTLE = 60.0  # seconds after a start of all members at once within which all views must be equal
PROGRESS_INTERVAL = 3.0  # seconds between progress lines
CLIENTS_PER_SECOND = 8.0  # each client stays connected


class Run:
    """One scale run; ``close`` ends all processes that it started. ``on_progress`` gets lines of progress."""

    def __init__(self, plan: Plan, folder: Path, on_progress: Callable[[str], None] = lambda _: None) -> None:
        """Raises PlanError."""
        self.estimate = check(plan, machine())
        self.plan, self.folder, self.on_progress = plan, folder, on_progress
        self.rnd = random.Random(plan.seed)
        self.zones = [f"z{z}" for z in range(plan.zones)] if plan.zones > 1 else [""]
        self.zone_sizes = list(zip(self.zones, plan.sizes())) if plan.zones > 1 else []
        self.hosts: list[SimulatedProcess] = []
        self.measurements = Measurements()
        self.faults = FaultInjector(self)
        self.real_digests: dict[str, tuple[int, str]] = {}
        self.running: dict[str, int] = {}  # name -> zone of members that run, stopped ones (SIGSTOP) included
        # Zone -> sum of the name fingerprints of its running members.
        self.name_sums: dict[int, int] = dict.fromkeys(range(plan.zones), 0)
        self.reachable_since = 0  # since when no link is cut and no process is stopped; 0 during such a fault
        self.began = clock()
        self.violations: dict[str, None] = {}  # in the order found, each once
        self.phase: Phase | None = None
        self.changed_at = 0  # when a fault last began or ended
        self.traffic = TrafficCluster(
            folder, plan.real, seed=plan.seed, fleet=False, visits=CLIENTS_PER_SECOND
        )
        try:
            self._prepare()
        except BaseException:
            self.close()
            raise

    @property
    def now(self) -> float:
        """Seconds since the beginning of the run."""
        return (clock() - self.began) / SECOND

    def report_violation(self, text: str) -> None:
        """Record a violation, once."""
        self.violations.setdefault(text)

    # --- setting up ---

    def _prepare(self) -> None:
        plan, cluster = self.plan, self.traffic.cluster
        (self.port,) = free_ports(1, 10_000 + secrets.randbelow(20_000))
        self.addresses: dict[str, Address] = {}
        self.zone_of: dict[str, int] = dict.fromkeys(cluster.names, 0)
        self.host_of: dict[str, SimulatedProcess] = {}
        self._start_simulated_processes()
        first_members: dict[int, list[str]] = {}
        for host in self.hosts:
            first_members.setdefault(host.zone, []).append(host.names[0])
        seeds = {
            zone: [*names[:3], *(n[0] for z, n in first_members.items() if z != zone)][:6]
            for zone, names in first_members.items()
        }
        self.voters = [h.names[0] for h in self.hosts][:5] if plan.agent else []
        voters = {name: _address_text(self.addresses[name]) for name in self.voters}
        wall = time.time_ns() // 1000
        identities = {name: (wall, secrets.randbits(62)) for name in self.host_of} if plan.standing else {}
        for host in self.hosts:
            self._set_up_process(host, seeds, voters, identities)
        for index, name in enumerate(cluster.names):
            self._configure_proxy(index, name, seeds[0], voters)
        cluster.until(lambda: all(host.ready or host.failed for host in self.hosts), 30 + len(self.hosts))
        if failed := [host.failed for host in self.hosts if host.failed]:
            raise OSError(f"a process of simulated members did not start: {failed[0]}")

    def _start_simulated_processes(self) -> None:
        """Start the processes, and assign each member its zone and its address."""
        cluster = self.traffic.cluster
        zones = enumerate(assign_members(self.plan))
        assigned = [(zone, names) for zone, hosts in zones for names in hosts if names]
        for number, (zone, names) in enumerate(assigned):
            for n, name in enumerate(names):
                self.addresses[name] = f"127.{64 + number // 200}.{number % 200 + 1}.{n + 1}", self.port
                self.zone_of[name] = zone
        for name in cluster.names:
            self.addresses[name] = "127.0.0.1", cluster.ports[name]["fleet"]
        for number, (zone, names) in enumerate(assigned):
            self.measurements.shares[number] = []
            host = SimulatedProcess(
                cluster.loop, self.folder, self.measurements, self.on_view, number, zone, names
            )
            self.hosts.append(host)
            self.host_of |= dict.fromkeys(names, host)

    def _set_up_process(
        self,
        host: SimulatedProcess,
        seeds: dict[int, list[str]],
        voters: dict[str, str],
        identities: dict[str, tuple[int, int]],
    ) -> None:
        """Configure a process; ``identities``: start time and nonce of members known from the start."""
        plan = self.plan
        settings = {
            "cluster": "scale",
            "probe_interval": plan.period_ms * MS,
            "probe_timeout": plan.period_ms * MS // 3,
            "configured_members": plan.members,
        }
        zone = {"zone": self.zones[host.zone]} if plan.zones > 1 else {}
        known = self._known_in_other_zones(host.zone, list(seeds), identities)
        stand = [
            {"name": n, "started_at": start_time, "nonce": nonce, "incarnation": 0,
             "host": self.addresses[n][0], "port": self.port}
            | ({"zone": self.zones[self.zone_of[n]]} if plan.zones > 1 else {})
            for n, (start_time, nonce) in identities.items() if self.zone_of[n] == host.zone or n in known
        ]  # fmt: skip
        members = [
            {"name": n, "host": self.addresses[n][0], "port": self.port,
             "seeds": [self.addresses[s] for s in seeds[host.zone] if s != n]}
            | zone | (dict(zip(("life", "nonce"), identities[n])) if identities else {})
            for n in host.names
        ]  # fmt: skip
        host.send(do="set up", view=plan.view, zones=self.zone_sizes, settings=settings, look_ms=500,
                  voters=voters, stand=stand, members=members)  # fmt: skip

    def _known_in_other_zones(
        self, zone: int, zones: list[int], identities: dict[str, tuple[int, int]]
    ) -> set[str]:
        """Return a few members of each other zone that this zone knows from the start."""
        known: set[str] = set()
        for other in zones if identities else ():
            if other != zone:
                members = [name for name in identities if self.zone_of[name] == other]
                known.update(self.rnd.sample(members, min(3, len(identities))))
        return known

    def _configure_proxy(self, index: int, name: str, seeds: list[str], voters: dict[str, str]) -> None:
        """Write the run's settings into the configuration and the operator file of a real proxy."""
        plan, path = self.plan, self.folder / f"{name}.json"
        doc = json.loads(path.read_text())
        doc["settings"] |= {"balancers": plan.members, "me": index}
        # A proxy that is one of so many may send next to nothing to servers in warm-up, so warm-up is short.
        doc["settings"]["invariants"] = doc["settings"]["invariants"] | {"warm_up": 100_000}
        doc["limits"]["sockets"] = 8_000
        path.write_text(json.dumps(doc))
        membership: dict[str, Any] = {
            "name": "scale", "listen": _address_text(self.addresses[name]),
            "seeds": [_address_text(self.addresses[s]) for s in seeds],
            "period_ms": plan.period_ms, "timeout_ms": plan.period_ms // 3,
        }  # fmt: skip
        if plan.zones > 1:
            membership |= {"zone": self.zones[0], "zones": dict(self.zone_sizes)}
        lines = [f"fleet({', '.join(f'{k} = {json.dumps(v)}' for k, v in membership.items())})"]
        if voters:
            lines.append(f"agree(voters = {json.dumps(voters)})")
        with (self.folder / f"{name}.star").open("a") as file:
            file.write("\n" + "\n".join(lines) + "\n")

    def close(self) -> None:
        """End every process by its id, whatever its state."""
        for host in self.hosts:
            host.dead = True
            host.close()
        self.traffic.close()

    # --- running members ---

    def _mark_started(self, names: Iterable[str]) -> None:
        for name in names:
            if name not in self.running:
                self.running[name] = self.zone_of[name]
                self.name_sums[self.zone_of[name]] += fingerprint("name", name)

    def mark_ended(self, names: Iterable[str]) -> None:
        """Record that these members no longer run."""
        for name in names:
            if name in self.running:
                del self.running[name]
                self.name_sums[self.zone_of[name]] -= fingerprint("name", name)

    def command(self, what: str, names: Iterable[str], **fields: Any) -> None:
        """Send a command (start, end or mute) to the processes of these members."""
        names = list(names)
        for host in self.hosts:
            host_names = [name for name in names if self.host_of.get(name) is host]
            if host_names and not host.dead:
                host.send(do=what, who=host_names, **fields)
        (self._mark_started if what == "start" else self.mark_ended)(names)
        self.changed_at = clock()

    # --- the checks ---

    def on_view(self, host: SimulatedProcess) -> None:
        """Check on each report of a process that no running, reachable member is shown as dead."""
        if self.reachable_since and host.reported_at > self.reachable_since + FALSE_DEAD_MAX * SECOND:
            for name in host.held_inactive:
                if name in self.running:  # reported once for each member, however many views show it
                    self.report_violation(
                        f"{name} is running but shown as dead {FALSE_DEAD_MAX:g} s after the last fault"
                    )

    def views_equal(self) -> bool:
        """Whether all views are equal, by the reports since the last change.

        Each simulated member must see exactly the running members, none suspected, with one digest per zone;
        each real proxy must have that digest.
        """
        by_zone: dict[int, set[str]] = {}
        for host in self.hosts:
            if host.dead:
                continue
            if host.reported_at <= self.changed_at:
                return False
            by_zone.setdefault(host.zone, set()).update(host.groups)
        for zone, groups in by_zone.items():
            if len(groups) > 1:
                return False
            for group in groups:
                _, digest, names, suspected = group.split("|")
                if suspected != "0" or int(names, 16) != self.name_sums[zone] & ((1 << 64) - 1):
                    return False
                if zone == 0 and any(
                    self.real_digests.get(name, (0, ""))[0] <= self.changed_at
                    or self.real_digests[name][1] != digest
                    for name in self.traffic.cluster.processes
                ):
                    return False
        return True

    def _ends_known(self, names: list[str]) -> bool:
        """Whether all simulated members of their zone see these as ended or dead."""
        for zone in {self.zone_of[name] for name in names}:
            hosts = [h for h in self.hosts if h.zone == zone and not h.dead and h.groups]
            if any(h.reported_at <= self.changed_at for h in hosts):
                return False
            count = sum(sum(h.groups.values()) for h in hosts)
            ours = [name for name in names if self.zone_of[name] == zone]
            if count and any(sum(h.held_inactive.get(name, 0) for h in hosts) < count for name in ours):
                return False
        return True

    def _poll(self) -> Coroutine[None]:
        """Poll the control of each real proxy every second; the digest is that of the proxy's own row."""
        while True:
            began = clock()
            for name in list(self.traffic.cluster.processes):
                process = self.traffic.cluster.processes[name]
                replies = [
                    self.traffic.cluster.start_control_call(name, words) for words in ("counters", "fleet")
                ]
                due = clock() + 5 * SECOND
                while any(reply() is None for reply in replies) and clock() < due:
                    yield clock() + 20 * MS
                metrics = {
                    key.removeprefix("edge.fleet."): int(value.partition("|")[0])
                    for key, _, value in (row.partition(":") for row in (replies[0]() or "").splitlines())
                    if key.startswith("edge.fleet.") and value.partition("|")[0].lstrip("-").isdigit()
                }
                rows = [json.loads(row) for row in (replies[1]() or "").splitlines() if row.startswith("{")]
                own = next((row for row in rows if row.get("name") == name), None)
                if metrics:
                    row = clock(), metrics, processor_seconds(process.pid)
                    self.measurements.real_rows.setdefault(name, []).append(row)
                if own is not None:
                    self.real_digests[name] = began, own["digest"] or ""
                if self.reachable_since and began > self.reachable_since + FALSE_DEAD_MAX * SECOND:
                    for row in rows:
                        if row.get("name") in self.running and row.get("state") in ("dead", "gone", "left"):
                            self.report_violation(
                                f"{row['name']} is running but {row['state']} in the view of {name}"
                            )
            pause = max(began + SECOND, clock() + 50 * MS)
            while clock() < pause:
                yield pause

    # --- the phases ---

    def wait(self, seconds: float) -> None:
        """Run on for this long; raises OSError if a process of simulated members fails."""
        end = self.now + seconds
        while self.now < end:
            self.traffic.cluster.run(min(1.0, end - self.now))
            self._progress()

    def _progress(self) -> None:
        if self.failed():
            raise OSError(f"a process of simulated members failed: {self.failed()}")
        if self.now - self.last_progress >= PROGRESS_INTERVAL and self.phase is not None:
            self.last_progress = self.now
            groups: dict[str, int] = {}
            for host in self.hosts:
                if not host.dead:
                    for group, count in host.groups.items():
                        groups[group] = groups.get(group, 0) + count
            most = sum(
                max((c for g, c in groups.items() if g.startswith(f"{zone}|")), default=0)
                for zone in self.zones
            )
            late = max((clock() - h.reported_at) / SECOND for h in self.hosts if not h.dead)
            self.on_progress(
                f"{self.now:5.0f} s  {self.phase.fault}: {most} of {sum(groups.values())} simulated members "
                f"have the most common view of their zone; the oldest report is {late:.1f} s old"
            )

    last_progress = 0.0

    def failed(self) -> str:
        """Return why a process of simulated members has failed, or an empty text."""
        return next((h.failed for h in self.hosts if h.failed and not h.dead), "")

    def _play_phase(self, fault: str, settle: float, act: Callable[[Phase], None]) -> None:
        """Play one phase: the fault, then until views are equal or ``settle`` seconds have passed.

        It takes at least ``plan.seconds``.
        """
        phase = self.phase = Phase(fault, self.now)
        counts_before = self._running_proxy_counts()
        act(phase)
        bound = max(phase.ends + settle, phase.begin + self.plan.seconds)
        while self.now < bound:
            self.traffic.cluster.run(0.1)
            self._progress()
            if phase.equal is None and self.views_equal():
                phase.equal = self.now - phase.ends
            if phase.ended and phase.known is None and self._ends_known(phase.ended):
                phase.known = self.now - phase.begin
            if self.faults.restarted and phase.whole is None and self._counts_restored(counts_before):
                phase.whole = self.now - phase.ends
            if phase.equal is not None and self.now - phase.begin >= self.plan.seconds:
                break
        if phase.equal is None:
            self.report_violation(f"{fault}: views differ {settle:g} s after the last fault")
        phase.until = self.now
        samples = [ProcessSamples(len(host.names), host.cpu) for host in self.hosts]
        self.measurements.measure_phase(phase, self.began, self.running, samples)
        known = "" if phase.known is None else f", ends known to all in {phase.known:.1f} s"
        equal = (
            "views NOT equal"
            if phase.equal is None
            else f"views equal {phase.equal:.1f} s after the last fault"
        )
        cost = phase.cost
        self.on_progress(
            f"{self.now:5.0f} s  {fault} {phase.about}: {equal}{known}; bytes/s median "
            f"{cost.get('bytes_median', 0):.0f}, worst {cost.get('bytes_worst', 0):.0f}, "
            f"worst second {cost.get('bytes_peak', 0):.0f}"
        )
        self.phases.append(phase)

    def _running_proxy_counts(self) -> dict[str, float]:
        counts = self.measurements.proxy_counts()
        return {name: count for name, count in counts.items() if name in self.running}

    def _counts_restored(self, before: dict[str, float]) -> bool:
        """Whether the proxy counts of restarted members are no more than those of the others before."""
        usual = max(
            (count for name, count in before.items() if name not in self.faults.restarted), default=0.0
        )
        return all(
            self.measurements.costs.get(name) and self.measurements.costs[name][-1][0] > self.changed_at
            and self.measurements.costs[name][-1][7] <= usual * 1.01
            for name in self.faults.restarted
        )  # fmt: skip

    # --- the run ---

    def play(self) -> Record:
        """Play all phases and judge them; a run that fails midway is judged up to that point."""
        plan, cluster = self.plan, self.traffic.cluster
        self.phases: list[Phase] = []
        cluster.start()
        cluster.loop.start_task(self._poll(), "control")
        self.began, self.last_progress = clock(), 0.0
        try:
            self._play_phase("standing" if plan.standing else "start", START_SETTLE, self._start_members)
            cluster.loop.start_task(self.traffic.generate_clients(), "crowd")
            for fault in plan.faults:
                self._play_phase(fault, plan.settle, self.faults.inject)
            self.traffic.avoided = set(cluster.names)  # clients that have arrived get their replies
            cluster.run(2.0)
        except (OSError, TimeoutError) as error:
            self.report_violation(f"run not completed: {error}")
        return self._judge()

    def _start_members(self, phase: Phase) -> None:
        plan, names = self.plan, list(self.host_of)
        phase.about = f"{plan.members} within {plan.spread:g} s" if plan.spread else f"{plan.members} at once"
        self._mark_started(self.traffic.cluster.names)
        self.rnd.shuffle(names)
        parts = int(plan.spread) or 1
        for n in range(parts):
            self.command("start", names[n::parts], stand=plan.standing)
            if plan.spread:
                self.wait(plan.spread / parts)
        if self.plan.agent:
            self.wait(3.0)
            first = self.voters[0]
            self.host_of[first].send(do="reset", who=[first])
        self.faults.restarted = []
        phase.ends, self.reachable_since = self.now, 0

    def _judge(self) -> Record:
        cluster, plan = self.traffic.cluster, self.plan
        for name, received in self.traffic.harmed_clients(set()):
            self.report_violation(
                f"a client of {name} was not served or was cut off; it received {received[:60]!r}"
            )
        for name in cluster.names:
            text = cluster.log(name) if (self.folder / f"{name}.log").exists() else ""
            if "Traceback" in text or "task.failed" in text:
                self.report_violation(f"{name}: an exception in its log")
        for host in self.hosts:
            if (
                "task.failed" in (text := (self.folder / f"hollow{host.number}.log").read_text())
                or "Trace" in text
            ):
                self.report_violation(f"process {host.number} of simulated members: an exception in its log")
        sums = list(self.measurements.share_sums())
        share = max((s for _, s in sums), default=0.0)
        if share > 1.0 + 1e-6:
            self.report_violation(f"the shares of all running members added up to {share:.3f}")
        arrivals = self.traffic.arrivals
        notes = ["simulated members start with the records of all others" if plan.standing else ""]
        if plan.period_ms != PERIOD_MS:
            notes.append(f"the probe period is stretched: {plan.period_ms} ms instead of {PERIOD_MS} ms")
        if "restarts" in plan.faults:
            notes.append(
                "restarts: those of an hour, at 830 a day among 6,500 members, compressed into one phase"
            )
        if plan.seconds < 60:
            notes.append(f"rates are over {plan.seconds:g} s instead of 60 s")
        resident = sum(max((row[3] for row in h.cpu), default=0) for h in self.hosts) / 1024
        return Record(
            kind="scale",
            plan=asdict(plan),
            machine=_machine_row(),
            began=datetime.now(UTC).isoformat(timespec="seconds"),
            said=[text for text in notes if text],
            phases=[asdict(phase) for phase in self.phases],
            seconds=self.measurements.seconds(self.began, sums),
            share=share,
            memory_mib=resident,
            clients={"came": len(arrivals), "up": sum(c.has("up") for _, c in arrivals)},
            broken=list(self.violations),
        )


def _machine_row() -> dict[str, Any]:
    on = machine()
    return {"cores": on.cores, "memory_mib": on.memory_mib, "python": platform.python_version(),
            "system": platform.release()}  # fmt: skip


def _address_text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _interrupted(*_: object) -> None:
    raise KeyboardInterrupt


def play(plan: Plan, out: Path | None = None, on_progress: Callable[[str], None] = lambda _: None) -> Record:
    """Play one run; raises PlanError before anything is started."""
    check(plan, machine())
    with tempfile.TemporaryDirectory() as own:
        folder = Path(own)
        handlers = {number: signal.signal(number, _interrupted) for number in (signal.SIGTERM, signal.SIGINT)}
        run: Run | None = None
        try:
            run = Run(plan, folder, on_progress)
            record = run.play()
        finally:
            for number in handlers:
                signal.signal(number, signal.SIG_IGN)  # a second signal must not interrupt close()
            if run is not None:
                run.close()
            for number, handler in handlers.items():
                signal.signal(number, handler)
            if out is not None:
                out.mkdir(parents=True, exist_ok=True)
                for log in folder.glob("*.log"):
                    shutil.copy(log, out / log.name)
    if out is not None:
        (out / "record.json").write_text(record.text())
        (out / "run.json").write_text(json.dumps(series([record]), indent=1) + "\n")
    return record
