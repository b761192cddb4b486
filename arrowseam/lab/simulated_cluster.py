"""A cluster of views on a virtual clock: the code that the proxies run, on a simulated network with faults.

Nothing depends on the inside of a view, and every number is drawn from one seed: a run can be repeated to the
last message.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from arrowseam.lab.event_queue import EventQueue
from arrowseam.membership.effects import (
    CordonChanged,
    Effect,
    LogEvent,
    OpenStream,
    SendDatagram,
)
from arrowseam.membership.proxy_share import ProxyCountInUse, proxy_count
from arrowseam.membership.records import Address, MemberRecord, State
from arrowseam.membership.settings import MembershipSettings
from arrowseam.membership.view import ClusterView
from arrowseam.membership.zones import CONTACTS_MAX
from arrowseam.outcomes import StreamOutcome

MS, SECOND = 1_000, 1_000_000
STREAM_TIMEOUT = 500 * MS
WALL_CLOCK_START = 1_700_000_000_000_000  # the wall clock when a run begins, microseconds
PORT = 7000
RETRANSMIT_DELAY = 200 * MS  # until a lost segment of a stream is sent again
EXACT_MEMBERS_MAX = 250  # in larger runs a proxy count is recomputed only when its inputs have changed
BUDGET_UNITS = 1 << 100  # of a budget: shares are summed as integers, so that the sum is exact


def share_units(proxy_count: int) -> int:
    """Return the share of a process that divides a budget by this count, in units rounded up."""
    return -(-BUDGET_UNITS // proxy_count)


@dataclass
class Process:
    """One process of one member."""

    name: str
    view: ClusterView
    proxy_count: ProxyCountInUse
    alive: bool = True
    stalled_until: int = 0
    deferred: list[Callable[[], None]] = field(default_factory=list)  # events that arrive while it is stalled
    cordoned: set[str] = field(default_factory=set)
    min_proxy_count: int = 1 << 60  # the smallest proxy count ever in use
    units_taken: int = 0  # its share of a budget, while it runs
    proxy_count_inputs: tuple[Any, ...] = ()  # from which the next field was last computed
    computed_proxy_count: int = 1  # as its view gives it, before the delay of a decrease
    timer_at: int | None = None  # when it is woken next


class SimulatedCluster(EventQueue):
    """Members ``m0`` to ``mN``; a process that starts under a name has that name's address."""

    def __init__(
        self,
        members: int,
        seed: int,
        settings: MembershipSettings | None = None,
        loss: float = 0.0,
        delay: tuple[int, int] = (200, 2 * MS),
        seeds: int = 3,
        view: type[ClusterView] = ClusterView,
        share_rule: Callable[..., int] = proxy_count,
        configured: int | None = None,
        zones: dict[str, int] | None = None,
        foreign_seeds: int = 1,
    ) -> None:
        """``zones``: sizes by name; the members are assigned in order.
        ``foreign_seeds``: seeds that each member has of each other zone; an established cluster needs none.
        """
        super().__init__()
        self.rnd = random.Random(seed)
        self.loss, self.delay, self.doubled = loss, delay, 0.0
        self.view_type, self.share_rule = view, share_rule
        self.configured = members if configured is None else configured
        self.names = [f"m{n}" for n in range(members)]
        seed_addresses = tuple((name, PORT) for name in self.names[:seeds])
        self.settings = replace(
            settings or MembershipSettings(), seeds=seed_addresses, configured_members=self.configured
        )
        self.zones = zones or {}
        self.zone_of = dict.fromkeys(self.names, "")
        if zones is not None:
            if sum(zones.values()) != members:
                raise ValueError(f"zones of {sum(zones.values())} in all, {members} members")
            assigned = [zone for zone, count in zones.items() for _ in range(count)]
            self.zone_of = dict(zip(self.names, assigned))
        self.settings_of = {
            zone: self._settings_for(zone, seeds, foreign_seeds) for zone in self.zones or [""]
        }
        self.cut_links: set[tuple[str, str]] = set()  # (sender, receiver) between which nothing arrives
        self.reachability_version = 0  # incremented whenever reachability may have changed
        self.powered_off: set[str] = set()  # hosts without power: they refuse nothing
        self.skew: dict[str, int] = {}  # error of a machine's wall clock, microseconds
        self.running: dict[str, Process] = {}
        self.log_events: list[tuple[int, str, LogEvent]] = []
        self.sent = self.bytes = 0
        self.bytes_by_member: dict[str, int] | None = None  # sent and received; counted only if set
        self.watch: Callable[[], None] = lambda: None  # called after every event
        self.total_units = 0  # the shares of all running processes, in units
        self.share_sum = 0.0  # the same as a part of the budget
        self.share_sum_max = 0.0  # its largest value so far

    def _settings_for(self, zone: str, seeds: int, foreign_seeds: int) -> MembershipSettings:
        """Return a zone's settings: its seeds are its first members and the first ones of each other zone."""
        if not self.zones:
            return self.settings
        members_of: dict[str, list[str]] = {}
        for name, other in self.zone_of.items():
            members_of.setdefault(other, []).append(name)
        seed_names = members_of[zone][:seeds]
        seed_names += [
            n for other, names in members_of.items() if other != zone for n in names[:foreign_seeds]
        ]
        zone_fields: dict[str, Any] = {"zone": zone, "zones": tuple(self.zones.items())}
        return replace(self.settings, seeds=tuple((name, PORT) for name in seed_names), **zone_fields)

    # --- processes ---

    def _create_process(self, name: str, record: MemberRecord | None = None) -> Process:
        """Create a process under this name without starting it."""
        self.kill(name)
        zone = self.zone_of.setdefault(name, next(iter(self.settings_of)))
        me = record if record is not None else self.record(name)
        view = self.view_type(me, self.settings_of[zone], random.Random(self.rnd.getrandbits(64)))
        self.reachability_version += 1
        process = self.running[name] = Process(
            name, view, ProxyCountInUse(view.evidence.proxy_count(self.share_rule))
        )
        self._update_share(process)
        return process

    def record(self, name: str) -> MemberRecord:
        """Return the record of a process that would start now."""
        wall = WALL_CLOCK_START + self.now + self.skew.get(name, 0)
        zone_fields: dict[str, Any] = {"zone": self.zone_of[name]} if self.zones else {}
        return MemberRecord(name, wall, self.rnd.getrandbits(62), 0, State.ALIVE, name, PORT, **zone_fields)

    def start(self, name: str) -> Process:
        """Start a process under a name, in place of the one that runs there."""
        process = self._create_process(name)
        self._apply_effects(process, process.view.start(self.now))
        return process

    def start_established(self, names: list[str] | None = None) -> None:
        """Start members that already know the others of their zone, as in a cluster that has run for long."""
        records = {name: self.record(name) for name in (names if names is not None else self.names)}
        by_zone: dict[str, list[MemberRecord]] = {}
        for name, record in records.items():
            by_zone.setdefault(self.zone_of[name], []).append(record)
        first_views: dict[str, ClusterView] = {}
        for name, record in records.items():
            process = self._create_process(name, record)
            known = [r for r in by_zone[self.zone_of[name]] if r is not record]
            for zone, zone_records in by_zone.items():
                if zone != self.zone_of[name]:
                    known += self.rnd.sample(zone_records, min(CONTACTS_MAX, len(zone_records)))
            template = first_views.setdefault(self.zone_of[name], process.view)
            effects = process.view.start_established(
                self.now, known, template if template is not process.view else None
            )
            self._apply_effects(process, effects)

    def kill(self, name: str) -> None:
        """End a process without telling the others."""
        process = self.running.pop(name, None)
        if process is not None:
            self.reachability_version += 1
            process.alive = False
            self._add_units(-process.units_taken)

    # --- shares of a budget ---

    def _add_units(self, delta: int) -> None:
        self.total_units += delta
        self.share_sum = self.total_units / BUDGET_UNITS

    def _update_share(self, process: Process) -> None:
        share = share_units(process.proxy_count.value)
        if share != process.units_taken:
            delta, process.units_taken = share - process.units_taken, share
            if process.alive:
                self._add_units(delta)

    def leave(self, name: str) -> None:
        """Let a process leave: it tells the others, and ends a second later."""
        process = self.running.get(name)
        if process is not None:
            self._deliver(process, lambda: process.view.leave(self.now))
            self.at(self.now + SECOND, lambda: self.kill(name) if self.running.get(name) is process else None)

    def stall(self, name: str, span: int) -> None:
        """Stall a process for ``span`` microseconds; events that arrive meanwhile are deferred."""
        process = self.running.get(name)
        if process is not None:
            self.reachability_version += 1
            process.stalled_until = max(process.stalled_until, self.now + span)
            self.at(process.stalled_until, lambda: self._resume(process))

    def cordon(self, name: str, server: str, out: bool) -> None:
        """Cordon or uncordon an endpoint at one member, as an operator does."""
        process = self.running.get(name)
        if process is not None:
            (process.cordoned.add if out else process.cordoned.discard)(server)
            wall = (WALL_CLOCK_START + self.now + self.skew.get(name, 0)) // MS
            self._deliver(process, lambda: process.view.set_cordon(self.now, wall, server, out))

    # --- the network ---

    def _deliver(self, process: Process, act: Callable[[], Any]) -> None:
        """Have a process handle an event, at once or after its stall."""
        if not process.alive:
            return
        if process.stalled_until > self.now:
            process.deferred.append(lambda: self._deliver(process, act))
            return
        effects = act()
        self._apply_effects(process, effects)

    def _resume(self, process: Process) -> None:
        if process.alive and process.stalled_until <= self.now:
            self.reachability_version += 1
            deferred, process.deferred = process.deferred, []
            for act in deferred:
                act()
            self._wake(process)

    def _wake(self, process: Process) -> None:
        due = process.view.due
        if process.alive and process.stalled_until <= self.now and due is not None:
            if due <= self.now:
                self._apply_effects(process, process.view.on_timer(self.now))
            else:
                self._arm(process, due)

    def _arm(self, process: Process, due: int) -> None:
        """Schedule a wake-up, unless one is due by then: each wake-up schedules the next one."""
        due = max(due, self.now)
        if process.timer_at is None or due < process.timer_at:
            process.timer_at = due
            self.at(due, lambda: self._on_wake_up(process, due))

    def _on_wake_up(self, process: Process, at: int) -> None:
        if process.timer_at == at:
            process.timer_at = None
            self._wake(process)

    def _apply_effects(self, process: Process, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendDatagram(to, data):
                    self._send_datagram(process.name, to, data)
                case OpenStream(token, to, data):
                    self._open_stream(process, token, to, data)
                case CordonChanged(server, out):
                    (process.cordoned.add if out else process.cordoned.discard)(server)
                case LogEvent():
                    self.log_events.append((self.now, process.name, effect))
        view = process.view
        # Computing the count at each event takes a third of a long run. In small runs it is computed each
        # time, as a proxy does, so that an input that is missing here can't hide a fault.
        evidence = view.evidence
        inputs = (
            view.members.known_count,
            evidence.counted_out_count,
            evidence.unconfirmed_count,
            evidence.never_counts_out,
            view.settings,
        )
        if inputs != process.proxy_count_inputs or len(self.names) <= EXACT_MEMBERS_MAX:
            process.proxy_count_inputs, process.computed_proxy_count = (
                inputs,
                evidence.proxy_count(self.share_rule),
            )
        computed = process.computed_proxy_count
        before = process.proxy_count.value
        in_use = process.proxy_count.update(self.now, computed)
        process.min_proxy_count = min(process.min_proxy_count, in_use)
        if in_use != before:
            self._update_share(process)
        if view.due is not None:
            self._arm(process, view.due)
        self.share_sum_max = max(self.share_sum_max, self.share_sum)
        self.watch()

    def _draw_delay(self) -> int:
        return self.rnd.randint(*self.delay)

    def _is_reachable(self, sender: str, receiver: str) -> bool:
        return (
            (sender, receiver) not in self.cut_links
            and sender not in self.powered_off
            and receiver not in self.powered_off
        )

    def _count_bytes(self, name: str, size: int) -> None:
        if self.bytes_by_member is not None:
            self.bytes_by_member[name] = self.bytes_by_member.get(name, 0) + size

    def _send_datagram(self, sender: str, to: Address, data: bytes) -> None:
        self.sent += 1
        self.bytes += len(data)
        self._count_bytes(sender, len(data))
        for copy in range(1 + (self.rnd.random() < self.doubled)):
            if self._is_reachable(sender, to[0]) and self.rnd.random() >= self.loss:
                # A copy may arrive after three restarts.
                extra_delay = int(self.rnd.random() * 5 * SECOND) if copy else 0
                self.at(self.now + self._draw_delay() + extra_delay, lambda: self._arrive(to, data))

    def _arrive(self, to: Address, data: bytes) -> None:
        process = self.running.get(to[0])
        if process is not None:
            self._count_bytes(process.name, len(data))
            self._deliver(process, lambda: process.view.on_datagram(self.now, data))

    def _open_stream(self, process: Process, token: int, to: Address, data: bytes) -> None:
        """Lost segments are sent again: a stream is delayed where a datagram is lost."""
        self.sent += 2
        self.bytes += len(data)
        self._count_bytes(process.name, len(data))
        target, source, done = to[0], process.name, [False]

        def close(outcome: StreamOutcome, reply: bytes = b"") -> None:
            if not done[0]:
                done[0] = True
                self.bytes += len(reply)
                self._count_bytes(source, len(reply))
                self._deliver(process, lambda: process.view.on_stream_closed(self.now, token, outcome, reply))

        def arrive() -> None:
            receiver = self.running.get(target)
            if not self._is_reachable(source, target) or not self._is_reachable(target, source):
                return
            if receiver is None:
                self.at(self.now + self._draw_delay(), lambda: close(StreamOutcome.REFUSED))
                return

            self._count_bytes(target, len(data))

            def serve() -> list[Effect]:
                effects, reply = receiver.view.on_stream_request(self.now, data[4:])
                self._count_bytes(target, len(reply) if reply is not None else 0)
                if reply is not None and self._is_reachable(target, source):
                    self.at(self.now + self._draw_delay(), lambda: close(StreamOutcome.ANSWERED, reply[4:]))
                return effects

            self._deliver(receiver, serve)

        losses = 0
        while self.rnd.random() < self.loss and losses < 3:
            losses += 1
        self.at(self.now + self._draw_delay() + losses * RETRANSMIT_DELAY, arrive)
        self.at(self.now + STREAM_TIMEOUT, lambda: close(StreamOutcome.TIMED_OUT))

    # --- faults between groups ---

    def partition(self, *groups: list[str], one_way: bool = False) -> set[tuple[str, str]]:
        """Cut every link between the groups; returns these links, for ``heal``."""
        links = {
            (a, b)
            for i, ours in enumerate(groups)
            for j, theirs in enumerate(groups)
            if (i < j if one_way else i != j)
            for a in ours
            for b in theirs
        }
        self.cut_links |= links
        self.reachability_version += 1
        return links

    def heal(self, links: set[tuple[str, str]] | None = None) -> None:
        """Restore these links, or all."""
        self.cut_links = self.cut_links - links if links is not None else set()
        self.reachability_version += 1

    # --- checks ---

    def active_names(self, process: Process) -> set[str]:
        """Return the names that this process holds to be active, its own included."""
        return {r.name for r in process.view.records.values() if r.is_active} | {process.view.me.name}

    def agreed(self) -> bool:
        """Whether each running process holds exactly the running ones of its zone, alive, and all of a zone
        hold the same cordons."""
        running: dict[str, set[str]] = {}
        digests: dict[str, int] = {}
        for name, process in self.running.items():
            zone = self.zone_of[name]
            running.setdefault(zone, set()).add(name)
            if digests.setdefault(zone, process.view.digest) != process.view.digest:
                return False
        # The records of each view are compared last, since that is the expensive part.
        if any(p.view.members.active_count != len(running[self.zone_of[n]]) for n, p in self.running.items()):
            return False
        for name, process in self.running.items():
            records, expected = process.view.records, running[self.zone_of[name]]
            if self.active_names(process) != expected:
                return False
            if any(records[other].state is not State.ALIVE for other in expected - {name}):
                return False
        return True
