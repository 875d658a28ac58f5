"""The holder of the plan and the electors beside it, as the members' evidence reaches them: the very
`Driver`, `Peer`, `ZoneDriver` and words of a sidecar, in virtual time, without sockets and clients.

The lease is given by hand, and so are the reports: each member tells of `LOOKS` zones that it sends to and of
endpoints in all. What the peers' own probes cost is measured apart (`hollow`), so the peers' clock stands."""

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

LOOKS = 3  # zones that one member sends to
SECONDS = 12.0  # of one run, twice the age at which evidence counts no more
BEGAN = 1_000 * SECOND
REGIONS = 7
ELECTORS = 5


class Sink:
    """In place of the socket: the driver encodes and counts, and nothing is sent."""

    def sendto(self, data: bytes, address: Any) -> int:
        return len(data)


class Post(Driver):
    """A driver whose lease is given by hand."""

    epoch = 0
    decided = 0

    def held_epoch(self, topic: str) -> int:
        return self.epoch

    def decide(self, topic: str, body: bytes) -> bool:
        self.decided += 1
        return True


def zone_map(zones: int) -> ZoneMap:
    """20 zones in 7 regions, as near to equal as it goes."""
    rows = tuple(Zone(f"z{at}", f"r{at * REGIONS // zones}") for at in range(zones))
    return ZoneMap(rows, (Workload("view"), Workload("buy", 2.0)))


def report(name: str, zone: str, map_: ZoneMap, chance: random.Random) -> Report:
    """285 calls a second, most of them at home, over three seconds."""
    names = [one.name for one in map_.zones]
    sends = [zone, *chance.sample([one for one in names if one != zone], min(LOOKS, len(names)) - 1)]
    seen = {one: ZoneObservation(ready=24.0 / len(names), listed=24.0 / len(names)) for one in names}
    for at, one in enumerate(sends):
        tried = chance.uniform(700, 900) if at == 0 else chance.uniform(10, 60)
        seen[one] = ZoneObservation(
            tried, tried / 500, 0.0, chance.uniform(1.0, 1.6), tried / 2, 0.0, 8.0, 8.0
        )
    return Report(name, zone, {w.name: chance.uniform(120, 160) for w in map_.workloads}, seen)


@dataclass
class HolderResult:
    """What one run of a holder or elector gave."""

    cpu: float = 0.0  # part of a core, all of it
    peak: float = 0.0  # the dearest second
    look_s: float = 0.0  # seconds of one look
    report_s: float = 0.0  # seconds of one word heard and answered
    fresh_share: float = 0.0  # part of the members that the looks stood on
    bytes_in: float = 0.0
    bytes_out: float = 0.0
    own_bytes_out: float = 0.0  # of them, its own words to the other electors
    messages_in: float = 0.0
    messages_out: float = 0.0
    dropped: int = 0  # words that were not understood
    plans: int = 0
    period: float = 0.0  # seconds between two words of a member, and between two looks
    in_effect_share: float = 0.0  # part of the time for which what a look told the module counts


