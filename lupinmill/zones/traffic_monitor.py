"""What one sidecar's own attempts observed of each zone over the last seconds. Pure: it watches the events
that the decision module gets and the commands that it returns, and reads nothing but the module's state.

Owns ring buffers of sums: a fixed number per zone and workload, and one per cold endpoint that it sends
attempts to, removed once the endpoint is warm or gone."""

from __future__ import annotations

from lupinmill import terms as t
from lupinmill.rules import Sidecar
from lupinmill.workings import BucketedSum
from lupinmill.zones.messages import MAX_COLD_ENDPOINTS, endpoint_hash
from lupinmill.zones.reports import REPORT_WINDOW_S, SECOND, Report, ZoneObservation
from lupinmill.zones.zone_map import ZoneMap

BUCKETS, BUCKET_WIDTH = 6, int(REPORT_WINDOW_S * SECOND) // 6
# Share of the own requests that were denied, above which a zone has little more capacity than it used.
MAX_DENIED_SHARE = 0.02
MAX_DENYING_HEADROOM = 1.05
FAILED = (t.Outcome.ERROR, t.Outcome.SPOILT, t.Outcome.TIMED_OUT, t.Outcome.UNCONNECTED, t.Outcome.RESET)


def attach_monitor(sidecar: Sidecar, monitor: TrafficMonitor) -> None:
    """Wraps the decision module's `step`."""
    step = sidecar.step

    def monitored(now: int, events: list[t.Event], fire_timers: bool = True) -> list[t.Command]:
        for event in events:
            monitor.before_step(now, event, sidecar)
        commands = step(now, events, fire_timers)
        monitor.after_step(now, commands, sidecar)
        return commands

    sidecar.step = monitored  # type: ignore[method-assign]


class ZoneCounters:
    def __init__(self) -> None:
        self.attempts, self.failed, self.refused = (
            BucketedSum(BUCKETS, BUCKET_WIDTH),
            BucketedSum(BUCKETS, BUCKET_WIDTH),
            BucketedSum(BUCKETS, BUCKET_WIDTH),
        )
        self.handled, self.slowdowns = BucketedSum(BUCKETS, BUCKET_WIDTH), BucketedSum(BUCKETS, BUCKET_WIDTH)


