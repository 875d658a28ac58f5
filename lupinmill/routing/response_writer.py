"""Waits for a request's final response while watching its client, and writes the response."""

from __future__ import annotations

import anyio
import h11

from lupinmill.protocol.client_requests import aborted_response
from lupinmill.protocol.http import Answer, ServerSide
from lupinmill.routing.engine import Log
from lupinmill.routing.request_table import PendingRequest, RequestTable
from lupinmill.routing.response_stream import IncompleteResponse, ResponseStream
from lupinmill.transport.client import MAX_DROPPED_BYTES, Client, CloseReason

# microseconds after the hard limit without a decision; reached only if the decision module fails
DECISION_BACKSTOP_US = 20_000
WRITE_TIMEOUT_S = 5.0  # seconds that a client may leave its response unread
# Seconds without an acknowledged byte after which a client counts as gone in the middle of a large response.
# A kernel with a full receive buffer acknowledges in steps of up to a sixteenth of it: 2 MiB of 32 MiB, for
# which a client that reads 64 kB a second takes 32.8 s.
STREAM_STALL_TIMEOUT_S = 35.0


class ResponseWriter:
    def __init__(self, request_table: RequestTable, log: Log) -> None:
        self.request_table, self.log = request_table, log
        # Of large responses that the end of the connection ends, where a kill would pass for their end.
        self.close_delimited: set[anyio.CancelScope] = set()

    async def final_answer(self, client: Client, pending: PendingRequest) -> Answer | None:
        """Returns None if the client has disconnected.

        Settling the request cancels the wait. A second waiting task would cost a tenth of all the work for a
        request."""
        try:
            with anyio.move_on_after(self.seconds_to_decision(pending)) as pending.client_wait:
                if not pending.settled:
                    await client.wait_disconnected()  # anything it sends meanwhile has to wait
                    self.request_table.withdraw(pending)
            pending.client_wait = None
            if not pending.settled:
                # The loop may have been blocked past the hard limit, with the timer still to fire.
                await self.request_table.engine.catch_up()
        finally:
            pending.client_wait = None
            self.abort_if_undecided(pending)
        return pending.answer

    def seconds_to_decision(self, pending: PendingRequest) -> float:
        """Seconds until the decision module has decided, unless it fails."""
        return (pending.due + DECISION_BACKSTOP_US - self.request_table.engine.clock.now()) / 1_000_000

    def abort_if_undecided(self, pending: PendingRequest) -> None:
        """Aborts a request without a decision. An attempt may have run, so this is no rejection."""
        if not pending.settled:
            self.request_table.withdraw(pending)
            pending.answer = aborted_response()
            self.log("backstop", submission=pending.metadata.request_id)

    async def send_stream(
        self, client: Client, side: ServerSide, answer: Answer, stream: ResponseStream, close: bool
    ) -> bool:
        """Like `send_answer`, for a large response, part by part; afterwards the connection is the attempt's
        again.

        A client that cannot tell a truncated response from a complete one gets a reset; what was written
        before is acknowledged by then (`closing.py`)."""
        complete, began = False, False
        scope = anyio.CancelScope()
        try:
            head = side.begin(answer, stream.side.length, close)
            client.response_due = False
            client.response_starts()
            if not side.truncation_detectable():
                self.close_delimited.add(scope)
            with scope:
                await self.write(client, head)
                while data := await stream.next_part():
                    began = True
                    await self.write(client, side.part(data))
                await self.write(client, side.end())
                complete = True
            if not complete:
                client.close_reason = CloseReason.CANCELLED
        except (IncompleteResponse, h11.LocalProtocolError) as error:
            client.close_reason = CloseReason.BROKEN_ANSWER
            self.log("answer_broken", error=str(error), began=began)
        except TimeoutError:
            client.close_reason = CloseReason.NOT_READ
        finally:
            self.close_delimited.discard(scope)
            if not complete and not client.response_due:
                client.lingers, client.resets = True, not side.truncation_detectable()
            stream.finish()
        return complete and self.goes_on(client, side)

    def break_off_close_delimited(self) -> None:
        """Ends, by a reset, the large responses whose clients could not tell that a kill had cut them off."""
        for scope in list(self.close_delimited):
            scope.cancel()

    async def write(self, client: Client, data: bytes) -> None:
        await client.send_while_read(data, STREAM_STALL_TIMEOUT_S)

    async def send_answer(
        self,
        client: Client,
        side: ServerSide,
        answer: Answer,
        close: bool,
        max_bytes: int = MAX_DROPPED_BYTES,
    ) -> bool:
        """Returns True if the connection can serve another request. Up to `max_bytes` of the client's further
        input are read and dropped."""
        pieces = side.pieces(answer, close)
        client.response_due = False
        client.response_starts()
        with anyio.move_on_after(WRITE_TIMEOUT_S) as scope:
            for piece in pieces:
                await client.send(piece)
        client.max_dropped = max_bytes
        if scope.cancelled_caught:
            client.close_reason, client.lingers = CloseReason.NOT_READ, True
            return False
        return self.goes_on(client, side)

    def goes_on(self, client: Client, side: ServerSide) -> bool:
        """Whether the connection can serve another request. If not, its last response has to be read."""
        if side.goes_on():
            return True
        client.lingers = True
        client.close_reason = client.close_reason or CloseReason.ANSWERED
        return False
