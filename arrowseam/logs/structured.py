"""Writes JSON lines by the standard library's ``logging`` and python-json-logger.

Imported only if ``log(format="json")`` is set, since it uses 1.2 MB of memory.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import Any

from pythonjsonlogger.json import JsonFormatter

RESERVED_FIELDS = ("name", "msg", "args", "module", "message", "asctime", "created", "process", "event")


def json_writer() -> Callable[[str, str, str, dict[str, Any]], None]:
    """Return a function that writes an event (level, name, text, fields) as a JSON line to standard error."""
    logger = logging.getLogger("arrowseam")
    logger.propagate = False
    logger.setLevel(logging.DEBUG)  # ``arrowseam.logs.log`` filters by level
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
    logging.raiseExceptions = False  # no tracebacks in the log when its disk is full

    def write(level: str, event: str, text: str, fields: dict[str, Any]) -> None:
        logger.log(
            getattr(logging, level.upper()), text, extra={"event": event, **_without_reserved_names(fields)}
        )

    return write


def _without_reserved_names(fields: dict[str, Any]) -> dict[str, Any]:
    """Append ``_`` to field names that ``logging`` uses itself: it raises an exception for those."""
    return {f"{key}_" if key in RESERVED_FIELDS else key: value for key, value in fields.items()}
