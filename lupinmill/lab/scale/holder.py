"""The cost of zone reports for the lease holder, which decides the plan, and for the other electors.

Runs the production `Driver`, `Peer`, `ZoneDriver` and message codec of a sidecar in virtual time, without
sockets and clients. The lease is set directly, and the reports are generated: each member reports traffic to
`ZONES_PER_REPORT` zones and endpoints in all zones. The cost of the peers' own probes is measured separately
(`hollow`), so the peers' clock does not advance."""

from __future__ import annotations

import random
import time
import tracemalloc
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

from lupinmill.lab.scale.hollow import SITE, roster_entries
from lupinmill.peers import wire
from lupinmill.peers.driver import Driver
from lupinmill.peers.peer import PeerSettings
from lupinmill.peers.view import SECOND, Received
from lupinmill.peers.wire import Status
from lupinmill.zones import member, messages
from lupinmill.zones.driver import TOPIC, ZoneDriver
from lupinmill.zones.reports import Report, ZoneObservation
from lupinmill.zones.zone_map import Workload, Zone, ZoneMap

ZONES_PER_REPORT = 3  # zones that one member sends traffic to
RUN_SECONDS = 12.0  # length of one run: twice the age at which a report expires
START_US = 1_000 * SECOND
REGIONS = 7
ELECTORS = 5


class NullSocket:
    """Stands in for the socket: the driver encodes and counts, and nothing is sent."""

    def sendto(self, data: bytes, address: Any) -> int:
        return len(data)


class LeaseHolderDriver(Driver):
    """A driver whose lease is set directly."""

    epoch = 0
    decided = 0

    def held_epoch(self, topic: str) -> int:
        return self.epoch

    def decide(self, topic: str, body: bytes) -> bool:
        self.decided += 1
        return True


def zone_map(zones: int) -> ZoneMap:
    """A map of `zones` zones, spread over `REGIONS` regions as evenly as possible; the target has 20."""
    rows = tuple(Zone(f"z{at}", f"r{at * REGIONS // zones}") for at in range(zones))
    return ZoneMap(rows, (Workload("view"), Workload("buy", 2.0)))


def report(name: str, zone: str, zone_map: ZoneMap, random_source: random.Random) -> Report:
    """A member's report over three seconds with 285 calls a second, most of them to its own zone."""
    names = [one.name for one in zone_map.zones]
    sends = [
        zone,
        *random_source.sample([one for one in names if one != zone], min(ZONES_PER_REPORT, len(names)) - 1),
    ]
    seen = {one: ZoneObservation(ready=24.0 / len(names), listed=24.0 / len(names)) for one in names}
    for at, one in enumerate(sends):
        tried = random_source.uniform(700, 900) if at == 0 else random_source.uniform(10, 60)
        seen[one] = ZoneObservation(
            tried, tried / 500, 0.0, random_source.uniform(1.0, 1.6), tried / 2, 0.0, 8.0, 8.0
        )
    return Report(name, zone, {w.name: random_source.uniform(120, 160) for w in zone_map.workloads}, seen)


@dataclass
class HolderResult:
    """Results of one run of the holder or another elector."""

    cpu: float = 0.0  # part of a core, in total
    peak: float = 0.0  # part of a core in the busiest second
    look_s: float = 0.0  # processor seconds of one evaluation of the reports
    report_s: float = 0.0  # processor seconds to receive and answer one report
    fresh_share: float = 0.0  # share of the members whose reports an evaluation used
    bytes_in: float = 0.0
    bytes_out: float = 0.0
    own_bytes_out: float = 0.0  # of `bytes_out`, its own reports to the other electors
    messages_in: float = 0.0
    messages_out: float = 0.0
    dropped: int = 0  # reports that could not be decoded
    plans: int = 0
    period: float = 0.0  # seconds between two reports of a member, and between two evaluations
    in_effect_share: float = 0.0  # share of the time for which the result of an evaluation is valid


