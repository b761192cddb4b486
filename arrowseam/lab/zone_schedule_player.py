"""Plays schedules with zones on the simulated cluster and judges them."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from fractions import Fraction
from functools import partial

from arrowseam.lab.schedule_drawing import ZoneFault
from arrowseam.lab.schedule_player import COUNTED_OUT, HELD_DEAD, SETTLE, SETTLE_MAX, Player, Verdict
from arrowseam.lab.schedules import Step, ZoneSchedule
from arrowseam.lab.simulated_cluster import MS, SECOND, Process, SimulatedCluster
from arrowseam.membership.proxy_share import proxy_count
from arrowseam.membership.settings import MembershipSettings
from arrowseam.membership.view import ClusterView
from arrowseam.membership.zones import SPEAKER_COUNT, speaker_rank

# A zone that is lost or cut off for this long is held silent, and one that is back for this long is not.
# Silence is declared 6 s after the last heartbeat arrived, and a heartbeat is gossiped for up to 2.5 s.
SILENCE_DELAY_MAX = 9 * SECOND
CORDON_DELAY_MAX = 2 * SECOND  # until all connected members know a cordon, without faults
CHECK_INTERVAL = 500 * MS  # of the silent zones


class ZonePlayer(Player):
    """Plays schedules with zones: a view is of its own zone, cordons are of all, lost zones silent."""

    def __init__(
        self,
        schedule: ZoneSchedule,
        view: type[ClusterView] = ClusterView,
        settings: MembershipSettings | None = None,
        established: bool = True,
    ) -> None:
        super().__init__(schedule, view, settings=settings)
        self.net = SimulatedCluster(
            schedule.members, schedule.seed, settings, view=view, zones=schedule.zones
        )
        self.net.watch = self._on_event
        self.established = established
        # Member -> its process, the members that can reach it, and since when.
        self.reached_by: dict[str, tuple[Process, frozenset[str], int]] = {}
        self.reachability_version = 0  # of the cluster, when ``reached_by`` was computed
        self.cordon_delays: list[int] = []  # microseconds until all members knew a cordon

    def _play_step(self, step: Step) -> None:
        net, who = self.net, step.who
        running = sorted((n for n in who if n in net.running), key=speaker_rank)
        match step.what:
            case ZoneFault.KILL_ZONE | ZoneFault.KILL_SPEAKERS:
                self._kill_all(running if step.what == ZoneFault.KILL_ZONE else running[:SPEAKER_COUNT])
            case ZoneFault.START_ZONE:
                self._start_all(name for name in who if name not in net.running)
            case ZoneFault.POWER_OFF_ZONE:
                self._power_off_zone(step)
            case ZoneFault.STALL_SPEAKER:
                if running:
                    net.stall(running[0], step.span)
            case ZoneFault.CUT_REGION | ZoneFault.CUT_REGION_ONE_WAY:
                rest = [n for n in net.names if n not in who]
                links = net.partition(list(who), rest, one_way=step.what == ZoneFault.CUT_REGION_ONE_WAY)
                net.at(net.now + step.span, lambda: net.heal(links))
            case ZoneFault.RESTART_IN_CUT_REGIONS:
                self._restart_in_cut_regions(step)
            case _:
                super()._play_step(step)

    def _kill_all(self, names: Iterable[str]) -> None:
        for name in names:
            self._kill(name)

    def _start_all(self, names: Iterable[str]) -> None:
        for name in names:
            self._start(name)

    def _power_off_zone(self, step: Step) -> None:
        for name in step.who:
            self.net.powered_off.add(name)
            self._kill(name)
        if step.number:
            self.net.at(self.net.now + step.span, lambda: self._power_on(step.who))
        else:
            self.off_for_good.update(step.who)

    def _restart_in_cut_regions(self, step: Step) -> None:
        """Cut two regions off; halfway through, half of their members are restarted."""
        net = self.net
        one, other = step.who[: int(step.number)], step.who[int(step.number) :]
        rest = [n for n in net.names if n not in step.who]
        links = net.partition(list(one), list(other), rest)
        for name in (*one[::2], *other[::2]):
            if name in net.running:
                net.at(net.now + step.span // 2, partial(self._restart, name))
        net.at(net.now + step.span, lambda: net.heal(links))

    def _power_on(self, who: tuple[str, ...]) -> None:
        for name in who:
            if name not in self.off_for_good:
                self.net.powered_off.discard(name)
                self._start(name)

    def _restart(self, name: str) -> None:
        if name in self.net.running:
            self._kill(name)
            self._start(name)

    # --- checks ---

    def _sources_by_member(self) -> dict[str, frozenset[str]]:
        """Return, for each member, those whose messages can reach it, directly or through others."""
        net = self.net
        able = [n for n, p in net.running.items() if p.stalled_until <= net.now and n not in net.powered_off]
        senders_to = {b: [a for a in able if a != b and (a, b) not in net.cut_links] for b in able}
        found = {}
        for name in able:
            sources, todo = {name}, [name]
            while todo:
                more = [a for a in senders_to[todo.pop()] if a not in sources]
                sources.update(more)
                todo += more
            found[name] = frozenset(sources)
        return found

    def _on_event(self) -> None:
        """Check after each event: a link that is up for less than the interval can carry a message too."""
        super()._on_event()
        if self.reachability_version != self.net.reachability_version:
            self._update_reachability()

    def _update_reachability(self) -> None:
        net = self.net
        self.reachability_version = net.reachability_version
        sources_by_member = {} if net.loss else self._sources_by_member()
        before, self.reached_by = self.reached_by, {}
        for name, sources in sources_by_member.items():
            process = net.running[name]
            last = before.get(name)
            same = last is not None and last[0] is process and last[1] == sources
            since = last[2] if last is not None and same else net.now
            self.reached_by[name] = process, sources, since

    def _check_silence(self) -> None:
        """Check that zones that are lost or cut off are held silent, and no others.

        A minority of a zone is exempt: if two zones are mostly cut off, the few members that still reach each
        other need not know each other's addresses, and learn late what the other has heard.
        """
        net = self.net
        net.at(net.now + CHECK_INTERVAL, self._check_silence)
        self._update_reachability()
        running = Counter(net.zone_of[name] for name in net.running)
        for process, sources, since in self.reached_by.values():
            if net.now - since >= SILENCE_DELAY_MAX:
                self._judge_silence(process, Counter(net.zone_of[other] for other in sources), running)

    def _judge_silence(self, process: Process, reaching: Counter[str], running: Counter[str]) -> None:
        """``reaching``: how many of each zone could long reach the process; ``running``: how many run."""
        connected = {zone for zone, count in reaching.items() if 2 * count > running[zone]}
        if self.net.zone_of[process.name] not in connected:
            return
        for zone in process.view.zones.others:
            if zone.name in connected and (zone.silent or zone.heartbeat_at is None):
                self._report_violation(f"{process.name} holds zone {zone.name} silent, which can reach it")
            elif zone.name not in reaching and not zone.silent and zone.heartbeat_at is not None:
                self._report_violation(
                    f"{process.name} does not hold zone {zone.name} silent, which cannot reach it"
                )

    def _can_connect(self) -> bool:
        running = self.net.running
        neighbours: dict[str, set[str]] = {name: set() for name in running}
        for name, process in running.items():
            known = {r.name for zone in process.view.zones.others for r in zone.contacts.values()}
            known |= process.view.records.keys() | {host for host, _ in process.view.settings.seeds}
            for other in known & running.keys():
                neighbours[name].add(other)
                neighbours[other].add(name)
        reached, todo = set(list(running)[:1]), list(running)[:1]
        while todo:
            more = neighbours[todo.pop()] - reached
            reached |= more
            todo += more
        return reached == set(running)

    def _expected_proxy_count(self, process: Process) -> int:
        net, view = self.net, process.view
        size = net.zones[view.settings.zone]
        off_for_good = {n for n in self.off_for_good if net.zone_of[n] == view.settings.zone}
        ended = view.records.keys() - net.running.keys() - off_for_good
        unconfirmed = max(0, size - view.members.known_count) + len(off_for_good)
        return proxy_count(size, size, len(ended), unconfirmed, Fraction(size, net.configured))

    def _judge_held_dead(self) -> None:
        net = self.net
        for name, process in net.running.items():
            zone = {n for n in net.running if net.zone_of[n] == net.zone_of[name]}
            if held := zone - net.active_names(process):
                self._report_violation(f"{name} holds running members {sorted(held)} dead")

    def _all_equal(self) -> bool:
        """Whether the views of each zone are equal, and all cordons."""
        return self.net.agreed() and len({p.view.cordons.digest for p in self._running()}) <= 1

    def _judge_cordon_spread(self, rnd: random.Random) -> None:
        """Check how long a cordon takes, set at one member and lifted at another, without faults."""
        for out in (True, False):
            if not self.net.running:
                return
            self.net.cordon(rnd.choice(sorted(self.net.running)), "last", out)
            took = self.net.until(
                lambda out=out: all(("last" in p.cordoned) == out for p in self._running()),  # type: ignore[misc]
                2 * CORDON_DELAY_MAX,
            )
            self.cordon_delays.append(2 * CORDON_DELAY_MAX if took is None else took)
            if took is None or took > CORDON_DELAY_MAX:
                what = "cordon" if out else "uncordon"
                self._report_violation(f"a {what} is not known to all after {CORDON_DELAY_MAX // SECOND} s")

    def play(self) -> Verdict:
        """Play the whole schedule and judge it."""
        net = self.net
        if self.established:
            net.start_established()
        else:
            for name in net.names:
                net.start(name)
        net.at(net.now, self._check_silence)
        self._run_steps()
        end = net.now
        could_connect = self._can_connect()
        net.until(self._all_equal, HELD_DEAD)
        self._judge_held_dead()
        settled = net.now - end if self._all_equal() else None
        if settled is None and net.until(self._all_equal, 3 * SETTLE) is not None:
            settled = net.now - end
        if settled is None and not (could_connect and self._can_connect()):
            return Verdict(list(self.violations), None, net.share_sum_max, net.sent, never_connected=True)
        if settled is None or settled > SETTLE_MAX:
            self._report_violation(f"views differ {SETTLE_MAX // SECOND} s after the last fault")
        net.run(max(net.now, end + SILENCE_DELAY_MAX + 3 * CHECK_INTERVAL))
        net.until(self._ended_are_counted_out, COUNTED_OUT)
        if not self._all_equal():
            self._report_violation("views that were equal differ again")
        self._judge_cordons()
        self._judge_processes()
        self._judge_cordon_spread(random.Random(self.schedule.seed))
        return Verdict(list(self.violations), settled, net.share_sum_max, net.sent)

    def _judge_cordons(self) -> None:
        for server, state in self.expected_cordons.items():
            wrong = [p.name for p in self._running() if (server in p.cordoned) != (state == "out")]
            if state != "open" and wrong:
                self._report_violation(
                    f"cordon of {server}: {wrong[0]} holds it {'in' if state == 'out' else 'out'}"
                )
