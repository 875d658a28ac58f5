"""Model checker for the pure cores of `takeover/`, run unchanged: an owner, two other sidecars, three keepers
and one request, under every order of delivery, loss, duplication, crash, restart and delay within bounds. A
schedule is a list of departures from the default run, so that failures are found with the fewest departures
first and can be replayed.

No state outlives a run."""

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
RETENTION = 8_000 * MS
DEDUPLICATION_WINDOW = 3_000 * MS
HARD_LIMIT = 2_000 * MS
EVENT_DURATION = MS // 2
PAUSE_DURATION = 5_000 * MS
MAX_EVENTS = 260
KEEPERS = ("k0", "k1", "k2")
PROCESSES = ("o", "t", "u")
KEY = "bid-1"
GROUPS = {"e1": "north", "e2": "south"}
INJECTED_FAULTS = ("", "launch before intent", "claim by minority", "keeper forgets", "stale clearance")


@dataclass(frozen=True)
class Departure:
    """At event number `at`, something other than the next event in the queue.

    `kind`: late (the message moves to the end of the queue), lost, twice, crash (of the owner), stop (of the
    owner, for longer than the window), again (the client retries at another sidecar), early (another sidecar
    takes over although the owner is alive), restart (of a keeper, which loses its records)."""

    at: int
    kind: str
    target: int = 0


DEPARTURE_KINDS = ("late", "lost", "twice", "crash", "stop", "again", "early", "restart")


@dataclass
class Event:
    to: str
    sender: str
    body: object  # a message, a cleared attempt, or the outcome of an attempt


@dataclass
class Effect:
    at: int
    process: str
    intent: Intent


