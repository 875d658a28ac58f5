"""The settings that a sidecar is told, as name=value pairs or as nested JSON, turned into a `Deployment`.

`check` refuses only what can't be served under the rules. What is merely without use in a deployment's shape
is ignored, and `unused` names it; keys that nothing here reads are no fault."""

from __future__ import annotations

from math import isfinite
from typing import Any
from zlib import crc32

from lupinmill import terms as t

Fields = dict[str, str]

REPEATS = {"repeatable": t.RepeatPolicy.IDEMPOTENT, "by_key": t.RepeatPolicy.DEDUPLICATED}
GROUPS = {"all": t.DeduplicationScope.ALL, "zone": t.DeduplicationScope.ZONE}
COMMA = "\x1f"  # stands for a comma within a name, where lists are joined by commas
LARGEST = 1e12  # of any number: beyond it there is no figure of a deployment


def flatten(value: Any, path: str = "") -> Fields:
    """Nested JSON as the pairs of the simulator's wire: `a.b`, lists of objects under `.count` and `.0`."""
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
        return {path: ",".join(plain(inner).replace(",", COMMA) for inner in value)}
    return {path: plain(value)}


def plain(value: Any) -> str:
    if value is None:
        return ""
    return str(value).lower() if isinstance(value, bool) else str(value)


TRUE, FALSE = ("true", "1", "1.0"), ("", "false", "0", "0.0")


class Settings:
    """Typed look-ups in the start-up pairs. A value that is empty, or null, is as good as none."""

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
        return tuple(name.replace(COMMA, ",") for name in self.text(key).split(",") if name)

    def items(self, key: str) -> list[Settings]:
        prefixes = [f"{key}.{i}." for i in range(int(self.number(f"{key}.count")))]
        return [
            Settings({k[len(p) :]: v for k, v in self.fields.items() if k.startswith(p)}) for p in prefixes
        ]


def seed_of(value: Any, name: str) -> int:
    """A seed as decimal or hexadecimal digits, or as a number. One that is neither, or none, gives way to one
    drawn from the sidecar's name: guards against a fleet in which all draw alike."""
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
    """As the wire has it: a whole number; what is none counts by its letters."""
    try:
        return int(text)
    except ValueError:
        return crc32(text.encode("utf-8", "backslashreplace"))


def workload(s: Settings) -> t.Workload:
    return t.Workload(
        name=s.text("name"),
        contract=s.micros("contract-time-s"),
        hard_limit=s.micros("hard-limit-s"),
        value=s.number("value", 1.0),
        overdue_value=s.number("overdue-value"),
        repeat=REPEATS.get(s.text("repeat"), t.RepeatPolicy.UNREPEATABLE),
        group=GROUPS.get(s.text("group"), t.DeduplicationScope.CELL),
        window=s.micros("window-s"),
        zones=s.names("confined-to"),
        kinds=s.names("bound-to"),
    )


def deployment(fields: Fields) -> t.Deployment:
    s = Settings(fields)
    beside = s.text("family") == "mesh"  # what has no use in the one shape or the other counts as not told
    return t.Deployment(
        seed=decimal_seed(s.text("random-seed", "0")),
        tier=int(s.number("tier")),
        instances=max(1, int(s.number("instances", 1))),
        workloads=[workload(w) for w in s.items("workloads")],
        tenants=[t.Tenant(a.text("name"), a.number("quota-per-s")) for a in s.items("accounts")],
        beyond_share_value=s.number("beyond-share-value", 1.0),
        pooled_weight=s.number("blend.whole") + s.number("blend.worst-window"),
        evenness_weight=s.number("blend.worst-class") + s.number("blend.kept-promises"),
        poll_discovery=s.text("discovery") == "ask",
        poll_interval=s.micros("invariants.ask-within-s", 10.0),
        grace=s.micros("invariants.stop-sending-within-s", 0.5),
        cold_share=min(1.0, s.number("invariants.cold-share", 1.0)),
        cold_time=s.micros("invariants.cold-s"),
        overload_time=s.micros("invariants.fall-s", 1.0),
        round=s.micros("round-s", 0.001),
        max_attempts=int(s.number("limits.most-launches", 1)),
        hedging_allowed=not beside and s.flag("limits.may-duplicate"),
        cancel_allowed=s.flag("limits.cancel"),
        probes_allowed=not beside and s.flag("limits.probes"),
        reports_asked=not beside and s.text("load-report.how", "off") == "on_probe",
        advice_allowed=s.flag("limits.retry-after"),
        longest_advice=s.micros("limits.max-retry-after-s"),
        sidecar_per_client=beside,
        zone=s.text("locality"),
        gone_binds=not s.flag("invariants.dropped-stay-open"),
        uneven=beside or s.number("prices.cross-zone") > 0 or len(s.names("kinds")) > 1,
        crossing_price=s.number("prices.cross-zone"),
        warm_keys=beside and s.flag("family-info.warm-keys"),
        weights_live=s.text("weights") == "live",
        weights_tell_speed=beside and s.text("weights") == "nominal",
        few_connections=(
            beside and s.number("limits.streams-per-conn", 1) > 1 and s.number("prices.connection") > 0
        ),
    )


