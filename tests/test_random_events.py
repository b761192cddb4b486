"""Random settings, endpoints and events, with extreme values among them: no call of the balancer may raise.

A call that raises loses its events and actions, timers included, so that queued requests wait until their
deadline.
"""

from __future__ import annotations

import random
import traceback
from collections import Counter
from collections.abc import Callable

import pytest
from helpers import MS, SECOND, START

from arrowseam.balancer import Balancer
from arrowseam.balancer.actions import Action, Fail, Migrate, Reject, SetTimer, StartAttempt, StartHealthCheck
from arrowseam.balancer.events import (
    AttemptEnded,
    ConnectionAdopted,
    ConnectionEstablished,
    CordonChanged,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    HealthCheckEnded,
    LatencyReported,
    LoadReported,
    Outcome,
    RequestAbandoned,
    RequestAborted,
    RequestArrived,
    SettingsUpdated,
    TimerFired,
    UpdateKind,
)
from arrowseam.balancer.settings import (
    DeduplicationScope,
    Idempotency,
    Limits,
    Prices,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)

STEPS = 400
SCENARIOS = 200
EXTREME_NUMBERS = (0.0, -1.0, 1e-300, 1e300, float("inf"), float("-inf"), float("nan"))
REPORT_FIELDS = ((), ("x0",), ("x0", "inflight"), ("inflight", "x0"))


