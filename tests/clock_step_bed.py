"""One sidecar as processes whose wall clock steps, among stand-ins that share the machine's real clock.

A play runs in real time; several plays run side by side in one event loop."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
from bed import NO_CHANCE_OF_STOPPING, Net, wanted
from endpoint_acts import fine
from process_bed import Processes, free_address, wait_until_healthy

from lupinmill.lab.faults.stepped_clock import SteppedClock

REQUEST_INTERVAL_S = 0.04
HOUR_S = 3600.0
WITHIN_START_S = 0.1  # after a process has been started, its first look at a clock being behind it


class Play:
    """Endpoints, discovery, the processes of one sidecar, their clock, and one client."""

    def __init__(self, folder: Path, endpoints: int = 3, with_kernel: bool = False, **settings) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.net = Net([self.recorder(at) for at in range(endpoints)], **settings)
        self.processes = Processes(self.net, folder)
        self.clock = SteppedClock(folder / "clock", with_kernel)
        self.processes.environ = self.clock.environ()
        self.received: list[tuple[float, int]] = []  # monotonic time of each request, and its endpoint
        self.statuses: list[tuple[float, int]] = []  # monotonic time of each answer, and its status

    def recorder(self, endpoint: int):
        async def act(request):
            if request.header(b"req-id"):
                self.received.append((time.monotonic(), endpoint))
            return await fine(request)

        return act

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """The stand-ins and the client run, and no process yet."""
        try:
            with anyio.fail_after(NO_CHANCE_OF_STOPPING):
                async with anyio.create_task_group() as group:
                    await self.net.start(group)
                    self.net.address = free_address()
                    group.start_soon(self.send_requests)
                    yield
                    group.cancel_scope.cancel()
        finally:
            self.processes.kill()

    async def send_requests(self) -> None:
        async with anyio.create_task_group() as group:
            for number in itertools.count():
                if self.processes.all:
                    group.start_soon(self.send_request, f"s{number}")
                await anyio.sleep(REQUEST_INTERVAL_S)

    async def send_request(self, name: str) -> None:
        try:
            answer = await self.net.ask(wanted(name))
        except OSError:
            return  # no process listens yet
        if answer is not None:
            self.statuses.append((time.monotonic(), answer.status))

    def change(self, endpoint: int, **fields) -> None:
        """Discovery has a new row for an endpoint."""
        self.net.discovery.change(self.net.discovery.rows[endpoint], **fields)

    def start_now(self, endpoint: int) -> None:
        """The endpoint starts now, by its own clock and discovery's, which are the machine's."""
        self.change(endpoint, status="SERVING", since_ms=int(time.time() * 1000))

    async def start_version(self, tree: str | None) -> None:
        """Starts a process of the version in this folder, or of today's."""
        self.processes.tree = tree
        await self.processes.start()

    async def start_next(self, step_s: float = 0.0) -> None:
        """Starts a process that takes over from the last one; the clock steps while it starts."""
        operator = self.processes.begin()
        if step_s:
            await anyio.sleep(WITHIN_START_S)
            self.clock.step(step_s)
        await wait_until_healthy(operator)

    async def upgrade(self, step_s: float = 0.0) -> None:
        """As `start_next`; the process before is then told to end."""
        old = len(self.processes.all) - 1
        await self.start_next(step_s)
        await self.processes.end(old)

    def sent_since(self, since: float) -> Counter[int]:
        """Requests by endpoint."""
        return Counter(endpoint for at, endpoint in self.received if at >= since)

    def statuses_since(self, since: float) -> Counter[int]:
        return Counter(status for at, status in self.statuses if at >= since)

    def log(self, number: int) -> str:
        """What process `number` has logged so far."""
        return (self.processes.folder / f"log{number}").read_text()


def run_plays(*plays) -> list:
    """Runs coroutine functions side by side, and returns their results in order."""

    async def main() -> list:
        return await asyncio.gather(*(play() for play in plays))

    return anyio.run(main)
