"""Tests of the configuration distribution measurements. In virtual time: counters match the events, all
sidecars end with the source's entries, and faults injected into the production state machines show in the
figures. Over real sockets: a relay and its watchers reach one version, and all processes end. No time is
checked."""

import asyncio
import os
import random
import time
from collections import Counter

import pytest

from lupinmill.config.fanout import Fanout
from lupinmill.config.follower import Follower
from lupinmill.config.history import History
from lupinmill.config.model import Key
from lupinmill.lab.scale import fanout, fanout_sockets
from lupinmill.lab.scale.fanout_shape import (
    SECOND,
    Costs,
    FleetShape,
    draw_change,
    initial_entries,
    scopes_of_sidecar,
)
from lupinmill.lab.scale.fanout_world import HEAD, World, sum_counters

SHAPE = FleetShape(120, services=6, zones=4, regions=2, relays=4, wait=4 * SECOND)
COSTS = Costs(replace=2_000, keep=3_000)


def warmed_up_world(seed=1, shape=SHAPE):
    world = World(shape, seed, COSTS)
    world.run(world.now + shape.wait)
    world.reset_counters()
    return world


def apply_changes(world, rate=2.0, seconds=10.0):
    """Applies changes, then lets all of them arrive. Returns the number of pushed changes by scope."""
    pushes = Counter()
    push = world.source.history.push

    def counted(changes):
        before = world.source.history.version
        version = push(changes)
        if version != before:
            pushes.update(key.scope for key in changes)
        return version

    world.source.history.push = counted
    world.schedule_changes(rate, seconds)
    world.run(world.now + int(seconds * SECOND) + 2 * world.shape.wait)
    return pushes


def test_each_change_is_in_force_at_all_whom_it_concerns_and_counted_once():
    world = warmed_up_world()
    pushes = apply_changes(world)
    concerned = sum(pushes[scope] for one in world.sidecars for scope in one.scopes)
    assert world.pushed == sum(pushes.values()) > 10
    assert len(world.apply_delays) == concerned > world.pushed and world.pending_changes() == 0
    assert world.all_consistent() and world.count_behind(
        max(world.source.history.version.index - 1, 0)
    ) < len(world.sidecars)
    assert min(world.apply_delays) >= COSTS.keep + COSTS.force


def test_calls_and_bytes_on_both_sides_are_the_same_but_for_what_is_under_way():
    world = World(SHAPE, 1, COSTS)
    apply_changes(world, seconds=15.0)
    relays, sidecars = sum_counters(server.count for server in world.relays), set(world.sidecars)
    coming = [args for _, _, do, args in world.heap if do.__name__ == "arrive" and args[1] in sidecars]
    going = [args for _, _, do, args in world.heap if do.__name__ == "answered" and do.__self__ in sidecars]
    assert sum(one.calls for one in sidecars) == len(relays.calls) + len(coming) > 3 * len(sidecars)
    assert sum(one.bytes_out for one in sidecars) == relays.bytes_in + sum(args[-1] for args in coming)
    sizes = [len(args[-1]) + len(HEAD % len(args[-1])) for args in going]
    assert relays.bytes_out == sum(one.bytes_in for one in sidecars) + sum(sizes)
    assert len(world.open_calls) <= len(sidecars) + len(world.relays)  # each has at most one open call
    assert not relays.refused and not relays.rejected and not relays.snapshots


def test_one_seed_is_one_day_and_a_sidecar_that_does_all_its_work_hears_what_the_others_hear():
    found = [(list(one.apply_delays), one.pushed, sum_counters(p.count for p in one.relays).bytes_out)
             for one in (warmed_up_world(), warmed_up_world(), warmed_up_world(2))
             if apply_changes(one)]  # fmt: skip
    assert found[0] == found[1] != found[2]
    world = warmed_up_world()
    apply_changes(world)
    by_service = {}
    for one in world.sidecars:
        key = (one.scopes[3], "settings")
        by_service.setdefault(one.scopes[3], set()).add(str(one.follower.entries.get(Key(*key))))
    assert any(one.sampled for one in world.sidecars) and not all(one.sampled for one in world.sidecars)
    assert all(len(values) == 1 for values in by_service.values())


@pytest.mark.parametrize("kept", [True, False])
def test_after_all_relays_restart_all_are_at_the_newest_and_calls_that_found_none_are_told_apart(kept):
    world, figure_table = warmed_up_world(), fanout.FigureTable()
    text = fanout.measure_relay_restart(figure_table, SHAPE, 1, COSTS, kept)
    assert "all equal: True" in text and " 0 never" in text
    name = "relays restart" if kept else "relays restart without their files"
    points = {key[1]: figure.points[0].mean for key, figure in figure_table.figures.items() if key[2] == name}
    assert points["left behind"] == 0 and points["refused while down, all relays"] > 0
    assert points["calls, all relays"] >= points["calls"] > 0
    assert points["time until all are at the newest"] >= SHAPE.restart_time / SECOND
    assert world.all_consistent()


