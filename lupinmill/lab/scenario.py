"""Scenario files: what a site is made of and what goes wrong, in TOML, checked whole. A figure may be a range
`[a, b]`, drawn by seed. `base` names another scenario, whose tables are taken over key by key."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, Literal

import msgspec

Range = float | tuple[float, float]
SHIPPED = Path(__file__).parent / "scenarios"
MAX_BASE_DEPTH = 8  # bases of bases
Field = Literal["queued", "held", "busy", "service", "rate"]
Trouble = Literal[
    "crash",
    "vanish",
    "hang",
    "slow",
    "shared_slow",
    "errors",
    "spoilt",
    "resets",
    "pauses",
    "neighbour",
    "reports_late",
    "burst",
    "tenant_burst",
    "deploy",
    "list_late",
    "list_silent",
    "list_down",
    "sidecar_roll",
    "sidecar_kill",
    "sidecar_starved",
    "zone_cut",
    "zone_apart",
    "zone_slow",
    "zone_link",
]


class BadScenario(Exception):
    """The text is one line: file, key and reason."""


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    pass


class Kind(StrictStruct):
    """Machines of one kind. Speeds are multiples of the yardstick core that `work_ms` is told for."""

    name: str
    share: Range = 1.0
    cores: int = 1
    speed: Range = 1.0
    speed_cv: Range = 0.0
    slots_per_core: Range = 4.0
    queue_per_core: Range = 20.0
    crowding: Range = (
        0.0  # part of the capacity lost for each multiple of `crowding_at` held a core beyond it
    )
    crowding_at: Range = 10.0
    cold_from: Range = 1.0
    cold_s: Range = 0.0
    warm_by: Literal["time", "requests"] = "time"
    pause_every_s: Range = 10.0
    pause_ms: Range = 0.0
    error_rate: Range = 0.0
    cancel: Literal["none", "queued", "all"] = "all"  # what a cancel or a client gone stops
    drops_expired: bool = False


class Report(StrictStruct):
    how: Literal["none", "probe", "answers"] = "none"
    fields: list[Field] = []
    period_ms: Range = 200.0
    delay_ms: Range = 0.0
    noise: Range = 0.0


class Jam(StrictStruct):
    """Slowing under a deep queue: more held than the cores and `at` for the root of their number, in the mean
    of `over_s`, then `slower` until mostly idle (busy under `below`) for `rest_s`, or for `most_s`; once a
    run."""

    share: Range = 1.0  # of the seeds, on which it can come about at all
    at: Range = 7.0
    over_s: Range = 2.0
    slower: Range = 1.0
    rest_s: Range = 3.0
    below: Range = 0.35
    most_s: Range = 20.0


class Connections(StrictStruct):
    round_trips: Range = 1.0
    work_us: Range = 100.0
    idle_s: float = 30.0
    time_out_ms: float = 200.0
    most_per_core: Range = 1000.0


class Tier(StrictStruct):
    name: str
    count: Range = 6.0
    per_caller: Range = 0.0  # where above 0: so many machines for each of the tier before
    work: Range = 1.0  # part of a submission's work that one call does here
    calls: Range = 1.0  # that one request of the tier before makes here, one after another
    call_work: Literal["own", "alike"] = "own"  # a call's work is drawn anew, or as large as its caller's
    cell_size: Range = 4.0
    probe_us: Range = 80.0
    kind: list[Kind] = msgspec.field(default_factory=lambda: [Kind(name="std")])
    report: Report = Report()
    connections: Connections = Connections()
    jam: Jam | None = None


class Workload(StrictStruct):
    name: str
    share: Range = 1.0
    work_ms: Range = 20.0
    spread: Literal["fixed", "exponential", "lognormal"] = "exponential"
    cv: Range = 1.0
    launch_noise: Range = 0.0
    contract_s: float = 0.5
    hard_limit_s: float = 1.0
    value: float = 1.0
    overdue: float = 0.0
    repeat: Literal["idempotent", "deduplicated", "unrepeatable"] = "idempotent"
    group: Literal["all", "zone", "cell"] = "cell"
    window_s: float = 5.0


class Tenant(StrictStruct):
    name: str
    share: float
    usage: Range = 1.0


class Load(StrictStruct):
    """Either `rate` a second, or `part` of what the whole site can do."""

    rate: Range | None = None
    part: Range | None = None
    shape: list[Literal["steady", "wave", "bursty"]] = msgspec.field(default_factory=lambda: ["steady"])
    swing: Range = 0.0
    quota_of_capacity: Range = 1.0
    beyond_share_value: float = 1.0


class Clients(StrictStruct):
    retries: Range = 0.0
    try_share: Range = 1.0
    wait: list[Literal["none", "fixed", "exponential"]] = msgspec.field(default_factory=lambda: ["none"])
    wait_ms: Range = 100.0
    marks: bool = True
    follows_advice: Range = 0.0  # the part of clients that come back when they are told to
    impatient: Range = 0.0
    slow: int = 0  # on sockets: connections that send a request byte by byte
    idle: int = 0  # on sockets: connections that say nothing


class Discovery(StrictStruct):
    how: Literal["ask", "push"] = "push"
    notice_s: Range = 1.0
    silent_notice_s: Range = 8.0
    add_s: Range = 1.0
    spread_ms: Range = 100.0
    calls_per_s: Range = 50.0
    time_out_s: float = 3.0


class Net(StrictStruct):
    zones: list[str] = msgspec.field(default_factory=lambda: ["a"])
    same_ms: Range = 0.2
    cross_ms: Range = 1.0
    client_ms: Range = 0.5
    jitter: Range = 0.1
    regions: list[str] = []  # of the zones, in their order
    endpoints: list[float] = []  # parts of the endpoints, in the order of the zones; none: alike
    traffic: list[float] = []  # parts of what clients send, by the sidecar's zone; none: alike


class Sidecars(StrictStruct):
    count: Range = 2.0
    round_ms: float = 5.0
    notice_s: Range = 2.0  # for how long the front goes on sending to a dead one
    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


class Limits(StrictStruct):
    launches: int = 4
    copies: bool = True
    cancel: bool = True
    probes: bool = True
    advice_s: float = 0.0
    passes_deadline: bool = True


class Rules(StrictStruct):
    drain_grace_s: float = 1.0
    fall_multiple: float = 3.0
    fall_s: float = 2.0
    ask_within_s: float = 10.0
    answer_grace_ms: float = 20.0


class Goal(StrictStruct):
    """Weights, scaled to sum 1, and prices in parts of service."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_workload: float = 0.0
    worst_tenant: float = 0.0
    tail: float = 0.0
    tail_miss: float = 0.03
    waste: float = 0.0
    late_fail: float = 0.0
    probe: float = 0.0
    cross_zone: float = 0.0  # for each launch or call that crosses zones, a submission
    jammed: float = 0.0


