"""A model check of the very cores of `peers/`: small worlds, every schedule with a few departures from the
plain one.

The plain schedule delivers datagrams in the order in which they were sent and lets time pass when none is
left. A departure, one of the world's `departures`, delivers another one first, loses or doubles one, restarts
or stops a process, lets time pass early, moves a wall clock. All schedules with no departure are played
first, then all with one, with two, and so on (delay bounding: Emmi, Qadeer, Rakamaric 2011), each state once;
so the first failure found is among the simplest, and `replay` plays it from its text alone.

Owns nothing: worlds are values, copied as pickles."""

from __future__ import annotations

import pickle
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from lupinmill.peers.proposer import DecisionAccepted, Proposer, LeaseLost, LeaseAcquired
from lupinmill.peers.elector import Elector, Persist, Memory
from lupinmill.peers import wire
from lupinmill.peers.membership import Membership
from lupinmill.peers.view import MS, SECOND, MemberChanged, Received, RosterEntry, Send, MembershipTiming
from lupinmill.peers.wire import Status
from lupinmill.workings import RandomSource

TOPIC = "rehearsal"
SPAN = SECOND
BEGIN = 1_000 * SECOND
QUIET = 10 * SECOND
World = Any  # an `AgreementWorld` or a `MembershipWorld`

Action = tuple[str, int]  # what, and with which datagram or host


@dataclass
class Planted:
    """Faults that the explorer must find: each makes one part of a core wrong."""

    forgets: bool = False  # an elector votes after a restart without its memory
    miscounts: bool = False  # half of the electors count as a majority
    wall: bool = False  # an elector judges leases by the wall clock
    reuses: bool = False  # a claim that is wanted anew begins its ballots anew


def half(electors: int) -> int:
    return electors // 2


@dataclass
class Box:
    """A process of the small world, and what outlives it."""

    name: str
    elector: Elector | None = None
    claims: Proposer | None = None
    disk: bytes = b""
    ahead: int = 0  # of its monotonic clock, ...
    pace: int = 0  # ... which runs so many thousandths faster
    wall: int = 0  # by which its wall clock was moved
    paused: bool = False
    lives: int = 0
    decided: int = 0  # epoch under which it has decided


