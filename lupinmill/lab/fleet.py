"""Scenarios of a fleet of sidecars that know each other: the types of a scenario file and of a run's result,
and the parser.

The same file runs in virtual time (`fleet_virtual`) and with real processes (`fleet_sockets`)."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, Literal

import msgspec
import numpy as np
from msgspec import Struct, field

SHIPPED_DIRECTORY = Path(__file__).parent / "fleets"
MAX_MEMBERS = 2_000


class FleetError(Exception):
    """An invalid scenario; its text is one line with file, key and reason."""


class Network(Struct, forbid_unknown_fields=True, frozen=True):
    """The network between every two members, in each direction."""

    loss: float = 0.0
    double: float = 0.0
    late: float = 0.0  # share of datagrams delayed by a further `late_ms`, and so reordered
    late_ms: tuple[float, float] = (20.0, 300.0)
    delay_ms: tuple[float, float] = (0.2, 1.0)


class Fault(Struct, forbid_unknown_fields=True, frozen=True):
    """`members` are numbers; without them, `share` of the fleet is drawn from the seed. `until` 0: to the
    end."""

    kind: Literal["partition", "cut", "loss", "pause", "starve", "kill", "restart", "leave"]
    at: float
    until: float = 0.0
    members: list[int] = []
    share: float = 0.0
    groups: list[list[int]] = []  # of a partition; a member of no group is isolated
    into: int = 0  # a partition into this many groups of equal size
    to: list[int] = []  # of a one-way cut: nothing that `members` send reaches these
    loss: float = 0.0
    forget: bool = False  # of a restart: an elector's stored promises are lost
    stop_ms: float = 400.0  # of starvation: stopped this long, then running for 50 ms


class Fleet(Struct, forbid_unknown_fields=True, frozen=True):
    title: str
    seconds: float
    members: int
    seed: int = 1
    zones: int = 1
    electors: int = 3
    keep: bool = True  # electors have stable storage
    lease_s: float = 2.0
    round_ms: int = 200
    load: float = 0.0  # requests per second at each member; sockets only
    network: Network = Network()
    fault: list[Fault] = []

    def names(self) -> list[str]:
        return [f"m{at}" for at in range(self.members)]


class Event(Struct, frozen=True):
    """An observation or action of the member `who`, `at` seconds after the start."""

    at: float
    who: str
    what: Literal["peer", "standing", "lease", "decision", "fault", "life"]
    about: str = ""
    state: str = ""
    epoch: int = 0
    version: int = 0
    why: str = ""


class FleetResult(Struct):
    fleet: Fleet
    driver: str
    seed: int
    events: list[Event] = []
    figures: dict[str, float] = field(default_factory=dict)
    broken: list[str] = []  # descriptions of violated invariants


def shipped_fleets() -> list[str]:
    return sorted(path.stem for path in SHIPPED_DIRECTORY.glob("*.toml"))


def random_fleet(seed: int) -> Fleet:
    """One minute of random, overlapping faults on five to nine members; the same for the same seed."""
    random_source = np.random.default_rng([seed, 7])

    def random_members(maximum: int) -> list[int]:
        count = int(random_source.integers(1, maximum + 1))
        return sorted(int(one) for one in random_source.choice(members, count, replace=False))

    members = int(random_source.choice([5, 6, 7, 9]))
    faults, at = [], 6.0
    while at < 44:
        kind = str(
            random_source.choice(["partition", "cut", "loss", "pause", "starve", "kill", "restart", "leave"])
        )
        fault: dict[str, Any] = {"kind": kind, "at": round(at, 2)}
        if kind != "restart":
            fault["until"] = round(at + float(random_source.uniform(0.3, 6)), 2)
        if kind == "partition":
            fault["groups"] = [random_members(members - 1)]
        elif kind == "cut":
            fault |= {"members": random_members(members - 1), "to": random_members(members - 1)}
        elif kind == "loss":
            fault["loss"] = float(random_source.choice([0.1, 0.3, 0.6]))
        else:
            fault |= {"members": random_members(2), "stop_ms": float(random_source.choice([100, 300, 900]))}
        faults.append(fault)
        at += float(random_source.uniform(0.1, 5))
    network = {
        "loss": float(random_source.choice([0, 0, 0.05, 0.15])),
        "double": float(random_source.choice([0, 0.1])),
        "late": float(random_source.choice([0, 0.1])),
        "late_ms": [20.0, float(random_source.choice([100, 900]))],
    }
    return parse_fleet(
        {
            "title": f"drawn by {seed}",
            "seconds": 60,
            "members": members,
            "seed": seed,
            "network": network,
            "electors": int(random_source.choice([3, 3, 5])),
            "keep": bool(random_source.random() < 0.7),
            "lease_s": float(random_source.choice([1.0, 2.0, 4.0])),
            "fault": faults,
        }
    )


def load(name: str) -> Fleet:
    """Loads a shipped scenario by name, or a file. Raises FleetError."""
    path = Path(name) if name.endswith(".toml") else SHIPPED_DIRECTORY / f"{name}.toml"
    try:
        return parse_fleet(tomllib.loads(path.read_text()))
    except OSError as error:
        raise FleetError(f"{name}: {error.strerror}; shipped are {', '.join(shipped_fleets())}") from error
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, FleetError) as error:
        raise FleetError(f"{path.name}: {error}") from error


def parse_fleet(table: dict[str, Any]) -> Fleet:
    fleet = msgspec.convert(table, Fleet)
    if not 2 <= fleet.members <= MAX_MEMBERS:
        raise FleetError(f"members: wants 2 to {MAX_MEMBERS}")
    if fleet.electors not in (0, 3, 5, 7) or fleet.electors > fleet.members:
        raise FleetError("electors: wants 0, 3, 5 or 7, no more than members")
    for at, fault in enumerate(fleet.fault):
        if not 0 <= fault.at <= fleet.seconds or fault.until and fault.until < fault.at:
            raise FleetError(f"fault.{at}.at: outside the run")
        numbers = [*fault.members, *fault.to, *(n for group in fault.groups for n in group)]
        if any(not 0 <= number < fleet.members for number in numbers):
            raise FleetError(f"fault.{at}.members: wants 0 to {fleet.members - 1}")
    return fleet


def fault_members(fleet: Fleet, fault: Fault, seed: int) -> list[str]:
    """The names of a fault's members; both drivers draw the same."""
    names = fleet.names()
    if fault.members:
        return [names[at] for at in fault.members]
    if not fault.share:
        return []
    random_source = np.random.default_rng([seed, int(fault.at * 1000)])
    count = round(fault.share * fleet.members)
    return [names[at] for at in sorted(random_source.choice(fleet.members, count, replace=False))]


