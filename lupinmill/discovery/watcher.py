"""Decides when discovery is called, for what, and when a call is given up. Pure: `decide(now, ...)` gives
commands, and the driver tells what became of them.

A drain counts as told TOLD_AFTER seconds after discovery had it, and discovery may answer up to PROMISED
seconds late. So no call that may still answer is dropped for one that asks the same: a further one begins
beside it, soon enough that its own late answer would be in time. The first asks for the whole list, as only
watches may be dead; once discovery is known to be slow it is another watch. MOST_CALLS bounds what is out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lupinmill.discovery.calls import StartCall, Call, CallEnd, CallKind, Command, CancelCall, AnswerAction
from lupinmill.discovery.lateness import LatenessEstimator

# All in seconds.
PROPAGATION_LIMIT_S = (
    6.0  # after discovery had a change and could be reached, whatever failed, it counts as told
)
TOLERATED_LATENESS_S = 4.0  # lateness of answers with which that still holds
SCHEDULING_SLACK_S = 0.3  # for a loop that lags and the way
PARALLEL_CALL_INTERVAL_S = (
    PROPAGATION_LIMIT_S - TOLERATED_LATENESS_S - SCHEDULING_SLACK_S
)  # between the begins of two calls, in trouble
OVERDUE_AFTER_S = 0.6  # behind its time at which a watch of a prompt discovery is doubted
OVERDUE_JITTER_S = 0.1  # at most, later
MIN_RETRY_DELAY_S = 0.3  # at most, before a call that failed late is repeated
# For which a watch waits for news. A change may be due on a watch that came just before it, and the next
# one right behind it is then covered by no call: so the wait and what follows it are within BESIDE. Only
# fleets of over 200 wait longer; they are told of a second change up to 1.4 s later where discovery becomes
# 4 s late.
MIN_WATCH_WAIT_S, MAX_WATCH_WAIT_S = 1.0, 2.4
NO_CHANGE_DELAY_S = 0.05  # before the next call after an answer without any
MOVE_JITTER_S = 0.3  # at most, before the first call at a new address, lest all sidecars come at once
SUPERSEDED_GRACE_S = (
    TOLERATED_LATENESS_S + 0.5
)  # after it was due at which a call that was overtaken is given up
MAX_CALL_AGE_S = 60.0  # age of a call at which it is given up
DEAD_WATCH_RETEST_S = 10.0  # between two watches while watches are found to be dead

MAX_CALLS = 4  # out at a time, of all addresses
MIN_WAIT_FRACTION = (
    0.8  # least part of its wait that a watch waits: those answered together would fall due together
)
MIN_RETRY_DELAY_FRACTION = 0.6  # least part of a pause that is taken, so that sidecars do not call together
MIN_INTERVAL_FRACTION = 0.75  # least part of BESIDE that is taken
MAX_WATCHES = 3  # out at a time, of a discovery that is known to be late: they alone may be dead
LATENESS_INTERVAL_FACTOR = 0.5  # parts of a lateness beyond what is promised after which another call begins
DEAD_WATCH_LIMIT = 2  # in a row that were overtaken by whole lists, before only whole lists are asked for
# In a large fleet consecutive failures, and calls that nobody answers, are repeated after so long: discovery
# may refuse them because there are too many. Within what is told, with 2.4 and 1.7 s for the answer.
LARGE_FLEET_RETRY_S, LARGE_FLEET_REPLACE_S = 3.3, 4.0
REPLACE_LATENESS_FACTOR = (
    1.5  # parts of the expected lateness without any answer after which one call gives way to a newer
)


@dataclass(slots=True)
class WatchTiming:
    """What the settings say.

    `again` is None where the list has to be asked for, else the most seconds before a pushed list is watched
    again after a failure. `large`: whole lists for all sidecars at once are more than discovery may carry."""

    wait: float
    rewatch_within: float | None = None
    large_fleet: bool = False

    @property
    def retry_interval(self) -> float:
        """Seconds between the begins of two calls that failed."""
        return LARGE_FLEET_RETRY_S if self.large_fleet else PARALLEL_CALL_INTERVAL_S

    @property
    def replace_after(self) -> float:
        """Seconds after which the newest of too many calls gives way."""
        return LARGE_FLEET_REPLACE_S if self.large_fleet else PARALLEL_CALL_INTERVAL_S

    @property
    def initial_watches(self) -> int:
        """Watches of a prompt discovery that may be out before the whole list is asked for."""
        return 2 if self.large_fleet and self.wait <= MIN_WATCH_WAIT_S else 1


class Watcher:
    """The calls that are out, in the order in which they began, and what follows from how others ended."""

    def __init__(self, address: str, timing: WatchTiming, draw: Callable[[float, float], float]) -> None:
        self.address, self.timing, self.draw = address, timing, draw
        self.calls: list[Call] = []
        self.lateness = LatenessEstimator()
        self.epoch = 0  # how often discovery has moved
        self.list_epoch = 0  # when the list here was told
        self.full_list_wanted = False  # the whole list is wanted, whatever is known
        self.next_id = 1
        self.next_call_at: float | None = (
            None  # when a call begins if none is out; None before the first is asked for
        )
        self.no_call_before = 0.0  # no call before, after a failure
        self.first_call_after_move_at: float | None = None  # when the first call at a new address begins
        self.failures = 0  # in a row
        self.full_list_failed = False  # the last call failed, and was for the whole list
        self.dead_watches = 0  # in a row
        self.last_watch_at = 0.0  # when the last watch began
        self.last_answer_at: float | None = (
            None  # when the last answer came; before any, when the first call began
        )
        self.complete_as_of: float | None = None  # up to when the list here is known to be complete

    # What the driver tells.

    def request_watch(self, now: float) -> None:
        """The module wants the list to be watched."""
        if not self.active_calls():
            self.next_call_at, self.no_call_before = now, 0.0

    def move(self, now: float, address: str) -> None:
        """Calls at the old address go on: until the new service has told its list, theirs is the newest. The
        pause is not begun anew by a move that follows soon."""
        self.epoch, self.address = self.epoch + 1, address
        at = now + self.draw(0, MOVE_JITTER_S)
        self.first_call_after_move_at = (
            at if self.first_call_after_move_at is None else min(at, self.first_call_after_move_at)
        )
        self.no_call_before = 0.0

    def answer_progressed(self, now: float, call: Call) -> None:
        """A part of its answer came."""
        if call.first_byte_at is None:
            call.first_byte_at = now

    def list_is_current(self) -> bool:
        """The list here was told by the service that is asked now."""
        return self.list_epoch == self.epoch

    def classify_answer(
        self, call: Call, index: int, is_full_list: bool, known_index: int | None
    ) -> AnswerAction:
        """What to do with an answer of version `index`, where `known` is the version of the list here."""
        if call.epoch < self.list_epoch:
            return AnswerAction.STALE
        if call.epoch > self.list_epoch:
            return AnswerAction.APPLY if is_full_list else AnswerAction.UNUSABLE
        if known_index is None:
            return AnswerAction.APPLY if is_full_list else AnswerAction.UNUSABLE
        if call.index is not None and index < call.index:
            # The service came back from an older state: what changed since ours it may never tell.
            if is_full_list:
                return AnswerAction.APPLY
            return AnswerAction.UNUSABLE if call.kind is CallKind.FULL_LIST else AnswerAction.FETCH_FULL_LIST
        if index < known_index:
            return AnswerAction.STALE
        already_applied = not is_full_list and index == known_index and index != call.index
        return AnswerAction.STALE if already_applied else AnswerAction.APPLY

    def list_applied(
        self, now: float, call: Call, index: int, is_full_list: bool, known_index: int | None
    ) -> None:
        """The list is now what this answer says."""
        if is_full_list:
            self.full_list_wanted = False
        self.list_epoch = call.epoch
        index_decreased = known_index is not None and index < known_index
        if index_decreased:  # whatever was asked before is the older service's
            for other in self.calls:
                other.superseded = other.superseded or other.started_at < call.started_at
        complete_as_of = call.started_at if is_full_list or index != known_index else min(now, call.due)
        self.complete_as_of = max(complete_as_of, self.complete_as_of or complete_as_of)

    def request_full_list(self) -> None:
        """Nothing but the whole list can be used from now on."""
        self.full_list_wanted = True

    def call_answered(self, now: float, call: Call, list_changed: bool) -> None:
        """`call` has ended with an answer that could be read; `news` says whether it changed the list."""
        self.calls.remove(call)
        self.record_lateness(now, call)
        self.failures, self.full_list_failed = 0, False
        self.no_call_before, self.last_answer_at = 0.0, now
        self.mark_superseded(call)
        if call.kind is CallKind.WATCH:
            self.dead_watches = 0  # one that was overtaken by a watch was lost alone
        if self.polling() and call.kind is CallKind.FULL_LIST:
            self.next_call_at = max(now, call.started_at + self.parallel_call_delay(call))
        else:
            self.next_call_at = now if list_changed or self.full_list_wanted else now + NO_CHANGE_DELAY_S

    def call_failed(self, now: float, call: Call) -> bool:
        """`call` ended without an answer that can be used. True where no other is out that may bring it."""
        self.calls.remove(call)
        if call.epoch < self.epoch:
            return False
        self.failures += 1
        self.full_list_failed = call.kind is CallKind.FULL_LIST
        delay = self.retry_delay(call.age(now))
        self.next_call_at = self.no_call_before = now + delay
        return not self.active_calls()

    def forget_calls(self) -> None:
        """All calls ended with their driver."""
        self.calls.clear()

    # What it decides.

    def decide(self, now: float, index: int | None, accepts_changes: bool) -> list[Command]:
        """All that is to be done at this moment. `index` is the version of the list here, None where there is
        none; `extendable` says whether changes since that version would make it up to date."""
        commands: list[Command] = []
        for call in list(self.calls):
            if (end := self.expiry_reason(now, call)) is not None:
                commands.append(self.cancel_call(call, end))
        if self.next_start(now) > now:
            return commands
        if len(self.calls) >= MAX_CALLS:
            replaced, end = self.call_to_replace(now)
            if replaced is None:
                return commands
            commands.append(self.cancel_call(replaced, end))
        commands.append(StartCall(self.start_call(now, index, accepts_changes and index is not None)))
        return commands

    def next_wakeup(self, now: float) -> float:
        """When `decide` is due at the latest, whatever is told before."""
        starts = self.next_start(now)
        if starts <= now and len(self.calls) >= MAX_CALLS:
            starts = min(
                [
                    self.replacement_due(),
                    *(
                        call.started_at + PARALLEL_CALL_INTERVAL_S
                        for call in self.calls
                        if not call.connected
                    ),
                ]
            )
        ends = [call.started_at + MAX_CALL_AGE_S for call in self.calls]
        ends += [call.due + SUPERSEDED_GRACE_S for call in self.calls if call.superseded]
        return min([starts, *ends])

    def active_calls(self) -> list[Call]:
        """The calls at the address that holds now that may bring something new."""
        return [call for call in self.calls if call.epoch == self.epoch and not call.superseded]

    def polling(self) -> bool:
        """Watches are not answered, whole lists are."""
        return self.dead_watches >= DEAD_WATCH_LIMIT

    def list_age(self, now: float) -> float | None:
        """Seconds for which the list here may have missed a change; None: none was heard yet."""
        return None if self.complete_as_of is None else now - self.complete_as_of

    # Parts of the decisions.

    def next_start(self, now: float) -> float:
        """When the next call is to begin."""
        if self.first_call_after_move_at is not None:
            return self.first_call_after_move_at
        if self.next_call_at is None:
            return float("inf")
        active = self.active_calls()
        if not active:
            return self.next_call_at
        newest = active[-1]
        return max(self.no_call_before, newest.started_at + self.parallel_call_delay(newest))

    def parallel_call_delay(self, call: Call) -> float:
        """Seconds after its begin for which nothing is begun beside a call. News may have been due on it at
        once, so it covers no later change for sure."""
        ends = call.wait if call.first_byte_at is None else call.first_byte_at - call.started_at
        overdue_after = ends + OVERDUE_AFTER_S + call.jitter * OVERDUE_JITTER_S
        if self.lateness.expected > OVERDUE_AFTER_S and overdue_after <= PARALLEL_CALL_INTERVAL_S:
            overdue_after = 0.0  # it is no wonder, and the wider jitter keeps sidecars apart
        mean = self.lateness.mean
        interval = LATENESS_INTERVAL_FACTOR * mean if mean > TOLERATED_LATENESS_S + OVERDUE_AFTER_S else 0.0
        return max(
            call.jitter * PARALLEL_CALL_INTERVAL_S,
            overdue_after if call.kind is CallKind.WATCH else 0.0,
            interval,
        )

    def choose_kind(self, now: float, accepts_changes: bool) -> CallKind:
        if not accepts_changes or self.full_list_wanted or self.list_epoch < self.epoch:
            return CallKind.FULL_LIST
        active = self.active_calls()
        if not active:
            skip_watch = self.polling() and now - self.last_watch_at < DEAD_WATCH_RETEST_S
            return CallKind.FULL_LIST if skip_watch else CallKind.WATCH
        if self.full_list_failed:
            return CallKind.WATCH  # it costs discovery less, and may be answered
        if self.dead_watches:
            return CallKind.FULL_LIST
        lateness_expected = active[-1].late(now) <= self.lateness.expected
        limit = MAX_WATCHES if lateness_expected else self.timing.initial_watches
        watches = sum(call.kind is CallKind.WATCH for call in active)
        return CallKind.WATCH if watches < limit else CallKind.FULL_LIST

    def start_call(self, now: float, index: int | None, accepts_changes: bool) -> Call:
        kind = self.choose_kind(now, accepts_changes)
        wait = self.timing.wait * self.draw(MIN_WAIT_FRACTION, 1) if kind is CallKind.WATCH else 0.0
        jitter = self.draw(MIN_INTERVAL_FRACTION, 1)
        call = Call(self.next_id, kind, self.address, self.epoch, now, wait, index, jitter)
        self.next_id += 1
        self.first_call_after_move_at = None
        if kind is CallKind.WATCH:
            self.last_watch_at, self.full_list_failed = now, False
        if self.last_answer_at is None:
            self.last_answer_at = now
        self.calls.append(call)
        return call

    def cancel_call(self, call: Call, end: CallEnd) -> CancelCall:
        self.calls.remove(call)
        return CancelCall(call, end)

    def expiry_reason(self, now: float, call: Call) -> CallEnd | None:
        """Why a call can't be of use any more, if so."""
        if call.epoch < self.list_epoch:
            return CallEnd.ADDRESS_CHANGED
        if call.superseded and now >= call.due + SUPERSEDED_GRACE_S:
            return CallEnd.SUPERSEDED
        return CallEnd.TOO_OLD if now >= call.started_at + MAX_CALL_AGE_S else None

    def call_to_replace(self, now: float) -> tuple[Call | None, CallEnd]:
        """Whose place a new call takes. Those that have waited longest are nearest to their answer."""
        old = [call for call in self.calls if call.epoch < self.epoch]
        if old:
            return old[-1], CallEnd.ADDRESS_CHANGED
        superseded = [call for call in self.calls if call.superseded]
        if superseded:
            return superseded[0], CallEnd.SUPERSEDED
        connecting = [
            call
            for call in self.calls
            if not call.connected and now >= call.started_at + PARALLEL_CALL_INTERVAL_S
        ]
        if connecting:
            return connecting[0], CallEnd.REPLACED
        if now >= self.replacement_due():
            return self.calls[-1], CallEnd.REPLACED
        return None, CallEnd.REPLACED

    def replacement_due(self) -> float:
        """When the newest of too many calls gives way: nothing was answered for longer than a slow discovery
        takes, so what is out may be lost."""
        assert self.last_answer_at is not None
        limit = max(
            self.timing.wait + TOLERATED_LATENESS_S + OVERDUE_AFTER_S,
            REPLACE_LATENESS_FACTOR * self.lateness.expected,
        )
        return max(self.last_answer_at + limit, self.calls[-1].started_at + self.timing.replace_after)

    def mark_superseded(self, answered: Call) -> None:
        for call in self.calls:
            if call.epoch == answered.epoch and call.due < answered.started_at and not call.superseded:
                call.superseded = True
                self.dead_watches += call.kind is CallKind.WATCH

    def record_lateness(self, now: float, call: Call) -> None:
        latest = call.started_at + call.wait
        if now >= latest:
            self.lateness.add_sample(now - latest)
        else:  # it came with news: when that was made nobody tells
            self.lateness.add_upper_bound(call.age(now))

    def retry_delay(self, call_duration: float) -> float:
        """Seconds from a failure to the next call. A change made just after the failed call began has to be
        heard in time: what that call took is not waited for once more."""
        span = PARALLEL_CALL_INTERVAL_S if self.failures == 1 else self.timing.retry_interval
        delay = max(MIN_RETRY_DELAY_S, span - call_duration) * self.draw(MIN_RETRY_DELAY_FRACTION, 1)
        if self.timing.rewatch_within is None:
            return delay
        return min(delay, self.timing.rewatch_within * self.draw(0.2, 1))
