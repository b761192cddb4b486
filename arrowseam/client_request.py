"""A client's request, from its arrival to the end of its connection, and the balancer's answers to it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, TypeAlias

from arrowseam.balancer.settings import RequestClass

# A client's deadline counts from when it sends its request. This part of it, in microseconds, is reserved for
# the network round trip and for queueing in this process.
DEADLINE_MARGIN = 15_000


@dataclass(frozen=True, slots=True)
class Attempt:
    """Connect to ``endpoint``; the caller gives up at ``deadline`` (microseconds, monotonic clock)."""

    endpoint: str
    deadline: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """Final answer: rejected; the client may retry after so many milliseconds (0 = unspecified)."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Failed:
    """Final answer: failed. The request may have run, or its deadline has passed."""


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected: no answer is needed."""


Answer: TypeAlias = Attempt | Rejected | Failed | ClientDisconnected


def _do_nothing() -> None:
    pass


@dataclass(slots=True)
class Request:
    """One request, as described by its protocol. Times are microseconds of the monotonic clock.

    Attributes:
        class_index: position of its class in the settings when the request arrived.
        tenant_index: position of its tenant in the settings.
        flow_key: the key of the client's flow.
        deadline: the final answer is due by then.
        group: the affinity group; 0 = none.
        expected_load: usual load of the connection, microseconds of work per second; 0 = unknown.
        is_retry: the client marked it as a retry of its own.
        is_reconnect: the client's connection broke or was migrated.
        adopted_endpoint: the endpoint that already has its connection; empty for a new connection.
        name: the id that the client gave its connection.
        class_name: the name of its class.
        request_class: its class as configured when the request arrived.
        is_finished: nothing is left to do except to tell the client.
        has_client_left: whether the client has closed its connection.
        wake: wakes the coroutine that serves the request.

    Used by the driver while the balancer tracks the request:
        request_id: its id; 0 until the balancer is notified of it.
        answers: the balancer's answers that the coroutine has not consumed yet.
        attempt_number, endpoint_id, attempt_started_at: of the last attempt.
        opening_sent: the opening of that attempt is completely written to the endpoint.
        is_tracked: the balancer tracks it.
        is_established: the connection is established.
        migration_requested: the client is to be asked to reconnect.
        attempt_cancelled: the attempt is to be given up, since its endpoint was cordoned.
        is_aborted: this process is shutting down; the final answer is due now.
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
        """Drop the reference to the coroutine, which itself refers to the request.

        Otherwise only the garbage collector would free the memory of a closed connection.
        """
        self.wake = _do_nothing


class ConnectionSnapshot(NamedTuple):
    """An established connection as it is handed to another process: names in place of positions."""

    name: str
    class_name: str
    request_class: RequestClass
    tenant: str
    flow_key: int
    group: int
    load: float
    endpoint: str
