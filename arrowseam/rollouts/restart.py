"""Starts another process of this proxy, which takes over from this one."""

from __future__ import annotations

import subprocess
import sys

from arrowseam.logs import log
from arrowseam.workers.process import worker_environment


def own_command_line() -> list[str]:
    """The command line that started this process."""
    return [sys.executable, "-m", "arrowseam", *sys.argv[1:]]


def start_successor(command: list[str]) -> str:
    """Start the process that takes over; returns why it cannot be started, or empty."""
    try:
        process = subprocess.Popen(
            command, env=worker_environment(), start_new_session=True, stdin=subprocess.DEVNULL
        )
    except OSError as error:
        return f"cannot be started: {error.strerror}"
    log("rollouts.successor_started", f"agree: started again as process {process.pid}", pid=process.pid)
    return ""
