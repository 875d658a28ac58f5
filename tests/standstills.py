"""Standstills of the machine while a test measures time: this process was due to run, and did not."""

from __future__ import annotations

import time
from types import TracebackType

import anyio
from anyio.abc import TaskGroup

INTERVAL_S = 0.001  # between two looks
MIN_STANDSTILL_S = 0.005  # shorter ones are not counted


class Standstills:
    """`async with Standstills() as found:` looks at the clock again and again. Time that this process spent
    computing is not counted, so code that blocks the event loop is not excused."""

    def __init__(self) -> None:
        self.total = self.longest = 0.0  # seconds
        self.group: TaskGroup = anyio.create_task_group()

    async def __aenter__(self) -> Standstills:
        await self.group.__aenter__()
        self.group.start_soon(self.run)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool | None:
        self.group.cancel_scope.cancel()
        return await self.group.__aexit__(kind, error, trace)

    async def run(self) -> None:
        while True:
            began, cpu = time.monotonic(), time.process_time()
            await anyio.sleep(INTERVAL_S)
            lag = time.monotonic() - began - INTERVAL_S - (time.process_time() - cpu)
            if lag >= MIN_STANDSTILL_S:
                self.total += lag
                self.longest = max(self.longest, lag)
