"""A client's connection: as any other, and it is watched for its client's end while a submission waits.

Owns what its client sent ahead of its turn, which `receive` hands out first and `close` gives back."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from typing import Any

import anyio

from lupinmill.transport.connection import STAMP_ROOM, Connection
from lupinmill.transport.ring import Store

SILENT = 0.1  # seconds without a byte after which a new connection makes room for others, ...
IDLE = 2.0  # ... and seconds between two submissions after which one that was used does
AHEAD = 64 * 1024  # bytes kept of what a client sends ahead of its turn
AT_ONCE, READS = 16 * 1024, 4  # bytes read at once; reads in a row before others get their turn
ENDED = (4, 5, 6, 7, 8, 9, 11)  # states of a TCP connection that its other side has ended or reset


class Client(Connection):
    """While idle it can be told to close; its own task then does so."""

    def __init__(self, sock: socket.socket, store: Store, give_back: Callable[[], None]) -> None:
        super().__init__(sock, store, give_back)
        self.waiting: anyio.CancelScope | None = None
        self.asked = False  # a whole request has come on it
        # None of its requests was answered by this process: it may have waited in the kernel's queue, where
        # nobody saw it leave, and no stamp tells for how long.
        self.new = True
        self.queued = 0  # microseconds that it may have waited there at the most
        self.inside = False  # a request of its is being worked on
        self.broken = False  # it takes no answers
        self.offer: Any = None  # a request of its that waits before the program
        self.early = b""  # read at the door, before its task was woken
        self.ahead = bytearray()
        self.overrun = False  # it sent more ahead than is kept: this connection serves no other request
        self.left = False  # its client has ended it

    def spare(self, now: float) -> bool:
        return now - self.idle_since >= (IDLE if self.asked else SILENT)

    def close(self) -> None:
        super().close()
        self.ahead.clear()

    async def receive(self) -> bytes:
        if self.ahead:
            data = bytes(self.ahead)
            self.ahead.clear()
            return data
        return await super().receive()

    def look(self) -> bool:
        """Has its client left? Reads what lies ahead of the end, which nothing could be seen behind: guards
        against launches for a client that sent more than one request and went. Only while nobody else
        reads."""
        for _ in range(READS):
            if self.left or self.closed:
                break
            try:
                data, notes, _, _ = self.sock.recvmsg(AT_ONCE, STAMP_ROOM)
            except BlockingIOError:
                break
            except OSError:
                data = b""
            if not data:
                self.left = True
            elif not self.overrun and len(self.ahead) + len(data) <= AHEAD:
                self.ahead += data
                self.stamp(notes)
            else:
                self.overrun = True
        return self.left or self.closed

    def waited_for(self, left: int) -> int:
        """As `waited`, of a request with so much time left. Where no kernel tells, the first one of a
        connection may have lain in the kernel's queue for as long as that was not seen empty: guards against
        launches that are told more time than their client has, and answers after its hard limit. An eighth of
        the time is left in any case, or a queue that never empties would have all of it denied."""
        waited = self.waited()
        if self.arrived or not self.new:
            return waited
        return max(waited, min(self.queued, left - left // 8))

    async def gone(self) -> None:
        """Waits until its client has left."""
        while True:
            await anyio.wait_readable(self.sock)
            if self.look():
                return

    def ended(self) -> bool:
        """As `look`, by the kernel's word alone, while somebody else reads: there bytes may lie unread that
        there is no room for."""
        if self.left or self.closed:
            return True
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
            return struct.unpack("B", info)[0] in ENDED
        except (AttributeError, OSError, struct.error):
            return False  # not on this system
