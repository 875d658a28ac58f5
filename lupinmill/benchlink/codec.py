"""Wire text to notes, orders to wire text."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lupinmill import terms as t
from lupinmill.protocol.reports import REPORT
from lupinmill.protocol.settings import Fields

HOW = {
    "S": t.How.HANDLED,
    "E": t.How.ERROR,
    "F": t.How.REFUSED,
    "T": t.How.TIMED_OUT,
    "C": t.How.UNCONNECTED,
    "R": t.How.RESET,
    "X": t.How.CALLED_OFF,
    "N": t.How.UNSENT,
}
STATES = {"1": t.State.READY, "2": t.State.DRAINING, "0": t.State.GONE}
LIST_KINDS = {"1": t.ListKind.FULL, "2": t.ListKind.CACHED, "3": t.ListKind.FAILED, "4": t.ListKind.CHANGES}


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
        weight=float(f.get("rating", "1")) or 1.0,
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
    due, key = micros(f["due-s"]), f.get("name-key", "")
    return t.Arrived(f["handle"], f["profile"], due, f.get("tenant", ""), repeated, key=key)


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
