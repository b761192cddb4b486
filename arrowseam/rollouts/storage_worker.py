"""The proxy's side of the worker process that stores a voter's state (``consensus.worker``)."""

from __future__ import annotations

import base64
import json
from collections import deque
from collections.abc import Callable
from pathlib import Path

import msgspec

from arrowseam.consensus.effects import Persist
from arrowseam.consensus.messages import Checkpoint, encoder
from arrowseam.errors import ArrowseamError
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine, Task
from arrowseam.workers.process import WorkerEndedError, WorkerProcess

ANSWER_TIMEOUT = 10 * SECOND
LOCK_TIMEOUT = 3600 * SECOND  # the previous process may hold the file until its last connection ends
_checkpoint_decoder: msgspec.msgpack.Decoder[Checkpoint] = msgspec.msgpack.Decoder(Checkpoint)


class StateRefusedError(ArrowseamError, ValueError):
    """The worker refuses the stored state; the message is the reason."""


class StorageWorker:
    """Stores records in order; those that are queued during a write go into the next one together."""

    def __init__(self, loop: EventLoop, path: Path) -> None:
        """Start the worker; raises OSError."""
        self._loop = loop
        self._worker = WorkerProcess(loop, "arrowseam.consensus.worker", argument=str(path))
        self._queue: deque[Persist] = deque()
        self._task: Task | None = None
        self._closed = False

    def load(self) -> Coroutine[Checkpoint | None]:
        """Load the state of an earlier process, None if there is none; raises WorkerEndedError or
        StateRefusedError."""
        yield from self._worker.send_line(b"{}\n", clock() + ANSWER_TIMEOUT)
        answer = json.loads((yield from self._worker.receive_line(clock() + LOCK_TIMEOUT)))
        if "unfit" in answer:
            self._worker.kill()
            raise StateRefusedError(answer["unfit"])
        return _checkpoint_decoder.decode(base64.b64decode(answer["whole"])) if answer["whole"] else None

    def store(
        self, persist: Persist, on_stored: Callable[[int], None], on_failed: Callable[[str], None]
    ) -> None:
        """Queue a write. ``on_stored`` is called with the last token of each durable write, ``on_failed`` at
        most once, after which nothing more is stored."""
        self._queue.append(persist)
        if self._task is None:
            self._task = self._loop.start_task(self._write(on_stored, on_failed), "agreement's state")
        self._loop.wake(self._task)

    def _write(self, on_stored: Callable[[int], None], on_failed: Callable[[str], None]) -> Coroutine[None]:
        try:
            while not self._closed:
                if not self._queue:
                    yield clock() + SECOND
                    continue
                writes = list(self._queue)
                self._queue.clear()
                records = encoder.encode([record for write in writes for record in write.records])
                request = {"token": writes[-1].token, "kept": base64.b64encode(records).decode()}
                yield from self._worker.send_line(
                    json.dumps(request).encode() + b"\n", clock() + ANSWER_TIMEOUT
                )
                answer = json.loads((yield from self._worker.receive_line(clock() + ANSWER_TIMEOUT)))
                if "failed" in answer:
                    on_failed(answer["failed"])
                    return
                on_stored(answer["stored"])
        except (WorkerEndedError, ValueError, KeyError) as error:
            on_failed(str(error))

    def close(self) -> None:
        """Store nothing more; the worker ends when its pending requests are done."""
        self._closed = True
        self._worker.disconnect()
