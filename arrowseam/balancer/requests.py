"""Requests from arrival until their connection ends, and their load at the endpoints."""

from __future__ import annotations

from arrowseam.balancer.endpoints import EndpointRecord
from arrowseam.balancer.events import RequestArrived
from arrowseam.balancer.settings import RequestClass, Settings
from arrowseam.errors import UsageError

LOAD_GAIN = 0.05  # weight of one report in the mean load of a class
MAX_LOAD = 1e9  # of one connection, microseconds of work a second: more than any machine can do


class ClassLoadEstimate:
    """The mean reported load of a class; it outlives the class while it has established connections."""

    __slots__ = ("load",)

    def __init__(self) -> None:
        self.load = 0.0

    def add(self, load: float) -> None:
        """Add a reported load to the exponentially weighted mean."""
        mean = self.load
        self.load = load if mean == 0.0 else mean + LOAD_GAIN * (load - mean)


class PendingRequest:
    """A request from its arrival until its last attempt or its connection has ended.

    Attributes:
        request_class: its class as of its arrival; later settings do not change it.
        max_attempts: the limit as of its arrival; a lower limit set later applies as well.
        deadline: when its final answer is due.
        tried: endpoints of its attempts, in order.
        endpoint: where its attempt or connection is.
        established: it has a connection.
        established_at: since when.
        error_count: endpoints that answered with an error.
        is_returning: the client's connection broke or was migrated, or the client marked this as a retry.
        is_new: it is not returning, and selection has not been tried for it yet.
        executed_on: endpoint of the first attempt that may have run.
        executed_at: when that attempt was started.
        load: reported load, else the mean of its class, else 1: with 0, rules that use the load would have
            no effect where no load is reported.
    """

    __slots__ = (
        "attempts", "class_load", "deadline", "endpoint", "error_count", "established", "established_at",
        "executed_at", "executed_on", "group", "is_new", "is_returning", "load", "max_attempts",
        "request_class", "request_id", "tried",
    )  # fmt: skip

    def __init__(
        self,
        arrival: RequestArrived,
        now: int,
        request_class: RequestClass,
        class_load: ClassLoadEstimate,
        max_attempts: int,
    ) -> None:
        self.request_id = arrival.request_id
        self.request_class, self.class_load, self.max_attempts = request_class, class_load, max_attempts
        self.group = arrival.group
        self.deadline = now + max(0, arrival.time_left)
        self.attempts = 0
        self.tried: list[EndpointRecord] = []
        self.endpoint: EndpointRecord | None = None
        self.established = False
        self.error_count = 0
        self.established_at = now
        self.is_returning = arrival.is_reconnect or arrival.is_retry
        self.executed_on: EndpointRecord | None = None
        self.executed_at = 0
        expected_load = min(arrival.expected_load, MAX_LOAD)
        self.load = expected_load if expected_load > 0 else class_load.load or 1.0
        self.is_new = not self.is_returning


class RequestTable:
    """All requests of this proxy and the load that they reserve at endpoints.

    Attributes:
        by_id: requests, pending and established.
        connecting: ids of requests with an attempt in progress.
        load: of all attempts and connections; ``connection_count`` is their number.
        serving: endpoints with established connections, by id; rules that run often use only these.
        class_loads: load estimates, in the order of the classes.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.by_id: dict[int, PendingRequest] = {}
        self.connecting: set[int] = set()
        self.load = 0.0
        self.connection_count = 0
        self.serving: dict[int, EndpointRecord] = {}
        self.class_loads = [ClassLoadEstimate() for _ in settings.classes]

    def update_settings(self, settings: Settings, previous_classes: tuple[int, ...]) -> None:
        """Apply new settings, keeping the load estimates of classes that remain."""
        previous_loads = self.class_loads
        self.class_loads = [
            previous_loads[index] if index >= 0 else ClassLoadEstimate() for index in previous_classes
        ]
        self.settings = settings

    def add(self, arrival: RequestArrived, now: int) -> PendingRequest:
        """Add a request.

        Raises:
            UsageError: its class is not in the settings.
        """
        settings = self.settings
        request_class, class_load = arrival.request_class, ClassLoadEstimate()
        if request_class is None:
            index = arrival.class_index
            if not 0 <= index < len(settings.classes):
                raise UsageError(f"request {arrival.request_id} is of class {index}, which is not configured")
            request_class, class_load = settings.classes[index], self.class_loads[index]
        request = PendingRequest(arrival, now, request_class, class_load, settings.limits.max_attempts)
        self.by_id[request.request_id] = request
        return request

    def reserve(self, request: PendingRequest, endpoint: EndpointRecord) -> None:
        """Count a request's load at the endpoint, from the start of its attempt."""
        request.endpoint = endpoint
        endpoint.load += request.load
        endpoint.in_flight += 1
        self.load += request.load
        self.connection_count += 1

    def list_established(self, request_id: int, endpoint: EndpointRecord) -> None:
        """List a connection as established at the endpoint."""
        endpoint.established[request_id] = None
        self.serving[endpoint.endpoint_id] = endpoint

    def unlist_established(self, request_id: int, endpoint: EndpointRecord) -> None:
        """Remove a connection from that list: it ended or is being migrated."""
        endpoint.established.pop(request_id, None)
        if not endpoint.established:
            self.serving.pop(endpoint.endpoint_id, None)

    def release(self, request: PendingRequest) -> None:
        """Release the load that the request reserved at its endpoint.

        Without connections the load is set to 0, since rounding errors of many sums would remain.
        """
        self.connecting.discard(request.request_id)
        endpoint = request.endpoint
        if endpoint is not None:
            endpoint.in_flight -= 1
            endpoint.load = endpoint.load - request.load if endpoint.in_flight else 0.0
            self.unlist_established(request.request_id, endpoint)
            request.endpoint = None
            self.connection_count -= 1
            self.load = self.load - request.load if self.connection_count else 0.0

    def update_load(self, request: PendingRequest, load: float) -> None:
        """Apply a reported load of a connection, limited to ``MAX_LOAD``."""
        load = min(load, MAX_LOAD)
        request.class_load.add(load)
        if request.endpoint is not None:
            request.endpoint.load += load - request.load
            self.load += load - request.load
        request.load = load

    def groups_at(self, endpoint: EndpointRecord) -> int:
        """Return how many affinity groups have connections of this proxy at the endpoint."""
        if not self.settings.group_affinity:
            return 0
        return len({self.by_id[request_id].group for request_id in endpoint.established} - {0})

    def load_per_weight(self, request_id: int) -> float:
        """Return the load of a connection per unit of its priority weight."""
        request = self.by_id[request_id]
        return request.load / max(1e-9, request.request_class.priority_weight)
