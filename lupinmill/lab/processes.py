"""Sidecars, and long-running commands, as real processes of `python -m lupinmill`.

Each `Process` owns its operating system process and its configuration file; `end` leaves none behind."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

import orjson

MAX_KEPT_EVENTS = 200
START_TIMEOUT_S = 15.0  # seconds within which the log must name the listening address
STARVED_RUN_S = 0.05  # running time of a starved process between two stops


async def call_operator(
    address: str, path: str, method: str = "GET", timeout_s: float = 10.0
) -> tuple[int, bytes]:
    """Calls the admin interface; status and body. Raises TimeoutError without an answer in `timeout_s`."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"{method} /admin/{path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        data = await asyncio.wait_for(reader.read(), timeout_s)
    finally:
        writer.close()
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


def last_log_lines(
    lines: Mapping[str, Iterable[dict[str, Any]]], count: int, max_length: int | None = None
) -> str:
    """The last `count` log events of each process, one per line, cut to `max_length` characters."""
    return "\n".join(
        f"{name}: {orjson.dumps(event).decode()[:max_length]}"
        for name, events in lines.items()
        for event in list(events)[-count:]
    )


class Process:
    """The process of one sidecar, across restarts, which keep its name and address."""

    def __init__(
        self,
        name: str,
        tier: int,
        folder: Path,
        make_config: Callable[[Process], dict[str, Any]],
        on_event: Callable[[Process, dict[str, Any]], None],
        environ: dict[str, str] | None = None,
    ) -> None:
        self.name, self.tier, self.make_config, self.on_event = name, tier, make_config, on_event
        self.config = folder / f"{name}.json"
        self.environ = environ or {}
        self.arguments: list[str] = []  # of a subcommand; empty for a sidecar
        self.address = self.operator_address = ""
        self.recent_events: deque[dict[str, Any]] = deque(maxlen=MAX_KEPT_EVENTS)  # of the log
        self.process: asyncio.subprocess.Process | None = None
        self.reader_task: asyncio.Task[None] | None = None
        self.started = asyncio.Event()
        self.start_count, self.killed, self.ready = 0, False, False
        self.crashes: list[str] = []
        self.error_lines: deque[str] = deque(maxlen=MAX_KEPT_EVENTS)
        self.starve_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self.start_count += 1
        self.killed, self.started = False, asyncio.Event()
        self.config.write_bytes(orjson.dumps(self.make_config(self)))
        environ = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        environ |= {
            "BALANCER_CONFIG": str(self.config),
            "BALANCER_NAME": self.name,
            **self.environ,
            "PYTHONPATH": os.pathsep.join(filter(None, [str(ROOT), environ.get("PYTHONPATH")])),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lupinmill",
            *self.arguments,
            env=environ,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        self.reader_task = asyncio.create_task(self.read(self.process))
        await asyncio.wait_for(self.started.wait(), START_TIMEOUT_S)
        if not self.address:
            raise RuntimeError(f"{self.name} did not start: {' '.join(self.error_lines)[-300:]}")

    async def read(self, process: asyncio.subprocess.Process) -> None:
        """Reads the log until the process ends; an end that was not requested is recorded as a crash."""
        errors = asyncio.create_task(self.read_errors(process))
        try:
            assert process.stdout is not None
            while line := await process.stdout.readline():
                self.handle_line(line)
            await errors
            code = await process.wait()
        finally:
            errors.cancel()
        if not self.killed and process is self.process:
            last = " ".join(list(self.error_lines)[-3:])
            self.crashes.append(f"{self.name} ended by itself with {code}: {last}"[:400])
        self.started.set()

    async def read_errors(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.error_lines.append(line.decode("utf-8", "replace").strip()[:300])

    def handle_line(self, line: bytes) -> None:
        try:
            event = orjson.loads(line)
        except orjson.JSONDecodeError:
            self.error_lines.append(line.decode("utf-8", "replace").strip()[:300])
            return
        self.recent_events.append(event)
        if event.get("event") == "started":
            self.address = str(event.get("listen", ""))
            self.operator_address = str(event.get("operator") or "")
            self.started.set()
        self.on_event(self, event)

    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None and not self.killed

    def kill(self) -> None:
        self.killed, self.ready = True, False
        self.starve(0.0)
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    def starve(self, stop_s: float) -> None:
        """Stops the process for `stop_s` at a time, as if other processes held its core; 0 ends this."""
        if self.starve_task is not None:
            self.starve_task.cancel()
            self.starve_task = None
        if stop_s > 0 and self.alive():
            self.starve_task = asyncio.create_task(self.stop_repeatedly(stop_s))

    async def stop_repeatedly(self, stop_s: float) -> None:
        try:
            while self.alive():
                self.signal(signal.SIGSTOP)
                await asyncio.sleep(stop_s)
                self.signal(signal.SIGCONT)
                await asyncio.sleep(STARVED_RUN_S)
        finally:
            self.signal(signal.SIGCONT)

    def signal(self, signum: int) -> None:
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signum)
            except ProcessLookupError:
                pass  # the process has just ended

    def cpu(self) -> float:
        """Seconds of CPU time used so far; 0 if the process has ended."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except (OSError, AttributeError):
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self) -> float:
        """Resident memory in MiB; 0 if the process has ended."""
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, AttributeError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    async def terminate(self, timeout_s: float) -> int | None:
        """Sends SIGTERM and returns the exit code; after the timeout kills the process and returns None."""
        assert self.process is not None
        self.killed = True
        self.signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            return None

    async def end(self) -> None:
        self.kill()
        if self.process is not None:
            await self.process.wait()
        if self.reader_task is not None:
            await asyncio.gather(self.reader_task, return_exceptions=True)


ROOT = Path(__file__).resolve().parents[2]
