"""Admission control while it evaluates requests: exceptions, disconnects and cancellations there cost one
request at most, every request that was read gets one response, and the gate's count stays exact."""

import random
import time

import anyio
import pytest
from bed import Net, deployment, on_network, wanted
from test_crossings import connect, request_arrived
from endpoint_acts import fine, seen, until

from lupinmill import terms as t
from lupinmill.limits.gate import AdmissionGate
from lupinmill.protocol import fast_path
from lupinmill.routing.admission import AdmissionController
from lupinmill.routing.engine import Engine
from lupinmill.routing.request_table import RequestTable
from lupinmill.transport import listener
from lupinmill.transport.buffers import MemoryBudget, MemoryLease
from lupinmill.transport.clocks import MonotonicClock
from lupinmill.transport.descriptors import ConnectionKind


def defective(*_):
    raise RuntimeError("a defect")


def hold_all(net: Net):
    """Holds every request, and releases only when the test says so."""
    gate = net.program.admission.gate
    gate.active, gate.window = True, 0.0
    gate.is_in_time, gate.record_lateness = (lambda *_: True), (lambda *_: None)
    release, gate.release = gate.release, lambda now: []
    return gate, release


def failed(net: Net) -> list[dict]:
    return [fields for event, fields in net.logs if event == "task_failed"]


@pytest.mark.parametrize("judged_by", ["the loop's call", "the client's task"])
def test_a_defect_in_judging_costs_nobody_the_answer(judged_by):
    """Guards against no response: bytes were read in the event loop's callback, which raised, and no task was
    woken."""

    async def check(net: Net):
        gate = net.program.admission.gate
        gate.record_lateness = lambda *_: None
        gate.active = judged_by == "the loop's call"
        async with await connect(net) as stream:
            listener = net.program.descriptors.close_idle_client.__self__
            await until(lambda: listener.idle and next(iter(listener.idle)).waiting is not None)
            gate.active, gate.admit = True, defective
            await stream.send(wanted("s1"))
            with anyio.fail_after(5):
                assert (await stream.receive()).startswith(b"HTTP/1.1 200")
            gate.active = False
        assert [one["task"] for one in failed(net)] == ["door"]
        await until(lambda: gate.inside == 0)

    on_network(check, fine)


@pytest.mark.parametrize("part", ["finished", "release"])
def test_a_defect_at_the_end_of_a_request_ends_no_program(part):
    """`leave` is the last call of a client's task: an exception from it ended the program's task group."""

    async def check(net: Net):
        gate = net.program.admission.gate
        gate.record_lateness = lambda *_: None
        if part == "release":
            gate.held = 1  # a request is held, so that a release is due
        whole = getattr(gate, part)
        async with await connect(net) as stream:
            await stream.send(wanted("s1"))
            await request_arrived(net, "s1")
            setattr(gate, part, defective)
        await until(lambda: failed(net))
        setattr(gate, part, whole)
        gate.held = 0
        assert (await net.ask(wanted("s2"))).status == 200
        await until(lambda: net.program.descriptors.open[next(iter(net.program.descriptors.open))] == 0)

    async def slow(request):
        if request.header(b"req-id") == "s1":
            await anyio.sleep_forever()
        return await fine(request)

    net = on_network(check, slow)
    assert {one["task"] for one in failed(net)} <= {"door", "client"}


def test_a_request_whose_turn_is_never_called_is_denied_in_its_time():
    """A backstop like that behind the decision module. Guards against a client that waits for ever."""

    async def check(net: Net):
        gate, _ = hold_all(net)
        answer = await net.ask(wanted("s1", deadline="0.6"))
        assert answer is not None and answer.status == 503
        assert time.time_ns() // 1000 - net.began < 600_000
        assert gate.held == 0 and gate.inside == 0

    net = on_network(check, fine)
    assert not [event for event in net.events if isinstance(event, t.RequestArrived)]


