"""Placement of a request without a connection: its next attempt, the queue, or its final answer."""

from __future__ import annotations

from collections.abc import Callable

from arrowseam.balancer.actions import Action, SetTimer, StartAttempt
from arrowseam.balancer.admission import AttemptLimiter, RequestQueue
from arrowseam.balancer.endpoints import EndpointRecord
from arrowseam.balancer.load_shedding import LoadShedder
from arrowseam.balancer.requests import PendingRequest, RequestTable
from arrowseam.balancer.retries import (
    MIN_TIME_FRACTION,
    allowed_endpoints,
    attempt_timeout,
    final_answer,
    may_attempt,
)
from arrowseam.balancer.selection import Selector
from arrowseam.balancer.settings import Settings
from arrowseam.balancer.shares import EndpointShares
from arrowseam.balancer.timers import QUEUE_TIMER

MARGIN_RESOLUTIONS = 2  # before a deadline: a timer may fire one resolution late, an answer must not be late


class RequestPlacer:
    """Places new requests and those whose attempt failed, and re-evaluates queued ones."""

    def __init__(
        self,
        settings: Settings,
        random: Callable[[], float],
        shares: EndpointShares,
        requests: RequestTable,
        queue: RequestQueue,
        shedder: LoadShedder,
        limiter: AttemptLimiter,
        selector: Selector,
        refresh_shares: Callable[[], None],
    ) -> None:
        self.settings, self.random = settings, random
        self.shares, self.requests, self.queue = shares, requests, queue
        self.shedder, self.limiter, self.selector = shedder, limiter, selector
        self.refresh_shares = refresh_shares

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings

    def place(self, request: PendingRequest, now: int, actions: list[Action]) -> None:
        """Start the request's next attempt, queue it, or give its final answer."""
        if self.shares.outdated:
            self.refresh_shares()
        limits, time_left = self.settings.limits, request.deadline - now
        if not may_attempt(request, limits, time_left):
            self.answer(request, actions)
            return
        endpoint = self._choose_endpoint(request, now)
        if endpoint is None:
            self._queue_or_answer(request, time_left, now, actions)
            return
        timeout = attempt_timeout(request, limits, time_left, self.limiter.is_congested(now))
        request.attempts += 1
        request.tried.append(endpoint)
        endpoint.awaits_first_attempt = False
        self.limiter.on_attempt(now)
        self.requests.connecting.add(request.request_id)
        self.requests.reserve(request, endpoint)
        actions.append(StartAttempt(request.request_id, endpoint.endpoint_id, timeout))

    def answer(self, request: PendingRequest, actions: list[Action]) -> None:
        """Give the final answer and remove the request."""
        del self.requests.by_id[request.request_id]
        actions.append(final_answer(request, self.settings.limits, self.random))

    def recheck_queue(self, now: int, actions: list[Action]) -> None:
        """Place queued requests, newest first, until one cannot be placed: older ones could not be either.

        Guards against a backlog from which only requests close to their deadline are sent, so that every
        set-up times out and looks like overload.
        """
        queued = self.queue.requests
        for request in reversed(list(queued.values())):
            del queued[request.request_id]
            self.place(request, now, actions)
            if request.request_id in queued:
                break
        self.queue.recheck_set = bool(queued)
        if queued:
            self._set_recheck_timer(actions)

    def _choose_endpoint(self, request: PendingRequest, now: int) -> EndpointRecord | None:
        if not self.shedder.admits(request, now) or not self.limiter.allows(request, now):
            return None
        if self.shedder.is_overloaded(now):
            return None
        return self.selector.draw_endpoint(request, now)

    def _queue_or_answer(
        self, request: PendingRequest, time_left: int, now: int, actions: list[Action]
    ) -> None:
        """Queue a request that no endpoint was chosen for, or answer it if waiting cannot help.

        When its timer removes it from the queue, it is answered if it still cannot be placed.
        """
        timer_margin = MARGIN_RESOLUTIONS * self.settings.timer_resolution
        margin = max(timer_margin, MIN_TIME_FRACTION * request.request_class.latency_objective)
        ready = self.shares.ready
        all_tried = bool(request.tried) and all(endpoint in request.tried for endpoint in ready)
        too_late = time_left <= max(2 * timer_margin, margin)
        if too_late or all_tried or allowed_endpoints(request, ready, now) == []:
            self.answer(request, actions)
            return
        self.queue.requests[request.request_id] = request
        actions.append(SetTimer(int(time_left - margin) + 1, request.request_id))
        if not self.queue.recheck_set:
            self.queue.recheck_set = True
            self._set_recheck_timer(actions)

    def _set_recheck_timer(self, actions: list[Action]) -> None:
        actions.append(SetTimer(self.queue.recheck_delay(self.random), QUEUE_TIMER))
