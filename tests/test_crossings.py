"""Races between two events, on real sockets, in the order that was or might be wrong. Each test holds one
event back until the other has happened, by a barrier or a stand-in that stops at a given byte; none relies on
sleeping. The table of all races is docs/crossings.md."""

import socket
from contextlib import AsyncExitStack

import anyio
import pytest
from bed import Net, on_network, settings, wanted
from endpoint_acts import DECLINED, always, fine, seen, until

from lupinmill import terms as t
from lupinmill.protocol.http import Answer
from lupinmill.routing import client_handler
from lupinmill.transport.connection_pool import MIN_IDLE_S
from lupinmill.transport.descriptors import RESERVED_DESCRIPTORS, ConnectionKind
from lupinmill.transport.listener import Client


async def connect(net: Net) -> anyio.abc.SocketStream:
    host, port = net.address.split(":")
    return await anyio.connect_tcp(host, int(port))


async def request_arrived(net: Net, name: str) -> None:
    await until(
        lambda: any(isinstance(event, t.RequestArrived) and event.request == name for event in net.events)
    )


async def request_cancelled(net: Net) -> None:
    await until(lambda: any(isinstance(event, t.RequestCancelled) for event in net.events))


# A request that waits in vain is rejected at once: only long contract times let it wait.
PATIENT = [one | {"contract-time-s": 8.0, "hard-limit-s": 9.0} for one in settings()["workloads"]]


class UnlistedNet(Net):
    """Endpoints that no list names before `list_all`: until then all requests are held."""

    def __init__(self, acts, **more) -> None:
        super().__init__(acts, workloads=PATIENT, discovery="push", **more)

    async def start(self, group) -> None:
        await super().start(group)
        self.rows, self.discovery.rows = self.discovery.rows, []
        self.table["known"]["endpoints"] = []


class LongLimitsNet(Net):
    """Workloads with long hard limits."""

    def __init__(self, acts, **more) -> None:
        super().__init__(acts, workloads=PATIENT, **more)


def list_all(net: UnlistedNet) -> None:
    net.discovery.rows = net.rows
    for row in net.rows:
        net.discovery.change(row)


async def module_is_idle(net: Net) -> None:
    """Nothing is left in the decision module either."""
    dispatcher = net.program.engine.sidecar.dispatcher
    await until(lambda: not net.program.request_table.pending_requests and not dispatcher.requests)
    assert (
        dispatcher.waiting == 0
        and dispatcher.in_flight == 0
        and not any(endpoint.in_flight for endpoint in dispatcher.endpoint_states.values())
    )


# --- a client disconnects while its request waits -------------------------------------------------------


@pytest.mark.parametrize("behind", [b"\r\n", b"junk", wanted("s2"), b"x" * 300_000])
def test_a_client_that_sent_more_and_left_is_noticed_while_its_submission_waits(behind):
    """Guards against a missing RequestCancelled: once bytes had arrived instead of an end, nothing looked for
    the end."""

    async def check(net: Net):
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="8"))
            await request_arrived(net, "s1")
            await stream.send(behind)
        await request_cancelled(net)
        assert net.program.engine.sidecar.dispatcher.waiting == 0
        list_all(net)
        await until(lambda: net.program.directory.states)
        assert (await net.ask(wanted("s3"))).status == 200
        await module_is_idle(net)

    net = on_network(check, fine, net_of=UnlistedNet)
    assert not seen(net, "s1") and not seen(net, "s2") and seen(net, "s3")


def test_what_came_ahead_of_its_turn_is_served_in_its_turn():
    async def check(net: Net):
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="8"))
            await request_arrived(net, "s1")
            second = wanted("s2", body=b"x" * 30_000)
            await stream.send(second[:20_000])
            await until(lambda: any(client.pipelined for client in clients(net)))
            list_all(net)
            got = await stream.receive()
            assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"done-s1")
            await stream.send(second[20_000:])
            got = await stream.receive()
            assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"done-s2")

    def clients(net: Net) -> list[Client]:
        return [one.client for one in net.program.request_table.pending_requests.values()]

    net = on_network(check, fine, net_of=UnlistedNet)
    (second,) = [one for one in net.stands[0].seen if one.header(b"req-id") == "s2"]
    assert second.body == b"x" * 30_000


