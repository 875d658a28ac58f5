"""One process's side of the records: those that it owns, claims, or was fenced from. No I/O: `step(now,
events)` returns commands.

Why a request takes effect at most once. An attempt with side effects is sent only after `AttemptCleared`: a
majority of the record's keepers holds its intent under this process's ballot, and none of them has promised
a higher one. A process that takes over claims the record with a higher ballot, and goes on only after a
majority has promised it. Any two majorities share a keeper. If that keeper accepted the intent before it
promised, the new owner reads the intent. If it promised before, it refused the intent, and the old owner's
attempt was not cleared. So the new owner sees every attempt that was or will ever be sent under a lower
ballot, whatever the order of messages and however long any process is paused.

Owns one `OwnershipState` per key, released by `forget` once a majority holds the record's end or nothing
more can be done."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from lupinmill.takeover.keeper import (
    BallotRefused,
    BeginRecord,
    ClaimPromised,
    ClaimRecord,
    KeeperFull,
    RecordHeld,
    RecordStored,
    WriteRecord,
)
from lupinmill.takeover.record import (
    Intent,
    IntentAges,
    Outcome,
    OwnerBallot,
    Record,
    RecordEnd,
    RequestInfo,
    merge,
)

MS = 1_000
RESEND_INTERVAL_US = 60 * MS
MAX_SENDS = 4  # of one message without a majority of replies
CLEARANCE_LIFETIME_US = 500 * MS  # from the write request to the send; later, clearance is requested again


def majority(count: int) -> int:
    return count // 2 + 1


# --- events ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class StartRecord:
    """A request was received here, and its first attempt is to go to this endpoint."""

    request: RequestInfo
    endpoint: str
    group: str = ""


@dataclass(frozen=True, slots=True)
class AddIntent:
    """The owner plans another attempt."""

    key: str
    endpoint: str
    group: str = ""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    intent: Intent
    key: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class FinishRecord:
    key: str
    result: str
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class TakeOver:
    """The owner is dead, cut off or leaving in this view, and this process is the chosen successor."""

    key: str


@dataclass(frozen=True, slots=True)
class KeeperReply:
    keeper: str
    body: RecordStored | RecordHeld | ClaimPromised | BallotRefused | KeeperFull


ClaimantEvent = StartRecord | AddIntent | AttemptEnded | FinishRecord | TakeOver | KeeperReply

# --- commands --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendRequest:
    to: str
    body: BeginRecord | WriteRecord | ClaimRecord


@dataclass(frozen=True, slots=True)
class AttemptCleared:
    """The attempt may be sent from now until `deadline`."""

    key: str
    intent: Intent
    deadline: int


@dataclass(frozen=True, slots=True)
class RecordClaimed:
    """This process owns the record now; `oldest_age` is the argument for `record.next_step`."""

    key: str
    record: Record
    oldest_age: int


@dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """Another process owns the record, or it has ended; a retrying client waits there or gets the end."""

    key: str
    record: Record


@dataclass(frozen=True, slots=True)
class Fenced:
    """Another process owns the record from now on: this one sends no more attempts."""

    key: str


@dataclass(frozen=True, slots=True)
class Unprotected:
    """No majority of the keepers answers or has room. The workload's settings say whether the request is sent
    unprotected."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class EndStored:
    """A majority of the keepers holds the record's end."""

    key: str


ClaimantCommand = (
    SendRequest | AttemptCleared | RecordClaimed | OwnedElsewhere | Fenced | Unprotected | EndStored
)


@dataclass(slots=True)
class OwnershipState:
    """What this process knows of one record and its keepers' replies."""

    ballot: OwnerBallot
    record: Record | None
    phase: str  # begin, claim, own, fenced, unprotected
    keepers: tuple[str, ...]
    version: int = 0  # of the record
    first_sent_at: int = 0  # first send of the newest version
    resend_at: int = 0
    sends: int = 0
    # The newest version that each keeper holds; -1: it has no room.
    acks: dict[str, int] = field(default_factory=dict)
    promises: dict[str, ClaimPromised] = field(default_factory=dict)
    held_elsewhere: dict[str, RecordHeld] = field(default_factory=dict)
    refusals: dict[str, None] = field(default_factory=dict)
    highest_seen: int = 0  # highest ballot number in any reply
    uncleared: dict[Intent, int] = field(default_factory=dict)  # version of the record that has the intent
    ages: IntentAges = field(default_factory=IntentAges)
    attempts: int = 0


