"""One real source and one real relay on loopback, and hundreds of hollow watchers in one other process: the
very `ConfigWatch` and `Follower` a watcher, without the rest of a sidecar. What the relay's process takes
by watchers, what a watcher takes, and how long a pushed version is under way. Ends all that it starts.

    python -m lupinmill.lab.scale.fanout_sockets RELAY COUNT WAIT_MS SIDECARS SERVICES

are the watchers, told by lines."""

from __future__ import annotations

import asyncio
import os
import random
import statistics
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import msgspec

from lupinmill.config import driver
from lupinmill.config.driver import ConfigWatch
from lupinmill.config.follower import Follower
from lupinmill.config.model import Entries, Key, Version
from lupinmill.lab.config_rig import ConfigRig
from lupinmill.lab.scale.added import Child
from lupinmill.lab.scale.fanout_shape import SECOND, Shape, change, scopes_of, state
from lupinmill.lab.scale.load import percentile
from lupinmill.transport.connection import Connection
from lupinmill.transport.buffers import BlockPool

SETTLE = 3.0  # seconds after all watchers are there
STARTS = 60.0  # seconds until all must be there
LOOK = 0.2


class Seen(msgspec.Struct):
    """Of all watchers together, since they began; times by the machine's monotonic clock."""

    least: int = 0  # version of the one that is furthest behind
    calls: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    cpu: float = 0.0
    resident: int = 0
    took: dict[str, list[float]] = {}  # by version: when it came into force, of each watcher


# --- the watchers, a process of their own ---------------------------------------------------------


class Watchers:
    def __init__(self, relay: str, count: int, wait_ms: int, shape: Shape) -> None:
        self.seen, self.store = Seen(), BlockPool()
        self.versions = [0] * count
        self.held: list[Entries] = [{} for _ in range(count)]
        there = random.Random("watchers").sample(range(shape.sidecars), count)
        self.watches = [self.watch(n, at, shape, relay, wait_ms) for n, at in enumerate(there)]

    def watch(self, n: int, at: int, shape: Shape, relay: str, wait_ms: int) -> ConfigWatch:
        def take(version: Version, entries: Entries) -> None:
            """A wait that ends tells of versions that don't concern this one: they count for nothing."""
            self.versions[n] = version.index
            if entries != self.held[n]:
                self.held[n] = entries
                self.seen.took.setdefault(str(version.index), []).append(time.monotonic())

        follower = Follower(f"m{at}", (relay,), at, wait_ms * 1000, 2 * SECOND, Version(), {})
        return ConfigWatch(follower, scopes_of(shape, at), self.store, take, lambda *_, **__: None)

    async def connect(self, *args: Any) -> Connection:
        """The driver's own, with its bytes counted."""
        made = await CONNECT(*args)
        send, receive = made.send, made.receive

        async def sent(data: bytes) -> None:
            self.seen.calls += 1
            self.seen.bytes_out += len(data)
            await send(data)

        async def received() -> bytes:
            data = await receive()
            self.seen.bytes_in += len(data)
            return data

        made.send, made.receive = sent, received  # type: ignore[method-assign]
        return made

    async def run(self) -> None:
        driver.connect = self.connect  # type: ignore[assignment]
        async with anyio.create_task_group() as group:
            for watch in self.watches:
                group.start_soon(watch.run)
            while await anyio.to_thread.run_sync(sys.stdin.readline):
                self.seen.least, self.seen.cpu = min(self.versions), time.process_time()
                self.seen.resident = resident(os.getpid())
                print(msgspec.json.encode(self.seen).decode(), flush=True)
                self.seen.took.clear()
            group.cancel_scope.cancel()


CONNECT = driver.connect


