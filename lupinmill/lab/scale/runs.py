"""Single runs of one size and seed, each giving rows for the book; they run in processes of their own.

Each tells the reference loop's time as it was just before and after, as the machine is shared."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lupinmill.lab.scale import days, holder, settings
from lupinmill.lab.scale.book import Key, Row
from lupinmill.lab.scale.hollow import SimulatedFleet
from lupinmill.lab.scale.measured import Point
from lupinmill.lab.scale.reference import microseconds
from lupinmill.program.operators_file import ConfigFileError

CORE = "part of a core"
UNITS = {
    "cpu": CORE,
    "messages out": "1/s",
    "messages in": "1/s",
    "bytes out": "bytes/s",
    "bytes in": "bytes/s",
}
VIRTUAL = "hollow, virtual time; CPU is of core and codec, without the kernel; means over members"
FEW = "above 100 members some cores stand for all: what they send comes to one another"
QUIET_S = 20
MOST_START_S = 420.0
PLAYED, PLAYED_START = 20, 12  # cores where not all are; a start takes minutes of a large fleet's time


@dataclass(frozen=True)
class Run:
    what: str  # key of `KINDS`
    size: int
    seed: int
    seconds: float = 0.0

    def play(self) -> list[Row]:
        before = microseconds()
        rows = KINDS[self.what](self)
        reference = min(before, microseconds())
        for row in rows:
            row.reference = reference
        return rows


def cores(size: int) -> int:
    """How many of a fleet of that size are played; 0: all."""
    if size <= 100:
        return 0
    return PLAYED if size <= 3_000 else 6


def point(run: Run, mean: float, peak: float = 0.0, hollow: bool = True) -> Point:
    return Point(run.size, run.seed, mean, peak, hollow)


def of_members(run: Run, day: str, found: dict[str, tuple[float, float]], note: str) -> list[Row]:
    return [
        Row(Key("sidecar", name, UNITS[name], "members", day, name == "cpu"), point(run, *pair), 0.0, note)
        for name, pair in found.items()
    ]


def quiet(run: Run) -> list[Row]:
    hollow = SimulatedFleet(run.size, run.seed, cores(run.size))
    hollow.settle()
    seconds = int(run.seconds or QUIET_S)
    hollow.run(seconds)
    note = f"{VIRTUAL}; {FEW}; settled by tables heard, news and joining rounds taken away by hand"
    rows = of_members(run, "quiet", hollow.figures(1, seconds), note)
    rows.append(Row(Key("sidecar", "rows", "rows", "members", "quiet"), point(run, hollow.rows()), 0.0, note))
    return rows


def begin(run: Run) -> list[Row]:
    """A fleet that starts whole within a second, until tables and news are told."""
    hollow = SimulatedFleet(run.size, run.seed, min(cores(run.size), PLAYED_START))
    hollow.start()
    limit = int(run.seconds or MOST_START_S)
    tables = news = 0
    for at in range(limit):
        hollow.run(1)
        asked = sum(core.seconds[at].table_requests for core in hollow.simulated if at < len(core.seconds))
        if asked > len(hollow.simulated):  # one in ten rounds is usual: half of one a second
            tables = at + 1
        if hollow.mean_pending_updates() >= 1:
            news = at + 1
        elif at > tables + 2 and at > 5:
            break
    whole = news < limit
    note = f"{VIRTUAL}; {FEW}; over the time until tables and news are told"
    if not whole:
        note += f"; at {run.size} ended after {limit} s, news was still being told"
    rows = of_members(run, "start", hollow.figures(0, max(tables, news)), note)
    rows.append(
        Row(Key("sidecar", "tables last", "s", "members", "start"), point(run, tables), 0.0, "virtual time")
    )
    if whole:
        key = Key("sidecar", "news lasts", "s", "members", "start")
        rows.append(Row(key, point(run, news), 0.0, "virtual time"))
    return rows


def state(run: Run) -> list[Row]:
    note = "tracemalloc of driver and core, all heard of; without interpreter, program and file"
    key = Key("sidecar", "state", "bytes", "members", "quiet")
    return [Row(key, point(run, settings.state(run.size)), 0.0, note)]


def file(run: Run) -> list[Row]:
    try:
        took, memory, size = settings.read_file(run.size)
        note = ""
    except ConfigFileError as error:
        with settings.caps_lifted():
            took, memory, size = settings.read_file(run.size)
        why = str(error).rpartition(": ")[2]
        note = f"at {run.size} a trial with the caps lifted: the reader refuses it ({why})"
    found = (("file cpu", "s", took), ("file memory", "bytes", memory), ("file bytes", "bytes", float(size)))
    return [
        Row(Key("sidecar", name, unit, "members", "change", unit == "s"), point(run, value), 0.0, note)
        for name, unit, value in found
    ]


def lists(run: Run) -> list[Row]:
    took, memory, size = settings.read_lists(run.size)
    found = (("list cpu", "s", took), ("list memory", "bytes", memory), ("list bytes", "bytes", float(size)))
    return [
        Row(Key("sidecar", name, unit, "endpoints", "change", unit == "s"), point(run, value), 0.0)
        for name, unit, value in found
    ]


def restart(run: Run) -> list[Row]:
    found = asyncio.run(settings.start(run.size, run.seconds))
    note = "a real process, no clients, no discovery; wall time on a shared machine"
    rows = [
        ("start cpu", "s", "change", found["cpu"], True),
        ("not serving", "s", "change", found["wall"], False),
        ("memory", "bytes", "quiet", found["memory"], False),
    ]
    if "idle" in found:
        rows.append(("cpu of one alone", CORE, "quiet", found["idle"], True))
    return [
        Row(Key("sidecar", name, unit, "members", day, cpu), point(run, value, hollow=False), 0.0, note)
        for name, unit, day, value, cpu in rows
    ]


def evidence(run: Run) -> list[Row]:
    """Holder and another elector by members, at the 16 zones that the words allow."""
    rows: list[Row] = []
    note = f"hollow, virtual time, {settings.ZONES} zones, lease by hand; the peers' own probes apart"
    for role in ("holder", "elector"):
        found = holder.Holder(run.size, settings.ZONES, run.seed, role == "holder").play()
        for name, unit, mean, peak, cpu in (
            ("evidence cpu", CORE, found.cpu, found.peak, True),
            ("look", "s", found.look_s, 0.0, True),
            ("one word heard", "s", found.report_s, 0.0, True),
            ("evidence bytes in", "bytes/s", found.bytes_in, 0.0, False),
            ("evidence bytes out", "bytes/s", found.bytes_out, 0.0, False),
            ("evidence messages in", "1/s", found.messages_in, 0.0, False),
            ("evidence messages out", "1/s", found.messages_out, 0.0, False),
        ):
            key = Key(role, name, unit, "members", "quiet", cpu)
            rows.append(Row(key, point(run, mean, peak), 0.0, note))
        if role == "holder":
            rows += [
                Row(
                    Key(role, "heard fresh", "part", "members", "quiet"),
                    point(run, found.fresh_share),
                    0.0,
                    note,
                ),
                Row(Key(role, "period", "s", "members", "quiet"), point(run, found.period), 0.0, note),
            ]
            rows += of_tellers(run, found, note)
    look, memory = holder.Holder(run.size, settings.ZONES, run.seed).measure_all_fresh()
    note += "; a trial: words of all put in at one moment, as they don't stay fresh"
    rows += [
        Row(Key("holder", "look if all heard", "s", "members", "quiet", True), point(run, look), 0.0, note),
        Row(Key("holder", "evidence memory", "bytes", "members", "quiet"), point(run, memory), 0.0, note),
    ]
    return rows


def of_tellers(run: Run, found: holder.HolderResult, note: str) -> list[Row]:
    """What evidence is for the sidecar that tells it: to all electors, and one answer."""
    others = run.size - 1
    out = found.bytes_in / others * holder.ELECTORS
    back = (found.bytes_out - found.own_bytes_out) / others
    return [
        Row(Key("sidecar", "evidence bytes out", "bytes/s", "members", "quiet"), point(run, out), 0.0, note),
        Row(Key("sidecar", "evidence bytes in", "bytes/s", "members", "quiet"), point(run, back), 0.0, note),
        Row(
            Key("sidecar", "plan counts", "part", "members", "quiet"),
            point(run, found.in_effect_share),
            0.0,
            "part of the time for which the module goes by what the last look told it",
        ),
    ]


def by_zones(run: Run) -> list[Row]:
    """One look of 300 members by zones; beyond 16 the words are refused, so reports are put in by hand."""
    members = 300
    found = holder.Holder(members, run.size, run.seed)
    note = f"{members} members, reports put in by hand"
    look = found.measure_look()
    rows = [Row(Key("holder", "look", "s", "zones", "quiet", True), point(run, look), 0.0, note)]
    played = holder.Holder(members, run.size, run.seed).play(4.0)
    note = f"{members} members; words on more than 16 zones are refused as garbled"
    key = Key("holder", "heard fresh", "part", "zones", "quiet")
    rows.append(Row(key, point(run, played.fresh_share), 0.0, note))
    return rows


def zone_lost(run: Run) -> list[Row]:
    found = days.zone_lost(run.size, run.seed)
    note = f"{VIRTUAL}; all cores played; 5% of the members lost at one moment; over the time until all know"
    rows = of_members(run, "zone lost", found.figures, note)
    if found.known:
        key = Key("sidecar", "known after", "s", "members", "zone lost")
        text = "until all that are left hold all of them for gone"
        rows.append(Row(key, point(run, found.known), 0.0, text))
    rows += of_members(run, "zone back", found.back, f"{VIRTUAL}; those lost start anew; of the others")
    if found.back_known:
        key = Key("sidecar", "known after", "s", "members", "zone back")
        text = "until all hold all for present"
        rows.append(Row(key, point(run, found.back_known), 0.0, text))
    return rows


def ordinary(run: Run) -> list[Row]:
    found = days.ordinary(run.size, run.seed)
    note = (
        f"{VIRTUAL}; restarts {days.EVERY} s apart, their cost put at the true rate of so many members "
        f"({days.FAILURES + days.RESTARTS} a day at {days.FLEET}); peak as condensed"
    )
    return of_members(run, "ordinary", found.day(), note)


KINDS: dict[str, Callable[[Run], list[Row]]] = {
    "quiet": quiet,
    "start": begin,
    "state": state,
    "file": file,
    "lists": lists,
    "restart": restart,
    "evidence": evidence,
    "zones": by_zones,
    "zone lost": zone_lost,
    "ordinary": ordinary,
}
