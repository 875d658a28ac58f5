"""Table of watchers: which version each has in force, which lag or reject a version and why, and how long
versions take to come into force. Pure; every table is bounded. Times are integer microseconds."""

from __future__ import annotations

from bisect import bisect_left
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

from lupinmill.config.history import History
from lupinmill.config.model import Status

ALL_SCOPES = ""  # key in scope tables for watchers of all scopes
MAX_PENDING = 64  # versions per watcher that are not in force there yet
MAX_VERSIONS = 4_096  # versions whose arrival time is retained
AWAY_AFTER_WAITS = 3  # missed waits
MIN_AWAY_US = 5_000_000
FORGET_AFTER_US = 3_600_000_000  # after its last status
MAX_REASON_CHARS = 200
# Upper bucket bounds: steps of 10 % from 1 ms to about half an hour.
BUCKET_EDGES_US = tuple(round(1_000 * 1.1**step) for step in range(152))


class LatencyHistogram:
    """Histogram of the time until versions are in force, in microseconds; the maximum is exact."""

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}
        self.count, self.longest = 0, 0

    def add(self, duration: int) -> None:
        bucket = min(len(BUCKET_EDGES_US) - 1, bisect_left(BUCKET_EDGES_US, duration))
        self.counts[bucket] = self.counts.get(bucket, 0) + 1
        self.count += 1
        self.longest = max(self.longest, duration)

    def merge(self, counts: dict[int, int], longest: int) -> None:
        for bucket, count in counts.items():
            self.counts[bucket] = self.counts.get(bucket, 0) + count
            self.count += count
        self.longest = max(self.longest, longest)

    def quantile(self, share: float) -> int | None:
        """Upper estimate of the quantile, at most 10 % too high; None if the histogram is empty."""
        remaining = share * self.count
        for bucket in sorted(self.counts):
            remaining -= self.counts[bucket]
            if remaining <= 0:
                return min(BUCKET_EDGES_US[bucket], self.longest)
        return None

    def show(self) -> dict[str, Any]:
        def ms(us: int | None) -> float | None:
            return None if us is None else round(us / 1000, 1)

        return {
            "count": self.count,
            "p50_ms": ms(self.quantile(0.5)),
            "p99_ms": ms(self.quantile(0.99)),
            "last_ms": ms(self.longest if self.count else None),
            "classes": {str(bucket): count for bucket, count in sorted(self.counts.items())},
        }


@dataclass(slots=True)
class WatcherRow:
    """The last reported state of one watcher, by name."""

    scopes: tuple[str, ...]
    status: Status
    last_heard: int
    wait: int
    due: int  # index of the newest version that affects it
    pending: deque[int] = field(default_factory=deque)  # versions that affect it and are not in force there
    waiting_token: int = 0  # token of its waiting watch; 0: none


def discard_from(table: dict[str, set[Any]], scope: str, item: Any) -> None:
    if (items := table.get(scope)) is not None:
        items.discard(item)
        if not items:
            del table[scope]


class WatcherTable:
    def __init__(self, history: History, max_watchers: int) -> None:
        self.history, self.max_watchers = history, max_watchers
        self.rows: OrderedDict[str, WatcherRow] = OrderedDict()  # least recently heard first
        self.by_scope: dict[str, set[str]] = {}  # names
        self.newest_index = dict.fromkeys(history.entries_by_scope, history.version.index)
        # By index: arrival time and changed scopes of each version.
        self.versions: OrderedDict[int, tuple[int, frozenset[str]]] = OrderedDict()
        self.sidecar_times = LatencyHistogram()  # until sidecars report a version in force
        self.relay_times = LatencyHistogram()  # until relays report having it

    def version_available(self, now: int, index: int, scopes: frozenset[str]) -> None:
        """Records that the history now has this version."""
        self.versions[index] = now, scopes
        if len(self.versions) > MAX_VERSIONS:
            self.versions.popitem(last=False)
        for scope in (ALL_SCOPES, *scopes):
            for name in self.by_scope.get(scope, ()):
                row = self.rows[name]
                if row.due < index:
                    row.due = index
                    if len(row.pending) < MAX_PENDING:
                        row.pending.append(index)
        self.newest_index.update(dict.fromkeys(scopes, index))
        # drops scopes that have been empty for long
        if len(self.newest_index) > 2 * len(self.history.entries_by_scope) + 1_000:
            self.newest_index = {
                scope: index
                for scope, index in self.newest_index.items()
                if scope in self.history.entries_by_scope
            }

    def record_status(self, now: int, status: Status, scopes: tuple[str, ...], wait: int) -> None:
        """`wait` is how long the watcher's call may be held before the next status is due."""
        name = status.name
        row = self.rows.get(name)
        if row is None:
            if len(self.rows) >= self.max_watchers:
                self.remove(next(iter(self.rows)))
            row = self.rows[name] = WatcherRow(scopes, status, now, 0, 0)
            self.index_watcher(name, row, scopes)
        elif row.scopes != scopes:
            self.index_watcher(name, row, scopes)
        row.status = Status(name, status.in_force, status.refused, status.why[:MAX_REASON_CHARS])
        row.last_heard, row.wait = now, wait
        self.rows.move_to_end(name)
        while row.pending and row.pending[0] <= max(status.in_force.index, status.refused):
            index = row.pending.popleft()
            if index <= status.in_force.index and index > status.refused and index in self.versions:
                (self.sidecar_times if scopes else self.relay_times).add(now - self.versions[index][0])

    def index_watcher(self, name: str, row: WatcherRow, scopes: tuple[str, ...]) -> None:
        for scope in row.scopes or (ALL_SCOPES,):
            discard_from(self.by_scope, scope, name)
        row.scopes = scopes
        for scope in scopes or (ALL_SCOPES,):
            self.by_scope.setdefault(scope, set()).add(name)
        row.due = max((self.newest_index.get(item, 0) for item in scopes), default=0)
        if not scopes:
            row.due = self.history.version.index
        row.pending = deque()
        held = row.status.in_force.index
        if held:  # it may have moved here from another relay: versions it missed meanwhile count too
            for index, (_, changed) in reversed(self.versions.items()):
                if index <= held or len(row.pending) >= MAX_PENDING:
                    break
                if not scopes or not changed.isdisjoint(scopes):
                    row.pending.appendleft(index)

    def remove(self, name: str) -> None:
        row = self.rows.pop(name)
        for scope in row.scopes or (ALL_SCOPES,):
            discard_from(self.by_scope, scope, name)

    def is_away(self, now: int, row: WatcherRow) -> bool:
        return not row.waiting_token and now - row.last_heard > max(MIN_AWAY_US, AWAY_AFTER_WAITS * row.wait)

    def watch_ended(self, name: str, token: int) -> None:
        """The watch no longer waits."""
        if (row := self.rows.get(name)) is not None and row.waiting_token == token:
            row.waiting_token = 0

    def show(self, now: int) -> list[dict[str, Any]]:
        while self.rows and now - next(iter(self.rows.values())).last_heard > FORGET_AFTER_US:
            name, row = next(iter(self.rows.items()))
            if row.waiting_token:
                break
            self.remove(name)
        return [
            {
                "name": name,
                "relay": not row.scopes,
                "index": row.status.in_force.index,
                "due": row.due,
                "refused": row.status.refused,
                "why": row.status.why,
                "heard_s": round((now - row.last_heard) / 1_000_000, 1),
                "away": self.is_away(now, row),
            }
            for name, row in self.rows.items()
        ]
