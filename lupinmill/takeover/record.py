"""The replicated record of one open request, and the merge of its versions. Pure values.

A record only grows: intents, their outcomes, one end. A merge is the union of both, so a reader of a
majority of the keepers sees everything that a majority was ever sent."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from lupinmill import terms as t


@dataclass(frozen=True, slots=True, order=True)
class OwnerBallot:
    """The fencing token under which a process owns a record; unique to that process."""

    number: int = 0
    process: str = ""  # member name and instance ID


class Outcome(Enum):
    NEVER_RAN = "never ran"
    MAY_HAVE_RUN = "may have run"
    HANDLED = "handled"


@dataclass(frozen=True, slots=True)
class Intent:
    """An attempt about to be sent. `group`: the endpoints that drop each other's repeats of it."""

    ballot: OwnerBallot
    number: int
    endpoint: str
    group: str = ""


@dataclass(frozen=True, slots=True)
class RecordEnd:
    """The final answer of a request for its client; a later request with the same key gets the same one."""

    ballot: OwnerBallot
    result: str  # handled, denied, broken off
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """What an attempt and the retry rules need to know of a request."""

    key: str
    workload: str
    repeat: t.RepeatPolicy
    window: int = 0  # microseconds in which a group drops repeats
    group_all: bool = False
    digest: int = 0  # of the body; the same key with another digest is a different request
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Record:
    request: RequestInfo
    intents: frozenset[Intent] = frozenset()
    outcomes: frozenset[tuple[Intent, Outcome]] = frozenset()
    end: RecordEnd | None = None

    def merged(self, other: Record) -> Record:
        end = max((e for e in (self.end, other.end) if e is not None), key=lambda e: e.ballot, default=None)
        return replace(
            self,
            intents=self.intents | other.intents,
            outcomes=self.outcomes | other.outcomes,
            end=end,
        )

    def may_have_run(self) -> list[Intent]:
        """The intents without a `NEVER_RAN` outcome, in order."""
        never = {intent for intent, outcome in self.outcomes if outcome is Outcome.NEVER_RAN}
        return sorted(self.intents - never, key=lambda intent: (intent.ballot, intent.number))


def merge(records: Iterable[Record]) -> Record | None:
    found: Record | None = None
    for record in records:
        found = record if found is None else found.merged(record)
    return found


class NextAction(Enum):
    """How the owner of a claimed record goes on."""

    ENDED = "ended"  # the record has an end, which clients get
    ANYWHERE = "anywhere"  # like a new request
    IN_GROUP = "in group"  # retry only in the group that drops repeats, and within its window
    DENIED = "denied"  # never ran, and too late for an attempt: the client may safely retry
    BROKEN_OFF = "broken off"  # may have run


@dataclass(frozen=True, slots=True)
class NextStep:
    action: NextAction
    group: str = ""


def next_step(record: Record, oldest: int, time_left: int, margin: int) -> NextStep:
    """Applies rule 2 (see `rules.py`) for the next owner. All times are in microseconds.

    `oldest`: since the first intent that may have run, at least; `time_left`: until the hard limit;
    `margin`: the part of both that an attempt needs."""
    if record.end is not None:
        return NextStep(NextAction.ENDED)
    possibly_ran, request = record.may_have_run(), record.request
    too_late = time_left <= margin
    if not possibly_ran:
        return NextStep(NextAction.DENIED if too_late else NextAction.ANYWHERE)
    if request.repeat is t.RepeatPolicy.IDEMPOTENT:
        return NextStep(NextAction.DENIED if too_late else NextAction.ANYWHERE)
    groups = {intent.group for intent in possibly_ran}
    if request.repeat is t.RepeatPolicy.DEDUPLICATED and len(groups) == 1 and "" not in groups:
        if not too_late and oldest + margin < request.window:
            return NextStep(NextAction.IN_GROUP, possibly_ran[0].group)
        if request.group_all:
            return NextStep(NextAction.DENIED)
    return NextStep(NextAction.BROKEN_OFF)


@dataclass(slots=True)
class IntentAges:
    """Microseconds since a keeper first received each intent, by its own clock; the largest of several
    counts."""

    by_intent: dict[Intent, int] = field(default_factory=dict)

    def merge(self, other: dict[Intent, int]) -> None:
        for intent, age in other.items():
            self.by_intent[intent] = max(age, self.by_intent.get(intent, 0))

    def oldest(self, record: Record) -> int:
        return max((self.by_intent.get(intent, 0) for intent in record.may_have_run()), default=0)
