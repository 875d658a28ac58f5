"""What the watcher and its driver say to one another: calls of discovery, how they end, and commands."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class CallKind(Enum):
    """What a call asks for."""

    WATCH = "watch"  # changes since a version, as soon as there are any
    FULL_LIST = "whole list"


class CallEnd(Enum):
    """Why a call ended, as the log tells it."""

    ANSWERED = "answered"
    STALE = "answered, older than the list here"
    FAILED = "failed"
    SUPERSEDED = "given up, a later call was answered"
    ADDRESS_CHANGED = "given up, the list is another address's by now"
    REPLACED = "given up for a newer call, nothing was answered for long"
    TOO_OLD = "given up, too old"


class AnswerAction(Enum):
    """What becomes of an answer."""

    APPLY = "take"
    STALE = "stale"  # from before what is known: it would take the list backwards
    FETCH_FULL_LIST = "ask for the whole list"  # changes of a service that came back from an older state
    UNUSABLE = "misfit"  # changes where only a whole list can be used


@dataclass(slots=True, eq=False)
class Call:
    """One call of discovery. Times are seconds of a monotonic clock."""

    id: int
    kind: CallKind
    address: str
    epoch: int  # how often discovery had moved when it began
    started_at: float
    wait: float  # seconds for which discovery is asked to wait for news; 0 for a whole list
    index: int | None  # the version that was known when it began
    jitter: float  # part of the patience with it, before another call begins beside it
    connected: bool = False
    first_byte_at: float | None = None  # when the first byte of its answer came
    superseded: bool = False  # a call that began after this one was due has been answered

    @property
    def due(self) -> float:
        """When a prompt service would have answered it at the latest."""
        latest = self.started_at + self.wait
        return latest if self.first_byte_at is None else min(latest, self.first_byte_at)

    def age(self, now: float) -> float:
        """Seconds since it began."""
        return now - self.started_at

    def late(self, now: float) -> float:
        """Seconds since it was due."""
        return max(0.0, now - self.due)


@dataclass(frozen=True, slots=True)
class StartCall:
    """Command: make this call."""

    call: Call


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Command: end this call."""

    call: Call
    end: CallEnd


Command = StartCall | CancelCall
