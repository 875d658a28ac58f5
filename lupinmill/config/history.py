"""All entries as of the newest version, and the last changes that led there. Pure; at a source and at relays.

A source makes versions (`push`, `restore`); a relay takes them as its follower applied them (`replace`). The
changes kept are bounded by number and by bytes; who asks from further back, or from a version that was never
here, is given a snapshot."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

import orjson
import xxhash

from lupinmill.config.model import LARGEST, Entries, Key, Reply, Version

MOST_BYTES = LARGEST - 64 * 1024  # of all entries as rows: the rest is for their frame
MOST_AHEAD = 2**32  # an index so far beyond the own one is no source's, and not remembered


class Behind(Exception):
    """Versions from beyond this source's own are about: it came back from an older backup, or another source
    published beside it. Nothing is pushed until `restore`."""


class TooLarge(ValueError):
    """All entries together would not fit in an answer."""


def canonical(value: Any) -> bytes:
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def same(one: Any, other: Any) -> bool:
    """As JSON: 1, 1.0 and true are three values."""
    return one is other or one == other and canonical(one) == canonical(other)


def row_size(key: Key, value: Any) -> int:
    return len(orjson.dumps({"scope": key.scope, "kind": key.kind, "value": value})) + 1


def next_mark(mark: str, index: int, changes: Entries) -> str:
    """Chained: it stands for all changes so far, in their order."""
    rows = sorted([key.scope, key.kind, canonical(value).decode()] for key, value in changes.items())
    return xxhash.xxh3_64_hexdigest(orjson.dumps([mark, index, rows]))


def difference(old: Entries, new: Entries) -> Entries:
    """The changes that make `new` of `old`."""
    changes: Entries = {key: None for key in old if key not in new}
    changes.update((key, value) for key, value in new.items() if key not in old or not same(old[key], value))
    return changes


def check_value(key: Key, value: Any) -> None:
    """Guards against what JSON can't hold, such as NaN or a tuple, and would turn into something else."""
    try:
        good = orjson.loads(orjson.dumps(value)) == value
    except (TypeError, ValueError, RecursionError):
        good = False
    if not good:
        raise ValueError(f"{key.scope} {key.kind}: not a JSON value")


@dataclass(slots=True)
class Change:
    number: int  # counts those of this history
    version: Version
    entries: Entries
    before: Entries  # what stood there; None: nothing
    size: int  # bytes of both


