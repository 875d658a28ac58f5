"""A client's connection, which is also watched for the client disconnecting while a request waits.

Owns the bytes that the client pipelined, which `receive` returns first and `close` discards."""

from __future__ import annotations

import errno
import select
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import Any

import anyio

from lupinmill.transport.arrivals import Arrivals, Backlog, ElapsedWait, Read
from lupinmill.transport.buffers import BlockPool, MemoryLease, unlimited_lease
from lupinmill.transport.connection import ANCILLARY_SIZE, Connection

NEW_IDLE_S = 0.1  # seconds without a byte after which a new connection may be evicted, ...
USED_IDLE_S = 2.0  # ... and seconds between two requests after which a used one may
MAX_PIPELINED_BYTES = 64 * 1024  # pipelined bytes that are kept, ...
MAX_PIPELINED_PIECES = 64  # ... in at most this many pieces, each with its arrival time
# bytes per read; reads in a row before other tasks run, ...
READ_SIZE, READS_PER_TURN = 16 * 1024, 4
READS_WITHOUT_TCP_INFO = 512  # ... and where the kernel reports no end of stream behind unread bytes
# TCP states (`tcp_states.h`) in which the other side has closed or reset the connection: TIME_WAIT, CLOSE,
# CLOSE_WAIT, LAST_ACK, CLOSING. Not FIN_WAIT1 and FIN_WAIT2, where only this side has closed it.
ENDED_STATES = (6, 7, 8, 9, 11)
TCP_STATES = range(1, 13)  # all there are
MAX_LATE_BYTES = 256 * 1024  # unread bytes that are still read after a deadline
MIN_RTT_OFFSET = 148  # offset in tcp_info of the recent minimum round-trip time, in microseconds
MAX_DROPPED_BYTES = 1024 * 1024  # of further input, read and dropped before a connection is closed
# the kernel is short of memory, which says nothing about the other side
MEMORY_ERRORS = errno.ENOMEM, errno.ENOBUFS


class CloseReason(Enum):
    """Why a client's connection was ended here, as logged."""

    CLIENT_LEFT = "client left"
    ANSWERED = "closing answer"
    BROKEN_ANSWER = "answer broke off"
    NOT_READ = "answer not read"
    REFUSED = "request refused"
    NO_PLACE = "no place"
    IDLE = "idle"
    HANDED_OVER = "handed over"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class PipelinedData:
    """Pipelined bytes, with their arrival times as in `Connection`."""

    data: bytearray
    arrived: int
    read_at: int
    backlog: Backlog | None


