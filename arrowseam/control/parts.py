"""What control asks of the parts of a proxy that only some configurations have."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Protocol

from arrowseam.net.task import Coroutine


class EndpointSources(Protocol):
    """The sources of endpoints."""

    def counter_lines(self) -> Iterator[str]:
        """Lines for ``counters``."""

    def endpoint_rows(self) -> Iterator[dict[str, Any]]:
        """Each endpoint."""

    def source_rows(self) -> Iterator[dict[str, Any]]:
        """Each source."""

    def allow_large_removal(self, name: str) -> bool:
        """Let one large removal of a source through; False if there is no such source."""


class Membership(Protocol):
    """The membership of the cluster."""

    def counter_lines(self) -> Iterator[str]:
        """Lines for ``counters``."""

    def rows(self) -> Iterator[dict[str, Any]]:
        """Each member, each zone, and the cordons."""

    def can_cordon(self, endpoint: str) -> bool:
        """Whether a cordon of this endpoint would reach the cluster."""

    def set_cordon(self, endpoint: str, cordoned: bool) -> None:
        """Notify the cluster of a cordon or its end."""

    def declare_left(self, name: str) -> bool:
        """A dead member will not come back; False if there is no such member."""


class Rollouts(Protocol):
    """Drains and releases that the proxies agree on."""

    def counter_lines(self) -> Iterator[str]:
        """Lines for ``counters``."""

    def status_rows(self) -> Iterator[dict[str, Any]]:
        """The agreed state."""

    def decision_rows(self) -> Iterator[dict[str, Any]]:
        """The decisions, in order."""

    def run_command(self, words: list[str], body: bytes) -> Coroutine[tuple[bool, str]]:
        """Carry out a command; whether it was, and what became of it."""

    def is_out_by_plan(self, endpoint: str) -> bool:
        """Whether an endpoint is cordoned by agreement."""
