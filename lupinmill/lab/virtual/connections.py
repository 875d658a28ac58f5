"""The idle connections of one virtual sidecar."""

from __future__ import annotations

from collections import deque

from lupinmill.lab.endpoint import Endpoint
from lupinmill.lab.timeline import SECOND, Timeline

MOST_IDLE = 64  # of one sidecar to one endpoint
IDLE_SHARE = 0.9  # of the time after which endpoints close an idle connection: a longer idle one isn't used


class Connections:
    """By endpoint, each with the endpoint's life in which it was opened and the time since it is idle."""

    def __init__(self, timeline: Timeline) -> None:
        self.timeline = timeline
        self.idle: dict[str, deque[tuple[int, int]]] = {}

    def reuse(self, endpoint: Endpoint) -> bool:
        """An idle connection, the latest first; those of a past life of the endpoint are gone with it."""
        idle, now = self.idle.get(endpoint.shape.name), self.timeline.now
        while idle:
            epoch, since = idle.pop()
            if epoch != endpoint.epoch and not endpoint.silent:
                continue
            if now - since > IDLE_SHARE * endpoint.shape.idle_s * SECOND:
                endpoint.disconnect(epoch)
                continue
            return True
        return False

    def keep(self, endpoint: Endpoint, epoch: int) -> None:
        """A connection that has nothing to carry any more; closed where there are enough of them."""
        if epoch != endpoint.epoch:
            return
        idle = self.idle.setdefault(endpoint.shape.name, deque())
        if len(idle) < MOST_IDLE:
            idle.append((epoch, self.timeline.now))
        else:
            endpoint.disconnect(epoch)

    def close(self, by_endpoint: dict[str, Endpoint]) -> None:
        """All of them."""
        for name, connections in self.idle.items():
            for epoch, _ in connections:
                by_endpoint[name].disconnect(epoch)
        self.idle = {}
