"""Structured logging: named events with fields, as text for people or as JSON lines for machines.

Until ``configure_logs`` is called, lines are text on standard error, and no library is imported: a proxy may
use only 32 MB of memory.

The text format is the message alone. The JSON format has ``time``, ``level``, ``event``, ``message`` and the
fields. The event names are listed in ``docs/operators/watched-files.md``; ``EVENTS`` is the same list for
the tests.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

LEVELS = ("debug", "info", "warning", "error")

EVENTS = frozenset(
    {
        "attempt.ended",
        "balancer.message",
        "client.invalid_opening",
        "connection.ended",
        "connection.migrated",
        "connection.not_adopted",
        "connection.unanswered",
        "control.allow",
        "control.cordon",
        "control.forget",
        "cordons.not_saved",
        "cordons.unreadable",
        "discovery.failed",
        "discovery.invalid_initial_list",
        "discovery.switched",
        "discovery.updated",
        "drain.begun",
        "drain.done",
        "hot_restart.failed",
        "hot_restart.note",
        "listener.paused",
        "member.alive",
        "member.dead",
        "member.gone",
        "member.left",
        "member.name_conflict",
        "member.refuted",
        "member.suspect",
        "membership.bind_failed",
        "membership.cordon",
        "membership.proxy_share",
        "membership.started",
        "process.not_started",
        "process.started",
        "reload.done",
        "reload.refused",
        "request.rejected",
        "round.failed",
        "rollouts.command_decided",
        "rollouts.endpoint_out",
        "rollouts.epoch_begun",
        "rollouts.following",
        "rollouts.leading",
        "rollouts.permit_begun",
        "rollouts.permit_executed",
        "rollouts.permit_failed",
        "rollouts.restart_needed",
        "rollouts.settings_updated",
        "rollouts.storage_failed",
        "rollouts.successor_started",
        "signal.failed",
        "snapshot.failed",
        "snapshot.refused",
        "snapshot.taken",
        "source.refused",
        "source.retired",
        "source.taken",
        "task.failed",
        "watch.overflow",
        "watch.polls",
        "worker.ended",
        "zone.back",
        "zone.silent",
        "zone.table_mismatch",
    }
)


def _write_text(_level: str, _event: str, text: str, _fields: dict[str, Any]) -> None:
    print(text, file=sys.stderr, flush=True)


_write_event: Callable[[str, str, str, dict[str, Any]], None] = _write_text
_lowest_level = LEVELS.index("debug")


def log(event: str, text: str, level: str = "info", **fields: Any) -> None:
    """Log one event: its name, one line of text for people, and fields for machines."""
    if LEVELS.index(level) >= _lowest_level:
        _write_event(level, event, text, fields)


def configure_logs(log_format: str = "text", level: str = "debug") -> None:
    """Write events of this level and above from now on, as ``text`` or ``json``."""
    global _write_event, _lowest_level
    _lowest_level = LEVELS.index(level)
    if log_format == "json":
        from arrowseam.logs.structured import json_writer

        _write_event = json_writer()
    else:
        _write_event = _write_text
