"""Outlier detection: a failure score for each endpoint, which decays with time, and ejection by score."""

from __future__ import annotations

from arrowseam.balancer.endpoints import EndpointList, EndpointRecord
from arrowseam.balancer.events import AttemptEnded, EndpointState, Outcome
from arrowseam.balancer.requests import PendingRequest, RequestTable
from arrowseam.balancer.retries import MIN_TIME_FRACTION
from arrowseam.balancer.settings import Settings
from arrowseam.balancer.shares import EndpointShares
from arrowseam.balancer.units import SECOND

DECAY_TIME = 6 * SECOND  # one failure decays over this time
MAX_SCORE = 6.0  # slow start halves the traffic for each point; the remaining traffic detects recovery
# An endpoint with this score counts as ejected, but is not excluded: slow start still sends it an eighth of
# its traffic or less, which detects its recovery.
EJECTED_SCORE = 3.0
PROMPT_SETUP_CREDIT = 0.5  # subtracted from the score for a set-up that is well in time
SHEDDING_WINDOW = 2 * SECOND  # a connection that breaks later was not shed for lack of capacity
TOLERATED_MEAN = 2.0  # mean score above which unknown endpoints count as failing as well
ZONE_HEALTH_STEP = 0.1  # change of the local zone's healthy fraction at which the shares are rebuilt

FAILURES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET)
ANSWERED_FAILURE_WEIGHT = 0.25  # of a failure where the endpoint answered: a rejection or an error


class OutlierDetector:
    """Failure scores of the endpoints, and the healthy part of all endpoints.

    Guards against endpoints that shed load by accepting connections and dropping them a moment later: their
    set-ups succeed. Only time without failures shows that such an endpoint has capacity again, so scores
    decay with time.

    Attributes:
        failing: endpoints with a failure score, by id.
        healthy: part of the ready endpoints, by share, without a failure score when last assessed.
        baseline_score: score of endpoints without evidence of their own.
    """

    def __init__(
        self, settings: Settings, endpoints: EndpointList, requests: RequestTable, shares: EndpointShares
    ) -> None:
        self.settings = settings
        self.endpoints, self.requests, self.shares = endpoints, requests, shares
        self.failing: dict[int, EndpointRecord] = {}
        self.healthy = 1.0
        self.baseline_score = 0.0
        self._assessed_at = 0

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings

    def failure_score(self, endpoint: EndpointRecord, now: int) -> float:
        """Return the decayed score; for an endpoint without evidence of its own, the baseline."""
        score = endpoint.failure_score - (now - endpoint.failure_score_at) / DECAY_TIME
        return max(0.0, score) if score > 0.0 or endpoint.established else self.baseline_score

    def add_failure(self, endpoint: EndpointRecord, now: int, weight: float = 1.0) -> None:
        """Add a failure of this weight to the score."""
        endpoint.failure_score = min(self.failure_score(endpoint, now) + weight, MAX_SCORE)
        endpoint.failure_score_at = now
        self.failing[endpoint.endpoint_id] = endpoint

    def halve_score(self, endpoint: EndpointRecord, now: int) -> None:
        """Halve the score, since messages are in time there."""
        endpoint.failure_score = self.failure_score(endpoint, now) / 2.0
        endpoint.failure_score_at = now

    def credit_prompt_setup(self, endpoint: EndpointRecord) -> None:
        """Reduce the score for a prompt set-up; if the connection is shed later, that counts as a failure."""
        endpoint.failure_score = max(0.0, endpoint.failure_score - PROMPT_SETUP_CREDIT)

    def forget(self, endpoint_id: int) -> None:
        """Remove an endpoint from those that are failing."""
        self.failing.pop(endpoint_id, None)

    def on_attempt_ended(
        self, endpoint: EndpointRecord, request: PendingRequest, ended: AttemptEnded, now: int
    ) -> bool:
        """Score an attempt or a connection that ended; return whether the endpoint failed.

        A timeout does not count if the attempt had very little time. An error from a second endpoint counts
        as the fault of the request.
        """
        outcome = ended.outcome
        if outcome not in FAILURES:
            return False
        if outcome is Outcome.TIMEOUT:
            if ended.elapsed < MIN_TIME_FRACTION * request.request_class.latency_objective:
                return False
        elif outcome is Outcome.ERROR and request.error_count > 1:
            return False
        self.add_failure(endpoint, now, self._failure_weight(endpoint, request, outcome, now))
        return True

    def _failure_weight(
        self, endpoint: EndpointRecord, request: PendingRequest, outcome: Outcome, now: int
    ) -> float:
        # The more endpoints fail, the weaker a timeout is as evidence: a service that they share may be slow.
        healthy = self.healthy_fraction(now)
        if request.established and now - request.established_at > SHEDDING_WINDOW:
            # The remaining connections are evidence that the endpoint is healthy.
            return 1.0 / (1.0 + len(endpoint.established))
        if outcome is Outcome.TIMEOUT:
            return healthy
        return ANSWERED_FAILURE_WEIGHT if outcome in (Outcome.REJECTED, Outcome.ERROR) else 1.0

    def healthy_fraction(self, now: int) -> float:
        """Return the healthy part of the ready endpoints; with more endpoints it is assessed less often."""
        known = len(self.requests.serving) + len(self.failing)
        if now - self._assessed_at >= SECOND // 10 + known * SECOND // 1000:
            self._assess(now)
        return self.healthy

    def _assess(self, now: int) -> None:
        """Reassess the healthy part.

        Guards against sending clients from one endpoint to the next while all are full: one of many proxies
        has evidence only of endpoints where it has connections, so it judges the others by these.
        """
        self._assessed_at = now
        score, usable = self.failure_score, self.endpoints.is_usable
        serving, shares, zone = self.requests.serving, self.shares, self.settings.zone
        scores = [score(endpoint, now) for endpoint in serving.values()]
        self.baseline_score = max(0.0, sum(scores) / len(scores) - TOLERATED_MEAN) if scores else 0.0
        self.failing = {n: e for n, e in self.failing.items() if score(e, now) > 0.0}
        observed = [e for e in (serving | self.failing).values() if usable(e)]
        failing = [e for e in observed if score(e, now) > 0.0]
        failing_share, failing_local = sum(e.share for e in failing), sum(e.zone == zone for e in failing)
        if self.baseline_score > 0.0:  # then endpoints without evidence count as failing too
            failing_share += shares.total - sum(e.share for e in observed)
            failing_local += shares.local_count - sum(e.zone == zone for e in observed)
        self.healthy = 1.0 - failing_share / max(1, shares.total)
        local_healthy = 1.0 - failing_local / max(1, shares.local_count)
        if abs(local_healthy - shares.local_healthy_fraction) > ZONE_HEALTH_STEP:
            shares.local_healthy_fraction = local_healthy
            shares.outdated = True

    def unavailable_count(self, now: int) -> int:
        """Return how many listed endpoints get little or no traffic: not ready, cordoned or ejected."""
        usable = self.endpoints.is_usable
        listed = [e for e in self.endpoints.by_id.values() if e.state is not EndpointState.REMOVED]
        ready = [e for e in listed if usable(e)]
        # Endpoints without evidence of their own are ejected only by the baseline.
        suspects = ready if self.baseline_score >= EJECTED_SCORE else filter(usable, self.failing.values())
        ejected = sum(self.failure_score(endpoint, now) >= EJECTED_SCORE for endpoint in suspects)
        return len(listed) - len(ready) + ejected
