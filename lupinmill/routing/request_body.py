"""The body of a submission that is launched while it comes: what came lately waits here for the launch to
send it, and what of its beginning the shelf has room for stays, so that another launch can start anew.

Owns its part of the shelf, which `drop` gives back."""

from __future__ import annotations

from collections import deque

import anyio

from lupinmill.protocol.http import SMALL
from lupinmill.transport.buffers import MemoryBudget

MAX_UNSENT_BYTES = SMALL  # bytes that may wait for a launch beyond what the shelf has room for


class BodyUnavailable(Exception):
    """The part that is asked for is not kept any more, or never comes."""


class RequestBody:
    """`length` is None where the client's chunks don't tell."""

    def __init__(self, body_memory: MemoryBudget, length: int | None) -> None:
        self.body_memory, self.length = body_memory, length
        self.parts: deque[bytes | bytearray] = deque()
        self.discarded_parts = 0  # parts let go of; those that are kept begin at `start`
        self.start = self.end = 0  # in bytes; `end`: so many have come
        self.leased = 0
        self.read_up_to = 0  # up to where the launch that came furthest has read
        self.complete = self.dropped = False
        self.changed = anyio.Event()

    def notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def put(self, data: bytes | bytearray, has_reader: bool = True) -> None:
        """Waits while no launch takes what is here and the shelf has no room; one part more than that has
        room is taken where there is no launch yet that could."""
        if self.dropped:
            return  # settled meanwhile: a lease taken now would be given back by nobody
        if not self.body_memory.lease(len(data)):
            while has_reader and self.end - self.start > MAX_UNSENT_BYTES and not self.dropped:
                if not self.discard_sent_part():
                    await self.changed.wait()
        else:
            self.leased += len(data)
        if not self.dropped:
            self.parts.append(data)
            self.end += len(data)
            self.notify()

    def discard_sent_part(self) -> bool:
        """Lets go of a part that was sent: from now on no other launch can start anew."""
        if not self.parts or self.start + len(self.parts[0]) > self.read_up_to:
            return False
        size = len(self.parts.popleft())
        self.start += size
        self.discarded_parts += 1
        released = min(size, self.leased)
        self.leased -= released
        self.body_memory.release(released)
        return True

    def finish(self) -> None:
        self.complete = True
        self.notify()

    def fully_buffered(self) -> bool:
        """The shelf had room for all of it so far."""
        return self.leased == self.end

    def can_restart(self) -> bool:
        """Could a launch start from the beginning?"""
        return not self.start and not self.dropped

    async def read(self, at: int, number: int) -> bytes | bytearray:
        """Part `number`, which begins at `at`; none at the end. Gone where it is not kept or never comes."""
        while True:
            if self.dropped or at < self.start:
                raise BodyUnavailable
            if at < self.end:
                part = self.parts[number - self.discarded_parts]
                self.read_up_to = max(self.read_up_to, at + len(part))
                self.notify()
                return part
            if self.complete:
                return b""
            await self.changed.wait()

    def drop(self) -> None:
        """Nobody wants it any more."""
        self.dropped = True
        self.parts.clear()
        self.body_memory.release(self.leased)
        self.leased = 0
        self.notify()
