"""The whole core of one member: membership, its elector (if it is one), its proposer, and the decisions
that it has adopted. No I/O: `step(now, events)` returns commands, and `next_due()` the latest time of the
next step. The driver, the virtual fleet and the explorer all run this core.

Owns the adopted decisions (one per topic) and the unconfirmed newer ones (at most `MAX_UNCONFIRMED` per
topic)."""

from __future__ import annotations

from dataclasses import dataclass, field
from zlib import crc32

from lupinmill.peers import wire
from lupinmill.peers.elector import Elector, Memory, Persist, majority
from lupinmill.peers.membership import Membership
from lupinmill.peers.partition_policy import POLICY_TABLE, may_request_lease
from lupinmill.peers.proposer import DecisionAccepted, LeaseAcquired, LeaseLost, Proposer
from lupinmill.peers.view import (
    MS,
    SECOND,
    Leave,
    MemberChanged,
    MembershipTiming,
    QuorumChanged,
    QuorumState,
    Received,
    Rejoin,
    Resign,
    RosterChange,
    RosterEntry,
    Send,
)
from lupinmill.peers.wire import ConfirmReply, ConfirmRequest, DecisionMade, Status, TopicProgress

REHEARSAL_TOPIC = "rehearsal"  # a topic without a feature, for operators' drills and for tests
MAX_UNCONFIRMED = 4  # unconfirmed decisions per topic
MAX_PROGRESS_JUMP = 1_000_000  # of an epoch or a version, per message
CONFIRM_INTERVAL_US = 100 * MS  # per topic; bounds the requests that other members can cause
SPREAD_DATAGRAMS = 8  # sends of a new decision by one member, SPREAD_FANOUT at a time
SPREAD_FANOUT = 2
MAX_DROP_CAUSES = 16


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """The settings of the core, from the operators' file; times in microseconds."""

    name: str
    roster: tuple[RosterEntry, ...]
    electors: tuple[str, ...] = ()
    topics: tuple[str, ...] = (REHEARSAL_TOPIC,)
    wanted_topics: tuple[str, ...] = ()  # topics whose lease this member requests
    lease: int = 6 * SECOND
    decision_ttl: int = 30 * SECOND  # time without a majority after which a decision expires
    timing: MembershipTiming = MembershipTiming()


@dataclass(slots=True)
class DecisionAdopted:
    """A decision that this member follows from now on."""

    topic: str
    epoch: int
    version: int
    body: bytes


@dataclass(slots=True)
class UnconfirmedDecision:
    """A newer decision reported by another member and not yet confirmed by a majority of the electors."""

    decision: DecisionMade
    confirmed_by: dict[str, None] = field(default_factory=dict)


@dataclass(slots=True)
class FeatureMessageReceived:
    """A message from the same feature of another member."""

    topic: str
    sender: str
    payload: bytes


@dataclass(slots=True)
class DecisionExpired:
    topic: str
    reason: str


Event = Received | Leave | Rejoin | RosterChange | Resign
Command = (
    Send
    | Persist
    | MemberChanged
    | QuorumChanged
    | LeaseAcquired
    | LeaseLost
    | DecisionAccepted
    | DecisionAdopted
    | DecisionExpired
    | FeatureMessageReceived
)


