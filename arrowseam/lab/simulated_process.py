"""One process of simulated members, seen from the process that runs a scale run."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

from arrowseam.lab.local_cluster import ROOT
from arrowseam.lab.scale_measurements import Measurements
from arrowseam.lab.simulated_members import LINE_MOST, pour
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine, Task


class SimulatedProcess:
    """One process of simulated members, with what it has last reported."""

    def __init__(
        self,
        loop: EventLoop,
        folder: Path,
        measurements: Measurements,
        on_view: Callable[[SimulatedProcess], None],
        number: int,
        zone: int,
        names: list[str],
    ) -> None:
        """``on_view`` is called when it has reported the views of its members."""
        self.loop, self.measurements, self.on_view = loop, measurements, on_view
        self.number, self.zone, self.names = number, zone, names
        self.ready = self.stopped = self.dead = False
        self.reported_at = 0
        self.groups: dict[str, int] = {}
        self.held_inactive: dict[str, int] = {}
        self.leaders: list[str] = []
        self.failed = ""
        self.cpu: list[tuple[int, int, int, int]] = []  # when, processor us, of it the reports', resident
        ours, theirs = socket.socketpair()
        with theirs, (folder / f"hollow{number}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "arrowseam.lab.simulated_members", str(theirs.fileno())],
                stdout=log, stderr=log, cwd=ROOT, pass_fds=[theirs.fileno()],
                env=os.environ | {"PYTHONPATH": str(ROOT)},
            )  # fmt: skip
        self.conn = Connection(loop, ours, loop.start_task(self._receive(), f"hollow {number}"), LINE_MOST)
        self.lines: deque[bytes] = deque()
        self.writer: Task = loop.start_task(pour(self.conn, self.lines), f"to hollow {number}")

    def send(self, **doc: Any) -> None:
        """Send it a command."""
        self.lines.append(json.dumps(doc).encode() + b"\n")
        self.loop.wake(self.writer)

    def _receive(self) -> Coroutine[None]:
        while (line := (yield from self.conn.read_line(LINE_MOST, clock() + 3600 * SECOND))) is not None:
            doc = json.loads(line)
            if "groups" in doc:
                self.reported_at, self.groups, self.held_inactive = doc["t"], doc["groups"], doc["held"]
                self.leaders = doc["leads"]
                self.measurements.shares[self.number].extend(doc["shares"])
                self.on_view(self)
            elif "costs" in doc:
                self.cpu.append((doc["t"], doc["cpu"], doc["own"], doc["rss_kib"]))
                for name, cost in doc["costs"].items():
                    self.measurements.costs.setdefault(name, []).append((doc["t"], *cost))
            elif "ready" in doc:
                self.ready = True
            elif "failed" in doc:
                self.failed = doc["failed"]
        if not self.dead:
            self.failed = self.failed or "ended by itself"

    def close(self) -> None:
        """End the process, also where it is stopped."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()
        self.conn.close()
