"""Versioned configuration between real processes: a source, relays, and sidecars that watch them. A rig owns
the processes and the folder of their files; `close` releases them, however the run ended."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any

import orjson

from lupinmill.config.model import Entries
from lupinmill.config.wire import encode_rows
from lupinmill.lab.ports import release_ports, reserve_port
from lupinmill.lab.processes import Process
from lupinmill.protocol.http import Answer, ClientSide, Request

HOST = "127.0.0.1"
CALL_TIMEOUT_S = 20.0  # for an operator's call
POLL_S = 0.1
PARALLEL_STARTS = 3  # each start uses a full core


async def call_once(address: str, request: Request, timeout: float = CALL_TIMEOUT_S) -> Answer:
    """Makes one call on a new connection. Raises OSError, TimeoutError or Garbled if there is no valid
    answer."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            side = ClientSide(32 * 2**20, 32 * 2**20)
            writer.write(side.ask(request))
            while (answer := side.next_answer()) is None:
                side.feed(await reader.read(64 * 1024))
            return answer
        finally:
            writer.close()


class ConfigRig:
    """`async with ConfigRig(settings_of, relays, sidecars, extra_settings) as rig:` starts all processes.

    `settings_of` returns the platform's settings of a sidecar by its name, without addresses.
    `extra_settings` are further keys of the files of the relays and the source."""

    def __init__(
        self,
        settings_of: Callable[[str], dict[str, Any]],
        relays: int,
        sidecars: int,
        extra_settings: dict[str, Any],
    ) -> None:
        self.settings_of, self.extra_settings = settings_of, extra_settings
        self.relays = [f"relay-{at}" for at in range(relays)]
        self.sidecars = [f"sidecar-{at}" for at in range(sidecars)]
        self.listens: dict[str, str] = {}
        self.operators: dict[str, str] = {}
        self.processes: dict[str, Process] = {}
        self.ports: list[int] = []

    async def __aenter__(self) -> ConfigRig:
        self.temporary_folder = tempfile.TemporaryDirectory(prefix="lupinmill-config-")
        self.folder = Path(self.temporary_folder.name)
        try:
            await self.set_up()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def set_up(self) -> None:
        names = ["source", *self.relays, *self.sidecars]
        for name in names:
            self.listens[name], self.operators[name] = self.reserve_address(), self.reserve_address()
        for name in names:
            self.processes[name] = self.create_process(name)
        start_slots = asyncio.Semaphore(PARALLEL_STARTS)

        async def start(name: str) -> None:
            async with start_slots:
                await self.start(name)

        await start("source")
        for group in (self.relays, self.sidecars):
            outcomes = await asyncio.gather(*map(start, group), return_exceptions=True)
            for outcome in outcomes:
                if isinstance(outcome, BaseException):
                    raise outcome

    def reserve_address(self) -> str:
        port = reserve_port(os.getpid() * 97)
        self.ports.append(port)
        return f"{HOST}:{port}"

    def create_process(self, name: str) -> Process:
        file = self.folder / f"{name}.toml"
        if name in self.sidecars:
            table = {
                "relays": [self.listens[one] for one in self.relays],
                "service": "tender",
                "keep": str(self.folder / "kept" / name),
            }
            lines = [f"{key} = {orjson.dumps(value).decode()}" for key, value in table.items()]
            file.write_text("\n".join(['site = "rig"', "[config]", *lines, ""]))
            (self.folder / "kept").mkdir(exist_ok=True)
            return Process(
                name,
                0,
                self.folder,
                self.sidecar_settings,
                self.ignore_log_event,
                {"BALANCER_OPERATOR_FILE": str(file)},
            )
        table = {
            "name": name,
            "listen": self.listens[name],
            "operator": self.operators[name],
            "keep": str(self.folder / "kept" / name),
            "upstreams": [] if name == "source" else [self.listens["source"]],
            **self.extra_settings,
        }
        file.write_text("".join(f"{key} = {orjson.dumps(value).decode()}\n" for key, value in table.items()))
        process = Process(name, 0, self.folder, lambda _: {}, self.ignore_log_event)
        process.arguments = ["relay", str(file)]
        return process

    def sidecar_settings(self, process: Process) -> dict[str, Any]:
        name = process.name
        return {
            **self.settings_of(name),
            "name": name,
            "listen": self.listens[name],
            "operator": self.operators[name],
        }

    def ignore_log_event(self, process: Process, event: dict[str, Any]) -> None:
        pass  # `Process` keeps the last log lines

    # Calls.

    async def call(self, name: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Returns the status and the answer as JSON, or as text if it is not JSON."""
        data = b"" if body is None else orjson.dumps(body)
        request = Request(method.encode(), path.encode(), [(b"Host", b"rig")], data)
        answer = await call_once(self.operators[name], request)
        try:
            return answer.status, orjson.loads(answer.body)
        except orjson.JSONDecodeError:
            return answer.status, answer.body.decode("utf-8", "replace").strip()

    async def push(self, changes: Entries) -> int:
        """Returns the index of the new version. Raises RuntimeError if the source refuses."""
        status, found = await self.call("source", "POST", "/v1/push", {"entries": encode_rows(changes)})
        if status != 200:
            raise RuntimeError(f"push: {status} {found}")
        return found["index"]

    async def watcher_status(self) -> dict[str, dict[str, Any]]:
        """The status of each sidecar from the relay that heard it last, which is named in `at`."""
        found: dict[str, dict[str, Any]] = {}
        for name in self.relays:
            if not self.processes[name].alive():
                continue
            try:
                _, table = await self.call(name, "GET", "/v1/status")
            except (OSError, TimeoutError):
                continue
            for row in table["watchers"]:
                previous = found.get(row["name"])
                if previous is None or row["heard_s"] < previous["heard_s"]:
                    found[row["name"]] = row | {"at": name, "relay_index": table["index"]}
        return found

    async def wait_until(
        self, what: str, condition: Callable[[dict[str, dict[str, Any]]], bool], timeout: float = 60.0
    ) -> dict[str, dict[str, Any]]:
        """Waits until a condition on `watcher_status` holds. Raises AssertionError with the status on
        timeout."""
        deadline = time.monotonic() + timeout
        while not condition(found := await self.watcher_status()):
            if time.monotonic() > deadline:
                raise AssertionError(f"{what}: not within {timeout:g} s; {found}")
            await asyncio.sleep(POLL_S)
        return found

    async def at_version(self, index: int) -> None:
        """Waits until all sidecars have this version or a later one in force."""
        await self.wait_until(
            f"all at version {index}",
            lambda found: all(found.get(name, {"index": 0})["index"] >= index for name in self.sidecars),
        )

    async def start(self, name: str) -> None:
        """Starts or restarts a process. The previous process's log is read to its end first; else its lines
        could pass for those of the new one."""
        process = self.processes[name]
        if process.reader_task is not None:
            await asyncio.gather(process.reader_task, return_exceptions=True)
        await process.start()

    async def kill(self, name: str) -> None:
        """Sends SIGKILL and waits until the process is gone."""
        process = self.processes[name]
        process.kill()
        if process.process is not None:
            await process.process.wait()

    def crashes(self) -> list[str]:
        return [crash for process in self.processes.values() for crash in process.crashes]

    def last_lines(self, count: int = 8) -> str:
        """The last log lines of each process."""
        lines = []
        for name, process in self.processes.items():
            lines.append(f"-- {name}, start {process.start_count}")
            lines += [orjson.dumps(event).decode()[:400] for event in list(process.recent_events)[-count:]]
            lines += list(process.error_lines)[-count:]
        return "\n".join(lines)

    async def close(self) -> None:
        await asyncio.gather(*(process.end() for process in self.processes.values()), return_exceptions=True)
        release_ports(self.ports)
        self.temporary_folder.cleanup()
