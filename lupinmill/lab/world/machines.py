"""Draws the parameters of a tier's endpoints, in three levels: tier, kind of machine, single machine."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TypeVar

import numpy as np

from lupinmill.lab.endpoint import EndpointSpec
from lupinmill.lab.scenario import Jam, Kind, Tier
from lupinmill.lab.world.random_streams import draw

Choice = TypeVar("Choice")
MIN_SPEED_FACTOR = 0.3  # lower bound of a machine's speed, as a multiple of its kind's mean speed


@dataclass(frozen=True)
class TierParameters:
    """Parameters that all endpoints of a tier share."""

    spec: EndpointSpec
    connections_per_core: float


@dataclass(frozen=True)
class KindParameters:
    """Parameters that all endpoints of one kind share; `spec.speed` is their mean speed."""

    spec: EndpointSpec
    speed_cv: float


def spread_evenly(choices: list[Choice], shares: list[float], count: int) -> list[Choice]:
    """Returns `count` items, each choice as often as its share says, interleaved evenly."""
    total, assigned = sum(shares), [0] * len(shares)
    found = []
    for number in range(1, count + 1):
        at = max(range(len(shares)), key=lambda k: shares[k] / total * number - assigned[k])
        assigned[at] += 1
        found.append(choices[at])
    return found


def draw_kinds(tier: Tier, count: int, random_source: np.random.Generator) -> list[Kind]:
    """Returns the kind of each endpoint of a tier."""
    return spread_evenly(tier.kind, [draw(random_source, kind.share) for kind in tier.kind], count)


def draw_tier_parameters(at: int, tier: Tier, random_source: np.random.Generator) -> TierParameters:
    """Draws the parameters that a tier's endpoints share. The order of the draws must not change: results are
    reproducible by seed."""
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
    return TierParameters(replace(spec, jam=draw_jam_parameters(tier.jam, random_source)), per_core)


def draw_jam_parameters(jam: Jam | None, random_source: np.random.Generator) -> tuple[float, ...] | None:
    """Draws how a deep queue slows the endpoints down; None if jams do not occur with this seed."""
    if jam is None or random_source.random() >= draw(random_source, jam.share):
        return None
    spans = (jam.at, jam.over_s, jam.slower, jam.rest_s, jam.below, jam.most_s)
    figures = tuple(draw(random_source, span) for span in spans)
    return figures if figures[2] > 1 else None


def draw_kind_parameters(
    tier: TierParameters, kind: Kind, random_source: np.random.Generator
) -> KindParameters:
    """Draws the parameters that the endpoints of one kind share."""
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
    return KindParameters(spec, speed_cv)


def draw_machine(
    kind: KindParameters, name: str, zone: str, cell: int, random_source: np.random.Generator
) -> EndpointSpec:
    """Draws the speed of one machine around the mean of its kind."""
    factor = max(MIN_SPEED_FACTOR, 1 + kind.speed_cv * float(random_source.standard_normal()))
    return replace(kind.spec, name=name, zone=zone, cell=cell, speed=kind.spec.speed * factor)