class Claimant:
    """Owns and claims records for one process."""

    def __init__(self, process: str, keepers: Callable[[str], tuple[str, ...]]) -> None:
        """`keepers(key)`: names of the keepers, the same at every member with the same roster."""
        self.process, self.keepers_of = process, keepers
        self.states: dict[str, OwnershipState] = {}
        self.commands: list[ClaimantCommand] = []
        self.now = 0
        self.majority: Callable[[int], int] = majority

    def next_due(self) -> int | None:
        return min((state.resend_at for state in self.states.values() if state.resend_at), default=None)

    def forget(self, key: str) -> None:
        self.states.pop(key, None)

    def step(self, now: int, events: list[ClaimantEvent]) -> list[ClaimantCommand]:
        self.now = now
        for event in events:
            if isinstance(event, StartRecord):
                self.start(event)
            elif isinstance(event, TakeOver):
                self.take_over(event)
            elif isinstance(event, KeeperReply):
                state = self.states.get(event.body.key)
                if state is not None and event.keeper in state.keepers and event.body.ballot == state.ballot:
                    self.on_reply(state, event.keeper, event.body)
            else:
                self.update(event)
        for key, state in list(self.states.items()):
            if state.resend_at and now >= state.resend_at:
                self.send_again(key, state)
        commands, self.commands = self.commands, []
        return commands

    # Events of this process.

    def start(self, event: StartRecord) -> None:
        request = event.request
        if request.key in self.states:
            return
        ballot = OwnerBallot(1, self.process)
        state = OwnershipState(ballot, Record(request), "begin", self.keepers_of(request.key))
        self.states[request.key] = state
        self.add_intent(state, event.endpoint, event.group)
        self.send_all(request.key, state)

    def take_over(self, event: TakeOver) -> None:
        """Claims the record with a ballot higher than any seen; also after being fenced, or during an open
        start."""
        previous = self.states.get(event.key)
        if previous is not None and previous.phase in ("own", "claim"):
            return
        number = 2 if previous is None else max(previous.ballot.number, previous.highest_seen) + 1
        state = OwnershipState(OwnerBallot(number, self.process), None, "claim", self.keepers_of(event.key))
        self.states[event.key] = state
        self.send_all(event.key, state)

    def update(self, event: AddIntent | AttemptEnded | FinishRecord) -> None:
        state = self.states.get(event.key)
        if state is None or state.phase not in ("own", "begin") or state.record is None:
            return
        if isinstance(event, AddIntent):
            self.add_intent(state, event.endpoint, event.group)
        elif isinstance(event, AttemptEnded):
            state.record = replace(
                state.record, outcomes=state.record.outcomes | {(event.intent, event.outcome)}
            )
        else:
            state.record = replace(state.record, end=RecordEnd(state.ballot, event.result, event.answer))
        if state.phase == "own":
            state.version += 1
            self.send_all(event.key, state)

    def add_intent(self, state: OwnershipState, endpoint: str, group: str) -> None:
        assert state.record is not None
        intent = Intent(state.ballot, state.attempts, endpoint, group)
        state.attempts += 1
        state.record = replace(state.record, intents=state.record.intents | {intent})
        state.uncleared[intent] = state.version + (state.phase == "own")

    # Messages.

    def send_all(self, key: str, state: OwnershipState) -> None:
        state.first_sent_at, state.sends = self.now, 0
        self.send(key, state)

    def send_again(self, key: str, state: OwnershipState) -> None:
        if state.sends >= MAX_SENDS:
            state.resend_at = 0
            if state.phase in ("begin", "claim") or state.uncleared:
                self.give_up(key, state, "no majority of the keepers answers")
            return
        self.send(key, state)

    def send(self, key: str, state: OwnershipState) -> None:
        state.sends += 1
        state.resend_at = self.now + RESEND_INTERVAL_US
        for keeper in state.keepers:
            if state.phase == "claim":
                if keeper not in state.promises:
                    self.commands.append(SendRequest(keeper, ClaimRecord(key, state.ballot)))
            elif state.phase == "begin" and state.record is not None:
                if keeper not in state.acks and keeper not in state.held_elsewhere:
                    self.commands.append(SendRequest(keeper, BeginRecord(key, state.ballot, state.record)))
            elif (
                state.phase == "own"
                and state.record is not None
                and state.acks.get(keeper, -1) < state.version
            ):
                self.commands.append(
                    SendRequest(keeper, WriteRecord(key, state.ballot, state.version, state.record))
                )

    def on_reply(
        self,
        state: OwnershipState,
        keeper: str,
        body: RecordStored | RecordHeld | ClaimPromised | BallotRefused | KeeperFull,
    ) -> None:
        key, needed = body.key, self.majority(len(state.keepers))
        if isinstance(body, BallotRefused):
            state.highest_seen = max(state.highest_seen, body.promised.number)
        if state.phase in ("fenced", "unprotected"):
            return
        if isinstance(body, BallotRefused):
            state.refusals[keeper] = None
            # Fenced once no majority is possible; the next owner reads whatever was accepted in any case.
            if len(state.keepers) - len(state.refusals) < needed:
                self.fence(key, state)
        elif isinstance(body, KeeperFull):
            state.acks[keeper] = -1
            if sum(version < 0 for version in state.acks.values()) > len(state.keepers) - needed:
                self.give_up(key, state, "the keepers have no room")
        elif isinstance(body, RecordStored):
            if state.phase in ("begin", "own"):
                state.acks[keeper] = max(body.version, state.acks.get(keeper, 0))
                self.on_stored(key, state, needed)
        elif isinstance(body, RecordHeld):
            if state.phase == "begin":
                state.held_elsewhere[keeper] = body
                state.highest_seen = max(state.highest_seen, body.promised.number)
                if len(state.keepers) - len(state.held_elsewhere) < needed:
                    record = merge(held_elsewhere.record for held_elsewhere in state.held_elsewhere.values())
                    state.phase, state.resend_at = "fenced", 0
                    state.uncleared.clear()
                    assert record is not None
                    self.commands.append(OwnedElsewhere(key, record))
        elif isinstance(body, ClaimPromised) and state.phase == "claim":
            state.promises[keeper] = body
            state.ages.merge(dict(body.ages))
            if len(state.promises) >= needed:
                self.on_claimed(key, state)

    def on_stored(self, key: str, state: OwnershipState, needed: int) -> None:
        versions = sorted(state.acks.values(), reverse=True)
        if len(versions) < needed or versions[needed - 1] < 0:
            return
        stored_version = versions[needed - 1]  # a majority holds this version and all earlier ones
        if state.phase == "begin":
            state.phase = "own"
            assert state.record is not None
            if len(state.uncleared) > 1 or state.record.end is not None or state.record.outcomes:
                state.version += 1  # the keepers lack the changes made meanwhile
                first = min(state.uncleared, key=lambda intent: intent.number)
                for intent in state.uncleared:
                    if intent != first:
                        state.uncleared[intent] = state.version
                self.send_all(key, state)
        is_fresh = self.now < state.first_sent_at + CLEARANCE_LIFETIME_US
        for intent, version in list(state.uncleared.items()):
            if version <= stored_version:
                del state.uncleared[intent]
                if is_fresh:
                    self.commands.append(
                        AttemptCleared(key, intent, state.first_sent_at + CLEARANCE_LIFETIME_US)
                    )
                else:
                    # Guards against a process that was paused: a stale clearance is requested again.
                    state.version += 1
                    state.uncleared[intent] = state.version
                    self.send_all(key, state)
        if stored_version >= state.version and not state.uncleared:
            state.resend_at = 0
            if state.record is not None and state.record.end is not None:
                self.commands.append(EndStored(key))

    def on_claimed(self, key: str, state: OwnershipState) -> None:
        record = merge(promise.record for promise in state.promises.values() if promise.record is not None)
        if record is None:
            state.resend_at = 0
            self.states.pop(key)  # no keeper has the record
            return
        state.phase, state.record, state.version = "own", record, 1
        state.acks.clear()
        self.commands.append(RecordClaimed(key, record, state.ages.oldest(record)))
        self.send_all(key, state)

    def give_up(self, key: str, state: OwnershipState, reason: str) -> None:
        state.phase, state.resend_at = "unprotected", 0
        state.uncleared.clear()
        self.commands.append(Unprotected(key, reason))

    def fence(self, key: str, state: OwnershipState) -> None:
        state.phase, state.resend_at = "fenced", 0
        state.uncleared.clear()
        self.commands.append(Fenced(key))
