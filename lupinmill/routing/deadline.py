"""When an attempt at an endpoint ends, even if this process was blocked at that moment."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable

import anyio
import anyio.lowlevel

from lupinmill.transport.connection import Connection

STALL_S = 0.25  # seconds between two parts of a response of up to 64 KiB after which it counts as stalled


class Deadline:
    """The time limit of one attempt, in seconds of the event loop's clock (`anyio.current_time`).

    Until the wait for a response the scope enforces it. From then on `receive` does, which guards against an
    event loop that was blocked past the limit: a response that arrived meanwhile lies unread and is still
    valid, and a decision that was due before the limit is still to come. `before_end` makes it."""

    def __init__(
        self, at: float, before_end: Callable[[], Awaitable[None]] = anyio.lowlevel.checkpoint
    ) -> None:
        self.at, self.before_end = at, before_end
        self.scope = anyio.CancelScope(deadline=at)  # around the whole attempt
        self.waiting: anyio.CancelScope | None = None  # around the wait for the next bytes of a response
        self.interrupted = False

    def reschedule(self, at: float) -> None:
        """Moves the limit to an earlier or a later time."""
        self.at = at
        if self.waiting is None:
            self.scope.deadline = at
        else:
            # a later limit takes effect after this wait
            self.waiting.deadline = min(self.waiting.deadline, at)

    def interrupt(self) -> None:
        """Ends the wait for the next bytes, and every later one."""
        self.interrupted = True
        if self.waiting is not None:
            self.waiting.cancel()

    async def receive(
        self, connection: Connection, begun: bool, on_stall: Callable[[], None] = lambda: None
    ) -> bytes | None:
        """Returns the next bytes of a response, empty at its end; None if the wait was interrupted. Calls
        `on_stall` once if a response that has begun pauses for `STALL_S`, and waits on. Raises OSError if the
        connection broke. At the limit the scope is cancelled."""
        # Guards against responses of many reads after the loop was blocked: with one pass of the loop for
        # each read, due timers would fire between them.
        if begun and (data := connection.read()) is not None:
            return data
        self.scope.deadline = math.inf
        stalls_at = anyio.current_time() + STALL_S if begun else math.inf
        while not self.interrupted:
            try:
                with anyio.CancelScope(deadline=min(stalls_at, self.at)) as self.waiting:
                    return await connection.receive()
            finally:
                self.waiting = None
            if not self.interrupted and (data := connection.read()) is not None:
                return data
            now = anyio.current_time()
            if now >= self.at:
                if (data := await self.last_look(connection, begun)) is not None:
                    return data
            elif now >= stalls_at:
                stalls_at = math.inf
                on_stall()
        return None

    async def last_look(self, connection: Connection, begun: bool) -> bytes | None:
        """Ends the attempt at its limit. Not if its response has begun, and a decision that is late forwards
        it, or more bytes have arrived, which are returned."""
        if begun:
            await self.before_end()
            if self.interrupted:
                return None
            if (data := connection.read()) is not None:
                return data
        if anyio.current_time() >= self.at:
            self.scope.cancel()
            await anyio.lowlevel.checkpoint()
        return None
