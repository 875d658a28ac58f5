"""Nine real sidecars in three zones, with stand-in endpoints, clients under load and injected faults: zones
that fail or are partitioned, the lease holder killed or paused, restarts, operators' drains.

Checks the states that are reached, with generous time limits, and the referee's rules, but not how fast. The
rig ends all of its processes, whatever happens."""

import asyncio
import os
import subprocess

import pytest

from lupinmill.lab.zones_sockets import ZoneRig

MAX_CONCURRENT_RIGS = 2
SCENARIOS = {}
SITE_CHANGES = {"sidecars": {"count": 9}, "load": {"rate": 50.0}}


def scenario(check):
    SCENARIOS[check.__name__] = check
    return check


async def play(check, slots: asyncio.Semaphore, start_lock: asyncio.Lock) -> None:
    async with slots:
        rig = ZoneRig(check.__name__, sum(map(ord, check.__name__)), **SITE_CHANGES)
        async with start_lock:
            await rig.__aenter__()
        try:
            await rig.wait_for_holder()
            await check(rig)
            rig.assert_invariants()
        finally:
            await rig.close(True)


@pytest.fixture(scope="module")
def outcomes():
    async def all_of_them():
        slots, start_lock = asyncio.Semaphore(MAX_CONCURRENT_RIGS), asyncio.Lock()
        plays = [play(check, slots, start_lock) for check in SCENARIOS.values()]
        return await asyncio.gather(*plays, return_exceptions=True)

    return dict(zip(SCENARIOS, asyncio.run(all_of_them())))


# --- helpers -----------------------------------------------------------------------------------------------


def largest_home_share(zone: str, table: dict) -> float:
    """The largest share of any of the zone's workloads that stays in the zone."""
    return max(shares.get(zone, 0.0) for shares in table["plan"][zone].values())


async def wait_for_one_plan(rig: ZoneRig, names: list[str], version: int = 0) -> int:
    """Waits until all apply the same plan, of this version or a later one, and its holder confirms it."""
    while True:
        tables = await rig.wait_until(
            f"plan {version} or later is in force",
            names,
            lambda t, minimum=version: t["version"] >= minimum and t["trust"] == 1,
        )
        if len({table["version"] for table in tables}) == 1:
            return tables[0]["version"]
        version = max(table["version"] for table in tables)


async def wait_until_b_is_left(rig: ZoneRig, names: list[str]) -> int:
    await rig.wait_until("the plan leaves b", names, lambda t: largest_home_share("b", t) < 0.5)
    return await wait_for_one_plan(rig, names)


def share_away(flows: dict, zone: str) -> float:
    own = sum(count for (of, _), count in flows.items() if of == zone)
    return sum(count for (of, to), count in flows.items() if of == zone != to) / max(1, own)


def c_alone_takes_of_b(table: dict) -> bool:
    return any(shares.get("c", 0) > 0 and not shares.get("a") for shares in table["plan"]["b"].values())


async def assert_accepted(rig: ZoneRig, name: str, path: str) -> None:
    status, text = await rig.call(name, path, "PUT")
    assert status == 200, (path, status, text)


# --- the scenarios -----------------------------------------------------------------------------------------


@scenario
async def a_zone_is_lost_and_comes_back(rig: ZoneRig):
    """Traffic stays in its zone while all zones are healthy, leaves the lost zone by the plan, and returns by
    a trial once the zone's endpoints are back."""
    calm = await rig.count_attempts(3)
    assert all(share_away(calm, zone) < 0.25 for zone in "abc"), calm
    rig.fail_zone("b")
    await wait_until_b_is_left(rig, rig.alive())
    lost = await rig.count_attempts()
    assert share_away(lost, "b") > 0.9, lost
    rig.revive_zone("b")
    await rig.wait_until("b is tried again", rig.alive(), lambda t: largest_home_share("b", t) > 0.04)
    await rig.wait_until("b is mostly home", rig.alive(), lambda t: largest_home_share("b", t) > 0.3)


