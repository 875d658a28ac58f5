"""The budget of file descriptors."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

# standard streams, event loop, listener, discovery, and some to turn clients away with
RESERVED_DESCRIPTORS = 40
# out of the reserved ones: connections to endpoints that may be open whatever another process holds
MIN_ENDPOINT_CONNECTIONS = 2
BASE_MEMORY, MEMORY_PER_CLIENT = 16 << 20, 144 << 10  # bytes: of the program, and of a client at most
# fraction of the rest for buffered bodies; bytes if the memory is not known
BODY_MEMORY_FRACTION, DEFAULT_BODY_MEMORY = 0.25, 64 << 20


class ConnectionKind(Enum):
    CLIENT = 0
    ENDPOINT = 1


def body_memory_limit(memory: int | None) -> int:
    """Bytes that bodies over 64 KiB may hold together, given the memory limit."""
    return (
        DEFAULT_BODY_MEMORY
        if memory is None
        else max(1 << 20, int((memory * 9 // 10 - BASE_MEMORY) * BODY_MEMORY_FRACTION))
    )


class DescriptorBudget:
    """Counts open descriptors. When short it closes an idle endpoint connection, then an idle client's.

    A quarter is reserved for endpoints: clients that hold connections open must not block attempts, nor must
    the process before this one, which may hold all until it has handed over its clients. The number of
    clients is limited to what fits into memory if each holds the largest body."""

    def __init__(self, limit: int, memory: int | None = None) -> None:
        self.limit = max(8, limit - RESERVED_DESCRIPTORS)
        self.client_limit = self.limit - self.limit // 4
        if memory is not None:
            room = memory * 9 // 10 - BASE_MEMORY - body_memory_limit(memory)
            self.client_limit = max(4, min(self.client_limit, room // MEMORY_PER_CLIENT))
        self.open = {ConnectionKind.CLIENT: 0, ConnectionKind.ENDPOINT: 0}
        self.held_by_predecessor = 0  # held by the process before this one, within the same limit
        self.leaving = 0  # idle clients that were told to close and whose tasks have not done so yet
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
