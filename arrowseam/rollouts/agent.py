"""The rollout agent of one proxy: voter or not, leader or not, and holder of permits.

An agent is a state machine without I/O or a clock: its runtime reports events together with the current time
and carries out the effects that each event returns. Serving traffic never waits for it.

Times are in microseconds of a monotonic clock, except ``wall_ms``, which is Unix time in milliseconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from arrowseam.config.budgets import DisruptionBudgets
from arrowseam.consensus import effects as consensus
from arrowseam.consensus.messages import (
    AppendEntries,
    Checkpoint,
    Entry,
    EntryKind,
    Epoch,
    InstallSnapshot,
    RaftMessage,
    RequestVote,
    Snapshot,
    Voter,
)
from arrowseam.consensus.node import Node, Role
from arrowseam.rollouts.budgets import ResourceKind
from arrowseam.rollouts.commands import Command, GrantPermit, HaltRelease, SetBudgets, decode_command, encoder
from arrowseam.rollouts.controller import Controller, Inputs
from arrowseam.rollouts.effects import AnnounceHalt, CommandResult, Effect, LogEvent, SendMessage
from arrowseam.rollouts.gates import Counters
from arrowseam.rollouts.messages import (
    CommandReply,
    CommandRequest,
    LogCatchUp,
    Message,
    ProxyStatus,
    StatusReport,
)
from arrowseam.rollouts.observed import ClusterState
from arrowseam.rollouts.pending_commands import PendingCommands
from arrowseam.rollouts.permit_holder import PermitHolder
from arrowseam.rollouts.replicated_state import REPEATED, ReplicatedState
from arrowseam.rollouts.state import Decision
from arrowseam.rollouts.status_board import StatusBoard

MS, SECOND = 1_000, 1_000_000
LOG_ENTRIES_MAX = 512  # committed entries; with more the log is compacted into a snapshot
LOG_BYTES_MAX = 256 << 10  # likewise; a checkpoint is sent as one line to the worker that stores it
CATCH_UP_ENTRIES_MAX = 64  # per message


@dataclass(frozen=True)
class AgentSettings:
    """Settings from the operator file, and intervals in microseconds."""

    fleet: str = "fleet"
    voters: tuple[str, ...] = ()
    budgets: DisruptionBudgets = field(default_factory=DisruptionBudgets)
    heartbeat_interval: int = 100 * MS
    election_timeout: int = 500 * MS  # the minimum; each is drawn between this and twice as much
    report_interval: int = SECOND
    control_interval: int = 200 * MS  # between decisions of a leader


@dataclass
class Timers:
    """When each timer expires."""

    election: int = 0
    heartbeat: int = 0
    report: int = 0
    control: int = 0


class Agent:
    """The agent of one proxy. Event methods return the effects that the runtime must carry out."""

    # The types of its components; tests replace them with faulty ones.
    node_type: type[Node] = Node
    state_type: type[ReplicatedState] = ReplicatedState
    controller_type: type[Controller] = Controller
    holder_type: type[PermitHolder] = PermitHolder

    def __init__(
        self,
        name: str,
        started_at: int,
        nonce: int,
        settings: AgentSettings,
        rnd: random.Random,
        stored: Checkpoint | None = None,
        digest: str = "",
        durable: bool = False,
        connections_to: Callable[[str], int] = lambda _endpoint: 0,
    ) -> None:
        """``started_at`` orders the processes of this name; ``nonce`` distinguishes voters of the same name.

        ``stored`` is the voter state of an earlier process; ``durable`` says whether the state of this one
        outlives it. ``connections_to`` counts our connections to an endpoint, including those being set up.
        """
        self.name, self.settings, self.rnd = name, settings, rnd
        self.replicated = self.state_type()
        self.epoch = Epoch()  # of the replicated state
        self.latest_epoch = Epoch()  # the latest that any proxy has reported
        self.node: Node | None = None
        if name in settings.voters:
            self.node = self.node_type(Voter(name, nonce), stored, settings.voters)
            self.epoch = self.node.epoch
            if stored is not None:
                self.replicated.load(stored.snapshot.index, stored.snapshot.state)
        self.holder = self.holder_type(name, started_at, digest, self.replicated)
        self.durable, self.version, self.counters = durable, "", Counters()
        self.status_board = StatusBoard()
        self.next_timer = 0
        self.controller: Controller | None = None  # only while this proxy leads
        self._first_grants: dict[int, int] = {}  # release -> second of its first grant
        self._proposed_index = 0  # of the controller's last proposal; the next one waits until it is applied
        self._known_leader = ""  # as reported to a proxy that is not a voter
        self._connections_to, self._reported_connections = connections_to, dict[str, int]()
        self._pending = PendingCommands()
        self._budgets_command_id = 0
        self._reports_sent = 0
        self._timers = Timers()
        self._is_reconciled = True  # whether the permit holder is up to date with the replicated state
        self._now = self._wall_ms = 0
        self._effects: list[Effect] = []

    # --- events -------------------------------------------------------------------------------------------

    def start(self, now: int, wall_ms: int) -> list[Effect]:
        """Start. The first report is sent at once: a starting proxy needs to learn what is out."""
        self._begin_event(now, wall_ms)
        self._timers = Timers(
            election=now + self._draw_election_timeout(), heartbeat=now, report=now, control=now
        )
        return self._end_event()

    def on_timer(self, now: int, wall_ms: int) -> list[Effect]:
        """The time ``next_timer`` has been reached."""
        self._begin_event(now, wall_ms)
        timers = self._timers
        if self.node is not None and timers.election <= now:
            timers.election = now + self._draw_election_timeout()
            self._apply(self.node.on_election_timeout())
        if self.node is not None and timers.heartbeat <= now:
            timers.heartbeat = now + self.settings.heartbeat_interval
            self._apply(self.node.send_heartbeats())
        if timers.control <= now:
            timers.control = now + self.settings.control_interval
            self._on_control_timer()
        if timers.report <= now:
            self.holder.report_due = True
        return self._end_event()

    def on_message(self, now: int, wall_ms: int, message: Message) -> list[Effect]:
        """A message has arrived."""
        self._begin_event(now, wall_ms)
        match message:
            case StatusReport():
                self._on_status_report(message)
            case LogCatchUp():
                self._on_log_catch_up(message)
            case CommandRequest():
                self._on_command_request(message)
            case CommandReply():
                self._on_command_reply(message)
            case _:
                self._on_raft_message(message)
        return self._end_event()

    def on_records_stored(self, now: int, wall_ms: int, token: int) -> list[Effect]:
        """The records of ``Persist`` with this token, and of those before it, are stored."""
        self._begin_event(now, wall_ms)
        if self.node is not None:
            self._apply(self.node.on_records_stored(token))
        return self._end_event()

    def on_storage_failed(self, now: int, wall_ms: int, reason: str) -> list[Effect]:
        """The voter state could not be stored: this proxy has no vote until its process is restarted."""
        self._begin_event(now, wall_ms)
        if self.node is not None and self.node.role is not Role.FAILED:
            text = f"voter state cannot be stored, this proxy no longer votes: {reason}"
            self._log("rollouts.storage_failed", text, "error")
            self._apply(self.node.on_storage_failed())
        return self._end_event()

    def on_cluster_state(self, now: int, wall_ms: int, cluster: ClusterState) -> list[Effect]:
        """The observations outside the log have changed."""
        self._begin_event(now, wall_ms)
        if cluster.halts != self.holder.cluster.halts:
            self._is_reconciled = False
        self.holder.cluster = cluster
        return self._end_event()

    def on_own_status(
        self, now: int, wall_ms: int, serving: bool, counters: Counters | None = None
    ) -> list[Effect]:
        """Update whether this proxy serves traffic, and its counters."""
        self._begin_event(now, wall_ms)
        if serving != self.holder.serving:
            self._is_reconciled, self.holder.report_due = False, True
        self.holder.serving = serving
        if counters is not None:
            self.counters = counters
        return self._end_event()

    def on_permit_executed(
        self, now: int, wall_ms: int, permit_id: int, digest: str, failure: str = ""
    ) -> list[Effect]:
        """``ExecutePermit`` has completed or failed; ``digest`` is that of the bundle now in effect."""
        self._begin_event(now, wall_ms)
        before = self.holder.digest
        self.holder.on_permit_executed(permit_id, digest, failure)
        if failure:
            text = f"permit {permit_id} failed: {failure}; still runs with {before or 'its own file'}"
            self._log("rollouts.permit_failed", text, "error")
        elif permit_id:
            self._log(
                "rollouts.permit_executed",
                f"permit {permit_id} executed: runs with {digest or 'its own file'}",
            )
        self._is_reconciled = False
        return self._end_event()

    def on_bundle_checked(self, now: int, wall_ms: int, digest: str, failure: str) -> list[Effect]:
        """``CheckBundle`` has completed; ``failure`` is why the bundle cannot be applied, or empty."""
        self._begin_event(now, wall_ms)
        self.holder.on_bundle_checked(digest, failure)
        return self._end_event()

    # --- requests of operators ----------------------------------------------------------------------------

    def submit(self, now: int, wall_ms: int, command: Command) -> tuple[int, list[Effect]]:
        """Submit a command to the log and return its id, which its ``CommandResult`` carries. It is resent
        until a reply arrives; the id makes that safe."""
        self._begin_event(now, wall_ms)
        command_id = self.rnd.getrandbits(53) or 1
        self._submit(msgspec.structs.replace(command, id=command_id, at_ms=max(0, wall_ms)))
        return command_id, self._end_event()

    def forget_command(self, command_id: int) -> None:
        """Stop waiting for the result of a command; it may still be committed."""
        self._pending.take(command_id)

    def announce_halt(self, now: int, wall_ms: int, release_id: int) -> list[Effect]:
        """Halt a release on all proxies that gossip reaches, without a quorum."""
        self._begin_event(now, wall_ms)
        self._effects.append(AnnounceHalt(release_id))
        return self._end_event()

    def begin_epoch(self, now: int, wall_ms: int) -> tuple[str, list[Effect]]:
        """Start a new epoch from the state of this proxy; returns why it cannot, or empty."""
        self._begin_event(now, wall_ms)
        if self.node is None or self.node.role is Role.FAILED:
            return "this proxy is not a voter", self._end_event()
        text = f"new epoch started here from entry {self.replicated.index}"
        self._log("rollouts.epoch_begun", text, "warning")
        epoch_number = max(self.latest_epoch, self.epoch).number + 1
        epoch = Epoch(epoch_number, self.rnd.getrandbits(53))
        self._apply(self.node.begin_epoch(epoch, self.replicated.save(), self.replicated.index))
        return "", self._end_event()

    # --- start and end of each event ----------------------------------------------------------------------

    def _begin_event(self, now: int, wall_ms: int) -> None:
        self._now, self._wall_ms, self._effects = now, wall_ms, []

    def _end_event(self) -> list[Effect]:
        """Reconcile once, after all entries of the event: a permit may end in the event that granted it."""
        if not self._is_reconciled:
            self._is_reconciled = True
            self._effects += self.holder.reconcile()
        if self.holder.report_due:
            self._send_reports()
        timers = self._timers
        self.next_timer = min(timers.report, timers.control)
        if self.node is not None:
            self.next_timer = min(self.next_timer, timers.election)
            if self.node.role is Role.LEADER:
                self.next_timer = min(self.next_timer, timers.heartbeat)
        return self._effects

    def _draw_election_timeout(self) -> int:
        return int(self.settings.election_timeout * (1.0 + self.rnd.random()))

    def _log(self, event: str, text: str, level: str = "info") -> None:
        self._effects.append(LogEvent(event, text, level))

    def _send(self, to: str, message: Message) -> None:
        self._effects.append(SendMessage(to, message))

    # --- consensus ----------------------------------------------------------------------------------------

    @property
    def is_leader(self) -> bool:
        """Whether this proxy leads the voters."""
        return self.node is not None and self.node.role is Role.LEADER

    @property
    def leader_name(self) -> str:
        """The leader, if known, or empty."""
        if self.node is not None and self.node.role is not Role.NON_VOTER:
            return self.node.leader or ""
        return self._known_leader

    def _on_raft_message(self, message: RaftMessage) -> None:
        node = self.node
        if node is None:
            return
        self._apply(node.on_message(message))
        is_leader = isinstance(message, AppendEntries | InstallSnapshot) and (
            node.leader == message.sender.name
        )
        got_vote = (
            isinstance(message, RequestVote) and not message.pre_vote and node.voted_for == message.sender
        )
        # A non-voter keeps asking to join: a message to it may be meant for the previous voter of its name.
        if (is_leader or got_vote) and node.role is not Role.NON_VOTER:
            self._timers.election = self._now + self._draw_election_timeout()

    def _apply(self, effects: list[consensus.Effect]) -> None:
        """Carry out the node's effects, then compact its log if it has grown too long."""
        node = self.node
        assert node is not None
        for effect in effects:
            match effect:
                case consensus.Send(to, message):
                    self._send(to, message)
                case consensus.Persist():
                    self._effects.append(effect)
                case consensus.Commit(index, entry):
                    self._on_committed(index, entry)
                case consensus.Restore(index, state):
                    if self.epoch != node.epoch:
                        self.status_board.reports.clear()
                    self.epoch = node.epoch
                    self.replicated.load(index, state)
                    self._is_reconciled = False
                case consensus.RoleChanged():
                    self._on_role_changed()
        committed = node.commit_index - node.log.snapshot.index
        too_long = committed > LOG_ENTRIES_MAX or (
            committed and sum(len(entry.data) for entry in node.log.entries) > LOG_BYTES_MAX
        )
        if too_long and self.replicated.index == node.commit_index:
            self._apply(node.compact(self.replicated.index, self.replicated.save()))

    def _on_role_changed(self) -> None:
        node = self.node
        assert node is not None
        if node.role is Role.LEADER and self.controller is None:
            self.controller = self.controller_type(self._now, self.rnd)
            self._proposed_index = 0
            self._timers.heartbeat = self._now + self.settings.heartbeat_interval
            self._log("rollouts.leading", f"leader in term {node.term} of epoch {node.epoch.number}")
        elif node.role is not Role.LEADER and self.controller is not None:
            self.controller = None
            self._pending.drop_requested()
            text = f"no longer leader; term {node.term}, leader {node.leader or 'unknown'}"
            self._log("rollouts.following", text)

    def _on_committed(self, index: int, entry: Entry) -> None:
        changed_state = self._apply_entry(index, entry)
        if self.controller is not None:
            if changed_state:
                self._timers.control = self._now  # propose the next command at once
            for name in self._followers():
                self._send_catch_up(name)

    def _apply_entry(self, index: int, entry: Entry) -> bool:
        """Apply a committed entry; False for a command that was rejected or is unknown here."""
        if entry.kind != EntryKind.COMMAND:
            self.replicated.state.index = index
            return True
        decision = self.replicated.apply(index, entry.data)
        if decision is None:
            return False
        self._on_decision(decision, entry.data)
        return not decision.rejection

    def _on_decision(self, decision: Decision, data: bytes) -> None:
        """A committed command was carried out or rejected."""
        if decision.rejection != REPEATED:
            text = f"refused, {decision.rejection}" if decision.rejection else decision.text
            level = "warning" if decision.rejection else "info"
            self._log("rollouts.command_decided", f"{decision.index}: {decision.command}: {text}", level)
        command = decode_command(data)
        if isinstance(command, GrantPermit) and not decision.rejection:
            if command.release_id:
                self._first_grants.setdefault(command.release_id, self._now // SECOND)
            if self.controller is not None:
                self.controller.on_committed(self._now, command)
        if decision.rejection != REPEATED:
            self._reply_to_command(decision)
        self._is_reconciled = False

    def _reply_to_command(self, decision: Decision) -> None:
        pending = self._pending.take(decision.id)
        if pending is None:
            return
        text, rejection, index = decision.text, decision.rejection, decision.index
        if pending.requested_by:
            reply = CommandReply(self.name, decision.id, text, rejection, index)
            self._send(pending.requested_by, reply)
        elif decision.id != self._budgets_command_id:
            self._effects.append(CommandResult(decision.id, text, rejection, index))

    # --- proposals of a leader ----------------------------------------------------------------------------

    def _on_control_timer(self) -> None:
        for command_id, data in self._pending.due_for_retry(self._now):
            self._forward(command_id, data)
        self._submit_own_budgets()
        if any(count and not self._connections_to(e) for e, count in self._reported_connections.items()):
            self.holder.report_due = True  # our last connection to an endpoint that is out has ended
        node = self.node
        if node is None or self.controller is None or node.role is not Role.LEADER:
            return
        self._apply(node.change_voters(self.replicated.out_by_plan(ResourceKind.PROXY)))
        if node.role is Role.LEADER and self._proposed_index <= self.replicated.index:
            self._propose_next(node, self.controller)

    def _propose_next(self, node: Node, controller: Controller) -> None:
        for voter in self.replicated.state.budgets:
            if voter not in self.settings.voters:
                self._propose(SetBudgets(voter=voter, budgets=None))
                return
        inputs = Inputs(
            self._now, self.replicated, self.holder.cluster, self.status_board.reports,
            self.status_board.history,
            self._voters_responding(node), self._first_grants,
        )  # fmt: skip
        command = controller.decide(inputs)
        if command is not None:
            self._propose(command)
            if isinstance(command, HaltRelease):
                self._effects.append(AnnounceHalt(command.release_id))

    def _voters_responding(self, node: Node) -> dict[str, bool]:
        """For each configured voter, whether it responds; all False while the set of voters is changing."""
        responsive = node.responsive | node.responsive_before | {node.identity}
        configured = self.settings.voters
        is_complete = {v.name for v in node.voters} >= set(configured) and node.is_configuration_committed
        responding = {v.name for v in node.voters if v in responsive}
        return {name: is_complete and name in responding for name in configured}

    def _propose(self, command: Command) -> None:
        node = self.node
        assert node is not None
        stamped = msgspec.structs.replace(command, by=command.by or self.name, at_ms=max(0, self._wall_ms))
        index, effects = node.propose(encoder.encode(stamped))
        self._proposed_index = index or 0
        self._apply(effects)

    # --- commands -----------------------------------------------------------------------------------------

    def _submit_own_budgets(self) -> None:
        """A voter submits the budgets of its own operator file when the replicated ones differ."""
        budgets = self.settings.budgets
        if self.name not in self.settings.voters or self._budgets_command_id in self._pending:
            return
        if self.replicated.index and self.replicated.state.budgets.get(self.name) != budgets:
            command_id = self._budgets_command_id = self.rnd.getrandbits(53) or 1
            at_ms = max(0, self._wall_ms)
            self._submit(
                SetBudgets(voter=self.name, budgets=budgets, by=self.name, id=command_id, at_ms=at_ms)
            )

    def _submit(self, command: Command) -> None:
        data = encoder.encode(command)
        self._pending.add_own(command.id, data, self._now)
        self._forward(command.id, data)

    def _forward(self, command_id: int, data: bytes) -> None:
        if self.is_leader:
            self._append_command(command_id, data)
        elif self.leader_name:
            self._send(self.leader_name, CommandRequest(self.epoch, self.name, command_id, data))

    def _append_command(self, command_id: int, data: bytes) -> None:
        assert self.node is not None
        if command_id in self.replicated.state.applied_ids:
            return
        _, effects = self.node.propose(data)
        self._apply(effects)

    def _on_command_request(self, message: CommandRequest) -> None:
        if message.epoch != self.epoch or not self.is_leader:
            return
        if message.id in self.replicated.state.applied_ids:
            self._repeat_reply(message)
            return
        command = decode_command(message.command)
        if command is None or command.id != message.id:
            rejection = "not a command of this version"
            self._send(message.sender, CommandReply(self.name, message.id, "", rejection))
            return
        if message.id not in self._pending:
            self._pending.add_requested(message.id, message.command, self._now, message.sender)
            self._append_command(message.id, message.command)

    def _repeat_reply(self, message: CommandRequest) -> None:
        """Reply again to a command that was already applied: the first reply was lost."""
        for decision in reversed(self.replicated.state.history):
            if decision.id == message.id and decision.rejection != REPEATED:
                text, rejection, index = decision.text, decision.rejection, decision.index
                self._send(message.sender, CommandReply(self.name, message.id, text, rejection, index))
                return

    def _on_command_reply(self, message: CommandReply) -> None:
        if self._pending.take_own(message.id) is None:
            return
        if message.id != self._budgets_command_id:
            self._effects.append(CommandResult(message.id, message.text, message.rejection, message.index))

    # --- status reports -----------------------------------------------------------------------------------

    def _send_reports(self) -> None:
        """Report our status to all voters. A non-voting proxy asks one of them, in turn, for entries."""
        holder = self.holder
        holder.report_due = False
        self._timers.report = self._now + self.settings.report_interval
        self._reported_connections = {e: self._connections_to(e) for e in holder.endpoints_out}
        status = ProxyStatus(
            self.name, holder.started_at, self.replicated.index, holder.digest, holder.serving,
            list(holder.completed), list(holder.unused), dict(holder.failed),
            dict(self._reported_connections), holder.bundle_checks, self.counters, self.version, self.durable,
        )  # fmt: skip
        self.status_board.record(self._now, status)
        self._reports_sent += 1
        voters = self.settings.voters
        for n, voter in enumerate(voters):
            wants_entries = self.node is None and n == self._reports_sent % len(voters)
            if voter != self.name:
                self._send(voter, StatusReport(self.epoch, status, wants_entries))

    def _on_status_report(self, message: StatusReport) -> None:
        status = message.status
        self.latest_epoch = max(self.latest_epoch, message.epoch)
        if message.epoch != self.epoch:
            if message.epoch < self.epoch and (message.wants_entries or self.is_leader):
                self._send_catch_up(status.name, from_start=True)
            return
        if self.status_board.is_outdated(status):
            return
        self.status_board.record(self._now, status)
        has_log = self.node is not None and status.name in {v.name for v in self.node.progress}
        if status.applied_index < self.replicated.index and (
            message.wants_entries or (self.is_leader and not has_log)
        ):
            self._send_catch_up(status.name)

    # --- catching up proxies that are not voters ----------------------------------------------------------

    def _followers(self) -> list[str]:
        """Proxies that report and are not sent the log by Raft."""
        node = self.node
        assert node is not None
        with_log = {v.name for v in node.progress} | {node.identity.name}
        return [name for name in self.status_board.recent(self._now) if name not in with_log]

    def _send_catch_up(self, to: str, from_start: bool = False) -> None:
        """Send the committed entries that a proxy lacks, by its last report."""
        node = self.node
        if node is None or node.role is Role.NON_VOTER or node.epoch != self.epoch:
            return
        first, snapshot, log = 1, None, node.log
        if not from_start:
            first = self.status_board.applied_index(to) + 1
        if first <= log.snapshot.index:
            snapshot = Snapshot(self.replicated.index, 0, (), self.replicated.save())
            first = self.replicated.index + 1
        offset = first - log.snapshot.index - 1
        end = min(offset + CATCH_UP_ENTRIES_MAX, node.commit_index - log.snapshot.index)
        entries = log.entries[offset:end]
        self._send(to, LogCatchUp(self.epoch, self.name, self.leader_name, snapshot, first, entries))

    def _on_log_catch_up(self, message: LogCatchUp) -> None:
        if self.node is not None or message.epoch < self.epoch:
            return  # a voter gets entries through Raft, even before it has joined
        if message.epoch > self.epoch:
            self.epoch = message.epoch
            self.replicated.load(0, b"")
        self._known_leader = message.leader or self._known_leader
        snapshot = message.snapshot
        if snapshot is not None and snapshot.index > self.replicated.index:
            self.replicated.load(snapshot.index, snapshot.state)
            self._is_reconciled = False
        for index, entry in enumerate(message.entries, message.first_index):
            if index == self.replicated.index + 1:
                self._apply_entry(index, entry)
                self.holder.report_due = True
