"""Admission: the concurrency limit on attempts (AIMD) and the queue of waiting requests."""

from __future__ import annotations

from collections.abc import Callable

from arrowseam.balancer.requests import PendingRequest, RequestTable
from arrowseam.balancer.settings import Settings
from arrowseam.balancer.units import NEVER, SECOND

# Concurrent attempts of all proxies together: at the start, before set-up times are known, and the minimum,
# however late set-ups are. A proxy's part may be below one: it then waits between two attempts.
INITIAL_LIMIT = 32.0
MIN_LIMIT = 4.0
MAX_INITIAL_LIMIT = 8.0  # of one proxy; also the most concurrent attempts that may bypass a limit below one
SMALL_LIMIT_GROWTH = 0.25  # fraction by which a limit below one grows for each prompt set-up
SINGLE_ATTEMPT_GAP = SECOND // 10  # minimum between two attempts where the limit is below 2
CONGESTED_TIME = 2 * SECOND  # a proxy counts as congested for this long after its limit was reduced
MIN_CONNECTING = 4.0  # minimum of the concurrency that is halved: with fewer attempts a failure may be chance
RECHECK_INTERVAL = SECOND // 20  # of queued requests; short compared with any latency objective


class AttemptLimiter:
    """Limits concurrent attempts over all endpoints by additive increase, multiplicative decrease (as TCP).

    Guards against overloading what all endpoints share, such as a session store: set-ups then fail or are
    late at every endpoint. Attempts are limited to the number that succeeds in time; other requests wait in
    the queue, where they cause no work.

    Attributes:
        limit: concurrent attempts that this proxy may have.
        setup_time: duration of the last set-up, microseconds.
    """

    def __init__(self, settings: Settings, requests: RequestTable) -> None:
        self.proxy_count = settings.proxy_count
        self.connecting = requests.connecting
        self.limit = min(MAX_INITIAL_LIMIT, INITIAL_LIMIT / settings.proxy_count)
        self.setup_time = settings.classes[0].latency_objective // 2
        self._reduced_at = self._attempted_at = NEVER

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings; the limit stays."""
        self.proxy_count = settings.proxy_count

    def start(self, now: int, random: Callable[[], float]) -> None:
        """Randomize the time of the first attempt: all proxies and their clients may start at once."""
        if self.limit < 1.0:
            self._attempted_at = now - int(random() * self.setup_time / self.limit)

    def is_congested(self, now: int) -> bool:
        """Return whether set-ups failed or were late within ``CONGESTED_TIME``."""
        return now - self._reduced_at < CONGESTED_TIME

    def allows(self, request: PendingRequest, now: int) -> bool:
        """Return whether another attempt may start now.

        New requests are admitted while no set-up is late; returning clients may all come at once. A limit
        below one applies to returning clients: a new request that failed at one endpoint is retried at once.
        """
        connecting = len(self.connecting)
        bypasses_limit = request.is_new or (
            self.limit < 1.0 and not request.is_returning and connecting < MAX_INITIAL_LIMIT
        )
        if (
            bypasses_limit
            and not self.is_congested(now)
            and self.limit >= min(1.0, INITIAL_LIMIT / self.proxy_count)
        ):
            return True
        gap = 0 if self.limit >= 2.0 else max(SINGLE_ATTEMPT_GAP, int(self.setup_time / self.limit))
        return connecting < self.limit and now - self._attempted_at >= gap

    def on_attempt(self, now: int) -> None:
        """Record that an attempt was started."""
        self._attempted_at = now

    def on_established(self, elapsed: int, objective: int, now: int) -> bool:
        """Record a set-up that succeeded after ``elapsed``; return whether the limit was reduced."""
        self.setup_time = elapsed
        if elapsed > objective > 0:
            return self._reduce(objective, now)
        if 2 * elapsed <= objective and 2 * len(self.connecting) + 2 >= self.limit:
            self.limit += 1.0 if self.limit >= 1.0 else SMALL_LIMIT_GROWTH * self.limit
        return False

    def on_failed(self, elapsed: int, objective: int, now: int) -> bool:
        """Record a set-up that failed after ``elapsed``; return whether the limit was reduced."""
        self.setup_time = elapsed
        return self._reduce(objective, now)

    def _reduce(self, objective: int, now: int) -> bool:
        """Halve the limit, at most once per latency objective."""
        if now - self._reduced_at < objective:
            return False
        self._reduced_at = now
        minimum = min(1.0, MIN_LIMIT / self.proxy_count)
        self.limit = max(minimum, min(self.limit, max(len(self.connecting), MIN_CONNECTING)) / 2.0)
        return True


class RequestQueue:
    """Requests that could not be placed yet, oldest first.

    Attributes:
        requests: by id.
        recheck_set: the timer that re-evaluates them is running.
    """

    def __init__(self) -> None:
        self.requests: dict[int, PendingRequest] = {}
        self.recheck_set = False

    def recheck_delay(self, random: Callable[[], float]) -> int:
        """Return the time until the next re-evaluation, microseconds."""
        return int(RECHECK_INTERVAL * (0.5 + random()))
