"""The source's write path: each new version is on disk before any watcher gets it.

There are two histories: `working` has a version as soon as it is pushed; `served`, from which watches are
answered, only once it is saved. A source that lost a version already in force somewhere would reuse its index
for a different one. Owns `working`; pushes are serialized.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path

import anyio
from anyio import to_thread

from lupinmill.config import push, stable_store
from lupinmill.config.history import History, difference
from lupinmill.config.model import Entries, Version


class IndexMismatch(Exception):
    """The push expected another current version."""


class VersionNotRetained(Exception):
    """The history no longer retains that version."""


class SaveFailed(Exception):
    """The version could not be written to disk: it was not published, and nothing has changed."""


class Source:
    def __init__(
        self, path: str, served: History, on_published: Callable[[Version, frozenset[str]], None]
    ) -> None:
        self.path, self.served, self.on_published = Path(path), served, on_published
        self.working = History(served.version, served.entries)
        self.lock = anyio.Lock()

    async def push(self, changes: Entries, if_index: int | None = None) -> Version:
        """Raises InvalidPush, SourceBehind, IndexMismatch or SaveFailed, leaving everything unchanged."""
        async with self.lock:
            self.check_index(if_index)
            # In a thread, as a fleet-wide change is checked against the settings of every service.
            await to_thread.run_sync(push.check, self.working.entries, changes)
            return await self.publish(partial(self.working.push, changes))

    async def rollback(self, to: int, if_index: int | None = None) -> Version:
        """Publishes the content of an earlier version as a new one."""
        async with self.lock:
            self.check_index(if_index)
            # Not validated again: it was when first pushed.
            changes = difference(self.working.entries, self.entries_at(to))
            return await self.publish(partial(self.working.push, changes))

    async def restore(self) -> Version:
        async with self.lock:
            return await self.publish(self.working.restore)

    def entries_at(self, index: int) -> Entries:
        marks = self.served.marks
        entries = self.served.entries_at(Version(index, marks[index])) if index in marks else None
        if entries is None:
            raise VersionNotRetained(
                f"version {index} is not kept here; the oldest is {min(marks)}: push its file instead"
            )
        return entries

    def check_index(self, if_index: int | None) -> None:
        present = self.working.version.index
        if if_index is not None and if_index != present:
            raise IndexMismatch(
                f"the version is {present}, not {if_index}; look at what came between, then push again"
            )

    async def publish(self, make: Callable[[], Version]) -> Version:
        """Creates a version, saves it and serves it; undoes it if the save fails."""
        working, served = self.working, self.served
        working.ahead = served.ahead  # watches are answered from `served`, so only it observes versions
        before, entries = working.version, working.entries
        version = make()
        if version == before:
            return version
        changes = difference(entries, working.entries)
        try:
            await to_thread.run_sync(stable_store.save, self.path, version, working.entries)
        except OSError as error:
            self.working = History(served.version, served.entries)  # `served` still has the previous version
            self.working.restored_index = served.restored_index
            raise SaveFailed(f"{self.path}: {error.strerror}; the version was not published") from error
        if working.restored_index > served.restored_index:
            served.ahead, served.restored_index = None, working.restored_index
        served.advance(version, changes)
        self.on_published(version, frozenset(key.scope for key in changes))
        return version
