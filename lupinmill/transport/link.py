"""A link between two processes of one sidecar: messages, some with descriptors, over a Unix stream socket.

Owns its socket and the descriptors that wait to be sent, which are given back by `close` or once they are
sent. A message is four bytes of length and JSON; its descriptors come with its first byte at the latest."""

from __future__ import annotations

import array
import os
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
import orjson

HEAD = struct.Struct("!I")
LARGEST = 16 * 1024 * 1024
AT_ONCE = 64 * 1024
MOST_DESCRIPTORS = 8  # with one read
MOST_WAITING = 4_096  # messages


class BrokenLink(Exception):
    """The other side said what is no message, or ended in the middle of one."""


class Link:
    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.came = bytearray()
        self.descriptors: deque[int] = deque()
        self.going: deque[tuple[bytes, int | None]] = deque()
        self.more = anyio.Event()
        self.broken = False

    # Messages, as bytes.

    def encode(self, message: dict[str, Any]) -> bytes:
        data = orjson.dumps(message)
        return HEAD.pack(len(data)) + data

    def next_message(self) -> dict[str, Any] | None:
        if len(self.came) < HEAD.size:
            return None
        (length,) = HEAD.unpack_from(self.came)
        if length > LARGEST:
            raise BrokenLink("a message without end")
        if len(self.came) < HEAD.size + length:
            return None
        try:
            message = orjson.loads(bytes(self.came[HEAD.size : HEAD.size + length]))
        except orjson.JSONDecodeError as error:
            raise BrokenLink(str(error)) from error
        del self.came[: HEAD.size + length]
        if not isinstance(message, dict):
            raise BrokenLink("no message")
        return message

    def take_descriptor(self) -> int:
        if not self.descriptors:
            raise BrokenLink("a message without its descriptor")
        return self.descriptors.popleft()

    def read(self) -> None:
        """What is there; BlockingIOError where nothing is, BrokenLink at the end."""
        room = socket.CMSG_SPACE(MOST_DESCRIPTORS * array.array("i").itemsize)
        data, notes, _, _ = self.sock.recvmsg(AT_ONCE, room)
        for level, kind, found in notes:
            if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                passed = array.array("i")
                passed.frombytes(found[: len(found) - len(found) % passed.itemsize])
                for number in passed:
                    os.set_inheritable(number, False)
                    self.descriptors.append(number)
        if not data:
            raise BrokenLink("the other process has gone")
        self.came += data

    async def ask(self, message: dict[str, Any], time_out: float) -> dict[str, Any]:
        """Sends the first one and waits for the next; TimeoutError, OSError or BrokenLink where none
        comes."""
        with anyio.fail_after(time_out):
            rest = memoryview(self.encode(message))
            while rest:
                try:
                    rest = rest[self.sock.send(rest) :]
                except BlockingIOError:
                    await anyio.wait_writable(self.sock)
            return await self.hear_one()

    async def hear_one(self) -> dict[str, Any]:
        while (message := self.next_message()) is None:
            await anyio.wait_readable(self.sock)
            try:
                self.read()
            except BlockingIOError:
                continue
        return message

    def send(self, message: dict[str, Any], descriptor: int | None = None) -> bool:
        """Queues it; the descriptor is the link's from now on. False, and nothing taken, where it is
        broken."""
        if not self.has_room():
            return False
        data = self.encode(message)  # what raises here takes nothing
        self.going.append((data, descriptor))
        self.more.set()
        return True

    def has_room(self) -> bool:
        return not self.broken and len(self.going) < MOST_WAITING

    async def write(self) -> None:
        while not self.broken:
            if not self.going:
                self.more = anyio.Event()
                await self.more.wait()
                continue
            data, descriptor = self.going[0]
            rest = memoryview(data)
            while rest:
                try:
                    rest = rest[self.put(rest, descriptor) :]
                    if descriptor is not None:
                        self.going[0] = (data, None)
                        os.close(descriptor)
                        descriptor = None
                except BlockingIOError:
                    await anyio.wait_writable(self.sock)
            self.going.popleft()

    def put(self, data: memoryview, descriptor: int | None) -> int:
        if descriptor is None:
            return self.sock.send(data)
        passed = array.array("i", [descriptor])
        return self.sock.sendmsg([data], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, passed)])

    async def run(self, hear: Callable[[dict[str, Any]], None]) -> None:
        """Until the other side ends; whatever is wrong with it raises OSError or BrokenLink."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.write)
            while True:
                hear(await self.hear_one())

    def close(self) -> None:
        if self.broken:
            return
        self.broken = True
        self.more.set()
        self.sock.close()
        for number in (*self.descriptors, *(one for _, one in self.going if one is not None)):
            os.close(number)
        self.descriptors.clear()
        self.going.clear()
