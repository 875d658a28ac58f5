"""Stand-ins around the watch on lists, for thousands of sidecars on one loop whose clock jumps: discovery,
the connection to it, and the rest of a sidecar. `discovery.driver.DiscoveryClient` and `rules.Sidecar` are
the very ones."""

from __future__ import annotations

import asyncio
import random
import selectors
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import anyio
import orjson

from lupinmill import terms as t
from lupinmill.discovery import driver as discovery
from lupinmill.protocol.lists import Known
from lupinmill.rules import SECOND, Sidecar
from lupinmill.transport.connection import Unconnected

ENDPOINTS = 24  # of a service: one list is so many rows
WAY = 0.001  # seconds for bytes either way
ROW = {
    "name": "svc-417-4711-0000", "address": "10.117.213.114:18080", "zone": "zone-12", "type": "kind-3",
    "group": 11, "status": "SERVING", "weight": 1.0, "since_ms": 1_764_633_600_000,
}  # fmt: skip


class Jumping(selectors.SelectSelector):
    """Waits for nobody: the loop's clock goes on by the time that it would have waited."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing is left to happen")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.jumping = Jumping()
        super().__init__(self.jumping)

    def time(self) -> float:
        return self.jumping.now


def answer(index: int, whole: bool, rows: int) -> bytes:
    body = orjson.dumps(
        {"index": index, "snapshot": whole, "endpoints": [ROW | {"name": f"e{n}"} for n in range(rows)]}
    )
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
    return head + body


class Stand:
    """Discovery. `index` is its version; `capacity` calls a second, in turn."""

    def __init__(self, loop: VirtualLoop, capacity: float) -> None:
        self.loop, self.capacity, self.index, self.up, self.free_at = loop, capacity, 7, True, 0.0
        self.calls: list[float] = []  # when each came
        self.wholes = 0  # of them, whole lists
        self.refused: list[float] = []  # when a connection was refused
        self.sent: list[tuple[float, int]] = []  # when, bytes of each answer
        self.came = 0  # bytes of all calls
        self.open: dict[Line, None] = {}  # in their order: who hears of a break first draws first
        self.answers: dict[tuple[int, bool, int], bytes] = {}

    async def connect(self, *_: object) -> Line:
        await anyio.sleep(2 * WAY)
        if not self.up:
            self.refused.append(self.loop.time())
            raise Unconnected("refused")
        return Line(self)

    def go_away(self) -> None:
        self.up = False
        for line in list(self.open):
            line.break_off()

    def come_back(self, index: int) -> None:
        self.up, self.index, self.free_at = True, index, self.loop.time()

    def called(self, line: Line, data: bytes) -> None:
        now = self.loop.time()
        if not self.up:
            raise ConnectionResetError("discovery is away")
        self.calls.append(now)
        self.came += len(data)
        target = data.split(b" ", 2)[1]
        self.free_at = turn = max(now + WAY, self.free_at) + 1 / self.capacity
        if b"index=" not in target:
            self.wholes += 1
            line.answer_at(turn, (self.index, True, ENDPOINTS))
            return
        index = int(target.split(b"index=")[1].split(b"&")[0])
        wait = int(target.split(b"wait=")[1]) / 1000
        if index == self.index:
            line.answer_at(max(turn, now + WAY + wait), (self.index, False, 0))
        else:  # from before ours: what changed. From behind ours: nothing that we could tell
            line.answer_at(turn, (self.index, False, int(index < self.index)))

    def bytes_of(self, key: tuple[int, bool, int]) -> bytes:
        if key not in self.answers:
            self.answers[key] = answer(*key)
        return self.answers[key]


class Line:
    """Stands for `transport.connection.Connection`."""

    def __init__(self, stand: Stand) -> None:
        self.stand, self.closed = stand, False
        self.broken = False
        self.due: asyncio.TimerHandle | None = None
        self.data: asyncio.Future[bytes] | None = None
        stand.open[self] = None

    def is_idle(self) -> bool:
        return not self.broken and not self.closed

    async def send(self, data: bytes) -> None:
        self.data = self.stand.loop.create_future()
        self.stand.called(self, data)

    def answer_at(self, at: float, key: tuple[int, bool, int]) -> None:
        self.due = self.stand.loop.call_at(at + WAY, self.say, key)

    def say(self, key: tuple[int, bool, int]) -> None:
        if self.data is not None and not self.data.done():
            data = self.stand.bytes_of(key)
            self.stand.sent.append((self.stand.loop.time(), len(data)))
            self.data.set_result(data)

    async def receive(self) -> bytes:
        assert self.data is not None
        return await self.data

    def break_off(self) -> None:
        self.broken = True
        if self.data is not None and not self.data.done():
            self.data.set_exception(ConnectionResetError("discovery went away"))

    def close(self) -> None:
        self.closed = True
        self.stand.open.pop(self, None)
        if self.due is not None:
            self.due.cancel()


class SimulatedSidecar:
    """What `DiscoveryClient` knows of the rest of a sidecar: where lists go, and the module that asks for
    them. The module hears of each list without its rows, which have no part in when it asks."""

    def __init__(
        self, loop: VirtualLoop, deployment: t.Deployment, heard: Callable[[SimulatedSidecar, int], None]
    ) -> None:
        self.loop, self.heard = loop, heard
        self.states, self.index = {"e0": t.EndpointStatus.READY}, 7
        self.sidecar = Sidecar(deployment) if deployment.poll_discovery else None
        self.discovery: discovery.DiscoveryClient | None = None

    def update(self, known: Known, kind: t.ListKind) -> None:
        self.index = known.index
        self.heard(self, known.index)
        self.tell(t.ListReceived(kind, []))

    def fetch_failed(self) -> None:
        self.tell(t.ListReceived(t.ListKind.FAILED, []))

    def tell(self, event: t.Event) -> None:
        """Where lists are pushed the module has no say in it."""
        if self.sidecar is None:
            return
        for command in self.sidecar.step(round(self.loop.time() * SECOND), [event]):
            if isinstance(command, t.SetTimer):
                self.loop.call_at(command.at / SECOND, self.tell, t.TimerFired(command.ref))
            elif isinstance(command, t.StartWatch) and self.discovery is not None:
                self.discovery.watch(command)


@contextmanager
def stood_in(stand: Stand, seed: int) -> Iterator[None]:
    """The two things of the text under test that are not its own: the way out, and chance."""
    kept = discovery.connect, discovery.random
    discovery.connect = stand.connect  # type: ignore[assignment]
    discovery.random = random.Random(f"returns {seed}")  # type: ignore[assignment]
    try:
        yield
    finally:
        discovery.connect, discovery.random = kept
