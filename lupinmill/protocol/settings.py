"""The settings that a sidecar is told, as name=value pairs or as nested JSON, turned into a `Deployment`."""

from __future__ import annotations

from math import isfinite
from typing import Any

from lupinmill import terms as t

Fields = dict[str, str]

REPEATS = {"repeatable": t.Repeat.IDEMPOTENT, "by_key": t.Repeat.DEDUPLICATED}


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
        return {path: ",".join(map(plain, value))}
    return {path: plain(value)}


def plain(value: Any) -> str:
    if value is None:
        return ""
    return str(value).lower() if isinstance(value, bool) else str(value)


class Settings:
    """Typed look-ups in the start-up pairs."""

    def __init__(self, fields: Fields) -> None:
        self.fields = fields

    def text(self, key: str, default: str = "") -> str:
        return self.fields.get(key) or default

    def number(self, key: str, default: float = 0.0) -> float:
        return float(self.fields.get(key) or default)

    def micros(self, key: str, default: float = 0.0) -> int:
        return round(self.number(key, default) * 1_000_000)

    def flag(self, key: str, default: bool = False) -> bool:
        return self.fields.get(key, "true" if default else "false") in ("true", "1")

    def names(self, key: str) -> tuple[str, ...]:
        return tuple(name for name in self.text(key).split(",") if name)

    def items(self, key: str) -> list[Settings]:
        prefixes = [f"{key}.{i}." for i in range(int(self.number(f"{key}.count")))]
        return [
            Settings({k[len(p) :]: v for k, v in self.fields.items() if k.startswith(p)}) for p in prefixes
        ]


def workload(s: Settings) -> t.Workload:
    return t.Workload(
        name=s.text("name"),
        contract=s.micros("contract-time-s"),
        hard_limit=s.micros("hard-limit-s"),
        value=s.number("value", 1.0),
        overdue_value=s.number("overdue-value"),
        repeat=REPEATS.get(s.text("repeat"), t.Repeat.UNREPEATABLE),
        group={"all": t.Group.ALL, "zone": t.Group.ZONE}.get(s.text("group"), t.Group.CELL),
        window=s.micros("window-s"),
        zones=s.names("confined-to"),
        kinds=s.names("bound-to"),
    )


def deployment(fields: Fields) -> t.Deployment:
    s = Settings(fields)
    return t.Deployment(
        seed=int(s.text("random-seed", "0")),
        tier=int(s.number("tier")),
        instances=max(1, int(s.number("instances", 1))),
        workloads=[workload(w) for w in s.items("workloads")],
        tenants=[t.Tenant(a.text("name"), a.number("quota-per-s")) for a in s.items("accounts")],
        beyond_share_value=s.number("beyond-share-value", 1.0),
        pooled_weight=s.number("blend.whole") + s.number("blend.worst-window"),
        evenness_weight=s.number("blend.worst-class") + s.number("blend.kept-promises"),
        must_ask=s.text("discovery") == "ask",
        ask_within=s.micros("invariants.ask-within-s", 10.0),
        grace=s.micros("invariants.stop-sending-within-s", 0.5),
        cold_share=s.number("invariants.cold-share", 1.0),
        cold_time=s.micros("invariants.cold-s"),
        round=s.micros("round-s", 0.001),
        most_launches=int(s.number("limits.most-launches", 1)),
        copies_allowed=s.flag("limits.may-duplicate"),
        cancel_allowed=s.flag("limits.cancel"),
        probes_allowed=s.flag("limits.probes"),
        reports_asked=s.text("load-report.how", "off") == "on_probe",
        advice_allowed=s.flag("limits.retry-after"),
        longest_advice=s.micros("limits.max-retry-after-s"),
        beside=s.text("family") == "mesh",
        zone=s.text("locality"),
        gone_binds=not s.flag("invariants.dropped-stay-open"),
        uneven=s.text("family") == "mesh" or s.number("prices.cross-zone") > 0 or len(s.names("kinds")) > 1,
        crossing_price=s.number("prices.cross-zone"),
        warm_keys=s.flag("family-info.warm-keys"),
        weights_tell_speed=s.text("weights") == "nominal",
        few_connections=s.number("limits.streams-per-conn", 1) > 1 and s.number("prices.connection") > 0,
    )


