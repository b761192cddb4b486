"""The agreement's agents on a virtual clock: the code that the proxies run, with networks, disks and
processes that a schedule spoils, and a referee.

The referee judges by what came out: entries that were committed, what the disks hold, who is out at that
moment. It must never ask an agent why. All numbers are drawn from the seed: a run repeats to the last
message.
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
WALL_MS = 1_700_000_000_000
SIGHT = 300 * MS  # between two looks of the view's stand-in
LATE = 1200 * MS  # who has been away for so long is seen to be
HALTS = 2 * SECOND  # a halt is known to all that can be reached by then
NOTICED = 3 * SECOND  # whoever has been missing for so long in a leader's own sight must be counted


@dataclass(frozen=True)
class Step:
    at: int
    what: str
    who: tuple[str, ...] = ()
    span: int = 0
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
ORDERS = ("drain", "drain", "drain zone", "undrain", "release", "release", "restart", "halt", "resume",
          "back", "cancel", "budget")  # fmt: skip


def draw(seed: int, most: int = 9, length: int = 30 * SECOND) -> Schedule:
    rnd = random.Random(seed)
    voters = rnd.choice((1, 2, 3, 3, 3, 5, 5))
    proxies = max(voters, rnd.randint(1, most))
    names = [f"p{n}" for n in range(proxies)]
    schedule = Schedule(seed, proxies, voters, rnd.random() < 0.6)
    for _ in range(rnd.randint(2, 14)):
        what = rnd.choice(FAULTS if rnd.random() < 0.55 else ORDERS)
        at, span = rnd.randrange(length), int(rnd.uniform(0.05, 8.0) * SECOND)
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
    """Of one name. What is not synced when the process ends may be lost, in part or whole."""

    synced: list[StoredRecord] = field(default_factory=list)
    pending: list[tuple[int, tuple[StoredRecord, ...]]] = field(default_factory=list)
    busy: int = 0  # until when it writes


@dataclass
class Process:
    name: str
    agent: Agent
    start_number: int
    alive: bool = True
    serving: bool = False
    digest: str = ""
    began: int = 0
    acting: int = 0  # the permit under which it is out now
    stalled_until: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)
    marks: dict[int, tuple[int, str]] = field(default_factory=dict)
    marked_at: dict[int, int] = field(default_factory=dict)
    standing: dict[str, int] = field(default_factory=dict)
    outs: set[str] = field(default_factory=set)
    missing_since: dict[str, int] = field(default_factory=dict)
    woken: int = 0


class RolloutSimulation(EventQueue):
    def __init__(
        self, schedule: Schedule, agent: type[Agent] = Agent, storage_fault: str = "", **settings: Any
    ) -> None:
        super().__init__()
        self.schedule, self.kind, self.storage_fault = schedule, agent, storage_fault
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
        self.cut: set[tuple[str, str]] = set()
        self.apart_at = 0  # when ways were last cut or opened, or a process was not to be spoken to
        self.loss = self.doubled = 0.0
        self.disk_delay = 3 * MS
        self.disks = {name: Disk() for name in self.names}
        self.running: dict[str, Process] = {}
        self.ended_start_number: dict[str, int] = {}
        self.starts = 0
        self.away: dict[str, int] = {}  # since when a process has not run or has stood still
        self.referee = Referee(self)
        self.answers: list[tuple[str, str, str]] = []
        self.asked: dict[int, str] = {}
        self.release = 0
        self.sent = 0

    @property
    def wall_ms(self) -> int:
        return WALL_MS + self.now // MS

    # --- processes ----------------------------------------------------------------------------------------

    def start(self, name: str, digest: str = "") -> None:
        if name in self.running:
            return
        self.starts += 1
        kept: Checkpoint | None = None
        if self.schedule.disk and name in self.voters:
            kept = replay(self.disks[name].synced)
        settings = replace(self.settings, budgets=self.budgets.get(name, self.settings.budgets))
        rnd = random.Random(self.rnd.getrandbits(60))
        standing = dict.fromkeys(self.servers, 0)
        nonce, keeps = self.rnd.getrandbits(50), self.schedule.disk
        agent = self.kind(name, self.starts, nonce, settings, rnd, kept, digest, keeps, standing.__getitem__)
        self.referee.listen(name, agent)
        process = self.running[name] = Process(name, agent, self.starts, began=self.now)
        self.away.pop(name, None)
        self.apart_at = self.now
        process.standing = standing
        self._event(process, lambda: agent.start(self.now, self.wall_ms))
        self.at(self.now + 300 * MS, lambda: self._serve(process))
        self.at(self.now, lambda: self._look(process))

    def _serve(self, process: Process) -> None:
        process.serving = True
        for server in self.servers:
            if server not in process.outs:
                process.standing[server] = self.rnd.randint(0, 3)
        self._event(process, lambda: process.agent.on_own_status(self.now, self.wall_ms, True))

    def kill(self, name: str, how: str = "crash") -> None:
        """``torn``: a part of what was being written is on the disk; ``forget``: the disk is empty."""
        process = self.running.pop(name, None)
        if process is None:
            return
        process.alive = False
        self.away[name] = self.now
        self.ended_start_number[name] = process.start_number
        disk = self.disks[name]
        if how == "torn" and disk.pending:
            records = [record for _, part in disk.pending for record in part]
            written = tuple(records[: self.rnd.randint(0, len(records))])
            self.referee.synced(process, written)
            disk.synced += written
        disk.pending.clear()
        if how == "forget" or not self.schedule.disk:
            self.disks[name] = Disk()
        self.referee.back(process)

    def _event(self, process: Process, act: Callable[[], list[Effect]]) -> None:
        if not process.alive:
            return
        if process.stalled_until > self.now:
            process.waiting.append(lambda: self._event(process, act))
            return
        effects = act()
        self.referee.look(process)
        for effect in effects:
            self._do(process, effect)
        due = max(process.agent.next_timer, self.now + 1)
        if process.woken <= self.now or due < process.woken:
            process.woken = due
            self.at(due, lambda: self._wake(process, due))

    def _wake(self, process: Process, due: int) -> None:
        if process.woken == due and process.alive:
            process.woken = 0
            self._event(process, lambda: process.agent.on_timer(self.now, self.wall_ms))

    def stall(self, name: str, span: int) -> None:
        process = self.running.get(name)
        if process is not None:
            process.stalled_until = max(process.stalled_until, self.now + span)
            self.away.setdefault(name, self.now)
            self.at(process.stalled_until, lambda: self._resume(process))

    def _resume(self, process: Process) -> None:
        if process.alive and process.stalled_until <= self.now:
            self.away.pop(process.name, None)
            self.apart_at = self.now
            waiting, process.waiting = process.waiting, []
            for act in waiting:
                act()
            self._event(process, lambda: process.agent.on_timer(self.now, self.wall_ms))

    # --- effects ------------------------------------------------------------------------------------------

    def _do(self, process: Process, effect: Effect) -> None:
        match effect:
            case SendMessage(to, message):
                self._send(process.name, to, message)
            case Persist(token, records):
                self._persist(process, token, records)
            case ExecutePermit():
                self._act(process, effect)
            case CheckBundle(digest, bundle):
                why = "it does not fit" if bundle.startswith(b"bad") else ""
                self.at(
                    self.now + 20 * MS,
                    lambda: self._event(
                        process, lambda: process.agent.on_bundle_checked(self.now, self.wall_ms, digest, why)
                    ),
                )
            case CordonEndpoint(server, out):
                (process.outs.add if out else process.outs.discard)(server)
                if out:
                    self.at(
                        self.now + self.rnd.randint(100, 1500) * MS, lambda: self._emptied(process, server)
                    )
                else:
                    process.standing[server] = self.rnd.randint(0, 3)
            case AnnounceHalt(release):
                self.mark(process, release, (self.now + 1, process.name))
            case CommandResult(number, text, refused, _):
                self.answers.append((self.asked.pop(number, ""), text, refused))
            case LogEvent():
                pass

    def _emptied(self, process: Process, server: str) -> None:
        if process.alive and server in process.outs:
            process.standing[server] = 0

    def mark(self, process: Process, release: int, mark: tuple[int, str]) -> None:
        """A halt, as the view spreads it: to all that can be reached, from each that has it."""
        if process.alive and process.marks.get(release, (0, "")) < mark:
            process.marks[release] = mark
            process.marked_at[release] = self.now
            self._see(process)

    def _persist(self, process: Process, token: int, what: tuple[StoredRecord, ...]) -> None:
        disk = self.disks[process.name]
        disk.pending.append((token, what))
        if self.storage_fault == "unsynced":  # planted: answered before it is on the disk
            self._event(process, lambda: process.agent.on_records_stored(self.now, self.wall_ms, token))

        def synced() -> None:
            if process.alive and self.disks[process.name] is disk and disk.pending:
                written = disk.pending[0][1]
                self.referee.synced(process, written)
                if self.storage_fault == "forgets votes":  # planted: terms and votes stay in memory
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

        due = max(self.now + self.rnd.randint(100, self.disk_delay), disk.busy)
        disk.busy = due
        self.at(due, synced)

    def _act(self, process: Process, act: ExecutePermit) -> None:
        self.referee.begins(process, act)
        process.acting = act.permit_id
        if act.kind == "restart":
            self.at(self.now + self.rnd.randint(10, 300) * MS, lambda: self._again(process))
            return

        def done() -> None:
            why = ""
            if act.bundle.startswith(b"breaks"):
                why = "cannot be taken over"
            else:
                process.digest = act.digest
            self.referee.back(process)
            digest = process.digest
            self._event(
                process,
                lambda: process.agent.on_permit_executed(self.now, self.wall_ms, act.permit_id, digest, why),
            )

        self.at(self.now + self.rnd.randint(5, 400) * MS, lambda: self._when_runs(process, done))

    def _when_runs(self, process: Process, act: Callable[[], None]) -> None:
        if process.alive and process.stalled_until > self.now:
            process.waiting.append(lambda: self._when_runs(process, act))
        elif process.alive:
            act()

    def _again(self, process: Process) -> None:
        """A restart under a permit: a new process of the same name."""
        if not process.alive:
            return
        if process.stalled_until > self.now:
            process.waiting.append(lambda: self._again(process))
            return
        permit = process.acting
        self.kill(process.name, "restart")

        def begin() -> None:
            if process.name in self.running:
                return
            self.start(process.name)
            if permit:
                fresh = self.running[process.name]
                fresh.acting = permit
                self.referee.out[process.name] = permit
                self.at(self.now + 300 * MS, lambda: self.referee.back(fresh))

        self.at(self.now + self.rnd.randint(50, 1500) * MS, begin)

    # --- what is seen -------------------------------------------------------------------------------------

    def _look(self, process: Process) -> None:
        """The view's stand-in, again and again."""
        if not process.alive:
            return
        self._see(process)
        for other in self.running.values():  # marks go from view to view
            if other is not process and self._open(process.name, other.name):
                for release, mark in process.marks.items():
                    if process.stalled_until <= self.now:
                        self.at(self.now + 20 * MS, lambda o=other, r=release, m=mark: self._marked(o, r, m))  # type: ignore[misc]
        self.at(self.now + SIGHT, lambda: self._look(process))

    def _marked(self, process: Process, release: int, mark: tuple[int, str]) -> None:
        self._event(process, lambda: self._mark_effects(process, release, mark))

    def _mark_effects(self, process: Process, release: int, mark: tuple[int, str]) -> list[Effect]:
        if process.marks.get(release, (0, "")) >= mark:
            return []
        process.marks[release] = mark
        process.marked_at[release] = self.now
        return process.agent.on_cluster_state(self.now, self.wall_ms, self.observe(process))

    def _see(self, process: Process) -> None:
        self._event(
            process, lambda: process.agent.on_cluster_state(self.now, self.wall_ms, self.observe(process))
        )

    def observe(self, process: Process) -> ClusterState:
        proxies = {}
        for name in self.names:
            other = self.running.get(name)
            reached = name == process.name or (
                self._open(process.name, name) and self._open(name, process.name)
            )
            since = self.away.get(name)
            here = reached and (since is None or self.now - since < LATE) and other is not None
            start_number = other.start_number if other is not None else self.ended_start_number.get(name, 0)
            ended = other is None and reached
            proxies[name] = ObservedProxy(Resource(name, self.zones[name]), start_number, here, ended)
            if here:
                process.missing_since.pop(name, None)
            else:
                process.missing_since.setdefault(name, self.now)
        servers = {name: ObservedEndpoint(seen, name not in self.down) for name, seen in self.servers.items()}
        return ClusterState(proxies, servers, len(self.names), True, dict(process.marks))

    # --- the ways -----------------------------------------------------------------------------------------

    def _open(self, one: str, other: str) -> bool:
        return (one, other) not in self.cut

    def _send(self, one: str, to: str, message: Message) -> None:
        self.sent += 1
        for _ in range(1 + (self.rnd.random() < self.doubled)):
            if not self._open(one, to) or self.rnd.random() < self.loss:
                continue
            late = self.rnd.randint(200, 3 * MS)
            if self.rnd.random() < self.doubled:
                late += int(self.rnd.random() * 4 * SECOND)
            self.at(self.now + late, lambda: self._arrive(to, message))

    def _arrive(self, to: str, message: Message) -> None:
        process = self.running.get(to)
        if process is not None:
            self._event(process, lambda: process.agent.on_message(self.now, self.wall_ms, message))

    def part(self, some: list[str], one_way: bool = False) -> set[tuple[str, str]]:
        rest = [n for n in self.names if n not in some]
        ways = {(a, b) for a in some for b in rest}
        if not one_way:
            ways |= {(b, a) for a, b in ways}
        self.cut |= ways
        self.apart_at = self.now
        return ways

    def heal(self, ways: set[tuple[str, str]]) -> None:
        self.cut -= ways
        self.apart_at = self.now

    # --- operators ----------------------------------------------------------------------------------------

    def submit(self, name: str, command: Command) -> None:
        process = self.running.get(name)
        if process is None or process.stalled_until > self.now:
            return
        what = command.decision_name

        def act() -> list[Effect]:
            number, effects = process.agent.submit(self.now, self.wall_ms, command)
            self.asked[number] = what
            self.at(self.now + 8 * SECOND, lambda: process.agent.forget_command(number))
            return effects

        self._event(process, act)

    def reset(self, name: str) -> None:
        process = self.running.get(name)
        if process is not None and process.stalled_until <= self.now:
            self._event(process, lambda: process.agent.begin_epoch(self.now, self.wall_ms)[1])

    def step(self, step: Step) -> None:
        one = step.who[0]
        replicated = self.referee.latest()
        release = max(replicated.state.releases, default=0)
        match step.what:
            case "crash" | "forget" | "torn":
                self.kill(one, step.what)
                self.at(self.now + min(step.span, 4 * SECOND), lambda: self.start(one))
            case "stall":
                self.stall(one, step.span)
            case "part" | "one way":
                ways = self.part(list(step.who), step.what == "one way")
                self.at(self.now + step.span, lambda: self.heal(ways))
            case "loss":
                self.loss = step.number
                self.at(self.now + step.span, lambda: setattr(self, "loss", 0.0))
            case "double":
                self.doubled = 0.3
                self.at(self.now + step.span, lambda: setattr(self, "doubled", 0.0))
            case "slow disk":
                self.disk_delay = 900 * MS
                self.at(self.now + step.span, lambda: setattr(self, "disk_delay", 3 * MS))
            case "server down":
                self.down.add(step.text)
                self.down_since.setdefault(step.text, self.now)
                self.at(self.now + step.span, lambda: self._up(step.text))
            case "drain":
                self.submit(one, Drain(endpoint=self.servers[step.text], by=one))
            case "drain zone":
                for resource in self.servers.values():
                    if resource.zone == "a":
                        self.submit(one, Drain(endpoint=resource, by=one))
            case "undrain":
                self.submit(one, Undrain(endpoint=step.text, by=one))
            case "release" | "restart":
                message = step.text if step.number != 0.5 else "breaks"
                bundle = f"{message}:{step.at}".encode() if step.what == "release" else b""
                kind = "settings" if bundle else "restart"
                plan = PlanRelease(kind=kind, bundle=bundle, waves=plan_waves(self.names), soak_s=0.5,
                            timeout_s=20.0, gated=False, by=one)  # fmt: skip
                self.submit(one, plan)
                for pause in (1, 3, 6):
                    self.at(self.now + pause * SECOND, lambda: self._start_planned(one))
            case "halt":
                self._halt(one, release)
            case "resume":
                self._resume_release(one, release)
            case "back":
                self.submit(one, RollBackRelease(release_id=release, by=one))
            case "cancel":
                self.submit(one, CancelRelease(release_id=release, by=one))
            case "budget":
                budgets = DisruptionBudgets(
                    proxies=max(1, int(step.number)), servers=max(1, int(step.number))
                )
                if one in self.budgets:
                    self.budgets[one] = budgets
                    process = self.running.get(one)
                    if process is not None:
                        process.agent.settings = replace(process.agent.settings, budgets=budgets)

    def _up(self, server: str) -> None:
        self.down.discard(server)
        self.down_since.pop(server, None)

    def _start_planned(self, one: str) -> None:
        process = self.running.get(one)
        release = process.agent.replicated.current_release if process is not None else None
        if release is not None and release.state == ReleaseState.PLANNED:
            self.submit(one, StartRelease(release_id=release.id, by=one))

    def _halt(self, one: str, release: int) -> None:
        process = self.running.get(one)
        if process is not None and release and process.stalled_until <= self.now:
            self.referee.halted[release] = self.now, one
            self.at(self.now + HALTS, lambda: self.referee.heard(release))
            self._event(process, lambda: process.agent.announce_halt(self.now, self.wall_ms, release))

    def _resume_release(self, one: str, release: int) -> None:
        process = self.running.get(one)
        if process is not None and release:
            stamp, by = process.marks.get(release, (0, ""))
            self.submit(one, ResumeRelease(release_id=release, halt_stamp=stamp, halted_by=by, by=one))


