"""A non-blocking socket with its receive buffer and its state as reported by epoll.

This module must not interpret the bytes.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING

from arrowseam.net.buffer import Buffer
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.task import Coroutine, Task

if TYPE_CHECKING:
    from arrowseam.net.event_loop import EventLoop

RECEIVE_LIMIT = 16384  # bytes buffered, by default
READS_PER_ROUND = 16  # of one connection, before the other tasks run
CLOSE_TIMEOUT = SECOND // 2  # after the peer's last byte, for the peer to close its side
# For a peer that keeps sending: 60 MB take seconds, and a reset would overtake our last message.
CLOSE_TIMEOUT_SENDING = 5 * SECOND
DISCARD_INTERVAL = 2 * MS  # between two rounds of discarding, so that the sender cannot occupy the CPU
_DISCARD_BUFFER = bytearray(65536)


class Connection:
    """A socket, the bytes read from it, and what epoll has reported about it.

    Attributes:
        received: bytes read and not consumed yet.
        owner: the task that is woken when something happens here.
        readable, writable: a read or write may succeed; edge-triggered, so true until one would block.
        eof: nothing more will be read: the peer closed its side, the connection broke, or it is closed here.
        broken: an error occurred; nothing more can be written.
        hung_up: epoll reported that the peer closed its side or that the connection broke.
        closed: closed by this process.
    """

    __slots__ = (
        "broken",
        "closed",
        "eof",
        "fd",
        "hung_up",
        "loop",
        "owner",
        "readable",
        "received",
        "sock",
        "writable",
    )

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        owner: Task | None = None,
        receive_limit: int = RECEIVE_LIMIT,
    ) -> None:
        sock.setblocking(False)
        self.loop, self.sock, self.owner = loop, sock, owner
        self.fd = sock.fileno()
        self.received = Buffer(receive_limit)
        self.readable = self.writable = False
        self.eof = self.broken = self.hung_up = self.closed = False
        loop.register(self)

    # --- reading ---

    def read(self) -> bool:
        """Read what has arrived, up to the buffer's limit; return whether anything was read."""
        if not self.readable:
            return False
        received = self.received
        size = received.end - received.start
        while self.readable and not self.eof and not self.broken and not received.is_full:
            try:
                self._receive()
            except (BlockingIOError, InterruptedError):
                self.readable = False
            except OSError:
                self.broken = self.eof = True
        return received.end - received.start > size

    def _receive(self) -> None:
        """Read once into the buffer; sets ``eof`` at the end of the stream. Raises OSError as recv does."""
        received = self.received
        view = received.free_space()
        try:
            count = self.sock.recv_into(view)
        finally:
            view.release()
        if count == 0:
            self.eof = True
        received.end += count

    def _read_after_write_error(self) -> None:
        """Read what the peer sent before the connection broke."""
        self.broken, self.readable = False, True
        self.read()
        self.broken = self.eof = True

    def discard_input(self) -> bool:
        """Discard what has arrived, in a bounded number of reads; return whether anything was discarded."""
        discarded = len(self.received) > 0
        self.received.consume(len(self.received))
        for _ in range(READS_PER_ROUND):
            if not self.readable or self.eof or self.broken:
                break
            try:
                count = self.sock.recv_into(_DISCARD_BUFFER)
            except (BlockingIOError, InterruptedError):
                self.readable = False
            except OSError:
                self.broken = self.eof = True
            else:
                self.eof = count == 0
                discarded = discarded or count > 0
        return discarded

    def read_line(
        self, limit: int, deadline: int, should_stop: Callable[[], bool] = bool
    ) -> Coroutine[bytes | None]:
        """Return the next line without its CRLF.

        Returns None at the end of the stream, at ``deadline``, for a line longer than ``limit``, or when no
        complete line has arrived and ``should_stop`` returns true. A line that ends without CR keeps its LF,
        so that it is not taken for a valid one.
        """
        while True:
            self.read()
            at = self.received.find(b"\n")
            if 0 <= at < limit:
                return self.received.take(at + 1).removesuffix(b"\r\n")
            if at >= limit or len(self.received) >= limit:
                return None
            if self.eof or clock() >= deadline or should_stop():
                return None
            yield deadline

    # --- writing ---

    def write(self, data: bytes | memoryview) -> int:
        """Write what the socket accepts at once; return the number of bytes.

        An error sets ``broken``; what the peer sent before it stays readable.
        """
        if self.broken or self.closed or not self.writable:
            return 0
        try:
            return self.sock.send(data, socket.MSG_NOSIGNAL)
        except (BlockingIOError, InterruptedError):
            self.writable = False
        except OSError:
            self.broken = True
            self._read_after_write_error()
        return 0

    def send(self, data: bytes, deadline: int) -> Coroutine[bool]:
        """Write all of ``data`` by ``deadline``; return whether its last byte was written."""
        written = 0
        while not self.broken and not self.closed:
            written += self.write(memoryview(data)[written:])
            if written == len(data):
                return True
            if clock() >= deadline:
                break
            if not self.writable:
                yield deadline
        return False

    # --- state ---

    @property
    def peer_closed(self) -> bool:
        """Whether the peer is known to have closed its side; reads what has arrived."""
        self.read()
        return self.eof or self.hung_up or self.closed

    @property
    def is_healthy(self) -> bool:
        """Whether neither side is known to be closed."""
        return not (self.eof or self.broken or self.hung_up or self.closed)

    # --- closing ---

    def shutdown_write(self) -> None:
        """Close the sending side; the peer's bytes can still be read."""
        if not self.closed:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.broken = True

    def close(self, reset: bool = False) -> None:
        """Close at once; with ``reset`` the peer gets a connection reset."""
        if self.closed:
            return
        self.closed = self.eof = True
        self.loop.expendable.pop(self, None)
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.loop.unregister(self)
        self.sock.close()

    def close_with_message(self, message: bytes) -> None:
        """Send a last message and close at once, when descriptors are scarce.

        What the peer has sent so far is read and discarded: unread bytes make the kernel send a reset, which
        would destroy the message on its way.
        """
        self.write(message)
        self.shutdown_write()
        self.readable = True
        self.discard_input()
        self.close()

    def close_gracefully(self, deadline: int) -> Coroutine[None]:
        """Close the sending side, discard input until the peer closes, then close.

        Waits for a silent peer until ``deadline``, and longer for one that keeps sending. Guards against
        lost answers to clients that send up to 60 MB: unread bytes make the kernel send a reset, which
        overtakes the answer.
        """
        if not self.broken and not self.closed:
            self.shutdown_write()
            self.loop.expendable[self] = b""
        last = clock() + CLOSE_TIMEOUT_SENDING
        while not self.eof and not self.broken and not self.closed and clock() < min(deadline, last):
            if self.discard_input():
                deadline = max(deadline, clock() + CLOSE_TIMEOUT)
                pause_end = clock() + DISCARD_INTERVAL
                while clock() < pause_end:
                    yield pause_end
            elif not self.eof and not self.broken:
                yield min(deadline, last)
        if not self.broken and not self.closed:
            self.readable = True  # epoll may not have reported the last bytes yet
            self.discard_input()
        self.close()
