"""Stand-ins on loopback, by the platform's protocol: an endpoint, discovery, and the connections of clients.
Each owns its sockets and gives them back in `close`. They carry the models' words and decide nothing."""

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
from lupinmill.protocol.reports import ON_SOCKETS, REPORT

HOST = "127.0.0.1"
BACKLOG = 512
LARGEST_WAIT_MS = 60_000
WATCH = re.compile(rb"index=(\d{1,18})(?:&wait=(\d{1,9}))?")
STATUS = {
    t.EndpointStatus.READY: "SERVING",
    t.EndpointStatus.DRAINING: "DRAINING",
    t.EndpointStatus.GONE: "DELETED",
}
SPOILT = b"HTTP/1.1 200 OK\r\nContent-Length: 9 or so\r\n\r\n"


def report_text(load: t.LoadReport | None) -> str:
    """`queue=2,util=0.61`, for those figures that there are."""
    if load is None:
        return ""
    wire = {REPORT[inner][0]: (outer, REPORT[inner][1]) for outer, inner in ON_SOCKETS.items()}
    figures = [(wire[name], getattr(load, name)) for name in ("queued", "held", "busy", "service", "rate")]
    return ",".join(f"{outer}={value / unit:.4f}" for (outer, unit), value in figures if value is not None)


