"""One simulated endpoint: cores shared among the requests in its slots, a queue before them, and what can go
wrong. Pure: time comes from a Timeline, chance from the Generator that it is given. Owns its jobs until they
are answered, called off or lost."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from math import sqrt
from typing import Any

import numpy as np

from lupinmill import terms as t
from lupinmill.lab.timeline import SECOND, ScheduledEvent, Timeline

WARM_UP_INTERVAL = 100_000  # microseconds between two looks at a cold endpoint's capacity
JAM_CHECK_INTERVAL = 200_000
COMPLETION_TOLERANCE = 1e-9
OVERLOAD_SLACK = 1.1  # chance alone may bring so much more than the multiple


@dataclass(slots=True, frozen=True)
class EndpointSpec:
    """One machine's figures, drawn. Times in seconds; capacities in seconds of work a second."""

    name: str
    tier: int
    zone: str = ""
    kind: str = ""
    cell: int = 0
    cores: int = 1
    speed: float = 1.0
    slots: int = 4
    queue: int = 20
    crowding: float = 0.0
    crowding_at: float = 10.0
    cold_from: float = 1.0
    cold_s: float = 0.0
    warm_by_work: bool = False
    pause_every_s: float = 10.0
    pause_s: float = 0.0
    error_rate: float = 0.0
    cancel: str = "all"
    drops_expired: bool = False
    work: float = 1.0
    report_fields: tuple[str, ...] = ()
    report_how: str = "none"
    report_s: float = 0.2
    report_delay_s: float = 0.0
    report_noise: float = 0.0
    connect_work: float = 0.0
    round_trips: float = 1.0
    connect_limit_s: float = 0.2
    idle_s: float = 30.0
    most_connections: int = 1000
    probe_work: float = 0.0
    jam: tuple[float, float, float, float, float, float] | None = None  # at, over, slower, rest, below, most


@dataclass(slots=True, eq=False)
class Job:
    """One launch as the endpoint holds it. `reply` hears of its end once, unless it is lost in silence."""

    request_id: str
    key: str
    workload: str
    work: float  # seconds on a yardstick core, all of it that this endpoint does
    due: int
    reply: Callable[[t.Outcome, t.LoadReport | None], None]
    calls: int = 0
    parts: list[float] = field(default_factory=list)  # still to do, between the calls
    state: str = "new"  # waiting, running, calling, over
    end: float = 0.0  # on the cores' own scale of work done a request
    call: Any = None


