"""The worker process that reads endpoint files for a proxy (``python -m arrowseam.endpoint_sources.worker``).

For each source, it keeps the last valid list as the proxy has it, and writes the snapshots. Lists are checked
by ``validation.py``. The worker ends at the end of its input, so it cannot outlive the proxy.

Requests and answers are JSON lines on one socket, its standard input and output.

    {"do":"hold","source":S,"file":F,"snapshot":PATH,...}  a source and its settings (``SourceState``)
    {"do":"hold","source":S,"rows":[..],"done":B}  rows of the list in force; ``done``: the last ones
    {"do":"restore","source":S}                    load the snapshot, if there is one
    {"do":"read","source":S,"always":B,"allow":B}  read the file; not ``always``: only if changed
    {"do":"drop","source":S}                       forget the source

``hold`` and ``drop`` are not answered. The answer to the others is a line with ``verdict`` (``good``,
``same``, ``refused`` with ``reason`` and ``text``, or ``none``); ``good`` has ``lines``, the number of
lines that follow, each with at most ``ROWS_PER_LINE`` added or changed ``rows`` or ``removed`` names. A line
with ``event`` may precede any answer.
"""

from __future__ import annotations

import contextlib
import os
import select
import signal
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from arrowseam.endpoint_sources import file_reader, snapshots, validation
from arrowseam.endpoint_sources.records import EndpointRecord
from arrowseam.errors import UsageError

ROWS_PER_LINE = 200  # few enough for the proxy to decode in one round of its event loop
SNAPSHOT_INTERVAL_SECONDS = 0.2  # between two snapshots of one source
READ_BYTES = 1 << 16
MILLISECOND_NS = 1_000_000

# After these rejections the last content is forgotten, so that the same content is reported again once it
# can be read.
READ_FAILURES = ("absent", "not-a-file", "unreadable", "torn", "too-large", "writable-by-all")


@dataclass(slots=True)
class SourceState:
    """One source: its settings, the list in force, and the last read.

    Attributes:
        snapshot: path of the snapshot; empty = no snapshots.
        taken_at_ms: when the list in force was accepted, Unix milliseconds.
        signature: signature of the file when last read; None = it was absent.
        was_read: whether the file has been read and ``signature`` is set.
        content, was_allowed: the content last read, valid or not, and whether a large removal was allowed
            then; a read that finds both unchanged is answered by ``same``.
        snapshot_due_at, snapshot_saved_at: seconds of the monotonic clock.
    """

    file: str = ""
    snapshot: str = ""
    max_removed: float = 0.5
    max_bytes: int = 16 << 20
    generation: int | None = None
    taken_at_ms: int = 0
    records: dict[str, EndpointRecord] = field(default_factory=dict)
    signature: file_reader.Signature | None = None
    was_read: bool = False
    content: bytes | None = None
    was_allowed: bool = False
    snapshot_due_at: float | None = None
    snapshot_saved_at: float = 0.0


# Keys of a ``hold`` request, and the fields that they set.
HOLD_FIELDS = {
    "file": "file",
    "snapshot": "snapshot",
    "max_removed": "max_removed",
    "max_bytes": "max_bytes",
    "generation": "generation",
    "good_ms": "taken_at_ms",
}


def _batches(rows: list[Any]) -> Iterator[list[Any]]:
    for start in range(0, len(rows), ROWS_PER_LINE):
        yield rows[start : start + ROWS_PER_LINE]


