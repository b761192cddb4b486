"""The cost table of a target: per role, the costs at rest and in each event, with limit and headroom.

Each row also names the code that carries the cost. This module defines the rows and how they follow from the
recorded series. It contains no measured values itself: what no run has measured is shown as "not measured".
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from tabulate import tabulate

from arrowseam.capacity.fit import Estimate, Fit, fit
from arrowseam.capacity.runs import Run, Series, Target
from arrowseam.membership.codec import STREAM_MAX
from arrowseam.membership.cordons import CORDONS_MAX
from arrowseam.membership.members import MEMBERS_MAX
from arrowseam.membership.proxy_share import proxy_count

BEGIN, END = "<!-- capacity: begin -->", "<!-- capacity: end -->"
DAY = 86_400
MISSING = "missing"
TARGET_UTILIZATION = 0.7  # of a core; above it, requests have to queue
DISCOVERY_LIST_SIZE = 100  # servers per list in the recorded discovery series


@dataclass(frozen=True)
class Figure:
    """A cost at the size of the target, and how reliable the fits behind it are."""

    estimate: Estimate
    series: tuple[str, ...] = ()
    relative_error: float = 0.0  # largest of its fits, at the held-out size
    wrong_series: tuple[str, ...] = ()  # series whose form is wrong
    extrapolation: float = 1.0  # size of the target / largest size measured

    def map_estimate(self, apply: Callable[[Estimate], Estimate]) -> Figure:
        return Figure(
            apply(self.estimate), self.series, self.relative_error, self.wrong_series, self.extrapolation
        )

    def __mul__(self, other: float | Figure) -> Figure:
        if not isinstance(other, Figure):
            return self.map_estimate(lambda v: v.multiply(other))
        return self._combine(other, self.estimate.multiply(other.estimate))

    def __add__(self, other: float | Figure) -> Figure:
        if not isinstance(other, Figure):
            return self.map_estimate(lambda v: v.add(other))
        return self._combine(other, self.estimate.add(other.estimate))

    def _combine(self, other: Figure, estimate: Estimate) -> Figure:
        series = self.series + tuple(s for s in other.series if s not in self.series)
        wrong_series = self.wrong_series + tuple(s for s in other.wrong_series if s not in self.wrong_series)
        return Figure(
            estimate,
            series,
            max(self.relative_error, other.relative_error),
            wrong_series,
            max(self.extrapolation, other.extrapolation),
        )


def from_target(value: float) -> Figure:
    """A value that follows from the target file alone."""
    return Figure(Estimate(value, value, value))


class NotMeasuredError(LookupError):
    """No run contains this series, or its size is unknown in a target."""


class Costs:
    """The recorded series, fitted on demand and evaluated at the sizes of one target."""

    def __init__(self, recorded: Mapping[str, tuple[Series, Run]], target: Target) -> None:
        self.recorded, self.target = recorded, target
        self.fits: dict[str, Fit] = {}
        size = target.size
        self.sizes = {
            "members": size.proxies,
            "proxies": size.proxies,
            "members of a zone": target.proxies_per_zone,
            "zones": size.zones,
            "connections": -(-size.connections // size.proxies),
            "servers": size.servers,
            "shards": max(1, size.shards),
        }

    def fit(self, name: str) -> Fit:
        if name not in self.fits:
            if name not in self.recorded:
                raise NotMeasuredError(name)
            series = self.recorded[name][0]
            self.fits[name] = fit(series.form, series.samples)
        return self.fits[name]

    def __call__(self, name: str) -> Figure:
        """The cost of a series at the size of the target; raises NotMeasuredError."""
        fitted = self.fit(name)
        x = self.sizes.get(self.recorded[name][0].x)
        if x is None:
            raise NotMeasuredError(name)
        wrong_series = (name,) if fitted.is_wrong else ()
        return Figure(
            fitted.line(x), (name,), fitted.relative_error, wrong_series, max(1.0, x / fitted.largest_size)
        )


ComputeCost = Callable[[Costs], Figure]
Limit = Callable[[Target], float]


@dataclass(frozen=True)
class Row:
    role: str
    event: str
    cost: str
    unit: str
    compute: ComputeCost
    carried_by: str  # module: mechanism; or what is missing
    limit: Limit | None = None


def _cost(name: str) -> ComputeCost:
    return lambda c: c(name)


def _bytes_limit(t: Target) -> float:
    return t.limits.bytes_per_s


def _core_limit(t: Target) -> float:
    return t.limits.core_percent


def _memory_limit(t: Target) -> float:
    return t.limits.memory_mb * 1e6


def _whole_core(t: Target) -> float:
    return 100.0


def _limit_of(name: str) -> Limit:
    return lambda t: float(getattr(t.limits, name))


def _restart_minute(c: Costs) -> Figure:
    """A minute with its share of the day's restarts, at least one, for a member that does not restart."""
    at_rest, during_starts = c("fleet.rest.worst"), c("fleet.start.others")
    count = max(1.0, c.target.events.restarts_a_day * c.target.limits.span_s / DAY)
    increase = Estimate(
        *(max(0.0, o - r) * count for o, r in zip(_bounds(during_starts.estimate), _bounds(at_rest.estimate)))
    )
    return at_rest + during_starts.map_estimate(lambda _: increase)


