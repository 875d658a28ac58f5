"""Serves one client connection, request after request."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import h11

from lupinmill.handover.id_claims import ClaimResult, IdClaims
from lupinmill.protocol.client_requests import aborted_response, rejection
from lupinmill.protocol.http import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY,
    Answer,
    Malformed,
    Request,
    ServerSide,
    plain,
)
from lupinmill.routing.admission import AdmissionController
from lupinmill.routing.engine import Log, error_fields
from lupinmill.routing.request_body import RequestBody
from lupinmill.routing.request_factory import RequestFactory
from lupinmill.routing.request_reader import (
    BodyOverdue,
    MemoryShortage,
    ReadDeadline,
    ReceivedRequest,
    RequestReader,
    discard_body,
    max_upload_time,
)
from lupinmill.routing.request_table import PendingRequest
from lupinmill.routing.response_writer import ResponseWriter
from lupinmill.routing.used_ids import digest_of
from lupinmill.transport.buffers import MemoryBudget
from lupinmill.transport.client import Client, CloseReason
from lupinmill.transport.closing import LINGER_S, MAX_LINGER_S
from lupinmill.transport.listener import Listener

TURN_AWAY_TIMEOUT_S = 0.5  # seconds for a request on a connection for which no descriptor is free
# Sent if a request was read in full and its task ends without a response. It is not the response of a
# rejection, because an attempt may have run.
FALLBACK_ANSWER = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class ClientHandler:
    def __init__(
        self,
        listener: Listener,
        request_factory: RequestFactory,
        response_writer: ResponseWriter,
        admission: AdmissionController,
        retry_after: int,
        log: Log,
        request_memory: MemoryBudget,
        body_memory: MemoryBudget,
    ) -> None:
        self.listener, self.request_factory, self.response_writer, self.admission, self.log = (
            listener,
            request_factory,
            response_writer,
            admission,
            log,
        )
        self.reader = RequestReader(listener, request_factory.readiness, request_memory, body_memory)
        self.on_memory_shortage: Callable[[], None] = lambda: None
        self.retry_after = retry_after  # microseconds to advise in Retry-After when a client is turned away
        self.closing = lambda: False  # whether responses close their connections
        # passes an idle connection, with its unread bytes, to the next process
        self.hand_over_client: Callable[[Client], bool] | None = None
        self.id_claims: IdClaims | None = None  # while there may be a process before this one
        self.in_progress = 0  # clients whose request is being handled and whose response is not written
        self.internal_errors = 0  # client tasks that ended with an unexpected exception

    @property
    def answering(self) -> int:
        """Number of clients whose request is complete and whose response is not written."""
        return self.in_progress + self.admission.gate.held

    async def serve(self, client: Client, welcome: bool) -> None:
        """Serves the connection. A request that was read in full gets a response, however its task ends."""
        closer = self.listener.closer
        try:
            with client:
                try:
                    await self.serve_and_finish(client, welcome)
                except anyio.get_cancelled_exc_class():
                    client.close_reason = CloseReason.CANCELLED
                    raise
                finally:
                    closer.record(client)
        except OSError:
            pass  # the client disconnected or does not read; everything it held is released above

    async def serve_and_finish(self, client: Client, welcome: bool) -> None:
        try:
            await self.handle(client, welcome)
        finally:
            self.admission.leave(client)
            self.send_fallback_answer(client)
        # one without a place holds up those that wait to be turned away
        await self.listener.closer.finish(client, MAX_LINGER_S if welcome else LINGER_S)

    async def handle(self, client: Client, welcome: bool) -> None:
        try:
            if welcome:
                await self.serve_requests(client)
            else:
                await self.turn_away(client)
        except OSError:
            pass  # as above; also a time-out
        except Exception as error:
            self.internal_errors += 1
            self.log("task_failed", task="client", **error_fields(error))

    def send_fallback_answer(self, client: Client) -> None:
        """Writes without waiting, because the task may have been cancelled."""
        if not client.response_due or client.has_disconnected():
            return
        client.response_due = False
        try:
            client.lingers = client.sock.send(FALLBACK_ANSWER) == len(FALLBACK_ANSWER)
        except OSError:
            pass

    async def serve_requests(self, client: Client) -> None:
        side = ServerSide()
        while not self.hand_over(client, side):
            refusal: MemoryShortage | BodyOverdue | Malformed | None = None
            try:
                if not await self.serve_next_request(client, side):
                    return
            except (MemoryShortage, BodyOverdue, Malformed) as error:
                refusal = error.with_traceback(None)  # which would keep what was read until it is answered
            if refusal is not None and not await self.refuse(client, side, refusal):
                return
            self.admission.leave(client)

    async def serve_next_request(self, client: Client, side: ServerSide) -> bool:
        """Returns True if the connection can serve another request. Nothing of the request outlives the call:
        the connection may then be idle for long."""
        received = await self.reader.read_request(client, side)
        if received is None:
            return await self.has_next_request(client, side)
        return await self.handle_request(client, side, received)

    async def refuse(
        self, client: Client, side: ServerSide, refusal: MemoryShortage | BodyOverdue | Malformed
    ) -> bool:
        """Answers a request that can't be served. Returns True if the connection can serve another one."""
        if isinstance(refusal, MemoryShortage):
            self.on_memory_shortage()
            return await self.reject_unread(client, side)
        if isinstance(refusal, BodyOverdue):
            return await self.reject_unread(client, side)
        await self.send_rejection(client, side, plain(refusal.status, f"{refusal}\n"))
        return False

    async def send_rejection(self, client: Client, side: ServerSide, answer: Answer) -> None:
        """Answers a request that is malformed or incomplete."""
        client.response_due, client.close_reason = True, CloseReason.REFUSED
        await self.response_writer.send_answer(client, side, answer, True, MAX_BODY_BYTES)

    async def reject_unread(self, client: Client, side: ServerSide) -> bool:
        """Rejects a request at once, whether or not all of it has come. Returns True if the connection can
        serve another one."""
        client.has_requested = client.response_due = True
        whole = discard_body(side)
        answer = rejection(self.retry_after)
        close = not whole or self.must_close(client, side)
        goes_on = await self.response_writer.send_answer(client, side, answer, close, MAX_BODY_BYTES)
        client.unanswered = False
        return goes_on

    async def handle_request(self, client: Client, side: ServerSide, received: ReceivedRequest) -> bool:
        """Returns True if the connection can serve another request."""
        client.has_requested = client.response_due = True
        self.in_progress += 1
        try:
            goes_on = await self.serve_request(client, side, received)
        finally:
            self.in_progress -= 1
            received.memory.release()
        client.unanswered = False
        return goes_on

    async def has_next_request(self, client: Client, side: ServerSide) -> bool:
        """Called when no request was read. Returns True if one is still unread that this process must serve,
        because the connection could not be handed over."""
        if client.pipelined_dropped:
            client.lingers = True  # the response that was just written must not be lost
            return False
        return (
            not self.hand_over(client, side)
            and not client.closed
            and not client.unwritable
            and client.has_unread()
        )

    async def serve_request(self, client: Client, side: ServerSide, received: ReceivedRequest) -> bool:
        """Returns True if the connection can serve another request."""
        body = received.body
        incomplete = body is not None and not body.complete
        if not incomplete:
            self.admission.enter(client)  # a slow upload is admitted only when it is complete
        await self.request_factory.wait_for_list(received.request)
        opened = await self.id_refusal(received) or self.open_request(client, received)
        if isinstance(opened, Answer):
            return await self.response_writer.send_answer(client, side, opened, self.must_close(client, side))
        pending = opened
        try:
            if incomplete:
                if not await self.receive_body(client, side, pending, body):
                    return False
                self.admission.enter(client)
            answer = (
                pending.answer
                if pending.settled
                else await self.response_writer.final_answer(client, pending)
            )
            if answer is None:
                return False
            self.response_writer.request_table.log_if_late(pending, answer)
            if pending.stream is not None:
                # from here on the duration depends on the client's reading speed
                self.admission.leave(client)
                return await self.response_writer.send_stream(
                    client, side, answer, pending.stream, self.must_close(client, side)
                )
            return await self.response_writer.send_answer(
                client, side, answer, self.must_close(client, side), MAX_BODY_BYTES
            )
        finally:
            if pending.stream is not None:
                pending.stream.finish()
            if not pending.settled:
                self.response_writer.request_table.withdraw(pending)

    async def id_refusal(self, received: ReceivedRequest) -> Answer | None:
        """The answer to a request whose id the process before this one has used; None if it has not."""
        claims = self.id_claims
        if claims is None or claims.predecessor is None:
            return None
        request_id = self.request_factory.unrepeatable_id(received.request)
        if request_id is None:
            return None
        result = await claims.claim(digest_of(request_id))
        if result is ClaimResult.FREE:
            return None
        if received.body is not None:
            received.body.drop()
        if result is ClaimResult.UNKNOWN:
            return aborted_response()  # it may have run there
        refusal = self.request_factory.used_id(request_id)
        return plain(refusal.status, f"{refusal}\n")

    def must_close(self, client: Client, side: ServerSide) -> bool:
        """Whether the response must end the connection: this sidecar is closing its connections, or pipelined
        bytes were dropped and cannot be recovered. Not while another request has been read that must be
        answered, until the drain deadline: a client that always pipelines must not delay the shutdown."""
        if not client.pipelined_dropped and not self.closing():
            return False
        return self.request_factory.past_drain_deadline() or not self.has_pipelined_request(client, side)

    def has_pipelined_request(self, client: Client, side: ServerSide) -> bool:
        """Whether another request was read in full, or in part if the rest can still arrive."""
        pipelined = side.incoming.rest() + b"".join(piece.data for piece in client.pipelined)
        if not pipelined or side.http.their_state is not h11.DONE:
            return False
        parser = ServerSide()
        try:
            parser.feed(pipelined)
            return parser.next_request() is not None or parser.begun() and not client.pipelined_dropped
        except Malformed:
            return False

    def open_request(self, client: Client, received: ReceivedRequest) -> PendingRequest | Answer:
        body, to_come = received.body, 0.0
        if body is not None and not body.complete:
            to_come = max_upload_time(body)
        opened: PendingRequest | Answer | None = None
        try:
            opened = self.request_factory.create(received.request, client, body, to_come, received.memory)
            return opened
        finally:
            if body is not None and not isinstance(opened, PendingRequest):
                body.drop()

    async def receive_body(
        self, client: Client, side: ServerSide, pending: PendingRequest, body: RequestBody
    ) -> bool:
        """Passes the rest of a body to the attempt that sends it, until the body is complete or the request
        is settled. Returns False if nobody waits for a response any more."""
        complete = False
        try:
            with anyio.move_on_after(self.response_writer.seconds_to_decision(pending)) as scope:
                pending.client_wait = scope
                if not pending.settled:
                    left = pending.metadata.time_left
                    complete = await self.reader.collect_body(client, side, body, MAX_BODY_BYTES, left)
        except BodyOverdue:
            self.response_writer.request_table.reject_unsent(pending)
        except Malformed:
            if not pending.settled:
                raise
        finally:
            pending.client_wait = None
        if pending.settled:
            return True
        if scope.cancelled_caught:
            self.response_writer.abort_if_undecided(pending)
            return True
        if not complete:
            client.disconnected = True
            self.response_writer.request_table.withdraw(pending)
            return False
        left, waits = pending.metadata.time_left, client.elapsed_wait()
        due, latest_start = (
            self.request_factory.due(left, waits.at_least),
            self.request_factory.due(left, waits.at_most),
        )
        self.response_writer.request_table.body_received(pending, due, latest_start)
        return True

    def hand_over(self, client: Client, side: ServerSide) -> bool:
        """Hands the connection to the next process. Only between two requests, before a byte of the next is
        read."""
        if self.hand_over_client is None or client.unwritable or client.pipelined or side.begun():
            return False
        if not self.hand_over_client(client):
            return False
        client.close_reason = CloseReason.HANDED_OVER
        return True

    async def turn_away(self, client: Client) -> None:
        """Rejects requests on a connection for which no descriptor is free; no attempt is made for them. A
        readiness check still gets the true answer: a load balancer that receives 503 would not add this
        sidecar."""
        side = ServerSide(MAX_BUFFERED_BODY)
        deadline = ReadDeadline(anyio.current_time() + TURN_AWAY_TIMEOUT_S)
        client.close_reason = CloseReason.NO_PLACE
        goes_on = True
        while goes_on:
            request: Request | Malformed | None
            try:
                request = await self.reader.read_without_body(client, side, deadline)
            except Malformed as error:
                request = error.with_traceback(None)
            if request is None:
                return
            if isinstance(request, Malformed):
                await self.turn_away_malformed(client, side, request)
                return
            client.response_due = True
            answer = self.request_factory.readiness(request) or rejection(self.retry_after)
            request = None  # not kept while the next one is waited for
            goes_on = await self.response_writer.send_answer(client, side, answer, not side.begun())

    async def turn_away_malformed(self, client: Client, side: ServerSide, error: Malformed) -> None:
        if error.status == 408 and not side.begun():
            return  # it never sent a byte
        # A request that is too large only for this path, or whose body is too late only for it, is rejected
        # like any other.
        rejected = error.status == 413 or error.status == 408 and side.request is not None
        answer = rejection(self.retry_after) if rejected else plain(error.status, f"{error}\n")
        await self.send_rejection(client, side, answer)
