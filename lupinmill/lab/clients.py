"""Open-loop clients: arrivals do not wait for answers. Clients retry on their own; each of their requests is
kept until it succeeds or is given up."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, Protocol

from lupinmill.lab.metrics import RunMetrics
from lupinmill.lab.outcome import Outcome
from lupinmill.lab.scenario import Scenario
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.world import RequestClass, World, draw, random_stream

QUOTA_WINDOW = SECOND // 2


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request of a client, over all its tries."""

    name: str
    workload: RequestClass
    began: int
    work: float
    tenant: str
    worth: float
    tries: int = 0
    over: bool = False
    sidecar: Any = None
    current_try: str = ""  # the request id of the latest try
    due: int = 0
    repeatable_until: int = 0  # until when a deduplicated request may be sent again by its client
    try_timeout: int = 0
    leaves_at: int = 0  # when an impatient client gives up; 0: never


class RequestSender(Protocol):
    """Sends a try to a sidecar; must call `Clients.ended` once when it ends."""

    def send_try(self, client_request: ClientRequest, request_id: str, due: int, repeated: bool) -> None: ...
    def cancel(self, client_request: ClientRequest, request_id: str) -> None: ...


class Clients:
    def __init__(self, world: World, sender: RequestSender, metrics: RunMetrics) -> None:
        self.world, self.sender, self.metrics = world, sender, metrics
        scenario: Scenario = world.scenario
        settings = scenario.clients
        random_source = random_stream(world.seed, "clients")
        self.retries = draw(random_source, settings.retries)
        self.try_share = draw(random_source, settings.try_share)
        self.wait = settings.wait[int(random_source.integers(len(settings.wait)))]
        self.wait_s = draw(random_source, settings.wait_ms) / 1000
        self.follows_advice = draw(random_source, settings.follows_advice)
        self.impatient = draw(random_source, settings.impatient)
        self.marks_retries = settings.marks
        self.shape = scenario.load.shape[int(random_source.integers(len(scenario.load.shape)))]
        self.swing = draw(random_source, scenario.load.swing)
        self.period = float(random_source.uniform(20, 45)) * SECOND
        self.phase = float(random_source.uniform(0, 2 * math.pi))
        self.random_source = random_stream(world.seed, "arrivals")
        self.retry_random = random_stream(world.seed, "retries")
        self.burst_factor, self.burst_ends = 1.0, 0
        self.serial = 0
        self.open: dict[str, ClientRequest] = {}  # by the request id of the try in flight
        self.tenants = self.draw_tenant_shares()
        self.quotas = world.quotas()
        self.quota_windows: dict[str, tuple[int, int]] = {}

    def draw_tenant_shares(self) -> list[tuple[str, float]]:
        random_source = random_stream(self.world.seed, "tenants")
        return [(t.name, t.share * draw(random_source, t.usage)) for t in self.world.scenario.tenant]

    def begin(self) -> None:
        self.world.timeline.at(self.world.start, self.arrive)

    def load_factor(self) -> float:
        now = self.world.timeline.now
        if self.shape == "wave":
            return 1 + self.swing * math.sin(
                2 * math.pi * (now - self.world.start) / self.period + self.phase
            )
        if self.shape == "bursty":
            if now >= self.burst_ends:
                self.burst_factor = max(0.2, 1 + self.swing * float(self.random_source.standard_normal()))
                self.burst_ends = now + int(self.random_source.uniform(0.5, 3) * SECOND)
            return self.burst_factor
        return 1.0

    def arrive(self) -> None:
        """Creates one request and schedules the next arrival. Neither arrival times nor work depend on what
        the sidecars do."""
        world, timeline, random_source = self.world, self.world.timeline, self.random_source
        rate = world.rate_now() * self.load_factor()
        factor, tenant = 0.0, ""
        if self.tenants:
            weights = [(name, share * world.tenant_factors.get(name, 1.0)) for name, share in self.tenants]
            base_total, total = sum(share for _, share in self.tenants), sum(share for _, share in weights)
            factor = total / base_total
            rate *= factor
            tenant = self.pick_tenant(weights, total)
        gap = random_source.exponential(SECOND / max(rate, 1e-3))
        if timeline.now + gap < world.end:
            timeline.after(gap, self.arrive)
        workload = self.pick_workload()
        work = workload.work(random_source)
        leaves = random_source.random() < self.impatient
        leave_share = random_source.uniform(0.1, 0.9)
        self.serial += 1
        client_request = ClientRequest(
            f"w{self.serial}", workload, timeline.now, work, tenant, self.worth(workload, tenant)
        )
        client_request.try_timeout = int(workload.terms.hard_limit * self.try_share)
        if leaves:
            client_request.leaves_at = timeline.now + int(leave_share * workload.terms.contract)
        self.metrics.asked(client_request, timeline.now)
        self.send_try(client_request)

    def pick_tenant(self, weights: list[tuple[str, float]], total: float) -> str:
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
        """Returns the value of a request; above its tenant's quota it is reduced."""
        value = workload.terms.value
        if tenant not in self.quotas:
            return value
        last_window, count = self.quota_windows.get(tenant, (0, 0))
        window = self.world.timeline.now // QUOTA_WINDOW
        count = count + 1 if window == last_window else 1
        self.quota_windows[tenant] = (window, count)
        over_quota = count > self.quotas[tenant] * QUOTA_WINDOW / SECOND
        return value * (self.world.scenario.load.beyond_share_value if over_quota else 1.0)

    def send_try(self, client_request: ClientRequest) -> None:
        now = self.world.timeline.now
        deadline = client_request.began + client_request.workload.terms.hard_limit
        due = min(now + client_request.try_timeout, deadline)
        if due - now < 5_000:
            return self.give_up(client_request)
        client_request.tries += 1
        request_id = f"{client_request.name}.{client_request.tries}"
        client_request.current_try, client_request.due = request_id, due
        if client_request.tries == 1:
            client_request.repeatable_until = now + client_request.workload.terms.window
        self.open[request_id] = client_request
        self.metrics.tried(now)
        self.sender.send_try(client_request, request_id, due, self.marks_retries and client_request.tries > 1)
        if request_id in self.open:
            grace = self.world.rule_checker.grace
            self.world.timeline.at(due + grace + 1, self.timed_out, request_id)
            if now < client_request.leaves_at < due:
                self.world.timeline.at(client_request.leaves_at, self.abandon, request_id)

    def abandon(self, request_id: str) -> None:
        if (client_request := self.open.pop(request_id, None)) is not None:
            self.world.rule_checker.released(request_id)
            self.sender.cancel(client_request, request_id)
            self.give_up(client_request)

    def timed_out(self, request_id: str) -> None:
        """There was no answer until the deadline plus the grace period."""
        if (client_request := self.open.pop(request_id, None)) is not None:
            self.world.rule_checker.overdue(self.world.timeline.now, request_id)
            self.sender.cancel(client_request, request_id)
            self.metrics.unanswered(client_request, self.world.timeline.now)
            self.retry(client_request, Outcome.FAILED, 0)

    def ended(self, request_id: str, outcome: Outcome, advice: int = 0) -> None:
        """One try has ended, with `advice` microseconds to wait before a retry (0: none)."""
        client_request = self.open.pop(request_id, None)
        if client_request is None:
            return
        now = self.world.timeline.now
        if outcome == Outcome.SUCCEEDED:
            client_request.over = True
            return self.metrics.handled(client_request, now)
        self.metrics.rejected_or_failed(client_request, outcome, now)
        self.retry(client_request, outcome, advice)

    def retry(self, client_request: ClientRequest, outcome: Outcome, advice: int) -> None:
        if not self.may_repeat(client_request, outcome) or client_request.tries > self.draw_max_retries(
            client_request
        ):
            return self.give_up(client_request)
        wait = 0.0
        if self.wait == "fixed":
            wait = self.wait_s
        elif self.wait == "exponential":
            wait = self.wait_s * 2 ** (client_request.tries - 1) * self.retry_random.uniform(0.5, 1.5)
        if advice and self.retry_random.random() < self.follows_advice:
            wait = max(wait, advice / SECOND)
        self.world.timeline.after(wait * SECOND, self.send_try, client_request)

    def draw_max_retries(self, client_request: ClientRequest) -> int:
        """Draws the number of retries; the fraction of `retries` is the share of clients that make one
        more."""
        whole_part = int(self.retries)
        return whole_part + (self.retry_random.random() < self.retries - whole_part)

    def may_repeat(self, client_request: ClientRequest, outcome: Outcome) -> bool:
        if outcome in (Outcome.REJECTED, Outcome.UNREACHABLE):
            return True
        terms = client_request.workload.terms
        if terms.repeat.value == "idempotent":
            return True
        deduplicated_by_all = terms.repeat.value == "deduplicated" and terms.group.value == "all"
        return deduplicated_by_all and self.world.timeline.now < client_request.repeatable_until

    def give_up(self, client_request: ClientRequest) -> None:
        client_request.over = True
        self.metrics.given_up(client_request, self.world.timeline.now)
