"""Many proxies under one clock that share nothing: what one does is little, the sum over all is counted."""

from __future__ import annotations

import heapq
from collections import Counter
from typing import Any

from helpers import START, settings

from arrowseam.balancer import Balancer
from arrowseam.balancer.actions import Migrate, Reject, SetTimer, StartAttempt
from arrowseam.balancer.events import (
    AttemptEnded,
    ConnectionAdopted,
    ConnectionEstablished,
    Endpoint,
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)


class Fleet:
    """``proxies`` modules, each with its own timers; whatever is sent comes up at once.

    With ``store``, set-ups a second, each is a call to one service that takes them in turn, also those whose
    sender has stopped waiting; and who is refused comes again when told to.
    """

    def __init__(
        self,
        proxies: int,
        entries: tuple[Endpoint, ...],
        store: float = 0.0,
        first_seed: int = 1,
        **changes: Any,
    ) -> None:
        self.now = START
        self.store, self.store_free_at = store, START
        self.pending: list[tuple[int, int, int, Event]] = []  # (when, order, proxy, how an attempt ends)
        self.attempts = 0
        self.attempts_at: dict[int, list[int]] = {}  # when, by endpoint
        self.balancers = [
            Balancer(settings(proxy_index=n, proxy_count=proxies, **changes), seed=first_seed + n)
            for n in range(proxies)
        ]
        self.timers: list[tuple[int, int, int]] = []
        self.established: dict[tuple[int, int], int] = {}  # (proxy, request) -> endpoint
        self.migrated: Counter[int] = Counter()  # by endpoint
        self.count = 0
        self.notify_all(EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))

    def notify_all(self, *events: Event) -> None:
        for n in range(len(self.balancers)):
            self.handle(n, *events)

    def handle(self, n: int, *events: Event) -> None:
        for action in self.balancers[n].handle(self.now, list(events)):
            match action:
                case SetTimer(delay, token):
                    heapq.heappush(self.timers, (self.now + max(1, delay), n, token))
                case StartAttempt(request, endpoint, wait):
                    self.attempts += 1
                    self.attempts_at.setdefault(endpoint, []).append(self.now)
                    if self.store:
                        self.call_store(n, request, endpoint, wait)
                        continue
                    self.established[n, request] = endpoint
                    self.handle(n, ConnectionEstablished(request, 0, endpoint, 10_000))
                case Reject(_, wait) if self.store:
                    self.count += 1
                    again = RequestArrived(self.count, time_left=2_000_000, is_reconnect=True)
                    heapq.heappush(self.pending, (self.now + wait, self.count, n, again))
                case Migrate(request):
                    endpoint = self.established.pop((n, request))
                    self.migrated[endpoint] += 1
                    self.handle(n, AttemptEnded(request, 0, endpoint, Outcome.MIGRATED, 0, True))

    def call_store(self, n: int, request: int, endpoint: int, wait: int) -> None:
        self.store_free_at = max(self.store_free_at, self.now) + int(1_000_000 / self.store)
        took = self.store_free_at - self.now + 10_000
        end: Event = ConnectionEstablished(request, 0, endpoint, took)
        if took > wait:
            end = AttemptEnded(request, 0, endpoint, Outcome.TIMEOUT, wait)
        heapq.heappush(self.pending, (self.now + min(took, wait), self.attempts, n, end))

    def arrive(self, n: int, **fields: Any) -> None:
        self.count += 1
        self.handle(n, RequestArrived(self.count, **({"time_left": 2_000_000} | fields)))

    def adopt(self, n: int, endpoint: int, **fields: Any) -> None:
        """A connection that stood before."""
        self.count += 1
        self.established[n, self.count] = endpoint
        self.handle(n, ConnectionAdopted(RequestArrived(self.count, time_left=0, **fields), endpoint))

    def run(self, span: int) -> None:
        """Let time pass: timers, and a look of each proxy at least every 100 ms, as in a day of traffic."""
        end = self.now + span
        while self.now < end:
            stop = min(end, self.now + 100_000)
            while min(self.timers[:1] + self.pending[:1], default=(end + 1,))[0] <= stop:
                if not self.timers or (self.pending and self.pending[:1] < self.timers[:1]):
                    at, _, n, event = heapq.heappop(self.pending)
                else:
                    at, n, token = heapq.heappop(self.timers)
                    event = TimerFired(token)
                self.now = max(self.now, at)
                if isinstance(event, ConnectionEstablished):
                    self.established[n, event.request_id] = event.endpoint_id
                self.handle(n, event)
            self.now = stop
            self.notify_all()
