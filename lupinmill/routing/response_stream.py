"""A response in transit. The attempt that received it lends its connection to the client's task, which reads
part after part, and waits until that is finished. One part is in memory at a time, so a slow client delays
only its own stream."""

from __future__ import annotations

from contextlib import AbstractContextManager

import anyio

from lupinmill import terms as t
from lupinmill.protocol.http import MAX_BUFFERED_BODY, Garbled
from lupinmill.routing.response_reader import ResponseReader

MAX_PAUSE_S = 10.0  # seconds without a byte after which an endpoint is considered stalled
# Seconds that an endpoint may stand still within a response that is still short, though its client's deadline
# is over; seconds after that deadline until which it may in any case; seconds of silence at the deadline
# after which nothing more is waited for.
MAX_SHORT_PAUSE_S, LATE_GRACE_S, MAX_SILENCE_S = 0.5, 0.4, 1.0
MAX_LATE_PAUSE_S = 1.0  # seconds for which it may pause once it has gone on after that deadline
MIN_RATE = 4_096  # bytes per second; a response that is still short after that grace and slower never ends


def fail_at(at: float) -> AbstractContextManager[anyio.CancelScope]:
    """Raises TimeoutError at this time of the event loop's clock."""
    return anyio.fail_after(at - anyio.current_time())


class IncompleteResponse(Exception):
    """The rest of the response does not arrive, or not as announced."""


class ResponseStream:
    """`due_at`: the client's deadline, by the event loop's clock, if the response was begun before it was
    known to be large."""

    def __init__(self, reader: ResponseReader, attempt: object, due_at: float | None = None) -> None:
        self.connection, self.side, self.attempt = reader.connection, reader.side, attempt
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
                with fail_at(self.gives_up_at()):
                    self.side.feed(await self.connection.receive())
                self.last_byte_at = anyio.current_time()
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

    def gives_up_at(self) -> float:
        """Until when the next byte is waited for. A response that may be short has to end soon after its
        client's deadline, unless its endpoint still gives it."""
        if self.due_at is None or self.side.size > MAX_BUFFERED_BODY:
            return self.last_byte_at + MAX_PAUSE_S
        silent_at_deadline = self.due_at - self.last_byte_at >= MAX_SILENCE_S
        if self.last_byte_at > self.due_at and self.is_fast_enough():
            return self.last_byte_at + MAX_LATE_PAUSE_S
        latest = self.due_at + (0.0 if silent_at_deadline else LATE_GRACE_S)
        if not self.is_fast_enough():
            return latest
        return max(latest, self.last_byte_at + MAX_SHORT_PAUSE_S)

    def is_fast_enough(self) -> bool:
        return self.side.size >= MIN_RATE * (self.last_byte_at - self.head_at)

    def finish(self) -> None:
        """Returns the connection to the attempt."""
        self.finished.set()
