"""A running relay or source: assembly of its parts, signal handling and shutdown.

A relay serves a version immediately and saves it in the background: a full disk must not hold up the fleet,
and a version lost with the process is fetched from upstream again. A source saves a version before serving it
and refuses to start with an unreadable file, so that the fleet never falls back to older content. Owns the
lock of the stored file.
"""

from __future__ import annotations

import fcntl
import gc
import os
import random
import resource
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
from anyio import to_thread

from lupinmill.config import stable_store, wire
from lupinmill.config.config_handler import MAX_PUSH_BYTES, ConfigHandler
from lupinmill.config.fanout import Fanout, VersionAvailable
from lupinmill.config.follower import Follower
from lupinmill.config.history import History
from lupinmill.config.model import Entries, Reply, Status, Version
from lupinmill.config.relay_file import RelayFile
from lupinmill.config.server import AdminServer, WatchServer
from lupinmill.config.source import Source
from lupinmill.routing.engine import Log, error_fields
from lupinmill.transport.buffers import BlockPool
from lupinmill.transport.clocks import MonotonicClock

if TYPE_CHECKING:
    from lupinmill.config.driver import ConfigWatch

# Watch on the upstream. It is short, because a silent upstream is only noticed two seconds after the wait,
# and everything below is delayed by that.
UPSTREAM_WAIT_US, UPSTREAM_SPREAD_US = 6_000_000, 1_000_000  # the spread applies when relays reconnect
SAVE_RETRY_S = 5.0
DRAIN_S = 3.0  # limit for telling watchers to leave
LAST_ANSWERS_S = 0.5  # time for the last answers to be read
TASK_RETRY_S = 0.1  # delay before a failed task is restarted
OWN_DESCRIPTORS = 64


class StartError(Exception):
    """The message is one line."""


class StableStore:
    """Saves the last version to disk in a thread; if saves fall behind, only the newest is kept. Holds an
    exclusive lock on the file."""

    def __init__(self, path: str, log: Log) -> None:
        """Raises StartError."""
        self.path, self.log = Path(path), log
        self.index = 0  # of the saved version
        self.failing = ""
        self.unsaved: tuple[Version, Entries] | None = None
        self.save_requested = anyio.Event()
        try:
            self.path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
            lock = self.path.with_name(f".{self.path.name}.lock")
            self.lock = os.open(lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise StartError(f"keep: {path}: {error.strerror}") from error
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock)
            raise StartError(f"keep: {path}: locked by another process") from error

    def schedule_save(self, version: Version, entries: Entries) -> None:
        self.unsaved = version, entries
        self.save_requested.set()

    async def run(self) -> None:
        while True:
            if self.unsaved is None:
                self.save_requested = anyio.Event()
                await self.save_requested.wait()
                continue
            (version, entries), self.unsaved = self.unsaved, None
            try:
                await to_thread.run_sync(stable_store.save, self.path, version, entries)
            except OSError as error:
                if not self.failing:
                    self.log("keep_failed", error=f"{self.path}: {error.strerror}", serves="from memory")
                self.failing = error.strerror or "failed"
                self.unsaved = self.unsaved or (version, entries)
                await anyio.sleep(SAVE_RETRY_S)
                continue
            if self.failing:
                self.log("keep_again", index=version.index)
            self.index, self.failing = version.index, ""

    def close(self) -> None:
        os.close(self.lock)


class UpstreamFollower(Follower):
    """A relay's own watch. It also reports versions that its watchers hold and the relay never had."""

    history: History

    def status(self) -> Status:
        status = super().status()
        status.ahead = self.history.ahead or Version()
        return status


