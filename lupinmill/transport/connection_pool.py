"""Connections to endpoints, kept for the next launch while they are fresh."""

from __future__ import annotations

import time

from lupinmill.transport.connection import Connection, NoDescriptor, Unconnected, connect, is_established
from lupinmill.transport.descriptors import DescriptorBudget, ConnectionKind
from lupinmill.transport.buffers import BlockPool

# Seconds for which a connection rests after an answer. Guards against a second answer that comes some
# milliseconds after the first, on a connection that was quiet when it was kept and when it was taken: it
# would pass for the answer to the next request.
MIN_IDLE_S = 0.02
# Connections that did not come up in time, at most, and seconds for which they may still do so. Guards
# against a limit below the time that connecting takes: each attempt would begin anew and none would arrive.
MAX_LATE_CONNECTIONS, LATE_CONNECT_S = 8, 3.0


class ConnectionPool:
    """Owns idle connections to endpoints, and opens new ones. One out on a launch is the launch's."""

    def __init__(
        self, descriptors: DescriptorBudget, block_pool: BlockPool, idle_limit: float, timeout_s: float
    ) -> None:
        self.descriptors, self.block_pool = descriptors, block_pool
        self.set_limits(idle_limit, timeout_s)
        # By endpoint, not by address: at an address just freed another may listen. The last used at the end.
        self.idle: dict[str, list[Connection]] = {}
        # By address: whoever listens there takes it up. `idle_since` is when it was given up.
        self.connecting: dict[str, Connection] = {}
        descriptors.close_idle_endpoint = self.close_oldest

    def set_limits(self, idle_limit: float, timeout_s: float) -> None:
        """Seconds; from now on."""
        self.timeout_s = timeout_s
        # What is written to a connection from its idle limit on ends as a reset: stay well clear of it.
        self.max_idle_s = max(0.0, min(idle_limit * 0.8, idle_limit - 1.0))

    def reuse(self, endpoint: str) -> Connection | None:
        """The last used of the idle connections that are still open at both ends and have rested."""
        kept, now = self.idle.get(endpoint, []), time.monotonic()
        for at in reversed(range(len(kept))):
            connection = kept[at]
            idle = now - connection.idle_since
            if idle < MIN_IDLE_S:
                continue
            del kept[at]
            if not kept:
                del self.idle[endpoint]
            if idle < self.max_idle_s and connection.is_idle():
                return connection
            connection.close()
        return None

    async def open(self, address: str) -> Connection:
        """A new connection, or one that an attempt before this one gave up and that has come up since."""
        if (connection := self.take_established(address)) is not None:
            return connection
        if not self.descriptors.lease(ConnectionKind.ENDPOINT):
            raise NoDescriptor(address)
        try:
            return await connect(
                address,
                self.timeout_s,
                self.block_pool,
                lambda: self.descriptors.release(ConnectionKind.ENDPOINT),
                lambda connection: self.keep_connecting(address, connection),
            )
        except Unconnected:
            if (connection := self.take_established(address)) is not None:
                return connection
            raise

    def keep_connecting(self, address: str, connection: Connection) -> bool:
        if address in self.connecting or len(self.connecting) >= MAX_LATE_CONNECTIONS:
            return False
        connection.idle_since = time.monotonic()
        self.connecting[address] = connection
        return True

    def take_established(self, address: str) -> Connection | None:
        """The connection to this address that came up late, if there is one."""
        connection = self.connecting.get(address)
        if connection is None:
            return None
        try:
            established = is_established(connection.sock)
        except OSError:
            self.connecting.pop(address).close()
            return None
        if not established:
            return None
        del self.connecting[address]
        if connection.is_idle():
            return connection
        connection.close()
        return None

    def keep(self, connection: Connection, endpoint: str) -> None:
        if self.max_idle_s <= 0 or not connection.is_idle():
            connection.close()
            return
        connection.idle_since = time.monotonic()
        self.idle.setdefault(endpoint, []).append(connection)

    def close_oldest(self) -> bool:
        if self.connecting:
            self.connecting.pop(next(iter(self.connecting))).close()
            return True
        if not self.idle:
            return False
        endpoint = min(self.idle, key=lambda name: self.idle[name][0].idle_since)
        self.idle[endpoint].pop(0).close()
        if not self.idle[endpoint]:
            del self.idle[endpoint]
        return True

    def close_expired(self) -> None:
        """Closes what has stood too long or was ended by its endpoint."""
        now = time.monotonic()
        for address, connection in list(self.connecting.items()):
            if now - connection.idle_since > LATE_CONNECT_S:
                self.connecting.pop(address).close()
        for endpoint in list(self.idle):
            kept = self.idle.pop(endpoint)
            alive = [one for one in kept if now - one.idle_since < self.max_idle_s and one.is_idle()]
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
        for address in list(self.connecting):
            self.connecting.pop(address).close()
