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
from lupinmill.config.fanout import (
    WatchReceived,
    RejectWatch,
    Fanout,
    WatchClosed,
    FanoutEvent,
    SendReply,
    TimerFired,
)
from lupinmill.protocol.http import Answer, Malformed, Request, ServerSide, plain
from lupinmill.routing.engine import Clock, Log, defect
from lupinmill.transport.client import Client
from lupinmill.transport.descriptors import OWN, Descriptors
from lupinmill.transport.listener import Listener
from lupinmill.transport.ring import Shelf, Store

WRITE_TIMEOUT_S = 10.0  # seconds for an answer to be read
CALL_TIMEOUT_S = 2.5  # seconds from a call's first byte to its last
MAX_CALL_BYTES = 64 * 1024  # bytes of a call's body, which a watch has no use for
SINGLE_WRITE_BYTES = 8 * 1024  # bytes of an answer that go out in one piece with their head
EXTRA_CONNECTIONS = 64  # connections beyond the watchers, for those that are told to come again
JSON_HEADERS = [(b"Content-Type", b"application/json")]


def descriptors_for(connections: int) -> Descriptors:
    """So that a quarter left for others and what is `OWN` leaves this many."""
    return Descriptors(math.ceil(connections * 4 / 3) + OWN + 4)


class HttpServer:
    """Connections at one address, call after call. Who inherits says what an answer is."""

    call_timeout_s, max_body_bytes = CALL_TIMEOUT_S, MAX_CALL_BYTES

    def __init__(self, address: str, connections: int, log: Log) -> None:
        self.log = log
        self.store, self.descriptors = Store(), descriptors_for(connections)
        self.listener = Listener(address, self.descriptors, self.store)
        self.address = self.listener.address
        self.draining = False  # each answer ends its connection
        self.cut_off = 0  # that did not read

    async def run(self, group: TaskGroup) -> None:
        await self.listener.run(group, self.serve)

    async def serve(self, client: Client, admitted: bool) -> None:
        try:
            with client:
                await self.handle_calls(client, admitted)
        except (OSError, TimeoutError):
            pass  # the other side broke or is stuck: all it held is given back above
        except Exception as error:
            self.log("task_failed", task="caller", **defect(error))

    async def handle_calls(self, client: Client, admitted: bool) -> None:
        side = ServerSide(self.max_body_bytes)
        try:
            while (request := await self.read(client, side, admitted)) is not None:
                client.asked = True
                has_room = admitted and not client.overrun
                if not await (
                    self.answer(client, side, request) if has_room else self.send_unavailable(client, side)
                ):
                    return
        except Malformed as error:
            await self.write(client, side, plain(error.status, f"{error}\n"), True)

    async def read(self, client: Client, side: ServerSide, admitted: bool) -> Request | None:
        request = side.next_request()
        if request is None and not side.begun():
            if admitted:
                data = await self.listener.next_bytes(client)
            else:
                with anyio.fail_after(self.call_timeout_s):
                    data = await client.receive()
            if not data:
                return None
            side.feed(data)
            request = side.next_request()
        if request is None:
            with anyio.fail_after(self.call_timeout_s):  # however it trickles
                while request is None:
                    if go_ahead := side.go_ahead():
                        await client.send(go_ahead)
                    if not (data := await client.receive()):
                        return None
                    side.feed(data)
                    request = side.next_request()
        return request

    async def answer(self, client: Client, side: ServerSide, request: Request) -> bool:
        """True when the connection serves another call."""
        raise NotImplementedError

    async def send_unavailable(self, client: Client, side: ServerSide) -> bool:
        return await self.write(client, side, plain(503, "too many connections\n"), True)

    async def write(self, client: Client, side: ServerSide, answer: Answer, close: bool = False) -> bool:
        """Bytes of some size go out as they are, never copied whole."""
        close = close or self.draining or client.overrun
        data = side.begin(answer, len(answer.body), close)
        body = side.part(answer.body) if answer.body else b""
        end = side.end()
        with anyio.move_on_after(WRITE_TIMEOUT_S) as limit:
            if len(body) <= SINGLE_WRITE_BYTES:
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
        self.outcome: SendReply | RejectWatch | None = None
        self.scope = anyio.CancelScope()


