"""Framing of the messages between proxies: magic bytes, the CRC-32 of the body, the body."""

from __future__ import annotations

import zlib

from arrowseam.errors import ArrowseamError

MAGIC = b"aA1"
HEADER_SIZE = len(MAGIC) + 4  # magic bytes and CRC-32
DATAGRAM_MAX = 1400  # bytes; longer frames are sent over a stream


class FrameError(ArrowseamError, ValueError):
    """A frame that cannot be decoded; the message gives the reason."""


def wrap_frame(body: bytes) -> bytes:
    """Put the frame header in front of a message body."""
    return MAGIC + zlib.crc32(body).to_bytes(4, "big") + body


def unwrap_frame(frame: bytes) -> bytes:
    """Return the body of a frame; raises FrameError if the magic bytes or the checksum do not match."""
    if frame[: len(MAGIC)] != MAGIC:
        raise FrameError("magic bytes do not match")
    body = frame[HEADER_SIZE:]
    if zlib.crc32(body) != int.from_bytes(frame[len(MAGIC) : HEADER_SIZE], "big"):
        raise FrameError("checksum does not match: truncated or corrupted")
    return body
