"""Time that one sidecar adds to a call: through it against straight, by turns in one run.

The load is an open loop of its own process: Poisson arrivals from a told seed, kept connections, latency
from when a call was due, so that a late load or a full sidecar is never hidden. Endpoints answer at once,
in another process. A third arm goes through `bare`, which only passes bytes on: what one more process in
the path costs in this language, before anything is decided or checked. Owns its processes and folder;
none outlives a run."""

from __future__ import annotations

import asyncio
import os
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from lupinmill.lab.processes import ROOT, Process
from lupinmill.lab.scale import reference
from lupinmill.lab.scale.load import Block, Told
from lupinmill.lab.scale.measured import Added, Figure, Point

RATES = (285.0, 570.0, 1140.0, 2280.0)  # calls a second: the target's mean, and up to its skew of eight
ARMS = ("straight", "through", "bare")
ENDPOINTS = 24  # of a service of the target: 20,000 by 840
BLOCK, PAIRS, WARM = 2.0, 8, 2.0  # seconds, turns at each rate, seconds before them
QUICK_BLOCK, QUICK_PAIRS, QUICK_WARM = 0.5, 2, 0.3
REFERENCE = 100  # turns of the reference loop between two blocks
WAITED = 0.1  # waiting for a core, by its own time on it, from which on a figure counts as disturbed
CARRIED = 0.99  # part of the calls handled from which on a rate counts as carried
LIMIT = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


@dataclass(slots=True)
class Spent:
    """Of the sidecar, since it began: seconds of its core as user and as system, and seconds that it waited
    for a core while it could have run, which other load on the machine causes."""

    user: float = 0.0
    system: float = 0.0
    waited: float = 0.0

    def less(self, other: Spent) -> Spent:
        return Spent(self.user - other.user, self.system - other.system, self.waited - other.waited)

    def plus(self, other: Spent) -> Spent:
        return Spent(self.user + other.user, self.system + other.system, self.waited + other.waited)


def spent(pid: int) -> Spent:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    tick = os.sysconf("SC_CLK_TCK")
    try:
        waited = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError):
        waited = 0.0  # a kernel without it
    return Spent(int(fields[11]) / tick, int(fields[12]) / tick, waited)


class Child:
    """A process of this file or of `flood`, told by lines."""

    def __init__(self) -> None:
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, *arguments: str) -> None:
        environ = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        environ["PYTHONPATH"] = os.pathsep.join(filter(None, [str(ROOT), environ.get("PYTHONPATH")]))
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *arguments, stdin=pipe, stdout=pipe, env=environ
        )

    def say(self, line: bytes) -> None:
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(line + b"\n")

    async def hear(self) -> bytes:
        assert self.process is not None and self.process.stdout is not None
        line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError("a process of the rig ended")
        return line

    async def end(self) -> None:
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()


def told(addresses: list[str], seed: int) -> dict[str, Any]:
    """The platform's settings for the sidecar."""
    rows = [
        {
            "name": f"e{at}", "address": address, "zone": "z", "type": "k", "group": at // 2,
            "status": "SERVING", "weight": 1.0, "since_ms": 0,
        }
        for at, address in enumerate(addresses)
    ]  # fmt: skip
    workload = {
        "name": "view", "contract-time-s": 0.6, "hard-limit-s": 1.5, "value": 2.0, "overdue-value": 0.25,
        "window-s": 5.0, "repeat": "repeatable",
    }  # fmt: skip
    limits = {
        "most-launches": 4, "may-duplicate": True, "cancel": True, "probes": True, "retry-after": True,
        "max-retry-after-s": 1.5, "conn-idle-s": 30.0, "connect-timeout-s": 0.2,
    }  # fmt: skip
    return {
        "name": "s", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": f"{seed:x}",
        "limits": LIMIT,
        "known": {"index": 1, "snapshot": True, "endpoints": rows},
        "settings": {
            "tier": 0, "instances": 1, "discovery": "ask", "round-s": 0.005, "limits": limits,
            "workloads": [workload], "load-report": {"how": "on_probe", "fields": ["waiting", "cpu"]},
            "invariants": {"ask-within-s": 10.0, "cold-share": 0.3, "cold-s": 5.0},
        },
    }  # fmt: skip


@dataclass(slots=True)
class Turn:
    """One block as it came, with what the sidecar spent meanwhile and the machine's load before it."""

    rate: float
    arm: str
    told: Told
    spent: Spent
    loadavg: float
    reference: float = 0.0  # seconds of processor time for a turn of the reference loop, just before
    round: int = 0  # those of one round came one after the other, with the same arrivals


