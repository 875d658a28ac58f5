"""Book: every open submission, its launches and its one final answer."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import Any

import anyio

from lupinmill import terms as t
from lupinmill.protocol.http import Answer, Request
from lupinmill.protocol.submission import Asked, broken_off
from lupinmill.routing.request_body import RequestBody
from lupinmill.routing.deadline import Deadline
from lupinmill.routing.engine import Engine
from lupinmill.routing.response_stream import ResponseStream
from lupinmill.transport.client import Client


MIN_DURATION_US = (
    5_000  # microseconds: below it answers differ by what this loop and the kernel do, not endpoints
)


@dataclass(slots=True)
class Attempt:
    endpoint: str
    number: int
    started_at: int
    deadline: Deadline
    fully_sent: bool = False  # its last byte has left: from here on it may have run
    sent_at: int = 0  # when that was
    cancelled: bool = False
    unread_time: int = 0  # microseconds that its answer lay unread
    end_reported: bool = False  # the module knows its end: a large answer had begun
    in_flight: bool = True


@dataclass(slots=True)
class PendingRequest:
    """One submission from its taking in until its last launch has ended."""

    metadata: Asked
    request: Request
    due: int
    client: Client
    received_at: int  # its last byte, as far as the kernel tells
    latest_start: int | None = (
        None  # no attempt begins later; None while the body comes, or where `due` says it
    )
    settled: bool = False
    answer: Answer | None = None  # stays None where the client has gone away
    client_wait: anyio.CancelScope | None = None  # its client's task, until it is settled
    attempts: list[Attempt] = field(default_factory=list)
    body: RequestBody | None = None  # over 64 KiB: what is kept of it, or still comes
    stream: ResponseStream | None = None  # of the answer, where that is large: its client's task takes it


class RequestTable:
    """Owns the open journeys. `close` is the one place where they are given back."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.pending_requests: dict[str, PendingRequest] = {}
        self.repeats = 0  # launches beyond a submission's first, so far
        self.open_in_predecessor: set[str] = set()  # ids open in an older process of this sidecar
        self.unattempted = 0  # of them, those that the module has launched nowhere yet
        engine.failure_listeners.append(self.on_module_failure)

    def add(self, pending: PendingRequest) -> None:
        metadata = pending.metadata
        self.pending_requests[metadata.submission] = pending
        self.unattempted += 1
        whole = pending.body is None or pending.body.complete
        name, repeated = metadata.submission, metadata.repeated
        self.engine.handle_event(
            t.RequestArrived(
                name,
                metadata.workload,
                pending.due,
                metadata.tenant,
                repeated,
                whole,
                metadata.key,
                metadata.keyed,
            )
        )

    def body_received(self, pending: PendingRequest, due: int, latest_start: int) -> None:
        """Its last byte has come; the hard limit is known from here on."""
        pending.due, pending.latest_start = due, latest_start
        now, clock = self.engine.clock.now(), anyio.current_time()
        for attempt in pending.attempts:
            if attempt.in_flight:
                attempt.deadline.reschedule(clock + (due - now) / 1_000_000)
        self.engine.handle_event(t.RequestBodyReceived(pending.metadata.submission, due))

    def start_response_stream(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        answer: Answer,
        stream: ResponseStream,
        load: t.LoadReport | None,
    ) -> None:
        """A large answer passes on as it comes: nothing of ours ends it any more."""
        attempt.deadline.reschedule(math.inf)
        pending.stream = stream
        self.settle(pending, answer)
        # To the module it is over: the endpoint has done its work, what it still writes takes none of its
        # places.
        self.report_attempt_ended(pending, attempt, t.Outcome.HANDLED, load)
        attempt.end_reported = True

    def is_open(self, name: str) -> bool:
        return name in self.pending_requests or name in self.open_in_predecessor

    def in_flight_by_endpoint(self) -> dict[str, int]:
        """Launches that are out and written, by endpoint."""
        counts: dict[str, int] = {}
        for pending in self.pending_requests.values():
            for attempt in pending.attempts:
                if attempt.in_flight and attempt.fully_sent and not attempt.end_reported:
                    counts[attempt.endpoint] = counts.get(attempt.endpoint, 0) + 1
        return counts

    def settle(self, pending: PendingRequest, answer: Answer | None) -> bool:
        """The first final answer stands; what comes later is dropped."""
        if pending.settled:
            return False
        pending.answer, pending.settled = answer, True
        if pending.client_wait is not None:
            pending.client_wait.cancel()
        if pending.body is not None and not pending.body.complete:
            pending.body.drop()  # no more of it is read: a launch would wait for the rest, and can't run
        self.remove_if_finished(pending)
        return True

    def withdraw(self, pending: PendingRequest) -> None:
        """Its client has gone away, or its answer came from no decision."""
        if self.settle(pending, None):
            self.engine.handle_event(t.RequestCancelled(pending.metadata.submission))

    def on_module_failure(self, event: Any) -> None:
        """The module failed on this note, and may never decide about its submission: where no launch is out
        that may still bring an answer, it gets its final one now."""
        about = getattr(event, "request", "")  # its name; in the module's own notes what it knows of it
        pending = self.pending_requests.get(getattr(about, "name", about))
        if pending is not None and not any(attempt.in_flight for attempt in pending.attempts):
            self.abort_after_module_failure(pending)
        if isinstance(event, t.AttemptEnded) and event.outcome is not t.Outcome.CALLED_OFF:
            # Once more, as what tells nothing of the endpoint: or its place there would be taken for good.
            self.engine.handle_event(replace(event, outcome=t.Outcome.CALLED_OFF, load=None))

    def abort_after_module_failure(self, pending: PendingRequest) -> None:
        """A final answer that comes from no decision."""
        if self.settle(pending, broken_off()):
            self.engine.log("backstop", submission=pending.metadata.submission)
            self.engine.handle_event(t.RequestCancelled(pending.metadata.submission))

    def attempt_ended(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        outcome: t.Outcome,
        answer: Answer | None,
        load: t.LoadReport | None,
    ) -> None:
        if not attempt.in_flight:
            return
        attempt.in_flight = False
        try:
            if answer is not None:
                self.settle(pending, answer)
            if not attempt.end_reported:
                attempt.end_reported = True
                self.report_attempt_ended(pending, attempt, outcome, load)
        finally:
            self.remove_if_finished(pending)

    def report_attempt_ended(
        self, pending: PendingRequest, attempt: Attempt, outcome: t.Outcome, load: t.LoadReport | None
    ) -> None:
        # From its last byte on: until then it was this loop and the connection that took their time.
        began = attempt.sent_at or attempt.started_at
        name, took = pending.metadata.submission, self.engine.clock.now() - began - attempt.unread_time
        took = max(took, MIN_DURATION_US)
        last = pending.body is not None and not (pending.body.can_restart() and self.time_left(pending) > 0)
        self.engine.handle_event(
            t.AttemptEnded(name, attempt.number, outcome, took, pending.settled, load, last)
        )

    def time_left(self, pending: PendingRequest) -> int:
        """Microseconds that its client still waits, at the least: what an attempt that begins now is told."""
        now = self.engine.clock.now()
        left = pending.due - now
        if pending.latest_start is not None:
            left = min(left, pending.latest_start - now)
        elif pending.body is not None and not pending.body.complete:
            left = min(
                left, pending.metadata.left - pending.client.max_elapsed_wait(pending.metadata.left, True)
            )
        return left

    def remove_if_finished(self, pending: PendingRequest) -> None:
        if pending.settled and not any(attempt.in_flight for attempt in pending.attempts):
            if (
                self.pending_requests.pop(pending.metadata.submission, None) is not None
                and not pending.attempts
            ):
                self.unattempted -= 1
            if pending.body is not None:
                pending.body.drop()
