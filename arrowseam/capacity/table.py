"""The table of a target: each role's costs at rest and in each event, with limit, room and what carries it.

It owns which costs stand in the table and how they come from the recorded slopes. It must never hold a
measured figure of its own: what no run has measured is "not measured".
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from tabulate import tabulate

from arrowseam.capacity.fit import Fit, Value, fit
from arrowseam.capacity.runs import Run, Series, Target
from arrowseam.membership.codec import STREAM_MAX
from arrowseam.membership.cordons import CORDONS_MAX
from arrowseam.membership.members import MEMBERS_MAX
from arrowseam.membership.proxy_share import proxy_count

BEGIN, END = "<!-- capacity: begin -->", "<!-- capacity: end -->"
DAY = 86_400
MISSING = "missing"
BUSY = 0.7  # of a core, above which what comes has to wait
LIST = 100  # servers in the lists of the discovery series


@dataclass(frozen=True)
class Figure:
    """A cost at the target's size, and how far its fits can be trusted."""

    value: Value
    series: tuple[str, ...] = ()
    missed: float = 0.0  # the worst of its fits, at the size held out
    wrong: tuple[str, ...] = ()  # series whose form is wrong
    beyond: float = 1.0  # times the largest size measured

    def map(self, act: Callable[[Value], Value]) -> Figure:
        return Figure(act(self.value), self.series, self.missed, self.wrong, self.beyond)

    def __mul__(self, other: float | Figure) -> Figure:
        if not isinstance(other, Figure):
            return self.map(lambda v: v.times(other))
        return self._with(other, self.value.times(other.value))

    def __add__(self, other: float | Figure) -> Figure:
        if not isinstance(other, Figure):
            return self.map(lambda v: v.plus(other))
        return self._with(other, self.value.plus(other.value))

    def _with(self, other: Figure, value: Value) -> Figure:
        series = self.series + tuple(s for s in other.series if s not in self.series)
        wrong = self.wrong + tuple(s for s in other.wrong if s not in self.wrong)
        return Figure(value, series, max(self.missed, other.missed), wrong, max(self.beyond, other.beyond))


def given(value: float) -> Figure:
    """What the target file says itself."""
    return Figure(Value(value, value, value))


class Unmeasured(LookupError):
    """No run has this series."""


