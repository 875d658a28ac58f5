"""Who waits for which scopes at this relay, who is woken by a version, and what each says is in force. Pure.

`Fanout.step(now, notes) -> orders` stands around a `History`, which its owner changes, and tells by `Had`. A
reply is encoded once for all that get the same entries: a sidecar's scopes name the sidecar itself and are
nobody else's, so the key is those of its scopes that have something to say. Every table is bounded.

Times are whole microseconds."""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from lupinmill.config.history import History
from lupinmill.config.model import Log, Reply, Status, Version, WakeMe

MOST_CACHED = 512  # encoded replies
ALL = ""  # in tables by scope: of one that watches all scopes
PATIENCE = 2_000_000  # for which one that is ahead of this relay waits for it to catch up
MOST_PENDING = 64  # versions whose coming into force is awaited of one watcher
MOST_TIMES = 4_096  # versions whose time here is remembered
AWAY_AFTER = 3  # waits without a word
LEAST_AWAY = 5_000_000  # microseconds
FORGOTTEN = 3_600_000_000  # microseconds after its last word
MOST_WHY = 200  # characters
# Upper edges of the time in force's classes: a tenth apart, from a millisecond to half an hour.
EDGES = tuple(round(1_000 * 1.1**at) for at in range(152))


@dataclass(slots=True)
class Asked:
    """A watch has come."""

    token: int
    scopes: tuple[str, ...]
    since: Version
    until: int  # when it is answered whatever there is
    status: Status


@dataclass(slots=True)
class Gone:
    """The watch's caller has left."""

    token: int


@dataclass(slots=True)
class Had:
    """The history has this version now; `scopes` are those of what changed."""

    version: Version
    scopes: frozenset[str]


@dataclass(slots=True)
class Woke:
    pass


Note = Asked | Gone | Had | Woke


@dataclass(slots=True)
class Say:
    token: int
    data: bytes


@dataclass(slots=True)
class Away:
    """There is no room for this watch."""

    token: int


Order = Say | Away | WakeMe | Log


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


@dataclass(slots=True)
class Waiting:
    name: str
    scopes: tuple[str, ...]
    since: Version


CacheKey = tuple[tuple[str, ...] | None, Version | None, Version]


def leave(table: dict[str, set[Any]], scope: str, one: Any) -> None:
    if (there := table.get(scope)) is not None:
        there.discard(one)
        if not there:
            del table[scope]


