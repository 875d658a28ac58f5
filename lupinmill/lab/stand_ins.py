"""Stand-ins on loopback sockets that speak the platform's protocol: endpoints, discovery, and client
connections. Each owns its sockets and closes them in `close`. They carry out what the models decide."""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import orjson

from lupinmill import terms as t
from lupinmill.lab.endpoint import Endpoint, Job
from lupinmill.lab.registry import Entry, Registry
from lupinmill.lab.timeline import SECOND
from lupinmill.protocol.http import Answer, ClientSide, Garbled, Malformed, Request, ServerSide
from lupinmill.protocol.reports import REPORT_FIELDS, SOCKET_FIELD_NAMES
from lupinmill.transport.listener import REQUEST_TIMEOUT_S

HOST = "127.0.0.1"
BACKLOG = 512
MAX_RESENDS = 5  # of one request
LARGEST_WAIT_MS = 60_000
WATCH = re.compile(rb"index=(\d{1,18})(?:&wait=(\d{1,9}))?")
STATUS = {
    t.EndpointStatus.READY: "SERVING",
    t.EndpointStatus.DRAINING: "DRAINING",
    t.EndpointStatus.GONE: "DELETED",
}
MALFORMED_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 9 or so\r\n\r\n"


def report_text(load: t.LoadReport | None) -> str:
    """A load report such as `queue=2,util=0.61`, with the figures that are present."""
    if load is None:
        return ""
    wire = {
        REPORT_FIELDS[inner][0]: (outer, REPORT_FIELDS[inner][1])
        for outer, inner in SOCKET_FIELD_NAMES.items()
    }
    figures = [(wire[name], getattr(load, name)) for name in ("queued", "held", "busy", "service", "rate")]
    return ",".join(f"{outer}={value / unit:.4f}" for (outer, unit), value in figures if value is not None)


