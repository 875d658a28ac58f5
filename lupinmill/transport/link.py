"""A link between two processes of one sidecar: messages, some with descriptors, over a Unix stream socket.

Owns its socket and the descriptors that wait to be sent, which are closed by `close` or once they are sent.
The descriptors of a message arrive with its first byte at the latest."""

from __future__ import annotations

import array
import os
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
import orjson

from lupinmill.transport.link_frames import LENGTH_PREFIX, MAX_MESSAGE_SIZE, frame

READ_SIZE = 64 * 1024
MAX_DESCRIPTORS_PER_READ = 8
MAX_QUEUED_MESSAGES = 4_096


class LinkError(Exception):
    """The other side sent an invalid message, or closed in the middle of one."""


class Link:
    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.received = bytearray()
        self.descriptors: deque[int] = deque()
        self.outgoing: deque[tuple[bytes, int | None]] = deque()
        self.queue_changed = anyio.Event()
        self.closed = False
        self.other_side_gone = False  # it takes no more messages; some of its own may lie unread

    # Message encoding.

    def encode(self, message: dict[str, Any]) -> bytes:
        return frame(orjson.dumps(message))

    def next_message(self) -> dict[str, Any] | None:
        if len(self.received) < LENGTH_PREFIX.size:
            return None
        (length,) = LENGTH_PREFIX.unpack_from(self.received)
        if length > MAX_MESSAGE_SIZE:
            raise LinkError("a message exceeds the size limit")
        if len(self.received) < LENGTH_PREFIX.size + length:
            return None
        try:
            message = orjson.loads(bytes(self.received[LENGTH_PREFIX.size : LENGTH_PREFIX.size + length]))
        except orjson.JSONDecodeError as error:
            raise LinkError(str(error)) from error
        del self.received[: LENGTH_PREFIX.size + length]
        if not isinstance(message, dict):
            raise LinkError("a message is not a JSON object")
        return message

    def take_descriptor(self) -> int:
        if not self.descriptors:
            raise LinkError("a message lacks its descriptor")
        return self.descriptors.popleft()

    def read(self) -> None:
        """Reads what is available. Raises BlockingIOError if nothing is, LinkError at the end."""
        room = socket.CMSG_SPACE(MAX_DESCRIPTORS_PER_READ * array.array("i").itemsize)
        data, ancillary, _, _ = self.sock.recvmsg(READ_SIZE, room)
        for level, kind, found in ancillary:
            if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
                passed = array.array("i")
                passed.frombytes(found[: len(found) - len(found) % passed.itemsize])
                for number in passed:
                    os.set_inheritable(number, False)
                    self.descriptors.append(number)
        if not data:
            raise LinkError("the other process closed the link")
        self.received += data

    async def ask(self, message: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        """Sends a message and waits for the next. Raises TimeoutError, OSError or LinkError if none
        arrives."""
        with anyio.fail_after(timeout_s):
            await self.write_now(message)
            return await self.receive_message()

    async def write_now(self, message: dict[str, Any]) -> None:
        """Writes a message while the link does not run yet."""
        rest = memoryview(self.encode(message))
        while rest:
            try:
                rest = rest[self.sock.send(rest) :]
            except BlockingIOError:
                await anyio.wait_writable(self.sock)

    async def receive_message(self) -> dict[str, Any]:
        while (message := self.next_message()) is None:
            await anyio.wait_readable(self.sock)
            try:
                self.read()
            except BlockingIOError:
                continue
        return message

    def send(self, message: dict[str, Any], descriptor: int | None = None) -> bool:
        """Queues a message; the descriptor then belongs to the link. Returns False, and takes nothing, if the
        link is closed or its queue is full."""
        if not self.has_room():
            return False
        data = self.encode(message)  # an exception raised here leaves the descriptor with the caller
        self.outgoing.append((data, descriptor))
        self.queue_changed.set()
        return True

    def has_room(self) -> bool:
        open_ = not self.closed and not self.other_side_gone
        return open_ and len(self.outgoing) < MAX_QUEUED_MESSAGES

    async def write(self) -> None:
        while not self.closed:
            if not self.outgoing:
                self.queue_changed = anyio.Event()
                await self.queue_changed.wait()
                continue
            data, descriptor = self.outgoing[0]
            rest = memoryview(data)
            while rest:
                try:
                    rest = rest[self.put(rest, descriptor) :]
                    if descriptor is not None:
                        self.outgoing[0] = (data, None)
                        os.close(descriptor)
                        descriptor = None
                except BlockingIOError:
                    await anyio.wait_writable(self.sock)
            self.outgoing.popleft()

    def put(self, data: memoryview, descriptor: int | None) -> int:
        if descriptor is None:
            return self.sock.send(data)
        passed = array.array("i", [descriptor])
        return self.sock.sendmsg([data], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, passed)])

    async def write_until_gone(self) -> None:
        """That the other side is gone ends the writing alone: what it sent before is still to be read."""
        try:
            await self.write()
        except (BrokenPipeError, ConnectionResetError):
            self.other_side_gone = True

    async def run(self, on_message: Callable[[dict[str, Any]], None]) -> None:
        """Runs until the other side closes and all that it sent is read. Any fault of the link raises OSError
        or LinkError."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.write_until_gone)
            while True:
                on_message(await self.receive_message())

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.queue_changed.set()
        self.sock.close()
        for number in (*self.descriptors, *(one for _, one in self.outgoing if one is not None)):
            os.close(number)
        self.descriptors.clear()
        self.outgoing.clear()
