"""State that an upgrade passes beside sockets, as a plain table. Pure. The receiver accepts or rejects it as
a whole."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from lupinmill import terms as t
from lupinmill.admin.operator_overrides import Mode, OperatorOverrides
from lupinmill.handover.upgrade_protocol import VERSION
from lupinmill.protocol import lists
from lupinmill.protocol.http import Garbled

Table = dict[str, Any]
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


def encode_list(endpoint_list: dict[str, t.ListEntry], addresses: dict[str, str], index: int | None) -> Table:
    """The full list of endpoints, in the format of discovery."""
    rows = [
        {
            "name": listing.endpoint,
            "address": addresses[listing.endpoint],
            "zone": listing.zone,
            "type": listing.kind,
            "group": listing.cell,
            "status": DISCOVERY_STATUS[listing.state],
            "since_ms": listing.started // 1000,
            "weight": listing.weight,
        }
        for listing in endpoint_list.values()
        if listing.endpoint in addresses
    ]
    return {"index": index or 0, "snapshot": True, "endpoints": rows}


def encode(
    endpoint_list: Table, overrides: OperatorOverrides, learned: Table, open_descriptors: int
) -> Table:
    """`endpoint_list`: see `encode_list`."""
    return {
        "say": "state",
        "version": VERSION,
        "held": open_descriptors,
        "learned": learned,
        "list": endpoint_list,
        "out": [[name, listed_at] for name, listed_at in overrides.cordoned.items()],
        "mode": [overrides.mode.value, overrides.mode_since],
    }


def decode(table: Table, overrides: OperatorOverrides) -> HandoverState:
    """Applies the operator overrides and returns the rest. Raises InvalidHandoverState."""
    if table.get("say") != "state" or table.get("version") != VERSION:
        raise InvalidHandoverState(str(table.get("why") or f"no state of version {VERSION}")[:200])
    try:
        known = lists.parse(table["list"])
        cordoned = {str(name): int(listed_at) for name, listed_at in table["out"]}
        mode, since = Mode(table["mode"][0]), int(table["mode"][1])
        retries, memory = int(table.get("repeats", 0)), int(table.get("memory", 0))
        used_ids = [int(digest) for digest in table.get("used_ids", ())]
        state = HandoverState(known, dict(table["learned"]), int(table["held"]), retries, memory, used_ids)
        if state.open_descriptors < 0 or state.retries < 0 or state.private_memory < 0:
            raise ValueError("held, repeats, memory: must not be negative")
    except (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError, Garbled) as error:
        raise InvalidHandoverState(f"{type(error).__name__}: {error}"[:200]) from error
    overrides.cordoned.update(cordoned)
    if mode is Mode.DRAINING:
        overrides.quiesce(since)
    return state
