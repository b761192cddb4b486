"""A NATS client, from its CONNECT to the end of its connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from arrowseam.address import Address
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.forwarding import Forwarder, Side
from arrowseam.net.task import Coroutine
from arrowseam.outcomes import AttemptOutcome
from arrowseam.protocols.nats import messages
from arrowseam.protocols.nats.framing import ClientFramer, EndpointFramer
from arrowseam.protocols.nats.messages import NatsProtocolError, Operation
from arrowseam.protocols.session import ClientSession, outcome_if_over

if TYPE_CHECKING:
    from arrowseam.protocols.nats.server import NatsServer

ENDPOINT_BYTES_MAX = 65536  # buffered of an endpoint
PING_AFTER = 2 * SECOND  # an endpoint that has sent nothing for this long gets a PING of the proxy's own


class NatsSession(ClientSession):
    """One NATS client.

    Attributes:
        connect_options: the JSON text of the client's CONNECT.
        client_framer, endpoint_framer: set once the connection is established.
    """

    early_bytes_max = ENDPOINT_BYTES_MAX

    def __init__(self, server: NatsServer, conn: Connection, connect_options: bytes) -> None:
        super().__init__(server.loop, conn, server.config.settings.limits.connect_timeout)
        self.server, self.connect_options = server, connect_options
        self.client_framer: ClientFramer | None = None
        self.endpoint_framer: EndpointFramer | None = None
        self._connect_sent = False

    @classmethod
    def resume(
        cls, server: NatsServer, conn: Connection, endpoint: Connection, state: dict[str, Any]
    ) -> NatsSession:
        """The session of a handed-over connection; raises KeyError if ``state`` is incomplete."""
        session = cls(server, conn, str(state["connect"]).encode("latin-1"))
        forwarder = session._start_forwarding(endpoint)
        assert session.client_framer is not None
        session.client_framer.unanswered_pings.extend(bool(own) for own in state["pings"])
        forwarder.reply_awaited_since = state["asked"]
        return session

    def endpoint_address(self, endpoint_name: str, address: Address) -> Address | None:
        """The address at which the endpoint speaks NATS; None if that is this proxy.

        Guards against a loop of connections to ourselves, where the endpoints' port is set to our own.
        """
        found = self.server.nats_config.endpoint_address(endpoint_name, address)
        return None if found == self.server.nats_config.listen else found

    # --- the greeting ---

    def establish(
        self, endpoint: Connection, deadline: int, should_stop: Callable[[], bool]
    ) -> Coroutine[AttemptOutcome]:
        """Await INFO, send CONNECT and PING; PONG means that the endpoint has accepted the client."""
        self._connect_sent = False
        payload_max = self.server.nats_config.max_payload
        while True:
            endpoint.read()
            try:
                operation = messages.parse_operation(
                    endpoint.received, 0, messages.ENDPOINT_VERBS, messages.ENDPOINT_LINE_MAX, payload_max
                )
                if operation is not None and operation.size <= len(endpoint.received):
                    endpoint.received.consume(operation.size)
                    outcome = yield from self._on_greeting(endpoint, operation, deadline)
                    if outcome is not None:
                        return outcome
                    yield from self.loop.yield_turn()  # an endless greeting must not block the loop
                    if not should_stop() and clock() < deadline:
                        continue
            except NatsProtocolError:
                return AttemptOutcome.ERROR
            if endpoint.eof:
                # Nothing can have run before CONNECT was sent.
                return AttemptOutcome.RESET if self._connect_sent else AttemptOutcome.UNREACHABLE
            outcome = outcome_if_over(deadline, should_stop)
            if outcome is not None:
                return outcome
            yield deadline

    def _on_greeting(
        self, endpoint: Connection, operation: Operation, deadline: int
    ) -> Coroutine[AttemptOutcome | None]:
        """Handle one operation before the connection is established; how the attempt ended, or None."""
        if operation.verb == b"-ERR":
            text = operation.arguments.lower()
            is_rejection = b"maximum connections" in text or b"shutdown" in text
            return AttemptOutcome.REJECTED if is_rejection else AttemptOutcome.ERROR
        if operation.verb == b"INFO":
            return (yield from self._on_info(endpoint, operation, deadline))
        if operation.verb == b"PONG" and self._connect_sent:
            self._start_forwarding(endpoint)
            return AttemptOutcome.ESTABLISHED
        if operation.verb == b"PING" and not (yield from endpoint.send(messages.PONG_LINE, deadline)):
            return AttemptOutcome.RESET
        return None

    def _on_info(
        self, endpoint: Connection, operation: Operation, deadline: int
    ) -> Coroutine[AttemptOutcome | None]:
        info = messages.parse_json_object(operation.arguments)
        if info.get("ldm") is True:
            return AttemptOutcome.REJECTED  # it is draining and has accepted nothing
        if info.get("tls_required") is True:
            return AttemptOutcome.ERROR
        if self._connect_sent:
            return None
        if not self.may_send_opening():
            return AttemptOutcome.CANCELLED
        self._connect_sent = True
        opening = messages.connect_line(self.connect_options) + messages.PING_LINE
        if not (yield from endpoint.send(opening, deadline)):
            return AttemptOutcome.UNREACHABLE
        self.on_opening_sent()
        return None

    def _start_forwarding(self, endpoint: Connection) -> Forwarder:
        payload_max = self.server.nats_config.max_payload
        self.client_framer = ClientFramer(payload_max)
        self.endpoint_framer = EndpointFramer(payload_max, self.client_framer.unanswered_pings)
        # Data that the client sent early is still in its buffer and is forwarded once.
        self.forwarder = Forwarder(self.conn, endpoint, self.client_framer, self.endpoint_framer)
        return self.forwarder

    # --- the established connection ---

    def forward(self) -> AttemptOutcome | None:
        """Forward received data, and send a PING to an endpoint that has been silent."""
        forwarder, client_framer, endpoint_framer = self.forwarder, self.client_framer, self.endpoint_framer
        assert forwarder is not None
        assert client_framer is not None
        assert endpoint_framer is not None
        if forwarder.reply_awaited_since is None and clock() - forwarder.last_received_at >= PING_AFTER:
            self._ping_endpoint(forwarder, client_framer)
        closed_by = forwarder.forward()
        if closed_by is Side.CLIENT:
            return AttemptOutcome.CLIENT_DISCONNECTED
        if closed_by is Side.ENDPOINT:
            # A client that an endpoint sends away for its own fault says nothing about the endpoint.
            by_client = endpoint_framer.blames_client
            return AttemptOutcome.CLIENT_DISCONNECTED if by_client else AttemptOutcome.RESET
        if endpoint_framer.is_draining:
            return AttemptOutcome.MIGRATED
        if endpoint_framer.error:
            return AttemptOutcome.RESET
        return AttemptOutcome.CLIENT_DISCONNECTED if client_framer.error else None

    def _ping_endpoint(self, forwarder: Forwarder, client_framer: ClientFramer) -> None:
        # Not inside a message that the client is sending: a slow client says nothing about the endpoint.
        client_sends = forwarder.releasable_from_client or client_framer.inside_message
        if not forwarder.own_message and not client_sends:
            forwarder.own_message, forwarder.reply_awaited_since = messages.PING_LINE, clock()

    def next_forward_at(self) -> int | None:
        """When an endpoint that stays silent is to be sent a PING."""
        if self.forwarder is None or self.forwarder.reply_awaited_since is not None:
            return None
        return max(self.forwarder.last_received_at + PING_AFTER, clock() + PING_AFTER // 10)

    def export_state(self) -> dict[str, Any]:
        """The protocol's part of the state that another process takes over."""
        assert self.client_framer is not None
        return {
            "wire": "nats",
            "connect": self.connect_options.decode("latin-1"),
            "pings": list(self.client_framer.unanswered_pings),
        }

    # --- the end ---

    def migration_message(self) -> bytes:
        """Lame duck mode: the client is told to connect to another server."""
        return self.server.info_line(is_draining=True)

    def close_gracefully(self, deadline: int) -> Coroutine[None]:
        """Tell the client why, where the protocol has a message for it; close both sides."""
        if self.endpoint_framer is not None and self.endpoint_framer.is_draining:
            yield from self.close_with_message(deadline)
        elif self.client_framer is not None and self.client_framer.error:
            yield from self.close_with_message(deadline, messages.error_line(self.client_framer.error))
        else:
            yield from super().close_gracefully(deadline)

    def send_rejection(self, retry_after_ms: int) -> Coroutine[None]:
        """Final answer: rejected."""
        yield from self.send_final_answer(messages.error_line(messages.rejection_text(retry_after_ms)))

    def send_failure(self) -> Coroutine[None]:
        """Final answer: failed."""
        yield from self.send_final_answer(messages.error_line("Upstream Failed"))