class WatchServer(HttpServer):
    """Drives the fan-out: calls to notes, orders to answers, one timer."""

    def __init__(
        self, address: str, fanout: Fanout, max_watches: int, reply_memory: int, clock: Clock, log: Log
    ) -> None:
        super().__init__(address, max_watches + EXTRA_CONNECTIONS, log)
        self.fanout, self.clock = fanout, clock
        self.tokens = itertools.count(1)
        self.watchers: dict[int, Watcher] = {}
        self.shelf = Shelf(reply_memory)
        self.sending: dict[int, int] = {}  # by identity of an answer's bytes: how many connections write it
        self.timer_at: int | None = None
        self.timer_changed = anyio.Event()
        self.refused = 0  # calls that there was no room for

    # The core.

    def step(self, *events: FanoutEvent) -> None:
        """Orders arise and are carried out in one go; none leads to another note at once."""
        for command in self.fanout.step(self.clock.now(), list(events)):
            if isinstance(command, SendReply | RejectWatch):
                if (watcher := self.watchers.pop(command.token, None)) is not None:
                    watcher.outcome = command
                    watcher.scope.cancel()
            elif self.timer_at is None or command.at < self.timer_at:
                self.timer_at = command.at
                self.timer_changed.set()

    async def run_timer(self) -> None:
        while True:
            self.timer_changed = anyio.Event()
            remaining = None if self.timer_at is None else (self.timer_at - self.clock.now()) / 1_000_000
            if remaining is None or remaining > 0:
                with anyio.move_on_after(remaining):
                    await self.timer_changed.wait()
                continue
            self.timer_at = None
            self.step(TimerFired())

    # Calls.

    async def answer(self, client: Client, side: ServerSide, request: Request) -> bool:
        watch = wire.decode_watch(request)
        outcome = RejectWatch(0) if self.draining else await self.wait_for_outcome(client, watch)
        if outcome is None:
            return False
        if isinstance(outcome, RejectWatch):
            return await self.send_unavailable(client, side)
        return await self.send_reply(client, side, outcome.data)

    async def wait_for_outcome(
        self, client: Client, watch: wire.WatchRequest
    ) -> SendReply | RejectWatch | None:
        """None where the caller left, and is forgotten."""
        token, watcher = next(self.tokens), Watcher()
        self.watchers[token] = watcher
        try:
            deadline = self.clock.now() + watch.wait_ms * 1000
            self.step(WatchReceived(token, watch.scopes, watch.since, deadline, watch.status))
            if watcher.outcome is None:
                with watcher.scope:
                    await client.gone()
        finally:
            if self.watchers.pop(token, None) is not None:
                self.step(WatchClosed(token))
        return watcher.outcome

    async def send_reply(self, client: Client, side: ServerSide, data: bytes) -> bool:
        """Bytes of all answers on their way are bounded, however slowly each is read."""
        key = id(data)
        if key not in self.sending and not self.shelf.lease(len(data)):
            return await self.send_unavailable(client, side)
        self.sending[key] = self.sending.get(key, 0) + 1
        try:
            return await self.write(client, side, Answer(200, JSON_HEADERS, data))
        finally:
            self.sending[key] -= 1
            if not self.sending[key]:
                del self.sending[key]
                self.shelf.give_back(len(data))

    async def send_unavailable(self, client: Client, side: ServerSide) -> bool:
        self.refused += 1
        spread = math.ceil(self.fanout.spread_ms / 1000)
        headers = [(b"Retry-After", b"%d" % spread)]
        answer = plain(503, f"no room here; come again within {spread} s, or ask another relay\n", headers)
        return await self.write(client, side, answer, True)

    async def drain(self, duration_s: float, chance: random.Random) -> None:
        """Sends all that wait away, one after the other over `within` seconds: each asks another relay, and
        these are not to be asked by all at once."""
        self.draining = True
        self.listener.pause()
        self.listener.close()
        tokens = list(self.watchers)
        chance.shuffle(tokens)
        for remaining in range(len(tokens), 0, -1):
            token = tokens[remaining - 1]
            if (watcher := self.watchers.get(token)) is not None:
                self.step(WatchClosed(token))
                self.watchers.pop(token, None)
                watcher.outcome = RejectWatch(token)
                watcher.scope.cancel()
            await anyio.sleep(duration_s / len(tokens))
        self.listener.dismiss_all()


class AdminServer(HttpServer):
    """Operators' calls, few at a time: `carry_out` gives the answer."""

    def __init__(
        self, address: str, handle: Callable[[Request], Awaitable[Answer]], max_body_bytes: int, log: Log
    ) -> None:
        super().__init__(address, 16, log)
        self.handle, self.max_body_bytes, self.call_timeout_s = handle, max_body_bytes, WRITE_TIMEOUT_S

    async def answer(self, client: Client, side: ServerSide, request: Request) -> bool:
        try:
            answer = await self.handle(request)
        except Malformed as error:
            answer = plain(error.status, f"{error}\n")
        except Exception as error:
            self.log("task_failed", task="operator", **defect(error))
            answer = plain(500, "a defect; see the log\n")
        return await self.write(client, side, answer)
