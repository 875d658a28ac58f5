"""What one sidecar's own launches saw of each zone over the last seconds. Pure: it looks at the notes that
the decision module gets and at the orders that come back, and asks the module for nothing that it does not
hold.

Owns rings of sums, a fixed number a zone and workload, and one ring a cold endpoint that it launches at,
given back with the endpoint's warmth or the endpoint."""

from __future__ import annotations

from lupinmill import terms as t
from lupinmill.rules import Sidecar
from lupinmill.workings import Ring
from lupinmill.zones.messages import MAX_COLD_ENDPOINTS, endpoint_hash
from lupinmill.zones.reports import REPORT_WINDOW_S, SECOND, Report, ZoneObservation
from lupinmill.zones.zone_map import ZoneMap

BUCKETS, WIDTH = 6, int(REPORT_WINDOW_S * SECOND) // 6
SHORT = 0.02  # part of own traffic that was denied: a zone that denies has little more room than it used
MOST_SHORT = 1.05
FAILED = (t.How.ERROR, t.How.SPOILT, t.How.TIMED_OUT, t.How.UNCONNECTED, t.How.RESET)


def attach_monitor(sidecar: Sidecar, tally: TrafficMonitor) -> None:
    """Puts the tally around the module's step."""
    step = sidecar.step

    def watched(now: int, notes: list[t.Note], ring: bool = True) -> list[t.Order]:
        for note in notes:
            tally.before(now, note, sidecar)
        orders = step(now, notes, ring)
        tally.after(now, orders, sidecar)
        return orders

    sidecar.step = watched  # type: ignore[method-assign]


class Counts:
    def __init__(self) -> None:
        self.tried, self.failed, self.refused = (
            Ring(BUCKETS, WIDTH),
            Ring(BUCKETS, WIDTH),
            Ring(BUCKETS, WIDTH),
        )
        self.handled, self.paces = Ring(BUCKETS, WIDTH), Ring(BUCKETS, WIDTH)


class TrafficMonitor:
    def __init__(self, map_: ZoneMap, home: str, now: int) -> None:
        self.map, self.home, self.began = map_, home, now
        self.zones = {zone.name: Counts() for zone in map_.zones}
        self.came = {w.name: Ring(BUCKETS, WIDTH) for w in map_.workloads}
        self.all, self.denied = Ring(BUCKETS, WIDTH), Ring(BUCKETS, WIDTH)
        self.cold: dict[str, Ring] = {}
        self.crossed = {
            w.name: [0, 0] for w in map_.workloads
        }  # first launches beyond the zone, and all, so far

    # What passes.

    def before(self, now: int, note: t.Note, sidecar: Sidecar) -> None:
        """A note on its way to the module."""
        if isinstance(note, t.Arrived):
            self.all.add(now)
            ring = self.came.get(note.workload)
            if ring is not None:
                ring.add(now)
        elif isinstance(note, t.Ended):
            s = sidecar.desk.open.get(note.submission)
            if s is None or note.launch >= len(s.flights) or not s.flights[note.launch].out:
                return
            counts = self.zones.get(s.flights[note.launch].seat.says.entry.zone)
            if counts is not None:
                gauge = sidecar.desk.gauges.get(s.workload.name)
                self.ended(now, counts, note, gauge.uncrowded if gauge is not None else 0.0)

    def ended(self, now: int, counts: Counts, note: t.Ended, uncrowded: float) -> None:
        if note.how is t.How.HANDLED:
            counts.tried.add(now)
            counts.handled.add(now)
            counts.paces.add(now, min(8.0, note.took / uncrowded) if uncrowded > 0 else 1.0)
        elif note.how in FAILED:
            counts.tried.add(now)
            counts.failed.add(now)
        elif note.how is t.How.REFUSED:
            counts.tried.add(now)
            counts.refused.add(now)

    def after(self, now: int, orders: list[t.Order], sidecar: Sidecar) -> None:
        """The module's answer."""
        for order in orders:
            if isinstance(order, t.Launch):
                seat, s = sidecar.desk.seats.get(order.endpoint), sidecar.desk.open.get(order.submission)
                if seat is None or s is None:
                    continue
                counts = self.crossed.get(s.workload.name)
                if counts is not None and len(s.flights) == 1:
                    counts[0] += seat.says.entry.zone != self.home
                    counts[1] += 1
                if seat.says.cold_since is not None and len(self.cold) < MAX_COLD_ENDPOINTS:
                    self.cold.setdefault(order.endpoint, Ring(BUCKETS, WIDTH)).add(now)
            elif isinstance(order, t.Deny):
                self.denied.add(now)

    # What it tells.

    def report(self, now: int, name: str, sidecar: Sidecar) -> Report:
        desk = sidecar.desk
        span = min(REPORT_WINDOW_S, max(0.5, (now - self.began) / SECOND))
        came, denied = self.all.total(now), self.denied.total(now)
        short = denied > SHORT * max(1.0, came)
        listed, cold = self.listed_by_zone(sidecar), {}
        for seat in desk.seats.values():
            if seat.counts() and seat.says.cold_since is not None:
                zone = seat.says.entry.zone
                cold[zone] = cold.get(zone, 0.0) + 1 - desk.warmth(seat.says)
        seen = {}
        for zone, counts in self.zones.items():
            handled = counts.handled.total(now)
            pace = counts.paces.total(now) / handled if handled else 1.0
            ready = max(0, desk.open_in.get(zone, 0))
            share = cold.get(zone, 0) / ready if ready else 0.0
            seen[zone] = ZoneObservation(
                counts.tried.total(now),
                counts.failed.total(now),
                counts.refused.total(now),
                pace,
                handled / span * self.more(pace, short and zone == self.home, share),
                share,
                float(ready),
                float(listed.get(zone, 0)),
            )
        return Report(
            name,
            self.home,
            {workload: ring.total(now) / span for workload, ring in self.came.items()},
            seen,
            self.cold_ones(now, span, sidecar),
        )

    def listed_by_zone(self, sidecar: Sidecar) -> dict[str, int]:
        """Endpoints that the list names as ready, by zone."""
        found: dict[str, int] = {}
        for entry in sidecar.roster.listed.values():
            if entry.state is t.State.READY:
                found[entry.zone] = found.get(entry.zone, 0) + 1
        return found

    def more(self, pace: float, short: bool, cold: float) -> float:
        """How many times as much as it was seen to do a zone may do. The uncrowded answers that the pace is
        measured against are taken to have come at half load, where servers that share a core among what they
        hold take twice the work's time: so the share in use is 1 - 1/(2 pace). Cold ones are not counted on
        for more, nor a zone that has to deny."""
        if short:
            return MOST_SHORT
        return 1.0 + (1 - cold) * (1 / (1 - 1 / (2 * max(1.0, pace))) - 1)

    def cold_ones(self, now: int, span: float, sidecar: Sidecar) -> dict[int, tuple[float, float]]:
        found = {}
        for name in list(self.cold):
            seat = sidecar.desk.seats.get(name)
            rate = self.cold[name].total(now) / span
            if seat is None or not rate or sidecar.desk.warmth(seat.says) >= 1:
                del self.cold[name]
            else:
                found[endpoint_hash(name)] = (rate, sidecar.desk.warmth(seat.says))
        return found
