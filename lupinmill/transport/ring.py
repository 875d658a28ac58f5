"""Storage for bytes on their way: blocks from one store, and a ring buffer that leases one while in use."""

from __future__ import annotations

BLOCK = 16 * 1024


class Store:
    """Owns all blocks. What is leased is given back here; a few free ones are kept for the next lease."""

    def __init__(self, block: int = BLOCK, kept: int = 64) -> None:
        self.block, self.kept = block, kept
        self.free: list[memoryview] = []
        self.leased = 0

    def lease(self) -> memoryview:
        self.leased += 1
        return self.free.pop() if self.free else memoryview(bytearray(self.block))

    def give_back(self, block: memoryview) -> None:
        self.leased -= 1
        if len(self.free) < self.kept:
            self.free.append(block)


class Shelf:
    """What large bodies may hold of memory, all together. Who leases gives back, to the byte."""

    def __init__(self, limit: int) -> None:
        self.limit, self.leased = limit, 0

    def lease(self, count: int) -> bool:
        if self.leased + count > self.limit:
            return False
        self.leased += count
        return True

    def give_back(self, count: int) -> None:
        self.leased -= count


class RingBuffer:
    """A bounded queue of bytes in one block, which it holds only while there are bytes in it."""

    __slots__ = ("store", "block", "start", "size")

    def __init__(self, store: Store) -> None:
        self.store = store
        self.block: memoryview | None = None
        self.start = self.size = 0

    def space(self) -> memoryview:
        """The next free stretch; `filled` says how much of it was used."""
        if self.block is None:
            self.block, self.start = self.store.lease(), 0
        whole = len(self.block)
        if self.size == whole:
            return self.block[:0]
        end = (self.start + self.size) % whole
        return self.block[end : self.start] if end < self.start else self.block[end:]

    def filled(self, count: int) -> None:
        self.size += count
        if not self.size:
            self.clear()

    def stretch(self) -> memoryview:
        """The next stretch of bytes that lie side by side; `took` says how many were used."""
        if self.block is None:
            return memoryview(b"")
        return self.block[self.start : min(self.start + self.size, len(self.block))]

    def took(self, count: int) -> None:
        self.size -= count
        if not self.size:
            self.clear()
        elif self.block is not None:
            self.start = (self.start + count) % len(self.block)

    def put(self, data: memoryview) -> int:
        """Copies as much as there is room for."""
        done = 0
        while done < len(data) and len(space := self.space()):
            count = min(len(space), len(data) - done)
            space[:count] = data[done : done + count]
            self.filled(count)
            done += count
        return done

    def clear(self) -> None:
        if self.block is not None:
            self.store.give_back(self.block)
        self.block, self.size = None, 0
