"""The unix socket on which the processes of one proxy find each other.

It accepts only processes of the same user: it is in the folder of temporary files, where any user may write.
"""

from __future__ import annotations

import contextlib
import os
import socket
import struct
import tempfile
from collections.abc import Iterator
from hashlib import blake2b
from pathlib import Path

CONNECT_TIMEOUT_SECONDS = 2.0  # for each socket call of a new process that requests a handover
BACKLOG = 8
NO_ACCESS_FOR_OTHERS = 0o177


def shared_file_name(proxy_name: str, listen: str, suffix: str) -> str:
    """The name of a file that the processes of one proxy share."""
    digest = blake2b(f"{proxy_name}\0{listen}".encode(), digest_size=8).hexdigest()
    return f"arrowseam-{digest}.{suffix}"


def shared_folder() -> Path:
    """The folder of the files that the processes of one proxy share."""
    return Path(tempfile.gettempdir())


def is_same_user(sock: socket.socket) -> bool:
    """Whether the process at the other end runs as the same user as this one."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    uid: int = struct.unpack("3i", credentials)[1]
    return uid == os.geteuid()


class RestartSocket:
    """The address of the restart socket; the process that listens on it is the serving one."""

    def __init__(self, folder: Path, proxy_name: str, listen: str) -> None:
        self.folder = folder
        self.file_name = shared_file_name(proxy_name, listen, "sock")

    @contextlib.contextmanager
    def _short_path(self, file_name: str) -> Iterator[str]:
        """A path within the length limit of unix socket addresses, however long the folder's path is."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{descriptor}/{file_name}"
        finally:
            os.close(descriptor)

    def listen(self) -> socket.socket:
        """Listen on the address, in place of any earlier process; raises OSError."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            # Bound under another name and renamed once it listens, so that nobody can connect before it
            # listens, or open it before its mode excludes other users.
            temporary = f"{self.file_name}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self.folder / temporary)
            with self._short_path(temporary) as path:
                previous_mask = os.umask(NO_ACCESS_FOR_OTHERS)
                try:
                    sock.bind(path)
                finally:
                    os.umask(previous_mask)
            sock.listen(BACKLOG)
            os.replace(self.folder / temporary, self.folder / self.file_name)
        except OSError:
            sock.close()
            raise
        return sock

    def connect(self) -> socket.socket | None:
        """Connect to the process that listens; None if there is none, or it runs as another user."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.settimeout(CONNECT_TIMEOUT_SECONDS)
        try:
            with self._short_path(self.file_name) as path:
                sock.connect(path)
            if is_same_user(sock):
                return sock
        except OSError:
            pass  # no process, or only the stale file of one: an ordinary start
        sock.close()
        return None