class Peer:
    def __init__(
        self, settings: PeerSettings, instance_id: int, seed: int, now: int, memory: Memory | None = None
    ) -> None:
        self.settings, self.name, self.instance_id, self.now = settings, settings.name, instance_id, now
        self.membership = Membership(settings.name, list(settings.roster), settings.timing, seed, now)
        electors = list(settings.electors)
        self.elector = None
        if settings.name in electors:
            self.elector = Elector(
                settings.name, electors, list(settings.topics), settings.lease, instance_id, now, memory
            )
        self.proposer = Proposer(
            settings.name, electors, settings.lease, instance_id, seed ^ 0x9E3779B97F4A7C15, now
        )
        self.decisions: dict[str, DecisionMade] = {}
        # By topic, then by version and CRC-32 of the body.
        self.unconfirmed: dict[str, dict[tuple[int, int], UnconfirmedDecision]] = {}
        self.last_confirm_at: dict[str, int] = {}
        self.progress: dict[str, tuple[int, int]] = {}  # highest known epoch and version, by topic
        self.resigned = False
        self.spreading: dict[str, int] = {}  # remaining sends, by topic
        self.next_spread_at = now
        self.last_majority_at = now
        self.commands: list[Command] = []
        self.membership.topic_progress = self.topic_progress
        self.membership.on_progress = self.on_progress
        self.proposer.progress = self.progress_of

    def next_due(self) -> int:
        times = [
            self.membership.next_due(),
            self.proposer.next_due(),
            self.elector.next_due() if self.elector else None,
        ]
        if self.spreading:
            times.append(self.next_spread_at)
        return min(time for time in times if time is not None)

    def step(self, now: int, events: list[Event]) -> list[Command]:
        self.now = now
        membership_events: list[Event] = []
        elector_messages: list[Received] = []
        proposer_messages: list[Received] = []
        for event in events:
            if isinstance(event, Received):
                body = event.body
                if isinstance(body, wire.Prepare | wire.Accept | wire.RecallRequest | wire.RecallReply):
                    elector_messages.append(event)
                elif isinstance(body, wire.Promise | wire.Accepted | wire.Nack):
                    proposer_messages.append(event)
                elif isinstance(body, DecisionMade | ConfirmRequest | ConfirmReply):
                    self.on_decision_message(event.sender, body)
                elif isinstance(body, wire.FeatureMessage):
                    self.on_feature_message(event.sender, body)
                else:
                    membership_events.append(event)
                    continue
                if event.sender != self.name:
                    membership_events.append(event)  # every datagram shows that its sender is alive
            else:
                self.apply_lifecycle_event(event)
                if not isinstance(event, Resign):
                    membership_events.append(event)
        self.commands += self.membership.step(now, membership_events)
        if self.elector is not None:
            from_members = [event for event in elector_messages if self.is_member(event.sender)]
            self.commands += self.elector.step(now, from_members)
        elif elector_messages:
            self.membership.count_dropped("votes")
        self.update_claims()
        for command in self.proposer.step(now, proposer_messages):
            self.commands.append(command)
            if isinstance(command, DecisionAccepted):
                self.on_accepted(command)
            elif isinstance(command, LeaseAcquired):
                self.raise_progress(command.topic, command.epoch, 0)
        self.spread_decisions()
        self.expire_decisions()
        commands, self.commands = self.commands, []
        return commands

    def is_member(self, name: str) -> bool:
        return name == self.name or name in self.membership.members

    def apply_lifecycle_event(self, event: Event) -> None:
        if isinstance(event, Resign):
            self.resigned = True
        if isinstance(event, Leave | Resign):
            for topic in list(self.proposer.claims):
                self.proposer.now = self.now
                self.proposer.release(topic)

    # Leases and decisions.

    def update_claims(self) -> None:
        """Requests leases only while a majority is present; a held lease stays until it expires."""
        may_request = (
            may_request_lease(self.membership.quorum_state) and self.membership.status is Status.ALIVE
        )
        self.proposer.now = self.now
        if self.membership.quorum_state in (QuorumState.MINORITY, QuorumState.ISOLATED):
            # A member in a minority decides nothing for others, even if a majority of the electors is with
            # it.
            for topic in list(self.proposer.claims):
                if self.proposer.held_epoch(topic, self.now):
                    self.proposer.release(topic)
        for topic in self.settings.wanted_topics if self.settings.electors else ():
            if may_request and not self.resigned:
                self.proposer.request(topic)
            else:
                self.proposer.cancel_request(topic)

    def held_epoch(self, topic: str, now: int) -> int:
        return self.proposer.held_epoch(topic, now)

    def decide(self, topic: str, body: bytes) -> bool:
        return self.proposer.decide(topic, body)

    def on_accepted(self, command: DecisionAccepted) -> None:
        decision = DecisionMade(command.topic, command.epoch, command.version, command.body)
        for elector in self.settings.electors:
            if elector != self.name:
                self.commands.append(Send(elector, decision, []))
        self.adopt_decision(decision)

    def adopt_decision(self, decision: DecisionMade) -> None:
        """Adopts a decision if it is newer. Versions grow across all holders, so they order the decisions."""
        current = self.decisions.get(decision.topic)
        if current is not None and current.version >= decision.version:
            return
        self.decisions[decision.topic] = decision
        self.raise_progress(decision.topic, decision.epoch, decision.version)
        self.unconfirmed.pop(decision.topic, None)
        self.spreading[decision.topic] = SPREAD_DATAGRAMS
        self.next_spread_at = self.now
        self.commands.append(DecisionAdopted(decision.topic, decision.epoch, decision.version, decision.body))

    def on_decision_message(self, sender: str, body: DecisionMade | ConfirmRequest | ConfirmReply) -> None:
        if body.topic not in self.settings.topics or not self.is_member(sender):
            self.membership.count_dropped("topic")
        elif isinstance(body, DecisionMade):
            self.on_decision_made(sender, body)
        elif isinstance(body, ConfirmRequest):
            if self.has_accepted(body):
                self.commands.append(Send(sender, ConfirmReply(body.topic, body.version, body.body_crc), []))
        elif sender in self.settings.electors:
            self.on_confirmation(sender, body)

    def on_feature_message(self, sender: str, body: wire.FeatureMessage) -> None:
        if body.topic not in self.settings.topics or not self.is_member(sender):
            self.membership.count_dropped("topic")
        else:
            self.commands.append(FeatureMessageReceived(body.topic, sender, body.payload))

    def on_decision_made(self, sender: str, decision: DecisionMade) -> None:
        """Adopts the decision only after a majority of the electors confirms that it accepted exactly this
        one. Guards against a member that lies about a decision, including the one that proposed it."""
        current = self.decisions.get(decision.topic)
        if current is not None and decision.version <= current.version:
            return
        body_crc = crc32(decision.body)
        candidates = self.unconfirmed.setdefault(decision.topic, {})
        if (decision.version, body_crc) not in candidates:
            if len(candidates) >= MAX_UNCONFIRMED:
                del candidates[next(iter(candidates))]
            candidates[decision.version, body_crc] = UnconfirmedDecision(decision)
        if self.now - self.last_confirm_at.get(decision.topic, -CONFIRM_INTERVAL_US) < CONFIRM_INTERVAL_US:
            return
        self.last_confirm_at[decision.topic] = self.now
        request = ConfirmRequest(decision.topic, decision.version, body_crc)
        for elector in self.settings.electors:
            if elector != self.name:
                self.commands.append(Send(elector, request, []))
        if self.has_accepted(request):
            self.on_confirmation(self.name, ConfirmReply(decision.topic, decision.version, body_crc))

    def has_accepted(self, request: ConfirmRequest) -> bool:
        register = self.elector.registers.get(request.topic) if self.elector is not None else None
        if register is None:
            return False
        return (register.value.version, crc32(register.value.body)) == (request.version, request.body_crc)

    def on_confirmation(self, elector: str, body: ConfirmReply) -> None:
        unconfirmed = self.unconfirmed.get(body.topic, {}).get((body.version, body.body_crc))
        if unconfirmed is None:
            return
        unconfirmed.confirmed_by[elector] = None
        if len(unconfirmed.confirmed_by) >= majority(len(self.settings.electors)):
            self.adopt_decision(unconfirmed.decision)

    def spread_decisions(self) -> None:
        if not self.spreading or self.now < self.next_spread_at:
            return
        self.next_spread_at = self.now + self.settings.timing.round // 2
        for topic in list(self.spreading):
            for name in self.membership.random_members(SPREAD_FANOUT):
                self.commands.append(Send(name, self.decisions[topic], []))
            self.spreading[topic] -= 1
            if not self.spreading[topic]:
                del self.spreading[topic]

    def topic_progress(self) -> list[TopicProgress]:
        found = []
        for topic in self.settings.topics:
            epoch, version = self.progress_of(topic)
            decided = self.decisions[topic].version if topic in self.decisions else 0
            if epoch or version:
                found.append(TopicProgress(topic, epoch, version, decided))
        return found

    def progress_of(self, topic: str) -> tuple[int, int]:
        """The highest epoch and version of a topic that this member knows, also as an elector."""
        epoch, version = self.progress.get(topic, (0, 0))
        if self.elector is not None and topic in self.elector.registers:
            value = self.elector.registers[topic].value
            epoch = max(epoch, value.epoch)
        return epoch, version

    def raise_progress(self, topic: str, epoch: int, version: int) -> None:
        before = self.progress.get(topic, (0, 0))
        if epoch <= before[0] + MAX_PROGRESS_JUMP and version <= before[1] + MAX_PROGRESS_JUMP:
            self.progress[topic] = max(before[0], epoch), max(before[1], version)

    def on_progress(self, sender: str, progress: list[TopicProgress]) -> None:
        """Sends the decisions that another member lacks, after an exchange of tables."""
        their_versions = {}
        for entry in progress:
            if entry.topic in self.settings.topics:
                self.raise_progress(entry.topic, entry.epoch, entry.version)
                their_versions[entry.topic] = entry.decided
        for decision in self.decisions.values():
            if their_versions.get(decision.topic, 0) < decision.version:
                self.commands.append(Send(sender, decision, []))

    def expire_decisions(self) -> None:
        """Drops adopted decisions after too long without a majority."""
        if self.membership.quorum_state.value in ("together", "in doubt"):
            self.last_majority_at = self.now
        elif self.decisions and self.now - self.last_majority_at >= self.settings.decision_ttl:
            for topic in list(self.decisions):
                del self.decisions[topic]
                self.spreading.pop(topic, None)
                self.commands.append(DecisionExpired(topic, "no majority for too long"))

    # Operators' view.

    def show(self) -> dict[str, object]:
        """The state as a plain table; times are seconds before now."""
        membership = self.membership

        def ago(time: int) -> float | None:
            return round((self.now - time) / SECOND, 1) if time >= 0 else None

        members = [
            {
                "name": name,
                "status": member.status.name.lower(),
                "since_s": ago(member.since),
                "by": member.source,
                "incarnation": member.incarnation,
                "answered_s": ago(member.last_ack_at),
                "zone": member.entry.zone,
                "region": member.entry.region,
                "elector": name in self.settings.electors,
            }
            for name, member in sorted(membership.members.items())
        ]
        leases = [
            {
                "topic": topic,
                "epoch": claim.epoch,
                "held": bool(self.proposer.held_epoch(topic, self.now)),
                "runs_s": max(0.0, round((claim.held_until - self.now) / SECOND, 1)),
                "holder": claim.current_holder,
            }
            for topic, claim in self.proposer.claims.items()
        ]
        decided = [
            {
                "topic": decision.topic,
                "epoch": decision.epoch,
                "version": decision.version,
                "bytes": len(decision.body),
            }
            for decision in self.decisions.values()
        ]
        elector = None
        if self.elector is not None:
            elector = {
                "votes": self.elector.votes(),
                "registers": [
                    {
                        "topic": topic,
                        "epoch": register.value.epoch,
                        "holder": register.value.holder,
                        "runs_s": round(self.elector.lease_remaining(register) / SECOND, 1),
                        "version": register.value.version,
                    }
                    for topic, register in self.elector.registers.items()
                ],
            }
        return {
            "name": self.name,
            "status": membership.status.name.lower(),
            "incarnation": membership.incarnation,
            "standing": membership.quorum_state.value,
            "standing_s": ago(membership.quorum_state_since),
            "late": membership.health_score,
            "sees": membership.present_count + 1,
            "of": membership.roster_size,
            "electors": list(self.settings.electors),
            "members": members,
            "leases": leases,
            "decisions": decided,
            "elector": elector,
            "dropped": dict(list(membership.dropped.items())[:MAX_DROP_CAUSES]),
            "features": sorted(POLICY_TABLE),
        }
