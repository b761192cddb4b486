"""Reads an endpoint file without ever blocking on a FIFO or a device at its path.

Used by the worker and ``arrowseam servers check``, not in the proxy's event loop: disk reads may block.
"""

from __future__ import annotations

import os
import stat
import time
from typing import TypeAlias

from arrowseam.endpoint_sources.validation import ListRejectedError

# Device, inode, size, mtime and ctime: if all are equal, the file has not been written in between.
Signature: TypeAlias = tuple[int, int, int, int, int]
READ_ATTEMPTS = 3
RETRY_DELAY_SECONDS = 0.005  # before another read of a file that changed while it was read
CHUNK_BYTES = 1 << 20


def signature(path: str) -> Signature | None:
    """Return the signature of a file's current version, or None if its status cannot be read."""
    try:
        return _signature(os.stat(path))
    except OSError:
        return None


def _signature(status: os.stat_result) -> Signature:
    return status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns


def read(path: str, max_bytes: int) -> tuple[bytes, Signature]:
    """Return the content of a file and its signature.

    Raises:
        ListRejectedError: it is absent or not a regular file, cannot be read, is too large, is
            world-writable, or changes during every read attempt.
    """
    for _ in range(READ_ATTEMPTS):
        descriptor = _open(path)
        try:
            before = os.fstat(descriptor)
            _check_status(before, max_bytes)
            content = _read_all(descriptor, max_bytes)
            after = os.fstat(descriptor)
        except OSError as error:
            raise ListRejectedError("unreadable", f"cannot be read: {error.strerror}") from None
        finally:
            os.close(descriptor)
        if len(content) > max_bytes:
            raise ListRejectedError("too-large", f"larger than {max_bytes} bytes")
        if _signature(before) == _signature(after) and len(content) == after.st_size:
            return content, _signature(after)
        time.sleep(RETRY_DELAY_SECONDS)
    raise ListRejectedError("torn", "the file was written while it was read")


def _open(path: str) -> int:
    """Open a regular file. Opening a device may have side effects and a FIFO may block, so check first."""
    try:
        is_regular = stat.S_ISREG(os.stat(path).st_mode)
        flags = os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC | os.O_NOCTTY
        if is_regular:
            return os.open(path, flags)
    except FileNotFoundError:
        raise ListRejectedError("absent", "there is no such file") from None
    except OSError as error:
        raise ListRejectedError("unreadable", f"cannot be opened: {error.strerror}") from None
    raise ListRejectedError("not-a-file", "not a regular file")


def _check_status(status: os.stat_result, max_bytes: int) -> None:
    if not stat.S_ISREG(status.st_mode):  # replaced since its type was checked
        raise ListRejectedError("not-a-file", "not a regular file")
    if status.st_mode & stat.S_IWOTH:
        raise ListRejectedError("writable-by-all", f"mode {status.st_mode & 0o777:o}: writable by all users")
    if status.st_size > max_bytes:
        raise ListRejectedError("too-large", f"{status.st_size} bytes, at most {max_bytes} are allowed")


def _read_all(descriptor: int, max_bytes: int) -> bytes:
    """Read at most one byte more than ``max_bytes``: a file may be longer than its status says."""
    parts, size = [], 0
    while size <= max_bytes and (part := os.read(descriptor, min(CHUNK_BYTES, max_bytes + 1 - size))):
        parts.append(part)
        size += len(part)
    return b"".join(parts)
