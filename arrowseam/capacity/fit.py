"""Costs as a function of size: least squares in the one form that the code gives reason for, with intervals.

It owns the fits and their test: the largest size is held out, the rest predicts it, and where that is missed
by more than a fifth the form is called wrong. It must never choose a form by how well it fits. numpy and
scipy are imported here, and nowhere else in the program, when the first fit is made.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

LEVEL = 0.95  # of the intervals
MISSED = 0.2  # by more the form is wrong
FORMS = ("constant", "log", "linear", "nlogn")


def shape(form: str, x: float) -> float:
    """What the slope multiplies."""
    match form:
        case "constant":
            return 0.0
        case "log":
            return math.log(x)
        case "linear":
            return x
        case "nlogn":
            return x * math.log(x)
    raise ValueError(f"no form is called {form}")


@dataclass(frozen=True)
class Value:
    """A figure and its interval, in the unit of its series."""

    at: float
    low: float
    high: float

    def times(self, other: float | Value) -> Value:
        """With all ends of both; for figures that are not below 0."""
        if isinstance(other, Value):
            return Value(self.at * other.at, max(0.0, self.low) * max(0.0, other.low), self.high * other.high)
        return Value(self.at * other, self.low * other, self.high * other)

    def plus(self, other: float | Value) -> Value:
        if isinstance(other, Value):
            return Value(self.at + other.at, self.low + other.low, self.high + other.high)
        return Value(self.at + other, self.low + other, self.high + other)


@dataclass(frozen=True)
class Line:
    """y = base + slope * shape(x); the interval of its mean from the covariance and Student's t."""

    form: str
    base: float
    slope: float
    spread: tuple[tuple[float, float], tuple[float, float]]  # covariance of base and slope
    t: float

    def __call__(self, x: float) -> Value:
        g = shape(self.form, x)
        at = self.base + self.slope * g
        (bb, bs), (_, ss) = self.spread
        half = self.t * math.sqrt(max(0.0, bb + 2 * g * bs + g * g * ss))
        return Value(max(0.0, at), max(0.0, at - half), max(0.0, at + half))

    @property
    def slope_within(self) -> tuple[float, float]:
        half = self.t * math.sqrt(max(0.0, self.spread[1][1]))
        return self.slope - half, self.slope + half


@dataclass(frozen=True)
class Fit:
    line: Line  # through all sizes
    sizes: int
    most: float  # the largest size measured
    measured: float  # the mean there
    predicted: float  # from the other sizes
    missed: float  # by what part of the measured mean

    @property
    def wrong(self) -> bool:
        return self.missed > MISSED


def _line(form: str, samples: Sequence[tuple[float, float]]) -> Line:
    """Weighted by the mean of each size: the spread grows with the cost, and no decade outweighs another."""
    import numpy as np
    from scipy import stats

    by: defaultdict[float, list[float]] = defaultdict(list)
    for x, y in samples:
        by[x].append(y)
    most = max(y for _, y in samples)
    if most == 0.0:
        return Line(form, 0.0, 0.0, ((0.0, 0.0), (0.0, 0.0)), 0.0)
    xs = np.array([shape(form, x) for x, _ in samples])
    ys = np.array([y for _, y in samples])
    # Where a mean is nothing, a thousandth of the most stands in: no weight is without end.
    weights = np.array([1 / max(sum(by[x]) / len(by[x]), most / 1000) for x, _ in samples])
    degree = 0 if form == "constant" else 1
    found, spread = np.polyfit(xs, ys, degree, w=weights, cov=True)
    t = float(stats.t.ppf((1 + LEVEL) / 2, len(samples) - degree - 1))
    if degree == 0:
        return Line(form, float(found[0]), 0.0, ((float(spread[0][0]), 0.0), (0.0, 0.0)), t)
    cross = float(spread[0][1])
    covariance = ((float(spread[1][1]), cross), (cross, float(spread[0][0])))
    return Line(form, float(found[1]), float(found[0]), covariance, t)


def fit(form: str, samples: Sequence[tuple[float, float]]) -> Fit:
    """At least four sizes; raises ValueError."""
    sizes = sorted({x for x, _ in samples})
    if len(sizes) < 4 or sizes[0] <= 0:  # three for the line, or its spread is unknown, and one held out
        raise ValueError("a fit wants four sizes above 0")
    most = sizes[-1]
    held = [y for x, y in samples if x == most]
    measured = sum(held) / len(held)
    predicted = _line(form, [(x, y) for x, y in samples if x != most])(most).at
    off = abs(predicted - measured)
    missed = off / measured if measured else math.inf if off else 0.0
    return Fit(_line(form, samples), len(sizes), most, measured, predicted, missed)
