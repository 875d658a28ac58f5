"""Calls that endpoints of a run on sockets make to the next tier, each endpoint through a process of its
own."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from lupinmill.lab.endpoint import Endpoint, Job
from lupinmill.lab.outcome import Outcome
from lupinmill.lab.processes import Process
from lupinmill.lab.sockets.requests import SentRequest, request_for
from lupinmill.lab.timeline import MS, SECOND, ScheduledEvent
from lupinmill.lab.world import random_stream
from lupinmill.protocol.http import Answer

if TYPE_CHECKING:
    from lupinmill.lab.sockets.run import SocketRun

MIN_REMAINING = 10 * MS  # until the deadline; with less, no call is made
Done = Callable[[bool], None]  # called once with whether the call succeeded


class InnerCalls:
    """The sidecar processes of endpoints, by the endpoint's name, and their calls."""

    def __init__(self, run: SocketRun) -> None:
        self.run, self.world, self.timeline = run, run.world, run.timeline
        self.random_source = random_stream(run.seed, "calls")
        self.processes: dict[str, Process] = {}
        self.serial = 0

    def calls_of(self, endpoint: Endpoint) -> int:
        """Draws how many calls a request makes at this endpoint."""
        return self.world.draw_calls(endpoint.spec.tier, self.random_source)

    async def add(self, endpoint: Endpoint) -> None:
        """Creates the process of a new endpoint; it is not started yet."""
        name = endpoint.spec.name
        process = await self.run.make_process(f"i-{name}", endpoint.spec.tier + 1)
        self.processes[name] = process
        endpoint.make_call, endpoint.cancel_call = partial(self.call, endpoint, process), self.cancel_call

    def endpoint_died(self, endpoint: Endpoint) -> None:
        """Kills the endpoint's sidecar with it."""
        if (process := self.processes.get(endpoint.spec.name)) is not None:
            process.kill()

    def call(self, endpoint: Endpoint, process: Process, job: Job, done: Done) -> str | None:
        """Makes one call for a job; None if there is no time left or no sidecar."""
        now, rule_checker = self.timeline.now, self.world.rule_checker
        request_class = self.world.class_by_name[job.workload]
        passes = self.run.scenario.limits.passes_deadline
        due = job.due if passes else now + request_class.terms.hard_limit
        if due - now < MIN_REMAINING or not process.alive() or not process.ready:
            self.timeline.after(MS, done, False)
            return None
        self.serial += 1
        name = f"c{self.serial}"
        work = self.world.call_work(job, endpoint.spec, self.random_source)
        key = f"{job.request_id}/{self.serial}" if job.key else ""
        rule_checker.request_received(now, name, job.workload, due, False)
        self.run.requests.remember(name, SentRequest(job.workload, work, key, process.name))
        overdue = self.timeline.at(due + rule_checker.grace + 1, self.overdue, name, done)
        request = request_for(name, request_class, (due - now) / SECOND, key or name, "", False)
        ended = partial(self.ended, name, process, process.start_count, overdue, done)
        self.run.requests.send(process, name, request, ended)
        return name

    def ended(
        self,
        name: str,
        process: Process,
        incarnation: int,
        overdue: ScheduledEvent,
        done: Done,
        answer: Answer | None,
    ) -> None:
        """Passes the end of a call to the endpoint that made it."""
        overdue.cancel()
        outcome = self.run.requests.outcome_of(name, process, incarnation, answer)
        if answer is not None:
            self.world.rule_checker.answered(self.timeline.now, name, outcome)
        done(outcome is Outcome.SUCCEEDED)

    def overdue(self, name: str, done: Done) -> None:
        """There was no answer until the deadline plus the grace period."""
        self.world.rule_checker.overdue(self.timeline.now, name)
        self.run.requests.abandon(name)
        done(False)

    def cancel_call(self, name: str) -> None:
        """The endpoint no longer waits for a call."""
        self.world.rule_checker.released(name)
        self.run.requests.abandon(name)
