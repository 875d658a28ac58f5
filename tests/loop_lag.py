"""How late the event loop is that a test shares with the program, and how much of it the machine did."""

from __future__ import annotations

import time
from dataclasses import dataclass
from types import TracebackType

import anyio
from anyio.abc import TaskGroup

INTERVAL_S = 0.005  # between two looks at the clock
MIN_STANDSTILL_S = 0.005  # shorter ones are not counted


@dataclass(frozen=True, slots=True)
class Lag:
    """One look that came late. In seconds; `noticed_at` by the monotonic clock."""

    noticed_at: float
    length: float
    cpu: float  # that this process spent meanwhile

    @property
    def standstill(self) -> float:
        """The part in which this process was due to run and did not: code that blocks the event loop by
        computing is not excused."""
        return max(0.0, self.length - self.cpu)


class LoopLag:
    """`async with LoopLag() as lag:` looks at the clock again and again until the end of the block."""

    def __init__(self) -> None:
        self.found: list[Lag] = []
        self.group: TaskGroup

    async def __aenter__(self) -> LoopLag:
        self.group = anyio.create_task_group()
        await self.group.__aenter__()
        self.group.start_soon(self.run)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool | None:
        if error is None:
            await anyio.sleep(2 * INTERVAL_S)  # a lag shows only behind its end
        self.group.cancel_scope.cancel()
        return await self.group.__aexit__(kind, error, trace)

    async def run(self) -> None:
        while True:
            began, cpu = time.monotonic(), time.process_time()
            await anyio.sleep(INTERVAL_S)
            now = time.monotonic()
            self.found.append(Lag(now, now - began - INTERVAL_S, time.process_time() - cpu))

    def between(self, begin: float, end: float) -> float:
        """Seconds in all by which it was late, also where that began before or showed after."""
        return sum(
            lag.length for lag in self.found if lag.noticed_at >= begin and lag.noticed_at - lag.length <= end
        )

    def longest(self) -> float:
        """Seconds."""
        return max((lag.length for lag in self.found), default=0.0)

    def standstills(self) -> float:
        """Seconds in all for which the machine did not run this process."""
        return sum(lag.standstill for lag in self.found if lag.standstill >= MIN_STANDSTILL_S)
