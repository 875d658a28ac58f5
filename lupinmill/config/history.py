"""The entries of the newest version and the recent changes that led to it, at a source or a relay. Pure.

A source creates versions (`push`, `restore`); a relay stores those that its follower applied (`replace`). The
retained changes are bounded by count and by bytes. A watch from an older or an unknown version is answered
with a snapshot.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

import orjson
import xxhash

from lupinmill.config.model import MAX_REPLY_BYTES, Entries, Key, Reply, Version

# of all entries as rows; the rest is left for the enclosing message
MAX_ENTRIES_BYTES = MAX_REPLY_BYTES - 64 * 1024
MISSING = object()
MAX_INDEX_LEAD = 2**32  # a claimed index further ahead than this is bogus and ignored


class SourceBehind(Exception):
    """Watchers hold versions that this source never published: it was restored from an older backup, or a
    second source is publishing. Pushes are refused until `restore`."""


class EntriesTooLarge(ValueError):
    """The entries together would not fit in one reply."""


def canonical_json(value: Any) -> bytes:
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def json_equal(left: Any, right: Any) -> bool:
    """Compares as JSON, where 1, 1.0 and true are three different values."""
    return left is right or left == right and canonical_json(left) == canonical_json(right)


def row_size(key: Key, value: Any) -> int:
    return len(orjson.dumps({"scope": key.scope, "kind": key.kind, "value": value})) + 1


def next_mark(mark: str, index: int, changes: Entries) -> str:
    """Chained checksum over all changes so far, in order."""
    rows = sorted([key.scope, key.kind, canonical_json(value).decode()] for key, value in changes.items())
    return xxhash.xxh3_64_hexdigest(orjson.dumps([mark, index, rows]))


def difference(old: Entries, new: Entries) -> Entries:
    """The changes that turn `old` into `new`."""
    changes: Entries = {}
    added = 0
    for key, value in new.items():
        old_value = old.get(key, MISSING)
        if old_value is value:  # the common case, as a relay diffs every version
            continue
        if old_value is MISSING:
            added += 1
        if old_value is MISSING or not json_equal(old_value, value):
            changes[key] = value
    if len(old) > len(new) - added:
        changes.update((key, None) for key in old if key not in new)
    return changes


def check_json_value(key: Key, value: Any) -> None:
    """Rejects values that JSON cannot represent or would alter, such as NaN or a tuple."""
    try:
        good = orjson.loads(orjson.dumps(value)) == value
    except (TypeError, ValueError, RecursionError):
        good = False
    if not good:
        raise ValueError(f"{key.scope} {key.kind}: not a JSON value")


@dataclass(slots=True)
class Change:
    number: int  # sequence number within this history
    version: Version
    entries: Entries
    previous: Entries  # values before the change; None: no entry
    size: int  # bytes of both


class History:
    """Owns the entries. `entries` is read-only for callers and replaced as a whole with each version."""

    def __init__(
        self, version: Version, entries: Entries, max_changes: int = 1000, max_bytes: int = 4 * 1024 * 1024
    ) -> None:
        self.version, self.entries = version, dict(entries)
        self.max_changes, self.max_bytes = max_changes, max_bytes
        self.changes: deque[Change] = deque()
        self.changes_bytes = 0  # bytes of the retained changes
        self.change_count = 0  # changes since this process started
        # By retained version: the number of the change that led to it.
        self.change_numbers: dict[Version, int] = {version: 0}
        self.marks: dict[int, str] = {version.index: version.mark}
        self.newest_changes: dict[str, int] = {}  # by scope: number of the newest retained change
        self.entries_by_scope: dict[str, Entries] = {}
        for key, value in self.entries.items():
            self.entries_by_scope.setdefault(key.scope, {})[key] = value
        self.entries_bytes = sum(row_size(key, value) for key, value in self.entries.items())
        self.ahead: Version | None = None  # highest version that a watcher holds and this history never had
        self.restored_index = 0  # unknown versions below this index were superseded by `restore`

    # --- new versions ---

    def push(self, entries: Entries) -> Version:
        """Publishes the changes as the next version and returns it, or the current version if nothing
        changes. Raises SourceBehind or ValueError, leaving everything unchanged."""
        if self.ahead is not None:
            raise SourceBehind(
                f"version {self.ahead.index} is about, which this source never made (its own: "
                f"{self.version.index}): restored from an older backup, or not the only one; restore first"
            )
        changes = {}
        for key, value in entries.items():
            if value is None:
                if key in self.entries:
                    changes[key] = None
                continue
            check_json_value(key, value)
            if key not in self.entries or not json_equal(self.entries[key], value):
                changes[key] = value
        if not changes:
            return self.version
        index = self.version.index + 1
        return self.advance(Version(index, next_mark(self.version.mark, index, changes)), changes)

    def restore(self) -> Version:
        """Publishes the current content with an index above all versions seen, so that every watcher accepts
        it."""
        index = max(self.version.index, self.ahead.index if self.ahead else 0) + 1
        self.ahead, self.restored_index = None, index
        return self.advance(Version(index, next_mark(self.version.mark, index, {})), {})

    def replace(self, version: Version, entries: Entries) -> None:
        """Replaces all entries with those of a version published elsewhere. Raises ValueError if it is not
        newer."""
        if version == self.version:
            return
        if version.index <= self.version.index:
            raise ValueError(f"version {version.index} does not follow {self.version.index}")
        self.advance(version, difference(self.entries, entries))

    def advance(self, version: Version, changes: Entries) -> Version:
        previous = {key: self.entries.get(key) for key in changes}
        added_bytes = sum(row_size(key, value) for key, value in changes.items() if value is not None)
        removed_bytes = sum(row_size(key, value) for key, value in previous.items() if value is not None)
        if self.entries_bytes + added_bytes - removed_bytes > MAX_ENTRIES_BYTES:
            raise EntriesTooLarge(f"all entries together would be over {MAX_ENTRIES_BYTES} bytes")
        self.entries_bytes += added_bytes - removed_bytes
        self.entries = apply_changes(self.entries, changes)
        for key, value in changes.items():
            self.update_scope(key, value)
        self.change_count += 1
        size = added_bytes + removed_bytes + 64 * (1 + len(changes))
        self.changes.append(Change(self.change_count, version, changes, previous, size))
        self.changes_bytes += size
        self.version = version
        self.change_numbers[version], self.marks[version.index] = self.change_count, version.mark
        self.newest_changes.update((key.scope, self.change_count) for key in changes)
        while self.changes and (len(self.changes) > self.max_changes or self.changes_bytes > self.max_bytes):
            self.drop_oldest_change()
        if self.ahead is not None and (self.ahead.index < version.index or self.ahead == version):
            self.ahead = None
        return version

    def update_scope(self, key: Key, value: Any) -> None:
        scope_entries = self.entries_by_scope.setdefault(key.scope, {})
        if value is None:
            scope_entries.pop(key, None)
        else:
            scope_entries[key] = value
        if not scope_entries:
            del self.entries_by_scope[key.scope]

    def drop_oldest_change(self) -> None:
        """Folds the oldest change into the base of the history."""
        base = next(iter(self.change_numbers))
        del self.change_numbers[base], self.marks[base.index]
        oldest = self.changes.popleft()
        self.changes_bytes -= oldest.size
        for scope in {key.scope for key in oldest.entries}:
            if self.newest_changes[scope] == oldest.number:
                del self.newest_changes[scope]

    # --- watches ---

    def knows(self, version: Version) -> bool:
        return version in self.change_numbers

    def entries_at(self, version: Version) -> Entries | None:
        """All entries of a retained version, for a rollback: `push(difference(history.entries,
        old_entries))`."""
        number = self.change_numbers.get(version)
        if number is None:
            return None
        entries = self.entries
        for change in reversed(self.changes):
            if change.number <= number:
                break
            entries = apply_changes(entries, change.previous)
        return dict(entries)

    def observe_version(self, version: Version) -> None:
        """Notes that a watcher holds this version. One that was never published here is remembered in
        `ahead`."""
        index = version.index
        if index < self.restored_index or index > self.version.index + MAX_INDEX_LEAD or self.knows(version):
            return
        foreign = index > self.version.index or index in self.marks
        if foreign and (self.ahead is None or index > self.ahead.index):
            self.ahead = version

    def has_changes(self, since: Version, scopes: tuple[str, ...]) -> bool:
        """Whether a watch from `since` can be answered now."""
        if since == self.version:
            return False
        number = self.change_numbers.get(since)
        if number is None or since.index == 0:
            return True
        return not scopes or any(self.newest_changes.get(scope, 0) > number for scope in scopes)

    def reply(self, since: Version, scopes: tuple[str, ...], spread_ms: int = 0) -> Reply:
        """The changes since then, with only the last value of each key, or a snapshot if `since` is unknown.
        Without scopes: all entries."""
        self.observe_version(since)
        number = self.change_numbers.get(since)
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
        return {key: value for scope in scopes for key, value in self.entries_by_scope.get(scope, {}).items()}


def apply_changes(entries: Entries, changes: Entries) -> Entries:
    result = {**entries, **changes}
    for key, value in changes.items():
        if value is None:
            result.pop(key, None)
    return result
