"""Configuration between real processes: a source, three relays and ten sidecars that serve clients meanwhile.
Relays are killed in the middle, the source is stopped and comes back, a bad version is refused and rolled
back.

Judges states that are reached, never how fast. All of it is one run, and each test looks at a part of what it
found; every process is ended by its rig, whatever happens."""

import asyncio
import random
import re
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass, field

import anyio
import pytest
from bed import DiscoveryStand, Stand, settings

from lupinmill.config.model import Key
from lupinmill.lab.config_rig import ConfigRig, ask
from lupinmill.protocol.http import Answer, Garbled, Request

SEED = 4_242
SIDECARS, RELAYS, CHANGES = 10, 3, 200
GAP = 0.15  # seconds between two submissions of one client
FINAL = 15.0  # seconds after which a submission has no answer: its hard limit is a tenth of that
FLEET, SERVICE = Key("fleet", "settings"), Key("service/tender", "settings")
ENTIRE = 150  # seconds after which the run has failed


@dataclass
class Found:
    """What the run came to."""

    answers: dict[str, int] = field(default_factory=dict)  # of each submission: the status
    lost: list[str] = field(default_factory=list)
    ran: Counter = field(default_factory=Counter)  # of each submission: how often an endpoint answered it
    denials: Counter = field(default_factory=Counter)  # status and text of those not handled
    indexes: list[int] = field(default_factory=list)  # of the pushes, in their order
    ends: dict[str, int] = field(default_factory=dict)  # of each sidecar: the version in force after all
    served_away: int = 0  # submissions answered while the source was away
    refusals: dict[str, str] = field(default_factory=dict)
    told: str = ""  # by `config status` while a version is refused
    told_code: int = 0
    bad: int = 0
    after: dict[str, int] = field(default_factory=dict)  # version in force after the rollback
    extra: list[str] = field(default_factory=list)  # submissions of a workload that a version brought, ...
    extra_after: list[str] = field(default_factory=list)  # ... and after one that takes it away
    content: dict = field(default_factory=dict)
    kept: dict[str, int] = field(default_factory=dict)
    crashes: list[str] = field(default_factory=list)
    last: str = ""


