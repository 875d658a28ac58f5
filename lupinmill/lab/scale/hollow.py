"""Simulated fleets of members without clients, many in one process, in virtual time.

`SimulatedFleet(members, cores)` is a fleet of `members`, of which `cores` run the production state machine
`Peer`. Where all do, each datagram goes to its addressee. Where fewer do (N members with tables of N rows each
are N squared rows), the simulated ones stand for the rest: a datagram to a member that is not simulated is
delivered to a random simulated one, as if from a random member, and the answer is returned as if from the
addressee. So each state machine receives as much as in a fleet of that size, all of it produced by real ones.
This holds where members are alike, in a quiet fleet and during its start. It does not hold for what many
probes find together: a few members detect failed ones too late.

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
DELAY = (200, 1_000)  # microseconds of the network
MOST_TALKS = 200_000  # conversations whose answers may still come, where few stand for many
MEMBER_BYTES = 900  # a row with all that hangs on it, for the look ahead at memory
TELL_OF_ALL = wire.MAX_UPDATES


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
    """Bytes, more rather than less."""
    return cores * members * MEMBER_BYTES


@dataclass(slots=True)
class Second:
    """Of one played core, in one second of the fleet's time."""

    cpu_ns: int = 0
    messages_out: int = 0
    messages_in: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    table_requests: int = 0  # asked for


