"""Established connections: forwarding until the connection ends."""

from __future__ import annotations

from arrowseam.client_request import Request
from arrowseam.driver import BalancerDriver
from arrowseam.logs import log
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.task import Coroutine
from arrowseam.outcomes import AttemptOutcome
from arrowseam.protocols.session import ClientSession
from arrowseam.request_handling.migration import Migration
from arrowseam.request_handling.statistics import RequestStatistics
from arrowseam.request_handling.tracing import RequestTrace

# An endpoint that answers no message for this long counts as lost: a working one answers within a
# millisecond. This detects a machine that vanishes without closing its connections; otherwise its clients
# would wait for the TCP timeout, which takes minutes.
REPLY_TIMEOUT = SECOND
CLOSE_TIMEOUT = SECOND
HANDOVER_RETRY_INTERVAL = 20 * MS


class ConnectionRunner:
    """Serves established connections."""

    def __init__(
        self,
        driver: BalancerDriver,
        statistics: RequestStatistics,
        trace: RequestTrace,
        migration: Migration,
    ) -> None:
        self.driver, self.statistics, self.trace, self.migration = driver, statistics, trace, migration

    def run(self, request: Request, session: ClientSession) -> Coroutine[None]:
        """Forward until the connection ends, is migrated, or is handed over to another process."""
        while True:
            outcome = session.forward()
            for level in session.take_load_reports():
                self.driver.report_load_or_latency(request, level)
            if outcome is not None:
                yield from self._end(request, session, outcome)
                return
            wake_at = session.next_forward_at()
            waiting_since = session.awaiting_reply_since()
            if waiting_since is not None:
                reply_due = waiting_since + REPLY_TIMEOUT
                if clock() >= reply_due:
                    yield from self._migrate_from_lost_endpoint(request, session)
                    return
                wake_at = reply_due if wake_at is None else min(wake_at, reply_due)
            if request.migration_requested:
                yield from self.migration.migrate(request, session)
                return
            if self.migration.hand_over is not None:
                if self.migration.hand_over(request, session):
                    # Closing our copies of the sockets does not end it: the other process has its own.
                    self.driver.report_outcome(request, AttemptOutcome.MIGRATED)
                    return
                # A message is incomplete, or the channel to the other process is full.
                wake_at = clock() + HANDOVER_RETRY_INTERVAL
            yield wake_at

    def _end(self, request: Request, session: ClientSession, outcome: AttemptOutcome) -> Coroutine[None]:
        if self.trace.enabled:
            self.trace.connection_ended(request, outcome, session.awaiting_reply_since())
        self.statistics.connection_resets += outcome is AttemptOutcome.RESET
        if outcome is AttemptOutcome.CLIENT_DISCONNECTED:
            outcome = AttemptOutcome.MIGRATED
        self.driver.report_outcome(request, outcome)
        request.is_finished = True
        yield from session.close_gracefully(clock() + CLOSE_TIMEOUT)

    def _migrate_from_lost_endpoint(self, request: Request, session: ClientSession) -> Coroutine[None]:
        log("connection.unanswered", f"migrated: {request.name}, its endpoint answers nothing")
        self.driver.report_outcome(request, AttemptOutcome.RESET)
        request.is_finished = True
        yield from session.close_with_message(clock() + CLOSE_TIMEOUT)
