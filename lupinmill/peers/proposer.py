"""The asking half of the decisions in common: a member that wants a lease on a topic, keeps it, and decides
under it. Pure. The argument that it is safe, and what it rests on, is in docs/design/peers.md.

Each change is one Paxos round in two steps: promises of a majority of electors, then the new value, computed
from the newest value that any of them had accepted, accepted by a majority. A lease counts for this process
from the moment before it asked for acceptance; an elector's clock begins later and runs longer, so nobody
else is given one meanwhile. Only the monotonic clock is used, and `holds` looks at it each time.

Owns one `Claim` a topic that this process wants; a claim has one attempt out at a time, given back at its
end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lupinmill.peers import wire
from lupinmill.peers.elector import DRIFT, majority
from lupinmill.peers.view import MS, SECOND, Heard, Send
from lupinmill.peers.wire import Accepted, Ballot, Promise, Refused, Topic
from lupinmill.workings import Chance

ATTEMPT = SECOND  # a round that lasts longer is given up
RESEND = 120 * MS
REST = 300 * MS  # between two attempts that failed, up to four times as long, by chance


def nothing_heard(topic: str) -> tuple[int, int]:
    return 0, 0


@dataclass(slots=True)
class Took:
    """This process holds the lease from now on, under this epoch."""

    topic: str
    epoch: int


@dataclass(slots=True)
class Lost:
    topic: str
    epoch: int
    why: str


@dataclass(slots=True)
class Chosen:
    """A decision that a majority has accepted; others are told."""

    topic: str
    epoch: int
    version: int
    body: bytes


@dataclass(slots=True)
class Attempt:
    ballot: Ballot
    ends: int
    resend: int
    promises: dict[str, Promise] = field(default_factory=dict)
    value: Topic | None = None  # once acceptance is asked for
    asked: int = 0  # when it was
    accepted: dict[str, None] = field(default_factory=dict)


@dataclass(slots=True)
class Claim:
    topic: str
    span: int
    next: int  # when to try, or to renew
    tries: int = 0
    epoch: int = 0  # under which it holds, else 0
    version: int = 0  # of the newest decision that it knows as made
    until: int = 0
    giving_up: bool = False
    pending: bytes | None = None  # a decision to be made
    seen: Ballot = Ballot()
    attempt: Attempt | None = None
    busy: str = ""  # who holds it, as far as known


class Claims:
    def __init__(self, name: str, electors: list[str], span: int, life: int, seed: int, now: int) -> None:
        self.name, self.electors, self.life, self.now = name, electors, life, now
        self.span = span
        self.chance = Chance(seed)
        self.claims: dict[str, Claim] = {}
        self.numbers: dict[str, int] = {}  # of ballots, by topic: none is used again while this process lives
        self.orders: list[Send | Took | Lost | Chosen] = []
        self.majority: Callable[[int], int] = majority
        # Epoch and version of a topic that this member ever heard of, from whomever.
        self.heights: Callable[[str], tuple[int, int]] = nothing_heard

    # What others of this process ask for.

    def want(self, topic: str) -> None:
        """One that is just being given up is wanted anew only once that is over: its attempt is a release."""
        if topic not in self.claims:
            self.claims[topic] = Claim(topic, self.span, self.now + self.chance.upto(REST))

    def give_up(self, topic: str) -> None:
        """From this moment on it is not held; the electors hear of it, else it runs out."""
        claim = self.claims.get(topic)
        if claim is None:
            return
        if claim.epoch:
            self.lose(claim, "given up")
            claim.giving_up, claim.next = True, self.now
        elif not claim.giving_up:
            del self.claims[topic]

    def ask_no_more(self, topic: str) -> None:
        """What is held stays until it runs out; what is only asked for is let go of."""
        claim = self.claims.get(topic)
        if claim is not None and not claim.epoch and not claim.giving_up:
            del self.claims[topic]

    def decide(self, topic: str, body: bytes) -> bool:
        """False where this process doesn't hold the topic, or its last decision is still on its way."""
        claim = self.claims.get(topic)
        if claim is None or not self.holds(topic, self.now) or claim.pending is not None:
            return False
        if len(body) > wire.LARGEST_BODY:
            return False
        claim.pending = body
        if claim.attempt is None:
            claim.next = self.now
        return True

    def holds(self, topic: str, now: int) -> int:
        """The epoch under which this process may act at this moment; 0: it may not."""
        claim = self.claims.get(topic)
        return claim.epoch if claim is not None and now < claim.until else 0

    # The core.

    def next(self) -> int | None:
        times = []
        for claim in self.claims.values():
            times.append(
                claim.next if claim.attempt is None else min(claim.attempt.resend, claim.attempt.ends)
            )
            if claim.epoch:
                times.append(claim.until)
        return min(times, default=None)

    def step(self, now: int, notes: list[Heard]) -> list[Send | Took | Lost | Chosen]:
        self.now = now
        for claim in list(self.claims.values()):
            if claim.epoch and now >= claim.until:
                self.lose(claim, "it ran out")
        for note in notes:
            body = note.body
            if not isinstance(body, Promise | Accepted | Refused) or note.sender not in self.electors:
                continue
            claim = self.claims.get(body.topic)
            if claim is None or claim.attempt is None or body.ballot != claim.attempt.ballot:
                continue
            if isinstance(body, Promise):
                self.promised(claim, claim.attempt, note.sender, body)
            elif isinstance(body, Accepted):
                self.accepted(claim, claim.attempt, note.sender)
            else:
                self.refused(claim, body)
        for claim in list(self.claims.values()):
            self.go_on(claim)
        orders, self.orders = self.orders, []
        return orders

    def go_on(self, claim: Claim) -> None:
        attempt = claim.attempt
        if attempt is None:
            if self.now >= claim.next:
                self.begin(claim)
        elif self.now >= attempt.ends:
            self.fail(claim)
        elif self.now >= attempt.resend:
            attempt.resend = self.now + RESEND
            self.ask(claim, attempt)

    def begin(self, claim: Claim) -> None:
        # Guards against one ballot with two values: a claim given up is forgotten, its ballots are not.
        number = max(claim.seen.number, self.numbers.get(claim.topic, 0)) + 1
        self.numbers[claim.topic] = number
        ballot = Ballot(number, f"{self.name}:{self.life:x}")
        claim.attempt = Attempt(ballot, self.now + ATTEMPT, self.now + RESEND)
        self.ask(claim, claim.attempt)

    def ask(self, claim: Claim, attempt: Attempt) -> None:
        for elector in self.electors:
            if attempt.value is None:
                if elector not in attempt.promises:
                    self.send(elector, wire.Prepare(claim.topic, attempt.ballot))
            elif elector in attempt.promises and elector not in attempt.accepted:
                life = attempt.promises[elector].life
                self.send(elector, wire.Accept(claim.topic, attempt.ballot, life, attempt.value))

    def send(self, to: str, body: wire.Body) -> None:
        self.orders.append(Send(to, body, []))

    def fail(self, claim: Claim) -> None:
        claim.attempt = None
        claim.tries += 1
        claim.next = self.now + REST + self.chance.upto(REST * min(4, claim.tries))
        if claim.giving_up and claim.tries > 2:
            del self.claims[claim.topic]  # it runs out by itself

    def refused(self, claim: Claim, body: Refused) -> None:
        claim.seen = max(claim.seen, body.highest)
        if not body.silent and claim.attempt is not None:
            self.fail(claim)

    def promised(self, claim: Claim, attempt: Attempt, sender: str, body: Promise) -> None:
        if attempt.value is not None:
            return  # a majority was enough; later promises are of no use
        attempt.promises[sender] = body
        if len(attempt.promises) < self.majority(len(self.electors)):
            return
        newest = max(attempt.promises.values(), key=lambda promise: promise.accepted)
        value = self.following(claim, newest.value, attempt)
        if value is None:
            return
        attempt.value, attempt.asked = value, self.now
        attempt.resend = self.now + RESEND
        self.ask(claim, attempt)

    def following(self, claim: Claim, value: Topic, attempt: Attempt) -> Topic | None:
        """The change, on the newest value. None, and the attempt is over: another holds it, or this one was
        fenced."""
        if claim.giving_up:
            if (value.holder, value.life) != (self.name, self.life):
                del self.claims[claim.topic]
                return None
            return Topic(value.epoch, "", 0, 0, value.version, value.body)
        own = value.holder == self.name and value.life == self.life
        if claim.epoch:
            if not own or value.epoch != claim.epoch:
                self.lose(claim, f"{value.holder or 'nobody'} has epoch {value.epoch}")
                return None
            if claim.pending is not None:
                # Only this process decides under its epoch: a newer one found is its own earlier try.
                return Topic(value.epoch, self.name, self.life, claim.span, claim.version + 1, claim.pending)
            return Topic(value.epoch, self.name, self.life, claim.span, value.version, value.body)
        for promise in attempt.promises.values():
            # Any elector that says it runs is enough: the newest value may be one that only a few accepted.
            other = promise.value
            if promise.running and (other.holder, other.life) != (self.name, self.life):
                claim.busy = other.holder
                claim.attempt = None
                claim.tries = 0
                claim.next = self.now + min(promise.running, claim.span) + self.chance.upto(REST)
                return None
        # Where too many electors forgot, numbers that others still go by must not be given out again: they
        # would take what is new for old. A liar's false height costs numbers, never what electors remember.
        epoch, version = self.heights(claim.topic)
        version = value.version if value.version >= version else version + 1
        return Topic(max(value.epoch, epoch) + 1, self.name, self.life, claim.span, version, value.body)

    def accepted(self, claim: Claim, attempt: Attempt, sender: str) -> None:
        if attempt.value is None or sender not in attempt.promises:
            return
        attempt.accepted[sender] = None
        if len(attempt.accepted) < self.majority(len(self.electors)):
            return
        value, claim.attempt, claim.tries, claim.busy = attempt.value, None, 0, ""
        if claim.giving_up:
            del self.claims[claim.topic]
            return
        new = not claim.epoch
        claim.epoch = value.epoch
        # Two parts of drift: this clock may be slow while an elector's is fast.
        claim.until = attempt.asked + claim.span - 2 * claim.span // DRIFT
        if self.now >= claim.until:
            self.lose(claim, "it ran out before it was told")
            return
        claim.next = attempt.asked + claim.span // 3
        if new:
            self.orders.append(Took(claim.topic, value.epoch))
        if value.version and (new or value.version > claim.version):
            # A new holder tells what it found too: its maker may have died before it could.
            self.orders.append(Chosen(claim.topic, value.epoch, value.version, value.body))
            if not new:
                claim.pending = None
        claim.version = value.version
        if claim.pending is not None:
            claim.next = self.now

    def lose(self, claim: Claim, why: str) -> None:
        """Its attempt goes with it: what a late one might still win counts as nobody's until it has run
        out."""
        self.orders.append(Lost(claim.topic, claim.epoch, why))
        claim.epoch, claim.until, claim.pending, claim.attempt = 0, 0, None, None
        claim.next = self.now + self.chance.upto(REST)
