"""A fleet in virtual time: the pure cores of `peers/`, run unchanged on a simulated network, from one seed.
Only a sample of the datagrams is encoded, for their size (`SIZE_SAMPLE_INTERVAL`): the codec has its own
tests.

A run owns the clock, the event queue and the cores; nothing outlives it."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

import msgspec

from lupinmill.lab.fleet import Event, Fault, Fleet, FleetResult, NetworkConditions, fault_members
from lupinmill.peers import wire
from lupinmill.peers.elector import Memory, Persist, majority
from lupinmill.peers.peer import REHEARSAL_TOPIC, DecisionAdopted, DecisionExpired, Peer, PeerSettings
from lupinmill.peers.proposer import DecisionAccepted, LeaseAcquired, LeaseLost
from lupinmill.peers.view import (
    MS,
    SECOND,
    Leave,
    MemberChanged,
    MembershipTiming,
    QuorumChanged,
    Received,
    RosterEntry,
    Send,
)
from lupinmill.peers.wire import Status

CLOCK_START = 1_000 * SECOND  # members' clocks start at different times after this
STARVED_RUN_TIME = 50 * MS
FAULT_AFTERMATH = 5 * SECOND  # a death within this time of a fault may be its consequence
DECIDE_INTERVAL = 700 * MS
SIZE_SAMPLE_INTERVAL = 50  # in datagrams


@dataclass
class Host:
    """The machine of one member: its clock, its disk, and the core of its current process."""

    name: str
    clock_offset: int  # from the run's time
    clock_rate: float  # relative to the run's clock, within the bound on drift
    peer: Peer | None = None
    stored: bytes | None = None
    paused: bool = False
    inbox: list[Received] = field(default_factory=list)
    wake_due: int = -1  # time of its queued wake-up
    starts: int = 0
    running_since: int = 0  # start of its process, or its last resumption
    sent: int = 0
    held_leases: dict[str, int] = field(
        default_factory=dict
    )  # epoch by topic, according to the member itself
    starvation: Fault | None = None


class VirtualFleet:
    def __init__(
        self, fleet: Fleet, seed: int, timing: MembershipTiming | None = None, decide: bool = True
    ) -> None:
        self.fleet, self.seed, self.now = fleet, seed, 0
        self.network = NetworkConditions(fleet, seed)
        self.timing = timing or MembershipTiming(round=fleet.round_ms * MS)
        self.decide = decide
        self.result = FleetResult(fleet, "virtual", seed)
        names = fleet.names()
        self.electors = tuple(names[at * fleet.members // fleet.electors] for at in range(fleet.electors))
        self.roster = tuple(
            RosterEntry(name, f"127.0.0.1:{at + 1}", f"z{at * fleet.zones // fleet.members}")
            for at, name in enumerate(names)
        )
        random_source = self.network.random_source
        self.hosts = {
            name: Host(
                name,
                CLOCK_START + int(random_source.integers(3600)) * SECOND,
                1 + float(random_source.uniform(-0.004, 0.004)),
            )
            for name in names
        }
        self.queue: list[tuple[int, int, str, object]] = []
        self.serial = self.start_count = 0
        self.sizes: list[int] = []
        self.datagrams = 0
        self.decisions: dict[int, tuple[int, bytes]] = {}  # epoch and body by version, as reported accepted
        self.epoch_holders: dict[int, str] = {}  # holder by epoch
        self.false_deaths, self.quiet_since = 0, 0
        # Electors without stable storage keep epochs and versions only while a majority remembers them:
        # docs/peers.md.
        self.memory_lost = False
        self.check_leases = True

    # Run.

    def schedule(self, at: int, kind: str, argument: object) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (at, self.serial, kind, argument))

    def play(self) -> FleetResult:
        for name in self.hosts:
            self.schedule(int(self.network.draw() * SECOND), "start", name)
        for fault in self.fleet.fault:
            self.schedule(int(fault.at * SECOND), "begin", fault)
            if fault.until:
                self.schedule(int(fault.until * SECOND), "end", fault)
        if self.decide and self.electors:
            self.schedule(DECIDE_INTERVAL, "decide", None)
        self.run_until(int(self.fleet.seconds * SECOND))
        self.summarize()
        return self.result

    def run_until(self, end: int) -> None:
        while self.queue and self.queue[0][0] <= end:
            self.now, _, kind, argument = heapq.heappop(self.queue)
            getattr(self, f"do_{kind}")(argument)
        self.now = end

    def clock(self, host: Host) -> int:
        return host.clock_offset + int(self.now * host.clock_rate)

    def do_start(self, name: str) -> None:
        host = self.hosts[name]
        if host.peer is not None:
            return
        self.start_count += 1
        host.starts += 1
        host.running_since = self.now
        memory = None
        if host.stored is not None:
            memory = msgspec.msgpack.decode(host.stored, type=Memory)
        wanted_topics = (REHEARSAL_TOPIC,) if name in self.electors else ()
        settings = PeerSettings(
            name,
            self.roster,
            self.electors,
            wanted_topics=wanted_topics,
            lease=int(self.fleet.lease_s * SECOND),
            timing=self.timing,
        )
        host.peer = Peer(
            settings, self.start_count, self.seed * 1_000_003 + self.start_count, self.clock(host), memory
        )
        host.inbox, host.held_leases, host.paused, host.wake_due = [], {}, False, -1
        self.event(host, "life", state="started")
        self.check_elector_memory()
        self.step(host)

    def check_elector_memory(self) -> None:
        peers = [self.hosts[name].peer for name in self.electors]
        remembering = sum(p is not None and p.elector is not None and p.elector.votes() for p in peers)
        stored_count = sum(
            self.hosts[name].stored is not None and self.hosts[name].peer is None for name in self.electors
        )
        self.memory_lost |= bool(self.epoch_holders) and remembering + stored_count < majority(
            len(self.electors)
        )

    def do_datagram(self, message: tuple[str, Received]) -> None:
        name, received = message
        host = self.hosts[name]
        if host.peer is None:
            return
        if host.paused:
            if len(host.inbox) < 2_000:  # as many as a socket's buffer holds
                host.inbox.append(received)
            return
        self.step(host, [received])

    def do_wake(self, message: tuple[str, int]) -> None:
        name, due = message
        host = self.hosts[name]
        if host.wake_due != due or host.peer is None or host.paused:
            return
        host.wake_due = -1
        self.step(host)

    def do_go_on(self, name: str) -> None:
        """The buffered datagrams are read first, as by the driver."""
        host = self.hosts[name]
        if host.peer is None or not host.paused:
            return
        host.paused, host.running_since = False, self.now
        inbox, host.inbox = host.inbox, []
        self.step(host, inbox)
        if host.starvation is not None:
            self.schedule(self.now + STARVED_RUN_TIME, "stop", name)

    def do_stop(self, name: str) -> None:
        host = self.hosts[name]
        if host.starvation is None or host.peer is None or host.paused:
            return
        host.paused = True
        self.schedule(self.now + int(host.starvation.stop_ms * MS), "go_on", name)

    def do_decide(self, _: None) -> None:
        self.schedule(self.now + DECIDE_INTERVAL, "decide", None)
        for name in self.electors:
            host = self.hosts[name]
            if host.peer is not None and not host.paused:
                host.peer.decide(REHEARSAL_TOPIC, f"{name} {self.now}".encode())
                self.step(host)

    # Faults.

    def do_begin(self, fault: Fault) -> None:
        kind, names = fault.kind, fault_members(self.fleet, fault, self.seed)
        self.result.events.append(
            Event(self.now / SECOND, "", "fault", ",".join(names[:8]), f"{kind} begins")
        )
        if kind in ("partition", "cut", "loss"):
            self.network.begin(fault)
        for name in names:
            host = self.hosts[name]
            if kind == "pause":
                host.paused = host.peer is not None
            elif kind == "starve":
                host.starvation = fault
                self.do_stop(name)
            elif kind in ("kill", "restart"):
                self.kill(host, fault.forget)
                if kind == "restart":
                    self.schedule(self.now + int((0.3 + self.network.draw()) * SECOND), "start", name)
            elif kind == "leave" and host.peer is not None:
                self.step(host, [Leave()])
                self.schedule(self.now + SECOND, "gone", name)

    def do_end(self, fault: Fault) -> None:
        self.result.events.append(Event(self.now / SECOND, "", "fault", "", f"{fault.kind} ends"))
        if fault.kind in ("partition", "cut", "loss"):
            self.network.end(fault)
            self.quiet_since = self.now
        for name in fault_members(self.fleet, fault, self.seed):
            host = self.hosts[name]
            if fault.kind == "pause":
                self.do_go_on(name)
            elif fault.kind == "starve":
                host.starvation = None
                self.do_go_on(name)
            elif fault.kind in ("kill", "leave"):
                self.schedule(self.now + int(self.network.draw() * SECOND), "start", name)

    def do_gone(self, name: str) -> None:
        self.kill(self.hosts[name], False)

    def kill(self, host: Host, forget: bool) -> None:
        if host.peer is not None:
            self.event(host, "life", state="killed")
        host.peer, host.paused, host.held_leases = None, False, {}
        if forget:
            host.stored = None

    # Steps.

    def step(self, host: Host, events: list | None = None) -> None:
        pending = events or []
        while host.peer is not None:
            to_self: list[Received] = []
            for command in host.peer.step(self.clock(host), pending):
                self.execute(host, command, to_self)
            if not to_self:
                break
            pending = to_self
        if host.peer is None:
            return
        at = max(
            self.now + 1, self.now + int((host.peer.next_due() - self.clock(host)) / host.clock_rate) + 1
        )
        if host.wake_due != at:
            host.wake_due = at
            self.schedule(at, "wake", (host.name, at))
        if self.check_leases:
            self.check_single_holder()

    def execute(self, host: Host, command: object, to_self: list[Received]) -> None:
        if isinstance(command, Send):
            self.send(host, command, to_self)
        elif isinstance(command, Persist):
            if self.fleet.keep:
                host.stored = command.data
            for send in command.then_send:
                self.send(host, send, to_self)
        elif isinstance(command, MemberChanged):
            self.event(host, "peer", command.name, command.after.name.lower(), why=command.reason)
            if command.after is Status.DEAD:
                self.false_deaths += self.was_healthy(command.name)
        elif isinstance(command, QuorumChanged):
            self.event(host, "standing", state=command.after.value, why=command.reason)
        elif isinstance(command, LeaseAcquired):
            host.held_leases[command.topic] = command.epoch
            if command.epoch in self.epoch_holders and not self.memory_lost:
                self.report_violation(
                    f"epoch {command.epoch} was taken by {self.epoch_holders[command.epoch]}"
                    f" and by {host.name}"
                )
            self.epoch_holders[command.epoch] = host.name
            self.event(host, "lease", command.topic, "taken", command.epoch)
        elif isinstance(command, LeaseLost):
            host.held_leases.pop(command.topic, None)
            self.event(host, "lease", command.topic, "ended", command.epoch, why=command.reason)
        elif isinstance(command, DecisionAccepted):
            self.decision_accepted(host, command)
        elif isinstance(command, DecisionAdopted | DecisionExpired):
            version = command.version if isinstance(command, DecisionAdopted) else 0
            self.event(host, "decision", command.topic, "known" if version else "forgotten", version=version)
            if isinstance(command, DecisionAdopted) and version in self.decisions:
                if self.decisions[version][1] != command.body and not self.memory_lost:
                    self.report_violation(f"{host.name} adopted another decision {version} than was accepted")

    def was_healthy(self, name: str) -> bool:
        """Whether it had been running for a while, neither stopped nor starved, without a cut or loss by a
        fault."""
        host = self.hosts.get(name)
        if (
            host is None
            or host.peer is None
            or host.paused
            or host.starvation is not None
            or self.network.active_faults
        ):
            return False
        return self.now - max(host.running_since, self.quiet_since) > FAULT_AFTERMATH

    def decision_accepted(self, host: Host, command: DecisionAccepted) -> None:
        self.event(host, "decision", command.topic, "made", command.epoch, command.version)
        previous = self.decisions.get(command.version)
        if previous is not None and previous[1] != command.body and not self.memory_lost:
            self.report_violation(f"two decisions have number {command.version}")
        self.decisions[command.version] = (command.epoch, command.body)
        if command.version < max(self.decisions) and not self.memory_lost:
            self.report_violation(
                f"decision {max(self.decisions)} was reported accepted, and {command.version} came after it"
            )

    def check_single_holder(self) -> None:
        """Reports a violation if several members may act on the lease now, each by its own clock."""
        holders = (
            [
                name
                for name, host in self.hosts.items()
                if host.held_leases
                and host.peer is not None
                and host.peer.held_epoch(REHEARSAL_TOPIC, self.clock(host))
            ]
            if any(self.hosts[name].held_leases for name in self.electors)
            else []
        )
        if len(holders) > 1:
            self.report_violation(f"{' and '.join(holders)} hold one lease at {self.now / SECOND:.3f} s")

    def send(self, host: Host, command: Send, to_self: list[Received]) -> None:
        received = Received(host.name, command.body, command.updates)
        if command.to == host.name:
            to_self.append(received)
            return
        if command.to not in self.hosts:
            return
        host.sent += 1
        self.datagrams += 1
        if self.datagrams % SIZE_SAMPLE_INTERVAL == 0:
            self.sizes.append(len(wire.encode(1, command.body, command.updates)))
        for delay in self.network.delays(host.name, command.to):
            self.schedule(self.now + max(1, int(delay * SECOND)), "datagram", (command.to, received))

    # Results.

    def event(
        self,
        host: Host,
        kind: str,
        about: str = "",
        state: str = "",
        epoch: int = 0,
        version: int = 0,
        why: str = "",
    ) -> None:
        event = Event(round(self.now / SECOND, 4), host.name, kind, about, state, epoch, version, why)  # type: ignore[arg-type]
        self.result.events.append(event)

    def report_violation(self, text: str) -> None:
        if text not in self.result.broken and len(self.result.broken) < 20:
            self.result.broken.append(text)

    def views(self) -> dict[str, dict[str, Status]]:
        return {
            name: {other: one.status for other, one in host.peer.membership.members.items()}
            for name, host in self.hosts.items()
            if host.peer is not None
        }

    def agreed(self) -> bool:
        """Whether every running member holds exactly the running members present."""
        running = {name for name, host in self.hosts.items() if host.peer is not None}
        return all(
            {other for other, status in view.items() if status in (Status.ALIVE, Status.SUSPECT)} | {name}
            == running
            for name, view in self.views().items()
        )

    def summarize(self) -> None:
        seconds = self.fleet.seconds
        sent = sorted(host.sent / seconds for host in self.hosts.values())
        self.result.figures |= {
            "datagrams_a_member_and_second": round(sum(sent) / len(sent), 2),
            "most_of_one_member": round(sent[-1], 2),
            "bytes_a_datagram": round(sum(self.sizes) / max(1, len(self.sizes)), 1),
            "false_deaths": float(self.false_deaths),
            "agreed_at_end": float(self.agreed()),
        }
