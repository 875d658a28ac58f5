"""The idle connections of one virtual sidecar."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from lupinmill.lab.endpoint import Endpoint
from lupinmill.lab.timeline import SECOND, Timeline

MAX_IDLE = 64  # per sidecar and endpoint
IDLE_SHARE = 0.9  # of the idle timeout of endpoints: connections that are idle for longer are not reused


@dataclass(slots=True, frozen=True)
class Idle:
    """An idle connection."""

    epoch: int  # of the endpoint when it was opened
    since: int  # microseconds of the timeline


class Connections:
    """Idle connections by endpoint, reused in last-in, first-out order."""

    def __init__(self, timeline: Timeline) -> None:
        self.timeline = timeline
        self.idle: dict[str, deque[Idle]] = {}

    def reuse(self, endpoint: Endpoint) -> bool:
        """Takes the most recently used idle connection and returns whether there was one. Connections of an
        earlier epoch of the endpoint are dropped."""
        idle, now = self.idle.get(endpoint.spec.name), self.timeline.now
        while idle:
            one = idle.pop()
            if one.epoch != endpoint.epoch and not endpoint.silent:
                continue
            if now - one.since > IDLE_SHARE * endpoint.spec.idle_s * SECOND:
                endpoint.disconnect(one.epoch)
                continue
            return True
        return False

    def keep(self, endpoint: Endpoint, epoch: int) -> None:
        """Keeps a connection as idle, or closes it if there are `MAX_IDLE` already."""
        if epoch != endpoint.epoch:
            return
        idle = self.idle.setdefault(endpoint.spec.name, deque())
        if len(idle) < MAX_IDLE:
            idle.append(Idle(epoch, self.timeline.now))
        else:
            endpoint.disconnect(epoch)

    def close(self, by_endpoint: dict[str, Endpoint]) -> None:
        """Closes all connections."""
        for name, connections in self.idle.items():
            for one in connections:
                by_endpoint[name].disconnect(one.epoch)
        self.idle = {}
