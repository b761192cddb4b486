"""A worker process that does blocking work, asked and answering in lines over a socket.

The event loop never waits for it. What the lines mean is up to the user.
"""

from __future__ import annotations

import contextlib
import os
import socket
import subprocess
import sys
from pathlib import Path

from arrowseam.errors import ArrowseamError
from arrowseam.net.clock import clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine

ROOT = str(Path(__file__).resolve().parents[2])
LINE_BYTES_MAX = 1 << 20  # bytes


def module_command(module: str) -> list[str]:
    """The command line that runs a module of this package."""
    return [sys.executable, "-m", module]


def worker_environment() -> dict[str, str]:
    """Of this process, with a path on which the package is found wherever the proxy was started."""
    path = os.environ.get("PYTHONPATH")
    return os.environ | {"PYTHONPATH": f"{ROOT}{os.pathsep}{path}" if path else ROOT}


class WorkerEndedError(ArrowseamError):
    """The worker has ended, or did not answer in time; it is closed."""


class WorkerProcess:
    """One process; the coroutine that asks it becomes the owner of its socket."""

    def __init__(self, loop: EventLoop, module: str, quiet: bool = False, argument: str = "") -> None:
        """Start ``python -m module [argument]``; ``quiet``: its standard error is dropped. Raises OSError."""
        self.loop = loop
        ours, theirs = socket.socketpair()
        try:
            self.process: subprocess.Popen[bytes] = subprocess.Popen(
                [*module_command(module), *([argument] if argument else [])],
                stdin=theirs.fileno(),
                stdout=theirs.fileno(),
                stderr=subprocess.DEVNULL if quiet else None,
                env=worker_environment(),
                cwd=ROOT,
            )
        except OSError:
            ours.close()
            raise
        finally:
            theirs.close()
        self.conn = Connection(loop, ours, loop.current_task, LINE_BYTES_MAX)

    @property
    def pid(self) -> int:
        """The id of the process."""
        return self.process.pid

    def send_line(self, line: bytes, deadline: int) -> Coroutine[None]:
        """Write one line, which ends in a newline; raises WorkerEndedError."""
        self.conn.owner = self.loop.current_task
        if not (yield from self.conn.send(line, deadline)):
            self._fail("does not take what it is asked")

    def receive_line(self, deadline: int) -> Coroutine[bytes]:
        """The next line that it writes; raises WorkerEndedError."""
        self.conn.owner = self.loop.current_task
        line = yield from self.conn.read_line(LINE_BYTES_MAX, deadline)
        if line is None:
            self._fail("has not answered in time" if clock() >= deadline else "has ended")
        assert line is not None
        return line

    def _fail(self, why: str) -> None:
        code = self.process.poll()
        self.kill()
        raise WorkerEndedError(why if code is None else f"has ended with {code}")

    @property
    def has_ended(self) -> bool:
        """Whether it has ended, as far as is known; lines that it wrote before may still be unread."""
        return self.conn.peer_closed

    def disconnect(self) -> None:
        """Ask nothing more; it ends by itself once it is done with what it was asked."""
        self.conn.close()

    def kill(self) -> None:
        """Kill it. The exit status is collected when the next one is started."""
        self.conn.close()
        if self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.process.kill()
