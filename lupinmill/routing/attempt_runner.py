"""Runs one attempt, or one probe, on a connection to an endpoint until its outcome is known."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

import anyio

from lupinmill import terms as t
from lupinmill.protocol import client_requests
from lupinmill.protocol.http import Answer, ClientSide, Garbled, Request
from lupinmill.routing.deadline import Deadline
from lupinmill.routing.delivery_watch import DeliveryWatch
from lupinmill.routing.directory import EndpointDirectory
from lupinmill.routing.engine import Log, error_fields
from lupinmill.routing.request_body import BodyUnavailable, RequestBody
from lupinmill.routing.request_table import Attempt, PendingRequest, RequestTable
from lupinmill.routing.response_reader import ResponseReader
from lupinmill.routing.response_stream import ResponseStream
from lupinmill.transport.connection import Connection, NoDescriptor, SendRecalled, Unconnected
from lupinmill.transport.connection_pool import ConnectionPool

# Microseconds after which a client may have disconnected unnoticed: since its request arrived, ...
UNSEEN_AGE_US = 50_000
UNSEEN_LATENESS_US = 25_000  # ... or of event loop lag
# seconds for a response that was sent before the endpoint closed the connection, and is still unread
EARLY_RESPONSE_S = 0.25


class PrematureResponse(Exception):
    """A 200 arrived before the last byte of the request was written. Endpoints start work at that byte, so
    this is the response to an earlier request on the connection."""


class AttemptNotSent(Exception):
    """The request was settled, or the endpoint left the list, before the first byte was sent."""


@dataclass(slots=True)
class Result:
    """Result of an attempt. `final_answer` is the response that goes to the client."""

    outcome: t.Outcome | None = None
    final_answer: Answer | None = None
    load: t.LoadReport | None = None


def outcome_of_ended(attempt: Attempt) -> t.Outcome:
    """The outcome of an attempt that this process ended while it waited for the response."""
    if attempt.cancelled:
        return t.Outcome.CALLED_OFF
    return t.Outcome.SPOILT if attempt.abandoned else t.Outcome.TIMED_OUT


class AttemptRunner:
    def __init__(
        self,
        pool: ConnectionPool,
        directory: EndpointDirectory,
        request_table: RequestTable,
        load_reported: bool,
        log: Log,
    ) -> None:
        self.pool, self.directory, self.request_table, self.log = pool, directory, request_table, log
        self.load_reported = load_reported  # endpoints report their load in probe responses

    async def run(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Runs an attempt. Whatever fails, the decision module receives exactly one outcome, and no other
        request or task is affected."""
        result = Result()
        try:
            await self.execute(pending, attempt, result)
        except Exception as error:
            self.log("task_failed", task="launch", **error_fields(error))
        finally:
            if result.outcome is None:
                result.outcome = t.Outcome.RESET if attempt.fully_sent else t.Outcome.UNSENT
            if self.is_forwarded(pending, attempt):
                pending.stream.lend(broken=True)
            self.finish(pending, attempt, result)

    def finish(self, pending: PendingRequest, attempt: Attempt, result: Result) -> None:
        """This task runs in the program's own task group: an exception that escaped would end the program."""
        try:
            self.request_table.attempt_ended(
                pending, attempt, result.outcome, result.final_answer, result.load
            )
        except Exception as error:
            self.log("task_failed", task="launch", **error_fields(error))
            if not any(other.in_flight for other in pending.attempts):
                self.request_table.abort_after_module_failure(pending)

    async def execute(self, pending: PendingRequest, attempt: Attempt, result: Result) -> None:
        try:
            with attempt.deadline.scope:
                answer = await self.send_request(pending, attempt)
                result.load = client_requests.load_report(answer)
                self.classify_response(pending, attempt, answer, result)
            if result.outcome is None and attempt.fully_sent:
                result.outcome = outcome_of_ended(attempt)
                self.log_given_up(pending, attempt, result.outcome)
        except Unconnected:
            result.outcome = t.Outcome.UNCONNECTED
        except PrematureResponse:
            result.outcome = t.Outcome.SPOILT  # an endpoint that does not follow the protocol may have run it
        except Garbled:
            result.outcome = t.Outcome.SPOILT if attempt.fully_sent else t.Outcome.UNSENT
        except OSError:
            result.outcome = t.Outcome.RESET if attempt.fully_sent else t.Outcome.UNCONNECTED
        except (AttemptNotSent, NoDescriptor, SendRecalled):
            result.outcome = t.Outcome.UNSENT

    def log_given_up(self, pending: PendingRequest, attempt: Attempt, outcome: t.Outcome) -> None:
        """An endpoint's response had begun, and nobody gets the rest of it."""
        if attempt.reader is None or attempt.reader.head_at is None:
            return
        self.request_table.sampled_log(
            "answer_given_up",
            submission=pending.metadata.request_id,
            workload=pending.metadata.workload,
            endpoint=attempt.endpoint,
            attempt=attempt.number,
            why=outcome.value,
            status=None if pending.answer is None else pending.answer.status,
            **attempt.reader.figures(),
        )

    def classify_response(
        self, pending: PendingRequest, attempt: Attempt, answer: Answer, result: Result
    ) -> None:
        result.outcome = client_requests.outcome(answer)
        if self.is_forwarded(pending, attempt):
            result.outcome = pending.stream.outcome
        elif result.outcome is t.Outcome.ERROR and not attempt.fully_sent:
            result.outcome = t.Outcome.REFUSED  # it arrived before the last byte was written, so nothing ran
        # Retrying a rejected request would use up retries and count against endpoints.
        elif result.outcome in (t.Outcome.HANDLED, t.Outcome.REJECTED):
            result.final_answer = client_requests.client_response(answer)

    async def send_request(self, pending: PendingRequest, attempt: Attempt) -> Answer:
        endpoint = attempt.endpoint
        while True:
            address = self.address_of(endpoint)
            kept = self.pool.reuse(endpoint)
            connection: Connection | None = kept or await self.pool.open(address)
            delivery = DeliveryWatch(self.request_table.engine, pending, attempt, connection)
            try:
                self.withdraw_if_disconnected(pending)
                if not self.may_send(pending, attempt):
                    self.return_to_pool(connection, endpoint, address)
                    connection = None
                    raise AttemptNotSent
                if not self.directory.listens_at(endpoint, address):
                    continue  # the endpoint moved while connecting; another one may listen at its old address
                side = ClientSide()
                request = client_requests.attempt_request(
                    pending.request, self.request_table.time_left(pending)
                )
                attempt.connection = connection
                delivery.start()
                if pending.body is None:
                    try:
                        for piece in side.pieces(request):
                            await connection.send(piece)
                    except OSError:
                        if kept:
                            continue  # the endpoint closed the idle connection before it handled a byte
                        raise
                    attempt.fully_sent, attempt.sent_at = True, self.request_table.engine.clock.now()
                    answer = await self.read_attempt_response(connection, side, pending, attempt)
                    attempt.unread_time = connection.unread_time()
                else:
                    answer = await self.exchange_streaming(connection, side, pending, attempt, request)
                await self.stream_response(pending, attempt, answer, side)
                if side.reusable():
                    self.return_to_pool(connection, endpoint, address)
                    connection = None
                return answer
            finally:
                delivery.stop()
                attempt.connection = None
                if connection is not None:
                    connection.recall_unacknowledged()  # what was given up must not run later
                    connection.close()

    def may_send(self, pending: PendingRequest, attempt: Attempt) -> bool:
        """One more look before the first byte, as all of this can change while connecting: a settled request
        gets no attempt, a draining endpoint no new requests, and a repeat stays in its window and group."""
        if pending.settled or not self.directory.accepts_attempts(attempt.endpoint):
            return False
        if pending.body is not None and self.request_table.time_left(pending) <= 0:
            return False
        engine = self.request_table.engine
        return len(pending.attempts) < 2 or engine.clock.now() < engine.sidecar.send_limit(
            pending.metadata.request_id, attempt.number
        )

    def withdraw_if_disconnected(self, pending: PendingRequest) -> None:
        """Guards against attempts for a client that has disconnected but whose end of stream is still unread.
        If the loop lags, or the connection was only just accepted, the attempt may run before the task that
        waits for that end."""
        engine = self.request_table.engine
        unseen = (
            pending.client.unanswered
            or engine.lateness > UNSEEN_LATENESS_US
            or engine.clock.now() - pending.received_at > UNSEEN_AGE_US
        )
        if unseen and not pending.settled:
            incomplete = pending.body is not None and not pending.body.complete
            # `check_disconnected` reads only a bounded number of bytes; past them only the kernel knows the
            # end.
            if pending.client.has_disconnected() or not incomplete and pending.client.check_disconnected():
                self.request_table.withdraw(pending)

    async def stream_response(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        answer: Answer,
        side: ClientSide,
    ) -> None:
        """Lends the connection to the client's task if the response is taken in parts and goes to the client.
        Any other such response is discarded."""
        if not self.is_forwarded(pending, attempt):
            taken_in_parts = side.large or attempt.reader.is_open_ended()
            if not taken_in_parts or answer.status != 200 or pending.settled:
                return
            due_at = None if side.large else attempt.deadline.at
            stream = ResponseStream(attempt.reader, attempt, due_at)
            self.request_table.start_response_stream(pending, attempt, answer, stream)
        pending.stream.lend()
        await pending.stream.finished.wait()

    def is_forwarded(self, pending: PendingRequest, attempt: Attempt) -> bool:
        return pending.stream is not None and pending.stream.attempt is attempt

    async def exchange_streaming(
        self,
        connection: Connection,
        side: ClientSide,
        pending: PendingRequest,
        attempt: Attempt,
        request: Request,
    ) -> Answer:
        """Sends a body while it arrives, and listens meanwhile: an early response stops the sending."""
        failed: Exception | None = None
        answer: Answer | None = None

        async def send_all() -> None:
            nonlocal failed
            try:
                self.withdraw_if_disconnected(pending)  # the loop has run several times since the last check
                if pending.settled:
                    raise BodyUnavailable
                await self.send_body(connection, side, pending.body, request)
                attempt.fully_sent, attempt.sent_at = True, self.request_table.engine.clock.now()
            except (BodyUnavailable, SendRecalled):
                failed = AttemptNotSent()
                group.cancel_scope.cancel()
            except OSError:
                # A response sent before the endpoint closed may still be unread; the end of the stream
                # follows at once.
                group.cancel_scope.deadline = anyio.current_time() + EARLY_RESPONSE_S

        async with anyio.create_task_group() as group:
            group.start_soon(send_all)
            try:
                answer = await self.read_attempt_response(connection, side, pending, attempt)
                attempt.unread_time = connection.unread_time()
            except (OSError, Garbled) as error:
                failed = failed or error
            group.cancel_scope.cancel()
        if answer is None:
            raise failed or ConnectionResetError("connection broke while the request was sent")
        if answer.status == 200 and not attempt.fully_sent:
            raise PrematureResponse
        return answer

    async def send_body(
        self, connection: Connection, side: ClientSide, body: RequestBody, request: Request
    ) -> None:
        length = body.end if body.complete else body.length
        if not body.can_restart():
            raise BodyUnavailable
        await connection.send(side.begin(request, length, chunked=length is None))
        at = number = 0
        while part := await body.read(at, number):
            await connection.send(side.part(part))
            at, number = at + len(part), number + 1
        if rest := side.end():
            await connection.send(rest)

    def return_to_pool(self, connection: Connection, endpoint: str, address: str) -> None:
        """Keeps the connection unless it was recalled meanwhile, or the endpoint has gone, as another one may
        listen at its address now."""
        if not connection.writing_ended and self.directory.listens_at(endpoint, address):
            self.pool.keep(connection, endpoint)
        else:
            connection.close()

    def address_of(self, endpoint: str) -> str:
        address = self.directory.addresses.get(endpoint)
        if address is None:
            raise Unconnected(f"no address for {endpoint}")
        return address

    async def read_attempt_response(
        self, connection: Connection, side: ClientSide, pending: PendingRequest, attempt: Attempt
    ) -> Answer:
        table = self.request_table
        attempt.reader = ResponseReader(
            connection,
            side,
            attempt.deadline,
            pending.memory,
            partial(table.report_stall, pending, attempt),
            partial(table.report_open_ended, pending, attempt),
            partial(table.report_bytes, pending.metadata.request_id, attempt),
        )
        return await attempt.reader.read()

    async def probe(self, endpoint: str) -> None:
        clock = self.request_table.engine.clock
        began, outcome, load = clock.now(), t.Outcome.TIMED_OUT, None
        deadline = Deadline(anyio.current_time() + 2 * self.pool.timeout_s)
        try:
            with deadline.scope:
                answer = await self.exchange(
                    endpoint, client_requests.probe_request(self.load_reported), deadline
                )
                outcome, load = client_requests.probe_result(answer)
        except Unconnected:
            outcome = t.Outcome.UNCONNECTED
        except (OSError, Garbled):
            outcome = t.Outcome.RESET
        except NoDescriptor:
            outcome = t.Outcome.UNSENT
        except Exception as error:
            self.log("task_failed", task="probe", **error_fields(error))
        try:
            self.request_table.engine.handle_event(t.ProbeEnded(endpoint, outcome, clock.now() - began, load))
        except Exception as error:
            self.log("task_failed", task="probe", **error_fields(error))

    async def exchange(self, endpoint: str, request: Request, deadline: Deadline) -> Answer:
        """Sends a request that is safe to repeat: if a kept connection turns out to be closed, a new one is
        opened."""
        while True:
            address = self.address_of(endpoint)
            kept = self.pool.reuse(endpoint)
            connection: Connection | None = kept or await self.pool.open(address)
            try:
                if self.directory.addresses.get(endpoint, address) != address:
                    continue
                side = ClientSide()
                await connection.send(side.ask(request))
                answer = await ResponseReader(connection, side, deadline).read()
                if side.reusable():
                    self.return_to_pool(connection, endpoint, address)
                    connection = None
                return answer
            except OSError:
                if not kept:
                    raise
                # back to the limit of the whole attempt, not only of the wait
                deadline.reschedule(deadline.at)
            finally:
                if connection is not None:
                    connection.close()
