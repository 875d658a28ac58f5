"""Who waits for which scopes at this relay, who is woken by a version, and what each says is in force. Pure.

`Fanout.step(now, notes) -> orders` stands around a `History`, which its owner changes, and tells by `Had`. A
reply is encoded once for all that get the same entries: a sidecar's scopes name the sidecar itself and are
nobody else's, so the key is those of its scopes that have something to say. Every table is bounded.

Times are whole microseconds."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from lupinmill.config.history import History
from lupinmill.config.model import Log, Reply, Status, Version, WakeMe
from lupinmill.config.watcher_table import ALL, Standing, leave

MOST_CACHED = 512  # encoded replies
PATIENCE = 2_000_000  # for which one that is ahead of this relay waits for it to catch up


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


@dataclass(slots=True)
class Waiting:
    name: str
    scopes: tuple[str, ...]
    since: Version


CacheKey = tuple[tuple[str, ...] | None, Version | None, Version]


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
        self.untils: list[
            tuple[int, int]
        ] = []  # heap of ends and tokens; those answered meanwhile stay in it
        self.cache: OrderedDict[CacheKey, bytes] = OrderedDict()
        self.cached, self.cached_bytes = 0, cached_bytes
        self.encoded = 0  # replies so far, ...
        self.answered = 0  # ... and watches answered
        self.turned_away = 0
        self.standing = Standing(history, 2 * most)
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
        self.standing.hear(now, note.status, note.scopes, max(0, note.until - now))
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
        self.standing.rows[note.status.name].waiting = token

    def ahead(self, since: Version) -> bool:
        """One that this relay could only take back, or that it has nothing for yet."""
        return since.index > self.history.version.index or not self.history.version.index

    def have(self, now: int, note: Had, orders: list[Order]) -> None:
        index = note.version.index
        self.cache.clear()  # every key names the version before
        self.cached = 0
        self.standing.have(now, index, note.scopes)
        concerned = set(self.strangers)
        for scope in (ALL, *note.scopes):
            concerned |= self.by_scope.get(scope, set())
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
        self.standing.left(waiting.name, token)

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

    def show(self, now: int) -> dict[str, Any]:
        """For operators: what is here, and the standing of all that watch it."""
        return {
            "index": self.history.version.index,
            "mark": self.history.version.mark,
            "waiting": len(self.waiting),
            "encoded": self.encoded,
            "answered": self.answered,
            "turned_away": self.turned_away,
            "in_force": self.standing.times.show(),
            "at_relays": self.standing.relay_times.show(),
            "watchers": self.standing.show(now),
        }
