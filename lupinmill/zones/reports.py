"""What each member saw of each zone's endpoints, merged: thin members add up, a lying one is bounded, and a
zone that is down is told apart from one that can't be reached from here.

Figures are sums over a member's last seconds. A member counts by at most `CLIP` times the median of those
that saw the zone, so one that claims a million launches weighs like two; and one zone of observers never
speaks for the others.

Owns the reports, one a member, given back when they are older than `AGE` or the member is gone."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from statistics import median

from lupinmill.zones.zone_map import ZoneMap

SECOND = 1_000_000
REPORT_LIFETIME = 6 * SECOND  # a report counts less and less until then
CLIP = 2.0
ENOUGH = 8.0  # launches behind a word on a zone, over all who saw it from one place
QUICK = 1.5  # pace up to which a zone may well take more than it was seen to
LIKE = 0.8  # of what an endpoint elsewhere was seen to take is believed of one that was not tried
BROKEN, BACK = 0.5, 0.2  # share of launches that failed: a zone is lost above, and well again below
SLOW, MOST_PRESSED = 3.0, 1.25  # times its uncrowded answer time: its capacity counts for as much less
MOST_FIGURE = 1e9
REPORT_WINDOW_S = 3.0  # seconds over which members count
OVER, LEAST_BRAKE = 1.25, 0.1  # beyond the part by warmth a cold endpoint's sum is cut, never below


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """Of one zone, by one member."""

    tried: float = 0.0  # launches that ended
    failed: float = 0.0  # of them without an answer: unconnected, reset, timed out, error
    refused: float = 0.0
    pace: float = 1.0  # answer time against the uncrowded one
    room: float = 0.0  # launches a second that its caps let it send there
    cold: float = 0.0  # what the endpoints there lack of warmth, in the mean
    ready: float = 0.0  # endpoints there that it holds for able to serve, ...
    listed: float = -1.0  # ... of so many that its list names; below 0: it doesn't say


@dataclass(frozen=True, slots=True)
class Report:
    member: str
    zone: str  # where the member is
    traffic: dict[str, float]  # submissions a second that came to it, by workload
    seen: dict[str, ZoneObservation]
    cold: dict[int, tuple[float, float]] = field(default_factory=dict)  # endpoint's mark: launches/s, warmth


class ZoneState(Enum):
    HEALTHY = "well"
    UNREACHABLE = "cut"  # reached from its own zone or others, not from here
    DOWN = "down"  # failing from wherever it is seen
    UNKNOWN = "unseen"  # nobody has sent there of late


@dataclass(slots=True)
class AggregateView:
    """What is held in common at a moment."""

    traffic: dict[str, dict[str, float]]  # by zone and workload, a second
    capacity: dict[str, float]  # launches a second that a zone takes, warm ones counted
    state: dict[tuple[str, str], ZoneState]  # from zone, of zone
    observers: dict[str, int] = field(default_factory=dict)

    def reaches(self, a: str, b: str) -> bool:
        return self.state.get((a, b), ZoneState.UNKNOWN) in (ZoneState.HEALTHY, ZoneState.UNKNOWN)


def sane(value: float) -> float:
    """Guards against figures that are none: they count as nothing."""
    return min(MOST_FIGURE, value) if value > 0 else 0.0


class ReportAggregator:
    def __init__(self, map_: ZoneMap, peopled: tuple[str, ...] = ()) -> None:
        self.map = map_
        self.peopled = peopled  # zones in which the roster has members
        self.reports: dict[str, tuple[int, Report]] = {}
        self.lost: set[tuple[str, str]] = set()  # (from, of) that were lost at the last look: hysteresis

    def add(self, at: int, report: Report) -> None:
        names = {zone.name for zone in self.map.zones}
        if report.zone in names:
            self.reports[report.member] = (at, report)

    def forget(self, now: int, present: set[str] | None = None) -> None:
        for name, (at, _) in list(self.reports.items()):
            if now - at >= REPORT_LIFETIME or present is not None and name not in present:
                del self.reports[name]

    def picture(self, now: int, present: set[str] | None = None) -> AggregateView:
        self.forget(now, present)
        fresh = [(1 - (now - at) / REPORT_LIFETIME, report) for at, report in self.reports.values()]
        states = self.states(fresh)
        return AggregateView(
            self.traffic(fresh),
            self.capacities(fresh, states),
            states,
            {zone.name: sum(zone.name in r.seen for _, r in fresh) for zone in self.map.zones},
        )

    def capacities(
        self, fresh: list[tuple[float, Report]], states: dict[tuple[str, str], ZoneState]
    ) -> dict[str, float]:
        """A zone that little goes to is taken for able to do, an endpoint, most of what others were seen to:
        guards against spare that nobody ever finds because nobody is sent there."""
        seen = {zone.name: self.capacity(fresh, zone.name) for zone in self.map.zones}
        ready = {zone.name: self.ready(fresh, zone.name) for zone in self.map.zones}
        found = [seen[z] / ready[z] for z in seen if ready[z] >= 1 and seen[z]]
        each = median(found) if found else 0.0
        heard = {report.zone for _, report in fresh}
        for name in seen:
            if name in self.peopled and name not in heard:
                continue
            well = states.get((name, name)) in (ZoneState.HEALTHY, ZoneState.UNKNOWN)
            if well and ready[name] >= 1 and self.pace(fresh, name) < QUICK:
                seen[name] = max(seen[name], LIKE * each * ready[name] * (1 - self.cold(fresh, name)))
        return seen

    def ready(self, fresh: list[tuple[float, Report]], zone: str) -> float:
        """The median of those that say, of those that live there if there are any; -1: nobody does."""
        told = [(r, r.seen[zone]) for _, r in fresh if zone in r.seen and r.seen[zone].listed >= 0]
        own = [(r, seen) for r, seen in told if r.zone == zone]
        return median([sane(seen.ready) for _, seen in own or told]) if told else -1.0

    def pace(self, fresh: list[tuple[float, Report]], zone: str) -> float:
        return weighted_median([(w, sane(seen.pace)) for w, _, seen in self.weights(fresh, zone)])

    def cold(self, fresh: list[tuple[float, Report]], zone: str) -> float:
        rows = [(age, min(1.0, sane(r.seen[zone].cold))) for age, r in fresh if zone in r.seen]
        return weighted_median(rows)

    def brakes(self, now: int) -> dict[int, float]:
        """By mark, what part of their launches at a cold endpoint all should go on with: those whose sum is
        beyond the mean of all endpoints times its warmth (rule 4 for the sum of all sidecars)."""
        fresh = [report for at, report in self.reports.values() if now - at < REPORT_LIFETIME]
        ready = sum(max(0.0, self.ready([(1.0, r) for r in fresh], zone.name)) for zone in self.map.zones)
        if ready < 1:
            return {}
        mean = sum(sane(seen.tried) for r in fresh for seen in r.seen.values()) / REPORT_WINDOW_S / ready
        marks = sorted({mark for report in fresh for mark in report.cold})
        found = {}
        for mark in marks:
            told = [report.cold[mark] for report in fresh if mark in report.cold]
            allowed = OVER * mean * max(0.05, min(1.0, median([sane(warmth) for _, warmth in told])))
            rates = [sane(rate) for rate, _ in told]
            most = CLIP * 5 * max(median(rates), mean / max(1, len(fresh)))
            whole = sum(min(most, rate) for rate in rates)
            if whole > allowed:
                found[mark] = max(LEAST_BRAKE, allowed / whole)
        return found

    def traffic(self, fresh: list[tuple[float, Report]]) -> dict[str, dict[str, float]]:
        """A member that falls silent takes its part with it only when its report has aged: no jump."""
        found = {z.name: {w.name: 0.0 for w in self.map.workloads} for z in self.map.zones}
        for workload in self.map.workloads:
            told = [sane(r.traffic.get(workload.name, 0.0)) for _, r in fresh]
            most = CLIP * 10 * median(told) if any(told) and median(told) > 0 else MOST_FIGURE
            for (_, report), rate in zip(fresh, told):
                found[report.zone][workload.name] += min(rate, most)
        return found

    def weights(
        self, fresh: list[tuple[float, Report]], zone: str
    ) -> list[tuple[float, Report, ZoneObservation]]:
        """Launches of each observer, aged, and clipped by the median of those in the same zone: those that
        only spill there are thinner than those that live there, and neither shall silence the other."""
        found = []
        for origin in self.map.zones:
            rows = [
                (age, report, report.seen[zone])
                for age, report in fresh
                if report.zone == origin.name and zone in report.seen and sane(report.seen[zone].tried)
            ]
            if rows:
                most = CLIP * max(1.0, median(sane(seen.tried) for _, _, seen in rows))
                found += [(age * min(most, sane(seen.tried)), report, seen) for age, report, seen in rows]
        return found

    def capacity(self, fresh: list[tuple[float, Report]], zone: str) -> float:
        """The rooms of those that send there, added, clipped by origin as above; what is slow by the
        observers' weighted median is pressed a little less."""
        rows = self.weights(fresh, zone)
        whole = 0.0
        for origin in self.map.zones:
            rooms = [sane(seen.room) for _, report, seen in rows if report.zone == origin.name]
            rooms = [room for room in rooms if room]
            if rooms:
                most = 2 * CLIP * median(rooms)
                whole += sum(min(most, room) for room in rooms)
        pace = weighted_median([(weight, sane(seen.pace)) for weight, _, seen in rows])
        return whole / min(MOST_PRESSED, max(1.0, pace / SLOW))

    def states(self, fresh: list[tuple[float, Report]]) -> dict[tuple[str, str], ZoneState]:
        found: dict[tuple[str, str], ZoneState] = {}
        heard = {report.zone for _, report in fresh}
        for zone in self.map.zones:
            rows = self.weights(fresh, zone.name)
            shares: dict[str, float] = {}  # of failures, by the observers' zone
            for origin in self.map.zones:
                own = [(w, s) for w, report, s in rows if report.zone == origin.name]
                tried = sum(w for w, _ in own)
                held = self.ready([one for one in fresh if one[1].zone == origin.name], zone.name)
                if held == 0:
                    shares[origin.name] = 1.0  # most of them have nobody there to send to
                elif tried >= ENOUGH:
                    shares[origin.name] = sum(w * min(1.0, sane(s.failed) / s.tried) for w, s in own) / tried
                elif held > 0 and origin.name == zone.name:
                    shares[origin.name] = 0.0  # endpoints that it holds for able, untried: worth a trial
            bad = {origin for origin, share in shares.items() if self.is_lost(origin, zone.name, share)}
            for origin in self.map.zones:
                pair = (origin.name, zone.name)
                # Only who lives there, or nobody could, tells a zone that is down from one that is cut off: a
                # whole side of a partition sees all of the other fail.
                inside = zone.name in shares or zone.name not in self.peopled
                all_bad = inside and bool(shares) and len(bad) == len(shares)
                if origin.name not in shares:
                    # Nobody here has tried: what all that did say is better than nothing. Of a zone whose own
                    # members are not heard nothing is known: it is not for spill to find out.
                    unheard = zone.name in self.peopled and zone.name not in heard and origin is not zone
                    found[pair] = (
                        ZoneState.DOWN if all_bad else ZoneState.UNREACHABLE if unheard else ZoneState.UNKNOWN
                    )
                elif origin.name in bad:
                    found[pair] = ZoneState.DOWN if all_bad else ZoneState.UNREACHABLE
                else:
                    found[pair] = ZoneState.HEALTHY
            self.lost -= {(origin, zone.name) for origin in shares}
            self.lost |= {(origin, zone.name) for origin in bad}
        return found

    def is_lost(self, origin: str, zone: str, share: float) -> bool:
        return share > (BACK if (origin, zone) in self.lost else BROKEN)


def weighted_median(rows: list[tuple[float, float]]) -> float:
    """The weighted median of (weight, value): half of the weight on either side."""
    rows = sorted(rows, key=lambda row: row[1])
    half, below = sum(weight for weight, _ in rows) / 2, 0.0
    for weight, value in rows:
        below += weight
        if below >= half:
            return value
    return 0.0
