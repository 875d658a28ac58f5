"""Take in: one client connection, submission after submission."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import h11

from lupinmill.protocol.http import (
    END,
    LARGEST_BODY,
    SMALL,
    Answer,
    Malformed,
    Request,
    ServerSide,
    length_of,
    plain,
)
from lupinmill.protocol.submission import denied
from lupinmill.routing.request_factory import RequestFactory
from lupinmill.routing.request_body import RequestBody
from lupinmill.routing.request_table import PendingRequest
from lupinmill.routing.admission import AdmissionController
from lupinmill.routing.engine import Log, error_fields
from lupinmill.routing.response_writer import ResponseWriter
from lupinmill.transport.client import Client
from lupinmill.transport.listener import REQUEST_TIMEOUT_S, Listener
from lupinmill.transport.buffers import MemoryBudget

MAX_BUFFERED_BODY = (
    1024 * 1024
)  # bytes of a body that are waited for before it is launched, where the shelf has room
MIN_UPLOAD_RATE = 48_000  # bytes a second; what comes slower than that is not waited for
TURN_AWAY_TIMEOUT_S = 0.5  # seconds for a request on a connection that there is no descriptor for
# To a request that was read and has no answer when its task ends. No denial: an attempt may have run.
FALLBACK_ANSWER = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


@dataclass(slots=True)
class ReadDeadline:
    """Until when a request has to be whole, by the loop's clock."""

    until: float
    expired: bool = False  # it has passed, and what lay unread then was read


