"""The log: one JSON line an event on standard output, written by a thread so that the loop never waits."""

from __future__ import annotations

import os
import queue
import select
import signal
import threading
import time
from typing import Any

import orjson

from lupinmill.program.signals import HANDLED

MOST_WAITING = 2000
LONGEST_FIELD = 2000  # characters of a field that JSON can't hold as it is
FULL = 1000  # milliseconds between two looks at a full pipe that does not block


class Logs:
    """Owns the queue and its thread. With a reader that is stuck, lines are dropped and counted."""

    def __init__(self, name: str, descriptor: int = 1) -> None:
        self.name, self.descriptor, self.dropped = name, descriptor, 0
        self.lines: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self.closing = False
        self.thread = threading.Thread(target=self.write, daemon=True)
        # The thread has these blocked for good: at the end of the program they are blocked in the main
        # thread, and the system would deliver them to this one.
        before = signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)
        try:
            self.thread.start()
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)

    def event(self, event: str, /, **fields: Any) -> None:
        """Never raises: a line must not cost what it tells of."""
        if self.lines.qsize() >= MOST_WAITING:
            self.dropped += 1
            return
        if self.dropped:
            fields, self.dropped = fields | {"dropped": self.dropped}, 0
        line = {"at": round(time.time(), 3), "sidecar": self.name, "event": event, **fields}
        self.lines.put(encoded(line))

    def write(self) -> None:
        while (line := self.lines.get()) is not None:
            whole = len(line)
            try:
                while line:
                    line = line[self.write_some(line) :]
            except OSError:
                # Nobody reads it any more, or the disk is full. What was begun ends with its line.
                if 0 < len(line) < whole:
                    self.end_line()

    def write_some(self, line: bytes) -> int:
        try:
            return os.write(self.descriptor, line)
        except BlockingIOError:
            if self.closing:
                raise
            poll = select.poll()
            poll.register(self.descriptor, select.POLLOUT)
            poll.poll(FULL)
            return 0

    def end_line(self) -> None:
        try:
            os.write(self.descriptor, b"\n")
        except OSError:
            pass

    def close(self) -> None:
        self.closing = True
        self.lines.put(None)
        self.thread.join(0.5)


def encoded(line: dict[str, Any]) -> bytes:
    try:
        return orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
    except Exception:  # a `__str__` may raise anything
        plain = {escaped(key): escaped(value) for key, value in line.items()}
        return orjson.dumps(plain, option=orjson.OPT_APPEND_NEWLINE)


def escaped(value: Any) -> Any:
    """As it is where JSON can hold it, else as Python shows it, in ASCII alone."""
    try:
        orjson.dumps(value)
        return value
    except Exception:
        pass
    try:
        return (
            value.encode("ascii", "backslashreplace").decode() if isinstance(value, str) else ascii(value)
        )[:LONGEST_FIELD]
    except Exception:
        return f"a {type(value).__name__} that can't be shown"
