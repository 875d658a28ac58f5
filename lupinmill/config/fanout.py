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
from lupinmill.config.model import LogLine, Reply, Status, Version, SetTimer
from lupinmill.config.watcher_table import ALL_SCOPES, WatcherTable, discard_from

MAX_CACHED_REPLIES = 512  # encoded replies
CATCH_UP_WAIT_US = 2_000_000  # for which one that is ahead of this relay waits for it to catch up


@dataclass(slots=True)
class WatchReceived:
    """A watch has come."""

    token: int
    scopes: tuple[str, ...]
    since: Version
    deadline: int  # when it is answered whatever there is
    status: Status


@dataclass(slots=True)
class WatchClosed:
    """The watch's caller has left."""

    token: int


@dataclass(slots=True)
class VersionAvailable:
    """The history has this version now; `scopes` are those of what changed."""

    version: Version
    scopes: frozenset[str]


@dataclass(slots=True)
class TimerFired:
    pass


FanoutEvent = WatchReceived | WatchClosed | VersionAvailable | TimerFired


@dataclass(slots=True)
class SendReply:
    token: int
    data: bytes


@dataclass(slots=True)
class RejectWatch:
    """There is no room for this watch."""

    token: int


FanoutCommand = SendReply | RejectWatch | SetTimer | LogLine


