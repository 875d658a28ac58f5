"""What a virtual sidecar holds: the submissions that it has taken, and their launches."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lupinmill.lab.endpoint import Endpoint, Job
from lupinmill.lab.referee import Launched
from lupinmill.lab.timeline import Due


@dataclass(slots=True, eq=False)
class Flight:
    """One launch on its way; `epoch` is the endpoint's life in which it was sent."""

    number: int
    endpoint: Endpoint
    epoch: int
    sent: int  # microseconds of the timeline
    job: Job | None = None
    over: bool = False
    deadline: Due | None = None
    record: Launched | None = None
    fresh: bool = False  # sent on a connection opened for it


@dataclass(slots=True, eq=False)
class Held:
    """A submission that a sidecar has taken; kept until its last outcome has come."""

    name: str
    key: str
    workload: str
    work: float  # seconds
    due: int
    answer: Callable[[str, int], None]
    flights: list[Flight] = field(default_factory=list)
    closed: bool = False
    told: bool = False  # its end is known to the module: by its own order, or by a step that has passed
