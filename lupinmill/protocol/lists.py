"""Lists of endpoints as discovery writes them, and the calls that ask for them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from lupinmill import terms as t
from lupinmill.protocol.http import Answer, Garbled, Request

LARGEST_LIST = 4 * 1024 * 1024
STATES = {"SERVING": t.State.READY, "DRAINING": t.State.DRAINING, "DELETED": t.State.GONE}


@dataclass(slots=True)
class Known:
    """A list, or the changes since the last: the entries, and where each endpoint listens."""

    index: int
    whole: bool
    entries: list[t.Listing]
    addresses: dict[str, str]


def text(value: Any) -> str:
    return "" if value is None else str(value)


def weight(value: Any) -> float:
    """One that is no size at all counts as 1: guards against an endpoint that draws all traffic, or none."""
    usable = isinstance(value, int | float) and 0 < value < 1e6
    return float(value) if usable else 1.0


def listing(entry: dict[str, Any]) -> t.Listing:
    return t.Listing(
        endpoint=str(entry["name"]),
        state=STATES[entry["status"]],
        zone=text(entry.get("zone")),
        kind=text(entry.get("type")),
        cell=text(entry.get("group")),
        started=int(entry.get("since_ms") or 0) * 1000,  # the module's clock is Unix time in microseconds
        weight=weight(entry.get("weight")),
    )


def known(table: Any) -> Known:
    try:
        rows = table["endpoints"]
        entries = [listing(row) for row in rows]
        addresses = {str(row["name"]): str(row["address"]) for row in rows if "address" in row}
        return Known(int(table["index"]), bool(table.get("snapshot")), entries, addresses)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise Garbled(f"list of endpoints: {type(error).__name__} {error}") from error


def read(answer: Answer) -> Known:
    if answer.status != 200:
        raise Garbled(f"discovery answered {answer.status}")
    try:
        return known(orjson.loads(answer.body))
    except orjson.JSONDecodeError as error:
        raise Garbled(f"list of endpoints: {error}") from error


def call(index: int | None, wait_ms: int) -> Request:
    """A watch from this version on; without one, the whole list at once."""
    query = b"" if index is None else b"?index=%d&wait=%d" % (index, wait_ms)
    return Request(b"GET", b"/v1/endpoints" + query, [(b"Host", b"discovery")])
