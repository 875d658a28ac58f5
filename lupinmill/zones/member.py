"""What one sidecar does about zones, whole: it tells its evidence, holds the plan if it holds the lease, goes
by the newest plan that it knows. Pure: `step(now, notes, epoch, present)` gives orders; the driver, the lab
in virtual time and the tests run this text.

Who may do what: any member tells evidence to the electors and goes by decided plans. Only who holds the lease
at that very moment (`epoch`) merges, plans, answers evidence and takes operators' wishes; a plan counts for
nobody, its maker included, before a majority of the electors has it.

Owns the evidence of the others (`Evidence`), the last serial heard of each member (of the roster's names),
and wishes on their way (`MOST_WISHES`, given back by their answer or after `WISH_TIME`)."""

from __future__ import annotations

from dataclasses import dataclass, field

from lupinmill import terms as t
from lupinmill.zones import messages
from lupinmill.zones.reports import AGE, SECOND, Evidence, Picture, Report, State
from lupinmill.zones.follower import Follower
from lupinmill.zones.zone_map import Map
from lupinmill.zones.plan import LastGoodZone, Plan, Planner
from lupinmill.zones.messages import Granted, Strange, Summary, Telling, Wish

MOST_WISHES = 8
WISH_TIME = 5 * SECOND
WISH_AGAIN = SECOND // 4
COUNTS = 3 * SECOND  # for so long the module goes by what it was told last
HOLDER_QUIET = 3 * SECOND  # after so long without an answer nobody is known to hold the lease
BRAKES_COUNT = 3 * SECOND
HEARD_OF = 0.5  # share of those present whose evidence a holder wants before it plans
ACTIONS = ("drain", "restore", "pin", "unpin")


# --- notes -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Own:
    """This sidecar's own evidence, once a second."""

    report: Report
    open_in: dict[str, int]  # endpoints that it may launch at, by zone


@dataclass(slots=True)
class Heard:
    sender: str
    data: bytes


@dataclass(slots=True)
class Decided:
    """A majority of the electors has this plan."""

    version: int
    body: bytes


@dataclass(slots=True)
class Took:
    epoch: int


@dataclass(slots=True)
class Lost:
    """The lease has ended for this process."""


@dataclass(slots=True)
class Forgot:
    """Cut off for too long: what was decided counts no more."""


@dataclass(slots=True)
class Asked:
    """By an operator at this sidecar; answered by a `Done` of the same serial."""

    serial: int
    what: str
    zone: str = ""
    force: bool = False


Note = Own | Heard | Decided | Took | Lost | Forgot | Asked

# --- orders ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Say:
    to: str
    data: bytes


@dataclass(slots=True)
class Decide:
    body: bytes


@dataclass(slots=True)
class Go:
    """For the module: by workload, shares by plan and where the home is lost; brakes by endpoint's mark."""

    plan: dict[str, tuple[t.Shares, t.Shares]]
    brakes: dict[int, float]
    until: int


@dataclass(slots=True)
class Done:
    serial: int
    done: bool
    text: str


@dataclass(slots=True)
class Moved:
    """Another plan is in force here. For the log."""

    version: int
    why: str


Order = Say | Decide | Go | Done | Moved


@dataclass(slots=True)
class Pending:
    wish: Wish
    ends: int
    again: int


@dataclass(slots=True)
class Holding:
    """Of the lease: what its holder alone has."""

    epoch: int
    planner: Planner
    began: int
    picture: Picture | None = None
    brakes: dict[int, float] = field(default_factory=dict)


