"""A small world around the very cores of `takeover/`: an owner, two others, three keepers, one submission,
and every order of delivery, loss, doubling, crash, restart and delay within bounds. A schedule is a list of
departures from the plain run, so that what fails is told shortest first and can be played again.

Owns nothing that outlives a run."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from itertools import combinations, product

from lupinmill import terms as t
from lupinmill.takeover.claimant import (
    AddIntent,
    AttemptCleared,
    AttemptEnded,
    Claimant,
    ClaimantEvent,
    EndStored,
    Fenced,
    FinishRecord,
    KeeperReply,
    RecordClaimed,
    SendRequest,
    StartRecord,
    TakeOver,
    Unprotected,
)
from lupinmill.takeover.keeper import Keeper, Request
from lupinmill.takeover.record import Intent, NextAction, Outcome, RequestInfo, next_step

MS = 1_000
LONGEST = 8_000 * MS
WINDOW = 3_000 * MS
HARD = 2_000 * MS
STEP = MS // 2  # that each event takes
STOPPED = 5_000 * MS
MOST_EVENTS = 260
KEEPERS = ("k0", "k1", "k2")
PROCESSES = ("o", "t", "u")
KEY = "bid-1"
GROUPS = {"e1": "north", "e2": "south"}
PLANTS = ("", "launch before intent", "claim by minority", "keeper forgets", "stale clearance")


@dataclass(frozen=True)
class Departure:
    """At event `at` something else than the next in line. `what`: late (the message goes to the end of the
    line), lost, twice, crash (of the owner), stop (of the owner, for longer than the window), again (the
    client comes to another sidecar), early (another takes over though the owner lives), restart (of a keeper,
    its records gone)."""

    at: int
    what: str
    whom: int = 0


KINDS = ("late", "lost", "twice", "crash", "stop", "again", "early", "restart")


@dataclass
class Event:
    to: str
    sender: str
    body: object  # a message, a launch's Intent, or an outcome


@dataclass
class Effect:
    at: int
    process: str
    intent: Intent


class World:
    def __init__(self, repeat: t.RepeatPolicy, first_refused: bool, plant: str = "") -> None:
        self.repeat, self.first_refused, self.plant = repeat, first_refused, plant
        self.now = 1_000 * MS
        self.keepers = {name: Keeper(self.now, LONGEST, 100, 10**6, has_memory=True) for name in KEEPERS}
        self.hands = {name: self.hand(f"{name}:1") for name in PROCESSES}
        self.line: list[Event] = []
        self.effects: list[Effect] = []
        self.cleared: dict[Intent, str] = {}
        self.answers: dict[str, str] = {}  # what a process told its client
        self.kept = False
        self.down: set[str] = set()
        self.stopped: dict[str, int] = {}
        self.began = self.now
        self.taken_over, self.came_again = 0, False
        self.trace: list[str] = []

    def hand(self, process: str) -> Claimant:
        hand = Claimant(process, lambda key: KEEPERS)
        if self.plant == "claim by minority":
            hand.majority = lambda count: 1
        return hand

    # The run.

    def play(self, schedule: tuple[Departure, ...]) -> None:
        due = {departure.at: departure for departure in schedule}
        work = RequestInfo(
            KEY, "bid", self.repeat, WINDOW if self.repeat is t.RepeatPolicy.DEDUPLICATED else 0, digest=7
        )
        self.work = work
        self.tell("o", StartRecord(work, "e1", GROUPS["e1"]))
        for number in range(MOST_EVENTS):
            if number in due:
                self.depart(due[number])
            if not self.one_event() and number > max(due, default=0):
                break

    def one_event(self) -> bool:
        """The next in line, else the clock goes on to what is due; False: nothing more happens."""
        self.now += STEP
        for name, until in list(self.stopped.items()):
            if self.now >= until:
                del self.stopped[name]
        ready = [at for at, event in enumerate(self.line) if event.to not in self.stopped]
        if ready:
            self.deliver(self.line.pop(ready[0]))
            return True
        if "o" in self.stopped and not self.taken_over:
            self.take_over()  # others hold it dead long before it goes on
            return True
        times = [h.next_due() for n, h in self.hands.items() if n not in self.down and n not in self.stopped]
        times += list(self.stopped.values())
        times = [at for at in times if at is not None]
        if times:
            self.now = max(self.now, min(times))
            for name in PROCESSES:
                if name not in self.down and name not in self.stopped:
                    self.tell(name)
            return True
        if "o" in self.down and not self.came_again:
            self.come_again()  # its client, at another sidecar
            return True
        if not self.kept and self.taken_over < 4 and self.now < self.began + LONGEST:
            self.take_over()
            return True
        return False

    def come_again(self) -> None:
        """Within the hard limit; what a client asks for long after that is a new thing to do."""
        self.came_again = True
        if self.now - self.began < HARD:
            self.tell("u", StartRecord(self.work, "e2", GROUPS["e2"]))

    def take_over(self) -> None:
        """Sooner or later the owner is held dead, and somebody's turn comes."""
        self.taken_over += 1
        self.tell("t" if self.taken_over % 2 else "u", TakeOver(KEY))

    def depart(self, departure: Departure) -> None:
        what = departure.what
        self.trace.append(f"{departure}")
        if what in ("late", "lost", "twice"):
            at = min(departure.whom, len(self.line) - 1)
            if at < 0 or not self.is_message(self.line[at]) and what != "late":
                return
            event = self.line.pop(at) if what != "twice" else self.line[at]
            if what != "lost":
                self.line.append(replace(event))
        elif what == "crash":
            self.down.add("o")
            self.line = [event for event in self.line if event.to != "o"]
        elif what == "stop":
            self.stopped["o"] = self.now + STOPPED
        elif what == "again":
            self.come_again()
        elif what == "early":
            self.take_over()
        elif what == "restart":
            name = KEEPERS[departure.whom % len(KEEPERS)]
            self.keepers[name] = Keeper(
                self.now, LONGEST, 100, 10**6, has_memory=self.plant == "keeper forgets"
            )

    def is_message(self, event: Event) -> bool:
        return event.to in KEEPERS or event.sender in KEEPERS

    def deliver(self, event: Event) -> None:
        self.trace.append(f"{self.now - self.began:>9} {event.sender}>{event.to} {event.body}"[:160])
        if event.to in KEEPERS:
            answer = self.keepers[event.to].step(self.now, event.body)  # type: ignore[arg-type]
            if answer is not None:
                self.line.append(Event(event.sender, event.to, answer))
        elif event.sender in KEEPERS:
            self.tell(event.to, KeeperReply(event.sender, event.body))  # type: ignore[arg-type]
        elif event.to in self.down:
            return
        elif isinstance(event.body, SendRequest):
            self.line.append(Event(event.body.to, event.to, event.body.body))
        elif isinstance(event.body, AttemptCleared):
            self.launch(event.to, event.body)
        elif isinstance(event.body, tuple):
            self.outcome(event.to, *event.body)

    # What the program around the cores does.

    def tell(self, name: str, *notes: ClaimantEvent) -> None:
        if name in self.down:
            return
        for order in self.hands[name].step(self.now, list(notes)):
            if isinstance(order, SendRequest):
                if self.plant == "launch before intent":
                    self.launch_unasked(name, order.body)
                    self.line.append(Event(name, name, order))
                else:
                    self.line.append(Event(order.to, name, order.body))
            elif isinstance(order, AttemptCleared):
                if self.plant != "launch before intent":
                    self.cleared[order.intent] = name
                    self.line.append(Event(name, name, order))
            elif isinstance(order, RecordClaimed):
                self.go_on(name, order)
            elif isinstance(order, Unprotected):
                self.answers.setdefault(name, "denied")
            elif isinstance(order, EndStored):
                self.kept = True
            elif isinstance(order, Fenced):
                self.trace.append(f"{name} is fenced")

    def launch_unasked(self, name: str, body: Request) -> None:
        record = getattr(body, "record", None)
        for intent in sorted(record.intents if record else (), key=lambda i: (i.ballot, i.number)):
            if intent.ballot.process == f"{name}:1" and intent not in self.cleared:
                self.cleared[intent] = name
                self.line.append(Event(name, name, AttemptCleared(KEY, intent, self.now + 10**12)))

    def launch(self, name: str, order: AttemptCleared) -> None:
        """The last look at the clock is just before the first byte."""
        if self.now > order.deadline and self.plant != "stale clearance":
            self.trace.append(f"{name} lets {order.intent.number} go: it was cleared too long ago")
            return
        refused = self.first_refused and order.intent.ballot.number == 1 and order.intent.number == 0
        if not refused:
            self.effects.append(Effect(self.now, name, order.intent))
        how = Outcome.NEVER_RAN if refused else Outcome.HANDLED
        self.line.append(Event(name, "endpoint", (order.intent, how)))

    def outcome(self, name: str, intent: Intent, how: Outcome) -> None:
        self.tell(name, AttemptEnded(intent, KEY, how))
        if how is Outcome.HANDLED:
            self.answers.setdefault(name, "handled")
            self.tell(name, FinishRecord(KEY, "handled", b"yes"))
        else:
            self.tell(name, AddIntent(KEY, "e2", GROUPS["e2"]))

    def go_on(self, name: str, order: RecordClaimed) -> None:
        step = next_step(order.record, order.oldest_age, self.began + HARD - self.now + LONGEST, 20 * MS)
        if step.action is NextAction.ANYWHERE:
            self.tell(name, AddIntent(KEY, "e2", GROUPS["e2"]))
        elif step.action is NextAction.IN_GROUP:
            endpoint = next(e for e, group in GROUPS.items() if group == step.group)
            self.tell(name, AddIntent(KEY, endpoint, step.group))
        elif step.action is not NextAction.ENDED:
            self.tell(name, FinishRecord(KEY, step.action.value))

    # What must hold.

    def broken(self) -> list[str]:
        found = []
        if self.repeat is t.RepeatPolicy.UNREPEATABLE and len(self.effects) > 1:
            found.append(f"ran {len(self.effects)} times")
        if self.repeat is t.RepeatPolicy.DEDUPLICATED:
            groups = {effect.intent.group for effect in self.effects}
            if len(groups) > 1:
                found.append(f"its effect came about in {len(groups)} groups")
            for group in groups:
                times = [effect.at for effect in self.effects if effect.intent.group == group]
                if max(times) - min(times) >= WINDOW:
                    found.append("its effect came about again after the window")
        ballots: dict[object, set[str]] = {}
        for intent, name in self.cleared.items():
            ballots.setdefault(intent.ballot, set()).add(name)
        found += [f"two launch under {ballot}" for ballot, names in ballots.items() if len(names) > 1]
        return found


