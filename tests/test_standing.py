"""The standing test without its kit: the exit status of the script, and the requirements on ``run``."""

from __future__ import annotations

import contextlib
import json
import os
import shlex
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest

from tests.network import free_port

ROOT = Path(__file__).parent.parent
SCRIPT = ROOT / "benchmarks" / "standing.sh"
PASSED = "herd+mass  G 0.652  served 0.688 (gate 0.432)\nGATE passed\nsnapshot 921ce28b\n"
FAILED = "GATE passed\nplayed again\nGATE failed: drains kept, on roll+mass\nsnapshot 921ce28b\n"

CASES = [
    pytest.param(PASSED, 0, 0, "passed", id="passed"),
    pytest.param("GATE passed (three of the six days)\n", 0, 0, "passed", id="passed, the quick days"),
    pytest.param(FAILED, 0, 1, "failed: drains kept, on roll+mass", id="failed, by the last verdict"),
    pytest.param(FAILED, 1, 1, "failed", id="failed, and the benchmark exits with 1"),
    pytest.param("playing calm+mass ...\n", 0, 2, "no verdict", id="stopped before the verdict"),
    pytest.param("the last was: GATE passed\n", 0, 2, "no verdict", id="quoted in a line"),
    pytest.param("GATE passed with care\n", 0, 2, "no verdict", id="an unknown verdict"),
    pytest.param("", 0, 2, "no verdict", id="empty output"),
]


@pytest.mark.parametrize(("text", "benchmark_status", "status", "message"), CASES)
def test_exit_status(tmp_path: Path, text: str, benchmark_status: int, status: int, message: str) -> None:
    (tmp_path / "text").write_text(text)
    reading = subprocess.run([SCRIPT, "--read", tmp_path / "text"], capture_output=True, text=True)
    assert (reading.returncode, message in reading.stdout) == (status, True)
    benchmark = tmp_path / "more" / "mass" / "bin" / "lbreal"
    benchmark.parent.mkdir(parents=True)
    benchmark.write_text(
        f'#!/bin/sh\necho "$@" > {tmp_path}/called\ncat {tmp_path}/text\nexit {benchmark_status}\n'
    )
    benchmark.chmod(0o755)
    env = {"KIT": str(tmp_path), "PATH": "/usr/bin:/bin"}
    run = subprocess.run([SCRIPT, "Why"], capture_output=True, text=True, env=env)
    assert (run.returncode, message in run.stdout) == (status, True)
    assert (tmp_path / "called").read_text().split()[:3] == [
        "score",
        f"{tmp_path}/sites/houston-live.toml",
        "--quick",
    ]


def test_a_benchmark_that_exits_with_an_error_has_not_passed(tmp_path: Path) -> None:
    benchmark = tmp_path / "more" / "mass" / "bin" / "lbreal"
    benchmark.parent.mkdir(parents=True)
    benchmark.write_text("#!/bin/sh\necho 'GATE passed'\nexit 3\n")
    benchmark.chmod(0o755)
    env = {"KIT": str(tmp_path), "PATH": "/usr/bin:/bin"}
    assert subprocess.run([SCRIPT, "Why"], capture_output=True, env=env).returncode == 2


@pytest.mark.parametrize("arguments", [[], [""], ["x" * 120], ["--read", "/nonexistent"], ["--full"]])
def test_invalid_arguments(arguments: list[str]) -> None:
    result = subprocess.run([SCRIPT, *arguments], capture_output=True, text=True)
    assert result.returncode == 2
    assert result.stdout.count("\n") == 1


@pytest.mark.parametrize("folder", ["there", "not there"])
def test_run_is_one_process_that_needs_no_unix_socket(tmp_path: Path, folder: str) -> None:
    """The standing test requires ``exec`` of a single process, which also serves without a Unix socket."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    arguments = shlex.split(command)
    assert arguments[:2] == ["exec", ".venv/bin/python"]
    assert not set(command) & set(";|&()`$")
    port = free_port()
    doc = json.loads((ROOT / "examples" / "config.json").read_text()) | {"listen": f"127.0.0.1:{port}"}
    (tmp_path / "config.json").write_text(json.dumps({k: v for k, v in doc.items() if k != "control"}))
    shared = tmp_path / "shared"
    if folder == "there":
        shared.mkdir()
    env = os.environ | {"EDGE_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(shared)}
    command_line = shlex.join(["exec", sys.executable, *arguments[2:]])
    process = subprocess.Popen(["/bin/sh", "-c", command_line], cwd=ROOT, env=env, stderr=subprocess.DEVNULL)
    try:
        end = time.monotonic() + 10
        while True:
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 1) as sock:
                sock.sendall(b"PING\r\n")
                assert sock.recv(100) == b"PONG\r\n"
                break
            assert time.monotonic() < end
            assert process.poll() is None
            time.sleep(0.02)
        assert Path(f"/proc/{process.pid}/exe").resolve() == Path(sys.executable).resolve()
        assert len(os.listdir(f"/proc/{process.pid}/task")) == 1
        assert Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text() == ""
        process.terminate()
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
