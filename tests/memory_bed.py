"""A real process with a told memory limit, among endpoints and clients that make it hold as much as they can.

The peak is the kernel's own (`VmHWM`), so it can't be missed between two looks."""

from __future__ import annotations

import asyncio
import re
import signal
import socket
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
from bed import settings, wanted

from lupinmill.protocol.http import MAX_HEAD_LINES

ROOT = Path(__file__).parent.parent
CLIENTS = 250  # at once
SOCKETS = 256  # descriptors that the process may use
DEADLINE_S = 2.0  # of each request, ...
ANSWER_WITHIN_S = 8.0  # ... by far enough for its answer, also for a client that had to wait in the queue
LAST_BYTES, LAST_BYTES_AFTER_S = 40, 0.8  # of a body that comes late
SLOW_READ_BYTES, SLOW_READ_S = 1024, 0.02  # an endpoint that reads slowly
SMALL_RECEIVE_BUFFER = 4096  # bytes, of a client or an endpoint that reads late
KIB = 1024


@dataclass(frozen=True)
class Body:
    """The body that each client sends, and how."""

    size: int
    late_end: bool = False  # its last bytes come `LAST_BYTES_AFTER_S` later
    chunked: bool = False


@dataclass
class Outcome:
    """What a process and its clients came to."""

    base_kb: int  # resident before the first client
    peak_kb: int  # the most that was resident
    statuses: Counter[int | None]  # of the answers; None: none came
    exit_code: int | None  # None: it still ran
    log: list[dict[str, Any]] = field(default_factory=list)


def status_kb(pid: int, field_name: str) -> int:
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(rf"{field_name}:\s+(\d+) kB", text)[1])


