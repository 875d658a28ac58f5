"""One TCP connection: a non-blocking socket with a ring buffer for what is read."""

from __future__ import annotations

import errno
import fcntl
import ipaddress
import socket
import struct
import time
from collections.abc import Callable

import anyio

from lupinmill.transport import wall_clock
from lupinmill.transport.buffers import BlockPool, RingBuffer
from lupinmill.transport.clocks import NANOSECONDS
from lupinmill.transport.kernel_clock import ANCILLARY_SIZE, SO_TIMESTAMPNS, timestamp_of
from lupinmill.transport.progress import AcknowledgementProgress
from lupinmill.transport.wall_clock import KERNEL_ROUNDING_US

LAST_DATA_OFFSET = 52  # offset in tcp_info of the milliseconds since the last data arrived
# requests of `ioctl` on Linux: bytes written that the other side has not acknowledged; that were never sent
SIOCOUTQ, SIOCOUTQNSD = 0x5411, 0x894B
PROGRESS_CHECK_S = 0.25  # between two looks at a send queue that is full

# Errors of a connect for which this machine, not the other side, is short of something: local ports, memory,
# descriptors.
LOCAL_ERRORS = (errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE, errno.ENFILE, errno.EAGAIN)


class Unconnected(Exception):
    """The connection was never established."""


class NoDescriptor(Exception):
    """No descriptor is left for a connection, which is not the other side's fault."""


class SendRecalled(Exception):
    """No more may be written on the connection; the last byte was not."""


