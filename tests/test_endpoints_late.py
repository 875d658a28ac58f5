"""Connections to endpoints that are established after the connect time-out: the next attempt finds them and
does not start anew for ever. On real sockets: the listener's queue is full when the first SYN arrives."""

from __future__ import annotations

import socket
import time

import anyio
import pytest

from lupinmill.transport import connection_pool as pools
from lupinmill.transport.buffers import BlockPool
from lupinmill.transport.connection import Connection, Unconnected
from lupinmill.transport.connection_pool import ConnectionPool
from lupinmill.transport.descriptors import ConnectionKind, DescriptorBudget

TIME_OUT = 0.1  # seconds, of one attempt; the kernel retries a second after the first try
BACKLOG = 0  # the system accepts one more than this


class FullListener:
    """A listener whose queue is full."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(BACKLOG)
        self.address = "%s:%d" % self.sock.getsockname()
        self.fillers: list[socket.socket] = []
        self.accepted: list[socket.socket] = []
        self.fill()

    def fill(self) -> None:
        for _ in range(BACKLOG + 1):
            self.fillers.append(socket.create_connection(self.sock.getsockname()))

    async def let_in(self) -> tuple[str, int]:
        """Accepts one connection and waits for whichever takes its place. Returns that one's address."""
        self.accepted.append(self.sock.accept()[0])
        self.sock.setblocking(False)
        while True:
            try:
                self.accepted.append(self.sock.accept()[0])
                return self.accepted[-1].getpeername()
            except BlockingIOError:
                await anyio.sleep(0.01)

    def close(self) -> None:
        for one in (self.sock, *self.fillers, *self.accepted):
            one.close()


def new_pool() -> tuple[ConnectionPool, DescriptorBudget]:
    descriptors = DescriptorBudget(200)
    return ConnectionPool(descriptors, BlockPool(), 30.0, TIME_OUT), descriptors


async def time_out_attempt(pool: ConnectionPool, address: str) -> None:
    with pytest.raises(Unconnected):
        await pool.open(address)


def test_a_connection_that_came_up_too_late_serves_the_next_attempt():
    """Guards against a second attempt that starts anew and meets a full queue as well, like each one after
    it."""

    async def main() -> None:
        crowded, (pool, descriptors) = FullListener(), new_pool()
        try:
            await time_out_attempt(pool, crowded.address)
            own = await crowded.let_in()
            crowded.fill()
            connection = await pool.open(crowded.address)
            assert isinstance(connection, Connection) and connection.sock.getsockname() == own
            connection.close()
            assert descriptors.open[ConnectionKind.ENDPOINT] == 0
        finally:
            crowded.close()

    anyio.run(main)


def test_one_that_comes_up_while_the_next_attempt_connects_serves_it():
    async def main() -> None:
        crowded, (pool, _) = FullListener(), new_pool()
        try:
            await time_out_attempt(pool, crowded.address)
            pool.timeout_s = 3.0
            found: list[Connection] = []

            async def attempt() -> None:
                found.append(await pool.open(crowded.address))

            async with anyio.create_task_group() as group:
                group.start_soon(attempt)
                await anyio.sleep(0)
                await crowded.let_in()
                crowded.fill()
            assert found[0].is_idle()
            found[0].close()
            pool.close()
        finally:
            crowded.close()

    anyio.run(main)


def test_what_comes_up_late_is_bounded_and_given_back(monkeypatch):
    async def main() -> None:
        listeners = [FullListener() for _ in range(pools.MAX_LATE_CONNECTIONS + 2)]
        pool, descriptors = new_pool()
        try:
            for one in listeners:
                await time_out_attempt(pool, one.address)
                await time_out_attempt(pool, one.address)  # one for each address
            assert descriptors.open[ConnectionKind.ENDPOINT] == pools.MAX_LATE_CONNECTIONS
            assert (
                pool.close_oldest()
                and descriptors.open[ConnectionKind.ENDPOINT] == pools.MAX_LATE_CONNECTIONS - 1
            )
            later = time.monotonic() + pools.LATE_CONNECT_S + 1
            monkeypatch.setattr(pools.time, "monotonic", lambda: later)
            pool.close_expired()
            assert descriptors.open[ConnectionKind.ENDPOINT] == 0
        finally:
            for one in listeners:
                one.close()

    anyio.run(main)


def test_one_that_was_refused_after_the_limit_is_given_back():
    async def main() -> None:
        crowded, (pool, descriptors) = FullListener(), new_pool()
        await time_out_attempt(pool, crowded.address)
        crowded.close()
        with anyio.fail_after(10):
            while descriptors.open[ConnectionKind.ENDPOINT]:
                await time_out_attempt(pool, crowded.address)
                await anyio.sleep(0.05)

    anyio.run(main)
