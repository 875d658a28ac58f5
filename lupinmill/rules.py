"""All decisions of one sidecar: create one `Sidecar(deployment)`, then call `step(now, events)` for each
batch of events; it returns commands.

Pure: no I/O, no clock, no state outside the instance. The types are in `terms.py`, the design rationale in
`docs/design.md`. The actors, in the order in which a request meets them: `Dispatcher` (accepts, holds,
routes, retries and rejects requests), `EndpointActor` (one per endpoint) and `EndpointRegistry` (the
endpoint list). They exchange messages, which a single loop delivers (`MessageQueue.run`)."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from math import ceil, inf, log, sqrt
from typing import Any
from zlib import crc32

from lupinmill import terms as t
from lupinmill.workings import (
    THIN,
    AttemptResult,
    Ejected,
    PollDue,
    RandomSource,
    Attempt,
    LatencyEstimate,
    RequestTimeout,
    RequestQueue,
    MessageQueue,
    Actor,
    EjectionRequest,
    ProbeDue,
    RetryDue,
    BucketedSum,
    EndpointState,
    AttemptSent,
    EndpointSilent,
    EndpointReport,
    PeriodicCheck,
    FleetAverages,
    mixed,
)

MS, SECOND = 1_000, 1_000_000
# Between two checks of the attempts in flight.
SWEEP = 100 * MS
RETRY_BASE, RETRY_MAX = 20 * MS, 1 * SECOND
# Retries stay below a tenth of the requests of the last ten seconds, counted in buckets of 0.5 s.
RETRY_SHARE, RETRY_BUCKETS = 0.1, 20
CAP_START, MAX_CAP = 4, 32
# Of an endpoint's caps at all sidecars together: sum at the start, growth per check while requests wait, and
# floor.
FLEET_START, FLEET_GROWTH, FLEET_FLOOR = 8.0, 0.1, 4.0
# Relative growth per check of a cap that leaves a sidecar less than one attempt in flight.
THIN_GROWTH = 0.2
# With a sidecar per client: start, growth and floor, as multiples of what its own traffic keeps in flight.
BESIDE_CAPS = 3.0, 0.02, 0.5
# Pace in the own zone above which other zones gain preference; the preference that they always keep.
ABROAD, ABROAD_LEAST = 1.5, 0.03
# As CROWDED and ROOMY; wider, since the mean of few answers varies more.
BESIDE_MARKS = 2.2, 1.75
# Factor on the starting cap where caps are fractions: with uneven load the fullest endpoint jams first.
UNEVEN = 0.7
# Latencies, as multiples of the uncrowded latency, above which caps fall and below which they may rise.
CROWDED, ROOMY = 1.9, 1.5
# See `Dispatcher.assumed_warm_rate`.
UNTRIED, UNPROVED, MORE, PROOF_AFTER, MANY = 0.14, 0.05, 2.0, 1_250 * MS, 1_000
LEAST_PACE = 0.001  # of a kind of endpoint: it is a divisor
# Below this CPU utilization in load reports endpoints are not crowded, whatever a few answers suggest.
BUSY = 0.8
REST, REST_MAX = 3 * SECOND, 12 * SECOND
SHARE_BACK = 0.05  # of the common cap, regained with each answer
# Answers behind a mean latency. Where caps are fractions answers are few, and the least of small means is too
# low: there it is THIN.
EVIDENCE = 10
BEHIND = 1.5  # multiple of the median pace above which an endpoint is picked last
# Time for which a load report counts; number of recent reporters that decide ties.
TOLD_AGE, TOLD_KEPT = 2_500 * MS, 8
# An endpoint without an answer for so many usual latencies is silent. The second figure is divided by the
# attempts in flight there and added, as a single request may take long.
SILENCE, LONELY = 4.0, 6.0
SLOW = 2.7  # multiple of the median endpoint's pace above which an endpoint is slow
DRAGS = 3.5  # multiple of the lowest workload's pace above which a workload is slow by itself
# Spacing between sidecars that all lost the endpoint list; the longest delay before one polls again.
ASK_APART, ASK_AGAIN = 30 * MS, 1_600 * MS
ASIDE_SHARE = 0.34  # on soft evidence at most this share of the endpoints is ejected


@dataclass(slots=True)
class RequestState:
    """An accepted request, until the outcome of its last attempt has arrived."""

    name: str
    workload: t.Workload
    due: int
    contract_end: int
    arrived: int
    queue: RequestQueue
    settings: DispatchSettings  # in force when it was accepted
    attempts: list[Attempt] = field(default_factory=list)
    held: bool = False
    retrying: bool = False
    streaming: bool = False
    done: bool = False
    refusals: int = 0
    spoilt: bool = False  # the last answer was unreadable
    whole: bool = True  # its last byte has arrived
    repeated: bool = False
    spent: bool = False  # its body is no longer available for another attempt
    mark: int = 0  # 0: no key
    zone: str = ""  # where the shared plan sends its first attempt; empty: anywhere

    def out(self) -> int:
        return sum(attempt.out for attempt in self.attempts)

    def first_run(self) -> Attempt | None:
        """The earliest attempt that is pending or may have run."""
        return next((attempt for attempt in self.attempts if not attempt.never_ran), None)


class DispatchSettings:
    """Figures derived from the deployment, by which the dispatcher decides."""

    def __init__(self, d: t.Deployment) -> None:
        self.front, self.margin, self.warm_keys = d.tier == 0, 2 * d.round, d.warm_keys
        self.workloads, self.max_attempts = {w.name: w for w in d.workloads}, d.max_attempts
        self.copies, self.cancel, self.beyond = d.hedging_allowed, d.cancel_allowed, d.beyond_share_value
        self.probes, self.reports = d.probes_allowed, d.probes_allowed and d.reports_asked
        self.advice = d.longest_advice if d.advice_allowed else 0
        self.cold_share, self.cold_time, self.gone_binds = d.cold_share, max(1, d.cold_time), d.gone_binds
        self.overload_time, self.sized = max(1, d.overload_time), not d.weights_live
        self.uneven, self.sidecar_per_client, self.few = d.uneven, d.sidecar_per_client, d.few_connections
        self.told = self.sharers = max(1, d.instances)
        self.ask_span = max(SECOND, min(d.poll_interval, 10 * SECOND)) * 2 // 5 if d.poll_discovery else 0
        self.share_out(self.told)
        # The more the goal pools all workloads, the more value weighs against evenness.
        weight = d.pooled_weight + d.evenness_weight
        self.greed = d.pooled_weight / weight if weight else 1.0
        whole = sum(q.quota_per_s for q in d.tenants) or 1.0
        self.quotas = {q.name: q.quota_per_s / whole for q in d.tenants} if self.front else {}
        self.crowded, self.roomy = BESIDE_MARKS if d.sidecar_per_client else (CROWDED, ROOMY)
        self.crossing, self.told_speed, self.zone = d.crossing_price, d.weights_tell_speed, d.zone

    def share_out(self, sidecars: int) -> float:
        """Returns the factor for a learned cap. With many sidecars even one attempt from each would overload
        the endpoints, so caps may be fractions. With a sidecar per client they are multiples of what its own
        traffic keeps in flight."""
        before, self.sharers = self.sharers, sidecars if sidecars > 0 else self.told
        even, self.evidence = (1.0, EVIDENCE) if self.sharers <= FLEET_START else (UNEVEN, THIN)
        caps = [one / self.sharers for one in (even * FLEET_START, even * even * FLEET_GROWTH, FLEET_FLOOR)]
        self.cap_start, self.cap_growth, self.cap_floor = BESIDE_CAPS if self.sidecar_per_client else caps
        self.cap_start = min(CAP_START, self.cap_start)
        return 1.0 if self.sidecar_per_client else before / self.sharers


class Dispatcher(Actor):
    """Accepts, holds, routes, retries and rejects requests."""

    def __init__(
        self, message_queue: MessageQueue, settings: DispatchSettings, random_source: RandomSource
    ) -> None:
        super().__init__()
        self.message_queue, self.settings, self.random_source = message_queue, settings, random_source
        self.endpoints: dict[str, EndpointActor] = {}
        self.open: dict[str, RequestState] = {}  # until the last outcome has arrived
        self.endpoint_states: dict[str, EndpointState] = {}
        self.load_buckets: list[list[EndpointState]] = [[] for _ in range(2 * MAX_CAP)]  # of available ones
        # Sums over the available endpoints.
        self.ready, self.in_flight, self.shares, self.weight = 0, 0, 0.0, 0.0
        self.busy: dict[str, EndpointState] = {}  # with attempts in flight
        self.cap = settings.cap_start  # common to all endpoints, of which each takes its share
        self.told: deque[EndpointState] = deque(maxlen=TOLD_KEPT)
        self.usual, self.sweeping, self.swept, self.luck, self.redraw = FleetAverages(), False, 0, 0.0, 0
        self.queues: dict[tuple[str, bool, bool, str], RequestQueue] = {}
        self.common, self.open_in = t.FleetState(), {}
        self.bound: list[RequestState] = []  # held for some of the endpoints only
        self.waiting, self.shedding, self.crowding = 0, False, 1.0
        self.turned_back, self.answers = False, 0
        self.gauges: dict[str, LatencyEstimate] = {}
        self.taken, self.retried = (
            BucketedSum(RETRY_BUCKETS, SECOND // 2),
            BucketedSum(RETRY_BUCKETS, SECOND // 2),
        )
        self.launched, self.came, self.began = BucketedSum(10, SECOND // 10), BucketedSum(10, SECOND // 2), -1
        # Uncrowded latency over all workloads; the factor on the common cap.
        self.unhurried, self.scale = 0.0, 1.0
        # Requests per second that a warm endpoint of size 1 handles; total size listed as ready, ejected or
        # not.
        self.each, self.size = 0.0, 0.0
        # Requests handled by cold endpoints, and how many warm ones those amount to.
        self.proved, self.able, self.first = BucketedSum(4, SECOND // 2), 0.0, -1
        # Time without traffic earns no credit: all sidecars would spend their savings at once.
        self.idle, self.came_at = 0, -1
        self.handled, self.looked = 0, 0
        self.kinds: dict[str, float] = {}  # of endpoint
        # Pace in the own zone and in all others; preference for endpoints in other zones.
        self.zones, self.abroad = [1.0, 1.0], 0.2
        self.sent_by = {name: BucketedSum(10, SECOND // 2) for name in settings.quotas}
        self.failed, self.answered = BucketedSum(6, SECOND // 2), BucketedSum(6, SECOND // 2)

    def take(self, event: Any) -> None:
        super().take(event)
        if self.waiting:
            self.dispatch()

    # A request arrives.

    def arrive(self, event: t.RequestArrived) -> None:
        now, settings = self.message_queue.now, self.settings
        if event.request in self.open:
            return  # a duplicate event
        w = settings.workloads.get(event.workload) or t.Workload(
            event.workload, event.due - now, event.due - now
        )
        self.came.add(now)
        self.idle += max(0, now - self.came_at - settings.overload_time) if self.came_at >= 0 else 0
        self.came_at, self.first = now, now if self.came_at < 0 else self.first
        if not event.keyed and w.repeat is t.RepeatPolicy.DEDUPLICATED:
            # Without a key no endpoint would drop its repeats.
            w = replace(w, repeat=t.RepeatPolicy.UNREPEATABLE)
        self.taken.add(now, not event.repeated)
        end = min(event.due, now + self.contract(w, event.due, event.repeated))
        zone = self.sent_to(w)
        queue = self.lane_of(w, self.beyond_share(event.tenant), event.repeated, zone)
        s = RequestState(event.request, w, event.due, end, now, queue, settings, zone=zone)
        s.whole, s.repeated = event.whole, event.repeated
        s.mark = crc32(event.key.encode()) if settings.warm_keys and event.key else 0
        self.open[s.name] = s
        if not self.ready and settings.sidecar_per_client:
            self.balance(1.0)
        self.keep_sweeping()
        self.message_queue.set_timer(self.end_of(s), self, RequestTimeout(s, True))
        self.hold(s)
        self.dispatch()
        if s.held:
            self.admit(s)

    def contract(self, w: t.Workload, due: int, repeated: bool) -> int:
        # The client of a repeat has been waiting for a while already.
        own = w.contract // 2 if repeated else w.contract
        return own if self.settings.front else due - self.message_queue.now

    def complete(self, event: t.RequestBodyReceived) -> None:
        s, now = self.open.get(event.request), self.message_queue.now
        if s is None or s.whole:
            return
        # Endpoints begin to work with the last byte: until then the request kept none busy.
        s.whole, s.due, s.arrived = True, event.due, now
        s.contract_end = min(s.due, now + self.contract(s.workload, s.due, s.repeated))
        self.message_queue.set_timer(self.end_of(s), self, RequestTimeout(s, True))
        for attempt in (attempt for attempt in s.attempts if attempt.out):
            attempt.sent = now
            self.count_in(attempt)

    def end_of(self, s: RequestState) -> int:
        """Bounds the timer where the deadline is a guess: the request may be complete minutes before it."""
        end = s.due - s.settings.margin
        return end if s.whole else min(end, self.message_queue.now + 10 * SECOND)

    def count_in(self, attempt: Attempt) -> None:
        seat, attempt.counted = attempt.endpoint_state, True
        seat.coming -= 1
        self.fly(seat, 1)
        self.launched.add(self.message_queue.now)
        self.message_queue.send(self.endpoints[seat.name], AttemptSent())

    def fly(self, seat: EndpointState, more: int) -> None:
        seat.in_flight += more
        self.in_flight += more * seat.counts()
        if seat.in_flight:
            self.busy[seat.name] = seat
        else:
            self.busy.pop(seat.name, None)
        self.shelve(seat)

    def elsewhere(self, event: t.PredecessorLoad) -> None:
        """Counts the older process's attempts, or both processes of an upgrade would fill every cap."""
        self.retried.add(self.message_queue.now, event.retried)
        for seat in list(self.endpoint_states.values()):
            if more := event.in_flight.get(seat.name, 0) - seat.elsewhere:
                seat.elsewhere += more
                self.fly(seat, more)
            if more and not seat.in_flight:
                self.endpoints[seat.name].tell()  # it may be gone by now

    def beyond_share(self, tenant: str) -> bool:
        """Whether this request exceeds its tenant's share of this sidecar's traffic. The quotas are of all
        sidecars together; their traffic is assumed to have the same mix of tenants."""
        if (ring := self.sent_by.get(tenant)) is None:
            return False
        ring.add(self.message_queue.now)
        part, sent = (
            self.came.total(self.message_queue.now) * self.settings.quotas[tenant],
            ring.total(self.message_queue.now),
        )
        return part < sent and self.random_source.draw() > part / sent

    def agree(self, event: t.FleetState) -> None:
        """Applies the shared state until the next one or its expiry, after which the deployment's values
        hold."""
        if event.until or self.message_queue.now >= self.common.until:
            self.cap = min(float(MAX_CAP), self.cap * self.settings.share_out(event.sidecars))
            self.common = event
        if event.until:
            self.message_queue.set_timer(event.until, self, t.FleetState())

    def sent_to(self, w: t.Workload) -> str:
        """The zone by the shared plan, or its fallback where that zone is lost. Placement rules take
        precedence."""
        zone, plans = "", () if w.zones or w.kinds else self.common.plan.get(w.name, ())
        for shares in plans:
            if not zone or self.lost(zone):
                at = self.random_source.draw()
                zone = next((name for name, share in shares.items() if (at := at - share) < 0), zone)
        return zone

    def lost(self, zone: str) -> bool:
        """Whether this sidecar finds most endpoints of the zone unavailable."""
        return self.open_in.get(zone, 0) * 2 < self.common.listed.get(zone, 1)

    def lane_of(self, w: t.Workload, beyond: bool, repeated: bool, zone: str) -> RequestQueue:
        key = (w.name, beyond, repeated, zone)
        queue = self.queues.get(key) or RequestQueue(self.worth(w, beyond, repeated), zone)
        return self.queues.setdefault(key, queue)

    def worth(self, w: t.Workload, beyond: bool, repeated: bool) -> float:
        worth = max(0.0, w.value) ** self.settings.greed * (self.settings.beyond if beyond else 1.0)
        if self.settings.sidecar_per_client:
            worth *= SECOND / max(1, w.contract)  # long requests cost more of the endpoints' time
        return worth * (0.7 if repeated else 1.0)

    def deploy(self, event: t.DeploymentChanged) -> None:
        """Applies to requests from now on: open ones keep their settings, and learned figures stay."""
        before, self.settings, in_hand = self.settings, DispatchSettings(event.deployment), self.open.values()
        self.settings.sharers, known = before.sharers, self.settings.workloads
        self.cap = min(float(MAX_CAP), self.cap * self.settings.share_out(self.common.sidecars))
        self.sent_by = {
            name: self.sent_by.get(name) or BucketedSum(10, SECOND // 2) for name in self.settings.quotas
        }
        # Bounds memory where workload names come and go: what no open request uses is created again on
        # demand.
        names, queues = {s.workload.name for s in in_hand} | known.keys(), {id(s.queue) for s in in_hand}
        self.gauges = {name: gauge for name, gauge in self.gauges.items() if name in names}
        self.queues = {key: queue for key, queue in self.queues.items() if id(queue) in queues}
        for (name, beyond, repeated, _), queue in self.queues.items():
            queue.worth = self.worth(known[name], beyond, repeated) if name in known else queue.worth

    def gauge(self, w: t.Workload) -> LatencyEstimate:
        if w.name not in self.gauges:
            self.gauges[w.name] = LatencyEstimate(
                w.contract // (5 if self.settings.sidecar_per_client else 3), self.settings.evidence
            )
        return self.gauges[w.name]

    def patience(self, s: RequestState) -> int:
        """Until when holding the request can still lead to an answer in contract time."""
        span = s.contract_end - s.arrived
        return s.contract_end - int(min(self.gauge(s.workload).usual * 1.3, span * 0.6))

    def hold(self, s: RequestState) -> None:
        s.held = True
        self.waiting += 1
        w = s.workload
        if w.zones or w.kinds or s.first_run() is not None and w.repeat is t.RepeatPolicy.DEDUPLICATED:
            self.bound.append(s)
        else:
            s.queue.waiting.append(s)

    def admit(self, s: RequestState) -> None:
        """Rejects at once what would wait in vain. Where caps are fractions the rate follows from the
        capacity."""
        queue, queues = s.queue, self.queues.values()
        ahead = sum(len(other.waiting) for other in queues if other.worth > queue.worth) + len(queue.waiting)
        room, limit, least = self.part(), self.patience(s), float(self.settings.sidecar_per_client)
        allowed = max(least, room) * SECOND / self.gauge(s.workload).usual if least or self.cap < 1 else 0.0
        rate = max(1.0, self.launched.total(self.message_queue.now), allowed)
        open_ = not s.zone or self.open_in.get(s.zone)  # else no endpoint to wait for
        if open_ and self.message_queue.now + int(ahead / rate * SECOND) <= limit:
            self.message_queue.set_timer(limit, self, RequestTimeout(s, False))
            return
        self.turned_back = True
        if not self.shedding:
            self.shedding = True
            self.message_queue.log(f"shedding: {self.waiting} held, {rate:.0f} launches/s, room {room:.1f}")
        self.finish(s)

    # Attempts are started for held requests.

    def dispatch(self) -> None:
        self.bound = [s for s in self.bound if s.held and not self.try_launch(s)]
        full: list[str] = []  # zones
        while True:
            best, urgency = None, -1.0
            for queue in self.queues.values():
                line = queue.waiting
                while line and not line[0].held:
                    line.popleft()
                if line and queue.zone not in full:
                    head = line[0]
                    waited = (self.message_queue.now - head.arrived) / max(
                        1, head.contract_end - head.arrived + 1
                    )
                    if queue.worth * (waited + 0.1) > urgency:
                        best, urgency = queue, queue.worth * (waited + 0.1)
            if best is not None and self.try_launch(best.waiting[0]):
                best.waiting.popleft()
            elif best is None or not best.zone:
                return
            else:
                full.append(best.zone)

    def may_launch(self, s: RequestState) -> bool:
        """Whether a first or another attempt is allowed: by rule 2 and by the deployment."""
        if s.done or s.streaming or s.spent or len(s.attempts) >= s.settings.max_attempts:
            return False
        if s.whole and self.message_queue.now >= s.due - s.settings.margin:
            return False  # it is about to be answered
        first = s.first_run()
        if first is None or s.out() and not s.settings.copies:
            return first is None
        if s.workload.repeat is t.RepeatPolicy.DEDUPLICATED:
            return self.message_queue.now < first.sent + s.workload.window - s.settings.margin
        return s.workload.repeat is t.RepeatPolicy.IDEMPOTENT

    def group_allows(self, s: RequestState, seat: EndpointState) -> bool:
        first, group = s.first_run(), s.workload.group
        if (
            first is None
            or s.workload.repeat is not t.RepeatPolicy.DEDUPLICATED
            or group is t.DeduplicationScope.ALL
        ):
            return True
        entries = first.endpoint_state.report.entry, seat.report.entry
        old, new = (entry.zone if group is t.DeduplicationScope.ZONE else entry.cell for entry in entries)
        return bool(new) and new == old

    def room(self) -> int:
        """Limit on the attempts in flight at all available endpoints together; fractions are rounded at
        random."""
        room = self.part()
        if self.settings.sidecar_per_client:
            return int(max(1.0, room + (0 if self.pace_over(self.settings.roomy) else sqrt(room))) + 0.5)
        if self.cap >= 1:
            return max(1, ceil(room))
        mean = self.launched.total(self.message_queue.now) * self.usual.took / SECOND
        if mean <= room and not self.pace_over(self.settings.roomy):
            room += min(sqrt(room), room * (1 / UNEVEN - 1))
        if self.message_queue.now >= self.redraw:
            self.luck, self.redraw = self.random_source.draw(), self.message_queue.now + self.usual.took
        return int(room + self.luck)

    def part(self) -> float:
        """This sidecar's part of what all available endpoints can have in flight."""
        return self.cap * self.scale * self.shares

    def pace_over(self, mark: float) -> bool:
        """Where caps are fractions, a few answers make light load look crowded: load reports must confirm
        it."""
        idle = self.cap < 1 and self.settings.reports and self.usual.busy < BUSY
        return self.crowding > mark * (2 if idle else 1)

    def pick(self, s: RequestState) -> EndpointState | None:
        """Least attempts in flight below the cap, ties by rank; a cold endpoint counts with at least the
        mean load."""
        if not self.ready or self.in_flight >= self.room():
            return None
        tried = [attempt.endpoint_state for attempt in s.attempts]
        for behind in (0, MAX_CAP):
            for load in range(min(MAX_CAP, max(1, ceil(self.cap * self.scale)))):
                bucket = self.load_buckets[behind + load]
                if not behind and (told := self.told_least(load, s, tried)) is not None:
                    return told
                if self.settings.uneven:
                    line = sorted(bucket, key=lambda seat: self.race(seat, s))
                else:
                    start = self.random_source.upto(len(bucket) - 1) if len(bucket) > 1 else 0
                    line = bucket[start:] + bucket[:start]
                for seat in line:
                    if self.may_take(seat, s, tried):
                        return seat
        return None

    def race(self, seat: EndpointState, s: RequestState) -> float:
        """Weighted order among equals, least first: random, or by the key and then the same in all
        sidecars."""
        return -log(mixed(s.mark, seat.mark) if s.mark else self.random_source.draw() or 0.5) / seat.pull

    def told_least(self, load: int, s: RequestState, tried: list[EndpointState]) -> EndpointState | None:
        """Of equals the one with the least reported load below the mean. Reports decay towards the mean with
        age."""
        mean, least, best = self.usual.told, self.usual.told, None
        for seat in self.told:
            report = seat.report
            if seat.bucket == load and report.told is not None and report.cold_since is None:
                likely = report.told + (mean - report.told) * min(
                    1.0, (self.message_queue.now - report.told_at) / TOLD_AGE
                )
                if likely < least and self.may_take(seat, s, tried):
                    best, least = seat, likely
        return best

    def ask_around(self) -> None:
        """One probe per attempt, to decide later ties, while most endpoints are unused; fewer at low
        utilization."""
        bucket, wanted = self.load_buckets[0], self.usual.busy > BUSY / 2 or self.random_source.draw() < 0.25
        if bucket and wanted and self.settings.reports and 2 * self.in_flight < self.ready:
            seat = bucket[self.random_source.upto(len(bucket) - 1)]
            stale = seat not in self.told or self.message_queue.now - seat.report.told_at > TOLD_AGE // 4
            # A cold endpoint decides no tie, and has no capacity to spare for probes.
            if stale and seat.report.cold_since is None:
                self.message_queue.commands.append(t.StartProbe(seat.name))

    def may_take(self, seat: EndpointState, s: RequestState, tried: list[EndpointState]) -> bool:
        if seat.in_flight and (
            seat.report.trial or seat.in_flight >= self.cap * self.scale * seat.report.share
        ):
            return False
        # Repeated attempts are few, so they may cross zones.
        near = not s.zone or s.attempts or seat.report.entry.zone == s.zone
        again = tried and (not self.group_allows(s, seat) or seat in tried and self.ready > len(tried))
        # Placement holds even when all endpoints allowed by it are down.
        if again or not near or not s.workload.open_at(seat.report.entry):
            return False
        return seat.report.cold_since is None or self.credited(seat)

    def shelve(self, seat: EndpointState) -> None:
        bucket = -1
        if seat.counts():
            mean = 0 if seat.report.cold_since is None else round(self.in_flight / self.ready)
            bucket = min(max(seat.in_flight, mean), MAX_CAP - 1) + (MAX_CAP if seat.report.crowded else 0)
        if bucket == seat.bucket:
            return
        if seat.bucket >= 0:
            last = self.load_buckets[seat.bucket].pop()
            if last is not seat:
                self.load_buckets[seat.bucket][seat.spot], last.spot = last, seat.spot
        seat.bucket = bucket
        if bucket >= 0:
            seat.spot = len(self.load_buckets[bucket])
            self.load_buckets[bucket].append(seat)

    def warmth(self, report: EndpointReport) -> float:
        """The part of its full capacity that the endpoint has by now, at least."""
        if report.cold_since is None:
            return 1.0
        age = min(1.0, max(0, self.message_queue.now - report.cold_since) / self.settings.cold_time)
        return 1 - (1 - self.settings.cold_share) * (1 - age)

    def credited(self, seat: EndpointState) -> bool:
        """Rule 4: a cold endpoint earns credit at the rate of a warm one of its size times its warmth,
        however few endpoints are left; see `assumed_warm_rate` where that rate is not known. At most one
        attempt of credit."""
        now, clock = self.message_queue.now, self.message_queue.now - self.idle
        if now - seat.report.cold_since >= self.settings.cold_time:
            seat.report.cold_since = None
            return True
        rate = self.warmth(seat.report) * (self.each or self.unknown_each()) * seat.size
        rate *= self.common.brakes.get(seat.name, 1.0)  # of all sidecars together
        seat.credit = min(1.0, seat.credit + rate * (clock - seat.credited) / SECOND)
        seat.credited = clock
        return seat.credit >= 1.0

    def unknown_each(self) -> float:
        """The rate where no endpoint is warm. Few of them may be left, so it is only part of each endpoint's
        share of the arrivals: UNTRIED at first; after PROOF_AFTER it is UNPROVED plus MORE times what cold
        endpoints handled. Lower with many sidecars, whose attempts coincide at random."""
        now, age = self.message_queue.now, self.message_queue.now - self.first
        comes = self.came.total(now) * SECOND / min(5 * SECOND, max(SECOND // 2, age))
        part = comes / max(1, self.ready, self.size) / (1 + self.settings.sharers / MANY)
        if age < PROOF_AFTER or not self.able:
            return UNTRIED * part
        return min(part, UNPROVED * part + MORE * self.proved.total(now) / 2 / self.able)

    def try_launch(self, s: RequestState) -> bool:
        """True when the request need not be held any longer."""
        allowed, now = self.may_launch(s), self.message_queue.now
        seat = self.pick(s) if allowed else None
        if allowed and seat is None:
            return False
        self.unhold(s)
        if seat is None:
            if not s.out():
                self.finish(s)
            return True
        seat.credit -= seat.report.cold_since is not None
        s.attempts.append(Attempt(seat, now))
        seat.coming += 1
        s.retrying = False
        self.message_queue.commands.append(t.StartAttempt(s.name, seat.name, s.due))
        if s.whole:
            self.count_in(s.attempts[-1])
        self.ask_around()
        return True

    def unhold(self, s: RequestState) -> None:
        self.waiting, s.held = self.waiting - s.held, False

    # Outcomes, and what follows from them.

    def end(self, event: t.AttemptEnded) -> None:
        s = self.open.get(event.request)
        if s is None or not 0 <= event.attempt < len(s.attempts) or not s.attempts[event.attempt].out:
            return
        attempt, now = s.attempts[event.attempt], self.message_queue.now
        if not attempt.counted:
            self.count_in(attempt)  # it ended before the request body was complete
        attempt.out, attempt.never_ran, seat = False, event.outcome in t.NEVER_RAN, attempt.endpoint_state
        s.spent = s.spent or event.last
        self.fly(seat, -1)
        gauge = self.gauge(s.workload)
        if event.outcome is t.Outcome.HANDLED:
            self.answers += 1
            self.handled += self.warmth(seat.report) == 1
            self.proved.add(now, self.warmth(seat.report) < 1)
            gauge.add(now, max(1, event.duration))
        # What is cancelled at the hard limit counts as a timeout of its endpoint, or only quick answers
        # would count.
        how = t.Outcome.TIMED_OUT if attempt.overdue else event.outcome
        overtaken = (
            s.done
            and not attempt.overdue
            or how in (t.Outcome.CALLED_OFF, t.Outcome.UNSENT, t.Outcome.REJECTED)
        )
        # Without this factor the slow answers of cold endpoints would make a growing fleet look crowded.
        warm = self.warmth(seat.report) if self.settings.uneven else 1.0
        pace = event.duration * warm / max(1.0, gauge.uncrowded)
        if how in (t.Outcome.HANDLED, t.Outcome.TIMED_OUT):
            # The mean spans the answers of about a second, at least eight.
            gain = max(0.03, 1 / (8 + self.answered.total(now) / 3))
            gauge.pace += 0.1 * (min(pace, 8.0) - gauge.pace)
            if gauge.pace > DRAGS * min(other.pace for other in self.gauges.values()):
                pace = self.crowding  # slow at all endpoints while other workloads are not: not due to load
            self.crowding += gain * (min(pace, 8.0) - self.crowding)
        self.answered.add(now, not overtaken)
        self.failed.add(now, not overtaken and how is not t.Outcome.HANDLED)
        if self.settings.uneven:
            pace = self.against_kind(
                seat, min(pace, 8.0), gauge.uncrowded * (event.outcome is t.Outcome.HANDLED)
            )
        self.message_queue.send(self.endpoints[seat.name], AttemptResult(how, pace, overtaken, self.usual))
        if event.closed or event.outcome is t.Outcome.HANDLED:
            self.close(s)
        s.refusals, s.spoilt = (
            s.refusals + (event.outcome is t.Outcome.REFUSED),
            event.outcome is t.Outcome.SPOILT,
        )
        if s.done and not s.out():
            self.open.pop(s.name, None)
        elif not s.done and not s.out() and not s.retrying and not self.plan_retry(s):
            self.finish(s)

    def plan_retry(self, s: RequestState) -> bool:
        now = self.message_queue.now
        hopeless = now + int(self.gauge(s.workload).uncrowded * 0.5) > s.contract_end
        spent = self.retried.total(now) + 1 >= RETRY_SHARE * self.taken.total(now)
        if s.held or hopeless or spent or not self.may_launch(s):
            return False
        # Inner tiers pass failures up, or retries would multiply; except what never ran, and unreadable
        # answers.
        if not self.settings.front and s.first_run() is not None and not s.spoilt:
            return False
        self.retried.add(now)
        s.retrying = True
        ceiling = min(RETRY_MAX, RETRY_BASE << len(s.attempts) - 1 + s.refusals, (s.due - now) // 2)
        self.message_queue.set_timer(now + self.random_source.upto(max(0, ceiling)), self, RetryDue(s))
        return True

    def retry_due(self, event: RetryDue) -> None:
        s = event.request
        if s.retrying:
            self.hold(s)
            self.dispatch()
        if s.held:
            self.message_queue.set_timer(
                max(self.patience(s), self.message_queue.now), self, RequestTimeout(s, False)
            )

    def silent(self, event: EndpointSilent) -> None:
        """Hedges the requests that hang at a silent endpoint."""
        for s in list(self.open.values()):
            there = any(attempt.out and attempt.endpoint_state.name == event.name for attempt in s.attempts)
            if there and s.out() == 1 and not s.retrying:
                self.plan_retry(s)

    def give_up(self, event: RequestTimeout) -> None:
        s = event.request
        if s.done or s.streaming or not (event.final or s.held):
            return
        if event.final and self.message_queue.now < s.due - s.settings.margin:
            return self.message_queue.set_timer(self.end_of(s), self, event)
        if not event.final and s.out():
            self.unhold(s)  # another attempt is still pending
            s.retrying = False
            return
        for attempt in s.attempts:
            attempt.overdue = attempt.out
        self.finish(s)

    def may_deny(self, s: RequestState) -> bool:
        """Rule 2: a rejection tells the client that repeating the request is safe."""
        all_drop = (
            s.workload.repeat is t.RepeatPolicy.DEDUPLICATED and s.workload.group is t.DeduplicationScope.ALL
        )
        return all_drop or s.workload.repeat is t.RepeatPolicy.IDEMPOTENT or s.first_run() is None

    def finish(self, s: RequestState) -> None:
        """Rejects the request. The retry advice is jittered, or rejected clients would return all at once."""
        advice = self.settings.advice // 2 + self.random_source.upto(self.settings.advice // 2)
        self.message_queue.commands.append(
            t.RejectRequest(s.name, advice) if self.may_deny(s) else t.AbortResponse(s.name)
        )
        self.close(s)

    def close(self, s: RequestState) -> None:
        if s.done:
            return
        self.unhold(s)
        s.done, s.retrying = True, False
        called_off = (
            number for number, attempt in enumerate(s.attempts) if attempt.out and s.settings.cancel
        )
        self.message_queue.commands += [t.CancelAttempt(s.name, number) for number in called_off]
        if not s.out():
            self.open.pop(s.name, None)

    def withdraw(self, event: t.RequestCancelled) -> None:
        if event.request in self.open:
            self.close(self.open[event.request])

    def start(self, event: t.ResponseStarted) -> None:
        if s := self.open.get(event.request):
            s.streaming = True

    def seat(self, event: EndpointReport) -> None:
        if event.name not in self.endpoints:
            return
        if event.name in self.endpoint_states:
            self.count(self.endpoint_states[event.name], -1)
        seat = self.endpoint_states.get(event.name)
        if seat is None:
            seat = self.endpoint_states[event.name] = EndpointState(
                event.name, event, mark=crc32(event.name.encode())
            )
            seat.pull, seat.used = event.entry.weight, not self.settings.few
            seat.lot = 0.0 if seat.used else -log(self.random_source.draw() or 0.5) / sqrt(event.entry.weight)
        if event.cold_since is not None and (
            event is seat.report or event.cold_since != seat.report.cold_since
        ):
            seat.credit, seat.credited = self.random_source.draw(), self.message_queue.now - self.idle
        seat.report, seat.size = event, event.entry.weight if self.settings.sized else 1.0
        if event.told is not None and event.told_at == self.message_queue.now and seat not in self.told:
            self.told.append(seat)
        self.count(seat, 1)
        self.shelve(seat)
        if self.endpoints[event.name].entry.state is t.EndpointStatus.GONE and not (
            seat.in_flight or seat.coming
        ):
            # Or memory would grow with every endpoint that ever existed.
            del self.endpoint_states[event.name], self.endpoints[event.name]
            self.told = deque((one for one in self.told if one is not seat), TOLD_KEPT)

    def count(self, seat: EndpointState, sign: int) -> None:
        if seat.counts():
            self.ready += sign
            self.in_flight += sign * seat.in_flight
            self.shares += sign * seat.report.share
            self.weight += sign * seat.size
            self.open_in[seat.report.entry.zone] = self.open_in.get(seat.report.entry.zone, 0) + sign

    def against_kind(self, seat: EndpointState, pace: float, uncrowded: float) -> float:
        """The pace relative to the endpoint's kind, or slower machines would always rank last though nothing
        is wrong."""
        pace = max(LEAST_PACE, pace)  # an answer may have taken no time
        kind, far = seat.report.entry.kind, seat.report.entry.zone != self.settings.zone
        if uncrowded:
            self.kinds[kind] = 0.98 * self.kinds.get(kind, pace) + 0.02 * pace
            self.zones[far] += 0.05 * (pace - self.zones[far])
            self.unhurried += (uncrowded - self.unhurried) * (0.02 if self.unhurried else 1.0)
        return pace * sum(self.kinds.values()) / max(1, len(self.kinds)) / self.kinds.get(kind, 1.0) or pace

    def balance(self, usual: float) -> None:
        """Updates what own traffic keeps in flight, and the part of it that each endpoint gets."""
        now = self.message_queue.now
        self.began = now if self.began < 0 else self.began
        rate = self.came.total(now) * SECOND / min(5 * SECOND, max(SECOND, now - self.began))
        if self.settings.sidecar_per_client:
            self.scale = rate * (self.unhurried or 100 * MS) / SECOND / max(1, self.ready)
        wanted = self.zones[0] > max(ABROAD, self.zones[1])
        self.abroad = min(1.0, self.abroad * 1.2) if wanted else max(ABROAD_LEAST, self.abroad * 0.9)
        for seat in self.endpoint_states.values():
            report, entry = seat.report, seat.report.entry
            seat.pull = entry.weight / (1.0 if self.settings.told_speed else self.kinds.get(entry.kind, 1.0))
            # The selection of endpoints accounts for the other square root.
            seat.pull **= 0.5 if self.settings.few else 1.0
            seat.pull *= min(1.5, (max(0.1, usual) / max(0.1, report.pace or usual)) ** 1.5)
            if self.settings.crossing and entry.zone != self.settings.zone:
                seat.pull *= self.abroad
        if self.settings.few:
            places = ceil(2 + rate / 8)
            for seat in sorted(self.endpoint_states.values(), key=lambda seat: seat.lot):
                used = places > 0
                places -= seat.report.open
                if used != seat.used:
                    self.count(seat, -1)
                    seat.used = used
                    self.count(seat, 1)
                    self.shelve(seat)

    def keep_sweeping(self) -> None:
        """Only while requests are open: an idle sidecar should not wake up."""
        if not self.sweeping:
            self.sweeping = True
            self.message_queue.set_timer(self.message_queue.now + SWEEP, self, PeriodicCheck())

    def sweep(self, event: PeriodicCheck) -> None:
        """Checks what is in flight, and learns the cap from the answers of all endpoints: those of one are
        too few."""
        settings, self.sweeping = self.settings, False
        if self.pace_over(self.settings.crowded):
            self.cap = max(settings.cap_floor, self.cap * 0.93)
        elif not self.pace_over(self.settings.roomy):
            self.grow()
        self.turned_back, self.answers = False, 0
        self.swept += 1
        self.look_over(self.swept % 5 == 0)
        for seat in list(self.busy.values()):
            self.message_queue.send(self.endpoints[seat.name], self.usual)
        if self.shedding and not self.waiting:
            self.shedding = False
            self.message_queue.log(f"shedding ended: {self.in_flight} in flight, room {self.part():.1f}")
        if self.open:
            self.keep_sweeping()

    def grow(self) -> None:
        """A sidecar with capacity for less than one attempt grows its cap by a fraction of it, as long as
        what is sent is answered; by the fixed step it would stay there for most of a minute."""
        thin = self.ready and self.part() < 1 and not self.settings.sidecar_per_client
        if thin and (self.answers or not self.in_flight):
            if self.waiting or self.turned_back:
                self.cap += max(self.settings.cap_growth, THIN_GROWTH * self.cap)
        elif self.waiting:
            self.cap = min(float(MAX_CAP), self.cap + self.settings.cap_growth)

    def look_over(self, all_: bool) -> None:
        """Visits all endpoints only on request, since that costs most."""
        now, pace, told = self.message_queue.now, self.usual.pace, self.usual.told
        took = int(max((g.usual for g in self.gauges.values()), default=self.usual.took))
        failed, answered = self.failed.total(now), self.answered.total(now)
        busy = [seat.report.busy for seat in self.told if seat.report.told_at > now - TOLD_AGE]
        if all_:
            report = [seat.report for seat in self.endpoint_states.values()]
            paces = sorted(one.pace for one in report if one.pace is not None)
            pace = paces[len(paces) // 2] if paces else 1.0
            reports = [one.told for one in report if one.told is not None and one.told_at > now - TOLD_AGE]
            told = sum(reports) / len(reports) if reports else 0.0
            cold = [seat for seat in self.endpoint_states.values() if seat.report.cold_since is not None]
            self.measure_warm(cold, now - self.looked)
            for seat in self.load_buckets[MAX_CAP]:
                self.message_queue.send(self.endpoints[seat.name], self.usual)
            for seat in cold:
                self.shelve(seat)  # the mean load that it counts with has changed
        if all_ and self.settings.uneven:
            self.balance(pace)
        load = sum(busy) / len(busy) if busy else 1.0
        self.usual = FleetAverages(took, self.crowding, pace, failed, answered, told, load)

    def measure_warm(self, cold: list[EndpointState], span: int) -> None:
        """Measures what a warm endpoint handles, from which follows what a cold one may be sent."""
        still = [seat.size for seat in cold if seat.counts() and self.warmth(seat.report) < 1]
        warm = self.weight - sum(still)
        if self.ready > len(still) and warm > 0 and span > 0:
            gain = max(5 / self.swept, min(1.0, span / (5 * SECOND)))
            self.each += gain * (self.handled * SECOND / span / warm - self.each)
        self.handled, self.looked = 0, self.message_queue.now
        if cold and not self.each:
            used = [seat for seat in self.endpoint_states.values() if seat.used]
            self.size = sum([seat.size for seat in used if seat.report.entry.state is t.EndpointStatus.READY])
            self.able = sum([self.warmth(seat.report) * seat.size for seat in cold if seat.counts()])


class EndpointActor(Actor):
    """Evaluates one endpoint: its share of the cap, and whether it is ready, ejected or on trial."""

    def __init__(
        self,
        message_queue: MessageQueue,
        dispatcher: Dispatcher,
        registry: EndpointRegistry,
        random_source: RandomSource,
        entry: t.ListEntry,
    ) -> None:
        super().__init__()
        self.message_queue, self.dispatcher, self.registry, self.random_source, self.entry = (
            message_queue,
            dispatcher,
            registry,
            random_source,
            entry,
        )
        self.usual, self.share = FleetAverages(), 1.0
        self.told: float | None = None
        self.told_at, self.busy, self.crowded = 0, 1.0, False
        self.mode = "ready"  # or "aside" (ejected), "trial"
        # Time of the last answer, or of the first attempt after none was in flight.
        self.in_flight, self.heard = 0, 0
        self.pace: float | None = None
        # Answers since the last ejection; connection failures in a row.
        self.answers, self.broken = 0, 0
        self.failed, self.answered = BucketedSum(6, SECOND // 2), BucketedSum(6, SECOND // 2)
        self.rest, self.turn, self.good_probes, self.eased, self.blip = REST, 0, 0, 0, False
        self.cold_since: int | None = None

    def tell(self) -> None:
        open_ = self.mode != "aside" and self.entry.state is t.EndpointStatus.READY
        self.message_queue.send(
            self.dispatcher,
            EndpointReport(
                self.entry.endpoint,
                open_,
                self.mode == "trial",
                self.crowded,
                self.share,
                self.pace,
                self.told,
                self.told_at,
                self.busy,
                self.cold_since,
                self.entry,
            ),
        )

    def listed(self, event: t.ListEntry) -> None:
        entry, fresh = (
            event,
            event.started and self.message_queue.now - event.started < self.dispatcher.settings.cold_time,
        )
        fresh = fresh and (entry.started != self.entry.started or self.heard == 0)
        if fresh:
            # By another machine's clock the start may lie in the future: it would stay cold for too long.
            self.cold_since = min(entry.started, self.message_queue.now)
        returned, self.entry = self.entry.state is not entry.state is t.EndpointStatus.READY, entry
        if self.mode == "aside" and fresh and entry.state is t.EndpointStatus.READY:
            # By the list it runs, and the probes of all sidecars would use up its whole cold budget.
            return self.on_trial()
        if self.mode == "aside" and returned:
            self.schedule_probe(0)  # it was not probed so far: no need to wait out the ejection time
        self.tell()

    def sent(self, event: AttemptSent) -> None:
        self.heard, self.in_flight = (
            self.heard if self.in_flight else self.message_queue.now,
            self.in_flight + 1,
        )

    def answer(self, event: AttemptResult) -> None:
        self.in_flight, self.usual = self.in_flight - 1, event.usual
        if not event.overtaken:
            self.answered.add(self.message_queue.now)
            self.heard = self.heard if event.outcome is t.Outcome.TIMED_OUT else self.message_queue.now
            if event.outcome is t.Outcome.HANDLED:
                self.handled(event.pace)
            else:
                self.failure(event.outcome)
            self.judge()
        self.tell()

    def handled(self, pace: float) -> None:
        self.broken, self.answers = 0, self.answers + 1
        was = pace if self.pace is None else self.pace
        self.pace = was + max(0.1, 1 / (self.answers + 1)) * (min(pace, 8) - was)
        self.share = min(1.0, self.share + SHARE_BACK)
        if self.mode == "trial" and self.answers >= 3:
            self.end_trial()

    def failure(self, how: t.Outcome) -> None:
        quiet = self.message_queue.now - self.heard
        self.failed.add(self.message_queue.now)
        if how in (t.Outcome.UNCONNECTED, t.Outcome.RESET):
            # One failure to connect is enough: the probe that follows soon is cheaper than another attempt.
            self.broken += 2 if how is t.Outcome.UNCONNECTED else 1
            if self.broken >= 2:
                self.plead("connections break", True)
        else:
            self.broken = 0
            self.ease(how)
            if quiet > SILENCE * self.usual.took:
                # A hang met by one attempt alone: else each sidecar would keep losing single attempts to it.
                self.plead(f"silent {quiet // MS} ms up to a time-out", False)
        if self.mode == "trial":
            self.plead("failed its trial", True)

    def report(self, load: t.LoadReport) -> None:
        """Takes up the queue length that one more request would meet, if reported, and the utilization."""
        if load.queued is not None:
            self.told, self.told_at = load.queued + 1, self.message_queue.now
        self.busy = 1.0 if load.busy is None else load.busy

    def judge(self) -> None:
        """Evaluates its answers against the fleet's averages."""
        now, usual = self.message_queue.now, self.usual
        # Own attempts in flight say little about a shared endpoint: a slow or full one is picked last.
        fresh = self.told is not None and now - self.told_at <= TOLD_AGE
        self.crowded = fresh and 0 < 2 * usual.told < self.told  # a mean of 0 is not known yet
        if self.pace and self.answers >= 3 and now - self.heard < TOLD_AGE:
            self.crowded = self.crowded or self.pace > BEHIND * max(1.0, usual.pace)
        failed, answered = self.failed.total(now), self.answered.total(now)
        failing = max(0.0, usual.failed - failed) / max(
            1.0, usual.answered - answered
        )  # of all other endpoints
        if failed >= 3 and failed > (0.3 + 2 * failing) * answered:  # probes also fail without any answer
            # Quick errors free its capacity fast, so it gets ever more requests; it must not count in the
            # average.
            self.plead(f"failed {failed:.0f} of {answered:.0f}", False)
        elif self.pace and self.answers >= 6 and self.pace > SLOW * max(1.0, usual.pace):
            # Slow by itself, not with all others: overloaded or starved, it has to recover.
            self.plead(f"slow, pace {self.pace:.1f}, fleet {usual.pace:.1f}", False)

    def end_trial(self) -> None:
        """Keeps an endpoint that is still overloaded from returning with its full share."""
        if self.pace > SLOW * max(1.0, self.usual.pace):
            self.plead(f"still slow, pace {self.pace:.1f}", True)
        else:
            self.mode = "ready"
            self.message_queue.log(f"{self.entry.endpoint} ready again: 3 answers, pace {self.pace:.1f}")

    def ease(self, how: t.Outcome) -> None:
        """Lowers its share, at most once per check interval; not for quick errors, which show no load by
        themselves."""
        load = how not in (t.Outcome.ERROR, t.Outcome.SPOILT) or self.usual.crowding > ROOMY
        if load and self.message_queue.now - self.eased >= SWEEP:
            self.eased, self.share = self.message_queue.now, max(0.1, self.share * 0.7)

    def look(self, event: FleetAverages) -> None:
        """Evaluates again while attempts are in flight or the endpoint is picked last."""
        self.usual = event
        if self.mode == "aside" or self.entry.state is t.EndpointStatus.GONE:
            return
        quiet = self.message_queue.now - self.heard
        if self.in_flight and quiet > (SILENCE + LONELY / self.in_flight) * event.took + SWEEP:
            self.plead(f"silent {quiet // MS} ms, usual {event.took // MS} ms", False)
        self.judge()
        self.tell()

    def plead(self, why: str, hard: bool) -> None:
        if self.mode != "aside":
            self.message_queue.send(self.registry, EjectionRequest(self.entry.endpoint, why, hard))

    def aside(self, event: Ejected) -> None:
        if self.mode == "aside":
            return
        self.rest = min(REST_MAX, self.rest * 2) if self.mode == "trial" else REST
        self.mode, self.good_probes, self.blip = "aside", 0, self.mode == "ready" and self.broken >= 2
        self.message_queue.log(f"{self.entry.endpoint} set aside: {event.why}")
        if self.in_flight and event.why.startswith("silent"):
            self.message_queue.send(self.dispatcher, EndpointSilent(self.entry.endpoint))
        rest = self.rest - self.random_source.upto(self.rest // 4)
        self.schedule_probe(SECOND // 10 if self.broken >= 2 and self.dispatcher.settings.probes else rest)
        self.tell()

    def schedule_probe(self, delay: int) -> None:
        self.turn += 1
        self.message_queue.set_timer(self.message_queue.now + delay, self, ProbeDue(self.turn))

    def probe_due(self, event: ProbeDue) -> None:
        if event.turn != self.turn or self.mode != "aside" or self.entry.state is not t.EndpointStatus.READY:
            return
        if self.dispatcher.settings.probes:
            self.message_queue.commands.append(t.StartProbe(self.entry.endpoint))
        else:
            self.back()

    def probed(self, event: t.ProbeEnded) -> None:
        if event.load is not None:
            self.report(event.load)
        if self.mode != "aside":
            if event.outcome is t.Outcome.UNCONNECTED:
                self.failure(event.outcome)
            self.judge()
            return self.tell()
        good = event.outcome is t.Outcome.HANDLED
        self.good_probes, self.blip = self.good_probes + 1 if good else 0, self.blip and good
        if self.good_probes >= 2:
            self.back()
        else:
            self.schedule_probe(SECOND // 5 if good else SECOND + self.random_source.upto(SECOND // 2))

    def back(self) -> None:
        """Starts a trial: one attempt at a time, counted as cold, since a probe shows only that it runs."""
        if self.blip:  # connections failed, but every probe since was answered: it was never down
            self.mode, self.broken = "ready", 0
            self.message_queue.log(f"{self.entry.endpoint} ready again: it was not away")
            return self.tell()
        self.on_trial()

    def on_trial(self) -> None:
        self.mode, self.answers, self.pace, self.broken = "trial", 0, None, 0
        self.failed, self.answered = BucketedSum(6, SECOND // 2), BucketedSum(6, SECOND // 2)
        cold = (
            self.cold_since is not None
            and self.message_queue.now - self.cold_since < self.dispatcher.settings.cold_time
        )
        self.heard, self.cold_since = (
            self.message_queue.now,
            self.cold_since if cold else self.message_queue.now,
        )
        self.message_queue.log(f"{self.entry.endpoint} on trial")
        self.tell()


class EndpointRegistry(Actor):
    """Follows the endpoint list, and grants ejections."""

    def __init__(
        self, message_queue: MessageQueue, dispatcher: Dispatcher, random_source: RandomSource
    ) -> None:
        super().__init__()
        self.message_queue, self.dispatcher, self.random_source, self.asks = (
            message_queue,
            dispatcher,
            random_source,
            0,
        )
        self.endpoints = dispatcher.endpoints
        self.listed: dict[str, t.ListEntry] = {}
        self.out: set[str] = set()  # by operators
        # Listed as gone without a drain: they stay in use where that is not binding.
        self.dropped: set[str] = set()

    def update(self, event: t.ListReceived) -> None:
        longest, failed = self.dispatcher.settings.ask_span, event.kind is t.ListKind.FAILED
        self.asks = self.asks + 1 if failed else 0  # discovery is overloaded, or the watch broke: back off
        base = min(SECOND, self.dispatcher.settings.told * ASK_APART) << min(self.asks, 4)
        span = min(longest, ASK_AGAIN, base) if failed else longest * (event.kind is t.ListKind.CACHED)
        if span:  # jittered after a failure, spread after a cached list
            self.message_queue.set_timer(
                self.message_queue.now + failed * span // 4 + self.random_source.upto(span), self, PollDue()
            )
        if failed:
            return
        if event.kind is not t.ListKind.CHANGES:
            named = {entry.endpoint for entry in event.entries}
            for entry in [entry for name, entry in self.listed.items() if name not in named]:
                self.tell(replace(entry, state=t.EndpointStatus.GONE))
        for entry in sorted(event.entries, key=lambda entry: entry.state is t.EndpointStatus.READY):
            self.tell(entry)  # leaving ones first: held requests go out as soon as a new one is ready

    def tell(self, entry: t.ListEntry) -> None:
        name, was = entry.endpoint, self.listed.get(entry.endpoint)
        if not 0 < entry.weight < inf:
            entry = replace(entry, weight=1.0)  # not a valid size
        self.dropped.discard(name)
        gone = (
            entry.state is t.EndpointStatus.GONE and was is not None and was.state is t.EndpointStatus.READY
        )
        if gone and not self.dispatcher.settings.gone_binds and self.endpoints[name].mode != "aside":
            return self.dropped.add(name)  # the list may be wrong: believed once the endpoint also fails
        if name not in self.endpoints:
            self.endpoints[name] = EndpointActor(
                self.message_queue, self.dispatcher, self, self.random_source, entry
            )
        if entry.state is t.EndpointStatus.GONE:
            self.listed.pop(name, None)
        else:
            self.listed[name] = entry
        if name in self.out and entry.state is t.EndpointStatus.READY:
            entry = replace(entry, state=t.EndpointStatus.DRAINING)
        self.message_queue.send(self.endpoints[name], entry)

    def by_hand(self, event: t.OperatorOverride) -> None:
        """Rules 3 and 4 apply as for a listed drain or start; the list is still followed underneath."""
        if event.out == (event.endpoint in self.out):
            return
        (self.out.add if event.out else self.out.discard)(event.endpoint)
        entry = self.listed.get(event.endpoint)
        if entry is not None:
            self.tell(
                entry if event.out else replace(entry, started=max(entry.started, self.message_queue.now))
            )
        self.message_queue.log(f"{event.endpoint} {'out' if event.out else 'back'} by hand")

    def ask(self, event: PollDue) -> None:
        self.message_queue.commands.append(t.StartWatch())

    def probed(self, event: t.ProbeEnded) -> None:
        if event.endpoint in self.endpoints:
            self.message_queue.send(self.endpoints[event.endpoint], event)

    def plea(self, event: EjectionRequest) -> None:
        """Never ejects many on soft evidence: what all endpoints have in common is not the fault of one."""
        if event.name in self.dropped:
            self.endpoints[event.name].mode = "aside"
            return self.tell(replace(self.listed[event.name], state=t.EndpointStatus.GONE))
        aside = sum(self.endpoints[name].mode == "aside" for name in self.listed)
        most = max(1, ASIDE_SHARE * len(self.listed))
        if len(self.listed) - aside > 1 and event.name in self.listed and (event.hard or aside + 1 <= most):
            self.message_queue.send(self.endpoints[event.name], Ejected(event.why))


class Sidecar:
    """The decision module: passes events from outside to its actors, and keeps one timer pending."""

    def __init__(self, d: t.Deployment) -> None:
        self.message_queue, random_source = MessageQueue(), RandomSource(d.seed)
        self.dispatcher = Dispatcher(self.message_queue, DispatchSettings(d), random_source)
        self.registry = EndpointRegistry(self.message_queue, self.dispatcher, random_source)
        self.armed: int | None = None

    def step(self, now: int, events: list[t.Event], ring: bool = True) -> list[t.Command]:
        """Without `ring`, timers that are due wait for a later step. An exception while handling one event
        loses only that event: it is raised after the others are handled, with all commands, including the
        next timer, in `message_queue.commands`."""
        message_queue = self.message_queue
        message_queue.now, message_queue.commands = now, []
        for event in (event for event in events if not isinstance(event, t.TimerFired)):
            message_queue.send(
                self.registry
                if isinstance(event, t.ListReceived | t.ProbeEnded | t.OperatorOverride)
                else self.dispatcher,
                event,
            )
            message_queue.run()
        at = message_queue.fire_timers() if ring else None
        if at is not None and (
            self.armed is None or self.armed <= now or at < self.armed or message_queue.defects
        ):
            self.armed = max(now + 1, at)
            message_queue.commands.append(t.SetTimer(self.armed, 1))
        if message_queue.defects:
            first, message_queue.defects = message_queue.defects[0], []
            raise first
        return message_queue.commands