class Rig:
    """Endpoints, one real sidecar, the bare hop and the load. `close` ends them, whatever ended the run."""

    def __init__(self, seed: int, endpoints: int = ENDPOINTS) -> None:
        self.seed, self.count = seed, endpoints
        self.folder = tempfile.TemporaryDirectory(prefix="lupinmill-added-")
        self.endpoints, self.bare, self.load = Child(), Child(), Child()
        self.addresses: dict[str, list[str]] = {}
        self.lagged = 0
        self.sidecar: Process | None = None

    async def __aenter__(self) -> Rig:
        try:
            await self.endpoints.start("lupinmill.lab.flood")
            self.endpoints.say(b"serve %d" % self.count)
            straight = msgspec.json.decode(await self.endpoints.hear(), type=list[str])
            self.sidecar = Process(
                "s", 0, Path(self.folder.name), lambda _: told(straight, self.seed), self.heard
            )
            await self.sidecar.start()
            await self.bare.start("lupinmill.lab.scale.load", *straight)
            await self.load.start("lupinmill.lab.scale.load")
            hop = (await self.bare.hear()).decode().strip()
            self.addresses = {"straight": straight, "through": [self.sidecar.address], "bare": [hop]}
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for part in (self.load, self.bare, self.sidecar, self.endpoints):
            if part is not None:
                await part.end()
        self.folder.cleanup()

    def heard(self, _: Process, event: dict[str, Any]) -> None:
        self.lagged += event.get("event") == "lagging"

    async def turn(self, arm: str, rate: float, seconds: float, seed: int) -> Turn:
        assert self.sidecar is not None and self.sidecar.process is not None
        pid = self.sidecar.process.pid
        turn = reference_turn()
        before, load = spent(pid), os.getloadavg()[0]
        self.load.say(msgspec.json.encode(Block(self.addresses[arm], rate, seconds, seed)))
        came = msgspec.json.decode(await self.load.hear(), type=Told)
        return Turn(rate, arm, came, spent(pid).less(before), load, turn)


def reference_turn() -> float:
    """What one turn takes just now: this machine is up to three times slower where it is full."""
    began = time.thread_time()
    for _ in range(REFERENCE):
        reference.turn()
    return (time.thread_time() - began) / REFERENCE


async def turns(seed: int, rates: tuple[float, ...], seconds: float, pairs: int, warm: float) -> list[Turn]:
    """All arms by turns, in an order drawn anew each time, at each rate."""
    chance, found = random.Random(f"added {seed}"), []
    async with Rig(seed) as rig:
        for rate in rates:
            for arm in ARMS:
                await rig.turn(arm, rate, warm, chance.getrandbits(40))
            for at in range(pairs):
                same = chance.getrandbits(40)  # each arm meets the same arrivals
                for arm in chance.sample(ARMS, len(ARMS)):
                    found.append(await rig.turn(arm, rate, seconds, same))
                    found[-1].round = at
    return found


# --- figures ------------------------------------------------------------------------------------


@dataclass(slots=True)
class Sum:
    """One arm at one rate and seed: medians over its blocks, and how far the blocks lie apart."""

    p50: float
    p99: float
    least: float  # of the blocks' p99
    most: float
    handled: float  # part of all asked
    cpu: Spent  # a call of those handled
    late: float  # median of the load's own lateness, p99
    loadavg: float
    reference: float  # seconds, median of turns of the reference loop between the blocks

    @property
    def relative(self) -> float:
        """Processor time of a call in turns of the reference loop."""
        return (self.cpu.user + self.cpu.system) / self.reference if self.reference else 0.0


def sum_up(blocks: list[Turn]) -> Sum:
    asked, handled = sum(b.told.asked for b in blocks), sum(b.told.handled for b in blocks)
    whole = Spent()
    for block in blocks:
        whole = whole.plus(block.spent)
    calls, ranked = max(1, handled), [b.told.p99 for b in blocks]
    return Sum(
        statistics.median(b.told.p50 for b in blocks),
        statistics.median(ranked),
        min(ranked),
        max(ranked),
        handled / max(1, asked),
        Spent(whole.user / calls, whole.system / calls, whole.waited / calls),
        statistics.median(b.told.sent_late for b in blocks),
        statistics.mean(b.loadavg for b in blocks),
        statistics.median(b.reference for b in blocks),
    )


def arms_of(found: list[Turn], rate: float) -> dict[str, Sum]:
    return {arm: sum_up([turn for turn in found if turn.rate == rate and turn.arm == arm]) for arm in ARMS}