class Served(asyncio.Protocol):
    """One accepted connection: whole requests in, in order, one at a time."""

    def __init__(
        self,
        opened: Callable[[Served], None],
        request: Callable[[Served, Request], None],
        lost: Callable[[Served], None],
    ) -> None:
        self.opened, self.request, self.lost = opened, request, lost
        self.side, self.transport = ServerSide(), None
        self.job: Job | None = None
        self.record: Any = None
        self.epoch = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.opened(self)

    def data_received(self, data: bytes) -> None:
        try:
            self.side.feed(data)
            if (request := self.side.next_request()) is not None:
                self.request(self, request)
        except Malformed as error:
            self.answer(Answer(error.status, [], str(error).encode()), True)

    def answer(self, answer: Answer, close: bool = False) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(self.side.answer(answer, close))
        if close or not self.side.goes_on():
            self.transport.close()
            return
        try:
            following = self.side.next_request()
        except Malformed:
            return self.transport.close()
        if following is not None:
            self.request(self, following)

    def spoil(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(SPOILT)
            self.transport.close()

    def reset(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.lost(self)


class Listening:
    """A listening socket of its own port, which outlives a stop."""

    def __init__(self) -> None:
        self.address, self.server = "", None
        self.connections: dict[Served, None] = {}
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

    def protocol(self) -> Served:
        return Served(self.opened, self.asked, self.lost)

    def opened(self, served: Served) -> None:
        self.connections[served] = None

    def lost(self, served: Served) -> None:
        self.connections.pop(served, None)

    def asked(self, served: Served, request: Request) -> None:
        raise NotImplementedError

    def reset_all(self) -> None:
        for served in list(self.connections):
            served.reset()

    def refuse(self) -> None:
        """Dies: connections reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset_all()

    def fall_silent(self) -> None:
        """New connections never come up: nobody accepts, and the kernel's own queue, cut to one, is filled
        up. Open ones stay and say nothing."""
        if self.server is None or self.socket is None:
            return
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.listen(0)
        for served in list(self.connections):
            if served.transport is not None and not served.transport.is_closing():
                served.transport.pause_reading()
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
        self.refuse()


class EndpointServer(Listening):
    """An endpoint's model on a socket. `run.work_of(request_id)` gives what was sent, or None where no
    client sent it."""

    def __init__(self, endpoint: Endpoint, run: Any) -> None:
        super().__init__()
        self.endpoint, self.run = endpoint, run

    def opened(self, served: Served) -> None:
        super().opened(served)
        served.epoch = self.endpoint.epoch
        if not self.run.act(self.endpoint.connect):
            served.reset()

    def lost(self, served: Served) -> None:
        super().lost(served)
        self.endpoint.disconnect(served.epoch)
        if served.record is not None:
            served.record.out = False
        if served.job is not None:
            self.run.act(self.endpoint.cancel, served.job)
            served.job = None

    def asked(self, served: Served, request: Request) -> None:
        self.run.act(self.take, served, request)

    def take(self, served: Served, request: Request) -> None:
        run, endpoint = self.run, self.endpoint
        if endpoint.silent or not endpoint.alive:
            return
        path = request.target.split(b"?", 1)[0]
        if path in (b"/health", b"/status/load"):
            return self.probed(served, path == b"/status/load")
        name = request.header(b"req-id")
        sent = run.work_of(name) if name else None
        if sent is None:
            return served.answer(Answer(400 if name else 404, [], b"no client sent this"))
        now = run.timeline.now
        served.record = run.world.referee.sent(now, name, endpoint, sent.sidecar)
        run.measure.at(now).launches += 1 if endpoint.shape.tier == 0 else 0
        try:
            left = float(request.header(b"req-deadline") or 0)
        except ValueError:
            left = 0.0

        def reply(how: t.Outcome, load: t.LoadReport | None) -> None:
            served.job = None
            if served.record is not None:
                served.record.out = False
            self.reply(served, name, how, load)

        due, calls = now + int(left * SECOND), run.inner.calls_of(endpoint)
        work = run.world.attempt_work(sent.request_class, sent.work, endpoint.shape.tier)
        served.job = Job(name, sent.key, sent.request_class, work, due, reply, calls=calls)
        endpoint.receive(served.job)

    def probed(self, served: Served, whole: bool) -> None:
        self.run.measure.at(self.run.timeline.now).probes += 1
        got = self.endpoint.probe()
        if got is None:
            return  # nothing answers
        how, load = got
        body = report_text(load).encode() if whole else b"ok"
        served.answer(Answer(200 if how is t.Outcome.HANDLED else 503, [], body))

    def reply(self, served: Served, name: str, how: t.Outcome, load: t.LoadReport | None) -> None:
        text = report_text(load)
        headers = [(b"Srv-Load", text.encode())] if text else []
        if how is t.Outcome.HANDLED:
            served.answer(Answer(200, headers, orjson.dumps({"for": name, "by": self.endpoint.shape.name})))
        elif how is t.Outcome.REFUSED:
            served.answer(Answer(503, [*headers, (b"Srv-Declined", b"1")], b"declined"))
        elif how is t.Outcome.ERROR:
            served.answer(Answer(500, headers, b"error"))
        elif how is t.Outcome.SPOILT:
            served.spoil()
        else:
            served.reset()


class DiscoveryServer(Listening):
    """The list of one tier for one sidecar, so that it is known who was told what, and when."""

    def __init__(self, registry: Registry, sidecar: str, run: Any) -> None:
        super().__init__()
        self.registry, self.sidecar, self.run = registry, sidecar, run
        self.waiting: dict[Served, int] = {}
        registry.listen(sidecar, self.published, self.broke)

    def lost(self, served: Served) -> None:
        super().lost(served)
        self.waiting.pop(served, None)

    def asked(self, served: Served, request: Request) -> None:
        self.run.act(self.call, served, request)

    def call(self, served: Served, request: Request) -> None:
        registry = self.registry
        if registry.silent:
            return
        if registry.down:
            return served.answer(Answer(503, [], b"down"), True)
        watch = WATCH.search(request.target)
        if watch is None:
            return self.tell(served, None)
        index, wait = int(watch[1]), min(LARGEST_WAIT_MS, int(watch[2] or 0))
        if registry.index > index:
            return self.tell(served, index)
        self.waiting[served] = index
        self.run.timeline.after(wait * 1000, self.no_news, served, index)

    def no_news(self, served: Served, index: int) -> None:
        if self.waiting.get(served) == index and not self.registry.silent:
            self.tell(served, index)

    def published(self, index: int, entry: Entry) -> None:
        self.run.timeline.after(self.run.spread(), self.news)

    def news(self) -> None:
        if self.registry.down or self.registry.silent:
            return
        for served, index in list(self.waiting.items()):
            if self.registry.index > index:
                self.tell(served, index)

    def broke(self) -> None:
        """Goes down (watches end) or silent (they stand)."""
        if self.registry.down:
            self.waiting.clear()
            self.reset_all()

    def tell(self, served: Served, index: int | None) -> None:
        self.waiting.pop(served, None)
        whole, entries = self.registry.since(index)
        now, referee = self.run.timeline.now, self.run.world.referee
        if whole:
            named = {entry.name for entry in entries}
            for name in self.run.endpoints.listed_names(self.registry):
                if name not in named:
                    referee.heard(now, self.sidecar, name, True)
        for entry in entries:
            referee.heard(now, self.sidecar, entry.name, entry.state is not t.EndpointStatus.READY)
        rows = [self.run.row(entry, self.sidecar) for entry in entries]
        body = {"index": self.registry.index, "snapshot": whole, "endpoints": rows}
        served.answer(Answer(200, [(b"Content-Type", b"application/json")], orjson.dumps(body)))


class Asking(asyncio.Protocol):
    """A client's connection to a sidecar; one request at a time."""

    def __init__(self, pool: AskPool) -> None:
        self.pool, self.transport = pool, None
        self.side: ClientSide | None = None
        self.exchange: Exchange | None = None
        self.used = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def ask(self, exchange: Exchange) -> None:
        self.exchange, self.side = exchange, ClientSide()
        self.used += 1
        if self.transport is not None:
            self.transport.write(self.side.ask(exchange.request))

    def data_received(self, data: bytes) -> None:
        if self.side is None or self.exchange is None:
            return
        try:
            self.side.feed(data)
            answer = self.side.next_answer()
        except Garbled:
            return self.end(None)
        if answer is not None:
            reusable = self.side.reusable()
            exchange, self.exchange, self.side = self.exchange, None, None
            if reusable:
                self.pool.keep(self)
            elif self.transport is not None:
                self.transport.close()
            exchange.answered(answer)

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.drop(self)
        self.end(None)

    def end(self, answer: Answer | None) -> None:
        exchange, self.exchange, self.side = self.exchange, None, None
        if self.transport is not None:
            self.transport.abort()
        if exchange is not None:
            # Nothing of an answer on a connection that was kept: the sidecar may have closed it just then.
            if self.used > 1 and not exchange.again:
                exchange.again = True
                self.pool.send(exchange)
            else:
                exchange.answered(answer)

    def abandon(self) -> None:
        self.exchange = self.side = None
        if self.transport is not None:
            self.transport.abort()


class Exchange:
    """One request and what comes of it: `done(answer)` once, None where the connection ended without one."""

    def __init__(self, request: Request, done: Callable[[Answer | None], None]) -> None:
        self.request, self.done, self.again, self.over = request, done, False, False
        self.asking: Asking | None = None

    def answered(self, answer: Answer | None) -> None:
        self.asking = None
        if not self.over:
            self.over = True
            self.done(answer)

    def abandon(self) -> None:
        self.over = True
        if self.asking is not None:
            self.asking.abandon()
            self.asking = None


class AskPool:
    """Connections to one sidecar, kept between requests, and the tasks that open new ones."""

    MOST = 300

    def __init__(self, address: Callable[[], str]) -> None:
        self.address = address
        self.idle: deque[Asking] = deque()
        self.open: dict[Asking, None] = {}
        self.tasks: dict[asyncio.Task[None], None] = {}

    def send(self, exchange: Exchange) -> None:
        while self.idle:
            asking = self.idle.pop()
            if asking.transport is not None and not asking.transport.is_closing():
                exchange.asking = asking
                return asking.ask(exchange)
        if len(self.open) >= self.MOST:
            return exchange.answered(None)
        task = asyncio.get_running_loop().create_task(self.connect(exchange))
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))

    async def connect(self, exchange: Exchange) -> None:
        host, _, port = self.address().partition(":")
        try:
            _, asking = await asyncio.get_running_loop().create_connection(
                lambda: Asking(self), host, int(port or 1)
            )
        except OSError:
            return exchange.answered(None)
        self.open[asking] = None
        if exchange.over:
            return self.keep(asking)
        exchange.asking = asking
        asking.ask(exchange)

    def keep(self, asking: Asking) -> None:
        self.idle.append(asking)

    def drop(self, asking: Asking) -> None:
        self.open.pop(asking, None)

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for asking in list(self.open):
            asking.abandon()
        self.idle.clear()
