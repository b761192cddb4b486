"""Measures how the cost of each component grows with the cluster, and records the results as JSON.

Each series has five or more sizes over two decades, and several seeds.

    python benchmarks/scale.py                       # all groups, each to benchmarks/runs/GROUP-VERSION.json
    python benchmarks/scale.py --only fleet,path     # groups or series whose names begin with these
    python benchmarks/scale.py --list                # groups, series, sizes

`arrowseam capacity` reads the newest run of each series and fits it in the form given here, with the largest
size held out. The bytes of a member are the larger of sent and received payload, without headers. Processor
time is process_time around the member's own events, and worst is the maximum over all members. Views and
agents run on the virtual clock of the lab and know each other from the start. `alone` is one object without a
network. `real` are processes on loopback, with the load from separate processes, all ended by their ids. On a
shared machine, use a lock.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import platform
import random
import signal
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from fractions import Fraction
from functools import partial
from multiprocessing import get_context
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from arrowseam.capacity import runs  # noqa: E402
from arrowseam.capacity.table import (  # noqa: E402
    CONTROL,
    DATA_PATH,
    LABORATORY,
    OPERATORS,
    OUTSIDE,
    SHARDS,
    VOTER,
)
from arrowseam.lab.local_cluster import CAPS, LANES, RULES, free_ports  # noqa: E402
from arrowseam.lab.simulated_cluster import MS, PORT, SECOND, WALL_CLOCK_START, SimulatedCluster  # noqa: E402
from arrowseam.membership.effects import OpenStream, SendDatagram  # noqa: E402
from arrowseam.membership.proxy_share import proxy_count  # noqa: E402
from arrowseam.membership.records import MemberInfo, MemberRecord, State  # noqa: E402
from arrowseam.membership.settings import MembershipSettings  # noqa: E402
from arrowseam.membership.view import ClusterView  # noqa: E402
from arrowseam.outcomes import StreamOutcome  # noqa: E402

MEAN_SECONDS = 60  # means are taken over this time
ZONES = 12
OTHER_ZONE_SIZE = 4  # members of each zone that is not measured
WHOLE_SHARE = 0.95  # a member with this fraction of its share counts as having all of it
Results = dict[str, float]
INFO = MemberInfo("0.1.0", "0123456789ab", "eu-1", False, 75_400, 12, 6500)


# --- the view on the virtual clock ------------------------------------------------------------------------


class CountingView(ClusterView):
    """A view that counts bytes sent and received and the processor time of its events, per second."""

    def __init__(
        self,
        me: MemberRecord,
        settings: MembershipSettings,
        rnd: random.Random,
        info: MemberInfo | None = None,
    ) -> None:
        super().__init__(me, settings, rnd, info or INFO)  # a proxy sends its info from the first message on
        self.bytes_received: Counter[int] = Counter()
        self.bytes_sent: Counter[int] = Counter()
        self.messages_sent = 0
        self.cpu_ns: Counter[int] = Counter()  # by the second
        self.longest_event_ns = 0

    def _timed(self, now: int, handle: Callable[[], Any], bytes_received: int) -> Any:
        began = time.process_time_ns()
        outcome = handle()
        cpu_ns = time.process_time_ns() - began
        second = now // SECOND
        self.cpu_ns[second] += cpu_ns
        self.longest_event_ns = max(self.longest_event_ns, cpu_ns)
        self.bytes_received[second] += bytes_received
        effects, reply = outcome if isinstance(outcome, tuple) else (outcome, None)
        for effect in effects if isinstance(effects, list) else ():
            if isinstance(effect, SendDatagram | OpenStream):
                self.bytes_sent[second] += len(effect.data)
                self.messages_sent += 1
        if reply is not None:
            self.bytes_sent[second] += len(reply)
            self.messages_sent += 1
        return outcome

    def start(self, now: int) -> Any:
        return self._timed(now, lambda: ClusterView.start(self, now), 0)

    def on_timer(self, now: int) -> Any:
        return self._timed(now, lambda: ClusterView.on_timer(self, now), 0)

    def on_datagram(self, now: int, data: bytes) -> Any:
        return self._timed(now, lambda: ClusterView.on_datagram(self, now, data), len(data))

    def on_stream_request(self, now: int, data: bytes) -> Any:
        return self._timed(now, lambda: ClusterView.on_stream_request(self, now, data), len(data))

    def on_stream_closed(self, now: int, token: int, outcome: StreamOutcome, data: bytes = b"") -> Any:
        handle = partial(ClusterView.on_stream_closed, self, now, token, outcome, data)
        return self._timed(now, handle, len(data))

    def bytes_per_second(self, began: int, span: int) -> tuple[float, int]:
        """The mean over ``span`` seconds from ``began``, in microseconds, and the worst second."""
        first = began // SECOND
        flows = [(self.bytes_received[s], self.bytes_sent[s]) for s in range(first, first + span)]
        mean = max(sum(direction) for direction in zip(*flows)) / span
        return mean, max(max(row) for row in flows)

    def cpu_percent(self, began: int, span: int) -> float:
        """Processor time in percent of a core."""
        first = began // SECOND
        return sum(self.cpu_ns[s] for s in range(first, first + span)) / 1e7 / span


def make_records(count: int, rnd: random.Random, zone: str = "eu-1") -> list[MemberRecord]:
    """Records with names and addresses as long as real ones."""

    def make(n: int) -> MemberRecord:
        fields = (
            f"{zone}-n{n}",
            WALL_CLOCK_START + n,
            rnd.getrandbits(62),
            0,
            State.ALIVE,
            f"10.20.30.{n % 250}",
            PORT,
        )
        return MemberRecord(*fields, zone=zone)

    return [make(n) for n in range(count)]


class ZonedCluster(SimulatedCluster):
    """A cluster with zones of these sizes; the first is measured, the others only communicate with it."""

    def __init__(self, zone_sizes: tuple[int, ...], seed: int) -> None:
        zones = {f"z{n:02d}": size for n, size in enumerate(zone_sizes)}
        super().__init__(sum(zone_sizes), seed, view=CountingView, zones=zones)
        self.measured = self.names[: zone_sizes[0]]

    def members_of(self, *zones: int) -> list[str]:
        chosen = {f"z{n:02d}" for n in zones}
        return [name for name in self.names if self.zone_of[name] in chosen]


def zone_sizes_of(members: int) -> tuple[int, ...]:
    """The sizes of a measured zone and of small zones beside it."""
    return members, *[OTHER_ZONE_SIZE] * (ZONES - 1)


def prepare_cluster(zone_sizes: tuple[int, ...], seed: int) -> ZonedCluster:
    """A cluster whose members know each other from the start, after two seconds."""
    net = ZonedCluster(zone_sizes, seed)
    net.start_established()
    net.run(2 * SECOND)
    return net


def share_fraction(net: ZonedCluster, view: ClusterView) -> float:
    """The fraction of its whole share, by the proxy count that the balancer would be given."""
    return min(1.0, len(net.names) / view.evidence.proxy_count())


def measured_views(net: ZonedCluster) -> list[CountingView]:
    """The views of the zone that is measured."""
    running_views = [net.running[name].view for name in net.measured if name in net.running]
    return [view for view in running_views if isinstance(view, CountingView)]


def worst_member(net: ZonedCluster, began: int, name: str, span: int = MEAN_SECONDS) -> Results:
    """The maxima over all running members in ``span`` seconds from ``began``, which must have passed."""
    flows = [v.bytes_per_second(began, span) for v in measured_views(net)]
    return {
        f"{name}.bytes": max(mean for mean, _ in flows),
        f"{name}.peak": max(peak for _, peak in flows),
        f"{name}.cpu": max(v.cpu_percent(began, span) for v in measured_views(net)),
    }


def measure_rest(members: int, seed: int) -> Results:
    net = prepare_cluster(zone_sizes_of(members), seed)
    span, began, sent_before = 10, net.now, sum(v.messages_sent for v in measured_views(net))
    net.run(began + span * SECOND)
    return {
        "fleet.rest.bytes": statistics.median(
            v.bytes_per_second(began, span)[0] for v in measured_views(net)
        ),
        "fleet.rest.worst": max(v.bytes_per_second(began, span)[0] for v in measured_views(net)),
        "fleet.rest.messages": (sum(v.messages_sent for v in measured_views(net)) - sent_before)
        / members
        / span,
        "fleet.rest.cpu": statistics.median(v.cpu_percent(began, span) for v in measured_views(net)),
    }


def measure_virtual_clock(members: int, seed: int) -> Results:
    """Processor time of a simulation of all members, in twelve zones or one per member if they are fewer."""
    count = min(ZONES, members)
    net = prepare_cluster(tuple(members // count + (n < members % count) for n in range(count)), seed)
    cpu_before = time.process_time()
    net.run(net.now + 5 * SECOND)
    return {"lab.virtual.cpu": (time.process_time() - cpu_before) / 5}


def start_member(net: ZonedCluster, name: str, span: int) -> tuple[CountingView, float]:
    """Starts a member and returns its view and the seconds until it has its whole share, at most ``span``."""
    began = net.now
    net.start(name)
    view = net.running[name].view
    assert isinstance(view, CountingView)
    took = net.until(lambda: share_fraction(net, view) >= WHOLE_SHARE, span * SECOND)
    net.run(began + span * SECOND)
    return view, span if took is None else took / SECOND


def measure_start(members: int, seed: int) -> Results:
    net = prepare_cluster(zone_sizes_of(members), seed)
    name = net.measured[-1]
    net.kill(name)
    net.run(net.now + 2 * SECOND)
    began = net.now
    view, took = start_member(net, name, MEAN_SECONDS)
    mean, peak = view.bytes_per_second(began, MEAN_SECONDS)
    others = [v.bytes_per_second(began, MEAN_SECONDS) for v in measured_views(net) if v is not view]
    return {
        "fleet.start.bytes": mean,
        "fleet.start.peak": peak,
        "fleet.start.cpu": view.cpu_percent(began, MEAN_SECONDS),
        "fleet.start.longest": view.longest_event_ns / 1e6,
        "fleet.start.others": max(m for m, _ in others),
        "fleet.start.met": took,
    }


def power_off(net: ZonedCluster, names: list[str]) -> float:
    """Members lose power; returns the seconds until no running member considers them alive."""
    for name in names:
        net.powered_off.add(name)
        net.kill(name)
    failed = set(names)

    def all_know() -> bool:
        return not any(
            failed & {r.name for r in v.records.values() if r.is_active} for v in measured_views(net)
        )

    took = net.until(all_know, 30 * SECOND)
    return 30.0 if took is None else took / SECOND


def measure_silent_failure(members: int, seed: int) -> Results:
    net = prepare_cluster(zone_sizes_of(members), seed)
    began = net.now
    results = {"fleet.dead.known": power_off(net, [net.measured[-1]])}
    net.run(began + MEAN_SECONDS * SECOND)
    results |= worst_member(net, began, "fleet.dead")
    name = net.measured[-2]
    net.kill(name)
    net.run(net.now + 2 * SECOND)
    view, _ = start_member(net, name, 30)
    expected = proxy_count(members, members, 0, 1, Fraction(members, len(net.names)))
    return results | {"fleet.dead.share": share_fraction(net, view) * expected / len(net.names)}


def measure_rack_failure(members: int, seed: int) -> Results:
    net = prepare_cluster(zone_sizes_of(members), seed)
    began = net.now
    seconds = power_off(net, net.measured[-max(1, members // 12) :])
    net.run(began + MEAN_SECONDS * SECOND)
    return {"fleet.twelfth.known": seconds, **worst_member(net, began, "fleet.twelfth")}


def measure_zone_failure(members: int, seed: int) -> Results:
    """Another zone loses power."""
    net = prepare_cluster(zone_sizes_of(members), seed)
    began = net.now
    for name in net.members_of(1):
        net.powered_off.add(name)
        net.kill(name)
    lost = "z01"
    took = net.until(lambda: all(v.zones.by_name[lost].silent for v in measured_views(net)), 30 * SECOND)
    net.run(began + MEAN_SECONDS * SECOND)
    seconds = 30.0 if took is None else took / SECOND
    return {"fleet.zone.known": seconds, **worst_member(net, began, "fleet.zone")}


def measure_region_cut(members: int, seed: int) -> Results:
    """Three of twelve zones are partitioned for a minute, with a cordon on either side, then healed."""
    net = prepare_cluster(zone_sizes_of(members), seed)
    began = net.now
    links = net.partition(net.members_of(0, 1, 2), net.members_of(*range(3, ZONES)))
    net.run(began + MEAN_SECONDS * SECOND // 2)
    net.cordon(net.measured[0], "s1", True)
    net.cordon(net.names[-1], "s2", True)
    net.run(began + MEAN_SECONDS * SECOND)
    results = worst_member(net, began, "fleet.region")
    healed = net.now
    net.heal(links)

    def have_converged() -> bool:
        cordons_known = all(p.view.cordons.cordoned() == ["s1", "s2"] for p in net.running.values())
        return cordons_known and not any(z.silent for v in measured_views(net) for z in v.zones.others)

    took = net.until(have_converged, MEAN_SECONDS * SECOND)
    net.run(healed + MEAN_SECONDS * SECOND)
    results |= worst_member(net, healed, "fleet.healed")
    return results | {"fleet.healed.agreed": float(MEAN_SECONDS) if took is None else took / SECOND}


def measure_cordon(members: int, seed: int) -> Results:
    net = prepare_cluster(zone_sizes_of(members), seed)
    began = net.now
    net.cordon(net.names[0], "s1", True)
    all_views = [p.view for p in net.running.values()]
    took = net.until(lambda: all("s1" in v.cordons.cordoned() for v in all_views), 30 * SECOND, 10 * MS)
    seconds = 30.0 if took is None else took / SECOND
    net.run(began + 10 * SECOND)
    return {"fleet.cordon.known": seconds} | {
        key: value
        for key, value in worst_member(net, began, "fleet.cordon", 10).items()
        if key.endswith("bytes")
    }


# --- one view without a network ---------------------------------------------------------------------------


def measure_view(members: int, seed: int) -> Results:
    from tabulate import tabulate

    from arrowseam.cli.fleet import MEMBER_HEADERS, member_row
    from arrowseam.membership import codec, report

    rnd = random.Random(seed)
    table = ("eu-1", members), *((f"eu-{n}", members) for n in range(2, ZONES + 1))
    view_settings = MembershipSettings(
        configured_members=members, seeds=(("10.20.30.0", PORT),), zone="eu-1", zones=table
    )
    datagrams = [
        codec.encode_datagram(codec.Datagram(1, "fleet", codec.MessageKind.ACK, 1, r, 1, info=INFO))
        for r in make_records(members, rnd)
    ]
    gc.collect()
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    view = ClusterView(make_records(1, rnd)[0], view_settings, random.Random(seed), INFO)
    for data in datagrams:  # each record is an object of its own, as if received from the network
        view.on_datagram(0, data)
    view.dissemination.queue.queued.clear()
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0] - memory_before
    tracemalloc.stop()
    joining_member = MemberRecord("new", WALL_CLOCK_START, 1, 0, State.ALIVE, "new", PORT, zone="eu-1")
    joining_view = ClusterView(joining_member, view_settings, random.Random(seed), INFO)
    now = SECOND
    (request,) = (effect for effect in joining_view.start(now) if isinstance(effect, OpenStream))
    _, full_state = view.on_stream_request(now, request.data[codec.LENGTH_SIZE :])
    assert full_state is not None
    began = time.process_time_ns()
    joining_view.on_stream_closed(now, request.token, StreamOutcome.ANSWERED, full_state[codec.LENGTH_SIZE :])
    longest_ns = time.process_time_ns() - began
    while joining_view.state_sync.backlog:
        at = time.process_time_ns()
        now += 1
        joining_view.on_timer(now)
        longest_ns = max(longest_ns, time.process_time_ns() - at)
    merge_ns = time.process_time_ns() - began
    if joining_view.members.known_count < members:
        raise SystemExit(f"{joining_view.members.known_count} of {members} members merged")
    began = time.process_time_ns()
    lines = [json.dumps(row) for row in report.member_rows(view, now)]
    rows_ns = time.process_time_ns() - began
    began = time.process_time_ns()
    tabulate([member_row(json.loads(r), False) for r in lines], headers=MEMBER_HEADERS, disable_numparse=True)
    table_ns = time.process_time_ns() - began
    return {
        "fleet.view.memory": float(memory),
        "fleet.sync.bytes": float(len(full_state)),
        "fleet.sync.cpu": merge_ns / 1e6,
        "fleet.sync.longest": longest_ns / 1e6,
        "ops.fleet.bytes": float(sum(len(line) + 1 for line in lines)),
        "ops.fleet.loop": rows_ns / 1e6,
        "ops.fleet.print": table_ns / 1e6,
    }


# --- the agreement on the virtual clock -------------------------------------------------------------------


VOTERS = 5


def measure_agreement(proxies: int, seed: int) -> Results:
    from arrowseam.lab.rollout_simulation import RolloutSimulation, Schedule
    from arrowseam.rollouts.budgets import Resource
    from arrowseam.rollouts.commands import Drain, PlanRelease, encoder
    from arrowseam.rollouts.messages import encode_message
    from arrowseam.rollouts.observed import ClusterState, ObservedEndpoint, ObservedProxy
    from arrowseam.rollouts.release_plan import plan_waves

    class CountingSimulation(RolloutSimulation):
        def __init__(self, *args: Any, **kwargs: Any) -> None:
            self.bytes_sent: Counter[str] = Counter()
            self.bytes_received: Counter[str] = Counter()
            self.cpu_ns: Counter[str] = Counter()
            self.cached_state: ClusterState | None = None
            super().__init__(*args, **kwargs)

        def observe(self, process: Any) -> Any:
            """The same state for all: every proxy is present. Built once, as there is no view here."""
            if self.cached_state is None or len(self.cached_state.proxies) != len(self.running):
                proxies = {
                    n: ObservedProxy(Resource(n, self.zones[n]), p.start_number, True, False)
                    for n, p in self.running.items()
                }
                servers = {name: ObservedEndpoint(status, True) for name, status in self.servers.items()}
                self.cached_state = ClusterState(proxies, servers, len(self.names), True, {})
            return self.cached_state

        def _event(self, process: Any, act: Any) -> None:
            def timed() -> Any:
                began = time.process_time_ns()
                outcome = act()
                self.cpu_ns[process.name] += time.process_time_ns() - began
                return outcome

            super()._event(process, timed)

        def _send(self, sender: str, receiver: str, message: Any) -> None:
            began = time.process_time_ns()
            size = len(encode_message("fleet", message))
            self.cpu_ns[sender] += time.process_time_ns() - began
            self.bytes_sent[sender] += size
            self.bytes_received[receiver] += size
            super()._send(sender, receiver, message)

        def leader(self) -> str:
            return next((n for n, p in self.running.items() if p.agent.is_leader), "")

        def clear(self) -> None:
            for counter in (self.bytes_sent, self.bytes_received, self.cpu_ns):
                counter.clear()

    simulation = CountingSimulation(Schedule(seed, proxies, VOTERS, True))
    for name in simulation.names:
        simulation.start(name)
    simulation.run(SECOND)
    simulation.reset(simulation.voters[0])
    if simulation.until(lambda: simulation.leader() != "", 30 * SECOND) is None:
        raise SystemExit(f"{proxies} proxies, seed {seed}: no leader")
    simulation.run(simulation.now + 4 * SECOND)
    leader, span = simulation.leader(), 5
    simulation.clear()
    simulation.run(simulation.now + span * SECOND)
    outside = [n for n in simulation.names if n not in simulation.voters]
    bytes_at_rest = simulation.bytes_sent[leader]
    results = {
        "agree.leader.bytes": max(simulation.bytes_received[leader], simulation.bytes_sent[leader]) / span,
        "agree.voter.bytes": statistics.median(
            max(simulation.bytes_received[v], simulation.bytes_sent[v])
            for v in simulation.voters
            if v != leader
        )
        / span,
        "agree.leader.cpu": simulation.cpu_ns[leader] / 1e7 / span,
        "agree.proxy.bytes": statistics.median(
            max(simulation.bytes_sent[n], simulation.bytes_received[n]) for n in outside
        )
        / span,
        "agree.proxy.cpu": statistics.median(simulation.cpu_ns[n] for n in outside) / 1e7 / span,
    }
    simulation.clear()
    before = simulation.running[leader].agent.replicated.index
    simulation.submit(leader, Drain(endpoint=simulation.servers["s0"], by=leader))
    took = simulation.until(
        lambda: all(p.agent.replicated.index > before for p in simulation.running.values()),
        10 * SECOND,
        20 * MS,
    )
    simulation.run(simulation.now + span * SECOND - (took or 0))
    results["agree.told.known"] = 10.0 if took is None else took / SECOND
    results["agree.told.bytes"] = float(max(0, simulation.bytes_sent[leader] - bytes_at_rest))
    results["agree.told.cpu"] = simulation.cpu_ns[leader] / 1e6
    names = [f"eu-1-proxy-{n:05d}" for n in range(proxies)]
    plan = PlanRelease(kind="settings", bundle=bytes(2048), waves=plan_waves(names), by=leader)
    results["agree.plan.bytes"] = float(len(encoder.encode(plan)))
    simulation.submit(leader, plan)
    simulation.run(simulation.now + 2 * SECOND)
    results["agree.state.bytes"] = float(len(simulation.running[leader].agent.replicated.save()))
    return results


# --- shards ----------------------------------------------------------------------------------------------


def _traced(make: Callable[[], Any]) -> tuple[float, Any]:
    gc.collect()
    tracemalloc.start()
    outcome = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size), outcome


def _lookups(lookup: Callable[[int], Any], keys: list[int]) -> float:
    """Microseconds of processor time per lookup."""
    began = time.process_time_ns()
    for key in keys:
        lookup(key)
    return (time.process_time_ns() - began) / 1000 / len(keys)


@dataclass(slots=True)
class Shard:
    """What a proxy would keep per shard: its server, and since which version."""

    name: str
    server: int
    version: int


def measure_shards(count: int, seed: int) -> Results:
    """Tables of shards: objects, packed arrays (64 bits of hash, 16 of server, 32 of version), and the
    exceptions of a computed placement, one in a hundred."""
    from array import array
    from bisect import bisect_left

    rnd = random.Random(seed)

    def objects() -> dict[str, Shard]:
        return {
            name: Shard(name, rnd.randrange(12_000), 100_000 + n)
            for n, name in ((n, f"topic-{n // 4}/shard-{n:07d}") for n in range(count))
        }

    def packed() -> tuple[Any, Any, Any]:
        hashes = array("Q", sorted(rnd.getrandbits(64) for _ in range(count)))
        return hashes, array("H", bytes(2 * count)), array("I", bytes(4 * count))

    def exceptions() -> tuple[Any, Any]:
        exception_count = max(1, count // 100)
        return array("Q", sorted(rnd.getrandbits(64) for _ in range(exception_count))), array(
            "H", bytes(2 * exception_count)
        )

    size, table = _traced(objects)
    names = rnd.choices(list(table), k=20_000)
    began = time.process_time_ns()
    for name in names:
        table[name]
    object_us = (time.process_time_ns() - began) / 1000 / len(names)
    del table, names
    results = {"shards.objects.bytes": size, "shards.objects.cpu": object_us}
    size, (hashes, servers, _) = _traced(packed)
    keys = rnd.choices(hashes, k=20_000)
    packed_us = _lookups(lambda k: servers[bisect_left(hashes, k)], keys)
    results |= {"shards.packed.bytes": size, "shards.packed.cpu": packed_us}
    size, _ = _traced(exceptions)
    return results | {"shards.exceptions.bytes": size}


def _jump(key: int, buckets: int) -> int:
    """Jump consistent hash (Lamping and Veach 2014)."""
    b, j = -1, 0
    while j < buckets:
        b = j
        key = (key * 2862933555777941757 + 1) & 0xFFFFFFFFFFFFFFFF
        j = int((b + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return b


def measure_placement(servers: int, seed: int) -> Results:
    """Lookups by computed placement: rendezvous by a 64-bit mix of key and server, jump, and a ring with 40
    points per server and loads bounded at 1.25 of the mean (Mirrokni and others, 2018), for 100 shards per
    server."""
    from bisect import bisect_left

    rnd = random.Random(seed)
    server_hashes = [rnd.getrandbits(64) for _ in range(servers)]
    mask = (1 << 64) - 1

    def rendezvous(key: int) -> int:
        return max(range(servers), key=lambda n: ((server_hashes[n] ^ key) * 0x9E3779B97F4A7C15) & mask)

    points = sorted((rnd.getrandbits(64), n) for n in range(servers) for _ in range(40))
    ring = [at for at, _ in points]
    loads, most = [0] * servers, 125

    def bounded(key: int) -> int:
        at = bisect_left(ring, key) % len(ring)
        while loads[owner := points[at][1]] >= most:
            at = (at + 1) % len(ring)
        loads[owner] += 1
        return owner

    keys = [rnd.getrandbits(64) for _ in range(20_000)]
    return {
        "shards.rendezvous.cpu": _lookups(rendezvous, keys[: max(20, 200_000 // servers)]),
        "shards.jump.cpu": _lookups(lambda k: _jump(k, servers), keys),
        "shards.bounded.cpu": _lookups(bounded, keys[: min(20_000, 100 * servers)]),
    }


# --- real processes ---------------------------------------------------------------------------------------


def _cpu_ns(pid: int) -> int:
    """Processor time of a process so far, in nanoseconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])


