"""Imaginary customers: settings drawn within what the documents allow, and configurations outside of that."""

from __future__ import annotations

import copy
import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

EFFECTS = ("repeatable", "by_key", "once")
GROUPS = ("all", "zone", "cell")
ZONES = ("north", "south")
TYPES = ("m2", "m8")
NAMES = (
    "view",
    "order",
    "bid-2",
    "issue.v1",
    "search",
    "pay",
    "ledger_entry",
    "x",
    "größe",
    "a,b",
    "two words",
)
SHORT_DEADLINES = (0.15, 0.3, 0.5)  # seconds
DEADLINES = (0.8, 1.0, 2.0, 3.0)
SOCKETS = (1024, 256, 256, 96, 64, 56)  # descriptors that a sidecar may hold


@dataclass(slots=True)
class Workload:
    name: str
    effect: str
    deadline: float  # seconds
    group: str = "cell"
    window: float = 0.0


@dataclass(slots=True)
class Customer:
    name: str
    settings: dict[str, Any]
    workloads: list[Workload]
    rows: list[dict[str, Any]]  # endpoints as discovery lists them, without addresses
    sockets: int
    limits: dict[str, Any] = field(default_factory=dict)

    @property
    def grace(self) -> float:
        return float(self.settings["invariants"]["stop-sending-within-s"])

    @property
    def longest(self) -> float:
        return max(workload.deadline for workload in self.workloads)


def draw_workloads(random: Random) -> list[Workload]:
    """All effects among them, in any order."""
    names = random.sample(NAMES, random.randint(3, 5))
    effects = [*EFFECTS, *(random.choice(EFFECTS) for _ in names[3:])]
    random.shuffle(effects)
    found = []
    for name, effect in zip(names, effects):
        deadline = random.choice(SHORT_DEADLINES if random.random() < 0.25 else DEADLINES)
        window = random.choice((0.2, 0.5, 2.0))
        found.append(Workload(name, effect, deadline, random.choice(GROUPS), window))
    return found


def workload_table(one: Workload, random: Random) -> dict[str, Any]:
    table: dict[str, Any] = {
        "name": one.name,
        "contract-time-s": one.deadline * random.choice((0.5, 0.9, 1)),
        "hard-limit-s": one.deadline,
        "repeat": one.effect,
        "value": random.choice((1, 0.5, 4.0)),
    }
    if one.effect == "by_key":
        table |= {"group": one.group, "window-s": one.window}
    return table


def draw_limits(random: Random, mesh: bool) -> dict[str, Any]:
    return {
        "most-launches": random.choice((1, 2, 3, 4, 6)),
        "may-duplicate": not mesh and random.random() < 0.4,
        "cancel": random.random() < 0.6,
        "probes": not mesh and random.random() < 0.5,
        "retry-after": random.random() < 0.5,
        "max-retry-after-s": random.choice((0.5, 1, 1.2)),
        "conn-idle-s": random.choice((0.5, 2, 10, 60)),
        "connect-timeout-s": random.choice((0.05, 0.2, 0.25, 1.0)),
    }


def draw(name: str, random: Random) -> Customer:
    mesh = random.random() < 0.3
    workloads = draw_workloads(random)
    settings: dict[str, Any] = {
        "family": "mesh" if mesh else random.choice(("proxy", "chain")),
        "tier": 0 if mesh else random.choice((0, 0, 1, 2)),
        "instances": random.choice((1, 2, 5, 30)),
        "discovery": random.choice(("ask", "push")),
        "round-s": random.choice((0.001, 0.005)),
        "random-seed": str(random.randrange(2**31)),
        "workloads": [workload_table(one, random) for one in workloads],
        "limits": draw_limits(random, mesh),
        "invariants": {
            "ask-within-s": random.choice((1.0, 2.0, 4)),
            "stop-sending-within-s": 0.5,
            "cold-share": random.choice((0.2, 0.5, 1.0)),
            "cold-s": random.choice((0, 2.0, 8)),
        },
        "blend": {"whole": 0.5, "worst-window": 0.3, "worst-class": 0.2, "kept-promises": 0.0},
        "areas": list(ZONES),
        "kinds": list(TYPES),
        "locality": random.choice(ZONES),
        "not-known-to-anybody": {"a": [1, 2], "b": None},
    }
    if mesh:
        settings |= {"weights": "nominal", "family-info": {"warm-keys": random.random() < 0.5}}
        settings["prices"] = {"cross-zone": random.choice((0, 0.1)), "connection": random.choice((0, 0.05))}
        settings["limits"]["streams-per-conn"] = random.choice((1, 100))
    elif random.random() < 0.5:
        settings["load-report"] = {"how": "on_probe", "fields": ["waiting", "cpu"]}
    if random.random() < 0.3:
        settings["accounts"] = [{"name": "blue", "quota-per-s": 30}, {"name": "green", "quota-per-s": 2.5}]
    rows = [draw_row(f"{name}-e{at}", random) for at in range(random.randint(3, 6))]
    limits: dict[str, Any] = {"sockets": random.choice(SOCKETS)}
    if random.random() < 0.5:
        limits["memory_mb"] = random.choice((48, 64, 192))
    return Customer(name, settings, workloads, rows, limits["sockets"], limits)


