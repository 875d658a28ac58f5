"""A client's disconnect, and the time that it has left: bytes ahead of its end of stream or behind its
request, on real sockets."""

import select
import socket

import anyio
import pytest
from bed import Net, on_network, wanted
from test_crossings import LongLimitsNet, UnlistedNet, connect, list_all, module_is_idle, request_arrived
from endpoint_acts import fine, seen, until

from lupinmill import terms as t
from lupinmill.transport.buffers import BlockPool
from lupinmill.transport.client import MAX_PIPELINED_BYTES, Client

LARGE_WINDOW = 1 << 20  # bytes that a kernel accepts on a connection that nobody reads


def has_ended(sock: socket.socket) -> bool:
    """Whether the kernel's poll says that the other side has sent its end, whatever is unread before it."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def listener_of(net: Net):
    return net.program.descriptors.close_idle_client.__self__


async def never(client):
    await anyio.sleep_forever()


def pair() -> tuple[Client, socket.socket]:
    """A client as the listener makes it, and the socket at its other side."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LARGE_WINDOW)
        other = socket.create_connection(server.getsockname())
        sock, _ = server.accept()
    return Client(sock, BlockPool(), lambda: None), other


@pytest.mark.parametrize("told", [True, False])
def test_a_launch_is_not_written_for_a_client_whose_end_lies_behind_much_that_it_sent_ahead(
    told, monkeypatch
):
    """Guards against a request at the endpoint: one check reads 64 KiB, and the end was behind that."""
    if not told:
        monkeypatch.setattr(socket, "TCP_INFO", 10_000)  # like a kernel that does not know it

    async def check(net: Net):
        monkeypatch.setattr("lupinmill.routing.attempt_runner.UNSEEN_AGE_US", 0, raising=False)
        monkeypatch.setattr(Client, "wait_disconnected", never)  # the watching task has not run yet
        listener_of(net).sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LARGE_WINDOW)
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="8"))
            await request_arrived(net, "s1")
            await stream.send(b"x" * (4 * MAX_PIPELINED_BYTES))
        (pending,) = net.program.request_table.pending_requests.values()
        await until(lambda: has_ended(pending.client.sock))
        list_all(net)
        await until(lambda: net.ended())
        await module_is_idle(net)

    net = on_network(check, fine, net_of=UnlistedNet)
    assert net.ended() == [t.Outcome.UNSENT] and not seen(net, "s1")


@pytest.mark.parametrize("end", ["close", "half-close", "reset"])
@pytest.mark.parametrize("told", [True, False])
def test_every_kind_of_end_is_seen_in_one_look_and_by_the_kernels_word(end, told, monkeypatch):
    client, other = pair()
    with client, other:
        if not told:
            monkeypatch.setattr(socket, "TCP_INFO", 10_000)
        assert not client.check_disconnected() and not client.has_disconnected()
        if end == "reset":
            other.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        if end == "half-close":
            other.shutdown(socket.SHUT_WR)
        else:
            other.close()
        assert client.has_disconnected() and client.check_disconnected()


def test_the_kernels_word_sees_an_end_behind_unread_bytes_also_where_no_state_is_told(monkeypatch):
    """While a body arrives no other task may read. Guards systems whose kernel reports no TCP state."""
    monkeypatch.setattr(socket, "TCP_INFO", 10_000)
    client, other = pair()
    with client:
        other.sendall(b"x" * 1000)
        assert not client.has_disconnected()
        other.close()
        assert client.has_disconnected()


def test_what_this_side_ended_is_no_end_of_the_client():
    """Guards against TCP states of a connection on which only this side has sent its end: they counted as the
    client's."""
    client, other = pair()
    with client, other:
        client.shut_down_sending()
        assert other.recv(1) == b""  # it has arrived, so the connection waits only for the client's end
        assert not client.has_disconnected() and not client.check_disconnected()
        other.send(b"x")
        assert not client.check_disconnected() and not client.has_disconnected()


