"""Processes of one sidecar that run side by side, as in an upgrade, with stand-ins around them."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import anyio
import orjson
from bed import Net
from test_admin import admin_status


def spawn(tmp_path, table, number: int, tree: str | None = None, **more: str) -> subprocess.Popen:
    """`tree`: the folder of the version that runs, if it isn't today's. `more`: environment variables beside
    the usual ones."""
    path = tmp_path / f"told{number}.json"
    path.write_bytes(orjson.dumps(table))
    environ = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
    environ |= {"BALANCER_CONFIG": str(path), "TMPDIR": str(tmp_path)} | more
    out = (tmp_path / f"log{number}").open("wb")
    command = [sys.executable, "-m", "lupinmill"]
    return subprocess.Popen(command, env=environ, stdout=out, stderr=out, cwd=tree)


RESERVED_PORTS: list[socket.socket] = []  # held until this test process ends


def free_address() -> str:
    """An address with a reserved port: bound here, so that no other process is given it, but the program may
    bind it."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(("127.0.0.1", 0))
    RESERVED_PORTS.append(sock)
    return "127.0.0.1:%d" % sock.getsockname()[1]


async def call_operator(address: str, method: str, target: str) -> int:
    """The status of an operator's call."""

    class Where:
        class program:
            operator = address

    return await admin_status(Where, method, target)


async def wait_until_healthy(address: str) -> None:
    while True:
        try:
            if await call_operator(address, "GET", "/admin/health") == 200:
                return
        except OSError:
            pass
        await anyio.sleep(0.02)


class Processes:
    """Processes of one sidecar, running at the same time. All are ended with the test.

    `environ`: variables of all processes, beside the usual ones."""

    def __init__(self, net: Net, folder) -> None:
        self.net, self.folder, self.all = net, folder, []
        self.operators: list[str] = []  # the address for operators' calls of each process
        self.environ: dict[str, str] = {}
        self.tree: str | None = None  # of the version of the processes that are started from now on

    async def start(self, folder=None) -> None:
        operator = self.begin(folder)
        await wait_until_healthy(operator)

    def begin(self, folder=None) -> str:
        """Starts a process without waiting for it; returns its address for operators' calls."""
        operator = free_address()
        table = self.net.table | {"listen": self.net.address, "operator": operator}
        self.all.append(spawn(folder or self.folder, table, len(self.all), self.tree, **self.environ))
        self.operators.append(operator)
        return operator

    async def call(self, number: int, method: str, target: str) -> int:
        """The status of an operator's call at this process."""
        return await call_operator(self.operators[number], method, target)

    async def end(self, number: int) -> None:
        """Sends SIGTERM and waits for a regular end."""
        self.all[number].send_signal(signal.SIGTERM)
        assert await anyio.to_thread.run_sync(self.all[number].wait) == 0

    def kill(self) -> None:
        for process in self.all:
            process.kill()
            process.wait()


async def pause_process(process: subprocess.Popen, log: Path, span: float) -> None:
    """Stops the process as soon as it logs that the next one requests its state."""
    while b"another process requests to take over" not in log.read_bytes():
        await anyio.sleep(0.001)
    process.send_signal(signal.SIGSTOP)
    await anyio.sleep(span)
    process.send_signal(signal.SIGCONT)


def run_processes(check, net: Net, folder, limit: float = 30) -> None:
    """Runs `check(processes, group)` with the stand-ins; tasks started in the group end with it."""

    async def main() -> None:
        processes = Processes(net, folder)
        try:
            with anyio.fail_after(limit):
                async with anyio.create_task_group() as group:
                    await net.start(group)
                    net.address = free_address()
                    await check(processes, group)
                    group.cancel_scope.cancel()
        finally:
            processes.kill()

    anyio.run(main)
