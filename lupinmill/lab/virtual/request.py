"""The requests that a virtual sidecar has accepted, and their attempts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lupinmill.lab.endpoint import Endpoint, Job
from lupinmill.lab.outcome import Outcome
from lupinmill.lab.rule_checker import AttemptRecord
from lupinmill.lab.timeline import ScheduledEvent


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt; `epoch` is that of the endpoint when it was sent."""

    number: int
    endpoint: Endpoint
    epoch: int
    sent: int  # microseconds of the timeline
    job: Job | None = None
    over: bool = False
    deadline: ScheduledEvent | None = None
    record: AttemptRecord | None = None
    new_connection: bool = False  # opened for it


@dataclass(slots=True, eq=False)
class Request:
    """A request that a sidecar has accepted; kept until its last attempt is over. `name` is its id."""

    name: str
    key: str
    request_class: str
    work: float  # seconds
    due: int
    # Called once, with the microseconds to wait before a retry (0: none).
    answer: Callable[[Outcome, int], None]
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False
    # The module knows that the request ended: by its own command, or by an event of an earlier step.
    end_known: bool = False
