"""Stand-ins for discovery, the connections to it and the rest of a sidecar, for thousands of sidecars on one
event loop in virtual time. `discovery.driver.DiscoveryClient` and `rules.Sidecar` are the production ones."""

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
from lupinmill.protocol.lists import EndpointList
from lupinmill.rules import SECOND, Sidecar
from lupinmill.transport.connection import Unconnected

ENDPOINTS = 24  # endpoints per service, and so rows per list
NETWORK_DELAY_S = 0.001  # one-way network delay
ROW = {
    "name": "svc-417-4711-0000", "address": "10.117.213.114:18080", "zone": "zone-12", "type": "kind-3",
    "group": 11, "status": "SERVING", "weight": 1.0, "since_ms": 1_764_633_600_000,
}  # fmt: skip


class JumpingSelector(selectors.SelectSelector):
    """A selector that never blocks: the clock advances by the time for which it would have waited."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("the event loop has no pending timers")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.selector = JumpingSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.now


def encode_answer(index: int, whole: bool, rows: int) -> bytes:
    body = orjson.dumps(
        {"index": index, "snapshot": whole, "endpoints": [ROW | {"name": f"e{n}"} for n in range(rows)]}
    )
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
    return head + body


class SimulatedDiscovery:
    """Stands in for discovery. `index` is its version; it processes `capacity` calls per second in order."""

    def __init__(self, loop: VirtualLoop, capacity: float) -> None:
        self.loop, self.capacity, self.index, self.up, self.free_at = loop, capacity, 7, True, 0.0
        self.calls: list[float] = []  # time of each
        self.snapshots = 0  # of them, requests for a whole list
        self.refused: list[float] = []  # times of refused connections
        self.answers: list[tuple[float, int]] = []  # time and bytes of each answer
        self.bytes_in = 0  # total bytes of calls
        # Ordered, as the order in which resets are seen decides who draws random numbers first.
        self.open_connections: dict[SimulatedConnection, None] = {}
        self.encoded_answers: dict[tuple[int, bool, int], bytes] = {}

    async def connect(self, *_: object) -> SimulatedConnection:
        await anyio.sleep(2 * NETWORK_DELAY_S)
        if not self.up:
            self.refused.append(self.loop.time())
            raise Unconnected("refused")
        return SimulatedConnection(self)

    def stop(self) -> None:
        self.up = False
        for connection in list(self.open_connections):
            connection.reset()

    def restart(self, index: int) -> None:
        self.up, self.index, self.free_at = True, index, self.loop.time()

    def on_call(self, connection: SimulatedConnection, data: bytes) -> None:
        now = self.loop.time()
        if not self.up:
            raise ConnectionResetError("discovery is down")
        self.calls.append(now)
        self.bytes_in += len(data)
        target = data.split(b" ", 2)[1]
        self.free_at = turn = max(now + NETWORK_DELAY_S, self.free_at) + 1 / self.capacity
        if b"index=" not in target:
            self.snapshots += 1
            connection.answer_at(turn, (self.index, True, ENDPOINTS))
            return
        index = int(target.split(b"index=")[1].split(b"&")[0])
        wait = int(target.split(b"wait=")[1]) / 1000
        if index == self.index:
            connection.answer_at(max(turn, now + NETWORK_DELAY_S + wait), (self.index, False, 0))
        else:  # an older index gets the changes; a newer one gets nothing
            connection.answer_at(turn, (self.index, False, int(index < self.index)))

    def encoded_answer(self, key: tuple[int, bool, int]) -> bytes:
        if key not in self.encoded_answers:
            self.encoded_answers[key] = encode_answer(*key)
        return self.encoded_answers[key]


class SimulatedConnection:
    """Stands in for `transport.connection.Connection`."""

    def __init__(self, service: SimulatedDiscovery) -> None:
        self.service, self.closed = service, False
        self.broken = False
        self.timer: asyncio.TimerHandle | None = None
        self.pending_answer: asyncio.Future[bytes] | None = None
        service.open_connections[self] = None

    def is_idle(self) -> bool:
        return not self.broken and not self.closed

    async def send(self, data: bytes) -> None:
        self.pending_answer = self.service.loop.create_future()
        self.service.on_call(self, data)

    def answer_at(self, at: float, key: tuple[int, bool, int]) -> None:
        self.timer = self.service.loop.call_at(at + NETWORK_DELAY_S, self.deliver, key)

    def deliver(self, key: tuple[int, bool, int]) -> None:
        if self.pending_answer is not None and not self.pending_answer.done():
            data = self.service.encoded_answer(key)
            self.service.answers.append((self.service.loop.time(), len(data)))
            self.pending_answer.set_result(data)

    async def receive(self) -> bytes:
        assert self.pending_answer is not None
        return await self.pending_answer

    def reset(self) -> None:
        self.broken = True
        if self.pending_answer is not None and not self.pending_answer.done():
            self.pending_answer.set_exception(ConnectionResetError("discovery went down"))

    def close(self) -> None:
        self.closed = True
        self.service.open_connections.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()


class SimulatedSidecar:
    """The part of a sidecar that `DiscoveryClient` uses: the receiver of lists, and the module that requests
    them. The module receives lists without their rows, which do not affect when it requests the next one."""

    def __init__(
        self, loop: VirtualLoop, deployment: t.Deployment, on_list: Callable[[SimulatedSidecar, int], None]
    ) -> None:
        self.loop, self.deployment, self.on_list = loop, deployment, on_list
        self.states, self.index = {"e0": t.EndpointStatus.READY}, 7
        self.rules = Sidecar(deployment) if deployment.poll_discovery else None
        self.discovery: discovery.DiscoveryClient | None = None

    def update(self, known: EndpointList, kind: t.ListKind) -> None:
        self.index = known.index
        self.on_list(self, known.index)
        self.process(t.ListReceived(kind, []))

    def fetch_failed(self) -> None:
        self.process(t.ListReceived(t.ListKind.FAILED, []))

    def process(self, event: t.Event) -> None:
        """Passes an event to the module, unless lists are pushed: the module then requests none."""
        if self.rules is None:
            return
        for command in self.rules.step(round(self.loop.time() * SECOND), [event]):
            if isinstance(command, t.SetTimer):
                self.loop.call_at(command.at / SECOND, self.process, t.TimerFired(command.ref))
            elif isinstance(command, t.StartWatch) and self.discovery is not None:
                self.discovery.watch(command)


@contextmanager
def simulated_network(service: SimulatedDiscovery, seed: int) -> Iterator[None]:
    """Replaces the connections and random numbers of the discovery driver."""
    original = discovery.connect, discovery.random
    discovery.connect = service.connect  # type: ignore[assignment]
    discovery.random = random.Random(f"returns {seed}")  # type: ignore[assignment]
    try:
        yield
    finally:
        discovery.connect, discovery.random = original
