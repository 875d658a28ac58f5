"""What this sidecar holds in common with the others, told to the decision module once a period, in one note.

Owns nothing: the count is the peers', plan and brakes are the zones'. A note counts for some periods; should
this task end, the module is as told at the start soon after."""

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

PERIOD = 1.0  # seconds
COUNTS = 3 * SECOND


class FleetStatePublisher:
    def __init__(
        self, engine: Engine, peers: Driver, told: int, live: bool, zone_driver: ZoneDriver | None, log: Log
    ) -> None:
        self.engine, self.peers, self.zone_driver, self.log = engine, peers, zone_driver, log
        self.live = LiveCount(told, engine.clock.now()) if live else None
        self.count = told

    async def run(self) -> None:
        while True:
            self.look()
            await anyio.sleep(self.zone_driver.period if self.zone_driver is not None else PERIOD)

    def look(self) -> None:
        now, sidecars = self.engine.clock.now(), 0
        if self.live is not None:
            together = self.peers.quorum_state() in (QuorumState.MAJORITY, QuorumState.UNCERTAIN)
            sidecars = self.live.step(now, together, len(self.peers.present()))
            if sidecars != self.count:
                self.log("mode", text=f"{sidecars} sidecars share the endpoints, {self.count} before")
                self.count = sidecars
        found = t.FleetState(until=now + COUNTS)
        if self.zone_driver is not None:
            self.zone_driver.send_report()
            found = self.zone_driver.current_plan(now)
        found.sidecars = sidecars
        self.engine.tell(found)

    def change(self, told: int) -> None:
        """Another figure told of how many share the endpoints."""
        if self.live is not None:
            self.live.configured = max(1, told)
        else:
            self.count = told

    def show(self) -> dict[str, object]:
        return {"sidecars": self.count, "live": self.live is not None}
