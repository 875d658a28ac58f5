"""Endpoints that end, stop or send out of turn at a given moment, and outcomes that meet in one pass of the
event loop; random sequences of all of it, checked by an independent referee. The table is
docs/crossings.md."""

import itertools
import math
import random
import socket
import struct
import time

import anyio
import pytest
from bed import Net, on_network, settings, wanted
from test_crossings import connect, module_is_idle
from endpoint_acts import DECLINED, always, fine, seen, until

from lupinmill import terms as t
from lupinmill.program.process_settings import parse_settings
from lupinmill.protocol import client_requests
from lupinmill.protocol.http import Answer, Request
from lupinmill.routing.command_executor import CommandExecutor
from lupinmill.routing.deadline import Deadline
from lupinmill.routing.engine import Engine
from lupinmill.routing.request_table import Attempt, PendingRequest, RequestTable
from lupinmill.transport import connection as transport
from lupinmill.transport.clocks import MonotonicClock

NO_PROBES = settings()["limits"] | {"probes": False}
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"


def reset(stream) -> None:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def until_end_of(stream, marker: bytes) -> bytes:
    got = b""
    while marker not in got:
        got += await stream.receive()
    return got


@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("end", [reset, lambda stream: None])
def test_an_end_right_behind_the_last_byte_may_have_run_and_is_not_launched_again(kept, end):
    came = []

    async def endpoint(stream):
        async with stream:
            if kept:
                came.append(await until_end_of(stream, b"\r\n\r\n"))
                await stream.send(OK)
            came.append(await until_end_of(stream, b"\r\n\r\n"))
            end(stream)

    async def check(net: Net):
        if kept:
            assert (await net.ask(wanted("s0"))).status == 200
            (one,) = net.program.connection_pool.idle["e0"]
            one.idle_since -= 1.0  # idle for long enough
        assert (await net.ask(wanted("s1", "issue", "0.9"))).status == 502
        await module_is_idle(net)

    net = on_network(check, fine, endpoint=endpoint, limits=NO_PROBES)
    assert net.ended()[kept:] == [t.Outcome.RESET]
    assert len([one for one in came if b"Req-Id: s1" in one]) == 1


@pytest.mark.parametrize("kept", [False, True])
def test_a_reset_while_the_kernel_holds_a_part_of_the_request_never_ran(kept, monkeypatch):
    """The endpoint reads some of the request and resets; the kernel never accepted its last byte."""
    makes, cut = transport.stream_socket, []

    def narrow(host):
        sock = makes(host)
        if not cut:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    async def endpoint(stream):
        async with stream:
            if kept and not cut:
                await until_end_of(stream, b"\r\n\r\n")
                await stream.send(OK)
            if not cut:
                raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                cut.append(await until_end_of(stream, b"Req-Id: s1"))
                reset(stream)
                return
            await until_end_of(stream, b"xyz")
            await stream.send(OK)

    async def check(net: Net):
        monkeypatch.setattr(transport, "stream_socket", narrow)
        net.program.engine.sidecar.dispatcher.new_requests.add(net.program.engine.clock.now(), 1000.0)
        if kept:
            assert (await net.ask(wanted("s0"))).status == 200
            (one,) = net.program.connection_pool.idle["e0"]
            one.idle_since -= 1.0
        body = b"x" * (60_000 if kept else 3_000_000) + b"xyz"  # more than the kernels hold at once
        answer = await net.ask(wanted("s1", "issue", "5", body=body))
        assert answer.status in (200, 503)  # retried, or rejected: both say that nothing ran
        await module_is_idle(net)

    net = on_network(check, fine, endpoint=endpoint, limits=NO_PROBES)
    assert cut and set(net.ended()[kept:]) <= {t.Outcome.UNCONNECTED, t.Outcome.HANDLED, t.Outcome.UNSENT}


@pytest.mark.parametrize("head", [b"X-Pad: " + b"p" * 40_000 + b"\r\n", b"X-Pad: p\r\n" * 4_000])
def test_an_answer_whose_head_is_too_large_is_spoilt_and_its_connection_closed(head):
    async def endpoint(stream):
        async with stream:
            await until_end_of(stream, b"\r\n\r\n")
            await stream.send(b"HTTP/1.1 200 OK\r\n" + head + b"Content-Length: 2\r\n\r\nok")
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await stream.receive()

    async def check(net: Net):
        assert (await net.ask(wanted("s1", "issue", "0.9"))).status == 502
        await module_is_idle(net)

    net = on_network(check, fine, endpoint=endpoint, limits=NO_PROBES)
    assert net.ended() == [t.Outcome.SPOILT]


