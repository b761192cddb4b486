"""Log lines about single requests, written only while tracing is on."""

from __future__ import annotations

from arrowseam.client_request import Request
from arrowseam.driver import BalancerDriver
from arrowseam.logs import log
from arrowseam.net.clock import MS, clock
from arrowseam.outcomes import AttemptOutcome


class RequestTrace:
    """Logs attempts, rejections, migrations and ends of connections while ``enabled``."""

    def __init__(self, driver: BalancerDriver) -> None:
        self.driver = driver
        self.enabled = False

    def attempt_ended(
        self, request: Request, endpoint: str, outcome: AttemptOutcome, started_at: int
    ) -> None:
        """Log how an attempt ended, ESTABLISHED included."""
        if not self.enabled:
            return
        elapsed_ms = (clock() - started_at) // MS
        group = f", group {request.group:x}" if request.group else ""
        log(
            "attempt.ended",
            f"attempt: {request.name} at {endpoint}: {outcome} after {elapsed_ms} ms{group}",
            "debug",
            endpoint=endpoint,
            outcome=outcome.value,
            ms=elapsed_ms,
            group=request.group,
        )

    def rejected(self, request: Request, retry_after_ms: int) -> None:
        """Log that the balancer has rejected a request."""
        if self.enabled:
            log(
                "request.rejected",
                f"rejected: {request.name}, retry after {retry_after_ms} ms",
                "debug",
                retry_after_ms=retry_after_ms,
            )

    def connection_ended(
        self, request: Request, outcome: AttemptOutcome, awaiting_reply_since: int | None
    ) -> None:
        """Log how an established connection ended."""
        if not self.enabled:
            return
        unanswered = ""
        if awaiting_reply_since is not None:
            unanswered = f", unanswered for {(clock() - awaiting_reply_since) // MS} ms"
        log(
            "connection.ended",
            f"ended: {request.name} at {self._endpoint(request)}: {outcome}{unanswered}",
            "debug",
            outcome=outcome.value,
        )

    def migrated(self, request: Request) -> None:
        """Log that the client of an established connection is asked to reconnect."""
        if self.enabled:
            log("connection.migrated", f"migrated: {request.name} off {self._endpoint(request)}", "debug")

    def _endpoint(self, request: Request) -> str:
        return self.driver.endpoint_names[request.endpoint_id]