@dataclass(slots=True)
class PendingWatch:
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
        max_watches: int = 1_000,
        spread_ms: int = 0,
        max_cache_bytes: int = 16 * 2**20,
    ) -> None:
        self.history, self.encode, self.max_watches, self.spread_ms = history, encode, max_watches, spread_ms
        self.waiting: dict[int, PendingWatch] = {}
        self.by_scope: dict[str, set[int]] = {}  # tokens
        self.unknown_version: set[int] = set()  # tokens of those who hold a version that is not known here
        self.deadlines: list[
            tuple[int, int]
        ] = []  # heap of ends and tokens; those answered meanwhile stay in it
        self.cache: OrderedDict[CacheKey, bytes] = OrderedDict()
        self.cached_size, self.max_cache_bytes = 0, max_cache_bytes
        self.encoded = 0  # replies so far, ...
        self.answered = 0  # ... and watches answered
        self.turned_away = 0
        self.watchers = WatcherTable(history, 2 * max_watches)
        self.timer_at: int | None = None

    # Notes.

    def step(self, now: int, events: Iterable[FanoutEvent]) -> list[FanoutCommand]:
        commands: list[FanoutCommand] = []
        for event in events:
            if isinstance(event, WatchReceived):
                self.watch_received(now, event, commands)
            elif isinstance(event, WatchClosed):
                self.remove_watch(event.token)
            elif isinstance(event, VersionAvailable):
                self.version_available(now, event, commands)
        self.end_expired_waits(now, commands)
        return commands

    def watch_received(self, now: int, event: WatchReceived, commands: list[FanoutCommand]) -> None:
        self.history.observe_version(event.since)
        self.history.observe_version(event.status.ahead)
        self.watchers.record_status(now, event.status, event.scopes, max(0, event.deadline - now))
        ahead = self.ahead(event.since)
        deadline = min(event.deadline, now + CATCH_UP_WAIT_US) if ahead else event.deadline
        if deadline <= now or not ahead and self.history.has_changes(event.since, event.scopes):
            self.send_reply(event.token, event.scopes, event.since, commands)
            return
        if len(self.waiting) >= self.max_watches:
            self.turned_away += 1
            commands.append(RejectWatch(event.token))
            return
        token = event.token
        self.waiting[token] = PendingWatch(event.status.name, event.scopes, event.since)
        for scope in event.scopes or (ALL_SCOPES,):
            self.by_scope.setdefault(scope, set()).add(token)
        if not self.history.knows(event.since):
            self.unknown_version.add(token)
        heapq.heappush(self.deadlines, (deadline, token))
        self.watchers.rows[event.status.name].waiting_token = token

    def ahead(self, since: Version) -> bool:
        """One that this relay could only take back, or that it has nothing for yet."""
        return since.index > self.history.version.index or not self.history.version.index

    def version_available(self, now: int, event: VersionAvailable, commands: list[FanoutCommand]) -> None:
        index = event.version.index
        self.cache.clear()  # every key names the version before
        self.cached_size = 0
        self.watchers.version_available(now, index, event.scopes)
        tokens = set(self.unknown_version)
        for scope in (ALL_SCOPES, *event.scopes):
            tokens |= self.by_scope.get(scope, set())
        for token in sorted(tokens):
            waiting = self.waiting[token]
            if waiting.since.index <= index and self.history.has_changes(waiting.since, waiting.scopes):
                self.remove_watch(token)
                self.send_reply(token, waiting.scopes, waiting.since, commands)

    def end_expired_waits(self, now: int, commands: list[FanoutCommand]) -> None:
        while self.deadlines and (self.deadlines[0][0] <= now or self.deadlines[0][1] not in self.waiting):
            _, token = heapq.heappop(self.deadlines)
            if (waiting := self.waiting.get(token)) is not None:
                self.remove_watch(token)
                self.send_reply(token, waiting.scopes, waiting.since, commands)
        if len(self.deadlines) > 2 * len(self.waiting) + 64:
            self.deadlines = [one for one in self.deadlines if one[1] in self.waiting]
            heapq.heapify(self.deadlines)
        if self.deadlines and (
            self.timer_at is None or self.timer_at <= now or self.deadlines[0][0] < self.timer_at
        ):
            self.timer_at = self.deadlines[0][0]
            commands.append(SetTimer(self.timer_at))

    def remove_watch(self, token: int) -> None:
        waiting = self.waiting.pop(token, None)
        if waiting is None:
            return
        self.unknown_version.discard(token)
        for scope in waiting.scopes or (ALL_SCOPES,):
            discard_from(self.by_scope, scope, token)
        self.watchers.watch_ended(waiting.name, token)

    # Answers.

    def send_reply(
        self, token: int, scopes: tuple[str, ...], since: Version, commands: list[FanoutCommand]
    ) -> None:
        history, ahead = self.history, self.ahead(since)
        known = since.index > 0 and history.knows(since)
        told_scopes: tuple[str, ...] | None = None  # those that there is something of; None: all
        if ahead:
            told_scopes, known = (), True  # it takes nothing of this, and is told the version alone
            since = history.version
        elif scopes:
            number = history.change_numbers[since] if known else 0
            newest = history.newest_changes if known else history.entries_by_scope
            told_scopes = tuple(
                sorted(one for one in scopes if one in newest and (not known or newest[one] > number))
            )
        key = (told_scopes, since if known else None, history.version)
        data = self.cache.get(key)
        if data is None:
            data = self.encode(self.build_reply(told_scopes, since, known))
            self.encoded += 1
            self.cache_reply(key, data)
        else:
            self.cache.move_to_end(key)
        self.answered += 1
        commands.append(SendReply(token, data))

    def build_reply(self, told_scopes: tuple[str, ...] | None, since: Version, known: bool) -> Reply:
        history = self.history
        if told_scopes == ():  # which a history takes for all
            return Reply(history.version, not known, {}, since if known else Version(), self.spread_ms)
        reply = history.reply(since, told_scopes or (), self.spread_ms)
        if reply.is_snapshot:
            reply.since = Version()  # the same for all that get it
        return reply

    def cache_reply(self, key: CacheKey, data: bytes) -> None:
        self.cache[key] = data
        self.cached_size += len(data)
        while len(self.cache) > MAX_CACHED_REPLIES or self.cached_size > self.max_cache_bytes:
            self.cached_size -= len(self.cache.popitem(last=False)[1])

    def show(self, now: int) -> dict[str, Any]:
        """For operators: what is here, and the standing of all that watch it."""
        return {
            "index": self.history.version.index,
            "mark": self.history.version.mark,
            "waiting": len(self.waiting),
            "encoded": self.encoded,
            "answered": self.answered,
            "turned_away": self.turned_away,
            "in_force": self.watchers.sidecar_times.show(),
            "at_relays": self.watchers.relay_times.show(),
            "watchers": self.watchers.show(now),
        }
