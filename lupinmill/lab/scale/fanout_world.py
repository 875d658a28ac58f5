"""A source, its relays and a fleet of hollow sidecars in virtual time: the very cores that serve (`History`,
`Fanout`, `Follower`) and the very bytes on the wire, on one heap of events, from a told seed.

Stand-ins are the network (a told time each way, nothing lost), the relays' one core (each call and reply
takes its told time, in turn) and the process that puts a version in force (a told time). A sidecar in so
many does all of a real one's work on each call, h11 and JSON included, for the processor time; the others
share what is read of one answer. Times are whole microseconds."""

from __future__ import annotations

import heapq
import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from lupinmill.config import fanout, wire
from lupinmill.config.fanout import (
    Fanout,
    RejectWatch,
    SendReply,
    VersionAvailable,
    WatchClosed,
    WatchReceived,
)
from lupinmill.config.follower import Follower
from lupinmill.config.history import History
from lupinmill.config.model import (
    ApplyVersion,
    Entries,
    FollowerEvent,
    Reply,
    ReplyReceived,
    SendWatch,
    SetTimer,
    Status,
    TimerFired,
    Version,
    VersionApplied,
    WatchFailed,
)
from lupinmill.config.relay import UPSTREAM_SPREAD_US, UPSTREAM_WAIT_US, Relay, UpstreamFollower
from lupinmill.lab.scale.fanout_shape import SECOND, Costs, Shape, change, scopes_of, state
from lupinmill.protocol.http import Answer, ClientSide

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
MOST_READ = 4096  # answers whose reading is shared
SAMPLED = 50  # one sidecar in so many does all of its work itself


@dataclass(slots=True)
class Count:
    """Calls that came to one role, and what went each way with them."""

    calls: list[int] = field(default_factory=list)  # when
    refused: int = 0  # that found no process there
    bytes_in: int = 0
    bytes_out: int = 0
    wholes: int = 0
    turned_away: int = 0
    cpu: float = 0.0  # seconds of this process's, in the core


