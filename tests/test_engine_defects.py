"""Defects of the decision module, of the execution of its commands, and of the tasks that make attempts: each
costs only the request that it is about, which is answered at once; the program and other requests go on."""

import anyio
import pytest
from bed import Net, deployment, on_network, settings, wanted
from test_crossings import PATIENT, module_is_idle
from endpoint_acts import always, fine, seen, until

from lupinmill import terms as t
from lupinmill.protocol.http import Answer
from lupinmill.routing import engine as engines
from lupinmill.routing.engine import Engine
from lupinmill.transport.clocks import MonotonicClock
from lupinmill.workings import RequestTimeout

NO_PROBES = settings()["limits"] | {"probes": False}
LONG = [one | {"contract-time-s": 8.0, "hard-limit-s": 9.0} for one in settings()["workloads"]]


def fail_on(net: Net, handler: str, which) -> None:
    """Makes the dispatcher raise on the events that `which` selects, before it handles them."""
    dispatcher = net.program.engine.sidecar.dispatcher
    handlers = {kind: handle for kind, handle in dispatcher.handlers.items() if handle.__name__ == handler}
    ((kind, handle),) = handlers.items()

    def failing(event):
        if which(event):
            raise ZeroDivisionError("planted")
        handle(event)

    dispatcher.handlers[kind] = failing


def logged(net: Net, event: str) -> list[dict]:
    return [fields for name, fields in net.logs if name == event]


def test_an_arrival_that_the_module_fails_on_is_answered_long_before_its_deadline():
    async def check(net: Net):
        fail_on(net, "on_request_arrived", lambda event: event.request == "bad")
        with anyio.fail_after(4):  # its deadline is 8 s away
            answer = await net.ask(wanted("bad", "issue", "8.0"))
        assert answer.status == 502
        assert (await net.ask(wanted("s1", "issue", "8.0"))).status == 200
        await module_is_idle(net)

    net = on_network(check, fine, workloads=PATIENT, limits=NO_PROBES)
    assert not seen(net, "bad") and len(logged(net, "module_failed")) == 1


@pytest.mark.parametrize("how", [Answer(500), "reset"])
def test_an_outcome_that_the_module_fails_on_ends_its_request_at_once(how):
    async def check(net: Net):
        fail_on(
            net,
            "on_attempt_ended",
            lambda event: event.request == "bad" and event.outcome is not t.Outcome.CALLED_OFF,
        )
        with anyio.fail_after(4):
            assert (await net.ask(wanted("bad", "issue", "8.0"))).status == 502
        net.stands[0].act = fine
        assert (await net.ask(wanted("s1", "issue", "8.0"))).status == 200
        await module_is_idle(net)  # the module counts no attempt at the endpoint any more

    net = on_network(check, always(how), workloads=PATIENT, limits=NO_PROBES)
    assert len(logged(net, "module_failed")) == 1


def test_outcomes_that_cannot_be_told_end_neither_the_program_nor_another_request():
    """Guards against an exception that leaves the attempt's task and ends all other tasks of the program."""

    async def check(net: Net):
        ended = net.program.request_table.report_attempt_ended

        def broken(pending, *more):
            if pending.metadata.request_id == "bad":
                raise KeyError("planted")
            ended(pending, *more)

        net.program.request_table.report_attempt_ended = broken
        with anyio.fail_after(4):
            assert (await net.ask(wanted("bad", "issue", "8.0"))).status == 502
        net.stands[0].act = fine
        assert (await net.ask(wanted("s1", "issue", "8.0"))).status == 200
        assert not net.program.request_table.pending_requests

    net = on_network(check, always(Answer(500)), workloads=PATIENT, limits=NO_PROBES)
    assert logged(net, "task_failed")


