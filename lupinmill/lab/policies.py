"""Policies with the interface of the decision module: the project's own, and simple baselines for comparison.
Baselines keep the rules, retry immediately while that is allowed, and do not adapt to outcomes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lupinmill import terms as t
from lupinmill.rules import Sidecar
from lupinmill.workings import RandomSource

POLL_INTERVAL = 1_000_000  # microseconds, between calls of discovery after a failure
DEADLINE_MARGIN = 10_000  # microseconds before the deadline, after which no attempt is made


@dataclass(slots=True)
class OpenRequest:
    workload: t.Workload
    due: int
    endpoints: list[str] = field(default_factory=list)
    sent_at: list[int] = field(default_factory=list)
    outcomes: list[t.Outcome | None] = field(default_factory=list)
    done: bool = False


class Baseline:
    """Common to all baselines; `choose` picks one of the allowed endpoints."""

    def __init__(self, deployment: t.Deployment) -> None:
        self.deployment, self.random_source = deployment, RandomSource(deployment.seed)
        self.workloads = {workload.name: workload for workload in deployment.workloads}
        self.entries: dict[str, t.ListEntry] = {}
        self.ready: list[str] = []
        self.in_flight: dict[str, int] = {}
        self.open: dict[str, OpenRequest] = {}
        self.next_index = self.random_source.upto(1000)
        self.commands: list[t.Command] = []
        self.now, self.poll_at = 0, 0

    def choose(self, names: list[str]) -> str:
        raise NotImplementedError

    def step(self, now: int, events: list[t.Event]) -> list[t.Command]:
        self.now, self.commands = now, []
        for event in events:
            if isinstance(event, t.ListReceived):
                self.update_list(event)
            elif isinstance(event, t.RequestArrived):
                workload = self.workloads.get(event.workload) or t.Workload(
                    event.workload, 0, event.due - now
                )
                self.open[event.request] = OpenRequest(workload, event.due)
                self.start_attempt(event.request)
            elif isinstance(event, t.AttemptEnded):
                self.attempt_ended(event)
            elif isinstance(event, t.RequestCancelled) and event.request in self.open:
                self.open[event.request].done = True
                self.forget(event.request)
        if self.poll_at and now >= self.poll_at:
            self.poll_at = 0
            self.commands.append(t.StartWatch())
        return self.commands

    def update_list(self, event: t.ListReceived) -> None:
        if event.kind is t.ListKind.FAILED:
            return self.poll_later(POLL_INTERVAL + self.random_source.upto(POLL_INTERVAL))
        if event.kind is t.ListKind.CACHED and self.deployment.poll_discovery:
            self.poll_later(1 + self.random_source.upto(POLL_INTERVAL))
        if event.kind is not t.ListKind.CHANGES:
            self.entries = {}
        for entry in event.entries:
            self.entries[entry.endpoint] = entry
            if entry.state is t.EndpointStatus.GONE:
                del self.entries[entry.endpoint]
        self.ready = sorted(
            name for name, entry in self.entries.items() if entry.state is t.EndpointStatus.READY
        )

    def poll_later(self, span: int) -> None:
        self.poll_at = self.now + span
        self.commands.append(t.SetTimer(self.poll_at, 2))

    def possibly_executed(self, request: OpenRequest) -> list[int]:
        """Returns the numbers of the attempts that may have run."""
        return [at for at, outcome in enumerate(request.outcomes) if outcome not in t.NEVER_RAN]

    def allowed_endpoints(self, request: OpenRequest) -> list[str]:
        """Returns the endpoints that an attempt may be sent to."""
        executed = self.possibly_executed(request)
        names = [name for name in self.ready if name not in request.endpoints] or self.ready
        names = [name for name in names if self.passes_slow_start(name)] or names
        if not executed or request.workload.repeat is t.RepeatPolicy.IDEMPOTENT:
            return names
        if (
            request.workload.repeat is t.RepeatPolicy.UNREPEATABLE
            or self.now > request.sent_at[executed[0]] + request.workload.window - DEADLINE_MARGIN
        ):
            return []
        first = self.entries.get(request.endpoints[executed[0]])
        if request.workload.group is t.DeduplicationScope.ALL:
            return names
        if first is None:
            return []
        by_zone = request.workload.group is t.DeduplicationScope.ZONE
        return [
            name
            for name in names
            if (self.entries[name].zone == first.zone if by_zone else self.entries[name].cell == first.cell)
        ]

    def passes_slow_start(self, name: str) -> bool:
        """Keeps rule 4: a cold endpoint is eligible with a probability equal to its warmth."""
        started = self.entries[name].started
        age = self.now - started
        if not started or age >= self.deployment.cold_time:
            return True
        warmth = (
            self.deployment.cold_share
            + (1 - self.deployment.cold_share) * max(0, age) / self.deployment.cold_time
        )
        return self.random_source.draw() < warmth

    def start_attempt(self, name: str) -> None:
        request = self.open[name]
        names = (
            self.allowed_endpoints(request)
            if self.now < request.due - DEADLINE_MARGIN
            and len(request.endpoints) < self.deployment.max_attempts
            else []
        )
        if not names:
            return self.reject_or_abort(name)
        endpoint = self.choose(names)
        request.endpoints.append(endpoint)
        request.sent_at.append(self.now)
        request.outcomes.append(None)
        self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1
        self.commands.append(t.StartAttempt(name, endpoint, request.due - DEADLINE_MARGIN))

    def reject_or_abort(self, name: str) -> None:
        request = self.open[name]
        if not request.done:
            request.done = True
            workload = request.workload
            safe = (
                workload.repeat is t.RepeatPolicy.IDEMPOTENT
                or workload.repeat is t.RepeatPolicy.DEDUPLICATED
                and workload.group is t.DeduplicationScope.ALL
            )
            self.commands.append(
                t.RejectRequest(name)
                if safe or not self.possibly_executed(request)
                else t.AbortResponse(name)
            )
        self.forget(name)

    def attempt_ended(self, event: t.AttemptEnded) -> None:
        request = self.open.get(event.request)
        if (
            request is None
            or event.attempt >= len(request.outcomes)
            or request.outcomes[event.attempt] is not None
        ):
            return
        request.outcomes[event.attempt] = event.outcome
        self.in_flight[request.endpoints[event.attempt]] -= 1
        request.done = request.done or event.closed or event.outcome is t.Outcome.HANDLED
        if request.done:
            return self.forget(event.request)
        # Only front sidecars retry, for all policies alike, so that they are comparable.
        if self.deployment.tier == 0 and event.outcome is not t.Outcome.TIMED_OUT:
            self.start_attempt(event.request)
        else:
            self.reject_or_abort(event.request)

    def forget(self, name: str) -> None:
        request = self.open[name]
        if request.done and all(outcome is not None for outcome in request.outcomes):
            del self.open[name]
            for endpoint in request.endpoints:
                if not self.in_flight.get(endpoint) and endpoint not in self.entries:
                    self.in_flight.pop(endpoint, None)


class RandomChoice(Baseline):
    def choose(self, names: list[str]) -> str:
        return names[self.random_source.upto(len(names) - 1)]


class RoundRobin(Baseline):
    def choose(self, names: list[str]) -> str:
        self.next_index += 1
        return names[self.next_index % len(names)]


class FewestInFlight(Baseline):
    """The endpoint with the fewest attempts of this sidecar in flight; ties are broken at random."""

    def choose(self, names: list[str]) -> str:
        fewest = min(self.in_flight.get(name, 0) for name in names)
        equal = [name for name in names if self.in_flight.get(name, 0) == fewest]
        return equal[self.random_source.upto(len(equal) - 1)]


class TwoChoices(Baseline):
    """Of two endpoints drawn at random the one with fewer attempts of this sidecar in flight."""

    def choose(self, names: list[str]) -> str:
        one, two = (names[self.random_source.upto(len(names) - 1)] for _ in range(2))
        return one if self.in_flight.get(one, 0) <= self.in_flight.get(two, 0) else two


POLICIES: dict[str, Callable[[t.Deployment], Any]] = {
    "lupinmill": Sidecar,
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "fewest": FewestInFlight,
    "two-choices": TwoChoices,
}


def find(name: str) -> Callable[[t.Deployment], Any]:
    if name not in POLICIES:
        raise KeyError(f"no policy {name!r}; there are {', '.join(POLICIES)}")
    return POLICIES[name]
