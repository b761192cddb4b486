"""Rollout agents on a virtual clock: the code that the proxies run, on simulated networks, disks and
processes into which a schedule injects faults, with a checker of invariants.

The checker judges by results only: committed entries, the contents of the disks, and which proxies are out.
It must never ask an agent for its reasons. All random numbers are drawn from the seed: a run repeats to the
last message.
"""

from __future__ import annotations

import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from typing import Any

from arrowseam.config.budgets import DisruptionBudgets
from arrowseam.consensus import messages
from arrowseam.consensus.effects import Persist
from arrowseam.consensus.messages import Checkpoint, Epoch, StoredRecord, Voter
from arrowseam.consensus.storage import replay
from arrowseam.lab.event_queue import EventQueue
from arrowseam.rollouts.agent import Agent, AgentSettings
from arrowseam.rollouts.budgets import Resource, ResourceKind
from arrowseam.rollouts.commands import (
    CancelRelease,
    Command,
    Drain,
    GrantPermit,
    MarkDrained,
    PermitOutcome,
    PlanRelease,
    ResumeRelease,
    ReturnPermit,
    RollBackRelease,
    StartRelease,
    Undrain,
    decode_command,
)
from arrowseam.rollouts.effects import (
    AnnounceHalt,
    CheckBundle,
    CommandResult,
    CordonEndpoint,
    Effect,
    ExecutePermit,
    LogEvent,
    SendMessage,
)
from arrowseam.rollouts.messages import Message
from arrowseam.rollouts.observed import ClusterState, ObservedEndpoint, ObservedProxy
from arrowseam.rollouts.release_plan import plan_waves
from arrowseam.rollouts.replicated_state import ReplicatedState
from arrowseam.rollouts.state import ACTIVE_STATES, ReleaseState

MS, SECOND = 1_000, 1_000_000
WALL_CLOCK_START_MS = 1_700_000_000_000
OBSERVATION_INTERVAL = 300 * MS  # of the membership view's stand-in
ABSENCE_DETECTION = 1200 * MS  # after which a process that has ended or is stalled is seen as missing
HALT_SPREAD = 2 * SECOND  # within which a halt reaches all processes that can be reached
MISSING_DETECTION = 3 * SECOND  # after which a leader must count what its own view shows as missing


@dataclass(frozen=True)
class Step:
    at: int  # microseconds
    what: str
    who: tuple[str, ...] = ()
    span: int = 0  # how long it lasts, where it ends by itself
    number: float = 0.0
    text: str = ""


@dataclass
class Schedule:
    seed: int
    proxies: int
    voters: int
    disk: bool
    servers: int = 6
    steps: list[Step] = field(default_factory=list)

    def text(self) -> str:
        return json.dumps(asdict(self))


FAULTS = ("crash", "crash", "forget", "torn", "stall", "stall", "part", "part", "one way", "loss", "double",
          "slow disk", "server down")  # fmt: skip
COMMANDS = ("drain", "drain", "drain zone", "undrain", "release", "release", "restart", "halt", "resume",
          "back", "cancel", "budget")  # fmt: skip


def draw(seed: int, max_proxies: int = 9, duration: int = 30 * SECOND) -> Schedule:
    rnd = random.Random(seed)
    voters = rnd.choice((1, 2, 3, 3, 3, 5, 5))
    proxies = max(voters, rnd.randint(1, max_proxies))
    names = [f"p{n}" for n in range(proxies)]
    schedule = Schedule(seed, proxies, voters, rnd.random() < 0.6)
    for _ in range(rnd.randint(2, 14)):
        what = rnd.choice(FAULTS if rnd.random() < 0.55 else COMMANDS)
        at, span = rnd.randrange(duration), int(rnd.uniform(0.05, 8.0) * SECOND)
        who: tuple[str, ...] = (rnd.choice(names),)
        if what in ("part", "one way"):
            who = tuple(rnd.sample(names, rnd.randint(1, proxies)))
        number = rnd.choice((0.1, 0.3)) if what == "loss" else rnd.choice((1, 2, 0.5))
        text = f"s{rnd.randrange(schedule.servers)}"
        schedule.steps.append(Step(at, what, who, span, number, text))
    schedule.steps.sort(key=lambda s: s.at)
    return schedule


@dataclass
class Disk:
    """The disk of one name. What is not synced when the process ends may be lost, in part or whole."""

    synced: list[StoredRecord] = field(default_factory=list)
    pending: list[tuple[int, tuple[StoredRecord, ...]]] = field(default_factory=list)
    busy_until: int = 0


@dataclass
class Process:
    name: str
    agent: Agent
    start_number: int  # counts the starts of all processes; the agent's ``started_at``
    alive: bool = True
    serving: bool = False
    digest: str = ""
    start_time: int = 0
    executing_permit: int = 0  # the permit under which it is out
    stalled_until: int = 0
    deferred: list[Callable[[], None]] = field(default_factory=list)  # events that come while it is stalled
    halts: dict[int, tuple[int, str]] = field(default_factory=dict)  # release -> stamp, announcing proxy
    halts_seen_at: dict[int, int] = field(default_factory=dict)
    connections: dict[str, int] = field(default_factory=dict)  # by server
    cordoned: set[str] = field(default_factory=set)
    missing_since: dict[str, int] = field(default_factory=dict)
    timer_at: int = 0


