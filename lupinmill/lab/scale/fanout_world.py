"""Discrete-event simulation of a configuration source, its relays and a fleet of sidecars without clients.

The production state machines (`History`, `Fanout`, `Follower`) run unchanged and exchange the bytes of the
real protocol, driven by one event heap in virtual time and reproducible from a seed.

Simulated are the network (a fixed delay each way, no loss), the single core of each relay (each call and
reply occupies it for a fixed time, one after the other) and the step that puts a version in force (a fixed
time). One sidecar in `SAMPLE_INTERVAL` does all the work of a real one on each call, h11 and JSON included,
so that its processor time can be measured; the others share decoded replies. Times are whole microseconds."""

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
from lupinmill.lab.scale.fanout_shape import (
    SECOND,
    Costs,
    FleetShape,
    draw_change,
    initial_entries,
    scopes_of_sidecar,
)
from lupinmill.protocol.http import Answer, ClientSide

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
MAX_SHARED_REPLIES = 4096  # decoded replies that are kept for sharing
SAMPLE_INTERVAL = 50  # one sidecar in so many does all the work of a real one


@dataclass(slots=True)
class CallCounters:
    """Calls to one server, and the traffic that they caused."""

    calls: list[int] = field(default_factory=list)  # time of each
    refused: int = 0  # calls made while the process was down
    bytes_in: int = 0
    bytes_out: int = 0
    snapshots: int = 0
    rejected: int = 0
    cpu: float = 0.0  # processor seconds spent in the state machine


