"""The watch on the list of endpoints."""
from __future__ import annotations

import anyio

from lupinmill import terms as t
from lupinmill.protocol import lists
from lupinmill.protocol.http import ClientSide, Garbled
from lupinmill.routing.directory import Directory
from lupinmill.routing.engine import Log
from lupinmill.transport.connection import Connection, Unconnected, connect
from lupinmill.transport.ring import Store

WAIT_MS = 20_000  # how long one call of a watch waits for news
LATE = 3.0  # seconds beyond that wait before discovery counts as silent
CONNECT = 2.0


class Discovery:
    """Begins a watch when the module asks for one, and keeps it until a call fails. Owns the connection."""

    def __init__(self, address: str, directory: Directory, store: Store, log: Log) -> None:
        self.address, self.directory, self.store, self.log = address, directory, store, log
        self.wanted = anyio.Event()
        self.connection: Connection | None = None

    def watch(self, _: t.Watch) -> None:
        self.wanted.set()

    async def run(self) -> None:
        while True:
            await self.wanted.wait()
            try:
                await self.follow()
            except (OSError, TimeoutError, Unconnected, Garbled) as error:
                self.log("watch_failed", error=f"{type(error).__name__}: {error}")
            except Exception as error:
                self.log("task_failed", task="watch", error=f"{type(error).__name__}: {error}")
            finally:
                self.hang_up()
            self.wanted = anyio.Event()
            self.directory.failed()

    async def follow(self) -> None:
        """The next call goes out at once: a watch goes on only if it comes soon after the last answer."""
        self.log("watch", index=self.directory.index)
        while True:
            known = await self.call()
            self.directory.update(known, t.ListKind.FULL if known.whole else t.ListKind.CHANGES)

    async def call(self) -> lists.Known:
        if self.connection is None or not self.connection.quiet():
            self.hang_up()
            self.connection = await connect(self.address, CONNECT, self.store, lambda: None)
        side = ClientSide(lists.LARGEST_LIST)
        with anyio.fail_after(WAIT_MS / 1000 + LATE):
            await self.connection.send(side.ask(lists.call(self.directory.index, WAIT_MS)))
            while (answer := side.next_answer()) is None:
                data = await self.connection.receive()
                if not data:
                    raise ConnectionResetError("discovery hung up")
                side.feed(data)
        if not side.reusable():
            self.hang_up()
        return lists.read(answer)

    def hang_up(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
