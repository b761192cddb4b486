"""A client of the platform's line protocol, from its opening to the end of its connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from arrowseam.net.buffer import Buffer
from arrowseam.net.clock import MS, SECOND, clock
from arrowseam.net.connection import Connection
from arrowseam.net.event_loop import EventLoop
from arrowseam.net.forwarding import Forwarder, MessageFramer, Side
from arrowseam.net.task import Coroutine
from arrowseam.outcomes import AttemptOutcome
from arrowseam.protocols.edge import messages
from arrowseam.protocols.session import ClientSession, outcome_if_over

LOAD_REPORTS_MAX = 16  # kept until they are consumed


class ClientLineFramer(MessageFramer):
    """Releases all that a client sends, at once; a reply is due after its last complete line."""

    def release(self, received: Buffer, released: int) -> int:
        """Release everything."""
        complete = received.rfind(b"\n") + 1
        self.reply_due_after = complete if complete > released else 0
        return len(received)


class EndpointLineFramer(MessageFramer):
    """Releases complete lines of an endpoint, and notes their load reports and the last line's first word.

    Attributes:
        load_reports: loads reported and not consumed yet.
        last_word: the first word of the last line, which says how a closed connection ended.
    """

    def __init__(self) -> None:
        self.load_reports: list[float] = []
        self.last_word = b""

    def note_lines(self, lines: bytes) -> None:
        """Record the loads that complete lines report, and the first word of the last one."""
        self.last_word = messages.first_word(lines[lines.rfind(b"\n", 0, -1) + 1 :])
        if messages.LOAD in lines:
            self.load_reports += messages.parse_loads(lines)
            del self.load_reports[:-LOAD_REPORTS_MAX]

    def release(self, received: Buffer, released: int) -> int:
        """Release complete lines; everything if the buffer is full without one."""
        complete = received.rfind(b"\n") + 1
        if complete > released:
            self.note_lines(received.peek(complete - released, released))
            self.inside_message = False
            return complete
        if received.is_full:  # longer than a line may be: forwarded as it is
            self.inside_message = True
            return len(received)
        return released


class EdgeSession(ClientSession):
    """One client of the line protocol.

    Attributes:
        opening: None for a connection that was handed over: it is established already.
        may_have_run: the opening was completely sent to an endpoint, and the client was not rejected.
    """

    def __init__(
        self,
        loop: EventLoop,
        conn: Connection,
        connect_timeout: int = 0,
        opening: messages.Opening | None = None,
    ) -> None:
        super().__init__(loop, conn, connect_timeout)
        self.opening = opening
        self.may_have_run = opening is None
        self.framer = EndpointLineFramer()

    @classmethod
    def resume(
        cls, loop: EventLoop, conn: Connection, endpoint: Connection, state: dict[str, Any]
    ) -> EdgeSession:
        """The session of a handed-over connection; raises KeyError if ``state`` is incomplete."""
        session = cls(loop, conn)
        session.framer.last_word = str(state["last"]).encode("latin-1")
        session.forwarder = Forwarder(conn, endpoint, ClientLineFramer(), session.framer)
        session.forwarder.reply_awaited_since = state["asked"]
        return session

    def establish(
        self, endpoint: Connection, deadline: int, should_stop: Callable[[], bool]
    ) -> Coroutine[AttemptOutcome]:
        """Forward the opening; load reports may come before the endpoint's answer."""
        assert self.opening is not None
        if not self.may_send_opening():
            return AttemptOutcome.CANCELLED
        wait_ms = max(1, (deadline - clock()) // MS)
        if not (yield from endpoint.send(self.opening.forwarded_line(wait_ms), deadline)):
            return AttemptOutcome.UNREACHABLE  # not completely sent, so it has never run
        self.may_have_run = True
        self.on_opening_sent()
        while True:
            endpoint.read()
            newline = endpoint.received.find(b"\n")
            if newline >= 0:
                line = endpoint.received.peek(newline + 1)
                if messages.first_word(line) != messages.LOAD:
                    return (yield from self._handle_answer(endpoint, line))
                self.framer.note_lines(line)
                endpoint.received.consume(newline + 1)
                yield from self.loop.yield_turn()  # an endless stream of reports must not block the loop
            elif endpoint.eof or len(endpoint.received) >= messages.LINE_BYTES_MAX:
                return AttemptOutcome.RESET if endpoint.eof else AttemptOutcome.ERROR
            outcome = outcome_if_over(deadline, should_stop)
            if outcome is not None:
                return outcome
            if newline < 0:
                yield deadline

    def _handle_answer(self, endpoint: Connection, line: bytes) -> Coroutine[AttemptOutcome]:
        word = messages.first_word(line)
        if word == messages.ESTABLISHED:
            self.forwarder = Forwarder(self.conn, endpoint, ClientLineFramer(), self.framer)
            return AttemptOutcome.ESTABLISHED
        if word == messages.COMPLETED:
            # Served completely at once: the client gets the endpoint's own line.
            yield from self.conn.send(line, clock() + SECOND)
        return messages.OUTCOME_BY_ANSWER.get(word, AttemptOutcome.ERROR)

    def forward(self) -> AttemptOutcome | None:
        """Forward received data; the endpoint's last line says how the connection ended."""
        assert self.forwarder is not None
        closed_by = self.forwarder.forward()
        if closed_by is None:
            return None
        if closed_by is Side.CLIENT:
            return AttemptOutcome.CLIENT_DISCONNECTED
        if self.framer.last_word in (messages.COMPLETED, messages.MIGRATE):
            return messages.OUTCOME_BY_ANSWER[self.framer.last_word]
        return AttemptOutcome.RESET

    def take_load_reports(self) -> list[float]:
        """Loads reported by the endpoint since the last call."""
        reports, self.framer.load_reports = self.framer.load_reports, []
        return reports

    def migration_message(self) -> bytes:
        """The message that asks the client to reconnect."""
        return messages.MIGRATION_LINE

    def export_state(self) -> dict[str, Any]:
        """The protocol's part of the state that another process takes over."""
        return {"wire": "lines", "last": self.framer.last_word.decode("latin-1")}

    def send_rejection(self, retry_after_ms: int) -> Coroutine[None]:
        """Final answer: rejected."""
        self.may_have_run = False  # the answer promises that
        yield from self.send_final_answer(messages.rejection_line(retry_after_ms))

    def send_failure(self) -> Coroutine[None]:
        """Final answer: failed."""
        yield from self.send_final_answer(messages.FAILURE_LINE)
