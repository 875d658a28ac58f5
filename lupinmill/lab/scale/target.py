"""The target of `lupinmill lab capacity`: a TOML file decoded into types that reject unknown keys.

Every error is one line that names the key, and for an unknown key also the nearest known one.

An assumption is a figure that the requirements do not give. It has a reason, and `with_error` returns the
target with another value of it."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from lupinmill.protocol import config_file
from lupinmill.protocol.config_file import ConfigFileError, known_keys

FILE = Path(__file__).with_name("target.toml")
MAX_FILE_BYTES = 2**18  # bytes
SECONDS_PER_DAY = 86_400.0  # seconds

Count = Annotated[int, Meta(ge=1, le=10_000_000)]
Few = Annotated[int, Meta(ge=0, le=10_000)]
Amount = Annotated[float, Meta(gt=0, le=1e12)]
Part = Annotated[float, Meta(gt=0, le=1)]


class InvalidTarget(Exception):
    """The target file can't be used. The message is one line."""


class Fleet(Struct, forbid_unknown_fields=True, frozen=True):
    endpoints: Count
    sidecars: Count
    services: Count
    calls_a_second: Amount
    depth: Annotated[int, Meta(ge=1, le=100)]
    regions: Annotated[int, Meta(ge=1, le=1_000)]
    zones: Annotated[int, Meta(ge=1, le=10_000)]


class Goals(Struct, forbid_unknown_fields=True, frozen=True):
    added_p99_ms: Amount
    changes_a_day: Amount
    in_force_s: Amount


class Sidecar(Struct, forbid_unknown_fields=True, frozen=True):
    """What one sidecar may use for control."""

    cpu: Part  # of a core
    memory_mb: Amount  # of 10**6 bytes
    bytes_a_second: Amount  # in and out


class Control(Struct, forbid_unknown_fields=True, frozen=True):
    """The machines dedicated to control. Each runs a relay, and some run another role as well."""

    machines: Count
    electors: Few
    sources: Few
    discovery: Few

    @property
    def relays(self) -> int:
        return self.machines


class Faults(Struct, forbid_unknown_fields=True, frozen=True):
    failed_a_day: Amount
    restarted_a_day: Amount
    rack: Count
    racks_a_year: Amount
    zones_a_year: Amount
    region_cut_s: Amount


class Assumption(Struct, forbid_unknown_fields=True, frozen=True):
    value: Amount
    reason: Annotated[str, Meta(min_length=1, max_length=200)]


class Assumptions(Struct, forbid_unknown_fields=True, frozen=True):
    skew: Assumption
    services_called: Assumption
    change_bytes: Assumption
    concerned: Assumption
    peak_factor: Assumption
    pace: Assumption
    control_cores: Assumption
    control_memory_mb: Assumption
    control_bytes_a_second: Assumption
    control_load: Assumption
    list_calls_a_second: Assumption
    back_s: Assumption


# Minimum and maximum of each assumption, also where its error is tried out.
RANGES: dict[str, tuple[float, float]] = {
    "skew": (1, 10_000),
    "services_called": (1, 10_000),
    "change_bytes": (1, 1e7),
    "concerned": (1, 1e7),
    "peak_factor": (1, 100_000),
    "pace": (0.01, 100),
    "control_cores": (1, 1_000),
    "control_memory_mb": (1, 1e7),
    "control_bytes_a_second": (1, 1e12),
    "control_load": (0.001, 1),
    "list_calls_a_second": (0.001, 1e9),
    "back_s": (0.001, 86_400),
}


class Target(Struct, forbid_unknown_fields=True, frozen=True):
    title: Annotated[str, Meta(min_length=1, max_length=100)]
    fleet: Fleet
    goals: Goals
    sidecar: Sidecar
    control: Control
    faults: Faults
    assumptions: Assumptions

    def assumed(self, name: str) -> float:
        return getattr(self.assumptions, name).value

    @property
    def calls_a_sidecar(self) -> float:
        """Mean calls per second."""
        return self.fleet.calls_a_second / self.fleet.sidecars

    @property
    def list_endpoints(self) -> float:
        """Endpoints in the lists of one sidecar."""
        whole = self.assumed("services_called") * self.fleet.endpoints / self.fleet.services
        return min(whole, float(self.fleet.endpoints))

    @property
    def zone_sidecars(self) -> float:
        return self.fleet.sidecars / self.fleet.zones

    @property
    def machines_a_zone(self) -> int:
        """Control machines lost with a zone, when spread as evenly as possible."""
        return -(-self.control.machines // self.fleet.zones)


def read(path: Path = FILE) -> Target:
    """Raises InvalidTarget."""
    try:
        return config_file.read(str(path), MAX_FILE_BYTES, parse)
    except ConfigFileError as error:
        raise InvalidTarget(str(error)) from error


def parse(table: dict[str, Any]) -> Target:
    """Raises ConfigFileError."""
    known_keys(table, Target, "")
    try:
        target = msgspec.convert(table, Target)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        place = place.rstrip("`").lstrip(".")
        if missing := re.fullmatch(r"Object missing required field `(.+)`", text):
            raise ConfigFileError(f"{place}{'.' if place else ''}{missing[1]}: missing") from error
        raise ConfigFileError(f"{place or 'the file'}: {text}") from error
    validate(target)
    return target


def validate(target: Target) -> None:
    for name, (minimum, maximum) in RANGES.items():
        if not minimum <= target.assumed(name) <= maximum:
            raise ConfigFileError(f"assumptions.{name}.value: must be {minimum:g} to {maximum:g}")
    fleet = target.fleet
    for key in ("services", "zones"):
        if getattr(fleet, key) > fleet.sidecars:
            raise ConfigFileError(f"fleet.{key}: must be at most fleet.sidecars, {fleet.sidecars}")
    if fleet.regions > fleet.zones:
        raise ConfigFileError(f"fleet.regions: must be at most fleet.zones, {fleet.zones}")
    for key in ("electors", "sources", "discovery"):
        if getattr(target.control, key) > target.control.machines:
            raise ConfigFileError(
                f"control.{key}: must be at most control.machines, {target.control.machines}"
            )


def with_error(target: Target, name: str, factor: float) -> Target:
    """The target with one assumption multiplied by a factor, clamped to its range."""
    minimum, maximum = RANGES[name]
    was = getattr(target.assumptions, name)
    changed = msgspec.structs.replace(was, value=min(maximum, max(minimum, was.value * factor)))
    return msgspec.structs.replace(
        target, assumptions=msgspec.structs.replace(target.assumptions, **{name: changed})
    )