# What only one shape of deployment has, and the values that it may have in the other.
BESIDE_ONLY = {
    "limits.streams-per-conn": ("", "1", "1.0"),
    "family-info.warm-keys": ("", "false", "0"),
    "prices.connection": ("", "0", "0.0"),
    "weights": ("", "off"),
}
POOL_ONLY = {
    "tier": ("", "0", "0.0"),
    "limits.may-duplicate": ("", "false", "0"),
    "limits.probes": ("", "false", "0"),
    "load-report.how": ("", "off"),
}
CHOICES = {
    "family": ("", "proxy", "chain", "mesh"),
    "weights": ("", "off", "nominal", "rough", "live"),
    "family-info.warm-keys": ("", "true", "false", "1", "0"),
    "invariants.dropped-stay-open": ("", "true", "false", "1", "0"),
}
PLACES = {"confined-to": "areas", "bound-to": "kinds"}  # of a workload, and where all names stand
LEAST = {"limits.streams-per-conn": 1.0, "prices.connection": 0.0, "prices.cross-zone": 0.0}


def check(fields: Fields) -> None:
    """For the start of the program: one shape of deployment, whole. Raises ValueError, its text the key and
    what is wrong there. Guards against a sidecar that runs half by the old shape and half by the new."""
    for key, choices in CHOICES.items():
        if fields.get(key, "") not in choices:
            raise ValueError(f"settings.{key}: {fields[key]!r} is none of {', '.join(filter(None, choices))}")
    for key, least in LEAST.items():
        text = fields.get(key) or str(least)
        try:
            good = isfinite(float(text)) and float(text) >= least
        except ValueError:
            good = False
        if not good:
            raise ValueError(f"settings.{key}: {text!r} is not a number of {least:g} or more")
    beside = fields.get("family") == "mesh"
    for key, harmless in (POOL_ONLY if beside else BESIDE_ONLY).items():
        if fields.get(key, "") not in harmless:
            shape = "each client has a sidecar of its own" if beside else "clients share sidecars"
            raise ValueError(f"settings.{key}: {fields[key]!r} has no place where {shape} (settings.family)")
    check_workloads(fields)
    for at, w in enumerate(Settings(fields).items("workloads")):
        for key, known in PLACES.items():
            names = Settings(fields).names(known)
            for name in w.names(key):
                if names and name not in names:
                    raise ValueError(f"settings.workloads.{at}.{key}: {name!r} is none of {', '.join(names)}")
    zone, zones = fields.get("locality", ""), [one for one in fields.get("areas", "").split(",") if one]
    if zone and zones and zone not in zones:
        raise ValueError(f"settings.locality: {zone!r} is none of {', '.join(zones)}")
    if not zone and float(fields.get("prices.cross-zone") or 0) > 0:
        raise ValueError("settings.locality: missing, though settings.prices.cross-zone is set")


# What decides whether an effect may happen twice must not be guessed: another customer's word that is not
# known would pass for some other one. Of each workload: the key, and what it may be.
OF_WORKLOADS = {"repeat": ("repeatable", "by_key", "once"), "group": ("", "all", "zone", "cell")}
SPANS = {"contract-time-s": 0.0, "hard-limit-s": 0.0, "window-s": 0.0}  # seconds; each is more than this


def check_workloads(fields: Fields) -> None:
    if fields.get("discovery", "") not in ("", "ask", "push"):
        raise ValueError(f"settings.discovery: {fields['discovery']!r} is none of ask, push")
    if number_at(fields, "limits.most-launches", "1") < 1:
        raise ValueError(f"settings.limits.most-launches: {fields['limits.most-launches']!r} is under 1")
    for key in ("limits.conn-idle-s", "limits.connect-timeout-s", "limits.max-retry-after-s"):
        if number_at(fields, key, "0") < 0:
            raise ValueError(f"settings.{key}: {fields[key]!r} is under 0")
    for at in range(int(number_at(fields, "workloads.count", "0"))):
        path = f"workloads.{at}"
        for key, choices in OF_WORKLOADS.items():
            if (value := fields.get(f"{path}.{key}", "")) not in choices:
                known = ", ".join(filter(None, choices))
                raise ValueError(f"settings.{path}.{key}: {value!r} is none of {known}")
        keyed = fields.get(f"{path}.repeat") == "by_key"
        for key, least in SPANS.items():
            if key == "window-s" and not keyed:
                continue
            if not fields.get(f"{path}.{key}"):
                raise ValueError(f"settings.{path}.{key}: missing")
            if number_at(fields, f"{path}.{key}", "") <= least:
                raise ValueError(f"settings.{path}.{key}: {fields[f'{path}.{key}']!r} is not over {least:g}")


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
