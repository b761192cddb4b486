"""Accepts NATS clients and hands each to the request handler.

It must never choose an endpoint, answer a client twice or forward its first bytes more than once.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Any

from arrowseam import __version__
from arrowseam.client_request import DEADLINE_MARGIN, Request
from arrowseam.config.proxy import Config
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine
from arrowseam.protocols.nats import messages
from arrowseam.protocols.nats.config import NatsConfig
from arrowseam.protocols.nats.messages import NatsProtocolError
from arrowseam.protocols.nats.session import NatsSession
from arrowseam.protocols.session import RequestService, send_and_close

# Bytes buffered per client that has no endpoint yet; beyond that it is not read. The whole proxy may have to
# fit in 32 MB.
CLIENT_BYTES_MAX = 16384
GREETING_TIMEOUT = 2 * SECOND  # from accepting a client to its CONNECT
PINGS_MAX = 16  # answered before CONNECT


class NatsServer:
    """Serves the NATS clients."""

    def __init__(
        self, loop: EventLoop, config: Config, nats_config: NatsConfig, requests: RequestService
    ) -> None:
        self.loop, self.config, self.nats_config, self.requests = loop, config, nats_config, requests
        self._client_count = 0

    def info_line(self, is_draining: bool = False) -> bytes:
        """The INFO for clients; with ``is_draining`` it tells them to connect to another server."""
        host, port = self.nats_config.listen
        fields: dict[str, Any] = {
            "server_id": f"arrowseam-{self.config.name}",
            "server_name": self.config.name or "arrowseam",
            "version": __version__,
            "proto": 1,
            "host": host,
            "port": port,
            "headers": True,
            "max_payload": self.nats_config.max_payload,
        }
        if is_draining:
            fields["ldm"] = True
        return messages.info_line(fields)

    def serve(self, conn: Connection) -> Coroutine[None]:
        """Serve one client from its first byte to its end."""
        conn.received.limit = 2 * messages.CLIENT_LINE_MAX
        deadline = clock() + GREETING_TIMEOUT
        rejection = messages.error_line(messages.rejection_text(self.requests.retry_after_ms))
        if not self.loop.reclaim_descriptors():
            yield from send_and_close(conn, rejection)
            return
        self.loop.expendable[conn] = rejection
        if not (yield from conn.send(self.info_line(), deadline)):
            return
        try:
            text = yield from self._read_connect(conn, deadline)
            if text is None:
                return
            self.loop.expendable.pop(conn, None)
            conn.received.limit = CLIENT_BYTES_MAX
            request = yield from self._create_request(conn, text, deadline)
        except NatsProtocolError as error:
            yield from send_and_close(conn, messages.error_line(str(error)))
            return
        if request is not None:
            yield from self.requests.serve(request, NatsSession(self, conn, text))

    def _read_connect(self, conn: Connection, deadline: int) -> Coroutine[bytes | None]:
        """The JSON text of the client's CONNECT; later operations stay in its buffer.

        None if the client left. Raises NatsProtocolError.
        """
        pings = 0
        while True:
            conn.read()
            operation = messages.parse_operation(
                conn.received,
                0,
                messages.CLIENT_VERBS,
                messages.CLIENT_LINE_MAX,
                self.nats_config.max_payload,
            )
            if operation is not None:
                if operation.verb == b"CONNECT":
                    conn.received.consume(operation.size)
                    return operation.arguments
                if operation.verb != b"PING":
                    raise NatsProtocolError("Authorization Violation")  # CONNECT comes first
                pings += 1
                if pings > PINGS_MAX or not (yield from conn.send(messages.PONG_LINE, deadline)):
                    raise NatsProtocolError("Authentication Timeout")
                conn.received.consume(operation.size)
                yield from self.loop.yield_turn()
                continue
            if conn.eof:
                return None
            if self.requests.is_closing:
                raise NatsProtocolError(messages.rejection_text(self.requests.retry_after_ms))
            if clock() >= deadline:
                raise NatsProtocolError("Authentication Timeout")
            yield deadline

    def _create_request(self, conn: Connection, text: bytes, deadline: int) -> Coroutine[Request | None]:
        """The request that a CONNECT asks for; None if the client left. Raises NatsProtocolError."""
        # Decoded only here: hundreds of small values fit into a CONNECT, and the caller lives on.
        options = messages.parse_json_object(text)
        found = self.nats_config.class_and_tenant(options)
        if found is None:
            raise NatsProtocolError("Authorization Violation")
        if bool(options.get("verbose", False)):
            if not (yield from conn.send(messages.OK_LINE, deadline)):
                return None
            found = self.nats_config.class_and_tenant(options) or found  # the settings may have changed
        class_index, tenant_index = found
        request_class = self.config.settings.classes[class_index]
        self._client_count += 1
        name = options.get("name") or options.get("user") or ""
        return Request(
            class_index=class_index,
            class_name=self.config.class_names[class_index],
            request_class=request_class,
            tenant_index=tenant_index,
            flow_key=int.from_bytes(blake2b(str(name).encode(), digest_size=8).digest(), "big"),
            deadline=clock() + max(0, request_class.deadline - DEADLINE_MARGIN),
            name=f"nats-{self._client_count}",
            has_client_left=lambda: conn.peer_closed,
        )

    def take_over(
        self, conn: Connection, endpoint: Connection, request: Request, state: dict[str, Any]
    ) -> Coroutine[None]:
        """Serve a connection that another process of this proxy hands over."""
        session = NatsSession.resume(self, conn, endpoint, state)
        request.has_client_left = lambda: conn.peer_closed
        yield from self.requests.take_over(request, session)
