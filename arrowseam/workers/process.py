"""A worker process for blocking work, with requests and replies as lines over a socket.

The event loop never waits for it. The caller defines what the lines mean.
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
    """The environment of this process, with the package's root on ``PYTHONPATH``, whatever the folder."""
    path = os.environ.get("PYTHONPATH")
    return os.environ | {"PYTHONPATH": f"{ROOT}{os.pathsep}{path}" if path else ROOT}


class WorkerEndedError(ArrowseamError):
    """The worker has ended or did not answer in time, and was killed."""


class WorkerProcess:
    """One worker process; the coroutine that uses it becomes the owner of its socket."""

    def __init__(
        self, loop: EventLoop, module: str, discard_stderr: bool = False, argument: str = ""
    ) -> None:
        """Start ``python -m module [argument]`` in a child process; raises OSError."""
        self.loop = loop
        own_end, worker_end = socket.socketpair()
        try:
            self.process: subprocess.Popen[bytes] = subprocess.Popen(
                [*module_command(module), *([argument] if argument else [])],
                stdin=worker_end.fileno(),
                stdout=worker_end.fileno(),
                stderr=subprocess.DEVNULL if discard_stderr else None,
                env=worker_environment(),
                cwd=ROOT,
            )
        except OSError:
            own_end.close()
            raise
        finally:
            worker_end.close()
        self.conn = Connection(loop, own_end, loop.current_task, LINE_BYTES_MAX)

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    def send_line(self, line: bytes, deadline: int) -> Coroutine[None]:
        """Write one line, which ends in a newline; raises WorkerEndedError."""
        self.conn.owner = self.loop.current_task
        if not (yield from self.conn.send(line, deadline)):
            self._fail("did not accept a request")

    def receive_line(self, deadline: int) -> Coroutine[bytes]:
        """Read the next line that the worker writes; raises WorkerEndedError."""
        self.conn.owner = self.loop.current_task
        line = yield from self.conn.read_line(LINE_BYTES_MAX, deadline)
        if line is None:
            self._fail("did not answer in time" if clock() >= deadline else "has ended")
        assert line is not None
        return line

    def _fail(self, reason: str) -> None:
        code = self.process.poll()
        self.kill()
        raise WorkerEndedError(reason if code is None else f"has ended with status {code}")

    @property
    def has_ended(self) -> bool:
        """Whether the worker is known to have ended; lines that it wrote before may still be unread."""
        return self.conn.peer_closed

    def disconnect(self) -> None:
        """Close the connection; the worker ends by itself once it has completed its requests."""
        self.conn.close()

    def kill(self) -> None:
        """Kill the process. Its exit status is collected when the next worker is started."""
        self.conn.close()
        if self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.process.kill()
