"""Real time: carries a run's timeline along with the machine's clock, and judges whether it kept up."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

from lupinmill.lab.timeline import MS, SECOND, Timeline

LATE = 50 * MS  # events that come so much late mean that this machine is short of time, ...
LATE_SHARE = 0.1  # ... and so many seconds with any of them void the run
AWAKE = 0.2  # seconds it sleeps at most


def now_us() -> int:
    """Microseconds since 1970, by this machine's clock."""
    return time.time_ns() // 1000


class Clock:
    """Owns the tasks that work beside the timeline."""

    def __init__(self, timeline: Timeline) -> None:
        self.timeline = timeline
        self.late_seconds: set[int] = set()
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.failed: BaseException | None = None  # of a task: the run ends with it
        self.woken = asyncio.Event()

    def catch_up(self, start: int) -> int:
        """Carries the timeline up to now, which is returned (microseconds). Guards against a late machine
        that goes unseen: whoever comes first after a pause finds what is late, mostly a socket. What comes
        before `start` isn't counted."""
        now, due = now_us(), self.timeline.next_at()
        if due is not None and now - due > LATE and now >= start:
            self.late_seconds.add((now - start) // SECOND)
        self.timeline.run_until(now)
        return now

    async def wait(self) -> None:
        """Until the next event is due, or a new one is the next."""
        self.timeline.on_new_next = self.woken.set
        self.woken.clear()
        due = self.timeline.next_at()
        wait = AWAKE if due is None else min(AWAKE, max(0.0, (due - now_us()) / SECOND))
        try:
            await asyncio.wait_for(self.woken.wait(), wait)
        except TimeoutError:
            pass

    def verdict(self, microseconds: int) -> str:
        """Why a run of this length is void; empty where it is not."""
        share = len(self.late_seconds) / max(1.0, microseconds / SECOND)
        if share <= LATE_SHARE:
            return ""
        return f"this machine is too slow for the asked rate: late in {share:.0%} of the seconds"

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Work beside the timeline."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks[task] = None
        task.add_done_callback(self.task_done)

    def task_done(self, task: asyncio.Task[Any]) -> None:
        """Forgets it, but not how it failed."""
        self.tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self.failed = task.exception()

    def stop(self) -> None:
        """Ends all tasks."""
        self.timeline.on_new_next = None
        for task in list(self.tasks):
            task.cancel()