def command(*arguments: str) -> tuple[int, str]:
    done = subprocess.run(
        [sys.executable, "-m", "lupinmill", "config", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


class Play:
    def __init__(self, rig: ConfigRig, found: Found) -> None:
        self.rig, self.found = rig, found
        self.rng = random.Random(SEED)
        self.going = True
        self.serial = 0

    def submission(self, sidecar: str, workload: str) -> Request:
        self.serial += 1
        name = f"{sidecar}-{workload}-{self.serial}"
        headers = [
            (b"Host", b"app"),
            (b"Req-Id", name.encode()),
            (b"Req-Kind", workload.encode()),
            (b"Req-Deadline", b"1.0"),
            (b"Idempotency-Key", name.encode()),
        ]
        return Request(b"POST", f"/{workload}".encode(), headers)

    async def submit(self, sidecar: str, workload: str) -> str:
        """Its name."""
        request = self.submission(sidecar, workload)
        name = request.header(b"req-id")
        try:
            answer = await ask(self.rig.listens[sidecar], request, FINAL)
        except (OSError, TimeoutError, Garbled) as error:
            self.found.lost.append(f"{name}: {type(error).__name__} {error}")
            return name
        assert name not in self.found.answers
        self.found.answers[name] = answer.status
        if answer.status != 200:
            self.found.denials[answer.status, answer.body[:80].decode("utf-8", "replace")] += 1
        return name

    async def client(self, sidecar: str) -> None:
        rng = random.Random(f"{SEED}-{sidecar}")
        while self.going:
            await self.submit(sidecar, rng.choice(("view", "bid", "issue")))
            await anyio.sleep(rng.uniform(0.5, 1.5) * GAP)

    def change(self, at: int) -> dict:
        """Of one setting or of several at once, for all or for one."""
        rng = self.rng
        kind = at % 5
        if kind == 0:
            return {FLEET: {"limits": {"most-launches": rng.randint(2, 4)}, "instances": 10 + at}}
        if kind == 1:
            limit = round(rng.uniform(1.0, 2.0), 2)
            return {SERVICE: {"workloads": {"view": {"hard-limit-s": limit, "contract-time-s": 0.5}}}}
        if kind == 2:
            name = rng.choice(self.rig.sidecars)
            return {Key(f"sidecar/{name}", "settings"): {"limits": {"max-retry-after-s": 1.0 + at / 1_000}}}
        if kind == 3:
            value = rng.uniform(1, 9)
            return {SERVICE: {"workloads": {"bid": {"value": value}}}, FLEET: {"instances": 10 + at}}
        name = rng.choice(self.rig.sidecars)
        return {Key(f"sidecar/{name}", "settings"): None, Key("service/else", "settings"): {"instances": at}}

    async def push(self, changes: dict) -> None:
        self.found.indexes.append(await self.rig.push(changes))

    async def changes(self) -> None:
        rig, rng = self.rig, self.rng
        for at in range(CHANGES):
            if at in (30, 90):  # in the middle: right behind a push, while it goes out
                victim = rng.choice(rig.relays)
                await self.push(self.change(at))
                await rig.kill(victim)
                killed = victim
            elif at in (50, 110):
                await rig.start(killed)
                await self.push(self.change(at))
            elif at == 130:
                await self.source_away()
                await self.push(self.change(at))
            elif at == 160:  # all but one
                down = rng.sample(rig.relays, RELAYS - 1)
                await self.push(self.change(at))
                for name in down:
                    await rig.kill(name)
            elif at == 175:
                await asyncio.gather(*(rig.start(name) for name in down))
                await self.push(self.change(at))
            else:
                await self.push(self.change(at))
            await anyio.sleep(rng.uniform(0.0, 0.06))

    async def source_away(self) -> None:
        """Stopped; sidecars and relays go on, and a relay that starts now serves what it kept."""
        rig = self.rig
        await self.push({FLEET: {"instances": 9}})  # concerns all, so all are at it
        await rig.at_version(self.found.indexes[-1])
        assert await rig.processes["source"].leave(20.0) == 0
        before = len(self.found.answers)
        name = self.rng.choice(rig.relays)
        await self.kept_at(name, self.found.indexes[-1])
        await rig.kill(name)
        await rig.start(name)
        _, table = await rig.call(name, "GET", "/v1/status")
        assert table["index"] == self.found.indexes[-1], table
        while len(self.found.answers) < before + 5 * SIDECARS:
            await anyio.sleep(0.05)
        self.found.served_away = len(self.found.answers) - before
        await rig.start("source")

    async def kept_at(self, name: str, index: int) -> None:
        while (await self.rig.call(name, "GET", "/v1/status"))[1]["kept"] < index:
            await anyio.sleep(0.05)

    async def all_at(self, index: int) -> dict[str, int]:
        """What each sidecar itself says is in force."""
        await self.rig.at_version(index)
        found = {}
        for name in self.rig.sidecars:
            status, table = await self.rig.call(name, "GET", "/admin/config")
            assert status == 200, (status, table)
            found[name] = table["version"]
        return found

    async def run(self) -> None:
        rig, found = self.rig, self.found
        await self.push({SERVICE: {"workloads": {"extra": EXTRA}}})
        await rig.at_version(found.indexes[-1])
        async with anyio.create_task_group() as group:
            for name in rig.sidecars:
                group.start_soon(self.client, name)
            while 200 not in map(found.answers.get, found.extra):  # a busy machine may have the first denied
                found.extra.append(await self.submit(rig.sidecars[0], "extra"))
            await self.changes()
            await self.push({SERVICE: {"instances": 3}})  # the workload goes with what brought it
            found.ends = await self.all_at(found.indexes[-1])
            for name in rig.sidecars:
                found.extra_after.append(await self.submit(name, "extra"))
            _, found.content = await rig.call("source", "GET", "/v1/entries")
            await self.bad_version()
            self.going = False
        for name in rig.relays:
            await self.kept_at(name, found.bad + 1)
            found.kept[name] = (await rig.call(name, "GET", "/v1/status"))[1]["index"]
        found.crashes = rig.crashes()

    async def bad_version(self) -> None:
        """One that the source can't judge: what wants a new start, only a running process knows."""
        rig, found = self.rig, self.found
        good = found.indexes[-1]
        found.bad = await rig.push({FLEET: {"tier": 1, "instances": 4}})
        rows = await rig.until(
            "all refuse it",
            lambda rows: all(rows.get(name, {"refused": 0})["refused"] == found.bad for name in rig.sidecars),
        )
        found.refusals = {name: rows[name]["why"] for name in rig.sidecars}
        at = [one for name in ("source", *rig.relays) for one in ("--at", rig.operators[name])]
        found.told_code, found.told = await anyio.to_thread.run_sync(lambda: command("status", *at))
        code, text = await anyio.to_thread.run_sync(
            lambda: command("rollback", str(good), "--at", rig.operators["source"])
        )
        assert code == 0, text
        found.after = await self.all_at(int(re.search(r"\d+", text)[0]))


EXTRA = {"contract-time-s": 0.5, "hard-limit-s": 1.0, "repeat": "repeatable"}


async def play(found: Found) -> None:
    ran = found.ran

    async def act(request):
        name = request.header(b"req-id")
        if name:
            ran[name] += 1
            await anyio.sleep(0.005)
        return Answer(200, [], b"done" if name else b"queue=0")

    stands, discovery = [Stand(act) for _ in range(3)], DiscoveryStand()
    with anyio.fail_after(ENTIRE):
        async with anyio.create_task_group() as group:
            for stand in (*stands, discovery):
                await group.start(stand.run)
            discovery.rows = [
                {
                    "name": f"e{at}", "address": stand.address, "zone": "z", "type": "k", "group": at % 2,
                    "status": "SERVING", "weight": 1.0, "since_ms": 0,
                }
                for at, stand in enumerate(stands)
            ]  # fmt: skip

            def told(name: str) -> dict:
                return {
                    "discovery": discovery.address,
                    "seed": f"{SEED + int(name.rpartition('-')[2]):x}",
                    "limits": {"sockets": 256, "memory_mb": 64},
                    "known": {"index": 1, "snapshot": True, "endpoints": discovery.rows},
                    "settings": settings(instances=SIDECARS),
                }

            rig = ConfigRig(told, RELAYS, SIDECARS, {"sidecars": SIDECARS, "calls_per_s": 100.0})
            async with rig:
                try:
                    await Play(rig, found).run()
                except BaseException:
                    found.last = rig.last_lines()
                    print(f"seed {SEED}\n{found.last}")
                    raise
                found.last = rig.last_lines()
            group.cancel_scope.cancel()


@pytest.fixture(scope="module")
def found():
    outcome = Found()
    anyio.run(play, outcome)
    return outcome


def told_of(found: Found) -> str:
    return f"seed {SEED}\n{found.last}"


def test_no_submission_is_lost_over_200_changes(found):
    assert len(found.indexes) >= CHANGES and found.indexes == sorted(set(found.indexes))
    assert not found.lost, (found.lost[:5], told_of(found))
    assert len(found.answers) > 20 * SIDECARS
    handled = [name for name, status in found.answers.items() if status == 200]
    assert all(found.ran[name] >= 1 for name in handled)
    # What must not run twice did not.
    assert not [name for name in found.answers if found.ran[name] > 1 and "-issue-" in name], told_of(found)
    # A busy machine may have some denied: they have their one answer, which says that it is a denial.
    assert {status for status, _ in found.denials} <= {502, 503}, found.denials
    served = Counter(name.rpartition("-")[0].rpartition("-")[0] for name in handled)
    assert all(served[f"sidecar-{at}"] >= 10 for at in range(SIDECARS)), (served, found.denials)


def test_all_end_at_the_newest_version_and_no_process_fell(found):
    newest = found.indexes[-1]
    assert set(found.ends.values()) == {newest} and len(found.ends) == SIDECARS, told_of(found)
    assert not found.crashes, (found.crashes, told_of(found))
    assert found.content["index"] == newest
    rows = {(row["scope"], row["kind"]): row["value"] for row in found.content["entries"]}
    assert rows["service/tender", "settings"] == {"instances": 3}


def test_they_serve_on_with_the_source_away(found):
    assert found.served_away >= 5 * SIDECARS


def test_a_workload_that_a_version_brings_is_served_and_denied_once_it_is_taken_away(found):
    assert found.answers[found.extra[-1]] == 200 and found.ran[found.extra[-1]] >= 1
    assert [found.answers[name] for name in found.extra_after] == [503] * SIDECARS, told_of(found)
    assert not any(found.ran[name] for name in found.extra_after)


def test_a_bad_version_is_refused_by_all_with_its_key_told_and_rolled_back(found):
    assert set(found.refusals) == {f"sidecar-{at}" for at in range(SIDECARS)}
    assert all("settings.tier" in why for why in found.refusals.values()), found.refusals
    assert found.told_code == 1 and f"in force at 0 of {SIDECARS} sidecars" in found.told, found.told
    assert f"sidecar-0 refuses {found.bad}, stays at " in found.told and "settings.tier" in found.told
    assert set(found.after.values()) == {found.bad + 1} and len(found.after) == SIDECARS, told_of(found)
    assert set(found.kept.values()) == {found.bad + 1}
