"""Frames and records of the simulator protocol: decodes events and encodes actions.

All numbers are big-endian. A batch is a header, event records of equal size and a tail that records point
into; a reply is the same with action records. The protocol identifies kinds by number, not by these names.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from enum import IntEnum
from functools import lru_cache
from typing import BinaryIO, NamedTuple

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
from arrowseam.balancer.events import (
    AttemptEnded,
    ConnectionAdopted,
    ConnectionEstablished,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    HealthCheckEnded,
    LatencyReported,
    LoadReported,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from arrowseam.config.decode import DecodeError

EVENT_SIZE = 48  # bytes of an event record
ACTION_SIZE = 24  # bytes of an action record
U32_MAX = 0xFFFFFFFF
MAX_DELAY = 4_000_000_000  # the longest timer, microseconds


class EventCode(IntEnum):
    """Kinds of event records."""

    ENDPOINT_UPDATE = 256
    CLIENT_DISCONNECTED = 257
    INSTANCE_STARTED = 258
    REQUEST_ARRIVED = 259
    PEER_MESSAGE = 260
    TIMER_FIRED = 261
    CONNECTION_ADOPTED = 262
    INSTANCE_STOPPED = 263
    HEALTH_CHECK_ENDED = 264
    CONNECTION_ESTABLISHED = 265
    ATTEMPT_ENDED = 266
    CONNECTION_REPORT = 267


class ActionCode(IntEnum):
    """Kinds of action records; 257 to 259 and 265 are actions that this balancer does not use."""

    START_ATTEMPT = 256
    LOG_MESSAGE = 260
    FAIL = 261
    WATCH_ENDPOINTS = 262
    FAULT = 263
    SET_TIMER = 264
    START_HEALTH_CHECK = 266
    REJECT = 267
    MIGRATE = 268


class ReportKind(IntEnum):
    """Kinds of connection reports."""

    LOAD = 1
    LATENCY = 2


# Flags of an arrival.
FLAG_LOAD_KNOWN = 1
FLAG_RETRY = 2
FLAG_RECONNECT = 16

OUTCOMES = {
    0: Outcome.OK,
    5: Outcome.ERROR,
    11: Outcome.REJECTED,
    104: Outcome.RESET,
    110: Outcome.TIMEOUT,
    111: Outcome.CONNECT_FAILED,
    114: Outcome.NOT_SENT,
    125: Outcome.MIGRATED,
}
STATES = {1: EndpointState.READY, 2: EndpointState.DRAINING}  # any other value: removed
UPDATE_KINDS = 4  # kinds of endpoint updates in this protocol: the first ones of ``UpdateKind``

_BATCH = struct.Struct(">IIIQ")
_REPLY = struct.Struct(">III")
HEADER = struct.Struct(">HI")  # code and instance, at the start of each record
HEADER_SIZE = HEADER.size
_STARTED = struct.Struct(">QII")
_ENDPOINT_UPDATE = struct.Struct(">IBII")
_ENDPOINT = struct.Struct(">H6sfBQBH")
_ARRIVED = struct.Struct(">IHHQIIQH")
_ENDPOINT_ID = struct.Struct(">6s")
_ADOPTED_ENDPOINT_OFFSET = 40
_ESTABLISHED = struct.Struct(">IB6sI")
_ENDED = struct.Struct(">IB6sHIBB4f")
_CONNECTION_REPORT = struct.Struct(">IB6sBf")
_HEALTH_CHECK_ENDED = struct.Struct(">6sIHB4f")
_PEER_MESSAGE = struct.Struct(">HII")
_U32 = struct.Struct(">I")
_U64 = struct.Struct(">Q")


class Batch(NamedTuple):
    """A batch: ``record_count`` records and the tail in ``body``; ``now`` in microseconds."""

    number: int
    record_count: int
    now: int
    body: bytes


def read_batch(source: BinaryIO) -> Batch | None:
    """Read the next batch; None at the end of the input.

    Raises:
        DecodeError: the input ends inside a batch.
    """
    first = source.read(1)
    if not first:
        return None
    header = first + _read(source, _BATCH.size - 1, "batch header")
    number, size, count, now = _BATCH.unpack(header)
    return Batch(number, count, now, _read(source, size, "batch") if size else b"")


def _read(source: BinaryIO, size: int, what: str) -> bytes:
    data = source.read(size)
    if len(data) != size:
        raise DecodeError(f"the input ends inside a {what} ({len(data)} of {size} bytes)")
    return data


def endpoint_id(address: bytes) -> int:
    """Return the id of an endpoint: its address and port as a number."""
    return int.from_bytes(address, "big")


def decode_start(body: memoryview, at: int, tail: memoryview) -> tuple[int, bytes]:
    """Return the seed and the encoded settings of an instance that starts."""
    seed, offset, length = _STARTED.unpack_from(body, at + HEADER_SIZE)
    return seed, bytes(_slice(tail, offset, length))


def decode_event(code: int, body: memoryview, at: int, tail: memoryview) -> Event | None:
    """Decode the record at ``at``; None if it is not an event for a balancer.

    Raises:
        DecodeError: the code is unknown or a field is out of range.
    """
    decode = DECODERS.get(code)
    if decode is not None:
        return decode(body, at + HEADER_SIZE)
    if code == EventCode.ENDPOINT_UPDATE:
        return _decode_endpoint_update(body, at + HEADER_SIZE, tail)
    if code == EventCode.PEER_MESSAGE:  # proxies exchange no messages through the balancer
        _, offset, length = _PEER_MESSAGE.unpack_from(body, at + HEADER_SIZE)
        _slice(tail, offset, length)
        return None
    raise DecodeError(f"unknown event code {code}")


def _slice(tail: memoryview, offset: int, length: int) -> memoryview:
    if offset + length > len(tail):
        raise DecodeError(f"a field points outside the tail ({offset}+{length} of {len(tail)} bytes)")
    return tail[offset : offset + length]


def _decode_endpoint_update(body: memoryview, at: int, tail: memoryview) -> Event:
    version, kind, offset, count = _ENDPOINT_UPDATE.unpack_from(body, at)
    if kind >= UPDATE_KINDS:
        raise DecodeError(f"unknown endpoint update kind {kind}")
    size = _ENDPOINT.size
    rows = _slice(tail, offset, count * size)
    endpoints = tuple(_decode_endpoint(bytes(rows[n : n + size])) for n in range(0, len(rows), size))
    return EndpointUpdate(UpdateKind(kind), version, endpoints)


@lru_cache(maxsize=1 << 14)  # hundreds of instances receive the same rows
def _decode_endpoint(row: bytes) -> Endpoint:
    zone, address, weight, machine_type, started_at, state, cell = _ENDPOINT.unpack(row)
    known_state = STATES.get(state, EndpointState.REMOVED)
    return Endpoint(endpoint_id(address), zone, weight, machine_type, started_at, known_state, cell)


def _decode_arrival(body: memoryview, at: int) -> RequestArrived:
    request_id, class_index, tenant, key, time_left, load, group, flags = _ARRIVED.unpack_from(body, at)
    return RequestArrived(
        request_id=request_id,
        class_index=class_index,
        tenant_index=tenant,
        flow_key=key,
        time_left=time_left if time_left < 1 << 31 else 0,  # larger values are negative numbers
        expected_load=float(load) if flags & FLAG_LOAD_KNOWN else 0.0,
        group=group,
        is_retry=bool(flags & FLAG_RETRY),
        is_reconnect=bool(flags & FLAG_RECONNECT),
    )


def _decode_adopted(body: memoryview, at: int) -> Event:
    (address,) = _ENDPOINT_ID.unpack_from(body, at - HEADER_SIZE + _ADOPTED_ENDPOINT_OFFSET)
    return ConnectionAdopted(_decode_arrival(body, at), endpoint_id(address))


def _decode_disconnected(body: memoryview, at: int) -> Event:
    return RequestAbandoned(_U32.unpack_from(body, at)[0])


def _decode_timer(body: memoryview, at: int) -> Event:
    return TimerFired(_U64.unpack_from(body, at)[0])


def _decode_established(body: memoryview, at: int) -> Event:
    request_id, attempt, address, elapsed = _ESTABLISHED.unpack_from(body, at)
    return ConnectionEstablished(request_id, attempt, endpoint_id(address), elapsed)


def _decode_ended(body: memoryview, at: int) -> Event:
    request_id, attempt, address, code, elapsed, is_final, count, *values = _ENDED.unpack_from(body, at)
    outcome = OUTCOMES.get(code, Outcome.UNKNOWN)
    report = tuple(values[:count])
    return AttemptEnded(request_id, attempt, endpoint_id(address), outcome, elapsed, bool(is_final), report)


def _decode_health_check(body: memoryview, at: int) -> Event:
    address, elapsed, code, count, *values = _HEALTH_CHECK_ENDED.unpack_from(body, at)
    outcome = OUTCOMES.get(code, Outcome.UNKNOWN)
    return HealthCheckEnded(endpoint_id(address), outcome, elapsed, tuple(values[:count]))


def _decode_connection_report(body: memoryview, at: int) -> Event | None:
    request_id, attempt, address, kind, value = _CONNECTION_REPORT.unpack_from(body, at)
    if kind == ReportKind.LOAD:
        return LoadReported(request_id, attempt, endpoint_id(address), value)
    if kind == ReportKind.LATENCY:
        return LatencyReported(request_id, attempt, endpoint_id(address), value)
    return None  # a kind unknown to this version


# Decoders of events that do not use the tail; called with the offset of the first byte after the header.
DECODERS: dict[int, Callable[[memoryview, int], Event | None]] = {
    EventCode.CLIENT_DISCONNECTED: _decode_disconnected,
    EventCode.REQUEST_ARRIVED: _decode_arrival,
    EventCode.TIMER_FIRED: _decode_timer,
    EventCode.CONNECTION_ADOPTED: _decode_adopted,
    EventCode.HEALTH_CHECK_ENDED: _decode_health_check,
    EventCode.CONNECTION_ESTABLISHED: _decode_established,
    EventCode.ATTEMPT_ENDED: _decode_ended,
    EventCode.CONNECTION_REPORT: _decode_connection_report,
}


class ReplyWriter:
    """Collects the action records and the tail of one reply."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = bytearray()

    def add(self, instance: int, action: Action) -> None:
        """Add an action of an instance."""
        match action:
            case StartAttempt(request, endpoint, timeout):
                address, timeout = endpoint.to_bytes(6, "big"), min(max(timeout, 0), U32_MAX)
                self._add("HII6sI", ActionCode.START_ATTEMPT, instance, request, address, timeout)
            case SetTimer(delay, token):
                self._add("HIIQ", ActionCode.SET_TIMER, instance, min(max(delay, 0), MAX_DELAY), token)
            case Reject(request, retry_after):
                retry_after = min(max(retry_after, 0), U32_MAX)
                self._add("HIII", ActionCode.REJECT, instance, request, retry_after)
            case Fail(request):
                self._add("HII", ActionCode.FAIL, instance, request)
            case Migrate(request):
                self._add("HII", ActionCode.MIGRATE, instance, request)
            case StartHealthCheck(endpoint):
                self._add("HI6s", ActionCode.START_HEALTH_CHECK, instance, endpoint.to_bytes(6, "big"))
            case LogMessage(text):
                self._add_text(ActionCode.LOG_MESSAGE, instance, text)
            case WatchEndpoints(enabled):
                self._add("HIB", ActionCode.WATCH_ENDPOINTS, instance, int(enabled))

    def add_fault(self, instance: int, text: str) -> None:
        """Add a report of an exception in an instance's balancer."""
        self._add_text(ActionCode.FAULT, instance, text)

    def frame(self, number: int) -> bytes:
        """Return the reply to the batch with this number."""
        size = ACTION_SIZE * len(self.records) + len(self.tail)
        return b"".join((_REPLY.pack(number, size, len(self.records)), *self.records, self.tail))

    def _add(self, fields: str, *values: int | bytes) -> None:
        self.records.append(struct.pack(">" + fields, *values).ljust(ACTION_SIZE, b"\0"))

    def _add_text(self, code: ActionCode, instance: int, text: str) -> None:
        data = text.encode()
        self._add("HIII", code, instance, len(self.tail), len(data))
        self.tail += data
