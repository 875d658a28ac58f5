"""The way of clients to the front sidecars of a virtual run."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import numpy as np

from lupinmill import terms as t
from lupinmill.lab.clients import Wish
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.virtual.held import Held
from lupinmill.lab.virtual.seat import Seat

if TYPE_CHECKING:
    from lupinmill.lab.virtual.run import VirtualRun


class Front:
    """Picks a sidecar for each try of a client. It notices a dead one only after a while."""

    def __init__(self, run: VirtualRun, chance: np.random.Generator) -> None:
        self.run, self.world, self.timeline, self.chance = run, run.world, run.timeline, chance
        self.dead_until: dict[int, int] = {}  # sidecar -> when the front notices that it died
        shares = dict(zip(run.world.zones, run.world.scenario.net.traffic))
        self.weights = [shares[seat.zone] for seat in run.seats] if shares else []

    def ask(self, wish: Wish, submission: str, due: int, repeated: bool) -> None:
        """One try of a client."""
        client_way, ended = self.world.network.client_way, self.run.clients.ended
        seat = self.pick()
        if seat is None or not seat.alive:
            self.timeline.after(2 * client_way, ended, submission, "unreachable", 0)
            return
        wish.sidecar = seat
        self.timeline.after(client_way, self.reach, wish, submission, seat, seat.life, due, repeated)

    def pick(self) -> Seat | None:
        """Any that the front believes alive, a dead one for a while too."""
        now = self.timeline.now
        believed = [s for s in self.run.seats if s.alive or self.dead_until.get(s.position, 0) > now]
        if self.weights and believed:
            parts = np.array([self.weights[s.position] for s in believed])
            if parts.sum() > 0:
                return believed[int(self.chance.choice(len(believed), p=parts / parts.sum()))]
        return believed[int(self.chance.integers(len(believed)))] if believed else None

    def reach(self, wish: Wish, submission: str, seat: Seat, life: int, due: int, repeated: bool) -> None:
        """The try comes to the sidecar."""
        clients = self.run.clients
        if submission not in clients.open:
            return
        if not seat.alive or seat.life != life:
            clients.ended(submission, "unreachable", 0)
            return
        keyed = wish.workload.terms.repeat is not t.Repeat.IDEMPOTENT
        key, answer = wish.name if keyed else "", partial(self.answer, submission)
        seat.take(
            Held(submission, key, wish.workload.name, wish.work, due, answer), wish.tenant, repeated, True
        )

    def answer(self, submission: str, what: str, advice: int) -> None:
        """The answer, on its way to the client."""
        self.timeline.after(self.world.network.client_way, self.answered, submission, what, advice)

    def answered(self, submission: str, what: str, advice: int) -> None:
        """The answer comes to the client."""
        if what != "unreachable":
            self.world.referee.answered(self.timeline.now, submission, what)
        self.run.clients.ended(submission, what, advice)

    def gave_up(self, wish: Wish, submission: str) -> None:
        """The client has gone away."""
        seat = wish.sidecar
        if seat is not None and seat.alive:
            seat.withdraw(submission)

    # Troubles.

    def kill(self, at: int, down_s: float) -> None:
        """Kills a front sidecar, which starts again after so many seconds."""
        seat = self.run.seats[at]
        if not seat.alive:
            return
        seat.kill()
        down = int(down_s * SECOND)
        self.dead_until[at] = self.timeline.now + min(down, int(self.world.sidecar_notice * SECOND))
        self.timeline.after(down, self.start, seat)

    def start(self, seat: Seat) -> None:
        """Unless it was started meanwhile."""
        if not seat.alive:
            seat.start()
