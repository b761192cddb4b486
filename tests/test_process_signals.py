"""Repeated signals to a proxy's process during start-up, graceful shutdown and interpreter shutdown.

A supervisor takes a process for crashed if it is killed by a signal and does not exit with status 0.
"""

from __future__ import annotations

import errno
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from network import SETTINGS, free_port

from arrowseam.process_signals import HANDLED_SIGNALS

SIGNAL_INTERVAL = 0.002  # seconds
TIME_LIMIT = 20.0  # seconds, for each wait


class ServeProcess:
    """A ``serve`` process whose configuration is a file, or a FIFO that blocks its start until written."""

    def __init__(self, folder: Path, blocked: bool = False) -> None:
        self.port, self.path, self.log = free_port(), folder / "config.json", folder / "log"
        address = f"127.0.0.1:{self.port}"
        doc = {"listen": address, "discovery": "127.0.0.1:1", "seed": "1", "settings": SETTINGS}
        self.text = json.dumps(doc)
        if blocked:
            os.mkfifo(self.path)
        else:
            self.path.write_text(self.text)
        arguments = [sys.executable, "-m", "arrowseam", "serve", "--config", str(self.path)]
        with self.log.open("wb") as log:
            environment = os.environ | {"TMPDIR": str(folder)}
            self.process = subprocess.Popen(arguments, stdout=log, stderr=log, env=environment)

    def wait_for(self, text: str) -> None:
        """Wait until a text is in the log."""
        end = time.monotonic() + TIME_LIMIT
        while text not in self.log.read_text():
            assert time.monotonic() < end, self.log.read_text()
            assert self.process.poll() is None, (self.process.returncode, self.log.read_text())
            time.sleep(0.005)

    def wait_until_fifo_is_open(self) -> int:
        """Wait until the process opens the FIFO; returns the writing end."""
        end = time.monotonic() + TIME_LIMIT
        while True:
            try:
                return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError as error:
                if error.errno != errno.ENXIO or time.monotonic() > end:
                    raise
            time.sleep(0.005)

    def unblock(self, writer: int) -> None:
        """Let the process read its configuration, which is a plain file from then on."""
        plain = self.path.with_suffix(".plain")
        plain.write_text(self.text)
        os.replace(plain, self.path)
        os.write(writer, self.text.encode())
        os.close(writer)

    def answers(self) -> bool:
        try:
            with socket.create_connection(("127.0.0.1", self.port), timeout=5) as conn:
                conn.sendall(b"PING\r\n")
                return conn.recv(100) == b"PONG\r\n"
        except ConnectionRefusedError:
            return False

    def terminate(self, signals: tuple[signal.Signals, ...]) -> int:
        """Send SIGTERM, then the signals repeatedly until the process has ended; returns its exit status."""
        self.process.send_signal(signal.SIGTERM)
        end = time.monotonic() + TIME_LIMIT
        while self.process.poll() is None and time.monotonic() < end:
            for number in signals:
                self.process.send_signal(number)
            time.sleep(SIGNAL_INTERVAL)
        return self.process.wait(0.1)

    def close(self) -> None:
        self.process.kill()
        self.process.wait()


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "run").mkdir()
    return tmp_path / "run"


@pytest.mark.parametrize("signals", [*((number,) for number in HANDLED_SIGNALS), HANDLED_SIGNALS],
                         ids=["term", "int", "hup", "all"])  # fmt: skip
def test_signals_during_the_whole_shutdown_leave_the_exit_status_0(folder, signals) -> None:
    """Signals arrived while the interpreter shut down, when they had their default actions again."""
    proxy = ServeProcess(folder)
    try:
        proxy.wait_for("listens on")
        assert proxy.answers()
        assert proxy.terminate(signals) == 0
        assert "drained\n" in proxy.log.read_text()
    finally:
        proxy.close()


def test_a_sighup_during_the_start_is_a_reload_afterwards(folder) -> None:
    """SIGHUP arrived before its handler was set, and killed the process."""
    proxy = ServeProcess(folder, blocked=True)
    try:
        writer = proxy.wait_until_fifo_is_open()
        for _ in range(5):
            proxy.process.send_signal(signal.SIGHUP)
            time.sleep(SIGNAL_INTERVAL)
        proxy.unblock(writer)
        proxy.wait_for("reload: done")
        assert proxy.answers()
        assert proxy.log.read_text().count("reload: done") == 1
        assert proxy.terminate(()) == 0
    finally:
        proxy.close()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_process_terminated_during_its_start_exits_before_it_listens(folder, number) -> None:
    """SIGTERM arrived before its handler was set, and killed the process."""
    proxy = ServeProcess(folder, blocked=True)
    try:
        writer = proxy.wait_until_fifo_is_open()
        proxy.process.send_signal(number)
        time.sleep(SIGNAL_INTERVAL)
        proxy.process.send_signal(signal.SIGHUP)
        proxy.unblock(writer)
        assert proxy.process.wait(TIME_LIMIT) == 0
        assert "listens on" not in proxy.log.read_text()
    finally:
        proxy.close()


@pytest.mark.parametrize(
    "module", ["arrowseam.consensus.worker", "arrowseam.config.script", "arrowseam.endpoint_sources.worker"]
)
def test_a_worker_ignores_signals_to_the_whole_process_group(module) -> None:
    """A SIGHUP to the group, which asks the proxy for a reload, killed a voter's state worker."""
    arguments = [sys.executable, "-m", module, "no file"]
    with subprocess.Popen(arguments, stdin=subprocess.PIPE, stdout=subprocess.DEVNULL) as worker:
        wanted = sum(1 << (number - 1) for number in (signal.SIGINT, signal.SIGHUP))
        end = time.monotonic() + TIME_LIMIT
        while ignored_signals(worker.pid) & wanted != wanted:
            assert time.monotonic() < end
            time.sleep(0.005)
        worker.stdin.close()
        assert worker.wait(TIME_LIMIT) == 0


def ignored_signals(pid: int) -> int:
    """The mask of the signals that a process ignores."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("SigIgn:"):
            return int(line.split()[1], 16)
    return 0
