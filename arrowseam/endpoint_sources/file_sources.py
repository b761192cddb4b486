"""Schedules the reading of endpoint files, which a worker process does.

The worker keeps the last valid list of each file and answers with the differences of a new version.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from arrowseam.config.operator import Servers
from arrowseam.endpoint_sources.file_watcher import FileWatcher
from arrowseam.endpoint_sources.merge import MergedEndpointList
from arrowseam.endpoint_sources.records import EndpointRecord
from arrowseam.endpoint_sources.snapshots import snapshot_path
from arrowseam.endpoint_sources.source_state import Origin
from arrowseam.endpoint_sources.wall_clock import age_text
from arrowseam.endpoint_sources.worker import ROWS_PER_LINE
from arrowseam.logs import log
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine
from arrowseam.workers.process import WorkerEndedError, WorkerProcess

WORKER_MODULE = "arrowseam.endpoint_sources.worker"
WORKER_REJECTION = "worker"  # reason of a rejection where the worker itself failed
WRITER_QUIET_TIME = 250 * MS  # a file that its writer holds open is read this long after a write
SAFETY_READ_INTERVAL = 5 * SECOND  # for changes that inotify did not report
TORN_RETRY_DELAY = 20 * MS
SEND_TIMEOUT = SECOND
ANSWER_TIMEOUT = 5 * SECOND  # for each line of an answer; a slower worker is killed
WORKER_RESTART_DELAY = 300 * MS
# A script may rewrite a file a hundred times a second. After each list, reading pauses for this multiple of
# the event loop's time that the list took, so that files use at most a tenth of the processor.
PAUSE_PER_BUSY_TIME = 9
PAUSE_MAX = SECOND // 2
PAUSE_MIN = 20 * MS
LOG_INTERVAL = SECOND  # between log lines of the same rejection of the same source
ALLOWANCE_TIME = 600 * SECOND  # after which an unused allowance of a large removal expires


class FileSources:
    """Has files read when they may have changed, and reports their lists to the merged list.

    Attributes:
        settings: settings of each source, by name.
        first_read_done: sources whose file has been read at least once, valid or not.
        busy_time: event loop time that the list read last has used so far, in microseconds.
        worker: the process that reads files; None = not started.
        watcher: None = inotify is not available, and files are polled.
    """

    def __init__(
        self,
        loop: EventLoop,
        merged: MergedEndpointList,
        proxy_name: str,
        on_reported: Callable[[set[str]], None],
    ) -> None:
        """``on_reported`` is called after a valid list, with the names of the sources before it."""
        self.loop, self.merged, self.proxy_name, self.on_reported = loop, merged, proxy_name, on_reported
        self.settings: dict[str, Servers] = {}
        self.first_read_done: set[str] = set()
        self.busy_time = 0
        self.worker: WorkerProcess | None = None
        self.watcher: FileWatcher | None = None
        self._state_dir = ""
        self._next_read_at: dict[str, int] = {}
        self._forced: set[str] = set()  # sources to be read even if the file's signature is unchanged
        self._allowed_until: dict[str, int] = {}
        self._known_to_worker: set[str] = set()
        self._paused_until = 0
        self._logged_at: dict[tuple[str, str], int] = {}  # by source and reason of the rejection
        try:
            self.watcher = FileWatcher(loop, self._on_file_event)
        except OSError as error:
            log("watch.polls", f"watch: inotify is not available ({error}); files are polled", "warning")
        self.reader = loop.start_task(self._read_files(), "files")

    # --- configuration ---

    def configure(self, settings: dict[str, Servers], state_dir: str) -> None:
        """Set the sources; ``state_dir`` is the folder for snapshots, empty = no snapshots."""
        for name, old in self.settings.items():
            if settings.get(name) != old or self._state_dir != state_dir:
                self._known_to_worker.discard(name)
        for name, new in settings.items():
            previous = self.settings.get(name)
            if previous is None or previous.file != new.file:
                self._schedule_read(name, clock())
        self.settings, self._state_dir = settings, state_dir
        self._next_read_at = {name: at for name, at in self._next_read_at.items() if name in settings}

    def watch(self) -> None:
        """Watch exactly the configured files."""
        if self.watcher is not None:
            self.watcher.watch(sorted({servers.file for servers in self.settings.values()}))
        self.loop.wake(self.reader)

    def allow_large_removal(self, name: str) -> bool:
        """Accept one large removal of a source; False if there is no such source."""
        if name not in self.settings:
            return False
        self._allowed_until[name] = clock() + ALLOWANCE_TIME
        self._schedule_read(name, clock())
        return True

    def is_removal_allowed(self, name: str) -> bool:
        """Whether the next version of the file may exceed ``max_removed``."""
        return self._allowed_until.get(name, 0) > clock()

    def close(self) -> None:
        """Stop reading and watching."""
        if self.worker is not None:
            self.worker.disconnect()  # not killed: it may still have a snapshot to write
            self.worker = None
        if self.watcher is not None:
            self.watcher.close()
            self.watcher = None

    # --- when a file is read ---

    def _on_file_event(self, file: str, is_complete: bool) -> None:
        for name, servers in self.settings.items():
            if servers.file == file:
                delay = 0 if is_complete else WRITER_QUIET_TIME
                self._schedule_read(name, clock() + delay, not_sooner=not is_complete)

    def _schedule_read(self, name: str, at: int, not_sooner: bool = False) -> None:
        """Schedule a read of a source's file; ``not_sooner``: postpone an earlier scheduled read."""
        self._forced.add(name)
        if not_sooner or name not in self._next_read_at or at < self._next_read_at[name]:
            self._next_read_at[name] = at
        self.loop.wake(self.reader)

    def _read_interval(self, name: str) -> int:
        servers = self.settings[name]
        is_polled = self.watcher is None or servers.file in self.watcher.unwatched_files
        return servers.poll_ms * MS if is_polled else SAFETY_READ_INTERVAL

    def _read_files(self) -> Coroutine[None]:
        """Read the files that are due, one at a time; a read that hangs delays the others."""
        while True:
            if self.worker is not None and self.worker.has_ended:
                self.worker.kill()
                self._on_worker_lost("has ended")
            due = min(self._next_read_at.values(), default=None)
            if due is None or clock() < max(due, self._paused_until):
                yield None if due is None else max(due, self._paused_until)
                continue
            name = min(self._next_read_at, key=self._next_read_at.__getitem__)
            is_forced = name in self._forced
            self._forced.discard(name)
            self._next_read_at[name] = clock() + self._read_interval(name)
            self.busy_time = 0
            try:
                yield from self._read_file(name, is_forced)
            except (WorkerEndedError, OSError) as error:
                self._on_read_failed(name, str(error))
                continue
            while self.merged.has_changes:  # publish these changes before the next read
                yield clock() + PAUSE_MIN
            pause = min(PAUSE_MAX, PAUSE_MIN + PAUSE_PER_BUSY_TIME * self.busy_time)
            self._paused_until = clock() + pause

    def _on_read_failed(self, name: str, why: str) -> None:
        if name in self.merged.sources:
            text = f"the file worker {why}"
            self.merged.report_rejection(name, WORKER_REJECTION, text, clock())
            self.first_read_done.add(name)
        self._on_worker_lost(why)

    def _on_worker_lost(self, why: str) -> None:
        """Discard the worker; the next read starts another one and sends it the lists in force.

        It needs them, since its answers hold only the differences from them.
        """
        log("worker.ended", f"sources: the file worker {why}; restarting it", "error")
        self.worker = None
        self._known_to_worker.clear()
        self._paused_until = clock() + WORKER_RESTART_DELAY
        for name in self.settings:
            self._schedule_read(name, self._paused_until)

    # --- the worker ---

    def _read_file(self, name: str, is_forced: bool) -> Coroutine[None]:
        """Have the worker read a source's file; raises WorkerEndedError or OSError."""
        if self.worker is None:
            self.worker = WorkerProcess(self.loop, WORKER_MODULE)
        worker = self.worker
        for dropped in self._known_to_worker - self.settings.keys():
            self._known_to_worker.discard(dropped)
            yield from self._send(worker, do="drop", source=dropped)
        if name not in self._known_to_worker:
            yield from self._register(worker, name)
            self._known_to_worker.add(name)
        if name not in self.settings:
            return  # the source was removed by a reload in the meantime
        allow = self.is_removal_allowed(name)
        yield from self._send(worker, do="read", source=name, always=is_forced, allow=allow)
        yield from self._receive_answer(worker, name, Origin.FILE)

    def _register(self, worker: WorkerProcess, name: str) -> Coroutine[None]:
        """Send a source and its list in force to the worker, or have it load the snapshot."""
        servers, source = self.settings[name], self.merged.sources[name]
        path = str(snapshot_path(self._state_dir, self.proxy_name, name)) if self._state_dir else ""
        yield from self._send(worker, do="drop", source=name)
        yield from self._send(
            worker,
            do="hold",
            source=name,
            file=servers.file,
            snapshot=path,
            max_removed=servers.max_removed,
            max_bytes=servers.max_bytes,
            generation=source.generation,
            good_ms=source.taken_at_ms,
        )
        rows = [record.to_transfer() for record in source.records.values()]
        for start in range(0, len(rows), ROWS_PER_LINE):
            end = start + ROWS_PER_LINE
            yield from self._send(worker, do="hold", source=name, rows=rows[start:end], done=end >= len(rows))
            yield from self.loop.yield_turn()
        if source.reported_at is None:
            yield from self._send(worker, do="restore", source=name)
            yield from self._receive_answer(worker, name, Origin.SNAPSHOT)

    def _send(self, worker: WorkerProcess, **fields: Any) -> Coroutine[None]:
        yield from worker.send_line(msgspec.json.encode(fields) + b"\n", clock() + SEND_TIMEOUT)

    def _receive(self, worker: WorkerProcess) -> Coroutine[dict[str, Any]]:
        """Return the next line that is not an event; events are logged."""
        while True:
            line = yield from worker.receive_line(clock() + ANSWER_TIMEOUT)
            answer: dict[str, Any] = msgspec.json.decode(line)
            if "event" not in answer:
                return answer
            log(answer["event"], f"sources: snapshot not saved: {answer['text']}", "error")

    def _receive_answer(self, worker: WorkerProcess, name: str, origin: Origin) -> Coroutine[None]:
        summary = yield from self._receive(worker)
        if summary["verdict"] == "refused":
            self._on_rejected(name, origin, summary["reason"], summary["text"])
        elif summary["verdict"] == "good":
            changed: dict[str, EndpointRecord] = {}
            removed: list[str] = []
            for _ in range(summary["lines"]):
                part = yield from self._receive(worker)
                started_at = clock()
                changed.update({row[0]: EndpointRecord.from_transfer(row) for row in part.get("rows", ())})
                removed += part.get("removed", ())
                self.busy_time += clock() - started_at
                yield from self.loop.yield_turn()
            self._on_valid(name, origin, summary, changed, removed)
        if origin is Origin.FILE:
            self.first_read_done.add(name)

    # --- answers of the worker ---

    def _on_rejected(self, name: str, origin: Origin, reason: str, text: str) -> None:
        if origin is Origin.SNAPSHOT:
            log("snapshot.refused", f"sources: {name}: the last good list: {text}", "warning", source=name)
            return
        source = self.merged.sources.get(name)
        if source is None:
            return
        next_log_at = self._logged_at.get((name, reason), 0) + LOG_INTERVAL
        is_logged = source.rejection != (reason, text) and clock() >= next_log_at
        self.merged.report_rejection(name, reason, text, clock())
        if reason == "torn":
            self._schedule_read(name, clock() + TORN_RETRY_DELAY)
        if is_logged:
            self._logged_at[name, reason] = clock()
            self._log_rejection(name, reason, text)

    def _log_rejection(self, name: str, reason: str, text: str) -> None:
        source = self.merged.sources[name]
        in_force = f"{len(source.records)} servers from {age_text(source.taken_at_ms)} ago stay in force"
        if source.reported_at is None:
            in_force = "there is no earlier list"
        file = self.settings[name].file if name in self.settings else ""
        log(
            "source.refused",
            f"sources: {name}: {file}: {text}; {in_force}",
            "error",
            source=name,
            reason=reason,
            servers=len(source.records),
        )

    def _on_valid(
        self,
        name: str,
        origin: Origin,
        summary: dict[str, Any],
        changed: dict[str, EndpointRecord],
        removed: list[str],
    ) -> None:
        if name not in self.merged.sources:
            return
        started_at, previous_sources = clock(), set(self.merged.sources)
        generation, taken_at_ms = summary["generation"], summary["good_ms"]
        self.merged.report_change(name, changed, removed, started_at, generation, taken_at_ms, origin)
        if summary["allowed"]:
            self._allowed_until.pop(name, None)
        _log_valid(name, origin, summary)
        self.on_reported(previous_sources)
        self.busy_time += clock() - started_at


def _log_valid(name: str, origin: Origin, summary: dict[str, Any]) -> None:
    counts = f"{summary['servers']} servers"
    if origin is Origin.SNAPSHOT:
        log(
            "snapshot.taken",
            f"sources: {name}: {counts} from the last good list, {age_text(summary['good_ms'])} old",
            source=name,
            servers=summary["servers"],
            good_ms=summary["good_ms"],
        )
        return
    counts += f": {summary['added']} added, {summary['removed']} removed, {summary['changed']} changed"
    if summary["allowed"]:
        counts += "; a large removal was allowed by the operator"
    fields = {key: summary[key] for key in ("generation", "servers", "added", "removed", "changed")}
    log("source.taken", f"sources: {name}: {counts}", source=name, **fields)
