"""Stand-ins for clients: well-behaved ones, ones that leave early, and malicious ones.

Each request is recorded before its first byte is sent, and its outcome later."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random
from urllib.parse import quote

from lupinmill.lab.faults.connection import (
    Connection,
    ConnectionCut,
    MalformedMessage,
    connect,
    read_answer,
    status_of,
)
from lupinmill.lab.faults.customers import Customer, Workload
from lupinmill.lab.faults.records import (
    HTTP_1_0,
    READING_LATE,
    Answer,
    ConnectionEnd,
    ProcessRecord,
    RunRecords,
    SentRequest,
)

ANSWER_TIMEOUT_S = 8.0  # beyond the deadline of a request, so that a busy machine fails none
CONNECT_TIMEOUT_S = 10.0
CONNECT_AFTER_TERM_S = 0.15  # clients open new connections this long after SIGTERM
CONNECT_IN_DRAIN_S = 0.3  # and this long after the yes to a drain, until the front has noticed
SECOND_ANSWER_WAIT_S = 0.03  # time in which a client looks for a second answer
MAX_REQUESTS = 2_000  # on one connection
LARGE_BODY_BYTES = (3_000, 70_000, 1_300_000)
MALFORMED = (
    "bad request line",
    "space before a colon",
    "two lengths",
    "length and chunks",
    "folded header",
    "length no number",
    "negative length",
    "bad chunk",
    "nul in a header",
    "no id",
    "empty id",
    "no deadline",
    "deadline no number",
    "deadline below zero",
    "unknown class",
    "two classes",
    "endless head",
    "bad chunk, cut",
    "bad version",
    "two ids",
    "two keys",
    "two deadlines",
    "two kinds",
)
CONNECTION_VALUES = (b"Idempotency-Key", b"Req-Id", b"close, Idempotency-Key, req-id", b"Req-Kind")
LATE_READ_BUFFER, LATE_READ_S = 4096, (0.2, 0.6)  # bytes that its kernel takes until a client reads
LEAVE_METHODS = ("close", "reset", "half-close")


class Sidecar:
    """A sidecar as its clients see it: its address and the process that currently listens there."""

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name, self.address = name, address
        self.process: ProcessRecord | None = None
        self.closing = False  # the campaign ends, no further requests are sent
        self.draining_since: float | None = None  # by an operator's call

    def accepts_connections(self) -> bool:
        """Whether a client may open a connection."""
        process = self.process
        if (
            process is None
            or process.ready_at is None
            or process.ended_at is not None
            or process.killed_at is not None
            or self.closing
        ):
            return False
        if self.draining_since is not None and time.time() - self.draining_since > CONNECT_IN_DRAIN_S:
            return False
        return process.terminated_at is None or time.time() - process.terminated_at < CONNECT_AFTER_TERM_S


class Clients:
    """The clients of one sidecar. Each task draws from a random sequence of its own."""

    def __init__(self, customer: Customer, sidecar: Sidecar, seed: str, records: RunRecords) -> None:
        self.customer, self.sidecar, self.seed, self.records = customer, sidecar, seed, records
        self.request_count = 0

    def tasks(self) -> list[Callable[[], object]]:
        kinds = (
            self.ordinary,
            self.ordinary,
            self.ordinary,
            self.staying,
            self.staying,
            self.leaving,
            self.pipelining,
            self.hostile,
            self.odd,
            self.reading_late,
        )
        return [
            lambda index=index, kind=kind: self.run_repeatedly(kind, Random(f"{self.seed} {index}"))
            for index, kind in enumerate(kinds)
        ]

    async def run_repeatedly(self, kind: Callable[[Random], object], random: Random) -> None:
        while not self.sidecar.closing:
            if not self.sidecar.accepts_connections():
                await asyncio.sleep(0.02)
                continue
            try:
                await kind(random)
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(random.uniform(0.01, 0.3))

    # Requests.

    def draw_request(
        self, random: Random, description: str, workload: Workload | None = None, body: int | None = None
    ) -> SentRequest:
        chosen = workload or random.choice(self.customer.workloads)
        self.request_count += 1
        request_id = f"{self.sidecar.name}-{self.request_count}-{random.getrandbits(32):08x}".encode()
        is_get = chosen.effect == "repeatable" and random.random() < 0.7
        size = 0 if is_get else random.choice((0, 1, 200, 200)) if body is None else body
        keyed = chosen.effect == "by_key" and random.random() < 0.9
        query = random.choice((b"", b"?a=1&b=%2F", b"/further/part?q=%C3%A9"))
        process = self.sidecar.process
        assert process is not None
        sent = SentRequest(
            id=request_id,
            customer=self.customer.name,
            process=process,
            workload=chosen.name,
            effect=chosen.effect,
            method=b"GET" if is_get else b"POST",
            target=b"/" + quote(chosen.name).encode() + query,
            body=random.randbytes(size),
            ids=[request_id],
            keys=[b"key-" + request_id] if keyed else [],
            deadline=round(chosen.deadline * random.choice((1, 1, 0.7)), 3),
            description=description,
        )
        self.records.requests[request_id] = sent
        return sent

    def encode_head(
        self,
        sent: SentRequest,
        random: Random,
        extra_headers: tuple[bytes, ...] = (),
        with_length: bool = True,
    ) -> bytes:
        deadline = (
            random.choice((b"%.3f", b"%.6f", b"%.1f") if sent.deadline >= 1 else (b"%.3f",)) % sent.deadline
        )
        sent.deadline = float(deadline)
        lines = [b"%b %b HTTP/1.1" % (sent.method, sent.target), b"Host: app.svc"]
        lines += [b"Req-Id: " + value for value in sent.ids]
        lines += [b"Idempotency-Key: " + value for value in sent.keys]
        lines += [b"Req-Kind: " + sent.workload.encode(), b"Req-Deadline: " + deadline, *extra_headers]
        if with_length and (sent.body or sent.method == b"POST"):
            lines.append(b"Content-Length: %d" % len(sent.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    # Waiting for answers.

    async def open_connection(self, receive_buffer: int | None = None) -> Connection:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await connect(self.sidecar.address, receive_buffer)

    async def receive_answer(self, connection: Connection, sent: SentRequest) -> bool:
        """Records the answer, or why there is none. True if the connection can be used further."""
        if sent.first_on_connection or sent.previous is not None:
            sent.opened_at = connection.opened_at
        try:
            async with asyncio.timeout(None) as timeout:
                timer = asyncio.create_task(self.expire(sent, timeout))
                try:
                    message = await read_answer(connection)
                finally:
                    timer.cancel()
        except TimeoutError:
            sent.finished_at = time.time()
            return False
        except ConnectionCut as error:
            await self.record_end(connection, sent, error.reset)
            if connection.in_message:
                sent.broken_answer = "cut inside an answer"
            return False
        except OSError:
            await self.record_end(connection, sent, True)
            if connection.in_message:
                sent.broken_answer = "reset inside an answer"
            return False
        except MalformedMessage as error:
            sent.finished_at, sent.extra_bytes = time.time(), str(error).encode()
            return False
        if message is None:
            await self.record_end(connection, sent, False)
            return False
        sent.finished_at = time.time()
        closes = b"close" in message.value(b"connection").lower()
        sent.answers.append(
            Answer(connection.received_at, status_of(message), message.body, closes, message.first_byte_at)
        )
        return not closes

    async def record_end(self, connection: Connection, sent: SentRequest, reset: bool) -> None:
        sent.finished_at = time.time()
        was_reset = reset or await connection.was_reset(lambda: sent.process.is_stopped)
        sent.connection_end = ConnectionEnd.RESET if was_reset else ConnectionEnd.CLOSED

    async def expire(self, sent: SentRequest, timeout: asyncio.Timeout) -> None:
        """Ends the wait `ANSWER_TIMEOUT_S` after the deadline, not counting time in which the process was
        stopped."""
        waited_s, last_check = 0.0, time.monotonic()
        while waited_s < sent.deadline + ANSWER_TIMEOUT_S:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            waited_s += 0.0 if sent.process.is_stopped else min(0.2, now - last_check)
            last_check = now
        timeout.reschedule(asyncio.get_running_loop().time())

    async def nothing_follows(self, connection: Connection, sent: SentRequest) -> bool:
        """Checks that nothing follows an answer. False if bytes came or the connection has ended."""
        try:
            async with asyncio.timeout(SECOND_ANSWER_WAIT_S):
                if not connection.buffer and not await connection.read_more():
                    return False
        except TimeoutError:
            return True
        except OSError:
            return False
        sent.extra_bytes = bytes(connection.buffer[:200])
        return False

    # Kinds of clients.

    async def ordinary(self, random: Random) -> None:
        connection = await self.open_connection()
        process = self.sidecar.process
        try:
            for index in range(random.randint(1, 12)):
                if self.sidecar.closing or self.sidecar.process is not process:
                    return
                sent = self.draw_request(random, "ordinary")
                sent.first_on_connection = index == 0
                data = self.encode_head(sent, random) + sent.body
                await connection.send(data)
                sent.written_at = time.time()
                if not await self.receive_answer(connection, sent) or not await self.nothing_follows(
                    connection, sent
                ):
                    return
                await asyncio.sleep(random.choice((0, 0.02, 0.1, 0.3)))
        finally:
            connection.close()

    async def staying(self, random: Random) -> None:
        """Uses one connection for as long as it stays open, even after SIGTERM and until the kill."""
        connection = await self.open_connection()
        try:
            for index in range(MAX_REQUESTS):
                if self.sidecar.closing:
                    return
                sent = self.draw_request(random, "staying")
                sent.first_on_connection = index == 0
                await connection.send(self.encode_head(sent, random) + sent.body)
                sent.written_at = time.time()
                if not await self.receive_answer(connection, sent):
                    return
                await asyncio.sleep(random.choice((0, 0.02, 0.1, 0.8)))
        finally:
            connection.close()

    async def leaving(self, random: Random) -> None:
        """Closes, resets or half-closes the connection at once or soon after sending a request."""
        connection = await self.open_connection()
        try:
            sent = self.draw_request(random, "leaving")
            method = random.choice(LEAVE_METHODS)
            data = self.encode_head(sent, random) + sent.body
            if random.random() < 0.3:  # followed by the first bytes of another request
                data += b"GET /" + quote(sent.workload).encode()
            await connection.send(data)
            sent.written_at = time.time()
            await asyncio.sleep(random.choice((0, 0, 0.001, 0.01, 0.1)))
            if method == "half-close":
                connection.shutdown_send()
                sent.left_at = time.time()
                await self.receive_answer(connection, sent)
            else:
                connection.close(reset=method == "reset")
                sent.left_at = sent.finished_at = time.time()
        finally:
            connection.close()

    async def pipelining(self, random: Random) -> None:
        """Sends several requests at once, split at random places, and reads the answers in order."""
        connection = await self.open_connection()
        try:
            batch = await self.send_pipelined(connection, random, "pipelining")
            await self.receive_pipelined(connection, batch)
        finally:
            connection.close()

    async def reading_late(self, random: Random) -> None:
        """Like `pipelining`, but reads nothing for a while: answers lie in the sidecar's kernel meanwhile,
        also where the connection ends behind them."""
        connection = await self.open_connection(LATE_READ_BUFFER)
        try:
            batch = await self.send_pipelined(connection, random, READING_LATE)
            await asyncio.sleep(random.choice(LATE_READ_S))
            for sent in batch:
                sent.reads_from = time.time()
            await self.receive_pipelined(connection, batch)
        finally:
            connection.close()

    async def send_pipelined(
        self, connection: Connection, random: Random, description: str
    ) -> list[SentRequest]:
        batch = [self.draw_request(random, description) for _ in range(random.randint(2, 4))]
        for index, sent in enumerate(batch):
            sent.first_on_connection = index == 0
            sent.previous = batch[index - 1] if index else None
        empty_lines = random.choice((b"", b"", b"\r\n", b"\r\n\r\n"))
        texts = [self.encode_head(sent, random) + sent.body for sent in batch]
        await self.send_batch(connection, random, batch, texts, empty_lines)
        return batch

    async def receive_pipelined(self, connection: Connection, batch: list[SentRequest]) -> None:
        for index, sent in enumerate(batch):  # noqa: B007
            if not await self.receive_answer(connection, sent):
                break
        for sent in batch[index + 1 :]:  # the connection ended before their answers
            sent.finished_at, sent.connection_end, sent.opened_at = (
                time.time(),
                batch[index].connection_end,
                connection.opened_at,
            )

    async def send_batch(
        self,
        connection: Connection,
        random: Random,
        batch: list[SentRequest],
        texts: list[bytes],
        empty_lines: bytes,
    ) -> None:
        """Sends the requests split at random places, with empty lines between them."""
        data = empty_lines.join(texts)
        cuts = sorted(random.randint(0, len(data)) for _ in range(random.randint(0, 3)))
        request_ends = [
            sum(map(len, texts[: index + 1])) + index * len(empty_lines) for index in range(len(texts))
        ]
        for begin, end in zip([0, *cuts], [*cuts, len(data)]):
            try:
                await connection.send(data[begin:end])
            except OSError:
                return  # answers sent before the close may still be readable
            for sent, request_end in zip(batch, request_ends):
                if begin < request_end <= end:
                    sent.written_at = time.time()
            await asyncio.sleep(random.choice((0, 0.001, 0.02)))

    async def odd(self, random: Random) -> None:
        """Sends a valid but unusual request, or one that it breaks off before its end."""
        kind = random.choice(("cut", "trickling", "expects", "large", "chunked", "absolute", "named", "1.0"))
        workload = random.choice([each for each in self.customer.workloads if each.effect != "repeatable"])
        connection = await self.open_connection()
        try:
            if kind == "cut":
                await self.cut_off(connection, random, workload)
                return
            if kind == "trickling":
                sent = self.draw_request(random, "trickling", workload, 20)
                data = self.encode_head(sent, random) + sent.body
                for offset in range(0, len(data), 12):
                    await asyncio.sleep(0.01)
                    await connection.send(data[offset : offset + 12])
            elif kind == "expects":
                sent = self.draw_request(random, "expects 100", workload, 50)
                await connection.send(self.encode_head(sent, random, (b"Expect: 100-continue",)))
                await asyncio.sleep(0.01)
                await connection.send(sent.body)
            else:
                sent, data = self.encode_odd(kind, random, workload)
                await connection.send(data)
            sent.written_at = time.time()
            await self.receive_answer(connection, sent)
        finally:
            connection.close()

    def encode_odd(self, kind: str, random: Random, workload: Workload) -> tuple[SentRequest, bytes]:
        """An unusual request that is written in one piece, and its bytes."""
        if kind == "large":
            sent = self.draw_request(random, "large", workload, random.choice(LARGE_BODY_BYTES))
            return sent, self.encode_head(sent, random) + sent.body
        if kind == "chunked":
            sent = self.draw_request(random, "chunked", workload, 500)
            head = self.encode_head(sent, random, (b"Transfer-Encoding: chunked",), with_length=False)
            body = b"%x\r\n%b\r\n%X;a=b\r\n%b\r\n0\r\n\r\n" % (100, sent.body[:100], 400, sent.body[100:])
            return sent, head + body
        if kind == "absolute":
            sent = self.draw_request(random, "absolute", workload)
            return sent, self.encode_head(sent, random).replace(b" /", b" http://app.svc/", 1) + sent.body
        if kind == "named":
            # `Connection` names headers needed for identity or safe repeats: to be kept, or refused.
            sent = self.draw_request(random, "named in Connection", workload)
            named = random.choice(CONNECTION_VALUES)
            return sent, self.encode_head(sent, random, (b"Connection: " + named,)) + sent.body
        sent = self.draw_request(random, HTTP_1_0, workload)
        return sent, self.encode_head(sent, random).replace(b"HTTP/1.1", b"HTTP/1.0", 1) + sent.body

    async def cut_off(self, connection: Connection, random: Random, workload: Workload) -> None:
        sent = self.draw_request(random, "cut off", workload, random.choice((10, 3000)))
        data = self.encode_head(sent, random) + sent.body
        await connection.send(data[: random.randint(1, len(data) - 1)])
        await asyncio.sleep(random.choice((0, 0.01, 0.1)))
        if random.random() < 0.5:
            connection.shutdown_send()
            await asyncio.sleep(0.05)
        connection.close(reset=random.random() < 0.5)
        sent.left_at = sent.finished_at = time.time()

    async def hostile(self, random: Random) -> None:
        """Sends a malformed request, whose bytes must not be read as any request by the sidecar."""
        connection = await self.open_connection()
        try:
            kind = random.choice(MALFORMED)
            sent = self.draw_request(random, f"malformed: {kind}")
            sent.effect = "malformed"
            await connection.send(self.encode_malformed(sent, random, kind))
            sent.written_at = time.time()
            await self.receive_answer(connection, sent)
        finally:
            connection.close()

    def encode_malformed(self, sent: SentRequest, random: Random, kind: str) -> bytes:
        sent.method, sent.body = b"POST", b"0123456789"
        head = self.encode_head(sent, random)
        length_line = b"Content-Length: 10"
        id_line, kind_line = b"Req-Id: " + sent.id, b"Req-Kind: " + sent.workload.encode()
        replacements: dict[str, tuple[bytes, bytes]] = {
            "bad request line": (b"POST /", b"PO ST  /"),
            "space before a colon": (b"Host:", b"Host :"),
            "two lengths": (length_line, length_line + b"\r\nContent-Length: 3"),
            "length and chunks": (length_line, length_line + b"\r\nTransfer-Encoding: chunked"),
            "folded header": (length_line, b" : folded\r\n" + length_line + b"\r\n x: y\r\nA\x01b: c"),
            "length no number": (length_line, b"Content-Length: ten"),
            "negative length": (length_line, b"Content-Length: -10"),
            "bad chunk": (length_line, b"Transfer-Encoding: chunked"),
            "bad chunk, cut": (length_line, b"Transfer-Encoding: chunked"),
            "nul in a header": (b"Host: app", b"Host: a\x00pp"),
            "no id": (id_line + b"\r\n", b""),
            "empty id": (id_line, b"Req-Id: "),
            "no deadline": (b"Req-Deadline", b"Req-Other"),
            "deadline no number": (b"Req-Deadline: ", b"Req-Deadline: soon"),
            "deadline below zero": (b"Req-Deadline: ", b"Req-Deadline: -"),
            "unknown class": (kind_line, b"Req-Kind: nobody-knows-it"),
            "two classes": (kind_line, b"Req-Kind: " + self.other_workload(sent)),
            "endless head": (b"Host: app.svc", b"Host: app.svc\r\nX-Pad: " + b"x" * 400_000),
            "bad version": (b"HTTP/1.1", b"HTTP/one"),
            "two ids": (id_line, id_line + b"\r\nReq-Id: another-one"),
            "two keys": (
                id_line,
                id_line + b"\r\nIdempotency-Key: one-key\r\nIdempotency-Key: another-key",
            ),
            "two deadlines": (b"Req-Deadline: ", b"Req-Deadline: 0.7\r\nReq-Deadline: 1"),
            "two kinds": (kind_line, kind_line + b"\r\nReq-Kind: nobody-knows-it"),
        }
        before, after = replacements[kind]
        assert before in head, (kind, head)
        body = b"no size\r\n0\r\n\r\n" if kind == "bad chunk" else sent.body
        return head.replace(before, after, 1) + body

    def other_workload(self, sent: SentRequest) -> bytes:
        return next(
            workload.name for workload in self.customer.workloads if workload.name != sent.workload
        ).encode()
