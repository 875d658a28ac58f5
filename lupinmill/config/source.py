"""The source's own part: each new version is on its disk before anyone is told of it.

Two histories: `made` has a version as soon as it is pushed, `served`, which watches are answered from, once it
is kept. A source that lost a version which was in force somewhere would have to make another of the same index.
Owns `made` and what rolls back; one push at a time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from pathlib import Path

import anyio
from anyio import to_thread

from lupinmill.config import keep, push
from lupinmill.config.history import History, difference
from lupinmill.config.model import Entries, Version

MOST_UNDO, MOST_UNDO_BYTES = 1_000, 8 * 2**20  # changes that can be rolled back


class Unlike(Exception):
    """The push was meant for another version than the present one."""


class Unreached(Exception):
    """The history does not reach back to that version."""


class NotKept(Exception):
    """The disk did not take the version: nobody was told of it, and all is as before."""


class Undo:
    """What leads back: of each version kept, the entries that the next one changed, as they were."""

    def __init__(self) -> None:
        self.steps: deque[tuple[int, Entries, int]] = deque()  # index led back to, entries, bytes
        self.size = 0

    def add(self, before: Version, entries: Entries, changes: Entries) -> None:
        old = {key: entries.get(key) for key in changes}
        size = 64 + sum(len(repr(value)) for value in old.values())
        self.steps.append((before.index, old, size))
        self.size += size
        while self.steps and (len(self.steps) > MOST_UNDO or self.size > MOST_UNDO_BYTES):
            self.size -= self.steps.popleft()[2]

    def back_to(self, index: int, entries: Entries) -> Entries:
        """All entries as of that version. Raises Unreached."""
        found = dict(entries)
        for at, old, _ in reversed(self.steps):
            found.update(old)
            if at == index:
                return {key: value for key, value in found.items() if value is not None}
        least = f"; the oldest is {self.steps[0][0]}" if self.steps else ""
        raise Unreached(f"version {index} is none that this source can lead back to{least}; push its content")


class Source:
    def __init__(self, path: str, served: History, had: Callable[[Version, frozenset[str]], None]) -> None:
        self.path, self.served, self.had = Path(path), served, had
        self.made = History(served.version, served.entries)
        self.undo = Undo()
        self.lock = anyio.Lock()

    async def push(self, changes: Entries, if_index: int | None = None) -> Version:
        """Raises BadPush, Behind, Unlike, NotKept; then nothing has changed."""
        async with self.lock:
            self.expect(if_index)
            push.check(self.made.entries, changes)
            return await self.publish(partial(self.made.push, changes))

    async def rollback(self, to: int, if_index: int | None = None) -> Version:
        """The content of that version as a new one."""
        async with self.lock:
            self.expect(if_index)
            if to == self.made.version.index:
                return self.made.version
            changes = difference(self.made.entries, self.undo.back_to(to, self.made.entries))
            return await self.publish(partial(self.made.push, changes))

    async def restore(self) -> Version:
        async with self.lock:
            return await self.publish(self.made.restore)

    def expect(self, if_index: int | None) -> None:
        present = self.made.version.index
        if if_index is not None and if_index != present:
            raise Unlike(f"the version is {present}, not {if_index}; look at what came between, then push again")

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
            await to_thread.run_sync(keep.save, self.path, version, made.entries)
        except OSError as error:
            self.made = History(served.version, served.entries)
            self.made.settled = served.settled
            raise NotKept(f"{self.path}: {error.strerror}; the version was not published") from error
        self.undo.add(before, entries, changes)
        if made.settled > served.settled:
            served.ahead, served.settled = None, made.settled
        served.advance(version, changes)
        self.had(version, frozenset(key.scope for key in changes))
        return version
