"""Failure detection and membership: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's additions (Dadgar,
Phillips, Currey 2018). No I/O: `step(now, events)` returns commands, times are microseconds of a monotonic
clock, and random numbers come from a seeded LCG.

Differences from SWIM, for members that lie (docs/design/peers.md): no member is marked dead or left
because of a report by another member alone. Such a report starts an own probe. It is believed only if that
probe fails or three other members report the same from their own addresses.

Owns the table of members (the names in the roster and no others), the outstanding probes (at most
`MAX_PROBES`, each released by its ack or its timeout) and the queue of updates to gossip (at most one per
name)."""

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
    Leave,
    Member,
    MemberChanged,
    MembershipTiming,
    QuorumChanged,
    QuorumState,
    Received,
    Rejoin,
    RosterChange,
    RosterEntry,
    Send,
)
from lupinmill.peers.wire import MemberUpdate, Status
from lupinmill.workings import RandomSource

MAX_PROBES = 64  # outstanding at a time, including those on behalf of other members
CHECK_BURST, CHECKS_PER_SECOND = 8.0, 20.0  # token bucket for own probes that verify reports by others
# So many other members' reports replace an own probe; a single lying member counts as one of them at most.
REQUIRED_DEATH_REPORTS = 3
MAX_INCARNATION_JUMP = 2**32  # per message, so that a lying member can't exhaust the number range
RETRANSMIT_FACTOR = 4  # times log10 of the roster size: sends of each update
UPDATES_PER_DATAGRAM = 10
GOSSIP_FANOUT = 2  # members per gossip between rounds, while updates are pending
DISAGREEMENT_LIMIT_US = 2 * SECOND  # time without another member of the same view until `UNCERTAIN`
TABLE_SYNC_ROUNDS = 10  # rounds between two exchanges of tables
JOIN_ROUNDS = 20  # first rounds, each with an exchange of tables; a large fleet has some more of them
SILENCE_ROUNDS = 10  # rounds without any datagram until `ISOLATED`; about two per round are usual
UNCERTAIN_HEALTH_SCORE = 3  # own health score at which this sidecar is `UNCERTAIN`
UNCERTAIN_ROUNDS = 5  # after this process was paused


@dataclass(slots=True)
class Probe:
    """An outstanding ping."""

    target: str
    deadline: int
    helpers_asked: bool = False
    requester: str = ""  # member that sent the ping request; empty: an own probe
    request_serial: int = 0
    nacks: int = 0  # helpers that answered that they got no ack either
    helper_count: int = 0
    rediscovery: bool = False  # of a member that is not present: its timeout has no effect


