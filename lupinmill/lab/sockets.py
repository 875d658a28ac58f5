"""Sockets: the same site, clients and referee in real time, around real processes of the program. Owns the
stand-ins and the processes; whatever ends a run, none of them outlives it."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import orjson

from lupinmill import terms as t
from lupinmill.lab.clients import Clients, Wish
from lupinmill.lab.endpoint import Endpoint, Job
from lupinmill.lab.fleet_sockets import TAKEN, free_port
from lupinmill.lab.measure import Measure, observe_endpoints
from lupinmill.lab.processes import Process
from lupinmill.lab.registry import Entry, Registry
from lupinmill.lab.scenario import Scenario
from lupinmill.lab.stands import HOST, STATUS, AskPool, DiscoveryServer, EndpointServer, Exchange
from lupinmill.lab.timeline import MS, SECOND, Timeline
from lupinmill.lab.world import World, chance_for, draw
from lupinmill.lab.world.troubles.plan import plan
from lupinmill.peers.peer import REHEARSAL
from lupinmill.protocol.http import Answer, Request

T = TypeVar("T")
BEGINS_AFTER = 0.5  # seconds from all being ready to the first arrival
READY_LIMIT = 20.0
READY_EVERY = 0.05
SETTLED = 4 * SECOND
SLACK = 50 * MS  # by which each time limit of the rules is longer on sockets
LATE = 50 * MS  # events that come so much late mean that this machine is short of time, ...
LATE_SHARE = 0.1  # ... and so many seconds with any of them void the run
MOST_WANTED = 200_000
AWAKE = 0.2  # seconds the pump sleeps at most


def operators_file(ports: list[int]) -> str:
    """Of the front sidecars s0, s1, ...: all members, up to five of them electors that ask for one lease."""
    names = [f"s{at}" for at in range(len(ports))]
    most = max((n for n in (0, 3, 5) if n <= len(ports)), default=0)
    electors = orjson.dumps(names[:most]).decode()
    wants = f'wants = ["{REHEARSAL}"]\n' if most else ""
    rows = [f'[peers.members.{name}]\naddress = "{HOST}:{port}"\n' for name, port in zip(names, ports)]
    return f'site = "lab"\n\n[peers]\nelectors = {electors}\n{wants}\n' + "\n".join(rows)


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
        self.timeline = Timeline(time.time_ns() // 1000)
        self.world = World(scenario, seed, self.timeline)
        self.world.referee.grace += SLACK
        self.world.referee.drain_grace += SLACK
        self.world.referee.slack = SLACK
        self.measure = Measure(self.timeline.now, self.world.seconds, [w.name for w in self.world.workloads])
        self.clients = Clients(self.world, self, self.measure)
        self.front = chance_for(seed, "front")
        self.spread_s = draw(self.front, scenario.discovery.spread_ms) / 1000
        self.call_chance = chance_for(seed, "calls")
        self.notes: list[tuple[float, str, str]] = []
        self.digests: list[str] = []
        self.steps, self.serial = 0, 0
        self.crashes: list[str] = []
        self.void = ""
        self.wanted: dict[str, tuple[str, float, str, str]] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.servers: dict[str, EndpointServer] = {}
        self.discoveries: dict[str, DiscoveryServer] = {}
        self.pools: dict[str, AskPool] = {}
        self.fronts: list[Process] = []
        self.inner: dict[str, Process] = {}
        self.dead_until: dict[int, int] = {}
        self.names: dict[int, set[str]] = {}  # all that a tier's list ever named
        self.late_seconds: set[int] = set()
        self.aside: dict[tuple[str, str], None] = {}  # (sidecar, endpoint), by the sidecars' logs
        self.front_names: set[str] = set()
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.failed: BaseException | None = None
        self.stop, self.began = False, False
        self.next_sample = 0

    # The run.

    def play(self) -> None:
        asyncio.run(self.main())

    async def main(self) -> None:
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
        self.folder = folder
        for tier in self.world.tiers:
            for endpoint in tier:
                await self.serve(endpoint)
        count = self.world.sidecars
        if self.peers:
            self.peer_ports = [free_port(os.getpid() * 97) for _ in range(count)]
            (folder / "operator.toml").write_text(operators_file(self.peer_ports))
        for at in range(count):
            self.fronts.append(await self.make_process(f"s{at}", 0))
            self.front_names.add(f"s{at}")
        for endpoint in [e for tier in self.world.tiers[:-1] for e in tier]:
            name = endpoint.shape.name
            self.inner[name] = await self.make_process(f"i-{name}", endpoint.shape.tier + 1)
            self.give_calls(endpoint)
        await asyncio.gather(*(self.start(process) for process in (*self.fronts, *self.inner.values())))
        self.rebase()
        plan(self.world, self)
        self.clients.begin()
        self.began = True
        for _ in range(self.scenario.clients.idle):
            self.spawn(self.say_nothing())
        for _ in range(self.scenario.clients.slow):
            self.spawn(self.trickle())

    def rebase(self) -> None:
        """The day begins now: starting took its time."""
        start = time.time_ns() // 1000 + int(BEGINS_AFTER * SECOND)
        self.timeline.run_until(time.time_ns() // 1000)
        span = self.world.end - self.world.start
        self.world.start, self.world.end = start, start + span
        self.world.referee.start = self.measure.start = start
        self.next_sample = start + SECOND

    async def serve(self, endpoint: Endpoint) -> None:
        server = EndpointServer(endpoint, self)
        await server.listen()
        self.servers[endpoint.shape.name] = server
        self.names.setdefault(endpoint.shape.tier, set()).add(endpoint.shape.name)

    async def make_process(self, name: str, tier: int) -> Process:
        discovery = DiscoveryServer(self.world.registries[tier], name, self)
        await discovery.listen()
        self.discoveries[name] = discovery
        known = self.peers and tier == 0
        environ = {"BALANCER_OPERATOR_FILE": str(self.folder / "operator.toml")} if known else None
        process = Process(name, tier, self.folder, self.told, self.heard, environ)
        self.pools[name] = AskPool(lambda: process.address)
        return process

    def told(self, process: Process) -> dict[str, Any]:
        """The platform's configuration, with the list as it is published."""
        found, registry = self.scenario.sidecars, self.world.registries[process.tier]
        instances = len(self.fronts) if process.tier == 0 else len(self.world.tiers[process.tier - 1])
        chance = chance_for(self.seed, "seat", process.name, process.lives)
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
        return {
            "name": entry.name,
            "address": self.servers[entry.name].address,
            "zone": entry.zone,
            "type": entry.kind,
            "group": entry.cell,
            "status": STATUS[entry.state],
            "weight": 1.0,
            "since_ms": entry.started // 1000,
        }

    async def start(self, process: Process) -> None:
        try:
            await process.start()
            await self.until_ready(process)
        except (RuntimeError, TimeoutError) as error:
            self.crashes.append(f"{process.name}: {error}"[:400])

    async def until_ready(self, process: Process) -> None:
        loop = asyncio.get_running_loop()
        limit = loop.time() + READY_LIMIT
        while loop.time() < limit and process.alive():
            done: asyncio.Future[Answer | None] = loop.create_future()
            exchange = Exchange(Request(b"GET", b"/ready", [(b"Host", b"site")]), done.set_result)
            self.pools[process.name].send(exchange)
            answer = await done
            if answer is not None and answer.status == 200:
                process.ready = True
                return
            await asyncio.sleep(READY_EVERY)
        raise RuntimeError("not ready in time")

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks[task] = None
        task.add_done_callback(self.task_done)

    def task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self.failed = task.exception()

    async def pump(self) -> None:
        """Carries the timeline along with the clock."""
        woken = asyncio.Event()
        self.timeline.woken = woken.set
        end = self.world.end + SETTLED
        while not self.stop:
            if self.failed is not None:
                raise self.failed
            now = self.catch_up()
            self.sample(now)
            if now >= end or now >= self.world.end and not self.clients.open:
                break
            woken.clear()
            due = self.timeline.next_at()
            wait = AWAKE if due is None else min(AWAKE, max(0.0, (due - time.time_ns() // 1000) / SECOND))
            try:
                await asyncio.wait_for(woken.wait(), wait)
            except TimeoutError:
                pass
        self.judge_machine()

    def catch_up(self) -> int:
        """Carries the timeline up to now, which is returned (microseconds). Guards against a late machine
        that goes unseen: whoever comes first after a pause finds what is late, mostly a socket."""
        now, due = time.time_ns() // 1000, self.timeline.next_at()
        if due is not None and now - due > LATE and now >= self.world.start:
            self.late_seconds.add((now - self.world.start) // SECOND)
        self.timeline.run_until(now)
        return now

    def judge_machine(self) -> None:
        seconds = max(1.0, (self.timeline.now - self.world.start) / SECOND)
        share = len(self.late_seconds) / seconds
        if share > LATE_SHARE:
            self.void = f"this machine is too slow for the asked rate: late in {share:.0%} of the seconds"
        for process in (*self.fronts, *self.inner.values()):
            self.crashes += process.crashes
        if self.crashes:  # whatever the machine was: a crash is told first
            self.void = f"a sidecar crashed: {self.crashes[0]}"

    def sample(self, now: int) -> None:
        while self.began and now >= self.next_sample:
            entry = self.measure.at(self.next_sample - SECOND)
            observe_endpoints(entry, self.world.tiers)
            listed = self.world.registries[0].entries
            self.aside = {key: None for key in self.aside if key[1] in listed}  # forgotten with what is gone
            entry.aside = sum(name in self.front_names for name, _ in self.aside)
            self.world.referee.sweep(now)
            if self.tick is not None:
                self.tick((self.next_sample - self.world.start) // SECOND, self.measure)
            self.next_sample += SECOND

    async def tear_down(self) -> None:
        self.timeline.woken = None
        for task in list(self.tasks):
            task.cancel()
        for pool in self.pools.values():
            pool.close()
        processes = [*self.fronts, *self.inner.values()]
        await asyncio.gather(*(process.end() for process in processes), return_exceptions=True)
        TAKEN.difference_update(self.peer_ports)
        for server in (*self.servers.values(), *self.discoveries.values()):
            server.close()
        await asyncio.sleep(0)

    def act(self, do: Callable[..., T], *args: Any) -> T:
        """What comes from a socket happens now."""
        self.catch_up()
        return do(*args)

    # What sidecars log.

    def heard(self, process: Process, event: dict[str, Any]) -> None:
        name, text = event.get("event"), str(event.get("text", event.get("error", "")))
        if name == "mode" and text:
            endpoint = text.split(" ", 1)[0]
            if " set aside" in text:
                self.aside[(process.name, endpoint)] = None
            elif " on trial" in text or " ready again" in text:
                self.aside.pop((process.name, endpoint), None)
        if len(self.notes) < 2000 and name != "started":
            at = (time.time_ns() // 1000 - self.world.start) / SECOND
            self.notes.append((round(at, 3), process.name, f"{name}: {text}" if text else str(name)))

    # Clients, by way of the front.

    def ask(self, wish: Wish, submission: str, due: int, repeated: bool) -> None:
        at = self.front_picks()
        if at is None or not self.fronts[at].alive():
            self.timeline.after(
                2 * self.world.network.client_way, self.clients.ended, submission, "unreachable", 0
            )
            return
        process = self.fronts[at]
        wish.sidecar = process
        now = self.timeline.now
        keyed = wish.workload.terms.repeat is not t.Repeat.IDEMPOTENT
        self.world.referee.taken(now, submission, wish.workload.name, due, True)
        self.remember(submission, wish.workload.name, wish.work, wish.name if keyed else "", process.name)
        request = self.request(
            submission, wish.workload, (due - now) / SECOND, wish.name, wish.tenant, repeated
        )
        life = process.lives
        self.send(
            process,
            submission,
            request,
            lambda answer: self.act(self.answered, submission, process, life, answer),
        )

    def front_picks(self) -> int | None:
        now = self.timeline.now
        believed = [
            at
            for at, p in enumerate(self.fronts)
            if p.alive() and p.ready or self.dead_until.get(at, 0) > now
        ]
        return believed[int(self.front.integers(len(believed)))] if believed else None

    def remember(self, submission: str, workload: str, work: float, key: str, sidecar: str) -> None:
        self.wanted[submission] = (workload, work, key, sidecar)
        while len(self.wanted) > MOST_WANTED:
            del self.wanted[next(iter(self.wanted))]

    def request(
        self, submission: str, workload: Any, left: float, key: str, tenant: str, repeated: bool
    ) -> Request:
        kind = workload.name.encode()
        idempotent = workload.terms.repeat is t.Repeat.IDEMPOTENT
        headers = [
            (b"Host", b"site"),
            (b"Req-Id", submission.encode()),
            (b"Req-Kind", kind),
            (b"Req-Deadline", b"%.6f" % max(0.0, left)),
        ]
        if not idempotent:
            headers.append((b"Idempotency-Key", key.encode()))
        if tenant:
            headers.append((b"Req-Owner", tenant.encode()))
        if repeated:
            headers.append((b"Req-Retry", b"1"))
        return Request(
            b"GET" if idempotent else b"POST", b"/" + kind, headers, b"" if idempotent else b"x" * 200
        )

    def send(
        self, process: Process, submission: str, request: Request, done: Callable[[Answer | None], None]
    ) -> None:
        exchange = Exchange(request, done)
        self.exchanges[submission] = exchange
        self.pools[process.name].send(exchange)

    def verdict(self, submission: str, process: Process, life: int, answer: Answer | None) -> str:
        """What an answer means; the body must be one that an endpoint made for this submission."""
        self.exchanges.pop(submission, None)
        if answer is None:
            if process.killed or process.lives != life or not process.alive():
                self.world.referee.released(submission)
                return "unreachable"
            self.world.referee.breaks(1, submission, "its connection ended without an answer")
            self.world.referee.released(submission)
            return "broken off"
        if answer.status == 200:
            try:
                body = orjson.loads(answer.body)
            except orjson.JSONDecodeError:
                body = {}
            if body.get("for") != submission:
                self.world.referee.breaks(1, submission, "handled with what no endpoint made for it")
            return "handled"
        return "denied" if answer.status in (429, 503) else "broken off"

    def answered(self, submission: str, process: Process, life: int, answer: Answer | None) -> None:
        what = self.verdict(submission, process, life, answer)
        if answer is not None:
            self.world.referee.answered(self.timeline.now, submission, what)
        self.clients.ended(submission, what, advice_of(answer))

    def gave_up(self, wish: Wish, submission: str) -> None:
        if (exchange := self.exchanges.pop(submission, None)) is not None:
            exchange.abandon()

    # Endpoints.

    def work_of(self, submission: str) -> tuple[str, float, str, str] | None:
        return self.wanted.get(submission)

    def noise(self, workload: str) -> float:
        noise = self.world.by_name[workload].noise
        return max(0.1, 1 + noise * float(self.world.network.chance.standard_normal())) if noise else 1.0

    def calls_of(self, endpoint: Endpoint) -> int:
        return self.world.draw_calls(endpoint.shape.tier, self.call_chance)

    def spread(self) -> float:
        return self.spread_s * self.front.uniform(0.2, 1.8) * SECOND

    def listed_names(self, registry: Registry) -> list[str]:
        return sorted(self.names[self.world.registries.index(registry)])

    def give_calls(self, endpoint: Endpoint) -> None:
        process = self.inner[endpoint.shape.name]
        endpoint.hang_up = self.hang_up

        def call(job: Job, done: Callable[[bool], None]) -> str | None:
            now = self.timeline.now
            workload = self.world.by_name[job.workload]
            hard = workload.terms.hard_limit
            due = job.due if self.scenario.limits.passes_deadline else now + hard
            if due - now < 10 * MS or not process.alive() or not process.ready:
                self.timeline.after(MS, done, False)
                return None
            self.serial += 1
            name, life = f"c{self.serial}", process.lives
            work = self.world.call_work(job, endpoint.shape, self.call_chance)
            key = f"{job.submission}/{self.serial}" if job.key else ""
            self.world.referee.taken(now, name, job.workload, due, False)
            self.remember(name, job.workload, work, key, process.name)
            overdue = self.timeline.at(due + self.world.referee.grace + 1, self.call_overdue, name, done)

            def ended(answer: Answer | None) -> None:
                overdue.cancel()
                what = self.verdict(name, process, life, answer)
                if answer is not None:
                    self.world.referee.answered(self.timeline.now, name, what)
                done(what == "handled")

            request = self.request(name, workload, (due - now) / SECOND, key or name, "", False)
            self.send(process, name, request, lambda answer: self.act(ended, answer))
            return name

        endpoint.caller = call

    def call_overdue(self, name: str, done: Callable[[bool], None]) -> None:
        self.world.referee.overdue(self.timeline.now, name)
        if (exchange := self.exchanges.pop(name, None)) is not None:
            exchange.abandon()
        done(False)

    def hang_up(self, name: str) -> None:
        self.world.referee.released(name)
        if (exchange := self.exchanges.pop(name, None)) is not None:
            exchange.abandon()

    def endpoint_died(self, endpoint: Endpoint) -> None:
        server = self.servers[endpoint.shape.name]
        if endpoint.silent:
            server.fall_silent()
        else:
            server.refuse()
        if (process := self.inner.get(endpoint.shape.name)) is not None:
            process.kill()

    def endpoint_started(self, endpoint: Endpoint) -> None:
        self.spawn(self.start_endpoint(endpoint))

    async def start_endpoint(self, endpoint: Endpoint) -> None:
        name = endpoint.shape.name
        if (server := self.servers.get(name)) is None:
            await self.serve(endpoint)
        else:
            server.close()
            await server.listen()
        if endpoint.shape.tier + 1 < len(self.world.tiers):
            if name not in self.inner:
                self.inner[name] = await self.make_process(f"i-{name}", endpoint.shape.tier + 1)
                self.give_calls(endpoint)
            self.world.referee.restarted(f"i-{name}")
            await self.start(self.inner[name])

    # Troubles of sidecars.

    def sidecar_count(self) -> int:
        return len(self.fronts)

    def ways_changed(self) -> None:
        """Whoever stands in a way looks at the world itself."""

    def kill_sidecar(self, at: int, down_s: float) -> None:
        process = self.fronts[at]
        if not process.alive():
            return
        process.kill()
        self.world.referee.restarted(process.name)
        for key in [key for key in self.aside if key[0] == process.name]:
            del self.aside[key]
        down = int(down_s * SECOND)
        self.dead_until[at] = self.timeline.now + min(down, int(self.world.sidecar_notice * SECOND))
        self.timeline.after(down, self.start_again, process)

    def start_again(self, process: Process) -> None:
        if not self.stop and not process.alive():
            self.spawn(self.restart(process))

    async def restart(self, process: Process) -> None:
        if process.process is not None:
            await process.process.wait()
        await self.start(process)

    def starve_sidecar(self, at: int, lag_s: float) -> None:
        self.fronts[at].starve(lag_s)

    # Slow and idle clients.

    async def say_nothing(self) -> None:
        """Connects, says nothing, and again when it was closed."""
        while not self.stop:
            address = self.fronts[int(self.front.integers(len(self.fronts)))].address
            host, _, port = address.partition(":")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    await reader.read(1)
                finally:
                    writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.2)

    async def trickle(self) -> None:
        """Sends the head of a request byte by byte, and never its end."""
        while not self.stop:
            address = self.fronts[int(self.front.integers(len(self.fronts)))].address
            host, _, port = address.partition(":")
            try:
                _, writer = await asyncio.open_connection(host, int(port))
                try:
                    for byte in b"GET /view HTTP/1.1\r\nHost: site\r\n":
                        writer.write(bytes([byte]))
                        await writer.drain()
                        await asyncio.sleep(0.2)
                finally:
                    writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.2)


def advice_of(answer: Answer | None) -> int:
    """Microseconds after which to come back, where the answer says so."""
    text = answer.header(b"retry-after") if answer is not None else None
    try:
        return int(min(60.0, max(0.0, float(text))) * SECOND) if text else 0
    except ValueError:
        return 0
