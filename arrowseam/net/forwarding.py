"""Forwards bytes both ways between a client and the endpoint that accepted it.

This module must not interpret the bytes: a protocol's message framer finds the ends of messages.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

from arrowseam.net.buffer import Buffer
from arrowseam.net.clock import clock
from arrowseam.net.connection import READS_PER_ROUND, Connection
from arrowseam.net.task import Coroutine

HANDOVER_BYTES_MAX = 2048  # of an incomplete message on either side, for a connection that is handed over


class Side(Enum):
    """The two ends of a forwarded connection."""

    CLIENT = "client"
    ENDPOINT = "endpoint"


class MessageFramer:
    """Decides how many bytes of one direction may be forwarded; this base class allows all.

    The framer of a protocol releases complete messages, and parts only of one that is longer than the buffer.

    Attributes:
        inside_message: the released bytes end inside a message.
        reply_due_after: how many bytes at the front end with the last message of this call that requires a
            reply; 0 = none of them does. Part of a message requires none: its sender owes the rest.
        has_more: this call has ended at its limit of messages, and others may be complete.
    """

    inside_message = False
    reply_due_after = 0
    has_more = False

    def release(self, received: Buffer, released: int) -> int:
        """Return how many bytes at the front may be forwarded; ``released`` of them were allowed before."""
        del released
        return len(received)

    def on_own_message_sent(self) -> None:
        """Called when a message of the proxy itself has been sent in this direction."""


class Forwarder:
    """Forwards between a client and an endpoint once the connection is established.

    Each side's buffer is bounded: nothing is read from a side while the other does not accept its bytes.
    Messages of the proxy itself are sent only between two forwarded messages.

    Attributes:
        client_framer: frames what the client sends.
        endpoint_framer: frames what the endpoint sends.
        releasable_from_client: bytes at the front of the client's buffer that may be forwarded.
        releasable_from_endpoint: the same for the endpoint's buffer.
        own_message: the unsent rest of a message of the proxy itself to the endpoint.
        reply_due_after: bytes still to be written to the endpoint until it owes a reply; 0 = none of the
            bytes waiting requires one.
        reply_awaited_since: time of the first message that required a reply since the endpoint last sent a
            byte, or since the client last kept the endpoint's bytes from being read; None if no reply is
            awaited.
        last_received_at: when a byte was last received from the endpoint.
        closed_by: the side that closed first.
    """

    def __init__(
        self,
        client: Connection,
        endpoint: Connection,
        client_framer: MessageFramer,
        endpoint_framer: MessageFramer,
    ) -> None:
        self.client, self.endpoint = client, endpoint
        self.client_framer, self.endpoint_framer = client_framer, endpoint_framer
        self.releasable_from_client = self.releasable_from_endpoint = 0
        self.own_message = b""
        self.reply_due_after = 0
        self.reply_awaited_since: int | None = None
        self.last_received_at = clock()
        self.closed_by: Side | None = None

    def _write(self, source: Connection, target: Connection, size: int) -> int:
        received = source.received
        view = memoryview(received.data)[received.start : received.start + size]
        try:
            count = target.write(view)
        finally:
            view.release()
        received.consume(count)
        return count

    def _await_reply(self) -> None:
        if self.reply_awaited_since is None:
            self.reply_awaited_since = clock()

    def _send_own_message(self) -> None:
        self.own_message = self.own_message[self.endpoint.write(self.own_message) :]
        if not self.own_message:
            self.client_framer.on_own_message_sent()
            self._await_reply()

    def _forward_to_endpoint(self) -> bool:
        """Forward from the client to the endpoint; return whether bytes were read or written."""
        progressed = self.client.read()
        framer = self.client_framer
        if self.own_message and not self.releasable_from_client and not framer.inside_message:
            self._send_own_message()
        if self.own_message:
            framer.has_more = False  # nothing is released before it is sent
            return progressed
        releasable = framer.release(self.client.received, self.releasable_from_client)
        self.reply_due_after = framer.reply_due_after or self.reply_due_after
        if releasable:
            count = self._write(self.client, self.endpoint, releasable)
            releasable -= count
            progressed = progressed or count > 0
            self._note_written(count)
        self.releasable_from_client = releasable
        return progressed

    def _note_written(self, count: int) -> None:
        """Note that so many bytes of the client's have been written to the endpoint."""
        if self.reply_due_after and count >= self.reply_due_after:
            self._await_reply()
        self.reply_due_after = max(0, self.reply_due_after - count)

    def _forward_to_client(self) -> bool:
        """Forward from the endpoint to the client; return whether bytes were read or written."""
        endpoint = self.endpoint
        progressed = endpoint.read()
        if progressed:
            self.reply_awaited_since, self.last_received_at = None, clock()
        elif self.reply_awaited_since is not None and endpoint.received.is_full:
            self.reply_awaited_since = clock()  # the client does not read: the reply may be waiting behind
        releasable = self.endpoint_framer.release(endpoint.received, self.releasable_from_endpoint)
        if endpoint.eof:
            releasable = len(endpoint.received)
        if releasable:
            count = self._write(endpoint, self.client, releasable)
            releasable -= count
            progressed = progressed or count > 0
        self.releasable_from_endpoint = releasable
        return progressed

    def forward(self) -> Side | None:
        """Forward what has arrived; return the side that closed, once all that it sent is forwarded.

        A connection that has more to forward than one turn allows is woken again in the next round.
        """
        client, endpoint = self.client, self.endpoint
        for _ in range(READS_PER_ROUND):
            progressed = self._forward_to_endpoint()
            progressed = self._forward_to_client() or progressed
            if client.broken or (client.eof and (not len(client.received) or endpoint.broken)):
                self.closed_by = self.closed_by or Side.CLIENT
            elif endpoint.eof and not len(endpoint.received):
                self.closed_by = self.closed_by or Side.ENDPOINT
            if self.closed_by:
                return self.closed_by
            if self.client_framer.has_more or self.endpoint_framer.has_more:
                break  # its turn is over: the other connections come first
            if not progressed:
                return None
        client.loop.wake(client.owner)
        return None

    # --- handover to another process ---

    def can_be_handed_over(self) -> bool:
        """Whether another process could continue: both sides are open, and no message is partly forwarded."""
        partial = (
            self.releasable_from_client
            or self.releasable_from_endpoint
            or self.own_message
            or self.client_framer.inside_message
            or self.endpoint_framer.inside_message
        )
        buffered = max(len(self.client.received), len(self.endpoint.received))
        return (
            self.closed_by is None
            and self.client.is_healthy
            and self.endpoint.is_healthy
            and not partial
            and buffered <= HANDOVER_BYTES_MAX
        )

    def export_state(self) -> dict[str, Any]:
        """Return what another process needs: unforwarded bytes, and since when a reply is awaited."""
        return {
            "outward": self.client.received.peek(HANDOVER_BYTES_MAX).decode("latin-1"),
            "inward": self.endpoint.received.peek(HANDOVER_BYTES_MAX).decode("latin-1"),
            "asked": self.reply_awaited_since,
        }

    # --- closing ---

    def send_last_message(self, message: bytes, deadline: int) -> Coroutine[bool]:
        """Forward the rest of the endpoint's message, then send ``message``; return whether all was sent.

        At most half of the time until ``deadline`` is spent on the endpoint's message.
        """
        forward_deadline = clock() + (deadline - clock()) // 2
        while not self.client.broken and not self.endpoint.eof and clock() < forward_deadline:
            if self._forward_to_client():
                yield from self.client.loop.yield_turn()  # an endless stream must not block the loop
                continue
            if not self.endpoint_framer.inside_message and not len(self.endpoint.received):
                break
            yield forward_deadline
        if self.releasable_from_endpoint or self.endpoint_framer.inside_message:
            return False
        return (yield from self.client.send(message, deadline))

    def close_gracefully(self, deadline: int) -> Coroutine[None]:
        """Close both sides the same way: a reset is forwarded as a reset, a close as a close."""
        if self.closed_by is Side.ENDPOINT:
            closed_side, other_side = self.endpoint, self.client
        else:
            closed_side, other_side = self.client, self.endpoint
        if closed_side.broken:
            closed_side.close()
            other_side.close(reset=True)
            return
        if self.closed_by is Side.CLIENT:
            # The client may have closed only its sending side and still expect the endpoint's bytes.
            other_side.shutdown_write()
            while not self.endpoint.eof and not self.client.broken and clock() < deadline:
                if self._forward_to_client():
                    yield from self.client.loop.yield_turn()
                else:
                    yield deadline
            self._forward_to_client()
        self.endpoint.close()
        yield from self.client.close_gracefully(deadline)
