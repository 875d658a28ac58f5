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
from lupinmill.lab.metrics import RunMetrics, record_endpoints
from lupinmill.lab.ports import release_ports, reserve_port
from lupinmill.lab.processes import Process
from lupinmill.lab.registry import Entry
from lupinmill.lab.scenario import Scenario
from lupinmill.lab.sockets.clock import Clock, now_us
from lupinmill.lab.sockets.configuration import endpoint_row, operators_file
from lupinmill.lab.sockets.costly_clients import CostlyClient, many_headers_request, tiny_chunks_request
from lupinmill.lab.sockets.endpoints import EndpointServers
from lupinmill.lab.sockets.front import FrontRouter
from lupinmill.lab.sockets.inner import InnerCalls
from lupinmill.lab.sockets.requests import Requests, SentRequest
from lupinmill.lab.sockets.sidecars import EjectedEndpoints, until_ready
from lupinmill.lab.sockets.slow_clients import stay_idle, trickle
from lupinmill.lab.stand_ins import HOST, DiscoveryServer
from lupinmill.lab.timeline import MS, SECOND, Timeline
from lupinmill.lab.world import World, draw, random_stream
from lupinmill.lab.world.troubles.plan import plan

T = TypeVar("T")
START_DELAY_S = 0.5  # from all processes being ready to the first arrival
DRAIN_TIME = 4 * SECOND  # how long a run may continue after its last arrival
SLACK = 50 * MS  # added to each time limit of the rules on sockets
MAX_NOTES = 2000
MAX_CRASH_CHARS = 400


