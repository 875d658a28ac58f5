"""Hollow sidecars over real loopback sockets, many in one process: the very `Driver`, `Engine`, `ZoneDriver`
and `Common` that `program.sidecar` puts together from the same operators' file, without listeners or clients.

Owns the sockets and tasks of the fleet, given back at the end of `Fleet.run`."""

from __future__ import annotations

import os
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import orjson

from lupinmill import terms as t
from lupinmill.lab.fleet_sockets import HOST, SETTINGS, TAKEN, free_port
from lupinmill.lab.scale.hollow import names
from lupinmill.peers.driver import Driver
from lupinmill.peers.membership import JOIN_ROUNDS, TABLE_SYNC_ROUNDS
from lupinmill.peers.view import Received
from lupinmill.peers.wire import MAX_UPDATES, Ping
from lupinmill.program import operators_file
from lupinmill.program.common import Common
from lupinmill.protocol import settings as protocol_settings
from lupinmill.routing.engine import Clock, Engine
from lupinmill.zones.driver import ZoneDriver

ELECTORS = 5
WINDOW_ROUNDS = 100  # rounds that are counted: whole exchanges of tables, of which there is one in ten
MEMBERSHIP_TIMEOUT_S = 180.0  # seconds for all to see all, at most
LOOK = 0.2


@dataclass
class FleetRates:
    """Of the mean counted member over the window, by the second."""

    members: int
    messages_out: float = 0.0
    messages_in: float = 0.0
    bytes_out: float = 0.0
    bytes_in: float = 0.0
    rows: float = 0.0  # members that it holds for present, itself among them
    cpu: float = 0.0  # part of a core
    memory: float = 0.0  # bytes; real processes only
    seconds: float = 0.0
    probes: float = 0.0  # by the second, as their serials tell: the pace of the rounds, late ones among them
    refused: dict[str, int] = field(default_factory=dict)  # datagrams, by cause