def test_a_probe_whose_outcome_cannot_be_told_does_not_end_the_program():
    async def check(net: Net):
        engine = net.program.engine
        tell = engine.handle_event

        def broken(event):
            if isinstance(event, t.ProbeEnded):
                raise KeyError("planted")
            tell(event)

        engine.handle_event = broken
        engine.command_handlers[t.StartProbe](t.StartProbe("e0"))
        await until(lambda: logged(net, "task_failed"))
        engine.handle_event = tell
        assert (await net.ask(wanted("s1"))).status == 200

    on_network(check, fine, limits=NO_PROBES)


# --- timers -------------------------------------------------------------------------------------------


class Asleep:
    """A module that sets a timer once, as the real one does, and fails on one type of event."""

    def __init__(self, at: int) -> None:
        self.at, self.armed, self.woken = at, False, []
        self.message_queue = self
        self.commands: list = []

    def step(self, now: int, events: list, fire_timers: bool = True) -> list:
        self.commands = []
        if isinstance(events[0], t.RequestCancelled):
            self.commands = [t.WriteLog("ordered before the failure")]
            raise ZeroDivisionError("planted")
        if isinstance(events[0], t.TimerFired):
            self.woken.append(now)
        if not self.armed:
            self.armed = True
            self.commands.append(t.SetTimer(self.at, 1))
        return self.commands


def engine_of(logs: list) -> Engine:
    return Engine(deployment(), MonotonicClock(), lambda event, **fields: logs.append((event, fields)))


def test_a_failure_loses_no_wake_up_that_the_module_counts_on():
    """Guards against the timer after a failure replacing the module's own, which is not set again: what was
    due then waited for the next event from outside."""
    logs: list = []

    async def main() -> None:
        engine = engine_of(logs)
        now = engine.clock.now()
        engine.sidecar = module = Asleep(now + 300_000)
        engine.handle_event(t.RequestBodyReceived("s0", now))
        engine.handle_event(t.RequestCancelled("s1"))
        with anyio.move_on_after(10):
            async with anyio.create_task_group() as group:
                group.start_soon(engine.run_timer)
                await until(lambda: [at for at in module.woken if at >= module.at])
                group.cancel_scope.cancel()
        assert [at for at in module.woken if at >= module.at], "never woken when it had asked to be"

    anyio.run(main)
    assert ("mode", {"text": "ordered before the failure"}) in logs


def test_after_a_failure_the_step_goes_on_soon_however_far_the_next_wake_up_is():
    async def main() -> None:
        engine = engine_of([])
        now = engine.clock.now()
        engine.sidecar = Asleep(now + 3_600_000_000)
        engine.handle_event(t.RequestBodyReceived("s0", now))
        engine.handle_event(t.RequestCancelled("s1"))
        assert engine.next_wake() - engine.clock.now() <= engines.RESUME_DELAY_US

    anyio.run(main)


def test_failures_in_a_row_go_on_ever_later_up_to_a_tenth_of_a_second():
    async def main() -> None:
        engine = engine_of([])
        engine.sidecar = Asleep(engine.clock.now() + 3_600_000_000)
        for _ in range(50):
            engine.handle_event(t.RequestCancelled("s1"))
        assert engine.resume_delay == engines.MAX_RESUME_DELAY_US
        engine.handle_event(t.RequestBodyReceived("s0", 0))
        assert engine.resume_delay == engines.RESUME_DELAY_US

    anyio.run(main)


# --- commands -------------------------------------------------------------------------------------------


def test_an_order_that_cannot_be_carried_out_loses_none_behind_it_and_tells_from_within_wait():
    logs, done = [], []

    async def main() -> None:
        engine = engine_of(logs)
        engine.sidecar = Asleep(engine.clock.now() + 1_000_000)

        def raising(command):
            engine.handle_event(t.RequestBodyReceived("inner", 0))
            done.append("told")
            raise KeyError("planted")

        engine.command_handlers |= {
            t.StartAttempt: raising,
            t.RejectRequest: lambda command: done.append("denied"),
        }
        engine.sidecar.step = lambda now, events, fire_timers: (
            [t.StartAttempt("s1", "e0", 0), t.RejectRequest("s2")]
            if events[0].request == "outer"
            else done.append("inner") or []
        )
        engine.handle_event(t.RequestBodyReceived("outer", 0))
        assert done == ["told", "denied", "inner"] and not engine.events and not engine.stepping

    anyio.run(main)
    assert [event for event, _ in logs] == ["order_failed"]


