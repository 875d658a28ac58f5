"""One TCP connection: a non-blocking socket with a ring buffer a direction."""

from __future__ import annotations

import errno
import ipaddress
import socket
import struct
import time
from collections.abc import Callable

import anyio

from lupinmill.transport import wall_clock
from lupinmill.transport.buffers import RingBuffer, BlockPool
from lupinmill.transport.wall_clock import KERNEL_ROUNDING_US


SO_TIMESTAMPNS = 35  # SO_TIMESTAMPNS: the kernel tells with each read when its last bytes came
ANCILLARY_SIZE = 64  # bytes
LAST_DATA_OFFSET = 52  # where tcp_info says how many milliseconds ago the last data came

# What a connect ends with where this machine, not the other side, has no more of something: local ports,
# memory, descriptors.
LOCAL_ERRORS = (errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE, errno.ENFILE, errno.EAGAIN)


class Unconnected(Exception):
    """The connection never came up."""


class NoDescriptor(Exception):
    """There is none left for a connection: no fault of the other side's."""


class Connection:
    """`close` is the one place where the socket, the storage and the descriptor are given back."""

    def __init__(self, sock: socket.socket, block_pool: BlockPool, release: Callable[[], None]) -> None:
        self.sock, self.release = sock, release
        self.incoming, self.outgoing = RingBuffer(block_pool), RingBuffer(block_pool)
        self.closed = False
        self.saw_reset = False  # as a send was told: the kernel says so once, then shows a proper end
        self.idle_since = 0.0
        # Microseconds of the monotonic clock at which the last bytes read had come; 0: no stamp tells.
        self.arrived = 0
        self.read_at = 0  # nanoseconds of the monotonic clock at which they were read; 0: nothing was
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            self.close()
            raise
        try:
            sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        except OSError:
            pass  # not on this system

    def __enter__(self) -> Connection:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.incoming.clear()
            self.outgoing.clear()
            self.sock.close()
            self.release()

    async def receive(self) -> bytes:
        """The next bytes, none at the end; OSError where the connection broke."""
        while True:
            await anyio.wait_readable(self.sock)
            if (data := self.read()) is not None:
                return data

    def read(self) -> bytes | None:
        """As `receive`, of what lies unread already; None where nothing does."""
        try:
            room = self.incoming.writable()
            count, ancillary, _, _ = self.sock.recvmsg_into([room], ANCILLARY_SIZE)
            self.record_arrival(ancillary, count, len(room))
            self.incoming.commit(count)
        except BlockingIOError:
            self.incoming.commit(0)
            return None
        data = bytes(self.incoming.readable())
        self.incoming.consume(len(data))
        if not data and self.saw_reset:
            raise ConnectionResetError(errno.ECONNRESET, "reset, as a send was told")
        return data

    def record_arrival(self, ancillary: list[tuple[int, int, bytes]], count: int, room: int) -> None:
        """Of a read of `got` bytes where there was room for so many. Guards against a machine whose clock is
        set: only here a stamp is read against it."""
        self.read_at = time.monotonic_ns()
        for level, kind, data in ancillary:
            if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(data) >= 16:
                seconds, nanoseconds = struct.unpack_from("qq", data)
                age = wall_clock.SHARED.age(seconds * 1_000_000 + nanoseconds // 1000, self.time_since_data)
                self.arrived = 0 if age is None else self.read_at // 1000 - age

    def unread_time(self) -> int:
        """Microseconds since the last bytes came, which lay in the kernel before they were read, and here
        behind what came with them; the latter alone where no kernel tells.

        Guards against a loop that lags: what it reads late would count as late sent, by a client whose hard
        limit runs already, or by an endpoint that was quick. Guards against clients that send several
        requests at once: the time of those behind the first runs while it is served."""
        now = time.monotonic_ns() // 1000
        if self.arrived:
            return max(0, now - self.arrived)
        here = now - self.read_at // 1000 if self.read_at else 0
        return max(here, self.time_since_data() - KERNEL_ROUNDING_US)

    def time_since_data(self) -> int:
        """Microseconds since data came last, as the kernel tells in whole milliseconds; 0 where none does."""
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_OFFSET + 4)
            return struct.unpack_from("I", info, LAST_DATA_OFFSET)[0] * 1000
        except (AttributeError, OSError, struct.error):
            return 0  # not on this system

    async def send(self, data: bytes) -> None:
        """Returns once the last byte is written; whatever it raises, that has not happened."""
        rest = memoryview(data)
        while rest or self.outgoing.size:
            rest = rest[self.outgoing.write(rest) :]
            try:
                self.outgoing.consume(self.sock.send(self.outgoing.readable()))
            except BlockingIOError:
                await anyio.wait_writable(self.sock)
            except ConnectionResetError:
                self.saw_reset = True
                raise

    def is_idle(self) -> bool:
        """Open at both ends with nothing to read."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def has_unread(self) -> bool:
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def reset_on_close(self) -> None:
        """The other side is to see that this is no proper end."""
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass

    def shut_down_sending(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass


def split_address(address: str) -> tuple[str, int]:
    """Guards against names too: looking one up would hold the whole loop, and there is no DNS."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 0 <= int(port) < 65536:
            raise ValueError
    except ValueError:
        raise ValueError(f"{address[:80]!r} is not IP:port") from None
    return host.strip("[]"), int(port)


