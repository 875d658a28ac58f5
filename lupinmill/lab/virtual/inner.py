"""Calls that endpoints of a virtual run make of the next tier, each by way of a sidecar of its own."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from lupinmill.lab.endpoint import Endpoint, Job
from lupinmill.lab.timeline import MS
from lupinmill.lab.virtual.held import Held
from lupinmill.lab.virtual.seat import Seat
from lupinmill.lab.world import chance_for

if TYPE_CHECKING:
    from lupinmill.lab.virtual.run import VirtualRun

Done = Callable[[bool], None]  # told once whether the call was handled
Call = tuple[Seat, str]


class InnerCalls:
    """The sidecars beside endpoints, by the endpoint's name."""

    def __init__(self, run: VirtualRun) -> None:
        self.run, self.world, self.timeline = run, run.world, run.timeline
        self.chance = chance_for(run.world.seed, "calls")
        self.seats: dict[str, Seat] = {}
        self.serial = 0

    def calls_of(self, tier: int) -> int:
        """How many calls a request of an endpoint of this tier makes."""
        return self.world.draw_calls(tier, self.chance)

    def endpoint_started(self, endpoint: Endpoint) -> None:
        """Its sidecar starts with it, where it makes calls."""
        if endpoint.shape.tier + 1 >= len(self.world.tiers):
            return
        name = endpoint.shape.name
        seat = self.seats.get(name)
        if seat is None:
            tier = endpoint.shape.tier + 1
            seat = self.seats[name] = Seat(self.run, f"i-{name}", tier, endpoint.shape.zone, 0)
        endpoint.caller, endpoint.hang_up = partial(self.call, endpoint, seat), self.hang_up
        if not seat.alive:
            seat.start()

    def endpoint_died(self, endpoint: Endpoint) -> None:
        """Its sidecar dies with it."""
        if (seat := self.seats.get(endpoint.shape.name)) is not None:
            seat.kill()

    def call(self, endpoint: Endpoint, seat: Seat, job: Job, done: Done) -> Call | None:
        """One call of a job; None where there is no time or no sidecar for it."""
        now = self.timeline.now
        hard = self.world.by_name[job.workload].terms.hard_limit
        due = job.due if self.world.scenario.limits.passes_deadline else now + hard
        if due - now < 2 * self.run.round or not seat.alive:
            self.timeline.after(MS, done, False)
            return None
        self.serial += 1
        name = f"c{self.serial}"
        work = self.world.call_work(job, endpoint.shape, self.chance)
        key = f"{job.submission}/{job.calls}/{self.serial}" if job.key else ""
        held = Held(name, key, job.workload, work, due, partial(self.answer, name, done))
        seat.take(held, "", False, False)
        limit = due + self.world.referee.grace + 1
        self.timeline.at(limit, self.overdue, seat, seat.life, name, done)
        return seat, name

    def answer(self, name: str, done: Done, what: str, advice: int) -> None:
        """The end of a call, for the endpoint that made it."""
        if what != "unreachable":
            self.world.referee.answered(self.timeline.now, name, what)
            self.timeline.at(self.timeline.now, done, what == "handled")

    def overdue(self, seat: Seat, life: int, name: str, done: Done) -> None:
        """No answer until the hard limit and its grace."""
        if life == seat.life:
            self.world.referee.overdue(self.timeline.now, name)
            done(False)

    def hang_up(self, call: Call) -> None:
        """The endpoint wants a call's answer no more."""
        seat, name = call
        self.world.referee.released(name)
        if seat.alive:
            seat.withdraw(name)
