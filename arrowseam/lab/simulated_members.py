"""A process of simulated members of a cluster, each with the real view on sockets of its own.

It owns its members' sockets, starts, ends and clocks, and reports their costs each second and their views at
an interval, as lines of JSON. It must never judge, nor tell a member anything that did not come over the
network. ``scale.py`` drives it over one socket (``python -m arrowseam.lab.simulated_members FD``); it ends
when that socket is closed.

A simulated member has no listeners, clients or balancer. Messages to or from a blocked address are dropped
here. A *muted* member neither answers nor refuses, like a machine without power: its sockets stay bound, but
nobody reads them.
"""

from __future__ import annotations

import gc
import importlib
import json
import math
import random
import secrets
import signal
import socket
import sys
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from arrowseam import __version__
from arrowseam.address import Address, parse_address
from arrowseam.consensus import framing
from arrowseam.consensus.effects import Persist
from arrowseam.consensus.node import Role
from arrowseam.membership import codec
from arrowseam.membership.effects import Effect, OpenStream, SendDatagram
from arrowseam.membership.proxy_share import ProxyCountInUse
from arrowseam.membership.records import ENDED_STATES, MemberInfo, MemberRecord, State, fingerprint
from arrowseam.membership.settings import MembershipSettings
from arrowseam.membership.view import ClusterView
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.peer_transport import REPLY_TIMEOUT, PeerTransport
from arrowseam.net.task import Coroutine, Task
from arrowseam.outcomes import StreamOutcome
from arrowseam.rollouts import effects as rollout_effects
from arrowseam.rollouts.agent import Agent, AgentSettings
from arrowseam.rollouts.budgets import Resource
from arrowseam.rollouts.messages import Message, decode_message, encode_message
from arrowseam.rollouts.observed import ClusterState, ObservedProxy

LINE_BYTES_MAX = 8 << 20  # of one line, in either direction
AGENT_POLL_INTERVAL = 200 * MS  # as in rollouts/runtime.py


def write_lines(conn: Connection, lines: deque[bytes]) -> Coroutine[None]:
    """Write lines while the connection is open; whoever adds one wakes this task."""
    while not conn.closed and not conn.broken:
        while lines and not conn.broken:
            data, offset = lines.popleft(), 0
            while offset < len(data) and not conn.broken and not conn.closed:
                offset += conn.write(memoryview(data)[offset:])
                if offset < len(data):
                    yield clock() + 5 * MS  # input on the connection wakes another task
        yield None


class MemberSocket(socket.socket):
    """A member's UDP socket: drops datagrams to and from blocked addresses, and counts bytes and messages."""

    member: Member

    def recv(self, max_bytes: int, flags: int = 0) -> bytes:
        while True:
            data, sender = self.recvfrom(max_bytes, flags)
            if sender in self.member.host.blocked_sources:
                continue
            self.member.count_traffic(0, len(data))
            return data

    def sendto(self, data: Any, to: Any) -> int:  # type: ignore[override]
        self.member.count_traffic(len(data), 0)
        if to in self.member.host.blocked_destinations:
            return len(data)
        return super().sendto(data, to)


class MemberTransport(PeerTransport):
    """The sockets of one member; nothing passes to or from a blocked address."""

    def __init__(self, member: Member) -> None:
        """Raises OSError if the address is not available."""
        super().__init__(
            member.host.loop, member.address, member.receive_datagram, member.receive_stream_request
        )
        self.member = member
        sock = MemberSocket(fileno=self.sock.detach())
        sock.setblocking(False)
        sock.member = member
        self.sock = sock

    def request(self, address: Address, frame: bytes, on_end: Callable[[StreamOutcome, bytes], None]) -> None:
        host = self.member.host
        self.member.count_traffic(len(frame), 0)
        # A handshake needs both directions.
        if address in host.blocked_destinations or address in host.blocked_sources:
            host.loop.start_task(self._time_out(on_end), "cut stream")
            return

        def counted(outcome: StreamOutcome, reply: bytes) -> None:
            self.member.count_traffic(0, len(reply), 0)
            on_end(outcome, reply)

        super().request(address, frame, counted)

    def _time_out(self, on_end: Callable[[StreamOutcome, bytes], None]) -> Coroutine[None]:
        deadline = clock() + REPLY_TIMEOUT
        while clock() < deadline:
            yield deadline
        on_end(StreamOutcome.TIMED_OUT, b"")

    def stop_reading(self) -> None:
        """Stop reading the sockets; they stay bound, so that nothing is refused."""
        for fd in (self.sock.fileno(), self.listener.sock.fileno()):
            self.loop.unwatch(fd)

    def close_sockets(self, muted: bool) -> None:
        if not muted:
            self.close()
            return
        self.sock.close()
        self.loop.listeners.remove(self.listener)
        self.listener.sock.close()


