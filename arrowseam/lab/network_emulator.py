"""A network emulator on loopback that carries all datagrams and streams between proxies.

Each member is advertised at an address of the emulator, so each direction of each link between two members
can be cut, or given loss, delay, duplication and corruption, by itself. Only the sender of a
stream is decoded; the contents of messages are not checked.
"""

from __future__ import annotations

import contextlib
import heapq
import random
import socket
from dataclasses import dataclass

from arrowseam.consensus.framing import FrameError
from arrowseam.membership import codec
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.listener import Listener, open_listener
from arrowseam.net.task import Coroutine
from arrowseam.rollouts.messages import decode_message, sender_name

STREAM_TIMEOUT = 10 * SECOND  # how long a stream across a cut link stays open without an answer


@dataclass
class Link:
    """The state of one direction between two members; times in microseconds, fractions are probabilities."""

    cut: bool = False
    loss: float = 0.0
    delay: int = 0
    spread: int = 0  # maximum extra delay, drawn for each datagram, which reorders them
    doubled: float = 0.0
    corrupted: float = 0.0


class NetworkEmulator:
    """The links between all members, and the sockets at which each member is advertised."""

    def __init__(self, loop: EventLoop, cluster_name: str, seed: int) -> None:
        self.loop, self.cluster_name, self.rnd = loop, cluster_name, random.Random(seed)
        self.listen_addresses: dict[str, tuple[str, int]] = {}  # where each member listens
        self.member_names: dict[tuple[str, int], str] = {}  # by listen address: who sent a datagram
        self.advertised: dict[str, tuple[str, int]] = {}
        self.udp: dict[str, socket.socket] = {}
        self.tcp: dict[str, Listener] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.powered_off: set[str] = set()  # members whose machine is off: it neither answers nor refuses
        self.delayed: list[tuple[int, int, str, bytes]] = []  # datagrams: when, sequence, receiver, data
        self.sequence = 0
        self.lost = 0
        self.delay_task = loop.start_task(self._send_delayed(), "network emulator")

    def add(self, name: str, listen_address: tuple[str, int], port: int) -> tuple[str, int]:
        """Add a member; return the address to advertise. Streams to it are refused until ``up``."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", port))
        sock.setblocking(False)
        task = self.loop.start_task(self._receive_datagrams(name, sock), f"to {name}")
        self.loop.watch_readable(sock.fileno(), task)
        self.listen_addresses[name], self.member_names[listen_address], self.udp[name] = (
            listen_address,
            name,
            sock,
        )
        self.advertised[name] = sock.getsockname()[:2]
        return self.advertised[name]

    def up(self, name: str) -> None:
        """Accept streams to a member, whose process runs."""
        if name not in self.tcp:
            sock = open_listener(self.advertised[name])
            self.tcp[name] = Listener(
                self.loop, sock, f"to {name}", lambda conn: self._forward_stream(name, conn)
            )

    def down(self, name: str) -> None:
        """Refuse streams to a member, whose process has ended while its machine is up."""
        listener = self.tcp.pop(name, None)
        if listener is not None:
            self.loop.listeners.remove(listener)
            listener.close()

    def link(self, one: str, other: str) -> Link:
        """Return the link from one member to another, created on first use."""
        return self.links.setdefault((one, other), Link())

    def partition(self, *groups: list[str], one_way: bool = False) -> list[tuple[str, str]]:
        """Cut every link between the groups and return the cut links.

        With ``one_way`` only links from the first group to the others are cut.
        """
        links = []
        for i, ours in enumerate(groups):
            for j, theirs in enumerate(groups):
                if i != j and (not one_way or i == 0):
                    for one in ours:
                        for other in theirs:
                            self.link(one, other).cut = True
                            links.append((one, other))
        return links

    def restore(self, links: list[tuple[str, str]]) -> None:
        """Reconnect these links."""
        for one, other in links:
            self.link(one, other).cut = False

    def heal(self) -> None:
        """Remove the faults of every link."""
        self.links.clear()

    def set_links(self, names: list[str], **fields: float) -> None:
        """Set fields of ``Link`` on every link among these members."""
        for one in names:
            for other in names:
                for key, value in fields.items():
                    setattr(self.link(one, other), key, value)

    # --- datagrams ---

    def _receive_datagrams(self, name: str, sock: socket.socket) -> Coroutine[None]:
        while True:
            for _ in range(64):
                try:
                    data, source = sock.recvfrom(65536)
                except (BlockingIOError, InterruptedError):
                    break
                except OSError:
                    continue
                self._deliver(self.member_names.get(source[:2], ""), name, data)
            yield None

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        link = self.links.get((sender, receiver))
        if self.powered_off and (sender in self.powered_off or receiver in self.powered_off):
            self.lost += 1
            return
        if link is None:
            self._send(receiver, data)
            return
        for _ in range(1 + (self.rnd.random() < link.doubled)):
            if link.cut or self.rnd.random() < link.loss:
                self.lost += 1
                continue
            sent = data
            if self.rnd.random() < link.corrupted:
                at = self.rnd.randrange(len(data))
                sent = data[:at] + bytes([data[at] ^ (1 << self.rnd.randrange(8))]) + data[at + 1 :]
            wait = link.delay + int(self.rnd.random() * link.spread)
            if not wait:
                self._send(receiver, sent)
                continue
            self.sequence += 1
            heapq.heappush(self.delayed, (clock() + wait, self.sequence, receiver, sent))
            self.loop.wake(self.delay_task)

    def _send_delayed(self) -> Coroutine[None]:
        while True:
            while self.delayed and self.delayed[0][0] <= clock():
                _, _, receiver, data = heapq.heappop(self.delayed)
                self._send(receiver, data)
            yield self.delayed[0][0] if self.delayed else None

    def _send(self, receiver: str, data: bytes) -> None:
        try:
            self.udp[receiver].sendto(data, self.listen_addresses[receiver])
        except OSError:
            self.lost += 1

    # --- streams ---

    def _forward_stream(self, name: str, conn: Connection) -> Coroutine[None]:
        conn.received.limit = 65536
        due = clock() + STREAM_TIMEOUT
        frame = yield from self._read_frame(conn, due)
        if frame is None:
            return
        sender = self._stream_sender(frame[codec.LENGTH_SIZE :])
        if self._is_cut(sender, name):
            yield from self._hold_open(conn, due)
            return
        upstream = yield from self.loop.connect(self.listen_addresses[name], due)
        if upstream is None:
            conn.close(reset=True)
            return
        try:
            upstream.received.limit = 65536
            yield from upstream.send(frame, due)
            answer = yield from self._read_frame(upstream, due)
            if answer is None:
                conn.close(reset=True)
            elif self._is_cut(name, sender):
                yield from self._hold_open(conn, due)
            else:
                link = self.links.get((sender, name))
                pause = clock() + (link.delay if link is not None else 0)
                while clock() < pause:
                    yield pause
                yield from conn.send(answer, due)
                yield from conn.close_gracefully(clock() + 200 * MS)
        finally:
            upstream.close()

    def _stream_sender(self, frame: bytes) -> str:
        with contextlib.suppress(codec.MalformedMessageError):
            return codec.decode_frame(frame, self.cluster_name).sender.name
        with contextlib.suppress(FrameError):
            return sender_name(decode_message(frame, self.cluster_name))
        return ""

    def _is_cut(self, sender: str, receiver: str) -> bool:
        link = self.links.get((sender, receiver))
        return receiver in self.powered_off or (link is not None and link.cut)

    def _hold_open(self, conn: Connection, due: int) -> Coroutine[None]:
        while not conn.peer_closed and clock() < due:
            yield due

    def _read_frame(self, conn: Connection, due: int) -> Coroutine[bytes | None]:
        received = bytearray()
        while True:
            conn.read()
            received += conn.received.take(len(conn.received))
            size = codec.LENGTH_SIZE + int.from_bytes(received[: codec.LENGTH_SIZE], "big")
            if len(received) >= codec.LENGTH_SIZE and len(received) >= size:
                return bytes(received[:size])
            if conn.eof or clock() >= due:
                return None
            if not conn.readable:
                yield due
