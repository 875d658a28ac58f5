"""Ways for TCP between two members of a rig, or a member and a stand-in: bytes wait while the weather blocks
one direction, as they do behind a cut network, and go on when it heals; connections can be reset or left half
open.

Owns the listening socket of each way and both sockets of each connection; `close` gives all of it back."""

from __future__ import annotations

import asyncio
import socket
import struct

from lupinmill.lab.fleet import Weather

HOST = "127.0.0.1"
PIECE = 16 * 1024
LOOK = 0.02  # seconds between two looks at a blocked direction
MOST_CONNECTIONS = 256
RESET = struct.pack("ii", 1, 0)


class Way:
    """What `sender` opens to `address` goes to `hearer`, which listens at `target`."""

    def __init__(self, weather: Weather, sender: str, hearer: str, target: tuple[str, int]) -> None:
        self.weather, self.sender, self.hearer, self.target = weather, sender, hearer, target
        self.server: asyncio.Server | None = None
        self.writers: dict[asyncio.StreamWriter, None] = {}
        self.tasks: dict[asyncio.Task[None], None] = {}
        self.passed = [0, 0]  # bytes forth and back

    async def open(self) -> str:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self.tasks) >= MOST_CONNECTIONS:
            writer.close()
            return
        self.tasks[task] = self.writers[writer] = None
        far: asyncio.StreamWriter | None = None
        try:
            await self.passable(0)  # a connection begun behind a cut stands there until it heals
            back, far = await asyncio.open_connection(*self.target)
            self.writers[far] = None
            async with asyncio.TaskGroup() as group:
                group.create_task(self.pump(reader, far, 0))
                group.create_task(self.pump(back, writer, 1))
        except (OSError, ExceptionGroup):
            pass  # one side broke: the other hears of it below
        finally:
            self.tasks.pop(task, None)
            for one in (writer, far):
                if one is not None:
                    self.writers.pop(one, None)
                    one.close()

    async def passable(self, direction: int) -> None:
        ends = (self.sender, self.hearer) if direction == 0 else (self.hearer, self.sender)
        while self.weather.blocks(*ends):
            await asyncio.sleep(LOOK)

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: int) -> None:
        """Each direction by itself: one that is cut does not hold the other up. An end passes as an end."""
        while data := await reader.read(PIECE):
            await self.passable(direction)
            writer.write(data)
            await writer.drain()
            self.passed[direction] += len(data)
        await self.passable(direction)
        if writer.can_write_eof():
            writer.write_eof()

    def reset(self) -> None:
        """All connections break at both ends, as where a machine between them forgets its table."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.server is not None:
            await self.server.wait_closed()
