"""One member's whole core: who is there, its vote if it is an elector, its claims, and what was decided.
Pure: `step(now, notes)` gives orders, `next()` the latest moment of the following step. The driver, the
virtual fleet and the explorer all run this one.

Owns the decisions known (one a topic) and hearsay of newer ones (`WORDS` a topic)."""

from __future__ import annotations

from dataclasses import dataclass, field
from zlib import crc32

from lupinmill.peers import wire
from lupinmill.peers.elector import Elector, Keep, Memory, majority
from lupinmill.peers.membership import Membership
from lupinmill.peers.partition_policy import TABLE, may_decide
from lupinmill.peers.proposer import Chosen, Claims, Lost, Took
from lupinmill.peers.view import (
    MS,
    SECOND,
    Changed,
    Heard,
    Leave,
    Resign,
    Return,
    Roster,
    Seat,
    Send,
    Standing,
    Stands,
    Timing,
)
from lupinmill.peers.wire import Confirm, Confirmed, Height, Made, Status

REHEARSAL = "rehearsal"  # a topic that carries nothing: for drills of the operators and for tests
WORDS = 4  # hearsay of newer decisions, a topic
RISE = 1_000_000  # by which one word may raise a height
CONFIRM_EVERY = 100 * MS  # a topic: nobody can make this member ask more often
SPREAD = 8  # datagrams in which one member tells a new decision, FAN at a time
FAN = 2
DROPPED_CAUSES = 16


@dataclass(frozen=True, slots=True)
class Told:
    """What the operator's file says for the core."""

    name: str
    seats: tuple[Seat, ...]
    electors: tuple[str, ...] = ()
    topics: tuple[str, ...] = (REHEARSAL,)
    wants: tuple[str, ...] = ()  # topics whose lease this member asks for
    lease: int = 6 * SECOND
    fades: int = 30 * SECOND  # after so long cut off a decision is forgotten
    timing: Timing = Timing()


@dataclass(slots=True)
class Known:
    """A decision that this member goes by from now on."""

    topic: str
    epoch: int
    version: int
    body: bytes


@dataclass(slots=True)
class Hearsay:
    """A newer decision by another's word, until a majority of the electors has confirmed it."""

    made: Made
    confirmed: dict[str, None] = field(default_factory=dict)


@dataclass(slots=True)
class Said:
    """A feature's words from another member, for the same feature here."""

    topic: str
    sender: str
    words: bytes


@dataclass(slots=True)
class Forgot:
    topic: str
    why: str


Note = Heard | Leave | Return | Roster | Resign
Order = Send | Keep | Changed | Stands | Took | Lost | Chosen | Known | Forgot | Said


