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

from lupinmill.config import stable_store, push
from lupinmill.config.history import History, difference
from lupinmill.config.model import Entries, Version


class Unlike(Exception):
    """The push was meant for another version than the present one."""


class Unreached(Exception):
    """The history does not reach back to that version."""


class NotKept(Exception):
    """The disk did not take the version: nobody was told of it, and all is as before."""


class Source:
    def __init__(self, path: str, served: History, had: Callable[[Version, frozenset[str]], None]) -> None:
        self.path, self.served, self.had = Path(path), served, had
        self.made = History(served.version, served.entries)
        self.lock = anyio.Lock()

    async def push(self, changes: Entries, if_index: int | None = None) -> Version:
        """Raises BadPush, Behind, Unlike, NotKept; then nothing has changed."""
        async with self.lock:
            self.expect(if_index)
            # In a thread: a change for the fleet is checked together with those of all services.
            await to_thread.run_sync(push.check, self.made.entries, changes)
            return await self.publish(partial(self.made.push, changes))

    async def rollback(self, to: int, if_index: int | None = None) -> Version:
        """The content of that version as a new one."""
        async with self.lock:
            self.expect(if_index)
            changes = difference(self.made.entries, self.content(to))  # accepted once, so not checked again
            return await self.publish(partial(self.made.push, changes))

    async def restore(self) -> Version:
        async with self.lock:
            return await self.publish(self.made.restore)

    def content(self, index: int) -> Entries:
        marks = self.served.marks
        entries = self.served.content(Version(index, marks[index])) if index in marks else None
        if entries is None:
            raise Unreached(
                f"version {index} is not kept here; the oldest is {min(marks)}: push its file instead"
            )
        return entries

    def expect(self, if_index: int | None) -> None:
        present = self.made.version.index
        if if_index is not None and if_index != present:
            raise Unlike(
                f"the version is {present}, not {if_index}; look at what came between, then push again"
            )

    async def publish(self, make: Callable[[], Version]) -> Version:
        """Made, kept, told; where the disk refuses, taken back."""
        made, served = self.made, self.served
        made.ahead = served.ahead  # watches come to the other one
        before, entries = made.version, made.entries
        version = make()
        if version == before:
            return version
        changes = difference(entries, made.entries)
        try:
            await to_thread.run_sync(stable_store.save, self.path, version, made.entries)
        except OSError as error:
            self.made = History(served.version, served.entries)  # what rolls back is in `served`
            self.made.settled = served.settled
            raise NotKept(f"{self.path}: {error.strerror}; the version was not published") from error
        if made.settled > served.settled:
            served.ahead, served.settled = None, made.settled
        served.advance(version, changes)
        self.had(version, frozenset(key.scope for key in changes))
        return version