class Holder:
    def __init__(self, members: int, zones: int, seed: int, holds: bool = True) -> None:
        self.clock = BEGAN
        self.chance = random.Random(seed)
        self.map = zone_map(zones)
        self.roster_entries = roster_entries(members, zones)
        self.names = [seat.name for seat in self.roster_entries]
        electors = tuple(self.names[at * members // ELECTORS] for at in range(ELECTORS))
        self.told = PeerSettings(electors[0], self.roster_entries, electors, (TOPIC,))
        self.driver = Post(self.told, "hollow", "127.0.0.1:1", None, lambda *a, **k: None)
        self.driver.peer = self.peer()
        self.driver.sock = Sink()  # type: ignore[assignment]
        engine: Any = SimpleNamespace(
            clock=SimpleNamespace(now=lambda: self.clock), sidecar=SimpleNamespace(step=None)
        )
        self.zone_driver = ZoneDriver(self.map, self.told, self.driver, engine, lambda *a, **k: None)
        if holds:
            self.driver.epoch = 1
            self.zone_driver.process(member.LeaseAcquired(1))

    def peer(self) -> Any:
        """It has heard of all; its clock stands from here on."""
        from lupinmill.peers.peer import Peer

        peer = Peer(self.told, 1, 1, BEGAN)
        for at in range(0, len(self.names), wire.MAX_UPDATES):
            notes = [wire.MemberUpdate(n, Status.ALIVE, 0, n) for n in self.names[at : at + wire.MAX_UPDATES]]
            peer.membership.receive(Received(self.names[-1], wire.Table(False, 0, []), notes))
        peer.membership.pending_updates.clear()
        return peer

    # Evidence.

    def hear(self, sender: str, data: bytes) -> None:
        """As the driver does: decoded, through the peers' core, to the zones."""
        found = wire.decode(SITE, data)
        assert self.driver.peer is not None
        for order in self.driver.peer.step(BEGAN, [Received(sender, found.body, found.updates)]):
            if getattr(order, "topic", "") == TOPIC:
                self.zone_driver.on_peer_event(order)

    def own(self) -> member.OwnReport:
        seat = next(seat for seat in self.roster_entries if seat.name == self.told.name)
        return member.OwnReport(report(seat.name, seat.zone, self.map, self.chance), {seat.zone: 8})

    def play(self, seconds: float = SECONDS) -> HolderResult:
        """Each member tells once a period, at its own moment; this one looks once a period."""
        found = HolderResult(period=self.zone_driver.period)
        period = int(self.zone_driver.period * SECOND)
        events: list[tuple[int, int]] = []
        chance = self.chance
        span = max(int(seconds * SECOND), min(2 * period, int(2 * seconds * SECOND)))
        for at in range(len(self.roster_entries) - 1):
            phase = chance.randrange(period)
            events += [(due, at) for due in range(phase, span, period)]
        looks = list(range(min(period, span - 1), span, period))
        events += [(due, -1) for due in looks]
        events.sort()
        tellers = [seat for seat in self.roster_entries if seat.name != self.told.name]
        words_of = [report(s.name, s.zone, self.map, chance) for s in tellers]
        by_second = [0] * (span // SECOND + 1)
        look_ns, tell_ns, looked, told = 0, 0, 0, 0
        fresh: list[float] = []
        counts: list[float] = []
        for due, at in events:
            self.clock = BEGAN + due
            if at < 0:
                note, sent = self.own(), self.driver.bytes_out
                began = time.thread_time_ns()
                self.zone_driver.process(note)
                took = time.thread_time_ns() - began
                found.own_bytes_out += self.driver.bytes_out - sent
                look_ns, looked = look_ns + took, looked + 1
                assert self.zone_driver.applied is not None
                lasts = (self.zone_driver.applied.until - self.clock) / SECOND
                counts.append(min(1.0, lasts / self.zone_driver.period))
                fresh.append(len(self.zone_driver.core.aggregator.reports) / len(self.roster_entries))
            else:
                telling = messages.report_message(self.map, words_of[at], self.clock, 0)
                body = wire.FeatureMessage(TOPIC, messages.encode(telling))
                data = wire.encode(SITE, body, [])
                began = time.thread_time_ns()
                self.hear(tellers[at].name, data)
                took = time.thread_time_ns() - began
                tell_ns, told = tell_ns + took, told + 1
                found.bytes_in += len(data)
            by_second[due // SECOND] += took
        whole = span / SECOND
        found.look_s = look_ns / max(1, looked) / 1e9
        found.report_s = tell_ns / max(1, told) / 1e9
        # By the rate at which looks are due: a run of a few looks has one more or less of them.
        found.cpu = tell_ns / 1e9 / whole + found.look_s / self.zone_driver.period
        found.peak = max(by_second) / 1e9
        found.fresh_share = sum(fresh) / max(1, len(fresh))
        found.in_effect_share = sum(counts) / max(1, len(counts))
        found.bytes_in /= whole
        found.own_bytes_out /= whole
        found.messages_in = told / whole
        found.messages_out, found.bytes_out = self.driver.sent / whole, self.driver.bytes_out / whole
        found.dropped = sum(self.zone_driver.core.dropped.values())
        found.plans = self.driver.decided
        return found

    def measure_all_fresh(self) -> tuple[float, float]:
        """Seconds of one look, and bytes of its evidence, were all members' words fresh."""
        core = self.zone_driver.core
        reports = [report(s.name, s.zone, self.map, self.chance) for s in self.roster_entries]
        tracemalloc.start()
        for one in reports:
            again = messages.report_from_message(
                self.map, one.member, messages.report_message(self.map, one, 1, 0)
            )
            core.aggregator.add(self.clock, again)
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        note = self.own()
        began = time.thread_time_ns()
        self.zone_driver.process(note)
        return (time.thread_time_ns() - began) / 1e9, float(memory)

    def measure_look(self, times: int = 5) -> float:
        """Seconds of one look with all reports fresh, put in past the words and their cap on zones; the
        median of several."""
        core = self.zone_driver.core
        took = []
        for at in range(times):
            self.clock = BEGAN + (at + 1) * SECOND
            for seat in self.roster_entries:
                core.aggregator.add(self.clock, report(seat.name, seat.zone, self.map, self.chance))
            note = self.own()
            began = time.thread_time_ns()
            self.zone_driver.process(note)
            took.append((time.thread_time_ns() - began) / 1e9)
        return sorted(took)[times // 2]
