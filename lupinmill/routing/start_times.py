"""Start times of endpoints in monotonic time, though the wall clock may have been set meanwhile.

Discovery gives a start as Unix time of a clock that may or may not have been set together with this
machine's. If several readings are possible the latest start is used: it is safer to treat an endpoint as cold
than to overload it."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import replace

from lupinmill import terms as t
from lupinmill.transport.wall_clock import WallClock

MAX_CLOCK_SKEW_US = 1_000_000  # microseconds by which another machine's clock may be ahead
LONG_AGO = 0  # of an entry that has no start


class StartTimes:
    """Keeps one start for each listed endpoint that has one; `retain` drops the others."""

    def __init__(self, wall_clock: WallClock) -> None:
        self.wall_clock = wall_clock
        # By endpoint, in microseconds: its start in Unix time, as listed, and in monotonic time.
        self.listed: dict[str, int] = {}
        self.converted: dict[str, int] = {}

    def adopt(self, starts: Mapping[str, int], entries: list[t.ListEntry]) -> None:
        """Takes over the starts that the process before this one has found for these entries, by endpoint, in
        microseconds of monotonic time."""
        for entry in entries:
            if (started := starts.get(entry.endpoint)) is not None:
                self.listed[entry.endpoint] = entry.started
                self.converted[entry.endpoint] = started

    def resolve(self, entry: t.ListEntry, now: int) -> t.ListEntry:
        """The entry with its start in monotonic time; `now` is one. A start that was listed before is
        converted as it was then, or each step of the clock would look like a restart."""
        name = entry.endpoint
        if self.listed.get(name, LONG_AGO) != entry.started:
            self.listed[name] = entry.started
            self.converted[name] = self.to_monotonic(entry.started, now)
        started = self.converted.get(name, LONG_AGO)
        return entry if started == entry.started else replace(entry, started=started)

    def to_monotonic(self, listed: int, now: int) -> int:
        if listed == LONG_AGO:
            return LONG_AGO
        starts = [listed - offset for offset in self.wall_clock.possible_offsets()]
        started = max((start for start in starts if start <= now + MAX_CLOCK_SKEW_US), default=now)
        return started or LONG_AGO - 1

    def listed_start(self, name: str) -> int:
        """Microseconds of Unix time, as discovery tells it."""
        return self.listed.get(name, LONG_AGO)

    def retain(self, names: Container[str]) -> None:
        self.listed = {name: start for name, start in self.listed.items() if name in names}
        self.converted = {name: start for name, start in self.converted.items() if name in names}
