"""How the memory that a process may hold is divided. Pure: it is told what is resident, and reads nothing.

The limit covers what the process holds once it has started (`base`), a reserve, places for client
connections, and what open requests lease. docs/limits.md has the formula with figures."""

from __future__ import annotations

from dataclasses import dataclass

RESERVE_FRACTION = 0.1  # of the limit: at least so much of it is not given out
# for what no lease counts, such as the allocator's fragmentation: of what the base leaves; bytes, at least
FRAGMENTATION_SHARE, FRAGMENTATION_MEMORY = 0.12, 1536 * 1024
# bytes, at least, for a successor in an upgrade that has started and waits until this process has made room
SUCCESSOR_START_MEMORY = 5 << 20
# bytes of a client connection: its task, its parser, and one read of 16 KiB
CONNECTION_MEMORY = 32 * 1024
# bytes of an open request beside its bodies: its record, and the tasks and connections of its attempts, ...
REQUEST_MEMORY = 24 * 1024
# ... which includes so many bytes of its answer, ...
FREE_ANSWER_BYTES = 8 * 1024
# ... and so many headers; bytes of each beyond them, which is far more than they take on the wire
FREE_HEADERS, HEADER_MEMORY = 32, 160
MAX_BODY_BYTES = 64 * 1024  # of a request that is read before its first attempt
CONNECTION_SHARE = 0.4  # of the room: at most for connections
# of the room, and bytes: for what is kept of bodies over 64 KiB
LARGE_BODY_SHARE, MIN_LARGE_BODY_MEMORY = 0.25, 1 << 20
MIN_CLIENTS = 8  # with an open request and its body each: with less room the program does not start
# bytes of an endpoint in the list of a starting process, before the decision module has it, at least
LISTED_ENDPOINT_MEMORY = 512
MIN_REQUESTS_MEMORY = MIN_CLIENTS * REQUEST_MEMORY  # bytes that requests may lease however much else grows


# Of the limit, and bytes: what is kept free of all that the process holds, explained or not. While less is
# free nothing more is given out; under half of it, incomplete requests are shed.
HEADROOM_FRACTION, MIN_HEADROOM = 0.08, 1536 * 1024


class NotEnoughMemory(Exception):
    """The limit leaves no room. `needed`: bytes that would."""

    def __init__(self, needed: int) -> None:
        super().__init__(f"at least {needed} bytes are needed")
        self.needed = needed


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """Sizes in bytes."""

    limit: int
    base: int
    clients: int  # number of client connections
    requests: int  # for all open requests together
    large_bodies: int  # of which for what is kept of bodies over 64 KiB


MIN_ROOM = MIN_CLIENTS * (CONNECTION_MEMORY + REQUEST_MEMORY + MAX_BODY_BYTES)


def check_program(limit: int, program: int) -> None:
    """Raises NotEnoughMemory if the program alone, without a list of endpoints, leaves no room for
    `MIN_CLIENTS` with a body each. `program`: bytes that it holds."""
    if limit < (needed := program + MIN_ROOM + FRAGMENTATION_MEMORY):
        raise NotEnoughMemory(needed)


def wanted_reserve(limit: int, base: int, successor_start: int) -> int:
    """Bytes of the limit that should not be given out. `successor_start`: see `divide`."""
    fragmentation = max(FRAGMENTATION_MEMORY, int((limit - base) * FRAGMENTATION_SHARE))
    return max(
        fragmentation + max(SUCCESSOR_START_MEMORY, successor_start),
        limit - int(limit * (1 - RESERVE_FRACTION)),
    )


def divide(limit: int, base: int, max_clients: int, successor_start: int = 0) -> MemoryPlan:
    """`max_clients`: as many as descriptors allow; `successor_start`: bytes that the next process of an
    upgrade holds alone when it asks for room, if that is known.

    A long list of endpoints takes room from the part for a successor first. Where it leaves no room, some
    clients are served nevertheless: a list is no reason to serve nobody."""
    wanted = wanted_reserve(limit, base, successor_start)
    reserve = max(FRAGMENTATION_MEMORY, min(wanted, limit - base - MIN_ROOM))
    room = max(MIN_ROOM, limit - reserve - base)
    least_requests = MIN_CLIENTS * (REQUEST_MEMORY + MAX_BODY_BYTES)
    for_clients = min(int(room * CONNECTION_SHARE), room - least_requests)
    clients = max(MIN_CLIENTS, min(max_clients, for_clients // CONNECTION_MEMORY))
    requests = room - clients * CONNECTION_MEMORY
    large_bodies = min(requests, max(MIN_LARGE_BODY_MEMORY, int(room * LARGE_BODY_SHARE)))
    return MemoryPlan(limit, base, clients, requests, large_bodies)


@dataclass(frozen=True, slots=True)
class MemoryPressure:
    """`excess`: bytes held beyond the headroom; 0 or less: none. `critical`: requests have to be shed."""

    excess: int
    critical: bool


def memory_pressure(limit: int, base: int, resident: int) -> MemoryPressure:
    """A base that leaves no headroom itself, as with a long list, is no pressure."""
    headroom = max(MIN_HEADROOM, int(limit * HEADROOM_FRACTION))
    ceiling = max(limit - headroom, base + MIN_REQUESTS_MEMORY)
    return MemoryPressure(resident - ceiling, resident > max(ceiling, limit - headroom // 2))


def head_memory(headers: int) -> int:
    """Bytes that a request's head takes beyond `REQUEST_MEMORY`."""
    return max(0, headers - FREE_HEADERS) * HEADER_MEMORY


class GrowthEstimate:
    """How much the process has grown beyond what its leases explain, such as by a longer list of endpoints.

    Freed memory stays with the allocator and is used again, so the most that was ever leased explains what is
    resident later."""

    def __init__(self, base: int) -> None:
        self.base = base
        self.peak_leased = 0
        self.unexplained = 0

    def observe(self, resident: int, peak_leased: int) -> int:
        """Returns the bytes by which the requests' budget has to be smaller than planned."""
        self.peak_leased = max(self.peak_leased, peak_leased)
        self.unexplained = max(0, resident - self.base - self.peak_leased)
        return self.unexplained
