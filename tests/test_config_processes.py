"""Configuration across real processes: a source, three relays and ten sidecars that serve clients throughout.
Relays are killed mid-run, the source is stopped and restarted, and an invalid version is rejected and rolled
back.

The checks are about states that are reached, not about speed. There is one run, and each test checks one part
of its results; the rig ends every process in any case.
"""

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
from lupinmill.lab.config_rig import ConfigRig, call_once
from lupinmill.protocol.http import Answer, Garbled, Request

SEED = 4_242
SIDECARS, RELAYS, CHANGES = 10, 3, 200
REQUEST_INTERVAL_S = 0.15  # mean seconds between two requests of one client
ANSWER_TIMEOUT_S = 15.0  # seconds after which a request counts as lost; ten times its hard limit
FLEET, SERVICE = Key("fleet", "settings"), Key("service/tender", "settings")
RUN_TIMEOUT_S = 150  # seconds for the whole run


@dataclass
class Results:
    """Results of the run."""

    answers: dict[str, int] = field(default_factory=dict)  # status by request
    lost: list[str] = field(default_factory=list)
    ran: Counter = field(default_factory=Counter)  # how often an endpoint answered each request
    denials: Counter = field(default_factory=Counter)  # status and text of requests that were not handled
    indexes: list[int] = field(default_factory=list)  # of the pushes, in order
    ends: dict[str, int] = field(default_factory=dict)  # by sidecar: the version in force at the end
    served_away: int = 0  # requests answered while the source was down
    refusals: dict[str, str] = field(default_factory=dict)
    status_text: str = ""  # output of `config status` while a version is rejected
    status_code: int = 0
    bad: int = 0
    after: dict[str, int] = field(default_factory=dict)  # version in force after the rollback
    extra: list[str] = field(default_factory=list)  # requests of a workload that a version added
    extra_after: list[str] = field(default_factory=list)  # and after a version that removed it
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


class Scenario:
    def __init__(self, rig: ConfigRig, results: Results) -> None:
        self.rig, self.results = rig, results
        self.rng = random.Random(SEED)
        self.going = True
        self.serial = 0

    def make_request(self, sidecar: str, workload: str) -> Request:
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

    async def send_request(self, sidecar: str, workload: str) -> str:
        """Returns the request's name."""
        request = self.make_request(sidecar, workload)
        name = request.header(b"req-id")
        try:
            answer = await call_once(self.rig.listens[sidecar], request, ANSWER_TIMEOUT_S)
        except (OSError, TimeoutError, Garbled) as error:
            self.results.lost.append(f"{name}: {type(error).__name__} {error}")
            return name
        assert name not in self.results.answers
        self.results.answers[name] = answer.status
        if answer.status != 200:
            self.results.denials[answer.status, answer.body[:80].decode("utf-8", "replace")] += 1
        return name

    async def client(self, sidecar: str) -> None:
        rng = random.Random(f"{SEED}-{sidecar}")
        while self.going:
            await self.send_request(sidecar, rng.choice(("view", "bid", "issue")))
            await anyio.sleep(rng.uniform(0.5, 1.5) * REQUEST_INTERVAL_S)

    def change(self, at: int) -> dict:
        """Changes one or several settings, for all sidecars or for one."""
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
        self.results.indexes.append(await self.rig.push(changes))

    async def changes(self) -> None:
        rig, rng = self.rig, self.rng
        for at in range(CHANGES):
            if at in (30, 90):  # right after a push, while it propagates
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
        """With the source stopped, sidecars and relays continue, and a relay that starts serves its stored
        version."""
        rig = self.rig
        await self.push({FLEET: {"instances": 9}})  # affects all, so all get the version
        await rig.at_version(self.results.indexes[-1])
        assert await rig.processes["source"].terminate(20.0) == 0
        before = len(self.results.answers)
        name = self.rng.choice(rig.relays)
        await self.kept_at(name, self.results.indexes[-1])
        await rig.kill(name)
        await rig.start(name)
        _, table = await rig.call(name, "GET", "/v1/status")
        assert table["index"] == self.results.indexes[-1], table
        while len(self.results.answers) < before + 5 * SIDECARS:
            await anyio.sleep(0.05)
        self.results.served_away = len(self.results.answers) - before
        await rig.start("source")

    async def kept_at(self, name: str, index: int) -> None:
        while (await self.rig.call(name, "GET", "/v1/status"))[1]["kept"] < index:
            await anyio.sleep(0.05)

    async def all_at(self, index: int) -> dict[str, int]:
        """By sidecar: the version that it reports in force itself."""
        await self.rig.at_version(index)
        results = {}
        for name in self.rig.sidecars:
            status, table = await self.rig.call(name, "GET", "/admin/config")
            assert status == 200, (status, table)
            results[name] = table["version"]
        return results

    async def run(self) -> None:
        rig, results = self.rig, self.results
        await self.push({SERVICE: {"workloads": {"extra": EXTRA}}})
        await rig.at_version(results.indexes[-1])
        async with anyio.create_task_group() as group:
            for name in rig.sidecars:
                group.start_soon(self.client, name)
            # On a busy machine the first may be denied.
            while 200 not in map(results.answers.get, results.extra):
                results.extra.append(await self.send_request(rig.sidecars[0], "extra"))
            await self.changes()
            await self.push({SERVICE: {"instances": 3}})  # removes the workload with the entry that added it
            results.ends = await self.all_at(results.indexes[-1])
            for name in rig.sidecars:
                results.extra_after.append(await self.send_request(name, "extra"))
            _, results.content = await rig.call("source", "GET", "/v1/entries")
            await self.bad_version()
            self.going = False
        for name in rig.relays:
            await self.kept_at(name, results.bad + 1)
            results.kept[name] = (await rig.call(name, "GET", "/v1/status"))[1]["index"]
        results.crashes = rig.crashes()

    async def bad_version(self) -> None:
        """A version that the source cannot validate: only a running sidecar knows which settings need a
        restart."""
        rig, results = self.rig, self.results
        good = results.indexes[-1]
        results.bad = await rig.push({FLEET: {"tier": 1, "instances": 4}})
        rows = await rig.wait_until(
            "all refuse it",
            lambda rows: all(
                rows.get(name, {"refused": 0})["refused"] == results.bad for name in rig.sidecars
            ),
        )
        results.refusals = {name: rows[name]["why"] for name in rig.sidecars}
        at = [one for name in ("source", *rig.relays) for one in ("--at", rig.operators[name])]
        results.status_code, results.status_text = await anyio.to_thread.run_sync(
            lambda: command("status", *at)
        )
        code, text = await anyio.to_thread.run_sync(
            lambda: command("rollback", str(good), "--at", rig.operators["source"])
        )
        assert code == 0, text
        results.after = await self.all_at(int(re.search(r"\d+", text)[0]))