class History:
    """Owns the entries: `entries` is for reading, and is replaced whole with each version."""

    def __init__(
        self, version: Version, entries: Entries, most_changes: int = 1000, most_bytes: int = 4 * 1024 * 1024
    ) -> None:
        self.version, self.entries = version, dict(entries)
        self.most_changes, self.most_bytes = most_changes, most_bytes
        self.changes: deque[Change] = deque()
        self.size = 0  # bytes of the changes kept
        self.count = 0  # changes so far, in this life
        self.numbers: dict[Version, int] = {version: 0}  # of the versions kept: the change that led there
        self.marks: dict[int, str] = {version.index: version.mark}
        self.newest: dict[str, int] = {}  # by scope: number of the newest change kept
        self.scopes: dict[str, Entries] = {}
        for key, value in self.entries.items():
            self.scopes.setdefault(key.scope, {})[key] = value
        self.bytes = sum(row_size(key, value) for key, value in self.entries.items())
        self.ahead: Version | None = None  # the highest that was asked from and never was here
        self.settled = 0  # foreign versions below this index were overruled by `restore`

    # --- new versions ---

    def push(self, entries: Entries) -> Version:
        """These changes as the next version; the present one where they change nothing. Raises Behind,
        ValueError, and then all is as before."""
        if self.ahead is not None:
            raise Behind(
                f"version {self.ahead.index} is about, which this source never made (its own: "
                f"{self.version.index}): restored from an older backup, or not the only one; restore first"
            )
        changes = {}
        for key, value in entries.items():
            if value is None:
                if key in self.entries:
                    changes[key] = None
                continue
            check_value(key, value)
            if key not in self.entries or not same(self.entries[key], value):
                changes[key] = value
        if not changes:
            return self.version
        index = self.version.index + 1
        return self.advance(Version(index, next_mark(self.version.mark, index, changes)), changes)

    def restore(self) -> Version:
        """The present content as a version beyond all that were heard of, so that everyone takes it."""
        index = max(self.version.index, self.ahead.index if self.ahead else 0) + 1
        self.ahead, self.settled = None, index
        return self.advance(Version(index, next_mark(self.version.mark, index, {})), {})

    def replace(self, version: Version, entries: Entries) -> None:
        """All entries as of a version that another made. Raises ValueError for one that is not newer."""
        if version == self.version:
            return
        if version.index <= self.version.index:
            raise ValueError(f"version {version.index} does not follow {self.version.index}")
        self.advance(version, difference(self.entries, entries))

    def advance(self, version: Version, changes: Entries) -> Version:
        before = {key: self.entries.get(key) for key in changes}
        more = sum(row_size(key, value) for key, value in changes.items() if value is not None)
        less = sum(row_size(key, value) for key, value in before.items() if value is not None)
        if self.bytes + more - less > MOST_BYTES:
            raise TooLarge(f"all entries together would be over {MOST_BYTES} bytes")
        self.bytes += more - less
        self.entries = merged(self.entries, changes)
        for key, value in changes.items():
            self.put(key, value)
        self.count += 1
        size = more + less + 64 * (1 + len(changes))
        self.changes.append(Change(self.count, version, changes, before, size))
        self.size += size
        self.version = version
        self.numbers[version], self.marks[version.index] = self.count, version.mark
        self.newest.update((key.scope, self.count) for key in changes)
        while self.changes and (len(self.changes) > self.most_changes or self.size > self.most_bytes):
            self.fold()
        if self.ahead is not None and (self.ahead.index < version.index or self.ahead == version):
            self.ahead = None
        return version

    def put(self, key: Key, value: Any) -> None:
        part = self.scopes.setdefault(key.scope, {})
        if value is None:
            part.pop(key, None)
        else:
            part[key] = value
        if not part:
            del self.scopes[key.scope]

    def fold(self) -> None:
        """The oldest change becomes part of what history begins with."""
        base = next(iter(self.numbers))
        del self.numbers[base], self.marks[base.index]
        oldest = self.changes.popleft()
        self.size -= oldest.size
        for scope in {key.scope for key in oldest.entries}:
            if self.newest[scope] == oldest.number:
                del self.newest[scope]

    # --- watches ---

    def knows(self, version: Version) -> bool:
        return version in self.numbers

    def content(self, version: Version) -> Entries | None:
        """All entries as of a version kept, for a rollback: `push(difference(history.entries, content))`."""
        number = self.numbers.get(version)
        if number is None:
            return None
        entries = self.entries
        for change in reversed(self.changes):
            if change.number <= number:
                break
            entries = merged(entries, change.before)
        return dict(entries)

    def heard_of(self, version: Version) -> None:
        """Someone has this version. One that never was here is remembered, as `ahead`."""
        index = version.index
        if index < self.settled or index > self.version.index + MOST_AHEAD or self.knows(version):
            return
        foreign = index > self.version.index or index in self.marks
        if foreign and (self.ahead is None or index > self.ahead.index):
            self.ahead = version

    def news(self, since: Version, scopes: tuple[str, ...]) -> bool:
        """Is there anything to tell now to a watch from there?"""
        if since == self.version:
            return False
        number = self.numbers.get(since)
        if number is None or since.index == 0:
            return True
        return not scopes or any(self.newest.get(scope, 0) > number for scope in scopes)

    def reply(self, since: Version, scopes: tuple[str, ...], spread_ms: int = 0) -> Reply:
        """The changes since then, of each key the last; a snapshot where they are not known. Without scopes:
        all."""
        self.heard_of(since)
        number = self.numbers.get(since)
        if number is None or since.index == 0:
            return Reply(self.version, True, self.snapshot(scopes), since, spread_ms)
        changes: Entries = {}
        for change in reversed(self.changes):
            if change.number <= number:
                break
            for key, value in change.entries.items():
                if not scopes or key.scope in scopes:
                    changes.setdefault(key, value)
        return Reply(self.version, False, changes, since, spread_ms)

    def snapshot(self, scopes: tuple[str, ...]) -> Entries:
        if not scopes:
            return dict(self.entries)
        return {key: value for scope in scopes for key, value in self.scopes.get(scope, {}).items()}


def merged(entries: Entries, changes: Entries) -> Entries:
    found = {**entries, **changes}
    for key, value in changes.items():
        if value is None:
            found.pop(key, None)
    return found
