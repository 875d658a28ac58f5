"""Types of the membership view, and the events and commands that the peer cores share. No I/O.

`Membership` owns the table of `Member`, which has exactly one entry for each name in the roster."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import log10

from lupinmill.peers.wire import Body, MemberUpdate, Status

MS, SECOND = 1_000, 1_000_000
PRESENT = (Status.ALIVE, Status.SUSPECT)


class QuorumState(Enum):
    """How much of the roster this sidecar can reach, in its own view."""

    MAJORITY = "together"  # a majority of the roster is present
    UNCERTAIN = "in doubt"  # views disagree, or this process itself is late
    MINORITY = "cut off"  # only a minority is present
    ISOLATED = "alone"  # no other member is present


@dataclass(frozen=True, slots=True)
class RosterEntry:
    """A member as configured in the operators' file."""

    name: str
    address: str
    zone: str = ""
    region: str = ""


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Timing of the failure detector; times in microseconds.

    A suspicion lasts `suspicion_factor * log10(members)` rounds, and up to `max_suspicion_factor` times as
    long while few members confirm it (Lifeguard, sections IV.A to C)."""

    round: int = 200 * MS
    suspicion_factor: float = 3.0
    max_suspicion_factor: float = 6.0
    required_confirmations: int = 3  # suspecting members at which the timeout reaches its minimum
    indirect_probes: int = 3  # helpers asked after a direct probe gets no ack
    direct_share: float = 0.4  # fraction of a round to wait for the direct ack
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
    source: str = ""  # member that reported the status
    last_ack_at: int = -1  # last ack to a probe of this sidecar, direct or indirect
    suspected_at: int = 0
    suspected_by: list[str] = field(default_factory=list)  # a bounded number of names
    # Members that reported it dead or left from their own addresses.
    death_reporters: list[str] = field(default_factory=list)
    suspicion_ends_at: int = -1  # -1: not suspected
    check_serial: int = 0  # serial of the own probe that decides on the suspicion; 0: none
    reported_status: Status = Status.DEAD  # status that it gets if that probe fails

    def update(self, turn: int = 0) -> MemberUpdate:
        """The update to gossip. Suspecting members are named in turn, as each confirmation shortens the
        suspicion at the receivers."""
        source = self.source or self.entry.name
        if self.status is Status.SUSPECT and self.suspected_by:
            source = self.suspected_by[turn % len(self.suspected_by)]
        return MemberUpdate(self.entry.name, self.status, self.incarnation, source)


# --- events and commands of the cores ------------------------------------------------------------


@dataclass(slots=True)
class Received:
    """A datagram from another member, or a message of this member to itself."""

    sender: str
    body: Body
    updates: list[MemberUpdate] = field(default_factory=list)


@dataclass(slots=True)
class Leave:
    """This sidecar shuts down, or an operator drains it."""


@dataclass(slots=True)
class Resign:
    """Another process of this sidecar becomes the member: leases are released, and no status change is
    announced."""


@dataclass(slots=True)
class Rejoin:
    """A drained sidecar serves again."""


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
    """The status of a member changed in this view; for the log."""

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
