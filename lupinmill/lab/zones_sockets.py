"""Real sidecars in zones, with stand-in endpoints and clients. The network between zones is controlled by the
test rig: datagrams between sidecars and connections to endpoints pass through its relays and proxies.

Built on `SocketRun`: same world, clients and referee. In addition to its processes and stand-ins it owns a
proxy from each sidecar to each endpoint and a datagram relay between every two sidecars; `close` releases all
of them."""

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

from lupinmill.lab.fleet_sockets import HOST, MAX_DATAGRAM_BYTES
from lupinmill.lab.fleet_streams import CHUNK_BYTES, CUT_POLL_S, StreamProxy
from lupinmill.lab.loop_monitor import LoopMonitor
from lupinmill.lab.ports import release_ports, reserve_port
from lupinmill.lab.processes import Process, call_operator, last_log_lines
from lupinmill.lab.registry import Entry
from lupinmill.lab.scenario import Scenario, check, find, merge_tables, read_tables
from lupinmill.lab.sockets import SocketRun
from lupinmill.lab.timeline import SECOND

POLL_INTERVAL_S = 0.1
KEPT_LOG_LINES = 200
MAX_LOG_LINE_CHARS = 300  # in failure messages
OPERATOR_TIMEOUT_S = 15.0
# Added to the time limits of the rules: these tests check what happens, not how fast.
EXTRA_TIME = 20 * SECOND


class ZoneNetwork:
    """Tells proxies and relays what the faults of the simulated world block."""

    def __init__(self, run: ZoneRun) -> None:
        self.run = run
        self.zone_of: dict[str, str] = {}

    def blocks(self, sender: str, receiver: str) -> bool:
        return self.run.world.network.blocked(self.zone_of.get(sender, ""), self.zone_of.get(receiver, ""))


class ZoneProxy(StreamProxy):
    """Carries a sidecar's connections to an endpoint. A connection that was held up by a partition and closed
    meanwhile is dropped: guards against a request that the sidecar has given up on and that would otherwise
    be delivered when the partition heals."""

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Like the kernel where the other end never answered: a client that has closed the connection
        meanwhile is not connected."""
        first = await reader.read(CHUNK_BYTES)
        await self.wait_until_passable(0)
        async with self.far_end() as (back, far):
            if not first or reader.at_eof():
                far.transport.abort()
                return
            far.write(first)
            await self.pump_both(reader, writer, back, far)

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: int) -> None:
        while data := await reader.read(CHUNK_BYTES):
            held = False
            while self.blocked(direction):
                held = True
                await asyncio.sleep(CUT_POLL_S)
            if held and (reader.at_eof() or writer.is_closing()):
                writer.transport.abort()
                return
            writer.write(data)
            await writer.drain()
        await self.wait_until_passable(direction)
        if writer.can_write_eof():
            writer.write_eof()


class DatagramRelay:
    """Receives datagrams from `sender` and forwards them to `receiver` from the relay of the reverse
    direction."""

    def __init__(self, run: ZoneRun, sender: str, receiver: str) -> None:
        self.run, self.sender, self.receiver = run, sender, receiver
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind((HOST, 0))
        self.address = f"{HOST}:{self.sock.getsockname()[1]}"
        self.reverse: DatagramRelay | None = None

    def readable(self) -> None:
        for _ in range(64):
            try:
                data = self.sock.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            if not self.run.net.blocks(self.sender, self.receiver) and self.reverse is not None:
                try:
                    self.reverse.sock.sendto(data, (HOST, self.run.peer_port[self.receiver]))
                except OSError:
                    pass


class ZoneRun(SocketRun):
    """`extra_config`: text that is appended to the operator's file after the zone map, such as
    `[zones.workloads...]`."""

    def __init__(self, scenario: Scenario, seed: int, extra_config: str = "", lease_s: float = 1.0) -> None:
        super().__init__(scenario, seed, peers=True)
        self.extra_config, self.lease_s = extra_config, lease_s
        self.net = ZoneNetwork(self)
        self.peer_port: dict[str, int] = {}
        self.relays: dict[tuple[str, str], DatagramRelay] = {}
        self.proxies: dict[tuple[str, str], tuple[ZoneProxy, str]] = {}
        self.lines: dict[str, deque[dict[str, Any]]] = {}
        self.lease_epochs: dict[int, str] = {}  # by epoch of the lease on the plan: who took it
        self.plans: dict[int, str] = {}  # by version: who logged that it made it
        self.violations: list[str] = []

    async def set_up(self, folder: Path) -> None:
        names = [f"s{at}" for at in range(self.world.sidecars)]
        self.electors = [names[at * len(names) // 5] for at in range(5)]
        loop = asyncio.get_running_loop()
        for at, name in enumerate(names):
            self.net.zone_of[name] = self.world.zones[at % len(self.world.zones)]
            self.peer_port[name] = reserve_port(20_000 + 131 * at)
            self.lines[name] = deque(maxlen=KEPT_LOG_LINES)
        for sender in names:
            for receiver in names:
                if sender != receiver:
                    self.relays[sender, receiver] = DatagramRelay(self, sender, receiver)
        for (sender, receiver), relay in self.relays.items():
            relay.reverse = self.relays[receiver, sender]
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
            f"lease_s = {self.lease_s}\nlive_count = true\n\n" + "\n".join(rows) + self.extra_config
        )
        tomllib.loads(text)
        (folder / f"{name}.toml").write_text(text)

    async def make_process(self, name: str, tier: int) -> Process:
        process = await super().make_process(name, tier)
        process.environ = {"BALANCER_OPERATOR_FILE": str(self.folder / f"{name}.toml")}
        for endpoint in (e for tier_ in self.world.tiers for e in tier_):
            await self.open_proxy(name, endpoint.spec.name, endpoint.spec.zone)
        return process

    async def open_proxy(self, sidecar: str, endpoint: str, zone: str) -> None:
        self.net.zone_of[endpoint] = zone
        host, _, port = self.endpoints.address(endpoint).partition(":")
        proxy = ZoneProxy(self.net, sidecar, endpoint, (host, int(port)))  # type: ignore[arg-type]
        self.proxies[sidecar, endpoint] = (proxy, await proxy.open())

    def configuration_of(self, process: Process) -> dict[str, Any]:
        table = super().configuration_of(process)
        table["operator"] = process.operator_address or f"{HOST}:0"
        table["known"]["endpoints"] = [
            self.endpoint_row_for(process.name, row) for row in table["known"]["endpoints"]
        ]
        return table

    def endpoint_row_for(self, sidecar: str, row: dict[str, Any]) -> dict[str, Any]:
        return row | {"address": self.proxies[sidecar, row["name"]][1]}

    def row(self, entry: Entry, sidecar: str = "") -> dict[str, Any]:
        row = super().row(entry, sidecar)
        return self.endpoint_row_for(sidecar, row) if sidecar else row

    def log_line(self, process: Process, event: dict[str, Any]) -> None:
        super().log_line(process, event)
        name, what = process.name, event.get("event")
        if not str(what).startswith("watch") and what != "operator":
            self.lines[name].append(event)
        if what == "lease" and event.get("topic") == "zones" and event.get("text") == "taken":
            epoch = int(event["epoch"])
            if epoch in self.lease_epochs:
                self.violations.append(f"epoch {epoch} was taken by {self.lease_epochs[epoch]} and by {name}")
            self.lease_epochs[epoch] = name
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
        await asyncio.gather(*(proxy.close() for proxy, _ in self.proxies.values()))
        release_ports(self.peer_port.values())


def describe(table: dict[str, Any]) -> tuple[Any, ...]:
    """A sidecar's status table for a message; what only the lease holder knows is empty for the others."""
    known = [table[key] for key in ("version", "why", "holder", "trust", "plan")]
    return (*known, table.get("capacity", {}), table.get("traffic", {}))


