"""Evaluates an operator file in a child process: blocking at the start, in the background at reloads.

The script itself never runs in the proxy's process (``arrowseam/config/script.py`` runs it).
"""

from __future__ import annotations

import json
import subprocess
from pathlib import Path

import msgspec

from arrowseam.config import operator
from arrowseam.config.proxy import Config, ConfigError
from arrowseam.net.clock import MS, clock
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine
from arrowseam.workers.process import (
    ROOT,
    WorkerEndedError,
    WorkerProcess,
    module_command,
    worker_environment,
)

SCRIPT_MODULE = "arrowseam.config.script"
EVALUATION_TIMEOUT_MS = 4000  # the script's own limit of 2 s, and the start of its process


def _request_line(path: str, config: Config) -> bytes:
    request = {
        "file": str(Path(path).resolve()),
        "classes": list(config.classes),
        "tenants": list(config.tenants),
    }
    return json.dumps(request).encode() + b"\n"


def _decode_answer(path: str, line: bytes) -> operator.Operator:
    try:
        answer: dict[str, msgspec.Raw] = msgspec.json.decode(line, type=dict[str, msgspec.Raw])
        if "error" not in answer:
            return operator.decode(bytes(answer["operator"]))
        error_text: str = msgspec.json.decode(answer["error"], type=str)
    except (msgspec.MsgspecError, KeyError):
        raise ConfigError(f"operator file: {Path(path).name}: its evaluation gave no valid answer") from None
    raise ConfigError(f"operator file: {error_text}")


def _evaluation_ended(path: str, reason: str) -> ConfigError:
    # A script that exhausts memory is killed by a signal; one that exceeds its own deadline, by our timeout.
    return ConfigError(f"operator file: {Path(path).name}: its evaluation {reason}; endless or out of memory")


def evaluate(path: str, config: Config) -> operator.Operator:
    """Return what the file configures; blocks until it is evaluated. Raises ConfigError."""
    try:
        finished = subprocess.run(
            module_command(SCRIPT_MODULE),
            input=_request_line(path, config),
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            timeout=EVALUATION_TIMEOUT_MS / 1000,
            env=worker_environment(),
            cwd=ROOT,
        )
    except subprocess.TimeoutExpired:
        raise _evaluation_ended(path, "did not answer in time") from None
    if finished.returncode:
        raise _evaluation_ended(path, f"has ended with status {finished.returncode}")
    return _decode_answer(path, finished.stdout)


def evaluate_in_background(loop: EventLoop, path: str, config: Config) -> Coroutine[operator.Operator]:
    """Like ``evaluate``, but as a coroutine that does not block the event loop. Raises ConfigError."""
    try:
        worker = WorkerProcess(loop, SCRIPT_MODULE, discard_stderr=True)
    except OSError as error:
        raise ConfigError(f"operator file: cannot be evaluated: {error}") from None
    try:
        deadline = clock() + EVALUATION_TIMEOUT_MS * MS
        yield from worker.send_line(_request_line(path, config), deadline)
        return _decode_answer(path, (yield from worker.receive_line(deadline)))
    except WorkerEndedError as error:
        raise _evaluation_ended(path, str(error)) from None
    finally:
        worker.kill()
