"""The door while it judges: defects, ends and cancels there cost one request at most, every request that was
read gets one answer, and the gate's count stays exact."""

import random
import time

import anyio
import pytest
from bed import Net, deployment, on_network, wanted
from test_crossings import arrived, connect
from test_sidecar import fine, seen, until

from lupinmill import terms as t
from lupinmill.limits.gate import Gate
from lupinmill.protocol import fast_path
from lupinmill.routing.book import Book
from lupinmill.routing.door import Door
from lupinmill.routing.engine import Clock, Engine
from lupinmill.transport.descriptors import Side


def defective(*_):
    raise RuntimeError("a defect")


def hold_all(net: Net):
    """A door behind which every request waits, and that is released by hand alone."""
    gate = net.program.door.gate
    gate.active, gate.window = True, 0.0
    gate.in_time, gate.beat = (lambda *_: True), (lambda *_: None)
    release, gate.release = gate.release, lambda now: []
    return gate, release


def failed(net: Net) -> list[dict]:
    return [fields for event, fields in net.logs if event == "task_failed"]


@pytest.mark.parametrize("judged_by", ["the loop's call", "the client's task"])
def test_a_defect_in_judging_costs_nobody_the_answer(judged_by):
    """Seen failing with no answer: bytes were read in the loop's call, which raised, and nobody was woken."""

    async def check(net: Net):
        gate = net.program.door.gate
        gate.beat = lambda *_: None
        gate.active = judged_by == "the loop's call"
        async with await connect(net) as stream:
            listener = net.program.descriptors.close_idle_client.__self__
            await until(lambda: listener.idle and next(iter(listener.idle)).waiting is not None)
            gate.active, gate.offer = True, defective
            await stream.send(wanted("s1"))
            with anyio.fail_after(5):
                assert (await stream.receive()).startswith(b"HTTP/1.1 200")
            gate.active = False
        assert [one["task"] for one in failed(net)] == ["door"]
        await until(lambda: gate.inside == 0)

    on_network(check, fine)


@pytest.mark.parametrize("part", ["left", "release"])
def test_a_defect_at_the_end_of_a_request_ends_no_program(part):
    """`leave` is called last of all in a client's task: what it raised ended the program's task group."""

    async def check(net: Net):
        gate = net.program.door.gate
        gate.beat = lambda *_: None
        if part == "release":
            gate.held = 1  # somebody waits, so that a release is due
        whole = getattr(gate, part)
        async with await connect(net) as stream:
            await stream.send(wanted("s1"))
            await arrived(net, "s1")
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
    """A backstop as behind the module. Seen failing as a client that waited for ever."""

    async def check(net: Net):
        gate, _ = hold_all(net)
        answer = await net.ask(wanted("s1", deadline="0.6"))
        assert answer is not None and answer.status == 503
        assert time.time_ns() // 1000 - net.began < 600_000
        assert gate.held == 0 and gate.inside == 0

    net = on_network(check, fine)
    assert not [event for event in net.events if isinstance(event, t.RequestArrived)]


def test_a_denial_that_was_written_in_part_is_followed_by_nothing(monkeypatch):
    """A client that takes no answers. Seen failing as a request served behind a part of its denial."""

    async def check(net: Net):
        gate = net.program.door.gate
        async with await connect(net) as stream:
            listener = net.program.descriptors.close_idle_client.__self__
            await until(lambda: listener.idle)
            gate.active, gate.window, gate.in_time = True, 0.0, lambda *_: False
            gate.beat = lambda *_: None
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


def test_a_request_that_is_held_when_the_program_ends_gets_an_answer():
    """Seen failing as a connection that ended with no answer."""
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
    """By what it has left its turn is judged. Seen failing as an offer with all of the time told."""
    offers = []

    async def check(net: Net):
        gate = net.program.door.gate
        gate.beat = lambda *_: None
        offer = gate.offer
        gate.offer = lambda now, one: (offers.append(one), offer(now, one))[1]
        gate.active, gate.window = True, 10.0
        async with await connect(net) as stream:
            listener = net.program.descriptors.close_idle_client.__self__
            await until(lambda: listener.idle)
            await stream.send(wanted("s1", deadline="8"))
            time.sleep(0.2)  # the loop lags
            assert (await stream.receive()).startswith(b"HTTP/1.1 200")
        gate.active = False

    on_network(check, fine)
    (offer,) = offers
    assert offer.left <= 7_800_000


