"""All decisions of one sidecar: `Sidecar(deployment)` once, then `step(now, events)` a batch gives commands.
Pure: no I/O, no clock, no state outside the instance. Types are in `terms.py`, reasons in `docs/design.md`.
Actors, in the order a request meets them: `Dispatcher` (takes, holds, picks, retries, answers),
`EndpointActor` (one each), `EndpointRegistry` (the list). They talk by messages, which one loop delivers
(`MessageQueue.run`)."""

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
SWEEP = 100 * MS  # what is out is looked over this often
RETRY_BASE, RETRY_MAX = 20 * MS, 1 * SECOND
RETRY_SHARE, RETRY_BUCKETS = 0.1, 20  # retries under a tenth of ten seconds' submissions, in 0.5 s buckets
CAP_START, MAX_CAP = 4, 32
# Of all sidecars together: the most an endpoint's caps start with, add a sweep while some wait, and leave.
FLEET_START, FLEET_GROWTH, FLEET_FLOOR = 8.0, 0.1, 4.0
THIN_GROWTH = 0.2  # of itself a sweep, of a cap that leaves a sidecar less than one launch
BESIDE_CAPS = 3.0, 0.02, 0.5  # start, growth and floor as multiples of what own traffic keeps in flight
ABROAD, ABROAD_LEAST = 1.5, 0.03  # pace in the own zone from which others pull more; what they always pull
BESIDE_MARKS = 2.2, 1.75  # as CROWDED and ROOMY: a thin stream of answers strays further
UNEVEN = 0.7  # of that at the start where caps are fractions: the fullest of uneven ones jams first
CROWDED, ROOMY = 1.9, 1.5  # answer times, as multiples of uncrowded ones, at which caps fall and may rise
UNTRIED, UNPROVED, MORE, PROOF_AFTER, MANY = 0.14, 0.05, 2.0, 1_250 * MS, 1_000  # see `unknown_each`
LEAST_PACE = 0.001  # of a kind of endpoint: others are divided by it
BUSY = 0.8  # cores less busy than this by reports are not crowded, whatever few answers say
REST, REST_MAX = 3 * SECOND, 12 * SECOND
SHARE_BACK = 0.05  # of the common cap, won back with each answer
EVIDENCE = 10  # answers behind a mean; THIN where they are few: their least mean is too low
BEHIND = 1.5  # multiple of the middle pace beyond which one is picked after the others
TOLD_AGE, TOLD_KEPT = 2_500 * MS, 8  # a load report counts so long; so many of the last ones decide ties
# Usual answer times without an answer: it is silent; more, shared by the launches there, as one may be long.
SILENCE, LONELY = 4.0, 6.0
SLOW = 2.7  # multiple of the middle endpoint's pace beyond which one is judged slow
DRAGS = 3.5  # multiple of the least pace of a workload beyond which one is slow by itself
ASK_APART, ASK_AGAIN = 30 * MS, 1_600 * MS  # between sidecars that all lost the list; before one asks anew
ASIDE_SHARE = 0.34  # on soft evidence no more than this share of the endpoints is set aside


@dataclass(slots=True)
class RequestState:
    name: str
    workload: t.Workload
    due: int
    contract_end: int
    arrived: int
    queue: RequestQueue
    settings: DispatchSettings  # under which it was taken
    attempts: list[Attempt] = field(default_factory=list)
    held: bool = False
    retrying: bool = False
    streaming: bool = False
    done: bool = False
    refusals: int = 0
    spoilt: bool = False  # the last answer was
    whole: bool = True  # its last byte has come
    repeated: bool = False
    spent: bool = False  # it can't be sent once more
    mark: int = 0  # of its key
    zone: str = ""  # where the common plan sends its first launch; none: anywhere

    def out(self) -> int:
        return sum(attempt.out for attempt in self.attempts)

    def first_run(self) -> Attempt | None:  # the earliest launch that is out or may have run
        return next((attempt for attempt in self.attempts if not attempt.never_ran), None)


