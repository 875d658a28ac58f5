"""Real sidecars in zones, with stand-in endpoints and clients, and the network between zones in the hand of
the rig: datagrams between sidecars and connections to endpoints pass through it one by one.

Built on `SocketRun`: same world, clients and referee. Owns, beyond its processes and stand-ins, a way for
each sidecar to each endpoint and a relay between every two sidecars; `close` gives all of it back."""

from __future__ import annotations

import asyncio
import signal
import socket
import tempfile
import tomllib
from collections import deque
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any

import orjson

from lupinmill.lab.fleet_sockets import HOST, LARGEST, TAKEN, free_port
from lupinmill.lab.fleet_streams import LOOK_AT_CUT, PIECE, Way
from lupinmill.lab.processes import Process, call_operator, last_lines
from lupinmill.lab.registry import Entry
from lupinmill.lab.scenario import Scenario, check, find, over, raw
from lupinmill.lab.sockets import SocketRun
from lupinmill.lab.timeline import SECOND

LOOK = 0.1
KEPT = 200
LONGEST_LINE = 300  # characters, where lines are told
OPERATOR_LIMIT_S = 15.0
PATIENT = 20 * SECOND  # by which time limits of the rules are longer: this judges what is done, not how fast


class Net:
    """The network as the world's troubles have it: what `Way` and the relays ask."""

    def __init__(self, run: ZoneRun) -> None:
        self.run = run
        self.zone_of: dict[str, str] = {}

    def blocks(self, sender: str, hearer: str) -> bool:
        return self.run.world.network.blocked(self.zone_of.get(sender, ""), self.zone_of.get(hearer, ""))


class ZoneWay(Way):
    """What a sidecar opens to an endpoint. Guards against a request that a sidecar has given up on and that
    is delivered when a cut heals: a connection that was held up and closed meanwhile is dropped whole."""

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """As the kernel does where the other end never answered: who has hung up meanwhile is not
        connected."""
        first = await reader.read(PIECE)
        await self.passable(0)
        async with self.far_end() as (back, far):
            if not first or reader.at_eof():
                far.transport.abort()
                return
            far.write(first)
            await self.pump_both(reader, writer, back, far)

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: int) -> None:
        while data := await reader.read(PIECE):
            held = False
            while self.blocked(direction):
                held = True
                await asyncio.sleep(LOOK_AT_CUT)
            if held and (reader.at_eof() or writer.is_closing()):
                writer.transport.abort()
                return
            writer.write(data)
            await writer.drain()
        await self.passable(direction)
        if writer.can_write_eof():
            writer.write_eof()


class Relay:
    """Datagrams from `sender` come in here and go on to `hearer` from the far relay."""

    def __init__(self, run: ZoneRun, sender: str, hearer: str) -> None:
        self.run, self.sender, self.hearer = run, sender, hearer
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind((HOST, 0))
        self.address = f"{HOST}:{self.sock.getsockname()[1]}"
        self.far: Relay | None = None

    def readable(self) -> None:
        for _ in range(64):
            try:
                data = self.sock.recv(LARGEST)
            except OSError:
                return
            if not self.run.net.blocks(self.sender, self.hearer) and self.far is not None:
                try:
                    self.far.sock.sendto(data, (HOST, self.run.peer_port[self.hearer]))
                except OSError:
                    pass


