"""The log: one JSON line per event on standard output. A thread writes it, so the event loop never blocks."""

from __future__ import annotations

import os
import queue
import select
import signal
import threading
import time
from typing import Any

import orjson

from lupinmill.program.signals import HANDLED_SIGNALS

MAX_QUEUED_LINES, MAX_QUEUED_BYTES = 2000, 1024 * 1024
MAX_FIELD_LENGTH = 2000  # characters of a field that has to be escaped
FULL_PIPE_POLL_MS = 1000  # for a full pipe in non-blocking mode


class Logs:
    """Owns the queue and the writer thread. Where the reader is stuck, lines are dropped and counted."""

    def __init__(self, name: str, descriptor: int = 1) -> None:
        self.name, self.descriptor, self.dropped = name, descriptor, 0
        self.lines: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        # Each is changed by one thread only: by those that log, which hold the event loop, and by the writer.
        self.queued_bytes = self.written_bytes = 0
        self.closing = False
        self.thread = threading.Thread(target=self.write_lines, daemon=True)
        # The thread inherits these signals as blocked: when the main thread blocks them at shutdown, the
        # kernel would otherwise deliver them to this thread.
        before = signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
        try:
            self.thread.start()
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)

    def event(self, event: str, /, **fields: Any) -> None:
        """Queues a line. Never raises, so that logging can't break what is logged."""
        if self.is_full():
            self.dropped += 1
            return
        if self.dropped:
            fields, self.dropped = fields | {"dropped": self.dropped}, 0
        line = {"at": round(time.time(), 3), "sidecar": self.name, "event": event, **fields}
        data = encoded(line)
        self.queued_bytes += len(data)
        self.lines.put(data)

    def is_full(self) -> bool:
        waiting_bytes = self.queued_bytes - self.written_bytes
        return self.lines.qsize() >= MAX_QUEUED_LINES or waiting_bytes >= MAX_QUEUED_BYTES

    def write_lines(self) -> None:
        while (line := self.lines.get()) is not None:
            whole = len(line)
            try:
                while line:
                    line = line[self.write_some(line) :]
            except OSError:
                # The reader is gone, or the disk is full. A line that was begun is terminated.
                if 0 < len(line) < whole:
                    self.end_line()
            self.written_bytes += whole

    def write_some(self, line: bytes) -> int:
        try:
            return os.write(self.descriptor, line)
        except BlockingIOError:
            if self.closing:
                raise
            poll = select.poll()
            poll.register(self.descriptor, select.POLLOUT)
            poll.poll(FULL_PIPE_POLL_MS)
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
    except Exception:  # `__str__` of a value may raise anything
        plain = {escaped(key): escaped(value) for key, value in line.items()}
        return orjson.dumps(plain, option=orjson.OPT_APPEND_NEWLINE)


def escaped(value: Any) -> Any:
    """The value itself where JSON can represent it, else its ASCII representation in Python."""
    try:
        orjson.dumps(value)
        return value
    except Exception:
        pass
    try:
        return (
            value.encode("ascii", "backslashreplace").decode() if isinstance(value, str) else ascii(value)
        )[:MAX_FIELD_LENGTH]
    except Exception:
        return f"a {type(value).__name__} that can't be shown"