class Referee:
    """Judges by entries, disks, and who is out."""

    def __init__(self, world: RolloutSimulation) -> None:
        self.world = world
        self.violations: dict[str, None] = {}
        self.leaders: dict[tuple[Epoch, int], Voter] = {}
        self.entries: dict[tuple[Epoch, int], messages.Entry] = {}
        self.states: dict[tuple[Epoch, int], bytes] = {}
        self.replicated = ReplicatedState()  # our own, of all that has been committed in the epoch in force
        self.epoch = Epoch()
        self.out: dict[str, int] = {}  # proxy -> the permit under which it is out
        self.halted: dict[int, tuple[int, str]] = {}  # release -> when an operator said so, and where
        self.used: set[tuple[Epoch, int, str, int]] = set()
        self.counts: Counter[str] = Counter()
        self.votes: dict[tuple[Voter, Epoch, int], set[Voter]] = {}
        self.held: dict[tuple[Voter, Epoch, int], messages.Entry] = {}
        self.bases: dict[tuple[Voter, Epoch], int] = {}
        self.epoch_of: dict[Voter, Epoch] = {}
        self.peak = 0

    def fault(self, text: str) -> None:
        self.violations.setdefault(text)

    def latest(self) -> ReplicatedState:
        return self.replicated

    # --- what is committed, as each voter hears it ----------------------------------------------------------

    def listen(self, name: str, agent: Agent) -> None:
        take = agent._on_committed

        def heard(index: int, entry: messages.Entry) -> None:
            assert agent.node is not None
            if agent.node.log.snapshot.index:
                self._begun(agent.node.epoch, agent.node.log.snapshot)
            self._committed(agent, agent.node.epoch, index, entry)
            take(index, entry)

        agent._on_committed = heard  # type: ignore[method-assign]

    def synced(self, process: Process, what: tuple[StoredRecord, ...]) -> None:
        """What a voter has on its disk, whatever becomes of the disk later."""
        node = process.agent.node
        assert node is not None
        for record in what:
            hard = record.hard_state if isinstance(record, Checkpoint) else record
            if isinstance(hard, messages.HardState):
                self.epoch_of[node.identity] = hard.epoch
                if hard.voted_for is not None:
                    votes = self.votes.setdefault((node.identity, hard.epoch, hard.term), set())
                    votes.add(hard.voted_for)
                    if len(votes) > 1:
                        self.fault(f"{node.identity.name} has voted twice in term {hard.term}")
            epoch = self.epoch_of.get(node.identity, Epoch())
            if isinstance(record, Checkpoint):
                self.bases[node.identity, epoch] = max(
                    self.bases.get((node.identity, epoch), 0), record.snapshot.index
                )
                rows = enumerate(record.entries, record.snapshot.index + 1)
            elif isinstance(record, messages.AppendedEntries):
                rows = enumerate(record.entries, record.index)
            else:
                continue
            for index, entry in rows:
                self.held[node.identity, epoch, index] = entry

    def heard(self, release: int) -> None:
        """A halt said ``HALTS`` ago is known to all that could be reached since."""
        said, where = self.halted[release]
        world = self.world
        if world.cut or world.loss or world.apart_at > said or world.now - said < HALTS:
            return
        for process in world.running.values():
            if process.stalled_until <= world.now and release not in process.marks:
                self.fault(f"{process.name} does not know of the halt said at {where}")

    # --- after each event of a process --------------------------------------------------------------------

    def look(self, process: Process) -> None:
        agent = process.agent
        node = agent.node
        if node is not None and agent.is_leader:
            key = node.epoch, node.term
            known = self.leaders.get(key)
            if known is None:
                self.leaders[key] = node.identity
                self._elected(node.epoch, node.term, node.identity, node.voters)
            elif known != node.identity:
                self.fault(f"two leaders of one term: {known.name} and {node.identity.name}")
        if node is not None and node.log.snapshot.index:
            self._begun(node.epoch, node.log.snapshot)
        self._same_state(agent)

    def _begun(self, epoch: Epoch, base: messages.Snapshot) -> None:
        """A epoch begins with a replicated state that nobody has committed in it."""
        if epoch > self.epoch:
            self.epoch = epoch
            self.replicated = ReplicatedState()
            self.replicated.load(base.index, base.state)
            self.out = {n: p for n, p in self.out.items() if p in self.replicated.state.permits}

    def _same_state(self, agent: Agent) -> None:
        key = agent.epoch, agent.replicated.index
        if not agent.replicated.index:
            return
        data = agent.replicated.save()
        if self.states.setdefault(key, data) != data:
            self.fault(f"two books at entry {key[1]}")

    def _elected(self, epoch: Epoch, term: int, who: Voter, voters: tuple[Voter, ...]) -> None:
        """A majority of the voters has its vote on the disk (where there are disks)."""
        if not self.world.schedule.disk:
            return
        given = sum(who in self.votes.get((voter, epoch, term), ()) for voter in voters)
        if 2 * given <= len(voters):
            self.fault(f"{who.name} leads term {term} with {given} votes of {len(voters)} stored")

    def _committed(self, agent: Agent, epoch: Epoch, index: int, entry: messages.Entry) -> None:
        known = self.entries.get((epoch, index))
        if known is not None:
            if known != entry:
                self.fault(f"two entries committed at {index}")
            return
        self.entries[epoch, index] = entry
        node = agent.node
        assert node is not None
        if self.world.schedule.disk:
            self._stored(node.voters, epoch, index, entry)
        if epoch == self.epoch and index == self.replicated.index + 1:
            command = None
            if entry.kind == messages.EntryKind.COMMAND:
                decision = self.replicated.apply(index, entry.data)
                command = decode_command(entry.data)
                if decision is not None and not decision.rejection and command is not None:
                    self._decided(command)
            else:
                self.replicated.state.index = index
            held = self.states.setdefault((epoch, index), self.replicated.save())
            if held != self.replicated.save():
                self.fault(f"two books at entry {index}")

    def _stored(self, voters: tuple[Voter, ...], epoch: Epoch, index: int, entry: messages.Entry) -> None:
        have = sum(
            self.held.get((v, epoch, index)) == entry or self.bases.get((v, epoch), 0) >= index
            for v in voters
        )
        if 2 * have <= len(voters):
            self.fault(f"entry {index} is committed, {have} of {len(voters)} voters have it stored")

    def _decided(self, command: Command) -> None:
        """An accepted command, in the order of the log: what a simple counting says of it."""
        self.counts[command.decision_name] += 1
        state = self.replicated.state
        if isinstance(command, GrantPermit):
            kind = command.kind
            planned = [p for p in state.permits.values() if p.kind == kind]
            whole = command.totals.count
            allowed = min(
                (int(b.proxies if kind == ResourceKind.PROXY else b.servers) for b in state.budgets.values()),
                default=0,
            )
            if len(planned) > allowed:
                self.fault(f"{len(planned)} {kind} permits, {allowed} of {whole} may be out")
            names = {p.resource.name for p in planned} | {t.name for t in command.missing}
            if len(names) > allowed:
                self.fault(f"{len(names)} {kind} out with those missing, {allowed} may be")
            self._counted(command)
            leader = self.world.running.get(command.by)
            if command.release_id and leader is not None:
                release = state.releases[command.release_id]
                mark = leader.marks.get(release.id, (0, ""))
                seen_ms = WALL_MS + leader.marked_at.get(release.id, self.world.now) // MS
                if mark > (release.resumed_stamp, release.resumed_by) and seen_ms < command.at_ms:
                    self.fault(f"granted by {command.by}, which has seen the halt")
        elif isinstance(command, ReturnPermit) and command.outcome == PermitOutcome.BACK:
            name = next((n for n, p in self.out.items() if p == command.permit_id), "")
            if name:
                self.fault(f"the permit of {name} ends while it is out")
        elif isinstance(command, MarkDrained):
            server = state.permits[command.permit_id].resource.name
            for other in self.world.running.values():
                # Who has started since it was proposed may not have heard of the drain yet.
                if other.standing.get(server, 0) and WALL_MS + other.began // MS <= command.at_ms:
                    self.fault(f"{server} is called empty, {other.name} holds {other.standing[server]}")

    def _counted(self, command: GrantPermit) -> None:
        """Whoever its proposer has not seen for long is in what it counted."""
        leader = self.world.running.get(command.by)
        if leader is None:
            return
        seen = {resource.name for resource in command.missing}
        now = self.world.now
        missing = leader.missing_since if command.kind == ResourceKind.PROXY else self.world.down_since
        for name, since in missing.items():
            if now - since > NOTICED and name not in seen:
                self.fault(f"{name}, missing for {(now - since) / SECOND:.1f} s, is not counted")

    # --- who is out ---------------------------------------------------------------------------------------

    def begins(self, process: Process, act: ExecutePermit) -> None:
        if not act.permit_id:
            return
        permit = self.replicated.state.permits.get(act.permit_id)
        key = self.epoch, act.permit_id, process.name, process.start_number
        if process.agent.epoch != self.epoch:
            return  # what an operator's reset left behind
        if permit is None or permit.resource.name != process.name:
            self.fault(f"{process.name} goes out without a permit")
            return
        if key in self.used:
            self.fault(f"{process.name} uses a permit twice")
        if process.start_number < permit.started_at:
            self.fault(f"{process.name}: an earlier process uses a permit")
        release = self.replicated.state.releases.get(permit.release_id)
        if release is not None:
            mark = process.marks.get(release.id, (0, ""))
            if mark > (release.resumed_stamp, release.resumed_by):
                self.fault(f"{process.name} goes out though it has seen the halt")
            said, where = self.halted.get(release.id, (self.world.now, ""))
            apart = self.world.now - max(said, self.world.apart_at)
            if release.resumed_stamp < said and apart > HALTS and not self.world.cut:
                self.fault(f"{process.name} goes out {apart / SECOND:.1f} s after a halt at {where}")
        self.used.add(key)
        self.out[process.name] = act.permit_id
        self.peak = max(self.peak, len(self.out))

    def back(self, process: Process) -> None:
        process.acting = 0
        self.out.pop(process.name, None)


