"""What each part costs as the fleet grows: five sizes or more over two decades, several seeds, as JSON.

    python benchmarks/scale.py                       # all groups, each to benchmarks/runs/GROUP-VERSION.json
    python benchmarks/scale.py --only fleet,path     # groups or series whose names begin so
    python benchmarks/scale.py --list                # groups, series, sizes

`arrowseam capacity` reads the newest run of each series, fits it in the form named here and holds the largest
size out. Bytes of a member are the larger of what it sends and what it receives, payload without headers;
processor is process_time around its own events; worst is of all members. Views and agents run on the virtual
clock as in the lab, standing to begin with; `alone` is one object without a network; `real` are processes on
loopback, the load from processes of its own, all ended by their ids. Where the machine is shared, use a lock.
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
from arrowseam.capacity.table import CONTROL, LAB, OPS, OUTSIDE, PATH, SHARD, VOTER  # noqa: E402
from arrowseam.lab.local_cluster import CAPS, LANES, RULES, free_ports  # noqa: E402
from arrowseam.lab.simulated_cluster import MS, PORT, SECOND, WALL, SimulatedCluster  # noqa: E402
from arrowseam.membership.effects import OpenStream, SendDatagram  # noqa: E402
from arrowseam.membership.proxy_share import proxy_count  # noqa: E402
from arrowseam.membership.records import MemberInfo, MemberRecord, State  # noqa: E402
from arrowseam.membership.settings import MembershipSettings  # noqa: E402
from arrowseam.membership.view import ClusterView  # noqa: E402
from arrowseam.outcomes import StreamOutcome  # noqa: E402

SPAN = 60  # seconds that a mean is taken over
ZONES = 12
BESIDE = 4  # members of each zone that is not measured
WHOLE = 0.95  # who has this part of its share counts as having it
Found = dict[str, float]
INFO = MemberInfo("0.1.0", "0123456789ab", "eu-1", False, 75_400, 12, 6500)


# --- the view on the virtual clock ------------------------------------------------------------------------


class Counted(ClusterView):
    """A view that counts what goes in and out, by the second, and the processor time of its own events."""

    def __init__(
        self,
        me: MemberRecord,
        settings: MembershipSettings,
        rnd: random.Random,
        info: MemberInfo | None = None,
    ) -> None:
        super().__init__(me, settings, rnd, info or INFO)  # a proxy tells of itself, from the first word on
        self.came: Counter[int] = Counter()
        self.went: Counter[int] = Counter()
        self.said = 0
        self.spent: Counter[int] = Counter()  # nanoseconds, by the second
        self.longest = 0

    def _timed(self, now: int, act: Callable[[], Any], came: int) -> Any:
        began = time.process_time_ns()
        found = act()
        spent = time.process_time_ns() - began
        second = now // SECOND
        self.spent[second] += spent
        self.longest = max(self.longest, spent)
        self.came[second] += came
        effects, answer = found if isinstance(found, tuple) else (found, None)
        for effect in effects if isinstance(effects, list) else ():
            if isinstance(effect, SendDatagram | OpenStream):
                self.went[second] += len(effect.data)
                self.said += 1
        if answer is not None:
            self.went[second] += len(answer)
            self.said += 1
        return found

    def start(self, now: int) -> Any:
        return self._timed(now, lambda: ClusterView.start(self, now), 0)

    def on_timer(self, now: int) -> Any:
        return self._timed(now, lambda: ClusterView.on_timer(self, now), 0)

    def on_datagram(self, now: int, data: bytes) -> Any:
        return self._timed(now, lambda: ClusterView.on_datagram(self, now, data), len(data))

    def on_stream_request(self, now: int, data: bytes) -> Any:
        return self._timed(now, lambda: ClusterView.on_stream_request(self, now, data), len(data))

    def on_stream_closed(self, now: int, token: int, outcome: StreamOutcome, data: bytes = b"") -> Any:
        act = partial(ClusterView.on_stream_closed, self, now, token, outcome, data)
        return self._timed(now, act, len(data))

    def bytes_a_second(self, began: int, span: int) -> tuple[float, int]:
        """The mean over ``span`` seconds from ``began`` microseconds, and its worst second."""
        first = began // SECOND
        flow = [(self.came[s], self.went[s]) for s in range(first, first + span)]
        mean = max(sum(way) for way in zip(*flow)) / span
        return mean, max(max(row) for row in flow)

    def share(self, began: int, span: int) -> float:
        """Percent of a core."""
        first = began // SECOND
        return sum(self.spent[s] for s in range(first, first + span)) / 1e7 / span


def records_of(count: int, rnd: random.Random, zone: str = "eu-1") -> list[MemberRecord]:
    """With names and addresses as long as real ones."""

    def one(n: int) -> MemberRecord:
        who = f"{zone}-n{n}", WALL + n, rnd.getrandbits(62), 0, State.ALIVE, f"10.20.30.{n % 250}", PORT
        return MemberRecord(*who, zone=zone)

    return [one(n) for n in range(count)]


class Fleet(SimulatedCluster):
    """Zones of these sizes; what is measured is of the first one, the others are there to be talked to."""

    def __init__(self, table: tuple[int, ...], seed: int) -> None:
        zones = {f"z{n:02d}": size for n, size in enumerate(table)}
        super().__init__(sum(table), seed, view=Counted, zones=zones)
        self.own = self.names[: table[0]]

    def of(self, *zones: int) -> list[str]:
        chosen = {f"z{n:02d}" for n in zones}
        return [name for name in self.names if self.zone_of[name] in chosen]


def zones_of(members: int) -> tuple[int, ...]:
    """A zone of so many, and small ones beside it."""
    return members, *[BESIDE] * (ZONES - 1)


def standing(table: tuple[int, ...], seed: int) -> Fleet:
    """A fleet that knows itself to begin with, two seconds on."""
    net = Fleet(table, seed)
    net.stand()
    net.run(2 * SECOND)
    return net


def part(net: Fleet, view: ClusterView) -> float:
    """Of its whole share, by the number that its module would be told."""
    return min(1.0, len(net.names) / view.evidence.proxy_count())


def views(net: Fleet) -> list[Counted]:
    """Of the zone that is measured."""
    found = [net.running[name].view for name in net.own if name in net.running]
    return [view for view in found if isinstance(view, Counted)]


def worst(net: Fleet, began: int, name: str, span: int = SPAN) -> Found:
    """Of all members that run, over a minute from ``began``, which has to be over."""
    flows = [v.bytes_a_second(began, span) for v in views(net)]
    return {
        f"{name}.bytes": max(mean for mean, _ in flows),
        f"{name}.peak": max(peak for _, peak in flows),
        f"{name}.cpu": max(v.share(began, span) for v in views(net)),
    }


def rest(members: int, seed: int) -> Found:
    net = standing(zones_of(members), seed)
    span, began, said = 10, net.now, sum(v.said for v in views(net))
    net.run(began + span * SECOND)
    return {
        "fleet.rest.bytes": statistics.median(v.bytes_a_second(began, span)[0] for v in views(net)),
        "fleet.rest.worst": max(v.bytes_a_second(began, span)[0] for v in views(net)),
        "fleet.rest.messages": (sum(v.said for v in views(net)) - said) / members / span,
        "fleet.rest.cpu": statistics.median(v.share(began, span) for v in views(net)),
    }


def virtual(members: int, seed: int) -> Found:
    """Of all members, in twelve zones, or fewer where there are fewer."""
    count = min(ZONES, members)
    net = standing(tuple(members // count + (n < members % count) for n in range(count)), seed)
    cpu = time.process_time()
    net.run(net.now + 5 * SECOND)
    return {"lab.virtual.cpu": (time.process_time() - cpu) / 5}


def begin(net: Fleet, name: str, span: int) -> tuple[Counted, float]:
    """A start, and the seconds until the one that starts has its whole share (``span`` if not by then)."""
    began = net.now
    net.start(name)
    view = net.running[name].view
    assert isinstance(view, Counted)
    took = net.until(lambda: part(net, view) >= WHOLE, span * SECOND)
    net.run(began + span * SECOND)
    return view, span if took is None else took / SECOND


def start(members: int, seed: int) -> Found:
    net = standing(zones_of(members), seed)
    name = net.own[-1]
    net.kill(name)
    net.run(net.now + 2 * SECOND)
    began = net.now
    view, took = begin(net, name, SPAN)
    mean, peak = view.bytes_a_second(began, SPAN)
    others = [v.bytes_a_second(began, SPAN) for v in views(net) if v is not view]
    return {
        "fleet.start.bytes": mean,
        "fleet.start.peak": peak,
        "fleet.start.cpu": view.share(began, SPAN),
        "fleet.start.longest": view.longest / 1e6,
        "fleet.start.others": max(m for m, _ in others),
        "fleet.start.met": took,
    }


def silent(net: Fleet, names: list[str]) -> float:
    """They lose power; seconds until nobody who runs holds them for alive."""
    for name in names:
        net.off.add(name)
        net.kill(name)
    gone = set(names)

    def known() -> bool:
        return not any(gone & {r.name for r in v.records.values() if r.is_active} for v in views(net))

    took = net.until(known, 30 * SECOND)
    return 30.0 if took is None else took / SECOND


def dead(members: int, seed: int) -> Found:
    net = standing(zones_of(members), seed)
    began = net.now
    found = {"fleet.dead.known": silent(net, [net.own[-1]])}
    net.run(began + SPAN * SECOND)
    found |= worst(net, began, "fleet.dead")
    name = net.own[-2]
    net.kill(name)
    net.run(net.now + 2 * SECOND)
    view, _ = begin(net, name, 30)
    rule = proxy_count(members, members, 0, 1, Fraction(members, len(net.names)))
    return found | {"fleet.dead.share": part(net, view) * rule / len(net.names)}


def twelfth(members: int, seed: int) -> Found:
    net = standing(zones_of(members), seed)
    began = net.now
    known = silent(net, net.own[-max(1, members // 12) :])
    net.run(began + SPAN * SECOND)
    return {"fleet.twelfth.known": known, **worst(net, began, "fleet.twelfth")}


def zone(members: int, seed: int) -> Found:
    """Another zone loses power."""
    net = standing(zones_of(members), seed)
    began = net.now
    for name in net.of(1):
        net.off.add(name)
        net.kill(name)
    lost = "z01"
    took = net.until(lambda: all(v.zones.by_name[lost].silent for v in views(net)), 30 * SECOND)
    net.run(began + SPAN * SECOND)
    known = 30.0 if took is None else took / SECOND
    return {"fleet.zone.known": known, **worst(net, began, "fleet.zone")}


def region(members: int, seed: int) -> Found:
    """Three zones of twelve cut off both ways for a minute, with a cordon on either side, then healed."""
    net = standing(zones_of(members), seed)
    began = net.now
    ways = net.partition(net.of(0, 1, 2), net.of(*range(3, ZONES)))
    net.run(began + SPAN * SECOND // 2)
    net.cordon(net.own[0], "s1", True)
    net.cordon(net.names[-1], "s2", True)
    net.run(began + SPAN * SECOND)
    found = worst(net, began, "fleet.region")
    healed = net.now
    net.heal(ways)

    def agreed() -> bool:
        known = all(p.view.cordons.cordoned() == ["s1", "s2"] for p in net.running.values())
        return known and not any(z.silent for v in views(net) for z in v.zones.others)

    took = net.until(agreed, SPAN * SECOND)
    net.run(healed + SPAN * SECOND)
    found |= worst(net, healed, "fleet.healed")
    return found | {"fleet.healed.agreed": float(SPAN) if took is None else took / SECOND}


def cordon(members: int, seed: int) -> Found:
    net = standing(zones_of(members), seed)
    began = net.now
    net.cordon(net.names[0], "s1", True)
    everybody = [p.view for p in net.running.values()]
    took = net.until(lambda: all("s1" in v.cordons.cordoned() for v in everybody), 30 * SECOND, 10 * MS)
    known = 30.0 if took is None else took / SECOND
    net.run(began + 10 * SECOND)
    return {"fleet.cordon.known": known} | {
        key: value for key, value in worst(net, began, "fleet.cordon", 10).items() if key.endswith("bytes")
    }


# --- one view alone ---------------------------------------------------------------------------------------


def alone(members: int, seed: int) -> Found:
    from tabulate import tabulate

    from arrowseam.cli.fleet import MEMBER_HEADERS, member_row
    from arrowseam.membership import codec, report

    rnd = random.Random(seed)
    table = ("eu-1", members), *((f"eu-{n}", members) for n in range(2, ZONES + 1))
    own = MembershipSettings(
        configured_members=members, seeds=(("10.20.30.0", PORT),), zone="eu-1", zones=table
    )
    heard = [
        codec.encode_datagram(codec.Datagram(1, "fleet", codec.MessageKind.ACK, 1, r, 1, info=INFO))
        for r in records_of(members, rnd)
    ]
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    view = ClusterView(records_of(1, rnd)[0], own, random.Random(seed), INFO)
    for data in heard:  # each record its own object, as it comes off the wire
        view.on_datagram(0, data)
    view.dissemination.queue.queued.clear()
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    me = MemberRecord("new", WALL, 1, 0, State.ALIVE, "new", PORT, zone="eu-1")
    fresh = ClusterView(me, own, random.Random(seed), INFO)
    now = SECOND
    (ask,) = (effect for effect in fresh.start(now) if isinstance(effect, OpenStream))
    _, state = view.on_stream_request(now, ask.data[codec.LENGTH_SIZE :])
    assert state is not None
    began = time.process_time_ns()
    fresh.on_stream_closed(now, ask.token, StreamOutcome.ANSWERED, state[codec.LENGTH_SIZE :])
    longest = time.process_time_ns() - began
    while fresh.state_sync.backlog:
        at = time.process_time_ns()
        now += 1
        fresh.on_timer(now)
        longest = max(longest, time.process_time_ns() - at)
    took = time.process_time_ns() - began
    if fresh.members.known_count < members:
        raise SystemExit(f"{fresh.members.known_count} of {members} members taken in")
    began = time.process_time_ns()
    lines = [json.dumps(row) for row in report.member_rows(view, now)]
    shown = time.process_time_ns() - began
    began = time.process_time_ns()
    tabulate([member_row(json.loads(r), False) for r in lines], headers=MEMBER_HEADERS, disable_numparse=True)
    printed = time.process_time_ns() - began
    return {
        "fleet.view.memory": float(memory),
        "fleet.sync.bytes": float(len(state)),
        "fleet.sync.cpu": took / 1e6,
        "fleet.sync.longest": longest / 1e6,
        "ops.fleet.bytes": float(sum(len(line) + 1 for line in lines)),
        "ops.fleet.loop": shown / 1e6,
        "ops.fleet.print": printed / 1e6,
    }


# --- the agreement on the virtual clock -------------------------------------------------------------------


VOTERS = 5


def agreed(proxies: int, seed: int) -> Found:
    from arrowseam.lab.rollout_simulation import RolloutSimulation, Schedule
    from arrowseam.rollouts.budgets import Resource
    from arrowseam.rollouts.commands import Drain, PlanRelease, encoder
    from arrowseam.rollouts.messages import encode_message
    from arrowseam.rollouts.observed import ClusterState, ObservedEndpoint, ObservedProxy
    from arrowseam.rollouts.release_plan import plan_waves

    class Votes(RolloutSimulation):
        def __init__(self, *given: Any, **fields: Any) -> None:
            self.went: Counter[str] = Counter()
            self.came: Counter[str] = Counter()
            self.spent: Counter[str] = Counter()
            self.seen: ClusterState | None = None
            super().__init__(*given, **fields)

        def observe(self, process: Any) -> Any:
            """The same for all: everybody is there. Made once, since no view makes it here."""
            if self.seen is None or len(self.seen.proxies) != len(self.running):
                here = {
                    n: ObservedProxy(Resource(n, self.zones[n]), p.start_number, True, False)
                    for n, p in self.running.items()
                }
                servers = {name: ObservedEndpoint(seen, True) for name, seen in self.servers.items()}
                self.seen = ClusterState(here, servers, len(self.names), True, {})
            return self.seen

        def _event(self, process: Any, act: Any) -> None:
            def timed() -> Any:
                began = time.process_time_ns()
                found = act()
                self.spent[process.name] += time.process_time_ns() - began
                return found

            super()._event(process, timed)

        def _send(self, one: str, to: str, message: Any) -> None:
            began = time.process_time_ns()
            size = len(encode_message("fleet", message))
            self.spent[one] += time.process_time_ns() - began
            self.went[one] += size
            self.came[to] += size
            super()._send(one, to, message)

        def leader(self) -> str:
            return next((n for n, p in self.running.items() if p.agent.is_leader), "")

        def clear(self) -> None:
            for counted in (self.went, self.came, self.spent):
                counted.clear()

    world = Votes(Schedule(seed, proxies, VOTERS, True))
    for name in world.names:
        world.start(name)
    world.run(SECOND)
    world.reset(world.voters[0])
    if world.until(lambda: world.leader() != "", 30 * SECOND) is None:
        raise SystemExit(f"{proxies} proxies, seed {seed}: no leader")
    world.run(world.now + 4 * SECOND)
    leader, span = world.leader(), 5
    world.clear()
    world.run(world.now + span * SECOND)
    outside = [n for n in world.names if n not in world.voters]
    told = world.went[leader]
    found = {
        "agree.leader.bytes": max(world.came[leader], world.went[leader]) / span,
        "agree.voter.bytes": statistics.median(
            max(world.came[v], world.went[v]) for v in world.voters if v != leader
        )
        / span,
        "agree.leader.cpu": world.spent[leader] / 1e7 / span,
        "agree.proxy.bytes": statistics.median(max(world.went[n], world.came[n]) for n in outside) / span,
        "agree.proxy.cpu": statistics.median(world.spent[n] for n in outside) / 1e7 / span,
    }
    world.clear()
    before = world.running[leader].agent.replicated.index
    world.submit(leader, Drain(endpoint=world.servers["s0"], by=leader))
    took = world.until(
        lambda: all(p.agent.replicated.index > before for p in world.running.values()), 10 * SECOND, 20 * MS
    )
    world.run(world.now + span * SECOND - (took or 0))
    found["agree.told.known"] = 10.0 if took is None else took / SECOND
    found["agree.told.bytes"] = float(max(0, world.went[leader] - told))
    found["agree.told.cpu"] = world.spent[leader] / 1e6
    names = [f"eu-1-proxy-{n:05d}" for n in range(proxies)]
    plan = PlanRelease(kind="settings", bundle=bytes(2048), waves=plan_waves(names), by=leader)
    found["agree.plan.bytes"] = float(len(encoder.encode(plan)))
    world.submit(leader, plan)
    world.run(world.now + 2 * SECOND)
    found["agree.state.bytes"] = float(len(world.running[leader].agent.replicated.save()))
    return found


# --- shards ----------------------------------------------------------------------------------------------


def _traced(make: Callable[[], Any]) -> tuple[float, Any]:
    gc.collect()
    tracemalloc.start()
    found = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size), found


def _lookups(look: Callable[[int], Any], keys: list[int]) -> float:
    """Microseconds of processor a lookup."""
    began = time.process_time_ns()
    for key in keys:
        look(key)
    return (time.process_time_ns() - began) / 1000 / len(keys)


@dataclass(slots=True)
class Shard:
    """What a proxy would hold of one: where it is and since which version."""

    name: str
    server: int
    version: int


def shards(count: int, seed: int) -> Found:
    """A table of shards: objects, packed arrays (64 bits of hash, 16 of server, 32 of version), and a
    computed placement of which one in a hundred is an exception."""
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
        some = max(1, count // 100)
        return array("Q", sorted(rnd.getrandbits(64) for _ in range(some))), array("H", bytes(2 * some))

    size, table = _traced(objects)
    names = rnd.choices(list(table), k=20_000)
    began = time.process_time_ns()
    for name in names:
        table[name]
    taken = (time.process_time_ns() - began) / 1000 / len(names)
    del table, names
    found = {"shards.objects.bytes": size, "shards.objects.cpu": taken}
    size, (hashes, servers, _) = _traced(packed)
    keys = rnd.choices(hashes, k=20_000)
    spent = _lookups(lambda k: servers[bisect_left(hashes, k)], keys)
    found |= {"shards.packed.bytes": size, "shards.packed.cpu": spent}
    size, _ = _traced(exceptions)
    return found | {"shards.exceptions.bytes": size}


def _jump(key: int, buckets: int) -> int:
    """Lamping and Veach 2014."""
    b, j = -1, 0
    while j < buckets:
        b = j
        key = (key * 2862933555777941757 + 1) & 0xFFFFFFFFFFFFFFFF
        j = int((b + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return b


def placement(servers: int, seed: int) -> Found:
    """A lookup by computed placement among so many servers: rendezvous by a 64-bit mix of both, jump, and a
    ring of 40 points a server with loads bounded at 1.25 of the mean (Mirrokni and others, 2018), for 100
    shards a server."""
    from bisect import bisect_left

    rnd = random.Random(seed)
    marks = [rnd.getrandbits(64) for _ in range(servers)]
    mask = (1 << 64) - 1

    def rendezvous(key: int) -> int:
        return max(range(servers), key=lambda n: ((marks[n] ^ key) * 0x9E3779B97F4A7C15) & mask)

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


def _spent(pid: int) -> int:
    """Nanoseconds of processor that a process has had."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])


