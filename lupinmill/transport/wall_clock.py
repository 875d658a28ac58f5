"""The machine's wall clock, which may be set at any moment, by seconds or by an hour.

Only kernel timestamps, which are taken by that clock, are compared with it, and converted to an age in real
time. All other code of the request path uses the monotonic clock."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

# All in microseconds.
# the smallest difference between two updates that means the clock was set and not merely adjusted
MIN_STEP_US = 2_000
# between two readings of the monotonic clock; a reading between them is discarded above this
MAX_READING_GAP_US = 500
MAX_STAMP_AGE_US = 60_000_000  # older timestamps are ignored
KERNEL_ROUNDING_US = 4_000  # by which the kernel may overstate a time

MAX_READ_TRIES = 3  # to read both clocks together
MAX_REMEMBERED_STEPS = 4  # settings of the clock that are remembered


class WallClock:
    """Remembers the offsets of the wall clock from the monotonic one before it was set."""

    def __init__(self) -> None:
        self.offsets: deque[int] = deque(maxlen=MAX_REMEMBERED_STEPS)
        # for each setting, the sum of all steps up to it
        self.steps: deque[int] = deque([0], maxlen=MAX_REMEMBERED_STEPS)
        self.unreported_step = 0  # since the last call of `take_step`
        self.update()

    def update(self) -> None:
        """Guards against the process being held up between the two readings, which looks like a step."""
        for _ in range(MAX_READ_TRIES):
            before = time.monotonic_ns()
            wall = time.time_ns()
            if time.monotonic_ns() - before < MAX_READING_GAP_US * 1000:
                break
        else:
            if self.offsets:
                return
        offset = (wall - before) // 1000
        step = offset - self.offsets[-1] if self.offsets else 0
        if self.offsets and abs(step) < MIN_STEP_US:
            self.offsets[-1] = offset
            return
        if self.offsets:
            self.steps.append(self.steps[-1] + step)
        self.unreported_step += step
        self.offsets.append(offset)

    def possible_offsets(self) -> list[int]:
        """Microseconds by which a Unix time from outside may be ahead of the monotonic clock."""
        return list(self.offsets)

    def take_step(self) -> int:
        """Microseconds by which the clock was set since the last call."""
        self.update()
        step, self.unreported_step = self.unreported_step, 0
        return step

    def age(self, stamp: int, at_least: Callable[[], int]) -> int | None:
        """Microseconds of real time since `stamp`, in microseconds of Unix time; None if that cannot be told.

        The stamp may be from before the clock was set. `at_least`: microseconds that have passed by a clock
        that is never set; called only if the offsets alone are ambiguous."""
        now, wall = time.monotonic_ns() // 1000, time.time_ns() // 1000
        if (
            len(self.offsets) == 1 and abs(wall - now - self.offsets[0]) < MIN_STEP_US
        ):  # never set: the usual case
            self.offsets[0] = wall - now  # it may be adjusted continuously, by less
            return wall - stamp if 0 <= wall - stamp < MAX_STAMP_AGE_US else None
        self.update()
        now = time.monotonic_ns() // 1000
        ages = [age for offset in self.offsets if 0 <= (age := now + offset - stamp) < MAX_STAMP_AGE_US]
        if len(ages) > 1:
            least = at_least() - KERNEL_ROUNDING_US
            ages = [age for age in ages if age >= least]
        return min(ages, default=None)


SHARED = WallClock()  # shared by all connections of the process
