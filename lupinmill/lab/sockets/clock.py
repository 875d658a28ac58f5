"""Advances the timeline of a run with the machine's clock, and checks whether it kept up."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

from lupinmill.lab.timeline import MS, SECOND, Timeline

MAX_LATENESS = 50 * MS  # a second with an event later than this counts as late
MAX_LATE_SHARE = 0.1  # of late seconds; above this the run is void
MAX_SLEEP_S = 0.2


def now_us() -> int:
    """Returns microseconds since 1970, by this machine's clock."""
    return time.time_ns() // 1000


class Clock:
    """Advances the timeline, and owns the background tasks of a run."""

    def __init__(self, timeline: Timeline) -> None:
        self.timeline = timeline
        self.late_seconds: set[int] = set()
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.failed: BaseException | None = None  # exception of a task; it ends the run
        self.woken = asyncio.Event()

    def catch_up(self, start: int) -> int:
        """Advances the timeline to the current time, and returns it (microseconds). Lateness is recorded
        here, for every caller: after a pause of the machine, a socket callback mostly finds the late events
        before the main loop does. Events before `start` are not counted."""
        now, due = now_us(), self.timeline.next_at()
        if due is not None and now - due > MAX_LATENESS and now >= start:
            self.late_seconds.add((now - start) // SECOND)
        self.timeline.run_until(now)
        return now

    async def wait(self) -> None:
        """Waits until the next event is due, or a new one is scheduled before it."""
        self.timeline.on_new_next = self.woken.set
        self.woken.clear()
        due = self.timeline.next_at()
        wait = MAX_SLEEP_S if due is None else min(MAX_SLEEP_S, max(0.0, (due - now_us()) / SECOND))
        try:
            await asyncio.wait_for(self.woken.wait(), wait)
        except TimeoutError:
            pass

    def verdict(self, microseconds: int) -> str:
        """Returns why a run of this length is void, or an empty text."""
        share = len(self.late_seconds) / max(1.0, microseconds / SECOND)
        if share <= MAX_LATE_SHARE:
            return ""
        return f"this machine is too slow for the asked rate: late in {share:.0%} of the seconds"

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Starts a background task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks[task] = None
        task.add_done_callback(self.task_done)

    def task_done(self, task: asyncio.Task[Any]) -> None:
        """Drops a finished task, and keeps its exception."""
        self.tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self.failed = task.exception()

    def stop(self) -> None:
        """Cancels all tasks."""
        self.timeline.on_new_next = None
        for task in list(self.tasks):
            task.cancel()
