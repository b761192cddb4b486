"""Snapshots: the last valid list of each source, in a file that outlives the process.

A file is replaced atomically, and rejected if its checksum does not match. This runs in the worker, not in
the proxy's event loop: disk writes may block for long.

The first line is a JSON header, the rest the rows, one JSON array:

    {"format":"arrowseam-members","version":1,"source":"...","generation":4,"good_ms":...,"bytes":...,"blake2b":"..."}
"""

from __future__ import annotations

import contextlib
import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec

from arrowseam.endpoint_sources.records import STATES, EndpointRecord
from arrowseam.errors import ArrowseamError

FORMAT, VERSION = "arrowseam-members", 1
BYTES_MAX = 512 << 20


class SnapshotError(ArrowseamError):
    """A snapshot that cannot be used; the message is a single line."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The last valid list of a source, and when it was taken (Unix milliseconds)."""

    source: str
    generation: int | None
    taken_at_ms: int
    records: dict[str, EndpointRecord]


def snapshot_path(folder: str, proxy: str, source: str) -> Path:
    """Return the path of a source's snapshot; proxies of one machine may share a folder."""
    digest = blake2b(proxy.encode("utf-8", "surrogatepass"), digest_size=6).hexdigest()
    return Path(folder) / f"arrowseam-{digest}-{source}.members"


def encode(
    source: str, generation: int | None, taken_at_ms: int, records: Mapping[str, EndpointRecord]
) -> bytes:
    """Encode the content of a snapshot file."""
    body = msgspec.json.encode([record.to_transfer() for record in records.values()])
    header = {
        "format": FORMAT,
        "version": VERSION,
        "source": source,
        "generation": generation,
        "good_ms": taken_at_ms,
        "bytes": len(body),
        "blake2b": blake2b(body, digest_size=32).hexdigest(),
    }
    return json.dumps(header, separators=(",", ":")).encode() + b"\n" + body


def decode(data: bytes, source: str) -> Snapshot:
    """Decode the output of ``encode``; raises SnapshotError for anything else."""
    first_line, newline, body = data.partition(b"\n")
    header = _checked_header(first_line, source)
    if not newline or header.get("bytes") != len(body):
        raise SnapshotError(f"torn: {len(body)} bytes of {header.get('bytes')}")
    if header.get("blake2b") != blake2b(body, digest_size=32).hexdigest():
        raise SnapshotError("checksum mismatch")
    try:
        rows: list[EndpointRecord] = msgspec.json.decode(body, type=list[EndpointRecord])
        generation, taken_at_ms = header["generation"], header["good_ms"]
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        raise SnapshotError(f"cannot be read: {error}") from None
    if not (generation is None or type(generation) is int) or type(taken_at_ms) is not int:
        raise SnapshotError("cannot be read: invalid header")
    if any(record.state not in STATES for record in rows):
        raise SnapshotError("cannot be read: unknown lifecycle")
    records = map(EndpointRecord.from_transfer, rows)
    return Snapshot(source, generation, taken_at_ms, {record.name: record for record in records})


def _checked_header(line: bytes, source: str) -> dict[str, Any]:
    try:
        header = json.loads(line)
    except (ValueError, RecursionError):
        header = None
    if not isinstance(header, dict) or header.get("format") != FORMAT:
        raise SnapshotError("foreign: no header of a snapshot")
    if header.get("version") != VERSION:
        raise SnapshotError(f"unsupported format: version {header.get('version')!r}, expected {VERSION}")
    if header.get("source") != source:
        raise SnapshotError(f"it is a snapshot of source {header.get('source')!r}")
    return header


def save(path: Path, data: bytes) -> None:
    """Replace a snapshot atomically and durably; if it raises OSError, the old one is kept."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        with open(fd, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(temporary)
        raise
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def load(path: Path, source: str) -> Snapshot | None:
    """Load a snapshot; None if there is none; raises SnapshotError."""
    try:
        with path.open("rb") as file:
            data = file.read(BYTES_MAX + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise SnapshotError(f"cannot be read: {error.strerror}") from None
    if len(data) > BYTES_MAX:
        raise SnapshotError(f"larger than {BYTES_MAX} bytes")
    return decode(data, source)
