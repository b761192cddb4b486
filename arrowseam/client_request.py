"""A client's request, from its arrival to the end of its connection, and what the balancer answers to it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, TypeAlias

from arrowseam.balancer.settings import RequestClass

# A client's deadline counts from its sending: what the way here and back, and our own queue, may take of it,
# in microseconds.
DEADLINE_MARGIN = 15_000


@dataclass(frozen=True, slots=True)
class Attempt:
    """Connect to ``endpoint``; the caller gives up at ``deadline`` (microseconds, monotonic clock)."""

    endpoint: str
    deadline: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """Final answer: rejected; the client may retry after so many milliseconds (0 = not said)."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Failed:
    """Final answer: failed. It promises nothing: the request may have run, or its time is up."""


@dataclass(frozen=True, slots=True)
class NoAnswerOwed:
    """The client has left: no answer is owed."""


Answer: TypeAlias = Attempt | Rejected | Failed | NoAnswerOwed


def _do_nothing() -> None:
    pass


@dataclass(slots=True)
class Request:
    """One request, with what its protocol knows of it. Times are microseconds of the monotonic clock.

    Attributes:
        class_index: position of its class in the settings when the client came.
        tenant_index: position of its tenant in the settings.
        flow_key: the key of the client's flow.
        deadline: the final answer is due by then.
        group: the affinity group; 0 = none.
        expected_load: usual load of the connection, microseconds of work a second; 0 = unknown.
        is_retry: the client marked it as a retry of its own.
        is_reconnect: the client's connection broke or was migrated.
        adopted_endpoint: where its connection runs already; empty for a new one.
        name: the id that the client gave its connection.
        class_name: the name of its class.
        request_class: its class as it was when the client came.
        is_finished: nothing is left to do but to tell the client so.
        has_client_left: whether the client has closed its connection.
        wake: wakes the coroutine that serves the request.

    The driver's own, while the balancer knows the request:
        request_id: its number; 0 before the balancer was notified of it.
        answers: the balancer's answers that the coroutine has not taken yet.
        attempt_number, endpoint_id, attempt_started_at: of the last attempt.
        opening_sent: the opening of that attempt is completely written to the endpoint.
        is_tracked: the balancer knows it.
        is_established: the connection is established.
        migration_requested: the client is to be asked to reconnect.
        attempt_cancelled: the attempt is to be given up, since its endpoint was cordoned.
        is_aborted: this process shuts down; the final answer is due now.
    """

    class_index: int
    tenant_index: int
    flow_key: int
    deadline: int
    group: int = 0
    expected_load: float = 0.0
    is_retry: bool = False
    is_reconnect: bool = False
    adopted_endpoint: str = ""
    name: str = ""
    class_name: str = ""
    request_class: RequestClass | None = None
    is_finished: bool = False
    has_client_left: Callable[[], bool] = bool
    wake: Callable[[], None] = _do_nothing
    request_id: int = 0
    answers: deque[Answer] = field(default_factory=deque)
    attempt_number: int = -1
    endpoint_id: int = 0
    attempt_started_at: int = 0
    opening_sent: bool = False
    is_tracked: bool = False
    is_established: bool = False
    migration_requested: bool = False
    attempt_cancelled: bool = False
    is_aborted: bool = False

    def should_stop_attempt(self) -> bool:
        """Whether the attempt under way is to be given up."""
        return self.attempt_cancelled or self.is_aborted or self.has_client_left()

    def release_callbacks(self) -> None:
        """Drop the reference to the coroutine, which has one to the request.

        Otherwise only the garbage collector would free what a connection held.
        """
        self.wake = _do_nothing


class ConnectionSnapshot(NamedTuple):
    """An established connection as another process takes it over: names in place of positions."""

    name: str
    class_name: str
    request_class: RequestClass
    tenant: str
    flow_key: int
    group: int
    load: float
    endpoint: str