@dataclass
class Found:
    played: int = 0
    broken: list[tuple[tuple[Departure, ...], list[str], list[str]]] = field(default_factory=list)
    stuck: list[tuple[Departure, ...]] = field(default_factory=list)


WORLDS = [
    (t.RepeatPolicy.UNREPEATABLE, False),
    (t.RepeatPolicy.UNREPEATABLE, True),
    (t.RepeatPolicy.DEDUPLICATED, False),
    (t.RepeatPolicy.DEDUPLICATED, True),
]


def moves(events: int) -> list[Departure]:
    found = []
    for at, what in product(range(events), KINDS):
        some = {"late": 3, "lost": 3, "twice": 3, "restart": 3}.get(what, 1)
        found += [Departure(at, what, whom) for whom in range(some)]
    return found


def schedules(departures: int, events: int) -> Iterator[tuple[Departure, ...]]:
    """All with up to so many, the shortest first; one at each event."""
    every = moves(events)
    for count in range(departures + 1):
        for chosen in combinations(every, count):
            if len({departure.at for departure in chosen}) == count:
                yield chosen


def walks(seed: int, count: int, events: int) -> Iterator[tuple[Departure, ...]]:
    chance, every = random.Random(seed), moves(events)
    for _ in range(count):
        chosen = chance.sample(every, chance.randint(2, 7))
        yield tuple({departure.at: departure for departure in chosen}.values())


def look(chosen: Iterator[tuple[Departure, ...]], plant: str = "", most_broken: int = 1) -> Found:
    """Plays each schedule in each world. `stuck`: nobody ended it, though a majority of the keepers answers
    and somebody took over."""
    found = Found()
    for schedule in chosen:
        for repeat, refused in WORLDS:
            world = World(repeat, refused, plant)
            world.play(schedule)
            found.played += 1
            if broken := world.broken():
                found.broken.append((schedule, broken, world.trace))
                if len(found.broken) >= most_broken:
                    return found
            restarts = len({d.whom % 3 for d in schedule if d.what == "restart"})
            if not world.kept and restarts < 2:
                found.stuck.append(schedule)
    return found
