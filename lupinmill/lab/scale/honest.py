"""Compares real sidecars, each a process of `python -m lupinmill`, with as many hollow ones.

Both have the same operators' file. Messages and bytes per probe, and rows, must agree within `TOLERANCE`;
rates per second would depend on the load of the machine. CPU time is reported but not compared. The processes
are always ended and their directory removed."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import anyio
import orjson

from lupinmill.lab.fleet_sockets import HOST, SETTINGS
from lupinmill.lab.ports import release_ports, reserve_port
from lupinmill.lab.processes import Process, call_operator
from lupinmill.lab.scale.hollow import names
from lupinmill.lab.scale.loopback import (
    MEMBERSHIP_TIMEOUT_S,
    WINDOW_ROUNDS,
    ClientlessSidecar,
    FleetRates,
    ProbeObserver,
    operators_file_text,
    settled_rounds,
)
from lupinmill.lab.scale.settings import cpu_seconds
from lupinmill.program import operators_file

TOLERANCE = 0.10
OPERATOR_LIMIT_S = 20.0
CONCURRENT_STARTS = 4  # processes started at the same time
PER_PROBE = ("messages_out", "messages_in", "bytes_out", "bytes_in")
COMPARED = (*PER_PROBE, "rows")


async def fetch_json(address: str, path: str) -> dict[str, Any]:
    """The decoded JSON answer to an operator's call."""
    _, body = await call_operator(address, path, timeout_s=OPERATOR_LIMIT_S)
    return orjson.loads(body)


class RealFleet:
    def __init__(self, members: int, round_ms: int) -> None:
        self.members, self.round_s = members, round_ms / 1000
        *self.names, self.last = names(members + 1)
        # Offset by process id, as the hollow fleet chooses its ports at the same time.
        self.ports = [reserve_port(os.getpid() * 97 % 4_000 + at) for at in range(2 * members + 1)]
        self.binds = [f"{HOST}:{port}" for port in self.ports[: members + 1]]
        self.text = operators_file_text(self.binds, round_ms)

    async def run(self, window: int = WINDOW_ROUNDS) -> FleetRates:
        with tempfile.TemporaryDirectory(prefix="lupinmill-honest-") as folder:
            path = Path(folder) / "operators.toml"
            path.write_text(self.text)
            environ = {"BALANCER_OPERATOR_FILE": str(path)}
            processes = [
                Process(name, 0, Path(folder), self.process_settings, lambda process, event: None, environ)
                for name in self.names
            ]
            try:
                for at in range(0, self.members, CONCURRENT_STARTS):
                    await asyncio.gather(*(one.start() for one in processes[at : at + CONCURRENT_STARTS]))
                watcher = ClientlessSidecar(operators_file.parse(tomllib.loads(self.text)), self.last)
                async with anyio.create_task_group() as group:
                    group.start_soon(watcher.driver.run, False)
                    group.start_soon(watcher.common.run)
                    found = await self.measure(processes, watcher, window)
                    group.cancel_scope.cancel()
                return found
            finally:
                await asyncio.gather(*(one.end() for one in processes))
                release_ports(self.ports)

    def process_settings(self, process: Process) -> dict[str, Any]:
        at = self.names.index(process.name)
        return {
            "name": process.name,
            "listen": self.binds[at],
            "operator": f"{HOST}:{self.ports[self.members + 1 + at]}",
            "discovery": f"{HOST}:9",
            "seed": str(at),
            "limits": {"sockets": 256, "memory_mb": 64},
            "known": {"index": 1, "snapshot": True, "endpoints": []},
            "settings": SETTINGS,
        }

    async def snapshots(self, processes: list[Process]) -> list[tuple[float, float, dict[str, Any]]]:
        found = []
        for one in processes:
            table = await fetch_json(one.operator_address, "peers")
            found.append((time.monotonic(), cpu_seconds(one), table))
        return found

    async def measure(self, processes: list[Process], watcher: ClientlessSidecar, window: int) -> FleetRates:
        deadline = time.monotonic() + MEMBERSHIP_TIMEOUT_S
        while any(table.get("sees") != self.members + 1 for _, _, table in await self.snapshots(processes)):
            if time.monotonic() > deadline:
                raise TimeoutError("real sidecars have not all seen all")
            await asyncio.sleep(0.5)
        await asyncio.sleep(settled_rounds(self.members) * self.round_s)
        watch = ProbeObserver(watcher.driver)
        before = await self.snapshots(processes)
        await asyncio.sleep(window * self.round_s)
        after = await self.snapshots(processes)
        found = FleetRates(self.members, seconds=window * self.round_s, probes=watch.pace())
        for (at, used, early), (then, spent, late) in zip(before, after):
            seconds, part = then - at, 1 / self.members
            for key, name in (
                ("messages_out", "sent"),
                ("messages_in", "received"),
                ("bytes_out", "bytes_out"),
                ("bytes_in", "bytes_in"),
            ):
                count = late["datagrams"][name] - early["datagrams"][name]
                setattr(found, key, getattr(found, key) + count / seconds * part)
            found.rows += late["sees"] * part
            found.cpu += (spent - used) / seconds * part
            for why, count in late["datagrams"]["refused"].items():
                found.refused[why] = found.refused.get(why, 0) + count
        found.memory = sum(one.memory() for one in processes) / self.members * 2**20
        return found


def play(members: int, round_ms: int = 200, window: int = WINDOW_ROUNDS) -> FleetRates:
    return asyncio.run(RealFleet(members, round_ms).run(window))


def differences(real: FleetRates, hollow: FleetRates) -> dict[str, float]:
    """Deviation of the hollow figures from the real ones, as a part of the real ones."""
    found = {}
    for name in COMPARED:
        hollow_value, real_value = comparable(hollow, name), comparable(real, name)
        found[name] = abs(hollow_value - real_value) / real_value if real_value > 0 else float("inf")
    return found


def comparable(side: FleetRates, name: str) -> float:
    """A figure per probe if it is a rate; infinite where no probe was counted."""
    value = getattr(side, name)
    if name not in PER_PROBE:
        return value
    return value / side.probes if side.probes > 0 else float("inf")


def violations(real: FleetRates, hollow: FleetRates) -> list[str]:
    """Differences beyond the tolerance, in words."""
    return [
        f"{name.replace('_', ' ')} of {hollow.members} hollow sidecars is {comparable(hollow, name):.4g}, "
        f"of real ones {comparable(real, name):.4g}{' by the probe' * (name in PER_PROBE)}: "
        f"{difference:.0%} apart, {TOLERANCE:.0%} allowed"
        for name, difference in differences(real, hollow).items()
        if not difference <= TOLERANCE
    ]
