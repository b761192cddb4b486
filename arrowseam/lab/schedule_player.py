"""Plays schedules on the simulated cluster and judges them by the bounds that operators were promised.

It judges by what the views hold and do, not by how they came to it.
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

SETTLE = 5 * SECOND  # after the last fault; by then all views are equal in 99 of 100 schedules
SETTLE_MAX = 10 * SECOND  # and by then in every schedule
HELD_DEAD = 3 * SECOND  # after the last fault; from then on no view may hold a running, reachable member dead
COUNTED_OUT = 40 * SECOND  # once views are equal, until ended members are counted out of budgets
CORDON_SPREAD = 2 * SECOND  # a cordon that is older outlives the member that set it
START_TIME = 3 * SECOND  # between the members' start and the schedule's
RESTART_DELAY_MAX = 300 * MS
LEAVE_TIME = 1500 * MS
NETWORK_FAULTS = (
    SimulatedFault.PARTITION, SimulatedFault.PARTITION_ONE_WAY, SimulatedFault.PARTITION_IN_THREE,
    SimulatedFault.LOSS, SimulatedFault.DUPLICATION,
)  # fmt: skip
# How long a fault lasts, if that is not the span of its step.
DURATIONS: dict[str, int] = {
    SimulatedFault.KILL: 0, SimulatedFault.KILL_SOME: 0, SimulatedFault.RESTART: RESTART_DELAY_MAX,
    SimulatedFault.CLOCK_SKEW: RESTART_DELAY_MAX, SimulatedFault.RESTART_ALL: SECOND,
    SimulatedFault.LEAVE: LEAVE_TIME, SimulatedFault.CORDON: 0, SimulatedFault.UNCORDON: 0,
    SimulatedFault.START: 0, SimulatedFault.POWER_OFF_FOR_GOOD: 0, ZoneFault.KILL_ZONE: 0,
    ZoneFault.KILL_SPEAKERS: 0,
}  # fmt: skip


@dataclass
class Verdict:
    """The result of a play."""

    broken: list[str]
    settled: int | None = None  # microseconds after the last fault
    share_sum_max: float = 0.0
    messages: int = 0
    never_connected: bool = False  # two sides can't find each other, since no seed of both runs


class Player:
    """Plays a schedule and judges it. ``off_for_good`` are members whose machines stay without power."""

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
        self.violations: dict[str, None] = {}
        self.expected_cordons: dict[str, str] = {}  # server -> expected: out, in, or open if either
        self.off_for_good: set[str] = set()
        self.cordoned_at: dict[str, tuple[int, str]] = {}  # server -> its last change: when, at which member
        self.net.watch = self._on_event

    def _on_event(self) -> None:
        net = self.net
        if net.share_sum_max > 1.0 + 1e-9:
            self._report_violation(f"shares sum to {net.share_sum_max:.2f}")
            net.share_sum_max = 0.0
        for server, state in self.expected_cordons.items():
            if state == "out" and not any(server in p.cordoned for p in net.running.values()):
                self.expected_cordons[server] = "open"  # all members that knew of it have ended

    def _report_violation(self, text: str) -> None:
        self.violations.setdefault(text)

    def _play_step(self, step: Step) -> None:
        """Begin one fault, and schedule its end."""
        if step.what in (SimulatedFault.CORDON, SimulatedFault.UNCORDON):
            self._play_cordon_step(step)
        elif step.what in NETWORK_FAULTS:
            self._play_network_step(step)
        else:
            self._play_process_step(step)

    def _play_process_step(self, step: Step) -> None:
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
                net.at(net.now + LEAVE_TIME, lambda: self._exempt_recent_cordons(first))
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
        """Switch a machine off: it refuses no connections any more."""
        net = self.net
        net.powered_off.add(name)
        if step.what == SimulatedFault.POWER_OFF_FOR_GOOD:
            self.off_for_good.add(name)
            self._kill(name)
            return
        self._kill(name)
        net.at(
            net.now + step.span,
            lambda: net.powered_off.discard(name) if name not in self.off_for_good else None,
        )

    def _play_network_step(self, step: Step) -> None:
        net, ends = self.net, self.net.now + step.span
        if step.what == SimulatedFault.LOSS:
            net.loss = step.number
            net.at(ends, lambda: setattr(net, "loss", 0.0))
            return
        if step.what == SimulatedFault.DUPLICATION:
            net.doubled = step.number
            net.at(ends, lambda: setattr(net, "doubled", 0.0))
            return
        group, rest = list(step.who), [n for n in net.names if n not in step.who]
        if step.what == SimulatedFault.PARTITION_IN_THREE:
            links = net.partition(group, rest[::2], rest[1::2])
        else:
            links = net.partition(group, rest, one_way=step.what == SimulatedFault.PARTITION_ONE_WAY)
        net.at(ends, lambda: net.heal(links))

    def _play_cordon_step(self, step: Step) -> None:
        """Cordon or uncordon at one member, unless it is not running or stalled."""
        net, name = self.net, step.who[0] if step.who else ""
        if name not in net.running or net.running[name].stalled_until > net.now:
            return
        if step.what == SimulatedFault.CORDON:
            if step.server not in self.cordoned_at:
                self.cordoned_at[step.server] = net.now, name
                self.expected_cordons[step.server] = "out"
                net.cordon(name, step.server, True)
        elif step.server in net.running[name].cordoned and self.expected_cordons[step.server] == "out":
            self.expected_cordons[step.server] = "in"
            self.cordoned_at[step.server] = net.now, name
            net.cordon(name, step.server, False)

    def _can_connect(self) -> bool:
        """Whether all running processes can find each other, by the names that they know and by their seeds.
        If not, no protocol could tell one side of the other."""
        running, seeds = self.net.running, {host for host, _ in self.net.settings.seeds}
        reached, todo = set(list(running)[:1]), list(running)[:1]
        while todo:
            name = todo.pop()
            neighbours = {n for n in running if n in running[name].view.records or n in seeds}
            neighbours |= {n for n in running if name in running[n].view.records or name in seeds}
            todo += neighbours - reached
            reached |= neighbours
        return reached == set(running)

    def _ended_are_counted_out(self) -> bool:
        """Whether all members that have ended are counted out."""
        return all(p.proxy_count.value <= self._expected_proxy_count(p) for p in self._running())

    def _expected_proxy_count(self, process: Process) -> int:
        """Return the proxy count that a process must reach. A member that ended before all running ones began
        is known to none of them: it may still run unseen, and may have counted out those that began since."""
        size, ended = (
            self.net.configured,
            process.view.records.keys() - self.net.running.keys() - self.off_for_good,
        )
        # A member that is off for good may not have answered this process, and answers none any more.
        unconfirmed = max(0, size - process.view.members.known_count) + len(self.off_for_good)
        return proxy_count(size, size, len(ended), unconfirmed)

    def _running(self) -> list[Process]:
        return list(self.net.running.values())

    def _start(self, name: str) -> None:
        if name not in self.net.powered_off:
            self.net.start(name)

    def _kill(self, name: str) -> None:
        self.net.kill(name)
        self._exempt_recent_cordons(name)

    def _exempt_recent_cordons(self, name: str) -> None:
        """Expect nothing of a cordon that a member set just before its end: no other may know it."""
        for server, (changed_at, by) in self.cordoned_at.items():
            if by == name and self.net.now - changed_at < CORDON_SPREAD:
                self.expected_cordons[server] = "open"

    def play(self) -> Verdict:
        """Play the whole schedule and judge it."""
        net = self.net
        for name in net.names:
            net.start(name)
        self._run_steps()
        end = net.now
        settled = net.until(net.agreed, 3 * SETTLE)
        if settled is None and not self._can_connect():
            return Verdict(list(self.violations), None, net.share_sum_max, net.sent, never_connected=True)
        if settled is None or settled > SETTLE_MAX:
            self._report_violation(f"views differ {SETTLE_MAX // SECOND} s after the last fault")
        if (settled or 3 * SETTLE) > HELD_DEAD:
            running = set(net.running)
            for process in net.running.values():
                if held := running - net.active_names(process):
                    self._report_violation(f"{process.name} holds running members {sorted(held)} dead")
        net.run(max(net.now, end + SETTLE))
        net.until(self._ended_are_counted_out, COUNTED_OUT)
        if not net.agreed():
            self._report_violation("views that were equal differ again")
        self._judge_cordons()
        self._judge_processes(f", with {net.configured - len(net.running)} ended")
        return Verdict(list(self.violations), settled, net.share_sum_max, net.sent)

    def _run_steps(self) -> None:
        """Run until the last fault is over; then nothing is stalled, cut off or lost any more."""
        net, steps = self.net, self.schedule.steps
        net.run(START_TIME)
        for step in steps:
            net.at(net.now + step.at, partial(self._play_step, step))
        net.run(net.now + max((s.at + DURATIONS.get(s.what, s.span) for s in steps), default=0) + 1)
        net.heal()
        net.loss = net.doubled = 0.0
        net.powered_off &= self.off_for_good

    def _judge_cordons(self) -> None:
        for server, state in self.expected_cordons.items():
            for process in self._running():
                if state != "open" and (server in process.cordoned) != (state == "out"):
                    self._report_violation(
                        f"cordon of {server}: {process.name} holds it {'in' if state == 'out' else 'out'}"
                    )

    def _judge_processes(self, suffix: str = "") -> None:
        """Check that ended members are counted out, and that each digest matches its view."""
        for process in self._running():
            if process.proxy_count.value > self._expected_proxy_count(process):
                self._report_violation(
                    f"{process.name} still divides budgets by {process.proxy_count.value}{suffix}"
                )
            if _compute_digest(process.view) != process.view.digest:
                self._report_violation(f"{process.name}: the digest does not match its records and cordons")


def _compute_digest(view: ClusterView) -> int:
    digest = activity_fingerprint(view.me)
    for record in view.records.values():
        digest ^= activity_fingerprint(record)
    for cordon in view.cordons.by_endpoint.values():
        digest ^= cordon_fingerprint(cordon)
    return digest
