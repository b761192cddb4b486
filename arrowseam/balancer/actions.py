"""Actions that a balancer returns. An action takes effect at the time of the call that returned it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(slots=True)
class StartAttempt:
    """Connect a request to an endpoint; ``timeout`` in microseconds, 0 = until the request's deadline."""

    request_id: int
    endpoint_id: int
    timeout: int = 0


@dataclass(slots=True)
class Reject:
    """Final answer: the request never took effect, or a retry of it is harmless.

    ``retry_after``: microseconds after which the client may retry; 0 = not stated.
    """

    request_id: int
    retry_after: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer without a guarantee: the request may have run."""

    request_id: int


@dataclass(slots=True)
class Migrate:
    """End an established connection gracefully; the client reconnects."""

    request_id: int


@dataclass(slots=True)
class StartHealthCheck:
    """Ask an endpoint for a load report."""

    endpoint_id: int


@dataclass(slots=True)
class SetTimer:
    """Send ``TimerFired(token)`` after ``delay`` microseconds."""

    delay: int
    token: int


@dataclass(slots=True)
class LogMessage:
    """Write one line to the log."""

    text: str


@dataclass(slots=True)
class WatchEndpoints:
    """Call the discovery service and keep watching it."""

    enabled: bool = True


Action: TypeAlias = (
    StartAttempt | Reject | Fail | Migrate | StartHealthCheck | SetTimer | LogMessage | WatchEndpoints
)