class Member:
    def __init__(
        self, map_: Map, name: str, home: str, electors: tuple[str, ...], peopled: tuple[str, ...], now: int
    ) -> None:
        self.map, self.name, self.home, self.electors, self.now = map_, name, home, electors, now
        self.evidence = Evidence(map_, peopled)
        self.follower = Follower(map_, home, Plan(), now)
        self.holding: Holding | None = None
        self.serials: dict[str, tuple[int, int]] = {}  # of the last evidence heard, and when, by member
        self.applied: dict[str, int] = {}  # version that each member said it goes by
        self.serial = 0
        self.holder, self.holder_at, self.holder_epoch = "", -HOLDER_QUIET, 0
        self.brakes: dict[int, float] = {}
        self.brakes_at = now
        self.wishes: dict[int, Pending] = {}
        self.dropped: dict[str, int] = {}
        self.orders: list[Order] = []
        self.moves = 0  # plans that this member has gone over to

    def step(self, now: int, notes: list[Note], epoch: int, present: list[str]) -> list[Order]:
        """`epoch`: of the lease that this process holds at this moment, else 0. `present`: members that are
        there in its view."""
        self.now = now
        if self.holding is not None and self.holding.epoch != epoch:
            self.holding = None  # whatever was told or not: the clock of the lease decides
        for note in notes:
            if isinstance(note, Own):
                self.own(note, present)
            elif isinstance(note, Heard):
                self.heard(note)
            elif isinstance(note, Decided):
                self.decided(note)
            elif isinstance(note, Took):
                if note.epoch == epoch:
                    self.holding = Holding(epoch, Planner(self.map), now)
                    self.holding.planner.take_over(self.follower.plan, now)
            elif isinstance(note, Lost):
                self.holding = None
            elif isinstance(note, Forgot):
                self.follower.plan, self.follower.confirmed = Plan(), now
            else:
                self.asked(note)
        self.go_on_asking()
        orders, self.orders = self.orders, []
        return orders

    # Once a second.

    def own(self, note: Own, present: list[str]) -> None:
        self.serial = max(self.serial + 1, self.now)
        telling = messages.telling(self.map, note.report, self.serial, self.follower.plan.version)
        data = messages.say(telling)
        for elector in self.electors:
            if elector != self.name:
                self.orders.append(Say(elector, data))
        if self.name in self.electors:
            self.tell(self.name, telling)
        if self.holding is not None:
            self.hold(self.holding, set(present))
        self.serials = {name: one for name, one in self.serials.items() if name in present}
        self.applied = {name: one for name, one in self.applied.items() if name in present}
        lost = not note.open_in.get(self.home, 0)
        plan = {
            w.name: (self.follower.shares(self.now, w.name, lost), self.follower.way(self.now, w.name))
            for w in self.map.workloads
        }
        brakes = self.brakes if self.now - self.brakes_at < BRAKES_COUNT else {}
        self.orders.append(Go(plan, brakes, self.now + COUNTS))

    def hold(self, holding: Holding, present: set[str]) -> None:
        """Guards against a plan by a few: a holder that has heard of less than half of those that are there
        goes on standing behind the plan in force."""
        self.evidence.forget(self.now, present)
        holding.picture = self.evidence.picture(self.now, present)
        holding.brakes = self.evidence.brakes(self.now)
        self.follower.confirmed = self.now
        self.take_brakes(holding.brakes)
        if len(self.evidence.reports) < HEARD_OF * len(present):
            return
        plan = holding.planner.step(self.now, holding.picture)
        if plan is not None:
            self.orders.append(Decide(messages.write_plan(self.map, plan)))

    def take_brakes(self, brakes: dict[int, float]) -> None:
        self.brakes, self.brakes_at = brakes, self.now

    # What others say.

    def heard(self, note: Heard) -> None:
        try:
            found = messages.hear(note.data)
            if isinstance(found, Telling):
                self.tell(note.sender, found)
            elif isinstance(found, Summary):
                self.answered(note.sender, found)
            elif isinstance(found, Wish):
                if (granted := self.grant(found)) is not None:
                    done, text = granted
                    self.orders.append(
                        Say(note.sender, messages.say(Granted(found.serial, done, text[:200])))
                    )
            elif (pending := self.wishes.pop(found.serial, None)) is not None:
                self.orders.append(Done(pending.wish.serial, found.done, found.text))
        except Strange as error:
            self.dropped[str(error)] = self.dropped.get(str(error), 0) + 1

    def tell(self, sender: str, telling: Telling) -> None:
        """Evidence; one that is older than what is known of that member, or the same again, says nothing."""
        report = messages.report(self.map, sender, telling)
        last, at = self.serials.get(sender, (-1, self.now))
        if telling.serial <= last and self.now - at < AGE:  # later its clock may have been set back
            raise Strange("old")
        self.serials[sender] = (telling.serial, self.now)
        self.applied[sender] = telling.version
        self.evidence.hear(self.now, report)
        if self.holding is not None and sender != self.name:
            least = sorted(self.holding.brakes.items(), key=lambda row: row[1])[: messages.MOST_BRAKES]
            brakes = [(mark, round(part * messages.PART)) for mark, part in least]
            version = self.follower.plan.version
            answer = Summary(self.map.mark(), telling.serial, self.holding.epoch, version, brakes)
            self.orders.append(Say(sender, messages.say(answer)))

    def answered(self, sender: str, summary: Summary) -> None:
        """By the holder, of what was told just now. One that only claims to hold it can make this member
        trust for longer a plan that a majority did decide, and slow it down at cold endpoints: no more."""
        if sender not in self.electors or summary.mark != self.map.mark():
            raise Strange("map")
        if summary.serial != self.serial or summary.epoch < self.holder_epoch and self.holder_known():
            raise Strange("old")
        self.holder, self.holder_at, self.holder_epoch = sender, self.now, summary.epoch
        if summary.version == self.follower.plan.version:
            self.follower.confirmed = self.now
        self.take_brakes({mark: max(0.1, parts / messages.PART) for mark, parts in summary.brakes})

    def holder_known(self) -> bool:
        return self.now - self.holder_at < HOLDER_QUIET

    def decided(self, note: Decided) -> None:
        try:
            plan = messages.read_plan(self.map, note.version, note.body)
        except Strange as error:
            self.dropped[str(error)] = self.dropped.get(str(error), 0) + 1
            return
        if self.follower.hear(self.now, plan):
            self.moves += 1
            self.orders.append(Moved(plan.version, plan.why))
        if self.holding is not None:
            planner = self.holding.planner
            if planner.next == 0:
                planner.take_over(
                    self.follower.plan, self.now
                )  # found by the lease: it has done nothing so far
            else:
                planner.accept(self.follower.plan)

    # Operators.

    def asked(self, note: Asked) -> None:
        """Done is said only of what stands in a plan that a majority has: the holder, this one or another, is
        asked until it does."""
        wish = Wish(note.serial, note.what, note.zone, note.force)
        if self.holding is None and not self.holder_known():
            self.orders.append(Done(note.serial, False, "nobody is known to hold the plan now"))
        elif len(self.wishes) >= MOST_WISHES:
            self.orders.append(Done(note.serial, False, "too many calls wait for the holder"))
        else:
            self.wishes[note.serial] = Pending(wish, self.now + WISH_TIME, self.now)

    def go_on_asking(self) -> None:
        for serial, pending in list(self.wishes.items()):
            if self.now >= pending.ends:
                del self.wishes[serial]
                text = "no majority has accepted it in time; it may still be done: look at `zones show`"
                self.orders.append(Done(serial, False, text))
            elif self.now >= pending.again:
                pending.again = self.now + WISH_AGAIN
                if self.holding is None:
                    self.orders.append(Say(self.holder, messages.say(pending.wish)))
                elif (granted := self.grant(pending.wish)) is not None:
                    del self.wishes[serial]
                    self.orders.append(Done(serial, *granted))

    def grant(self, wish: Wish) -> tuple[bool, str] | None:
        """None: on its way to a majority. Doubled by the network or not, the same wish leads to the same
        state."""
        if self.holding is None:
            return False, f"{self.name} does not hold the plan"
        planner = self.holding.planner
        if wish.what not in ACTIONS:
            return False, f"{wish.what}: none of {', '.join(ACTIONS)}"
        if wish.what in ("pin", "unpin"):
            planner.pinned = wish.what == "pin"
            if self.follower.plan.pinned is not planner.pinned:
                return None
            return True, "the plan stays as it is" if planner.pinned else "the plan follows the evidence"
        if wish.zone not in {zone.name for zone in self.map.zones}:
            return False, f"{wish.zone}: no such zone"
        try:
            if wish.what == "drain":
                planner.drain(wish.zone, wish.force)
            else:
                planner.restore(wish.zone, self.now)
        except LastGoodZone as error:
            return False, str(error)
        if (wish.zone in self.follower.plan.drained) is not (wish.what == "drain"):
            return None
        return True, f"{wish.zone} is {'drained' if wish.what == 'drain' else 'restored'} by steps"

    # For people.

    def show(self) -> dict[str, object]:
        """A plain table."""
        plan, now = self.follower.plan, self.now
        table: dict[str, object] = {
            "home": self.home,
            "version": plan.version,
            "why": plan.why,
            "confirmed_s": round((now - self.follower.confirmed) / SECOND, 1),
            "trust": round(self.follower.trust(now), 3),
            "drained": list(plan.drained),
            "pinned": plan.pinned,
            "holder": self.name if self.holding is not None else self.holder if self.holder_known() else "",
            "plan": {
                zone.name: {w.name: plan.shares(zone.name, w.name) for w in self.map.workloads}
                for zone in self.map.zones
            },
            "ways_out": plan.ways,
            "budgets": {
                w.name: {"leave_zone": w.leave_zone, "leave_region": w.leave_region, "breaks": w.breaks}
                for w in self.map.workloads
            },
            "moves": self.moves,
            "dropped": dict(self.dropped),
        }
        if self.holding is not None:
            table["applied"] = dict(sorted(self.applied.items()))
            if (picture := self.holding.picture) is not None:
                table["capacity"] = {name: round(value, 1) for name, value in picture.capacity.items()}
                table["traffic"] = {
                    zone: {w: round(rate, 1) for w, rate in rates.items()}
                    for zone, rates in picture.traffic.items()
                }
                table["lost"] = [
                    {"from": a, "zone": b, "state": state.value}
                    for (a, b), state in sorted(picture.state.items())
                    if state in (State.CUT, State.DOWN)
                ]
        return table
