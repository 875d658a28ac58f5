"""Draws, from the seed and ahead of the run, what happens to each sidecar's processes and to endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from lupinmill.lab.faults.customers import INVALID_CONFIGS

# Kinds of processes: most serve; some get signals during startup, some have a configuration that is refused.
SERVE, SIGNALS_AT_START, INVALID_CONFIG = "serve", "signals at its start", "spoilt configuration"
START_SIGNALS_WITHIN_S = 0.5  # after the start of the process
START_SIGNALS = (("HUP",), ("TERM",), ("HUP", "TERM"), ("TERM", "HUP"), ("HUP", "HUP"), ("TERM", "TERM"))
# SIGKILL at the earliest time after SIGTERM that the documentation allows; clients stay connected until then.
KILL_AT_EARLIEST = "TERM, KILL at the earliest"
ENDS = (
    "TERM",
    "TERM",
    "TERM",
    "TERM TERM",
    "TERM HUP",
    "HUP TERM",
    "KILL",
    KILL_AT_EARLIEST,
    KILL_AT_EARLIEST,
)
SOAK_ENDS = (KILL_AT_EARLIEST, KILL_AT_EARLIEST, KILL_AT_EARLIEST, "HUP TERM HUP TERM", "KILL")
UPGRADES = ("clean", "clean", "the new one killed", "the new one held", "the old one killed")
REPEATED_MOVES = "discovery moved again and again"
EVENTS = (
    "stop",
    "upgrade",
    "move discovery",
    "spoilt reload",
    "half-written reload",
    "no file",
    "burst of HUP",
    "crowd",
    REPEATED_MOVES,
)
SOAK_EVENTS = (
    REPEATED_MOVES,
    REPEATED_MOVES,
    "move discovery",
    "burst of HUP",
    "upgrade",
    "stop",
    "spoilt reload",
)
MOVE_INTERVALS_S = (0.2, 0.4, 0.7)  # between two moves
SOAK_MIN_LIFE_S, SOAK_MAX_LIFE_S = 9.0, 20.0
STEP_SIZES_S = (2.0, 5.0, 11.0, 3600.0, 7200.0)  # by which a clock is set, forward or back
STEPPED_EVENTS = ("upgrade", "move discovery", "burst of HUP", REPEATED_MOVES)  # with steps around them
STEP_BEFORE_S, STEP_AFTER_S = 1.0, 0.6
STEPS_IN_SERIES, STEP_INTERVALS_S = 6, (0.1, 0.8)
TMPDIR_KINDS = ("own", "own", "own", "absent", "a file", "none", "overlong")
USABLE_TMPDIRS = ("own", "overlong")
OUTPUT_KINDS = ("read", "read", "read", "read", "closed", "stuck")
MIN_LIFE_S, MAX_LIFE_S = 3.0, 9.0


@dataclass(slots=True)
class Event:
    """Something that happens to a process."""

    at: float  # seconds after the process is ready
    kind: str
    seconds: float = 0.0  # length of a stop or crowd, interval of moves, or time into an upgrade
    detail: str = ""  # the defect of a configuration, or what happens during an upgrade


@dataclass(slots=True)
class ClockStep:
    """The wall clock of a sidecar's processes is set."""

    at: float  # seconds after the process is ready
    seconds: float

    def text(self) -> str:
        return f"clock set by {self.seconds:+g} s at {self.at:.2f} s"


@dataclass(slots=True)
class OperatorCall:
    """Operators take an endpoint out, or without one drain the sidecar, and take that back later."""

    at: float  # seconds after the process is ready
    seconds: float
    endpoint: int | None = None  # index among the customer's endpoints
    leaves_list: bool = False  # the endpoint is restarted meanwhile, and not listed for half of the time

    def text(self) -> str:
        what = "drained" if self.endpoint is None else f"endpoint {self.endpoint} out"
        return f"{what}{', off the list' * self.leaves_list} for {self.seconds:.2f} s at {self.at:.2f} s"


