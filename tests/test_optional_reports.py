"""Deployments that do not report loads, latencies, quotas or retries.

Without the reports that a rule depends on, placement must not be worse than by the weighted order alone.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

import pytest
from helpers import (
    SECOND,
    START,
    Clock,
    arrival,
    attempt_ended,
    attempts,
    make_balancer,
    make_endpoints,
    settings,
    snapshot,
)
from network import ProxyNetwork

from arrowseam.balancer import Balancer
from arrowseam.balancer.actions import Action, Fail, Migrate, Reject, SetTimer, StartAttempt, StartHealthCheck
from arrowseam.balancer.events import (
    AttemptEnded,
    ConnectionAdopted,
    ConnectionEstablished,
    EndpointState,
    EndpointUpdate,
    Event,
    HealthCheckEnded,
    LatencyReported,
    LoadReported,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from arrowseam.balancer.settings import Limits, Prices, RequestClass

CLASSES = (
    RequestClass(
        latency_objective=300_000, deadline=2 * SECOND, message_latency_objective=100_000, priority_weight=5.0
    ),
    RequestClass(
        latency_objective=300_000, deadline=2 * SECOND, message_latency_objective=100_000, priority_weight=1.0
    ),
)


def adopt_connections(clock: Clock, endpoint_count: Iterable[int], endpoint: int, **fields: float) -> None:
    for n in endpoint_count:
        class_index = n % len(clock.balancer.settings.classes)
        clock.step(ConnectionAdopted(arrival(n, class_index=class_index, **fields), endpoint))


def report_slow_messages(clock: Clock) -> list[Action]:
    actions: list[Action] = []
    for server in clock.balancer.endpoints.by_id.values():
        actions += clock.step(LatencyReported(next(iter(server.established)), 0, server.endpoint_id, 300.0))
    return actions


def test_connections_of_unknown_load_count_as_one_each() -> None:
    """Connections of unknown load counted as no load, so the proxy kept filling full endpoints."""
    clock = Clock(make_balancer(make_endpoints(2)))
    adopt_connections(clock, range(40), 100)
    sent = [s.endpoint_id for n in range(100, 130) for s in attempts(clock.step(arrival(n)))]
    assert sent.count(101) >= 24


@pytest.mark.parametrize("load", [0.0, 30.0])
def test_load_is_shed_in_a_surge_whether_loads_are_reported_or_not(load: float) -> None:
    """In an overload without load reports, the proxy did not see that nearly all endpoints were slow.

    Each slow message migrated a fifth of the connections to another endpoint that was just as slow.
    """
    clock = Clock(make_balancer(make_endpoints(4), classes=CLASSES))
    for endpoint in range(100, 104):
        adopt_connections(clock, range(endpoint * 100, endpoint * 100 + 25), endpoint, expected_load=load)
    migrated = [a for a in report_slow_messages(clock) if isinstance(a, Migrate)]
    assert clock.balancer.shedder.limit == pytest.approx(85.0 * (load or 1.0))
    assert 15 <= len(migrated) <= 30  # a fifth of the first two, then a reduction over all
    assert sum(
        clock.balancer.requests.by_id[m.request_id].request_class.priority_weight == 1.0 for m in migrated
    ) >= 0.8 * len(migrated)


@pytest.mark.parametrize(
    ("remaining", "class_index", "load", "is_admitted"),
    [
        pytest.param(70, 0, 1.0, True, id="highest priority weight for its load: up to the limit"),
        pytest.param(70, 1, 1.0, False, id="a fifth of that: not close to the limit"),
        pytest.param(40, 1, 1.0, True, id="further below the limit: admitted"),
        pytest.param(70, 0, 9.0, False, id="first class with high load: not close to the limit"),
    ],
)
def test_the_load_limit_admits_by_priority_weight_for_the_load(
    remaining: int, class_index: int, load: float, is_admitted: bool
) -> None:
    """If requests were admitted in order of arrival while load is shed, connections of high load and low
    priority weight would take the capacity. They are admitted only up to a lower limit.
    """
    clock = Clock(make_balancer(make_endpoints(4), classes=CLASSES))
    for endpoint in range(100, 104):
        adopt_connections(clock, range(endpoint * 100, endpoint * 100 + 25), endpoint, expected_load=1.0)
    report_slow_messages(clock)
    limit = clock.balancer.shedder.limit
    for n in sorted(clock.balancer.requests.by_id)[remaining:]:
        clock.step(AttemptEnded(n, 0, n // 100, Outcome.MIGRATED, is_final=True))
    for server in clock.balancer.endpoints.by_id.values():
        server.overloaded_at, server.failure_score = -(1 << 62), 0.0
    clock.step(after=1)
    assert clock.balancer.shedder.limit < 1.1 * limit
    assert clock.balancer.requests.load == remaining
    assert bool(attempts(clock.step(arrival(1, class_index=class_index, expected_load=load)))) is is_admitted


def test_attempts_since_a_report_are_added_to_it() -> None:
    """With five servers, the one with capacity by its last report got all clients that a release migrated."""
    limits = Limits(max_attempts=3, connect_timeout=100_000, health_checks_allowed=True)
    options = {
        "limits": limits,
        "report_fields": ("inflight", "x0"),
        "prices": Prices(health_check=0.002),
    }
    clock = Clock(make_balancer(make_endpoints(2), proxy_count=2, **options))
    checked = [p.endpoint_id for p in clock.step(arrival(1)) if isinstance(p, StartHealthCheck)]
    assert sorted(checked) == [100, 101]
    reports = {100: (4.0, 0.1), 101: (20.0, 0.8)}
    clock.step(*(HealthCheckEnded(n, Outcome.OK, 1_000, reports[n]) for n in checked))
    sent = [s.endpoint_id for n in range(100, 140) for s in attempts(clock.step(arrival(n)))]
    # Each takes about a thirtieth, and the other proxy sends as many: ten fill the endpoint, not forty.
    assert 8 <= sent.count(100) <= 30
    assert len(sent) == 40


@pytest.mark.parametrize(
    ("reports_latency", "load", "migrates"), [(False, 1.2, True), (False, 0.9, False), (True, 1.2, False)]
)
def test_a_report_of_overload_migrates_connections_without_latency_reports(
    reports_latency: bool, load: float, migrates: bool
) -> None:
    """Where slow messages are not reported, only a load report above capacity shows an overload."""
    limits = Limits(max_attempts=3, connect_timeout=100_000, health_checks_allowed=True)
    clock = Clock(
        make_balancer(
            make_endpoints(2), limits=limits, report_fields=("x0",), reports_latency=reports_latency
        )
    )
    adopt_connections(clock, range(10, 50), 100)
    adopt_connections(clock, range(50, 100), 101)
    clock.step(arrival(1))
    actions = clock.step(HealthCheckEnded(100, Outcome.OK, 1_000, (load,)))
    migrated = [a for a in actions if isinstance(a, Migrate)]
    assert bool(migrated) is migrates
    assert len(migrated) <= 9


@pytest.mark.parametrize("reports_latency", [False, True])
def test_connections_leave_a_draining_endpoint_with_and_without_latency_reports(
    reports_latency: bool,
) -> None:
    """A draining endpoint stops after a while and disconnects the remaining clients. The connections must be
    migrated before, also where slow messages are not reported.
    """
    clock = Clock(make_balancer(make_endpoints(3), reports_latency=reports_latency))
    adopt_connections(clock, range(10, 30), 100)
    draining = replace(make_endpoints(1)[0], state=EndpointState.DRAINING)
    clock.step(EndpointUpdate(UpdateKind.DELTA, 2, (draining,)))
    migrated = {a.request_id for _ in range(20) for a in clock.step(after=SECOND) if isinstance(a, Migrate)}
    assert migrated == set(range(10, 30))


@pytest.mark.parametrize(
    ("family_info", "reports_load", "reports_latency"),
    [
        pytest.param({}, True, False, id="not stated"),
        pytest.param({"tells_load": True, "tells_delay": True}, True, False, id="one message for both"),
        pytest.param({"tells_load": False, "tells_delay": True}, False, True, id="latency only"),
        pytest.param({"tells_load": False, "tells_delay": False}, False, False, id="neither"),
    ],
)
def test_load_messages_of_servers_are_read_according_to_the_settings(
    family_info: dict[str, bool], reports_load: bool, reports_latency: bool
) -> None:
    """Servers that report no loads sent LOAD 22.4 each second while messages were slow: a latency in
    milliseconds. Read as loads, these distorted every mean."""
    world = ProxyNetwork("lines", "up", family_info=family_info)
    try:
        balancer_settings = world.config.settings
        assert (balancer_settings.reports_load, balancer_settings.reports_latency) == (
            reports_load,
            reports_latency,
        )
        driver = world.driver
        driver.settings = balancer_settings
        received: list[Event] = []
        notify = driver._notify
        driver._notify = lambda *events: (received.extend(events), notify(*events))[1]
        world.up()
        world.servers[0].send_to_all(b"LOAD 125.5\r\n")
        world.run(0.1)
        reports = [e for e in received if isinstance(e, (LoadReported, LatencyReported))]
        assert [isinstance(n, LoadReported) for n in reports] == [True] * reports_load + [
            False
        ] * reports_latency
        # With a NATS listener as well, the balancer must not depend on latency reports.
        assert not world.proxy.config.settings.reports_latency
    finally:
        world.close()


# --- compared with a plain weighted draw, many balancers on one clock ---------------------------------------


class PlainBalancer:
    """A reference balancer: each attempt is a uniform draw, and a request is rejected after three."""

    def __init__(self, endpoint_count: int, seed: int) -> None:
        self.rng, self.endpoint_count, self.attempts = random.Random(seed), endpoint_count, {}

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        actions: list[Action] = []
        for event in events:
            failed = isinstance(event, AttemptEnded) and not event.is_final
            if isinstance(event, RequestArrived) or failed:
                attempt_number = self.attempts[event.request_id] = self.attempts.get(event.request_id, 0) + 1
                if attempt_number > 3:
                    actions.append(Reject(event.request_id))
                else:
                    actions.append(
                        StartAttempt(event.request_id, 100 + self.rng.randrange(self.endpoint_count))
                    )
        return actions


@dataclass
class HeldConnection:
    proxy: int
    endpoint_id: int
    load: float
    ends: int
    up: bool = True


class ServerSimulation:
    """Servers with connections whose load is not reported. Above 0.9 of a server's capacity its messages are
    slow, above 1.0 none is served in time, above 1.3 it drops the connections of the highest load. Clients
    that are rejected, dropped or migrated return after half a second, not marked as retries."""

    def __init__(
        self, proxies: list[Balancer] | list[PlainBalancer], seed: int, servers: int, demand: float
    ) -> None:
        self.proxies, self.rng, self.now = proxies, random.Random(seed), START
        self.capacity = 40.0
        self.servers = range(100, 100 + servers)
        self.connections: dict[int, HeldConnection] = {}
        self.request_loads: dict[int, tuple[float, int]] = {}  # load and end time, by request
        self.timers: list[tuple[int, int, int]] = []
        self.pending: list[tuple[int, float, int]] = []
        self.count, self.served, self.demand = 0, 0.0, 0.0
        self.target_load = demand * self.capacity * servers
        for n in range(len(proxies)):
            self.handle_events(n, snapshot(make_endpoints(servers)))
        while sum(load for _, load, _ in self.pending) < self.target_load:
            self.arrive(START + int(self.rng.random() * SECOND))

    def arrive(self, at: int) -> None:
        load, duration = self.rng.lognormvariate(0.0, 1.0), int(self.rng.expovariate(1 / 45) * SECOND)
        heapq.heappush(self.pending, (at, load, at + duration))

    def load(self, endpoint: int) -> float:
        return sum(h.load for h in self.connections.values() if h.endpoint_id == endpoint)

    def handle_events(self, n: int, *events: Event) -> None:
        for action in self.proxies[n].handle(self.now, list(events)):
            match action:
                case SetTimer(delay, token):
                    heapq.heappush(self.timers, (self.now + max(1, delay), n, token))
                case StartAttempt(request, endpoint, _):
                    load, ends = self.request_loads[request]
                    if self.load(endpoint) > 1.3 * self.capacity:
                        self.handle_events(n, attempt_ended(action, Outcome.REJECTED))
                    else:
                        self.connections[request] = HeldConnection(n, endpoint, load, ends)
                        self.handle_events(n, ConnectionEstablished(request, 0, endpoint, 10_000))
                case Reject(request) | Fail(request):
                    load, ends = self.request_loads[request]
                    heapq.heappush(self.pending, (self.now + SECOND // 2, load, ends))
                case Migrate(request) if request in self.connections:
                    self.end_connection(request, Outcome.MIGRATED)

    def end_connection(self, request: int, outcome: Outcome) -> None:
        connection = self.connections.pop(request)
        if connection.ends > self.now:
            heapq.heappush(self.pending, (self.now + SECOND // 2, connection.load, connection.ends))
        self.handle_events(
            connection.proxy, AttemptEnded(request, 0, connection.endpoint_id, outcome, 0, True)
        )

    def run_second(self) -> None:
        end = self.now + SECOND
        for _ in range(round(self.target_load / 1.65 / 45)):  # 1.65 is the mean load, 45 s the mean duration
            self.arrive(self.now + int(self.rng.random() * SECOND))
        while min(self.timers[:1] + self.pending[:1], default=(end,))[0] < end:
            if self.timers and (not self.pending or self.timers[0][0] <= self.pending[0][0]):
                at, n, token = heapq.heappop(self.timers)
                self.now = max(self.now, at)
                self.handle_events(n, TimerFired(token))
                continue
            at, load, ends = heapq.heappop(self.pending)
            self.now = max(self.now, at)
            if ends > self.now:
                self.count += 1
                self.request_loads[self.count] = (load, ends)
                self.handle_events(self.rng.randrange(len(self.proxies)), arrival(self.count))
        self.now = end
        for request in [r for r, h in self.connections.items() if h.ends <= self.now]:
            self.end_connection(request, Outcome.OK)
        for endpoint in self.servers:
            here = {r: h for r, h in self.connections.items() if h.endpoint_id == endpoint}
            load = sum(h.load for h in here.values())
            self.served += load if load <= self.capacity else 0.0
            for request in sorted(here, key=lambda r: -here[r].load):
                if load <= 1.3 * self.capacity:
                    break
                load -= here[request].load
                self.end_connection(request, Outcome.RESET)
            if load > 0.9 * self.capacity:
                reporters = {h.proxy: r for r, h in here.items() if r in self.connections}
                for n, request in reporters.items():
                    self.handle_events(n, LatencyReported(request, 0, endpoint, 90.0))
        self.demand += self.target_load


@pytest.mark.parametrize("demand", [0.6, 0.9, 1.3])
def test_without_reports_the_balancer_is_no_worse_than_a_plain_draw(demand: float) -> None:
    """No quotas, marked retries, loads or load reports: three proxies, thirteen servers, three seeds."""
    served = {"plain": 0.0, "balancer": 0.0}
    for seed in range(3):
        balancer_settings = settings(
            classes=(
                RequestClass(
                    latency_objective=300_000, deadline=2 * SECOND, message_latency_objective=100_000
                ),
            )
        )
        balancers = [Balancer(balancer_settings, seed=10 * seed + n) for n in range(3)]
        plain = [PlainBalancer(13, 10 * seed + n) for n in range(3)]
        for name, proxies in (("balancer", balancers), ("plain", plain)):
            simulation = ServerSimulation(proxies, seed, 13, demand)
            for _ in range(40):
                simulation.run_second()
            served[name] += simulation.served / simulation.demand / 3
    assert served["balancer"] >= served["plain"] - 0.01, served