class FollowerDriver:
    """Drives one `Follower`: sends its watches, one at a time, and applies the versions it receives."""

    def __init__(
        self, world: World, follower: Follower, scopes: tuple[str, ...], zone: int, sampled: bool
    ) -> None:
        self.world, self.follower, self.scopes, self.zone, self.sampled = (
            world,
            follower,
            scopes,
            zone,
            sampled,
        )
        self.token, self.timer_at, self.cpu = 0, -1, 0.0
        self.bytes_in = self.bytes_out = self.calls = 0
        self.side: ClientSide | None = None
        self.running = True

    def process(self, *events: FollowerEvent) -> None:
        if not self.running:
            return
        world, began = self.world, time.process_time()
        commands = self.follower.step(world.now, events)
        self.cpu += time.process_time() - began
        for command in commands:
            if isinstance(command, SendWatch):
                self.send_watch(command)
            elif isinstance(command, ApplyVersion):
                self.apply(command)
            elif isinstance(command, SetTimer) and command.at != self.timer_at:
                self.timer_at = command.at
                world.schedule(max(command.at, world.now + 1), self.on_timer, command.at)

    def on_timer(self, at: int) -> None:
        if at == self.timer_at:
            self.timer_at = -1
            self.process(TimerFired())

    def send_watch(self, command: SendWatch) -> None:
        world = self.world
        if self.token:
            world.cancel_call(self.token)
        self.token, self.calls = world.next_token(), self.calls + 1
        began = time.process_time()
        status = self.follower.status()
        request = wire.encode_watch(command.since, command.wait_us // 1000, self.scopes, status)
        if self.sampled:
            self.side = ClientSide(wire.MAX_REPLY_BYTES, wire.MAX_REPLY_BYTES)
            size = len(self.side.ask(request))
            self.cpu += time.process_time() - began
        else:
            size = len(b"GET  HTTP/1.1\r\nHost: config\r\n\r\n") + len(request.target)
        self.bytes_out += size
        world.call(self, command, status, size)

    def answered(self, token: int, at: str, data: bytes) -> None:
        self.world.open_calls.pop(token, None)
        if token != self.token:
            return
        self.token = 0
        head = HEAD % len(data)
        self.bytes_in += len(head) + len(data)
        began = time.process_time()
        if self.sampled:
            self.side.feed(head + data)
            reply = wire.decode_reply(self.side.next_answer())
            self.cpu += time.process_time() - began
        else:
            reply = self.world.decode(data)
        self.process(ReplyReceived(at, reply))

    def failed(self, token: int, at: str, why: str) -> None:
        self.world.open_calls.pop(token, None)
        if token == self.token:
            self.token = 0
            self.process(WatchFailed(at, why))

    def apply(self, command: ApplyVersion) -> None:
        self.world.schedule(self.world.now + self.world.costs.force, self.on_applied, command.version)

    def on_applied(self, version: Version) -> None:
        self.world.record_in_force(self, version)
        self.process(VersionApplied(version))


class ConfigServer:
    """A source or relay: its history and fan-out, and one core that works serially."""

    def __init__(self, world: World, name: str, zone: int, version: Version, entries: Entries) -> None:
        self.world, self.name, self.zone, self.up = world, name, zone, True
        self.count, self.busy_until, self.timer_at = CallCounters(), 0, -1
        self.store = self
        self.open_watches: dict[int, tuple[FollowerDriver, str]] = {}
        self.start(version, entries)

    def start(self, version: Version, entries: Entries) -> None:
        shape = self.world.shape
        self.history = History(version, entries)
        self.fanout = Fanout(
            self.history, wire.encode_reply, self.world.now, shape.most_watchers, shape.spread_ms
        )

    def work(self, cost: int) -> int:
        """Occupies the core for `cost` and returns when it is done."""
        self.busy_until = max(self.world.now, self.busy_until) + cost
        return self.busy_until

    def arrive(
        self, token: int, caller: FollowerDriver, command: SendWatch, status: Status, size: int
    ) -> None:
        network_delay = self.world.shape.network_delay(self.zone, caller.zone)
        if not self.up:
            self.count.refused += 1
            self.world.schedule(self.world.now + network_delay, caller.failed, token, self.name, "refused")
            return
        self.count.calls.append(self.world.now)
        self.count.bytes_in += size
        self.open_watches[token] = caller, self.name
        event = WatchReceived(token, caller.scopes, command.since, 0, status)
        self.world.schedule(self.work(self.world.costs.call), self.on_watch_read, event, command.wait_us)

    def on_watch_read(self, event: WatchReceived, wait: int) -> None:
        if event.token in self.open_watches:
            event.deadline = self.world.now + wait
            self.step(event)

    def on_caller_gone(self, token: int) -> None:
        if self.open_watches.pop(token, None) is not None:
            self.step(WatchClosed(token))

    def step(self, *events: fanout.FanoutEvent) -> None:
        began = time.process_time()
        commands = self.fanout.step(self.world.now, events)
        self.count.cpu += time.process_time() - began
        for command in commands:
            if isinstance(command, SendReply):
                self.send_reply(command)
            elif isinstance(command, RejectWatch):
                self.count.rejected += 1
                caller, name = self.open_watches.pop(command.token)
                network_delay = self.world.shape.network_delay(self.zone, caller.zone)
                self.world.schedule(
                    self.work(self.world.costs.reply) + network_delay,
                    caller.failed,
                    command.token,
                    name,
                    "503",
                )
            elif isinstance(command, SetTimer) and command.at != self.timer_at:
                self.timer_at = command.at
                self.world.schedule(max(command.at, self.world.now + 1), self.on_timer, command.at)

    def on_timer(self, at: int) -> None:
        if at == self.timer_at and self.up:
            self.timer_at = -1
            self.step(fanout.TimerFired())

    def send_reply(self, command: SendReply) -> None:
        caller, name = self.open_watches.pop(command.token)
        self.count.bytes_out += len(command.data) + len(HEAD % len(command.data))
        self.count.snapshots += b'"snapshot":true' in command.data[:200]
        at = self.work(self.world.costs.reply) + self.world.shape.network_delay(self.zone, caller.zone)
        self.world.schedule(at, caller.answered, command.token, name, command.data)

    def announce(self, version: Version, scopes: frozenset[str]) -> None:
        self.step(VersionAvailable(version, scopes))

    def schedule_save(self, version: Version, entries: Entries) -> None:
        """Does nothing: a real relay saves in a thread, which takes no time of the simulated core."""

    def stop(self) -> None:
        """Ends the process; all open connections are reset."""
        self.up = False
        for token, (caller, name) in self.open_watches.items():
            self.world.schedule(
                self.world.now + self.world.shape.network_delay(self.zone, caller.zone),
                caller.failed,
                token,
                name,
                "reset",
            )
        self.open_watches.clear()
        self.busy_until, self.timer_at = 0, -1

    def restart(self, kept: bool = True) -> None:
        """Starts a new process, from the saved state if `kept`, else empty."""
        self.up = True
        self.start(*(self.history.version, self.history.entries) if kept else (Version(), {}))


class RelayServer(ConfigServer):
    def __init__(self, world: World, index: int, zone: int, version: Version, entries: Entries) -> None:
        self.index, self.lives = index, 0
        super().__init__(world, f"relay-{index}", zone, version, entries)

    def start(self, version: Version, entries: Entries) -> None:
        super().start(version, entries)
        self.lives += 1
        seed = self.index * 1_000 + self.lives
        follower = UpstreamFollower(
            self.name, ("source",), seed, UPSTREAM_WAIT_US, UPSTREAM_SPREAD_US, version, entries
        )
        follower.history = self.history
        self.upstream = RelayFollowerDriver(self.world, follower, (), self.zone, False)
        self.upstream.server = self

    def stop(self) -> None:
        super().stop()
        self.upstream.running = False
        if self.upstream.token:
            self.world.cancel_call(self.upstream.token)

    def restart(self, kept: bool = True) -> None:
        super().restart(kept)
        self.upstream.process(TimerFired())


class RelayFollowerDriver(FollowerDriver):
    server: RelayServer

    def apply(self, command: ApplyVersion) -> None:
        self.world.schedule(self.server.work(self.world.costs.replace), self.take, command)

    def take(self, command: ApplyVersion) -> None:
        if not self.running:
            return
        count, began = self.server.count, time.process_time()
        before = count.cpu
        why = Relay.apply_version(self.server, command.version, command.entries)  # type: ignore[arg-type]
        # Replaces what `step` has added meanwhile, which lies within this interval.
        count.cpu = before + time.process_time() - began
        assert why is None, why
        self.process(VersionApplied(command.version))


class World:
    def __init__(self, shape: FleetShape, seed: int, costs: Costs) -> None:
        self.shape, self.costs, self.random_source = shape, costs, random.Random(f"fan-out {seed}")
        self.now, self.serial, self.tokens = SECOND, 0, 0
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.decoded_replies: OrderedDict[bytes, Reply] = OrderedDict()
        self.open_calls: dict[int, ConfigServer] = {}
        first = History(Version(), {})
        first.push(initial_entries(shape, self.random_source))
        version, entries = first.version, first.entries
        self.source = ConfigServer(self, "source", 0, version, entries)
        self.relays = [
            RelayServer(self, index, index % shape.zones, version, entries) for index in range(shape.relays)
        ]
        self.servers: dict[str, ConfigServer] = {
            server.name: server for server in (self.source, *self.relays)
        }
        indices = range(shape.sidecars)
        if shape.watching:
            indices = self.random_source.sample(indices, shape.watching)
        self.sidecars = [self.make_sidecar(index, version, first) for index in indices]
        self.by_scope: dict[str, list[FollowerDriver]] = {}
        for sidecar in self.sidecars:
            for scope in sidecar.scopes:
                self.by_scope.setdefault(scope, []).append(sidecar)
        self.pending: dict[FollowerDriver, deque[tuple[int, int]]] = {one: deque() for one in self.sidecars}
        # Microseconds from push to in force, for each change and each sidecar that it concerns.
        self.apply_delays: list[int] = []
        self.pushed = 0
        for server in self.relays:
            server.upstream.process(TimerFired())
        for sidecar in self.sidecars:  # the start of watches is spread, as in a fleet that has run for long
            self.schedule(self.now + self.random_source.randrange(shape.wait), sidecar.process, TimerFired())

    def make_sidecar(self, index: int, version: Version, first: History) -> FollowerDriver:
        shape, zone, scopes = self.shape, index % self.shape.zones, scopes_of_sidecar(self.shape, index)
        follower = Follower(
            f"m{index}", self.relays_of(index, zone), self.random_source.getrandbits(60), shape.wait,
            shape.spread, version, first.snapshot(scopes),
        )  # fmt: skip
        return FollowerDriver(self, follower, scopes, zone, index % SAMPLE_INTERVAL == 0)

    def relays_of(self, index: int, zone: int) -> tuple[str, ...]:
        """Three relays: up to two in the sidecar's zone, the rest in other zones."""
        shape = self.shape
        near = [k for k in range(shape.relays) if k % shape.zones == zone]
        others = [k for k in range(shape.relays) if k not in near]
        turn = index // shape.zones
        found = [near[(turn + n) % len(near)] for n in range(min(2, len(near)))]
        while others and len(found) < 3:
            found.append(others.pop((turn * 7 + index) % len(others)))
        return tuple(f"relay-{k}" for k in found)

    # Events.

    def schedule(self, when: int, do: Callable[..., None], *args: Any) -> None:
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

    def call(self, caller: FollowerDriver, command: SendWatch, status: Status, size: int) -> None:
        server = self.servers[command.relay]
        self.open_calls[caller.token] = server
        network_delay = self.shape.network_delay(server.zone, caller.zone)
        self.schedule(self.now + network_delay, server.arrive, caller.token, caller, command, status, size)

    def cancel_call(self, token: int) -> None:
        server = self.open_calls.pop(token, None)
        if server is not None:
            self.schedule(self.now + self.shape.same_zone_delay, server.on_caller_gone, token)

    def decode(self, data: bytes) -> Reply:
        reply = self.decoded_replies.get(data)
        if reply is None:
            reply = self.decoded_replies[data] = wire.decode_reply(Answer(200, [], data))
            if len(self.decoded_replies) > MAX_SHARED_REPLIES:
                self.decoded_replies.popitem(last=False)
        return reply

    # Changes and results.

    def push(self, changes: Entries) -> None:
        """Publishes changes once they are saved, as `config.source.Source` does."""
        pushed = self.now
        self.schedule(self.source.work(self.costs.keep), self.publish, changes, pushed)

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

    def schedule_changes(self, rate: float, seconds: float) -> None:
        """Schedules random changes with Poisson arrivals over the next `seconds`."""
        at, end = float(self.now), self.now + seconds * SECOND
        while (at := at + self.random_source.expovariate(rate) * SECOND) < end:
            self.schedule(int(at), self.push, draw_change(self.shape, self.random_source))

    def record_in_force(self, sidecar: FollowerDriver, version: Version) -> None:
        waiting = self.pending.get(sidecar)
        while waiting and waiting[0][0] <= version.index:
            self.apply_delays.append(self.now - waiting.popleft()[1])

    def reset_counters(self) -> None:
        """Resets all counters, so that figures cover only what follows."""
        self.apply_delays.clear()
        self.pushed = 0
        for server in self.servers.values():
            server.count = CallCounters()
        for watching in (*self.sidecars, *(server.upstream for server in self.relays)):
            watching.cpu, watching.calls, watching.bytes_in, watching.bytes_out = 0.0, 0, 0, 0

    def pending_changes(self) -> int:
        """Number of changes not yet in force, summed over the sidecars that they concern."""
        return sum(len(waiting) for waiting in self.pending.values())

    def count_behind(self, index: int) -> int:
        """Number of sidecars whose version is older than `index`."""
        return sum(one.follower.version.index < index for one in self.sidecars)

    def all_consistent(self) -> bool:
        """Whether each sidecar holds exactly the source's entries for its scopes."""
        history = self.source.history
        return all(one.follower.entries == history.snapshot(one.scopes) for one in self.sidecars)


def sum_counters(counts: Iterable[CallCounters]) -> CallCounters:
    found = CallCounters()
    for one in counts:
        found.calls += one.calls
        found.refused += one.refused
        found.bytes_in += one.bytes_in
        found.bytes_out += one.bytes_out
        found.snapshots += one.snapshots
        found.rejected += one.rejected
        found.cpu += one.cpu
    return found
