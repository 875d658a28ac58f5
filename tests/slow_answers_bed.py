"""A real process among endpoints that give long answers in parts, slowly, and clients that keep a record."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
from bed import settings
from memory_bed import start

LOOPBACK = "127.0.0.1"
ANSWER_WITHIN_S = 30.0  # for a whole answer, from the first byte of its request
LATE_S = 0.5  # after its deadline a request without an answer is lost
SMALL_RECEIVE_BUFFER, READ_STEP_S = 4096, 0.05  # bytes, seconds: of an endpoint that reads slowly


@dataclass(frozen=True)
class LumpyAnswer:
    """An answer of `size` bytes in equal parts, the first right behind the head. `framing`: "length",
    "chunked" or "close". After `stops_after` parts nothing more comes, and the connection stays open. The
    endpoint stands still for `still_s` more before each part whose number is in `still_before`."""

    size: int
    parts: int
    gap_s: float
    framing: str
    stops_after: int | None = None
    head_after_s: float = 0.05
    status: int = 200
    still_before: tuple[int, ...] = ()
    still_s: float = 0.0

    def pause_before(self, number: int) -> float:
        return self.gap_s + self.still_s * (number in self.still_before)

    def head(self) -> bytes:
        ends = {
            "length": b"Content-Length: %d" % self.size,
            "chunked": b"Transfer-Encoding: chunked",
            "close": b"Connection: close",
        }[self.framing]
        return b"HTTP/1.1 %d X\r\n%b\r\n\r\n" % (self.status, ends)

    def part(self, number: int, id_: str) -> bytes:
        body = body_of(id_, self.size)
        begin, end = number * self.size // self.parts, (number + 1) * self.size // self.parts
        data = body[begin:end]
        return b"%x\r\n%b\r\n" % (len(data), data) if self.framing == "chunked" else data

    def end(self) -> bytes:
        return b"0\r\n\r\n" if self.framing == "chunked" else b""


def body_of(id_: str, size: int) -> bytes:
    return ((id_.encode() + b".") * (size // (len(id_) + 1) + 1))[:size]


class LumpyEndpoint:
    """Gives every answer as told. `cut`: ids whose connection was closed before all was given; `released`:
    those whose connection was closed after the endpoint had stopped giving."""

    def __init__(self, answer: LumpyAnswer) -> None:
        self.answer = answer
        self.runs: list[str] = []
        self.cut: dict[str, int] = {}  # parts given
        self.released: list[str] = []
        self.address = ""

    async def start(self) -> asyncio.Server:
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        return server

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(int(header(head, "content-length") or 0))
                await self.give(header(head, "req-id"), reader, writer)
                if self.answer.framing == "close":
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side has gone, or the test is over
        finally:
            writer.close()

    async def give(self, id_: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.runs.append(id_)
        await asyncio.sleep(self.answer.head_after_s)
        writer.write(self.answer.head())
        if 0 in self.answer.still_before:
            await asyncio.sleep(self.answer.still_s)
        for number in range(self.answer.parts):
            if number == self.answer.stops_after:
                with suppress(OSError):
                    await reader.read()
                self.released.append(id_)
                raise ConnectionResetError
            writer.write(self.answer.part(number, id_))
            if number < self.answer.parts - 1:
                await asyncio.sleep(self.answer.pause_before(number + 1))
            if reader.at_eof() or writer.transport.is_closing():
                self.cut[id_] = number + 1
                raise ConnectionResetError
        writer.write(self.answer.end())


class EndlessEndpoint(LumpyEndpoint):
    """Gives one byte in a chunk after the other, without end."""

    async def give(self, id_: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.runs.append(id_)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.transport.is_closing():
            writer.write(b"1\r\na\r\n")
            await asyncio.sleep(0.02)
        raise ConnectionResetError


def header(head: bytes, name: str) -> str:
    for line in head.decode("latin-1").split("\r\n"):
        key, _, value = line.partition(":")
        if key.lower() == name:
            return value.strip()
    return ""


@dataclass
class Received:
    """What a client got. Times in seconds from when its request was written."""

    id: str
    status: int | None  # None: no answer
    body: bytes
    whole: bool
    began_s: float
    ended_s: float


async def ask(
    address: str, id_: str, workload: str, deadline_s: float, version: str = "1.1", body: bytes = b""
) -> Received:
    """One request on a connection of its own."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        f"POST /{workload} HTTP/{version}\r\nHost: a\r\nReq-Id: {id_}\r\nReq-Kind: {workload}\r\n"
        f"Req-Deadline: {deadline_s}\r\nIdempotency-Key: k{id_}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    began = time.monotonic()
    received = Received(id_, None, b"", False, 0.0, 0.0)
    try:
        writer.write(head.encode() + body)
        async with asyncio.timeout(ANSWER_WITHIN_S):
            answer_head = await reader.readuntil(b"\r\n\r\n")
            received.began_s = time.monotonic() - began
            received.status = int(answer_head.split(b" ")[1])
            await read_body(reader, answer_head, received)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        received.ended_s = time.monotonic() - began
        writer.close()
    return received


