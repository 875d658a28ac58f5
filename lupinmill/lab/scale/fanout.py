"""Measures configuration distribution at the target's size: how long a change takes until it is in force at
20,000 simulated sidecars behind 50 relays and one source, in virtual time, and the processor time, bytes and
memory of a relay and a sidecar.

    python -m lupinmill.lab.scale.fanout --seeds 1,2 [--quick]"""

from __future__ import annotations

import gc
import os
import random
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path

from lupinmill.config import stable_store, wire
from lupinmill.config.fanout import Fanout, WatchReceived
from lupinmill.config.follower import Follower
from lupinmill.config.history import History, apply_changes
from lupinmill.config.model import Entries, Key, Reply, Status, Version
from lupinmill.lab.scale import fanout_sockets
from lupinmill.lab.scale.fanout_shape import SECOND, Costs, FleetShape, draw_change, initial_entries
from lupinmill.lab.scale.fanout_world import CallCounters, World, sum_counters
from lupinmill.lab.scale.load import percentile
from lupinmill.lab.scale.measured import Figure, Point
from lupinmill.lab.scale.returns import max_in_window
from lupinmill.protocol.http import Answer

CHANGES_PER_S = 31_000 / 86_400  # changes per second, averaged over the target's day
# Pairs of a rate and the seconds for which it is applied.
CHANGE_RATES = ((CHANGES_PER_S, 120.0), (10 * CHANGES_PER_S, 40.0), (100 * CHANGES_PER_S, 10.0))
FLEETS = (FleetShape(2_000, services=84, relays=5), FleetShape(6_000, services=252, relays=15), FleetShape())
WATCHER_COUNTS = (100, 200, 400, 800, 1_600)
QUICK = FleetShape(200, services=9, zones=4, regions=2, relays=4, wait=5 * SECOND)
QUICK_CHANGE_RATES = ((CHANGES_PER_S * 10, 10.0),)
QUICK_WATCHER_COUNTS = (50, 200)
SOCKET_WATCHERS, SOCKET_WINDOW_S = (100, 400, 1_000), 20.0  # watchers of one real relay, and seconds observed
# Stands for an outage of ten minutes: relays call an unreachable source at a constant rate throughout.
SOURCE_OUTAGE_S = 60.0
CATCH_UP_LIMIT = 120 * SECOND  # time limit for all sidecars to reach the newest version
POLL_INTERVAL = SECOND // 4


class FigureTable:
    """Collects figures point by point."""

    def __init__(self) -> None:
        self.figures: dict[tuple[str, str, str], Figure] = {}

    def add(
        self,
        role: str,
        name: str,
        unit: str,
        grows: str,
        day: str,
        size: float,
        seed: int,
        mean: float,
        peak: float = 0.0,
        note: str = "",
        hollow: bool = True,
    ) -> None:
        key = (role, name, day)
        figure = self.figures.setdefault(key, Figure(role, name, unit, grows, day, [], note=note))
        figure.points.append(Point(size, seed, mean, peak, hollow))


# --- costs measured on this machine, for the simulated cores -------------------------------------------


def decode_entries(data: bytes) -> Entries:
    """Decodes the entries of a reply anew, so that no objects are shared between receivers."""
    return wire.decode_reply(Answer(200, [], data)).entries


def calibrate(shape: FleetShape, repeats: int = 5, call: int = 0, reply: int = 0) -> Costs:
    """Measures the costs on this machine as medians of processor time, or of wall time for the disk.
    `call` and `reply` are taken as given."""
    usual = Costs()
    history, replaces, keeps = History(Version(), {}), [], []
    random_source = random.Random("costs")
    history.push(initial_entries(shape, random_source))
    copy = History(history.version, history.entries)
    follower = Follower("r", ("source",), 1, SECOND, SECOND, history.version, history.entries)
    with tempfile.TemporaryDirectory(prefix="lupinmill-keep-") as folder:
        for _ in range(repeats):
            version = history.version
            history.push(draw_change(shape, random_source))
            answer = history.reply(version, ())
            began = time.process_time()
            follower.accept(0, answer.version, apply_changes(follower.entries, answer.entries))
            copy.replace(answer.version, dict(follower.entries))
            replaces.append(time.process_time() - began)
            began = time.perf_counter()
            stable_store.save(Path(folder) / "kept", history.version, history.entries)
            keeps.append(time.perf_counter() - began)
    micros = [max(1, round(statistics.median(one) * SECOND)) for one in (replaces, keeps)]
    return Costs(call or usual.call, reply or usual.reply, *micros, usual.force)


