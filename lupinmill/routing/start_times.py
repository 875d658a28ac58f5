"""Start times of endpoints in monotonic time, though the wall clock may have been set meanwhile.

Discovery gives a start as Unix time of a clock that may or may not have been set together with this
machine's. If several readings are possible the latest start is used: it is safer to treat an endpoint as cold
than to overload it. A start that was not listed a moment ago can't be old, whatever a clock says."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import replace

from lupinmill import terms as t
from lupinmill.transport.wall_clock import WallClock

MAX_CLOCK_SKEW_US = 1_000_000  # microseconds by which another machine's clock may be ahead
# Microseconds for which an endpoint may run before discovery lists it; one that is new on the list and seems
# older has a start of another clock.
MAX_LISTING_DELAY_US = 10_000_000
MAX_DEPARTED = 1_024  # endpoints that are no longer listed, whose starts are remembered
LONG_AGO = 0  # of an entry that has no start


class StartTimes:
    """Keeps one start for each listed endpoint that has one, and of the others the last `MAX_DEPARTED`, which
    come back with the same start where they were not restarted."""

    def __init__(self, wall_clock: WallClock) -> None:
        self.wall_clock = wall_clock
        self.doubted: list[str] = []  # endpoints with a start of another clock, until they are taken
        self.departed: dict[str, int] = {}  # by endpoint, as listed, in the order in which they left
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

    def resolve(self, entry: t.ListEntry, now: int, new_since: int | None = None) -> t.ListEntry:
        """The entry with its start in monotonic time, as `now` and `new_since` are. A start that was listed
        before is converted as it was then, or each step of the clock would look like a restart. Any other
        was not listed at `new_since` yet."""
        name = entry.endpoint
        if self.listed.get(name, LONG_AGO) != entry.started:
            came_back = self.departed.pop(name, LONG_AGO) == entry.started
            started = self.to_monotonic(entry.started, now)
            if entry.state is t.EndpointStatus.READY and not came_back:
                started = self.not_before_listed(name, started, now, new_since)
            self.listed[name], self.converted[name] = entry.started, started
        started = self.converted.get(name, LONG_AGO)
        return entry if started == entry.started else replace(entry, started=started)

    def not_before_listed(self, name: str, started: int, now: int, new_since: int | None) -> int:
        """The start of an endpoint that is new on the list. Where a clock tells that it is far older than its
        row, the clock is another one: it counts as started just now."""
        if started == LONG_AGO or new_since is None or started >= new_since - MAX_LISTING_DELAY_US:
            return started
        self.doubted.append(name)
        return now

    def take_doubted(self) -> list[str]:
        doubted, self.doubted = self.doubted, []
        return doubted

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
        gone = {name: start for name, start in self.listed.items() if name not in names and start}
        self.departed |= gone
        while len(self.departed) > MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]
        self.listed = {name: start for name, start in self.listed.items() if name in names}
        self.converted = {name: start for name, start in self.converted.items() if name in names}
