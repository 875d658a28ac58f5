"""One virtual sidecar: the decision module, its inbox and the handlers of its commands."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from lupinmill import terms as t
from lupinmill.lab.outcome import Outcome
from lupinmill.lab.virtual.attempts import Attempts
from lupinmill.lab.virtual.discovery import Directory
from lupinmill.lab.virtual.request import Request
from lupinmill.lab.world import random_stream

if TYPE_CHECKING:
    from lupinmill.lab.virtual.run import VirtualRun


class VirtualSidecar:
    """A sidecar that can be killed and restarted. Callbacks of an earlier `incarnation` are ignored."""

    def __init__(self, run: VirtualRun, name: str, tier: int, zone: str, position: int) -> None:
        self.run, self.name, self.tier, self.zone, self.position = run, name, tier, zone, position
        self.alive, self.lag, self.incarnation = False, 0, 0
        self.module: Any = None
        self.inbox: list[t.Event] = []
        self.stepping = False
        self.requests: dict[str, Request] = {}
        # Ended requests, of which the module learns in its next step.
        self.unreported: dict[str, Request] = {}
        self.random_source = random_stream(run.world.seed, "seat", name)
        self.attempts = Attempts(self)
        self.directory = Directory(self)
        self.handlers: dict[type, Callable[[Any], None]] = {
            t.StartAttempt: self.attempts.start,
            t.CancelAttempt: self.attempts.cancel,
            t.StartProbe: self.attempts.probe,
            t.RejectRequest: self.reject,
            t.AbortResponse: self.fail,
            t.SetTimer: self.set_timer,
            t.StartWatch: self.watch,
            t.WriteLog: self.log,
        }

    # Start and kill.

    def start(self) -> None:
        """Starts or restarts with a new decision module."""
        run = self.run
        self.alive, self.inbox, self.requests, self.unreported = True, [], {}, {}
        self.stepping = False
        seed = int(self.random_source.integers(2**62))
        self.module = run.policy(run.world.deployment(self.tier, run.instances[self.tier], seed))
        if run.commons is not None and self.tier == 0:
            run.commons.started(self)
        self.directory.start()

    def kill(self) -> None:
        """Kills the sidecar: its clients get no answer, and its attempts end with a reset."""
        if not self.alive:
            return
        run = self.run
        self.alive = False
        self.incarnation += 1
        if run.commons is not None:
            run.commons.killed(self)
        self.directory.stop()
        run.world.rule_checker.restarted(self.name)
        requests, self.requests = self.requests, {}
        for request in requests.values():
            self.attempts.close(request)
            if not request.closed:
                run.world.rule_checker.released(request.name)
                run.timeline.after(run.world.network.client_delay, request.answer, Outcome.UNREACHABLE, 0)
        self.attempts.connections.close(run.world.by_endpoint)

    # Events in, commands out.

    def queue_event(self, event: t.Event) -> None:
        """Queues an event for the module's next step, and schedules that step if none is."""
        self.inbox.append(event)
        if not self.stepping:
            self.stepping = True
            round_, now = self.run.round, self.run.timeline.now
            at = now if round_ <= 1 else -(-now // round_) * round_
            if self.lag:
                at += int(self.lag * self.random_source.uniform(0.5, 1.5))
            self.run.timeline.at(at, self.step, self.incarnation)

    def step(self, incarnation: int) -> None:
        """Runs one step of the module over all events since the last one."""
        if incarnation != self.incarnation or not self.alive:
            return
        self.stepping = False
        run, events, self.inbox = self.run, self.inbox, []
        now, unreported = run.timeline.now, list(self.unreported.values())
        commands = self.module.step(now, events)
        run.record_step(self, now, events, commands)
        for command in commands:
            self.handlers[type(command)](command)
        for request in unreported:  # from now on an attempt for them breaks rule 1
            request.end_known = True
            self.unreported.pop(request.name, None)
            self.forget_if_over(request)

    # Requests.

    def accept(self, request: Request, tenant: str, repeated: bool, front: bool) -> None:
        """A request has arrived; `front`: from a client, not from an endpoint."""
        now = self.run.timeline.now
        self.run.world.rule_checker.request_received(
            now, request.name, request.request_class, request.due, front
        )
        self.requests[request.name] = request
        self.queue_event(t.RequestArrived(request.name, request.request_class, request.due, tenant, repeated))

    def cancel(self, name: str) -> None:
        """The sender of the request no longer waits."""
        request = self.requests.get(name)
        if request is not None and not request.closed:
            self.close(request)
            self.queue_event(t.RequestCancelled(name))

    def close(self, request: Request) -> None:
        """Marks a request as ended by something other than the module, which learns of it in its next
        step."""
        request.closed = True
        self.unreported[request.name] = request

    def finish(self, name: str, outcome: Outcome, advice: int) -> None:
        """Ends a request at the module's command."""
        request = self.requests.get(name)
        if request is None or request.closed:
            self.run.world.rule_checker.answered(self.run.timeline.now, name, outcome)
            return
        request.closed = request.end_known = True
        self.unreported.pop(name, None)
        request.answer(outcome, advice)
        self.forget_if_over(request)

    def forget_if_over(self, request: Request) -> None:
        """Forgets it once it is over for the module and for the network."""
        if request.end_known and all(attempt.over for attempt in request.attempts):
            self.requests.pop(request.name, None)

    # Commands that involve no endpoint.

    def reject(self, command: t.RejectRequest) -> None:
        """Rejects the request."""
        self.finish(command.request, Outcome.REJECTED, command.retry_after)

    def fail(self, command: t.AbortResponse) -> None:
        """Aborts the request; it may have run."""
        self.finish(command.request, Outcome.FAILED, 0)

    def set_timer(self, command: t.SetTimer) -> None:
        """Schedules a timer of the module."""
        self.run.timeline.at(command.at, self.timer_fired, command.ref, self.incarnation)

    def timer_fired(self, ref: int, incarnation: int) -> None:
        """A timer of the module fires."""
        if incarnation == self.incarnation and self.alive:
            self.queue_event(t.TimerFired(ref))

    def watch(self, _: t.StartWatch) -> None:
        """Requests changes from discovery."""
        self.run.calls[self.tier].call(self)

    def log(self, command: t.WriteLog) -> None:
        """Adds a log line to the result."""
        self.run.note(self, command.text)
