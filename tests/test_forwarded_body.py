"""The body that several attempts read, compared with a model through random interleavings."""

import socket
import struct

import anyio
import pytest
from bed import Net, on_network, wanted
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from endpoint_acts import fine, until
from test_size import chunked, noise

from lupinmill.protocol.http import END, Request, ServerSide
from lupinmill.routing import request_body as bodies
from lupinmill.routing.request_body import BodyUnavailable, RequestBody
from lupinmill.transport.buffers import MemoryBudget

SEARCH = hypothesis_settings(derandomize=True, deadline=None, max_examples=400)
OTHER = 1_000  # bytes of the memory budget that other bodies hold
LARGEST_PART = 9
LARGE = 1_300_000  # bytes; more than are collected before an attempt begins
AHEAD = 12  # in place of the module's


class Attempt:
    """Reads part after part, like `AttemptRunner.send_body`; the test allows each step."""

    def __init__(self, body: RequestBody) -> None:
        self.body, self.got, self.number = body, b"", 0
        self.end = ""  # "whole", "gone" or "cancelled"
        self.scope = anyio.CancelScope()
        self.steps = 0
        self.told = anyio.Event()

    async def run(self) -> None:
        with self.scope:
            if not self.body.can_restart():
                self.end = "gone"
                return
            while not self.end:
                await self.turn()
                await self.read_part()
        self.end = self.end or "cancelled"

    async def turn(self) -> None:
        while not self.steps:
            await self.told.wait()
            self.told = anyio.Event()
        self.steps -= 1

    async def read_part(self) -> None:
        try:
            part = await self.body.read(len(self.got), self.number)
        except BodyUnavailable:
            self.end = "gone"
            return
        if not part:
            self.end = "whole"
        self.got, self.number = self.got + bytes(part), self.number + 1

    def step(self) -> None:
        self.steps += 1
        self.told.set()


async def settle() -> None:
    """Lets every task run that can."""
    for _ in range(8):
        await anyio.lowlevel.checkpoint()


class Model:
    """A body, its source and its attempts, driven step by step."""

    def __init__(self, room: int, sizes: list[int], launched: bool) -> None:
        self.memory = MemoryBudget(OTHER + room)
        assert self.memory.lease(OTHER)
        self.body = RequestBody(self.memory, None)
        self.sizes, self.launched = sizes, launched
        self.written, self.put = b"", 0
        self.attempts: list[Attempt] = []
        self.busy = self.dropped = False

    async def put_part(self, size: int) -> None:
        data = bytes((len(self.written) + at) % 251 for at in range(size))
        self.busy = True
        before = self.body.end
        await self.body.put(bytearray(data), self.launched)
        assert self.body.end == before + (0 if self.body.dropped else size)
        if not self.body.dropped:
            self.written += data
        self.busy = False

    async def act(self, group, action: str, which: int) -> None:
        if action == "put" and not self.busy and not self.body.complete and self.sizes:
            group.start_soon(self.put_part, self.sizes.pop())
        elif action == "finish" and not self.busy:
            self.body.finish()
        elif action == "attempt" and len(self.attempts) < 3:
            self.attempts.append(Attempt(self.body))
            group.start_soon(self.attempts[-1].run)
        elif self.attempts and action in ("step", "cancel"):
            attempt = self.attempts[which % len(self.attempts)]
            attempt.step() if action == "step" else attempt.scope.cancel()
        elif action == "drop" and self.body.complete:
            self.body.drop()
        await settle()
        self.check()

    def check(self) -> None:
        body = self.body
        kept = b"".join(bytes(part) for part in body.parts)
        assert self.memory.leased == OTHER + body.leased <= self.memory.limit
        assert 0 <= body.leased <= len(kept)
        if not body.dropped:
            assert kept == self.written[body.start :] and body.end == len(self.written)
        assert len(kept) <= body.leased + AHEAD + LARGEST_PART or not self.launched
        furthest = max((len(attempt.got) for attempt in self.attempts), default=0)
        assert body.start <= furthest, "let go of what no attempt has read"
        for attempt in self.attempts:
            assert self.written.startswith(attempt.got)
            if attempt.end == "whole":
                assert attempt.got == self.written and body.complete
            if attempt.end == "gone":
                assert body.dropped or body.start > 0


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["put", "put", "step", "step", "step", "attempt", "cancel", "finish", "drop"]),
        st.integers(0, 2),
    ),
    max_size=60,
)


