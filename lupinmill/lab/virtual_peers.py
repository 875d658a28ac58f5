"""What the front sidecars of a virtual run hold in common: each one's whole peer core and zones' core, on the
run's own timeline and network, and the baselines that they are measured against.

Owns a post a sidecar: its cores live and die with the sidecar, an elector's promises stay as on a disk."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from lupinmill import terms as t
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.world import chance_for
from lupinmill.peers import peer, proposer, wire
from lupinmill.peers.elector import Memory, Persist
from lupinmill.peers.live_count import LiveCount
from lupinmill.peers.peer import Peer, PeerSettings
from lupinmill.peers.view import PRESENT, QuorumState, Received, RosterEntry, Send
from lupinmill.zones import member
from lupinmill.zones.member import Member
from lupinmill.zones.messages import decode_plan, endpoint_hash
from lupinmill.zones.plan import Drains, compute_target
from lupinmill.zones.reports import AggregateView, ZoneState
from lupinmill.zones.traffic_monitor import TrafficMonitor, attach_monitor
from lupinmill.zones.zone_map import Workload, Zone, ZoneMap

TOPIC = "zones"
COUNTS = 3 * SECOND
MODES = ("off", "near", "alone", "plan", "sight")
MOST_LARGE = 250


def map_of(run: Any, **more: Any) -> ZoneMap:
    """As an operator would write it of this site: bids out of a lost zone may break their budget."""
    world = run.world
    zones = tuple(Zone(name, world.network.regions[name], more.get("spare", 0.1)) for name in world.zones)
    most = max(w.terms.value for w in world.classes)
    loads = tuple(Workload(w.name, w.terms.value, breaks=w.terms.value == most) for w in world.classes)
    return ZoneMap(zones, loads)


class Post:
    """One sidecar's cores, over its lives."""

    def __init__(self, commons: Together, seat: Any) -> None:
        self.commons, self.seat, self.name = commons, seat, seat.name
        self.disk: bytes | None = None
        self.peer: Peer | None = None
        self.member: Member | None = None
        self.tally: TrafficMonitor | None = None
        self.count: LiveCount | None = None
        self.life = 0
        self.wakes = -1
        self.sent = self.bytes = self.said = 0
        self.told: dict[str, Any] = {}  # what the module was told last

    def start(self) -> None:
        run, now = self.commons.run, self.commons.run.timeline.now
        self.life += 1
        memory = msgspec.msgpack.decode(self.disk, type=Memory) if self.disk is not None else None
        electors = self.commons.electors
        told = PeerSettings(
            self.name,
            self.commons.seats,
            electors,
            (TOPIC,),
            (TOPIC,) if self.name in electors else (),
            lease=self.commons.lease,
        )
        seed = int(self.commons.chance.integers(2**60))
        self.peer = Peer(told, seed, seed ^ 0x5851F42D, now, memory)
        map_ = self.commons.map
        self.member = Member(map_, self.name, self.seat.zone, electors, tuple(run.world.zones), now)
        self.tally = TrafficMonitor(map_, self.seat.zone, now)
        self.count = LiveCount(run.instances[0], now)
        attach_monitor(self.seat.module, self.tally)
        self.wake(self.life)
        run.timeline.after(1 + int(self.commons.chance.integers(SECOND // 20)), self.look, self.life)

    def end(self) -> None:
        self.peer = self.member = None
        self.life += 1

    # The peers' core.

    def wake(self, life: int) -> None:
        if life == self.life and self.peer is not None:
            self.wakes = -1
            self.step([])

    def step(self, notes: list[Any]) -> None:
        assert self.peer is not None
        timeline = self.commons.run.timeline
        while True:
            inbox: list[Any] = []
            for order in self.peer.step(timeline.now, notes):
                self.carry_out(order, inbox)
            if not inbox:
                break
            notes = inbox
        due = max(timeline.now + 1, self.peer.next_due())
        if self.wakes < 0 or due < self.wakes:
            self.wakes = due
            timeline.at(due, self.wake_at, due, self.life)

    def wake_at(self, due: int, life: int) -> None:
        if due == self.wakes:
            self.wake(life)

    def carry_out(self, order: Any, inbox: list[Any]) -> None:
        if isinstance(order, Send):
            if order.to == self.name:
                inbox.append(Received(order.to, order.body))
            else:
                self.commons.send(self, order)
        elif isinstance(order, Persist):
            self.disk = order.data
            for send in order.then_send:
                self.carry_out(send, inbox)
        elif getattr(order, "topic", "") == TOPIC:
            if isinstance(order, peer.FeatureMessageReceived):
                self.tell(member.MessageReceived(order.sender, order.payload))
            elif isinstance(order, peer.DecisionAdopted):
                self.commons.note_known(self, order)
                self.tell(member.PlanDecided(order.version, order.body))
            elif isinstance(order, proposer.LeaseAcquired):
                self.commons.note_took(self, order)
                self.tell(member.LeaseAcquired(order.epoch))
            elif isinstance(order, proposer.LeaseLost):
                self.tell(member.LeaseLost())
            elif isinstance(order, peer.DecisionExpired):
                self.tell(member.PlanExpired())

    # The zones' core.

    def tell(self, *notes: member.Event) -> None:
        if self.member is None or self.peer is None:
            return
        now = self.commons.run.timeline.now
        decide = None
        for order in self.member.step(now, list(notes), self.peer.held_epoch(TOPIC, now), self.present()):
            if isinstance(order, member.SendMessage):
                self.commons.send(self, Send(order.to, wire.FeatureMessage(TOPIC, order.data), []))
            elif isinstance(order, member.ProposePlan):
                decide = order.body
            elif isinstance(order, member.ApplyPlan):
                self.go(order)
            elif isinstance(order, member.RequestFinished):
                self.commons.done.append((now, order.done, order.text))
        if decide is not None:
            self.peer.proposer.now = now
            self.peer.decide(TOPIC, decide)
            self.commons.run.timeline.after(1, self.wake, self.life)

    def present(self) -> list[str]:
        assert self.peer is not None
        members = self.peer.membership.members
        return [self.name, *(name for name, one in members.items() if one.status in PRESENT)]

    def look(self, life: int) -> None:
        """Once a second, as `program/common.py` does."""
        if life != self.life or self.peer is None or self.tally is None:
            return
        run = self.commons.run
        dispatcher = self.seat.module.dispatcher
        report = self.tally.report(run.timeline.now, self.name, self.seat.module)
        self.tell(member.OwnReport(report, dict(dispatcher.ready_by_zone)))
        run.timeline.after(self.commons.period, self.look, life)

    def go(self, order: member.ApplyPlan) -> None:
        assert self.peer is not None and self.count is not None
        seats, marks = self.seat.module.dispatcher.endpoint_states, order.brakes
        brakes = (
            {name: marks[endpoint_hash(name)] for name in seats if endpoint_hash(name) in marks}
            if marks
            else {}
        )
        sidecars = 0
        if self.commons.live:
            together = self.peer.membership.quorum_state in (QuorumState.MAJORITY, QuorumState.UNCERTAIN)
            sidecars = self.count.step(self.commons.run.timeline.now, together, len(self.present()))
        assert self.tally is not None
        self.seat.tell(
            t.FleetState(
                sidecars, order.plan, brakes, self.tally.listed_by_zone(self.seat.module), order.until
            )
        )


@dataclass
class Force:
    """When a plan came about and when each member went by it."""

    at: int
    holder: str
    known: dict[str, int]
    left: tuple[str, ...] = ()  # zones whose traffic mostly goes elsewhere by it


class Together:
    """All posts of a run."""

    def __init__(
        self, run: Any, live: bool = False, lease: float = 2.0, loss: float = 0.0, **more: Any
    ) -> None:
        self.run, self.live, self.loss = run, live, loss
        self.lease = int(lease * SECOND)
        self.map = map_of(run, **more)
        self.chance = chance_for(run.world.seed, "commons")
        names = [seat.name for seat in run.sidecars]
        self.seats = tuple(
            RosterEntry(seat.name, f"127.0.0.1:{at + 1}", seat.zone) for at, seat in enumerate(run.sidecars)
        )
        count = 5 if len(names) >= 5 else 3
        self.electors = (
            tuple(names[at * len(names) // count] for at in range(count)) if len(names) >= 3 else ()
        )
        self.posts = {seat.name: Post(self, seat) for seat in run.sidecars}
        self.zone_of = {seat.name: seat.zone for seat in run.sidecars}
        self.period = int(SECOND * max(1.0, len(names) / MOST_LARGE))
        self.versions: dict[int, Force] = {}
        self.epochs: dict[int, str] = {}
        self.broken: list[str] = []
        self.done: list[tuple[int, bool, str]] = []

    def started(self, seat: Any) -> None:
        self.posts[seat.name].start()

    def killed(self, seat: Any) -> None:
        if seat.name in self.posts:
            self.posts[seat.name].end()

    def send(self, post: Post, order: Send) -> None:
        """A datagram by way of the run's network: lost behind a cut, late by the zones' distance."""
        world, timeline = self.run.world, self.run.timeline
        here, there = self.zone_of[post.name], self.zone_of[order.to]
        post.sent += 1
        if isinstance(order.body, wire.FeatureMessage):
            post.said += 1
            post.bytes += len(order.body.payload) + 20
        if world.network.blocked(here, there) or self.loss and self.chance.random() < self.loss:
            return
        timeline.after(world.network.delay(here, there), self.deliver, post.name, order)

    def deliver(self, sender: str, order: Send) -> None:
        post = self.posts[order.to]
        if post.peer is not None and post.seat.alive:
            post.step([Received(sender, order.body, order.updates)])

    # What must hold.

    def note_took(self, post: Post, order: proposer.LeaseAcquired) -> None:
        if order.epoch in self.epochs:
            self.broken.append(f"epoch {order.epoch}: {self.epochs[order.epoch]} and {post.name}")
        self.epochs[order.epoch] = post.name

    def note_known(self, post: Post, order: peer.DecisionAdopted) -> None:
        now = self.run.timeline.now
        force = self.versions.get(order.version)
        if force is None:
            plan = decode_plan(self.map, order.version, order.body)
            left = tuple(
                zone.name
                for zone in self.map.zones
                if all(plan.shares(zone.name, w.name).get(zone.name, 0.0) < 0.5 for w in self.map.workloads)
            )
            force = self.versions[order.version] = Force(now, post.name, {}, left)
        force.known.setdefault(post.name, now)

    def figures(self) -> dict[str, float]:
        seconds = max(1e-9, (self.run.timeline.now - self.run.world.start) / SECOND)
        count = len(self.posts)
        spans = [
            (max(f.known.values()) - f.at) / SECOND for f in self.versions.values() if len(f.known) == count
        ]
        return {
            "plans": float(len(self.versions)),
            "plans_a_minute": 60 * len(self.versions) / seconds,
            "to_all_s": max(spans, default=0.0),
            "words_a_member_and_second": sum(p.said for p in self.posts.values()) / count / seconds,
            "bytes_a_member_and_second": sum(p.bytes for p in self.posts.values()) / count / seconds,
            "broken": float(len(self.broken)),
        }


class Baseline:
    """Each sidecar by itself, or one that sees all: no messages."""

    def __init__(self, run: Any, mode: str) -> None:
        self.run, self.mode, self.map = run, mode, map_of(run)
        self.rows: Any = {}
        if mode == "sight":
            run.timeline.after(1, self.see)

    def started(self, seat: Any) -> None:
        self.look(seat, seat.life)

    def killed(self, seat: Any) -> None:
        pass

    def look(self, seat: Any, life: int) -> None:
        if not seat.alive or seat.life != life:
            return
        now = self.run.timeline.now
        others = [zone for zone in self.run.world.zones if zone != seat.zone]
        plan = {}
        for w in self.map.workloads:
            if self.mode == "sight":
                shares = self.rows.get(seat.zone, {}).get(w.name, {seat.zone: 1.0})
                plan[w.name] = (dict(shares), dict(shares))
            else:
                # Alone: out of a zone where it finds nothing open, to the others alike.
                way = dict.fromkeys(others, 1 / len(others)) if self.mode == "alone" and others else {}
                plan[w.name] = ({seat.zone: 1.0}, way)
        seat.tell(t.FleetState(0, plan, {}, {}, now + COUNTS))
        self.run.timeline.after(SECOND // 4 if self.mode == "sight" else SECOND, self.look, seat, life)

    def see(self) -> None:
        """The true state at each moment: what endpoints can do, cold ones as warm as they are, and what
        comes."""
        run, world = self.run, self.run.world
        able = dict.fromkeys(world.zones, 0.0)
        mean = sum(w.share * w.mean for w in world.classes) * world.tiers[0][0].shape.work
        for endpoint in world.tiers[0]:
            if endpoint.alive and not endpoint.silent and not endpoint.draining:
                able[endpoint.shape.zone] += endpoint.capacity() / mean
        parts = dict.fromkeys(world.zones, 0.0)
        alive = [seat for seat in run.sidecars if seat.alive]
        weights = run.front.weights or [1.0] * len(run.sidecars)
        for seat in alive:
            parts[seat.zone] += weights[seat.position]
        total = sum(parts.values()) or 1.0
        rate = world.rate_now()
        traffic = {z: {w.name: rate * parts[z] / total * w.share for w in world.classes} for z in world.zones}
        state = {}
        for a in world.zones:
            for b in world.zones:
                cut = world.network.blocked(a, b) or world.network.blocked(b, a)
                state[a, b] = (
                    ZoneState.DOWN if not able[b] else ZoneState.UNREACHABLE if cut else ZoneState.HEALTHY
                )
        self.rows = compute_target(self.map, AggregateView(traffic, able, state), Drains())
        run.timeline.after(SECOND // 4, self.see)


def of(mode: str, **more: Any) -> Callable[[Any], Any] | None:
    """For `VirtualRun(commons=...)`."""
    if mode not in MODES:
        raise ValueError(f"{mode}: none of {', '.join(MODES)}")
    if mode == "off":
        return None
    return (lambda run: Together(run, **more)) if mode == "plan" else (lambda run: Baseline(run, mode))
