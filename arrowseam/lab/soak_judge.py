"""The rules of the protocol that the record of a soak run is judged by, one function each.

``slack`` is the longest time for which the machine delayed the stand-ins, or a proxy that was ready to run;
every bound is extended by it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import pairwise

from arrowseam.lab.soak_plan import (
    DEDUPLICATION_WINDOW,
    DRAIN_GRACE,
    MS,
    OPENING_TIMEOUT,
    SECOND,
    RequestKind,
)
from arrowseam.lab.soak_stand_ins import Attempt, ClientRecord

ANSWER_MARGIN = 50 * MS  # added to each time limit that involves a socket
OVERLAP_MARGIN = 30 * MS  # events at the same time may be recorded in either order
MAX_LINE_DELAY = SECOND
LEAVE_MARGIN = 150 * MS
BAD_CLIENT_TIMEOUT = 3 * SECOND
EXTRA_DESCRIPTORS = 4  # allowed beyond those at the start, for the connection to discovery
FAILURE_EVENTS = ("task.failed", "round.failed", "signal.failed")
MODES_NOT_RUN = ("busy",)  # in which an endpoint answers without running the request


@dataclass
class ProcessRecord:
    """How one process ended: ``status`` is negative after a signal, and None if it had to be killed."""

    status: int | None
    log: list[str]


@dataclass
class SoakRecord:
    """All that a run recorded; times are microseconds of one clock."""

    clients: list[ClientRecord] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    drains: list[tuple[int, int, int]] = field(default_factory=list)  # endpoint, listed at, ready again at
    processes: list[ProcessRecord] = field(default_factory=list)
    ended_at: int = 0  # when the last process ended or was killed
    term_at: int = 0
    descriptors: tuple[int, int] = (0, 0)  # at the start, and after all clients had left
    slack: int = 0

    def attempts_by_request(self) -> dict[int, list[Attempt]]:
        """The attempts of each request, in the order in which they began."""
        found: dict[int, list[Attempt]] = defaultdict(list)
        for attempt in sorted(self.attempts, key=lambda attempt: attempt.began_at):
            found[attempt.request_id].append(attempt)
        return found


def judge_answers(record: SoakRecord) -> Iterator[str]:
    """Each client that sent its whole opening gets exactly one final answer, in time."""
    for client in record.clients:
        if client.answers > 1:
            yield f"client {client.request_id}: {client.answers} answers: {bytes(client.got[:200])!r}"
        if not client.opened_at or client.left_at:
            continue
        limit = client.deadline + ANSWER_MARGIN + record.slack
        waited = (client.answered_at or client.ended_at or record.ended_at) - client.opened_at
        if not client.answers and (client.ended_at or waited > limit):
            yield f"client {client.request_id} ({client.wire}): no answer after {waited // MS} ms"
        elif client.answers and waited > limit:
            yield f"client {client.request_id} ({client.wire}): answered after {waited // MS} ms"


def judge_attempts_in_flight(record: SoakRecord) -> Iterator[str]:
    """A request never has two attempts in flight at the same time."""
    for request_id, attempts in record.attempts_by_request().items():
        for first, second in pairwise(attempts):
            ended_at = first.ended_at or record.ended_at
            if ended_at > second.began_at + OVERLAP_MARGIN + record.slack:
                where = f"s{first.endpoint} and s{second.endpoint}"
                yield f"request {request_id}: two attempts in flight, at {where}"


def judge_drains(record: SoakRecord) -> Iterator[str]:
    """An endpoint gets no attempts from 2 s after discovery listed it as draining."""
    for endpoint, listed_at, ready_at in record.drains:
        limit = listed_at + DRAIN_GRACE + ANSWER_MARGIN + record.slack
        for attempt in record.attempts:
            if attempt.endpoint == endpoint and limit < attempt.began_at < (ready_at or record.ended_at):
                late = (attempt.began_at - listed_at) // MS
                yield f"request {attempt.request_id}: at s{endpoint} {late} ms after its drain was listed"


def judge_left_clients(record: SoakRecord) -> Iterator[str]:
    """No attempt is made for a client that has left."""
    left_at = {client.request_id: client.left_at for client in record.clients if client.left_at}
    for attempt in record.attempts:
        client_left_at = left_at.get(attempt.request_id)
        if client_left_at is not None and attempt.began_at > client_left_at + LEAVE_MARGIN + record.slack:
            late = (attempt.began_at - client_left_at) // MS
            yield f"request {attempt.request_id}: an attempt {late} ms after the client left"


def judge_retries(record: SoakRecord) -> Iterator[str]:
    """A non-idempotent request runs once; a keyed one is retried only within its deduplication window."""
    kinds = {client.request_id: client.request for client in record.clients}
    for request_id, attempts in record.attempts_by_request().items():
        ran = [attempt for attempt in attempts if attempt.mode not in MODES_NOT_RUN]
        kind = kinds.get(request_id)
        if kind is RequestKind.NON_IDEMPOTENT and len(ran) > 1:
            yield f"request {request_id}: not idempotent, and may have run {len(ran)} times"
        if kind is RequestKind.KEYED and ran:
            limit = ran[0].began_at + DEDUPLICATION_WINDOW + ANSWER_MARGIN + record.slack
            if attempts[-1].began_at > limit:
                late = (attempts[-1].began_at - ran[0].began_at) // MS
                yield f"request {request_id}: retried {late} ms after it first ran"


def judge_closed_connections(record: SoakRecord) -> Iterator[str]:
    """No established connection is closed without a MOVE while its endpoint still answers."""
    for client in record.clients:
        if client.has("up") and client.ended_at and not client.left_at and not client.has("moved"):
            yield (
                f"client {client.request_id} ({client.wire}): closed without MOVE: "
                f"{bytes(client.got[-60:])!r}"
            )


def judge_line_delays(record: SoakRecord) -> Iterator[str]:
    """No line is delayed by more than a second."""
    for client in record.clients:
        for sent_at, replied_at in zip(client.sent_at, client.replied_at):
            if replied_at - sent_at > MAX_LINE_DELAY + record.slack:
                yield f"client {client.request_id}: a line delayed by {(replied_at - sent_at) // MS} ms"
        unanswered = client.sent_at[len(client.replied_at) :]
        end = client.left_at or client.ended_at or record.ended_at
        if unanswered and end - unanswered[0] > MAX_LINE_DELAY + record.slack:
            yield f"client {client.request_id}: no reply to a line for {(end - unanswered[0]) // MS} ms"


def judge_bad_clients(record: SoakRecord) -> Iterator[str]:
    """A client that never completes its opening is answered or closed within the limit for such clients."""
    for client in record.clients:
        if client.opened_at or client.left_at or not client.connected_at:
            continue
        held = (client.ended_at or record.ended_at) - client.connected_at
        if held > max(BAD_CLIENT_TIMEOUT, OPENING_TIMEOUT) + ANSWER_MARGIN + record.slack:
            yield f"client {client.request_id}: kept open for {held // MS} ms without an opening"


def judge_exits(record: SoakRecord) -> Iterator[str]:
    """Each process exits with status 0 before it has to be killed."""
    for number, process in enumerate(record.processes):
        if process.status is None:
            yield f"process {number}: still running when it was killed"
        elif process.status != 0:
            yield f"process {number}: ended with status {process.status}"


def judge_logs(record: SoakRecord) -> Iterator[str]:
    """The log has no failed task, round or signal, and no traceback."""
    for number, process in enumerate(record.processes):
        for line in process.log:
            if any(f'"{event}"' in line for event in FAILURE_EVENTS) or "Traceback" in line:
                yield f"process {number}: {line[:300]}"


def judge_descriptors(record: SoakRecord) -> Iterator[str]:
    """After all clients have left, no more descriptors are open than at the start, but for a few."""
    before, after = record.descriptors
    if after > before + EXTRA_DESCRIPTORS:
        yield f"descriptors: {before} at the start, {after} after all clients had left"


RULES: tuple[Callable[[SoakRecord], Iterator[str]], ...] = (
    judge_answers, judge_attempts_in_flight, judge_drains, judge_left_clients, judge_retries,
    judge_closed_connections, judge_line_delays, judge_bad_clients, judge_exits, judge_logs,
    judge_descriptors,
)  # fmt: skip


def judge(record: SoakRecord) -> list[str]:
    """Return a line for each violation of a rule."""
    return [text for rule in RULES for text in rule(record)]
