"""Stand-ins for endpoints, which record each complete request and then give a random answer, faulty or not.

The answer depends only on the seed of the run, the endpoint, the request id and the number of the attempt, so
that a replay draws the same one in any order of arrival."""

from __future__ import annotations

import asyncio
import socket
import time
from random import Random

from lupinmill.lab.faults import slow_answers
from lupinmill.lab.faults.connection import (
    TCP_ESTABLISHED,
    TIMESTAMP_OPTION,
    Connection,
    ConnectionCut,
    MalformedMessage,
    Message,
    read_body,
    read_head,
    wait_for_socket,
)
from lupinmill.lab.faults.records import READING_LATE, Attempt, RunRecords

PROBE_PATHS = (b"/health", b"/status/load")
HANG_S = 30.0
SECOND_ANSWER_AFTER_S, SECOND_ANSWER_WITHIN_S = 0.008, 0.012  # between two answers to one request
SYN_RETRY_S = 2.0  # after a delay, time in which kernels retransmit what was dropped
LARGE_BODY_BYTES = (70_000, 200_000)
# Faults of an endpoint's answers, and of its connections.
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
# For clients that read late, in place of the above: the share of their requests, and which.
SLOW_SHARE = 0.25  # of all answers, where some are given slowly
LATE_READER_SHARE, LATE_READER_BEHAVIOURS = 0.4, ("large", "large", "large, cut")
CONNECTION_FAULTS = ("reset at once", "silent", "cut at a byte")


