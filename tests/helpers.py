"""Helpers for tests of the balancer: default settings, events, filters of actions, a clock for timers."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from arrowseam.balancer import Balancer
from arrowseam.balancer.actions import Action, Fail, Reject, SetTimer, StartAttempt
from arrowseam.balancer.events import (
    AttemptEnded,
    Endpoint,
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from arrowseam.balancer.settings import Limits, RequestClass, Rules, Settings

MS = 1_000
SECOND = 1_000_000
START = 100 * SECOND

FINAL = (Reject, Fail)


def settings(**changes: Any) -> Settings:
    base = Settings(
        classes=(RequestClass(latency_objective=300 * MS, deadline=2 * SECOND),),
        rules=Rules(
            drain_grace=SECOND,
            max_poll_interval=10 * SECOND,
            cold_capacity_fraction=0.2,
            warm_up_time=20 * SECOND,
            overload_multiple=3.0,
            overload_window=3 * SECOND,
        ),
        limits=Limits(
            max_attempts=3, connect_timeout=100 * MS, max_retry_after=2 * SECOND, retry_after_allowed=True
        ),
    )
    return replace(base, **changes)


def make_endpoints(count: int, **fields: Any) -> tuple[Endpoint, ...]:
    return tuple(Endpoint(endpoint_id=100 + i, **fields) for i in range(count))


def snapshot(entries: tuple[Endpoint, ...]) -> EndpointUpdate:
    return EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries)


def make_balancer(entries: tuple[Endpoint, ...] = (), seed: int = 1, **changes: Any) -> Balancer:
    balancer = Balancer(settings(**changes), seed=seed)
    balancer.handle(START, [snapshot(entries)])
    return balancer


def arrival(request_id: int, **fields: Any) -> RequestArrived:
    return RequestArrived(request_id, **({"time_left": 2 * SECOND} | fields))


def attempt_ended(
    start: StartAttempt, outcome: Outcome, attempt_number: int = 0, **fields: Any
) -> AttemptEnded:
    return AttemptEnded(start.request_id, attempt_number, start.endpoint_id, outcome, **fields)


def attempts(actions: list[Action]) -> list[StartAttempt]:
    return [action for action in actions if isinstance(action, StartAttempt)]


def final_answers(actions: list[Action]) -> list[Action]:
    return [action for action in actions if isinstance(action, FINAL)]


class Clock:
    """Drives a balancer and fires its timers, so that a test sees its actions without other events."""

    def __init__(self, balancer: Balancer, now: int = START) -> None:
        self.balancer, self.now = balancer, now
        self.timers: list[tuple[int, int]] = []

    def step(self, *events: Event, after: int = 0) -> list[Action]:
        """Pass events ``after`` microseconds; returns the actions other than timers."""
        self.now += after
        actions = self.balancer.handle(self.now, list(events))
        timers = [a for a in actions if isinstance(a, SetTimer)]
        self.timers += [(self.now + max(1, a.delay), a.token) for a in timers]
        return [a for a in actions if not isinstance(a, SetTimer)]

    def wait(self, duration: int) -> list[Action]:
        """Advance the time; stops early at the first action that is not a timer."""
        end = self.now + duration
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            if actions := self.step(TimerFired(timer[1])):
                return actions
        self.now = max(self.now, end)
        return []