class Event(StrictStruct):
    """One trouble. `part` is the share of endpoints (or sidecars) that it meets, `size` and `extra` depend on
    its kind; see docs/lab.md."""

    kind: Trouble
    at_s: Range = 0.0
    lasts_s: Range = 10.0
    part: Range = 0.1
    size: Range = 1.0
    extra: Range = 0.0
    tier: str = ""
    tenant: str = ""
    zone: str = ""  # of a trouble of zones: this one, else one drawn
    weight: float = 1.0  # among random troubles: how likely beside the others
    then: list[Event] = []  # random troubles: what follows, `at_s` after the end of this one


class Scenario(StrictStruct):
    title: str = ""
    seconds: Range = 60.0
    sidecars: Sidecars = Sidecars()
    limits: Limits = Limits()
    rules: Rules = Rules()
    goal: Goal = Goal()
    net: Net = Net()
    load: Load = Load(rate=50.0)
    clients: Clients = Clients()
    discovery: Discovery = Discovery()
    tier: list[Tier] = msgspec.field(default_factory=lambda: [Tier(name="endpoints")])
    workload: list[Workload] = msgspec.field(default_factory=lambda: [Workload(name="view")])
    tenant: list[Tenant] = []
    trouble: list[Event] = []
    random_count: Range = 0.0
    random: list[Event] = []


def shipped() -> list[str]:
    return sorted(path.stem for path in SHIPPED.glob("*.toml"))


def find(name: str) -> Path:
    """A path, or the name of a shipped scenario."""
    path = Path(name)
    if path.suffix != ".toml" and not path.is_file():
        path = SHIPPED / f"{name}.toml"
    if not path.is_file():
        raise BadScenario(f"{name}: no such file, and no shipped scenario: {', '.join(shipped())}")
    return path


