"""The balancer of one proxy: applies the rules to each event and collects the resulting actions.

A new connection goes to the first endpoint of a weighted random order of the ready endpoints, and to the next
ones when attempts fail. All else reduces an endpoint's probability by what is known of it, limits what it is
sent, or queues the request. Each rule is a module of this package; ``docs/design.md`` lists them.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from typing import Protocol

from arrowseam.balancer.actions import (
    Action,
    LogMessage,
    Migrate,
    SetTimer,
    StartHealthCheck,
    WatchEndpoints,
)
from arrowseam.balancer.admission import AttemptLimiter, RequestQueue
from arrowseam.balancer.arrivals import ArrivalRates
from arrowseam.balancer.capacity import CapacityEstimate
from arrowseam.balancer.discovery import DiscoveryPoller
from arrowseam.balancer.endpoints import EndpointList, EndpointRecord
from arrowseam.balancer.events import (
    AttemptEnded,
    ConnectionAdopted,
    ConnectionEstablished,
    CordonChanged,
    EndpointUpdate,
    Event,
    HealthCheckEnded,
    LatencyReported,
    LoadReported,
    Outcome,
    RequestAbandoned,
    RequestAborted,
    RequestArrived,
    SettingsUpdated,
    TimerFired,
    UpdateKind,
)
from arrowseam.balancer.health_checks import HealthChecker
from arrowseam.balancer.load_shedding import LoadShedder
from arrowseam.balancer.outliers import OutlierDetector
from arrowseam.balancer.placement import RequestPlacer
from arrowseam.balancer.rebalancing import REBALANCE_INTERVAL, Rebalancer
from arrowseam.balancer.requests import PendingRequest, RequestTable
from arrowseam.balancer.retries import is_within_deduplication
from arrowseam.balancer.selection import Selector
from arrowseam.balancer.settings import Settings
from arrowseam.balancer.shares import EndpointShares
from arrowseam.balancer.slow_start import SlowStart
from arrowseam.balancer.timers import MIGRATION_TIMER, POLL_TIMER, QUEUE_TIMER, SHARES_TIMER
from arrowseam.balancer.units import SECOND
from arrowseam.errors import UsageError

LOG_INTERVAL = 10 * SECOND  # minimum between two log messages: what happens to one proxy happens to many
SLOW_DIVISOR = 3  # a message is slow if its latency is at least its latency objective divided by this
OVERLOADED_LATENCY_FRACTION = 0.6  # of the objective: with this latency the endpoint counts as overloaded
RETURNING_WEIGHT = 0.25  # of the arrival of a returning client, while too few arrivals were observed
STORM_FRACTION = 0.5  # with a smaller part of the endpoints healthy, arrivals count as a retry storm
NEVER_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
UNCONGESTED_FAILURES = (Outcome.REJECTED, Outcome.CONNECT_FAILED)  # no evidence of congestion


class _Configurable(Protocol):
    """A rule that is notified of new settings."""

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings."""


