"""Drives the zones' core: between the peers, the decision module and the operators.

It looks at the module through one place, its `step`: notes before, orders after. Owns the core, the tally and
the calls of operators that wait for their answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from lupinmill import terms as t
from lupinmill.peers import claims, peer
from lupinmill.peers.driver import Driver
from lupinmill.routing.engine import Engine, Log
from lupinmill.zones import member
from lupinmill.zones.member import Member
from lupinmill.zones.messages import endpoint_hash
from lupinmill.zones.reports import SECOND
from lupinmill.zones.traffic_monitor import TrafficMonitor, attach_monitor
from lupinmill.zones.zone_map import ZoneMap

TOPIC = "zones"
REPORT_PERIOD_S = 1.0  # seconds
MAX_MEMBERS_AT_FULL_RATE = 250  # members, above which each tells its evidence less often


class ZoneDriver:
    def __init__(self, map_: ZoneMap, told: peer.Told, peers: Driver, engine: Engine, log: Log) -> None:
        self.map, self.peers, self.engine, self.log = map_, peers, engine, log
        now = engine.clock.now()
        seats = {seat.name: seat for seat in told.seats}
        home = seats[told.name].zone
        peopled = tuple(zone.name for zone in map_.zones if any(s.zone == zone.name for s in told.seats))
        self.core = Member(map_, told.name, home, told.electors, peopled, now)
        self.tally = TrafficMonitor(map_, home, now)
        self.period = REPORT_PERIOD_S * max(1.0, len(told.seats) / MAX_MEMBERS_AT_FULL_RATE)
        self.applied: member.ApplyPlan | None = None  # what the module is to hear of
        self.waiting: dict[int, Callable[[bool, str], None]] = {}
        self.serial = now
        self.inbox: list[member.Event] = []
        self.stepping = False
        peers.features[TOPIC] = self.on_peer_event
        attach_monitor(engine.sidecar, self.tally)

    def update_members(self, told: peer.Told) -> None:
        """Another roster, from now on."""
        zones = {seat.zone for seat in told.seats}
        self.core.aggregator.peopled = tuple(zone.name for zone in self.map.zones if zone.name in zones)

    # From the peers.

    def on_peer_event(self, order: peer.Order) -> None:
        if isinstance(order, peer.Said):
            self.process(member.MessageReceived(order.sender, order.words))
        elif isinstance(order, peer.Known):
            self.process(member.PlanDecided(order.version, order.body))
        elif isinstance(order, claims.Took):
            self.process(member.LeaseAcquired(order.epoch))
        elif isinstance(order, claims.Lost):
            self.process(member.LeaseLost())
        elif isinstance(order, peer.Forgot):
            self.process(member.PlanExpired())

    # Once a period.

    def send_report(self) -> None:
        sidecar, now = self.engine.sidecar, self.engine.clock.now()
        report = self.tally.report(now, self.core.name, sidecar)
        self.process(member.OwnReport(report, dict(sidecar.desk.open_in)))

    # Notes in, orders out.

    def process(self, *notes: member.Event) -> None:
        self.inbox += notes
        if self.stepping:
            return
        self.stepping, again = True, True
        try:
            while again:
                taken, self.inbox = self.inbox, []
                now, epoch = self.engine.clock.now(), self.peers.holds(TOPIC)
                for order in self.core.step(now, taken, epoch, self.peers.present()):
                    self.carry_out(order)
                again = bool(self.inbox)
        finally:
            self.stepping = False

    def carry_out(self, order: member.Command) -> None:
        if isinstance(order, member.SendMessage):
            self.peers.carry(TOPIC, order.to, order.data)
        elif isinstance(order, member.ProposePlan):
            self.peers.decide(TOPIC, order.body)  # refused or lost: the next look computes it anew
        elif isinstance(order, member.ApplyPlan):
            self.applied = order
        elif isinstance(order, member.PlanChanged):
            if self.core.holding is not None:
                self.log("zones", version=order.version, text=order.why)
        elif (answer := self.waiting.pop(order.serial, None)) is not None:
            answer(order.done, order.text)

    def current_plan(self, now: int) -> t.Common:
        """For the module: plan by workload, brakes by endpoint, and until when they count."""
        if self.applied is None:
            return t.Common(until=now + 1)
        marks = self.applied.brakes
        names = self.engine.sidecar.desk.seats if marks else ()
        brakes = {name: marks[endpoint_hash(name)] for name in names if endpoint_hash(name) in marks}
        listed = self.tally.listed_by_zone(self.engine.sidecar)
        return t.Common(0, self.applied.plan, brakes, listed, max(now + 1, self.applied.until))

    # Operators.

    async def request_action(self, what: str, zone: str, force: bool) -> tuple[bool, str]:
        self.serial += 1
        serial, answered, found = self.serial, anyio.Event(), []

        def answer(done: bool, text: str) -> None:
            found.append((done, text))
            answered.set()

        self.waiting[serial] = answer
        try:
            self.process(member.OperatorRequested(serial, what, zone, force))
            with anyio.move_on_after(member.REQUEST_TIMEOUT / SECOND + 1):
                while not answered.is_set():
                    with anyio.move_on_after(member.REQUEST_RETRY_INTERVAL / SECOND):
                        await answered.wait()
                        break
                    self.process()  # a wish that waits is asked again
        finally:
            self.waiting.pop(serial, None)
        return found[0] if found else (False, "no answer")

    def show(self) -> dict[str, Any]:
        table = self.core.show()
        table["crossing"] = {
            name: {"crossed": crossed, "launched": whole}
            for name, (crossed, whole) in self.tally.crossed.items()
        }
        return table