@dataclass
class Verdict:
    violations: list[str]
    counts: Counter[str]
    settled: int | None
    messages: int
    lost: bool  # no quorum had its state: an operator said reset


def play(schedule: Schedule, agent: type[Agent] = Agent, storage_fault: str = "") -> Verdict:
    """Play and judge."""
    world = RolloutSimulation(schedule, agent, storage_fault)
    for name in world.names:
        world.start(name)
    world.run(SECOND)
    world.reset(world.voters[0])
    world.run(4 * SECOND)
    for step in schedule.steps:
        world.at(world.now + step.at, lambda step=step: world.step(step))  # type: ignore[misc]
    last = max((s.at + min(s.span, 8 * SECOND) for s in schedule.steps), default=0)
    world.run(world.now + last + 4 * SECOND)
    # The last fault is over.
    world.cut.clear()
    world.loss = world.doubled = 0.0
    world.disk_delay = 3 * MS
    world.down.clear()
    world.down_since.clear()
    for name in world.names:
        if name not in world.running:
            world.start(name)
    for process in list(world.running.values()):
        process.stalled_until = min(process.stalled_until, world.now)
        world._resume(process)
    world.run(world.now + 2 * SECOND)
    lost = stuck(world)
    if lost:  # an operator's hand, at the voter that knows most
        counted = Counter(world.referee.counts)
        world.run(world.now + 10 * SECOND)
        if world.referee.counts != counted:
            world.referee.fault("decided without a quorum")
        best = max(
            (p.agent for p in world.running.values() if p.agent.node is not None),
            key=lambda a: (a.epoch, a.replicated.index),
        )
        world.reset(best.name)
    settled = world.until(lambda: finished(world), 90 * SECOND, 200 * MS)
    if settled is None:
        world.referee.fault(f"not finished 90 s after the last fault: {unfinished(world)}")
    return Verdict(list(world.referee.violations), world.referee.counts, settled, world.sent, lost)