def test_a_client_that_sends_on_without_end_is_answered_and_its_connection_closed():
    """Pipelined bytes beyond what is kept are dropped, so the connection cannot continue."""

    async def check(net: Net):
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="8"))
            await request_arrived(net, "s1")
            await stream.send(b"GET /view HTTP/1.1\r\n" + b"x" * 400_000)
            list_all(net)
            got = await stream.receive()
            assert got.startswith(b"HTTP/1.1 200") and b"Connection: close" in got
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                while True:
                    await stream.receive()

    net = on_network(check, fine, net_of=UnlistedNet)
    assert seen(net, "s1")


def test_a_client_that_left_while_it_was_held_at_the_door_is_not_taken_up():
    """Guards against an attempt: nobody checked a connection while its request was held by admission
    control."""

    async def check(net: Net):
        gate = net.program.admission.gate
        gate.active, gate.window = True, 0.0
        gate.is_in_time, gate.record_lateness = (lambda *_: True), (lambda *_: None)
        release, gate.release = gate.release, lambda now: []
        held = wanted("s1", deadline="8")
        async with await connect(net) as stream:
            await stream.send(held)
            await until(lambda: gate.held)
        await until(lambda: not gate.held)  # its place in the queue is freed at once
        gate.window, gate.release = 8.0, release
        net.program.admission.release()
        assert (await net.ask(wanted("s2"))).status == 200
        assert gate.inside == 0 and gate.held == 0

    net = on_network(check, fine)
    assert not any(isinstance(event, t.RequestArrived) and event.request == "s1" for event in net.events)
    assert not seen(net, "s1")


def test_a_turn_at_the_door_that_crosses_the_clients_end_takes_nothing_up():
    """The end lies unread in the very pass of the event loop in which the request's turn comes."""

    async def check(net: Net):
        door, gate = net.program.admission, net.program.admission.gate
        gate.active, gate.window = True, 0.0
        gate.is_in_time, gate.record_lateness = (lambda *_: True), (lambda *_: None)
        release, gate.release = gate.release, lambda now: []
        with socket.create_connection(net.address.rsplit(":", 1)) as sock:
            sock.send(wanted("s1", deadline="8"))
            await until(lambda: gate.held)
            await until(
                lambda: [one for line in gate.queues_by_priority for one in line.waiting if one.token.scope]
            )
            (offer,) = [one for line in gate.queues_by_priority for one in line.waiting]
        assert offer.client.sock.recv(1, socket.MSG_PEEK) == b""  # it has arrived, and nobody has looked
        gate.window, gate.release = 8.0, release
        door.release()
        assert offer.client.admitted
        await until(lambda: offer.client.closed)
        assert gate.inside == 0

    net = on_network(check, fine)
    assert not any(isinstance(event, t.RequestArrived) for event in net.events)


def test_a_launch_in_the_pass_in_which_the_client_left_is_not_written(monkeypatch):
    """Guards a lagging event loop: the end lies unread while the attempt starts. The endpoint must get no
    request."""

    async def never(client):
        await anyio.sleep_forever()

    async def check(net: Net):
        monkeypatch.setattr("lupinmill.routing.attempt_runner.UNSEEN_AGE_US", 0, raising=False)
        monkeypatch.setattr(Client, "wait_disconnected", never)  # the watching task has not run yet
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="8"))
            await request_arrived(net, "s1")
            await stream.send(b"more")
        list_all(net)
        await until(lambda: net.ended())
        await module_is_idle(net)

    net = on_network(check, fine, net_of=UnlistedNet)
    assert net.ended() == [t.Outcome.UNSENT] and not seen(net, "s1")


def disable_unseen_checks(monkeypatch):
    """Makes the decision depend on the connection itself, however long this run takes."""
    for name in ("UNSEEN_AGE_US", "UNSEEN_LATENESS_US"):
        monkeypatch.setattr(f"lupinmill.routing.attempt_runner.{name}", 10**12, raising=False)


