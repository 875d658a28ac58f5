"""However the work on a request ends that was read, its client gets one response, also if it times out. The
moments are forced by stand-ins and barriers."""

import signal
import socket
import time

import anyio
import h11
import orjson
import pytest
from bed import Net, on_network, wanted
from test_crossings import PATIENT, LongLimitsNet, UnlistedNet, connect, list_all, request_arrived
from endpoint_acts import always, fine, seen, until
from start_bed import start

from lupinmill import terms as t
from lupinmill.protocol import client_requests
from lupinmill.protocol.http import Answer, ClientSide, Request, ServerSide
from lupinmill.routing import client_handler, request_reader
from lupinmill.transport.client import MAX_PIPELINED_BYTES, Client
from lupinmill.transport.descriptors import ConnectionKind

ENDED = (anyio.EndOfStream, anyio.BrokenResourceError)


def defective(*_, **__):
    raise RuntimeError("a defect")


async def statuses(stream, most: int = 100) -> list[int]:
    """Statuses of all responses on this connection up to its end, or of the first `count`."""
    got, data, over = [], b"", False
    while len(got) < most:
        side = ClientSide()
        side.ask(Request(b"GET", b"/", [(b"Host", b"a")]))
        side.feed(data) if data else None
        while (answer := side.next_answer()) is None:
            if over:
                return got
            try:
                side.feed(await stream.receive())
            except ENDED:
                over = True
        got.append(answer.status)
        data = side.http.trailing_data[0]
    return got


def failed(net: Net) -> list[str]:
    return [fields["task"] for event, fields in net.logs if event == "task_failed"]


def listener_of(net: Net):
    return net.program.descriptors.close_idle_client.__self__


# --- unexpected exceptions ------------------------------------------------------------------------------


class OwnSide(ServerSide):
    """Used by the program, not by the stand-ins."""


def lost_protocol(*_, **__):
    raise h11.LocalProtocolError("in this state there is no answer")


def broken_watch(*_, **__):
    raise OSError("the loop can't watch this socket")


@pytest.mark.parametrize(
    "place, name, what",
    [
        (client_requests, "parse", defective),
        (OwnSide, "pieces", lost_protocol),
        (OwnSide, "goes_on", defective),
        (Client, "wait_disconnected", broken_watch),
        (Client, "max_elapsed_wait", defective),
        (client_handler.ClientHandler, "must_close", defective),
    ],
)
def test_a_defect_behind_a_requests_last_byte_costs_no_answer(place, name, what, monkeypatch):
    """Guards against a connection closed with no response. The exception is logged and counted."""

    monkeypatch.setattr(client_handler, "ServerSide", OwnSide)

    async def check(net: Net):
        with monkeypatch.context() as defect:
            defect.setattr(place, name, what, raising=False)
            async with await connect(net) as stream:
                await stream.send(wanted("s1"))
                with anyio.fail_after(5):
                    got = await statuses(stream, 1)
        assert got == [200] if name == "goes_on" else got in ([502], [500])
        assert net.program.client_handler.internal_errors == (what is not broken_watch)
        assert (await net.ask(wanted("s2"))).status == 200

    net = on_network(check, fine)
    assert failed(net) == ["client"] * (what is not broken_watch)


@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_a_large_answer_that_can_not_be_begun_is_told_as_failed(version, monkeypatch):
    """A response that is passed on as it arrives. Guards against a connection closed, or reset, with no
    response."""
    monkeypatch.setattr(OwnSide, "begin", lost_protocol, raising=False)
    monkeypatch.setattr(client_handler, "ServerSide", OwnSide)

    async def check(net: Net):
        async with await connect(net) as stream:
            await stream.send(wanted("s1").replace(b"HTTP/1.1", b"HTTP/" + version, 1))
            with anyio.fail_after(5):
                assert await statuses(stream) == [502]

    net = on_network(check, always(Answer(200, [], b"x" * 500_000)))
    assert "answer_broken" in {event for event, _ in net.logs}


def test_a_request_that_the_module_could_not_be_told_of_leaves_nothing_open():
    """Guards against a request that stayed in the table: its id was refused for good, and the program could
    not end."""

    async def check(net: Net):
        tell = net.program.engine.handle_event

        def broken(event):
            if isinstance(event, t.RequestArrived) and event.request == "s1":
                raise RuntimeError("a defect")
            tell(event)

        net.program.engine.handle_event = broken
        assert (await net.ask(wanted("s1"))).status == 502
        assert not net.program.request_table.pending_requests and net.program.request_table.unattempted == 0
        net.program.engine.handle_event = tell
        assert (await net.ask(wanted("s1"))).status == 200

    assert failed(on_network(check, fine)) == ["client"]


