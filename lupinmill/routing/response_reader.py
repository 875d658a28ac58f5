"""Reads the response of one exchange with an endpoint: whole, or up to where its body is taken in parts."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from lupinmill.limits.memory import FREE_ANSWER_BYTES
from lupinmill.protocol.http import Answer, ClientSide
from lupinmill.routing.deadline import Deadline
from lupinmill.transport.buffers import MemoryLease
from lupinmill.transport.connection import Connection

# Seconds that a response of unknown length is collected for; one that still arrives then counts as large. The
# platform allows 2 s in which the rest of a long response is held back.
MAX_COLLECT_S = 1.0


def ignore() -> None:
    """The default callback."""


class ResponseReader:
    """`memory`: leased for what is collected; a response that it has no room for counts as large. `on_stall`:
    see `Deadline.receive`. `on_open_ended` is called once, when the head of a response that tells no length
    has arrived; where it is given, such a response may be taken in parts before its end. `on_bytes` is called
    when part of the response has arrived, and not its end."""

    def __init__(
        self,
        connection: Connection,
        side: ClientSide,
        deadline: Deadline,
        memory: MemoryLease | None = None,
        on_stall: Callable[[], None] = ignore,
        on_open_ended: Callable[[], None] | None = None,
        on_bytes: Callable[[], None] = ignore,
    ) -> None:
        self.connection, self.side, self.deadline = connection, side, deadline
        self.memory, self.leased = memory, FREE_ANSWER_BYTES
        self.on_stall, self.on_open_ended, self.on_bytes = on_stall, on_open_ended, on_bytes
        self.head_at: float | None = None  # when its head had arrived, in seconds of the event loop's clock
        self.last_byte_at: float | None = None  # likewise
        self.interrupted = False

    async def read(self) -> Answer:
        """Returns the complete response, or the head of one whose body is to be taken from `side`. Raises
        OSError and Garbled."""
        arrived = False
        while True:
            self.parse()
            if self.interrupted and self.side.received_answer is not None:
                return self.side.received_answer
            if (answer := self.side.next_answer()) is not None:
                return answer
            if self.side.received_answer is not None and self.is_taken_in_parts():
                return self.side.received_answer
            if arrived and self.side.begun():
                self.on_bytes()
            data = await self.deadline.receive(self.connection, self.side.begun(), self.on_stall)
            arrived = data is not None
            if arrived:
                self.side.feed(data)
                self.last_byte_at = anyio.current_time()

    def figures(self) -> dict[str, int]:
        """For the log, of a response that has begun: bytes of its body so far; milliseconds since its head,
        and since its last byte."""
        now = anyio.current_time()
        return {
            "bytes": self.side.size,
            "begun_ms": round(1000 * (now - (self.head_at or now))),
            "silent_ms": round(1000 * (now - (self.last_byte_at or now))),
        }

    def interrupt(self) -> None:
        """Makes `read` return the head that has arrived, without waiting for more."""
        self.interrupted = True
        self.deadline.interrupt()

    def is_open_ended(self) -> bool:
        """Whether a successful response has begun that another task may take in parts, though it may be
        short."""
        answer = self.side.received_answer
        return (
            self.on_open_ended is not None
            and self.side.open_ended
            and answer is not None
            and answer.status == 200
        )

    def parse(self) -> None:
        side = self.side
        side.advance()
        if self.memory is not None and side.size > self.leased and not side.large:
            if self.memory.grow(side.size - self.leased):
                self.leased = side.size
            else:
                side.max_buffered = 0
        if side.received_answer is not None and self.head_at is None:
            self.head_at = anyio.current_time()
            if self.on_open_ended is not None and self.is_open_ended():
                self.on_open_ended()

    def is_taken_in_parts(self) -> bool:
        if self.side.large:
            return True
        collected_s = (self.last_byte_at or 0.0) - (self.head_at or 0.0)
        return self.is_open_ended() and collected_s >= MAX_COLLECT_S