class RandomScenario:
    """A balancer and its environment, drawn from a seed; ``raised`` counts the exceptions of its calls."""

    def __init__(self, seed: int) -> None:
        self.rnd = random.Random(seed)
        self.now = START
        self.balancer = Balancer(self.draw_settings(), seed=seed)
        self.endpoints = [100 + n for n in range(self.rnd.randint(0, 8))]
        self.request_count = 0
        self.queued: list[int] = []
        self.connecting: dict[int, tuple[int, int]] = {}  # attempt number and endpoint, by request
        self.established: dict[int, tuple[int, int]] = {}
        self.attempt_counts: Counter[int] = Counter()
        self.timers: list[tuple[int, int]] = []
        self.health_checks: list[int] = []
        self.raised: Counter[str] = Counter()

    # --- drawing settings and events ---

    def draw_float(self, *typical: float) -> float:
        return self.rnd.choice(EXTREME_NUMBERS if self.rnd.random() < 0.05 else typical)

    def draw_settings(self) -> Settings:
        rnd = self.rnd
        classes = tuple(
            RequestClass(
                latency_objective=rnd.choice((0, MS, 300 * MS)),
                deadline=rnd.choice((MS, 600 * MS, 2 * SECOND)),
                priority_weight=rnd.choice((0.0, 0.2, 1.0, 9.0)),
                idempotency=rnd.choice(list(Idempotency)),
                deduplication_scope=rnd.choice(list(DeduplicationScope)),
                deduplication_window=rnd.choice((0, SECOND)),
                message_latency_objective=rnd.choice((0, 100 * MS)),
            )
            for _ in range(rnd.randint(1, 3))
        )
        tenants = tuple(
            Tenant(rnd.choice((0.0, 3.0, 40.0)), rnd.choice((0.0, 5.0))) for _ in range(rnd.randint(0, 3))
        )
        return Settings(
            classes=classes,
            tenants=tenants,
            rules=Rules(
                drain_grace=rnd.choice((0, SECOND)),
                max_poll_interval=rnd.choice((0, 10 * SECOND)),
                cold_capacity_fraction=rnd.choice((0.0, 0.2, 1.0)),
                warm_up_time=rnd.choice((0, 20 * SECOND)),
                overload_multiple=rnd.choice((0.0, 1.0, 3.0)),
                overload_window=rnd.choice((MS, 3 * SECOND)),
            ),
            limits=Limits(
                max_attempts=rnd.choice((1, 3)),
                connect_timeout=rnd.choice((0, 100 * MS)),
                max_retry_after=rnd.choice((0, 2 * SECOND)),
                retry_after_allowed=rnd.random() < 0.5,
                health_checks_allowed=rnd.random() < 0.7,
            ),
            prices=Prices(cross_zone=rnd.choice((0.0, 0.1)), health_check=rnd.choice((0.0, 0.002))),
            proxy_count=rnd.choice((1, 4, 200)),
            zones=3,
            watch_discovery=rnd.random() < 0.5,
            group_affinity=rnd.random() < 0.5,
            report_fields=rnd.choice(REPORT_FIELDS),
            reports_load=rnd.random() < 0.6,
            reports_latency=rnd.random() < 0.5,
        )

    def draw_endpoint(self, endpoint_id: int) -> Endpoint:
        rnd = self.rnd
        return Endpoint(
            endpoint_id,
            zone=rnd.randrange(3),
            weight=rnd.choice((1e-6, 0.5, 1.0, 7.0, 1e6)),
            machine_type=rnd.randrange(3),
            started_at=rnd.choice((0, self.now, self.now - 5 * SECOND, self.now + SECOND)),
            state=rnd.choice((EndpointState.READY,) * 3 + (EndpointState.DRAINING,)),
            cell=rnd.randrange(3),
        )

    def draw_arrival(self) -> RequestArrived:
        rnd, settings = self.rnd, self.balancer.settings
        self.request_count += 1
        return RequestArrived(
            self.request_count,
            class_index=rnd.randrange(len(settings.classes)),
            tenant_index=rnd.randrange(max(1, len(settings.tenants))),
            flow_key=rnd.getrandbits(64),
            time_left=rnd.choice((1, 50 * MS, 2 * SECOND)),
            expected_load=rnd.choice((0.0, 1.0, 40.0, 1e5)),
            group=rnd.choice((0, 0, 5, 6)),
            is_retry=rnd.random() < 0.1,
            is_reconnect=rnd.random() < 0.2,
        )

    def draw_report(self) -> tuple[float, ...]:
        return tuple(self.draw_float(0.1, 0.7, 1.3, 5.0) for _ in range(self.rnd.randint(0, 2)))

    def draw_event(self) -> Event | None:
        weights: dict[Callable[[], Event | None], int] = {
            self._draw_arrival: 30, self._draw_established: 25, self._draw_ended: 25, self._draw_load: 15,
            self._draw_latency: 15, self._draw_health_check: 6, self._draw_list: 4, self._draw_cordon: 2,
            self._draw_abandoned: 3, self._draw_aborted: 1, self._draw_settings: 1, self._draw_adopted: 1,
        }  # fmt: skip
        (draw,) = self.rnd.choices(list(weights), list(weights.values()))
        return draw()

    def _draw_arrival(self) -> Event:
        arrival = self.draw_arrival()
        self.queued.append(arrival.request_id)
        return arrival

    def _draw_adopted(self) -> Event | None:
        if not self.endpoints:
            return None
        arrival, endpoint = self.draw_arrival(), self.rnd.choice(self.endpoints)
        self.established[arrival.request_id] = 0, endpoint
        return ConnectionAdopted(arrival, endpoint)

    def _draw_established(self) -> Event | None:
        if not self.connecting:
            return None
        request = self.rnd.choice(list(self.connecting))
        self.established[request] = attempt, endpoint = self.connecting.pop(request)
        return ConnectionEstablished(request, attempt, endpoint, self.rnd.choice((0, MS, SECOND)))

    def _draw_ended(self) -> Event | None:
        rnd = self.rnd
        connections = self.connecting if self.connecting and rnd.random() < 0.5 else self.established
        if not connections:
            return None
        request = rnd.choice(list(connections))
        attempt, endpoint = connections.pop(request)
        outcome = rnd.choice([o for o in Outcome if connections is self.established or o is not Outcome.OK])
        report = self.draw_report()
        is_final = connections is self.established or rnd.random() < 0.2
        return AttemptEnded(request, attempt, endpoint, outcome, rnd.choice((0, SECOND)), is_final, report)

    def _draw_load(self) -> Event | None:
        if not self.established:
            return None
        request = self.rnd.choice(list(self.established))
        return LoadReported(request, *self.established[request], self.draw_float(0.0, 0.1, 3.7, 40.0))

    def _draw_latency(self) -> Event | None:
        if not self.established:
            return None
        request = self.rnd.choice(list(self.established))
        return LatencyReported(request, *self.established[request], self.draw_float(0.0, 20.0, 90.0, 400.0))

    def _draw_health_check(self) -> Event | None:
        if not self.endpoints:
            return None
        outcome = self.rnd.choice((Outcome.OK, Outcome.OK, Outcome.ERROR))
        return HealthCheckEnded(self.rnd.choice(self.endpoints), outcome, MS, self.draw_report())

    def _draw_list(self) -> Event:
        rnd = self.rnd
        if rnd.random() < 0.2:
            return EndpointUpdate(UpdateKind.FAILED)
        kind = rnd.choice((UpdateKind.DELTA, UpdateKind.SNAPSHOT, UpdateKind.SECONDARY_DELTA))
        if rnd.random() < 0.5:
            self.endpoints = [100 + n for n in range(rnd.randint(0, 8))]
        chosen = rnd.sample(self.endpoints, rnd.randint(0, len(self.endpoints)))
        return EndpointUpdate(kind, rnd.randrange(9), tuple(map(self.draw_endpoint, chosen)))

    def _draw_cordon(self) -> Event:
        return CordonChanged(100 + self.rnd.randrange(8), self.rnd.random() < 0.5)

    def _draw_abandoned(self) -> Event | None:
        if not self.request_count:
            return None
        request = self.rnd.randint(1, self.request_count)
        self._forget(request)
        return RequestAbandoned(request)

    def _draw_aborted(self) -> Event | None:
        unanswered = [*self.queued, *self.connecting]
        return RequestAborted(self.rnd.choice(unanswered)) if unanswered else None

    def _draw_settings(self) -> Event:
        settings = self.draw_settings()
        class_count = len(self.balancer.settings.classes)
        return SettingsUpdated(settings, tuple(self.rnd.randrange(-1, class_count) for _ in settings.classes))

    # --- running ---

    def run(self, steps: int = STEPS) -> Counter[str]:
        """Run the scenario; returns the exceptions raised, by type and function."""
        self.step([EndpointUpdate(UpdateKind.SNAPSHOT, 1, tuple(map(self.draw_endpoint, self.endpoints)))])
        for _ in range(steps):
            self.now += self.rnd.choice((0, 0, MS, 40 * MS, 500 * MS, 3 * SECOND))
            due = [timer for timer in self.timers if timer[0] <= self.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            self.step([TimerFired(token) for _, token in due])
            if (event := self.draw_event()) is not None:
                self.step([event])
        return self.raised

    def step(self, events: list[Event]) -> None:
        for event in events:  # one at a time, as the driver passes them
            try:
                actions = self.balancer.handle(self.now, [event])
            except Exception as error:  # noqa: BLE001 - every exception is counted
                place = traceback.extract_tb(error.__traceback__)[-1]
                self.raised[f"{type(error).__name__} in {place.filename.rsplit('/')[-1]}:{place.name}"] += 1
                continue
            for action in actions:
                self.apply(action)

    def apply(self, action: Action) -> None:
        match action:
            case StartAttempt(request, endpoint, _):
                self._forget(request)
                self.connecting[request] = self.attempt_counts[request], endpoint
                self.attempt_counts[request] += 1
            case Reject(request) | Fail(request):
                self._forget(request)
            case SetTimer(delay, token):
                self.timers.append((self.now + max(1, delay), token))
            case Migrate(request) if request in self.established and self.rnd.random() < 0.8:
                attempt, endpoint = self.established.pop(request)
                self.step([AttemptEnded(request, attempt, endpoint, Outcome.MIGRATED, 0, True)])
            case StartHealthCheck(endpoint):
                self.step([HealthCheckEnded(endpoint, Outcome.OK, MS, self.draw_report())])

    def _forget(self, request: int) -> None:
        if request in self.queued:
            self.queued.remove(request)
        self.connecting.pop(request, None)
        self.established.pop(request, None)


@pytest.mark.parametrize("first", range(0, SCENARIOS, SCENARIOS // 4))
def test_no_random_event_raises(first: int) -> None:
    raised = {
        seed: exceptions
        for seed in range(first, first + SCENARIOS // 4)
        if (exceptions := RandomScenario(seed).run())
    }
    assert raised == {}