class SocketRun:
    """One run in real time, with the interface of VirtualRun: `world`, `metrics`, `clients`, `notes`,
    `digests`."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        tick: Callable[[int, RunMetrics], None] | None = None,
        peers: bool = False,
    ) -> None:
        self.scenario, self.seed, self.tick = scenario, seed, tick
        self.peers = peers  # the front sidecars know each other
        self.peer_ports: list[int] = []
        self.timeline = Timeline(now_us())
        self.clock = Clock(self.timeline)
        self.world = World(scenario, seed, self.timeline)
        self.world.rule_checker.grace += SLACK
        self.world.rule_checker.drain_grace += SLACK
        self.world.rule_checker.slack = SLACK
        self.metrics = RunMetrics(self.timeline.now, self.world.seconds, [w.name for w in self.world.classes])
        random_source = self.random_source = random_stream(seed, "front")
        self.spread_s = draw(random_source, scenario.discovery.spread_ms) / 1000
        self.requests = Requests(self)
        self.front = FrontRouter(self, random_source)
        self.clients = Clients(self.world, self.front, self.metrics)
        self.inner = InnerCalls(self)
        self.costly_clients: list[CostlyClient] = []
        self.fronts: list[Process] = []
        self.endpoints = EndpointServers(self)
        self.discoveries: dict[str, DiscoveryServer] = {}
        self.ejected = EjectedEndpoints()
        self.notes: list[tuple[float, str, str]] = []
        self.digests: list[str] = []
        self.steps = 0
        self.crashes: list[str] = []
        self.void = ""
        self.stop, self.began = False, False
        self.next_sample = 0

    # The run.

    def play(self) -> None:
        """Runs to the end, or until `stop` is set."""
        asyncio.run(self.main())

    async def main(self) -> None:
        """Sets up, plays, and cleans up in any case."""
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
        """Starts endpoints, discovery and sidecars, and schedules the first arrival."""
        self.folder = folder
        for endpoint in [e for tier in self.world.tiers for e in tier]:
            await self.endpoints.serve(endpoint)
        count = self.world.sidecars
        if self.peers:
            self.peer_ports = [reserve_port(os.getpid() * 97) for _ in range(count)]
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
        self.start_costly_clients()

    def start_costly_clients(self) -> None:
        found, path = self.scenario.clients, self.world.classes[0].name
        requests = [tiny_chunks_request(path)] * found.tiny_chunks
        requests += [many_headers_request(path)] * found.many_headers
        for first, rest in requests:
            self.costly_clients.append(CostlyClient(self.front.any_address, first, rest))

    def processes(self) -> list[Process]:
        """Returns the processes of all sidecars, those of the front first."""
        return [*self.fronts, *self.inner.processes.values()]

    def rebase(self) -> None:
        """Moves the start of the run to now: starting the processes took some time."""
        start = now_us() + int(START_DELAY_S * SECOND)
        self.timeline.run_until(now_us())
        span = self.world.end - self.world.start
        self.world.start, self.world.end = start, start + span
        self.world.rule_checker.start = self.metrics.start = start
        self.next_sample = start + SECOND

    async def pump(self) -> None:
        """Runs the timeline with the clock until the end of the run."""
        end = self.world.end + DRAIN_TIME
        while not self.stop:
            if self.clock.failed is not None:
                raise self.clock.failed
            now = self.catch_up()
            self.sample(now)
            if now >= end or now >= self.world.end and not self.clients.open:
                break
            await self.clock.wait()
        self.set_void()

    def catch_up(self) -> int:
        """Advances the timeline to the current time, and returns it (microseconds)."""
        return self.clock.catch_up(self.world.start)

    def set_void(self) -> None:
        """Sets whether the run is void. A crash takes precedence over a slow machine."""
        self.void = self.clock.verdict(self.timeline.now - self.world.start) or self.void
        for process in self.processes():
            self.crashes += process.crashes
        if self.crashes:
            self.void = f"a sidecar crashed: {self.crashes[0]}"

    def sample(self, now: int) -> None:
        """Records the state at the end of each second that has passed."""
        while self.began and now >= self.next_sample:
            entry = self.metrics.at(self.next_sample - SECOND)
            record_endpoints(entry, self.world.tiers)
            self.ejected.keep_listed(set(self.world.registries[0].entries))
            entry.aside = self.ejected.count({process.name for process in self.fronts})
            self.world.rule_checker.sweep(now)
            if self.tick is not None:
                self.tick((self.next_sample - self.world.start) // SECOND, self.metrics)
            self.next_sample += SECOND

    async def tear_down(self) -> None:
        """Ends all processes, connections and tasks."""
        self.clock.stop()
        for client in self.costly_clients:
            client.close()
        self.requests.close()
        await asyncio.gather(*(process.end() for process in self.processes()), return_exceptions=True)
        release_ports(self.peer_ports)
        self.endpoints.close()
        for discovery in self.discoveries.values():
            discovery.close()
        await asyncio.sleep(0)

    def act(self, handler: Callable[..., T], *args: Any) -> T:
        """Handles an event of a socket at the current time."""
        self.catch_up()
        return handler(*args)

    # Sidecar processes.

    async def make_process(self, name: str, tier: int) -> Process:
        """Creates a sidecar that sends to `tier`, and its discovery server; it is not started yet."""
        discovery = DiscoveryServer(self.world.registries[tier], name, self)
        await discovery.listen()
        self.discoveries[name] = discovery
        has_peers = self.peers and tier == 0
        environ = {"BALANCER_OPERATOR_FILE": str(self.folder / "operator.toml")} if has_peers else None
        process = Process(name, tier, self.folder, self.configuration_of, self.log_line, environ)
        self.requests.open_pool(process)
        return process

    def configuration_of(self, process: Process) -> dict[str, Any]:
        """Returns the platform's configuration of a sidecar, with the published list."""
        found, registry = self.scenario.sidecars, self.world.registries[process.tier]
        instances = len(self.fronts) if process.tier == 0 else len(self.world.tiers[process.tier - 1])
        random_source = random_stream(self.seed, "seat", process.name, process.start_count)
        return {
            "name": process.name,
            "listen": process.address or f"{HOST}:0",
            "discovery": self.discoveries[process.name].address,
            "seed": f"{int(random_source.integers(2**62)):x}",
            "limits": {"cores": found.cores, "memory_mb": found.memory_mb, "sockets": found.sockets},
            "known": {
                "index": registry.index,
                "snapshot": True,
                "endpoints": [self.row(entry) for entry in registry.entries.values()],
            },
            "settings": self.world.settings(process.tier, max(1, instances)),
        }

    def row(self, entry: Entry, sidecar: str = "") -> dict[str, Any]:
        """Returns an entry as discovery encodes it for this sidecar."""
        return endpoint_row(entry, self.endpoints.address(entry.name))

    async def start(self, process: Process) -> None:
        """Starts a process and waits until it is ready; a failure counts as a crash."""
        try:
            await process.start()
            await until_ready(process, self.requests.pools[process.name])
        except (RuntimeError, TimeoutError) as error:
            self.crashes.append(f"{process.name}: {error}"[:MAX_CRASH_CHARS])

    def log_line(self, process: Process, event: dict[str, Any]) -> None:
        """Processes a line of a sidecar's log."""
        name, text = event.get("event"), str(event.get("text", event.get("error", "")))
        self.ejected.log_event(process.name, event, text)
        if len(self.notes) < MAX_NOTES and name != "started":
            at = (now_us() - self.world.start) / SECOND
            self.notes.append((round(at, 3), process.name, f"{name}: {text}" if text else str(name)))

    def sidecar_count(self) -> int:
        """Returns the number of front sidecars."""
        return len(self.fronts)

    def kill_sidecar(self, at: int, down_s: float) -> None:
        """Kills a front sidecar, which is restarted after `down_s` seconds."""
        process = self.fronts[at]
        if not process.alive():
            return
        process.kill()
        self.world.rule_checker.restarted(process.name)
        self.ejected.forget_sidecar(process.name)
        down = int(down_s * SECOND)
        self.front.died(at, down)
        self.timeline.after(down, self.schedule_restart, process)

    def schedule_restart(self, process: Process) -> None:
        """Restarts a process, unless the run ends or it was started meanwhile."""
        if not self.stop and not process.alive():
            self.clock.spawn(self.restart(process))

    async def restart(self, process: Process) -> None:
        """Starts a process again once the previous one has ended."""
        if process.process is not None:
            await process.process.wait()
        await self.start(process)

    def starve_sidecar(self, at: int, lag_s: float) -> None:
        """Delays the processing of a front sidecar by `lag_s` seconds."""
        self.fronts[at].starve(lag_s)

    def links_changed(self) -> None:
        """Does nothing: proxies check the links of the world themselves."""

    # Endpoints.

    def work_of(self, request_id: str) -> SentRequest | None:
        """Returns what was sent under this request id; None if nothing was."""
        return self.requests.sent.get(request_id)

    def spread(self) -> float:
        """Draws the microseconds that a published change takes to reach a sidecar."""
        return self.spread_s * self.random_source.uniform(0.2, 1.8) * SECOND

    def endpoint_died(self, endpoint: Endpoint) -> None:
        """An endpoint has crashed; its sidecar is killed with it."""
        self.endpoints.died(endpoint)
        self.inner.endpoint_died(endpoint)

    def endpoint_started(self, endpoint: Endpoint) -> None:
        """An endpoint was started or restarted."""
        self.clock.spawn(self.start_endpoint(endpoint))

    async def start_endpoint(self, endpoint: Endpoint) -> None:
        """Starts an endpoint's server, and its sidecar if its tier makes calls."""
        name = endpoint.spec.name
        await self.endpoints.start(endpoint)
        if endpoint.spec.tier + 1 < len(self.world.tiers):
            if name not in self.inner.processes:
                await self.inner.add(endpoint)
            self.world.rule_checker.restarted(f"i-{name}")
            await self.start(self.inner.processes[name])