class DispatchSettings:  # the derived figures that the desk decides by
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
        # The more the goal pools all workloads, the more value counts against evenness.
        weight = d.pooled_weight + d.evenness_weight
        self.greed = d.pooled_weight / weight if weight else 1.0
        whole = sum(q.quota_per_s for q in d.tenants) or 1.0
        self.quotas = {q.name: q.quota_per_s / whole for q in d.tenants} if self.front else {}
        self.crowded, self.roomy = BESIDE_MARKS if d.sidecar_per_client else (CROWDED, ROOMY)
        self.crossing, self.told_speed, self.zone = d.crossing_price, d.weights_tell_speed, d.zone

    def share_out(self, sidecars: int) -> float:
        """Gives what a learned cap is to be multiplied by. Of many even one launch from each would jam the
        endpoints: caps may be fractions. Beside each client they are multiples of what it keeps in flight."""
        before, self.sharers = self.sharers, sidecars if sidecars > 0 else self.told
        even, self.evidence = (1.0, EVIDENCE) if self.sharers <= FLEET_START else (UNEVEN, THIN)
        caps = [one / self.sharers for one in (even * FLEET_START, even * even * FLEET_GROWTH, FLEET_FLOOR)]
        self.cap_start, self.cap_growth, self.cap_floor = BESIDE_CAPS if self.sidecar_per_client else caps
        self.cap_start = min(CAP_START, self.cap_start)
        return 1.0 if self.sidecar_per_client else before / self.sharers


