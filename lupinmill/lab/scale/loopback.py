"""Sidecars without listeners and clients over real loopback sockets, many in one process.

Each consists of the production `Driver`, `Engine`, `ZoneDriver` and `Common`, set up as `program.sidecar`
does from the same operators' file. `Fleet.run` owns the sockets and tasks and releases them at its end."""

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
from lupinmill.lab.fleet_sockets import HOST, SETTINGS
from lupinmill.lab.ports import release_ports, reserve_port
from lupinmill.lab.scale.hollow import names
from lupinmill.peers.driver import Driver
from lupinmill.peers.membership import JOIN_ROUNDS, TABLE_SYNC_ROUNDS
from lupinmill.peers.view import Received
from lupinmill.peers.wire import MAX_UPDATES, Ping
from lupinmill.program import operators_file
from lupinmill.program.fleet_state import FleetStatePublisher
from lupinmill.protocol import settings as protocol_settings
from lupinmill.routing.engine import Engine
from lupinmill.transport.clocks import MonotonicClock
from lupinmill.zones.driver import ZoneDriver

ELECTORS = 5
WINDOW_ROUNDS = 100  # rounds that are measured; whole multiples of the ten rounds between two table exchanges
MEMBERSHIP_TIMEOUT_S = 180.0  # seconds within which all members must see all others
POLL_INTERVAL_S = 0.2


@dataclass
class FleetRates:
    """Rates per second of the average measured member over the window."""

    members: int
    messages_out: float = 0.0
    messages_in: float = 0.0
    bytes_out: float = 0.0
    bytes_in: float = 0.0
    rows: float = 0.0  # members that it considers present, itself included
    cpu: float = 0.0  # part of a core
    memory: float = 0.0  # bytes; real processes only
    seconds: float = 0.0
    probes: float = 0.0  # sent per second by their serial numbers, so delayed rounds show
    refused: dict[str, int] = field(default_factory=dict)  # refused datagrams by cause


def operators_file_text(addresses: list[str], round_ms: int, zones: int = 4) -> str:
    """The operators' file that all members of the fleet share, with zones enabled."""
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
    """Rounds after which tables are only exchanged periodically and updates about the start have spread."""
    return JOIN_ROUNDS + 2 * members // MAX_UPDATES + TABLE_SYNC_ROUNDS // 2 + members // 10


class ProbeObserver:
    """Observes the probes that one member receives. A sender increments the serial number with each probe,
    so that the probe rate of real processes shows, too. Figures can then be given per probe instead of per
    second, as a busy machine delays rounds."""

    def __init__(self, driver: Driver) -> None:
        self.probes: dict[str, list[tuple[float, int]]] = {}
        self.driver, self.receive = driver, driver.receive_datagram
        driver.receive_datagram = self.observe  # type: ignore[method-assign]

    def observe(self, data: bytes, address: Any) -> None:
        before = len(self.driver.inbox)
        self.receive(data, address)
        for message in self.driver.inbox[before:]:
            if isinstance(message, Received) and isinstance(message.body, Ping) and message.body.serial:
                self.probes.setdefault(message.sender, []).append((time.monotonic(), message.body.serial))

    def pace(self) -> float:
        """Mean probes per second of the members from which at least two probes came; 0 without any."""
        paces = []
        for rows in self.probes.values():
            (began, first), (ended, last) = rows[0], rows[-1]
            if last > first and ended > began:
                paces.append((last - first) / (ended - began))
        return sum(paces) / len(paces) if paces else 0.0


class ClientlessSidecar:
    """A sidecar without listeners and clients."""

    def __init__(self, file: operators_file.File, name: str) -> None:
        assert file.peers is not None and file.zones is not None
        deployment = protocol_settings.deployment(protocol_settings.flatten(SETTINGS))
        settings = operators_file.peer_settings(file, name)
        self.engine = Engine(deployment, MonotonicClock(), self.log)
        for kind in (t.StartWatch, t.SetTimer):
            self.engine.command_handlers[kind] = lambda command: None
        self.driver = Driver(settings, file.site, operators_file.bind_address(file, name), None, self.log)
        zone_map = operators_file.zone_map(file.zones, {w.name: w.value for w in deployment.workloads})
        zone_driver = ZoneDriver(zone_map, settings, self.driver, self.engine, self.log)
        self.common = FleetStatePublisher(self.engine, self.driver, 1, True, zone_driver, self.log)

    def log(self, event: str, **fields: Any) -> None:
        if event in ("task_failed", "module_failed", "order_failed", "peers_wait"):
            raise RuntimeError(f"{event}: {fields}")

    def rows(self) -> int:
        return self.driver.peer.membership.present_count + 1 if self.driver.peer is not None else 0

    def counts(self) -> tuple[int, int, int, int]:
        driver = self.driver
        return driver.sent, driver.received, driver.bytes_out, driver.bytes_in


class Fleet:
    """A fleet of `members` measured sidecars and one more that observes their probes."""

    def __init__(
        self, members: int, round_ms: int = 200, make: Callable[..., ClientlessSidecar] = ClientlessSidecar
    ) -> None:
        self.members, self.round_s = members, round_ms / 1000
        self.ports = [reserve_port(5_000 + os.getpid() * 97 % 4_000 + at) for at in range(members + 1)]
        text = operators_file_text([f"{HOST}:{port}" for port in self.ports], round_ms)
        file = operators_file.parse(tomllib.loads(text))
        *counted, last = names(members + 1)
        self.measured = [make(file, name) for name in counted]
        self.watcher = ClientlessSidecar(file, last)

    async def run(self, window: int = WINDOW_ROUNDS) -> FleetRates:
        try:
            async with anyio.create_task_group() as group:
                for one in [*self.measured, self.watcher]:
                    group.start_soon(one.driver.run, False)
                    group.start_soon(one.common.run)
                found = await self.count(window)
                group.cancel_scope.cancel()
            return found
        finally:
            release_ports(self.ports)

    async def count(self, window: int) -> FleetRates:
        with anyio.fail_after(MEMBERSHIP_TIMEOUT_S):
            while any(one.rows() <= self.members for one in self.measured):
                await anyio.sleep(POLL_INTERVAL_S)
        await anyio.sleep(settled_rounds(self.members) * self.round_s)
        watch = ProbeObserver(self.watcher.driver)
        before, began, cpu = [one.counts() for one in self.measured], time.monotonic(), time.process_time()
        await anyio.sleep(window * self.round_s)
        after, seconds = [one.counts() for one in self.measured], time.monotonic() - began
        found = FleetRates(self.members, seconds=seconds, probes=watch.pace())
        found.cpu = (time.process_time() - cpu) / seconds / self.members
        rates = [
            sum(late[at] - early[at] for early, late in zip(before, after)) / seconds / self.members
            for at in range(4)
        ]
        found.messages_out, found.messages_in, found.bytes_out, found.bytes_in = rates
        found.rows = sum(one.rows() for one in self.measured) / self.members
        for one in self.measured:
            for cause, count in one.driver.refused.items():
                found.refused[cause] = found.refused.get(cause, 0) + count
        return found


def play(
    members: int,
    round_ms: int = 200,
    window: int = WINDOW_ROUNDS,
    make: Callable[..., ClientlessSidecar] = ClientlessSidecar,
) -> FleetRates:
    """Runs a fleet in the calling process, whose processor time counts as the fleet's."""
    return anyio.run(Fleet(members, round_ms, make).run, window)