def round_trip(sock: socket.socket) -> int:
    """Microseconds to the other side and back; 0 if the kernel does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, MIN_RTT_OFFSET + 4)
        return struct.unpack_from("I", info, MIN_RTT_OFFSET)[0]
    except (AttributeError, OSError, struct.error):
        return 0


class Client(Connection):
    """While idle it can be told to close; its own task then closes it."""

    def __init__(
        self,
        sock: socket.socket,
        block_pool: BlockPool,
        release: Callable[[], None],
        memory: MemoryLease | None = None,
    ) -> None:
        # set before anything else: the constructor closes a socket that is already broken
        self.memory = memory or unlimited_lease()  # for what is read ahead
        self.pipelined: deque[PipelinedData] = deque()
        self.pipelined_size = 0
        # how `closing.py` ends it: after a last response; by a reset; with so much of its input dropped
        self.lingers = self.resets = False
        self.max_dropped = MAX_DROPPED_BYTES
        # not a method of this object: in a cycle it would stay in memory until a garbage collection
        self.arrivals = Arrivals(partial(round_trip, sock))
        self.backlog: Backlog | None = None  # the backlog in which the bytes returned last arrived
        super().__init__(sock, block_pool, release)
        self.waiting: anyio.CancelScope | None = None
        self.has_requested = False  # a complete request has arrived on it
        # This process has answered none of its requests yet. The connection may have waited in the kernel's
        # accept queue, where nobody saw the client leave and no timestamp says for how long.
        self.unanswered = True
        self.backlog_wait = 0  # microseconds that it may have waited there, at most
        self.admitted = False  # one of its requests is being handled
        self.unwritable = False  # it takes no responses
        self.waiter: Any = None  # its request that is held by admission control
        self.held_size = 0  # bytes leased for that request
        self.prefetched = b""  # read by admission control before its task was woken
        # more was pipelined than is kept: this connection serves no other request
        self.pipelined_dropped = False
        self.disconnected = False  # the client has closed or reset it
        self.response_due = False  # a request was read in full, and no byte of its response is written
        self.close_reason: CloseReason | None = None

    def evictable(self, now: float) -> bool:
        return now - self.idle_since >= (USED_IDLE_S if self.has_requested else NEW_IDLE_S)

    def close(self) -> None:
        if self.resets:
            self.reset_on_close()
        elif not self.closed and self.unsent():
            self.drop_unread()
        super().close()
        self.drop_pipelined()
        self.memory.shrink(self.memory.size)

    async def receive(self) -> bytes:
        """Returns pipelined bytes first, piece by piece, each with its arrival time. Returns nothing behind
        bytes that were dropped, as what follows would be taken for the rest of a request."""
        if self.pipelined:
            return self.take_pipelined()
        if self.pipelined_dropped:
            return b""
        self.check_unread()
        return await super().receive()

    def record_arrival(self, ancillary: list[tuple[int, int, bytes]], got: int, room: int) -> None:
        super().record_arrival(ancillary, got, room)
        if not got:
            return
        read_at = self.read_at // 1000
        stamped = bool(ancillary) and self.arrived > 0
        arrived = self.arrived if stamped else read_at
        self.arrivals.read(Read(got, arrived, read_at, got < room, stamped))
        self.backlog = self.arrivals.backlog

    def check_unread(self) -> bool:
        """Like `has_unread`, but checks only if the last read does not tell, and updates the arrivals."""
        if not self.arrivals.known_empty and not self.has_unread():
            self.arrivals.mark_empty()
        return not self.arrivals.known_empty

    def response_starts(self) -> None:
        """Call before a response is written. Bytes that were already read keep their backlog."""
        if self.arrivals.backlog is not None and not self.pipelined and not self.has_unread():
            self.arrivals.mark_empty()
            self.arrivals.response_starts(time.monotonic_ns() // 1000)

    async def receive_unread(self) -> bytes:
        """Reads what is unread at this moment, without waiting for more."""
        data = b""
        while len(data) < MAX_LATE_BYTES and self.has_unread():
            data += await self.receive()
        return data

    async def discard(self) -> int:
        """Reads and drops the next bytes; returns their count, 0 at the end."""
        self.drop_pipelined()
        return len(await super().receive())

    def take_pipelined(self) -> bytes:
        """At most as much as one read returns: the caller's copy is not leased."""
        piece = self.pipelined[0]
        data = bytes(piece.data[:READ_SIZE])
        del piece.data[:READ_SIZE]
        if not piece.data:
            self.pipelined.popleft()
        self.pipelined_size -= len(data)
        self.memory.shrink(len(data))
        self.arrived, self.read_at, self.backlog = piece.arrived, piece.read_at, piece.backlog
        return data

    def drop_unread(self) -> None:
        """Closing over unread bytes would reset the connection, and lose what is unsent."""
        try:
            for _ in range(MAX_DROPPED_BYTES // READ_SIZE):
                if not self.sock.recv(READ_SIZE):
                    return
        except OSError:
            pass

    def drop_pipelined(self) -> None:
        self.pipelined.clear()
        self.memory.shrink(self.pipelined_size)
        self.pipelined_size = 0

    def check_disconnected(self) -> bool:
        """Checks whether the client has disconnected. Reads the bytes before the end of the stream, which
        would hide it: guards against attempts for a client that pipelined requests and left. Only while no
        other task reads."""
        for reads in range(READS_WITHOUT_TCP_INFO):
            if self.disconnected or self.closed:
                return True
            if reads >= READS_PER_TURN and (ended := self.ended_by_kernel()) is not None:
                return ended
            if not self.read_pipelined():
                break
        return self.disconnected

    def read_pipelined(self) -> bool:
        """Reads pipelined bytes once. Returns False if nothing is unread."""
        before = self.arrived, self.read_at, self.backlog
        try:
            data, ancillary, _, _ = self.sock.recvmsg(READ_SIZE, ANCILLARY_SIZE)
        except BlockingIOError:
            return False
        except OSError as error:
            self.disconnected = error.errno not in MEMORY_ERRORS
            return False
        if not data:
            self.disconnected = True
        elif not self.pipelined_dropped and self.has_room_for(len(data)):
            self.record_arrival(ancillary, len(data), READ_SIZE)
            self.keep_pipelined(PipelinedData(bytearray(data), self.arrived, self.read_at, self.backlog))
            # Bytes read before keep their own times: a request among them may still wait for its turn.
            self.arrived, self.read_at, self.backlog = before
        else:
            self.pipelined_dropped = True
        return True

    def has_room_for(self, count: int) -> bool:
        """Whether so many more bytes may be pipelined; leases memory for them."""
        return self.pipelined_size + count <= MAX_PIPELINED_BYTES and self.memory.grow(count)

    def keep_pipelined(self, piece: PipelinedData) -> None:
        self.pipelined_size += len(piece.data)
        if len(self.pipelined) < MAX_PIPELINED_PIECES:
            self.pipelined.append(piece)
        else:
            self.pipelined[-1].data += piece.data

    def elapsed_wait(self) -> ElapsedWait:
        """Time since the client wrote the last byte of the request that was read last."""
        since_last = self.unread_time()
        if self.backlog is None:
            return ElapsedWait(since_last, since_last)
        return self.backlog.waited(time.monotonic_ns() // 1000)

    def max_elapsed_wait(self, left: int, incomplete: bool = False) -> int:
        """Microseconds that the client has waited at most for a request with `left` microseconds to its
        deadline; `incomplete`: its last byte is not read yet. If the kernel gives no timestamp, the first
        request of a connection may have waited in the accept queue for as long as that was not seen empty:
        guards against attempts with a later deadline than the client's, and responses after its hard limit.
        An eighth of the time is left in any case, or a queue that never empties would have all requests
        rejected."""
        if incomplete:
            waited = self.arrivals.waited_at_most(time.monotonic_ns() // 1000, self.has_unread())
        else:
            waited = self.elapsed_wait().at_most
        if self.arrived or not self.unanswered:
            return waited
        return max(waited, min(self.backlog_wait, left - left // 8))

    async def wait_disconnected(self) -> None:
        """Waits until the client has disconnected."""
        while True:
            self.check_unread()
            await anyio.wait_readable(self.sock)
            if self.check_disconnected():
                return

    def has_disconnected(self) -> bool:
        """Like `check_disconnected`, but asks only the kernel, for use while another task reads: bytes may be
        unread that there is no room for."""
        return self.disconnected or self.closed or bool(self.ended_by_kernel())

    def ended_by_kernel(self) -> bool | None:
        """Whether the kernel says that the other side has closed, whatever is unread before that; None if it
        does not say."""
        try:
            (state,) = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except (AttributeError, OSError, ValueError):
            state = 0  # not on this system
        if state in TCP_STATES:
            return state in ENDED_STATES
        return True if self.hung_up_by_poll() else None

    def hung_up_by_poll(self) -> bool:
        """Asks `poll`. False may also mean that it does not know."""
        hung_up = getattr(select, "POLLRDHUP", 0)
        if not hung_up:
            return False
        poll = select.poll()
        try:
            poll.register(self.sock, hung_up)
            found = poll.poll(0)
        except (OSError, ValueError):
            return False
        return any(events & (hung_up | select.POLLHUP | select.POLLERR) for _, events in found)
