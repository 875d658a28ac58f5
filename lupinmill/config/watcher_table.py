"""What those who watch say of themselves: which version is in force where, who lags, who refuses and why, and
how long versions took. Pure; every table is bounded. Times are whole microseconds."""

from __future__ import annotations

from bisect import bisect_left
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

from lupinmill.config.history import History
from lupinmill.config.model import Status

ALL = ""  # in tables by scope: of one that watches all scopes
MOST_PENDING = 64  # versions whose coming into force is awaited of one watcher
MOST_TIMES = 4_096  # versions whose time here is remembered
AWAY_AFTER = 3  # waits without a word
LEAST_AWAY = 5_000_000
FORGOTTEN = 3_600_000_000  # after its last word
MOST_WHY = 200  # characters
# Upper edges of the time in force's classes: a tenth apart, from a millisecond to half an hour.
EDGES = tuple(round(1_000 * 1.1**at) for at in range(152))


class Times:
    """How long versions took to be in force: counts by class, the longest exact. Microseconds."""

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}
        self.count, self.longest = 0, 0

    def add(self, took: int) -> None:
        at = min(len(EDGES) - 1, bisect_left(EDGES, took))
        self.counts[at] = self.counts.get(at, 0) + 1
        self.count += 1
        self.longest = max(self.longest, took)

    def merge(self, counts: dict[int, int], longest: int) -> None:
        for at, count in counts.items():
            self.counts[at] = self.counts.get(at, 0) + count
            self.count += count
        self.longest = max(self.longest, longest)

    def part(self, share: float) -> int | None:
        """By which this share of them was in force, a tenth too late at most; None where there are none."""
        left = share * self.count
        for at in sorted(self.counts):
            left -= self.counts[at]
            if left <= 0:
                return min(EDGES[at], self.longest)
        return None

    def show(self) -> dict[str, Any]:
        def ms(micros: int | None) -> float | None:
            return None if micros is None else round(micros / 1000, 1)

        return {
            "count": self.count,
            "p50_ms": ms(self.part(0.5)),
            "p99_ms": ms(self.part(0.99)),
            "last_ms": ms(self.longest if self.count else None),
            "classes": {str(at): count for at, count in sorted(self.counts.items())},
        }


@dataclass(slots=True)
class Row:
    """What one that watches, by its name, has said."""

    scopes: tuple[str, ...]
    status: Status
    heard: int
    wait: int
    due: int  # index of the newest version that concerns it
    pending: deque[int] = field(default_factory=deque)  # those that concern it and are not in force there
    waiting: int = 0  # the token of its watch, while it waits


def leave(table: dict[str, set[Any]], scope: str, one: Any) -> None:
    if (there := table.get(scope)) is not None:
        there.discard(one)
        if not there:
            del table[scope]


class Standing:
    def __init__(self, history: History, most: int) -> None:
        self.history, self.most = history, most
        self.rows: OrderedDict[str, Row] = OrderedDict()  # the one heard longest ago first
        self.by_scope: dict[str, set[str]] = {}  # names
        self.latest = dict.fromkeys(history.scopes, history.version.index)  # by scope: its newest change
        # By index: when each version came, and the scopes of what it changed.
        self.had: OrderedDict[int, tuple[int, frozenset[str]]] = OrderedDict()
        self.times = Times()  # until sidecars told that a version is in force, ...
        self.relay_times = Times()  # ... and until relays told that they have it

    def have(self, now: int, index: int, scopes: frozenset[str]) -> None:
        """The history has this version now."""
        self.had[index] = now, scopes
        if len(self.had) > MOST_TIMES:
            self.had.popitem(last=False)
        for scope in (ALL, *scopes):
            for name in self.by_scope.get(scope, ()):
                row = self.rows[name]
                if row.due < index:
                    row.due = index
                    if len(row.pending) < MOST_PENDING:
                        row.pending.append(index)
        self.latest.update(dict.fromkeys(scopes, index))
        if len(self.latest) > 2 * len(self.history.scopes) + 1_000:  # of scopes long empty
            self.latest = {one: at for one, at in self.latest.items() if one in self.history.scopes}

    def hear(self, now: int, status: Status, scopes: tuple[str, ...], wait: int) -> None:
        """It may hold the watch for `wait` before it says more."""
        name = status.name
        row = self.rows.get(name)
        if row is None:
            if len(self.rows) >= self.most:
                self.forget(next(iter(self.rows)))
            row = self.rows[name] = Row(scopes, status, now, 0, 0)
            self.index_row(name, row, scopes)
        elif row.scopes != scopes:
            self.index_row(name, row, scopes)
        row.status = Status(name, status.in_force, status.refused, status.why[:MOST_WHY])
        row.heard, row.wait = now, wait
        self.rows.move_to_end(name)
        while row.pending and row.pending[0] <= max(status.in_force.index, status.refused):
            index = row.pending.popleft()
            if index <= status.in_force.index and index > status.refused and index in self.had:
                (self.times if scopes else self.relay_times).add(now - self.had[index][0])

    def index_row(self, name: str, row: Row, scopes: tuple[str, ...]) -> None:
        for scope in row.scopes or (ALL,):
            leave(self.by_scope, scope, name)
        row.scopes = scopes
        for scope in scopes or (ALL,):
            self.by_scope.setdefault(scope, set()).add(name)
        row.due = max((self.latest.get(one, 0) for one in scopes), default=0)
        if not scopes:
            row.due = self.history.version.index
        row.pending = deque()
        held = row.status.in_force.index
        if held:  # it may come from another relay: what it missed on its way counts as well
            for index, (_, changed) in reversed(self.had.items()):
                if index <= held or len(row.pending) >= MOST_PENDING:
                    break
                if not scopes or not changed.isdisjoint(scopes):
                    row.pending.appendleft(index)

    def forget(self, name: str) -> None:
        row = self.rows.pop(name)
        for scope in row.scopes or (ALL,):
            leave(self.by_scope, scope, name)

    def away(self, now: int, row: Row) -> bool:
        return not row.waiting and now - row.heard > max(LEAST_AWAY, AWAY_AFTER * row.wait)

    def left(self, name: str, token: int) -> None:
        """That watch waits no more."""
        if (row := self.rows.get(name)) is not None and row.waiting == token:
            row.waiting = 0

    def show(self, now: int) -> list[dict[str, Any]]:
        while self.rows and now - next(iter(self.rows.values())).heard > FORGOTTEN:
            name, row = next(iter(self.rows.items()))
            if row.waiting:
                break
            self.forget(name)
        return [
            {
                "name": name,
                "relay": not row.scopes,
                "index": row.status.in_force.index,
                "due": row.due,
                "refused": row.status.refused,
                "why": row.status.why,
                "heard_s": round((now - row.heard) / 1_000_000, 1),
                "away": self.away(now, row),
            }
            for name, row in self.rows.items()
        ]
