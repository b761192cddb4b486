"""The client of the discovery service: fetches the endpoint list and watches it by HTTP long polls.

It owns the connection to the service, the list as last received, and the time of the next poll. It must never
act on a list itself, have more than one call under way, or let an invalid response replace the list.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from typing import Any

import h11

from arrowseam.address import Address, parse_address
from arrowseam.balancer.events import UpdateKind
from arrowseam.config.proxy import Config, ConfigError
from arrowseam.driver import BalancerDriver
from arrowseam.endpoint_sources.records import EndpointRecord, create_update, read_records, update_kind
from arrowseam.logs import log
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine, Task
from arrowseam.protocols.http_client import HttpCallError, HttpClient, describe_protocol_error

# The wait of a long poll. A change counts as notified 2 s after the end of the poll, and 6 s after the watch
# fell silent: polls are short enough to notice a lost call early, but not so short that empty responses load
# a service which all proxies share.
POLL_WAIT = 4 * SECOND
POLL_GRACE = SECOND  # by this much the response may exceed the wait
COMPLETE_LIST_TIMEOUT = 3500 * MS  # of a call for the complete list
# Where a local agent has the list, polling loads no shared service, and the agent's list counts as notified
# at once: the wait, its grace and the pause after it are each the drain grace divided by this.
AGENT_POLL_DIVISOR = 4
POLL_INTERVAL_MIN = 100 * MS  # between the starts of two polls if the first returned no new version
TARGETS_PATH = "/api/targets"


class DiscoveryClient:
    """Polls the discovery service while it is asked to, and delivers each list and each change.

    Attributes:
        address: HOST:PORT of the service; empty if there is none and endpoints come from files.
        version: of the list.
        entries: the list in the service's own format, by endpoint.
        needs_complete_list: the next call asks for the complete list, not for changes.
        is_requested: polling is requested; reset when a call fails.
        trace: log every response.
        http_client: the connection to the service.
        task: the polling task, once it is started.
    """

    def __init__(
        self,
        loop: EventLoop,
        config: Config,
        driver: BalancerDriver,
        deliver: Callable[[UpdateKind, int, list[EndpointRecord]], None] | None = None,
    ) -> None:
        """``deliver`` takes each update (kind, version, entries) instead of the driver, where there are other
        sources of endpoints."""
        self.loop, self.config, self.driver = loop, config, driver
        self.deliver = deliver or self._update_driver
        self.address = config.discovery
        self.version = 0
        self.entries: dict[str, Any] = {}
        self.needs_complete_list = True
        self.is_requested = False
        self.trace = False
        self.http_client = HttpClient(loop)
        self.task: Task | None = None
        if config.known_endpoints and self.address:
            self._apply_initial_list(config.known_endpoints)

    def _apply_initial_list(self, document: Any) -> None:
        try:
            self._apply(document, read_records(document), is_cached=True)
            self.needs_complete_list = False
        except ConfigError as error:
            log("discovery.invalid_initial_list", f"discovery: invalid initial list: {error}")

    # --- called by the proxy ---

    def start(self) -> None:
        """Start polling where an agent has the list.

        Guards against a proxy that keeps its initial list: the agent does not push changes, and nothing else
        makes the proxy poll.
        """
        if not self.config.settings.watch_discovery:
            self.request_update(complete=False)

    def request_update(self, complete: bool) -> None:
        """Poll from now on; with ``complete`` fetch the complete list first."""
        if not self.address:
            return
        self.is_requested = True
        self.needs_complete_list = self.needs_complete_list or complete
        if self.task is None:
            self.task = self.loop.start_task(self._run(parse_address(self.address)), "discovery")
        self.loop.wake(self.task)

    def switch_to(self, address: str) -> None:
        """Use another service from now on, even in the middle of a call.

        The list stays in effect until the new service has sent its complete list: its versions may be
        numbered differently.
        """
        if address == self.address:
            return
        log("discovery.switched", f"discovery: switched from {self.address} to {address}")
        self.address = address
        if self.task is not None:
            self.task.coroutine.close()
            self.task = None
        self.http_client.close()
        if not address:
            self.entries.clear()
        self.request_update(complete=True)

    def export_list(self) -> dict[str, Any]:
        """The list in the service's own format, for another process of this proxy."""
        return {"generation": self.version, "reset": True, "instances": list(self.entries.values())}

    # --- the list ---

    def _apply(
        self, document: Any, decoded: tuple[bool, int, list[EndpointRecord]], is_cached: bool = False
    ) -> None:
        """Apply a valid list or change; ``decoded`` holds the records of ``document``."""
        is_complete, self.version, records = decoded
        kind = update_kind(is_complete, is_cached)
        if kind is not UpdateKind.DELTA:
            self.entries.clear()
        for entry in document["instances"]:
            self.entries[entry["instanceId"]] = entry
            if entry["lifecycle"] == "Gone":
                del self.entries[entry["instanceId"]]
        self.deliver(kind, self.version, records)

    def _update_driver(self, kind: UpdateKind, version: int, records: list[EndpointRecord]) -> None:
        update = create_update(kind, version, records, self.config, self.driver.endpoint_ids)
        self.driver.update_endpoints(update)

    # --- polling ---

    def _run(self, address: Address) -> Coroutine[None]:
        while True:
            while not self.is_requested:
                yield None
            started_at, version = clock(), self.version
            # A request for the complete list during this call is served after it.
            asks_for_complete_list, self.needs_complete_list = self.needs_complete_list, False
            try:
                yield from self._poll(address, asks_for_complete_list)
            except (HttpCallError, h11.ProtocolError) as error:
                self.needs_complete_list |= asks_for_complete_list
                self._on_failure(error)
                continue
            if self.trace:
                self._log_update(started_at)
            next_at = started_at + POLL_INTERVAL_MIN
            while self.version == version and clock() < next_at:
                yield next_at

    def _poll(self, address: Address, asks_for_complete_list: bool) -> Coroutine[None]:
        """One call; raises HttpCallError or h11.ProtocolError."""
        if asks_for_complete_list:
            wait, grace, query = 0, COMPLETE_LIST_TIMEOUT, ""
        else:
            wait, grace = self._poll_times()
            query = f"?since={self.version}&timeout_ms={wait // MS}"
        deadline = clock() + wait + grace
        text = yield from self.http_client.get(address, self.address, TARGETS_PATH + query, deadline)
        try:
            document = json.loads(text)
            decoded = read_records(document)
        except (ValueError, RecursionError, ConfigError) as error:
            raise HttpCallError(f"invalid response: {error}") from None
        if document.get("generation") is None:
            raise HttpCallError("invalid response: list: generation is missing")
        self._apply(document, decoded)

    def _poll_times(self) -> tuple[int, int]:
        """How long a poll waits for changes, and by how much its response may exceed that."""
        settings = self.config.settings
        if settings.watch_discovery:
            return POLL_WAIT, POLL_GRACE
        interval = max(POLL_INTERVAL_MIN, settings.rules.drain_grace // AGENT_POLL_DIVISOR)
        return min(POLL_WAIT, interval), min(POLL_GRACE, interval)

    def _on_failure(self, error: HttpCallError | h11.ProtocolError) -> None:
        """The list stays in effect; the balancer decides when to poll again."""
        reason = str(error)
        if isinstance(error, h11.ProtocolError):
            reason = f"invalid response: {describe_protocol_error(error)}"
        log("discovery.failed", f"discovery: call failed: {reason}")
        self.http_client.close()
        self.is_requested = False
        self.driver.update_endpoints(None)

    def _log_update(self, started_at: int) -> None:
        states = Counter(entry["lifecycle"] for entry in self.entries.values())
        counts = f"{states['Ready']} ready, {states['Terminating']} draining"
        elapsed_ms = (clock() - started_at) // MS
        log(
            "discovery.updated",
            f"discovery: version {self.version} after {elapsed_ms} ms: {counts}",
            "debug",
            version=self.version,
            ms=elapsed_ms,
        )