def _resident(pid: int) -> int:
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


def row(name: str, address: str) -> dict[str, Any]:
    return {"instanceId": name, "hostPort": address, "zone": "z", "machineType": "k", "lifecycle": "Ready",
            "weight": 1.0, "startedAtMs": 0}  # fmt: skip


class Child:
    """A process of ours, ended by its id; ``say`` is a line to it and its line back."""

    def __init__(self, *words: str, log: Path | None = None) -> None:
        env = os.environ | {"PYTHONPATH": str(ROOT)}
        out = log.open("wb") if log is not None else None
        self.process = subprocess.Popen(
            [sys.executable, *words], env=env, stdin=subprocess.PIPE,
            stdout=out or subprocess.PIPE, stderr=out,
        )  # fmt: skip
        self.pid = self.process.pid

    def hear(self) -> list[str]:
        assert self.process.stdout is not None
        line = self.process.stdout.readline().decode().split()
        if not line:
            raise SystemExit(f"process {self.pid} ended: {self.process.args}")
        return line

    def say(self, *words: object) -> list[str]:
        self.tell(*words)
        return self.hear()

    def tell(self, *words: object) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write((" ".join(map(str, words)) + "\n").encode())
        self.process.stdin.flush()

    def end(self) -> None:
        self.process.kill()
        self.process.wait()