def stream_socket(host: str) -> socket.socket:
    return socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)


def listen_at(address: str, backlog: int) -> socket.socket:
    """A listening socket. The next process of an upgrade may listen there beside this one."""
    host, port = split_address(address)
    sock = stream_socket(host)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if hasattr(socket, "SO_REUSEPORT"):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, port))
        sock.listen(backlog)
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    return sock


async def connect(
    address: str,
    timeout_s: float,
    block_pool: BlockPool,
    release: Callable[[], None],
    keep_late: Callable[[Connection], bool] = lambda connection: False,
) -> Connection:
    """Guards against machines that say nothing: the time-out is ours, the kernel's takes minutes.

    `keep_late` may take over a connection that has not come up in time and may still do so."""
    try:
        host, port = split_address(address)
        sock = stream_socket(host)
    except ValueError as error:
        release()
        raise Unconnected(str(error)) from error
    except OSError as error:
        release()
        raise connect_error(error) from error
    connection: Connection | None = None
    try:
        connection = Connection(sock, block_pool, release)
        with anyio.fail_after(timeout_s):
            await establish(sock, host, port)
        established, connection = connection, None
        return established
    except TimeoutError as error:
        if keep_late(connection):
            connection = None
        raise connect_error(error) from error
    except OSError as error:
        raise connect_error(error) from error
    finally:
        if connection is not None:
            connection.close()


async def establish(sock: socket.socket, host: str, port: int) -> None:
    try:
        sock.connect((host, port))
    except BlockingIOError:
        await anyio.wait_writable(sock)
    if failed := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        raise OSError(failed, "connect failed")
    reject_self_connection(sock)


def reject_self_connection(sock: socket.socket) -> None:
    """Where nobody listens at a port of the range for outgoing connections of this machine, a connect from
    just that port meets itself, and would read its own request. Raises OSError."""
    if sock.getsockname()[:2] == sock.getpeername()[:2]:
        raise ConnectionRefusedError(errno.ECONNREFUSED, "connected to itself")


def is_established(sock: socket.socket) -> bool:
    """Of one that was still connecting. Raises OSError where it will never come up."""
    if failed := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        raise OSError(failed, "connect failed")
    try:
        reject_self_connection(sock)
    except OSError as error:
        if error.errno == errno.ENOTCONN:
            return False
        raise
    return True


def connect_error(error: OSError) -> Unconnected | NoDescriptor:
    """What is short on this machine is no endpoint's fault."""
    return NoDescriptor(str(error)) if error.errno in LOCAL_ERRORS else Unconnected(str(error))
