"""A running relay, or the source: its parts put together, its signals, its end.

A relay serves a version as soon as it has it, and keeps it beside that: a full disk must not hold the fleet
back, and what is lost with the process comes again from upstream. A source keeps a version before it serves
it, and does not start with a file that can't be read: nothing may fall back. Owns the kept file's lock."""

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

from lupinmill.config import keep, wire
from lupinmill.config.fanout import Fanout, Had
from lupinmill.config.follower import Follower
from lupinmill.config.history import History
from lupinmill.config.model import Entries, Reply, Status, Version
from lupinmill.config.office import LARGEST_PUSH, Office
from lupinmill.config.relay_file import RelayFile
from lupinmill.config.server import Calls, Watches
from lupinmill.config.source import Source
from lupinmill.routing.engine import Clock, Log, error_fields
from lupinmill.transport.buffers import BlockPool

if TYPE_CHECKING:
    from lupinmill.config.driver import ConfigWatch

# Microseconds. A silent upstream is noticed two seconds after the wait: short, as all below wait with it.
WAIT, SPREAD = 6_000_000, 1_000_000  # of the watch upstream; of relays that come anew
KEEP_AGAIN = 5.0  # seconds before a disk that refused is tried again
LEAVES = 3.0  # seconds at most in which watchers are sent away
LAST_ANSWERS = 0.5  # seconds for those to be read
AGAIN = 0.1  # seconds before a task that failed goes on
OWN_DESCRIPTORS = 64


class BadStart(Exception):
    """The text is the one line."""


class Kept:
    """The last version on disk, written by a thread, the newest first; this process alone has the file."""

    def __init__(self, path: str, log: Log) -> None:
        """Raises BadStart."""
        self.path, self.log = Path(path), log
        self.index = 0  # of the version on disk
        self.failing = ""
        self.latest: tuple[Version, Entries] | None = None
        self.more = anyio.Event()
        try:
            self.path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
            lock = self.path.with_name(f".{self.path.name}.lock")
            self.lock = os.open(lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise BadStart(f"keep: {path}: {error.strerror}") from error
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock)
            raise BadStart(f"keep: {path}: another process has it") from error

    def put(self, version: Version, entries: Entries) -> None:
        self.latest = version, entries
        self.more.set()

    async def run(self) -> None:
        while True:
            if self.latest is None:
                self.more = anyio.Event()
                await self.more.wait()
                continue
            (version, entries), self.latest = self.latest, None
            try:
                await to_thread.run_sync(keep.save, self.path, version, entries)
            except OSError as error:
                if not self.failing:
                    self.log("keep_failed", error=f"{self.path}: {error.strerror}", serves="from memory")
                self.failing = error.strerror or "failed"
                self.latest = self.latest or (version, entries)
                await anyio.sleep(KEEP_AGAIN)
                continue
            if self.failing:
                self.log("keep_again", index=version.index)
            self.index, self.failing = version.index, ""

    def close(self) -> None:
        os.close(self.lock)


class Upstream(Follower):
    """A relay's own watch: it tells upwards also of versions that its own watchers had and it never did."""

    history: History

    def status(self) -> Status:
        status = super().status()
        status.ahead = self.history.ahead or Version()
        return status


