"""Submissions on their way to sidecars' processes: of clients, and of endpoints that call the next tier."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from lupinmill import terms as t
from lupinmill.lab.processes import Process
from lupinmill.lab.stands import AskPool, Exchange
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.world import DrawnWorkload
from lupinmill.protocol.http import Answer, Request

if TYPE_CHECKING:
    from lupinmill.lab.sockets.run import SocketRun

MOST_WANTED = 200_000
BODY = b"x" * 200  # of a submission that is not idempotent
DENIED = (429, 503)
LONGEST_ADVICE_S = 60.0


@dataclass(slots=True, frozen=True)
class Wanted:
    """What was sent under a submission's name: endpoints find the work of a request by it."""

    workload: str
    work: float  # seconds
    key: str
    sidecar: str


class Asks:
    """All exchanges that are out, and what was sent of late."""

    def __init__(self, run: SocketRun) -> None:
        self.run, self.referee = run, run.world.referee
        self.wanted: dict[str, Wanted] = {}
        self.exchanges: dict[str, Exchange] = {}
        self.pools: dict[str, AskPool] = {}  # by the sidecar's name

    def open_pool(self, process: Process) -> None:
        """Connections to one sidecar; they follow its address over restarts."""
        self.pools[process.name] = AskPool(lambda: process.address)

    def close(self) -> None:
        """All connections."""
        for pool in self.pools.values():
            pool.close()

    def remember(self, submission: str, wanted: Wanted) -> None:
        """The oldest are forgotten."""
        self.wanted[submission] = wanted
        while len(self.wanted) > MOST_WANTED:
            del self.wanted[next(iter(self.wanted))]

    def send(
        self, process: Process, submission: str, request: Request, done: Callable[[Answer | None], None]
    ) -> None:
        """`done` is told of the answer once; None: the connection ended without one."""
        exchange = Exchange(request, lambda answer: self.run.act(done, answer))
        self.exchanges[submission] = exchange
        self.pools[process.name].send(exchange)

    def abandon(self, submission: str) -> None:
        """Nobody waits for its answer any more."""
        if (exchange := self.exchanges.pop(submission, None)) is not None:
            exchange.abandon()

    def verdict(self, submission: str, process: Process, life: int, answer: Answer | None) -> str:
        """What an answer means; the body must be one that an endpoint made for this submission."""
        self.exchanges.pop(submission, None)
        if answer is None:
            return self.unanswered(submission, process, life)
        if answer.status == 200:
            try:
                body = orjson.loads(answer.body)
            except orjson.JSONDecodeError:
                body = {}
            if body.get("for") != submission:
                self.referee.breaks(1, submission, "handled with what no endpoint made for it")
            return "handled"
        return "denied" if answer.status in DENIED else "broken off"

    def unanswered(self, submission: str, process: Process, life: int) -> str:
        """The connection ended: right where the process was killed, a broken rule where it lives."""
        killed = process.killed or process.lives != life or not process.alive()
        if not killed:
            self.referee.breaks(1, submission, "its connection ended without an answer")
        self.referee.released(submission)
        return "unreachable" if killed else "broken off"


def request_for(
    submission: str, workload: DrawnWorkload, left: float, key: str, tenant: str, repeated: bool
) -> Request:
    """A submission by the platform's protocol; `left`: seconds until its hard limit."""
    kind = workload.name.encode()
    idempotent = workload.terms.repeat is t.Repeat.IDEMPOTENT
    headers = [
        (b"Host", b"site"),
        (b"Req-Id", submission.encode()),
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
