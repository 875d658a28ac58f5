"""The body of a request that is sent while it arrives: recent bytes wait here for the attempt to send them,
and its beginning stays as long as the memory budget allows, so that another attempt can restart.

Owns its part of the memory budget, which `drop` releases."""

from __future__ import annotations

from collections import deque

import anyio

from lupinmill.protocol.http import MAX_BUFFERED_BODY
from lupinmill.transport.buffers import MemoryBudget

PART_BYTES = 112  # that a part takes beside its data, at most
MAX_UNSENT_BYTES = MAX_BUFFERED_BODY  # bytes beyond the memory budget that may wait for an attempt


class BodyUnavailable(Exception):
    """The requested part is no longer kept, or will never arrive."""


class RequestBody:
    """`length` is None if the client's chunked encoding does not tell it."""

    def __init__(self, body_memory: MemoryBudget, length: int | None) -> None:
        self.body_memory, self.length = body_memory, length
        self.parts: deque[bytes | bytearray] = deque()
        self.discarded_parts = 0  # parts no longer kept; the kept ones begin at offset `start`
        self.start = self.end = 0  # byte offsets; `end`: bytes that have arrived
        self.leased = 0
        self.exceeds_budget = False  # a part of it found no room
        self.read_up_to = 0  # offset up to which the furthest attempt has read
        self.complete = self.dropped = False
        self.changed = anyio.Event()

    def notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def put(self, data: bytes | bytearray, has_reader: bool = True) -> None:
        """Appends a part. Waits while no attempt reads the buffered bytes and the memory budget is exhausted;
        before there is an attempt that could, one part beyond the budget is accepted."""
        if self.dropped:
            return  # settled meanwhile; nobody would release a lease taken now
        if not self.body_memory.lease(len(data) + PART_BYTES):
            self.exceeds_budget = True
            while has_reader and self.end - self.start > MAX_UNSENT_BYTES and not self.dropped:
                if not self.discard_sent_part():
                    await self.changed.wait()
        else:
            self.leased += len(data) + PART_BYTES
        if not self.dropped:
            self.parts.append(data)
            self.end += len(data)
            self.notify()

    def discard_sent_part(self) -> bool:
        """Discards a part that was sent. From then on no other attempt can restart."""
        if not self.parts or self.start + len(self.parts[0]) > self.read_up_to:
            return False
        size = len(self.parts.popleft())
        self.start += size
        self.discarded_parts += 1
        released = min(size + PART_BYTES, self.leased)
        self.leased -= released
        self.body_memory.release(released)
        return True

    def finish(self) -> None:
        self.complete = True
        self.notify()

    def fully_buffered(self) -> bool:
        """Whether the memory budget had room for all of it so far."""
        return not self.exceeds_budget

    def can_restart(self) -> bool:
        """Whether an attempt can start from the beginning."""
        return not self.start and not self.dropped

    async def read(self, at: int, number: int) -> bytes | bytearray:
        """Returns part `number`, which begins at offset `at`; empty at the end. Raises BodyUnavailable if it
        is no longer kept or will never arrive."""
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
        """Discards the body; nobody needs it any more."""
        self.dropped = True
        self.parts.clear()
        self.body_memory.release(self.leased)
        self.leased = 0
        self.notify()