def describe_assumptions(costs: Costs, shape: FleetShape) -> str:
    return (
        f"virtual time, the very cores; told: a relay's call {costs.call} us and reply {costs.reply} us, a"
        f" version"
        f" taken {costs.replace} us, on the source's disk {costs.keep} us, in force {costs.force} us; network"
        f" {shape.same_zone_delay / 1000:g} ms in a zone, {shape.same_region_delay / 1000:g} in a region,"
        f" {shape.cross_region_delay / 1000:g}"
        f" between,"
        f" nothing lost; a watch waits {shape.wait / SECOND:g} s; bytes with HTTP heads, without TCP's"
    )


# --- scenarios -----------------------------------------------------------------------------------------


def warmed_up_world(shape: FleetShape, seed: int, costs: Costs) -> World:
    world = World(shape, seed, costs)
    world.run(world.now + shape.wait + 2 * SECOND)
    world.reset_counters()
    return world


def measure_ordinary(
    figure_table: FigureTable, shape: FleetShape, seed: int, costs: Costs, rate: float, seconds: float
) -> str:
    """Applies changes at a constant rate and measures how long each takes until it is in force."""
    world = warmed_up_world(shape, seed, costs)
    world.schedule_changes(rate, seconds)
    began = world.now
    world.run(began + int(seconds * SECOND))
    relays = sum_counters(server.count for server in world.relays)
    sampled = [one for one in world.sidecars if one.sampled]
    cpu = sum(one.cpu for one in sampled) / len(sampled) / seconds
    bytes_in = sum(one.bytes_in for one in world.sidecars) / len(world.sidecars) / seconds
    bytes_out = sum(one.bytes_out for one in world.sidecars) / len(world.sidecars) / seconds
    relay_cpu = [(server.count.cpu + server.upstream.cpu) / seconds for server in world.relays]
    source = world.source.count
    world.run(world.now + shape.wait + 5 * SECOND)
    delays, lag = [one / SECOND for one in world.apply_delays], world.pending_changes()
    note = f"{describe_assumptions(costs, shape)}; {describe_shape(shape)}"
    day, grows = "ordinary", "changes a second"
    for name, mean, peak in (
        ("time in force", percentile(delays, 0.5), max(delays, default=0.0)),
        ("time in force p99", percentile(delays, 0.99), max(delays, default=0.0)),
    ):
        what = "; mean is the p50" if name == "time in force" else "; mean is the p99"
        figure_table.add(
            "sidecar", name, "s", grows, day, rate, seed, mean, peak, note + what + ", peak the last of all"
        )
    for role, name, unit, mean, peak in (
        ("sidecar", "cpu", "part of a core", cpu, 0.0),
        ("sidecar", "bytes in", "bytes/s", bytes_in, 0.0),
        ("sidecar", "bytes out", "bytes/s", bytes_out, 0.0),
        ("relay", "cpu", "part of a core", statistics.mean(relay_cpu), max(relay_cpu)),
        ("relay", "bytes out", "bytes/s", relays.bytes_out / shape.relays / seconds, 0.0),
        (
            "relay",
            "calls",
            "1/s",
            len(relays.calls) / shape.relays / seconds,
            peak_calls(relays, began) / shape.relays,
        ),
        ("relay", "whole snapshots", "calls", relays.snapshots, 0.0),
        ("relay", "turned away", "calls", relays.rejected, 0.0),
        ("source", "cpu", "part of a core", source.cpu / seconds, 0.0),
        ("source", "bytes out", "bytes/s", source.bytes_out / seconds, 0.0),
        ("source", "calls", "1/s", len(source.calls) / seconds, peak_calls(source, began)),
    ):
        more = "; cores alone, without sockets" if name == "cpu" and role != "sidecar" else ""
        figure_table.add(role, name, unit, grows, day, rate, seed, mean, peak, note + more)
    return (
        f"{describe_shape(shape)}, {rate:.2f} changes/s for {seconds:g} s, seed {seed}: {world.pushed}"
        f" versions, {len(delays)}"
        f" in force after p50 {percentile(delays, 0.5):.3f} p99 {percentile(delays, 0.99):.3f} max"
        f" {max(delays, default=0.0):.3f} s, {lag} not; all equal: {world.all_consistent()};"
        f" sidecar: cpu {cpu:.2e},"
        f" bytes/s in"
        f" {bytes_in:.1f} out {bytes_out:.1f}; a relay's core {statistics.mean(relay_cpu):.2e} (most"
        f" {max(relay_cpu):.2e}), source {source.cpu / seconds:.2e}; whole {relays.snapshots}"
    )


