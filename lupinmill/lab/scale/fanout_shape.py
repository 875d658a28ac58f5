"""The simulated fleet for the measurements of configuration distribution: its size, its configuration
entries, the mix of changes in a day, and the costs that are assumed rather than executed.

Everything random is drawn from the source of random numbers that the caller passes."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from lupinmill.config.model import Entries, Key

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Costs:
    """Assumed processing times, in microseconds, of a relay or the source and of a sidecar."""

    call: int = 300  # to read a watch request and park it
    reply: int = 300  # to write a reply
    replace: int = 20_000  # for a relay to apply a version
    keep: int = 50_000  # for the source to save a version to disk
    force: int = 5_000  # from a version's arrival at a sidecar until it is in force


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Size and timing of the simulated fleet. Times are in microseconds."""

    sidecars: int = 20_000
    watching: int = 0  # number of sidecars that are simulated; 0: all
    services: int = 840
    zones: int = 20
    regions: int = 7
    relays: int = 50
    wait: int = 20 * SECOND  # how long a sidecar's watch stays open
    spread: int = 2 * SECOND  # over which sidecars spread their calls, until a relay announces its own value
    most_watchers: int = 1_000
    calls_per_s: float = 200.0  # configured rate that a relay accepts after a restart
    same_zone_delay: int = 1_000  # one-way network delay within a zone
    same_region_delay: int = 2_000  # one-way network delay between zones of a region
    cross_region_delay: int = 40_000  # one-way network delay between regions
    restart_time: int = 2 * SECOND  # how long a restart of a relay or the source takes

    @property
    def spread_ms(self) -> int:
        """The spread that `RelayFile.spread_ms` derives from expected sidecars and accepted call rate."""
        return max(1, int(1000 * self.sidecars / self.relays / self.calls_per_s))

    def region_of(self, zone: int) -> int:
        return zone % self.regions

    def network_delay(self, one: int, other: int) -> int:
        if one == other:
            return self.same_zone_delay
        return (
            self.same_region_delay
            if self.region_of(one) == self.region_of(other)
            else self.cross_region_delay
        )


def scopes_of_sidecar(shape: FleetShape, index: int) -> tuple[str, ...]:
    """The scopes that sidecar number `index` watches."""
    zone = index % shape.zones
    return (
        "fleet", f"region/r{shape.region_of(zone)}", f"zone/z{zone}",
        f"service/s{index * shape.services // shape.sidecars}", f"sidecar/m{index}",
    )  # fmt: skip


def draw_service_settings(random_source: random.Random) -> dict[str, Any]:
    """Random settings of a service, some 400 bytes when encoded."""
    return {
        "workloads": [
            {
                "name": name, "contract-time-s": random_source.randint(100, 900) / 1000, "hard-limit-s": 1.5,
                "value": 2.0, "overdue-value": 0.25, "window-s": 5.0, "repeat": "repeatable", "group": "cell",
            }
            for name in ("view", "bid")
        ],
        "instances": 24,
    }  # fmt: skip


def draw_member(index: int, random_source: random.Random) -> dict[str, Any]:
    return {"address": f"10.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}:"
                       f"{random_source.randint(18_000, 18_999)}",
            "zone": f"z{index % 20}"}  # fmt: skip


def initial_entries(shape: FleetShape, random_source: random.Random) -> Entries:
    """All configuration entries of the fleet at the start."""
    entries: Entries = {Key("fleet", "settings"): {"limits": {"most-launches": 4, "retry-after": True}}}
    zones = {f"z{zone}": {"region": f"r{shape.region_of(zone)}"} for zone in range(shape.zones)}
    entries[Key("fleet", "zones")] = {"map": zones}
    for zone in range(shape.zones):
        entries[Key(f"zone/z{zone}", "settings")] = {
            "limits": {"conn-idle-s": random_source.randint(10_000, 60_000) / 1000}
        }
    for region in range(shape.regions):
        entries[Key(f"region/r{region}", "settings")] = {"instances": 100}
    for service in range(shape.services):
        entries[Key(f"service/s{service}", "settings")] = draw_service_settings(random_source)
    for index in range(shape.sidecars):
        service = index * shape.services // shape.sidecars
        entries[Key(f"service/s{service}", f"member/m{index}")] = draw_member(index, random_source)
    return entries


def draw_change(shape: FleetShape, random_source: random.Random) -> Entries:
    """Draws one change: most concern a service, some a sidecar, few a zone or region, very few the fleet."""
    drawn = random_source.random()
    if drawn < 0.70:
        return {
            Key(f"service/s{random_source.randrange(shape.services)}", "settings"): draw_service_settings(
                random_source
            )
        }
    if drawn < 0.74:  # a machine restarted or replaced
        index = random_source.randrange(shape.sidecars)
        return {
            Key(f"service/s{index * shape.services // shape.sidecars}", f"member/m{index}"): draw_member(
                index, random_source
            )
        }
    if drawn < 0.95:
        return {
            Key(f"sidecar/m{random_source.randrange(shape.sidecars)}", "settings"): {
                "limits": {"connect-timeout-s": random_source.randint(100, 900) / 1000}
            }
        }
    if drawn < 0.99:
        return {
            Key(f"zone/z{random_source.randrange(shape.zones)}", "settings"): {
                "limits": {"conn-idle-s": random_source.randint(10_000, 60_000) / 1000}
            }
        }
    if drawn < 0.998:
        return {
            Key(f"region/r{random_source.randrange(shape.regions)}", "settings"): {
                "instances": random_source.randint(50, 150)
            }
        }
    return {
        Key("fleet", "settings"): {
            "limits": {"most-launches": random_source.randint(2, 4), "retry-after": True}
        }
    }
