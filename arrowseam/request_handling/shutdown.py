"""Graceful shutdown: established connections are migrated, other clients are answered, the process exits.

The time that it may take follows from the longest deadline of a class: a client that is asked to reconnect
at the last moment must still be served elsewhere.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from arrowseam.client_request import Request
from arrowseam.driver import BalancerDriver
from arrowseam.logs import log
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.listener import Listener
from arrowseam.net.task import Coroutine
from arrowseam.request_handling.migration import Migration

MIGRATION_DELAY = 450 * MS  # clients are still routed here for a while after the signal
DEADLINE_MAX = 3 * SECOND  # longer deadlines are treated as this
TIME_AFTER_DEADLINE = 700 * MS  # from the longest deadline to the end of the process
LAST_MIGRATION_BEFORE_END = 1100 * MS
LISTENING_AFTER_FIRST_MIGRATION = 150 * MS  # minimum
FORCED_END_BEFORE_END = 100 * MS  # answered clients that have not closed are dropped then
MIGRATION_INTERVAL = 50 * MS  # between two batches
CLOSING_INTERVAL = 20 * MS  # between two checks once the listeners are closed


class GracefulShutdown:
    """Drains this process.

    The end is ``TIME_AFTER_DEADLINE`` after the longest deadline, counted from the signal: the process may be
    killed then. Migrations begin ``MIGRATION_DELAY`` after the signal and are spread evenly up to
    ``LAST_MIGRATION_BEFORE_END`` before the end. Then the listeners close, waiting requests are answered,
    and the process exits when none is left, at the latest ``FORCED_END_BEFORE_END`` before the end.

    Attributes:
        listeners: the listeners for clients; closed near the end.
        is_draining: the shutdown has begun.
        is_closing: the listeners are closed; a client that has not sent its request yet is answered.
    """

    def __init__(
        self,
        loop: EventLoop,
        driver: BalancerDriver,
        migration: Migration,
        active: Mapping[int, Request],
        seed: int,
    ) -> None:
        self.loop, self.driver, self.migration, self.active = loop, driver, migration, active
        self.random = random.Random(seed)
        self.listeners: list[Listener] = []
        self.is_draining = False
        self.is_closing = False

    def begin(self) -> None:
        """Start draining; the event loop stops when that is done."""
        if not self.is_draining:
            self.is_draining = True
            log("drain.begun", f"draining: {len(self.active)} requests")
            self.loop.start_task(self._drain(clock()), "drain")

    def _drain(self, begun_at: int) -> Coroutine[None]:
        """Spread the migrations over the available time, then answer all waiting requests.

        Clients that connect meanwhile are accepted and rejected. After the last migration none are accepted,
        and the process does not wait for answered clients that do not close.
        """
        deadline = min(self.driver.config.longest_deadline, DEADLINE_MAX)
        end = begun_at + deadline + TIME_AFTER_DEADLINE
        last_migration_at, forced_end_at = end - LAST_MIGRATION_BEFORE_END, end - FORCED_END_BEFORE_END
        first_migration_at = begun_at + MIGRATION_DELAY
        while clock() < first_migration_at:
            yield first_migration_at
        while True:
            now = clock()
            is_last = now >= last_migration_at
            self._migrate_some(None if is_last else last_migration_at - now)
            if is_last:
                self._answer_waiting()
            may_close = now >= first_migration_at + LISTENING_AFTER_FIRST_MIGRATION
            if not self.is_closing and may_close and (is_last or not self.active):
                self._stop_accepting()
            is_forced = now >= forced_end_at and not self.migration.is_handing_over
            if self.is_closing and (is_forced or not self._is_serving()):
                break
            next_at = now + (CLOSING_INTERVAL if self.is_closing else MIGRATION_INTERVAL)
            while clock() < next_at:
                yield next_at
        log("drain.done", "drained")
        self.loop.stopped = True

    def _migrate_some(self, time_left: int | None) -> None:
        """Migrate an equal share of the remaining connections; all of them if no time is left."""
        established = [
            request
            for request in self.active.values()
            if request.is_established and not request.migration_requested
        ]
        count = len(established)
        if time_left is not None:
            batches_left = max(1, time_left // MIGRATION_INTERVAL)
            count = -(-count // batches_left)  # rounded up
        for request in self.random.sample(established, count):
            self.migration.request_migration(request)

    def _answer_waiting(self) -> None:
        """Have all requests that are not established answered now."""
        for request in self.active.values():
            if not request.is_established and not request.is_aborted:
                request.is_aborted = True
                request.wake()

    def _stop_accepting(self) -> None:
        for listener in self.listeners:
            listener.close()
        self.is_closing = True
        for conn in list(self.loop.expendable):
            self.loop.wake(conn.owner)

    def _is_serving(self) -> bool:
        return (
            bool(self.active)
            or self.migration.is_handover_pending()
            or any(listener.active for listener in self.listeners)
        )
