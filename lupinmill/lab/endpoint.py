"""A simulated endpoint: processor sharing among the requests in its slots, a queue before them, and injected
faults. Time comes from a Timeline and randomness from the generator that it is given. It keeps its jobs until
they are answered, cancelled or lost."""

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

WARM_UP_INTERVAL = 100_000  # microseconds between two updates of a cold endpoint's capacity
JAM_CHECK_INTERVAL = 200_000  # microseconds
COMPLETION_TOLERANCE = 1e-9  # seconds of work
OVERLOAD_SLACK = 1.1  # allows for random excess over the multiple


@dataclass(slots=True, frozen=True)
class EndpointSpec:
    """Parameters of one machine. Times in seconds; capacities in seconds of work per second."""

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
    """One attempt at the endpoint. `reply` is called once when it ends, unless the endpoint stops
    answering."""

    request_id: str
    key: str
    workload: str
    work: float  # seconds on a core of speed 1, without the work of calls
    due: int
    reply: Callable[[t.Outcome, t.LoadReport | None], None]
    calls: int = 0
    parts: list[float] = field(default_factory=list)  # remaining work, split by the calls in between
    state: str = "new"  # waiting, running, calling, over
    end: float = 0.0  # value of `Endpoint.virtual_work` at which the current part is complete
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
        # Makes a call to the next tier.
        self.make_call: Callable[[Job, Callable[[bool], None]], Any] | None = None
        self.cancel_call: Callable[[Any], None] = lambda call: None
        self.waiting: deque[Job] = deque()
        self.held: dict[Job, None] = {}  # jobs in slots
        self.running: list[tuple[float, int, Job]] = []
        self.cancelled: set[Job] = set()  # still in `running`, but cancelled
        self.serial, self.alive, self.draining, self.silent, self.collapsed = 0, True, False, False, False
        self.epoch = 0  # incremented by each crash; callbacks of an earlier epoch are ignored
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
        self.jammed, self.idle_since, self.jam_ends, self.jam_last_busy = False, 0, 0, 0.0
        self.jam_held: deque[int] = deque(maxlen=20)
        self.was_jammed = False
        # Work for connections and probes, and work for requests, since the start of the run.
        self.overhead_work, self.total_work = 0.0, 0.0
        self.start_timers(random_source.uniform(0, spec.report_s))

    def start_timers(self, first_report: float) -> None:
        """Schedules the periodic events of this epoch."""
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

    # Capacity.

    def warmth(self) -> float:
        """Returns the share of the full capacity: it grows linearly with time, or faster with work done if
        `warm_by_work`."""
        spec = self.spec
        if not self.started or spec.cold_s <= 0:
            return 1.0
        progress = (self.timeline.now - self.started) / SECOND / spec.cold_s
        if spec.warm_by_work:
            progress = max(progress, self.worked / (0.5 * spec.cold_s * spec.cores * spec.speed))
        return spec.cold_from + (1 - spec.cold_from) * min(1.0, progress)

    def cold(self) -> bool:
        return self.warmth() < 1.0

    def efficiency(self) -> float:
        spec = self.spec
        if not spec.crowding:
            return 1.0
        excess = (len(self.held) + len(self.waiting)) / spec.cores / spec.crowding_at - 1
        return 1 / (1 + spec.crowding * max(0.0, excess))

    def capacity(self) -> float:
        """Returns seconds of work per second, of all cores together."""
        if self.paused or self.hanging or self.collapsed or not self.alive:
            return 0.0
        factor = self.warmth() * (1 - self.stolen_share) * self.efficiency()
        for slower in self.slowdowns.values():
            factor /= slower
        return self.spec.cores * self.spec.speed * factor

    def advance(self) -> None:
        """Accounts for the work done since the last call, at the rate since then."""
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
        """Recomputes the rate after a change, and schedules the next completion."""
        while self.running and self.running[0][2] in self.cancelled:
            self.cancelled.discard(heappop(self.running)[2])
        if self.virtual_work > 1e6:  # keeps floating-point errors small over long runs
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
        """The last byte of a request has arrived. `informed`: its sidecar knows of this epoch of the
        endpoint."""
        if self.silent or not self.alive:
            return  # nothing answers
        self.add_load(job.work, informed)
        if self.collapsed:
            return job.reply(t.Outcome.REFUSED, None)
        spec = self.spec
        if self.draining or len(self.held) >= spec.slots and len(self.waiting) >= spec.queue:
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
                job.work = 0.0  # a repeat is answered from the stored result
                job.calls = 0
            else:
                self.rule_checker.remember_key(self, job.key, now + window)
        share = job.work / (job.calls + 1)
        job.parts = [share] * (job.calls + 1)
        if len(self.held) < spec.slots:
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
        """A call to the next tier has ended; the slot was occupied meanwhile."""
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
        spec = self.spec
        if spec.error_rate and self.random_source.random() < spec.error_rate:
            job.reply(t.Outcome.ERROR, self.report())
        elif self.spoiling and self.random_source.random() < self.spoiling:
            job.reply(t.Outcome.SPOILT, None)
        else:
            job.reply(t.Outcome.HANDLED, self.report())

    def release_slot(self, job: Job) -> None:
        """Frees the slot of a job and starts the next one from the queue."""
        job.state = "over"
        self.held.pop(job, None)
        while self.waiting and len(self.held) < self.spec.slots and not self.hanging:
            next_job = self.waiting.popleft()
            if self.spec.drops_expired and next_job.due <= self.timeline.now:
                next_job.state = "over"
                next_job.reply(t.Outcome.REFUSED, self.report())
            else:
                self.start(next_job)

    def cancel(self, job: Job) -> None:
        """The sender no longer waits; what that stops depends on the kind of machine."""
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
        spec, now = self.spec, self.timeline.now
        noise = 1 + spec.report_noise * self.random_source.standard_normal()
        busy = min(1.0, (self.busy_time - self.reported_busy) / spec.report_s)
        rate = (self.handled - self.reported_handled) / spec.report_s
        self.reported_busy, self.reported_handled = self.busy_time, self.handled
        held = len(self.held) + len(self.waiting)
        figures = {
            "queued": float(max(0, round(len(self.waiting) * noise))),
            "held": float(max(0, round(held * noise))),
            "busy": min(1.0, max(0.0, busy * noise)),
            "service": max(0.0, self.service * noise) * 1e6,
            "rate": max(0.0, rate * noise),
        }
        self.reports.append((now, t.LoadReport(**{name: figures[name] for name in spec.report_fields})))
        while len(self.reports) > 64:
            self.reports.popleft()
        self.timeline.after(spec.report_s * SECOND, self.refresh_report, epoch)

    def report(self) -> t.LoadReport | None:
        """Returns the load report to attach to an answer."""
        return self.latest() if self.spec.report_how == "answers" else None

    def latest(self) -> t.LoadReport | None:
        before = self.timeline.now - int((self.spec.report_delay_s + self.report_late) * SECOND)
        while len(self.reports) > 1 and self.reports[1][0] <= before:
            self.reports.popleft()
        return self.reports[0][1] if self.reports and self.reports[0][0] <= before else None

    def probe(self) -> tuple[t.Outcome, t.LoadReport | None] | None:
        """Answers a probe, bypassing the queue; None if the endpoint does not answer."""
        if self.silent or not self.alive or self.paused:
            return None
        self.add_load(self.spec.probe_work, True)
        self.add_overhead(self.spec.probe_work)
        if self.draining or self.collapsed:
            return t.Outcome.REFUSED, None
        return t.Outcome.HANDLED, None if self.spec.report_how == "none" else self.latest()

    def add_overhead(self, work: float) -> None:
        """Adds work that is not for requests; it delays all running jobs equally."""
        self.overhead_work += work
        active = len(self.running) - len(self.cancelled)
        if active and work:
            self.advance()
            self.virtual_work -= work / active
            self.reschedule()

    # Connections.

    def connect(self) -> bool:
        """Returns whether the connection is accepted."""
        if self.connections >= self.spec.most_connections:
            return False
        self.connections += 1
        self.add_overhead(self.spec.connect_work)
        return True

    def disconnect(self, epoch: int) -> None:
        if epoch == self.epoch:
            self.connections -= 1

    # Overload while cold.

    def add_load(self, work: float, informed: bool) -> None:
        """Counts work sent to a cold endpoint, which collapses if it is too much within the time span."""
        multiple, span = self.rule_checker.overload_limit
        if not self.started or not multiple or not self.cold():
            return
        now = self.timeline.now
        self.recent_load.append((now, work, informed))
        self.load_sum += work
        while self.recent_load and self.recent_load[0][0] <= now - span:
            self.load_sum -= self.recent_load.popleft()[1]
        capacity = self.spec.cores * self.spec.speed * self.warmth() * span / SECOND
        if self.load_sum > multiple * capacity * OVERLOAD_SLACK + 3 * work and not self.collapsed:
            self.collapsed = True
            informed_load = sum(amount for _, amount, from_informed in self.recent_load if from_informed)
            self.rule_checker.endpoint_collapsed(self, informed_load / max(1e-9, self.load_sum))
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
        """Starts a jam when too many requests are held for a while, and ends it when the endpoint was mostly
        idle or the maximum duration has passed."""
        if epoch != self.epoch:
            return
        at, over, slower, rest, below, most = self.spec.jam or (0, 0, 1, 0, 0, 0)
        self.advance()
        now, held = self.timeline.now, len(self.held) + len(self.waiting)
        busy, self.jam_last_busy = (
            (self.busy_time - self.jam_last_busy) / (JAM_CHECK_INTERVAL / SECOND),
            self.busy_time,
        )
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

    def set_slowdown(self, reason: str, slower: float) -> None:
        self.advance()
        if slower <= 1:
            self.slowdowns.pop(reason, None)
        else:
            self.slowdowns[reason] = slower
        self.reschedule()

    def set_stolen_share(self, part: float) -> None:
        """Another process on the same machine takes this share of its cores."""
        self.advance()
        self.stolen_share = part
        self.reschedule()

    def pause(self, span: float, every: float, ends: int | None, epoch: int) -> None:
        """Pauses for `span` seconds, and again at random intervals of mean `every`, until `ends` (None:
        forever)."""
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
        """The process dies and its jobs are lost. If `silently`, no resets are sent."""
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
                self.cancel_call(job.call)  # its sidecar dies with it
            if not silently:
                job.reply(t.Outcome.RESET, None)

    def restart(self) -> None:
        """Starts a new process; it is cold."""
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
