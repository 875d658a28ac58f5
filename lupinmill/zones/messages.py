"""What members say to one another about zones, and a plan as the body of a decision: msgspec structs as
msgpack. Pure. Zones and workloads go by their number in the map; `mark` tells whether both sides have the
same one.

Every length has a bound, figures are whole numbers in small units, and what does not fit the map is
refused."""

from __future__ import annotations

from typing import Annotated
from zlib import crc32

import msgspec
from msgspec import Meta, Struct

from lupinmill.zones.plan import Plan, Routes
from lupinmill.zones.reports import Report, ZoneObservation
from lupinmill.zones.zone_map import ZoneMap

MOST_ZONES, MOST_WORKLOADS = 16, 16
MAX_COLD_ENDPOINTS = 24  # cold endpoints in one report
MAX_BRAKES = 40
MAX_PLAN_BYTES = 700  # bytes, as a decision's body may have
SHARE_UNITS = 1000  # a share's unit
LONGEST_WHY = 160  # bytes
LEAST = 2  # parts of it: what is less stays at home

Count = Annotated[int, Meta(ge=0, le=2**40)]
Mark = Annotated[int, Meta(ge=0, lt=2**32)]
Number = Annotated[int, Meta(ge=0, lt=MOST_ZONES)]
Row = tuple[Number, Number, Number, Annotated[int, Meta(ge=0, le=SHARE_UNITS)]]  # from, workload, to, parts
Look = tuple[Count, Count, Count, Count, Count, Count, Count, Annotated[int, Meta(ge=-1, le=2**20)]]


class ReportMessage(Struct, array_like=True, tag="e", frozen=True):
    """Evidence of one member. Serials grow over its lives: they begin at its clock."""

    mark: Mark
    serial: Annotated[int, Meta(ge=0, le=2**62)]
    zone: Number
    version: Count  # of the plan that it applies
    traffic: Annotated[list[Count], Meta(max_length=MOST_WORKLOADS)]  # tenths a second
    seen: Annotated[list[Look], Meta(max_length=MOST_ZONES)]
    cold: Annotated[
        list[tuple[Mark, Count, Count]], Meta(max_length=MAX_COLD_ENDPOINTS)
    ]  # tenths a second, parts


class ReportAck(Struct, array_like=True, tag="s", frozen=True):
    """The holder's answer to evidence: it stands behind that plan under that epoch."""

    mark: Mark
    serial: Annotated[int, Meta(ge=0, le=2**62)]  # of the telling that it answers
    epoch: Count
    version: Count
    brakes: Annotated[
        list[tuple[Mark, Annotated[int, Meta(ge=0, le=SHARE_UNITS)]]], Meta(max_length=MAX_BRAKES)
    ]


class ActionRequest(Struct, array_like=True, tag="w", frozen=True):
    """An operator's, for the holder."""

    serial: Annotated[int, Meta(ge=0, le=2**62)]
    what: Annotated[str, Meta(max_length=16)]  # drain, restore, pin, unpin
    zone: Annotated[str, Meta(max_length=64)]
    force: bool


class ActionReply(Struct, array_like=True, tag="g", frozen=True):
    serial: Annotated[int, Meta(ge=0, le=2**62)]
    done: bool
    text: Annotated[str, Meta(max_length=200)]


class Body(Struct, array_like=True, frozen=True):
    mark: Mark
    rows: Annotated[list[Row], Meta(max_length=256)]
    ways: Annotated[list[Row], Meta(max_length=256)]
    drained: Annotated[list[Number], Meta(max_length=MOST_ZONES)]
    pinned: bool
    why: Annotated[str, Meta(max_length=LONGEST_WHY)]


Words = ReportMessage | ReportAck | ActionRequest | ActionReply
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Words)
BODIES = msgspec.msgpack.Decoder(Body)


class InvalidMessage(Exception):
    """The text is one word that is counted."""


def encode(words: Words) -> bytes:
    return ENCODER.encode(words)


def decode(data: bytes) -> Words:
    """Raises Strange."""
    try:
        return DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise InvalidMessage("garbled") from error


def endpoint_hash(endpoint: str) -> int:
    return crc32(endpoint.encode())


def whole(value: float, unit: float = 1.0) -> int:
    """Guards against figures that are none."""
    return int(min(2.0**40, value * unit) + 0.5) if value > 0 else 0