def test_a_denial_that_was_written_in_part_is_followed_by_nothing(monkeypatch):
    """A client that does not read. Guards against a request served behind a part of its rejection."""

    async def check(net: Net):
        gate = net.program.admission.gate
        async with await connect(net) as stream:
            listener = net.program.descriptors.close_idle_client.__self__
            await until(lambda: listener.idle)
            gate.active, gate.window, gate.is_in_time = True, 0.0, lambda *_: False
            gate.record_lateness = lambda *_: None
            monkeypatch.setattr(fast_path, "rejection", lambda come_back: b"x" * (16 << 20))
            await stream.send(wanted("s1"))
            got = b""
            try:
                while True:
                    got += await stream.receive(1 << 20)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass
            assert got.strip(b"x") == b""

    net = on_network(check, fine)
    assert not seen(net, "s1") and not [event for event in net.events if isinstance(event, t.RequestArrived)]


def test_a_connection_whose_first_request_was_denied_is_kept_like_any_used_one(monkeypatch):
    """Guards against a connection that is closed while the client sends its second request: its first was
    denied in the loop's call, and the time for a new connection's first byte ran on (seen in review/3 beside
    busy processes)."""
    monkeypatch.setattr(listener, "REQUEST_TIMEOUT_S", 0.2)

    async def check(net: Net):
        gate = net.program.admission.gate
        gate.record_lateness = lambda *_: None
        gate.active, gate.window, gate.is_in_time = True, 0.0, lambda *_: False
        async with await connect(net) as stream:
            await stream.send(wanted("s1"))
            assert (await stream.receive()).startswith(b"HTTP/1.1 503 ")
            gate.active = False
            await anyio.sleep(0.4)
            await stream.send(wanted("s2"))
            assert (await stream.receive()).startswith(b"HTTP/1.1 200 ")

    on_network(check, fine)


def test_a_request_that_is_held_when_the_program_ends_gets_an_answer():
    """Guards against a connection that ended with no response."""
    held = []

    async def check(net: Net):
        gate, _ = hold_all(net)
        stream = await connect(net)
        held.append(stream)
        await stream.send(wanted("s1", deadline="8"))
        await until(lambda: gate.held)

    async def then(net: Net):
        await check(net)
        net.sock = held[0].extra(anyio.abc.SocketAttribute.raw_socket).dup()

    net = on_network(then, fine)
    with net.sock as sock:
        sock.setblocking(True)
        assert sock.recv(4096).startswith(b"HTTP/1.1 50")


def test_the_time_that_a_request_waited_for_the_loop_counts_at_the_door():
    """Its turn depends on the time it has left. Guards against an offer with the whole deadline."""
    offers = []

    async def check(net: Net):
        gate = net.program.admission.gate
        gate.record_lateness = lambda *_: None
        offer = gate.admit
        gate.admit = lambda now, one: (offers.append(one), offer(now, one))[1]
        gate.active, gate.window = True, 10.0
        async with await connect(net) as stream:
            listener = net.program.descriptors.close_idle_client.__self__
            await until(lambda: listener.idle)
            await stream.send(wanted("s1", deadline="8"))
            time.sleep(0.2)  # the event loop lags
            assert (await stream.receive()).startswith(b"HTTP/1.1 200")
        gate.active = False

    on_network(check, fine)
    (offer,) = offers
    assert offer.time_left <= 7_800_000


# --- the gate's count, in whatever order things happen ----------------------------------------------------


class FakeClient:
    """What admission control needs of a client."""

    def __init__(self, random_source: random.Random, budget: MemoryBudget) -> None:
        self.random_source, self.sock = random_source, self
        self.admitted = self.has_requested = self.unwritable = self.disconnected = self.response_due = False
        self.waiter = None
        self.memory, self.held_size = MemoryLease(budget), 0
        self.end = anyio.Event()

    def send(self, data: bytes) -> int:
        if self.random_source.random() < 0.1:
            raise ConnectionResetError
        return len(data) - (self.random_source.random() < 0.1)

    def max_elapsed_wait(self, left: int) -> int:
        return 0

    def check_disconnected(self) -> bool:
        self.disconnected = self.disconnected or self.end.is_set()
        return self.disconnected

    async def wait_disconnected(self) -> None:
        await self.end.wait()


