"""Types shared by the watcher and its driver: calls to discovery, their outcomes, and commands."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class CallKind(Enum):
    """What a call requests."""

    WATCH = "watch"  # long poll: changes since a version, as soon as there are any
    CHANGES = "changes"  # since a version, answered at once: confirms a list that may be old
    FULL_LIST = "whole list"


class CallEnd(Enum):
    """Why a call ended; the values appear in the log."""

    ANSWERED = "answered"
    STALE = "answered, older than the list here"
    FAILED = "failed"
    SUPERSEDED = "given up, a later call was answered"
    ADDRESS_CHANGED = "given up, the list is another address's by now"
    REPLACED = "given up for a newer call, nothing was answered for long"
    TOO_OLD = "given up, too old"


class AnswerAction(Enum):
    """What to do with an answer."""

    APPLY = "take"
    STALE = "stale"  # older than the known list, which must not go backwards
    FETCH_FULL_LIST = "ask for the whole list"  # changes from a service restored to an older state
    UNUSABLE = "misfit"  # changes where only a full list can be applied


@dataclass(slots=True, eq=False)
class Call:
    """One call to discovery. Times are seconds of a monotonic clock."""

    id: int
    kind: CallKind
    address: str
    epoch: int  # number of address changes before the call started
    started_at: float
    wait: float  # seconds that discovery may hold the call while nothing changes; 0 unless it is a watch
    index: int | None  # list version known when the call started
    jitter: float  # random factor of the delay before a parallel call
    connected: bool = False
    first_byte_at: float | None = None  # time of the first byte of the answer
    superseded: bool = False  # a call started after this one was due has been answered

    @property
    def due(self) -> float:
        """Latest time at which a prompt service would have answered."""
        latest = self.started_at + self.wait
        return latest if self.first_byte_at is None else min(latest, self.first_byte_at)

    def age(self, now: float) -> float:
        """Seconds since the call started."""
        return now - self.started_at

    def late(self, now: float) -> float:
        """Seconds by which the answer is overdue."""
        return max(0.0, now - self.due)


@dataclass(frozen=True, slots=True)
class StartCall:
    """Command: start this call."""

    call: Call


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Command: cancel this call."""

    call: Call
    end: CallEnd


Command = StartCall | CancelCall
