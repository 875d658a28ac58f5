"""The end of a program that races with its clients, forced by barriers; and deployments whose settings it
cannot serve. The table is docs/crossings.md."""

import os
import signal
import time

import anyio
import orjson
import pytest
from bed import Net, on_network, settings, wanted
from endpoint_acts import always, fine, seen, until
from start_bed import start

from lupinmill.protocol.http import Answer
from lupinmill.routing.client_handler import ClientHandler
from lupinmill.routing.response_writer import ResponseWriter


def send_termination_signal(net: Net) -> None:
    """Sends the signal to end, as the platform does."""
    os.kill(os.getpid(), signal.SIGTERM)


def is_stopping(net: Net) -> bool:
    return any(event == "stopped" for event, _ in net.logs)


def test_a_client_accepted_whose_task_has_not_begun_is_served_before_the_end(monkeypatch):
    """Guards against no response: clients counted from when their task ran, not from their acceptance."""
    turn, serves, answers = anyio.Event(), ClientHandler.serve, []

    async def held(self, client, welcome):
        await turn.wait()
        await serves(self, client, welcome)

    monkeypatch.setattr(ClientHandler, "serve", held)

    async def check(net: Net):
        send_termination_signal(net)
        await until(lambda: net.program.overrides.drain_deadline is not None)

        async def ask():
            answers.append(await net.ask(wanted("s1", deadline="5")))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            closes = net.program.overrides.close_connections_at
            await until(lambda: net.program.engine.clock.now() > closes or is_stopping(net))
            turn.set()
        assert answers[0] is not None and answers[0].status == 200

    net = on_network(check, fine)
    assert seen(net, "s1")


def test_an_answer_that_is_on_its_way_when_the_stay_is_over_still_reaches_its_client(monkeypatch):
    """Guards against a connection that ended without a byte: a settled request counted as answered."""
    passes, held = ResponseWriter.send_answer, anyio.Event()

    async def late(self, *args):
        await held.wait()
        return await passes(self, *args)

    async def check(net: Net):
        answers = []

        async def ask():
            answers.append(await net.ask(wanted("s1", deadline="0.9")))

        monkeypatch.setattr(ResponseWriter, "send_answer", late)
        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await until(lambda: seen(net, "s1"))
            send_termination_signal(net)
            await until(lambda: net.program.overrides.drain_deadline is not None)
            ends = net.program.overrides.drain_deadline
            await until(lambda: net.program.engine.clock.now() > ends + 100_000 or is_stopping(net))
            held.set()
        assert answers[0] is not None and answers[0].status == 200

    on_network(check, fine)


def test_a_second_signal_to_end_and_one_to_read_again_change_nothing_on_the_way_out():
    async def check(net: Net):
        send_termination_signal(net)
        await until(lambda: net.program.overrides.drain_deadline is not None)
        ends = net.program.overrides.drain_deadline
        answers = []

        async def ask():
            answers.append(await net.ask(wanted("s1", deadline="0.9")))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await until(lambda: seen(net, "s1"))
            send_termination_signal(net)
            os.kill(os.getpid(), signal.SIGHUP)
        assert answers[0].status == 200 and net.program.overrides.drain_deadline == ends

    net = on_network(check, always(Answer(200, [], b"late"), 0.3))
    assert not any(event.startswith("reload") for event, _ in net.logs)


