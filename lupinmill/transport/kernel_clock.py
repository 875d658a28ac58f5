"""Reads the wall clock by which the kernel takes its timestamps.

It may differ from what this process reads as the time: a library can shift the clocks of single processes,
and leaves the kernel's timestamps as they are."""

from __future__ import annotations

import socket
import struct
import time

from lupinmill.transport.clocks import NANOSECONDS

SO_TIMESTAMPNS = 35  # socket option: the kernel returns with each read the time when its last bytes arrived
ANCILLARY_SIZE = 64  # bytes
NANOSECONDS_IN_SECOND = 1_000_000_000
# Between the two readings of the monotonic clock; above this, the kernel's reading between them is discarded.
MAX_READING_GAP_US = 500
MAX_READ_TRIES = 3


def timestamp_of(ancillary: list[tuple[int, int, bytes]]) -> int | None:
    """Nanoseconds of Unix time at which the kernel received what came with this; None without a timestamp."""
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(data) >= 16:
            seconds, nanoseconds = struct.unpack_from("qq", data)
            return seconds * NANOSECONDS_IN_SECOND + nanoseconds
    return None


def read_offset() -> int | None:
    """Microseconds by which the kernel's wall clock is ahead of its monotonic one: by the timestamp of a
    datagram that this process sends to itself. None where the kernel gives no timestamp, or not now."""
    try:
        sender, receiver = socket.socketpair(socket.AF_UNIX, socket.SOCK_DGRAM)
    except OSError:
        return None  # no descriptor is free
    with sender, receiver:
        try:
            receiver.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
            receiver.setblocking(False)
            for _ in range(MAX_READ_TRIES):
                before = time.monotonic_ns()
                sender.send(b".")
                _, ancillary, _, _ = receiver.recvmsg(1, ANCILLARY_SIZE)
                held_up = time.monotonic_ns() - before > MAX_READING_GAP_US * NANOSECONDS
                stamp = timestamp_of(ancillary)
                if stamp is None:
                    return None
                if not held_up:
                    return (stamp - before) // NANOSECONDS
        except OSError:
            pass
    return None
