"""Converts the platform's settings, given as name=value pairs or as nested JSON, into a `Deployment`.

`check` refuses only what can't be served under the rules. Settings without effect in a deployment's topology
are ignored, and `unused` names them; unknown keys are accepted."""

from __future__ import annotations

from math import isfinite
from typing import Any
from zlib import crc32

from lupinmill import terms as t

Fields = dict[str, str]

REPEAT_POLICIES = {"repeatable": t.RepeatPolicy.IDEMPOTENT, "by_key": t.RepeatPolicy.DEDUPLICATED}
DEDUPLICATION_SCOPES = {"all": t.DeduplicationScope.ALL, "zone": t.DeduplicationScope.ZONE}
COMMA_ESCAPE = "\x1f"  # a comma within a name, in lists joined by commas
MAX_NUMBER = 1e12


def flatten(value: Any, path: str = "") -> Fields:
    """Converts nested JSON to the simulator's pairs: `a.b`, and lists of objects as `a.count` and `a.0.b`."""
    if isinstance(value, dict):
        found: Fields = {}
        for key, inner in value.items():
            found |= flatten(inner, f"{path}.{key}" if path else key)
        return found
    if isinstance(value, list) and all(isinstance(inner, dict) for inner in value):
        found = {f"{path}.count": str(len(value))}
        for at, inner in enumerate(value):
            found |= flatten(inner, f"{path}.{at}")
        return found
    if isinstance(value, list):
        return {path: ",".join(plain(inner).replace(",", COMMA_ESCAPE) for inner in value)}
    return {path: plain(value)}


def plain(value: Any) -> str:
    if value is None:
        return ""
    return str(value).lower() if isinstance(value, bool) else str(value)


TRUE, FALSE = ("true", "1", "1.0"), ("", "false", "0", "0.0")


class Settings:
    """Typed access to the pairs. An empty value or null counts as missing."""

    def __init__(self, fields: Fields) -> None:
        self.fields = fields

    def text(self, key: str, default: str = "") -> str:
        return self.fields.get(key) or default

    def number(self, key: str, default: float = 0.0) -> float:
        return float(self.fields.get(key) or default)

    def micros(self, key: str, default: float = 0.0) -> int:
        return round(self.number(key, default) * 1_000_000)

    def flag(self, key: str, default: bool = False) -> bool:
        return (self.fields.get(key) or ("true" if default else "false")) in TRUE

    def names(self, key: str) -> tuple[str, ...]:
        return tuple(name.replace(COMMA_ESCAPE, ",") for name in self.text(key).split(",") if name)

    def items(self, key: str) -> list[Settings]:
        prefixes = [f"{key}.{i}." for i in range(int(self.number(f"{key}.count")))]
        return [
            Settings({k[len(p) :]: v for k, v in self.fields.items() if k.startswith(p)}) for p in prefixes
        ]


def seed_of(value: Any, name: str) -> int:
    """The seed as decimal or hexadecimal digits, or as a number. Where it is missing or unusable, it is
    derived from the sidecar's name, so that the sidecars of a fleet don't all draw the same numbers."""
    if isinstance(value, str):
        for base in (16, 10):
            try:
                return int(value, base)
            except ValueError:
                pass
    elif isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value):
        return int(value)
    return crc32(name.encode("utf-8", "backslashreplace"))


def decimal_seed(text: str) -> int:
    """The simulator's seed: a whole number; any other text is hashed."""
    try:
        return int(text)
    except ValueError:
        return crc32(text.encode("utf-8", "backslashreplace"))


def workload(settings: Settings) -> t.Workload:
    return t.Workload(
        name=settings.text("name"),
        contract=settings.micros("contract-time-s"),
        hard_limit=settings.micros("hard-limit-s"),
        value=settings.number("value", 1.0),
        overdue_value=settings.number("overdue-value"),
        repeat=REPEAT_POLICIES.get(settings.text("repeat"), t.RepeatPolicy.UNREPEATABLE),
        group=DEDUPLICATION_SCOPES.get(settings.text("group"), t.DeduplicationScope.CELL),
        window=settings.micros("window-s"),
        zones=settings.names("confined-to"),
        kinds=settings.names("bound-to"),
    )


