"""Connects the zone logic to the peers, the decision module and the operators.

It observes the decision module in one place only, its `step`: the events before, the commands after. Owns the
zone logic (`Member`), the traffic monitor and the operators' requests that wait for their answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from lupinmill import terms as t
from lupinmill.peers import peer, proposer
from lupinmill.peers.driver import Driver
from lupinmill.routing.engine import Engine, Log
from lupinmill.transport.clocks import unix_now
from lupinmill.zones import member
from lupinmill.zones.member import Member
from lupinmill.zones.messages import endpoint_hash
from lupinmill.zones.reports import SECOND
from lupinmill.zones.traffic_monitor import TrafficMonitor, attach_monitor
from lupinmill.zones.zone_map import ZoneMap

TOPIC = "zones"
REPORT_PERIOD_S = 1.0
MAX_MEMBERS_AT_FULL_RATE = 250  # with more, each member reports less often


class ZoneDriver:
    def __init__(
        self, map_: ZoneMap, settings: peer.PeerSettings, peers: Driver, engine: Engine, log: Log
    ) -> None:
        self.map, self.peers, self.engine, self.log = map_, peers, engine, log
        now = engine.clock.now()
        members = {entry.name: entry for entry in settings.roster}
        home = members[settings.name].zone
        member_zones = tuple(
            zone.name for zone in map_.zones if any(entry.zone == zone.name for entry in settings.roster)
        )
        self.core = Member(map_, settings.name, home, settings.electors, member_zones, now)
        self.core.serial = unix_now()
        self.monitor = TrafficMonitor(map_, home, now)
        self.period = REPORT_PERIOD_S * max(1.0, len(settings.roster) / MAX_MEMBERS_AT_FULL_RATE)
        self.applied: member.ApplyPlan | None = None  # the last one, for the decision module
        self.waiting: dict[int, Callable[[bool, str], None]] = {}
        self.serial = now
        self.inbox: list[member.Event] = []
        self.stepping = False
        peers.features[TOPIC] = self.on_peer_event
        attach_monitor(engine.sidecar, self.monitor)

    def update_members(self, settings: peer.PeerSettings) -> None:
        """Another member list applies from now on."""
        zones = {entry.zone for entry in settings.roster}
        self.core.aggregator.member_zones = tuple(zone.name for zone in self.map.zones if zone.name in zones)

    # From the peers.

    def on_peer_event(self, event: peer.Command) -> None:
        if isinstance(event, peer.FeatureMessageReceived):
            self.process(member.MessageReceived(event.sender, event.payload))
        elif isinstance(event, peer.DecisionAdopted):
            self.process(member.PlanDecided(event.version, event.body))
        elif isinstance(event, proposer.LeaseAcquired):
            self.process(member.LeaseAcquired(event.epoch))
        elif isinstance(event, proposer.LeaseLost):
            self.process(member.LeaseLost())
        elif isinstance(event, peer.DecisionExpired):
            self.process(member.PlanExpired())

    # Once per period.

    def send_report(self) -> None:
        sidecar, now = self.engine.sidecar, self.engine.clock.now()
        report = self.monitor.report(now, self.core.name, sidecar)
        self.process(member.OwnReport(report, dict(sidecar.dispatcher.ready_by_zone)))

    # Events in, commands out.

    def process(self, *events: member.Event) -> None:
        self.inbox += events
        if self.stepping:
            return
        self.stepping, again = True, True
        try:
            while again:
                taken, self.inbox = self.inbox, []
                now, epoch = self.engine.clock.now(), self.peers.held_epoch(TOPIC)
                for command in self.core.step(now, taken, epoch, self.peers.present()):
                    self.execute(command)
                again = bool(self.inbox)
        finally:
            self.stepping = False

    def execute(self, command: member.Command) -> None:
        if isinstance(command, member.SendMessage):
            self.peers.send_feature_message(TOPIC, command.to, command.data)
        elif isinstance(command, member.ProposePlan):
            # Where it is refused or lost, the next report leads to a new proposal.
            self.peers.decide(TOPIC, command.body)
        elif isinstance(command, member.ApplyPlan):
            self.applied = command
        elif isinstance(command, member.PlanChanged):
            if self.core.holder_state is not None:
                self.log("zones", version=command.version, text=command.reason)
        elif (answer := self.waiting.pop(command.serial, None)) is not None:
            answer(command.done, command.text)

    def current_plan(self, now: int) -> t.FleetState:
        """For the decision module: plan by workload, brakes by endpoint, and until when they count."""
        if self.applied is None:
            return t.FleetState(until=now + 1)
        brakes_by_hash = self.applied.brakes
        names = self.engine.sidecar.dispatcher.endpoint_states if brakes_by_hash else ()
        brakes = {
            name: brakes_by_hash[endpoint_hash(name)]
            for name in names
            if endpoint_hash(name) in brakes_by_hash
        }
        listed = self.monitor.listed_by_zone(self.engine.sidecar)
        return t.FleetState(0, self.applied.plan, brakes, listed, max(now + 1, self.applied.until))

    # Operators.

    async def request_action(self, what: str, zone: str, force: bool) -> tuple[bool, str]:
        """Whether it is done, and a text for the operator."""
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
                    self.process()  # a pending request is retried
        finally:
            self.waiting.pop(serial, None)
        return found[0] if found else (False, "no answer")

    def show(self) -> dict[str, Any]:
        table = self.core.show()
        table["crossing"] = {
            name: {"crossed": crossed, "launched": total}
            for name, (crossed, total) in self.monitor.crossed.items()
        }
        return table
