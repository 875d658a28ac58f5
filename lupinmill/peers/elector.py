"""The acceptor of leases and decisions: one Paxos register per topic (CASPaxos, Rystsov 2018), with leases
in the manner of PaxosLease (Trencseni, Gazso, Reinhardt 2012). No I/O.

A promise or an acceptance must be durable before anybody learns of it: such an answer is part of a
`Persist` command, which the driver first writes to disk and only then sends. An elector without memory (no
directory is configured, or its file is lost) abstains until every lease that it may have granted has
expired, and then starts from what a majority of the other electors remembers. An acceptance names the
elector process that promised, so no promise outlives the memory of it.

Owns the registers, at most `MAX_TOPICS`. They are never removed, as their epochs must only grow."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from lupinmill.peers import wire
from lupinmill.peers.view import MS, Received, Send
from lupinmill.peers.wire import Ballot, TopicState

MAX_TOPICS = 8
CLOCK_DRIFT_DIVISOR = 100  # the clocks of two members drift apart by less than 1/100
MAX_BALLOT_JUMP = 2**32  # per ballot, so that a lying member can't exhaust the number range
RECALL_INTERVAL_US = 300 * MS
MAX_RECALL_PARTS = MAX_TOPICS  # one register per datagram, as one may fill it
NO_BALLOT = Ballot()


class Register(msgspec.Struct):
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: TopicState = TopicState()
    lease_until: int = 0  # expiry of the lease in `value`, by this elector's clock


class Memory(msgspec.Struct, array_like=True):
    """The state on disk. It has no times, as clocks restart: after a start each lease runs its whole
    length."""

    registers: list[tuple[str, Ballot, Ballot, TopicState]] = []


@dataclass(slots=True)
class Persist:
    """Write `data` to disk, then send `then_send`; if the write fails, send nothing."""

    data: bytes
    then_send: list[Send]


def majority(electors: int) -> int:
    return electors // 2 + 1


class Elector:
    def __init__(
        self,
        name: str,
        electors: list[str],
        topics: list[str],
        lease: int,
        instance_id: int,
        now: int,
        memory: Memory | None,
    ) -> None:
        self.name, self.electors, self.topics, self.instance_id, self.now = (
            name,
            electors,
            topics,
            instance_id,
            now,
        )
        self.max_lease = lease  # the same at all members
        self.silence_period = lease + 2 * lease // CLOCK_DRIFT_DIVISOR
        self.registers: dict[str, Register] = {}
        self.has_memory = memory is not None
        self.started_at, self.next_recall_at = now, now
        self.recall_round, self.recall_started_at = 0, now
        self.commands: list[Send | Persist] = []
        self.recall_replies: dict[str, dict[int, wire.RecallReply]] = {}  # by elector and part number
        if memory is not None:
            for topic, promised, accepted, value in memory.registers[:MAX_TOPICS]:
                self.registers[topic] = Register(promised, accepted, value, self.lease_expiry(value))
        if len(electors) == 1:
            self.has_memory = True  # no other elector exists to ask or to agree with

    def lease_expiry(self, value: TopicState) -> int:
        return self.now + value.lease + value.lease // CLOCK_DRIFT_DIVISOR if value.lease else 0

    def next_due(self) -> int | None:
        return None if self.has_memory else self.next_recall_at

    def step(self, now: int, events: list[Received]) -> list[Send | Persist]:
        self.now = now
        for event in events:
            body = event.body
            if isinstance(body, wire.Prepare):
                self.prepare(event.sender, body)
            elif isinstance(body, wire.Accept):
                self.accept(event.sender, body)
            elif isinstance(body, wire.RecallRequest):
                self.on_recall_request(event.sender, body)
            elif isinstance(body, wire.RecallReply):
                self.on_recall_reply(event.sender, body)
        if not self.has_memory and now >= self.next_recall_at:
            self.start_recall()
        commands, self.commands = self.commands, []
        return commands

    def votes(self) -> bool:
        return self.has_memory

    def encode_memory(self) -> bytes:
        rows = [
            (topic, register.promised, register.accepted, register.value)
            for topic, register in self.registers.items()
        ]
        return msgspec.msgpack.encode(Memory(rows))

    def persist_and_send(self, to: str, body: wire.Body) -> None:
        self.commands.append(Persist(self.encode_memory(), [Send(to, body, [])]))

    def register(self, topic: str) -> Register | None:
        if topic not in self.registers:
            if topic not in self.topics or len(self.registers) >= MAX_TOPICS:
                return None
            self.registers[topic] = Register()
        return self.registers[topic]

    def lease_remaining(self, register: Register) -> int:
        """Microseconds until the lease expires, by this elector's monotonic clock."""
        return max(0, register.lease_until - self.now)

    # Promises and acceptances.

    def prepare(self, sender: str, body: wire.Prepare) -> None:
        nack = wire.Nack(body.topic, body.ballot, NO_BALLOT, True)
        register = self.register(body.topic) if self.votes() else None
        if register is None:
            self.commands.append(Send(sender, nack, []))
            return
        if body.ballot < register.promised or body.ballot.number > register.promised.number + MAX_BALLOT_JUMP:
            nack = wire.Nack(body.topic, body.ballot, register.promised, False)
            self.commands.append(Send(sender, nack, []))
            return
        register.promised = body.ballot
        remaining = self.lease_remaining(register)
        promise = wire.Promise(
            body.topic, body.ballot, self.instance_id, register.accepted, register.value, remaining
        )
        self.persist_and_send(sender, promise)

    def accept(self, sender: str, body: wire.Accept) -> None:
        register = self.registers.get(body.topic)
        if not self.votes() or register is None or body.instance_id != self.instance_id:
            self.commands.append(Send(sender, wire.Nack(body.topic, body.ballot, NO_BALLOT, True), []))
            return
        if body.ballot < register.promised:
            nack = wire.Nack(body.topic, body.ballot, register.promised, False)
            self.commands.append(Send(sender, nack, []))
            return
        if body.ballot > register.promised or not self.is_valid_change(register, sender, body.value):
            return
        if body.ballot != register.accepted:  # a duplicate doesn't extend the lease
            register.accepted, register.value = body.ballot, body.value
            register.lease_until = self.lease_expiry(body.value)
        self.persist_and_send(sender, wire.Accepted(body.topic, body.ballot, self.instance_id))

    def is_valid_change(self, register: Register, sender: str, value: TopicState) -> bool:
        """Whether an honest proposer could send this value. Without the check a lying member could take a
        running lease or lower an epoch."""
        before = register.value
        if value.holder not in ("", sender) or value.lease > self.max_lease:
            return False
        if (value.epoch, value.version) < (before.epoch, before.version):
            return False
        if self.lease_remaining(register) and (value.holder, value.instance_id) != (
            before.holder,
            before.instance_id,
        ):
            return value.holder == "" and sender == before.holder and value.epoch == before.epoch
        return True

    # Recovery of lost memory.

    def on_recall_request(self, sender: str, body: wire.RecallRequest) -> None:
        """Raises every promise before it answers, so that nothing can be accepted here any more that the
        recovering elector may have voted for before it lost its memory."""
        if sender not in self.electors:
            return
        for register in self.registers.values():
            if self.has_memory:
                register.promised = Ballot(register.promised.number + 1, sender)
        rows = [
            (topic, register.promised, register.accepted, register.value)
            for topic, register in self.registers.items()
        ]
        parts = [rows[index : index + 1] for index in range(len(rows))] or [[]]
        sends = [
            Send(
                sender,
                wire.RecallReply(
                    body.instance_id,
                    body.round,
                    self.has_memory,
                    self.now - self.started_at,
                    part,
                    index == len(parts) - 1,
                    index,
                ),
                [],
            )
            for index, part in enumerate(parts)
        ]
        if self.has_memory:
            self.commands.append(Persist(self.encode_memory(), sends))
        else:  # never write without memory: after a restart the file would be taken for it
            self.commands += sends

    def start_recall(self) -> None:
        """Starts a new round. Replies to earlier rounds don't count, as they may be outdated."""
        self.next_recall_at, self.recall_started_at = self.now + RECALL_INTERVAL_US, self.now
        self.recall_round += 1
        self.recall_replies.clear()
        for name in self.electors:
            if name != self.name:
                self.commands.append(Send(name, wire.RecallRequest(self.instance_id, self.recall_round), []))

    def on_recall_reply(self, sender: str, body: wire.RecallReply) -> None:
        if (
            self.has_memory
            or (body.instance_id, body.round) != (self.instance_id, self.recall_round)
            or sender not in self.electors
        ):
            return
        if body.part >= MAX_RECALL_PARTS or self.now - self.started_at < self.silence_period:
            return
        self.recall_replies.setdefault(sender, {})[body.part] = body
        complete = [parts for parts in self.recall_replies.values() if is_complete(parts)]
        with_memory = sum(parts[0].has_memory for parts in complete)
        if with_memory < majority(len(self.electors)) and not (
            len(complete) == len(self.electors) - 1 and self.majority_forgot(complete)
        ):
            return
        for parts in complete:
            for reply in parts.values():
                for topic, promised, accepted, value in reply.registers:
                    self.adopt(topic, promised, accepted, value)
        self.has_memory = True
        self.recall_replies.clear()
        self.commands.append(Persist(self.encode_memory(), []))

    def majority_forgot(self, complete: list[dict[int, wire.RecallReply]]) -> bool:
        """Whether so many electors lacked memory at one moment that no majority can remember, however long
        this one waits. It then starts from the newest state that any elector holds.

        The moment lies before this round began and after each of them lost its memory. Guards against
        combining replies of different moments: an elector that regained its memory meanwhile may have been
        the last to know a decision."""
        slack = (self.now - self.recall_started_at) + (self.now - self.started_at) // CLOCK_DRIFT_DIVISOR
        forgot = sum(not parts[0].has_memory and parts[0].forgotten_for > slack for parts in complete)
        return len(self.electors) - 1 - forgot < majority(len(self.electors))

    def adopt(self, topic: str, promised: Ballot, accepted: Ballot, value: TopicState) -> None:
        register = self.register(topic)
        if register is None:
            return
        register.promised = max(register.promised, promised)
        if accepted > register.accepted:
            register.accepted, register.value = accepted, value
            register.lease_until = self.lease_expiry(value)


def is_complete(parts: dict[int, wire.RecallReply]) -> bool:
    last = [index for index, part in parts.items() if part.last]
    return bool(last) and all(index in parts for index in range(last[0] + 1))