@dataclass(slots=True)
class ProcessPlan:
    """What happens to one process from its start to its end."""

    kind: str
    seconds: float
    end: str
    tmpdir: str
    output: str
    knows_list: bool  # the configuration contains the endpoint list
    list_age_s: float = 0.0  # seconds by which that list is older than the process
    signals: list[tuple[float, str]] = field(default_factory=list)  # seconds after the start
    events: list[Event] = field(default_factory=list)
    invalid_kind: str = ""
    moves_discovery: bool = False  # discovery has another address at the first SIGHUP during startup
    clock_steps: list[ClockStep] = field(default_factory=list)
    operator_calls: list[OperatorCall] = field(default_factory=list)

    def text(self) -> str:
        parts = ["discovery moves with the first HUP"] * self.moves_discovery
        parts += [f"{name} at {at_s * 1000:.0f} ms" for at_s, name in self.signals]
        parts += [
            " ".join(
                filter(None, [event.kind, event.detail, f"for {event.seconds:.2f} s" * bool(event.seconds)])
            )
            + f" at {event.at:.2f} s"
            for event in self.events
        ]
        parts += [each.text() for each in (*self.operator_calls, *self.clock_steps)]
        kind = f"{self.kind} {self.invalid_kind}".strip()
        list_text = "knows the list" if self.knows_list else "knows no list"
        list_text += f" of {self.list_age_s:g} s before" * bool(self.list_age_s)
        return (
            f"{kind}, {self.seconds:.1f} s, ends by {self.end}, TMPDIR {self.tmpdir}, output {self.output},"
            f" {list_text}" + "".join(f"; {event}" for event in parts)
        )


def draw_plan(random: Random) -> ProcessPlan:
    kind = random.choices((SERVE, SIGNALS_AT_START, INVALID_CONFIG), (60, 25, 15))[0]
    plan = ProcessPlan(
        kind=kind,
        seconds=round(random.uniform(MIN_LIFE_S, MAX_LIFE_S), 2),
        end=random.choice(ENDS),
        tmpdir=random.choice(TMPDIR_KINDS),
        output=random.choice(OUTPUT_KINDS),
        knows_list=random.random() < 0.8,
    )
    if kind == INVALID_CONFIG:
        plan.invalid_kind, plan.output = random.choice(sorted(INVALID_CONFIGS)), "read"
    if kind == SIGNALS_AT_START:
        names = random.choice(START_SIGNALS)
        plan.moves_discovery = names[0] == "HUP" and "TERM" not in names
        at_s = random.uniform(0, START_SIGNALS_WITHIN_S)
        for name in names:
            plan.signals.append((round(at_s, 4), name))
            at_s += random.choice((0, 0.001, 0.02, 0.1))
    if kind != INVALID_CONFIG:
        for _ in range(random.randint(0, 3)):
            plan.events.append(draw_event(random, plan.seconds))
        plan.events.sort(key=lambda event: event.at)
    return plan


def draw_event(random: Random, seconds: float, kinds: tuple[str, ...] = EVENTS) -> Event:
    event = Event(round(random.uniform(0, seconds), 2), random.choice(kinds))
    if event.kind == REPEATED_MOVES:
        event.seconds = random.choice(MOVE_INTERVALS_S)
    elif event.kind == "stop":
        event.seconds = random.choice((0.05, 0.3, 1.2))
    elif event.kind == "crowd":
        event.seconds = random.choice((1.0, 3.0))
    elif event.kind == "upgrade":
        event.detail, event.seconds = random.choice(UPGRADES), round(random.uniform(0.02, 0.6), 3)
    elif event.kind == "spoilt reload":
        event.detail = random.choice(sorted(INVALID_CONFIGS))
    return event


def draw_plans(random: Random, seconds: float) -> list[ProcessPlan]:
    """Draws enough consecutive processes for a run of so many seconds; a longer run starts over."""
    plans: list[ProcessPlan] = []
    at_s = 0.0
    while at_s < seconds:
        plan = draw_plan(random)
        plans.append(plan)
        at_s += (
            0.5
            if plan.kind == INVALID_CONFIG or any(name == "TERM" for _, name in plan.signals)
            else plan.seconds
        )
    return plans