@pytest.mark.parametrize("method", [b"HEAD", b"POST"])
def test_the_answer_to_a_defect_is_whole_for_every_method(method, monkeypatch):
    async def check(net: Net):
        with monkeypatch.context() as defect:
            defect.setattr(client_requests, "parse", defective)
            async with await connect(net) as stream:
                await stream.send(wanted("s1").replace(b"POST", method, 1))
                got = b""
                with anyio.fail_after(5):
                    try:
                        while True:
                            got += await stream.receive()
                    except ENDED:
                        pass
        head, _, body = got.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 502 ") and b"Connection: close" in head and body == b""

    on_network(check, fine)


def test_a_body_that_no_attempt_takes_and_no_decision_ends_is_answered_in_its_time(monkeypatch):
    """The decision module fails when the request arrives, and the memory budget is exhausted. Guards against
    a wait without end."""
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 0.1)

    async def check(net: Net):
        net.program.engine.sidecar.dispatcher.handlers[t.RequestArrived] = defective
        net.program.body_memory.limit = 0
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="0.3", body=b"x" * 200_000)[:-1000])
            with anyio.fail_after(15):
                assert await statuses(stream, 1) == [502]

    net = on_network(check, fine)
    assert not seen(net, "s1")


# --- requests that are not complete in time -------------------------------------------------------------

LARGE = wanted("s1", body=b"x" * 1_500_000)


@pytest.mark.parametrize(
    "first",
    [
        wanted("s1")[:20],
        wanted("s1")[:-2],
        wanted("s1", body=b"x" * 9000)[:-1],
        wanted("s1", body=b"x" * 90_000)[:-1],
        LARGE[:-1],
        wanted("s1", body=b"x" * 9000, more="Expect: 100-continue\r\n")[:-9000],
    ],
)
@pytest.mark.parametrize("before", [0, 1])
def test_a_request_that_trickles_past_its_time_is_told_so(first, before, monkeypatch):
    """Guards against a connection closed with no response."""
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 0.3)
    monkeypatch.setattr(request_reader, "MIN_UPLOAD_RATE", 10_000_000)

    async def check(net: Net):
        async with await connect(net) as stream:
            for at in range(before):
                await stream.send(wanted(f"b{at}"))
                assert await statuses(stream, 1) == [200]
            await stream.send(first)
            with anyio.fail_after(10):
                assert await statuses(stream) == [408]
        await until(lambda: net.program.descriptors.open[ConnectionKind.CLIENT] == 0)

    net = on_network(check, fine, workloads=PATIENT)
    assert not seen(net, "s1") and not failed(net)


def test_a_request_whose_rest_lies_unread_when_its_time_is_over_is_served(monkeypatch):
    """The event loop was late, not the client. Guards against a connection closed with no response."""
    began = anyio.Event()
    whole_send = request_reader.RequestReader.read_more

    async def check(net: Net):
        async with await connect(net) as stream:
            whole = wanted("s1", body=b"x" * 9000)

            async def more(self, client, *rest):
                if not began.is_set():
                    began.set()
                    await stream.send(whole[100:])
                    await until(client.has_unread)
                    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", -1.0)
                return await whole_send(self, client, *rest)

            monkeypatch.setattr(request_reader.RequestReader, "read_more", more)
            monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 0.0)
            await stream.send(whole[:100])
            assert await statuses(stream, 1) == [200]

    on_network(check, fine)


@pytest.mark.parametrize("size", [0, 60_000_000])
def test_an_answer_behind_one_to_head_has_its_body(size, monkeypatch):
    """A request that is refused by its head, or never had a complete one. Guards against no response, because
    the method of the request before was used."""
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 0.3)

    async def check(net: Net):
        async with await connect(net) as stream:
            await stream.send(wanted("s1").replace(b"POST", b"HEAD", 1))
            assert (await stream.receive()).startswith(b"HTTP/1.1 200 ")
            if size:
                await stream.send(wanted("s2").replace(b"Content-Length: 0", b"Content-Length: %d" % size))
            else:
                await stream.send(wanted("s2")[:30])
            with anyio.fail_after(10):
                assert await statuses(stream) == [413 if size else 408]

    on_network(check, fine)


