"""Whether the other side of a connection still takes what was written to it."""

from __future__ import annotations


class AcknowledgementProgress:
    """Since when the other side has acknowledged no further byte, by the clock that the caller reads.

    Acknowledged bytes tell sooner than writable sockets: the kernel calls a socket writable only when a third
    of its send buffer is free, which grows to some megabytes."""

    def __init__(self, now: float, unacknowledged: int | None) -> None:
        self.since, self.unacknowledged = now, unacknowledged or 0

    def stalled_s(self, now: float, unacknowledged: int | None) -> float:
        """Seconds without progress. `unacknowledged`: bytes written and not acknowledged yet, as of `now`;
        None where the kernel does not tell."""
        count = unacknowledged or 0
        if count < self.unacknowledged:
            self.since = now
        self.unacknowledged = min(count, self.unacknowledged)
        return now - self.since
