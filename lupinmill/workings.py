"""The workings that the decisions stand on, without any of their own: chance, rings of buckets, the mail
between the parts of `rules`, and the notes that the parts send one another."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Any, get_type_hints

from lupinmill import terms as t

if TYPE_CHECKING:
    from lupinmill.rules import Submission


class Chance:
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


class Ring:
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


class Part:
    """An actor: its inbox, and what it does about each type of note: the method whose one argument is `note`
    of just that type."""

    def __init__(self) -> None:
        self.inbox: list[Any] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            kind: getattr(self, name) for kind, name in handlers(type(self))
        }

    def take(self, note: Any) -> None:
        self.handlers[type(note)](note)


@cache
def handlers(part: type) -> tuple[tuple[type, str], ...]:
    found: dict[type, str] = {}
    for name, method in vars(part).items():
        kind = get_type_hints(method).get("note", Any) if callable(method) else Any
        if kind is not Any:
            assert kind not in found, f"{part.__name__}: {found[kind]} and {name} take {kind.__name__}"
            found[kind] = name
    return tuple(found.items())


class Mail:
    """Inboxes and the one loop that empties them; orders to the outside collect here too."""

    def __init__(self) -> None:
        self.now = 0
        self.orders: list[t.Order] = []
        self.waiting: deque[Any] = deque()
        self.alarms: list[tuple[int, int, Any, Any]] = []
        self.serial = 0

    def post(self, part: Any, note: Any) -> None:
        if not part.inbox:
            self.waiting.append(part)
        part.inbox.append(note)

    def alarm(self, at: int, part: Any, note: Any) -> None:
        self.serial += 1
        heappush(self.alarms, (at, self.serial, part, note))

    def run(self) -> None:
        while self.waiting:
            part = self.waiting.popleft()
            inbox, part.inbox = part.inbox, []
            for note in inbox:
                part.take(note)

    def ring(self) -> None:
        """Alarms after all news of the same moment: what is due must not go to an endpoint that just left."""
        while self.alarms and self.alarms[0][0] <= self.now:
            _, _, part, note = heappop(self.alarms)
            self.post(part, note)
        self.run()

    def next_alarm(self) -> int | None:
        """When to be woken; alarms of what has ended meanwhile wake nobody."""
        while self.alarms and isinstance(self.alarms[0][3], GiveUp) and self.alarms[0][3].submission.done:
            heappop(self.alarms)
        return self.alarms[0][0] if self.alarms else None

    def log(self, text: str) -> None:
        self.orders.append(t.Log(text))


@dataclass(slots=True)
class Standing:  # endpoint -> desk: may it be picked, what it takes, what it was seen and heard to do
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
    entry: t.Listing


@dataclass(slots=True)
class Sent:  # desk -> endpoint
    pass


@dataclass(slots=True, frozen=True)
class Usual:  # desk -> endpoint; what is usual in the fleet: crowding is the pace of all answers together
    took: int = 1_000_000
    crowding: float = 1.0
    pace: float = 1.0
    failed: float = 0.0
    answered: float = 0.0
    told: float = 0.0
    busy: float = 1.0


@dataclass(slots=True)
class Answer:  # desk -> endpoint; pace is the time taken as a multiple of the uncrowded time
    how: t.How
    pace: float
    overtaken: bool  # ended by us or by its client, not by the endpoint
    usual: Usual


@dataclass(slots=True)
class Sweep:  # desk -> desk
    pass


@dataclass(slots=True)
class Plea:  # endpoint -> roster: take me out; hard evidence needs no permission
    name: str
    why: str
    hard: bool


@dataclass(slots=True)
class Aside:  # roster -> endpoint: granted
    why: str


@dataclass(slots=True)
class Silent:  # endpoint -> desk: what is out there will hardly be answered
    name: str


@dataclass(slots=True)
class ProbeDue:
    turn: int


@dataclass(slots=True)
class AskDue:
    pass


@dataclass(slots=True)
class GiveUp:
    submission: Submission
    final: bool


@dataclass(slots=True)
class RetryDue:
    submission: Submission
