"""Configuration in force at the size of the target: 20,000 hollow sidecars behind 50 relays and one source
in virtual time, and what a relay and a sidecar cost by processor time, bytes and memory.

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
from lupinmill.lab.scale.fanout_shape import SECOND, Costs, Shape, change, state
from lupinmill.lab.scale.fanout_world import Count, World, total
from lupinmill.lab.scale.load import percentile
from lupinmill.lab.scale.measured import Figure, Point
from lupinmill.lab.scale.returns import dearest
from lupinmill.protocol.http import Answer

RATE = 31_000 / 86_400  # changes a second of the target's day
RATES = ((RATE, 120.0), (10 * RATE, 40.0), (100 * RATE, 10.0))  # and for so many seconds
FLEETS = (Shape(2_000, services=84, relays=5), Shape(6_000, services=252, relays=15), Shape())
WATCHERS = (100, 200, 400, 800, 1_600)
QUICK = Shape(200, services=9, zones=4, regions=2, relays=4, wait=5 * SECOND)
QUICK_RATES = ((RATE * 10, 10.0),)
QUICK_WATCHERS = (50, 200)
SOCKETS, WINDOW = (100, 400, 1_000), 20.0  # watchers of one real relay, and seconds looked at
AWAY = 60.0  # seconds of the ten minutes: a relay's calls to a source that is away have one pace throughout
MOST = 120 * SECOND  # until who is behind is left so
LOOK = SECOND // 4


class Sheet:
    """Figures as they come, a point each."""

    def __init__(self) -> None:
        self.found: dict[tuple[str, str, str], Figure] = {}

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
        figure = self.found.setdefault(key, Figure(role, name, unit, grows, day, [], note=note))
        figure.points.append(Point(size, seed, mean, peak, hollow))


# --- what one machine's core takes, told to the virtual one -----------------------------------------


def entries_of(data: bytes) -> Entries:
    """As one that got these bytes has them: nothing shared with others."""
    return wire.decode_reply(Answer(200, [], data)).entries


def calibrate(shape: Shape, repeats: int = 5, call: int = 0, reply: int = 0) -> Costs:
    """Medians on this machine now, of processor time (for the disk of real time); `call` and `reply` as
    told."""
    usual = Costs()
    history, replaces, keeps = History(Version(), {}), [], []
    chance = random.Random("costs")
    history.push(state(shape, chance))
    copy = History(history.version, history.entries)
    follower = Follower("r", ("source",), 1, SECOND, SECOND, history.version, history.entries)
    with tempfile.TemporaryDirectory(prefix="lupinmill-keep-") as folder:
        for _ in range(repeats):
            version = history.version
            history.push(change(shape, chance))
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


def told(costs: Costs, shape: Shape) -> str:
    return (
        f"virtual time, the very cores; told: a relay's call {costs.call} us and reply {costs.reply} us, a"
        f" version"
        f" taken {costs.replace} us, on the source's disk {costs.keep} us, in force {costs.force} us; network"
        f" {shape.near / 1000:g} ms in a zone, {shape.region / 1000:g} in a region, {shape.far / 1000:g}"
        f" between,"
        f" nothing lost; a watch waits {shape.wait / SECOND:g} s; bytes with HTTP heads, without TCP's"
    )


# --- days -----------------------------------------------------------------------------------------


def settled(shape: Shape, seed: int, costs: Costs) -> World:
    world = World(shape, seed, costs)
    world.run(world.now + shape.wait + 2 * SECOND)
    world.count_anew()
    return world


def ordinary(sheet: Sheet, shape: Shape, seed: int, costs: Costs, rate: float, seconds: float) -> str:
    """Changes at one pace, till all that concerns anyone is in force there."""
    world = settled(shape, seed, costs)
    world.changes(rate, seconds)
    began = world.now
    world.run(began + int(seconds * SECOND))
    relays = total(place.count for place in world.relays)
    whole = [one for one in world.sidecars if one.whole]
    cpu = sum(one.cpu for one in whole) / len(whole) / seconds
    bytes_in = sum(one.bytes_in for one in world.sidecars) / len(world.sidecars) / seconds
    bytes_out = sum(one.bytes_out for one in world.sidecars) / len(world.sidecars) / seconds
    relay_cpu = [(place.count.cpu + place.watch.cpu) / seconds for place in world.relays]
    source = world.source.count
    world.run(world.now + shape.wait + 5 * SECOND)
    took, lag = [one / SECOND for one in world.took], world.lagging()
    note = f"{told(costs, shape)}; {shape_name(shape)}"
    day, grows = "ordinary", "changes a second"
    for name, mean, peak in (
        ("time in force", percentile(took, 0.5), max(took, default=0.0)),
        ("time in force p99", percentile(took, 0.99), max(took, default=0.0)),
    ):
        what = "; mean is the p50" if name == "time in force" else "; mean is the p99"
        sheet.add(
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
        ("relay", "whole snapshots", "calls", relays.wholes, 0.0),
        ("relay", "turned away", "calls", relays.turned_away, 0.0),
        ("source", "cpu", "part of a core", source.cpu / seconds, 0.0),
        ("source", "bytes out", "bytes/s", source.bytes_out / seconds, 0.0),
        ("source", "calls", "1/s", len(source.calls) / seconds, peak_calls(source, began)),
    ):
        more = "; cores alone, without sockets" if name == "cpu" and role != "sidecar" else ""
        sheet.add(role, name, unit, grows, day, rate, seed, mean, peak, note + more)
    return (
        f"{shape_name(shape)}, {rate:.2f} changes/s for {seconds:g} s, seed {seed}: {world.pushed}"
        f" versions, {len(took)}"
        f" in force after p50 {percentile(took, 0.5):.3f} p99 {percentile(took, 0.99):.3f} max"
        f" {max(took, default=0.0):.3f} s, {lag} not; all equal: {world.equal()}; sidecar: cpu {cpu:.2e},"
        f" bytes/s in"
        f" {bytes_in:.1f} out {bytes_out:.1f}; a relay's core {statistics.mean(relay_cpu):.2e} (most"
        f" {max(relay_cpu):.2e}), source {source.cpu / seconds:.2e}; whole {relays.wholes}"
    )


def shape_name(shape: Shape) -> str:
    return f"{shape.watching or shape.sidecars} sidecars behind {shape.relays} relays"


def peak_calls(count: Count, began: int) -> float:
    return dearest([((at - began) / SECOND, 1.0) for at in count.calls])


def until_equal(world: World, began: int) -> tuple[float, int]:
    """Seconds until all hold what the source has now, and how many never did."""
    while world.behind(world.source.history.version.index) and world.now < began + MOST:
        world.run(world.now + LOOK)
    return (world.now - began) / SECOND, world.behind(world.source.history.version.index)


def everyone() -> Entries:
    return {Key("fleet", "settings"): {"limits": {"most-launches": 3, "retry-after": False}}}


def restarted(sheet: Sheet, shape: Shape, seed: int, costs: Costs, kept: bool) -> str:
    """All relays restart at once; meanwhile a change for everyone is pushed."""
    world, day = (
        settled(shape, seed, costs),
        "relays restart" if kept else "relays restart without their files",
    )
    world.changes(RATE * shape.sidecars / 20_000, 10.0)
    world.run(world.now + 10 * SECOND)
    world.count_anew()
    began = world.now
    for place in world.relays:
        place.go_down()
        world.at(began + shape.down, place.come_up, kept)
    world.at(began + shape.down // 2, world.push, everyone())
    world.run(began + shape.down)
    last, left = until_equal(world, began)
    world.run(began + int(last * SECOND) + 2 * shape.wait)
    relays = total(place.count for place in world.relays)
    one = max(peak_calls(place.count, began) for place in world.relays)
    note = (
        f"{told(costs, shape)}; all relays down for {shape.down / SECOND:g} s, each tells a spread of"
        f" {shape.spread_ms} ms"
    )
    size = float(shape.sidecars)
    peak = peak_calls(relays, began)
    for name, unit, mean, most in (
        ("calls, all relays", "1/s", peak, peak),
        ("calls", "1/s", one, one),
        ("refused while down, all relays", "calls", float(relays.refused), 0.0),
        ("whole snapshots", "calls", float(relays.wholes), 0.0),
        ("bytes out, all relays", "bytes", float(relays.bytes_out), 0.0),
        ("time until all are at the newest", "s", last, last),
        ("left behind", "sidecars", float(left), 0.0),
    ):
        sheet.add(
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
        f"{shape_name(shape)}, {day}, seed {seed}: dearest second {peak:.0f} calls at all, {one:.0f} at one"
        f" of"
        f" {shape.relays} relays, which say they take {shape.calls_per_s:g}; {relays.refused} refused while"
        f" down;"
        f" {relays.wholes} whole snapshots, {relays.bytes_out} bytes out, {relays.turned_away}"
        f" turned away; all at the newest after {last:.2f} s, {left} never; all equal: {world.equal()}"
    )


def source_away(sheet: Sheet, shape: Shape, seed: int, costs: Costs) -> str:
    world, day = settled(shape, seed, costs), "source away"
    began = world.now
    world.source.go_down()
    world.run(began + int(AWAY * SECOND))
    tries = world.source.count.refused / AWAY
    calm = len(total(place.count for place in world.relays).calls) / AWAY
    world.count_anew()
    world.source.come_up()
    back = world.now
    world.push(everyone())
    world.run(back + costs.keep + LOOK)
    last, left = until_equal(world, back)
    world.run(world.now + 5 * SECOND)
    took = [one / SECOND for one in world.took]
    note = (
        f"{told(costs, shape)}; away {AWAY:g} s for ten minutes, a change for everyone pushed at its return"
    )
    source = peak_calls(world.source.count, back)
    size = float(shape.sidecars)
    for role, name, unit, mean, peak in (
        ("source", "calls while away", "1/s", tries, 0.0),
        ("source", "calls at the return", "1/s", source, source),
        ("relay", "calls, all relays", "1/s", calm, 0.0),
        ("sidecar", "time in force", "s", percentile(took, 0.5), max(took, default=0.0)),
        ("sidecar", "left behind", "sidecars", float(left), 0.0),
    ):
        sheet.add(role, name, unit, "sidecars", day, size, seed, mean, peak, note)
    return (
        f"{shape_name(shape)}, source away, seed {seed}: {tries:.1f} tries/s at it meanwhile, {calm:.0f}"
        f" watches/s at the"
        f" relays; at the return {source:.0f} calls in the dearest second, all at the newest {last:.2f} s"
        f" after, {left}"
        f" never; in force p50 {percentile(took, 0.5):.3f} max {max(took, default=0.0):.3f} s; all equal:"
        f" {world.equal()}"
    )


# --- by sidecars at one relay, and memory -------------------------------------------------------------


def by_watchers(
    sheet: Sheet, shape: Shape, seed: int, costs: Costs, counts: tuple[int, ...], seconds: float
) -> Iterator[str]:
    """One relay with the whole fleet's entries, and so many of the fleet's sidecars."""
    for count in counts:
        one = replace(shape, relays=1, watching=count, most_watchers=2 * count + 10)
        world = settled(one, seed, costs)
        world.changes(RATE * shape.sidecars / 20_000, seconds)
        began = world.now
        world.run(began + int(seconds * SECOND))
        place = world.relays[0]
        took = (place.count.cpu, place.watch.cpu)
        rates = [sum(took) / seconds, place.count.bytes_out / seconds, place.count.bytes_in / seconds]
        calls = len(place.count.calls) / seconds
        note = f"{told(costs, one)}; cores alone, with all entries of {shape.sidecars} sidecars"
        for name, unit, mean, peak in (
            ("core cpu", "part of a core", rates[0], 0.0),
            ("core bytes out", "bytes/s", rates[1], 0.0),
            ("core bytes in", "bytes/s", rates[2], 0.0),
            ("core calls", "1/s", calls, peak_calls(place.count, began)),
        ):
            sheet.add("relay", name, unit, "sidecars", "ordinary", count, seed, mean, peak, note)
        yield (
            f"one relay, {count} sidecars, seed {seed}: cpu {rates[0]:.2e} of a core, {calls:.1f} calls/s,"
            f" bytes/s out"
            f" {rates[1]:.0f} in {rates[2]:.0f}"
        )


def memory(sheet: Sheet, shape: Shape, counts: tuple[int, ...], log: Callable[[str], None]) -> None:
    """Bytes that Python's allocator counts, of cores alone."""
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
                Follower(f"m{at}", relays, at, SECOND, SECOND, history.version, entries_of(part))
            )
        each = tracemalloc.get_traced_memory()[0] / len(followers)
        followers.clear()
        note = "bytes of the core with its entries, as Python's allocator counts; cores alone"
        sheet.add("sidecar", "memory", "bytes", "sidecars", "ordinary", shape.sidecars, 1, each, 0.0, note)
        gc.collect()
        base = tracemalloc.get_traced_memory()[0]
        entries = entries_of(data)
        place = History(history.version, entries)
        follower = Follower("relay", ("source",), 1, SECOND, SECOND, history.version, entries)
        fan = Fanout(place, wire.encode_reply, 0, 4 * max(counts), 1000)
        gc.collect()
        empty = tracemalloc.get_traced_memory()[0] - base
        texts, there = (
            [f"a sidecar's entries {each:.0f} bytes", f"a relay's core with none watching {empty:.0f}"],
            0,
        )
        for count in counts:
            for at in range(there, count):
                status = Status(f"m{at}", Version(history.version.index, str(history.version.mark)))
                fan.step(
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
            there = count
            gc.collect()
            size = tracemalloc.get_traced_memory()[0] - base
            sheet.add("relay", "core memory", "bytes", "sidecars", "ordinary", count, 1, size, 0.0, note)
            texts.append(f"with {count} {size}")
        del follower
    finally:
        tracemalloc.stop()
    log("memory: " + ", ".join(texts))


def over_sockets(sheet: Sheet, found: list[fanout_sockets.Row], shape: Shape, seed: int) -> None:
    loads = f"load average {min(row.loadavg for row in found):.0f} to {max(row.loadavg for row in found):.0f}"
    note = (
        f"one real relay behind one real source on loopback, hollow watchers in one process, a watch waits"
        f" {shape.wait / SECOND:g} s, all entries of {shape.sidecars} sidecars, {RATE:.2f} changes a"
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
            sheet.add(
                role, name, unit, "sidecars", "ordinary", row.watchers, seed, mean, peak, note + more, False
            )


def measure(quick: bool, seeds: list[int], log: Callable[[str], None]) -> list[Figure]:
    """Takes some ten minutes a seed, quick some seconds, without sockets; under 1 GB."""
    sheet, shape, call = Sheet(), QUICK if quick else Shape(), 0.0
    if not quick:
        found = fanout_sockets.rows(shape, SOCKETS, shape.wait // 1000, WINDOW, RATE, seeds[0], log)
        over_sockets(sheet, found, shape, seeds[0])
        call = fanout_sockets.cost_a_call(found)
    half = round(call * SECOND / 2)  # one half to read a watch, one to answer it
    costs = calibrate(shape, call=half, reply=half)
    log(f"costs {costs}")
    for seed in seeds[:1] if quick else seeds:
        for rate, seconds in QUICK_RATES if quick else RATES:
            log(ordinary(sheet, shape, seed, costs, rate, seconds))
        for fleet in (shape,) if quick else FLEETS:
            log(restarted(sheet, fleet, seed, costs, True))
            log(source_away(sheet, fleet, seed, costs))
        if not quick:
            log(restarted(sheet, shape, seed, costs, False))
        counts, seconds = (QUICK_WATCHERS, 5.0) if quick else (WATCHERS, 60.0)
        for text in by_watchers(sheet, shape, seed, costs, counts, seconds):
            log(text)
    memory(sheet, shape, QUICK_WATCHERS if quick else WATCHERS, log)
    return list(sheet.found.values())


def main(arguments: list[str]) -> None:
    seeds = [int(one) for one in arguments[1].split(",")] if arguments[:1] == ["--seeds"] else [1]
    measure("--quick" in arguments, seeds, lambda text: print(text, flush=True))


if __name__ == "__main__":
    main(sys.argv[1:])
