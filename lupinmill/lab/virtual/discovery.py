"""Discovery, as seen by a virtual sidecar: its calls and watches, and its copy of the list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lupinmill import terms as t
from lupinmill.lab.endpoint import Endpoint
from lupinmill.lab.registry import Entry, Registry, list_entry
from lupinmill.lab.timeline import MS, SECOND, Timeline
from lupinmill.lab.world import SILENT_WATCH_S

if TYPE_CHECKING:
    from lupinmill.lab.virtual.sidecar import VirtualSidecar

REFUSED_AFTER = 5 * MS  # duration of a call that discovery refuses
BROKEN_AFTER_S = 0.05  # until the sidecar notices that discovery closed its watch


class Directory:
    """One sidecar's copy of the list, and the watch that keeps it up to date."""

    def __init__(self, sidecar: VirtualSidecar) -> None:
        self.sidecar, self.run = sidecar, sidecar.run
        self.registry: Registry = sidecar.run.world.registries[sidecar.tier]
        self.known: dict[str, Entry] = {}
        self.index: int | None = None
        self.watching = False
        self.push = sidecar.run.world.scenario.discovery.how == "push"

    def start(self) -> None:
        """Starts with the published list; after a restart, with the list that the sidecar had."""
        if not self.known:
            self.known, self.index = dict(self.registry.entries), self.registry.index
        self.sidecar.queue_event(
            t.ListReceived(t.ListKind.CACHED, [list_entry(entry) for entry in self.known.values()])
        )
        if self.push:
            self.subscribe(True)

    def stop(self) -> None:
        """The sidecar was killed."""
        self.watching = False
        self.registry.unsubscribe(self.sidecar.name)

    def informed(self, endpoint: Endpoint) -> bool:
        """Returns whether the sidecar knows of the endpoint's latest start."""
        entry = self.known.get(endpoint.spec.name)
        return entry is not None and entry.started == endpoint.started

    # The watch.

    def subscribe(self, from_start: bool) -> None:
        """Receives the changes since the current copy, or the full list, and then each change as it is
        published."""
        registry = self.registry
        if registry.down or registry.silent:
            self.run.timeline.after(SECOND, self.resubscribe, self.sidecar.incarnation)
            return
        full, entries = registry.since(None if from_start else self.index)
        self.index = registry.index
        self.apply(t.ListKind.FULL if full else t.ListKind.CHANGES, entries)
        self.watching = True
        registry.subscribe(self.sidecar.name, self.published, self.watch_closed)

    def resubscribe(self, incarnation: int) -> None:
        """Subscribes again, unless the sidecar was killed meanwhile."""
        if incarnation == self.sidecar.incarnation and self.sidecar.alive:
            self.subscribe(True)

    def published(self, index: int, entry: Entry) -> None:
        """Sends a published change to the sidecar."""
        delay = self.run.spread(self.sidecar.random_source)
        self.run.timeline.after(delay, self.change_arrived, index, entry, self.sidecar.incarnation)

    def change_arrived(self, index: int, entry: Entry, incarnation: int) -> None:
        """A change arrives at the sidecar."""
        if incarnation == self.sidecar.incarnation and self.sidecar.alive and self.watching:
            self.index = max(self.index or 0, index)
            self.apply(t.ListKind.CHANGES, [entry])

    def apply(self, kind: t.ListKind, entries: list[Entry]) -> None:
        """Applies a list or changes of it, and passes them to the module."""
        rule_checker, now, name = self.run.world.rule_checker, self.run.timeline.now, self.sidecar.name
        if kind is t.ListKind.FULL:
            listed = {entry.name for entry in entries}
            for gone in [known for known in self.known if known not in listed]:
                rule_checker.list_update(now, name, gone, True)
                del self.known[gone]
        for entry in entries:
            rule_checker.list_update(now, name, entry.name, entry.state is not t.EndpointStatus.READY)
            if entry.state is t.EndpointStatus.GONE:
                self.known.pop(entry.name, None)
            else:
                self.known[entry.name] = entry
        self.sidecar.queue_event(t.ListReceived(kind, [list_entry(entry) for entry in entries]))

    def watch_closed(self) -> None:
        """Discovery went down. If it is silent, the sidecar notices only when the watch times out."""
        delay = SILENT_WATCH_S if self.registry.silent else BROKEN_AFTER_S
        self.run.timeline.after(delay * SECOND, self.watch_failed, self.sidecar.incarnation)

    def watch_failed(self, incarnation: int) -> None:
        """The sidecar notices that its watch or call has failed."""
        if incarnation != self.sidecar.incarnation or not self.sidecar.alive:
            return
        self.watching = False
        if self.push:
            self.resubscribe(incarnation)
        else:
            self.sidecar.queue_event(t.ListReceived(t.ListKind.FAILED, []))


class DiscoveryCalls:
    """The queue of calls to discovery, which handles them in order; those that wait too long fail."""

    def __init__(self, timeline: Timeline, registry: Registry, per_second: float, time_out: int) -> None:
        self.timeline, self.registry, self.time_out = timeline, registry, time_out
        self.time_per_call = SECOND / max(0.1, per_second)
        self.free_at = 0.0

    def call(self, sidecar: VirtualSidecar) -> None:
        """A sidecar requests changes."""
        timeline, now, failed = self.timeline, self.timeline.now, sidecar.directory.watch_failed
        if self.registry.silent or self.registry.down:
            timeline.after(
                self.time_out if self.registry.silent else REFUSED_AFTER, failed, sidecar.incarnation
            )
            return
        done = max(self.free_at, now) + self.time_per_call
        if done - now > self.time_out:
            timeline.after(self.time_out, failed, sidecar.incarnation)
            return
        self.free_at = done
        timeline.at(int(done), self.answer, sidecar, sidecar.incarnation)

    def answer(self, sidecar: VirtualSidecar, incarnation: int) -> None:
        """Answers a call, unless the sidecar was killed meanwhile."""
        if sidecar.incarnation == incarnation and sidecar.alive:
            if self.registry.down or self.registry.silent:
                sidecar.directory.watch_failed(incarnation)
            else:
                sidecar.directory.subscribe(False)
