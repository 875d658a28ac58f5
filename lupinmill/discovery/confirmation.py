"""Whether discovery has confirmed the known list of endpoints, and whether attempts may go by it until then.

Where lists are pushed, a change counts as known as soon as discovery has it, also in a process that has just
started with an older list. Such a list may name endpoints that drain, are gone, were restarted or have moved,
so no attempt goes by it while discovery may still answer. If discovery can't be reached, or stays silent for
too long, the list is all there is, and it is used."""

from __future__ import annotations

from enum import Enum

# Seconds for which a list may stay unused, in all: answers may be 4 s late (TOLERATED_LATENESS_S), and most
# restarted sidecars have to be ready within 6 s. Time in which the list was used is added up to this limit.
MAX_AWAITED_S = 5.0
# Consecutive calls that found nobody there, after which discovery counts as down: a crowded one loses some.
UNREACHABLE_CALLS = 3


class ListState(Enum):
    """What is known about the list; the values appear in the log, in the admin API and in upgrades."""

    CONFIRMED = "confirmed"
    INHERITED = "inherited"  # from the process before this one, which still watches it
    AWAITED = "awaited"  # discovery may answer soon
    UNREACHABLE = "discovery unreachable"
    OVERDUE = "discovery silent"  # it takes calls, and has answered none for too long


class ListConfirmation:
    """The state of the list of one process. Pure; times are seconds of a monotonic clock."""

    def __init__(self) -> None:
        self.state = ListState.CONFIRMED
        self.since: float | None = None  # start of the state; None before `begin`
        self.confirmed_by: int | None = None  # id of the call whose answer confirmed the list
        self.awaited_left = MAX_AWAITED_S
        self.unreachable_calls = 0  # consecutive

    @property
    def confirmed(self) -> bool:
        """Whether discovery has confirmed the list, or has sent a newer one."""
        return self.state is ListState.CONFIRMED

    @property
    def usable(self) -> bool:
        """Whether attempts may go by the list."""
        return self.state is not ListState.AWAITED

    @property
    def awaited_until(self) -> float:
        """When the list will be used without an answer, unless discovery turns out to be down before."""
        if self.usable or self.since is None:
            return float("inf")
        return self.since + self.awaited_left

    def begin(self, now: float, state: ListState) -> None:
        """The process starts with a list in this state."""
        self.awaited_left, self.unreachable_calls = MAX_AWAITED_S, 0
        self.state, self.since = state, now

    def enter(self, now: float, state: ListState) -> None:
        spent = now - (now if self.since is None else self.since)
        if self.state in (ListState.AWAITED, ListState.INHERITED):
            self.awaited_left = max(0.0, self.awaited_left - spent)
        else:
            self.awaited_left = min(MAX_AWAITED_S, self.awaited_left + spent)
        self.state, self.since = state, now

    def confirm(self, now: float, call_id: int) -> None:
        """The answer to a call has been applied to the list."""
        self.unreachable_calls = 0
        if not self.confirmed:
            self.confirmed_by = call_id
            self.enter(now, ListState.CONFIRMED)

    def predecessor_sent_list(self, now: float) -> None:
        """The process before this one has passed on a newer list that discovery has sent to it."""
        if not self.confirmed:
            self.enter(now, ListState.INHERITED)

    def predecessor_ended(self, now: float, call_accepted: bool) -> None:
        """From now on only this process's own calls tell of changes. `call_accepted`: as in `expire`."""
        if self.state is not ListState.INHERITED:
            return
        self.enter(now, ListState.AWAITED)
        if self.is_down(call_accepted):
            self.enter(now, ListState.UNREACHABLE)
        self.expire(now, call_accepted)

    def is_down(self, call_accepted: bool) -> bool:
        """Whether discovery counts as down: nobody is found there."""
        return self.unreachable_calls >= UNREACHABLE_CALLS and not call_accepted

    def call_connected(self, now: float) -> None:
        """Discovery can be reached, so it may tell what has changed."""
        if self.state is ListState.UNREACHABLE:
            self.enter(now, ListState.AWAITED)

    def answer_begun(self) -> None:
        """Discovery is up, whatever its answer says."""
        self.unreachable_calls = 0

    def call_failed(self, now: float, unreachable: bool, call_accepted: bool) -> None:
        """A call failed. `unreachable`: it found nobody there. `call_accepted`: as in `expire`."""
        self.unreachable_calls = self.unreachable_calls + 1 if unreachable else 0
        if self.is_down(call_accepted) and self.state in (ListState.AWAITED, ListState.OVERDUE):
            self.enter(now, ListState.UNREACHABLE)

    def expire(self, now: float, call_accepted: bool) -> None:
        """`call_accepted`: discovery has accepted a call that is still in flight."""
        if now >= self.awaited_until:
            self.enter(now, ListState.OVERDUE if call_accepted else ListState.UNREACHABLE)
