"""A receive buffer: bytes that were read from a connection and are not consumed yet."""

from __future__ import annotations

INITIAL_SIZE = 512
# Space offered to a read, unless the limit leaves less. Most connections carry short lines and never need
# more, and the whole proxy may have to fit in 32 MB.
READ_SIZE = 1024


class Buffer:
    """A byte queue that grows as needed up to ``limit`` bytes and is compacted in place."""

    __slots__ = ("data", "end", "limit", "start")

    def __init__(self, limit: int) -> None:
        self.data = bytearray(INITIAL_SIZE)
        self.start = self.end = 0
        self.limit = limit

    def __len__(self) -> int:
        return self.end - self.start

    @property
    def is_full(self) -> bool:
        """Whether it holds ``limit`` bytes."""
        return self.end - self.start >= self.limit

    def free_space(self) -> memoryview:
        """Return the space for the next read; at least one byte unless the buffer is full.

        The caller releases the view before the buffer is used again, and advances ``end`` by what it wrote.
        """
        if self.start == self.end:
            self.start = self.end = 0
        wanted = min(max(READ_SIZE, len(self.data) - self.end), self.limit - self.end + self.start)
        if len(self.data) - self.end < wanted:
            if self.start:
                self._compact()
            if len(self.data) - self.end < wanted:
                self._grow(wanted)
        return memoryview(self.data)[self.end : self.end + wanted]

    def _compact(self) -> None:
        size = len(self)
        self.data[:size] = self.data[self.start : self.end]
        self.start, self.end = 0, size

    def _grow(self, wanted: int) -> None:
        size = min(self.limit, max(2 * len(self.data), self.end + wanted))
        self.data.extend(bytes(size - self.end))

    def append(self, data: bytes) -> None:
        """Append bytes that were read by other means."""
        self.data[self.end :] = data
        self.end += len(data)

    def find(self, pattern: bytes, offset: int = 0) -> int:
        """Return the first position of ``pattern`` at or after ``offset``; -1 if there is none."""
        at = self.data.find(pattern, self.start + offset, self.end)
        return at if at < 0 else at - self.start

    def rfind(self, pattern: bytes) -> int:
        """Return the last position of ``pattern``; -1 if there is none."""
        at = self.data.rfind(pattern, self.start, self.end)
        return at if at < 0 else at - self.start

    def peek(self, size: int, offset: int = 0) -> bytes:
        """Return a copy of up to ``size`` bytes from ``offset`` on."""
        at = self.start + offset
        return bytes(self.data[at : min(self.end, at + size)])

    def take(self, size: int) -> bytes:
        """Remove and return up to ``size`` bytes from the front."""
        data = self.peek(size)
        self.consume(len(data))
        return data

    def consume(self, size: int) -> None:
        """Remove ``size`` bytes from the front; the buffer must hold at least as many."""
        self.start += size

    def remove(self, offset: int, size: int) -> None:
        """Remove ``size`` bytes from ``offset`` on."""
        at = self.start + offset
        self.data[at : self.end - size] = self.data[at + size : self.end]
        self.end -= size