class World:
    def __init__(self, repeat: t.RepeatPolicy, first_refused: bool, fault: str = "") -> None:
        self.repeat, self.first_refused, self.fault = repeat, first_refused, fault
        self.now = 1_000 * MS
        self.keepers = {name: Keeper(self.now, RETENTION, 100, 10**6, has_memory=True) for name in KEEPERS}
        self.claimants = {name: self.make_claimant(f"{name}:1") for name in PROCESSES}
        self.queue: list[Event] = []
        self.effects: list[Effect] = []
        self.cleared: dict[Intent, str] = {}
        self.replies: dict[str, str] = {}  # by process: what it answered its client
        self.end_stored = False
        self.crashed: set[str] = set()
        self.paused_until: dict[str, int] = {}
        self.started_at = self.now
        self.takeover_count, self.client_retried = 0, False
        self.trace: list[str] = []

    def make_claimant(self, process: str) -> Claimant:
        claimant = Claimant(process, lambda key: KEEPERS)
        if self.fault == "claim by minority":
            claimant.majority = lambda count: 1
        return claimant

    # Events.

    def run(self, schedule: tuple[Departure, ...]) -> None:
        due = {departure.at: departure for departure in schedule}
        request_info = RequestInfo(
            KEY,
            "bid",
            self.repeat,
            DEDUPLICATION_WINDOW if self.repeat is t.RepeatPolicy.DEDUPLICATED else 0,
            digest=7,
        )
        self.request_info = request_info
        self.step_claimant("o", StartRecord(request_info, "e1", GROUPS["e1"]))
        for number in range(MAX_EVENTS):
            if number in due:
                self.apply_departure(due[number])
            if not self.run_next_event() and number > max(due, default=0):
                break

    def run_next_event(self) -> bool:
        """Delivers the next event, or advances to the next timer. False if nothing is left to do."""
        self.now += EVENT_DURATION
        for name, until in list(self.paused_until.items()):
            if self.now >= until:
                del self.paused_until[name]
        ready = [at for at, event in enumerate(self.queue) if event.to not in self.paused_until]
        if ready:
            self.deliver(self.queue.pop(ready[0]))
            return True
        if "o" in self.paused_until and not self.takeover_count:
            self.take_over()  # the others hold the owner dead long before it resumes
            return True
        times = [
            h.next_due()
            for n, h in self.claimants.items()
            if n not in self.crashed and n not in self.paused_until
        ]
        times += list(self.paused_until.values())
        times = [at for at in times if at is not None]
        if times:
            self.now = max(self.now, min(times))
            for name in PROCESSES:
                if name not in self.crashed and name not in self.paused_until:
                    self.step_claimant(name)
            return True
        if "o" in self.crashed and not self.client_retried:
            self.retry_from_client()  # at another sidecar
            return True
        if not self.end_stored and self.takeover_count < 4 and self.now < self.started_at + RETENTION:
            self.take_over()
            return True
        return False

    def retry_from_client(self) -> None:
        """Only within the hard limit: what a client sends long after that is a new request."""
        self.client_retried = True
        if self.now - self.started_at < HARD_LIMIT:
            self.step_claimant("u", StartRecord(self.request_info, "e2", GROUPS["e2"]))

    def take_over(self) -> None:
        """Eventually the owner is held dead, and another sidecar takes over."""
        self.takeover_count += 1
        self.step_claimant("t" if self.takeover_count % 2 else "u", TakeOver(KEY))

    def apply_departure(self, departure: Departure) -> None:
        kind = departure.kind
        self.trace.append(f"{departure}")
        if kind in ("late", "lost", "twice"):
            at = min(departure.target, len(self.queue) - 1)
            if at < 0 or not self.is_message(self.queue[at]) and kind != "late":
                return
            event = self.queue.pop(at) if kind != "twice" else self.queue[at]
            if kind != "lost":
                self.queue.append(replace(event))
        elif kind == "crash":
            self.crashed.add("o")
            self.queue = [event for event in self.queue if event.to != "o"]
        elif kind == "stop":
            self.paused_until["o"] = self.now + PAUSE_DURATION
        elif kind == "again":
            self.retry_from_client()
        elif kind == "early":
            self.take_over()
        elif kind == "restart":
            name = KEEPERS[departure.target % len(KEEPERS)]
            self.keepers[name] = Keeper(
                self.now, RETENTION, 100, 10**6, has_memory=self.fault == "keeper forgets"
            )

    def is_message(self, event: Event) -> bool:
        return event.to in KEEPERS or event.sender in KEEPERS

    def deliver(self, event: Event) -> None:
        self.trace.append(f"{self.now - self.started_at:>9} {event.sender}>{event.to} {event.body}"[:160])
        if event.to in KEEPERS:
            answer = self.keepers[event.to].step(self.now, event.body)  # type: ignore[arg-type]
            if answer is not None:
                self.queue.append(Event(event.sender, event.to, answer))
        elif event.sender in KEEPERS:
            self.step_claimant(event.to, KeeperReply(event.sender, event.body))  # type: ignore[arg-type]
        elif event.to in self.crashed:
            return
        elif isinstance(event.body, SendRequest):
            self.queue.append(Event(event.body.to, event.to, event.body.body))
        elif isinstance(event.body, AttemptCleared):
            self.send_attempt(event.to, event.body)
        elif isinstance(event.body, tuple):
            self.attempt_ended(event.to, *event.body)

    # The role of the program around the cores.

    def step_claimant(self, name: str, *events: ClaimantEvent) -> None:
        if name in self.crashed:
            return
        for command in self.claimants[name].step(self.now, list(events)):
            if isinstance(command, SendRequest):
                if self.fault == "launch before intent":
                    self.send_without_clearance(name, command.body)
                    self.queue.append(Event(name, name, command))
                else:
                    self.queue.append(Event(command.to, name, command.body))
            elif isinstance(command, AttemptCleared):
                if self.fault != "launch before intent":
                    self.cleared[command.intent] = name
                    self.queue.append(Event(name, name, command))
            elif isinstance(command, RecordClaimed):
                self.continue_request(name, command)
            elif isinstance(command, Unprotected):
                self.replies.setdefault(name, "denied")
            elif isinstance(command, EndStored):
                self.end_stored = True
            elif isinstance(command, Fenced):
                self.trace.append(f"{name} is fenced")

    def send_without_clearance(self, name: str, body: Request) -> None:
        record = getattr(body, "record", None)
        for intent in sorted(record.intents if record else (), key=lambda i: (i.ballot, i.number)):
            if intent.ballot.process == f"{name}:1" and intent not in self.cleared:
                self.cleared[intent] = name
                self.queue.append(Event(name, name, AttemptCleared(KEY, intent, self.now + 10**12)))

    def send_attempt(self, name: str, command: AttemptCleared) -> None:
        """The clearance is checked against the clock just before the first byte is sent."""
        if self.now > command.deadline and self.fault != "stale clearance":
            self.trace.append(f"{name} drops attempt {command.intent.number}: it was cleared too long ago")
            return
        refused = self.first_refused and command.intent.ballot.number == 1 and command.intent.number == 0
        if not refused:
            self.effects.append(Effect(self.now, name, command.intent))
        outcome = Outcome.NEVER_RAN if refused else Outcome.HANDLED
        self.queue.append(Event(name, "endpoint", (command.intent, outcome)))

    def attempt_ended(self, name: str, intent: Intent, outcome: Outcome) -> None:
        self.step_claimant(name, AttemptEnded(intent, KEY, outcome))
        if outcome is Outcome.HANDLED:
            self.replies.setdefault(name, "handled")
            self.step_claimant(name, FinishRecord(KEY, "handled", b"yes"))
        else:
            self.step_claimant(name, AddIntent(KEY, "e2", GROUPS["e2"]))

    def continue_request(self, name: str, command: RecordClaimed) -> None:
        step = next_step(
            command.record, command.oldest_age, self.started_at + HARD_LIMIT - self.now + RETENTION, 20 * MS
        )
        if step.action is NextAction.ANYWHERE:
            self.step_claimant(name, AddIntent(KEY, "e2", GROUPS["e2"]))
        elif step.action is NextAction.IN_GROUP:
            endpoint = next(e for e, group in GROUPS.items() if group == step.group)
            self.step_claimant(name, AddIntent(KEY, endpoint, step.group))
        elif step.action is not NextAction.ENDED:
            self.step_claimant(name, FinishRecord(KEY, step.action.value))

    # Invariants.

    def violations(self) -> list[str]:
        found = []
        if self.repeat is t.RepeatPolicy.UNREPEATABLE and len(self.effects) > 1:
            found.append(f"ran {len(self.effects)} times")
        if self.repeat is t.RepeatPolicy.DEDUPLICATED:
            groups = {effect.intent.group for effect in self.effects}
            if len(groups) > 1:
                found.append(f"its effect happened in {len(groups)} groups")
            for group in groups:
                times = [effect.at for effect in self.effects if effect.intent.group == group]
                if max(times) - min(times) >= DEDUPLICATION_WINDOW:
                    found.append("its effect happened again after the window")
        ballots: dict[object, set[str]] = {}
        for intent, name in self.cleared.items():
            ballots.setdefault(intent.ballot, set()).add(name)
        found += [
            f"two processes send attempts under {ballot}"
            for ballot, names in ballots.items()
            if len(names) > 1
        ]
        return found


