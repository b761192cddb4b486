"""Events that a balancer is notified of.

All times and durations are whole microseconds, except ``latency_ms``; times are on the proxy's monotonic
clock. Endpoints and requests are opaque integers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

from arrowseam.balancer.settings import RequestClass, Settings


class Outcome(IntEnum):
    """How an attempt ended. REJECTED, CONNECT_FAILED and NOT_SENT prove that it never ran."""

    OK = 0
    ERROR = 1
    REJECTED = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    MIGRATED = 6  # the endpoint or the proxy ended the connection gracefully
    NOT_SENT = 7
    UNKNOWN = 8  # an outcome unknown to this version: the attempt may have run


class EndpointState(IntEnum):
    """State of an endpoint in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """Kinds of ``EndpointUpdate``."""

    DELTA = 0  # only the endpoints that changed
    SNAPSHOT = 1  # the complete list
    CACHED_SNAPSHOT = 2  # the complete list from a cache, possibly stale
    FAILED = 3  # a call failed or the watch broke; no endpoints
    SECONDARY_DELTA = 4  # changes from another source; no evidence that the discovery service answers


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list.

    ``started_at`` is the time of its last start, 0 = long ago. ``cell`` None = unknown.
    """

    endpoint_id: int
    zone: int = 0
    weight: float = 1.0
    machine_type: int = 0
    started_at: int = 0
    state: EndpointState = EndpointState.READY
    cell: int | None = None


@dataclass(slots=True)
class EndpointUpdate:
    """An endpoint list, a change of it, or a failed call for one.

    ``more_follows``: the next update continues the same change; the shares are rebuilt after the last one.
    """

    kind: UpdateKind
    version: int = 0
    endpoints: tuple[Endpoint, ...] = ()
    more_follows: bool = False


@dataclass(slots=True)
class RequestArrived:
    """A client asks for a connection; one final answer is due within ``time_left``.

    Attributes:
        class_index: position of its class in the settings; -1 if ``request_class`` is given.
        tenant_index: position of its tenant in the settings.
        flow_key: the key of the client's flow.
        expected_load: expected load of the connection, microseconds of work a second; 0 = unknown.
        group: the affinity group; 0 = none.
        is_retry: the client marked it as a retry of its own.
        is_reconnect: the client's connection broke or was migrated.
        request_class: its class, if that is no longer in the settings.
    """

    request_id: int
    class_index: int = 0
    tenant_index: int = 0
    flow_key: int = 0
    time_left: int = 0
    expected_load: float = 0.0
    group: int = 0
    is_retry: bool = False
    is_reconnect: bool = False
    request_class: RequestClass | None = None


@dataclass(slots=True)
class ConnectionAdopted:
    """A connection that existed before this balancer started; it counts as one attempt made."""

    request: RequestArrived
    endpoint_id: int


@dataclass(slots=True)
class ConnectionEstablished:
    """An attempt succeeded ``elapsed`` after it was started."""

    request_id: int
    attempt_number: int
    endpoint_id: int
    elapsed: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt failed, or an established connection ended.

    ``is_final``: the request is over, by this outcome or an earlier one. ``report``: the load report that
    came with it, in the order of ``Settings.report_fields``.
    """

    request_id: int
    attempt_number: int
    endpoint_id: int
    outcome: Outcome
    elapsed: int = 0
    is_final: bool = False
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class RequestAbandoned:
    """The request is over: its client disconnected, its deadline passed, or its task failed."""

    request_id: int


@dataclass(slots=True)
class LoadReported:
    """The load of an open connection has changed; microseconds of work a second."""

    request_id: int
    attempt_number: int
    endpoint_id: int
    load: float


@dataclass(slots=True)
class LatencyReported:
    """Messages at this endpoint currently take ``latency_ms`` milliseconds."""

    request_id: int
    attempt_number: int
    endpoint_id: int
    latency_ms: float


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check was answered, or failed; ``report`` as in ``AttemptEnded``."""

    endpoint_id: int
    outcome: Outcome
    elapsed: int = 0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class CordonChanged:
    """The operators took an endpoint out of service or put it back, independent of the endpoint list.

    ``uncordoned_at``: when it was put back; 0 = now.
    """

    endpoint_id: int
    cordoned: bool = True
    uncordoned_at: int = 0


@dataclass(slots=True)
class RequestAborted:
    """The proxy shuts down: a request without an established connection gets its final answer now."""

    request_id: int


@dataclass(slots=True)
class SettingsUpdated:
    """New settings. ``previous_classes``: for each new class its position in the old settings; -1 = none."""

    settings: Settings
    previous_classes: tuple[int, ...]


@dataclass(slots=True)
class TimerFired:
    """A timer set by a ``SetTimer`` action has fired."""

    token: int


Event: TypeAlias = (
    EndpointUpdate
    | CordonChanged
    | RequestAborted
    | SettingsUpdated
    | RequestArrived
    | ConnectionAdopted
    | ConnectionEstablished
    | AttemptEnded
    | RequestAbandoned
    | LoadReported
    | LatencyReported
    | HealthCheckEnded
    | TimerFired
)
