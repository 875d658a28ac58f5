"""Simulated fleets of members without clients, many in one process, in virtual time.

`SimulatedFleet(members, cores)` is a fleet of `members`, of which `cores` run the production state machine
`Peer`. Where all do, each datagram goes to its addressee. Where fewer do (N members with tables of N rows
need memory for N squared rows), the simulated ones stand for the rest: a datagram to a member that is not
simulated is delivered to a random simulated one, as if from a random member, and the answer is returned as if
from the addressee. So each state machine receives as much as in a fleet of that size, all of it produced by
real ones. This holds where members are alike, in a quiet fleet and during its start. It does not hold for
what many probes find together: a few members detect failed ones too late.

Each datagram is encoded and decoded as the driver does. Owns the clock, the event queue and the state
machines."""

from __future__ import annotations

import heapq
import random
import time
from dataclasses import dataclass, field

from lupinmill.peers import wire
from lupinmill.peers.elector import Persist
from lupinmill.peers.peer import Peer, PeerSettings
from lupinmill.peers.view import SECOND, MembershipTiming, Received, RosterEntry, Send
from lupinmill.peers.wire import Status

SITE = wire.site_hash("hollow")
EPOCH = 1_000 * SECOND
NETWORK_DELAY_US = (200, 1_000)  # range of the network delay, in microseconds
MAX_CONVERSATIONS = 200_000  # remembered conversations, where few members stand for all
MEMBER_BYTES = 900  # upper estimate of a table row and all that it refers to, for `memory_wanted`
UPDATES_PER_MESSAGE = wire.MAX_UPDATES


def names(members: int) -> list[str]:
    return [f"sidecar-{at:05d}" for at in range(members)]


def roster_entries(members: int, zones: int = 20) -> tuple[RosterEntry, ...]:
    return tuple(
        RosterEntry(
            name, f"127.{1 + at // 60_000}.0.1:{1_024 + at % 60_000}", f"z{at * zones // members}", ""
        )
        for at, name in enumerate(names(members))
    )


def memory_wanted(members: int, cores: int) -> int:
    """An upper estimate of the memory of a run, in bytes."""
    return cores * members * MEMBER_BYTES


@dataclass(slots=True)
class SecondCounters:
    """What one simulated member did in one second of virtual time."""

    cpu_ns: int = 0
    messages_out: int = 0
    messages_in: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    table_requests: int = 0  # requests sent for a whole table


@dataclass
class SimulatedMember:
    name: str
    peer: Peer
    timer_at: int = -1
    up: bool = True
    watched: bool = True  # whether its processor time is measured
    seconds: list[SecondCounters] = field(default_factory=list)

    def second(self, now: int) -> SecondCounters:
        at = now // SECOND
        while len(self.seconds) <= at:
            self.seconds.append(SecondCounters())
        return self.seconds[at]


