"""Send: one launch, or one probe, on a connection to an endpoint, up to its outcome."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from lupinmill import terms as t
from lupinmill.protocol import client_requests
from lupinmill.protocol.http import Answer, ClientSide, Garbled, Request
from lupinmill.routing.body import Body, Gone
from lupinmill.routing.book import Book, Journey, Launch
from lupinmill.routing.deadline import PAUSE, Deadline
from lupinmill.routing.directory import Directory
from lupinmill.routing.engine import Log, defect
from lupinmill.routing.stream import Stream
from lupinmill.transport.connection import Connection, NoDescriptor, Unconnected
from lupinmill.transport.pool import Pool


# Microseconds after which a client may have left and nobody has seen it yet: since its request came, ...
WAITED = 50_000
LAGS = 25_000  # ... or by which wake-ups of this loop come late


class Early(Exception):
    """A 200 came before the request's last byte was written. Endpoints begin with that byte: it answers
    another request, the one before it on this connection."""


class Unsent(Exception):
    """It was over, or the endpoint had left the list, before the first byte."""


@dataclass(slots=True)
class Result:
    """What a launch came to. `final`: the answer that goes to the client."""

    how: t.Outcome | None = None
    final: Answer | None = None
    load: t.LoadReport | None = None


class Send:
    def __init__(self, pool: Pool, directory: Directory, book: Book, reported: bool, log: Log) -> None:
        self.pool, self.directory, self.book, self.log = pool, directory, book, log
        self.reported = reported  # endpoints tell of their load when probed

    async def launch(self, journey: Journey, launch: Launch) -> None:
        """Whatever happens here, the module hears of one outcome for this launch, and no other request or
        task is touched by a failure."""
        result = Result()
        try:
            await self.run(journey, launch, result)
        except Exception as error:
            self.log("task_failed", task="launch", **defect(error))
        finally:
            if result.how is None:
                result.how = t.Outcome.RESET if launch.written else t.Outcome.UNSENT
            self.end(journey, launch, result)

    def end(self, journey: Journey, launch: Launch, result: Result) -> None:
        """This task is one of the program's own group: an exception that left it would end the program."""
        try:
            self.book.ended(journey, launch, result.how, result.final, result.load)
        except Exception as error:
            self.log("task_failed", task="launch", **defect(error))
            if not any(other.out for other in journey.launches):
                self.book.answer_for_module(journey)

    async def run(self, journey: Journey, launch: Launch, result: Result) -> None:
        try:
            with launch.deadline.scope:
                answer = await self.attempt(journey, launch)
                result.load = client_requests.load_report(answer)
                self.judge(journey, launch, answer, result)
            if result.how is None and launch.written:
                result.how = t.Outcome.CALLED_OFF if launch.called_off else t.Outcome.TIMED_OUT
        except Unconnected:
            result.how = t.Outcome.UNCONNECTED
        except Early:
            result.how = t.Outcome.SPOILT  # an endpoint that speaks so may have run it
        except Garbled:
            result.how = t.Outcome.SPOILT if launch.written else t.Outcome.UNSENT
        except OSError:
            result.how = t.Outcome.RESET if launch.written else t.Outcome.UNCONNECTED
        except (Unsent, NoDescriptor):
            result.how = t.Outcome.UNSENT

    def judge(self, journey: Journey, launch: Launch, answer: Answer, result: Result) -> None:
        result.how = client_requests.outcome(answer)
        if journey.stream is not None and journey.stream.launch is launch:
            result.how = journey.stream.how
        elif result.how is t.Outcome.ERROR and not launch.written:
            result.how = t.Outcome.REFUSED  # it came before the last byte did: nothing ran
        # Launched anew, what is rejected would burn retries, and count against endpoints.
        elif result.how in (t.Outcome.HANDLED, t.Outcome.REJECTED):
            result.final = client_requests.client_response(answer)

    async def attempt(self, journey: Journey, launch: Launch) -> Answer:
        endpoint = launch.endpoint
        while True:
            address = self.address(endpoint)
            kept = self.pool.reuse(endpoint)
            connection: Connection | None = kept or await self.pool.open(address)
            try:
                self.look_back(journey)
                # Told while it connected: nothing new to what drains, nothing for what has its answer.
                if journey.settled or not self.directory.takes(endpoint):
                    self.keep(connection, endpoint, address)
                    connection = None
                    raise Unsent
                if not self.directory.listens(endpoint, address):
                    continue  # it moved while this connected: at its old address another may listen
                if (left := self.book.left(journey)) <= 0 and journey.body is not None:
                    self.keep(connection, endpoint, address)
                    connection = None
                    raise Unsent
                side = ClientSide()
                request = client_requests.attempt_request(journey.request, left)
                if journey.body is None:
                    try:
                        for piece in side.pieces(request):
                            await connection.send(piece)
                    except OSError:
                        if kept:
                            continue  # ended by the endpoint while idle: not a byte was handled
                        raise
                    launch.written, launch.sent = True, self.book.engine.clock.now()
                    answer = await self.answer(connection, side, launch.deadline)
                    launch.waited = connection.waited()
                else:
                    answer = await self.exchange_large(connection, side, journey, launch, request)
                await self.pass_large(journey, launch, answer, connection, side)
                if side.reusable():
                    self.keep(connection, endpoint, address)
                    connection = None
                return answer
            finally:
                if connection is not None:
                    connection.close()

    def look_back(self, journey: Journey) -> None:
        """Guards against launches for a client that has left, where its end lies unread still: in a loop
        that lags, and of a connection just accepted, the launch may have its turn before the task that waits
        for that end."""
        engine = self.book.engine
        unseen = journey.client.new or engine.late > LAGS or engine.clock.now() - journey.came > WAITED
        if unseen and not journey.settled:
            comes = journey.body is not None and not journey.body.whole
            # `look` reads no more than some bytes ahead; behind more of them the kernel alone knows the end.
            if journey.client.ended() or not comes and journey.client.look():
                self.book.withdraw(journey)

    async def pass_large(
        self, journey: Journey, launch: Launch, answer: Answer, connection: Connection, side: ClientSide
    ) -> None:
        """Lends the connection to the client's task, where this answer is large and the client's. Of any
        other large one nothing is wanted."""
        if not side.large or answer.status != 200 or journey.settled:
            return
        stream = Stream(connection, side, launch)
        load = client_requests.load_report(answer)
        self.book.begin_stream(journey, launch, client_requests.client_response(answer), stream, load)
        await stream.done.wait()

    async def exchange_large(
        self, connection: Connection, side: ClientSide, journey: Journey, launch: Launch, request: Request
    ) -> Answer:
        """Sends a body as it comes, and listens meanwhile: an answer ahead of its end ends the sending."""
        failed: Exception | None = None
        answer: Answer | None = None

        async def send() -> None:
            nonlocal failed
            try:
                self.look_back(journey)  # some passes of the loop after the last look
                if journey.settled:
                    raise Gone
                await self.send_large(connection, side, journey.body, request)
                launch.written, launch.sent = True, self.book.engine.clock.now()
            except Gone:
                failed = Unsent()
                group.cancel_scope.cancel()
            except OSError:
                # What it said before it closed may lie here to be read; the end of that comes at once.
                group.cancel_scope.deadline = anyio.current_time() + PAUSE

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            try:
                answer = await self.answer(connection, side, launch.deadline)
                launch.waited = connection.waited()
            except (OSError, Garbled) as error:
                failed = failed or error
            group.cancel_scope.cancel()
        if answer is None:
            raise failed or ConnectionResetError("broke while it was sent")
        if answer.status == 200 and not launch.written:
            raise Early
        return answer

    async def send_large(
        self, connection: Connection, side: ClientSide, body: Body, request: Request
    ) -> None:
        length = body.end if body.whole else body.length
        if not body.anew():
            raise Gone
        await connection.send(side.begin(request, length, chunked=length is None))
        at = number = 0
        while part := await body.read(at, number):
            await connection.send(side.part(part))
            at, number = at + len(part), number + 1
        if rest := side.end():
            await connection.send(rest)

    def keep(self, connection: Connection, endpoint: str, address: str) -> None:
        """Unless the endpoint has gone meanwhile: the next one at its address is another."""
        if self.directory.listens(endpoint, address):
            self.pool.keep(connection, endpoint)
        else:
            connection.close()

    def address(self, endpoint: str) -> str:
        address = self.directory.addresses.get(endpoint)
        if address is None:
            raise Unconnected(f"no address for {endpoint}")
        return address

    async def answer(self, connection: Connection, side: ClientSide, deadline: Deadline) -> Answer:
        """Guards against answers that begin and never end: waiting for more until the hard limit would leave
        no time for another launch. Of a large one it is the head, with the body to be taken from `side`."""
        while (answer := side.next_answer()) is None:
            if side.large and side.received_answer is not None:
                return side.received_answer
            side.feed(await deadline.receive(connection, side.begun()))
        return answer

    async def probe(self, endpoint: str) -> None:
        clock = self.book.engine.clock
        began, how, load = clock.now(), t.Outcome.TIMED_OUT, None
        deadline = Deadline(anyio.current_time() + 2 * self.pool.time_out)
        try:
            with deadline.scope:
                answer = await self.exchange(endpoint, client_requests.probe_request(self.reported), deadline)
                how, load = client_requests.probe_result(answer)
        except Unconnected:
            how = t.Outcome.UNCONNECTED
        except (OSError, Garbled):
            how = t.Outcome.RESET
        except NoDescriptor:
            how = t.Outcome.UNSENT
        except Exception as error:
            self.log("task_failed", task="probe", **defect(error))
        try:
            self.book.engine.tell(t.ProbeEnded(endpoint, how, clock.now() - began, load))
        except Exception as error:
            self.log("task_failed", task="probe", **defect(error))

    async def exchange(self, endpoint: str, request: Request, deadline: Deadline) -> Answer:
        """Of what is harmless to ask again: where a kept connection turns out ended a new one is opened."""
        while True:
            address = self.address(endpoint)
            kept = self.pool.reuse(endpoint)
            connection: Connection | None = kept or await self.pool.open(address)
            try:
                if self.directory.addresses.get(endpoint, address) != address:
                    continue
                side = ClientSide()
                await connection.send(side.ask(request))
                answer = await self.answer(connection, side, deadline)
                if side.reusable():
                    self.keep(connection, endpoint, address)
                    connection = None
                return answer
            except OSError:
                if not kept:
                    raise
                deadline.move(deadline.at)  # of the whole attempt again, no longer of the wait alone
            finally:
                if connection is not None:
                    connection.close()
