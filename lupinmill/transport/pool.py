"""Connections to endpoints, kept for the next launch while they are fresh."""

from __future__ import annotations

import time

from lupinmill.transport.connection import Connection, NoDescriptor, connect
from lupinmill.transport.descriptors import Descriptors, Side
from lupinmill.transport.ring import Store

# Seconds for which a connection rests after an answer. Guards against a second answer that comes some
# milliseconds after the first, on a connection that was quiet when it was kept and when it was taken: it
# would pass for the answer to the next request.
REST = 0.02


class Pool:
    """Owns idle connections to endpoints, and opens new ones. One out on a launch is the launch's."""

    def __init__(self, descriptors: Descriptors, store: Store, idle_limit: float, time_out: float) -> None:
        self.descriptors, self.store = descriptors, store
        self.limit(idle_limit, time_out)
        # By endpoint, not by address: at an address just freed another may listen. The last used at the end.
        self.idle: dict[str, list[Connection]] = {}
        descriptors.close_idle_endpoint = self.close_oldest

    def limit(self, idle_limit: float, time_out: float) -> None:
        """Seconds; from now on."""
        self.time_out = time_out
        # What is written to a connection from its idle limit on ends as a reset: stay well clear of it.
        self.fresh = max(0.0, min(idle_limit * 0.8, idle_limit - 1.0))

    def reuse(self, endpoint: str) -> Connection | None:
        """The last used of the idle connections that are still open at both ends and have rested."""
        kept, now = self.idle.get(endpoint, []), time.monotonic()
        for at in reversed(range(len(kept))):
            connection = kept[at]
            idle = now - connection.idle_since
            if idle < REST:
                continue
            del kept[at]
            if not kept:
                del self.idle[endpoint]
            if idle < self.fresh and connection.quiet():
                return connection
            connection.close()
        return None

    async def open(self, address: str) -> Connection:
        if not self.descriptors.lease(Side.ENDPOINT):
            raise NoDescriptor(address)
        return await connect(
            address, self.time_out, self.store, lambda: self.descriptors.give_back(Side.ENDPOINT)
        )

    def keep(self, connection: Connection, endpoint: str) -> None:
        if self.fresh <= 0 or not connection.quiet():
            connection.close()
            return
        connection.idle_since = time.monotonic()
        self.idle.setdefault(endpoint, []).append(connection)

    def close_oldest(self) -> bool:
        if not self.idle:
            return False
        endpoint = min(self.idle, key=lambda name: self.idle[name][0].idle_since)
        self.idle[endpoint].pop(0).close()
        if not self.idle[endpoint]:
            del self.idle[endpoint]
        return True

    def sweep(self) -> None:
        """Closes what has stood too long or was ended by its endpoint."""
        now = time.monotonic()
        for endpoint in list(self.idle):
            kept = self.idle.pop(endpoint)
            alive = [one for one in kept if now - one.idle_since < self.fresh and one.quiet()]
            for one in kept:
                if one not in alive:
                    one.close()
            if alive:
                self.idle[endpoint] = alive

    def drop(self, endpoint: str) -> None:
        for connection in self.idle.pop(endpoint, []):
            connection.close()

    def close(self) -> None:
        for endpoint in list(self.idle):
            self.drop(endpoint)
