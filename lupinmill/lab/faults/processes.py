"""Processes of the program: starts, signals and ends them by their own ids, and records their output."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from lupinmill.lab.faults.records import MAX_LOG_LINES, ProcessRecord

ROOT = Path(__file__).parents[3]
DEFECT_EVENTS = ("task_failed",)  # log events that report a defect of the program
PROGRAM = (sys.executable, "-m", "lupinmill")
PROGRAM_LIBRARIES = ("orjson", "_socket")  # libraries that the bare interpreter does not load
CLOSED, STUCK, READ = "closed", "stuck", "read"
CLOSED_OUTPUT_SHELL = ("/bin/sh", "-c", 'exec "$@" >&-', "sh")  # runs a command with standard output closed


class Process:
    """One process and its record. It has ended when `end` returns."""

    def __init__(self, command: Sequence[str], environ: dict[str, str], output: str) -> None:
        self.command, self.output = list(command), output
        inherited = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        path = os.pathsep.join(filter(None, [str(ROOT), inherited.get("PYTHONPATH")]))
        self.environ = inherited | {"PYTHONPATH": path} | environ
        self.process: asyncio.subprocess.Process | None = None
        self.record: ProcessRecord | None = None
        self.readers: list[asyncio.Task[None]] = []
        self.full_pipe: list[int] = []

    async def start(self, sidecar: str, number: int, plan_text: str) -> ProcessRecord:
        stdout: int = asyncio.subprocess.PIPE
        command = self.command
        if self.output == STUCK:
            self.full_pipe = list(os.pipe())
            fill_pipe(self.full_pipe[1])
            stdout = self.full_pipe[1]
        elif self.output == CLOSED:
            command = [*CLOSED_OUTPUT_SHELL, *command]
        self.process = await asyncio.create_subprocess_exec(
            *command,
            env=self.environ,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=stdout,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        self.record = record = ProcessRecord(sidecar, number, self.process.pid, time.time(), plan_text)
        record.stdout_read = self.output == READ
        self.readers = [asyncio.create_task(self.read(self.process.stderr, self.handle_error))]
        if self.process.stdout is not None:
            self.readers.append(asyncio.create_task(self.read(self.process.stdout, self.handle_line)))
        self.readers.append(asyncio.create_task(self.wait()))
        return record

    async def read(self, stream: asyncio.StreamReader | None, handle) -> None:
        assert stream is not None
        while line := await stream.readline():
            handle(line.decode("utf-8", "replace").rstrip())

    def handle_line(self, text: str) -> None:
        assert self.record is not None
        self.record.log_lines.append(text)
        try:
            event = json.loads(text).get("event")
        except (ValueError, AttributeError):
            event = None
        if event == "started":
            self.record.listening = True
        if event in DEFECT_EVENTS and len(self.record.defect_lines) < MAX_LOG_LINES:
            self.record.defect_lines.append(text)

    def handle_error(self, text: str) -> None:
        assert self.record is not None
        if len(self.record.stderr_lines) < 2 * MAX_LOG_LINES:
            self.record.stderr_lines.append(text)

    async def wait(self) -> None:
        assert self.process is not None and self.record is not None
        self.record.exit_code = await self.process.wait()
        self.record.ended_at = time.time()

    @property
    def alive(self) -> bool:
        """Asks the kernel, as the campaign's own event loop may be late to notice an end."""
        return (
            self.process is not None and self.process.returncode is None and not has_ended(self.process.pid)
        )

    def signal(self, signum: signal.Signals) -> None:
        """Sends a signal. The time is recorded before, so that no effect of the signal can precede it."""
        assert self.record is not None
        if not self.alive:
            return
        if signum in (signal.SIGHUP, signal.SIGTERM) and not program_started(self.process.pid):
            self.record.signalled_before_startup = True
        now = time.time()
        if signum is signal.SIGTERM and self.record.terminated_at is None:
            self.record.terminated_at = now
        elif signum is signal.SIGKILL:
            self.record.killed_at = now
        try:
            os.kill(self.process.pid, signum)
        except ProcessLookupError:
            pass  # the process has just ended

    async def stop_for(self, seconds: float) -> None:
        """Stops the process for so long. The recorded span has no end until the process continues."""
        assert self.record is not None
        begin = time.time()
        self.record.stop_spans.append((begin, float("inf")))
        self.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.signal(signal.SIGCONT)
            self.record.stop_spans[-1] = (begin, time.time())

    async def ends_within(self, limit_s: float) -> bool:
        """Whether the process ends by itself in so many seconds, not counting delays of the campaign."""
        assert self.record is not None
        waited, last_check = 0.0, time.monotonic()
        while self.record.ended_at is None:
            if waited > limit_s:
                return False
            await asyncio.sleep(0.02)
            now = time.monotonic()
            waited, last_check = waited + min(0.1, now - last_check), now
        return True

    async def end(self) -> None:
        """Kills the process if it still runs, and collects its output."""
        if self.alive:
            self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        if self.readers:
            await asyncio.wait(self.readers, timeout=5)
        for reader in self.readers:
            reader.cancel()
        for descriptor in self.full_pipe:
            os.close(descriptor)
        self.full_pipe = []


def has_ended(pid: int) -> bool:
    """Whether this child process has ended. Leaves its exit code for whoever waits for it."""
    try:
        return os.waitid(os.P_PID, pid, os.WEXITED | os.WNOHANG | os.WNOWAIT) is not None
    except ChildProcessError:
        return True  # its exit code has been collected


def program_started(pid: int) -> bool:
    """Whether the process has begun to load the program's imports; before that it is the bare interpreter."""
    try:
        maps = Path(f"/proc/{pid}/maps").read_text()
    except OSError:
        return False
    return any(name in maps for name in PROGRAM_LIBRARIES)


def fill_pipe(descriptor: int) -> None:
    os.set_blocking(descriptor, False)
    try:
        while os.write(descriptor, b"\n" * 4096):
            pass
    except BlockingIOError:
        pass
    finally:
        os.set_blocking(descriptor, True)
