"""Clients in an open loop: arrivals that don't wait for answers, their own retries, and what they count as
service. Owns each wish until it is fulfilled or given up."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, Protocol

from lupinmill.lab.metrics import RunMetrics
from lupinmill.lab.outcome import Outcome
from lupinmill.lab.scenario import Scenario
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.world import RequestClass, World, random_stream, draw

QUOTA_WINDOW = SECOND // 2


@dataclass(slots=True, eq=False)
class ClientRequest:
    """What a client wants done, over all its tries."""

    name: str
    workload: RequestClass
    began: int
    work: float
    tenant: str
    worth: float
    tries: int = 0
    over: bool = False
    sidecar: Any = None
    running: str = ""  # the id of its latest try
    due: int = 0
    window_ends: int = 0  # until when a deduplicated one may be asked again by its client
    span: int = 0
    leaves: int = 0


class RequestSender(Protocol):
    """What carries one try to a sidecar; `Clients.ended` must be told of its end once."""

    def ask(self, client_request: ClientRequest, request_id: str, due: int, repeated: bool) -> None: ...
    def gave_up(self, client_request: ClientRequest, request_id: str) -> None: ...


class Clients:
    def __init__(self, world: World, asker: RequestSender, metrics: RunMetrics) -> None:
        self.world, self.asker, self.metrics = world, asker, metrics
        scenario: Scenario = world.scenario
        found = scenario.clients
        site = random_stream(world.seed, "clients")
        self.retries = draw(site, found.retries)
        self.try_share = draw(site, found.try_share)
        self.wait = found.wait[int(site.integers(len(found.wait)))]
        self.wait_s = draw(site, found.wait_ms) / 1000
        self.follows = draw(site, found.follows_advice)
        self.impatient = draw(site, found.impatient)
        self.marks = found.marks
        self.shape = scenario.load.shape[int(site.integers(len(scenario.load.shape)))]
        self.swing = draw(site, scenario.load.swing)
        self.period = float(site.uniform(20, 45)) * SECOND
        self.phase = float(site.uniform(0, 2 * math.pi))
        self.random_source = random_stream(world.seed, "arrivals")
        self.answers = random_stream(world.seed, "retries")
        self.gust, self.gust_ends = 1.0, 0
        self.serial = 0
        self.open: dict[str, ClientRequest] = {}  # by the id of the try that is out
        self.tenants = self.shares()
        self.quotas = world.quotas()
        self.sent: dict[str, tuple[int, int]] = {}

    def shares(self) -> list[tuple[str, float]]:
        random_source = random_stream(self.world.seed, "tenants")
        return [(t.name, t.share * draw(random_source, t.usage)) for t in self.world.scenario.tenant]

    def begin(self) -> None:
        self.world.timeline.at(self.world.start, self.arrive)

    def swung(self) -> float:
        now = self.world.timeline.now
        if self.shape == "wave":
            return 1 + self.swing * math.sin(
                2 * math.pi * (now - self.world.start) / self.period + self.phase
            )
        if self.shape == "bursty":
            if now >= self.gust_ends:
                self.gust = max(0.2, 1 + self.swing * float(self.random_source.standard_normal()))
                self.gust_ends = now + int(self.random_source.uniform(0.5, 3) * SECOND)
            return self.gust
        return 1.0

    def arrive(self) -> None:
        """One arrival, and the next one set: times and works are the same whatever the sidecars do."""
        world, timeline, random_source = self.world, self.world.timeline, self.random_source
        rate = world.rate_now() * self.swung()
        extra, tenant = 0.0, ""
        if self.tenants:
            weights = [(name, share * world.tenant_factors.get(name, 1.0)) for name, share in self.tenants]
            plain, total = sum(share for _, share in self.tenants), sum(share for _, share in weights)
            extra = total / plain
            rate *= extra
            tenant = self.pick(weights, total)
        gap = random_source.exponential(SECOND / max(rate, 1e-3))
        if timeline.now + gap < world.end:
            timeline.after(gap, self.arrive)
        workload = self.pick_workload()
        work = workload.work(random_source)
        leaves = random_source.random() < self.impatient
        leaves_after = random_source.uniform(0.1, 0.9)
        self.serial += 1
        client_request = ClientRequest(
            f"w{self.serial}", workload, timeline.now, work, tenant, self.worth(workload, tenant)
        )
        client_request.span = int(workload.terms.hard_limit * self.try_share)
        if leaves:
            client_request.leaves = timeline.now + int(leaves_after * workload.terms.contract)
        self.metrics.asked(client_request, timeline.now)
        self.ask(client_request)

    def pick(self, weights: list[tuple[str, float]], total: float) -> str:
        at = self.random_source.random() * total
        for name, weight in weights:
            at -= weight
            if at < 0:
                return name
        return weights[-1][0]

    def pick_workload(self) -> RequestClass:
        at = self.random_source.random()
        for workload in self.world.classes:
            at -= workload.share
            if at < 0:
                return workload
        return self.world.classes[-1]

    def worth(self, workload: RequestClass, tenant: str) -> float:
        """What goes beyond a tenant's share counts for little."""
        value = workload.terms.value
        if tenant not in self.quotas:
            return value
        window, count = self.sent.get(tenant, (0, 0))
        mark = self.world.timeline.now // QUOTA_WINDOW
        count = count + 1 if mark == window else 1
        self.sent[tenant] = (mark, count)
        beyond = count > self.quotas[tenant] * QUOTA_WINDOW / SECOND
        return value * (self.world.scenario.load.beyond_share_value if beyond else 1.0)

    def ask(self, client_request: ClientRequest) -> None:
        now = self.world.timeline.now
        limit = client_request.began + client_request.workload.terms.hard_limit
        due = min(now + client_request.span, limit)
        if due - now < 5_000:
            return self.give_up(client_request)
        client_request.tries += 1
        request_id = f"{client_request.name}.{client_request.tries}"
        client_request.running, client_request.due = request_id, due
        if client_request.tries == 1:
            client_request.window_ends = now + client_request.workload.terms.window
        self.open[request_id] = client_request
        self.metrics.tried(now)
        self.asker.ask(client_request, request_id, due, self.marks and client_request.tries > 1)
        if request_id in self.open:
            grace = self.world.rule_checker.grace
            self.world.timeline.at(due + grace + 1, self.timed_out, request_id)
            if now < client_request.leaves < due:
                self.world.timeline.at(client_request.leaves, self.leave, request_id)

    def leave(self, request_id: str) -> None:
        if (client_request := self.open.pop(request_id, None)) is not None:
            self.world.rule_checker.released(request_id)
            self.asker.gave_up(client_request, request_id)
            self.give_up(client_request)

    def timed_out(self, request_id: str) -> None:
        """No answer by the hard limit and its grace."""
        if (client_request := self.open.pop(request_id, None)) is not None:
            self.world.rule_checker.overdue(self.world.timeline.now, request_id)
            self.asker.gave_up(client_request, request_id)
            self.metrics.unanswered(client_request, self.world.timeline.now)
            self.again(client_request, Outcome.FAILED, 0)

    def ended(self, request_id: str, outcome: Outcome, advice: int = 0) -> None:
        """What came of one try."""
        client_request = self.open.pop(request_id, None)
        if client_request is None:
            return
        now = self.world.timeline.now
        if outcome == Outcome.SUCCEEDED:
            client_request.over = True
            return self.metrics.handled(client_request, now)
        self.metrics.turned(client_request, outcome, now)
        self.again(client_request, outcome, advice)

    def again(self, client_request: ClientRequest, outcome: Outcome, advice: int) -> None:
        if not self.may_repeat(client_request, outcome) or client_request.tries > self.most_retries(
            client_request
        ):
            return self.give_up(client_request)
        wait = 0.0
        if self.wait == "fixed":
            wait = self.wait_s
        elif self.wait == "exponential":
            wait = self.wait_s * 2 ** (client_request.tries - 1) * self.answers.uniform(0.5, 1.5)
        if advice and self.answers.random() < self.follows:
            wait = max(wait, advice / SECOND)
        self.world.timeline.after(wait * SECOND, self.ask, client_request)

    def most_retries(self, client_request: ClientRequest) -> int:
        """Whole part for all; the rest is the share of clients with one more."""
        whole = int(self.retries)
        return whole + (self.answers.random() < self.retries - whole)

    def may_repeat(self, client_request: ClientRequest, outcome: Outcome) -> bool:
        if outcome in (Outcome.REJECTED, Outcome.UNREACHABLE):
            return True
        terms = client_request.workload.terms
        if terms.repeat.value == "idempotent":
            return True
        whole = terms.repeat.value == "deduplicated" and terms.group.value == "all"
        return whole and self.world.timeline.now < client_request.window_ends

    def give_up(self, client_request: ClientRequest) -> None:
        client_request.over = True
        self.metrics.lost(client_request, self.world.timeline.now)
