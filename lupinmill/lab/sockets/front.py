"""The way of clients to the front sidecars of a run on sockets."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import numpy as np

from lupinmill import terms as t
from lupinmill.lab.clients import Wish
from lupinmill.lab.processes import Process
from lupinmill.lab.sockets.asks import Wanted, advice_of, request_for
from lupinmill.lab.timeline import SECOND
from lupinmill.protocol.http import Answer

if TYPE_CHECKING:
    from lupinmill.lab.sockets.run import SocketRun


class Front:
    """Picks a sidecar for each try of a client. It notices a dead one only after a while."""

    def __init__(self, run: SocketRun, chance: np.random.Generator) -> None:
        self.run, self.world, self.timeline, self.chance = run, run.world, run.timeline, chance
        self.dead_until: dict[int, int] = {}  # sidecar -> when the front notices that it died

    def ask(self, wish: Wish, submission: str, due: int, repeated: bool) -> None:
        """One try of a client."""
        run, now, workload = self.run, self.timeline.now, wish.workload
        at = self.pick()
        if at is None or not run.fronts[at].alive():
            span, ended = 2 * self.world.network.client_way, run.clients.ended
            self.timeline.after(span, ended, submission, "unreachable", 0)
            return
        process = wish.sidecar = run.fronts[at]
        keyed = workload.terms.repeat is not t.Repeat.IDEMPOTENT
        self.world.referee.taken(now, submission, workload.name, due, True)
        wanted = Wanted(workload.name, wish.work, wish.name if keyed else "", process.name)
        run.asks.remember(submission, wanted)
        left = (due - now) / SECOND
        request = request_for(submission, workload, left, wish.name, wish.tenant, repeated)
        done = partial(self.answered, submission, process, process.lives)
        run.asks.send(process, submission, request, done)

    def pick(self) -> int | None:
        """Any that the front believes alive, a dead one for a while too."""
        now = self.timeline.now
        believed = [
            at
            for at, p in enumerate(self.run.fronts)
            if p.alive() and p.ready or self.dead_until.get(at, 0) > now
        ]
        return believed[int(self.chance.integers(len(believed)))] if believed else None

    def answered(self, submission: str, process: Process, life: int, answer: Answer | None) -> None:
        """The answer comes to the client; None: the connection ended without one."""
        what = self.run.asks.verdict(submission, process, life, answer)
        if answer is not None:
            self.world.referee.answered(self.timeline.now, submission, what)
        self.run.clients.ended(submission, what, advice_of(answer))

    def gave_up(self, wish: Wish, submission: str) -> None:
        """The client has gone away."""
        self.run.asks.abandon(submission)

    def any_address(self) -> str:
        """Of one of the sidecars, drawn."""
        return self.run.fronts[int(self.chance.integers(len(self.run.fronts)))].address

    def died(self, at: int, down: int) -> None:
        """A sidecar was killed and is down for so many microseconds."""
        notice = int(self.world.sidecar_notice * SECOND)
        self.dead_until[at] = self.timeline.now + min(down, notice)
