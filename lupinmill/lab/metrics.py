"""Metrics of a run: the value of answered requests, latency, and counters per second. Memory is bounded by
the length of the run, whatever its load."""

from __future__ import annotations

from typing import Any

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram

from lupinmill.lab.endpoint import Endpoint
from lupinmill.lab.outcome import Outcome
from lupinmill.lab.scenario import Goal
from lupinmill.lab.timeline import SECOND

MAX_LATENCY = 120 * SECOND  # larger values are recorded as this
PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0)
WINDOW_S = 10  # for the worst window
TAIL_S = 5  # for the tail, by workload


class Second(msgspec.Struct):
    """Counters of one second of a run. `worth` and `earned` count in the second in which the client's request
    arrived."""

    worth: float = 0.0
    earned: float = 0.0
    asked: int = 0
    tries: int = 0
    handled: int = 0
    in_time: int = 0
    denied: int = 0
    broken: int = 0
    unreachable: int = 0
    launches: int = 0
    probes: int = 0
    crossed: int = 0  # attempts that crossed zones
    held: float = 0.0  # mean number of requests at an endpoint of the first tier, in slots and queue
    held_inner: float = 0.0
    aside: int = 0  # ejected endpoints, summed over all sidecars of the first tier
    cap: float = 0.0  # mean over sidecars of the cap per endpoint, if the policy has one
    jammed: int = 0
    alive: int = 0


class Figures(msgspec.Struct):
    """The totals of a run. Service, goal and the like are shares between 0 and 1."""

    service: float
    goal: float
    worst_window: float
    by_workload: dict[str, float]
    by_tenant: dict[str, float]
    asked: int
    handled: int
    in_time: int
    denied: int
    broken_off: int
    unreachable: int
    unanswered: int
    launches_per_submission: float
    retries_by_clients: float
    probes_per_submission: float
    waste: float
    late_fail: float
    doubled: int
    crossed_per_submission: float
    jammed: float
    latency_ms: dict[str, dict[str, float]]


def record_endpoints(entry: Second, tiers: list[list[Endpoint]]) -> None:
    """Records the state of the endpoints at the end of a second."""
    for name, endpoints in (("held", tiers[0]), ("held_inner", tiers[-1] if len(tiers) > 1 else [])):
        alive = [e for e in endpoints if e.alive]
        if alive:
            setattr(entry, name, sum(len(e.held) + len(e.waiting) for e in alive) / len(alive))
    entry.alive = sum(e.alive for e in tiers[0])
    entry.jammed = sum(e.jammed for tier in tiers for e in tier)


