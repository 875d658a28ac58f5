"""Configuration of the sidecars in a run on sockets."""

from __future__ import annotations

import orjson

from lupinmill.lab.registry import Entry
from lupinmill.lab.stand_ins import HOST, STATUS
from lupinmill.peers.peer import REHEARSAL_TOPIC

ELECTORS = (0, 3, 5)  # allowed numbers of electors


def operators_file(ports: list[int]) -> str:
    """Returns the operators' file for front sidecars s0, s1, ...: all are members, up to five are electors,
    which hold elections for one lease."""
    names = [f"s{at}" for at in range(len(ports))]
    elector_count = max((n for n in ELECTORS if n <= len(ports)), default=0)
    electors = orjson.dumps(names[:elector_count]).decode()
    wants = f'wants = ["{REHEARSAL_TOPIC}"]\n' if elector_count else ""
    rows = [f'[peers.members.{name}]\naddress = "{HOST}:{port}"\n' for name, port in zip(names, ports)]
    return f'site = "lab"\n\n[peers]\nelectors = {electors}\n{wants}\n' + "\n".join(rows)


def endpoint_row(entry: Entry, address: str) -> dict[str, object]:
    """Returns an entry as discovery encodes it."""
    return {
        "name": entry.name,
        "address": address,
        "zone": entry.zone,
        "type": entry.kind,
        "group": entry.cell,
        "status": STATUS[entry.state],
        "weight": 1.0,
        "since_ms": entry.started // 1000,
    }
