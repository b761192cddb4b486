"""The sockets between proxies: datagrams, and streams that carry one frame each way.

A frame begins with its length in four bytes. This module must not interpret frames, look up host names, or
handle more than a few datagrams in a round of the event loop.
"""

from __future__ import annotations

import errno
import ipaddress
import socket
from collections import Counter
from collections.abc import Callable

from arrowseam.address import Address
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.listener import Listener, open_listener
from arrowseam.net.task import Coroutine, Task
from arrowseam.outcomes import StreamOutcome

DATAGRAMS_PER_ROUND = 32
DATAGRAM_BYTES_MAX = 1401  # one more than is allowed, so that longer ones are detected
STREAMS_MAX = 16  # open at once, for each direction
REPLY_TIMEOUT = 500 * MS  # of an outgoing stream, including connecting
REQUEST_TIMEOUT = 2 * SECOND  # of an incoming stream
LENGTH_BYTES = 4
FRAME_BYTES_MAX = 4 << 20
RECEIVE_LIMIT = 65536
CHECKED_HOSTS_MAX = 10_000  # bounds the cache: the hosts are received from the network


def is_ip_address(host: str) -> bool:
    """Whether ``host`` is an IP address; looking up a name would block."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


class PeerTransport:
    """Sends and receives datagrams and stream requests at one address.

    Attributes:
        on_datagram: called with each datagram.
        on_request: called with each frame of an incoming stream; returns the reply, length included, or None
            for no reply.
        counters: messages that could not be sent, frames that were too long, streams that were rejected.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        on_datagram: Callable[[bytes], None],
        on_request: Callable[[bytes], bytes | None],
    ) -> None:
        """Raises OSError if the address cannot be bound."""
        self.loop, self.on_datagram, self.on_request = loop, on_datagram, on_request
        self.counters: Counter[str] = Counter()
        self._outgoing_streams = self._incoming_streams = 0
        self._checked_hosts: dict[str, bool] = {}  # whether each is an IP address
        self.sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.sock.setblocking(False)
            self.sock.bind(address)
            self.listener = Listener(loop, open_listener(address), "fleet", self._serve_stream)
        except OSError:
            self.sock.close()
            raise
        self.task: Task = loop.start_task(self._read_datagrams(), "peer datagrams")
        loop.watch_readable(self.sock.fileno(), self.task)

    def close(self) -> None:
        """Close both sockets; open streams end by themselves."""
        if self.sock.fileno() < 0:
            return
        self.loop.unwatch(self.sock.fileno())
        self.sock.close()
        self.loop.listeners.remove(self.listener)
        self.listener.release()

    def _is_ip_address(self, host: str) -> bool:
        if host not in self._checked_hosts:
            if len(self._checked_hosts) >= CHECKED_HOSTS_MAX:
                self._checked_hosts.clear()
            self._checked_hosts[host] = is_ip_address(host)
        return self._checked_hosts[host]

    # --- datagrams ---

    def send(self, address: Address, data: bytes) -> None:
        """Send a datagram. One that cannot be sent counts as lost, which callers must expect anyway."""
        if not self._is_ip_address(address[0]):
            self.counters["unsent"] += 1
            return
        try:
            self.sock.sendto(data, address)
        except OSError:
            self.counters["unsent"] += 1

    def _read_datagrams(self) -> Coroutine[None]:
        while True:
            for _ in range(DATAGRAMS_PER_ROUND):
                if self.sock.fileno() < 0:
                    return
                try:
                    data = self.sock.recv(DATAGRAM_BYTES_MAX)
                except (BlockingIOError, InterruptedError):
                    break
                except OSError:  # an ICMP error caused by an earlier datagram
                    continue
                self.on_datagram(data)
            yield None

    # --- streams ---

    def request(self, address: Address, frame: bytes, on_end: Callable[[StreamOutcome, bytes], None]) -> None:
        """Send one frame, length included; ``on_end`` gets the outcome and the reply without its length."""
        if self._outgoing_streams >= STREAMS_MAX or not self._is_ip_address(address[0]):
            self.counters["unsent"] += 1
            on_end(StreamOutcome.TIMED_OUT, b"")
            return
        self._outgoing_streams += 1
        self.loop.start_task(self._run_request(address, frame, on_end), "peer stream")

    def _run_request(
        self, address: Address, frame: bytes, on_end: Callable[[StreamOutcome, bytes], None]
    ) -> Coroutine[None]:
        outcome, reply = StreamOutcome.TIMED_OUT, b""
        try:
            outcome, reply = yield from self._exchange(address, frame)
        finally:
            self._outgoing_streams -= 1
            on_end(outcome, reply)

    def _exchange(self, address: Address, frame: bytes) -> Coroutine[tuple[StreamOutcome, bytes]]:
        deadline = clock() + REPLY_TIMEOUT
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
        except OSError:
            return StreamOutcome.TIMED_OUT, b""
        sock.setblocking(False)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            return _outcome_of_error(code), b""
        conn = Connection(self.loop, sock, self.loop.current_task, RECEIVE_LIMIT)
        try:
            while not conn.writable:
                if clock() >= deadline:
                    return StreamOutcome.TIMED_OUT, b""
                yield deadline
            code = conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                return _outcome_of_error(code), b""
            if not (yield from conn.send(frame, deadline)):
                return StreamOutcome.TIMED_OUT, b""
            reply = yield from self._read_frame(conn, deadline)
            return (StreamOutcome.TIMED_OUT, b"") if reply is None else (StreamOutcome.ANSWERED, reply)
        finally:
            conn.close()

    def _read_frame(self, conn: Connection, deadline: int) -> Coroutine[bytes | None]:
        """Return a frame without its length; None if it is too long or incomplete."""
        data, size = bytearray(), -1
        while True:
            conn.read()
            data += conn.received.take(len(conn.received))
            if size < 0 and len(data) >= LENGTH_BYTES:
                size = int.from_bytes(data[:LENGTH_BYTES], "big")
                if size > FRAME_BYTES_MAX:
                    self.counters["oversized"] += 1
                    return None
            if 0 <= size <= len(data) - LENGTH_BYTES:
                return bytes(data[LENGTH_BYTES : LENGTH_BYTES + size])
            if conn.eof or clock() >= deadline:
                return None
            if not conn.readable:
                yield deadline

    def _serve_stream(self, conn: Connection) -> Coroutine[None]:
        if self._incoming_streams >= STREAMS_MAX:
            self.counters["turned_away"] += 1
            return
        self._incoming_streams += 1
        try:
            conn.received.limit = RECEIVE_LIMIT
            deadline = clock() + REQUEST_TIMEOUT
            frame = yield from self._read_frame(conn, deadline)
            reply = self.on_request(frame) if frame is not None else None
            if reply is not None and (yield from conn.send(reply, deadline)):
                yield from conn.close_gracefully(deadline)
        finally:
            self._incoming_streams -= 1


def _outcome_of_error(code: int) -> StreamOutcome:
    return StreamOutcome.REFUSED if code == errno.ECONNREFUSED else StreamOutcome.TIMED_OUT