@dataclass
class Core:
    name: str
    peer: Peer
    wakes: int = -1
    up: bool = True
    watched: bool = True  # its processor time is taken
    seconds: list[Second] = field(default_factory=list)

    def second(self, now: int) -> Second:
        at = now // SECOND
        while len(self.seconds) <= at:
            self.seconds.append(Second())
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
        """`cores`: how many are played, 0: all. `watched`: of how many the processor time is taken, 0: all.
        `absent`: numbers of those that `stop_absent` takes away, where all are played."""
        assert not absent or not cores or cores >= members, "a few can't show how many fail"
        self.members, self.loss, self.seed = members, loss, seed
        self.names = names(members)
        self.all = not cores or cores >= members
        self.random_source = random.Random(seed)
        self.roster_entries = roster_entries(members)
        self.timing = timing or MembershipTiming()
        every = 1 if self.all else members // cores
        self.going = {self.names[at] for at in absent or ()}
        self.gone: set[str] = set()
        simulated = self.names if self.all else [self.names[at * every] for at in range(cores)]
        self.electors = tuple(self.names[at * members // electors] for at in range(electors))
        self.now = 0
        self.queue: list[tuple[int, int, Core, object]] = []
        self.serial = 0
        self.cores: dict[str, Core] = {}
        self.talks: dict[tuple[str, str], tuple[Core, str]] = {}
        self.changes = 0
        for at, name in enumerate(simulated):
            watch = not watched or at % max(1, len(simulated) // watched) == 0
            self.cores[name] = Core(name, self.peer(name, at + 1), watched=watch)
        self.simulated = list(self.cores.values())
        self.watched = [core for core in self.simulated if core.watched]

    def peer(self, name: str, life: int) -> Peer:
        told = PeerSettings(name, self.roster_entries, self.electors, timing=self.timing)
        return Peer(told, life, self.seed * 1_000_003 + life, EPOCH + self.now)

    # Beginnings.

    def start(self) -> None:
        """All within a second, each knowing nobody: a fleet that comes up whole."""
        for core in self.simulated:
            self.wake(core, self.now + self.random_source.randrange(SECOND))

    def settle(self) -> None:
        """As long after a start: each has heard of all, by the tables that it would have been sent, and its
        news is told. Not played, as that takes minutes of a large fleet's time: news is taken away and the
        number of rounds set."""
        notes = [wire.MemberUpdate(name, Status.ALIVE, 0, name) for name in self.names]
        for core in self.simulated:
            peer = core.peer
            sender = self.names[0] if core.name != self.names[0] else self.names[1]
            heard = [
                Received(sender, wire.Table(False, 0, []), notes[at : at + TELL_OF_ALL])
                for at in range(0, len(notes), TELL_OF_ALL)
            ]
            peer.membership.now = EPOCH
            for one in heard:
                peer.membership.receive(one)
            peer.membership.commands.clear()
            peer.membership.pending_updates.clear()
            peer.membership.round_number = 20 + len(self.names) + self.random_source.randrange(10)
            peer.membership.check_tokens_at = EPOCH
            self.wake(core, self.random_source.randrange(self.timing.round))

    # The run.

    def wake(self, core: Core, at: int) -> None:
        if core.wakes != at:
            core.wakes = at
            self.serial += 1
            heapq.heappush(self.queue, (at, self.serial, core, at))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        queue = self.queue
        while queue and queue[0][0] <= end:
            self.now, _, core, what = heapq.heappop(queue)
            if not core.up:
                continue
            if isinstance(what, int):
                if core.wakes == what:
                    core.wakes = -1
                    self.step(core, None)
            else:
                self.step(core, what)  # type: ignore[arg-type]
        self.now = end

    def step(self, core: Core, came: tuple[str, bytes] | None) -> None:
        second, clock = core.second(self.now), EPOCH + self.now
        began = time.thread_time_ns() if core.watched else 0
        notes: list[Received] = []
        if came is not None:
            found = wire.decode(SITE, came[1])
            notes.append(Received(came[0], found.body, found.updates))
        out: list[tuple[str, wire.Body, bytes]] = []
        while True:
            own: list[Received] = []
            for order in core.peer.step(clock, notes):
                if isinstance(order, Send):
                    self.encode(core, order, out, own)
                elif isinstance(order, Persist):
                    for send in order.then_send:
                        self.encode(core, send, out, own)
            if not own:
                break
            notes = own
        if core.watched:
            second.cpu_ns += time.thread_time_ns() - began
        if came is not None:
            second.messages_in += 1
            second.bytes_in += len(came[1])
        for to, body, data in out:
            second.messages_out += 1
            second.bytes_out += len(data)
            second.table_requests += isinstance(body, wire.Table) and body.wanted
            self.pass_on(core, to, body, data)
        self.wake(core, max(self.now + 1, core.peer.next_due() - EPOCH))

    def encode(
        self, core: Core, order: Send, out: list[tuple[str, wire.Body, bytes]], own: list[Received]
    ) -> None:
        if order.to == core.name:
            own.append(Received(order.to, order.body))
        else:
            out.append((order.to, order.body, wire.encode(SITE, order.body, order.updates)))

    # The network.

    def pass_on(self, core: Core, to: str, body: wire.Body, data: bytes) -> None:
        if to in self.gone or self.loss and self.random_source.random() < self.loss:
            return
        if self.all:
            hearer, sender = self.cores[to], core.name
        else:
            table = isinstance(body, wire.Table) and not body.wanted
            answers = table or isinstance(body, wire.Ack | wire.IndirectAck)
            talk = self.talks.get((core.name, to)) if answers else None
            if talk is not None:
                hearer, sender = talk
            else:
                hearer = self.random_source.choice(self.simulated)
                sender = self.random_source.choice(self.names)
                while hearer is core or sender == hearer.name:
                    hearer, sender = (
                        self.random_source.choice(self.simulated),
                        self.random_source.choice(self.names),
                    )
                if len(self.talks) >= MOST_TALKS:
                    self.talks.clear()
                self.talks[hearer.name, sender] = core, to
        self.serial += 1
        at = self.now + self.random_source.randint(*DELAY)
        heapq.heappush(self.queue, (at, self.serial, hearer, (sender, data)))

    # What it tells.

    def stop_absent(self) -> None:
        """The absent ones stop at this moment."""
        self.gone = set(self.going)
        for core in self.simulated:
            core.up = core.up and core.name not in self.gone

    def restart_absent(self) -> None:
        """As new processes, within a second."""
        for at, name in enumerate(sorted(self.gone)):
            self.restart(self.cores[name], self.members + at + 1, self.random_source.randrange(SECOND))
        self.gone = set()

    def stop(self, core: Core) -> None:
        core.up = False

    def restart(self, core: Core, life: int, after: int = 1) -> None:
        core.peer, core.up, core.wakes = self.peer(core.name, life), True, -1
        self.wake(core, self.now + after)

    def rows(self) -> float:
        """Members that a core holds for present, in the mean, itself among them."""
        up = [core for core in self.simulated if core.up]
        return sum(core.peer.membership.present_count + 1 for core in up) / len(up)

    def mean_pending_updates(self) -> float:
        return sum(len(core.peer.membership.pending_updates) for core in self.simulated) / len(self.simulated)

    def figures(self, first: int, last: int) -> dict[str, tuple[float, float]]:
        """Mean and dearest second of the mean member, over whole seconds `first` up to `last`."""
        found: dict[str, tuple[float, float]] = {}
        for name, key, cores, unit in (
            ("cpu", "cpu_ns", self.watched, 1e-9),
            ("messages out", "messages_out", self.simulated, 1.0),
            ("messages in", "messages_in", self.simulated, 1.0),
            ("bytes out", "bytes_out", self.simulated, 1.0),
            ("bytes in", "bytes_in", self.simulated, 1.0),
        ):
            seconds = []
            cores = [core for core in cores if core.name not in self.going]
            for at in range(first, last):
                whole = sum(getattr(core.seconds[at], key) for core in cores if at < len(core.seconds))
                seconds.append(whole * unit / len(cores))
            found[name] = sum(seconds) / max(1, len(seconds)), max(seconds, default=0.0)
        return found