def draw_row(name: str, random: Random) -> dict[str, Any]:
    return {
        "name": name,
        "zone": random.choice(ZONES),
        "type": random.choice(TYPES),
        "group": random.randint(0, 1),
        "status": "SERVING",
        "weight": random.choice((1.0, 2, 0.5)),
        "since_ms": 0,
    }


def spoilt(kind: str, config: dict[str, Any]) -> bytes | None:
    """A configuration that can't be served, as it would stand in its file; None where there is no file."""
    return SPOILERS[kind](copy.deepcopy(config))


SEEDS: tuple[Any, ...] = (None, 0, 7, "7", "8c1f30d27a5be964", "not hexadecimal", 3.0)
WITHOUT_USE = {  # where clients share sidecars, and where each has its own
    False: {"weights": "nominal", "prices": {"connection": 0.05}, "family-info": {"warm-keys": True}},
    True: {"load-report": {"how": "on_probe", "fields": ["waiting"]}},
}


def dressed(config: dict[str, Any], random: Random) -> dict[str, Any]:
    """The same in other words that the documents allow: it starts, and serves as before."""
    made = copy.deepcopy(config)
    made["seed"] = random.choice(SEEDS)
    settings = made["settings"]
    limits = settings["limits"]
    for key, value in limits.items():
        if isinstance(value, bool) and random.random() < 0.3:
            limits[key] = random.choice((int(value), float(value), str(value).lower()))
        elif not isinstance(value, bool) and random.random() < 0.3:
            limits[key] = random.choice((float(value), str(value)))
    limits["not-known-either"] = random.choice((None, [], {}, "x"))
    if random.random() < 0.3:
        settings |= WITHOUT_USE[settings["family"] == "mesh"]
    if random.random() < 0.3 and "accounts" not in settings:
        settings["accounts"] = random.choice((None, []))
    return made


def encoded(config: Any) -> bytes:
    return json.dumps(config).encode()


def changed(*path: str | int, value: Any) -> Any:
    """A spoiler that sets the value at a path of the configuration."""

    def spoil_it(config: dict[str, Any]) -> bytes:
        inner: Any = config
        for key in path[:-1]:
            inner = inner[key]
        inner[path[-1]] = value
        return encoded(config)

    return spoil_it


def without(*path: str | int) -> Any:
    def spoil_it(config: dict[str, Any]) -> bytes:
        inner: Any = config
        for key in path[:-1]:
            inner = inner[key]
        del inner[path[-1]]
        return encoded(config)

    return spoil_it


SPOILERS: dict[str, Any] = {
    "no file": lambda config: None,
    "empty file": lambda config: b"",
    "half a file": lambda config: encoded(config)[: len(encoded(config)) // 2],
    "a list": lambda config: b"[1, 2]",
    "no settings": without("settings"),
    "settings null": changed("settings", value=None),
    "no workloads": changed("settings", "workloads", value=[]),
    "workload without a limit": without("settings", "workloads", 0, "hard-limit-s"),
    "a limit below zero": changed("settings", "workloads", 0, "hard-limit-s", value=-1),
    "a limit that is no number": changed("settings", "workloads", 0, "hard-limit-s", value="soon"),
    "an unknown effect": changed("settings", "workloads", 0, "repeat", value="perhaps"),
    "an unknown mode of discovery": changed("settings", "discovery", value="guess"),
    "no attempt allowed": changed("settings", "limits", "most-launches", value=0),
    "a listening address that is none": changed("listen", value="nowhere"),
    "a discovery address that is none": changed("discovery", value="127.0.0.1"),
    "listening at all ports": changed("listen", value="127.0.0.1:http"),
    "descriptors that are no number": changed("limits", "sockets", value="many"),
}
