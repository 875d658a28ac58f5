"""Peers and zone plans of the front sidecars in a virtual run: the pure peer and zone cores of each sidecar,
run unchanged on the run's timeline and network, and the baselines that they are compared with.

The cores of a sidecar start and end with it; an elector's promises outlive them, as on a disk."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from lupinmill import terms as t
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.world import random_stream
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
STATE_VALIDITY = 3 * SECOND
MODES = ("off", "near", "alone", "plan", "sight")
MAX_REPORTS_PER_SECOND = 250


def build_zone_map(run: Any, **options: Any) -> ZoneMap:
    """The zone map that an operator would write for this site. The most valuable workload may exceed its
    budget when a zone is lost."""
    world = run.world
    zones = tuple(Zone(name, world.network.regions[name], options.get("spare", 0.1)) for name in world.zones)
    most = max(w.terms.value for w in world.classes)
    loads = tuple(Workload(w.name, w.terms.value, breaks=w.terms.value == most) for w in world.classes)
    return ZoneMap(zones, loads)


class SidecarCores:
    """The peer and zone cores of one sidecar, across its restarts."""

    def __init__(self, shared: VirtualPeers, sidecar: Any) -> None:
        self.shared, self.sidecar, self.name = shared, sidecar, sidecar.name
        self.disk: bytes | None = None
        self.peer: Peer | None = None
        self.member: Member | None = None
        self.traffic_monitor: TrafficMonitor | None = None
        self.live_count: LiveCount | None = None
        self.life = 0
        self.wake_due = -1
        self.sent = self.feature_bytes = self.feature_messages = 0
        self.settings: dict[str, Any] = {}

    def start(self) -> None:
        run, now = self.shared.run, self.shared.run.timeline.now
        self.life += 1
        memory = msgspec.msgpack.decode(self.disk, type=Memory) if self.disk is not None else None
        electors = self.shared.electors
        settings = PeerSettings(
            self.name,
            self.shared.roster,
            electors,
            (TOPIC,),
            (TOPIC,) if self.name in electors else (),
            lease=self.shared.lease,
        )
        seed = int(self.shared.random_source.integers(2**60))
        self.peer = Peer(settings, seed, seed ^ 0x5851F42D, now, memory)
        zone_map = self.shared.map
        self.member = Member(zone_map, self.name, self.sidecar.zone, electors, tuple(run.world.zones), now)
        self.traffic_monitor = TrafficMonitor(zone_map, self.sidecar.zone, now)
        self.live_count = LiveCount(run.instances[0], now)
        attach_monitor(self.sidecar.module, self.traffic_monitor)
        self.wake(self.life)
        run.timeline.after(
            1 + int(self.shared.random_source.integers(SECOND // 20)), self.report_traffic, self.life
        )

    def end(self) -> None:
        self.peer = self.member = None
        self.life += 1

    # Peer core.

    def wake(self, life: int) -> None:
        if life == self.life and self.peer is not None:
            self.wake_due = -1
            self.step([])

    def step(self, events: list[Any]) -> None:
        assert self.peer is not None
        timeline = self.shared.run.timeline
        while True:
            to_self: list[Any] = []
            for command in self.peer.step(timeline.now, events):
                self.execute(command, to_self)
            if not to_self:
                break
            events = to_self
        due = max(timeline.now + 1, self.peer.next_due())
        if self.wake_due < 0 or due < self.wake_due:
            self.wake_due = due
            timeline.at(due, self.wake_at, due, self.life)

    def wake_at(self, due: int, life: int) -> None:
        if due == self.wake_due:
            self.wake(life)

    def execute(self, command: Any, to_self: list[Any]) -> None:
        if isinstance(command, Send):
            if command.to == self.name:
                to_self.append(Received(command.to, command.body))
            else:
                self.shared.send(self, command)
        elif isinstance(command, Persist):
            self.disk = command.data
            for send in command.then_send:
                self.execute(send, to_self)
        elif getattr(command, "topic", "") == TOPIC:
            if isinstance(command, peer.FeatureMessageReceived):
                self.step_member(member.MessageReceived(command.sender, command.payload))
            elif isinstance(command, peer.DecisionAdopted):
                self.shared.record_decision(self, command)
                self.step_member(member.PlanDecided(command.version, command.body))
            elif isinstance(command, proposer.LeaseAcquired):
                self.shared.record_lease(self, command)
                self.step_member(member.LeaseAcquired(command.epoch))
            elif isinstance(command, proposer.LeaseLost):
                self.step_member(member.LeaseLost())
            elif isinstance(command, peer.DecisionExpired):
                self.step_member(member.PlanExpired())

    # Zone core.

    def step_member(self, *events: member.Event) -> None:
        if self.member is None or self.peer is None:
            return
        now = self.shared.run.timeline.now
        decide = None
        for command in self.member.step(now, list(events), self.peer.held_epoch(TOPIC, now), self.present()):
            if isinstance(command, member.SendMessage):
                self.shared.send(self, Send(command.to, wire.FeatureMessage(TOPIC, command.data), []))
            elif isinstance(command, member.ProposePlan):
                decide = command.body
            elif isinstance(command, member.ApplyPlan):
                self.apply_plan(command)
            elif isinstance(command, member.RequestFinished):
                self.shared.finished_requests.append((now, command.done, command.text))
        if decide is not None:
            self.peer.proposer.now = now
            self.peer.decide(TOPIC, decide)
            self.shared.run.timeline.after(1, self.wake, self.life)

    def present(self) -> list[str]:
        assert self.peer is not None
        members = self.peer.membership.members
        return [self.name, *(name for name, one in members.items() if one.status in PRESENT)]

    def report_traffic(self, life: int) -> None:
        """Once a second, as `program/fleet_state.py` does."""
        if life != self.life or self.peer is None or self.traffic_monitor is None:
            return
        run = self.shared.run
        dispatcher = self.sidecar.module.dispatcher
        report = self.traffic_monitor.report(run.timeline.now, self.name, self.sidecar.module)
        self.step_member(member.OwnReport(report, dict(dispatcher.ready_by_zone)))
        run.timeline.after(self.shared.period, self.report_traffic, life)

    def apply_plan(self, command: member.ApplyPlan) -> None:
        assert self.peer is not None and self.live_count is not None
        endpoints, marks = self.sidecar.module.dispatcher.endpoint_states, command.brakes
        brakes = (
            {name: marks[endpoint_hash(name)] for name in endpoints if endpoint_hash(name) in marks}
            if marks
            else {}
        )
        sidecar_count = 0
        if self.shared.live:
            together = self.peer.membership.quorum_state in (QuorumState.MAJORITY, QuorumState.UNCERTAIN)
            sidecar_count = self.live_count.step(self.shared.run.timeline.now, together, len(self.present()))
        assert self.traffic_monitor is not None
        self.sidecar.queue_event(
            t.FleetState(
                sidecar_count,
                command.plan,
                brakes,
                self.traffic_monitor.listed_by_zone(self.sidecar.module),
                command.until,
            )
        )


@dataclass
class PlanRecord:
    """When a plan was decided, and when each member adopted it."""

    at: int
    holder: str
    known_at: dict[str, int]
    left_zones: tuple[str, ...] = ()  # zones that the plan sends most traffic away from


class VirtualPeers:
    """The cores of all front sidecars of a run."""

    def __init__(
        self, run: Any, live: bool = False, lease: float = 2.0, loss: float = 0.0, **options: Any
    ) -> None:
        self.run, self.live, self.loss = run, live, loss
        self.lease = int(lease * SECOND)
        self.map = build_zone_map(run, **options)
        self.random_source = random_stream(run.world.seed, "commons")
        names = [sidecar.name for sidecar in run.sidecars]
        self.roster = tuple(
            RosterEntry(sidecar.name, f"127.0.0.1:{at + 1}", sidecar.zone)
            for at, sidecar in enumerate(run.sidecars)
        )
        elector_count = 5 if len(names) >= 5 else 3
        self.electors = (
            tuple(names[at * len(names) // elector_count] for at in range(elector_count))
            if len(names) >= 3
            else ()
        )
        self.cores = {sidecar.name: SidecarCores(self, sidecar) for sidecar in run.sidecars}
        self.zone_of = {sidecar.name: sidecar.zone for sidecar in run.sidecars}
        self.period = int(SECOND * max(1.0, len(names) / MAX_REPORTS_PER_SECOND))
        self.plans: dict[int, PlanRecord] = {}
        self.epoch_holders: dict[int, str] = {}
        self.violations: list[str] = []
        self.finished_requests: list[tuple[int, bool, str]] = []

    def started(self, sidecar: Any) -> None:
        self.cores[sidecar.name].start()

    def killed(self, sidecar: Any) -> None:
        if sidecar.name in self.cores:
            self.cores[sidecar.name].end()

    def send(self, cores: SidecarCores, command: Send) -> None:
        """Sends a datagram through the run's network: lost behind a cut, delayed by the zones' distance."""
        world, timeline = self.run.world, self.run.timeline
        here, there = self.zone_of[cores.name], self.zone_of[command.to]
        cores.sent += 1
        if isinstance(command.body, wire.FeatureMessage):
            cores.feature_messages += 1
            cores.feature_bytes += len(command.body.payload) + 20
        if world.network.blocked(here, there) or self.loss and self.random_source.random() < self.loss:
            return
        timeline.after(world.network.delay(here, there), self.deliver, cores.name, command)

    def deliver(self, sender: str, command: Send) -> None:
        cores = self.cores[command.to]
        if cores.peer is not None and cores.sidecar.alive:
            cores.step([Received(sender, command.body, command.updates)])

    # Invariants.

    def record_lease(self, cores: SidecarCores, command: proposer.LeaseAcquired) -> None:
        if command.epoch in self.epoch_holders:
            self.violations.append(
                f"epoch {command.epoch}: {self.epoch_holders[command.epoch]} and {cores.name}"
            )
        self.epoch_holders[command.epoch] = cores.name

    def record_decision(self, cores: SidecarCores, command: peer.DecisionAdopted) -> None:
        now = self.run.timeline.now
        plan_record = self.plans.get(command.version)
        if plan_record is None:
            plan = decode_plan(self.map, command.version, command.body)
            left_zones = tuple(
                zone.name
                for zone in self.map.zones
                if all(plan.shares(zone.name, w.name).get(zone.name, 0.0) < 0.5 for w in self.map.workloads)
            )
            plan_record = self.plans[command.version] = PlanRecord(now, cores.name, {}, left_zones)
        plan_record.known_at.setdefault(cores.name, now)

    def figures(self) -> dict[str, float]:
        seconds = max(1e-9, (self.run.timeline.now - self.run.world.start) / SECOND)
        sidecar_count = len(self.cores)
        spans = [
            (max(f.known_at.values()) - f.at) / SECOND
            for f in self.plans.values()
            if len(f.known_at) == sidecar_count
        ]
        return {
            "plans": float(len(self.plans)),
            "plans_a_minute": 60 * len(self.plans) / seconds,
            "to_all_s": max(spans, default=0.0),
            "words_a_member_and_second": sum(p.feature_messages for p in self.cores.values())
            / sidecar_count
            / seconds,
            "bytes_a_member_and_second": sum(p.feature_bytes for p in self.cores.values())
            / sidecar_count
            / seconds,
            "broken": float(len(self.violations)),
        }


class Baseline:
    """Baselines without messages: each sidecar on its own, or all with full knowledge of the site."""

    def __init__(self, run: Any, mode: str) -> None:
        self.run, self.mode, self.map = run, mode, build_zone_map(run)
        self.target_shares: Any = {}
        if mode == "sight":
            run.timeline.after(1, self.update_target)

    def started(self, sidecar: Any) -> None:
        self.update_state(sidecar, sidecar.incarnation)

    def killed(self, sidecar: Any) -> None:
        pass

    def update_state(self, sidecar: Any, life: int) -> None:
        if not sidecar.alive or sidecar.incarnation != life:
            return
        now = self.run.timeline.now
        others = [zone for zone in self.run.world.zones if zone != sidecar.zone]
        plan = {}
        for w in self.map.workloads:
            if self.mode == "sight":
                shares = self.target_shares.get(sidecar.zone, {}).get(w.name, {sidecar.zone: 1.0})
                plan[w.name] = (dict(shares), dict(shares))
            else:
                # Alone: overflow goes evenly to the other zones when the own zone has nothing open.
                overflow = dict.fromkeys(others, 1 / len(others)) if self.mode == "alone" and others else {}
                plan[w.name] = ({sidecar.zone: 1.0}, overflow)
        sidecar.queue_event(t.FleetState(0, plan, {}, {}, now + STATE_VALIDITY))
        self.run.timeline.after(
            SECOND // 4 if self.mode == "sight" else SECOND, self.update_state, sidecar, life
        )

    def update_target(self) -> None:
        """Plans from the true state: the current capacity of endpoints, including cold ones, and the
        traffic."""
        run, world = self.run, self.run.world
        capacity = dict.fromkeys(world.zones, 0.0)
        mean = sum(w.share * w.mean for w in world.classes) * world.tiers[0][0].spec.work
        for endpoint in world.tiers[0]:
            if endpoint.alive and not endpoint.silent and not endpoint.draining:
                capacity[endpoint.spec.zone] += endpoint.capacity() / mean
        weight_by_zone = dict.fromkeys(world.zones, 0.0)
        alive = [sidecar for sidecar in run.sidecars if sidecar.alive]
        weights = run.front.weights or [1.0] * len(run.sidecars)
        for sidecar in alive:
            weight_by_zone[sidecar.zone] += weights[sidecar.position]
        total = sum(weight_by_zone.values()) or 1.0
        rate = world.rate_now()
        traffic = {
            z: {w.name: rate * weight_by_zone[z] / total * w.share for w in world.classes}
            for z in world.zones
        }
        state = {}
        for a in world.zones:
            for b in world.zones:
                cut = world.network.blocked(a, b) or world.network.blocked(b, a)
                state[a, b] = (
                    ZoneState.DOWN if not capacity[b] else ZoneState.UNREACHABLE if cut else ZoneState.HEALTHY
                )
        self.target_shares = compute_target(self.map, AggregateView(traffic, capacity, state), Drains())
        run.timeline.after(SECOND // 4, self.update_target)


def peers_factory(mode: str, **options: Any) -> Callable[[Any], Any] | None:
    """The `commons` argument of `VirtualRun` for a mode; None for `off`. Raises ValueError if unknown."""
    if mode not in MODES:
        raise ValueError(f"{mode}: not one of {', '.join(MODES)}")
    if mode == "off":
        return None
    return (lambda run: VirtualPeers(run, **options)) if mode == "plan" else (lambda run: Baseline(run, mode))
