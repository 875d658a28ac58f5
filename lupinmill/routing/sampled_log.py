"""Log lines about single requests, of which a client may cause any number."""

from __future__ import annotations

import time

from lupinmill.routing.engine import Log

INTERVAL_S = 1.0  # between two lines of one event


class SampledLog:
    """Writes one line of each event and interval; `more` tells how many were left out since the last."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.written_at: dict[str, float] = {}
        self.left_out: dict[str, int] = {}

    def __call__(self, event: str, **fields: object) -> None:
        now = time.monotonic()
        if now - self.written_at.get(event, -INTERVAL_S) < INTERVAL_S:
            self.left_out[event] = self.left_out.get(event, 0) + 1
            return
        self.written_at[event] = now
        self.log(event, **fields, more=self.left_out.pop(event, 0))
