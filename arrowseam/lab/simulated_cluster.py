"""A cluster of views on a virtual clock: the code that the proxies run, on a simulated network with faults.

Nothing that happens depends on the inside of a view, and every number is drawn from one seed: a run repeats
to the last message.
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
RETRANSMIT = 200 * MS  # of a segment of a stream
EXACT_MEMBERS_MAX = 250  # in larger runs a proxy count is computed anew only where its inputs have changed
BUDGET_UNITS = 1 << 100  # of a budget: shares are summed in whole numbers, so that the sum is exact


def share_units(proxy_count: int) -> int:
    """Return the share of a process that divides a budget by so many, rounded up."""
    return -(-BUDGET_UNITS // proxy_count)


@dataclass
class Process:
    """One process of one member."""

    name: str
    view: ClusterView
    proxy_count: ProxyCountInUse
    alive: bool = True
    stalled_until: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)  # events that come while it is stalled
    cordoned: set[str] = field(default_factory=set)
    least: int = 1 << 60  # the smallest proxy count that was ever in use
    units: int = 0  # its share of a budget, while it runs
    share_inputs: tuple[Any, ...] = ()  # what ``wanted`` was last computed from
    wanted: int = 1  # the proxy count that its view gives
    timer_at: int | None = None  # when its timer runs next


class SimulatedCluster(EventQueue):
    """Members ``m0`` to ``mN``; each process that starts under a name takes the name's address."""

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
        chosen = tuple((name, PORT) for name in self.names[:seeds])
        self.settings = replace(
            settings or MembershipSettings(), seeds=chosen, configured_members=self.configured
        )
        self.zones = zones or {}
        self.zone_of = dict.fromkeys(self.names, "")
        if zones is not None:
            if sum(zones.values()) != members:
                raise ValueError(f"zones of {sum(zones.values())} in all, {members} members")
            dealt = [zone for zone, count in zones.items() for _ in range(count)]
            self.zone_of = dict(zip(self.names, dealt))
        self.settings_of = {
            zone: self._settings_for(zone, seeds, foreign_seeds) for zone in self.zones or [""]
        }
        self.cut_links: set[tuple[str, str]] = set()  # (sender, receiver) between which nothing arrives
        self.reachability_version = 0  # rises whenever who can reach whom may have changed
        self.powered_off: set[str] = set()  # hosts without power: they refuse nothing
        self.skew: dict[str, int] = {}  # of a machine's wall clock, microseconds
        self.running: dict[str, Process] = {}
        self.log_events: list[tuple[int, str, LogEvent]] = []
        self.sent = self.bytes = 0
        self.bytes_by_member: dict[str, int] | None = (
            None  # bytes out and in, by member, where somebody wants them
        )
        self.watch: Callable[[], None] = lambda: None  # called after every event
        self.total_units = 0  # the shares of all running processes, in units
        self.share_sum = 0.0  # the same as a part of the budget
        self.share_sum_max = 0.0  # the largest that it ever was

    def _settings_for(self, zone: str, seeds: int, foreign_seeds: int) -> MembershipSettings:
        """Seeds are the first of its zone, and so many of each other."""
        if not self.zones:
            return self.settings
        firsts: dict[str, list[str]] = {}
        for name, other in self.zone_of.items():
            firsts.setdefault(other, []).append(name)
        chosen = firsts[zone][:seeds]
        chosen += [n for other, names in firsts.items() if other != zone for n in names[:foreign_seeds]]
        more: dict[str, Any] = {"zone": zone, "zones": tuple(self.zones.items())}
        return replace(self.settings, seeds=tuple((name, PORT) for name in chosen), **more)

    # --- processes ---

    def _create_process(self, name: str, record: MemberRecord | None = None) -> Process:
        """A new process under this name, which has not been started."""
        self.kill(name)
        zone = self.zone_of.setdefault(name, next(iter(self.settings_of)))
        me = record if record is not None else self.record(name)
        view = self.view_type(me, self.settings_of[zone], random.Random(self.rnd.getrandbits(64)))
        self.reachability_version += 1
        process = self.running[name] = Process(
            name, view, ProxyCountInUse(view.evidence.proxy_count(self.share_rule))
        )
        self._share(process)
        return process

    def record(self, name: str) -> MemberRecord:
        """Of a process that would start now."""
        wall = WALL_CLOCK_START + self.now + self.skew.get(name, 0)
        more: dict[str, Any] = {"zone": self.zone_of[name]} if self.zones else {}
        return MemberRecord(name, wall, self.rnd.getrandbits(62), 0, State.ALIVE, name, PORT, **more)

    def start(self, name: str) -> Process:
        """Start a process under a name, in place of the one that runs there."""
        process = self._create_process(name)
        self._apply_effects(process, process.view.start(self.now))
        return process

    def start_established(self, names: list[str] | None = None) -> None:
        """Start members that know each other, their zone's, as a fleet that has stood for long."""
        records = {name: self.record(name) for name in (names if names is not None else self.names)}
        by_zone: dict[str, list[MemberRecord]] = {}
        for name, record in records.items():
            by_zone.setdefault(self.zone_of[name], []).append(record)
        first: dict[str, ClusterView] = {}
        for name, record in records.items():
            process = self._create_process(name, record)
            others = [r for r in by_zone[self.zone_of[name]] if r is not record]
            for zone, there in by_zone.items():
                if zone != self.zone_of[name]:
                    others += self.rnd.sample(there, min(CONTACTS_MAX, len(there)))
            like = first.setdefault(self.zone_of[name], process.view)
            found = process.view.start_established(
                self.now, others, like if like is not process.view else None
            )
            self._apply_effects(process, found)

    def kill(self, name: str) -> None:
        """End a process without a farewell."""
        process = self.running.pop(name, None)
        if process is not None:
            self.reachability_version += 1
            process.alive = False
            self._take(-process.units)

    # --- shares of a budget ---

    def _take(self, more: int) -> None:
        self.total_units += more
        self.share_sum = self.total_units / BUDGET_UNITS

    def _share(self, process: Process) -> None:
        now = share_units(process.proxy_count.value)
        if now != process.units:
            more, process.units = now - process.units, now
            if process.alive:
                self._take(more)

    def leave(self, name: str) -> None:
        """End a process on purpose: it tells the others, and ends a second later."""
        process = self.running.get(name)
        if process is not None:
            self._deliver(process, lambda: process.view.leave(self.now))
            self.at(self.now + SECOND, lambda: self.kill(name) if self.running.get(name) is process else None)

    def stall(self, name: str, span: int) -> None:
        """Let a process not run for ``span`` microseconds; what comes meanwhile waits."""
        process = self.running.get(name)
        if process is not None:
            self.reachability_version += 1
            process.stalled_until = max(process.stalled_until, self.now + span)
            self.at(process.stalled_until, lambda: self._resume(process))

    def cordon(self, name: str, server: str, out: bool) -> None:
        """Cordon or uncordon at one member, by its operator's word."""
        process = self.running.get(name)
        if process is not None:
            (process.cordoned.add if out else process.cordoned.discard)(server)
            wall = (WALL_CLOCK_START + self.now + self.skew.get(name, 0)) // MS
            self._deliver(process, lambda: process.view.set_cordon(self.now, wall, server, out))

    # --- the network ---

    def _deliver(self, process: Process, act: Callable[[], Any]) -> None:
        """Have a process take in an event, when it next runs."""
        if not process.alive:
            return
        if process.stalled_until > self.now:
            process.waiting.append(lambda: self._deliver(process, act))
            return
        found = act()
        self._apply_effects(process, found)

    def _resume(self, process: Process) -> None:
        if process.alive and process.stalled_until <= self.now:
            self.reachability_version += 1
            waiting, process.waiting = process.waiting, []
            for act in waiting:
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
        """Have it woken, unless it is woken by then anyway: it is armed again whenever it is."""
        due = max(due, self.now)
        if process.timer_at is None or due < process.timer_at:
            process.timer_at = due
            self.at(due, lambda: self._due(process, due))

    def _due(self, process: Process, at: int) -> None:
        if process.timer_at == at:
            process.timer_at = None
            self._wake(process)

    def _apply_effects(self, process: Process, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendDatagram(to, data):
                    self._datagram(process.name, to, data)
                case OpenStream(token, to, data):
                    self._stream(process, token, to, data)
                case CordonChanged(server, out):
                    (process.cordoned.add if out else process.cordoned.discard)(server)
                case LogEvent():
                    self.log_events.append((self.now, process.name, effect))
        view = process.view
        # To compute the count at each event takes a third of a long run. In small runs it is computed each
        # time, as a proxy does, so that an input missing here can't hide a fault.
        evidence = view.evidence
        key = (
            view.members.known_count,
            evidence.counted_out_count,
            evidence.unconfirmed_count,
            evidence.never_counts_out,
            view.settings,
        )
        if key != process.share_inputs or len(self.names) <= EXACT_MEMBERS_MAX:
            process.share_inputs, process.wanted = key, evidence.proxy_count(self.share_rule)
        number = process.wanted
        before = process.proxy_count.value
        told = process.proxy_count.update(self.now, number)
        process.least = min(process.least, told)
        if told != before:
            self._share(process)
        if view.due is not None:
            self._arm(process, view.due)
        self.share_sum_max = max(self.share_sum_max, self.share_sum)
        self.watch()

    def _late(self) -> int:
        return self.rnd.randint(*self.delay)

    def _open(self, one: str, other: str) -> bool:
        return (
            (one, other) not in self.cut_links
            and one not in self.powered_off
            and other not in self.powered_off
        )

    def _charge(self, name: str, size: int) -> None:
        if self.bytes_by_member is not None:
            self.bytes_by_member[name] = self.bytes_by_member.get(name, 0) + size

    def _datagram(self, sender: str, to: Address, data: bytes) -> None:
        self.sent += 1
        self.bytes += len(data)
        self._charge(sender, len(data))
        for copy in range(1 + (self.rnd.random() < self.doubled)):
            if self._open(sender, to[0]) and self.rnd.random() >= self.loss:
                late = (
                    int(self.rnd.random() * 5 * SECOND) if copy else 0
                )  # a copy may come after three restarts
                self.at(self.now + self._late() + late, lambda: self._arrive(to, data))

    def _arrive(self, to: Address, data: bytes) -> None:
        process = self.running.get(to[0])
        if process is not None:
            self._charge(process.name, len(data))
            self._deliver(process, lambda: process.view.on_datagram(self.now, data))

    def _stream(self, process: Process, token: int, to: Address, data: bytes) -> None:
        """Segments that are lost are sent again: a stream is late where a datagram is lost."""
        self.sent += 2
        self.bytes += len(data)
        self._charge(process.name, len(data))
        there, here, done = to[0], process.name, [False]

        def end(how: StreamOutcome, answer: bytes = b"") -> None:
            if not done[0]:
                done[0] = True
                self.bytes += len(answer)
                self._charge(here, len(answer))
                self._deliver(process, lambda: process.view.on_stream_closed(self.now, token, how, answer))

        def arrive() -> None:
            other = self.running.get(there)
            if not self._open(here, there) or not self._open(there, here):
                return
            if other is None:
                self.at(self.now + self._late(), lambda: end(StreamOutcome.REFUSED))
                return

            self._charge(there, len(data))

            def answer() -> list[Effect]:
                effects, reply = other.view.on_stream_request(self.now, data[4:])
                self._charge(there, len(reply) if reply is not None else 0)
                if reply is not None and self._open(there, here):
                    self.at(self.now + self._late(), lambda: end(StreamOutcome.ANSWERED, reply[4:]))
                return effects

            self._deliver(other, answer)

        tries = 0
        while self.rnd.random() < self.loss and tries < 3:
            tries += 1
        self.at(self.now + self._late() + tries * RETRANSMIT, arrive)
        self.at(self.now + STREAM_TIMEOUT, lambda: end(StreamOutcome.TIMED_OUT))

    # --- faults between groups ---

    def partition(self, *groups: list[str], one_way: bool = False) -> set[tuple[str, str]]:
        """Cut every way between the groups; returns the ways, to be healed by ``heal``."""
        ways = {
            (a, b)
            for i, ours in enumerate(groups)
            for j, theirs in enumerate(groups)
            if (i < j if one_way else i != j)
            for a in ours
            for b in theirs
        }
        self.cut_links |= ways
        self.reachability_version += 1
        return ways

    def heal(self, ways: set[tuple[str, str]] | None = None) -> None:
        """End these cuts, or all."""
        self.cut_links = self.cut_links - ways if ways is not None else set()
        self.reachability_version += 1

    # --- what a referee sees ---

    def active_names(self, process: Process) -> set[str]:
        """Who takes part, as this process says."""
        return {r.name for r in process.view.records.values() if r.is_active} | {process.view.me.name}

    def agreed(self) -> bool:
        """Whether each running process holds just the running ones of its zone, alive, and all of a zone hold
        the same cordons."""
        running: dict[str, set[str]] = {}
        digests: dict[str, int] = {}
        for name, process in self.running.items():
            zone = self.zone_of[name]
            running.setdefault(zone, set()).add(name)
            if digests.setdefault(zone, process.view.digest) != process.view.digest:
                return False
        # Cheap first: to look at every record of each is for when all this holds.
        if any(p.view.members.active_count != len(running[self.zone_of[n]]) for n, p in self.running.items()):
            return False
        for name, process in self.running.items():
            records, ours = process.view.records, running[self.zone_of[name]]
            if self.active_names(process) != ours:
                return False
            if any(records[other].state is not State.ALIVE for other in ours - {name}):
                return False
        return True