class ZoneRig:
    """A fleet in zones under load: `async with ZoneRig(...) as rig:`. The caller injects the faults and waits
    for their effects."""

    def __init__(self, title: str, seed: int, extra_config: str = "", **changes: Any) -> None:
        table = merge_tables(read_tables(find("zones-calm")), {"title": title, "seconds": 900.0, **changes})
        self.run = ZoneRun(check(table, title), seed, extra_config)
        self.run.world.rule_checker.grace += EXTRA_TIME
        self.run.world.rule_checker.drain_grace += EXTRA_TIME
        self.run.world.rule_checker.slack = EXTRA_TIME
        self.seed = seed
        self.paused: dict[str, None] = {}
        self.monitor = LoopMonitor()

    async def __aenter__(self) -> ZoneRig:
        self.monitor.start()
        self.temp_dir = tempfile.TemporaryDirectory(prefix="lupinmill-zones-")
        try:
            await self.run.set_up(Path(self.temp_dir.name))
            self.pump_task = asyncio.create_task(self.run.pump())
        except BaseException:
            await self.close(False)
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close(True)

    async def close(self, started: bool) -> None:
        self.monitor.stop()
        self.run.stop = True
        if started:
            self.pump_task.cancel()
            await asyncio.gather(self.pump_task, return_exceptions=True)
        await self.run.tear_down()
        self.temp_dir.cleanup()

    # Queries and waits.

    def process(self, name: str) -> Process:
        return next(process for process in self.run.fronts if process.name == name)

    def alive(self) -> list[str]:
        return [process.name for process in self.run.fronts if process.alive()]

    def sidecars_in(self, *zones: str) -> list[str]:
        return [p.name for p in self.run.fronts if self.run.net.zone_of[p.name] in zones]

    async def call(self, name: str, path: str, method: str = "GET") -> tuple[int, bytes]:
        return await call_operator(self.process(name).operator_address, path, method, OPERATOR_TIMEOUT_S)

    async def zones_status(self, name: str) -> dict[str, Any]:
        status, body = await self.call(name, "zones")
        assert status == 200, body
        return orjson.loads(body)

    async def wait_until(
        self,
        description: str,
        names: list[str],
        condition: Callable[[dict[str, Any]], bool],
        timeout_s: float = 90.0,
    ) -> list[dict[str, Any]]:
        """Waits until the condition holds for the status tables of all these sidecars in one poll."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            if self.pump_task.done():
                await self.pump_task
            tables: list[dict[str, Any]] = []
            for name in names:
                try:
                    tables.append(await self.zones_status(name))
                except (OSError, AssertionError, IndexError, TimeoutError):
                    break
            if len(tables) == len(names) and all(condition(table) for table in tables):
                return tables
            if loop.time() > deadline:
                last = {name: describe(table) for name, table in zip(names, tables)}
                raise AssertionError(
                    f"condition not reached (seed {self.seed}): {description}\n{last}\n{self.last_lines()}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_log(
        self, description: str, names: list[str], text: str, timeout_s: float = 90.0
    ) -> None:
        """Waits until each sidecar has that text among its last log lines."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while not all(any(text in str(line.get("text")) for line in self.run.lines[n]) for n in names):
            if loop.time() > deadline:
                raise AssertionError(
                    f"text not logged (seed {self.seed}): {description}\n{self.last_lines()}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_holder(self, *excluded: str) -> str:
        """Waits until all live sidecars but the excluded ones name the same lease holder, none of the
        excluded, and returns it."""
        others = [name for name in self.alive() if name not in excluded]
        tables = await self.wait_until(
            "all know one holder", others, lambda t: bool(t["holder"]) and t["holder"] not in excluded
        )
        names = {table["holder"] for table in tables}
        return names.pop() if len(names) == 1 else await self.wait_for_holder(*excluded)

    async def count_attempts(self, seconds: float = 2.0) -> dict[tuple[str, str], int]:
        """Attempts that start at endpoints within some seconds, by the zones of the sidecar and the
        endpoint."""
        rule_checker, found = self.run.world.rule_checker, {}
        seen: dict[tuple[str, str], int] = {}
        sent = rule_checker.sent

        def watched(now: int, request_id: str, endpoint: Any, sidecar: str) -> Any:
            key = (self.run.net.zone_of[sidecar], endpoint.spec.zone)
            seen[key] = seen.get(key, 0) + 1
            return sent(now, request_id, endpoint, sidecar)

        rule_checker.sent = watched  # type: ignore[method-assign]
        try:
            await asyncio.sleep(seconds)
        finally:
            rule_checker.sent = sent  # type: ignore[method-assign]
        found.update(seen)
        return found

    async def restart(self, name: str) -> None:
        """After a kill, once the end of the process has been observed."""
        process = self.process(name)
        if process.reader_task is not None:
            await asyncio.gather(process.reader_task, return_exceptions=True)
        await self.run.restart(process)

    def pause(self, name: str) -> None:
        """Sends SIGSTOP. `assert_invariants` tolerates that requests which it had accepted miss their hard
        limit."""
        self.paused[name] = None
        process = self.process(name)
        process.ready = False  # clients go elsewhere
        process.signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        self.process(name).signal(signal.SIGCONT)
        self.process(name).ready = True

    def fail_zone(self, zone: str) -> None:
        """All endpoints of the zone stop responding; the endpoint list does not show it for a while."""
        for endpoint in [e for tier in self.run.world.tiers for e in tier if e.spec.zone == zone and e.alive]:
            self.run.act(self.run.world.crash_endpoint, endpoint, True)

    def revive_zone(self, zone: str) -> None:
        for endpoint in [e for tier in self.run.world.tiers for e in tier if e.spec.zone == zone]:
            self.run.act(self.run.world.restart_endpoint, endpoint)

    def set_partition(self, zone: str, active: bool, directions: tuple[bool, bool] = (True, True)) -> None:
        """Blocks the traffic between a zone and the others, or lets it pass again. `directions`: out of it,
        into it."""
        others = [other for other in self.run.world.zones if other != zone]
        found = [(zone, o) for o in others if directions[0]] + [(o, zone) for o in others if directions[1]]
        self.run.world.block(found, 1 if active else -1)

    def assert_invariants(self) -> None:
        """Fails if a rule was broken, an epoch was taken twice or a process crashed."""
        broken = [
            (b.rule, b.second, b.what, b.text)
            for b in self.run.world.rule_checker.broken
            if not ("hard limit" in b.text and self.sidecar_of(b.what) in self.paused)
        ]
        crashes = [crash for process in self.run.fronts for crash in process.crashes]
        assert (
            not broken and not self.run.violations and not crashes
        ), f"seed {self.seed}: {broken[:5]} {self.run.violations} {crashes}\n{self.last_lines()}"

    def sidecar_of(self, request_id: str) -> str:
        found = self.run.work_of(request_id)
        return found.sidecar if found is not None else ""

    def last_lines(self, count: int = 8) -> str:
        """For messages: pauses of this rig, and the last log lines of each sidecar."""
        return f"{self.monitor.describe()}\n" + last_log_lines(self.run.lines, count, MAX_LOG_LINE_CHARS)