class TrafficMonitor:
    def __init__(self, map_: ZoneMap, home: str, now: int) -> None:
        self.map, self.home, self.started_at = map_, home, now
        self.zones = {zone.name: ZoneCounters() for zone in map_.zones}
        self.arrived = {w.name: BucketedSum(BUCKETS, BUCKET_WIDTH) for w in map_.workloads}
        self.all_arrived, self.denied = BucketedSum(BUCKETS, BUCKET_WIDTH), BucketedSum(BUCKETS, BUCKET_WIDTH)
        self.cold: dict[str, BucketedSum] = {}
        # By workload, since the start: first attempts that left the zone, and all first attempts.
        self.crossed = {w.name: [0, 0] for w in map_.workloads}

    # Around each step of the decision module.

    def before_step(self, now: int, event: t.Event, sidecar: Sidecar) -> None:
        if isinstance(event, t.RequestArrived):
            self.all_arrived.add(now)
            ring = self.arrived.get(event.workload)
            if ring is not None:
                ring.add(now)
        elif isinstance(event, t.AttemptEnded):
            request = sidecar.dispatcher.requests.get(event.request)
            if (
                request is None
                or event.attempt >= len(request.attempts)
                or not request.attempts[event.attempt].pending
            ):
                return
            counters = self.zones.get(request.attempts[event.attempt].endpoint_state.report.entry.zone)
            if counters is not None:
                gauge = sidecar.dispatcher.latency_estimates.get(request.workload.name)
                self.attempt_ended(now, counters, event, gauge.uncrowded if gauge is not None else 0.0)

    def attempt_ended(
        self, now: int, counters: ZoneCounters, event: t.AttemptEnded, uncrowded: float
    ) -> None:
        if event.outcome is t.Outcome.HANDLED:
            counters.attempts.add(now)
            counters.handled.add(now)
            counters.slowdowns.add(now, min(8.0, event.duration / uncrowded) if uncrowded > 0 else 1.0)
        elif event.outcome in FAILED:
            counters.attempts.add(now)
            counters.failed.add(now)
        elif event.outcome is t.Outcome.REFUSED:
            counters.attempts.add(now)
            counters.refused.add(now)

    def after_step(self, now: int, commands: list[t.Command], sidecar: Sidecar) -> None:
        for command in commands:
            if isinstance(command, t.StartAttempt):
                endpoint, request = (
                    sidecar.dispatcher.endpoint_states.get(command.endpoint),
                    sidecar.dispatcher.requests.get(command.request),
                )
                if endpoint is None or request is None:
                    continue
                counts = self.crossed.get(request.workload.name)
                if counts is not None and len(request.attempts) == 1:
                    counts[0] += endpoint.report.entry.zone != self.home
                    counts[1] += 1
                if endpoint.report.cold_since is not None and len(self.cold) < MAX_COLD_ENDPOINTS:
                    self.cold.setdefault(command.endpoint, BucketedSum(BUCKETS, BUCKET_WIDTH)).add(now)
            elif isinstance(command, t.RejectRequest):
                self.denied.add(now)

    # The report.

    def report(self, now: int, name: str, sidecar: Sidecar) -> Report:
        dispatcher = sidecar.dispatcher
        span = min(REPORT_WINDOW_S, max(0.5, (now - self.started_at) / SECOND))
        arrived, denied = self.all_arrived.total(now), self.denied.total(now)
        denying = denied > MAX_DENIED_SHARE * max(1.0, arrived)
        listed, cold = self.listed_by_zone(sidecar), {}
        for endpoint in dispatcher.endpoint_states.values():
            if endpoint.is_available() and endpoint.report.cold_since is not None:
                zone = endpoint.report.entry.zone
                cold[zone] = cold.get(zone, 0.0) + 1 - dispatcher.warmth(endpoint.report)
        observations = {}
        for zone, counters in self.zones.items():
            handled = counters.handled.total(now)
            slowdown = counters.slowdowns.total(now) / handled if handled else 1.0
            ready = max(0, dispatcher.ready_by_zone.get(zone, 0))
            cold_share = cold.get(zone, 0) / ready if ready else 0.0
            observations[zone] = ZoneObservation(
                counters.attempts.total(now),
                counters.failed.total(now),
                counters.refused.total(now),
                slowdown,
                handled / span * self.headroom(slowdown, denying and zone == self.home, cold_share),
                cold_share,
                float(ready),
                float(listed.get(zone, 0)),
            )
        return Report(
            name,
            self.home,
            {workload: ring.total(now) / span for workload, ring in self.arrived.items()},
            observations,
            self.cold_endpoints(now, span, sidecar),
        )

    def listed_by_zone(self, sidecar: Sidecar) -> dict[str, int]:
        """Endpoints that the list names as ready."""
        found: dict[str, int] = {}
        for entry in sidecar.registry.listed.values():
            if entry.state is t.EndpointStatus.READY:
                found[entry.zone] = found.get(entry.zone, 0) + 1
        return found

    def headroom(self, slowdown: float, denying: bool, cold_share: float) -> float:
        """How many times the observed rate a zone may be able to take. The uncrowded answer times that the
        slowdown refers to are assumed to be those at half load, where servers that share a core among their
        requests take twice the time of the work: so the share of capacity in use is 1 - 1/(2 slowdown). Cold
        endpoints are not assumed to take more, nor is a zone that denies requests."""
        if denying:
            return MAX_DENYING_HEADROOM
        return 1.0 + (1 - cold_share) * (1 / (1 - 1 / (2 * max(1.0, slowdown))) - 1)

    def cold_endpoints(self, now: int, span: float, sidecar: Sidecar) -> dict[int, tuple[float, float]]:
        """By endpoint hash: attempts per second and warmth."""
        found = {}
        for name in list(self.cold):
            endpoint = sidecar.dispatcher.endpoint_states.get(name)
            rate = self.cold[name].total(now) / span
            if endpoint is None or not rate or sidecar.dispatcher.warmth(endpoint.report) >= 1:
                del self.cold[name]
            else:
                found[endpoint_hash(name)] = (rate, sidecar.dispatcher.warmth(endpoint.report))
        return found
