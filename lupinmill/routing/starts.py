"""When endpoints started, in this process's time, though the machine's wall clock was set meanwhile.

Discovery tells a start as Unix time, by a clock that may have been set with this machine's, or not. Where
both readings are possible the later start holds: an endpoint is rather taken for cold than pushed over."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import replace

from lupinmill import terms as t
from lupinmill.transport.wall_clock import WallClock

LEAD = 1_000_000  # microseconds by which another machine's clock may be ahead


class Starts:
    """Keeps one start for each endpoint that is listed; `keep` gives the others back."""

    def __init__(self, wall_clock: WallClock) -> None:
        self.wall_clock = wall_clock
        self.read: dict[str, tuple[int, int]] = {}  # as told and as understood, microseconds of Unix time

    def understand(self, entry: t.ListEntry, now: int) -> t.ListEntry:
        """`now`: microseconds of this process's time, which is never set. A start that was told before is
        understood as it was then, or each step of the clock would look like a restart."""
        told, understood = self.read.get(entry.endpoint, (-1, 0))
        if told != entry.started:
            understood = self.understood(entry.started, now)
            self.read[entry.endpoint] = entry.started, understood
        return entry if understood == entry.started else replace(entry, started=understood)

    def understood(self, told: int, now: int) -> int:
        if not told:
            return 0  # long ago
        starts = [told - step for step in self.wall_clock.steps]
        return max((start for start in starts if start <= now + LEAD), default=told)

    def keep(self, names: Container[str]) -> None:
        self.read = {name: read for name, read in self.read.items() if name in names}