def test_a_launch_of_what_is_over_here_frees_its_place_in_the_module():
    """The module failed on the end of a request, and keeps it open. Guards against a command for it that
    raises, so that the attempt counts at the endpoint for good."""

    async def check(net: Net):
        engine, dispatcher = net.program.engine, net.program.engine.sidecar.dispatcher
        due = engine.clock.now() + 8_000_000
        # of no client: the request table does not know it
        engine.handle_event(t.RequestArrived("ghost", "issue", due))
        await until(lambda: not dispatcher.requests)
        assert dispatcher.in_flight == 0 and not any(
            state.in_flight for state in dispatcher.endpoint_states.values()
        )
        assert (await net.ask(wanted("s1", "issue"))).status == 200

    net = on_network(check, fine, workloads=LONG, limits=NO_PROBES)
    assert not seen(net, "ghost") and len(logged(net, "order_failed")) == 1


def test_requests_around_failing_ones_each_get_one_answer_and_nothing_stays_behind():
    """Guards against outcomes that the module fails on and that count at their endpoint for good."""

    async def check(net: Net):
        chosen = {f"s{at}" for at in range(0, 60, 3)}
        fail_on(
            net, "on_request_arrived", lambda event: event.request in chosen and int(event.request[1:]) % 2
        )
        fail_on(
            net,
            "on_attempt_ended",
            lambda event: event.request in chosen and event.outcome is t.Outcome.HANDLED,
        )
        got = {}

        async def ask(first: int) -> None:
            for at in range(first, 60, 2):
                got[f"s{at}"] = (await net.ask(wanted(f"s{at}", "issue", "8.0"))).status

        with anyio.fail_after(15):
            async with anyio.create_task_group() as group:
                group.start_soon(ask, 0)
                group.start_soon(ask, 1)
        assert len(got) == 60
        assert {name: status for name, status in got.items() if name not in chosen and status != 200} == {}
        await module_is_idle(net)

    net = on_network(check, fine, workloads=PATIENT, limits=NO_PROBES)
    assert logged(net, "module_failed")


def test_a_failure_on_an_alarm_ends_the_request_that_it_was_about_and_not_the_one_just_told_of():
    """Guards against a 502 for the request that arrives in the step in which another request's timer
    fails."""

    async def check(net: Net):
        engine = net.program.engine
        step, planted = engine.sidecar.step, []

        def failing(now, events, fire_timers):
            commands = step(now, events, fire_timers)
            if not planted and isinstance(events[0], t.RequestArrived) and events[0].request == "innocent":
                planted.append(1)
                engine.sidecar.message_queue.commands = commands
                error = ZeroDivisionError("planted")
                error.about = RequestTimeout(engine.sidecar.dispatcher.requests["waits"], True)
                raise error
            return commands

        engine.sidecar.step = failing
        got = {}

        async def ask(name: str) -> None:
            got[name] = (await net.ask(wanted(name, "issue", "8.0"))).status

        with anyio.fail_after(6):
            async with anyio.create_task_group() as group:
                group.start_soon(ask, "first")
                await until(lambda: "first" in net.program.request_table.pending_requests)
                engine.sidecar.dispatcher.cap = 0.1  # one attempt at a time: the next requests are held
                group.start_soon(ask, "waits")
                await until(lambda: "waits" in net.program.request_table.pending_requests)
                group.start_soon(ask, "innocent")
                await until(lambda: "waits" in got)
                assert got == {"waits": 502}
                release.set()
        assert got == {"waits": 502, "first": 200, "innocent": 200}
        await module_is_idle(net)

    release = anyio.Event()

    async def act(request):
        if request.header(b"req-id") == "first":
            await release.wait()
        return await fine(request)

    on_network(check, act, workloads=PATIENT, limits=NO_PROBES)
