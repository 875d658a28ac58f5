"""Carries out a virtual sidecar's commands to start and cancel attempts and to probe, over the simulated
network."""

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
)  # outcomes after which the connection can be reused
NO_CONNECTION = (t.Outcome.UNCONNECTED, t.Outcome.UNSENT)  # outcomes without a connection


class Attempts:
    """The attempts and probes of one sidecar that are in flight."""

    def __init__(self, sidecar: VirtualSidecar) -> None:
        self.sidecar, self.run = sidecar, sidecar.run
        self.world, self.timeline = sidecar.run.world, sidecar.run.timeline
        self.connections = Connections(self.timeline)

    def close(self, request: Request) -> None:
        """The sidecar was killed: attempts in flight end with a reset."""
        for attempt in request.attempts:
            if not attempt.over:
                self.end_attempt(attempt)

    # Start.

    def start(self, command: t.StartAttempt) -> None:
        """Starts an attempt."""
        sidecar, now = self.sidecar, self.timeline.now
        request = sidecar.requests.get(command.request)
        endpoint = self.world.by_endpoint.get(command.endpoint)
        if request is None or endpoint is None or request.end_known:
            text = f"attempt for a request that is not open, to {command.endpoint}"
            self.world.rule_checker.violation(1, command.request, text)
            return
        second = self.run.metrics.at(now)
        second.launches += 1
        second.crossed += sidecar.zone != endpoint.spec.zone
        attempt = Attempt(len(request.attempts), endpoint, endpoint.epoch, now)
        request.attempts.append(attempt)
        if request.closed:  # it ended while the module processed this batch
            return self.end(request, attempt, t.Outcome.UNSENT, None)
        attempt.record = self.world.rule_checker.sent(now, request.name, endpoint, sidecar.name)
        until = min(command.until or request.due, request.due)
        attempt.deadline = self.timeline.at(until, self.end, request, attempt, t.Outcome.TIMED_OUT, None)
        self.send(request, attempt)

    def send(self, request: Request, attempt: Attempt) -> None:
        """Sends the request on an idle connection, or opens a new one."""
        endpoint, timeline = attempt.endpoint, self.timeline
        delay = self.world.network.delay(self.sidecar.zone, endpoint.spec.zone)
        if self.connections.reuse(endpoint):
            timeline.after(delay, self.arrive, request, attempt, self.sidecar.incarnation)
            return
        cut = self.cut_from(endpoint)
        if endpoint.silent or not endpoint.alive or cut:
            wait = endpoint.spec.connect_limit_s * SECOND if endpoint.silent or cut else 2 * delay
            timeline.after(wait, self.end, request, attempt, t.Outcome.UNCONNECTED, None)
            return
        if not endpoint.connect():
            timeline.after(2 * delay, self.end, request, attempt, t.Outcome.UNCONNECTED, None)
            return
        attempt.new_connection = True
        wait = (1 + 2 * endpoint.spec.round_trips) * delay
        timeline.after(wait, self.arrive, request, attempt, self.sidecar.incarnation)

    def cut_from(self, endpoint: Endpoint) -> bool:
        """Returns whether the link to or from the endpoint is cut."""
        network, here, there = self.world.network, self.sidecar.zone, endpoint.spec.zone
        return network.blocked(here, there) or network.blocked(there, here)

    def arrive(self, request: Request, attempt: Attempt, incarnation: int) -> None:
        """The request arrives at the endpoint, unless it was cancelled or the endpoint has died meanwhile."""
        endpoint, sidecar, network = attempt.endpoint, self.sidecar, self.world.network
        if (
            attempt.over
            or incarnation != sidecar.incarnation
            or network.blocked(sidecar.zone, endpoint.spec.zone)
        ):
            return  # lost at a cut link: the attempt times out
        if attempt.epoch != endpoint.epoch or not endpoint.alive:
            if not endpoint.silent:
                self.timeline.after(network.delay(), self.end, request, attempt, t.Outcome.RESET, None)
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
        self,
        request: Request,
        attempt: Attempt,
        incarnation: int,
        outcome: t.Outcome,
        load: t.LoadReport | None,
    ) -> None:
        """Sends the endpoint's answer back."""
        network, here, there = self.world.network, self.sidecar.zone, attempt.endpoint.spec.zone
        if incarnation == self.sidecar.incarnation and not network.blocked(there, here):
            self.timeline.after(network.delay(here, there), self.end, request, attempt, outcome, load)

    # End.

    def end(self, request: Request, attempt: Attempt, outcome: t.Outcome, load: t.LoadReport | None) -> None:
        """Ends an attempt for its sidecar; later outcomes of the same attempt are ignored."""
        sidecar = self.sidecar
        if attempt.over or not sidecar.alive:
            return
        self.end_attempt(attempt, outcome)
        if outcome is t.Outcome.HANDLED and not request.closed:
            sidecar.close(request)
            request.answer(Outcome.SUCCEEDED, 0)
        duration = self.timeline.now - attempt.sent
        sidecar.queue_event(
            t.AttemptEnded(request.name, attempt.number, outcome, duration, request.closed, load)
        )
        sidecar.forget_if_over(request)

    def end_attempt(self, attempt: Attempt, outcome: t.Outcome = t.Outcome.RESET) -> None:
        """Releases the attempt's connection and closes its record; all attempts end here."""
        attempt.over = True
        if attempt.deadline is not None:
            attempt.deadline.cancel()
        if attempt.record is not None:
            attempt.record.in_flight = False
        if outcome in KEEPS_CONNECTION:
            self.connections.keep(attempt.endpoint, attempt.epoch)
        elif outcome not in NO_CONNECTION:
            attempt.endpoint.disconnect(attempt.epoch)
            if attempt.job is not None and attempt.job.state != "over":
                self.timeline.after(self.world.network.one_way, self.cancel_at_endpoint, attempt)

    def cancel_at_endpoint(self, attempt: Attempt) -> None:
        """The endpoint learns that the sidecar no longer waits."""
        if attempt.epoch == attempt.endpoint.epoch and attempt.job is not None:
            attempt.endpoint.cancel(attempt.job)

    def cancel(self, command: t.CancelAttempt) -> None:
        """Cancels one attempt."""
        request = self.sidecar.requests.get(command.request)
        if request is not None and command.attempt < len(request.attempts):
            attempt = request.attempts[command.attempt]
            fully_sent = attempt.job is not None or not attempt.new_connection
            self.end(request, attempt, t.Outcome.CALLED_OFF if fully_sent else t.Outcome.UNSENT, None)

    # Probes.

    def probe(self, command: t.StartProbe) -> None:
        """Sends a probe to an endpoint."""
        endpoint = self.world.by_endpoint[command.endpoint]
        self.run.metrics.at(self.timeline.now).probes += 1
        delay, sent = self.world.network.delay(self.sidecar.zone, endpoint.spec.zone), self.timeline.now
        self.timeline.after(delay, self.answer_probe, endpoint, delay, sent, self.sidecar.incarnation)

    def answer_probe(self, endpoint: Endpoint, delay: float, sent: int, incarnation: int) -> None:
        """Sends the endpoint's answer to a probe back; if there is none, the probe times out."""
        cut = self.cut_from(endpoint)
        answer = endpoint.probe() if not cut else None
        outcome, load = answer or (t.Outcome.UNCONNECTED, None)
        waits = answer is None and (endpoint.silent or endpoint.paused or cut)
        wait = endpoint.spec.connect_limit_s * SECOND if waits else delay
        self.timeline.after(wait, self.probed, endpoint, sent, outcome, load, incarnation)

    def probed(
        self, endpoint: Endpoint, sent: int, outcome: t.Outcome, load: t.LoadReport | None, incarnation: int
    ) -> None:
        """Passes the outcome of a probe to the module."""
        if incarnation == self.sidecar.incarnation and self.sidecar.alive:
            self.sidecar.queue_event(
                t.ProbeEnded(endpoint.spec.name, outcome, self.timeline.now - sent, load)
            )
