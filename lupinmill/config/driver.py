"""Drives a `Follower`: one watch on relays or sources over HTTP/1.1, one timer, and the file of the version
in force.

Owns the single connection and the single version waiting to be saved; a newer version replaces it. It makes
no decisions; the callback `apply_version` decides whether a version is accepted.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import anyio

from lupinmill.config import stable_store, wire
from lupinmill.config.follower import Follower
from lupinmill.config.model import (
    MAX_REPLY_BYTES,
    ApplyVersion,
    Entries,
    FollowerCommand,
    FollowerEvent,
    Key,
    LogLine,
    Reply,
    ReplyReceived,
    SendWatch,
    SetTimer,
    TimerFired,
    Version,
    VersionApplied,
    VersionRefused,
    WatchFailed,
)
from lupinmill.protocol.http import ClientSide, Garbled
from lupinmill.routing.engine import Log as Logs
from lupinmill.routing.engine import error_fields
from lupinmill.transport.buffers import BlockPool
from lupinmill.transport.connection import Connection, NoDescriptor, Unconnected, connect

SECOND = 1_000_000
SAVE_RETRY_S = 5.0  # delay before a failed save is retried
MAX_REASON_CHARS = 200

# Returns None if the version is in force now, or else the reason; the previous version then stays in force.
ApplyCallback = Callable[[Version, Entries], str | None]


def now() -> int:
    return time.monotonic_ns() // 1000


class ConfigWatch:
    WATCHED_SCOPES_KEY = Key("fleet", "watched")  # in the stored file only: the scopes of its entries

    def __init__(
        self,
        follower: Follower,
        scopes: tuple[str, ...],
        store: BlockPool,
        apply_version: ApplyCallback,
        log: Logs,
        store_path: str | Path | None = None,
    ) -> None:
        """`scopes`: the watched scopes; empty for all. `store_path`: the file of the version in force."""
        self.follower, self.scopes, self.store, self.apply_version, self.log = (
            follower,
            scopes,
            store,
            apply_version,
            log,
        )
        self.store_path = store_path
        self.connection: Connection | None = None
        self.relay = ""  # the relay it is connected to
        self.next_call: SendWatch | None = None  # the watch to send next
        self.call_requested = anyio.Event()
        self.call_scope: anyio.CancelScope | None = None
        self.timer_at: int | None = None
        self.timer_changed = anyio.Event()
        self.inbox: list[FollowerEvent] = []
        self.in_step = False
        self.unsaved: tuple[Version, Entries] | None = None
        self.save_requested = anyio.Event()
        self.saved_index = 0  # of the version on disk
        self.saving_enabled = True  # False while another process of this sidecar owns the file

    async def run(self) -> None:
        """Runs until cancelled. After a failure it may be run again and continues from its state."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.run_calls)
                group.start_soon(self.run_timer)
                if self.store_path is not None:
                    group.start_soon(self.run_saves)
                self.notify(TimerFired())
        finally:
            self.disconnect()

    def change_relays(self, relays: tuple[str, ...]) -> None:
        self.follower.change_relays(relays)
        if self.next_call is not None and self.next_call.relay not in relays:
            self.next_call = None
        if self.relay not in relays and self.call_scope is not None:
            self.call_scope.cancel()
        self.notify(TimerFired())

    def retry_refused(self) -> None:
        """Offers the rejected version again, as it may be valid by now."""
        self.follower.refused, self.follower.why = 0, ""
        self.notify(TimerFired())

    def disconnect(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    # --- events and commands ---

    def notify(self, *events: FollowerEvent) -> None:
        self.inbox += events
        if self.in_step:
            return
        self.in_step = True
        try:
            while self.inbox:
                taken, self.inbox = self.inbox, []
                self.timer_at = None
                for command in self.follower.step(now(), taken):
                    self.execute(command)
        finally:
            self.in_step = False

    def execute(self, command: FollowerCommand) -> None:
        if isinstance(command, SendWatch):
            self.next_call = command
            if self.call_scope is not None:
                self.call_scope.cancel()
            self.call_requested.set()
        elif isinstance(command, ApplyVersion):
            self.apply(command)
        elif isinstance(command, SetTimer):
            self.timer_at = command.at if self.timer_at is None else min(self.timer_at, command.at)
            self.timer_changed.set()
        elif isinstance(command, LogLine):
            self.log("config", text=command.text)

    def apply(self, command: ApplyVersion) -> None:
        try:
            why = self.apply_version(command.version, command.entries)
        except Exception as error:  # an exception there must not end the watch
            self.log("task_failed", task="take", **error_fields(error))
            why = f"a defect: {type(error).__name__}"
        if why is not None:
            self.inbox.append(VersionRefused(command.version, why[:MAX_REASON_CHARS]))
            return
        self.inbox.append(VersionApplied(command.version))
        if self.store_path is not None and self.saving_enabled:
            watched = {self.WATCHED_SCOPES_KEY: list(self.scopes)} if self.scopes else {}
            self.unsaved = command.version, command.entries | watched
            self.save_requested.set()

    async def run_timer(self) -> None:
        while True:
            self.timer_changed = anyio.Event()
            wait = None if self.timer_at is None else self.timer_at - now()
            if wait is not None and wait <= 0:
                await anyio.sleep(0)  # yields, in case the follower keeps requesting an immediate timer
                self.notify(TimerFired())
                continue
            with anyio.move_on_after(None if wait is None else wait / SECOND):
                await self.timer_changed.wait()

    # --- calls, one at a time ---

    async def run_calls(self) -> None:
        while True:
            while self.next_call is None:
                self.call_requested = anyio.Event()
                await self.call_requested.wait()
            watch, self.next_call, event = self.next_call, None, None
            with anyio.CancelScope() as self.call_scope:
                event = await self.send_watch(watch)
            self.call_scope = None
            if event is None or isinstance(event, WatchFailed):
                self.disconnect()
            if event is not None and self.next_call is None:
                self.notify(event)

    async def send_watch(self, watch: SendWatch) -> ReplyReceived | WatchFailed:
        try:
            remaining_s = max(0, watch.deadline - now()) / SECOND
            with anyio.fail_after(remaining_s):
                return ReplyReceived(
                    watch.relay, await self.exchange(watch, remaining_s - watch.wait_us / SECOND)
                )
        except Garbled as error:
            return WatchFailed(watch.relay, str(error), garbled=True)
        except TimeoutError:
            return WatchFailed(watch.relay, "silent", silent=True)
        except (OSError, Unconnected, NoDescriptor) as error:
            return WatchFailed(watch.relay, str(error) or type(error).__name__)
        except Exception as error:
            self.log("task_failed", task="config", **error_fields(error))
            return WatchFailed(watch.relay, f"a defect: {type(error).__name__}", garbled=True)

    async def exchange(self, watch: SendWatch, margin: float) -> Reply:
        """`margin`: seconds allowed for connecting, and between two parts of a reply, before TimeoutError is
        raised. It grows with the follower's own margin."""
        if self.connection is None or self.relay != watch.relay or not self.connection.is_idle():
            self.disconnect()
            self.connection, self.relay = (
                await connect(watch.relay, margin, self.store, lambda: None),
                watch.relay,
            )
        side = ClientSide(MAX_REPLY_BYTES, MAX_REPLY_BYTES)
        request = wire.encode_watch(watch.since, watch.wait_us // 1000, self.scopes, self.follower.status())
        await self.connection.send(side.ask(request))
        while (answer := side.next_answer()) is None:
            with anyio.move_on_after(margin if side.begun() else None) as pause:
                data = await self.connection.receive()
            # otherwise the event loop itself was late
            if pause.cancelled_caught and not self.connection.has_unread():
                raise TimeoutError("the reply stalled before its end")
            if not pause.cancelled_caught:
                side.feed(data)
        if not side.reusable():
            self.disconnect()
        return wire.decode_reply(answer)

    # A slow, full or missing disk must not delay the version in force.

    async def run_saves(self) -> None:
        failing = False
        while True:
            while self.unsaved is None:
                self.save_requested = anyio.Event()
                await self.save_requested.wait()
            (version, entries), self.unsaved = self.unsaved, None
            assert self.store_path is not None
            try:
                with anyio.CancelScope(shield=True):  # a thread that writes cannot be cancelled
                    await anyio.to_thread.run_sync(stable_store.save, self.store_path, version, entries)
            except OSError as error:
                if not failing:
                    why = f"{self.store_path}: {error.strerror}"
                    self.log("config", text="cannot save the version in force", error=why)
                failing, self.unsaved = True, self.unsaved or (version, entries)
                await anyio.sleep(SAVE_RETRY_S)
                continue
            self.saved_index = version.index
            if failing:
                failing = False
                self.log("config", text="saved the version in force after earlier failures")
