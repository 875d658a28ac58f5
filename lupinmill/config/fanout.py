"""The fan-out of a relay: which watches wait for which scopes, which of them a version wakes, and which
version each watcher has in force. Pure.

`Fanout.step(now, events) -> commands` works on a `History` that its owner changes and announces with
`VersionAvailable`. A reply is encoded once for all watches that get the same entries. The cache key consists
only of those watched scopes that have changes, as the scopes of each sidecar include its own, which no other
shares. Every table is bounded.

Times are integer microseconds.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from lupinmill.config.history import History
from lupinmill.config.model import LogLine, Reply, SetTimer, Status, Version
from lupinmill.config.watcher_table import ALL_SCOPES, WatcherTable, discard_from

MAX_CACHED_REPLIES = 512
# how long a watch from a version newer than this relay's waits for the relay to catch up
CATCH_UP_WAIT_US = 2_000_000


@dataclass(slots=True)
class WatchReceived:
    """A watch arrived."""

    token: int
    scopes: tuple[str, ...]
    since: Version
    deadline: int  # when it is answered even without changes
    status: Status


@dataclass(slots=True)
class WatchClosed:
    """The client of the watch disconnected."""

    token: int


@dataclass(slots=True)
class VersionAvailable:
    """The history now has this version, which changed entries in `scopes`."""

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
    """The watch is rejected because the relay is at capacity."""

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
        self.unknown_version: set[int] = set()  # tokens of watches from a version unknown here
        # Heap of (deadline, token); answered watches stay in it until they expire.
        self.deadlines: list[tuple[int, int]] = []
        self.cache: OrderedDict[CacheKey, bytes] = OrderedDict()
        self.cached_size, self.max_cache_bytes = 0, max_cache_bytes
        self.encoded = 0  # replies encoded
        self.answered = 0  # watches answered
        self.turned_away = 0
        self.watchers = WatcherTable(history, 2 * max_watches)
        self.timer_at: int | None = None

    # --- events ---

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
        """Whether `since` is newer than the relay's version, or the relay has no version yet."""
        return since.index > self.history.version.index or not self.history.version.index

    def version_available(self, now: int, event: VersionAvailable, commands: list[FanoutCommand]) -> None:
        index = event.version.index
        self.cache.clear()  # every key names the previous version
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

    # --- replies ---

    def send_reply(
        self, token: int, scopes: tuple[str, ...], since: Version, commands: list[FanoutCommand]
    ) -> None:
        history, ahead = self.history, self.ahead(since)
        known = since.index > 0 and history.knows(since)
        told_scopes: tuple[str, ...] | None = None  # scopes with changes; None: all
        if ahead:
            told_scopes, known = (), True  # the watcher is newer, so it gets the version without entries
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
        if told_scopes == ():  # `History.reply` treats an empty tuple as all scopes
            return Reply(history.version, not known, {}, since if known else Version(), self.spread_ms)
        reply = history.reply(since, told_scopes or (), self.spread_ms)
        if reply.is_snapshot:
            reply.since = Version()  # so that all watches share one encoded reply
        return reply

    def cache_reply(self, key: CacheKey, data: bytes) -> None:
        self.cache[key] = data
        self.cached_size += len(data)
        while len(self.cache) > MAX_CACHED_REPLIES or self.cached_size > self.max_cache_bytes:
            self.cached_size -= len(self.cache.popitem(last=False)[1])

    def show(self, now: int) -> dict[str, Any]:
        """Status for operators: the current version and the state of every watcher."""
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
