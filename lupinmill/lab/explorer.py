"""Model checker for the pure cores of `peers/`, run unchanged in small worlds: it explores every schedule
with a bounded number of departures from the default schedule.

The default schedule delivers datagrams in the order in which they were sent and advances time when none is in
flight. A departure is any other action that the world allows: it delivers another datagram first, loses or
duplicates one, restarts or pauses a process, advances time early, or moves a wall clock. All schedules
without departures are explored first, then all with one, with two, and so on (delay bounding: Emmi, Qadeer,
Rakamaric 2011), each state once. So the first failure found is among the simplest, and `replay` reproduces
it from its text alone.

Worlds are plain values, copied by pickling; the module holds no state."""

from __future__ import annotations

import pickle
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from lupinmill.peers import wire
from lupinmill.peers.elector import Elector, Memory, Persist
from lupinmill.peers.membership import Membership
from lupinmill.peers.proposer import DecisionAccepted, LeaseAcquired, LeaseLost, Proposer
from lupinmill.peers.view import MS, SECOND, MemberChanged, MembershipTiming, Received, RosterEntry, Send
from lupinmill.peers.wire import Status
from lupinmill.workings import RandomSource

TOPIC = "rehearsal"
LEASE_DURATION = SECOND
CLOCK_START = 1_000 * SECOND
QUIET_PERIOD = 10 * SECOND
World = Any  # an `AgreementWorld` or a `MembershipWorld`

Action = tuple[str, int]  # kind of action, and index of its datagram or process


@dataclass
class InjectedFaults:
    """Faults that the explorer must detect: each breaks one part of a core."""

    elector_forgets: bool = False  # an elector votes after a restart without its stored promises
    half_is_majority: bool = False  # half of the electors counts as a majority
    wall_clock_leases: bool = False  # an elector measures leases by the wall clock
    reuses_ballots: bool = False  # a released and repeated claim restarts its ballot numbers


def half(electors: int) -> int:
    return electors // 2


@dataclass
class ModelProcess:
    """A process of the small world, and the state that outlives it."""

    name: str
    elector: Elector | None = None
    proposer: Proposer | None = None
    stored: bytes = b""
    clock_offset: int = 0  # of its monotonic clock
    clock_drift: int = 0  # of its monotonic clock, in thousandths
    wall_clock_offset: int = 0
    paused: bool = False
    starts: int = 0
    decided_epoch: int = 0  # epoch of its last decision