@pytest.mark.parametrize("hard", [0.1, 3.0])
def test_all_that_is_sent_up_to_the_kill_is_answered_with_hanging_endpoints(tmp_path, hard):
    """Clients go on sending on what stays open, and endpoints hang; every request that was read has its
    response by the earliest moment of the kill: the hard limit and 0.7 s."""
    net = Net(
        [always("silent")],
        workloads=[
            one | {"contract-time-s": hard / 2, "hard-limit-s": hard} for one in settings()["workloads"]
        ],
    )
    lost, answered, told = [], set(), []

    async def keep_asking(number: int):
        """New connections for 0.4 s after the signal, as the platform brings them; on each as many requests
        as it takes."""
        host, port = net.address.split(":")
        at = 0
        while not told or time.monotonic() - told[0] < 0.4:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                for on_it in range(10_000):
                    at += 1
                    name = f"c{number}-{at}"
                    try:
                        await stream.send(wanted(name, deadline=str(hard)))
                        got = await stream.receive()
                    except (anyio.BrokenResourceError, anyio.EndOfStream):
                        if not on_it:
                            lost.append(name)  # else it raced with the close between two requests
                        break
                    answered.add(name)
                    if b"Connection: close" in got:
                        break

    async def main():
        with anyio.fail_after(30):
            async with anyio.create_task_group() as group:
                await net.start(group)
                process = start(tmp_path, net.table)
                net.address = orjson.loads(await anyio.to_thread.run_sync(process.stdout.readline))["listen"]
                try:
                    async with anyio.create_task_group() as inner:
                        for number in range(8):
                            inner.start_soon(keep_asking, number)
                        await until(lambda: len(answered) >= 8)
                        told.append(time.monotonic())
                        process.send_signal(signal.SIGTERM)
                        assert await anyio.to_thread.run_sync(process.wait) == 0
                finally:
                    process.kill()
                    out, err = process.communicate()
                assert err == b"" and orjson.loads(out.splitlines()[-1])["event"] == "stopped"
                group.cancel_scope.cancel()

    anyio.run(main)
    reached = {one.header(b"req-id") for one in net.stands[0].seen} - {None}
    assert reached and not lost and not reached - answered


CUSTOMER = settings()


def settings_with_workload(**more) -> dict:
    return {"workloads": [CUSTOMER["workloads"][1] | more]}


@pytest.mark.parametrize(
    "change, key",
    [
        (settings_with_workload(repeat="sometimes"), "settings.workloads.0.repeat"),
        (settings_with_workload(repeat=""), "settings.workloads.0.repeat"),
        (settings_with_workload(group="rack"), "settings.workloads.0.group"),
        (settings_with_workload(**{"hard-limit-s": -1}), "settings.workloads.0.hard-limit-s"),
        (settings_with_workload(**{"hard-limit-s": None}), "settings.workloads.0.hard-limit-s"),
        (settings_with_workload(**{"contract-time-s": "soon"}), "settings.workloads.0.contract-time-s"),
        (settings_with_workload(**{"window-s": 0}), "settings.workloads.0.window-s"),
        ({"discovery": "gossip"}, "settings.discovery"),
        ({"limits": CUSTOMER["limits"] | {"most-launches": 0}}, "settings.limits.most-launches"),
        ({"limits": CUSTOMER["limits"] | {"conn-idle-s": -1}}, "settings.limits.conn-idle-s"),
        ({"limits": CUSTOMER["limits"] | {"connect-timeout-s": "inf"}}, "settings.limits.connect-timeout-s"),
    ],
)
def test_a_customers_settings_that_can_not_be_served_end_the_start_in_one_line(tmp_path, change, key):
    """Guards against starting anyway: an unknown effect passed for one that must not be repeated, an unknown
    group for a cell."""
    table = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": CUSTOMER | change}
    process = start(tmp_path, table)
    try:
        out, err = process.communicate(timeout=10)
    finally:
        process.kill()
    assert process.returncode == 2 and out == b"" and err.count(b"\n") == 1
    assert f"{key}:" in err.decode()


def test_unknown_extra_keys_are_no_fault(tmp_path):
    from lupinmill.program.process_settings import parse_settings

    workloads = [one | {"colour": "red"} for one in CUSTOMER["workloads"]]
    more = CUSTOMER | {"tea": {"strength": "3"}, "workloads": workloads}
    told = parse_settings(
        {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": more, "extra": 1}, {}
    )
    assert [one.name for one in told.deployment.workloads] == ["view", "bid", "issue"]
