"""Processes of the program: started, signalled, stopped and ended by their own ids, and what they wrote."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from lupinmill.lab.faults.records import KEPT_LOG_LINES, Life

ROOT = Path(__file__).parents[3]
DEFECTS = ("task_failed",)  # events of the log that tell of a defect
PROGRAM = (sys.executable, "-m", "lupinmill")
OF_THE_PROGRAM = ("orjson", "_socket")  # libraries that the interpreter itself doesn't load
CLOSED, STUCK, READ = "closed", "stuck", "read"
WITHOUT_OUTPUT = ("/bin/sh", "-c", 'exec "$@" >&-', "sh")  # standard output is closed


class Process:
    """One process, which ends before `end` returns. `life` is its record."""

    def __init__(self, command: Sequence[str], environ: dict[str, str], output: str) -> None:
        self.command, self.output = list(command), output
        inherited = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        path = os.pathsep.join(filter(None, [str(ROOT), inherited.get("PYTHONPATH")]))
        self.environ = inherited | {"PYTHONPATH": path} | environ
        self.process: asyncio.subprocess.Process | None = None
        self.life: Life | None = None
        self.readers: list[asyncio.Task[None]] = []
        self.stuck: list[int] = []

    async def start(self, sidecar: str, number: int, script: str) -> Life:
        stdout: int = asyncio.subprocess.PIPE
        command = self.command
        if self.output == STUCK:
            self.stuck = list(os.pipe())
            fill_pipe(self.stuck[1])
            stdout = self.stuck[1]
        elif self.output == CLOSED:
            command = [*WITHOUT_OUTPUT, *command]
        self.process = await asyncio.create_subprocess_exec(
            *command,
            env=self.environ,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=stdout,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        self.life = life = Life(sidecar, number, self.process.pid, time.time(), script)
        life.logged = self.output == READ
        self.readers = [asyncio.create_task(self.read(self.process.stderr, self.error))]
        if self.process.stdout is not None:
            self.readers.append(asyncio.create_task(self.read(self.process.stdout, self.line)))
        self.readers.append(asyncio.create_task(self.wait()))
        return life

    async def read(self, stream: asyncio.StreamReader | None, heard) -> None:
        assert stream is not None
        while line := await stream.readline():
            heard(line.decode("utf-8", "replace").rstrip())

    def line(self, text: str) -> None:
        assert self.life is not None
        self.life.lines.append(text)
        try:
            event = json.loads(text).get("event")
        except (ValueError, AttributeError):
            event = None
        if event == "started":
            self.life.listens = True
        if event in DEFECTS and len(self.life.defects) < KEPT_LOG_LINES:
            self.life.defects.append(text)

    def error(self, text: str) -> None:
        assert self.life is not None
        if len(self.life.errors) < 2 * KEPT_LOG_LINES:
            self.life.errors.append(text)

    async def wait(self) -> None:
        assert self.process is not None and self.life is not None
        self.life.exit_code = await self.process.wait()
        self.life.ended = time.time()

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, signum: signal.Signals) -> None:
        """Written down before it is sent: what follows from it is never earlier."""
        assert self.life is not None
        if not self.alive:
            return
        if signum in (signal.SIGHUP, signal.SIGTERM) and not program_begun(self.process.pid):
            self.life.signalled_before_program = True
        now = time.time()
        if signum is signal.SIGTERM and self.life.terminated is None:
            self.life.terminated = now
        elif signum is signal.SIGKILL:
            self.life.killed = now
        try:
            os.kill(self.process.pid, signum)
        except ProcessLookupError:
            pass  # it has just ended

    async def hold(self, seconds: float) -> None:
        """Stopped for so long. The span is open while it lasts."""
        assert self.life is not None
        begin = time.time()
        self.life.stops.append((begin, float("inf")))
        self.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.signal(signal.SIGCONT)
            self.life.stops[-1] = (begin, time.time())

    async def ended(self, limit: float) -> bool:
        """Has it ended by itself within so many seconds? Time in which it waited for a core doesn't count."""
        assert self.life is not None
        waited, last = 0.0, time.monotonic()
        while self.life.ended is None:
            if waited > limit:
                return False
            await asyncio.sleep(0.02)
            now = time.monotonic()
            waited, last = waited + min(0.1, now - last), now
        return True

    async def end(self) -> None:
        """Killed, if it has not ended by itself."""
        if self.alive:
            self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        if self.readers:
            await asyncio.wait(self.readers, timeout=5)
        for reader in self.readers:
            reader.cancel()
        for descriptor in self.stuck:
            os.close(descriptor)
        self.stuck = []


def program_begun(pid: int) -> bool:
    """Has the process begun to load what the program imports? Before that it is the bare interpreter."""
    try:
        maps = Path(f"/proc/{pid}/maps").read_text()
    except OSError:
        return False
    return any(name in maps for name in OF_THE_PROGRAM)


def fill_pipe(descriptor: int) -> None:
    os.set_blocking(descriptor, False)
    try:
        while os.write(descriptor, b"\n" * 4096):
            pass
    except BlockingIOError:
        pass
    finally:
        os.set_blocking(descriptor, True)
