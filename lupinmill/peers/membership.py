"""Who is there: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's additions (Dadgar, Phillips, Currey 2018).
Pure: `step(now, notes)` gives orders, times are microseconds of a monotonic clock, chance is an LCG.

Departures, for members that lie (docs/design/peers.md): nobody is held dead or gone on hearsay alone. What
others say starts an own probe, and only where that fails, or three others say so from their own, is it
believed.

Owns the table of members (the roster's names and no others), outstanding probes (`Probe`, given back by
answer or at their round's end, a fixed number) and the queue of news (one entry a name at most)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush, nsmallest
from math import ceil, log10
from zlib import crc32

from lupinmill.peers import wire
from lupinmill.peers.view import (
    PRESENT,
    SECOND,
    Changed,
    Heard,
    Leave,
    Member,
    Return,
    Roster,
    Seat,
    Send,
    Standing,
    Stands,
    Timing,
)
from lupinmill.peers.wire import Note, Status
from lupinmill.workings import RandomSource

MOST_PROBES = 64  # outstanding at a time, helpers' errands among them
CHECKS, CHECKS_A_SECOND = 8.0, 20.0  # own probes for what others say, at once and by the second
TELLERS = 3  # others that hold a member dead stand for an own probe; one liar is at most one of them
JUMP = 2**32  # by which one word may raise an incarnation: a liar can't drive it to its end
REPEATS = 4  # times log10 of the roster, for which news is told
PER_DATAGRAM = 10  # news
FAN = 2  # told between rounds while there is news
DISAGREE = 2 * SECOND  # after so long with nobody of the same view a sidecar is in doubt
TABLE_EVERY = 10  # rounds between two exchanges, ...
JOINING = 20  # ... but one in each of the first ones, some more in a large fleet
DEAF = 10  # rounds in which nothing at all is heard, where some two datagrams a round are usual
DOUBT_HEALTH = 3  # a sidecar that is as late as this doubts itself
DOUBT_ROUNDS = 5  # after a pause


@dataclass(slots=True)
class Probe:
    target: str
    ends: int
    helped: bool = False  # helpers were asked
    for_other: str = ""  # an errand: who asked, and under which serial
    for_serial: int = 0
    nacks: int = 0  # helpers that are there but heard nothing either
    asked: int = 0
    knock: bool = False  # at one that is not present: nothing follows from silence


class Membership:
    def __init__(self, name: str, seats: list[Seat], timing: Timing, seed: int, now: int) -> None:
        self.name, self.timing, self.random_source = name, timing, RandomSource(seed)
        self.members: dict[str, Member] = {}
        self.status, self.incarnation = Status.ALIVE, 0
        self.orders: list[Send | Changed | Stands] = []
        self.probes: dict[int, Probe] = {}
        self.news: dict[str, int] = {}  # names, and how often each was told
        self.timers: list[tuple[int, int, Callable[..., None], tuple]] = []
        self.serial = self.timer_serial = 0
        self.health = 0
        self.now, self.slept = now, -(2**60)
        self.present = self.suspects = self.left = 0
        self.digest_sum = 0
        self.agreed = now  # when another's view was last the same
        self.heard = now  # when anything was last heard
        self.standing, self.standing_since = Standing.ALONE, now
        self.rotation: list[str] = []
        self.knocks: list[str] = []
        self.checks, self.checks_at = CHECKS, now
        self.waiting_checks: dict[str, None] = {}
        self.round_number = self.refuted_at = 0
        self.table_at = 0
        self.dropped: dict[str, int] = {}  # by cause
        self.gossiping = False
        self.told: Callable[[], list[wire.Height]] = list  # decisions known, for the tables
        self.behind: Callable[[str, list[wire.Height]], None] = lambda sender, told: None
        self.set_roster(seats)
        self.at(now + int(timing.round * self.random_source.draw() / 4), self.round)

    # Time.

    def at(self, due: int, what: Callable[..., None], *args: object) -> None:
        self.timer_serial += 1
        heappush(self.timers, (due, self.timer_serial, what, args))

    def next(self) -> int:
        return self.timers[0][0]

    def step(self, now: int, notes: list[Heard | Leave | Return | Roster]) -> list[Send | Changed | Stands]:
        """What was heard comes before what is due: answers that lay unread while this process was stopped
        count."""
        self.now = now
        late = now - self.timers[0][0]
        if late > self.timing.round:
            self.woke_late(late)
        for note in notes:
            if isinstance(note, Heard):
                self.hear(note)
            elif isinstance(note, Roster):
                self.set_roster(note.seats)
            else:
                self.go(Status.LEFT if isinstance(note, Leave) else Status.ALIVE)
        while self.timers[0][0] <= now:
            _, _, what, args = heappop(self.timers)
            what(*args)
        self.stand()
        orders, self.orders = self.orders, []
        return orders

    def woke_late(self, late: int) -> None:
        """Guards against a process that was stopped or starved and accuses everyone: silence that it slept
        through says nothing, so open probes count for nothing and suspicions last as much longer."""
        self.slept = self.now
        self.health = min(self.timing.health_most, self.health + 1)
        self.probes.clear()
        for member in self.members.values():
            member.checking = 0
            if member.ends >= 0:
                member.ends += late
                self.at(member.ends, self.suspicion_ends, member.seat.name, member.incarnation)

    # The roster.

    def set_roster(self, seats: list[Seat]) -> None:
        """Names that went are forgotten whole; those that stay keep what is known of them."""
        wanted = {seat.name: seat for seat in seats if seat.name != self.name}
        for name in [name for name in self.members if name not in wanted]:
            member = self.members.pop(name)
            self.count(member.status, name, -1)
            self.news.pop(name, None)
            self.waiting_checks.pop(name, None)
        self.probes = {serial: one for serial, one in self.probes.items() if one.target in wanted}
        for name, seat in wanted.items():
            if name in self.members:
                self.members[name].seat = seat
            else:
                self.members[name] = Member(seat, since=self.now)
        self.total = len(wanted) + 1
        self.rotation, self.knocks = [], []
        self.names = list(self.members)

    def count(self, status: Status, name: str, by: int) -> None:
        if status in PRESENT:
            self.present += by
            self.digest_sum = (self.digest_sum + by * crc32(name.encode())) & 0xFFFFFFFF
        self.suspects += by * (status is Status.SUSPECT)
        self.left += by * (status is Status.LEFT)

    def digest(self) -> int:
        own = crc32(self.name.encode()) if self.status is Status.ALIVE else 0
        return (self.digest_sum + own) & 0xFFFFFFFF

    def some(self, count: int, but: tuple[str, ...] = (), status: tuple[Status, ...] = PRESENT) -> list[str]:
        """A few by chance, in a bounded number of draws."""
        found: dict[str, None] = {}
        for _ in range(count * 4 if self.names else 0):
            name = self.names[self.random_source.upto(len(self.names) - 1)]
            if name not in but and name in self.members and self.members[name].status in status:
                found[name] = None
                if len(found) == count:
                    break
        return list(found)

    # Probes.

    def round(self) -> None:
        """One member asked, one that is not there knocked at, and at every tenth the tables compared."""
        span = self.timing.round * (self.health + 1)
        self.at(self.now + span, self.round)
        self.round_number += 1
        target = self.following(self.rotation, PRESENT)
        if target is not None:
            self.probe(target, span)
        absent = self.following(self.knocks, (Status.UNKNOWN, Status.DEAD, Status.LEFT))
        if absent is not None:
            self.probe(absent, span, knock=True)
        self.run_checks()
        joining = self.round_number < JOINING + 2 * len(self.names) // wire.MOST_NOTES
        if (joining or self.round_number % TABLE_EVERY == 0) and (some := self.some(1)):
            self.send_table(some[0], True)

    def following(self, order: list[str], status: tuple[Status, ...]) -> str | None:
        """Everyone once in an order by chance, then in another one: the time to a failed one's turn is
        bounded."""
        if not order:
            order.extend(self.names)
            for at in range(len(order) - 1, 0, -1):
                other = self.random_source.upto(at)
                order[at], order[other] = order[other], order[at]
        while order:
            name = order.pop()
            if name in self.members and self.members[name].status in status:
                return name
        return None

    def probe(self, target: str, span: int, knock: bool = False) -> int:
        if len(self.probes) >= MOST_PROBES:  # more than rounds and checks can have out
            self.drop("probes")
            return 0
        self.serial += 1
        self.probes[self.serial] = Probe(target, self.now + span, knock=knock)
        self.send_ping(target, self.serial)
        if not knock:
            self.at(self.now + int(span * self.timing.answer), self.ask_helpers, self.serial)
        self.at(self.now + span, self.probe_ends, self.serial)
        return self.serial

    def send_ping(self, target: str, serial: int) -> None:
        held = self.members[target]
        self.send(
            target,
            wire.Ping(serial, self.status, self.incarnation, held.status, held.incarnation, self.digest()),
        )

    def ask_helpers(self, serial: int) -> None:
        probe = self.probes.get(serial)
        if probe is None or probe.target not in self.members:
            return
        helpers = self.some(self.timing.helpers, (probe.target,), (Status.ALIVE,))
        probe.helped, probe.asked = True, len(helpers)
        for helper in helpers:
            self.send(helper, wire.Ask(serial, probe.target))

    def probe_ends(self, serial: int) -> None:
        probe = self.probes.pop(serial, None)
        if probe is None:
            return
        if probe.for_other:
            if probe.for_other in self.members:
                self.send(probe.for_other, wire.Relayed(probe.for_serial, probe.target, False, 0))
            return
        member = self.members.get(probe.target)
        if probe.knock or member is None:
            return
        if probe.nacks < probe.asked:  # helpers that don't answer either: the fault may be here
            self.health = min(self.timing.health_most, self.health + 1)
        elif probe.asked:
            self.health = max(0, self.health - 1)
        if member.checking == serial:
            member.checking = 0
            if member.status is Status.SUSPECT:
                self.hold(member, member.told_as, member.incarnation, self.name, "no answer to an own probe")
        elif member.status is Status.ALIVE:
            self.suspect(member, member.incarnation, self.name, "no answer, nor by helpers")
        elif member.status is Status.SUSPECT:
            self.share(member, self.name)

    def answer(self, serial: int, sender: str) -> None:
        probe = self.probes.get(serial)
        if probe is None or probe.target != sender:
            return  # late, doubled or invented
        del self.probes[serial]
        member = self.members[sender]
        member.answered = self.now
        if probe.for_other:
            if probe.for_other in self.members:
                self.send(probe.for_other, wire.Relayed(probe.for_serial, sender, True, member.incarnation))
            return
        if not probe.knock:
            self.health = max(0, self.health - 1)
        if member.checking == serial:
            member.checking = 0
            member.tellers.clear()
            if member.status is Status.SUSPECT:
                self.rest(member)

    def rest(self, member: Member) -> None:
        """It answers this sidecar: what others say of it has no more weight here until they say it anew."""
        self.hold(member, Status.ALIVE, member.incarnation, self.name, "answers an own probe")

    # Checks of what others say: paced, so that nobody can make this sidecar send without bound.

    def want_check(self, member: Member) -> None:
        if not member.checking:
            self.waiting_checks[member.seat.name] = None
            self.run_checks()

    def run_checks(self) -> None:
        passed = self.now - self.checks_at
        self.checks = min(CHECKS, self.checks + passed * CHECKS_A_SECOND / SECOND)
        self.checks_at = self.now
        while self.checks >= 1 and self.waiting_checks:
            name = next(iter(self.waiting_checks))
            del self.waiting_checks[name]
            member = self.members[name]
            if member.status is Status.SUSPECT and not member.checking:
                self.checks -= 1
                member.checking = self.probe(name, self.timing.round * (self.health + 1))

    # Views.

    def hold(self, member: Member, status: Status, incarnation: int, by: str, why: str) -> None:
        before = member.status
        name = member.seat.name
        self.count(before, name, -1)
        self.count(status, name, 1)
        member.status, member.incarnation, member.by = status, incarnation, by
        if status is not Status.SUSPECT:
            member.ends = -1
            member.sharers.clear()
            member.tellers.clear()
            member.checking = 0
        if before is not status:
            member.since = self.now
            self.orders.append(Changed(name, before, status, by, why))
        self.tell(name)

    def tell(self, name: str) -> None:
        self.news[name] = 0
        if not self.gossiping:
            self.gossiping = True
            self.at(self.now + self.timing.round // 4, self.gossip)

    def gossip(self) -> None:
        """Between rounds, only while there is news: a bounded number of datagrams in any case."""
        self.gossiping = bool(self.news)
        if not self.gossiping:
            return
        for name in self.some(FAN):
            self.send_ping(name, 0)
        self.at(self.now + self.timing.round // 2, self.gossip)

    def suspect(self, member: Member, incarnation: int, by: str, why: str) -> None:
        member.suspected, member.told_as = self.now, Status.DEAD
        self.hold(member, Status.SUSPECT, incarnation, by, why)
        member.sharers = [by]
        self.lasts(member)

    def lasts(self, member: Member) -> None:
        shared = len(member.sharers) - 1
        members = self.present + 1
        member.ends = member.suspected + self.timing.suspicion(members, shared)
        self.at(max(self.now, member.ends), self.suspicion_ends, member.seat.name, member.incarnation)

    def share(self, member: Member, by: str) -> None:
        if by not in member.sharers and len(member.sharers) <= self.timing.sharers:
            member.sharers.append(by)
            self.tell(member.seat.name)
            self.lasts(member)

    def suspicion_ends(self, name: str, incarnation: int) -> None:
        member = self.members.get(name)
        if member is None or member.status is not Status.SUSPECT or member.incarnation != incarnation:
            return
        if not 0 <= member.ends <= self.now:
            return  # it lasts longer meanwhile
        if member.answered > member.suspected:
            self.rest(member)
        else:
            self.want_check(member)

    # What comes in.

    def hear(self, heard: Heard) -> None:
        sender = self.members.get(heard.sender)
        if sender is None:
            self.drop("stranger")
            return
        self.heard = self.now
        body = heard.body
        if isinstance(body, wire.Ping | wire.Ack):
            self.hear_from(sender, body)
        if isinstance(body, wire.Ping) and body.serial:
            held = sender
            self.send(
                heard.sender,
                wire.Ack(
                    body.serial, self.status, self.incarnation, held.status, held.incarnation, self.digest()
                ),
            )
        elif isinstance(body, wire.Ack):
            self.answer(body.serial, heard.sender)
        elif isinstance(body, wire.Ask):
            self.help(heard.sender, body)
        elif isinstance(body, wire.Relayed):
            self.hear_relayed(body)
        elif isinstance(body, wire.Table):
            self.hear_table(heard.sender, body)
        for note in heard.notes:
            self.learn(note, heard.sender)

    def hear_from(self, sender: Member, body: wire.Ping | wire.Ack) -> None:
        """By its own word, from its own address."""
        if body.status not in (Status.ALIVE, Status.LEFT):
            self.drop("false")
            return
        newer = body.incarnation > sender.incarnation and body.incarnation - sender.incarnation <= JUMP
        name = sender.seat.name
        if body.status is Status.LEFT:
            if sender.status is not Status.LEFT and (newer or body.incarnation == sender.incarnation):
                self.hold(sender, Status.LEFT, body.incarnation, name, "by its own word")
        elif newer or sender.status is Status.UNKNOWN:
            self.hold(
                sender, Status.ALIVE, max(body.incarnation, sender.incarnation), name, "by its own word"
            )
        if body.held is not Status.UNKNOWN:
            self.refute(body.held, body.held_incarnation)
        if self.digest() == body.digest:
            self.agreed = self.now

    def help(self, sender: str, body: wire.Ask) -> None:
        if body.name == self.name or body.name not in self.members:
            self.drop("stranger")
            return
        if len(self.probes) >= MOST_PROBES // 2:
            self.drop("errands")
            return
        self.serial += 1
        span = int(self.timing.round * (1 - self.timing.answer) * 0.8)
        self.probes[self.serial] = Probe(body.name, self.now + span, for_other=sender, for_serial=body.serial)
        self.send_ping(body.name, self.serial)
        self.at(self.now + span, self.probe_ends, self.serial)

    def hear_relayed(self, body: wire.Relayed) -> None:
        probe = self.probes.get(body.serial)
        if probe is None or probe.target != body.name or probe.for_other or not probe.helped:
            return
        if body.answered:
            self.answer(body.serial, body.name)
        else:
            probe.nacks += 1

    def learn(self, note: Note, teller: str) -> None:
        """One word of another's. Each branch says what a liar can gain by it: at most own probes."""
        if note.name == self.name:
            self.refute(note.status, note.incarnation)
            return
        member = self.members.get(note.name)
        if member is None:
            self.drop("stranger")
            return
        if note.incarnation > member.incarnation + JUMP:
            self.drop("jump")
            return
        newer = note.incarnation > member.incarnation
        same = note.incarnation == member.incarnation
        if note.status is Status.ALIVE:
            if newer or member.status is Status.UNKNOWN:
                self.hold(member, Status.ALIVE, note.incarnation, note.by, f"told by {teller}")
        elif note.status is Status.SUSPECT:
            if member.status is Status.ALIVE and (newer or same):
                if same and member.answered >= self.now - self.timing.round:
                    return  # it answered here a moment ago; it refutes that by itself
                self.suspect(member, note.incarnation, note.by, f"told by {teller}")
            elif member.status is Status.SUSPECT and (newer or same):
                member.incarnation = note.incarnation
                self.share(member, note.by)
        elif note.status in (Status.DEAD, Status.LEFT):
            if member.status is Status.UNKNOWN:
                self.hold(member, note.status, note.incarnation, note.by, f"told by {teller}")
            elif member.status in PRESENT and (newer or same):
                self.told_gone(member, note, teller)

    def told_gone(self, member: Member, note: Note, teller: str) -> None:
        """Hearsay of an end: suspect at most, until an own probe or three others have said so."""
        if member.answered >= self.now - self.timing.round and note.incarnation == member.incarnation:
            return  # it answered here a moment ago
        if member.status is Status.ALIVE:
            self.suspect(member, note.incarnation, note.by, f"{teller} holds it {note.status.name.lower()}")
        member.incarnation = max(member.incarnation, note.incarnation)
        member.told_as = note.status
        if teller not in member.tellers:
            member.tellers.append(teller)
        if member.answered < member.suspected and len(member.tellers) >= TELLERS:
            self.hold(member, note.status, member.incarnation, note.by, "three others hold it so")
        else:
            self.want_check(member)

    def refute(self, status: Status, incarnation: int) -> None:
        """What is said of this sidecar itself, also of a former life of its process."""
        if incarnation < self.incarnation or incarnation > self.incarnation + JUMP:
            return
        if status in (Status.UNKNOWN, self.status) and incarnation == self.incarnation:
            return
        if status is Status.SUSPECT:
            self.health = min(self.timing.health_most, self.health + (self.now - self.refuted_at > SECOND))
        self.refuted_at = self.now
        self.incarnation = incarnation + 1
        self.tell(self.name)

    # Tables.

    def send_table(self, to: str, wanted: bool, at: int | None = None) -> None:
        """A part that fits one datagram, the next one next time, whatever the size of the fleet."""
        start = self.table_at if at is None else at
        notes = []
        for step in range(min(wire.MOST_NOTES, len(self.names))):
            member = self.members[self.names[(start + step) % len(self.names)]]
            if member.status is not Status.UNKNOWN:
                notes.append(member.note())
        self.table_at = (start + wire.MOST_NOTES) % max(1, len(self.names))
        self.orders.append(Send(to, wire.Table(wanted, self.table_at, self.told()), notes))

    def hear_table(self, sender: str, body: wire.Table) -> None:
        if body.wanted:
            self.send_table(sender, False)
        self.behind(sender, body.told)

    # This sidecar itself.

    def go(self, status: Status) -> None:
        if status is self.status:
            return
        self.status = status
        self.incarnation += 1
        self.tell(self.name)
        for name in self.some(5):
            self.send_ping(name, 0)

    def own_note(self) -> Note:
        return Note(self.name, self.status, self.incarnation, self.name)

    def send(self, to: str, body: wire.Body) -> None:
        self.orders.append(Send(to, body, self.take_news(to)))

    def take_news(self, to: str) -> list[Note]:
        """What was told least goes first; what was told often enough leaves the queue. Who is suspected hears
        it from everyone (Lifeguard's buddies: `held` in each ping)."""
        if not self.news:
            return []
        enough = REPEATS * ceil(log10(self.total + 1))
        first = (
            list(self.news)
            if len(self.news) <= PER_DATAGRAM
            else nsmallest(PER_DATAGRAM, self.news, key=self.news.__getitem__)
        )
        notes = []
        for name in first:
            notes.append(self.own_note() if name == self.name else self.members[name].note(self.news[name]))
            self.news[name] += 1
            if self.news[name] >= enough:
                del self.news[name]
        return notes

    def stand(self) -> None:
        """Two of five that left by their own word don't make the other three a minority; those that failed
        do."""
        of = self.total - self.left
        seen = self.present + 1
        after, why = Standing.TOGETHER, f"sees {seen} of {of}"
        deaf = self.now - max(self.heard, self.slept) > DEAF * self.timing.round
        if self.total > 1 and (self.present == 0 or deaf):
            after, why = Standing.ALONE, "hears nobody" if deaf else "sees nobody"
        elif seen * 2 <= of:
            after = Standing.CUT_OFF
        elif self.now - self.slept < DOUBT_ROUNDS * self.timing.round:
            after, why = Standing.IN_DOUBT, "was stopped itself"
        elif self.health >= DOUBT_HEALTH:
            after, why = Standing.IN_DOUBT, "is late itself, or hears badly"
        elif self.suspects * 3 > seen:
            after, why = Standing.IN_DOUBT, f"suspects {self.suspects} of {seen}"
        elif self.present and self.now - self.agreed > DISAGREE:
            after, why = Standing.IN_DOUBT, "no other has the same view"
        if after is not self.standing:
            self.orders.append(Stands(self.standing, after, why))
            self.standing, self.standing_since = after, self.now

    def drop(self, cause: str) -> None:
        self.dropped[cause] = self.dropped.get(cause, 0) + 1
