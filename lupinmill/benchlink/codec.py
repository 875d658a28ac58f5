"""Wire text to notes, orders to wire text."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lupinmill import terms as t
from lupinmill.protocol.reports import REPORT_FIELDS
from lupinmill.protocol.settings import Fields

HOW = {
    "S": t.Outcome.HANDLED,
    "E": t.Outcome.ERROR,
    "F": t.Outcome.REFUSED,
    "T": t.Outcome.TIMED_OUT,
    "C": t.Outcome.UNCONNECTED,
    "R": t.Outcome.RESET,
    "X": t.Outcome.CALLED_OFF,
    "N": t.Outcome.UNSENT,
}
STATES = {"1": t.EndpointStatus.READY, "2": t.EndpointStatus.DRAINING, "0": t.EndpointStatus.GONE}
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
    return [REPORT_FIELDS.get(name) for name in names.split(",")] if names else []


def listing(f: Fields) -> t.ListEntry:
    return t.ListEntry(
        endpoint=f["endpoint"],
        state=STATES[f["readiness"]],
        zone=f.get("az", ""),
        kind=f.get("generation-hw", ""),
        cell=f.get("group", ""),
        started=micros(f.get("started-at-s", "0")),
        weight=float(f.get("rating", "1")) or 1.0,
    )


def load(text: str | None, report: list[tuple[str, float] | None]) -> t.LoadReport | None:
    if not text:
        return None
    found = t.LoadReport()
    for entry, value in zip(report, text.split(",")):
        if entry and value not in ("", "-"):
            setattr(found, entry[0], float(value) * entry[1])
    return found


def arrived(f: Fields, _: Any) -> t.RequestArrived:
    repeated = f.get("retry") == "1"
    due, key = micros(f["due-s"]), f.get("name-key", "")
    return t.RequestArrived(f["handle"], f["profile"], due, f.get("tenant", ""), repeated, key=key)


def ended(f: Fields, report: Any) -> t.AttemptEnded:
    closed = f.get("closed") == "1"
    took = micros(f.get("spent-s", "0"))
    return t.AttemptEnded(
        f["handle"], int(f["try"]), HOW[f["how"]], took, closed, load(f.get("stats"), report)
    )


def probed(f: Fields, report: Any) -> t.ProbeEnded:
    return t.ProbeEnded(
        f["endpoint"], HOW[f["how"]], micros(f.get("spent-s", "0")), load(f.get("stats"), report)
    )


EVENTS: dict[str, Callable[[Fields, Any], t.Event]] = {
    "JOB_IN": arrived,
    "VERDICT": ended,
    "PROBE_RESULT": probed,
    "WAKE": lambda f, _: t.TimerFired(int(f["ref"])),
    "VANISHED": lambda f, _: t.RequestCancelled(f["handle"]),
    "ESTABLISHED": lambda f, _: t.ResponseStarted(f["handle"], int(f["try"])),
}


def deny(o: t.RejectRequest) -> str:
    advice = f" come-back-s={seconds(o.retry_after)}" if o.retry_after else ""
    return f"BUSY handle={o.request}{advice}"


ORDERS: dict[type, Callable[[Any], str]] = {
    t.StartAttempt: lambda o: (
        f"ROUTE handle={o.request} endpoint={o.endpoint} abandon-at-s={seconds(o.until)}"
    ),
    t.CancelAttempt: lambda o: f"ABANDON handle={o.request} try={o.attempt}",
    t.RejectRequest: deny,
    t.AbortResponse: lambda o: f"FAIL handle={o.request}",
    t.SetTimer: lambda o: f"NOTIFY_ME due-at-s={seconds(o.at)} ref={o.ref}",
    t.StartProbe: lambda o: f"PING endpoint={o.endpoint}",
    t.StartWatch: lambda o: "TAIL want=1",
    t.WriteLog: lambda o: "REMARK body-text=" + o.text.replace("\n", " "),
}


def order_line(command: t.Command) -> str:
    return ORDERS[type(command)](command)
