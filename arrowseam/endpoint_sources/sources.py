"""The endpoint sources of one proxy, files and the discovery service; publishes their merged list.

Validation and the precedence of sources are in ``validation.py`` and ``merge.py``. Work that grows with the
length of a list is split into batches of ``ENDPOINTS_PER_ROUND``, one for each round of the event loop, so
that clients are not delayed.
"""

from __future__ import annotations

import gc
from collections.abc import Iterable, Iterator
from typing import Any

from arrowseam.balancer.events import UpdateKind
from arrowseam.config.operator import Operator, Servers
from arrowseam.config.proxy import Config, ConfigError
from arrowseam.driver import BalancerDriver
from arrowseam.endpoint_sources import status
from arrowseam.endpoint_sources.file_sources import FileSources
from arrowseam.endpoint_sources.merge import MergedEndpointList
from arrowseam.endpoint_sources.records import REMOVED, EndpointRecord, create_update, read_records
from arrowseam.endpoint_sources.source_state import DISCOVERY_SOURCE, INITIAL_SOURCE, Origin, SourceSettings
from arrowseam.endpoint_sources.wall_clock import unix_ms
from arrowseam.logs import log
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine

INITIAL_LOAD_TIMEOUT = 3 * SECOND  # how long a starting proxy keeps clients waiting for the files
INITIAL_LIST = SourceSettings(INITIAL_SOURCE, -1, SECOND // 2, 30 * SECOND)
ENDPOINTS_PER_ROUND = 100  # evaluated and published in one round of the event loop
FREEZE_AFTER = 1000  # published endpoints


class EndpointSources:
    """Merges the sources and publishes the merged list to the driver."""

    def __init__(
        self, loop: EventLoop, config: Config, driver: BalancerDriver, operator: Operator, state: Any = None
    ) -> None:
        """``state`` is what the previous process of this proxy exported at a hot restart."""
        self.loop, self.config, self.driver = loop, config, driver
        self.merged = MergedEndpointList()
        self.merged.has_connections = lambda name: driver.connection_count(name) > 0
        self._published_since_freeze = 0
        self._is_update_unfinished = False  # the last update announced another one
        self.publisher = loop.start_task(self._publish(), "endpoint sources")
        self.files = FileSources(loop, self.merged, config.name, self._on_file_reported)
        self._use_initial_list()
        self.configure(operator)
        if state is not None:
            try:
                self.merged.import_state(state, clock())
            except (KeyError, TypeError, ValueError) as error:
                log("snapshot.refused", f"sources: handed-over state is invalid: {error!r}", "warning")
        # The balancer starts with the first update, and only then polls the discovery service.
        driver.update_endpoints(create_update(UpdateKind.SECONDARY_DELTA, 0, (), config, driver.endpoint_ids))
        loop.wake(self.publisher)

    def _use_initial_list(self) -> None:
        """Without a discovery service, use the configuration's list until the files have been read."""
        if self.config.discovery:
            return
        try:
            _, _, records = read_records(self.config.known_endpoints)
        except ConfigError as error:
            log("discovery.invalid_initial_list", f"sources: initial list is invalid: {error}")
            return
        if records:
            self.merged.configure([INITIAL_LIST])
            self.merged.report_list(INITIAL_SOURCE, records, clock(), origin=Origin.INITIAL)

    # --- configuration ---

    def configure(self, operator: Operator) -> None:
        """Set the sources from the operator file."""
        settings = {servers.name: servers for servers in operator.servers}
        self.files.configure(settings, operator.state_dir)
        sources = [SourceSettings(DISCOVERY_SOURCE)] if self.config.discovery else []
        sources += [_source_settings(servers) for servers in settings.values()]
        previous = set(self.merged.sources)
        self.merged.configure(sources)
        self._log_retired(previous)
        self.files.watch()
        self.loop.wake(self.publisher)

    def republish_endpoints(self) -> None:
        """Publish all endpoints again: positions of zones or machine types have changed."""
        self.merged.republish_all()
        self.loop.wake(self.publisher)

    def allow_large_removal(self, name: str) -> bool:
        """Accept one large removal of a source; False if there is no such source."""
        return self.files.allow_large_removal(name)

    def _log_retired(self, names: Iterable[str]) -> None:
        for name in names:
            if self.merged.is_retired(name):
                log("source.retired", f"sources: {name} is no longer a source", source=name)

    # --- reports of the sources ---

    def on_discovery_update(self, kind: UpdateKind, version: int, records: list[EndpointRecord]) -> None:
        """Handle an answer of the discovery service: a snapshot, a cached snapshot or a delta."""
        if DISCOVERY_SOURCE not in self.merged.sources:
            return  # it is no longer configured
        now, taken_at_ms = clock(), unix_ms()
        present = [record for record in records if record.state != REMOVED]
        if kind is UpdateKind.DELTA:
            changed = {record.name: record for record in present}
            removed = [record.name for record in records if record.state == REMOVED]
            self.merged.report_change(
                DISCOVERY_SOURCE, changed, removed, now, version, taken_at_ms, Origin.DISCOVERY
            )
        else:
            self.merged.report_list(DISCOVERY_SOURCE, present, now, version, taken_at_ms, Origin.DISCOVERY)
        if kind is not UpdateKind.CACHED_SNAPSHOT:
            # An empty update: the balancer waits for the answer to its call.
            self.driver.update_endpoints(
                create_update(UpdateKind.DELTA, version, (), self.config, self.driver.endpoint_ids)
            )
        self.loop.wake(self.publisher)

    def _on_file_reported(self, previous_sources: set[str]) -> None:
        self._log_retired(previous_sources)
        self.loop.wake(self.publisher)

    # --- publishing ---

    def _publish(self) -> Coroutine[None]:
        while True:
            started_at = clock()
            changes = self.merged.take_changes(started_at, ENDPOINTS_PER_ROUND)
            more_follows = self.merged.has_changes
            if changes or (self._is_update_unfinished and not more_follows):
                self._publish_changes(changes, more_follows)
            self.files.busy_time += clock() - started_at
            if more_follows:
                yield from self.loop.yield_turn()
            elif not self.merged.has_changes:
                yield self.merged.next_change_at()

    def _publish_changes(self, changes: list[EndpointRecord], more_follows: bool) -> None:
        ids = self.driver.endpoint_ids
        update = create_update(UpdateKind.SECONDARY_DELTA, 0, changes, self.config, ids, more_follows)
        self.driver.update_endpoints(update)
        self._is_update_unfinished = more_follows
        self._published_since_freeze += len(changes)
        if not more_follows and self._published_since_freeze >= FREEZE_AFTER:
            # Otherwise each full garbage collection traverses tens of thousands of long-lived objects, which
            # takes 20 ms at 10,000 endpoints and delays all clients. Objects of a connection are freed
            # without the collector (``RequestHandler._run``), so freezing leaks none of them.
            self._published_since_freeze = 0
            gc.freeze()

    @property
    def is_loaded(self) -> bool:
        """Whether each file has been read and all changes are published."""
        return (
            self.files.first_read_done >= self.files.settings.keys()
            and not self.merged.has_changes
            and not self._is_update_unfinished
        )

    # --- control and hot restart ---

    def counter_lines(self) -> Iterator[str]:
        """Yield the lines for control's ``counters``."""
        return status.counter_lines(self.merged)

    def source_rows(self) -> Iterator[dict[str, Any]]:
        """Yield each source, as control shows it."""
        return status.source_rows(self.merged, self.files, clock())

    def endpoint_rows(self) -> Iterator[dict[str, Any]]:
        """Yield each endpoint, as control shows it; the list may change during the iteration."""
        return status.endpoint_rows(self.merged, set(self.driver.cordoned))

    def export_state(self) -> dict[str, Any]:
        """Return the state that the next process of this proxy takes over at a hot restart."""
        return self.merged.export_state(clock())

    def close(self) -> None:
        """Stop reading and watching files."""
        self.files.close()


def _source_settings(servers: Servers) -> SourceSettings:
    return SourceSettings(servers.name, servers.rank, servers.settle_ms * MS, servers.drain_s * SECOND)
