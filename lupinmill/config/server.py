"""HTTP listeners of a relay, with the same protocol code as all other listeners.

Owns the listening socket, one task per connection, and the accounting of replies being sent. The bytes of a
reply are shared by all connections that get it; a connection adds a block of 16 KiB while it writes, and only
its socket and task while it waits. A client that does not read its reply in time is disconnected.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from lupinmill.config import wire
from lupinmill.config.fanout import (
    Fanout,
    FanoutEvent,
    RejectWatch,
    SendReply,
    TimerFired,
    WatchClosed,
    WatchReceived,
)
from lupinmill.protocol.http import Answer, Malformed, Request, ServerSide, plain
from lupinmill.routing.engine import Log, error_fields
from lupinmill.transport.buffers import BlockPool, MemoryBudget
from lupinmill.transport.client import Client
from lupinmill.transport.clocks import MonotonicClock
from lupinmill.transport.closing import LINGER_S
from lupinmill.transport.descriptors import RESERVED_DESCRIPTORS, DescriptorBudget
from lupinmill.transport.listener import Listener

WRITE_TIMEOUT_S = 10.0  # for the client to read an answer
CALL_TIMEOUT_S = 2.5  # from a request's first byte to its last
MAX_CALL_BYTES = 64 * 1024  # of a request body; watches have none
SINGLE_WRITE_BYTES = 8 * 1024  # answers up to this size are sent together with their head
EXTRA_CONNECTIONS = 64  # beyond the watchers, to answer those that are rejected
JSON_HEADERS = [(b"Content-Type", b"application/json")]


def descriptors_for(connections: int) -> DescriptorBudget:
    """Enough that `connections` remain after the quarter left for others and the `OWN` ones."""
    return DescriptorBudget(math.ceil(connections * 4 / 3) + RESERVED_DESCRIPTORS + 4)


class HttpServer:
    """Serves keep-alive connections on one address. Subclasses implement `answer`."""

    call_timeout_s, max_body_bytes = CALL_TIMEOUT_S, MAX_CALL_BYTES

    def __init__(self, address: str, connections: int, log: Log) -> None:
        self.log = log
        self.store, self.descriptors = BlockPool(), descriptors_for(connections)
        self.listener = Listener(address, self.descriptors, self.store)
        self.address = self.listener.address
        self.draining = False  # each answer then closes its connection
        self.cut_off = 0  # connections closed because the client did not read

    async def run(self, group: TaskGroup) -> None:
        await self.listener.run(group, self.serve)

    async def serve(self, client: Client, admitted: bool) -> None:
        try:
            with client:
                await self.handle_calls(client, admitted)
                await self.listener.closer.finish(client, LINGER_S)
        except (OSError, TimeoutError):
            pass  # the client disconnected or stalled; everything held was released above
        except Exception as error:
            self.log("task_failed", task="caller", **error_fields(error))

    async def handle_calls(self, client: Client, admitted: bool) -> None:
        side = ServerSide(self.max_body_bytes)
        try:
            while (request := await self.read(client, side, admitted)) is not None:
                client.has_requested = True
                has_room = admitted and not client.pipelined_dropped
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
            with anyio.fail_after(self.call_timeout_s):  # in total, however slowly the bytes arrive
                while request is None:
                    if go_ahead := side.continue_response():
                        await client.send(go_ahead)
                    if not (data := await client.receive()):
                        return None
                    side.feed(data)
                    request = side.next_request()
        return request

    async def answer(self, client: Client, side: ServerSide, request: Request) -> bool:
        """Returns whether the connection can serve another request."""
        raise NotImplementedError

    async def send_unavailable(self, client: Client, side: ServerSide) -> bool:
        return await self.write(client, side, plain(503, "too many connections\n"), True)

    async def write(self, client: Client, side: ServerSide, answer: Answer, close: bool = False) -> bool:
        """Sends large bodies without copying them."""
        close = close or self.draining or client.pipelined_dropped
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
        client.lingers = close or not side.goes_on()
        return not client.lingers

    def close(self) -> None:
        self.listener.close()


class Watcher:
    """One waiting watch."""

    def __init__(self) -> None:
        self.outcome: SendReply | RejectWatch | None = None
        self.scope = anyio.CancelScope()


class WatchServer(HttpServer):
    """Drives the fan-out: turns requests into events, commands into replies, and runs its timer."""

    def __init__(
        self,
        address: str,
        fanout: Fanout,
        max_watches: int,
        reply_memory: int,
        clock: MonotonicClock,
        log: Log,
    ) -> None:
        super().__init__(address, max_watches + EXTRA_CONNECTIONS, log)
        self.fanout, self.clock = fanout, clock
        self.tokens = itertools.count(1)
        self.watchers: dict[int, Watcher] = {}
        self.reply_budget = MemoryBudget(reply_memory)
        self.sending: dict[int, int] = {}  # by id of a reply's bytes: number of connections sending it
        self.timer_at: int | None = None
        self.timer_changed = anyio.Event()
        self.refused = 0  # requests rejected for lack of capacity

    # --- fan-out ---

    def step(self, *events: FanoutEvent) -> None:
        """Executes all commands of a step; none of them causes another event synchronously."""
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

    # --- requests ---

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
        """None if the client disconnected."""
        token, watcher = next(self.tokens), Watcher()
        self.watchers[token] = watcher
        try:
            deadline = self.clock.now() + watch.wait_ms * 1000
            self.step(WatchReceived(token, watch.scopes, watch.since, deadline, watch.status))
            if watcher.outcome is None:
                with watcher.scope:
                    await client.wait_disconnected()
        finally:
            if self.watchers.pop(token, None) is not None:
                self.step(WatchClosed(token))
        return watcher.outcome

    async def send_reply(self, client: Client, side: ServerSide, data: bytes) -> bool:
        """Limits the total bytes of replies being sent, however slowly clients read."""
        key = id(data)
        if key not in self.sending and not self.reply_budget.lease(len(data)):
            return await self.send_unavailable(client, side)
        self.sending[key] = self.sending.get(key, 0) + 1
        try:
            return await self.write(client, side, Answer(200, JSON_HEADERS, data))
        finally:
            self.sending[key] -= 1
            if not self.sending[key]:
                del self.sending[key]
                self.reply_budget.release(len(data))

    async def send_unavailable(self, client: Client, side: ServerSide) -> bool:
        self.refused += 1
        spread = math.ceil(self.fanout.spread_ms / 1000)
        headers = [(b"Retry-After", b"%d" % spread)]
        answer = plain(503, f"at capacity; retry within {spread} s or ask another relay\n", headers)
        return await self.write(client, side, answer, True)

    async def drain(self, duration_s: float, random_source: random.Random) -> None:
        """Rejects all waiting watches one by one over `duration_s` seconds, so that they do not all reach
        another relay at once."""
        self.draining = True
        self.listener.pause()
        self.listener.close()
        tokens = list(self.watchers)
        random_source.shuffle(tokens)
        for remaining in range(len(tokens), 0, -1):
            token = tokens[remaining - 1]
            if (watcher := self.watchers.get(token)) is not None:
                self.step(WatchClosed(token))
                self.watchers.pop(token, None)
                watcher.outcome = RejectWatch(token)
                watcher.scope.cancel()
            await anyio.sleep(duration_s / len(tokens))
        self.listener.close_all_idle()


class AdminServer(HttpServer):
    """Serves a few operator connections; `handle` answers the requests."""

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
            self.log("task_failed", task="operator", **error_fields(error))
            answer = plain(500, "a defect; see the log\n")
        return await self.write(client, side, answer)
