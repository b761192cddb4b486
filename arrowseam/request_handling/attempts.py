"""Attempts: from a request to an established connection, or to the client's final answer."""

from __future__ import annotations

from arrowseam.address import Address, parse_address
from arrowseam.client_request import Attempt, ClientDisconnected, Rejected, Request
from arrowseam.driver import BalancerDriver
from arrowseam.logs import log
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.task import Coroutine
from arrowseam.outcomes import AttemptOutcome
from arrowseam.protocols.session import ClientSession
from arrowseam.request_handling.statistics import FinalAnswer, RequestStatistics
from arrowseam.request_handling.tracing import RequestTrace

RECONNECT_INTERVAL = 200 * MS  # between two attempts to reach the endpoint of an established connection
CLOSE_TIMEOUT = SECOND


class AttemptRunner:
    """Makes the attempts that the balancer asks for, one at a time for each request.

    An attempt is closed before the next begins, and each client gets exactly one final answer.
    """

    def __init__(self, driver: BalancerDriver, statistics: RequestStatistics, trace: RequestTrace) -> None:
        self.driver, self.statistics, self.trace = driver, statistics, trace

    def establish(self, request: Request, session: ClientSession) -> Coroutine[bool]:
        """Try one endpoint after another, as the balancer chooses them.

        True once the connection is established; False after a final answer, or if the client has left.
        """
        started_at = clock()
        while True:
            answer = yield from self.driver.next_step(request)
            if isinstance(answer, Attempt):
                outcome = yield from self._attempt(request, session, answer)
                if outcome is AttemptOutcome.ESTABLISHED:
                    self.statistics.record_established(started_at)
                    self.statistics.record_answer(request, FinalAnswer.SUCCESS)
                    self.driver.report_outcome(request, outcome)
                    return True
                if outcome is AttemptOutcome.COMPLETED:
                    self.statistics.record_answer(request, FinalAnswer.SUCCESS)
                    self.driver.report_outcome(request, outcome)
                    request.is_finished = True
                    yield from session.close_gracefully(clock() + CLOSE_TIMEOUT)
                    return False
                self.driver.report_outcome(request, outcome)
            elif isinstance(answer, ClientDisconnected):
                return False
            elif isinstance(answer, Rejected):
                self.trace.rejected(request, answer.retry_after_ms)
                self.statistics.record_answer(request, FinalAnswer.REJECTED)
                yield from session.send_rejection(answer.retry_after_ms)
                return False
            else:
                self.statistics.record_answer(request, FinalAnswer.FAILED)
                yield from session.send_failure()
                return False

    def _attempt(
        self, request: Request, session: ClientSession, attempt: Attempt
    ) -> Coroutine[AttemptOutcome]:
        address = self.endpoint_address(attempt.endpoint)
        outcome = AttemptOutcome.UNREACHABLE
        if address is not None:
            outcome = yield from session.attempt(
                attempt.endpoint, address, attempt.deadline, request.should_stop_attempt
            )
        self.trace.attempt_ended(request, attempt.endpoint, outcome, request.attempt_started_at)
        if outcome is AttemptOutcome.CANCELLED:
            return AttemptOutcome.MIGRATED if request.opening_sent else AttemptOutcome.NOT_SENT
        return outcome

    def reestablish(self, request: Request, session: ClientSession) -> Coroutine[bool]:
        """Connect a client to the endpoint that had its connection before this process started.

        No other endpoint has the connection's state, so none is tried. False after a final answer, or if the
        client has left.
        """
        endpoint = request.adopted_endpoint
        while not request.has_client_left():
            address = self.endpoint_address(endpoint)
            if address is not None:
                started_at = clock()
                outcome = yield from session.attempt(
                    endpoint, address, request.deadline, request.has_client_left
                )
                self.trace.attempt_ended(request, endpoint, outcome, started_at)
                if outcome is AttemptOutcome.ESTABLISHED:
                    self.statistics.record_answer(request, FinalAnswer.SUCCESS)
                    self.driver.adopt(request)
                    return True
                log(
                    "connection.not_adopted",
                    f"connection {request.name} not re-established at {endpoint}: {outcome}",
                )
            if clock() + RECONNECT_INTERVAL >= request.deadline:
                self.statistics.record_answer(request, FinalAnswer.FAILED)
                yield from session.send_failure()
                return False
            retry_at = clock() + RECONNECT_INTERVAL
            while clock() < retry_at and not request.has_client_left():
                yield retry_at
        return False

    def endpoint_address(self, endpoint: str) -> Address | None:
        """The address of an endpoint; None if no list has given one in the form HOST:PORT."""
        text = self.driver.addresses.get(endpoint)
        try:
            return parse_address(text) if text else None
        except ValueError:
            return None
