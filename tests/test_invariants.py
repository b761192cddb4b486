"""The invariants that each proxy must keep on its own, and invalid or late input."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from helpers import (
    MS,
    SECOND,
    START,
    Clock,
    arrival,
    attempt_ended,
    attempts,
    final_answers,
    make_balancer,
    make_endpoints,
    settings,
    snapshot,
)
from hypothesis import given
from hypothesis import strategies as st

from arrowseam.balancer import Balancer
from arrowseam.balancer.actions import Action, Fail, Reject, SetTimer, StartAttempt, WatchEndpoints
from arrowseam.balancer.events import (
    AttemptEnded,
    ConnectionEstablished,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    HealthCheckEnded,
    LatencyReported,
    LoadReported,
    Outcome,
    RequestAbandoned,
    TimerFired,
    UpdateKind,
)
from arrowseam.balancer.settings import DeduplicationScope, Idempotency, RequestClass
from arrowseam.errors import UsageError

NEVER_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
FAILURES = [o for o in Outcome if o is not Outcome.OK]


class RandomScenario:
    """Drives one balancer with random events and checks the invariants on each of its actions."""

    def __init__(self, seed: int, idempotency: Idempotency, deduplication_scope: DeduplicationScope) -> None:
        self.rnd = random.Random(seed)
        request_class = RequestClass(
            latency_objective=300 * MS,
            deadline=2 * SECOND,
            idempotency=idempotency,
            deduplication_scope=deduplication_scope,
            deduplication_window=SECOND,
        )
        self.request_class = request_class
        self.now = START
        self.balancer = Balancer(settings(classes=(request_class,)), seed=seed)
        self.states: dict[int, Endpoint] = {}
        self.deadlines: dict[int, int] = {}  # of unanswered requests
        self.answered: set[int] = set()
        self.pending: dict[int, tuple[StartAttempt, int, int]] = {}  # action, attempt number, start time
        self.attempts: dict[int, int] = {}
        self.executed: dict[int, tuple[int, int]] = {}
        self.timers: list[tuple[int, int]] = []

    def step(self, events: list[Event]) -> None:
        for action in self.balancer.handle(self.now, events):
            match action:
                case StartAttempt(request, endpoint, _):
                    assert request in self.deadlines
                    assert request not in self.pending
                    entry = self.states[endpoint]
                    assert entry.state is EndpointState.READY
                    attempt = self.attempts.get(request, 0)
                    assert attempt < 3
                    if request in self.executed:
                        self.check_retry(request, entry)
                    self.attempts[request] = attempt + 1
                    self.pending[request] = (action, attempt, self.now)
                case Reject(request):
                    assert self.may_reject(request)
                    self.answer(request)
                case Fail(request):
                    self.answer(request)
                case SetTimer(delay, token):
                    self.timers.append((self.now + max(1, delay), token))

    def may_reject(self, request: int) -> bool:
        if request not in self.executed or self.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        return (
            self.request_class.idempotency is Idempotency.KEYED
            and self.request_class.deduplication_scope is DeduplicationScope.ALL
        )

    def check_retry(self, request: int, entry: Endpoint) -> None:
        if self.request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        assert self.request_class.idempotency is Idempotency.KEYED
        endpoint, sent = self.executed[request]
        assert self.now < sent + self.request_class.deduplication_window
        first = self.states[endpoint]
        if self.request_class.deduplication_scope is DeduplicationScope.ZONE:
            assert entry.zone == first.zone
        elif self.request_class.deduplication_scope is DeduplicationScope.CELL:
            assert entry.endpoint_id == endpoint or (entry.cell is not None and entry.cell == first.cell)

    def answer(self, request: int) -> None:
        assert request not in self.pending
        assert self.now <= self.deadlines.pop(request) + 10 * MS
        self.answered.add(request)

    def end(self, request: int, outcome: Outcome) -> Event:
        action, attempt, sent = self.pending.pop(request)
        if outcome is Outcome.OK:
            self.answer(request)
        elif outcome not in NEVER_EXECUTED and request not in self.executed:
            self.executed[request] = (action.endpoint_id, sent)
        final = request in self.answered
        return attempt_ended(action, outcome, attempt, elapsed=self.now - sent, is_final=final)

    def run(self, steps: int) -> None:
        self.update_list()
        for n in range(steps):
            self.now += self.rnd.randrange(1, 6) * MS
            events: list[Event] = []
            for request, (action, _, sent) in list(self.pending.items()):
                wait = min(action.timeout or 10**9, self.deadlines[request] - sent)
                if self.now >= sent + wait:
                    events.append(self.end(request, Outcome.TIMEOUT))
                elif self.rnd.random() < 0.05:
                    events.append(self.end(request, self.rnd.choice(list(Outcome))))
            due = [t for t in self.timers if t[0] <= self.now]
            self.timers = [t for t in self.timers if t[0] > self.now]
            events += [TimerFired(token) for _, token in due]
            if self.rnd.random() < 0.1:
                time_left = self.rnd.choice([0, 30, 300, 2000]) * MS
                self.deadlines[n] = self.now + time_left
                events.append(arrival(n, time_left=time_left, flow_key=n))
            if self.rnd.random() < 0.01:
                self.update_list()
            self.step(events)
            for request, deadline in self.deadlines.items():
                assert request in self.pending or self.now <= deadline + 10 * MS, (
                    "a request got no final answer by its deadline"
                )

    def update_list(self) -> None:
        entries = tuple(
            Endpoint(
                200 + n,
                zone=n % 2,
                cell=(0, 1, None)[n % 3],
                weight=self.rnd.choice([0.0, 1.0, 5.0]),
                started_at=self.rnd.choice([0, self.now - 3 * SECOND]),
                state=self.rnd.choice([EndpointState.READY, *EndpointState]),
            )
            for n in range(6)
        )
        self.states = {e.endpoint_id: e for e in entries}
        self.step([snapshot(entries)])


@given(st.integers(0, 2**32), st.sampled_from(Idempotency), st.sampled_from(DeduplicationScope))
def test_invariants_hold_for_random_events(
    seed: int, idempotency: Idempotency, deduplication_scope: DeduplicationScope
) -> None:
    RandomScenario(seed, idempotency, deduplication_scope).run(400)


@given(st.lists(st.sampled_from(FAILURES), min_size=3, max_size=3), st.sampled_from(Idempotency))
def test_each_request_gets_one_final_answer(outcomes: list[Outcome], idempotency: Idempotency) -> None:
    request_class = RequestClass(
        latency_objective=300 * MS,
        deadline=2 * SECOND,
        idempotency=idempotency,
        deduplication_window=5 * SECOND,
    )
    clock = Clock(make_balancer(make_endpoints(5), classes=(request_class,)))
    actions = clock.step(arrival(1))
    answers: list[Action] = []
    for attempt, outcome in enumerate(outcomes):
        assert not answers
        actions = actions or clock.wait(2 * SECOND)
        if not attempts(actions):
            break
        actions = clock.step(attempt_ended(attempts(actions)[0], outcome, attempt), after=1)
    answers += final_answers(actions) + final_answers(clock.wait(2 * SECOND))
    assert len(answers) == 1
    assert clock.step(TimerFired(1), RequestAbandoned(1), after=9) == []


@pytest.mark.parametrize(
    ("cells", "expected"),
    [((None, None), {100}), ((None, 0), {100}), ((0, None), {100}), ((0, 0), {100, 101})],
)
def test_a_keyed_request_is_not_repeated_where_the_cell_is_unknown(cells, expected) -> None:
    """No source stated the cells of two endpoints, and they counted as one: a request ran in both."""
    request_class = RequestClass(
        latency_objective=300 * MS,
        deadline=2 * SECOND,
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=5 * SECOND,
    )
    first, second = (Endpoint(100 + n, cell=cell) for n, cell in enumerate(cells))
    tried = set()
    for seed in range(20):
        clock = Clock(make_balancer((first,), seed=seed, classes=(request_class,)))
        (attempt,) = attempts(clock.step(arrival(1)))
        clock.step(snapshot((first, second)), after=1)
        actions = clock.step(attempt_ended(attempt, Outcome.RESET, 0), after=1) + clock.wait(2 * SECOND)
        tried |= {attempt.endpoint_id, *(retry.endpoint_id for retry in attempts(actions))}
        assert len(attempts(actions)) <= 1
    assert tried == expected


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_no_attempt_goes_to_a_draining_or_removed_endpoint(state: EndpointState) -> None:
    balancer = make_balancer(make_endpoints(2))
    change = Endpoint(100, state=state)
    balancer.handle(START, [EndpointUpdate(UpdateKind.DELTA, 2, (change,))])
    chosen = {attempts(balancer.handle(START, [arrival(n)]))[0].endpoint_id for n in range(50)}
    assert chosen == {101}


def test_an_endpoint_missing_from_a_complete_list_is_removed() -> None:
    balancer = make_balancer(make_endpoints(2))
    balancer.handle(START, [snapshot(make_endpoints(1))])
    assert {attempts(balancer.handle(START, [arrival(n)]))[0].endpoint_id for n in range(50)} == {100}


@pytest.mark.parametrize("proxies", [1, 12, 200])
def test_a_warming_endpoint_stays_within_its_limit_in_a_mass_reconnect(proxies: int) -> None:
    """All clients of a large tier return within a second of a restart, but must not overload it."""
    endpoint_count, cold_time = 10, 3 * SECOND
    capacity_rate = 2 * 40.0 / endpoint_count  # per endpoint and second; the tier runs at half its capacity
    sent_cold = 0
    for n in range(proxies):
        entries = make_endpoints(endpoint_count)
        balancer = make_balancer(entries, seed=n, proxy_index=n, proxy_count=proxies)
        rnd = random.Random(n)
        now, request = START, 0
        for _ in range(int(20 * 40 / proxies) + rnd.randrange(2)):  # 20 s of usual traffic first
            now += int(20 * SECOND / max(1.0, 20 * 40 / proxies))
            request += 1
            balancer.handle(now, [arrival(request)])
        restarted_at = START + 26 * SECOND
        restart = Endpoint(100, started_at=restarted_at)
        balancer.handle(restarted_at, [EndpointUpdate(UpdateKind.DELTA, 2, (restart,))])
        for k in range(int(2000 / proxies)):
            request += 1
            at = restarted_at + int(k * SECOND / max(1, 2000 / proxies))
            actions = balancer.handle(at, [arrival(request, is_reconnect=True)])
            sent_cold += sum(s.endpoint_id == 100 for s in attempts(actions))
    warm = 0.2 * capacity_rate * cold_time / SECOND
    assert sent_cold <= 3.0 * warm + 2


def test_a_request_that_cannot_be_placed_is_queued_and_rejected_in_time() -> None:
    """With no endpoint in the list a request is queued, and rejected before its deadline."""
    clock = Clock(make_balancer(()))
    assert clock.step(arrival(1)) == []
    assert isinstance(clock.wait(3 * SECOND)[0], Reject)
    assert START + SECOND < clock.now <= START + 2 * SECOND


def test_a_queued_request_is_placed_when_a_list_arrives() -> None:
    clock = Clock(make_balancer(()))
    assert clock.step(arrival(1)) == []
    clock.step(snapshot(make_endpoints(1)), after=1)
    assert attempts(clock.wait(SECOND))[0].endpoint_id == 100


def test_a_request_with_no_time_left_is_answered_at_once() -> None:
    assert final_answers(make_balancer(make_endpoints(2)).handle(START, [arrival(1, time_left=0)]))


def test_a_sole_endpoint_is_tried_again_after_a_failure() -> None:
    clock = Clock(make_balancer(make_endpoints(1)))
    for n in range(3):
        action = attempts(clock.step(arrival(n)))[0]
        clock.step(attempt_ended(action, Outcome.CONNECT_FAILED), after=1)
        clock.step(RequestAbandoned(n))
        clock.now += 10 * SECOND


def test_late_events_of_an_ended_request_are_ignored() -> None:
    balancer = make_balancer(make_endpoints(1))
    action = attempts(balancer.handle(START, [arrival(1)]))[0]
    balancer.handle(START, [RequestAbandoned(1)])
    late: list[Event] = [
        ConnectionEstablished(1, 0, 100, 5),
        LoadReported(1, 0, 100, 5.0),
        LatencyReported(1, 0, 100, 50.0),
        TimerFired(1),
        attempt_ended(action, Outcome.TIMEOUT, is_final=True),
        AttemptEnded(77, 0, 4242, Outcome.OK, is_final=True),
        HealthCheckEnded(4242, Outcome.OK),
    ]
    assert balancer.handle(START, late) == []


def test_a_failed_discovery_call_keeps_the_list_and_is_repeated() -> None:
    """The discovery service fails: requests are placed by the cached list, and the service is called again
    with backoff.
    """
    balancer = Balancer(settings(watch_discovery=True), seed=1)
    (timer,) = balancer.handle(START, [EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, 1, make_endpoints(2))])
    now = START
    for n in range(8):
        assert isinstance(timer, SetTimer)
        assert timer.delay < 10 * SECOND  # from then on the list would count as stale
        now += timer.delay
        assert balancer.handle(now, [TimerFired(timer.token)]) == [WatchEndpoints(True)]
        assert attempts(balancer.handle(now, [arrival(n)]))
        actions = balancer.handle(now, [EndpointUpdate(UpdateKind.FAILED)])
        (timer,) = [a for a in actions if isinstance(a, SetTimer)]


def test_misuse_raises_usage_errors() -> None:
    with pytest.raises(UsageError, match="request class"):
        settings(classes=())
    with pytest.raises(UsageError, match="max_attempts"):
        settings(limits=replace(settings().limits, max_attempts=0))
    balancer = make_balancer(make_endpoints(1))
    balancer.handle(START, [arrival(1)])
    with pytest.raises(UsageError, match="already known"):
        balancer.handle(START, [arrival(1)])
    with pytest.raises(UsageError, match="class 9"):
        balancer.handle(START, [arrival(2, class_index=9)])
    with pytest.raises(UsageError, match="time went back"):
        balancer.handle(START - 1, [])
    with pytest.raises(UsageError, match="not an event"):
        balancer.handle(START, ["demand"])  # type: ignore[list-item]
