"""An HTTP/1.1 client on the event loop: GET over one persistent connection."""

from __future__ import annotations

import ast
import re
from typing import Any

import h11

from arrowseam.address import Address
from arrowseam.errors import ArrowseamError
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine

CONNECT_TIMEOUT = SECOND
RESPONSE_BYTES_MAX = 8 << 20
QUOTED_BYTES_MAX = 60  # of an invalid response, in an error message

# Prefixes of the HTTP library's messages about an invalid response, and what the log says instead.
_PROTOCOL_ERRORS = (
    ("illegal request line", "it is not HTTP"),
    ("no response line", "it has no status line"),
    ("illegal status line", "its status line is malformed"),
    ("illegal header line", "a header is malformed"),
    ("continuation line", "a header is malformed"),
    ("conflicting Content-Length", "its Content-Length headers differ"),
    ("bad Content-Length", "its Content-Length is malformed"),
    ("multiple Transfer-Encoding", "it has more than one Transfer-Encoding"),
    ("Only Transfer-Encoding", "its Transfer-Encoding is not chunked"),
    ("illegal chunk header", "the length of a chunk is malformed"),
    ("malformed chunk footer", "a chunk is longer than its length"),
    ("Receive buffer too long", "its headers are too long"),
    ("Received server _SWITCH_UPGRADE", "it switches to another protocol"),
)
_QUOTED_BYTES = re.compile(r"""b(['"])(?:\\.|(?!\1).)*\1""")


class HttpCallError(ArrowseamError):
    """A call returned no valid response; the message says why."""


def describe_protocol_error(error: h11.ProtocolError) -> str:
    """What is wrong with a response that is not valid HTTP/1.1, with the bytes at fault if known."""
    text = str(error)
    description = next(
        (reason for prefix, reason in _PROTOCOL_ERRORS if text.startswith(prefix)), "it is not valid HTTP/1.1"
    )
    quoted = _QUOTED_BYTES.search(text)
    if quoted is None:
        return description
    data: bytes = ast.literal_eval(quoted[0])
    return f"{description}: {repr(data.rstrip()[:QUOTED_BYTES_MAX])[1:]}"


class HttpClient:
    """One connection to one host at a time; one call at a time.

    Attributes:
        conn: the open connection, if there is one.
    """

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.conn: Connection | None = None
        self._http: h11.Connection | None = None

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self.conn is not None:
            self.conn.close()
        self.conn = self._http = None

    def get(self, address: Address, host: str, target: str, deadline: int) -> Coroutine[bytes]:
        """The body of the response with status 200; ``deadline`` limits the whole call.

        Raises HttpCallError, or h11.ProtocolError for a response that is not valid HTTP. The caller must then
        close the connection.
        """
        if self.conn is not None and (self.conn.peer_closed or len(self.conn.received)):
            self.close()  # closed by the host, or it sent a response without a request
        if self.conn is None:
            connect_deadline = min(deadline, clock() + CONNECT_TIMEOUT)
            self.conn = yield from self.loop.connect(address, connect_deadline, may_use_reserved=True)
            self._http = h11.Connection(h11.CLIENT)
        conn, http = self.conn, self._http
        if conn is None or http is None:
            raise HttpCallError("could not connect")
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        data = (http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b"")
        if not (yield from conn.send(data, deadline)):
            if conn.broken:
                raise HttpCallError(f"{host} closed the connection before the request was written")
            raise HttpCallError("the request could not be written")
        status, body = yield from self._read_response(conn, http, host, deadline)
        if status != 200:
            raise HttpCallError(f"status {status}")
        if http.our_state is h11.DONE and http.their_state is h11.DONE and not http.trailing_data[0]:
            http.start_next_cycle()
        else:
            self.close()
        return body

    def _read_response(
        self, conn: Connection, http: h11.Connection, host: str, deadline: int
    ) -> Coroutine[tuple[int, bytes]]:
        status, body, size = 0, [], 0
        while True:
            if clock() >= deadline:
                raise HttpCallError("no response in time")
            event = _next_event(conn, http, host)
            if event is h11.NEED_DATA:
                yield from self._receive(conn, http, deadline)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body.append(bytes(event.data))
                size += len(event.data)
                if size > RESPONSE_BYTES_MAX:
                    raise HttpCallError("the response is too long")
            elif isinstance(event, h11.EndOfMessage):
                return status, b"".join(body)

    def _receive(self, conn: Connection, http: h11.Connection, deadline: int) -> Coroutine[None]:
        conn.read()
        if len(conn.received):
            http.receive_data(conn.received.take(len(conn.received)))
            yield from self.loop.yield_turn()  # an endless response must not block the event loop
        elif conn.eof:
            http.receive_data(b"")
        else:
            yield deadline


def _next_event(conn: Connection, http: h11.Connection, host: str) -> Any:
    """The next part of the response; raises HttpCallError if the connection ended within it.

    The library reports that as an event in the wrong state. A response that is delimited by the end of the
    connection is complete then.
    """
    state = http.their_state
    try:
        return http.next_event()
    except h11.RemoteProtocolError:
        rest, ended = http.trailing_data
        if not ended:
            raise
        action = "reset" if conn.broken else "closed"
        position = "in the body of" if state is h11.SEND_BODY else "in the head of" if rest else "before"
        raise HttpCallError(f"{host} {action} the connection {position} its response") from None
