"""Draws the troubles of a scenario, specified and random ones, and schedules them on the timeline."""

from __future__ import annotations

import numpy as np

from lupinmill.lab.scenario import Event
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.world.random_streams import draw, random_stream
from lupinmill.lab.world.site import Driver, TroubleRecord, World
from lupinmill.lab.world.troubles import discovery, endpoints, load, sidecars, zones
from lupinmill.lab.world.troubles.trouble import Act, Trouble

RANDOM_FROM, RANDOM_TO = 0.15, 0.7  # shares of the run between which random troubles begin
KINDS: dict[str, Act] = {
    "crash": endpoints.crash,
    "vanish": endpoints.vanish,
    "hang": endpoints.hang,
    "slow": endpoints.slow,
    "shared_slow": endpoints.shared_slow,
    "errors": endpoints.errors,
    "spoilt": endpoints.spoilt,
    "resets": endpoints.resets,
    "pauses": endpoints.pauses,
    "neighbour": endpoints.neighbour,
    "reports_late": endpoints.reports_late,
    "burst": load.burst,
    "tenant_burst": load.tenant_burst,
    "deploy": endpoints.deploy,
    "list_late": discovery.list_late,
    "list_silent": discovery.list_silent,
    "list_down": discovery.list_down,
    "sidecar_roll": sidecars.sidecar_roll,
    "sidecar_kill": sidecars.sidecar_kill,
    "sidecar_starved": sidecars.sidecar_starved,
    "zone_cut": zones.zone_cut,
    "zone_apart": zones.zone_apart,
    "zone_slow": zones.zone_slow,
    "zone_link": zones.zone_link,
}


def plan(world: World, driver: Driver | None) -> None:
    """Schedules all troubles on the world's timeline; `driver` carries out those of sidecars."""
    world.driver = driver
    random_source, scenario = random_stream(world.seed, "troubles"), world.scenario
    for event in scenario.trouble:
        schedule(world, random_source, event, draw(random_source, event.at_s))
    count = draw(random_source, scenario.random_count)
    for _ in range(int(count) if scenario.random else 0):
        weights = np.array([event.weight for event in scenario.random])
        event = scenario.random[int(random_source.choice(len(weights), p=weights / weights.sum()))]
        at = draw(random_source, event.at_s) or random_source.uniform(RANDOM_FROM, RANDOM_TO) * world.seconds
        end = schedule(world, random_source, event, at)
        for follower in event.then:
            end = schedule(world, random_source, follower, end + draw(random_source, follower.at_s))


def schedule(world: World, random_source: np.random.Generator, event: Event, at_s: float) -> float:
    """Draws the parameters of one trouble and schedules it; returns the second of the run at which it
    ends."""
    lasts_s, part = draw(random_source, event.lasts_s), draw(random_source, event.part)
    size, extra = draw(random_source, event.size), draw(random_source, event.extra)
    tier = next((n for n, found in enumerate(world.scenario.tier) if found.name == event.tier), 0)
    stream = np.random.Generator(np.random.PCG64(random_source.integers(2**62)))
    name = f"{event.kind}{len(world.trouble_records)}"
    world.trouble_records.append(
        TroubleRecord(event.kind, at_s, at_s + lasts_s, f"part {part:.2f}, size {size:.2f}")
    )
    trouble = Trouble(event, name, tier, lasts_s, part, size, extra, stream)
    world.timeline.at(world.start + int(at_s * SECOND), KINDS[event.kind], world, trouble)
    return at_s + lasts_s
