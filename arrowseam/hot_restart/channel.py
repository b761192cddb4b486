"""The connection between two processes of one proxy; file descriptors may be sent along with messages."""

from __future__ import annotations

import os
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from arrowseam.errors import ArrowseamError
from arrowseam.hot_restart.messages import (
    DescriptorCount,
    HandoverMessage,
    decode_message,
    encode_message,
)
from arrowseam.hot_restart.offer import SOCKETS_MAX
from arrowseam.logs import log
from arrowseam.net.clock import MS, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine

LINE_BYTES_MAX = 65536
DESCRIPTOR_COUNT_INTERVAL = 100 * MS  # between two checks whether the number of descriptors has changed


class DescriptorConnection(Connection):
    """A connection that also receives descriptors, and queues them in the order of arrival."""

    __slots__ = ("descriptors",)

    def __init__(self, loop: EventLoop, sock: socket.socket, owner: Any) -> None:
        super().__init__(loop, sock, owner, LINE_BYTES_MAX)
        self.descriptors: deque[int] = deque()
        self.readable = self.writable = True

    def _receive(self) -> None:
        data, descriptors, flags, _ = socket.recv_fds(
            self.sock, LINE_BYTES_MAX - len(self.received), SOCKETS_MAX
        )
        self.descriptors += descriptors
        if flags & socket.MSG_CTRUNC:
            # The kernel dropped a descriptor because none was free here. The following ones would be taken
            # for it, and a client would be paired with another client's endpoint. So nothing more is read,
            # and the received descriptors are closed.
            self.broken = self.eof = True
            return
        self.eof = not data
        self.received.append(data)

    def close(self, reset: bool = False) -> None:
        """Close the connection, and the received descriptors that were not taken."""
        while self.descriptors:
            os.close(self.descriptors.popleft())
        super().close(reset)


class HandoverChannel:
    """Sends and receives the messages of a hot restart.

    Attributes:
        unsent: lines still to be written, each with the descriptors to be sent along.
    """

    def __init__(
        self,
        loop: EventLoop,
        connection: DescriptorConnection,
        on_message: Callable[[HandoverMessage, DescriptorConnection], None],
    ) -> None:
        self.loop, self.connection, self.on_message = loop, connection, on_message
        self.unsent: deque[tuple[bytes, list[int]]] = deque()
        self.reported_count = -1

    def send(self, message: HandoverMessage, *connections: Connection) -> None:
        """Send a message, together with copies of the descriptors of ``connections``.

        Raises:
            OSError: a descriptor could not be copied, as none is free; nothing is sent.
        """
        descriptors: list[int] = []
        try:
            for connection in connections:
                descriptors.append(os.dup(connection.fd))
        except OSError:
            _close_all(descriptors)
            raise
        self.unsent.append((encode_message(message), descriptors))
        self.flush()

    def flush(self) -> None:
        """Write as much as the socket accepts now."""
        while self.unsent and self._can_write():
            data, descriptors = self.unsent.popleft()
            sent = self._write(data, descriptors)
            if sent:
                _close_all(descriptors)  # they were sent along with the first byte
                descriptors = []
            if sent < len(data):
                self.unsent.appendleft((data[sent:], descriptors))

    def _can_write(self) -> bool:
        return self.connection.writable and not self.connection.broken and not self.connection.closed

    def _write(self, data: bytes, descriptors: list[int]) -> int:
        try:
            if descriptors:
                return socket.send_fds(self.connection.sock, [data], descriptors)
            return self.connection.write(data)
        except (BlockingIOError, InterruptedError):
            self.connection.writable = False
        except OSError:
            self.connection.broken = True
        return 0

    def run(self) -> Coroutine[None]:
        """Exchange messages until the channel closes or fails: both mean that the other process has ended."""
        connection = self.connection
        try:
            while True:
                connection.read()
                self._handle_lines()
                if connection.eof or connection.closed or connection.received.is_full:
                    return
                self._report_descriptor_count()
                self.flush()
                yield clock() + DESCRIPTOR_COUNT_INTERVAL
        finally:
            self.loop.held_by_peer_process = 0
            for _, descriptors in self.unsent:
                _close_all(descriptors)
            self.unsent.clear()
            connection.close()

    def _handle_lines(self) -> None:
        received = self.connection.received
        while (newline := received.find(b"\n")) >= 0:
            try:
                message = decode_message(received.take(newline + 1))
                if message is not None:
                    self.on_message(message, self.connection)
            except (ArrowseamError, ValueError, TypeError, KeyError) as error:
                log("hot_restart.note", f"hot restart: invalid message from the other process: {error!r}")

    def _report_descriptor_count(self) -> None:
        count = len(self.loop.watched)
        if count != self.reported_count:
            self.reported_count = count
            self.send(DescriptorCount(count))


def _close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)
