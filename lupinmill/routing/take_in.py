"""Take in: one client connection, submission after submission."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import h11

from lupinmill.protocol.http import (
    END,
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY,
    Answer,
    Malformed,
    Request,
    ServerSide,
    length_of,
    plain,
)
from lupinmill.protocol.client_requests import rejection
from lupinmill.routing.admit import Admit
from lupinmill.routing.body import Body
from lupinmill.routing.book import Journey
from lupinmill.routing.door import Door
from lupinmill.routing.engine import Log, defect
from lupinmill.routing.relay import Relay
from lupinmill.transport.client import Client
from lupinmill.transport.listener import WHOLE, Listener
from lupinmill.transport.ring import Shelf

KEPT = 1024 * 1024  # bytes of a body that are waited for before it is launched, where the shelf has room
PACE = 48_000  # bytes a second; what comes slower than that is not waited for
CROWDED_OUT = 0.5  # seconds for a request on a connection that there is no descriptor for
# To a request that was read and has no answer when its task ends. No denial: an attempt may have run.
LAST_ANSWER = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


@dataclass(slots=True)
class Limit:
    """Until when a request has to be whole, by the loop's clock."""

    until: float
    over: bool = False  # it has passed, and what lay unread then was read


class TakeIn:
    def __init__(
        self, listener: Listener, admit: Admit, relay: Relay, door: Door, advice: int, log: Log, shelf: Shelf
    ) -> None:
        self.listener, self.admit, self.relay, self.door, self.log = listener, admit, relay, door, log
        self.shelf = shelf
        self.advice = advice  # microseconds after which those may come back that there is no place for
        self.closing = lambda: False  # answers close their connections
        self.pass_on: Callable[[Client], bool] | None = None  # to the next process, with what lies unread
        self.taken = 0  # clients whose request was taken up and whose answer isn't written
        self.defects = 0  # clients' tasks that ended by one

    @property
    def answering(self) -> int:
        """Clients whose request is whole and whose answer isn't written."""
        return self.taken + self.door.gate.held

    async def serve(self, client: Client, welcome: bool) -> None:
        """However the work on its requests ends, none that was read is left without an answer."""
        try:
            with client:
                try:
                    await self.attend(client, welcome)
                finally:
                    self.door.leave(client)
                    answered = self.answer_owed(client)
                if answered:
                    await self.relay.linger(client)
        except OSError:
            pass  # the client's side broke or is stuck: all it held is given back above

    async def attend(self, client: Client, welcome: bool) -> None:
        try:
            if welcome:
                await self.converse(client)
            else:
                await self.turn_away(client)
        except OSError:
            pass  # as above; also a time that is over
        except Exception as error:
            self.defects += 1
            self.log("task_failed", task="client", **defect(error))

    def answer_owed(self, client: Client) -> bool:
        """Written at once: the task may have been cancelled, and can wait for nothing."""
        if not client.owed or client.ended():
            return False
        client.owed = False
        try:
            return client.sock.send(LAST_ANSWER) == len(LAST_ANSWER)
        except OSError:
            return False

    async def converse(self, client: Client) -> None:
        side = ServerSide()
        while not self.passed(client, side):
            try:
                taken = await self.read(client, side)
                if taken is not None:
                    if not await self.take_up(client, side, *taken):
                        return
                elif not await self.stays(client, side):
                    return
            except Malformed as error:
                await self.refuse(client, side, plain(error.status, f"{error}\n"))
                return
            self.door.leave(client)

    async def refuse(self, client: Client, side: ServerSide, answer: Answer) -> None:
        """Of what was no whole request."""
        client.owed = True
        await self.relay.pass_back(client, side, answer, True, MAX_BODY_BYTES)

    async def take_up(self, client: Client, side: ServerSide, request: Request, body: Body | None) -> bool:
        """True when the connection can serve another one."""
        client.asked = client.owed = True
        self.taken += 1
        try:
            goes_on = await self.serve_one(client, side, request, body)
        finally:
            self.taken -= 1
        client.new = False
        return goes_on

    async def stays(self, client: Client, side: ServerSide) -> bool:
        """Where no request came: True if one lies unread still that this process has to serve, since it could
        not be passed on."""
        if client.overrun:
            await self.relay.linger(client)  # an answer that was just written must not be lost
            return False
        return (
            not self.passed(client, side) and not client.closed and not client.broken and client.has_unread()
        )

    async def serve_one(self, client: Client, side: ServerSide, request: Request, body: Body | None) -> bool:
        """True when the connection can serve another one."""
        comes = body is not None and not body.whole
        if not comes:
            self.door.enter(client)  # what comes slowly takes none of the core until it is whole
        admitted = self.admitted(client, request, body)
        if isinstance(admitted, Answer):
            return await self.relay.pass_back(client, side, admitted, self.closes(client, side))
        journey = admitted
        try:
            if comes:
                if not await self.pump(client, side, journey, body):
                    return False
                self.door.enter(client)
            answer = journey.answer if journey.settled else await self.relay.final_answer(client, journey)
            if answer is None:
                return False
            if journey.stream is not None:
                self.door.leave(client)  # what passes now takes as long as its reader does
                return await self.relay.pass_stream(
                    client, side, answer, journey.stream, self.closes(client, side)
                )
            return await self.relay.pass_back(client, side, answer, self.closes(client, side), MAX_BODY_BYTES)
        finally:
            if journey.stream is not None:
                journey.stream.finish()
            if not journey.settled:
                self.relay.book.withdraw(journey)

    def closes(self, client: Client, side: ServerSide) -> bool:
        """Its answer ends the connection: this sidecar sends its clients away, or bytes of a next request
        were dropped, which can't be made up for. Not while more was read that has to be answered, as long as
        that can be: a client that always sends ahead must not hold up the end of the program."""
        if not client.overrun and not self.closing():
            return False
        return self.admit.over() or not self.next_was_read(client, side)

    def next_was_read(self, client: Client, side: ServerSide) -> bool:
        """A further request was read, whole; or a part of one whose rest can still come."""
        behind = side.incoming.rest() + b"".join(piece.data for piece in client.ahead)
        if not behind or side.http.their_state is not h11.DONE:
            return False
        judged = ServerSide()
        try:
            judged.feed(behind)
            return judged.next_request() is not None or judged.begun() and not client.overrun
        except Malformed:
            return False

    def admitted(self, client: Client, request: Request, body: Body | None) -> Journey | Answer:
        to_come = 0.0
        if body is not None and not body.whole:
            to_come = WHOLE + ((body.length or MAX_BODY_BYTES) - body.end) / PACE
        admitted: Journey | Answer | None = None
        try:
            admitted = self.admit.request(request, client, body, to_come)
            return admitted
        finally:
            if body is not None and not isinstance(admitted, Journey):
                body.drop()

    async def pump(self, client: Client, side: ServerSide, journey: Journey, body: Body) -> bool:
        """The rest of a body to the launch that sends it on, until it is whole or its submission settled.
        False where nobody waits for an answer any more."""
        there = False
        try:
            with anyio.move_on_after(self.relay.longest(journey)) as scope:
                journey.waiting = scope
                if not journey.settled:
                    there = await self.gather(client, side, body, MAX_BODY_BYTES)
        except Malformed:
            if not journey.settled:
                raise
        finally:
            journey.waiting = None
        if journey.settled:
            return True
        if scope.cancelled_caught:
            self.relay.give_up(journey)
            return True
        if not there:
            client.left = True
            self.relay.book.withdraw(journey)
            return False
        left, waits = journey.asked.time_left, client.waits()
        due, begin_by = self.admit.due(left, waits.at_least), self.admit.due(left, waits.at_most)
        self.relay.book.whole(journey, due, begin_by)
        return True

    async def read(self, client: Client, side: ServerSide) -> tuple[Request, Body | None] | None:
        """The next request, whole or with a body that still comes; None where there is none. Malformed also
        where it does not come in its time."""
        part = side.next_part()
        while part is None and not side.begun():
            if not (data := await self.listener.next_bytes(client)):
                return None
            side.feed(data)
            part = side.next_part()
        if part is None:
            limit = Limit(anyio.current_time() + WHOLE)  # however it trickles
            while part is None:
                if not await self.more(client, side, limit):
                    return None
                part = side.next_part()
        request = side.request
        assert request is not None and part is request
        return await self.read_body(client, side, request)

    async def read_body(
        self, client: Client, side: ServerSide, request: Request
    ) -> tuple[Request, Body | None] | None:
        """Whole up to 64 KiB, and up to 1 MiB while the shelf has room."""
        small, began = bytearray(), 0.0
        limit: Limit | None = None  # most have come whole with their head, and need none
        while (part := side.next_part()) is not END and len(small) <= MAX_BUFFERED_BODY:
            if isinstance(part, (bytes, bytearray)):
                small += part
                continue
            if limit is None:
                began = anyio.current_time()
                limit = Limit(began + WHOLE)
            limit.until = began + WHOLE + side.size / PACE
            if not await self.more(client, side, limit):
                return None
        if part is END:
            request.body = bytes(small)
            return request, None
        if isinstance(part, (bytes, bytearray)):
            small += part
        body = Body(self.shelf, length_of(request.headers))
        try:
            await body.put(bytes(small), False)
            small.clear()
            if body.kept() and not await self.gather(client, side, body, KEPT):
                body.drop()
                return None
        except BaseException:
            body.drop()
            raise
        return request, body

    async def gather(self, client: Client, side: ServerSide, body: Body, most: int) -> bool:
        """Up to the end, or until so much is there or the shelf is full. It may come slowly: time in which
        nobody takes what is there already doesn't count. False where the client left."""
        began, before = anyio.current_time(), side.size
        limit = Limit(began + WHOLE)
        while body.end < most or most == MAX_BODY_BYTES:
            part = side.next_part()
            if part is END:
                body.finish()
                return True
            if part is None:
                if not await self.more(client, side, limit):
                    return False
            else:
                asked = anyio.current_time()
                await body.put(part, most == MAX_BODY_BYTES)
                began += anyio.current_time() - asked
                if most < MAX_BODY_BYTES and not body.kept():
                    break
                limit.until = began + WHOLE + (side.size - before) / PACE
        return True

    async def more(self, client: Client, side: ServerSide, limit: Limit) -> bool:
        """Reads on; False at the client's end. Once the time is over what lies unread is read once more: for
        that it was this loop that came late."""
        data = b""
        with anyio.CancelScope(deadline=limit.until) as scope:
            if ahead := side.continue_response():
                await client.send(ahead)
            data = await client.receive()
        if scope.cancelled_caught:
            if not limit.over:
                limit.over, data = True, await client.receive_unread()
            if not data:
                raise Malformed(408, "the request did not come whole in its time")
        if data:
            side.feed(data)
        return bool(data)

    def passed(self, client: Client, side: ServerSide) -> bool:
        """Between two requests alone, with not a byte read of the next."""
        if self.pass_on is None or client.broken or client.ahead or side.begun():
            return False
        return self.pass_on(client)

    async def turn_away(self, client: Client) -> None:
        """No descriptor to serve it with: what it asks is denied at once, and nothing was launched. Whether
        this sidecar is ready is told as it is: by a front that hears 503 it would not be taken in."""
        side, limit = ServerSide(MAX_BUFFERED_BODY), Limit(anyio.current_time() + CROWDED_OUT)
        goes_on = True
        while goes_on:
            try:
                while (request := side.next_request()) is None:
                    if not await self.more(client, side, limit):
                        return
            except Malformed as error:
                await self.turn_away_malformed(client, side, error)
                return
            client.owed = True
            told = self.admit.readiness(request) or rejection(self.advice)
            goes_on = await self.relay.pass_back(client, side, told, not side.begun())

    async def turn_away_malformed(self, client: Client, side: ServerSide, error: Malformed) -> None:
        if error.status == 408 and not side.begun():
            return  # it never said a word
        # What is too large for this way alone is denied as all else is.
        answer = rejection(self.advice) if error.status == 413 else plain(error.status, f"{error}\n")
        await self.refuse(client, side, answer)
