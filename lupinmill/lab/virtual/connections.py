"""The idle connections of one virtual sidecar."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from lupinmill.lab.endpoint import Endpoint
from lupinmill.lab.timeline import SECOND, Timeline

MOST_IDLE = 64  # of one sidecar to one endpoint
IDLE_SHARE = 0.9  # of the time after which endpoints close an idle connection: a longer idle one isn't used


@dataclass(slots=True, frozen=True)
class Idle:
    """One idle connection."""

    epoch: int  # the endpoint's life in which it was opened
    since: int  # microseconds of the timeline


class Connections:
    """By endpoint; the latest is used first."""

    def __init__(self, timeline: Timeline) -> None:
        self.timeline = timeline
        self.idle: dict[str, deque[Idle]] = {}

    def reuse(self, endpoint: Endpoint) -> bool:
        """An idle connection, the latest first; those of a past life of the endpoint are gone with it."""
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
        """A connection that has nothing to carry any more; closed where there are enough of them."""
        if epoch != endpoint.epoch:
            return
        idle = self.idle.setdefault(endpoint.spec.name, deque())
        if len(idle) < MOST_IDLE:
            idle.append(Idle(epoch, self.timeline.now))
        else:
            endpoint.disconnect(epoch)

    def close(self, by_endpoint: dict[str, Endpoint]) -> None:
        """All of them."""
        for name, connections in self.idle.items():
            for one in connections:
                by_endpoint[name].disconnect(one.epoch)
        self.idle = {}
