"""Statistical gates: whether changed proxies perform worse than the others, with a bounded false alarm rate.

Each second gives four metrics of a group of proxies: the share of connection set-ups that failed, the share
that was rejected, connections reset as a share of those established, and the mean logarithm of the set-up
times. The metric of the changed group minus that of the other group is ranked among the same differences in
the seconds before the change and in those since.

If all these seconds are exchangeable, the ranks are uniform, and a bet against high ranks grows a stake of
one to 1/alpha with probability at most alpha, however often it is checked (Ville 1939; Vovk and others,
conformal test martingales). Bets of several sizes and on the four metrics are averaged: an average of
martingales is a martingale.
"""

from __future__ import annotations

import bisect
import math
import random
from collections import deque
from collections.abc import Collection

import msgspec

BASELINE_SECONDS = 60  # length of the baseline before the change
BASELINE_MIN = 20  # a metric with values in fewer seconds of the baseline is not judged
HISTORY_MAX = 300  # seconds kept for each proxy
# Values of epsilon in the power martingale epsilon * p ** (epsilon - 1); several, as fault sizes are unknown.
BET_SIZES = (0.05, 0.2, 0.4, 0.6, 0.8)
LOG_WEALTH_MIN = -60.0  # lower bound, so that a stake can recover
LOG_WEALTH_MAX = 300.0  # upper bound in sums: beyond any alarm threshold, and exp() does not overflow
RANK_MIN = 1e-12  # lower bound of a p-value, so that its logarithm is finite

METRICS = ("failed", "refused", "resets", "slower")  # as alarms name them; refused = ``rejected``


class Counters(msgspec.Struct, array_like=True, frozen=True):
    """Totals of one process since its start; the order of fields is the wire format."""

    setups: int = 0  # connection requests with a final answer
    failed: int = 0
    rejected: int = 0
    resets: int = 0  # established connections that broke
    established: int = 0  # at the time of the report
    successes: int = 0
    setup_log_sum: float = 0.0  # of the natural logarithms of set-up times in milliseconds


_COUNTED = ("setups", "failed", "rejected", "resets", "successes", "setup_log_sum")


class Interval:
    """The activity of one proxy, or of several together, in one second."""

    __slots__ = ("established", "failed", "rejected", "resets", "setup_log_sum", "setups", "successes")

    def __init__(self) -> None:
        self.setups = self.failed = self.rejected = self.resets = self.established = self.successes = 0
        self.setup_log_sum = 0.0

    def add(self, other: Interval) -> None:
        """Add the counts of another interval."""
        for name in self.__slots__:
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def metric(self, name: str) -> float | None:
        """The value of one of ``METRICS``, or None if there is no data for it."""
        match name:
            case "slower":
                return self.setup_log_sum / self.successes if self.successes else None
            case "resets":
                total = self.established + self.resets
                return self.resets / total if total else None
            case "refused":
                return self.rejected / self.setups if self.setups else None
            case _:
                return self.failed / self.setups if self.setups else None


class CounterHistory:
    """The activity of each proxy in each of the last seconds."""

    def __init__(self) -> None:
        self._last: dict[str, tuple[int, Counters]] = {}
        self._intervals: dict[str, deque[tuple[int, Interval]]] = {}

    def record(self, second: int, proxy: str, started_at: int, counters: Counters) -> None:
        """Record a report; its increase over the previous one counts for the second in which it arrived.

        The first report of a process does not count, since the period that it covers is unknown.
        """
        before = self._last.get(proxy)
        self._last[proxy] = started_at, counters
        if before is None or before[0] != started_at:
            return
        interval = Interval()
        for name in _COUNTED:
            increase = getattr(counters, name) - getattr(before[1], name)
            setattr(interval, name, max(0, increase) if name != "setup_log_sum" else increase)
        interval.established = counters.established
        rows = self._intervals.setdefault(proxy, deque(maxlen=HISTORY_MAX))
        if rows and rows[-1][0] == second:
            rows[-1][1].add(interval)
        else:
            rows.append((second, interval))

    def sums(self, proxies: Collection[str], first: int, end: int) -> dict[int, Interval]:
        """The combined activity of these proxies in each second from ``first`` to before ``end``."""
        totals: dict[int, Interval] = {}
        for proxy in proxies:
            for second, interval in self._intervals.get(proxy, ()):
                if first <= second < end:
                    totals.setdefault(second, Interval()).add(interval)
        return totals