class Relay:
    def __init__(self, file: RelayFile, log: Log) -> None:
        """Raises BadStart. Listens already."""
        self.file, self.log, self.clock = file, log, Clock()
        allow_descriptors(file.most_watchers)
        self.kept = Kept(file.keep, log)
        try:
            self.history = History(*self.begin())
            self.kept.index = self.history.version.index
            memory = int(file.memory_mb * 2**20)
            self.fanout = Fanout(
                self.history, wire.encode, self.clock.now(), file.most_watchers, file.spread_ms, memory // 4
            )
            self.source = Source(file.keep, self.history, self.had) if file.source else None
            self.office = Office(self.show, self.entries, self.source)
            try:
                self.watches = Watches(
                    file.listen, self.fanout, file.most_watchers, memory - memory // 4, self.clock, log
                )
            except OSError as error:
                raise BadStart(f"listen: {file.listen}: {error.strerror}") from error
            try:
                self.calls = self.operators()
            except OSError as error:
                self.watches.close()
                raise BadStart(f"operator: {file.operator}: {error.strerror}") from error
        except BaseException:
            self.kept.close()
            raise
        self.watch = None if file.source else self.upstream()

    def begin(self) -> tuple[Version, Entries]:
        """What was kept. A source that has nothing begins with a first version, empty."""
        try:
            found = keep.load(self.file.keep)
        except keep.BadKeep as error:
            if self.file.source:
                raise BadStart(
                    f"keep: {error}; a source begins with what it published last: restore it from a backup"
                ) from error
            self.log("keep_damaged", error=str(error), begins="with nothing, and asks upstream")
            return Version(), {}
        if found is None and self.file.source:
            fresh = History(Version(), {})
            fresh.restore()
            found = fresh.version, fresh.entries
            try:
                keep.save(self.file.keep, *found)
            except OSError as error:
                raise BadStart(f"keep: {self.file.keep}: {error.strerror}") from error
        return found or (Version(), {})

    def operators(self) -> Calls | None:
        if not self.file.operator:
            return None
        return Calls(self.file.operator, self.office.carry_out, LARGEST_PUSH, self.log)

    def upstream(self) -> ConfigWatch:
        from lupinmill.config.driver import ConfigWatch

        seed = random.SystemRandom().getrandbits(63)
        follower = Upstream(
            self.file.name,
            tuple(self.file.upstreams),
            seed,
            WAIT,
            SPREAD,
            self.history.version,
            self.history.entries,
        )
        follower.history = self.history
        return ConfigWatch(follower, (), BlockPool(), self.take, self.log)

    # What is new.

    def take(self, version: Version, entries: Entries) -> str | None:
        """From upstream: each one is taken, served at once, kept as soon as the disk has time."""
        try:
            self.history.replace(version, entries)
        except ValueError as error:
            return str(error)
        changes = self.history.changes
        whole = not changes or changes[-1].version != version  # too large a change to be kept as one
        changed = self.history.scopes if whole else {key.scope for key in changes[-1].entries}
        self.had(version, frozenset(changed))
        self.kept.put(version, self.history.entries)
        return None

    def had(self, version: Version, scopes: frozenset[str]) -> None:
        if self.source is not None:
            self.kept.index = version.index
        self.watches.step(Had(version, scopes))
        self.log("version", index=version.index, mark=version.mark, scopes=len(scopes))

    def entries(self) -> bytes:
        return wire.encode(Reply(self.history.version, True, self.history.entries))

    def show(self) -> dict[str, Any]:
        ahead = self.history.ahead
        return {
            "name": self.file.name,
            "role": "source" if self.file.source else "relay",
            "upstreams": list(self.file.upstreams),
            "ahead": ahead.index if ahead else 0,
            "kept": self.kept.index,
            "keep_failing": self.kept.failing,
            "cut_off": self.watches.cut_off,
            "refused_calls": self.watches.refused,
            "pid": os.getpid(),
            **self.fanout.show(self.clock.now()),
        }

    # The running program.

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        try:
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
                async with anyio.create_task_group() as group:
                    group.start_soon(self.keep_up, self.watches.keep_time)
                    group.start_soon(self.watches.run, group)
                    if self.calls is not None:
                        group.start_soon(self.calls.run, group)
                    if self.watch is not None:
                        group.start_soon(self.keep_up, self.kept.run)
                        group.start_soon(self.keep_up, self.watch.run)
                    self.log(
                        "started",
                        listen=self.watches.address,
                        operator=self.calls and self.calls.address,
                        role="source" if self.file.source else "relay",
                        index=self.history.version.index,
                    )
                    gc.collect()
                    gc.freeze()
                    task_status.started(self.watches.address)
                    async for signum in signals:
                        if signum is signal.SIGHUP:
                            self.log("reload_refused", error="a relay's file wants a new start")
                            continue
                        self.log("leaving", signal=signum.name, watchers=len(self.fanout.waiting))
                        break
                    await self.watches.leave(min(LEAVES, self.file.spread_ms / 1000), random.Random())
                    await anyio.sleep(LAST_ANSWERS if any(self.watches.descriptors.open.values()) else 0)
                    group.cancel_scope.cancel()
        finally:
            self.close()
        self.log("stopped")

    async def keep_up(self, task: Callable[[], Awaitable[None]]) -> None:
        """One defect in a task that lasts as long as the program must not end the program."""
        while True:
            try:
                return await task()
            except Exception as error:
                self.log("task_failed", task=task.__qualname__, **error_fields(error))
                await anyio.sleep(AGAIN)

    def close(self) -> None:
        self.watches.close()
        if self.calls is not None:
            self.calls.close()
        self.kept.close()


def allow_descriptors(watchers: int) -> None:
    """Raises BadStart: a relay that runs out of them later would turn its fleet away."""
    want = watchers + OWN_DESCRIPTORS * 3
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < want:
        if hard != resource.RLIM_INFINITY and hard < want:
            raise BadStart(
                f"most_watchers: {watchers} want {want} descriptors, the system lets it have {hard}"
            )
        resource.setrlimit(resource.RLIMIT_NOFILE, (want, hard))
