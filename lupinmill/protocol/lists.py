"""Parses discovery's lists of endpoints, and builds the requests for them.

Unusable rows are handled so that errors are on the safe side:

- A row that names its endpoint counts as draining: the endpoint gets no new requests, open ones go on.
- A row without a name is skipped. In a full list its endpoint counts as gone, like all that the list does not
  name: capacity is lost until the next list, but nothing is sent to an endpoint that discovery removed. In a
  list of changes nobody can tell what was missed: the caller has to ask for the full list.
- A list with rows of which none names an endpoint is refused as a whole.

`EndpointList.refused` has a reason for each such row, for the log."""

from __future__ import annotations

import ipaddress
import json
import re
from dataclasses import dataclass, field
from math import isfinite
from sys import intern
from typing import Any

import orjson

from lupinmill import terms as t
from lupinmill.protocol.http import Answer, Garbled, Request

MAX_LIST_BYTES = 4 * 1024 * 1024
STATUSES = {
    "SERVING": t.EndpointStatus.READY,
    "DRAINING": t.EndpointStatus.DRAINING,
    "DELETED": t.EndpointStatus.GONE,
}
MAX_START_MS = 10**14  # Unix time; later values are not usable
MAX_REASONS = 8  # refused rows that are reported one by one
MAX_REASON_LENGTH = 160  # characters
HALF_CHARACTER = re.compile(rb"\\u[dD][89a-fA-F]")  # of a surrogate pair, which may be incomplete
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


@dataclass(slots=True)
class EndpointList:
    """A full list, or the changes since the last one: the entries, and each endpoint's address."""

    index: int
    whole: bool
    entries: list[t.ListEntry]
    addresses: dict[str, str]
    refused: list[str] = field(default_factory=list)  # a reason for each unusable row
    unnamed: int = 0  # number of those rows that name no endpoint
    # When the list before this one was complete, in microseconds of monotonic time: what is new here was not
    # listed then. None where the two can't be compared.
    new_since: int | None = None


def text(value: Any) -> str:
    return "" if value is None else str(value)


def weight(value: Any) -> float:
    """An unusable weight counts as 1, so that the endpoint attracts neither all traffic nor none."""
    usable = isinstance(value, int | float) and 0 < value < 1e6 and value != 1
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
    """A whole number from any JSON value that holds one. Raises ValueError."""
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        raise ValueError(f"{key}: {value!r} is not a number")
    if isinstance(value, int):
        return value
    try:
        parsed = float(value)
    except ValueError:
        parsed = float("nan")
    if not isfinite(parsed):
        raise ValueError(f"{key}: {value!r} is not a number")
    return int(parsed)


def start_time(value: Any) -> int:
    """Microseconds of Unix time, by the clock of discovery and the endpoints. Raises ValueError."""
    if value is None:
        return 0  # long ago
    milliseconds = whole_number(value, "since_ms")
    if milliseconds > MAX_START_MS:
        raise ValueError(f"since_ms: {value!r} is not a time")
    return max(0, milliseconds) * 1000


def parse_entry(row: dict[str, Any]) -> t.ListEntry:
    """Raises one of UNREADABLE."""
    status = row.get("status")
    if not isinstance(status, str) or status not in STATUSES:
        raise ValueError(f"status: {status!r} is not one of {', '.join(STATUSES)}")
    return t.ListEntry(
        endpoint=name_of(row),
        state=STATUSES[status],
        zone=intern(text(row.get("zone"))),  # the same few for all endpoints
        kind=intern(text(row.get("type"))),
        cell=intern(text(row.get("group"))),
        started=start_time(row.get("since_ms")),
        weight=weight(row.get("weight")),
    )


def address_of(row: dict[str, Any]) -> str:
    """Raises ValueError for an address that can't be connected to."""
    address = row.get("address")
    host, _, port = address.rpartition(":") if isinstance(address, str) else ("", "", "")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        raise ValueError(f"address: {address!r} is not IP:port") from None
    return address


@dataclass(slots=True)
class ListRow:
    """What a row says of its endpoint."""

    entry: t.ListEntry | None  # None: the row names no endpoint
    address: str | None = None
    refused: str = ""  # why the row is unusable