def test_a_client_that_left_in_the_kernels_queue_while_no_place_was_free_is_launched_nowhere(monkeypatch):
    """Descriptors are exhausted, a client sends and disconnects, then a descriptor becomes free: its request
    and its end are read in one pass, with timestamps of just now. Guards against a request at the endpoint,
    on the kept connection that needs no pass of its own."""
    disable_unseen_checks(monkeypatch)
    # clients that are turned away keep their places
    monkeypatch.setattr(client_handler, "TURN_AWAY_TIMEOUT_S", 60.0)
    there, go_on = anyio.Event(), anyio.Event()

    async def act(request):
        if request.header(b"req-id") == "hog":
            there.set()
            await go_on.wait()
        return await fine(request)

    async def check(net: Net):
        assert (await net.ask(wanted("s0"))).status == 200
        (kept,) = net.program.connection_pool.idle["e0"]
        kept.idle_since -= MIN_IDLE_S
        await until(lambda: net.program.descriptors.open[ConnectionKind.CLIENT] == 0)
        listener = net.program.descriptors.close_idle_client.__self__
        net.program.descriptors.client_limit = 1
        async with AsyncExitStack() as crowd:
            hog = await connect(net)
            await hog.send(wanted("hog", deadline="8"))
            await there.wait()
            for _ in range(RESERVED_DESCRIPTORS // 2):
                await crowd.enter_async_context(await connect(net))
            await until(lambda: listener.turning_away == RESERVED_DESCRIPTORS // 2)
            async with await connect(net) as stream:
                await stream.send(wanted("s1", deadline="8"))
            go_on.set()
            await hog.receive()
            (kept,) = net.program.connection_pool.idle["e0"]
            kept.idle_since -= MIN_IDLE_S
            await hog.aclose()
            await request_arrived(net, "s1")
            await module_is_idle(net)

    net = on_network(check, act, net_of=LongLimitsNet)
    assert seen(net, "hog") and not seen(net, "s1")


@pytest.mark.parametrize("before", [0, 1])
def test_a_client_that_leaves_under_its_first_launch_gets_no_further_one(before, monkeypatch):
    """Its end lies unread when the retry is due: nobody has looked, and it is not 0.1 s old. `before`:
    requests already answered on this connection; on one that was watched the loop's lag is what tells."""
    disable_unseen_checks(monkeypatch)

    async def never(client):
        await anyio.sleep_forever()

    turned, left = anyio.Event(), anyio.Event()

    async def act(request):
        if request.header(b"req-id") == "s1":
            turned.set()
            await left.wait()
            return DECLINED
        return await fine(request)

    async def check(net: Net):
        net.program.engine.sidecar.dispatcher.new_requests.add(net.program.engine.clock.now(), 1000.0)
        async with await connect(net) as stream:
            for at in range(before):
                await stream.send(wanted(f"b{at}"))
                await stream.receive()
            monkeypatch.setattr(Client, "wait_disconnected", never)
            if before:
                monkeypatch.setattr("lupinmill.routing.attempt_runner.UNSEEN_LATENESS_US", -1)
            await stream.send(wanted("s1", deadline="8"))
            await turned.wait()
        left.set()
        await until(lambda: len(net.ended()) >= 1 + before)
        await module_is_idle(net)

    net = on_network(check, act, act, limits=settings()["limits"] | {"probes": False}, net_of=LongLimitsNet)
    assert len(seen(net, "s1")) == 1


def test_the_time_of_a_request_runs_while_the_one_that_came_with_it_is_served(monkeypatch):
    """The kernel gives no arrival time. Guards against an attempt with all 8 s as its deadline: the time was
    counted from when its turn came, and its response could arrive after its hard limit."""
    monkeypatch.setattr("lupinmill.transport.connection.ANCILLARY_SIZE", 0)
    monkeypatch.setattr("lupinmill.transport.client.ANCILLARY_SIZE", 0)
    monkeypatch.setattr("lupinmill.transport.connection.LAST_DATA_OFFSET", 10_000)
    there, go_on, told = anyio.Event(), anyio.Event(), []

    async def act(request):
        if request.header(b"req-id") == "s1":
            there.set()
            await go_on.wait()
        elif request.header(b"req-id") == "s2":
            told.append(float(request.header(b"req-deadline")))
        return await fine(request)

    async def check(net: Net):
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="8") + wanted("s2", deadline="8"))
            await there.wait()
            began = anyio.current_time()
            await anyio.sleep(0.3)
            waited = anyio.current_time() - began
            go_on.set()
            await until(lambda: told)
            assert told[0] <= 8.0 - waited
        await module_is_idle(net)

    on_network(check, act, net_of=LongLimitsNet)


