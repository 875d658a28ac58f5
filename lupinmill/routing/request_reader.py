"""Reads the requests of client connections: heads, and bodies as far as the memory budget allows."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from lupinmill.limits.memory import REQUEST_MEMORY, head_memory
from lupinmill.protocol.client_requests import time_left_of
from lupinmill.protocol.http import (
    END,
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY,
    Answer,
    Malformed,
    Request,
    ServerSide,
    length_of,
)
from lupinmill.routing.parse_turns import ParseTurns
from lupinmill.routing.request_body import RequestBody
from lupinmill.transport.buffers import MemoryBudget, MemoryLease
from lupinmill.transport.client import Client
from lupinmill.transport.listener import REQUEST_TIMEOUT_S, Listener

# bytes of a body that are buffered before its first attempt, if the memory budget allows
MAX_PRELOADED_BODY = 1024 * 1024
OVERDUE_MARGIN_US = 20_000  # microseconds before a client's deadline, for the answer
MIN_UPLOAD_RATE = 48_000  # bytes per second; a slower upload times out


class BodyOverdue(Exception):
    """The client may have written all of its body so long ago that its deadline is over, and the rest is
    still unread. Nothing can have run."""


class MemoryShortage(Exception):
    """There is no memory for a request that was being read. Nothing was attempted."""


@dataclass(slots=True)
class ReceivedRequest:
    """A request that was read in full, or up to where its body is passed on as it arrives."""

    request: Request
    body: RequestBody | None  # over 64 KiB
    memory: MemoryLease


@dataclass(slots=True)
class ReadDeadline:
    """Time by which a request must be complete, by the event loop's clock."""

    until: float
    credit: float = 0.0  # seconds that the client waited for this process, and that don't count
    expired: bool = False  # the deadline passed, and the bytes that were unread then have been read


