"""A client's connection: as any other, and it is watched for its client's end while a submission waits.

Owns what its client sent ahead of its turn, which `receive` hands out first and `close` gives back."""

from __future__ import annotations

import errno
import select
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio

from lupinmill.transport.arrivals import Arrivals, Backlog, Read, ElapsedWait
from lupinmill.transport.connection import ANCILLARY_SIZE, Connection
from lupinmill.transport.buffers import BlockPool

NEW_IDLE_S = 0.1  # seconds without a byte after which a new connection makes room for others, ...
USED_IDLE_S = 2.0  # ... and seconds between two submissions after which one that was used does
MAX_PIPELINED_BYTES = 64 * 1024  # bytes kept of what a client sends ahead of its turn, ...
MAX_PIPELINED_PIECES = 64  # ... in so many pieces, each with the time at which it came
READ_SIZE, READS_PER_TURN = (
    16 * 1024,
    4,
)  # bytes read at once; reads in a row before others get their turn, ...
READS_WITHOUT_TCP_INFO = 512  # ... and where no kernel tells of an end behind unread bytes
# States of a TCP connection (`tcp_states.h`) that its other side has ended or reset: TIME_WAIT, CLOSE,
# CLOSE_WAIT, LAST_ACK, CLOSING. FIN_WAIT1 and FIN_WAIT2 are not among them: there this side alone has.
ENDED_STATES = (6, 7, 8, 9, 11)
TCP_STATES = range(1, 13)  # all there are
MAX_LATE_BYTES = 256 * 1024  # bytes of what lay unread when a time was over that are read still
MIN_RTT_OFFSET = 148  # where tcp_info tells the least round-trip time of late, in microseconds
MEMORY_ERRORS = (
    errno.ENOMEM,
    errno.ENOBUFS,
)  # the kernel is short of memory: nothing is known of the other side


@dataclass(slots=True)
class PipelinedData:
    """Of what a client sent ahead of its turn, with the marks of its coming as in `Connection`."""

    data: bytearray
    arrived: int
    read_at: int
    backlog: Backlog | None


