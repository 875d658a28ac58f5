"""Routes requests of clients to the front sidecars of a run on sockets."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import numpy as np

from lupinmill import terms as t
from lupinmill.lab.clients import ClientRequest
from lupinmill.lab.outcome import Outcome
from lupinmill.lab.processes import Process
from lupinmill.lab.sockets.requests import SentRequest, advice_of, request_for
from lupinmill.lab.timeline import SECOND
from lupinmill.protocol.http import Answer

if TYPE_CHECKING:
    from lupinmill.lab.sockets.run import SocketRun


class FrontRouter:
    """Picks a sidecar for each try. It notices only after a delay that a sidecar has died."""

    def __init__(self, run: SocketRun, random_source: np.random.Generator) -> None:
        self.run, self.world, self.timeline, self.random_source = run, run.world, run.timeline, random_source
        self.dead_until: dict[int, int] = {}  # number of a sidecar -> when its death is noticed

    def send_try(self, client_request: ClientRequest, request_id: str, due: int, repeated: bool) -> None:
        """Sends one try of a client."""
        run, now, request_class = self.run, self.timeline.now, client_request.workload
        at = self.pick()
        if at is None or not run.fronts[at].alive():
            delay, ended = 2 * self.world.network.client_delay, run.clients.ended
            self.timeline.after(delay, ended, request_id, Outcome.UNREACHABLE, 0)
            return
        process = client_request.sidecar = run.fronts[at]
        keyed = request_class.terms.repeat is not t.RepeatPolicy.IDEMPOTENT
        self.world.rule_checker.request_received(now, request_id, request_class.name, due, True)
        sent = SentRequest(
            request_class.name, client_request.work, client_request.name if keyed else "", process.name
        )
        run.requests.remember(request_id, sent)
        remaining_s = (due - now) / SECOND
        request = request_for(
            request_id, request_class, remaining_s, client_request.name, client_request.tenant, repeated
        )
        done = partial(self.answered, request_id, process, process.start_count)
        run.requests.send(process, request_id, request, done)

    def pick(self) -> int | None:
        """Picks one of the sidecars that are believed alive."""
        now = self.timeline.now
        believed = [
            at
            for at, p in enumerate(self.run.fronts)
            if p.alive() and p.ready or self.dead_until.get(at, 0) > now
        ]
        return believed[int(self.random_source.integers(len(believed)))] if believed else None

    def answered(self, request_id: str, process: Process, incarnation: int, answer: Answer | None) -> None:
        """The answer arrives at the client; None: the connection ended without one."""
        outcome = self.run.requests.outcome_of(request_id, process, incarnation, answer)
        if answer is not None:
            self.world.rule_checker.answered(self.timeline.now, request_id, outcome)
        self.run.clients.ended(request_id, outcome, advice_of(answer))

    def cancel(self, client_request: ClientRequest, request_id: str) -> None:
        """The client no longer waits."""
        self.run.requests.abandon(request_id)

    def any_address(self) -> str:
        """Returns the address of a random sidecar."""
        return self.run.fronts[int(self.random_source.integers(len(self.run.fronts)))].address

    def died(self, at: int, down: int) -> None:
        """A sidecar was killed and is down for `down` microseconds."""
        notice = int(self.world.sidecar_notice * SECOND)
        self.dead_until[at] = self.timeline.now + min(down, notice)
