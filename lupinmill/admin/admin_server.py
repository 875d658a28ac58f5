"""HTTP server of the admin API: reads calls, passes them to the handler, sends its answers.

Owns the second listening socket and its connections, each with a task that closes it. MAX_CONNECTIONS
descriptors are reserved for them: clients and attempts can't use these, and admin connections use no more."""

from __future__ import annotations

import socket
import time
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from lupinmill.protocol.admin_calls import AdminCall, AdminCallCodec
from lupinmill.protocol.http import Malformed
from lupinmill.routing.engine import Log, error_fields
from lupinmill.transport.connection import listen_at

MAX_CONNECTIONS = 16
HEAD_TIMEOUT_S = 2.5  # for the head of a call, unless the connection is evicted before
MIN_HEAD_TIME_S = 0.3  # before eviction, so that many silent connections can't displace a real call
RESPONSE_TIMEOUT_S = 1.0  # for an answer to be written and read
MAX_DISCARDED_BYTES = 64 * 1024  # read behind the head, so that the close does not reset the answer
READ_SIZE = 4 * 1024
MAX_LOGGED_CHARS = 200  # of an answer

Handler = Callable[[AdminCall], Awaitable[tuple[int, str]]]


class AdminConnection:
    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.accepted_at = sock, time.monotonic()
        self.scope = anyio.CancelScope()
        self.request_read = False  # the call is complete, so the connection is not evicted


class AdminServer:
    def __init__(self, address: str, handler: Handler, log: Log) -> None:
        self.handler, self.log = handler, log
        self.sock = listen_at(address, 256)
        self.address = "%s:%d" % self.sock.getsockname()[:2]
        self.connections: dict[AdminConnection, None] = {}  # in the order of arrival

    async def run(self, group: TaskGroup) -> None:
        while True:
            await anyio.wait_readable(self.sock)
            while len(self.connections) >= MAX_CONNECTIONS and not self.evict_oldest():
                await anyio.sleep(0.02)
            try:
                sock, _ = self.sock.accept()
            except OSError:
                await anyio.sleep(0.002)  # reset before it was accepted, or no descriptor is free
                continue
            sock.setblocking(False)
            connection = AdminConnection(sock)
            self.connections[connection] = None
            group.start_soon(self.serve, connection)

    def evict_oldest(self) -> bool:
        """Evicts the oldest connection without a complete call. False if none may be evicted."""
        now = time.monotonic()
        for connection in self.connections:
            if not connection.request_read and now - connection.accepted_at >= MIN_HEAD_TIME_S:
                connection.request_read = True  # already evicted
                connection.scope.cancel()
                return True
        return False

    async def serve(self, connection: AdminConnection) -> None:
        try:
            with connection.scope:
                await self.handle_request(connection)
        except OSError:
            pass  # the caller hung up
        except Exception as error:
            self.log("task_failed", task="operator", **error_fields(error))
        finally:
            self.connections.pop(connection, None)
            connection.sock.close()

    async def handle_request(self, connection: AdminConnection) -> None:
        parser, call = AdminCallCodec(), None
        status, text = 408, "timed out before the call was complete"
        with anyio.move_on_after(HEAD_TIMEOUT_S):
            try:
                while call is None:
                    if not (data := await self.receive(connection)):
                        return
                    call = parser.feed(data)
            except Malformed as error:
                status, text = error.status, str(error)
        connection.request_read = True
        if call is not None:
            try:
                status, text = await self.handler(call)
            except Exception as error:
                self.log("task_failed", task="operator", **error_fields(error))
                status, text = 500, "internal error; see the log"
            self.log(
                "operator", call=call.what, member=call.endpoint, status=status, text=text[:MAX_LOGGED_CHARS]
            )
        with anyio.move_on_after(RESPONSE_TIMEOUT_S):
            await self.send_response(connection, parser.answer(status, text))

    async def send_response(self, connection: AdminConnection, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            try:
                remaining = remaining[connection.sock.send(remaining) :]
            except BlockingIOError:
                await anyio.wait_writable(connection.sock)
        connection.sock.shutdown(socket.SHUT_WR)
        discarded = 0
        while discarded < MAX_DISCARDED_BYTES and (data := await self.receive(connection)):
            discarded += len(data)

    async def receive(self, connection: AdminConnection) -> bytes:
        while True:
            await anyio.wait_readable(connection.sock)
            try:
                return connection.sock.recv(READ_SIZE)
            except BlockingIOError:
                continue

    def close(self) -> None:
        self.sock.close()
