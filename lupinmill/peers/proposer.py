"""The proposer of leases and decisions: acquires, renews and releases a lease on a topic, and makes decisions
under it. No I/O. The safety argument and its assumptions are in docs/design/peers.md.

Each change is one Paxos round: promises from a majority of the electors, then acceptance by a majority of the
new value, which is computed from the newest value that any of them had accepted. For this process, a lease
starts just before it asks for acceptance. An elector's lease timer starts later and runs longer, so no other
member gets the lease meanwhile. Only the monotonic clock is used, and `held_epoch` reads it on each call.

Owns one `LeaseClaim` for each requested topic; a claim has at most one `Proposal` outstanding."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lupinmill.peers import wire
from lupinmill.peers.elector import CLOCK_DRIFT_DIVISOR, majority
from lupinmill.peers.view import MS, SECOND, Received, Send
from lupinmill.peers.wire import Accepted, Ballot, Nack, Promise, TopicState
from lupinmill.workings import RandomSource

PROPOSAL_TIMEOUT_US = SECOND
RESEND_INTERVAL_US = 120 * MS
RETRY_DELAY_US = 300 * MS  # after a failed proposal, plus a random delay of up to four times as long


def no_progress(topic: str) -> tuple[int, int]:
    return 0, 0


@dataclass(slots=True)
class LeaseAcquired:
    """This process holds the lease from now on; the epoch is its fencing token."""

    topic: str
    epoch: int


@dataclass(slots=True)
class LeaseLost:
    topic: str
    epoch: int
    reason: str


@dataclass(slots=True)
class DecisionAccepted:
    """A decision that a majority of the electors has accepted."""

    topic: str
    epoch: int
    version: int
    body: bytes


@dataclass(slots=True)
class Proposal:
    """One Paxos round of a claim."""

    ballot: Ballot
    deadline: int
    resend_at: int
    promises: dict[str, Promise] = field(default_factory=dict)
    value: TopicState | None = None  # set in the second phase
    accept_sent_at: int = 0  # start of the second phase
    accepted_by: dict[str, None] = field(default_factory=dict)


@dataclass(slots=True)
class LeaseClaim:
    """A lease that this process requests, holds or releases."""

    topic: str
    lease: int
    next_attempt_at: int  # of a first proposal, a retry or a renewal
    failures: int = 0
    epoch: int = 0  # of the held lease; 0: not held
    version: int = 0  # of the newest decision known to be accepted
    held_until: int = 0
    releasing: bool = False
    pending_decision: bytes | None = None  # a decision that is not accepted yet
    highest_seen: Ballot = Ballot()
    proposal: Proposal | None = None
    current_holder: str = ""  # another member that holds the lease, if known


class Proposer:
    def __init__(
        self, name: str, electors: list[str], lease: int, instance_id: int, seed: int, now: int
    ) -> None:
        self.name, self.electors, self.instance_id, self.now = name, electors, instance_id, now
        self.lease = lease
        self.random_source = RandomSource(seed)
        self.claims: dict[str, LeaseClaim] = {}
        # The last ballot number by topic; a process never reuses one.
        self.ballot_numbers: dict[str, int] = {}
        self.commands: list[Send | LeaseAcquired | LeaseLost | DecisionAccepted] = []
        self.majority: Callable[[int], int] = majority
        # Highest epoch and version of a topic that this member ever learned, from any source.
        self.progress: Callable[[str], tuple[int, int]] = no_progress

    # Requests by other parts of this process.

    def request(self, topic: str) -> None:
        """Requests the lease; has no effect while a release of it is in progress."""
        if topic not in self.claims:
            self.claims[topic] = LeaseClaim(
                topic, self.lease, self.now + self.random_source.upto(RETRY_DELAY_US)
            )

    def release(self, topic: str) -> None:
        """Stops holding the lease at once and notifies the electors; if that fails, the lease expires
        there."""
        claim = self.claims.get(topic)
        if claim is None:
            return
        if claim.epoch:
            self.end_lease(claim, "lease released")
            claim.releasing, claim.next_attempt_at = True, self.now
        elif not claim.releasing:
            del self.claims[topic]

    def cancel_request(self, topic: str) -> None:
        """Drops a claim that holds no lease; a held lease stays until it expires."""
        claim = self.claims.get(topic)
        if claim is not None and not claim.epoch and not claim.releasing:
            del self.claims[topic]

    def decide(self, topic: str, body: bytes) -> bool:
        """Returns False if this process doesn't hold the lease, its last decision is still pending, or the
        body is too long."""
        claim = self.claims.get(topic)
        if claim is None or not self.held_epoch(topic, self.now) or claim.pending_decision is not None:
            return False
        if len(body) > wire.MAX_DECISION_BYTES:
            return False
        claim.pending_decision = body
        if claim.proposal is None:
            claim.next_attempt_at = self.now
        return True

    def held_epoch(self, topic: str, now: int) -> int:
        """The epoch of the lease if it is held at `now`, else 0."""
        claim = self.claims.get(topic)
        return claim.epoch if claim is not None and now < claim.held_until else 0

    # The protocol.

    def next_due(self) -> int | None:
        times = []
        for claim in self.claims.values():
            times.append(
                claim.next_attempt_at
                if claim.proposal is None
                else min(claim.proposal.resend_at, claim.proposal.deadline)
            )
            if claim.epoch:
                times.append(claim.held_until)
        return min(times, default=None)

    def step(
        self, now: int, events: list[Received]
    ) -> list[Send | LeaseAcquired | LeaseLost | DecisionAccepted]:
        self.now = now
        for claim in list(self.claims.values()):
            if claim.epoch and now >= claim.held_until:
                self.end_lease(claim, "lease expired")
        for event in events:
            body = event.body
            if not isinstance(body, Promise | Accepted | Nack) or event.sender not in self.electors:
                continue
            claim = self.claims.get(body.topic)
            if claim is None or claim.proposal is None or body.ballot != claim.proposal.ballot:
                continue
            if isinstance(body, Promise):
                self.on_promise(claim, claim.proposal, event.sender, body)
            elif isinstance(body, Accepted):
                self.on_accepted(claim, claim.proposal, event.sender)
            else:
                self.on_nack(claim, body)
        for claim in list(self.claims.values()):
            self.advance(claim)
        commands, self.commands = self.commands, []
        return commands

    def advance(self, claim: LeaseClaim) -> None:
        proposal = claim.proposal
        if proposal is None:
            if self.now >= claim.next_attempt_at:
                self.start_proposal(claim)
        elif self.now >= proposal.deadline:
            self.on_failure(claim)
        elif self.now >= proposal.resend_at:
            proposal.resend_at = self.now + RESEND_INTERVAL_US
            self.send_requests(claim, proposal)

    def start_proposal(self, claim: LeaseClaim) -> None:
        # Numbers outlive their claims, as one ballot must never carry two values.
        number = max(claim.highest_seen.number, self.ballot_numbers.get(claim.topic, 0)) + 1
        self.ballot_numbers[claim.topic] = number
        ballot = Ballot(number, f"{self.name}:{self.instance_id:x}")
        claim.proposal = Proposal(ballot, self.now + PROPOSAL_TIMEOUT_US, self.now + RESEND_INTERVAL_US)
        self.send_requests(claim, claim.proposal)

    def send_requests(self, claim: LeaseClaim, proposal: Proposal) -> None:
        for elector in self.electors:
            if proposal.value is None:
                if elector not in proposal.promises:
                    self.send(elector, wire.Prepare(claim.topic, proposal.ballot))
            elif elector in proposal.promises and elector not in proposal.accepted_by:
                instance_id = proposal.promises[elector].instance_id
                self.send(elector, wire.Accept(claim.topic, proposal.ballot, instance_id, proposal.value))

    def send(self, to: str, body: wire.Body) -> None:
        self.commands.append(Send(to, body, []))

    def on_failure(self, claim: LeaseClaim) -> None:
        claim.proposal = None
        claim.failures += 1
        claim.next_attempt_at = (
            self.now + RETRY_DELAY_US + self.random_source.upto(RETRY_DELAY_US * min(4, claim.failures))
        )
        if claim.releasing and claim.failures > 2:
            del self.claims[claim.topic]  # the lease expires at the electors

    def on_nack(self, claim: LeaseClaim, body: Nack) -> None:
        claim.highest_seen = max(claim.highest_seen, body.promised)
        if not body.abstains and claim.proposal is not None:
            self.on_failure(claim)

    def on_promise(self, claim: LeaseClaim, proposal: Proposal, sender: str, body: Promise) -> None:
        if proposal.value is not None:
            return  # a majority has promised already
        proposal.promises[sender] = body
        if len(proposal.promises) < self.majority(len(self.electors)):
            return
        newest = max(proposal.promises.values(), key=lambda promise: promise.accepted)
        value = self.next_value(claim, newest.value, proposal)
        if value is None:
            return
        proposal.value, proposal.accept_sent_at = value, self.now
        proposal.resend_at = self.now + RESEND_INTERVAL_US
        self.send_requests(claim, proposal)

    def next_value(self, claim: LeaseClaim, value: TopicState, proposal: Proposal) -> TopicState | None:
        """The value to propose, based on the newest accepted one. None ends the proposal: another member
        holds the lease, or this process was fenced."""
        if claim.releasing:
            if (value.holder, value.instance_id) != (self.name, self.instance_id):
                del self.claims[claim.topic]
                return None
            return TopicState(value.epoch, "", 0, 0, value.version, value.body)
        is_own = value.holder == self.name and value.instance_id == self.instance_id
        if claim.epoch:
            if not is_own or value.epoch != claim.epoch:
                self.end_lease(claim, f"{value.holder or 'nobody'} has epoch {value.epoch}")
                return None
            if claim.pending_decision is not None:
                # Only this process decides under its epoch, so a newer version is its own earlier proposal.
                return TopicState(
                    value.epoch,
                    self.name,
                    self.instance_id,
                    claim.lease,
                    claim.version + 1,
                    claim.pending_decision,
                )
            return TopicState(
                value.epoch, self.name, self.instance_id, claim.lease, value.version, value.body
            )
        for promise in proposal.promises.values():
            # A running lease at any single elector counts, as the newest value may lack a majority.
            held = promise.value
            if promise.remaining and (held.holder, held.instance_id) != (self.name, self.instance_id):
                claim.current_holder = held.holder
                claim.proposal = None
                claim.failures = 0
                claim.next_attempt_at = (
                    self.now + min(promise.remaining, claim.lease) + self.random_source.upto(RETRY_DELAY_US)
                )
                return None
        # If too many electors lost their memory, epochs and versions that members still know must not be
        # reused: members would take new decisions for old ones. A false progress report by a lying member
        # only skips numbers, and never affects the electors' memory.
        epoch, version = self.progress(claim.topic)
        version = value.version if value.version >= version else version + 1
        return TopicState(
            max(value.epoch, epoch) + 1, self.name, self.instance_id, claim.lease, version, value.body
        )

    def on_accepted(self, claim: LeaseClaim, proposal: Proposal, sender: str) -> None:
        if proposal.value is None or sender not in proposal.promises:
            return
        proposal.accepted_by[sender] = None
        if len(proposal.accepted_by) < self.majority(len(self.electors)):
            return
        value, claim.proposal, claim.failures, claim.current_holder = proposal.value, None, 0, ""
        if claim.releasing:
            del self.claims[claim.topic]
            return
        is_new = not claim.epoch
        claim.epoch = value.epoch
        # Twice the drift, as this clock may be slow while an elector's is fast.
        claim.held_until = proposal.accept_sent_at + claim.lease - 2 * claim.lease // CLOCK_DRIFT_DIVISOR
        if self.now >= claim.held_until:
            self.end_lease(claim, "lease expired before it was accepted")
            return
        claim.next_attempt_at = proposal.accept_sent_at + claim.lease // 3
        if is_new:
            self.commands.append(LeaseAcquired(claim.topic, value.epoch))
        if value.version and (is_new or value.version > claim.version):
            # A new holder also announces the decision that it found, as its proposer may have failed before.
            self.commands.append(DecisionAccepted(claim.topic, value.epoch, value.version, value.body))
            if not is_new:
                claim.pending_decision = None
        claim.version = value.version
        if claim.pending_decision is not None:
            claim.next_attempt_at = self.now

    def end_lease(self, claim: LeaseClaim, reason: str) -> None:
        """Also drops the open proposal. If electors still accept it, the lease belongs to no process until it
        expires there."""
        self.commands.append(LeaseLost(claim.topic, claim.epoch, reason))
        claim.epoch, claim.held_until, claim.pending_decision, claim.proposal = 0, 0, None, None
        claim.next_attempt_at = self.now + self.random_source.upto(RETRY_DELAY_US)
