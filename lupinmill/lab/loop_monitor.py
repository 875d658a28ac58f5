"""Records when the event loop of a lab run stood still, and what for: its stand-ins and clients stand still
with it, which may look like a fault of the sidecars."""

from __future__ import annotations

import asyncio
import gc
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

INTERVAL_S = 0.05  # between two looks
MIN_PAUSE_S = 0.5  # shorter ones are not recorded
MAX_PAUSES = 20  # kept; the oldest are dropped


@dataclass(slots=True, frozen=True)
class Pause:
    """One standstill of the event loop, in seconds. If `cpu` is far below `length`, the process was not
    scheduled or waited; `collecting` is the part spent in garbage collections."""

    ended_at: float  # seconds since 1970
    length: float
    cpu: float  # of this process, all threads
    collecting: float

    def __str__(self) -> str:
        return f"{self.length:.1f} s up to {self.ended_at:.1f} (CPU {self.cpu:.1f}, GC {self.collecting:.1f})"


class LoopMonitor:
    """Owns its task and its garbage collection callback between `start` and `stop`."""

    def __init__(self) -> None:
        self.pauses: deque[Pause] = deque(maxlen=MAX_PAUSES)
        self.collecting = 0.0  # seconds in garbage collections so far
        self.collection_began = 0.0
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        gc.callbacks.append(self.on_collection)
        self.task = asyncio.get_running_loop().create_task(self.run())

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
            self.task = None
            gc.callbacks.remove(self.on_collection)

    def on_collection(self, phase: str, _: dict[str, Any]) -> None:
        """Called by the interpreter at the start and the end of each garbage collection."""
        if phase == "start":
            self.collection_began = time.monotonic()
        else:
            self.collecting += time.monotonic() - self.collection_began

    async def run(self) -> None:
        while True:
            began, cpu, collecting = time.monotonic(), time.process_time(), self.collecting
            await asyncio.sleep(INTERVAL_S)
            length = time.monotonic() - began - INTERVAL_S
            if length >= MIN_PAUSE_S:
                pause = Pause(time.time(), length, time.process_time() - cpu, self.collecting - collecting)
                self.pauses.append(pause)

    def describe(self) -> str:
        """The pauses, for the message of a failed check."""
        return "this rig stood still: " + ("; ".join(map(str, self.pauses)) or "never")