def test_an_answer_in_drops_is_given_up_before_the_hard_limit_and_leaves_nothing():
    """Each byte arrives within the allowed pause: the response never stops, and it never ends."""

    async def endpoint(stream):
        async with stream:
            await until_end_of(stream, b"\r\n\r\n")
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n")
            try:
                while True:
                    await stream.send(b"d")
                    await anyio.sleep(0.02)
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                pass

    async def check(net: Net):
        assert (await net.ask(wanted("s1", "issue", "0.5"))).status == 502
        await module_is_idle(net)

    net = on_network(check, fine, endpoint=endpoint, limits=NO_PROBES)
    assert net.ended() == [t.Outcome.CALLED_OFF] or net.ended() == [t.Outcome.TIMED_OUT]


# --- outcomes that meet in one pass ---------------------------------------------------------------------


def event_orders():
    moves = ("answered", "called off", "timed out", "denied", "withdrawn")
    for count in (2, 3):
        yield from itertools.permutations(moves, count)


@pytest.mark.parametrize("moves", list(event_orders()), ids=" then ".join)
def test_of_outcomes_in_one_pass_one_is_told_and_one_answer_given(moves):
    """In each order, with no pass of the event loop between them."""

    async def main():
        told = []
        table = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": settings()}
        engine = Engine(parse_settings(table, {}).deployment, MonotonicClock(), lambda *_, **__: None)
        engine.handle_event = told.append
        request_table = RequestTable(engine)
        async with anyio.create_task_group() as group:
            executor = CommandExecutor(engine, request_table, None, group)
            request = Request(b"GET", b"/view", [(b"Req-Id", b"s1"), (b"Req-Deadline", b"1")])
            metadata = client_requests.parse(request, {"view"})
            pending = PendingRequest(
                metadata, request, engine.clock.now() + 1_000_000, None, engine.clock.now()
            )
            request_table.add(pending)
            attempt = Attempt("e0", 0, engine.clock.now(), Deadline(math.inf), fully_sent=True)
            pending.attempts.append(attempt)
            answers = []

            def settled():
                if pending.settled and not answers:
                    answers.append(pending.answer)

            for move in moves:
                if move == "answered":
                    request_table.attempt_ended(pending, attempt, t.Outcome.HANDLED, Answer(200), None)
                elif move == "called off":
                    executor.cancel_attempt(t.CancelAttempt("s1", 0))
                elif move == "timed out":
                    request_table.attempt_ended(pending, attempt, t.Outcome.TIMED_OUT, None, None)
                elif move == "denied":
                    executor.reject_request(t.RejectRequest("s1", 0))
                else:
                    request_table.withdraw(pending)
                settled()
            if attempt.in_flight:
                request_table.attempt_ended(pending, attempt, t.Outcome.CALLED_OFF, None, None)
            if not pending.settled:
                executor.abort_response(t.AbortResponse("s1"))
                settled()
            assert pending.answer is answers[0]  # the first answer stands
            assert sum(isinstance(event, t.AttemptEnded) for event in told) == 1
            assert sum(isinstance(event, t.RequestCancelled) for event in told) <= 1
            # the attempt was put there by the test
            assert not request_table.pending_requests and request_table.unattempted == 1

    anyio.run(main)