class RolloutSimulation(EventQueue):
    """The proxies ``p0`` to ``pN``, of which the first are the voters."""

    def __init__(
        self, schedule: Schedule, agent: type[Agent] = Agent, storage_fault: str = "", **settings: Any
    ) -> None:
        super().__init__()
        self.schedule, self.agent_type, self.storage_fault = schedule, agent, storage_fault
        self.rnd = random.Random(schedule.seed)
        self.names = [f"p{n}" for n in range(schedule.proxies)]
        self.voters = tuple(self.names[: schedule.voters])
        self.settings = AgentSettings(
            voters=self.voters, budgets=DisruptionBudgets(proxies=2, servers=2), **settings
        )
        self.budgets = dict.fromkeys(self.voters, self.settings.budgets)
        self.zones = {name: "ab"[n % 2] for n, name in enumerate(self.names)}
        self.servers = {f"s{n}": Resource(f"s{n}", "ab"[n % 2], "k", 1.0) for n in range(schedule.servers)}
        self.down: set[str] = set()
        self.down_since: dict[str, int] = {}
        self.cut: set[tuple[str, str]] = set()  # (sender, receiver) between which nothing arrives
        self.connectivity_changed_at = 0  # when links or processes last became unreachable or reachable again
        self.loss = self.duplication = 0.0
        self.disk_delay = 3 * MS
        self.disks = {name: Disk() for name in self.names}
        self.running: dict[str, Process] = {}
        self.last_start_number: dict[str, int] = {}
        self.starts = 0
        self.absent_since: dict[str, int] = {}  # since when a process has ended or is stalled
        self.checker = InvariantChecker(self)
        self.command_results: list[tuple[str, str, str]] = []
        self.pending_commands: dict[int, str] = {}
        self.release = 0
        self.messages_sent = 0

    @property
    def wall_ms(self) -> int:
        return WALL_CLOCK_START_MS + self.now // MS

    # --- processes ----------------------------------------------------------------------------------------

    def start(self, name: str, digest: str = "") -> None:
        if name in self.running:
            return
        self.starts += 1
        stored: Checkpoint | None = None
        if self.schedule.disk and name in self.voters:
            stored = replay(self.disks[name].synced)
        settings = replace(self.settings, budgets=self.budgets.get(name, self.settings.budgets))
        rnd = random.Random(self.rnd.getrandbits(60))
        connections = dict.fromkeys(self.servers, 0)
        nonce, durable = self.rnd.getrandbits(50), self.schedule.disk
        agent = self.agent_type(
            name, self.starts, nonce, settings, rnd, stored, digest, durable, connections.__getitem__
        )
        self.checker.observe_commits(name, agent)
        process = self.running[name] = Process(name, agent, self.starts, start_time=self.now)
        self.absent_since.pop(name, None)
        self.connectivity_changed_at = self.now
        process.connections = connections
        self._event(process, lambda: agent.start(self.now, self.wall_ms))
        self.at(self.now + 300 * MS, lambda: self._begin_serving(process))
        self.at(self.now, lambda: self._observe_periodically(process))

    def _begin_serving(self, process: Process) -> None:
        process.serving = True
        for server in self.servers:
            if server not in process.cordoned:
                process.connections[server] = self.rnd.randint(0, 3)
        self._event(process, lambda: process.agent.on_own_status(self.now, self.wall_ms, True))

    def kill(self, name: str, how: str = "crash") -> None:
        """``torn``: a part of the pending writes is on the disk; ``forget``: the disk is lost."""
        process = self.running.pop(name, None)
        if process is None:
            return
        process.alive = False
        self.absent_since[name] = self.now
        self.last_start_number[name] = process.start_number
        disk = self.disks[name]
        if how == "torn" and disk.pending:
            records = [record for _, part in disk.pending for record in part]
            written = tuple(records[: self.rnd.randint(0, len(records))])
            self.checker.on_synced(process, written)
            disk.synced += written
        disk.pending.clear()
        if how == "forget" or not self.schedule.disk:
            self.disks[name] = Disk()
        self.checker.on_back(process)

    def _event(self, process: Process, act: Callable[[], list[Effect]]) -> None:
        if not process.alive:
            return
        if process.stalled_until > self.now:
            process.deferred.append(lambda: self._event(process, act))
            return
        effects = act()
        self.checker.check_process(process)
        for effect in effects:
            self._carry_out(process, effect)
        due = max(process.agent.next_timer, self.now + 1)
        if process.timer_at <= self.now or due < process.timer_at:
            process.timer_at = due
            self.at(due, lambda: self._on_timer(process, due))

    def _on_timer(self, process: Process, due: int) -> None:
        if process.timer_at == due and process.alive:
            process.timer_at = 0
            self._event(process, lambda: process.agent.on_timer(self.now, self.wall_ms))

    def stall(self, name: str, span: int) -> None:
        process = self.running.get(name)
        if process is not None:
            process.stalled_until = max(process.stalled_until, self.now + span)
            self.absent_since.setdefault(name, self.now)
            self.at(process.stalled_until, lambda: self._resume(process))

    def _resume(self, process: Process) -> None:
        if process.alive and process.stalled_until <= self.now:
            self.absent_since.pop(process.name, None)
            self.connectivity_changed_at = self.now
            deferred, process.deferred = process.deferred, []
            for act in deferred:
                act()
            self._event(process, lambda: process.agent.on_timer(self.now, self.wall_ms))

    # --- effects ------------------------------------------------------------------------------------------

    def _carry_out(self, process: Process, effect: Effect) -> None:
        match effect:
            case SendMessage(to, message):
                self._send(process.name, to, message)
            case Persist(token, records):
                self._persist(process, token, records)
            case ExecutePermit():
                self._execute_permit(process, effect)
            case CheckBundle(digest, bundle):
                failure = "invalid bundle" if bundle.startswith(b"bad") else ""
                self.at(
                    self.now + 20 * MS,
                    lambda: self._event(
                        process,
                        lambda: process.agent.on_bundle_checked(self.now, self.wall_ms, digest, failure),
                    ),
                )
            case CordonEndpoint(server, out):
                (process.cordoned.add if out else process.cordoned.discard)(server)
                if out:
                    self.at(
                        self.now + self.rnd.randint(100, 1500) * MS,
                        lambda: self._close_connections(process, server),
                    )
                else:
                    process.connections[server] = self.rnd.randint(0, 3)
            case AnnounceHalt(release):
                self.record_halt(process, release, (self.now + 1, process.name))
            case CommandResult(number, text, refused, _):
                self.command_results.append((self.pending_commands.pop(number, ""), text, refused))
            case LogEvent():
                pass

    def _close_connections(self, process: Process, server: str) -> None:
        if process.alive and server in process.cordoned:
            process.connections[server] = 0

    def record_halt(self, process: Process, release: int, halt: tuple[int, str]) -> None:
        """Record a halt at one process; gossip spreads it to all that can be reached."""
        if process.alive and process.halts.get(release, (0, "")) < halt:
            process.halts[release] = halt
            process.halts_seen_at[release] = self.now
            self._update_observation(process)

    def _persist(self, process: Process, token: int, records: tuple[StoredRecord, ...]) -> None:
        disk = self.disks[process.name]
        disk.pending.append((token, records))
        if self.storage_fault == "unsynced":  # planted: reported as stored before it is synced
            self._event(process, lambda: process.agent.on_records_stored(self.now, self.wall_ms, token))

        def synced() -> None:
            if process.alive and self.disks[process.name] is disk and disk.pending:
                written = disk.pending[0][1]
                self.checker.on_synced(process, written)
                if self.storage_fault == "forgets votes":  # planted: terms and votes are not written
                    written = tuple(k for k in written if not isinstance(k, messages.HardState))
                disk.synced += written
                disk.pending.pop(0)
                if any(isinstance(k, Checkpoint) for k in disk.synced[:-1]):
                    last = max(n for n, k in enumerate(disk.synced) if isinstance(k, Checkpoint))
                    disk.synced = disk.synced[last:]
                if self.storage_fault != "unsynced":
                    self._event(
                        process, lambda: process.agent.on_records_stored(self.now, self.wall_ms, token)
                    )

        due = max(self.now + self.rnd.randint(100, self.disk_delay), disk.busy_until)
        disk.busy_until = due
        self.at(due, synced)

    def _execute_permit(self, process: Process, effect: ExecutePermit) -> None:
        self.checker.on_permit_execution(process, effect)
        process.executing_permit = effect.permit_id
        if effect.kind == "restart":
            self.at(self.now + self.rnd.randint(10, 300) * MS, lambda: self._restart(process))
            return

        def finish() -> None:
            failure = ""
            if effect.bundle.startswith(b"breaks"):
                failure = "cannot be applied"
            else:
                process.digest = effect.digest
            self.checker.on_back(process)
            digest = process.digest
            self._event(
                process,
                lambda: process.agent.on_permit_executed(
                    self.now, self.wall_ms, effect.permit_id, digest, failure
                ),
            )

        self.at(self.now + self.rnd.randint(5, 400) * MS, lambda: self._when_running(process, finish))

    def _when_running(self, process: Process, act: Callable[[], None]) -> None:
        if process.alive and process.stalled_until > self.now:
            process.deferred.append(lambda: self._when_running(process, act))
        elif process.alive:
            act()

    def _restart(self, process: Process) -> None:
        """Restart under a permit: a new process of the same name takes over the permit."""
        if not process.alive:
            return
        if process.stalled_until > self.now:
            process.deferred.append(lambda: self._restart(process))
            return
        permit = process.executing_permit
        self.kill(process.name, "restart")

        def start_successor() -> None:
            if process.name in self.running:
                return
            self.start(process.name)
            if permit:
                successor = self.running[process.name]
                successor.executing_permit = permit
                self.checker.out[process.name] = permit
                self.at(self.now + 300 * MS, lambda: self.checker.on_back(successor))

        self.at(self.now + self.rnd.randint(50, 1500) * MS, start_successor)

    # --- observations -------------------------------------------------------------------------------------

    def _observe_periodically(self, process: Process) -> None:
        """Stand in for the membership view: observe and gossip at regular intervals."""
        if not process.alive:
            return
        self._update_observation(process)
        for other in self.running.values():  # halts are gossiped
            if other is not process and self._is_connected(process.name, other.name):
                for release, halt in process.halts.items():
                    if process.stalled_until <= self.now:
                        self.at(self.now + 20 * MS, lambda o=other, r=release, h=halt: self._on_halt(o, r, h))  # type: ignore[misc]
        self.at(self.now + OBSERVATION_INTERVAL, lambda: self._observe_periodically(process))

    def _on_halt(self, process: Process, release: int, halt: tuple[int, str]) -> None:
        self._event(process, lambda: self._halt_effects(process, release, halt))

    def _halt_effects(self, process: Process, release: int, halt: tuple[int, str]) -> list[Effect]:
        if process.halts.get(release, (0, "")) >= halt:
            return []
        process.halts[release] = halt
        process.halts_seen_at[release] = self.now
        return process.agent.on_cluster_state(self.now, self.wall_ms, self.observe(process))

    def _update_observation(self, process: Process) -> None:
        self._event(
            process, lambda: process.agent.on_cluster_state(self.now, self.wall_ms, self.observe(process))
        )

    def observe(self, process: Process) -> ClusterState:
        proxies = {}
        for name in self.names:
            other = self.running.get(name)
            reached = name == process.name or (
                self._is_connected(process.name, name) and self._is_connected(name, process.name)
            )
            since = self.absent_since.get(name)
            available = (
                reached and (since is None or self.now - since < ABSENCE_DETECTION) and other is not None
            )
            start_number = other.start_number if other is not None else self.last_start_number.get(name, 0)
            has_ended = other is None and reached
            proxies[name] = ObservedProxy(
                Resource(name, self.zones[name]), start_number, available, has_ended
            )
            if available:
                process.missing_since.pop(name, None)
            else:
                process.missing_since.setdefault(name, self.now)
        servers = {
            name: ObservedEndpoint(resource, name not in self.down) for name, resource in self.servers.items()
        }
        return ClusterState(proxies, servers, len(self.names), True, dict(process.halts))

    # --- the network --------------------------------------------------------------------------------------

    def _is_connected(self, sender: str, receiver: str) -> bool:
        return (sender, receiver) not in self.cut

    def _send(self, sender: str, to: str, message: Message) -> None:
        self.messages_sent += 1
        for _ in range(1 + (self.rnd.random() < self.duplication)):
            if not self._is_connected(sender, to) or self.rnd.random() < self.loss:
                continue
            delay = self.rnd.randint(200, 3 * MS)
            if self.rnd.random() < self.duplication:
                delay += int(self.rnd.random() * 4 * SECOND)
            self.at(self.now + delay, lambda: self._deliver(to, message))

    def _deliver(self, to: str, message: Message) -> None:
        process = self.running.get(to)
        if process is not None:
            self._event(process, lambda: process.agent.on_message(self.now, self.wall_ms, message))

    def partition(self, group: list[str], one_way: bool = False) -> set[tuple[str, str]]:
        rest = [n for n in self.names if n not in group]
        links = {(a, b) for a in group for b in rest}
        if not one_way:
            links |= {(b, a) for a, b in links}
        self.cut |= links
        self.connectivity_changed_at = self.now
        return links

    def heal(self, links: set[tuple[str, str]]) -> None:
        self.cut -= links
        self.connectivity_changed_at = self.now

    # --- operators ----------------------------------------------------------------------------------------

    def submit(self, name: str, command: Command) -> None:
        process = self.running.get(name)
        if process is None or process.stalled_until > self.now:
            return
        what = command.decision_name

        def act() -> list[Effect]:
            number, effects = process.agent.submit(self.now, self.wall_ms, command)
            self.pending_commands[number] = what
            self.at(self.now + 8 * SECOND, lambda: process.agent.forget_command(number))
            return effects

        self._event(process, act)

    def reset(self, name: str) -> None:
        process = self.running.get(name)
        if process is not None and process.stalled_until <= self.now:
            self._event(process, lambda: process.agent.begin_epoch(self.now, self.wall_ms)[1])

    def play_step(self, step: Step) -> None:
        proxy = step.who[0]
        replicated = self.checker.latest()
        release = max(replicated.state.releases, default=0)
        match step.what:
            case "crash" | "forget" | "torn":
                self.kill(proxy, step.what)
                self.at(self.now + min(step.span, 4 * SECOND), lambda: self.start(proxy))
            case "stall":
                self.stall(proxy, step.span)
            case "part" | "one way":
                links = self.partition(list(step.who), step.what == "one way")
                self.at(self.now + step.span, lambda: self.heal(links))
            case "loss":
                self.loss = step.number
                self.at(self.now + step.span, lambda: setattr(self, "loss", 0.0))
            case "double":
                self.duplication = 0.3
                self.at(self.now + step.span, lambda: setattr(self, "duplication", 0.0))
            case "slow disk":
                self.disk_delay = 900 * MS
                self.at(self.now + step.span, lambda: setattr(self, "disk_delay", 3 * MS))
            case "server down":
                self.down.add(step.text)
                self.down_since.setdefault(step.text, self.now)
                self.at(self.now + step.span, lambda: self._restore_server(step.text))
            case "drain":
                self.submit(proxy, Drain(endpoint=self.servers[step.text], by=proxy))
            case "drain zone":
                for resource in self.servers.values():
                    if resource.zone == "a":
                        self.submit(proxy, Drain(endpoint=resource, by=proxy))
            case "undrain":
                self.submit(proxy, Undrain(endpoint=step.text, by=proxy))
            case "release" | "restart":
                content = step.text if step.number != 0.5 else "breaks"
                bundle = f"{content}:{step.at}".encode() if step.what == "release" else b""
                kind = "settings" if bundle else "restart"
                plan = PlanRelease(kind=kind, bundle=bundle, waves=plan_waves(self.names), soak_s=0.5,
                            timeout_s=20.0, gated=False, by=proxy)  # fmt: skip
                self.submit(proxy, plan)
                for pause in (1, 3, 6):
                    self.at(self.now + pause * SECOND, lambda: self._start_planned(proxy))
            case "halt":
                self._announce_halt(proxy, release)
            case "resume":
                self._resume_release(proxy, release)
            case "back":
                self.submit(proxy, RollBackRelease(release_id=release, by=proxy))
            case "cancel":
                self.submit(proxy, CancelRelease(release_id=release, by=proxy))
            case "budget":
                budgets = DisruptionBudgets(
                    proxies=max(1, int(step.number)), servers=max(1, int(step.number))
                )
                if proxy in self.budgets:
                    self.budgets[proxy] = budgets
                    process = self.running.get(proxy)
                    if process is not None:
                        process.agent.settings = replace(process.agent.settings, budgets=budgets)

    def _restore_server(self, server: str) -> None:
        self.down.discard(server)
        self.down_since.pop(server, None)

    def _start_planned(self, proxy: str) -> None:
        process = self.running.get(proxy)
        release = process.agent.replicated.current_release if process is not None else None
        if release is not None and release.state == ReleaseState.PLANNED:
            self.submit(proxy, StartRelease(release_id=release.id, by=proxy))

    def _announce_halt(self, proxy: str, release: int) -> None:
        process = self.running.get(proxy)
        if process is not None and release and process.stalled_until <= self.now:
            self.checker.halt_announcements[release] = self.now, proxy
            self.at(self.now + HALT_SPREAD, lambda: self.checker.check_halt_known(release))
            self._event(process, lambda: process.agent.announce_halt(self.now, self.wall_ms, release))

    def _resume_release(self, proxy: str, release: int) -> None:
        process = self.running.get(proxy)
        if process is not None and release:
            stamp, by = process.halts.get(release, (0, ""))
            self.submit(proxy, ResumeRelease(release_id=release, halt_stamp=stamp, halted_by=by, by=proxy))


