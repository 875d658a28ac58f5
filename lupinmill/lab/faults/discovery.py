"""A stand-in for the discovery service, with full lists, watches and the ways in which both can fail."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from random import Random
from typing import Any
from urllib.parse import parse_qs

from lupinmill.lab.faults.connection import (
    Connection,
    ConnectionCut,
    MalformedMessage,
    read_request,
    wait_for_socket,
)
from lupinmill.lab.faults.records import RunRecords, StatusChange

MAX_WAIT_S = 60.0
REFUSAL_ANSWER = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
UP, IN_PIECES = "up", "in pieces"
# Slow modes in which every call is still answered, except watches in the last one.
LATE, TRICKLED, CROWDED, WATCHES_SILENT = "late", "trickled", "crowded", "watches silent"
SLOW_MODES = (LATE, TRICKLED, CROWDED, WATCHES_SILENT)
MIXED = "late, some refused"
ANSWERING_MODES = (UP, IN_PIECES, *SLOW_MODES, MIXED)
FAILING_MODES = ("down", "silent", "503", "garbage", "bad rows", "nothing", "endless")
LATE_ANSWER_S = 4.0  # delay of a late answer
TRICKLE_PAUSE_S, TRICKLE_PIECES = 0.7, 5  # pause between two pieces of an answer, and their number
CROWDED_ROUND_S = 1.8  # time in which the single worker serves one call of each sidecar
REFUSED_SHARE = 0.2  # of calls that are refused or reset in the mixed mode


class Discovery:
    """The discovery service of one customer, with two addresses for each sidecar. `mode` is its current
    behaviour; `set_mode` ends open watches."""

    def __init__(self, customer: str, host: str, records: RunRecords) -> None:
        self.customer, self.host, self.records = customer, host, records
        self.rows: dict[str, dict[str, Any]] = {}
        self.deleted: dict[str, tuple[int, dict[str, Any]]] = {}
        self.versions: dict[str, int] = {}
        self.index, self.mode = 1, UP
        self.reachable_since: float | None = time.time()
        self.history: list[tuple[float, dict[str, Any]]] = []  # each list, and until when it was the newest
        self.changed = asyncio.Event()
        self.worker_lock = asyncio.Lock()  # in the crowded mode calls are served one at a time
        self.random = Random(f"{customer} discovery")
        self.sockets: list[socket.socket] = []
        self.tasks: set[asyncio.Task[None]] = set()
        records.status_changes[customer], records.reachable_spans[customer] = [], []
        records.discovery_modes[customer] = [(time.time(), UP)]

    def reserve_addresses(self) -> list[str]:
        """Opens the two addresses of a sidecar, one of which its configuration names at a time."""
        sockets = [listening_socket(self.host) for _ in range(2)]
        self.sockets += sockets
        return [socket_address(sock) for sock in sockets]

    def change(self, name: str, /, **values: Any) -> None:
        """Changes the row of an endpoint; the status DELETED removes it."""
        row = self.rows.get(name, {}) | values
        self.history.append((time.time(), self.full_list()))
        self.index += 1
        self.versions[name] = self.index
        if row["status"] == "DELETED":
            self.rows.pop(name, None)
            self.deleted[name] = (self.index, row)
        else:
            self.rows[name] = row
            self.deleted.pop(name, None)
        self.records.status_changes[self.customer].append(StatusChange(time.time(), name, row["status"]))
        self.wake_watches()

    def full_list(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.rows.values())}

    def full_list_at(self, at: float) -> dict[str, Any]:
        """The whole list as it was then, in Unix seconds."""
        return next((table for until, table in self.history if until > at), self.full_list())

    def wake_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def set_mode(self, mode: str) -> None:
        if mode == self.mode:
            return
        if mode not in ANSWERING_MODES:
            self.end_reachable_span()
        elif self.reachable_since is None:
            self.reachable_since = time.time()
        self.mode = mode
        self.records.discovery_modes[self.customer].append((time.time(), mode))
        if mode == "silent":
            return  # open watches stay open, without an answer
        self.wake_watches()
        if mode not in ANSWERING_MODES:
            for task in list(self.tasks):
                task.cancel()

    def end_reachable_span(self) -> None:
        if self.reachable_since is not None:
            self.records.reachable_spans[self.customer].append((self.reachable_since, time.time()))
            self.reachable_since = None

    async def run(self) -> None:
        try:
            await asyncio.gather(*(self.accept(sock) for sock in self.sockets))
        finally:
            self.end_reachable_span()
            for sock in self.sockets:
                sock.close()
            for task in list(self.tasks):
                task.cancel()

    async def accept(self, listener: socket.socket) -> None:
        while True:
            await wait_for_socket(listener, False)
            try:
                sock, _ = listener.accept()
            except OSError:
                continue
            if self.mode == "down":
                Connection(sock).close(reset=True)
                continue
            task = asyncio.create_task(self.serve(Connection(sock), socket_address(listener)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def serve(self, connection: Connection, address: str) -> None:
        try:
            while (message := await read_request(connection)) is not None:
                target = message.start_line.split(b" ")[1].decode("latin-1")
                path, _, query = target.partition("?")
                if path != "/v1/endpoints" or not message.start_line.startswith(b"GET "):
                    raise MalformedMessage(f"not a call of discovery: {message.start_line[:80]!r}")
                self.records.discovery_calls.setdefault(address, []).append(time.time())
                if await self.answer(connection, {key: values[0] for key, values in parse_qs(query).items()}):
                    self.records.discovery_answers.setdefault(address, []).append(time.time())
        except (ConnectionCut, OSError):
            pass
        except MalformedMessage as error:
            self.records.unexpected.append((self.customer, f"discovery: {error}"))
        finally:
            connection.close()

    async def answer(self, connection: Connection, query: dict[str, str]) -> bool:
        """True if a list was written whole."""
        if self.mode == MIXED and self.random.random() < REFUSED_SHARE:
            await self.refuse(connection)
        elif self.mode in ANSWERING_MODES:
            await self.answer_list(connection, query)
            return True
        elif self.mode == "503":
            await connection.send(REFUSAL_ANSWER)
        elif self.mode == "garbage":
            await connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"index":')
        elif self.mode == "bad rows":
            await connection.send(encode_answer(self.malformed_list()))
        elif self.mode == "nothing":
            await connection.send(encode_answer({"index": None, "snapshot": True, "endpoints": None}))
        elif self.mode == "endless":
            await connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                await connection.send(b"1\r\n \r\n")
                await asyncio.sleep(0.05)
        else:
            await asyncio.sleep(MAX_WAIT_S)
        return False

    async def refuse(self, connection: Connection) -> None:
        """Resets the connection or answers 503."""
        if self.random.random() < 0.5:
            connection.close(reset=True)
            raise ConnectionCut(reset=True)
        await connection.send(REFUSAL_ANSWER)

    async def answer_list(self, connection: Connection, query: dict[str, str]) -> None:
        if self.mode == CROWDED:
            async with self.worker_lock:  # a caller that has given up meanwhile takes its turn as well
                await asyncio.sleep(2 * CROWDED_ROUND_S / len(self.sockets))
        if self.mode == WATCHES_SILENT and "index" in query:
            await asyncio.sleep(MAX_WAIT_S)
        if "index" in query:
            index, wait = int(query["index"]), min(MAX_WAIT_S, int(query.get("wait", "0")) / 1000)
            if index >= self.index:
                try:
                    async with asyncio.timeout(wait):
                        await self.changed.wait()
                except TimeoutError:
                    pass
                if self.mode not in ANSWERING_MODES:
                    await asyncio.sleep(MAX_WAIT_S)
            table = self.changes_since(index)
        else:
            table = self.full_list()
        data = encode_answer(table, indented=self.mode == IN_PIECES)
        if self.mode in (LATE, MIXED):
            await asyncio.sleep(LATE_ANSWER_S)
        if self.mode == IN_PIECES:
            await self.send_in_pieces(connection, data, 7, 0.01)
        elif self.mode == TRICKLED:
            await self.send_in_pieces(connection, data, TRICKLE_PIECES, TRICKLE_PAUSE_S)
        else:
            await connection.send(data)

    async def send_in_pieces(self, connection: Connection, data: bytes, pieces: int, pause: float) -> None:
        step = max(1, -(-len(data) // pieces))
        for offset in range(0, len(data), step):
            if offset:
                await asyncio.sleep(pause)
            await connection.send(data[offset : offset + step])

    def changes_since(self, index: int) -> dict[str, Any]:
        rows = [row for name, row in self.rows.items() if self.versions[name] > index]
        rows += [row for version, row in self.deleted.values() if version > index]
        return {"index": self.index, "snapshot": False, "endpoints": rows}

    def malformed_list(self) -> dict[str, Any]:
        """A list of valid rows and one malformed row."""
        bad: list[Any] = [
            {"name": None, "address": "127.0.0.1:1", "status": "SERVING"},
            {"name": "no-address", "status": "SERVING"},
            {"name": "odd", "address": "127.0.0.1:1", "status": "RESTING", "weight": "heavy"},
            {"name": "no-number", "address": "nowhere", "status": "SERVING", "since_ms": "long ago"},
            "no row at all",
        ]
        chosen = bad[self.index % len(bad)]
        return {"index": self.index, "snapshot": True, "endpoints": [*self.rows.values(), chosen]}


def socket_address(sock: socket.socket) -> str:
    return "%s:%d" % sock.getsockname()


def listening_socket(host: str) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, 0))
    sock.listen(256)
    sock.setblocking(False)
    return sock


def encode_answer(table: dict[str, Any], indented: bool = False) -> bytes:
    body = json.dumps(table, indent=2 if indented else None).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )


def draw_slow_modes(random: Random, seconds: float) -> list[tuple[float, str]]:
    """Draws modes that are slow for most of the time, after a prompt start, with short failures between."""
    modes, start_s = [(0.0, UP)], random.uniform(2.0, 8.0)
    while start_s < seconds:
        modes.append((round(start_s, 2), random.choice((*SLOW_MODES, MIXED))))
        start_s += random.uniform(7.0, 14.0)
        modes.append((round(start_s, 2), random.choice((UP, IN_PIECES, "down", "silent", "503"))))
        start_s += random.uniform(0.5, 4.0)
    return modes


def draw_modes(random: Random, seconds: float) -> list[tuple[float, str]]:
    """Draws the times of mode changes and the modes. Most of the time discovery answers, if slowly."""
    calm = (UP, IN_PIECES)
    modes = [(0.0, random.choice(calm) if random.random() < 0.8 else random.choice((*calm, *FAILING_MODES)))]
    start_s = 0.0
    while True:
        start_s += random.uniform(1.0, 4.0) if modes[-1][1] in FAILING_MODES else random.uniform(4.0, 11.0)
        if start_s >= seconds:
            return modes
        was_calm = modes[-1][1] in calm
        modes.append(
            (round(start_s, 2), random.choice((*FAILING_MODES, *SLOW_MODES, MIXED) if was_calm else calm))
        )