def report_message(map_: ZoneMap, report: Report, serial: int, version: int) -> ReportMessage:
    names = [zone.name for zone in map_.zones]
    looks = []
    for name in names:
        seen = report.seen.get(name, ZoneObservation())
        looks.append(
            (
                whole(seen.tried),
                whole(seen.failed),
                whole(seen.refused),
                whole(seen.pace, 100),
                whole(seen.room, 10),
                whole(seen.cold, SHARE_UNITS),
                whole(seen.ready),
                -1 if seen.listed < 0 else min(2**20, whole(seen.listed)),
            )
        )
    cold = sorted(report.cold.items(), key=lambda row: -row[1][0])[:MAX_COLD_ENDPOINTS]
    return ReportMessage(
        map_.mark(),
        serial,
        names.index(report.zone),
        version,
        [whole(report.traffic.get(w.name, 0.0), 10) for w in map_.workloads],
        looks,
        [(mark, whole(rate, 10), whole(warmth, SHARE_UNITS)) for mark, (rate, warmth) in cold],
    )


def report_from_message(map_: ZoneMap, member: str, words: ReportMessage) -> Report:
    """Raises Strange where it is of another map."""
    names = [zone.name for zone in map_.zones]
    if (
        words.mark != map_.mark()
        or len(words.seen) != len(names)
        or len(words.traffic) != len(map_.workloads)
    ):
        raise InvalidMessage("map")
    if words.zone >= len(names):
        raise InvalidMessage("map")
    seen = {}
    for name, (tried, failed, refused, pace, room, cold, ready, listed) in zip(names, words.seen):
        seen[name] = ZoneObservation(
            float(tried),
            float(failed),
            float(refused),
            pace / 100,
            room / 10,
            cold / SHARE_UNITS,
            float(ready),
            listed,
        )
    return Report(
        member,
        names[words.zone],
        {w.name: rate / 10 for w, rate in zip(map_.workloads, words.traffic)},
        seen,
        {mark: (rate / 10, warmth / SHARE_UNITS) for mark, rate, warmth in words.cold},
    )


def encode_plan(map_: ZoneMap, plan: Plan) -> bytes:
    """At most `LARGEST_PLAN` bytes: where it would be more, the smallest ways out go first, then the smallest
    shares, which then stay at home."""
    zones = {zone.name: at for at, zone in enumerate(map_.zones)}
    loads = {w.name: at for at, w in enumerate(map_.workloads)}

    def rows_of(rows: Routes) -> list[Row]:
        found = [
            (zones[home], loads[workload], zones[to], round(share * SHARE_UNITS))
            for home, by in rows.items()
            for workload, shares in by.items()
            for to, share in shares.items()
            if to != home and share * SHARE_UNITS >= LEAST
        ]
        return sorted(found, key=lambda row: -row[3])

    rows, ways = rows_of(plan.routes)[:256], rows_of(plan.failover)[:256]
    drained = sorted(zones[name] for name in plan.drained if name in zones)
    why = plan.reason.encode()[:LONGEST_WHY].decode("utf-8", "ignore")
    while True:
        data = ENCODER.encode(Body(map_.mark(), rows, ways, drained, plan.pinned, why))
        if len(data) <= MAX_PLAN_BYTES or not (rows or ways):
            return data
        (ways or rows).pop()


def decode_plan(map_: ZoneMap, version: int, data: bytes) -> Plan:
    """Raises Strange."""
    try:
        body = BODIES.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise InvalidMessage("garbled") from error
    names, loads = [zone.name for zone in map_.zones], [w.name for w in map_.workloads]
    if body.mark != map_.mark():
        raise InvalidMessage("map")

    def shares(rows: list[Row], whole_: bool) -> Routes:
        found: Routes = {}
        for home, workload, to, parts in rows:
            if max(home, to) >= len(names) or workload >= len(loads) or home == to:
                raise InvalidMessage("map")
            found.setdefault(names[home], {}).setdefault(loads[workload], {})[names[to]] = parts / SHARE_UNITS
        for home, by in found.items():
            for one in by.values():
                total = sum(one.values())
                if total > 1 + 1e-9:
                    for to in one:
                        one[to] /= total
                if whole_:
                    one[home] = max(0.0, 1 - sum(one.values()))
        return found

    if any(at >= len(names) for at in body.drained):
        raise InvalidMessage("map")
    drained = tuple(names[at] for at in body.drained)
    return Plan(version, shares(body.rows, True), body.why, shares(body.ways, False), drained, body.pinned)
