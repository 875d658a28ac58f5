"""The workings that the decisions stand on, without any of their own: chance, rings of buckets, gauges of
answer times, the mail between the parts of `rules`, and the notes that the parts send one another."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Any, get_type_hints

from lupinmill import terms as t

THIN = 40  # answers behind a mean where they are few
MEAN_SPAN = 2_000_000  # microseconds between two means of a gauge

if TYPE_CHECKING:
    from lupinmill.rules import RequestState


class RandomSource:
    """A linear congruential generator; only its high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = (seed ^ 0x5DEECE66D) & (2**64 - 1)
        self.draw()

    def draw(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.state >> 32) / 2**32

    def upto(self, ceiling: int) -> int:
        return int(self.draw() * (ceiling + 1))


def mixed(one: int, other: int) -> float:
    """Two marks of 32 bits as one figure over 0 and up to 1, the same everywhere; of neighbours far apart."""
    both = (one ^ other) * 0x9E3779B1 & 0xFFFFFFFF
    both = (both ^ both >> 15) * 0x85EBCA77 & 0xFFFFFFFF
    return ((both ^ both >> 13) + 1) / 2**32


class BucketedSum:
    """Sums over the last `buckets * width`, in buckets that are used again."""

    __slots__ = ("width", "sums", "marks")

    def __init__(self, buckets: int, width: int) -> None:
        self.width, self.sums, self.marks = width, [0.0] * buckets, [-1] * buckets

    def add(self, now: int, amount: float = 1.0) -> None:
        mark = now // self.width
        slot = mark % len(self.sums)
        if self.marks[slot] != mark:
            self.marks[slot], self.sums[slot] = mark, 0.0
        self.sums[slot] += amount

    def total(self, now: int) -> float:
        oldest = now // self.width - len(self.sums)
        return sum(s for s, mark in zip(self.sums, self.marks) if mark > oldest)


class LatencyEstimate:
    """Answer times of one workload: the usual one now, and the uncrowded one of the last half minute.

    `evidence`: answers behind a mean."""

    def __init__(self, guess: int, evidence: int) -> None:
        self.usual = self.uncrowded = float(max(1, guess))
        self.evidence = evidence
        self.means: deque[float] = deque(maxlen=15)
        self.mark, self.total, self.count, self.pace = -1, 0.0, 0, 1.0

    def add(self, now: int, took: int) -> None:
        self.usual += (took - self.usual) * (0.05 if self.means else 0.2)
        self.total, self.count = self.total + took, self.count + 1
        if now // MEAN_SPAN != self.mark and self.count >= self.evidence:
            self.mark = now // MEAN_SPAN
            if not self.means and self.evidence == THIN:  # that first mean may come of a jam already
                self.means.append(1.4 * self.uncrowded)
            self.means.append(self.total / self.count)
            self.uncrowded = min(self.means)
            self.total, self.count = 0.0, 0
        elif not self.means:
            # Following it up here would call a crowd at the start the uncrowded state, and let caps grow.
            self.uncrowded = min(self.uncrowded, self.usual)


class Actor:
    """An actor: its inbox, and what it does about each type of note: the method whose one argument is `event`
    of just that type."""

    def __init__(self) -> None:
        self.inbox: list[Any] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            kind: getattr(self, name) for kind, name in handlers(type(self))
        }

    def take(self, event: Any) -> None:
        self.handlers[type(event)](event)


@cache
def handlers(part: type) -> tuple[tuple[type, str], ...]:
    found: dict[type, str] = {}
    for name, method in vars(part).items():
        kind = get_type_hints(method).get("event", Any) if callable(method) else Any
        if kind is not Any:
            assert kind not in found, f"{part.__name__}: {found[kind]} and {name} take {kind.__name__}"
            found[kind] = name
    return tuple(found.items())


