"""A scale run: processes of simulated members beside real proxies under traffic, with faults, and its checks.

It owns the processes it starts and ends them by their ids, whatever comes. The checks read only what comes
out: the reports of the simulated processes, the control of real proxies, what clients got. It must never use
more than half of the memory or start what by its estimate would not fit.
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

HELD_DEAD = 3.0  # seconds after the last fault within which no view may hold a reachable member dead
START_SETTLE = 60.0  # seconds after a start of all members at once within which all views must be equal
PROGRESS_INTERVAL = 3.0  # seconds between two lines of progress
VISITS = 8.0  # clients a second; each stays connected


class Run:
    """One scale run; ``close`` ends all that it started. ``told`` hears of its progress."""

    def __init__(self, plan: Plan, folder: Path, told: Callable[[str], None] = lambda _: None) -> None:
        """Raises PlanError."""
        self.needs = check(plan, machine())
        self.plan, self.folder, self.told = plan, folder, told
        self.rnd = random.Random(plan.seed)
        self.zones = [f"z{z}" for z in range(plan.zones)] if plan.zones > 1 else [""]
        self.table = list(zip(self.zones, plan.sizes())) if plan.zones > 1 else []
        self.hosts: list[SimulatedProcess] = []
        self.measurements = Measurements()
        self.faults = FaultInjector(self)
        self.real_digest: dict[str, tuple[int, str]] = {}
        self.running: dict[str, int] = {}  # name -> zone, of those that run, also where they stand still
        self.marks: dict[int, int] = dict.fromkeys(range(plan.zones), 0)  # of the names that run, by zone
        self.open = 0  # since when every way is open and nobody stands still; 0: not so
        self.began = clock()
        self.broken: dict[str, None] = {}
        self.phase: Phase | None = None
        self.changed = 0  # when a fault last began or ended
        self.traffic = TrafficCluster(folder, plan.real, seed=plan.seed, fleet=False, visits=VISITS)
        try:
            self._prepare()
        except BaseException:
            self.close()
            raise

    @property
    def now(self) -> float:
        """Seconds since the run's beginning."""
        return (clock() - self.began) / SECOND

    def report_violation(self, text: str) -> None:
        """Record a broken promise, once."""
        self.broken.setdefault(text)

    # --- setting up ---

    def _prepare(self) -> None:
        plan, cluster = self.plan, self.traffic.cluster
        (self.port,) = free_ports(1, 10_000 + secrets.randbelow(20_000))
        self.addresses: dict[str, Address] = {}
        self.zone_of: dict[str, int] = dict.fromkeys(cluster.names, 0)
        self.host_of: dict[str, SimulatedProcess] = {}
        self._start_simulated_processes()
        firsts: dict[int, list[str]] = {}
        for host in self.hosts:
            firsts.setdefault(host.zone, []).append(host.names[0])
        seeds = {
            zone: [*names[:3], *(n[0] for z, n in firsts.items() if z != zone)][:6]
            for zone, names in firsts.items()
        }
        self.voters = [h.names[0] for h in self.hosts][:5] if plan.agent else []
        voters = {name: _text(self.addresses[name]) for name in self.voters}
        wall = time.time_ns() // 1000
        born = {name: (wall, secrets.randbits(62)) for name in self.host_of} if plan.standing else {}
        for host in self.hosts:
            self._set_up_process(host, seeds, voters, born)
        for index, name in enumerate(cluster.names):
            self._configure_proxy(index, name, seeds[0], voters)
        cluster.until(lambda: all(host.ready or host.failed for host in self.hosts), 30 + len(self.hosts))
        if failed := [host.failed for host in self.hosts if host.failed]:
            raise OSError(f"a hollow process could not begin: {failed[0]}")

    def _start_simulated_processes(self) -> None:
        """Start the processes, and give each member its zone and its address."""
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
        born: dict[str, tuple[int, int]],
    ) -> None:
        """Tell a process its members; ``born``: start time and nonce of members that begin established."""
        plan = self.plan
        settings = {
            "cluster": "scale",
            "probe_interval": plan.period_ms * MS,
            "probe_timeout": plan.period_ms * MS // 3,
            "configured_members": plan.members,
        }
        zone = {"zone": self.zones[host.zone]} if plan.zones > 1 else {}
        known = self._known_abroad(host.zone, list(seeds), born)
        stand = [
            {"name": n, "started_at": life, "nonce": nonce, "incarnation": 0,
             "host": self.addresses[n][0], "port": self.port}
            | ({"zone": self.zones[self.zone_of[n]]} if plan.zones > 1 else {})
            for n, (life, nonce) in born.items() if self.zone_of[n] == host.zone or n in known
        ]  # fmt: skip
        members = [
            {"name": n, "host": self.addresses[n][0], "port": self.port,
             "seeds": [self.addresses[s] for s in seeds[host.zone] if s != n]}
            | zone | (dict(zip(("life", "nonce"), born[n])) if born else {})
            for n in host.names
        ]  # fmt: skip
        host.send(do="set up", view=plan.view, zones=self.table, settings=settings, look_ms=500,
                  voters=voters, stand=stand, members=members)  # fmt: skip

    def _known_abroad(self, zone: int, zones: list[int], born: dict[str, tuple[int, int]]) -> set[str]:
        """Return a few established members of each other zone."""
        known: set[str] = set()
        for other in zones if born else ():
            if other != zone:
                members = [name for name in born if self.zone_of[name] == other]
                known.update(self.rnd.sample(members, min(3, len(born))))
        return known

    def _configure_proxy(self, index: int, name: str, seeds: list[str], voters: dict[str, str]) -> None:
        """Put the run's settings into the files of a real proxy."""
        plan, path = self.plan, self.folder / f"{name}.json"
        doc = json.loads(path.read_text())
        doc["settings"] |= {"balancers": plan.members, "me": index}
        # One proxy of so many may send next to nothing to servers that warm up: here they are soon warm.
        doc["settings"]["invariants"] = doc["settings"]["invariants"] | {"warm_up": 100_000}
        doc["limits"]["sockets"] = 8_000
        path.write_text(json.dumps(doc))
        fleet: dict[str, Any] = {
            "name": "scale", "listen": _text(self.addresses[name]),
            "seeds": [_text(self.addresses[s]) for s in seeds],
            "period_ms": plan.period_ms, "timeout_ms": plan.period_ms // 3,
        }  # fmt: skip
        if plan.zones > 1:
            fleet |= {"zone": self.zones[0], "zones": dict(self.table)}
        lines = [f"fleet({', '.join(f'{k} = {json.dumps(v)}' for k, v in fleet.items())})"]
        if voters:
            lines.append(f"agree(voters = {json.dumps(voters)})")
        with (self.folder / f"{name}.star").open("a") as file:
            file.write("\n" + "\n".join(lines) + "\n")

    def close(self) -> None:
        """End every process, by its id, whatever state it is in."""
        for host in self.hosts:
            host.dead = True
            host.close()
        self.traffic.close()

    # --- who runs ---

    def _mark_started(self, names: Iterable[str]) -> None:
        for name in names:
            if name not in self.running:
                self.running[name] = self.zone_of[name]
                self.marks[self.zone_of[name]] += fingerprint("name", name)

    def mark_ended(self, names: Iterable[str]) -> None:
        """Take note that these members do not run any more."""
        for name in names:
            if name in self.running:
                del self.running[name]
                self.marks[self.zone_of[name]] -= fingerprint("name", name)

    def command(self, what: str, names: Iterable[str], **more: Any) -> None:
        """Start, end or mute members, each at its host."""
        names = list(names)
        for host in self.hosts:
            ours = [name for name in names if self.host_of.get(name) is host]
            if ours and not host.dead:
                host.send(do=what, who=ours, **more)
        (self._mark_started if what == "start" else self.mark_ended)(names)
        self.changed = clock()

    # --- the checks ---

    def on_view(self, host: SimulatedProcess) -> None:
        """Check, on a report of a process, that no member that is alive and reachable is held dead."""
        if self.open and host.looked_at > self.open + HELD_DEAD * SECOND:
            for name in host.held:
                if name in self.running:  # once for each, whoever holds it so
                    self.report_violation(
                        f"{name} runs and is held dead {HELD_DEAD:g} s after the last fault"
                    )

    def equal(self) -> bool:
        """Whether each hollow member holds just those that run, none suspected, with one digest a zone, and
        each real proxy has that digest; by what was said since the last change."""
        by_zone: dict[int, set[str]] = {}
        for host in self.hosts:
            if host.dead:
                continue
            if host.looked_at <= self.changed:
                return False
            by_zone.setdefault(host.zone, set()).update(host.groups)
        for zone, groups in by_zone.items():
            if len(groups) > 1:
                return False
            for group in groups:
                _, digest, names, suspected = group.split("|")
                if suspected != "0" or int(names, 16) != self.marks[zone] & ((1 << 64) - 1):
                    return False
                if zone == 0 and any(
                    self.real_digest.get(name, (0, ""))[0] <= self.changed
                    or self.real_digest[name][1] != digest
                    for name in self.traffic.cluster.processes
                ):
                    return False
        return True

    def _held(self, names: list[str]) -> bool:
        """Whether all hollow members of their zone hold these for ended or dead."""
        for zone in {self.zone_of[name] for name in names}:
            hosts = [h for h in self.hosts if h.zone == zone and not h.dead and h.groups]
            if any(h.looked_at <= self.changed for h in hosts):
                return False
            count = sum(sum(h.groups.values()) for h in hosts)
            ours = [name for name in names if self.zone_of[name] == zone]
            if count and any(sum(h.held.get(name, 0) for h in hosts) < count for name in ours):
                return False
        return True

    def _poll(self) -> Coroutine[None]:
        """The real proxies' control, each second; of their view only their own row's digest is taken."""
        while True:
            began = clock()
            for name in list(self.traffic.cluster.processes):
                process = self.traffic.cluster.processes[name]
                asked = [
                    self.traffic.cluster.start_control_call(name, words) for words in ("counters", "fleet")
                ]
                due = clock() + 5 * SECOND
                while any(a() is None for a in asked) and clock() < due:
                    yield clock() + 20 * MS
                figures = {
                    key.removeprefix("edge.fleet."): int(value.partition("|")[0])
                    for key, _, value in (row.partition(":") for row in (asked[0]() or "").splitlines())
                    if key.startswith("edge.fleet.") and value.partition("|")[0].lstrip("-").isdigit()
                }
                rows = [json.loads(row) for row in (asked[1]() or "").splitlines() if row.startswith("{")]
                own = next((row for row in rows if row.get("name") == name), None)
                if figures:
                    row = clock(), figures, processor_seconds(process.pid)
                    self.measurements.real_rows.setdefault(name, []).append(row)
                if own is not None:
                    self.real_digest[name] = began, own["digest"] or ""
                if self.open and began > self.open + HELD_DEAD * SECOND:
                    for row in rows:
                        if row.get("name") in self.running and row.get("state") in ("dead", "gone", "left"):
                            self.report_violation(
                                f"{row['name']} runs and is held {row['state']} by {name}, real"
                            )
            pause = max(began + SECOND, clock() + 50 * MS)
            while clock() < pause:
                yield pause

    # --- the phases ---

    def wait(self, seconds: float) -> None:
        """Run on for so long; raises OSError where a process of simulated members fails."""
        end = self.now + seconds
        while self.now < end:
            self.traffic.cluster.run(min(1.0, end - self.now))
            self._progress()

    def _progress(self) -> None:
        if self.failed():
            raise OSError(f"a hollow process failed: {self.failed()}")
        if self.now - self.last_told >= PROGRESS_INTERVAL and self.phase is not None:
            self.last_told = self.now
            groups: dict[str, int] = {}
            for host in self.hosts:
                if not host.dead:
                    for group, count in host.groups.items():
                        groups[group] = groups.get(group, 0) + count
            most = sum(
                max((c for g, c in groups.items() if g.startswith(f"{zone}|")), default=0)
                for zone in self.zones
            )
            late = max((clock() - h.looked_at) / SECOND for h in self.hosts if not h.dead)
            self.told(
                f"{self.now:5.0f} s  {self.phase.fault}: {most} of {sum(groups.values())} hollow members "
                f"hold the commonest view of their zone; the oldest report is {late:.1f} s old"
            )

    last_told = 0.0

    def failed(self) -> str:
        """Return why a process of simulated members has failed, or nothing."""
        return next((h.failed for h in self.hosts if h.failed and not h.dead), "")

    def _play(self, fault: str, settle: float, act: Callable[[Phase], None]) -> None:
        """One phase: the fault, at least ``seconds``, and until views are equal or ``settle`` is over."""
        phase = self.phase = Phase(fault, self.now)
        whole = self._shares_now()
        act(phase)
        bound = max(phase.ends + settle, phase.begin + self.plan.seconds)
        while self.now < bound:
            self.traffic.cluster.run(0.1)
            self._progress()
            if phase.equal is None and self.equal():
                phase.equal = self.now - phase.ends
            if phase.ended and phase.known is None and self._held(phase.ended):
                phase.known = self.now - phase.begin
            if self.faults.started and phase.whole is None and self._whole(whole):
                phase.whole = self.now - phase.ends
            if phase.equal is not None and self.now - phase.begin >= self.plan.seconds:
                break
        if phase.equal is None:
            self.report_violation(f"{fault}: views differ {settle:g} s after the last fault")
        phase.until = self.now
        samples = [ProcessSamples(len(host.names), host.cpu) for host in self.hosts]
        self.measurements.measure_phase(phase, self.began, self.running, samples)
        known = "" if phase.known is None else f", known to all in {phase.known:.1f} s"
        equal = "NOT equal" if phase.equal is None else f"views equal {phase.equal:.1f} s after"
        cost = phase.cost
        self.told(
            f"{self.now:5.0f} s  {fault} {phase.about}: {equal}{known}; bytes/s median "
            f"{cost.get('bytes_median', 0):.0f}, worst {cost.get('bytes_worst', 0):.0f}, "
            f"worst second {cost.get('bytes_peak', 0):.0f}"
        )
        self.phases.append(phase)

    def _shares_now(self) -> dict[str, float]:
        counts = self.measurements.proxy_counts()
        return {name: count for name, count in counts.items() if name in self.running}

    def _whole(self, before: dict[str, float]) -> bool:
        """Whether all that started are told no more than the others were."""
        usual = max((told for name, told in before.items() if name not in self.faults.started), default=0.0)
        return all(
            self.measurements.costs.get(name) and self.measurements.costs[name][-1][0] > self.changed
            and self.measurements.costs[name][-1][7] <= usual * 1.01
            for name in self.faults.started
        )  # fmt: skip

    # --- the run ---

    def play(self) -> Record:
        """Play all phases and judge them; a run that fails midway is judged as far as it came."""
        plan, cluster = self.plan, self.traffic.cluster
        self.phases: list[Phase] = []
        cluster.start()
        cluster.loop.start_task(self._poll(), "control")
        self.began, self.last_told = clock(), 0.0
        try:
            self._play("standing" if plan.standing else "start", START_SETTLE, self._begin)
            cluster.loop.start_task(self.traffic.generate_clients(), "crowd")
            for fault in plan.faults:
                self._play(fault, plan.settle, self.faults.inject)
            self.traffic.avoided = set(cluster.names)  # who has come is answered before the judging
            cluster.run(2.0)
        except (OSError, TimeoutError) as error:
            self.report_violation(f"not played to its end: {error}")
        return self._judge()

    def _begin(self, phase: Phase) -> None:
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
        self.faults.started = []
        phase.ends, self.open = self.now, 0

    def _judge(self) -> Record:
        cluster, plan = self.traffic.cluster, self.plan
        for name, got in self.traffic.harmed_clients(set()):
            self.report_violation(f"a client of {name} got {got[:60]!r}")
        for name in cluster.names:
            text = cluster.log(name) if (self.folder / f"{name}.log").exists() else ""
            if "Traceback" in text or "task.failed" in text:
                self.report_violation(f"{name}: an exception in its log")
        for host in self.hosts:
            if (
                "task.failed" in (text := (self.folder / f"hollow{host.number}.log").read_text())
                or "Trace" in text
            ):
                self.report_violation(f"hollow process {host.number}: an exception in its log")
        sums = list(self.measurements.share_sums())
        share = max((s for _, s in sums), default=0.0)
        if share > 1.0 + 1e-6:
            self.report_violation(f"the shares of all that ran added up to {share:.3f}")
        came = self.traffic.arrivals
        said = ["standing members begin with the records of all others" if plan.standing else ""]
        if plan.period_ms != PERIOD_MS:
            said.append(f"the period is stretched: {plan.period_ms} ms in place of {PERIOD_MS}")
        if "restarts" in plan.faults:
            said.append("restarts: an hour's share of 830 a day of 6,500, in one phase: compressed")
        if plan.seconds < 60:
            said.append(f"rates are over {plan.seconds:g} s, not 60")
        resident = sum(max((row[3] for row in h.cpu), default=0) for h in self.hosts) / 1024
        return Record(
            kind="scale",
            plan=asdict(plan),
            machine=_machine_row(),
            began=datetime.now(UTC).isoformat(timespec="seconds"),
            said=[text for text in said if text],
            phases=[asdict(phase) for phase in self.phases],
            seconds=self.measurements.seconds(self.began, sums),
            share=share,
            memory_mib=resident,
            clients={"came": len(came), "up": sum(c.has("up") for _, c in came)},
            broken=list(self.broken),
        )