def stuck(world: RolloutSimulation) -> bool:
    """Whether no majority of the voters of any configuration that could decide has its state: an operator has
    to say ``agree reset``."""
    voters = [p.agent.node for p in world.running.values() if p.agent.node is not None]
    best = max((n.epoch for n in voters), default=Epoch())
    inside = [n for n in voters if n.epoch == best and n.identity in n.voters]
    return not any(2 * sum(other.identity in n.voters for other in inside) > len(n.voters) for n in inside)


def unfinished(world: RolloutSimulation) -> str:
    leaders = [p.agent for p in world.running.values() if p.agent.is_leader]
    if not leaders:
        return "no leader"
    agent = max(leaders, key=lambda a: (a.epoch, a.node.term if a.node else 0))
    replicated, controller = agent.replicated, agent.controller
    names = {n for n in world.running}
    for process in world.running.values():
        if process.agent.replicated.index != replicated.index or process.agent.epoch != agent.epoch:
            return f"{process.name} is behind: {process.agent.replicated.index} of {replicated.index}"
        targets = process.agent.replicated.state.desired_digests
        if (
            targets.get(process.name, process.digest) != process.digest
            and not process.agent.holder.failed_bundles
        ):
            return f"{process.name} runs with {process.digest or 'its file'}"
    if agent.node is not None and {v.name for v in agent.node.voters} != set(world.voters):
        return "voters are missing"
    if set(replicated.state.budgets) != set(world.voters):
        return "budgets are missing"
    why = controller.reason if controller is not None else ""
    for permit in replicated.state.permits.values():
        if permit.kind == ResourceKind.PROXY or not permit.drained:
            return f"permit of {permit.resource.name}: {why}"
    release = replicated.current_release
    if release is not None and release.state in ACTIVE_STATES:
        return f"release {release.id} is {release.state}: {why}"
    if replicated.state.drain_requests and not any(
        p.kind == ResourceKind.ENDPOINT for p in replicated.state.permits.values()
    ):
        return f"drains wait: {why}"
    return "" if names == set(world.names) else "processes are missing"


def finished(world: RolloutSimulation) -> bool:
    """Each plan is done, halted with a reason, or back; each drain is safe or waits behind others."""
    return not unfinished(world)
