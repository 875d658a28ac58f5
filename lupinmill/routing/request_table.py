"""Every open request, its attempts and its one final response."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import anyio

from lupinmill import terms as t
from lupinmill.protocol.client_requests import (
    ClientRequest,
    aborted_response,
    client_response,
    load_report,
    rejection,
)
from lupinmill.protocol.http import Answer, Request
from lupinmill.routing.deadline import Deadline
from lupinmill.routing.engine import Engine
from lupinmill.routing.request_body import RequestBody
from lupinmill.routing.response_reader import ResponseReader
from lupinmill.routing.response_stream import ResponseStream
from lupinmill.routing.sampled_log import SampledLog
from lupinmill.routing.used_ids import UsedIds, digest_of
from lupinmill.transport.buffers import MemoryLease, unlimited_lease
from lupinmill.transport.client import Client
from lupinmill.transport.connection import Connection

# microseconds; below this, durations differ by event loop and kernel rather than by endpoint
MIN_DURATION_US = 5_000
BYTES_REPORT_INTERVAL_US = 100_000  # microseconds between two reports that a response still arrives
LOGGED_LATENESS_US = 100_000  # microseconds after its deadline from which a final response is logged as late


@dataclass(slots=True)
class Attempt:
    endpoint: str
    number: int
    started_at: int
    deadline: Deadline
    fully_sent: bool = False  # the last byte was sent; from here on it may have run
    sent_at: int = 0  # when the last byte was sent
    cancelled: bool = False
    abandoned: bool = False  # its response has stalled, and another attempt takes its place
    unread_time: int = 0  # microseconds that its response lay unread, or that its body took to arrive
    end_reported: bool = False  # the decision module knows its end, because a large response had begun
    in_flight: bool = True
    connection: Connection | None = None  # on which it is written
    reader: ResponseReader | None = None  # once the response is waited for
    bytes_reported_at: int | None = None  # when the decision module last heard of bytes of its response

    def recall(self) -> None:
        """Ends the attempt; from now on no byte of it is written."""
        if self.connection is not None:
            self.connection.end_writing()
        self.deadline.scope.cancel()


@dataclass(slots=True)
class PendingRequest:
    """One request from its arrival until its last attempt has ended."""

    metadata: ClientRequest
    request: Request
    due: int
    client: Client
    received_at: int  # when its last byte arrived, as far as the kernel tells
    # no attempt starts later; None while the body arrives, or if `due` covers it
    latest_start: int | None = None
    settled: bool = False
    may_have_run: bool = False  # one of the attempts that have ended
    answer: Answer | None = None  # stays None if the client has disconnected
    client_wait: anyio.CancelScope | None = None  # scope of its client's task, until the request is settled
    attempts: list[Attempt] = field(default_factory=list)
    body: RequestBody | None = None  # over 64 KiB: what is buffered of it or still arriving
    stream: ResponseStream | None = None  # of a large response, which the client's task reads
    # for what is held of the request and of its answers; shared by the table and the client's task
    memory: MemoryLease = field(default_factory=unlimited_lease)


class RequestTable:
    """Owns the open requests. `remove_if_finished` is the only place where they are removed."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.pending_requests: dict[str, PendingRequest] = {}
        self.repeats = 0  # attempts beyond a request's first, so far
        self.open_in_predecessor: set[str] = set()  # ids that are open in the process before this one
        self.used_ids = UsedIds()  # of closed requests, and of those of other processes
        # called with the digest of an id that must not run twice, when its first attempt starts
        self.on_unrepeatable_attempt: Callable[[int], None] = lambda digest: None
        self.sampled_log = SampledLog(engine.log)
        self.unattempted = 0  # open requests for which the decision module has started no attempt yet
        engine.failure_listeners.append(self.on_module_failure)

    def add(self, pending: PendingRequest) -> None:
        metadata = pending.metadata
        self.pending_requests[metadata.request_id] = pending
        pending.memory.share()
        self.unattempted += 1
        whole = pending.body is None or pending.body.complete
        name, repeated = metadata.request_id, metadata.is_retry
        self.engine.handle_event(
            t.RequestArrived(
                name,
                metadata.workload,
                pending.due,
                metadata.tenant,
                repeated,
                whole,
                metadata.key,
                metadata.has_idempotency_key,
            )
        )

    def body_received(self, pending: PendingRequest, due: int, latest_start: int) -> None:
        """The last byte of the body has arrived, and the hard limit is known from here on."""
        pending.due, pending.latest_start = due, latest_start
        now, clock = self.engine.clock.now(), anyio.current_time()
        for attempt in pending.attempts:
            if attempt.in_flight:
                attempt.deadline.reschedule(clock + (due - now) / 1_000_000)
        self.engine.handle_event(t.RequestBodyReceived(pending.metadata.request_id, due))

    def start_response_stream(
        self, pending: PendingRequest, attempt: Attempt, answer: Answer, stream: ResponseStream
    ) -> None:
        """A response is passed on as it arrives; from here on no deadline of this sidecar ends it."""
        attempt.deadline.reschedule(math.inf)
        attempt.unread_time = int((anyio.current_time() - attempt.reader.head_at) * 1_000_000)
        pending.stream = stream
        self.settle(pending, client_response(answer))
        # For the decision module the attempt is over: the endpoint has done its work, and writing the
        # response takes no capacity there.
        self.report_attempt_ended(pending, attempt, t.Outcome.HANDLED, load_report(answer))
        attempt.end_reported = True

    def forward_open_ended_response(self, pending: PendingRequest) -> None:
        """Passes on the longest of the open-ended responses that have begun, though it may turn out to be
        short. The attempt's task lends its connection once it no longer reads."""
        begun = [
            attempt
            for attempt in pending.attempts
            if attempt.fully_sent
            and attempt.reader is not None
            and attempt.reader.is_open_ended()
            and not attempt.deadline.scope.cancel_called
        ]
        if not begun or pending.settled:
            return
        attempt = max(begun, key=lambda one: one.reader.side.size)
        self.sampled_log(
            "answer_forwarded",
            submission=pending.metadata.request_id,
            workload=pending.metadata.workload,
            endpoint=attempt.endpoint,
            attempt=attempt.number,
            of=len(begun),
            **attempt.reader.figures(),
        )
        due_at, answer = attempt.deadline.at, attempt.reader.side.received_answer
        attempt.reader.interrupt()
        self.start_response_stream(pending, attempt, answer, ResponseStream(attempt.reader, attempt, due_at))

    def is_open(self, name: str) -> bool:
        return name in self.pending_requests or name in self.open_in_predecessor

    def may_run_again(self, workload: str) -> bool:
        """Whether the workload's requests may run any number of times."""
        known = self.engine.sidecar.dispatcher.settings.workloads.get(workload)
        return known is not None and known.repeat is t.RepeatPolicy.IDEMPOTENT

    def is_used(self, metadata: ClientRequest) -> bool:
        """Whether a request with this id may have run before, and may not run again."""
        return not self.may_run_again(metadata.workload) and digest_of(metadata.request_id) in self.used_ids

    def learn_used_id(self, digest: int) -> None:
        """Another process of this sidecar has used this id."""
        self.used_ids.add(digest, self.engine.clock.now())

    def take_id(self, digest: int) -> bool:
        """Leaves the id to the next process. False if it is open here, or may have run."""
        if digest in self.used_ids or any(digest_of(name) == digest for name in self.pending_requests):
            return False
        self.learn_used_id(digest)
        return True

    def all_used_ids(self) -> list[int]:
        """Digests, also of the requests that may run now."""
        running = [
            digest_of(name)
            for name, pending in self.pending_requests.items()
            if pending.attempts and not self.may_run_again(pending.metadata.workload)
        ]
        return self.used_ids.digests() + running

    def attempt_starts(self, pending: PendingRequest, attempt: Attempt) -> None:
        self.unattempted -= not pending.attempts
        self.repeats += bool(pending.attempts)
        pending.attempts.append(attempt)
        if not self.may_run_again(pending.metadata.workload):
            self.on_unrepeatable_attempt(digest_of(pending.metadata.request_id))

    def in_flight_by_endpoint(self) -> dict[str, int]:
        """Attempts in flight whose request was sent in full, by endpoint."""
        counts: dict[str, int] = {}
        for pending in self.pending_requests.values():
            for attempt in pending.attempts:
                if attempt.in_flight and attempt.fully_sent and not attempt.end_reported:
                    counts[attempt.endpoint] = counts.get(attempt.endpoint, 0) + 1
        return counts

    def settle(self, pending: PendingRequest, answer: Answer | None) -> bool:
        """Sets the final response. Only the first one counts; later ones are dropped."""
        if pending.settled:
            return False
        pending.answer, pending.settled = answer, True
        if pending.client_wait is not None:
            pending.client_wait.cancel()
        if pending.body is not None and not pending.body.complete:
            pending.body.drop()  # no more of it is read, so an attempt would wait for the rest forever
        self.remove_if_finished(pending)
        return True

    def withdraw(self, pending: PendingRequest) -> None:
        """Settles a request whose client has disconnected, or whose response came from no decision."""
        if self.settle(pending, None):
            self.engine.handle_event(t.RequestCancelled(pending.metadata.request_id))

    def on_module_failure(self, event: Any) -> None:
        """The decision module failed on this event and may never decide on its request. If no attempt is in
        flight that may still bring a response, the request gets its final one now."""
        about = getattr(event, "request", "")  # the request's id; in the module's internal events its state
        pending = self.pending_requests.get(getattr(about, "name", about))
        if pending is not None and not any(attempt.in_flight for attempt in pending.attempts):
            self.abort_after_module_failure(pending)
        if isinstance(event, t.AttemptEnded) and event.outcome is not t.Outcome.CALLED_OFF:
            # Sent again with an outcome that says nothing about the endpoint; otherwise its place there would
            # never be freed.
            self.engine.handle_event(replace(event, outcome=t.Outcome.CALLED_OFF, load=None))

    def abort_after_module_failure(self, pending: PendingRequest) -> None:
        """Gives a final response that comes from no decision."""
        if self.settle(pending, aborted_response()):
            self.engine.log("backstop", submission=pending.metadata.request_id)
            self.engine.handle_event(t.RequestCancelled(pending.metadata.request_id))

    def recall_unsent(self, pending: PendingRequest) -> bool:
        """Ends the attempts of a request of which none has been sent in full, so that none can run. False if
        one may have run."""
        in_flight = [attempt for attempt in pending.attempts if attempt.in_flight]
        if pending.may_have_run or any(attempt.fully_sent for attempt in in_flight):
            return False
        for attempt in in_flight:
            attempt.recall()
        return True

    def abort(self, pending: PendingRequest) -> None:
        """Answers a request that the decision module gives up, and that may have run as far as that knows."""
        unsent = pending.attempts and not pending.settled and self.recall_unsent(pending)
        self.settle(pending, self.rejection() if unsent else aborted_response())

    def reject_unsent(self, pending: PendingRequest) -> None:
        """Answers a request whose body can't be read in time."""
        if pending.settled:
            return
        answer = self.rejection() if self.recall_unsent(pending) else aborted_response()
        if self.settle(pending, answer):
            name = pending.metadata.request_id
            self.sampled_log("body_overdue", submission=name, read=pending.body.end, status=answer.status)
            self.engine.handle_event(t.RequestCancelled(name))

    def shed(self, count: int) -> None:
        """Rejects requests whose bodies are incomplete and of which nothing can have run, the largest first,
        until so many bytes are free."""
        incomplete = [
            pending
            for pending in self.pending_requests.values()
            if pending.body is not None and not pending.body.complete and not pending.settled
        ]
        for pending in sorted(incomplete, key=lambda one: one.body.leased, reverse=True):
            if count <= 0:
                return
            count -= pending.body.leased + pending.memory.size
            self.reject_unsent(pending)

    def log_if_late(self, pending: PendingRequest, answer: Answer) -> None:
        """Called when the final response is about to be written."""
        late = self.engine.clock.now() - pending.due
        if late > LOGGED_LATENESS_US:
            self.sampled_log(
                "answer_late",
                submission=pending.metadata.request_id,
                workload=pending.metadata.workload,
                status=answer.status,
                late_ms=late // 1000,
                attempts=[attempt.endpoint for attempt in pending.attempts],
                loop_ms=self.engine.lateness // 1000,
            )

    def rejection(self) -> Answer:
        return rejection(self.engine.sidecar.dispatcher.settings.longest_advice // 2)

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
        attempt.reader = None  # it refers to the request, and would wait for a garbage collection with it
        pending.may_have_run = pending.may_have_run or outcome not in t.NEVER_RAN
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
        # Counted from the last byte sent: before that, event loop and connection took the time.
        began = attempt.sent_at or attempt.started_at
        name, took = pending.metadata.request_id, self.engine.clock.now() - began - attempt.unread_time
        took = max(took, MIN_DURATION_US)
        last = self.is_last_attempt(pending)
        self.engine.handle_event(
            t.AttemptEnded(name, attempt.number, outcome, took, pending.settled, load, last)
        )

    def report_bytes(self, request_id: str, attempt: Attempt) -> None:
        """Part of the response to the attempt has arrived, and not its end."""
        now, last = self.engine.clock.now(), attempt.bytes_reported_at
        if last is not None and now - last < BYTES_REPORT_INTERVAL_US:
            return
        attempt.bytes_reported_at = now
        self.engine.handle_event(t.ResponseBytesArrived(attempt.endpoint, request_id, attempt.number))

    def report_stall(self, pending: PendingRequest, attempt: Attempt) -> None:
        """The response to the attempt has begun, and pauses."""
        name, last = pending.metadata.request_id, self.is_last_attempt(pending)
        self.engine.handle_event(t.ResponseStalled(name, attempt.number, last))

    def report_open_ended(self, pending: PendingRequest, attempt: Attempt) -> None:
        """The response to the attempt has begun, and tells no length."""
        if attempt.fully_sent:
            self.engine.handle_event(t.OpenEndedResponseBegan(pending.metadata.request_id, attempt.number))

    def is_last_attempt(self, pending: PendingRequest) -> bool:
        """Whether no other attempt is possible, as part of a large body was not kept."""
        body = pending.body
        return body is not None and not (body.can_restart() and self.time_left(pending) > 0)

    def time_left(self, pending: PendingRequest) -> int:
        """Microseconds that the client still waits, at least: the deadline that an attempt starting now is
        given."""
        now = self.engine.clock.now()
        left = pending.due - now
        if pending.latest_start is not None:
            left = min(left, pending.latest_start - now)
        elif pending.body is not None and not pending.body.complete:
            left = min(
                left,
                pending.metadata.time_left
                - pending.client.max_elapsed_wait(pending.metadata.time_left, True),
            )
        return left

    def remove_if_finished(self, pending: PendingRequest) -> None:
        if not pending.settled or any(attempt.in_flight for attempt in pending.attempts):
            return
        if self.pending_requests.pop(pending.metadata.request_id, None) is not None:
            self.unattempted -= not pending.attempts
            self.remember_id(pending)
            self.drop_body(pending)
            pending.memory.release()
        if pending.body is not None:
            pending.body.drop()

    def remember_id(self, pending: PendingRequest) -> None:
        if pending.may_have_run and not self.may_run_again(pending.metadata.workload):
            self.learn_used_id(digest_of(pending.metadata.request_id))

    def drop_body(self, pending: PendingRequest) -> None:
        """No attempt sends it again; its client's task may still take long to write the answer."""
        pending.memory.shrink(len(pending.request.body))
        pending.request.body = b""