@scenario
async def the_holder_is_killed_while_a_zone_is_lost(rig: ZoneRig):
    """Another member continues from the plan in force under a higher epoch, and does not send traffic back to
    the lost zone."""
    rig.fail_zone("b")
    before = await wait_until_b_is_left(rig, rig.alive())
    holder = await rig.wait_for_holder()
    epochs = len(rig.run.lease_epochs)
    rig.process(holder).kill()
    successor = await rig.wait_for_holder(holder)
    assert successor != holder and len(rig.run.lease_epochs) > epochs
    assert await wait_for_one_plan(rig, rig.alive(), before) >= before
    tables = await rig.wait_until("b stays left", rig.alive(), lambda t: largest_home_share("b", t) < 0.5)
    assert all(table["holder"] == successor for table in tables)
    await rig.restart(holder)
    await wait_for_one_plan(rig, rig.alive(), before)
    rig.revive_zone("b")
    await rig.wait_until("b is tried again", rig.alive(), lambda t: largest_home_share("b", t) > 0.04)


@scenario
async def the_holder_is_stopped_and_goes_on_with_an_old_plan(rig: ZoneRig):
    """What the paused holder decides under its old epoch is not applied once another member holds the
    lease."""
    holder = await rig.wait_for_holder()
    rig.pause(holder)
    successor = await rig.wait_for_holder(holder)
    others = [name for name in rig.alive() if name != holder]
    rig.fail_zone("b")
    version = await wait_until_b_is_left(rig, others)
    rig.resume(holder)
    await wait_for_one_plan(rig, rig.alive(), version)
    table = await rig.zones_status(holder)
    assert (
        largest_home_share("b", table) < 0.5
        and rig.run.lease_epochs[max(rig.run.lease_epochs)] != holder
        or table["holder"] == holder
    )
    assert successor in rig.run.lease_epochs.values()
    assert sorted(rig.run.lease_epochs) == list(rig.run.lease_epochs), "epochs only grow"


@scenario
async def a_zone_is_cut_off_from_the_others(rig: ZoneRig):
    """Each side of the partition sees the other as dead: both keep their traffic in their own zones, and
    nothing is decided for the zone that sends no reports."""
    inside, outside = rig.sidecars_in("c"), rig.sidecars_in("a", "b")
    await wait_for_one_plan(rig, rig.alive(), 1)
    rig.set_partition("c", True)
    await rig.wait_until("nobody confirms the plan inside", inside, lambda t: not t["holder"])
    await rig.wait_until("one holds it outside", outside, lambda t: t["holder"] in outside)
    rig.fail_zone("b")
    await rig.wait_until("the plan leaves b", outside, lambda t: largest_home_share("b", t) < 0.5)
    tables = await rig.wait_until("c is left alone", outside, lambda t: largest_home_share("c", t) > 0.9)
    assert all(
        shares.get("c", 0.0) == 0 for t in tables for shares in t["plan"]["b"].values()
    ), "out of reach"
    flows = await rig.count_attempts()
    assert share_away(flows, "c") < 0.1 and flows.get(("c", "c"), 0) > 0, flows
    rig.set_partition("c", False)
    await rig.wait_until("all know one holder", rig.alive(), lambda t: bool(t["holder"]))
    await wait_for_one_plan(rig, rig.alive())
    rig.fail_zone("a")  # a is nearer to b than c, and may have room for all of it
    await rig.wait_until("c takes of b in place of a", rig.alive(), c_alone_takes_of_b)


@scenario
async def nothing_comes_out_of_one_zone(rig: ZoneRig):
    """A one-way partition: c receives from all, and nobody receives from c. Clients are served, and plans are
    still made."""
    outside = rig.sidecars_in("a", "b")
    rig.set_partition("c", True, (True, False))
    await rig.wait_until("one holds the plan outside", outside, lambda t: t["holder"] in outside)
    flows = await rig.count_attempts()
    assert flows.get(("c", "c"), 0) > 0 and share_away(flows, "c") < 0.1, flows
    rig.set_partition("c", False, (True, False))
    await wait_for_one_plan(rig, rig.alive())