@dataclass
class ExplorationResult:
    runs: int = 0
    violations: list[tuple[tuple[Departure, ...], list[str], list[str]]] = field(default_factory=list)
    stuck: list[tuple[Departure, ...]] = field(default_factory=list)


WORLDS = [
    (t.RepeatPolicy.UNREPEATABLE, False),
    (t.RepeatPolicy.UNREPEATABLE, True),
    (t.RepeatPolicy.DEDUPLICATED, False),
    (t.RepeatPolicy.DEDUPLICATED, True),
]


def all_departures(events: int) -> list[Departure]:
    found = []
    for at, kind in product(range(events), DEPARTURE_KINDS):
        target_count = {"late": 3, "lost": 3, "twice": 3, "restart": 3}.get(kind, 1)
        found += [Departure(at, kind, target) for target in range(target_count)]
    return found


def schedules(departures: int, events: int) -> Iterator[tuple[Departure, ...]]:
    """All schedules with up to `departures` departures, the shortest first; at most one at each event."""
    candidates = all_departures(events)
    for count in range(departures + 1):
        for selected in combinations(candidates, count):
            if len({departure.at for departure in selected}) == count:
                yield selected


def random_schedules(seed: int, count: int, events: int) -> Iterator[tuple[Departure, ...]]:
    random_source, candidates = random.Random(seed), all_departures(events)
    for _ in range(count):
        selected = random_source.sample(candidates, random_source.randint(2, 7))
        yield tuple({departure.at: departure for departure in selected}.values())


def explore_schedules(
    selected: Iterator[tuple[Departure, ...]], fault: str = "", max_violations: int = 1
) -> ExplorationResult:
    """Runs each schedule in each world. `stuck`: schedules in which no process ended the request, although a
    majority of the keepers kept its records and takeovers happened."""
    found = ExplorationResult()
    for schedule in selected:
        for repeat, refused in WORLDS:
            world = World(repeat, refused, fault)
            world.run(schedule)
            found.runs += 1
            if violations := world.violations():
                found.violations.append((schedule, violations, world.trace))
                if len(found.violations) >= max_violations:
                    return found
            restarts = len({d.target % 3 for d in schedule if d.kind == "restart"})
            if not world.end_stored and restarts < 2:
                found.stuck.append(schedule)
    return found
