"""Draws simulated customers with settings that the documentation allows, and makes invalid configurations."""

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
WORKLOAD_NAMES = (
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
SHORT_DEADLINES = (0.15, 0.3, 0.5)  # seconds, as the next
DEADLINES = (0.8, 1.0, 2.0, 3.0)
SOCKET_LIMITS = (1024, 256, 256, 96, 64, 56)  # file descriptors that a sidecar may use


@dataclass(slots=True)
class Workload:
    """A workload, and how its requests may be repeated."""

    name: str
    effect: str
    deadline: float  # seconds, as `window`
    group: str = "cell"
    window: float = 0.0


@dataclass(slots=True)
class Customer:
    """The settings, workloads and endpoints that a customer's sidecars share."""

    name: str
    settings: dict[str, Any]
    workloads: list[Workload]
    rows: list[dict[str, Any]]  # endpoints as listed by discovery, without addresses
    sockets: int
    limits: dict[str, Any] = field(default_factory=dict)

    @property
    def grace(self) -> float:
        return float(self.settings["invariants"]["stop-sending-within-s"])

    @property
    def lists_pushed(self) -> bool:
        return self.settings["discovery"] == "push"

    @property
    def longest_deadline(self) -> float:
        return max(workload.deadline for workload in self.workloads)


def draw_workloads(random: Random) -> list[Workload]:
    """Draws workloads that together have all effects, in any order."""
    names = random.sample(WORKLOAD_NAMES, random.randint(3, 5))
    effects = [*EFFECTS, *(random.choice(EFFECTS) for _ in names[3:])]
    random.shuffle(effects)
    workloads = []
    for name, effect in zip(names, effects):
        deadline = random.choice(SHORT_DEADLINES if random.random() < 0.25 else DEADLINES)
        window = random.choice((0.2, 0.5, 2.0))
        workloads.append(Workload(name, effect, deadline, random.choice(GROUPS), window))
    return workloads


def workload_table(workload: Workload, random: Random) -> dict[str, Any]:
    table: dict[str, Any] = {
        "name": workload.name,
        "contract-time-s": workload.deadline * random.choice((0.5, 0.9, 1)),
        "hard-limit-s": workload.deadline,
        "repeat": workload.effect,
        "value": random.choice((1, 0.5, 4.0)),
    }
    if workload.effect == "by_key":
        table |= {"group": workload.group, "window-s": workload.window}
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


def draw_customer(name: str, random: Random) -> Customer:
    mesh = random.random() < 0.3
    workloads = draw_workloads(random)
    settings: dict[str, Any] = {
        "family": "mesh" if mesh else random.choice(("proxy", "chain")),
        "tier": 0 if mesh else random.choice((0, 0, 1, 2)),
        "instances": random.choice((1, 2, 5, 30)),
        "discovery": random.choice(("ask", "push")),
        "round-s": random.choice((0.001, 0.005)),
        "random-seed": str(random.randrange(2**31)),
        "workloads": [workload_table(workload, random) for workload in workloads],
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
    limits: dict[str, Any] = {"sockets": random.choice(SOCKET_LIMITS)}
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


def invalid_config(kind: str, config: dict[str, Any]) -> bytes | None:
    """The file content of an invalid configuration; None if the file is missing."""
    return INVALID_CONFIGS[kind](copy.deepcopy(config))


CONFIG_SEEDS: tuple[Any, ...] = (None, 0, 7, "7", "8c1f30d27a5be964", "not hexadecimal", 3.0)
UNUSED_SETTINGS = {  # settings without effect, by whether the family is mesh
    False: {"weights": "nominal", "prices": {"connection": 0.05}, "family-info": {"warm-keys": True}},
    True: {"load-report": {"how": "on_probe", "fields": ["waiting"]}},
}


def equivalent_config(config: dict[str, Any], random: Random) -> dict[str, Any]:
    """An equivalent configuration, written in other ways that the documentation allows."""
    config_copy = copy.deepcopy(config)
    config_copy["seed"] = random.choice(CONFIG_SEEDS)
    settings = config_copy["settings"]
    limits = settings["limits"]
    for key, value in limits.items():
        if isinstance(value, bool) and random.random() < 0.3:
            limits[key] = random.choice((int(value), float(value), str(value).lower()))
        elif not isinstance(value, bool) and random.random() < 0.3:
            limits[key] = random.choice((float(value), str(value)))
    limits["not-known-either"] = random.choice((None, [], {}, "x"))
    if random.random() < 0.3:
        settings |= UNUSED_SETTINGS[settings["family"] == "mesh"]
    if random.random() < 0.3 and "accounts" not in settings:
        settings["accounts"] = random.choice((None, []))
    return config_copy


def encode(config: Any) -> bytes:
    return json.dumps(config).encode()


def with_value(*path: str | int, value: Any) -> Any:
    """A function that makes a configuration invalid by setting the value at a path."""

    def spoil(config: dict[str, Any]) -> bytes:
        inner: Any = config
        for key in path[:-1]:
            inner = inner[key]
        inner[path[-1]] = value
        return encode(config)

    return spoil


def without_key(*path: str | int) -> Any:
    """A function that makes a configuration invalid by removing the key at a path."""

    def spoil(config: dict[str, Any]) -> bytes:
        inner: Any = config
        for key in path[:-1]:
            inner = inner[key]
        del inner[path[-1]]
        return encode(config)

    return spoil


INVALID_CONFIGS: dict[str, Any] = {
    "no file": lambda config: None,
    "empty file": lambda config: b"",
    "half a file": lambda config: encode(config)[: len(encode(config)) // 2],
    "a list": lambda config: b"[1, 2]",
    "no settings": without_key("settings"),
    "settings null": with_value("settings", value=None),
    "no workloads": with_value("settings", "workloads", value=[]),
    "workload without a limit": without_key("settings", "workloads", 0, "hard-limit-s"),
    "a limit below zero": with_value("settings", "workloads", 0, "hard-limit-s", value=-1),
    "a limit that is no number": with_value("settings", "workloads", 0, "hard-limit-s", value="soon"),
    "an unknown effect": with_value("settings", "workloads", 0, "repeat", value="perhaps"),
    "an unknown mode of discovery": with_value("settings", "discovery", value="guess"),
    "no attempt allowed": with_value("settings", "limits", "most-launches", value=0),
    "a listening address that is none": with_value("listen", value="nowhere"),
    "a discovery address that is none": with_value("discovery", value="127.0.0.1"),
    "listening at all ports": with_value("listen", value="127.0.0.1:http"),
    "descriptors that are no number": with_value("limits", "sockets", value="many"),
}
