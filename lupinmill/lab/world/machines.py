"""Draws the figures of a tier's endpoints: what all have in common, what each kind has, what one has."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TypeVar

import numpy as np

from lupinmill.lab.endpoint import EndpointSpec
from lupinmill.lab.scenario import Jam, Kind, Tier
from lupinmill.lab.world.random_streams import draw

T = TypeVar("T")
SLOWEST = 0.3  # of its kind's speed: the least that one machine has


@dataclass(frozen=True)
class TierFigures:
    """What all endpoints of a tier have in common."""

    spec: EndpointSpec
    connections_per_core: float


@dataclass(frozen=True)
class KindFigures:
    """What all endpoints of one kind have in common; `shape.speed` is their mean."""

    spec: EndpointSpec
    speed_cv: float


def spread(choices: list[T], shares: list[float], count: int) -> list[T]:
    """So many of the choices, each by its share and spread evenly over the numbers."""
    total, given = sum(shares), [0] * len(shares)
    found = []
    for number in range(1, count + 1):
        at = max(range(len(shares)), key=lambda k: shares[k] / total * number - given[k])
        given[at] += 1
        found.append(choices[at])
    return found


def kinds_of(tier: Tier, count: int, random_source: np.random.Generator) -> list[Kind]:
    """The kind of each of a tier's endpoints."""
    return spread(tier.kind, [draw(random_source, kind.share) for kind in tier.kind], count)


def tier_figures(at: int, tier: Tier, random_source: np.random.Generator) -> TierFigures:
    """Draws what a tier's endpoints have in common; the order of the draws is part of what a seed means."""
    report, connections = tier.report, tier.connections
    spec = EndpointSpec(
        name="",
        tier=at,
        work=draw(random_source, tier.work),
        probe_work=draw(random_source, tier.probe_us) / 1e6,
        report_fields=tuple(report.fields),
        report_how=report.how,
        report_s=max(0.01, draw(random_source, report.period_ms) / 1000),
        report_noise=draw(random_source, report.noise),
        report_delay_s=draw(random_source, report.delay_ms) / 1000,
        connect_work=draw(random_source, connections.work_us) / 1e6,
        round_trips=round(draw(random_source, connections.round_trips)),
        idle_s=connections.idle_s,
        connect_limit_s=connections.time_out_ms / 1000,
    )
    per_core = draw(random_source, connections.most_per_core)
    return TierFigures(replace(spec, jam=jam_figures(tier.jam, random_source)), per_core)


def jam_figures(jam: Jam | None, random_source: np.random.Generator) -> tuple[float, ...] | None:
    """How a deep queue slows the endpoints, where it does with this seed."""
    if jam is None or random_source.random() >= draw(random_source, jam.share):
        return None
    spans = (jam.at, jam.over_s, jam.slower, jam.rest_s, jam.below, jam.most_s)
    figures = tuple(draw(random_source, span) for span in spans)
    return figures if figures[2] > 1 else None


def kind_figures(tier: TierFigures, kind: Kind, random_source: np.random.Generator) -> KindFigures:
    """Draws what one kind's endpoints have in common."""
    speed, speed_cv = draw(random_source, kind.speed), draw(random_source, kind.speed_cv)
    spec = replace(
        tier.spec,
        kind=kind.name,
        cores=kind.cores,
        speed=speed,
        slots=max(1, round(draw(random_source, kind.slots_per_core) * kind.cores)),
        queue=round(draw(random_source, kind.queue_per_core) * kind.cores),
        crowding=draw(random_source, kind.crowding),
        crowding_at=max(0.1, draw(random_source, kind.crowding_at)),
        cold_from=draw(random_source, kind.cold_from),
        cold_s=draw(random_source, kind.cold_s),
        warm_by_work=kind.warm_by == "requests",
        pause_every_s=max(0.05, draw(random_source, kind.pause_every_s)),
        pause_s=draw(random_source, kind.pause_ms) / 1000,
        error_rate=draw(random_source, kind.error_rate),
        cancel=kind.cancel,
        drops_expired=kind.drops_expired,
        most_connections=round(tier.connections_per_core * kind.cores),
    )
    return KindFigures(spec, speed_cv)


def machine(
    kind: KindFigures, name: str, zone: str, cell: int, random_source: np.random.Generator
) -> EndpointSpec:
    """One endpoint, with a speed of its own."""
    factor = max(SLOWEST, 1 + kind.speed_cv * float(random_source.standard_normal()))
    return replace(kind.spec, name=name, zone=zone, cell=cell, speed=kind.spec.speed * factor)
