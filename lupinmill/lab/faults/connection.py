"""A non-blocking TCP connection with kernel receive timestamps, and a small HTTP/1.1 reader.

Shares no code with the program, whose parsers are under test."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field

TIMESTAMP_OPTION = 35  # SO_TIMESTAMPNS
ANCILLARY_BYTES = 64
READ_BYTES = 256 * 1024
MAX_HEAD_BYTES = 64 * 1024
TCP_ESTABLISHED, TCP_CLOSE = 1, 7  # connection states, as reported by TCP_INFO
LAST_DATA_OFFSET = 52  # in TCP_INFO: milliseconds since the last data arrived
RESET_CHECKS, RESET_CHECK_INTERVAL_S = 5, 0.005
RESET_LINGER = struct.pack("ii", 1, 0)


class ConnectionCut(Exception):
    """The connection ended inside a message, or was reset."""

    def __init__(self, reset: bool) -> None:
        super().__init__("reset" if reset else "ended")
        self.reset = reset


class MalformedMessage(Exception):
    """The bytes received are not valid HTTP/1.1."""


@dataclass(slots=True)
class Message:
    """A request or an answer; `start_line` is its first line."""

    start_line: bytes
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    first_byte_at: float = 0.0  # Unix seconds at which the kernel received its first bytes
    last_byte_at: float = 0.0

    def values(self, name: bytes) -> list[bytes]:
        return [value for key, value in self.headers if key.lower() == name]

    def value(self, name: bytes) -> bytes:
        return next(iter(self.values(name)), b"")


class Connection:
    """Owns the socket. `received_at` is when the kernel received the bytes read last."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.buffer, self.received_at, self.closed = sock, bytearray(), 0.0, False
        self.opened_at = time.time()
        self.buffer_began_at = 0.0  # when the first byte in the buffer was received
        self.in_message = False  # a message has begun and is incomplete
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, TIMESTAMP_OPTION, 1)

    async def read_more(self) -> bool:
        """Reads more bytes into the buffer; False at the end of the stream. Raises OSError after a reset."""
        while True:
            try:
                data, ancillary, _, _ = self.sock.recvmsg(READ_BYTES, ANCILLARY_BYTES)
                break
            except BlockingIOError:
                await wait_for_socket(self.sock, False)
        if data:
            self.received_at = receive_time(ancillary)
            if not self.buffer:
                self.buffer_began_at = self.received_at
            self.buffer += data
        return bool(data)

    async def send(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[self.sock.send(rest) :]
            except BlockingIOError:
                await wait_for_socket(self.sock, True)

    async def was_reset(self, is_stopped: Callable[[], bool]) -> bool:
        """Whether the other side, having ended its stream, closed with unread bytes: its kernel then sends a
        reset. While it `is_stopped` it can close nothing, and is waited for."""
        checks = 0
        while checks < RESET_CHECKS:
            checks += not is_stopped()
            if self.tcp_state() == TCP_CLOSE:
                return True
            await asyncio.sleep(RESET_CHECK_INTERVAL_S)
        return False

    def tcp_state(self) -> int:
        """The kernel's state of the connection."""
        try:
            return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            return TCP_CLOSE

    def last_data_at(self) -> float:
        """When the kernel received the last bytes, in Unix seconds; the current time if it does not tell. The
        end of the stream does not count, as it does in the timestamp of a read that comes after it."""
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_OFFSET + 4)
            (age_ms,) = struct.unpack_from("I", info, LAST_DATA_OFFSET)
        except (OSError, struct.error):
            age_ms = 0
        return time.time() - age_ms / 1000

    def shutdown_send(self) -> None:
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


def receive_time(ancillary: list[tuple[int, int, bytes]]) -> float:
    for level, kind, data in ancillary:
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


async def connect(address: tuple[str, int], receive_buffer: int | None = None) -> Connection:
    """`receive_buffer`: bytes that the kernel takes for a client that does not read; None: as usual."""
    sock = socket.socket()
    try:
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
        return Connection(sock)
    except BaseException:
        sock.close()
        raise


