"""Admission control for overload of the program's own CPU core: which requests are taken up, and when. Pure:
the time comes with each call, randomness from the seed. The control law and its stability are described in
docs/design/limits.md.

Owns the queues of requests that wait for admission, and the window of those inside the program. The decision
module decides about requests that are taken up; those denied here never reach it, and no attempt was
made."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from lupinmill import terms as t
from lupinmill.workings import BucketedSum, RandomSource

MS, SECOND = 1_000, 1_000_000
TARGET_LATENESS = 7 * MS  # of the event loop, through which each request passes about five times
# Loop lateness above which the window applies, and below which it may end.
ENTER_LATENESS, LEAVE_LATENESS = 16 * MS, 4 * MS
CALM_TIME = 1 * SECOND  # without a request held or denied, before the window ends
ADJUST_INTERVAL = 50 * MS  # between two changes of the window: the last one has taken effect by then
MAX_DECREASE, MAX_INCREASE = 0.5, 0.06  # per change, as parts of the window
MIN_WINDOW = 4  # requests
# The window grows at most to one and a half times the requests inside plus this.
WINDOW_HEADROOM = 8
# Bounds of the part of the contract time that may be spent in a queue.
MAX_WAIT_SHARE = 0.5
MIN_WAIT_SHARE = 0.15
PEAK_RATE_SHARE = 0.7  # part of the recent peak rate that is expected whatever the last half second showed
MIN_RATE_SHARE = 0.1  # part of the expected rate that is assumed for a queue whatever goes before it
BUCKETS, BUCKET_WIDTH = 10, 50 * MS
REPEAT_FACTOR = 0.7  # on the priority of a client's repeat, as in the decision module
MAX_EXPIRED_SHARE = 0.1  # of the requests that leave a queue; above it the queue's maximum wait shrinks
HEARTBEAT = 10 * MS  # between two measurements of the lateness
PEAK_RATE_DECAY = 0.9995  # per heartbeat: a half-life of about a quarter of a minute
MAX_HELD = 4_000  # requests in all queues together


class Verdict(Enum):
    """What became of a request at the gate."""

    TAKEN = "taken"
    HELD = "held"
    DENIED = "denied"


@dataclass(slots=True)
class AdmissionRequest:
    """A request as known from its head. `time_left` is how long its client will still wait; `token` and
    `client` belong to the caller."""

    workload: str
    time_left: int
    repeated: bool = False
    tenant: str = ""
    token: Any = None
    client: Any = None
    queued_at: int = 0
    queue: AdmissionQueue | None = None
    cancelled: bool = False


@dataclass(slots=True)
class AdmissionQueue:
    """Requests of one priority, oldest first: each was admitted because its turn would come in time, and this
    order keeps to that estimate; newest first would break it for all behind."""

    priority: float
    contract: int
    waiting: deque[AdmissionRequest] = field(default_factory=deque)
    length: int = 0  # without cancelled requests
    # To the window or to this queue.
    admitted: BucketedSum = field(default_factory=lambda: BucketedSum(BUCKETS, BUCKET_WIDTH))
    departed: BucketedSum = field(default_factory=lambda: BucketedSum(BUCKETS, BUCKET_WIDTH))
    expired: BucketedSum = field(default_factory=lambda: BucketedSum(BUCKETS, BUCKET_WIDTH))
    max_wait_share: float = MAX_WAIT_SHARE


def priority(workload: t.Workload, repeated: bool) -> float:
    return workload.value * (REPEAT_FACTOR if repeated else 1.0)


class AdmissionGate:
    """Limits the requests inside the program by the lateness of its event loop, lowest priority last."""

    def __init__(self, deployment: t.Deployment) -> None:
        self.workloads = {workload.name: workload for workload in deployment.workloads}
        self.is_front = deployment.tier == 0
        self.longest_advice = deployment.longest_advice if deployment.advice_allowed else 0
        self.random_source = RandomSource(deployment.seed ^ 0x6A7E)
        self.queues: dict[tuple[str, bool], AdmissionQueue] = {}
        self.queues_by_priority: list[AdmissionQueue] = []  # the highest first
        self.inside, self.held = 0, 0
        self.active, self.window = False, 0.0
        # `last_pressure_at`: when a request last had to wait, was denied or expired.
        self.lateness, self.smoothed_lateness, self.adjusted_at, self.last_pressure_at = 0, 0.0, 0, 0
        self.finished_requests = BucketedSum(BUCKETS, BUCKET_WIDTH)
        # The most requests finished per second recently; the part of the time that denials take.
        self.peak_rate, self.denying_share = 0.0, 0.0
        self.log: list[str] = []  # changes of mode, to be collected by the driver
        self.verdict_counts = {verdict: 0 for verdict in Verdict}

    def deploy(self, deployment: t.Deployment) -> None:
        """Replaces the workloads from now on. Waiting requests of one that is gone keep their place; the
        decision module decides about them."""
        self.workloads = {workload.name: workload for workload in deployment.workloads}
        self.longest_advice = deployment.longest_advice if deployment.advice_allowed else 0
        # Bounds memory where workload names come and go.
        self.queues = {
            key: queue for key, queue in self.queues.items() if queue.waiting or key[0] in self.workloads
        }
        for (name, repeated), queue in self.queues.items():
            if (workload := self.workloads.get(name)) is not None:
                queue.priority, queue.contract = priority(workload, repeated), workload.contract
        self.queues_by_priority = sorted(self.queues.values(), key=lambda queue: -queue.priority)

    # Events.

    def admit(self, now: int, request: AdmissionRequest) -> Verdict:
        """Takes the request up at once while the core is not overloaded, or while the window has room and no
        request of at least its priority waits; holds it where its turn will come in time; denies it
        otherwise."""
        if not self.active:
            return self.take(request)
        queue = self.queue_of(request)
        if self.inside < self.window and not self.count_ahead(queue, True):
            queue.admitted.add(now)
            return self.take(request)
        self.last_pressure_at = now
        if not self.is_in_time(now, queue, request):
            self.verdict_counts[Verdict.DENIED] += 1
            return Verdict.DENIED
        queue.admitted.add(now)
        request.queued_at, request.queue = now, queue
        queue.waiting.append(request)
        queue.length += 1
        self.held += 1
        self.verdict_counts[Verdict.HELD] += 1
        return Verdict.HELD

    def take(self, request: AdmissionRequest) -> Verdict:
        self.inside += 1
        self.verdict_counts[Verdict.TAKEN] += 1
        return Verdict.TAKEN

    def entered(self) -> None:
        """Counts a request that was taken up without `admit`."""
        self.inside += 1

    def finished(self, now: int) -> None:
        """Called when a request inside is answered, or its client has gone."""
        self.inside -= 1
        self.finished_requests.add(now)

    def forget(self, request: AdmissionRequest) -> None:
        """Called when the client has gone while its request waited."""
        if not request.cancelled and request.queue is not None:
            request.cancelled = True
            request.queue.length -= 1
            self.held -= 1

    def release(self, now: int) -> list[tuple[AdmissionRequest, Verdict]]:
        """Returns the requests whose turn it is, the highest priority first, and those of every queue that
        can no longer be answered in time: a full queue must not keep those behind it waiting past their
        time."""
        found: list[tuple[AdmissionRequest, Verdict]] = []
        for queue in self.queues_by_priority:
            while queue.waiting:
                request = queue.waiting[0]
                if request.cancelled:
                    queue.waiting.popleft()
                    continue
                expired = now - request.queued_at > min(request.time_left // 2, queue.contract * 2 // 3)
                if not expired and self.active and self.inside >= self.window:
                    break
                queue.waiting.popleft()
                self.forget(request)
                queue.departed.add(now)
                if expired:
                    queue.expired.add(now)
                    self.last_pressure_at = now
                    self.verdict_counts[Verdict.DENIED] += 1
                else:
                    self.take(request)
                found.append((request, Verdict.DENIED if expired else Verdict.TAKEN))
        return found

    def record_lateness(self, now: int, lateness: int, denying: int = 0, without_attempt: int = 0) -> None:
        """Adjusts the window. Takes the loop's lateness at this heartbeat, and the time spent on denials
        since the last one, in microseconds; called about a hundred times per second while any request is
        inside. `without_attempt` is the number of requests inside that no attempt was made for."""
        self.denying_share += (denying / (HEARTBEAT + lateness) - self.denying_share) * 0.1
        self.peak_rate = max(
            self.peak_rate * PEAK_RATE_DECAY,
            self.finished_requests.total(now) * SECOND / (BUCKETS * BUCKET_WIDTH),
        )
        self.lateness = lateness
        self.smoothed_lateness += (lateness - self.smoothed_lateness) * (
            0.5 if lateness > self.smoothed_lateness else 0.2
        )
        if not self.active:
            if self.smoothed_lateness > ENTER_LATENESS:
                self.activate(now)
            return
        if now - self.adjusted_at < ADJUST_INTERVAL:
            return
        self.adjusted_at = now
        # A smaller window would not reduce lateness that is due to denials, only the number of requests
        # handled.
        own_lateness = self.smoothed_lateness * (1 - min(0.9, self.denying_share))
        excess = (own_lateness - TARGET_LATENESS) / (4 * TARGET_LATENESS)
        if excess > 0:
            self.window = max(MIN_WINDOW, self.window * (1 - MAX_DECREASE * min(1.0, excess)))
        elif without_attempt > max(MIN_WINDOW, self.inside // 4):
            # Requests held by the decision module wait in no queue of this gate: higher priorities can't
            # overtake them.
            self.window = max(MIN_WINDOW, min(self.window, self.inside) * 0.95)
        else:
            room = self.inside + self.inside // 2 + WINDOW_HEADROOM
            self.window = min(
                max(self.window, MIN_WINDOW) * (1 + MAX_INCREASE) + 1, max(room, self.window * 0.95)
            )
        for queue in self.queues_by_priority:
            departed = queue.departed.total(now)
            if departed >= 10:
                too_many_expired = queue.expired.total(now) > MAX_EXPIRED_SHARE * departed
                changed = queue.max_wait_share * (0.8 if too_many_expired else 1.02)
                queue.max_wait_share = min(MAX_WAIT_SHARE, max(MIN_WAIT_SHARE, changed))
        if (
            now - self.last_pressure_at > CALM_TIME
            and not self.held
            and self.smoothed_lateness < LEAVE_LATENESS
        ):
            self.active = False
            self.log.append(
                f"own core no longer short: late {self.smoothed_lateness / MS:.1f} ms, {self.inside} inside"
            )

    def activate(self, now: int) -> None:
        self.active, self.adjusted_at, self.last_pressure_at = True, now, now
        self.window = max(
            MIN_WINDOW, self.inside * min(1.0, 2 * TARGET_LATENESS / max(1.0, self.smoothed_lateness))
        )
        self.log.append(
            f"own core short: late {self.smoothed_lateness / MS:.1f} ms, {self.inside} inside, "
            f"window {self.window:.0f}, {self.expected_rate(now):.0f} handled/s"
        )

    # Estimates.

    def queue_of(self, request: AdmissionRequest) -> AdmissionQueue:
        key = (request.workload, request.repeated)
        if key not in self.queues:
            workload = self.workloads[request.workload]
            queue = AdmissionQueue(priority(workload, request.repeated), workload.contract)
            self.queues[key] = queue
            self.queues_by_priority = sorted(self.queues.values(), key=lambda queue: -queue.priority)
        return self.queues[key]

    def count_ahead(self, queue: AdmissionQueue, include_own: bool) -> int:
        """Counts the waiting requests that go first."""
        ahead = 0
        for other in self.queues_by_priority:
            if other is queue:
                break
            ahead += other.length
        return ahead + (queue.length if include_own else 0)

    def expected_rate(self, now: int) -> float:
        """Requests per second that can be expected to finish: the rate of the last half second without the
        time for denials, but at least most of the recent peak. Guards against a spiral: a core that is busy
        with denials finishes few requests, and by that rate alone it would deny even more. Where the
        estimate is too high, the maximum wait shrinks."""
        rate = (
            self.finished_requests.total(now)
            * SECOND
            / (BUCKETS * BUCKET_WIDTH)
            / (1 - min(0.9, self.denying_share))
        )
        return max(1.0, PEAK_RATE_SHARE * self.peak_rate, min(self.peak_rate, rate))

    def is_in_time(self, now: int, queue: AdmissionQueue, request: AdmissionRequest) -> bool:
        """Whether its turn will come soon enough. Requests of higher priority keep arriving meanwhile, so a
        queue moves only at the rate that they leave over."""
        if self.held >= MAX_HELD:
            return False
        rate = self.expected_rate(now)
        preferred = 0.0
        for other in self.queues_by_priority:
            if other is queue:
                break
            preferred += other.admitted.total(now) * SECOND / (BUCKETS * BUCKET_WIDTH)
        service_rate = max(MIN_RATE_SHARE * rate, rate - preferred)
        wait = (self.count_ahead(queue, True) + 1) / service_rate * SECOND
        return wait <= min(queue.max_wait_share * queue.contract, request.time_left // 3)

    def retry_advice(self) -> int:
        """Microseconds after which a denied client should retry: spread, so that they don't return all at
        once."""
        return (
            self.longest_advice // 4 + self.random_source.upto(self.longest_advice * 3 // 4)
            if self.longest_advice
            else 0
        )
