"""Load reports: one set of fields, by either of the names that they go by."""

from __future__ import annotations

import re

import orjson

from lupinmill import terms as t

# Report fields by wire name: the name in Load and the factor to our unit.
REPORT = {
    "waiting": ("queued", 1.0),
    "active": ("held", 1.0),
    "cpu": ("busy", 1.0),
    "avg_ms": ("service", 1000.0),
    "rps": ("rate", 1.0),
}
ON_SOCKETS = {
    "queue": "waiting",
    "inflight": "active",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
}


FIGURE = re.compile(r"[0-9]{1,7}(\.[0-9]{0,20})?([eE]-[0-9]{1,2})?")  # `float` reads more


def load(pairs: list[tuple[str, str]]) -> t.LoadReport | None:
    """Figures that don't come stay None; None where there are none at all, or where one can't be read: the
    others came the same way, and an absurd one would steer the pick and its means."""
    found, any_ = t.LoadReport(), False
    for name, text in pairs:
        if (entry := REPORT.get(ON_SOCKETS.get(name, name))) is None:
            continue
        if not FIGURE.fullmatch(text):
            return None
        setattr(found, entry[0], float(text) * entry[1])
        any_ = True
    return found if any_ else None


def read(text: str | None) -> t.LoadReport | None:
    """`queue=2,util=0.61`, or the same as a JSON object."""
    if not text:
        return None
    if text.lstrip().startswith("{"):
        try:
            table = orjson.loads(text)
        except orjson.JSONDecodeError:
            return None
        return load([(str(name), str(value)) for name, value in table.items()])
    pairs = [part.strip().partition("=") for part in text.split(",")]
    return load([(name, value) for name, _, value in pairs])