class MessageQueue:
    """Inboxes and the one loop that empties them; orders to the outside collect here too."""

    def __init__(self) -> None:
        self.now = 0
        self.commands: list[t.Command] = []
        self.defects: list[Exception] = []  # what the parts raised over single notes
        self.waiting: deque[Any] = deque()
        self.timers: list[tuple[int, int, Any, Any]] = []
        self.serial = 0

    def send(self, part: Any, event: Any) -> None:
        if not part.inbox:
            self.waiting.append(part)
        part.inbox.append(event)

    def set_timer(self, at: int, part: Any, event: Any) -> None:
        self.serial += 1
        heappush(self.timers, (at, self.serial, part, event))

    def run(self) -> None:
        while self.waiting:
            part = self.waiting.popleft()
            inbox, part.inbox = part.inbox, []
            for event in inbox:
                try:
                    part.take(event)
                except Exception as error:  # costs that note alone: what is queued, ordered and pending stays
                    error.about = event
                    self.defects.append(error)

    def fire_timers(self) -> int | None:
        """Alarms after all news of the same moment: what is due must not go to an endpoint that just left.
        Returns when the next is due, None where there is none."""
        while self.timers and self.timers[0][0] <= self.now:
            _, _, part, event = heappop(self.timers)
            self.send(part, event)
        self.run()
        return self.next_timer()

    def next_timer(self) -> int | None:
        """When to be woken; alarms of what has ended meanwhile wake nobody."""
        while (
            self.timers and isinstance(self.timers[0][3], RequestTimeout) and self.timers[0][3].request.done
        ):
            heappop(self.timers)
        return self.timers[0][0] if self.timers else None

    def log(self, text: str) -> None:
        self.commands.append(t.WriteLog(text))


@dataclass(slots=True)
class EndpointReport:  # endpoint -> dispatcher: may it be picked, what it takes, how it was seen to do
    name: str
    open: bool
    trial: bool
    crowded: bool
    share: float
    pace: float | None
    told: float | None
    told_at: int
    busy: float
    cold_since: int | None
    entry: t.ListEntry


@dataclass(slots=True)
class AttemptSent:  # dispatcher -> endpoint
    pass


@dataclass(slots=True, frozen=True)
class FleetAverages:  # dispatcher -> endpoint; in the fleet: crowding is the pace of all answers together
    took: int = 1_000_000
    crowding: float = 1.0
    pace: float = 1.0
    failed: float = 0.0
    answered: float = 0.0
    told: float = 0.0
    busy: float = 1.0


@dataclass(slots=True)
class AttemptResult:  # dispatcher -> endpoint; pace is the time taken as a multiple of the uncrowded time
    outcome: t.Outcome
    pace: float
    overtaken: bool  # ended by us or by its client, not by the endpoint
    usual: FleetAverages


@dataclass(slots=True)
class PeriodicCheck:  # dispatcher -> dispatcher
    pass


@dataclass(slots=True)
class EjectionRequest:  # endpoint -> registry: take me out; hard evidence needs no permission
    name: str
    why: str
    hard: bool


@dataclass(slots=True)
class Ejected:  # registry -> endpoint: granted
    why: str


@dataclass(slots=True)
class EndpointSilent:  # endpoint -> dispatcher: what is out there will hardly be answered
    name: str


@dataclass(slots=True)
class ProbeDue:
    turn: int


@dataclass(slots=True)
class PollDue:
    pass


@dataclass(slots=True)
class RequestTimeout:
    request: RequestState
    final: bool


@dataclass(slots=True)
class RetryDue:
    request: RequestState


@dataclass(slots=True)
class EndpointState:
    """What the desk knows of an endpoint: its own launches there, and the endpoint's last EndpointReport."""

    name: str
    report: EndpointReport
    in_flight: int = 0
    elsewhere: int = 0  # of them, those of an older process of this sidecar
    coming: int = 0  # launches whose submission is still coming, which are not in flight so far
    bucket: int = -1  # where it stands among the ready ones: by launches in flight, the crowded far behind
    spot: int = 0
    credit: float = 0.0
    credited: int = 0
    mark: int = 0  # of its name, common to all sidecars
    lot: float = 0.0  # of this sidecar: the least make up the endpoints that it uses
    used: bool = True
    pull: float = 1.0  # its part among equals
    size: float = 1.0  # by its weight, where that tells of its size

    def counts(self) -> bool:
        return self.used and self.report.open


@dataclass(slots=True)
class Attempt:
    endpoint_state: EndpointState
    sent: int
    out: bool = True
    never_ran: bool = False
    overdue: bool = False  # unanswered at the hard limit
    counted: bool = False  # in what is in flight: not while its submission is still coming


@dataclass(slots=True)
class RequestQueue:
    """Held submissions of one workload, standing and zone, first come first served."""

    worth: float
    zone: str = ""
    waiting: deque[RequestState] = field(default_factory=deque)