def draw_soak_plans(random: Random, seconds: float, crowd: bool) -> list[ProcessPlan]:
    """Long-lived processes, series of signals, and mostly kills at the earliest time after SIGTERM."""
    plans: list[ProcessPlan] = []
    at_s = 0.0
    while at_s < seconds:
        length = round(random.uniform(SOAK_MIN_LIFE_S, SOAK_MAX_LIFE_S), 2)
        plan = ProcessPlan(SERVE, length, random.choice(SOAK_ENDS), "own", "read", random.random() < 0.8)
        plan.events = [draw_event(random, length, SOAK_EVENTS) for _ in range(random.randint(1, 4))]
        if crowd:
            plan.events.append(Event(round(random.uniform(0, length), 2), "crowd", 3.0))
        plan.events.sort(key=lambda event: event.at)
        plans.append(plan)
        at_s += length
    return plans


def add_operator_calls(random: Random, plans: list[ProcessPlan]) -> None:
    """Draws operators' calls into the plans, and an upgrade into most of the times that they last."""
    for plan in plans:
        if plan.kind != SERVE:
            continue
        for _ in range(random.randint(1, 3)):
            at_s, lasts_s = random.uniform(0.2, plan.seconds / 2), random.uniform(3.0, max(3.0, plan.seconds))
            endpoint = random.randrange(6) if random.random() < 0.75 else None
            call = OperatorCall(round(at_s, 2), round(lasts_s, 2), endpoint, random.random() < 0.6)
            plan.operator_calls.append(call)
            if random.random() < 0.7:
                upgrade = draw_event(random, plan.seconds, ("upgrade",))
                upgrade.at = round(random.uniform(at_s, min(plan.seconds, at_s + lasts_s)), 2)
                plan.events.append(upgrade)
        plan.events.sort(key=lambda event: event.at)


def add_clock_steps(random: Random, plans: list[ProcessPlan]) -> None:
    """Draws steps into the plans: at any time, around upgrades and moves, and in series."""
    for plan in plans:
        times = [random.uniform(0, plan.seconds) for _ in range(random.randint(0, 2))]
        times += [
            event.at + random.uniform(-STEP_BEFORE_S, STEP_AFTER_S)
            for event in plan.events
            if event.kind in STEPPED_EVENTS and random.random() < 0.8
        ]
        if random.random() < 0.25:
            start_s = random.uniform(0, plan.seconds)
            times += [start_s + at * random.choice(STEP_INTERVALS_S) for at in range(STEPS_IN_SERIES)]
        for at_s in sorted(max(0.0, at_s) for at_s in times):
            size_s = random.choice(STEP_SIZES_S) * random.choice((1, 1, -1))
            plan.clock_steps.append(ClockStep(round(at_s, 2), size_s))


@dataclass(slots=True)
class ListEvent:
    """Something that happens to an endpoint at discovery, or to connections to it."""

    at: float
    endpoint: int  # index among the customer's endpoints
    kind: str  # drain, delete, back, late
    seconds: float = 0.0


def draw_list_events(random: Random, endpoints: int, seconds: float) -> list[ListEvent]:
    """Draws drains, deletions and cold returns of endpoints, and delays of connections. Two always serve."""
    events = []
    for endpoint in range(2, endpoints):
        at_s = random.uniform(1.0, max(2.0, seconds / 2))
        if random.random() < 0.8:
            events.append(ListEvent(round(at_s, 2), endpoint, "drain"))
            if random.random() < 0.5:
                events.append(ListEvent(round(at_s + random.uniform(0.2, 3), 2), endpoint, "delete"))
                if random.random() < 0.4:
                    events.append(ListEvent(round(at_s + 14, 2), endpoint, "back"))
    for endpoint in range(endpoints):
        if random.random() < 0.4:
            at_s = random.uniform(0.5, seconds)
            events.append(ListEvent(round(at_s, 2), endpoint, "late", random.choice((0.3, 1.0, 1.5))))
    return sorted(events, key=lambda event: event.at)
