"""What one deployment tells and another does not: no loads, no quotas, no marks of retries.

A rule that goes by what is never told must come out at the ordinary weighted order, not below it.
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
from network import World

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

WORTH = (
    RequestClass(
        latency_objective=300_000, deadline=2 * SECOND, message_latency_objective=100_000, priority_weight=5.0
    ),
    RequestClass(
        latency_objective=300_000, deadline=2 * SECOND, message_latency_objective=100_000, priority_weight=1.0
    ),
)


def standing(clock: Clock, numbers: Iterable[int], endpoint: int, **fields: float) -> None:
    for n in numbers:
        class_index = n % len(clock.balancer.settings.classes)
        clock.step(ConnectionAdopted(arrival(n, class_index=class_index, **fields), endpoint))


def slow_everywhere(clock: Clock) -> list[Action]:
    out: list[Action] = []
    for server in clock.balancer.endpoints.by_id.values():
        out += clock.step(LatencyReported(next(iter(server.established)), 0, server.endpoint_id, 300.0))
    return out


def test_connections_of_unknown_load_count_as_one_each() -> None:
    """Connections of unknown load counted as no load, so the proxy went on filling full endpoints."""
    clock = Clock(make_balancer(make_endpoints(2)))
    standing(clock, range(40), 100)
    sent = [s.endpoint_id for n in range(100, 130) for s in attempts(clock.step(arrival(n)))]
    assert sent.count(101) >= 24


@pytest.mark.parametrize("load", [0.0, 30.0])
def test_load_is_shed_in_a_surge_whether_loads_are_reported_or_not(load: float) -> None:
    """Corrib, overload: no loads were reported, so the proxy did not see that nearly all endpoints were slow.

    Each slow message migrated a fifth of the connections to another endpoint that was as slow.
    """
    clock = Clock(make_balancer(make_endpoints(4), classes=WORTH))
    for endpoint in range(100, 104):
        standing(clock, range(endpoint * 100, endpoint * 100 + 25), endpoint, expected_load=load)
    moved = [a for a in slow_everywhere(clock) if isinstance(a, Migrate)]
    assert clock.balancer.shedder.limit == pytest.approx(85.0 * (load or 1.0))
    assert 15 <= len(moved) <= 30  # a fifth of the first two, then a cut of all
    assert sum(
        clock.balancer.requests.by_id[m.request_id].request_class.priority_weight == 1.0 for m in moved
    ) >= 0.8 * len(moved)


@pytest.mark.parametrize(
    ("left", "class_index", "load", "goes"),
    [
        pytest.param(70, 0, 1.0, True, id="worth most for its load: up to the limit"),
        pytest.param(70, 1, 1.0, False, id="worth a fifth of that: not so near the limit"),
        pytest.param(40, 1, 1.0, True, id="further below it, all are let in"),
        pytest.param(70, 0, 9.0, False, id="of the first class and heavy: not so near it either"),
    ],
)
def test_the_load_limit_admits_by_priority_weight_for_the_load(
    left: int, class_index: int, load: float, goes: bool
) -> None:
    """While load is shed, capacity that goes to whoever asks first is taken by heavy connections of
    little priority weight. They are admitted only up to a lower limit.
    """
    clock = Clock(make_balancer(make_endpoints(4), classes=WORTH))
    for endpoint in range(100, 104):
        standing(clock, range(endpoint * 100, endpoint * 100 + 25), endpoint, expected_load=1.0)
    slow_everywhere(clock)
    limit = clock.balancer.shedder.limit
    for n in sorted(clock.balancer.requests.by_id)[left:]:
        clock.step(AttemptEnded(n, 0, n // 100, Outcome.MIGRATED, is_final=True))
    for server in clock.balancer.endpoints.by_id.values():
        server.overloaded_at, server.failure_score = -(1 << 62), 0.0
    clock.step(after=1)
    assert clock.balancer.shedder.limit < 1.1 * limit
    assert clock.balancer.requests.load == left
    assert bool(attempts(clock.step(arrival(1, class_index=class_index, expected_load=load)))) is goes


def test_what_was_sent_since_a_report_counts_with_it() -> None:
    """On sockets, five servers: whoever had room by the last report was sent all that a release set free."""
    limits = Limits(max_attempts=3, connect_timeout=100_000, health_checks_allowed=True)
    own = {
        "limits": limits,
        "report_fields": ("inflight", "x0"),
        "prices": Prices(health_check=0.002),
    }
    clock = Clock(make_balancer(make_endpoints(2), proxy_count=2, **own))
    asked = [p.endpoint_id for p in clock.step(arrival(1)) if isinstance(p, StartHealthCheck)]
    assert sorted(asked) == [100, 101]
    reports = {100: (4.0, 0.1), 101: (20.0, 0.8)}
    clock.step(*(HealthCheckEnded(n, Outcome.OK, 1_000, reports[n]) for n in asked))
    sent = [s.endpoint_id for n in range(100, 140) for s in attempts(clock.step(arrival(n)))]
    # Each takes about a thirtieth, and the other proxy sends there as well: ten fill it, not forty.
    assert 8 <= sent.count(100) <= 30
    assert len(sent) == 40


@pytest.mark.parametrize(
    ("tells", "load", "leave"), [(False, 1.2, True), (False, 0.9, False), (True, 1.2, False)]
)
def test_a_report_of_overload_migrates_connections_without_latency_reports(
    tells: bool, load: float, leave: bool
) -> None:
    """Where nobody reports slow messages, a load report above capacity is all that shows an overload."""
    limits = Limits(max_attempts=3, connect_timeout=100_000, health_checks_allowed=True)
    clock = Clock(
        make_balancer(make_endpoints(2), limits=limits, report_fields=("x0",), reports_latency=tells)
    )
    standing(clock, range(10, 50), 100)
    standing(clock, range(50, 100), 101)
    clock.step(arrival(1))
    out = clock.step(HealthCheckEnded(100, Outcome.OK, 1_000, (load,)))
    moved = [a for a in out if isinstance(a, Migrate)]
    assert bool(moved) is leave
    assert len(moved) <= 9


@pytest.mark.parametrize("tells", [False, True])
def test_connections_leave_a_draining_endpoint_with_and_without_latency_reports(tells: bool) -> None:
    """A draining endpoint stops after a while and cuts off whoever is still connected. The connections
    must be migrated before, also where no slow message is ever reported.
    """
    clock = Clock(make_balancer(make_endpoints(3), reports_latency=tells))
    standing(clock, range(10, 30), 100)
    gone = replace(make_endpoints(1)[0], state=EndpointState.DRAINING)
    clock.step(EndpointUpdate(UpdateKind.DELTA, 2, (gone,)))
    moved = {a.request_id for _ in range(20) for a in clock.step(after=SECOND) if isinstance(a, Migrate)}
    assert moved == set(range(10, 30))


@pytest.mark.parametrize(
    ("family", "load", "delay"),
    [
        pytest.param({}, True, False, id="nothing said"),
        pytest.param({"tells_load": True, "tells_delay": True}, True, False, id="one word for both"),
        pytest.param({"tells_load": False, "tells_delay": True}, False, True, id="only slow messages"),
        pytest.param({"tells_load": False, "tells_delay": False}, False, False, id="neither"),
    ],
)
def test_what_servers_say_of_a_connection_is_read_as_the_settings_say(
    family: dict[str, bool], load: bool, delay: bool
) -> None:
    """Corrib on sockets: servers that tell no loads said LOAD 22.4 each second while messages were slow, in
    milliseconds; taken for loads they spoilt every mean."""
    world = World("lines", "up", family_info=family)
    try:
        own = world.config.settings
        assert (own.reports_load, own.reports_latency) == (load, delay)
        driver = world.driver
        driver.settings = own
        heard: list[Event] = []
        notify = driver._notify
        driver._notify = lambda *events: (heard.extend(events), notify(*events))[1]
        world.up()
        world.servers[0].say(b"LOAD 125.5\r\n")
        world.run(0.1)
        notes = [e for e in heard if isinstance(e, (LoadReported, LatencyReported))]
        assert [isinstance(n, LoadReported) for n in notes] == [True] * load + [False] * delay
        # With NATS beside it nobody may wait to be told.
        assert not world.proxy.config.settings.reports_latency
    finally:
        world.close()


# --- beside the plainest policy, many instances under one clock --------------------------------------------


class Plain:
    """The ordinary order and nothing else: each attempt a draw by weight, refused when they run out."""

    def __init__(self, numbers: int, seed: int) -> None:
        self.draw, self.numbers, self.attempts = random.Random(seed), numbers, {}

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        out: list[Action] = []
        for event in events:
            lost = isinstance(event, AttemptEnded) and not event.is_final
            if isinstance(event, RequestArrived) or lost:
                made = self.attempts[event.request_id] = self.attempts.get(event.request_id, 0) + 1
                if made > 3:
                    out.append(Reject(event.request_id))
                else:
                    out.append(StartAttempt(event.request_id, 100 + self.draw.randrange(self.numbers)))
        return out


@dataclass
class Held:
    proxy: int
    endpoint_id: int
    load: float
    ends: int
    up: bool = True


class Crowd:
    """Servers that hold connections of loads nobody is told; over 0.9 of what one can carry its messages are
    slow, over all of it none is served, over 1.3 it drops the heaviest. Who is refused, dropped or moved
    comes again unmarked after half a second."""

    def __init__(self, proxies: list[Balancer] | list[Plain], seed: int, servers: int, asked: float) -> None:
        self.proxies, self.rng, self.now = proxies, random.Random(seed), START
        self.carries = 40.0
        self.servers = range(100, 100 + servers)
        self.held: dict[int, Held] = {}
        self.lives: dict[int, tuple[float, int]] = {}  # load and end of who asks
        self.timers: list[tuple[int, int, int]] = []
        self.coming: list[tuple[int, float, int]] = []
        self.count, self.served, self.asked = 0, 0.0, 0.0
        self.want = asked * self.carries * servers
        for n in range(len(proxies)):
            self.hand(n, snapshot(make_endpoints(servers)))
        while sum(load for _, load, _ in self.coming) < self.want:
            self.arrive(START + int(self.rng.random() * SECOND))

    def arrive(self, at: int) -> None:
        load, life = self.rng.lognormvariate(0.0, 1.0), int(self.rng.expovariate(1 / 45) * SECOND)
        heapq.heappush(self.coming, (at, load, at + life))

    def load(self, endpoint: int) -> float:
        return sum(h.load for h in self.held.values() if h.endpoint_id == endpoint)

    def hand(self, n: int, *events: Event) -> None:
        for action in self.proxies[n].handle(self.now, list(events)):
            match action:
                case SetTimer(delay, token):
                    heapq.heappush(self.timers, (self.now + max(1, delay), n, token))
                case StartAttempt(request, endpoint, _):
                    load, ends = self.lives[request]
                    if self.load(endpoint) > 1.3 * self.carries:
                        self.hand(n, attempt_ended(action, Outcome.REJECTED))
                    else:
                        self.held[request] = Held(n, endpoint, load, ends)
                        self.hand(n, ConnectionEstablished(request, 0, endpoint, 10_000))
                case Reject(request) | Fail(request):
                    load, ends = self.lives[request]
                    heapq.heappush(self.coming, (self.now + SECOND // 2, load, ends))
                case Migrate(request) if request in self.held:
                    self.drop(request, Outcome.MIGRATED)

    def drop(self, request: int, outcome: Outcome) -> None:
        held = self.held.pop(request)
        if held.ends > self.now:
            heapq.heappush(self.coming, (self.now + SECOND // 2, held.load, held.ends))
        self.hand(held.proxy, AttemptEnded(request, 0, held.endpoint_id, outcome, 0, True))

    def second(self) -> None:
        end = self.now + SECOND
        for _ in range(round(self.want / 1.65 / 45)):  # 1.65 is the mean load, 45 s the mean life
            self.arrive(self.now + int(self.rng.random() * SECOND))
        while min(self.timers[:1] + self.coming[:1], default=(end,))[0] < end:
            if self.timers and (not self.coming or self.timers[0][0] <= self.coming[0][0]):
                at, n, token = heapq.heappop(self.timers)
                self.now = max(self.now, at)
                self.hand(n, TimerFired(token))
                continue
            at, load, ends = heapq.heappop(self.coming)
            self.now = max(self.now, at)
            if ends > self.now:
                self.count += 1
                self.lives[self.count] = (load, ends)
                self.hand(self.rng.randrange(len(self.proxies)), arrival(self.count))
        self.now = end
        for request in [r for r, h in self.held.items() if h.ends <= self.now]:
            self.drop(request, Outcome.OK)
        for endpoint in self.servers:
            here = {r: h for r, h in self.held.items() if h.endpoint_id == endpoint}
            load = sum(h.load for h in here.values())
            self.served += load if load <= self.carries else 0.0
            for request in sorted(here, key=lambda r: -here[r].load):
                if load <= 1.3 * self.carries:
                    break
                load -= here[request].load
                self.drop(request, Outcome.RESET)
            if load > 0.9 * self.carries:
                told = {h.proxy: r for r, h in here.items() if r in self.held}
                for n, request in told.items():
                    self.hand(n, LatencyReported(request, 0, endpoint, 90.0))
        self.asked += self.want


@pytest.mark.parametrize("asked", [0.6, 0.9, 1.3])
def test_where_little_is_told_the_module_is_no_worse_than_a_plain_draw(asked: float) -> None:
    """No quotas, no marks of retries, no loads, no hints: three proxies, thirteen servers, three fleets."""
    served = {"plain": 0.0, "module": 0.0}
    for seed in range(3):
        own = settings(
            classes=(
                RequestClass(
                    latency_objective=300_000, deadline=2 * SECOND, message_latency_objective=100_000
                ),
            )
        )
        module = [Balancer(own, seed=10 * seed + n) for n in range(3)]
        plain = [Plain(13, 10 * seed + n) for n in range(3)]
        for name, proxies in (("module", module), ("plain", plain)):
            crowd = Crowd(proxies, seed, 13, asked)
            for _ in range(40):
                crowd.second()
            served[name] += crowd.served / crowd.asked / 3
    assert served["module"] >= served["plain"] - 0.01, served
