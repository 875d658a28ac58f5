"""Discovery as simulated: the published list of each tier, and its changes, which are published some seconds
after they happen. Drivers deliver them to sidecars."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

import numpy as np

from lupinmill import terms as t
from lupinmill.lab.timeline import SECOND, Timeline

MAX_CHANGES = 2000


@dataclass(slots=True, frozen=True)
class Entry:
    name: str
    zone: str
    kind: str
    cell: int
    state: t.EndpointStatus
    started: int  # microseconds of the timeline; 0: long ago


class Registry:
    """The list of one tier. `extra_delay_s` is added to every publication delay."""

    def __init__(
        self,
        timeline: Timeline,
        random_source: np.random.Generator,
        notice: Callable[[], float],
        silent_notice: Callable[[], float],
        add: Callable[[], float],
    ) -> None:
        self.timeline, self.random_source = timeline, random_source
        self.notice, self.silent_notice, self.add = notice, silent_notice, add
        self.entries: dict[str, Entry] = {}
        self.index = 1
        self.changes: deque[tuple[int, Entry]] = deque(maxlen=MAX_CHANGES)
        self.extra_delay_s, self.down, self.silent = 0.0, False, False
        # endpoint -> number of its newest change; older ones that are not published yet are dropped
        self.latest_changes: dict[str, int] = {}
        self.subscribers: dict[str, Callable[[int, Entry], None]] = {}
        self.on_broken: dict[str, Callable[[], None]] = {}

    def add_initial(self, entry: Entry) -> None:
        """Adds an entry that is known to all from the start."""
        self.entries[entry.name] = entry

    def publish_later(self, entry: Entry, kind: str) -> None:
        """Publishes a change after the delay of its kind: `gone`, `silent`, `add` or `drain`."""
        delay = {"silent": self.silent_notice, "add": self.add}.get(kind, self.notice)()
        if kind == "drain":
            delay *= 0.5  # announced by the platform, not detected
        self.latest_changes[entry.name] = change = self.latest_changes.get(entry.name, 0) + 1
        self.timeline.after((delay + self.extra_delay_s) * SECOND, self.publish, entry, change)

    def publish(self, entry: Entry, change: int) -> None:
        if self.latest_changes.get(entry.name) != change:
            return
        self.latest_changes.pop(entry.name)
        if entry.state is t.EndpointStatus.GONE:
            if self.entries.pop(entry.name, None) is None:
                return
        else:
            self.entries[entry.name] = entry
        self.index += 1
        self.changes.append((self.index, entry))
        if not self.down and not self.silent:
            for notify in list(self.subscribers.values()):
                notify(self.index, entry)

    def since(self, index: int | None) -> tuple[bool, list[Entry]]:
        """Returns the changes after `index` as (False, entries), or the full list as (True, entries) if
        `index` is None or too old."""
        if index is None or index < self.index and (not self.changes or self.changes[0][0] > index + 1):
            return True, list(self.entries.values())
        newest = {entry.name: entry for at, entry in self.changes if at > index}
        return False, list(newest.values())

    def subscribe(
        self, who: str, notify: Callable[[int, Entry], None], on_broken: Callable[[], None]
    ) -> None:
        self.subscribers[who], self.on_broken[who] = notify, on_broken

    def unsubscribe(self, who: str) -> None:
        self.subscribers.pop(who, None)
        self.on_broken.pop(who, None)

    def go_down(self, silently: bool) -> None:
        """Makes discovery unreachable. Watches end; if `silently`, subscribers have to time out."""
        self.down, self.silent = not silently, silently
        callbacks, self.subscribers, self.on_broken = list(self.on_broken.values()), {}, {}
        for on_broken in callbacks:
            on_broken()

    def come_up(self) -> None:
        self.down = self.silent = False


def list_entry(entry: Entry) -> t.ListEntry:
    return t.ListEntry(entry.name, entry.state, entry.zone, entry.kind, str(entry.cell), entry.started)


def as_gone(entry: Entry) -> Entry:
    return replace(entry, state=t.EndpointStatus.GONE)