class Fanout:
    def __init__(
        self,
        history: History,
        encode: Callable[[Reply], bytes],
        now: int,
        most: int = 1_000,
        spread_ms: int = 0,
        cached_bytes: int = 16 * 2**20,
    ) -> None:
        self.history, self.encode, self.most, self.spread_ms = history, encode, most, spread_ms
        self.waiting: dict[int, Waiting] = {}
        self.by_scope: dict[str, set[int]] = {}  # tokens
        self.strangers: set[int] = set()  # tokens of those who hold a version that is not known here
        self.untils: list[tuple[int, int]] = []  # heap of ends and tokens; those answered meanwhile stay in it
        self.rows: OrderedDict[str, Row] = OrderedDict()  # the one heard longest ago first
        self.rows_by_scope: dict[str, set[str]] = {}
        self.latest = dict.fromkeys(history.scopes, history.version.index)  # by scope: its newest change
        # By index: when each version came, and the scopes of what it changed.
        self.had: OrderedDict[int, tuple[int, frozenset[str]]] = OrderedDict()
        self.cache: OrderedDict[CacheKey, bytes] = OrderedDict()
        self.cached, self.cached_bytes = 0, cached_bytes
        self.encoded = 0  # replies so far, ...
        self.answered = 0  # ... and watches answered
        self.turned_away = 0
        self.times = Times()
        self.wakes: int | None = None

    # Notes.

    def step(self, now: int, notes: Iterable[Note]) -> list[Order]:
        orders: list[Order] = []
        for note in notes:
            if isinstance(note, Asked):
                self.asked(now, note, orders)
            elif isinstance(note, Gone):
                self.drop(note.token)
            elif isinstance(note, Had):
                self.have(now, note, orders)
        self.end_waits(now, orders)
        return orders

    def asked(self, now: int, note: Asked, orders: list[Order]) -> None:
        self.history.heard_of(note.since)
        self.history.heard_of(note.status.ahead)
        self.hear(now, note)
        ahead = self.ahead(note.since)
        until = min(note.until, now + PATIENCE) if ahead else note.until
        if until <= now or not ahead and self.history.news(note.since, note.scopes):
            self.say(note.token, note.scopes, note.since, orders)
            return
        if len(self.waiting) >= self.most:
            self.turned_away += 1
            orders.append(Away(note.token))
            return
        token = note.token
        self.waiting[token] = Waiting(note.status.name, note.scopes, note.since)
        for scope in note.scopes or (ALL,):
            self.by_scope.setdefault(scope, set()).add(token)
        if not self.history.knows(note.since):
            self.strangers.add(token)
        heapq.heappush(self.untils, (until, token))
        self.rows[note.status.name].waiting = token

    def ahead(self, since: Version) -> bool:
        """One that this relay could only take back, or that it has nothing for yet."""
        return since.index > self.history.version.index or not self.history.version.index

    def have(self, now: int, note: Had, orders: list[Order]) -> None:
        index = note.version.index
        self.cache.clear()  # every key names the version before
        self.cached = 0
        self.had[index] = now, note.scopes
        if len(self.had) > MOST_TIMES:
            self.had.popitem(last=False)
        concerned = set(self.strangers)
        for scope in (ALL, *note.scopes):
            concerned |= self.by_scope.get(scope, set())
            for name in self.rows_by_scope.get(scope, ()):
                row = self.rows[name]
                if row.due < index:
                    row.due = index
                    if len(row.pending) < MOST_PENDING:
                        row.pending.append(index)
        self.latest.update(dict.fromkeys(note.scopes, index))
        if len(self.latest) > 2 * len(self.history.scopes) + 1_000:  # of scopes long empty
            self.latest = {one: at for one, at in self.latest.items() if one in self.history.scopes}
        for token in sorted(concerned):
            waiting = self.waiting[token]
            if waiting.since.index <= index and self.history.news(waiting.since, waiting.scopes):
                self.drop(token)
                self.say(token, waiting.scopes, waiting.since, orders)

    def end_waits(self, now: int, orders: list[Order]) -> None:
        while self.untils and (self.untils[0][0] <= now or self.untils[0][1] not in self.waiting):
            _, token = heapq.heappop(self.untils)
            if (waiting := self.waiting.get(token)) is not None:
                self.drop(token)
                self.say(token, waiting.scopes, waiting.since, orders)
        if len(self.untils) > 2 * len(self.waiting) + 64:
            self.untils = [one for one in self.untils if one[1] in self.waiting]
            heapq.heapify(self.untils)
        if self.untils and (self.wakes is None or self.wakes <= now or self.untils[0][0] < self.wakes):
            self.wakes = self.untils[0][0]
            orders.append(WakeMe(self.wakes))

    def drop(self, token: int) -> None:
        waiting = self.waiting.pop(token, None)
        if waiting is None:
            return
        self.strangers.discard(token)
        for scope in waiting.scopes or (ALL,):
            leave(self.by_scope, scope, token)
        if (row := self.rows.get(waiting.name)) is not None and row.waiting == token:
            row.waiting = 0

    # Answers.

    def say(self, token: int, scopes: tuple[str, ...], since: Version, orders: list[Order]) -> None:
        history, ahead = self.history, self.ahead(since)
        known = since.index > 0 and history.knows(since)
        telling: tuple[str, ...] | None = None  # those that there is something of; None: all
        if ahead:
            telling, known = (), True  # it takes nothing of this, and is told the version alone
            since = history.version
        elif scopes:
            number = history.numbers[since] if known else 0
            there = history.newest if known else history.scopes
            telling = tuple(
                sorted(one for one in scopes if one in there and (not known or there[one] > number))
            )
        key = (telling, since if known else None, history.version)
        data = self.cache.get(key)
        if data is None:
            data = self.encode(self.reply(telling, since, known))
            self.encoded += 1
            self.remember(key, data)
        else:
            self.cache.move_to_end(key)
        self.answered += 1
        orders.append(Say(token, data))

    def reply(self, telling: tuple[str, ...] | None, since: Version, known: bool) -> Reply:
        history = self.history
        if telling == ():  # which a history takes for all
            return Reply(history.version, not known, {}, since if known else Version(), self.spread_ms)
        reply = history.reply(since, telling or (), self.spread_ms)
        if reply.whole:
            reply.since = Version()  # the same for all that get it
        return reply

    def remember(self, key: CacheKey, data: bytes) -> None:
        self.cache[key] = data
        self.cached += len(data)
        while len(self.cache) > MOST_CACHED or self.cached > self.cached_bytes:
            self.cached -= len(self.cache.popitem(last=False)[1])

    # What they say.

    def hear(self, now: int, note: Asked) -> None:
        status, name = note.status, note.status.name
        row = self.rows.get(name)
        if row is None:
            if len(self.rows) >= 2 * self.most:
                self.forget(next(iter(self.rows)))
            row = self.rows[name] = Row(note.scopes, status, now, 0, 0)
            self.index_row(name, row, note.scopes)
        elif row.scopes != note.scopes:
            self.index_row(name, row, note.scopes)
        row.status = Status(name, status.in_force, status.refused, status.why[:MOST_WHY])
        row.heard, row.wait = now, max(0, note.until - now)
        self.rows.move_to_end(name)
        while row.pending and row.pending[0] <= max(status.in_force.index, status.refused):
            index = row.pending.popleft()
            if index <= status.in_force.index and index > status.refused and index in self.had:
                self.times.add(now - self.had[index][0])

    def index_row(self, name: str, row: Row, scopes: tuple[str, ...]) -> None:
        for scope in row.scopes or (ALL,):
            leave(self.rows_by_scope, scope, name)
        row.scopes = scopes
        for scope in scopes or (ALL,):
            self.rows_by_scope.setdefault(scope, set()).add(name)
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
            leave(self.rows_by_scope, scope, name)

    def away(self, now: int, row: Row) -> bool:
        return not row.waiting and now - row.heard > max(LEAST_AWAY, AWAY_AFTER * row.wait)

    def show(self, now: int) -> dict[str, Any]:
        """The status of all that watch here, for operators."""
        while self.rows and now - next(iter(self.rows.values())).heard > FORGOTTEN:
            name, row = next(iter(self.rows.items()))
            if row.waiting:
                break
            self.forget(name)
        rows = []
        for name, row in self.rows.items():
            rows.append(
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
            )
        return {
            "index": self.history.version.index,
            "mark": self.history.version.mark,
            "waiting": len(self.waiting),
            "encoded": self.encoded,
            "answered": self.answered,
            "turned_away": self.turned_away,
            "in_force": self.times.show(),
            "watchers": rows,
        }
