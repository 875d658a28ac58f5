"""The zone logic of one sidecar: it sends reports, makes plans while it holds the lease, and applies the
newest plan that it knows. Pure: `step(now, events, epoch, present)` returns commands; the driver, the lab in
virtual time and the tests run the same code.

Any member sends reports to the electors and applies decided plans. Only the member that holds the lease at
that very moment (`epoch`) aggregates reports, makes plans, acknowledges reports and accepts operators'
requests. A plan applies to nobody, its author included, before a majority of the electors has accepted it.

Owns the reports of the others (`ReportAggregator`), the last serial received from each member of the list,
and operators' requests in progress (at most `MAX_PENDING_REQUESTS`, removed when they are answered or after
`REQUEST_TIMEOUT`)."""

from __future__ import annotations

from dataclasses import dataclass, field

from lupinmill import terms as t
from lupinmill.zones import messages
from lupinmill.zones.follower import Follower
from lupinmill.zones.messages import ActionReply, ActionRequest, InvalidMessage, ReportAck, ReportMessage
from lupinmill.zones.plan import LastGoodZoneError, Plan, Planner
from lupinmill.zones.reports import (
    REPORT_LIFETIME,
    SECOND,
    AggregateView,
    Report,
    ReportAggregator,
    ZoneState,
)
from lupinmill.zones.zone_map import ZoneMap

MAX_PENDING_REQUESTS = 8
REQUEST_TIMEOUT = 5 * SECOND
REQUEST_RETRY_INTERVAL = SECOND // 4
APPLIED_PLAN_LIFETIME = 3 * SECOND  # for which the decision module goes by the last `ApplyPlan`
HOLDER_TIMEOUT = 3 * SECOND  # without an acknowledgement, after which no lease holder is known
BRAKES_LIFETIME = 3 * SECOND
REPORT_QUORUM = 0.5  # share of the present members whose reports a holder needs before it makes plans
ACTIONS = ("drain", "restore", "pin", "unpin")


# --- events ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class OwnReport:
    """This sidecar's own report, once per second."""

    report: Report
    open_in: dict[str, int]  # endpoints that it may send attempts to, by zone


@dataclass(slots=True)
class MessageReceived:
    sender: str
    data: bytes


@dataclass(slots=True)
class PlanDecided:
    """A majority of the electors has accepted this plan."""

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
    """Cut off for too long: decided plans no longer apply."""


@dataclass(slots=True)
class OperatorRequested:
    """By an operator at this sidecar; answered by a `RequestFinished` with the same serial."""

    serial: int
    what: str
    zone: str = ""
    force: bool = False


Event = (
    OwnReport | MessageReceived | PlanDecided | LeaseAcquired | LeaseLost | PlanExpired | OperatorRequested
)

# --- commands --------------------------------------------------------------------------------------


@dataclass(slots=True)
class SendMessage:
    to: str
    data: bytes


@dataclass(slots=True)
class ProposePlan:
    body: bytes


@dataclass(slots=True)
class ApplyPlan:
    """For the decision module: by workload, the planned shares and the shares to use if the own zone is lost;
    brakes by endpoint hash."""

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
    reason: str


Command = SendMessage | ProposePlan | ApplyPlan | RequestFinished | PlanChanged


@dataclass(slots=True)
class PendingActionRequest:
    request: ActionRequest
    expires_at: int
    retry_at: int


@dataclass(slots=True)
class HolderState:
    """What only the holder of the lease has."""

    epoch: int
    planner: Planner
    acquired_at: int
    view: AggregateView | None = None
    brakes: dict[int, float] = field(default_factory=dict)