class Endpoint:
    """The server of one endpoint. `fault_share` is the share of its answers that are faulty."""

    def __init__(
        self,
        customer: str,
        row: dict,
        host: str,
        seed: str,
        fault_share: float,
        idle_timeout_s: float,
        probes_allowed: bool,
        records: RunRecords,
        gives_slowly: bool = False,
    ) -> None:
        self.customer, self.row, self.seed, self.fault_share = customer, row, seed, fault_share
        self.idle_timeout_s, self.probes_allowed, self.records = idle_timeout_s, probes_allowed, records
        self.gives_slowly = gives_slowly
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setsockopt(socket.SOL_SOCKET, TIMESTAMP_OPTION, 1)  # inherited by accepted connections
        self.listener.bind((host, 0))
        self.address = "%s:%d" % self.listener.getsockname()
        self.backlog = 256
        self.listener.listen(self.backlog)
        self.listener.setblocking(False)
        self.attempt_counts: dict[bytes, int] = {}
        self.connection_count = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.accept_enabled = asyncio.Event()
        self.accept_enabled.set()

    @property
    def name(self) -> str:
        return self.row["name"]

    async def run(self) -> None:
        try:
            while True:
                await self.accept_enabled.wait()
                await wait_for_socket(self.listener, False)
                self.accept_all()
        finally:
            self.listener.close()
            for task in list(self.tasks):
                task.cancel()

    def accept_all(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            task = asyncio.create_task(self.serve(Connection(sock)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def delay_connections(self, seconds: float) -> None:
        """Accepts no connections for so long, with a backlog too short for those that arrive."""
        self.accept_enabled.clear()
        begin = time.time()
        spans = self.records.late_spans.setdefault(self.name, [])
        spans.append((begin, float("inf")))
        self.listener.listen(1)
        await asyncio.sleep(seconds)
        self.listener.listen(self.backlog)
        self.accept_enabled.set()
        spans[spans.index((begin, float("inf")))] = (begin, time.time() + SYN_RETRY_S)

    async def serve(self, connection: Connection) -> None:
        self.connection_count += 1
        random = Random(f"{self.seed} {self.name} connection {self.connection_count}")
        fault = random.choice(CONNECTION_FAULTS) if random.random() < self.fault_share / 6 else ""
        try:
            if fault == "reset at once":
                connection.close(reset=True)
            elif fault == "silent":
                await asyncio.sleep(HANG_S)
            elif fault == "cut at a byte":
                await self.cut_at(connection, random.randint(1, 400))
            else:
                while await self.serve_one(connection):
                    pass
        except (ConnectionCut, OSError, TimeoutError):
            pass
        except MalformedMessage as error:
            self.records.unexpected.append((self.customer, f"{self.name} read no request: {error}"))
        finally:
            connection.close()

    async def cut_at(self, connection: Connection, count: int) -> None:
        """Resets the connection after so many bytes, if they arrive before the end of a head."""
        while len(connection.buffer) < count:
            if b"\r\n\r\n" in connection.buffer:
                return
            if not await connection.read_more():
                return
        connection.close(reset=True)

    async def serve_one(self, connection: Connection) -> bool:
        """Serves one request. True if the connection can be used further."""
        async with asyncio.timeout(self.idle_timeout_s):
            message = await read_head(connection)
        if message is None:
            return False
        method, _, rest = message.start_line.partition(b" ")
        target, _, version = rest.rpartition(b" ")
        if version != b"HTTP/1.1":
            raise MalformedMessage(f"request line {message.start_line[:80]!r}")
        if target in PROBE_PATHS and not message.values(b"req-id"):
            return await self.probe(connection, target)
        request_id = message.value(b"req-id")
        attempt_number = self.attempt_counts[request_id] = self.attempt_counts.get(request_id, 0) + 1
        random = Random(f"{self.seed} {self.name} {request_id!r} {attempt_number}")
        behaviour = random.choice(BEHAVIOURS) if random.random() < self.fault_share else "well"
        if self.is_read_late(request_id) and random.random() < LATE_READER_SHARE:
            behaviour = random.choice(LATE_READER_BEHAVIOURS)
        elif self.gives_slowly and random.random() < SLOW_SHARE:
            behaviour = "slowly"
        if behaviour == "early error" and message.value(b"content-length") not in (b"", b"0"):
            await connection.send(
                b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
            return False
        await read_body(connection, message, False)
        attempt = self.record_attempt(message, method, target)
        if connection.tcp_state() != TCP_ESTABLISHED:
            attempt.timestamps_valid = False
            attempt.last_byte_at = min(attempt.last_byte_at, connection.last_data_at())
        if behaviour == "well":
            await asyncio.sleep(random.choice((0, 0.002, 0.02, 0.1)))
        return await self.answer(connection, attempt, behaviour, random)

    def is_read_late(self, request_id: bytes) -> bool:
        sent = self.records.requests.get(request_id)
        return sent is not None and sent.description == READING_LATE

    async def probe(self, connection: Connection, target: bytes) -> bool:
        if not self.probes_allowed:
            self.records.unexpected.append((self.customer, f"{self.name} got a probe that is not allowed"))
        body = b"waiting=1,cpu=0.5"
        await connection.send(
            b"HTTP/1.1 200 OK\r\nSrv-Load: %b\r\nContent-Length: %d\r\n\r\n%b" % (body, len(body), body)
        )
        return True

    def record_attempt(self, message: Message, method: bytes, target: bytes) -> Attempt:
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
            first_byte_at=message.first_byte_at,
            last_byte_at=message.last_byte_at,
        )
        self.records.attempts.append(attempt)
        return attempt

    def make_body(self, attempt: Attempt, random: Random, size: int = 0) -> bytes:
        request_id = attempt.ids[0] if attempt.ids else b"-"
        body = b"%b made this for %b, %08x;" % (self.name.encode(), request_id, random.getrandbits(32))
        if size:
            body += random.randbytes(size)
        attempt.answer_body = body
        return body

    async def answer(self, connection: Connection, attempt: Attempt, behaviour: str, random: Random) -> bool:
        if behaviour in ("declined", "declined 504"):
            attempt.declined = True
            status = b"503" if behaviour == "declined" else b"504"
            await connection.send(b"HTTP/1.1 %b No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n" % status)
            return True
        if behaviour == "error":
            await connection.send(b"HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\nerror")
            return True
        if behaviour == "hang":
            await asyncio.sleep(HANG_S)
            return False
        if behaviour in ("reset", "close"):
            await asyncio.sleep(random.choice((0, 0.01, 0.3)))
            connection.close(reset=behaviour == "reset")
            return False
        if behaviour == "garbage":
            await connection.send(
                random.choice((b"200 fine, thanks\r\n\r\n", b"\x00\xff\x80" * 40, b"HTTP/1.1 two OK\r\n\r\n"))
            )
            return False
        return await self.answer_made(connection, attempt, behaviour, random)

    async def answer_made(
        self, connection: Connection, attempt: Attempt, behaviour: str, random: Random
    ) -> bool:
        """Sends an answer of 200, complete or not."""
        if behaviour == "slowly":
            return await self.answer_slowly(connection, attempt, random)
        body = self.make_body(
            attempt, random, random.choice(LARGE_BODY_BYTES) if behaviour.startswith("large") else 0
        )
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        if behaviour == "ahead of it 103":
            answer = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer
        elif behaviour.startswith("chunked"):
            middle = len(body) // 2
            answer = (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n%x;a=b\r\n%b\r\n0\r\n\r\n"
                % (
                    middle,
                    body[:middle],
                    len(body) - middle,
                    body[middle:],
                )
            )
        elif behaviour == "close behind it":
            answer = answer.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)
        if behaviour in ("well", "ahead of it 103", "chunked", "large"):
            await connection.send(answer)
            attempt.answer_complete = True
            return True
        if behaviour == "close behind it":
            await connection.send(answer)
            return False
        if behaviour in ("twice", "twice, late"):
            return await self.answer_twice(connection, answer, behaviour == "twice, late")
        if behaviour == "in drops":
            for offset in range(len(answer)):
                await connection.send(answer[offset : offset + 1])
                await asyncio.sleep(0.001)
            return True
        if behaviour.startswith("no length"):
            await connection.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
            await connection.send(body if behaviour == "no length, closed" else body[: len(body) // 2])
            connection.close(reset=behaviour == "no length, reset")
            return False
        return await self.answer_cut(connection, answer, behaviour, random)

    async def answer_slowly(self, connection: Connection, attempt: Attempt, random: Random) -> bool:
        answer = slow_answers.draw(random, float(attempt.deadline))
        attempt.given_slowly = True
        attempt.answer_body = self.make_body(attempt, random, answer.size)[: answer.size]
        return await slow_answers.give(connection, attempt, answer)

    async def answer_cut(self, connection: Connection, answer: bytes, behaviour: str, random: Random) -> bool:
        cut = random.randint(1, 12) if behaviour == "half a head" else random.randint(40, len(answer) - 1)
        await connection.send(answer[:cut])
        if behaviour in ("half, then nothing", "half a head"):
            await asyncio.sleep(HANG_S)
        await asyncio.sleep(0.01)
        connection.close(reset=behaviour in ("half, then reset", "large, cut"))
        return False

    async def answer_twice(self, connection: Connection, answer: bytes, late: bool) -> bool:
        """Sends a second answer that belongs to no request. On a busy machine it could arrive so late that it
        cannot be told from the answer to the next request; then it is left out."""
        second = b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nmade for nobody."
        began = time.monotonic()
        await connection.send(answer if late else answer + second)
        if late:
            await asyncio.sleep(SECOND_ANSWER_AFTER_S)
            if time.monotonic() - began > SECOND_ANSWER_WITHIN_S:
                return False
            await connection.send(second)
        return True
