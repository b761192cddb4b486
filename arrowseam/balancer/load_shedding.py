"""Load shedding: a limit on the load of this proxy while messages are slow at most endpoints."""

from __future__ import annotations

import math
from collections.abc import Callable, Sized

from arrowseam.balancer.health_checks import REPORT_LIFETIME
from arrowseam.balancer.requests import PendingRequest, RequestTable
from arrowseam.balancer.settings import Settings
from arrowseam.balancer.units import NEVER, SECOND

WIDESPREAD_FRACTION = 0.5  # of the load, on slow endpoints: with more no endpoint is better than another
SLOW_REPORT_LIFETIME = 3 * SECOND // 2  # slow messages are reported once a second
REDUCTION_FRACTION = 0.15  # of the limit, at most once per REDUCTION_INTERVAL
REDUCTION_INTERVAL = SECOND
RECENT_INTERVALS = 3  # after this many without one, a reduction starts again from the current load
REACHED_FRACTION = 0.8  # of the limit; below, endpoints have shed load and need time, not a lower limit
# The limit recovers fast while it is far below ``load_at_overload``, then slowly, as in TCP CUBIC.
RECOVERY_RATE = 0.2  # a second, of the difference between ``load_at_overload`` and the limit
PROBING_RATE = 0.03  # a second, of ``load_at_overload``, in addition
MIN_LIMIT_FRACTION = 0.25  # of ``load_at_overload``: the rest shows whether messages are in time again
EVICTION_CANDIDATES = 8  # connections drawn for each one evicted
RESERVED_FRACTION = 0.5  # of the limit, withheld from requests of the least priority weight for their load


class LoadShedder:
    """Reduces the load of this proxy while messages are slow at most endpoints, and lets it recover after.

    Guards against a surge in the load of open connections: messages become slow at every endpoint, and
    migrating clients among overloaded endpoints only adds set-ups. Some clients must wait without a
    connection until the others are served in time.

    Attributes:
        limit: load that this proxy may have; infinite without an overload.
        load_at_overload: load when the current or last overload began.
    """

    def __init__(
        self, settings: Settings, random: Callable[[], float], requests: RequestTable, queued: Sized
    ) -> None:
        self.random, self.requests, self.queued = random, requests, queued
        self.limit = math.inf
        self.load_at_overload = 0.0
        self._limit_at = self._reduced_at = NEVER
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings
        # Where slow messages are not reported, load reports are used instead, which are less frequent.
        self.slow_lifetime = SLOW_REPORT_LIFETIME if settings.reports_latency else REPORT_LIFETIME

    def overloaded_load_fraction(self, now: int) -> float:
        """Return the part of this proxy's load that is on endpoints with slow messages."""
        lifetime, total = self.slow_lifetime, self.requests.load
        slow = sum(e.load for e in self.requests.serving.values() if now - e.overloaded_at < lifetime)
        return slow / total if total > 0.0 else 0.0

    def is_widespread(self, now: int) -> bool:
        """Return whether messages are slow at most endpoints."""
        return self.overloaded_load_fraction(now) > WIDESPREAD_FRACTION

    def admits(self, request: PendingRequest, now: int) -> bool:
        """Return whether the request's load fits below the limit, which is first advanced to now."""
        if self.limit == math.inf:
            return True
        fraction = self._admitted_fraction(request)
        return self.requests.load + request.load <= fraction * self._advance_limit(now)

    def is_overloaded(self, now: int) -> bool:
        """Return whether no load may be added: a limit is set and messages are slow at most endpoints."""
        return self.limit < math.inf and self.is_widespread(now)

    def _admitted_fraction(self, request: PendingRequest) -> float:
        """Return the part of the limit up to which a request is admitted, by priority weight for its load.

        Guards against admission in order of arrival during an overload: one connection of high load and low
        priority weight takes capacity that would serve several others.
        """
        weight = request.request_class.priority_weight
        if weight <= 0.0:
            return 1.0
        loads = [
            (estimate.load or 1.0) / request_class.priority_weight
            for estimate, request_class in zip(self.requests.class_loads, self.settings.classes)
            if request_class.priority_weight > 0.0
        ]
        least = min(loads, default=0.0)
        return 1.0 - RESERVED_FRACTION * (1.0 - min(1.0, least * weight / request.load))

    def _advance_limit(self, now: int) -> float:
        """Advance the limit to now and return it; it is removed when far above the current load."""
        if not self.is_widespread(now):
            growth = (
                RECOVERY_RATE * max(0.0, self.load_at_overload - self.limit)
                + PROBING_RATE * self.load_at_overload
            )
            self.limit += growth * (now - self._limit_at) / SECOND
            if self.limit > 2.0 * self.requests.load + 1.0 and not self.queued:
                self.limit = math.inf
        self._limit_at = now
        return self.limit

    def may_reduce(self, now: int) -> bool:
        """Return whether ``REDUCTION_INTERVAL`` has passed since the last reduction."""
        return now - self._reduced_at >= REDUCTION_INTERVAL

    def reduce(self, now: int) -> None:
        """Reduce the limit."""
        load = self.requests.load
        if now - self._reduced_at > RECENT_INTERVALS * REDUCTION_INTERVAL:
            self.load_at_overload = self.limit = min(load, self.limit)
        self._reduced_at = self._limit_at = now
        if load >= REACHED_FRACTION * self.limit:
            self.limit = max(
                (1.0 - REDUCTION_FRACTION) * self.limit, MIN_LIMIT_FRACTION * self.load_at_overload
            )

    def evict(self, now: int) -> list[int]:
        """Return the connections to migrate so that the load falls to the limit.

        Each is the one with the most load for its priority weight among some drawn on slow endpoints.
        """
        requests, random = self.requests, self.random
        slow = [e for e in requests.serving.values() if now - e.overloaded_at < self.slow_lifetime]
        candidates = [request_id for endpoint in slow for request_id in endpoint.established]
        excess = requests.load - self.limit
        evicted = []
        while excess > 0.0 and candidates:
            draws = [int(random() * len(candidates)) for _ in range(EVICTION_CANDIDATES)]
            index = max(draws, key=lambda i: requests.load_per_weight(candidates[i]))
            candidates[index], candidates[-1] = candidates[-1], candidates[index]
            request = requests.by_id[candidates.pop()]
            if request.load > excess and random() > excess / request.load:
                break
            excess -= request.load
            if request.endpoint is not None:
                requests.unlist_established(request.request_id, request.endpoint)
            evicted.append(request.request_id)
        return evicted
