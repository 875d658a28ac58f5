"""What one sidecar holds of the others, and of itself: the types. Pure.

Owns nothing; `Membership` owns the table of `Member`, one entry for each name of the roster and no other."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import log10

from lupinmill.peers.wire import Body, MemberUpdate, Status

MS, SECOND = 1_000, 1_000_000
PRESENT = (Status.ALIVE, Status.SUSPECT)


class QuorumState(Enum):
    """Of this sidecar among the others."""

    MAJORITY = "together"  # sees a majority of the roster
    UNCERTAIN = "in doubt"  # views disagree, or it is late itself
    MINORITY = "cut off"  # sees a minority
    ISOLATED = "alone"  # sees nobody


@dataclass(frozen=True, slots=True)
class RosterEntry:
    """A member as the roster tells it."""

    name: str
    address: str
    zone: str = ""
    region: str = ""


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Microseconds. Suspicion lasts `patience * log10(members)` rounds, up to `doubt` times as long while few
    share it (Lifeguard, sections IV.A to C)."""

    round: int = 200 * MS
    suspicion_factor: float = 3.0
    max_suspicion_factor: float = 6.0
    required_confirmations: int = 3  # others whose suspicion makes one as short as it gets
    indirect_probes: int = 3  # asked to ping for one that hears nothing
    direct_share: float = 0.4  # part of a round for the direct answer
    max_health_score: int = 4

    def suspicion_timeout(self, members: int, confirmations: int) -> int:
        minimum = self.suspicion_factor * max(1.0, log10(max(1, members))) * self.round
        maximum = self.max_suspicion_factor * minimum
        needed = min(self.required_confirmations, members - 2)
        if needed <= 0 or confirmations >= needed:
            return int(minimum)
        return int(max(minimum, maximum - (maximum - minimum) * log10(confirmations + 1) / log10(needed + 1)))


@dataclass(slots=True)
class Member:
    entry: RosterEntry
    status: Status = Status.UNKNOWN
    incarnation: int = 0
    since: int = 0
    source: str = ""  # who told
    last_ack_at: int = -1  # its last answer to a probe of this sidecar, direct or by a helper
    suspected_at: int = 0  # since when
    suspected_by: list[str] = field(default_factory=list)  # who suspects it, a few at most
    death_reporters: list[str] = field(
        default_factory=list
    )  # who told, from its own, that it is dead or left
    suspicion_ends_at: int = -1  # when the suspicion ends
    check_serial: int = 0  # serial of an own probe that decides on it
    reported_status: Status = Status.DEAD  # what it is when the check fails

    def update(self, turn: int = 0) -> MemberUpdate:
        """Who shares a suspicion is told in turn: each shortens it for those that hear."""
        source = self.source or self.entry.name
        if self.status is Status.SUSPECT and self.suspected_by:
            source = self.suspected_by[turn % len(self.suspected_by)]
        return MemberUpdate(self.entry.name, self.status, self.incarnation, source)


# --- notes and orders of the cores ---------------------------------------------------------------


@dataclass(slots=True)
class Received:
    sender: str
    body: Body
    updates: list[MemberUpdate] = field(default_factory=list)


@dataclass(slots=True)
class Leave:
    """This sidecar goes, or is drained by an operator."""


@dataclass(slots=True)
class Resign:
    """Another process of this sidecar is the member from now on: leases are given up, others hear of
    nothing."""


@dataclass(slots=True)
class Rejoin:
    """A drained one serves again."""


@dataclass(slots=True)
class RosterChange:
    entries: list[RosterEntry]


@dataclass(slots=True)
class Send:
    to: str
    body: Body
    updates: list[MemberUpdate]


@dataclass(slots=True)
class MemberChanged:
    """A member is something else in this view now. For the log."""

    name: str
    before: Status
    after: Status
    source: str
    reason: str


@dataclass(slots=True)
class QuorumChanged:
    before: QuorumState
    after: QuorumState
    reason: str