class Connection:
    """`close` is the only place where the socket, the buffers and the descriptor are released."""

    def __init__(self, sock: socket.socket, block_pool: BlockPool, release: Callable[[], None]) -> None:
        self.sock, self.release = sock, release
        self.incoming = RingBuffer(block_pool)
        self.closed = self.writing_ended = False
        # a send failed with a reset, which the kernel reports once and then shows as a regular end
        self.saw_reset = False
        self.idle_since = 0.0
        # Microseconds of the monotonic clock at which the last bytes read had arrived; 0: no timestamp.
        self.arrived = 0
        self.read_at = 0  # nanoseconds of the monotonic clock at which they were read; 0: nothing was read
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
            self.sock.close()
            self.release()

    async def receive(self) -> bytes:
        """Returns the next bytes, empty at the end. Raises OSError if the connection broke."""
        while True:
            await anyio.wait_readable(self.sock)
            if (data := self.read()) is not None:
                return data

    def read(self) -> bytes | None:
        """Like `receive`, for bytes that are already unread; returns None if there are none."""
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
            raise ConnectionResetError(errno.ECONNRESET, "connection reset, as an earlier send reported")
        return data

    def record_arrival(self, ancillary: list[tuple[int, int, bytes]], count: int, room: int) -> None:
        """Records the arrival time of a read of `count` bytes into a buffer of `room` bytes. The timestamp is
        compared with the wall clock only here, which guards against that clock being set."""
        self.read_at = time.monotonic_ns()
        if (stamp := timestamp_of(ancillary)) is not None:
            age = wall_clock.SHARED.age(stamp // NANOSECONDS, self.time_since_data)
            self.arrived = 0 if age is None else self.read_at // NANOSECONDS - age

    def unread_time(self) -> int:
        """Microseconds since the last bytes arrived: the time that they waited in the kernel before they were
        read, and here behind bytes read together with them. Only the latter if the kernel gives no time.

        Guards against a lagging event loop: bytes that it reads late would count as sent late, by a client
        whose hard limit is already running or by an endpoint that was quick. Also guards clients that
        pipeline requests: the time of the later ones runs while the first is served."""
        now = time.monotonic_ns() // 1000
        if self.arrived:
            return max(0, now - self.arrived)
        here = now - self.read_at // 1000 if self.read_at else 0
        return max(here, self.time_since_data() - KERNEL_ROUNDING_US)

    def time_since_data(self) -> int:
        """Microseconds since data last arrived, which the kernel tells in whole milliseconds; 0 if it does
        not."""
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_OFFSET + 4)
            return struct.unpack_from("I", info, LAST_DATA_OFFSET)[0] * 1000
        except (AttributeError, OSError, struct.error):
            return 0  # not on this system

    def end_writing(self) -> None:
        """From now on `send` writes nothing, and raises SendRecalled. To cancel its task is not enough: one
        that is about to run is cancelled only where it waits next, and would write until then."""
        self.writing_ended = True

    async def send(self, data: bytes) -> None:
        """Returns once the last byte is written. If it raises, the last byte was not written. Copies nothing:
        the caller's bytes are the only ones held while the other side does not read."""
        rest = memoryview(data)
        while rest:
            if self.writing_ended:
                raise SendRecalled
            try:
                rest = rest[self.sock.send(rest) :]
            except BlockingIOError:
                await anyio.wait_writable(self.sock)
            except ConnectionResetError:
                self.saw_reset = True
                raise

    async def send_while_read(self, data: bytes, stall_timeout_s: float) -> None:
        """Like `send`, however slowly the other side reads. Raises TimeoutError if it acknowledges nothing
        for `stall_timeout_s` seconds."""
        rest = memoryview(data)
        progress: AcknowledgementProgress | None = None
        while rest:
            try:
                rest = rest[self.sock.send(rest) :]
                progress = None
            except BlockingIOError:
                now = anyio.current_time()
                progress = progress or AcknowledgementProgress(now, self.unacknowledged())
                if progress.stalled_s(now, self.unacknowledged()) >= stall_timeout_s:
                    raise TimeoutError("the other side reads nothing") from None
                # tried again also where the kernel does not call the socket writable yet
                with anyio.move_on_after(min(PROGRESS_CHECK_S, stall_timeout_s)):
                    await anyio.wait_writable(self.sock)
            except ConnectionResetError:
                self.saw_reset = True
                raise

    def is_idle(self) -> bool:
        """Whether both ends are open and nothing is unread."""
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

    def unacknowledged(self) -> int | None:
        """Bytes written that the other side's kernel has not acknowledged, which may take 40 ms where nothing
        is wrong; None if this kernel does not tell."""
        return self.queue_size(SIOCOUTQ)

    def unsent(self) -> int | None:
        """Of these the bytes that were never sent, as the other side does not read."""
        return self.queue_size(SIOCOUTQNSD)

    def queue_size(self, request: int) -> int | None:
        try:
            return struct.unpack("i", fcntl.ioctl(self.sock, request, bytes(4)))[0]
        except (OSError, ValueError):
            return None

    def recall_unacknowledged(self) -> None:
        """Makes `close` take back what the other side has not got yet, which the kernel would go on sending,
        for minutes if need be."""
        if not self.closed and self.unacknowledged():
            self.reset_on_close()

    def reset_on_close(self) -> None:
        """Makes `close` reset the connection, so that the other side does not take it for a regular end."""
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
    """Accepts IP addresses only: a name lookup would block the event loop, and there is no DNS."""
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
    """Returns a listening socket. The next process of an upgrade may listen at the same address."""
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
    """Connects with a time-out of its own, as the kernel's takes minutes if a machine does not answer.

    `keep_late` may take over a connection that was not established in time and still may be."""
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
    """Rejects a connection to itself: if nobody listens at a port of this machine's ephemeral range, a
    connect from just that port reaches itself and would read its own request. Raises OSError."""
    if sock.getsockname()[:2] == sock.getpeername()[:2]:
        raise ConnectionRefusedError(errno.ECONNREFUSED, "connected to itself")


def is_established(sock: socket.socket) -> bool:
    """Whether a pending connect has finished. Raises OSError if it failed."""
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
    """A shortage on this machine is not the endpoint's fault."""
    return NoDescriptor(str(error)) if error.errno in LOCAL_ERRORS else Unconnected(str(error))
