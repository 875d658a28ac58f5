"""All decisions of one sidecar: create one `Sidecar(deployment)`, then call `step(now, events)` for each
batch of events; it returns commands.

Pure: no I/O, no clock, no state outside the instance. The types are in `terms.py`, the design rationale in
`docs/design.md`. The actors, in the order in which a request meets them: `Dispatcher` (accepts, holds,
routes, retries and rejects requests), `EndpointActor` (one per endpoint) and `EndpointRegistry` (the
endpoint list). They exchange messages, which a single loop delivers (`MessageQueue.run`).

Comments refer to four rules, which `lab/rule_checker.py` verifies from outside:
1. Each request gets exactly one answer, in time, and no attempt is sent after it.
2. No attempt and no rejection may cause an effect twice.
3. After a grace period no attempt goes to an endpoint that drains or is gone.
4. No cold endpoint is overloaded by sidecars that know of its restart."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from math import ceil, inf, log, sqrt
from typing import Any
from zlib import crc32

from lupinmill import terms as t
from lupinmill.workings import (
    MEAN_SAMPLES_FRACTIONAL,
    Actor,
    Attempt,
    AttemptResult,
    AttemptSent,
    BucketedSum,
    Ejected,
    EjectionRequest,
    EndpointReport,
    EndpointHeard,
    EndpointSilent,
    EndpointState,
    FleetAverages,
    LatencyEstimate,
    MessageQueue,
    PeriodicCheck,
    PollDue,
    ProbeDue,
    RandomSource,
    RequestQueue,
    RequestTimeout,
    RetryDue,
    SingleActor,
    mixed,
)

MS, SECOND = 1_000, 1_000_000
INITIAL_AVERAGES = FleetAverages()
NOTHING_COUNTED = BucketedSum(1, SECOND)  # of an endpoint without answers, as most of a large fleet are
# Usual latencies that have to be left until the deadline for an attempt that replaces one whose response may
# be forwarded.
REPLACEMENT_LATENCIES = 3.0
# Between two checks of the attempts in flight.
CHECK_INTERVAL = 100 * MS
RETRY_BASE_DELAY, RETRY_MAX_DELAY = 20 * MS, 1 * SECOND
# Retries stay below a tenth of the requests of the last ten seconds, counted in buckets of 0.5 s.
RETRY_BUDGET_SHARE, RETRY_BUDGET_BUCKETS = 0.1, 20
CAP_START, MAX_CAP = 4, 32
# Of an endpoint's caps at all sidecars together: sum at the start, growth per check while requests wait, and
# floor.
FLEET_CAP_START, FLEET_CAP_GROWTH, FLEET_CAP_FLOOR = 8.0, 0.1, 4.0
# Relative growth per check of a cap that leaves a sidecar less than one attempt in flight.
SMALL_CAPACITY_GROWTH = 0.2
# With a sidecar per client: start, growth and floor, as multiples of what its own traffic keeps in flight.
PER_CLIENT_CAPS = 3.0, 0.02, 0.5
# Pace in the own zone above which other zones gain preference; the preference that they always keep.
REMOTE_PACE, REMOTE_PREFERENCE_MIN = 1.5, 0.03
# As CROWDED_PACE and UNCROWDED_PACE; wider, since the mean of few answers varies more.
PER_CLIENT_PACE_LIMITS = 2.2, 1.75
# Factor on the starting cap where caps are fractions: with uneven load the fullest endpoint jams first.
FRACTIONAL_CAP_FACTOR = 0.7
# Latencies, as multiples of the uncrowded latency, above which caps fall and below which they may rise.
CROWDED_PACE, UNCROWDED_PACE = 1.9, 1.5
# See `Dispatcher.assumed_warm_rate`.
UNPROVEN_SHARE, PROVEN_BASE_SHARE, PROVEN_RATE_MULTIPLE, PROOF_TIME, MANY_SIDECARS = (
    0.14,
    0.05,
    2.0,
    1_250 * MS,
    1_000,
)
MIN_PACE = 0.001  # of an answer: the mean pace of a kind of endpoint is a divisor
# Below this CPU utilization in load reports endpoints are not crowded, whatever a few answers suggest.
BUSY_UTILIZATION = 0.8
EJECTION_TIME, EJECTION_TIME_MAX = 3 * SECOND, 12 * SECOND
SHARE_RECOVERY = 0.05  # of the common cap, regained with each answer
# Answers behind a mean latency. Where caps are fractions answers are few, and the least of small means is too
# low: there it is MEAN_SAMPLES_FRACTIONAL.
MEAN_SAMPLES = 10
DEPRIORITIZED_PACE = 1.5  # multiple of the median pace above which an endpoint is picked last
# Time for which a load report counts; number of recent reporters that decide ties.
REPORT_LIFETIME, RECENT_REPORTERS = 2_500 * MS, 8
# An endpoint without an answer for so many usual latencies is silent. The second figure is divided by the
# attempts in flight there and added, as a single request may take long.
SILENCE_MULTIPLE, SINGLE_ATTEMPT_SILENCE_MULTIPLE = 4.0, 6.0
SLOW_PACE = 2.7  # multiple of the median endpoint's pace above which an endpoint is slow
SLOW_WORKLOAD_RATIO = 3.5  # multiple of the lowest workload's pace above which a workload is slow by itself
# Spacing between sidecars that all lost the endpoint list; the longest delay before one polls again.
POLL_SPACING, POLL_RETRY_MAX_DELAY = 30 * MS, 1_600 * MS
START_SPACING = 40 * MS  # between the first polls of sidecars that all started together
MAX_EJECTED_SHARE = 0.34  # on soft evidence at most this share of the endpoints is ejected


@dataclass(slots=True)
class RequestState:
    """An accepted request, until the outcome of its last attempt has arrived."""

    name: str
    workload: t.Workload
    due: int
    contract_end: int
    arrived_at: int
    queue: RequestQueue
    settings: DispatchSettings  # in force when it was accepted
    attempts: list[Attempt] = field(default_factory=list)
    held: bool = False
    retrying: bool = False
    streaming: bool = False
    done: bool = False
    refusals: int = 0
    last_spoilt: bool = False  # the last answer was unreadable
    body_received: bool = True  # its last byte has arrived
    is_repeat: bool = False
    body_lost: bool = False  # its body is no longer available for another attempt
    key_hash: int = 0  # 0: no key
    zone: str = ""  # where the shared plan sends its first attempt; empty: anywhere

    def pending_count(self) -> int:
        return sum(attempt.pending for attempt in self.attempts)

    def first_possible_run(self) -> Attempt | None:
        """The earliest attempt that is pending or may have run."""
        return next((attempt for attempt in self.attempts if not attempt.never_ran), None)


class DispatchSettings:
    """Figures derived from the deployment, by which the dispatcher decides."""

    def __init__(self, deployment: t.Deployment) -> None:
        self.is_front, self.deadline_margin, self.warm_keys = (
            deployment.tier == 0,
            2 * deployment.round,
            deployment.warm_keys,
        )
        self.workloads, self.max_attempts = (
            {workload.name: workload for workload in deployment.workloads},
            deployment.max_attempts,
        )
        self.hedging_allowed, self.cancel_allowed, self.beyond_share_value = (
            deployment.hedging_allowed,
            deployment.cancel_allowed,
            deployment.beyond_share_value,
        )
        self.probes_allowed, self.load_reports = (
            deployment.probes_allowed,
            deployment.probes_allowed and deployment.reports_asked,
        )
        self.longest_advice = deployment.longest_advice if deployment.advice_allowed else 0
        self.cold_share, self.cold_time, self.gone_binds = (
            deployment.cold_share,
            max(1, deployment.cold_time),
            deployment.gone_binds,
        )
        self.overload_time, self.weights_are_sizes = (
            max(1, deployment.overload_time),
            not deployment.weights_live,
        )
        self.uneven, self.sidecar_per_client, self.few_connections = (
            deployment.uneven,
            deployment.sidecar_per_client,
            deployment.few_connections,
        )
        self.configured_sidecars = self.active_sidecars = max(1, deployment.instances)
        self.poll_span = (
            max(SECOND, min(deployment.poll_interval, 10 * SECOND)) * 2 // 5
            if deployment.poll_discovery
            else 0
        )
        self.set_active_sidecars(self.configured_sidecars)
        # The higher the weight of the pooled goal, the more a workload's value counts for its priority.
        weight = deployment.pooled_weight + deployment.evenness_weight
        self.value_exponent = deployment.pooled_weight / weight if weight else 1.0
        total_quota = sum(tenant.quota_per_s for tenant in deployment.tenants) or 1.0
        self.tenant_shares = (
            {tenant.name: tenant.quota_per_s / total_quota for tenant in deployment.tenants}
            if self.is_front
            else {}
        )
        self.crowded_pace, self.uncrowded_pace = (
            PER_CLIENT_PACE_LIMITS if deployment.sidecar_per_client else (CROWDED_PACE, UNCROWDED_PACE)
        )
        self.crossing_price, self.weights_tell_speed, self.zone = (
            deployment.crossing_price,
            deployment.weights_tell_speed,
            deployment.zone,
        )

    def set_active_sidecars(self, sidecars: int) -> float:
        """Returns the factor for a learned cap. With many sidecars even one attempt from each would overload
        the endpoints, so caps may be fractions. With a sidecar per client they are multiples of what its own
        traffic keeps in flight."""
        before, self.active_sidecars = (
            self.active_sidecars,
            sidecars if sidecars > 0 else self.configured_sidecars,
        )
        factor, self.mean_samples = (
            (1.0, MEAN_SAMPLES)
            if self.active_sidecars <= FLEET_CAP_START
            else (FRACTIONAL_CAP_FACTOR, MEAN_SAMPLES_FRACTIONAL)
        )
        caps = [
            total / self.active_sidecars
            for total in (factor * FLEET_CAP_START, factor * factor * FLEET_CAP_GROWTH, FLEET_CAP_FLOOR)
        ]
        self.cap_start, self.cap_growth, self.cap_floor = PER_CLIENT_CAPS if self.sidecar_per_client else caps
        self.cap_start = min(CAP_START, self.cap_start)
        return 1.0 if self.sidecar_per_client else before / self.active_sidecars


class Dispatcher(SingleActor):
    """Accepts, holds, routes, retries and rejects requests."""

    def __init__(
        self, message_queue: MessageQueue, settings: DispatchSettings, random_source: RandomSource
    ) -> None:
        super().__init__()
        self.message_queue, self.settings, self.random_source = message_queue, settings, random_source
        self.endpoints: dict[str, EndpointActor] = {}
        self.requests: dict[str, RequestState] = {}  # until the last outcome has arrived
        self.endpoint_states: dict[str, EndpointState] = {}
        self.load_buckets: list[list[EndpointState]] = [[] for _ in range(2 * MAX_CAP)]  # of available ones
        # Sums over the available endpoints.
        self.ready, self.in_flight, self.share_sum, self.size_sum = 0, 0, 0.0, 0.0
        self.busy: dict[str, EndpointState] = {}  # with attempts in flight
        self.cap = settings.cap_start  # common to all endpoints, of which each takes its share
        self.recent_reporters: deque[EndpointState] = deque(maxlen=RECENT_REPORTERS)
        self.averages, self.check_scheduled, self.check_count, self.rounding_draw, self.redraw_at = (
            INITIAL_AVERAGES,
            False,
            0,
            0.0,
            0,
        )
        self.queues: dict[tuple[str, bool, bool, str], RequestQueue] = {}
        self.fleet_state, self.ready_by_zone = t.FleetState(), {}
        self.restricted: list[RequestState] = []  # held for some of the endpoints only
        self.waiting, self.shedding, self.crowding = 0, False, 1.0
        self.rejected_since_check, self.handled_since_check = False, 0
        self.latency_estimates: dict[str, LatencyEstimate] = {}
        self.new_requests, self.retries = (
            BucketedSum(RETRY_BUDGET_BUCKETS, SECOND // 2),
            BucketedSum(RETRY_BUDGET_BUCKETS, SECOND // 2),
        )
        self.attempts_sent, self.arrivals, self.arrivals_since = (
            BucketedSum(10, SECOND // 10),
            BucketedSum(10, SECOND // 2),
            -1,
        )
        # Uncrowded latency over all workloads; the factor on the common cap.
        self.uncrowded_latency, self.cap_scale = 0.0, 1.0
        # Requests per second that a warm endpoint of size 1 handles; total size listed as ready, ejected or
        # not.
        self.warm_rate, self.listed_size = 0.0, 0.0
        # Requests handled by cold endpoints, and how many warm ones those amount to.
        self.cold_handled, self.cold_capacity, self.first_arrival = BucketedSum(4, SECOND // 2), 0.0, -1
        # Time without traffic earns no credit, or all sidecars would use up the saved credit at once.
        self.idle_time, self.last_arrival = 0, -1
        self.warm_handled, self.warm_measured_at = 0, 0
        self.pace_by_kind: dict[str, float] = {}  # of endpoint
        # Pace in the own zone and in all others; preference for endpoints in other zones.
        self.pace_by_distance, self.remote_preference = [1.0, 1.0], 0.2
        self.arrivals_by_tenant = {name: BucketedSum(10, SECOND // 2) for name in settings.tenant_shares}
        self.failed, self.answered = BucketedSum(6, SECOND // 2), BucketedSum(6, SECOND // 2)

    def take(self, event: Any) -> None:
        super().take(event)
        if self.waiting:
            self.dispatch()

    # A request arrives.

    def on_request_arrived(self, event: t.RequestArrived) -> None:
        now, settings = self.message_queue.now, self.settings
        if event.request in self.requests:
            return  # a duplicate event
        workload = settings.workloads.get(event.workload) or t.Workload(
            event.workload, event.due - now, event.due - now
        )
        self.arrivals.add(now)
        self.idle_time += (
            max(0, now - self.last_arrival - settings.overload_time) if self.last_arrival >= 0 else 0
        )
        self.last_arrival, self.first_arrival = now, now if self.last_arrival < 0 else self.first_arrival
        if not event.keyed and workload.repeat is t.RepeatPolicy.DEDUPLICATED:
            # Without a key no endpoint would drop its repeats.
            workload = replace(workload, repeat=t.RepeatPolicy.UNREPEATABLE)
        self.new_requests.add(now, not event.repeated)
        end = min(event.due, now + self.contract(workload, event.due, event.repeated))
        zone = self.planned_zone(workload)
        queue = self.queue_for(workload, self.is_beyond_share(event.tenant), event.repeated, zone)
        request = RequestState(event.request, workload, event.due, end, now, queue, settings, zone=zone)
        request.body_received, request.is_repeat = event.whole, event.repeated
        request.key_hash = crc32(event.key.encode()) if settings.warm_keys and event.key else 0
        self.requests[request.name] = request
        if not self.ready and settings.sidecar_per_client:
            self.rebalance(1.0)
        self.schedule_check()
        self.message_queue.set_timer(self.reject_at(request), self, RequestTimeout(request, True))
        self.hold(request)
        self.dispatch()
        if request.held:
            self.admit(request)

    def contract(self, workload: t.Workload, due: int, repeated: bool) -> int:
        # The client of a repeat has been waiting for a while already.
        own = workload.contract // 2 if repeated else workload.contract
        return own if self.settings.is_front else due - self.message_queue.now

    def on_body_received(self, event: t.RequestBodyReceived) -> None:
        request, now = self.requests.get(event.request), self.message_queue.now
        if request is None or request.body_received:
            return
        # Endpoints begin to work with the last byte: until then the request kept none busy.
        request.body_received, request.due, request.arrived_at = True, event.due, now
        request.contract_end = min(
            request.due, now + self.contract(request.workload, request.due, request.is_repeat)
        )
        self.message_queue.set_timer(self.reject_at(request), self, RequestTimeout(request, True))
        for attempt in (attempt for attempt in request.attempts if attempt.pending):
            attempt.sent_at = now
            self.record_sent(attempt)

    def reject_at(self, request: RequestState) -> int:
        """Bounds the timer where the deadline is a guess: the request may be complete minutes before it."""
        end = request.due - request.settings.deadline_margin
        return end if request.body_received else min(end, self.message_queue.now + 10 * SECOND)

    def record_sent(self, attempt: Attempt) -> None:
        endpoint, attempt.counted = attempt.endpoint_state, True
        endpoint.receiving -= 1
        self.adjust_in_flight(endpoint, 1)
        self.attempts_sent.add(self.message_queue.now)
        self.message_queue.send(self.endpoints[endpoint.name], AttemptSent())

    def adjust_in_flight(self, endpoint: EndpointState, added: int) -> None:
        endpoint.in_flight += added
        self.in_flight += added * endpoint.is_available()
        if endpoint.in_flight:
            self.busy[endpoint.name] = endpoint
        else:
            self.busy.pop(endpoint.name, None)
        self.update_bucket(endpoint)

    def on_predecessor_load(self, event: t.PredecessorLoad) -> None:
        """Counts the older process's attempts, or both processes of an upgrade would fill every cap."""
        self.retries.add(self.message_queue.now, event.retried)
        for endpoint in list(self.endpoint_states.values()):
            if added := event.in_flight.get(endpoint.name, 0) - endpoint.predecessor_in_flight:
                endpoint.predecessor_in_flight += added
                self.adjust_in_flight(endpoint, added)
            if added and not endpoint.in_flight:
                self.endpoints[endpoint.name].send_report()  # it may be gone by now

    def is_beyond_share(self, tenant: str) -> bool:
        """Whether this request exceeds its tenant's share of this sidecar's traffic. The quotas are of all
        sidecars together; their traffic is assumed to have the same mix of tenants."""
        if (arrivals := self.arrivals_by_tenant.get(tenant)) is None:
            return False
        arrivals.add(self.message_queue.now)
        share, sent = (
            self.arrivals.total(self.message_queue.now) * self.settings.tenant_shares[tenant],
            arrivals.total(self.message_queue.now),
        )
        return share < sent and self.random_source.draw() > share / sent

    def on_fleet_state(self, event: t.FleetState) -> None:
        """Applies the shared state until the next one or its expiry, after which the deployment's values
        hold."""
        if event.until or self.message_queue.now >= self.fleet_state.until:
            self.cap = min(float(MAX_CAP), self.cap * self.settings.set_active_sidecars(event.sidecars))
            self.fleet_state = event
        if event.until:
            self.message_queue.set_timer(event.until, self, t.FleetState())

    def planned_zone(self, workload: t.Workload) -> str:
        """The zone by the shared plan, or its fallback where that zone is lost. Placement rules take
        precedence."""
        zone, plans = (
            "",
            () if workload.zones or workload.kinds else self.fleet_state.plan.get(workload.name, ()),
        )
        for shares in plans:
            if not zone or self.is_zone_lost(zone):
                remainder = self.random_source.draw()
                zone = next(
                    (name for name, share in shares.items() if (remainder := remainder - share) < 0), zone
                )
        return zone

    def is_zone_lost(self, zone: str) -> bool:
        """Whether this sidecar finds most endpoints of the zone unavailable."""
        return self.ready_by_zone.get(zone, 0) * 2 < self.fleet_state.listed.get(zone, 1)

    def queue_for(self, workload: t.Workload, beyond_share: bool, repeated: bool, zone: str) -> RequestQueue:
        key = (workload.name, beyond_share, repeated, zone)
        queue = self.queues.get(key) or RequestQueue(self.priority(workload, beyond_share, repeated), zone)
        return self.queues.setdefault(key, queue)

    def priority(self, workload: t.Workload, beyond_share: bool, repeated: bool) -> float:
        value = max(0.0, workload.value) ** self.settings.value_exponent * (
            self.settings.beyond_share_value if beyond_share else 1.0
        )
        if self.settings.sidecar_per_client:
            value *= SECOND / max(1, workload.contract)  # long requests cost more of the endpoints' time
        return value * (0.7 if repeated else 1.0)

    def on_deployment_changed(self, event: t.DeploymentChanged) -> None:
        """Applies to requests from now on: open ones keep their settings, and learned figures stay."""
        before, self.settings, open_requests = (
            self.settings,
            DispatchSettings(event.deployment),
            self.requests.values(),
        )
        self.settings.active_sidecars, known = before.active_sidecars, self.settings.workloads
        self.cap = min(
            float(MAX_CAP), self.cap * self.settings.set_active_sidecars(self.fleet_state.sidecars)
        )
        self.arrivals_by_tenant = {
            name: self.arrivals_by_tenant.get(name) or BucketedSum(10, SECOND // 2)
            for name in self.settings.tenant_shares
        }
        # Bounds memory where workload names come and go: what no open request uses is created again on
        # demand.
        names, queues = (
            {request.workload.name for request in open_requests} | known.keys(),
            {id(request.queue) for request in open_requests},
        )
        self.latency_estimates = {
            name: estimate for name, estimate in self.latency_estimates.items() if name in names
        }
        self.queues = {key: queue for key, queue in self.queues.items() if id(queue) in queues}
        for (name, beyond_share, repeated, _), queue in self.queues.items():
            queue.priority = (
                self.priority(known[name], beyond_share, repeated) if name in known else queue.priority
            )

    def latency_estimate(self, workload: t.Workload) -> LatencyEstimate:
        if workload.name not in self.latency_estimates:
            self.latency_estimates[workload.name] = LatencyEstimate(
                workload.contract // (5 if self.settings.sidecar_per_client else 3),
                self.settings.mean_samples,
            )
        return self.latency_estimates[workload.name]

    def hold_deadline(self, request: RequestState) -> int:
        """Until when holding the request can still lead to an answer in contract time."""
        span = request.contract_end - request.arrived_at
        return request.contract_end - int(
            min(self.latency_estimate(request.workload).current * 1.3, span * 0.6)
        )

    def hold(self, request: RequestState) -> None:
        request.held = True
        self.waiting += 1
        workload = request.workload
        if (
            workload.zones
            or workload.kinds
            or request.first_possible_run() is not None
            and workload.repeat is t.RepeatPolicy.DEDUPLICATED
        ):
            self.restricted.append(request)
        else:
            request.queue.waiting.append(request)

    def admit(self, request: RequestState) -> None:
        """Rejects the request at once if it is not expected to be sent in time. Where caps are fractions the
        expected rate follows from the capacity."""
        queue, queues = request.queue, self.queues.values()
        ahead = sum(len(other.waiting) for other in queues if other.priority > queue.priority) + len(
            queue.waiting
        )
        capacity, limit, minimum = (
            self.capacity(),
            self.hold_deadline(request),
            float(self.settings.sidecar_per_client),
        )
        allowed = (
            max(minimum, capacity) * SECOND / self.latency_estimate(request.workload).current
            if minimum or self.cap < 1
            else 0.0
        )
        rate = max(1.0, self.attempts_sent.total(self.message_queue.now), allowed)
        # Without an available endpoint in its zone there is nothing to wait for.
        has_endpoints = not request.zone or self.ready_by_zone.get(request.zone)
        if has_endpoints and self.message_queue.now + int(ahead / rate * SECOND) <= limit:
            self.message_queue.set_timer(limit, self, RequestTimeout(request, False))
            return
        self.rejected_since_check = True
        if not self.shedding:
            self.shedding = True
            self.message_queue.log(
                f"shedding: {self.waiting} held, {rate:.0f} attempts/s, capacity {capacity:.1f}"
            )
        self.finish(request)

    # Attempts are started for held requests.

    def dispatch(self) -> None:
        self.restricted = [
            request for request in self.restricted if request.held and not self.try_attempt(request)
        ]
        full: list[str] = []  # zones
        while True:
            best, urgency = None, -1.0
            for queue in self.queues.values():
                waiting = queue.waiting
                while waiting and not waiting[0].held:
                    waiting.popleft()
                if waiting and queue.zone not in full:
                    head = waiting[0]
                    waited = (self.message_queue.now - head.arrived_at) / max(
                        1, head.contract_end - head.arrived_at + 1
                    )
                    if queue.priority * (waited + 0.1) > urgency:
                        best, urgency = queue, queue.priority * (waited + 0.1)
            if best is not None and self.try_attempt(best.waiting[0]):
                best.waiting.popleft()
            elif best is None or not best.zone:
                return
            else:
                full.append(best.zone)

    def may_attempt(self, request: RequestState, ending: int = 0) -> bool:
        """Whether a first or another attempt is allowed: by rule 2 and by the deployment. `ending`: so many
        pending attempts count as ended."""
        if (
            request.done
            or request.streaming
            or request.body_lost
            or len(request.attempts) >= request.settings.max_attempts
        ):
            return False
        if request.body_received and self.message_queue.now >= request.due - request.settings.deadline_margin:
            return False  # it is about to be answered
        first = request.first_possible_run()
        if first is None or request.pending_count() > ending and not request.settings.hedging_allowed:
            return first is None
        if request.workload.repeat is t.RepeatPolicy.DEDUPLICATED:
            return self.message_queue.now < self.window_end(request, first)
        return request.workload.repeat is t.RepeatPolicy.IDEMPOTENT

    def window_end(self, request: RequestState, first: Attempt) -> int:
        return first.sent_at + request.workload.window - request.settings.deadline_margin

    def repeats_end_at(self, name: str) -> float:
        """When the window for repeats of a request ends, `inf` if it has none."""
        request = self.requests.get(name)
        if request is None or request.workload.repeat is not t.RepeatPolicy.DEDUPLICATED:
            return inf
        first = request.first_possible_run()
        return inf if first is None else self.window_end(request, first)

    def group_allows(self, request: RequestState, endpoint: EndpointState) -> bool:
        first, group = request.first_possible_run(), request.workload.group
        if (
            first is None
            or request.workload.repeat is not t.RepeatPolicy.DEDUPLICATED
            or group is t.DeduplicationScope.ALL
        ):
            return True
        group_here = self.group_of(request, endpoint)
        unmoved = self.group_of(request, first.endpoint_state) == first.group
        return bool(group_here) and group_here == first.group and unmoved

    def may_have_left_group(self, request: RequestState, endpoint: EndpointState) -> bool:
        """Whether a repeat could reach a process of another group, which has taken the place and address of
        the one that may have run the request: discovery tells it only later."""
        if (
            request.workload.repeat is not t.RepeatPolicy.DEDUPLICATED
            or request.workload.group is t.DeduplicationScope.ALL
        ):
            return False
        return any(
            attempt.endpoint_state is endpoint and not attempt.never_ran for attempt in request.attempts
        )

    def group_of(self, request: RequestState, endpoint: EndpointState) -> str:
        entry = endpoint.report.entry
        return entry.zone if request.workload.group is t.DeduplicationScope.ZONE else entry.cell

    def send_limit(self, name: str, number: int) -> float:
        """Until when the last byte of an attempt may reach its endpoint, as far as rule 2 limits that: in
        microseconds, `inf` without a limit, 0 if it may not be sent at all."""
        request = self.requests.get(name)
        if request is None or number >= len(request.attempts):
            return inf  # it is closed, which the caller knows
        attempt, repeat, first = request.attempts[number], request.workload.repeat, None
        if any(other is not attempt and not other.never_ran for other in request.attempts):
            first = request.first_possible_run()
        if first is None or repeat is t.RepeatPolicy.IDEMPOTENT:
            return inf
        if repeat is t.RepeatPolicy.UNREPEATABLE or not self.group_allows(request, attempt.endpoint_state):
            return 0
        return self.window_end(request, first)

    def in_flight_limit(self) -> int:
        """Limit on the attempts in flight at all available endpoints together; fractions are rounded at
        random."""
        limit = self.capacity()
        if self.settings.sidecar_per_client:
            return int(
                max(1.0, limit + (0 if self.is_slower_than(self.settings.uncrowded_pace) else sqrt(limit)))
                + 0.5
            )
        if self.cap >= 1:
            return max(1, ceil(limit))
        mean = self.attempts_sent.total(self.message_queue.now) * self.averages.latency / SECOND
        if mean <= limit and not self.is_slower_than(self.settings.uncrowded_pace):
            limit += min(sqrt(limit), limit * (1 / FRACTIONAL_CAP_FACTOR - 1))
        if self.message_queue.now >= self.redraw_at:
            self.rounding_draw, self.redraw_at = (
                self.random_source.draw(),
                self.message_queue.now + self.averages.latency,
            )
        return int(limit + self.rounding_draw)

    def capacity(self) -> float:
        """This sidecar's part of what all available endpoints can have in flight."""
        return self.cap * self.cap_scale * self.share_sum

    def is_slower_than(self, threshold: float) -> bool:
        """Where caps are fractions, a few answers make light load look crowded: load reports must confirm
        it."""
        idle = self.cap < 1 and self.settings.load_reports and self.averages.busy < BUSY_UTILIZATION
        return self.crowding > threshold * (2 if idle else 1)

    def pick(self, request: RequestState) -> EndpointState | None:
        """Least attempts in flight below the cap, ties by rank; a cold endpoint counts with at least the
        mean load."""
        if not self.ready or self.in_flight >= self.in_flight_limit():
            return None
        tried = [attempt.endpoint_state for attempt in request.attempts]
        for offset in (0, MAX_CAP):
            for load in range(min(MAX_CAP, max(1, ceil(self.cap * self.cap_scale)))):
                bucket = self.load_buckets[offset + load]
                if not offset and (reported := self.least_reported(load, request, tried)) is not None:
                    return reported
                if self.settings.uneven:
                    candidates = sorted(bucket, key=lambda endpoint: self.rank(endpoint, request))
                else:
                    start = self.random_source.upto(len(bucket) - 1) if len(bucket) > 1 else 0
                    candidates = bucket[start:] + bucket[:start]
                for endpoint in candidates:
                    if self.is_eligible(endpoint, request, tried):
                        return endpoint
        return None

    def rank(self, endpoint: EndpointState, request: RequestState) -> float:
        """Sort key among endpoints of equal load, lowest first, weighted by preference. Random, or for a
        request with a key derived from it and then the same in all sidecars."""
        return (
            -log(
                mixed(request.key_hash, endpoint.name_hash)
                if request.key_hash
                else self.random_source.draw() or 0.5
            )
            / endpoint.preference
        )

    def least_reported(
        self, load: int, request: RequestState, tried: list[EndpointState]
    ) -> EndpointState | None:
        """Among endpoints with `load` attempts in flight, the one with the least reported load below the
        mean. Reports decay towards the mean with age."""
        mean, least, best = self.averages.reported_load, self.averages.reported_load, None
        for endpoint in self.recent_reporters:
            report = endpoint.report
            if endpoint.bucket == load and report.reported_load is not None and report.cold_since is None:
                estimated = report.reported_load + (mean - report.reported_load) * min(
                    1.0, (self.message_queue.now - report.reported_at) / REPORT_LIFETIME
                )
                if estimated < least and self.is_eligible(endpoint, request, tried):
                    best, least = endpoint, estimated
        return best

    def probe_for_load(self) -> None:
        """One probe per attempt, to decide later ties, while most endpoints are unused; fewer at low
        utilization."""
        bucket, wanted = (
            self.load_buckets[0],
            self.averages.busy > BUSY_UTILIZATION / 2 or self.random_source.draw() < 0.25,
        )
        if bucket and wanted and self.settings.load_reports and 2 * self.in_flight < self.ready:
            endpoint = bucket[self.random_source.upto(len(bucket) - 1)]
            stale = (
                endpoint not in self.recent_reporters
                or self.message_queue.now - endpoint.report.reported_at > REPORT_LIFETIME // 4
            )
            # A cold endpoint decides no tie, and has no capacity to spare for probes.
            if stale and endpoint.report.cold_since is None:
                self.message_queue.commands.append(t.StartProbe(endpoint.name))

    def is_eligible(self, endpoint: EndpointState, request: RequestState, tried: list[EndpointState]) -> bool:
        if endpoint.in_flight and (
            endpoint.report.on_trial
            or endpoint.in_flight >= self.cap * self.cap_scale * endpoint.report.share
        ):
            return False
        # Repeated attempts are few, so they may cross zones.
        zone_fits = not request.zone or request.attempts or endpoint.report.entry.zone == request.zone
        excluded = endpoint in tried and self.ready > len(tried)
        excluded = excluded or bool(tried) and not self.group_allows(request, endpoint)
        excluded = excluded or endpoint in tried and self.may_have_left_group(request, endpoint)
        # Placement holds even when all endpoints allowed by it are down.
        if excluded or not zone_fits or not request.workload.open_at(endpoint.report.entry):
            return False
        return endpoint.report.cold_since is None or self.has_credit(endpoint)

    def update_bucket(self, endpoint: EndpointState) -> None:
        bucket = -1
        if endpoint.is_available():
            mean = 0 if endpoint.report.cold_since is None else round(self.in_flight / self.ready)
            bucket = min(max(endpoint.in_flight, mean), MAX_CAP - 1) + (
                MAX_CAP if endpoint.report.crowded else 0
            )
        if bucket == endpoint.bucket:
            return
        if endpoint.bucket >= 0:
            last = self.load_buckets[endpoint.bucket].pop()
            if last is not endpoint:
                self.load_buckets[endpoint.bucket][endpoint.bucket_index], last.bucket_index = (
                    last,
                    endpoint.bucket_index,
                )
        endpoint.bucket = bucket
        if bucket >= 0:
            endpoint.bucket_index = len(self.load_buckets[bucket])
            self.load_buckets[bucket].append(endpoint)

    def warmth(self, report: EndpointReport) -> float:
        """The part of its full capacity that the endpoint has by now, at least."""
        if report.cold_since is None:
            return 1.0
        age = min(1.0, max(0, self.message_queue.now - report.cold_since) / self.settings.cold_time)
        return 1 - (1 - self.settings.cold_share) * (1 - age)

    def has_credit(self, endpoint: EndpointState) -> bool:
        """Rule 4: a cold endpoint earns credit at the rate of a warm one of its size times its warmth,
        however few endpoints are left; see `assumed_warm_rate` where that rate is not known. At most one
        attempt of credit."""
        now, clock = self.message_queue.now, self.message_queue.now - self.idle_time
        if now - endpoint.report.cold_since >= self.settings.cold_time:
            endpoint.report.cold_since = None
            return True
        rate = self.warmth(endpoint.report) * (self.warm_rate or self.assumed_warm_rate()) * endpoint.size
        rate *= self.fleet_state.brakes.get(endpoint.name, 1.0)  # of all sidecars together
        endpoint.credit = min(1.0, endpoint.credit + rate * (clock - endpoint.credited_at) / SECOND)
        endpoint.credited_at = clock
        return endpoint.credit >= 1.0

    def assumed_warm_rate(self) -> float:
        """The rate where no endpoint is warm. Few of them may be left, so it is only part of each endpoint's
        share of the arrivals: UNPROVEN_SHARE at first; after PROOF_TIME it is PROVEN_BASE_SHARE plus
        PROVEN_RATE_MULTIPLE times what cold endpoints handled. Lower with many sidecars, whose attempts
        coincide at random."""
        now, age = self.message_queue.now, self.message_queue.now - self.first_arrival
        arrival_rate = self.arrivals.total(now) * SECOND / min(5 * SECOND, max(SECOND // 2, age))
        part = (
            arrival_rate
            / max(1, self.ready, self.listed_size)
            / (1 + self.settings.active_sidecars / MANY_SIDECARS)
        )
        if age < PROOF_TIME or not self.cold_capacity:
            return UNPROVEN_SHARE * part
        return min(
            part,
            PROVEN_BASE_SHARE * part
            + PROVEN_RATE_MULTIPLE * self.cold_handled.total(now) / 2 / self.cold_capacity,
        )

    def try_attempt(self, request: RequestState) -> bool:
        """True when the request need not be held any longer."""
        allowed, now = self.may_attempt(request), self.message_queue.now
        endpoint = self.pick(request) if allowed else None
        if allowed and endpoint is None:
            return False
        self.release(request)
        if endpoint is None:
            if not request.pending_count():
                self.finish(request)
            return True
        endpoint.credit -= endpoint.report.cold_since is not None
        request.attempts.append(Attempt(endpoint, now, self.group_of(request, endpoint)))
        endpoint.receiving += 1
        request.retrying = False
        self.message_queue.commands.append(t.StartAttempt(request.name, endpoint.name, request.due))
        if request.body_received:
            self.record_sent(request.attempts[-1])
        self.probe_for_load()
        return True

    def release(self, request: RequestState) -> None:
        self.waiting, request.held = self.waiting - request.held, False

    # Outcomes, and what follows from them.

    def on_attempt_ended(self, event: t.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if (
            request is None
            or not 0 <= event.attempt < len(request.attempts)
            or not request.attempts[event.attempt].pending
        ):
            return
        attempt, now = request.attempts[event.attempt], self.message_queue.now
        if not attempt.counted:
            self.record_sent(attempt)  # it ended before the request body was complete
        attempt.pending, attempt.never_ran, endpoint = (
            False,
            event.outcome in t.NEVER_RAN,
            attempt.endpoint_state,
        )
        request.body_lost = request.body_lost or event.last
        self.adjust_in_flight(endpoint, -1)
        estimate = self.latency_estimate(request.workload)
        if event.outcome is t.Outcome.HANDLED:
            self.handled_since_check += 1
            self.warm_handled += self.warmth(endpoint.report) == 1
            self.cold_handled.add(now, self.warmth(endpoint.report) < 1)
            estimate.add(now, max(1, event.duration))
        # What is cancelled at the hard limit counts as a timeout of its endpoint, or only quick answers
        # would count.
        outcome = t.Outcome.TIMED_OUT if attempt.overdue else event.outcome
        overtaken = (
            request.done
            and not attempt.overdue
            or outcome in (t.Outcome.CALLED_OFF, t.Outcome.UNSENT, t.Outcome.REJECTED)
        )
        # Without this factor the slow answers of cold endpoints would make a growing fleet look crowded.
        warm = self.warmth(endpoint.report) if self.settings.uneven else 1.0
        pace = event.duration * warm / max(1.0, estimate.uncrowded)
        if outcome in (t.Outcome.HANDLED, t.Outcome.TIMED_OUT):
            # The mean spans the answers of about a second, at least eight.
            gain = max(0.03, 1 / (8 + self.answered.total(now) / 3))
            estimate.pace += 0.1 * (min(pace, 8.0) - estimate.pace)
            if estimate.pace > SLOW_WORKLOAD_RATIO * min(
                other.pace for other in self.latency_estimates.values()
            ):
                pace = self.crowding  # slow at all endpoints while other workloads are not: not due to load
            self.crowding += gain * (min(pace, 8.0) - self.crowding)
        self.answered.add(now, not overtaken)
        self.failed.add(now, not overtaken and outcome is not t.Outcome.HANDLED)
        if self.settings.uneven:
            pace = self.relative_to_kind(
                endpoint, min(pace, 8.0), estimate.uncrowded * (event.outcome is t.Outcome.HANDLED)
            )
        self.message_queue.send(
            self.endpoints[endpoint.name],
            AttemptResult(outcome, pace, overtaken, self.averages, attempt.begun),
        )
        if event.closed or event.outcome is t.Outcome.HANDLED:
            self.close(request)
        request.refusals, request.last_spoilt = (
            request.refusals + (event.outcome is t.Outcome.REFUSED),
            event.outcome is t.Outcome.SPOILT,
        )
        if request.done and not request.pending_count():
            self.requests.pop(request.name, None)
        elif not request.done and request.pending_count() and now >= self.reject_at(request):
            self.on_request_timeout(RequestTimeout(request, True))  # it was to be forwarded, and broke
        elif (
            not request.done
            and not request.pending_count()
            and not request.retrying
            and not self.plan_retry(request)
        ):
            self.finish(request)

    def plan_retry(self, request: RequestState) -> bool:
        if not self.retry_fits(request, request.last_spoilt) or not self.may_attempt(request):
            return False
        self.schedule_retry(request)
        return True

    def schedule_retry(self, request: RequestState) -> None:
        now = self.message_queue.now
        self.retries.add(now)
        request.retrying = True
        ceiling = min(
            RETRY_MAX_DELAY,
            RETRY_BASE_DELAY << len(request.attempts) - 1 + request.refusals,
            (request.due - now) // 2,
        )
        self.message_queue.set_timer(now + self.random_source.upto(max(0, ceiling)), self, RetryDue(request))

    def retry_fits(self, request: RequestState, spoilt: bool) -> bool:
        """Whether another attempt has time left and is within the retry budget. `spoilt`: the last answer
        can't be read."""
        now = self.message_queue.now
        too_late = now + int(self.latency_estimate(request.workload).uncrowded * 0.5) > request.contract_end
        budget_spent = self.retries.total(now) + 1 >= RETRY_BUDGET_SHARE * self.new_requests.total(now)
        if request.held or too_late or budget_spent:
            return False
        # Inner tiers pass failures up, or retries would multiply; except what never ran, and unreadable
        # answers.
        return self.settings.is_front or spoilt or request.first_possible_run() is None

    def on_open_ended_response_began(self, event: t.OpenEndedResponseBegan) -> None:
        if (attempt := self.pending_attempt(event.request, event.attempt)) is not None:
            attempt.forwardable = True

    def on_response_bytes_arrived(self, event: t.ResponseBytesArrived) -> None:
        attempt = self.pending_attempt(event.request, event.attempt)
        begins = (
            attempt is not None
            and attempt.counted
            and not attempt.begun
            and attempt.endpoint_state.name == event.endpoint
        )
        if begins:
            attempt.begun = True
        if event.endpoint in self.endpoints:
            self.message_queue.send(self.endpoints[event.endpoint], EndpointHeard(begins))

    def pending_attempt(self, name: str, number: int) -> Attempt | None:
        request = self.requests.get(name)
        if request is None or not 0 <= number < len(request.attempts):
            return None
        return request.attempts[number] if request.attempts[number].pending else None

    def on_response_stalled(self, event: t.ResponseStalled) -> None:
        """The response may go on, as endpoints stand still for up to half a second, or never. Another attempt
        begins beside it; where only one may be pending, it is abandoned if another can take its place."""
        request, attempt = (
            self.requests.get(event.request),
            self.pending_attempt(event.request, event.attempt),
        )
        if request is None or attempt is None or request.retrying or request.pending_count() != 1:
            return
        request.body_lost = request.body_lost or event.last
        if not self.retry_fits(request, True):
            return
        if self.may_attempt(request):
            self.schedule_retry(request)
        elif self.may_replace(request, attempt):
            self.abandon(request, event.attempt)

    def may_replace(self, request: RequestState, attempt: Attempt) -> bool:
        """Whether another attempt may take the place of one whose response has stalled. A response that may
        be forwarded at the deadline is worth more than one that would only just begin by then."""
        spare = int(REPLACEMENT_LATENCIES * self.latency_estimate(request.workload).current)
        begins_too_late = self.message_queue.now + spare > request.due - request.settings.deadline_margin
        if attempt.forwardable and begins_too_late:
            return False
        return self.may_attempt(request, ending=1) and self.has_untried_endpoint(request)

    def abandon(self, request: RequestState, number: int) -> None:
        """The attempt counts as ended at once, so that what lets another one take its place still holds."""
        self.message_queue.commands.append(t.AbandonAttempt(request.name, number))
        duration = self.message_queue.now - request.attempts[number].sent_at
        self.on_attempt_ended(t.AttemptEnded(request.name, number, t.Outcome.SPOILT, duration))

    def has_untried_endpoint(self, request: RequestState) -> bool:
        tried = [attempt.endpoint_state for attempt in request.attempts]
        return any(
            endpoint not in tried and endpoint.is_available() and self.is_eligible(endpoint, request, tried)
            for endpoint in self.endpoint_states.values()
        )

    def on_retry_due(self, event: RetryDue) -> None:
        request = event.request
        if request.retrying:
            self.hold(request)
            self.dispatch()
        if request.held:
            self.message_queue.set_timer(
                max(self.hold_deadline(request), self.message_queue.now), self, RequestTimeout(request, False)
            )

    def on_endpoint_silent(self, event: EndpointSilent) -> None:
        """Hedges the requests that hang at a silent endpoint."""
        for request in list(self.requests.values()):
            hangs = any(
                attempt.pending and attempt.endpoint_state.name == event.name for attempt in request.attempts
            )
            if hangs and request.pending_count() == 1 and not request.retrying:
                self.plan_retry(request)

    def on_request_timeout(self, event: RequestTimeout) -> None:
        request = event.request
        if request.done or request.streaming or not (event.final or request.held):
            return
        if event.final and self.message_queue.now < request.due - request.settings.deadline_margin:
            return self.message_queue.set_timer(self.reject_at(request), self, event)
        if not event.final and request.pending_count():
            self.release(request)  # another attempt is still pending
            request.retrying = False
            return
        if event.final and any(attempt.pending and attempt.forwardable for attempt in request.attempts):
            # Its end follows from `AttemptEnded`, whether or not the response could be forwarded.
            return self.message_queue.commands.append(t.ForwardResponse(request.name))
        for attempt in request.attempts:
            attempt.overdue = attempt.pending
        self.finish(request)

    def may_reject(self, request: RequestState) -> bool:
        """Rule 2: a rejection tells the client that repeating the request is safe."""
        all_drop = (
            request.workload.repeat is t.RepeatPolicy.DEDUPLICATED
            and request.workload.group is t.DeduplicationScope.ALL
        )
        return (
            all_drop
            or request.workload.repeat is t.RepeatPolicy.IDEMPOTENT
            or request.first_possible_run() is None
        )

    def finish(self, request: RequestState) -> None:
        """Rejects the request. The retry advice is jittered, or rejected clients would return all at once."""
        advice = self.settings.longest_advice // 2 + self.random_source.upto(
            self.settings.longest_advice // 2
        )
        self.message_queue.commands.append(
            t.RejectRequest(request.name, advice)
            if self.may_reject(request)
            else t.AbortResponse(request.name)
        )
        self.close(request)

    def close(self, request: RequestState) -> None:
        if request.done:
            return
        self.release(request)
        request.done, request.retrying = True, False
        cancelled = (
            number
            for number, attempt in enumerate(request.attempts)
            if attempt.pending and request.settings.cancel_allowed
        )
        self.message_queue.commands += [t.CancelAttempt(request.name, number) for number in cancelled]
        if not request.pending_count():
            self.requests.pop(request.name, None)

    def on_request_cancelled(self, event: t.RequestCancelled) -> None:
        if event.request in self.requests:
            self.close(self.requests[event.request])

    def on_response_started(self, event: t.ResponseStarted) -> None:
        if request := self.requests.get(event.request):
            request.streaming = True

    def on_endpoint_report(self, event: EndpointReport) -> None:
        if event.name not in self.endpoints:
            return
        if event.name in self.endpoint_states:
            self.add_to_totals(self.endpoint_states[event.name], -1)
        endpoint = self.endpoint_states.get(event.name)
        if endpoint is None:
            endpoint = self.endpoint_states[event.name] = EndpointState(
                event.name, event, name_hash=crc32(event.name.encode())
            )
            endpoint.preference, endpoint.selected = event.entry.weight, not self.settings.few_connections
            endpoint.selection_rank = (
                0.0
                if endpoint.selected
                else -log(self.random_source.draw() or 0.5) / sqrt(event.entry.weight)
            )
        if event.cold_since is not None and (
            event is endpoint.report or event.cold_since != endpoint.report.cold_since
        ):
            endpoint.credit, endpoint.credited_at = (
                self.random_source.draw(),
                self.message_queue.now - self.idle_time,
            )
        endpoint.report, endpoint.size = event, event.entry.weight if self.settings.weights_are_sizes else 1.0
        if (
            event.reported_load is not None
            and event.reported_at == self.message_queue.now
            and endpoint not in self.recent_reporters
        ):
            self.recent_reporters.append(endpoint)
        self.add_to_totals(endpoint, 1)
        self.update_bucket(endpoint)
        if self.endpoints[event.name].entry.state is t.EndpointStatus.GONE and not (
            endpoint.in_flight or endpoint.receiving
        ):
            # Or memory would grow with every endpoint that ever existed.
            del self.endpoint_states[event.name], self.endpoints[event.name]
            self.recent_reporters = deque(
                (reporter for reporter in self.recent_reporters if reporter is not endpoint), RECENT_REPORTERS
            )

    def add_to_totals(self, endpoint: EndpointState, sign: int) -> None:
        if endpoint.is_available():
            self.ready += sign
            self.in_flight += sign * endpoint.in_flight
            self.share_sum += sign * endpoint.report.share
            self.size_sum += sign * endpoint.size
            self.ready_by_zone[endpoint.report.entry.zone] = (
                self.ready_by_zone.get(endpoint.report.entry.zone, 0) + sign
            )

    def relative_to_kind(self, endpoint: EndpointState, pace: float, uncrowded: float) -> float:
        """The pace relative to the endpoint's kind, or slower machines would always rank last though nothing
        is wrong."""
        pace = max(MIN_PACE, pace)  # an answer may have taken no time
        kind, remote = endpoint.report.entry.kind, endpoint.report.entry.zone != self.settings.zone
        if uncrowded:
            self.pace_by_kind[kind] = 0.98 * self.pace_by_kind.get(kind, pace) + 0.02 * pace
            self.pace_by_distance[remote] += 0.05 * (pace - self.pace_by_distance[remote])
            self.uncrowded_latency += (uncrowded - self.uncrowded_latency) * (
                0.02 if self.uncrowded_latency else 1.0
            )
        return (
            pace
            * sum(self.pace_by_kind.values())
            / max(1, len(self.pace_by_kind))
            / self.pace_by_kind.get(kind, 1.0)
            or pace
        )

    def rebalance(self, median_pace: float) -> None:
        """Updates what own traffic keeps in flight, and the part of it that each endpoint gets."""
        now = self.message_queue.now
        self.arrivals_since = now if self.arrivals_since < 0 else self.arrivals_since
        rate = self.arrivals.total(now) * SECOND / min(5 * SECOND, max(SECOND, now - self.arrivals_since))
        if self.settings.sidecar_per_client:
            self.cap_scale = rate * (self.uncrowded_latency or 100 * MS) / SECOND / max(1, self.ready)
        prefer_remote = self.pace_by_distance[0] > max(REMOTE_PACE, self.pace_by_distance[1])
        self.remote_preference = (
            min(1.0, self.remote_preference * 1.2)
            if prefer_remote
            else max(REMOTE_PREFERENCE_MIN, self.remote_preference * 0.9)
        )
        for endpoint in self.endpoint_states.values():
            report, entry = endpoint.report, endpoint.report.entry
            endpoint.preference = entry.weight / (
                1.0 if self.settings.weights_tell_speed else self.pace_by_kind.get(entry.kind, 1.0)
            )
            # The selection of endpoints accounts for the other square root.
            endpoint.preference **= 0.5 if self.settings.few_connections else 1.0
            endpoint.preference *= min(
                1.5, (max(0.1, median_pace) / max(0.1, report.pace or median_pace)) ** 1.5
            )
            if self.settings.crossing_price and entry.zone != self.settings.zone:
                endpoint.preference *= self.remote_preference
        if self.settings.few_connections:
            remaining = ceil(2 + rate / 8)
            for endpoint in sorted(
                self.endpoint_states.values(), key=lambda endpoint: endpoint.selection_rank
            ):
                selected = remaining > 0
                remaining -= endpoint.report.open
                if selected != endpoint.selected:
                    self.add_to_totals(endpoint, -1)
                    endpoint.selected = selected
                    self.add_to_totals(endpoint, 1)
                    self.update_bucket(endpoint)

    def schedule_check(self) -> None:
        """Only while requests are open: an idle sidecar should not wake up."""
        if not self.check_scheduled:
            self.check_scheduled = True
            self.message_queue.set_timer(self.message_queue.now + CHECK_INTERVAL, self, PeriodicCheck())

    def on_periodic_check(self, event: PeriodicCheck) -> None:
        """Checks what is in flight, and learns the cap from the answers of all endpoints: those of one are
        too few."""
        settings, self.check_scheduled = self.settings, False
        if self.is_slower_than(self.settings.crowded_pace):
            self.cap = max(settings.cap_floor, self.cap * 0.93)
        elif not self.is_slower_than(self.settings.uncrowded_pace):
            self.grow_cap()
        self.rejected_since_check, self.handled_since_check = False, 0
        self.check_count += 1
        self.update_averages(self.check_count % 5 == 0)
        for endpoint in list(self.busy.values()):
            self.message_queue.send(self.endpoints[endpoint.name], self.averages)
        if self.shedding and not self.waiting:
            self.shedding = False
            self.message_queue.log(
                f"shedding ended: {self.in_flight} in flight, capacity {self.capacity():.1f}"
            )
        if self.requests:
            self.schedule_check()

    def grow_cap(self) -> None:
        """A sidecar with capacity for less than one attempt grows its cap by a fraction of it, as long as
        what is sent is answered; by the fixed step it would stay there for most of a minute."""
        under_one = self.ready and self.capacity() < 1 and not self.settings.sidecar_per_client
        if under_one and (self.handled_since_check or not self.in_flight):
            if self.waiting or self.rejected_since_check:
                self.cap += max(self.settings.cap_growth, SMALL_CAPACITY_GROWTH * self.cap)
        elif self.waiting:
            self.cap = min(float(MAX_CAP), self.cap + self.settings.cap_growth)

    def update_averages(self, all_endpoints: bool) -> None:
        """Visits all endpoints only on request, since that costs most."""
        now, pace, reported_load = self.message_queue.now, self.averages.pace, self.averages.reported_load
        latency = int(
            max(
                (estimate.current for estimate in self.latency_estimates.values()),
                default=self.averages.latency,
            )
        )
        failed, answered = self.failed.total(now), self.answered.total(now)
        busy = [
            endpoint.report.busy
            for endpoint in self.recent_reporters
            if endpoint.report.reported_at > now - REPORT_LIFETIME
        ]
        if all_endpoints:
            reports = [endpoint.report for endpoint in self.endpoint_states.values()]
            paces = sorted(report.pace for report in reports if report.pace is not None)
            pace = paces[len(paces) // 2] if paces else 1.0
            loads = [
                report.reported_load
                for report in reports
                if report.reported_load is not None and report.reported_at > now - REPORT_LIFETIME
            ]
            reported_load = sum(loads) / len(loads) if loads else 0.0
            cold = [
                endpoint
                for endpoint in self.endpoint_states.values()
                if endpoint.report.cold_since is not None
            ]
            self.measure_warm_rate(cold, now - self.warm_measured_at)
            for endpoint in self.load_buckets[MAX_CAP]:
                self.message_queue.send(self.endpoints[endpoint.name], self.averages)
            for endpoint in cold:
                self.update_bucket(endpoint)  # the mean load that it counts with has changed
        if all_endpoints and self.settings.uneven:
            self.rebalance(pace)
        utilization = sum(busy) / len(busy) if busy else 1.0
        self.averages = FleetAverages(
            latency, self.crowding, pace, failed, answered, reported_load, utilization
        )

    def measure_warm_rate(self, cold: list[EndpointState], span: int) -> None:
        """Measures what a warm endpoint handles, from which follows what a cold one may be sent."""
        cold_sizes = [
            endpoint.size for endpoint in cold if endpoint.is_available() and self.warmth(endpoint.report) < 1
        ]
        warm_size = self.size_sum - sum(cold_sizes)
        if self.ready > len(cold_sizes) and warm_size > 0 and span > 0:
            gain = max(5 / self.check_count, min(1.0, span / (5 * SECOND)))
            self.warm_rate += gain * (self.warm_handled * SECOND / span / warm_size - self.warm_rate)
        self.warm_handled, self.warm_measured_at = 0, self.message_queue.now
        if cold and not self.warm_rate:
            selected = [endpoint for endpoint in self.endpoint_states.values() if endpoint.selected]
            self.listed_size = sum(
                [
                    endpoint.size
                    for endpoint in selected
                    if endpoint.report.entry.state is t.EndpointStatus.READY
                ]
            )
            self.cold_capacity = sum(
                [self.warmth(endpoint.report) * endpoint.size for endpoint in cold if endpoint.is_available()]
            )


class EndpointActor(Actor):
    """Evaluates one endpoint: its share of the cap, and whether it is ready, ejected or on trial."""

    __slots__ = (
        "message_queue", "dispatcher", "registry", "random_source", "entry", "averages", "share",
        "reported_load", "reported_at", "busy", "crowded", "mode", "in_flight", "unanswered", "last_heard",
        "pace", "answers", "connection_failures", "failed", "answered", "ejection_time", "probe_serial",
        "good_probes", "share_reduced_at", "brief_outage", "cold_since",
    )  # fmt: skip

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
        self.averages, self.share = INITIAL_AVERAGES, 1.0
        self.reported_load: float | None = None
        self.reported_at, self.busy, self.crowded = 0, 1.0, False
        self.mode = "ready"  # or "aside" (ejected), "trial"
        # Attempts in flight; those of which no byte of a response has arrived.
        self.in_flight, self.unanswered = 0, 0
        # Time of the last answer or bytes of one, or of the first attempt after none was unanswered.
        self.last_heard = 0
        self.pace: float | None = None
        # Answers since the last ejection; connection failures in a row.
        self.answers, self.connection_failures = 0, 0
        self.failed = self.answered = NOTHING_COUNTED
        self.ejection_time, self.probe_serial, self.good_probes, self.share_reduced_at, self.brief_outage = (
            EJECTION_TIME,
            0,
            0,
            0,
            False,
        )
        self.cold_since: int | None = None

    def send_report(self) -> None:
        selectable = self.mode != "aside" and self.entry.state is t.EndpointStatus.READY
        self.message_queue.send(
            self.dispatcher,
            EndpointReport(
                self.entry.endpoint,
                selectable,
                self.mode == "trial",
                self.crowded,
                self.share,
                self.pace,
                self.reported_load,
                self.reported_at,
                self.busy,
                self.cold_since,
                self.entry,
            ),
        )

    def on_list_entry(self, event: t.ListEntry) -> None:
        entry, fresh = (
            event,
            event.started and self.message_queue.now - event.started < self.dispatcher.settings.cold_time,
        )
        fresh = fresh and (entry.started != self.entry.started or self.last_heard == 0)
        if fresh:
            # Another machine's clock may be ahead: a start in the future would keep it cold for too long.
            self.cold_since = min(entry.started, self.message_queue.now)
        is_ready_again, self.entry = self.entry.state is not entry.state is t.EndpointStatus.READY, entry
        if self.mode == "aside" and fresh and entry.state is t.EndpointStatus.READY:
            # The list shows that it runs, and the probes of all sidecars together would use up all that a
            # cold endpoint can handle.
            return self.start_trial()
        if self.mode == "aside" and is_ready_again:
            self.schedule_probe(0)  # it was not probed so far: no need to wait out the ejection time
        self.send_report()

    def on_attempt_sent(self, event: AttemptSent) -> None:
        if not self.unanswered:
            self.last_heard = self.message_queue.now
        self.in_flight += 1
        self.unanswered += 1

    def on_endpoint_heard(self, event: EndpointHeard) -> None:
        self.last_heard = self.message_queue.now
        self.unanswered -= event.begins

    def on_attempt_result(self, event: AttemptResult) -> None:
        self.in_flight, self.averages = self.in_flight - 1, event.averages
        self.unanswered -= not event.begun
        if not event.overtaken:
            self.start_counting()
            self.answered.add(self.message_queue.now)
            self.last_heard = (
                self.last_heard if event.outcome is t.Outcome.TIMED_OUT else self.message_queue.now
            )
            if event.outcome is t.Outcome.HANDLED:
                self.record_handled(event.pace)
            else:
                self.record_failure(event.outcome)
            self.evaluate()
        self.send_report()

    def start_counting(self) -> None:
        if self.answered is NOTHING_COUNTED:
            self.failed, self.answered = BucketedSum(6, SECOND // 2), BucketedSum(6, SECOND // 2)

    def record_handled(self, pace: float) -> None:
        self.connection_failures, self.answers = 0, self.answers + 1
        previous = pace if self.pace is None else self.pace
        self.pace = previous + max(0.1, 1 / (self.answers + 1)) * (min(pace, 8) - previous)
        self.share = min(1.0, self.share + SHARE_RECOVERY)
        if self.mode == "trial" and self.answers >= 3:
            self.end_trial()

    def record_failure(self, outcome: t.Outcome) -> None:
        silence = self.message_queue.now - self.last_heard
        self.start_counting()
        self.failed.add(self.message_queue.now)
        if outcome in (t.Outcome.UNCONNECTED, t.Outcome.RESET):
            # One failure to connect is enough: the probe that follows soon is cheaper than another attempt.
            self.connection_failures += 2 if outcome is t.Outcome.UNCONNECTED else 1
            if self.connection_failures >= 2:
                self.request_ejection("connections break", True)
        else:
            self.connection_failures = 0
            self.reduce_share(outcome)
            if silence > SILENCE_MULTIPLE * self.averages.latency:
                # One attempt that hangs is enough, or each sidecar would keep losing single attempts to it.
                self.request_ejection(f"silent {silence // MS} ms up to a time-out", False)
        if self.mode == "trial":
            self.request_ejection("failed its trial", True)

    def record_load(self, load: t.LoadReport) -> None:
        """Takes up the queue length that one more request would meet, if reported, and the utilization."""
        if load.queued is not None:
            self.reported_load, self.reported_at = load.queued + 1, self.message_queue.now
        self.busy = 1.0 if load.busy is None else load.busy

    def evaluate(self) -> None:
        """Evaluates its answers against the fleet's averages."""
        now, averages = self.message_queue.now, self.averages
        # Own attempts in flight say little about a shared endpoint: a slow or full one is picked last.
        fresh = self.reported_load is not None and now - self.reported_at <= REPORT_LIFETIME
        # 0: the mean is not known yet.
        self.crowded = fresh and 0 < 2 * averages.reported_load < self.reported_load
        if self.pace and self.answers >= 3 and now - self.last_heard < REPORT_LIFETIME:
            self.crowded = self.crowded or self.pace > DEPRIORITIZED_PACE * max(1.0, averages.pace)
        failed, answered = self.failed.total(now), self.answered.total(now)
        failing_share = max(0.0, averages.failed - failed) / max(
            1.0, averages.answered - answered
        )  # of all other endpoints
        # Probes also fail without any answer.
        if failed >= 3 and failed > (0.3 + 2 * failing_share) * answered:
            # Quick errors free its capacity fast, so it gets ever more requests; it must not count in the
            # average.
            self.request_ejection(f"failed {failed:.0f} of {answered:.0f}", False)
        elif self.pace and self.answers >= 6 and self.pace > SLOW_PACE * max(1.0, averages.pace):
            # Slow by itself, not with all others: overloaded or starved, it has to recover.
            self.request_ejection(f"slow, pace {self.pace:.1f}, fleet {averages.pace:.1f}", False)

    def end_trial(self) -> None:
        """Keeps an endpoint that is still overloaded from returning with its full share."""
        if self.pace > SLOW_PACE * max(1.0, self.averages.pace):
            self.request_ejection(f"still slow, pace {self.pace:.1f}", True)
        else:
            self.mode = "ready"
            self.message_queue.log(f"{self.entry.endpoint} ready again: 3 answers, pace {self.pace:.1f}")

    def reduce_share(self, outcome: t.Outcome) -> None:
        """Lowers its share, at most once per check interval; not for quick errors, which show no load by
        themselves."""
        due_to_load = (
            outcome not in (t.Outcome.ERROR, t.Outcome.SPOILT) or self.averages.crowding > UNCROWDED_PACE
        )
        if due_to_load and self.message_queue.now - self.share_reduced_at >= CHECK_INTERVAL:
            self.share_reduced_at, self.share = self.message_queue.now, max(0.1, self.share * 0.7)

    def on_fleet_averages(self, event: FleetAverages) -> None:
        """Evaluates again while attempts are in flight or the endpoint is picked last. An endpoint that has
        begun all its answers is not silent, however long they take."""
        self.averages = event
        if self.mode == "aside" or self.entry.state is t.EndpointStatus.GONE:
            return
        silence = self.message_queue.now - self.last_heard
        if (
            self.unanswered
            and silence
            > (SILENCE_MULTIPLE + SINGLE_ATTEMPT_SILENCE_MULTIPLE / self.unanswered) * event.latency
            + CHECK_INTERVAL
        ):
            self.request_ejection(f"silent {silence // MS} ms, usual {event.latency // MS} ms", False)
        self.evaluate()
        self.send_report()

    def request_ejection(self, reason: str, hard: bool) -> None:
        if self.mode != "aside":
            self.message_queue.send(self.registry, EjectionRequest(self.entry.endpoint, reason, hard))

    def on_ejected(self, event: Ejected) -> None:
        if self.mode == "aside":
            return
        self.ejection_time = (
            min(EJECTION_TIME_MAX, self.ejection_time * 2) if self.mode == "trial" else EJECTION_TIME
        )
        self.mode, self.good_probes, self.brief_outage = (
            "aside",
            0,
            self.mode == "ready" and self.connection_failures >= 2,
        )
        self.message_queue.log(f"{self.entry.endpoint} set aside: {event.reason}")
        if self.in_flight and event.reason.startswith("silent"):
            self.message_queue.send(self.dispatcher, EndpointSilent(self.entry.endpoint))
        delay = self.ejection_time - self.random_source.upto(self.ejection_time // 4)
        self.schedule_probe(
            SECOND // 10
            if self.connection_failures >= 2 and self.dispatcher.settings.probes_allowed
            else delay
        )
        self.send_report()

    def schedule_probe(self, delay: int) -> None:
        self.probe_serial += 1
        self.message_queue.set_timer(self.message_queue.now + delay, self, ProbeDue(self.probe_serial))

    def on_probe_due(self, event: ProbeDue) -> None:
        if (
            event.serial != self.probe_serial
            or self.mode != "aside"
            or self.entry.state is not t.EndpointStatus.READY
        ):
            return
        if self.dispatcher.settings.probes_allowed:
            self.message_queue.commands.append(t.StartProbe(self.entry.endpoint))
        else:
            self.readmit()

    def on_probe_ended(self, event: t.ProbeEnded) -> None:
        if event.load is not None:
            self.record_load(event.load)
        if self.mode != "aside":
            if event.outcome is t.Outcome.UNCONNECTED:
                self.record_failure(event.outcome)
            self.evaluate()
            return self.send_report()
        succeeded = event.outcome is t.Outcome.HANDLED
        self.good_probes, self.brief_outage = (
            self.good_probes + 1 if succeeded else 0,
            self.brief_outage and succeeded,
        )
        if self.good_probes >= 2:
            self.readmit()
        else:
            self.schedule_probe(SECOND // 5 if succeeded else SECOND + self.random_source.upto(SECOND // 2))

    def readmit(self) -> None:
        """Starts a trial: one attempt at a time, counted as cold, since a probe shows only that it runs."""
        if self.brief_outage:  # connections failed, but every probe since was answered: it was never down
            self.mode, self.connection_failures = "ready", 0
            self.message_queue.log(f"{self.entry.endpoint} ready again: it was not away")
            return self.send_report()
        self.start_trial()

    def start_trial(self) -> None:
        self.mode, self.answers, self.pace, self.connection_failures = "trial", 0, None, 0
        self.failed = self.answered = NOTHING_COUNTED
        still_cold = (
            self.cold_since is not None
            and self.message_queue.now - self.cold_since < self.dispatcher.settings.cold_time
        )
        self.last_heard, self.cold_since = (
            self.message_queue.now,
            self.cold_since if still_cold else self.message_queue.now,
        )
        self.message_queue.log(f"{self.entry.endpoint} on trial")
        self.send_report()


class EndpointRegistry(SingleActor):
    """Follows the endpoint list, and grants ejections."""

    def __init__(
        self, message_queue: MessageQueue, dispatcher: Dispatcher, random_source: RandomSource
    ) -> None:
        super().__init__()
        self.message_queue, self.dispatcher, self.random_source, self.failed_polls = (
            message_queue,
            dispatcher,
            random_source,
            0,
        )
        self.endpoints = dispatcher.endpoints
        self.listed: dict[str, t.ListEntry] = {}
        self.taken_out: set[str] = set()  # by operators
        # Listed as gone without a drain: they stay in use where that is not binding.
        self.dropped: set[str] = set()

    def on_list_received(self, event: t.ListReceived) -> None:
        failed = event.kind is t.ListKind.FAILED
        self.failed_polls = self.failed_polls + 1 if failed else 0
        if failed:
            return self.poll_after_failure()
        if event.kind is t.ListKind.CACHED:
            self.poll_after_start()
        if event.kind is not t.ListKind.CHANGES:
            listed_names = {entry.endpoint for entry in event.entries}
            for entry in [entry for name, entry in self.listed.items() if name not in listed_names]:
                self.apply_entry(replace(entry, state=t.EndpointStatus.GONE))
        for entry in sorted(event.entries, key=lambda entry: entry.state is t.EndpointStatus.READY):
            self.apply_entry(entry)  # leaving ones first: held requests go out as soon as a new one is ready

    def poll_after_failure(self) -> None:
        """Backs off: discovery is overloaded, or the watch broke."""
        settings = self.dispatcher.settings
        base = min(SECOND, settings.configured_sidecars * POLL_SPACING) << min(self.failed_polls, 4)
        delay = min(settings.poll_span, POLL_RETRY_MAX_DELAY, base)
        if delay:
            self.poll_at(self.message_queue.now + delay // 4 + self.random_source.upto(delay))

    def poll_after_start(self) -> None:
        """The list may be old. The whole fleet may have started together, so its calls are spread."""
        settings = self.dispatcher.settings
        delay = min(settings.poll_span, settings.configured_sidecars * START_SPACING)
        if delay:
            self.poll_at(self.message_queue.now + self.random_source.upto(delay))

    def poll_at(self, at: int) -> None:
        self.message_queue.set_timer(at, self, PollDue())

    def apply_entry(self, entry: t.ListEntry) -> None:
        name, previous = entry.endpoint, self.listed.get(entry.endpoint)
        if not 0 < entry.weight < inf:
            entry = replace(entry, weight=1.0)  # not a valid size
        self.dropped.discard(name)
        gone = (
            entry.state is t.EndpointStatus.GONE
            and previous is not None
            and previous.state is t.EndpointStatus.READY
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
        if name in self.taken_out and entry.state is t.EndpointStatus.READY:
            entry = replace(entry, state=t.EndpointStatus.DRAINING)
        self.message_queue.send(self.endpoints[name], entry)

    def on_operator_override(self, event: t.OperatorOverride) -> None:
        """Rules 3 and 4 apply as for a listed drain or start; the list is still followed underneath."""
        if event.out == (event.endpoint in self.taken_out):
            return
        (self.taken_out.add if event.out else self.taken_out.discard)(event.endpoint)
        entry = self.listed.get(event.endpoint)
        if entry is not None:
            self.apply_entry(
                entry if event.out else replace(entry, started=max(entry.started, self.message_queue.now))
            )
        self.message_queue.log(f"{event.endpoint} {'out' if event.out else 'back'} by hand")

    def on_poll_due(self, event: PollDue) -> None:
        self.message_queue.commands.append(t.StartWatch())

    def on_probe_ended(self, event: t.ProbeEnded) -> None:
        if event.endpoint in self.endpoints:
            self.message_queue.send(self.endpoints[event.endpoint], event)

    def on_ejection_request(self, event: EjectionRequest) -> None:
        """Never ejects many on soft evidence: what all endpoints have in common is not the fault of one."""
        if event.name in self.dropped:
            self.endpoints[event.name].mode = "aside"
            return self.apply_entry(replace(self.listed[event.name], state=t.EndpointStatus.GONE))
        ejected = sum(self.endpoints[name].mode == "aside" for name in self.listed)
        limit = max(1, MAX_EJECTED_SHARE * len(self.listed))
        if (
            len(self.listed) - ejected > 1
            and event.name in self.listed
            and (event.hard or ejected + 1 <= limit)
        ):
            self.message_queue.send(self.endpoints[event.name], Ejected(event.reason))


class Sidecar:
    """The decision module: passes events from outside to its actors, and keeps one timer pending."""

    def __init__(self, deployment: t.Deployment) -> None:
        self.message_queue, random_source = MessageQueue(), RandomSource(deployment.seed)
        self.dispatcher = Dispatcher(self.message_queue, DispatchSettings(deployment), random_source)
        self.registry = EndpointRegistry(self.message_queue, self.dispatcher, random_source)
        self.timer_at: int | None = None

    def send_limit(self, request: str, attempt: int) -> float:
        """Changes nothing. Asked right before an attempt is written, as a connection had to come up since it
        was decided. See `Dispatcher.send_limit`."""
        return self.dispatcher.send_limit(request, attempt)

    def window_end(self, request: str) -> float:
        """Changes nothing. See `Dispatcher.repeats_end_at`."""
        return self.dispatcher.repeats_end_at(request)

    def step(self, now: int, events: list[t.Event], fire_timers: bool = True) -> list[t.Command]:
        """Without `fire_timers`, timers that are due wait for a later step. An exception while handling one
        event loses only that event: it is raised after the others are handled, with all commands, including
        the next timer, in `message_queue.commands`."""
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
        next_due = message_queue.fire_timers() if fire_timers else None
        if next_due is not None and (
            self.timer_at is None or self.timer_at <= now or next_due < self.timer_at or message_queue.defects
        ):
            self.timer_at = max(now + 1, next_due)
            message_queue.commands.append(t.SetTimer(self.timer_at, 1))
        if message_queue.defects:
            first_defect, message_queue.defects = message_queue.defects[0], []
            raise first_defect
        return message_queue.commands