class Member:
    """A member by its name; each ``start`` makes it a new process to the others."""

    def __init__(self, host: MemberHost, fields: dict[str, Any]) -> None:
        self.host, self.name, self.zone = host, fields["name"], fields.get("zone", "")
        self.address: Address = (fields["host"], fields["port"])
        self.seeds = tuple((h, p) for h, p in fields["seeds"])
        self.first_process: tuple[int, int] | None = (
            (fields["life"], fields["nonce"]) if "life" in fields else None
        )
        self.alive = self.muted = self.in_event = False
        self.view: ClusterView | None = None
        self.transport: MemberTransport | None = None
        self.agent: Agent | None = None
        self.proxy_count = ProxyCountInUse(1)
        self.task: Task | None = None
        self.agent_polled_at = 0
        self.cost = [0, 0, 0, 0, 0, 0]  # bytes out, in; messages out, in; processor us, of the longest event
        self.last_view: tuple[Any, ...] = ()
        self.held_inactive: list[str] = []

    def count_traffic(self, sent: int, received: int, messages: int = 1) -> None:
        cost = self.cost
        cost[0] += sent
        cost[1] += received
        cost[2] += messages if sent else 0
        cost[3] += messages if received else 0

    # --- start and end ---

    def start(self, established: list[MemberRecord] | None = None) -> None:
        self.end()
        started_at, nonce = self.first_process or (time.time_ns() // 1000, secrets.randbits(62))
        self.first_process = None
        host = self.host
        zone_fields = {"zone": self.zone} if host.zones else {}
        me = MemberRecord(self.name, started_at, nonce, 0, State.ALIVE, *self.address, **zone_fields)
        settings = MembershipSettings(seeds=self.seeds, **host.settings, **zone_fields)
        self.view = host.view_type(me, settings, random.Random(secrets.randbits(64)), self._info())
        self.proxy_count = ProxyCountInUse(self.view.evidence.proxy_count())
        self.transport = MemberTransport(self)
        self.alive, self.muted, self.last_view = True, False, ()
        view = self.view
        if established is None:
            self._run_event(lambda: self._apply_effects(view.start(clock())))
        else:
            known = [r for r in established if r.name != self.name]
            self._run_event(lambda: self._apply_effects(view.start_established(clock(), known)))
        if host.voters:
            agent_settings = AgentSettings(fleet=settings.cluster, voters=tuple(host.voters))
            self.agent = Agent(
                self.name,
                started_at,
                secrets.randbits(62),
                agent_settings,
                random.Random(secrets.randbits(64)),
            )
            self.agent.version = __version__
            agent = self.agent
            self._run_event(lambda: self._apply_agent_effects(agent.start(clock(), _wall_clock_ms())))
        self.task = host.loop.start_task(self._run(view), self.name)

    def end(self) -> None:
        """End like a killed process: its machine refuses connections from now on."""
        if self.transport is not None:
            self.transport.close_sockets(self.muted)
        self.transport, self.agent, self.alive, self.muted = None, None, False, False
        self.host.record_share_sum()

    def mute(self) -> None:
        if self.alive and self.transport is not None:
            self.transport.stop_reading()
            self.alive, self.muted = False, True
            self.host.record_share_sum()

    def _info(self) -> MemberInfo:
        in_use = self.proxy_count.value if self.view else 0
        return MemberInfo(__version__, "hollow000000", self.zone, proxy_count=in_use)

    def _run(self, view: ClusterView) -> Coroutine[None]:
        while self.alive and self.view is view:
            now = clock()
            if view.due is not None and view.due <= now:
                self._run_event(lambda: self._apply_effects(view.on_timer(clock())))
            due = view.due
            agent = self.agent
            if agent is not None:
                if now - self.agent_polled_at >= AGENT_POLL_INTERVAL:
                    self.agent_polled_at = now
                    self._run_event(partial(self._update_agent, agent))
                if agent.next_timer <= now:
                    self._run_event(partial(self._run_agent_timer, agent))
                due = min(
                    agent.next_timer,
                    self.agent_polled_at + AGENT_POLL_INTERVAL,
                    due if due is not None else agent.next_timer,
                )
            yield due if due is not None else now + SECOND

    def _run_event(self, act: Callable[[], Any]) -> Any:
        """Run an event and count its processor time, with that of events which it causes at once."""
        if self.in_event:
            return act()
        began, self.in_event = time.thread_time_ns(), True
        try:
            return act()
        finally:
            self.in_event = False
            took = (time.thread_time_ns() - began) // 1000
            self.cost[4] += took
            self.cost[5] = max(self.cost[5], took)

    # --- messages ---

    def receive_datagram(self, data: bytes) -> None:
        view = self.view
        if self.alive and view is not None:
            self._run_event(
                lambda: None
                if self._pass_to_agent(data)
                else self._apply_effects(view.on_datagram(clock(), data))
            )

    def receive_stream_request(self, data: bytes) -> bytes | None:
        self.count_traffic(0, len(data) + codec.LENGTH_SIZE)
        if not self.alive or self._is_from_blocked_source(data):
            return None
        answer: bytes | None = self._run_event(lambda: self._answer(data))
        self.count_traffic(len(answer) if answer is not None else 0, 0, 0)
        return answer

    def _answer(self, data: bytes) -> bytes | None:
        assert self.view is not None
        if self._pass_to_agent(data):
            return None
        effects, answer = self.view.on_stream_request(clock(), data)
        self._apply_effects(effects)
        return answer

    def _is_from_blocked_source(self, data: bytes) -> bool:
        """Whether a stream comes from a blocked address: only the message in it names the sender."""
        if not self.host.blocked_sources or data[: len(framing.MAGIC)] == framing.MAGIC:
            return False
        try:
            return (
                codec.decode_frame(data, self.host.settings["cluster"]).sender.address
                in self.host.blocked_sources
            )
        except codec.MalformedMessageError:
            return False

    def _apply_effects(self, effects: list[Effect]) -> None:
        view, transport = self.view, self.transport
        if view is None or transport is None or not self.alive:
            return
        for effect in effects:
            match effect:
                case SendDatagram(to, data):
                    transport.send(to, data)
                case OpenStream(token, to, data):
                    transport.request(to, data, self._stream_callback(view, token))
        self.update_proxy_count()
        task = self.task
        if task is not None and view.due is not None and (task.wake_at is None or view.due < task.wake_at):
            self.host.loop.wake(task)

    def _stream_callback(self, view: ClusterView, token: int) -> Callable[[StreamOutcome, bytes], None]:
        def on_closed(outcome: StreamOutcome, answer: bytes) -> None:
            if self.alive and self.view is view:
                self._run_event(
                    lambda: self._apply_effects(view.on_stream_closed(clock(), token, outcome, answer))
                )

        return on_closed

    def update_proxy_count(self) -> None:
        assert self.view is not None
        before = self.proxy_count.value
        if self.proxy_count.update(clock(), self.view.evidence.proxy_count()) != before:
            self.host.record_share_sum()

    # --- the rollout agent, where there is one ---

    def _pass_to_agent(self, data: bytes) -> bool:
        """Pass a message to the agent if it is for it; return whether it was."""
        if self.agent is None or data[: len(framing.MAGIC)] != framing.MAGIC:
            return False
        try:
            message = decode_message(data, self.host.settings["cluster"])
        except framing.FrameError:
            return True
        self._apply_agent_effects(self.agent.on_message(clock(), _wall_clock_ms(), message))
        return True

    def _run_agent_timer(self, agent: Agent) -> None:
        self._apply_agent_effects(agent.on_timer(clock(), _wall_clock_ms()))

    def _update_agent(self, agent: Agent) -> None:
        view = self.view
        assert view is not None
        proxies = {
            r.name: ObservedProxy(
                Resource(r.name, self.zone), r.started_at, r.is_active, r.state in ENDED_STATES
            )
            for r in (view.me, *view.records.values())
        }
        self._apply_agent_effects(agent.on_own_status(clock(), _wall_clock_ms(), True))
        agent.holder.started_at = max(agent.holder.started_at, view.me.started_at)
        self._apply_agent_effects(
            agent.on_cluster_state(
                clock(), _wall_clock_ms(), ClusterState(proxies, {}, view.settings.configured_members)
            )
        )

    def _apply_agent_effects(self, effects: list[rollout_effects.Effect]) -> None:
        agent, transport = self.agent, self.transport
        if agent is None or transport is None or not self.alive:
            return
        for effect in effects:
            match effect:
                case rollout_effects.SendMessage(to, message):
                    self._send_agent_message(transport, to, message)
                case Persist():  # nothing is stored: a member that restarts is a new voter
                    self._apply_agent_effects(
                        agent.on_records_stored(clock(), _wall_clock_ms(), effect.token)
                    )
        if self.task is not None and (self.task.wake_at is None or agent.next_timer < self.task.wake_at):
            self.host.loop.wake(self.task)

    def _send_agent_message(self, transport: MemberTransport, to: str, message: Message) -> None:
        assert self.view is not None
        record = self.view.records.get(to)
        address = self.host.voters.get(to) or (record.address if record is not None else None)
        if address is None:
            return
        data = encode_message(self.host.settings["cluster"], message)
        if len(data) <= framing.DATAGRAM_MAX:
            transport.send(address, data)
        else:
            transport.request(address, len(data).to_bytes(4, "big") + data, lambda outcome, answer: None)

    @property
    def is_leader(self) -> bool:
        agent = self.agent
        return agent is not None and agent.node is not None and agent.node.role is Role.LEADER

    # --- reports ---

    def describe_view(self, fingerprint_of: Callable[[str], int]) -> str:
        """Return zone, digest, a fingerprint of the names held to be active, and the number of suspicions."""
        view = self.view
        assert view is not None
        key = (view.digest, view.changed_at, len(view.records))
        if key != self.last_view[:3]:
            active = sum(map(fingerprint_of, view.members.ring.names)) + fingerprint_of(view.me.name)
            self.last_view = (*key, active & ((1 << 64) - 1))
            self.held_inactive = [name for name, r in view.records.items() if not r.is_active]
        return f"{self.zone}|{view.digest:016x}|{self.last_view[3]:016x}|{len(view.suspicions.by_name)}"


class MemberHost:
    """The members of this process, and its end of the socket to the scale run."""

    def __init__(self, loop: EventLoop, sock: socket.socket) -> None:
        self.loop = loop
        self.conn = Connection(loop, sock, loop.start_task(self._read_commands(), "orders"), LINE_BYTES_MAX)
        self.lines: deque[bytes] = deque()
        self.writer = loop.start_task(write_lines(self.conn, self.lines), "reports")
        self.members: dict[str, Member] = {}
        self.zones: list[list[Any]] = []
        self.settings: dict[str, Any] = {}
        self.view_type: type[ClusterView] = ClusterView
        self.voters: dict[str, Address] = {}
        self.established: list[MemberRecord] = []
        self.blocked_destinations: set[Address] = set()  # to which nothing is sent
        self.blocked_sources: set[Address] = set()  # from which nothing is received
        self.fingerprints: dict[str, int] = {}
        self.share_changes: list[tuple[int, float]] = []
        self.report_cpu = 0  # processor time of the reports, microseconds; charged to no member
        self.report_interval = SECOND // 2

    def _fingerprint(self, name: str) -> int:
        known = self.fingerprints.get(name)
        if known is None:
            known = self.fingerprints[name] = fingerprint("name", name)
        return known

    # --- commands ---

    def _read_commands(self) -> Coroutine[None]:
        while not self.loop.stopped:
            line = yield from self.conn.read_line(LINE_BYTES_MAX, clock() + 3600 * SECOND)
            if line is None:
                self.loop.stopped = True  # the scale run has ended
                return
            try:
                self.execute(json.loads(line))
            except OSError as error:
                self.send_report({"failed": str(error)})

    def execute(self, command: dict[str, Any]) -> None:
        who = [self.members[name] for name in command.get("who", ())]
        match command["do"]:
            case "set up":
                self._set_up(command)
            case "start":
                established = self.established if command.get("stand") else None
                for member in who:
                    member.start(established)
            case "end":
                for member in who:
                    member.end()
            case "mute":
                for member in who:
                    member.mute()
            case "cut":
                self.blocked_destinations = {(h, p) for h, p in command["dumb"]}
                self.blocked_sources = {(h, p) for h, p in command["deaf"]}
            case "reset":
                for member in who:
                    if member.agent is not None:
                        member._apply_agent_effects(member.agent.begin_epoch(clock(), _wall_clock_ms())[1])
            case "cordon":
                for member in who:
                    if member.view is not None and member.alive:
                        wall = _wall_clock_ms()
                        member._apply_effects(
                            member.view.set_cordon(clock(), wall, command["server"], command["out"])
                        )

    def _set_up(self, command: dict[str, Any]) -> None:
        module, _, name = command["view"].partition(":")
        self.view_type = getattr(importlib.import_module(module), name)
        self.zones, self.settings = command["zones"], command["settings"]
        if self.zones:
            self.settings["zones"] = tuple((name, count) for name, count in self.zones)
        self.report_interval = command["look_ms"] * MS
        self.voters = {name: parse_address(text) for name, text in command["voters"].items()}
        self.established = [MemberRecord(state=State.ALIVE, **row) for row in command["stand"]]
        for fields in command["members"]:
            self.members[fields["name"]] = Member(self, fields)
        for member in self.members.values():  # check that the addresses are available
            with socket.create_server(member.address, reuse_port=True):
                pass
        self.loop.start_task(self._report(), "report")
        self.send_report({"ready": len(self.members)})

    # --- reports ---

    def send_report(self, report: dict[str, Any]) -> None:
        self.lines.append(json.dumps(report).encode() + b"\n")
        self.loop.wake(self.writer)

    def record_share_sum(self) -> None:
        """Record the sum of the shares of all members that run here, after a change of one."""
        self.share_changes.append(
            (clock(), math.fsum(1.0 / m.proxy_count.value for m in self.members.values() if m.alive))
        )

    def _report(self) -> Coroutine[None]:
        due = costs_reported_at = clock()
        while True:
            began = time.thread_time_ns()
            self._report_views()
            if clock() - costs_reported_at >= SECOND - self.report_interval // 2:
                costs_reported_at = clock()
                self._report_costs()
                gc.collect(1)
            self.report_cpu += (time.thread_time_ns() - began) // 1000
            due = max(due + self.report_interval, clock())
            while clock() < due:
                yield due

    def _report_views(self) -> None:
        groups: dict[str, int] = {}
        holders: dict[str, int] = {}
        for member in self.members.values():
            if not member.alive or member.view is None:
                continue
            member.view.info = member._info()
            member.update_proxy_count()
            group = member.describe_view(self._fingerprint)
            groups[group] = groups.get(group, 0) + 1
            for name in member.held_inactive:
                holders[name] = holders.get(name, 0) + 1
        shares, self.share_changes = self.share_changes, []
        leaders = [m.name for m in self.members.values() if m.alive and m.is_leader]
        self.send_report(
            {"t": clock(), "groups": groups, "held": holders, "shares": shares, "leads": leaders}
        )

    def _report_costs(self) -> None:
        costs = {}
        for member in self.members.values():
            if member.alive:
                costs[member.name] = [*member.cost, member.proxy_count.value]
                member.cost[:] = [0] * 6
        cpu = time.process_time_ns() // 1000
        self.send_report(
            {"t": clock(), "costs": costs, "cpu": cpu, "own": self.report_cpu, "rss_kib": _resident_kib()}
        )


def _wall_clock_ms() -> int:
    return time.time_ns() // 1_000_000


def _resident_kib() -> int:
    with open("/proc/self/status", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))


def main() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the scale run ends this process
    gc.disable()  # it would traverse the records of all members, which no proxy holds; see _report
    loop = EventLoop()
    MemberHost(loop, socket.socket(fileno=int(sys.argv[1])))
    loop.run()


if __name__ == "__main__":
    main()
