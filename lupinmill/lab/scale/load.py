"""Load for a time per call, and a bare hop: processes of their own, told by lines. An open loop with Poisson
arrivals from a told seed, kept connections, and latency from when a call was due, never from when it was
sent.

    python -m lupinmill.lab.scale.load            blocks as JSON lines in, what came of each out
    python -m lupinmill.lab.scale.load ADDRESS... the bare hop in front of these; tells its address"""

from __future__ import annotations

import asyncio
import random
import selectors
import sys
import time
from collections import deque
from typing import Any

import msgspec

LONGEST = 3.0  # seconds until a call without an answer is given up
MOST_OPEN = 400  # connections of the load at once; what finds none counts as not sent


class Block(msgspec.Struct):
    """What the load is told: one arm for some seconds."""

    addresses: list[str]
    rate: float
    seconds: float
    seed: int


class Told(msgspec.Struct):
    """What came of a block. Seconds; of calls handled alone, from when they were due."""

    asked: int = 0
    handled: int = 0
    denied: int = 0  # 429 or 503
    broken: int = 0
    unanswered: int = 0
    not_sent: int = 0
    p50: float = 0.0
    p99: float = 0.0
    sent_late: float = 0.0  # p99 of the load's own lateness, which is in every arm


def percentile(values: list[float], part: float) -> float:
    """By the nearest rank; 0 where there is none."""
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[max(0, min(len(ranked) - 1, int(-(-part * len(ranked) // 1)) - 1))]


class Wire(asyncio.Protocol):
    """A kept connection with one call at a time."""

    def __init__(self, load: Load, address: str) -> None:
        self.load, self.address, self.transport = load, address, None
        self.got, self.due = bytearray(), 0.0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.got += data
        end = self.got.find(b"\r\n\r\n")
        if end < 0:
            return
        head = bytes(self.got[:end]).lower()
        at = head.find(b"content-length:")
        length = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
        if len(self.got) < end + 4 + length:
            return
        del self.got[: end + 4 + length]
        closes = b"connection: close" in head
        self.load.answered(self, int(head[9:12]), closes)
        if closes:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.load.lost(self)


class Load:
    def __init__(self) -> None:
        self.idle: dict[str, deque[Wire]] = {}
        self.open, self.serial = 0, 0
        self.under_way: set[Wire] = set()
        self.told, self.took, self.late = Told(), [], []

    async def block(self, order: Block) -> Told:
        chance, picks = random.Random(order.seed), random.Random(order.seed + 1)
        self.told, self.took, self.late = Told(), [], []
        due = time.perf_counter() + 0.02
        end, connecting = due + order.seconds, set()
        while (due := due + chance.expovariate(order.rate)) < end:
            wait = due - time.perf_counter()
            if wait > 0 or self.told.asked % 10 == 0:
                await asyncio.sleep(max(0.0, wait))  # answers are read, however far behind
            self.told.asked += 1
            self.late.append(time.perf_counter() - due)
            address = picks.choice(order.addresses)
            if not self.send(address, due):
                if self.open >= MOST_OPEN:
                    self.told.not_sent += 1
                    continue
                task = asyncio.create_task(self.connect(address, due))
                connecting.add(task)
                task.add_done_callback(connecting.discard)
        limit = time.perf_counter() + LONGEST
        while (self.under_way or connecting) and time.perf_counter() < limit:
            await asyncio.sleep(0.005)
        for wire in list(self.under_way):
            self.told.unanswered += 1
            self.under_way.discard(wire)
            wire.transport.abort()
        self.told.p50, self.told.p99 = percentile(self.took, 0.5), percentile(self.took, 0.99)
        self.told.sent_late = percentile(self.late, 0.99)
        return self.told

    def send(self, address: str, due: float) -> bool:
        idle = self.idle.setdefault(address, deque())
        while idle:
            wire = idle.pop()
            if not wire.transport.is_closing():
                self.write(wire, due)
                return True
        return False

    def write(self, wire: Wire, due: float) -> None:
        self.serial += 1
        wire.due = due
        self.under_way.add(wire)
        wire.transport.write(
            b"GET /view HTTP/1.1\r\nHost: site\r\nReq-Id: a%d\r\n"
            b"Req-Kind: view\r\nReq-Deadline: 1.500000\r\n\r\n" % self.serial
        )

    async def connect(self, address: str, due: float) -> None:
        self.open += 1
        host, _, port = address.partition(":")
        try:
            loop = asyncio.get_running_loop()
            _, wire = await loop.create_connection(lambda: Wire(self, address), host, int(port))
        except OSError:
            self.open -= 1
            self.told.broken += 1
            return
        self.write(wire, due)

    def answered(self, wire: Wire, status: int, closes: bool) -> None:
        if wire not in self.under_way:
            return
        self.under_way.discard(wire)
        if status == 200:
            self.told.handled += 1
            self.took.append(time.perf_counter() - wire.due)
        elif status in (429, 503):
            self.told.denied += 1
        else:
            self.told.broken += 1
        if not closes:
            self.idle[wire.address].append(wire)

    def lost(self, wire: Wire) -> None:
        self.open -= 1
        if wire in self.under_way:
            self.under_way.discard(wire)
            self.told.broken += 1

    async def run(self) -> None:
        """A block a line on standard input, what came of it a line on standard output, until input ends."""
        loop = asyncio.get_running_loop()
        while line := await loop.run_in_executor(None, sys.stdin.readline):
            told = await self.block(msgspec.json.decode(line, type=Block))
            print(msgspec.json.encode(told).decode(), flush=True)


class Bare(asyncio.Protocol):
    """Passes what a client writes to the endpoints by turns, each client over connections of its own, and
    what they answer back. One call at a time; knows nothing of HTTP."""

    def __init__(self, addresses: list[str]) -> None:
        self.addresses, self.ahead, self.at = addresses, {}, 0
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.at = (self.at + 1) % len(self.addresses)
        address = self.addresses[self.at]
        if address in self.ahead:
            self.ahead[address].write(data)
        else:
            asyncio.ensure_future(self.connect(address, data))

    async def connect(self, address: str, data: bytes) -> None:
        host, _, port = address.partition(":")
        back = Back(self.transport)
        transport, _ = await asyncio.get_running_loop().create_connection(lambda: back, host, int(port))
        self.ahead[address] = transport
        transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        for transport in self.ahead.values():
            transport.close()


class Back(asyncio.Protocol):
    def __init__(self, client: Any) -> None:
        self.client = client

    def data_received(self, data: bytes) -> None:
        self.client.write(data)


async def bare(addresses: list[str]) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Bare(addresses), "127.0.0.1", 0)
    print("%s:%d" % server.sockets[0].getsockname()[:2], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


def main(addresses: list[str]) -> None:
    if addresses:
        asyncio.run(bare(addresses))
        return
    # Guards against timers rounded up to whole milliseconds, as epoll's are.
    loop = asyncio.SelectorEventLoop(selectors.SelectSelector())
    loop.run_until_complete(Load().run())


if __name__ == "__main__":
    main(sys.argv[1:])
