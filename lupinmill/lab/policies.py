"""Policies on the decision module's interface: the project's own, and plain baselines to compare it with.
Baselines keep the rules, launch anew at once while they may, and learn nothing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lupinmill import terms as t
from lupinmill.rules import Sidecar
from lupinmill.workings import RandomSource

ASK_AGAIN = 1_000_000
MARGIN = 10_000  # microseconds kept before the hard limit


@dataclass(slots=True)
class Open:
    workload: t.Workload
    due: int
    endpoints: list[str] = field(default_factory=list)
    sent: list[int] = field(default_factory=list)
    ended: list[t.Outcome | None] = field(default_factory=list)
    done: bool = False


class Baseline:
    """Common to all baselines; `choose` says which of the ready endpoints."""

    def __init__(self, d: t.Deployment) -> None:
        self.d, self.random_source = d, RandomSource(d.seed)
        self.workloads = {w.name: w for w in d.workloads}
        self.entries: dict[str, t.ListEntry] = {}
        self.ready: list[str] = []
        self.flying: dict[str, int] = {}
        self.open: dict[str, Open] = {}
        self.turn = self.random_source.upto(1000)
        self.commands: list[t.Command] = []
        self.now, self.ask_at = 0, 0

    def choose(self, names: list[str]) -> str:
        raise NotImplementedError

    def step(self, now: int, events: list[t.Event]) -> list[t.Command]:
        self.now, self.commands = now, []
        for event in events:
            if isinstance(event, t.ListReceived):
                self.listed(event)
            elif isinstance(event, t.RequestArrived):
                workload = self.workloads.get(event.workload) or t.Workload(
                    event.workload, 0, event.due - now
                )
                self.open[event.request] = Open(workload, event.due)
                self.launch(event.request)
            elif isinstance(event, t.AttemptEnded):
                self.ended(event)
            elif isinstance(event, t.RequestCancelled) and event.request in self.open:
                self.open[event.request].done = True
                self.forget(event.request)
        if self.ask_at and now >= self.ask_at:
            self.ask_at = 0
            self.commands.append(t.StartWatch())
        return self.commands

    def listed(self, event: t.ListReceived) -> None:
        if event.kind is t.ListKind.FAILED:
            return self.ask_later(ASK_AGAIN + self.random_source.upto(ASK_AGAIN))
        if event.kind is t.ListKind.CACHED and self.d.poll_discovery:
            self.ask_later(1 + self.random_source.upto(ASK_AGAIN))
        if event.kind is not t.ListKind.CHANGES:
            self.entries = {}
        for entry in event.entries:
            self.entries[entry.endpoint] = entry
            if entry.state is t.EndpointStatus.GONE:
                del self.entries[entry.endpoint]
        self.ready = sorted(
            name for name, entry in self.entries.items() if entry.state is t.EndpointStatus.READY
        )

    def ask_later(self, span: int) -> None:
        self.ask_at = self.now + span
        self.commands.append(t.SetTimer(self.ask_at, 2))

    def maybe(self, s: Open) -> list[int]:
        """Numbers of the launches that may have run."""
        return [at for at, how in enumerate(s.ended) if how not in t.NEVER_RAN]

    def allowed(self, s: Open) -> list[str]:
        """The endpoints that it may be launched at."""
        ran = self.maybe(s)
        names = [name for name in self.ready if name not in s.endpoints] or self.ready
        names = [name for name in names if self.warm_enough(name)] or names
        if not ran or s.workload.repeat is t.RepeatPolicy.IDEMPOTENT:
            return names
        if (
            s.workload.repeat is t.RepeatPolicy.UNREPEATABLE
            or self.now > s.sent[ran[0]] + s.workload.window - MARGIN
        ):
            return []
        first = self.entries.get(s.endpoints[ran[0]])
        if s.workload.group is t.DeduplicationScope.ALL:
            return names
        if first is None:
            return []
        by_zone = s.workload.group is t.DeduplicationScope.ZONE
        return [
            name
            for name in names
            if (self.entries[name].zone == first.zone if by_zone else self.entries[name].cell == first.cell)
        ]

    def warm_enough(self, name: str) -> bool:
        """Rule 4, plainly: a cold one is looked at as often as it must be warm by now."""
        started = self.entries[name].started
        age = self.now - started
        if not started or age >= self.d.cold_time:
            return True
        warmth = self.d.cold_share + (1 - self.d.cold_share) * max(0, age) / self.d.cold_time
        return self.random_source.draw() < warmth

    def launch(self, name: str) -> None:
        s = self.open[name]
        names = (
            self.allowed(s) if self.now < s.due - MARGIN and len(s.endpoints) < self.d.max_attempts else []
        )
        if not names:
            return self.answer(name)
        endpoint = self.choose(names)
        s.endpoints.append(endpoint)
        s.sent.append(self.now)
        s.ended.append(None)
        self.flying[endpoint] = self.flying.get(endpoint, 0) + 1
        self.commands.append(t.StartAttempt(name, endpoint, s.due - MARGIN))

    def answer(self, name: str) -> None:
        s = self.open[name]
        if not s.done:
            s.done = True
            w = s.workload
            safe = (
                w.repeat is t.RepeatPolicy.IDEMPOTENT
                or w.repeat is t.RepeatPolicy.DEDUPLICATED
                and w.group is t.DeduplicationScope.ALL
            )
            self.commands.append(
                t.RejectRequest(name) if safe or not self.maybe(s) else t.AbortResponse(name)
            )
        self.forget(name)

    def ended(self, event: t.AttemptEnded) -> None:
        s = self.open.get(event.request)
        if s is None or event.attempt >= len(s.ended) or s.ended[event.attempt] is not None:
            return
        s.ended[event.attempt] = event.outcome
        self.flying[s.endpoints[event.attempt]] -= 1
        s.done = s.done or event.closed or event.outcome is t.Outcome.HANDLED
        if s.done:
            return self.forget(event.request)
        # The front alone launches anew, as the design wants it of every policy that it is compared with.
        if self.d.tier == 0 and event.outcome is not t.Outcome.TIMED_OUT:
            self.launch(event.request)
        else:
            self.answer(event.request)

    def forget(self, name: str) -> None:
        s = self.open[name]
        if s.done and all(how is not None for how in s.ended):
            del self.open[name]
            for endpoint in s.endpoints:
                if not self.flying.get(endpoint) and endpoint not in self.entries:
                    self.flying.pop(endpoint, None)


class RandomChoice(Baseline):
    def choose(self, names: list[str]) -> str:
        return names[self.random_source.upto(len(names) - 1)]


class RoundRobin(Baseline):
    def choose(self, names: list[str]) -> str:
        self.turn += 1
        return names[self.turn % len(names)]


class FewestInFlight(Baseline):
    """Own launches only; ties at random."""

    def choose(self, names: list[str]) -> str:
        least = min(self.flying.get(name, 0) for name in names)
        equal = [name for name in names if self.flying.get(name, 0) == least]
        return equal[self.random_source.upto(len(equal) - 1)]


class TwoChoices(Baseline):
    """Of two drawn at random the one with fewer own launches in flight."""

    def choose(self, names: list[str]) -> str:
        one, two = (names[self.random_source.upto(len(names) - 1)] for _ in range(2))
        return one if self.flying.get(one, 0) <= self.flying.get(two, 0) else two


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
