"""Planted faults for soak runs: ``python -m arrowseam.lab.soak_mutants NAME serve ...`` runs a faulty proxy.

Each removes one rule of the proxy; a test shows that the judge of soak runs finds the fault.
"""

from __future__ import annotations

import runpy
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from arrowseam import process_signals
from arrowseam.balancer import settings
from arrowseam.net.task import Coroutine
from arrowseam.protocols.discovery import DiscoveryClient
from arrowseam.protocols.edge import messages
from arrowseam.request_handling.shutdown import GracefulShutdown


def _do_not_ignore_signals() -> None:
    process_signals.ignore_signals = lambda: None


def _retry_non_idempotent_requests() -> None:
    original = settings.Settings.__post_init__

    def make_idempotent(self: settings.Settings) -> None:
        original(self)
        retryable = tuple(replace(c, idempotency=settings.Idempotency.IDEMPOTENT) for c in self.classes)
        object.__setattr__(self, "classes", retryable)

    settings.Settings.__post_init__ = make_idempotent  # type: ignore[method-assign]


def _close_without_migration_message() -> None:
    messages.MIGRATION_LINE = b""


def _ignore_drains() -> None:
    original = DiscoveryClient._apply  # noqa: SLF001

    def apply(self: DiscoveryClient, document: Any, decoded: Any, is_cached: bool = False) -> None:
        is_complete, version, records = decoded
        ready = [record._replace(state="Ready") for record in records]
        original(self, document, (is_complete, version, ready), is_cached)

    DiscoveryClient._apply = apply  # type: ignore[method-assign]  # noqa: SLF001


def _never_finish_draining() -> None:
    def drain(self: GracefulShutdown, begun_at: int) -> Coroutine[None]:
        while self.is_draining and begun_at:
            yield None

    GracefulShutdown._drain = drain  # type: ignore[method-assign]  # noqa: SLF001


MUTANTS: dict[str, Callable[[], None]] = {
    "does_not_ignore_signals": _do_not_ignore_signals,
    "retries_non_idempotent_requests": _retry_non_idempotent_requests,
    "closes_without_migration_message": _close_without_migration_message,
    "ignores_drains": _ignore_drains,
    "never_finishes_draining": _never_finish_draining,
}


if __name__ == "__main__":
    MUTANTS[sys.argv.pop(1)]()
    runpy.run_module("arrowseam", run_name="__main__", alter_sys=True)
