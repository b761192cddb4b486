"""The simulator adapter as a subprocess: framing, codec, malformed input."""

from __future__ import annotations

import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from arrowseam.balancer.actions import (
    Action,
    Fail,
    LogMessage,
    Migrate,
    Reject,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    WatchEndpoints,
)
from arrowseam.balancer.events import AttemptEnded, Outcome
from arrowseam.simulator.codec import OUTCOMES, ReplyWriter, decode_event

ROOT = Path(__file__).parent.parent
SETTINGS = {
    "balancers": 1,
    "caps": {"max_attempts": 3, "dial_timeout": 150000, "surprise": [1]},
    "invariants": {"cold_share": 0.14, "warm_up": 24000000, "fall_multiple": 3.0, "overload_for": 3000000},
    "lanes": [{"aim": 800000, "deadline": 4800000, "effect": "retryable"}],
    "me": 0,
    "zones": ["a"],
    "unheard_of": {"x": 1},
}
ADDRESS = bytes((10, 18, 74, 7)) + (9003).to_bytes(2, "big")


def record(code: int, instance: int, body: bytes = b"") -> bytes:
    return (struct.pack(">HI", code, instance) + body).ljust(48, b"\0")


def instance_started(instance: int, encoded_settings: bytes, at: int = 0) -> bytes:
    return record(258, instance, struct.pack(">QII", 7, at, len(encoded_settings)))


def batch(number: int, now: int, records: list[bytes], tail: bytes = b"") -> bytes:
    body = b"".join(records) + tail
    return struct.pack(">IIIQ", number, len(body), len(records), now) + body


def entry(state: int = 1, weight: float = 1.0) -> bytes:
    return struct.pack(">H6sfBQBH", 0, ADDRESS, weight, 0, 0, state, 1)


def start(settings: bytes | None = None) -> bytes:
    encoded_settings = json.dumps(SETTINGS).encode() if settings is None else settings
    list_update = record(256, 3, struct.pack(">IBII", 1, 2, len(encoded_settings), 1))
    return batch(2, 1000, [instance_started(3, encoded_settings), list_update], encoded_settings + entry())


def request_arrived(request: int = 0x5D3A91C4) -> bytes:
    body = struct.pack(">IHHQIIQH", request, 0, 0, 5, 240000, 12000, 0, 1)
    return record(259, 3, body)


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "arrowseam.simulator"], input=data, capture_output=True, cwd=ROOT, timeout=60
    )


def test_empty_batch_and_end_of_input() -> None:
    done = run(batch(1, 0x805C5A, []))
    assert (done.returncode, done.stdout, done.stderr) == (0, struct.pack(">III", 1, 0, 0), b"")


def test_a_request_is_sent_to_the_listed_endpoint() -> None:
    done = run(start() + batch(3, 2000, [request_arrived()]))
    assert done.returncode == 0, done.stderr
    replies = done.stdout[12:]
    number, size, count = struct.unpack_from(">III", replies)
    assert (number, size, count) == (3, 24, 1)
    assert struct.unpack_from(">HII6s", replies, 12) == (256, 3, 0x5D3A91C4, ADDRESS)


def test_stop_and_start_in_one_batch_give_a_new_balancer() -> None:
    encoded_settings = json.dumps(SETTINGS).encode()
    restart = batch(3, 3000, [record(263, 3), instance_started(3, encoded_settings)], encoded_settings)
    done = run(start() + restart + batch(4, 4000, [request_arrived()]))
    assert done.returncode == 0
    assert struct.unpack_from(">HI", done.stdout, 36 + 0)[0] != 263
    # The request is queued, since the new balancer has no list.
    assert struct.unpack_from(">H", done.stdout, len(done.stdout) - 24)[0] == 264


def test_an_exception_of_a_balancer_is_reported_for_its_instance() -> None:
    done = run(start() + batch(3, 2000, [request_arrived(), request_arrived()]))  # the same id twice
    assert done.returncode == 0
    code, instance = struct.unpack_from(">HI", done.stdout, 24)
    assert (code, instance) == (263, 3)
    assert b"already known" in done.stdout


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\0\0\0", b"batch header"),
        (struct.pack(">IIIQ", 1, 48, 1, 0) + b"\0" * 10, b"inside a batch"),
        (struct.pack(">IIIQ", 1, 48, 2, 0) + b"\0" * 48, b"do not fit"),
        (batch(1, 0, [record(999, 1)]), b"unknown event code"),
        (batch(1, 0, [record(258, 1, struct.pack(">QII", 1, 0, 50))], b"{}"), b"outside the tail"),
        (start(b"{not json"), b"settings"),
        (start(b"[]"), b"settings"),
        (start(b'{"lanes": []}'), b"request class"),
        (start(b'{"lanes": [{"aim": "x"}]}'), b"aim"),
        (start(b'{"lanes": [{"aim": NaN}]}'), b"aim"),
        (start(b'{"lanes": [{"effect": "odd"}]}'), b"effect"),
        (start(b'{"lanes": [{}], "balancers": 2, "me": 2}'), b"proxy"),
        (batch(1, 0, [record(256, 1, struct.pack(">IBII", 1, 9, 0, 0))]), b"endpoint update kind 9"),
    ],
)
def test_malformed_input_ends_with_one_error_line(data: bytes, message: bytes) -> None:
    done = run(data)
    assert done.returncode == 1
    assert done.stdout == b""
    assert message in done.stderr
    assert done.stderr.count(b"\n") == 1


@given(
    st.integers(0, 2**32 - 1),
    st.integers(0, 255),
    st.binary(min_size=6, max_size=6),
    st.integers(0, 2**16 - 1),
)
def test_attempt_ended_is_decoded(request_id: int, attempt_number: int, address: bytes, code: int) -> None:
    body = struct.pack(">IB6sHIBB4f", request_id, attempt_number, address, code, 9, 1, 2, 0.5, 0.25, 0, 0)
    event = decode_event(266, memoryview(record(266, 1, body)), 0, memoryview(b""))
    assert isinstance(event, AttemptEnded)
    assert (event.request_id, event.attempt_number, event.endpoint_id.to_bytes(6, "big")) == (
        request_id,
        attempt_number,
        address,
    )
    assert event.outcome is OUTCOMES.get(code, Outcome.UNKNOWN)
    assert event.is_final
    assert event.report == (0.5, 0.25)


def test_every_action_fills_its_record() -> None:
    writer = ReplyWriter()
    actions: list[Action] = [
        StartAttempt(1, 2, 3), Reject(1, 2), Fail(1), Migrate(1), StartHealthCheck(2), SetTimer(5, 6),
        LogMessage("x"), WatchEndpoints(True),
    ]  # fmt: skip
    for action in actions:
        writer.add(9, action)
    codes = [struct.unpack_from(">HI", r) for r in writer.records]
    assert codes == [(c, 9) for c in (256, 267, 261, 268, 266, 264, 260, 262)]
    assert all(len(r) == 24 for r in writer.records)
    assert writer.tail == b"x"
