"""TCP proxies between two members of a rig, or a member and a stand-in: bytes wait while the network blocks
one direction, as behind a cut, and continue when it heals; connections can be reset or left half open.

A proxy owns its listening socket and both sockets of each connection; `close` releases them."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lupinmill.lab.fleet import NetworkConditions

HOST = "127.0.0.1"
CHUNK_BYTES = 16 * 1024
CUT_POLL_S = 0.02  # interval between checks of a blocked direction
MAX_CONNECTIONS = 256
LINGER_RESET = struct.pack("ii", 1, 0)


class StreamProxy:
    """Forwards connections that `sender` opens to the proxy to `receiver`, which listens at `target`."""

    def __init__(
        self, network: NetworkConditions, sender: str, receiver: str, target: tuple[str, int]
    ) -> None:
        self.network, self.sender, self.receiver, self.target = network, sender, receiver, target
        self.server: asyncio.Server | None = None
        self.writers: dict[asyncio.StreamWriter, None] = {}
        self.tasks: dict[asyncio.Task[None], None] = {}
        self.passed = [0, 0]  # bytes forward and backward

    async def open(self) -> str:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self.tasks) >= MAX_CONNECTIONS:
            writer.close()
            return
        self.tasks[task] = self.writers[writer] = None
        try:
            await self.carry(reader, writer)
        except (OSError, ExceptionGroup):
            pass  # one side broke; the other side is closed below
        finally:
            self.tasks.pop(task, None)
            self.writers.pop(writer, None)
            writer.close()

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forwards one connection until both ends are done. One opened behind a cut waits until it heals."""
        await self.wait_until_passable(0)
        async with self.far_end() as (back, far):
            await self.pump_both(reader, writer, back, far)

    @asynccontextmanager
    async def far_end(self) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
        """A connection to the target, closed on exit."""
        back, far = await asyncio.open_connection(*self.target)
        self.writers[far] = None
        try:
            yield back, far
        finally:
            self.writers.pop(far, None)
            far.close()

    async def pump_both(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        back: asyncio.StreamReader,
        far: asyncio.StreamWriter,
    ) -> None:
        """Forwards both directions independently."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.pump(reader, far, 0))
            group.create_task(self.pump(back, writer, 1))

    def blocked(self, direction: int) -> bool:
        """Whether a direction is blocked now; 0 is forward, 1 backward."""
        ends = (self.sender, self.receiver) if direction == 0 else (self.receiver, self.sender)
        return self.network.blocks(*ends)

    async def wait_until_passable(self, direction: int) -> None:
        """Waits until the direction is not blocked."""
        while self.blocked(direction):
            await asyncio.sleep(CUT_POLL_S)

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: int) -> None:
        """Forwards one direction, so that a cut one does not delay the other. An end of stream is forwarded
        too."""
        while data := await reader.read(CHUNK_BYTES):
            await self.wait_until_passable(direction)
            writer.write(data)
            await writer.drain()
            self.passed[direction] += len(data)
        await self.wait_until_passable(direction)
        if writer.can_write_eof():
            writer.write_eof()

    def reset(self) -> None:
        """Resets all connections at both ends, as when a middlebox loses its connection table."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.server is not None:
            await self.server.wait_closed()