@pytest.mark.parametrize("in_one", [True, False])
def test_the_time_of_a_request_behind_another_is_not_begun_anew_by_a_third(in_one):
    """The timestamp of the third was taken for that of the second. Guards against an attempt with all 8 s as
    its deadline."""
    there, go_on, told = anyio.Event(), anyio.Event(), {}

    async def act(request):
        told[request.header(b"req-id")] = float(request.header(b"req-deadline"))
        if request.header(b"req-id") == "s1":
            there.set()
            await go_on.wait()
        return await fine(request)

    async def check(net: Net):
        async with await connect(net) as stream:
            first, second = wanted("s1", deadline="8"), wanted("s2", deadline="8")
            if in_one:
                await stream.send(first + second)
                await there.wait()
            else:
                await stream.send(first)
                await there.wait()
                await stream.send(second)
            began = anyio.current_time()
            (pending,) = net.program.request_table.pending_requests.values()
            if not in_one:
                await until(lambda: pending.client.pipelined)
            await anyio.sleep(0.4)
            waited = anyio.current_time() - began
            before = sum(map(len, pieces(pending.client)))
            await stream.send(wanted("s3", deadline="8"))
            await until(lambda: sum(map(len, pieces(pending.client))) > before)
            late = anyio.current_time()
            go_on.set()
            await until(lambda: len(told) == 3)
            assert told["s2"] <= 8.0 - waited + 0.01
            assert told["s3"] > 8.0 - (anyio.current_time() - late) - waited  # and the third has its own time
        await module_is_idle(net)

    def pieces(client: Client) -> list[bytes]:
        return [getattr(one, "data", b"x") for one in client.pipelined]

    on_network(check, act, net_of=LongLimitsNet)


@pytest.mark.parametrize("active", [False, True])
def test_what_comes_behind_dropped_bytes_is_never_taken_for_a_part_of_a_request(active):
    """A request is held by admission control while its client pipelines more than is kept, and is rejected in
    the end. Guards against a request at the endpoint whose body lacked a part."""

    async def check(net: Net):
        admission, gate = net.program.admission, net.program.admission.gate
        gate.active, gate.window = True, 0.0
        gate.is_in_time, gate.record_lateness = (lambda *_: True), (lambda *_: None)
        release, gate.release = gate.release, lambda now: []
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="8"))
            await until(lambda: gate.held)
            await until(
                lambda: [one for line in gate.queues_by_priority for one in line.waiting if one.token.scope]
            )
            (offer,) = [one for line in gate.queues_by_priority for one in line.waiting]
            client = offer.client
            await stream.send(wanted("s2", deadline="8", body=b"a" * (3 * MAX_PIPELINED_BYTES)))
            await until(lambda: client.pipelined_dropped and client.is_idle())
            offer.time_left = 0  # its turn can't come in time any more
            gate.release = release
            admission.release()
            assert (await stream.receive()).startswith(b"HTTP/1.1 503")
            gate.active, gate.window = active, 50.0
            with anyio.move_on_after(5):
                try:
                    await stream.send(wanted("s3", deadline="8", body=b"b" * (3 * MAX_PIPELINED_BYTES)))
                    while True:
                        await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    pass
        await until(lambda: client.closed)

    net = on_network(check, fine)
    assert not [event for event in net.events if isinstance(event, t.RequestArrived)]
    assert not seen(net, "s2") and not seen(net, "s3")


def test_behind_dropped_bytes_the_door_judges_nothing_either():
    """Two requests are rejected by admission control, and a third was dropped behind them: the response to a
    fourth would pass for that of the third. Guards against reading on from the connection."""

    async def check(net: Net):
        admission, gate = net.program.admission, net.program.admission.gate
        gate.active, gate.window = True, 0.0
        gate.is_in_time, gate.record_lateness = (lambda *_: True), (lambda *_: None)
        release, gate.release = gate.release, lambda now: []
        async with await connect(net) as stream:
            await stream.send(wanted("s1", deadline="8"))
            await until(lambda: gate.held)
            await until(
                lambda: [one for line in gate.queues_by_priority for one in line.waiting if one.token.scope]
            )
            (offer,) = [one for line in gate.queues_by_priority for one in line.waiting]
            client = offer.client
            await stream.send(wanted("s2", deadline="8"))
            await until(lambda: client.pipelined)
            await stream.send(b"x" * (3 * MAX_PIPELINED_BYTES))
            await until(lambda: client.pipelined_dropped and client.is_idle())
            # only s2 was kept
            client.pipelined, client.pipelined_size = type(client.pipelined)([client.pipelined[0]]), 0
            offer.time_left, gate.is_in_time, gate.release = 0, (lambda *_: False), release
            admission.release()
            got = b""
            with anyio.fail_after(5):
                try:
                    while got.count(b"HTTP/1.1") < 2:
                        got += await stream.receive()
                    await stream.send(wanted("s4", deadline="8"))
                    while True:
                        got += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    pass
            assert got.count(b"HTTP/1.1 503") == got.count(b"HTTP/1.1") == 2
        await until(lambda: client.closed)

    on_network(check, fine)