class InvariantChecker:
    """Checks committed entries, what is stored on disks, and which proxies are out."""

    def __init__(self, simulation: RolloutSimulation) -> None:
        self.simulation = simulation
        self.violations: dict[str, None] = {}
        self.leaders: dict[tuple[Epoch, int], Voter] = {}
        self.entries: dict[tuple[Epoch, int], messages.Entry] = {}
        self.states: dict[tuple[Epoch, int], bytes] = {}
        self.replicated = ReplicatedState()  # its own, of all entries committed in the current epoch
        self.epoch = Epoch()
        self.out: dict[str, int] = {}  # proxy -> the permit under which it is out
        self.halt_announcements: dict[int, tuple[int, str]] = {}  # release -> time, announcing proxy
        self.used_permits: set[tuple[Epoch, int, str, int]] = set()
        self.counts: Counter[str] = Counter()
        self.votes: dict[tuple[Voter, Epoch, int], set[Voter]] = {}
        self.stored_entries: dict[tuple[Voter, Epoch, int], messages.Entry] = {}
        self.snapshot_indexes: dict[tuple[Voter, Epoch], int] = {}
        self.voter_epochs: dict[Voter, Epoch] = {}
        self.peak = 0

    def report_violation(self, text: str) -> None:
        self.violations.setdefault(text)

    def latest(self) -> ReplicatedState:
        return self.replicated

    # --- commits and stored records of each voter ---------------------------------------------------------

    def observe_commits(self, name: str, agent: Agent) -> None:
        deliver = agent._on_committed

        def on_committed(index: int, entry: messages.Entry) -> None:
            assert agent.node is not None
            if agent.node.log.snapshot.index:
                self._on_epoch(agent.node.epoch, agent.node.log.snapshot)
            self._on_entry_committed(agent, agent.node.epoch, index, entry)
            deliver(index, entry)

        agent._on_committed = on_committed  # type: ignore[method-assign]

    def on_synced(self, process: Process, records: tuple[StoredRecord, ...]) -> None:
        """Remember what a voter has stored, even if its disk is lost later."""
        node = process.agent.node
        assert node is not None
        for record in records:
            hard = record.hard_state if isinstance(record, Checkpoint) else record
            if isinstance(hard, messages.HardState):
                self.voter_epochs[node.identity] = hard.epoch
                if hard.voted_for is not None:
                    votes = self.votes.setdefault((node.identity, hard.epoch, hard.term), set())
                    votes.add(hard.voted_for)
                    if len(votes) > 1:
                        self.report_violation(f"{node.identity.name} voted twice in term {hard.term}")
            epoch = self.voter_epochs.get(node.identity, Epoch())
            if isinstance(record, Checkpoint):
                self.snapshot_indexes[node.identity, epoch] = max(
                    self.snapshot_indexes.get((node.identity, epoch), 0), record.snapshot.index
                )
                rows = enumerate(record.entries, record.snapshot.index + 1)
            elif isinstance(record, messages.AppendedEntries):
                rows = enumerate(record.entries, record.index)
            else:
                continue
            for index, entry in rows:
                self.stored_entries[node.identity, epoch, index] = entry

    def check_halt_known(self, release: int) -> None:
        """A halt announced ``HALT_SPREAD`` ago is known to all processes that could be reached since."""
        announced_at, announced_by = self.halt_announcements[release]
        simulation = self.simulation
        if (
            simulation.cut
            or simulation.loss
            or simulation.connectivity_changed_at > announced_at
            or simulation.now - announced_at < HALT_SPREAD
        ):
            return
        for process in simulation.running.values():
            if process.stalled_until <= simulation.now and release not in process.halts:
                self.report_violation(f"{process.name} does not know of the halt announced at {announced_by}")

    # --- after each event of a process --------------------------------------------------------------------

    def check_process(self, process: Process) -> None:
        agent = process.agent
        node = agent.node
        if node is not None and agent.is_leader:
            key = node.epoch, node.term
            known = self.leaders.get(key)
            if known is None:
                self.leaders[key] = node.identity
                self._check_election(node.epoch, node.term, node.identity, node.voters)
            elif known != node.identity:
                self.report_violation(f"two leaders in one term: {known.name} and {node.identity.name}")
        if node is not None and node.log.snapshot.index:
            self._on_epoch(node.epoch, node.log.snapshot)
        self._check_state(agent)

    def _on_epoch(self, epoch: Epoch, base: messages.Snapshot) -> None:
        """An epoch begins with a replicated state from a snapshot, not from entries committed in it."""
        if epoch > self.epoch:
            self.epoch = epoch
            self.replicated = ReplicatedState()
            self.replicated.load(base.index, base.state)
            self.out = {n: p for n, p in self.out.items() if p in self.replicated.state.permits}

    def _check_state(self, agent: Agent) -> None:
        key = agent.epoch, agent.replicated.index
        if not agent.replicated.index:
            return
        data = agent.replicated.save()
        if self.states.setdefault(key, data) != data:
            self.report_violation(f"replicated states differ at entry {key[1]}")

    def _check_election(self, epoch: Epoch, term: int, leader: Voter, voters: tuple[Voter, ...]) -> None:
        """A majority of the voters has stored its vote for the leader (where there are disks)."""
        if not self.simulation.schedule.disk:
            return
        stored = sum(leader in self.votes.get((voter, epoch, term), ()) for voter in voters)
        if 2 * stored <= len(voters):
            self.report_violation(
                f"{leader.name} leads term {term} with {stored} of {len(voters)} votes stored"
            )

    def _on_entry_committed(self, agent: Agent, epoch: Epoch, index: int, entry: messages.Entry) -> None:
        known = self.entries.get((epoch, index))
        if known is not None:
            if known != entry:
                self.report_violation(f"two entries committed at {index}")
            return
        self.entries[epoch, index] = entry
        node = agent.node
        assert node is not None
        if self.simulation.schedule.disk:
            self._check_stored(node.voters, epoch, index, entry)
        if epoch == self.epoch and index == self.replicated.index + 1:
            command = None
            if entry.kind == messages.EntryKind.COMMAND:
                decision = self.replicated.apply(index, entry.data)
                command = decode_command(entry.data)
                if decision is not None and not decision.rejection and command is not None:
                    self._check_decision(command)
            else:
                self.replicated.state.index = index
            known_state = self.states.setdefault((epoch, index), self.replicated.save())
            if known_state != self.replicated.save():
                self.report_violation(f"replicated states differ at entry {index}")

    def _check_stored(
        self, voters: tuple[Voter, ...], epoch: Epoch, index: int, entry: messages.Entry
    ) -> None:
        stored = sum(
            self.stored_entries.get((v, epoch, index)) == entry
            or self.snapshot_indexes.get((v, epoch), 0) >= index
            for v in voters
        )
        if 2 * stored <= len(voters):
            self.report_violation(
                f"entry {index} is committed with {stored} of {len(voters)} voters having it stored"
            )

    def _check_decision(self, command: Command) -> None:
        """Check an accepted command, in the order of the log, by a count of its own."""
        self.counts[command.decision_name] += 1
        state = self.replicated.state
        if isinstance(command, GrantPermit):
            kind = command.kind
            permits = [p for p in state.permits.values() if p.kind == kind]
            total = command.totals.count
            allowed = min(
                (int(b.proxies if kind == ResourceKind.PROXY else b.servers) for b in state.budgets.values()),
                default=0,
            )
            if len(permits) > allowed:
                self.report_violation(f"{len(permits)} {kind} permits, {allowed} of {total} may be out")
            names = {p.resource.name for p in permits} | {t.name for t in command.missing}
            if len(names) > allowed:
                self.report_violation(f"{len(names)} {kind} out or missing, {allowed} may be out")
            self._check_missing_counted(command)
            leader = self.simulation.running.get(command.by)
            if command.release_id and leader is not None:
                release = state.releases[command.release_id]
                halt = leader.halts.get(release.id, (0, ""))
                seen_ms = (
                    WALL_CLOCK_START_MS + leader.halts_seen_at.get(release.id, self.simulation.now) // MS
                )
                if halt > (release.resumed_stamp, release.resumed_by) and seen_ms < command.at_ms:
                    self.report_violation(f"granted by {command.by} although it knows of the halt")
        elif isinstance(command, ReturnPermit) and command.outcome == PermitOutcome.BACK:
            name = next((n for n, p in self.out.items() if p == command.permit_id), "")
            if name:
                self.report_violation(f"the permit of {name} ends while it is out")
        elif isinstance(command, MarkDrained):
            server = state.permits[command.permit_id].resource.name
            for other in self.simulation.running.values():
                # A process that started after the proposal may not know of the drain yet.
                if (
                    other.connections.get(server, 0)
                    and WALL_CLOCK_START_MS + other.start_time // MS <= command.at_ms
                ):
                    self.report_violation(
                        f"{server} is marked drained; {other.name} holds {other.connections[server]} there"
                    )

    def _check_missing_counted(self, command: GrantPermit) -> None:
        """A grant counts whatever its proposer has seen missing for ``MISSING_DETECTION``."""
        leader = self.simulation.running.get(command.by)
        if leader is None:
            return
        counted = {resource.name for resource in command.missing}
        now = self.simulation.now
        missing = leader.missing_since if command.kind == ResourceKind.PROXY else self.simulation.down_since
        for name, since in missing.items():
            if now - since > MISSING_DETECTION and name not in counted:
                self.report_violation(f"{name}, missing for {(now - since) / SECOND:.1f} s, is not counted")

    # --- proxies that are out -----------------------------------------------------------------------------

    def on_permit_execution(self, process: Process, act: ExecutePermit) -> None:
        if not act.permit_id:
            return
        permit = self.replicated.state.permits.get(act.permit_id)
        key = self.epoch, act.permit_id, process.name, process.start_number
        if process.agent.epoch != self.epoch:
            return  # a permit of an epoch that an operator's reset has replaced
        if permit is None or permit.resource.name != process.name:
            self.report_violation(f"{process.name} goes out without a permit")
            return
        if key in self.used_permits:
            self.report_violation(f"{process.name} uses a permit twice")
        if process.start_number < permit.started_at:
            self.report_violation(f"{process.name}: an earlier process uses a permit")
        release = self.replicated.state.releases.get(permit.release_id)
        if release is not None:
            halt = process.halts.get(release.id, (0, ""))
            if halt > (release.resumed_stamp, release.resumed_by):
                self.report_violation(f"{process.name} goes out although it knows of the halt")
            announced_at, announced_by = self.halt_announcements.get(release.id, (self.simulation.now, ""))
            elapsed = self.simulation.now - max(announced_at, self.simulation.connectivity_changed_at)
            if release.resumed_stamp < announced_at and elapsed > HALT_SPREAD and not self.simulation.cut:
                self.report_violation(
                    f"{process.name} goes out {elapsed / SECOND:.1f} s after a halt at {announced_by}"
                )
        self.used_permits.add(key)
        self.out[process.name] = act.permit_id
        self.peak = max(self.peak, len(self.out))

    def on_back(self, process: Process) -> None:
        process.executing_permit = 0
        self.out.pop(process.name, None)


