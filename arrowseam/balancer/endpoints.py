"""The endpoint list as known to this proxy: state of each endpoint, list updates, cordons."""

from __future__ import annotations

from arrowseam.balancer.events import CordonChanged, Endpoint, EndpointState, EndpointUpdate, UpdateKind
from arrowseam.balancer.units import NEVER
from arrowseam.balancer.weights import scaled_weight


class EndpointRecord:
    """What this proxy knows of one endpoint; every rule keeps its per-endpoint state here.

    Attributes:
        entry: its entry in the endpoint list; ``zone``, ``cell``, ``state`` and ``weight`` are taken from it.
        cell: None = unknown; it is then shared with no other endpoint.
        weight: list weight, scaled.
        share: its share of new connections among all ready endpoints, UQ1.31.
        load: of the connections and attempts of this proxy, in units of ``RequestArrived.expected_load``.
        in_flight: connections and attempts of this proxy.
        established: ids of the requests with an established connection, oldest first.
        warming_since: when it started or was uncordoned, whichever is later; 0 = long ago.
        uncordoned_at: when it was uncordoned; 0 = never.
        awaits_first_attempt: it was uncordoned and has had no attempt since; also ends with a lost draw.
        draining_since: when this proxy, with connections there, first saw it draining; 0 = it did not.
        failure_score: decayed count of failures, as of ``failure_score_at``.
        tokens: slow-start tokens (connections), as of ``tokens_at``; below 0 = never used.
        rounding_draw: offset by which this proxy rounds its connections there; below 0 = not drawn.
        overloaded_at: when a message was last too slow there or a report last showed it to be full.
        reported_utilization: load over capacity in its last report, received at ``reported_at``.
        in_flight_at_report: ``in_flight`` at that time.
        health_checked_at: when its last health check was started.
    """

    __slots__ = (
        "awaits_first_attempt",
        "cell",
        "draining_since",
        "endpoint_id",
        "entry",
        "established",
        "failure_score",
        "failure_score_at",
        "health_checked_at",
        "in_flight",
        "in_flight_at_report",
        "load",
        "overloaded_at",
        "reported_at",
        "reported_utilization",
        "rounding_draw",
        "share",
        "state",
        "tokens",
        "tokens_at",
        "uncordoned_at",
        "warming_since",
        "weight",
        "zone",
    )  # fmt: skip

    def __init__(self, entry: Endpoint, uncordoned_at: int, now: int) -> None:
        self.endpoint_id = entry.endpoint_id
        self.share = 0
        self.load = 0.0
        self.in_flight = 0
        self.established: dict[int, None] = {}
        self.overloaded_at = NEVER
        self.reported_utilization = 0.0
        self.reported_at = self.health_checked_at = NEVER
        self.in_flight_at_report = 0
        self.awaits_first_attempt = False
        self.draining_since = 0
        self.uncordoned_at = uncordoned_at
        self.set_entry(entry)
        self.reset(now)

    def set_entry(self, entry: Endpoint) -> None:
        """Apply a new entry of the endpoint list."""
        self.entry = entry
        self.zone, self.cell, self.state = entry.zone, entry.cell, entry.state
        self.weight = scaled_weight(entry.weight)
        self.warming_since = max(entry.started_at, self.uncordoned_at)

    def reset(self, now: int) -> None:
        """Clear what was learned of the previous process: none of it applies to a new incarnation."""
        self.failure_score, self.failure_score_at = 0.0, now
        self.tokens, self.tokens_at = -1.0, now
        self.rounding_draw = -1.0

    def uncordon(self, at: int, awaits_first_attempt: bool) -> None:
        """Treat it as started ``at``: it may have been restarted without an update of the endpoint list."""
        self.uncordoned_at, self.awaits_first_attempt = at, awaits_first_attempt
        self.warming_since = max(self.entry.started_at, at)


class EndpointList:
    """All endpoints that were ever listed, and which of them are cordoned.

    Attributes:
        by_id: the endpoints; removed ones stay, in state REMOVED.
        cordoned: ids; neither an update of the list nor a restart of an endpoint clears a cordon.
        uncordoned: time of uncordoning by id, for endpoints that have not warmed up since.
        unsorted: endpoints were added since ``sort``.
    """

    def __init__(self) -> None:
        self.by_id: dict[int, EndpointRecord] = {}
        self.cordoned: set[int] = set()
        self.uncordoned: dict[int, int] = {}
        self.unsorted = False

    def is_usable(self, endpoint: EndpointRecord) -> bool:
        """Return whether attempts may be sent there: ready by the list and not cordoned."""
        return endpoint.state is EndpointState.READY and endpoint.endpoint_id not in self.cordoned

    def is_leaving(self, endpoint: EndpointRecord) -> bool:
        """Return whether its connections must be migrated: it is draining or cordoned."""
        return endpoint.state is EndpointState.DRAINING or endpoint.endpoint_id in self.cordoned

    def sort(self) -> None:
        """Sort the endpoints by id, so that draws do not depend on the order in which they were listed."""
        self.by_id = {endpoint_id: self.by_id[endpoint_id] for endpoint_id in sorted(self.by_id)}
        self.unsorted = False

    def apply(self, update: EndpointUpdate, now: int) -> bool:
        """Apply an update that did not fail; return whether the shares must be rebuilt now.

        Weights of two versions of a list are not mixed: the shares are rebuilt when an update is complete,
        but at once when an endpoint stops being ready.
        """
        if update.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT):
            listed = {entry.endpoint_id for entry in update.endpoints}
            for endpoint in self.by_id.values():
                if endpoint.endpoint_id not in listed:
                    endpoint.state = EndpointState.REMOVED
        for entry in update.endpoints:
            self._apply_entry(entry, now)
        any_not_ready = any(entry.state is not EndpointState.READY for entry in update.endpoints)
        return any_not_ready or not update.more_follows

    def _apply_entry(self, entry: Endpoint, now: int) -> None:
        endpoint = self.by_id.get(entry.endpoint_id)
        if endpoint is None:
            uncordoned_at = self.uncordoned.get(entry.endpoint_id, 0)
            self.by_id[entry.endpoint_id] = EndpointRecord(entry, uncordoned_at, now)
            self.unsorted = True
            return
        if entry is endpoint.entry and endpoint.state is entry.state:
            return
        if entry.started_at != endpoint.entry.started_at and entry.state is EndpointState.READY:
            endpoint.reset(now)
        endpoint.set_entry(entry)

    def set_cordon(self, event: CordonChanged, now: int) -> bool:
        """Cordon or uncordon an endpoint; return whether this call uncordoned it.

        An uncordoned endpoint counts as just started and without failures: it may have been restarted
        meanwhile, and the list may not show that yet.
        """
        endpoint_id = event.endpoint_id
        if event.cordoned:
            self.cordoned.add(endpoint_id)
            self.uncordoned.pop(endpoint_id, None)
            return False
        if endpoint_id not in self.cordoned and not event.uncordoned_at:
            return False
        self.cordoned.discard(endpoint_id)
        self.uncordoned[endpoint_id] = at = event.uncordoned_at or now
        endpoint = self.by_id.get(endpoint_id)
        if endpoint is not None:
            endpoint.reset(now)
            endpoint.uncordon(at, awaits_first_attempt=not event.uncordoned_at)
        return True
