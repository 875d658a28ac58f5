"""A non-blocking TCP connection with kernel receive stamps, and a small HTTP/1.1 reader over it.

Shares no code with the program, whose parsers are under test."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from dataclasses import dataclass, field

TIMESTAMP_OPTION = 35  # SO_TIMESTAMPNS
ANCILLARY_BYTES = 64
READ_BYTES = 256 * 1024
LARGEST_HEAD = 64 * 1024
TCP_ESTABLISHED, TCP_CLOSE = 1, 7  # states of a connection, as TCP_INFO tells them
RESET_LOOKS, RESET_LOOK = 5, 0.005  # and seconds between them
RESET_LINGER = struct.pack("ii", 1, 0)


class Cut(Exception):
    """The connection ended or broke inside a message; `reset` tells how."""

    def __init__(self, reset: bool) -> None:
        super().__init__("reset" if reset else "ended")
        self.reset = reset


class BadMessage(Exception):
    """What came is no HTTP/1.1."""


@dataclass(slots=True)
class Message:
    """A request or an answer: `start` is its first line."""

    start: bytes
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    first_byte: float = 0.0  # Unix seconds, by the kernel, at which its first bytes had come
    last_byte: float = 0.0

    def values(self, name: bytes) -> list[bytes]:
        return [value for key, value in self.headers if key.lower() == name]

    def value(self, name: bytes) -> bytes:
        return next(iter(self.values(name)), b"")


class Wire:
    """Owns the socket. `stamp` is when the bytes read last had come."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.buffer, self.stamp, self.closed = sock, bytearray(), 0.0, False
        self.opened = time.time()
        self.begun = 0.0  # stamp of the first byte in the buffer
        self.inside = False  # a message has begun and is not whole
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, TIMESTAMP_OPTION, 1)

    async def fill(self) -> bool:
        """More bytes into the buffer; False at the end. OSError where the connection was reset."""
        while True:
            try:
                data, notes, _, _ = self.sock.recvmsg(READ_BYTES, ANCILLARY_BYTES)
                break
            except BlockingIOError:
                await wait_for_socket(self.sock, False)
        if data:
            self.stamp = stamp_of(notes)
            if not self.buffer:
                self.begun = self.stamp
            self.buffer += data
        return bool(data)

    async def send(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[self.sock.send(rest) :]
            except BlockingIOError:
                await wait_for_socket(self.sock, True)

    async def was_reset(self) -> bool:
        """After the end of what the other side sends: has it closed over bytes that it has not read? Its
        kernel answers those with a reset."""
        for _ in range(RESET_LOOKS):
            if self.state() == TCP_CLOSE:
                return True
            await asyncio.sleep(RESET_LOOK)
        return False

    def state(self) -> int:
        """Of the connection, as its kernel has it."""
        try:
            return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            return TCP_CLOSE

    def end_sending(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def close(self, reset: bool = False) -> None:
        if self.closed:
            return
        self.closed = True
        if reset:
            try:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            except OSError:
                pass
        self.sock.close()


def stamp_of(notes: list[tuple[int, int, bytes]]) -> float:
    for level, kind, data in notes:
        if level == socket.SOL_SOCKET and kind == TIMESTAMP_OPTION and len(data) >= 16:
            seconds, nanoseconds = struct.unpack_from("qq", data)
            return seconds + nanoseconds / 1e9
    return time.time()


async def wait_for_socket(sock: socket.socket, writable: bool) -> None:
    loop = asyncio.get_running_loop()
    ready: asyncio.Future[None] = loop.create_future()
    descriptor = sock.fileno()
    if descriptor < 0:
        raise OSError("closed here")

    def set_ready() -> None:
        if not ready.done():
            ready.set_result(None)

    (loop.add_writer if writable else loop.add_reader)(descriptor, set_ready)
    try:
        await ready
    finally:
        (loop.remove_writer if writable else loop.remove_reader)(descriptor)


async def connect(address: tuple[str, int]) -> Wire:
    sock = socket.socket()
    try:
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
        return Wire(sock)
    except BaseException:
        sock.close()
        raise


async def fill_or_cut(wire: Wire) -> None:
    try:
        more = await wire.fill()
    except OSError as error:
        raise Cut(True) from error
    if not more:
        raise Cut(False)


async def read_head(wire: Wire) -> Message | None:
    """None where the connection ended before the first byte of a message. `Cut` inside it, or at a reset."""
    wire.inside = False
    while b"\r\n\r\n" not in wire.buffer:
        wire.inside = bool(wire.buffer)
        if len(wire.buffer) > LARGEST_HEAD:
            raise BadMessage("no end of the head")
        try:
            await fill_or_cut(wire)
        except Cut as error:
            if error.reset or wire.buffer:
                raise
            return None
    head, _, rest = bytes(wire.buffer).partition(b"\r\n\r\n")
    first_byte = wire.begun
    wire.inside = True
    wire.buffer[:] = rest
    wire.begun = wire.stamp
    start, *lines = head.split(b"\r\n")
    headers = []
    for line in lines:
        key, colon, value = line.partition(b":")
        if not colon or not key or key != key.strip():
            raise BadMessage(f"header line {line[:60]!r}")
        headers.append((key, value.strip(b" \t")))
    return Message(start, headers, first_byte=first_byte, last_byte=wire.stamp)


async def take(wire: Wire, count: int) -> bytes:
    while len(wire.buffer) < count:
        await fill_or_cut(wire)
    data = bytes(wire.buffer[:count])
    del wire.buffer[:count]
    return data


async def take_line(wire: Wire) -> bytes:
    while b"\r\n" not in wire.buffer:
        await fill_or_cut(wire)
    line, _, rest = bytes(wire.buffer).partition(b"\r\n")
    wire.buffer[:] = rest
    return line


async def read_body(wire: Wire, message: Message, answer: bool) -> None:
    """By length, chunked or, of an answer, up to the connection's end."""
    lengths = set(message.values(b"content-length"))
    if len(lengths) > 1:
        raise BadMessage("two lengths")
    if b"chunked" in message.value(b"transfer-encoding").lower():
        if lengths:
            raise BadMessage("both a length and chunks")
        await read_chunks(wire, message)
    elif lengths:
        message.body = await take(wire, int(lengths.pop()))
    elif answer:
        while await wire.fill():
            pass
        message.body = bytes(wire.buffer)
        wire.buffer.clear()
    message.last_byte = wire.stamp
    wire.inside = False


async def read_chunks(wire: Wire, message: Message) -> None:
    parts = []
    while True:
        line = await take_line(wire)
        try:
            size = int(line.split(b";")[0], 16)
        except ValueError as error:
            raise BadMessage(f"chunk size {line[:40]!r}") from error
        if size == 0:
            break
        parts.append(await take(wire, size))
        if await take(wire, 2) != b"\r\n":
            raise BadMessage("no end of a chunk")
    while await take_line(wire):
        pass
    message.body = b"".join(parts)


async def read_request(wire: Wire) -> Message | None:
    message = await read_head(wire)
    if message is not None:
        if len(message.start.split(b" ")) != 3:
            raise BadMessage(f"request line {message.start[:80]!r}")
        await read_body(wire, message, False)
    return message


async def read_answer(wire: Wire) -> Message | None:
    """The next final answer; those of 1xx are left out."""
    while True:
        message = await read_head(wire)
        if message is None:
            return None
        if not message.start.startswith(b"HTTP/1.1 "):
            raise BadMessage(f"status line {message.start[:80]!r}")
        if status_of(message) >= 200:
            await read_body(wire, message, True)
            return message


def status_of(message: Message) -> int:
    try:
        return int(message.start.split(b" ")[1])
    except (IndexError, ValueError) as error:
        raise BadMessage(f"status line {message.start[:80]!r}") from error