class Peer:
    def __init__(self, told: Told, life: int, seed: int, now: int, memory: Memory | None = None) -> None:
        self.told, self.name, self.life, self.now = told, told.name, life, now
        self.membership = Membership(told.name, list(told.seats), told.timing, seed, now)
        electors = list(told.electors)
        self.elector = None
        if told.name in electors:
            self.elector = Elector(told.name, electors, list(told.topics), told.lease, life, now, memory)
        self.claims = Claims(told.name, electors, told.lease, life, seed ^ 0x9E3779B97F4A7C15, now)
        self.decided: dict[str, Made] = {}
        self.words: dict[str, dict[tuple[int, int], Hearsay]] = {}  # by topic, then version and mark
        self.confirm_at: dict[str, int] = {}
        self.heights: dict[str, tuple[int, int]] = {}  # epoch and version ever heard of, by topic
        self.resigned = False
        self.spreading: dict[str, int] = {}  # topics, and how often each is still told
        self.spread_at = now
        self.majority_at = now  # when this member last saw a majority
        self.orders: list[Order] = []
        self.membership.told = self.what_is_decided
        self.membership.behind = self.help_behind
        self.claims.heights = self.height

    def next(self) -> int:
        times = [self.membership.next(), self.claims.next(), self.elector.next() if self.elector else None]
        if self.spreading:
            times.append(self.spread_at)
        return min(at for at in times if at is not None)

    def step(self, now: int, notes: list[Note]) -> list[Order]:
        self.now = now
        of_members: list[Note] = []
        votes: list[Heard] = []
        claims: list[Heard] = []
        for note in notes:
            if isinstance(note, Heard):
                body = note.body
                if isinstance(body, wire.Prepare | wire.Accept | wire.Recall | wire.Recalled):
                    votes.append(note)
                elif isinstance(body, wire.Promise | wire.Accepted | wire.Refused):
                    claims.append(note)
                elif isinstance(body, Made | Confirm | Confirmed):
                    self.hear_of_decision(note.sender, body)
                elif isinstance(body, wire.Carried):
                    self.hear_words(note.sender, body)
                else:
                    of_members.append(note)
                    continue
                if note.sender != self.name:
                    of_members.append(note)  # who is there shows in every datagram
            else:
                self.obey(note)
                if not isinstance(note, Resign):
                    of_members.append(note)
        self.orders += self.membership.step(now, of_members)
        if self.elector is not None:
            known = [note for note in votes if self.is_member(note.sender)]
            self.orders += self.elector.step(now, known)
        elif votes:
            self.membership.drop("votes")
        self.claim()
        for order in self.claims.step(now, claims):
            self.orders.append(order)
            if isinstance(order, Chosen):
                self.chosen(order)
            elif isinstance(order, Took):
                self.rise(order.topic, order.epoch, 0)
        self.spread()
        self.fade()
        orders, self.orders = self.orders, []
        return orders

    def is_member(self, name: str) -> bool:
        return name == self.name or name in self.membership.members

    def obey(self, note: Note) -> None:
        if isinstance(note, Resign):
            self.resigned = True
        if isinstance(note, Leave | Resign):
            for topic in list(self.claims.claims):
                self.claims.now = self.now
                self.claims.give_up(topic)

    # Leases and decisions.

    def claim(self) -> None:
        """Only who sees a majority asks for a lease; one that is held stays until it runs out."""
        asks = may_decide(self.membership.standing) and self.membership.status is Status.ALIVE
        self.claims.now = self.now
        if self.membership.standing in (Standing.CUT_OFF, Standing.ALONE):
            # Even where the electors are on this side: who sees a minority decides nothing for the others.
            for topic in list(self.claims.claims):
                if self.claims.holds(topic, self.now):
                    self.claims.give_up(topic)
        for topic in self.told.wants if self.told.electors else ():
            if asks and not self.resigned:
                self.claims.want(topic)
            else:
                self.claims.ask_no_more(topic)

    def holds(self, topic: str, now: int) -> int:
        return self.claims.holds(topic, now)

    def decide(self, topic: str, body: bytes) -> bool:
        return self.claims.decide(topic, body)

    def chosen(self, order: Chosen) -> None:
        made = Made(order.topic, order.epoch, order.version, order.body)
        for elector in self.told.electors:
            if elector != self.name:
                self.orders.append(Send(elector, made, []))
        self.believe(made)

    def believe(self, made: Made) -> None:
        """Versions only grow, whoever the holder is: they tell which decision is newer."""
        held = self.decided.get(made.topic)
        if held is not None and held.version >= made.version:
            return
        self.decided[made.topic] = made
        self.rise(made.topic, made.epoch, made.version)
        self.words.pop(made.topic, None)
        self.spreading[made.topic] = SPREAD
        self.spread_at = self.now
        self.orders.append(Known(made.topic, made.epoch, made.version, made.body))

    def hear_of_decision(self, sender: str, body: Made | Confirm | Confirmed) -> None:
        if body.topic not in self.told.topics or not self.is_member(sender):
            self.membership.drop("topic")
        elif isinstance(body, Made):
            self.hear_made(sender, body)
        elif isinstance(body, Confirm):
            if self.has_accepted(body):
                self.orders.append(Send(sender, Confirmed(body.topic, body.version, body.mark), []))
        elif sender in self.told.electors:
            self.confirmed(sender, body)

    def hear_words(self, sender: str, body: wire.Carried) -> None:
        if body.topic not in self.told.topics or not self.is_member(sender):
            self.membership.drop("topic")
        else:
            self.orders.append(Said(body.topic, sender, body.words))

    def hear_made(self, sender: str, made: Made) -> None:
        """Hearsay until a majority of the electors says that it has accepted just that. Guards against a
        member that lies about what was decided, its maker among them."""
        held = self.decided.get(made.topic)
        if held is not None and made.version <= held.version:
            return
        mark = crc32(made.body)
        words = self.words.setdefault(made.topic, {})
        if (made.version, mark) not in words:
            if len(words) >= WORDS:
                del words[next(iter(words))]
            words[made.version, mark] = Hearsay(made)
        if self.now - self.confirm_at.get(made.topic, -CONFIRM_EVERY) < CONFIRM_EVERY:
            return
        self.confirm_at[made.topic] = self.now
        confirm = Confirm(made.topic, made.version, mark)
        for elector in self.told.electors:
            if elector != self.name:
                self.orders.append(Send(elector, confirm, []))
        if self.has_accepted(confirm):
            self.confirmed(self.name, Confirmed(made.topic, made.version, mark))

    def has_accepted(self, asked: Confirm) -> bool:
        register = self.elector.registers.get(asked.topic) if self.elector is not None else None
        if register is None:
            return False
        return (register.value.version, crc32(register.value.body)) == (asked.version, asked.mark)

    def confirmed(self, elector: str, body: Confirmed) -> None:
        hearsay = self.words.get(body.topic, {}).get((body.version, body.mark))
        if hearsay is None:
            return
        hearsay.confirmed[elector] = None
        if len(hearsay.confirmed) >= majority(len(self.told.electors)):
            self.believe(hearsay.made)

    def spread(self) -> None:
        if not self.spreading or self.now < self.spread_at:
            return
        self.spread_at = self.now + self.told.timing.round // 2
        for topic in list(self.spreading):
            for name in self.membership.some(FAN):
                self.orders.append(Send(name, self.decided[topic], []))
            self.spreading[topic] -= 1
            if not self.spreading[topic]:
                del self.spreading[topic]

    def what_is_decided(self) -> list[Height]:
        found = []
        for topic in self.told.topics:
            epoch, version = self.height(topic)
            decided = self.decided[topic].version if topic in self.decided else 0
            if epoch or version:
                found.append(Height(topic, epoch, version, decided))
        return found

    def height(self, topic: str) -> tuple[int, int]:
        """How far epochs and versions have gone, as far as this member ever heard, also as an elector."""
        epoch, version = self.heights.get(topic, (0, 0))
        if self.elector is not None and topic in self.elector.registers:
            value = self.elector.registers[topic].value
            epoch = max(epoch, value.epoch)
        return epoch, version

    def rise(self, topic: str, epoch: int, version: int) -> None:
        before = self.heights.get(topic, (0, 0))
        if epoch <= before[0] + RISE and version <= before[1] + RISE:
            self.heights[topic] = max(before[0], epoch), max(before[1], version)

    def help_behind(self, sender: str, told: list[Height]) -> None:
        """Two tables were compared: who lacks a decision is told it."""
        theirs = {}
        for one in told:
            if one.topic in self.told.topics:
                self.rise(one.topic, one.epoch, one.version)
                theirs[one.topic] = one.decided
        for made in self.decided.values():
            if theirs.get(made.topic, 0) < made.version:
                self.orders.append(Send(sender, made, []))

    def fade(self) -> None:
        """Cut off, what was decided counts for a while and no longer."""
        if self.membership.standing.value in ("together", "in doubt"):
            self.majority_at = self.now
        elif self.decided and self.now - self.majority_at >= self.told.fades:
            for topic in list(self.decided):
                del self.decided[topic]
                self.spreading.pop(topic, None)
                self.orders.append(Forgot(topic, "no majority was seen for too long"))

    # For operators.

    def show(self) -> dict[str, object]:
        """A plain table. Times are seconds ago."""
        m = self.membership

        def ago(at: int) -> float | None:
            return round((self.now - at) / SECOND, 1) if at >= 0 else None

        members = [
            {
                "name": name,
                "status": one.status.name.lower(),
                "since_s": ago(one.since),
                "by": one.by,
                "incarnation": one.incarnation,
                "answered_s": ago(one.answered),
                "zone": one.seat.zone,
                "region": one.seat.region,
                "elector": name in self.told.electors,
            }
            for name, one in sorted(m.members.items())
        ]
        leases = [
            {
                "topic": topic,
                "epoch": claim.epoch,
                "held": bool(self.claims.holds(topic, self.now)),
                "runs_s": max(0.0, round((claim.until - self.now) / SECOND, 1)),
                "holder": claim.busy,
            }
            for topic, claim in self.claims.claims.items()
        ]
        decided = [
            {"topic": d.topic, "epoch": d.epoch, "version": d.version, "bytes": len(d.body)}
            for d in self.decided.values()
        ]
        elector = None
        if self.elector is not None:
            elector = {
                "votes": self.elector.votes(),
                "registers": [
                    {
                        "topic": topic,
                        "epoch": r.value.epoch,
                        "holder": r.value.holder,
                        "runs_s": round(self.elector.running(r) / SECOND, 1),
                        "version": r.value.version,
                    }
                    for topic, r in self.elector.registers.items()
                ],
            }
        return {
            "name": self.name,
            "status": m.status.name.lower(),
            "incarnation": m.incarnation,
            "standing": m.standing.value,
            "standing_s": ago(m.standing_since),
            "late": m.health,
            "sees": m.present + 1,
            "of": m.total,
            "electors": list(self.told.electors),
            "members": members,
            "leases": leases,
            "decisions": decided,
            "elector": elector,
            "dropped": dict(list(m.dropped.items())[:DROPPED_CAUSES]),
            "features": sorted(TABLE),
        }
