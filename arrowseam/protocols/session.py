"""The base class of client sessions, common to all wire protocols.

A session knows how its protocol opens a connection at an endpoint, what it forwards and what its messages to
clients look like. It must never choose an endpoint or decide whether an attempt is retried.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, Protocol

from arrowseam.address import Address
from arrowseam.client_request import Request
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.forwarding import Forwarder
from arrowseam.net.task import Coroutine
from arrowseam.outcomes import AttemptOutcome

DEFAULT_CONNECT_TIMEOUT = 250 * MS
FINAL_ANSWER_TIMEOUT = SECOND // 2  # to write a final answer, and to wait for the client to close
EARLY_BYTES_MAX = 16384


def send_and_close(conn: Connection, message: bytes) -> Coroutine[None]:
    """Send a last message to a client and close the connection without a reset that would discard it."""
    deadline = clock() + FINAL_ANSWER_TIMEOUT
    yield from conn.send(message, deadline)
    yield from conn.close_gracefully(deadline)


def outcome_if_over(deadline: int, should_stop: Callable[[], bool]) -> AttemptOutcome | None:
    """CANCELLED or TIMEOUT if an attempt must end now, else None."""
    if should_stop():
        return AttemptOutcome.CANCELLED
    return AttemptOutcome.TIMEOUT if clock() >= deadline else None


class RequestService(Protocol):
    """The interface through which the protocols' servers hand over requests."""

    @property
    def retry_after_ms(self) -> int:
        """The retry time of rejections that the balancer did not decide; 0 = unspecified."""

    @property
    def is_closing(self) -> bool:
        """Whether clients that have sent no request yet are rejected, since the process is shutting down."""

    @property
    def is_tracing(self) -> bool:
        """Whether invalid openings are logged."""

    def serve(self, request: Request, session: ClientSession) -> Coroutine[None]:
        """Serve a client from its opening to the end of its connection."""

    def take_over(self, request: Request, session: ClientSession) -> Coroutine[None]:
        """Serve a connection that was established by another process of this proxy."""


class ClientSession(ABC):
    """One client, with its attempt under way or its established connection to an endpoint.

    All times are microseconds of the monotonic clock.

    Attributes:
        forwarder: forwards between client and endpoint, from the moment the connection is established.
        early_bytes_max: bytes that an endpoint may send before the connection is established.
        on_opening_sent: called when the opening is completely written to an endpoint.
        may_send_opening: asked right before the opening is written; False cancels the attempt.
    """

    forwarder: Forwarder | None = None
    early_bytes_max = EARLY_BYTES_MAX
    on_opening_sent: Callable[[], None] = staticmethod(lambda: None)
    may_send_opening: Callable[[], bool] = staticmethod(lambda: True)

    def __init__(self, loop: EventLoop, conn: Connection, connect_timeout: int) -> None:
        self.loop, self.conn = loop, conn
        self.connect_timeout = connect_timeout or DEFAULT_CONNECT_TIMEOUT

    # --- what each protocol defines ---

    @abstractmethod
    def establish(
        self, server: Connection, deadline: int, should_stop: Callable[[], bool]
    ) -> Coroutine[AttemptOutcome]:
        """Send the opening to a connected endpoint and await its answer.

        ESTABLISHED with ``forwarder`` set, or how the attempt ended. The opening is sent only if
        ``may_send_opening`` allows it then; otherwise the outcome is CANCELLED.
        """

    @abstractmethod
    def forward(self) -> AttemptOutcome | None:
        """Forward received data; COMPLETED, MIGRATED, RESET or CLIENT_DISCONNECTED once it has ended."""

    @abstractmethod
    def migration_message(self) -> bytes:
        """The message that asks the client to reconnect."""

    @abstractmethod
    def send_rejection(self, retry_after_ms: int) -> Coroutine[None]:
        """Final answer: rejected, a retry is safe after so many milliseconds (0 = unspecified)."""

    @abstractmethod
    def send_failure(self) -> Coroutine[None]:
        """Final answer: failed."""

    @abstractmethod
    def export_state(self) -> dict[str, Any]:
        """The protocol's state of an established connection, for another process of this proxy."""

    def endpoint_address(self, endpoint_name: str, address: Address) -> Address | None:
        """The address at which this protocol reaches an endpoint; None if it cannot."""
        del endpoint_name
        return address

    def next_forward_at(self) -> int | None:
        """When ``forward`` must be called even if nothing is received; None: only when data is received."""
        return None

    def take_load_reports(self) -> list[float]:
        """Loads reported by the endpoint since the last call."""
        return []

    # --- common to all protocols ---

    def attempt(
        self, endpoint_name: str, address: Address, deadline: int, should_stop: Callable[[], bool]
    ) -> Coroutine[AttemptOutcome]:
        """Make one attempt at an endpoint. Its connection is closed on return unless ESTABLISHED."""
        protocol_address = self.endpoint_address(endpoint_name, address)
        if protocol_address is None:
            return AttemptOutcome.UNREACHABLE
        if self.loop.descriptors_exhausted:
            self.loop.reclaim_descriptors()
            if self.loop.descriptors_exhausted:
                return AttemptOutcome.CANCELLED  # no descriptor left here: says nothing about the endpoint
        connect_deadline = min(deadline, clock() + self.connect_timeout)
        server = yield from self.loop.connect(protocol_address, connect_deadline, should_stop)
        if server is None:
            # Nothing was sent, so the request has never run.
            return AttemptOutcome.CANCELLED if should_stop() else AttemptOutcome.UNREACHABLE
        server.received.limit = self.early_bytes_max
        outcome = AttemptOutcome.RESET
        try:
            outcome = yield from self.establish(server, deadline, should_stop)
        finally:
            if outcome is not AttemptOutcome.ESTABLISHED:
                server.close()  # before anything else is tried for this request
        return outcome

    def awaiting_reply_since(self) -> int | None:
        """Since when a reply of the endpoint is awaited; None if it owes no reply."""
        return self.forwarder.reply_awaited_since if self.forwarder else None

    def close_with_message(self, deadline: int, message: bytes = b"") -> Coroutine[None]:
        """Send the client a last message (default: the migration message), then close both sides.

        It is sent between two forwarded messages only.
        """
        if self.forwarder is not None:
            yield from self.forwarder.send_last_message(message or self.migration_message(), deadline)
            self.forwarder.endpoint.close()
        yield from self.conn.close_gracefully(deadline)

    def close_gracefully(self, deadline: int) -> Coroutine[None]:
        """Close both sides: a reset is passed on as a reset, a close as a close."""
        if self.forwarder is not None:
            yield from self.forwarder.close_gracefully(deadline)
        else:
            yield from self.conn.close_gracefully(deadline)

    def send_final_answer(self, message: bytes) -> Coroutine[None]:
        """Send the client its final answer and close the connection."""
        yield from send_and_close(self.conn, message)

    def close(self) -> None:
        """Close both sides at once."""
        if self.forwarder is not None:
            self.forwarder.endpoint.close()
        self.conn.close()