def calm(found: list[Turn], rate: float) -> list[Turn]:
    """The quarter of the rounds (two at least) in which the sidecar waited least for a core: chosen by what
    the rest of the machine did, not by what came of it."""
    rounds = {
        turn.round: turn.spent.waited / max(1, turn.told.handled)
        for turn in found
        if turn.rate == rate and turn.arm == "through"
    }
    chosen = sorted(rounds, key=lambda at: rounds[at])[: max(2, len(rounds) // 4)]
    return [turn for turn in found if turn.rate == rate and turn.round in chosen]


def disturbed(arms: dict[str, Sum]) -> bool:
    """Did other load take a part in the figures that is no longer small?"""
    through = arms["through"]
    return through.cpu.waited > WAITED * (through.cpu.user + through.cpu.system)


def line(rate: float, seed: int, arms: dict[str, Sum]) -> str:
    s, t, b = (arms[arm] for arm in ARMS)
    return (
        f"{rate:6.0f}/s seed {seed}: straight {s.p50 * 1e3:6.2f} {s.p99 * 1e3:7.2f}, through"
        f" {t.p50 * 1e3:6.2f}"
        f" {t.p99 * 1e3:7.2f} (p99 of blocks {t.least * 1e3:.2f} to {t.most * 1e3:.2f}), bare"
        f" {b.p50 * 1e3:6.2f}"
        f" {b.p99 * 1e3:7.2f} ms; added p50 {(t.p50 - s.p50) * 1e3:6.2f} p99 {(t.p99 - s.p99) * 1e3:7.2f};"
        f" handled {t.handled:.4f}; cpu a call {(t.cpu.user + t.cpu.system) * 1e6:4.0f} us"
        f" ({t.cpu.system * 1e6:.0f} system; {t.relative:.0f} turns of the reference loop), core waited for"
        f" {t.cpu.waited * 1e6:4.0f} us a call;"
        f" load sent late p99 {t.late * 1e3:.2f} ms; loadavg {t.loadavg:.1f} on {os.cpu_count()} cores"
        + ("; DISTURBED by other load" if disturbed(arms) else "")
    )


Sums = dict[tuple[float, int], dict[str, Sum]]  # by rate and seed, by arm


def figures(sums: Sums, calmest: Sums) -> list[Figure]:
    """Beside `Added`: what the time is made of. `size` is calls a second."""

    def figure(
        name: str, unit: str, of: Callable[[dict[str, Sum]], tuple[float, float]], note: str, by: Sums = sums
    ) -> Figure:
        points = [Point(rate, seed, *of(arms), hollow=False) for (rate, seed), arms in by.items()]
        return Figure("sidecar", name, unit, "calls a second", "ordinary", points, note=note)

    loads = [arms["through"].loadavg for arms in sums.values()]
    where = (
        f"one real sidecar, {ENDPOINTS} endpoints that answer at once, loopback, shared machine: load average"
        f" {min(loads):.1f} to {max(loads):.1f} on {os.cpu_count()} cores,"
        f" {sum(map(disturbed, sums.values()))} of {len(sums)} disturbed by other runs"
    )
    return [
        figure("cpu a call", "s", lambda a: (a["through"].cpu.user + a["through"].cpu.system, 0.0),
               f"user and system of the process by calls handled; {where}"),
        figure("cpu a call, turns of the reference loop", "turns", lambda a: (a["through"].relative, 0.0),
               f"so that machines, and a busy one and a quiet one, can be compared; {where}"),
        figure("system cpu a call", "s", lambda a: (a["through"].cpu.system, 0.0),
               f"part of cpu a call; {where}"),
        figure("core waited for a call", "s", lambda a: (a["through"].cpu.waited, 0.0),
               f"ready to run and no core free: the machine's other load, not the program; {where}"),
        figure("handled", "part of calls", lambda a: (a["through"].handled, 0.0),
               f"the rest denied or broken off; under {CARRIED} the rate is not carried; {where}"),
        figure("added", "s", lambda a: (a["through"].p50 - a["straight"].p50,
                                        a["through"].p99 - a["straight"].p99),
               f"mean is the p50, peak the p99, medians over blocks by turns; {where}"),
        figure("added, calmest blocks", "s", lambda a: (a["through"].p50 - a["straight"].p50,
                                                        a["through"].p99 - a["straight"].p99),
               f"as added, of the quarter of rounds in which the sidecar waited least for a core; {where}",
               calmest),
        figure("added by a bare hop", "s", lambda a: (a["bare"].p50 - a["straight"].p50,
                                                      a["bare"].p99 - a["straight"].p99),
               f"a process that only passes bytes on; mean is the p50, peak the p99; {where}"),
    ]  # fmt: skip


def measure(quick: bool, seeds: list[int], log: Callable[[str], None]) -> tuple[list[Added], list[Figure]]:
    """Takes some 200 s a seed, quick 10 s in all. Figures of a busy machine are called so in their notes."""
    added: list[Added] = []
    sums: Sums = {}
    calmest: Sums = {}
    rates = RATES[:1] if quick else RATES
    seconds, pairs, warm = (QUICK_BLOCK, QUICK_PAIRS, QUICK_WARM) if quick else (BLOCK, PAIRS, WARM)
    for seed in seeds[:1] if quick else seeds:
        found = asyncio.run(turns(seed, rates, seconds, pairs, warm))
        for rate in rates:
            arms = sums[rate, seed] = arms_of(found, rate)
            straight, through = arms["straight"], arms["through"]
            added.append(Added(rate, seed, straight.p50, straight.p99, through.p50, through.p99))
            log(line(rate, seed, arms))
            calmest[rate, seed] = arms_of(calm(found, rate), rate)
            log("    calmest: " + line(rate, seed, calmest[rate, seed]))
    return added, figures(sums, calmest)


def main(arguments: list[str]) -> None:
    seeds = [int(one) for one in arguments[1].split(",")] if arguments[:1] == ["--seeds"] else [1]
    measure("--quick" in arguments, seeds, print)


if __name__ == "__main__":
    main(sys.argv[1:])