class ClientHandler:
    def __init__(
        self,
        listener: Listener,
        request_factory: RequestFactory,
        response_writer: ResponseWriter,
        admission: AdmissionController,
        retry_after: int,
        log: Log,
        body_memory: MemoryBudget,
    ) -> None:
        self.listener, self.request_factory, self.response_writer, self.admission, self.log = (
            listener,
            request_factory,
            response_writer,
            admission,
            log,
        )
        self.body_memory = body_memory
        self.retry_after = (
            retry_after  # microseconds after which those may come back that there is no place for
        )
        self.closing = lambda: False  # answers close their connections
        self.hand_over_client: Callable[[Client], bool] | None = (
            None  # to the next process, with what lies unread
        )
        self.in_progress = 0  # clients whose request was taken up and whose answer isn't written
        self.internal_errors = 0  # clients' tasks that ended by one

    @property
    def answering(self) -> int:
        """Clients whose request is whole and whose answer isn't written."""
        return self.in_progress + self.admission.gate.held

    async def serve(self, client: Client, welcome: bool) -> None:
        """However the work on its requests ends, none that was read is left without an answer."""
        try:
            with client:
                try:
                    await self.handle(client, welcome)
                finally:
                    self.admission.leave(client)
                    answered = self.send_fallback_answer(client)
                if answered:
                    await self.response_writer.linger(client)
        except OSError:
            pass  # the client's side broke or is stuck: all it held is given back above

    async def handle(self, client: Client, welcome: bool) -> None:
        try:
            if welcome:
                await self.serve_requests(client)
            else:
                await self.turn_away(client)
        except OSError:
            pass  # as above; also a time that is over
        except Exception as error:
            self.internal_errors += 1
            self.log("task_failed", task="client", **error_fields(error))

    def send_fallback_answer(self, client: Client) -> bool:
        """Written at once: the task may have been cancelled, and can wait for nothing."""
        if not client.response_due or client.has_disconnected():
            return False
        client.response_due = False
        try:
            return client.sock.send(FALLBACK_ANSWER) == len(FALLBACK_ANSWER)
        except OSError:
            return False

    async def serve_requests(self, client: Client) -> None:
        side = ServerSide()
        while not self.hand_over(client, side):
            try:
                received = await self.read_request(client, side)
                if received is not None:
                    if not await self.handle_request(client, side, *received):
                        return
                elif not await self.has_next_request(client, side):
                    return
            except Malformed as error:
                await self.send_rejection(client, side, plain(error.status, f"{error}\n"))
                return
            self.admission.leave(client)

    async def send_rejection(self, client: Client, side: ServerSide, answer: Answer) -> None:
        """Of what was no whole request."""
        client.response_due = True
        await self.response_writer.send_answer(client, side, answer, True, LARGEST_BODY)

    async def handle_request(
        self, client: Client, side: ServerSide, request: Request, body: RequestBody | None
    ) -> bool:
        """True when the connection can serve another one."""
        client.has_requested = client.response_due = True
        self.in_progress += 1
        try:
            goes_on = await self.serve_request(client, side, request, body)
        finally:
            self.in_progress -= 1
        client.unanswered = False
        return goes_on

    async def has_next_request(self, client: Client, side: ServerSide) -> bool:
        """Where no request came: True if one lies unread still that this process has to serve, since it could
        not be passed on."""
        if client.pipelined_dropped:
            await self.response_writer.linger(client)  # an answer that was just written must not be lost
            return False
        return (
            not self.hand_over(client, side)
            and not client.closed
            and not client.unwritable
            and client.has_unread()
        )

    async def serve_request(
        self, client: Client, side: ServerSide, request: Request, body: RequestBody | None
    ) -> bool:
        """True when the connection can serve another one."""
        incomplete = body is not None and not body.complete
        if not incomplete:
            self.admission.enter(client)  # what comes slowly takes none of the core until it is whole
        admitted = self.open_request(client, request, body)
        if isinstance(admitted, Answer):
            return await self.response_writer.send_answer(
                client, side, admitted, self.must_close(client, side)
            )
        pending = admitted
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
            if pending.stream is not None:
                self.admission.leave(client)  # what passes now takes as long as its reader does
                return await self.response_writer.send_stream(
                    client, side, answer, pending.stream, self.must_close(client, side)
                )
            return await self.response_writer.send_answer(
                client, side, answer, self.must_close(client, side), LARGEST_BODY
            )
        finally:
            if pending.stream is not None:
                pending.stream.finish()
            if not pending.settled:
                self.response_writer.request_table.withdraw(pending)

    def must_close(self, client: Client, side: ServerSide) -> bool:
        """Its answer ends the connection: this sidecar sends its clients away, or bytes of a next request
        were dropped, which can't be made up for. Not while more was read that has to be answered, as long as
        that can be: a client that always sends ahead must not hold up the end of the program."""
        if not client.pipelined_dropped and not self.closing():
            return False
        return self.request_factory.past_drain_deadline() or not self.has_pipelined_request(client, side)

    def has_pipelined_request(self, client: Client, side: ServerSide) -> bool:
        """A further request was read, whole; or a part of one whose rest can still come."""
        pipelined = side.incoming.rest() + b"".join(piece.data for piece in client.pipelined)
        if not pipelined or side.http.their_state is not h11.DONE:
            return False
        parser = ServerSide()
        try:
            parser.feed(pipelined)
            return parser.next_request() is not None or parser.begun() and not client.pipelined_dropped
        except Malformed:
            return False

    def open_request(
        self, client: Client, request: Request, body: RequestBody | None
    ) -> PendingRequest | Answer:
        to_come = 0.0
        if body is not None and not body.complete:
            to_come = REQUEST_TIMEOUT_S + ((body.length or LARGEST_BODY) - body.end) / MIN_UPLOAD_RATE
        admitted: PendingRequest | Answer | None = None
        try:
            admitted = self.request_factory.create(request, client, body, to_come)
            return admitted
        finally:
            if body is not None and not isinstance(admitted, PendingRequest):
                body.drop()

    async def receive_body(
        self, client: Client, side: ServerSide, pending: PendingRequest, body: RequestBody
    ) -> bool:
        """The rest of a body to the launch that sends it on, until it is whole or its submission settled.
        False where nobody waits for an answer any more."""
        complete = False
        try:
            with anyio.move_on_after(self.response_writer.seconds_to_decision(pending)) as scope:
                pending.client_wait = scope
                if not pending.settled:
                    complete = await self.collect_body(client, side, body, LARGEST_BODY)
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
        left, waits = pending.metadata.left, client.elapsed_wait()
        due, latest_start = (
            self.request_factory.due(left, waits.at_least),
            self.request_factory.due(left, waits.at_most),
        )
        self.response_writer.request_table.body_received(pending, due, latest_start)
        return True

    async def read_request(
        self, client: Client, side: ServerSide
    ) -> tuple[Request, RequestBody | None] | None:
        """The next request, whole or with a body that still comes; None where there is none. Malformed also
        where it does not come in its time."""
        part = side.next_part()
        while part is None and not side.begun():
            if not (data := await self.listener.next_bytes(client)):
                return None
            side.feed(data)
            part = side.next_part()
        if part is None:
            deadline = ReadDeadline(anyio.current_time() + REQUEST_TIMEOUT_S)  # however it trickles
            while part is None:
                if not await self.read_more(client, side, deadline):
                    return None
                part = side.next_part()
        request = side.request
        assert request is not None and part is request
        return await self.read_body(client, side, request)

    async def read_body(
        self, client: Client, side: ServerSide, request: Request
    ) -> tuple[Request, RequestBody | None] | None:
        """Whole up to 64 KiB, and up to 1 MiB while the shelf has room."""
        received, began = bytearray(), 0.0
        deadline: ReadDeadline | None = None  # most have come whole with their head, and need none
        while (part := side.next_part()) is not END and len(received) <= SMALL:
            if isinstance(part, (bytes, bytearray)):
                received += part
                continue
            if deadline is None:
                began = anyio.current_time()
                deadline = ReadDeadline(began + REQUEST_TIMEOUT_S)
            deadline.until = began + REQUEST_TIMEOUT_S + side.size / MIN_UPLOAD_RATE
            if not await self.read_more(client, side, deadline):
                return None
        if part is END:
            request.body = bytes(received)
            return request, None
        if isinstance(part, (bytes, bytearray)):
            received += part
        body = RequestBody(self.body_memory, length_of(request.headers))
        try:
            await body.put(bytes(received), False)
            received.clear()
            if body.fully_buffered() and not await self.collect_body(client, side, body, MAX_BUFFERED_BODY):
                body.drop()
                return None
        except BaseException:
            body.drop()
            raise
        return request, body

    async def collect_body(self, client: Client, side: ServerSide, body: RequestBody, max_bytes: int) -> bool:
        """Up to the end, or until so much is there or the shelf is full. It may come slowly: time in which
        nobody takes what is there already doesn't count. False where the client left."""
        began, before = anyio.current_time(), side.size
        deadline = ReadDeadline(began + REQUEST_TIMEOUT_S)
        while body.end < max_bytes or max_bytes == LARGEST_BODY:
            part = side.next_part()
            if part is END:
                body.finish()
                return True
            if part is None:
                if not await self.read_more(client, side, deadline):
                    return False
            else:
                asked = anyio.current_time()
                await body.put(part, max_bytes == LARGEST_BODY)
                began += anyio.current_time() - asked
                if max_bytes < LARGEST_BODY and not body.fully_buffered():
                    break
                deadline.until = began + REQUEST_TIMEOUT_S + (side.size - before) / MIN_UPLOAD_RATE
        return True

    async def read_more(self, client: Client, side: ServerSide, deadline: ReadDeadline) -> bool:
        """Reads on; False at the client's end. Once the time is over what lies unread is read once more: for
        that it was this loop that came late."""
        data = b""
        with anyio.CancelScope(deadline=deadline.until) as scope:
            if ahead := side.go_ahead():
                await client.send(ahead)
            data = await client.receive()
        if scope.cancelled_caught:
            if not deadline.expired:
                deadline.expired, data = True, await client.receive_unread()
            if not data:
                raise Malformed(408, "the request did not come whole in its time")
        if data:
            side.feed(data)
        return bool(data)

    def hand_over(self, client: Client, side: ServerSide) -> bool:
        """Between two requests alone, with not a byte read of the next."""
        if self.hand_over_client is None or client.unwritable or client.pipelined or side.begun():
            return False
        return self.hand_over_client(client)

    async def turn_away(self, client: Client) -> None:
        """No descriptor to serve it with: what it asks is denied at once, and nothing was launched. Whether
        this sidecar is ready is told as it is: by a front that hears 503 it would not be taken in."""
        side, deadline = ServerSide(SMALL), ReadDeadline(anyio.current_time() + TURN_AWAY_TIMEOUT_S)
        goes_on = True
        while goes_on:
            try:
                while (request := side.next_request()) is None:
                    if not await self.read_more(client, side, deadline):
                        return
            except Malformed as error:
                await self.turn_away_malformed(client, side, error)
                return
            client.response_due = True
            answer = self.request_factory.readiness(request) or denied(self.retry_after)
            goes_on = await self.response_writer.send_answer(client, side, answer, not side.begun())

    async def turn_away_malformed(self, client: Client, side: ServerSide, error: Malformed) -> None:
        if error.status == 408 and not side.begun():
            return  # it never said a word
        # What is too large for this way alone is denied as all else is.
        answer = denied(self.retry_after) if error.status == 413 else plain(error.status, f"{error}\n")
        await self.send_rejection(client, side, answer)
