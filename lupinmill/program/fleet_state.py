"""Publishes the fleet's shared state to the decision module, once a period in one event.

The number of sidecars comes from the peers, plan and brakes from the zones. An event is valid for some
periods: should this task end, the module soon falls back to its configured values."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from lupinmill import terms as t
from lupinmill.peers.driver import Driver
from lupinmill.peers.live_count import LiveCount
from lupinmill.peers.view import SECOND, QuorumState
from lupinmill.routing.engine import Engine, Log

if TYPE_CHECKING:
    from lupinmill.zones.driver import ZoneDriver

PERIOD_S = 1.0
VALIDITY = 3 * SECOND  # microseconds


class FleetStatePublisher:
    def __init__(
        self,
        engine: Engine,
        peers: Driver,
        configured: int,
        live: bool,
        zone_driver: ZoneDriver | None,
        log: Log,
    ) -> None:
        self.engine, self.peers, self.zone_driver, self.log = engine, peers, zone_driver, log
        self.live_count = LiveCount(configured, engine.clock.now()) if live else None
        self.count = configured

    async def run(self) -> None:
        while True:
            self.publish()
            await anyio.sleep(self.zone_driver.period if self.zone_driver is not None else PERIOD_S)

    def publish(self) -> None:
        now, sidecars = self.engine.clock.now(), 0
        if self.live_count is not None:
            has_quorum = self.peers.quorum_state() in (QuorumState.MAJORITY, QuorumState.UNCERTAIN)
            sidecars = self.live_count.step(now, has_quorum, len(self.peers.present()))
            if sidecars != self.count:
                self.log("mode", text=f"{sidecars} sidecars share the endpoints, {self.count} before")
                self.count = sidecars
        state = t.FleetState(until=now + VALIDITY)
        if self.zone_driver is not None:
            self.zone_driver.send_report()
            state = self.zone_driver.current_plan(now)
        state.sidecars = sidecars
        self.engine.handle_event(state)

    def continue_reports(self, serial: int) -> None:
        """Goes on from the serial of the last report that the process before this one has sent: others drop
        lower ones for a while, and the clock may have been set back."""
        if self.zone_driver is not None:
            self.zone_driver.core.serial = max(serial, self.zone_driver.core.serial)

    def change_configured_count(self, configured: int) -> None:
        """Takes a new configured number of sidecars that share the endpoints."""
        if self.live_count is not None:
            self.live_count.configured = max(1, configured)
        else:
            self.count = configured

    def show(self) -> dict[str, object]:
        return {"sidecars": self.count, "live": self.live_count is not None}
