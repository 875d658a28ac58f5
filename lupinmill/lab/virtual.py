"""Virtual time: the site, the network and the decision module itself in one process, from one seed. Owns the
sidecars and their submissions; nothing here waits for a clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import numpy as np
import xxhash

from lupinmill import terms as t
from lupinmill.lab import policies
from lupinmill.lab.clients import Clients, Wish
from lupinmill.lab.endpoint import Endpoint, Job
from lupinmill.lab.measure import Measure
from lupinmill.lab.registry import Entry, Registry, listing
from lupinmill.lab.scenario import Scenario
from lupinmill.lab.timeline import MS, SECOND, Timeline
from lupinmill.lab.world import SILENT_WATCH_S, World, chance_for, draw, job_for
from lupinmill.lab.world.troubles.plan import plan

EPOCH = 1_000 * SECOND  # when every virtual day begins
SETTLED = 8 * SECOND  # how long a run goes on after its last arrival
KEPT_CONNECTIONS = 64  # idle ones of one sidecar to one endpoint


@dataclass(slots=True, eq=False)
class Flight:
    """One launch on its way."""

    number: int
    endpoint: Endpoint
    epoch: int
    sent: int
    job: Job | None = None
    over: bool = False
    deadline: Any = None
    record: Any = None
    fresh: bool = False


@dataclass(slots=True, eq=False)
class Held:
    """A submission that a sidecar has taken; kept until its last outcome has come."""

    name: str
    key: str
    workload: str
    work: float
    due: int
    answer: Callable[[str, int], None]
    flights: list[Flight] = field(default_factory=list)
    closed: bool = False
    told: bool = False  # its end is known to the module: by its own order, or by a step that has passed


class Seat:
    """One virtual sidecar: the decision module, its inbox, its connections."""

    def __init__(self, run: VirtualRun, name: str, tier: int, zone: str, position: int) -> None:
        self.run, self.name, self.tier, self.zone, self.position = run, name, tier, zone, position
        self.alive, self.lag, self.life = False, 0, 0
        self.module: Any = None
        self.inbox: list[t.Note] = []
        self.stepping = False
        self.held: dict[str, Held] = {}
        self.ending: dict[str, Held] = {}  # those whose end the module hears of in its next step
        self.idle: dict[str, deque[tuple[int, int]]] = {}  # endpoint -> (epoch, since) of idle connections
        self.known: dict[str, Entry] = {}
        self.index: int | None = None
        self.watching = False
        self.chance = chance_for(run.world.seed, "seat", name)
        self.carriers: dict[type, Callable[[Any], None]] = {
            t.Launch: self.launch,
            t.CallOff: self.call_off,
            t.Deny: self.deny,
            t.BreakOff: self.break_off,
            t.WakeMe: self.wake_me,
            t.Probe: self.probe,
            t.Watch: self.watch,
            t.Log: self.log,
        }

    # Life.

    def start(self) -> None:
        run = self.run
        self.alive, self.inbox, self.held, self.ending, self.idle = True, [], {}, {}, {}
        self.stepping = False
        seed = int(self.chance.integers(2**62))
        self.module = run.policy(run.world.deployment(self.tier, run.instances[self.tier], seed))
        registry = run.world.registries[self.tier]
        if not self.known:
            self.known, self.index = dict(registry.entries), registry.index
        if run.commons is not None and self.tier == 0:
            run.commons.started(self)
        self.tell(t.Listed(t.ListKind.CACHED, [listing(entry) for entry in self.known.values()]))
        if run.world.scenario.discovery.how == "push":
            self.subscribe(True)

    def kill(self) -> None:
        """What it held is its clients' to ask for again; what it sent breaks off."""
        if not self.alive:
            return
        run, now = self.run, self.run.timeline.now
        self.alive, self.watching = False, False
        self.life += 1
        if run.commons is not None:
            run.commons.killed(self)
        run.world.registries[self.tier].leave(self.name)
        run.world.referee.restarted(self.name)
        held, self.held = self.held, {}
        for one in held.values():
            for flight in one.flights:
                if not flight.over:
                    self.end_flight(flight, now)
            if not one.closed:
                run.world.referee.released(one.name)
                run.timeline.after(run.world.network.client_way, one.answer, "unreachable", 0)
        for name, connections in self.idle.items():
            for epoch, _ in connections:
                run.world.by_endpoint[name].disconnect(epoch)
        self.idle = {}

    # Notes in, orders out.

    def tell(self, note: t.Note) -> None:
        self.inbox.append(note)
        if not self.stepping:
            self.stepping = True
            round_, now = self.run.round, self.run.timeline.now
            at = now if round_ <= 1 else -(-now // round_) * round_
            if self.lag:
                at += int(self.lag * self.chance.uniform(0.5, 1.5))
            self.run.timeline.at(at, self.step, self.life)

    def step(self, life: int) -> None:
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

    def take(self, held: Held, tenant: str, repeated: bool, front: bool) -> None:
        now = self.run.timeline.now
        self.run.world.referee.taken(now, held.name, held.workload, held.due, front)
        self.held[held.name] = held
        self.tell(t.Arrived(held.name, held.workload, held.due, tenant, repeated))

    def withdraw(self, name: str) -> None:
        held = self.held.get(name)
        if held is not None and not held.closed:
            held.closed = True
            self.ending[name] = held
            self.tell(t.Withdrawn(name))

    # Orders.

    def launch(self, order: t.Launch) -> None:
        run, now = self.run, self.run.timeline.now
        held = self.held.get(order.submission)
        endpoint = run.world.by_endpoint.get(order.endpoint)
        if held is None or endpoint is None or held.told:
            run.world.referee.breaks(
                1, order.submission, f"a launch of what is not open, to {order.endpoint}"
            )
            return
        second = run.measure.at(now)
        second.launches += 1
        second.crossed += self.zone != endpoint.shape.zone
        number = len(held.flights)
        flight = Flight(number, endpoint, endpoint.epoch, now)
        held.flights.append(flight)
        if held.closed:  # it ended in the very batch that the module is answering
            return self.outcome(held, flight, t.How.UNSENT, None)
        flight.record = run.world.referee.sent(now, held.name, endpoint, self.name)
        until = min(order.until or held.due, held.due)
        flight.deadline = run.timeline.at(until, self.outcome, held, flight, t.How.TIMED_OUT, None)
        way = run.world.network.delay(self.zone, endpoint.shape.zone)
        if self.reuse(endpoint):
            run.timeline.after(way, self.arrive, held, flight, self.life)
            return
        cut = self.cut_from(endpoint)
        if endpoint.silent or not endpoint.alive or cut:
            span = endpoint.shape.connect_limit_s * SECOND if endpoint.silent or cut else 2 * way
            run.timeline.after(span, self.outcome, held, flight, t.How.UNCONNECTED, None)
            return
        if not endpoint.connect():
            run.timeline.after(2 * way, self.outcome, held, flight, t.How.UNCONNECTED, None)
            return
        flight.fresh = True
        run.timeline.after((1 + 2 * endpoint.shape.round_trips) * way, self.arrive, held, flight, self.life)

    def cut_from(self, endpoint: Endpoint) -> bool:
        world, zone = self.run.world, endpoint.shape.zone
        return world.network.blocked(self.zone, zone) or world.network.blocked(zone, self.zone)

    def reuse(self, endpoint: Endpoint) -> bool:
        """An idle connection, the latest first; those of a past life of the endpoint are gone with it."""
        idle, now = self.idle.get(endpoint.shape.name), self.run.timeline.now
        while idle:
            epoch, since = idle.pop()
            if epoch != endpoint.epoch and not endpoint.silent:
                continue
            if now - since > 0.9 * endpoint.shape.idle_s * SECOND:
                endpoint.disconnect(epoch)
                continue
            return True
        return False

    def keep(self, flight: Flight) -> None:
        endpoint = flight.endpoint
        if flight.epoch != endpoint.epoch:
            return
        idle = self.idle.setdefault(endpoint.shape.name, deque())
        if len(idle) < KEPT_CONNECTIONS:
            idle.append((flight.epoch, self.run.timeline.now))
        else:
            endpoint.disconnect(flight.epoch)

    def arrive(self, held: Held, flight: Flight, life: int) -> None:
        """At the endpoint, unless it was called off on the way or the endpoint has died meanwhile."""
        endpoint, run = flight.endpoint, self.run
        if flight.over or life != self.life or run.world.network.blocked(self.zone, endpoint.shape.zone):
            return  # what is lost behind a cut is a time-out
        if flight.epoch != endpoint.epoch or not endpoint.alive:
            if not endpoint.silent:
                run.timeline.after(run.world.network.delay(), self.outcome, held, flight, t.How.RESET, None)
            return

        def reply(how: t.How, load: t.Load | None) -> None:
            if life == self.life and not run.world.network.blocked(endpoint.shape.zone, self.zone):
                way = run.world.network.delay(self.zone, endpoint.shape.zone)
                run.timeline.after(way, self.outcome, held, flight, how, load)

        job = flight.job = job_for(
            run.world,
            held.name,
            held.key,
            held.workload,
            held.work,
            self.tier,
            held.due,
            run.calls_of(self.tier),
            reply,
        )
        job.sidecar = self
        endpoint.receive(job, self.informed(endpoint))

    def informed(self, endpoint: Endpoint) -> bool:
        entry = self.known.get(endpoint.shape.name)
        return entry is not None and entry.started == endpoint.started

    def outcome(self, held: Held, flight: Flight, how: t.How, load: t.Load | None) -> None:
        if flight.over or not self.alive:
            return
        now = self.run.timeline.now
        self.end_flight(flight, now, how)
        first = how is t.How.HANDLED and not held.closed
        if first:
            held.closed = True
            self.ending[held.name] = held
            held.answer("handled", 0)
        self.tell(t.Ended(held.name, flight.number, how, now - flight.sent, held.closed, load))
        self.tidy(held)

    def end_flight(self, flight: Flight, now: int, how: t.How = t.How.RESET) -> None:
        """The one place where a launch's connection and record are given back."""
        flight.over = True
        if flight.deadline is not None:
            flight.deadline.cancel()
        if flight.record is not None:
            flight.record.out = False
        if how in (t.How.HANDLED, t.How.ERROR, t.How.REFUSED):
            self.keep(flight)
        elif how not in (t.How.UNCONNECTED, t.How.UNSENT):
            flight.endpoint.disconnect(flight.epoch)
            if flight.job is not None and flight.job.state != "over":
                self.run.timeline.after(self.run.world.network.one_way, self.cancel_there, flight)

    def cancel_there(self, flight: Flight) -> None:
        if flight.epoch == flight.endpoint.epoch and flight.job is not None:
            flight.endpoint.cancel(flight.job)

    def tidy(self, held: Held) -> None:
        if held.told and all(flight.over for flight in held.flights):
            self.held.pop(held.name, None)

    def call_off(self, order: t.CallOff) -> None:
        held = self.held.get(order.submission)
        if held is not None and order.launch < len(held.flights):
            flight = held.flights[order.launch]
            sent_whole = flight.job is not None
            self.outcome(
                held, flight, t.How.CALLED_OFF if sent_whole or not flight.fresh else t.How.UNSENT, None
            )

    def settle(self, name: str, what: str, advice: int) -> None:
        held = self.held.get(name)
        if held is None or held.closed:
            self.run.world.referee.answered(self.run.timeline.now, name, what)
            return
        held.closed = held.told = True
        self.ending.pop(name, None)
        held.answer(what, advice)
        self.tidy(held)

    def deny(self, order: t.Deny) -> None:
        self.settle(order.submission, "denied", order.come_back)

    def break_off(self, order: t.BreakOff) -> None:
        self.settle(order.submission, "broken off", 0)

    def wake_me(self, order: t.WakeMe) -> None:
        self.run.timeline.at(order.at, self.woken, order.ref, self.life)

    def woken(self, ref: int, life: int) -> None:
        if life == self.life and self.alive:
            self.tell(t.Woke(ref))

    def log(self, order: t.Log) -> None:
        self.run.note(self, order.text)

    def probe(self, order: t.Probe) -> None:
        run, endpoint = self.run, self.run.world.by_endpoint[order.endpoint]
        run.measure.at(run.timeline.now).probes += 1
        way, sent = run.world.network.delay(self.zone, endpoint.shape.zone), run.timeline.now

        def answer(life: int) -> None:
            cut = self.cut_from(endpoint)
            got = endpoint.probe() if not cut else None
            how, load = got or (t.How.UNCONNECTED, None)
            span = (
                way
                if got or not (endpoint.silent or endpoint.paused or cut)
                else endpoint.shape.connect_limit_s * SECOND
            )
            run.timeline.after(span, heard, how, load, life)

        def heard(how: t.How, load: t.Load | None, life: int) -> None:
            if life == self.life and self.alive:
                self.tell(t.Probed(order.endpoint, how, run.timeline.now - sent, load))

        run.timeline.after(way, answer, self.life)

    # Discovery.

    def watch(self, _: t.Watch) -> None:
        self.run.calls[self.tier].call(self)

    def subscribe(self, whole: bool) -> None:
        """Changes since the list that it has, then each as it is published."""
        registry, run = self.run.world.registries[self.tier], self.run
        if registry.down or registry.silent:
            run.timeline.after(SECOND, self.subscribe_again, self.life)
            return
        full, entries = registry.since(None if whole else self.index)
        self.index = registry.index
        self.hear(t.ListKind.FULL if full else t.ListKind.CHANGES, entries)
        self.watching = True
        registry.listen(self.name, self.published, self.watch_broke)

    def subscribe_again(self, life: int) -> None:
        if life == self.life and self.alive:
            self.subscribe(True)

    def published(self, index: int, entry: Entry) -> None:
        self.run.timeline.after(self.run.spread(self.chance), self.hear_change, index, entry, self.life)

    def hear_change(self, index: int, entry: Entry, life: int) -> None:
        if life == self.life and self.alive and self.watching:
            self.index = max(self.index or 0, index)
            self.hear(t.ListKind.CHANGES, [entry])

    def hear(self, kind: t.ListKind, entries: list[Entry]) -> None:
        referee, now = self.run.world.referee, self.run.timeline.now
        if kind is t.ListKind.FULL:
            named = {entry.name for entry in entries}
            for name in [name for name in self.known if name not in named]:
                referee.heard(now, self.name, name, True)
                del self.known[name]
        for entry in entries:
            referee.heard(now, self.name, entry.name, entry.state is not t.State.READY)
            if entry.state is t.State.GONE:
                self.known.pop(entry.name, None)
            else:
                self.known[entry.name] = entry
        self.tell(t.Listed(kind, [listing(entry) for entry in entries]))

    def watch_broke(self) -> None:
        """Discovery went down; a silent one is noticed when a call hears not even that there is no news."""
        span = SILENT_WATCH_S if self.run.world.registries[self.tier].silent else 0.05
        self.run.timeline.after(span * SECOND, self.watch_failed, self.life)

    def watch_failed(self, life: int) -> None:
        if life != self.life or not self.alive:
            return
        self.watching = False
        if self.run.world.scenario.discovery.how == "push":
            self.subscribe_again(life)
        else:
            self.tell(t.Listed(t.ListKind.FAILED, []))


class Calls:
    """Discovery works through calls in turn, and fails what has waited too long."""

    def __init__(self, run: VirtualRun, registry: Registry, per_second: float, time_out: int) -> None:
        self.run, self.registry, self.each, self.time_out = (
            run,
            registry,
            SECOND / max(0.1, per_second),
            time_out,
        )
        self.free_at = 0.0

    def call(self, seat: Seat) -> None:
        run, now = self.run, self.run.timeline.now
        if self.registry.silent or self.registry.down:
            span = self.time_out if self.registry.silent else 5 * MS
            run.timeline.after(span, seat.watch_failed, seat.life)
            return
        done = max(self.free_at, now) + self.each
        if done - now > self.time_out:
            run.timeline.after(self.time_out, seat.watch_failed, seat.life)
            return
        self.free_at = done
        run.timeline.at(int(done), self.answer, seat, seat.life)

    def answer(self, seat: Seat, life: int) -> None:
        if seat.life == life and seat.alive:
            if self.registry.down or self.registry.silent:
                seat.watch_failed(life)
            else:
                seat.subscribe(False)


class VirtualRun:
    """One run of a scenario with one seed. The same seed gives the same steps, in every process."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        policy: str = "lupinmill",
        trace: Callable[[int, Seat, list[t.Note], list[t.Order]], None] | None = None,
        tick: Callable[[int, Measure], None] | None = None,
        commons: Callable[[VirtualRun], Any] | None = None,
    ) -> None:
        self.timeline = Timeline(EPOCH)
        self.commons: Any = None  # what its front sidecars hold in common, where they do
        self.world = World(scenario, seed, self.timeline)
        self.policy = policies.find(policy)
        self.measure = Measure(EPOCH, self.world.seconds, [w.name for w in self.world.workloads])
        self.clients = Clients(self.world, self, self.measure)
        self.round = max(1, int(scenario.sidecars.round_ms * MS))
        self.trace, self.tick = trace, tick
        self.steps, self.digest = 0, xxhash.xxh64()
        self.digests: list[str] = []
        self.notes: list[tuple[float, str, str]] = []
        site = chance_for(seed, "front")
        self.front = site
        found = scenario.discovery
        self.spread_s = draw(site, found.spread_ms) / 1000
        self.calls = [
            Calls(self, registry, draw(site, found.calls_per_s), int(found.time_out_s * SECOND))
            for registry in self.world.registries
        ]
        self.call_chance = chance_for(seed, "calls")
        self.serial = 0
        self.seats = [
            Seat(self, f"s{at}", 0, self.world.zones[at % len(self.world.zones)], at)
            for at in range(self.world.sidecars)
        ]
        self.instances = [len(self.seats)] + [len(tier) for tier in self.world.tiers[:-1]]
        self.inner: dict[str, Seat] = {}
        self.dead_until: dict[int, int] = {}  # sidecar -> when the front notices that it died
        self.stop = False
        shares = dict(zip(self.world.zones, scenario.net.traffic))
        self.weights = [shares[seat.zone] for seat in self.seats] if shares else []
        if commons is not None:
            self.commons = commons(self)
        if len(self.world.tiers) > 1:
            for endpoint in [e for tier in self.world.tiers[:-1] for e in tier]:
                self.endpoint_started(endpoint)

    # The run.

    def play(self) -> None:
        """To the end, or until `stop` is set."""
        world, timeline = self.world, self.timeline
        for seat in self.seats:
            seat.start()
        plan(world, self)
        self.clients.begin()
        second = EPOCH
        end = world.end + SETTLED
        while timeline.now < end and not self.stop:
            second += SECOND
            timeline.run_until(min(second, end))
            self.sample()
            world.referee.sweep(timeline.now)
            self.digests.append(self.digest.hexdigest())
            if self.tick is not None:
                self.tick((timeline.now - EPOCH) // SECOND, self.measure)
            if timeline.now >= world.end and not self.clients.open:
                break

    def sample(self) -> None:
        entry = self.measure.at(self.timeline.now - SECOND)
        tiers = self.world.tiers
        for name, endpoints in (("held", tiers[0]), ("held_inner", tiers[-1] if len(tiers) > 1 else [])):
            alive = [e for e in endpoints if e.alive]
            if alive:
                setattr(entry, name, sum(len(e.held) + len(e.waiting) for e in alive) / len(alive))
        entry.alive = sum(e.alive for e in tiers[0])
        entry.jammed = sum(e.jammed for tier in tiers for e in tier)
        caps = []
        for seat in self.seats:
            desk = getattr(seat.module, "desk", None)
            if seat.alive and desk is not None:
                caps.append(desk.cap)
                entry.aside += sum(one.mode == "aside" for one in desk.endpoints.values())
        entry.cap = sum(caps) / len(caps) if caps else 0.0

    def watch_step(self, seat: Seat, now: int, notes: list[t.Note], orders: list[t.Order]) -> None:
        self.steps += 1
        self.digest.update(f"{now} {seat.name} {len(notes)} {orders}".encode())
        if self.trace is not None:
            self.trace(self.steps, seat, notes, orders)

    def note(self, seat: Seat, text: str) -> None:
        if len(self.notes) < 2000:
            self.notes.append((round((self.timeline.now - EPOCH) / SECOND, 3), seat.name, text))

    def spread(self, chance: Any) -> float:
        return self.spread_s * chance.uniform(0.2, 1.8) * SECOND

    # Clients, by way of the front.

    def ask(self, wish: Wish, submission: str, due: int, repeated: bool) -> None:
        seat = self.front_picks()
        if seat is None or not seat.alive:
            self.timeline.after(
                2 * self.world.network.client_way, self.clients.ended, submission, "unreachable", 0
            )
            return
        wish.sidecar = seat
        self.timeline.after(
            self.world.network.client_way, self.reach, wish, submission, seat, seat.life, due, repeated
        )

    def front_picks(self) -> Seat | None:
        """Any that the front believes alive, a dead one for a while too."""
        now = self.timeline.now
        believed = [s for s in self.seats if s.alive or self.dead_until.get(s.position, 0) > now]
        if self.weights and believed:
            parts = np.array([self.weights[s.position] for s in believed])
            if parts.sum() > 0:
                return believed[int(self.front.choice(len(believed), p=parts / parts.sum()))]
        return believed[int(self.front.integers(len(believed)))] if believed else None

    def reach(self, wish: Wish, submission: str, seat: Seat, life: int, due: int, repeated: bool) -> None:
        if submission not in self.clients.open:
            return
        if not seat.alive or seat.life != life:
            self.clients.ended(submission, "unreachable", 0)
            return
        keyed = wish.workload.terms.repeat is not t.Repeat.IDEMPOTENT

        def answer(what: str, advice: int) -> None:
            self.timeline.after(self.world.network.client_way, self.answered, submission, what, advice)

        held = Held(submission, wish.name if keyed else "", wish.workload.name, wish.work, due, answer)
        seat.take(held, wish.tenant, repeated, True)

    def answered(self, submission: str, what: str, advice: int) -> None:
        now = self.timeline.now
        if what != "unreachable":
            self.world.referee.answered(now, submission, what)
        self.clients.ended(submission, what, advice)

    def gave_up(self, wish: Wish, submission: str) -> None:
        seat = wish.sidecar
        if seat is not None and seat.alive:
            seat.withdraw(submission)

    # Calls of inner tiers.

    def calls_of(self, tier: int) -> int:
        if tier + 1 >= len(self.world.tiers):
            return 0
        mean = self.world.calls[tier + 1]
        whole = int(mean)
        return whole + (self.call_chance.random() < mean - whole)

    def endpoint_started(self, endpoint: Endpoint) -> None:
        if endpoint.shape.tier + 1 >= len(self.world.tiers):
            return
        name = endpoint.shape.name
        seat = self.inner.get(name)
        if seat is None:
            seat = self.inner[name] = Seat(self, f"i-{name}", endpoint.shape.tier + 1, endpoint.shape.zone, 0)
        endpoint.caller, endpoint.hang_up = self.call_from(endpoint, seat), self.hang_up
        if not seat.alive:
            seat.start()

    def endpoint_died(self, endpoint: Endpoint) -> None:
        if (seat := self.inner.get(endpoint.shape.name)) is not None:
            seat.kill()

    def call_from(self, endpoint: Endpoint, seat: Seat) -> Callable[[Job, Callable[[bool], None]], Any]:
        def call(job: Job, done: Callable[[bool], None]) -> Any:
            now = self.timeline.now
            hard = self.world.by_name[job.workload].terms.hard_limit
            due = job.due if self.world.scenario.limits.passes_deadline else now + hard
            if due - now < 2 * self.round or not seat.alive:
                self.timeline.after(MS, done, False)
                return None
            self.serial += 1
            name = f"c{self.serial}"
            work = self.world.call_work(job, endpoint.shape, self.call_chance)
            key = f"{job.submission}/{job.calls}/{self.serial}" if job.key else ""

            def answer(what: str, advice: int) -> None:
                if what != "unreachable":
                    self.world.referee.answered(self.timeline.now, name, what)
                    self.timeline.at(self.timeline.now, done, what == "handled")

            seat.take(Held(name, key, job.workload, work, due, answer), "", False, False)
            self.timeline.at(
                due + self.world.referee.grace + 1, self.call_overdue, seat, seat.life, name, done
            )
            return seat, name

        return call

    def call_overdue(self, seat: Seat, life: int, name: str, done: Callable[[bool], None]) -> None:
        if life == seat.life:
            self.world.referee.overdue(self.timeline.now, name)
            done(False)

    def hang_up(self, call: tuple[Seat, str]) -> None:
        seat, name = call
        self.world.referee.released(name)
        if seat.alive:
            seat.withdraw(name)

    # Troubles of sidecars.

    def sidecar_count(self) -> int:
        return len(self.seats)

    def ways_changed(self) -> None:
        """Each message looks for itself."""

    def kill_sidecar(self, at: int, down_s: float) -> None:
        seat = self.seats[at]
        if not seat.alive:
            return
        seat.kill()
        down = int(down_s * SECOND)
        self.dead_until[at] = self.timeline.now + min(down, int(self.world.sidecar_notice * SECOND))
        self.timeline.after(down, self.start_sidecar, seat)

    def start_sidecar(self, seat: Seat) -> None:
        if not seat.alive:
            seat.start()

    def starve_sidecar(self, at: int, lag_s: float) -> None:
        self.seats[at].lag = int(lag_s * SECOND)
