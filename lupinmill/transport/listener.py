"""The listening socket and the connections that clients keep."""
from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from lupinmill.transport.connection import Connection, split_address, stream_socket
from lupinmill.transport.descriptors import OWN, Descriptors, Side
from lupinmill.transport.ring import Store

Serve = Callable[["Client", bool], Awaitable[None]]


class Client(Connection):
    """A client's connection. While idle it can be told to close; its own task then does so."""

    def __init__(self, sock: socket.socket, store: Store, give_back: Callable[[], None]) -> None:
        super().__init__(sock, store, give_back)
        self.waiting: anyio.CancelScope | None = None


class Listener:
    """Owns the listening socket and the set of idle client connections."""

    def __init__(self, address: str, descriptors: Descriptors, store: Store) -> None:
        self.descriptors, self.store = descriptors, store
        self.idle: dict[Client, None] = {}  # the one idle for longest first
        self.turning_away = 0
        host, port = split_address(address)
        self.sock = stream_socket(host)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind((host, port))
            self.sock.listen(4096)
            self.sock.setblocking(False)
            self.address = "%s:%d" % self.sock.getsockname()[:2]
        except BaseException:
            self.sock.close()
            raise
        descriptors.close_idle_client = self.close_oldest

    async def run(self, group: TaskGroup, serve: Serve) -> None:
        """Keeps accepting under pressure: what is left in the kernel's queue counts as taken already."""
        while True:
            await anyio.wait_readable(self.sock)
            try:
                await self.accept_all(group, serve)
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    continue  # that one connection broke before it was taken
                self.close_oldest()
                await anyio.sleep(0.01)

    async def accept_all(self, group: TaskGroup, serve: Serve) -> None:
        while True:
            while self.turning_away >= OWN // 2 and not self.descriptors.free(Side.CLIENT):
                await anyio.sleep(0.005)
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            if self.descriptors.lease(Side.CLIENT):
                client = Client(sock, self.store, lambda: self.descriptors.give_back(Side.CLIENT))
                group.start_soon(serve, client, True)
            else:
                self.turning_away += 1
                group.start_soon(serve, Client(sock, self.store, self.turned_away), False)

    def turned_away(self) -> None:
        self.turning_away -= 1

    def close_oldest(self) -> bool:
        for client in self.idle:
            if client.quiet():
                self.dismiss(client)
                return True
        return False

    def dismiss(self, client: Client) -> None:
        """Its own task closes it: a socket closed under a waiting task could be opened anew before the task
        has noticed, and the newcomer would lose its wake-up."""
        del self.idle[client]
        self.descriptors.leaving += 1
        if client.waiting is not None:
            client.waiting.cancel()

    async def next_bytes(self, client: Client) -> bytes:
        """As `receive`, between submissions: none also when it was told to close and nothing has come."""
        self.idle[client] = None
        with anyio.CancelScope() as client.waiting:
            try:
                return await client.receive()
            finally:
                client.waiting = None
                if client in self.idle:
                    del self.idle[client]
                else:
                    self.descriptors.leaving -= 1
        return await client.receive() if client.has_unread() else b""

    def close(self) -> None:
        self.sock.close()
