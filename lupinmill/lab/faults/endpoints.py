"""Stand-ins for endpoints: each writes down every whole request and then answers as drawn, well or badly.

What is drawn hangs on the run's seed, the request's id and the number of the attempt alone, so that it is the
same in a replay whatever the order of arrival."""

from __future__ import annotations

import asyncio
import socket
import time
from random import Random

from lupinmill.lab.faults.records import Attempt, Records
from lupinmill.lab.faults.wire import (
    TCP_ESTABLISHED,
    TIMESTAMP_OPTION,
    BadMessage,
    Cut,
    Message,
    Wire,
    read_body,
    read_head,
    wait_for_socket,
)

PROBES = (b"/health", b"/status/load")
HANG = 30.0  # seconds
SECOND_AFTER, SECOND_AT_MOST = 0.008, 0.012  # seconds between two answers to one request
COMES_UP = 2.0  # seconds behind a lateness in which the kernels try again what was dropped
LARGE = (70_000, 200_000)  # bytes of a large answer
# What may be wrong with an endpoint's answer, and with its connections.
BEHAVIOURS = (
    "error",
    "declined",
    "declined 504",
    "hang",
    "reset",
    "close",
    "half, then nothing",
    "half, then reset",
    "half, then close",
    "half a head",
    "garbage",
    "twice",
    "twice, late",
    "in drops",
    "ahead of it 103",
    "no length, closed",
    "no length, reset",
    "chunked",
    "chunked, cut",
    "large",
    "large, cut",
    "close behind it",
    "early error",
)
CONNECTION_FAULTS = ("reset at once", "silent", "cut at a byte")


