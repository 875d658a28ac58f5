"""What one sidecar holds of the others, and of itself: the types. Pure.

Owns nothing; `Membership` owns the table of `Member`, one entry for each name of the roster and no other."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import log10

from lupinmill.peers.wire import Body, Note, Status

MS, SECOND = 1_000, 1_000_000
PRESENT = (Status.ALIVE, Status.SUSPECT)


class Standing(Enum):
    """Of this sidecar among the others."""

    TOGETHER = "together"  # sees a majority of the roster
    IN_DOUBT = "in doubt"  # views disagree, or it is late itself
    CUT_OFF = "cut off"  # sees a minority
    ALONE = "alone"  # sees nobody


@dataclass(frozen=True, slots=True)
class Seat:
    """A member as the roster tells it."""

    name: str
    address: str
    zone: str = ""
    region: str = ""


@dataclass(frozen=True, slots=True)
class Timing:
    """Microseconds. Suspicion lasts `patience * log10(members)` rounds, up to `doubt` times as long while few
    share it (Lifeguard, sections IV.A to C)."""

    round: int = 200 * MS
    patience: float = 3.0
    doubt: float = 6.0
    sharers: int = 3  # others whose suspicion makes one as short as it gets
    helpers: int = 3  # asked to ping for one that hears nothing
    answer: float = 0.4  # part of a round for the direct answer
    health_most: int = 4

    def suspicion(self, members: int, shared: int) -> int:
        least = self.patience * max(1.0, log10(max(1, members))) * self.round
        most = self.doubt * least
        sharers = min(self.sharers, members - 2)
        if sharers <= 0 or shared >= sharers:
            return int(least)
        return int(max(least, most - (most - least) * log10(shared + 1) / log10(sharers + 1)))


@dataclass(slots=True)
class Member:
    seat: Seat
    status: Status = Status.UNKNOWN
    incarnation: int = 0
    since: int = 0
    by: str = ""  # who told
    answered: int = -1  # its last answer to a probe of this sidecar, direct or by a helper
    suspected: int = 0  # since when
    sharers: list[str] = field(default_factory=list)  # who suspects it, a few at most
    tellers: list[str] = field(default_factory=list)  # who told, from its own, that it is dead or left
    ends: int = -1  # when the suspicion ends
    checking: int = 0  # serial of an own probe that decides on it
    told_as: Status = Status.DEAD  # what it is when the check fails

    def note(self, turn: int = 0) -> Note:
        """Who shares a suspicion is told in turn: each shortens it for those that hear."""
        by = self.by or self.seat.name
        if self.status is Status.SUSPECT and self.sharers:
            by = self.sharers[turn % len(self.sharers)]
        return Note(self.seat.name, self.status, self.incarnation, by)


# --- notes and orders of the cores ---------------------------------------------------------------


@dataclass(slots=True)
class Heard:
    sender: str
    body: Body
    notes: list[Note] = field(default_factory=list)


@dataclass(slots=True)
class Leave:
    """This sidecar goes, or is drained by an operator."""


@dataclass(slots=True)
class Resign:
    """Another process of this sidecar is the member from now on: leases are given up, others hear of
    nothing."""


@dataclass(slots=True)
class Return:
    """A drained one serves again."""


@dataclass(slots=True)
class Roster:
    seats: list[Seat]


@dataclass(slots=True)
class Send:
    to: str
    body: Body
    notes: list[Note]


@dataclass(slots=True)
class Changed:
    """A member is something else in this view now. For the log."""

    name: str
    before: Status
    after: Status
    by: str
    why: str


@dataclass(slots=True)
class Stands:
    before: Standing
    after: Standing
    why: str