def operators_file_text(addresses: list[str], round_ms: int, zones: int = 4) -> str:
    """The one operators' file of a fleet, with zones on."""
    members = len(addresses)
    every = names(members)
    electors = [every[at * members // ELECTORS] for at in range(ELECTORS)]
    rows = [
        f'[peers.members.{name}]\naddress = "{address}"\nzone = "z{at * zones // members}"\n'
        for at, (name, address) in enumerate(zip(every, addresses))
    ]
    rows += [f'[zones.map.z{at}]\nregion = "r{at // 2}"\n' for at in range(zones)]
    head = f'site = "hollow"\n\n[peers]\nelectors = {orjson.dumps(electors).decode()}\n'
    return head + f"round_ms = {round_ms}\nlive_count = true\n\n" + "\n".join(rows)


def settled_rounds(members: int) -> int:
    """Rounds until tables are asked for by turns only, and some more in which news is told."""
    return JOIN_ROUNDS + 2 * members // MAX_UPDATES + TABLE_SYNC_ROUNDS // 2 + members // 10


class ProbeObserver:
    """What one hollow member hears of the others' probes. Serials are counted by their senders, one a probe:
    so the pace of real processes shows, too, and figures can be told by the probe and not by the second,
    which a busy machine makes longer."""

    def __init__(self, driver: Driver) -> None:
        self.heard: dict[str, list[tuple[float, int]]] = {}
        self.driver, self.take = driver, driver.receive_datagram
        driver.receive_datagram = self.look  # type: ignore[method-assign]

    def look(self, data: bytes, address: Any) -> None:
        before = len(self.driver.inbox)
        self.take(data, address)
        for note in self.driver.inbox[before:]:
            if isinstance(note, Received) and isinstance(note.body, Ping) and note.body.serial:
                self.heard.setdefault(note.sender, []).append((time.monotonic(), note.body.serial))

    def pace(self) -> float:
        """Probes a second of the mean member among those that were heard twice; 0: there is none."""
        paces = []
        for rows in self.heard.values():
            (began, first), (ended, last) = rows[0], rows[-1]
            if last > first and ended > began:
                paces.append((last - first) / (ended - began))
        return sum(paces) / len(paces) if paces else 0.0


class ClientlessSidecar:
    """One sidecar without clients."""

    def __init__(self, file: operators_file.File, name: str) -> None:
        assert file.peers is not None and file.zones is not None
        deployment = protocol_settings.deployment(protocol_settings.flatten(SETTINGS))
        told = operators_file.told(file, name)
        self.engine = Engine(deployment, Clock(), self.log)
        for kind in (t.StartWatch, t.SetTimer):
            self.engine.command_handlers[kind] = lambda order: None
        self.driver = Driver(told, file.site, operators_file.bind(file, name), None, self.log)
        map_ = operators_file.zone_map(file.zones, {w.name: w.value for w in deployment.workloads})
        zone_driver = ZoneDriver(map_, told, self.driver, self.engine, self.log)
        self.common = Common(self.engine, self.driver, 1, True, zone_driver, self.log)

    def log(self, event: str, **fields: Any) -> None:
        if event in ("task_failed", "module_failed", "order_failed", "peers_wait"):
            raise RuntimeError(f"{event}: {fields}")

    def rows(self) -> int:
        return self.driver.peer.membership.present_count + 1 if self.driver.peer is not None else 0

    def counts(self) -> tuple[int, int, int, int]:
        driver = self.driver
        return driver.sent, driver.received, driver.bytes_out, driver.bytes_in


class Fleet:
    """So many members that are counted, and one more that watches them."""

    def __init__(
        self, members: int, round_ms: int = 200, make: Callable[..., ClientlessSidecar] = ClientlessSidecar
    ) -> None:
        self.members, self.round_s = members, round_ms / 1000
        self.ports = [free_port(5_000 + os.getpid() * 97 % 4_000 + at) for at in range(members + 1)]
        text = operators_file_text([f"{HOST}:{port}" for port in self.ports], round_ms)
        file = operators_file.understand(tomllib.loads(text))
        *counted, last = names(members + 1)
        self.hollow = [make(file, name) for name in counted]
        self.watcher = ClientlessSidecar(file, last)

    async def run(self, window: int = WINDOW_ROUNDS) -> FleetRates:
        try:
            async with anyio.create_task_group() as group:
                for one in [*self.hollow, self.watcher]:
                    group.start_soon(one.driver.run, False)
                    group.start_soon(one.common.run)
                found = await self.count(window)
                group.cancel_scope.cancel()
            return found
        finally:
            TAKEN.difference_update(self.ports)

    async def count(self, window: int) -> FleetRates:
        with anyio.fail_after(MEMBERSHIP_TIMEOUT_S):
            while any(one.rows() <= self.members for one in self.hollow):
                await anyio.sleep(LOOK)
        await anyio.sleep(settled_rounds(self.members) * self.round_s)
        watch = ProbeObserver(self.watcher.driver)
        before, began, cpu = [one.counts() for one in self.hollow], time.monotonic(), time.process_time()
        await anyio.sleep(window * self.round_s)
        after, seconds = [one.counts() for one in self.hollow], time.monotonic() - began
        found = FleetRates(self.members, seconds=seconds, probes=watch.pace())
        found.cpu = (time.process_time() - cpu) / seconds / self.members
        rates = [
            sum(late[at] - early[at] for early, late in zip(before, after)) / seconds / self.members
            for at in range(4)
        ]
        found.messages_out, found.messages_in, found.bytes_out, found.bytes_in = rates
        found.rows = sum(one.rows() for one in self.hollow) / self.members
        for one in self.hollow:
            for why, count in one.driver.refused.items():
                found.refused[why] = found.refused.get(why, 0) + count
        return found


def play(
    members: int,
    round_ms: int = 200,
    window: int = WINDOW_ROUNDS,
    make: Callable[..., ClientlessSidecar] = ClientlessSidecar,
) -> FleetRates:
    """In the process that calls it; its processor time is the fleet's."""
    return anyio.run(Fleet(members, round_ms, make).run, window)