class Endpoint:
    """One endpoint's server. `bad` is the share of its answers that are drawn from the faults."""

    def __init__(
        self,
        customer: str,
        row: dict,
        host: str,
        seed: str,
        bad: float,
        idle: float,
        probes: bool,
        records: Records,
    ) -> None:
        self.customer, self.row, self.seed, self.bad = customer, row, seed, bad
        self.idle, self.probes, self.records = idle, probes, records
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setsockopt(socket.SOL_SOCKET, TIMESTAMP_OPTION, 1)  # what it accepts inherits it
        self.sock.bind((host, 0))
        self.address = "%s:%d" % self.sock.getsockname()
        self.backlog = 256
        self.sock.listen(self.backlog)
        self.sock.setblocking(False)
        self.counts: dict[bytes, int] = {}
        self.connections = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.accepting = asyncio.Event()
        self.accepting.set()

    @property
    def name(self) -> str:
        return self.row["name"]

    async def run(self) -> None:
        try:
            while True:
                await self.accepting.wait()
                await wait_for_socket(self.sock, False)
                self.accept_all()
        finally:
            self.sock.close()
            for task in list(self.tasks):
                task.cancel()

    def accept_all(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            task = asyncio.create_task(self.serve(Wire(sock)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def come_up_late(self, seconds: float) -> None:
        """New connections stay unanswered for so long: they lie in a queue that is too short for them."""
        self.accepting.clear()
        begin = time.time()
        spans = self.records.late.setdefault(self.name, [])
        spans.append((begin, float("inf")))
        self.sock.listen(1)
        await asyncio.sleep(seconds)
        self.sock.listen(self.backlog)
        self.accepting.set()
        spans[spans.index((begin, float("inf")))] = (begin, time.time() + COMES_UP)

    async def serve(self, wire: Wire) -> None:
        self.connections += 1
        random = Random(f"{self.seed} {self.name} connection {self.connections}")
        fault = random.choice(CONNECTION_FAULTS) if random.random() < self.bad / 6 else ""
        try:
            if fault == "reset at once":
                wire.close(reset=True)
            elif fault == "silent":
                await asyncio.sleep(HANG)
            elif fault == "cut at a byte":
                await self.cut_at(wire, random.randint(1, 400))
            else:
                while await self.serve_one(wire):
                    pass
        except (Cut, OSError, TimeoutError):
            pass
        except BadMessage as error:
            self.records.strangers.append((self.customer, f"{self.name} read no request: {error}"))
        finally:
            wire.close()

    async def cut_at(self, wire: Wire, count: int) -> None:
        """Resets the connection once so many bytes have come."""
        while len(wire.buffer) < count:
            if b"\r\n\r\n" in wire.buffer:
                return
            if not await wire.fill():
                return
        wire.close(reset=True)

    async def serve_one(self, wire: Wire) -> bool:
        """One request; True where the connection goes on."""
        async with asyncio.timeout(self.idle):
            message = await read_head(wire)
        if message is None:
            return False
        method, _, rest = message.start.partition(b" ")
        target, _, version = rest.rpartition(b" ")
        if version != b"HTTP/1.1":
            raise BadMessage(f"request line {message.start[:80]!r}")
        if target in PROBES and not message.values(b"req-id"):
            return await self.probe(wire, target)
        name = message.value(b"req-id")
        number = self.counts[name] = self.counts.get(name, 0) + 1
        random = Random(f"{self.seed} {self.name} {name!r} {number}")
        behaviour = random.choice(BEHAVIOURS) if random.random() < self.bad else "well"
        if behaviour == "early error" and message.value(b"content-length") not in (b"", b"0"):
            await wire.send(
                b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
            return False
        await read_body(wire, message, False)
        attempt = self.write_down(message, method, target)
        attempt.stamped = wire.state() == TCP_ESTABLISHED
        if behaviour == "well":
            await asyncio.sleep(random.choice((0, 0.002, 0.02, 0.1)))
        return await self.answer(wire, attempt, behaviour, random)

    async def probe(self, wire: Wire, target: bytes) -> bool:
        if not self.probes:
            self.records.strangers.append((self.customer, f"{self.name} got a probe that is not allowed"))
        body = b"waiting=1,cpu=0.5"
        await wire.send(
            b"HTTP/1.1 200 OK\r\nSrv-Load: %b\r\nContent-Length: %d\r\n\r\n%b" % (body, len(body), body)
        )
        return True

    def write_down(self, message: Message, method: bytes, target: bytes) -> Attempt:
        attempt = Attempt(
            endpoint=self.name,
            group=str(self.row["group"]),
            zone=self.row["zone"],
            customer=self.customer,
            method=method,
            target=target,
            body=message.body,
            ids=message.values(b"req-id"),
            keys=message.values(b"idempotency-key"),
            deadline=message.value(b"req-deadline"),
            first_byte=message.first_byte,
            last_byte=message.last_byte,
        )
        self.records.attempts.append(attempt)
        return attempt

    def made(self, attempt: Attempt, random: Random, size: int = 0) -> bytes:
        name = attempt.ids[0] if attempt.ids else b"-"
        body = b"%b made this for %b, %08x;" % (self.name.encode(), name, random.getrandbits(32))
        if size:
            body += random.randbytes(size)
        attempt.made = body
        return body

    async def answer(self, wire: Wire, attempt: Attempt, behaviour: str, random: Random) -> bool:
        if behaviour in ("declined", "declined 504"):
            attempt.turned_away = True
            status = b"503" if behaviour == "declined" else b"504"
            await wire.send(b"HTTP/1.1 %b No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n" % status)
            return True
        if behaviour == "error":
            await wire.send(b"HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\nerror")
            return True
        if behaviour == "hang":
            await asyncio.sleep(HANG)
            return False
        if behaviour in ("reset", "close"):
            await asyncio.sleep(random.choice((0, 0.01, 0.3)))
            wire.close(reset=behaviour == "reset")
            return False
        if behaviour == "garbage":
            await wire.send(
                random.choice((b"200 fine, thanks\r\n\r\n", b"\x00\xff\x80" * 40, b"HTTP/1.1 two OK\r\n\r\n"))
            )
            return False
        return await self.answer_made(wire, attempt, behaviour, random)

    async def answer_made(self, wire: Wire, attempt: Attempt, behaviour: str, random: Random) -> bool:
        """An answer of 200, whole or not."""
        body = self.made(attempt, random, random.choice(LARGE) if behaviour.startswith("large") else 0)
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        if behaviour == "ahead of it 103":
            whole = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole
        elif behaviour.startswith("chunked"):
            middle = len(body) // 2
            whole = (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n%x;a=b\r\n%b\r\n0\r\n\r\n"
                % (
                    middle,
                    body[:middle],
                    len(body) - middle,
                    body[middle:],
                )
            )
        elif behaviour == "close behind it":
            whole = whole.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)
        if behaviour in ("well", "ahead of it 103", "chunked", "large"):
            await wire.send(whole)
            return True
        if behaviour == "close behind it":
            await wire.send(whole)
            return False
        if behaviour in ("twice", "twice, late"):
            return await self.answer_twice(wire, whole, behaviour == "twice, late")
        if behaviour == "in drops":
            for at in range(len(whole)):
                await wire.send(whole[at : at + 1])
                await asyncio.sleep(0.001)
            return True
        if behaviour.startswith("no length"):
            await wire.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
            await wire.send(body if behaviour == "no length, closed" else body[: len(body) // 2])
            wire.close(reset=behaviour == "no length, reset")
            return False
        return await self.answer_cut(wire, whole, behaviour, random)

    async def answer_cut(self, wire: Wire, whole: bytes, behaviour: str, random: Random) -> bool:
        cut = random.randint(1, 12) if behaviour == "half a head" else random.randint(40, len(whole) - 1)
        await wire.send(whole[:cut])
        if behaviour in ("half, then nothing", "half a head"):
            await asyncio.sleep(HANG)
        await asyncio.sleep(0.01)
        wire.close(reset=behaviour in ("half, then reset", "large, cut"))
        return False

    async def answer_twice(self, wire: Wire, whole: bytes, late: bool) -> bool:
        """The second one says that it was made for nobody. On a busy machine it may come so late that nobody
        can tell it from the next one's answer: then it is left out."""
        second = b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nmade for nobody."
        began = time.monotonic()
        await wire.send(whole if late else whole + second)
        if late:
            await asyncio.sleep(SECOND_AFTER)
            if time.monotonic() - began > SECOND_AT_MOST:
                return False
            await wire.send(second)
        return True