async def read_body(reader: asyncio.StreamReader, head: bytes, received: Received) -> None:
    if length := header(head, "content-length"):
        received.body = await reader.readexactly(int(length))
    elif header(head, "transfer-encoding"):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            received.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        while data := await reader.read(1 << 16):
            received.body += data
    received.whole = True


@dataclass
class Sidecar:
    """A running process and its log."""

    process: subprocess.Popen[bytes]
    address: str
    log: list[dict[str, Any]] = field(default_factory=list)


def table_of(addresses: list[str], memory_mb: float | None = None, **limits: Any) -> dict[str, Any]:
    told = settings()
    told["limits"] |= {"probes": False} | limits
    for workload in told["workloads"]:
        workload |= {"contract-time-s": 1.0, "hard-limit-s": 3.0}
    rows = [
        {"name": f"e{number}", "address": address, "zone": "z", "type": "k", "group": 0,
         "status": "SERVING", "weight": 1.0, "since_ms": 0}
        for number, address in enumerate(addresses)
    ]  # fmt: skip
    return {
        "name": "n1", "listen": f"{LOOPBACK}:0", "discovery": f"{LOOPBACK}:9", "seed": "1f",
        "limits": {"sockets": 256} | ({} if memory_mb is None else {"memory_mb": memory_mb}),
        "known": {"index": 1, "snapshot": True, "endpoints": rows}, "settings": told,
    }  # fmt: skip


@asynccontextmanager
async def sidecar(folder: Path, table: dict[str, Any]) -> AsyncIterator[Sidecar]:
    process = start(folder, table)
    try:
        started = orjson.loads(await asyncio.to_thread(process.stdout.readline))
        running = Sidecar(process, started["listen"], [started])
        yield running
        process.kill()
        output, _ = await asyncio.to_thread(process.communicate)
        running.log += [orjson.loads(line) for line in output.splitlines()]
    finally:
        process.kill()
        process.communicate()


class SlowReader:
    """Reads requests at `rate` bytes a second, and answers each once it has come whole. `runs`: their ids."""

    def __init__(self, rate: int) -> None:
        self.rate, self.address = rate, ""
        self.runs: list[str] = []

    async def start(self) -> asyncio.Server:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        sock.bind((LOOPBACK, 0))
        self.address = "%s:%d" % sock.getsockname()
        return await asyncio.start_server(self.serve, sock=sock, limit=SMALL_RECEIVE_BUFFER)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                remaining = int(header(head, "content-length") or 0)
                while remaining:
                    data = await reader.read(min(remaining, int(self.rate * READ_STEP_S)))
                    if not data:
                        return
                    remaining -= len(data)
                    await asyncio.sleep(len(data) / self.rate)
                self.runs.append(header(head, "req-id"))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side has gone, or the test is over
        finally:
            writer.close()


async def upload(address: str, id_: str, workload: str, deadline_s: float, size: int) -> Received:
    """One large request. `ended_s` counts from when its last byte was written to the connection; no answer
    may come before."""
    host, port = address.split(":")
    loop, sock = asyncio.get_running_loop(), socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * size)
    received = Received(id_, None, b"", False, 0.0, 0.0)
    try:
        async with asyncio.timeout(ANSWER_WITHIN_S):
            await loop.sock_connect(sock, (host, int(port)))
            head = (
                f"POST /{workload} HTTP/1.1\r\nHost: a\r\nReq-Id: {id_}\r\nReq-Kind: {workload}\r\n"
                f"Req-Deadline: {deadline_s}\r\nIdempotency-Key: k{id_}\r\nContent-Length: {size}\r\n\r\n"
            )
            await loop.sock_sendall(sock, head.encode() + b"z" * size)
            written = time.monotonic()
            data = await loop.sock_recv(sock, 1 << 16)
            received.ended_s = time.monotonic() - written
            received.status = int(data.split(b" ")[1]) if data else None
    except (OSError, TimeoutError):
        pass
    finally:
        sock.close()
    return received
