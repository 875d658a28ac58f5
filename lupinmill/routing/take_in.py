"""Take in: one client connection, submission after submission."""
from __future__ import annotations

from collections.abc import Callable

import anyio

from lupinmill.protocol.http import Answer, Malformed, Request, ServerSide, plain
from lupinmill.protocol.submission import denied
from lupinmill.routing.admit import Admit
from lupinmill.routing.door import Door
from lupinmill.routing.engine import Log, defect
from lupinmill.routing.relay import Relay
from lupinmill.transport.listener import WHOLE, Client, Listener

CROWDED_OUT = 0.5  # seconds for a request on a connection that there is no descriptor for


class TakeIn:
    def __init__(self, listener: Listener, admit: Admit, relay: Relay, door: Door, advice: int,
                 log: Log) -> None:
        self.listener, self.admit, self.relay, self.door, self.log = listener, admit, relay, door, log
        self.advice = advice  # microseconds after which those may come back that there is no place for
        self.closing = lambda: False  # answers close their connections
        self.pass_on: Callable[[Client], bool] | None = None  # to the next process, with what lies unread
        self.clients = 0

    async def serve(self, client: Client, welcome: bool) -> None:
        self.clients += 1
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
            self.clients -= 1
            self.door.leave(client)

    async def converse(self, client: Client) -> None:
        side = ServerSide()
        while True:
            if self.passed(client, side):
                return
            try:
                request = await self.read(client, side)
            except Malformed as error:
                await self.relay.pass_back(client, side, plain(error.status, f"{error}\n"), True)
                return
            if request is None:
                self.passed(client, side)
                return
            client.asked = True
            self.door.enter(client)
            answer = await self.answer(client, request)
            if answer is None or not await self.relay.pass_back(client, side, answer, self.closing()):
                return
            self.door.leave(client)

    def passed(self, client: Client, side: ServerSide) -> bool:
        """Between two requests alone, with not a byte read of the next."""
        return self.pass_on is not None and not client.broken and not side.begun() and self.pass_on(client)

    async def answer(self, client: Client, request: Request) -> Answer | None:
        admitted = self.admit.request(request, client.waited())
        return admitted if isinstance(admitted, Answer) else await self.relay.final_answer(client, admitted)

    async def read(self, client: Client, side: ServerSide) -> Request | None:
        if (request := side.next_request()) is not None:
            return request
        if not side.begun():
            if not (data := await self.listener.next_bytes(client)):
                return None
            side.feed(data)
            if (request := side.next_request()) is not None:
                return request
        with anyio.fail_after(WHOLE):  # however it trickles
            while True:
                if ahead := side.go_ahead():
                    await client.send(ahead)
                if not (data := await client.receive()):
                    return None
                side.feed(data)
                if (request := side.next_request()) is not None:
                    return request

    async def turn_away(self, client: Client) -> None:
        """No descriptor to serve it with: what it asks is denied at once, and nothing was launched."""
        side = ServerSide()
        with anyio.fail_after(CROWDED_OUT):
            try:
                request = await self.read(client, side)
            except Malformed as error:
                await self.relay.pass_back(client, side, plain(error.status, f"{error}\n"), True)
                return
        if request is not None:
            await self.relay.pass_back(client, side, denied(self.advice), True)