class Balancer:
    """The decisions of one proxy.

    Each rule keeps its own state, and all draw from one random source, so the same seed and the same events
    give the same actions.

    Attributes:
        now: time of the last call of ``handle``, microseconds.
        actions: actions of that call so far.
        random: the random source, uniform in [0, 1).
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        if not isinstance(settings, Settings):
            raise UsageError("settings must be a Settings object")
        draw = random.Random(seed).random
        self.random = draw
        self.settings = settings
        self.now = 0
        self.actions: list[Action] = []
        self._is_started = False
        self._log_after = 0
        self._rebalanced_at = 0
        self._migration_timer_set = False
        self.endpoints = EndpointList()
        self.requests = RequestTable(settings)
        self.queue = RequestQueue()
        queued = self.queue.requests
        self.shares = EndpointShares(settings, self.endpoints)
        self.arrivals = ArrivalRates()
        self.outliers = OutlierDetector(settings, self.endpoints, self.requests, self.shares)
        self.limiter = AttemptLimiter(settings, self.requests)
        self.slow_start = SlowStart(settings, draw, self.outliers, self.arrivals, self.shares)
        self.capacity = CapacityEstimate(settings, draw, self.shares, self.requests, queued)
        self.shedder = LoadShedder(settings, draw, self.requests, queued)
        self.rebalancer = Rebalancer(settings, draw, self.endpoints, self.requests, self.capacity)
        self.health_checks = HealthChecker(settings, self.endpoints, self.shares)
        self.poller = DiscoveryPoller(settings, draw)
        self.selector = Selector(
            settings,
            draw,
            self.endpoints,
            self.shares,
            self.requests,
            self.outliers,
            self.slow_start,
            self.capacity,
            self.health_checks,
        )
        self.placer = RequestPlacer(
            settings,
            draw,
            self.shares,
            self.requests,
            self.queue,
            self.shedder,
            self.limiter,
            self.selector,
            self._refresh_shares,
        )
        self._set_shortest_objective()
        self._configurable_rules: tuple[_Configurable, ...] = (
            self.shares,
            self.outliers,
            self.limiter,
            self.slow_start,
            self.capacity,
            self.shedder,
            self.rebalancer,
            self.health_checks,
            self.poller,
            self.selector,
            self.placer,
        )
        self._handlers = self._event_handlers()

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Process the events up to ``now`` (microseconds), in order; return the actions, in order.

        Raises:
            UsageError: time went back, or an event contradicts the ones before it.
        """
        if now < self.now:
            raise UsageError(f"time went back from {self.now} to {now}")
        self.now = now
        self.actions = []
        if not self._is_started:
            self._start()
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is None:
                raise UsageError(f"not an event: {event!r}")
            handler(event)
        if now - self._rebalanced_at >= REBALANCE_INTERVAL:
            self._rebalanced_at = now
            self._rebalance()
        if not self._migration_timer_set and self.rebalancer.has_leaving():
            # Idle connections cause no events that would trigger their migration.
            self._migration_timer_set = True
            self.actions.append(SetTimer(REBALANCE_INTERVAL, MIGRATION_TIMER))
        return self.actions

    def unavailable_count(self) -> int:
        """Return how many listed endpoints get little or no traffic: not ready, cordoned or ejected."""
        return self.outliers.unavailable_count(self.now)

    def may_start_attempt(self, now: int, request_id: int) -> bool:
        """Return whether a request's attempt may still be sent once its connection is up.

        Guards against changes during connection set-up: the endpoint started to drain, or the deduplication
        window has passed for a request that may have run before.
        """
        request = self.requests.by_id.get(request_id)
        if request is None or request.endpoint is None or not self.endpoints.is_usable(request.endpoint):
            return False
        return is_within_deduplication(request, now)

    def _start(self) -> None:
        self._is_started = True
        self.arrivals.start(self.now)
        self.limiter.start(self.now, self.random)
        if self.settings.watch_discovery:
            self.actions.append(SetTimer(self.poller.first_delay(), POLL_TIMER))

    def _log(self, text: str) -> None:
        if self.now >= self._log_after:
            self._log_after = self.now + LOG_INTERVAL
            self.actions.append(LogMessage(text))

    def _event_handlers(self) -> dict[type[Event], Callable[..., None]]:
        return {
            EndpointUpdate: self._on_endpoint_update,
            CordonChanged: self._on_cordon_changed,
            RequestAborted: self._on_request_aborted,
            SettingsUpdated: self._on_settings_updated,
            RequestArrived: self._on_request_arrived,
            ConnectionAdopted: self._on_connection_adopted,
            ConnectionEstablished: self._on_connection_established,
            AttemptEnded: self._on_attempt_ended,
            RequestAbandoned: self._on_request_abandoned,
            LoadReported: self._on_load_reported,
            LatencyReported: self._on_latency_reported,
            HealthCheckEnded: self._on_health_check_ended,
            TimerFired: self._on_timer_fired,
        }

    # --- settings and endpoint list -----------------------------------------------------------------------

    def _on_settings_updated(self, event: SettingsUpdated) -> None:
        settings = event.settings
        if len(event.previous_classes) != len(settings.classes):
            raise UsageError("previous_classes must have one entry (an old class or -1) per new class")
        self.settings = settings
        self.requests.update_settings(settings, event.previous_classes)
        for rule in self._configurable_rules:
            rule.update_settings(settings)
        self._set_shortest_objective()
        self.shares.outdated = True

    def _set_shortest_objective(self) -> None:
        objectives = (c.message_latency_objective for c in self.settings.classes)
        self._shortest_objective = min((o for o in objectives if o > 0), default=0)

    def _on_endpoint_update(self, event: EndpointUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            delay = self.poller.on_failed()
            self._log(
                f"discovery call failed; using the cached list with {len(self.shares.ready)} ready endpoints"
            )
            self.actions.append(SetTimer(delay, POLL_TIMER))
            return
        if event.kind in (UpdateKind.DELTA, UpdateKind.SNAPSHOT):
            self.poller.on_answered()
        if self.endpoints.apply(event, self.now):
            self.shares.outdated = True

    def _on_cordon_changed(self, event: CordonChanged) -> None:
        if self.endpoints.set_cordon(event, self.now):
            self.outliers.forget(event.endpoint_id)
        self.shares.outdated = True

    def _refresh_shares(self) -> None:
        """Rebuild outdated shares; for a large list begin a rebuild in chunks unless one is in progress."""
        shares, measure_initial = self.shares, not self.capacity.full_weight
        if shares.is_small():
            shares.rebuild(self.now, measure_initial)
            self._on_shares_rebuilt()
        elif not shares.rebuilding:
            shares.start_rebuild(self.now, measure_initial)
            self.actions.append(SetTimer(0, SHARES_TIMER))

    def _on_shares_rebuilt(self) -> None:
        if not self.settings.reports_latency:
            self.capacity.update(self.now)

    # --- a request until its connection is established or it is answered ----------------------------------

    def _on_request_arrived(self, event: RequestArrived) -> None:
        if event.request_id in self.requests.by_id:
            raise UsageError(f"request {event.request_id} is already known")
        now, arrivals = self.now, self.arrivals
        request = self.requests.add(event, now)
        arrivals.decay_recent(now, self.settings.rules.overload_window)
        if not request.is_returning or arrivals.is_starting:
            weight = RETURNING_WEIGHT if request.is_returning else 1.0
            in_storm = self.outliers.healthy_fraction(now) < STORM_FRACTION or self.limiter.is_congested(now)
            arrivals.count(now, weight, in_storm)
            self.health_checks.add_budget()
        self.placer.place(request, now, self.actions)
        if not request.is_returning:  # after its placement, which tests the earlier arrivals for a surge
            arrivals.add_recent()
        for endpoint in self.health_checks.due(now):
            self.actions.append(StartHealthCheck(endpoint.endpoint_id))

    def _on_request_aborted(self, event: RequestAborted) -> None:
        request = self.requests.by_id.get(event.request_id)
        if request is not None and not request.established:
            self.queue.requests.pop(request.request_id, None)
            self.requests.release(request)
            self.placer.answer(request, self.actions)

    def _on_request_abandoned(self, event: RequestAbandoned) -> None:
        request = self.requests.by_id.pop(event.request_id, None)
        self.queue.requests.pop(event.request_id, None)
        if request is not None:
            self.requests.release(request)

    def _on_connection_established(self, event: ConnectionEstablished) -> None:
        request = self.requests.by_id.get(event.request_id)
        if request is None:
            return
        objective = request.request_class.latency_objective
        request.established, request.established_at = True, self.now
        self.requests.connecting.discard(request.request_id)
        if request.endpoint is not None:
            self.requests.list_established(request.request_id, request.endpoint)
            if 2 * event.elapsed <= objective:
                self.outliers.credit_prompt_setup(request.endpoint)
        if self.limiter.on_established(event.elapsed, objective, self.now):
            self._log_congestion()

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.by_id.get(event.request_id)
        if request is None:
            return  # the request had already ended at this proxy
        endpoint, outcome = self.endpoints.by_id.get(event.endpoint_id), event.outcome
        self.requests.release(request)
        request.error_count += outcome is Outcome.ERROR
        if endpoint is not None and self.outliers.on_attempt_ended(endpoint, request, event, self.now):
            self._on_setup_failed(request, event)
        if event.is_final or request.established:
            del self.requests.by_id[event.request_id]
            return
        if outcome not in NEVER_EXECUTED and request.executed_on is None and endpoint is not None:
            request.executed_on, request.executed_at = endpoint, self.now - event.elapsed
        self.placer.place(request, self.now, self.actions)

    def _on_setup_failed(self, request: PendingRequest, event: AttemptEnded) -> None:
        """Reduce the concurrency limit for a failed set-up, unless it was rejected or not connected."""
        if request.established or event.outcome in UNCONGESTED_FAILURES:
            return
        objective = request.request_class.latency_objective
        if self.limiter.on_failed(event.elapsed, objective, self.now):
            self._log_congestion()

    def _log_congestion(self) -> None:
        queued = len(self.queue.requests)
        if queued:
            limit = self.limiter.limit
            self._log(
                f"congested: set-ups fail or are late; concurrency limit {limit:.2g}, queue length {queued}"
            )

    # --- established connections --------------------------------------------------------------------------

    def _on_connection_adopted(self, event: ConnectionAdopted) -> None:
        request = self.requests.add(event.request, self.now)
        request.attempts, request.established = 1, True
        endpoint = self.endpoints.by_id.get(event.endpoint_id)
        if endpoint is not None:
            self.requests.reserve(request, endpoint)
            self.requests.list_established(request.request_id, endpoint)

    def _on_load_reported(self, event: LoadReported) -> None:
        request = self.requests.by_id.get(event.request_id)
        if request is not None and math.isfinite(event.load) and event.load >= 0:
            self.requests.update_load(request, event.load)

    def _on_latency_reported(self, event: LatencyReported) -> None:
        """Process the latency of a message; a slow one counts as a failure, whatever the endpoint's weight.

        While other endpoints have capacity, part of the connections is migrated: on an overloaded endpoint
        no message is in time, so that all benefit if a few leave.
        """
        endpoint = self.endpoints.by_id.get(event.endpoint_id)
        request = self.requests.by_id.get(event.request_id)
        if endpoint is None or request is None or not request.established or not event.latency_ms >= 0.0:
            return
        objective = request.request_class.message_latency_objective
        if objective <= 0:
            return
        latency = event.latency_ms * 1000
        if latency < self._shortest_objective / SLOW_DIVISOR:
            self.outliers.halve_score(endpoint, self.now)
            return
        if latency >= objective / SLOW_DIVISOR:
            self.outliers.add_failure(endpoint, self.now)
        if latency >= OVERLOADED_LATENCY_FRACTION * objective:
            self._on_overloaded(endpoint)

    def _on_overloaded(self, endpoint: EndpointRecord) -> None:
        """Migrate part of an overloaded endpoint's connections, or shed load if most are overloaded."""
        endpoint.overloaded_at = self.now
        shedder = self.shedder
        if not shedder.is_widespread(self.now):
            self._migrate(self.rebalancer.select_from(endpoint))
        elif shedder.may_reduce(self.now):
            shedder.reduce(self.now)
            self._log(f"overloaded: messages are slow at most endpoints; load limit {shedder.limit:.0f}")
            self._migrate(shedder.evict(self.now))

    def _on_health_check_ended(self, event: HealthCheckEnded) -> None:
        endpoint = self.endpoints.by_id.get(event.endpoint_id)
        if endpoint is None or event.outcome is not Outcome.OK:
            return
        if not self.health_checks.on_report(endpoint, event.report, self.now):
            return
        overloaded = endpoint.reported_utilization >= 1.0 and endpoint.established
        if overloaded and not self.settings.reports_latency:
            self._on_overloaded(endpoint)

    def _rebalance(self) -> None:
        """Migrate off leaving and, where slow messages are not reported, off overcommitted endpoints."""
        self._migrate(self.rebalancer.select_from_leaving(self.now))
        if self.settings.reports_latency:
            return
        if self.shares.outdated:
            self._refresh_shares()
        self.capacity.update(self.now)
        if not self.limiter.is_congested(self.now):  # migrated clients may then find no new connection
            self._migrate(self.rebalancer.select_from_overcommitted())

    def _migrate(self, request_ids: Iterable[int]) -> None:
        self.actions += [Migrate(request_id) for request_id in request_ids]

    # --- timers -------------------------------------------------------------------------------------------

    def _on_timer_fired(self, event: TimerFired) -> None:
        token = event.token
        if token == POLL_TIMER:
            if self.poller.start_poll():
                self.actions.append(WatchEndpoints(True))
        elif token == MIGRATION_TIMER:
            self._migration_timer_set = False
        elif token == SHARES_TIMER:
            if self.shares.continue_rebuild():
                self._on_shares_rebuilt()
            elif self.shares.rebuilding:
                self.actions.append(SetTimer(0, SHARES_TIMER))
        elif token == QUEUE_TIMER:
            self.placer.recheck_queue(self.now, self.actions)
        elif token in self.queue.requests:
            self.placer.place(self.queue.requests.pop(token), self.now, self.actions)
