"""The log: one JSON line an event on standard output, written by a thread so that the loop never waits."""

from __future__ import annotations

import os
import queue
import threading
import time
from typing import Any

import orjson

MOST_WAITING = 2000


class Logs:
    """Owns the queue and its thread. With a reader that is stuck, lines are dropped and counted."""

    def __init__(self, name: str, descriptor: int = 1) -> None:
        self.name, self.descriptor, self.dropped = name, descriptor, 0
        self.lines: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self.write, daemon=True)
        self.thread.start()

    def event(self, event: str, /, **fields: Any) -> None:
        if self.lines.qsize() >= MOST_WAITING:
            self.dropped += 1
            return
        if self.dropped:
            fields, self.dropped = fields | {"dropped": self.dropped}, 0
        line = {"at": round(time.time(), 3), "sidecar": self.name, "event": event, **fields}
        self.lines.put(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def write(self) -> None:
        while (line := self.lines.get()) is not None:
            try:
                while line:
                    line = line[os.write(self.descriptor, line) :]
            except OSError:
                continue  # nobody reads it any more

    def close(self) -> None:
        self.lines.put(None)
        self.thread.join(0.5)