PUSH = b"x" * 98 + b"\r\n"  # a delivery: 100 bytes, a guess


def serve_lines(host: str) -> None:
    """Stand-in servers on four ports of an address: UP, then each line back; ``push`` sends a line to all."""
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


def load(host: str, port: int, first: int) -> None:
    """Clients: ``open N``, ``echo SECONDS FLYING``, ``got COUNT`` (waits for so many pushed bytes)."""
    import select
    import socket

    poll, conns, number = select.epoll(), [], first
    by: dict[int, socket.socket] = {}
    print("ready", flush=True)
    for line in sys.stdin:
        what, *rest = line.split()
        if what == "open":
            fresh: dict[int, socket.socket] = {}
            failed, left = 0, int(rest[0])
            while left > 0 or fresh:
                while left > 0 and len(fresh) < 100:
                    sock = socket.socket()
                    sock.bind((host, 0))
                    sock.connect(("127.0.0.1", port))
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    number, left = number + 1, left - 1
                    sock.sendall(b"OPEN %016x 0a c=tech,t=acme,d=1800\r\n" % number)
                    fresh[sock.fileno()] = sock
                    poll.register(sock, select.EPOLLIN)
                for fd, _ in poll.poll(5):
                    sock = fresh.pop(fd)
                    if sock.recv(100).startswith(b"UP"):
                        conns.append(sock)
                        by[fd] = sock
                    else:
                        failed += 1
                        poll.unregister(fd)
                        sock.close()
            print(len(conns), failed, flush=True)
        elif what == "echo":
            end, flying, at, done = time.monotonic() + float(rest[0]), int(rest[1]), 0, 0
            out = 0
            while True:
                late = time.monotonic() >= end
                while out < flying and not late:
                    conns[at % len(conns)].send(b"hello\r\n")
                    at, out = at + 1, out + 1
                if not out:
                    break
                for fd, _ in poll.poll(2):
                    count = by[fd].recv(4096).count(b"\n")
                    done, out = done + count, out - count
            print(done, flush=True)
        elif what == "got":
            left = int(rest[0])
            while left > 0:
                found = poll.poll(5)
                if not found:
                    break
                for fd, _ in found:
                    left -= len(by[fd].recv(65536))
            print(left, flush=True)