# What has no use in one shape of deployment, and the values by which it isn't asked for there. To go without
# it is always within the rules: no copies, no probes, an endpoint's weight as its size.
BESIDE_ONLY = {
    "limits.streams-per-conn": ("", "1", "1.0"),
    "family-info.warm-keys": FALSE,
    "prices.connection": ("", "0", "0.0"),
    "weights": ("", "off", "rough", "live"),
}
POOL_ONLY = {
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
PLACES = {"confined-to": "areas", "bound-to": "kinds"}  # of a workload, and where all names stand
# The least of each number; none is over LARGEST.
LEAST = {
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
LEAST_OF = {"workloads": {"value": 0.0, "overdue-value": 0.0}, "accounts": {"quota-per-s": 0.0}}


def unused(fields: Fields) -> list[str]:
    """The keys that ask for what has no use in this shape of deployment."""
    idle = POOL_ONLY if fields.get("family") == "mesh" else BESIDE_ONLY
    return [f"settings.{key}" for key, harmless in idle.items() if fields.get(key, "") not in harmless]


def check(fields: Fields) -> None:
    """For the start of the program. Raises ValueError, its text the key and what is wrong there."""
    for key, choices in CHOICES.items():
        if fields.get(key, "") not in choices:
            raise ValueError(f"settings.{key}: {fields[key]!r} is none of {', '.join(filter(None, choices))}")
    for key in FLAGS:
        if fields.get(key, "") not in TRUE + FALSE:
            raise ValueError(f"settings.{key}: {fields[key]!r} is neither true nor false")
    for key, least in LEAST.items():
        check_number(fields, key, least)
    for kind, numbers in LEAST_OF.items():
        for at in range(int(number_at(fields, f"{kind}.count", "0"))):
            for key, least in numbers.items():
                check_number(fields, f"{kind}.{at}.{key}", least)
    check_workloads(fields)
    check_places(fields)


def check_number(fields: Fields, key: str, least: float) -> None:
    if not least <= number_at(fields, key, str(least)) <= LARGEST:
        raise ValueError(f"settings.{key}: {fields[key]!r} is not within {least:g} to {LARGEST:g}")


def check_places(fields: Fields) -> None:
    s = Settings(fields)
    for at, w in enumerate(s.items("workloads")):
        for key, known in PLACES.items():
            names = s.names(known)
            for name in w.names(key):
                if names and name not in names:
                    raise ValueError(f"settings.workloads.{at}.{key}: {name!r} is none of {', '.join(names)}")
    zone, zones = s.text("locality"), s.names("areas")
    if zone and zones and zone not in zones:
        raise ValueError(f"settings.locality: {zone!r} is none of {', '.join(zones)}")
    if not zone and s.number("prices.cross-zone") > 0:
        raise ValueError("settings.locality: missing, though settings.prices.cross-zone is set")


# What decides whether an effect may happen twice must not be guessed: another customer's word that is not
# known would pass for some other one. Of each workload: the key, and what it may be.
KINDS = ("repeatable", "by_key", "once")
GROUP_WORDS = ("", "all", "zone", "cell")
WINDOW = "window-s"  # wanted where repeats are allowed by a key alone
SPANS = ("contract-time-s", "hard-limit-s", WINDOW)  # seconds; each is more than none


def check_workloads(fields: Fields) -> None:
    names: list[str] = []
    for at, w in enumerate(Settings(fields).items("workloads")):
        path = f"workloads.{at}"
        name = w.text("name")
        if not name or name in names:
            raise ValueError(f"settings.{path}.name: {name!r} is none, or there already")
        names.append(name)
        check_word(fields, f"{path}.repeat", KINDS)
        keyed = w.text("repeat") == "by_key"
        if keyed:
            check_word(fields, f"{path}.group", GROUP_WORDS)
        for key in SPANS:
            if key != WINDOW or keyed:
                check_span(fields, f"{path}.{key}")


def check_word(fields: Fields, key: str, words: tuple[str, ...]) -> None:
    value = fields.get(key, "")
    if value not in words:
        raise ValueError(f"settings.{key}: {value!r} is none of {', '.join(filter(None, words))}")


def check_span(fields: Fields, key: str) -> None:
    if not fields.get(key):
        raise ValueError(f"settings.{key}: missing")
    if not 0 < number_at(fields, key, "") <= LARGEST:
        raise ValueError(f"settings.{key}: {fields[key]!r} is not over 0")


def number_at(fields: Fields, key: str, default: str) -> float:
    text = fields.get(key) or default
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not isfinite(value):
        raise ValueError(f"settings.{key}: {text!r} is no number")
    return value


def idle_limit(fields: Fields) -> float:
    """Seconds for which an endpoint keeps an idle connection at the least."""
    return Settings(fields).number("limits.conn-idle-s", 5.0)


def connect_limit(fields: Fields) -> float:
    return Settings(fields).number("limits.connect-timeout-s", 1.0) or 1.0