class ZoneRun(SocketRun):
    """`zones`: of the operator's file, beyond the map: text of `[zones.workloads...]`."""

    def __init__(self, scenario: Scenario, seed: int, more: str = "", lease_s: float = 1.0) -> None:
        super().__init__(scenario, seed, peers=True)
        self.more, self.lease_s = more, lease_s
        self.net = Net(self)
        self.peer_port: dict[str, int] = {}
        self.relays: dict[tuple[str, str], Relay] = {}
        self.ways: dict[tuple[str, str], tuple[ZoneWay, str]] = {}
        self.lines: dict[str, deque[dict[str, Any]]] = {}
        self.taken: dict[int, str] = {}  # epochs of the lease on the plan
        self.plans: dict[int, str] = {}  # versions, as told as made
        self.broken: list[str] = []

    async def set_up(self, folder: Path) -> None:
        names = [f"s{at}" for at in range(self.world.sidecars)]
        self.electors = [names[at * len(names) // 5] for at in range(5)]
        loop = asyncio.get_running_loop()
        for at, name in enumerate(names):
            self.net.zone_of[name] = self.world.zones[at % len(self.world.zones)]
            self.peer_port[name] = free_port(20_000 + 131 * at)
            self.lines[name] = deque(maxlen=KEPT)
        for sender in names:
            for hearer in names:
                if sender != hearer:
                    self.relays[sender, hearer] = Relay(self, sender, hearer)
        for (sender, hearer), relay in self.relays.items():
            relay.far = self.relays[hearer, sender]
            loop.add_reader(relay.sock, relay.readable)
        for name in names:
            self.write_file(folder, name, names)
        await super().set_up(folder)

    def write_file(self, folder: Path, name: str, names: list[str]) -> None:
        rows = []
        for other in names:
            address = f"{HOST}:{self.peer_port[name]}" if other == name else self.relays[name, other].address
            rows.append(
                f'[peers.members.{other}]\naddress = "{address}"\nzone = "{self.net.zone_of[other]}"\n'
            )
        for zone in self.world.zones:
            rows.append(f'[zones.map.{zone}]\nregion = "{self.world.network.regions[zone]}"\n')
        text = (
            f'site = "zones"\n\n[peers]\nelectors = {orjson.dumps(self.electors).decode()}\n'
            f"lease_s = {self.lease_s}\nlive_count = true\n\n" + "\n".join(rows) + self.more
        )
        tomllib.loads(text)
        (folder / f"{name}.toml").write_text(text)

    async def make_process(self, name: str, tier: int) -> Process:
        process = await super().make_process(name, tier)
        process.environ = {"BALANCER_OPERATOR_FILE": str(self.folder / f"{name}.toml")}
        for endpoint in (e for tier_ in self.world.tiers for e in tier_):
            await self.open_way(name, endpoint.shape.name, endpoint.shape.zone)
        return process

    async def open_way(self, sidecar: str, endpoint: str, zone: str) -> None:
        self.net.zone_of[endpoint] = zone
        host, _, port = self.endpoints.address(endpoint).partition(":")
        way = ZoneWay(self.net, sidecar, endpoint, (host, int(port)))  # type: ignore[arg-type]
        self.ways[sidecar, endpoint] = (way, await way.open())

    def configuration_of(self, process: Process) -> dict[str, Any]:
        table = super().configuration_of(process)
        table["operator"] = process.operator or f"{HOST}:0"
        table["known"]["endpoints"] = [self.seen_by(process.name, row) for row in table["known"]["endpoints"]]
        return table

    def seen_by(self, sidecar: str, row: dict[str, Any]) -> dict[str, Any]:
        return row | {"address": self.ways[sidecar, row["name"]][1]}

    def row(self, entry: Entry, sidecar: str = "") -> dict[str, Any]:
        row = super().row(entry, sidecar)
        return self.seen_by(sidecar, row) if sidecar else row

    def log_line(self, process: Process, event: dict[str, Any]) -> None:
        super().log_line(process, event)
        name, what = process.name, event.get("event")
        if not str(what).startswith("watch") and what != "operator":
            self.lines[name].append(event)
        if what == "lease" and event.get("topic") == "zones" and event.get("text") == "taken":
            epoch = int(event["epoch"])
            if epoch in self.taken:
                self.broken.append(f"epoch {epoch} was taken by {self.taken[epoch]} and by {name}")
            self.taken[epoch] = name
        elif what == "decision" and event.get("topic") == "zones" and event.get("text") == "made":
            self.plans[int(event["version"])] = name

    async def tear_down(self) -> None:
        for process in self.fronts:
            process.signal(signal.SIGCONT)
        await super().tear_down()
        loop = asyncio.get_running_loop()
        for relay in self.relays.values():
            loop.remove_reader(relay.sock)
            relay.sock.close()
        await asyncio.gather(*(way.close() for way, _ in self.ways.values()))
        TAKEN.difference_update(self.peer_port.values())


class ZoneRig:
    """`async with ZoneRig(...) as rig:` a fleet in zones under load. What is done to it and waited for is the
    caller's."""

    def __init__(self, title: str, seed: int, more: str = "", **changes: Any) -> None:
        table = over(raw(find("zones-calm")), {"title": title, "seconds": 900.0, **changes})
        self.run = ZoneRun(check(table, title), seed, more)
        self.run.world.referee.grace += PATIENT
        self.run.world.referee.drain_grace += PATIENT
        self.run.world.referee.slack = PATIENT
        self.seed = seed
        self.stopped: dict[str, None] = {}

    async def __aenter__(self) -> ZoneRig:
        self.holder = tempfile.TemporaryDirectory(prefix="lupinmill-zones-")
        try:
            await self.run.set_up(Path(self.holder.name))
            self.pumping = asyncio.create_task(self.run.pump())
        except BaseException:
            await self.close(False)
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close(True)

    async def close(self, pumping: bool) -> None:
        self.run.stop = True
        if pumping:
            self.pumping.cancel()
            await asyncio.gather(self.pumping, return_exceptions=True)
        await self.run.tear_down()
        self.holder.cleanup()

    # What is asked of it.

    def process(self, name: str) -> Process:
        return next(process for process in self.run.fronts if process.name == name)

    def alive(self) -> list[str]:
        return [process.name for process in self.run.fronts if process.alive()]

    def of_zone(self, *zones: str) -> list[str]:
        return [p.name for p in self.run.fronts if self.run.net.zone_of[p.name] in zones]

    async def call(self, name: str, path: str, method: str = "GET") -> tuple[int, bytes]:
        return await call_operator(self.process(name).operator, path, method, OPERATOR_LIMIT_S)

    async def show(self, name: str) -> dict[str, Any]:
        status, body = await self.call(name, "zones")
        assert status == 200, body
        return orjson.loads(body)

    async def until(
        self, what: str, names: list[str], holds: Callable[[dict[str, Any]], bool], limit: float = 90.0
    ) -> list[dict[str, Any]]:
        """Waits until it holds of the table of each of them, all at one look."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + limit
        while True:
            if self.pumping.done():
                await self.pumping
            tables: list[dict[str, Any]] = []
            for name in names:
                try:
                    tables.append(await self.show(name))
                except (OSError, AssertionError, IndexError, TimeoutError):
                    break
            if len(tables) == len(names) and all(holds(table) for table in tables):
                return tables
            if loop.time() > ends:
                last = {n: (t["version"], t["why"], t["holder"], t["trust"]) for n, t in zip(names, tables)}
                raise AssertionError(f"not reached (seed {self.seed}): {what}\n{last}\n{self.last_lines()}")
            await asyncio.sleep(LOOK)

    async def until_said(self, what: str, names: list[str], text: str, limit: float = 90.0) -> None:
        """Waits until each has a line with that text among its last."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + limit
        while not all(any(text in str(line.get("text")) for line in self.run.lines[n]) for n in names):
            if loop.time() > ends:
                raise AssertionError(f"not said (seed {self.seed}): {what}\n{self.last_lines()}")
            await asyncio.sleep(LOOK)

    async def holds_the_plan(self, *but: str) -> str:
        """Who holds it now, by the word of all that live but these; not one of these."""
        others = [name for name in self.alive() if name not in but]
        tables = await self.until(
            "all know one holder", others, lambda t: bool(t["holder"]) and t["holder"] not in but
        )
        names = {table["holder"] for table in tables}
        return names.pop() if len(names) == 1 else await self.holds_the_plan(*but)

    async def flows(self, seconds: float = 2.0) -> dict[tuple[str, str], int]:
        """Launches that begin at endpoints within some seconds, by the sidecar's zone and the endpoint's."""
        referee, found = self.run.world.referee, {}
        seen: dict[tuple[str, str], int] = {}
        sent = referee.sent

        def watched(now: int, submission: str, endpoint: Any, sidecar: str) -> Any:
            key = (self.run.net.zone_of[sidecar], endpoint.shape.zone)
            seen[key] = seen.get(key, 0) + 1
            return sent(now, submission, endpoint, sidecar)

        referee.sent = watched  # type: ignore[method-assign]
        try:
            await asyncio.sleep(seconds)
        finally:
            referee.sent = sent  # type: ignore[method-assign]
        found.update(seen)
        return found

    async def restart(self, name: str) -> None:
        """After a kill, once its end has been seen."""
        process = self.process(name)
        if process.reader is not None:
            await asyncio.gather(process.reader, return_exceptions=True)
        await self.run.restart(process)

    def stop(self, name: str) -> None:
        """SIGSTOP: what it has taken it answers too late, and that is not held against it."""
        self.stopped[name] = None
        process = self.process(name)
        process.ready = False  # clients go elsewhere
        process.signal(signal.SIGSTOP)

    def go_on(self, name: str) -> None:
        self.process(name).signal(signal.SIGCONT)
        self.process(name).ready = True

    def lose_zone(self, zone: str) -> None:
        """All its endpoints fall silent; the list says nothing for a while."""
        for endpoint in [
            e for tier in self.run.world.tiers for e in tier if e.shape.zone == zone and e.alive
        ]:
            self.run.act(self.run.world.die, endpoint, True)

    def revive_zone(self, zone: str) -> None:
        for endpoint in [e for tier in self.run.world.tiers for e in tier if e.shape.zone == zone]:
            self.run.act(self.run.world.revive, endpoint)

    def cut(self, zone: str, on: bool, ways: tuple[bool, bool] = (True, True)) -> None:
        """Nothing passes between it and the others: out of it, into it."""
        others = [other for other in self.run.world.zones if other != zone]
        found = [(zone, o) for o in others if ways[0]] + [(o, zone) for o in others if ways[1]]
        self.run.world.block(found, 1 if on else -1)

    def judge(self) -> None:
        """What must hold whatever was done."""
        broken = [
            (b.rule, b.second, b.what, b.text)
            for b in self.run.world.referee.broken
            if not ("hard limit" in b.text and self.sidecar_of(b.what) in self.stopped)
        ]
        crashes = [crash for process in self.run.fronts for crash in process.crashes]
        assert (
            not broken and not self.run.broken and not crashes
        ), f"seed {self.seed}: {broken[:5]} {self.run.broken} {crashes}\n{self.last_lines()}"

    def sidecar_of(self, submission: str) -> str:
        found = self.run.work_of(submission)
        return found.sidecar if found is not None else ""

    def last_lines(self, count: int = 8) -> str:
        return last_lines(self.run.lines, count, LONGEST_LINE)
