"""The machine's wall clock, which may be set at any moment, by seconds or by an hour.

Only Unix times from outside this process are compared with it: the kernel's timestamps, and the start times
that discovery tells. Both are converted to this process's monotonic time. All other code uses the monotonic
clock.

Two readings are kept, each as the microseconds by which it is ahead of the monotonic clock: what this process
reads as the time, and what the kernel takes its timestamps by. Usually they are the same."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lupinmill.transport import kernel_clock
from lupinmill.transport.clocks import NANOSECONDS, monotonic_now

# All in microseconds.
# the smallest difference between two readings that means the clock was set and not merely adjusted
MIN_STEP_US = 2_000
# between two readings of the monotonic clock; a reading between them is discarded above this
MAX_READING_GAP_US = 500
MAX_STAMP_AGE_US = 60_000_000  # older timestamps are ignored
KERNEL_ROUNDING_US = 4_000  # by which the kernel may overstate a time
LATE_TICK_US = 20_000  # by which it may overstate one on a busy machine, where its tick comes late

MAX_READ_TRIES = 3  # to read both clocks together
MAX_REMEMBERED_STEPS = 4  # settings of the clock that are remembered
KERNEL_LOOK_PERIOD_US = 1_000_000  # between two looks at the kernel's clock while nothing seems set
KERNEL_LOOK_INTERVAL_US = 50_000  # between two looks at it for timestamps that fit none
# Looks in a row at which the kernel's clock alone had been set: then it does not go by the monotonic clock of
# this process, and tells nothing.
MAX_KERNEL_STEPS = 4


@dataclass(frozen=True, slots=True)
class ClockSteps:
    """Microseconds by which each reading was set since the last report."""

    process: int = 0
    kernel: int = 0

    def __bool__(self) -> bool:
        return bool(self.process or self.kernel)


class OffsetHistory:
    """By how many microseconds a wall clock is ahead of the monotonic one, now and before it was set."""

    def __init__(self, offset: int) -> None:
        self.current = offset
        self.former: deque[int] = deque(maxlen=MAX_REMEMBERED_STEPS)
        self.last_step_at: int | None = None  # microseconds of the monotonic clock

    def update(self, offset: int, now: int) -> int:
        """Microseconds by which the clock was set; 0 if it was merely adjusted."""
        step, before = offset - self.current, self.current
        self.current = offset
        if abs(step) < MIN_STEP_US:
            return 0
        if all(abs(before - former) >= MIN_STEP_US for former in self.former):
            self.former.append(before)
        self.last_step_at = now
        return step

    def was_set_within(self, span: int, now: int) -> bool:
        return self.last_step_at is not None and now - self.last_step_at < span


class WallClock:
    """Knows how far the wall clock is ahead of the monotonic one, by both readings.

    `read_kernel_offset`: as `kernel_clock.read_offset`."""

    def __init__(self, read_kernel_offset: Callable[[], int | None] = kernel_clock.read_offset) -> None:
        self.read_kernel_offset = read_kernel_offset
        self.process = OffsetHistory(self.initial_offset())
        self.first_offset = self.process.current
        kernel_offset = read_kernel_offset()
        self.kernel = None if kernel_offset is None else OffsetHistory(kernel_offset)
        self.kernel_steps_in_row = 0
        self.kernel_read_at = 0  # microseconds of the monotonic clock
        self.unreported = ClockSteps()

    def initial_offset(self) -> int:
        offset = self.read_process_offset()
        return (time.time_ns() - time.monotonic_ns()) // NANOSECONDS if offset is None else offset

    def read_process_offset(self) -> int | None:
        """None if the process was held up between the two readings, which looks like a step."""
        for _ in range(MAX_READ_TRIES):
            before = time.monotonic_ns()
            wall = time.time_ns()
            if time.monotonic_ns() - before < MAX_READING_GAP_US * NANOSECONDS:
                return (wall - before) // NANOSECONDS
        return None

    def update(self) -> None:
        """Looks at the clock of this process, and at the kernel's if that was not done just now."""
        if (
            not self.update_process_offset()
            and monotonic_now() - self.kernel_read_at >= KERNEL_LOOK_PERIOD_US
        ):
            self.update_kernel_offset(process_stepped=False)

    def update_process_offset(self) -> bool:
        """Whether the clock of this process was set. The kernel's may have been set with it."""
        offset = self.read_process_offset()
        step = 0 if offset is None else self.process.update(offset, monotonic_now())
        if not step:
            return False
        self.unreported = ClockSteps(self.unreported.process + step, self.unreported.kernel)
        self.update_kernel_offset(process_stepped=True)
        return True

    def update_kernel_offset(self, process_stepped: bool) -> None:
        if self.kernel_steps_in_row >= MAX_KERNEL_STEPS:
            return
        self.kernel_read_at = monotonic_now()
        if (offset := self.read_kernel_offset()) is None:
            return
        if self.kernel is None:
            self.kernel = OffsetHistory(offset)
            return
        step = self.kernel.update(offset, self.kernel_read_at)
        self.kernel_steps_in_row = self.kernel_steps_in_row + 1 if step and not process_stepped else 0
        if self.kernel_steps_in_row >= MAX_KERNEL_STEPS:
            self.kernel = None
        elif step:
            self.unreported = ClockSteps(self.unreported.process, self.unreported.kernel + step)

    def take_steps(self) -> ClockSteps:
        """Looks at the clocks. Returns by how much they were set since the last call."""
        self.update()
        steps, self.unreported = self.unreported, ClockSteps()
        return steps

    @property
    def difference(self) -> int:
        """Microseconds by which this process's reading is ahead of the kernel's; 0 if that is not known."""
        return 0 if self.kernel is None else self.process.current - self.kernel.current

    def possible_offsets(self) -> list[int]:
        """By which a Unix time from outside may be ahead of the monotonic clock."""
        of_kernel = [] if self.kernel is None else [self.kernel.current, *self.kernel.former]
        return [*of_kernel, self.process.current, self.first_offset, *self.process.former]

    def age(self, stamp: int, at_least: Callable[[], int]) -> int | None:
        """Microseconds of real time since the kernel's timestamp `stamp`, in microseconds of Unix time; None
        if that cannot be told.

        The stamp may be from before the clock was set. `at_least`: microseconds that have passed by a clock
        that is never set; called only if the offsets alone are ambiguous."""
        now, wall = time.monotonic_ns() // NANOSECONDS, time.time_ns() // NANOSECONDS
        if self.is_unambiguous(now, wall - now) and 0 <= wall - stamp < MAX_STAMP_AGE_US:
            self.process.current = wall - now  # it may be adjusted continuously, by less than a step
            return wall - stamp
        self.update_process_offset()
        possible = self.possible_ages(stamp)
        if not possible and now - self.kernel_read_at >= KERNEL_LOOK_INTERVAL_US:
            self.update_kernel_offset(process_stepped=False)
            possible = self.possible_ages(stamp)
        return likeliest(possible, at_least()) if len(possible) > 1 else min(possible, default=None)

    def possible_ages(self, stamp: int) -> list[int]:
        now = time.monotonic_ns() // NANOSECONDS
        ages = {now + offset - stamp for offset in self.possible_offsets()}
        return [age for age in ages if 0 <= age < MAX_STAMP_AGE_US]

    def is_unambiguous(self, now: int, process_offset: int) -> bool:
        """Whether all unread bytes have timestamps of the clock that this process reads: the usual case.

        Where the kernel's clock is known, a step is forgotten as soon as no unread bytes are from before it;
        else the kernel may go by a former setting for ever."""
        process, kernel = self.process, self.kernel
        if abs(process_offset - process.current) >= MIN_STEP_US:
            return False
        if kernel is None:
            return not process.former
        return (
            abs(process.current - kernel.current) < MIN_STEP_US
            and not process.was_set_within(MAX_STAMP_AGE_US, now)
            and not kernel.was_set_within(MAX_STAMP_AGE_US, now)
        )


def likeliest(possible: list[int], at_least: int) -> int | None:
    """The least of the possible ages that have passed at least; None if none of them has.

    A true age that the kernel overstates must not give way to another setting's, which is far higher."""
    usual = min((age for age in possible if age >= at_least - KERNEL_ROUNDING_US), default=None)
    overstated = min((age for age in possible if age >= at_least - LATE_TICK_US), default=None)
    if overstated is None or usual is not None and usual - overstated <= LATE_TICK_US:
        return usual
    return overstated


SHARED = WallClock()  # shared by all connections of the process