def _resident_bytes(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def configuration(
    name: str, listen: int, control: int, discovery: str, rows: list[Any], sockets: int
) -> dict[str, Any]:
    return {
        "name": name,
        "listen": f"127.0.0.1:{listen}",
        "control": f"127.0.0.1:{control}",
        "discovery": discovery,
        "seed": "1",
        "limits": {"sockets": sockets},
        "known": {"generation": 1 if rows else 0, "reset": True, "instances": rows},
        "settings": {
            "balancers": 1,
            "me": 0,
            "registry_mode": "subscribe",
            "zones": ["z"],
            "kinds": ["k"],
            "lanes": LANES,
            "tenants": [{"name": "acme", "share": 1.0}],
            "caps": CAPS,
            "invariants": RULES,
        },
    }


def endpoint_row(name: str, address: str) -> dict[str, Any]:
    return {"instanceId": name, "hostPort": address, "zone": "z", "machineType": "k", "lifecycle": "Ready",
            "weight": 1.0, "startedAtMs": 0}  # fmt: skip


class Child:
    """A child process, ended by its id. ``ask`` sends a line and returns the words of the answer."""

    def __init__(self, *arguments: str, log: Path | None = None) -> None:
        env = os.environ | {"PYTHONPATH": str(ROOT)}
        log_file = log.open("wb") if log is not None else None
        self.process = subprocess.Popen(
            [sys.executable, *arguments], env=env, stdin=subprocess.PIPE,
            stdout=log_file or subprocess.PIPE, stderr=log_file,
        )  # fmt: skip
        self.pid = self.process.pid

    def receive(self) -> list[str]:
        assert self.process.stdout is not None
        line = self.process.stdout.readline().decode().split()
        if not line:
            raise SystemExit(f"process {self.pid} ended: {self.process.args}")
        return line

    def ask(self, *arguments: object) -> list[str]:
        self.send(*arguments)
        return self.receive()

    def send(self, *arguments: object) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write((" ".join(map(str, arguments)) + "\n").encode())
        self.process.stdin.flush()

    def end(self) -> None:
        self.process.kill()
        self.process.wait()


PUSH = b"x" * 98 + b"\r\n"  # a delivery, assumed to be of 100 bytes


def run_servers(host: str) -> None:
    """Stand-in servers on four ports of an address: answer UP, echo lines; ``push`` sends a line to all."""
    import select
    import socket

    poll, socks, conns = select.epoll(), {}, {}
    for _ in range(4):
        sock = socket.create_server((host, 0), backlog=4096)
        sock.setblocking(False)
        socks[sock.fileno()] = sock
        poll.register(sock, select.EPOLLIN)
    print(*(s.getsockname()[1] for s in socks.values()), flush=True)
    poll.register(0, select.EPOLLIN)
    while True:
        for fd, _ in poll.poll():
            if fd == 0:
                if not os.read(0, 1000):
                    return
                for conn in list(conns.values()):
                    conn.send(PUSH)
                print("pushed", len(conns), flush=True)
            elif fd in socks:
                conn, _ = socks[fd].accept()
                conn.setblocking(False)
                conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                conns[conn.fileno()] = conn
                poll.register(conn, select.EPOLLIN)
            else:
                try:
                    data = conns[fd].recv(65536)
                    if data:
                        conns[fd].send(b"UP r\r\n" if data.startswith(b"OPEN") else data)
                        continue
                except OSError:
                    pass
                poll.unregister(fd)
                conns.pop(fd).close()


def run_clients(host: str, port: int, first: int) -> None:
    """Clients: ``open N``, ``echo SECONDS IN_FLIGHT``, ``got BYTES`` (waits for that many pushed bytes)."""
    import select
    import socket

    poll, conns, request_id = select.epoll(), [], first
    by_fd: dict[int, socket.socket] = {}
    print("ready", flush=True)
    for line in sys.stdin:
        command, *args = line.split()
        if command == "open":
            opening: dict[int, socket.socket] = {}
            failed, remaining = 0, int(args[0])
            while remaining > 0 or opening:
                while remaining > 0 and len(opening) < 100:
                    sock = socket.socket()
                    sock.bind((host, 0))
                    sock.connect(("127.0.0.1", port))
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    request_id, remaining = request_id + 1, remaining - 1
                    sock.sendall(b"OPEN %016x 0a c=tech,t=acme,d=1800\r\n" % request_id)
                    opening[sock.fileno()] = sock
                    poll.register(sock, select.EPOLLIN)
                for fd, _ in poll.poll(5):
                    sock = opening.pop(fd)
                    if sock.recv(100).startswith(b"UP"):
                        conns.append(sock)
                        by_fd[fd] = sock
                    else:
                        failed += 1
                        poll.unregister(fd)
                        sock.close()
            print(len(conns), failed, flush=True)
        elif command == "echo":
            end, in_flight, at, done = time.monotonic() + float(args[0]), int(args[1]), 0, 0
            outstanding = 0
            while True:
                is_over = time.monotonic() >= end
                while outstanding < in_flight and not is_over:
                    conns[at % len(conns)].send(b"hello\r\n")
                    at, outstanding = at + 1, outstanding + 1
                if not outstanding:
                    break
                for fd, _ in poll.poll(2):
                    count = by_fd[fd].recv(4096).count(b"\n")
                    done, outstanding = done + count, outstanding - count
            print(done, flush=True)
        elif command == "got":
            remaining = int(args[0])
            while remaining > 0:
                events = poll.poll(5)
                if not events:
                    break
                for fd, _ in events:
                    remaining -= len(by_fd[fd].recv(65536))
            print(remaining, flush=True)


def _wait_until_idle(pid: int) -> None:
    """Waits until a process uses less than 2 ms of processor time within 50 ms; five seconds at most."""
    for _ in range(100):
        before = _cpu_ns(pid)
        time.sleep(0.05)
        if _cpu_ns(pid) - before < 2_000_000:
            return


def measure_data_path(connections: int, seed: int) -> Results:
    """One proxy with this number of connections; two processes run its servers, two its clients."""
    import tempfile

    if connections < 40:
        raise SystemExit("path: 40 connections at least")
    folder = Path(tempfile.mkdtemp(prefix="arrowseam-scale-"))
    children: list[Child] = []
    try:
        servers = [Child(__file__, "--servers", f"127.0.1.{n + 1}") for n in range(2)]
        children += servers
        rows = [
            endpoint_row(f"s{n}-{port}", f"127.0.1.{n + 1}:{port}")
            for n, s in enumerate(servers)
            for port in s.receive()
        ]
        listen, control = free_ports(2)
        config = folder / "config.json"
        _, (discovery_port, _) = start_stand_ins(rows)
        document = configuration("n0", listen, control, f"127.0.0.1:{discovery_port}", rows, 19_900)
        config.write_text(json.dumps(document))
        proxy = Child("-m", "arrowseam", "serve", "--config", str(config), log=folder / "log")
        children.append(proxy)
        loads = [
            Child(__file__, "--load", f"127.0.2.{n + 1}", str(listen), str(n * 100_000)) for n in range(2)
        ]
        children += loads
        for process in loads:
            process.receive()
        _wait_for_listener(listen)
        loads[0].ask("open", 8)  # triggers the allocations that a proxy makes only once
        _wait_until_idle(proxy.pid)
        empty_memory, ns_before = _resident_bytes(proxy.pid), _cpu_ns(proxy.pid)
        for n, process in enumerate(loads):
            process.send("open", connections // 2 - (8 if n == 0 else 0))
        answers = [process.receive() for process in loads]
        opened, failed = sum(int(t[0]) for t in answers), sum(int(t[1]) for t in answers)
        if opened != connections // 2 * 2 or failed:
            raise SystemExit(f"{opened} of {connections} connections, {failed} failed: {folder / 'log'}")
        _wait_until_idle(proxy.pid)
        results = {"path.accept.cpu": (_cpu_ns(proxy.pid) - ns_before) / 1000 / (opened - 8)}
        ns_before = _cpu_ns(proxy.pid)
        time.sleep(3)
        results["path.idle.cpu"] = (_cpu_ns(proxy.pid) - ns_before) / 3 / 1e7
        results["path.memory.idle"] = float(_resident_bytes(proxy.pid) - empty_memory)
        ns_before, began = _cpu_ns(proxy.pid), time.monotonic()
        for process in loads:
            process.send("echo", 4, min(64, opened // 4))
        echoes = sum(int(process.receive()[0]) for process in loads)
        elapsed = time.monotonic() - began
        echo_ns = _cpu_ns(proxy.pid) - ns_before
        results |= {"path.echo.cpu": echo_ns / 1000 / echoes, "path.echo.busy": echo_ns / 1e7 / elapsed}
        pushes, pushed = max(3, min(100, 60_000 // opened)), 0
        ns_before = _cpu_ns(proxy.pid)
        for _ in range(pushes):
            for process in servers:
                process.send("push")
            pushed += sum(int(process.receive()[1]) for process in servers)
            for process, answer in zip(loads, answers):
                if int(process.ask("got", int(answer[0]) * len(PUSH))[0]):
                    raise SystemExit("pushed lines are missing")
        results["path.push.cpu"] = (_cpu_ns(proxy.pid) - ns_before) / 1000 / pushed
        results["path.memory.used"] = float(_resident_bytes(proxy.pid) - empty_memory)
        return results
    finally:
        for child in children:
            child.end()


def _wait_for_listener(port: int) -> None:
    import socket

    end = time.monotonic() + 20
    while True:
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
            return
        except OSError:
            if time.monotonic() > end:
                raise SystemExit(f"no listener on port {port}") from None
            time.sleep(0.05)


def start_stand_ins(rows: list[Any]) -> Any:
    """Starts stand-ins of discovery and of one server as threads; returns their counters and ports."""
    import socketserver
    import threading

    counts: Counter[str] = Counter()
    lock = threading.Lock()

    class DiscoveryHandler(socketserver.StreamRequestHandler):
        def handle(self) -> None:
            with lock:
                counts["connections"] += 1
            while line := self.rfile.readline(4096):
                while self.rfile.readline(4096).strip():
                    pass
                is_watch = b"since=1" in line
                with lock:
                    counts["watches" if is_watch else "lists"] += 1
                if is_watch:
                    time.sleep(int(line.split(b"timeout_ms=")[1].split()[0]) / 1000)
                doc = {"generation": 1, "reset": not is_watch, "instances": [] if is_watch else rows}
                body = json.dumps(doc).encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                with lock:
                    counts["bytes"] += len(answer)
                try:
                    self.wfile.write(answer)
                except OSError:
                    return

    class ServerHandler(socketserver.StreamRequestHandler):
        def handle(self) -> None:
            with lock:
                counts["setups"] += 1

    class Threaded(socketserver.ThreadingTCPServer):
        allow_reuse_address = daemon_threads = True
        request_queue_size = 1024

    servers = [Threaded(("127.0.0.1", 0), kind) for kind in (DiscoveryHandler, ServerHandler)]
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    return counts, [server.server_address[1] for server in servers]


def measure_discovery(proxies: int, seed: int) -> Results:
    """Proxies without clients: their calls to discovery, and connections set up at servers."""
    import tempfile

    folder = Path(tempfile.mkdtemp(prefix="arrowseam-scale-"))
    rows: list[Any] = []
    counts, (discovery_port, server_port) = start_stand_ins(rows)
    rows += [endpoint_row(f"server-{n:05d}", f"127.0.0.1:{server_port}") for n in range(100)]
    children: list[Child] = []
    try:
        ports = free_ports(2 * proxies)
        for n in range(proxies):
            config = folder / f"{n}.json"
            document = configuration(
                f"n{n}", ports[2 * n], ports[2 * n + 1], f"127.0.0.1:{discovery_port}", [], 1000
            )
            config.write_text(json.dumps(document))
            children.append(
                Child("-m", "arrowseam", "serve", "--config", str(config), log=folder / f"{n}.log")
            )
        for n in range(proxies):
            _wait_for_listener(ports[2 * n])
        end = time.monotonic() + 30
        while counts["lists"] < proxies and time.monotonic() < end:
            time.sleep(0.1)
        if counts["lists"] < proxies:
            raise SystemExit(f"{counts['lists']} lists fetched by {proxies} proxies: {folder}")
        time.sleep(3)
        results = {"discovery.start.bytes": float(counts["bytes"])}
        counts_before, began = Counter(counts), time.monotonic()
        time.sleep(10)
        elapsed = time.monotonic() - began
        calls = sum(counts[k] - counts_before[k] for k in ("watches", "lists"))
        return results | {
            "discovery.rest.calls": calls / elapsed,
            "discovery.rest.bytes": (counts["bytes"] - counts_before["bytes"]) / elapsed,
            "servers.rest.setups": (counts["setups"] - counts_before["setups"]) / elapsed,
        }
    finally:
        for child in children:
            child.end()


def measure_commands(servers: int, seed: int) -> Results:
    """The command ``members`` of a proxy that knows this number of servers, in a cluster of its own."""
    import socket
    import tempfile

    folder = Path(tempfile.mkdtemp(prefix="arrowseam-scale-"))
    listen, control, membership_port = free_ports(3)
    rows = [
        endpoint_row(f"server-{n:05d}", f"127.0.{n // 250 % 250}.{1 + n % 250}:7300") for n in range(servers)
    ]
    config, operator_file = folder / "config.json", folder / "operator.star"
    _, (discovery_port, _) = start_stand_ins(rows)
    config.write_text(
        json.dumps(configuration("n0", listen, control, f"127.0.0.1:{discovery_port}", rows, 1000))
    )
    operator_file.write_text(
        f'fleet(listen = "127.0.0.1:{membership_port}", seeds = [])\nlog(level = "error")\n'
    )
    proxy = Child(
        "-m",
        "arrowseam",
        "serve",
        "--config",
        str(config),
        "--operator",
        str(operator_file),
        log=folder / "log",
    )
    try:
        _wait_for_listener(listen)
        _wait_until_idle(proxy.pid)

        def ask(command_words: bytes) -> tuple[int, float]:
            ns_before = _cpu_ns(proxy.pid)
            with socket.create_connection(("127.0.0.1", control), 5) as sock:
                sock.sendall(command_words + b"\n")
                size = 0
                while chunk := sock.recv(1 << 16):
                    size += len(chunk)
            return size, (_cpu_ns(proxy.pid) - ns_before) / 1e6

        size, proxy_ms = ask(b"members")
        env = os.environ | {"PYTHONPATH": str(ROOT)}
        times_before = os.times()
        command = [sys.executable, "-m", "arrowseam", "members", "--control", f"127.0.0.1:{control}"]
        subprocess.run(command, env=env, check=True, stdout=subprocess.DEVNULL)
        times_after = os.times()
        command_cpu = (
            times_after.children_user
            + times_after.children_system
            - times_before.children_user
            - times_before.children_system
        )
        return {
            "ops.members.bytes": float(size),
            "ops.members.loop": proxy_ms,
            "ops.members.print": 1000 * command_cpu,
        }
    finally:
        proxy.end()


def measure_release_status(members: int, seed: int) -> Results:
    """The reply of control to ``release status`` during a release of all proxies, and its processor time."""
    from arrowseam.rollouts.commands import PlanRelease, encoder
    from arrowseam.rollouts.release_plan import plan_waves
    from arrowseam.rollouts.replicated_state import ReplicatedState
    from arrowseam.rollouts.status_rows import release_row

    replicated = ReplicatedState()
    names = [f"eu-1-proxy-{n:05d}" for n in range(members)]
    plan = PlanRelease(at_ms=1, by="n0", id=1, kind="settings", bundle=bytes(2048), waves=plan_waves(names))
    replicated.apply(1, encoder.encode(plan))
    began = time.process_time_ns()
    rows = [release_row(release, False) for release in replicated.state.releases.values()]
    lines = list(map(json.dumps, rows))
    return {
        "ops.status.bytes": float(sum(map(len, lines))),
        "ops.status.loop": (time.process_time_ns() - began) / 1e6,
    }


# --- groups of series -------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Group:
    """Series measured together; ``series`` maps a name to role, unit, form and reason."""

    job: Callable[[int, int], Results]
    x: str
    how: str
    sizes: tuple[int, ...]
    series: dict[str, tuple[str, str, str, str]]
    seeds: int = 3
    jobs: int = 8  # in parallel


SMALL_ZONES, LARGE_ZONES = (4, 13, 40, 130, 400), (10, 30, 100, 300, 1000)
MEMBERS = "members of a zone"
PROBES = "a member probes one and is probed by one a period"
FETCHED_RECORDS = "n records fetched once, beside what all say at rest"
MANY_RECORDS = "n / 12 records, each passed on log n times"
BRIDGE_AND_GOSSIP = "a beat crosses by whichever member bridges next, then by gossip in log n periods"
ZONE_SUMMARY = "a zone is a beat and a summary, whatever its size"
ONE_RECORD = "one record, passed on log n times"
REPORTS = "each proxy reports to each voter each second"
FIVE_REPORTS = "a report to each of five voters each second"
GOSSIP = "gossip reaches all in log n periods"

# fmt: off
GROUPS: dict[str, Group] = {
    "fleet.rest": Group(measure_rest, MEMBERS, "virtual", LARGE_ZONES, {
        "fleet.rest.bytes": (CONTROL, "B/s", "constant", PROBES),
        "fleet.rest.worst": (CONTROL, "B/s", "log", "the most of n draws of one distribution"),
        "fleet.rest.messages": (CONTROL, "1/s", "constant", PROBES),
        "fleet.rest.cpu": (CONTROL, "% of a core", "constant", PROBES),
    }),
    "lab": Group(measure_virtual_clock, "members", "virtual", (12, 36, 120, 360, 1200), {
        "lab.virtual.cpu": (LABORATORY, "s/s", "nlogn", "n members' events, each through a queue of n"),
    }),
    "fleet.start": Group(measure_start, MEMBERS, "virtual", SMALL_ZONES, {
        "fleet.start.bytes": (CONTROL, "B/s", "linear", FETCHED_RECORDS),
        "fleet.start.peak": (CONTROL, "B in 1 s", "linear", FETCHED_RECORDS),
        "fleet.start.cpu": (CONTROL, "% of a core", "linear", FETCHED_RECORDS),
        "fleet.start.longest": (CONTROL, "ms", "linear", "n records are decoded in one event"),
        "fleet.start.others": (CONTROL, "B/s", "log", ONE_RECORD),
        "fleet.start.met": (CONTROL, "s", "linear", "n - 1 are greeted, a few a period"),
    }),
    "fleet.dead": Group(measure_silent_failure, MEMBERS, "virtual", SMALL_ZONES, {
        "fleet.dead.known": (CONTROL, "s", "log", GOSSIP),
        "fleet.dead.bytes": (CONTROL, "B/s", "log", ONE_RECORD),
        "fleet.dead.peak": (CONTROL, "B in 1 s", "log", ONE_RECORD),
        "fleet.dead.cpu": (CONTROL, "% of a core", "log", ONE_RECORD),
        "fleet.dead.share": (CONTROL, "of the rule", "constant", "one is unconfirmed, proxy_share.py"),
    }),
    "fleet.twelfth": Group(measure_rack_failure, MEMBERS, "virtual", SMALL_ZONES, {
        "fleet.twelfth.known": (CONTROL, "s", "log", GOSSIP),
        "fleet.twelfth.bytes": (CONTROL, "B/s", "nlogn", MANY_RECORDS),
        "fleet.twelfth.peak": (CONTROL, "B in 1 s", "nlogn", MANY_RECORDS),
        "fleet.twelfth.cpu": (CONTROL, "% of a core", "nlogn", MANY_RECORDS),
    }),
    "fleet.zone": Group(measure_zone_failure, MEMBERS, "virtual", SMALL_ZONES, {
        "fleet.zone.known": (CONTROL, "s", "log", BRIDGE_AND_GOSSIP),
        "fleet.zone.bytes": (CONTROL, "B/s", "constant", ZONE_SUMMARY),
        "fleet.zone.peak": (CONTROL, "B in 1 s", "constant", ZONE_SUMMARY),
        "fleet.zone.cpu": (CONTROL, "% of a core", "constant", ZONE_SUMMARY),
    }),
    "fleet.region": Group(measure_region_cut, MEMBERS, "virtual", SMALL_ZONES, {
        "fleet.region.bytes": (CONTROL, "B/s", "constant", ZONE_SUMMARY),
        "fleet.region.peak": (CONTROL, "B in 1 s", "constant", ZONE_SUMMARY),
        "fleet.region.cpu": (CONTROL, "% of a core", "constant", ZONE_SUMMARY),
        "fleet.healed.agreed": (CONTROL, "s", "log", BRIDGE_AND_GOSSIP),
        "fleet.healed.bytes": (CONTROL, "B/s", "constant", ZONE_SUMMARY),
        "fleet.healed.peak": (CONTROL, "B in 1 s", "constant", ZONE_SUMMARY),
        "fleet.healed.cpu": (CONTROL, "% of a core", "constant", ZONE_SUMMARY),
    }),
    "fleet.cordon": Group(measure_cordon, MEMBERS, "virtual", LARGE_ZONES, {
        "fleet.cordon.known": (CONTROL, "s", "log", GOSSIP),
        "fleet.cordon.bytes": (CONTROL, "B/s", "log", ONE_RECORD),
    }),
    "alone": Group(measure_view, MEMBERS, "alone", (20, 65, 200, 650, 2000), {
        "fleet.view.memory": (CONTROL, "B", "linear", "n records, their infos and answers"),
        "fleet.sync.bytes": (CONTROL, "B", "linear", "n records"),
        "fleet.sync.cpu": (CONTROL, "ms", "linear", "n records decoded and taken in"),
        "fleet.sync.longest": (CONTROL, "ms", "linear", "n records decoded in one event"),
        "ops.fleet.bytes": (OPERATORS, "B", "linear", "a line a member"),
        "ops.fleet.loop": (OPERATORS, "ms", "nlogn", "n lines, sorted by name"),
        "ops.fleet.print": (OPERATORS, "ms", "linear", "n rows"),
    }, jobs=3),
    "agree": Group(measure_agreement, "members", "virtual", (6, 18, 60, 180, 600), {
        "agree.leader.bytes": (VOTER, "B/s", "linear", REPORTS),
        "agree.voter.bytes": (VOTER, "B/s", "linear", REPORTS),
        "agree.leader.cpu": (VOTER, "% of a core", "linear", REPORTS),
        "agree.proxy.bytes": (CONTROL, "B/s", "constant", FIVE_REPORTS),
        "agree.proxy.cpu": (CONTROL, "% of a core", "constant", FIVE_REPORTS),
        "agree.told.known": (VOTER, "s", "constant", "the leader tells who reports, once a second each"),
        "agree.told.bytes": (VOTER, "B", "linear", "one entry told to each of n"),
        "agree.told.cpu": (VOTER, "ms", "linear", "one entry told to each of n, and their reports over 5 s"),
        "agree.plan.bytes": (VOTER, "B", "linear", "a plan names all n"),
        "agree.state.bytes": (VOTER, "B", "linear", "a release and its plan name all n"),
    }),
    "path": Group(measure_data_path, "connections", "real", (90, 300, 900, 3000, 9000), {
        "path.accept.cpu": (DATA_PATH, "us", "constant", "an opening is placed and set up by itself"),
        "path.idle.cpu": (DATA_PATH, "% of a core", "linear", "timers of each connection"),
        "path.memory.idle": (DATA_PATH, "B", "linear", "two sockets, a coroutine and buffers each"),
        "path.memory.used": (DATA_PATH, "B", "linear", "two sockets, a coroutine and buffers each"),
        "path.echo.cpu": (DATA_PATH, "us", "constant", "epoll tells of ready sockets only"),
        "path.echo.busy": (DATA_PATH, "% of a core", "constant", "whether the proxy was what was measured"),
        "path.push.cpu": (DATA_PATH, "us", "constant", "epoll tells of ready sockets only"),
    }, jobs=1),
    "discovery": Group(measure_discovery, "proxies", "real", (1, 3, 10, 30, 100), {
        "discovery.start.bytes": (OUTSIDE, "B", "linear", "each fetches the list once, of 100 servers here"),
        "discovery.rest.calls": (OUTSIDE, "1/s", "linear", "one watch a proxy"),
        "discovery.rest.bytes": (OUTSIDE, "B/s", "linear", "one watch a proxy"),
        "servers.rest.setups": (OUTSIDE, "1/s", "constant", "no probes: a set-up is a client's"),
    }, seeds=2, jobs=1),
    "commands": Group(measure_commands, "servers", "real", (10, 30, 100, 300, 1000), {
        "ops.members.bytes": (OPERATORS, "B", "linear", "a line a server"),
        "ops.members.loop": (OPERATORS, "ms", "linear", "a line a server"),
        "ops.members.print": (OPERATORS, "ms", "linear", "a row a server, beside the start of Python"),
    }, jobs=2),
    "status": Group(measure_release_status, "members", "alone", (65, 200, 650, 2000, 6500), {
        "ops.status.bytes": (OPERATORS, "B", "linear", "a release names all n twice"),
        "ops.status.loop": (OPERATORS, "ms", "linear", "a release names all n twice"),
    }),
    "shards": Group(measure_shards, "shards", "alone", (13_000, 41_000, 130_000, 410_000, 1_300_000), {
        "shards.objects.bytes": (SHARDS, "B", "linear", "an object, its name and its numbers each"),
        "shards.objects.cpu": (SHARDS, "us", "log", "a hash table in ever slower caches"),
        "shards.packed.bytes": (SHARDS, "B", "linear", "14 bytes each"),
        "shards.packed.cpu": (SHARDS, "us", "log", "a binary search"),
        "shards.exceptions.bytes": (SHARDS, "B", "linear", "10 bytes for one in a hundred"),
    }, jobs=3),
    "placement": Group(measure_placement, "servers", "alone", (12, 120, 400, 1200, 4000, 12_000), {
        "shards.rendezvous.cpu": (SHARDS, "us", "linear", "each server is weighed"),
        "shards.jump.cpu": (SHARDS, "us", "log", "log n jumps"),
        "shards.bounded.cpu": (SHARDS, "us", "log", "a binary search, and a step on where one is full"),
    }),
}
# fmt: on


def _job(work: tuple[str, int, int]) -> tuple[int, Results]:
    group, size, seed = work
    return size, GROUPS[group].job(size, seed)


def measure_group(
    name: str, group: Group, only: tuple[str, ...], sizes: tuple[int, ...], seeds: int, seed: int
) -> runs.Run:
    work = [(name, size, seed + n) for size in sorted(sizes, reverse=True) for n in range(seeds)]
    began = time.monotonic()
    if group.jobs == 1:
        rows = list(map(_job, work))
    else:
        with get_context("spawn").Pool(group.jobs, maxtasksperchild=1) as pool:
            rows = list(pool.imap(_job, work, chunksize=1))
    rows.sort(key=lambda r: r[0])
    series = [
        runs.Series(key, role, unit, group.x, form, why, group.how, [(s, r[key]) for s, r in rows])  # type: ignore[arg-type]
        for key, (role, unit, form, why) in group.series.items()
        if key.startswith(only) or name.startswith(only)
    ]
    print(f"{name}: {len(rows)} measurements in {time.monotonic() - began:.0f} s", flush=True)
    version = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout.strip()
    cpu = next((line.split(":")[1].strip() for line in Path("/proc/cpuinfo").read_text().splitlines()
                if line.startswith("model name")), "?")  # fmt: skip
    machine: dict[str, str | int | float] = {
        "cpu": cpu, "cores": os.cpu_count() or 0, "python": platform.python_version(),
        "kernel": platform.release().split("-")[0],
        "memory_gb": round(os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 1e9),
    }  # fmt: skip
    command = f"benchmarks/scale.py --only {name}"
    recorded_at = datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    return runs.Run(runs.FORMAT_VERSION, command, recorded_at, machine, version, seed, series)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--only", default="", help="only groups or series whose names begin with these, separated by commas"
    )
    parser.add_argument("--sizes", help="in place of the sizes of the group, separated by commas")
    parser.add_argument("--seeds", type=int, help="runs of each size")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--out", default=str(ROOT / "benchmarks/runs"))
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--servers", help=argparse.SUPPRESS)
    parser.add_argument("--load", nargs=3, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.servers:
        run_servers(args.servers)
        return
    if args.load:
        run_clients(args.load[0], int(args.load[1]), int(args.load[2]))
        return
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # so that child processes are ended too
    only = tuple(args.only.split(","))
    chosen_groups = {
        name: group
        for name, group in GROUPS.items()
        if name.startswith(only) or any(key.startswith(only) for key in group.series)
    }
    if not chosen_groups:
        parser.error(f"no group or series begins with {args.only}; see --list")
    for name, group in chosen_groups.items():
        if args.list:
            sizes_text = ", ".join(map(str, group.sizes))
            print(f"{name} ({group.how}; {group.x}: {sizes_text}): {', '.join(group.series)}")
            continue
        sizes = tuple(map(int, args.sizes.split(","))) if args.sizes else group.sizes
        run = measure_group(name, group, only, sizes, args.seeds or group.seeds, args.seed)
        out = Path(args.out)
        out.mkdir(parents=True, exist_ok=True)
        runs.write_run(out / f"{name}-{run.version}.json", run)


if __name__ == "__main__":
    main()
