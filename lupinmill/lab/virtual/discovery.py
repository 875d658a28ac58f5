"""Discovery as a virtual sidecar meets it: its calls, its watch, and the list that it knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lupinmill import terms as t
from lupinmill.lab.endpoint import Endpoint
from lupinmill.lab.registry import Entry, Registry, list_entry
from lupinmill.lab.timeline import MS, SECOND, Timeline
from lupinmill.lab.world import SILENT_WATCH_S

if TYPE_CHECKING:
    from lupinmill.lab.virtual.sidecar import VirtualSidecar

REFUSED_AFTER = 5 * MS  # a call that discovery refuses
BROKEN_AFTER_S = 0.05  # a watch that discovery ends


class Directory:
    """The list of one sidecar: what it knows, and the watch that keeps it up to date."""

    def __init__(self, sidecar: VirtualSidecar) -> None:
        self.sidecar, self.run = sidecar, sidecar.run
        self.registry: Registry = sidecar.run.world.registries[sidecar.tier]
        self.known: dict[str, Entry] = {}
        self.index: int | None = None
        self.watching = False
        self.pushed = sidecar.run.world.scenario.discovery.how == "push"

    def start(self) -> None:
        """With the list as it is, the first time; later with the one that the sidecar knew."""
        if not self.known:
            self.known, self.index = dict(self.registry.entries), self.registry.index
        self.sidecar.tell(
            t.ListReceived(t.ListKind.CACHED, [list_entry(entry) for entry in self.known.values()])
        )
        if self.pushed:
            self.subscribe(True)

    def stop(self) -> None:
        """Its sidecar was killed."""
        self.watching = False
        self.registry.unsubscribe(self.sidecar.name)

    def informed(self, endpoint: Endpoint) -> bool:
        """Whether the sidecar knows of this very life of the endpoint."""
        entry = self.known.get(endpoint.spec.name)
        return entry is not None and entry.started == endpoint.started

    # The watch.

    def subscribe(self, whole: bool) -> None:
        """Changes since the list that it has, then each as it is published."""
        registry = self.registry
        if registry.down or registry.silent:
            self.run.timeline.after(SECOND, self.subscribe_again, self.sidecar.incarnation)
            return
        full, entries = registry.since(None if whole else self.index)
        self.index = registry.index
        self.hear(t.ListKind.FULL if full else t.ListKind.CHANGES, entries)
        self.watching = True
        registry.subscribe(self.sidecar.name, self.published, self.watch_broke)

    def subscribe_again(self, incarnation: int) -> None:
        """After a pause, unless the sidecar was killed meanwhile."""
        if incarnation == self.sidecar.incarnation and self.sidecar.alive:
            self.subscribe(True)

    def published(self, index: int, entry: Entry) -> None:
        """A change, on its way to the sidecar."""
        span = self.run.spread(self.sidecar.random_source)
        self.run.timeline.after(span, self.hear_change, index, entry, self.sidecar.incarnation)

    def hear_change(self, index: int, entry: Entry, incarnation: int) -> None:
        """A change comes to the sidecar."""
        if incarnation == self.sidecar.incarnation and self.sidecar.alive and self.watching:
            self.index = max(self.index or 0, index)
            self.hear(t.ListKind.CHANGES, [entry])

    def hear(self, kind: t.ListKind, entries: list[Entry]) -> None:
        """Takes a list or changes of it in, and tells the module."""
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
        self.sidecar.tell(t.ListReceived(kind, [list_entry(entry) for entry in entries]))

    def watch_broke(self) -> None:
        """Discovery went down; a silent one is noticed when a call hears not even that there is no news."""
        span = SILENT_WATCH_S if self.registry.silent else BROKEN_AFTER_S
        self.run.timeline.after(span * SECOND, self.watch_failed, self.sidecar.incarnation)

    def watch_failed(self, incarnation: int) -> None:
        """The sidecar notices that its watch or call has failed."""
        if incarnation != self.sidecar.incarnation or not self.sidecar.alive:
            return
        self.watching = False
        if self.pushed:
            self.subscribe_again(incarnation)
        else:
            self.sidecar.tell(t.ListReceived(t.ListKind.FAILED, []))


class DiscoveryCalls:
    """Discovery works through calls in turn, and fails what has waited too long."""

    def __init__(self, timeline: Timeline, registry: Registry, per_second: float, time_out: int) -> None:
        self.timeline, self.registry, self.time_out = timeline, registry, time_out
        self.each = SECOND / max(0.1, per_second)
        self.free_at = 0.0

    def call(self, sidecar: VirtualSidecar) -> None:
        """A sidecar asks for changes."""
        timeline, now, failed = self.timeline, self.timeline.now, sidecar.directory.watch_failed
        if self.registry.silent or self.registry.down:
            timeline.after(
                self.time_out if self.registry.silent else REFUSED_AFTER, failed, sidecar.incarnation
            )
            return
        done = max(self.free_at, now) + self.each
        if done - now > self.time_out:
            timeline.after(self.time_out, failed, sidecar.incarnation)
            return
        self.free_at = done
        timeline.at(int(done), self.answer, sidecar, sidecar.incarnation)

    def answer(self, sidecar: VirtualSidecar, incarnation: int) -> None:
        """The answer, unless the sidecar was killed meanwhile."""
        if sidecar.incarnation == incarnation and sidecar.alive:
            if self.registry.down or self.registry.silent:
                sidecar.directory.watch_failed(incarnation)
            else:
                sidecar.directory.subscribe(False)
