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
from lupinmill.zones.reports import (
    REPORT_LIFETIME,
    SECOND,
    ReportAggregator,
    AggregateView,
    Report,
    ZoneState,
)
from lupinmill.zones.follower import Follower
from lupinmill.zones.messages import ActionReply, ActionRequest, InvalidMessage, ReportAck, ReportMessage
from lupinmill.zones.plan import LastGoodZoneError, Plan, Planner
from lupinmill.zones.zone_map import ZoneMap

MOST_WISHES = 8
REQUEST_TIMEOUT = 5 * SECOND
REQUEST_RETRY_INTERVAL = SECOND // 4
APPLIED_PLAN_LIFETIME = 3 * SECOND  # for so long the module goes by what it was told last
HOLDER_QUIET = 3 * SECOND  # after so long without an answer nobody is known to hold the lease
BRAKES_COUNT = 3 * SECOND
REPORT_QUORUM = 0.5  # share of those present whose evidence a holder wants before it plans
ACTIONS = ("drain", "restore", "pin", "unpin")


# --- notes -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class OwnReport:
    """This sidecar's own evidence, once a second."""

    report: Report
    open_in: dict[str, int]  # endpoints that it may launch at, by zone


@dataclass(slots=True)
class MessageReceived:
    sender: str
    data: bytes


@dataclass(slots=True)
class PlanDecided:
    """A majority of the electors has this plan."""

    version: int
    body: bytes


@dataclass(slots=True)
class LeaseAcquired:
    epoch: int


@dataclass(slots=True)
class LeaseLost:
    """The lease has ended for this process."""


@dataclass(slots=True)
class PlanExpired:
    """Cut off for too long: what was decided counts no more."""


@dataclass(slots=True)
class OperatorRequested:
    """By an operator at this sidecar; answered by a `Done` of the same serial."""

    serial: int
    what: str
    zone: str = ""
    force: bool = False


Event = (
    OwnReport | MessageReceived | PlanDecided | LeaseAcquired | LeaseLost | PlanExpired | OperatorRequested
)

# --- orders ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class SendMessage:
    to: str
    data: bytes


@dataclass(slots=True)
class ProposePlan:
    body: bytes


@dataclass(slots=True)
class ApplyPlan:
    """For the module: by workload, shares by plan and where the home is lost; brakes by endpoint's mark."""

    plan: dict[str, tuple[t.Shares, t.Shares]]
    brakes: dict[int, float]
    until: int


@dataclass(slots=True)
class RequestFinished:
    serial: int
    done: bool
    text: str


@dataclass(slots=True)
class PlanChanged:
    """Another plan is in force here. For the log."""

    version: int
    why: str


Command = SendMessage | ProposePlan | ApplyPlan | RequestFinished | PlanChanged


@dataclass(slots=True)
class Pending:
    wish: ActionRequest
    ends: int
    again: int


@dataclass(slots=True)
class Holding:
    """Of the lease: what its holder alone has."""

    epoch: int
    planner: Planner
    began: int
    picture: AggregateView | None = None
    brakes: dict[int, float] = field(default_factory=dict)