@pytest.mark.parametrize("seed", range(12))
def test_drawn_cancels_ends_and_defects_leave_the_gates_count_exact(seed):
    random_source = random.Random(seed)
    d = deployment()
    budget = MemoryBudget(1_000)  # a few held requests

    async def main() -> AdmissionGate:
        gate = AdmissionGate(d)
        engine = Engine(d, MonotonicClock(), lambda *_, **__: None)
        admission = AdmissionController(gate, RequestTable(engine), lambda *_, **__: None)
        gate.record_lateness = lambda *_: None
        gate.active, gate.window, gate.peak_rate = True, 2.0, 1000.0
        clients: list[FakeClient] = []

        async def serve(client: FakeClient) -> None:
            try:
                while random_source.random() < 0.8:
                    data = wanted(
                        "s",
                        random_source.choice(["view", "bid"]),
                        "0.3" if random_source.random() < 0.3 else "8",
                    )
                    if not admission.evaluate(client, data):
                        continue
                    await pause()  # its task is woken in a later pass, or is cancelled before
                    if not await admission.wait_for_turn(client):
                        if client.unwritable:
                            return
                        continue
                    admission.enter(client)
                    await pause()
                    if random_source.random() < 0.1:
                        raise RuntimeError("a defect")
                    admission.leave(client)
            except RuntimeError:
                pass
            finally:
                admission.leave(client)

        async def pause() -> None:
            for _ in range(random_source.randrange(4)):
                await anyio.sleep(0)

        with anyio.fail_after(20):
            async with anyio.create_task_group() as group:
                for _ in range(60):
                    client = FakeClient(random_source, budget)
                    clients.append(client)
                    scope = anyio.CancelScope()

                    async def under(client=client, scope=scope) -> None:
                        with scope:
                            await serve(client)

                    group.start_soon(under)
                    await pause()
                    draw = random_source.random()
                    if draw < 0.2:
                        clients[random_source.randrange(len(clients))].end.set()
                    elif draw < 0.4:
                        scope.cancel()
                    elif draw < 0.6:
                        admission.release()
                    inside = sum(one.admitted for one in clients)
                    assert gate.inside == inside and gate.held == sum(
                        line.length for line in gate.queues_by_priority
                    )
                gate.window = 1000.0
                for _ in range(50):
                    admission.release()
                    await anyio.sleep(0)
                for one in clients:
                    one.end.set()
        return gate

    gate = anyio.run(main)
    assert gate.inside == 0 and gate.held == 0 and budget.leased == 0
    assert 0 < budget.peak <= budget.limit


@pytest.mark.parametrize("end", ["bytes", "close"])
def test_a_busy_door_leaves_the_others_their_turn_and_sees_to_its_clients_afterwards(end):
    """Bytes or an end lie unread while it is busy, so that the event loop calls back in each pass."""

    async def check(net: Net):
        admission = net.program.admission
        admission.gate.record_lateness = lambda *_: None
        admission.gate.active, admission.gate.window = True, 10.0
        listener = net.program.descriptors.close_idle_client.__self__
        stream = await connect(net)
        await until(lambda: listener.idle)
        calls, busy = [], admission.busy
        admission.busy = lambda: (calls.append(None), True)[1]
        if end == "bytes":
            await stream.send(wanted("s1"))
        else:
            await stream.aclose()
        passes = 0
        while len(calls) < 50:
            passes += 1
            await anyio.sleep(0)
        assert passes >= 25  # one call per pass of the loop, beside which other tasks ran
        assert listener.idle
        admission.busy = busy
        if end == "bytes":
            assert (await stream.receive()).startswith(b"HTTP/1.1 200")
            await stream.aclose()
        await until(lambda: net.program.descriptors.open[ConnectionKind.CLIENT] == 0)
        admission.gate.active = False

    net = on_network(check, fine)
    assert not failed(net)
