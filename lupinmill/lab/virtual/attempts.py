"""Carries out a virtual sidecar's commands to attempt, cancel and probe: over the network, to the
endpoint's model and back."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from lupinmill import terms as t
from lupinmill.lab.endpoint import Endpoint, Job
from lupinmill.lab.outcome import Outcome
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.virtual.connections import Connections
from lupinmill.lab.virtual.request import Attempt, Request

if TYPE_CHECKING:
    from lupinmill.lab.virtual.sidecar import VirtualSidecar

KEEPS_CONNECTION = (
    t.Outcome.HANDLED,
    t.Outcome.ERROR,
    t.Outcome.REFUSED,
)  # after these it can carry another request
NO_CONNECTION = (t.Outcome.UNCONNECTED, t.Outcome.UNSENT)  # after these there is none


class Attempts:
    """Everything of one sidecar that is on its way to an endpoint."""

    def __init__(self, sidecar: VirtualSidecar) -> None:
        self.sidecar, self.run = sidecar, sidecar.run
        self.world, self.timeline = sidecar.run.world, sidecar.run.timeline
        self.connections = Connections(self.timeline)

    def close(self, request: Request) -> None:
        """Its sidecar was killed: what it had sent ends with a reset."""
        for attempt in request.attempts:
            if not attempt.over:
                self.end_attempt(attempt)

    # Beginning.

    def start(self, command: t.StartAttempt) -> None:
        """Sends a request to an endpoint."""
        sidecar, now = self.sidecar, self.timeline.now
        request = sidecar.requests.get(command.request)
        endpoint = self.world.by_endpoint.get(command.endpoint)
        if request is None or endpoint is None or request.end_known:
            text = f"a launch of what is not open, to {command.endpoint}"
            self.world.rule_checker.violation(1, command.request, text)
            return
        second = self.run.metrics.at(now)
        second.launches += 1
        second.crossed += sidecar.zone != endpoint.spec.zone
        attempt = Attempt(len(request.attempts), endpoint, endpoint.epoch, now)
        request.attempts.append(attempt)
        if request.closed:  # it ended in the very batch that the module is answering
            return self.outcome(request, attempt, t.Outcome.UNSENT, None)
        attempt.record = self.world.rule_checker.sent(now, request.name, endpoint, sidecar.name)
        until = min(command.until or request.due, request.due)
        attempt.deadline = self.timeline.at(until, self.outcome, request, attempt, t.Outcome.TIMED_OUT, None)
        self.send(request, attempt)

    def send(self, request: Request, attempt: Attempt) -> None:
        """On an idle connection, or on a new one."""
        endpoint, timeline = attempt.endpoint, self.timeline
        way = self.world.network.delay(self.sidecar.zone, endpoint.spec.zone)
        if self.connections.reuse(endpoint):
            timeline.after(way, self.arrive, request, attempt, self.sidecar.incarnation)
            return
        cut = self.cut_from(endpoint)
        if endpoint.silent or not endpoint.alive or cut:
            span = endpoint.spec.connect_limit_s * SECOND if endpoint.silent or cut else 2 * way
            timeline.after(span, self.outcome, request, attempt, t.Outcome.UNCONNECTED, None)
            return
        if not endpoint.connect():
            timeline.after(2 * way, self.outcome, request, attempt, t.Outcome.UNCONNECTED, None)
            return
        attempt.new_connection = True
        span = (1 + 2 * endpoint.spec.round_trips) * way
        timeline.after(span, self.arrive, request, attempt, self.sidecar.incarnation)

    def cut_from(self, endpoint: Endpoint) -> bool:
        """Whether one of the two ways to and from it is cut."""
        network, here, there = self.world.network, self.sidecar.zone, endpoint.spec.zone
        return network.blocked(here, there) or network.blocked(there, here)

    def arrive(self, request: Request, attempt: Attempt, incarnation: int) -> None:
        """At the endpoint, unless it was cancelled on the way or the endpoint has died meanwhile."""
        endpoint, sidecar, network = attempt.endpoint, self.sidecar, self.world.network
        if (
            attempt.over
            or incarnation != sidecar.incarnation
            or network.blocked(sidecar.zone, endpoint.spec.zone)
        ):
            return  # what is lost behind a cut is a time-out
        if attempt.epoch != endpoint.epoch or not endpoint.alive:
            if not endpoint.silent:
                self.timeline.after(network.delay(), self.outcome, request, attempt, t.Outcome.RESET, None)
            return
        calls, reply = (
            self.run.inner.calls_of(sidecar.tier),
            partial(self.reply, request, attempt, incarnation),
        )
        name, key, request_class = request.name, request.key, request.request_class
        work = self.world.attempt_work(request_class, request.work, sidecar.tier)
        job = attempt.job = Job(name, key, request_class, work, request.due, reply, calls=calls)
        endpoint.receive(job, sidecar.directory.informed(endpoint))

    def reply(
        self, request: Request, attempt: Attempt, incarnation: int, how: t.Outcome, load: t.LoadReport | None
    ) -> None:
        """The endpoint's answer, on its way back."""
        network, here, there = self.world.network, self.sidecar.zone, attempt.endpoint.spec.zone
        if incarnation == self.sidecar.incarnation and not network.blocked(there, here):
            self.timeline.after(network.delay(here, there), self.outcome, request, attempt, how, load)

    # Ending.

    def outcome(self, request: Request, attempt: Attempt, how: t.Outcome, load: t.LoadReport | None) -> None:
        """An attempt has ended, for its sidecar; later outcomes of the same attempt are nothing."""
        sidecar = self.sidecar
        if attempt.over or not sidecar.alive:
            return
        self.end_attempt(attempt, how)
        if how is t.Outcome.HANDLED and not request.closed:
            sidecar.close(request)
            request.answer(Outcome.SUCCEEDED, 0)
        took = self.timeline.now - attempt.sent
        sidecar.tell(t.AttemptEnded(request.name, attempt.number, how, took, request.closed, load))
        sidecar.forget_if_over(request)

    def end_attempt(self, attempt: Attempt, how: t.Outcome = t.Outcome.RESET) -> None:
        """The one place where an attempt's connection and record are given back."""
        attempt.over = True
        if attempt.deadline is not None:
            attempt.deadline.cancel()
        if attempt.record is not None:
            attempt.record.in_flight = False
        if how in KEEPS_CONNECTION:
            self.connections.keep(attempt.endpoint, attempt.epoch)
        elif how not in NO_CONNECTION:
            attempt.endpoint.disconnect(attempt.epoch)
            if attempt.job is not None and attempt.job.state != "over":
                self.timeline.after(self.world.network.one_way, self.cancel_at_endpoint, attempt)

    def cancel_at_endpoint(self, attempt: Attempt) -> None:
        """The endpoint hears that nobody waits for it any more."""
        if attempt.epoch == attempt.endpoint.epoch and attempt.job is not None:
            attempt.endpoint.cancel(attempt.job)

    def cancel(self, command: t.CancelAttempt) -> None:
        """The module cancels one attempt."""
        request = self.sidecar.requests.get(command.request)
        if request is not None and command.attempt < len(request.attempts):
            attempt = request.attempts[command.attempt]
            sent_whole = attempt.job is not None or not attempt.new_connection
            self.outcome(request, attempt, t.Outcome.CALLED_OFF if sent_whole else t.Outcome.UNSENT, None)

    # Probes.

    def probe(self, command: t.StartProbe) -> None:
        """Asks an endpoint how it is."""
        endpoint = self.world.by_endpoint[command.endpoint]
        self.run.metrics.at(self.timeline.now).probes += 1
        way, sent = self.world.network.delay(self.sidecar.zone, endpoint.spec.zone), self.timeline.now
        self.timeline.after(way, self.answer_probe, endpoint, way, sent, self.sidecar.incarnation)

    def answer_probe(self, endpoint: Endpoint, way: float, sent: int, incarnation: int) -> None:
        """The endpoint's answer, on its way back; where there is none, the time-out."""
        cut = self.cut_from(endpoint)
        got = endpoint.probe() if not cut else None
        how, load = got or (t.Outcome.UNCONNECTED, None)
        waits = got is None and (endpoint.silent or endpoint.paused or cut)
        span = endpoint.spec.connect_limit_s * SECOND if waits else way
        self.timeline.after(span, self.probed, endpoint, sent, how, load, incarnation)

    def probed(
        self, endpoint: Endpoint, sent: int, how: t.Outcome, load: t.LoadReport | None, incarnation: int
    ) -> None:
        """What came of a probe, for the module."""
        if incarnation == self.sidecar.incarnation and self.sidecar.alive:
            self.sidecar.tell(t.ProbeEnded(endpoint.spec.name, how, self.timeline.now - sent, load))