class Endpoint:
    def __init__(
        self,
        spec: EndpointSpec,
        timeline: Timeline,
        random_source: np.random.Generator,
        rule_checker: Any,
        started: int = 0,
    ) -> None:
        self.spec, self.timeline, self.random_source, self.rule_checker = (
            spec,
            timeline,
            random_source,
            rule_checker,
        )
        self.make_call: Callable[[Job, Callable[[bool], None]], Any] | None = (
            None  # makes a call of the next tier
        )
        self.cancel_call: Callable[[Any], None] = lambda call: None
        self.waiting: deque[Job] = deque()
        self.held: dict[Job, None] = {}  # those in slots
        self.running: list[tuple[float, int, Job]] = []
        self.cancelled: set[Job] = set()  # in `running` still, but called off
        self.serial, self.alive, self.draining, self.silent, self.collapsed = 0, True, False, False, False
        self.epoch = 0  # counts lives: what a past life had is not this one's
        self.started, self.worked = started, 0.0
        self.slowdowns: dict[str, float] = {}
        self.stolen_share, self.paused, self.hanging, self.failing, self.spoiling, self.resetting = (
            0.0,
            0,
            0,
            0.0,
            0.0,
            0.0,
        )
        self.virtual_work, self.last, self.rate = 0.0, timeline.now, 0.0
        self.next_completion: ScheduledEvent | None = None
        self.connections = 0
        self.recent_load: deque[tuple[int, float, bool]] = deque()
        self.load_sum = 0.0
        self.busy_time, self.service, self.handled = 0.0, 0.0, 0
        self.reports: deque[tuple[int, t.LoadReport]] = deque()
        self.report_late, self.reported_busy, self.reported_handled = 0.0, 0.0, 0
        self.jammed, self.idle_since, self.jam_ends, self.jam_busy = False, 0, 0, 0.0
        self.jam_held: deque[int] = deque(maxlen=20)
        self.was_jammed = False
        self.overhead_work, self.total_work = 0.0, 0.0  # beside requests; all work over all lives
        self.start_timers(random_source.uniform(0, spec.report_s))

    def start_timers(self, first_report: float) -> None:
        """What goes on by itself for as long as this life lasts."""
        spec, timeline, epoch = self.spec, self.timeline, self.epoch
        if spec.report_how != "none":
            timeline.after(first_report * SECOND, self.refresh_report, epoch)
        if spec.jam:
            timeline.after(JAM_CHECK_INTERVAL, self.check_jam, epoch)
        if spec.pause_s:
            every = spec.pause_every_s
            timeline.after(
                self.random_source.exponential(every) * SECOND, self.pause, spec.pause_s, every, None, epoch
            )
        if self.cold():
            timeline.after(WARM_UP_INTERVAL, self.warm_up, epoch)

    # What it can do at the moment.

    def warmth(self) -> float:
        """Part of the full capacity; grows evenly with time, or sooner with work done."""
        s = self.spec
        if not self.started or s.cold_s <= 0:
            return 1.0
        grown = (self.timeline.now - self.started) / SECOND / s.cold_s
        if s.warm_by_work:
            grown = max(grown, self.worked / (0.5 * s.cold_s * s.cores * s.speed))
        return s.cold_from + (1 - s.cold_from) * min(1.0, grown)

    def cold(self) -> bool:
        return self.warmth() < 1.0

    def efficiency(self) -> float:
        s = self.spec
        if not s.crowding:
            return 1.0
        beyond = (len(self.held) + len(self.waiting)) / s.cores / s.crowding_at - 1
        return 1 / (1 + s.crowding * max(0.0, beyond))

    def capacity(self) -> float:
        """Seconds of work a second, of all cores together."""
        if self.paused or self.hanging or self.collapsed or not self.alive:
            return 0.0
        factor = self.warmth() * (1 - self.stolen_share) * self.efficiency()
        for slower in self.slowdowns.values():
            factor /= slower
        return self.spec.cores * self.spec.speed * factor

    def advance(self) -> None:
        """Work done since the last look, at the rate that held since then."""
        now = self.timeline.now
        span = (now - self.last) / SECOND
        if span > 0:
            active = len(self.running) - len(self.cancelled)
            if active and self.rate > 0:
                self.virtual_work += span * self.rate
                self.worked += span * self.rate * active
                self.total_work += span * self.rate * active
            if active:
                self.busy_time += span * min(1.0, active / self.spec.cores)
            self.last = now

    def reschedule(self) -> None:
        """After any change: the rate anew, and when the next job ends."""
        while self.running and self.running[0][2] in self.cancelled:
            self.cancelled.discard(heappop(self.running)[2])
        if self.virtual_work > 1e6:  # keeps the scale's figures exact over long runs
            for at, (end, serial, job) in enumerate(self.running):
                job.end = end - self.virtual_work
                self.running[at] = (job.end, serial, job)
            heapify(self.running)
            self.virtual_work = 0.0
        active = len(self.running) - len(self.cancelled)
        self.rate = self.capacity() / max(self.spec.cores, active) if active else 0.0
        if self.next_completion is not None:
            self.next_completion.cancel()
            self.next_completion = None
        if self.running and self.rate > 0:
            span = max(0.0, self.running[0][0] - self.virtual_work) / self.rate
            self.next_completion = self.timeline.after(min(span, 3600.0) * SECOND + 1, self.complete_parts)

    # Requests.

    def receive(self, job: Job, informed: bool = True) -> None:
        """The last byte of a launch has come."""
        if self.silent or not self.alive:
            return  # nothing answers
        self.add_load(job.work, informed)
        if self.collapsed:
            return job.reply(t.Outcome.REFUSED, None)
        s = self.spec
        if self.draining or len(self.held) >= s.slots and len(self.waiting) >= s.queue:
            return job.reply(t.Outcome.REFUSED, self.report())
        if self.resetting and self.random_source.random() < self.resetting:
            self.rule_checker.accepted(self, job, True)
            return job.reply(t.Outcome.RESET, None)
        if self.failing and self.random_source.random() < self.failing:
            self.rule_checker.accepted(self, job, True)
            return job.reply(t.Outcome.ERROR, self.report())
        self.rule_checker.accepted(self, job, False)
        now, window = self.timeline.now, self.rule_checker.window(job.workload)
        if window and job.key:
            seen = self.rule_checker.is_duplicate(self, job.key, now)
            if seen:
                job.work = 0.0  # a repeat is answered from what is kept
                job.calls = 0
            else:
                self.rule_checker.remember_key(self, job.key, now + window)
        share = job.work / (job.calls + 1)
        job.parts = [share] * (job.calls + 1)
        if len(self.held) < s.slots:
            self.start(job)
        else:
            job.state = "waiting"
            self.waiting.append(job)

    def start(self, job: Job) -> None:
        self.advance()
        self.held[job] = None
        self.start_part(job)
        self.reschedule()

    def start_part(self, job: Job) -> None:
        job.state = "running"
        job.end = self.virtual_work + job.parts.pop(0)
        self.serial += 1
        heappush(self.running, (job.end, self.serial, job))

    def complete_parts(self) -> None:
        self.next_completion = None
        self.advance()
        ended = []
        while self.running and (
            self.running[0][0] <= self.virtual_work + COMPLETION_TOLERANCE
            or self.running[0][2] in self.cancelled
        ):
            job = heappop(self.running)[2]
            if job in self.cancelled:
                self.cancelled.discard(job)
            else:
                ended.append(job)
        for job in ended:
            if job.parts and self.make_call is not None:
                job.state = "calling"
                epoch = self.epoch
                job.call = self.make_call(
                    job, lambda good, job=job, epoch=epoch: self.call_ended(job, epoch, good)
                )
            else:
                self.finish(job)
        self.reschedule()

    def call_ended(self, job: Job, epoch: int, good: bool) -> None:
        """A call of the next tier has ended; the slot was held meanwhile."""
        if epoch != self.epoch or job.state != "calling":
            return
        job.call = None
        if not good:
            self.release_slot(job)
            return job.reply(t.Outcome.ERROR, self.report())
        self.advance()
        self.start_part(job)
        self.reschedule()

    def finish(self, job: Job) -> None:
        self.handled += 1
        self.service += 0.1 * (job.work / max(self.spec.speed, 1e-6) - self.service)
        self.release_slot(job)
        self.rule_checker.executed(self, job)
        s = self.spec
        if s.error_rate and self.random_source.random() < s.error_rate:
            job.reply(t.Outcome.ERROR, self.report())
        elif self.spoiling and self.random_source.random() < self.spoiling:
            job.reply(t.Outcome.SPOILT, None)
        else:
            job.reply(t.Outcome.HANDLED, self.report())

    def release_slot(self, job: Job) -> None:
        """The slot, in the one place; the next in the queue gets it."""
        job.state = "over"
        self.held.pop(job, None)
        while self.waiting and len(self.held) < self.spec.slots and not self.hanging:
            following = self.waiting.popleft()
            if self.spec.drops_expired and following.due <= self.timeline.now:
                following.state = "over"
                following.reply(t.Outcome.REFUSED, self.report())
            else:
                self.start(following)

    def cancel(self, job: Job) -> None:
        """Whoever asked has gone away; what that stops depends on the kind."""
        if job.state == "over" or not self.alive or self.silent or self.spec.cancel == "none":
            return
        if job.state == "waiting":
            self.waiting.remove(job)
            job.state = "over"
        elif self.spec.cancel == "all":
            self.advance()
            if job.state == "running":
                self.cancelled.add(job)
            elif job.call is not None:
                self.cancel_call(job.call)
                job.call = None
            self.release_slot(job)
            self.reschedule()

    # Load reports and probes.

    def refresh_report(self, epoch: int) -> None:
        if epoch != self.epoch:
            return
        self.advance()
        s, now = self.spec, self.timeline.now
        noise = 1 + s.report_noise * self.random_source.standard_normal()
        busy = min(1.0, (self.busy_time - self.reported_busy) / s.report_s)
        rate = (self.handled - self.reported_handled) / s.report_s
        self.reported_busy, self.reported_handled = self.busy_time, self.handled
        held = len(self.held) + len(self.waiting)
        figures = {
            "queued": float(max(0, round(len(self.waiting) * noise))),
            "held": float(max(0, round(held * noise))),
            "busy": min(1.0, max(0.0, busy * noise)),
            "service": max(0.0, self.service * noise) * 1e6,
            "rate": max(0.0, rate * noise),
        }
        self.reports.append((now, t.LoadReport(**{name: figures[name] for name in s.report_fields})))
        while len(self.reports) > 64:
            self.reports.popleft()
        self.timeline.after(s.report_s * SECOND, self.refresh_report, epoch)

    def report(self) -> t.LoadReport | None:
        """What an answer may carry."""
        return self.latest() if self.spec.report_how == "answers" else None

    def latest(self) -> t.LoadReport | None:
        before = self.timeline.now - int((self.spec.report_delay_s + self.report_late) * SECOND)
        while len(self.reports) > 1 and self.reports[1][0] <= before:
            self.reports.popleft()
        return self.reports[0][1] if self.reports and self.reports[0][0] <= before else None

    def probe(self) -> tuple[t.Outcome, t.LoadReport | None] | None:
        """A shallow one: answered beside the queue. None where nothing answers."""
        if self.silent or not self.alive or self.paused:
            return None
        self.add_load(self.spec.probe_work, True)
        self.add_overhead(self.spec.probe_work)
        if self.draining or self.collapsed:
            return t.Outcome.REFUSED, None
        return t.Outcome.HANDLED, None if self.spec.report_how == "none" else self.latest()

    def add_overhead(self, work: float) -> None:
        """Work beside requests, taken from all that run."""
        self.overhead_work += work
        active = len(self.running) - len(self.cancelled)
        if active and work:
            self.advance()
            self.virtual_work -= work / active
            self.reschedule()

    # Connections.

    def connect(self) -> bool:
        """Whether one more is accepted."""
        if self.connections >= self.spec.most_connections:
            return False
        self.connections += 1
        self.add_overhead(self.spec.connect_work)
        return True

    def disconnect(self, epoch: int) -> None:
        if epoch == self.epoch:
            self.connections -= 1

    # A cold one falls over under what is too much for it.

    def add_load(self, work: float, informed: bool) -> None:
        multiple, span = self.rule_checker.overload_limit
        if not self.started or not multiple or not self.cold():
            return
        now = self.timeline.now
        self.recent_load.append((now, work, informed))
        self.load_sum += work
        while self.recent_load and self.recent_load[0][0] <= now - span:
            self.load_sum -= self.recent_load.popleft()[1]
        able = self.spec.cores * self.spec.speed * self.warmth() * span / SECOND
        if self.load_sum > multiple * able * OVERLOAD_SLACK + 3 * work and not self.collapsed:
            self.collapsed = True
            told = sum(amount for _, amount, knew in self.recent_load if knew)
            self.rule_checker.endpoint_collapsed(self, told / max(1e-9, self.load_sum))
            self.advance()
            self.reschedule()

    def warm_up(self, epoch: int) -> None:
        if epoch != self.epoch:
            return
        self.advance()
        self.reschedule()
        if self.cold():
            self.timeline.after(WARM_UP_INTERVAL, self.warm_up, epoch)

    # Troubles.

    def check_jam(self, epoch: int) -> None:
        """More than so many held for a while: slower, and so until it has been mostly idle."""
        if epoch != self.epoch:
            return
        at, over, slower, rest, below, most = self.spec.jam or (0, 0, 1, 0, 0, 0)
        self.advance()
        now, held = self.timeline.now, len(self.held) + len(self.waiting)
        busy, self.jam_busy = (self.busy_time - self.jam_busy) / (JAM_CHECK_INTERVAL / SECOND), self.busy_time
        if self.jammed:
            self.idle_since = (self.idle_since or now) if busy < below else 0
            if now >= self.jam_ends or self.idle_since and now - self.idle_since >= rest * SECOND:
                self.jammed = False
                self.slowdowns.pop("jam", None)
                self.reschedule()
        elif not self.was_jammed:
            steps = max(1, round(over * SECOND / JAM_CHECK_INTERVAL))
            self.jam_held.append(held)
            recent = list(self.jam_held)[-steps:]
            if len(recent) == steps and sum(recent) / steps > self.jam_limit(at):
                self.jammed = self.was_jammed = True
                self.idle_since, self.jam_ends = 0, now + int(most * SECOND)
                self.slowdowns["jam"] = slower
                self.reschedule()
        self.timeline.after(JAM_CHECK_INTERVAL, self.check_jam, epoch)

    def jam_limit(self, at: float) -> float:
        cores = self.spec.cores
        return min(cores + at * sqrt(cores), 0.7 * (self.spec.slots + self.spec.queue))

    def set_slowdown(self, why: str, slower: float) -> None:
        self.advance()
        if slower <= 1:
            self.slowdowns.pop(why, None)
        else:
            self.slowdowns[why] = slower
        self.reschedule()

    def set_stolen_share(self, part: float) -> None:
        """A neighbour on the same machine takes this part of it."""
        self.advance()
        self.stolen_share = part
        self.reschedule()

    def pause(self, span: float, every: float, ends: int | None, epoch: int) -> None:
        """Stands still for `span`, and again and again until `ends` (or for good)."""
        now = self.timeline.now
        if epoch != self.epoch or ends is not None and now >= ends:
            return
        self.advance()
        self.paused += 1
        self.reschedule()
        self.timeline.after(span * SECOND, self.resume, epoch)
        gap = span + self.random_source.exponential(every)
        self.timeline.after(gap * SECOND, self.pause, span, every, ends, epoch)

    def resume(self, epoch: int) -> None:
        if epoch == self.epoch and self.paused:
            self.advance()
            self.paused -= 1
            self.reschedule()

    def hang(self, on: bool) -> None:
        self.advance()
        self.hanging = max(0, self.hanging + (1 if on else -1))
        self.reschedule()
        if not self.hanging and len(self.held) < self.spec.slots and self.waiting:
            self.start(self.waiting.popleft())

    def crash(self, silently: bool = False) -> None:
        """The process is gone; all that it held with it. Silently: nobody hears a reset."""
        self.advance()
        self.alive, self.silent = False, silently
        self.epoch += 1
        lost = list(self.held) + list(self.waiting)
        for job in lost:
            job.state = "over"
        self.running, self.cancelled, self.held, self.connections = [], set(), {}, 0
        self.waiting.clear()
        self.reschedule()
        for job in lost:
            if job.call is not None:
                self.cancel_call(job.call)  # its sidecar goes with it
            if not silently:
                job.reply(t.Outcome.RESET, None)

    def restart(self) -> None:
        """A new process, cold."""
        self.alive, self.silent, self.collapsed, self.draining = True, False, False, False
        self.started, self.worked, self.last = self.timeline.now, 0.0, self.timeline.now
        self.paused = self.hanging = 0
        self.jammed = False
        self.jam_held.clear()
        self.slowdowns.pop("jam", None)
        self.recent_load.clear()
        self.load_sum = 0.0
        self.reports.clear()
        self.start_timers(0.0)
        self.reschedule()
