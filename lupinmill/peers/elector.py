"""An elector's half of the decisions in common: one Paxos register a topic (CASPaxos, Rystsov 2018), with
leases in the manner of PaxosLease (Trencseni, Gazso, Reinhardt 2012). Pure.

What it answers rests on what it keeps: each answer that a promise or an acceptance stands behind goes out in
a `Keep` order, which the driver writes down first and only then sends. An elector that forgot (no directory
told, or its file is gone) is silent until every lease of its former life has run out, and begins from what a
majority of the others remembers. An acceptance is for the life that promised, so nobody's promise outlives
the memory of it.

Owns the registers (`MOST_TOPICS` at most; topics are never forgotten: their epochs must only grow)."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from lupinmill.peers import wire
from lupinmill.peers.view import MS, Heard, Send
from lupinmill.peers.wire import Ballot, Topic

MOST_TOPICS = 8
DRIFT = 100  # clocks of two members run apart by less than one part in so many
JUMP = 2**32  # by which one ballot may go beyond the last: a liar can't drive the numbers to their end
RECALL_EVERY = 300 * MS
PARTS = MOST_TOPICS  # of what another remembers: one register may fill a datagram
NOBODY = Ballot()


class Register(msgspec.Struct):
    promised: Ballot = NOBODY
    accepted: Ballot = NOBODY
    value: Topic = Topic()
    until: int = 0  # by this elector's clock, when the lease in `value` has run out


class Memory(msgspec.Struct, array_like=True):
    """What is kept on disk. No times: clocks begin anew, so after a start each lease runs its whole span."""

    registers: list[tuple[str, Ballot, Ballot, Topic]] = []


@dataclass(slots=True)
class Keep:
    """Write `data` down, then send `then`; where writing fails, send nothing."""

    data: bytes
    then: list[Send]


def majority(electors: int) -> int:
    return electors // 2 + 1


class Elector:
    def __init__(
        self,
        name: str,
        electors: list[str],
        topics: list[str],
        span: int,
        life: int,
        now: int,
        memory: Memory | None,
    ) -> None:
        self.name, self.electors, self.topics, self.life, self.now = name, electors, topics, life, now
        self.longest = span  # of a lease, the same at all members
        self.silence = span + 2 * span // DRIFT
        self.registers: dict[str, Register] = {}
        self.knows = memory is not None
        self.began, self.recall_at = now, now
        self.recalls, self.recalled_at = 0, now  # tries, and when the last one began
        self.orders: list[Send | Keep] = []
        self.recalled: dict[str, dict[int, wire.Recalled]] = {}  # by elector and part
        if memory is not None:
            for topic, promised, accepted, value in memory.registers[:MOST_TOPICS]:
                self.registers[topic] = Register(promised, accepted, value, self.runs_out(value))
        if len(electors) == 1:
            self.knows = True  # there is nobody to ask, and nobody else to agree with

    def runs_out(self, value: Topic) -> int:
        return self.now + value.span + value.span // DRIFT if value.span else 0

    def next(self) -> int | None:
        return None if self.knows else self.recall_at

    def step(self, now: int, notes: list[Heard]) -> list[Send | Keep]:
        self.now = now
        for note in notes:
            body = note.body
            if isinstance(body, wire.Prepare):
                self.prepare(note.sender, body)
            elif isinstance(body, wire.Accept):
                self.accept(note.sender, body)
            elif isinstance(body, wire.Recall):
                self.tell_what_is_known(note.sender, body)
            elif isinstance(body, wire.Recalled):
                self.hear_recalled(note.sender, body)
        if not self.knows and now >= self.recall_at:
            self.recall()
        orders, self.orders = self.orders, []
        return orders

    def votes(self) -> bool:
        return self.knows

    def memory(self) -> bytes:
        rows = [(t, r.promised, r.accepted, r.value) for t, r in self.registers.items()]
        return msgspec.msgpack.encode(Memory(rows))

    def keep(self, to: str, body: wire.Body) -> None:
        self.orders.append(Keep(self.memory(), [Send(to, body, [])]))

    def register(self, topic: str) -> Register | None:
        if topic not in self.registers:
            if topic not in self.topics or len(self.registers) >= MOST_TOPICS:
                return None
            self.registers[topic] = Register()
        return self.registers[topic]

    def running(self, register: Register) -> int:
        """Microseconds that the lease in it still runs, by this elector's own monotonic clock."""
        return max(0, register.until - self.now)

    # Votes.

    def prepare(self, sender: str, body: wire.Prepare) -> None:
        refused = wire.Refused(body.topic, body.ballot, NOBODY, True)
        register = self.register(body.topic) if self.votes() else None
        if register is None:
            self.orders.append(Send(sender, refused, []))
            return
        if body.ballot < register.promised or body.ballot.number > register.promised.number + JUMP:
            refused = wire.Refused(body.topic, body.ballot, register.promised, False)
            self.orders.append(Send(sender, refused, []))
            return
        register.promised = body.ballot
        running = self.running(register)
        promise = wire.Promise(body.topic, body.ballot, self.life, register.accepted, register.value, running)
        self.keep(sender, promise)

    def accept(self, sender: str, body: wire.Accept) -> None:
        register = self.registers.get(body.topic)
        if not self.votes() or register is None or body.life != self.life:
            self.orders.append(Send(sender, wire.Refused(body.topic, body.ballot, NOBODY, True), []))
            return
        if body.ballot < register.promised:
            refused = wire.Refused(body.topic, body.ballot, register.promised, False)
            self.orders.append(Send(sender, refused, []))
            return
        if body.ballot > register.promised or not self.sound(register, sender, body.value):
            return
        if body.ballot != register.accepted:  # told twice, the lease still runs from the first time
            register.accepted, register.value = body.ballot, body.value
            register.until = self.runs_out(body.value)
        self.keep(sender, wire.Accepted(body.topic, body.ballot, self.life))

    def sound(self, register: Register, sender: str, value: Topic) -> bool:
        """What an honest asker's value always is: without these looks a member that lies could take a lease
        that runs, or set an epoch back."""
        before = register.value
        if value.holder not in ("", sender) or value.span > self.longest:
            return False
        if (value.epoch, value.version) < (before.epoch, before.version):
            return False
        if self.running(register) and (value.holder, value.life) != (before.holder, before.life):
            return value.holder == "" and sender == before.holder and value.epoch == before.epoch
        return True

    # Memory, among electors.

    def tell_what_is_known(self, sender: str, body: wire.Recall) -> None:
        """First it promises more than all before, so that nothing can be accepted here any more that the one
        who forgot may have voted for in a former life."""
        if sender not in self.electors:
            return
        for register in self.registers.values():
            if self.knows:
                register.promised = Ballot(register.promised.number + 1, sender)
        rows = [(t, r.promised, r.accepted, r.value) for t, r in self.registers.items()]
        parts = [rows[at : at + 1] for at in range(len(rows))] or [[]]
        sends = [
            Send(
                sender,
                wire.Recalled(
                    body.life, body.round, self.knows, self.now - self.began, part, at == len(parts) - 1, at
                ),
                [],
            )
            for at, part in enumerate(parts)
        ]
        if self.knows:
            self.orders.append(Keep(self.memory(), sends))
        else:  # nothing is written before it remembers: after a restart the file would pass for its memory
            self.orders += sends

    def recall(self) -> None:
        """Guards against an elector's old word beside its new one: each try counts alone."""
        self.recall_at, self.recalled_at = self.now + RECALL_EVERY, self.now
        self.recalls += 1
        self.recalled.clear()
        for name in self.electors:
            if name != self.name:
                self.orders.append(Send(name, wire.Recall(self.life, self.recalls), []))

    def hear_recalled(self, sender: str, body: wire.Recalled) -> None:
        if self.knows or (body.life, body.round) != (self.life, self.recalls) or sender not in self.electors:
            return
        if body.part >= PARTS or self.now - self.began < self.silence:
            return
        self.recalled.setdefault(sender, {})[body.part] = body
        whole = [parts for parts in self.recalled.values() if is_whole(parts)]
        knowing = sum(parts[0].knows for parts in whole)
        if knowing < majority(len(self.electors)) and not (
            len(whole) == len(self.electors) - 1 and self.too_many_forgot(whole)
        ):
            return
        for parts in whole:
            for recalled in parts.values():
                for topic, promised, accepted, value in recalled.registers:
                    self.adopt(topic, promised, accepted, value)
        self.knows = True
        self.recalled.clear()
        self.orders.append(Keep(self.memory(), []))

    def too_many_forgot(self, whole: list[dict[int, wire.Recalled]]) -> bool:
        """So many had forgotten at one moment that no majority can remember, whatever is waited for: begin
        anew from the newest that anybody holds. Guards against taking words of different moments for one: an
        elector that remembers meanwhile may have been the last to know what was decided. That moment lies
        before this try began and after each of them did."""
        slack = (self.now - self.recalled_at) + (self.now - self.began) // DRIFT
        forgot = sum(not parts[0].knows and parts[0].forgot > slack for parts in whole)
        return len(self.electors) - 1 - forgot < majority(len(self.electors))

    def adopt(self, topic: str, promised: Ballot, accepted: Ballot, value: Topic) -> None:
        register = self.register(topic)
        if register is None:
            return
        register.promised = max(register.promised, promised)
        if accepted > register.accepted:
            register.accepted, register.value = accepted, value
            register.until = self.runs_out(value)


def is_whole(parts: dict[int, wire.Recalled]) -> bool:
    last = [at for at, part in parts.items() if part.last]
    return bool(last) and all(at in parts for at in range(last[0] + 1))
