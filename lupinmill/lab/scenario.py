"""Scenario files in TOML: the site and its troubles. They are validated as a whole when read. A number may
be a range `[a, b]`, from which a value is drawn by seed. `base` names another scenario, whose tables are the
defaults, key by key."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, Literal

import msgspec

Range = float | tuple[float, float]
SHIPPED = Path(__file__).parent / "scenarios"
MAX_BASE_DEPTH = 8  # of bases that have a base themselves
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
    """The message is one line: file, key and reason."""


class StrictStruct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    pass


class Kind(StrictStruct):
    """Machines of one kind. Speeds are relative to the core for which `work_ms` is given."""

    name: str
    share: Range = 1.0
    cores: int = 1
    speed: Range = 1.0
    speed_cv: Range = 0.0
    slots_per_core: Range = 4.0
    queue_per_core: Range = 20.0
    # Capacity is divided by 1 + crowding * (requests per core / crowding_at - 1) where that is above 1.
    crowding: Range = 0.0
    crowding_at: Range = 10.0
    cold_from: Range = 1.0
    cold_s: Range = 0.0
    warm_by: Literal["time", "requests"] = "time"
    pause_every_s: Range = 10.0
    pause_ms: Range = 0.0
    error_rate: Range = 0.0
    cancel: Literal["none", "queued", "all"] = "all"  # which requests a cancel or a closed connection stops
    drops_expired: bool = False


class Report(StrictStruct):
    how: Literal["none", "probe", "answers"] = "none"
    fields: list[Field] = []
    period_ms: Range = 200.0
    delay_ms: Range = 0.0
    noise: Range = 0.0


class Jam(StrictStruct):
    """Slowdown under a deep queue. It starts when the requests held, averaged over `over_s`, exceed the
    number of cores plus `at` times its square root. The endpoint is then `slower` until it was mostly idle
    (busy less than `below`) for `rest_s`, or until `most_s` have passed. At most once per run."""

    share: Range = 1.0  # of seeds with which a jam is possible at all
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
    per_caller: Range = 0.0  # if above 0: machines per machine of the tier before
    work: Range = 1.0  # share of a request's work that one call needs here
    calls: Range = 1.0  # that one request of the tier before makes here, in sequence
    call_work: Literal["own", "alike"] = "own"  # a call's work is drawn independently, or equals its caller's
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
    """Either `rate` requests per second, or `part` as a share of the site's capacity."""

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
    follows_advice: Range = 0.0  # share of clients that wait as long as the answer advises
    impatient: Range = 0.0
    slow: int = 0  # on sockets: connections that send a request byte by byte
    idle: int = 0  # on sockets: connections that send nothing
    tiny_chunks: int = 0  # on sockets: connections that send bodies in chunks of one byte at full speed
    many_headers: int = 0  # on sockets: connections that send heads with 1,100 headers at full speed


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
    endpoints: list[float] = []  # shares of the endpoints, in the order of the zones; none: equal
    traffic: list[float] = []  # shares of clients' traffic, by the sidecar's zone; none: equal


