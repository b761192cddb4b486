"""The ids of connections that may have run at an endpoint, kept after they have ended."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

GENERATION_SIZE = 8192  # ids; up to twice as many are kept


class UsedIds:
    """The ids used last, in two generations: the older one is dropped as soon as the younger one is full.

    An id is new with every connection. One that comes again could run a second time.
    """

    def __init__(self) -> None:
        self._younger: set[str] = set()
        self._older: set[str] = set()

    def __contains__(self, connection_id: str) -> bool:
        return connection_id in self._younger or connection_id in self._older

    def __iter__(self) -> Iterator[str]:
        yield from self._older
        yield from self._younger - self._older

    def add(self, connection_id: str) -> None:
        """Keep an id."""
        if len(self._younger) >= GENERATION_SIZE:
            self._older, self._younger = self._younger, set()
        self._younger.add(connection_id)

    def update(self, connection_ids: Iterable[str]) -> None:
        """Keep several ids."""
        for connection_id in connection_ids:
            self.add(connection_id)
