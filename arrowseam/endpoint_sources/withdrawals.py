"""Withdrawals: endpoints that a source has removed, and that must drain while other sources still name them.

A removal is a statement of its own: without it, the record that a source gives up would no longer count, and
the other sources' records would make the endpoint ready again although it was removed or draining.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator


class Withdrawals:
    """The endpoints that one source has withdrawn, by name and by the address that it gave for them."""

    __slots__ = ("_addresses", "_names")

    def __init__(self) -> None:
        self._addresses: dict[str, str] = {}  # by name; empty = unknown
        self._names: dict[str, dict[str, None]] = {}  # by address, as an ordered set

    def __len__(self) -> int:
        return len(self._addresses)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        """Yield the name and address of each withdrawn endpoint."""
        return iter(self._addresses.items())

    def add(self, name: str, address: str) -> None:
        """Record that the source has withdrawn an endpoint."""
        self.discard(name)
        self._addresses[name] = address
        if address:
            self._names.setdefault(address, {})[name] = None

    def discard(self, name: str) -> None:
        """Forget the withdrawal of an endpoint, if there is one."""
        address = self._addresses.pop(name, "")
        names = self._names.get(address)
        if names is not None:
            del names[name]
            if not names:
                del self._names[address]

    def lift(self, names: Iterable[str]) -> list[tuple[str, str]]:
        """Forget the withdrawals of these names; returns those that there were, with their addresses."""
        lifted = [(name, self._addresses[name]) for name in names if name in self._addresses]
        for name, _ in lifted:
            self.discard(name)
        return lifted

    def address_of(self, name: str) -> str:
        """Return the address that the source gave for a withdrawn endpoint; empty = unknown."""
        return self._addresses.get(name, "")

    def names_at(self, address: str) -> tuple[str, ...]:
        """Return the withdrawn endpoints that had an address; none if it is empty."""
        return tuple(self._names.get(address, ())) if address else ()

    def includes(self, names: Iterable[str], address: str) -> bool:
        """Whether a machine was withdrawn that is known by these names and this address."""
        return address in self._names or any(name in self._addresses for name in names)
