"""Collects the points that single runs measure and makes figures of them. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import mean, median

from lupinmill.lab.scale.fit import fit
from lupinmill.lab.scale.measured import Figure, Point


@dataclass(frozen=True, slots=True)
class FigureKey:
    role: str
    name: str
    unit: str
    grows_with: str
    day: str
    cpu: bool = False  # CPU time, also expressed in turns of the reference loop


@dataclass(slots=True)
class Sample:
    """One measured point, with the time of one turn of the reference loop during that run."""

    key: FigureKey
    point: Point
    reference_us: float
    note: str = ""


@dataclass
class SampleCollector:
    samples: dict[FigureKey, list[Sample]] = field(default_factory=dict)
    partial: list[str] = field(default_factory=list)

    def add(self, samples: list[Sample]) -> None:
        for sample in samples:
            self.samples.setdefault(sample.key, []).append(sample)

    def median_reference_us(self) -> float:
        found = [
            sample.reference_us
            for samples in self.samples.values()
            for sample in samples
            if sample.reference_us
        ]
        return median(found) if found else 0.0

    def figures(self) -> list[Figure]:
        found = []
        for key, samples in self.samples.items():
            samples = sorted(samples, key=lambda sample: (sample.point.size, sample.point.seed))
            points = [sample.point for sample in samples]
            last = [
                sample for sample in samples if sample.point.size == points[-1].size and sample.reference_us
            ]
            relative = 0.0
            if key.cpu and last:
                relative = mean(sample.point.mean * 1e6 / sample.reference_us for sample in last)
            note = "; ".join(dict.fromkeys(sample.note for sample in samples if sample.note))
            figure = Figure(
                key.role, key.name, key.unit, key.grows_with, key.day, points, fit(points), note, relative
            )
            found.append(figure)
        return found


def format_figure(figure: Figure) -> str:
    """One line of the printed table: sizes, mean and peak at the largest size, fit, residual and range."""
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
        fitted = figure.fit
        text += f"; power {fitted.power:.2f}, "
        if fitted.straight:
            text += (
                f"line {fitted.intercept:.4g} + {fitted.slope:.4g} N from {fitted.first:g} to {fitted.last:g}"
            )
        else:
            text += (
                f"no straight line fits (curvature {fitted.curvature:.3g}): not extended beyond "
                f"{fitted.last:g}"
            )
        text += f", residual {fitted.residual:.3g}"
    if figure.relative:
        text += f"; {figure.relative:.4g} turns of the reference loop"
    return text
