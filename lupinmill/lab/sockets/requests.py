"""Requests on their way to sidecars' processes: of clients, and of endpoints that call the next tier."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from lupinmill import terms as t
from lupinmill.lab.outcome import Outcome
from lupinmill.lab.processes import Process
from lupinmill.lab.stand_ins import ConnectionPool, Exchange
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.world import RequestClass
from lupinmill.protocol.http import Answer, Request

if TYPE_CHECKING:
    from lupinmill.lab.sockets.run import SocketRun

MOST_REMEMBERED = 200_000
BODY = b"x" * 200  # of a request that is not idempotent
REJECTED = (429, 503)
LONGEST_ADVICE_S = 60.0


@dataclass(slots=True, frozen=True)
class SentRequest:
    """What was sent under an id: endpoints find the work of a request by it."""

    request_class: str
    work: float  # seconds
    key: str
    sidecar: str


class Requests:
    """All exchanges that are out, and what was sent of late."""

    def __init__(self, run: SocketRun) -> None:
        self.run, self.referee = run, run.world.referee
        self.sent: dict[str, SentRequest] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.pools: dict[str, ConnectionPool] = {}  # by the sidecar's name

    def open_pool(self, process: Process) -> None:
        """Connections to one sidecar; they follow its address over restarts."""
        self.pools[process.name] = ConnectionPool(lambda: process.address)

    def close(self) -> None:
        """All connections."""
        for pool in self.pools.values():
            pool.close()

    def remember(self, request_id: str, sent: SentRequest) -> None:
        """The oldest are forgotten."""
        self.sent[request_id] = sent
        while len(self.sent) > MOST_REMEMBERED:
            del self.sent[next(iter(self.sent))]

    def send(
        self, process: Process, request_id: str, request: Request, done: Callable[[Answer | None], None]
    ) -> None:
        """`done` is told of the answer once; None: the connection ended without one."""
        exchange = Exchange(request, lambda answer: self.run.act(done, answer))
        self.exchanges[request_id] = exchange
        self.pools[process.name].send(exchange)

    def abandon(self, request_id: str) -> None:
        """Nobody waits for its answer any more."""
        if (exchange := self.exchanges.pop(request_id, None)) is not None:
            exchange.abandon()

    def outcome_of(self, request_id: str, process: Process, life: int, answer: Answer | None) -> Outcome:
        """What an answer means; the body must be one that an endpoint made for this request."""
        self.exchanges.pop(request_id, None)
        if answer is None:
            return self.unanswered(request_id, process, life)
        if answer.status == 200:
            try:
                body = orjson.loads(answer.body)
            except orjson.JSONDecodeError:
                body = {}
            if body.get("for") != request_id:
                self.referee.breaks(1, request_id, "handled with what no endpoint made for it")
            return Outcome.SUCCEEDED
        return Outcome.REJECTED if answer.status in REJECTED else Outcome.FAILED

    def unanswered(self, request_id: str, process: Process, life: int) -> Outcome:
        """The connection ended: right where the process was killed, a broken rule where it lives."""
        killed = process.killed or process.start_count != life or not process.alive()
        if not killed:
            self.referee.breaks(1, request_id, "its connection ended without an answer")
        self.referee.released(request_id)
        return Outcome.UNREACHABLE if killed else Outcome.FAILED


def request_for(
    request_id: str, request_class: RequestClass, left: float, key: str, tenant: str, repeated: bool
) -> Request:
    """A request by the platform's protocol; `left`: seconds until its deadline."""
    kind = request_class.name.encode()
    idempotent = request_class.terms.repeat is t.RepeatPolicy.IDEMPOTENT
    headers = [
        (b"Host", b"site"),
        (b"Req-Id", request_id.encode()),
        (b"Req-Kind", kind),
        (b"Req-Deadline", b"%.6f" % max(0.0, left)),
    ]
    if not idempotent:
        headers.append((b"Idempotency-Key", key.encode()))
    if tenant:
        headers.append((b"Req-Owner", tenant.encode()))
    if repeated:
        headers.append((b"Req-Retry", b"1"))
    return Request(b"GET" if idempotent else b"POST", b"/" + kind, headers, b"" if idempotent else BODY)


def advice_of(answer: Answer | None) -> int:
    """Microseconds after which to come back, where the answer says so."""
    text = answer.header(b"retry-after") if answer is not None else None
    try:
        return int(min(LONGEST_ADVICE_S, max(0.0, float(text))) * SECOND) if text else 0
    except ValueError:
        return 0
