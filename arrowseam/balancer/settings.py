"""Settings of the balancer, as decoded from the configuration.

All times and durations are whole microseconds unless a field says otherwise. Classes, tenants, zones and
cells are identified by their positions in the configuration's lists, not by name.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from arrowseam.errors import UsageError


class Idempotency(Enum):
    """The effect of running a request more than once."""

    IDEMPOTENT = "idempotent"  # a retry is harmless at any endpoint
    KEYED = "keyed"  # endpoints within a scope drop retries with the same key, for a limited time
    NON_IDEMPOTENT = "non-idempotent"  # a retry takes effect again


class DeduplicationScope(Enum):
    """Which endpoints drop each other's retries of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with its objectives and what a retry of it may do.

    Attributes:
        latency_objective: a connection that is set up within this time counts with its full weight.
        deadline: time from the client's opening message until the final answer is due.
        priority_weight: value of a served request relative to other classes; no unit.
        idempotency: the effect of a retry.
        deduplication_scope: for keyed classes, which endpoints recognise a retry.
        deduplication_window: for keyed classes, how long after the first attempt they recognise it.
        message_latency_objective: the same for a message on an open connection; 0 = none stated.
    """

    latency_objective: int
    deadline: int
    priority_weight: float = 1.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0
    message_latency_objective: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """The quota of one tenant over all proxies; 0 = not stated.

    Attributes:
        connection_quota: open connections.
        rate_quota: new connections per second.
    """

    connection_quota: float = 0.0
    rate_quota: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the platform for every proxy.

    Attributes:
        drain_grace: how long after its drain is notified an endpoint may still be sent attempts.
        max_poll_interval: an endpoint list older than this counts as stale.
        cold_capacity_fraction: guaranteed part of its capacity that an endpoint has when it has just started.
        warm_up_time: from the start of an endpoint until it has its full capacity.
        overload_multiple: how many times its usual traffic a warm endpoint can take.
        overload_window: an endpoint fails when it is overloaded for this long.
    """

    drain_grace: int = 0
    max_poll_interval: int = 10_000_000
    cold_capacity_fraction: float = 1.0
    warm_up_time: int = 0
    overload_multiple: float = 1.0
    overload_window: int = 1_000_000


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on what a proxy may do.

    Attributes:
        max_attempts: attempts for one request, the first included.
        connect_timeout: timeout of establishing a TCP connection; 0 = the protocol's default.
        max_retry_after: the longest Retry-After that may be sent to a client.
        retry_after_allowed: whether a rejection may carry a Retry-After.
        health_checks_allowed: whether endpoints answer health checks.
    """

    max_attempts: int = 1
    connect_timeout: int = 0
    max_retry_after: int = 0
    retry_after_allowed: bool = False
    health_checks_allowed: bool = False


@dataclass(frozen=True, slots=True)
class Prices:
    """Costs as parts of the value of a request served at its first attempt, per unit and first attempt.

    Attributes:
        cross_zone: a connection to an endpoint of another zone.
        health_check: one health check.
    """

    cross_zone: float = 0.0
    health_check: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a balancer.

    Attributes:
        proxy_index: which of the ``proxy_count`` proxies this is.
        proxy_count: proxies that share quotas and the capacity of the endpoints.
        zone: the zone of this proxy.
        zones: how many zones there are.
        watch_discovery: the endpoint list is sent only to watchers; else it is pushed.
        group_affinity: connections of one affinity group share work on an endpoint.
        report_fields: names of the values in a load report, in order.
        timer_resolution: how late a timer may fire.
        reports_load: endpoints report the load of a connection (``LoadReported``).
        reports_latency: slow messages are reported (``LatencyReported``).
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    rules: Rules = Rules()
    limits: Limits = Limits()
    prices: Prices = Prices()
    proxy_index: int = 0
    proxy_count: int = 1
    zone: int = 0
    zones: int = 1
    watch_discovery: bool = False
    group_affinity: bool = False
    report_fields: tuple[str, ...] = ()
    timer_resolution: int = 1_000
    reports_load: bool = True
    reports_latency: bool = True

    def __post_init__(self) -> None:
        if not self.classes:
            raise UsageError("settings: at least one request class is needed")
        if self.limits.max_attempts < 1:
            raise UsageError(f"settings: max_attempts must be 1 or more, not {self.limits.max_attempts}")
        if self.proxy_count < 1 or not 0 <= self.proxy_index < max(1, self.proxy_count):
            raise UsageError(f"settings: proxy {self.proxy_index} is not one of {self.proxy_count}")
        if self.rules.overload_window <= 0:
            raise UsageError("settings: overload_for must be above 0")