def read_row(row: Any) -> ListRow:
    """Never raises; for unusable rows see the module's comment."""
    try:
        name = name_of(row)
    except ValueError as error:
        return ListRow(None, refused=str(error)[:MAX_REASON_LENGTH])
    try:
        entry = parse_entry(row)
        if entry.state is t.EndpointStatus.READY or row.get("address") is not None:
            return ListRow(entry, address_of(row))
        return ListRow(entry)
    except UNREADABLE as error:
        entry = t.ListEntry(name, t.EndpointStatus.DRAINING, text(row.get("zone")), text(row.get("type")))
        return ListRow(entry, refused=f"{name}: {error}"[:MAX_REASON_LENGTH])


def parse(table: Any) -> EndpointList:
    """`table`: as decoded by any JSON decoder, or by `decode`. Raises Garbled where it is not a list."""
    try:
        index, whole, rows = table["index"], bool(table.get("snapshot")), table["endpoints"]
        parsed = EndpointList(whole_number(index, "index"), whole, [], {})
        if rows is None and not whole:
            rows = []  # some services write an empty list so
        if not isinstance(rows, list):
            raise TypeError(f"endpoints: {type(rows).__name__} is not a list")
    except UNREADABLE as error:
        raise Garbled(f"list of endpoints: {type(error).__name__} {error}"[:MAX_REASON_LENGTH]) from error
    for row in rows:
        add_row(parsed, row if isinstance(row, ListRow) else read_row(row))
    if rows and not parsed.entries:
        raise Garbled(f"list of endpoints: no row names an endpoint: {parsed.refused[0]}")
    return parsed


def add_row(parsed: EndpointList, row: ListRow) -> None:
    """Adds one row to the list parsed so far."""
    if row.refused:
        note_refused(parsed, row.refused)
    if row.entry is None:
        parsed.unnamed += 1
        return
    if row.address is not None:
        parsed.addresses[row.entry.endpoint] = row.address
    parsed.entries.append(row.entry)


def note_refused(endpoints: EndpointList, reason: str) -> None:
    if len(endpoints.refused) < MAX_REASONS:
        endpoints.refused.append(reason)


def initial_list(table: Any) -> EndpointList:
    """The list in the sidecar's configuration. Where it can't be parsed the result is empty: discovery is
    then asked for the full list before anything is sent. Never raises."""
    if table is None:
        return EndpointList(0, True, [], {})
    try:
        return parse(table)
    except Garbled as error:
        refused = str(error)
    try:
        # Rows without a version are usable: the watch then begins from the oldest version.
        parsed = parse(table | {"index": 0})
    except (Garbled, TypeError):
        parsed = EndpointList(0, True, [], {})
    parsed.refused.insert(0, refused)
    return parsed


def parse_response(answer: Answer) -> EndpointList:
    """Takes the body, which is not kept while it is parsed. Raises Garbled."""
    if answer.status != 200:
        raise Garbled(f"discovery answered {answer.status}")
    body, answer.body = answer.body, b""
    try:
        return parse(decode(body))
    except (ValueError, RecursionError) as error:
        raise Garbled(f"list of endpoints: {error}") from error


def decode(body: bytes) -> Any:
    """Decodes a list row by row: as tables the rows of 3,200 endpoints take 2 MB, and as much again within a
    decoder that builds its own document first. Raises ValueError or RecursionError."""
    if HALF_CHARACTER.search(body):
        return orjson.loads(body)  # which refuses half of a surrogate pair
    return json.loads(body.decode(), object_hook=compact_row, parse_constant=refuse_constant)


def compact_row(table: dict[str, Any]) -> Any:
    return table if "endpoints" in table else read_row(table)


def refuse_constant(name: str) -> Any:
    raise ValueError(f"{name} is not JSON")


def watch_request(index: int | None, wait_ms: int) -> Request:
    """A long poll for changes after this version; without one, a request for the full list."""
    query = b"" if index is None else b"?index=%d&wait=%d" % (index, wait_ms)
    return Request(b"GET", b"/v1/endpoints" + query, [(b"Host", b"discovery")])
