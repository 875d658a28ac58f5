"""All decisions of one sidecar: `Sidecar(deployment)` once, then `step(now, notes)` a batch gives orders.
Pure: no I/O, no clock, no state outside the instance. Types are in `terms.py`, reasons in `docs/design.md`.
Parts, in the order a submission meets them: `Desk` (takes, holds, picks, retries, answers), `Endpoint` (one
actor each), `Roster` (the list). They talk by notes, which one loop delivers (`Mail.run`)."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from math import ceil, inf, log, sqrt
from typing import Any
from zlib import crc32

from lupinmill import terms as t
from lupinmill.workings import (
    THIN,
    Answer,
    Aside,
    AskDue,
    Chance,
    Flight,
    Gauge,
    GiveUp,
    Lane,
    Mail,
    Part,
    Plea,
    ProbeDue,
    RetryDue,
    Ring,
    Seat,
    Sent,
    Silent,
    Standing,
    Sweep,
    Usual,
    mixed,
)

MS, SECOND = 1_000, 1_000_000
SWEEP = 100 * MS  # what is out is looked over this often
RETRY_BASE, RETRY_MAX = 20 * MS, 1 * SECOND
RETRY_SHARE, RETRY_BUCKETS = 0.1, 20  # retries under a tenth of ten seconds' submissions, in 0.5 s buckets
CAP_START, CAP_TOP = 4, 32
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
class Submission:
    name: str
    workload: t.Workload
    due: int
    contract_end: int
    arrived: int
    lane: Lane
    allow: Allowances  # under which it was taken
    flights: list[Flight] = field(default_factory=list)
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
        return sum(flight.out for flight in self.flights)

    def first_run(self) -> Flight | None:  # the earliest launch that is out or may have run
        return next((flight for flight in self.flights if not flight.never_ran), None)


class Allowances:  # the derived figures that the desk decides by
    def __init__(self, d: t.Deployment) -> None:
        self.front, self.margin, self.warm_keys = d.tier == 0, 2 * d.round, d.warm_keys
        self.workloads, self.most_launches = {w.name: w for w in d.workloads}, d.max_attempts
        self.copies, self.cancel, self.beyond = d.hedging_allowed, d.cancel_allowed, d.beyond_share_value
        self.probes, self.reports = d.probes_allowed, d.probes_allowed and d.reports_asked
        self.advice = d.longest_advice if d.advice_allowed else 0
        self.cold_share, self.cold_time, self.gone_binds = d.cold_share, max(1, d.cold_time), d.gone_binds
        self.overload_time, self.sized = max(1, d.overload_time), not d.weights_live
        self.uneven, self.beside, self.few = d.uneven, d.sidecar_per_client, d.few_connections
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
        self.cap_start, self.cap_growth, self.cap_floor = BESIDE_CAPS if self.beside else caps
        self.cap_start = min(CAP_START, self.cap_start)
        return 1.0 if self.beside else before / self.sharers


class Desk(Part):
    def __init__(self, mail: Mail, allow: Allowances, chance: Chance) -> None:
        super().__init__()
        self.mail, self.allow, self.chance = mail, allow, chance
        self.endpoints: dict[str, Endpoint] = {}
        self.open: dict[str, Submission] = {}  # until the last outcome has come
        self.seats: dict[str, Seat] = {}
        self.shelves: list[list[Seat]] = [[] for _ in range(2 * CAP_TOP)]  # the ready ones
        self.ready, self.flying, self.shares, self.weight = 0, 0, 0.0, 0.0  # sums over the ready ones
        self.busy: dict[str, Seat] = {}  # with launches in flight
        self.cap = allow.cap_start  # common to all; each endpoint takes its share of it
        self.told: deque[Seat] = deque(maxlen=TOLD_KEPT)  # the last that reported their load
        self.usual, self.sweeping, self.swept, self.luck, self.redraw = Usual(), False, 0, 0.0, 0
        self.lanes: dict[tuple[str, bool, bool, str], Lane] = {}
        self.common, self.open_in = (
            t.FleetState(),
            {},
        )  # held in common with other sidecars; ready ones by zone
        self.bound: list[Submission] = []  # held, but some group of endpoints alone will do
        self.waiting, self.shedding, self.crowding = 0, False, 1.0
        self.turned_back, self.answers = False, 0  # since the last look
        self.gauges: dict[str, Gauge] = {}
        self.taken, self.retried = Ring(RETRY_BUCKETS, SECOND // 2), Ring(RETRY_BUCKETS, SECOND // 2)
        self.launched, self.came, self.began = Ring(10, SECOND // 10), Ring(10, SECOND // 2), -1
        # Uncrowded answer time over all; what a cap is a multiple of.
        self.unhurried, self.scale = 0.0, 1.0
        # What a warm endpoint of size 1 handles a second; the size of all listed as ready, set aside or not.
        self.each, self.size = 0.0, 0.0
        # Handled by cold ones, and how many warm ones those make; when the first request came.
        self.proved, self.able, self.first = Ring(4, SECOND // 2), 0.0, -1
        # Time without traffic, for which no credit is due: all sidecars would spend at once what they saved.
        self.idle, self.came_at = 0, -1
        self.handled, self.looked = 0, 0  # by warm endpoints since the last look at all, and when that was
        self.kinds: dict[str, float] = {}  # usual pace of each kind of endpoint
        self.zones, self.abroad = [1.0, 1.0], 0.2  # pace in the own zone and in others; what others pull
        self.sent_by = {name: Ring(10, SECOND // 2) for name in allow.quotas}
        self.failed, self.answered = Ring(6, SECOND // 2), Ring(6, SECOND // 2)

    def take(self, event: Any) -> None:
        super().take(event)
        if self.waiting:
            self.dispatch()

    # A submission arrives.

    def arrive(self, event: t.RequestArrived) -> None:
        now, allow = self.mail.now, self.allow
        if event.request in self.open:
            return  # told twice
        w = allow.workloads.get(event.workload) or t.Workload(
            event.workload, event.due - now, event.due - now
        )
        self.came.add(now)
        self.idle += max(0, now - self.came_at - allow.overload_time) if self.came_at >= 0 else 0
        self.came_at, self.first = now, now if self.came_at < 0 else self.first
        if not event.keyed and w.repeat is t.RepeatPolicy.DEDUPLICATED:
            w = replace(w, repeat=t.RepeatPolicy.UNREPEATABLE)  # no endpoint would drop its repeats
        self.taken.add(now, not event.repeated)
        end = min(event.due, now + self.contract(w, event.due, event.repeated))
        zone = self.sent_to(w)
        lane = self.lane_of(w, self.beyond_share(event.tenant), event.repeated, zone)
        s = Submission(event.request, w, event.due, end, now, lane, allow, zone=zone)
        s.whole, s.repeated = event.whole, event.repeated
        s.mark = crc32(event.key.encode()) if allow.warm_keys and event.key else 0
        self.open[s.name] = s
        if not self.ready and allow.beside:
            self.balance(1.0)
        self.keep_sweeping()
        self.mail.alarm(self.end_of(s), self, GiveUp(s, True))
        self.hold(s)
        self.dispatch()
        if s.held:
            self.admit(s)

    def contract(self, w: t.Workload, due: int, repeated: bool) -> int:
        own = w.contract // 2 if repeated else w.contract  # that client has been waiting for a while already
        return own if self.allow.front else due - self.mail.now

    def complete(self, event: t.RequestBodyReceived) -> None:
        s, now = self.open.get(event.request), self.mail.now
        if s is None or s.whole:  # endpoints begin with the last byte: until then it kept none busy
            return
        s.whole, s.due, s.arrived = True, event.due, now
        s.contract_end = min(s.due, now + self.contract(s.workload, s.due, s.repeated))
        self.mail.alarm(self.end_of(s), self, GiveUp(s, True))
        for flight in (flight for flight in s.flights if flight.out):
            flight.sent = now
            self.count_in(flight)

    def end_of(self, s: Submission) -> int:
        """Guards against alarms that outlast by minutes what came sooner than it was guessed."""
        end = s.due - s.allow.margin
        return end if s.whole else min(end, self.mail.now + 10 * SECOND)

    def count_in(self, flight: Flight) -> None:
        seat, flight.counted = flight.seat, True
        seat.coming -= 1
        self.fly(seat, 1)
        self.launched.add(self.mail.now)
        self.mail.post(self.endpoints[seat.name], Sent())

    def fly(self, seat: Seat, more: int) -> None:
        seat.flying += more
        self.flying += more * seat.counts()
        if seat.flying:
            self.busy[seat.name] = seat
        else:
            self.busy.pop(seat.name, None)
        self.shelve(seat)

    def elsewhere(
        self, event: t.PredecessorLoad
    ) -> None:  # or both processes of an upgrade would fill every cap
        self.retried.add(self.mail.now, event.retried)
        for seat in list(self.seats.values()):
            if more := event.in_flight.get(seat.name, 0) - seat.elsewhere:
                seat.elsewhere += more
                self.fly(seat, more)
            if more and not seat.flying:
                self.endpoints[seat.name].tell()  # it may have gone meanwhile

    def beyond_share(self, tenant: str) -> bool:  # what exceeds its part of own traffic: the mix is alike
        if (ring := self.sent_by.get(tenant)) is None:
            return False
        ring.add(self.mail.now)
        part, sent = self.came.total(self.mail.now) * self.allow.quotas[tenant], ring.total(self.mail.now)
        return part < sent and self.chance.draw() > part / sent

    def agree(self, event: t.FleetState) -> None:
        """What sidecars hold in common, until the next word or its end: then all is as told at the start."""
        if event.until or self.mail.now >= self.common.until:
            self.cap = min(float(CAP_TOP), self.cap * self.allow.share_out(event.sidecars))
            self.common = event
        if event.until:
            self.mail.alarm(event.until, self, t.FleetState())

    def sent_to(self, w: t.Workload) -> str:
        """By the plan; where nothing is open there, by its way out. Placement goes before."""
        zone, plans = "", () if w.zones or w.kinds else self.common.plan.get(w.name, ())
        for shares in plans:
            if not zone or self.lost(zone):
                at = self.chance.draw()
                zone = next((name for name, share in shares.items() if (at := at - share) < 0), zone)
        return zone

    def lost(self, zone: str) -> bool:  # as far as this sidecar finds: most there are set aside
        return self.open_in.get(zone, 0) * 2 < self.common.listed.get(zone, 1)

    def lane_of(self, w: t.Workload, beyond: bool, repeated: bool, zone: str) -> Lane:
        key = (w.name, beyond, repeated, zone)
        lane = self.lanes.get(key) or Lane(self.worth(w, beyond, repeated), zone)
        return self.lanes.setdefault(key, lane)

    def worth(self, w: t.Workload, beyond: bool, repeated: bool) -> float:
        worth = max(0.0, w.value) ** self.allow.greed * (self.allow.beyond if beyond else 1.0)
        if self.allow.beside:
            worth *= SECOND / max(1, w.contract)  # what takes longer costs more of the endpoints' time
        return worth * (0.7 if repeated else 1.0)

    def deploy(self, event: t.DeploymentChanged) -> None:
        """For what comes from now on; work in hand keeps its terms, what was learned stays."""
        before, self.allow, in_hand = self.allow, Allowances(event.deployment), self.open.values()
        self.allow.sharers, known = before.sharers, self.allow.workloads
        self.cap = min(float(CAP_TOP), self.cap * self.allow.share_out(self.common.sidecars))
        self.sent_by = {name: self.sent_by.get(name) or Ring(10, SECOND // 2) for name in self.allow.quotas}
        # Guards memory against names that come and go: what no work in hand uses is made anew when wanted.
        names, lanes = {s.workload.name for s in in_hand} | known.keys(), {id(s.lane) for s in in_hand}
        self.gauges = {name: gauge for name, gauge in self.gauges.items() if name in names}
        self.lanes = {key: lane for key, lane in self.lanes.items() if id(lane) in lanes}
        for (name, beyond, repeated, _), lane in self.lanes.items():
            lane.worth = self.worth(known[name], beyond, repeated) if name in known else lane.worth

    def gauge(self, w: t.Workload) -> Gauge:
        if w.name not in self.gauges:
            self.gauges[w.name] = Gauge(w.contract // (5 if self.allow.beside else 3), self.allow.evidence)
        return self.gauges[w.name]

    def patience(self, s: Submission) -> int:  # until when holding it can still lead to an answer
        span = s.contract_end - s.arrived
        return s.contract_end - int(min(self.gauge(s.workload).usual * 1.3, span * 0.6))

    def hold(self, s: Submission) -> None:
        s.held = True
        self.waiting += 1
        w = s.workload
        if w.zones or w.kinds or s.first_run() is not None and w.repeat is t.RepeatPolicy.DEDUPLICATED:
            self.bound.append(s)
        else:
            s.lane.line.append(s)

    def admit(self, s: Submission) -> None:
        """Denies at once what would wait in vain. Where caps are fractions what the room allows counts."""
        lane, lanes = s.lane, self.lanes.values()
        ahead = sum(len(other.line) for other in lanes if other.worth > lane.worth) + len(lane.line)
        room, limit, least = self.part(), self.patience(s), float(self.allow.beside)
        allowed = max(least, room) * SECOND / self.gauge(s.workload).usual if least or self.cap < 1 else 0.0
        rate = max(1.0, self.launched.total(self.mail.now), allowed)
        open_ = not s.zone or self.open_in.get(s.zone)  # else there is nothing to wait for
        if open_ and self.mail.now + int(ahead / rate * SECOND) <= limit:
            self.mail.alarm(limit, self, GiveUp(s, False))
            return
        self.turned_back = True
        if not self.shedding:
            self.shedding = True
            self.mail.log(f"shedding: {self.waiting} held, {rate:.0f} launches/s, room {room:.1f}")
        self.finish(s)

    # Held submissions are launched.

    def dispatch(self) -> None:
        self.bound = [s for s in self.bound if s.held and not self.try_launch(s)]
        full: list[str] = []  # zones
        while True:
            best, urgency = None, -1.0
            for lane in self.lanes.values():
                line = lane.line
                while line and not line[0].held:
                    line.popleft()
                if line and lane.zone not in full:
                    head = line[0]
                    waited = (self.mail.now - head.arrived) / max(1, head.contract_end - head.arrived + 1)
                    if lane.worth * (waited + 0.1) > urgency:
                        best, urgency = lane, lane.worth * (waited + 0.1)
            if best is not None and self.try_launch(best.line[0]):
                best.line.popleft()
            elif best is None or not best.zone:
                return
            else:
                full.append(best.zone)

    def may_launch(self, s: Submission) -> bool:  # (again): rule 2, and what the deployment allows
        if s.done or s.streaming or s.spent or len(s.flights) >= s.allow.most_launches:
            return False
        if s.whole and self.mail.now >= s.due - s.allow.margin:
            return False  # it is answered now
        first = s.first_run()
        if first is None or s.out() and not s.allow.copies:
            return first is None
        if s.workload.repeat is t.RepeatPolicy.DEDUPLICATED:
            return self.mail.now < first.sent + s.workload.window - s.allow.margin
        return s.workload.repeat is t.RepeatPolicy.IDEMPOTENT

    def group_allows(self, s: Submission, seat: Seat) -> bool:
        first, group = s.first_run(), s.workload.group
        if (
            first is None
            or s.workload.repeat is not t.RepeatPolicy.DEDUPLICATED
            or group is t.DeduplicationScope.ALL
        ):
            return True
        entries = first.seat.says.entry, seat.says.entry
        old, new = (entry.zone if group is t.DeduplicationScope.ZONE else entry.cell for entry in entries)
        return bool(new) and new == old

    def room(self) -> int:
        """Launches in flight at all ready endpoints together. Fractions are rounded by chance."""
        room = self.part()
        if self.allow.beside:
            return int(max(1.0, room + (0 if self.pace_over(self.allow.roomy) else sqrt(room))) + 0.5)
        if self.cap >= 1:
            return max(1, ceil(room))
        mean = self.launched.total(self.mail.now) * self.usual.took / SECOND
        if mean <= room and not self.pace_over(self.allow.roomy):
            room += min(sqrt(room), room * (1 / UNEVEN - 1))
        if self.mail.now >= self.redraw:
            self.luck, self.redraw = self.chance.draw(), self.mail.now + self.usual.took
        return int(room + self.luck)

    def part(self) -> float:  # this sidecar's, of what all ready endpoints take
        return self.cap * self.scale * self.shares

    def pace_over(self, mark: float) -> bool:
        """Where caps are fractions few answers make a light day look crowded: reports must bear it out."""
        idle = self.cap < 1 and self.allow.reports and self.usual.busy < BUSY
        return self.crowding > mark * (2 if idle else 1)

    def pick(self, s: Submission) -> Seat | None:
        """Fewest own launches in flight under the cap, ties by race; a cold one counts at mean load."""
        if not self.ready or self.flying >= self.room():
            return None
        tried = [flight.seat for flight in s.flights]
        for behind in (0, CAP_TOP):
            for load in range(min(CAP_TOP, max(1, ceil(self.cap * self.scale)))):
                shelf = self.shelves[behind + load]
                if not behind and (told := self.told_least(load, s, tried)) is not None:
                    return told
                if self.allow.uneven:
                    line = sorted(shelf, key=lambda seat: self.race(seat, s))
                else:
                    start = self.chance.upto(len(shelf) - 1) if len(shelf) > 1 else 0
                    line = shelf[start:] + shelf[:start]
                for seat in line:
                    if self.may_take(seat, s, tried):
                        return seat
        return None

    def race(self, seat: Seat, s: Submission) -> float:  # least first: by chance, or by key alike everywhere
        return -log(mixed(s.mark, seat.mark) if s.mark else self.chance.draw() or 0.5) / seat.pull

    def told_least(self, load: int, s: Submission, tried: list[Seat]) -> Seat | None:
        """Of equals the one that told of the least load, if below the mean, to which each report fades."""
        mean, least, best = self.usual.told, self.usual.told, None
        for seat in self.told:
            says = seat.says
            if seat.shelf == load and says.told is not None and says.cold_since is None:
                likely = says.told + (mean - says.told) * min(1.0, (self.mail.now - says.told_at) / TOLD_AGE)
                if likely < least and self.may_take(seat, s, tried):
                    best, least = seat, likely
        return best

    def ask_around(self) -> None:
        """One shallow probe a launch, for ties to come, while most places are empty; fewer at idle cores."""
        shelf, wanted = self.shelves[0], self.usual.busy > BUSY / 2 or self.chance.draw() < 0.25
        if shelf and wanted and self.allow.reports and 2 * self.flying < self.ready:
            seat = shelf[self.chance.upto(len(shelf) - 1)]
            stale = seat not in self.told or self.mail.now - seat.says.told_at > TOLD_AGE // 4
            if stale and seat.says.cold_since is None:  # a cold one decides no tie, and has no work to spare
                self.mail.commands.append(t.StartProbe(seat.name))

    def may_take(self, seat: Seat, s: Submission, tried: list[Seat]) -> bool:
        if seat.flying and (seat.says.trial or seat.flying >= self.cap * self.scale * seat.says.share):
            return False
        near = not s.zone or s.flights or seat.says.entry.zone == s.zone  # launches again are few: they cross
        again = tried and (not self.group_allows(s, seat) or seat in tried and self.ready > len(tried))
        if again or not near or not s.workload.open_at(seat.says.entry):  # also when all are down
            return False
        return seat.says.cold_since is None or self.credited(seat)

    def shelve(self, seat: Seat) -> None:
        shelf = -1
        if seat.counts():
            mean = 0 if seat.says.cold_since is None else round(self.flying / self.ready)
            shelf = min(max(seat.flying, mean), CAP_TOP - 1) + (CAP_TOP if seat.says.crowded else 0)
        if shelf == seat.shelf:
            return
        if seat.shelf >= 0:
            last = self.shelves[seat.shelf].pop()
            if last is not seat:
                self.shelves[seat.shelf][seat.spot], last.spot = last, seat.spot
        seat.shelf = shelf
        if shelf >= 0:
            seat.spot = len(self.shelves[shelf])
            self.shelves[shelf].append(seat)

    def warmth(self, says: Standing) -> float:  # at the least, by now
        if says.cold_since is None:
            return 1.0
        age = min(1.0, max(0, self.mail.now - says.cold_since) / self.allow.cold_time)
        return 1 - (1 - self.allow.cold_share) * (1 - age)

    def credited(self, seat: Seat) -> bool:
        """Rule 4: by warmth what a warm one of its size handles, however few are left; where that is not
        known see `unknown_each`. Credit of one launch at most."""
        now, clock = self.mail.now, self.mail.now - self.idle
        if now - seat.says.cold_since >= self.allow.cold_time:
            seat.says.cold_since = None
            return True
        rate = self.warmth(seat.says) * (self.each or self.unknown_each()) * seat.size
        rate *= self.common.brakes.get(seat.name, 1.0)  # all sidecars together
        seat.credit = min(1.0, seat.credit + rate * (clock - seat.credited) / SECOND)
        seat.credited = clock
        return seat.credit >= 1.0

    def unknown_each(self) -> float:
        """Where none is warm. As few may be left: UNTRIED of their part of what comes, from PROOF_AFTER on
        UNPROVED and MORE times what they handled; less of many sidecars, whose launches meet by chance."""
        now, age = self.mail.now, self.mail.now - self.first
        comes = self.came.total(now) * SECOND / min(5 * SECOND, max(SECOND // 2, age))
        part = comes / max(1, self.ready, self.size) / (1 + self.allow.sharers / MANY)
        if age < PROOF_AFTER or not self.able:
            return UNTRIED * part
        return min(part, UNPROVED * part + MORE * self.proved.total(now) / 2 / self.able)

    def try_launch(self, s: Submission) -> bool:  # true when it need not be held any longer
        allowed, now = self.may_launch(s), self.mail.now
        seat = self.pick(s) if allowed else None
        if allowed and seat is None:
            return False
        self.unhold(s)
        if seat is None:
            if not s.out():
                self.finish(s)
            return True
        seat.credit -= seat.says.cold_since is not None
        s.flights.append(Flight(seat, now))
        seat.coming += 1
        s.retrying = False
        self.mail.commands.append(t.StartAttempt(s.name, seat.name, s.due))
        if s.whole:
            self.count_in(s.flights[-1])
        self.ask_around()
        return True

    def unhold(self, s: Submission) -> None:
        self.waiting, s.held = self.waiting - s.held, False

    # Outcomes, and what follows from them.

    def end(self, event: t.AttemptEnded) -> None:
        s = self.open.get(event.request)
        if s is None or not 0 <= event.attempt < len(s.flights) or not s.flights[event.attempt].out:
            return
        flight, now = s.flights[event.attempt], self.mail.now
        if not flight.counted:
            self.count_in(flight)  # it ended before its submission was whole
        flight.out, flight.never_ran, seat = False, event.outcome in t.NEVER_RAN, flight.seat
        s.spent = s.spent or event.last
        self.fly(seat, -1)
        gauge = self.gauge(s.workload)
        if event.outcome is t.Outcome.HANDLED:
            self.answers += 1
            self.handled += self.warmth(seat.says) == 1
            self.proved.add(now, self.warmth(seat.says) < 1)
            gauge.add(now, max(1, event.duration))
        # What we call off at the hard limit is a time-out of its endpoint, or only quick answers would tell.
        how = t.Outcome.TIMED_OUT if flight.overdue else event.outcome
        overtaken = (
            s.done
            and not flight.overdue
            or how in (t.Outcome.CALLED_OFF, t.Outcome.UNSENT, t.Outcome.REJECTED)
        )
        warm = self.warmth(seat.says) if self.allow.uneven else 1.0  # or cold ones make growth look crowded
        pace = event.duration * warm / max(1.0, gauge.uncrowded)
        if how in (t.Outcome.HANDLED, t.Outcome.TIMED_OUT):
            gain = max(0.03, 1 / (8 + self.answered.total(now) / 3))  # over about a second's, at least eight
            gauge.pace += 0.1 * (min(pace, 8.0) - gauge.pace)
            if gauge.pace > DRAGS * min(other.pace for other in self.gauges.values()):
                pace = self.crowding  # slow at all endpoints while other workloads are not: it is no load
            self.crowding += gain * (min(pace, 8.0) - self.crowding)
        self.answered.add(now, not overtaken)
        self.failed.add(now, not overtaken and how is not t.Outcome.HANDLED)
        if self.allow.uneven:
            pace = self.against_kind(
                seat, min(pace, 8.0), gauge.uncrowded * (event.outcome is t.Outcome.HANDLED)
            )
        self.mail.post(self.endpoints[seat.name], Answer(how, pace, overtaken, self.usual))
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

    def plan_retry(self, s: Submission) -> bool:
        now = self.mail.now
        hopeless = now + int(self.gauge(s.workload).uncrowded * 0.5) > s.contract_end
        spent = self.retried.total(now) + 1 >= RETRY_SHARE * self.taken.total(now)
        if s.held or hopeless or spent or not self.may_launch(s):
            return False
        # Inner tiers pass failures up, or retries would multiply: but for what never ran, and spoilt answers.
        if not self.allow.front and s.first_run() is not None and not s.spoilt:
            return False
        self.retried.add(now)
        s.retrying = True
        ceiling = min(RETRY_MAX, RETRY_BASE << len(s.flights) - 1 + s.refusals, (s.due - now) // 2)
        self.mail.alarm(now + self.chance.upto(max(0, ceiling)), self, RetryDue(s))
        return True

    def retry_due(self, event: RetryDue) -> None:
        s = event.request
        if s.retrying:
            self.hold(s)
            self.dispatch()
        if s.held:
            self.mail.alarm(max(self.patience(s), self.mail.now), self, GiveUp(s, False))

    def silent(self, event: Silent) -> None:  # second copies for what hangs there
        for s in list(self.open.values()):
            there = any(flight.out and flight.seat.name == event.name for flight in s.flights)
            if there and s.out() == 1 and not s.retrying:
                self.plan_retry(s)

    def give_up(self, event: GiveUp) -> None:
        s = event.request
        if s.done or s.streaming or not (event.final or s.held):
            return
        if event.final and self.mail.now < s.due - s.allow.margin:
            return self.mail.alarm(self.end_of(s), self, event)
        if not event.final and s.out():
            self.unhold(s)  # a copy still waits for an answer
            s.retrying = False
            return
        for flight in s.flights:
            flight.overdue = flight.out
        self.finish(s)

    def may_deny(self, s: Submission) -> bool:  # rule 2: a denial says that trying again is safe
        all_drop = (
            s.workload.repeat is t.RepeatPolicy.DEDUPLICATED and s.workload.group is t.DeduplicationScope.ALL
        )
        return all_drop or s.workload.repeat is t.RepeatPolicy.IDEMPOTENT or s.first_run() is None

    def finish(self, s: Submission) -> None:  # advice is jittered, lest the denied return as a wave
        advice = self.allow.advice // 2 + self.chance.upto(self.allow.advice // 2)
        self.mail.commands.append(
            t.RejectRequest(s.name, advice) if self.may_deny(s) else t.AbortResponse(s.name)
        )
        self.close(s)

    def close(self, s: Submission) -> None:
        if s.done:
            return
        self.unhold(s)
        s.done, s.retrying = True, False
        called_off = (number for number, flight in enumerate(s.flights) if flight.out and s.allow.cancel)
        self.mail.commands += [t.CancelAttempt(s.name, number) for number in called_off]
        if not s.out():
            self.open.pop(s.name, None)

    def withdraw(self, event: t.RequestCancelled) -> None:
        if event.request in self.open:
            self.close(self.open[event.request])

    def start(self, event: t.ResponseStarted) -> None:
        if s := self.open.get(event.request):
            s.streaming = True

    def seat(self, event: Standing) -> None:
        if event.name not in self.endpoints:
            return
        if event.name in self.seats:
            self.count(self.seats[event.name], -1)
        seat = self.seats.get(event.name)
        if seat is None:
            seat = self.seats[event.name] = Seat(event.name, event, mark=crc32(event.name.encode()))
            seat.pull, seat.used = event.entry.weight, not self.allow.few
            seat.lot = 0.0 if seat.used else -log(self.chance.draw() or 0.5) / sqrt(event.entry.weight)
        if event.cold_since is not None and (event is seat.says or event.cold_since != seat.says.cold_since):
            seat.credit, seat.credited = self.chance.draw(), self.mail.now - self.idle
        seat.says, seat.size = event, event.entry.weight if self.allow.sized else 1.0
        if event.told is not None and event.told_at == self.mail.now and seat not in self.told:
            self.told.append(seat)
        self.count(seat, 1)
        self.shelve(seat)
        if self.endpoints[event.name].entry.state is t.EndpointStatus.GONE and not (
            seat.flying or seat.coming
        ):
            del self.seats[event.name], self.endpoints[event.name]  # or memory grows with all there ever were
            self.told = deque((one for one in self.told if one is not seat), TOLD_KEPT)

    def count(self, seat: Seat, sign: int) -> None:
        if seat.counts():
            self.ready += sign
            self.flying += sign * seat.flying
            self.shares += sign * seat.says.share
            self.weight += sign * seat.size
            self.open_in[seat.says.entry.zone] = self.open_in.get(seat.says.entry.zone, 0) + sign

    def against_kind(self, seat: Seat, pace: float, uncrowded: float) -> float:
        """Guards against slow machines that stand behind the others for good, though all is well."""
        pace = max(LEAST_PACE, pace)  # an answer that took no time
        kind, far = seat.says.entry.kind, seat.says.entry.zone != self.allow.zone
        if uncrowded:
            self.kinds[kind] = 0.98 * self.kinds.get(kind, pace) + 0.02 * pace
            self.zones[far] += 0.05 * (pace - self.zones[far])
            self.unhurried += (uncrowded - self.unhurried) * (0.02 if self.unhurried else 1.0)
        return pace * sum(self.kinds.values()) / max(1, len(self.kinds)) / self.kinds.get(kind, 1.0) or pace

    def balance(self, usual: float) -> None:
        """What own traffic keeps in flight, and what part of it each endpoint gets."""
        now = self.mail.now
        self.began = now if self.began < 0 else self.began
        rate = self.came.total(now) * SECOND / min(5 * SECOND, max(SECOND, now - self.began))
        if self.allow.beside:
            self.scale = rate * (self.unhurried or 100 * MS) / SECOND / max(1, self.ready)
        wanted = self.zones[0] > max(ABROAD, self.zones[1])
        self.abroad = min(1.0, self.abroad * 1.2) if wanted else max(ABROAD_LEAST, self.abroad * 0.9)
        for seat in self.seats.values():
            says, entry = seat.says, seat.says.entry
            seat.pull = entry.weight / (1.0 if self.allow.told_speed else self.kinds.get(entry.kind, 1.0))
            seat.pull **= 0.5 if self.allow.few else 1.0  # the other root is in who is used
            seat.pull *= min(1.5, (max(0.1, usual) / max(0.1, says.pace or usual)) ** 1.5)
            if self.allow.crossing and entry.zone != self.allow.zone:
                seat.pull *= self.abroad
        if self.allow.few:
            places = ceil(2 + rate / 8)
            for seat in sorted(self.seats.values(), key=lambda seat: seat.lot):
                used = places > 0
                places -= seat.says.open
                if used != seat.used:
                    self.count(seat, -1)
                    seat.used = used
                    self.count(seat, 1)
                    self.shelve(seat)

    def keep_sweeping(self) -> None:  # an idle sidecar is woken for nothing
        if not self.sweeping:
            self.sweeping = True
            self.mail.alarm(self.mail.now + SWEEP, self, Sweep())

    def sweep(self, event: Sweep) -> None:
        """Looks over what is out, and learns the cap from all answers: those of one endpoint are few."""
        allow, self.sweeping = self.allow, False
        if self.pace_over(self.allow.crowded):
            self.cap = max(allow.cap_floor, self.cap * 0.93)
        elif not self.pace_over(self.allow.roomy):
            self.grow()
        self.turned_back, self.answers = False, 0
        self.swept += 1
        self.look_over(self.swept % 5 == 0)
        for seat in list(self.busy.values()):
            self.mail.post(self.endpoints[seat.name], self.usual)
        if self.shedding and not self.waiting:
            self.shedding = False
            self.mail.log(f"shedding ended: {self.flying} in flight, room {self.part():.1f}")
        if self.open:
            self.keep_sweeping()

    def grow(self) -> None:
        """Guards against a sidecar of many that has room for less than one launch for most of a minute: there
        the cap grows by a part of itself, as long as what is sent is answered."""
        thin = self.ready and self.part() < 1 and not self.allow.beside
        if thin and (self.answers or not self.flying):
            if self.waiting or self.turned_back:
                self.cap += max(self.allow.cap_growth, THIN_GROWTH * self.cap)
        elif self.waiting:
            self.cap = min(float(CAP_TOP), self.cap + self.allow.cap_growth)

    def look_over(self, all_: bool) -> None:  # what is usual; a look at all endpoints costs most
        now, pace, told = self.mail.now, self.usual.pace, self.usual.told
        took = int(max((g.usual for g in self.gauges.values()), default=self.usual.took))
        failed, answered = self.failed.total(now), self.answered.total(now)
        busy = [seat.says.busy for seat in self.told if seat.says.told_at > now - TOLD_AGE]
        if all_:
            says = [seat.says for seat in self.seats.values()]
            paces = sorted(one.pace for one in says if one.pace is not None)
            pace = paces[len(paces) // 2] if paces else 1.0
            reports = [one.told for one in says if one.told is not None and one.told_at > now - TOLD_AGE]
            told = sum(reports) / len(reports) if reports else 0.0
            cold = [seat for seat in self.seats.values() if seat.says.cold_since is not None]
            self.measure_warm(cold, now - self.looked)
            for seat in self.shelves[CAP_TOP]:
                self.mail.post(self.endpoints[seat.name], self.usual)
            for seat in cold:
                self.shelve(seat)  # the mean that it counts at has moved
        if all_ and self.allow.uneven:
            self.balance(pace)
        load = sum(busy) / len(busy) if busy else 1.0
        self.usual = Usual(took, self.crowding, pace, failed, answered, told, load)

    def measure_warm(self, cold: list[Seat], span: int) -> None:
        """What a warm endpoint handles: from here follows what a cold one may be sent."""
        still = [seat.size for seat in cold if seat.counts() and self.warmth(seat.says) < 1]
        warm = self.weight - sum(still)
        if self.ready > len(still) and warm > 0 and span > 0:
            gain = max(5 / self.swept, min(1.0, span / (5 * SECOND)))
            self.each += gain * (self.handled * SECOND / span / warm - self.each)
        self.handled, self.looked = 0, self.mail.now
        if cold and not self.each:
            used = [seat for seat in self.seats.values() if seat.used]
            self.size = sum([seat.size for seat in used if seat.says.entry.state is t.EndpointStatus.READY])
            self.able = sum([self.warmth(seat.says) * seat.size for seat in cold if seat.counts()])


class Endpoint(Part):
    """Judges one endpoint: its share of the cap, and whether it is ready, set aside or on trial."""

    def __init__(self, mail: Mail, desk: Desk, roster: Roster, chance: Chance, entry: t.ListEntry) -> None:
        super().__init__()
        self.mail, self.desk, self.roster, self.chance, self.entry = mail, desk, roster, chance, entry
        self.usual, self.share = Usual(), 1.0  # what is usual in the fleet; its part of the common cap
        self.told: float | None = None
        self.told_at, self.busy, self.crowded = 0, 1.0, False
        self.mode = "ready"  # ready, aside, trial
        self.flying, self.heard = 0, 0  # heard: last answer, or the first launch after having none out
        self.pace: float | None = None
        self.answers, self.broken = 0, 0  # since it was last set aside; connections broken in a row
        self.failed, self.answered = Ring(6, SECOND // 2), Ring(6, SECOND // 2)
        self.rest, self.turn, self.good_probes, self.eased, self.blip = REST, 0, 0, 0, False
        self.cold_since: int | None = None

    def tell(self) -> None:
        open_ = self.mode != "aside" and self.entry.state is t.EndpointStatus.READY
        self.mail.post(
            self.desk,
            Standing(
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
        entry, fresh = event, event.started and self.mail.now - event.started < self.desk.allow.cold_time
        fresh = fresh and (entry.started != self.entry.started or self.heard == 0)
        if fresh:  # by another machine's clock it may be to come: then it would stay cold past its time
            self.cold_since = min(entry.started, self.mail.now)
        returned, self.entry = self.entry.state is not entry.state is t.EndpointStatus.READY, entry
        if self.mode == "aside" and fresh and entry.state is t.EndpointStatus.READY:
            return self.on_trial()  # it runs, by the list: probes of all sidecars would be its whole budget
        if self.mode == "aside" and returned:
            self.schedule_probe(0)  # not to be probed so far: no need to sit out the rest
        self.tell()

    def sent(self, event: Sent) -> None:
        self.heard, self.flying = self.heard if self.flying else self.mail.now, self.flying + 1

    def answer(self, event: Answer) -> None:
        self.flying, self.usual = self.flying - 1, event.usual
        if not event.overtaken:
            self.answered.add(self.mail.now)
            self.heard = self.heard if event.how is t.Outcome.TIMED_OUT else self.mail.now
            if event.how is t.Outcome.HANDLED:
                self.handled(event.pace)
            else:
                self.failure(event.how)
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
        quiet = self.mail.now - self.heard
        self.failed.add(self.mail.now)
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
            self.told, self.told_at = load.queued + 1, self.mail.now
        self.busy = 1.0 if load.busy is None else load.busy

    def judge(self) -> None:  # from its answers, against what is usual in the fleet
        now, usual = self.mail.now, self.usual
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
            self.mail.log(f"{self.entry.endpoint} ready again: 3 answers, pace {self.pace:.1f}")

    def ease(self, how: t.Outcome) -> None:
        """Lowers its share, once per few answers; not for quick errors of all, which tell of no load."""
        load = how not in (t.Outcome.ERROR, t.Outcome.SPOILT) or self.usual.crowding > ROOMY
        if load and self.mail.now - self.eased >= SWEEP:
            self.eased, self.share = self.mail.now, max(0.1, self.share * 0.7)

    def look(self, event: Usual) -> None:  # launches are out there, or it stands behind: is that still right?
        self.usual = event
        if self.mode == "aside" or self.entry.state is t.EndpointStatus.GONE:
            return
        quiet = self.mail.now - self.heard
        if self.flying and quiet > (SILENCE + LONELY / self.flying) * event.took + SWEEP:
            self.plead(f"silent {quiet // MS} ms, usual {event.took // MS} ms", False)
        self.judge()
        self.tell()

    def plead(self, why: str, hard: bool) -> None:
        if self.mode != "aside":
            self.mail.post(self.roster, Plea(self.entry.endpoint, why, hard))

    def aside(self, event: Aside) -> None:
        if self.mode == "aside":
            return
        self.rest = min(REST_MAX, self.rest * 2) if self.mode == "trial" else REST
        self.mode, self.good_probes, self.blip = "aside", 0, self.mode == "ready" and self.broken >= 2
        self.mail.log(f"{self.entry.endpoint} set aside: {event.why}")
        if self.flying and event.why.startswith("silent"):
            self.mail.post(self.desk, Silent(self.entry.endpoint))
        rest = self.rest - self.chance.upto(self.rest // 4)
        self.schedule_probe(SECOND // 10 if self.broken >= 2 and self.desk.allow.probes else rest)
        self.tell()

    def schedule_probe(self, delay: int) -> None:
        self.turn += 1
        self.mail.alarm(self.mail.now + delay, self, ProbeDue(self.turn))

    def probe_due(self, event: ProbeDue) -> None:
        if event.turn != self.turn or self.mode != "aside" or self.entry.state is not t.EndpointStatus.READY:
            return
        if self.desk.allow.probes:
            self.mail.commands.append(t.StartProbe(self.entry.endpoint))
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
            self.schedule_probe(SECOND // 5 if good else SECOND + self.chance.upto(SECOND // 2))

    def back(self) -> None:
        """On trial: one launch at a time, counted as cold, since a probe shows only that it runs."""
        if self.blip:  # connections broke, but every probe since was answered: it never was away
            self.mode, self.broken = "ready", 0
            self.mail.log(f"{self.entry.endpoint} ready again: it was not away")
            return self.tell()
        self.on_trial()

    def on_trial(self) -> None:
        self.mode, self.answers, self.pace, self.broken = "trial", 0, None, 0
        self.failed, self.answered = Ring(6, SECOND // 2), Ring(6, SECOND // 2)
        cold = self.cold_since is not None and self.mail.now - self.cold_since < self.desk.allow.cold_time
        self.heard, self.cold_since = self.mail.now, self.cold_since if cold else self.mail.now
        self.mail.log(f"{self.entry.endpoint} on trial")
        self.tell()


class Roster(Part):  # follows the list, and grants setting aside
    def __init__(self, mail: Mail, desk: Desk, chance: Chance) -> None:
        super().__init__()
        self.mail, self.desk, self.chance, self.asks = mail, desk, chance, 0
        self.endpoints = desk.endpoints
        self.listed: dict[str, t.ListEntry] = {}
        self.out: set[str] = set()  # by hand
        self.dropped: set[str] = set()  # listed as gone, undrained: where that does not bind they serve on

    def update(self, event: t.ListReceived) -> None:
        longest, failed = self.desk.allow.ask_span, event.kind is t.ListKind.FAILED
        self.asks = self.asks + 1 if failed else 0  # overloaded, or the watch broke: later each time
        base = min(SECOND, self.desk.allow.told * ASK_APART) << min(self.asks, 4)
        span = min(longest, ASK_AGAIN, base) if failed else longest * (event.kind is t.ListKind.CACHED)
        if span:  # jittered, or spread
            self.mail.alarm(self.mail.now + failed * span // 4 + self.chance.upto(span), self, AskDue())
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
        if gone and not self.desk.allow.gone_binds and self.endpoints[name].mode != "aside":
            return self.dropped.add(name)  # the list may be wrong: believed once the endpoint fails as well
        if name not in self.endpoints:
            self.endpoints[name] = Endpoint(self.mail, self.desk, self, self.chance, entry)
        if entry.state is t.EndpointStatus.GONE:
            self.listed.pop(name, None)
        else:
            self.listed[name] = entry
        if name in self.out and entry.state is t.EndpointStatus.READY:
            entry = replace(entry, state=t.EndpointStatus.DRAINING)
        self.mail.post(self.endpoints[name], entry)

    def by_hand(self, event: t.OperatorOverride) -> None:
        """Rules 3 and 4 hold as for a drain and a start that the list told, which is followed underneath."""
        if event.out == (event.endpoint in self.out):
            return
        (self.out.add if event.out else self.out.discard)(event.endpoint)
        entry = self.listed.get(event.endpoint)
        if entry is not None:
            self.tell(entry if event.out else replace(entry, started=max(entry.started, self.mail.now)))
        self.mail.log(f"{event.endpoint} {'out' if event.out else 'back'} by hand")

    def ask(self, event: AskDue) -> None:
        self.mail.commands.append(t.StartWatch())

    def probed(self, event: t.ProbeEnded) -> None:
        if event.endpoint in self.endpoints:
            self.mail.post(self.endpoints[event.endpoint], event)

    def plea(self, event: Plea) -> None:
        """Never all at once on thin evidence: what all endpoints share is not one endpoint's fault."""
        if event.name in self.dropped:
            self.endpoints[event.name].mode = "aside"
            return self.tell(replace(self.listed[event.name], state=t.EndpointStatus.GONE))
        aside = sum(self.endpoints[name].mode == "aside" for name in self.listed)
        most = max(1, ASIDE_SHARE * len(self.listed))
        if len(self.listed) - aside > 1 and event.name in self.listed and (event.hard or aside + 1 <= most):
            self.mail.post(self.endpoints[event.name], Aside(event.why))


