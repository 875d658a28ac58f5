"""What the sidecars of a run on sockets are configured with."""

from __future__ import annotations

import orjson

from lupinmill.lab.registry import Entry
from lupinmill.lab.stand_ins import HOST, STATUS
from lupinmill.peers.peer import REHEARSAL_TOPIC

ELECTORS = (0, 3, 5)  # how many there may be


def operators_file(ports: list[int]) -> str:
    """Of the front sidecars s0, s1, ...: all members, up to five of them electors that ask for one lease."""
    names = [f"s{at}" for at in range(len(ports))]
    most = max((n for n in ELECTORS if n <= len(ports)), default=0)
    electors = orjson.dumps(names[:most]).decode()
    wants = f'wants = ["{REHEARSAL_TOPIC}"]\n' if most else ""
    rows = [f'[peers.members.{name}]\naddress = "{HOST}:{port}"\n' for name, port in zip(names, ports)]
    return f'site = "lab"\n\n[peers]\nelectors = {electors}\n{wants}\n' + "\n".join(rows)


def endpoint_row(entry: Entry, address: str) -> dict[str, object]:
    """An entry as discovery writes it."""
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