async def read_more_or_raise(connection: Connection) -> None:
    try:
        more = await connection.read_more()
    except OSError as error:
        raise ConnectionCut(True) from error
    if not more:
        raise ConnectionCut(False)


async def read_head(connection: Connection) -> Message | None:
    """None if the connection ended between messages. Raises ConnectionCut inside one or after a reset."""
    connection.in_message = False
    while b"\r\n\r\n" not in connection.buffer:
        connection.in_message = bool(connection.buffer)
        if len(connection.buffer) > MAX_HEAD_BYTES:
            raise MalformedMessage("no end of the head")
        try:
            await read_more_or_raise(connection)
        except ConnectionCut as error:
            if error.reset or connection.buffer:
                raise
            return None
    head, _, rest = bytes(connection.buffer).partition(b"\r\n\r\n")
    first_byte = connection.buffer_began_at
    connection.in_message = True
    connection.buffer[:] = rest
    connection.buffer_began_at = connection.received_at
    start, *lines = head.split(b"\r\n")
    headers = []
    for line in lines:
        key, colon, value = line.partition(b":")
        if not colon or not key or key != key.strip():
            raise MalformedMessage(f"header line {line[:60]!r}")
        headers.append((key, value.strip(b" \t")))
    return Message(start, headers, first_byte_at=first_byte, last_byte_at=connection.received_at)


async def read_exactly(connection: Connection, count: int) -> bytes:
    while len(connection.buffer) < count:
        await read_more_or_raise(connection)
    data = bytes(connection.buffer[:count])
    del connection.buffer[:count]
    return data


async def read_line(connection: Connection) -> bytes:
    while b"\r\n" not in connection.buffer:
        await read_more_or_raise(connection)
    line, _, rest = bytes(connection.buffer).partition(b"\r\n")
    connection.buffer[:] = rest
    return line


async def read_body(connection: Connection, message: Message, answer: bool) -> None:
    """Reads a body with a length or in chunks, or, of an answer, up to the end of the connection."""
    lengths = set(message.values(b"content-length"))
    if len(lengths) > 1:
        raise MalformedMessage("two lengths")
    if b"chunked" in message.value(b"transfer-encoding").lower():
        if lengths:
            raise MalformedMessage("both a length and chunks")
        await read_chunks(connection, message)
    elif lengths:
        message.body = await read_exactly(connection, int(lengths.pop()))
    elif answer:
        while await connection.read_more():
            pass
        message.body = bytes(connection.buffer)
        connection.buffer.clear()
    message.last_byte_at = connection.received_at
    connection.in_message = False


async def read_chunks(connection: Connection, message: Message) -> None:
    parts = []
    while True:
        line = await read_line(connection)
        try:
            size = int(line.split(b";")[0], 16)
        except ValueError as error:
            raise MalformedMessage(f"chunk size {line[:40]!r}") from error
        if size == 0:
            break
        parts.append(await read_exactly(connection, size))
        if await read_exactly(connection, 2) != b"\r\n":
            raise MalformedMessage("no end of a chunk")
    while await read_line(connection):
        pass
    message.body = b"".join(parts)


async def read_request(connection: Connection) -> Message | None:
    message = await read_head(connection)
    if message is not None:
        if len(message.start_line.split(b" ")) != 3:
            raise MalformedMessage(f"request line {message.start_line[:80]!r}")
        await read_body(connection, message, False)
    return message


async def read_answer(connection: Connection) -> Message | None:
    """The next final answer; skips those with a status of 1xx. None if the connection has ended."""
    while True:
        message = await read_head(connection)
        if message is None:
            return None
        if not message.start_line.startswith(b"HTTP/1.1 "):
            raise MalformedMessage(f"status line {message.start_line[:80]!r}")
        if status_of(message) >= 200:
            await read_body(connection, message, True)
            return message


def status_of(message: Message) -> int:
    try:
        return int(message.start_line.split(b" ")[1])
    except (IndexError, ValueError) as error:
        raise MalformedMessage(f"status line {message.start_line[:80]!r}") from error
