"""One run of a scenario in real time, with real processes of the program."""

from __future__ import annotations

import asyncio
import os
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from lupinmill.lab.clients import Clients
from lupinmill.lab.endpoint import Endpoint
from lupinmill.lab.fleet_sockets import RESERVED_PORTS, free_port
from lupinmill.lab.measure import Measure, observe_endpoints
from lupinmill.lab.processes import Process
from lupinmill.lab.registry import Entry
from lupinmill.lab.scenario import Scenario
from lupinmill.lab.sockets.requests import Requests, SentRequest
from lupinmill.lab.sockets.clock import Clock, now_us
from lupinmill.lab.sockets.configuration import endpoint_row, operators_file
from lupinmill.lab.sockets.endpoints import EndpointServers
from lupinmill.lab.sockets.front import Front
from lupinmill.lab.sockets.inner import InnerCalls
from lupinmill.lab.sockets.sidecars import SetAside, until_ready
from lupinmill.lab.sockets.slow_clients import stay_idle, trickle
from lupinmill.lab.stand_ins import HOST, DiscoveryServer
from lupinmill.lab.timeline import MS, SECOND, Timeline
from lupinmill.lab.world import World, chance_for, draw
from lupinmill.lab.world.troubles.plan import plan

T = TypeVar("T")
BEGINS_AFTER = 0.5  # seconds from all being ready to the first arrival
SETTLED = 4 * SECOND  # how long a run goes on after its last arrival
SLACK = 50 * MS  # by which each time limit of the rules is longer on sockets
MOST_NOTES = 2000
LONGEST_CRASH = 400  # characters


