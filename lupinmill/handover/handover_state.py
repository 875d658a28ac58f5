"""State that an upgrade passes beside sockets, as a plain table. Pure. The receiver accepts or rejects it as
a whole."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from lupinmill import terms as t
from lupinmill.admin.operator_overrides import Mode, OperatorOverrides
from lupinmill.handover import sender_clock
from lupinmill.handover.upgrade_protocol import VERSION
from lupinmill.protocol import lists
from lupinmill.protocol.http import Garbled
from lupinmill.state.learned import learned_times
from lupinmill.transport.clocks import ClockReading

Table = dict[str, Any]
MAX_LOGGED_ENDPOINTS = 8  # named in one log line
STARTED = "started_us"  # key of a row
NEVER_CHANGED = 0  # of the time since when a mode lasts, in older versions
DISCOVERY_STATUS = {t.EndpointStatus.READY: "SERVING", t.EndpointStatus.DRAINING: "DRAINING"}


class InvalidHandoverState(Exception):
    """The received state can't be used."""


@dataclass(slots=True)
class HandoverState:
    """State received from the predecessor. Its operator overrides are applied by `decode` directly."""

    known: lists.EndpointList
    learned: Table
    open_descriptors: int  # of the predecessor
    retries: int  # attempts beyond a request's first that the predecessor has made so far
    private_memory: int = 0  # bytes that the predecessor alone holds, or may come to hold until it yields
    used_ids: list[int] = field(default_factory=list)  # digests of ids that must not run again
    unix_ahead: int = 0  # microseconds by which the times in `learned` are ahead of the monotonic clock
    clock_told: bool = False  # not by an older version
    starts: dict[str, int] = field(default_factory=dict)  # of endpoints, in microseconds of monotonic time
    report_serial: int = 0  # of the predecessor's last report on zones
    list_state: str = ""  # whether discovery has confirmed the list; empty from an older version


@dataclass(slots=True)
class ListedEndpoints:
    """The list of a process, to be handed over. `listed_starts`: of each endpoint, in Unix time as discovery
    tells it; those of the entries are in monotonic time."""

    entries: dict[str, t.ListEntry]
    addresses: dict[str, str]
    index: int | None
    listed_starts: Callable[[str], int]


def encode_list(listed: ListedEndpoints, unix_ahead: int) -> Table:
    """The full list of endpoints, in the format of discovery. A row that has a start also tells what this
    process takes it for, as Unix time of its own clock."""
    rows = []
    for entry in listed.entries.values():
        if entry.endpoint not in listed.addresses:
            continue
        row = {
            "name": entry.endpoint,
            "address": listed.addresses[entry.endpoint],
            "zone": entry.zone,
            "type": entry.kind,
            "group": entry.cell,
            "status": DISCOVERY_STATUS[entry.state],
            "since_ms": listed.listed_starts(entry.endpoint) // 1000,
            "weight": entry.weight,
        }
        rows.append(row | {STARTED: entry.started + unix_ahead} if entry.started else row)
    return {"index": listed.index or 0, "snapshot": True, "endpoints": rows}


def decode_starts(endpoint_list: Table, unix_ahead: int, now: int) -> dict[str, int]:
    """What the sender takes the starts of its endpoints for, in the receiver's monotonic time. Raises
    ValueError, TypeError or KeyError."""
    return {
        str(row["name"]): sender_clock.not_to_come(int(row[STARTED]) - unix_ahead, now)
        for row in endpoint_list["endpoints"]
        if STARTED in row
    }


def encode(
    endpoint_list: Table,
    overrides: OperatorOverrides,
    learned: Table,
    open_descriptors: int,
    clock: ClockReading,
) -> Table:
    """`endpoint_list`: see `encode_list`. `clock`: the reading by which all times are Unix time."""
    ahead = clock.unix_ahead
    return {
        "say": "state",
        "version": VERSION,
        sender_clock.CLOCK: sender_clock.encode_reading(clock),
        "held": open_descriptors,
        "learned": learned,
        "list": endpoint_list,
        "out": [[name, listed_at + ahead] for name, listed_at in overrides.cordoned.items()],
        "mode": [overrides.mode.value, overrides.mode_since + ahead],
    }


def times_of(table: Table) -> Iterator[int]:
    """All times of a state that had passed when it was sent, in microseconds."""
    yield from (int(listed_at) for _, listed_at in table["out"])
    if (since := int(table["mode"][1])) != NEVER_CHANGED:
        yield since
    yield from learned_times(table["learned"])


def log_fields(state: HandoverState, overrides: OperatorOverrides, received: ClockReading) -> Table:
    """What was handed over that is bound to a time. `clock_ahead_ms`: of the sender's clock, by that of the
    receiver; `unlisted_s`: since a list last named each endpoint that is out."""
    out = list(overrides.cordoned.items())[:MAX_LOGGED_ENDPOINTS]
    return {
        "list": state.known.index,
        "mode": overrides.mode.value,
        "cordoned": len(overrides.cordoned),
        "unlisted_s": {name: round((received.monotonic - at) / 1_000_000, 1) for name, at in out},
        "clock_told": state.clock_told,
        "clock_ahead_ms": round((state.unix_ahead - received.unix_ahead) / 1000),
    }


def decode(table: Table, overrides: OperatorOverrides, received: ClockReading) -> HandoverState:
    """Applies the operator overrides and returns the rest. `received`: both clocks, as the state has come.
    Raises InvalidHandoverState."""
    if table.get("say") != "state" or table.get("version") != VERSION:
        raise InvalidHandoverState(str(table.get("why") or f"no state of version {VERSION}")[:200])
    try:
        known, now = lists.parse(table["list"]), received.monotonic
        ahead = sender_clock.unix_ahead_of(table, times_of(table), received)
        cordoned = {
            str(name): sender_clock.not_to_come(int(listed_at) - ahead, now)
            for name, listed_at in table["out"]
        }
        mode = Mode(table["mode"][0])
        since = sender_clock.not_to_come(int(table["mode"][1]) - ahead, now)
        retries, memory = int(table.get("repeats", 0)), int(table.get("memory", 0))
        used_ids = [int(digest) for digest in table.get("used_ids", ())]
        starts = decode_starts(table["list"], ahead, now)
        state = HandoverState(
            known,
            dict(table["learned"]),
            int(table["held"]),
            retries,
            memory,
            used_ids,
            ahead,
            sender_clock.CLOCK in table,
            starts,
            int(table.get("report_serial", 0)),
            str(table.get("list_state", "")),
        )
        if state.open_descriptors < 0 or state.retries < 0 or state.private_memory < 0:
            raise ValueError("held, repeats, memory: must not be negative")
    except (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError, Garbled) as error:
        raise InvalidHandoverState(f"{type(error).__name__}: {error}"[:200]) from error
    overrides.cordoned.update(cordoned)
    if mode is Mode.DRAINING:
        overrides.quiesce(since)
    return state