class Member:
    def __init__(
        self,
        map_: ZoneMap,
        name: str,
        home: str,
        electors: tuple[str, ...],
        member_zones: tuple[str, ...],
        now: int,
    ) -> None:
        self.map, self.name, self.home, self.electors, self.now = map_, name, home, electors, now
        self.aggregator = ReportAggregator(map_, member_zones)
        self.follower = Follower(map_, home, Plan(), now)
        self.holder_state: HolderState | None = None
        self.serials: dict[
            str, tuple[int, int]
        ] = {}  # by member: serial of its last report, and when it came
        self.applied: dict[str, int] = {}  # by member: the plan version that it reported to apply
        self.serial = 0
        self.holder, self.holder_seen_at, self.holder_epoch = "", -HOLDER_TIMEOUT, 0
        self.brakes: dict[int, float] = {}
        self.brakes_at = now
        self.pending_requests: dict[int, PendingActionRequest] = {}
        self.dropped: dict[str, int] = {}
        self.commands: list[Command] = []
        self.plan_changes = 0

    def step(self, now: int, events: list[Event], epoch: int, present: list[str]) -> list[Command]:
        """`epoch`: of the lease that this process holds at this moment, else 0. `present`: the members that
        it considers present."""
        self.now = now
        if self.holder_state is not None and self.holder_state.epoch != epoch:
            self.holder_state = None  # the clock of the lease decides, whether or not an event has come
        for event in events:
            if isinstance(event, OwnReport):
                self.on_own_report(event, present)
            elif isinstance(event, MessageReceived):
                self.on_message(event)
            elif isinstance(event, PlanDecided):
                self.on_plan_decided(event)
            elif isinstance(event, LeaseAcquired):
                if event.epoch == epoch:
                    self.holder_state = HolderState(epoch, Planner(self.map), now)
                    self.holder_state.planner.take_over(self.follower.plan, now)
            elif isinstance(event, LeaseLost):
                self.holder_state = None
            elif isinstance(event, PlanExpired):
                self.follower.plan, self.follower.confirmed_at = Plan(), now
            else:
                self.on_operator_request(event)
        self.retry_requests()
        commands, self.commands = self.commands, []
        return commands

    # Once per second.

    def on_own_report(self, event: OwnReport, present: list[str]) -> None:
        self.serial = max(self.serial + 1, self.now)
        message = messages.report_message(self.map, event.report, self.serial, self.follower.plan.version)
        data = messages.encode(message)
        for elector in self.electors:
            if elector != self.name:
                self.commands.append(SendMessage(elector, data))
        if self.name in self.electors:
            self.on_report(self.name, message)
        if self.holder_state is not None:
            self.run_as_holder(self.holder_state, set(present))
        self.serials = {name: one for name, one in self.serials.items() if name in present}
        self.applied = {name: one for name, one in self.applied.items() if name in present}
        home_lost = not event.open_in.get(self.home, 0)
        plan = {
            w.name: (
                self.follower.shares(self.now, w.name, home_lost),
                self.follower.failover_shares(self.now, w.name),
            )
            for w in self.map.workloads
        }
        brakes = self.brakes if self.now - self.brakes_at < BRAKES_LIFETIME else {}
        self.commands.append(ApplyPlan(plan, brakes, self.now + APPLIED_PLAN_LIFETIME))

    def run_as_holder(self, holder_state: HolderState, present: set[str]) -> None:
        """Aggregates the reports and proposes the next plan. A holder that has reports from less than half of
        the present members only confirms the plan in force: guards against a plan made from the view of a
        few."""
        self.aggregator.expire(self.now, present)
        holder_state.view = self.aggregator.aggregate(self.now, present)
        holder_state.brakes = self.aggregator.brakes(self.now)
        self.follower.confirmed_at = self.now
        self.update_brakes(holder_state.brakes)
        if len(self.aggregator.reports) < REPORT_QUORUM * len(present):
            return
        plan = holder_state.planner.step(self.now, holder_state.view)
        if plan is not None:
            self.commands.append(ProposePlan(messages.encode_plan(self.map, plan)))

    def update_brakes(self, brakes: dict[int, float]) -> None:
        self.brakes, self.brakes_at = brakes, self.now

    # Messages from other members.

    def on_message(self, event: MessageReceived) -> None:
        try:
            message = messages.decode(event.data)
            if isinstance(message, ReportMessage):
                self.on_report(event.sender, message)
            elif isinstance(message, ReportAck):
                self.on_report_ack(event.sender, message)
            elif isinstance(message, ActionRequest):
                if (result := self.execute_request(message)) is not None:
                    done, text = result
                    self.commands.append(
                        SendMessage(
                            event.sender, messages.encode(ActionReply(message.serial, done, text[:200]))
                        )
                    )
            elif (pending := self.pending_requests.pop(message.serial, None)) is not None:
                self.commands.append(RequestFinished(pending.request.serial, message.done, message.text))
        except InvalidMessage as error:
            self.dropped[str(error)] = self.dropped.get(str(error), 0) + 1

    def on_report(self, sender: str, message: ReportMessage) -> None:
        """A report that is older than the last one known of that member, or a duplicate of it, is dropped."""
        report = messages.report_from_message(self.map, sender, message)
        last, at = self.serials.get(sender, (-1, self.now))
        # After `REPORT_LIFETIME` a lower serial is accepted: the sender's clock may have been set back.
        if message.serial <= last and self.now - at < REPORT_LIFETIME:
            raise InvalidMessage("old")
        self.serials[sender] = (message.serial, self.now)
        self.applied[sender] = message.version
        self.aggregator.add(self.now, report)
        if self.holder_state is not None and sender != self.name:
            strictest = sorted(self.holder_state.brakes.items(), key=lambda row: row[1])[
                : messages.MAX_BRAKES
            ]
            brakes = [(endpoint, round(share * messages.SHARE_UNITS)) for endpoint, share in strictest]
            version = self.follower.plan.version
            ack = ReportAck(self.map.checksum(), message.serial, self.holder_state.epoch, version, brakes)
            self.commands.append(SendMessage(sender, messages.encode(ack)))

    def on_report_ack(self, sender: str, ack: ReportAck) -> None:
        """From the holder, for this member's last report. A member that falsely claims to be the holder can
        make this one trust for longer a plan that a majority did decide, and slow it down at cold endpoints,
        but nothing else."""
        if sender not in self.electors or ack.mark != self.map.checksum():
            raise InvalidMessage("map")
        if ack.serial != self.serial or ack.epoch < self.holder_epoch and self.is_holder_known():
            raise InvalidMessage("old")
        self.holder, self.holder_seen_at, self.holder_epoch = sender, self.now, ack.epoch
        if ack.version == self.follower.plan.version:
            self.follower.confirmed_at = self.now
        self.update_brakes(
            {endpoint: max(0.1, units / messages.SHARE_UNITS) for endpoint, units in ack.brakes}
        )

    def is_holder_known(self) -> bool:
        return self.now - self.holder_seen_at < HOLDER_TIMEOUT

    def on_plan_decided(self, event: PlanDecided) -> None:
        try:
            plan = messages.decode_plan(self.map, event.version, event.body)
        except InvalidMessage as error:
            self.dropped[str(error)] = self.dropped.get(str(error), 0) + 1
            return
        if self.follower.receive(self.now, plan):
            self.plan_changes += 1
            self.commands.append(PlanChanged(plan.version, plan.reason))
        if self.holder_state is not None:
            planner = self.holder_state.planner
            if planner.next_step_at == 0:
                # The plan was found while the lease was taken: this planner has made none so far.
                planner.take_over(self.follower.plan, self.now)
            else:
                planner.accept(self.follower.plan)

    # Operators.

    def on_operator_request(self, event: OperatorRequested) -> None:
        """A request is reported as done only once it is part of a plan that a majority has accepted; until
        then the holder, which may be this member, is asked again."""
        request = ActionRequest(event.serial, event.what, event.zone, event.force)
        if self.holder_state is None and not self.is_holder_known():
            self.commands.append(
                RequestFinished(event.serial, False, "nobody is known to hold the lease on the plan now")
            )
        elif len(self.pending_requests) >= MAX_PENDING_REQUESTS:
            self.commands.append(
                RequestFinished(event.serial, False, "too many requests wait for the lease holder")
            )
        else:
            self.pending_requests[event.serial] = PendingActionRequest(
                request, self.now + REQUEST_TIMEOUT, self.now
            )

    def retry_requests(self) -> None:
        for serial, pending in list(self.pending_requests.items()):
            if self.now >= pending.expires_at:
                del self.pending_requests[serial]
                text = "no majority has accepted it in time; it may still take effect: see `zones show`"
                self.commands.append(RequestFinished(serial, False, text))
            elif self.now >= pending.retry_at:
                pending.retry_at = self.now + REQUEST_RETRY_INTERVAL
                if self.holder_state is None:
                    self.commands.append(SendMessage(self.holder, messages.encode(pending.request)))
                elif (result := self.execute_request(pending.request)) is not None:
                    del self.pending_requests[serial]
                    self.commands.append(RequestFinished(serial, *result))

    def execute_request(self, request: ActionRequest) -> tuple[bool, str] | None:
        """Whether it is done, and a text for the operator; None while a majority has not accepted it yet.
        Idempotent: a request that the network duplicates leads to the same state."""
        if self.holder_state is None:
            return False, f"{self.name} does not hold the lease on the plan"
        planner = self.holder_state.planner
        if request.what not in ACTIONS:
            return False, f"{request.what}: unknown action, expected one of {', '.join(ACTIONS)}"
        if request.what in ("pin", "unpin"):
            planner.pinned = request.what == "pin"
            if self.follower.plan.pinned is not planner.pinned:
                return None
            return True, "the plan stays as it is" if planner.pinned else "the plan follows the evidence"
        if request.zone not in {zone.name for zone in self.map.zones}:
            return False, f"{request.zone}: no such zone"
        try:
            if request.what == "drain":
                planner.drain(request.zone, request.force)
            else:
                planner.restore(request.zone, self.now)
        except LastGoodZoneError as error:
            return False, str(error)
        if (request.zone in self.follower.plan.drained) is not (request.what == "drain"):
            return None
        return True, f"{request.zone} is {'drained' if request.what == 'drain' else 'restored'} by steps"

    # Status.

    def show(self) -> dict[str, object]:
        """The table that `zones show` and GET /admin/zones print."""
        plan, now = self.follower.plan, self.now
        table: dict[str, object] = {
            "home": self.home,
            "version": plan.version,
            "why": plan.reason,
            "confirmed_s": round((now - self.follower.confirmed_at) / SECOND, 1),
            "trust": round(self.follower.trust(now), 3),
            "drained": list(plan.drained),
            "pinned": plan.pinned,
            "holder": self.name
            if self.holder_state is not None
            else self.holder
            if self.is_holder_known()
            else "",
            "plan": {
                zone.name: {w.name: plan.shares(zone.name, w.name) for w in self.map.workloads}
                for zone in self.map.zones
            },
            "ways_out": plan.failover,
            "budgets": {
                w.name: {"leave_zone": w.leave_zone, "leave_region": w.leave_region, "breaks": w.breaks}
                for w in self.map.workloads
            },
            "moves": self.plan_changes,
            "dropped": dict(self.dropped),
        }
        if self.holder_state is not None:
            table["applied"] = dict(sorted(self.applied.items()))
            if (view := self.holder_state.view) is not None:
                table["capacity"] = {name: round(value, 1) for name, value in view.capacity.items()}
                table["traffic"] = {
                    zone: {w: round(rate, 1) for w, rate in rates.items()}
                    for zone, rates in view.traffic.items()
                }
                table["lost"] = [
                    {"from": a, "zone": b, "state": state.value}
                    for (a, b), state in sorted(view.state.items())
                    if state in (ZoneState.UNREACHABLE, ZoneState.DOWN)
                ]
        return table
