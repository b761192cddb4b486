"""Cost as a function of size: least-squares fits with confidence intervals.

The form of a fit follows from the code that is measured and is never chosen by how well it fits. Each fit is
tested: the largest size is held out and predicted from the others, and if the prediction is off by more than
a fifth, the form is called wrong. numpy and scipy are imported only in this module, at the first fit.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

CONFIDENCE = 0.95  # of the intervals
MAX_RELATIVE_ERROR = 0.2  # above this error at the held-out size the form is wrong
FORMS = ("constant", "log", "linear", "nlogn")


def regressor(form: str, x: float) -> float:
    """The regressor of a form at size ``x``: the value that the slope multiplies."""
    match form:
        case "constant":
            return 0.0
        case "log":
            return math.log(x)
        case "linear":
            return x
        case "nlogn":
            return x * math.log(x)
    raise ValueError(f"unknown form: {form}")


@dataclass(frozen=True)
class Estimate:
    """An estimate and its confidence interval, in the unit of its series."""

    value: float
    low: float
    high: float

    def multiply(self, other: float | Estimate) -> Estimate:
        """Multiplies value and bounds; for estimates that are not negative."""
        if isinstance(other, Estimate):
            return Estimate(
                self.value * other.value, max(0.0, self.low) * max(0.0, other.low), self.high * other.high
            )
        return Estimate(self.value * other, self.low * other, self.high * other)

    def add(self, other: float | Estimate) -> Estimate:
        if isinstance(other, Estimate):
            return Estimate(self.value + other.value, self.low + other.low, self.high + other.high)
        return Estimate(self.value + other, self.low + other, self.high + other)


@dataclass(frozen=True)
class FittedLine:
    """y = intercept + slope * regressor(x), with an interval from the covariance and Student's t."""

    form: str
    intercept: float
    slope: float
    covariance: tuple[tuple[float, float], tuple[float, float]]  # of intercept and slope
    t_quantile: float

    def __call__(self, x: float) -> Estimate:
        term = regressor(self.form, x)
        value = self.intercept + self.slope * term
        (bb, bs), (_, ss) = self.covariance
        half_width = self.t_quantile * math.sqrt(max(0.0, bb + 2 * term * bs + term * term * ss))
        return Estimate(max(0.0, value), max(0.0, value - half_width), max(0.0, value + half_width))

    @property
    def slope_interval(self) -> tuple[float, float]:
        half_width = self.t_quantile * math.sqrt(max(0.0, self.covariance[1][1]))
        return self.slope - half_width, self.slope + half_width


@dataclass(frozen=True)
class Fit:
    line: FittedLine  # through all sizes
    sizes: int
    largest_size: float  # that was measured
    measured: float  # mean cost at the largest size
    predicted: float  # at the largest size, from the others
    relative_error: float  # of the prediction, relative to the measured mean

    @property
    def is_wrong(self) -> bool:
        return self.relative_error > MAX_RELATIVE_ERROR


def _fit_line(form: str, samples: Sequence[tuple[float, float]]) -> FittedLine:
    """Weights by the inverse of each size's mean: the spread grows with the cost, and no decade dominates."""
    import numpy as np
    from scipy import stats

    by_size: defaultdict[float, list[float]] = defaultdict(list)
    for x, y in samples:
        by_size[x].append(y)
    largest_cost = max(y for _, y in samples)
    if largest_cost == 0.0:
        return FittedLine(form, 0.0, 0.0, ((0.0, 0.0), (0.0, 0.0)), 0.0)
    xs = np.array([regressor(form, x) for x, _ in samples])
    ys = np.array([y for _, y in samples])
    # Means near 0 count as a thousandth of the largest cost, so that no weight is infinite.
    weights = np.array([1 / max(sum(by_size[x]) / len(by_size[x]), largest_cost / 1000) for x, _ in samples])
    degree = 0 if form == "constant" else 1
    coefficients, cov_matrix = np.polyfit(xs, ys, degree, w=weights, cov=True)
    t_quantile = float(stats.t.ppf((1 + CONFIDENCE) / 2, len(samples) - degree - 1))
    if degree == 0:
        return FittedLine(
            form, float(coefficients[0]), 0.0, ((float(cov_matrix[0][0]), 0.0), (0.0, 0.0)), t_quantile
        )
    cross = float(cov_matrix[0][1])
    covariance = ((float(cov_matrix[1][1]), cross), (cross, float(cov_matrix[0][0])))
    return FittedLine(form, float(coefficients[1]), float(coefficients[0]), covariance, t_quantile)


def fit(form: str, samples: Sequence[tuple[float, float]]) -> Fit:
    """Fits samples of at least four sizes, else raises ValueError."""
    sizes = sorted({x for x, _ in samples})
    if len(sizes) < 4 or sizes[0] <= 0:  # three for a line with a covariance, and one held out
        raise ValueError("a fit needs at least four sizes above 0")
    largest_size = sizes[-1]
    held_out = [y for x, y in samples if x == largest_size]
    measured = sum(held_out) / len(held_out)
    predicted = _fit_line(form, [(x, y) for x, y in samples if x != largest_size])(largest_size).value
    error = abs(predicted - measured)
    relative_error = error / measured if measured else math.inf if error else 0.0
    return Fit(_fit_line(form, samples), len(sizes), largest_size, measured, predicted, relative_error)
