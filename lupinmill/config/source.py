"""The source's own part: each new version is on its disk before anyone is told of it.

Two histories: `made` has a version as soon as it is pushed, `served`, which watches are answered from, once
it is kept. A source that lost a version which was in force somewhere would make another of the same index.
Owns `made`; one push at a time."""

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
    """The push was meant for another version than the present one."""


class VersionNotKept(Exception):
    """The history does not reach back to that version."""


class SaveFailed(Exception):
    """The disk did not take the version: nobody was told of it, and all is as before."""


class Source:
    def __init__(
        self, path: str, served: History, on_published: Callable[[Version, frozenset[str]], None]
    ) -> None:
        self.path, self.served, self.on_published = Path(path), served, on_published
        self.working = History(served.version, served.entries)
        self.lock = anyio.Lock()

    async def push(self, changes: Entries, if_index: int | None = None) -> Version:
        """Raises BadPush, Behind, Unlike, NotKept; then nothing has changed."""
        async with self.lock:
            self.check_index(if_index)
            # In a thread: a change for the fleet is checked together with those of all services.
            await to_thread.run_sync(push.check, self.working.entries, changes)
            return await self.publish(partial(self.working.push, changes))

    async def rollback(self, to: int, if_index: int | None = None) -> Version:
        """The content of that version as a new one."""
        async with self.lock:
            self.check_index(if_index)
            changes = difference(
                self.working.entries, self.entries_at(to)
            )  # accepted once, so not checked again
            return await self.publish(partial(self.working.push, changes))

    async def restore(self) -> Version:
        async with self.lock:
            return await self.publish(self.working.restore)

    def entries_at(self, index: int) -> Entries:
        marks = self.served.marks
        entries = self.served.entries_at(Version(index, marks[index])) if index in marks else None
        if entries is None:
            raise VersionNotKept(
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
        """Made, kept, told; where the disk refuses, taken back."""
        working, served = self.working, self.served
        working.ahead = served.ahead  # watches come to the other one
        before, entries = working.version, working.entries
        version = make()
        if version == before:
            return version
        changes = difference(entries, working.entries)
        try:
            await to_thread.run_sync(stable_store.save, self.path, version, working.entries)
        except OSError as error:
            self.working = History(served.version, served.entries)  # what rolls back is in `served`
            self.working.restored_index = served.restored_index
            raise SaveFailed(f"{self.path}: {error.strerror}; the version was not published") from error
        if working.restored_index > served.restored_index:
            served.ahead, served.restored_index = None, working.restored_index
        served.advance(version, changes)
        self.on_published(version, frozenset(key.scope for key in changes))
        return version
