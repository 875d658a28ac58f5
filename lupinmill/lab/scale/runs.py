"""Single measurement runs of one size and seed, each in a process of its own, each returning samples.

The reference loop is timed right before and after each run, because the machine is shared."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lupinmill.lab.scale import days, holder, settings
from lupinmill.lab.scale.book import FigureKey, Sample
from lupinmill.lab.scale.hollow import SimulatedFleet
from lupinmill.lab.scale.measured import Point
from lupinmill.lab.scale.reference import microseconds
from lupinmill.protocol.config_file import ConfigFileError

CORE_UNIT = "part of a core"
UNITS = {
    "cpu": CORE_UNIT,
    "messages out": "1/s",
    "messages in": "1/s",
    "bytes out": "bytes/s",
    "bytes in": "bytes/s",
}
VIRTUAL_NOTE = "hollow, virtual time; CPU is of core and codec, without the kernel; means over members"
SUBSET_NOTE = "above 100 members some cores stand for all: what they send comes to one another"
QUIET_SECONDS = 20
MAX_START_S = 420.0
# Cores simulated where a subset stands for the fleet; the start of a large fleet takes minutes, so fewer.
SIMULATED_CORES, SIMULATED_CORES_AT_START = 20, 12


@dataclass(frozen=True)
class Run:
    kind: str  # key of `RUN_KINDS`
    size: int
    seed: int
    seconds: float = 0.0

    def execute(self) -> list[Sample]:
        before = microseconds()
        samples = RUN_KINDS[self.kind](self)
        reference = min(before, microseconds())
        for sample in samples:
            sample.reference_us = reference
        return samples


def simulated_cores(size: int) -> int:
    """Number of cores to simulate in a fleet of the given size; 0 means all."""
    if size <= 100:
        return 0
    return SIMULATED_CORES if size <= 3_000 else 6


def make_point(run: Run, mean: float, peak: float = 0.0, hollow: bool = True) -> Point:
    return Point(run.size, run.seed, mean, peak, hollow)


def member_samples(run: Run, day: str, found: dict[str, tuple[float, float]], note: str) -> list[Sample]:
    return [
        Sample(
            FigureKey("sidecar", name, UNITS[name], "members", day, name == "cpu"),
            make_point(run, *pair),
            0.0,
            note,
        )
        for name, pair in found.items()
    ]


def quiet_fleet(run: Run) -> list[Sample]:
    hollow = SimulatedFleet(run.size, run.seed, simulated_cores(run.size))
    hollow.settle()
    seconds = int(run.seconds or QUIET_SECONDS)
    hollow.run(seconds)
    note = (
        f"{VIRTUAL_NOTE}; {SUBSET_NOTE}; settled by tables heard, news and joining rounds taken away by hand"
    )
    samples = member_samples(run, "quiet", hollow.figures(1, seconds), note)
    samples.append(
        Sample(
            FigureKey("sidecar", "rows", "rows", "members", "quiet"),
            make_point(run, hollow.rows()),
            0.0,
            note,
        )
    )
    return samples


def fleet_start(run: Run) -> list[Sample]:
    """A fleet whose members all start within a second, until tables and updates have spread."""
    hollow = SimulatedFleet(run.size, run.seed, min(simulated_cores(run.size), SIMULATED_CORES_AT_START))
    hollow.start()
    limit = int(run.seconds or MAX_START_S)
    tables_last_s = updates_last_s = 0
    for at in range(limit):
        hollow.run(1)
        asked = sum(core.seconds[at].table_requests for core in hollow.simulated if at < len(core.seconds))
        if asked > len(hollow.simulated):  # a member usually asks in one round of ten: 0.5 a second
            tables_last_s = at + 1
        if hollow.mean_pending_updates() >= 1:
            updates_last_s = at + 1
        elif at > tables_last_s + 2 and at > 5:
            break
    finished = updates_last_s < limit
    note = f"{VIRTUAL_NOTE}; {SUBSET_NOTE}; over the time until tables and news are told"
    if not finished:
        note += f"; at {run.size} ended after {limit} s, news was still being told"
    samples = member_samples(run, "start", hollow.figures(0, max(tables_last_s, updates_last_s)), note)
    samples.append(
        Sample(
            FigureKey("sidecar", "tables last", "s", "members", "start"),
            make_point(run, tables_last_s),
            0.0,
            "virtual time",
        )
    )
    if finished:
        key = FigureKey("sidecar", "news lasts", "s", "members", "start")
        samples.append(Sample(key, make_point(run, updates_last_s), 0.0, "virtual time"))
    return samples


def member_state(run: Run) -> list[Sample]:
    note = "tracemalloc of driver and core, all heard of; without interpreter, program and file"
    key = FigureKey("sidecar", "state", "bytes", "members", "quiet")
    return [Sample(key, make_point(run, settings.member_state_bytes(run.size)), 0.0, note)]


def read_operators_file(run: Run) -> list[Sample]:
    try:
        cpu_s, memory, size = settings.measure_file_reading(run.size)
        note = ""
    except ConfigFileError as error:
        with settings.without_caps():
            cpu_s, memory, size = settings.measure_file_reading(run.size)
        why = str(error).rpartition(": ")[2]
        note = f"at {run.size} a trial with the caps lifted: the reader refuses it ({why})"
    found = (("file cpu", "s", cpu_s), ("file memory", "bytes", memory), ("file bytes", "bytes", float(size)))
    return [
        Sample(
            FigureKey("sidecar", name, unit, "members", "change", unit == "s"),
            make_point(run, value),
            0.0,
            note,
        )
        for name, unit, value in found
    ]


def read_endpoint_lists(run: Run) -> list[Sample]:
    cpu_s, memory, size = settings.measure_list_reading(run.size)
    found = (("list cpu", "s", cpu_s), ("list memory", "bytes", memory), ("list bytes", "bytes", float(size)))
    return [
        Sample(
            FigureKey("sidecar", name, unit, "endpoints", "change", unit == "s"), make_point(run, value), 0.0
        )
        for name, unit, value in found
    ]


def process_start(run: Run) -> list[Sample]:
    found = asyncio.run(settings.measure_start(run.size, run.seconds))
    note = "a real process, no clients, no discovery; wall time on a shared machine"
    rows = [
        ("start cpu", "s", "change", found["cpu"], True),
        ("not serving", "s", "change", found["wall"], False),
        ("memory", "bytes", "quiet", found["memory"], False),
    ]
    if "idle" in found:
        rows.append(("cpu of one alone", CORE_UNIT, "quiet", found["idle"], True))
    return [
        Sample(
            FigureKey("sidecar", name, unit, "members", day, cpu),
            make_point(run, value, hollow=False),
            0.0,
            note,
        )
        for name, unit, day, value, cpu in rows
    ]


def evidence_load(run: Run) -> list[Sample]:
    """Load of the holder and of another elector by members, at the 16 zones that reports allow."""
    samples: list[Sample] = []
    note = f"hollow, virtual time, {settings.ZONES} zones, lease by hand; the peers' own probes apart"
    for role in ("holder", "elector"):
        found = holder.Holder(run.size, settings.ZONES, run.seed, role == "holder").play()
        for name, unit, mean, peak, cpu in (
            ("evidence cpu", CORE_UNIT, found.cpu, found.peak, True),
            ("look", "s", found.look_s, 0.0, True),
            ("one word heard", "s", found.report_s, 0.0, True),
            ("evidence bytes in", "bytes/s", found.bytes_in, 0.0, False),
            ("evidence bytes out", "bytes/s", found.bytes_out, 0.0, False),
            ("evidence messages in", "1/s", found.messages_in, 0.0, False),
            ("evidence messages out", "1/s", found.messages_out, 0.0, False),
        ):
            key = FigureKey(role, name, unit, "members", "quiet", cpu)
            samples.append(Sample(key, make_point(run, mean, peak), 0.0, note))
        if role == "holder":
            samples += [
                Sample(
                    FigureKey(role, "heard fresh", "part", "members", "quiet"),
                    make_point(run, found.fresh_share),
                    0.0,
                    note,
                ),
                Sample(
                    FigureKey(role, "period", "s", "members", "quiet"),
                    make_point(run, found.period),
                    0.0,
                    note,
                ),
            ]
            samples += reporter_samples(run, found, note)
    look, memory = holder.Holder(run.size, settings.ZONES, run.seed).measure_all_fresh()
    note += "; a trial: words of all put in at one moment, as they don't stay fresh"
    samples += [
        Sample(
            FigureKey("holder", "look if all heard", "s", "members", "quiet", True),
            make_point(run, look),
            0.0,
            note,
        ),
        Sample(
            FigureKey("holder", "evidence memory", "bytes", "members", "quiet"),
            make_point(run, memory),
            0.0,
            note,
        ),
    ]
    return samples


def reporter_samples(run: Run, found: holder.HolderResult, note: str) -> list[Sample]:
    """Cost of evidence for the reporting sidecar: reports to all electors, and one answer."""
    others = run.size - 1
    out = found.bytes_in / others * holder.ELECTORS
    back = (found.bytes_out - found.own_bytes_out) / others
    return [
        Sample(
            FigureKey("sidecar", "evidence bytes out", "bytes/s", "members", "quiet"),
            make_point(run, out),
            0.0,
            note,
        ),
        Sample(
            FigureKey("sidecar", "evidence bytes in", "bytes/s", "members", "quiet"),
            make_point(run, back),
            0.0,
            note,
        ),
        Sample(
            FigureKey("sidecar", "plan counts", "part", "members", "quiet"),
            make_point(run, found.in_effect_share),
            0.0,
            "part of the time for which the module goes by what the last look told it",
        ),
    ]


def evidence_by_zones(run: Run) -> list[Sample]:
    """One evaluation of 300 members by zones.

    Reports that name over 16 zones are refused, so these are inserted directly.
    """
    members = 300
    found = holder.Holder(members, run.size, run.seed)
    note = f"{members} members, reports put in by hand"
    look = found.measure_look()
    samples = [
        Sample(FigureKey("holder", "look", "s", "zones", "quiet", True), make_point(run, look), 0.0, note)
    ]
    played = holder.Holder(members, run.size, run.seed).play(4.0)
    note = f"{members} members; words on more than 16 zones are refused as garbled"
    key = FigureKey("holder", "heard fresh", "part", "zones", "quiet")
    samples.append(Sample(key, make_point(run, played.fresh_share), 0.0, note))
    return samples


def zone_loss(run: Run) -> list[Sample]:
    found = days.zone_lost(run.size, run.seed)
    note = (
        f"{VIRTUAL_NOTE}; all cores played; 5% of the members lost at one moment; over the time until all "
        "know"
    )
    samples = member_samples(run, "zone lost", found.figures, note)
    if found.detected_s:
        key = FigureKey("sidecar", "known after", "s", "members", "zone lost")
        text = "until all that are left hold all of them for gone"
        samples.append(Sample(key, make_point(run, found.detected_s), 0.0, text))
    samples += member_samples(
        run, "zone back", found.back_figures, f"{VIRTUAL_NOTE}; those lost start anew; of the others"
    )
    if found.back_detected_s:
        key = FigureKey("sidecar", "known after", "s", "members", "zone back")
        text = "until all hold all for present"
        samples.append(Sample(key, make_point(run, found.back_detected_s), 0.0, text))
    return samples


def ordinary_day(run: Run) -> list[Sample]:
    found = days.ordinary_day(run.size, run.seed)
    note = (
        f"{VIRTUAL_NOTE}; restarts {days.RESTART_INTERVAL_S} s apart, their cost put at the true rate of so "
        f"many members ({days.FAILURES_PER_DAY + days.RESTARTS_PER_DAY} a day at {days.FLEET_SIZE}); "
        "peak as condensed"
    )
    return member_samples(run, "ordinary", found.day(), note)


RUN_KINDS: dict[str, Callable[[Run], list[Sample]]] = {
    "quiet": quiet_fleet,
    "start": fleet_start,
    "state": member_state,
    "file": read_operators_file,
    "lists": read_endpoint_lists,
    "restart": process_start,
    "evidence": evidence_load,
    "zones": evidence_by_zones,
    "zone lost": zone_loss,
    "ordinary": ordinary_day,
}