class RequestReader:
    """Reads for all clients of a listener. `readiness` returns the answer of a readiness check, which takes
    no memory, and None for any other request."""

    def __init__(
        self,
        listener: Listener,
        readiness: Callable[[Request], Answer | None],
        request_memory: MemoryBudget,
        body_memory: MemoryBudget,
    ) -> None:
        self.listener, self.readiness = listener, readiness
        self.request_memory = request_memory  # for open requests, ...
        self.body_memory = body_memory  # ... and of it for what is kept of bodies over 64 KiB
        self.parse_turns = ParseTurns()

    async def read_request(self, client: Client, side: ServerSide) -> ReceivedRequest | None:
        """Reads the next request, in full or with a body that is still arriving. Returns None if there is
        none. Raises Malformed also if the request times out, and MemoryShortage."""
        part = side.next_part()
        while part is None and not side.begun():
            if not (data := await self.listener.next_bytes(client)):
                return None
            side.feed(data)
            part = await self.next_head(side)
        if part is None:
            # however slowly the bytes arrive
            deadline = ReadDeadline(anyio.current_time() + REQUEST_TIMEOUT_S)
            while part is None:
                if not await self.read_more(client, side, deadline):
                    return None
                part = await self.next_head(side)
        request = side.request
        assert request is not None and part is request
        memory, received = MemoryLease(self.request_memory), None
        try:
            if self.readiness(request) is None:
                require(memory, REQUEST_MEMORY + head_memory(len(request.headers)))
            received = await self.read_body(client, side, request, memory)
            return received
        finally:
            if received is None:
                memory.release()

    async def next_head(self, side: ServerSide) -> Request | None:
        """The next request without its body, if all of its head has arrived."""
        if side.costly():
            await self.take_turn(None)
        part = side.next_part()
        assert part is None or isinstance(part, Request)
        return part

    async def read_body(
        self, client: Client, side: ServerSide, request: Request, memory: MemoryLease
    ) -> ReceivedRequest | None:
        """Reads up to 64 KiB, or up to 1 MiB if the memory budget allows."""
        received, began, time_left = bytearray(), 0.0, time_left_of(request)
        deadline: ReadDeadline | None = None  # most bodies arrive together with their head and need none
        while (part := side.next_part()) is not END and len(received) <= MAX_BUFFERED_BODY:
            if isinstance(part, (bytes, bytearray)):
                require(memory, len(part))
                received += part
                check_in_time(client, time_left)
            else:
                if deadline is None:
                    began = anyio.current_time()
                    deadline = ReadDeadline(began + REQUEST_TIMEOUT_S)
                deadline.until = began + deadline.credit + REQUEST_TIMEOUT_S + side.size / MIN_UPLOAD_RATE
                if not await self.read_more(client, side, deadline):
                    return None
            if side.costly():
                await self.take_turn(deadline)
        if part is END:
            request.body = bytes(received)
            return ReceivedRequest(request, None, memory)
        if isinstance(part, (bytes, bytearray)):
            received += part
        body = RequestBody(self.body_memory, length_of(request.headers))
        try:
            await body.put(bytes(received), False)
            received.clear()
            if body.fully_buffered() and not await self.collect_body(
                client, side, body, MAX_PRELOADED_BODY, time_left
            ):
                body.drop()
                return None
        except BaseException:
            body.drop()
            raise
        return ReceivedRequest(request, body, memory)

    async def collect_body(
        self,
        client: Client,
        side: ServerSide,
        body: RequestBody,
        max_bytes: int,
        time_left: int | None = None,
    ) -> bool:
        """Reads until the end of the body, or until `max_bytes` are buffered or the memory budget is
        exhausted. Time during which no attempt takes the buffered bytes does not count against a slow upload.
        Returns False if the client disconnected. `time_left`: microseconds of the client's deadline, from
        its last byte. Raises BodyOverdue."""
        began, before = anyio.current_time(), side.size
        deadline = ReadDeadline(began + REQUEST_TIMEOUT_S)
        while body.end < max_bytes or max_bytes == MAX_BODY_BYTES:
            part = side.next_part()
            if part is END:
                body.finish()
                return True
            if part is None:
                if not await self.read_more(client, side, deadline):
                    return False
            else:
                asked = anyio.current_time()
                if max_bytes == MAX_BODY_BYTES:
                    await self.put_in_time(client, body, part, time_left)
                else:
                    check_in_time(client, time_left)
                    await body.put(part, has_reader=False)
                deadline.credit += anyio.current_time() - asked
                if max_bytes < MAX_BODY_BYTES and not body.fully_buffered():
                    break
            if side.costly():
                await self.take_turn(deadline)
            allowed = REQUEST_TIMEOUT_S + (side.size - before) / MIN_UPLOAD_RATE
            deadline.until = began + deadline.credit + allowed
        return True

    async def put_in_time(
        self, client: Client, body: RequestBody, part: bytes | bytearray, time_left: int | None
    ) -> None:
        """Waits for room as long as the client may still be writing, or has time left."""
        while True:
            with anyio.move_on_after(check_in_time(client, time_left)):
                await body.put(part)
                return

    async def take_turn(self, deadline: ReadDeadline | None) -> None:
        """Lets other tasks run before more of a costly request is parsed."""
        began = anyio.current_time()
        await self.parse_turns.take()
        if deadline is not None:
            deadline.credit += anyio.current_time() - began

    async def read_more(self, client: Client, side: ServerSide, deadline: ReadDeadline) -> bool:
        """Reads more bytes. Returns False at the end of the stream. After the deadline the bytes that are
        already unread are read once more, because it may be this event loop that was late."""
        data = b""
        with anyio.CancelScope(deadline=deadline.until) as scope:
            if ahead := side.continue_response():
                await client.send(ahead)
            data = await client.receive()
        if scope.cancelled_caught:
            if not deadline.expired:
                deadline.expired, data = True, await client.receive_unread()
            if not data:
                raise Malformed(408, "the request did not come whole in its time")
        if data:
            side.feed(data)
        return bool(data)

    async def read_without_body(
        self, client: Client, side: ServerSide, deadline: ReadDeadline
    ) -> Request | None:
        """Reads a request and drops its body. Returns None if the client disconnected."""
        request: Request | None = None
        while (part := side.next_part()) is not END:
            if isinstance(part, Request):
                request = part
            elif part is None and not await self.read_more(client, side, deadline):
                return None
            if side.costly():
                await self.take_turn(deadline)
        return request


def check_in_time(client: Client, time_left: int | None) -> float:
    """Seconds that the client still waits at least, if the last byte of its body is among the unread ones.
    Raises BodyOverdue if there are none."""
    if time_left is None:
        return math.inf
    remaining = time_left - OVERDUE_MARGIN_US - client.max_elapsed_wait(time_left, incomplete=True)
    if remaining <= 0:
        raise BodyOverdue
    return remaining / 1_000_000


def max_upload_time(body: RequestBody) -> float:
    """Seconds that the rest of an incomplete body may take to arrive."""
    return REQUEST_TIMEOUT_S + ((body.length or MAX_BODY_BYTES) - body.end) / MIN_UPLOAD_RATE


def require(memory: MemoryLease, count: int) -> None:
    """Leases `count` more bytes for a request that is being read. Raises MemoryShortage."""
    if not memory.grow(count):
        raise MemoryShortage


def discard_body(side: ServerSide) -> bool:
    """Drops what has been read of a request's body, up to the parser's limit. Returns True if that was all of
    it."""
    try:
        while (part := side.next_part()) is not None and not side.incoming.interrupted:
            if part is END:
                return True
    except Malformed:
        pass  # the answer closes the connection
    return False
