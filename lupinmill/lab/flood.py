"""Load generator and endpoint that are cheap enough not to be the bottleneck of a measurement.

Run as `python -m lupinmill.lab.flood`. It reads one line on standard input, a JSON `LoadSpec` or "serve N".
It writes one JSON line: the results at the end of the load, or the addresses of the N endpoints. The HTTP
reader handles only messages that this program writes."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
MAX_CONNECTIONS = 230  # per load process; a sidecar accepts some 700 at most


class WorkloadLoad(msgspec.Struct):
    """One workload and its share of the load. Times in seconds."""

    name: str
    share: float
    contract: float
    hard_limit: float
    body: int = 0
    keyed: bool = False


class Phase(msgspec.Struct):
    """An open loop of `rate` requests a second, or a closed loop of `clients`."""

    name: str
    seconds: float
    rate: float = 0.0
    clients: int = 0
    measured: bool = True


class LoadSpec(msgspec.Struct):
    address: str
    mixes: list[WorkloadLoad]
    phases: list[Phase]
    start: float  # Unix time
    seed: int = 1
    prefix: str = "f"


class LoadResult(msgspec.Struct):
    """Results of one workload in one phase. Latencies in milliseconds, from when the request was due."""

    phase: str
    workload: str
    seconds: float = 0.0
    asked: int = 0
    handled: int = 0
    in_time: int = 0
    denied: int = 0
    broken: int = 0
    unanswered: int = 0
    not_sent: int = 0  # no connection was free: a limit of the load generator, not of the sidecar
    handled_p50: float = 0.0
    handled_p99: float = 0.0
    denied_p50: float = 0.0
    denied_p99: float = 0.0
    denied_most: float = 0.0


class Tally:
    def __init__(self, phase: str, workload: str, seconds: float) -> None:
        self.result = LoadResult(phase, workload, seconds)
        self.handled = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.denied = HdrHistogram(1, MAX_LATENCY_US, 3)

    def summarize(self) -> LoadResult:
        result = self.result
        for name, histogram in (("handled", self.handled), ("denied", self.denied)):
            if histogram.get_total_count():
                for percentile in (50, 99):
                    setattr(
                        result, f"{name}_p{percentile}", histogram.get_value_at_percentile(percentile) / 1000
                    )
        if self.denied.get_total_count():
            result.denied_most = self.denied.get_max_value() / 1000
        return result


class PendingRequest:
    """A request that is due or under way."""

    __slots__ = ("workload", "tally", "due", "deadline", "done", "connection", "on_done")

    def __init__(
        self, workload: WorkloadLoad, tally: Tally, due: float, on_done: Callable[[], None] | None = None
    ) -> None:
        self.workload, self.tally, self.due, self.deadline = workload, tally, due, due + workload.hard_limit
        self.done, self.on_done = False, on_done
        self.connection: ClientConnection | None = None

    def end(self) -> None:
        """Called once, with any outcome. A client of a closed loop then sends its next request."""
        self.done = True
        if self.on_done is not None:
            asyncio.get_running_loop().call_soon(self.on_done)


class ClientConnection(asyncio.Protocol):
    """A client connection, with one request at a time."""

    def __init__(self, generator: LoadGenerator) -> None:
        self.generator, self.transport, self.request = generator, None, None
        self.buffer = bytearray()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        head = bytes(self.buffer[:end]).lower()
        length_at = head.find(b"content-length:")
        length = int(
            head[
                length_at + 15 : head.find(b"\r\n", length_at) if b"\r\n" in head[length_at:] else end
            ].strip()
            or 0
        )
        if len(self.buffer) < end + 4 + length:
            return
        del self.buffer[: end + 4 + length]
        request, self.request = self.request, None
        closes = b"connection: close" in head
        if closes and self.transport is not None:
            self.transport.close()
        self.generator.answered(self, request, int(head[9:12]), closes)

    def connection_lost(self, error: Exception | None) -> None:
        request, self.request = self.request, None
        self.generator.connection_lost(self, request)


class LoadGenerator:
    def __init__(self, spec: LoadSpec) -> None:
        self.spec, self.random_source, self.sent_count = spec, random.Random(spec.seed), 0
        self.idle: deque[ClientConnection] = deque()
        self.open_count = 0
        self.tallies: dict[tuple[str, str], Tally] = {}
        self.pending: deque[PendingRequest] = deque()
        self.closed: dict[str, bool] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def tally(self, phase: Phase, workload: WorkloadLoad) -> Tally:
        key = (phase.name, workload.name)
        if key not in self.tallies:
            self.tallies[key] = Tally(phase.name, workload.name, phase.seconds)
        return self.tallies[key]

    def draw_workload(self) -> WorkloadLoad:
        remaining_share = self.random_source.random() * sum(workload.share for workload in self.spec.mixes)
        for workload in self.spec.mixes:
            remaining_share -= workload.share
            if remaining_share < 0:
                return workload
        return self.spec.mixes[-1]

    def encode_request(self, request: PendingRequest, left_s: float) -> bytes:
        self.sent_count += 1
        workload, request_id = request.workload, f"{self.spec.prefix}{self.sent_count}"
        method = "POST" if workload.keyed else "GET"
        lines = (
            f"{method} /{workload.name} HTTP/1.1\r\nHost: site\r\nReq-Id: {request_id}\r\n"
            f"Req-Kind: {workload.name}\r\n"
        )
        lines += f"Req-Deadline: {max(0.001, left_s):.6f}\r\n"
        if workload.keyed:
            lines += f"Idempotency-Key: k{request_id}\r\nContent-Length: {workload.body}\r\n"
        return lines.encode() + b"\r\n" + b"x" * (workload.body if workload.keyed else 0)

    def send(self, request: PendingRequest) -> None:
        request.tally.result.asked += 1
        while self.idle:
            connection = self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return self.write(connection, request)
        if self.open_count >= MAX_CONNECTIONS:
            request.tally.result.not_sent += 1
            request.end()
            return
        task = asyncio.get_running_loop().create_task(self.connect(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def write(self, connection: ClientConnection, request: PendingRequest) -> None:
        connection.request, request.connection = request, connection
        if connection.transport is not None:
            connection.transport.write(self.encode_request(request, request.deadline - time.time()))
        self.pending.append(request)

    async def connect(self, request: PendingRequest) -> None:
        self.open_count += 1
        host, _, port = self.spec.address.partition(":")
        try:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(lambda: ClientConnection(self), host, int(port))
        except OSError:
            self.open_count -= 1
            request.tally.result.broken += 1
            request.end()
            return
        self.write(connection, request)

    def answered(
        self, connection: ClientConnection, request: PendingRequest | None, status: int, closes: bool
    ) -> None:
        if not closes:
            self.idle.append(connection)
        if request is None or request.done:
            return
        request.end()
        result, now = request.tally.result, time.time()
        latency_us = max(1, int((now - request.due) * 1e6))
        if status == 200:
            result.handled += 1
            result.in_time += now - request.due <= request.workload.contract
            request.tally.handled.record_value(min(MAX_LATENCY_US, latency_us))
        elif status in (429, 503):
            result.denied += 1
            request.tally.denied.record_value(min(MAX_LATENCY_US, latency_us))
        else:
            result.broken += 1

    def connection_lost(self, connection: ClientConnection, request: PendingRequest | None) -> None:
        self.open_count -= 1
        if request is not None and not request.done:
            request.end()
            request.tally.result.broken += 1

    async def watch_deadlines(self) -> None:
        """Counts requests without an answer at the hard limit as unanswered and aborts their connections."""
        while True:
            now = time.time()
            for _ in range(len(self.pending)):
                request = self.pending.popleft()
                if request.done:
                    continue
                if now < request.deadline + 0.05:
                    self.pending.append(request)
                    continue
                request.end()
                request.tally.result.unanswered += 1
                if request.connection is not None and request.connection.transport is not None:
                    request.connection.transport.abort()
            await asyncio.sleep(0.05)

    async def run(self) -> list[LoadResult]:
        watcher = asyncio.create_task(self.watch_deadlines())
        phase_start = self.spec.start
        await asyncio.sleep(max(0.0, phase_start - time.time()))
        for phase in self.spec.phases:
            await (
                self.closed_loop(phase, phase_start) if phase.clients else self.open_loop(phase, phase_start)
            )
            phase_start += phase.seconds
        await asyncio.sleep(max(workload.hard_limit for workload in self.spec.mixes) + 0.2)
        watcher.cancel()
        return [tally.summarize() for tally in self.tallies.values()]

    async def open_loop(self, phase: Phase, start: float) -> None:
        due, end = start, start + phase.seconds
        while phase.rate > 0:
            due += self.random_source.expovariate(phase.rate)
            if due >= end:
                break
            if (wait := due - time.time()) > 0.001:
                await asyncio.sleep(wait)
            workload = self.draw_workload()
            self.send(PendingRequest(workload, self.tally(phase, workload), due))
            if self.sent_count % 20 == 0:
                await asyncio.sleep(0)  # lets answers be read even if the generator is behind schedule
        await asyncio.sleep(max(0.0, end - time.time()))

    async def closed_loop(self, phase: Phase, start: float) -> None:
        end = start + phase.seconds

        def send_next() -> None:
            now = time.time()
            if now < end:
                workload = self.draw_workload()
                self.send(PendingRequest(workload, self.tally(phase, workload), now, send_next))

        for _ in range(phase.clients):
            send_next()
        await asyncio.sleep(max(0.0, end - time.time()))


class ImmediateEndpoint(asyncio.Protocol):
    """The server side of an endpoint that answers every request at once."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.buffer = bytearray()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head = bytes(self.buffer[:end]).lower()
            length_at = head.find(b"content-length:")
            length = int(head[length_at + 15 :].split(b"\r\n", 1)[0]) if length_at >= 0 else 0
            if len(self.buffer) < end + 4 + length:
                return
            del self.buffer[: end + 4 + length]
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


async def serve(count: int) -> None:
    """Prints the addresses of the endpoints and serves until standard input ends."""
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(ImmediateEndpoint, "127.0.0.1", 0, backlog=1024) for _ in range(count)
    ]
    addresses = ["%s:%d" % server.sockets[0].getsockname()[:2] for server in servers]
    print(msgspec.json.encode(addresses).decode(), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


def main() -> None:
    line = sys.stdin.readline()
    if line.startswith("serve"):
        asyncio.run(serve(int(line.split()[1])))
        return
    results = asyncio.run(LoadGenerator(msgspec.json.decode(line, type=LoadSpec)).run())
    print(msgspec.json.encode(results).decode(), flush=True)


if __name__ == "__main__":
    main()
