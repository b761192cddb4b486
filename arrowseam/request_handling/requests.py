"""Serves requests, each from the client's opening to the end of its connection.

It enforces the order: one attempt at a time, one final answer, then the established connection until its
migration or end. Protocols supply a ``ClientSession``; the balancer, through its driver, chooses endpoints.
"""

from __future__ import annotations

from collections.abc import Callable

from arrowseam.client_request import Request
from arrowseam.config.proxy import Config
from arrowseam.driver import BalancerDriver
from arrowseam.logs import log
from arrowseam.net.clock import MS
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine
from arrowseam.protocols.session import ClientSession
from arrowseam.request_handling.attempts import AttemptRunner
from arrowseam.request_handling.connections import ConnectionRunner
from arrowseam.request_handling.migration import Migration
from arrowseam.request_handling.shutdown import GracefulShutdown
from arrowseam.request_handling.statistics import FinalAnswer, RequestStatistics
from arrowseam.request_handling.tracing import RequestTrace

RETRY_AFTER_MS = 500  # for rejections that the balancer did not decide


def _do_nothing() -> None:
    pass


class RequestHandler:
    """Serves the requests of all protocols.

    Attributes:
        active: the requests in progress, by a number that is local to this process.
        refresh_endpoints: asks the discovery service for the endpoint list; True = for the complete one.
        check_health: starts a health check of an endpoint. Both are set when the proxy is assembled.
    """

    def __init__(self, loop: EventLoop, driver: BalancerDriver) -> None:
        self.loop, self.driver = loop, driver
        self.refresh_endpoints: Callable[[bool], None] | None = None
        self.check_health: Callable[[str], None] | None = None
        self.statistics = RequestStatistics()
        self.trace = RequestTrace(driver)
        self.active: dict[int, Request] = {}
        self._last_number = 0
        self.attempts = AttemptRunner(driver, self.statistics, self.trace)
        self.migration = Migration(driver, self.trace)
        self.connections = ConnectionRunner(driver, self.statistics, self.trace, self.migration)
        self.shutdown = GracefulShutdown(loop, driver, self.migration, self.active, driver.config.seed)
        loop.on_round = self.run_balancer

    @property
    def config(self) -> Config:
        """The settings in effect."""
        return self.driver.config

    @property
    def is_draining(self) -> bool:
        """Whether this process is shutting down."""
        return self.shutdown.is_draining

    @property
    def is_closing(self) -> bool:
        """Whether the listeners are closed and clients without a request are rejected."""
        return self.shutdown.is_closing

    @property
    def is_tracing(self) -> bool:
        """Whether attempts, ends of connections and invalid openings are logged."""
        return self.trace.enabled

    @property
    def connection_count(self) -> int:
        """Clients in service, without those that have got their final answer and still have to close."""
        return sum(not request.is_finished for request in self.active.values())

    @property
    def retry_after_ms(self) -> int:
        """The retry time of rejections that the balancer did not decide; 0 if the settings allow none."""
        limits = self.config.settings.limits
        return min(RETRY_AFTER_MS, limits.max_retry_after // MS) if limits.retry_after_allowed else 0

    def run_balancer(self, now: int) -> int | None:
        """Run the balancer's timers and carry out its actions, once per round of the event loop.

        Returns the latest time for the next call.
        """
        pending = self.driver.run_timers(now)
        for text in pending.log_messages:
            log("balancer.message", f"balancer: {text}")
        if pending.refresh_endpoints and self.refresh_endpoints is not None:
            self.refresh_endpoints(False)
        if self.check_health is not None:
            for endpoint in pending.health_checks:
                self.check_health(endpoint)
        for request in pending.migrations:
            self.migration.request_migration(request)
        return pending.wake_at

    # --- one request ---

    def serve(self, request: Request, session: ClientSession) -> Coroutine[None]:
        """Serve a client from the opening that its protocol has read to the end of its connection."""
        if self.is_draining and not self.migration.is_handing_over:
            # Its opening was read after the shutdown began: an endpoint might answer too late.
            self.statistics.record_answer(request, FinalAnswer.REJECTED)
            yield from session.send_rejection(self.retry_after_ms)
            return
        yield from self._run(request, session, self._connect_and_serve)

    def take_over(self, request: Request, session: ClientSession) -> Coroutine[None]:
        """Continue a connection that was established by another process of this proxy."""
        yield from self._run(request, session, self._adopt_and_serve)

    def _run(
        self,
        request: Request,
        session: ClientSession,
        serve: Callable[[Request, ClientSession], Coroutine[None]],
    ) -> Coroutine[None]:
        self._last_number += 1
        number = self._last_number
        self.active[number] = request
        task = self.loop.current_task
        request.wake = lambda: self.loop.wake(task)
        session.on_opening_sent = lambda: self._on_opening_sent(request)
        session.may_send_opening = lambda: self._may_send_opening(request)
        try:
            yield from serve(request, session)
        except Exception:
            # After an unexpected error the balancer must drop the request, and the client needs an answer.
            self.driver.abandon(request)
            if not request.is_established:
                self.statistics.record_answer(request, FinalAnswer.FAILED)
                yield from session.send_failure()
            raise
        finally:
            session.close()
            self.driver.abandon(request)
            del self.active[number]
            # These callbacks form reference cycles, which only the garbage collector would free.
            request.release_callbacks()
            session.on_opening_sent = _do_nothing
            session.may_send_opening = bool

    def _connect_and_serve(self, request: Request, session: ClientSession) -> Coroutine[None]:
        connect = self.attempts.reestablish if request.adopted_endpoint else self.attempts.establish
        self.loop.reserved_for_attempts += 1
        try:
            is_established = yield from connect(request, session)
        finally:
            self.loop.reserved_for_attempts -= 1
        if is_established:
            yield from self.connections.run(request, session)

    def _adopt_and_serve(self, request: Request, session: ClientSession) -> Coroutine[None]:
        self.driver.adopt(request)
        yield from self.connections.run(request, session)

    def _on_opening_sent(self, request: Request) -> None:
        request.opening_sent = True
        self.statistics.openings_sent += 1

    def _may_send_opening(self, request: Request) -> bool:
        """Whether the opening may be sent now: the client is connected, and the attempt is not cancelled."""
        self.loop.poll_if_stale()
        if request.adopted_endpoint:
            return not request.has_client_left()
        return not request.should_stop_attempt() and self.driver.may_start_attempt(request)

    # --- hot restart ---

    def begin_handover(
        self, hand_over: Callable[[Request, ClientSession], bool], is_pending: Callable[[], bool]
    ) -> None:
        """Hand over established connections from now on, new ones once they are established."""
        self.migration.hand_over, self.migration.is_handover_pending = hand_over, is_pending
        for request in self.active.values():
            request.wake()
