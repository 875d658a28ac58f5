"""Deadline: when an attempt at an endpoint ends, whatever this process was doing at that moment."""

from __future__ import annotations

import math

import anyio
import anyio.lowlevel

from lupinmill.protocol.http import Garbled
from lupinmill.transport.connection import Connection

MAX_PAUSE_S = 0.25  # seconds between two parts of an answer of up to 64 KiB


class Deadline:
    """The limit of one attempt, in seconds of the loop's clock, as from `anyio.current_time`.

    Up to the wait for an answer its scope enforces it. From then on `receive` does, which guards against a
    loop that stood still past the limit: an answer that came meanwhile lies unread, and is the answer."""

    def __init__(self, at: float) -> None:
        self.at = at
        self.scope = anyio.CancelScope(deadline=at)  # around all of the attempt
        self.waiting: anyio.CancelScope | None = None  # around the wait for an answer's next bytes

    def reschedule(self, at: float) -> None:
        """To an earlier or a later moment."""
        self.at = at
        if self.waiting is None:
            self.scope.deadline = at
        else:
            self.waiting.deadline = min(self.waiting.deadline, at)  # a later one holds after this wait

    async def receive(self, connection: Connection, begun: bool) -> bytes:
        """The next bytes of an answer that may have begun, none at its end. Garbled where an answer that has
        begun stops for `MAX_PAUSE_S`; OSError where the connection broke. At the limit the scope is cancelled."""
        # Guards against answers of many reads after a standstill: with a pass of the loop for each, alarms
        # that are due ring between them.
        if begun and (data := connection.read()) is not None:
            return data
        self.scope.deadline = math.inf
        pause_ends = anyio.current_time() + MAX_PAUSE_S if begun else math.inf
        while True:
            try:
                with anyio.CancelScope(deadline=min(pause_ends, self.at)) as self.waiting:
                    return await connection.receive()
            finally:
                self.waiting = None
            if (data := connection.read()) is not None:
                return data
            now = anyio.current_time()
            if now >= self.at:
                self.scope.cancel()
                await anyio.lowlevel.checkpoint()
            elif now >= pause_ends:
                raise Garbled("the answer stopped in the middle")