class SocketRun:
    """One run in real time. Same surface as VirtualRun: `world`, `measure`, `clients`, `notes`, `digests`."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        tick: Callable[[int, Measure], None] | None = None,
        peers: bool = False,
    ) -> None:
        self.scenario, self.seed, self.tick = scenario, seed, tick
        self.peers = peers  # the front sidecars know each other
        self.peer_ports: list[int] = []
        self.timeline = Timeline(now_us())
        self.clock = Clock(self.timeline)
        self.world = World(scenario, seed, self.timeline)
        self.world.referee.grace += SLACK
        self.world.referee.drain_grace += SLACK
        self.world.referee.slack = SLACK
        self.measure = Measure(self.timeline.now, self.world.seconds, [w.name for w in self.world.classes])
        chance = self.chance = chance_for(seed, "front")
        self.spread_s = draw(chance, scenario.discovery.spread_ms) / 1000
        self.requests = Requests(self)
        self.front = Front(self, chance)
        self.clients = Clients(self.world, self.front, self.measure)
        self.inner = InnerCalls(self)
        self.fronts: list[Process] = []
        self.endpoints = EndpointServers(self)
        self.discoveries: dict[str, DiscoveryServer] = {}
        self.set_aside = SetAside()
        self.notes: list[tuple[float, str, str]] = []
        self.digests: list[str] = []
        self.steps = 0
        self.crashes: list[str] = []
        self.void = ""
        self.stop, self.began = False, False
        self.next_sample = 0

    # The run.

    def play(self) -> None:
        """To the end, or until `stop` is set."""
        asyncio.run(self.main())

    async def main(self) -> None:
        """Sets up, plays and leaves nothing behind."""
        with tempfile.TemporaryDirectory(prefix="lupinmill-lab-") as folder:
            try:
                await self.set_up(Path(folder))
                await self.pump()
            except asyncio.CancelledError:
                self.stop = True
                raise
            finally:
                await self.tear_down()

    async def set_up(self, folder: Path) -> None:
        """Starts endpoints, lists and sidecars, and sets the first arrival."""
        self.folder = folder
        for endpoint in [e for tier in self.world.tiers for e in tier]:
            await self.endpoints.serve(endpoint)
        count = self.world.sidecars
        if self.peers:
            self.peer_ports = [free_port(os.getpid() * 97) for _ in range(count)]
            (folder / "operator.toml").write_text(operators_file(self.peer_ports))
        for at in range(count):
            self.fronts.append(await self.make_process(f"s{at}", 0))
        for endpoint in [e for tier in self.world.tiers[:-1] for e in tier]:
            await self.inner.add(endpoint)
        await asyncio.gather(*(self.start(process) for process in self.processes()))
        self.rebase()
        plan(self.world, self)
        self.clients.begin()
        self.began = True
        for _ in range(self.scenario.clients.idle):
            self.clock.spawn(stay_idle(self.front.any_address, lambda: self.stop))
        for _ in range(self.scenario.clients.slow):
            self.clock.spawn(trickle(self.front.any_address, lambda: self.stop))

    def processes(self) -> list[Process]:
        """All sidecars, those of the front first."""
        return [*self.fronts, *self.inner.processes.values()]

    def rebase(self) -> None:
        """The day begins now: starting took its time."""
        start = now_us() + int(BEGINS_AFTER * SECOND)
        self.timeline.run_until(now_us())
        span = self.world.end - self.world.start
        self.world.start, self.world.end = start, start + span
        self.world.referee.start = self.measure.start = start
        self.next_sample = start + SECOND

    async def pump(self) -> None:
        """Carries the timeline along with the clock."""
        end = self.world.end + SETTLED
        while not self.stop:
            if self.clock.failed is not None:
                raise self.clock.failed
            now = self.catch_up()
            self.sample(now)
            if now >= end or now >= self.world.end and not self.clients.open:
                break
            await self.clock.wait()
        self.judge_machine()

    def catch_up(self) -> int:
        """Carries the timeline up to now, which is returned (microseconds)."""
        return self.clock.catch_up(self.world.start)

    def judge_machine(self) -> None:
        """Whether the run is void. A crash is told first, whatever the machine was."""
        self.void = self.clock.verdict(self.timeline.now - self.world.start) or self.void
        for process in self.processes():
            self.crashes += process.crashes
        if self.crashes:
            self.void = f"a sidecar crashed: {self.crashes[0]}"

    def sample(self, now: int) -> None:
        """The state at the end of each second that has passed, into its figures."""
        while self.began and now >= self.next_sample:
            entry = self.measure.at(self.next_sample - SECOND)
            observe_endpoints(entry, self.world.tiers)
            self.set_aside.keep_listed(set(self.world.registries[0].entries))
            entry.aside = self.set_aside.count({process.name for process in self.fronts})
            self.world.referee.sweep(now)
            if self.tick is not None:
                self.tick((self.next_sample - self.world.start) // SECOND, self.measure)
            self.next_sample += SECOND

    async def tear_down(self) -> None:
        """Ends all processes, connections and tasks."""
        self.clock.stop()
        self.requests.close()
        await asyncio.gather(*(process.end() for process in self.processes()), return_exceptions=True)
        RESERVED_PORTS.difference_update(self.peer_ports)
        self.endpoints.close()
        for discovery in self.discoveries.values():
            discovery.close()
        await asyncio.sleep(0)

    def act(self, do: Callable[..., T], *args: Any) -> T:
        """What comes from a socket happens now."""
        self.catch_up()
        return do(*args)

    # Sidecars' processes.

    async def make_process(self, name: str, tier: int) -> Process:
        """A sidecar that sends to `tier`, with its list; it is not started yet."""
        discovery = DiscoveryServer(self.world.registries[tier], name, self)
        await discovery.listen()
        self.discoveries[name] = discovery
        known = self.peers and tier == 0
        environ = {"BALANCER_OPERATOR_FILE": str(self.folder / "operator.toml")} if known else None
        process = Process(name, tier, self.folder, self.configuration_of, self.log_line, environ)
        self.requests.open_pool(process)
        return process

    def configuration_of(self, process: Process) -> dict[str, Any]:
        """The platform's configuration, with the list as it is published."""
        found, registry = self.scenario.sidecars, self.world.registries[process.tier]
        instances = len(self.fronts) if process.tier == 0 else len(self.world.tiers[process.tier - 1])
        chance = chance_for(self.seed, "seat", process.name, process.start_count)
        return {
            "name": process.name,
            "listen": process.address or f"{HOST}:0",
            "discovery": self.discoveries[process.name].address,
            "seed": f"{int(chance.integers(2**62)):x}",
            "limits": {"cores": found.cores, "memory_mb": found.memory_mb, "sockets": found.sockets},
            "known": {
                "index": registry.index,
                "snapshot": True,
                "endpoints": [self.row(entry) for entry in registry.entries.values()],
            },
            "settings": self.world.settings(process.tier, max(1, instances)),
        }

    def row(self, entry: Entry, sidecar: str = "") -> dict[str, Any]:
        """An entry as discovery writes it, for this sidecar."""
        return endpoint_row(entry, self.endpoints.address(entry.name))

    async def start(self, process: Process) -> None:
        """Starts a process and waits until it is ready; where it does not start, that is a crash."""
        try:
            await process.start()
            await until_ready(process, self.requests.pools[process.name])
        except (RuntimeError, TimeoutError) as error:
            self.crashes.append(f"{process.name}: {error}"[:LONGEST_CRASH])

    def log_line(self, process: Process, event: dict[str, Any]) -> None:
        """One line of a sidecar's log."""
        name, text = event.get("event"), str(event.get("text", event.get("error", "")))
        self.set_aside.heard(process.name, event, text)
        if len(self.notes) < MOST_NOTES and name != "started":
            at = (now_us() - self.world.start) / SECOND
            self.notes.append((round(at, 3), process.name, f"{name}: {text}" if text else str(name)))

    def sidecar_count(self) -> int:
        """Of the front."""
        return len(self.fronts)

    def kill_sidecar(self, at: int, down_s: float) -> None:
        """One of the front, which starts again after so many seconds."""
        process = self.fronts[at]
        if not process.alive():
            return
        process.kill()
        self.world.referee.restarted(process.name)
        self.set_aside.forget_sidecar(process.name)
        down = int(down_s * SECOND)
        self.front.died(at, down)
        self.timeline.after(down, self.start_again, process)

    def start_again(self, process: Process) -> None:
        """Unless the run ends or it was started meanwhile."""
        if not self.stop and not process.alive():
            self.clock.spawn(self.restart(process))

    async def restart(self, process: Process) -> None:
        """Once its past life has ended."""
        if process.process is not None:
            await process.process.wait()
        await self.start(process)

    def starve_sidecar(self, at: int, lag_s: float) -> None:
        """One of the front comes to what has happened with this lag."""
        self.fronts[at].starve(lag_s)

    def ways_changed(self) -> None:
        """Whoever stands in a way looks at the world itself."""

    # Endpoints.

    def work_of(self, request_id: str) -> SentRequest | None:
        """What was sent under this name; None: nobody sent it."""
        return self.requests.sent.get(request_id)

    def spread(self) -> float:
        """Microseconds that a published change takes to one sidecar."""
        return self.spread_s * self.chance.uniform(0.2, 1.8) * SECOND

    def endpoint_died(self, endpoint: Endpoint) -> None:
        """It, and its sidecar with it."""
        self.endpoints.died(endpoint)
        self.inner.endpoint_died(endpoint)

    def endpoint_started(self, endpoint: Endpoint) -> None:
        """An endpoint starts, or starts again."""
        self.clock.spawn(self.start_endpoint(endpoint))

    async def start_endpoint(self, endpoint: Endpoint) -> None:
        """Its socket, and its sidecar where it makes calls."""
        name = endpoint.shape.name
        await self.endpoints.start(endpoint)
        if endpoint.shape.tier + 1 < len(self.world.tiers):
            if name not in self.inner.processes:
                await self.inner.add(endpoint)
            self.world.referee.restarted(f"i-{name}")
            await self.start(self.inner.processes[name])