class Watching:
    """Drives one `Follower`: its calls, one at a time, and what it is offered."""

    def __init__(
        self, world: World, follower: Follower, scopes: tuple[str, ...], zone: int, whole: bool
    ) -> None:
        self.world, self.follower, self.scopes, self.zone, self.whole = world, follower, scopes, zone, whole
        self.token, self.wakes, self.cpu = 0, -1, 0.0
        self.bytes_in = self.bytes_out = self.calls = 0
        self.side: ClientSide | None = None
        self.on = True

    def tell(self, *notes: FollowerEvent) -> None:
        if not self.on:
            return
        world, began = self.world, time.process_time()
        orders = self.follower.step(world.now, notes)
        self.cpu += time.process_time() - began
        for order in orders:
            if isinstance(order, SendWatch):
                self.ask(order)
            elif isinstance(order, ApplyVersion):
                self.apply(order)
            elif isinstance(order, SetTimer) and order.at != self.wakes:
                self.wakes = order.at
                world.at(max(order.at, world.now + 1), self.wake, order.at)

    def wake(self, at: int) -> None:
        if at == self.wakes:
            self.wakes = -1
            self.tell(TimerFired())

    def ask(self, order: SendWatch) -> None:
        world = self.world
        if self.token:
            world.give_up(self.token)
        self.token, self.calls = world.next_token(), self.calls + 1
        began = time.process_time()
        status = self.follower.status()
        request = wire.encode_watch(order.since, order.wait_us // 1000, self.scopes, status)
        if self.whole:
            self.side = ClientSide(wire.MAX_REPLY_BYTES, wire.MAX_REPLY_BYTES)
            size = len(self.side.ask(request))
            self.cpu += time.process_time() - began
        else:
            size = len(b"GET  HTTP/1.1\r\nHost: config\r\n\r\n") + len(request.target)
        self.bytes_out += size
        world.call(self, order, status, size)

    def answered(self, token: int, at: str, data: bytes) -> None:
        self.world.calls_out.pop(token, None)
        if token != self.token:
            return
        self.token = 0
        head = HEAD % len(data)
        self.bytes_in += len(head) + len(data)
        began = time.process_time()
        if self.whole:
            self.side.feed(head + data)
            reply = wire.decode_reply(self.side.next_answer())
            self.cpu += time.process_time() - began
        else:
            reply = self.world.read(data)
        self.tell(ReplyReceived(at, reply))

    def failed(self, token: int, at: str, why: str) -> None:
        self.world.calls_out.pop(token, None)
        if token == self.token:
            self.token = 0
            self.tell(WatchFailed(at, why))

    def apply(self, order: ApplyVersion) -> None:
        self.world.at(self.world.now + self.world.costs.force, self.took, order.version)

    def took(self, version: Version) -> None:
        self.world.in_force(self, version)
        self.tell(VersionApplied(version))


class Place:
    """A source or relay: its history and fan-out, and one core that does one thing after the other."""

    def __init__(self, world: World, name: str, zone: int, version: Version, entries: Entries) -> None:
        self.world, self.name, self.zone, self.up = world, name, zone, True
        self.count, self.free, self.wakes = Count(), 0, -1
        self.store = self
        self.out: dict[int, tuple[Watching, str]] = {}
        self.begin(version, entries)

    def begin(self, version: Version, entries: Entries) -> None:
        shape = self.world.shape
        self.history = History(version, entries)
        self.fanout = Fanout(
            self.history, wire.encode_reply, self.world.now, shape.most_watchers, shape.spread_ms
        )

    def work(self, cost: int) -> int:
        self.free = max(self.world.now, self.free) + cost
        return self.free

    def arrive(self, token: int, caller: Watching, order: SendWatch, status: Status, size: int) -> None:
        way = self.world.shape.way(self.zone, caller.zone)
        if not self.up:
            self.count.refused += 1
            self.world.at(self.world.now + way, caller.failed, token, self.name, "refused")
            return
        self.count.calls.append(self.world.now)
        self.count.bytes_in += size
        self.out[token] = caller, self.name
        note = WatchReceived(token, caller.scopes, order.since, 0, status)
        self.world.at(self.work(self.world.costs.call), self.asked, note, order.wait_us)

    def asked(self, note: WatchReceived, wait: int) -> None:
        if note.token in self.out:
            note.deadline = self.world.now + wait
            self.step(note)

    def gone(self, token: int) -> None:
        if self.out.pop(token, None) is not None:
            self.step(WatchClosed(token))

    def step(self, *notes: fanout.FanoutEvent) -> None:
        began = time.process_time()
        orders = self.fanout.step(self.world.now, notes)
        self.count.cpu += time.process_time() - began
        for order in orders:
            if isinstance(order, SendReply):
                self.say(order)
            elif isinstance(order, RejectWatch):
                self.count.turned_away += 1
                caller, name = self.out.pop(order.token)
                way = self.world.shape.way(self.zone, caller.zone)
                self.world.at(
                    self.work(self.world.costs.reply) + way, caller.failed, order.token, name, "503"
                )
            elif isinstance(order, SetTimer) and order.at != self.wakes:
                self.wakes = order.at
                self.world.at(max(order.at, self.world.now + 1), self.wake, order.at)

    def wake(self, at: int) -> None:
        if at == self.wakes and self.up:
            self.wakes = -1
            self.step(fanout.TimerFired())

    def say(self, order: SendReply) -> None:
        caller, name = self.out.pop(order.token)
        self.count.bytes_out += len(order.data) + len(HEAD % len(order.data))
        self.count.wholes += b'"snapshot":true' in order.data[:200]
        at = self.work(self.world.costs.reply) + self.world.shape.way(self.zone, caller.zone)
        self.world.at(at, caller.answered, order.token, name, order.data)

    def announce(self, version: Version, scopes: frozenset[str]) -> None:
        self.step(VersionAvailable(version, scopes))

    def schedule_save(self, version: Version, entries: Entries) -> None:
        """The relay's disk, which takes it by a thread beside the core."""

    def go_down(self) -> None:
        """Its process ends, and with it all connections."""
        self.up = False
        for token, (caller, name) in self.out.items():
            self.world.at(
                self.world.now + self.world.shape.way(self.zone, caller.zone),
                caller.failed,
                token,
                name,
                "reset",
            )
        self.out.clear()
        self.free, self.wakes = 0, -1

    def come_up(self, kept: bool = True) -> None:
        """A new process, which begins with what was kept."""
        self.up = True
        self.begin(*(self.history.version, self.history.entries) if kept else (Version(), {}))


class RelayPlace(Place):
    def __init__(self, world: World, at: int, zone: int, version: Version, entries: Entries) -> None:
        self.at, self.lives = at, 0
        super().__init__(world, f"relay-{at}", zone, version, entries)

    def begin(self, version: Version, entries: Entries) -> None:
        super().begin(version, entries)
        self.lives += 1
        seed = self.at * 1_000 + self.lives
        follower = UpstreamFollower(
            self.name, ("source",), seed, UPSTREAM_WAIT_US, UPSTREAM_SPREAD_US, version, entries
        )
        follower.history = self.history
        self.watch = RelayWatch(self.world, follower, (), self.zone, False)
        self.watch.place = self

    def go_down(self) -> None:
        super().go_down()
        self.watch.on = False
        if self.watch.token:
            self.world.give_up(self.watch.token)

    def come_up(self, kept: bool = True) -> None:
        super().come_up(kept)
        self.watch.tell(TimerFired())


class RelayWatch(Watching):
    place: RelayPlace

    def apply(self, order: ApplyVersion) -> None:
        self.world.at(self.place.work(self.world.costs.replace), self.take, order)

    def take(self, order: ApplyVersion) -> None:
        if not self.on:
            return
        count, began = self.place.count, time.process_time()
        before = count.cpu
        why = Relay.apply_version(self.place, order.version, order.entries)  # type: ignore[arg-type]
        count.cpu = before + time.process_time() - began  # in which the steps that it led to lie
        assert why is None, why
        self.tell(VersionApplied(order.version))


class World:
    def __init__(self, shape: Shape, seed: int, costs: Costs) -> None:
        self.shape, self.costs, self.chance = shape, costs, random.Random(f"fan-out {seed}")
        self.now, self.serial, self.tokens = SECOND, 0, 0
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.reads: OrderedDict[bytes, Reply] = OrderedDict()
        self.calls_out: dict[int, Place] = {}
        first = History(Version(), {})
        first.push(state(shape, self.chance))
        version, entries = first.version, first.entries
        self.source = Place(self, "source", 0, version, entries)
        self.relays = [RelayPlace(self, at, at % shape.zones, version, entries) for at in range(shape.relays)]
        self.places: dict[str, Place] = {place.name: place for place in (self.source, *self.relays)}
        there = range(shape.sidecars)
        if shape.watching:
            there = self.chance.sample(there, shape.watching)
        self.sidecars = [self.sidecar(at, version, first) for at in there]
        self.by_scope: dict[str, list[Watching]] = {}
        for sidecar in self.sidecars:
            for scope in sidecar.scopes:
                self.by_scope.setdefault(scope, []).append(sidecar)
        self.pending: dict[Watching, deque[tuple[int, int]]] = {one: deque() for one in self.sidecars}
        self.took: list[
            int
        ] = []  # microseconds from pushed to in force, for each sidecar that a change concerns
        self.pushed = 0
        for place in self.relays:
            place.watch.tell(TimerFired())
        for sidecar in self.sidecars:  # a fleet that has long run: watches began at any time
            self.at(self.now + self.chance.randrange(shape.wait), sidecar.tell, TimerFired())

    def sidecar(self, at: int, version: Version, first: History) -> Watching:
        shape, zone, scopes = self.shape, at % self.shape.zones, scopes_of(self.shape, at)
        follower = Follower(
            f"m{at}", self.relays_of(at, zone), self.chance.getrandbits(60), shape.wait, shape.spread,
            version, first.snapshot(scopes),
        )  # fmt: skip
        return Watching(self, follower, scopes, zone, at % SAMPLED == 0)

    def relays_of(self, at: int, zone: int) -> tuple[str, ...]:
        """Two of its zone, or of any where the zone has fewer, and one in another zone."""
        shape = self.shape
        near = [k for k in range(shape.relays) if k % shape.zones == zone]
        others = [k for k in range(shape.relays) if k not in near]
        turn = at // shape.zones
        found = [near[(turn + n) % len(near)] for n in range(min(2, len(near)))]
        while others and len(found) < 3:
            found.append(others.pop((turn * 7 + at) % len(others)))
        return tuple(f"relay-{k}" for k in found)

    # Events.

    def at(self, when: int, do: Callable[..., None], *args: Any) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (when, self.serial, do, args))

    def run(self, until: int) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, do, args = heapq.heappop(self.heap)
            do(*args)
        self.now = until

    def next_token(self) -> int:
        self.tokens += 1
        return self.tokens

    def call(self, caller: Watching, order: SendWatch, status: Status, size: int) -> None:
        place = self.places[order.relay]
        self.calls_out[caller.token] = place
        way = self.shape.way(place.zone, caller.zone)
        self.at(self.now + way, place.arrive, caller.token, caller, order, status, size)

    def give_up(self, token: int) -> None:
        place = self.calls_out.pop(token, None)
        if place is not None:
            self.at(self.now + self.shape.near, place.gone, token)

    def read(self, data: bytes) -> Reply:
        reply = self.reads.get(data)
        if reply is None:
            reply = self.reads[data] = wire.decode_reply(Answer(200, [], data))
            if len(self.reads) > MOST_READ:
                self.reads.popitem(last=False)
        return reply

    # The day.

    def push(self, changes: Entries) -> None:
        """As `config.source.Source`: made, kept, then served."""
        pushed = self.now
        self.at(self.source.work(self.costs.keep), self.publish, changes, pushed)

    def publish(self, changes: Entries, pushed: int) -> None:
        history = self.source.history
        before = history.version
        version = history.push(changes)
        if version == before:
            return
        self.pushed += 1
        scopes = frozenset(key.scope for key in changes)
        for scope in scopes:
            for sidecar in self.by_scope.get(scope, ()):
                self.pending[sidecar].append((version.index, pushed))
        self.source.announce(version, scopes)

    def changes(self, rate: float, seconds: float) -> None:
        """Poisson arrivals of drawn changes from now on."""
        at, end = float(self.now), self.now + seconds * SECOND
        while (at := at + self.chance.expovariate(rate) * SECOND) < end:
            self.at(int(at), self.push, change(self.shape, self.chance))

    def in_force(self, sidecar: Watching, version: Version) -> None:
        waiting = self.pending.get(sidecar)
        while waiting and waiting[0][0] <= version.index:
            self.took.append(self.now - waiting.popleft()[1])

    def count_anew(self) -> None:
        """Figures count from now on."""
        self.took.clear()
        self.pushed = 0
        for place in self.places.values():
            place.count = Count()
        for watching in (*self.sidecars, *(place.watch for place in self.relays)):
            watching.cpu, watching.calls, watching.bytes_in, watching.bytes_out = 0.0, 0, 0, 0

    def lagging(self) -> int:
        """Changes that concern a sidecar and are not in force there."""
        return sum(len(waiting) for waiting in self.pending.values())

    def behind(self, index: int) -> int:
        """Sidecars that hold an older version than this."""
        return sum(one.follower.version.index < index for one in self.sidecars)

    def equal(self) -> bool:
        """Does each sidecar hold just what the source has for its scopes?"""
        history = self.source.history
        return all(one.follower.entries == history.snapshot(one.scopes) for one in self.sidecars)


def total(counts: Iterable[Count]) -> Count:
    found = Count()
    for one in counts:
        found.calls += one.calls
        found.refused += one.refused
        found.bytes_in += one.bytes_in
        found.bytes_out += one.bytes_out
        found.wholes += one.wholes
        found.turned_away += one.turned_away
        found.cpu += one.cpu
    return found
