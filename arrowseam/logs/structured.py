"""JSON lines through the standard library's ``logging`` and python-json-logger.

It owns that wiring. It must never be imported unless ``log(format="json")`` is set: it costs 1.2 MB.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import Any

from pythonjsonlogger.json import JsonFormatter


def sink() -> Callable[[str, str, str, dict[str, Any]], None]:
    logger = logging.getLogger("arrowseam")
    logger.propagate = False
    logger.setLevel(logging.DEBUG)  # what is said at all has been decided before
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
            datefmt="%Y-%m-%dT%H:%M:%S%z",
        )
    )
    logger.handlers[:] = [handler]
    logging.raiseExceptions = False  # a full disk behind our log must not show as a traceback in it

    def say(level: str, event: str, text: str, fields: dict[str, Any]) -> None:
        logger.log(getattr(logging, level.upper()), text, extra={"event": event, **_clear(fields)})

    return say


def _clear(fields: dict[str, Any]) -> dict[str, Any]:
    """Guards against fields by which ``logging`` calls its own: it would raise."""
    taken = ("name", "msg", "args", "module", "message", "asctime", "created", "process", "event")
    return {f"{key}_" if key in taken else key: value for key, value in fields.items()}