class Holder:
    def __init__(self, members: int, zones: int, seed: int, holds: bool = True) -> None:
        self.clock = START_US
        self.random_source = random.Random(seed)
        self.map = zone_map(zones)
        self.roster_entries = roster_entries(members, zones)
        self.names = [entry.name for entry in self.roster_entries]
        electors = tuple(self.names[at * members // ELECTORS] for at in range(ELECTORS))
        self.settings = PeerSettings(electors[0], self.roster_entries, electors, (TOPIC,))
        self.driver = LeaseHolderDriver(self.settings, "hollow", "127.0.0.1:1", None, lambda *a, **k: None)
        self.driver.peer = self.make_peer()
        self.driver.sock = NullSocket()  # type: ignore[assignment]
        engine: Any = SimpleNamespace(
            clock=SimpleNamespace(now=lambda: self.clock), sidecar=SimpleNamespace(step=None)
        )
        self.zone_driver = ZoneDriver(self.map, self.settings, self.driver, engine, lambda *a, **k: None)
        if holds:
            self.driver.epoch = 1
            self.zone_driver.process(member.LeaseAcquired(1))

    def make_peer(self) -> Any:
        """A peer that knows all members and whose clock does not advance."""
        from lupinmill.peers.peer import Peer

        peer = Peer(self.settings, 1, 1, START_US)
        for at in range(0, len(self.names), wire.MAX_UPDATES):
            updates = [
                wire.MemberUpdate(n, Status.ALIVE, 0, n) for n in self.names[at : at + wire.MAX_UPDATES]
            ]
            peer.membership.receive(Received(self.names[-1], wire.Table(False, 0, []), updates))
        peer.membership.pending_updates.clear()
        return peer

    # Reports.

    def receive(self, sender: str, data: bytes) -> None:
        """Handles a datagram as the driver does: decodes it and passes it via the peer to the zone driver."""
        found = wire.decode(SITE, data)
        assert self.driver.peer is not None
        for command in self.driver.peer.step(START_US, [Received(sender, found.body, found.updates)]):
            if getattr(command, "topic", "") == TOPIC:
                self.zone_driver.on_peer_event(command)

    def own_report(self) -> member.OwnReport:
        entry = next(entry for entry in self.roster_entries if entry.name == self.settings.name)
        return member.OwnReport(report(entry.name, entry.zone, self.map, self.random_source), {entry.zone: 8})

    def play(self, seconds: float = RUN_SECONDS) -> HolderResult:
        """Each member reports once a period, at its own phase; this one evaluates once a period."""
        found = HolderResult(period=self.zone_driver.period)
        period = int(self.zone_driver.period * SECOND)
        events: list[tuple[int, int]] = []
        random_source = self.random_source
        span = max(int(seconds * SECOND), min(2 * period, int(2 * seconds * SECOND)))
        for at in range(len(self.roster_entries) - 1):
            phase = random_source.randrange(period)
            events += [(due, at) for due in range(phase, span, period)]
        evaluations_due = list(range(min(period, span - 1), span, period))
        events += [(due, -1) for due in evaluations_due]
        events.sort()
        senders = [entry for entry in self.roster_entries if entry.name != self.settings.name]
        reports = [report(s.name, s.zone, self.map, random_source) for s in senders]
        by_second = [0] * (span // SECOND + 1)
        evaluation_ns, report_ns, evaluations, reported = 0, 0, 0, 0
        fresh: list[float] = []
        counts: list[float] = []
        for due, at in events:
            self.clock = START_US + due
            if at < 0:
                event, sent = self.own_report(), self.driver.bytes_out
                began = time.thread_time_ns()
                self.zone_driver.process(event)
                took = time.thread_time_ns() - began
                found.own_bytes_out += self.driver.bytes_out - sent
                evaluation_ns, evaluations = evaluation_ns + took, evaluations + 1
                assert self.zone_driver.applied is not None
                lasts = (self.zone_driver.applied.until - self.clock) / SECOND
                counts.append(min(1.0, lasts / self.zone_driver.period))
                fresh.append(len(self.zone_driver.core.aggregator.reports) / len(self.roster_entries))
            else:
                message = messages.report_message(self.map, reports[at], self.clock, 0)
                body = wire.FeatureMessage(TOPIC, messages.encode(message))
                data = wire.encode(SITE, body, [])
                began = time.thread_time_ns()
                self.receive(senders[at].name, data)
                took = time.thread_time_ns() - began
                report_ns, reported = report_ns + took, reported + 1
                found.bytes_in += len(data)
            by_second[due // SECOND] += took
        span_s = span / SECOND
        found.look_s = evaluation_ns / max(1, evaluations) / 1e9
        found.report_s = report_ns / max(1, reported) / 1e9
        # Uses the rate at which evaluations are due, as their number in a short run may be off by one.
        found.cpu = report_ns / 1e9 / span_s + found.look_s / self.zone_driver.period
        found.peak = max(by_second) / 1e9
        found.fresh_share = sum(fresh) / max(1, len(fresh))
        found.in_effect_share = sum(counts) / max(1, len(counts))
        found.bytes_in /= span_s
        found.own_bytes_out /= span_s
        found.messages_in = reported / span_s
        found.messages_out, found.bytes_out = self.driver.sent / span_s, self.driver.bytes_out / span_s
        found.dropped = sum(self.zone_driver.core.dropped.values())
        found.plans = self.driver.decided
        return found

    def measure_all_fresh(self) -> tuple[float, float]:
        """Processor seconds of one evaluation and bytes of its reports, if those of all members are fresh."""
        core = self.zone_driver.core
        reports = [report(s.name, s.zone, self.map, self.random_source) for s in self.roster_entries]
        tracemalloc.start()
        for one in reports:
            again = messages.report_from_message(
                self.map, one.member, messages.report_message(self.map, one, 1, 0)
            )
            core.aggregator.add(self.clock, again)
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        event = self.own_report()
        began = time.thread_time_ns()
        self.zone_driver.process(event)
        return (time.thread_time_ns() - began) / 1e9, float(memory)

    def measure_look(self, times: int = 5) -> float:
        """Median processor seconds of one evaluation with all reports fresh. Reports are added directly,
        which bypasses the messages' limit on zones."""
        core = self.zone_driver.core
        took = []
        for at in range(times):
            self.clock = START_US + (at + 1) * SECOND
            for entry in self.roster_entries:
                core.aggregator.add(self.clock, report(entry.name, entry.zone, self.map, self.random_source))
            event = self.own_report()
            began = time.thread_time_ns()
            self.zone_driver.process(event)
            took.append((time.thread_time_ns() - began) / 1e9)
        return sorted(took)[times // 2]
