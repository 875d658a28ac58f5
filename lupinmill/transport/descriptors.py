"""The one owner of the budget of file descriptors."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

RESERVED_DESCRIPTORS = (
    40  # standard streams, the event loop's own, listener, discovery, and some to turn clients away with
)
MIN_ENDPOINT_CONNECTIONS = (
    2  # connections to endpoints that may be open whatever another process holds: out of `OWN`
)
BASE_MEMORY, MEMORY_PER_CLIENT = 16 << 20, 144 << 10  # bytes: the program's, and a client's at most
BODY_MEMORY_FRACTION, DEFAULT_BODY_MEMORY = (
    0.25,
    64 << 20,
)  # of the rest, for bodies that are kept; so much where no memory is told


class ConnectionKind(Enum):
    CLIENT = 0
    ENDPOINT = 1


def body_memory_limit(memory: int | None) -> int:
    """Bytes that bodies over 64 KiB may hold together, of the memory told."""
    return (
        DEFAULT_BODY_MEMORY
        if memory is None
        else max(1 << 20, int((memory * 9 // 10 - BASE_MEMORY) * BODY_MEMORY_FRACTION))
    )


class DescriptorBudget:
    """Counts what is open. When short it closes an idle endpoint connection, then an idle client's.

    A quarter stays for endpoints: clients that hold connections open must not keep launches from going out.
    Nor must the process before this one, which may hold all until it has passed its clients on.
    There are no more clients than would fit into memory if each held the largest body.
    """

    def __init__(self, limit: int, memory: int | None = None) -> None:
        self.limit = max(8, limit - RESERVED_DESCRIPTORS)
        self.client_limit = self.limit - self.limit // 4
        if memory is not None:
            room = memory * 9 // 10 - BASE_MEMORY - body_memory_limit(memory)
            self.client_limit = max(4, min(self.client_limit, room // MEMORY_PER_CLIENT))
        self.open = {ConnectionKind.CLIENT: 0, ConnectionKind.ENDPOINT: 0}
        self.held_by_predecessor = 0  # held by the process before this one, within the same limit
        self.leaving = 0  # idle clients told to close, whose tasks have not done so yet
        self.close_idle_endpoint: Callable[[], bool] = lambda: False
        self.close_idle_client: Callable[[], bool] = lambda: False

    def free(self, kind: ConnectionKind) -> bool:
        clients = self.open[ConnectionKind.CLIENT] - self.leaving
        if kind is ConnectionKind.ENDPOINT and self.open[kind] < MIN_ENDPOINT_CONNECTIONS:
            return True
        if kind is ConnectionKind.CLIENT and clients >= self.client_limit:
            return False
        return clients + self.open[ConnectionKind.ENDPOINT] + self.held_by_predecessor < self.limit

    def lease(self, kind: ConnectionKind) -> bool:
        while not self.free(kind):
            clients_at_limit = (
                kind is ConnectionKind.CLIENT and self.open[kind] - self.leaving >= self.client_limit
            )
            if not (not clients_at_limit and self.close_idle_endpoint() or self.close_idle_client()):
                return False
        self.open[kind] += 1
        return True

    def release(self, kind: ConnectionKind) -> None:
        self.open[kind] -= 1