def test_a_deadline_with_a_body_to_come_ends_with_the_drain():
    """Nothing may be open after the kill time. Guards against a deadline beyond it, by the time allowed for
    the body."""

    async def check(net: Net):
        program = net.program
        now = program.engine.clock.now()
        program.overrides.begin_shutdown(now, now + 3_000_000, now + 3_500_000)
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="8", body=b"x" * 3_000_000)[:2_000_000])
            await request_arrived(net, "s1")
            assert program.request_table.pending_requests["s1"].due <= now + 3_500_000

    on_network(check, fine, net_of=LongLimitsNet)


# --- connections for which no descriptor is free --------------------------------------------------------


async def in_the_queue(net: Net, data: bytes, then) -> None:
    """Nothing is accepted until the data lies in the kernel; no descriptor is free."""
    listener = listener_of(net)
    net.program.descriptors.client_limit = 0
    accept_all, go_on = listener.accept_all, anyio.Event()

    async def later(group, serve):
        await go_on.wait()
        await accept_all(group, serve)

    listener.accept_all = later
    async with await connect(net) as stream:
        await stream.send(data)
        go_on.set()
        with anyio.fail_after(10):
            await then(stream)
    listener.accept_all = accept_all


def test_a_request_that_lies_whole_is_denied_however_late_the_loop_looks(monkeypatch):
    """Guards against a connection closed with no response: its time was over before it was read."""
    monkeypatch.setattr(client_handler, "TURN_AWAY_TIMEOUT_S", 0.0)

    async def check(net: Net):
        async def then(stream):
            assert await statuses(stream) == [503]

        await in_the_queue(net, wanted("s1", body=b"x" * 40_000), then)

    assert not on_network(check, fine).ended()


@pytest.mark.parametrize("size", [0, 100_000, 3_000_000])
def test_each_of_several_requests_that_were_read_is_denied(size):
    """Guards against one response for three requests, and 413 for a body that would be served otherwise."""

    async def check(net: Net):
        async def then(stream):
            assert await statuses(stream) == ([503] if size else [503, 503, 503])

        if size:
            await in_the_queue(net, wanted("s1", body=b"x" * size), then)
        else:
            await in_the_queue(net, b"".join(wanted(f"s{at}", body=b"x" * 100) for at in range(3)), then)

    assert not on_network(check, fine).ended()


def test_half_a_request_that_there_is_no_place_for_is_told_that_its_time_is_over(monkeypatch):
    monkeypatch.setattr(client_handler, "TURN_AWAY_TIMEOUT_S", 0.1)

    async def check(net: Net):
        async def then(stream):
            assert await statuses(stream) == [408]

        await in_the_queue(net, wanted("s1")[:60], then)

    on_network(check, fine)


def test_a_request_without_a_place_whose_body_comes_late_is_denied_as_any_other(monkeypatch):
    """Guards against 408 for a client that has more time wherever there is a place."""
    monkeypatch.setattr(client_handler, "TURN_AWAY_TIMEOUT_S", 0.1)

    async def check(net: Net):
        async def then(stream):
            assert await statuses(stream) == [503]

        await in_the_queue(net, wanted("s1", body=b"x" * 9_000)[:-40], then)

    assert not on_network(check, fine).ended()


# --- pipelined requests ---------------------------------------------------------------------------------


def test_requests_read_behind_one_are_answered_before_the_connection_closes():
    """Connections are to be closed. Guards against one response for three requests."""

    async def check(net: Net):
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="8") + wanted("s2", deadline="8"))
            await request_arrived(net, "s1")
            (pending,) = net.program.request_table.pending_requests.values()
            await stream.send(wanted("s3", deadline="8"))
            await until(lambda: pending.client.pipelined)
            net.program.client_handler.closing = lambda: True
            list_all(net)
            with anyio.fail_after(10):
                assert await statuses(stream) == [200, 200, 200]

    on_network(check, fine, net_of=UnlistedNet)


def test_a_client_that_always_sends_ahead_does_not_hold_up_the_end_of_the_program():
    async def check(net: Net):
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="8") + wanted("s2", deadline="8"))
            await request_arrived(net, "s1")
            net.program.client_handler.closing = lambda: True
            net.program.overrides.drain_deadline = net.program.engine.clock.now()
            list_all(net)
            with anyio.fail_after(10):
                assert await statuses(stream) == [200]

    net = on_network(check, fine, net_of=UnlistedNet)
    assert not seen(net, "s2")


