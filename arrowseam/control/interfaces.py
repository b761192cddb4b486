"""The parts of a proxy that only some configurations have, as control calls them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Protocol

from arrowseam.net.task import Coroutine


class EndpointSources(Protocol):
    """The sources of endpoints, with an operator file."""

    def counter_lines(self) -> Iterator[str]:
        """Lines for ``counters``."""

    def endpoint_rows(self) -> Iterator[dict[str, Any]]:
        """One row for each endpoint."""

    def source_rows(self) -> Iterator[dict[str, Any]]:
        """One row for each source."""

    def allow_large_removal(self, name: str) -> bool:
        """Accept the next large removal of a source, once; False if there is no such source."""


class Membership(Protocol):
    """The membership of the cluster."""

    def counter_lines(self) -> Iterator[str]:
        """Lines for ``counters``."""

    def rows(self) -> Iterator[dict[str, Any]]:
        """One row for each member and each zone, and one with the cordons."""

    def can_cordon(self, endpoint: str) -> bool:
        """Whether a cordon of this endpoint would reach the cluster."""

    def set_cordon(self, endpoint: str, cordoned: bool) -> None:
        """Notify the cluster that an endpoint was cordoned or uncordoned."""

    def declare_left(self, name: str) -> bool:
        """Mark a dead member as left for good; False if there is no such member."""


class Rollouts(Protocol):
    """Drains and releases that the proxies agree on."""

    def counter_lines(self) -> Iterator[str]:
        """Lines for ``counters``."""

    def status_rows(self) -> Iterator[dict[str, Any]]:
        """The rows of the agreed state."""

    def decision_rows(self) -> Iterator[dict[str, Any]]:
        """The rows of the decisions, in order."""

    def run_command(self, words: list[str], body: bytes) -> Coroutine[tuple[bool, str]]:
        """Run a command; return whether it succeeded, and a text for the operator."""

    def is_cordoned_by_rollout(self, endpoint: str) -> bool:
        """Whether an endpoint is cordoned by agreement."""