def describe_shape(shape: FleetShape) -> str:
    return f"{shape.watching or shape.sidecars} sidecars behind {shape.relays} relays"


def peak_calls(count: CallCounters, began: int) -> float:
    return max_in_window([((at - began) / SECOND, 1.0) for at in count.calls])


def run_until_consistent(world: World, began: int) -> tuple[float, int]:
    """Runs until all sidecars hold the source's version. Returns the seconds taken and how many never did."""
    while world.count_behind(world.source.history.version.index) and world.now < began + CATCH_UP_LIMIT:
        world.run(world.now + POLL_INTERVAL)
    return (world.now - began) / SECOND, world.count_behind(world.source.history.version.index)


def change_for_everyone() -> Entries:
    return {Key("fleet", "settings"): {"limits": {"most-launches": 3, "retry-after": False}}}


def measure_relay_restart(
    figure_table: FigureTable, shape: FleetShape, seed: int, costs: Costs, kept: bool
) -> str:
    """Restarts all relays at once and pushes a change for the whole fleet meanwhile."""
    world, day = (
        warmed_up_world(shape, seed, costs),
        "relays restart" if kept else "relays restart without their files",
    )
    world.schedule_changes(CHANGES_PER_S * shape.sidecars / 20_000, 10.0)
    world.run(world.now + 10 * SECOND)
    world.reset_counters()
    began = world.now
    for server in world.relays:
        server.stop()
        world.schedule(began + shape.restart_time, server.restart, kept)
    world.schedule(began + shape.restart_time // 2, world.push, change_for_everyone())
    world.run(began + shape.restart_time)
    last, left = run_until_consistent(world, began)
    world.run(began + int(last * SECOND) + 2 * shape.wait)
    relays = sum_counters(server.count for server in world.relays)
    one = max(peak_calls(server.count, began) for server in world.relays)
    note = (
        f"{describe_assumptions(costs, shape)}; all relays down for {shape.restart_time / SECOND:g} s,"
        f" each tells a spread of"
        f" {shape.spread_ms} ms"
    )
    size = float(shape.sidecars)
    peak = peak_calls(relays, began)
    for name, unit, mean, most in (
        ("calls, all relays", "1/s", peak, peak),
        ("calls", "1/s", one, one),
        ("refused while down, all relays", "calls", float(relays.refused), 0.0),
        ("whole snapshots", "calls", float(relays.snapshots), 0.0),
        ("bytes out, all relays", "bytes", float(relays.bytes_out), 0.0),
        ("time until all are at the newest", "s", last, last),
        ("left behind", "sidecars", float(left), 0.0),
    ):
        figure_table.add(
            "relay",
            name,
            unit,
            "sidecars",
            day,
            size,
            seed,
            mean,
            most,
            note + "; calls: of the dearest second",
        )
    return (
        f"{describe_shape(shape)}, {day}, seed {seed}: dearest second {peak:.0f} calls at all,"
        f" {one:.0f} at one"
        f" of"
        f" {shape.relays} relays, which say they take {shape.calls_per_s:g}; {relays.refused} refused while"
        f" down;"
        f" {relays.snapshots} whole snapshots, {relays.bytes_out} bytes out, {relays.rejected}"
        f" turned away; all at the newest after {last:.2f} s, {left} never;"
        f" all equal: {world.all_consistent()}"
    )


def measure_source_outage(figure_table: FigureTable, shape: FleetShape, seed: int, costs: Costs) -> str:
    world, day = warmed_up_world(shape, seed, costs), "source away"
    began = world.now
    world.source.stop()
    world.run(began + int(SOURCE_OUTAGE_S * SECOND))
    tries = world.source.count.refused / SOURCE_OUTAGE_S
    calm = len(sum_counters(server.count for server in world.relays).calls) / SOURCE_OUTAGE_S
    world.reset_counters()
    world.source.restart()
    back = world.now
    world.push(change_for_everyone())
    world.run(back + costs.keep + POLL_INTERVAL)
    last, left = run_until_consistent(world, back)
    world.run(world.now + 5 * SECOND)
    delays = [one / SECOND for one in world.apply_delays]
    note = (
        f"{describe_assumptions(costs, shape)}; away {SOURCE_OUTAGE_S:g} s for ten minutes,"
        f" a change for everyone pushed at its return"
    )
    source = peak_calls(world.source.count, back)
    size = float(shape.sidecars)
    for role, name, unit, mean, peak in (
        ("source", "calls while away", "1/s", tries, 0.0),
        ("source", "calls at the return", "1/s", source, source),
        ("relay", "calls, all relays", "1/s", calm, 0.0),
        ("sidecar", "time in force", "s", percentile(delays, 0.5), max(delays, default=0.0)),
        ("sidecar", "left behind", "sidecars", float(left), 0.0),
    ):
        figure_table.add(role, name, unit, "sidecars", day, size, seed, mean, peak, note)
    return (
        f"{describe_shape(shape)}, source away, seed {seed}: {tries:.1f} tries/s at it meanwhile, {calm:.0f}"
        f" watches/s at the"
        f" relays; at the return {source:.0f} calls in the dearest second, all at the newest {last:.2f} s"
        f" after, {left}"
        f" never; in force p50 {percentile(delays, 0.5):.3f} max {max(delays, default=0.0):.3f} s; all equal:"
        f" {world.all_consistent()}"
    )


# --- cost by number of sidecars at one relay, and memory ----------------------------------------------


def measure_by_watchers(
    figure_table: FigureTable,
    shape: FleetShape,
    seed: int,
    costs: Costs,
    counts: tuple[int, ...],
    seconds: float,
) -> Iterator[str]:
    """Measures one relay that holds the whole fleet's entries, for each number of connected sidecars."""
    for count in counts:
        one = replace(shape, relays=1, watching=count, most_watchers=2 * count + 10)
        world = warmed_up_world(one, seed, costs)
        world.schedule_changes(CHANGES_PER_S * shape.sidecars / 20_000, seconds)
        began = world.now
        world.run(began + int(seconds * SECOND))
        server = world.relays[0]
        cpu_times = (server.count.cpu, server.upstream.cpu)
        rates = [sum(cpu_times) / seconds, server.count.bytes_out / seconds, server.count.bytes_in / seconds]
        calls = len(server.count.calls) / seconds
        note = (
            f"{describe_assumptions(costs, one)}; cores alone, with all entries of {shape.sidecars} sidecars"
        )
        for name, unit, mean, peak in (
            ("core cpu", "part of a core", rates[0], 0.0),
            ("core bytes out", "bytes/s", rates[1], 0.0),
            ("core bytes in", "bytes/s", rates[2], 0.0),
            ("core calls", "1/s", calls, peak_calls(server.count, began)),
        ):
            figure_table.add("relay", name, unit, "sidecars", "ordinary", count, seed, mean, peak, note)
        yield (
            f"one relay, {count} sidecars, seed {seed}: cpu {rates[0]:.2e} of a core, {calls:.1f} calls/s,"
            f" bytes/s out"
            f" {rates[1]:.0f} in {rates[2]:.0f}"
        )


def measure_memory(
    figure_table: FigureTable, shape: FleetShape, counts: tuple[int, ...], log: Callable[[str], None]
) -> None:
    """Measures the memory of the state machines alone, as Python's allocator counts it."""
    world = World(replace(shape, watching=max(counts), relays=1, most_watchers=4 * max(counts)), 1, Costs())
    history = world.source.history
    data = wire.encode_reply(Reply(history.version, True, history.entries))
    parts = [
        wire.encode_reply(Reply(history.version, True, history.snapshot(one.scopes)))
        for one in world.sidecars
    ]
    gc.collect()
    tracemalloc.start()
    try:
        followers = []
        for at, part in enumerate(parts[:200]):
            relays = ("relay-0", "relay-1", "relay-2")
            followers.append(
                Follower(f"m{at}", relays, at, SECOND, SECOND, history.version, decode_entries(part))
            )
        each = tracemalloc.get_traced_memory()[0] / len(followers)
        followers.clear()
        note = "bytes of the core with its entries, as Python's allocator counts; cores alone"
        figure_table.add(
            "sidecar", "memory", "bytes", "sidecars", "ordinary", shape.sidecars, 1, each, 0.0, note
        )
        gc.collect()
        base = tracemalloc.get_traced_memory()[0]
        entries = decode_entries(data)
        relay_history = History(history.version, entries)
        follower = Follower("relay", ("source",), 1, SECOND, SECOND, history.version, entries)
        watch_server = Fanout(relay_history, wire.encode_reply, 0, 4 * max(counts), 1000)
        gc.collect()
        empty = tracemalloc.get_traced_memory()[0] - base
        texts, connected = (
            [f"a sidecar's entries {each:.0f} bytes", f"a relay's core with none watching {empty:.0f}"],
            0,
        )
        for count in counts:
            for at in range(connected, count):
                status = Status(f"m{at}", Version(history.version.index, str(history.version.mark)))
                watch_server.step(
                    0,
                    [
                        WatchReceived(
                            at + 1,
                            tuple(map(str, world.sidecars[at].scopes)),
                            history.version,
                            SECOND,
                            status,
                        )
                    ],
                )
            connected = count
            gc.collect()
            size = tracemalloc.get_traced_memory()[0] - base
            figure_table.add(
                "relay", "core memory", "bytes", "sidecars", "ordinary", count, 1, size, 0.0, note
            )
            texts.append(f"with {count} {size}")
        del follower
    finally:
        tracemalloc.stop()
    log("memory: " + ", ".join(texts))


def add_socket_figures(
    figure_table: FigureTable, found: list[fanout_sockets.SocketResult], shape: FleetShape, seed: int
) -> None:
    loads = f"load average {min(row.loadavg for row in found):.0f} to {max(row.loadavg for row in found):.0f}"
    note = (
        f"one real relay behind one real source on loopback, hollow watchers in one process, a watch waits"
        f" {shape.wait / SECOND:g} s, all entries of {shape.sidecars} sidecars, {CHANGES_PER_S:.2f} changes a"
        f" second; shared"
        f" machine, {loads} on {os.cpu_count()} cores"
    )
    for row in found:
        for role, name, unit, mean, peak, more in (
            ("relay", "process cpu", "part of a core", row.relay_cpu, 0.0, ", with its disk"),
            ("relay", "process memory", "bytes", float(row.relay_memory), 0.0, ", resident"),
            ("relay", "process bytes out", "bytes/s", row.bytes_out, 0.0, ""),
            ("relay", "process bytes in", "bytes/s", row.bytes_in, 0.0, ""),
            ("relay", "process calls", "1/s", row.calls, 0.0, ""),
            ("relay", "process cpu a first snapshot", "s", row.whole_cpu / row.watchers, 0.0, ""),
            ("sidecar", "watch cpu", "part of a core", row.watcher_cpu, 0.0, ", the watch alone"),
            ("sidecar", "process time in force", "s", percentile(row.took, 0.5), max(row.took, default=0.0),
             ", of watchers that a change concerns, from the push's call; mean is the p50"),
            ("source", "process time of a push", "s", percentile(row.pushes, 0.5),
             max(row.pushes, default=0.0), ", checked and kept; mean is the p50"),
        ):  # fmt: skip
            figure_table.add(
                role, name, unit, "sidecars", "ordinary", row.watchers, seed, mean, peak, note + more, False
            )


def measure(quick: bool, seeds: list[int], log: Callable[[str], None]) -> list[Figure]:
    """Runs all measurements. Takes some ten minutes per seed, if `quick` some seconds and without sockets;
    uses less than 1 GB."""
    figure_table, shape, call = FigureTable(), QUICK if quick else FleetShape(), 0.0
    if not quick:
        found = fanout_sockets.measure_all(
            shape, SOCKET_WATCHERS, shape.wait // 1000, SOCKET_WINDOW_S, CHANGES_PER_S, seeds[0], log
        )
        add_socket_figures(figure_table, found, shape, seeds[0])
        call = fanout_sockets.cost_a_call(found)
    half = round(call * SECOND / 2)  # half to read a watch, half to answer it
    costs = calibrate(shape, call=half, reply=half)
    log(f"costs {costs}")
    for seed in seeds[:1] if quick else seeds:
        for rate, seconds in QUICK_CHANGE_RATES if quick else CHANGE_RATES:
            log(measure_ordinary(figure_table, shape, seed, costs, rate, seconds))
        for fleet in (shape,) if quick else FLEETS:
            log(measure_relay_restart(figure_table, fleet, seed, costs, True))
            log(measure_source_outage(figure_table, fleet, seed, costs))
        if not quick:
            log(measure_relay_restart(figure_table, shape, seed, costs, False))
        counts, seconds = (QUICK_WATCHER_COUNTS, 5.0) if quick else (WATCHER_COUNTS, 60.0)
        for text in measure_by_watchers(figure_table, shape, seed, costs, counts, seconds):
            log(text)
    measure_memory(figure_table, shape, QUICK_WATCHER_COUNTS if quick else WATCHER_COUNTS, log)
    return list(figure_table.figures.values())


def main(arguments: list[str]) -> None:
    seeds = [int(one) for one in arguments[1].split(",")] if arguments[:1] == ["--seeds"] else [1]
    measure("--quick" in arguments, seeds, lambda text: print(text, flush=True))


if __name__ == "__main__":
    main(sys.argv[1:])
