"""The messages that members exchange about zones, and the encoding of a plan as the body of a decision:
msgspec structs as msgpack. Pure. Zones and workloads are sent as their positions in the zone map; `mark` is
the map's checksum and tells whether both sides have the same map.

All lengths are bounded, figures are whole numbers in small units, and what does not fit the map is
rejected."""

from __future__ import annotations

from typing import Annotated
from zlib import crc32

import msgspec
from msgspec import Meta, Struct

from lupinmill.zones.plan import Plan, Routes
from lupinmill.zones.reports import Report, ZoneObservation
from lupinmill.zones.zone_map import ZoneMap

MAX_ZONES, MAX_WORKLOADS = 16, 16
MAX_COLD_ENDPOINTS = 24  # in one report
MAX_BRAKES = 40
MAX_PLAN_BYTES = 700  # as the body of a decision allows
SHARE_UNITS = 1000  # a share of 1 on the wire
MAX_REASON_BYTES = 160
MIN_SHARE_UNITS = 2  # smaller shares are not sent: that traffic stays in its zone

Count = Annotated[int, Meta(ge=0, le=2**40)]
Checksum = Annotated[int, Meta(ge=0, lt=2**32)]
Position = Annotated[int, Meta(ge=0, lt=MAX_ZONES)]
# From zone, workload, to zone, share units.
PlanRow = tuple[Position, Position, Position, Annotated[int, Meta(ge=0, le=SHARE_UNITS)]]
# The fields of `ZoneObservation` in their order.
ObservationRow = tuple[Count, Count, Count, Count, Count, Count, Count, Annotated[int, Meta(ge=-1, le=2**20)]]


class ReportMessage(Struct, array_like=True, tag="e", frozen=True):
    """One member's report. Serials also grow over restarts, because they start from the Unix time of the
    member's start, and over upgrades, because the next process goes on from them."""

    mark: Checksum
    serial: Annotated[int, Meta(ge=0, le=2**62)]
    zone: Position
    version: Count  # of the plan that the member applies
    traffic: Annotated[list[Count], Meta(max_length=MAX_WORKLOADS)]  # tenths of a request per second
    seen: Annotated[list[ObservationRow], Meta(max_length=MAX_ZONES)]
    # Endpoint hash, tenths of an attempt per second, warmth in share units.
    cold: Annotated[list[tuple[Checksum, Count, Count]], Meta(max_length=MAX_COLD_ENDPOINTS)]


class ReportAck(Struct, array_like=True, tag="s", frozen=True):
    """The lease holder's answer to a report: it stands by the plan `version` under `epoch`."""

    mark: Checksum
    serial: Annotated[int, Meta(ge=0, le=2**62)]  # of the report
    epoch: Count
    version: Count
    brakes: Annotated[
        list[tuple[Checksum, Annotated[int, Meta(ge=0, le=SHARE_UNITS)]]], Meta(max_length=MAX_BRAKES)
    ]


class ActionRequest(Struct, array_like=True, tag="w", frozen=True):
    """An operator's request, for the lease holder."""

    serial: Annotated[int, Meta(ge=0, le=2**62)]
    what: Annotated[str, Meta(max_length=16)]  # drain, restore, pin, unpin
    zone: Annotated[str, Meta(max_length=64)]
    force: bool


class ActionReply(Struct, array_like=True, tag="g", frozen=True):
    serial: Annotated[int, Meta(ge=0, le=2**62)]
    done: bool
    text: Annotated[str, Meta(max_length=200)]


class PlanBody(Struct, array_like=True, frozen=True):
    mark: Checksum
    rows: Annotated[list[PlanRow], Meta(max_length=256)]
    ways: Annotated[list[PlanRow], Meta(max_length=256)]  # failover routes
    drained: Annotated[list[Position], Meta(max_length=MAX_ZONES)]
    pinned: bool
    why: Annotated[str, Meta(max_length=MAX_REASON_BYTES)]


Message = ReportMessage | ReportAck | ActionRequest | ActionReply
ENCODER = msgspec.msgpack.Encoder()
MESSAGE_DECODER = msgspec.msgpack.Decoder(Message)
PLAN_DECODER = msgspec.msgpack.Decoder(PlanBody)


class InvalidMessage(Exception):
    """The text is one word: the key under which dropped messages are counted."""


