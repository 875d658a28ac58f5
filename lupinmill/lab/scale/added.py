"""Measures the latency that one sidecar adds to a call, by alternating calls through it and direct calls.

The load generator is an open loop in its own process, with seeded Poisson arrivals and persistent
connections. It measures latency from when a call was due, so that neither a late generator nor an overloaded
sidecar is hidden. Endpoints answer at once, in another process. A third arm goes through a bare hop, which
only forwards bytes: it shows the cost of one more process in the path in this language, without any decision
or check. All processes and the folder are removed at the end of a run."""

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
from lupinmill.lab.scale.load import Block, BlockResult
from lupinmill.lab.scale.measured import Added, Figure, Point

CALL_RATES = (285.0, 570.0, 1140.0, 2280.0)  # calls a second: the target's mean up to its skew of eight
ARMS = ("straight", "through", "bare")
ENDPOINTS = 24  # endpoints per service of the target: 20,000 / 840
BLOCK_S, ROUNDS, WARM_UP_S = 2.0, 8, 2.0  # seconds of a block, rounds at each rate, seconds of warm-up
QUICK_BLOCK_S, QUICK_ROUNDS, QUICK_WARM_UP_S = 0.5, 2, 0.3
REFERENCE_ITERATIONS = 100  # iterations of the reference loop between two blocks
# Above this ratio of time waiting for a core to processor time a figure counts as disturbed.
MAX_WAIT_RATIO = 0.1
MIN_HANDLED_SHARE = 0.99  # share of calls that must be handled for a rate to count as sustained
SIDECAR_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


@dataclass(slots=True)
class ProcessorTime:
    """Processor time of a process in seconds: user, system, and waiting for a core while runnable, which is
    caused by other load on the machine."""

    user: float = 0.0
    system: float = 0.0
    waited: float = 0.0

    def minus(self, other: ProcessorTime) -> ProcessorTime:
        return ProcessorTime(self.user - other.user, self.system - other.system, self.waited - other.waited)

    def plus(self, other: ProcessorTime) -> ProcessorTime:
        return ProcessorTime(self.user + other.user, self.system + other.system, self.waited + other.waited)


def read_processor_time(pid: int) -> ProcessorTime:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    tick = os.sysconf("SC_CLK_TCK")
    try:
        waited = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError):
        waited = 0.0  # the kernel does not provide it
    return ProcessorTime(int(fields[11]) / tick, int(fields[12]) / tick, waited)


class Child:
    """A child process that runs a module and is controlled over standard input and output."""

    def __init__(self) -> None:
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, *arguments: str) -> None:
        environ = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        environ["PYTHONPATH"] = os.pathsep.join(filter(None, [str(ROOT), environ.get("PYTHONPATH")]))
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *arguments, stdin=pipe, stdout=pipe, env=environ
        )

    def send_line(self, line: bytes) -> None:
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(line + b"\n")

    async def read_line(self) -> bytes:
        assert self.process is not None and self.process.stdout is not None
        line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError("a process of the measurement ended unexpectedly")
        return line

    async def end(self) -> None:
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()


def sidecar_settings(addresses: list[str], seed: int) -> dict[str, Any]:
    """The settings that the platform gives the sidecar."""
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
        "limits": SIDECAR_LIMITS,
        "known": {"index": 1, "snapshot": True, "endpoints": rows},
        "settings": {
            "tier": 0, "instances": 1, "discovery": "ask", "round-s": 0.005, "limits": limits,
            "workloads": [workload], "load-report": {"how": "on_probe", "fields": ["waiting", "cpu"]},
            "invariants": {"ask-within-s": 10.0, "cold-share": 0.3, "cold-s": 5.0},
        },
    }  # fmt: skip


@dataclass(slots=True)
class BlockRun:
    """One block's result, with the sidecar's processor time meanwhile and the machine's load before it."""

    rate: float
    arm: str
    result: BlockResult
    usage: ProcessorTime
    loadavg: float
    reference: float = 0.0  # processor seconds of one iteration of the reference loop, measured just before
    round: int = 0  # blocks of one round run one after the other, with the same arrivals


