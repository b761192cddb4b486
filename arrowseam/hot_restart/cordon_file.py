"""The file that preserves cordons across a crash: a JSON array with the names of the cordoned endpoints.

It is written at each cordon and uncordon made at this process, with all endpoints that operators have
cordoned at that time.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

from arrowseam.hot_restart.restart_socket import shared_file_name
from arrowseam.logs import log


class CordonFile:
    """Stores the names of the cordoned endpoints, in the folder of the restart socket."""

    def __init__(self, folder: Path, proxy_name: str, listen: str) -> None:
        self.path = folder / shared_file_name(proxy_name, listen, "cordons")

    def load(self) -> list[str]:
        """Load the endpoints that were cordoned when the last process ended; none if that fails."""
        try:
            names = json.loads(self.path.read_bytes())
        except FileNotFoundError:
            return []
        except (OSError, ValueError) as error:
            return self._ignored(str(error))
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            return self._ignored("not an array of strings")
        return names

    def _ignored(self, reason: str) -> list[str]:
        log("cordons.unreadable", f"cordons: the file cannot be read: {reason}; starting without cordons")
        return []

    def save(self, names: list[str]) -> None:
        """Replace the file atomically: after a crash it has either the old or the new content."""
        temporary = self.path.with_suffix(f".{os.getpid()}")
        try:
            temporary.write_text(json.dumps(names))
            os.replace(temporary, self.path)
        except OSError as error:
            log("cordons.not_saved", f"cordons: the file cannot be written: {error}; a crash would lose them")
