"""Whether the list of a start may be used: the pure core, over all short orders of what happens to calls."""

from __future__ import annotations

import itertools

from lupinmill.discovery import confirmation, watcher
from lupinmill.discovery.calls import Call, CallKind, StartCall
from lupinmill.discovery.confirmation import ListConfirmation, ListState
from lupinmill.discovery.driver import found_nobody
from lupinmill.discovery.watcher import Watcher, WatchTiming
from lupinmill.transport.connection import Unconnected

PUSHED = WatchTiming(1.0, 0.25)
EVENTS = ("connected", "reset", "refused", "503", "0.9 s pass", "answered")


class Play:
    """A watcher that starts with an old list, and what happens to the newest of its calls."""

    def __init__(self) -> None:
        self.watcher, self.now = Watcher("127.0.0.1:1", PUSHED, lambda least, most: most), 100.0
        self.watcher.confirmation.begin(self.now, ListState.AWAITED)
        self.watcher.request_watch(self.now)
        self.awaited = self.used = 0.0
        self.kinds: list[CallKind] = []
        self.unreachable, self.answered = 0, False  # consecutive calls that found nobody; any was answered
        self.decide()

    @property
    def state(self) -> ListState:
        return self.watcher.confirmation.state

    def decide(self) -> None:
        while commands := self.watcher.decide(self.now, 7, True):
            self.kinds += [command.call.kind for command in commands if isinstance(command, StartCall)]

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            following = min(end, max(self.now + 0.001, self.watcher.next_wakeup(self.now)))
            usable, step = self.watcher.confirmation.usable, following - self.now
            self.awaited, self.used = self.awaited + step * (not usable), self.used + step * usable
            self.now = following
            self.decide()

    def apply(self, event: str) -> None:
        call = self.watcher.calls[-1] if self.watcher.calls else None
        if event == "0.9 s pass":
            self.advance(0.9)
        elif call is not None and (event == "refused") != call.connected:
            self.end(call, event)
        elif call is not None and event != "refused":
            self.watcher.call_connected(self.now, call)
            self.end(call, event)
        self.advance(0.3)  # the longest time until a call that found nobody is repeated

    def end(self, call: Call, event: str) -> None:
        core = self.watcher
        if event in ("reset", "refused"):
            error = Unconnected() if event == "refused" else ConnectionResetError()
            nobody = found_nobody(call, error, self.now)
            self.unreachable = self.unreachable + 1 if nobody else 0
            core.call_failed(self.now, call, nobody)
        elif event == "503":
            self.unreachable = 0
            core.answer_progressed(self.now, call)
            core.call_failed(self.now, call)
        elif event == "answered":
            self.answered = True
            core.list_applied(self.now, call, 7, call.kind is CallKind.FULL_LIST, 7)
            core.call_answered(self.now, call, False)


def test_in_every_order_of_six_events_the_list_is_used_only_where_it_may_be():
    """Guards against attempts by a list that a crowded discovery has not confirmed yet, and against a sidecar
    that never comes into service."""
    for events in itertools.product(EVENTS, repeat=6):
        play = Play()
        for event in events:
            was, unconnected = play.state, any(not call.connected for call in play.watcher.calls[-1:])
            play.apply(event)
            assert (play.state is ListState.CONFIRMED) == play.answered, events
            if event == "connected" and was is ListState.UNREACHABLE and unconnected:
                spent = play.awaited >= confirmation.MAX_AWAITED_S - 0.01
                assert play.state is ListState.AWAITED or spent and play.state is ListState.OVERDUE, events
            if was is ListState.AWAITED and play.state is ListState.UNREACHABLE:
                down = play.unreachable >= confirmation.UNREACHABLE_CALLS
                assert down or play.awaited >= confirmation.MAX_AWAITED_S - 0.01, events
            assert play.awaited <= confirmation.MAX_AWAITED_S + play.used + 0.01, events
        play.advance(confirmation.MAX_AWAITED_S + 0.1)
        assert play.watcher.confirmation.usable, events
        assert (play.state is ListState.CONFIRMED) == play.answered, events


def test_nothing_but_changes_at_once_or_the_whole_list_is_asked_for_until_the_list_is_confirmed():
    """Guards against a watch as the first call: without news it is answered only after its wait."""
    play = Play()
    play.advance(4.0)  # the service takes the calls and is silent
    assert play.kinds[0] is CallKind.CHANGES and CallKind.WATCH not in play.kinds
    assert {call.wait for call in play.watcher.calls} == {0.0} and CallKind.FULL_LIST in play.kinds
    play.apply("answered")
    play.advance(5.0)
    assert CallKind.WATCH in play.kinds


def test_a_call_that_is_refused_beside_one_that_was_accepted_does_not_show_that_discovery_is_down():
    state = ListConfirmation()
    state.begin(0.0, ListState.AWAITED)
    for at in range(6):
        state.call_failed(0.1 * at, True, call_accepted=True)
        assert state.state is ListState.AWAITED
    state.call_failed(1.0, True, call_accepted=False)
    assert state.state is ListState.UNREACHABLE


def test_changes_with_a_row_that_names_no_endpoint_confirm_nothing_before_the_whole_list():
    core = Watcher("127.0.0.1:1", PUSHED, lambda least, most: most)
    core.confirmation.begin(0.0, ListState.AWAITED)
    call = core.start_call(0.0, 7, True)
    core.request_full_list()
    core.list_applied(0.1, call, 8, False, 7)
    assert core.confirmation.state is ListState.AWAITED
    core.list_applied(0.2, core.start_call(0.1, 8, True), 8, True, 8)
    assert core.confirmation.state is ListState.CONFIRMED and core.confirmation.confirmed_by == 2


def test_the_time_without_service_ends_before_most_restarted_sidecars_have_to_be_ready():
    assert watcher.TOLERATED_LATENESS_S < confirmation.MAX_AWAITED_S < 6.0
