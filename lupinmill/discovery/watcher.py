"""Decides when to call discovery, what to request, and when to cancel a call.

Pure: `decide(now, ...)` returns commands, and the driver reports their outcomes.

A sidecar must know of a change PROPAGATION_LIMIT_S after discovery had it, and discovery may answer up to
TOLERATED_LATENESS_S late. So a call that may still be answered is not cancelled in favour of one that
requests the same: a parallel call starts, early enough that its own late answer would still be in time. The
first parallel call requests the full list, since watches alone may be dead; once discovery is known to be
slow it is another watch. MAX_CALLS bounds the calls in flight."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lupinmill.discovery.calls import AnswerAction, Call, CallEnd, CallKind, CancelCall, Command, StartCall
from lupinmill.discovery.confirmation import ListConfirmation, ListState
from lupinmill.discovery.lateness import LatenessEstimator

# A change counts as known this long after discovery had it and could be reached, whatever failed.
PROPAGATION_LIMIT_S = 6.0
TOLERATED_LATENESS_S = 4.0  # lateness of answers up to which PROPAGATION_LIMIT_S still holds
SCHEDULING_SLACK_S = 0.3  # for event loop lag and network latency
ANSWER_SLACK_S = 0.1  # for an answer to arrive, after the time that a slow service takes
# Between the starts of two parallel calls while answers are missing.
PARALLEL_CALL_INTERVAL_S = PROPAGATION_LIMIT_S - TOLERATED_LATENESS_S - SCHEDULING_SLACK_S
OVERDUE_AFTER_S = 0.6  # past its due time a watch of a prompt service is suspected to be dead
OVERDUE_JITTER_S = 0.1
MIN_RETRY_DELAY_S = 0.3  # before jitter, after a call that took long to fail
# Before jitter, after a call that found nobody there, while the list waits to be confirmed.
AWAITED_RETRY_DELAY_S = 0.25
# How long a watch waits for a change. A watch may be due at once, for a change made right after it arrived,
# and a second change right behind the first is then covered by no call: so the wait and the delay of the next
# call must fit into PARALLEL_CALL_INTERVAL_S. Only fleets of over 200 sidecars wait longer: they learn of
# such a second change up to 1.4 s later if discovery becomes 4 s late.
MIN_WATCH_WAIT_S, MAX_WATCH_WAIT_S = 1.0, 2.4
NO_CHANGE_DELAY_S = 0.05  # before the next call after an answer without changes
# Upper bound before the first call at a new address, so that sidecars do not call at once.
MOVE_JITTER_S = 0.3
# From a move to a call at the new address, or from that to the next one, while calls at former addresses may
# still be answered. A change counts as known 4 s after the move.
MOVE_CALL_LIMIT_S = 3.0
SUPERSEDED_GRACE_S = TOLERATED_LATENESS_S + 0.5  # after its due time a superseded call is cancelled
MAX_CALL_AGE_S = 60.0
DEAD_WATCH_RETEST_S = 10.0  # between two watches while watches are known to be dead

MAX_CALLS = 4  # in flight, over all addresses
MIN_WAIT_FRACTION = 0.8  # jitter of a watch's wait: watches answered together would fall due together
MIN_RETRY_DELAY_FRACTION = 0.6  # jitter of the retry delay, so that sidecars do not call together
MIN_SHORT_DELAY_FRACTION = 0.2  # the same of the short delays where lists are pushed
MIN_INTERVAL_FRACTION = 0.75  # jitter of PARALLEL_CALL_INTERVAL_S
# In flight when discovery is known to be late; the last call is a full list, as watches may be dead.
MAX_WATCHES = 3
LATENESS_INTERVAL_FACTOR = 0.5  # parallel call interval, of a lateness above the tolerated one
# Consecutive watches superseded by full lists, after which only full lists are requested.
DEAD_WATCH_LIMIT = 2
# In a large fleet, consecutive failures and unanswered calls are repeated at these longer intervals, as
# discovery may be refusing calls because there are too many. Still within PROPAGATION_LIMIT_S: 2.4 s and
# 1.7 s remain for the answer.
LARGE_FLEET_RETRY_S, LARGE_FLEET_REPLACE_S = 3.3, 4.0
# Without any answer for this multiple of the expected lateness, a call is replaced.
REPLACE_LATENESS_FACTOR = 1.5


@dataclass(slots=True)
class WatchTiming:
    """Timing that follows from the settings.

    `rewatch_within` is None where the decision module asks for the list; where lists are pushed it is the
    maximum delay, in seconds, before a failed watch starts again. `large_fleet`: discovery may not be able to
    serve full lists to all sidecars at once."""

    wait: float
    rewatch_within: float | None = None
    large_fleet: bool = False

    @property
    def retry_interval(self) -> float:
        """Seconds between the starts of two failed calls."""
        return LARGE_FLEET_RETRY_S if self.large_fleet else PARALLEL_CALL_INTERVAL_S

    @property
    def replace_after(self) -> float:
        """Minimum age, in seconds, of the newest of MAX_CALLS calls when one of them is replaced."""
        return LARGE_FLEET_REPLACE_S if self.large_fleet else PARALLEL_CALL_INTERVAL_S

    @property
    def initial_watches(self) -> int:
        """Watches of a prompt service that may be in flight before the full list is requested."""
        return 2 if self.large_fleet and self.wait <= MIN_WATCH_WAIT_S else 1


class Watcher:
    """The calls in flight, in the order of their start, and what was learned from those that ended."""

    def __init__(self, address: str, timing: WatchTiming, draw: Callable[[float, float], float]) -> None:
        self.address, self.timing, self.draw = address, timing, draw
        self.calls: list[Call] = []
        self.lateness = LatenessEstimator()
        self.epoch = 0  # number of address changes
        self.list_epoch = 0  # value of `epoch` for the known list
        self.full_list_wanted = False  # request a full list even if the known one accepts changes
        self.next_id = 1
        # Start of a call if none is in flight; None before `request_watch`.
        self.next_call_at: float | None = None
        self.no_call_before = 0.0  # earliest next call after a failure
        self.first_call_after_move_at: float | None = None  # start of the first call at a new address
        self.unserved_move_at = 0.0  # the first move since the last such call
        self.failures = 0  # consecutive
        self.full_list_failed = False  # the last failed call requested the full list
        self.dead_watches = 0  # consecutive
        self.last_watch_at = 0.0  # start of the last watch
        self.last_answer_at: float | None = None  # before any answer: start of the first call
        self.complete_as_of: float | None = None  # time up to which the known list is complete
        self.confirmation = ListConfirmation()

    # Events reported by the driver.

    def request_watch(self, now: float) -> None:
        """The decision module requests that the list be watched."""
        if not self.active_calls():
            self.next_call_at, self.no_call_before = now, 0.0

    def move(self, now: float, address: str) -> None:
        """Discovery has a new address.

        Calls at the old address continue: their list is the newest until the new service has sent its own. A
        further move during the delay does not restart the delay."""
        self.epoch, self.address = self.epoch + 1, address
        at = max(now + self.draw(0, MOVE_JITTER_S), self.next_call_in_series())
        if self.first_call_after_move_at is None:
            self.first_call_after_move_at, self.unserved_move_at = at, now
        else:
            self.first_call_after_move_at = min(at, self.first_call_after_move_at)
        self.no_call_before = 0.0

    def next_call_in_series(self) -> float:
        """Earliest time of a call for one more move: a service that has not answered the call for the last
        one may work through all calls in turn, those that were cancelled too."""
        unanswered = [call for call in self.calls if call.epoch > self.list_epoch]
        if not unanswered:
            return 0.0
        newest = unanswered[-1]
        return newest.started_at + newest.jitter * PARALLEL_CALL_INTERVAL_S

    def call_connected(self, now: float, call: Call) -> None:
        """The service has accepted the call's connection."""
        call.connected = True
        if call.epoch == self.epoch:
            self.confirmation.call_connected(now)

    def predecessor_ended(self, now: float) -> None:
        """The process before this one has ended."""
        self.confirmation.predecessor_ended(now, self.call_accepted())

    def answer_progressed(self, now: float, call: Call) -> None:
        """A part of the answer arrived."""
        if call.first_byte_at is None:
            call.first_byte_at = now
        self.confirmation.answer_begun()

    def list_is_current(self) -> bool:
        """The known list came from the service at the current address."""
        return self.list_epoch == self.epoch

    def classify_answer(
        self, call: Call, index: int, is_full_list: bool, known_index: int | None
    ) -> AnswerAction:
        """What to do with an answer of version `index`, given the version of the known list."""
        if call.epoch < self.list_epoch:
            return AnswerAction.STALE
        if call.epoch > self.list_epoch:
            return AnswerAction.APPLY if is_full_list else AnswerAction.UNUSABLE
        if known_index is None:
            return AnswerAction.APPLY if is_full_list else AnswerAction.UNUSABLE
        if call.index is not None and index < call.index:
            # The service was restored to an older state and may never report what changed since our version.
            if is_full_list:
                return AnswerAction.APPLY
            return AnswerAction.UNUSABLE if call.kind is CallKind.FULL_LIST else AnswerAction.FETCH_FULL_LIST
        if index < known_index:
            return AnswerAction.STALE
        already_applied = not is_full_list and index == known_index and index != call.index
        return AnswerAction.STALE if already_applied else AnswerAction.APPLY

    def new_since(self, call: Call, index: int, known_index: int | None) -> float | None:
        """Since when a change that an answer of version `index` brings was made: the time up to which the
        known list is complete. None where both are not of the same service, or it went back."""
        if call.epoch != self.list_epoch or known_index is None or index < known_index:
            return None
        return self.complete_as_of

    def list_applied(
        self, now: float, call: Call, index: int, is_full_list: bool, known_index: int | None
    ) -> None:
        """The answer has been applied to the list."""
        if is_full_list:
            self.full_list_wanted = False
        self.list_epoch = call.epoch
        index_decreased = known_index is not None and index < known_index
        if index_decreased:  # earlier calls refer to the state before the service went back
            for other in self.calls:
                other.superseded = other.superseded or other.started_at < call.started_at
        complete_as_of = call.started_at if is_full_list or index != known_index else min(now, call.due)
        self.complete_as_of = max(complete_as_of, self.complete_as_of or complete_as_of)
        if not self.full_list_wanted:
            self.confirmation.confirm(now, call.id)

    def request_full_list(self) -> None:
        """Only a full list can be applied from now on."""
        self.full_list_wanted = True

    def call_answered(self, now: float, call: Call, list_changed: bool) -> None:
        """`call` has ended with a valid answer."""
        self.calls.remove(call)
        self.record_lateness(now, call)
        self.failures, self.full_list_failed = 0, False
        self.no_call_before, self.last_answer_at = 0.0, now
        self.mark_superseded(call)
        if call.kind is CallKind.WATCH:
            self.dead_watches = 0  # watches work: one superseded by a watch was lost alone
        if self.polling() and call.kind is CallKind.FULL_LIST:
            self.next_call_at = max(now, call.started_at + self.parallel_call_delay(call))
        else:
            self.next_call_at = now if list_changed or self.full_list_wanted else now + NO_CHANGE_DELAY_S

    def call_failed(self, now: float, call: Call, unreachable: bool = False) -> bool:
        """`call` ended without a usable answer; `unreachable`: it found nobody there. True if no other call
        in flight may still bring one."""
        self.calls.remove(call)
        if call.epoch < self.epoch:
            return False
        self.failures += 1
        self.full_list_failed = call.kind is CallKind.FULL_LIST
        self.confirmation.call_failed(now, unreachable, self.call_accepted())
        delay = self.retry_delay(call.age(now))
        if unreachable and self.confirmation.state is ListState.AWAITED:
            delay = min(delay, AWAITED_RETRY_DELAY_S * self.draw(MIN_SHORT_DELAY_FRACTION, 1))
        self.next_call_at = self.no_call_before = now + delay
        return not self.active_calls()

    def forget_calls(self) -> None:
        """Drops all calls; the driver has ended them."""
        self.calls.clear()

    # Decisions.

    def decide(self, now: float, index: int | None, accepts_changes: bool) -> list[Command]:
        """Commands due now. `index` is the version of the known list, if any; `accepts_changes` says whether
        changes since that version can be applied to it."""
        commands: list[Command] = []
        self.confirmation.expire(now, self.call_accepted())
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
        """Latest time of the next `decide`, even if no event is reported before."""
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
        return min([starts, self.confirmation.awaited_until, *ends])

    def active_calls(self) -> list[Call]:
        """Calls at the current address that may still bring something new."""
        return [call for call in self.calls if call.epoch == self.epoch and not call.superseded]

    def call_accepted(self) -> bool:
        """Whether the service at the current address has accepted a call that is still in flight."""
        return any(call.connected and call.epoch == self.epoch for call in self.calls)

    def polling(self) -> bool:
        """Whether full lists are polled, since watches are not answered."""
        return self.dead_watches >= DEAD_WATCH_LIMIT

    def list_age(self, now: float) -> float | None:
        """Seconds for which the known list may have missed a change; None before the first list."""
        return None if self.complete_as_of is None else now - self.complete_as_of

    # Helpers.

    def next_start(self, now: float) -> float:
        """Start time of the next call."""
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
        """Seconds from the start of a call to the start of a parallel one. A change may have been due on the
        call right after its start, so the call does not reliably cover any later change."""
        ends = call.wait if call.first_byte_at is None else call.first_byte_at - call.started_at
        overdue_after = ends + OVERDUE_AFTER_S + call.jitter * OVERDUE_JITTER_S
        if self.lateness.expected > OVERDUE_AFTER_S and overdue_after <= PARALLEL_CALL_INTERVAL_S:
            overdue_after = 0.0  # expected lateness; the wider interval jitter keeps sidecars apart
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
            return CallKind.FULL_LIST if skip_watch else self.cheap_kind()
        if self.full_list_failed:
            return self.cheap_kind()
        if self.dead_watches:
            return CallKind.FULL_LIST
        lateness_expected = active[-1].late(now) <= self.lateness.expected
        limit = MAX_WATCHES if lateness_expected else self.timing.initial_watches
        cheap = sum(call.kind is not CallKind.FULL_LIST for call in active)
        return self.cheap_kind() if cheap < limit else CallKind.FULL_LIST

    def cheap_kind(self) -> CallKind:
        """The kind that costs discovery least. A watch says nothing about the list until its wait is over."""
        return CallKind.WATCH if self.confirmation.confirmed else CallKind.CHANGES

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
        """Why a call is of no further use; None if it may still be."""
        if call.epoch < self.list_epoch:
            return CallEnd.ADDRESS_CHANGED
        if call.superseded and now >= call.due + SUPERSEDED_GRACE_S:
            return CallEnd.SUPERSEDED
        return CallEnd.TOO_OLD if now >= call.started_at + MAX_CALL_AGE_S else None

    def call_to_replace(self, now: float) -> tuple[Call | None, CallEnd]:
        """The call to cancel for a new one. The oldest of all is kept until something newer is answered, at
        whichever address: it is the closest to its answer."""
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
            if now >= self.second_overdue_at():
                return self.calls[1], CallEnd.REPLACED
            return self.old_calls()[-1], CallEnd.ADDRESS_CHANGED
        return None, CallEnd.REPLACED

    def old_calls(self) -> list[Call]:
        """Calls at former addresses that may be given up, in the order of their start."""
        return [call for call in self.calls[1:] if call.epoch < self.epoch]

    def second_overdue_at(self) -> float:
        """When the second oldest call has had the time that a slow service takes. If calls were given up
        before, none would live to see its answer."""
        return self.calls[1].due + TOLERATED_LATENESS_S + ANSWER_SLACK_S

    def replacement_due(self) -> float:
        """When one of MAX_CALLS calls may be replaced.

        For the first call at a new address, and beside calls at former ones: as soon as one is overdue, and
        after MOVE_CALL_LIMIT_S in any case. Else nothing must have been answered for longer than a slow
        service takes, as the calls may be lost."""
        if self.first_call_after_move_at is not None:
            return min(self.second_overdue_at(), self.unserved_move_at + MOVE_CALL_LIMIT_S)
        if self.old_calls():
            return min(self.second_overdue_at(), self.calls[-1].started_at + MOVE_CALL_LIMIT_S)
        assert self.last_answer_at is not None
        limit = max(
            self.timing.wait + TOLERATED_LATENESS_S + OVERDUE_AFTER_S,
            REPLACE_LATENESS_FACTOR * self.lateness.expected,
        )
        return max(
            self.last_answer_at + limit,
            self.calls[-1].started_at + self.timing.replace_after,
            self.second_overdue_at(),
        )

    def mark_superseded(self, answered: Call) -> None:
        for call in self.calls:
            if call.epoch == answered.epoch and call.due < answered.started_at and not call.superseded:
                call.superseded = True
                self.dead_watches += call.kind is CallKind.WATCH

    def record_lateness(self, now: float, call: Call) -> None:
        latest = call.started_at + call.wait
        if now >= latest:
            self.lateness.add_sample(now - latest)
        else:  # it brought a change, made at an unknown time during the call
            self.lateness.add_upper_bound(call.age(now))

    def retry_delay(self, call_duration: float) -> float:
        """Seconds from a failure to the next call. The duration of the failed call counts towards the
        interval, so that a change made just after its start is still received in time."""
        span = PARALLEL_CALL_INTERVAL_S if self.failures == 1 else self.timing.retry_interval
        delay = max(MIN_RETRY_DELAY_S, span - call_duration) * self.draw(MIN_RETRY_DELAY_FRACTION, 1)
        if self.timing.rewatch_within is None:
            return delay
        return min(delay, self.timing.rewatch_within * self.draw(MIN_SHORT_DELAY_FRACTION, 1))
