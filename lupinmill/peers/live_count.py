"""How many sidecars share the endpoints now, in place of the figure told at the start. Pure.

A rise counts at once: caps of all are smaller then, which harms nothing. A fall counts after `HOLD`, as one
that restarts is back before; and only while this sidecar sees a majority. Who is cut off can't tell the dead
from the others' side of the cut: it goes back to the told figure, by as much as what it last knew has aged.
So two sides of a partition together never act as more than twice the fleet, and mostly as the fleet.

Owns the counts of the last `HOLD`, one a step at most `KEPT`."""

from __future__ import annotations

from collections import deque

from lupinmill.peers.view import SECOND

FALL_DELAY_US = 10 * SECOND
TRUST_US = 30 * SECOND
MAX_SAMPLES = 64


class LiveCount:
    def __init__(self, configured: int, now: int) -> None:
        self.configured = max(1, configured)
        self.recent: deque[tuple[int, int]] = deque(maxlen=MAX_SAMPLES)
        self.known, self.known_at = self.configured, now - TRUST_US

    def step(self, now: int, has_quorum: bool, live: int) -> int:
        """`live`: members there in this one's view, itself among them. Gives the count to go by; the told one
        where nothing is known."""
        if has_quorum:
            self.recent.append((now, max(1, live)))
            while self.recent and now - self.recent[0][0] > FALL_DELAY_US:
                self.recent.popleft()
            self.known, self.known_at = max(count for _, count in self.recent), now
            return self.known
        self.recent.clear()
        trust = max(0.0, 1 - (now - self.known_at) / TRUST_US)
        return max(1, round(self.configured + (self.known - self.configured) * trust))