@dataclass
class Verdict:
    violations: list[str]
    counts: Counter[str]
    settled: int | None  # microseconds from the end of the faults until everything is finished
    messages: int
    lost: bool  # no quorum had kept its state: the epoch was reset as by an operator


def play(schedule: Schedule, agent: type[Agent] = Agent, storage_fault: str = "") -> Verdict:
    """Play a schedule and check the invariants."""
    simulation = RolloutSimulation(schedule, agent, storage_fault)
    for name in simulation.names:
        simulation.start(name)
    simulation.run(SECOND)
    simulation.reset(simulation.voters[0])
    simulation.run(4 * SECOND)
    for step in schedule.steps:
        simulation.at(simulation.now + step.at, lambda step=step: simulation.play_step(step))  # type: ignore[misc]
    last = max((s.at + min(s.span, 8 * SECOND) for s in schedule.steps), default=0)
    simulation.run(simulation.now + last + 4 * SECOND)
    # All faults end here.
    simulation.cut.clear()
    simulation.loss = simulation.duplication = 0.0
    simulation.disk_delay = 3 * MS
    simulation.down.clear()
    simulation.down_since.clear()
    for name in simulation.names:
        if name not in simulation.running:
            simulation.start(name)
    for process in list(simulation.running.values()):
        process.stalled_until = min(process.stalled_until, simulation.now)
        simulation._resume(process)
    simulation.run(simulation.now + 2 * SECOND)
    lost = has_lost_quorum(simulation)
    if lost:  # reset as an operator would, at the voter with the latest state
        counted = Counter(simulation.checker.counts)
        simulation.run(simulation.now + 10 * SECOND)
        if simulation.checker.counts != counted:
            simulation.checker.report_violation("a command was decided without a quorum")
        best = max(
            (p.agent for p in simulation.running.values() if p.agent.node is not None),
            key=lambda a: (a.epoch, a.replicated.index),
        )
        simulation.reset(best.name)
    settled = simulation.until(lambda: is_finished(simulation), 90 * SECOND, 200 * MS)
    if settled is None:
        simulation.checker.report_violation(
            f"not finished 90 s after the last fault: {unfinished_reason(simulation)}"
        )
    return Verdict(
        list(simulation.checker.violations),
        simulation.checker.counts,
        settled,
        simulation.messages_sent,
        lost,
    )


