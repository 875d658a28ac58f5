"""A load generator and a bare hop, each a process controlled over standard input.

The load generator is an open loop with seeded Poisson arrivals and persistent connections. It measures
latency from the time at which a call was due, not from when it was sent.

    python -m lupinmill.lab.scale.load            reads blocks as JSON lines, writes the result of each
    python -m lupinmill.lab.scale.load ADDRESS... runs the bare hop in front of these, prints its address"""

from __future__ import annotations

import asyncio
import random
import selectors
import sys
import time
from collections import deque
from typing import Any

import msgspec

ANSWER_TIMEOUT_S = 3.0  # seconds after which an unanswered call is abandoned
MAX_CONNECTIONS = 400  # concurrent connections; a call without a free one counts as not sent


class Block(msgspec.Struct):
    """Load on one arm of a comparison for some seconds."""

    addresses: list[str]
    rate: float
    seconds: float
    seed: int


class BlockResult(msgspec.Struct):
    """Result of a block. Latencies are in seconds, of handled calls only, from when they were due."""

    asked: int = 0
    handled: int = 0
    denied: int = 0  # 429 or 503
    broken: int = 0
    unanswered: int = 0
    not_sent: int = 0
    p50: float = 0.0
    p99: float = 0.0
    sent_late: float = 0.0  # p99 of the delay in the load generator itself, which every arm includes


def percentile(values: list[float], fraction: float) -> float:
    """The percentile by nearest rank; 0 without values."""
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[max(0, min(len(ranked) - 1, int(-(-fraction * len(ranked) // 1)) - 1))]


class LoadConnection(asyncio.Protocol):
    """A persistent connection with one call at a time."""

    def __init__(self, load: LoadGenerator, address: str) -> None:
        self.load, self.address, self.transport = load, address, None
        self.received, self.due = bytearray(), 0.0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data
        end = self.received.find(b"\r\n\r\n")
        if end < 0:
            return
        head = bytes(self.received[:end]).lower()
        at = head.find(b"content-length:")
        length = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
        if len(self.received) < end + 4 + length:
            return
        del self.received[: end + 4 + length]
        closes = b"connection: close" in head
        self.load.on_answer(self, int(head[9:12]), closes)
        if closes:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.load.on_connection_lost(self)


class LoadGenerator:
    def __init__(self) -> None:
        self.idle: dict[str, deque[LoadConnection]] = {}
        self.open, self.serial = 0, 0
        self.in_flight: set[LoadConnection] = set()
        self.result, self.latencies, self.delays = BlockResult(), [], []

    async def run_block(self, block: Block) -> BlockResult:
        arrivals, choices = random.Random(block.seed), random.Random(block.seed + 1)
        self.result, self.latencies, self.delays = BlockResult(), [], []
        due = time.perf_counter() + 0.02
        end, connecting = due + block.seconds, set()
        while (due := due + arrivals.expovariate(block.rate)) < end:
            wait = due - time.perf_counter()
            if wait > 0 or self.result.asked % 10 == 0:
                await asyncio.sleep(max(0.0, wait))  # lets answers be read, however late the load is
            self.result.asked += 1
            self.delays.append(time.perf_counter() - due)
            address = choices.choice(block.addresses)
            if not self.send(address, due):
                if self.open >= MAX_CONNECTIONS:
                    self.result.not_sent += 1
                    continue
                task = asyncio.create_task(self.connect(address, due))
                connecting.add(task)
                task.add_done_callback(connecting.discard)
        limit = time.perf_counter() + ANSWER_TIMEOUT_S
        while (self.in_flight or connecting) and time.perf_counter() < limit:
            await asyncio.sleep(0.005)
        for connection in list(self.in_flight):
            self.result.unanswered += 1
            self.in_flight.discard(connection)
            connection.transport.abort()
        self.result.p50, self.result.p99 = percentile(self.latencies, 0.5), percentile(self.latencies, 0.99)
        self.result.sent_late = percentile(self.delays, 0.99)
        return self.result

    def send(self, address: str, due: float) -> bool:
        idle = self.idle.setdefault(address, deque())
        while idle:
            connection = idle.pop()
            if not connection.transport.is_closing():
                self.write(connection, due)
                return True
        return False

    def write(self, connection: LoadConnection, due: float) -> None:
        self.serial += 1
        connection.due = due
        self.in_flight.add(connection)
        connection.transport.write(
            b"GET /view HTTP/1.1\r\nHost: site\r\nReq-Id: a%d\r\n"
            b"Req-Kind: view\r\nReq-Deadline: 1.500000\r\n\r\n" % self.serial
        )

    async def connect(self, address: str, due: float) -> None:
        self.open += 1
        host, _, port = address.partition(":")
        try:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(
                lambda: LoadConnection(self, address), host, int(port)
            )
        except OSError:
            self.open -= 1
            self.result.broken += 1
            return
        self.write(connection, due)

    def on_answer(self, connection: LoadConnection, status: int, closes: bool) -> None:
        if connection not in self.in_flight:
            return
        self.in_flight.discard(connection)
        if status == 200:
            self.result.handled += 1
            self.latencies.append(time.perf_counter() - connection.due)
        elif status in (429, 503):
            self.result.denied += 1
        else:
            self.result.broken += 1
        if not closes:
            self.idle[connection.address].append(connection)

    def on_connection_lost(self, connection: LoadConnection) -> None:
        self.open -= 1
        if connection in self.in_flight:
            self.in_flight.discard(connection)
            self.result.broken += 1

    async def run(self) -> None:
        """Reads one block per line and writes its result, until the input ends."""
        loop = asyncio.get_running_loop()
        while line := await loop.run_in_executor(None, sys.stdin.readline):
            result = await self.run_block(msgspec.json.decode(line, type=Block))
            print(msgspec.json.encode(result).decode(), flush=True)


class BareHop(asyncio.Protocol):
    """Forwards bytes between a client and the endpoints, which take turns. Each client has connections of its
    own and one call at a time; HTTP is not parsed."""

    def __init__(self, addresses: list[str]) -> None:
        self.addresses, self.upstreams, self.at = addresses, {}, 0
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.at = (self.at + 1) % len(self.addresses)
        address = self.addresses[self.at]
        if address in self.upstreams:
            self.upstreams[address].write(data)
        else:
            asyncio.ensure_future(self.connect(address, data))

    async def connect(self, address: str, data: bytes) -> None:
        host, _, port = address.partition(":")
        return_path = ReturnPath(self.transport)
        transport, _ = await asyncio.get_running_loop().create_connection(
            lambda: return_path, host, int(port)
        )
        self.upstreams[address] = transport
        transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        for transport in self.upstreams.values():
            transport.close()


class ReturnPath(asyncio.Protocol):
    def __init__(self, client: Any) -> None:
        self.client = client

    def data_received(self, data: bytes) -> None:
        self.client.write(data)


async def serve_bare_hop(addresses: list[str]) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: BareHop(addresses), "127.0.0.1", 0)
    print("%s:%d" % server.sockets[0].getsockname()[:2], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


def main(addresses: list[str]) -> None:
    if addresses:
        asyncio.run(serve_bare_hop(addresses))
        return
    # `select` instead of epoll, whose timeouts are rounded up to whole milliseconds.
    loop = asyncio.SelectorEventLoop(selectors.SelectSelector())
    loop.run_until_complete(LoadGenerator().run())


if __name__ == "__main__":
    main(sys.argv[1:])
