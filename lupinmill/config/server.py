"""Listeners of a relay: bytes to calls, answers back, by the HTTP of all other listeners.

Owns the listening socket, a task a connection, and what is counted of answers on their way. An answer's bytes
are one object for all that get it; a connection holds that and a block of 16 KiB while it is written, and
nothing but its socket and its task while it waits. Who does not read an answer within its time is cut off."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from lupinmill.config import wire
from lupinmill.config.fanout import Asked, Away, Fanout, Gone, Note, Say, Woke
from lupinmill.protocol.http import Answer, Malformed, Request, ServerSide, plain
from lupinmill.routing.engine import Clock, Log, defect
from lupinmill.transport.client import Client
from lupinmill.transport.descriptors import OWN, Descriptors
from lupinmill.transport.listener import Listener
from lupinmill.transport.ring import Shelf, Store

WRITE = 10.0  # seconds for an answer to be read
CALL = 2.5  # seconds from a call's first byte to its last
LARGEST_CALL = 64 * 1024  # bytes of a call's body, which a watch has no use for
TOGETHER = 8 * 1024  # bytes of an answer that go out in one piece with their head
SPARE = 64  # connections beyond the watchers, for those that are told to come again
JSON = [(b"Content-Type", b"application/json")]


def descriptors_for(connections: int) -> Descriptors:
    """So that a quarter left for others and what is `OWN` leaves this many."""
    return Descriptors(math.ceil(connections * 4 / 3) + OWN + 4)


class Served:
    """Connections at one address, call after call. Who inherits says what an answer is."""

    limit, largest = CALL, LARGEST_CALL

    def __init__(self, address: str, connections: int, log: Log) -> None:
        self.log = log
        self.store, self.descriptors = Store(), descriptors_for(connections)
        self.listener = Listener(address, self.descriptors, self.store)
        self.address = self.listener.address
        self.leaving = False  # each answer ends its connection
        self.cut_off = 0  # that did not read

    async def run(self, group: TaskGroup) -> None:
        await self.listener.run(group, self.serve)

    async def serve(self, client: Client, welcome: bool) -> None:
        try:
            with client:
                await self.converse(client, welcome)
        except (OSError, TimeoutError):
            pass  # the other side broke or is stuck: all it held is given back above
        except Exception as error:
            self.log("task_failed", task="caller", **defect(error))

    async def converse(self, client: Client, welcome: bool) -> None:
        side = ServerSide(self.largest)
        try:
            while (request := await self.read(client, side, welcome)) is not None:
                client.asked = True
                going = welcome and not client.overrun
                if not await (self.answer(client, side, request) if going else self.no_room(client, side)):
                    return
        except Malformed as error:
            await self.write(client, side, plain(error.status, f"{error}\n"), True)

    async def read(self, client: Client, side: ServerSide, welcome: bool) -> Request | None:
        request = side.next_request()
        if request is None and not side.begun():
            if welcome:
                data = await self.listener.next_bytes(client)
            else:
                with anyio.fail_after(self.limit):
                    data = await client.receive()
            if not data:
                return None
            side.feed(data)
            request = side.next_request()
        if request is None:
            with anyio.fail_after(self.limit):  # however it trickles
                while request is None:
                    if go_ahead := side.continue_response():
                        await client.send(go_ahead)
                    if not (data := await client.receive()):
                        return None
                    side.feed(data)
                    request = side.next_request()
        return request

    async def answer(self, client: Client, side: ServerSide, request: Request) -> bool:
        """True when the connection serves another call."""
        raise NotImplementedError

    async def no_room(self, client: Client, side: ServerSide) -> bool:
        return await self.write(client, side, plain(503, "too many connections\n"), True)

    async def write(self, client: Client, side: ServerSide, answer: Answer, close: bool = False) -> bool:
        """Bytes of some size go out as they are, never copied whole."""
        close = close or self.leaving or client.overrun
        data = side.begin(answer, len(answer.body), close)
        body = side.part(answer.body) if answer.body else b""
        end = side.end()
        with anyio.move_on_after(WRITE) as limit:
            if len(body) <= TOGETHER:
                await client.send(data + body + end)
            else:
                await client.send(data)
                await client.send(body)
        if limit.cancelled_caught:
            self.cut_off += 1
            client.reset_on_close()
            return False
        return not close and side.goes_on()

    def close(self) -> None:
        self.listener.close()


class Watcher:
    """One watch, from its call to its answer."""

    def __init__(self) -> None:
        self.said: Say | Away | None = None
        self.scope = anyio.CancelScope()


class Watches(Served):
    """Drives the fan-out: calls to notes, orders to answers, one timer."""

    def __init__(self, address: str, fanout: Fanout, most: int, memory: int, clock: Clock, log: Log) -> None:
        super().__init__(address, most + SPARE, log)
        self.fanout, self.clock = fanout, clock
        self.tokens = itertools.count(1)
        self.watchers: dict[int, Watcher] = {}
        self.shelf = Shelf(memory)
        self.sending: dict[int, int] = {}  # by identity of an answer's bytes: how many connections write it
        self.due: int | None = None
        self.rearmed = anyio.Event()
        self.refused = 0  # calls that there was no room for

    # The core.

    def step(self, *notes: Note) -> None:
        """Orders arise and are carried out in one go; none leads to another note at once."""
        for order in self.fanout.step(self.clock.now(), list(notes)):
            if isinstance(order, Say | Away):
                if (watcher := self.watchers.pop(order.token, None)) is not None:
                    watcher.said = order
                    watcher.scope.cancel()
            elif self.due is None or order.at < self.due:
                self.due = order.at
                self.rearmed.set()

    async def keep_time(self) -> None:
        while True:
            self.rearmed = anyio.Event()
            left = None if self.due is None else (self.due - self.clock.now()) / 1_000_000
            if left is None or left > 0:
                with anyio.move_on_after(left):
                    await self.rearmed.wait()
                continue
            self.due = None
            self.step(Woke())

    # Calls.

    async def answer(self, client: Client, side: ServerSide, request: Request) -> bool:
        watch = wire.asked(request)
        said = Away(0) if self.leaving else await self.wait(client, watch)
        if said is None:
            return False
        if isinstance(said, Away):
            return await self.no_room(client, side)
        return await self.say(client, side, said.data)

    async def wait(self, client: Client, watch: wire.Watch) -> Say | Away | None:
        """None where the caller left, and is forgotten."""
        token, watcher = next(self.tokens), Watcher()
        self.watchers[token] = watcher
        try:
            until = self.clock.now() + watch.wait_ms * 1000
            self.step(Asked(token, watch.scopes, watch.since, until, watch.status))
            if watcher.said is None:
                with watcher.scope:
                    await client.gone()
        finally:
            if self.watchers.pop(token, None) is not None:
                self.step(Gone(token))
        return watcher.said

    async def say(self, client: Client, side: ServerSide, data: bytes) -> bool:
        """Bytes of all answers on their way are bounded, however slowly each is read."""
        key = id(data)
        if key not in self.sending and not self.shelf.lease(len(data)):
            return await self.no_room(client, side)
        self.sending[key] = self.sending.get(key, 0) + 1
        try:
            return await self.write(client, side, Answer(200, JSON, data))
        finally:
            self.sending[key] -= 1
            if not self.sending[key]:
                del self.sending[key]
                self.shelf.give_back(len(data))

    async def no_room(self, client: Client, side: ServerSide) -> bool:
        self.refused += 1
        spread = math.ceil(self.fanout.spread_ms / 1000)
        more = [(b"Retry-After", b"%d" % spread)]
        answer = plain(503, f"no room here; come again within {spread} s, or ask another relay\n", more)
        return await self.write(client, side, answer, True)

    async def leave(self, within: float, chance: random.Random) -> None:
        """Sends all that wait away, one after the other over `within` seconds: each asks another relay, and
        these are not to be asked by all at once."""
        self.leaving = True
        self.listener.pause()
        self.listener.close()
        tokens = list(self.watchers)
        chance.shuffle(tokens)
        for left in range(len(tokens), 0, -1):
            token = tokens[left - 1]
            if (watcher := self.watchers.get(token)) is not None:
                self.step(Gone(token))
                self.watchers.pop(token, None)
                watcher.said = Away(token)
                watcher.scope.cancel()
            await anyio.sleep(within / len(tokens))
        self.listener.dismiss_all()


class Calls(Served):
    """Operators' calls, few at a time: `carry_out` gives the answer."""

    def __init__(
        self, address: str, carry_out: Callable[[Request], Awaitable[Answer]], largest: int, log: Log
    ) -> None:
        super().__init__(address, 16, log)
        self.carry_out, self.largest, self.limit = carry_out, largest, WRITE

    async def answer(self, client: Client, side: ServerSide, request: Request) -> bool:
        try:
            answer = await self.carry_out(request)
        except Malformed as error:
            answer = plain(error.status, f"{error}\n")
        except Exception as error:
            self.log("task_failed", task="operator", **defect(error))
            answer = plain(500, "a defect; see the log\n")
        return await self.write(client, side, answer)
