"""Connections to endpoints, kept for reuse while they are fresh."""

from __future__ import annotations

import time

from lupinmill.transport.buffers import BlockPool
from lupinmill.transport.connection import Connection, NoDescriptor, Unconnected, connect, is_established
from lupinmill.transport.descriptors import ConnectionKind, DescriptorBudget

# Seconds before a connection is reused after a response. Guards against a second response some milliseconds
# after the first, on a connection that was idle both when it was kept and when it was taken: it would pass
# for the response to the next request.
MIN_IDLE_S = 0.02
# Connections that were not established in time, at most, and seconds for which they still may be. Guards
# against a time-out below the time that connecting takes: each attempt would start anew and none would ever
# connect.
MAX_LATE_CONNECTIONS, LATE_CONNECT_S = 8, 3.0


class ConnectionPool:
    """Owns idle connections to endpoints, and opens new ones. A connection in use belongs to its attempt."""

    def __init__(
        self, descriptors: DescriptorBudget, block_pool: BlockPool, idle_limit: float, timeout_s: float
    ) -> None:
        self.descriptors, self.block_pool = descriptors, block_pool
        self.set_limits(idle_limit, timeout_s)
        # By endpoint, not by address: another endpoint may listen at an address just freed. Last used at the
        # end.
        self.idle: dict[str, list[Connection]] = {}
        # By address: whichever endpoint listens there uses it. `idle_since` is when its attempt gave up.
        self.connecting: dict[str, Connection] = {}
        descriptors.close_idle_endpoint = self.close_oldest

    def set_limits(self, idle_limit: float, timeout_s: float) -> None:
        """Sets the limits, in seconds, from now on."""
        self.timeout_s = timeout_s
        # Bytes written once the endpoint's idle limit has passed end in a reset, so stay well below it.
        self.max_idle_s = max(0.0, min(idle_limit * 0.8, idle_limit - 1.0))

    def reuse(self, endpoint: str) -> Connection | None:
        """Returns the most recently used idle connection that is open at both ends and was idle long
        enough."""
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
        """Returns a new connection, or one that an earlier attempt gave up and that was established since."""
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
        """Returns the connection to this address that was established late, if there is one."""
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
        """Closes connections that were idle too long or that the endpoint closed."""
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