@pytest.mark.parametrize("stamped", [True, False])
def test_the_time_of_a_request_runs_while_it_waits_in_the_kernels_queue(stamped, monkeypatch):
    """Nothing is accepted while two clients send, and the kernel gives no arrival time. Guards against
    attempts with all 8 s as their deadline. A connection that arrives at an empty queue has all of its
    time."""
    if not stamped:
        monkeypatch.setattr("lupinmill.transport.connection.ANCILLARY_SIZE", 0)
        monkeypatch.setattr("lupinmill.transport.connection.LAST_DATA_OFFSET", 10_000)
    told = {}

    async def act(request):
        told[request.header(b"req-id")] = float(request.header(b"req-deadline"))
        return await fine(request)

    async def check(net: Net):
        listener = net.program.descriptors.close_idle_client.__self__
        accept_all = listener.accept_all
        held, go_on = anyio.Event(), anyio.Event()

        async def later(group, serve):
            held.set()
            await go_on.wait()
            await accept_all(group, serve)

        listener.accept_all = later
        async with await connect(net) as first, await connect(net) as second:
            await held.wait()
            await first.send(wanted("s1", deadline="8"))
            await second.send(wanted("s2", deadline="8"))
            began = anyio.current_time()
            await anyio.sleep(0.3)
            waited = anyio.current_time() - began
            go_on.set()
            await until(lambda: len(told) == 2)
            assert max(told.values()) <= 8.0 - waited
            listener.accept_all = accept_all
        await until(lambda: net.program.descriptors.open[ConnectionKind.CLIENT] == 0)
        async with await connect(net) as third:
            await third.send(wanted("s3", deadline="8"))
            await until(lambda: len(told) == 3)
            assert told["s3"] > 8.0 - waited
        await module_is_idle(net)

    on_network(check, act, net_of=LongLimitsNet)


def test_a_client_that_left_while_its_body_waited_for_room_is_noticed_at_the_launch(monkeypatch):
    """A body that there is no room for is not read, so its end lies behind unread bytes."""
    monkeypatch.setattr("lupinmill.routing.attempt_runner.UNSEEN_AGE_US", 0, raising=False)

    async def check(net: Net):
        net.program.body_memory.limit = 0
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="5", body=b"x" * 900_000)[:-400_000])
            await request_arrived(net, "s1")
            await until(lambda: net.program.request_table.pending_requests["s1"].body.end > 65_536)
        list_all(net)
        await until(lambda: net.ended())
        await module_is_idle(net)

    net = on_network(check, fine, net_of=UnlistedNet)
    assert net.ended() == [t.Outcome.UNSENT] and net.stands[0].open == 0


@pytest.mark.parametrize("held_by", ["a retry delay", "a full endpoint", "a connection that comes up late"])
def test_a_client_that_leaves_gives_back_its_place_wherever_its_submission_is_held(held_by):
    """With bytes behind the request each time, so that the end is not the only thing that wakes the task."""
    turned = anyio.Event()

    async def act(request):
        if request.header(b"req-id") == "s1" and held_by == "a retry delay":
            turned.set()
            return DECLINED
        if request.header(b"req-id") == "hog":
            turned.set()
            await gone.wait()
        return await fine(request)

    gone = anyio.Event()

    async def check(net: Net):
        dispatcher = net.program.engine.sidecar.dispatcher
        if held_by == "a retry delay":
            dispatcher.new_requests.add(dispatcher.message_queue.now, 1000.0)  # the budget allows one
            dispatcher.random_source.upto = lambda ceiling: ceiling  # the longest delay
        if held_by == "a connection that comes up late":
            opens = net.program.connection_pool.open

            async def late(address):
                turned.set()
                with anyio.CancelScope(shield=True):
                    await gone.wait()
                return await opens(address)

            net.program.connection_pool.open = late
        async with anyio.create_task_group() as group:
            if held_by == "a full endpoint":
                dispatcher.cap, dispatcher.settings.cap_growth = 1.0, 0.0
                group.start_soon(net.ask, wanted("hog", deadline="8"))
                await turned.wait()
            async with await connect(net) as stream:
                await stream.send(wanted("s1", deadline="8"))
                await turned.wait()
                await request_arrived(net, "s1")
                await stream.send(b"more")
            await request_cancelled(net)
            assert "s1" not in dispatcher.requests or dispatcher.requests["s1"].done
            gone.set()
        assert (await net.ask(wanted("s2"))).status == 200
        await module_is_idle(net)

    limits = settings()["limits"] | {"probes": False}
    net = on_network(check, act, limits=limits, workloads=PATIENT)
    assert len(seen(net, "s1")) == (held_by == "a retry delay")


def test_an_answer_still_comes_to_a_client_that_sent_more_and_stays():
    async def check(net: Net):
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="8") + b"\r\n\r\n")
            got = await stream.receive()
            assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"done-s1")

    on_network(check, always(Answer(200, [], b"done-s1"), 0.1))
