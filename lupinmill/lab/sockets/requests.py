"""Requests to the sidecar processes: from clients, and from endpoints that call the next tier."""

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

MAX_REMEMBERED = 200_000
BODY = b"x" * 200  # of requests that are not idempotent
REJECTED = (429, 503)
MAX_ADVICE_S = 60.0


@dataclass(slots=True, frozen=True)
class SentRequest:
    """What was sent under a request id; endpoints look up the work of a request here."""

    request_class: str
    work: float  # seconds
    key: str
    sidecar: str


class Requests:
    """All exchanges in flight, and what was sent recently."""

    def __init__(self, run: SocketRun) -> None:
        self.run, self.rule_checker = run, run.world.rule_checker
        self.sent: dict[str, SentRequest] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.pools: dict[str, ConnectionPool] = {}  # by the sidecar's name

    def open_pool(self, process: Process) -> None:
        """Opens the connection pool of a sidecar; it follows the address over restarts."""
        self.pools[process.name] = ConnectionPool(lambda: process.address)

    def close(self) -> None:
        """Closes all connections."""
        for pool in self.pools.values():
            pool.close()

    def remember(self, request_id: str, sent: SentRequest) -> None:
        """Remembers what was sent under an id; the oldest entries are dropped."""
        self.sent[request_id] = sent
        while len(self.sent) > MAX_REMEMBERED:
            del self.sent[next(iter(self.sent))]

    def send(
        self, process: Process, request_id: str, request: Request, done: Callable[[Answer | None], None]
    ) -> None:
        """Sends a request; `done` is called once with the answer, or None if the connection ended without
        one."""
        exchange = Exchange(request, lambda answer: self.run.act(done, answer))
        self.exchanges[request_id] = exchange
        self.pools[process.name].send(exchange)

    def abandon(self, request_id: str) -> None:
        """Nobody waits for the answer any more."""
        if (exchange := self.exchanges.pop(request_id, None)) is not None:
            exchange.abandon()

    def outcome_of(
        self, request_id: str, process: Process, incarnation: int, answer: Answer | None
    ) -> Outcome:
        """Returns the outcome of a request; the body must be the one that an endpoint made for it."""
        exchange = self.exchanges.pop(request_id, None)
        if answer is None:
            history = "; ".join(exchange.unanswered_on) if exchange is not None else ""
            return self.unanswered(request_id, process, incarnation, history)
        if answer.status == 200:
            try:
                body = orjson.loads(answer.body)
            except orjson.JSONDecodeError:
                body = {}
            if body.get("for") != request_id:
                self.rule_checker.violation(
                    1, request_id, "handled with a response that no endpoint made for it"
                )
            return Outcome.SUCCEEDED
        return Outcome.REJECTED if answer.status in REJECTED else Outcome.FAILED

    def unanswered(self, request_id: str, process: Process, incarnation: int, history: str) -> Outcome:
        """The connection ended without an answer: expected if the process was killed, else a violation of
        rule 1. `history` describes the connections it was sent on."""
        killed = process.killed or process.start_count != incarnation or not process.alive()
        if not killed:
            text = f"its connection to {process.name} ended without an answer ({history or 'not connected'})"
            self.rule_checker.violation(1, request_id, text)
        self.rule_checker.released(request_id)
        return Outcome.UNREACHABLE if killed else Outcome.FAILED


def request_for(
    request_id: str, request_class: RequestClass, remaining_s: float, key: str, tenant: str, repeated: bool
) -> Request:
    """Returns a request in the platform's protocol; `remaining_s` is the time until its deadline."""
    kind = request_class.name.encode()
    idempotent = request_class.terms.repeat is t.RepeatPolicy.IDEMPOTENT
    headers = [
        (b"Host", b"site"),
        (b"Req-Id", request_id.encode()),
        (b"Req-Kind", kind),
        (b"Req-Deadline", b"%.6f" % max(0.0, remaining_s)),
    ]
    if not idempotent:
        headers.append((b"Idempotency-Key", key.encode()))
    if tenant:
        headers.append((b"Req-Owner", tenant.encode()))
    if repeated:
        headers.append((b"Req-Retry", b"1"))
    return Request(b"GET" if idempotent else b"POST", b"/" + kind, headers, b"" if idempotent else BODY)


def advice_of(answer: Answer | None) -> int:
    """Returns the microseconds after which to retry, if the answer says so, else 0."""
    text = answer.header(b"retry-after") if answer is not None else None
    try:
        return int(min(MAX_ADVICE_S, max(0.0, float(text))) * SECOND) if text else 0
    except ValueError:
        return 0
