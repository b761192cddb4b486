"""Slow start: admission to endpoints while they warm up or have a failure score."""

from __future__ import annotations

from collections.abc import Callable

from arrowseam.balancer.arrivals import ArrivalRates
from arrowseam.balancer.endpoints import EndpointRecord
from arrowseam.balancer.outliers import OutlierDetector
from arrowseam.balancer.settings import Rules, Settings
from arrowseam.balancer.shares import EndpointShares
from arrowseam.balancer.units import SECOND

QUOTA_FRACTION = 0.82  # the tenants' quotas add up to about this part of what all endpoints can carry
# A surge has at least this many arrivals in the overload window, and this many times the usual rate. With
# fewer arrivals it may be chance.
SURGE_ARRIVALS, SURGE_RATIO = 2.0, 1.5
MIN_BUCKET_SIZE = 0.05  # connections per overload window; below it a proxy admits at random, without a bucket
BURST_FRACTION = 0.25  # bucket size, as a part of what an endpoint may be sent in the overload window
EXPECTED_MULTIPLE = 1.5  # expected warm-up speed of an endpoint, relative to the slowest allowed


def warm_up_fraction(endpoint: EndpointRecord, now: int, rules: Rules) -> float:
    """Return the guaranteed part of its capacity that an endpoint has at its age."""
    age = max(0, now - endpoint.warming_since)
    if age >= rules.warm_up_time:
        return 1.0
    cold = rules.cold_capacity_fraction
    return cold + (1.0 - cold) * age / rules.warm_up_time


def expected_fraction(endpoint: EndpointRecord, now: int, rules: Rules) -> float:
    """Return the expected part of its capacity: most endpoints warm up faster than the rules guarantee."""
    age = max(0, now - endpoint.warming_since)
    if age >= rules.warm_up_time:
        return 1.0
    cold = min(1.0, EXPECTED_MULTIPLE * rules.cold_capacity_fraction)
    return min(1.0, cold + (1.0 - cold) * EXPECTED_MULTIPLE * age / rules.warm_up_time)


class SlowStart:
    """Admission to endpoints that are warming up or failing, by a token bucket at each proxy.

    Guards against retry storms: disconnected clients return at once, and an endpoint that spends its
    capacity on set-ups that it must drop never recovers. A proxy's tokens are often a small fraction of a
    connection. They accrue with time and are spent as the probability of sending one, whether or not it is
    sent, so that the expected sum over all proxies is what accrued.
    """

    def __init__(
        self,
        settings: Settings,
        random: Callable[[], float],
        outliers: OutlierDetector,
        arrivals: ArrivalRates,
        shares: EndpointShares,
    ) -> None:
        self.random = random
        self.outliers, self.arrivals, self.shares = outliers, arrivals, shares
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings, self.rules = settings, settings.rules
        # New connections per microsecond that all endpoints accept from all proxies; 0 = no quota is stated.
        self.total_rate = sum(tenant.rate_quota for tenant in settings.tenants) / QUOTA_FRACTION / SECOND

    def limits(self, endpoint: EndpointRecord, now: int) -> bool:
        """Return whether the endpoint currently gets less than its share."""
        if self.outliers.failure_score(endpoint, now) > 0.0:
            return True
        return endpoint.warming_since > 0 and warm_up_fraction(endpoint, now, self.rules) < 1.0

    def admits(self, endpoint: EndpointRecord, is_new: bool, now: int) -> bool:
        """Return whether a request (new or not) may be sent there; this spends tokens.

        While few endpoints fail, each runs at about half of its capacity at most. Its usual traffic is that
        much further from its limit, so what it may be sent grows with the healthy part.
        """
        score = self.outliers.failure_score(endpoint, now)
        warm_fraction = warm_up_fraction(endpoint, now, self.rules) if endpoint.warming_since > 0 else 1.0
        if score <= 0.0 and warm_fraction >= 1.0:
            return True
        fraction: float = 0.5 ** float(score)
        if warm_fraction < 1.0:
            fraction *= self.rules.overload_multiple * warm_fraction
            if is_new:
                return self._admits_new(endpoint, fraction, now)
            fraction *= 1.0 + self.outliers.healthy_fraction(now)
        if is_new:
            return self.random() < fraction
        rate = fraction * endpoint.share / self.shares.total * self.arrivals.usual_rate()
        accrued = max(0.0, endpoint.tokens) + rate * (now - endpoint.tokens_at)
        tokens = min(max(fraction, rate * self.rules.overload_window), accrued)
        endpoint.tokens_at = now
        endpoint.tokens = max(0.0, tokens - 1.0)
        return self.random() < tokens

    def _admits_new(self, endpoint: EndpointRecord, fraction: float, now: int) -> bool:
        """Return whether to send a new request to a warming endpoint, at this fraction of its warm traffic.

        Guards against a surge, which arrives at all proxies at once, before any endpoint fails.
        """
        window = self.rules.overload_window
        usual, current = self._arrival_rates(window)
        healthy = self.outliers.healthy_fraction(now)
        own_rate = self._own_rate(fraction, endpoint)
        if own_rate * window < MIN_BUCKET_SIZE:
            # Arrivals are not spread evenly over many proxies: limiting each to its part would leave most of
            # it unused, as random variation is several times that part. All proxies see the same surge.
            return self.random() < fraction * (1.0 + (healthy if self.total_rate else 0.0)) * usual / current
        fraction *= 1.0 + healthy
        if self.arrivals.observed >= window:
            fraction = min(fraction, own_rate / (endpoint.share / self.shares.total * current))
        initial_tokens = endpoint.tokens if endpoint.tokens >= 0.0 else max(0.0, 1.0 - own_rate * window)
        tokens = min(
            max(1.0, own_rate * window * BURST_FRACTION),
            initial_tokens + own_rate * (now - endpoint.tokens_at),
        )
        endpoint.tokens_at = now
        admitted = self.random() < min(fraction, tokens)
        endpoint.tokens = max(0.0, tokens - admitted)
        return admitted

    def _own_rate(self, fraction: float, endpoint: EndpointRecord) -> float:
        """Return this proxy's part of the rate that all proxies may send there, connections/microsecond."""
        usable_weight = max(1, self.shares.usable_weight)
        return fraction * self.total_rate * endpoint.weight / usable_weight / self.settings.proxy_count

    def _arrival_rates(self, window: int) -> tuple[float, float]:
        """Return the usual rate of arrivals and the current one; they differ only in a surge."""
        arrivals = self.arrivals
        usual, current = arrivals.usual_rate(), arrivals.recent_count / window
        surge = arrivals.recent_count >= SURGE_ARRIVALS and current >= SURGE_RATIO * usual
        return usual, current if surge and arrivals.observed >= window else usual
