"""The event loop: epoll, timers, tasks, signals and the limit of file descriptors.

It owns every file descriptor of the proxy. It must not interpret bytes, make decisions about requests, block,
or let the exception of one task reach another.
"""

from __future__ import annotations

import contextlib
import errno
import heapq
import os
import resource
import select
import signal
import socket
import traceback
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from arrowseam.address import Address
from arrowseam.logs import log
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.connection import RECEIVE_LIMIT, Connection
from arrowseam.net.task import Coroutine, Task

if TYPE_CHECKING:
    from arrowseam.net.listener import Listener

WATCHED_EVENTS = select.EPOLLIN | select.EPOLLOUT | select.EPOLLRDHUP | select.EPOLLET
EVENTS_PER_POLL = 256
# Descriptors that connections to endpoints may not use: for the proxy's files and its discovery connection.
OWN_DESCRIPTORS = 8
# New clients are rejected while fewer descriptors are free than this number plus the limit divided by
# ``SCARCE_DIVISOR``: an established connection takes two, and discovery, the log and running attempts need
# some.
SCARCE_DESCRIPTORS = 24
SCARCE_DIVISOR = 32
POLL_VALID_FOR = 10 * MS  # age of the last poll up to which the known state of a peer counts as current
ROUND_RETRY = 100 * MS  # delay before ``on_round`` is called again after an exception


def _short_traceback() -> str:
    return " | ".join(traceback.format_exc().strip().splitlines()[-3:])