def encode(message: Message) -> bytes:
    return ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Raises InvalidMessage."""
    try:
        return MESSAGE_DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise InvalidMessage("garbled") from error


def endpoint_hash(endpoint: str) -> int:
    return crc32(endpoint.encode())


def to_count(value: float, unit: float = 1.0) -> int:
    """Guards against figures that are negative, NaN or infinite."""
    return int(min(2.0**40, value * unit) + 0.5) if value > 0 else 0


def report_message(map_: ZoneMap, report: Report, serial: int, version: int) -> ReportMessage:
    names = [zone.name for zone in map_.zones]
    rows = []
    for name in names:
        observation = report.observations.get(name, ZoneObservation())
        rows.append(
            (
                to_count(observation.attempts),
                to_count(observation.failed),
                to_count(observation.refused),
                to_count(observation.slowdown, 100),
                to_count(observation.capacity, 10),
                to_count(observation.cold, SHARE_UNITS),
                to_count(observation.ready),
                -1 if observation.listed < 0 else min(2**20, to_count(observation.listed)),
            )
        )
    cold = sorted(report.cold.items(), key=lambda row: -row[1][0])[:MAX_COLD_ENDPOINTS]
    return ReportMessage(
        map_.checksum(),
        serial,
        names.index(report.zone),
        version,
        [to_count(report.traffic.get(w.name, 0.0), 10) for w in map_.workloads],
        rows,
        [(endpoint, to_count(rate, 10), to_count(warmth, SHARE_UNITS)) for endpoint, (rate, warmth) in cold],
    )


def report_from_message(map_: ZoneMap, member: str, message: ReportMessage) -> Report:
    """Raises InvalidMessage where the sender has another zone map."""
    names = [zone.name for zone in map_.zones]
    if (
        message.mark != map_.checksum()
        or len(message.seen) != len(names)
        or len(message.traffic) != len(map_.workloads)
    ):
        raise InvalidMessage("map")
    if message.zone >= len(names):
        raise InvalidMessage("map")
    observations = {}
    for name, (attempts, failed, refused, slowdown, capacity, cold, ready, listed) in zip(
        names, message.seen
    ):
        observations[name] = ZoneObservation(
            float(attempts),
            float(failed),
            float(refused),
            slowdown / 100,
            capacity / 10,
            cold / SHARE_UNITS,
            float(ready),
            listed,
        )
    return Report(
        member,
        names[message.zone],
        {w.name: rate / 10 for w, rate in zip(map_.workloads, message.traffic)},
        observations,
        {endpoint: (rate / 10, warmth / SHARE_UNITS) for endpoint, rate, warmth in message.cold},
    )


def encode_plan(map_: ZoneMap, plan: Plan) -> bytes:
    """At most `MAX_PLAN_BYTES`: where it would be more, the smallest failover shares are left out first, then
    the smallest shares, whose traffic then stays in its zone."""
    zones = {zone.name: at for at, zone in enumerate(map_.zones)}
    workloads = {w.name: at for at, w in enumerate(map_.workloads)}

    def rows_of(routes: Routes) -> list[PlanRow]:
        found = [
            (zones[home], workloads[workload], zones[to], round(share * SHARE_UNITS))
            for home, by_workload in routes.items()
            for workload, shares in by_workload.items()
            for to, share in shares.items()
            if to != home and share * SHARE_UNITS >= MIN_SHARE_UNITS
        ]
        return sorted(found, key=lambda row: -row[3])

    rows, failover_rows = rows_of(plan.routes)[:256], rows_of(plan.failover)[:256]
    drained = sorted(zones[name] for name in plan.drained if name in zones)
    reason = plan.reason.encode()[:MAX_REASON_BYTES].decode("utf-8", "ignore")
    while True:
        data = ENCODER.encode(PlanBody(map_.checksum(), rows, failover_rows, drained, plan.pinned, reason))
        if len(data) <= MAX_PLAN_BYTES or not (rows or failover_rows):
            return data
        (failover_rows or rows).pop()


def decode_plan(map_: ZoneMap, version: int, data: bytes) -> Plan:
    """Raises InvalidMessage."""
    try:
        body = PLAN_DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise InvalidMessage("garbled") from error
    names, workloads = [zone.name for zone in map_.zones], [w.name for w in map_.workloads]
    if body.mark != map_.checksum():
        raise InvalidMessage("map")

    def routes_of(rows: list[PlanRow], fill_home: bool) -> Routes:
        found: Routes = {}
        for home, workload, to, units in rows:
            if max(home, to) >= len(names) or workload >= len(workloads) or home == to:
                raise InvalidMessage("map")
            found.setdefault(names[home], {}).setdefault(workloads[workload], {})[names[to]] = (
                units / SHARE_UNITS
            )
        for home, by_workload in found.items():
            for shares in by_workload.values():
                total = sum(shares.values())
                if total > 1 + 1e-9:
                    for to in shares:
                        shares[to] /= total
                if fill_home:
                    shares[home] = max(0.0, 1 - sum(shares.values()))
        return found

    if any(at >= len(names) for at in body.drained):
        raise InvalidMessage("map")
    drained = tuple(names[at] for at in body.drained)
    return Plan(
        version, routes_of(body.rows, True), body.why, routes_of(body.ways, False), drained, body.pinned
    )
