"""One process's side of the records: what it owns, what it asks to own, and what it was fenced from. Pure;
`step(now, notes)` gives orders.

The argument for once. A launch whose effect matters goes out only after `Cleared`: a majority of the record's
keepers holds its intent under this process's ballot, none of them having promised a higher one. Who takes
over claims with a higher ballot and goes on only after a majority has promised it. Any two majorities share a
keeper. If that keeper accepted the intent before it promised, the new owner reads it; if it promised before,
it refused the intent, and the old owner was not cleared. So the new owner sees every launch that was or will
ever be made under a lower ballot, in whatever order messages come and however long anybody is stopped.

Owns one `Hold` a key, given back by `drop` once its end is held by a majority or nothing more can be done."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from lupinmill.takeover.keeper import Begin, Claim, Full, Held, Promised, Refused, Stored, Write
from lupinmill.takeover.record import Ages, Ballot, End, Intent, Outcome, Record, Work, merge

MS = 1_000
RESEND = 60 * MS
TRIES = 4  # sends of one message, then it is given up
RIPE = 500 * MS  # from asking on a launch must go out in this time, else it is asked for again


def majority(count: int) -> int:
    return count // 2 + 1


# --- notes -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Take:
    """A submission has come here, and its first launch is to go to this endpoint."""

    work: Work
    endpoint: str
    group: str = ""


@dataclass(frozen=True, slots=True)
class Intend:
    """Another launch by the owner."""

    key: str
    endpoint: str
    group: str = ""


@dataclass(frozen=True, slots=True)
class Ended:
    intent: Intent
    key: str
    how: Outcome


@dataclass(frozen=True, slots=True)
class Finish:
    key: str
    what: str
    answer: bytes = b""


@dataclass(frozen=True, slots=True)
class TakeOver:
    """Its owner is held dead, cut off or leaving, and this process is the one whose turn it is."""

    key: str


@dataclass(frozen=True, slots=True)
class Heard:
    keeper: str
    body: Stored | Held | Promised | Refused | Full


Note = Take | Intend | Ended | Finish | TakeOver | Heard

# --- orders ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    to: str
    body: Begin | Write | Claim


@dataclass(frozen=True, slots=True)
class Cleared:
    """This launch may go out now, and until `by`."""

    key: str
    intent: Intent
    by: int


@dataclass(frozen=True, slots=True)
class Won:
    """The record is this process's: how to go on is `record.onward`. `oldest` as asked there."""

    key: str
    record: Record
    oldest: int


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """Another process has it, or it has ended: who came here again waits there, or hears the end."""

    key: str
    record: Record


@dataclass(frozen=True, slots=True)
class Fenced:
    """Another owns it from now on: nothing more is launched here."""

    key: str


@dataclass(frozen=True, slots=True)
class Unprotected:
    """No majority of its keepers answers or has room: whether it goes out all the same is told by
    workload."""

    key: str
    why: str


@dataclass(frozen=True, slots=True)
class Kept:
    """Its end is held by a majority."""

    key: str


Order = Send | Cleared | Won | Elsewhere | Fenced | Unprotected | Kept


@dataclass(slots=True)
class Hold:
    ballot: Ballot
    record: Record | None
    phase: str  # begin, claim, own, fenced, unprotected
    keepers: tuple[str, ...]
    serial: int = 0  # of the newest version
    asked: int = 0  # when the newest version was first sent
    resend: int = 0
    tries: int = 0
    acks: dict[str, int] = field(
        default_factory=dict
    )  # newest serial that a keeper holds; -1: it has no room
    promises: dict[str, Promised] = field(default_factory=dict)
    held: dict[str, Held] = field(default_factory=dict)
    refused: dict[str, None] = field(default_factory=dict)
    highest: int = 0  # number of any ballot seen
    waiting: dict[Intent, int] = field(default_factory=dict)  # not cleared yet: the version that has it
    ages: Ages = field(default_factory=Ages)
    launches: int = 0


