"""What one sidecar's own launches saw of each zone over the last seconds. Pure: it looks at the notes that
the decision module gets and at the orders that come back, and asks the module for nothing that it does not
hold.

Owns rings of sums, a fixed number a zone and workload, and one ring a cold endpoint that it launches at,
given back with the endpoint's warmth or the endpoint."""

from __future__ import annotations

from lupinmill import terms as t
from lupinmill.rules import Sidecar
from lupinmill.workings import BucketedSum
from lupinmill.zones.evidence import SECOND, SPAN, Report, Seen
from lupinmill.zones.map import Map
from lupinmill.zones.words import MOST_COLD, mark_of

BUCKETS, WIDTH = 6, int(SPAN * SECOND) // 6
SHORT = 0.02  # part of own traffic that was denied: a zone that denies has little more room than it used
MOST_SHORT = 1.05
FAILED = (t.Outcome.ERROR, t.Outcome.SPOILT, t.Outcome.TIMED_OUT, t.Outcome.UNCONNECTED, t.Outcome.RESET)


def watch(sidecar: Sidecar, tally: Tally) -> None:
    """Puts the tally around the module's step."""
    step = sidecar.step

    def watched(now: int, events: list[t.Event], ring: bool = True) -> list[t.Command]:
        for event in events:
            tally.before(now, event, sidecar)
        commands = step(now, events, ring)
        tally.after(now, commands, sidecar)
        return commands

    sidecar.step = watched  # type: ignore[method-assign]


class Counts:
    def __init__(self) -> None:
        self.tried, self.failed, self.refused = (
            BucketedSum(BUCKETS, WIDTH),
            BucketedSum(BUCKETS, WIDTH),
            BucketedSum(BUCKETS, WIDTH),
        )
        self.handled, self.paces = BucketedSum(BUCKETS, WIDTH), BucketedSum(BUCKETS, WIDTH)


class Tally:
    def __init__(self, map_: Map, home: str, now: int) -> None:
        self.map, self.home, self.began = map_, home, now
        self.zones = {zone.name: Counts() for zone in map_.zones}
        self.came = {w.name: BucketedSum(BUCKETS, WIDTH) for w in map_.workloads}
        self.all, self.denied = BucketedSum(BUCKETS, WIDTH), BucketedSum(BUCKETS, WIDTH)
        self.cold: dict[str, BucketedSum] = {}
        self.crossed = {
            w.name: [0, 0] for w in map_.workloads
        }  # first launches beyond the zone, and all, so far

    # What passes.

    def before(self, now: int, event: t.Event, sidecar: Sidecar) -> None:
        """A note on its way to the module."""
        if isinstance(event, t.RequestArrived):
            self.all.add(now)
            ring = self.came.get(event.workload)
            if ring is not None:
                ring.add(now)
        elif isinstance(event, t.AttemptEnded):
            s = sidecar.dispatcher.open.get(event.request)
            if s is None or event.attempt >= len(s.attempts) or not s.attempts[event.attempt].out:
                return
            counts = self.zones.get(s.attempts[event.attempt].endpoint_state.report.entry.zone)
            if counts is not None:
                gauge = sidecar.dispatcher.gauges.get(s.workload.name)
                self.ended(now, counts, event, gauge.uncrowded if gauge is not None else 0.0)

    def ended(self, now: int, counts: Counts, event: t.AttemptEnded, uncrowded: float) -> None:
        if event.outcome is t.Outcome.HANDLED:
            counts.tried.add(now)
            counts.handled.add(now)
            counts.paces.add(now, min(8.0, event.duration / uncrowded) if uncrowded > 0 else 1.0)
        elif event.outcome in FAILED:
            counts.tried.add(now)
            counts.failed.add(now)
        elif event.outcome is t.Outcome.REFUSED:
            counts.tried.add(now)
            counts.refused.add(now)

    def after(self, now: int, commands: list[t.Command], sidecar: Sidecar) -> None:
        """The module's answer."""
        for command in commands:
            if isinstance(command, t.StartAttempt):
                seat, s = (
                    sidecar.dispatcher.endpoint_states.get(command.endpoint),
                    sidecar.dispatcher.open.get(command.request),
                )
                if seat is None or s is None:
                    continue
                counts = self.crossed.get(s.workload.name)
                if counts is not None and len(s.attempts) == 1:
                    counts[0] += seat.report.entry.zone != self.home
                    counts[1] += 1
                if seat.report.cold_since is not None and len(self.cold) < MOST_COLD:
                    self.cold.setdefault(command.endpoint, BucketedSum(BUCKETS, WIDTH)).add(now)
            elif isinstance(command, t.RejectRequest):
                self.denied.add(now)

    # What it tells.

    def report(self, now: int, name: str, sidecar: Sidecar) -> Report:
        dispatcher = sidecar.dispatcher
        span = min(SPAN, max(0.5, (now - self.began) / SECOND))
        came, denied = self.all.total(now), self.denied.total(now)
        short = denied > SHORT * max(1.0, came)
        listed, cold = self.listed(sidecar), {}
        for seat in dispatcher.endpoint_states.values():
            if seat.counts() and seat.report.cold_since is not None:
                zone = seat.report.entry.zone
                cold[zone] = cold.get(zone, 0.0) + 1 - dispatcher.warmth(seat.report)
        seen = {}
        for zone, counts in self.zones.items():
            handled = counts.handled.total(now)
            pace = counts.paces.total(now) / handled if handled else 1.0
            ready = max(0, dispatcher.open_in.get(zone, 0))
            share = cold.get(zone, 0) / ready if ready else 0.0
            seen[zone] = Seen(
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

    def listed(self, sidecar: Sidecar) -> dict[str, int]:
        """Endpoints that the list names as ready, by zone."""
        found: dict[str, int] = {}
        for entry in sidecar.registry.listed.values():
            if entry.state is t.EndpointStatus.READY:
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
            seat = sidecar.dispatcher.endpoint_states.get(name)
            rate = self.cold[name].total(now) / span
            if seat is None or not rate or sidecar.dispatcher.warmth(seat.report) >= 1:
                del self.cold[name]
            else:
                found[mark_of(name)] = (rate, sidecar.dispatcher.warmth(seat.report))
        return found
