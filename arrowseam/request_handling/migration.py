"""Moves established connections to another endpoint, or to another process of this proxy."""

from __future__ import annotations

from collections.abc import Callable

from arrowseam.client_request import Request
from arrowseam.driver import BalancerDriver
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.task import Coroutine
from arrowseam.outcomes import AttemptOutcome
from arrowseam.protocols.session import ClientSession
from arrowseam.request_handling.tracing import RequestTrace

MESSAGE_TIMEOUT = SECOND  # for sending the migration message, between two forwarded messages


def _nothing_pending() -> bool:
    return False


class Migration:
    """Migrates connections, and keeps the callbacks that hand them over during a hot restart.

    Attributes:
        hand_over: sends a connection to the new process, False if that is not possible now; None = no hot
            restart is under way, or this is the new process.
        is_handover_pending: whether data of handed-over connections is still to be sent.
    """

    def __init__(self, driver: BalancerDriver, trace: RequestTrace) -> None:
        self.driver, self.trace = driver, trace
        self.hand_over: Callable[[Request, ClientSession], bool] | None = None
        self.is_handover_pending: Callable[[], bool] = _nothing_pending

    @property
    def is_handing_over(self) -> bool:
        """Whether established connections are handed to another process."""
        return self.hand_over is not None

    def request_migration(self, request: Request) -> None:
        """Have the request's coroutine migrate its connection."""
        request.migration_requested = True
        request.wake()

    def migrate(self, request: Request, session: ClientSession) -> Coroutine[None]:
        """Ask the client to reconnect, and close both sides."""
        self.trace.migrated(request)
        yield from session.close_with_message(clock() + MESSAGE_TIMEOUT)
        self.driver.report_outcome(request, AttemptOutcome.MIGRATED)
