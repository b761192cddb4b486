"""Slow start: how much an endpoint is sent while it warms up, or while it has a failure score."""

from __future__ import annotations

from collections.abc import Callable

from arrowseam.balancer.arrivals import ArrivalRates
from arrowseam.balancer.endpoints import EndpointRecord
from arrowseam.balancer.outliers import OutlierDetector
from arrowseam.balancer.settings import Rules, Settings
from arrowseam.balancer.shares import EndpointShares
from arrowseam.balancer.units import SECOND

QUOTA_FRACTION = 0.82  # the tenants' quotas add up to about this part of what all endpoints can carry
# A surge: so many arrivals in the overload window, and so many times the usual. With fewer it may be chance.
SURGE_ARRIVALS, SURGE_RATIO = 2.0, 1.5
MIN_BUCKET = 0.05  # connections in the overload window; a smaller part of a proxy is no bucket, but a chance
BURST_FRACTION = 0.25  # of what an endpoint may be sent in the overload window, what may be saved up
LIKELY_MULTIPLE = 1.5  # how much better than the slowest allowed an endpoint is likely to warm up


def warm_up_fraction(endpoint: EndpointRecord, now: int, rules: Rules) -> float:
    """Return the part of its capacity that an endpoint surely has, by its age."""
    age = max(0, now - endpoint.warming_since)
    if age >= rules.warm_up_time:
        return 1.0
    cold = rules.cold_capacity_fraction
    return cold + (1.0 - cold) * age / rules.warm_up_time


def likely_fraction(endpoint: EndpointRecord, now: int, rules: Rules) -> float:
    """Return the part of its capacity that an endpoint likely has: most warm up sooner than the rules say."""
    age = max(0, now - endpoint.warming_since)
    if age >= rules.warm_up_time:
        return 1.0
    cold = min(1.0, LIKELY_MULTIPLE * rules.cold_capacity_fraction)
    return min(1.0, cold + (1.0 - cold) * LIKELY_MULTIPLE * age / rules.warm_up_time)


class SlowStart:
    """Admission to endpoints that are warming up or failing, by a token bucket at each proxy.

    Guards against retry storms: clients that were cut off arrive again at once, and an endpoint that spends
    its capacity on set-ups that it must drop never recovers. A proxy's part is often a small fraction of a
    connection. It accrues with time and is spent as the chance to send one, whether that is won or lost, so
    that over all proxies the expected sum is what accrued.
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
        """Take over settings."""
        self.settings, self.rules = settings, settings.rules
        # New connections a microsecond that all endpoints take, from all proxies; 0 = no quota is stated.
        self.total_rate = sum(t.rate_quota for t in settings.tenants) / QUOTA_FRACTION / SECOND

    def limits(self, endpoint: EndpointRecord, now: int) -> bool:
        """Return whether the endpoint is sent less than its share now."""
        if self.outliers.failure_score(endpoint, now) > 0.0:
            return True
        return endpoint.warming_since > 0 and warm_up_fraction(endpoint, now, self.rules) < 1.0

    def admits(self, endpoint: EndpointRecord, is_new: bool, now: int) -> bool:
        """Return whether a request, a new one or not, may be sent there; this spends tokens.

        While little fails, an endpoint runs at no more than about half of what it can do. So its usual
        traffic is that much further from its limit, and what it may be sent grows with the healthy part.
        """
        score = self.outliers.failure_score(endpoint, now)
        warm = warm_up_fraction(endpoint, now, self.rules) if endpoint.warming_since > 0 else 1.0
        if score <= 0.0 and warm >= 1.0:
            return True
        part: float = 0.5 ** float(score)
        if warm < 1.0:
            part *= self.rules.overload_multiple * warm
            if is_new:
                return self._admits_new(endpoint, part, now)
            part *= 1.0 + self.outliers.healthy_fraction(now)
        if is_new:
            return self.random() < part
        rate = part * endpoint.share / self.shares.total * self.arrivals.usual_rate()
        accrued = max(0.0, endpoint.tokens) + rate * (now - endpoint.tokens_at)
        tokens = min(max(part, rate * self.rules.overload_window), accrued)
        endpoint.tokens_at = now
        endpoint.tokens = max(0.0, tokens - 1.0)
        return self.random() < tokens

    def _admits_new(self, endpoint: EndpointRecord, part: float, now: int) -> bool:
        """Return whether a new request goes to a warming endpoint that may have ``part`` of its warm traffic.

        Guards against a surge, which is on its way to all proxies at once before anything fails by it.
        """
        window = self.rules.overload_window
        usual, current = self._arrival_rates(window)
        healthy = self.outliers.healthy_fraction(now)
        own = self._own_rate(part, endpoint)
        if own * window < MIN_BUCKET:
            # Arrivals are not spread evenly over so many proxies: to keep each to its part would leave most
            # of it unused, and chance is several times what one may send. All see the same surge.
            return self.random() < part * (1.0 + (healthy if self.total_rate else 0.0)) * usual / current
        part *= 1.0 + healthy
        if self.arrivals.observed >= window:
            part = min(part, own / (endpoint.share / self.shares.total * current))
        start = endpoint.tokens if endpoint.tokens >= 0.0 else max(0.0, 1.0 - own * window)
        tokens = min(max(1.0, own * window * BURST_FRACTION), start + own * (now - endpoint.tokens_at))
        endpoint.tokens_at = now
        sent = self.random() < min(part, tokens)
        endpoint.tokens = max(0.0, tokens - sent)
        return sent

    def _own_rate(self, part: float, endpoint: EndpointRecord) -> float:
        """Return connections a microsecond: this proxy's part of what all may send, by weight."""
        usable_weight = max(1, self.shares.usable_weight)
        return part * self.total_rate * endpoint.weight / usable_weight / self.settings.proxy_count

    def _arrival_rates(self, window: int) -> tuple[float, float]:
        """Return the usual rate of arrivals and the current one, which differs in a surge only."""
        arrivals = self.arrivals
        usual, current = arrivals.usual_rate(), arrivals.recent_count / window
        surge = arrivals.recent_count >= SURGE_ARRIVALS and current >= SURGE_RATIO * usual
        return usual, current if surge and arrivals.observed >= window else usual