@SEARCH
@given(
    st.integers(0, 60),
    st.lists(st.integers(1, LARGEST_PART), min_size=1, max_size=25),
    ACTIONS,
    st.booleans(),
)
def test_each_attempt_reads_what_was_put_and_the_lease_is_given_back(room, sizes, actions, launched):
    made = Model(room, list(sizes), launched)

    async def main() -> None:
        with anyio.fail_after(20):
            async with anyio.create_task_group() as group:
                for action, which in [("attempt", 0), *actions]:
                    await made.act(group, action, which)
                await the_rest(group)

    async def the_rest(group) -> None:
        """The source writes to its end while each remaining attempt reads on; none may be stuck."""
        for _ in range(40 * len(sizes)):
            await made.act(group, "put", 0)
            for attempt in made.attempts:
                attempt.step()
            if not made.sizes and not made.busy:
                made.body.finish()
        await settle()
        made.check()
        reading = [one for one in made.attempts if not one.end]
        assert not reading, "an attempt waits for what never comes"
        made.body.drop()
        await settle()
        assert not made.busy, "the source waits on a body that nobody wants"

    before, bodies.MAX_UNSENT_BYTES = bodies.MAX_UNSENT_BYTES, AHEAD
    try:
        anyio.run(main)
    finally:
        bodies.MAX_UNSENT_BYTES = before
    assert made.memory.leased == OTHER and made.body.leased == 0 and not made.body.parts


# --- on sockets ---------------------------------------------------------------------------------


class Resetting:
    """An endpoint that serves small requests, and resets a connection in the middle of a large one."""

    def __init__(self, cut: int) -> None:
        self.cut, self.reset = cut, []

    async def attend(self, stream) -> None:
        side, came, request = ServerSide(), 0, None
        async with stream:
            try:
                while came < self.cut:
                    data = await stream.receive()
                    came += len(data)
                    side.feed(data)
                    part = side.next_part()
                    while part is not None:
                        request = part if isinstance(part, Request) else request
                        if part is END:
                            await stream.send(side.answer(await fine(request), False))
                            side.goes_on()
                            came = 0
                        part = side.next_part()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
            self.reset.append(request.header(b"req-id"))
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


@pytest.mark.parametrize("form", ["length", "chunked"])
@pytest.mark.parametrize("cut", [20_000, 70_000, 200_000])
def test_a_large_body_whose_attempt_was_reset_in_the_middle_is_the_same_at_the_next_endpoint(form, cut):
    resetting, again = Resetting(cut), []

    async def check(net: Net):
        for at in range(60):  # after this many there is something to repeat with
            assert (await net.ask(wanted(f"w{at}"))).status == 200
        for at in range(20):
            body = noise(300_000, at)
            data = wanted(f"s{at}", body=body) if form == "length" else chunked(f"s{at}", body, at)
            answer = await net.ask(data)
            if answer.status == 200:
                assert answer.body == b"done-s%d" % at
                again.extend([f"s{at}"] if f"s{at}" in resetting.reset else [])
            else:
                assert (answer.status, f"s{at}" in resetting.reset) == (503, True)
            if len(again) >= 2:
                break
        await until(lambda: net.program.body_memory.leased == 0)

    net = on_network(check, fine, fine, endpoint=resetting.attend)
    assert again, "no request was repeated"
    seen = [one for one in net.stands[1].seen if (one.header(b"req-id") or "w").startswith("s")]
    names = [one.header(b"req-id") for one in seen]
    assert set(again) <= set(names) and len(set(names)) == len(names)
    for one, name in zip(seen, names, strict=True):
        assert one.body == noise(300_000, int(name[1:]))
        assert (one.method, one.target) == (b"POST", b"/view?q=1")
        assert one.header(b"idempotency-key") == f"k-{name}"


def test_a_request_that_is_rejected_as_its_last_bytes_arrive_never_runs(monkeypatch):
    """Guards against a rejection whose attempt still writes: a task that is about to run is cancelled only
    where it waits next (soak, seed 8540)."""
    data = wanted("s1", body=noise(LARGE, 1))

    async def check(net: Net):
        table, finish = net.program.request_table, RequestBody.finish

        def finish_and_reject(body: RequestBody) -> None:
            finish(body)
            table.reject_unsent(table.pending_requests["s1"])

        def waits_for_the_rest() -> bool:
            pending = table.pending_requests.get("s1")
            return pending is not None and pending.body.read_up_to == LARGE - 10

        monkeypatch.setattr(RequestBody, "finish", finish_and_reject)
        host, port = net.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(data[:-10])
            await until(waits_for_the_rest)
            await anyio.sleep(0.05)
            await stream.send(data[-10:])
            assert (await stream.receive()).startswith(b"HTTP/1.1 503 ")
            await anyio.sleep(0.1)
        assert not [one for one in net.stands[0].seen if one.header(b"req-id")]

    on_network(check, fine)
