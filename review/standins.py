"""Stand-ins for clients, endpoints, discovery and the platform, on loopback addresses and the real clock.

They do what the protocol pages allow, and what each case plants. Everything that they see goes to `Record`."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOOPBACK = "127.0.0.1"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
_ids = itertools.count(1)
_run = f"{os.getpid():x}{time.time_ns():x}"


class CannotRun(Exception):
    """The case could not run: the program did not build, start or become ready."""


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


def new_id() -> str:
    return f"{_run}{next(_ids):x}"


class Record:
    """What was sent, answered and run: a line for each, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file, self.began = open(path, "w"), time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        self(text)
        print(text, flush=True)


@dataclass
class Message:
    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader, on_head: Callable[[], None] | None = None) -> Message | None:
    """A whole message, or None if the connection ends before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    if on_head is not None:
        on_head()
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        while (await reader.readline()).strip():
            pass
    return Message(lines[0], headers, body)


@dataclass
class Run:
    """A request that an endpoint got whole."""

    at: float
    endpoint: str
    id: str
    key: str
    body: int


@dataclass
class Endpoint:
    name: str
    record: Record
    delay: float = 0.03
    zone: str = "z"
    type: str = "k"
    group: int = 0
    status: str = "SERVING"
    since_ms: int = 0
    port: int = 0
    answer: Callable[[Message], bytes] = lambda message: b"ok"
    before_answer: Callable[[Message], Awaitable[None]] | None = None
    runs: list[Run] = field(default_factory=list)
    server: asyncio.Server | None = None
    tasks: set[Any] = field(default_factory=set)

    async def start(self) -> Endpoint:
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                await self.handle(message, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass  # the other side has gone, or the case ends
        finally:
            writer.close()

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if message.start.split(" ")[1] in ("/health", "/status/load"):
            return await self.write(writer, 404, b"")
        id_ = message.headers.get("req-id", "")
        if not id_:
            return await self.write(writer, 404, b"")
        run = Run(self.record.now(), self.name, id_, message.headers.get("idempotency-key", ""), len(message.body))
        self.runs.append(run)
        self.record(f"run {id_} at {self.name}, told {message.headers.get('req-deadline')} s, body {run.body}")
        if self.before_answer is not None:
            await self.before_answer(message)
        else:
            await asyncio.sleep(self.delay)
        await self.write(writer, 200, self.answer(message))

    async def write(self, writer: asyncio.StreamWriter, status: int, body: bytes) -> None:
        writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)
        await writer.drain()

    def row(self, status: str = "") -> dict[str, Any]:
        return {
            "name": self.name,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "type": self.type,
            "group": self.group,
            "status": status or self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }


class Discovery:
    """`late`: seconds by which each answer comes late."""

    def __init__(self, record: Record, endpoints: list[Endpoint]) -> None:
        self.record, self.endpoints = record, endpoints
        self.index, self.late, self.port = 1, 0.0, 0
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.calls = 0

    async def start(self) -> Discovery:
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self.port}"

    def rows(self) -> list[dict[str, Any]]:
        return [endpoint.row() for endpoint in self.endpoints if endpoint.status != "DELETED"]

    def whole(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": self.rows()}

    def set(self, endpoint: Endpoint, status: str) -> None:
        endpoint.status = status
        self.index += 1
        self.changes.append((self.index, endpoint.row()))
        self.record(f"discovery has version {self.index}: {endpoint.name} {status}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                self.calls += 1
                query = dict(
                    part.split("=", 1) for part in message.start.split(" ")[1].partition("?")[2].split("&") if "=" in part
                )
                if "index" in query:
                    since = int(query["index"])
                    if self.index <= since:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.changed.wait(), int(query.get("wait", 0)) / 1000)
                if self.late:
                    await asyncio.sleep(self.late)
                if "index" in query:
                    rows = {row["name"]: row for index, row in self.changes if index > since}
                    table = {"index": self.index, "snapshot": False, "endpoints": list(rows.values())}
                else:
                    table = self.whole()
                body = json.dumps(table).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                self.record(f"discovery answered version {table['index']}, whole {table['snapshot']}")
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass  # the other side has gone, or the case ends
        finally:
            writer.close()


class Platform:
    """Starts sidecars by the deploy file's `run`, and ends all that it started."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.processes: list[subprocess.Popen[bytes]] = []

    def told(self, name: str, listen: str, discovery: str, known: dict[str, Any], settings: dict[str, Any],
             limits: dict[str, Any], operator: str | None = None) -> Path:
        path = self.directory / f"{name}.json"
        table = {"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
                 "limits": limits, "known": known, "settings": settings}
        if operator:
            table["operator"] = operator
        part = path.with_suffix(".part")
        part.write_text(json.dumps(table))
        part.replace(path)
        return path

    def start(self, name: str, listen: str, discovery: str, config: Path, operator: str | None = None) -> subprocess.Popen[bytes]:
        tmp = self.directory / f"tmp-{name}"
        tmp.mkdir(exist_ok=True)
        environ = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "BALANCER_NAME": name, "BALANCER_LISTEN": listen,
                   "BALANCER_DISCOVERY": discovery, "BALANCER_CONFIG": str(config), "TMPDIR": str(tmp)}
        if operator:
            environ["BALANCER_OPERATOR"] = operator
        log = open(self.directory / f"{name}-{len(self.processes)}.log", "wb")
        process = subprocess.Popen(["/bin/sh", "-c", self.run], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.processes.append(process)
        self.record(f"platform started {name} as process {process.pid}")
        return process

    def log_lines(self, at: int) -> list[str]:
        found = sorted(self.directory.glob(f"*-{at}.log"))
        return found[0].read_text().splitlines() if found else []

    def end_processes(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def close(self) -> None:
        self.end_processes()
        if os.environ.get("KEEP"):
            print("kept", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


async def call(address: str, method: str, target: str, timeout: float = 2.0) -> int:
    """One call on a connection of its own; its status, 0 without an answer."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(f"{method} {target} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".encode())
                message = await read_message(reader)
                return 0 if message is None else message.status
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0


async def until_yes(address: str, target: str, limit: float, process: subprocess.Popen[bytes] | None = None) -> float:
    """Waits for a 200; the seconds that it took. Raises CannotRun."""
    began = time.monotonic()
    while time.monotonic() - began < limit:
        if process is not None and process.poll() is not None:
            raise CannotRun(f"the program ended with {process.returncode}")
        if await call(address, "GET", target, 1.0) == 200:
            return time.monotonic() - began
        await asyncio.sleep(0.02)
    raise CannotRun(f"{target} did not say yes within {limit} s")


def head(kind: str, id_: str, deadline: float, key: str = "", length: int | None = None, more: str = "") -> bytes:
    lines = [f"{'POST' if key or length is not None else 'GET'} /{kind} HTTP/1.1", "Host: app.svc", f"Req-Id: {id_}",
             f"Req-Kind: {kind}", f"Req-Deadline: {deadline:.3f}"]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n" + more + "\r\n").encode()


def main(name: str, case: Callable[[Record, Platform], Awaitable[int]], limit: float = 110.0) -> None:
    """Runs a case and exits with its status: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(Path(name).resolve().parent / "record.txt")
    record(f"trouble: {'on' if TROUBLE else 'off'}")
    platform = Platform(record)

    async def bounded() -> int:
        try:
            async with asyncio.timeout(limit):
                return await case(record, platform)
        finally:
            platform.end_processes()
            await asyncio.sleep(0.3)  # for the ends of their connections

    try:
        status = asyncio.run(bounded())
    except Exception as error:  # whatever it is, it says nothing about the rule
        record.say(f"could not run: {type(error).__name__}: {error}")
        status = CANNOT_RUN
    finally:
        platform.close()
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "the case could not run"}[status])
    sys.exit(status)
