"""Estimates when a client wrote the bytes that were read from it. Pure: it is given each read, does no I/O
and reads no clock.

The kernel's timestamp of a read says when bytes arrived here. While the receive window is open that is when
they were written, apart from network latency. Once the window has been full it is not: bytes wait in the
sender's buffer, invisible to any kernel here, and arrive when this side reads. From then on only silence
proves that the client had not yet written its last byte: nothing unread, and nothing arriving for longer than
a round trip and the time for which TCP may hold back a segment."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

# All times in microseconds, all sizes in bytes.
WINDOW_BYTES = 32 * 1024  # unread bytes from which the window may have been full; Linux opens it with 64 KiB
# longer than a delayed acknowledgement (40 ms), for which a sender may hold its last segment
SILENCE_US = 50_000
SHORT_SILENCE_US = 8_000  # enough if more than such a segment has arrived after it
MAX_HELD_SEGMENT = 64 * 1024  # held back by a sender: less than the largest TCP segment
UNSTAMPED_SILENCE_US = 500_000  # without kernel timestamps, as a lagging event loop looks like silence
# from the end of a request to its response, in which bytes sent right behind it would have arrived
TURNAROUND_US = 1_000
MAX_PAUSES = 64  # short silences that are remembered


@dataclass(frozen=True, slots=True)
class ElapsedWait:
    """Microseconds for which a client has waited since it wrote its last byte.

    `at_most` sets the deadline that endpoints are given and bounds new attempts; `at_least` bounds how long
    attempts in flight may continue."""

    at_least: int
    at_most: int


@dataclass(frozen=True, slots=True)
class Read:
    """One read from the connection, by the monotonic clock."""

    size: int
    arrived: int  # when its last byte arrived at this machine
    at: int  # when it was read
    emptied: bool  # it left nothing unread
    stamped: bool = True  # the kernel gave a timestamp


@dataclass(frozen=True, slots=True)
class Backlog:
    """Bytes that may have been written together when the first of them arrived."""

    began: int
    idle_time: int = 0  # how much of the time since then nothing was unread

    def waited(self, now: int) -> ElapsedWait:
        at_most = max(0, now - self.began)
        return ElapsedWait(max(0, at_most - self.idle_time), at_most)


@dataclass(frozen=True, slots=True)
class Pause:
    """A short silence within a backlog."""

    ended: int
    size: int  # bytes of the backlog before it
    idle_time: int


class Arrivals:
    """Follows one connection over all its requests. `backlog` is None while arrival times can be trusted."""

    def __init__(self, round_trip: Callable[[], int]) -> None:
        """`round_trip`: microseconds to the client and back, called only within a backlog."""
        self.round_trip = round_trip
        self.backlog: Backlog | None = None
        self.backlog_size = 0
        self.pauses: deque[Pause] = deque()
        self.run_size = 0  # bytes read since nothing was unread
        self.run_began = 0
        self.last_read: Read | None = None
        self.known_empty = False  # the last read is known to have left nothing unread

    def read(self, read: Read) -> None:
        if self.last_read is None or self.known_empty:
            self.begin_run(read)
        self.run_size += read.size
        self.backlog_size += read.size
        if self.backlog is None and self.run_size > WINDOW_BYTES:
            self.backlog, self.backlog_size = Backlog(self.run_began), self.run_size
        self.confirm_pauses()
        self.last_read, self.known_empty = read, read.emptied

    def mark_empty(self) -> None:
        """Nothing is unread now, so nothing has been since the last read."""
        self.known_empty = True

    def waited_at_most(self, now: int, unread: bool) -> int:
        """Upper bound for a request whose last byte is not read yet. Unread bytes may include it."""
        if self.last_read is None:
            return 0
        if not unread:
            self.mark_empty()
            if self.backlog is None or self.silent(now):
                return 0
        if self.backlog is not None:
            return self.backlog.waited(now).at_most
        return max(0, now - (self.last_read.at if self.known_empty else self.last_read.arrived))

    def silent(self, now: int) -> bool:
        return now - self.last_read.at > SILENCE_US + 2 * self.round_trip()

    def response_starts(self, now: int) -> None:
        """A response starts while nothing is unread: bytes sent from now on were not sent with the
        request."""
        if self.last_read is not None and self.backlog is not None and self.known_empty:
            if now - self.last_read.at > TURNAROUND_US + 2 * self.round_trip():
                self.forget_backlog()

    def begin_run(self, read: Read) -> None:
        self.run_size, self.run_began = 0, read.arrived
        if self.last_read is not None and self.backlog is not None:
            silence = max(0, read.arrived - self.last_read.at)
            self.backlog = Backlog(self.backlog.began, self.backlog.idle_time + silence)
            self.evaluate_silence(silence, read)

    def evaluate_silence(self, silence: int, read: Read) -> None:
        long, short = (
            (SILENCE_US, SHORT_SILENCE_US) if read.stamped else (UNSTAMPED_SILENCE_US, UNSTAMPED_SILENCE_US)
        )
        if silence <= short:
            return
        margin = 2 * self.round_trip()
        if silence > long + margin:
            self.forget_backlog()
        elif silence > short + margin and len(self.pauses) < MAX_PAUSES:
            self.pauses.append(Pause(read.arrived, self.backlog_size, self.backlog.idle_time))

    def confirm_pauses(self) -> None:
        while self.pauses and self.backlog_size - self.pauses[0].size > MAX_HELD_SEGMENT:
            pause = self.pauses.popleft()
            self.backlog = Backlog(pause.ended, max(0, self.backlog.idle_time - pause.idle_time))

    def forget_backlog(self) -> None:
        self.backlog = None
        self.backlog_size = 0
        self.pauses.clear()