@scenario
async def operators_drain_a_zone(rig: ZoneRig):
    """A drain may be requested at any sidecar and is reported as done only once a majority has accepted it.
    It outlives the lease holder, and a drain of the last good zone is refused."""
    holder = await rig.wait_for_holder()
    asked = next(name for name in rig.alive() if name != holder)
    await assert_accepted(rig, asked, "zones/drain?zone=b")
    rig.process(holder).kill()
    await rig.wait_for_holder(holder)
    await rig.wait_until(
        "the drain stands", rig.alive(), lambda t: t["drained"] == ["b"] and largest_home_share("b", t) < 0.5
    )
    for zone in "ac":
        status, text = await rig.call(asked, f"zones/drain?zone={zone}", "PUT")
    assert status == 409 and b"last good zone" in text, (status, text)
    assert (await rig.call(asked, "zones/drain?zone=moon", "PUT"))[0] == 409
    await assert_accepted(rig, asked, "zones/restore?zone=a")
    await assert_accepted(rig, asked, "zones/restore?zone=b")
    await rig.wait_until("nothing is drained", rig.alive(), lambda t: t["drained"] == [])
    await assert_accepted(rig, asked, "zones/pin")
    await rig.wait_until("it is pinned", rig.alive(), lambda t: t["pinned"])
    await assert_accepted(rig, asked, "zones/unpin")
    await rig.restart(holder)
    await wait_for_one_plan(rig, rig.alive())


@scenario
async def most_sidecars_restart_while_a_zone_is_lost(rig: ZoneRig):
    """Six of nine restart at once, electors among them: the decided plan survives, and the restarted sidecars
    apply it."""
    rig.fail_zone("b")
    before = await wait_until_b_is_left(rig, rig.alive())
    killed = [name for name in rig.alive() if int(name[1:]) % 3 != 2]
    for name in killed:
        rig.process(name).kill()
    await asyncio.gather(*(rig.restart(name) for name in killed))
    await rig.wait_for_holder()
    assert await wait_for_one_plan(rig, rig.alive(), before) >= before
    await rig.wait_until("b stays left", rig.alive(), lambda t: largest_home_share("b", t) < 0.5)


@scenario
async def a_zone_is_lost_with_the_sidecars_in_it(rig: ZoneRig):
    """The lease holder is among them. The sidecars outside continue, and old reports of the dead ones do not
    count."""
    holder = await rig.wait_for_holder()
    zone = rig.run.net.zone_of[holder]
    rig.fail_zone(zone)
    for name in rig.sidecars_in(zone):
        rig.process(name).kill()
    successor = await rig.wait_for_holder(*rig.sidecars_in(zone))
    assert successor not in rig.sidecars_in(zone)
    await wait_for_one_plan(rig, rig.alive())
    flows = await rig.count_attempts()
    others = [z for z in "abc" if z != zone]
    assert all(flows.get((z, z), 0) > 0 and flows.get((z, zone), 0) == 0 for z in others), flows
    await rig.wait_for_log("caps are shared out by six", rig.alive(), "6 sidecars share the endpoints")
    rig.revive_zone(zone)
    await asyncio.gather(*(rig.restart(name) for name in rig.sidecars_in(zone)))
    await wait_for_one_plan(rig, rig.alive())
    outside = [name for name in rig.alive() if name not in rig.sidecars_in(zone)]
    await rig.wait_for_log("and by nine again", outside, "9 sidecars share the endpoints")


@pytest.mark.parametrize("name", list(SCENARIOS))
def test_nine_processes_in_three_zones(outcomes, name):
    if outcomes[name] is not None:
        raise outcomes[name]


def test_no_process_is_left(outcomes):
    command = ["ps", "-o", "args=", "--ppid", str(os.getpid())]
    own = subprocess.run(command, capture_output=True, text=True, check=False).stdout
    assert "ps -o args=" in own and "-m lupinmill" not in own