class Martingale:
    """The bets on one metric; their wealth grows while the changed group performs worse."""

    def __init__(self, baseline: list[float]) -> None:
        self._sorted = sorted(baseline)
        self.log_wealth = [0.0] * len(BET_SIZES)

    def bet(self, difference: float, draw: float) -> None:
        """Bet on the rank of one second's difference; ``draw``, uniform in [0, 1], breaks ties."""
        low = bisect.bisect_left(self._sorted, difference)
        high = bisect.bisect_right(self._sorted, difference)
        size = len(self._sorted) + 1
        rank = (len(self._sorted) - high + draw * (high - low + 1)) / size
        bisect.insort(self._sorted, difference)
        for n, epsilon in enumerate(BET_SIZES):
            gain = math.log(epsilon) + (epsilon - 1.0) * math.log(max(rank, RANK_MIN))
            self.log_wealth[n] = max(LOG_WEALTH_MIN, self.log_wealth[n] + gain)

    @property
    def wealth(self) -> float:
        """What a stake of one has grown to."""
        return sum(math.exp(min(x, LOG_WEALTH_MAX)) for x in self.log_wealth) / len(BET_SIZES)


class Gate:
    """A comparison of changed proxies with unchanged ones."""

    def __init__(
        self,
        history: CounterHistory,
        changed: Collection[str],
        unchanged: Collection[str],
        change_second: int,
        since: int,
    ) -> None:
        """``change_second``: when the first proxy went out; the baseline ends before it. ``since``: the first
        second of this comparison. Without ``unchanged`` proxies, the changed ones are compared with their own
        baseline."""
        self._history = history
        self._changed, self._unchanged = frozenset(changed), frozenset(unchanged)
        self._next_second = since
        baseline = self._differences(change_second - BASELINE_SECONDS, change_second)
        self.martingales = {
            name: Martingale(values) for name, values in baseline.items() if len(values) >= BASELINE_MIN
        }

    def _differences(self, first: int, end: int) -> dict[str, list[float]]:
        changed = self._history.sums(self._changed, first, end)
        unchanged = self._history.sums(self._unchanged, first, end)
        differences: dict[str, list[float]] = {name: [] for name in METRICS}
        for second, interval in sorted(changed.items()):
            other = unchanged.get(second)
            if self._unchanged and other is None:
                continue
            for name, values in differences.items():
                changed_value, other_value = (
                    interval.metric(name),
                    other.metric(name) if other is not None else 0.0,
                )
                if changed_value is not None and other_value is not None:
                    values.append(changed_value - other_value)
        return differences

    def update(self, end: int, rnd: random.Random) -> None:
        """Bet on the completed seconds, those before ``end``."""
        if end <= self._next_second:
            return
        for name, values in self._differences(self._next_second, end).items():
            if name in self.martingales:
                for value in values:
                    self.martingales[name].bet(value, rnd.random())
        self._next_second = end

    def inherit_wealth(self, former: Gate) -> None:
        """Continue with the wealth of an earlier gate of the same wave, which compared other groups."""
        for name, martingale in former.martingales.items():
            if name in self.martingales:
                self.martingales[name].log_wealth = list(martingale.log_wealth)

    @property
    def has_baseline(self) -> bool:
        """Whether there was enough data before the change to compare with."""
        return bool(self.martingales)

    @property
    def wealth(self) -> float:
        """The average wealth of the bets; 1/alpha or more is an alarm."""
        if not self.martingales:
            return 1.0
        return sum(martingale.wealth for martingale in self.martingales.values()) / len(self.martingales)

    @property
    def worst_metric(self) -> str:
        """The metric with the most wealth; empty if none is judged."""
        return max(self.martingales, key=lambda name: self.martingales[name].wealth, default="")
