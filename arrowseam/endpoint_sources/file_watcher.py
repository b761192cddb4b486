"""Detects that a file may have changed, with inotify watches on every folder along its path.

The folders along the path and along every symbolic link in it are watched, each for the one name that the
path uses: a file replaced by rename, a changed link, a folder renamed, deleted or created again all cause an
event for one of these names. An event only means that the file has to be read again; if the queue of events
overflows, all files are.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable, Iterable
from typing import NamedTuple

from inotify_simple import INotify, flags, parse_events

from arrowseam.logs import log
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine

LINKS_MAX = 40  # symbolic links in one path
EVENT_BYTES_PER_ROUND = 16384  # bytes of events read in one round of the event loop
RESOLVE_ATTEMPTS_MAX = 4  # resolutions of all paths, until the folders stay the same
PLACEMENT_EVENTS = flags.CREATE | flags.DELETE | flags.MOVED_FROM | flags.MOVED_TO | flags.ATTRIB
FOLDER_EVENTS = flags.IGNORED | flags.DELETE_SELF | flags.MOVE_SELF | flags.UNMOUNT
WATCHED_EVENTS = (
    PLACEMENT_EVENTS | flags.CLOSE_WRITE | flags.MODIFY | flags.DELETE_SELF | flags.MOVE_SELF | flags.ONLYDIR
)


class PathStep(NamedTuple):
    """One name along the path of a file, and the folder that holds it."""

    folder: str
    name: str


def path_steps(path: str) -> list[PathStep]:
    """Return all names that are looked up to reach ``path``, links followed, as far as it exists."""
    steps: list[PathStep] = []
    names = [name for name in os.path.abspath(path).split("/") if name]
    names.reverse()
    folder, links = "/", 0
    while names:
        name = names.pop()
        if name == "..":
            folder = os.path.dirname(folder)
            continue
        steps.append(PathStep(folder, name))
        here = os.path.join(folder, name)
        try:
            target = os.readlink(here)
        except OSError:  # not a link, or absent
            folder = here
            continue
        links += 1
        if links > LINKS_MAX:
            break
        if target.startswith("/"):
            folder = "/"
        names += [part for part in reversed(target.split("/")) if part not in ("", ".")]
    return steps


class FileWatcher:
    """Watches files for changes.

    ``on_event(file, is_complete)`` is called when a file may have changed; ``is_complete`` is false while its
    writer may continue.

    Attributes:
        unwatched_files: files that must be polled, since a folder of their path cannot be watched.
    """

    def __init__(self, loop: EventLoop, on_event: Callable[[str, bool], None]) -> None:
        """Raises OSError if no inotify instance can be created."""
        self.loop, self.on_event = loop, on_event
        self.inotify = INotify(nonblocking=True)
        self.unwatched_files: set[str] = set()
        self._files: tuple[str, ...] = ()
        self._names: dict[int, dict[str, set[str]]] = {}  # watch -> name -> files whose path goes through it
        self._folders: dict[str, int] = {}  # folder -> watch
        task = loop.start_task(self._run(), "watch")
        loop.watch_readable(self.inotify.fd, task)

    def close(self) -> None:
        """Stop watching all files."""
        self.loop.unwatch(self.inotify.fd)
        self.inotify.close()

    def watch(self, files: Iterable[str]) -> None:
        """Watch exactly these files."""
        self._files = tuple(files)
        # Folders that change before their watch is set are found when the paths are resolved again.
        for _ in range(RESOLVE_ATTEMPTS_MAX):
            previous = self._folders
            self._watch_folders()
            if self._folders.keys() == previous.keys():
                break

    def _watch_folders(self) -> None:
        names: dict[int, dict[str, set[str]]] = {}
        folders: dict[str, int] = {}
        self.unwatched_files = set()
        for file in self._files:
            for step in path_steps(file):
                if step.folder not in folders and not self._add_folder(step.folder, file, folders):
                    continue
                names.setdefault(folders[step.folder], {}).setdefault(step.name, set()).add(file)
        for watch in self._names.keys() - names.keys():
            with contextlib.suppress(OSError):  # the folder is gone, and its watch with it
                self.inotify.rm_watch(watch)
        self._names, self._folders = names, folders

    def _add_folder(self, folder: str, file: str, folders: dict[str, int]) -> bool:
        try:
            folders[folder] = self.inotify.add_watch(folder, WATCHED_EVENTS)
        except (FileNotFoundError, NotADirectoryError):
            return False  # its creation is an event of the folder above, which is watched
        except OSError:
            self.unwatched_files.add(file)  # too many watches, or no permission
            return False
        return True

    def _run(self) -> Coroutine[None]:
        while True:
            try:
                data = os.read(self.inotify.fd, EVENT_BYTES_PER_ROUND)
            except BlockingIOError:
                data = b""
            if data:
                self._handle_events(data)
                yield from self.loop.yield_turn()
            else:
                yield None

    def _handle_events(self, data: bytes) -> None:
        complete: set[str] = set()
        being_written: set[str] = set()
        is_path_changed = False
        for event in parse_events(data):
            if event.mask & flags.Q_OVERFLOW:
                log("watch.overflow", "watch: inotify queue overflow; all files are read again", "warning")
                is_path_changed, complete = True, set(self._files)
                continue
            files = self._names.get(event.wd, {})
            if event.mask & FOLDER_EVENTS:
                is_path_changed = True
                complete.update(*files.values())
            elif event.name in files:
                is_path_changed = is_path_changed or bool(event.mask & PLACEMENT_EVENTS)
                (being_written if event.mask & flags.MODIFY else complete).update(files[event.name])
        if is_path_changed:
            self.watch(self._files)
        for file in complete:
            self.on_event(file, True)
        for file in being_written - complete:
            self.on_event(file, False)
