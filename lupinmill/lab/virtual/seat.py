"""One virtual sidecar: the decision module, its inbox and what carries its orders out."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from lupinmill import terms as t
from lupinmill.lab.virtual.discovery import Directory
from lupinmill.lab.virtual.held import Held
from lupinmill.lab.virtual.launches import Launches
from lupinmill.lab.world import chance_for

if TYPE_CHECKING:
    from lupinmill.lab.virtual.run import VirtualRun


class Seat:
    """Lives several times: `life` counts its deaths, and what a past life has set is nothing to this one."""

    def __init__(self, run: VirtualRun, name: str, tier: int, zone: str, position: int) -> None:
        self.run, self.name, self.tier, self.zone, self.position = run, name, tier, zone, position
        self.alive, self.lag, self.life = False, 0, 0
        self.module: Any = None
        self.inbox: list[t.Note] = []
        self.stepping = False
        self.held: dict[str, Held] = {}
        self.ending: dict[str, Held] = {}  # those whose end the module hears of in its next step
        self.chance = chance_for(run.world.seed, "seat", name)
        self.launches = Launches(self)
        self.directory = Directory(self)
        self.carriers: dict[type, Callable[[Any], None]] = {
            t.Launch: self.launches.launch,
            t.CallOff: self.launches.call_off,
            t.Probe: self.launches.probe,
            t.Deny: self.deny,
            t.BreakOff: self.break_off,
            t.WakeMe: self.wake_me,
            t.Watch: self.watch,
            t.Log: self.log,
        }

    # Life.

    def start(self) -> None:
        """A new life, with a new decision module."""
        run = self.run
        self.alive, self.inbox, self.held, self.ending = True, [], {}, {}
        self.stepping = False
        seed = int(self.chance.integers(2**62))
        self.module = run.policy(run.world.deployment(self.tier, run.instances[self.tier], seed))
        if run.commons is not None and self.tier == 0:
            run.commons.started(self)
        self.directory.start()

    def kill(self) -> None:
        """What it held is its clients' to ask for again; what it sent breaks off."""
        if not self.alive:
            return
        run = self.run
        self.alive = False
        self.life += 1
        if run.commons is not None:
            run.commons.killed(self)
        self.directory.stop()
        run.world.referee.restarted(self.name)
        held, self.held = self.held, {}
        for one in held.values():
            self.launches.close(one)
            if not one.closed:
                run.world.referee.released(one.name)
                run.timeline.after(run.world.network.client_way, one.answer, "unreachable", 0)
        self.launches.connections.close(run.world.by_endpoint)

    # Notes in, orders out.

    def tell(self, note: t.Note) -> None:
        """A note for the module's next step, which is set if it is not yet."""
        self.inbox.append(note)
        if not self.stepping:
            self.stepping = True
            round_, now = self.run.round, self.run.timeline.now
            at = now if round_ <= 1 else -(-now // round_) * round_
            if self.lag:
                at += int(self.lag * self.chance.uniform(0.5, 1.5))
            self.run.timeline.at(at, self.step, self.life)

    def step(self, life: int) -> None:
        """One step of the module over all notes since the last one."""
        if life != self.life or not self.alive:
            return
        self.stepping = False
        run, notes, self.inbox = self.run, self.inbox, []
        now, ending = run.timeline.now, list(self.ending.values())
        orders = self.module.step(now, notes)
        run.watch_step(self, now, notes, orders)
        for order in orders:
            self.carriers[type(order)](order)
        for held in ending:  # from now on a launch of them breaks rule 1
            held.told = True
            self.ending.pop(held.name, None)
            self.tidy(held)

    # Submissions.

    def take(self, held: Held, tenant: str, repeated: bool, front: bool) -> None:
        """A submission has come; `front`: from a client, not from an endpoint."""
        now = self.run.timeline.now
        self.run.world.referee.taken(now, held.name, held.workload, held.due, front)
        self.held[held.name] = held
        self.tell(t.Arrived(held.name, held.workload, held.due, tenant, repeated))

    def withdraw(self, name: str) -> None:
        """Whoever asked has gone away."""
        held = self.held.get(name)
        if held is not None and not held.closed:
            self.close(held)
            self.tell(t.Withdrawn(name))

    def close(self, held: Held) -> None:
        """Ended by something other than the module, which hears of it in its next step."""
        held.closed = True
        self.ending[held.name] = held

    def settle(self, name: str, what: str, advice: int) -> None:
        """Ended by the module."""
        held = self.held.get(name)
        if held is None or held.closed:
            self.run.world.referee.answered(self.run.timeline.now, name, what)
            return
        held.closed = held.told = True
        self.ending.pop(name, None)
        held.answer(what, advice)
        self.tidy(held)

    def tidy(self, held: Held) -> None:
        """Forgets it once it is over for the module and for the network."""
        if held.told and all(flight.over for flight in held.flights):
            self.held.pop(held.name, None)

    # Orders other than to endpoints.

    def deny(self, order: t.Deny) -> None:
        """The submission is turned away."""
        self.settle(order.submission, "denied", order.come_back)

    def break_off(self, order: t.BreakOff) -> None:
        """The submission is given up, and may have run."""
        self.settle(order.submission, "broken off", 0)

    def wake_me(self, order: t.WakeMe) -> None:
        """The module wants a step at that time."""
        self.run.timeline.at(order.at, self.woken, order.ref, self.life)

    def woken(self, ref: int, life: int) -> None:
        """That time has come."""
        if life == self.life and self.alive:
            self.tell(t.Woke(ref))

    def watch(self, _: t.Watch) -> None:
        """The module asks discovery for changes."""
        self.run.calls[self.tier].call(self)

    def log(self, order: t.Log) -> None:
        """A line for the result."""
        self.run.note(self, order.text)