class Dispatcher(Actor):
    def __init__(
        self, message_queue: MessageQueue, settings: DispatchSettings, random_source: RandomSource
    ) -> None:
        super().__init__()
        self.message_queue, self.settings, self.random_source = message_queue, settings, random_source
        self.endpoints: dict[str, EndpointActor] = {}
        self.open: dict[str, RequestState] = {}  # until the last outcome has come
        self.endpoint_states: dict[str, EndpointState] = {}
        self.load_buckets: list[list[EndpointState]] = [[] for _ in range(2 * MAX_CAP)]  # the ready ones
        self.ready, self.in_flight, self.shares, self.weight = 0, 0, 0.0, 0.0  # sums over the ready ones
        self.busy: dict[str, EndpointState] = {}  # with launches in flight
        self.cap = settings.cap_start  # common to all; each endpoint takes its share of it
        self.told: deque[EndpointState] = deque(maxlen=TOLD_KEPT)  # the last that reported their load
        self.usual, self.sweeping, self.swept, self.luck, self.redraw = FleetAverages(), False, 0, 0.0, 0
        self.queues: dict[tuple[str, bool, bool, str], RequestQueue] = {}
        self.common, self.open_in = (
            t.FleetState(),
            {},
        )  # held in common with other sidecars; ready ones by zone
        self.bound: list[RequestState] = []  # held, but some group of endpoints alone will do
        self.waiting, self.shedding, self.crowding = 0, False, 1.0
        self.turned_back, self.answers = False, 0  # since the last look
        self.gauges: dict[str, LatencyEstimate] = {}
        self.taken, self.retried = (
            BucketedSum(RETRY_BUCKETS, SECOND // 2),
            BucketedSum(RETRY_BUCKETS, SECOND // 2),
        )
        self.launched, self.came, self.began = BucketedSum(10, SECOND // 10), BucketedSum(10, SECOND // 2), -1
        # Uncrowded answer time over all; what a cap is a multiple of.
        self.unhurried, self.scale = 0.0, 1.0
        # What a warm endpoint of size 1 handles a second; the size of all listed as ready, set aside or not.
        self.each, self.size = 0.0, 0.0
        # Handled by cold ones, and how many warm ones those make; when the first request came.
        self.proved, self.able, self.first = BucketedSum(4, SECOND // 2), 0.0, -1
        # Time without traffic, for which no credit is due: all sidecars would spend at once what they saved.
        self.idle, self.came_at = 0, -1
        self.handled, self.looked = 0, 0  # by warm endpoints since the last look at all, and when that was
        self.kinds: dict[str, float] = {}  # usual pace of each kind of endpoint
        self.zones, self.abroad = [1.0, 1.0], 0.2  # pace in the own zone and in others; what others pull
        self.sent_by = {name: BucketedSum(10, SECOND // 2) for name in settings.quotas}
        self.failed, self.answered = BucketedSum(6, SECOND // 2), BucketedSum(6, SECOND // 2)

    def take(self, event: Any) -> None:
        super().take(event)
        if self.waiting:
            self.dispatch()

    # A submission arrives.

    def arrive(self, event: t.RequestArrived) -> None:
        now, settings = self.message_queue.now, self.settings
        if event.request in self.open:
            return  # told twice
        w = settings.workloads.get(event.workload) or t.Workload(
            event.workload, event.due - now, event.due - now
        )
        self.came.add(now)
        self.idle += max(0, now - self.came_at - settings.overload_time) if self.came_at >= 0 else 0
        self.came_at, self.first = now, now if self.came_at < 0 else self.first
        if not event.keyed and w.repeat is t.RepeatPolicy.DEDUPLICATED:
            w = replace(w, repeat=t.RepeatPolicy.UNREPEATABLE)  # no endpoint would drop its repeats
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
        own = w.contract // 2 if repeated else w.contract  # that client has been waiting for a while already
        return own if self.settings.front else due - self.message_queue.now

    def complete(self, event: t.RequestBodyReceived) -> None:
        s, now = self.open.get(event.request), self.message_queue.now
        if s is None or s.whole:  # endpoints begin with the last byte: until then it kept none busy
            return
        s.whole, s.due, s.arrived = True, event.due, now
        s.contract_end = min(s.due, now + self.contract(s.workload, s.due, s.repeated))
        self.message_queue.set_timer(self.end_of(s), self, RequestTimeout(s, True))
        for attempt in (attempt for attempt in s.attempts if attempt.out):
            attempt.sent = now
            self.count_in(attempt)

    def end_of(self, s: RequestState) -> int:
        """Guards against alarms that outlast by minutes what came sooner than it was guessed."""
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

    def elsewhere(
        self, event: t.PredecessorLoad
    ) -> None:  # or both processes of an upgrade would fill every cap
        self.retried.add(self.message_queue.now, event.retried)
        for seat in list(self.endpoint_states.values()):
            if more := event.in_flight.get(seat.name, 0) - seat.elsewhere:
                seat.elsewhere += more
                self.fly(seat, more)
            if more and not seat.in_flight:
                self.endpoints[seat.name].tell()  # it may have gone meanwhile

    def beyond_share(self, tenant: str) -> bool:  # what exceeds its part of own traffic: the mix is alike
        if (ring := self.sent_by.get(tenant)) is None:
            return False
        ring.add(self.message_queue.now)
        part, sent = (
            self.came.total(self.message_queue.now) * self.settings.quotas[tenant],
            ring.total(self.message_queue.now),
        )
        return part < sent and self.random_source.draw() > part / sent

    def agree(self, event: t.FleetState) -> None:
        """What sidecars hold in common, until the next word or its end: then all is as told at the start."""
        if event.until or self.message_queue.now >= self.common.until:
            self.cap = min(float(MAX_CAP), self.cap * self.settings.share_out(event.sidecars))
            self.common = event
        if event.until:
            self.message_queue.set_timer(event.until, self, t.FleetState())

    def sent_to(self, w: t.Workload) -> str:
        """By the plan; where nothing is open there, by its way out. Placement goes before."""
        zone, plans = "", () if w.zones or w.kinds else self.common.plan.get(w.name, ())
        for shares in plans:
            if not zone or self.lost(zone):
                at = self.random_source.draw()
                zone = next((name for name, share in shares.items() if (at := at - share) < 0), zone)
        return zone

    def lost(self, zone: str) -> bool:  # as far as this sidecar finds: most there are set aside
        return self.open_in.get(zone, 0) * 2 < self.common.listed.get(zone, 1)

    def lane_of(self, w: t.Workload, beyond: bool, repeated: bool, zone: str) -> RequestQueue:
        key = (w.name, beyond, repeated, zone)
        queue = self.queues.get(key) or RequestQueue(self.worth(w, beyond, repeated), zone)
        return self.queues.setdefault(key, queue)

    def worth(self, w: t.Workload, beyond: bool, repeated: bool) -> float:
        worth = max(0.0, w.value) ** self.settings.greed * (self.settings.beyond if beyond else 1.0)
        if self.settings.sidecar_per_client:
            worth *= SECOND / max(1, w.contract)  # what takes longer costs more of the endpoints' time
        return worth * (0.7 if repeated else 1.0)

    def deploy(self, event: t.DeploymentChanged) -> None:
        """For what comes from now on; work in hand keeps its terms, what was learned stays."""
        before, self.settings, in_hand = self.settings, DispatchSettings(event.deployment), self.open.values()
        self.settings.sharers, known = before.sharers, self.settings.workloads
        self.cap = min(float(MAX_CAP), self.cap * self.settings.share_out(self.common.sidecars))
        self.sent_by = {
            name: self.sent_by.get(name) or BucketedSum(10, SECOND // 2) for name in self.settings.quotas
        }
        # Guards memory against names that come and go: what no work in hand uses is made anew when wanted.
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

    def patience(self, s: RequestState) -> int:  # until when holding it can still lead to an answer
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
        """Denies at once what would wait in vain. Where caps are fractions what the room allows counts."""
        queue, queues = s.queue, self.queues.values()
        ahead = sum(len(other.waiting) for other in queues if other.worth > queue.worth) + len(queue.waiting)
        room, limit, least = self.part(), self.patience(s), float(self.settings.sidecar_per_client)
        allowed = max(least, room) * SECOND / self.gauge(s.workload).usual if least or self.cap < 1 else 0.0
        rate = max(1.0, self.launched.total(self.message_queue.now), allowed)
        open_ = not s.zone or self.open_in.get(s.zone)  # else there is nothing to wait for
        if open_ and self.message_queue.now + int(ahead / rate * SECOND) <= limit:
            self.message_queue.set_timer(limit, self, RequestTimeout(s, False))
            return
        self.turned_back = True
        if not self.shedding:
            self.shedding = True
            self.message_queue.log(f"shedding: {self.waiting} held, {rate:.0f} launches/s, room {room:.1f}")
        self.finish(s)

    # Held submissions are launched.

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

    def may_launch(self, s: RequestState) -> bool:  # (again): rule 2, and what the deployment allows
        if s.done or s.streaming or s.spent or len(s.attempts) >= s.settings.max_attempts:
            return False
        if s.whole and self.message_queue.now >= s.due - s.settings.margin:
            return False  # it is answered now
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
        """Launches in flight at all ready endpoints together. Fractions are rounded by chance."""
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

    def part(self) -> float:  # this sidecar's, of what all ready endpoints take
        return self.cap * self.scale * self.shares

    def pace_over(self, mark: float) -> bool:
        """Where caps are fractions few answers make a light day look crowded: reports must bear it out."""
        idle = self.cap < 1 and self.settings.reports and self.usual.busy < BUSY
        return self.crowding > mark * (2 if idle else 1)

    def pick(self, s: RequestState) -> EndpointState | None:
        """Fewest own launches in flight under the cap, ties by race; a cold one counts at mean load."""
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

    def race(
        self, seat: EndpointState, s: RequestState
    ) -> float:  # least first: by chance, or by key alike everywhere
        return -log(mixed(s.mark, seat.mark) if s.mark else self.random_source.draw() or 0.5) / seat.pull

    def told_least(self, load: int, s: RequestState, tried: list[EndpointState]) -> EndpointState | None:
        """Of equals the one that told of the least load, if below the mean, to which each report fades."""
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
        """One shallow probe a launch, for ties to come, while most places are empty; fewer at idle cores."""
        bucket, wanted = self.load_buckets[0], self.usual.busy > BUSY / 2 or self.random_source.draw() < 0.25
        if bucket and wanted and self.settings.reports and 2 * self.in_flight < self.ready:
            seat = bucket[self.random_source.upto(len(bucket) - 1)]
            stale = seat not in self.told or self.message_queue.now - seat.report.told_at > TOLD_AGE // 4
            if (
                stale and seat.report.cold_since is None
            ):  # a cold one decides no tie, and has no work to spare
                self.message_queue.commands.append(t.StartProbe(seat.name))

    def may_take(self, seat: EndpointState, s: RequestState, tried: list[EndpointState]) -> bool:
        if seat.in_flight and (
            seat.report.trial or seat.in_flight >= self.cap * self.scale * seat.report.share
        ):
            return False
        near = (
            not s.zone or s.attempts or seat.report.entry.zone == s.zone
        )  # launches again are few: they cross
        again = tried and (not self.group_allows(s, seat) or seat in tried and self.ready > len(tried))
        if again or not near or not s.workload.open_at(seat.report.entry):  # also when all are down
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

    def warmth(self, report: EndpointReport) -> float:  # at the least, by now
        if report.cold_since is None:
            return 1.0
        age = min(1.0, max(0, self.message_queue.now - report.cold_since) / self.settings.cold_time)
        return 1 - (1 - self.settings.cold_share) * (1 - age)

    def credited(self, seat: EndpointState) -> bool:
        """Rule 4: by warmth what a warm one of its size handles, however few are left; where that is not
        known see `unknown_each`. Credit of one launch at most."""
        now, clock = self.message_queue.now, self.message_queue.now - self.idle
        if now - seat.report.cold_since >= self.settings.cold_time:
            seat.report.cold_since = None
            return True
        rate = self.warmth(seat.report) * (self.each or self.unknown_each()) * seat.size
        rate *= self.common.brakes.get(seat.name, 1.0)  # all sidecars together
        seat.credit = min(1.0, seat.credit + rate * (clock - seat.credited) / SECOND)
        seat.credited = clock
        return seat.credit >= 1.0

    def unknown_each(self) -> float:
        """Where none is warm. As few may be left: UNTRIED of their part of what comes, from PROOF_AFTER on
        UNPROVED and MORE times what they handled; less of many sidecars, whose launches meet by chance."""
        now, age = self.message_queue.now, self.message_queue.now - self.first
        comes = self.came.total(now) * SECOND / min(5 * SECOND, max(SECOND // 2, age))
        part = comes / max(1, self.ready, self.size) / (1 + self.settings.sharers / MANY)
        if age < PROOF_AFTER or not self.able:
            return UNTRIED * part
        return min(part, UNPROVED * part + MORE * self.proved.total(now) / 2 / self.able)

    def try_launch(self, s: RequestState) -> bool:  # true when it need not be held any longer
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
            self.count_in(attempt)  # it ended before its submission was whole
        attempt.out, attempt.never_ran, seat = False, event.outcome in t.NEVER_RAN, attempt.endpoint_state
        s.spent = s.spent or event.last
        self.fly(seat, -1)
        gauge = self.gauge(s.workload)
        if event.outcome is t.Outcome.HANDLED:
            self.answers += 1
            self.handled += self.warmth(seat.report) == 1
            self.proved.add(now, self.warmth(seat.report) < 1)
            gauge.add(now, max(1, event.duration))
        # What we call off at the hard limit is a time-out of its endpoint, or only quick answers would tell.
        how = t.Outcome.TIMED_OUT if attempt.overdue else event.outcome
        overtaken = (
            s.done
            and not attempt.overdue
            or how in (t.Outcome.CALLED_OFF, t.Outcome.UNSENT, t.Outcome.REJECTED)
        )
        warm = (
            self.warmth(seat.report) if self.settings.uneven else 1.0
        )  # or cold ones make growth look crowded
        pace = event.duration * warm / max(1.0, gauge.uncrowded)
        if how in (t.Outcome.HANDLED, t.Outcome.TIMED_OUT):
            gain = max(0.03, 1 / (8 + self.answered.total(now) / 3))  # over about a second's, at least eight
            gauge.pace += 0.1 * (min(pace, 8.0) - gauge.pace)
            if gauge.pace > DRAGS * min(other.pace for other in self.gauges.values()):
                pace = self.crowding  # slow at all endpoints while other workloads are not: it is no load
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
        # Inner tiers pass failures up, or retries would multiply: but for what never ran, and spoilt answers.
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

    def silent(self, event: EndpointSilent) -> None:  # second copies for what hangs there
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
            self.unhold(s)  # a copy still waits for an answer
            s.retrying = False
            return
        for attempt in s.attempts:
            attempt.overdue = attempt.out
        self.finish(s)

    def may_deny(self, s: RequestState) -> bool:  # rule 2: a denial says that trying again is safe
        all_drop = (
            s.workload.repeat is t.RepeatPolicy.DEDUPLICATED and s.workload.group is t.DeduplicationScope.ALL
        )
        return all_drop or s.workload.repeat is t.RepeatPolicy.IDEMPOTENT or s.first_run() is None

    def finish(self, s: RequestState) -> None:  # advice is jittered, lest the denied return as a wave
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
            del (
                self.endpoint_states[event.name],
                self.endpoints[event.name],
            )  # or memory grows with all there ever were
            self.told = deque((one for one in self.told if one is not seat), TOLD_KEPT)

    def count(self, seat: EndpointState, sign: int) -> None:
        if seat.counts():
            self.ready += sign
            self.in_flight += sign * seat.in_flight
            self.shares += sign * seat.report.share
            self.weight += sign * seat.size
            self.open_in[seat.report.entry.zone] = self.open_in.get(seat.report.entry.zone, 0) + sign

    def against_kind(self, seat: EndpointState, pace: float, uncrowded: float) -> float:
        """Guards against slow machines that stand behind the others for good, though all is well."""
        pace = max(LEAST_PACE, pace)  # an answer that took no time
        kind, far = seat.report.entry.kind, seat.report.entry.zone != self.settings.zone
        if uncrowded:
            self.kinds[kind] = 0.98 * self.kinds.get(kind, pace) + 0.02 * pace
            self.zones[far] += 0.05 * (pace - self.zones[far])
            self.unhurried += (uncrowded - self.unhurried) * (0.02 if self.unhurried else 1.0)
        return pace * sum(self.kinds.values()) / max(1, len(self.kinds)) / self.kinds.get(kind, 1.0) or pace

    def balance(self, usual: float) -> None:
        """What own traffic keeps in flight, and what part of it each endpoint gets."""
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
            seat.pull **= 0.5 if self.settings.few else 1.0  # the other root is in who is used
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

    def keep_sweeping(self) -> None:  # an idle sidecar is woken for nothing
        if not self.sweeping:
            self.sweeping = True
            self.message_queue.set_timer(self.message_queue.now + SWEEP, self, PeriodicCheck())

    def sweep(self, event: PeriodicCheck) -> None:
        """Looks over what is out, and learns the cap from all answers: those of one endpoint are few."""
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
        """Guards against a sidecar of many that has room for less than one launch for most of a minute: there
        the cap grows by a part of itself, as long as what is sent is answered."""
        thin = self.ready and self.part() < 1 and not self.settings.sidecar_per_client
        if thin and (self.answers or not self.in_flight):
            if self.waiting or self.turned_back:
                self.cap += max(self.settings.cap_growth, THIN_GROWTH * self.cap)
        elif self.waiting:
            self.cap = min(float(MAX_CAP), self.cap + self.settings.cap_growth)

    def look_over(self, all_: bool) -> None:  # what is usual; a look at all endpoints costs most
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
                self.shelve(seat)  # the mean that it counts at has moved
        if all_ and self.settings.uneven:
            self.balance(pace)
        load = sum(busy) / len(busy) if busy else 1.0
        self.usual = FleetAverages(took, self.crowding, pace, failed, answered, told, load)

    def measure_warm(self, cold: list[EndpointState], span: int) -> None:
        """What a warm endpoint handles: from here follows what a cold one may be sent."""
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
    """Judges one endpoint: its share of the cap, and whether it is ready, set aside or on trial."""

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
        self.usual, self.share = (
            FleetAverages(),
            1.0,
        )  # what is usual in the fleet; its part of the common cap
        self.told: float | None = None
        self.told_at, self.busy, self.crowded = 0, 1.0, False
        self.mode = "ready"  # ready, aside, trial
        self.in_flight, self.heard = 0, 0  # heard: last answer, or the first launch after having none out
        self.pace: float | None = None
        self.answers, self.broken = 0, 0  # since it was last set aside; connections broken in a row
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
        if fresh:  # by another machine's clock it may be to come: then it would stay cold past its time
            self.cold_since = min(entry.started, self.message_queue.now)
        returned, self.entry = self.entry.state is not entry.state is t.EndpointStatus.READY, entry
        if self.mode == "aside" and fresh and entry.state is t.EndpointStatus.READY:
            return self.on_trial()  # it runs, by the list: probes of all sidecars would be its whole budget
        if self.mode == "aside" and returned:
            self.schedule_probe(0)  # not to be probed so far: no need to sit out the rest
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
            # One connection not made is enough: the probe that follows soon is cheaper than another launch.
            self.broken += 2 if how is t.Outcome.UNCONNECTED else 1
            if self.broken >= 2:
                self.plead("connections break", True)
        else:
            self.broken = 0
            self.ease(how)
            if quiet > SILENCE * self.usual.took:
                # A hang seen by one launch alone: each sidecar would go on losing launches to it one by one.
                self.plead(f"silent {quiet // MS} ms up to a time-out", False)
        if self.mode == "trial":
            self.plead("failed its trial", True)

    def report(self, load: t.LoadReport) -> None:  # how long one more takes by its own word, if it says so
        if load.queued is not None:
            self.told, self.told_at = load.queued + 1, self.message_queue.now
        self.busy = 1.0 if load.busy is None else load.busy

    def judge(self) -> None:  # from its answers, against what is usual in the fleet
        now, usual = self.message_queue.now, self.usual
        # Own launches in flight say little where many share it: a slow or full one goes behind the others.
        fresh = self.told is not None and now - self.told_at <= TOLD_AGE
        self.crowded = fresh and 0 < 2 * usual.told < self.told  # 0: the mean is not known so far
        if self.pace and self.answers >= 3 and now - self.heard < TOLD_AGE:
            self.crowded = self.crowded or self.pace > BEHIND * max(1.0, usual.pace)
        failed, answered = self.failed.total(now), self.answered.total(now)
        failing = max(0.0, usual.failed - failed) / max(1.0, usual.answered - answered)  # of all others
        if failed >= 3 and failed > (0.3 + 2 * failing) * answered:  # probes fail with no answer at all, too
            # Quick errors free its places fast: it gets more and more, and must not count as what is usual.
            self.plead(f"failed {failed:.0f} of {answered:.0f}", False)
        elif self.pace and self.answers >= 6 and self.pace > SLOW * max(1.0, usual.pace):
            # Slow by itself, not with all others: jammed or starved, it needs rest.
            self.plead(f"slow, pace {self.pace:.1f}, fleet {usual.pace:.1f}", False)

    def end_trial(self) -> None:  # guards against taking back at full count what is still jammed
        if self.pace > SLOW * max(1.0, self.usual.pace):
            self.plead(f"still slow, pace {self.pace:.1f}", True)
        else:
            self.mode = "ready"
            self.message_queue.log(f"{self.entry.endpoint} ready again: 3 answers, pace {self.pace:.1f}")

    def ease(self, how: t.Outcome) -> None:
        """Lowers its share, once per few answers; not for quick errors of all, which tell of no load."""
        load = how not in (t.Outcome.ERROR, t.Outcome.SPOILT) or self.usual.crowding > ROOMY
        if load and self.message_queue.now - self.eased >= SWEEP:
            self.eased, self.share = self.message_queue.now, max(0.1, self.share * 0.7)

    def look(
        self, event: FleetAverages
    ) -> None:  # launches are out there, or it stands behind: is that still right?
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
        """On trial: one launch at a time, counted as cold, since a probe shows only that it runs."""
        if self.blip:  # connections broke, but every probe since was answered: it never was away
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


class EndpointRegistry(Actor):  # follows the list, and grants setting aside
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
        self.out: set[str] = set()  # by hand
        self.dropped: set[str] = set()  # listed as gone, undrained: where that does not bind they serve on

    def update(self, event: t.ListReceived) -> None:
        longest, failed = self.dispatcher.settings.ask_span, event.kind is t.ListKind.FAILED
        self.asks = self.asks + 1 if failed else 0  # overloaded, or the watch broke: later each time
        base = min(SECOND, self.dispatcher.settings.told * ASK_APART) << min(self.asks, 4)
        span = min(longest, ASK_AGAIN, base) if failed else longest * (event.kind is t.ListKind.CACHED)
        if span:  # jittered, or spread
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
            self.tell(entry)  # those that leave first: what is held goes out as soon as a new one is there

    def tell(self, entry: t.ListEntry) -> None:
        name, was = entry.endpoint, self.listed.get(entry.endpoint)
        if not 0 < entry.weight < inf:
            entry = replace(entry, weight=1.0)  # it can't be a size
        self.dropped.discard(name)
        gone = (
            entry.state is t.EndpointStatus.GONE and was is not None and was.state is t.EndpointStatus.READY
        )
        if gone and not self.dispatcher.settings.gone_binds and self.endpoints[name].mode != "aside":
            return self.dropped.add(name)  # the list may be wrong: believed once the endpoint fails as well
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
        """Rules 3 and 4 hold as for a drain and a start that the list told, which is followed underneath."""
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
        """Never all at once on thin evidence: what all endpoints share is not one endpoint's fault."""
        if event.name in self.dropped:
            self.endpoints[event.name].mode = "aside"
            return self.tell(replace(self.listed[event.name], state=t.EndpointStatus.GONE))
        aside = sum(self.endpoints[name].mode == "aside" for name in self.listed)
        most = max(1, ASIDE_SHARE * len(self.listed))
        if len(self.listed) - aside > 1 and event.name in self.listed and (event.hard or aside + 1 <= most):
            self.message_queue.send(self.endpoints[event.name], Ejected(event.why))


class Sidecar:
    """One instance: routes outside notes to the parts and keeps one wake-up pending."""

    def __init__(self, d: t.Deployment) -> None:
        self.message_queue, random_source = MessageQueue(), RandomSource(d.seed)
        self.dispatcher = Dispatcher(self.message_queue, DispatchSettings(d), random_source)
        self.registry = EndpointRegistry(self.message_queue, self.dispatcher, random_source)
        self.armed: int | None = None

    def step(self, now: int, events: list[t.Event], ring: bool = True) -> list[t.Command]:
        """Without `ring`, alarms that are due wait for a later step. An exception over one note costs that
        note: it is raised when the rest is done, with all orders, the next wake-up too, in
        `message_queue.commands`."""
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
