"""Translates the simulator's messages to events, and commands to messages. All words and keys are the
simulator's."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lupinmill import terms as t
from lupinmill.protocol.reports import REPORT_FIELDS
from lupinmill.protocol.settings import Fields

OUTCOMES = {
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
    """A line that the protocol does not allow."""


def micros(text: str) -> int:
    return round(float(text) * 1_000_000)


def seconds(micros_: int) -> str:
    return f"{micros_ / 1_000_000:.6f}"


def split(line: str) -> tuple[str, Fields]:
    name, *pairs = line.split(" ")
    fields = {}
    for pair in pairs:
        key, separator, value = pair.partition("=")
        if not separator:
            raise Malformed(f"{name}: {pair[:60]!r} is not name=value")
        fields[key] = value
    return name, fields


def report_columns(fields: Fields) -> list[tuple[str, float] | None]:
    names = fields.get("load-report.fields", "")
    return [REPORT_FIELDS.get(name) for name in names.split(",")] if names else []


def list_entry(fields: Fields) -> t.ListEntry:
    return t.ListEntry(
        endpoint=fields["endpoint"],
        state=STATES[fields["readiness"]],
        zone=fields.get("az", ""),
        kind=fields.get("generation-hw", ""),
        cell=fields.get("group", ""),
        started=micros(fields.get("started-at-s", "0")),
        weight=float(fields.get("rating", "1")) or 1.0,
    )


def load_report(text: str | None, columns: list[tuple[str, float] | None]) -> t.LoadReport | None:
    if not text:
        return None
    parsed = t.LoadReport()
    for column, value in zip(columns, text.split(",")):
        if column and value not in ("", "-"):
            setattr(parsed, column[0], float(value) * column[1])
    return parsed


def request_arrived(fields: Fields, _: Any) -> t.RequestArrived:
    repeated = fields.get("retry") == "1"
    due, key = micros(fields["due-s"]), fields.get("name-key", "")
    return t.RequestArrived(
        fields["handle"], fields["profile"], due, fields.get("tenant", ""), repeated, key=key
    )


def attempt_ended(fields: Fields, columns: Any) -> t.AttemptEnded:
    closed = fields.get("closed") == "1"
    duration = micros(fields.get("spent-s", "0"))
    return t.AttemptEnded(
        fields["handle"],
        int(fields["try"]),
        OUTCOMES[fields["how"]],
        duration,
        closed,
        load_report(fields.get("stats"), columns),
    )


def probe_ended(fields: Fields, columns: Any) -> t.ProbeEnded:
    return t.ProbeEnded(
        fields["endpoint"],
        OUTCOMES[fields["how"]],
        micros(fields.get("spent-s", "0")),
        load_report(fields.get("stats"), columns),
    )


EVENTS: dict[str, Callable[[Fields, Any], t.Event]] = {
    "JOB_IN": request_arrived,
    "VERDICT": attempt_ended,
    "PROBE_RESULT": probe_ended,
    "WAKE": lambda fields, _: t.TimerFired(int(fields["ref"])),
    "VANISHED": lambda fields, _: t.RequestCancelled(fields["handle"]),
    "ESTABLISHED": lambda fields, _: t.ResponseStarted(fields["handle"], int(fields["try"])),
}


def reject_line(command: t.RejectRequest) -> str:
    advice = f" come-back-s={seconds(command.retry_after)}" if command.retry_after else ""
    return f"BUSY handle={command.request}{advice}"


COMMANDS: dict[type, Callable[[Any], str]] = {
    t.StartAttempt: lambda command: (
        f"ROUTE handle={command.request} endpoint={command.endpoint} abandon-at-s={seconds(command.until)}"
    ),
    t.CancelAttempt: lambda command: f"ABANDON handle={command.request} try={command.attempt}",
    t.RejectRequest: reject_line,
    t.AbortResponse: lambda command: f"FAIL handle={command.request}",
    t.SetTimer: lambda command: f"NOTIFY_ME due-at-s={seconds(command.at)} ref={command.ref}",
    t.StartProbe: lambda command: f"PING endpoint={command.endpoint}",
    t.StartWatch: lambda command: "TAIL want=1",
    t.WriteLog: lambda command: "REMARK body-text=" + command.text.replace("\n", " "),
}


def command_line(command: t.Command) -> str:
    return COMMANDS[type(command)](command)
