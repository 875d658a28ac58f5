"""Executes the decision module's commands: attempts, cancellations, probes and final responses."""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup

from lupinmill import terms as t
from lupinmill.protocol import client_requests
from lupinmill.routing.attempt_runner import AttemptRunner
from lupinmill.routing.deadline import Deadline
from lupinmill.routing.engine import Engine
from lupinmill.routing.request_table import MIN_DURATION_US, Attempt, RequestTable


class CommandExecutor:
    def __init__(
        self, engine: Engine, request_table: RequestTable, attempt_runner: AttemptRunner, group: TaskGroup
    ) -> None:
        self.engine, self.log = engine, engine.log
        self.clock, self.request_table, self.attempt_runner, self.group = (
            engine.clock,
            request_table,
            attempt_runner,
            group,
        )
        engine.command_handlers |= {
            t.StartAttempt: self.start_attempt,
            t.CancelAttempt: self.cancel_attempt,
            t.AbandonAttempt: self.abandon_attempt,
            t.ForwardResponse: self.forward_response,
            t.RejectRequest: self.reject_request,
            t.AbortResponse: self.abort_response,
            t.StartProbe: self.start_probe,
        }

    def start_attempt(self, command: t.StartAttempt) -> None:
        pending = self.request_table.pending_requests.get(command.request)
        if pending is None:
            return self.report_unknown_request(command)
        now = self.clock.now()
        ends_at = anyio.current_time() + (command.until - now) / 1_000_000
        deadline = Deadline(ends_at, self.engine.catch_up)
        attempt = Attempt(command.endpoint, len(pending.attempts), now, deadline)
        self.request_table.attempt_starts(pending, attempt)
        try:
            self.group.start_soon(self.attempt_runner.run, pending, attempt)
        except BaseException:
            self.request_table.attempt_ended(pending, attempt, t.Outcome.UNSENT, None, None)
            raise

    def report_unknown_request(self, command: t.StartAttempt) -> None:
        """Handles a request that is closed here but still open in the decision module, which happens only
        after a failure of the module. Nothing is sent; the events make it free the places that it counts at
        endpoints and forget the request. None of its attempts can be in flight, or it would be known here."""
        self.log("order_failed", order="Launch", error=f"{command.request} is not open")
        for number in range(self.engine.sidecar.dispatcher.settings.max_attempts):
            self.engine.handle_event(
                t.AttemptEnded(command.request, number, t.Outcome.UNSENT, MIN_DURATION_US, True)
            )

    def cancel_attempt(self, command: t.CancelAttempt) -> None:
        """Cancels an attempt. The end of its scope closes the connection."""
        pending = self.request_table.pending_requests.get(command.request)
        if pending is not None:
            attempt = pending.attempts[command.attempt]
            attempt.cancelled = True
            attempt.deadline.scope.cancel()

    def abandon_attempt(self, command: t.AbandonAttempt) -> None:
        pending = self.request_table.pending_requests.get(command.request)
        if pending is not None:
            attempt = pending.attempts[command.attempt]
            attempt.abandoned = True
            attempt.deadline.scope.cancel()

    def forward_response(self, command: t.ForwardResponse) -> None:
        if pending := self.request_table.pending_requests.get(command.request):
            self.request_table.forward_open_ended_response(pending)

    def reject_request(self, command: t.RejectRequest) -> None:
        if pending := self.request_table.pending_requests.get(command.request):
            self.request_table.settle(pending, client_requests.rejection(command.retry_after))

    def abort_response(self, command: t.AbortResponse) -> None:
        if pending := self.request_table.pending_requests.get(command.request):
            self.request_table.abort(pending)

    def start_probe(self, command: t.StartProbe) -> None:
        self.group.start_soon(self.attempt_runner.probe, command.endpoint)
