"""Drives a `Follower`: one watch on relays or sources over HTTP/1.1, one timer, the file of what is in force.

Owns the connection, of which there is one, and the version that waits for the disk, of which there is one as
well: the newest wins. It decides nothing; whether a version can be taken says `take`."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import anyio

from lupinmill.config import keep, wire
from lupinmill.config.follower import Follower
from lupinmill.config.model import (
    LARGEST,
    Answered,
    Apply,
    Ask,
    Entries,
    Failed,
    FollowerNote,
    FollowerOrder,
    Key,
    Log,
    Refused,
    Reply,
    Took,
    Version,
    WakeMe,
    Woke,
)
from lupinmill.protocol.http import ClientSide, Garbled
from lupinmill.routing.engine import Log as Logs
from lupinmill.routing.engine import error_fields
from lupinmill.transport.connection import Connection, NoDescriptor, Unconnected, connect
from lupinmill.transport.buffers import BlockPool

SECOND = 1_000_000
DISK_AGAIN = 5.0  # seconds before a disk that failed is tried again
LONGEST_WHY = 200

# None: in force now; else why not, and then what was in force before still is.
Take = Callable[[Version, Entries], str | None]


def now() -> int:
    return time.monotonic_ns() // 1000


class ConfigWatch:
    WATCHED = Key("fleet", "watched")  # in the kept file alone: the scopes whose entries it has

    def __init__(
        self,
        follower: Follower,
        scopes: tuple[str, ...],
        store: BlockPool,
        take: Take,
        log: Logs,
        keep: str | Path | None = None,
    ) -> None:
        """`scopes`: those watched; none: all. `keep`: the file for the last version in force."""
        self.follower, self.scopes, self.store, self.take, self.log = follower, scopes, store, take, log
        self.path = keep
        self.connection: Connection | None = None
        self.at = ""  # the relay that it leads to
        self.wanted: Ask | None = None  # the call that goes out next
        self.asked = anyio.Event()
        self.calling: anyio.CancelScope | None = None
        self.wake_at: int | None = None
        self.rearmed = anyio.Event()
        self.inbox: list[FollowerNote] = []
        self.stepping = False
        self.to_keep: tuple[Version, Entries] | None = None
        self.kept = anyio.Event()
        self.kept_index = 0  # of the version on disk
        self.keeping = True  # else another process of this sidecar has the file

    async def run(self) -> None:
        """Until it is cancelled; after a failure it may be run again, and goes on from what it holds."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.call)
                group.start_soon(self.keep_time)
                if self.path is not None:
                    group.start_soon(self.save)
                self.tell(Woke())
        finally:
            self.hang_up()

    def change_relays(self, relays: tuple[str, ...]) -> None:
        self.follower.change_relays(relays)
        if self.wanted is not None and self.wanted.at not in relays:
            self.wanted = None
        if self.at not in relays and self.calling is not None:
            self.calling.cancel()
        self.tell(Woke())

    def offer_again(self) -> None:
        """What was refused may fit by now."""
        self.follower.refused, self.follower.why = 0, ""
        self.tell(Woke())

    def hang_up(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    # Notes in, orders out.

    def tell(self, *notes: FollowerNote) -> None:
        self.inbox += notes
        if self.stepping:
            return
        self.stepping = True
        try:
            while self.inbox:
                taken, self.inbox = self.inbox, []
                self.wake_at = None
                for order in self.follower.step(now(), taken):
                    self.carry_out(order)
        finally:
            self.stepping = False

    def carry_out(self, order: FollowerOrder) -> None:
        if isinstance(order, Ask):
            self.wanted = order
            if self.calling is not None:
                self.calling.cancel()
            self.asked.set()
        elif isinstance(order, Apply):
            self.apply(order)
        elif isinstance(order, WakeMe):
            self.wake_at = order.at if self.wake_at is None else min(self.wake_at, order.at)
            self.rearmed.set()
        elif isinstance(order, Log):
            self.log("config", text=order.text)

    def apply(self, order: Apply) -> None:
        try:
            why = self.take(order.version, order.entries)
        except Exception as error:  # a defect there must not end the watch
            self.log("task_failed", task="take", **error_fields(error))
            why = f"a defect: {type(error).__name__}"
        if why is not None:
            self.inbox.append(Refused(order.version, why[:LONGEST_WHY]))
            return
        self.inbox.append(Took(order.version))
        if self.path is not None and self.keeping:
            watched = {self.WATCHED: list(self.scopes)} if self.scopes else {}
            self.to_keep = order.version, order.entries | watched
            self.kept.set()

    async def keep_time(self) -> None:
        while True:
            self.rearmed = anyio.Event()
            wait = None if self.wake_at is None else self.wake_at - now()
            if wait is not None and wait <= 0:
                await anyio.sleep(0)  # guards the loop against a core that wants to be woken without end
                self.tell(Woke())
                continue
            with anyio.move_on_after(None if wait is None else wait / SECOND):
                await self.rearmed.wait()

    # One call at a time.

    async def call(self) -> None:
        while True:
            while self.wanted is None:
                self.asked = anyio.Event()
                await self.asked.wait()
            ask, self.wanted, note = self.wanted, None, None
            with anyio.CancelScope() as self.calling:
                note = await self.answer(ask)
            self.calling = None
            if note is None or isinstance(note, Failed):
                self.hang_up()
            if note is not None and self.wanted is None:
                self.tell(note)

    async def answer(self, ask: Ask) -> Answered | Failed:
        try:
            left = max(0, ask.until - now()) / SECOND
            with anyio.fail_after(left):
                return Answered(ask.at, await self.exchange(ask, left - ask.wait / SECOND))
        except Garbled as error:
            return Failed(ask.at, str(error), garbled=True)
        except TimeoutError:
            return Failed(ask.at, "silent", silent=True)
        except (OSError, Unconnected, NoDescriptor) as error:
            return Failed(ask.at, str(error) or type(error).__name__)
        except Exception as error:
            self.log("task_failed", task="config", **error_fields(error))
            return Failed(ask.at, f"a defect: {type(error).__name__}", garbled=True)

    async def exchange(self, ask: Ask, margin: float) -> Reply:
        """`margin`: seconds for the connection to come up, and between two parts of an answer, beyond which
        TimeoutError is raised; it grows with the follower's own."""
        if self.connection is None or self.at != ask.at or not self.connection.is_idle():
            self.hang_up()
            self.connection, self.at = await connect(ask.at, margin, self.store, lambda: None), ask.at
        side = ClientSide(LARGEST, LARGEST)
        request = wire.call(ask.since, ask.wait // 1000, self.scopes, self.follower.status())
        await self.connection.send(side.ask(request))
        while (answer := side.next_answer()) is None:
            with anyio.move_on_after(margin if side.begun() else None) as pause:
                data = await self.connection.receive()
            if pause.cancelled_caught and not self.connection.has_unread():  # else this loop lagged
                raise TimeoutError("the answer stopped in the middle")
            if not pause.cancelled_caught:
                side.feed(data)
        if not side.reusable():
            self.hang_up()
        return wire.decode(answer)

    # The disk is slow, full or gone: none of that holds up what is in force.

    async def save(self) -> None:
        failing = False
        while True:
            while self.to_keep is None:
                self.kept = anyio.Event()
                await self.kept.wait()
            (version, entries), self.to_keep = self.to_keep, None
            assert self.path is not None
            try:
                with anyio.CancelScope(shield=True):  # a thread that writes can't be called off
                    await anyio.to_thread.run_sync(keep.save, self.path, version, entries)
            except OSError as error:
                if not failing:
                    why = f"{self.path}: {error.strerror}"
                    self.log("config", text="what is in force can't be kept", error=why)
                failing, self.to_keep = True, self.to_keep or (version, entries)
                await anyio.sleep(DISK_AGAIN)
                continue
            self.kept_index = version.index
            if failing:
                failing = False
                self.log("config", text="what is in force is kept again")
