"""Measures one real source and one real relay on loopback, with hundreds of watchers in one other process.

Each watcher runs the production `ConfigWatch` and `Follower` without the rest of a sidecar. Measured are the
cost of the relay's process by number of watchers, the cost of a watcher, and the time from the push of a
version until it is in force. All started processes are ended.

    python -m lupinmill.lab.scale.fanout_sockets RELAY COUNT WAIT_MS SIDECARS SERVICES

runs the watchers; it reports their totals for each line on standard input."""

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
from lupinmill.lab.scale.fanout_shape import (
    SECOND,
    FleetShape,
    draw_change,
    initial_entries,
    scopes_of_sidecar,
)
from lupinmill.lab.scale.load import percentile
from lupinmill.transport.buffers import BlockPool
from lupinmill.transport.connection import Connection

SETTLE_S = 3.0  # seconds to wait after all watchers have connected
VERSION_TIMEOUT_S = 60.0  # seconds within which all must reach a version
POLL_INTERVAL_S = 0.2


class WatcherTotals(msgspec.Struct):
    """Totals of all watchers since their start. Times are of the machine's monotonic clock."""

    least: int = 0  # oldest version held by any watcher
    calls: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    cpu: float = 0.0
    resident: int = 0
    took: dict[str, list[float]] = {}  # by version: when it came into force at each watcher


# --- the watchers' process ---------------------------------------------------------


class Watchers:
    def __init__(self, relay: str, count: int, wait_ms: int, shape: FleetShape) -> None:
        self.seen, self.buffers = WatcherTotals(), BlockPool()
        self.versions = [0] * count
        self.held: list[Entries] = [{} for _ in range(count)]
        indices = random.Random("watchers").sample(range(shape.sidecars), count)
        self.watches = [self.make_watch(n, index, shape, relay, wait_ms) for n, index in enumerate(indices)]

    def make_watch(self, n: int, index: int, shape: FleetShape, relay: str, wait_ms: int) -> ConfigWatch:
        def on_version(version: Version, entries: Entries) -> None:
            """Ignores versions that change nothing here, which a watch also returns when its wait ends."""
            self.versions[n] = version.index
            if entries != self.held[n]:
                self.held[n] = entries
                self.seen.took.setdefault(str(version.index), []).append(time.monotonic())

        follower = Follower(f"m{index}", (relay,), index, wait_ms * 1000, 2 * SECOND, Version(), {})
        return ConfigWatch(
            follower, scopes_of_sidecar(shape, index), self.buffers, on_version, lambda *_, **__: None
        )

    async def connect(self, *args: Any) -> Connection:
        """Connects as the driver does, and counts calls and bytes."""
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
class SocketResult:
    """Results for one number of watchers. Rates are per second over all watchers, CPU is a part of a core."""

    watchers: int
    relay_cpu: float
    relay_memory: int
    calls: float
    bytes_out: float  # sent by the relay, with HTTP headers
    bytes_in: float
    watcher_cpu: float
    watcher_memory: float  # bytes of the watchers' process, per watcher
    cpu_a_call: float  # processor seconds of the relay
    whole_cpu: float  # processor seconds of the relay to give all watchers their first snapshot
    # Seconds from the push's call until in force, at each watcher.
    took: list[float] = field(default_factory=list)
    loadavg: float = 0.0
    pushes: list[float] = field(default_factory=list)  # seconds until the source acknowledged a version


def sidecar_settings(_: str) -> dict[str, Any]:
    return {}


async def query_watchers(child: Child) -> WatcherTotals:
    child.send_line(b"")
    return msgspec.json.decode(await child.read_line(), type=WatcherTotals)


async def wait_for_watchers(child: Child, index: int) -> WatcherTotals:
    limit = time.monotonic() + VERSION_TIMEOUT_S
    while (seen := await query_watchers(child)).least < index:
        if time.monotonic() > limit:
            raise RuntimeError(f"not all watchers reached version {index} within {VERSION_TIMEOUT_S:g} s")
        await asyncio.sleep(POLL_INTERVAL_S)
    return seen


