"""Building blocks of the decision module: random source, sliding sums, latency estimates, the message queue
between the actors of `rules`, and the messages that they exchange. No decisions are made here."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Any, get_type_hints

from lupinmill import terms as t

MEAN_SAMPLES_FRACTIONAL = 40  # answers behind a mean latency where caps are fractions
MEAN_SPAN = 2_000_000  # microseconds between two means of a latency estimate

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


def mixed(first: int, second: int) -> float:
    """Mixes two 32-bit hashes into a number above 0 and up to 1: the same in every process, and far apart for
    similar inputs."""
    both = (first ^ second) * 0x9E3779B1 & 0xFFFFFFFF
    both = (both ^ both >> 15) * 0x85EBCA77 & 0xFFFFFFFF
    return ((both ^ both >> 13) + 1) / 2**32


class BucketedSum:
    """Sum over a sliding time window of `buckets * width` microseconds, in reused buckets."""

    __slots__ = ("buckets", "width", "sums", "indexes")

    def __init__(self, buckets: int, width: int) -> None:
        self.buckets, self.width = buckets, width
        # None until something is added: most endpoints of a large fleet are never used by this sidecar.
        self.sums: list[float] | None = None
        self.indexes: list[int] | None = None

    def add(self, now: int, amount: float = 1.0) -> None:
        if self.sums is None or self.indexes is None:
            self.sums, self.indexes = [0.0] * self.buckets, [-1] * self.buckets
        index = now // self.width
        slot = index % self.buckets
        if self.indexes[slot] != index:
            self.indexes[slot], self.sums[slot] = index, 0.0
        self.sums[slot] += amount

    def total(self, now: int) -> float:
        if self.sums is None or self.indexes is None:
            return 0.0
        oldest = now // self.width - self.buckets
        return sum(amount for amount, index in zip(self.sums, self.indexes) if index > oldest)

    def used_buckets(self) -> list[list[float]]:
        """Each with its index and its sum."""
        if self.sums is None or self.indexes is None:
            return []
        return [[index, amount] for index, amount in zip(self.indexes, self.sums) if index >= 0]

    def restore(self, index: int, amount: float) -> None:
        """Sets a bucket, unless it is in use for a later time."""
        if self.sums is None or self.indexes is None:
            self.sums, self.indexes = [0.0] * self.buckets, [-1] * self.buckets
        slot = index % self.buckets
        if self.indexes[slot] < index:
            self.indexes[slot], self.sums[slot] = index, amount


class LatencyEstimate:
    """Latency of one workload: the current one, and the uncrowded one, which is the least mean of the last
    half minute. Each mean is taken over at least `min_samples` answers."""

    def __init__(self, initial: int, min_samples: int) -> None:
        self.current = self.uncrowded = float(max(1, initial))
        self.min_samples = min_samples
        self.means: deque[float] = deque(maxlen=15)
        self.bucket, self.total, self.count, self.pace = -1, 0.0, 0, 1.0

    def add(self, now: int, duration: int) -> None:
        self.current += (duration - self.current) * (0.05 if self.means else 0.2)
        self.total, self.count = self.total + duration, self.count + 1
        if now // MEAN_SPAN != self.bucket and self.count >= self.min_samples:
            self.bucket = now // MEAN_SPAN
            # With many sidecars the first mean may already be taken in an overload.
            if not self.means and self.min_samples == MEAN_SAMPLES_FRACTIONAL:
                self.means.append(1.4 * self.uncrowded)
            self.means.append(self.total / self.count)
            self.uncrowded = min(self.means)
            self.total, self.count = 0.0, 0
        elif not self.means:
            # Following it upwards would take an overload at the start for the uncrowded state, and let caps
            # grow.
            self.uncrowded = min(self.uncrowded, self.current)


class Actor:
    """Has an inbox, and a handler for each type of message: the method whose only argument is `event` of just
    that type."""

    __slots__ = ("inbox",)

    def __init__(self) -> None:
        self.inbox: list[Any] | None = None  # messages that wait; None: none does

    def take(self, event: Any) -> None:
        getattr(self, handler_names(type(self))[type(event)])(event)


class SingleActor(Actor):
    """An actor of which there is one: it has a table of its own, which is faster."""

    def __init__(self) -> None:
        super().__init__()
        self.handlers: dict[type, Callable[[Any], None]] = {
            kind: getattr(self, name) for kind, name in handler_names(type(self)).items()
        }

    def take(self, event: Any) -> None:
        self.handlers[type(event)](event)


@cache
def handler_names(actor: type) -> dict[type, str]:
    """The name of the method for each type of message."""
    found: dict[type, str] = {}
    for name, method in vars(actor).items():
        kind = get_type_hints(method).get("event", Any) if callable(method) else Any
        if kind is not Any:
            assert kind not in found, f"{actor.__name__}: {found[kind]} and {name} take {kind.__name__}"
            found[kind] = name
    return found


class MessageQueue:
    """Delivers the messages between actors in one loop, and collects the commands for the outside."""

    def __init__(self) -> None:
        self.now = 0
        self.commands: list[t.Command] = []
        self.defects: list[Exception] = []  # raised by the handlers of single messages
        self.waiting: deque[Any] = deque()
        self.timers: list[tuple[int, int, Any, Any]] = []
        self.serial = 0

    def send(self, actor: Any, event: Any) -> None:
        if actor.inbox is None:
            actor.inbox = [event]
            self.waiting.append(actor)
        else:
            actor.inbox.append(event)

    def set_timer(self, at: int, actor: Any, event: Any) -> None:
        self.serial += 1
        heappush(self.timers, (at, self.serial, actor, event))

    def run(self) -> None:
        while self.waiting:
            actor = self.waiting.popleft()
            inbox, actor.inbox = actor.inbox, None
            for event in inbox:
                try:
                    actor.take(event)
                except Exception as error:  # loses only that message: queues, commands and timers stay
                    error.about = event
                    self.defects.append(error)

    def fire_timers(self) -> int | None:
        """Called after all events of the same time: what is due must not go to an endpoint that has just
        left. Returns when the next timer is due, None if there is none."""
        while self.timers and self.timers[0][0] <= self.now:
            _, _, actor, event = heappop(self.timers)
            self.send(actor, event)
        self.run()
        return self.next_timer()

    def next_timer(self) -> int | None:
        """When the next timer is due; timeouts of requests that are done are dropped."""
        while (
            self.timers and isinstance(self.timers[0][3], RequestTimeout) and self.timers[0][3].request.done
        ):
            heappop(self.timers)
        return self.timers[0][0] if self.timers else None

    def log(self, text: str) -> None:
        self.commands.append(t.WriteLog(text))


@dataclass(slots=True)
class EndpointReport:
    """Endpoint to dispatcher: whether it may be picked, its share of the cap, and its recent performance."""

    name: str
    open: bool  # may be picked
    on_trial: bool
    crowded: bool
    share: float
    pace: float | None
    reported_load: float | None
    reported_at: int
    busy: float
    cold_since: int | None
    entry: t.ListEntry


@dataclass(slots=True)
class AttemptSent:
    """Dispatcher to endpoint."""


@dataclass(slots=True)
class EndpointHeard:
    """Dispatcher to endpoint: bytes of a response have arrived."""

    begins: bool  # the first ones of a response to an attempt in flight


@dataclass(slots=True, frozen=True)
class FleetAverages:
    """Dispatcher to endpoint: figures over all endpoints. `crowding` is the mean pace of all answers."""

    latency: int = 1_000_000
    crowding: float = 1.0
    pace: float = 1.0
    failed: float = 0.0
    answered: float = 0.0
    reported_load: float = 0.0
    busy: float = 1.0


@dataclass(slots=True)
class AttemptResult:
    """Dispatcher to endpoint: an outcome. `pace` is its latency as a multiple of the uncrowded latency."""

    outcome: t.Outcome
    pace: float
    overtaken: bool  # ended by this sidecar or by the client, not by the endpoint
    averages: FleetAverages
    begun: bool = False  # bytes of its response had arrived before


@dataclass(slots=True)
class PeriodicCheck:
    """Timer of the dispatcher."""


@dataclass(slots=True)
class EjectionRequest:
    """Endpoint to registry. On hard evidence the limit on ejected endpoints does not apply."""

    name: str
    reason: str
    hard: bool


@dataclass(slots=True)
class Ejected:
    """Registry to endpoint: the ejection is granted."""

    reason: str


@dataclass(slots=True)
class EndpointSilent:
    """Endpoint to dispatcher: its pending attempts will hardly be answered."""

    name: str


@dataclass(slots=True)
class ProbeDue:
    """Timer of an endpoint; an outdated serial is ignored."""

    serial: int


@dataclass(slots=True)
class PollDue:
    """Timer of the registry: discovery is to be asked again."""


@dataclass(slots=True)
class RequestTimeout:
    """Timer of the dispatcher: the end of a request's time, or (not `final`) of the time to hold it."""

    request: RequestState
    final: bool