def test_with_the_source_away_relays_go_on_and_a_change_at_its_return_reaches_everyone(monkeypatch):
    monkeypatch.setattr(fanout, "SOURCE_OUTAGE_S", 12.0)
    figure_table = fanout.FigureTable()
    text = fanout.measure_source_outage(figure_table, SHAPE, 1, COSTS)
    assert "all equal: True" in text and " 0 never" in text
    points = {key[:2]: figure.points[0] for key, figure in figure_table.figures.items()}
    assert points["source", "calls while away"].mean > 0 and points["relay", "calls, all relays"].mean > 0
    assert points["sidecar", "time in force"].peak > 0


# --- injected faults -------------------------------------------------------------------------------


def test_a_relay_that_wakes_nobody_is_seen_in_the_time_in_force(monkeypatch):
    good = warmed_up_world()
    apply_changes(good)

    def wake_no_watch(self, now, note, orders):
        self.cache.clear()

    monkeypatch.setattr(Fanout, "version_available", wake_no_watch)
    world = warmed_up_world()
    apply_changes(world)
    assert (
        sorted(world.apply_delays)[len(world.apply_delays) // 2]
        > 3 * sorted(good.apply_delays)[len(good.apply_delays) // 2]
    )


def test_an_answer_that_leaves_a_change_out_is_seen_as_unequal(monkeypatch):
    reply = History.reply

    def short(self, since, scopes, spread_ms=0):
        found = reply(self, since, scopes, spread_ms)
        if not found.is_snapshot and scopes:
            found.entries.pop(
                next((key for key in found.entries if key.scope.startswith("sidecar/")), None), None
            )
        return found

    monkeypatch.setattr(History, "reply", short)
    world = warmed_up_world()
    apply_changes(world, rate=6.0)
    assert not world.all_consistent()


def test_a_follower_that_takes_nothing_more_lags(monkeypatch):
    world = warmed_up_world()
    monkeypatch.setattr(Follower, "offer_version", lambda self, now: None)
    apply_changes(world)
    assert world.pending_changes() > 0


# --- parts ------------------------------------------------------------------------------------------


def test_drawn_changes_are_mostly_of_one_service_and_rarely_of_all():
    random_source = random.Random(1)
    drawn = Counter(
        scope.split("/")[0] for _ in range(4000) for scope, _ in draw_change(FleetShape(), random_source)
    )
    assert drawn["service"] > drawn["sidecar"] > drawn["zone"] > drawn["region"] + drawn["fleet"]
    entries = initial_entries(SHAPE, random_source)
    scopes = {scope for at in range(SHAPE.sidecars) for scope in scopes_of_sidecar(SHAPE, at)}
    assert {key.scope for key in entries} <= scopes
    assert sum(key.kind.startswith("member/") for key in entries) == SHAPE.sidecars


def test_the_quick_measure_has_each_role_and_names_what_it_was_told():
    said = []
    figures = fanout.measure(True, [3, 4], said.append)
    by_name = {(figure.role, figure.name, figure.day): figure for figure in figures}
    for key in (("sidecar", "time in force", "ordinary"), ("sidecar", "cpu", "ordinary"),
                ("relay", "core cpu", "ordinary"), ("relay", "core memory", "ordinary"),
                ("relay", "calls", "relays restart"),
                ("source", "calls at the return", "source away")):  # fmt: skip
        assert by_name[key].points and {point.seed for point in by_name[key].points} <= {1, 3}
    memory = [point.mean for point in by_name["relay", "core memory", "ordinary"].points]
    assert memory == sorted(memory) and memory[0] > 0
    assert "told" in by_name["sidecar", "time in force", "ordinary"].note
    assert not any("equal: False" in text for text in said)


def test_watchers_of_a_real_relay_come_to_one_version_and_nothing_outlives_them():
    shape = FleetShape(60, services=3, zones=2, regions=1)
    children = []
    started = fanout_sockets.Child.start

    async def start(self, *arguments):
        await started(self, *arguments)
        children.append(self.process.pid)

    fanout_sockets.Child.start = start
    try:
        row = asyncio.run(fanout_sockets.measure_one(shape, 12, 1500, 2.0, 3.0, 1))
    finally:
        fanout_sockets.Child.start = started
    assert row.watchers == 12 and row.calls > 0 and row.bytes_in > 0 and row.bytes_out > 0
    assert len(row.took) >= 12 and min(row.took) > 0 and row.relay_memory > 2**20
    assert children
    limit = time.monotonic() + 5
    for pid in children:
        with pytest.raises(ProcessLookupError):
            while time.monotonic() < limit:
                os.kill(pid, 0)
                time.sleep(0.05)
