"""Calls that endpoints of a virtual run make to the next tier, each endpoint through a sidecar of its own."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from lupinmill.lab.endpoint import Endpoint, Job
from lupinmill.lab.outcome import Outcome
from lupinmill.lab.timeline import MS
from lupinmill.lab.virtual.request import Request
from lupinmill.lab.virtual.sidecar import VirtualSidecar
from lupinmill.lab.world import random_stream

if TYPE_CHECKING:
    from lupinmill.lab.virtual.run import VirtualRun

Done = Callable[[bool], None]  # called once with whether the call succeeded


@dataclass(frozen=True)
class Call:
    """A call in flight; `name` is the id of its request."""

    sidecar: VirtualSidecar
    name: str


class InnerCalls:
    """The sidecars of endpoints, by the endpoint's name, and their calls."""

    def __init__(self, run: VirtualRun) -> None:
        self.run, self.world, self.timeline = run, run.world, run.timeline
        self.random_source = random_stream(run.world.seed, "calls")
        self.sidecars: dict[str, VirtualSidecar] = {}
        self.serial = 0

    def calls_of(self, tier: int) -> int:
        """Draws how many calls a request makes at an endpoint of this tier."""
        return self.world.draw_calls(tier, self.random_source)

    def endpoint_started(self, endpoint: Endpoint) -> None:
        """Starts the endpoint's sidecar with it, if its tier makes calls."""
        if endpoint.spec.tier + 1 >= len(self.world.tiers):
            return
        name = endpoint.spec.name
        sidecar = self.sidecars.get(name)
        if sidecar is None:
            tier = endpoint.spec.tier + 1
            sidecar = self.sidecars[name] = VirtualSidecar(self.run, f"i-{name}", tier, endpoint.spec.zone, 0)
        endpoint.make_call, endpoint.cancel_call = partial(self.call, endpoint, sidecar), self.cancel_call
        if not sidecar.alive:
            sidecar.start()

    def endpoint_died(self, endpoint: Endpoint) -> None:
        """Kills the endpoint's sidecar with it."""
        if (sidecar := self.sidecars.get(endpoint.spec.name)) is not None:
            sidecar.kill()

    def call(self, endpoint: Endpoint, sidecar: VirtualSidecar, job: Job, done: Done) -> Call | None:
        """Makes one call for a job; None if there is no time left or no sidecar."""
        now = self.timeline.now
        latest = now + self.world.class_by_name[job.workload].terms.hard_limit
        due = job.due if self.world.scenario.limits.passes_deadline else latest
        if due - now < 2 * self.run.round or not sidecar.alive:
            self.timeline.after(MS, done, False)
            return None
        self.serial += 1
        name = f"c{self.serial}"
        work = self.world.call_work(job, endpoint.spec, self.random_source)
        key = f"{job.request_id}/{job.calls}/{self.serial}" if job.key else ""
        request = Request(name, key, job.workload, work, due, partial(self.answer, name, done))
        sidecar.accept(request, "", False, False)
        limit = due + self.world.rule_checker.grace + 1
        self.timeline.at(limit, self.overdue, sidecar, sidecar.incarnation, name, done)
        return Call(sidecar, name)

    def answer(self, name: str, done: Done, outcome: Outcome, advice: int) -> None:
        """Passes the end of a call to the endpoint that made it."""
        if outcome is not Outcome.UNREACHABLE:
            self.world.rule_checker.answered(self.timeline.now, name, outcome)
            self.timeline.at(self.timeline.now, done, outcome is Outcome.SUCCEEDED)

    def overdue(self, sidecar: VirtualSidecar, incarnation: int, name: str, done: Done) -> None:
        """There was no answer until the deadline plus the grace period."""
        if incarnation == sidecar.incarnation:
            self.world.rule_checker.overdue(self.timeline.now, name)
            done(False)

    def cancel_call(self, call: Call) -> None:
        """The endpoint no longer waits for a call."""
        self.world.rule_checker.released(call.name)
        if call.sidecar.alive:
            call.sidecar.cancel(call.name)
