"""Take in: one client connection, submission after submission."""

from __future__ import annotations

import math
from collections.abc import Callable

import anyio

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


class TakeIn:
    def __init__(
        self, listener: Listener, admit: Admit, relay: Relay, door: Door, advice: int, log: Log, shelf: Shelf
    ) -> None:
        self.listener, self.admit, self.relay, self.door, self.log = listener, admit, relay, door, log
        self.shelf = shelf
        self.advice = advice  # microseconds after which those may come back that there is no place for
        self.closing = lambda: False  # answers close their connections
        self.pass_on: Callable[[Client], bool] | None = None  # to the next process, with what lies unread
        self.answering = 0  # clients whose request is whole and whose answer isn't written

    async def serve(self, client: Client, welcome: bool) -> None:
        try:
            with client:
                if welcome:
                    await self.converse(client)
                else:
                    await self.turn_away(client)
        except (OSError, TimeoutError):
            pass  # the client's side broke or is stuck: all it held is given back above
        except Exception as error:
            self.log("task_failed", task="client", **defect(error))
        finally:
            self.door.leave(client)

    async def converse(self, client: Client) -> None:
        side = ServerSide()
        while True:
            if self.passed(client, side):
                return
            try:
                taken = await self.read(client, side)
                if taken is None:
                    self.passed(client, side)
                    return
                client.asked = True
                self.answering += 1
                try:
                    if not await self.serve_one(client, side, *taken):
                        return
                finally:
                    self.answering -= 1
                client.new = False
            except Malformed as error:
                await self.relay.pass_back(client, side, plain(error.status, f"{error}\n"), True)
                return
            self.door.leave(client)

    async def serve_one(self, client: Client, side: ServerSide, request: Request, body: Body | None) -> bool:
        """True when the connection can serve another one."""
        comes = body is not None and not body.whole
        if not comes:
            self.door.enter(client)  # what comes slowly takes none of the core until it is whole
        admitted = self.admitted(client, request, body)
        if isinstance(admitted, Answer):
            return await self.relay.pass_back(client, side, admitted, self.closing())
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
                return await self.relay.pass_stream(client, side, answer, journey.stream, self.closes(client))
            return await self.relay.pass_back(client, side, answer, self.closes(client), LARGEST_BODY)
        finally:
            if journey.stream is not None:
                journey.stream.finish()
            if not journey.settled:
                self.relay.book.withdraw(journey)

    def closes(self, client: Client) -> bool:
        """Its answer ends the connection: bytes of a next request that were dropped can't be made up for."""
        return client.overrun or self.closing()

    def admitted(self, client: Client, request: Request, body: Body | None) -> Journey | Answer:
        to_come = 0.0
        if body is not None and not body.whole:
            to_come = WHOLE + ((body.length or LARGEST_BODY) - body.end) / PACE
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
        with anyio.CancelScope() as journey.waiting:
            if not journey.settled:
                there = await self.gather(client, side, body, LARGEST_BODY)
        journey.waiting = None
        if journey.settled:
            return True
        if not there:
            self.relay.book.withdraw(journey)
            return False
        self.relay.book.whole(journey, self.admit.due(journey.asked.left, client.waited()))
        return True

    async def read(self, client: Client, side: ServerSide) -> tuple[Request, Body | None] | None:
        """The next request, whole or with a body that still comes; None where there is none."""
        part = side.next_part()
        while part is None and not side.begun():
            if not (data := await self.listener.next_bytes(client)):
                return None
            side.feed(data)
            part = side.next_part()
        if part is None:
            with anyio.fail_after(WHOLE):  # however it trickles
                while part is None:
                    if not (data := await client.receive()):
                        return None
                    side.feed(data)
                    part = side.next_part()
        request = side.request
        assert request is not None and part is request
        return await self.read_body(client, side, request)

    async def read_body(
        self, client: Client, side: ServerSide, request: Request
    ) -> tuple[Request, Body | None] | None:
        """Whole up to 64 KiB, and up to 1 MiB while the shelf has room."""
        small = bytearray()
        while isinstance(part := side.next_part(), (bytes, bytearray)):
            small += part
        if part is not END:  # most have come whole with their head: no scope for those
            with anyio.fail_after(WHOLE) as scope:
                began = anyio.current_time()
                while part is not END and len(small) <= SMALL:
                    if isinstance(part, (bytes, bytearray)):
                        small += part
                    elif not await self.more(client, side):
                        return None
                    scope.deadline = began + WHOLE + side.size / PACE
                    part = side.next_part()
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
        with anyio.fail_after(WHOLE) as scope:
            began, before = anyio.current_time(), side.size
            while body.end < most or most == LARGEST_BODY:
                part = side.next_part()
                if part is END:
                    body.finish()
                    return True
                if part is None:
                    if not await self.more(client, side):
                        return False
                else:
                    asked = anyio.current_time()
                    scope.deadline = math.inf
                    await body.put(part, most == LARGEST_BODY)
                    began += anyio.current_time() - asked
                    if most < LARGEST_BODY and not body.kept():
                        break
                scope.deadline = began + WHOLE + (side.size - before) / PACE
        return True

    async def more(self, client: Client, side: ServerSide) -> bool:
        if ahead := side.go_ahead():
            await client.send(ahead)
        if not (data := await client.receive()):
            return False
        side.feed(data)
        return True

    def passed(self, client: Client, side: ServerSide) -> bool:
        """Between two requests alone, with not a byte read of the next."""
        if self.pass_on is None or client.broken or client.ahead or side.begun():
            return False
        return self.pass_on(client)

    async def turn_away(self, client: Client) -> None:
        """No descriptor to serve it with: what it asks is denied at once, and nothing was launched. Whether
        this sidecar is ready is told as it is: by a front that hears 503 it would not be taken in."""
        side = ServerSide(SMALL)
        with anyio.fail_after(CROWDED_OUT):
            try:
                while (request := side.next_request()) is None:
                    if not await self.more(client, side):
                        return
            except Malformed as error:
                await self.relay.pass_back(client, side, plain(error.status, f"{error}\n"), True)
                return
        if request is not None:
            told = self.admit.readiness(request)
            await self.relay.pass_back(client, side, denied(self.advice) if told is None else told, True)