@pytest.mark.parametrize("hold", [0.0, 0.1])
def test_at_sigterm_each_of_two_requests_that_came_in_one_piece_is_answered(tmp_path, hold):
    """A whole program, and clients that send two requests at once until each connection ends. Guards against
    one response for two requests that were read together."""
    net = Net([always(Answer(200, [], b"done"), hold)])
    told, halves, served = [], [], []

    async def keep_asking(number: int):
        host, port = net.address.split(":")
        at = 0
        while not told or time.monotonic() - told[0] < 0.2:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                for on_it in range(10_000):
                    at += 1
                    names = [f"c{number}-{at}-{which}" for which in "ab"]
                    try:
                        await stream.send(b"".join(wanted(name) for name in names))
                    except anyio.BrokenResourceError:
                        break
                    got = await statuses(stream, 2)
                    served.append(names)
                    if len(got) == 1 or not got and not on_it:
                        halves.append((names, got))
                    if len(got) < 2:
                        break

    async def main():
        with anyio.fail_after(30):
            async with anyio.create_task_group() as group:
                await net.start(group)
                process = start(tmp_path, net.table)
                net.address = orjson.loads(await anyio.to_thread.run_sync(process.stdout.readline))["listen"]
                try:
                    async with anyio.create_task_group() as inner:
                        for number in range(6):
                            inner.start_soon(keep_asking, number)
                        await until(lambda: len(served) >= 12)
                        told.append(time.monotonic())
                        process.send_signal(signal.SIGTERM)
                        assert await anyio.to_thread.run_sync(process.wait) == 0
                finally:
                    process.kill()
                    out, err = process.communicate()
                assert err == b"" and b"task_failed" not in out
                group.cancel_scope.cancel()

    anyio.run(main)
    assert not halves


def test_of_what_came_ahead_the_kept_requests_are_answered_and_no_other_is_begun():
    """More was pipelined than is kept. Guards against one response, although another request was read in
    full."""

    async def check(net: Net):
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="8"))
            await request_arrived(net, "s1")
            (pending,) = net.program.request_table.pending_requests.values()
            await stream.send(wanted("s2", deadline="8") + wanted("s3", deadline="8", body=b"x" * 1000))
            await until(lambda: pending.client.pipelined)
            await stream.send(wanted("s4", deadline="8", body=b"x" * (4 * MAX_PIPELINED_BYTES)))
            await until(lambda: pending.client.pipelined_dropped)
            list_all(net)
            with anyio.fail_after(10):
                assert await statuses(stream) == [200, 200, 200]

    net = on_network(check, fine, net_of=UnlistedNet)
    assert seen(net, "s2") and seen(net, "s3") and not seen(net, "s4")


def test_an_answer_outlives_bytes_that_lie_unread_when_the_connection_is_closed(monkeypatch):
    """Closing with bytes unread is a reset, which loses a response that the client has not read. Guards the
    response after an exception and the one behind dropped bytes."""

    async def check(net: Net):
        with socket.create_connection(net.address.rsplit(":", 1)) as sock:
            sock.setblocking(False)
            with monkeypatch.context() as defect:
                defect.setattr(client_requests, "parse", defective)
                sock.send(
                    wanted("s1") + b"POST /view HTTP/1.1\r\nContent-Length: 30000\r\n\r\n" + b"x" * 20_000
                )
                await until(lambda: net.program.client_handler.internal_errors)
                sock.send(b"x" * 10_000)
                sock.shutdown(socket.SHUT_WR)
                await until(lambda: net.program.descriptors.open[ConnectionKind.CLIENT] == 0)
            assert sock.recv(4096).startswith(b"HTTP/1.1 502 ")

    on_network(check, fine)


def test_a_connection_that_could_not_be_passed_on_is_served_while_something_lies_unread():
    """The link to the next process is full. Guards against a connection closed over what its client had
    sent."""

    async def check(net: Net):
        listener = listener_of(net)
        async with await connect(net) as stream:
            await stream.send(wanted("s1"))
            assert await statuses(stream, 1) == [200]
            await until(lambda: listener.idle)
            net.program.client_handler.hand_over_client = lambda client: False
            listener.handing_over = True
            await stream.send(wanted("s2"))
            listener.close_all_idle()
            with anyio.fail_after(5):
                assert await statuses(stream, 1) == [200]
        listener.handing_over = False

    on_network(check, fine, net_of=LongLimitsNet)
