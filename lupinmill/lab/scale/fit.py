"""Least-squares fits of a figure by size. Free of I/O.

Measurement errors grow with the figure, so fits minimise relative errors. A line fits where the mean at each
size lies within `RELATIVE_TOLERANCE` of it, or within the deviation between seeds. It needs at least three
sizes, as two always fit."""

from __future__ import annotations

import numpy as np

from lupinmill.lab.scale.measured import Fit, Point

RELATIVE_TOLERANCE = 0.15  # part of the mean at a size
TOLERATED_DEVIATIONS = 2.0  # standard deviations between seeds
ABSOLUTE_TOLERANCE = 1e-12
ROUNDING_NOISE = 1e-9  # part of a value; smaller figures are rounding errors, which differ between machines


def means_by_size(points: list[Point]) -> dict[float, list[float]]:
    found: dict[float, list[float]] = {}
    for point in sorted(points, key=lambda point: point.size):
        found.setdefault(point.size, []).append(point.mean)
    return found


def fit_polynomial(sizes: np.ndarray, values: np.ndarray, degree: int) -> np.ndarray:
    """Coefficients, the lowest power first. Sizes are scaled, because squares of 20,000 lose digits."""
    scale = float(sizes.max()) or 1.0
    weights = 1 / np.maximum(np.abs(values), max(ABSOLUTE_TOLERANCE, float(np.abs(values).max()) * 1e-3))
    columns = np.stack([(sizes / scale) ** power for power in range(degree + 1)], axis=1)
    found, *_ = np.linalg.lstsq(columns * weights[:, None], values * weights, rcond=None)
    return found / scale ** np.arange(degree + 1)


def fit_exponent(sizes: np.ndarray, values: np.ndarray) -> float:
    """Exponent of the best fit `a * size**power`; 0 where a value or size is not positive."""
    if np.any(values <= 0) or np.any(sizes <= 0):
        return 0.0
    return float(np.polyfit(np.log(sizes), np.log(values), 1)[0])


def without_noise(value: float, compared: float) -> float:
    return value if abs(value) > ROUNDING_NOISE * abs(compared) else 0.0


def fit(points: list[Point]) -> Fit | None:
    """Fits a line; None for a single size.

    Where `straight`, `curvature` is 0: none was seen beyond the noise. Otherwise it is that of the best
    parabola, and intercept and slope are those of the line that does not fit."""
    rows = means_by_size(points)
    if len(rows) < 2:
        return None
    sizes = np.array([size for size, values in rows.items() for _ in values])
    values = np.array([value for found in rows.values() for value in found])
    line = fit_polynomial(sizes, values, 1)
    straight = len(rows) >= 3
    for size, found in rows.items():
        mean = float(np.mean(found))
        spread = float(np.std(found, ddof=1)) if len(found) > 1 else 0.0
        apart = abs(line[0] + line[1] * size - mean)
        straight &= bool(
            apart <= max(RELATIVE_TOLERANCE * abs(mean), TOLERATED_DEVIATIONS * spread, ABSOLUTE_TOLERANCE)
        )
    curvature = 0.0
    if not straight and len(rows) >= 3:
        curvature = float(fit_polynomial(sizes, values, 2)[2])
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
        without_noise(fit_exponent(sizes, values), 1.0),
    )
