"""A figure as a function of size: its value at a size, and the size at which it exceeds a budget. No I/O.

Values are measured at a size, or interpolated between two sizes. Values are extrapolated, and marked so, only
where a straight line fits all sizes (`fit.fit`), where the line without the last size predicts that one, and
up to `MAX_EXTRAPOLATION`. A curved figure is never extrapolated: it keeps the value at its last or first
size, and its budget is said to break over the last size or under the first."""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass, replace
from functools import lru_cache

from lupinmill.lab.scale import fit as fits
from lupinmill.lab.scale.measured import Point

FLAT_SLOPE = 1e-9  # part of the intercept; a smaller slope is a rounding error of the fit
MAX_EXTRAPOLATION = 10.0  # multiple of the last measured size beyond which no line is used
SIZE_TOLERANCE = 0.01  # part of a measured size within which a value counts as measured there
MEASURED, INTERPOLATED, EXTRAPOLATED, AT_LAST_SIZE, AT_FIRST_SIZE, COMPUTED = (
    "measured", "between sizes", "extended", "at the last size", "at the first size", "computed"
)  # fmt: skip
AT_THIS_SIZE = (MEASURED, COMPUTED)  # bases of a value at exactly the requested size


@dataclass(frozen=True, slots=True)
class Curve:
    """`line`: intercept and slope; None where no straight line fits."""

    sizes: tuple[float, ...]
    values: tuple[float, ...]
    line: tuple[float, float] | None = None

    def scaled(self, factor: float) -> Curve:
        line = None if self.line is None else (self.line[0] * factor, self.line[1] * factor)
        return Curve(self.sizes, tuple(amount * factor for amount in self.values), line)


@dataclass(frozen=True, slots=True)
class Usage:
    amount: float
    basis: str  # "measured", "between sizes", ...
    size: float = 0.0  # size at which the amount holds


@dataclass(frozen=True, slots=True)
class Bound:
    """The size at which a budget is exceeded.

    `kind`: "any" size; "at" `size`; "under" or "over" the measured range, which ends at `size`; "never";
    "unknown".
    """

    kind: str
    size: float = 0.0
    extrapolated: bool = False

    @property
    def sort_key(self) -> tuple[float, int]:
        if self.kind in ("any", "never", "unknown"):
            return (0.0 if self.kind == "any" else math.inf, int(self.kind == "unknown"))
        return (self.size, ("under", "at", "over").index(self.kind))

    def scaled(self, factor: float) -> Bound:
        return replace(self, size=self.size * factor)


ANY_SIZE, NEVER = Bound("any"), Bound("never")


def make_curve(points: list[Point], peaks: bool) -> Curve:
    """`peaks`: use the worst seed's peak at each size, as budgets break there; else the mean over seeds."""
    return fitted_curve(tuple((point.size, point.peak if peaks else point.mean) for point in points), peaks)


@lru_cache(4096)  # a page evaluates each curve some thirty times, as assumptions are varied
def fitted_curve(pairs: tuple[tuple[float, float], ...], worst: bool) -> Curve:
    rows: dict[float, list[float]] = {}
    for size, amount in pairs:
        rows.setdefault(size, []).append(amount)
    sizes = tuple(sorted(rows))
    values = tuple(max(rows[size]) if worst else statistics.fmean(rows[size]) for size in sizes)
    points = [Point(size, 0, amount) for size, amount in (zip(sizes, values) if worst else pairs)]
    found = fits.fit(points)
    straight = found is not None and found.straight and predicts_last_size(points)
    return Curve(sizes, values, (found.intercept, found.slope) if found and straight else None)


def predicts_last_size(points: list[Point]) -> bool:
    """Whether the line through the other sizes predicts the last one within the tolerance of a fit.

    Guards against slow curves: size**1.15 passes for straight from 100 to 3,000, but is one and a half times
    its line at 20,000.
    """
    last = max(point.size for point in points)
    there = [point.mean for point in points if point.size == last]
    found = fits.fit([point for point in points if point.size < last])
    if found is None:
        return False
    mean = statistics.fmean(there)
    spread = statistics.stdev(there) if len(there) > 1 else 0.0
    apart = abs(found.intercept + found.slope * last - mean)
    return apart <= max(fits.RELATIVE_TOLERANCE * abs(mean), fits.TOLERATED_DEVIATIONS * spread)


def value_at(curve: Curve, size: float) -> Usage:
    for known, amount in zip(curve.sizes, curve.values):
        if abs(size - known) <= SIZE_TOLERANCE * known:
            return Usage(amount, MEASURED, known)
    pairs = list(zip(curve.sizes, curve.values))
    for (before, low), (after, high) in zip(pairs, pairs[1:]):
        if before < size < after:
            return Usage(low + (high - low) * (size - before) / (after - before), INTERPOLATED, size)
    if curve.line is not None and size <= MAX_EXTRAPOLATION * curve.sizes[-1]:
        return Usage(max(0.0, curve.line[0] + curve.line[1] * size), EXTRAPOLATED, size)
    return (
        Usage(curve.values[-1], AT_LAST_SIZE, curve.sizes[-1])
        if size > curve.sizes[-1]
        else Usage(curve.values[0], AT_FIRST_SIZE, curve.sizes[0])
    )


def breaking_size(curve: Curve, budget: float) -> Bound:
    """The smallest size at which the figure exceeds the budget."""
    if curve.values[0] > budget:
        if curve.line is not None and curve.line[0] > budget:
            return ANY_SIZE
        if (
            curve.line is not None
            and 0 < curve.line[1]
            and (budget - curve.line[0]) / curve.line[1] < curve.sizes[0]
        ):
            return Bound("at", (budget - curve.line[0]) / curve.line[1], extrapolated=True)
        return Bound("under", curve.sizes[0])
    pairs = list(zip(curve.sizes, curve.values))
    for (before, low), (after, high) in zip(pairs, pairs[1:]):
        if high > budget:
            return Bound("at", before + (after - before) * (budget - low) / (high - low))
    if curve.line is None:
        return Bound("over", curve.sizes[-1])
    if curve.line[1] * curve.sizes[-1] <= FLAT_SLOPE * abs(curve.line[0]):
        return NEVER
    size, most = (budget - curve.line[0]) / curve.line[1], MAX_EXTRAPOLATION * curve.sizes[-1]
    if size > most:
        return Bound("over", most, extrapolated=True)
    return Bound("at", max(curve.sizes[-1], size), extrapolated=True)
