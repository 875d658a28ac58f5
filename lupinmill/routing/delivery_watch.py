"""Calls off attempts whose bytes have not reached their endpoint when the window for repeats ends.

A request that was written may lie in this machine's kernel for seconds: its endpoint accepts late or does not
read, or a packet was lost. Endpoints drop repeats within the window only, so what arrives after it has its
effect twice if another attempt has run."""

from __future__ import annotations

import asyncio
from math import inf

from lupinmill.routing.engine import Engine
from lupinmill.routing.request_table import Attempt, PendingRequest
from lupinmill.transport.connection import Connection


class DeliveryWatch:
    """Watches one attempt on its connection, from its first byte until `stop`."""

    def __init__(
        self, engine: Engine, pending: PendingRequest, attempt: Attempt, connection: Connection
    ) -> None:
        self.engine, self.request_id = engine, pending.metadata.request_id
        self.attempt, self.connection = attempt, connection
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        ends_at = self.engine.sidecar.window_end(self.request_id)
        if ends_at < inf:
            left_s = (ends_at - self.engine.clock.now()) / 1_000_000
            self.timer = asyncio.get_running_loop().call_later(max(0.0, left_s), self.on_window_end)

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def on_window_end(self) -> None:
        """Ends the attempt if another one may have run. Its task then closes the connection with a reset."""
        if self.engine.clock.now() < self.engine.sidecar.window_end(self.request_id):
            self.start()  # counted anew, as the request's body was complete only then
            return
        others_may_have_run = self.engine.sidecar.send_limit(self.request_id, self.attempt.number) < inf
        delivered = self.attempt.fully_sent and not self.connection.unacknowledged()
        if others_may_have_run and not delivered:
            self.engine.log("attempt_recalled", submission=self.request_id, endpoint=self.attempt.endpoint)
            self.attempt.recall()