class Hand:
    def __init__(self, process: str, keepers: Callable[[str], tuple[str, ...]]) -> None:
        """`keepers(key)`: names, the same at every member of one roster."""
        self.process, self.keepers_of = process, keepers
        self.holds: dict[str, Hold] = {}
        self.orders: list[Order] = []
        self.now = 0
        self.majority: Callable[[int], int] = majority

    def next(self) -> int | None:
        return min((hold.resend for hold in self.holds.values() if hold.resend), default=None)

    def drop(self, key: str) -> None:
        self.holds.pop(key, None)

    def step(self, now: int, notes: list[Note]) -> list[Order]:
        self.now = now
        for note in notes:
            if isinstance(note, Take):
                self.take(note)
            elif isinstance(note, TakeOver):
                self.take_over(note)
            elif isinstance(note, Heard):
                hold = self.holds.get(note.body.key)
                if hold is not None and note.keeper in hold.keepers and note.body.ballot == hold.ballot:
                    self.heard(hold, note.keeper, note.body)
            else:
                self.change(note)
        for key, hold in list(self.holds.items()):
            if hold.resend and now >= hold.resend:
                self.send_again(key, hold)
        orders, self.orders = self.orders, []
        return orders

    # What this process wants.

    def take(self, note: Take) -> None:
        work = note.work
        if work.key in self.holds:
            return
        ballot = Ballot(1, self.process)
        hold = Hold(ballot, Record(work), "begin", self.keepers_of(work.key))
        self.holds[work.key] = hold
        self.intend(hold, note.endpoint, note.group)
        self.send_all(work.key, hold)

    def take_over(self, note: TakeOver) -> None:
        """Also one that was fenced, or is still asking, may: with a higher ballot than any that it has
        seen."""
        before = self.holds.get(note.key)
        if before is not None and before.phase in ("own", "claim"):
            return
        number = 2 if before is None else max(before.ballot.number, before.highest) + 1
        hold = Hold(Ballot(number, self.process), None, "claim", self.keepers_of(note.key))
        self.holds[note.key] = hold
        self.send_all(note.key, hold)

    def change(self, note: Intend | Ended | Finish) -> None:
        hold = self.holds.get(note.key)
        if hold is None or hold.phase not in ("own", "begin") or hold.record is None:
            return
        if isinstance(note, Intend):
            self.intend(hold, note.endpoint, note.group)
        elif isinstance(note, Ended):
            hold.record = replace(hold.record, outcomes=hold.record.outcomes | {(note.intent, note.how)})
        else:
            hold.record = replace(hold.record, end=End(hold.ballot, note.what, note.answer))
        if hold.phase == "own":
            hold.serial += 1
            self.send_all(note.key, hold)

    def intend(self, hold: Hold, endpoint: str, group: str) -> None:
        assert hold.record is not None
        intent = Intent(hold.ballot, hold.launches, endpoint, group)
        hold.launches += 1
        hold.record = replace(hold.record, intents=hold.record.intents | {intent})
        hold.waiting[intent] = hold.serial + (hold.phase == "own")

    # Messages.

    def send_all(self, key: str, hold: Hold) -> None:
        hold.asked, hold.tries = self.now, 0
        self.send(key, hold)

    def send_again(self, key: str, hold: Hold) -> None:
        if hold.tries >= TRIES:
            hold.resend = 0
            if hold.phase in ("begin", "claim") or hold.waiting:
                self.give_up(key, hold, "no majority of its keepers answers")
            return
        self.send(key, hold)

    def send(self, key: str, hold: Hold) -> None:
        hold.tries += 1
        hold.resend = self.now + RESEND
        for keeper in hold.keepers:
            if hold.phase == "claim":
                if keeper not in hold.promises:
                    self.orders.append(Send(keeper, Claim(key, hold.ballot)))
            elif hold.phase == "begin" and hold.record is not None:
                if keeper not in hold.acks and keeper not in hold.held:
                    self.orders.append(Send(keeper, Begin(key, hold.ballot, hold.record)))
            elif hold.phase == "own" and hold.record is not None and hold.acks.get(keeper, -1) < hold.serial:
                self.orders.append(Send(keeper, Write(key, hold.ballot, hold.serial, hold.record)))

    def heard(self, hold: Hold, keeper: str, body: Stored | Held | Promised | Refused | Full) -> None:
        key, need = body.key, self.majority(len(hold.keepers))
        if isinstance(body, Refused):
            hold.highest = max(hold.highest, body.by.number)
        if hold.phase in ("fenced", "unprotected"):
            return
        if isinstance(body, Refused):
            hold.refused[keeper] = None
            # Only then can no majority be had; the owner to come reads in any case whatever was accepted.
            if len(hold.keepers) - len(hold.refused) < need:
                self.fence(key, hold)
        elif isinstance(body, Full):
            hold.acks[keeper] = -1
            if sum(serial < 0 for serial in hold.acks.values()) > len(hold.keepers) - need:
                self.give_up(key, hold, "its keepers have no room")
        elif isinstance(body, Stored):
            if hold.phase in ("begin", "own"):
                hold.acks[keeper] = max(body.serial, hold.acks.get(keeper, 0))
                self.count(key, hold, need)
        elif isinstance(body, Held):
            if hold.phase == "begin":
                hold.held[keeper] = body
                hold.highest = max(hold.highest, body.by.number)
                if len(hold.keepers) - len(hold.held) < need:
                    record = merge(held.record for held in hold.held.values())
                    hold.phase, hold.resend = "fenced", 0
                    hold.waiting.clear()
                    assert record is not None
                    self.orders.append(Elsewhere(key, record))
        elif isinstance(body, Promised) and hold.phase == "claim":
            hold.promises[keeper] = body
            hold.ages.take(dict(body.ages))
            if len(hold.promises) >= need:
                self.won(key, hold)

    def count(self, key: str, hold: Hold, need: int) -> None:
        newest = sorted(hold.acks.values(), reverse=True)
        if len(newest) < need or newest[need - 1] < 0:
            return
        sure = newest[need - 1]  # a majority holds this version and all before
        if hold.phase == "begin":
            hold.phase = "own"
            assert hold.record is not None
            if len(hold.waiting) > 1 or hold.record.end is not None or hold.record.outcomes:
                hold.serial += 1  # what came meanwhile is not in what they hold
                first = min(hold.waiting, key=lambda intent: intent.number)
                for intent in hold.waiting:
                    if intent != first:
                        hold.waiting[intent] = hold.serial
                self.send_all(key, hold)
        ripe = self.now < hold.asked + RIPE
        for intent, serial in list(hold.waiting.items()):
            if serial <= sure:
                del hold.waiting[intent]
                if ripe:
                    self.orders.append(Cleared(key, intent, hold.asked + RIPE))
                else:
                    # Guards against a process that was stopped: what was granted long ago is asked for again.
                    hold.serial += 1
                    hold.waiting[intent] = hold.serial
                    self.send_all(key, hold)
        if sure >= hold.serial and not hold.waiting:
            hold.resend = 0
            if hold.record is not None and hold.record.end is not None:
                self.orders.append(Kept(key))

    def won(self, key: str, hold: Hold) -> None:
        record = merge(one.record for one in hold.promises.values() if one.record is not None)
        if record is None:
            hold.resend = 0
            self.holds.pop(key)  # nobody holds anything of it
            return
        hold.phase, hold.record, hold.serial = "own", record, 1
        hold.acks.clear()
        self.orders.append(Won(key, record, hold.ages.oldest(record)))
        self.send_all(key, hold)

    def give_up(self, key: str, hold: Hold, why: str) -> None:
        hold.phase, hold.resend = "unprotected", 0
        hold.waiting.clear()
        self.orders.append(Unprotected(key, why))

    def fence(self, key: str, hold: Hold) -> None:
        hold.phase, hold.resend = "fenced", 0
        hold.waiting.clear()
        self.orders.append(Fenced(key))
