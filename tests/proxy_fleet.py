"""A simulated fleet of independent proxies on one clock, to test the sum of what all of them do."""

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


class ProxyFleet:
    """``proxies`` balancers, each with its own timers; every attempt is established at once.

    With ``store_rate``, set-ups per second, each attempt is a call to one session store that serves calls in
    turn, including those that have timed out; rejected clients return after their Retry-After.
    """

    def __init__(
        self,
        proxies: int,
        entries: tuple[Endpoint, ...],
        store_rate: float = 0.0,
        first_seed: int = 1,
        **changes: Any,
    ) -> None:
        self.now = START
        self.store_rate, self.store_free_at = store_rate, START
        self.pending: list[tuple[int, int, int, Event]] = []  # (time, order, proxy, event)
        self.attempts = 0
        self.attempts_at: dict[int, list[int]] = {}  # times by endpoint
        self.balancers = [
            Balancer(settings(proxy_index=proxy, proxy_count=proxies, **changes), seed=first_seed + proxy)
            for proxy in range(proxies)
        ]
        self.timers: list[tuple[int, int, int]] = []
        self.established: dict[tuple[int, int], int] = {}  # (proxy, request) -> endpoint
        self.migrated: Counter[int] = Counter()  # by endpoint
        self.request_count = 0
        self.notify_all(EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))

    def notify_all(self, *events: Event) -> None:
        for proxy in range(len(self.balancers)):
            self.handle(proxy, *events)

    def handle(self, proxy: int, *events: Event) -> None:
        for action in self.balancers[proxy].handle(self.now, list(events)):
            match action:
                case SetTimer(delay, token):
                    heapq.heappush(self.timers, (self.now + max(1, delay), proxy, token))
                case StartAttempt(request, endpoint, timeout):
                    self.attempts += 1
                    self.attempts_at.setdefault(endpoint, []).append(self.now)
                    if self.store_rate:
                        self.call_store(proxy, request, endpoint, timeout)
                        continue
                    self.established[proxy, request] = endpoint
                    self.handle(proxy, ConnectionEstablished(request, 0, endpoint, 10_000))
                case Reject(_, retry_after) if self.store_rate:
                    self.request_count += 1
                    reconnect = RequestArrived(self.request_count, time_left=2_000_000, is_reconnect=True)
                    heapq.heappush(
                        self.pending, (self.now + retry_after, self.request_count, proxy, reconnect)
                    )
                case Migrate(request):
                    endpoint = self.established.pop((proxy, request))
                    self.migrated[endpoint] += 1
                    self.handle(proxy, AttemptEnded(request, 0, endpoint, Outcome.MIGRATED, 0, True))

    def call_store(self, proxy: int, request: int, endpoint: int, timeout: int) -> None:
        self.store_free_at = max(self.store_free_at, self.now) + int(1_000_000 / self.store_rate)
        elapsed = self.store_free_at - self.now + 10_000
        event: Event = ConnectionEstablished(request, 0, endpoint, elapsed)
        if elapsed > timeout:
            event = AttemptEnded(request, 0, endpoint, Outcome.TIMEOUT, timeout)
        heapq.heappush(self.pending, (self.now + min(elapsed, timeout), self.attempts, proxy, event))

    def arrive(self, proxy: int, **fields: Any) -> None:
        self.request_count += 1
        self.handle(proxy, RequestArrived(self.request_count, **({"time_left": 2_000_000} | fields)))

    def adopt(self, proxy: int, endpoint: int, **fields: Any) -> None:
        """Adopt a connection that existed before."""
        self.request_count += 1
        self.established[proxy, self.request_count] = endpoint
        self.handle(
            proxy, ConnectionAdopted(RequestArrived(self.request_count, time_left=0, **fields), endpoint)
        )

    def run(self, duration: int) -> None:
        """Advance the time: fires timers and calls each balancer at least every 100 ms, as traffic would."""
        end = self.now + duration
        while self.now < end:
            stop = min(end, self.now + 100_000)
            while min(self.timers[:1] + self.pending[:1], default=(end + 1,))[0] <= stop:
                if not self.timers or (self.pending and self.pending[:1] < self.timers[:1]):
                    at, _, proxy, event = heapq.heappop(self.pending)
                else:
                    at, proxy, token = heapq.heappop(self.timers)
                    event = TimerFired(token)
                self.now = max(self.now, at)
                if isinstance(event, ConnectionEstablished):
                    self.established[proxy, event.request_id] = event.endpoint_id
                self.handle(proxy, event)
            self.now = stop
            self.notify_all()