def deployment(fields: Fields) -> t.Deployment:
    settings = Settings(fields)
    # Settings without effect in a topology count as missing.
    per_client = settings.text("family") == "mesh"
    return t.Deployment(
        seed=decimal_seed(settings.text("random-seed", "0")),
        tier=int(settings.number("tier")),
        instances=max(1, int(settings.number("instances", 1))),
        workloads=[workload(w) for w in settings.items("workloads")],
        tenants=[t.Tenant(a.text("name"), a.number("quota-per-s")) for a in settings.items("accounts")],
        beyond_share_value=settings.number("beyond-share-value", 1.0),
        pooled_weight=settings.number("blend.whole") + settings.number("blend.worst-window"),
        evenness_weight=settings.number("blend.worst-class") + settings.number("blend.kept-promises"),
        poll_discovery=settings.text("discovery") == "ask",
        poll_interval=settings.micros("invariants.ask-within-s", 10.0),
        grace=settings.micros("invariants.stop-sending-within-s", 0.5),
        cold_share=min(1.0, settings.number("invariants.cold-share", 1.0)),
        cold_time=settings.micros("invariants.cold-s"),
        overload_time=settings.micros("invariants.fall-s", 1.0),
        round=settings.micros("round-s", 0.001),
        max_attempts=int(settings.number("limits.most-launches", 1)),
        hedging_allowed=not per_client and settings.flag("limits.may-duplicate"),
        cancel_allowed=settings.flag("limits.cancel"),
        probes_allowed=not per_client and settings.flag("limits.probes"),
        reports_asked=not per_client and settings.text("load-report.how", "off") == "on_probe",
        advice_allowed=settings.flag("limits.retry-after"),
        longest_advice=settings.micros("limits.max-retry-after-s"),
        sidecar_per_client=per_client,
        zone=settings.text("locality"),
        gone_binds=not settings.flag("invariants.dropped-stay-open"),
        uneven=per_client or settings.number("prices.cross-zone") > 0 or len(settings.names("kinds")) > 1,
        crossing_price=settings.number("prices.cross-zone"),
        warm_keys=per_client and settings.flag("family-info.warm-keys"),
        weights_live=settings.text("weights") == "live",
        weights_tell_speed=per_client and settings.text("weights") == "nominal",
        few_connections=(
            per_client
            and settings.number("limits.streams-per-conn", 1) > 1
            and settings.number("prices.connection") > 0
        ),
    )


# Settings without effect in one of the topologies, and the values that don't ask for them. To ignore them is
# always within the rules: no hedging, no probes, an endpoint's weight as its size.
PER_CLIENT_ONLY = {
    "limits.streams-per-conn": ("", "1", "1.0"),
    "family-info.warm-keys": FALSE,
    "prices.connection": ("", "0", "0.0"),
    "weights": ("", "off", "rough", "live"),
}
SHARED_ONLY = {
    "limits.may-duplicate": FALSE,
    "limits.probes": FALSE,
    "load-report.how": ("", "off", "inline"),
}
CHOICES = {
    "family": ("", "proxy", "chain", "mesh"),
    "weights": ("", "off", "nominal", "rough", "live"),
    "discovery": ("", "ask", "push"),
}
FLAGS = (
    "limits.may-duplicate",
    "limits.cancel",
    "limits.probes",
    "limits.retry-after",
    "invariants.dropped-stay-open",
    "family-info.warm-keys",
)
PLACEMENT_KEYS = {
    "confined-to": "areas",
    "bound-to": "kinds",
}  # a workload's key, and the key that lists all names
# The minimum of each number; the maximum is MAX_NUMBER.
MINIMUMS = {
    "instances": 0.0,
    "tier": 0.0,
    "beyond-share-value": 0.0,
    "blend.whole": 0.0,
    "blend.worst-window": 0.0,
    "blend.worst-class": 0.0,
    "blend.kept-promises": 0.0,
    "invariants.ask-within-s": 0.0,
    "invariants.cold-share": 0.0,
    "invariants.cold-s": 0.0,
    "invariants.fall-s": 0.0,
    "invariants.stop-sending-within-s": 0.0,
    "round-s": 0.0,
    "limits.most-launches": 1.0,
    "limits.conn-idle-s": 0.0,
    "limits.connect-timeout-s": 0.0,
    "limits.max-retry-after-s": 0.0,
    "limits.streams-per-conn": 1.0,
    "prices.connection": 0.0,
    "prices.cross-zone": 0.0,
    "workloads.count": 0.0,
    "accounts.count": 0.0,
}
ITEM_MINIMUMS = {"workloads": {"value": 0.0, "overdue-value": 0.0}, "accounts": {"quota-per-s": 0.0}}


