"""Accepts clients of the platform's line protocol and hands each to the request handler.

It must never choose an endpoint or answer a client twice.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from arrowseam.client_request import Request
from arrowseam.config.proxy import Config
from arrowseam.logs import log
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine
from arrowseam.protocols.edge import messages
from arrowseam.protocols.edge.session import EdgeSession
from arrowseam.protocols.edge.used_ids import UsedIds
from arrowseam.protocols.session import ClientSession, RequestService, send_and_close

CLIENT_BYTES_MAX = 16384  # buffered per client once its opening is read
OPENING_TIMEOUT = 2 * SECOND  # from accepting the client to the end of its opening
PINGS_MAX = 16  # answered before the opening
LOGGED_LINE_MAX = 120  # bytes of an invalid opening in the log
LOGGED_PARTIAL_MAX = 60  # the same for an incomplete line


def _ignore_id_change(_connection_id: str, _in_use: bool) -> None:
    pass


class EdgeServer:
    """Serves the clients of the line protocol.

    Attributes:
        connection_ids: ids of the connections served here; no two may have the same id.
        used_ids: ids of connections that have ended and may have run; none of them may run again.
        other_process_ids: both of the other process of this proxy, during a hot restart.
        on_id_change: called with an id that is in use from now on, or is free again: it has never run.
    """

    def __init__(self, loop: EventLoop, config: Config, requests: RequestService) -> None:
        self.loop, self.config, self.requests = loop, config, requests
        self.connection_ids: set[str] = set()
        self.used_ids = UsedIds()
        self.other_process_ids: set[str] = set()
        self.on_id_change: Callable[[str, bool], None] = _ignore_id_change

    def serve(self, conn: Connection) -> Coroutine[None]:
        """Serve one client from its first byte to its end."""
        conn.received.limit = messages.LINE_BYTES_MAX
        rejection = messages.rejection_line(self.requests.retry_after_ms)
        if not self.loop.reclaim_descriptors():
            # Rejected early, while descriptors are left to do so.
            yield from send_and_close(conn, rejection)
            return
        self.loop.expendable[conn] = rejection
        line = yield from self._read_opening(conn, clock() + OPENING_TIMEOUT)
        self.loop.expendable.pop(conn, None)
        if line is None and (not len(conn.received) or (self.requests.is_closing and not conn.eof)):
            # It has sent nothing, or may be sending its opening at this moment: it is rejected either way.
            if not conn.eof:
                yield from send_and_close(conn, rejection)
            return
        try:
            opening, request = self._parse(conn, line)
        except messages.OpeningError as error:
            if self.requests.is_tracing:
                text = (line or conn.received.peek(LOGGED_PARTIAL_MAX))[:LOGGED_LINE_MAX]
                log("client.invalid_opening", f"invalid opening: {error}: {text!r}")
            yield from send_and_close(conn, messages.FAILURE_LINE)
            return
        conn.received.limit = CLIENT_BYTES_MAX
        session = EdgeSession(self.loop, conn, self.config.settings.limits.connect_timeout, opening)
        yield from self._run(request, session, self.requests.serve)

    def _read_opening(self, conn: Connection, deadline: int) -> Coroutine[bytes | None]:
        """Read the first line that is not a PING; a limited number of PINGs is answered, one per round."""
        for _ in range(PINGS_MAX):
            line = yield from conn.read_line(
                messages.LINE_BYTES_MAX, deadline, lambda: self.requests.is_closing
            )
            if line != messages.PING or not (yield from conn.send(messages.PONG_REPLY, deadline)):
                return line
            yield from self.loop.yield_turn()
        return messages.PING

    def _parse(self, conn: Connection, line: bytes | None) -> tuple[messages.Opening, Request]:
        opening = messages.parse_opening(line or b"")
        request = messages.create_request(opening, self.config, clock())
        if opening.connection_id in self.connection_ids or opening.connection_id in self.other_process_ids:
            raise messages.OpeningError("the id is in use by another connection")
        if opening.connection_id in self.used_ids:
            raise messages.OpeningError("the id was used by an earlier connection")
        if len(conn.received):
            raise messages.OpeningError("data after the opening, before its answer")
        return opening, request

    def take_over(
        self, conn: Connection, endpoint: Connection, request: Request, state: dict[str, Any]
    ) -> Coroutine[None]:
        """Serve a connection that another process of this proxy hands over."""
        session = EdgeSession.resume(self.loop, conn, endpoint, state)
        yield from self._run(request, session, self.requests.take_over)

    def _run(
        self,
        request: Request,
        session: EdgeSession,
        serve: Callable[[Request, ClientSession], Coroutine[None]],
    ) -> Coroutine[None]:
        request.has_client_left = lambda: session.conn.peer_closed
        self.connection_ids.add(request.name)
        self.on_id_change(request.name, True)
        try:
            yield from serve(request, session)
        finally:
            self.connection_ids.discard(request.name)
            if session.may_have_run:
                self.used_ids.add(request.name)  # for the other process it stays in use
            else:
                self.on_id_change(request.name, False)

    def ids_not_to_run(self) -> tuple[str, ...]:
        """The ids that another process of this proxy must not let run."""
        return tuple(sorted({*self.connection_ids, *self.used_ids, *self.other_process_ids}))

    def on_other_process_ended(self) -> None:
        """Keep the ids of the other process as used: its connections have ended with it."""
        self.used_ids.update(self.other_process_ids)
        self.other_process_ids.clear()

    def note_other_process_id(self, connection_id: str, in_use: bool) -> None:
        """Record that an id is in use at the other process of this proxy, or no longer is."""
        if in_use:
            self.other_process_ids.add(connection_id)
        else:
            self.other_process_ids.discard(connection_id)