async def measure_one(
    shape: FleetShape, count: int, wait_ms: int, seconds: float, rate: float, seed: int
) -> SocketResult:
    """`rate`: changes per second in the whole fleet, few of which concern these watchers."""
    random_source = random.Random(f"sockets {seed}")
    more = {"sidecars": max(1, count), "most_watchers": 2 * count + 8, "calls_per_s": 200.0}
    child = Child()
    async with ConfigRig(sidecar_settings, 1, 0, more) as rig:
        try:
            entries = initial_entries(shape, random_source)
            entries.pop(Key("fleet", "zones"))  # exceeds the number of zones that a source accepts
            index = await rig.push(entries)
            relay = rig.processes["relay-0"]
            await wait_for_relay(rig, index)
            before = relay.cpu()
            numbers = (count, wait_ms, shape.sidecars, shape.services)
            await child.start(
                "lupinmill.lab.scale.fanout_sockets", rig.listens["relay-0"], *map(str, numbers)
            )
            await wait_for_watchers(child, index)
            whole = relay.cpu() - before
            await asyncio.sleep(SETTLE_S)
            return await observe(rig, child, shape, count, seconds, rate, random_source, whole)
        finally:
            await child.end()


async def wait_for_relay(rig: ConfigRig, index: int) -> None:
    limit = time.monotonic() + VERSION_TIMEOUT_S
    while True:
        _, table = await rig.call("relay-0", "GET", "/v1/status")
        if table["index"] >= index and table["kept"] >= index:
            return
        if time.monotonic() > limit:
            raise RuntimeError(f"the relay did not reach version {index} within {VERSION_TIMEOUT_S:g} s")
        await asyncio.sleep(POLL_INTERVAL_S)


async def observe(
    rig: ConfigRig, child: Child, shape: FleetShape, count: int, seconds: float, rate: float,
    random_source: random.Random, whole: float,
) -> SocketResult:  # fmt: skip
    relay = rig.processes["relay-0"]
    load, first, began, cpu = os.getloadavg()[0], await query_watchers(child), time.monotonic(), relay.cpu()
    pushed: dict[str, float] = {}
    pushes = []
    due = began
    while (due := due + random_source.expovariate(rate)) < began + seconds:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        at = time.monotonic()
        pushed[str(await rig.push(draw_change(shape, random_source)))] = at
        pushes.append(time.monotonic() - at)
    await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
    last, spent, took = await query_watchers(child), relay.cpu() - cpu, time.monotonic() - began
    at = time.monotonic()
    # A change that concerns all watchers.
    index = await rig.push({Key("fleet", "settings"): {"limits": {"most-launches": 3}}})
    pushed[str(index)] = at
    final = await wait_for_watchers(child, index)
    times = [
        when - pushed[version]
        for seen in (last, final)
        for version, whens in seen.took.items()
        if version in pushed
        for when in whens
    ]
    calls = last.calls - first.calls
    return SocketResult(
        count, spent / took, resident(relay.process.pid), calls / took,
        (last.bytes_in - first.bytes_in) / took, (last.bytes_out - first.bytes_out) / took,
        (last.cpu - first.cpu) / took / count, last.resident / count,
        spent / max(1, calls), whole, times, load, pushes,
    )  # fmt: skip


def format_row(row: SocketResult, wait_ms: int) -> str:
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


def measure_all(
    shape: FleetShape, counts: tuple[int, ...], wait_ms: int, seconds: float, rate: float, seed: int,
    log: Callable[[str], None],
) -> list[SocketResult]:  # fmt: skip
    found = []
    for count in counts:
        row = asyncio.run(measure_one(shape, count, wait_ms, seconds, rate, seed))
        log(format_row(row, wait_ms))
        found.append(row)
    return found


def cost_a_call(found: list[SocketResult]) -> float:
    """Processor seconds of a relay for one watch, call and reply together. Uses the difference between the
    least and the most loaded run, which leaves out the relay's constant cost."""
    first, last = min(found, key=lambda row: row.calls), max(found, key=lambda row: row.calls)
    if last.calls > first.calls and last.relay_cpu > first.relay_cpu:
        return (last.relay_cpu - first.relay_cpu) / (last.calls - first.calls)
    return statistics.median(row.cpu_a_call for row in found)


def main(arguments: list[str]) -> None:
    relay, numbers = arguments[0], [int(one) for one in arguments[1:]]
    count, wait_ms, sidecars, services = numbers
    anyio.run(Watchers(relay, count, wait_ms, FleetShape(sidecars=sidecars, services=services)).run)


if __name__ == "__main__":
    main(sys.argv[1:])