def _bounds(estimate: Estimate) -> tuple[float, float, float]:
    return estimate.value, estimate.low, estimate.high


def _missing_share(c: Costs) -> Figure:
    """Percent of its share that a starting proxy lacks while members of its zone that failed silently on that
    day are not yet forgotten: by the share rule, times the measured fraction of it."""
    proxies, measured_share = c.target.proxies_per_zone, c("fleet.dead.share")
    unconfirmed = min(proxies - 1, -(-c.target.events.silent_a_day // c.target.size.zones))
    rule_share = proxies / proxy_count(proxies, proxies, 0, unconfirmed)
    return measured_share.map_estimate(
        lambda v: Estimate(
            *(max(0.0, 100 * (1 - rule_share * measured)) for measured in (v.value, v.high, v.low))
        )
    )


def _servers_per_zone(c: Costs) -> int:
    return -(-c.target.size.servers // c.target.size.zones)


def _moved_shard_bytes(c: Costs) -> Figure:
    """Six bytes per shard of a zone: its number and its new server."""
    return from_target(6 * c.target.size.shards / c.target.size.zones)


CONTROL, DATA_PATH, VOTER, OPERATORS, LABORATORY = (
    "proxy, control",
    "proxy, data path",
    "control machines",
    "operators",
    "laboratory",
)
OUTSIDE, SHARDS = "discovery and servers", "shards"
REST, START, RESTARTS, SILENT = "at rest", "a start", "restarts of a day", "silent failures of a day"
RACK, ZONE, REGION_CUT, HEALED = "a rack", "a zone", "a region cut for a minute", "its heal"
CHANGE, DRAIN, HALT, STATE = "a change in force everywhere", "a drain of a zone's servers", "a halt", "state"
MEAN, PEAK = "bytes, mean of a minute, worst member", "bytes, worst second"
PROBE = "membership/failure_detector.py: one probe an interval; bridges.py"
SYNC = "membership/state_sync.py: the buckets that differ; traffic_budget.py"
BRIDGE = "membership/bridges.py; zones.py: heartbeats, summaries"
SWIM = "membership/failure_detector.py, suspicion.py, gossip.py"
REPORT = "rollouts/status_board.py: a report to each voter a second"
NO_SHARDS = "missing: nothing in the program knows a shard"
NO_PROPAGATION = (
    "missing: a release soaks wave by wave (rollouts/controller.py); nothing brings one everywhere at once"
)


def _event_rows(event: str, name: str, carried_by: str) -> list[Row]:
    """Mean bytes, peak bytes and processor time of an event."""
    return [
        Row(CONTROL, event, MEAN, "B/s", _cost(f"{name}.bytes"), carried_by, _bytes_limit),
        Row(CONTROL, event, PEAK, "B", _cost(f"{name}.peak"), carried_by),
        Row(CONTROL, event, "processor, worst member", "%", _cost(f"{name}.cpu"), carried_by, _core_limit),
    ]


ROWS: list[Row] = [
    Row(CONTROL, STATE, "names in the view", "", lambda c: from_target(c.target.proxies_per_zone),
        "membership/members.py: MEMBERS_MAX", lambda t: float(MEMBERS_MAX)),
    Row(CONTROL, STATE, "memory of the view", "B", _cost("fleet.view.memory"),
        "membership/members.py: records",
        _memory_limit),
    Row(CONTROL, STATE, "the zone's records on the wire", "B", _cost("fleet.sync.bytes"), SYNC,
        lambda t: t.limits.bytes_per_s * t.limits.span_s),
    Row(CONTROL, STATE, "the zone's records taken in, processor", "ms", _cost("fleet.sync.cpu"),
        "membership/state_sync.py: MERGE_BATCH",
        lambda t: t.limits.core_percent / 100 * t.limits.span_s * 1000),
    Row(CONTROL, STATE, "longest event of that", "ms", _cost("fleet.sync.longest"),
        "missing: a frame is decoded in one go (membership/codec.py)", _limit_of("hold_up_ms")),
    Row(CONTROL, REST, "messages of the view", "1/s", _cost("fleet.rest.messages"), PROBE),
    Row(CONTROL, REST, "bytes of the view", "B/s", _cost("fleet.rest.bytes"), PROBE, _bytes_limit),
    Row(CONTROL, REST, "bytes of the view, worst member", "B/s", _cost("fleet.rest.worst"), PROBE,
        _bytes_limit),
    Row(CONTROL, REST, "bytes of reports", "B/s", _cost("agree.proxy.bytes"), REPORT, _bytes_limit),
    Row(CONTROL, REST, "bytes together", "B/s", lambda c: c("fleet.rest.bytes") + c("agree.proxy.bytes"),
        "both", _bytes_limit),
    Row(CONTROL, REST, "processor together", "%", lambda c: c("fleet.rest.cpu") + c("agree.proxy.cpu"),
        "both", _core_limit),
    Row(CONTROL, START, "bytes, mean of a minute, who starts", "B/s", _cost("fleet.start.bytes"), SYNC,
        _bytes_limit),
    Row(CONTROL, START, "bytes, worst second, who starts", "B", _cost("fleet.start.peak"), SYNC),
    Row(CONTROL, START, "processor, mean of a minute, who starts", "%", _cost("fleet.start.cpu"), SYNC,
        _core_limit),
    Row(CONTROL, START, "longest event, who starts", "ms", _cost("fleet.start.longest"), SYNC,
        _limit_of("hold_up_ms")),
    Row(CONTROL, START, "until it has its whole share", "s", _cost("fleet.start.met"),
        "membership/failure_detector.py: greets; evidence.py", _limit_of("whole_share_s")),
    Row(CONTROL, RESTARTS, "bytes, a minute with a restart, worst of the others", "B/s", _restart_minute,
        "membership/gossip.py", _bytes_limit),
    Row(CONTROL, SILENT, "until all know of one", "s", _cost("fleet.dead.known"), SWIM,
        _limit_of("death_known_s")),
    *_event_rows(SILENT, "fleet.dead", SWIM),
    Row(CONTROL, SILENT, "lacking of its share, who starts after them", "%", _missing_share,
        "membership/proxy_share.py: who is unconfirmed is paid for", lambda t: 5.0),
    Row(CONTROL, RACK, "until all know", "s", _cost("fleet.twelfth.known"), SWIM),
    *_event_rows(RACK, "fleet.twelfth", SWIM),
    Row(CONTROL, ZONE, "until another zone knows", "s", _cost("fleet.zone.known"),
        "membership/zones.py: heartbeats, silent after 6 s", _limit_of("zone_known_s")),
    *_event_rows(ZONE, "fleet.zone", BRIDGE),
    *_event_rows(REGION_CUT, "fleet.region", BRIDGE),
    Row(CONTROL, HEALED, "until all agree, with a cordon from either side", "s", _cost("fleet.healed.agreed"),
        "membership/zones.py: contacts; bridges.py", _limit_of("healed_s")),
    *_event_rows(HEALED, "fleet.healed", BRIDGE),
    Row(CONTROL, CHANGE, "bytes of plans, all changes of a day", "B/s",
        lambda c: c("agree.plan.bytes") * (c.target.events.changes_a_day / DAY),
        "rollouts/release_plan.py: a plan names all", _bytes_limit),
    Row(CONTROL, CHANGE, "until it is in force everywhere", "s", _cost("agree.change.inforce"),
        NO_PROPAGATION, lambda t: t.events.in_force_s),
    Row(CONTROL, DRAIN, "cordons held", "", lambda c: from_target(_servers_per_zone(c)),
        "membership/cordons.py: CORDONS_MAX", lambda t: float(CORDONS_MAX)),
    Row(CONTROL, DRAIN, "bytes told to each", "B",
        lambda c: c("agree.told.bytes") * (_servers_per_zone(c) / c.target.size.proxies),
        "rollouts/controller.py: as the budgets allow, an entry each"),
    Row(CONTROL, HALT, "until all know, as a cordon", "s", _cost("fleet.cordon.known"),
        "membership/cordon_replication.py; dissemination.py: pushes; bridges.py", _limit_of("cordon_s")),
    Row(CONTROL, HALT, "bytes, mean of 10 s, worst member", "B/s", _cost("fleet.cordon.bytes"),
        "membership/gossip.py",
        _bytes_limit),
    Row(VOTER, STATE, "replicated state, one release planned", "B", _cost("agree.state.bytes"),
        "rollouts/replicated_state.py; one frame of a stream", lambda t: float(STREAM_MAX)),
    Row(VOTER, REST, "bytes to the leader", "B/s", _cost("agree.leader.bytes"), REPORT),
    Row(VOTER, REST, "bytes to another voter", "B/s", _cost("agree.voter.bytes"), REPORT),
    Row(VOTER, REST, "processor of the leader", "%", _cost("agree.leader.cpu"), REPORT, _whole_core),
    Row(VOTER, HEALED, "states sent to a region that starts anew", "B",
        lambda c: c("agree.state.bytes") * (c.target.size.proxies / c.target.size.regions),
        "rollouts/agent.py: LogCatchUp, whole"),
    Row(VOTER, CHANGE, "until an entry is told to all", "s", _cost("agree.told.known"),
        "rollouts/agent.py: LogCatchUp",
        lambda t: t.events.in_force_s),
    Row(VOTER, CHANGE, "bytes of the leader, a small entry", "B", _cost("agree.told.bytes"),
        "rollouts/agent.py: LogCatchUp"),
    Row(VOTER, CHANGE, "processor of the leader, a small entry and 5 s of reports", "ms",
        _cost("agree.told.cpu"),
        "rollouts/agent.py: LogCatchUp"),
    Row(VOTER, CHANGE, "bytes of the leader, a plan", "B",
        lambda c: c("agree.plan.bytes") * c.target.size.proxies, NO_PROPAGATION),
    Row(VOTER, CHANGE, "bytes of the leader, all plans of a day", "B/s",
        lambda c: c("agree.plan.bytes") * (c.target.size.proxies * c.target.events.changes_a_day / DAY),
        NO_PROPAGATION),
    Row(DATA_PATH, REST, "connections", "", lambda c: from_target(c.sizes["connections"]),
        "net/event_loop.py"),
    Row(DATA_PATH, REST, "descriptors", "", lambda c: from_target(2 * c.sizes["connections"]),
        "net/event_loop.py: two a connection"),
    Row(DATA_PATH, REST, "memory of its connections, idle", "B", _cost("path.memory.idle"),
        "net/event_loop.py, net/forwarding.py"),
    Row(DATA_PATH, REST, "memory of its connections, used", "B", _cost("path.memory.used"),
        "net/event_loop.py, net/forwarding.py"),
    Row(DATA_PATH, REST, "processor of its connections, idle", "%", _cost("path.idle.cpu"),
        "net/event_loop.py", _whole_core),
    Row(DATA_PATH, REST, "processor of a delivery", "us", _cost("path.push.cpu"),
        "net/forwarding.py: Forwarder"),
    Row(DATA_PATH, REST, "processor of a round trip", "us", _cost("path.echo.cpu"),
        "net/forwarding.py: Forwarder"),
    Row(DATA_PATH, REST, "deliveries a second", "1/s",
        lambda c: from_target(c.target.size.deliveries_per_s / c.target.size.proxies),
        "net/forwarding.py: Forwarder"),
    Row(DATA_PATH, REST, "processor of its deliveries, one way", "%",
        lambda c: c("path.push.cpu") * (c.target.size.deliveries_per_s / c.target.size.proxies / 1e4),
        "net/forwarding.py: Forwarder, one core", _whole_core),
    Row(DATA_PATH, REST, "processor if each is answered", "%",
        lambda c: c("path.echo.cpu") * (c.target.size.deliveries_per_s / c.target.size.proxies / 1e4),
        "net/forwarding.py: Forwarder, one core", _whole_core),
    Row(DATA_PATH, REST, "proxies of one core, seven tenths busy, that the deliveries want", "",
        lambda c: c("path.push.cpu") * (c.target.size.deliveries_per_s / 1e6 / TARGET_UTILIZATION),
        "net/forwarding.py: Forwarder, one core",
        lambda t: float(t.size.proxies)),
    Row(DATA_PATH, REST, "cores a proxy, seven tenths busy, one way", "",
        lambda c: c("path.push.cpu") * (c.target.size.deliveries_per_s / c.target.size.proxies / 1e6
        / TARGET_UTILIZATION),
        "missing: one process is one loop on one core", lambda t: 1.0),
    Row(DATA_PATH, REST, "cores a proxy, seven tenths busy, each answered", "",
        lambda c: c("path.echo.cpu") * (c.target.size.deliveries_per_s / c.target.size.proxies / 1e6
        / TARGET_UTILIZATION),
        "missing: one process is one loop on one core", lambda t: 1.0),
    Row(DATA_PATH, REST, "time of a delivery", "ms", _cost("path.delivery.time"), "net/event_loop.py",
        lambda t: t.size.delivery_ms),
    Row(DATA_PATH, START, "processor of an opening", "us", _cost("path.accept.cpu"),
        "request_handling/, balancer/"),
    Row(DATA_PATH, START, "processor until its connections stand", "s",
        lambda c: c("path.accept.cpu") * (c.sizes["connections"] / 1e6), "request_handling/, balancer/"),
    Row(DATA_PATH, ZONE, "processor for a lost zone's clients, each of the others", "s",
        lambda c: c("path.accept.cpu")
        * (c.target.size.connections / c.target.size.zones / max(1,
        c.target.size.proxies - c.target.proxies_per_zone) / 1e6),
        "request_handling/, balancer/"),
    Row(OUTSIDE, REST, "calls at discovery", "1/s", _cost("discovery.rest.calls"),
        "protocols/discovery.py: one watch"),
    Row(OUTSIDE, REST, "bytes of discovery", "B/s", _cost("discovery.rest.bytes"),
        "protocols/discovery.py: one watch"),
    Row(OUTSIDE, REST, "set-ups at servers without clients", "1/s", _cost("servers.rest.setups"),
        "balancer/health_checks.py: none"),
    Row(OUTSIDE, START, "bytes of a list", "B",
        lambda c: c("discovery.start.bytes") * (c.target.size.servers / DISCOVERY_LIST_SIZE
        / c.target.size.proxies),
        "protocols/discovery.py: the whole list"),
    Row(OUTSIDE, HEALED, "bytes of lists, a region starts anew", "B",
        lambda c: c("discovery.start.bytes") * (c.target.size.servers / DISCOVERY_LIST_SIZE
        / c.target.size.regions),
        "protocols/discovery.py: the whole list, 2.5 s apart"),
    Row(OPERATORS, REST, "`fleet`: bytes", "B", _cost("ops.fleet.bytes"), "membership/report.py"),
    Row(OPERATORS, REST, "`fleet`: processor of the proxy", "ms", _cost("ops.fleet.loop"),
        "membership/report.py"),
    Row(OPERATORS, REST, "`fleet`: processor of the table", "ms", _cost("ops.fleet.print"), "cli/fleet.py"),
    Row(OPERATORS, REST, "`members`: bytes", "B", _cost("ops.members.bytes"), "net/control.py"),
    Row(OPERATORS, REST, "`members`: processor of the proxy", "ms", _cost("ops.members.loop"),
        "net/control.py"),
    Row(OPERATORS, REST, "`members`: processor of the command", "ms", _cost("ops.members.print"),
        "cli/operators.py"),
    Row(OPERATORS, CHANGE, "`release status`: bytes", "B", _cost("ops.status.bytes"),
        "rollouts/status_rows.py"),
    Row(OPERATORS, CHANGE, "`release status`: processor of the proxy", "ms", _cost("ops.status.loop"),
        "rollouts/status_rows.py"),
    Row(LABORATORY, REST, "processor for a second of the virtual clock", "s", _cost("lab.virtual.cpu"),
        "lab/simulated_cluster.py: one queue"),
    Row(SHARDS, STATE, "a table of objects", "B", _cost("shards.objects.bytes"), NO_SHARDS, _memory_limit),
    Row(SHARDS, STATE, "packed, 14 bytes each", "B", _cost("shards.packed.bytes"), NO_SHARDS, _memory_limit),
    Row(SHARDS, STATE, "computed, one in a hundred an exception", "B", _cost("shards.exceptions.bytes"),
        NO_SHARDS, _memory_limit),
    Row(SHARDS, START, "the packed table, at the bytes of control", "s",
        lambda c: c("shards.packed.bytes") * (1 / c.target.limits.bytes_per_s), NO_SHARDS),
    Row(SHARDS, START, "the exceptions, at the bytes of control", "s",
        lambda c: c("shards.exceptions.bytes") * (1 / c.target.limits.bytes_per_s), NO_SHARDS),
    Row(SHARDS, ZONE, "its shards told anew, at the bytes of control", "s",
        lambda c: _moved_shard_bytes(c) * (1 / c.target.limits.bytes_per_s), NO_SHARDS),
    Row(SHARDS, REST, "a lookup, objects", "us", _cost("shards.objects.cpu"), NO_SHARDS),
    Row(SHARDS, REST, "a lookup, packed", "us", _cost("shards.packed.cpu"), NO_SHARDS),
    Row(SHARDS, REST, "a lookup, rendezvous", "us", _cost("shards.rendezvous.cpu"), NO_SHARDS),
    Row(SHARDS, REST, "a lookup, jump", "us", _cost("shards.jump.cpu"), NO_SHARDS),
    Row(SHARDS, REST, "a lookup, bounded loads", "us", _cost("shards.bounded.cpu"), NO_SHARDS),
]  # fmt: skip

EVENTS = (STATE, REST, START, RESTARTS, SILENT, RACK, ZONE, REGION_CUT, HEALED, CHANGE, DRAIN, HALT)


@dataclass(frozen=True)
class CostLine:
    row: Row
    figure: Figure | None  # None: not measured
    limit: float | None

    @property
    def is_over_limit(self) -> bool:
        return self.figure is not None and self.limit is not None and self.figure.estimate.value > self.limit

    @property
    def headroom(self) -> float | None:
        """The fraction of the limit that is left; negative above the limit."""
        if self.figure is None or self.limit is None:
            return None
        return 1 - self.figure.estimate.value / self.limit


def evaluate(costs: Costs) -> list[CostLine]:
    lines = []
    for row in ROWS:
        try:
            figure: Figure | None = row.compute(costs)
        except NotMeasuredError:
            figure = None
        lines.append(CostLine(row, figure, row.limit(costs.target) if row.limit is not None else None))
    return lines


# --- output -----------------------------------------------------------------------------------------------


def format_number(value: float) -> str:
    """Three significant digits."""
    if not math.isfinite(value):
        return str(value)
    if value == 0:
        return "0"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    rounded = round(value, 2 - math.floor(math.log10(abs(value))))
    return f"{rounded:,.{digits}f}".rstrip("0").rstrip(".") if digits else f"{rounded:,.0f}"


def _scale_unit(value: float, unit: str) -> tuple[float, str]:
    if unit in ("B", "B/s"):
        for step, name in ((1e9, "G"), (1e6, "M"), (1e3, "k")):
            if value >= step:
                return step, f" {name}{unit}"
    return 1.0, f" {unit}" if unit else ""


def _format_count(value: float) -> str:
    """Whole numbers in full, others with three significant digits."""
    return f"{value:,.0f}" if value == round(value) else format_number(value)


def format_estimate(estimate: Estimate, unit: str) -> str:
    if not unit and estimate.low == estimate.high:
        return _format_count(estimate.value)
    step, name = _scale_unit(estimate.value, unit)
    if format_number(estimate.low) == format_number(estimate.high):
        return f"{format_number(estimate.value / step)}{name}"
    return (
        f"{format_number(estimate.value / step)} "
        f"({format_number(estimate.low / step)} to {format_number(estimate.high / step)}){name}"
    )


def _format_limit(line: CostLine) -> str:
    if line.limit is None:
        return ""
    if not line.row.unit:
        return _format_count(line.limit)
    step, name = _scale_unit(line.limit, line.row.unit)
    return f"{format_number(line.limit / step)}{name}"


def _format_headroom(line: CostLine) -> str:
    headroom = line.headroom
    if headroom is None or line.figure is None or line.limit is None:
        return ""
    if headroom < 0:
        times = line.figure.estimate.value / line.limit
        return f"**over, {format_number(times)} times**" if times >= 2 else f"**over by {-headroom:.0%}**"
    perhaps = ", perhaps over" if line.figure.estimate.high > line.limit else ""
    return f"{headroom:.0%} left{perhaps}"


def _format_fit(figure: Figure | None) -> str:
    if figure is None:
        return ""
    if not figure.series:
        return "as told"
    verdict = (
        f"form wrong: missed by {figure.relative_error:.0%}"
        if figure.wrong_series
        else f"held: {figure.relative_error:.0%}"
    )
    return (
        f"{verdict}; {format_number(figure.extrapolation)} times beyond"
        if figure.extrapolation > 1.005
        else verdict
    )


HEADERS = ("event", "cost", "at this size (95%)", "limit", "room", "largest size held out", "carried by")


def _cells(line: CostLine) -> list[str]:
    row, figure = line.row, line.figure
    value = "not measured" if figure is None else format_estimate(figure.estimate, row.unit)
    return [
        row.event,
        row.cost,
        value,
        _format_limit(line),
        _format_headroom(line),
        _format_fit(figure),
        row.carried_by,
    ]


def _by_role(lines: list[CostLine]) -> list[tuple[str, list[CostLine]]]:
    roles = list(dict.fromkeys(line.row.role for line in lines))
    return [(role, [line for line in lines if line.row.role == role]) for role in roles]


def slope_rows(costs: Costs) -> list[list[str]]:
    rows = []
    for name, (series, run) in sorted(costs.recorded.items()):
        fitted = costs.fit(name)
        low, high = fitted.line.slope_interval
        slope = (
            ""
            if series.form == "constant"
            else f"{format_number(fitted.line.slope)} ({format_number(low)} to {format_number(high)})"
        )
        verdict = (
            f"**wrong**, {fitted.relative_error:.0%}" if fitted.is_wrong else f"{fitted.relative_error:.0%}"
        )
        smallest_size = min(x for x, _ in series.samples)
        span = f"{format_number(smallest_size)} to {format_number(fitted.largest_size)} {series.x}"
        base = format_number(fitted.line.intercept)
        rows.append([name, series.unit, series.form, base, slope, span, verdict, series.how, run.version])
    return rows


SLOPE_HEADERS = (
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


def summary(lines: list[CostLine]) -> str:
    over_limit = [line for line in lines if line.is_over_limit]
    wrong = sorted({name for line in lines if line.figure for name in line.figure.wrong_series})
    unmeasured = sum(line.figure is None for line in lines)
    return (
        f"{len(lines)} costs: {len(over_limit)} over their limits, {unmeasured} not measured; "
        f"{len(wrong)} series whose form is wrong{': ' + ', '.join(wrong) if wrong else ''}."
    )


def render_text(costs: Costs) -> str:
    """Renders the table for a terminal."""
    lines = evaluate(costs)
    parts = [f"{role}\n{tabulate([_cells(n) for n in rows], headers=HEADERS, disable_numparse=True)}"
             for role, rows in _by_role(lines)]  # fmt: skip
    return "\n\n".join([*parts, summary(lines)]).replace("**", "")


def _over_limit_line(line: CostLine) -> str:
    assert line.figure is not None
    value = format_estimate(line.figure.estimate, line.row.unit)
    doubt = "; its form is wrong" if line.figure.wrong_series else ""
    return (
        f"- {line.row.role}, {line.row.event}, {line.row.cost}: {value}, limit {_format_limit(line)}{doubt}. "
        f"{'' if line.row.carried_by.startswith(MISSING) else 'Carried by '}{line.row.carried_by}."
    )


def render_page(costs: Costs) -> str:
    """Renders the table in Markdown, to go between the markers of a page."""
    lines = evaluate(costs)
    over_limit = [_over_limit_line(line) for line in lines if line.is_over_limit]
    parts = [summary(lines), "Over their limits:\n\n" + ("\n".join(over_limit) or "- nothing")]
    for role, rows in _by_role(lines):
        table = tabulate([_cells(n) for n in rows], headers=HEADERS, disable_numparse=True, tablefmt="github")
        parts.append(f"### {role[0].upper()}{role[1:]}\n\n{_compact(table)}")
    table = tabulate(slope_rows(costs), headers=SLOPE_HEADERS, disable_numparse=True, tablefmt="github")
    return "\n\n".join([*parts, f"### Slopes\n\n{_compact(table)}"])


def _compact(table: str) -> str:
    """Removes the padding of the columns, to keep the lines of a page short."""
    rows = [[cell.strip() for cell in line.strip("|").split("|")] for line in table.splitlines()]
    rows[1] = ["---"] * len(rows[0])
    return "\n".join(f"| {' | '.join(row)} |" for row in rows)


def to_document(costs: Costs) -> dict[str, Any]:
    """Returns the table as a document that can be written as JSON."""
    rows = []
    for line in evaluate(costs):
        figure = line.figure
        rows.append(
            {"role": line.row.role, "event": line.row.event, "cost": line.row.cost, "unit": line.row.unit,
             "measured": figure is not None, "limit": line.limit, "room": line.headroom,
             "over": line.is_over_limit, "carried_by": line.row.carried_by,
             "missing": line.row.carried_by.startswith(MISSING)}
            | ({} if figure is None else {
                "at": figure.estimate.value, "low": figure.estimate.low, "high": figure.estimate.high,
                "series": list(figure.series), "wrong": list(figure.wrong_series),
                "missed": figure.relative_error, "beyond": figure.extrapolation})
        )  # fmt: skip
    return {"rows": rows, "slopes": [dict(zip(SLOPE_HEADERS, row)) for row in slope_rows(costs)]}


def replace_table(old: str, new: str) -> str:
    """Replaces the table between the markers of a page; raises ValueError unless each marker occurs once."""
    if old.count(BEGIN) != 1 or old.count(END) != 1 or old.index(BEGIN) > old.index(END):
        raise ValueError(f"the page must contain {BEGIN} and, after it, {END}, each exactly once")
    before, rest = old.split(BEGIN)
    return f"{before}{BEGIN}\n{new}\n{END}{rest.split(END)[1]}"