def resident(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


# --- the rig ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Row:
    """One size. Of the relay's process: part of a core, bytes; a second of all watchers."""

    watchers: int
    relay_cpu: float
    relay_memory: int
    calls: float
    bytes_out: float  # of the relay, HTTP's
    bytes_in: float
    watcher_cpu: float
    watcher_memory: float  # bytes of its process by watcher
    cpu_a_call: float  # seconds of the relay's
    whole_cpu: float  # seconds of the relay's to give each watcher its first snapshot
    took: list[float] = field(
        default_factory=list
    )  # seconds from the push's call till in force, each watcher
    loadavg: float = 0.0
    pushes: list[float] = field(default_factory=list)  # seconds until the source said that it has a version


def told(_: str) -> dict[str, Any]:
    return {}


async def ask(child: Child) -> Seen:
    child.say(b"")
    return msgspec.json.decode(await child.hear(), type=Seen)


async def until_there(child: Child, index: int) -> Seen:
    limit = time.monotonic() + STARTS
    while (seen := await ask(child)).least < index:
        if time.monotonic() > limit:
            raise RuntimeError(f"not all watchers came to version {index} in {STARTS:g} s")
        await asyncio.sleep(LOOK)
    return seen


async def measure_one(shape: Shape, count: int, wait_ms: int, seconds: float, rate: float, seed: int) -> Row:
    """`rate`: changes a second of the whole fleet, of which few concern these watchers."""
    chance = random.Random(f"sockets {seed}")
    more = {"sidecars": max(1, count), "most_watchers": 2 * count + 8, "calls_per_s": 200.0}
    child = Child()
    async with ConfigRig(told, 1, 0, more) as rig:
        try:
            entries = state(shape, chance)
            entries.pop(Key("fleet", "zones"))  # more zones than a source takes
            index = await rig.push(entries)
            relay = rig.processes["relay-0"]
            await until_relay(rig, index)
            before = relay.cpu()
            numbers = (count, wait_ms, shape.sidecars, shape.services)
            await child.start(
                "lupinmill.lab.scale.fanout_sockets", rig.listens["relay-0"], *map(str, numbers)
            )
            await until_there(child, index)
            whole = relay.cpu() - before
            await asyncio.sleep(SETTLE)
            return await look(rig, child, shape, count, seconds, rate, chance, whole)
        finally:
            await child.end()


async def until_relay(rig: ConfigRig, index: int) -> None:
    limit = time.monotonic() + STARTS
    while True:
        _, table = await rig.call("relay-0", "GET", "/v1/status")
        if table["index"] >= index and table["kept"] >= index:
            return
        if time.monotonic() > limit:
            raise RuntimeError(f"the relay did not come to version {index}")
        await asyncio.sleep(LOOK)


async def look(
    rig: ConfigRig, child: Child, shape: Shape, count: int, seconds: float, rate: float,
    chance: random.Random, whole: float,
) -> Row:  # fmt: skip
    relay = rig.processes["relay-0"]
    load, first, began, cpu = os.getloadavg()[0], await ask(child), time.monotonic(), relay.cpu()
    pushed: dict[str, float] = {}
    pushes = []
    due = began
    while (due := due + chance.expovariate(rate)) < began + seconds:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        at = time.monotonic()
        pushed[str(await rig.push(change(shape, chance)))] = at
        pushes.append(time.monotonic() - at)
    await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
    last, spent, took = await ask(child), relay.cpu() - cpu, time.monotonic() - began
    at = time.monotonic()
    index = await rig.push({Key("fleet", "settings"): {"limits": {"most-launches": 3}}})  # everyone's
    pushed[str(index)] = at
    final = await until_there(child, index)
    times = [
        when - pushed[version]
        for seen in (last, final)
        for version, whens in seen.took.items()
        if version in pushed
        for when in whens
    ]
    calls = last.calls - first.calls
    return Row(
        count, spent / took, resident(relay.process.pid), calls / took,
        (last.bytes_in - first.bytes_in) / took, (last.bytes_out - first.bytes_out) / took,
        (last.cpu - first.cpu) / took / count, last.resident / count,
        spent / max(1, calls), whole, times, load, pushes,
    )  # fmt: skip


def line(row: Row, wait_ms: int) -> str:
    return (
        f"sockets, {row.watchers} watchers of {wait_ms / 1000:g} s: relay cpu {row.relay_cpu:.4f} of a core,"
        f" {row.cpu_a_call * 1e6:.0f} us a call, {row.relay_memory / 2**20:.1f} MB, calls/s"
        f" {row.calls:.1f}, bytes/s out"
        f" {row.bytes_out:.0f} in {row.bytes_in:.0f}; first snapshots {row.whole_cpu:.2f} s of its core; a"
        f" watcher cpu"
        f" {row.watcher_cpu:.2e}, {row.watcher_memory / 1024:.0f} KB; in force {len(row.took)} times p50"
        f" {percentile(row.took, 0.5):.3f} p99 {percentile(row.took, 0.99):.3f} max"
        f" {max(row.took, default=0):.3f} s;"
        f" of them the source's part p50 {percentile(row.pushes, 0.5):.3f} max"
        f" {max(row.pushes, default=0):.3f} s;"
        f" loadavg {row.loadavg:.1f}"
    )


def rows(
    shape: Shape, counts: tuple[int, ...], wait_ms: int, seconds: float, rate: float, seed: int,
    log: Callable[[str], None],
) -> list[Row]:  # fmt: skip
    found = []
    for count in counts:
        row = asyncio.run(measure_one(shape, count, wait_ms, seconds, rate, seed))
        log(line(row, wait_ms))
        found.append(row)
    return found


def cost_a_call(found: list[Row]) -> float:
    """Seconds of a relay's core for one watch, its call and its reply: of all but what it spends without
    any."""
    first, last = min(found, key=lambda row: row.calls), max(found, key=lambda row: row.calls)
    if last.calls > first.calls and last.relay_cpu > first.relay_cpu:
        return (last.relay_cpu - first.relay_cpu) / (last.calls - first.calls)
    return statistics.median(row.cpu_a_call for row in found)


def main(arguments: list[str]) -> None:
    relay, numbers = arguments[0], [int(one) for one in arguments[1:]]
    count, wait_ms, sidecars, services = numbers
    anyio.run(Watchers(relay, count, wait_ms, Shape(sidecars=sidecars, services=services)).run)


if __name__ == "__main__":
    main(sys.argv[1:])