class SimulatedFleet:
    def __init__(
        self,
        members: int,
        seed: int,
        cores: int = 0,
        loss: float = 0.0,
        electors: int = 0,
        timing: MembershipTiming | None = None,
        watched: int = 0,
        absent: set[int] | None = None,
    ) -> None:
        """`cores`: number of simulated members; 0: all. `watched`: number of those whose processor time is
        measured; 0: all. `absent`: indices of the members that `stop_absent` stops; only where all are
        simulated."""
        assert not absent or not cores or cores >= members, "mass failures need all members to be simulated"
        self.members, self.loss, self.seed = members, loss, seed
        self.names = names(members)
        self.all_simulated = not cores or cores >= members
        self.random_source = random.Random(seed)
        self.roster_entries = roster_entries(members)
        self.timing = timing or MembershipTiming()
        every = 1 if self.all_simulated else members // cores
        self.absent = {self.names[at] for at in absent or ()}
        self.stopped: set[str] = set()
        simulated = self.names if self.all_simulated else [self.names[at * every] for at in range(cores)]
        self.electors = tuple(self.names[at * members // electors] for at in range(electors))
        self.now = 0
        self.queue: list[tuple[int, int, SimulatedMember, object]] = []
        self.serial = 0
        self.cores: dict[str, SimulatedMember] = {}
        self.conversations: dict[tuple[str, str], tuple[SimulatedMember, str]] = {}
        self.changes = 0
        for at, name in enumerate(simulated):
            watch = not watched or at % max(1, len(simulated) // watched) == 0
            self.cores[name] = SimulatedMember(name, self.make_peer(name, at + 1), watched=watch)
        self.simulated = list(self.cores.values())
        self.watched = [core for core in self.simulated if core.watched]

    def make_peer(self, name: str, incarnation: int) -> Peer:
        settings = PeerSettings(name, self.roster_entries, self.electors, timing=self.timing)
        return Peer(settings, incarnation, self.seed * 1_000_003 + incarnation, EPOCH + self.now)

    # Start.

    def start(self) -> None:
        """Starts all members within a second, each without knowledge of the others."""
        for core in self.simulated:
            self.schedule_timer(core, self.now + self.random_source.randrange(SECOND))

    def settle(self) -> None:
        """Sets the state long after a start: all members know each other, no updates are pending.

        The state is set directly, as simulating the start of a large fleet takes minutes: members receive the
        tables that they would have been sent, pending updates are discarded and the round number is set."""
        updates = [wire.MemberUpdate(name, Status.ALIVE, 0, name) for name in self.names]
        for core in self.simulated:
            peer = core.peer
            sender = self.names[0] if core.name != self.names[0] else self.names[1]
            messages = [
                Received(sender, wire.Table(False, 0, []), updates[at : at + UPDATES_PER_MESSAGE])
                for at in range(0, len(updates), UPDATES_PER_MESSAGE)
            ]
            peer.membership.now = EPOCH
            for one in messages:
                peer.membership.receive(one)
            peer.membership.commands.clear()
            peer.membership.pending_updates.clear()
            peer.membership.round_number = 20 + len(self.names) + self.random_source.randrange(10)
            peer.membership.check_tokens_at = EPOCH
            self.schedule_timer(core, self.random_source.randrange(self.timing.round))

    # Event loop.

    def schedule_timer(self, core: SimulatedMember, at: int) -> None:
        if core.timer_at != at:
            core.timer_at = at
            self.serial += 1
            heapq.heappush(self.queue, (at, self.serial, core, at))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        queue = self.queue
        while queue and queue[0][0] <= end:
            self.now, _, core, event = heapq.heappop(queue)
            if not core.up:
                continue
            if isinstance(event, int):
                if core.timer_at == event:
                    core.timer_at = -1
                    self.step(core, None)
            else:
                self.step(core, event)  # type: ignore[arg-type]
        self.now = end

    def step(self, core: SimulatedMember, datagram: tuple[str, bytes] | None) -> None:
        second, clock = core.second(self.now), EPOCH + self.now
        began = time.thread_time_ns() if core.watched else 0
        received: list[Received] = []
        if datagram is not None:
            found = wire.decode(SITE, datagram[1])
            received.append(Received(datagram[0], found.body, found.updates))
        out: list[tuple[str, wire.Body, bytes]] = []
        while True:
            own: list[Received] = []
            for command in core.peer.step(clock, received):
                if isinstance(command, Send):
                    self.encode(core, command, out, own)
                elif isinstance(command, Persist):
                    for send in command.then_send:
                        self.encode(core, send, out, own)
            if not own:
                break
            received = own
        if core.watched:
            second.cpu_ns += time.thread_time_ns() - began
        if datagram is not None:
            second.messages_in += 1
            second.bytes_in += len(datagram[1])
        for to, body, data in out:
            second.messages_out += 1
            second.bytes_out += len(data)
            second.table_requests += isinstance(body, wire.Table) and body.wanted
            self.deliver(core, to, body, data)
        self.schedule_timer(core, max(self.now + 1, core.peer.next_due() - EPOCH))

    def encode(
        self,
        core: SimulatedMember,
        command: Send,
        out: list[tuple[str, wire.Body, bytes]],
        own: list[Received],
    ) -> None:
        if command.to == core.name:
            own.append(Received(command.to, command.body))
        else:
            out.append((command.to, command.body, wire.encode(SITE, command.body, command.updates)))

    # Network.

    def deliver(self, core: SimulatedMember, to: str, body: wire.Body, data: bytes) -> None:
        if to in self.stopped or self.loss and self.random_source.random() < self.loss:
            return
        if self.all_simulated:
            receiver, sender = self.cores[to], core.name
        else:
            table = isinstance(body, wire.Table) and not body.wanted
            answers = table or isinstance(body, wire.Ack | wire.IndirectAck)
            conversation = self.conversations.get((core.name, to)) if answers else None
            if conversation is not None:
                receiver, sender = conversation
            else:
                receiver = self.random_source.choice(self.simulated)
                sender = self.random_source.choice(self.names)
                while receiver is core or sender == receiver.name:
                    receiver, sender = (
                        self.random_source.choice(self.simulated),
                        self.random_source.choice(self.names),
                    )
                if len(self.conversations) >= MAX_CONVERSATIONS:
                    self.conversations.clear()
                self.conversations[receiver.name, sender] = core, to
        self.serial += 1
        at = self.now + self.random_source.randint(*NETWORK_DELAY_US)
        heapq.heappush(self.queue, (at, self.serial, receiver, (sender, data)))

    # Control and results.

    def stop_absent(self) -> None:
        """Stops the absent members now."""
        self.stopped = set(self.absent)
        for core in self.simulated:
            core.up = core.up and core.name not in self.stopped

    def restart_absent(self) -> None:
        """Restarts the absent members as new processes within a second."""
        for at, name in enumerate(sorted(self.stopped)):
            self.restart(self.cores[name], self.members + at + 1, self.random_source.randrange(SECOND))
        self.stopped = set()

    def stop(self, core: SimulatedMember) -> None:
        core.up = False

    def restart(self, core: SimulatedMember, incarnation: int, after: int = 1) -> None:
        core.peer, core.up, core.timer_at = self.make_peer(core.name, incarnation), True, -1
        self.schedule_timer(core, self.now + after)

    def rows(self) -> float:
        """Mean number of members that a simulated member considers present, itself included."""
        up = [core for core in self.simulated if core.up]
        return sum(core.peer.membership.present_count + 1 for core in up) / len(up)

    def mean_pending_updates(self) -> float:
        return sum(len(core.peer.membership.pending_updates) for core in self.simulated) / len(self.simulated)

    def figures(self, first: int, last: int) -> dict[str, tuple[float, float]]:
        """Mean and busiest second of the average member, over whole seconds from `first` to before `last`."""
        found: dict[str, tuple[float, float]] = {}
        for name, key, cores, unit in (
            ("cpu", "cpu_ns", self.watched, 1e-9),
            ("messages out", "messages_out", self.simulated, 1.0),
            ("messages in", "messages_in", self.simulated, 1.0),
            ("bytes out", "bytes_out", self.simulated, 1.0),
            ("bytes in", "bytes_in", self.simulated, 1.0),
        ):
            seconds = []
            cores = [core for core in cores if core.name not in self.absent]
            for at in range(first, last):
                whole = sum(getattr(core.seconds[at], key) for core in cores if at < len(core.seconds))
                seconds.append(whole * unit / len(cores))
            found[name] = sum(seconds) / max(1, len(seconds)), max(seconds, default=0.0)
        return found