@dataclass
class AgreementWorld:
    """Electors, some of which request one lease and make one decision in each epoch they hold it."""

    size: int = 3
    proposer_count: int = 2  # the first processes propose
    has_storage: bool = True  # promises survive a restart
    horizon: int = 3 * SECOND
    faults: InjectedFaults = field(default_factory=InjectedFaults)
    now: int = 0
    processes: list[ModelProcess] = field(default_factory=list)
    in_flight: list[tuple[int, int, object]] = field(default_factory=list)  # from, to, body
    decisions: dict[int, tuple[int, bytes]] = field(default_factory=dict)
    epoch_holders: dict[int, str] = field(default_factory=dict)
    violation: str = ""

    def __post_init__(self) -> None:
        self.processes = [
            ModelProcess(
                f"m{index}", clock_offset=CLOCK_START + 17 * index * SECOND, clock_drift=(-4, 5, 0)[index % 3]
            )
            for index in range(self.size)
        ]
        for index in range(self.size):
            self.start(index, True)
        for index in range(self.size):
            self.step(index, [])

    def start(self, index: int, first: bool = False) -> None:
        process = self.processes[index]
        process.starts += 1
        start_id, now = process.starts * 100 + index, self.clock(index)
        names = [one.name for one in self.processes]
        memory = Memory() if first or self.faults.elector_forgets else None
        if self.has_storage and process.stored and not self.faults.elector_forgets:
            memory = msgspec.msgpack.decode(process.stored, type=Memory)
        process.elector = Elector(process.name, names, [TOPIC], LEASE_DURATION, start_id, now, memory)
        process.proposer = Proposer(process.name, names, LEASE_DURATION, start_id, start_id, now)
        if self.faults.half_is_majority:
            process.proposer.majority = half
        process.decided_epoch = 0

    def clock(self, index: int) -> int:
        process = self.processes[index]
        return process.clock_offset + self.now + self.now * process.clock_drift // 1000

    # Actions.

    def actions(self) -> list[Action]:
        """Possible actions, the default one first; empty at the end of the schedule."""
        if self.violation or self.now >= self.horizon:
            return []
        found: list[Action] = []
        for index, (_, to, _) in enumerate(self.in_flight):
            if not self.processes[to].paused:
                found.append(("deliver", index))
        found.append(("wait", 0))
        found += [("lose", index) for index in range(len(self.in_flight))]
        found += [("double", index) for index in range(len(self.in_flight))]
        for index, process in enumerate(self.processes):
            if self.may_restart(index):
                found.append(("restart", index))
            found.append(("go on" if process.paused else "stop", index))
            if process.proposer is not None and TOPIC in process.proposer.claims and not process.paused:
                found.append(("give up", index))
            if self.faults.wall_clock_leases:
                found.append(("move wall clock", index))
        return found

    def may_restart(self, index: int) -> bool:
        """Without stable storage, decisions are guaranteed to last only while no majority of the electors has
        lost its memory at the same time; beyond that, electors start from nothing (docs/peers.md)."""
        if self.has_storage or self.faults.elector_forgets:
            return True
        forgot = sum(
            process.elector is not None and not process.elector.votes() for process in self.processes
        )
        return (forgot + 1) * 2 < self.size

    def apply(self, action: Action) -> None:
        kind, index = action
        if kind == "deliver":
            sender, to, body = self.in_flight.pop(index)
            self.step(to, [Received(self.processes[sender].name, body)])
        elif kind == "lose":
            self.in_flight.pop(index)
        elif kind == "double":
            self.in_flight.append(self.in_flight[index])
        elif kind == "restart":
            self.processes[index].paused = False
            self.start(index)
            self.step(index, [])
        elif kind == "stop":
            self.processes[index].paused = True
        elif kind == "go on":
            self.processes[index].paused = False
            self.step(index, [])
        elif kind == "give up":
            process = self.processes[index]
            assert process.proposer is not None
            process.proposer.now = self.clock(index)
            process.proposer.release(TOPIC)
            if self.faults.reuses_ballots:
                process.proposer.ballot_numbers.clear()
            self.step(index, [])
        elif kind == "move wall clock":
            self.processes[index].wall_clock_offset += 60 * SECOND
        else:
            self.advance_time()

    def advance_time(self) -> None:
        """Advances to the next time at which a process has something to do."""
        due = min(
            (self.due(index) for index, process in enumerate(self.processes) if not process.paused),
            default=LEASE_DURATION // 2,
        )
        self.now = min(self.horizon, self.now + max(MS, due))
        for index, process in enumerate(self.processes):
            if not process.paused and self.due(index) <= 0:
                self.step(index, [])

    def due(self, index: int) -> int:
        """Microseconds from now until the process has something to do."""
        process = self.processes[index]
        assert process.proposer is not None and process.elector is not None
        times = [process.proposer.next_due(), process.elector.next_due()]
        now = self.clock(index)
        return min((when for when in times if when is not None), default=now + LEASE_DURATION // 2) - now

    def step(self, index: int, events: list[Received]) -> None:
        process = self.processes[index]
        assert process.proposer is not None and process.elector is not None
        pending, first = events, True
        while pending or first:
            first = False
            now, to_self = self.clock(index), []
            process.proposer.now = now
            if index < self.proposer_count:
                process.proposer.request(TOPIC)
            commands: list[object] = list(
                process.elector.step(
                    now + (process.wall_clock_offset if self.faults.wall_clock_leases else 0), pending
                )
            )
            commands += process.proposer.step(now, pending)
            if (epoch := process.proposer.held_epoch(TOPIC, now)) and process.decided_epoch != epoch:
                if process.proposer.decide(TOPIC, f"{process.name} {epoch}".encode()):
                    process.decided_epoch = epoch
                    commands += process.proposer.step(now, [])
            for command in commands:
                self.execute(index, command, to_self)
            pending = to_self
        self.check_invariants()

    def execute(self, index: int, command: object, to_self: list[Received]) -> None:
        process = self.processes[index]
        if isinstance(command, Persist):
            process.stored = command.data
            for send in command.then_send:
                self.execute(index, send, to_self)
        elif isinstance(command, Send):
            if command.to == process.name:
                to_self.append(Received(process.name, command.body))
            else:
                to = next(number for number, one in enumerate(self.processes) if one.name == command.to)
                self.in_flight.append((index, to, command.body))
        elif isinstance(command, LeaseAcquired):
            if self.epoch_holders.setdefault(command.epoch, process.name) != process.name:
                self.violation = (
                    f"epoch {command.epoch} was taken by {self.epoch_holders[command.epoch]}"
                    f" and by {process.name}"
                )
        elif isinstance(command, DecisionAccepted):
            previous = self.decisions.setdefault(command.version, (command.epoch, command.body))
            if previous[1] != command.body:
                self.violation = f"decision {command.version} is {previous[1]!r} and {command.body!r}"
            elif command.version < max(self.decisions):
                self.violation = f"decision {max(self.decisions)} was reported as accepted and is lost"
        else:
            assert isinstance(command, LeaseLost)

    def finish(self) -> None:
        """Nothing remains to be checked at the end."""

    def check_invariants(self) -> None:
        holders = [
            process.name
            for index, process in enumerate(self.processes)
            if process.proposer is not None and process.proposer.held_epoch(TOPIC, self.clock(index))
        ]
        if len(holders) > 1 and not self.violation:
            self.violation = f"{' and '.join(holders)} hold one lease at the same moment"


def ignore_progress(sender: str, previous: list[wire.TopicProgress]) -> None:
    """Replaces a member's handler of topic progress; module-level, so that a world can be pickled."""


class BelievesHearsay(Membership):
    """An injected fault: a reported death is believed at once, whatever its incarnation."""

    def apply_update(self, update: wire.MemberUpdate, reporter: str) -> None:
        target = self.members.get(update.name)
        if target is not None and update.status is Status.DEAD:
            self.set_status(target, Status.DEAD, update.incarnation, update.source, "told")
            return
        super().apply_update(update, reporter)


@dataclass
class MembershipWorld:
    """Members that already know each other, with departures until the horizon and then a quiet network.

    Invariants: a refuted suspicion never ends in a death, and all views agree in the end."""

    size: int = 3
    horizon: int = 400 * MS
    believes_hearsay: bool = False
    # The last member may report any other as dead, with its current incarnation.
    false_deaths: bool = False
    now: int = 0
    members: list[Membership | None] = field(default_factory=list)
    paused: list[bool] = field(default_factory=list)
    in_flight: list[tuple[int, int, Received]] = field(default_factory=list)
    # Highest incarnation seen alive, by observer and name.
    alive_incarnations: dict[tuple[int, str], int] = field(default_factory=dict)
    starts: int = 0
    violation: str = ""

    def __post_init__(self) -> None:
        self.names = [f"m{index}" for index in range(self.size)]
        self.members, self.paused = [None] * self.size, [False] * self.size
        horizon, self.horizon = self.horizon, 10**12
        for index in range(self.size):
            self.start(index)
        while self.now < 3 * SECOND or not self.agreed():
            self.apply(self.actions()[0])
        self.horizon = self.now + horizon

    def start(self, index: int) -> None:
        self.starts += 1
        membership_type = BelievesHearsay if self.believes_hearsay else Membership
        roster = [RosterEntry(name, f"127.0.0.1:{number + 1}") for number, name in enumerate(self.names)]
        member = membership_type(
            self.names[index], roster, MembershipTiming(), self.starts, CLOCK_START + self.now
        )
        member.on_progress = ignore_progress
        self.members[index], self.paused[index] = member, False
        for observer in range(self.size):
            self.alive_incarnations.pop((index, self.names[observer]), None)

    def actions(self) -> list[Action]:
        if self.violation or self.now >= self.horizon:
            return []
        found: list[Action] = [
            ("deliver", n) for n, (_, to, _) in enumerate(self.in_flight) if not self.paused[to]
        ]
        found.append(("wait", 0))
        found += [("lose", n) for n in range(len(self.in_flight))]
        found += [("double", n) for n in range(len(self.in_flight))]
        for index in range(self.size):
            found += [("restart", index), ("go on" if self.paused[index] else "stop", index)]
            if self.false_deaths and index < self.size - 1:
                found.append(("lie about", index))
        return found

    def apply(self, action: Action) -> None:
        kind, index = action
        if kind == "deliver":
            sender, to, received = self.in_flight.pop(index)
            self.step(to, [received])
        elif kind == "lose":
            self.in_flight.pop(index)
        elif kind == "double":
            self.in_flight.append(self.in_flight[index])
        elif kind == "restart":
            self.start(index)
        elif kind in ("stop", "go on"):
            self.paused[index] = kind == "stop"
        elif kind == "lie about":
            self.report_false_death(index)
        else:
            self.advance_time()

    def report_false_death(self, index: int) -> None:
        """The last member reports one as dead to all others, with the incarnation that it knows."""
        member = self.members[-1]
        assert member is not None
        incarnation = member.members[self.names[index]].incarnation
        ping = wire.Ping(0, Status.ALIVE, member.incarnation, Status.ALIVE, 0, 0)
        update = wire.MemberUpdate(self.names[index], Status.DEAD, incarnation, self.names[-1])
        for to in range(self.size - 1):
            self.in_flight.append((self.size - 1, to, Received(self.names[-1], ping, [update])))

    def advance_time(self) -> None:
        running = [
            member
            for index, member in enumerate(self.members)
            if member is not None and not self.paused[index]
        ]
        due = min((member.next_due() - CLOCK_START for member in running), default=self.now + 50 * MS)
        self.now = min(self.horizon, max(self.now + MS, due))
        for index, member in enumerate(self.members):
            if member is not None and not self.paused[index] and member.next_due() <= CLOCK_START + self.now:
                self.step(index, [])

    def step(self, index: int, events: list[Received]) -> None:
        member = self.members[index]
        assert member is not None
        for command in member.step(CLOCK_START + self.now, events):
            if isinstance(command, Send):
                to = self.names.index(command.to)
                self.in_flight.append((index, to, Received(self.names[index], command.body, command.updates)))
            elif isinstance(command, MemberChanged):
                self.check_invariants(index, command, member.members[command.name].incarnation)

    def check_invariants(self, index: int, command: MemberChanged, incarnation: int) -> None:
        key = (index, command.name)
        if command.after is Status.ALIVE:
            self.alive_incarnations[key] = max(incarnation, self.alive_incarnations.get(key, 0))
        elif command.after is Status.DEAD and incarnation < self.alive_incarnations.get(key, 0):
            self.violation = f"{self.names[index]} holds {command.name} dead although it had refuted that"

    def agreed(self) -> bool:
        return all(
            member is not None and all(one.status is Status.ALIVE for one in member.members.values())
            for member in self.members
        )

    def finish(self) -> None:
        """All resume and nothing is lost: within `QUIET_PERIOD` each member must hold every other alive."""
        if self.violation:
            return
        for index in range(self.size):
            self.paused[index] = False
        deadline = self.now + QUIET_PERIOD
        self.horizon = deadline
        while (
            self.now < deadline
            and not self.violation
            and not (self.agreed() and self.now > deadline - QUIET_PERIOD + SECOND)
        ):
            self.apply(self.actions()[0])
        if not self.violation and not self.agreed():
            held = [
                f"{member.name} holds {name} {one.status.name.lower()}"
                for member in self.members
                if member is not None
                for name, one in member.members.items()
                if one.status is not Status.ALIVE
            ]
            self.violation = (
                f"no agreement {QUIET_PERIOD // SECOND} s after the network is quiet: {', '.join(held)}"
            )


@dataclass
class Failure:
    """A failing schedule: its number of departures, and all its steps."""

    violation: str
    departures: int
    schedule: list[Action]

    def text(self) -> str:
        return "; ".join(f"{kind} {index}" for kind, index in self.schedule)


@dataclass
class Outcome:
    failure: Failure | None
    states: int
    departures: int  # all schedules with up to this many were explored
    complete: bool  # False: stopped at the limit on states


def explore(make_world: Callable[[], World], departures: int, states: int = 10**9) -> Outcome:
    """Explores breadth first by number of departures, so that the first failure has the fewest."""
    seen: set[int] = set()
    pending: list[tuple[bytes, Action | None, list[Action]]] = [(pickle.dumps(make_world()), None, [])]
    random_source = RandomSource(1)
    for depth in range(departures + 1):
        next_pending: list[tuple[bytes, Action | None, list[Action]]] = []
        if len(seen) < states:
            shuffle(pending, random_source)
        for data, action, prefix in pending:
            world = pickle.loads(data)
            schedule = list(prefix)
            if action is not None:
                world.apply(action)
                schedule.append(action)
            while True:
                if world.violation:
                    return Outcome(Failure(world.violation, depth, schedule), len(seen), depth, False)
                data = pickle.dumps(world)
                state_hash = hash(data)
                actions = world.actions()
                if state_hash in seen:
                    break
                if not actions:
                    world.finish()
                    if world.violation:
                        return Outcome(Failure(world.violation, depth, schedule), len(seen), depth, False)
                    break
                seen.add(state_hash)
                if len(seen) >= states:
                    return Outcome(None, len(seen), depth, False)
                if depth < departures:
                    next_pending += [(data, other, schedule[:]) for other in actions[1:]]
                world.apply(actions[0])
                schedule.append(actions[0])
        pending = next_pending
    return Outcome(None, len(seen), departures, True)


def shuffle(pending: list, random_source: RandomSource) -> None:
    """Shuffles one depth, so that a search with a limit on states samples all parts of it."""
    for index in range(len(pending) - 1, 0, -1):
        other = random_source.upto(index)
        pending[index], pending[other] = pending[other], pending[index]


def replay(make_world: Callable[[], World], text: str) -> str:
    """The violation under a schedule in the form of `Failure.text`; empty if there is none."""
    world = make_world()
    for part in text.split("; "):
        kind, _, index = part.rpartition(" ")
        world.apply((kind, int(index)))
        if world.violation:
            break
    world.finish()
    return world.violation


def walk(make_world: Callable[[], World], seed: int, share: float = 0.15) -> Failure | None:
    """One random schedule, with departures at `share` of its steps; reaches deeper than exhaustive search."""
    random_source, world, schedule, departures = RandomSource(seed), make_world(), [], 0
    while actions := world.actions():
        action = actions[0]
        if random_source.draw() < share:
            action, departures = actions[random_source.upto(len(actions) - 1)], departures + 1
        world.apply(action)
        schedule.append(action)
    world.finish()
    return Failure(world.violation, departures, schedule) if world.violation else None


def shrink(make_world: Callable[[], World], found: Failure) -> Failure:
    """Minimizes a failing schedule by removing steps as long as it still fails."""
    schedule = found.schedule
    size = max(1, len(schedule) // 2)
    while True:
        index = 0
        while index < len(schedule):
            shorter = schedule[:index] + schedule[index + size :]
            if violation := violation_of(make_world, shorter):
                schedule, found = shorter, Failure(violation, found.departures, shorter)
            else:
                index += size
        if size == 1:
            return found
        size = max(1, size // 2)


def violation_of(make_world: Callable[[], World], schedule: list[Action]) -> str:
    """The violation under a schedule; empty if there is none, or if a step is not possible."""
    world = make_world()
    for kind, index in schedule:
        bound = (
            len(world.processes)
            if kind in ("restart", "stop", "go on", "give up", "move wall clock", "wait")
            else len(world.in_flight)
        )
        if index >= bound:
            return ""
        world.apply((kind, index))
        if world.violation:
            return world.violation
    world.finish()
    return world.violation
