"""Start times of endpoints in this process's time, even if the machine's wall clock was set meanwhile.

Discovery gives a start as Unix time of a clock that may or may not have been set together with this
machine's. If both readings are possible the later start is used: it is safer to treat an endpoint as cold
than to overload it."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import replace

from lupinmill import terms as t
from lupinmill.transport.wall_clock import WallClock

MAX_CLOCK_SKEW_US = 1_000_000  # microseconds by which another machine's clock may be ahead


class StartTimes:
    """Keeps one start for each listed endpoint; `retain` drops the others."""

    def __init__(self, wall_clock: WallClock) -> None:
        self.wall_clock = wall_clock
        # By endpoint, in microseconds of Unix time: its start as listed, and as converted where that differs.
        self.listed: dict[str, int] = {}
        self.converted: dict[str, int] = {}

    def resolve(self, entry: t.ListEntry, now: int) -> t.ListEntry:
        """`now`: microseconds of this process's time, which is never set. A start that was listed before is
        converted as it was then, or each step of the clock would look like a restart."""
        name = entry.endpoint
        if self.listed.get(name, -1) != entry.started:
            self.listed[name] = entry.started
            self.converted.pop(name, None)
            if (started := self.to_process_time(entry.started, now)) != entry.started:
                self.converted[name] = started
        converted = self.converted.get(name)
        return entry if converted is None else replace(entry, started=converted)

    def to_process_time(self, listed: int, now: int) -> int:
        if not listed:
            return 0  # long ago
        starts = [listed - step for step in self.wall_clock.steps]
        return max((start for start in starts if start <= now + MAX_CLOCK_SKEW_US), default=listed)

    def retain(self, names: Container[str]) -> None:
        self.listed = {name: start for name, start in self.listed.items() if name in names}
        self.converted = {name: start for name, start in self.converted.items() if name in names}