class RunMetrics:
    def __init__(self, start: int, seconds: float, workloads: list[str]) -> None:
        self.start = start
        self.seconds = [Second() for _ in range(int(seconds) + 2)]
        self.latency = {name: HdrHistogram(1, MAX_LATENCY, 3) for name in workloads}
        self.worth: dict[tuple[str, str, int], list[float]] = {}  # (kind, name, window) -> [worth, earned]
        self.tail: dict[tuple[str, int], list[int]] = {}  # (workload, window) -> [asked, missed]
        self.late_worth, self.total_worth = 0.0, 0.0
        self.served_work, self.offered_work = 0.0, 0.0
        self.unanswered_count = 0

    def at(self, now: int) -> Second:
        return self.seconds[min(len(self.seconds) - 1, max(0, (now - self.start) // SECOND))]

    def add_value(self, client_request: Any, earned: float, worth: float) -> None:
        window = (client_request.began - self.start) // SECOND // WINDOW_S
        for kind, name in (
            ("all", ""),
            ("workload", client_request.workload.name),
            ("tenant", client_request.tenant),
        ):
            entry = self.worth.setdefault((kind, name, window), [0.0, 0.0])
            entry[0] += worth
            entry[1] += earned

    def asked(self, client_request: Any, now: int) -> None:
        second = self.at(now)
        second.asked += 1
        second.worth += client_request.worth
        self.total_worth += client_request.worth
        self.offered_work += client_request.work
        self.add_value(client_request, 0.0, client_request.worth)
        self.tail.setdefault(self.tail_key(client_request), [0, 0])[0] += 1

    def tail_key(self, client_request: Any) -> tuple[str, int]:
        return client_request.workload.name, (client_request.began - self.start) // SECOND // TAIL_S

    def tried(self, now: int) -> None:
        self.at(now).tries += 1

    def handled(self, client_request: Any, now: int) -> None:
        latency, terms = now - client_request.began, client_request.workload.terms
        in_time = latency <= terms.contract
        earned = client_request.worth * (1.0 if in_time else terms.overdue_value)
        second = self.at(now)
        second.handled += 1
        second.in_time += in_time
        self.at(client_request.began).earned += earned
        self.add_value(client_request, earned, 0.0)
        self.served_work += client_request.work
        self.latency[client_request.workload.name].record_value(max(1, min(MAX_LATENCY, latency)))
        if not in_time:
            self.tail[self.tail_key(client_request)][1] += 1

    def rejected_or_failed(self, client_request: Any, outcome: Outcome, now: int) -> None:
        second = self.at(now)
        if outcome == Outcome.REJECTED:
            second.denied += 1
        elif outcome == Outcome.UNREACHABLE:
            second.unreachable += 1
        else:
            second.broken += 1

    def unanswered(self, client_request: Any, now: int) -> None:
        self.unanswered_count += 1

    def given_up(self, client_request: Any, now: int) -> None:
        """The client gave the request up."""
        if now > client_request.began + client_request.workload.terms.contract:
            self.late_worth += client_request.worth
            self.tail[self.tail_key(client_request)][1] += 1

    # Totals.

    def earned_shares(self, kind: str) -> dict[str, float]:
        sums: dict[str, list[float]] = {}
        for (entry_kind, name, _), (worth, earned) in sorted(self.worth.items()):
            if entry_kind == kind and (name or kind == "all"):
                entry = sums.setdefault(name, [0.0, 0.0])
                entry[0] += worth
                entry[1] += earned
        return {name: earned / worth if worth else 1.0 for name, (worth, earned) in sums.items()}

    def worst_window(self) -> float:
        """Returns the lowest share of value earned in any `WINDOW_S` consecutive seconds of the run."""
        worth = np.array([second.worth for second in self.seconds])
        earned = np.array([second.earned for second in self.seconds])
        last = int(np.max(np.nonzero(worth)[0], initial=0))
        found = []
        for at in range(0, max(1, last - WINDOW_S + 1)):
            asked = worth[at : at + WINDOW_S].sum()
            found.append(float(earned[at : at + WINDOW_S].sum() / asked) if asked else 1.0)
        return min(found, default=1.0)

    def tail_score(self, miss: float) -> float:
        """Returns the score for late requests, per workload and window of `TAIL_S`: 1 up to the share `miss`
        late or lost, falling to 0 at five times that."""
        total = kept = 0.0
        for asked, missed in self.tail.values():
            share = missed / asked if asked else 0.0
            total += asked
            kept += asked * min(1.0, max(0.0, (5 * miss - share) / (4 * miss) if miss else 0.0))
        return kept / total if total else 1.0

    def figures(
        self, goal: Goal, endpoints: list[Any], doubled: int, waste_work: float, tier_work: float
    ) -> Figures:
        service = self.earned_shares("all").get("", 1.0)
        by_workload, by_tenant, worst = (
            self.earned_shares("workload"),
            self.earned_shares("tenant"),
            self.worst_window(),
        )
        total = sum(second.asked for second in self.seconds)
        launches = sum(second.launches for second in self.seconds)
        probes = sum(second.probes for second in self.seconds)
        crossed = sum(second.crossed for second in self.seconds) / max(1, total)
        tries = sum(second.tries for second in self.seconds)
        offered = self.offered_work * tier_work
        waste = max(0.0, waste_work - self.served_work * tier_work) / offered if offered else 0.0
        late = self.late_worth / self.total_worth if self.total_worth else 0.0
        jammed = sum(e.was_jammed for e in endpoints) / max(1, len(endpoints))
        weights = goal.whole + goal.worst_window + goal.worst_workload + goal.worst_tenant + goal.tail or 1.0
        score = (
            goal.whole * service
            + goal.worst_window * worst
            + goal.worst_workload * min(by_workload.values(), default=service)
            + goal.worst_tenant * min(by_tenant.values(), default=service)
            + goal.tail * self.tail_score(goal.tail_miss)
        ) / weights
        score -= (
            goal.waste * waste
            + goal.late_fail * late
            + goal.probe * probes / max(1, total)
            + goal.jammed * jammed
            + goal.cross_zone * crossed
        )
        return Figures(
            service=service,
            goal=max(0.0, score),
            worst_window=worst,
            by_workload=by_workload,
            by_tenant=by_tenant,
            asked=total,
            handled=sum(s.handled for s in self.seconds),
            in_time=sum(s.in_time for s in self.seconds),
            denied=sum(s.denied for s in self.seconds),
            broken_off=sum(s.broken for s in self.seconds),
            unreachable=sum(s.unreachable for s in self.seconds),
            unanswered=self.unanswered_count,
            launches_per_submission=launches / max(1, tries),
            retries_by_clients=(tries - total) / max(1, total),
            probes_per_submission=probes / max(1, total),
            waste=waste,
            late_fail=late,
            doubled=doubled,
            crossed_per_submission=crossed,
            jammed=jammed,
            latency_ms={
                name: {f"p{p:g}": h.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
                for name, h in self.latency.items()
                if h.get_total_count()
            },
        )