class Sidecars(StrictStruct):
    count: Range = 2.0
    round_ms: float = 5.0
    notice_s: Range = 2.0  # for how long clients are still routed to a dead one
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
    """Weights, normalized to a sum of 1, and prices in units of service."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_workload: float = 0.0
    worst_tenant: float = 0.0
    tail: float = 0.0
    tail_miss: float = 0.03
    waste: float = 0.0
    late_fail: float = 0.0
    probe: float = 0.0
    cross_zone: float = 0.0  # for each attempt or call that crosses zones, per request
    jammed: float = 0.0


class Event(StrictStruct):
    """One trouble. `part` is the share of endpoints or sidecars that it affects; the meaning of `size` and
    `extra` depends on its kind; see docs/lab.md."""

    kind: Trouble
    at_s: Range = 0.0
    lasts_s: Range = 10.0
    part: Range = 0.1
    size: Range = 1.0
    extra: Range = 0.0
    tier: str = ""
    tenant: str = ""
    zone: str = ""  # for troubles of zones; empty: a zone is drawn
    weight: float = 1.0  # among random troubles: relative probability
    then: list[Event] = []  # for random troubles: those that follow, `at_s` after the end of this one


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
    """Returns the path of a scenario, given a path or the name of a shipped one."""
    path = Path(name)
    if path.suffix != ".toml" and not path.is_file():
        path = SHIPPED / f"{name}.toml"
    if not path.is_file():
        raise BadScenario(f"{name}: no such file, and no shipped scenario: {', '.join(shipped())}")
    return path


def read_tables(path: Path, depth: int = 0) -> dict[str, Any]:
    """Reads the tables of a file, merged over those of its base."""
    if depth > MAX_BASE_DEPTH:
        raise BadScenario(f"{path}: base: more than {MAX_BASE_DEPTH} files deep, or circular")
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
    sibling = path.parent / f"{base}.toml"
    try:
        base_path = sibling if sibling.is_file() else find(base)
    except BadScenario as error:
        raise BadScenario(f"{path}: base: {error}") from error
    return merge_tables(read_tables(base_path, depth + 1), table)


def merge_tables(base: dict[str, Any], table: dict[str, Any]) -> dict[str, Any]:
    """Merges `table` over `base`, key by key. A list replaces that of the base, except that lists of named
    tables with a name in common are merged by name."""
    merged = dict(base)
    for key, value in table.items():
        base_value = merged.get(key)
        if isinstance(value, dict) and isinstance(base_value, dict):
            merged[key] = merge_tables(base_value, value)
        elif (
            are_named_tables(value)
            and are_named_tables(base_value)
            and {row["name"] for row in value} & {row["name"] for row in base_value}
        ):
            rows = {row["name"]: row for row in base_value}
            changed = {row["name"]: merge_tables(rows.get(row["name"], {}), row) for row in value}
            merged[key] = [changed.pop(name, row) for name, row in rows.items()] + list(changed.values())
        else:
            merged[key] = value
    if "rate" in table or "part" in table:  # each replaces the other in the base
        merged.pop("part" if "rate" in table else "rate", None)
    if "rate" in table and "part" in table:
        merged["part"] = table["part"]  # both in one file: rejected by `check`
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


def problems(scenario: Scenario) -> list[str]:
    """Returns what the types do not rule out, each with its key."""
    found = []
    for key, rows in (("tier", scenario.tier), ("workload", scenario.workload)):
        if not rows:
            found.append(f"{key}: at least one is wanted")
        if len({row.name for row in rows}) < len(rows):
            found.append(f"{key}: two have the same name")
    if (scenario.load.rate is None) == (scenario.load.part is None):
        found.append("load: either `rate` or `part` is wanted")
    tiers, tenants = {tier.name for tier in scenario.tier}, {tenant.name for tenant in scenario.tenant}
    for index, event in enumerate(scenario.trouble + scenario.random):
        if event.tier and event.tier not in tiers:
            found.append(f"trouble {index}: tier: {event.tier!r} is none of {', '.join(sorted(tiers))}")
        if event.tenant and event.tenant not in tenants:
            found.append(f"trouble {index}: tenant: {event.tenant!r} is not listed")
        if event.zone and event.zone not in scenario.net.zones:
            found.append(f"trouble {index}: zone: {event.zone!r} is none of {', '.join(scenario.net.zones)}")
        if event.kind == "tenant_burst" and not scenario.tenant:
            found.append(f"trouble {index}: kind: tenant_burst without any tenant")
    for key, shares in (
        ("regions", scenario.net.regions),
        ("endpoints", scenario.net.endpoints),
        ("traffic", scenario.net.traffic),
    ):
        if shares and len(shares) != len(scenario.net.zones):
            found.append(f"net.{key}: wants one for each of the {len(scenario.net.zones)} zones")
        if shares and key != "regions" and not sum(shares) > 0:
            found.append(f"net.{key}: wants a part above 0")
    for workload in scenario.workload:
        if workload.contract_s > workload.hard_limit_s:
            found.append(f"workload {workload.name}: contract_s: beyond hard_limit_s")
    found += [f"{path}: {reason}" for path, reason in invalid_ranges(msgspec.to_builtins(scenario), "")]
    return found


def invalid_ranges(value: Any, path: str) -> list[tuple[str, str]]:
    """Returns path and reason of reversed ranges and of negative or excessive numbers."""
    if isinstance(value, dict):
        return [
            problem
            for key, inner in value.items()
            for problem in invalid_ranges(inner, f"{path}.{key}" if path else key)
        ]
    if isinstance(value, (list, tuple)):
        is_range = len(value) == 2 and all(isinstance(v, (int, float)) for v in value)
        found = [(path, "the range's end lies before its start")] if is_range and value[1] < value[0] else []
        return found + [
            problem
            for index, inner in enumerate(value)
            for problem in invalid_ranges(inner, f"{path}[{index}]")
        ]
    if isinstance(value, (int, float)) and not isinstance(value, bool) and not 0 <= value < 1e9:
        return [(path, "below 0, or absurdly large")]
    return []


def load(name: str) -> Scenario:
    """Reads and validates a scenario; raises BadScenario with file, key and reason."""
    path = find(name)
    return check(read_tables(path), str(path))
