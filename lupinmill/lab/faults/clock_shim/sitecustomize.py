"""Steps the wall clock of the process that loads it, and nothing else: Python imports it before the program's
first line. See `lab/faults/stepped_clock.py`, which writes the file that it reads.

The monotonic clocks and the kernel are not touched. Where the whole machine's clock is to be stepped, the
kernel's receive timestamps are shifted too, as they are read."""

import mmap
import os
import struct
import time

FILE_VARIABLE = "LUPINMILL_STEPPED_CLOCK"
OFFSETS = struct.Struct("qq")  # nanoseconds: of the wall clock; of the kernel's timestamps
SO_TIMESTAMPNS = 35


def map_offsets(path):
    with open(path, "rb") as file:
        return mmap.mmap(file.fileno(), OFFSETS.size, prot=mmap.PROT_READ)


def step_wall_clock(offsets):
    real_time, real_time_ns = time.time, time.time_ns
    real_gettime_ns = time.clock_gettime_ns

    def offset_ns():
        return OFFSETS.unpack_from(offsets)[0]

    def clock_gettime_ns(clock):
        return real_gettime_ns(clock) + (offset_ns() if clock == time.CLOCK_REALTIME else 0)

    time.time = lambda: real_time() + offset_ns() / 1e9
    time.time_ns = lambda: real_time_ns() + offset_ns()
    time.clock_gettime = lambda clock: clock_gettime_ns(clock) / 1e9
    time.clock_gettime_ns = clock_gettime_ns


def step_kernel_timestamps(offsets):
    import socket

    real_recvmsg, real_recvmsg_into = socket.socket.recvmsg, socket.socket.recvmsg_into

    def shifted(level, kind, data):
        if (level, kind) != (socket.SOL_SOCKET, SO_TIMESTAMPNS) or len(data) < 16:
            return level, kind, data
        seconds, nanoseconds = struct.unpack_from("qq", data)
        stamp = seconds * 1_000_000_000 + nanoseconds + OFFSETS.unpack_from(offsets)[1]
        return level, kind, struct.pack("qq", *divmod(stamp, 1_000_000_000))

    def recvmsg(self, *args):
        data, ancillary, flags, address = real_recvmsg(self, *args)
        return data, [shifted(*each) for each in ancillary], flags, address

    def recvmsg_into(self, *args):
        count, ancillary, flags, address = real_recvmsg_into(self, *args)
        return count, [shifted(*each) for each in ancillary], flags, address

    socket.socket.recvmsg, socket.socket.recvmsg_into = recvmsg, recvmsg_into


def install(path):
    offsets = map_offsets(path)
    step_wall_clock(offsets)
    if os.environ.get(FILE_VARIABLE + "_KERNEL"):
        step_kernel_timestamps(offsets)


if FILE_VARIABLE in os.environ:
    install(os.environ[FILE_VARIABLE])
