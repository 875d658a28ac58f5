"""The budget of file descriptors."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

# standard streams, event loop, listener, discovery, and some to turn clients away with
RESERVED_DESCRIPTORS = 40
# out of the reserved ones: connections to endpoints that may be open whatever another process holds
MIN_ENDPOINT_CONNECTIONS = 2


class ConnectionKind(Enum):
    CLIENT = 0
    ENDPOINT = 1


class DescriptorBudget:
    """Counts open descriptors. When short it closes an idle endpoint connection, then an idle client's.

    A quarter is reserved for endpoints: clients that hold connections open must not block attempts, nor must
    the process before this one, which may hold all until it has handed over its clients. `client_limit` may
    be lowered to what memory holds."""

    def __init__(self, limit: int) -> None:
        self.limit = max(8, limit - RESERVED_DESCRIPTORS)
        self.client_limit = self.limit - self.limit // 4
        self.open = {ConnectionKind.CLIENT: 0, ConnectionKind.ENDPOINT: 0}
        self.peak_clients = 0
        self.held_by_predecessor = 0  # held by the process before this one, within the same limit
        self.leaving = 0  # idle clients that were told to close and whose tasks have not done so yet
        self.close_idle_endpoint: Callable[[], bool] = lambda: False
        self.close_idle_client: Callable[[], bool] = lambda: False
        self.on_client_leased: Callable[[], None] = lambda: None

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
        if kind is ConnectionKind.CLIENT:
            self.peak_clients = max(self.peak_clients, self.open[kind])
            self.on_client_leased()
        return True

    def release(self, kind: ConnectionKind) -> None:
        self.open[kind] -= 1
