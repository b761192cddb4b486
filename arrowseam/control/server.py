"""The control server: answers the commands of operators and their tools, one command per connection.

    health            ACK if this process can serve clients, else NAK
    counters          the counters, one per line, then a line ``--``
    cordon ID         send no more requests to endpoint ID; ACK, or NAK if it has been in no list
    uncordon ID       let endpoint ID serve again
    members           with an operator file: each endpoint, one JSON object per line, then a line ``--``
    sources           each source of endpoints, in the same form
    allow SOURCE      let the next version of that file remove more than ``max_removed``, once
    fleet             with fleet(...): each member, one JSON object per line, then a line ``--``
    forget MEMBER     declare that a member which this proxy holds dead will not return: it loses its share
    agree             with agree(...): the agreed state, one JSON object per line, then a line ``--``
    release log       the decisions, in the same form
    drain ID..., undrain ID [off], release plan|start|halt|resume|back|cancel, agree off|reset
                      commands that need the agreement of the other proxies; ACK or NAK and a text.
                      ``release plan settings bytes=N`` is followed by N bytes. ``off``: the endpoint or
                      proxy will not return, so its drain or permit ends; ``reset``: begin a new epoch from
                      this proxy's state, for when a majority of voters has lost its own.

The server never blocks while it waits for its caller, so clients are not delayed.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable, Iterator
from itertools import islice
from typing import Any

from arrowseam.control.counters import render_counters
from arrowseam.control.interfaces import EndpointSources, Membership, Rollouts
from arrowseam.logs import log
from arrowseam.net.clock import SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.task import Coroutine, Task
from arrowseam.request_handling.requests import RequestHandler

LINE_BYTES_MAX = 512
CALLERS_MAX = 16  # beyond this, one of them is closed: see ``Control._close_one``
RESERVED_DESCRIPTORS = CALLERS_MAX + 8  # reserved: clients cannot use them
REQUEST_TIMEOUT = 5 * SECOND  # for a caller to send its line
ANSWER_TIMEOUT = SECOND
ROWS_PER_ROUND = 100  # encoded per round of the event loop; there may be 10,000 rows
BUNDLE_BYTES_MAX = 64 << 10
ROLLOUT_COMMANDS = ("agree", "drain", "undrain", "release")

ACK = b"ACK\n"
UNKNOWN_COMMAND = b"NAK unknown call\n"
LAST_LINE = b"--\n"
_ROW_ENCODER = json.JSONEncoder(separators=(",", ":"))


class Control:
    """Answers commands.

    Attributes:
        endpoint_sources, membership, rollouts: None if they are not configured.
        on_cordon_change: called after each cordon and uncordon command, if set.
        callers: all callers, oldest first.
        waiting: those that have not sent a complete line.
    """

    def __init__(
        self, loop: EventLoop, handler: RequestHandler, is_ready: Callable[[], bool] = lambda: True
    ) -> None:
        """``is_ready``: whether the previous process, if any, has stopped accepting clients."""
        self.loop, self.handler, self.driver, self.is_ready = loop, handler, handler.driver, is_ready
        self.endpoint_sources: EndpointSources | None = None
        self.membership: Membership | None = None
        self.rollouts: Rollouts | None = None
        self.on_cordon_change: Callable[[str, bool], None] | None = None
        self.callers: dict[Connection, None] = {}
        self.waiting: set[Connection] = set()
        self._row_queue: deque[Task | None] = deque()  # tasks that want to send rows, the next one first
        self._commands: dict[tuple[str, int], Callable[..., bytes]] = {
            ("health", 0): self._health,
            ("counters", 0): self._counters,
            ("sources", 0): self._sources,
            ("allow", 1): self._allow,
            ("cordon", 1): self._cordon,
            ("uncordon", 1): self._uncordon,
            ("forget", 1): self._forget,
        }

    @property
    def is_serving(self) -> bool:
        """Whether this process can serve clients."""
        return bool(self.driver.endpoint_count) and not self.handler.is_draining and self.is_ready()

    # --- connections ---

    def serve(self, conn: Connection) -> Coroutine[None]:
        """Read the command of one caller and answer it."""
        conn.received.limit = LINE_BYTES_MAX
        if len(self.callers) >= CALLERS_MAX:
            self._close_one()
        self.callers[conn] = None
        try:
            line = yield from self._read_line(conn)
            if line is not None:  # a truncated line is not run: part of an id may be another endpoint's id
                yield from self._serve_command(conn, line)
        finally:
            self.callers.pop(conn, None)

    def _serve_command(self, conn: Connection, line: bytes) -> Coroutine[None]:
        words = line.decode("ascii", "replace").split()
        rows = self._rows(words)
        if rows is not None:
            yield from self._send_rows(conn, rows)
            return
        if self.rollouts is not None and words and words[0] in ROLLOUT_COMMANDS:
            answer = yield from self._run_rollout_command(self.rollouts, conn, words)
        else:
            answer = self.answer(line)
        deadline = clock() + ANSWER_TIMEOUT
        yield from conn.send(answer, deadline)
        yield from conn.close_gracefully(deadline)

    def _close_one(self) -> None:
        """Close the oldest caller: if possible one without its line, or one that is answered or has left.

        Guards against callers that come faster than they can be answered, and would take the descriptors of
        clients.
        """
        conn = min(self.callers, key=self._claim)  # the oldest of equal ones
        del self.callers[conn]
        self.waiting.discard(conn)
        conn.close()
        self.loop.wake(conn.owner)

    def _claim(self, conn: Connection) -> int:
        """How much a caller still needs its connection."""
        if conn in self.waiting:
            return 0
        is_answered = self.loop.expendable.get(conn) == b""
        return 1 if is_answered else 2 if conn.hung_up else 3

    def _read_line(self, conn: Connection) -> Coroutine[bytes | None]:
        self.waiting.add(conn)
        try:
            line = yield from conn.read_line(LINE_BYTES_MAX, clock() + REQUEST_TIMEOUT)
        finally:
            self.waiting.discard(conn)
        if line is None:
            return b"" if conn.received.is_full else None  # too long: answered as an unknown command
        return line.removesuffix(b"\n")

    def _rows(self, words: list[str]) -> Iterator[dict[str, Any]] | None:
        """Return the rows of a command that is answered by rows; None for any other command."""
        if words == ["members"] and self.endpoint_sources is not None:
            return self.endpoint_sources.endpoint_rows()
        if words == ["fleet"] and self.membership is not None:
            return self.membership.rows()
        if words == ["agree"] and self.rollouts is not None:
            return self.rollouts.status_rows()
        if words == ["release", "log"] and self.rollouts is not None:
            return self.rollouts.decision_rows()
        return None

    def _send_rows(self, conn: Connection, rows: Iterator[dict[str, Any]]) -> Coroutine[None]:
        deadline = clock() + ANSWER_TIMEOUT
        while batch := (yield from self._encode_rows(conn, rows)):
            deadline = clock() + ANSWER_TIMEOUT
            if not (yield from conn.send(batch, deadline)):
                return
            yield from self.loop.yield_turn()
        yield from conn.send(LAST_LINE, deadline)
        yield from conn.close_gracefully(deadline)

    def _encode_rows(self, conn: Connection, rows: Iterator[dict[str, Any]]) -> Coroutine[bytes]:
        """Return the next rows of an answer; empty at its end. One caller a round gets some."""
        task = conn.owner
        self._row_queue.append(task)
        try:
            while self._row_queue[0] is not task and not conn.closed:
                yield None
            if conn.closed:
                return b""
            batch = b"".join(map(encode_row, islice(rows, ROWS_PER_ROUND)))
            yield from self.loop.yield_turn()  # the next caller's turn is in the next round
            return batch
        finally:
            self._row_queue.remove(task)
            if self._row_queue:
                self.loop.wake(self._row_queue[0])

    def _run_rollout_command(
        self, rollouts: Rollouts, conn: Connection, words: list[str]
    ) -> Coroutine[bytes]:
        """Run a command that the other proxies must agree on; a bundle of settings may follow its line."""
        size = next((word.removeprefix("bytes=") for word in words if word.startswith("bytes=")), "0")
        if not size.isdigit() or int(size) > BUNDLE_BYTES_MAX:
            return b"NAK a bundle of %d bytes at most\n" % BUNDLE_BYTES_MAX
        bundle = yield from self._read_bundle(conn, int(size))
        if bundle is None:
            return b"NAK half a bundle\n"
        succeeded, text = yield from rollouts.run_command(words, bundle)
        return f"{'ACK' if succeeded else 'NAK'} {text}\n".encode()

    def _read_bundle(self, conn: Connection, size: int) -> Coroutine[bytes | None]:
        """Read ``size`` bytes after the line; None if they do not arrive."""
        bundle, deadline = bytearray(), clock() + REQUEST_TIMEOUT
        while len(bundle) < size:
            conn.read()
            bundle += conn.received.take(len(conn.received))
            if len(bundle) < size and (conn.eof or clock() >= deadline):
                return None
            if len(bundle) < size and not conn.readable:
                yield deadline
        return bytes(bundle)

    # --- commands that are answered immediately ---

    def answer(self, line: bytes) -> bytes:
        """Return the answer to one line."""
        words = line.decode("ascii", "replace").split()
        command = self._commands.get((words[0], len(words) - 1)) if words else None
        return command(*words[1:]) if command is not None else UNKNOWN_COMMAND

    def _health(self) -> bytes:
        return ACK if self.is_serving else b"NAK not serving\n"

    def _counters(self) -> bytes:
        return render_counters(self.handler, self.endpoint_sources, self.membership, self.rollouts)

    def _sources(self) -> bytes:
        if self.endpoint_sources is None:
            return UNKNOWN_COMMAND
        return b"".join(map(encode_row, self.endpoint_sources.source_rows())) + LAST_LINE

    def _allow(self, source: str) -> bytes:
        if self.endpoint_sources is None:
            return UNKNOWN_COMMAND
        if not self.endpoint_sources.allow_large_removal(source):
            return b"NAK unknown source\n"
        log("control.allow", f"control: allow {source}", source=source)
        return ACK

    def _cordon(self, endpoint: str) -> bytes:
        if self.membership is not None and not self.membership.can_cordon(endpoint):
            return b"NAK too many cordons are known in the cluster\n"
        return self._change_cordon(endpoint, True)

    def _uncordon(self, endpoint: str) -> bytes:
        if self.rollouts is not None and self.rollouts.is_cordoned_by_rollout(endpoint):
            return b"NAK out by agreement: undrain it\n"
        return self._change_cordon(endpoint, False)

    def _change_cordon(self, endpoint: str, cordoned: bool) -> bytes:
        if not self.driver.cordon(endpoint, cordoned):
            return b"NAK unknown server\n"
        command = "cordon" if cordoned else "uncordon"
        log("control.cordon", f"control: {command} {endpoint}", endpoint=endpoint, cordoned=cordoned)
        if self.on_cordon_change is not None:
            self.on_cordon_change(endpoint, cordoned)
        if self.membership is not None:
            self.membership.set_cordon(endpoint, cordoned)
        return ACK

    def _forget(self, member: str) -> bytes:
        if self.membership is None:
            return UNKNOWN_COMMAND
        if not self.membership.declare_left(member):
            return b"NAK no such member that is dead\n"
        log("control.forget", f"control: forget {member}", member=member)
        return ACK


def encode_row(row: dict[str, Any]) -> bytes:
    """Encode a row as one line with a JSON object."""
    return _ROW_ENCODER.encode(row).encode() + b"\n"
