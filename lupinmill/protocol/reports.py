"""Load reports: one set of fields, by either of the names that they go by."""
from __future__ import annotations

import math

import orjson

from lupinmill import terms as t

# Report fields by wire name: the name in Load and the factor to our unit.
REPORT = {
    "waiting": ("queued", 1.0), "active": ("held", 1.0), "cpu": ("busy", 1.0),
    "avg_ms": ("service", 1000.0), "rps": ("rate", 1.0),
}
ON_SOCKETS = {
    "queue": "waiting", "inflight": "active", "util": "cpu", "latency_ms": "avg_ms", "qps": "rps",
}


def load(pairs: list[tuple[str, str]]) -> t.Load | None:
    """Figures that don't come or can't be read stay None; None where there are none at all."""
    found, any_ = t.Load(), False
    for name, text in pairs:
        entry = REPORT.get(ON_SOCKETS.get(name, name))
        try:
            value = float(text)
        except ValueError:
            continue
        if entry and math.isfinite(value) and value >= 0:
            setattr(found, entry[0], value * entry[1])
            any_ = True
    return found if any_ else None


def read(text: str | None) -> t.Load | None:
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
