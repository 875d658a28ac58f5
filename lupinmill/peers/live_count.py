"""The number of sidecars that share the endpoints now, in place of the configured one. No I/O.

A rise counts at once, as it makes everyone's caps smaller, which is harmless. A fall counts after
`FALL_DELAY_US`, as a restarting sidecar is back before, and only while a majority is present. A sidecar cut
off from the majority can't tell failed members from those beyond the partition: it returns to the
configured number gradually, as its last known one ages. So two sides of a partition together never act
as more than twice the fleet, and mostly as the fleet.

Owns the counts of the last `FALL_DELAY_US`, at most `MAX_SAMPLES`."""

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
        """Returns the count to use. `live`: the present members in this view, including this one. Without any
        known count it is the configured one."""
        if has_quorum:
            self.recent.append((now, max(1, live)))
            while self.recent and now - self.recent[0][0] > FALL_DELAY_US:
                self.recent.popleft()
            self.known, self.known_at = max(count for _, count in self.recent), now
            return self.known
        self.recent.clear()
        trust = max(0.0, 1 - (now - self.known_at) / TRUST_US)
        return max(1, round(self.configured + (self.known - self.configured) * trust))
