"""The machine's clock is set while requests wait: their ages must stay spans of real time."""

import errno
import itertools
import os
import random
import socket
import time

import pytest
from bed import Net, on_network
from endpoint_acts import fine, until

from lupinmill import terms as t
from lupinmill.routing.start_times import MAX_DEPARTED, MAX_LISTING_DELAY_US, StartTimes
from lupinmill.transport import kernel_clock, wall_clock
from lupinmill.transport.wall_clock import (
    KERNEL_LOOK_PERIOD_US,
    KERNEL_ROUNDING_US,
    MAX_KERNEL_STEPS,
    MAX_STAMP_AGE_US,
    MIN_STEP_US,
    WallClock,
)

SECOND = 1_000_000  # microseconds


class FakeClocks:
    """Two clocks, in microseconds; one of them can be set, and readings of both can be held up. The kernel's
    timestamps go by the same one, unless `kernel_ahead` has another."""

    def __init__(self, monkeypatch) -> None:
        self.steady, self.wall_ahead, self.held_up = 5 * SECOND, 1_700_000_000 * SECOND, 0
        self.kernel_ahead: int | None = None
        monkeypatch.setattr(time, "monotonic_ns", lambda: self.steady * 1000)
        monkeypatch.setattr(time, "time_ns", self.read_wall)

    def wall(self) -> int:
        return self.steady + self.wall_ahead

    def kernel_offset(self) -> int:
        return self.wall_ahead if self.kernel_ahead is None else self.kernel_ahead

    def stamp(self) -> int:
        return self.steady + self.kernel_offset()

    def read_wall(self) -> int:
        self.steady += self.held_up
        return self.wall() * 1000


