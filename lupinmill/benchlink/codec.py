"""Wire text to notes, orders to wire text."""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lupinmill import terms as t

Fields = dict[str, str]

HOW = {
    "S": t.How.HANDLED, "E": t.How.ERROR, "F": t.How.REFUSED, "T": t.How.TIMED_OUT,
    "C": t.How.UNCONNECTED, "R": t.How.RESET, "X": t.How.CALLED_OFF, "N": t.How.UNSENT,
}
STATES = {"1": t.State.READY, "2": t.State.DRAINING, "0": t.State.GONE}
LIST_KINDS = {"1": t.ListKind.FULL, "2": t.ListKind.CACHED, "3": t.ListKind.FAILED, "4": t.ListKind.CHANGES}
REPEATS = {"repeatable": t.Repeat.IDEMPOTENT, "by_key": t.Repeat.DEDUPLICATED}
# Report fields by wire name: the name in Load and the factor to our unit.
REPORT = {
    "waiting": ("queued", 1.0), "active": ("held", 1.0), "cpu": ("busy", 1.0),
    "avg_ms": ("service", 1000.0), "rps": ("rate", 1.0),
}


class Malformed(Exception):
    """A line the wire does not allow."""


def micros(text: str) -> int:
    return round(float(text) * 1_000_000)


def seconds(micros_: int) -> str:
    return f"{micros_ / 1_000_000:.6f}"


def split(line: str) -> tuple[str, Fields]:
    name, *pairs = line.split(" ")
    fields = {}
    for pair in pairs:
        key, found, value = pair.partition("=")
        if not found:
            raise Malformed(f"{name}: {pair[:60]!r} is not name=value")
        fields[key] = value
    return name, fields


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

    def items(self, key: str) -> list[Settings]:
        prefixes = [f"{key}.{i}." for i in range(int(self.number(f"{key}.count")))]
        return [
            Settings({k[len(p):]: v for k, v in self.fields.items() if k.startswith(p)}) for p in prefixes
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
    )


def report_fields(fields: Fields) -> list[tuple[str, float] | None]:
    names = fields.get("load-report.fields", "")
    return [REPORT.get(name) for name in names.split(",")] if names else []


def listing(f: Fields) -> t.Listing:
    return t.Listing(
        endpoint=f["endpoint"],
        state=STATES[f["readiness"]],
        zone=f.get("az", ""),
        kind=f.get("generation-hw", ""),
        cell=f.get("group", ""),
        started=micros(f.get("started-at-s", "0")),
    )


def load(text: str | None, report: list[tuple[str, float] | None]) -> t.Load | None:
    if not text:
        return None
    found = t.Load()
    for entry, value in zip(report, text.split(",")):
        if entry and value not in ("", "-"):
            setattr(found, entry[0], float(value) * entry[1])
    return found


def arrived(f: Fields, _: Any) -> t.Arrived:
    repeated = f.get("retry") == "1"
    return t.Arrived(f["handle"], f["profile"], micros(f["due-s"]), f.get("tenant", ""), repeated)


def ended(f: Fields, report: Any) -> t.Ended:
    closed = f.get("closed") == "1"
    took = micros(f.get("spent-s", "0"))
    return t.Ended(f["handle"], int(f["try"]), HOW[f["how"]], took, closed, load(f.get("stats"), report))


def probed(f: Fields, report: Any) -> t.Probed:
    return t.Probed(f["endpoint"], HOW[f["how"]], micros(f.get("spent-s", "0")), load(f.get("stats"), report))


EVENTS: dict[str, Callable[[Fields, Any], t.Note]] = {
    "JOB_IN": arrived,
    "VERDICT": ended,
    "PROBE_RESULT": probed,
    "WAKE": lambda f, _: t.Woke(int(f["ref"])),
    "VANISHED": lambda f, _: t.Withdrawn(f["handle"]),
    "ESTABLISHED": lambda f, _: t.Started(f["handle"], int(f["try"])),
}


def deny(o: t.Deny) -> str:
    advice = f" come-back-s={seconds(o.come_back)}" if o.come_back else ""
    return f"BUSY handle={o.submission}{advice}"


ORDERS: dict[type, Callable[[Any], str]] = {
    t.Launch: lambda o: f"ROUTE handle={o.submission} endpoint={o.endpoint} abandon-at-s={seconds(o.until)}",
    t.CallOff: lambda o: f"ABANDON handle={o.submission} try={o.launch}",
    t.Deny: deny,
    t.BreakOff: lambda o: f"FAIL handle={o.submission}",
    t.WakeMe: lambda o: f"NOTIFY_ME due-at-s={seconds(o.at)} ref={o.ref}",
    t.Probe: lambda o: f"PING endpoint={o.endpoint}",
    t.Watch: lambda o: "TAIL want=1",
    t.Log: lambda o: "REMARK body-text=" + o.text.replace("\n", " "),
}


def order_line(order: t.Order) -> str:
    return ORDERS[type(order)](order)
