"""The JSON file that `lupinmill lab slopes` writes and `lupinmill lab capacity` reads.

Only that run writes it.

A figure belongs to a role ("sidecar", "elector", "holder", "discovery", "source", "relay"), has a unit and
a size that it grows with. Points are single runs; the fit covers all of them."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

FILE = Path(__file__).with_name("measured.json")


class Point(Struct, forbid_unknown_fields=True):
    size: float
    seed: int
    mean: float
    peak: float = 0.0  # of the busiest second; 0 where only means are measured
    hollow: bool = True  # otherwise of real processes


class Fit(Struct, forbid_unknown_fields=True):
    """`intercept + slope * size`, over sizes `first` to `last`; where `straight`, `curvature` is 0.

    Otherwise the line, and any value beyond `last`, must not be extrapolated: intercept and slope are those
    of the line that does not fit, `curvature` is that of the best parabola.
    """

    intercept: float
    slope: float
    curvature: float
    residual: float  # root mean square, in the figure's unit
    first: float
    last: float
    straight: bool
    power: float = 1.0  # exponent of the best fit a * size**power: 0 flat, 1 linear


class Figure(Struct, forbid_unknown_fields=True):
    role: str
    name: str  # "cpu", "memory", "bytes out", "bytes in", "messages out", "messages in", "rows", "state", ...
    unit: str  # "part of a core", "bytes", "bytes/s", "1/s", "s"
    grows_with: str  # "members", "sidecars", "endpoints", "zones", "changes a second", ...
    day: str  # "quiet", "start", "ordinary", "zone lost", "discovery away", "relays restart", ...
    points: list[Point]
    fit: Fit | None = None  # None for a single size
    note: str = ""  # how it was measured: sockets, virtual time, hollow
    relative: float = 0.0  # CPU figures: mean at `last` as a multiple of the reference loop of the same run


class Added(Struct, forbid_unknown_fields=True):
    """Time added to a call: the time through a sidecar minus that of a direct call.

    Both kinds alternate in one run, in an open loop. Times count from when the call was due.
    """

    calls_a_second: float
    seed: int
    straight_p50: float  # seconds
    straight_p99: float
    through_p50: float
    through_p99: float


class Measured(Struct, forbid_unknown_fields=True):
    command: str
    commit: str  # of the measured source
    date: str
    seeds: list[int]
    reference_us: float  # of one turn of the reference loop on this machine
    cores: int
    figures: list[Figure] = []
    added: list[Added] = []
    partial: list[str] = []  # what was not run or did not finish, in words
    parts: dict[str, str] = {}  # by part that a run of its own measured: command, commit and date


def read(path: Path = FILE) -> Measured:
    return msgspec.json.decode(path.read_bytes(), type=Measured)


def write(measured: Measured, path: Path = FILE) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(measured), indent=1) + b"\n")