def rounded_up(age: int):
    """Like the kernel's time since data last arrived."""
    return lambda: (age // 1000 + 3) * 1000


def untold() -> None:
    """Of a kernel that gives no timestamp."""


def clock_of(machine: FakeClocks, kernel_tells: bool = True) -> WallClock:
    return WallClock(machine.kernel_offset if kernel_tells else untold)


@pytest.mark.parametrize("kernel_tells", [True, False])
@pytest.mark.parametrize("step", [MIN_STEP_US, SECOND, 11 * SECOND, 3600 * SECOND])
@pytest.mark.parametrize("back", [False, True])
@pytest.mark.parametrize("seed", range(20))
def test_an_age_is_real_time_wherever_the_step_falls(step, back, seed, kernel_tells, monkeypatch):
    machine, drawn = FakeClocks(monkeypatch), random.Random(seed)
    clock = clock_of(machine, kernel_tells)
    for _ in range(50):
        machine.steady += drawn.randint(0, SECOND)
        before, after = drawn.randint(0, SECOND), drawn.randint(0, SECOND)
        stamp = machine.wall()
        machine.steady += before
        if drawn.random() < 0.1:
            machine.wall_ahead += -step if back else step
        machine.steady += after
        age = clock.age(stamp, rounded_up(before + after))
        assert abs(age - before - after) <= max(MIN_STEP_US, KERNEL_ROUNDING_US)


STEPS = [-3600 * SECOND, -2 * SECOND, 2 * SECOND, 5 * SECOND, 20 * SECOND, 3600 * SECOND]


def check_ages(machine: FakeClocks, clock: WallClock) -> None:
    """Requests that have waited for a moment, or for as long as a lagging loop takes. The kernel's tick may
    come late."""
    for waited, overstated in itertools.product((0, 30_000, 30_000, 2_500_000), (3_000, 6_000, 15_000)):
        stamp = machine.stamp()
        machine.steady += waited
        age = clock.age(stamp, lambda told=waited + overstated: told)
        assert abs(age - waited) <= max(MIN_STEP_US, KERNEL_ROUNDING_US), (waited, overstated)


@pytest.mark.parametrize("kernel_tells", [True, False])
@pytest.mark.parametrize("step", STEPS)
def test_a_clock_that_is_set_for_this_process_alone_makes_no_request_old(step, kernel_tells, monkeypatch):
    """Guards against a library that shifts one process's clock by +1 to +20 s: 96% of all requests were
    rejected."""
    machine = FakeClocks(monkeypatch)
    clock, machine.kernel_ahead = clock_of(machine, kernel_tells), machine.wall_ahead
    machine.wall_ahead += step
    for _ in range(100):
        check_ages(machine, clock)


@pytest.mark.parametrize("step", STEPS)
def test_a_clock_that_was_set_before_the_start_makes_no_request_old(step, monkeypatch):
    """Guards against a process that starts under a clock some seconds ahead of the kernel's: all requests
    were rejected, without end."""
    machine = FakeClocks(monkeypatch)
    machine.kernel_ahead = machine.wall_ahead
    machine.wall_ahead += step
    clock = clock_of(machine)
    assert clock.difference == step
    check_ages(machine, clock)


@pytest.mark.parametrize("kernel_tells", [True, False])
@pytest.mark.parametrize("step", STEPS)
def test_steps_without_end_make_no_request_old(step, kernel_tells, monkeypatch):
    """Guards against the true setting being forgotten: after six steps of 2 s all requests were rejected."""
    machine = FakeClocks(monkeypatch)
    clock, machine.kernel_ahead = clock_of(machine, kernel_tells), machine.wall_ahead
    for _ in range(30):
        machine.wall_ahead += step
        machine.steady += SECOND
        clock.take_steps()
        check_ages(machine, clock)


def test_steps_are_forgotten_when_no_unread_bytes_can_be_from_before_them(monkeypatch):
    """Then a timestamp is read without a further question."""
    machine = FakeClocks(monkeypatch)
    clock = clock_of(machine)
    machine.wall_ahead += 3 * SECOND
    check_ages(machine, clock)
    machine.steady += MAX_STAMP_AGE_US
    stamp = machine.stamp()
    machine.steady += 4 * SECOND
    assert clock.age(stamp, lambda: pytest.fail("asked")) == 4 * SECOND


def test_a_step_that_this_process_does_not_see_is_found_at_the_next_look(monkeypatch):
    machine = FakeClocks(monkeypatch)
    machine.kernel_ahead = machine.wall_ahead
    clock = clock_of(machine)
    for step in (5 * SECOND, -7 * SECOND):
        machine.kernel_ahead += step
        machine.steady += KERNEL_LOOK_PERIOD_US
        steps = clock.take_steps()
        assert (steps.process, steps.kernel) == (0, step)
        check_ages(machine, clock)
    assert not clock.take_steps()


def test_a_kernel_that_goes_by_another_clock_is_not_asked_for_ever(monkeypatch):
    """As where a library leads this process's clocks, the monotonic one too, at another pace."""
    machine = FakeClocks(monkeypatch)
    machine.kernel_ahead = machine.wall_ahead
    clock = clock_of(machine)
    for _ in range(2 * MAX_KERNEL_STEPS):
        machine.kernel_ahead += SECOND
        machine.steady += KERNEL_LOOK_PERIOD_US
        clock.update()
    assert clock.kernel is None and clock.difference == 0
    assert clock.is_unambiguous(machine.steady, machine.wall_ahead)
    clock.read_kernel_offset = lambda: pytest.fail("asked")
    machine.steady += KERNEL_LOOK_PERIOD_US
    clock.update()
    machine.kernel_ahead = None
    check_ages(machine, clock)


def test_the_kernels_clock_is_read_without_the_clock_of_this_process(monkeypatch):
    offset = (time.time_ns() - time.monotonic_ns()) // 1000
    monkeypatch.setattr(time, "time_ns", lambda: pytest.fail("read"))
    assert abs(kernel_clock.read_offset() - offset) < SECOND // 2
    before = len(os.listdir("/proc/self/fd"))
    for _ in range(3):
        kernel_clock.read_offset()
    assert len(os.listdir("/proc/self/fd")) == before


def test_without_a_free_descriptor_the_kernels_clock_is_not_told(monkeypatch):
    def no_descriptor(*_: object) -> None:
        raise OSError(errno.EMFILE, "none")

    monkeypatch.setattr(socket, "socketpair", no_descriptor)
    assert kernel_clock.read_offset() is None


def test_a_process_that_is_held_up_between_two_readings_sees_no_step(monkeypatch):
    machine = FakeClocks(monkeypatch)
    clock = clock_of(machine)
    for machine.held_up in (0, 150_000, 0):
        assert clock.age(machine.wall() - 1000, rounded_up(1000)) is not None
    assert not clock.process.former


def test_a_stamp_of_no_known_setting_tells_nothing(monkeypatch):
    machine = FakeClocks(monkeypatch)
    clock = clock_of(machine)
    assert clock.age(machine.wall() + SECOND, rounded_up(0)) is None
    assert clock.age(machine.wall() - MAX_STAMP_AGE_US - SECOND, rounded_up(0)) is None


HOUR = 3600 * SECOND


def listed(started: int) -> t.ListEntry:
    return t.ListEntry("e1", t.EndpointStatus.READY, "z", "k", "0", started)


@pytest.mark.parametrize("step", [-HOUR, -5 * SECOND, 5 * SECOND, HOUR])
@pytest.mark.parametrize("of_all", [False, True])
def test_an_endpoint_that_starts_after_a_step_is_cold_whichever_clock_was_set(step, of_all, monkeypatch):
    """Guards slow start: by a clock that was set back an hour, a start just now looks an hour old."""
    machine = FakeClocks(monkeypatch)
    clock = clock_of(machine)
    starts, ahead_before = StartTimes(clock), machine.wall_ahead
    machine.wall_ahead += step
    clock.update()
    now = machine.steady
    told = machine.wall() if of_all else now + ahead_before
    understood = starts.resolve(listed(told), now).started
    assert now - 2 * MIN_STEP_US <= understood <= now or understood > now
    machine.steady += SECOND
    assert starts.resolve(listed(told), now + SECOND).started == understood


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_a_whole_program_goes_slow_to_what_starts_after_its_clock_was_set(step, monkeypatch):
    """Guards against a clock set back by an hour: all endpoints that started from then on counted as warm at
    once."""
    monkeypatch.setattr(wall_clock, "SHARED", WallClock())
    read_wall = time.time_ns

    async def check(net: Net):
        await until(lambda: net.program.directory.accepts_attempts("e0"))
        monkeypatch.setattr(time, "time_ns", lambda: read_wall() + step * 1000)
        await until(lambda: "clock_set" in [event for event, _ in net.logs])
        net.discovery.change(net.discovery.rows[0], since_ms=(read_wall() // 1000 + step) // 1000)
        # the answer that confirms the list of the start has no entries
        await until(lambda: isinstance(net.events[-1], t.ListReceived) and net.events[-1].entries)
        started = net.events[-1].entries[0].started
        assert started
        assert abs(net.program.engine.clock.now() - started) < SECOND

    on_network(check, fine, discovery="push")


def test_a_start_that_was_heard_before_a_step_stays_what_it_was(monkeypatch):
    """Guards against a whole fleet that looks restarted, or cold, with the next whole list."""
    machine = FakeClocks(monkeypatch)
    clock = clock_of(machine)
    now = machine.steady
    starts, told, started = StartTimes(clock), machine.wall() - HOUR - SECOND, now - HOUR - SECOND
    assert starts.resolve(listed(told), now).started == started
    machine.wall_ahead -= HOUR
    clock.update()
    assert starts.resolve(listed(told), now).started == started
    starts.retain([])
    assert not starts.listed and not starts.converted


def test_while_no_clock_is_set_a_start_is_taken_as_it_is_told(monkeypatch):
    machine = FakeClocks(monkeypatch)
    starts, now = StartTimes(clock_of(machine)), machine.steady
    for age in (0, 1, SECOND, HOUR):
        assert starts.resolve(listed(machine.wall() - age), now).started == now - age
    assert starts.resolve(listed(machine.wall() + HOUR), now).started == now  # none can be to come
    long_ago = listed(0)
    assert starts.resolve(long_ago, now) is long_ago


LISTED_BEFORE = 2 * SECOND  # the list before was complete so long ago


@pytest.mark.parametrize("ahead", [0, SECOND, 30 * SECOND, HOUR, -30 * SECOND, -HOUR])
def test_what_is_new_on_the_list_is_cold_by_whichever_clock_its_start_was_taken(ahead, monkeypatch):
    """Guards slow start on a machine whose clock as a whole is not that of discovery and endpoints."""
    machine = FakeClocks(monkeypatch)
    starts, now = StartTimes(clock_of(machine)), machine.steady
    starts.resolve(listed(machine.wall() - HOUR), now)
    told = machine.wall() - SECOND - ahead
    started = starts.resolve(listed(told), now, now - LISTED_BEFORE).started
    assert 0 <= now - started <= LISTED_BEFORE
    assert starts.take_doubted() == ["e1"] * (ahead > MAX_LISTING_DELAY_US)
    assert starts.resolve(listed(told), now + SECOND, now).started == started


def test_what_comes_back_with_its_old_start_is_not_taken_for_restarted(monkeypatch):
    """Guards the share of endpoints that leave the list for a while, as in a partition."""
    machine = FakeClocks(monkeypatch)
    starts, now, told = StartTimes(clock_of(machine)), machine.steady, machine.wall() - HOUR
    assert starts.resolve(listed(told), now).started == now - HOUR
    starts.retain([])
    assert starts.resolve(listed(told), now, now - LISTED_BEFORE).started == now - HOUR
    assert not starts.take_doubted()


def test_what_was_long_on_a_list_that_is_new_here_is_taken_as_told(monkeypatch):
    machine = FakeClocks(monkeypatch)
    starts, now = StartTimes(clock_of(machine)), machine.steady
    assert starts.resolve(listed(machine.wall() - HOUR), now, None).started == now - HOUR


def test_the_starts_of_endpoints_that_left_are_bounded(monkeypatch):
    machine = FakeClocks(monkeypatch)
    starts, now = StartTimes(clock_of(machine)), machine.steady
    for number in range(MAX_DEPARTED + 7):
        starts.resolve(t.ListEntry(f"e{number}", t.EndpointStatus.READY, started=machine.wall()), now)
    starts.retain([])
    assert len(starts.departed) == MAX_DEPARTED and "e0" not in starts.departed


def test_a_whole_program_goes_slow_to_what_restarts_by_a_clock_an_hour_behind(monkeypatch):
    """Discovery's clock and the endpoints' are behind this machine's."""

    async def check(net: Net):
        program = net.program
        await until(lambda: program.discovery.list_age() is not None)
        started_ms, changed_at = time.time_ns() // 1_000_000 - HOUR // 1000, program.engine.clock.now()
        net.discovery.change(net.discovery.rows[0], since_ms=started_ms)
        await until(lambda: program.engine.sidecar.dispatcher.endpoints["e0"].cold_since is not None)
        assert program.engine.sidecar.dispatcher.endpoints["e0"].cold_since >= changed_at
        assert ("starts_doubted", {"members": ["e0"], "count": 1}) in net.logs

    on_network(check, fine, fine, invariants={"ask-within-s": 1.0, "cold-share": 0.2, "cold-s": 8})
