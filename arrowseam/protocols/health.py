"""Health checks by load balancers in front of the proxy: HAProxy's agent check, and ``/healthz`` over HTTP.

They must never change the proxy's state.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

import h11

from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.task import Coroutine

REQUEST_TIMEOUT = 2 * SECOND
REQUEST_HEAD_MAX = 8192  # bytes
HEALTH_PATH = b"/healthz"
_UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class HealthState(Enum):
    """Whether the proxy wants new clients; the values are the response bodies of ``/healthz``."""

    READY = "ready"
    DRAINING = "draining"
    EMPTY_LIST = "empty list"


AGENT_LINES = {
    HealthState.READY: b"up ready\n",
    HealthState.DRAINING: b"drain\n",
    HealthState.EMPTY_LIST: b"down\n",
}


class HealthServer:
    """Answers health checks of the proxy itself."""

    def __init__(self, is_draining: Callable[[], bool], has_ready_endpoints: Callable[[], bool]) -> None:
        self.is_draining, self.has_ready_endpoints = is_draining, has_ready_endpoints

    def state(self) -> HealthState:
        """The proxy's current state."""
        if self.is_draining():
            return HealthState.DRAINING
        return HealthState.READY if self.has_ready_endpoints() else HealthState.EMPTY_LIST

    def serve_agent_check(self, conn: Connection) -> Coroutine[None]:
        """Send one line to each client; its input is ignored."""
        deadline = clock() + REQUEST_TIMEOUT
        yield from conn.send(AGENT_LINES[self.state()], deadline)
        yield from conn.close_gracefully(deadline)

    def serve_http(self, conn: Connection) -> Coroutine[None]:
        """Answer one HTTP request."""
        deadline = clock() + REQUEST_TIMEOUT
        conn.loop.expendable[conn] = _UNAVAILABLE
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=REQUEST_HEAD_MAX)
        request: h11.Request | None = None
        try:
            event = yield from _next_event(conn, http, deadline)
            while not isinstance(event, h11.EndOfMessage):
                if event is None:
                    return
                if isinstance(event, h11.Request):
                    request = event
                event = yield from _next_event(conn, http, deadline)
            status, text = self._response(request)
        except h11.RemoteProtocolError:
            status, text = 400, "bad request"
        if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        with_body = request is None or request.method != b"HEAD"
        yield from conn.send(_encode_response(http, status, text, with_body), deadline)
        yield from conn.close_gracefully(deadline)

    def _response(self, request: h11.Request | None) -> tuple[int, str]:
        """Status and body."""
        if request is None:
            return 400, "bad request"
        if request.target.split(b"?")[0] != HEALTH_PATH:
            return 404, "not found"
        if request.method not in (b"GET", b"HEAD"):
            return 405, "GET or HEAD"
        state = self.state()
        return (200 if state is HealthState.READY else 503), state.value


def _next_event(conn: Connection, http: h11.Connection, deadline: int) -> Coroutine[Any]:
    """The next part of the request; None if it does not arrive. Raises h11.RemoteProtocolError."""
    while True:
        event = http.next_event()
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            return None
        if event is not h11.NEED_DATA:
            return event
        conn.read()
        if conn.eof or clock() >= deadline:
            return None
        if not len(conn.received):
            yield deadline
            continue
        http.receive_data(conn.received.take(len(conn.received)))
        yield from conn.loop.yield_turn()


def _encode_response(http: h11.Connection, status: int, text: str, with_body: bool) -> bytes:
    body = text.encode() + b"\n"
    headers = [
        ("Content-Type", "text/plain"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    data = http.send(h11.Response(status_code=status, headers=headers)) or b""
    if with_body:
        data += http.send(h11.Data(data=body)) or b""
    return data
