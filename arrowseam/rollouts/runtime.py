"""Runs a proxy's rollout agent on the event loop: connects it to sockets, storage, settings and control.

All decisions are made by the agent and its components. Serving traffic never waits for them: with all voters
gone, it continues unchanged.
"""

from __future__ import annotations

import random
import secrets
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import replace

from arrowseam import __version__
from arrowseam.address import parse_address
from arrowseam.config.operator import Agree
from arrowseam.consensus import framing
from arrowseam.consensus.effects import Persist
from arrowseam.consensus.messages import Checkpoint
from arrowseam.consensus.storage import state_file_path
from arrowseam.logs import log
from arrowseam.membership.runtime import MembershipRuntime
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine, Task
from arrowseam.request_handling.requests import RequestHandler
from arrowseam.rollouts.agent import Agent, AgentSettings
from arrowseam.rollouts.cluster_observer import HALT_PREFIX, observe_cluster
from arrowseam.rollouts.commands import Command, ReleaseKind
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
from arrowseam.rollouts.gates import Counters
from arrowseam.rollouts.messages import Message, decode_message, encode_message
from arrowseam.rollouts.observed import ClusterState
from arrowseam.rollouts.operator_commands import NOT_STARTED, Answer, OperatorCommands
from arrowseam.rollouts.status_rows import Row, counter_lines, rollout_rows, unstarted_row
from arrowseam.rollouts.storage_worker import StorageWorker
from arrowseam.workers.process import WorkerEndedError

NO_ROOM_FOR_HALT = "halt not announced: the cluster holds too many cordons and halts"
OBSERVE_INTERVAL = 200 * MS
COMMAND_TIMEOUT = 5 * SECOND  # after which an operator is told that the command was not agreed
START_POLL_INTERVAL = 20 * MS
APPLY_POLL_INTERVAL = 10 * MS


