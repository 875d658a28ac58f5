"""Parses endpoints' load reports. Each field has two names: the simulator's and the one used on sockets."""

from __future__ import annotations

import re

import orjson

from lupinmill import terms as t

# Report fields by wire name: the field of LoadReport, and the factor that converts to its unit.
REPORT_FIELDS = {
    "waiting": ("queued", 1.0),
    "active": ("held", 1.0),
    "cpu": ("busy", 1.0),
    "avg_ms": ("service", 1000.0),
    "rps": ("rate", 1.0),
}
SOCKET_FIELD_NAMES = {
    "queue": "waiting",
    "inflight": "active",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
}


DECIMAL = re.compile(r"[0-9]{1,7}(\.[0-9]{0,20})?([eE]-[0-9]{1,2})?")  # `float` accepts more forms


def parse_fields(pairs: list[tuple[str, str]]) -> t.LoadReport | None:
    """Fields that are not reported stay None. Returns None where there is no field at all, or where one is
    not a usable number: the others come from the same source, and an absurd value would distort the choice
    of endpoints and the averages."""
    report, any_field = t.LoadReport(), False
    for name, text in pairs:
        if (entry := REPORT_FIELDS.get(SOCKET_FIELD_NAMES.get(name, name))) is None:
            continue
        if not DECIMAL.fullmatch(text):
            return None
        setattr(report, entry[0], float(text) * entry[1])
        any_field = True
    return report if any_field else None


def parse(text: str | None) -> t.LoadReport | None:
    """Parses `queue=2,util=0.61`, or the same as a JSON object."""
    if not text:
        return None
    if text.lstrip().startswith("{"):
        try:
            table = orjson.loads(text)
        except orjson.JSONDecodeError:
            return None
        return parse_fields([(str(name), str(value)) for name, value in table.items()])
    pairs = [part.strip().partition("=") for part in text.split(",")]
    return parse_fields([(name, value) for name, _, value in pairs])
