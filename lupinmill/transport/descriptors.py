"""The one owner of the budget of file descriptors."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

OWN = 40  # standard streams, the event loop's own, listener, discovery, and some to turn clients away with
LEAST_ENDPOINT = 2  # connections to endpoints that may be open whatever another process holds: out of `OWN`
OWN_MEMORY, CLIENT_MEMORY = 16 << 20, 144 << 10  # bytes: the program's, and a client's at most
SHELF_PART, SHELF = 0.25, 64 << 20  # of the rest, for bodies that are kept; so much where no memory is told


class Side(Enum):
    CLIENT = 0
    ENDPOINT = 1


def shelf_of(memory: int | None) -> int:
    """Bytes that bodies over 64 KiB may hold together, of the memory told."""
    return SHELF if memory is None else max(1 << 20, int((memory * 9 // 10 - OWN_MEMORY) * SHELF_PART))


class Descriptors:
    """Counts what is open. When short it closes an idle endpoint connection, then an idle client's.

    A quarter stays for endpoints: clients that hold connections open must not keep launches from going out.
    Nor must the process before this one, which may hold all until it has passed its clients on.
    There are no more clients than would fit into memory if each held the largest body.
    """

    def __init__(self, limit: int, memory: int | None = None) -> None:
        self.limit = max(8, limit - OWN)
        self.client_limit = self.limit - self.limit // 4
        if memory is not None:
            room = memory * 9 // 10 - OWN_MEMORY - shelf_of(memory)
            self.client_limit = max(4, min(self.client_limit, room // CLIENT_MEMORY))
        self.open = {Side.CLIENT: 0, Side.ENDPOINT: 0}
        self.elsewhere = 0  # held by the process before this one, within the same limit
        self.leaving = 0  # idle clients told to close, whose tasks have not done so yet
        self.close_idle_endpoint: Callable[[], bool] = lambda: False
        self.close_idle_client: Callable[[], bool] = lambda: False

    def free(self, side: Side) -> bool:
        clients = self.open[Side.CLIENT] - self.leaving
        if side is Side.ENDPOINT and self.open[side] < LEAST_ENDPOINT:
            return True
        if side is Side.CLIENT and clients >= self.client_limit:
            return False
        return clients + self.open[Side.ENDPOINT] + self.elsewhere < self.limit

    def lease(self, side: Side) -> bool:
        while not self.free(side):
            crowded = side is Side.CLIENT and self.open[side] - self.leaving >= self.client_limit
            if not (not crowded and self.close_idle_endpoint() or self.close_idle_client()):
                return False
        self.open[side] += 1
        return True

    def give_back(self, side: Side) -> None:
        self.open[side] -= 1