def partition_sides(fleet: Fleet, fault: Fault) -> dict[str, int]:
    """The number of the side of each member."""
    names = fleet.names()
    if fault.into:
        return {name: at * fault.into // fleet.members for at, name in enumerate(names)}
    sides = {name: len(fault.groups) + at for at, name in enumerate(names)}
    for at, group in enumerate(fault.groups):
        for number in group:
            sides[names[number]] = at
    return sides


class NetworkConditions:
    """The current state of the network between members. Both drivers use it, so that they apply the same
    faults to the same members."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet, self.seed = fleet, seed
        self.random_source = np.random.default_rng([seed, 99])
        self.drawn_numbers: list[float] = []
        self.sides: dict[str, int] | None = None
        self.cuts: list[tuple[Fault, frozenset[str], frozenset[str]]] = []
        self.loss = fleet.network.loss
        self.active_faults: list[Fault] = []

    def draw(self) -> float:
        if not self.drawn_numbers:
            self.drawn_numbers = self.random_source.random(4096).tolist()
        return self.drawn_numbers.pop()

    def begin(self, fault: Fault) -> None:
        self.active_faults.append(fault)
        self.update()

    def end(self, fault: Fault) -> None:
        self.active_faults.remove(fault)
        self.update()

    def update(self) -> None:
        self.sides, self.loss, self.cuts = None, self.fleet.network.loss, []
        names = self.fleet.names()
        for fault in self.active_faults:
            if fault.kind == "partition":
                self.sides = partition_sides(self.fleet, fault)
            elif fault.kind == "cut":
                senders = frozenset(fault_members(self.fleet, fault, self.seed))
                receivers = frozenset(names[at] for at in fault.to) or frozenset(names) - senders
                self.cuts.append((fault, senders, receivers))
            elif fault.kind == "loss":
                self.loss = max(self.loss, fault.loss)

    def blocks(self, sender: str, receiver: str) -> bool:
        """Whether nothing passes in this direction now. A name that is no member is on every side."""
        if self.sides is not None and sender in self.sides and receiver in self.sides:
            if self.sides[sender] != self.sides[receiver]:
                return True
        return any(sender in senders and receiver in receivers for _, senders, receivers in self.cuts)

    def delays(self, sender: str, receiver: str) -> list[float]:
        """The delay in seconds of each copy of a datagram; empty if it is lost."""
        if self.blocks(sender, receiver):
            return []
        network = self.fleet.network
        delays_s = []
        for _ in range(2 if network.double and self.draw() < network.double else 1):
            if self.loss and self.draw() < self.loss:
                continue
            minimum, maximum = network.delay_ms
            delay = minimum + (maximum - minimum) * self.draw()
            if network.late and self.draw() < network.late:
                minimum, maximum = network.late_ms
                delay += minimum + (maximum - minimum) * self.draw()
            delays_s.append(delay / 1000)
        return delays_s


def sides_with_majority(sides: dict[str, int], majority_of: int) -> dict[str, bool]:
    """Whether each member is on a side with a majority."""
    sizes: dict[int, int] = {}
    for side in sides.values():
        sizes[side] = sizes.get(side, 0) + 1
    return {name: sizes[side] * 2 > majority_of for name, side in sides.items()}
