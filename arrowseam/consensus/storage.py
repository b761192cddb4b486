"""The state file of a voter: a sequence of records, each with its length and checksum.

    arrowseam-agree 1\\n  { length, 4 bytes | CRC-32, 4 bytes | MessagePack of one record } ...

An incomplete record at the end (the file ends within it, or only zeros follow) was never synced, so no
message that depends on it was sent: it is cut off. Any other damage is refused, because a synced record may
be lost, and with it a vote.

A sync may take long, so none of this is called in the process of the event loop.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import zlib
from collections.abc import Iterable
from hashlib import blake2b
from pathlib import Path

import msgspec

from arrowseam.consensus.messages import (
    AppendedEntries,
    Checkpoint,
    HardState,
    Snapshot,
    StoredRecord,
    encoder,
)
from arrowseam.errors import ArrowseamError

HEADER = b"arrowseam-agree 1\n"
RECORD_HEADER_SIZE = 8  # length and checksum
RECORD_BYTES_MAX = 8 << 20  # bytes
FILE_BYTES_MAX = 64 << 20  # bytes
_record_decoder: msgspec.msgpack.Decoder[StoredRecord] = msgspec.msgpack.Decoder(StoredRecord)


class StateFileError(ArrowseamError):
    """A state file that is refused; the message is a single line."""


def replay(records: Iterable[StoredRecord]) -> Checkpoint | None:
    """Return the state that results from these records, None without any; raises StateFileError."""
    state: Checkpoint | None = None
    for record in records:
        if isinstance(record, Checkpoint):
            state = record
        elif state is None:
            if isinstance(record, AppendedEntries):
                raise StateFileError("entries precede the first state record")
            state = Checkpoint(record, Snapshot(), [])
        elif isinstance(record, HardState):
            state = Checkpoint(record, state.snapshot, state.entries)
        else:
            offset = record.index - state.snapshot.index - 1
            if not 0 <= offset <= len(state.entries):
                raise StateFileError(f"entry {record.index} does not follow the entries before it")
            state = Checkpoint(state.hard_state, state.snapshot, state.entries[:offset] + record.entries)
    return state


def encode_record(record: StoredRecord) -> bytes:
    """Encode a record with its length and checksum."""
    body = encoder.encode(record)
    return len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body


def encode_records(records: Iterable[StoredRecord]) -> bytes:
    """Encode records as they are stored after the file header."""
    return b"".join(map(encode_record, records))


def decode_file(data: bytes) -> tuple[list[StoredRecord], int]:
    """Return the records of a file, and the size in bytes of its intact part; raises StateFileError."""
    if not data.startswith(HEADER):
        if HEADER.startswith(data):
            return [], 0  # the header itself is incomplete
        raise StateFileError("unknown header: not a voter state file of this version")
    position, records = len(HEADER), list[StoredRecord]()
    while position < len(data):
        rest = data[position:]
        if _is_torn(rest):
            return records, position
        size, checksum = int.from_bytes(rest[:4], "big"), int.from_bytes(rest[4:RECORD_HEADER_SIZE], "big")
        body = rest[RECORD_HEADER_SIZE : RECORD_HEADER_SIZE + size]
        if not 0 < size <= RECORD_BYTES_MAX or zlib.crc32(body) != checksum:
            raise StateFileError(f"corrupted record at byte {position}: wrong length or checksum")
        try:
            records.append(_record_decoder.decode(body))
        except msgspec.DecodeError as error:
            raise StateFileError(f"record at byte {position} cannot be decoded: {error}") from None
        position += RECORD_HEADER_SIZE + size
    return records, position


def _is_torn(rest: bytes) -> bool:
    """Whether ``rest`` is a record that was not completely written."""
    size = int.from_bytes(rest[:4], "big")
    truncated = 0 < size <= RECORD_BYTES_MAX and len(rest) < RECORD_HEADER_SIZE + size
    return len(rest) < RECORD_HEADER_SIZE or not any(rest) or truncated


def state_file_path(folder: str, proxy: str) -> Path:
    """Path of a proxy's state file; proxies of one machine may share a folder."""
    name_digest = blake2b(proxy.encode("utf-8", "surrogatepass"), digest_size=6).hexdigest()
    return Path(folder) / f"arrowseam-{name_digest}.agree"


def _write_all(fd: int, data: bytes) -> None:
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(fd, rest) :]


def _read_all(fd: int, size: int) -> bytes:
    data = b""
    while len(data) < size:
        part = os.read(fd, size - len(data))
        if not part:
            break
        data += part
    return data


def _sync_folder(path: Path) -> None:
    fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


class StateFile:
    """The state file of one voter, locked against other processes with the same proxy name until closed."""

    def __init__(self, path: Path) -> None:
        """Raises OSError; BlockingIOError while another process holds the lock."""
        self.path = path
        self._fd = -1
        self._lock_fd = os.open(
            path.with_name(path.name + ".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600
        )
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock_fd)
            raise

    def load(self) -> Checkpoint | None:
        """Load the state, None for a new file; an incomplete last record is truncated.

        Raises StateFileError or OSError.
        """
        try:
            fd = os.open(self.path, os.O_RDWR | os.O_CLOEXEC | os.O_NOFOLLOW)
        except FileNotFoundError:
            self.replace([])
            return None
        with contextlib.ExitStack() as stack:
            stack.callback(os.close, fd)
            size = os.fstat(fd).st_size
            if size > FILE_BYTES_MAX:
                raise StateFileError(f"larger than {FILE_BYTES_MAX} bytes")
            data = _read_all(fd, size)
            records, intact_size = decode_file(data)
            state = replay(records)
            if intact_size == 0:
                self.replace([])
                return None
            if intact_size < len(data):
                os.ftruncate(fd, intact_size)
                os.fsync(fd)
            os.lseek(fd, intact_size, os.SEEK_SET)
            stack.pop_all()
        self._fd = fd
        return state

    def append(self, records: list[StoredRecord]) -> None:
        """Store records durably; the last checkpoint among them replaces the file.

        Raises OSError; nothing more may be written after that, since what the disk holds is unknown.
        """
        last_checkpoint = max(
            (n for n, record in enumerate(records) if isinstance(record, Checkpoint)), default=-1
        )
        if last_checkpoint >= 0:
            self.replace(records[last_checkpoint:])
            return
        _write_all(self._fd, encode_records(records))
        os.fdatasync(self._fd)

    def replace(self, records: list[StoredRecord]) -> None:
        """Atomically replace the file's content by these records, safe against a loss of power."""
        temporary = self.path.with_name(f".{self.path.name}.{os.getpid()}")
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
        fd = os.open(temporary, flags, 0o600)
        try:
            _write_all(fd, HEADER + encode_records(records))
            os.fsync(fd)
            os.replace(temporary, self.path)
            _sync_folder(self.path.parent)
        except OSError:
            os.close(fd)
            with contextlib.suppress(OSError):
                os.unlink(temporary)
            raise
        if self._fd >= 0:
            os.close(self._fd)
        self._fd = fd

    def close(self) -> None:
        """Close the file and release its lock."""
        if self._fd >= 0:
            os.close(self._fd)
        os.close(self._lock_fd)
