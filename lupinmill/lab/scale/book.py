"""Points of figures as runs give them, and the figures made of them. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import mean, median

from lupinmill.lab.scale.fit import fit
from lupinmill.lab.scale.measured import Figure, Point


@dataclass(frozen=True, slots=True)
class Key:
    role: str
    name: str
    unit: str
    grows_with: str
    day: str
    cpu: bool = False  # told beside as turns of the reference loop


@dataclass(slots=True)
class Row:
    """One point, and the reference loop as it was beside that run, in microseconds."""

    key: Key
    point: Point
    reference: float
    note: str = ""


@dataclass
class Book:
    rows: dict[Key, list[Row]] = field(default_factory=dict)
    partial: list[str] = field(default_factory=list)

    def add(self, rows: list[Row]) -> None:
        for row in rows:
            self.rows.setdefault(row.key, []).append(row)

    def reference(self) -> float:
        found = [row.reference for rows in self.rows.values() for row in rows if row.reference]
        return median(found) if found else 0.0

    def figures(self) -> list[Figure]:
        found = []
        for key, rows in self.rows.items():
            rows = sorted(rows, key=lambda row: (row.point.size, row.point.seed))
            points = [row.point for row in rows]
            last = [row for row in rows if row.point.size == points[-1].size and row.reference]
            relative = 0.0
            if key.cpu and last:
                relative = mean(row.point.mean * 1e6 / row.reference for row in last)
            note = "; ".join(dict.fromkeys(row.note for row in rows if row.note))
            figure = Figure(
                key.role, key.name, key.unit, key.grows_with, key.day, points, fit(points), note, relative
            )
            found.append(figure)
        return found


def line(figure: Figure) -> str:
    """One row of the table: sizes, mean and peak at the largest, fit, residual, range."""
    sizes = sorted({point.size for point in figure.points})
    last = [point for point in figure.points if point.size == sizes[-1]]
    text = (
        f"{figure.role:<9} {figure.name:<20} {figure.day:<13} {figure.unit:<14} "
        f"by {figure.grows_with}: {', '.join(f'{size:g}' for size in sizes)}; at {sizes[-1]:g} mean "
        f"{mean(p.mean for p in last):.4g} ({min(p.mean for p in last):.4g} to "
        f"{max(p.mean for p in last):.4g})"
    )
    if any(point.peak for point in last):
        text += f", peak {max(point.peak for point in last):.4g}"
    if figure.fit is not None:
        one = figure.fit
        text += f"; power {one.power:.2f}, "
        if one.straight:
            text += f"line {one.intercept:.4g} + {one.slope:.4g} N from {one.first:g} to {one.last:g}"
        else:
            text += f"no straight line fits (curvature {one.curvature:.3g}): not extended beyond {one.last:g}"
        text += f", residual {one.residual:.3g}"
    if figure.relative:
        text += f"; {figure.relative:.4g} turns of the reference loop"
    return text
