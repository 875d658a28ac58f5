"""Lists of endpoints as discovery writes them, and the calls that ask for them.

What one row that can't be used costs, on safety's side:

- A row that names its endpoint counts as that endpoint's drain: nothing new goes there, what it has goes on.
- A row that names none is left out. In a whole list its endpoint, whichever it was, counts as gone with all
  that the list does not name: capacity is lost until the next list, but nothing is sent to an endpoint that
  discovery took off. Of changes nobody can tell what was missed: the caller has to ask for the whole list.
- A list with rows of which none names an endpoint is no list at all, and is refused whole.

Each such row is told in `EndpointList.refused`, for the log."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field
from math import isfinite
from typing import Any

import orjson

from lupinmill import terms as t
from lupinmill.protocol.http import Answer, Garbled, Request

LARGEST_LIST = 4 * 1024 * 1024
STATES = {
    "SERVING": t.EndpointStatus.READY,
    "DRAINING": t.EndpointStatus.DRAINING,
    "DELETED": t.EndpointStatus.GONE,
}
LATEST_START = 10**14  # milliseconds of Unix time: what lies behind it is no time
MOST_REFUSED = 8  # rows that are told of one by one
LONGEST_REASON = 160  # characters
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


@dataclass(slots=True)
class EndpointList:
    """A list, or the changes since the last: the entries, and where each endpoint listens."""

    index: int
    whole: bool
    entries: list[t.ListEntry]
    addresses: dict[str, str]
    refused: list[str] = field(default_factory=list)  # a reason for each row that can't be used as it is
    unnamed: int = 0  # of them, those that name no endpoint


def text(value: Any) -> str:
    return "" if value is None else str(value)


def weight(value: Any) -> float:
    """One that is no size at all counts as 1: guards against an endpoint that draws all traffic, or none."""
    usable = isinstance(value, int | float) and 0 < value < 1e6
    return float(value) if usable else 1.0


def name_of(row: Any) -> str:
    """Raises ValueError where the row names no endpoint."""
    name = row.get("name") if isinstance(row, dict) else None
    if isinstance(name, int) and not isinstance(name, bool):
        name = str(name)
    if not isinstance(name, str) or not name:
        raise ValueError(f"no name: {row!r}")
    return name


def whole_number(value: Any, key: str) -> int:
    """A number as JSON may give it. Raises ValueError."""
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        raise ValueError(f"{key}: {value!r} is no number")
    if isinstance(value, int):
        return value
    try:
        found = float(value)
    except ValueError:
        found = float("nan")
    if not isfinite(found):
        raise ValueError(f"{key}: {value!r} is no number")
    return int(found)


def started(value: Any) -> int:
    """Microseconds of Unix time, the module's clock. Raises ValueError."""
    if value is None:
        return 0  # long ago
    milliseconds = whole_number(value, "since_ms")
    if milliseconds > LATEST_START:
        raise ValueError(f"since_ms: {value!r} is no time")
    return max(0, milliseconds) * 1000


def listing(row: dict[str, Any]) -> t.ListEntry:
    """Raises one of UNREADABLE."""
    status = row.get("status")
    if not isinstance(status, str) or status not in STATES:
        raise ValueError(f"status: {status!r} is none of {', '.join(STATES)}")
    return t.ListEntry(
        endpoint=name_of(row),
        state=STATES[status],
        zone=text(row.get("zone")),
        kind=text(row.get("type")),
        cell=text(row.get("group")),
        started=started(row.get("since_ms")),
        weight=weight(row.get("weight")),
    )


def address_of(row: dict[str, Any]) -> str:
    """Raises ValueError, as no connection could be made there."""
    address = row.get("address")
    host, _, port = address.rpartition(":") if isinstance(address, str) else ("", "", "")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        raise ValueError(f"address: {address!r} is not IP:port") from None
    return address


def parse(table: Any) -> EndpointList:
    """Raises Garbled where it is no list; for single rows see above."""
    try:
        index, whole, rows = table["index"], bool(table.get("snapshot")), table["endpoints"]
        found = EndpointList(whole_number(index, "index"), whole, [], {})
        if rows is None and not whole:
            rows = []  # as some services write a list of nothing
        if not isinstance(rows, list):
            raise TypeError(f"endpoints: {type(rows).__name__} is no list")
    except UNREADABLE as error:
        raise Garbled(f"list of endpoints: {type(error).__name__} {error}"[:LONGEST_REASON]) from error
    for row in rows:
        take(found, row)
    if rows and not found.entries:
        raise Garbled(f"list of endpoints: no row names an endpoint: {found.refused[0]}")
    return found


def take(found: EndpointList, row: Any) -> None:
    """One row, into what was read so far."""
    try:
        name = name_of(row)
    except ValueError as error:
        found.unnamed += 1
        refuse(found, error)
        return
    try:
        entry = listing(row)
        if entry.state is t.EndpointStatus.READY or row.get("address") is not None:
            found.addresses[name] = address_of(row)
    except UNREADABLE as error:
        refuse(found, f"{name}: {error}")
        entry = t.ListEntry(name, t.EndpointStatus.DRAINING, text(row.get("zone")), text(row.get("type")))
    found.entries.append(entry)


def refuse(found: EndpointList, why: object) -> None:
    if len(found.refused) < MOST_REFUSED:
        found.refused.append(str(why)[:LONGEST_REASON])


def initial_list(table: Any) -> EndpointList:
    """The list that a sidecar is told at its start. One that can't be read is as good as none: discovery is
    asked for the whole list, and nothing is sent before. Never raises."""
    if table is None:
        return EndpointList(0, True, [], {})
    try:
        return parse(table)
    except Garbled as error:
        refused = str(error)
    try:
        # The rows are good without a version: the watch then begins from the oldest.
        found = parse(table | {"index": 0})
    except (Garbled, TypeError):
        found = EndpointList(0, True, [], {})
    found.refused.insert(0, refused)
    return found


def parse_response(answer: Answer) -> EndpointList:
    if answer.status != 200:
        raise Garbled(f"discovery answered {answer.status}")
    try:
        return parse(orjson.loads(answer.body))
    except orjson.JSONDecodeError as error:
        raise Garbled(f"list of endpoints: {error}") from error


def watch_request(index: int | None, wait_ms: int) -> Request:
    """A watch from this version on; without one, the whole list at once."""
    query = b"" if index is None else b"?index=%d&wait=%d" % (index, wait_ms)
    return Request(b"GET", b"/v1/endpoints" + query, [(b"Host", b"discovery")])
