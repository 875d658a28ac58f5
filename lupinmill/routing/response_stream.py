"""A response in transit. The attempt that received it lends its connection to the client's task, which reads
part after part, and waits until that is finished. One part is in memory at a time, so a slow client delays
only its own stream."""

from __future__ import annotations

import anyio

from lupinmill import terms as t
from lupinmill.protocol.http import MAX_BUFFERED_BODY, Garbled
from lupinmill.routing.response_reader import ResponseReader

MAX_PAUSE_S = 10.0  # seconds without a byte after which an endpoint is considered stalled
# The same for a response that may still be short, from its client's deadline on. Endpoints stand still for
# half a second, beside the gaps between their pieces; clients take the rest for held back after two seconds.
MAX_LATE_PAUSE_S = 1.8
MAX_WAIT_FOR_BODY_S = 1.0  # likewise, from the head to the first byte of the body
LATE_GRACE_S = 0.4  # seconds after that deadline for which any response that has not stalled is waited for
# Bytes per second. A response that may still be short and is slower after that grace counts as endless.
MIN_RATE = 1_024


class IncompleteResponse(Exception):
    """The rest of the response does not arrive, or not as announced."""


class ResponseStream:
    """`due_at`: the client's deadline, by the event loop's clock, if the response was begun before it was
    known to be large."""

    def __init__(self, reader: ResponseReader, attempt: object, due_at: float | None = None) -> None:
        self.connection, self.side, self.attempt = reader.connection, reader.side, attempt
        self.on_bytes = reader.on_bytes
        self.due_at, self.last_byte_at = due_at, reader.last_byte_at or anyio.current_time()
        self.head_at = reader.head_at or self.last_byte_at
        self.lent, self.finished = anyio.Event(), anyio.Event()
        self.broken = False  # the attempt ended before it lent its connection
        self.outcome = t.Outcome.CALLED_OFF  # default: the client's task was cancelled

    def lend(self, broken: bool = False) -> None:
        """The attempt no longer reads from its connection."""
        if not self.lent.is_set():
            self.broken = broken
            self.lent.set()

    async def next_part(self) -> bytes:
        """Returns the next part, empty at the end."""
        if not self.lent.is_set():
            await self.lent.wait()
        try:
            while not (data := self.side.take()):
                if self.side.over:
                    self.outcome = t.Outcome.HANDLED
                    return b""
                if self.broken:
                    raise ConnectionResetError("the connection to the endpoint broke")
                self.side.feed(await self.receive())
                self.last_byte_at = anyio.current_time()
                self.on_bytes()
            return data
        except Garbled as error:
            self.outcome = t.Outcome.SPOILT
            raise IncompleteResponse(str(error)) from error
        except TimeoutError as error:
            self.outcome = t.Outcome.SPOILT
            raise IncompleteResponse("the endpoint stopped sending before the end of the response") from error
        except OSError as error:
            self.outcome = t.Outcome.RESET
            raise IncompleteResponse(str(error)) from error

    async def receive(self) -> bytes:
        """Returns the next bytes, empty at the end. Raises TimeoutError if nothing came in time, which takes
        one more look: while the event loop was blocked past the limit, bytes may have arrived."""
        with anyio.move_on_after(self.gives_up_at() - anyio.current_time()):
            return await self.connection.receive()
        data = self.connection.read()
        if data is None:
            raise TimeoutError
        return data

    def gives_up_at(self) -> float:
        """Until when the next byte is waited for. A response that may be short has to end soon after its
        client's deadline, unless its endpoint still gives it: one that stands still can't be told from one
        that has stopped until the longest pause is over."""
        if self.due_at is None or self.side.size > MAX_BUFFERED_BODY:
            return self.last_byte_at + MAX_PAUSE_S
        stalled_at = self.last_byte_at + (MAX_LATE_PAUSE_S if self.side.size else MAX_WAIT_FOR_BODY_S)
        if stalled_at <= self.due_at:
            return self.due_at
        grace_ends_at = self.due_at + LATE_GRACE_S
        return max(grace_ends_at, stalled_at) if self.is_fast_enough() else grace_ends_at

    def is_fast_enough(self) -> bool:
        return self.side.size >= MIN_RATE * (self.last_byte_at - self.head_at)

    def finish(self) -> None:
        """Returns the connection to the attempt."""
        self.finished.set()