class ServerConnection(asyncio.Protocol):
    """An accepted connection that handles complete requests in order, one at a time."""

    def __init__(
        self,
        opened: Callable[[ServerConnection], None],
        request: Callable[[ServerConnection, Request], None],
        lost: Callable[[ServerConnection], None],
    ) -> None:
        self.opened, self.request, self.lost = opened, request, lost
        self.http_side, self.transport = ServerSide(), None
        self.job: Job | None = None
        self.record: Any = None
        self.epoch = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.opened(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.http_side.feed(data)
            if (request := self.http_side.next_request()) is not None:
                self.request(self, request)
        except Malformed as error:
            self.answer(Answer(error.status, [], str(error).encode()), True)

    def answer(self, answer: Answer, close: bool = False) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(self.http_side.answer(answer, close))
        if close or not self.http_side.goes_on():
            self.transport.close()
            return
        try:
            following = self.http_side.next_request()
        except Malformed:
            return self.transport.close()
        if following is not None:
            self.request(self, following)

    def send_malformed(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(MALFORMED_ANSWER)
            self.transport.close()

    def reset(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.lost(self)


class ListeningServer:
    """A server whose port stays the same across stops and restarts."""

    def __init__(self) -> None:
        self.address, self.server = "", None
        self.connections: dict[ServerConnection, None] = {}
        self.fillers: list[socket.socket] = []
        self.socket: socket.socket | None = None

    async def listen(self) -> None:
        host, _, port = self.address.partition(":")
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        self.socket.bind((host or HOST, int(port or 0)))
        self.server = await asyncio.get_running_loop().create_server(
            self.protocol, sock=self.socket, backlog=BACKLOG
        )
        self.address = "%s:%d" % self.socket.getsockname()[:2]

    def protocol(self) -> ServerConnection:
        return ServerConnection(self.opened, self.request_received, self.lost)

    def opened(self, connection: ServerConnection) -> None:
        self.connections[connection] = None

    def lost(self, connection: ServerConnection) -> None:
        self.connections.pop(connection, None)

    def request_received(self, connection: ServerConnection, request: Request) -> None:
        raise NotImplementedError

    def reset_all(self) -> None:
        for connection in list(self.connections):
            connection.reset()

    def refuse_connections(self) -> None:
        """Acts as a dead process: connections are reset and new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset_all()

    def stop_accepting(self) -> None:
        """New connections never complete: none is accepted, and the kernel's accept queue, limited to one, is
        filled. Open connections stay but send nothing."""
        if self.server is None or self.socket is None:
            return
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.listen(0)
        for connection in list(self.connections):
            if connection.transport is not None and not connection.transport.is_closing():
                connection.transport.pause_reading()
        host, _, port = self.address.partition(":")
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self.fillers.append(filler)

    def close(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.refuse_connections()


class EndpointServer(ListeningServer):
    """An endpoint model on a socket. `run.work_of(request_id)` returns what was sent, or None if no client
    sent that request."""

    def __init__(self, endpoint: Endpoint, run: Any) -> None:
        super().__init__()
        self.endpoint, self.run = endpoint, run

    def opened(self, connection: ServerConnection) -> None:
        super().opened(connection)
        connection.epoch = self.endpoint.epoch
        if not self.run.act(self.endpoint.connect):
            connection.reset()

    def lost(self, connection: ServerConnection) -> None:
        super().lost(connection)
        self.endpoint.disconnect(connection.epoch)
        if connection.record is not None:
            connection.record.in_flight = False
        if connection.job is not None:
            self.run.act(self.endpoint.cancel, connection.job)
            connection.job = None

    def request_received(self, connection: ServerConnection, request: Request) -> None:
        self.run.act(self.handle_request, connection, request)

    def handle_request(self, connection: ServerConnection, request: Request) -> None:
        run, endpoint = self.run, self.endpoint
        if endpoint.silent or not endpoint.alive:
            return
        path = request.target.split(b"?", 1)[0]
        if path in (b"/health", b"/status/load"):
            return self.handle_probe(connection, path == b"/status/load")
        name = request.header(b"req-id")
        sent = run.work_of(name) if name else None
        if sent is None:
            return connection.answer(Answer(400 if name else 404, [], b"no client sent this"))
        now = run.timeline.now
        connection.record = run.world.rule_checker.sent(now, name, endpoint, sent.sidecar)
        run.metrics.at(now).launches += 1 if endpoint.spec.tier == 0 else 0
        try:
            remaining_s = float(request.header(b"req-deadline") or 0)
        except ValueError:
            remaining_s = 0.0

        def reply(outcome: t.Outcome, load: t.LoadReport | None) -> None:
            connection.job = None
            if connection.record is not None:
                connection.record.in_flight = False
            self.reply(connection, name, outcome, load)

        due, calls = now + int(remaining_s * SECOND), run.inner.calls_of(endpoint)
        work = run.world.attempt_work(sent.request_class, sent.work, endpoint.spec.tier)
        connection.job = Job(name, sent.key, sent.request_class, work, due, reply, calls=calls)
        endpoint.receive(connection.job)

    def handle_probe(self, connection: ServerConnection, with_load: bool) -> None:
        self.run.metrics.at(self.run.timeline.now).probes += 1
        result = self.endpoint.probe()
        if result is None:
            return  # the endpoint does not answer
        outcome, load = result
        body = report_text(load).encode() if with_load else b"ok"
        connection.answer(Answer(200 if outcome is t.Outcome.HANDLED else 503, [], body))

    def reply(
        self, connection: ServerConnection, name: str, outcome: t.Outcome, load: t.LoadReport | None
    ) -> None:
        text = report_text(load)
        headers = [(b"Srv-Load", text.encode())] if text else []
        if outcome is t.Outcome.HANDLED:
            connection.answer(
                Answer(200, headers, orjson.dumps({"for": name, "by": self.endpoint.spec.name}))
            )
        elif outcome is t.Outcome.REFUSED:
            connection.answer(Answer(503, [*headers, (b"Srv-Declined", b"1")], b"declined"))
        elif outcome is t.Outcome.ERROR:
            connection.answer(Answer(500, headers, b"error"))
        elif outcome is t.Outcome.SPOILT:
            connection.send_malformed()
        else:
            connection.reset()


class DiscoveryServer(ListeningServer):
    """Serves one tier's list to one sidecar, so that the referee knows what it received and when."""

    def __init__(self, registry: Registry, sidecar: str, run: Any) -> None:
        super().__init__()
        self.registry, self.sidecar, self.run = registry, sidecar, run
        self.waiting: dict[ServerConnection, int] = {}
        registry.subscribe(sidecar, self.entry_published, self.availability_changed)

    def lost(self, connection: ServerConnection) -> None:
        super().lost(connection)
        self.waiting.pop(connection, None)

    def request_received(self, connection: ServerConnection, request: Request) -> None:
        self.run.act(self.handle_call, connection, request)

    def handle_call(self, connection: ServerConnection, request: Request) -> None:
        registry = self.registry
        if registry.silent:
            return
        if registry.down:
            return connection.answer(Answer(503, [], b"down"), True)
        watch = WATCH.search(request.target)
        if watch is None:
            return self.send_list(connection, None)
        index, wait = int(watch[1]), min(LARGEST_WAIT_MS, int(watch[2] or 0))
        if registry.index > index:
            return self.send_list(connection, index)
        self.waiting[connection] = index
        self.run.timeline.after(wait * 1000, self.watch_expired, connection, index)

    def watch_expired(self, connection: ServerConnection, index: int) -> None:
        if self.waiting.get(connection) == index and not self.registry.silent:
            self.send_list(connection, index)

    def entry_published(self, index: int, entry: Entry) -> None:
        self.run.timeline.after(self.run.spread(), self.notify_watchers)

    def notify_watchers(self) -> None:
        if self.registry.down or self.registry.silent:
            return
        for connection, index in list(self.waiting.items()):
            if self.registry.index > index:
                self.send_list(connection, index)

    def availability_changed(self) -> None:
        """Discovery went down (watches end) or silent (watches stay open)."""
        if self.registry.down:
            self.waiting.clear()
            self.reset_all()

    def send_list(self, connection: ServerConnection, index: int | None) -> None:
        self.waiting.pop(connection, None)
        is_snapshot, entries = self.registry.since(index)
        now, rule_checker = self.run.timeline.now, self.run.world.rule_checker
        if is_snapshot:
            listed = {entry.name for entry in entries}
            for name in self.run.endpoints.listed_names(self.registry):
                if name not in listed:
                    rule_checker.list_update(now, self.sidecar, name, True)
        for entry in entries:
            rule_checker.list_update(now, self.sidecar, entry.name, entry.state is not t.EndpointStatus.READY)
        rows = [self.run.row(entry, self.sidecar) for entry in entries]
        body = {"index": self.registry.index, "snapshot": is_snapshot, "endpoints": rows}
        connection.answer(Answer(200, [(b"Content-Type", b"application/json")], orjson.dumps(body)))


class ClientConnection(asyncio.Protocol):
    """A client's connection to a sidecar, with one request at a time."""

    def __init__(self, pool: ConnectionPool, connecting_since: float) -> None:
        self.pool, self.transport = pool, None
        self.connecting_since = connecting_since  # by the event loop's clock
        self.silent_s = 0.0  # seconds until its first request was written
        self.asked_at = 0.0  # when its last request was written, by the event loop's clock
        self.http_side: ClientSide | None = None
        self.exchange: Exchange | None = None
        self.used = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def ask(self, exchange: Exchange) -> None:
        self.exchange, self.http_side = exchange, ClientSide()
        self.asked_at = asyncio.get_running_loop().time()
        if not self.used:
            self.silent_s = self.asked_at - self.connecting_since
        self.used += 1
        if self.transport is not None:
            self.transport.write(self.http_side.ask(exchange.request))

    def data_received(self, data: bytes) -> None:
        if self.http_side is None or self.exchange is None:
            return
        try:
            self.http_side.feed(data)
            answer = self.http_side.next_answer()
        except Garbled:
            return self.end(None)
        if answer is not None:
            reusable = self.http_side.reusable()
            exchange, self.exchange, self.http_side = self.exchange, None, None
            if reusable:
                self.pool.release(self)
            elif self.transport is not None:
                self.transport.close()
            exchange.finish(answer)

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.remove(self)
        self.end(None)

    def end(self, answer: Answer | None) -> None:
        exchange, self.exchange, self.http_side = self.exchange, None, None
        if self.transport is not None:
            self.transport.abort()
        if exchange is not None:
            exchange.unanswered_on.append(self.history())
            if self.may_have_ended_idle() and exchange.resends < MAX_RESENDS:
                exchange.resends += 1
                self.pool.send_on_new(exchange)
            else:
                exchange.finish(answer)

    def may_have_ended_idle(self) -> bool:
        """Whether the sidecar was free to close the connection before it got the request: a reused one, or a
        new one on which this process, held up itself, wrote nothing for as long as a sidecar waits."""
        return self.used > 1 or self.silent_s >= self.pool.silence_timeout_s

    def history(self) -> str:
        """Describes the connection, for a request that ended with it."""
        waited_s = asyncio.get_running_loop().time() - self.asked_at
        return f"request {self.used}, first after {self.silent_s:.3f} s, ended after {waited_s:.3f} s"

    def abandon(self) -> None:
        self.exchange = self.http_side = None
        if self.transport is not None:
            self.transport.abort()


class Exchange:
    """One request. Calls `done(answer)` once, with None if the connection ended without an answer."""

    def __init__(self, request: Request, done: Callable[[Answer | None], None]) -> None:
        self.request, self.done, self.finished = request, done, False
        self.resends = 0  # after connections that the sidecar was free to close
        self.connection: ClientConnection | None = None
        self.unanswered_on: list[str] = []  # the connections that ended before an answer

    def finish(self, answer: Answer | None) -> None:
        self.connection = None
        if not self.finished:
            self.finished = True
            self.done(answer)

    def abandon(self) -> None:
        self.finished = True
        if self.connection is not None:
            self.connection.abandon()
            self.connection = None


class ConnectionPool:
    """Reusable connections to one sidecar, and the tasks that open new ones. `silence_timeout_s`: seconds
    after which the sidecar may close a new connection without a byte."""

    MAX_CONNECTIONS = 300

    def __init__(self, address: Callable[[], str], silence_timeout_s: float = REQUEST_TIMEOUT_S) -> None:
        self.address, self.silence_timeout_s = address, silence_timeout_s
        self.idle: deque[ClientConnection] = deque()
        self.open: dict[ClientConnection, None] = {}
        self.tasks: dict[asyncio.Task[None], None] = {}

    def send(self, exchange: Exchange) -> None:
        while self.idle:
            connection = self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                exchange.connection = connection
                return connection.ask(exchange)
        self.send_on_new(exchange)

    def send_on_new(self, exchange: Exchange) -> None:
        """Sends on a new connection; a reused one may have been closed as well by now."""
        if len(self.open) >= self.MAX_CONNECTIONS:
            return exchange.finish(None)
        task = asyncio.get_running_loop().create_task(self.connect(exchange))
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))

    async def connect(self, exchange: Exchange) -> None:
        host, _, port = self.address().partition(":")
        loop = asyncio.get_running_loop()
        connecting_since = loop.time()
        try:
            _, connection = await loop.create_connection(
                lambda: ClientConnection(self, connecting_since), host, int(port or 1)
            )
        except OSError:
            return exchange.finish(None)
        self.open[connection] = None
        if exchange.finished:
            return self.release(connection)
        exchange.connection = connection
        connection.ask(exchange)

    def release(self, connection: ClientConnection) -> None:
        self.idle.append(connection)

    def remove(self, connection: ClientConnection) -> None:
        self.open.pop(connection, None)

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for connection in list(self.open):
            connection.abandon()
        self.idle.clear()
