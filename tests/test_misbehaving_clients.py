"""Clients that write slowly, send without end, stop half way or come again: the others must not notice.

Some tests play scenarios of ``benchmarks/misbehaving_clients.py``: a real process with the platform's limits,
and misbehaving clients in processes of their own.
"""

from __future__ import annotations

import importlib.util
import socket
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from pathlib import Path
from types import ModuleType

import pytest
from network import ProxyNetwork, create_networks

from arrowseam.protocols.edge.messages import LINE_BYTES_MAX, parse_opening
from arrowseam.protocols.edge.used_ids import GENERATION_SIZE, UsedIds

SCRIPT = Path(__file__).parent.parent / "benchmarks" / "misbehaving_clients.py"
LATENCY_OBJECTIVE_S = 0.3  # of the class that the sound clients ask for
CLIENT_BUFFER_BYTES = 16384  # what a client may have buffered


def load_script() -> ModuleType:
    spec = importlib.util.spec_from_file_location("misbehaving_clients", SCRIPT)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


SCENES = load_script()


@pytest.fixture(params=["lines", "nats"])
def world(request: pytest.FixtureRequest) -> Iterator[Callable[..., ProxyNetwork]]:
    yield from create_networks(request.param)


@pytest.fixture
def line_world() -> Iterator[Callable[..., ProxyNetwork]]:
    yield from create_networks("lines")


# --- memory ---------------------------------------------------------------------------------------------


def test_an_opening_of_many_short_fields_is_kept_in_little_memory():
    """Each connection kept an object for each of hundreds of fields, thirty times the memory of the line."""
    fields = SCENES.SHORT_FIELDS
    line = b"OPEN 1 2 c=tech,d=1800" + fields
    assert len(line) < LINE_BYTES_MAX
    tracemalloc.start()
    try:
        openings = [parse_opening(line) for _ in range(50)]
        kept = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert openings[0].forwarded_line(7) == b"OPEN 1 2 c=tech,d=7" + fields + b"\r\n"
    assert kept / len(openings) < 2 * len(line)


@pytest.mark.parametrize("scenario", ["a-lines-fields", "a-nats-fields"])
def test_clients_with_openings_of_many_short_fields_take_little_memory(scenario):
    """470 of them took 92 MB (lines) and 62 MB (NATS) of a proxy that may have 192 MB."""
    with SCENES.stage() as stage:
        before = stage.memory_mb("VmRSS")
        run, listener, _, *arguments = SCENES.SCENARIOS[scenario]
        count = 200
        stage.start_child(run, getattr(stage.ports, listener), count, *arguments)
        deadline = time.monotonic() + 15
        while stage.counter("edge.concurrent") < count and time.monotonic() < deadline:
            time.sleep(0.1)
        assert stage.counter("edge.concurrent") == count
        kept = (stage.memory_mb("VmRSS") - before) * (1 << 20) / count
        assert kept < 2 * CLIENT_BUFFER_BYTES


def test_a_connect_of_thousands_of_brackets_is_answered():
    """Its connection was closed without an answer: such depth is another exception of the decoder."""
    with SCENES.stage() as stage, socket.create_connection((SCENES.HOST, stage.ports.nats), 5) as sock:
        sock.sendall(SCENES.greet_nats_nested(0))
        assert b"-ERR 'Parser Error'" in b"".join(iter(lambda: sock.recv(4096), b""))


# --- ids that come again --------------------------------------------------------------------------------


def test_an_id_that_may_have_run_does_not_run_again_after_its_client_has_left(line_world):
    """An id was free as soon as its connection had ended, and ran a second time when it came again."""
    w = line_world("up")
    first = w.client(7)
    w.until(lambda: first.has("up"))
    first.conn.close()
    w.until(lambda: not w.handler.active)
    again = w.client(7)
    w.until(lambda: again.ended_at)
    assert again.has("failed")
    assert len(w.servers[0].received) == 1


def test_an_id_that_was_rejected_may_come_again(line_world):
    """BUSY promises that nothing has run, and that trying again is harmless."""
    w = line_world("busy")
    first = w.client(7)
    w.until(lambda: first.ended_at)
    assert first.has("rejected")
    w.servers[0].mode = "up"
    again = w.client(7)
    w.until(lambda: again.answers)
    assert again.has("up")


def test_used_ids_are_bounded_and_the_last_ones_are_kept():
    ids = UsedIds()
    ids.update(f"{n:x}" for n in range(5 * GENERATION_SIZE + 3))
    last = [f"{n:x}" for n in range(4 * GENERATION_SIZE + 3, 5 * GENERATION_SIZE + 3)]
    assert all(name in ids for name in last)
    assert len(list(ids)) <= 2 * GENERATION_SIZE
    assert "0" not in ids


def test_an_id_does_not_run_again_at_the_other_process_of_an_upgrade():
    """Ids that had ended at the old process were free at the new one: 40 of 40 ran a second time there, and
    after the old process's end as well.
    """
    with SCENES.stage() as stage:

        def open_all(first: int) -> list[bytes]:
            answers = []
            for number in range(first, first + 20):
                with socket.create_connection((SCENES.HOST, stage.ports.lines), 5) as sock:
                    sock.sendall(SCENES.opening(number))
                    answers.append(sock.recv(100).split()[0])
            return answers

        assert set(open_all(0x100)) == {b"UP"}
        held = [socket.create_connection((SCENES.HOST, stage.ports.lines), 5) for _ in range(20)]
        for number, sock in enumerate(held):
            sock.sendall(SCENES.opening(0x200 + number))
            assert sock.recv(100).startswith(b"UP")
        old = stage.proxies[-1]
        stage.start_proxy()
        for sock in held:
            sock.close()
        assert set(open_all(0x100) + open_all(0x200)) == {b"ERR"}
        old.wait(10)
        assert set(open_all(0x100) + open_all(0x200)) == {b"ERR"}
        assert set(open_all(0x300)) == {b"UP"}
        assert set(stage.runs().values()) == {1}
        stage.start_proxy()
        assert set(open_all(0x100) + open_all(0x200) + open_all(0x300)) == {b"ERR"}
