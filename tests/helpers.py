"""A hand-driven relay: settings with sensible values and a tiny world that answers its actions."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from arrowseam import Balancer, api

MS = 1_000
SECOND = 1_000_000
START = 100 * SECOND

FINAL = (api.Refuse, api.Fail)


def settings(**changes: Any) -> api.Settings:
    base = api.Settings(
        classes=(api.RequestClass(aim=300 * MS, deadline=2 * SECOND),),
        rules=api.Rules(
            answer_grace=10 * MS,
            drain_grace=SECOND,
            ask_within=10 * SECOND,
            cold_share=0.2,
            warm_up=20 * SECOND,
            fall_multiple=3.0,
            overload_for=3 * SECOND,
        ),
        limits=api.Limits(
            max_attempts=3, connect_timeout=100 * MS, max_retry_after=2 * SECOND, retry_after=True
        ),
    )
    return replace(base, **changes)


def backends(n: int, **fields: Any) -> tuple[api.Backend, ...]:
    return tuple(api.Backend(backend=100 + i, **fields) for i in range(n))


def full(entries: tuple[api.Backend, ...]) -> api.BackendList:
    return api.BackendList(api.ListKind.FULL, 1, entries)


def relay(entries: tuple[api.Backend, ...] = (), seed: int = 1, **changes: Any) -> Balancer:
    balancer = Balancer(settings(**changes), seed=seed)
    balancer.handle(START, [full(entries)])
    return balancer


def ask(request: int, **fields: Any) -> api.Request:
    return api.Request(request, **({"time_left": 2 * SECOND} | fields))


def ended(send: api.Send, outcome: api.Outcome, attempt: int = 0, **fields: Any) -> api.AttemptEnded:
    return api.AttemptEnded(send.request, attempt, send.backend, outcome, **fields)


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [action for action in actions if isinstance(action, api.Send)]


def finals(actions: list[api.Action]) -> list[api.Action]:
    return [action for action in actions if isinstance(action, FINAL)]


class Clock:
    """Runs a relay's own timers, so that a test sees what it does while nothing else happens."""

    def __init__(self, balancer: Balancer, now: int = START) -> None:
        self.balancer, self.now = balancer, now
        self.timers: list[tuple[int, int]] = []

    def step(self, *events: api.Event, after: int = 0) -> list[api.Action]:
        """Hand over events ``after`` a while; returns the actions other than timers."""
        self.now += after
        actions = self.balancer.handle(self.now, list(events))
        wakes = [a for a in actions if isinstance(a, api.WakeAt)]
        self.timers += [(self.now + max(1, a.delay), a.token) for a in wakes]
        return [a for a in actions if not isinstance(a, api.WakeAt)]

    def wait(self, span: int) -> list[api.Action]:
        """Let time pass; stops early at the first action that is not a timer."""
        end = self.now + span
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            if actions := self.step(api.Timer(due[1])):
                return actions
        self.now = max(self.now, end)
        return []