def unix_ms() -> int:
    """Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class RolloutRuntime:
    """Runs the agent of this proxy."""

    def __init__(
        self,
        loop: EventLoop,
        request_handler: RequestHandler,
        membership: MembershipRuntime,
        settings: Agree,
        state_dir: str,
        apply_bundle: Callable[[bytes], str],
        check_bundle: Callable[[bytes], str],
        restart: Callable[[], str],
        is_ready: Callable[[], bool],
    ) -> None:
        """``apply_bundle`` applies a bundle of settings (empty: the proxy's own file), ``check_bundle`` only
        checks whether it could be applied, ``restart`` starts another process of this proxy: each returns why
        it failed, or empty. The agent starts once ``is_ready``: the previous process has let go."""
        self.loop, self.request_handler = loop, request_handler
        self.membership, self.settings = membership, settings
        self.apply_bundle, self.check_bundle, self.restart, self.is_ready = (
            apply_bundle,
            check_bundle,
            restart,
            is_ready,
        )
        self.state_dir = state_dir
        self.name = membership.config.name
        self.agent: Agent | None = None
        self.transport_counters: Counter[str] = Counter()
        self.storage_error = ""
        self._commands = OperatorCommands(self)
        self._addresses = {name: parse_address(text) for name, text in settings.voters.items()}
        self._worker: StorageWorker | None = None
        self._results: dict[int, CommandResult] = {}
        self._waiting: dict[int, Task | None] = {}
        self._stopped = False
        membership.foreign_frame_handler = self._on_frame
        membership.on_mark = self._on_cluster_changed
        self._task = loop.start_task(self._run(), "agreement")

    # --- lifetime -----------------------------------------------------------------------------------------

    def _run(self) -> Coroutine[None]:
        while not self.is_ready() or self.membership.peers is None:
            if self._stopped:
                return
            pause = clock() + START_POLL_INTERVAL
            while clock() < pause:
                yield pause
        has_vote, stored = yield from self._load_state()
        if self._stopped:
            return
        agent = self._create_agent(has_vote, stored)
        self._execute(agent.start(clock(), unix_ms()))
        observed_at = 0
        while not self._stopped:
            now = clock()
            if now - observed_at >= OBSERVE_INTERVAL:
                observed_at = now
                self._on_cluster_changed()
            if agent.next_timer <= now:
                self._execute(agent.on_timer(now, unix_ms()))
            yield min(agent.next_timer, observed_at + OBSERVE_INTERVAL)

    def _load_state(self) -> Coroutine[tuple[bool, Checkpoint | None]]:
        """Whether this proxy may vote, and its stored voter state. A state that cannot be read may contain a
        vote: without it this proxy must not vote under its name."""
        if self.name not in self.settings.voters:
            return False, None
        if not self.state_dir:
            return True, None
        try:
            self._worker = StorageWorker(self.loop, state_file_path(self.state_dir, self.name))
            return True, (yield from self._worker.load())
        except (WorkerEndedError, OSError, ValueError) as error:
            if not isinstance(error, WorkerEndedError):
                self._worker = None
            self.storage_error = str(error)
            text = f"agree: voter state cannot be loaded, this proxy does not vote: {error}"
            log("rollouts.storage_failed", text, "error")
            return False, None

    def _create_agent(self, has_vote: bool, stored: Checkpoint | None) -> Agent:
        voters = tuple(name for name in self.settings.voters if has_vote or name != self.name)
        settings = AgentSettings(
            fleet=self.membership.fleet.name, voters=voters, budgets=self.settings.budgets
        )
        agent = self.agent = Agent(
            self.name,
            self.membership.view.me.started_at,
            secrets.randbits(62),
            settings,
            random.Random(secrets.randbits(64)),
            stored,
            durable=self._worker is not None,
            connections_to=self._connections_to,
        )
        agent.version = __version__
        return agent

    def stop(self) -> None:
        """Send and store nothing more."""
        self._stopped = True
        if self._worker is not None:
            self._worker.close()
        self.membership.foreign_frame_handler = self.membership.on_mark = None
        self.loop.wake(self._task)

    def update_settings(self, settings: Agree) -> None:
        """Apply changed budgets or voters from the operator file."""
        agent, former = self.agent, self.settings
        self.settings = settings
        self._addresses |= {name: parse_address(text) for name, text in settings.voters.items()}
        if agent is None:
            return
        voters = tuple(settings.voters)
        if agent.node is None and self.name in voters:
            log("rollouts.restart_needed", "agree: becomes a voter only after a restart", "warning")
            voters = tuple(name for name in voters if name != self.name)
        agent.settings = replace(agent.settings, budgets=settings.budgets, voters=voters)
        if agent.node is not None:
            agent.node.wanted_voters = voters
        if former != settings:
            log("rollouts.settings_updated", f"agree: {len(voters)} voters, budgets {settings.budgets}")

    # --- messages -----------------------------------------------------------------------------------------

    def _on_frame(self, data: bytes) -> bool:
        """Handle a frame that arrived on the membership's sockets; False if it is not a rollout frame."""
        if data[: len(framing.MAGIC)] != framing.MAGIC:
            return False
        if self.agent is not None and not self._stopped:
            try:
                message = decode_message(data, self.membership.fleet.name)
            except framing.FrameError:
                self.transport_counters["junk"] += 1
                return True
            self.transport_counters["messages_in"] += 1
            self._execute(self.agent.on_message(clock(), unix_ms(), message))
        return True

    def _send(self, to: str, message: Message) -> None:
        peers = self.membership.peers
        record = self.membership.view.records.get(to)
        address = self._addresses.get(to) or (record.address if record is not None else None)
        if peers is None or address is None:
            self.transport_counters["unsent"] += 1
            return
        data = encode_message(self.membership.fleet.name, message)
        self.transport_counters["messages_out"] += 1
        self.transport_counters["bytes_out"] += len(data)
        if len(data) <= framing.DATAGRAM_MAX:
            peers.send(address, data)
        else:
            peers.request(address, len(data).to_bytes(4, "big") + data, _ignore_answer)

    # --- effects ------------------------------------------------------------------------------------------

    def _execute(self, effects: list[Effect]) -> None:
        for effect in effects:
            self._execute_one(effect)
        agent = self.agent
        if agent is not None and (self._task.wake_at is None or agent.next_timer < self._task.wake_at):
            self.loop.wake(self._task)

    def _execute_one(self, effect: Effect) -> None:
        match effect:
            case SendMessage(to, message):
                self._send(to, message)
            case Persist():
                self._persist(effect)
            case ExecutePermit():
                self.loop.start_task(self._execute_permit(effect), "permit")
            case CheckBundle(digest, bundle):
                self.loop.start_task(self._check_bundle(digest, bundle), "bundle")
            case CordonEndpoint(endpoint, out):
                self._cordon(endpoint, out)
            case AnnounceHalt(release_id):
                self._announce_halt(release_id)
            case CommandResult():
                self._on_command_result(effect)
            case LogEvent(event, text, level):
                log(event, f"agree: {text}", level)

    def _announce_halt(self, release_id: int) -> None:
        """Announce a halt through gossip; one that was resumed no longer holds and is announced anew."""
        agent = self.agent
        release = agent.replicated.state.releases.get(release_id) if agent is not None else None
        is_halted = release is not None and agent is not None and agent.holder.is_halted(release)
        self.membership.set_cordon(f"{HALT_PREFIX}{release_id}", True, renew=not is_halted)

    def _persist(self, effect: Persist) -> None:
        if self._worker is not None:
            self._worker.store(effect, self._on_records_stored, self._on_storage_failed)
            return
        # Without a state directory the state ends with the process, and there is nothing to store.
        self._on_records_stored(effect.token)

    def _on_records_stored(self, token: int) -> None:
        if self.agent is not None and not self._stopped:
            self._execute(self.agent.on_records_stored(clock(), unix_ms(), token))

    def _on_storage_failed(self, reason: str) -> None:
        self.storage_error = reason
        if self.agent is not None and not self._stopped:
            self._execute(self.agent.on_storage_failed(clock(), unix_ms(), reason))

    def _cordon(self, endpoint: str, out: bool) -> None:
        text = f"agree: {endpoint} {'is out by plan' if out else 'is no longer out by plan'}"
        log("rollouts.endpoint_out", text, server=endpoint, out=out)
        if out or endpoint not in self.membership.view.cordons.cordoned():  # an operator's cordon stays
            self.request_handler.driver.cordon_by_name(endpoint, out)

    def _on_command_result(self, result: CommandResult) -> None:
        if result.id in self._waiting:
            self._results[result.id] = result
            self.loop.wake(self._waiting[result.id])

    def _execute_permit(self, effect: ExecutePermit) -> Coroutine[None]:
        yield from self.loop.yield_turn()
        agent = self.agent
        if agent is None or self._stopped:
            return
        text = f"agree: permit {effect.permit_id}: {effect.kind} {effect.digest or 'own file'}"
        log("rollouts.permit_begun", text)
        if effect.kind == ReleaseKind.RESTART:
            failure, digest = self.restart(), agent.holder.digest
            if not failure:
                return  # the process that takes over reports the permit as completed
        else:
            failure = self.apply_bundle(effect.bundle)
            digest = agent.holder.digest if failure else effect.digest
        self._execute(agent.on_permit_executed(clock(), unix_ms(), effect.permit_id, digest, failure))

    def _check_bundle(self, digest: str, bundle: bytes) -> Coroutine[None]:
        yield from self.loop.yield_turn()
        if self.agent is not None and not self._stopped:
            failure = self.check_bundle(bundle)
            self._execute(self.agent.on_bundle_checked(clock(), unix_ms(), digest, failure))

    # --- observations -------------------------------------------------------------------------------------

    def _on_cluster_changed(self) -> None:
        agent = self.agent
        if agent is None or self._stopped:
            return
        now, wall_ms = clock(), unix_ms()
        serving = self._is_serving()
        self._execute(agent.on_own_status(now, wall_ms, serving, self._counters()))
        agent.holder.started_at = max(agent.holder.started_at, self.membership.view.me.started_at)
        self._execute(agent.on_cluster_state(now, wall_ms, self.observe()))

    def _is_serving(self) -> bool:
        handler = self.request_handler
        return bool(handler.driver.endpoint_count) and not handler.is_draining and self.is_ready()

    def _counters(self) -> Counters:
        statistics = self.request_handler.statistics
        total: Counter[str] = Counter()
        for (_, outcome), count in statistics.answers.items():
            total[outcome] += count
        return Counters(
            setups=total["success"] + total["overload"] + total["error"],
            failed=total["error"],
            rejected=total["overload"],
            resets=statistics.connection_resets,
            established=self.request_handler.connection_count,
            successes=statistics.established,
            setup_log_sum=statistics.establish_time_log_sum,
        )

    def observe(self) -> ClusterState:
        """What this proxy observes of the cluster now."""
        out_by_plan = self.agent.holder.endpoints_out if self.agent is not None else set()
        return observe_cluster(self.membership, self.request_handler, out_by_plan, clock())

    def _connections_to(self, endpoint: str) -> int:
        """Includes set-ups in progress; one more while the other process of a hot restart may hold some."""
        return self.request_handler.driver.connection_and_attempt_count(endpoint) + bool(
            self.loop.held_by_peer_process
        )

    # --- operators ----------------------------------------------------------------------------------------

    def run_command(self, words: list[str], body: bytes) -> Coroutine[Answer]:
        """Run one control line; returns whether it succeeded, and a text for the operator."""
        return (yield from self._commands.run(words, body))

    def submit(self, command: Command) -> Coroutine[Answer]:
        """Submit a command to the log and wait for its result."""
        agent = self.agent
        if agent is None:
            return False, NOT_STARTED
        command_id, effects = agent.submit(clock(), unix_ms(), command)
        self._waiting[command_id] = self.loop.current_task
        try:
            self._execute(effects)
            deadline = clock() + COMMAND_TIMEOUT
            while command_id not in self._results and clock() < deadline:
                yield deadline
            result = self._results.pop(command_id, None)
            # After a success the operator may send the next command here, so this proxy must have applied it.
            while result is not None and agent.replicated.index < result.index and clock() < deadline:
                if self._stopped:
                    break
                yield min(deadline, clock() + APPLY_POLL_INTERVAL)
            if result is not None and (result.text or result.rejection):
                return not result.rejection, result.rejection or result.text
            leader, seconds = agent.leader_name or "none", COMMAND_TIMEOUT // SECOND
            return False, f"not agreed within {seconds} s (leader: {leader}); it may still take effect"
        finally:
            self._waiting.pop(command_id, None)
            agent.forget_command(command_id)

    def announce_halt(self, release_id: int) -> str:
        """Halt a release here and by gossip; returns why it cannot be announced, or empty."""
        agent = self.agent
        if agent is None:
            return NOT_STARTED
        if not self.membership.can_cordon(f"{HALT_PREFIX}{release_id}"):
            return NO_ROOM_FOR_HALT
        self._execute(agent.announce_halt(clock(), unix_ms(), release_id))
        self._on_cluster_changed()
        return ""

    def begin_epoch(self) -> str:
        """Start a new epoch from the state of this proxy; returns why it cannot, or empty."""
        if self.agent is None:
            return NOT_STARTED
        reason, effects = self.agent.begin_epoch(clock(), unix_ms())
        self._execute(effects)
        return reason

    def is_cordoned_by_rollout(self, endpoint: str) -> bool:
        """Whether an endpoint is out on this proxy because of a permit."""
        return self.agent is not None and endpoint in self.agent.holder.endpoints_out

    def status_rows(self) -> Iterator[Row]:
        """The rows of the ``agree`` command, one JSON object each."""
        if self.agent is None:
            return iter([unstarted_row(self.name, self.storage_error)])
        return rollout_rows(self.agent, self.storage_error, clock())

    def decision_rows(self) -> Iterator[Row]:
        """The rows of the ``release log`` command."""
        if self.agent is not None:
            for decision in self.agent.replicated.state.history:
                yield decision.row()

    def counter_lines(self) -> Iterator[str]:
        """Gauges and counters in the statsd format."""
        if self.agent is not None:
            yield from counter_lines(self.agent, self.transport_counters)


def _ignore_answer(_outcome: object, _answer: bytes) -> None:
    """Replies arrive as separate messages."""
