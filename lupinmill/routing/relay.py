"""Relay: waits for a submission's final answer beside its client, and passes it back."""

from __future__ import annotations

import anyio
import h11

from lupinmill.protocol.http import Answer, ServerSide
from lupinmill.protocol.client_requests import aborted_response
from lupinmill.routing.book import Book, Journey
from lupinmill.routing.engine import Log
from lupinmill.routing.stream import Broken, Stream
from lupinmill.transport.client import Client

BACKSTOP = 20_000  # after the hard limit, where no decision came: only a failure of the module leads here
LINGER = 1.0  # seconds for a client to read an answer before its connection is closed, ...
LINGERING = 1024 * 1024  # ... and bytes of what it goes on sending that are read and dropped
STUCK = 5.0  # seconds that a client may leave its answer unread, ...
SLOW = 10.0  # ... or a part of a large one


class Relay:
    def __init__(self, book: Book, log: Log) -> None:
        self.book, self.log = book, log

    async def final_answer(self, client: Client, journey: Journey) -> Answer | None:
        """None where the client has gone away.

        Settling the journey cancels the wait; a task that waited beside this one would cost a tenth of what a
        submission costs in all."""
        try:
            with anyio.move_on_after(self.longest(journey)) as journey.waiting:
                if not journey.settled:
                    await client.gone()  # whatever it sends meanwhile has to wait
                    self.book.withdraw(journey)
        finally:
            journey.waiting = None
            self.give_up(journey)
        return journey.answer

    def longest(self, journey: Journey) -> float:
        """Seconds up to which the module has decided, if it does not fail."""
        return (journey.due + BACKSTOP - self.book.engine.clock.now()) / 1_000_000

    def give_up(self, journey: Journey) -> None:
        """Of what no decision came: an attempt may have run, so this is no denial."""
        if not journey.settled:
            self.book.withdraw(journey)
            journey.answer = aborted_response()
            self.log("backstop", submission=journey.asked.request_id)

    async def pass_stream(
        self, client: Client, side: ServerSide, answer: Answer, stream: Stream, close: bool
    ) -> bool:
        """As `pass_back`, of a large answer, part by part; only then is the connection the launch's again.

        A client that can't tell an early end from the true one is shown a reset."""
        whole, began = False, False
        try:
            head = side.begin(answer, stream.side.length, close)
            client.owed = False
            client.answers()
            await self.write(client, head)
            while data := await stream.next():
                began = True
                await self.write(client, side.part(data))
            await self.write(client, side.end())
            whole = True
        except (Broken, h11.LocalProtocolError) as error:
            self.log("answer_broken", error=str(error), began=began)
        finally:
            if not whole and not client.owed and not side.truncation_detectable():
                client.reset_on_close()
            stream.finish()
        if not whole:
            return False
        if side.goes_on():
            return True
        await self.linger(client)
        return False

    async def write(self, client: Client, data: bytes) -> None:
        if data:
            with anyio.fail_after(SLOW):
                await client.send(data)

    async def pass_back(
        self, client: Client, side: ServerSide, answer: Answer, close: bool, most: int = LINGERING
    ) -> bool:
        """True when the connection can serve another submission. Of what a client goes on sending so many
        bytes are read and dropped."""
        data = side.answer(answer, close)
        client.owed = False
        client.answers()
        with anyio.move_on_after(STUCK) as scope:
            await client.send(data)
        if scope.cancelled_caught:
            return False
        if side.goes_on():
            return True
        await self.linger(client, most)
        return False

    async def linger(self, client: Client, most: int = LINGERING) -> None:
        """Closing over unread bytes would reset the connection, and the answer with it."""
        client.end_sending()
        dropped = 0
        with anyio.move_on_after(LINGER):
            while dropped < most and (count := await client.discard()):
                dropped += count