class Membership:
    def __init__(
        self, name: str, entries: list[RosterEntry], timing: MembershipTiming, seed: int, now: int
    ) -> None:
        self.name, self.timing, self.random_source = name, timing, RandomSource(seed)
        self.members: dict[str, Member] = {}
        self.status, self.incarnation = Status.ALIVE, 0
        self.commands: list[Send | MemberChanged | QuorumChanged] = []
        self.probes: dict[int, Probe] = {}
        self.pending_updates: dict[str, int] = {}  # sends so far, by name
        self.timers: list[tuple[int, int, Callable[..., None], tuple]] = []
        self.serial = self.timer_serial = 0
        self.health_score = 0
        self.now, self.resumed_at = now, -(2**60)
        self.present_count = self.suspect_count = self.left_count = 0
        self.digest_sum = 0
        self.agreed_at = now  # last time that another member had the same view
        self.last_received_at = now
        self.quorum_state, self.quorum_state_since = QuorumState.ISOLATED, now
        self.probe_order: list[str] = []
        self.rediscovery_order: list[str] = []
        self.check_tokens, self.check_tokens_at = CHECK_BURST, now
        self.pending_checks: dict[str, None] = {}
        self.round_number = self.refuted_at = 0
        self.table_position = 0
        self.dropped: dict[str, int] = {}  # by cause
        self.gossip_scheduled = False
        # Progress of decisions by topic, exchanged with the tables.
        self.topic_progress: Callable[[], list[wire.TopicProgress]] = list
        self.on_progress: Callable[[str, list[wire.TopicProgress]], None] = lambda sender, progress: None
        self.set_roster(entries)
        self.schedule(now + int(timing.round * self.random_source.draw() / 4), self.run_round)

    # Time.

    def schedule(self, due: int, callback: Callable[..., None], *args: object) -> None:
        self.timer_serial += 1
        heappush(self.timers, (due, self.timer_serial, callback, args))

    def next_due(self) -> int:
        return self.timers[0][0]

    def step(
        self, now: int, events: list[Received | Leave | Rejoin | RosterChange]
    ) -> list[Send | MemberChanged | QuorumChanged]:
        """Handles received datagrams before due timers, so that acks left unread while this process was
        paused still count."""
        self.now = now
        delay = now - self.timers[0][0]
        if delay > self.timing.round:
            self.on_late_wakeup(delay)
        for event in events:
            if isinstance(event, Received):
                self.receive(event)
            elif isinstance(event, RosterChange):
                self.set_roster(event.entries)
            else:
                self.change_own_status(Status.LEFT if isinstance(event, Leave) else Status.ALIVE)
        while self.timers[0][0] <= now:
            _, _, callback, args = heappop(self.timers)
            callback(*args)
        self.update_quorum_state()
        commands, self.commands = self.commands, []
        return commands

    def on_late_wakeup(self, delay: int) -> None:
        """Discards open probes and extends suspicions by the delay, as silence during its own pause proves
        nothing. Guards against a paused or starved process that suspects all other members."""
        self.resumed_at = self.now
        self.health_score = min(self.timing.max_health_score, self.health_score + 1)
        self.probes.clear()
        for member in self.members.values():
            member.check_serial = 0
            if member.suspicion_ends_at >= 0:
                member.suspicion_ends_at += delay
                self.schedule(
                    member.suspicion_ends_at, self.on_suspicion_timeout, member.entry.name, member.incarnation
                )

    # The roster.

    def set_roster(self, entries: list[RosterEntry]) -> None:
        """Drops all state of removed members; the others keep theirs."""
        wanted = {entry.name: entry for entry in entries if entry.name != self.name}
        for name in [name for name in self.members if name not in wanted]:
            member = self.members.pop(name)
            self.adjust_counts(member.status, name, -1)
            self.pending_updates.pop(name, None)
            self.pending_checks.pop(name, None)
        self.probes = {serial: probe for serial, probe in self.probes.items() if probe.target in wanted}
        for name, entry in wanted.items():
            if name in self.members:
                self.members[name].entry = entry
            else:
                self.members[name] = Member(entry, since=self.now)
        self.roster_size = len(wanted) + 1
        self.probe_order, self.rediscovery_order = [], []
        self.names = list(self.members)

    def adjust_counts(self, status: Status, name: str, by: int) -> None:
        if status in PRESENT:
            self.present_count += by
            self.digest_sum = (self.digest_sum + by * crc32(name.encode())) & 0xFFFFFFFF
        self.suspect_count += by * (status is Status.SUSPECT)
        self.left_count += by * (status is Status.LEFT)

    def digest(self) -> int:
        own = crc32(self.name.encode()) if self.status is Status.ALIVE else 0
        return (self.digest_sum + own) & 0xFFFFFFFF

    def random_members(
        self, count: int, excluded: tuple[str, ...] = (), status: tuple[Status, ...] = PRESENT
    ) -> list[str]:
        """Up to `count` random members, from a bounded number of draws."""
        found: dict[str, None] = {}
        for _ in range(count * 4 if self.names else 0):
            name = self.names[self.random_source.upto(len(self.names) - 1)]
            if name not in excluded and name in self.members and self.members[name].status in status:
                found[name] = None
                if len(found) == count:
                    break
        return list(found)

    # Probes.

    def run_round(self) -> None:
        """Probes one present and one absent member; every tenth round also exchanges tables."""
        span = self.timing.round * (self.health_score + 1)
        self.schedule(self.now + span, self.run_round)
        self.round_number += 1
        target = self.next_in_rotation(self.probe_order, PRESENT)
        if target is not None:
            self.start_probe(target, span)
        absent = self.next_in_rotation(self.rediscovery_order, (Status.UNKNOWN, Status.DEAD, Status.LEFT))
        if absent is not None:
            self.start_probe(absent, span, rediscovery=True)
        self.run_checks()
        joining = self.round_number < JOIN_ROUNDS + 2 * len(self.names) // wire.MAX_UPDATES
        if (joining or self.round_number % TABLE_SYNC_ROUNDS == 0) and (partners := self.random_members(1)):
            self.send_table(partners[0], True)

    def next_in_rotation(self, order: list[str], status: tuple[Status, ...]) -> str | None:
        """The next member with that status. Each pass visits all in a new random order, which bounds the time
        until a failed member is probed."""
        if not order:
            order.extend(self.names)
            for index in range(len(order) - 1, 0, -1):
                other = self.random_source.upto(index)
                order[index], order[other] = order[other], order[index]
        while order:
            name = order.pop()
            if name in self.members and self.members[name].status in status:
                return name
        return None

    def start_probe(self, target: str, span: int, rediscovery: bool = False) -> int:
        if len(self.probes) >= MAX_PROBES:  # more than rounds and checks can have outstanding
            self.count_dropped("probes")
            return 0
        self.serial += 1
        self.probes[self.serial] = Probe(target, self.now + span, rediscovery=rediscovery)
        self.send_ping(target, self.serial)
        if not rediscovery:
            self.schedule(
                self.now + int(span * self.timing.direct_share), self.send_indirect_probes, self.serial
            )
        self.schedule(self.now + span, self.on_probe_timeout, self.serial)
        return self.serial

    def send_ping(self, target: str, serial: int) -> None:
        member = self.members[target]
        self.send(
            target,
            wire.Ping(
                serial, self.status, self.incarnation, member.status, member.incarnation, self.digest()
            ),
        )

    def send_indirect_probes(self, serial: int) -> None:
        probe = self.probes.get(serial)
        if probe is None or probe.target not in self.members:
            return
        helpers = self.random_members(self.timing.indirect_probes, (probe.target,), (Status.ALIVE,))
        probe.helpers_asked, probe.helper_count = True, len(helpers)
        for helper in helpers:
            self.send(helper, wire.PingRequest(serial, probe.target))

    def on_probe_timeout(self, serial: int) -> None:
        probe = self.probes.pop(serial, None)
        if probe is None:
            return
        if probe.requester:
            if probe.requester in self.members:
                self.send(probe.requester, wire.IndirectAck(probe.request_serial, probe.target, False, 0))
            return
        member = self.members.get(probe.target)
        if probe.rediscovery or member is None:
            return
        if probe.nacks < probe.helper_count:  # helpers are silent too: the fault may be local
            self.health_score = min(self.timing.max_health_score, self.health_score + 1)
        elif probe.helper_count:
            self.health_score = max(0, self.health_score - 1)
        if member.check_serial == serial:
            member.check_serial = 0
            if member.status is Status.SUSPECT:
                self.set_status(
                    member, member.reported_status, member.incarnation, self.name, "own probe timed out"
                )
        elif member.status is Status.ALIVE:
            self.suspect(member, member.incarnation, self.name, "no direct or indirect ack")
        elif member.status is Status.SUSPECT:
            self.add_suspector(member, self.name)

    def on_probe_answer(self, serial: int, sender: str) -> None:
        probe = self.probes.get(serial)
        if probe is None or probe.target != sender:
            return  # late, duplicated or forged
        del self.probes[serial]
        member = self.members[sender]
        member.last_ack_at = self.now
        if probe.requester:
            if probe.requester in self.members:
                self.send(
                    probe.requester, wire.IndirectAck(probe.request_serial, sender, True, member.incarnation)
                )
            return
        if not probe.rediscovery:
            self.health_score = max(0, self.health_score - 1)
        if member.check_serial == serial:
            member.check_serial = 0
            member.death_reporters.clear()
            if member.status is Status.SUSPECT:
                self.clear_suspicion(member)

    def clear_suspicion(self, member: Member) -> None:
        """The member answers this sidecar, so earlier reports by others are discarded."""
        self.set_status(member, Status.ALIVE, member.incarnation, self.name, "answered an own probe")

    # Checks of reports by others. They are rate-limited, so that no member can make this one send without
    # bound.

    def request_check(self, member: Member) -> None:
        if not member.check_serial:
            self.pending_checks[member.entry.name] = None
            self.run_checks()

    def run_checks(self) -> None:
        elapsed = self.now - self.check_tokens_at
        self.check_tokens = min(CHECK_BURST, self.check_tokens + elapsed * CHECKS_PER_SECOND / SECOND)
        self.check_tokens_at = self.now
        while self.check_tokens >= 1 and self.pending_checks:
            name = next(iter(self.pending_checks))
            del self.pending_checks[name]
            member = self.members[name]
            if member.status is Status.SUSPECT and not member.check_serial:
                self.check_tokens -= 1
                member.check_serial = self.start_probe(name, self.timing.round * (self.health_score + 1))

    # Views.

    def set_status(self, member: Member, status: Status, incarnation: int, by: str, reason: str) -> None:
        before = member.status
        name = member.entry.name
        self.adjust_counts(before, name, -1)
        self.adjust_counts(status, name, 1)
        member.status, member.incarnation, member.source = status, incarnation, by
        if status is not Status.SUSPECT:
            member.suspicion_ends_at = -1
            member.suspected_by.clear()
            member.death_reporters.clear()
            member.check_serial = 0
        if before is not status:
            member.since = self.now
            self.commands.append(MemberChanged(name, before, status, by, reason))
        self.queue_update(name)

    def queue_update(self, name: str) -> None:
        self.pending_updates[name] = 0
        if not self.gossip_scheduled:
            self.gossip_scheduled = True
            self.schedule(self.now + self.timing.round // 4, self.gossip)

    def gossip(self) -> None:
        """Sends pending updates between rounds, in a bounded number of datagrams."""
        self.gossip_scheduled = bool(self.pending_updates)
        if not self.gossip_scheduled:
            return
        for name in self.random_members(GOSSIP_FANOUT):
            self.send_ping(name, 0)
        self.schedule(self.now + self.timing.round // 2, self.gossip)

    def suspect(self, member: Member, incarnation: int, by: str, reason: str) -> None:
        member.suspected_at, member.reported_status = self.now, Status.DEAD
        self.set_status(member, Status.SUSPECT, incarnation, by, reason)
        member.suspected_by = [by]
        self.update_suspicion_timeout(member)

    def update_suspicion_timeout(self, member: Member) -> None:
        confirmations = len(member.suspected_by) - 1
        members = self.present_count + 1
        member.suspicion_ends_at = member.suspected_at + self.timing.suspicion_timeout(members, confirmations)
        self.schedule(
            max(self.now, member.suspicion_ends_at),
            self.on_suspicion_timeout,
            member.entry.name,
            member.incarnation,
        )

    def add_suspector(self, member: Member, by: str) -> None:
        if by not in member.suspected_by and len(member.suspected_by) <= self.timing.required_confirmations:
            member.suspected_by.append(by)
            self.queue_update(member.entry.name)
            self.update_suspicion_timeout(member)

    def on_suspicion_timeout(self, name: str, incarnation: int) -> None:
        member = self.members.get(name)
        if member is None or member.status is not Status.SUSPECT or member.incarnation != incarnation:
            return
        if not 0 <= member.suspicion_ends_at <= self.now:
            return  # the suspicion was extended meanwhile
        if member.last_ack_at > member.suspected_at:
            self.clear_suspicion(member)
        else:
            self.request_check(member)

    # Received messages.

    def receive(self, received: Received) -> None:
        sender = self.members.get(received.sender)
        if sender is None:
            self.count_dropped("stranger")
            return
        self.last_received_at = self.now
        body = received.body
        if isinstance(body, wire.Ping | wire.Ack):
            self.apply_sender_status(sender, body)
        if isinstance(body, wire.Ping) and body.serial:
            member = sender
            self.send(
                received.sender,
                wire.Ack(
                    body.serial,
                    self.status,
                    self.incarnation,
                    member.status,
                    member.incarnation,
                    self.digest(),
                ),
            )
        elif isinstance(body, wire.Ack):
            self.on_probe_answer(body.serial, received.sender)
        elif isinstance(body, wire.PingRequest):
            self.on_ping_request(received.sender, body)
        elif isinstance(body, wire.IndirectAck):
            self.on_indirect_ack(body)
        elif isinstance(body, wire.Table):
            self.on_table(received.sender, body)
        for update in received.updates:
            self.apply_update(update, received.sender)

    def apply_sender_status(self, sender: Member, body: wire.Ping | wire.Ack) -> None:
        """Applies the status that a member reports of itself, from its own address."""
        if body.status not in (Status.ALIVE, Status.LEFT):
            self.count_dropped("false")
            return
        newer = (
            body.incarnation > sender.incarnation
            and body.incarnation - sender.incarnation <= MAX_INCARNATION_JUMP
        )
        name = sender.entry.name
        if body.status is Status.LEFT:
            if sender.status is not Status.LEFT and (newer or body.incarnation == sender.incarnation):
                self.set_status(sender, Status.LEFT, body.incarnation, name, "own report")
        elif newer or sender.status is Status.UNKNOWN:
            self.set_status(
                sender, Status.ALIVE, max(body.incarnation, sender.incarnation), name, "own report"
            )
        if body.known_status is not Status.UNKNOWN:
            self.refute(body.known_status, body.known_incarnation)
        if self.digest() == body.digest:
            self.agreed_at = self.now

    def on_ping_request(self, sender: str, body: wire.PingRequest) -> None:
        if body.name == self.name or body.name not in self.members:
            self.count_dropped("stranger")
            return
        if len(self.probes) >= MAX_PROBES // 2:
            self.count_dropped("errands")
            return
        self.serial += 1
        span = int(self.timing.round * (1 - self.timing.direct_share) * 0.8)
        self.probes[self.serial] = Probe(
            body.name, self.now + span, requester=sender, request_serial=body.serial
        )
        self.send_ping(body.name, self.serial)
        self.schedule(self.now + span, self.on_probe_timeout, self.serial)

    def on_indirect_ack(self, body: wire.IndirectAck) -> None:
        probe = self.probes.get(body.serial)
        if probe is None or probe.target != body.name or probe.requester or not probe.helpers_asked:
            return
        if body.answered:
            self.on_probe_answer(body.serial, body.name)
        else:
            probe.nacks += 1

    def apply_update(self, update: MemberUpdate, reporter: str) -> None:
        """Applies an update by another member. At most, a lying member can cause own probes by it."""
        if update.name == self.name:
            self.refute(update.status, update.incarnation)
            return
        member = self.members.get(update.name)
        if member is None:
            self.count_dropped("stranger")
            return
        if update.incarnation > member.incarnation + MAX_INCARNATION_JUMP:
            self.count_dropped("jump")
            return
        newer = update.incarnation > member.incarnation
        same = update.incarnation == member.incarnation
        if update.status is Status.ALIVE:
            if newer or member.status is Status.UNKNOWN:
                self.set_status(
                    member, Status.ALIVE, update.incarnation, update.source, f"reported by {reporter}"
                )
        elif update.status is Status.SUSPECT:
            if member.status is Status.ALIVE and (newer or same):
                if same and member.last_ack_at >= self.now - self.timing.round:
                    return  # it answered within the last round, and refutes the suspicion itself
                self.suspect(member, update.incarnation, update.source, f"reported by {reporter}")
            elif member.status is Status.SUSPECT and (newer or same):
                member.incarnation = update.incarnation
                self.add_suspector(member, update.source)
        elif update.status in (Status.DEAD, Status.LEFT):
            if member.status is Status.UNKNOWN:
                self.set_status(
                    member, update.status, update.incarnation, update.source, f"reported by {reporter}"
                )
            elif member.status in PRESENT and (newer or same):
                self.on_reported_gone(member, update, reporter)

    def on_reported_gone(self, member: Member, update: MemberUpdate, reporter: str) -> None:
        """Marks the member suspect at most, until an own probe fails or three other members report the
        same."""
        if member.last_ack_at >= self.now - self.timing.round and update.incarnation == member.incarnation:
            return  # it answered within the last round
        if member.status is Status.ALIVE:
            self.suspect(
                member, update.incarnation, update.source, f"{reporter} reports {update.status.name.lower()}"
            )
        member.incarnation = max(member.incarnation, update.incarnation)
        member.reported_status = update.status
        if reporter not in member.death_reporters:
            member.death_reporters.append(reporter)
        if member.last_ack_at < member.suspected_at and len(member.death_reporters) >= REQUIRED_DEATH_REPORTS:
            self.set_status(
                member, update.status, member.incarnation, update.source, "reported by three other members"
            )
        else:
            self.request_check(member)

    def refute(self, status: Status, incarnation: int) -> None:
        """Refutes a report about this sidecar itself, including its former processes."""
        if incarnation < self.incarnation or incarnation > self.incarnation + MAX_INCARNATION_JUMP:
            return
        if status in (Status.UNKNOWN, self.status) and incarnation == self.incarnation:
            return
        if status is Status.SUSPECT:
            self.health_score = min(
                self.timing.max_health_score, self.health_score + (self.now - self.refuted_at > SECOND)
            )
        self.refuted_at = self.now
        self.incarnation = incarnation + 1
        self.queue_update(self.name)

    # Tables.

    def send_table(self, to: str, wanted: bool, position: int | None = None) -> None:
        """Sends the part of the table that fits one datagram; the next call sends the next part."""
        start = self.table_position if position is None else position
        updates = []
        for step in range(min(wire.MAX_UPDATES, len(self.names))):
            member = self.members[self.names[(start + step) % len(self.names)]]
            if member.status is not Status.UNKNOWN:
                updates.append(member.update())
        self.table_position = (start + wire.MAX_UPDATES) % max(1, len(self.names))
        self.commands.append(
            Send(to, wire.Table(wanted, self.table_position, self.topic_progress()), updates)
        )

    def on_table(self, sender: str, body: wire.Table) -> None:
        if body.wanted:
            self.send_table(sender, False)
        self.on_progress(sender, body.progress)

    # This sidecar itself.

    def change_own_status(self, status: Status) -> None:
        if status is self.status:
            return
        self.status = status
        self.incarnation += 1
        self.queue_update(self.name)
        for name in self.random_members(5):
            self.send_ping(name, 0)

    def own_update(self) -> MemberUpdate:
        return MemberUpdate(self.name, self.status, self.incarnation, self.name)

    def send(self, to: str, body: wire.Body) -> None:
        self.commands.append(Send(to, body, self.take_updates(to)))

    def take_updates(self, to: str) -> list[MemberUpdate]:
        """The least-sent updates; one that was sent often enough leaves the queue. A suspected member
        learns of it from each ping (`known_status`; the buddy system of Lifeguard)."""
        if not self.pending_updates:
            return []
        max_sends = RETRANSMIT_FACTOR * ceil(log10(self.roster_size + 1))
        selected = (
            list(self.pending_updates)
            if len(self.pending_updates) <= UPDATES_PER_DATAGRAM
            else nsmallest(UPDATES_PER_DATAGRAM, self.pending_updates, key=self.pending_updates.__getitem__)
        )
        updates = []
        for name in selected:
            updates.append(
                self.own_update()
                if name == self.name
                else self.members[name].update(self.pending_updates[name])
            )
            self.pending_updates[name] += 1
            if self.pending_updates[name] >= max_sends:
                del self.pending_updates[name]
        return updates

    def update_quorum_state(self) -> None:
        """Members that left on their own don't count towards the roster; failed ones do. So two of five are a
        majority after the other three have left, and a minority after they have failed."""
        expected = self.roster_size - self.left_count
        seen = self.present_count + 1
        after, reason = QuorumState.MAJORITY, f"sees {seen} of {expected}"
        silent = self.now - max(self.last_received_at, self.resumed_at) > SILENCE_ROUNDS * self.timing.round
        if self.roster_size > 1 and (self.present_count == 0 or silent):
            after, reason = QuorumState.ISOLATED, "no datagram received" if silent else "no member present"
        elif seen * 2 <= expected:
            after = QuorumState.MINORITY
        elif self.now - self.resumed_at < UNCERTAIN_ROUNDS * self.timing.round:
            after, reason = QuorumState.UNCERTAIN, "this process was paused"
        elif self.health_score >= UNCERTAIN_HEALTH_SCORE:
            after, reason = QuorumState.UNCERTAIN, "this process is late or loses datagrams"
        elif self.suspect_count * 3 > seen:
            after, reason = QuorumState.UNCERTAIN, f"suspects {self.suspect_count} of {seen}"
        elif self.present_count and self.now - self.agreed_at > DISAGREEMENT_LIMIT_US:
            after, reason = QuorumState.UNCERTAIN, "no other member has the same view"
        if after is not self.quorum_state:
            self.commands.append(QuorumChanged(self.quorum_state, after, reason))
            self.quorum_state, self.quorum_state_since = after, self.now

    def count_dropped(self, cause: str) -> None:
        self.dropped[cause] = self.dropped.get(cause, 0) + 1
