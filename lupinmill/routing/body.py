"""The body of a submission that is launched while it comes: what came lately waits here for the launch to
send it, and what of its beginning the shelf has room for stays, so that another launch can start anew.

Owns its part of the shelf, which `drop` gives back."""

from __future__ import annotations

from collections import deque

import anyio

from lupinmill.protocol.http import MAX_BUFFERED_BODY
from lupinmill.transport.ring import Shelf

AHEAD = MAX_BUFFERED_BODY  # bytes that may wait for a launch beyond what the shelf has room for


class Gone(Exception):
    """The part that is asked for is not kept any more, or never comes."""


class Body:
    """`length` is None where the client's chunks don't tell."""

    def __init__(self, shelf: Shelf, length: int | None) -> None:
        self.shelf, self.length = shelf, length
        self.parts: deque[bytes | bytearray] = deque()
        self.forgotten = 0  # parts let go of; those that are kept begin at `start`
        self.start = self.end = 0  # in bytes; `end`: so many have come
        self.leased = 0
        self.taken = 0  # up to where the launch that came furthest has read
        self.whole = self.broken = False
        self.changed = anyio.Event()

    def change(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def put(self, data: bytes | bytearray, launched: bool = True) -> None:
        """Waits while no launch takes what is here and the shelf has no room; one part more than that has
        room is taken where there is no launch yet that could."""
        if self.broken:
            return  # settled meanwhile: a lease taken now would be given back by nobody
        if not self.shelf.lease(len(data)):
            while launched and self.end - self.start > AHEAD and not self.broken:
                if not self.forget():
                    await self.changed.wait()
        else:
            self.leased += len(data)
        if not self.broken:
            self.parts.append(data)
            self.end += len(data)
            self.change()

    def forget(self) -> bool:
        """Lets go of a part that was sent: from now on no other launch can start anew."""
        if not self.parts or self.start + len(self.parts[0]) > self.taken:
            return False
        size = len(self.parts.popleft())
        self.start += size
        self.forgotten += 1
        back = min(size, self.leased)
        self.leased -= back
        self.shelf.give_back(back)
        return True

    def finish(self) -> None:
        self.whole = True
        self.change()

    def kept(self) -> bool:
        """The shelf had room for all of it so far."""
        return self.leased == self.end

    def anew(self) -> bool:
        """Could a launch start from the beginning?"""
        return not self.start and not self.broken

    async def read(self, at: int, number: int) -> bytes | bytearray:
        """Part `number`, which begins at `at`; none at the end. Gone where it is not kept or never comes."""
        while True:
            if self.broken or at < self.start:
                raise Gone
            if at < self.end:
                part = self.parts[number - self.forgotten]
                self.taken = max(self.taken, at + len(part))
                self.change()
                return part
            if self.whole:
                return b""
            await self.changed.wait()

    def drop(self) -> None:
        """Nobody wants it any more."""
        self.broken = True
        self.parts.clear()
        self.shelf.give_back(self.leased)
        self.leased = 0
        self.change()