# --- random sequences -----------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(4))
def test_drawn_sequences_of_leaves_ends_lists_and_moves_keep_the_rules(seed):
    """The referee sees only what clients and endpoints recorded: who ran what and when, who got what, who
    disconnected and when. It knows nothing of the program."""
    random_source = random.Random(seed)
    ran: dict[str, list[tuple[int, float]]] = {}
    got: dict[str, Answer | None] = {}
    left: dict[str, float] = {}
    kinds: dict[str, str] = {}

    def endpoint(number: int):
        async def act(request):
            name = request.header(b"req-id")
            if name is None:
                return Answer(200, [], b"queue=0,util=0.1")
            what = random_source.random()
            if what < 0.1:
                return DECLINED
            ran.setdefault(name, []).append((number, time.monotonic()))
            await anyio.sleep(random_source.uniform(0, 0.25))
            if what < 0.2:
                return random_source.choice(["reset", "cut", "garbled", "silent"])
            return Answer(200, [], b"done-" + name.encode())

        return act

    async def stay(net: Net, name: str, kind: str) -> None:
        got[name] = await net.ask(wanted(name, kind, "0.9"))

    async def leave(net: Net, name: str, kind: str) -> None:
        async with await connect(net) as stream:
            await stream.send(wanted(name, kind, "0.9"))
            await anyio.sleep(random_source.uniform(0, 0.1))
            try:
                await stream.send(
                    random_source.choice([b"\r\n", wanted(name + "x", kind), b"junk", b"GET /view"])
                )
            except anyio.BrokenResourceError:
                pass  # it has sent its response and closed
            left[name] = left[name + "x"] = time.monotonic()
            kinds[name + "x"] = kind

    async def lists_move(net: Net) -> None:
        while True:
            await anyio.sleep(random_source.uniform(0.02, 0.15))
            row = random_source.choice(net.discovery.rows)
            net.discovery.change(row, status="SERVING" if row["status"] != "SERVING" else "DRAINING")
            if random_source.random() < 0.3:
                net.program.discovery.move(net.discovery.address)

    async def check(net: Net):
        net.program.engine.sidecar.dispatcher.cap = 2.0
        async with anyio.create_task_group() as mover:
            mover.start_soon(lists_move, net)
            async with anyio.create_task_group() as clients:
                for at in range(120):
                    await anyio.sleep(random_source.uniform(0, 0.02))
                    name, kind = f"s{at}", random_source.choice(["view", "bid", "issue"])
                    kinds[name] = kind
                    clients.start_soon(leave if random_source.random() < 0.3 else stay, net, name, kind)
            mover.cancel_scope.cancel()
        await module_is_idle(net)

    net = on_network(check, *(endpoint(number) for number in range(4)), limits=NO_PROBES)
    defects = ("task_failed", "module_failed", "order_failed", "backstop")
    assert not [event for event, _ in net.logs if event in defects]
    assert len(got) > 60 and len(left) > 30
    for name, answer in got.items():
        assert answer is not None, f"{name} was lost"
        assert answer.status in (200, 502, 503)
        if answer.status == 200:
            assert answer.body == b"done-" + name.encode(), f"{name} got another's answer"
        if answer.status == 503 and kinds[name] != "view":
            assert not ran.get(name), f"{name} ran and was denied"
    for name, runs in ran.items():
        if kinds[name] == "issue":
            assert len(runs) == 1, f"{name} ran {runs}"
        if kinds[name] == "bid":
            assert len({number % 2 for number, _ in runs}) == 1, f"{name} ran in both groups"
        if name in left:
            assert all(at - left[name] < 1.0 for _, at in runs), f"{name} was sent on for nobody"


def test_a_client_in_every_state_leaves_nothing_when_the_program_ends():
    """All at once: idle, half a request, held, in flight, response unread."""

    async def check(net: Net):
        streams = [await connect(net) for _ in range(4)]
        await streams[1].send(wanted("s1")[:30])
        await streams[2].send(wanted("s2", "issue"))
        await streams[3].send(wanted("s3") + wanted("s4"))
        await until(lambda: seen(net, "s2") and seen(net, "s3"))
        for stream in streams:
            await stream.aclose()
        await until(
            lambda: net.program.descriptors.open == dict.fromkeys(net.program.descriptors.open, 0)
            or not net.program.request_table.pending_requests
        )
        await module_is_idle(net)

    on_network(check, always("silent"))


@pytest.mark.parametrize("key", [True, False])
def test_without_its_key_a_deduplicated_submission_that_may_have_run_is_not_launched_again(key):
    """Endpoints drop repeats by the key: a request without one would be run again."""

    async def check(net: Net):
        net.program.engine.sidecar.dispatcher.new_requests.add(net.program.engine.clock.now(), 1000.0)
        data = wanted("s1", "bid", "0.9")
        answer = await net.ask(data if key else data.replace(b"Idempotency-Key: k-s1\r\n", b""))
        assert answer.status in (400, 502)
        await module_is_idle(net)

    net = on_network(check, *[always("reset")] * 4, limits=NO_PROBES)
    assert (len(seen(net, "s1")) > 1) if key else (len(seen(net, "s1")) <= 1)