class Rig:
    """Endpoints, one real sidecar, the bare hop and the load generator; all end with the context."""

    def __init__(self, seed: int, endpoints: int = ENDPOINTS) -> None:
        self.seed, self.count = seed, endpoints
        self.folder = tempfile.TemporaryDirectory(prefix="lupinmill-added-")
        self.endpoints, self.bare, self.load = Child(), Child(), Child()
        self.addresses: dict[str, list[str]] = {}
        self.lag_events = 0
        self.sidecar: Process | None = None

    async def __aenter__(self) -> Rig:
        try:
            await self.endpoints.start("lupinmill.lab.flood")
            self.endpoints.send_line(b"serve %d" % self.count)
            straight = msgspec.json.decode(await self.endpoints.read_line(), type=list[str])
            self.sidecar = Process(
                "s", 0, Path(self.folder.name), lambda _: sidecar_settings(straight, self.seed), self.on_event
            )
            await self.sidecar.start()
            await self.bare.start("lupinmill.lab.scale.load", *straight)
            await self.load.start("lupinmill.lab.scale.load")
            hop = (await self.bare.read_line()).decode().strip()
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

    def on_event(self, _: Process, event: dict[str, Any]) -> None:
        self.lag_events += event.get("event") == "lagging"

    async def run_block(self, arm: str, rate: float, seconds: float, seed: int) -> BlockRun:
        assert self.sidecar is not None and self.sidecar.process is not None
        pid = self.sidecar.process.pid
        iteration_s = reference_iteration()
        before, load = read_processor_time(pid), os.getloadavg()[0]
        self.load.send_line(msgspec.json.encode(Block(self.addresses[arm], rate, seconds, seed)))
        result = msgspec.json.decode(await self.load.read_line(), type=BlockResult)
        return BlockRun(rate, arm, result, read_processor_time(pid).minus(before), load, iteration_s)


def reference_iteration() -> float:
    """Processor seconds of one iteration of the reference loop now. A fully loaded machine is up to three
    times slower."""
    began = time.thread_time()
    for _ in range(REFERENCE_ITERATIONS):
        reference.turn()
    return (time.thread_time() - began) / REFERENCE_ITERATIONS


async def run_blocks(
    seed: int, rates: tuple[float, ...], seconds: float, rounds: int, warm_up: float
) -> list[BlockRun]:
    """Runs all arms alternately at each rate, in a random order in each round."""
    random_source, found = random.Random(f"added {seed}"), []
    async with Rig(seed) as rig:
        for rate in rates:
            for arm in ARMS:
                await rig.run_block(arm, rate, warm_up, random_source.getrandbits(40))
            for at in range(rounds):
                same = random_source.getrandbits(40)  # all arms of a round get the same arrivals
                for arm in random_source.sample(ARMS, len(ARMS)):
                    found.append(await rig.run_block(arm, rate, seconds, same))
                    found[-1].round = at
    return found


# --- figures ------------------------------------------------------------------------------------


@dataclass(slots=True)
class ArmSummary:
    """One arm at one rate and seed: medians and range over its blocks."""

    p50: float
    p99: float
    least: float  # lowest p99 of a block
    most: float  # highest p99 of a block
    handled: float  # share of all calls
    cpu: ProcessorTime  # per handled call
    late: float  # median over blocks of the load generator's own p99 delay
    loadavg: float
    reference: float  # median processor seconds of one iteration of the reference loop

    @property
    def relative(self) -> float:
        """Processor time of a call in iterations of the reference loop."""
        return (self.cpu.user + self.cpu.system) / self.reference if self.reference else 0.0


def summarize(blocks: list[BlockRun]) -> ArmSummary:
    asked, handled = sum(b.result.asked for b in blocks), sum(b.result.handled for b in blocks)
    whole = ProcessorTime()
    for block in blocks:
        whole = whole.plus(block.usage)
    calls, ranked = max(1, handled), [b.result.p99 for b in blocks]
    return ArmSummary(
        statistics.median(b.result.p50 for b in blocks),
        statistics.median(ranked),
        min(ranked),
        max(ranked),
        handled / max(1, asked),
        ProcessorTime(whole.user / calls, whole.system / calls, whole.waited / calls),
        statistics.median(b.result.sent_late for b in blocks),
        statistics.mean(b.loadavg for b in blocks),
        statistics.median(b.reference for b in blocks),
    )


def summarize_arms(found: list[BlockRun], rate: float) -> dict[str, ArmSummary]:
    return {
        arm: summarize([block for block in found if block.rate == rate and block.arm == arm]) for arm in ARMS
    }


