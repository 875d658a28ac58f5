"""Checks the four rules from what endpoints and clients observe, never from what a sidecar reports about
itself. Keeps a record of each request until it can no longer affect a check.

Rule 1: each request gets exactly one answer, in time, and no attempt is sent after it.
Rule 2: no attempt and no rejection may cause an effect twice.
Rule 3: after a grace period no attempt goes to an endpoint that drains or is gone.
Rule 4: no cold endpoint is overloaded by sidecars that know of its restart.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from lupinmill import terms as t
from lupinmill.lab.outcome import Outcome
from lupinmill.lab.timeline import SECOND

MAX_REPORTED = 50  # violations that are kept with their details; all are counted
RECORD_RETENTION = 20 * SECOND  # after the deadline of the request


class RuleViolation(msgspec.Struct):
    """A violation of a rule: the second of the run, the request or endpoint (`what`), and what was
    observed."""

    rule: int
    second: float
    what: str
    text: str


@dataclass(slots=True)
class AttemptRecord:
    endpoint: str
    cell: int
    zone: str
    at: int  # when it was sent
    executed: bool = False  # the endpoint accepted it: it has run or may run
    in_flight: bool = True


@dataclass(slots=True)
class RequestRecord:
    request_id: str
    workload: t.Workload
    due: int
    received: int
    front: bool  # sent by a client, not by an endpoint of another tier
    answer: str = ""
    answered: int = 0
    released: bool = False  # its client left or its sidecar was killed: no answer is required
    attempts: list[AttemptRecord] = field(default_factory=list)


class RuleChecker:
    """`overload_limit` is the multiple of its capacity, and the time in microseconds over which it is
    measured, at which a cold endpoint collapses."""

    def __init__(
        self,
        start: int,
        workloads: list[t.Workload],
        grace: int,
        drain_grace: int,
        overload_limit: tuple[float, int],
        hedging_allowed: bool,
    ) -> None:
        self.start, self.grace, self.drain_grace, self.overload_limit, self.hedging_allowed = (
            start,
            grace,
            drain_grace,
            overload_limit,
            hedging_allowed,
        )
        self.workloads = {workload.name: workload for workload in workloads}
        self.records: dict[str, RequestRecord] = {}
        self.broken: list[RuleViolation] = []
        self.counts = {1: 0, 2: 0, 3: 0, 4: 0}
        # (group, key) -> until when repeats are dropped
        self.dedup_keys: dict[tuple[str, str], int] = {}
        self.effects: dict[str, int] = {}  # key -> time of its latest effect at the first tier
        self.doubled = 0  # effects that occurred twice; retries of clients count too, so it breaks no rule
        # (sidecar, endpoint) -> when the sidecar learned that the endpoint drains or is gone
        self.leaving_since: dict[tuple[str, str], int] = {}
        self.now = start
        self.slack = 0  # on sockets, events of two connections within this time have no known order
        self.collapsed: list[str] = []

    def violation(self, rule: int, what: str, text: str) -> None:
        self.counts[rule] += 1
        if len(self.broken) < MAX_REPORTED:
            self.broken.append(RuleViolation(rule, round((self.now - self.start) / SECOND, 3), what, text))

    def window(self, workload: str) -> int:
        found = self.workloads.get(workload)
        return found.window if found is not None and found.repeat is t.RepeatPolicy.DEDUPLICATED else 0

    # Clients.

    def request_received(self, now: int, request_id: str, workload: str, due: int, front: bool) -> None:
        self.now = now
        self.records[request_id] = RequestRecord(request_id, self.workloads[workload], due, now, front)

    def answered(self, now: int, request_id: str, what: str) -> None:
        """The client received an answer; `what` is its outcome."""
        self.now = now
        record = self.records.get(request_id)
        if record is None:
            return self.violation(1, request_id, f"{what} without having been received")
        if record.answer:
            return self.violation(1, request_id, f"{what} after it was {record.answer}")
        record.answer, record.answered = what, now
        if now > record.due + self.grace and not record.released:
            self.violation(1, request_id, f"{what} {(now - record.due) / 1000:.0f} ms after its hard limit")
        if what == Outcome.REJECTED:
            self.check_rejection(record)

    def check_rejection(self, record: RequestRecord) -> None:
        workload = record.workload
        safe = (
            workload.repeat is t.RepeatPolicy.IDEMPOTENT
            or workload.repeat is t.RepeatPolicy.DEDUPLICATED
            and workload.group is t.DeduplicationScope.ALL
        )
        if not safe and any(attempt.executed for attempt in record.attempts):
            self.violation(2, record.request_id, "denied, but an attempt has run or may run")

    def released(self, request_id: str) -> None:
        """The client has left, or the sidecar that accepted the request was killed."""
        record = self.records.get(request_id)
        if record is not None:
            record.released = True

    def overdue(self, now: int, request_id: str) -> None:
        """To be called at the deadline plus the grace period: a request without an answer breaks rule 1."""
        self.now = now
        record = self.records.get(request_id)
        if record is not None and not record.answer and not record.released:
            self.violation(1, request_id, "no final answer before its hard limit")

    def forget(self, request_id: str) -> None:
        self.records.pop(request_id, None)

    # Endpoints.

    def sent(self, now: int, request_id: str, endpoint: Any, sidecar: str) -> AttemptRecord | None:
        """An attempt was sent, whatever its outcome. Rule 3 and the end of rule 1 are checked here."""
        self.now = now
        self.check_drain(now, request_id, endpoint.spec.name, sidecar)
        record = self.records.get(request_id)
        if record is None:
            self.violation(
                1, request_id, f"sent to {endpoint.spec.name} without having been received, or long after"
            )
            return None
        if record.answer and now > record.answered + self.slack:
            self.violation(1, request_id, f"sent to {endpoint.spec.name} after it was {record.answer}")
        attempt = AttemptRecord(endpoint.spec.name, endpoint.spec.cell, endpoint.spec.zone, now)
        self.check_retry(record, attempt)
        record.attempts.append(attempt)
        return attempt

    def check_retry(self, record: RequestRecord, attempt: AttemptRecord) -> None:
        workload, executed = record.workload, [other for other in record.attempts if other.executed]
        if not self.hedging_allowed and any(other.in_flight for other in record.attempts):
            self.violation(2, record.request_id, "two attempts in flight where hedging is forbidden")
        if not executed or workload.repeat is t.RepeatPolicy.IDEMPOTENT:
            return
        first = executed[0]
        if workload.repeat is t.RepeatPolicy.UNREPEATABLE:
            self.violation(
                2, record.request_id, f"sent to {attempt.endpoint}, may have run at {first.endpoint}"
            )
        elif attempt.at > first.at + workload.window + self.grace:
            self.violation(2, record.request_id, "sent again after its window")
        elif not self.same_group(workload, first.cell, first.zone, attempt.cell, attempt.zone):
            self.violation(
                2, record.request_id, f"sent to {attempt.endpoint}, outside the group of {first.endpoint}"
            )

    def same_group(
        self, workload: t.Workload, cell: int, zone: str, other_cell: int, other_zone: str
    ) -> bool:
        if workload.group is t.DeduplicationScope.ALL:
            return True
        return zone == other_zone if workload.group is t.DeduplicationScope.ZONE else cell == other_cell

    def accepted(self, endpoint: Any, job: Any, ran: bool) -> None:
        """The endpoint accepted the request: from now on it has run or may run."""
        record = self.records.get(job.request_id)
        if record is None:
            return
        for attempt in reversed(record.attempts):
            if attempt.endpoint == endpoint.spec.name and not attempt.executed:
                attempt.executed = True
                break
        if record.answer == Outcome.REJECTED:
            self.check_rejection(record)
        if ran:
            self.executed(endpoint, job)

    def executed(self, endpoint: Any, job: Any) -> None:
        """The request took effect, unless it was a dropped repeat (whose work is 0)."""
        if job.key and job.work > 0 and endpoint.spec.tier == 0:
            self.doubled += job.key in self.effects
            self.effects[job.key] = self.now

    def is_duplicate(self, endpoint: Any, key: str, now: int) -> bool:
        return self.dedup_keys.get((self.dedup_group(endpoint), key), -1) > now

    def remember_key(self, endpoint: Any, key: str, until: int) -> None:
        self.dedup_keys[(self.dedup_group(endpoint), key)] = until

    def dedup_group(self, endpoint: Any) -> str:
        groups = {
            workload.group
            for workload in self.workloads.values()
            if workload.repeat is t.RepeatPolicy.DEDUPLICATED
        }
        if t.DeduplicationScope.CELL in groups:
            return f"{endpoint.spec.tier}/{endpoint.spec.zone}/{endpoint.spec.cell}"
        return (
            f"{endpoint.spec.tier}/{endpoint.spec.zone}"
            if t.DeduplicationScope.ZONE in groups
            else f"{endpoint.spec.tier}"
        )

    # The list, and cold endpoints.

    def list_update(self, now: int, sidecar: str, endpoint: str, leaving: bool) -> None:
        """A sidecar received a change of the list from discovery."""
        if leaving:
            self.leaving_since.setdefault((sidecar, endpoint), now)
        else:
            self.leaving_since.pop((sidecar, endpoint), None)

    def restarted(self, sidecar: str) -> None:
        """A sidecar was restarted: it no longer knows which endpoints leave."""
        for key in [key for key in self.leaving_since if key[0] == sidecar]:
            del self.leaving_since[key]

    def check_drain(self, now: int, request_id: str, endpoint: str, sidecar: str) -> None:
        leaving_since = self.leaving_since.get((sidecar, endpoint))
        if leaving_since is not None and now > leaving_since + self.drain_grace:
            late_s = (now - leaving_since) / SECOND
            self.violation(
                3, request_id, f"{sidecar} sent to {endpoint} {late_s:.2f} s after hearing that it leaves"
            )

    def endpoint_collapsed(self, endpoint: Any, informed_share: float) -> None:
        """A cold endpoint collapsed under load; `informed_share` of it came from sidecars that know that it
        is cold."""
        self.collapsed.append(endpoint.spec.name)
        if informed_share >= 2 / 3:
            self.violation(4, endpoint.spec.name, "overloaded while cold")

    def sweep(self, now: int) -> None:
        """Drops records that can no longer affect a check, so that memory does not grow with the length of a
        run."""
        expired = [name for name, record in self.records.items() if record.due + RECORD_RETENTION < now]
        for name in expired:
            del self.records[name]
        for key in [key for key, until in self.dedup_keys.items() if until < now]:
            del self.dedup_keys[key]
        for key in [key for key, at in self.effects.items() if at + RECORD_RETENTION < now]:
            del self.effects[key]
