"""Routes requests of clients to the front sidecars of a virtual run."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import numpy as np

from lupinmill import terms as t
from lupinmill.lab.clients import ClientRequest
from lupinmill.lab.outcome import Outcome
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.virtual.request import Request
from lupinmill.lab.virtual.sidecar import VirtualSidecar

if TYPE_CHECKING:
    from lupinmill.lab.virtual.run import VirtualRun


class FrontRouter:
    """Picks a sidecar for each try. It notices only after a delay that a sidecar has died."""

    def __init__(self, run: VirtualRun, random_source: np.random.Generator) -> None:
        self.run, self.world, self.timeline, self.random_source = run, run.world, run.timeline, random_source
        self.dead_until: dict[int, int] = {}  # position of a sidecar -> when its death is noticed
        shares = dict(zip(run.world.zones, run.world.scenario.net.traffic))
        self.weights = [shares[sidecar.zone] for sidecar in run.sidecars] if shares else []

    def send_try(self, client_request: ClientRequest, request_id: str, due: int, repeated: bool) -> None:
        """Sends one try of a client."""
        client_delay, ended = self.world.network.client_delay, self.run.clients.ended
        sidecar = self.pick()
        if sidecar is None or not sidecar.alive:
            self.timeline.after(2 * client_delay, ended, request_id, Outcome.UNREACHABLE, 0)
            return
        client_request.sidecar = sidecar
        self.timeline.after(
            client_delay,
            self.try_arrived,
            client_request,
            request_id,
            sidecar,
            sidecar.incarnation,
            due,
            repeated,
        )

    def pick(self) -> VirtualSidecar | None:
        """Picks one of the sidecars that are believed alive, by the weights of their zones."""
        now = self.timeline.now
        believed = [s for s in self.run.sidecars if s.alive or self.dead_until.get(s.position, 0) > now]
        if self.weights and believed:
            weights = np.array([self.weights[s.position] for s in believed])
            if weights.sum() > 0:
                return believed[int(self.random_source.choice(len(believed), p=weights / weights.sum()))]
        return believed[int(self.random_source.integers(len(believed)))] if believed else None

    def try_arrived(
        self,
        client_request: ClientRequest,
        request_id: str,
        sidecar: VirtualSidecar,
        incarnation: int,
        due: int,
        repeated: bool,
    ) -> None:
        """The try arrives at the sidecar."""
        clients = self.run.clients
        if request_id not in clients.open:
            return
        if not sidecar.alive or sidecar.incarnation != incarnation:
            clients.ended(request_id, Outcome.UNREACHABLE, 0)
            return
        keyed = client_request.workload.terms.repeat is not t.RepeatPolicy.IDEMPOTENT
        key, answer = client_request.name if keyed else "", partial(self.answer, request_id)
        sidecar.accept(
            Request(request_id, key, client_request.workload.name, client_request.work, due, answer),
            client_request.tenant,
            repeated,
            True,
        )

    def answer(self, request_id: str, outcome: Outcome, advice: int) -> None:
        """Sends the answer to the client."""
        self.timeline.after(self.world.network.client_delay, self.answer_arrived, request_id, outcome, advice)

    def answer_arrived(self, request_id: str, outcome: Outcome, advice: int) -> None:
        """The answer arrives at the client."""
        if outcome is not Outcome.UNREACHABLE:
            self.world.rule_checker.answered(self.timeline.now, request_id, outcome)
        self.run.clients.ended(request_id, outcome, advice)

    def cancel(self, client_request: ClientRequest, request_id: str) -> None:
        """The client no longer waits."""
        sidecar = client_request.sidecar
        if sidecar is not None and sidecar.alive:
            sidecar.cancel(request_id)

    # Troubles.

    def kill(self, at: int, down_s: float) -> None:
        """Kills a front sidecar and restarts it after `down_s` seconds."""
        sidecar = self.run.sidecars[at]
        if not sidecar.alive:
            return
        sidecar.kill()
        down = int(down_s * SECOND)
        self.dead_until[at] = self.timeline.now + min(down, int(self.world.sidecar_notice * SECOND))
        self.timeline.after(down, self.start, sidecar)

    def start(self, sidecar: VirtualSidecar) -> None:
        """Starts a sidecar, unless it was started meanwhile."""
        if not sidecar.alive:
            sidecar.start()