class Sidecar:
    """One instance: routes outside notes to the parts and keeps one wake-up pending."""

    def __init__(self, d: t.Deployment) -> None:
        self.mail, chance = Mail(), Chance(d.seed)
        self.desk = Desk(self.mail, Allowances(d), chance)
        self.roster = Roster(self.mail, self.desk, chance)
        self.armed: int | None = None

    def step(self, now: int, events: list[t.Event], ring: bool = True) -> list[t.Command]:
        """Without `ring`, alarms that are due wait for a later step. An exception over one note costs that
        note: it is raised when the rest is done, with all orders, the next wake-up too, in `mail.orders`."""
        mail = self.mail
        mail.now, mail.commands = now, []
        for event in (event for event in events if not isinstance(event, t.TimerFired)):
            mail.post(
                self.roster
                if isinstance(event, t.ListReceived | t.ProbeEnded | t.OperatorOverride)
                else self.desk,
                event,
            )
            mail.run()
        at = mail.ring() if ring else None
        if at is not None and (self.armed is None or self.armed <= now or at < self.armed or mail.defects):
            self.armed = max(now + 1, at)
            mail.commands.append(t.SetTimer(self.armed, 1))
        if mail.defects:
            first, mail.defects = mail.defects[0], []
            raise first
        return mail.commands
