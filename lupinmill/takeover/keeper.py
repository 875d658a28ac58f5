"""One keeper of records: it promises, accepts and refuses. Pure; `step(now, sender, message)` gives the
answers.

A keeper that restarted without its records says nothing until every record that it may have promised for has
run out (`longest`): an answer from one that forgot would hide an intent from the next owner.

Owns its entries, at most `most` and `most_bytes`; each is given back `longest` after it was last accepted."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from lupinmill.takeover.record import Ballot, Intent, Record

ENTRY = 400  # bytes that an entry takes beside its body and answer, more or less


# --- messages --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Begin:
    """A key that its sender takes for new, mostly with the first intent."""

    key: str
    ballot: Ballot
    record: Record


@dataclass(frozen=True, slots=True)
class Write:
    """The owner's whole record: `serial` counts its versions."""

    key: str
    ballot: Ballot
    serial: int
    record: Record


@dataclass(frozen=True, slots=True)
class Claim:
    key: str
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Stored:
    """To `Begin` (serial 0) and `Write`: it is held here, under that ballot."""

    key: str
    ballot: Ballot
    serial: int


@dataclass(frozen=True, slots=True)
class Held:
    """To `Begin`: another has it, or had."""

    key: str
    ballot: Ballot  # of the `Begin`
    by: Ballot
    record: Record
    ages: tuple[tuple[Intent, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Promised:
    """To `Claim`: nobody with a lower ballot writes here any more."""

    key: str
    ballot: Ballot
    record: Record | None
    ages: tuple[tuple[Intent, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Refused:
    """A higher ballot was promised."""

    key: str
    ballot: Ballot
    by: Ballot


@dataclass(frozen=True, slots=True)
class Full:
    """No room: this keeper holds nothing of it."""

    key: str
    ballot: Ballot


Asking = Begin | Write | Claim
Answer = Stored | Held | Promised | Refused | Full


@dataclass(slots=True)
class Entry:
    promised: Ballot
    record: Record | None
    until: int
    heard: dict[Intent, int] = field(default_factory=dict)  # when each intent was first heard of
    size: int = 0


class Keeper:
    def __init__(self, now: int, longest: int, most: int, most_bytes: int, knows: bool = False) -> None:
        """`knows`: nothing can have been promised before, as at the start of a whole site."""
        self.longest, self.most, self.most_bytes = longest, most, most_bytes
        self.silent_until = now if knows else now + longest
        self.entries: dict[str, Entry] = {}
        self.size = 0
        self.refused = 0  # for want of room
        self.now = now

    def step(self, now: int, message: Asking) -> Answer | None:
        self.now = now
        self.forget()
        if now < self.silent_until:
            return None
        entry = self.entries.get(message.key)
        if isinstance(message, Claim):
            return self.claim(entry, message)
        if isinstance(message, Begin) and entry is not None and entry.promised != message.ballot:
            if entry.record is None:  # claimed, and never begun here
                return Refused(message.key, message.ballot, entry.promised)
            return Held(message.key, message.ballot, entry.promised, entry.record, self.ages(entry))
        if entry is not None and message.ballot < entry.promised:
            return Refused(message.key, message.ballot, entry.promised)
        return self.store(entry, message)

    def claim(self, entry: Entry | None, message: Claim) -> Answer:
        if entry is None:
            if len(self.entries) >= self.most:
                self.refused += 1
                return Full(message.key, message.ballot)
            entry = self.entries[message.key] = Entry(message.ballot, None, 0)
        elif message.ballot < entry.promised:
            return Refused(message.key, message.ballot, entry.promised)
        entry.promised, entry.until = message.ballot, self.now + self.longest
        self.move_last(message.key)
        return Promised(message.key, message.ballot, entry.record, self.ages(entry))

    def store(self, entry: Entry | None, message: Begin | Write) -> Answer:
        record = message.record
        if entry is not None and entry.record is not None:
            record = entry.record.merged(record)
        size = ENTRY + len(record.work.body) + (len(record.end.answer) if record.end is not None else 0)
        before = entry.size if entry is not None else 0
        if entry is None and len(self.entries) >= self.most or self.size - before + size > self.most_bytes:
            self.refused += 1
            return Full(message.key, message.ballot)
        if entry is None:
            entry = self.entries[message.key] = Entry(message.ballot, None, 0)
        self.size += size - before
        entry.promised, entry.record, entry.size = message.ballot, record, size
        entry.until = self.now + self.longest
        for intent in record.intents:
            entry.heard.setdefault(intent, self.now)
        self.move_last(message.key)
        return Stored(message.key, message.ballot, message.serial if isinstance(message, Write) else 0)

    def ages(self, entry: Entry) -> tuple[tuple[Intent, int], ...]:
        return tuple((intent, self.now - at) for intent, at in entry.heard.items())

    def move_last(self, key: str) -> None:
        """Entries stand in the order in which they run out."""
        self.entries[key] = self.entries.pop(key)

    def forget(self) -> None:
        for key in list(self.run_out()):
            self.size -= self.entries.pop(key).size

    def run_out(self) -> Iterator[str]:
        for key, entry in self.entries.items():
            if entry.until > self.now:
                return
            yield key
