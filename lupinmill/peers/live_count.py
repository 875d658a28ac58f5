"""How many sidecars share the endpoints now, in place of the figure told at the start. Pure.

A rise counts at once: caps of all are smaller then, which harms nothing. A fall counts after `HOLD`, as one
that restarts is back before; and only while this sidecar sees a majority. Who is cut off can't tell the dead
from the others' side of the cut: it goes back to the told figure, by as much as what it last knew has aged.
So two sides of a partition together never act as more than twice the fleet, and mostly as the fleet.

Owns the counts of the last `HOLD`, one a step at most `KEPT`."""

from __future__ import annotations

from collections import deque

from lupinmill.peers.view import SECOND

HOLD = 10 * SECOND
FADES = 30 * SECOND
KEPT = 64


class LiveCount:
    def __init__(self, told: int, now: int) -> None:
        self.told = max(1, told)
        self.seen: deque[tuple[int, int]] = deque(maxlen=KEPT)
        self.known, self.known_at = self.told, now - FADES

    def step(self, now: int, together: bool, live: int) -> int:
        """`live`: members there in this one's view, itself among them. Gives the count to go by; the told one
        where nothing is known."""
        if together:
            self.seen.append((now, max(1, live)))
            while self.seen and now - self.seen[0][0] > HOLD:
                self.seen.popleft()
            self.known, self.known_at = max(count for _, count in self.seen), now
            return self.known
        self.seen.clear()
        trust = max(0.0, 1 - (now - self.known_at) / FADES)
        return max(1, round(self.told + (self.known - self.told) * trust))
