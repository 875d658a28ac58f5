"""Merges the members' reports on each zone's endpoints: members with little traffic add up, the influence of
one that reports false figures is bounded, and a zone that is down is distinguished from one that cannot be
reached from here.

Figures are sums over a member's last seconds. A member counts for at most `CLIP_FACTOR` times the median of
those that observed the zone, so one that claims a million attempts weighs as much as two. The observers in
one zone never outvote those in another.

Owns the reports, one per member, removed when they are older than `REPORT_LIFETIME` or the member is gone."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from statistics import median

from lupinmill.zones.zone_map import ZoneMap

SECOND = 1_000_000
REPORT_LIFETIME = 6 * SECOND  # the weight of a report falls to 0 by then
CLIP_FACTOR = 2.0
MIN_ATTEMPTS = 8.0  # for a verdict on a zone, summed over all who observe it from one zone
MAX_QUICK_SLOWDOWN = 1.5  # below it a zone may be able to take more than it was observed to
UNTRIED_CAPACITY_FACTOR = 0.8  # an untried endpoint counts as this share of what those elsewhere take
# Share of failed attempts: a zone is lost above the first, and healthy again below the second.
LOST_FAILURE_SHARE, RECOVERED_FAILURE_SHARE = 0.5, 0.2
# A zone slower than this many times its uncrowded answer time counts for less, at most divided by the second.
SLOW_FACTOR, MAX_SLOW_DIVISOR = 3.0, 1.25
MAX_FIGURE = 1e9
REPORT_WINDOW_S = 3.0  # over which members count
# A cold endpoint's total rate is reduced beyond this multiple of its share by warmth, but never below the
# second.
COLD_OVERLOAD_FACTOR, MIN_BRAKE = 1.25, 0.1


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """What one member observed of one zone."""

    attempts: float = 0.0  # that ended
    failed: float = 0.0  # of them without an answer: unconnected, reset, timed out, error
    refused: float = 0.0
    slowdown: float = 1.0  # answer time relative to the uncrowded one
    capacity: float = 0.0  # attempts per second that the member's caps let it send there
    cold: float = 0.0  # mean lack of warmth of the endpoints there
    ready: float = 0.0  # endpoints there that the member considers able to serve
    listed: float = -1.0  # endpoints there that its list names; negative: not reported


@dataclass(frozen=True, slots=True)
class Report:
    member: str
    zone: str  # of the member
    traffic: dict[str, float]  # requests per second that the member received, by workload
    observations: dict[str, ZoneObservation]
    # By endpoint hash: attempts per second and warmth.
    cold: dict[int, tuple[float, float]] = field(default_factory=dict)


class ZoneState(Enum):
    HEALTHY = "well"
    UNREACHABLE = "cut"  # reached from its own zone or others, not from here
    DOWN = "down"  # failing from wherever it is observed
    UNKNOWN = "unseen"  # nobody has sent anything there recently


@dataclass(slots=True)
class AggregateView:
    """The merged reports at one moment."""

    traffic: dict[str, dict[str, float]]  # requests per second, by zone and workload
    capacity: dict[str, float]  # attempts per second that a zone takes, with regard to warmth
    state: dict[tuple[str, str], ZoneState]  # by observing zone and observed zone
    observers: dict[str, int] = field(default_factory=dict)

    def reaches(self, origin: str, target: str) -> bool:
        return self.state.get((origin, target), ZoneState.UNKNOWN) in (ZoneState.HEALTHY, ZoneState.UNKNOWN)


def sanitize(value: float) -> float:
    """Guards against figures that are negative, NaN or infinite: they count as nothing or are capped."""
    return min(MAX_FIGURE, value) if value > 0 else 0.0


class ReportAggregator:
    def __init__(self, map_: ZoneMap, member_zones: tuple[str, ...] = ()) -> None:
        self.map = map_
        self.member_zones = member_zones  # zones in which the member list has members
        self.reports: dict[str, tuple[int, Report]] = {}
        # Pairs of observing and observed zone that were lost at the last aggregation, for the hysteresis.
        self.lost: set[tuple[str, str]] = set()

    def add(self, at: int, report: Report) -> None:
        names = {zone.name for zone in self.map.zones}
        if report.zone in names:
            self.reports[report.member] = (at, report)

    def expire(self, now: int, present: set[str] | None = None) -> None:
        for name, (at, _) in list(self.reports.items()):
            if now - at >= REPORT_LIFETIME or present is not None and name not in present:
                del self.reports[name]

    def aggregate(self, now: int, present: set[str] | None = None) -> AggregateView:
        self.expire(now, present)
        fresh = [(1 - (now - at) / REPORT_LIFETIME, report) for at, report in self.reports.values()]
        states = self.states(fresh)
        return AggregateView(
            self.traffic(fresh),
            self.capacities(fresh, states),
            states,
            {zone.name: sum(zone.name in r.observations for _, r in fresh) for zone in self.map.zones},
        )

    def capacities(
        self, fresh: list[tuple[float, Report]], states: dict[tuple[str, str], ZoneState]
    ) -> dict[str, float]:
        """A zone with little traffic is assumed to take, per endpoint, most of what others were observed to
        take. Otherwise spare capacity would never be found, because nothing is sent there."""
        observed = {zone.name: self.observed_capacity(fresh, zone.name) for zone in self.map.zones}
        ready = {zone.name: self.ready(fresh, zone.name) for zone in self.map.zones}
        found = [observed[z] / ready[z] for z in observed if ready[z] >= 1 and observed[z]]
        per_endpoint = median(found) if found else 0.0
        reporting = {report.zone for _, report in fresh}
        for name in observed:
            if name in self.member_zones and name not in reporting:
                continue
            healthy = states.get((name, name)) in (ZoneState.HEALTHY, ZoneState.UNKNOWN)
            if healthy and ready[name] >= 1 and self.slowdown(fresh, name) < MAX_QUICK_SLOWDOWN:
                observed[name] = max(
                    observed[name],
                    UNTRIED_CAPACITY_FACTOR * per_endpoint * ready[name] * (1 - self.cold(fresh, name)),
                )
        return observed

    def ready(self, fresh: list[tuple[float, Report]], zone: str) -> float:
        """Ready endpoints: the median over the members of the zone itself if any report it, else over all
        that do; -1 if none does."""
        reported = [
            (r, r.observations[zone])
            for _, r in fresh
            if zone in r.observations and r.observations[zone].listed >= 0
        ]
        own = [(r, observation) for r, observation in reported if r.zone == zone]
        return (
            median([sanitize(observation.ready) for _, observation in own or reported]) if reported else -1.0
        )

    def slowdown(self, fresh: list[tuple[float, Report]], zone: str) -> float:
        return weighted_median(
            [
                (w, sanitize(observation.slowdown))
                for w, _, observation in self.weighted_observations(fresh, zone)
            ]
        )

    def cold(self, fresh: list[tuple[float, Report]], zone: str) -> float:
        rows = [
            (age, min(1.0, sanitize(r.observations[zone].cold))) for age, r in fresh if zone in r.observations
        ]
        return weighted_median(rows)

    def brakes(self, now: int) -> dict[int, float]:
        """By endpoint hash, the share of their attempts at a cold endpoint that all members should continue
        with. Contains the endpoints whose total rate exceeds the mean of all endpoints times their warmth
        (rule 4, applied to the sum of all sidecars)."""
        fresh = [report for at, report in self.reports.values() if now - at < REPORT_LIFETIME]
        ready = sum(max(0.0, self.ready([(1.0, r) for r in fresh], zone.name)) for zone in self.map.zones)
        if ready < 1:
            return {}
        mean = (
            sum(sanitize(observation.attempts) for r in fresh for observation in r.observations.values())
            / REPORT_WINDOW_S
            / ready
        )
        endpoints = sorted({endpoint for report in fresh for endpoint in report.cold})
        found = {}
        for endpoint in endpoints:
            reported = [report.cold[endpoint] for report in fresh if endpoint in report.cold]
            allowed = (
                COLD_OVERLOAD_FACTOR
                * mean
                * max(0.05, min(1.0, median([sanitize(warmth) for _, warmth in reported])))
            )
            rates = [sanitize(rate) for rate, _ in reported]
            limit = CLIP_FACTOR * 5 * max(median(rates), mean / max(1, len(fresh)))
            total = sum(min(limit, rate) for rate in rates)
            if total > allowed:
                found[endpoint] = max(MIN_BRAKE, allowed / total)
        return found

    def traffic(self, fresh: list[tuple[float, Report]]) -> dict[str, dict[str, float]]:
        """Reports count in full here until they expire: a member that falls silent causes no drop before."""
        found = {z.name: {w.name: 0.0 for w in self.map.workloads} for z in self.map.zones}
        for workload in self.map.workloads:
            reported = [sanitize(r.traffic.get(workload.name, 0.0)) for _, r in fresh]
            limit = (
                CLIP_FACTOR * 10 * median(reported) if any(reported) and median(reported) > 0 else MAX_FIGURE
            )
            for (_, report), rate in zip(fresh, reported):
                found[report.zone][workload.name] += min(rate, limit)
        return found

    def weighted_observations(
        self, fresh: list[tuple[float, Report]], zone: str
    ) -> list[tuple[float, Report, ZoneObservation]]:
        """Each observer's attempts, reduced by the report's age and clipped by the median of the observers in
        the same zone: those that only spill there make fewer attempts than the members of the zone itself,
        and neither may silence the other."""
        found = []
        for origin in self.map.zones:
            rows = [
                (age, report, report.observations[zone])
                for age, report in fresh
                if report.zone == origin.name
                and zone in report.observations
                and sanitize(report.observations[zone].attempts)
            ]
            if rows:
                limit = CLIP_FACTOR * max(
                    1.0, median(sanitize(observation.attempts) for _, _, observation in rows)
                )
                found += [
                    (age * min(limit, sanitize(observation.attempts)), report, observation)
                    for age, report, observation in rows
                ]
        return found

    def observed_capacity(self, fresh: list[tuple[float, Report]], zone: str) -> float:
        """The sum of the capacities that the members sending there report, clipped by their zone as above,
        and reduced a little where the observers' weighted median says that the zone is slow."""
        rows = self.weighted_observations(fresh, zone)
        total = 0.0
        for origin in self.map.zones:
            capacities = [
                sanitize(observation.capacity)
                for _, report, observation in rows
                if report.zone == origin.name
            ]
            capacities = [capacity for capacity in capacities if capacity]
            if capacities:
                limit = 2 * CLIP_FACTOR * median(capacities)
                total += sum(min(limit, capacity) for capacity in capacities)
        slowdown = weighted_median(
            [(weight, sanitize(observation.slowdown)) for weight, _, observation in rows]
        )
        return total / min(MAX_SLOW_DIVISOR, max(1.0, slowdown / SLOW_FACTOR))

    def states(self, fresh: list[tuple[float, Report]]) -> dict[tuple[str, str], ZoneState]:
        found: dict[tuple[str, str], ZoneState] = {}
        reporting = {report.zone for _, report in fresh}
        for zone in self.map.zones:
            rows = self.weighted_observations(fresh, zone.name)
            failure_shares: dict[str, float] = {}  # by the observers' zone
            for origin in self.map.zones:
                own = [(w, s) for w, report, s in rows if report.zone == origin.name]
                attempts = sum(w for w, _ in own)
                ready = self.ready([one for one in fresh if one[1].zone == origin.name], zone.name)
                if ready == 0:
                    failure_shares[origin.name] = 1.0  # most of them have no endpoint there to send to
                elif attempts >= MIN_ATTEMPTS:
                    failure_shares[origin.name] = (
                        sum(w * min(1.0, sanitize(s.failed) / s.attempts) for w, s in own) / attempts
                    )
                elif ready > 0 and origin.name == zone.name:
                    failure_shares[origin.name] = 0.0  # ready endpoints that are untried: worth a trial
            bad = {
                origin for origin, share in failure_shares.items() if self.is_lost(origin, zone.name, share)
            }
            for origin in self.map.zones:
                pair = (origin.name, zone.name)
                # Only the members of the zone itself can tell that it is down rather than unreachable, unless
                # it has none: each side of a partition sees all of the other side fail.
                from_inside = zone.name in failure_shares or zone.name not in self.member_zones
                all_bad = from_inside and bool(failure_shares) and len(bad) == len(failure_shares)
                if origin.name not in failure_shares:
                    # Nobody in this zone has tried, so the verdict of those that have is used. Nothing is
                    # known of a zone whose own members do not report, and spill must not be used to find out.
                    silent = (
                        zone.name in self.member_zones and zone.name not in reporting and origin is not zone
                    )
                    found[pair] = (
                        ZoneState.DOWN if all_bad else ZoneState.UNREACHABLE if silent else ZoneState.UNKNOWN
                    )
                elif origin.name in bad:
                    found[pair] = ZoneState.DOWN if all_bad else ZoneState.UNREACHABLE
                else:
                    found[pair] = ZoneState.HEALTHY
            self.lost -= {(origin, zone.name) for origin in failure_shares}
            self.lost |= {(origin, zone.name) for origin in bad}
        return found

    def is_lost(self, origin: str, zone: str, failure_share: float) -> bool:
        return failure_share > (
            RECOVERED_FAILURE_SHARE if (origin, zone) in self.lost else LOST_FAILURE_SHARE
        )


def weighted_median(rows: list[tuple[float, float]]) -> float:
    """Of pairs of weight and value: half of the weight lies on either side."""
    rows = sorted(rows, key=lambda row: row[1])
    half, below = sum(weight for weight, _ in rows) / 2, 0.0
    for weight, value in rows:
        below += weight
        if below >= half:
            return value
    return 0.0