class Client(Connection):
    """While idle it can be told to close; its own task then does so."""

    def __init__(self, sock: socket.socket, block_pool: BlockPool, release: Callable[[], None]) -> None:
        self.pipelined: deque[PipelinedData] = (
            deque()
        )  # before all else: a socket that is broken already is closed at once
        self.pipelined_size = 0
        self.arrivals = Arrivals(self.round_trip)
        self.backlog: Backlog | None = None  # in which the last bytes came that were handed out
        super().__init__(sock, block_pool, release)
        self.waiting: anyio.CancelScope | None = None
        self.has_requested = False  # a whole request has come on it
        # None of its requests was answered by this process: it may have waited in the kernel's queue, where
        # nobody saw it leave, and no stamp tells for how long.
        self.unanswered = True
        self.backlog_wait = 0  # microseconds that it may have waited there at the most
        self.admitted = False  # a request of its is being worked on
        self.unwritable = False  # it takes no answers
        self.waiter: Any = None  # a request of its that waits before the program
        self.prefetched = b""  # read at the door, before its task was woken
        self.pipelined_dropped = (
            False  # it sent more ahead than is kept: this connection serves no other request
        )
        self.disconnected = False  # its client has ended it
        self.response_due = False  # a request of its was read whole, and no byte of its answer is written

    def evictable(self, now: float) -> bool:
        return now - self.idle_since >= (USED_IDLE_S if self.has_requested else NEW_IDLE_S)

    def close(self) -> None:
        super().close()
        self.pipelined.clear()
        self.pipelined_size = 0

    async def receive(self) -> bytes:
        """What came ahead of its turn first, piece by piece, each with the time at which it came. Nothing
        behind bytes that were dropped: what follows would be taken for the rest of a request."""
        if self.pipelined:
            piece = self.pipelined.popleft()
            self.pipelined_size -= len(piece.data)
            self.arrived, self.read_at, self.backlog = piece.arrived, piece.read_at, piece.backlog
            return bytes(piece.data)
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
        """As `has_unread`, asked only where the last read doesn't tell, for the arrivals."""
        if not self.arrivals.known_empty and not self.has_unread():
            self.arrivals.mark_empty()
        return not self.arrivals.known_empty

    def round_trip(self) -> int:
        """Microseconds to the client and back; none where no kernel tells."""
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, MIN_RTT_OFFSET + 4)
            return struct.unpack_from("I", info, MIN_RTT_OFFSET)[0]
        except (AttributeError, OSError, struct.error):
            return 0

    def response_starts(self) -> None:
        """Its answer is about to be written. What was read already keeps its backlog."""
        if self.arrivals.backlog is not None and not self.pipelined and not self.has_unread():
            self.arrivals.mark_empty()
            self.arrivals.response_starts(time.monotonic_ns() // 1000)

    async def receive_unread(self) -> bytes:
        """What lies here at this moment, without waiting for more."""
        data = b""
        while len(data) < MAX_LATE_BYTES and self.has_unread():
            data += await self.receive()
        return data

    async def discard(self) -> int:
        """Reads what comes next to drop it: so many bytes, none at the end."""
        self.pipelined.clear()
        self.pipelined_size = 0
        return len(await super().receive())

    def check_disconnected(self) -> bool:
        """Has its client left? Reads what lies ahead of the end, which nothing could be seen behind: guards
        against launches for a client that sent more than one request and went. Only while nobody else
        reads."""
        for reads in range(READS_WITHOUT_TCP_INFO):
            if self.disconnected or self.closed:
                return True
            if reads >= READS_PER_TURN and (ended := self.ended_by_kernel()) is not None:
                return ended
            if not self.read_pipelined():
                break
        return self.disconnected

    def read_pipelined(self) -> bool:
        """One read of what came ahead of its turn; False where nothing lies unread."""
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
        elif not self.pipelined_dropped and self.pipelined_size + len(data) <= MAX_PIPELINED_BYTES:
            self.record_arrival(ancillary, len(data), READ_SIZE)
            self.keep_pipelined(PipelinedData(bytearray(data), self.arrived, self.read_at, self.backlog))
            # What was read before keeps its own time: a request of it may wait for its turn still.
            self.arrived, self.read_at, self.backlog = before
        else:
            self.pipelined_dropped = True
        return True

    def keep_pipelined(self, piece: PipelinedData) -> None:
        self.pipelined_size += len(piece.data)
        if len(self.pipelined) < MAX_PIPELINED_PIECES:
            self.pipelined.append(piece)
        else:
            self.pipelined[-1].data += piece.data

    def elapsed_wait(self) -> ElapsedWait:
        """Since it wrote the last byte of the request that was read last."""
        since_last = self.unread_time()
        if self.backlog is None:
            return ElapsedWait(since_last, since_last)
        return self.backlog.waited(time.monotonic_ns() // 1000)

    def max_elapsed_wait(self, left: int, incomplete: bool = False) -> int:
        """Microseconds that it has waited at the most for a request with so much time left; `comes`: its last
        byte is not read yet. Where no kernel tells, the first one of a connection may have lain in the
        kernel's queue for as long as that was not seen empty: guards against launches that are ended more time
        than their client has, and answers after its hard limit. An eighth of the time is left in any case, or
        a queue that never empties would have all of it denied."""
        if incomplete:
            waited = self.arrivals.waited_at_most(time.monotonic_ns() // 1000, self.has_unread())
        else:
            waited = self.elapsed_wait().at_most
        if self.arrived or not self.unanswered:
            return waited
        return max(waited, min(self.backlog_wait, left - left // 8))

    async def wait_disconnected(self) -> None:
        """Waits until its client has left."""
        while True:
            self.check_unread()
            await anyio.wait_readable(self.sock)
            if self.check_disconnected():
                return

    def has_disconnected(self) -> bool:
        """As `look`, by the kernel's word alone, while somebody else reads: there bytes may lie unread that
        there is no room for."""
        return self.disconnected or self.closed or bool(self.ended_by_kernel())

    def ended_by_kernel(self) -> bool | None:
        """The kernel's word on its other side's end, whatever lies unread before it; None where it has
        none."""
        try:
            (state,) = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except (AttributeError, OSError, ValueError):
            state = 0  # not on this system
        if state in TCP_STATES:
            return state in ENDED_STATES
        return True if self.hung_up_by_poll() else None

    def hung_up_by_poll(self) -> bool:
        """By `poll`. That it says nothing may be for want of knowing."""
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
