"""What passes at an upgrade beside sockets, as a plain table. Pure. The taker reads it whole or refuses it
whole."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lupinmill import terms as t
from lupinmill.admin.operator_overrides import Mode, OperatorOverrides
from lupinmill.handover.succession import VERSION
from lupinmill.protocol import lists
from lupinmill.protocol.http import Garbled

Table = dict[str, Any]
STATUS = {t.State.READY: "SERVING", t.State.DRAINING: "DRAINING"}


class BadPapers(Exception):
    pass


@dataclass(slots=True)
class Papers:
    known: lists.Known
    learned: Table
    held: int  # descriptors that the older process has open
    repeats: int  # launches beyond a submission's first that it has made so far


def write_list(listed: dict[str, t.Listing], addresses: dict[str, str], index: int | None) -> Table:
    """The whole list, as discovery would tell it."""
    rows = [
        {
            "name": one.endpoint,
            "address": addresses[one.endpoint],
            "zone": one.zone,
            "type": one.kind,
            "group": one.cell,
            "status": STATUS[one.state],
            "since_ms": one.started // 1000,
            "weight": one.weight,
        }
        for one in listed.values()
        if one.endpoint in addresses
    ]
    return {"index": index or 0, "snapshot": True, "endpoints": rows}


def write(listed: Table, overrides: OperatorOverrides, learned: Table, held: int) -> Table:
    """`listed`: see `write_list`."""
    return {
        "say": "state",
        "version": VERSION,
        "held": held,
        "learned": learned,
        "list": listed,
        "out": [[name, named] for name, named in overrides.cordoned.items()],
        "mode": [overrides.mode.value, overrides.mode_since],
    }


def read(table: Table, overrides: OperatorOverrides) -> Papers:
    """What stands is taken up here; the rest is returned."""
    if table.get("say") != "state" or table.get("version") != VERSION:
        raise BadPapers(str(table.get("why") or f"no state of version {VERSION}")[:200])
    try:
        known = lists.known(table["list"])
        out = {str(name): int(named) for name, named in table["out"]}
        mode, since = Mode(table["mode"][0]), int(table["mode"][1])
        papers = Papers(known, dict(table["learned"]), int(table["held"]), int(table.get("repeats", 0)))
        if papers.held < 0 or papers.repeats < 0:
            raise ValueError("held, repeats: under 0")
    except (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError, Garbled) as error:
        raise BadPapers(f"{type(error).__name__}: {error}"[:200]) from error
    overrides.cordoned.update(out)
    if mode is Mode.DRAINING:
        overrides.quiesce(since)
    return papers