class Costs:
    """The recorded series, fitted when asked for, at the sizes of one target."""

    def __init__(self, found: Mapping[str, tuple[Series, Run]], target: Target) -> None:
        self.found, self.target = found, target
        self.fits: dict[str, Fit] = {}
        size = target.size
        self.sizes = {
            "members": size.proxies,
            "proxies": size.proxies,
            "members of a zone": target.zone,
            "zones": size.zones,
            "connections": -(-size.connections // size.proxies),
            "servers": size.servers,
            "shards": max(1, size.shards),
        }

    def fit(self, name: str) -> Fit:
        if name not in self.fits:
            if name not in self.found:
                raise Unmeasured(name)
            series = self.found[name][0]
            self.fits[name] = fit(series.form, series.samples)
        return self.fits[name]

    def __call__(self, name: str) -> Figure:
        """Raises Unmeasured."""
        made = self.fit(name)
        x = self.sizes.get(self.found[name][0].x)
        if x is None:
            raise Unmeasured(name)
        wrong = (name,) if made.wrong else ()
        return Figure(made.line(x), (name,), made.missed, wrong, max(1.0, x / made.most))


Reckon = Callable[[Costs], Figure]
Limit = Callable[[Target], float]


@dataclass(frozen=True)
class Row:
    role: str
    event: str
    what: str
    unit: str
    reckon: Reckon
    carries: str  # module: rule; or what is missing
    limit: Limit | None = None


def _of(name: str) -> Reckon:
    return lambda c: c(name)


def _per_s(t: Target) -> float:
    return t.limits.bytes_per_s


def _core(t: Target) -> float:
    return t.limits.core_percent


def _memory(t: Target) -> float:
    return t.limits.memory_mb * 1e6


def _one(t: Target) -> float:
    return 100.0


def _aim(name: str) -> Limit:
    return lambda t: float(getattr(t.limits, name))


def _restart_minute(c: Costs) -> Figure:
    """A minute with the restarts that fall into it, one at least, for who only hears of them."""
    rest, others = c("fleet.rest.worst"), c("fleet.start.others")
    count = max(1.0, c.target.events.restarts_a_day * c.target.limits.span_s / DAY)
    more = Value(*(max(0.0, o - r) * count for o, r in zip(_ends(others.value), _ends(rest.value))))
    return rest + others.map(lambda _: more)


def _ends(value: Value) -> tuple[float, float, float]:
    return value.at, value.low, value.high


def _lacks(c: Costs) -> Figure:
    """Percent of its share that who starts is without while a day's silent failures of its zone are not
    forgotten: by the rule of shares, times the part of that which was seen."""
    zone, share = c.target.zone, c("fleet.dead.share")
    strangers = min(zone - 1, -(-c.target.events.silent_a_day // c.target.size.zones))
    rule = zone / proxy_count(zone, zone, 0, strangers)
    return share.map(lambda v: Value(*(max(0.0, 100 * (1 - rule * part)) for part in (v.at, v.high, v.low))))


def _zone_servers(c: Costs) -> int:
    return -(-c.target.size.servers // c.target.size.zones)


def _moved(c: Costs) -> Figure:
    """Six bytes for each shard of a zone: which one, and where now."""
    return given(6 * c.target.size.shards / c.target.size.zones)


CONTROL, PATH, VOTER, OPS, LAB = (
    "proxy, control",
    "proxy, data path",
    "control machines",
    "operators",
    "laboratory",
)
OUTSIDE, SHARD = "discovery and servers", "shards"
REST, START, RESTARTS, SILENT = "at rest", "a start", "restarts of a day", "silent failures of a day"
RACK, ZONE, CUT, HEAL = "a rack", "a zone", "a region cut for a minute", "its heal"
CHANGE, DRAIN, HALT, STATE = "a change in force everywhere", "a drain of a zone's servers", "a halt", "state"
MEAN, PEAK = "bytes, mean of a minute, worst member", "bytes, worst second"
PROBE = "membership/failure_detector.py: one probe an interval; bridges.py"
SYNC = "membership/state_sync.py: the buckets that differ; traffic_budget.py"
BRIDGE = "membership/bridges.py; zones.py: heartbeats, summaries"
SWIM = "membership/failure_detector.py, suspicion.py, gossip.py"
REPORT = "rollouts/status_board.py: a report to each voter a second"
NOBODY = "missing: nothing in the program knows a shard"
NO_CHANGE = (
    "missing: a release soaks wave by wave (rollouts/controller.py); nothing brings one everywhere at once"
)


def _four(event: str, name: str, carries: str) -> list[Row]:
    """Bytes, their peak, processor of an event."""
    return [
        Row(CONTROL, event, MEAN, "B/s", _of(f"{name}.bytes"), carries, _per_s),
        Row(CONTROL, event, PEAK, "B", _of(f"{name}.peak"), carries),
        Row(CONTROL, event, "processor, worst member", "%", _of(f"{name}.cpu"), carries, _core),
    ]


ROWS: list[Row] = [
    Row(CONTROL, STATE, "names in the view", "", lambda c: given(c.target.zone),
        "membership/members.py: MEMBERS_MAX", lambda t: float(MEMBERS_MAX)),
    Row(CONTROL, STATE, "memory of the view", "B", _of("fleet.view.memory"), "membership/members.py: records",
        _memory),
    Row(CONTROL, STATE, "the zone's records on the wire", "B", _of("fleet.sync.bytes"), SYNC,
        lambda t: t.limits.bytes_per_s * t.limits.span_s),
    Row(CONTROL, STATE, "the zone's records taken in, processor", "ms", _of("fleet.sync.cpu"),
        "membership/state_sync.py: MERGE_BATCH",
        lambda t: t.limits.core_percent / 100 * t.limits.span_s * 1000),
    Row(CONTROL, STATE, "longest event of that", "ms", _of("fleet.sync.longest"),
        "missing: a frame is decoded in one go (membership/codec.py)", _aim("hold_up_ms")),
    Row(CONTROL, REST, "messages of the view", "1/s", _of("fleet.rest.messages"), PROBE),
    Row(CONTROL, REST, "bytes of the view", "B/s", _of("fleet.rest.bytes"), PROBE, _per_s),
    Row(CONTROL, REST, "bytes of the view, worst member", "B/s", _of("fleet.rest.worst"), PROBE, _per_s),
    Row(CONTROL, REST, "bytes of reports", "B/s", _of("agree.proxy.bytes"), REPORT, _per_s),
    Row(CONTROL, REST, "bytes together", "B/s", lambda c: c("fleet.rest.bytes") + c("agree.proxy.bytes"),
        "both", _per_s),
    Row(CONTROL, REST, "processor together", "%", lambda c: c("fleet.rest.cpu") + c("agree.proxy.cpu"),
        "both", _core),
    Row(CONTROL, START, "bytes, mean of a minute, who starts", "B/s", _of("fleet.start.bytes"), SYNC, _per_s),
    Row(CONTROL, START, "bytes, worst second, who starts", "B", _of("fleet.start.peak"), SYNC),
    Row(CONTROL, START, "processor, mean of a minute, who starts", "%", _of("fleet.start.cpu"), SYNC, _core),
    Row(CONTROL, START, "longest event, who starts", "ms", _of("fleet.start.longest"), SYNC,
        _aim("hold_up_ms")),
    Row(CONTROL, START, "until it has its whole share", "s", _of("fleet.start.met"),
        "membership/failure_detector.py: greets; evidence.py", _aim("whole_share_s")),
    Row(CONTROL, RESTARTS, "bytes, a minute with a restart, worst of the others", "B/s", _restart_minute,
        "membership/gossip.py", _per_s),
    Row(CONTROL, SILENT, "until all know of one", "s", _of("fleet.dead.known"), SWIM, _aim("death_known_s")),
    *_four(SILENT, "fleet.dead", SWIM),
    Row(CONTROL, SILENT, "lacking of its share, who starts after them", "%", _lacks,
        "membership/proxy_share.py: who is unconfirmed is paid for", lambda t: 5.0),
    Row(CONTROL, RACK, "until all know", "s", _of("fleet.twelfth.known"), SWIM),
    *_four(RACK, "fleet.twelfth", SWIM),
    Row(CONTROL, ZONE, "until another zone knows", "s", _of("fleet.zone.known"),
        "membership/zones.py: heartbeats, silent after 6 s", _aim("zone_known_s")),
    *_four(ZONE, "fleet.zone", BRIDGE),
    *_four(CUT, "fleet.region", BRIDGE),
    Row(CONTROL, HEAL, "until all agree, with a cordon from either side", "s", _of("fleet.healed.agreed"),
        "membership/zones.py: contacts; bridges.py", _aim("healed_s")),
    *_four(HEAL, "fleet.healed", BRIDGE),
    Row(CONTROL, CHANGE, "bytes of plans, all changes of a day", "B/s",
        lambda c: c("agree.plan.bytes") * (c.target.events.changes_a_day / DAY),
        "rollouts/release_plan.py: a plan names all", _per_s),
    Row(CONTROL, CHANGE, "until it is in force everywhere", "s", _of("agree.change.inforce"),
        NO_CHANGE, lambda t: t.events.in_force_s),
    Row(CONTROL, DRAIN, "cordons held", "", lambda c: given(_zone_servers(c)),
        "membership/cordons.py: CORDONS_MAX", lambda t: float(CORDONS_MAX)),
    Row(CONTROL, DRAIN, "bytes told to each", "B",
        lambda c: c("agree.told.bytes") * (_zone_servers(c) / c.target.size.proxies),
        "rollouts/controller.py: as the budgets allow, an entry each"),
    Row(CONTROL, HALT, "until all know, as a cordon", "s", _of("fleet.cordon.known"),
        "membership/cordon_replication.py; dissemination.py: pushes; bridges.py", _aim("cordon_s")),
    Row(CONTROL, HALT, "bytes, mean of 10 s, worst member", "B/s", _of("fleet.cordon.bytes"),
        "membership/gossip.py",
        _per_s),
    Row(VOTER, STATE, "replicated state, one release planned", "B", _of("agree.state.bytes"),
        "rollouts/replicated_state.py; one frame of a stream", lambda t: float(STREAM_MAX)),
    Row(VOTER, REST, "bytes to the leader", "B/s", _of("agree.leader.bytes"), REPORT),
    Row(VOTER, REST, "bytes to another voter", "B/s", _of("agree.voter.bytes"), REPORT),
    Row(VOTER, REST, "processor of the leader", "%", _of("agree.leader.cpu"), REPORT, _one),
    Row(VOTER, HEAL, "states sent to a region that starts anew", "B",
        lambda c: c("agree.state.bytes") * (c.target.size.proxies / c.target.size.regions),
        "rollouts/agent.py: LogCatchUp, whole"),
    Row(VOTER, CHANGE, "until an entry is told to all", "s", _of("agree.told.known"),
        "rollouts/agent.py: LogCatchUp",
        lambda t: t.events.in_force_s),
    Row(VOTER, CHANGE, "bytes of the leader, a small entry", "B", _of("agree.told.bytes"),
        "rollouts/agent.py: LogCatchUp"),
    Row(VOTER, CHANGE, "processor of the leader, a small entry and 5 s of reports", "ms",
        _of("agree.told.cpu"),
        "rollouts/agent.py: LogCatchUp"),
    Row(VOTER, CHANGE, "bytes of the leader, a plan", "B",
        lambda c: c("agree.plan.bytes") * c.target.size.proxies, NO_CHANGE),
    Row(VOTER, CHANGE, "bytes of the leader, all plans of a day", "B/s",
        lambda c: c("agree.plan.bytes") * (c.target.size.proxies * c.target.events.changes_a_day / DAY),
        NO_CHANGE),
    Row(PATH, REST, "connections", "", lambda c: given(c.sizes["connections"]), "net/event_loop.py"),
    Row(PATH, REST, "descriptors", "", lambda c: given(2 * c.sizes["connections"]),
        "net/event_loop.py: two a connection"),
    Row(PATH, REST, "memory of its connections, idle", "B", _of("path.memory.idle"),
        "net/event_loop.py, net/forwarding.py"),
    Row(PATH, REST, "memory of its connections, used", "B", _of("path.memory.used"),
        "net/event_loop.py, net/forwarding.py"),
    Row(PATH, REST, "processor of its connections, idle", "%", _of("path.idle.cpu"),
        "net/event_loop.py", _one),
    Row(PATH, REST, "processor of a delivery", "us", _of("path.push.cpu"), "net/forwarding.py: Forwarder"),
    Row(PATH, REST, "processor of a round trip", "us", _of("path.echo.cpu"), "net/forwarding.py: Forwarder"),
    Row(PATH, REST, "deliveries a second", "1/s",
        lambda c: given(c.target.size.deliveries_per_s / c.target.size.proxies),
        "net/forwarding.py: Forwarder"),
    Row(PATH, REST, "processor of its deliveries, one way", "%",
        lambda c: c("path.push.cpu") * (c.target.size.deliveries_per_s / c.target.size.proxies / 1e4),
        "net/forwarding.py: Forwarder, one core", _one),
    Row(PATH, REST, "processor if each is answered", "%",
        lambda c: c("path.echo.cpu") * (c.target.size.deliveries_per_s / c.target.size.proxies / 1e4),
        "net/forwarding.py: Forwarder, one core", _one),
    Row(PATH, REST, "proxies of one core, seven tenths busy, that the deliveries want", "",
        lambda c: c("path.push.cpu") * (c.target.size.deliveries_per_s / 1e6 / BUSY),
        "net/forwarding.py: Forwarder, one core",
        lambda t: float(t.size.proxies)),
    Row(PATH, REST, "cores a proxy, seven tenths busy, one way", "",
        lambda c: c("path.push.cpu") * (c.target.size.deliveries_per_s / c.target.size.proxies / 1e6 / BUSY),
        "missing: one process is one loop on one core", lambda t: 1.0),
    Row(PATH, REST, "cores a proxy, seven tenths busy, each answered", "",
        lambda c: c("path.echo.cpu") * (c.target.size.deliveries_per_s / c.target.size.proxies / 1e6 / BUSY),
        "missing: one process is one loop on one core", lambda t: 1.0),
    Row(PATH, REST, "time of a delivery", "ms", _of("path.delivery.time"), "net/event_loop.py",
        lambda t: t.size.delivery_ms),
    Row(PATH, START, "processor of an opening", "us", _of("path.accept.cpu"), "request_handling/, balancer/"),
    Row(PATH, START, "processor until its connections stand", "s",
        lambda c: c("path.accept.cpu") * (c.sizes["connections"] / 1e6), "request_handling/, balancer/"),
    Row(PATH, ZONE, "processor for a lost zone's clients, each of the others", "s",
        lambda c: c("path.accept.cpu")
        * (c.target.size.connections / c.target.size.zones / max(1,
        c.target.size.proxies - c.target.zone) / 1e6),
        "request_handling/, balancer/"),
    Row(OUTSIDE, REST, "calls at discovery", "1/s", _of("discovery.rest.calls"),
        "protocols/discovery.py: one watch"),
    Row(OUTSIDE, REST, "bytes of discovery", "B/s", _of("discovery.rest.bytes"),
        "protocols/discovery.py: one watch"),
    Row(OUTSIDE, REST, "set-ups at servers without clients", "1/s", _of("servers.rest.setups"),
        "balancer/health_checks.py: none"),
    Row(OUTSIDE, START, "bytes of a list", "B",
        lambda c: c("discovery.start.bytes") * (c.target.size.servers / LIST / c.target.size.proxies),
        "protocols/discovery.py: the whole list"),
    Row(OUTSIDE, HEAL, "bytes of lists, a region starts anew", "B",
        lambda c: c("discovery.start.bytes") * (c.target.size.servers / LIST / c.target.size.regions),
        "protocols/discovery.py: the whole list, 2.5 s apart"),
    Row(OPS, REST, "`fleet`: bytes", "B", _of("ops.fleet.bytes"), "membership/report.py"),
    Row(OPS, REST, "`fleet`: processor of the proxy", "ms", _of("ops.fleet.loop"), "membership/report.py"),
    Row(OPS, REST, "`fleet`: processor of the table", "ms", _of("ops.fleet.print"), "cli/fleet.py"),
    Row(OPS, REST, "`members`: bytes", "B", _of("ops.members.bytes"), "net/control.py"),
    Row(OPS, REST, "`members`: processor of the proxy", "ms", _of("ops.members.loop"), "net/control.py"),
    Row(OPS, REST, "`members`: processor of the command", "ms", _of("ops.members.print"), "cli/operators.py"),
    Row(OPS, CHANGE, "`release status`: bytes", "B", _of("ops.status.bytes"), "rollouts/status_rows.py"),
    Row(OPS, CHANGE, "`release status`: processor of the proxy", "ms", _of("ops.status.loop"),
        "rollouts/status_rows.py"),
    Row(LAB, REST, "processor for a second of the virtual clock", "s", _of("lab.virtual.cpu"),
        "lab/simulated_cluster.py: one queue"),
    Row(SHARD, STATE, "a table of objects", "B", _of("shards.objects.bytes"), NOBODY, _memory),
    Row(SHARD, STATE, "packed, 14 bytes each", "B", _of("shards.packed.bytes"), NOBODY, _memory),
    Row(SHARD, STATE, "computed, one in a hundred an exception", "B", _of("shards.exceptions.bytes"),
        NOBODY, _memory),
    Row(SHARD, START, "the packed table, at the bytes of control", "s",
        lambda c: c("shards.packed.bytes") * (1 / c.target.limits.bytes_per_s), NOBODY),
    Row(SHARD, START, "the exceptions, at the bytes of control", "s",
        lambda c: c("shards.exceptions.bytes") * (1 / c.target.limits.bytes_per_s), NOBODY),
    Row(SHARD, ZONE, "its shards told anew, at the bytes of control", "s",
        lambda c: _moved(c) * (1 / c.target.limits.bytes_per_s), NOBODY),
    Row(SHARD, REST, "a lookup, objects", "us", _of("shards.objects.cpu"), NOBODY),
    Row(SHARD, REST, "a lookup, packed", "us", _of("shards.packed.cpu"), NOBODY),
    Row(SHARD, REST, "a lookup, rendezvous", "us", _of("shards.rendezvous.cpu"), NOBODY),
    Row(SHARD, REST, "a lookup, jump", "us", _of("shards.jump.cpu"), NOBODY),
    Row(SHARD, REST, "a lookup, bounded loads", "us", _of("shards.bounded.cpu"), NOBODY),
]  # fmt: skip

EVENTS = (STATE, REST, START, RESTARTS, SILENT, RACK, ZONE, CUT, HEAL, CHANGE, DRAIN, HALT)


@dataclass(frozen=True)
class Line:
    row: Row
    figure: Figure | None  # None: not measured
    limit: float | None

    @property
    def over(self) -> bool:
        return self.figure is not None and self.limit is not None and self.figure.value.at > self.limit

    @property
    def room(self) -> float | None:
        """The part of the limit that is left; below 0 where it is over."""
        if self.figure is None or self.limit is None:
            return None
        return 1 - self.figure.value.at / self.limit


def reckon(costs: Costs) -> list[Line]:
    lines = []
    for row in ROWS:
        try:
            figure: Figure | None = row.reckon(costs)
        except Unmeasured:
            figure = None
        lines.append(Line(row, figure, row.limit(costs.target) if row.limit is not None else None))
    return lines


# --- how it looks -----------------------------------------------------------------------------------------


def number(value: float) -> str:
    """Three digits that count."""
    if not math.isfinite(value):
        return str(value)
    if value == 0:
        return "0"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    rounded = round(value, 2 - math.floor(math.log10(abs(value))))
    return f"{rounded:,.{digits}f}".rstrip("0").rstrip(".") if digits else f"{rounded:,.0f}"


def _unit(value: float, unit: str) -> tuple[float, str]:
    if unit in ("B", "B/s"):
        for step, name in ((1e9, "G"), (1e6, "M"), (1e3, "k")):
            if value >= step:
                return step, f" {name}{unit}"
    return 1.0, f" {unit}" if unit else ""


def _exact(value: float) -> str:
    """A count is told to the last digit."""
    return f"{value:,.0f}" if value == round(value) else number(value)


def shown(value: Value, unit: str) -> str:
    if not unit and value.low == value.high:
        return _exact(value.at)
    step, name = _unit(value.at, unit)
    if number(value.low) == number(value.high):
        return f"{number(value.at / step)}{name}"
    return f"{number(value.at / step)} ({number(value.low / step)} to {number(value.high / step)}){name}"


def _limit(line: Line) -> str:
    if line.limit is None:
        return ""
    if not line.row.unit:
        return _exact(line.limit)
    step, name = _unit(line.limit, line.row.unit)
    return f"{number(line.limit / step)}{name}"


def _room(line: Line) -> str:
    room = line.room
    if room is None or line.figure is None or line.limit is None:
        return ""
    if room < 0:
        times = line.figure.value.at / line.limit
        return f"**over, {number(times)} times**" if times >= 2 else f"**over by {-room:.0%}**"
    perhaps = ", perhaps over" if line.figure.value.high > line.limit else ""
    return f"{room:.0%} left{perhaps}"


def _trust(figure: Figure | None) -> str:
    if figure is None:
        return ""
    if not figure.series:
        return "as told"
    said = f"form wrong: missed by {figure.missed:.0%}" if figure.wrong else f"held: {figure.missed:.0%}"
    return f"{said}; {number(figure.beyond)} times beyond" if figure.beyond > 1.005 else said


HEAD = ("event", "cost", "at this size (95%)", "limit", "room", "largest size held out", "carried by")


def _cells(line: Line) -> list[str]:
    row, figure = line.row, line.figure
    value = "not measured" if figure is None else shown(figure.value, row.unit)
    return [row.event, row.what, value, _limit(line), _room(line), _trust(figure), row.carries]


def _grouped(lines: list[Line]) -> list[tuple[str, list[Line]]]:
    roles = list(dict.fromkeys(line.row.role for line in lines))
    return [(role, [line for line in lines if line.row.role == role]) for role in roles]


def slopes(costs: Costs) -> list[list[str]]:
    found = []
    for name, (series, run) in sorted(costs.found.items()):
        made = costs.fit(name)
        low, high = made.line.slope_within
        slope = (
            ""
            if series.form == "constant"
            else f"{number(made.line.slope)} ({number(low)} to {number(high)})"
        )
        verdict = f"**wrong**, {made.missed:.0%}" if made.wrong else f"{made.missed:.0%}"
        least = min(x for x, _ in series.samples)
        span = f"{number(least)} to {number(made.most)} {series.x}"
        base = number(made.line.base)
        found.append([name, series.unit, series.form, base, slope, span, verdict, series.how, run.version])
    return found


SLOPES = (
    "series",
    "unit",
    "form",
    "base",
    "slope (95%)",
    "measured at",
    "held-out size missed by",
    "how",
    "version",
)


def summary(lines: list[Line]) -> str:
    over = [line for line in lines if line.over]
    wrong = sorted({name for line in lines if line.figure for name in line.figure.wrong})
    missing = sum(line.figure is None for line in lines)
    return (
        f"{len(lines)} costs: {len(over)} over their limits, {missing} not measured; "
        f"{len(wrong)} series whose form is wrong{': ' + ', '.join(wrong) if wrong else ''}."
    )


def render_text(costs: Costs) -> str:
    """For a terminal."""
    lines = reckon(costs)
    parts = [f"{role}\n{tabulate([_cells(n) for n in rows], headers=HEAD, disable_numparse=True)}"
             for role, rows in _grouped(lines)]  # fmt: skip
    return "\n\n".join([*parts, summary(lines)]).replace("**", "")


def _plain(line: Line) -> str:
    assert line.figure is not None
    value = shown(line.figure.value, line.row.unit)
    doubt = "; its form is wrong" if line.figure.wrong else ""
    return (
        f"- {line.row.role}, {line.row.event}, {line.row.what}: {value}, limit {_limit(line)}{doubt}. "
        f"{'' if line.row.carries.startswith(MISSING) else 'Carried by '}{line.row.carries}."
    )


def render_page(costs: Costs) -> str:
    """For between the markers of a page."""
    lines = reckon(costs)
    over = [_plain(line) for line in lines if line.over]
    parts = [summary(lines), "Over their limits:\n\n" + ("\n".join(over) or "- nothing")]
    for role, rows in _grouped(lines):
        table = tabulate([_cells(n) for n in rows], headers=HEAD, disable_numparse=True, tablefmt="github")
        parts.append(f"### {role[0].upper()}{role[1:]}\n\n{_tight(table)}")
    table = tabulate(slopes(costs), headers=SLOPES, disable_numparse=True, tablefmt="github")
    return "\n\n".join([*parts, f"### Slopes\n\n{_tight(table)}"])


def _tight(table: str) -> str:
    """Without the blanks that line columns up: lines of a page stay short where they can."""
    rows = [[cell.strip() for cell in line.strip("|").split("|")] for line in table.splitlines()]
    rows[1] = ["---"] * len(rows[0])
    return "\n".join(f"| {' | '.join(row)} |" for row in rows)


def to_document(costs: Costs) -> dict[str, Any]:
    """For machines."""
    rows = []
    for line in reckon(costs):
        figure = line.figure
        rows.append(
            {"role": line.row.role, "event": line.row.event, "cost": line.row.what, "unit": line.row.unit,
             "measured": figure is not None, "limit": line.limit, "room": line.room, "over": line.over,
             "carried_by": line.row.carries, "missing": line.row.carries.startswith(MISSING)}
            | ({} if figure is None else {
                "at": figure.value.at, "low": figure.value.low, "high": figure.value.high,
                "series": list(figure.series), "wrong": list(figure.wrong), "missed": figure.missed,
                "beyond": figure.beyond})
        )  # fmt: skip
    return {"rows": rows, "slopes": [dict(zip(SLOPES, row)) for row in slopes(costs)]}


def replace_table(old: str, new: str) -> str:
    """A page with the table put anew between its markers; raises ValueError where they aren't there once."""
    if old.count(BEGIN) != 1 or old.count(END) != 1 or old.index(BEGIN) > old.index(END):
        raise ValueError(f"no {BEGIN} with an {END} after it, once each")
    before, rest = old.split(BEGIN)
    return f"{before}{BEGIN}\n{new}\n{END}{rest.split(END)[1]}"
