"""The operators' listener: bytes to calls, calls to whoever carries them out, answers back.

Owns the second listening socket and its callers, each a task that closes its own connection. They hold PLACES
descriptors of their own at most: neither clients nor launches can take these, nor they theirs."""

from __future__ import annotations

import socket
import time
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from lupinmill.protocol.calls import Call, CallSide
from lupinmill.protocol.http import Malformed
from lupinmill.routing.engine import Log, defect
from lupinmill.transport.connection import listen_at

PLACES = 16
HEAD = 2.5  # seconds for a call's head, if nobody else wants the place
YOUNG = 0.3  # seconds for it that a caller has in any case, so that a crowd of the silent can't drive it out
ANSWER = 1.0  # seconds for an answer to be written and read
DROPPED = 64 * 1024  # bytes behind the head that are read and dropped, lest the close reset the answer
READ = 4 * 1024
LOGGED = 200  # characters of an answer

CarryOut = Callable[[Call], Awaitable[tuple[int, str]]]


class Caller:
    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.came = sock, time.monotonic()
        self.scope = anyio.CancelScope()
        self.heard = False  # its call is whole: from now on it is no longer in anybody's way


class AdminDesk:
    def __init__(self, address: str, carry_out: CarryOut, log: Log) -> None:
        self.carry_out, self.log = carry_out, log
        self.sock = listen_at(address, 256)
        self.address = "%s:%d" % self.sock.getsockname()[:2]
        self.callers: dict[Caller, None] = {}  # the one that came first first

    async def run(self, group: TaskGroup) -> None:
        while True:
            await anyio.wait_readable(self.sock)
            while len(self.callers) >= PLACES and not self.make_room():
                await anyio.sleep(0.02)
            try:
                sock, _ = self.sock.accept()
            except OSError:
                await anyio.sleep(0.002)  # it broke before it was taken, or nothing is to be had just now
                continue
            sock.setblocking(False)
            caller = Caller(sock)
            self.callers[caller] = None
            group.start_soon(self.serve, caller)

    def make_room(self) -> bool:
        """Of those that have not said their call yet the one that came first goes."""
        now = time.monotonic()
        for caller in self.callers:
            if not caller.heard and now - caller.came >= YOUNG:
                caller.heard = True  # nobody counts on it any more
                caller.scope.cancel()
                return True
        return False

    async def serve(self, caller: Caller) -> None:
        try:
            with caller.scope:
                await self.converse(caller)
        except OSError:
            pass  # it hung up
        except Exception as error:
            self.log("task_failed", task="operator", **defect(error))
        finally:
            self.callers.pop(caller, None)
            caller.sock.close()

    async def converse(self, caller: Caller) -> None:
        side, call = CallSide(), None
        status, text = 408, "no whole call came"
        with anyio.move_on_after(HEAD):
            try:
                while call is None:
                    if not (data := await self.receive(caller)):
                        return
                    call = side.feed(data)
            except Malformed as error:
                status, text = error.status, str(error)
        caller.heard = True
        if call is not None:
            try:
                status, text = await self.carry_out(call)
            except Exception as error:
                self.log("task_failed", task="operator", **defect(error))
                status, text = 500, "a defect; see the log"
            self.log("operator", call=call.what, member=call.endpoint, status=status, text=text[:LOGGED])
        with anyio.move_on_after(ANSWER):
            await self.pass_back(caller, side.answer(status, text))

    async def pass_back(self, caller: Caller, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[caller.sock.send(rest) :]
            except BlockingIOError:
                await anyio.wait_writable(caller.sock)
        caller.sock.shutdown(socket.SHUT_WR)
        dropped = 0
        while dropped < DROPPED and (data := await self.receive(caller)):
            dropped += len(data)

    async def receive(self, caller: Caller) -> bytes:
        while True:
            await anyio.wait_readable(caller.sock)
            try:
                return caller.sock.recv(READ)
            except BlockingIOError:
                continue

    def close(self) -> None:
        self.sock.close()
