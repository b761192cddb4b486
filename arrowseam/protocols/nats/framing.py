"""Which bytes of a NATS connection may be forwarded, in each direction."""

from __future__ import annotations

from collections import deque

from arrowseam.net.buffer import Buffer
from arrowseam.net.forwarding import MessageFramer
from arrowseam.protocols.nats import messages
from arrowseam.protocols.nats.messages import NatsProtocolError, Operation

# Parsed in one call: thousands of small operations fit into a buffer, and other clients wait meanwhile.
OPERATIONS_PER_CALL = 64
UNANSWERED_PINGS_MAX = 1024  # beyond this, a client's next PING waits for the endpoint's answers


class NatsFramer(MessageFramer):
    """Releases complete operations, and operations larger than the buffer in parts.

    Attributes:
        remaining: bytes not yet received of an operation that is released in parts.
        error: how the peer violated the protocol; nothing more is released then. Empty if it did not.
    """

    verbs: frozenset[bytes]
    line_max: int

    def __init__(self, payload_max: int) -> None:
        self.remaining = 0
        self.payload_max = payload_max
        self.error = ""

    def release(self, received: Buffer, released: int) -> int:
        """Release complete operations; those not meant for the other side are removed from the buffer."""
        self.reply_due_after, self.has_more = 0, False
        if self.remaining:
            more = min(self.remaining, len(received) - released)
            self.remaining -= more
            released += more
        for _ in range(OPERATIONS_PER_CALL):
            end = self._release_next(received, released)
            if end is None:
                break
            released = end
        else:
            self.has_more = released < len(received)
        self.inside_message = self.remaining > 0
        return released

    def _release_next(self, received: Buffer, released: int) -> int | None:
        """How many bytes are released with the next operation; None if none can be released now."""
        if self.remaining or self.error or released >= len(received):
            return None
        try:
            operation = messages.parse_operation(
                received, released, self.verbs, self.line_max, self.payload_max
            )
        except NatsProtocolError as error:
            self.error = str(error)
            return None
        if operation is None or self.must_wait(operation):
            return None
        return self._release_operation(received, released, operation)

    def must_wait(self, operation: Operation) -> bool:
        """Whether an operation cannot be released before the other side has sent something."""
        del operation
        return False

    def _release_operation(self, received: Buffer, released: int, operation: Operation) -> int | None:
        """How many bytes are released with this operation; None if it is not complete."""
        is_complete = released + operation.size <= len(received)
        if not self.on_operation(operation):
            if not is_complete:
                return None
            received.remove(released, operation.size)
            return released
        if is_complete:
            if self.requires_reply(operation):
                self.reply_due_after = released + operation.size
            return released + operation.size
        if operation.size > received.limit or received.is_full:
            self.remaining = released + operation.size - len(received)
            return len(received)
        return None

    def on_operation(self, operation: Operation) -> bool:
        """Process an operation; returns whether it is forwarded to the other side."""
        raise NotImplementedError

    def requires_reply(self, operation: Operation) -> bool:
        """Whether the other side must answer this operation."""
        del operation
        return False


class ClientFramer(NatsFramer):
    """Frames what a client sends.

    Attributes:
        unanswered_pings: for each PING that the endpoint has not answered, whether it is the client's. PONGs
            arrive in the order of the PINGs.
    """

    verbs = messages.CLIENT_VERBS
    line_max = messages.CLIENT_LINE_MAX

    def __init__(self, payload_max: int) -> None:
        super().__init__(payload_max)
        self.unanswered_pings: deque[bool] = deque()

    def on_own_message_sent(self) -> None:
        """A PING of the proxy's own has been sent."""
        self.unanswered_pings.append(False)

    def on_operation(self, operation: Operation) -> bool:
        """Forward all but CONNECT: one was sent when the connection was established."""
        if operation.verb == b"PING":
            self.unanswered_pings.append(True)
        return operation.verb != b"CONNECT"

    def requires_reply(self, operation: Operation) -> bool:
        """Whether the endpoint must answer: a PING."""
        return operation.verb == b"PING"

    def must_wait(self, operation: Operation) -> bool:
        """Whether too many PINGs are unanswered for another one."""
        return operation.verb == b"PING" and len(self.unanswered_pings) >= UNANSWERED_PINGS_MAX


class EndpointFramer(NatsFramer):
    """Frames what an endpoint sends.

    Withholds the answers to the proxy's own PINGs, and INFO, which would direct clients past the proxy.

    Attributes:
        is_draining: the endpoint has announced lame duck mode.
        blames_client: the last error that the endpoint has sent is the fault of its client.
    """

    verbs = messages.ENDPOINT_VERBS
    line_max = messages.ENDPOINT_LINE_MAX

    def __init__(self, payload_max: int, unanswered_pings: deque[bool]) -> None:
        super().__init__(payload_max)
        self.unanswered_pings = unanswered_pings
        self.is_draining = False
        self.blames_client = False

    def on_operation(self, operation: Operation) -> bool:
        """Forward all but INFO and the answers to the proxy's own PINGs."""
        if operation.verb == b"PONG" and self.unanswered_pings:
            return self.unanswered_pings.popleft()
        if operation.verb == b"INFO":
            self._note_info(operation)
            return False
        if operation.verb == b"-ERR":
            self.blames_client = messages.is_client_fault(operation.arguments)
        return True

    def _note_info(self, operation: Operation) -> None:
        try:
            info = messages.parse_json_object(operation.arguments)
        except NatsProtocolError as error:
            self.error = str(error)
            return
        self.is_draining = self.is_draining or info.get("ldm") is True
