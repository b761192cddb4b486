"""Retries: whether and where a request may be attempted again, attempt timeouts, and the final answer."""

from __future__ import annotations

from collections.abc import Callable

from arrowseam.balancer.actions import Fail, Reject
from arrowseam.balancer.endpoints import EndpointRecord
from arrowseam.balancer.requests import PendingRequest
from arrowseam.balancer.settings import DeduplicationScope, Idempotency, Limits
from arrowseam.balancer.units import SECOND

# With less than this part of the latency objective left, an attempt would fail but still cost the endpoint
# work, and its timeout would look like overload.
MIN_TIME_FRACTION = 0.25
MAX_ERRORS = 2  # endpoints that answer one request with an error: then the request is at fault
RETRY_AFTER_BASE = SECOND  # a rejected client is asked to wait 0.1 to 0.5 of this


def may_attempt(request: PendingRequest, limits: Limits, time_left: int) -> bool:
    """Return whether another attempt is allowed, with this much time until the deadline.

    A new request may be attempted with little time left; a further attempt needs ``MIN_TIME_FRACTION``.
    """
    if time_left <= 0 or request.attempts >= min(request.max_attempts, limits.max_attempts):
        return False
    if request.error_count >= MAX_ERRORS:
        return False
    return request.is_new or time_left >= MIN_TIME_FRACTION * request.request_class.latency_objective


def allowed_endpoints(
    request: PendingRequest, ready: list[EndpointRecord], now: int
) -> list[EndpointRecord] | None:
    """Return where the next attempt may go; None = anywhere.

    Guards against a request that takes effect twice: once an attempt may have run, the next one goes only to
    endpoints where a retry is harmless, and only while they remember its key.
    """
    first, request_class = request.executed_on, request.request_class
    if first is None or request_class.idempotency is Idempotency.IDEMPOTENT:
        return None
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return []
    if now - request.executed_at >= request_class.deduplication_window:
        return []
    if request_class.deduplication_scope is DeduplicationScope.ZONE:
        return [endpoint for endpoint in ready if endpoint.zone == first.zone]
    if request_class.deduplication_scope is DeduplicationScope.CELL:
        if first.cell is None:  # no other endpoint is known to share it
            return []
        return [endpoint for endpoint in ready if endpoint.cell == first.cell]
    return None


def is_within_deduplication(request: PendingRequest, now: int) -> bool:
    """Return whether an attempt that starts now is harmless even if an earlier one has run."""
    if request.executed_on is None or request.request_class.idempotency is not Idempotency.KEYED:
        return True
    return now - request.executed_at < request.request_class.deduplication_window


def attempt_timeout(request: PendingRequest, limits: Limits, time_left: int, congested: bool) -> int:
    """Return a timeout that leaves time for later attempts, microseconds.

    The last attempt gets all the time left, and so does every attempt while the proxy is congested.
    """
    attempts_left = min(request.max_attempts, limits.max_attempts) - request.attempts
    if attempts_left <= 1 or congested:
        return time_left
    objective = request.request_class.latency_objective
    return min(time_left, max(time_left // attempts_left, min(objective, time_left // 2)))


def final_answer(request: PendingRequest, limits: Limits, random: Callable[[], float]) -> Reject | Fail:
    """Return a rejection if the request certainly had no effect or a retry is harmless, else a failure.

    A retry of a keyed request counts as harmless if all endpoints know its key, assuming that the client
    retries within the deduplication window.
    """
    request_class = request.request_class
    harmless = request_class.idempotency is Idempotency.IDEMPOTENT or (
        request_class.idempotency is Idempotency.KEYED
        and request_class.deduplication_scope is DeduplicationScope.ALL
    )
    if request.executed_on is None or harmless:
        return Reject(request.request_id, retry_after(limits, random))
    return Fail(request.request_id)


def retry_after(limits: Limits, random: Callable[[], float]) -> int:
    """Return when a rejected client may retry, microseconds; random, so that not all retry at once."""
    if not limits.retry_after_allowed:
        return 0
    return int(min(limits.max_retry_after, RETRY_AFTER_BASE) * (0.1 + 0.4 * random()))
