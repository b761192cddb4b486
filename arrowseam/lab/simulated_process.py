"""The scale run's handle of one process of simulated members."""

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
from arrowseam.lab.simulated_members import LINE_BYTES_MAX, write_lines
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
        """``on_view`` is called after each report of its members' views."""
        self.loop, self.measurements, self.on_view = loop, measurements, on_view
        self.number, self.zone, self.names = number, zone, names
        self.ready = self.stopped = self.dead = False
        self.reported_at = 0
        self.groups: dict[str, int] = {}
        self.held_inactive: dict[str, int] = {}
        self.leaders: list[str] = []
        self.failed = ""
        # When, processor us, of it for the reports, resident KiB.
        self.cpu: list[tuple[int, int, int, int]] = []
        own_end, child_end = socket.socketpair()
        with child_end, (folder / f"hollow{number}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "arrowseam.lab.simulated_members", str(child_end.fileno())],
                stdout=log, stderr=log, cwd=ROOT, pass_fds=[child_end.fileno()],
                env=os.environ | {"PYTHONPATH": str(ROOT)},
            )  # fmt: skip
        self.conn = Connection(
            loop, own_end, loop.start_task(self._receive(), f"hollow {number}"), LINE_BYTES_MAX
        )
        self.lines: deque[bytes] = deque()
        self.writer: Task = loop.start_task(write_lines(self.conn, self.lines), f"to hollow {number}")

    def send(self, **command: Any) -> None:
        """Send it a command."""
        self.lines.append(json.dumps(command).encode() + b"\n")
        self.loop.wake(self.writer)

    def _receive(self) -> Coroutine[None]:
        while (line := (yield from self.conn.read_line(LINE_BYTES_MAX, clock() + 3600 * SECOND))) is not None:
            report = json.loads(line)
            if "groups" in report:
                self.reported_at, self.groups, self.held_inactive = (
                    report["t"],
                    report["groups"],
                    report["held"],
                )
                self.leaders = report["leads"]
                self.measurements.shares[self.number].extend(report["shares"])
                self.on_view(self)
            elif "costs" in report:
                self.cpu.append((report["t"], report["cpu"], report["own"], report["rss_kib"]))
                for name, cost in report["costs"].items():
                    self.measurements.costs.setdefault(name, []).append((report["t"], *cost))
            elif "ready" in report:
                self.ready = True
            elif "failed" in report:
                self.failed = report["failed"]
        if not self.dead:
            self.failed = self.failed or "exited unexpectedly"

    def close(self) -> None:
        """End the process, even if it is stopped."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()
        self.conn.close()