class EventLoop:
    """Runs tasks as epoll events and timers require.

    Attributes:
        watched: the connection or task to which each registered descriptor belongs.
        on_round: called once a round with the time; returns when it wants to be called next, or None.
        stopped: set to end ``run`` after the current round.
        descriptor_limit: maximum number of descriptors that this process may hold.
        reserved_for_control: descriptors that clients may not use.
        reserved_for_attempts: descriptors that requests without an established connection may still need.
        held_by_peer_process: descriptors that the other process of this proxy holds during a hot restart.
        expendable: connections that may be closed when descriptors are scarce, oldest first, each with the
            last message to send: clients that have sent no request yet, and, with an empty message, those
            that have received their final answer.
        spare_descriptor: held so that a connection can be accepted and answered when no other is left; -1
            while it is in use.
    """

    def __init__(self, descriptor_limit: int = 1 << 20) -> None:
        self.epoll = select.epoll()
        self.watched: dict[int, Connection | Task] = {}
        self.listeners: list[Listener] = []
        self.expendable: dict[Connection, bytes] = {}
        self.reserved_for_control = 0
        self.reserved_for_attempts = 0
        self.held_by_peer_process = 0
        self.set_descriptor_limit(descriptor_limit)
        self.spare_descriptor = os.open("/dev/null", os.O_RDONLY)
        self.current_task: Task | None = None
        self.on_round: Callable[[int], int | None] = lambda _now: None
        self.stopped = False
        self._ready: deque[Task] = deque()
        self._ready_high_priority: deque[Task] = deque()
        self._timers: list[tuple[int, int, Task]] = []
        self._timer_count = 0
        self._unregistered: set[int] = set()  # in this round
        self._polled_at = 0
        self._signal_handlers: dict[int, Callable[[], None]] = {}

    # --- descriptors ---

    def register(self, conn: Connection) -> None:
        """Watch a connection."""
        self.watched[conn.fd] = conn
        self.epoll.register(conn.fd, WATCHED_EVENTS)

    def unregister(self, conn: Connection) -> None:
        """Stop watching a connection.

        Guards against stale events: its number may be given to a new socket in the same round, and the rest
        of the events polled for that number belong to the old one.
        """
        self.watched.pop(conn.fd, None)
        self._unregistered.add(conn.fd)
        with contextlib.suppress(OSError):
            self.epoll.unregister(conn.fd)

    def watch_readable(self, fd: int, task: Task) -> None:
        """Wake a task in every round in which a descriptor is readable."""
        self.watched[fd] = task
        self.epoll.register(fd, select.EPOLLIN)

    def unwatch(self, fd: int) -> None:
        """Undo ``watch_readable``."""
        self.watched.pop(fd, None)
        self.epoll.unregister(fd)

    def set_events(self, fd: int, readable: bool) -> None:
        """Resume (``readable``) or pause watching a descriptor of ``watch_readable``."""
        self.epoll.modify(fd, select.EPOLLIN if readable else 0)

    def set_descriptor_limit(self, limit: int) -> None:
        """Use at most ``limit`` descriptors, and no more than the resource limit of the process."""
        self.descriptor_limit = min(limit, resource.getrlimit(resource.RLIMIT_NOFILE)[0])

    @property
    def descriptors_scarce(self) -> bool:
        """Whether so few descriptors are free that new clients are rejected at once."""
        used = len(self.watched) + self.held_by_peer_process
        reserved = self.reserved_for_attempts + self.reserved_for_control
        margin = SCARCE_DESCRIPTORS + self.descriptor_limit // SCARCE_DIVISOR
        return self.spare_descriptor < 0 or used + reserved + margin >= self.descriptor_limit

    @property
    def descriptors_exhausted(self) -> bool:
        """Whether all free descriptors are reserved: no connection to an endpoint is opened then."""
        return len(self.watched) + self.held_by_peer_process + OWN_DESCRIPTORS >= self.descriptor_limit

    def reclaim_descriptors(self) -> bool:
        """Close expendable connections while descriptors are scarce; return whether enough are free now.

        Guards against hundreds of clients that connect and send nothing: these are rejected instead of the
        next client.
        """
        if self.descriptors_scarce:
            # First those without a request: the ones that were answered may still be reading.
            for conn, message in sorted(self.expendable.items(), key=lambda item: not item[1]):
                if message and conn.read():
                    continue  # its request has just arrived and is served
                if message:
                    conn.close_with_message(message)
                conn.close()
                self.wake(conn.owner)
                if not self.descriptors_scarce:
                    break
        return not self.descriptors_scarce

    def release_spare_descriptor(self) -> None:
        """Free the spare descriptor for a connection that must be answered."""
        os.close(self.spare_descriptor)
        self.spare_descriptor = -1

    def on_connection_finished(self) -> None:
        """Reopen the spare descriptor and accept again, after a served connection was closed."""
        if self.spare_descriptor < 0:
            with contextlib.suppress(OSError):
                self.spare_descriptor = os.open("/dev/null", os.O_RDONLY)
        for listener in self.listeners:
            listener.unpause()

    # --- outgoing connections ---

    def _start_connect(self, address: Address, may_use_reserved: bool) -> Connection | None:
        self.reclaim_descriptors()
        if self.descriptors_exhausted and not may_use_reserved:
            return None
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
        except OSError:
            return None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if sock.connect_ex(address) not in (0, errno.EINPROGRESS):
            sock.close()
            return None
        return Connection(self, sock, self.current_task, RECEIVE_LIMIT)

    def connect(
        self,
        address: Address,
        deadline: int,
        should_stop: Callable[[], bool] = bool,
        may_use_reserved: bool = False,
    ) -> Coroutine[Connection | None]:
        """Connect by ``deadline`` or until ``should_stop`` returns true; return None on failure.

        ``may_use_reserved`` permits the use of a reserved descriptor. Guards against discovery being
        unreachable because clients and endpoints hold all others.
        """
        conn = self._start_connect(address, may_use_reserved)
        if conn is None:
            return None
        try:
            while not conn.writable:
                if clock() >= deadline or should_stop():
                    conn.close()
                    return None
                yield deadline
        except GeneratorExit:
            conn.close()  # the task was closed
            raise
        if conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            conn.close()
            return None
        return conn

    # --- tasks ---

    def start_task(self, coroutine: Coroutine[None], name: str, high_priority: bool = False) -> Task:
        """Run a coroutine as a task from the next round on; ``name`` is logged if it fails."""
        task = Task(coroutine, name, high_priority)
        self.wake(task)
        return task

    def wake(self, task: Task | None) -> None:
        """Run a task in the next round."""
        if task is not None and not task.is_queued:
            task.is_queued = True
            (self._ready_high_priority if task.high_priority else self._ready).append(task)

    def yield_turn(self) -> Coroutine[None]:
        """Let all other tasks run. Guards against a peer that sends as fast as it is answered."""
        self.wake(self.current_task)
        yield None

    def _run_task(self, task: Task) -> None:
        task.is_queued, task.wake_at = False, None
        self.current_task = task
        try:
            wake_at = next(task.coroutine)
        except StopIteration:
            return
        except Exception:
            log("task.failed", f"{task.name}: {_short_traceback()}", "error")
            return
        finally:
            self.current_task = None
        if wake_at is not None:
            task.wake_at = wake_at
            self._timer_count += 1
            heapq.heappush(self._timers, (wake_at, self._timer_count, task))

    # --- signals ---

    def on_signal(self, number: int, handler: Callable[[], None]) -> None:
        """Call ``handler`` from the loop after a signal; several that arrive together count as one.

        All signals share one wake-up pipe, which carries their numbers: a process has a single wake-up
        descriptor, so with a pipe for each signal the last one created would get them all.
        """
        self._signal_handlers[number] = handler
        if len(self._signal_handlers) == 1:
            # Set up before any handler, not when the task first runs: a signal in between would be lost.
            reader, writer = socket.socketpair()
            writer.setblocking(False)
            signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
            self.start_task(self._read_signals(reader, writer), "signal")
        signal.signal(number, lambda *_: None)

    def _read_signals(self, reader: socket.socket, writer: socket.socket) -> Coroutine[None]:
        conn = Connection(self, reader, self.current_task)
        while True:
            conn.read()
            for number in sorted(set(conn.received.take(len(conn.received)))):
                try:
                    self._signal_handlers.get(number, lambda: None)()
                except Exception as error:
                    log("signal.failed", f"signal {number}: {error!r}")
            _ = writer  # the socket stays open as long as this coroutine
            yield None

    # --- rounds ---

    def run_until(self, condition: Callable[[], bool], deadline: int) -> None:
        """Run until ``condition`` holds or until ``deadline``; for the time before ``run``."""
        on_round = self.on_round

        def checked_round(now: int) -> int:
            next_at = on_round(now)
            self.stopped = condition() or now >= deadline
            return deadline if next_at is None else min(next_at, deadline)

        self.on_round = checked_round
        self.run()
        self.on_round, self.stopped = on_round, False

    def run(self) -> None:
        """Run rounds until ``stopped`` is set."""
        next_round: int | None = clock()
        while not self.stopped:
            self._poll(self._wait_time(next_round))
            self._wake_due(clock())
            for _ in range(len(self._ready_high_priority)):
                self._run_task(self._ready_high_priority.popleft())
            for _ in range(len(self._ready)):
                self._run_task(self._ready.popleft())
            try:
                next_round = self.on_round(clock())
            except Exception:
                # One failed round must not end the process with all its connections.
                log("round.failed", f"round: {_short_traceback()}", "error")
                next_round = clock() + ROUND_RETRY

    def _wait_time(self, next_round: int | None) -> float:
        """Return how long the next poll may wait, in seconds; -1 = until an event."""
        timers = self._timers
        while timers and timers[0][2].wake_at != timers[0][0]:
            heapq.heappop(timers)  # outdated: the task has run since
        if self._ready or self._ready_high_priority:
            return 0
        if timers and (next_round is None or timers[0][0] < next_round):
            next_round = timers[0][0]
        return -1.0 if next_round is None else max(0.0, (next_round - clock()) / SECOND)

    def _wake_due(self, now: int) -> None:
        timers = self._timers
        while timers and timers[0][0] <= now:
            at, _, task = heapq.heappop(timers)
            if task.wake_at == at:
                self.wake(task)

    def _poll(self, wait: float) -> None:
        """Poll epoll: update the reported connections and wake their owners."""
        self._unregistered.clear()
        for fd, events in self.epoll.poll(wait, EVENTS_PER_POLL):
            target = None if fd in self._unregistered else self.watched.get(fd)
            if isinstance(target, Connection):
                if events & select.EPOLLOUT or events & (select.EPOLLERR | select.EPOLLHUP):
                    target.writable = True
                if events & ~select.EPOLLOUT:
                    target.readable = True
                if events & (select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR):
                    target.hung_up = True
                self.wake(target.owner)
            else:
                self.wake(target)
        self._polled_at = clock()

    def poll_if_stale(self) -> None:
        """Poll again if the last poll is old, before acting on the assumption that a peer is connected.

        Guards against long rounds: a client that left at the beginning would be noticed only after the end.
        """
        if clock() - self._polled_at >= POLL_VALID_FOR:
            self._poll(0)
