"""Shown honest: real sidecars, each a process of `python -m lupinmill`, against as many hollow ones of the
same operators' file. Messages and bytes by the probe, and rows, are to be within `WITHIN` of each other: by
the second they would tell how busy the machine is. Processor time is told and not judged.

Owns the processes and their folder, ended and removed whatever happens."""

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

from lupinmill.lab.fleet_sockets import HOST, RESERVED_PORTS, SETTINGS, free_port
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
from lupinmill.lab.scale.settings import cpu_of
from lupinmill.program import operators_file

WITHIN = 0.10
OPERATOR_LIMIT_S = 20.0
AT_ONCE = 4  # processes that start at a time
BY_PROBE = ("messages_out", "messages_in", "bytes_out", "bytes_in")
COMPARED = (*BY_PROBE, "rows")


async def call(address: str, path: str) -> dict[str, Any]:
    """What an operator's call is answered with, read as JSON."""
    _, body = await call_operator(address, path, timeout_s=OPERATOR_LIMIT_S)
    return orjson.loads(body)


class Real:
    def __init__(self, members: int, round_ms: int) -> None:
        self.members, self.round_s = members, round_ms / 1000
        *self.names, self.last = names(members + 1)
        # Others than those of the hollow ones beside it, which are chosen in the same moment.
        self.ports = [free_port(os.getpid() * 97 % 4_000 + at) for at in range(2 * members + 1)]
        self.binds = [f"{HOST}:{port}" for port in self.ports[: members + 1]]
        self.text = operators_file_text(self.binds, round_ms)

    async def run(self, window: int = WINDOW_ROUNDS) -> FleetRates:
        with tempfile.TemporaryDirectory(prefix="lupinmill-honest-") as folder:
            path = Path(folder) / "operators.toml"
            path.write_text(self.text)
            environ = {"BALANCER_OPERATOR_FILE": str(path)}
            processes = [
                Process(name, 0, Path(folder), self.told, lambda process, event: None, environ)
                for name in self.names
            ]
            try:
                for at in range(0, self.members, AT_ONCE):
                    await asyncio.gather(*(one.start() for one in processes[at : at + AT_ONCE]))
                watcher = ClientlessSidecar(operators_file.parse(tomllib.loads(self.text)), self.last)
                async with anyio.create_task_group() as group:
                    group.start_soon(watcher.driver.run, False)
                    group.start_soon(watcher.common.run)
                    found = await self.count(processes, watcher, window)
                    group.cancel_scope.cancel()
                return found
            finally:
                await asyncio.gather(*(one.end() for one in processes))
                RESERVED_PORTS.difference_update(self.ports)

    def told(self, process: Process) -> dict[str, Any]:
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

    async def shows(self, processes: list[Process]) -> list[tuple[float, float, dict[str, Any]]]:
        found = []
        for one in processes:
            table = await call(one.operator_address, "peers")
            found.append((time.monotonic(), cpu_of(one), table))
        return found

    async def count(self, processes: list[Process], watcher: ClientlessSidecar, window: int) -> FleetRates:
        ends = time.monotonic() + MEMBERSHIP_TIMEOUT_S
        while any(table.get("sees") != self.members + 1 for _, _, table in await self.shows(processes)):
            if time.monotonic() > ends:
                raise TimeoutError("real sidecars have not all seen all")
            await asyncio.sleep(0.5)
        await asyncio.sleep(settled_rounds(self.members) * self.round_s)
        watch = ProbeObserver(watcher.driver)
        before = await self.shows(processes)
        await asyncio.sleep(window * self.round_s)
        after = await self.shows(processes)
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
    return asyncio.run(Real(members, round_ms).run(window))


def differences(real: FleetRates, hollow: FleetRates) -> dict[str, float]:
    """Of the hollow from the real, as a part of the real."""
    found = {}
    for name in COMPARED:
        ours, theirs = told(hollow, name), told(real, name)
        found[name] = abs(ours - theirs) / theirs if theirs > 0 else float("inf")
    return found


def told(side: FleetRates, name: str) -> float:
    """By the probe, where it is a rate; infinite where no probe was heard."""
    value = getattr(side, name)
    if name not in BY_PROBE:
        return value
    return value / side.probes if side.probes > 0 else float("inf")


def wrong(real: FleetRates, hollow: FleetRates) -> list[str]:
    """What is further apart than it may be, in words."""
    return [
        f"{name.replace('_', ' ')} of {hollow.members} hollow sidecars is {told(hollow, name):.4g}, "
        f"of real ones {told(real, name):.4g}{' by the probe' * (name in BY_PROBE)}: {apart:.0%} apart, "
        f"{WITHIN:.0%} allowed"
        for name, apart in differences(real, hollow).items()
        if not apart <= WITHIN
    ]