@dataclass(slots=True)
class RetryDue:
    """Timer of the dispatcher: the backoff of a retry is over."""

    request: RequestState


@dataclass(slots=True)
class EndpointState:
    """What the dispatcher knows of an endpoint: its own attempts there, and the last `EndpointReport`."""

    name: str
    report: EndpointReport
    in_flight: int = 0
    predecessor_in_flight: int = 0  # of these, attempts of an older process of this sidecar
    receiving: int = 0  # attempts whose request body is incomplete: not counted as in flight yet
    bucket: int = -1  # of `load_buckets`: by attempts in flight, crowded endpoints far behind; -1: none
    bucket_index: int = 0  # position in the bucket
    credit: float = 0.0
    credited_at: int = 0
    name_hash: int = 0  # the same in all sidecars
    selection_rank: float = 0.0  # random per sidecar: it uses the endpoints of the lowest ranks
    selected: bool = True
    preference: float = 1.0  # weight among equals
    size: float = 1.0  # its listed weight, where that tells its size

    def is_available(self) -> bool:
        return self.selected and self.report.open


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at one endpoint."""

    endpoint_state: EndpointState
    sent_at: int
    group: str = ""  # the endpoint's cell or zone then, in which repeats are dropped
    pending: bool = True
    never_ran: bool = False
    overdue: bool = False  # unanswered at the hard limit
    counted: bool = False  # as in flight: not while the request body is incomplete
    begun: bool = False  # bytes of its response have arrived
    forwardable: bool = False  # its response has begun, and may be forwarded before its end


@dataclass(slots=True)
class RequestQueue:
    """Held requests of one workload and zone, within or beyond the tenant's share, new or repeated; first
    come, first served."""

    priority: float
    zone: str = ""
    waiting: deque[RequestState] = field(default_factory=deque)