# --- the gate's count, whatever order things come in ------------------------------------------------------


class StandIn:
    """What the door needs of a client."""

    def __init__(self, chance: random.Random) -> None:
        self.chance, self.sock = chance, self
        self.inside = self.asked = self.broken = self.left = self.owed = False
        self.offer = None
        self.end = anyio.Event()

    def send(self, data: bytes) -> int:
        if self.chance.random() < 0.1:
            raise ConnectionResetError
        return len(data) - (self.chance.random() < 0.1)

    def waited_for(self, left: int) -> int:
        return 0

    def look(self) -> bool:
        self.left = self.left or self.end.is_set()
        return self.left

    async def gone(self) -> None:
        await self.end.wait()


@pytest.mark.parametrize("seed", range(12))
def test_drawn_cancels_ends_and_defects_leave_the_gates_count_exact(seed):
    chance = random.Random(seed)
    d = deployment()

    async def main() -> Gate:
        gate = Gate(d)
        engine = Engine(d, Clock(), lambda *_, **__: None)
        door = Door(gate, Book(engine), lambda *_, **__: None)
        gate.beat = lambda *_: None
        gate.active, gate.window, gate.carries = True, 2.0, 1000.0
        clients: list[StandIn] = []

        async def serve(client: StandIn) -> None:
            try:
                while chance.random() < 0.8:
                    data = wanted(
                        "s", chance.choice(["view", "bid"]), "0.3" if chance.random() < 0.3 else "8"
                    )
                    if not door.judge(client, data):
                        continue
                    await pause()  # its task is woken in a later pass, or is cancelled before
                    if not await door.wait(client):
                        if client.broken:
                            return
                        continue
                    door.enter(client)
                    await pause()
                    if chance.random() < 0.1:
                        raise RuntimeError("a defect")
                    door.leave(client)
            except RuntimeError:
                pass
            finally:
                door.leave(client)

        async def pause() -> None:
            for _ in range(chance.randrange(4)):
                await anyio.sleep(0)

        with anyio.fail_after(20):
            async with anyio.create_task_group() as group:
                for _ in range(60):
                    client = StandIn(chance)
                    clients.append(client)
                    scope = anyio.CancelScope()

                    async def under(client=client, scope=scope) -> None:
                        with scope:
                            await serve(client)

                    group.start_soon(under)
                    await pause()
                    draw = chance.random()
                    if draw < 0.2:
                        clients[chance.randrange(len(clients))].end.set()
                    elif draw < 0.4:
                        scope.cancel()
                    elif draw < 0.6:
                        door.release()
                    inside = sum(one.inside for one in clients)
                    assert gate.inside == inside and gate.held == sum(line.length for line in gate.order)
                gate.window = 1000.0
                for _ in range(50):
                    door.release()
                    await anyio.sleep(0)
                for one in clients:
                    one.end.set()
        return gate

    gate = anyio.run(main)
    assert gate.inside == 0 and gate.held == 0


@pytest.mark.parametrize("end", ["bytes", "close"])
def test_a_busy_door_leaves_the_others_their_turn_and_sees_to_its_clients_afterwards(end):
    """Bytes or an end lie unread while it is busy, so that the loop calls in each of its passes."""

    async def check(net: Net):
        door = net.program.door
        door.gate.beat = lambda *_: None
        door.gate.active, door.gate.window = True, 10.0
        listener = net.program.descriptors.close_idle_client.__self__
        stream = await connect(net)
        await until(lambda: listener.idle)
        calls, busy = [], door.busy
        door.busy = lambda: (calls.append(None), True)[1]
        if end == "bytes":
            await stream.send(wanted("s1"))
        else:
            await stream.aclose()
        passes = 0
        while len(calls) < 50:
            passes += 1
            await anyio.sleep(0)
        assert passes >= 25  # one call in a pass of the loop, beside which others ran
        assert listener.idle
        door.busy = busy
        if end == "bytes":
            assert (await stream.receive()).startswith(b"HTTP/1.1 200")
            await stream.aclose()
        await until(lambda: net.program.descriptors.open[Side.CLIENT] == 0)
        door.gate.active = False

    net = on_network(check, fine)
    assert not failed(net)