class Endpoint:
    """`behaviour`: "silent" reads and never answers, "unread" never reads, "slow" reads slowly and never
    answers, "answers" reads and answers with `answer_size` bytes."""

    def __init__(self, behaviour: str, answer_size: int = 0) -> None:
        self.behaviour, self.answer_size = behaviour, answer_size
        self.address = ""

    async def start(self) -> asyncio.Server:
        sock = socket.socket()
        if self.behaviour != "silent":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        sock.bind(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % sock.getsockname()[1]
        return await asyncio.start_server(self.serve, sock=sock, backlog=512, limit=SMALL_RECEIVE_BUFFER)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            if self.behaviour == "unread":
                writer.transport.pause_reading()
                await asyncio.sleep(60)
            elif self.behaviour == "slow":
                while await reader.read(SLOW_READ_BYTES):
                    await asyncio.sleep(SLOW_READ_S)
            elif self.behaviour == "silent":
                while await reader.read(64 * KIB):
                    pass
            else:
                await self.answer_all(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side has gone, or the test is over
        finally:
            writer.close()

    async def answer_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
            if length is not None:
                await reader.readexactly(int(length[1]))
            elif b"chunked" in head.lower():
                await reader.readuntil(b"0\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.answer_size)
            writer.write(b"a" * self.answer_size)
            await writer.drain()


def head_of(name: str, body: Body) -> bytes:
    head = wanted(name, deadline=str(DEADLINE_S))
    framing = b"Transfer-Encoding: chunked" if body.chunked else b"Content-Length: %d" % body.size
    return head.replace(b"Content-Length: 0", framing)


async def read_answer(reader: ClientStream, slowly: bool) -> int | None:
    """The status of a complete answer."""
    head = await reader.read_until(b"\r\n\r\n")
    length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
    remaining = int(length[1]) if length else 0
    while remaining:
        if slowly:
            await asyncio.sleep(SLOW_READ_S)
        data = await reader.read(min(remaining, 8 * KIB if slowly else 64 * KIB))
        if not data:
            return None
        remaining -= len(data)
    return int(head.split(b" ")[1])


class ClientStream:
    """Sends at once what the kernel takes: a new connection on which nothing comes for 0.1 s may be closed
    unread in a crowd, and the event loop of hundreds of clients is later than that on a busy machine."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.received, self.to_send = bytearray(), bytearray()
        self.sending: asyncio.Task[None] | None = None

    def write(self, data: bytes) -> None:
        self.to_send += data
        if self.sending is not None and not self.sending.done():
            return
        try:
            del self.to_send[: self.sock.send(self.to_send)]
        except BlockingIOError:
            pass
        except OSError:
            return  # the reader is told
        if self.to_send:
            self.sending = asyncio.create_task(self.send_rest())

    async def send_rest(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self.to_send:
                data = bytes(self.to_send)
                self.to_send.clear()
                await loop.sock_sendall(self.sock, data)
        except OSError:
            pass  # the reader is told

    async def read(self, size: int) -> bytes:
        """Returns the next bytes, nothing at the end."""
        if not self.received:
            return await asyncio.get_running_loop().sock_recv(self.sock, size)
        data = bytes(self.received[:size])
        del self.received[:size]
        return data

    async def read_until(self, separator: bytes) -> bytes:
        while separator not in self.received:
            data = await asyncio.get_running_loop().sock_recv(self.sock, 16 * KIB)
            if not data:
                raise asyncio.IncompleteReadError(bytes(self.received), None)
            self.received += data
        return await self.read(self.received.index(separator) + len(separator))

    def close(self) -> None:
        if self.sending is not None:
            self.sending.cancel()
        self.sock.close()


def connect(address: str, small_buffer: bool) -> ClientStream:
    host, port = address.split(":")
    sock = socket.socket()
    if small_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
    sock.connect((host, int(port)))
    sock.setblocking(False)
    return ClientStream(sock)


async def one_request(address: str, name: str, body: Body, reads_slowly: bool = False) -> int | None:
    """Sends one request on a connection of its own. Returns its answer's status, None if there is none."""
    stream = None
    try:
        async with asyncio.timeout(ANSWER_WITHIN_S):
            stream = connect(address, reads_slowly)
            stream.write(head_of(name, body))
            late = LAST_BYTES if body.late_end else 0
            write_body(stream, b"z" * (body.size - late), body.chunked)
            if late:
                await asyncio.sleep(LAST_BYTES_AFTER_S)
                write_body(stream, b"z" * late, body.chunked)
            if body.chunked:
                stream.write(b"0\r\n\r\n")
            return await read_answer(stream, reads_slowly)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if stream is not None:
            stream.close()


def write_body(stream: ClientStream, data: bytes, chunked: bool) -> None:
    stream.write(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)


def table_of(endpoint: Endpoint, memory_mb: float | None, **more: Any) -> dict[str, Any]:
    row = {
        "name": "e0", "address": endpoint.address, "zone": "z", "type": "k", "group": 0,
        "status": "SERVING", "weight": 1.0, "since_ms": 0,
    }  # fmt: skip
    limits = {"sockets": SOCKETS}
    if memory_mb is not None:
        limits["memory_mb"] = memory_mb
    told = settings()
    for workload in told["workloads"]:
        workload |= {"hard-limit-s": DEADLINE_S, "contract-time-s": DEADLINE_S}
    return {
        "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1f",
        "limits": limits, "known": {"index": 1, "snapshot": True, "endpoints": [row]}, "settings": told,
    } | more  # fmt: skip


def start(folder: Path, table: dict[str, Any], **environ: str) -> subprocess.Popen[bytes]:
    file = Path(tempfile.mkdtemp(dir=folder)) / "told.json"
    file.write_bytes(orjson.dumps(table))
    return subprocess.Popen(
        [sys.executable, "-m", "lupinmill"],
        cwd=ROOT,
        env={"BALANCER_CONFIG": str(file), "PATH": "/usr/bin:/bin"} | environ,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


Crowd = Callable[[str], Awaitable[list[int | None]]]  # given the address; returns all answers' statuses


async def play(folder: Path, endpoint: Endpoint, memory_mb: float | None, crowd: Crowd) -> Outcome:
    """Runs a process, lets the crowd at it, and ends it."""
    server = await endpoint.start()
    process = start(folder, table_of(endpoint, memory_mb))
    try:
        started = orjson.loads(await asyncio.to_thread(process.stdout.readline))
        base = status_kb(process.pid, "VmRSS")
        statuses = Counter(await crowd(started["listen"]))
        peak = status_kb(process.pid, "VmHWM")
        exit_code = process.poll()
        process.send_signal(signal.SIGKILL)
        output, _ = await asyncio.to_thread(process.communicate)
        log = [orjson.loads(line) for line in output.splitlines()]
        return Outcome(base, peak, statuses, exit_code, [started, *log])
    finally:
        process.kill()
        process.communicate()
        server.close()


async def requests(address: str, bodies: list[Body], reads_slowly: bool = False) -> list[int | None]:
    """All at once, the bodies in turn."""
    return await asyncio.gather(
        *(
            one_request(address, f"s{number}", bodies[number % len(bodies)], reads_slowly)
            for number in range(CLIENTS)
        )
    )


async def beside_idle_ones(address: str, bodies: list[Body], idle: int = 100) -> list[int | None]:
    connections = [connect(address, False) for _ in range(idle)]
    try:
        return await requests(address, bodies)
    finally:
        for stream in connections:
            stream.close()


async def small_requests(address: str, data_of: Callable[[str], bytes]) -> list[int | None]:
    """All at once, each on its connection, which also sends what `data_of` makes of the request's name."""

    async def one(number: int) -> int | None:
        stream = connect(address, False)
        try:
            async with asyncio.timeout(ANSWER_WITHIN_S):
                stream.write(data_of(f"small{number}"))
                return await read_answer(stream, False)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        finally:
            stream.close()

    return await asyncio.gather(*(one(number) for number in range(CLIENTS)))


def with_many_headers(name: str) -> bytes:
    """As many as a head may have, and nearly as many bytes."""
    return with_headers(name, MAX_HEAD_LINES - head_of(name, Body(10)).count(b"\n"), b"b" * 52)


def with_too_many_headers(name: str) -> bytes:
    """As many as fit into the bytes of a head."""
    return with_headers(name, 1650, b"b")


def with_headers(name: str, count: int, value: bytes) -> bytes:
    headers = b"".join(b"a%d:%s\r\n" % (number, value) for number in range(count))
    return head_of(name, Body(10))[:-2] + headers + b"\r\n" + b"z" * 10


def with_much_ahead(name: str) -> bytes:
    """Behind it more than is kept, which is no request."""
    return head_of(name, Body(10)) + b"z" * 10 + b"q" * 100_000