class Worker:
    """Handles the proxy's requests."""

    def __init__(self) -> None:
        self.sources: dict[str, SourceState] = {}

    def handle(self, request: dict[str, Any]) -> list[bytes]:
        """Handle one request; returns the lines of the answer."""
        name = str(request["source"])
        match request["do"]:
            case "hold":
                self._hold(self.sources.setdefault(name, SourceState()), request)
                return []
            case "drop":
                self.sources.pop(name, None)
                return []
            case "restore":
                return self._restore(name, self.sources[name])
            case "read":
                return self._read(self.sources[name], bool(request["always"]), bool(request["allow"]))
        raise UsageError(f"unknown request {request['do']!r}")

    def _hold(self, state: SourceState, request: dict[str, Any]) -> None:
        for key, field_name in HOLD_FIELDS.items():
            if key in request:
                setattr(state, field_name, request[key])
        state.was_read, state.content = False, None
        rows = request.get("rows", [])
        state.records.update({row[0]: EndpointRecord.from_transfer(row) for row in rows})
        if request.get("done") and state.records and state.snapshot:
            state.snapshot_due_at = 0.0  # the previous worker may have ended before it wrote one

    def _restore(self, name: str, state: SourceState) -> list[bytes]:
        """Load the snapshot and put its list in force."""
        if not state.snapshot:
            return [_encode_verdict("none")]
        try:
            snapshot = snapshots.load(Path(state.snapshot), name)
        except snapshots.SnapshotError as error:
            return [_encode_verdict("refused", reason="snapshot", text=str(error))]
        if snapshot is None:
            return [_encode_verdict("none")]
        delta = validation.difference(snapshot.records, state.records)
        state.records, state.generation = snapshot.records, snapshot.generation
        state.taken_at_ms = snapshot.taken_at_ms
        return _encode_valid(state, delta, False)

    def _read(self, state: SourceState, always: bool, allow: bool) -> list[bytes]:
        """Read the file and put its list in force if it is valid."""
        if not always and state.was_read and file_reader.signature(state.file) == state.signature:
            return [_encode_verdict("same")]
        try:
            if not self._read_content(state, allow):
                return [_encode_verdict("same")]
            assert state.content is not None
            new = validation.parse(state.content)
            delta, needed_allowance = _compare(new, state, allow)
        except validation.ListRejectedError as error:
            if error.reason in READ_FAILURES:
                state.content = None
            return [_encode_verdict("refused", reason=error.reason, text=str(error))]
        except MemoryError:
            return [_encode_verdict("refused", reason="too-large", text="not enough memory to read it")]
        state.records = new.records
        state.generation = new.generation if new.generation is not None else state.generation
        state.taken_at_ms = time.time_ns() // MILLISECOND_NS
        if state.snapshot:
            state.snapshot_due_at = state.snapshot_saved_at + SNAPSHOT_INTERVAL_SECONDS
        return _encode_valid(state, delta, needed_allowance)

    def _read_content(self, state: SourceState, allow: bool) -> bool:
        """Read the file; returns whether the content or the allowance has changed."""
        state.was_read = True
        state.signature = file_reader.signature(state.file)
        content, state.signature = file_reader.read(state.file, state.max_bytes)
        if content == state.content and allow == state.was_allowed:
            return False
        state.content, state.was_allowed = content, allow
        return True

    # --- snapshots, written after the answers ---

    def save_snapshots(self, now: float, even_if_not_due: bool = False) -> str | None:
        """Write the snapshots that are due; returns the first failure."""
        failure = None
        for name, state in self.sources.items():
            if state.snapshot_due_at is not None and (even_if_not_due or now >= state.snapshot_due_at):
                state.snapshot_due_at, state.snapshot_saved_at = None, now
                data = snapshots.encode(name, state.generation, state.taken_at_ms, state.records)
                try:
                    snapshots.save(Path(state.snapshot), data)
                except OSError as error:
                    failure = failure or f"{name}: {error}"
        return failure

    def next_snapshot_at(self) -> float | None:
        """Return when the next snapshot is due, in seconds of the monotonic clock; None = none is due."""
        due = (state.snapshot_due_at for state in self.sources.values() if state.snapshot_due_at is not None)
        return min(due, default=None)


def _compare(new: validation.ValidList, state: SourceState, allow: bool) -> tuple[validation.ListDelta, bool]:
    """Return what the new list changes, and whether that needed the allowance; raises ListRejectedError."""
    current = (state.records, state.generation, state.max_removed)
    try:
        return validation.compare(new, *current), False
    except validation.ListRejectedError:
        if not allow:
            raise
    return validation.compare(new, *current, allow=True), True


def _encode_verdict(verdict: str, **fields: str) -> bytes:
    return msgspec.json.encode({"verdict": verdict, **fields})


def _encode_valid(state: SourceState, delta: validation.ListDelta, was_allowed: bool) -> list[bytes]:
    """Encode the answer for a valid list: a summary, then its changes."""
    lines = [msgspec.json.encode({"removed": names}) for names in _batches(delta.removed)]
    rows = [record.to_transfer() for record in delta.changed + delta.added]
    lines += [msgspec.json.encode({"rows": batch}) for batch in _batches(rows)]
    summary = {
        "verdict": "good",
        "lines": len(lines),
        "generation": state.generation,
        "good_ms": state.taken_at_ms,
        "servers": len(state.records),
        "added": len(delta.added),
        "changed": len(delta.changed),
        "removed": len(delta.removed),
        "allowed": was_allowed,
    }
    return [msgspec.json.encode(summary), *lines]


def main() -> None:
    """Answer requests until the input ends, then write all pending snapshots."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # it is for the proxy, with whose end this worker ends
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    worker, unfinished = Worker(), b""
    while True:
        due = worker.next_snapshot_at()
        timeout = None if due is None else max(0.0, due - time.monotonic())
        if select.select([0], [], [], timeout)[0]:
            data = os.read(0, READ_BYTES)
            if not data:
                break
            *lines, unfinished = (unfinished + data).split(b"\n")
            for line in lines:
                answers = worker.handle(msgspec.json.decode(line))
                _write(b"".join(answer + b"\n" for answer in answers))
        elif (failure := worker.save_snapshots(time.monotonic())) is not None:
            _write(msgspec.json.encode({"event": "snapshot.failed", "text": failure}) + b"\n")
    worker.save_snapshots(time.monotonic(), even_if_not_due=True)


def _write(data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(1, view) :]


if __name__ == "__main__":
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        main()
