"""One keeper of records: it promises, stores and refuses. No I/O: `step(now, request)` returns the reply.

A keeper that restarted without its records doesn't reply until every record that it may have promised for
has expired (`retention`): a reply without memory would hide an intent from the next owner.

Owns its entries, at most `max_entries` and `max_bytes`; each expires `retention` after it was last
accepted."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from lupinmill.takeover.record import Intent, OwnerBallot, Record

ENTRY_OVERHEAD_BYTES = 400  # approximate size of an entry besides its body and answer


# --- messages --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class BeginRecord:
    """Starts the record of a key that is new to the sender, usually with the first intent."""

    key: str
    ballot: OwnerBallot
    record: Record


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Replaces the owner's whole record; `version` counts its versions."""

    key: str
    ballot: OwnerBallot
    version: int
    record: Record


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    key: str
    ballot: OwnerBallot


@dataclass(frozen=True, slots=True)
class RecordStored:
    """The reply to `BeginRecord` (version 0) and `WriteRecord`: the record is stored under that ballot."""

    key: str
    ballot: OwnerBallot
    version: int


@dataclass(frozen=True, slots=True)
class RecordHeld:
    """The reply to `BeginRecord` if another process owns the record, or owned it."""

    key: str
    ballot: OwnerBallot  # of the `BeginRecord`
    promised: OwnerBallot
    record: Record
    ages: tuple[tuple[Intent, int], ...] = ()


@dataclass(frozen=True, slots=True)
class ClaimPromised:
    """The reply to `ClaimRecord`: this keeper refuses lower ballots from now on."""

    key: str
    ballot: OwnerBallot
    record: Record | None
    ages: tuple[tuple[Intent, int], ...] = ()


@dataclass(frozen=True, slots=True)
class BallotRefused:
    """The reply to a request whose ballot is lower than the promised one."""

    key: str
    ballot: OwnerBallot
    promised: OwnerBallot


@dataclass(frozen=True, slots=True)
class KeeperFull:
    """The keeper has no room, and stored nothing of the record."""

    key: str
    ballot: OwnerBallot


Request = BeginRecord | WriteRecord | ClaimRecord
Reply = RecordStored | RecordHeld | ClaimPromised | BallotRefused | KeeperFull


@dataclass(slots=True)
class Entry:
    promised: OwnerBallot
    record: Record | None
    expires_at: int
    first_seen: dict[Intent, int] = field(
        default_factory=dict
    )  # time at which each intent was first received
    size: int = 0


class Keeper:
    """A replica that stores records and guards them by ballots."""

    def __init__(
        self, now: int, retention: int, max_entries: int, max_bytes: int, has_memory: bool = False
    ) -> None:
        """`has_memory`: no earlier promise can exist, as at the first start of a site."""
        self.retention, self.max_entries, self.max_bytes = retention, max_entries, max_bytes
        self.silent_until = now if has_memory else now + retention
        self.entries: dict[str, Entry] = {}
        self.size = 0
        self.rejected_count = 0  # for lack of room
        self.now = now

    def step(self, now: int, request: Request) -> Reply | None:
        self.now = now
        self.evict_expired()
        if now < self.silent_until:
            return None
        entry = self.entries.get(request.key)
        if isinstance(request, ClaimRecord):
            return self.claim(entry, request)
        if isinstance(request, BeginRecord) and entry is not None and entry.promised != request.ballot:
            if entry.record is None:  # claimed, but never stored here
                return BallotRefused(request.key, request.ballot, entry.promised)
            return RecordHeld(request.key, request.ballot, entry.promised, entry.record, self.ages(entry))
        if entry is not None and request.ballot < entry.promised:
            return BallotRefused(request.key, request.ballot, entry.promised)
        return self.store(entry, request)

    def claim(self, entry: Entry | None, request: ClaimRecord) -> Reply:
        if entry is None:
            if len(self.entries) >= self.max_entries:
                self.rejected_count += 1
                return KeeperFull(request.key, request.ballot)
            entry = self.entries[request.key] = Entry(request.ballot, None, 0)
        elif request.ballot < entry.promised:
            return BallotRefused(request.key, request.ballot, entry.promised)
        entry.promised, entry.expires_at = request.ballot, self.now + self.retention
        self.move_last(request.key)
        return ClaimPromised(request.key, request.ballot, entry.record, self.ages(entry))

    def store(self, entry: Entry | None, request: BeginRecord | WriteRecord) -> Reply:
        record = request.record
        if entry is not None and entry.record is not None:
            record = entry.record.merged(record)
        size = (
            ENTRY_OVERHEAD_BYTES
            + len(record.request.body)
            + (len(record.end.answer) if record.end is not None else 0)
        )
        before = entry.size if entry is not None else 0
        if (
            entry is None
            and len(self.entries) >= self.max_entries
            or self.size - before + size > self.max_bytes
        ):
            self.rejected_count += 1
            return KeeperFull(request.key, request.ballot)
        if entry is None:
            entry = self.entries[request.key] = Entry(request.ballot, None, 0)
        self.size += size - before
        entry.promised, entry.record, entry.size = request.ballot, record, size
        entry.expires_at = self.now + self.retention
        for intent in record.intents:
            entry.first_seen.setdefault(intent, self.now)
        self.move_last(request.key)
        return RecordStored(
            request.key, request.ballot, request.version if isinstance(request, WriteRecord) else 0
        )

    def ages(self, entry: Entry) -> tuple[tuple[Intent, int], ...]:
        return tuple((intent, self.now - at) for intent, at in entry.first_seen.items())

    def move_last(self, key: str) -> None:
        """Keeps the entries in the order of their expiry."""
        self.entries[key] = self.entries.pop(key)

    def evict_expired(self) -> None:
        for key in list(self.expired_keys()):
            self.size -= self.entries.pop(key).size

    def expired_keys(self) -> Iterator[str]:
        for key, entry in self.entries.items():
            if entry.expires_at > self.now:
                return
            yield key
