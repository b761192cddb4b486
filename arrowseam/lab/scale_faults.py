"""The faults of a scale run, injected into its simulated members."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from arrowseam.lab.scale_plan import ScaleFault
from arrowseam.lab.scale_record import Phase
from arrowseam.lab.simulated_process import SimulatedProcess
from arrowseam.net.clock import clock

if TYPE_CHECKING:
    from arrowseam.lab.scale import Run

RESTART_DELAY = 0.5  # seconds between the end of a member and its restart
# Operators expect 23 silent deaths and 830 restarts a day among 6,500 members, in zones of 542.
SILENT_PER_DAY, RESTARTS_PER_DAY, EXPECTED_MEMBERS, EXPECTED_ZONE = 23, 830, 6_500, 542


class FaultInjector:
    """Injects the fault of a phase. ``restarted`` are the members that it has restarted."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.restarted: list[str] = []

    def inject(self, phase: Phase) -> None:
        """Inject the fault and wait for its end.

        The run's ``reachable_since`` and ``changed_at`` tell the checks about it.
        """
        self.restarted = []
        match fault := ScaleFault(phase.fault):
            case ScaleFault.REST:
                pass
            case ScaleFault.RESTART | ScaleFault.RESTARTS:
                self._restart_some(phase, fault)
            case ScaleFault.SILENT:
                phase.ended = self._sample_members(
                    max(1, round(self.run.plan.members * SILENT_PER_DAY / EXPECTED_MEMBERS))
                )
                phase.about = f"{len(phase.ended)} silent, connections not refused"
                self.run.command("mute", phase.ended)
            case ScaleFault.RACK:
                self._kill_process(phase)
            case ScaleFault.ZONE:
                self._silence_zone(phase)
            case ScaleFault.CUT | ScaleFault.ONE_WAY:
                self._cut_region(phase, fault)
            case ScaleFault.STOP:
                self._stop_process(phase, fault)
            case ScaleFault.HALF:
                self._restart_half(phase)
            case ScaleFault.LEADER:
                self._end_leader(phase)
        phase.ends, self.run.reachable_since = self.run.now, clock()

    def _restart_some(self, phase: Phase, fault: ScaleFault) -> None:
        """Restart one member, or within the span as many as restart in an hour at the expected rate."""
        count, span = 1, 0.0
        if fault is ScaleFault.RESTARTS:
            count = max(2, round(self.run.plan.members * RESTARTS_PER_DAY / EXPECTED_MEMBERS / 24))
            span = self.run.plan.span(fault)
        phase.about = f"{count} restarted"
        for name in self._sample_members(count):
            self.run.command("end", [name])
            self.run.wait(RESTART_DELAY)
            self.run.command("start", [name])
            self.restarted.append(name)
            self.run.wait(max(0.0, span / count - RESTART_DELAY))

    def _last_process(self) -> SimulatedProcess:
        return [host for host in self.run.hosts if not host.dead][-1]

    def _kill_process(self, phase: Phase) -> None:
        host = self._last_process()
        host.dead = True
        host.process.kill()
        host.process.wait()
        self.run.measurements.shares[host.number].append((clock(), 0.0))
        phase.ended = [n for n in host.names if n in self.run.running]
        phase.about = f"{len(phase.ended)} of one process killed, connections refused"
        self.run.mark_ended(phase.ended)
        self.run.changed_at = clock()

    def _silence_zone(self, phase: Phase) -> None:
        """Silence the last zone, or with a single zone as many members as an expected zone has."""
        plan, last = self.run.plan, self.run.plan.zones - 1
        if plan.zones > 1:
            phase.ended = [n for n, z in self.run.running.items() if z == last and n in self.run.host_of]
        else:
            phase.ended = self._sample_members(round(plan.members * EXPECTED_ZONE / EXPECTED_MEMBERS))
        phase.about = f"{len(phase.ended)} silent at once, connections not refused"
        self.run.command("mute", phase.ended)

    def _cut_region(self, phase: Phase, fault: ScaleFault) -> None:
        """Cut off a region for the span; one way, only what the region sends is lost."""
        region = self._region()
        inside = [self.run.addresses[n] for h in region for n in h.names]
        outside = [a for n, a in self.run.addresses.items() if self.run.host_of.get(n) not in region]
        phase.about = f"{len(inside)} cut off for {self.run.plan.span(fault):g} s"
        self.run.reachable_since = 0
        alive = [host for host in self.run.hosts if not host.dead]
        for host in alive:
            unsent, unheard = (outside, outside) if host in region else (inside, inside)
            if fault is ScaleFault.ONE_WAY:
                unsent, unheard = (outside, []) if host in region else ([], inside)
            host.send(do="cut", dumb=unsent, deaf=unheard)
        self.run.wait(self.run.plan.span(fault))
        for host in alive:
            host.send(do="cut", dumb=[], deaf=[])
        self.run.changed_at = clock()

    def _stop_process(self, phase: Phase, fault: ScaleFault) -> None:
        host = self._last_process()
        phase.about = f"{len(host.names)} stopped for {self.run.plan.span(fault):g} s"
        self.run.reachable_since, host.stopped = 0, True
        host.process.send_signal(signal.SIGSTOP)
        try:
            self.run.wait(self.run.plan.span(fault))
        finally:
            host.process.send_signal(signal.SIGCONT)
        host.stopped = False
        self.run.changed_at = clock()

    def _restart_half(self, phase: Phase) -> None:
        half = [n for h in self.run.hosts[1::2] if not h.dead for n in h.names if n in self.run.running]
        phase.about = f"{len(half)} ended, and restarted at once 2 s later"
        self.run.command("end", half)
        self.run.wait(2.0)
        self.run.command("start", half)
        self.restarted = half

    def _end_leader(self, phase: Phase) -> None:
        leaders = [n for h in self.run.hosts if not h.dead for n in h.leaders]
        phase.ended = leaders[:1]
        phase.about = f"the leader {' '.join(leaders[:1]) or '(none)'} ended"
        if not leaders:
            self.run.report_violation("no simulated member was the Raft leader")
        self.run.command("end", phase.ended)

    def _sample_members(self, count: int) -> list[str]:
        """Draw running simulated members, except the first of each process: those are seeds and voters."""
        candidates = [
            n
            for h in self.run.hosts
            if not h.dead and not h.stopped
            for n in h.names[1:]
            if n in self.run.running
        ]
        return self.run.rnd.sample(candidates, min(count, len(candidates)))

    def _region(self) -> list[SimulatedProcess]:
        """Return the processes of the last quarter of the zones, or the last quarter of the processes."""
        if self.run.plan.zones >= 4:
            return [
                h
                for h in self.run.hosts
                if h.zone >= self.run.plan.zones - self.run.plan.zones // 4 and not h.dead
            ]
        alive = [h for h in self.run.hosts if not h.dead]
        return alive[-max(1, len(alive) // 4) :]
