"""The clock by which an upgrade passes points in time. Pure.

The state has them as Unix time, as older versions read it. With it goes a reading of both clocks of the
sender, so that the receiver finds each time on the kernel's monotonic clock, which both processes share: the
wall clock may be set before, between and after."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from lupinmill.transport.clocks import ClockReading, MonotonicTime, UnixTime

Table = dict[str, Any]

CLOCK = "clock"  # key of the reading: its monotonic and its Unix time, in microseconds
# Between the sender's reading and the receiver's; above this they don't share a monotonic clock.
MAX_TRANSFER_US = 60_000_000


def encode_reading(reading: ClockReading) -> list[int]:
    return [reading.monotonic, reading.unix]


def decode_reading(table: Table) -> ClockReading | None:
    """None where the sender is of a version that tells none. Raises ValueError or TypeError."""
    if (found := table.get(CLOCK)) is None:
        return None
    monotonic, unix = found
    return ClockReading(MonotonicTime(int(monotonic)), UnixTime(int(unix)))


def unix_ahead_of(table: Table, times: Iterable[int], received: ClockReading) -> int:
    """Microseconds by which the times of this message are ahead of the receiver's monotonic clock.

    `times`: those of the message, none of which was to come when it was sent. An older version tells no
    reading: its message is taken to be as old as the latest of them, which makes no age longer than it is.
    Raises ValueError or TypeError for a message that can't be used."""
    reading = decode_reading(table)
    if reading is None:
        return max(times, default=received.unix) - received.monotonic
    if 0 <= received.monotonic - reading.monotonic <= MAX_TRANSFER_US:
        return reading.unix_ahead
    return reading.unix - received.monotonic


def not_to_come(at: int, now: int) -> int:
    """A time that was handed over, in the receiver's time: it has passed, whatever the sender says."""
    return min(at, now)
