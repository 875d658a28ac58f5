"""The clocks that a point in time may be read from, as types that must not be mixed. All times are whole
microseconds.

`MonotonicTime`: the kernel's monotonic clock. It is never set, and all processes of a machine share it until
the machine is restarted. `UnixTime`: a wall clock, which may be set at any moment, by seconds or by hours,
and differs from machine to machine. What leaves a process is an age, or says which of these clocks it was
read from."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import NewType

MonotonicTime = NewType("MonotonicTime", int)
UnixTime = NewType("UnixTime", int)

NANOSECONDS = 1_000  # in a microsecond


def monotonic_now() -> MonotonicTime:
    return MonotonicTime(time.monotonic_ns() // NANOSECONDS)


def unix_now() -> UnixTime:
    return UnixTime(time.time_ns() // NANOSECONDS)


class MonotonicClock:
    """The process's own time, by which its decisions are made."""

    def now(self) -> MonotonicTime:
        return monotonic_now()


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Both clocks, read at the same moment. It converts times of one into times of the other, as long as the
    wall clock is not set."""

    monotonic: MonotonicTime
    unix: UnixTime

    @classmethod
    def take(cls) -> ClockReading:
        return cls(monotonic_now(), unix_now())

    @property
    def unix_ahead(self) -> int:
        """Microseconds to add to a monotonic time for the Unix time of the same moment."""
        return self.unix - self.monotonic
