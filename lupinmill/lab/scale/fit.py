"""Fits of a figure by size. Pure.

Errors of such figures grow with them, so all fits are of relative errors. A line fits where the mean at each
size lies within `WITHIN` of it, or within what seeds differ by; three sizes at least, as two always fit."""

from __future__ import annotations

import numpy as np

from lupinmill.lab.scale.measured import Fit, Point

WITHIN = 0.15  # of the mean at a size
SPREADS = 2.0  # standard deviations between seeds
LEAST = 1e-12
NOISE = 1e-9  # part of a value below which a figure is the arithmetic's own, which differs between machines


def by_size(points: list[Point]) -> dict[float, list[float]]:
    found: dict[float, list[float]] = {}
    for point in sorted(points, key=lambda point: point.size):
        found.setdefault(point.size, []).append(point.mean)
    return found


def polynomial(sizes: np.ndarray, values: np.ndarray, degree: int) -> np.ndarray:
    """Coefficients, the lowest power first. Sizes are scaled, as squares of 20,000 lose digits."""
    scale = float(sizes.max()) or 1.0
    weights = 1 / np.maximum(np.abs(values), max(LEAST, float(np.abs(values).max()) * 1e-3))
    columns = np.stack([(sizes / scale) ** power for power in range(degree + 1)], axis=1)
    found, *_ = np.linalg.lstsq(columns * weights[:, None], values * weights, rcond=None)
    return found / scale ** np.arange(degree + 1)


def exponent(sizes: np.ndarray, values: np.ndarray) -> float:
    """Of the best fit `a * size**power`; 0 where a value is not above 0."""
    if np.any(values <= 0) or np.any(sizes <= 0):
        return 0.0
    return float(np.polyfit(np.log(sizes), np.log(values), 1)[0])


def without_noise(value: float, compared: float) -> float:
    return value if abs(value) > NOISE * abs(compared) else 0.0


def fit(points: list[Point]) -> Fit | None:
    """None where there is one size. Where `straight`, `curvature` is 0: none was seen beyond the noise.
    Where not, it is that of the best parabola, and intercept and slope are those of the line that misses."""
    rows = by_size(points)
    if len(rows) < 2:
        return None
    sizes = np.array([size for size, values in rows.items() for _ in values])
    values = np.array([value for found in rows.values() for value in found])
    line = polynomial(sizes, values, 1)
    straight = len(rows) >= 3
    for size, found in rows.items():
        mean = float(np.mean(found))
        spread = float(np.std(found, ddof=1)) if len(found) > 1 else 0.0
        apart = abs(line[0] + line[1] * size - mean)
        straight &= bool(apart <= max(WITHIN * abs(mean), SPREADS * spread, LEAST))
    curvature = 0.0
    if not straight and len(rows) >= 3:
        curvature = float(polynomial(sizes, values, 2)[2])
    residual = float(np.sqrt(np.mean((line[0] + line[1] * sizes - values) ** 2)))
    largest = float(np.abs(values).max())
    return Fit(
        without_noise(float(line[0]), largest),
        without_noise(float(line[1]), largest / float(sizes.max() or 1.0)),
        curvature,
        without_noise(residual, largest),
        float(sizes.min()),
        float(sizes.max()),
        straight,
        without_noise(exponent(sizes, values), 1.0),
    )