EXTRA = {"contract-time-s": 0.5, "hard-limit-s": 1.0, "repeat": "repeatable"}


async def run_scenario(results: Results) -> None:
    ran = results.ran

    async def act(request):
        name = request.header(b"req-id")
        if name:
            ran[name] += 1
            await anyio.sleep(0.005)
        return Answer(200, [], b"done" if name else b"queue=0")

    stands, discovery = [Stand(act) for _ in range(3)], DiscoveryStand()
    with anyio.fail_after(RUN_TIMEOUT_S):
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
                    await Scenario(rig, results).run()
                except BaseException:
                    results.last = rig.last_lines()
                    print(f"seed {SEED}\n{results.last}")
                    raise
                results.last = rig.last_lines()
            group.cancel_scope.cancel()


@pytest.fixture(scope="module")
def results():
    outcome = Results()
    anyio.run(run_scenario, outcome)
    return outcome


def failure_context(results: Results) -> str:
    return f"seed {SEED}\n{results.last}"


def test_no_submission_is_lost_over_200_changes(results):
    assert len(results.indexes) >= CHANGES and results.indexes == sorted(set(results.indexes))
    assert not results.lost, (results.lost[:5], failure_context(results))
    assert len(results.answers) > 20 * SIDECARS
    handled = [name for name, status in results.answers.items() if status == 200]
    assert all(results.ran[name] >= 1 for name in handled)
    # Requests that must not run twice did not.
    assert not [
        name for name in results.answers if results.ran[name] > 1 and "-issue-" in name
    ], failure_context(results)
    # On a busy machine some may be denied; each still gets exactly one answer, and that says denied.
    assert {status for status, _ in results.denials} <= {502, 503}, results.denials
    served = Counter(name.rpartition("-")[0].rpartition("-")[0] for name in handled)
    assert all(served[f"sidecar-{at}"] >= 10 for at in range(SIDECARS)), (served, results.denials)


def test_all_end_at_the_newest_version_and_no_process_fell(results):
    newest = results.indexes[-1]
    assert set(results.ends.values()) == {newest} and len(results.ends) == SIDECARS, failure_context(results)
    assert not results.crashes, (results.crashes, failure_context(results))
    assert results.content["index"] == newest
    rows = {(row["scope"], row["kind"]): row["value"] for row in results.content["entries"]}
    assert rows["service/tender", "settings"] == {"instances": 3}


def test_they_serve_on_with_the_source_away(results):
    assert results.served_away >= 5 * SIDECARS


def test_a_workload_that_a_version_brings_is_served_and_denied_once_it_is_taken_away(results):
    assert results.answers[results.extra[-1]] == 200 and results.ran[results.extra[-1]] >= 1
    assert [results.answers[name] for name in results.extra_after] == [503] * SIDECARS, failure_context(
        results
    )
    assert not any(results.ran[name] for name in results.extra_after)


def test_a_bad_version_is_refused_by_all_with_its_key_told_and_rolled_back(results):
    assert set(results.refusals) == {f"sidecar-{at}" for at in range(SIDECARS)}
    assert all("settings.tier" in why for why in results.refusals.values()), results.refusals
    assert (
        results.status_code == 1 and f"in force at 0 of {SIDECARS} sidecars" in results.status_text
    ), results.status_text
    assert (
        f"sidecar-0 refuses {results.bad}, stays at " in results.status_text
        and "settings.tier" in results.status_text
    )
    assert (
        set(results.after.values()) == {results.bad + 1} and len(results.after) == SIDECARS
    ), failure_context(results)
    assert set(results.kept.values()) == {results.bad + 1}