def calmest_rounds(found: list[BlockRun], rate: float) -> list[BlockRun]:
    """The blocks of the quarter of the rounds (at least two) in which the sidecar waited least for a core.
    Rounds are chosen by other load on the machine, not by the measured latency."""
    rounds = {
        block.round: block.usage.waited / max(1, block.result.handled)
        for block in found
        if block.rate == rate and block.arm == "through"
    }
    chosen = sorted(rounds, key=lambda at: rounds[at])[: max(2, len(rounds) // 4)]
    return [block for block in found if block.rate == rate and block.round in chosen]


def disturbed(arms: dict[str, ArmSummary]) -> bool:
    """Whether other load on the machine distorted the figures noticeably."""
    through = arms["through"]
    return through.cpu.waited > MAX_WAIT_RATIO * (through.cpu.user + through.cpu.system)


def format_row(rate: float, seed: int, arms: dict[str, ArmSummary]) -> str:
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


ArmSummaries = dict[tuple[float, int], dict[str, ArmSummary]]  # by rate and seed, then by arm


def figures(summaries: ArmSummaries, calmest_summaries: ArmSummaries) -> list[Figure]:
    """The figures that explain the added latency, beside `Added`. A point's `size` is calls per second."""

    def figure(
        name: str,
        unit: str,
        of: Callable[[dict[str, ArmSummary]], tuple[float, float]],
        note: str,
        by: ArmSummaries = summaries,
    ) -> Figure:
        points = [Point(rate, seed, *of(arms), hollow=False) for (rate, seed), arms in by.items()]
        return Figure("sidecar", name, unit, "calls a second", "ordinary", points, note=note)

    loads = [arms["through"].loadavg for arms in summaries.values()]
    where = (
        f"one real sidecar, {ENDPOINTS} endpoints that answer at once, loopback, shared machine: load average"
        f" {min(loads):.1f} to {max(loads):.1f} on {os.cpu_count()} cores,"
        f" {sum(map(disturbed, summaries.values()))} of {len(summaries)} disturbed by other runs"
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
               f"the rest denied or broken off; under {MIN_HANDLED_SHARE} the rate is not carried; {where}"),
        figure("added", "s", lambda a: (a["through"].p50 - a["straight"].p50,
                                        a["through"].p99 - a["straight"].p99),
               f"mean is the p50, peak the p99, medians over blocks by turns; {where}"),
        figure("added, calmest blocks", "s", lambda a: (a["through"].p50 - a["straight"].p50,
                                                        a["through"].p99 - a["straight"].p99),
               f"as added, of the quarter of rounds in which the sidecar waited least for a core; {where}",
               calmest_summaries),
        figure("added by a bare hop", "s", lambda a: (a["bare"].p50 - a["straight"].p50,
                                                      a["bare"].p99 - a["straight"].p99),
               f"a process that only passes bytes on; mean is the p50, peak the p99; {where}"),
    ]  # fmt: skip


def measure(quick: bool, seeds: list[int], log: Callable[[str], None]) -> tuple[list[Added], list[Figure]]:
    """Runs the measurement: some 200 s per seed, if `quick` 10 s in all. Notes tell which figures were
    disturbed by other load."""
    added: list[Added] = []
    summaries: ArmSummaries = {}
    calmest_summaries: ArmSummaries = {}
    rates = CALL_RATES[:1] if quick else CALL_RATES
    seconds, rounds, warm_up = (
        (QUICK_BLOCK_S, QUICK_ROUNDS, QUICK_WARM_UP_S) if quick else (BLOCK_S, ROUNDS, WARM_UP_S)
    )
    for seed in seeds[:1] if quick else seeds:
        found = asyncio.run(run_blocks(seed, rates, seconds, rounds, warm_up))
        for rate in rates:
            arms = summaries[rate, seed] = summarize_arms(found, rate)
            straight, through = arms["straight"], arms["through"]
            added.append(Added(rate, seed, straight.p50, straight.p99, through.p50, through.p99))
            log(format_row(rate, seed, arms))
            calmest_summaries[rate, seed] = summarize_arms(calmest_rounds(found, rate), rate)
            log("    calmest: " + format_row(rate, seed, calmest_summaries[rate, seed]))
    return added, figures(summaries, calmest_summaries)


def main(arguments: list[str]) -> None:
    seeds = [int(one) for one in arguments[1].split(",")] if arguments[:1] == ["--seeds"] else [1]
    measure("--quick" in arguments, seeds, print)


if __name__ == "__main__":
    main(sys.argv[1:])
