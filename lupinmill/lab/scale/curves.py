"""One figure by size: its value at another size, and the size at which a budget breaks. Pure.

A value is read off where it was measured, between two sizes by the line between them. Beyond them only where
a straight line fits all of them (`fit.fit`), the line without the last size foretells that one, and up to
`FAR`; then it says so. A curved figure is never extended: it has the value at its last size, and breaks over
it, or under the first."""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass, replace
from functools import lru_cache

from lupinmill.lab.scale import fit as fits
from lupinmill.lab.scale.measured import Point

FLAT = 1e-9  # part of the intercept: a fit's last digits are no slope
FAR = 10.0  # times the last size measured: no line is used beyond it
NEAR = 0.01  # part of a measured size within which a value counts as measured there
MEASURED, BETWEEN, EXTENDED, LAST, FIRST, COMPUTED = (
    "measured", "between sizes", "extended", "at the last size", "at the first size", "computed"
)  # fmt: skip
AT = (MEASURED, COMPUTED)  # the size that was asked for


@dataclass(frozen=True, slots=True)
class Curve:
    """`line`: intercept and slope, only where a straight line fits."""

    sizes: tuple[float, ...]
    values: tuple[float, ...]
    line: tuple[float, float] | None = None

    def times(self, factor: float) -> Curve:
        line = None if self.line is None else (self.line[0] * factor, self.line[1] * factor)
        return Curve(self.sizes, tuple(value * factor for value in self.values), line)


@dataclass(frozen=True, slots=True)
class Use:
    amount: float
    how: str
    size: float = 0.0  # that it was read at


@dataclass(frozen=True, slots=True)
class Bound:
    """The size at which a budget breaks. `kind`: "any" size; "at" `size`; "under" or "over" all that was
    measured, which ends at `size`; "never"; "unknown"."""

    kind: str
    size: float = 0.0
    extended: bool = False

    @property
    def order(self) -> tuple[float, int]:
        if self.kind in ("any", "never", "unknown"):
            return (0.0 if self.kind == "any" else math.inf, int(self.kind == "unknown"))
        return (self.size, ("under", "at", "over").index(self.kind))

    def times(self, factor: float) -> Bound:
        return replace(self, size=self.size * factor)


ANY, NEVER = Bound("any"), Bound("never")


def curve(points: list[Point], peaks: bool) -> Curve:
    """`peaks`: the worst seed's peak at each size, as budgets break there; else the mean over seeds."""
    return fitted(tuple((point.size, point.peak if peaks else point.mean) for point in points), peaks)


@lru_cache(4096)  # one page asks for each some thirty times, as assumptions are varied
def fitted(pairs: tuple[tuple[float, float], ...], worst: bool) -> Curve:
    rows: dict[float, list[float]] = {}
    for size, amount in pairs:
        rows.setdefault(size, []).append(amount)
    sizes = tuple(sorted(rows))
    values = tuple(max(rows[size]) if worst else statistics.fmean(rows[size]) for size in sizes)
    points = [Point(size, 0, amount) for size, amount in (zip(sizes, values) if worst else pairs)]
    found = fits.fit(points)
    straight = found is not None and found.straight and foretells(points)
    return Curve(sizes, values, (found.intercept, found.slope) if found and straight else None)


def foretells(points: list[Point]) -> bool:
    """Whether the line through the other sizes comes as close to the last one as a fit must. Guards against
    slow curves: size**1.15 passes for straight from 100 to 3,000, and is half as much again as its line at
    20,000."""
    last = max(point.size for point in points)
    there = [point.mean for point in points if point.size == last]
    found = fits.fit([point for point in points if point.size < last])
    if found is None:
        return False
    mean = statistics.fmean(there)
    spread = statistics.stdev(there) if len(there) > 1 else 0.0
    apart = abs(found.intercept + found.slope * last - mean)
    return apart <= max(fits.WITHIN * abs(mean), fits.SPREADS * spread)


def value(c: Curve, size: float) -> Use:
    for known, amount in zip(c.sizes, c.values):
        if abs(size - known) <= NEAR * known:
            return Use(amount, MEASURED, known)
    pairs = list(zip(c.sizes, c.values))
    for (before, low), (after, high) in zip(pairs, pairs[1:]):
        if before < size < after:
            return Use(low + (high - low) * (size - before) / (after - before), BETWEEN, size)
    if c.line is not None and size <= FAR * c.sizes[-1]:
        return Use(max(0.0, c.line[0] + c.line[1] * size), EXTENDED, size)
    return Use(c.values[-1], LAST, c.sizes[-1]) if size > c.sizes[-1] else Use(c.values[0], FIRST, c.sizes[0])


def breaks(c: Curve, budget: float) -> Bound:
    """The smallest size at which the figure is over it."""
    if c.values[0] > budget:
        if c.line is not None and c.line[0] > budget:
            return ANY
        if c.line is not None and 0 < c.line[1] and (budget - c.line[0]) / c.line[1] < c.sizes[0]:
            return Bound("at", (budget - c.line[0]) / c.line[1], extended=True)
        return Bound("under", c.sizes[0])
    pairs = list(zip(c.sizes, c.values))
    for (before, low), (after, high) in zip(pairs, pairs[1:]):
        if high > budget:
            return Bound("at", before + (after - before) * (budget - low) / (high - low))
    if c.line is None:
        return Bound("over", c.sizes[-1])
    if c.line[1] * c.sizes[-1] <= FLAT * abs(c.line[0]):
        return NEVER
    size, most = (budget - c.line[0]) / c.line[1], FAR * c.sizes[-1]
    if size > most:
        return Bound("over", most, extended=True)
    return Bound("at", max(c.sizes[-1], size), extended=True)
