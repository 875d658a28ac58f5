"""Buffers for bytes in transit: a pool of blocks, and a ring buffer that leases a block while it holds
bytes."""

from __future__ import annotations

import sys

BLOCK_SIZE = 16 * 1024
NO_LIMIT = sys.maxsize  # bytes of a budget that refuses nothing


class BlockPool:
    """Owns all blocks. Leased blocks are released here; a few free ones are kept for reuse."""

    def __init__(self, block: int = BLOCK_SIZE, max_free: int = 64) -> None:
        self.block, self.max_free = block, max_free
        self.free: list[memoryview] = []
        self.leased = 0

    def lease(self) -> memoryview:
        self.leased += 1
        return self.free.pop() if self.free else memoryview(bytearray(self.block))

    def release(self, block: memoryview) -> None:
        self.leased -= 1
        if len(self.free) < self.max_free:
            self.free.append(block)

    def drop_free(self) -> None:
        """Frees the blocks that are kept for reuse."""
        self.free.clear()


class MemoryBudget:
    """Memory that its holders may have together, in bytes. Each lease is released by its holder, to the byte.
    What is leased here is leased from `parent` too."""

    def __init__(self, limit: int, parent: MemoryBudget | None = None) -> None:
        self.limit, self.parent = limit, parent
        self.leased = self.peak = 0

    def lease(self, count: int) -> bool:
        if self.leased + count > self.limit:
            return False
        if self.parent is not None and not self.parent.lease(count):
            return False
        self.leased += count
        self.peak = max(self.peak, self.leased)
        return True

    def release(self, count: int) -> None:
        self.leased -= count
        if self.parent is not None:
            self.parent.release(count)


class MemoryLease:
    """What one request or connection has leased. It is given back when the last of its users has released
    it."""

    __slots__ = ("budget", "size", "users")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.size, self.users = 0, 1

    def grow(self, count: int) -> bool:
        """Leases more; False if the budget is exhausted."""
        if not self.budget.lease(count):
            return False
        self.size += count
        return True

    def shrink(self, count: int) -> None:
        count = min(count, self.size)
        self.size -= count
        self.budget.release(count)

    def share(self) -> MemoryLease:
        """Adds a user, which has to call `release` as well."""
        self.users += 1
        return self

    def release(self) -> None:
        self.users -= 1
        if not self.users:
            self.shrink(self.size)


def unlimited_lease() -> MemoryLease:
    return MemoryLease(MemoryBudget(NO_LIMIT))


class RingBuffer:
    """A bounded queue of bytes in one block, which it leases only while it holds bytes."""

    __slots__ = ("block_pool", "block", "start", "size")

    def __init__(self, block_pool: BlockPool) -> None:
        self.block_pool = block_pool
        self.block: memoryview | None = None
        self.start = self.size = 0

    def writable(self) -> memoryview:
        """Returns the next contiguous free space; `commit` says how much of it was filled."""
        if self.block is None:
            self.block, self.start = self.block_pool.lease(), 0
        whole = len(self.block)
        if self.size == whole:
            return self.block[:0]
        end = (self.start + self.size) % whole
        return self.block[end : self.start] if end < self.start else self.block[end:]

    def commit(self, count: int) -> None:
        self.size += count
        if not self.size:
            self.clear()

    def readable(self) -> memoryview:
        """Returns the next contiguous bytes; `consume` says how many were used."""
        if self.block is None:
            return memoryview(b"")
        return self.block[self.start : min(self.start + self.size, len(self.block))]

    def consume(self, count: int) -> None:
        self.size -= count
        if not self.size:
            self.clear()
        elif self.block is not None:
            self.start = (self.start + count) % len(self.block)

    def write(self, data: memoryview) -> int:
        """Copies as much as there is room for, and returns the count."""
        done = 0
        while done < len(data) and len(writable := self.writable()):
            count = min(len(writable), len(data) - done)
            writable[:count] = data[done : done + count]
            self.commit(count)
            done += count
        return done

    def clear(self) -> None:
        if self.block is not None:
            self.block_pool.release(self.block)
        self.block, self.size = None, 0