class Relay:
    def __init__(self, file: RelayFile, log: Log) -> None:
        """Raises StartError. The listeners are open on return."""
        self.file, self.log, self.clock = file, log, MonotonicClock()
        raise_descriptor_limit(file.most_watchers)
        self.store = StableStore(file.keep, log)
        try:
            self.history = History(*self.load_initial())
            self.store.index = self.history.version.index
            memory = int(file.memory_mb * 2**20)
            self.fanout = Fanout(
                self.history,
                wire.encode_reply,
                self.clock.now(),
                file.most_watchers,
                file.spread_ms,
                memory // 4,
            )
            self.source = Source(file.keep, self.history, self.announce) if file.is_source else None
            self.config_handler = ConfigHandler(self.show, self.entries, self.source)
            try:
                self.watch_server = WatchServer(
                    file.listen, self.fanout, file.most_watchers, memory - memory // 4, self.clock, log
                )
            except OSError as error:
                raise StartError(f"listen: {file.listen}: {error.strerror}") from error
            try:
                self.admin_server = self.open_admin_server()
            except OSError as error:
                self.watch_server.close()
                raise StartError(f"operator: {file.operator}: {error.strerror}") from error
        except BaseException:
            self.store.close()
            raise
        self.upstream_watch = None if file.is_source else self.open_upstream_watch()

    def load_initial(self) -> tuple[Version, Entries]:
        """Loads the stored version. A source without one starts with an empty first version."""
        try:
            found = stable_store.load(self.file.keep)
        except stable_store.StableStoreError as error:
            if self.file.is_source:
                raise StartError(
                    f"keep: {error}; a source needs its last published version: restore it from a backup"
                ) from error
            self.log("keep_damaged", error=str(error), begins="empty, fetching from upstream")
            return Version(), {}
        if found is None and self.file.is_source:
            history = History(Version(), {})
            history.restore()
            found = history.version, history.entries
            try:
                stable_store.save(self.file.keep, *found)
            except OSError as error:
                raise StartError(f"keep: {self.file.keep}: {error.strerror}") from error
        return found or (Version(), {})

    def open_admin_server(self) -> AdminServer | None:
        if not self.file.operator:
            return None
        return AdminServer(self.file.operator, self.config_handler.handle, MAX_PUSH_BYTES, self.log)

    def open_upstream_watch(self) -> ConfigWatch:
        from lupinmill.config.driver import ConfigWatch

        seed = random.SystemRandom().getrandbits(63)
        follower = UpstreamFollower(
            self.file.name,
            tuple(self.file.upstreams),
            seed,
            UPSTREAM_WAIT_US,
            UPSTREAM_SPREAD_US,
            self.history.version,
            self.history.entries,
        )
        follower.history = self.history
        return ConfigWatch(follower, (), BlockPool(), self.apply_version, self.log)

    # --- new versions ---

    def apply_version(self, version: Version, entries: Entries) -> str | None:
        """Accepts a version from upstream: serves it at once and schedules the save."""
        try:
            self.history.replace(version, entries)
        except ValueError as error:
            return str(error)
        changes = self.history.changes
        # the change exceeds the history's limits and was dropped
        too_large = not changes or changes[-1].version != version
        changed = self.history.entries_by_scope if too_large else {key.scope for key in changes[-1].entries}
        self.announce(version, frozenset(changed))
        self.store.schedule_save(version, self.history.entries)
        return None

    def announce(self, version: Version, scopes: frozenset[str]) -> None:
        if self.source is not None:
            self.store.index = version.index
        self.watch_server.step(VersionAvailable(version, scopes))
        self.log("version", index=version.index, mark=version.mark, scopes=len(scopes))

    def entries(self) -> bytes:
        return wire.encode_reply(Reply(self.history.version, True, self.history.entries))

    def show(self) -> dict[str, Any]:
        ahead = self.history.ahead
        return {
            "name": self.file.name,
            "role": "source" if self.file.is_source else "relay",
            "upstreams": list(self.file.upstreams),
            "ahead": ahead.index if ahead else 0,
            "kept": self.store.index,
            "keep_failing": self.store.failing,
            "cut_off": self.watch_server.cut_off,
            "refused_calls": self.watch_server.refused,
            "pid": os.getpid(),
            **self.fanout.show(self.clock.now()),
        }

    # --- main loop ---

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        try:
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
                async with anyio.create_task_group() as group:
                    group.start_soon(self.run_with_restarts, self.watch_server.run_timer)
                    group.start_soon(self.watch_server.run, group)
                    if self.admin_server is not None:
                        group.start_soon(self.admin_server.run, group)
                    if self.upstream_watch is not None:
                        group.start_soon(self.run_with_restarts, self.store.run)
                        group.start_soon(self.run_with_restarts, self.upstream_watch.run)
                    self.log(
                        "started",
                        listen=self.watch_server.address,
                        operator=self.admin_server and self.admin_server.address,
                        role="source" if self.file.is_source else "relay",
                        index=self.history.version.index,
                    )
                    gc.collect()
                    gc.freeze()
                    task_status.started(self.watch_server.address)
                    async for signum in signals:
                        if signum is signal.SIGHUP:
                            self.log(
                                "reload_refused", error="a relay's file only takes effect after a restart"
                            )
                            continue
                        self.log("leaving", signal=signum.name, watchers=len(self.fanout.waiting))
                        break
                    await self.watch_server.drain(min(DRAIN_S, self.file.spread_ms / 1000), random.Random())
                    await anyio.sleep(
                        LAST_ANSWERS_S if any(self.watch_server.descriptors.open.values()) else 0
                    )
                    group.cancel_scope.cancel()
        finally:
            self.close()
        self.log("stopped")

    async def run_with_restarts(self, task: Callable[[], Awaitable[None]]) -> None:
        """Restarts a long-running task after an unexpected exception instead of ending the program."""
        while True:
            try:
                return await task()
            except Exception as error:
                self.log("task_failed", task=task.__qualname__, **error_fields(error))
                await anyio.sleep(TASK_RETRY_S)

    def close(self) -> None:
        self.watch_server.close()
        if self.admin_server is not None:
            self.admin_server.close()
        self.store.close()


def raise_descriptor_limit(watchers: int) -> None:
    """Raises StartError, because running out of descriptors later would reject the relay's watchers."""
    wanted = watchers + OWN_DESCRIPTORS * 3
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        if hard != resource.RLIM_INFINITY and hard < wanted:
            raise StartError(
                f"most_watchers: {watchers} needs {wanted} file descriptors, but the system's limit is {hard}"
            )
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
