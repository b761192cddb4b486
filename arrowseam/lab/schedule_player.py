"""Plays schedules on the simulated cluster and judges them by the bounds that operators were promised.

It judges by what the views say and do, and never asks a view why.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from arrowseam.lab.schedule_drawing import SimulatedFault, ZoneFault
from arrowseam.lab.schedules import Schedule, Step
from arrowseam.lab.simulated_cluster import MS, SECOND, Process, SimulatedCluster
from arrowseam.membership.cordons import cordon_fingerprint
from arrowseam.membership.proxy_share import proxy_count
from arrowseam.membership.records import activity_fingerprint
from arrowseam.membership.settings import MembershipSettings
from arrowseam.membership.view import ClusterView

SETTLE = 5 * SECOND  # after the last fault all views are equal by then, in 99 of 100 schedules
SETTLE_MAX = 10 * SECOND  # and in every one by then
HELD_DEAD = 3 * SECOND  # after the last fault within which no view may hold a running, reachable member dead
COUNTED_OUT = 40 * SECOND  # after it within which the ended are counted out of the budgets
CORDON_SPREAD = 2 * SECOND  # after which a cordon outlives the member that set it
START_TIME = 3 * SECOND  # between the members' start and the schedule's
RESTART_DELAY_MAX = 300 * MS
LEAVE_TIME = 1500 * MS
NETWORK_FAULTS = (
    SimulatedFault.PARTITION, SimulatedFault.PARTITION_ONE_WAY, SimulatedFault.PARTITION_IN_THREE,
    SimulatedFault.LOSS, SimulatedFault.DUPLICATION,
)  # fmt: skip
# How long after a step its fault is over, where that is not its span.
DURATIONS: dict[str, int] = {
    SimulatedFault.KILL: 0, SimulatedFault.KILL_SOME: 0, SimulatedFault.RESTART: RESTART_DELAY_MAX,
    SimulatedFault.CLOCK_SKEW: RESTART_DELAY_MAX, SimulatedFault.RESTART_ALL: SECOND,
    SimulatedFault.LEAVE: LEAVE_TIME, SimulatedFault.CORDON: 0, SimulatedFault.UNCORDON: 0,
    SimulatedFault.START: 0, SimulatedFault.POWER_OFF_FOR_GOOD: 0, ZoneFault.KILL_ZONE: 0,
    ZoneFault.KILL_SPEAKERS: 0,
}  # fmt: skip


@dataclass
class Verdict:
    """How a play came out."""

    broken: list[str]
    settled: int | None = None  # microseconds after the last fault
    share_sum_max: float = 0.0
    messages: int = 0
    never_connected: bool = False  # two sides that never met, and none runs whose address both were given


class Player:
    """Plays a schedule and judges it. ``dark`` are members whose machines are off for good."""

    def __init__(
        self,
        schedule: Schedule,
        view: type[ClusterView] = ClusterView,
        share_rule: Callable[[int, int, int, int], int] = proxy_count,
        settings: MembershipSettings | None = None,
    ) -> None:
        self.schedule = schedule
        self.net = SimulatedCluster(
            schedule.members, schedule.seed, settings, view=view, share_rule=share_rule
        )
        self.broken: dict[str, None] = {}
        self.cordons: dict[str, str] = {}  # server -> out, in, or open where nothing is owed
        self.dark: set[str] = set()
        self.cordoned_at: dict[str, tuple[int, str]] = {}  # server -> when it was set, and by whom
        self.net.watch = self._watch

    def _watch(self) -> None:
        net = self.net
        if net.share_sum_max > 1.0 + 1e-9:
            self._fault(f"shares sum to {net.share_sum_max:.2f}")
            net.share_sum_max = 0.0
        for server, state in self.cordons.items():
            if state == "out" and not any(server in p.cordoned for p in net.running.values()):
                self.cordons[server] = "open"  # all who knew of it have ended

    def _fault(self, text: str) -> None:
        self.broken.setdefault(text)

    def _step(self, step: Step) -> None:
        """Begin one fault, and have it end when its span is over."""
        if step.what in (SimulatedFault.CORDON, SimulatedFault.UNCORDON):
            self._cordon_step(step)
        elif step.what in NETWORK_FAULTS:
            self._network_step(step)
        else:
            self._process_step(step)

    def _process_step(self, step: Step) -> None:
        net, first = self.net, step.who[0] if step.who else ""
        match step.what:
            case SimulatedFault.KILL:
                self._kill(first)
            case SimulatedFault.RESTART | SimulatedFault.CLOCK_SKEW:
                net.skew[first] = net.skew.get(first, 0) + int(step.number * SECOND)
                self._kill(first)
                net.at(net.now + min(step.span, RESTART_DELAY_MAX), lambda: self._start(first))
            case SimulatedFault.LEAVE:
                net.leave(first)
                net.at(net.now + LEAVE_TIME, lambda: self._open_cordons(first))
            case SimulatedFault.POWER_OFF | SimulatedFault.POWER_OFF_FOR_GOOD:
                self._power_off(step, first)
            case SimulatedFault.START if first not in net.running:
                self._start(first)
            case SimulatedFault.KILL_SOME:
                for name in step.who:
                    self._kill(name)
            case SimulatedFault.RESTART_ALL:
                self._restart_all()
            case SimulatedFault.STALL:
                net.stall(first, step.span)

    def _restart_all(self) -> None:
        """Kill all members; they start again spread over a second."""
        net = self.net
        for n, name in enumerate(net.names):
            self._kill(name)
            net.at(net.now + n * SECOND // len(net.names), partial(self._start, name))

    def _power_off(self, step: Step, name: str) -> None:
        """Switch a machine off: nothing there refuses anything."""
        net = self.net
        net.powered_off.add(name)
        if step.what == SimulatedFault.POWER_OFF_FOR_GOOD:
            self.dark.add(name)
            self._kill(name)
            return
        self._kill(name)
        net.at(net.now + step.span, lambda: net.powered_off.discard(name) if name not in self.dark else None)

    def _network_step(self, step: Step) -> None:
        net, ends = self.net, self.net.now + step.span
        if step.what == SimulatedFault.LOSS:
            net.loss = step.number
            net.at(ends, lambda: setattr(net, "loss", 0.0))
            return
        if step.what == SimulatedFault.DUPLICATION:
            net.doubled = step.number
            net.at(ends, lambda: setattr(net, "doubled", 0.0))
            return
        some, rest = list(step.who), [n for n in net.names if n not in step.who]
        if step.what == SimulatedFault.PARTITION_IN_THREE:
            links = net.partition(some, rest[::2], rest[1::2])
        else:
            links = net.partition(some, rest, one_way=step.what == SimulatedFault.PARTITION_ONE_WAY)
        net.at(ends, lambda: net.heal(links))

    def _cordon_step(self, step: Step) -> None:
        """Cordon or uncordon at one member, unless it does not run or is stalled."""
        net, name = self.net, step.who[0] if step.who else ""
        if name not in net.running or net.running[name].stalled_until > net.now:
            return
        if step.what == SimulatedFault.CORDON:
            if step.server not in self.cordoned_at:
                self.cordoned_at[step.server] = net.now, name
                self.cordons[step.server] = "out"
                net.cordon(name, step.server, True)
        elif step.server in net.running[name].cordoned and self.cordons[step.server] == "out":
            self.cordons[step.server] = "in"
            self.cordoned_at[step.server] = net.now, name
            net.cordon(name, step.server, False)

    def _can_meet(self) -> bool:
        """Whether words can get from each running process to each: along names it knows and those it was told
        at the start. Else nobody could know of the other side, whatever the protocol."""
        running, seeds = self.net.running, {name for name, _ in self.net.settings.seeds}
        reached, todo = set(list(running)[:1]), list(running)[:1]
        while todo:
            one = todo.pop()
            ways = {n for n in running if n in running[one].view.records or n in seeds}
            ways |= {n for n in running if one in running[n].view.records or one in seeds}
            todo += ways - reached
            reached |= ways
        return reached == set(running)

    def _counted(self) -> bool:
        """Whether all that have ended are counted out."""
        return all(p.proxy_count.value <= self._number(p) for p in self._running())

    def _number(self, process: Process) -> int:
        """What it should be told in the end. A name that ended before all others of today began is known to
        nobody: it may still be there, unseen, and have counted out whoever started since."""
        whole, ended = self.net.configured, process.view.records.keys() - self.net.running.keys() - self.dark
        # Who is dark may not have answered this life, and answers nobody's any more.
        strange = max(0, whole - process.view.members.known_count) + len(self.dark)
        return proxy_count(whole, whole, len(ended), strange)

    def _running(self) -> list[Process]:
        return list(self.net.running.values())

    def _start(self, name: str) -> None:
        if name not in self.net.powered_off:
            self.net.start(name)

    def _kill(self, name: str) -> None:
        self.net.kill(name)
        self._open_cordons(name)

    def _open_cordons(self, name: str) -> None:
        """A cordon that a member set just before its end may be known to no other."""
        for server, (when, by) in self.cordoned_at.items():
            if by == name and self.net.now - when < CORDON_SPREAD:
                self.cordons[server] = "open"

    def play(self) -> Verdict:
        """Play the whole schedule and judge it."""
        net = self.net
        for name in net.names:
            net.start(name)
        self._run_steps()
        end = net.now
        settled = net.until(net.agreed, 3 * SETTLE)
        if settled is None and not self._can_meet():
            return Verdict(list(self.broken), None, net.share_sum_max, net.sent, never_connected=True)
        if settled is None or settled > SETTLE_MAX:
            self._fault(f"views differ {SETTLE_MAX // SECOND} s after the last fault")
        if (settled or 3 * SETTLE) > HELD_DEAD:
            running = set(net.running)
            for process in net.running.values():
                if held := running - net.active_names(process):
                    self._fault(f"{process.name} holds {sorted(held)} for dead")
        net.run(max(net.now, end + SETTLE))
        net.until(self._counted, COUNTED_OUT)
        if not net.agreed():
            self._fault("views that were equal differ again")
        self._judge_cordons()
        self._judge_processes(f", with {net.configured - len(net.running)} ended")
        return Verdict(list(self.broken), settled, net.share_sum_max, net.sent)

    def _run_steps(self) -> None:
        """Run until the last fault is over: then nothing is stalled, cut or lost any more."""
        net, steps = self.net, self.schedule.steps
        net.run(START_TIME)
        for step in steps:
            net.at(net.now + step.at, partial(self._step, step))
        net.run(net.now + max((s.at + DURATIONS.get(s.what, s.span) for s in steps), default=0) + 1)
        net.heal()
        net.loss = net.doubled = 0.0
        net.powered_off &= self.dark

    def _judge_cordons(self) -> None:
        for server, state in self.cordons.items():
            for process in self._running():
                if state != "open" and (server in process.cordoned) != (state == "out"):
                    self._fault(
                        f"cordon of {server}: {process.name} has it {'in' if state == 'out' else 'out'}"
                    )

    def _judge_processes(self, ended: str = "") -> None:
        """Check that the ended are counted out, and that each digest fits its view."""
        for process in self._running():
            if process.proxy_count.value > self._number(process):
                self._fault(f"{process.name} is still told {process.proxy_count.value}{ended}")
            if _digest(process.view) != process.view.digest:
                self._fault(f"{process.name}: the digest is not that of what it holds")


def _digest(view: ClusterView) -> int:
    found = activity_fingerprint(view.me)
    for record in view.records.values():
        found ^= activity_fingerprint(record)
    for cordon in view.cordons.by_endpoint.values():
        found ^= cordon_fingerprint(cordon)
    return found
