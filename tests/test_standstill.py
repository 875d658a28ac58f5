"""A process that was blocked: what lies unread from that time is read before anything is judged silent."""

import signal
import socket
import struct
from typing import NamedTuple

import anyio
import anyio.lowlevel
import pytest
from bed import Net, deployment, wanted
from process_bed import Processes, run_processes
from endpoint_acts import always, seen, until

from lupinmill.protocol.http import Answer, ClientSide, Request
from lupinmill.routing.deadline import Deadline
from lupinmill.routing.engine import LATE_WAKEUP_US, MAX_TIMER_HOLD_US, Engine
from lupinmill.transport.buffers import BlockPool
from lupinmill.transport.connection import Connection

ANSWERS_AFTER = 0.015  # seconds, of each endpoint
STILL = 0.4  # seconds, many times the usual, and less than an attempt has


class StandstillCase(NamedTuple):
    """How long endpoints take and the process is blocked, in seconds; what lies unread first; how often."""

    answers_after: float
    still: float
    comes_first: str
    rounds: int
    body: bytes = b"fine"


async def exchange(stream: anyio.abc.SocketStream, name: str) -> bytes:
    """The first bytes of the response; the rest is dropped."""
    await stream.send(wanted(name))
    side = ClientSide()
    side.ask(Request(b"POST", b"/view"))
    first = await stream.receive()
    side.feed(first)
    while side.next_answer() is None:
        side.feed(await stream.receive())
    return first


def run_case(case: StandstillCase, tmp_path) -> str:
    """Runs the case, checks what clients and endpoints saw, and returns the log."""
    net = Net([always(Answer(200, [], case.body), case.answers_after)] * 3)

    async def stand_still(process, number: int, streams) -> None:
        name, got = f"a{number}", []

        async def ask() -> None:
            got.append(await exchange(streams[0], name))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await until(lambda: seen(net, name))
            process.send_signal(signal.SIGSTOP)
            if case.comes_first == "answer":
                await anyio.sleep(2 * case.answers_after)
            await streams[1].send(wanted(f"b{number}"))
            await anyio.sleep(case.still)
            process.send_signal(signal.SIGCONT)
            other = await streams[1].receive()
        assert got[0].startswith(b"HTTP/1.1 200 ") and len(seen(net, name)) == 1, (got, seen(net, name))
        # The CPU was short: requests that arrived meanwhile may be turned away, and no attempt is made for
        # them then.
        assert other.startswith(b"HTTP/1.1 200 ") == len(seen(net, f"b{number}")), other

    async def check(processes: Processes, _) -> None:
        await processes.start()
        host, port = net.address.split(":")
        streams = [await anyio.connect_tcp(host, int(port)) for _ in range(2)]
        for at in range(30):
            assert (await exchange(streams[at % 2], f"w{at}")).startswith(b"HTTP/1.1 200 ")
        for number in range(case.rounds):
            await stand_still(processes.all[0], number, streams)
        for stream in streams:
            await stream.aclose()

    run_processes(check, net, tmp_path)
    log = (tmp_path / "log0").read_text()
    assert log.count('"lagging"') >= 1, "it did not stand still"
    return log


@pytest.mark.parametrize("comes_first", ["answer", "request"])
def test_an_answer_that_came_while_the_process_stood_still_is_no_silence(comes_first, tmp_path):
    """Guards against a request that is read before the response: all timers due by then fired at once, the
    endpoint was ejected as silent, and its request was retried."""
    case = StandstillCase(ANSWERS_AFTER, STILL, comes_first, rounds=3)
    assert "set aside" not in run_case(case, tmp_path)


def test_an_answer_of_many_reads_is_taken_after_a_standstill_past_its_attempts_time(tmp_path):
    """Guards against a pass of the event loop for each read: due timers fired between them, with 503 for the
    client and a second attempt."""
    case = StandstillCase(0.03, 0.7, "answer", rounds=2, body=b"x" * 60_000)
    assert "set aside" not in run_case(case, tmp_path)


def test_an_answer_within_its_attempts_time_is_taken_after_a_standstill_past_that_time(tmp_path):
    """Guards against an attempt that is ended by its own limit while its response lies unread: the client,
    whose deadline is later, got 503, and the endpoint was ejected."""
    # After the first round a margin is kept for lateness, and of a request's second an attempt has 0.66 s.
    case = StandstillCase(0.03, 0.7, "answer", rounds=2)
    assert "set aside" not in run_case(case, tmp_path)


SPAN = 0.1  # seconds


@pytest.mark.parametrize("moved_to", [None, SPAN / 2, 2 * SPAN])
def test_an_attempt_without_an_answer_ends_at_its_limit_wherever_that_is_moved(moved_to):
    """Guards against limits that no longer apply once a response is waited for."""

    async def check(ours: Connection, _: socket.socket) -> None:
        began = anyio.current_time()
        deadline = Deadline(began + SPAN)
        async with anyio.create_task_group() as group:
            group.start_soon(move_soon, deadline, began)
            with deadline.scope:
                await deadline.receive(ours, False)
        assert deadline.scope.cancelled_caught
        assert anyio.current_time() >= began + (moved_to or SPAN)
        assert deadline.at == began + (moved_to or SPAN)

    async def move_soon(deadline: Deadline, began: float) -> None:
        await anyio.lowlevel.checkpoint()
        if moved_to is not None:
            deadline.reschedule(began + moved_to)

    with_connection(check)


def test_what_lies_unread_at_the_limit_is_heard_and_nothing_after_it():
    async def check(ours: Connection, theirs: socket.socket) -> None:
        deadline = Deadline(anyio.current_time() - SPAN)
        theirs.send(b"came in time")
        with anyio.CancelScope() as deadline.scope:
            assert await deadline.receive(ours, False) == b"came in time"
            await deadline.receive(ours, False)
        assert deadline.scope.cancelled_caught

    with_connection(check)


def test_a_limit_holds_for_the_next_connection_after_one_that_broke():
    """Guards against probes that wait without end: a kept connection breaks, and the next one is silent."""

    async def check(ours: Connection, theirs: socket.socket) -> None:
        deadline = Deadline(anyio.current_time() + SPAN)
        theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        theirs.close()
        with deadline.scope:
            with pytest.raises(OSError):
                await deadline.receive(ours, False)
            deadline.reschedule(deadline.at)
            await anyio.sleep_forever()
        assert deadline.scope.cancelled_caught

    with_connection(check)


def with_connection(check) -> None:
    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listening:
            sock = socket.create_connection(listening.getsockname())
            theirs, _ = listening.accept()
        with Connection(sock, BlockPool(), lambda: None) as ours, theirs, anyio.fail_after(10):
            await check(ours, theirs)

    anyio.run(main)


class ManualClock:
    """A clock set by the test, in microseconds."""

    def __init__(self) -> None:
        self.moment = 1_000_000

    def now(self) -> int:
        return self.moment


def test_what_is_due_waits_for_what_lies_unread_but_never_for_long():
    """Guards deadlines when every pass of a crowded event loop is late."""
    clock = ManualClock()
    engine = Engine(deployment(), clock, lambda event, **fields: None)
    engine.wake_at = clock.moment
    clock.moment += LATE_WAKEUP_US
    assert engine.may_fire_timers(clock.now())
    clock.moment += 1
    assert not engine.may_fire_timers(clock.now())
    clock.moment += MAX_TIMER_HOLD_US
    assert not engine.may_fire_timers(clock.now())
    clock.moment += 1
    assert engine.may_fire_timers(clock.now())
    engine.fire_timer()
    assert engine.may_fire_timers(clock.now()) and engine.timers_held_since is None