def read_tables(path: Path, depth: int = 0) -> dict[str, Any]:
    """The file's tables over those of its base."""
    if depth > MAX_BASE_DEPTH:
        raise BadScenario(f"{path}: base: more than {MAX_BASE_DEPTH} files deep, or in a circle")
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise BadScenario(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise BadScenario(f"{path}: {error}") from error
    base = table.pop("base", None)
    if base is None:
        return table
    if not isinstance(base, str):
        raise BadScenario(f"{path}: base: not a name")
    beside = path.parent / f"{base}.toml"
    try:
        below = beside if beside.is_file() else find(base)
    except BadScenario as error:
        raise BadScenario(f"{path}: base: {error}") from error
    return merge_tables(read_tables(below, depth + 1), table)


def merge_tables(base: dict[str, Any], table: dict[str, Any]) -> dict[str, Any]:
    """Tables key by key; a list stands in place of the base's, but lists of named tables that share a name go
    name by name."""
    merged = dict(base)
    for key, value in table.items():
        old = merged.get(key)
        if isinstance(value, dict) and isinstance(old, dict):
            merged[key] = merge_tables(old, value)
        elif (
            are_named_tables(value)
            and are_named_tables(old)
            and {row["name"] for row in value} & {row["name"] for row in old}
        ):
            rows = {row["name"]: row for row in old}
            changed = {row["name"]: merge_tables(rows.get(row["name"], {}), row) for row in value}
            merged[key] = [changed.pop(name, row) for name, row in rows.items()] + list(changed.values())
        else:
            merged[key] = value
    if "rate" in table or "part" in table:  # each stands in place of the base's other
        merged.pop("part" if "rate" in table else "rate", None)
    if "rate" in table and "part" in table:
        merged["part"] = table["part"]  # both at once is refused later on
    return merged


def are_named_tables(value: Any) -> bool:
    rows = isinstance(value, list) and value and all(isinstance(row, dict) for row in value)
    return bool(rows) and all(isinstance(row.get("name"), str) for row in value)


def check(table: dict[str, Any], where: str) -> Scenario:
    try:
        found = msgspec.convert(table, Scenario)
    except msgspec.ValidationError as error:
        raise BadScenario(f"{where}: {error}") from error
    for reason in problems(found):
        raise BadScenario(f"{where}: {reason}")
    return found


def problems(s: Scenario) -> list[str]:
    """What types alone can't say, each with its key."""
    found = []
    for key, rows in (("tier", s.tier), ("workload", s.workload)):
        if not rows:
            found.append(f"{key}: at least one is wanted")
        if len({row.name for row in rows}) < len(rows):
            found.append(f"{key}: two have the same name")
    if (s.load.rate is None) == (s.load.part is None):
        found.append("load: either `rate` or `part` is wanted")
    tiers, tenants = {tier.name for tier in s.tier}, {tenant.name for tenant in s.tenant}
    for at, event in enumerate(s.trouble + s.random):
        if event.tier and event.tier not in tiers:
            found.append(f"trouble {at}: tier: {event.tier!r} is none of {', '.join(sorted(tiers))}")
        if event.tenant and event.tenant not in tenants:
            found.append(f"trouble {at}: tenant: {event.tenant!r} is not listed")
        if event.zone and event.zone not in s.net.zones:
            found.append(f"trouble {at}: zone: {event.zone!r} is none of {', '.join(s.net.zones)}")
        if event.kind == "tenant_burst" and not s.tenant:
            found.append(f"trouble {at}: kind: tenant_burst without any tenant")
    for key, rows_ in (
        ("regions", s.net.regions),
        ("endpoints", s.net.endpoints),
        ("traffic", s.net.traffic),
    ):
        if rows_ and len(rows_) != len(s.net.zones):
            found.append(f"net.{key}: wants one for each of the {len(s.net.zones)} zones")
        if rows_ and key != "regions" and not sum(rows_) > 0:
            found.append(f"net.{key}: wants a part above 0")
    for workload in s.workload:
        if workload.contract_s > workload.hard_limit_s:
            found.append(f"workload {workload.name}: contract_s: beyond hard_limit_s")
    found += [f"{path}: {reason}" for path, reason in invalid_ranges(msgspec.to_builtins(s), "")]
    return found


def invalid_ranges(value: Any, path: str) -> list[tuple[str, str]]:
    """Ranges the wrong way round, and figures below zero."""
    if isinstance(value, dict):
        return [
            bad
            for key, inner in value.items()
            for bad in invalid_ranges(inner, f"{path}.{key}" if path else key)
        ]
    if isinstance(value, (list, tuple)):
        pair = len(value) == 2 and all(isinstance(v, (int, float)) for v in value)
        found = [(path, "the range's end lies before its start")] if pair and value[1] < value[0] else []
        return found + [
            bad for at, inner in enumerate(value) for bad in invalid_ranges(inner, f"{path}[{at}]")
        ]
    if isinstance(value, (int, float)) and not isinstance(value, bool) and not 0 <= value < 1e9:
        return [(path, "below 0, or absurdly large")]
    return []


def load(name: str) -> Scenario:
    """Raises BadScenario with file, key and reason."""
    path = find(name)
    return check(read_tables(path), str(path))
