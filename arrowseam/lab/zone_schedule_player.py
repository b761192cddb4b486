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

# A zone that is lost or cut for so long is held silent, and the reverse: 6 s after its last heartbeat, which
# is gossiped for up to 2.5 s, arrived.
SILENT_KNOWN = 9 * SECOND
CORDON_EVERYWHERE = 2 * SECOND  # a cordon is known to all connected members, while there is no fault
CHECK_INTERVAL = 500 * MS  # between two checks of the silent zones


class ZonePlayer(Player):
    """Plays schedules with zones: a view is of its own zone, cordons are of all, lost zones are silent."""

    def __init__(
        self,
        schedule: ZoneSchedule,
        view: type[ClusterView] = ClusterView,
        settings: MembershipSettings | None = None,
        stood: bool = True,
    ) -> None:
        super().__init__(schedule, view, settings=settings)
        self.net = SimulatedCluster(
            schedule.members, schedule.seed, settings, view=view, zones=schedule.zones
        )
        self.net.watch = self._watch
        self.stood = stood
        self.reached: dict[str, tuple[Process, frozenset[str], int]] = {}  # who reaches each, since when
        self.reachability_version = 0  # of the cluster, when ``reached`` was computed
        self.everywhere: list[int] = []  # microseconds until cordons were everywhere

    def _step(self, step: Step) -> None:
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
                super()._step(step)

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
            self.net.at(self.net.now + step.span, lambda: self._power(step.who))
        else:
            self.dark.update(step.who)

    def _restart_in_cut_regions(self, step: Step) -> None:
        """Cut two regions off; halfway through, half of their members restart."""
        net = self.net
        one, other = step.who[: int(step.number)], step.who[int(step.number) :]
        rest = [n for n in net.names if n not in step.who]
        links = net.partition(list(one), list(other), rest)
        for name in (*one[::2], *other[::2]):
            if name in net.running:
                net.at(net.now + step.span // 2, partial(self._again, name))
        net.at(net.now + step.span, lambda: net.heal(links))

    def _power(self, who: tuple[str, ...]) -> None:
        for name in who:
            if name not in self.dark:
                self.net.powered_off.discard(name)
                self._start(name)

    def _again(self, name: str) -> None:
        if name in self.net.running:
            self._kill(name)
            self._start(name)

    # --- what is owed ---

    def _reach(self) -> dict[str, frozenset[str]]:
        """Who can get a word to each, by whatever way round."""
        net = self.net
        able = [n for n, p in net.running.items() if p.stalled_until <= net.now and n not in net.powered_off]
        into = {b: [a for a in able if a != b and (a, b) not in net.cut_links] for b in able}
        found = {}
        for name in able:
            seen, todo = {name}, [name]
            while todo:
                more = [a for a in into[todo.pop()] if a not in seen]
                seen.update(more)
                todo += more
            found[name] = frozenset(seen)
        return found

    def _watch(self) -> None:
        """After each event; a way that is open for less than a check interval can carry a message too."""
        super()._watch()
        if self.reachability_version != self.net.reachability_version:
            self._observe_reach()

    def _observe_reach(self) -> None:
        net = self.net
        self.reachability_version = net.reachability_version
        reach = {} if net.loss else self._reach()
        before, self.reached = self.reached, {}
        for name, those in reach.items():
            process = net.running[name]
            was = before.get(name)
            same = was is not None and was[0] is process and was[1] == those
            since = was[2] if was is not None and same else net.now
            self.reached[name] = process, those, since

    def _look(self) -> None:
        """Zones that are lost or cut are told as silent, and no others.

        Nothing is owed to splinters: of two zones that are mostly cut off, the few that still reach each
        other need not have each other's address, and hear late what the other has heard.
        """
        net = self.net
        net.at(net.now + CHECK_INTERVAL, self._look)
        self._observe_reach()
        whole = Counter(net.zone_of[name] for name in net.running)
        for process, those, since in self.reached.values():
            if net.now - since >= SILENT_KNOWN:
                self._judge_silence(process, Counter(net.zone_of[other] for other in those), whole)

    def _judge_silence(self, process: Process, reaching: Counter[str], whole: Counter[str]) -> None:
        """``reaching``: how many of each zone have long reached the process; ``whole``: how many run."""
        most = {zone for zone, count in reaching.items() if 2 * count > whole[zone]}
        if self.net.zone_of[process.name] not in most:
            return
        for zone in process.view.zones.others:
            if zone.name in most and (zone.silent or zone.heartbeat_at is None):
                self._fault(f"{process.name} holds {zone.name} for silent, which it can hear")
            elif zone.name not in reaching and not zone.silent and zone.heartbeat_at is not None:
                self._fault(f"{process.name} is not told that {zone.name} is silent")

    def _can_meet(self) -> bool:
        running = self.net.running
        ways: dict[str, set[str]] = {name: set() for name in running}
        for name, process in running.items():
            known = {r.name for zone in process.view.zones.others for r in zone.contacts.values()}
            known |= process.view.records.keys() | {host for host, _ in process.view.settings.seeds}
            for other in known & running.keys():
                ways[name].add(other)
                ways[other].add(name)
        reached, todo = set(list(running)[:1]), list(running)[:1]
        while todo:
            more = ways[todo.pop()] - reached
            reached |= more
            todo += more
        return reached == set(running)

    def _number(self, process: Process) -> int:
        net, view = self.net, process.view
        whole = net.zones[view.settings.zone]
        dark = {n for n in self.dark if net.zone_of[n] == view.settings.zone}
        ended = view.records.keys() - net.running.keys() - dark
        strange = max(0, whole - view.members.known_count) + len(dark)
        return proxy_count(whole, whole, len(ended), strange, Fraction(whole, net.configured))

    def _held_dead(self) -> None:
        net = self.net
        for name, process in net.running.items():
            zone = {n for n in net.running if net.zone_of[n] == net.zone_of[name]}
            if held := zone - net.active_names(process):
                self._fault(f"{name} holds {sorted(held)} for dead")

    def _alike(self) -> bool:
        """Views of each zone are equal, and the cordons everywhere."""
        return self.net.agreed() and len({p.view.cordons.digest for p in self._running()}) <= 1

    def _cordon_everywhere(self, rnd: random.Random) -> None:
        """Set at one member, lifted at another, while nothing is at fault."""
        for out in (True, False):
            if not self.net.running:
                return
            self.net.cordon(rnd.choice(sorted(self.net.running)), "last", out)
            took = self.net.until(
                lambda out=out: all(("last" in p.cordoned) == out for p in self._running()),  # type: ignore[misc]
                2 * CORDON_EVERYWHERE,
            )
            self.everywhere.append(2 * CORDON_EVERYWHERE if took is None else took)
            if took is None or took > CORDON_EVERYWHERE:
                what = "cordon" if out else "uncordon"
                self._fault(f"a {what} is not everywhere after {CORDON_EVERYWHERE // SECOND} s")

    def play(self) -> Verdict:
        """Play the whole schedule and judge it."""
        net = self.net
        if self.stood:
            net.start_established()
        else:
            for name in net.names:
                net.start(name)
        net.at(net.now, self._look)
        self._run_steps()
        end = net.now
        met = self._can_meet()
        net.until(self._alike, HELD_DEAD)
        self._held_dead()
        settled = net.now - end if self._alike() else None
        if settled is None and net.until(self._alike, 3 * SETTLE) is not None:
            settled = net.now - end
        if settled is None and not (met and self._can_meet()):
            return Verdict(list(self.broken), None, net.share_sum_max, net.sent, never_connected=True)
        if settled is None or settled > SETTLE_MAX:
            self._fault(f"views differ {SETTLE_MAX // SECOND} s after the last fault")
        net.run(max(net.now, end + SILENT_KNOWN + 3 * CHECK_INTERVAL))
        net.until(self._counted, COUNTED_OUT)
        if not self._alike():
            self._fault("views that were equal differ again")
        self._judge_cordons()
        self._judge_processes()
        self._cordon_everywhere(random.Random(self.schedule.seed))
        return Verdict(list(self.broken), settled, net.share_sum_max, net.sent)

    def _judge_cordons(self) -> None:
        for server, state in self.cordons.items():
            wrong = [p.name for p in self._running() if (server in p.cordoned) != (state == "out")]
            if state != "open" and wrong:
                self._fault(f"cordon of {server}: {wrong[0]} has it {'in' if state == 'out' else 'out'}")
