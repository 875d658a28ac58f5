"""What settings, rosters and lists cost a sidecar: the operators' file of N members as its own reader reads
it, lists of N endpoints, the state of N members, and a start as a new process.

A change of a limit is refused by SIGHUP, so what it costs is a restart: processor time and seconds until the
new process listens. Processes are real ones, ended here whatever happens."""

from __future__ import annotations

import asyncio
import gc
import os
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import orjson

from lupinmill.lab.fleet_sockets import HOST, RESERVED_PORTS, SETTINGS, free_port
from lupinmill.lab.processes import Process
from lupinmill.lab.scale.hollow import roster_entries
from lupinmill.peers import wire
from lupinmill.peers.driver import Driver
from lupinmill.peers.peer import Peer, PeerSettings
from lupinmill.peers.view import Received
from lupinmill.peers.wire import Status
from lupinmill.program import operators_file
from lupinmill.protocol import lists

ELECTORS = 5
ZONES = 16


def operators_text(members: int, own: str = "", zones: int = ZONES) -> str:
    """As an operator would write it; `own`: address of the first member."""
    rows = []
    for at, seat in enumerate(roster_entries(members, zones)):
        address = own if own and not at else seat.address
        rows.append(f'[peers.members.{seat.name}]\naddress = "{address}"\nzone = "{seat.zone}"\n')
    names = [seat.name for seat in roster_entries(members, zones)]
    electors = [names[at * members // ELECTORS] for at in range(ELECTORS)]
    return f'site = "hollow"\n\n[peers]\nelectors = {orjson.dumps(electors).decode()}\n\n' + "\n".join(rows)


@contextmanager
def caps_lifted() -> Iterator[None]:
    """A trial: what reading would cost if the file were taken."""
    kept = operators_file.MAX_FILE_BYTES, operators_file.MAX_MEMBERS
    operators_file.MAX_FILE_BYTES, operators_file.MAX_MEMBERS = 2**30, 10**9
    try:
        yield
    finally:
        operators_file.MAX_FILE_BYTES, operators_file.MAX_MEMBERS = kept


def read_file(members: int) -> tuple[float, float, int]:
    """Processor seconds of one reading, bytes kept by it, bytes of the file.

    Raises ConfigFileError at a cap."""
    with tempfile.TemporaryDirectory(prefix="lupinmill-slopes-") as folder:
        path = Path(folder) / "operators.toml"
        path.write_text(operators_text(ELECTORS))
        operators_file.read(str(path))  # what a first reading alone costs is no part of the slope
        path.write_text(operators_text(members))
        began = time.thread_time_ns()
        operators_file.read(str(path))
        took = (time.thread_time_ns() - began) / 1e9
        # The less of two: one may have met the moment at which a table of the interpreter's own grows.
        memory = min(memory_of(lambda: operators_file.read(str(path))) for _ in range(2))
        return took, memory, path.stat().st_size


def memory_of(make: Callable[[], Any]) -> float:
    """Bytes that what it makes goes on holding."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del made
    return float(held)


def read_lists(endpoints: int) -> tuple[float, float, int]:
    """The same of a list of endpoints as discovery tells it."""
    rows = [
        {
            "name": f"endpoint-{at:05d}",
            "address": f"127.0.{at // 250}.{1 + at % 250}:8080",
            "status": "SERVING",
            "zone": f"z{at % ZONES}",
            "type": "plain",
            "group": f"g{at % 4}",
            "since_ms": 1_700_000_000_000 + at,
        }
        for at in range(endpoints)
    ]
    data = orjson.dumps({"index": 7, "snapshot": True, "endpoints": rows})
    del rows
    best = float("inf")
    for _ in range(3):
        began = time.thread_time_ns()
        lists.parse(orjson.loads(data))
        best = min(best, (time.thread_time_ns() - began) / 1e9)
    memory = min(memory_of(lambda: lists.parse(orjson.loads(data))) for _ in range(2))
    return best, memory, len(data)


def state(members: int, zones: int = ZONES, warm: bool = True) -> float:
    """Bytes that the peers' core and driver hold of N members, all heard of; the file that told them not
    counted."""
    if warm:
        state(ELECTORS, zones, False)  # what the first one alone fills, as caches of types
    told_seats = roster_entries(members, zones)
    told = PeerSettings(told_seats[0].name, told_seats)
    tracemalloc.start()
    driver = Driver(told, "hollow", "127.0.0.1:1", None, lambda *a, **k: None)
    driver.peer = Peer(told, 1, 1, 0)
    for at in range(0, members, wire.MAX_UPDATES):
        notes = [
            wire.MemberUpdate(s.name, Status.ALIVE, 0, s.name) for s in told_seats[at : at + wire.MAX_UPDATES]
        ]
        driver.peer.membership.receive(Received(told_seats[-1].name, wire.Table(False, 0, []), notes))
    driver.peer.membership.commands.clear()
    driver.peer.membership.pending_updates.clear()
    driver.peer.membership.next_in_rotation(driver.peer.membership.probe_order, (Status.ALIVE,))
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(memory)


def cpu_of(process: Process) -> float:
    """Seconds, of its main thread and the others; finer than the ticks of `stat`."""
    assert process.process is not None
    whole = 0
    for task in Path(f"/proc/{process.process.pid}/task").iterdir():
        whole += int((task / "schedstat").read_text().split()[0])
    return whole / 1e9


async def start(members: int, idle_s: float = 0.0) -> dict[str, float]:
    """A real sidecar with a roster of N (0: no operators' file): from its start to its `started` line, in
    processor and in wall time; then idle for so long."""
    ports = free_port(os.getpid() * 97), free_port(os.getpid() * 97)
    with tempfile.TemporaryDirectory(prefix="lupinmill-slopes-") as folder:
        own = f"{HOST}:{ports[0]}"
        environ = {}
        name = roster_entries(1)[0].name
        if members:
            path = Path(folder) / "operators.toml"
            path.write_text(operators_text(members, own))
            environ["BALANCER_OPERATOR_FILE"] = str(path)

        def told(process: Process) -> dict[str, Any]:
            return {
                "name": process.name,
                "listen": own,
                "operator": f"{HOST}:{ports[1]}",
                "discovery": f"{HOST}:9",
                "seed": "1",
                "limits": {"sockets": 256, "memory_mb": 64},
                "known": {"index": 1, "snapshot": True, "endpoints": []},
                "settings": SETTINGS,
            }

        process = Process(name, 0, Path(folder), told, lambda process, event: None, environ)
        try:
            began = time.monotonic()
            await process.start()
            found = {"wall": time.monotonic() - began, "cpu": cpu_of(process)}
            if idle_s:
                await asyncio.sleep(idle_s / 4)  # what it puts off to after its start
                before, at = cpu_of(process), time.monotonic()
                await asyncio.sleep(idle_s)
                found["idle"] = (cpu_of(process) - before) / (time.monotonic() - at)
            found["memory"] = process.memory() * 2**20
            return found
        finally:
            await process.end()
            RESERVED_PORTS.difference_update(ports)