def _machine_row() -> dict[str, Any]:
    on = machine()
    return {"cores": on.cores, "memory_mib": on.memory_mib, "python": platform.python_version(),
            "system": platform.release()}  # fmt: skip


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _interrupted(*_: object) -> None:
    raise KeyboardInterrupt


def play(plan: Plan, out: Path | None = None, told: Callable[[str], None] = lambda _: None) -> Record:
    """One run from its beginning to its end; raises PlanError before anything is started."""
    check(plan, machine())
    with tempfile.TemporaryDirectory() as own:
        folder = Path(own)
        before = {number: signal.signal(number, _interrupted) for number in (signal.SIGTERM, signal.SIGINT)}
        run: Run | None = None
        try:
            run = Run(plan, folder, told)
            record = run.play()
        finally:
            for number in before:
                signal.signal(number, signal.SIG_IGN)  # the ending is not interrupted
            if run is not None:
                run.close()
            for number, handler in before.items():
                signal.signal(number, handler)
            if out is not None:
                out.mkdir(parents=True, exist_ok=True)
                for log in folder.glob("*.log"):
                    shutil.copy(log, out / log.name)
    if out is not None:
        (out / "record.json").write_text(record.text())
        (out / "run.json").write_text(json.dumps(series([record]), indent=1) + "\n")
    return record
