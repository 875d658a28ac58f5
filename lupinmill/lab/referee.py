"""Judges the four rules from what the endpoints and the clients see, never from what a sidecar says of
itself. Owns a record for each submission until it can no longer matter."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from lupinmill import terms as t
from lupinmill.lab.outcome import Outcome
from lupinmill.lab.timeline import SECOND

MOST_TOLD = 50  # broken rules that are told one by one
KEPT = 20 * SECOND  # how long a record outlives the submission's hard limit


class Broken(msgspec.Struct):
    """One broken rule: the second of the run, the submission (or endpoint) and what was seen."""

    rule: int
    second: float
    what: str
    text: str


@dataclass(slots=True)
class Launched:
    endpoint: str
    cell: int
    zone: str
    at: int  # when it was sent
    ran: bool = False  # accepted: it has run or may run
    out: bool = True


@dataclass(slots=True)
class Record:
    submission: str
    workload: t.Workload
    due: int
    taken: int
    front: bool  # of the first tier: its client is a person
    answer: str = ""
    answered: int = 0
    released: bool = False  # its client left, or its sidecar died: nothing is owed
    launches: list[Launched] = field(default_factory=list)


class Referee:
    """`fall` is the multiple of its capacity and the span (microseconds) beyond which a cold endpoint
    falls."""

    def __init__(
        self,
        start: int,
        workloads: list[t.Workload],
        grace: int,
        drain_grace: int,
        fall: tuple[float, int],
        copies: bool,
    ) -> None:
        self.start, self.grace, self.drain_grace, self.fall, self.copies = (
            start,
            grace,
            drain_grace,
            fall,
            copies,
        )
        self.workloads = {w.name: w for w in workloads}
        self.records: dict[str, Record] = {}
        self.broken: list[Broken] = []
        self.counts = {1: 0, 2: 0, 3: 0, 4: 0}
        self.memory: dict[tuple[str, str], int] = {}  # (group, mark) -> until when its repeats are dropped
        self.effects: dict[str, int] = {}  # mark -> when its effect last came about, at the first tier
        self.doubled = 0  # effects that came about twice, also by what clients sent again: no rule by itself
        self.told: dict[tuple[str, str], int] = {}  # (sidecar, endpoint) -> when it heard that it leaves
        self.now = start
        self.slack = 0  # on sockets the order of what two connections bring within this time says nothing
        self.fallen: list[str] = []

    def breaks(self, rule: int, what: str, text: str) -> None:
        self.counts[rule] += 1
        if len(self.broken) < MOST_TOLD:
            self.broken.append(Broken(rule, round((self.now - self.start) / SECOND, 3), what, text))

    def window(self, workload: str) -> int:
        found = self.workloads.get(workload)
        return found.window if found is not None and found.repeat is t.RepeatPolicy.DEDUPLICATED else 0

    # Clients.

    def taken(self, now: int, submission: str, workload: str, due: int, front: bool) -> None:
        self.now = now
        self.records[submission] = Record(submission, self.workloads[workload], due, now, front)

    def answered(self, now: int, submission: str, what: str) -> None:
        """`what` is handled, denied or broken off, as it came to the client."""
        self.now = now
        record = self.records.get(submission)
        if record is None:
            return self.breaks(1, submission, f"{what} without having been taken")
        if record.answer:
            return self.breaks(1, submission, f"{what} after it was {record.answer}")
        record.answer, record.answered = what, now
        if now > record.due + self.grace and not record.released:
            self.breaks(1, submission, f"{what} {(now - record.due) / 1000:.0f} ms after its hard limit")
        if what == Outcome.REJECTED:
            self.judge_denial(record)

    def judge_denial(self, record: Record) -> None:
        w = record.workload
        safe = (
            w.repeat is t.RepeatPolicy.IDEMPOTENT
            or w.repeat is t.RepeatPolicy.DEDUPLICATED
            and w.group is t.DeduplicationScope.ALL
        )
        if not safe and any(launch.ran for launch in record.launches):
            self.breaks(2, record.submission, "denied, but a launch of it has run or may run")

    def released(self, submission: str) -> None:
        """Its client has gone, or the sidecar that took it was killed."""
        record = self.records.get(submission)
        if record is not None:
            record.released = True

    def overdue(self, now: int, submission: str) -> None:
        """To be called at the hard limit and the grace; what the client got no answer to until then is
        lost."""
        self.now = now
        record = self.records.get(submission)
        if record is not None and not record.answer and not record.released:
            self.breaks(1, submission, "no final answer before its hard limit")

    def forget(self, submission: str) -> None:
        self.records.pop(submission, None)

    # Endpoints.

    def sent(self, now: int, submission: str, endpoint: Any, sidecar: str) -> Launched | None:
        """A launch was sent, whatever comes of it. Rule 3 counts from here, and so does the end of rule 1."""
        self.now = now
        self.judge_drain(now, submission, endpoint.shape.name, sidecar)
        record = self.records.get(submission)
        if record is None:
            self.breaks(
                1, submission, f"sent to {endpoint.shape.name} without having been taken, or long after"
            )
            return None
        if record.answer and now > record.answered + self.slack:
            self.breaks(1, submission, f"sent to {endpoint.shape.name} after it was {record.answer}")
        launch = Launched(endpoint.shape.name, endpoint.shape.cell, endpoint.shape.zone, now)
        self.judge_repeat(record, launch)
        record.launches.append(launch)
        return launch

    def judge_repeat(self, record: Record, launch: Launched) -> None:
        w, earlier = record.workload, [old for old in record.launches if old.ran]
        if not self.copies and any(old.out for old in record.launches):
            self.breaks(2, record.submission, "two launches out together where copies are forbidden")
        if not earlier or w.repeat is t.RepeatPolicy.IDEMPOTENT:
            return
        first = earlier[0]
        if w.repeat is t.RepeatPolicy.UNREPEATABLE:
            self.breaks(
                2, record.submission, f"launched at {launch.endpoint}, may have run at {first.endpoint}"
            )
        elif launch.at > first.at + w.window + self.grace:
            self.breaks(2, record.submission, "launched again after its window")
        elif not self.same_group(w, first.cell, first.zone, launch.cell, launch.zone):
            self.breaks(
                2, record.submission, f"launched at {launch.endpoint}, outside the group of {first.endpoint}"
            )

    def same_group(self, w: t.Workload, cell: int, zone: str, other_cell: int, other_zone: str) -> bool:
        if w.group is t.DeduplicationScope.ALL:
            return True
        return zone == other_zone if w.group is t.DeduplicationScope.ZONE else cell == other_cell

    def accepted(self, endpoint: Any, job: Any, ran: bool) -> None:
        """The endpoint took it: from now on it has run or may run."""
        record = self.records.get(job.submission)
        if record is None:
            return
        for launch in reversed(record.launches):
            if launch.endpoint == endpoint.shape.name and not launch.ran:
                launch.ran = True
                break
        if record.answer == Outcome.REJECTED:
            self.judge_denial(record)
        if ran:
            self.ran(endpoint, job)

    def ran(self, endpoint: Any, job: Any) -> None:
        """Its effect has come about, unless a repeat was dropped (whose work is nothing)."""
        if job.key and job.work > 0 and endpoint.shape.tier == 0:
            self.doubled += job.key in self.effects
            self.effects[job.key] = self.now

    def remembered(self, endpoint: Any, key: str, now: int) -> bool:
        return self.memory.get((self.memory_group(endpoint), key), -1) > now

    def remember(self, endpoint: Any, key: str, until: int) -> None:
        self.memory[(self.memory_group(endpoint), key)] = until

    def memory_group(self, endpoint: Any) -> str:
        groups = {w.group for w in self.workloads.values() if w.repeat is t.RepeatPolicy.DEDUPLICATED}
        if t.DeduplicationScope.CELL in groups:
            return f"{endpoint.shape.tier}/{endpoint.shape.zone}/{endpoint.shape.cell}"
        return (
            f"{endpoint.shape.tier}/{endpoint.shape.zone}"
            if t.DeduplicationScope.ZONE in groups
            else f"{endpoint.shape.tier}"
        )

    # The list, and cold endpoints.

    def heard(self, now: int, sidecar: str, endpoint: str, leaving: bool) -> None:
        """What discovery has just told a sidecar."""
        if leaving:
            self.told.setdefault((sidecar, endpoint), now)
        else:
            self.told.pop((sidecar, endpoint), None)

    def restarted(self, sidecar: str) -> None:
        for key in [key for key in self.told if key[0] == sidecar]:
            del self.told[key]

    def judge_drain(self, now: int, submission: str, endpoint: str, sidecar: str) -> None:
        told = self.told.get((sidecar, endpoint))
        if told is not None and now > told + self.drain_grace:
            late = (now - told) / SECOND
            self.breaks(
                3, submission, f"{sidecar} sent to {endpoint} {late:.2f} s after hearing that it leaves"
            )

    def fell(self, endpoint: Any, informed: float) -> None:
        self.fallen.append(endpoint.shape.name)
        if informed >= 2 / 3:
            self.breaks(4, endpoint.shape.name, "pushed over while cold")

    def sweep(self, now: int) -> None:
        """Forgets what can matter no longer, so that a day's length doesn't show in memory."""
        old = [name for name, record in self.records.items() if record.due + KEPT < now]
        for name in old:
            del self.records[name]
        for key in [key for key, until in self.memory.items() if until < now]:
            del self.memory[key]
        for key in [key for key, at in self.effects.items() if at + KEPT < now]:
            del self.effects[key]