def unused(fields: Fields) -> list[str]:
    """The keys of settings without effect in this topology."""
    ignored = SHARED_ONLY if fields.get("family") == "mesh" else PER_CLIENT_ONLY
    return [
        f"settings.{key}"
        for key, default_values in ignored.items()
        if fields.get(key, "") not in default_values
    ]


def check(fields: Fields) -> None:
    """Raises ValueError, whose text names the key and the fault."""
    for key, choices in CHOICES.items():
        if fields.get(key, "") not in choices:
            raise ValueError(
                f"settings.{key}: {fields[key]!r} is not one of {', '.join(filter(None, choices))}"
            )
    for key in FLAGS:
        if fields.get(key, "") not in TRUE + FALSE:
            raise ValueError(f"settings.{key}: {fields[key]!r} is neither true nor false")
    for key, minimum in MINIMUMS.items():
        check_number(fields, key, minimum)
    for kind, numbers in ITEM_MINIMUMS.items():
        for at in range(int(number_at(fields, f"{kind}.count", "0"))):
            for key, minimum in numbers.items():
                check_number(fields, f"{kind}.{at}.{key}", minimum)
    check_workloads(fields)
    check_placement(fields)


def check_number(fields: Fields, key: str, minimum: float) -> None:
    if not minimum <= number_at(fields, key, str(minimum)) <= MAX_NUMBER:
        raise ValueError(f"settings.{key}: {fields[key]!r} is not within {minimum:g} to {MAX_NUMBER:g}")


def check_placement(fields: Fields) -> None:
    s = Settings(fields)
    for at, w in enumerate(s.items("workloads")):
        for key, all_names_key in PLACEMENT_KEYS.items():
            names = s.names(all_names_key)
            for name in w.names(key):
                if names and name not in names:
                    raise ValueError(
                        f"settings.workloads.{at}.{key}: {name!r} is not one of {', '.join(names)}"
                    )
    zone, zones = s.text("locality"), s.names("areas")
    if zone and zones and zone not in zones:
        raise ValueError(f"settings.locality: {zone!r} is not one of {', '.join(zones)}")
    if not zone and s.number("prices.cross-zone") > 0:
        raise ValueError("settings.locality: missing, though settings.prices.cross-zone is set")


# What decides whether an effect may happen twice must not be guessed, so unknown words are refused here.
REPEAT_WORDS = ("repeatable", "by_key", "once")
SCOPE_WORDS = ("", "all", "zone", "cell")
WINDOW_KEY = "window-s"  # required where repeats are deduplicated by key
DURATION_KEYS = ("contract-time-s", "hard-limit-s", WINDOW_KEY)  # seconds, each above 0


def check_workloads(fields: Fields) -> None:
    names: list[str] = []
    for at, w in enumerate(Settings(fields).items("workloads")):
        path = f"workloads.{at}"
        name = w.text("name")
        if not name or name in names:
            raise ValueError(f"settings.{path}.name: {name!r} is none, or there already")
        names.append(name)
        check_word(fields, f"{path}.repeat", REPEAT_WORDS)
        keyed = w.text("repeat") == "by_key"
        if keyed:
            check_word(fields, f"{path}.group", SCOPE_WORDS)
        for key in DURATION_KEYS:
            if key != WINDOW_KEY or keyed:
                check_duration(fields, f"{path}.{key}")


def check_word(fields: Fields, key: str, words: tuple[str, ...]) -> None:
    value = fields.get(key, "")
    if value not in words:
        raise ValueError(f"settings.{key}: {value!r} is not one of {', '.join(filter(None, words))}")


def check_duration(fields: Fields, key: str) -> None:
    if not fields.get(key):
        raise ValueError(f"settings.{key}: missing")
    if not 0 < number_at(fields, key, "") <= MAX_NUMBER:
        raise ValueError(f"settings.{key}: {fields[key]!r} is not above 0")


def number_at(fields: Fields, key: str, default: str) -> float:
    text = fields.get(key) or default
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not isfinite(value):
        raise ValueError(f"settings.{key}: {text!r} is not a number")
    return value


def idle_timeout_s(fields: Fields) -> float:
    """The shortest time for which an endpoint keeps an idle connection open."""
    return Settings(fields).number("limits.conn-idle-s", 5.0)


def connect_timeout_s(fields: Fields) -> float:
    return Settings(fields).number("limits.connect-timeout-s", 1.0) or 1.0