@dataclass
class AgreementWorld:
    """Electors, some of whom want one lease and decide once under each holding of it."""

    size: int = 3
    wanting: int = 2  # the first ones
    keeps: bool = True  # promises outlive a restart
    horizon: int = 3 * SECOND
    planted: Planted = field(default_factory=Planted)
    now: int = 0
    boxes: list[Box] = field(default_factory=list)
    flying: list[tuple[int, int, object]] = field(default_factory=list)  # from, to, body
    made: dict[int, tuple[int, bytes]] = field(default_factory=dict)
    taken: dict[int, str] = field(default_factory=dict)
    wrong: str = ""

    def __post_init__(self) -> None:
        self.boxes = [
            Box(f"m{at}", ahead=BEGIN + 17 * at * SECOND, pace=(-4, 5, 0)[at % 3]) for at in range(self.size)
        ]
        for at in range(self.size):
            self.start(at, True)
        for at in range(self.size):
            self.step(at, [])

    def start(self, at: int, first: bool = False) -> None:
        box = self.boxes[at]
        box.lives += 1
        life, now = box.lives * 100 + at, self.clock(at)
        names = [one.name for one in self.boxes]
        memory = Memory() if first or self.planted.forgets else None
        if self.keeps and box.disk and not self.planted.forgets:
            memory = msgspec.msgpack.decode(box.disk, type=Memory)
        box.elector = Elector(box.name, names, [TOPIC], SPAN, life, now, memory)
        box.claims = Proposer(box.name, names, SPAN, life, life, now)
        if self.planted.miscounts:
            box.claims.majority = half
        box.decided = 0

    def clock(self, at: int) -> int:
        box = self.boxes[at]
        return box.ahead + self.now + self.now * box.pace // 1000

    # What can happen.

    def actions(self) -> list[Action]:
        """The plain one first. Empty: the world has ended."""
        if self.wrong or self.now >= self.horizon:
            return []
        found: list[Action] = []
        for index, (_, to, _) in enumerate(self.flying):
            if not self.boxes[to].paused:
                found.append(("deliver", index))
        found.append(("wait", 0))
        found += [("lose", index) for index in range(len(self.flying))]
        found += [("double", index) for index in range(len(self.flying))]
        for at, box in enumerate(self.boxes):
            if self.may_restart(at):
                found.append(("restart", at))
            found.append(("go on" if box.paused else "stop", at))
            if box.claims is not None and TOPIC in box.claims.claims and not box.paused:
                found.append(("give up", at))
            if self.planted.wall:
                found.append(("move wall clock", at))
        return found

    def may_restart(self, at: int) -> bool:
        """Without a directory decisions are promised to last only while no majority of the electors has
        forgotten at a time: beyond that each begins anew, as docs/peers.md says."""
        if self.keeps or self.planted.forgets:
            return True
        forgot = sum(box.elector is not None and not box.elector.votes() for box in self.boxes)
        return (forgot + 1) * 2 < self.size

    def apply(self, action: Action) -> None:
        what, at = action
        if what == "deliver":
            sender, to, body = self.flying.pop(at)
            self.step(to, [Received(self.boxes[sender].name, body)])
        elif what == "lose":
            self.flying.pop(at)
        elif what == "double":
            self.flying.append(self.flying[at])
        elif what == "restart":
            self.boxes[at].paused = False
            self.start(at)
            self.step(at, [])
        elif what == "stop":
            self.boxes[at].paused = True
        elif what == "go on":
            self.boxes[at].paused = False
            self.step(at, [])
        elif what == "give up":
            box = self.boxes[at]
            assert box.claims is not None
            box.claims.now = self.clock(at)
            box.claims.release(TOPIC)
            if self.planted.reuses:
                box.claims.ballot_numbers.clear()
            self.step(at, [])
        elif what == "move wall clock":
            self.boxes[at].wall += 60 * SECOND
        else:
            self.pass_time()

    def pass_time(self) -> None:
        """To when the next process has something to do."""
        due = min((self.due(at) for at, box in enumerate(self.boxes) if not box.paused), default=SPAN // 2)
        self.now = min(self.horizon, self.now + max(MS, due))
        for at, box in enumerate(self.boxes):
            if not box.paused and self.due(at) <= 0:
                self.step(at, [])

    def due(self, at: int) -> int:
        """Microseconds from now until the process has something to do."""
        box = self.boxes[at]
        assert box.claims is not None and box.elector is not None
        times = [box.claims.next_due(), box.elector.next_due()]
        now = self.clock(at)
        return min((when for when in times if when is not None), default=now + SPAN // 2) - now

    def step(self, at: int, notes: list[Received]) -> None:
        box = self.boxes[at]
        assert box.claims is not None and box.elector is not None
        pending, first = notes, True
        while pending or first:
            first = False
            now, own = self.clock(at), []
            box.claims.now = now
            if at < self.wanting:
                box.claims.request(TOPIC)
            orders: list[object] = list(
                box.elector.step(now + (box.wall if self.planted.wall else 0), pending)
            )
            orders += box.claims.step(now, pending)
            if (epoch := box.claims.held_epoch(TOPIC, now)) and box.decided != epoch:
                if box.claims.decide(TOPIC, f"{box.name} {epoch}".encode()):
                    box.decided = epoch
                    orders += box.claims.step(now, [])
            for order in orders:
                self.carry_out(at, order, own)
            pending = own
        self.judge()

    def carry_out(self, at: int, order: object, own: list[Received]) -> None:
        box = self.boxes[at]
        if isinstance(order, Persist):
            box.disk = order.data
            for send in order.then_send:
                self.carry_out(at, send, own)
        elif isinstance(order, Send):
            if order.to == box.name:
                own.append(Received(box.name, order.body))
            else:
                to = next(index for index, one in enumerate(self.boxes) if one.name == order.to)
                self.flying.append((at, to, order.body))
        elif isinstance(order, LeaseAcquired):
            if self.taken.setdefault(order.epoch, box.name) != box.name:
                self.wrong = f"epoch {order.epoch} was taken by {self.taken[order.epoch]} and by {box.name}"
        elif isinstance(order, DecisionAccepted):
            told = self.made.setdefault(order.version, (order.epoch, order.body))
            if told[1] != order.body:
                self.wrong = f"decision {order.version} is {told[1]!r} and {order.body!r}"
            elif order.version < max(self.made):
                self.wrong = f"decision {max(self.made)} was told as made and is lost"
        else:
            assert isinstance(order, LeaseLost)

    def finish(self) -> None:
        """Nothing is owed at the end."""

    def judge(self) -> None:
        holders = [
            box.name
            for at, box in enumerate(self.boxes)
            if box.claims is not None and box.claims.held_epoch(TOPIC, self.clock(at))
        ]
        if len(holders) > 1 and not self.wrong:
            self.wrong = f"{' and '.join(holders)} hold one lease at the same moment"


def nothing_decided(sender: str, told: list[wire.TopicProgress]) -> None:
    """In place of what a whole member does about another's table; by name, so that a world can be copied."""


class Gullible(Membership):
    """A planted fault: hearsay of a death is believed at once, whatever the incarnation."""

    def apply_update(self, note: wire.MemberUpdate, reporter: str) -> None:
        member = self.members.get(note.name)
        if member is not None and note.status is Status.DEAD:
            self.set_status(member, Status.DEAD, note.incarnation, note.source, "told")
            return
        super().apply_update(note, reporter)


@dataclass
class MembershipWorld:
    """Members that know each other already; then departures until the horizon, then a quiet network.

    A refuted suspicion never ends as a death, and views agree in the end."""

    size: int = 3
    horizon: int = 400 * MS
    gullible: bool = False
    liar: bool = False  # old and false words of a death may be said of each, in the last member's name
    now: int = 0
    cores: list[Membership | None] = field(default_factory=list)
    paused: list[bool] = field(default_factory=list)
    flying: list[tuple[int, int, Received]] = field(default_factory=list)
    alive_at: dict[tuple[int, str], int] = field(default_factory=dict)  # incarnation held for alive, by whom
    lives: int = 0
    wrong: str = ""

    def __post_init__(self) -> None:
        self.names = [f"m{at}" for at in range(self.size)]
        self.cores, self.paused = [None] * self.size, [False] * self.size
        horizon, self.horizon = self.horizon, 10**12
        for at in range(self.size):
            self.start(at)
        while self.now < 3 * SECOND or not self.agreed():
            self.apply(self.actions()[0])
        self.horizon = self.now + horizon

    def start(self, at: int) -> None:
        self.lives += 1
        kind = Gullible if self.gullible else Membership
        seats = [RosterEntry(name, f"127.0.0.1:{index + 1}") for index, name in enumerate(self.names)]
        core = kind(self.names[at], seats, MembershipTiming(), self.lives, BEGIN + self.now)
        core.on_progress = nothing_decided
        self.cores[at], self.paused[at] = core, False
        for observer in range(self.size):
            self.alive_at.pop((at, self.names[observer]), None)

    def actions(self) -> list[Action]:
        if self.wrong or self.now >= self.horizon:
            return []
        found: list[Action] = [
            ("deliver", n) for n, (_, to, _) in enumerate(self.flying) if not self.paused[to]
        ]
        found.append(("wait", 0))
        found += [("lose", n) for n in range(len(self.flying))]
        found += [("double", n) for n in range(len(self.flying))]
        for at in range(self.size):
            found += [("restart", at), ("go on" if self.paused[at] else "stop", at)]
            if self.liar and at < self.size - 1:
                found.append(("lie about", at))
        return found

    def apply(self, action: Action) -> None:
        what, at = action
        if what == "deliver":
            sender, to, heard = self.flying.pop(at)
            self.step(to, [heard])
        elif what == "lose":
            self.flying.pop(at)
        elif what == "double":
            self.flying.append(self.flying[at])
        elif what == "restart":
            self.start(at)
        elif what in ("stop", "go on"):
            self.paused[at] = what == "stop"
        elif what == "lie about":
            self.lie(at)
        else:
            self.pass_time()

    def lie(self, at: int) -> None:
        """The last member says to all that one is dead, under the incarnation that it holds."""
        core = self.cores[-1]
        assert core is not None
        incarnation = core.members[self.names[at]].incarnation
        ping = wire.Ping(0, Status.ALIVE, core.incarnation, Status.ALIVE, 0, 0)
        note = wire.MemberUpdate(self.names[at], Status.DEAD, incarnation, self.names[-1])
        for to in range(self.size - 1):
            self.flying.append((self.size - 1, to, Received(self.names[-1], ping, [note])))

    def pass_time(self) -> None:
        running = [core for at, core in enumerate(self.cores) if core is not None and not self.paused[at]]
        due = min((core.next_due() - BEGIN for core in running), default=self.now + 50 * MS)
        self.now = min(self.horizon, max(self.now + MS, due))
        for at, core in enumerate(self.cores):
            if core is not None and not self.paused[at] and core.next_due() <= BEGIN + self.now:
                self.step(at, [])

    def step(self, at: int, notes: list[Received]) -> None:
        core = self.cores[at]
        assert core is not None
        for order in core.step(BEGIN + self.now, notes):
            if isinstance(order, Send):
                to = self.names.index(order.to)
                self.flying.append((at, to, Received(self.names[at], order.body, order.updates)))
            elif isinstance(order, MemberChanged):
                self.judge(at, order, core.members[order.name].incarnation)

    def judge(self, at: int, order: MemberChanged, incarnation: int) -> None:
        key = (at, order.name)
        if order.after is Status.ALIVE:
            self.alive_at[key] = max(incarnation, self.alive_at.get(key, 0))
        elif order.after is Status.DEAD and incarnation < self.alive_at.get(key, 0):
            self.wrong = f"{self.names[at]} holds {order.name} dead that had refuted it"

    def agreed(self) -> bool:
        return all(
            core is not None and all(one.status is Status.ALIVE for one in core.members.values())
            for core in self.cores
        )

    def finish(self) -> None:
        """Everyone goes on and nothing is lost any more: within some seconds all hold all for alive."""
        if self.wrong:
            return
        for at in range(self.size):
            self.paused[at] = False
        ends = self.now + QUIET
        self.horizon = ends
        while self.now < ends and not self.wrong and not (self.agreed() and self.now > ends - QUIET + SECOND):
            self.apply(self.actions()[0])
        if not self.wrong and not self.agreed():
            held = [
                f"{core.name} holds {name} {one.status.name.lower()}"
                for core in self.cores
                if core is not None
                for name, one in core.members.items()
                if one.status is not Status.ALIVE
            ]
            self.wrong = f"no agreement {QUIET // SECOND} s after the network is quiet: {', '.join(held)}"


@dataclass
class Found:
    """A failing schedule: its departures, and all steps."""

    wrong: str
    departures: int
    schedule: list[Action]

    def text(self) -> str:
        return "; ".join(f"{what} {at}" for what, at in self.schedule)


@dataclass
class Outcome:
    found: Found | None
    states: int
    departures: int  # all schedules with so many were played
    whole: bool  # else the bound on states ended it


def explore(make: Callable[[], World], departures: int, states: int = 10**9) -> Outcome:
    """Breadth first by departures, so that the first failure has the fewest."""
    seen: set[int] = set()
    level: list[tuple[bytes, Action | None, list[Action]]] = [(pickle.dumps(make()), None, [])]
    random_source = RandomSource(1)
    for deep in range(departures + 1):
        following: list[tuple[bytes, Action | None, list[Action]]] = []
        if len(seen) < states:
            shuffle(level, random_source)
        for data, action, before in level:
            world = pickle.loads(data)
            schedule = list(before)
            if action is not None:
                world.apply(action)
                schedule.append(action)
            while True:
                if world.wrong:
                    return Outcome(Found(world.wrong, deep, schedule), len(seen), deep, False)
                data = pickle.dumps(world)
                mark = hash(data)
                actions = world.actions()
                if mark in seen:
                    break
                if not actions:
                    world.finish()
                    if world.wrong:
                        return Outcome(Found(world.wrong, deep, schedule), len(seen), deep, False)
                    break
                seen.add(mark)
                if len(seen) >= states:
                    return Outcome(None, len(seen), deep, False)
                if deep < departures:
                    following += [(data, other, schedule[:]) for other in actions[1:]]
                world.apply(actions[0])
                schedule.append(actions[0])
        level = following
    return Outcome(None, len(seen), departures, True)


def shuffle(level: list, random_source: RandomSource) -> None:
    """A bounded search shall see some of every part of a level."""
    for at in range(len(level) - 1, 0, -1):
        other = random_source.upto(at)
        level[at], level[other] = level[other], level[at]


def replay(make: Callable[[], World], text: str) -> str:
    """What goes wrong under a schedule as `Found.text` writes it; empty: nothing."""
    world = make()
    for part in text.split("; "):
        what, _, at = part.rpartition(" ")
        world.apply((what, int(at)))
        if world.wrong:
            break
    world.finish()
    return world.wrong


def walk(make: Callable[[], World], seed: int, share: float = 0.15) -> Found | None:
    """One schedule by chance, with departures at `share` of its steps: deeper than every order can be
    tried."""
    random_source, world, schedule, departures = RandomSource(seed), make(), [], 0
    while actions := world.actions():
        action = actions[0]
        if random_source.draw() < share:
            action, departures = actions[random_source.upto(len(actions) - 1)], departures + 1
        world.apply(action)
        schedule.append(action)
    world.finish()
    return Found(world.wrong, departures, schedule) if world.wrong else None


def shortened(make: Callable[[], World], found: Found) -> Found:
    """Leaves out steps as long as it still goes wrong."""
    schedule = found.schedule
    size = max(1, len(schedule) // 2)
    while True:
        at = 0
        while at < len(schedule):
            shorter = schedule[:at] + schedule[at + size :]
            if wrong := played(make, shorter):
                schedule, found = shorter, Found(wrong, found.departures, shorter)
            else:
                at += size
        if size == 1:
            return found
        size = max(1, size // 2)


def played(make: Callable[[], World], schedule: list[Action]) -> str:
    world = make()
    for what, at in schedule:
        bound = (
            len(world.boxes)
            if what in ("restart", "stop", "go on", "give up", "move wall clock", "wait")
            else len(world.flying)
        )
        if at >= bound:
            return ""
        world.apply((what, at))
        if world.wrong:
            return world.wrong
    world.finish()
    return world.wrong
