"""Costs of settings, rosters and lists in a sidecar: reading the operators' file of N members and lists of N
endpoints, the state of N members, and the start of a new process.

SIGHUP refuses a change of a limit, so its cost is that of a restart: CPU time, and seconds until the new
process listens. The processes are real and are always ended here."""

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

from lupinmill.lab.fleet_sockets import HOST, SETTINGS
from lupinmill.lab.ports import release_ports, reserve_port
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
    """An operators' file of N members; `own`: address of the first member."""
    rows = []
    for at, seat in enumerate(roster_entries(members, zones)):
        address = own if own and not at else seat.address
        rows.append(f'[peers.members.{seat.name}]\naddress = "{address}"\nzone = "{seat.zone}"\n')
    names = [seat.name for seat in roster_entries(members, zones)]
    electors = [names[at * members // ELECTORS] for at in range(ELECTORS)]
    return f'site = "hollow"\n\n[peers]\nelectors = {orjson.dumps(electors).decode()}\n\n' + "\n".join(rows)


@contextmanager
def without_caps() -> Iterator[None]:
    """Lifts the file's caps for a trial of what reading a refused file would cost."""
    caps = operators_file.MAX_FILE_BYTES, operators_file.MAX_MEMBERS
    operators_file.MAX_FILE_BYTES, operators_file.MAX_MEMBERS = 2**30, 10**9
    try:
        yield
    finally:
        operators_file.MAX_FILE_BYTES, operators_file.MAX_MEMBERS = caps


def measure_file_reading(members: int) -> tuple[float, float, int]:
    """CPU seconds of reading the file once, bytes that its result holds, size of the file.

    Raises ConfigFileError if the file exceeds a cap.
    """
    with tempfile.TemporaryDirectory(prefix="lupinmill-slopes-") as folder:
        path = Path(folder) / "operators.toml"
        path.write_text(operators_text(ELECTORS))
        operators_file.read(str(path))  # one-time costs of the first reading are no part of the slope
        path.write_text(operators_text(members))
        started_at = time.thread_time_ns()
        operators_file.read(str(path))
        cpu_s = (time.thread_time_ns() - started_at) / 1e9
        # The minimum of two, as an internal table of the interpreter may grow during one of them.
        memory = min(held_memory(lambda: operators_file.read(str(path))) for _ in range(2))
        return cpu_s, memory, path.stat().st_size


def held_memory(make: Callable[[], Any]) -> float:
    """Bytes held by the object that `make` returns."""
    gc.collect()
    tracemalloc.start()
    result = make()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return float(held)


def measure_list_reading(endpoints: int) -> tuple[float, float, int]:
    """The same costs for a list of endpoints as discovery sends it."""
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
        started_at = time.thread_time_ns()
        lists.parse(orjson.loads(data))
        best = min(best, (time.thread_time_ns() - started_at) / 1e9)
    memory = min(held_memory(lambda: lists.parse(orjson.loads(data))) for _ in range(2))
    return best, memory, len(data)


def member_state_bytes(members: int, zones: int = ZONES, warm: bool = True) -> float:
    """Bytes that the peers' core and driver hold for N known members, without the operators' file."""
    if warm:
        member_state_bytes(ELECTORS, zones, False)  # fills caches of types, which only the first call does
    known_seats = roster_entries(members, zones)
    peer_settings = PeerSettings(known_seats[0].name, known_seats)
    tracemalloc.start()
    driver = Driver(peer_settings, "hollow", "127.0.0.1:1", None, lambda *a, **k: None)
    driver.peer = Peer(peer_settings, 1, 1, 0)
    for at in range(0, members, wire.MAX_UPDATES):
        notes = [
            wire.MemberUpdate(s.name, Status.ALIVE, 0, s.name)
            for s in known_seats[at : at + wire.MAX_UPDATES]
        ]
        driver.peer.membership.receive(Received(known_seats[-1].name, wire.Table(False, 0, []), notes))
    driver.peer.membership.commands.clear()
    driver.peer.membership.pending_updates.clear()
    driver.peer.membership.next_in_rotation(driver.peer.membership.probe_order, (Status.ALIVE,))
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(memory)


def cpu_seconds(process: Process) -> float:
    """CPU seconds of all threads of a process, with a finer resolution than the ticks of `stat`."""
    assert process.process is not None
    whole = 0
    for task in Path(f"/proc/{process.process.pid}/task").iterdir():
        whole += int((task / "schedstat").read_text().split()[0])
    return whole / 1e9


async def measure_start(members: int, idle_s: float = 0.0) -> dict[str, float]:
    """Starts a real sidecar with a roster of N members (0: no operators' file), then leaves it idle.

    Measures CPU and wall time until its `started` line, memory, and CPU while idle.
    """
    ports = reserve_port(os.getpid() * 97), reserve_port(os.getpid() * 97)
    with tempfile.TemporaryDirectory(prefix="lupinmill-slopes-") as folder:
        own = f"{HOST}:{ports[0]}"
        environ = {}
        name = roster_entries(1)[0].name
        if members:
            path = Path(folder) / "operators.toml"
            path.write_text(operators_text(members, own))
            environ["BALANCER_OPERATOR_FILE"] = str(path)

        def process_settings(process: Process) -> dict[str, Any]:
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

        process = Process(name, 0, Path(folder), process_settings, lambda process, event: None, environ)
        try:
            started_at = time.monotonic()
            await process.start()
            found = {"wall": time.monotonic() - started_at, "cpu": cpu_seconds(process)}
            if idle_s:
                await asyncio.sleep(idle_s / 4)  # work deferred until after the start
                before, at = cpu_seconds(process), time.monotonic()
                await asyncio.sleep(idle_s)
                found["idle"] = (cpu_seconds(process) - before) / (time.monotonic() - at)
            found["memory"] = process.memory() * 2**20
            return found
        finally:
            await process.end()
            release_ports(ports)