def has_lost_quorum(simulation: RolloutSimulation) -> bool:
    """Whether no configuration that could decide has a majority of voters with its state, so that an operator
    has to use ``agree reset``."""
    voters = [p.agent.node for p in simulation.running.values() if p.agent.node is not None]
    latest_epoch = max((n.epoch for n in voters), default=Epoch())
    members = [n for n in voters if n.epoch == latest_epoch and n.identity in n.voters]
    return not any(2 * sum(other.identity in n.voters for other in members) > len(n.voters) for n in members)


def unfinished_reason(simulation: RolloutSimulation) -> str:
    leaders = [p.agent for p in simulation.running.values() if p.agent.is_leader]
    if not leaders:
        return "no leader"
    agent = max(leaders, key=lambda a: (a.epoch, a.node.term if a.node else 0))
    replicated, controller = agent.replicated, agent.controller
    names = {n for n in simulation.running}
    for process in simulation.running.values():
        if process.agent.replicated.index != replicated.index or process.agent.epoch != agent.epoch:
            return f"{process.name} is behind: {process.agent.replicated.index} of {replicated.index}"
        targets = process.agent.replicated.state.desired_digests
        if (
            targets.get(process.name, process.digest) != process.digest
            and not process.agent.holder.failed_bundles
        ):
            return f"{process.name} runs with {process.digest or 'its own file'}"
    if agent.node is not None and {v.name for v in agent.node.voters} != set(simulation.voters):
        return "voters are missing"
    if set(replicated.state.budgets) != set(simulation.voters):
        return "budgets are missing"
    reason = controller.reason if controller is not None else ""
    for permit in replicated.state.permits.values():
        if permit.kind == ResourceKind.PROXY or not permit.drained:
            return f"permit of {permit.resource.name}: {reason}"
    release = replicated.current_release
    if release is not None and release.state in ACTIVE_STATES:
        return f"release {release.id} is {release.state}: {reason}"
    if replicated.state.drain_requests and not any(
        p.kind == ResourceKind.ENDPOINT for p in replicated.state.permits.values()
    ):
        return f"drains are waiting: {reason}"
    return "" if names == set(simulation.names) else "processes are missing"


def is_finished(simulation: RolloutSimulation) -> bool:
    """Each release is done, halted with a reason, or rolled back; each drain is safe or waits for others."""
    return not unfinished_reason(simulation)
