"""Which requests the program takes up, and when, while its own core is short. Pure: the clock comes with each
call, chance from the seed. The law and its stability stand in docs/design/limits.md.

Owns the lines of requests that wait before the program, and the window of those inside it. What is taken up,
the decision module decides about as ever; what is denied here never reached it, and was launched nowhere."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from lupinmill import terms as t
from lupinmill.workings import RandomSource, BucketedSum

MS, SECOND = 1_000, 1_000_000
TARGET = 7 * MS  # how late the loop may be: each request passes it some five times
ENTER, LEAVE = 16 * MS, 4 * MS  # lateness at which the window begins to count, and below which it may end
CALM = 1 * SECOND  # for so long nothing was held or denied before the window ends
TURN = 50 * MS  # between two changes of the window: what it did last has come through by then
CUT, GROW = 0.5, 0.06  # the most that one turn takes away or adds, as parts of the window
LEAST = 4  # requests inside, however late the loop is
HEADROOM = 8  # the window never grows beyond what is inside by more than this, and half of that again
PATIENCE = 0.5  # part of the time to the contract that may be spent in a line
LEAST_PATIENCE = 0.15
KEPT = 0.7  # part of the most carried of late that is counted on, whatever the last half second says
SPARE = 0.1  # part of what is carried that is counted on for a line whatever stands before it
BUCKETS, WIDTH = 10, 50 * MS
REPEATED = 0.7  # a client's repeat is worth less than a first try, as in the decision module
LATE_WAITS = 0.1  # where more of a line's waits end in denials, its patience shrinks
BEAT = 10 * MS  # between two beats, beside how late they come
FADE = 0.9995  # a beat: half is forgotten in a quarter of a minute
MOST_HELD = 4_000  # requests in all lines together


class Fate(Enum):
    TAKEN = "taken"
    HELD = "held"
    DENIED = "denied"


@dataclass(slots=True)
class Offer:
    """A request as its head tells of it. `left` is what its client will still wait, `token` the caller's
    own."""

    workload: str
    left: int
    repeated: bool = False
    tenant: str = ""
    token: Any = None
    client: Any = None
    came: int = 0
    line: Line | None = None
    gone: bool = False


@dataclass(slots=True)
class Line:
    """Those of one worth, oldest first: each was let in because its turn comes in time, so the order keeps
    that promise; newest first would break it for all behind."""

    worth: float
    contract: int
    waiting: deque[Offer] = field(default_factory=deque)
    length: int = 0  # of those that still wait
    let_in: BucketedSum = field(
        default_factory=lambda: BucketedSum(BUCKETS, WIDTH)
    )  # to the window or to the line
    ends: BucketedSum = field(default_factory=lambda: BucketedSum(BUCKETS, WIDTH))
    too_late: BucketedSum = field(default_factory=lambda: BucketedSum(BUCKETS, WIDTH))
    patience: float = PATIENCE


def worth(w: t.Workload, repeated: bool) -> float:
    return w.value * (REPEATED if repeated else 1.0)


class Gate:
    def __init__(self, d: t.Deployment) -> None:
        self.workloads = {w.name: w for w in d.workloads}
        self.front = d.tier == 0
        self.advice = d.longest_advice if d.advice_allowed else 0
        self.random_source = RandomSource(d.seed ^ 0x6A7E)
        self.lines: dict[tuple[str, bool], Line] = {}
        self.order: list[Line] = []  # the most worth first
        self.inside, self.held = 0, 0
        self.active, self.window = False, 0.0
        self.late, self.smooth, self.turned, self.pressed = 0, 0.0, 0, 0
        self.done = BucketedSum(BUCKETS, WIDTH)
        # The most carried a second of late, and the part of the time that goes into denials.
        self.carries, self.denying = 0.0, 0.0
        self.log: list[str] = []  # changes of mode, to be taken by the driver
        self.counts = {fate: 0 for fate in Fate}

    def deploy(self, d: t.Deployment) -> None:
        """Other workloads, from now on. Those that wait of one that is gone have their turn, and are judged
        behind the gate."""
        self.workloads = {w.name: w for w in d.workloads}
        self.advice = d.longest_advice if d.advice_allowed else 0
        # Guards memory against names that come and go.
        self.lines = {
            key: line for key, line in self.lines.items() if line.waiting or key[0] in self.workloads
        }
        for (name, repeated), line in self.lines.items():
            if (w := self.workloads.get(name)) is not None:
                line.worth, line.contract = worth(w, repeated), w.contract
        self.order = sorted(self.lines.values(), key=lambda one: -one.worth)

    # What happens.

    def offer(self, now: int, offer: Offer) -> Fate:
        """At once while the core isn't short. Afterwards: inside while the window has room and nobody of as
        much worth waits; in a line where its turn comes in time; denied otherwise."""
        if not self.active:
            return self.take(offer)
        line = self.line_of(offer)
        if self.inside < self.window and not self.before(line, True):
            line.let_in.add(now)
            return self.take(offer)
        self.pressed = now
        if not self.in_time(now, line, offer):
            self.counts[Fate.DENIED] += 1
            return Fate.DENIED
        line.let_in.add(now)
        offer.came, offer.line = now, line
        line.waiting.append(offer)
        line.length += 1
        self.held += 1
        self.counts[Fate.HELD] += 1
        return Fate.HELD

    def take(self, offer: Offer) -> Fate:
        self.inside += 1
        self.counts[Fate.TAKEN] += 1
        return Fate.TAKEN

    def entered(self) -> None:
        """One came in that no head was judged of."""
        self.inside += 1

    def left(self, now: int) -> None:
        """One inside has its answer, or its client has gone."""
        self.inside -= 1
        self.done.add(now)

    def forget(self, offer: Offer) -> None:
        """Its client has gone while it waited."""
        if not offer.gone and offer.line is not None:
            offer.gone = True
            offer.line.length -= 1
            self.held -= 1

    def release(self, now: int) -> list[tuple[Offer, Fate]]:
        """Those whose turn it is, the most worth first; and of every line those whose time can't be met any
        more: guards against one full line behind which nobody looks at the others."""
        found: list[tuple[Offer, Fate]] = []
        for line in self.order:
            while line.waiting:
                offer = line.waiting[0]
                if offer.gone:
                    line.waiting.popleft()
                    continue
                late = now - offer.came > min(offer.left // 2, line.contract * 2 // 3)
                if not late and self.active and self.inside >= self.window:
                    break
                line.waiting.popleft()
                self.forget(offer)
                line.ends.add(now)
                if late:
                    line.too_late.add(now)
                    self.pressed = now
                    self.counts[Fate.DENIED] += 1
                else:
                    self.take(offer)
                found.append((offer, Fate.DENIED if late else Fate.TAKEN))
        return found

    def beat(self, now: int, late: int, denying: int = 0, unlaunched: int = 0) -> None:
        """How late the loop came to this moment, and how long it denied since the last one, in microseconds;
        told some hundred times a second while anything is inside. `unlaunched`: how many inside were launched
        nowhere."""
        self.denying += (denying / (BEAT + late) - self.denying) * 0.1
        self.carries = max(self.carries * FADE, self.done.total(now) * SECOND / (BUCKETS * WIDTH))
        self.late = late
        self.smooth += (late - self.smooth) * (0.5 if late > self.smooth else 0.2)
        if not self.active:
            if self.smooth > ENTER:
                self.begin(now)
            return
        if now - self.turned < TURN:
            return
        self.turned = now
        # Lateness that comes of denials is none that fewer inside would mend: less would be handled, no more.
        own = self.smooth * (1 - min(0.9, self.denying))
        over = (own - TARGET) / (4 * TARGET)
        if over > 0:
            self.window = max(LEAST, self.window * (1 - CUT * min(1.0, over)))
        elif unlaunched > max(LEAST, self.inside // 4):
            # Those that the module holds wait in no line of this gate: what is worth more can't pass them.
            self.window = max(LEAST, min(self.window, self.inside) * 0.95)
        else:
            room = self.inside + self.inside // 2 + HEADROOM
            self.window = min(max(self.window, LEAST) * (1 + GROW) + 1, max(room, self.window * 0.95))
        for line in self.order:
            ends = line.ends.total(now)
            if ends >= 10:
                bad = line.too_late.total(now) > LATE_WAITS * ends
                changed = line.patience * (0.8 if bad else 1.02)
                line.patience = min(PATIENCE, max(LEAST_PATIENCE, changed))
        if now - self.pressed > CALM and not self.held and self.smooth < LEAVE:
            self.active = False
            self.log.append(f"own core no longer short: late {self.smooth / MS:.1f} ms, {self.inside} inside")

    def begin(self, now: int) -> None:
        self.active, self.turned, self.pressed = True, now, now
        self.window = max(LEAST, self.inside * min(1.0, 2 * TARGET / max(1.0, self.smooth)))
        self.log.append(
            f"own core short: late {self.smooth / MS:.1f} ms, {self.inside} inside, "
            f"window {self.window:.0f}, {self.carried(now):.0f} handled/s"
        )

    # What it is judged by.

    def line_of(self, offer: Offer) -> Line:
        key = (offer.workload, offer.repeated)
        if key not in self.lines:
            w = self.workloads[offer.workload]
            line = Line(worth(w, offer.repeated), w.contract)
            self.lines[key] = line
            self.order = sorted(self.lines.values(), key=lambda one: -one.worth)
        return self.lines[key]

    def before(self, line: Line, itself: bool) -> int:
        """How many wait that go first."""
        ahead = 0
        for other in self.order:
            if other is line:
                break
            ahead += other.length
        return ahead + (line.length if itself else 0)

    def carried(self, now: int) -> float:
        """Answers a second that can be counted on: those of the last half second, as if nothing were denied
        beside them, and most of the best of late. Guards against a spiral: while the core is busy denying it
        answers little, and judged by that alone it would deny all the more. Where it is too much, patience
        shrinks."""
        rate = self.done.total(now) * SECOND / (BUCKETS * WIDTH) / (1 - min(0.9, self.denying))
        return max(1.0, KEPT * self.carries, min(self.carries, rate))

    def in_time(self, now: int, line: Line, offer: Offer) -> bool:
        """Will its turn come soon enough? What goes first goes on coming while it waits, so that a line moves
        only by what is left of what is carried."""
        if self.held >= MOST_HELD:
            return False
        carried = self.carried(now)
        first = 0.0
        for other in self.order:
            if other is line:
                break
            first += other.let_in.total(now) * SECOND / (BUCKETS * WIDTH)
        speed = max(SPARE * carried, carried - first)
        wait = (self.before(line, True) + 1) / speed * SECOND
        return wait <= min(line.patience * line.contract, offer.left // 3)

    def come_back(self) -> int:
        """Microseconds after which a denied one should ask again: spread, so that they don't come back
        together."""
        return self.advice // 4 + self.random_source.upto(self.advice * 3 // 4) if self.advice else 0
