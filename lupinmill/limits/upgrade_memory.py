"""How the two processes of an upgrade share one memory limit. Pure. docs/limits.md has the formula.

They hold together what each holds alone, and once what they share, such as the pages of libraries. The new
process starts to grow only when the old one has made room for it; until the old one yields, that room is all
that the new one takes."""

from __future__ import annotations

from dataclasses import dataclass

from lupinmill.limits.memory import MAX_BODY_BYTES, MIN_CLIENTS, REQUEST_MEMORY, NotEnoughMemory

# bytes that requests may lease in each of the two processes, however little is left
MIN_REQUESTS_EACH = MIN_CLIENTS * (REQUEST_MEMORY + MAX_BODY_BYTES)
MARGIN = 2 << 20  # bytes of the limit: for what no lease counts in either process
IDLE_CONNECTION_MEMORY = 14 * 1024  # bytes of a client connection between two requests


def successor_memory(private_at_start: int, clients: int = 0) -> int:
    """Bytes that the new process will hold alone when it serves and has taken over `clients` connections: as
    many as this one, which is the same program, held alone when it had started."""
    return private_at_start + MIN_REQUESTS_EACH + clients * IDLE_CONNECTION_MEMORY


def least_limit(base: int, private_at_start: int) -> int:
    """Bytes that two processes need even where this one is idle. `base`: see `MemoryPlan`."""
    return base + MIN_REQUESTS_EACH + successor_memory(private_at_start) + MARGIN


def check_limit(limit: int, base: int, private_at_start: int) -> None:
    """Raises NotEnoughMemory."""
    if limit < (needed := least_limit(base, private_at_start)):
        raise NotEnoughMemory(needed)


@dataclass(slots=True)
class SharedLimit:
    """One process's part of the limit. Sizes in bytes."""

    limit: int
    predecessor: int = 0  # what the process before this one holds alone
    successor: int = 0  # what the next process holds alone, or will when it serves
    yielded: bool = False  # this process takes no new requests

    def is_shared(self) -> bool:
        return self.predecessor > 0 or self.successor > 0

    def ceiling(self) -> int:
        """The most that this process may hold, with what it shares."""
        return self.limit - MARGIN - self.predecessor - self.successor

    def requests_limit(self, resident: int, leased: int) -> int:
        """What requests may lease. `resident` counts no memory that is free but kept by the allocator, so
        the difference to the ceiling is what they may still grow by; a negative one is to be given back."""
        if self.yielded:
            return max(MIN_REQUESTS_EACH, leased)
        return max(MIN_REQUESTS_EACH, leased + self.ceiling() - resident)

    def further_clients(self, resident: int) -> int:
        """How many more client connections this process may take."""
        return max(0, self.ceiling() - resident) // IDLE_CONNECTION_MEMORY

    def private_claim(self, resident: int, private: int, leased: int) -> int:
        """What the next process has to count for this one: until this one has yielded it may still grow up
        to its ceiling, from then on by what requests may still lease."""
        if self.yielded:
            return private + self.requests_limit(resident, leased) - leased
        return max(private, self.ceiling() - (resident - private))
