"""The blocking interface to the balancer: ``next_step``, ``report_outcome``, ``run_timers``.

It owns the one ``Balancer`` of this process, the balancer's timers and the ids by which the balancer knows
requests and endpoints. It passes events in and carries out actions; it makes no decisions and knows neither
sockets nor protocols. All times are microseconds of the monotonic clock.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Generator
from dataclasses import dataclass, field, replace
from typing import Any

from arrowseam.balancer import Balancer, actions, events
from arrowseam.balancer.events import EndpointState, Event, Outcome, UpdateKind
from arrowseam.client_request import (
    Answer,
    Attempt,
    ClientDisconnected,
    ConnectionSnapshot,
    Failed,
    Rejected,
    Request,
)
from arrowseam.config.proxy import Config
from arrowseam.endpoint_list import EndpointIds, EndpointListUpdate
from arrowseam.outcomes import AttemptOutcome

MICROSECONDS_PER_MILLISECOND = 1000

BALANCER_OUTCOMES = {
    AttemptOutcome.COMPLETED: Outcome.OK,
    AttemptOutcome.ERROR: Outcome.ERROR,
    AttemptOutcome.REJECTED: Outcome.REJECTED,
    AttemptOutcome.TIMEOUT: Outcome.TIMEOUT,
    AttemptOutcome.UNREACHABLE: Outcome.CONNECT_FAILED,
    AttemptOutcome.RESET: Outcome.RESET,
    AttemptOutcome.MIGRATED: Outcome.MIGRATED,
    AttemptOutcome.NOT_SENT: Outcome.NOT_SENT,
}


@dataclass(slots=True)
class PendingWork:
    """The actions of the balancer other than answers to requests.

    Attributes:
        migrations: requests whose clients are to be asked to reconnect.
        refresh_endpoints: call the discovery service and keep watching it.
        health_checks: endpoints to be asked for a load report.
        log_messages: lines for the log.
        wake_at: when ``run_timers`` is to be called next; None = no timer is set.
    """

    migrations: list[Request] = field(default_factory=list)
    refresh_endpoints: bool = False
    health_checks: list[str] = field(default_factory=list)
    log_messages: list[str] = field(default_factory=list)
    wake_at: int | None = None


class BalancerDriver:
    """Gives each request the balancer's answers, and the balancer the events of requests and endpoints.

    Attributes:
        endpoint_ids, endpoint_names: ids by name, and names by id.
        addresses: HOST:PORT by the endpoint's name.
        ready_count: endpoints of the list that are ready.
        proxy_count: proxies that share limits and quotas, if that differs from the settings; else None.
    """

    def __init__(self, config: Config, clock: Callable[[], int]) -> None:
        self.settings = config.settings
        self.config = config
        self.clock = clock
        self.balancer = Balancer(config.settings, seed=config.seed)
        self.endpoint_ids = EndpointIds()
        self.endpoint_names = self.endpoint_ids.names
        self.addresses: dict[str, str] = {}
        self.ready_count = 0
        self.proxy_count: int | None = None
        self._endpoint_states: dict[int, EndpointState] = {}
        self._requests: dict[int, Request] = {}
        self._last_request_id = 0
        self._timers: list[tuple[int, int]] = []  # when each is due, and its token
        self._pending = PendingWork()
        self._action_handlers: dict[type, Callable[[Any, int], None]] = {
            actions.StartAttempt: self._on_start_attempt,
            actions.Reject: self._on_reject,
            actions.Fail: self._on_fail,
            actions.SetTimer: self._on_set_timer,
            actions.Migrate: self._on_migrate,
            actions.StartHealthCheck: self._on_start_health_check,
            actions.WatchEndpoints: self._on_watch_endpoints,
            actions.LogMessage: self._on_log_message,
        }

    # --- events in, actions out ---

    def _notify(self, *new_events: Event) -> None:
        """Pass events to the balancer and carry out the actions that it returns."""
        now = self.clock()
        handlers = self._action_handlers
        for action in self.balancer.handle(max(now, self.balancer.now), list(new_events)):
            handlers[type(action)](action, now)

    def _on_start_attempt(self, action: actions.StartAttempt, now: int) -> None:
        request = self._requests.get(action.request_id)
        if request is None:
            return
        request.attempt_number += 1
        request.endpoint_id = action.endpoint_id
        deadline = min(now + action.timeout, request.deadline) if action.timeout > 0 else request.deadline
        self._answer(request, Attempt(self.endpoint_names[action.endpoint_id], deadline))

    def _on_reject(self, action: actions.Reject, _now: int) -> None:
        retry_after_ms = -(-action.retry_after // MICROSECONDS_PER_MILLISECOND)  # rounded up
        self._answer_finally(action.request_id, Rejected(retry_after_ms))

    def _on_fail(self, action: actions.Fail, _now: int) -> None:
        self._answer_finally(action.request_id, Failed())

    def _on_set_timer(self, action: actions.SetTimer, now: int) -> None:
        heapq.heappush(self._timers, (now + max(1, action.delay), action.token))

    def _on_migrate(self, action: actions.Migrate, _now: int) -> None:
        request = self._requests.get(action.request_id)
        if request is not None:
            self._pending.migrations.append(request)

    def _on_start_health_check(self, action: actions.StartHealthCheck, _now: int) -> None:
        self._pending.health_checks.append(self.endpoint_names[action.endpoint_id])

    def _on_watch_endpoints(self, action: actions.WatchEndpoints, _now: int) -> None:
        self._pending.refresh_endpoints = action.enabled

    def _on_log_message(self, action: actions.LogMessage, _now: int) -> None:
        self._pending.log_messages.append(action.text)

    def _answer(self, request: Request, answer: Answer) -> None:
        request.answers.append(answer)
        request.wake()

    def _answer_finally(self, request_id: int, answer: Answer) -> None:
        request = self._requests.pop(request_id, None)
        if request is not None:
            request.is_tracked = False
            self._answer(request, answer)

    # --- one request ---

    def next_step(self, request: Request) -> Generator[int | None, None, Answer]:
        """Wait until there is an answer for the request, or its client has left.

        Past the request's deadline the answer is ``Failed``, whatever the balancer still has queued.
        """
        if not request.request_id:
            self._notify(self._track(request))
        while True:
            if request.has_client_left():
                # An attempt that the balancer has started meanwhile is settled without being made.
                self.abandon(request)
                return ClientDisconnected()
            if request.is_aborted and request.is_tracked:
                # The balancer decides whether it may be rejected, given the attempts made so far.
                request.answers.clear()
                self._notify(events.RequestAborted(request.request_id))
            if request.answers:
                answer = request.answers.popleft()
                if isinstance(answer, Attempt):
                    request.attempt_started_at, request.opening_sent = self.clock(), False
                    if request.endpoint_id in self.balancer.endpoints.cordoned:
                        # Cordoned since the balancer chose it: ask the balancer for another.
                        self.report_outcome(request, AttemptOutcome.NOT_SENT)
                        continue
                return answer
            if self.clock() >= request.deadline:
                self.abandon(request)
                return Failed()
            yield request.deadline

    def may_start_attempt(self, request: Request) -> bool:
        """Whether the attempt under way may still be made, now that its opening can be sent."""
        return self.balancer.may_start_attempt(max(self.clock(), self.balancer.now), request.request_id)

    def report_outcome(self, request: Request, outcome: AttemptOutcome) -> None:
        """Report how the attempt under way (ESTABLISHED included) or the established connection ended."""
        if not request.is_tracked:
            return
        elapsed = self.clock() - request.attempt_started_at
        attempt = (request.request_id, request.attempt_number, request.endpoint_id)
        if outcome is AttemptOutcome.ESTABLISHED:
            request.is_established = True
            self._notify(events.ConnectionEstablished(*attempt, elapsed))
            return
        is_final = request.is_established or outcome is AttemptOutcome.COMPLETED
        if is_final:
            self._untrack(request)
        request.attempt_cancelled = False
        self._notify(events.AttemptEnded(*attempt, BALANCER_OUTCOMES[outcome], elapsed, is_final))

    def report_load_or_latency(self, request: Request, level: float) -> None:
        """Pass on what an endpoint reported of an established connection.

        ``level`` is its load or its milliseconds per message, whichever of the two the endpoints of this
        deployment report.
        """
        if not (request.is_established and request.is_tracked and math.isfinite(level)):
            return
        attempt = (request.request_id, request.attempt_number, request.endpoint_id)
        if self.settings.reports_load:
            request.expected_load = level
            self._notify(events.LoadReported(*attempt, level))
        elif self.settings.reports_latency:
            self._notify(events.LatencyReported(*attempt, level))

    def abandon(self, request: Request) -> None:
        """Drop a request whose client has left or was answered before the balancer had finished with it."""
        if request.is_tracked:
            self._untrack(request)
            request.answers.clear()
            self._notify(events.RequestAbandoned(request.request_id))

    def _track(self, request: Request) -> events.RequestArrived:
        self._last_request_id += 1
        # A class is identified by its position, which newer settings may have given to another class.
        class_index: int | None = request.class_index
        if request.request_class is not None:
            class_index = self.config.classes.get(request.class_name)
        request.request_id = self._last_request_id
        request.is_tracked = True
        self._requests[request.request_id] = request
        return events.RequestArrived(
            request_id=request.request_id,
            class_index=-1 if class_index is None else class_index,
            request_class=request.request_class if class_index is None else None,
            tenant_index=request.tenant_index,
            flow_key=request.flow_key,
            time_left=max(0, request.deadline - self.clock()),
            expected_load=request.expected_load,
            group=request.group,
            is_retry=request.is_retry,
            is_reconnect=request.is_reconnect,
        )

    def _untrack(self, request: Request) -> None:
        self._requests.pop(request.request_id, None)
        request.is_tracked = False

    # --- connections that are already established ---

    def adopt(self, request: Request) -> None:
        """Track a request whose connection to ``adopted_endpoint`` is already established."""
        endpoint_id = self.endpoint_ids.get(request.adopted_endpoint, 0)
        arrived = self._track(request)
        request.attempt_number, request.endpoint_id, request.is_established = 0, endpoint_id, True
        self._notify(events.ConnectionAdopted(arrived, endpoint_id))

    def export_connection(self, request: Request) -> ConnectionSnapshot:
        """Describe an established connection for another process of this proxy."""
        request_class = request.request_class or self.settings.classes[request.class_index]
        tenants = [name for name, position in self.config.tenants.items() if position == request.tenant_index]
        return ConnectionSnapshot(
            name=request.name,
            class_name=request.class_name,
            request_class=request_class,
            tenant=tenants[0] if tenants else "",
            flow_key=request.flow_key,
            group=request.group,
            load=request.expected_load,
            endpoint=self.endpoint_names[request.endpoint_id],
        )

    def import_connection(self, snapshot: ConnectionSnapshot) -> Request:
        """Create the request of a connection that another process has handed over, to be adopted."""
        self.register_endpoint(snapshot.endpoint)
        return Request(
            class_index=-1,
            class_name=snapshot.class_name,
            request_class=snapshot.request_class,
            tenant_index=self.config.tenants.get(snapshot.tenant, 0),
            flow_key=snapshot.flow_key,
            group=snapshot.group,
            expected_load=snapshot.load,
            adopted_endpoint=snapshot.endpoint,
            name=snapshot.name,
            deadline=0,
        )

    # --- endpoints ---

    def cordon_by_name(self, endpoint: str, cordoned: bool, uncordoned_at: int = 0) -> None:
        """Cordon or uncordon an endpoint, even if no list has named it yet."""
        self.register_endpoint(endpoint)
        self.cordon(endpoint, cordoned, uncordoned_at)

    def register_endpoint(self, endpoint: str) -> None:
        """Assign an endpoint its id, even if no list has named it yet."""
        self.endpoint_ids.assign(endpoint)

    def update_endpoints(self, update: EndpointListUpdate | None) -> None:
        """Apply an update of the endpoint list; None if a call to the discovery service failed."""
        if update is None:
            self._notify(events.EndpointUpdate(UpdateKind.FAILED))
            return
        self.addresses.update(update.addresses)
        if update.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT):
            self._endpoint_states.clear()
            self.ready_count = 0
        ready, removed = EndpointState.READY, EndpointState.REMOVED
        for endpoint in update.endpoints:
            previous = self._endpoint_states.pop(endpoint.endpoint_id, removed)
            self.ready_count += (endpoint.state is ready) - (previous is ready)
            if endpoint.state is not removed:
                self._endpoint_states[endpoint.endpoint_id] = endpoint.state
        self._notify(
            events.EndpointUpdate(update.kind, update.version, update.endpoints, update.more_follows)
        )

    def report_health_check(
        self, endpoint: str, succeeded: bool, elapsed: int, report: dict[str, float]
    ) -> None:
        """Report how a health check ended; ``report`` holds the fields that the endpoint reported, by name.

        A field that it did not report is passed as NaN: the balancer would take 0 for an idle endpoint.
        """
        values = tuple(report.get(name, math.nan) for name in self.settings.report_fields) if report else ()
        outcome = Outcome.OK if succeeded else Outcome.ERROR
        self._notify(events.HealthCheckEnded(self.endpoint_ids[endpoint], outcome, elapsed, values))

    def cordon(self, endpoint: str, cordoned: bool, uncordoned_at: int = 0) -> bool:
        """Cordon or uncordon an endpoint; False if it is unknown.

        ``uncordoned_at`` is set where another process reports the time. Attempts at the endpoint that have
        sent nothing yet are cancelled.
        """
        endpoint_id = self.endpoint_ids.get(endpoint)
        if endpoint_id is None:
            return False
        self._notify(events.CordonChanged(endpoint_id, cordoned, uncordoned_at))
        if cordoned:
            for request in self._requests.values():
                is_attempted_there = request.endpoint_id == endpoint_id and not request.is_established
                if is_attempted_there and not request.opening_sent:
                    request.attempt_cancelled = True
                    request.wake()
        return True

    def connection_and_attempt_count(self, endpoint: str) -> int:
        """Established connections at an endpoint, plus attempts that may still become established."""
        endpoint_id = self.endpoint_ids.get(endpoint, 0)
        return sum(
            request.endpoint_id == endpoint_id and (request.is_established or request.attempt_number >= 0)
            for request in self._requests.values()
        )

    def connection_count(self, endpoint: str) -> int:
        """Established connections at an endpoint."""
        endpoint_state = self.balancer.endpoints.by_id.get(self.endpoint_ids.get(endpoint, 0))
        return len(endpoint_state.established) if endpoint_state is not None else 0

    @property
    def cordoned(self) -> list[str]:
        """Endpoints that are cordoned, sorted by name."""
        return sorted(self.endpoint_names[endpoint_id] for endpoint_id in self.balancer.endpoints.cordoned)

    @property
    def uncordoned_at(self) -> dict[str, int]:
        """Endpoints that were uncordoned and may still be warming up, and when."""
        return {
            self.endpoint_names[endpoint_id]: at
            for endpoint_id, at in self.balancer.endpoints.uncordoned.items()
        }

    @property
    def endpoint_count(self) -> int:
        """Endpoints in the list."""
        return len(self._endpoint_states)

    @property
    def unavailable_count(self) -> int:
        """Endpoints in the list that the balancer currently avoids."""
        return self.balancer.unavailable_count()

    # --- settings and timers ---

    def update_settings(self, config: Config) -> None:
        """Apply new settings to everything that happens from now on."""
        previous_classes = tuple(self.config.classes.get(name, -1) for name in config.classes)
        self.config, self.settings = config, config.settings
        self._notify_settings(previous_classes)

    def set_proxy_count(self, count: int | None) -> None:
        """Set how many proxies share limits and quotas; None: the number in the settings."""
        if count != self.proxy_count:
            self.proxy_count = count
            self._notify_settings(tuple(range(len(self.settings.classes))))

    def _notify_settings(self, previous_classes: tuple[int, ...]) -> None:
        settings = self.settings
        if self.proxy_count is not None:
            proxy_index = min(settings.proxy_index, self.proxy_count - 1)
            settings = replace(settings, proxy_count=self.proxy_count, proxy_index=proxy_index)
        self._notify(events.SettingsUpdated(settings, previous_classes))

    def run_timers(self, now: int) -> PendingWork:
        """Run the timers that are due; returns the pending work and when to call this again."""
        due = []
        while self._timers and self._timers[0][0] <= now:
            due.append(events.TimerFired(heapq.heappop(self._timers)[1]))
        if due:
            self._notify(*due)
        pending, self._pending = self._pending, PendingWork()
        pending.wake_at = self._timers[0][0] if self._timers else None
        return pending
