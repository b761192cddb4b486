"""The file by which cordons outlive a crash: a JSON array with the names of the cordoned endpoints.

It is written at each cordon and uncordon made at this process, with all that are cordoned by hand then.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

from arrowseam.hot_restart.restart_socket import shared_file_name
from arrowseam.logs import log


class CordonFile:
    """The names of the endpoints that are cordoned, kept beside the restart socket."""

    def __init__(self, folder: Path, proxy_name: str, listen: str) -> None:
        self.path = folder / shared_file_name(proxy_name, listen, "cordons")

    def load(self) -> list[str]:
        """The endpoints that were cordoned when the last process ended; none if the file cannot be read."""
        try:
            names = json.loads(self.path.read_bytes())
        except FileNotFoundError:
            return []
        except (OSError, ValueError) as error:
            return self._ignored(str(error))
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            return self._ignored("not a list of names")
        return names

    def _ignored(self, reason: str) -> list[str]:
        log("cordons.unreadable", f"cordons: {reason}; none are taken from the file")
        return []

    def save(self, names: list[str]) -> None:
        """Replace the file in one step, so that a crash leaves the old content or the new."""
        temporary = self.path.with_suffix(f".{os.getpid()}")
        try:
            temporary.write_text(json.dumps(names))
            os.replace(temporary, self.path)
        except OSError as error:
            log("cordons.not_saved", f"cordons: {error}; a crash would forget them")