def _settled(pid: int) -> None:
    """Until a process has taken no processor to speak of for 50 ms; five seconds at most."""
    for _ in range(100):
        before = _spent(pid)
        time.sleep(0.05)
        if _spent(pid) - before < 2_000_000:
            return


def path(connections: int, seed: int) -> Found:
    """One proxy with so many connections, its servers and its load in two processes each."""
    import tempfile

    if connections < 40:
        raise SystemExit("path: 40 connections at least")
    folder = Path(tempfile.mkdtemp(prefix="arrowseam-scale-"))
    children: list[Child] = []
    try:
        servers = [Child(__file__, "--servers", f"127.0.1.{n + 1}") for n in range(2)]
        children += servers
        rows = [
            row(f"s{n}-{port}", f"127.0.1.{n + 1}:{port}") for n, s in enumerate(servers) for port in s.hear()
        ]
        listen, control = free_ports(2)
        config = folder / "config.json"
        _, (lists, _) = discovery_of(rows)
        doc = configuration("n0", listen, control, f"127.0.0.1:{lists}", rows, 19_900)
        config.write_text(json.dumps(doc))
        proxy = Child("-m", "arrowseam", "serve", "--config", str(config), log=folder / "log")
        children.append(proxy)
        loads = [
            Child(__file__, "--load", f"127.0.2.{n + 1}", str(listen), str(n * 100_000)) for n in range(2)
        ]
        children += loads
        for one in loads:
            one.hear()
        _wait_for(listen)
        loads[0].say("open", 8)  # what is made once
        _settled(proxy.pid)
        empty, spent = _resident(proxy.pid), _spent(proxy.pid)
        for n, one in enumerate(loads):
            one.tell("open", connections // 2 - (8 if n == 0 else 0))
        told = [one.hear() for one in loads]
        opened, failed = sum(int(t[0]) for t in told), sum(int(t[1]) for t in told)
        if opened != connections // 2 * 2 or failed:
            raise SystemExit(f"{opened} of {connections} connections, {failed} failed: {folder / 'log'}")
        _settled(proxy.pid)
        found = {"path.accept.cpu": (_spent(proxy.pid) - spent) / 1000 / (opened - 8)}
        spent = _spent(proxy.pid)
        time.sleep(3)
        found["path.idle.cpu"] = (_spent(proxy.pid) - spent) / 3 / 1e7
        found["path.memory.idle"] = float(_resident(proxy.pid) - empty)
        spent, began = _spent(proxy.pid), time.monotonic()
        for one in loads:
            one.tell("echo", 4, min(64, opened // 4))
        done = sum(int(one.hear()[0]) for one in loads)
        took = time.monotonic() - began
        used = _spent(proxy.pid) - spent
        found |= {"path.echo.cpu": used / 1000 / done, "path.echo.busy": used / 1e7 / took}
        pushes, sent = max(3, min(100, 60_000 // opened)), 0
        spent = _spent(proxy.pid)
        for _ in range(pushes):
            for one in servers:
                one.tell("push")
            sent += sum(int(one.hear()[1]) for one in servers)
            for one, held in zip(loads, told):
                if int(one.say("got", int(held[0]) * len(PUSH))[0]):
                    raise SystemExit("pushed lines are missing")
        found["path.push.cpu"] = (_spent(proxy.pid) - spent) / 1000 / sent
        found["path.memory.used"] = float(_resident(proxy.pid) - empty)
        return found
    finally:
        for child in children:
            child.end()


def _wait_for(port: int) -> None:
    import socket

    end = time.monotonic() + 20
    while True:
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
            return
        except OSError:
            if time.monotonic() > end:
                raise SystemExit(f"nobody listens on {port}") from None
            time.sleep(0.05)


def discovery_of(rows: list[Any]) -> Any:
    """A stand-in of discovery and of one server, threads in this process; what it counts."""
    import socketserver
    import threading

    counted: Counter[str] = Counter()
    lock = threading.Lock()

    class Lists(socketserver.StreamRequestHandler):
        def handle(self) -> None:
            with lock:
                counted["connections"] += 1
            while line := self.rfile.readline(4096):
                while self.rfile.readline(4096).strip():
                    pass
                watch = b"since=1" in line
                with lock:
                    counted["watches" if watch else "lists"] += 1
                if watch:
                    time.sleep(int(line.split(b"timeout_ms=")[1].split()[0]) / 1000)
                doc = {"generation": 1, "reset": not watch, "instances": [] if watch else rows}
                body = json.dumps(doc).encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                with lock:
                    counted["bytes"] += len(answer)
                try:
                    self.wfile.write(answer)
                except OSError:
                    return

    class Idle(socketserver.StreamRequestHandler):
        def handle(self) -> None:
            with lock:
                counted["setups"] += 1

    class Threaded(socketserver.ThreadingTCPServer):
        allow_reuse_address = daemon_threads = True
        request_queue_size = 1024

    stands = [Threaded(("127.0.0.1", 0), kind) for kind in (Lists, Idle)]
    for stand in stands:
        threading.Thread(target=stand.serve_forever, daemon=True).start()
    return counted, [stand.server_address[1] for stand in stands]


def discovery(proxies: int, seed: int) -> Found:
    """So many proxies without clients: their calls to discovery and set-ups at servers."""
    import tempfile

    folder = Path(tempfile.mkdtemp(prefix="arrowseam-scale-"))
    rows: list[Any] = []
    counted, (lists, idle) = discovery_of(rows)
    rows += [row(f"server-{n:05d}", f"127.0.0.1:{idle}") for n in range(100)]
    children: list[Child] = []
    try:
        ports = free_ports(2 * proxies)
        for n in range(proxies):
            config = folder / f"{n}.json"
            doc = configuration(f"n{n}", ports[2 * n], ports[2 * n + 1], f"127.0.0.1:{lists}", [], 1000)
            config.write_text(json.dumps(doc))
            children.append(
                Child("-m", "arrowseam", "serve", "--config", str(config), log=folder / f"{n}.log")
            )
        for n in range(proxies):
            _wait_for(ports[2 * n])
        end = time.monotonic() + 30
        while counted["lists"] < proxies and time.monotonic() < end:
            time.sleep(0.1)
        if counted["lists"] < proxies:
            raise SystemExit(f"{counted['lists']} lists fetched by {proxies} proxies: {folder}")
        time.sleep(3)
        found = {"discovery.start.bytes": float(counted["bytes"])}
        before, began = Counter(counted), time.monotonic()
        time.sleep(10)
        span = time.monotonic() - began
        calls = sum(counted[k] - before[k] for k in ("watches", "lists"))
        return found | {
            "discovery.rest.calls": calls / span,
            "discovery.rest.bytes": (counted["bytes"] - before["bytes"]) / span,
            "servers.rest.setups": (counted["setups"] - before["setups"]) / span,
        }
    finally:
        for child in children:
            child.end()


def commands(servers: int, seed: int) -> Found:
    """``members`` of a proxy that knows so many servers, ``release status`` of one that agrees by itself."""
    import socket
    import tempfile

    folder = Path(tempfile.mkdtemp(prefix="arrowseam-scale-"))
    listen, control, fleet = free_ports(3)
    rows = [row(f"server-{n:05d}", f"127.0.{n // 250 % 250}.{1 + n % 250}:7300") for n in range(servers)]
    config, star = folder / "config.json", folder / "operator.star"
    _, (lists, _) = discovery_of(rows)
    config.write_text(json.dumps(configuration("n0", listen, control, f"127.0.0.1:{lists}", rows, 1000)))
    star.write_text(f'fleet(listen = "127.0.0.1:{fleet}", seeds = [])\nlog(level = "error")\n')
    proxy = Child(
        "-m", "arrowseam", "serve", "--config", str(config), "--operator", str(star), log=folder / "log"
    )
    try:
        _wait_for(listen)
        _settled(proxy.pid)

        def ask(words: bytes) -> tuple[int, float]:
            spent = _spent(proxy.pid)
            with socket.create_connection(("127.0.0.1", control), 5) as sock:
                sock.sendall(words + b"\n")
                size = 0
                while part := sock.recv(1 << 16):
                    size += len(part)
            return size, (_spent(proxy.pid) - spent) / 1e6

        size, spent = ask(b"members")
        env = os.environ | {"PYTHONPATH": str(ROOT)}
        before = os.times()
        command = [sys.executable, "-m", "arrowseam", "members", "--control", f"127.0.0.1:{control}"]
        subprocess.run(command, env=env, check=True, stdout=subprocess.DEVNULL)
        after = os.times()
        own = after.children_user + after.children_system - before.children_user - before.children_system
        return {"ops.members.bytes": float(size), "ops.members.loop": spent, "ops.members.print": 1000 * own}
    finally:
        proxy.end()


def status(members: int, seed: int) -> Found:
    """``release status`` while a release of so many proxies runs: what control tells, how long it takes."""
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


# --- what is measured -------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Group:
    """``series``: name -> role, unit, form, why."""

    job: Callable[[int, int], Found]
    x: str
    how: str
    sizes: tuple[int, ...]
    series: dict[str, tuple[str, str, str, str]]
    seeds: int = 3
    jobs: int = 8  # side by side


SMALL, LARGE = (4, 13, 40, 130, 400), (10, 30, 100, 300, 1000)
MEMBERS = "members of a zone"
PROBE = "a member probes one and is probed by one a period"
FETCH = "n records fetched once, beside what all say at rest"
MANY = "n / 12 records, each passed on log n times"
BRIDGED = "a beat crosses by whichever member bridges next, then by gossip in log n periods"
SUMMARY = "a zone is a beat and a summary, whatever its size"
ONE = "one record, passed on log n times"
REPORTS = "each proxy reports to each voter each second"
FIVE = "a report to each of five voters each second"
GOSSIP = "gossip reaches all in log n periods"

# fmt: off
GROUPS: dict[str, Group] = {
    "fleet.rest": Group(rest, MEMBERS, "virtual", LARGE, {
        "fleet.rest.bytes": (CONTROL, "B/s", "constant", PROBE),
        "fleet.rest.worst": (CONTROL, "B/s", "log", "the most of n draws of one distribution"),
        "fleet.rest.messages": (CONTROL, "1/s", "constant", PROBE),
        "fleet.rest.cpu": (CONTROL, "% of a core", "constant", PROBE),
    }),
    "lab": Group(virtual, "members", "virtual", (12, 36, 120, 360, 1200), {
        "lab.virtual.cpu": (LAB, "s/s", "nlogn", "n members' events, each through a queue of n"),
    }),
    "fleet.start": Group(start, MEMBERS, "virtual", SMALL, {
        "fleet.start.bytes": (CONTROL, "B/s", "linear", FETCH),
        "fleet.start.peak": (CONTROL, "B in 1 s", "linear", FETCH),
        "fleet.start.cpu": (CONTROL, "% of a core", "linear", FETCH),
        "fleet.start.longest": (CONTROL, "ms", "linear", "n records are decoded in one event"),
        "fleet.start.others": (CONTROL, "B/s", "log", ONE),
        "fleet.start.met": (CONTROL, "s", "linear", "n - 1 are greeted, a few a period"),
    }),
    "fleet.dead": Group(dead, MEMBERS, "virtual", SMALL, {
        "fleet.dead.known": (CONTROL, "s", "log", GOSSIP),
        "fleet.dead.bytes": (CONTROL, "B/s", "log", ONE),
        "fleet.dead.peak": (CONTROL, "B in 1 s", "log", ONE),
        "fleet.dead.cpu": (CONTROL, "% of a core", "log", ONE),
        "fleet.dead.share": (CONTROL, "of the rule", "constant", "one is unconfirmed, proxy_share.py"),
    }),
    "fleet.twelfth": Group(twelfth, MEMBERS, "virtual", SMALL, {
        "fleet.twelfth.known": (CONTROL, "s", "log", GOSSIP),
        "fleet.twelfth.bytes": (CONTROL, "B/s", "nlogn", MANY),
        "fleet.twelfth.peak": (CONTROL, "B in 1 s", "nlogn", MANY),
        "fleet.twelfth.cpu": (CONTROL, "% of a core", "nlogn", MANY),
    }),
    "fleet.zone": Group(zone, MEMBERS, "virtual", SMALL, {
        "fleet.zone.known": (CONTROL, "s", "log", BRIDGED),
        "fleet.zone.bytes": (CONTROL, "B/s", "constant", SUMMARY),
        "fleet.zone.peak": (CONTROL, "B in 1 s", "constant", SUMMARY),
        "fleet.zone.cpu": (CONTROL, "% of a core", "constant", SUMMARY),
    }),
    "fleet.region": Group(region, MEMBERS, "virtual", SMALL, {
        "fleet.region.bytes": (CONTROL, "B/s", "constant", SUMMARY),
        "fleet.region.peak": (CONTROL, "B in 1 s", "constant", SUMMARY),
        "fleet.region.cpu": (CONTROL, "% of a core", "constant", SUMMARY),
        "fleet.healed.agreed": (CONTROL, "s", "log", BRIDGED),
        "fleet.healed.bytes": (CONTROL, "B/s", "constant", SUMMARY),
        "fleet.healed.peak": (CONTROL, "B in 1 s", "constant", SUMMARY),
        "fleet.healed.cpu": (CONTROL, "% of a core", "constant", SUMMARY),
    }),
    "fleet.cordon": Group(cordon, MEMBERS, "virtual", LARGE, {
        "fleet.cordon.known": (CONTROL, "s", "log", GOSSIP),
        "fleet.cordon.bytes": (CONTROL, "B/s", "log", ONE),
    }),
    "alone": Group(alone, MEMBERS, "alone", (20, 65, 200, 650, 2000), {
        "fleet.view.memory": (CONTROL, "B", "linear", "n records, their infos and answers"),
        "fleet.sync.bytes": (CONTROL, "B", "linear", "n records"),
        "fleet.sync.cpu": (CONTROL, "ms", "linear", "n records decoded and taken in"),
        "fleet.sync.longest": (CONTROL, "ms", "linear", "n records decoded in one event"),
        "ops.fleet.bytes": (OPS, "B", "linear", "a line a member"),
        "ops.fleet.loop": (OPS, "ms", "nlogn", "n lines, sorted by name"),
        "ops.fleet.print": (OPS, "ms", "linear", "n rows"),
    }, jobs=3),
    "agree": Group(agreed, "members", "virtual", (6, 18, 60, 180, 600), {
        "agree.leader.bytes": (VOTER, "B/s", "linear", REPORTS),
        "agree.voter.bytes": (VOTER, "B/s", "linear", REPORTS),
        "agree.leader.cpu": (VOTER, "% of a core", "linear", REPORTS),
        "agree.proxy.bytes": (CONTROL, "B/s", "constant", FIVE),
        "agree.proxy.cpu": (CONTROL, "% of a core", "constant", FIVE),
        "agree.told.known": (VOTER, "s", "constant", "the leader tells who reports, once a second each"),
        "agree.told.bytes": (VOTER, "B", "linear", "one entry told to each of n"),
        "agree.told.cpu": (VOTER, "ms", "linear", "one entry told to each of n, and their reports over 5 s"),
        "agree.plan.bytes": (VOTER, "B", "linear", "a plan names all n"),
        "agree.state.bytes": (VOTER, "B", "linear", "a release and its plan name all n"),
    }),
    "path": Group(path, "connections", "real", (90, 300, 900, 3000, 9000), {
        "path.accept.cpu": (PATH, "us", "constant", "an opening is placed and set up by itself"),
        "path.idle.cpu": (PATH, "% of a core", "linear", "timers of each connection"),
        "path.memory.idle": (PATH, "B", "linear", "two sockets, a coroutine and buffers each"),
        "path.memory.used": (PATH, "B", "linear", "two sockets, a coroutine and buffers each"),
        "path.echo.cpu": (PATH, "us", "constant", "epoll tells of ready sockets only"),
        "path.echo.busy": (PATH, "% of a core", "constant", "whether the proxy was what was measured"),
        "path.push.cpu": (PATH, "us", "constant", "epoll tells of ready sockets only"),
    }, jobs=1),
    "discovery": Group(discovery, "proxies", "real", (1, 3, 10, 30, 100), {
        "discovery.start.bytes": (OUTSIDE, "B", "linear", "each fetches the list once, of 100 servers here"),
        "discovery.rest.calls": (OUTSIDE, "1/s", "linear", "one watch a proxy"),
        "discovery.rest.bytes": (OUTSIDE, "B/s", "linear", "one watch a proxy"),
        "servers.rest.setups": (OUTSIDE, "1/s", "constant", "no probes: a set-up is a client's"),
    }, seeds=2, jobs=1),
    "commands": Group(commands, "servers", "real", (10, 30, 100, 300, 1000), {
        "ops.members.bytes": (OPS, "B", "linear", "a line a server"),
        "ops.members.loop": (OPS, "ms", "linear", "a line a server"),
        "ops.members.print": (OPS, "ms", "linear", "a row a server, beside the start of Python"),
    }, jobs=2),
    "status": Group(status, "members", "alone", (65, 200, 650, 2000, 6500), {
        "ops.status.bytes": (OPS, "B", "linear", "a release names all n twice"),
        "ops.status.loop": (OPS, "ms", "linear", "a release names all n twice"),
    }),
    "shards": Group(shards, "shards", "alone", (13_000, 41_000, 130_000, 410_000, 1_300_000), {
        "shards.objects.bytes": (SHARD, "B", "linear", "an object, its name and its numbers each"),
        "shards.objects.cpu": (SHARD, "us", "log", "a hash table in ever slower caches"),
        "shards.packed.bytes": (SHARD, "B", "linear", "14 bytes each"),
        "shards.packed.cpu": (SHARD, "us", "log", "a binary search"),
        "shards.exceptions.bytes": (SHARD, "B", "linear", "10 bytes for one in a hundred"),
    }, jobs=3),
    "placement": Group(placement, "servers", "alone", (12, 120, 400, 1200, 4000, 12_000), {
        "shards.rendezvous.cpu": (SHARD, "us", "linear", "each server is weighed"),
        "shards.jump.cpu": (SHARD, "us", "log", "log n jumps"),
        "shards.bounded.cpu": (SHARD, "us", "log", "a binary search, and a step on where one is full"),
    }),
}
# fmt: on


def _job(work: tuple[str, int, int]) -> tuple[int, Found]:
    group, size, seed = work
    return size, GROUPS[group].job(size, seed)


def measure(
    name: str, group: Group, only: tuple[str, ...], chosen: tuple[int, ...], seeds: int, seed: int
) -> runs.Run:
    work = [(name, size, seed + n) for size in sorted(chosen, reverse=True) for n in range(seeds)]
    began = time.monotonic()
    if group.jobs == 1:
        rows = list(map(_job, work))
    else:
        with get_context("spawn").Pool(group.jobs, maxtasksperchild=1) as pool:
            rows = list(pool.imap(_job, work, chunksize=1))
    rows.sort(key=lambda r: r[0])
    series = [
        runs.Series(key, role, unit, group.x, form, why, group.how, [(s, f[key]) for s, f in rows])  # type: ignore[arg-type]
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
    made = f"benchmarks/scale.py --only {name}"
    at = datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    return runs.Run(runs.FORM, made, at, machine, version, seed, series)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--only", default="", help="groups or series whose names begin so, by commas")
    parser.add_argument("--sizes", help="in place of the group's own, by commas")
    parser.add_argument("--seeds", type=int, help="runs of each size")
    parser.add_argument("--seed", type=int, default=1, help="the first")
    parser.add_argument("--out", default=str(ROOT / "benchmarks/runs"))
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--servers", help=argparse.SUPPRESS)
    parser.add_argument("--load", nargs=3, help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.servers:
        serve_lines(given.servers)
        return
    if given.load:
        load(given.load[0], int(given.load[1]), int(given.load[2]))
        return
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # children are ended then too
    only = tuple(given.only.split(","))
    chosen = {
        name: group
        for name, group in GROUPS.items()
        if name.startswith(only) or any(key.startswith(only) for key in group.series)
    }
    if not chosen:
        parser.error(f"nothing is called {given.only}; see --list")
    for name, group in chosen.items():
        if given.list:
            at = ", ".join(map(str, group.sizes))
            print(f"{name} ({group.how}; {group.x}: {at}): {', '.join(group.series)}")
            continue
        picked = tuple(map(int, given.sizes.split(","))) if given.sizes else group.sizes
        run = measure(name, group, only, picked, given.seeds or group.seeds, given.seed)
        out = Path(given.out)
        out.mkdir(parents=True, exist_ok=True)
        runs.write(out / f"{name}-{run.version}.json", run)


if __name__ == "__main__":
    main()