class Member:
    def __init__(
        self,
        map_: ZoneMap,
        name: str,
        home: str,
        electors: tuple[str, ...],
        peopled: tuple[str, ...],
        now: int,
    ) -> None:
        self.map, self.name, self.home, self.electors, self.now = map_, name, home, electors, now
        self.aggregator = ReportAggregator(map_, peopled)
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
        self.orders: list[Command] = []
        self.moves = 0  # plans that this member has gone over to

    def step(self, now: int, notes: list[Event], epoch: int, present: list[str]) -> list[Command]:
        """`epoch`: of the lease that this process holds at this moment, else 0. `present`: members that are
        there in its view."""
        self.now = now
        if self.holding is not None and self.holding.epoch != epoch:
            self.holding = None  # whatever was told or not: the clock of the lease decides
        for note in notes:
            if isinstance(note, OwnReport):
                self.own(note, present)
            elif isinstance(note, MessageReceived):
                self.heard(note)
            elif isinstance(note, PlanDecided):
                self.decided(note)
            elif isinstance(note, LeaseAcquired):
                if note.epoch == epoch:
                    self.holding = Holding(epoch, Planner(self.map), now)
                    self.holding.planner.take_over(self.follower.plan, now)
            elif isinstance(note, LeaseLost):
                self.holding = None
            elif isinstance(note, PlanExpired):
                self.follower.plan, self.follower.confirmed = Plan(), now
            else:
                self.asked(note)
        self.go_on_asking()
        orders, self.orders = self.orders, []
        return orders

    # Once a second.

    def own(self, note: OwnReport, present: list[str]) -> None:
        self.serial = max(self.serial + 1, self.now)
        telling = messages.report_message(self.map, note.report, self.serial, self.follower.plan.version)
        data = messages.encode(telling)
        for elector in self.electors:
            if elector != self.name:
                self.orders.append(SendMessage(elector, data))
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
        self.orders.append(ApplyPlan(plan, brakes, self.now + APPLIED_PLAN_LIFETIME))

    def hold(self, holding: Holding, present: set[str]) -> None:
        """Guards against a plan by a few: a holder that has heard of less than half of those that are there
        goes on standing behind the plan in force."""
        self.aggregator.forget(self.now, present)
        holding.picture = self.aggregator.picture(self.now, present)
        holding.brakes = self.aggregator.brakes(self.now)
        self.follower.confirmed = self.now
        self.take_brakes(holding.brakes)
        if len(self.aggregator.reports) < REPORT_QUORUM * len(present):
            return
        plan = holding.planner.step(self.now, holding.picture)
        if plan is not None:
            self.orders.append(ProposePlan(messages.encode_plan(self.map, plan)))

    def take_brakes(self, brakes: dict[int, float]) -> None:
        self.brakes, self.brakes_at = brakes, self.now

    # What others say.

    def heard(self, note: MessageReceived) -> None:
        try:
            found = messages.decode(note.data)
            if isinstance(found, ReportMessage):
                self.tell(note.sender, found)
            elif isinstance(found, ReportAck):
                self.answered(note.sender, found)
            elif isinstance(found, ActionRequest):
                if (granted := self.grant(found)) is not None:
                    done, text = granted
                    self.orders.append(
                        SendMessage(note.sender, messages.encode(ActionReply(found.serial, done, text[:200])))
                    )
            elif (pending := self.wishes.pop(found.serial, None)) is not None:
                self.orders.append(RequestFinished(pending.wish.serial, found.done, found.text))
        except InvalidMessage as error:
            self.dropped[str(error)] = self.dropped.get(str(error), 0) + 1

    def tell(self, sender: str, telling: ReportMessage) -> None:
        """Evidence; one that is older than what is known of that member, or the same again, says nothing."""
        report = messages.report_from_message(self.map, sender, telling)
        last, at = self.serials.get(sender, (-1, self.now))
        if (
            telling.serial <= last and self.now - at < REPORT_LIFETIME
        ):  # later its clock may have been set back
            raise InvalidMessage("old")
        self.serials[sender] = (telling.serial, self.now)
        self.applied[sender] = telling.version
        self.aggregator.add(self.now, report)
        if self.holding is not None and sender != self.name:
            least = sorted(self.holding.brakes.items(), key=lambda row: row[1])[: messages.MAX_BRAKES]
            brakes = [(mark, round(part * messages.SHARE_UNITS)) for mark, part in least]
            version = self.follower.plan.version
            answer = ReportAck(self.map.mark(), telling.serial, self.holding.epoch, version, brakes)
            self.orders.append(SendMessage(sender, messages.encode(answer)))

    def answered(self, sender: str, summary: ReportAck) -> None:
        """By the holder, of what was told just now. One that only claims to hold it can make this member
        trust for longer a plan that a majority did decide, and slow it down at cold endpoints: no more."""
        if sender not in self.electors or summary.mark != self.map.mark():
            raise InvalidMessage("map")
        if summary.serial != self.serial or summary.epoch < self.holder_epoch and self.holder_known():
            raise InvalidMessage("old")
        self.holder, self.holder_at, self.holder_epoch = sender, self.now, summary.epoch
        if summary.version == self.follower.plan.version:
            self.follower.confirmed = self.now
        self.take_brakes({mark: max(0.1, parts / messages.SHARE_UNITS) for mark, parts in summary.brakes})

    def holder_known(self) -> bool:
        return self.now - self.holder_at < HOLDER_QUIET

    def decided(self, note: PlanDecided) -> None:
        try:
            plan = messages.decode_plan(self.map, note.version, note.body)
        except InvalidMessage as error:
            self.dropped[str(error)] = self.dropped.get(str(error), 0) + 1
            return
        if self.follower.hear(self.now, plan):
            self.moves += 1
            self.orders.append(PlanChanged(plan.version, plan.reason))
        if self.holding is not None:
            planner = self.holding.planner
            if planner.next_step_at == 0:
                planner.take_over(
                    self.follower.plan, self.now
                )  # found by the lease: it has done nothing so far
            else:
                planner.accept(self.follower.plan)

    # Operators.

    def asked(self, note: OperatorRequested) -> None:
        """Done is said only of what stands in a plan that a majority has: the holder, this one or another, is
        asked until it does."""
        wish = ActionRequest(note.serial, note.what, note.zone, note.force)
        if self.holding is None and not self.holder_known():
            self.orders.append(RequestFinished(note.serial, False, "nobody is known to hold the plan now"))
        elif len(self.wishes) >= MOST_WISHES:
            self.orders.append(RequestFinished(note.serial, False, "too many calls wait for the holder"))
        else:
            self.wishes[note.serial] = Pending(wish, self.now + REQUEST_TIMEOUT, self.now)

    def go_on_asking(self) -> None:
        for serial, pending in list(self.wishes.items()):
            if self.now >= pending.ends:
                del self.wishes[serial]
                text = "no majority has accepted it in time; it may still be done: look at `zones show`"
                self.orders.append(RequestFinished(serial, False, text))
            elif self.now >= pending.again:
                pending.again = self.now + REQUEST_RETRY_INTERVAL
                if self.holding is None:
                    self.orders.append(SendMessage(self.holder, messages.encode(pending.wish)))
                elif (granted := self.grant(pending.wish)) is not None:
                    del self.wishes[serial]
                    self.orders.append(RequestFinished(serial, *granted))

    def grant(self, wish: ActionRequest) -> tuple[bool, str] | None:
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
        except LastGoodZoneError as error:
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
            "why": plan.reason,
            "confirmed_s": round((now - self.follower.confirmed) / SECOND, 1),
            "trust": round(self.follower.trust(now), 3),
            "drained": list(plan.drained),
            "pinned": plan.pinned,
            "holder": self.name if self.holding is not None else self.holder if self.holder_known() else "",
            "plan": {
                zone.name: {w.name: plan.shares(zone.name, w.name) for w in self.map.workloads}
                for zone in self.map.zones
            },
            "ways_out": plan.failover,
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
                    if state in (ZoneState.UNREACHABLE, ZoneState.DOWN)
                ]
        return table
