"""Listening sockets: accept connections and start a task for each."""

from __future__ import annotations

import contextlib
import errno
import socket
from collections.abc import Callable

from arrowseam.address import Address
from arrowseam.logs import log
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine

ACCEPTS_PER_ROUND = 64  # the accepted connections are served before the rest of the backlog
BACKLOG = 1024
_WHOLE_BACKLOG = 1 << 20


def open_listener(address: Address) -> socket.socket:
    """Open a listening socket; another process of this proxy may have the same address. Raises OSError."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def listen(
    loop: EventLoop,
    address: Address,
    name: str,
    serve: Callable[[Connection], Coroutine[None]],
    high_priority: bool = False,
) -> Listener:
    """Listen at an address; raises OSError."""
    return Listener(loop, open_listener(address), name, serve, high_priority)


class Listener:
    """Accepts a part of the backlog each round, and all of it when it is closed.

    Attributes:
        paused: out of descriptors: no connection is accepted until another one ends.
        active: number of connections accepted here and not finished.
        is_unix: a unix socket, for the processes of this proxy.
        address: the local address; empty for a unix socket.
    """

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        name: str,
        serve: Callable[[Connection], Coroutine[None]],
        high_priority: bool = False,
    ) -> None:
        self.loop, self.sock, self.name, self.serve = loop, sock, name, serve
        self.high_priority = high_priority
        self.sock.setblocking(False)
        self.paused = False
        self.active = 0
        self.is_unix = sock.family == socket.AF_UNIX
        self.address: Address = ("", 0) if self.is_unix else self.sock.getsockname()[:2]
        if not self.is_unix:
            loop.listeners.append(self)
        task = loop.start_task(self._run(), f"{name} listener", high_priority)
        loop.watch_readable(self.sock.fileno(), task)

    def _run(self) -> Coroutine[None]:
        while True:
            self.accept(ACCEPTS_PER_ROUND)
            yield None

    def accept(self, limit: int) -> None:
        """Accept up to ``limit`` connections of the backlog and start their tasks."""
        for _ in range(limit):
            if self.sock.fileno() < 0:
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE) and self.loop.spare_descriptor >= 0:
                    # Its number serves to accept this connection and answer it; it is reopened later.
                    self.loop.release_spare_descriptor()
                    continue
                self._pause(error)
                return
            self._start(sock)

    def _start(self, sock: socket.socket) -> None:
        if not self.is_unix:
            with contextlib.suppress(OSError):  # already reset: its task will notice
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.active += 1
        task = self.loop.start_task(iter(()), self.name, self.high_priority)  # type: ignore[arg-type]
        conn = Connection(self.loop, sock, task)
        conn.writable = conn.readable = True
        task.coroutine = self._serve_one(conn)

    def _pause(self, error: OSError) -> None:
        """Accept nothing until a connection ends.

        Guards against a busy loop: the backlog keeps the socket readable while every accept fails.
        """
        self.paused = True
        self.loop.set_events(self.sock.fileno(), readable=False)
        log("listener.paused", f"{self.name} listener: {error}; waiting for a connection to end")

    def _serve_one(self, conn: Connection) -> Coroutine[None]:
        try:
            yield from self.serve(conn)
        finally:
            conn.close()
            self.active -= 1
            self.loop.on_connection_finished()

    def unpause(self) -> None:
        """Accept connections again if the listener was paused."""
        if self.paused and self.sock.fileno() >= 0:
            self.paused = False
            self.loop.set_events(self.sock.fileno(), readable=True)

    def close(self) -> None:
        """Accept the whole backlog, then close."""
        self.accept(_WHOLE_BACKLOG)
        self.release()

    def release(self) -> None:
        """Close without accepting; the backlog stays with a process that holds a copy of this socket."""
        if self.sock.fileno() >= 0:
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()
