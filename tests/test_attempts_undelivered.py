"""Attempts whose bytes were written and have not reached the endpoint: what was given up never arrives later,
and no repeat leaves its window or its group.

A listener that is full when the first bytes come drops them, and this side's kernel sends them again for as
long as the connection is there, or in the background after an ordinary close."""

import socket
import struct
import threading
import time

import anyio
import pytest
from bed import Net, on_network, settings, wanted
from test_clients_answers import connect
from endpoint_acts import fine, seen, until

from lupinmill import terms as t
from lupinmill.protocol import lists
from lupinmill.transport.connection import Connection

LAG_INTERVAL_S = 0.001
CALLED_OFF_BEFORE_LIMIT_S = 0.005  # at least; a loop that is on time calls off so long before the limit
BEFORE_LIMIT_S = 0.02  # earlier than the decision module calls off
LATER_S = 3.5  # the kernel sends the bytes again after 0.2 s, and after twice as long each time


class FullListener:
    """An endpoint that establishes connections, drops what is sent on them, and takes it from `open` on."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        # A connection enters the queue with its first bytes, not when it is established.
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 30)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        self.in_queue: list[socket.socket] = []
        self.requests: list[bytes] = []

    def fill(self) -> None:
        sock = socket.create_connection(self.sock.getsockname())
        sock.send(b"x")
        self.in_queue.append(sock)
        time.sleep(0.01)

    def take_for(self, seconds: float) -> None:
        """Accepts what comes, reads it, and keeps what looks like a complete request."""
        until_ = time.monotonic() + seconds
        self.sock.settimeout(0.05)
        while time.monotonic() < until_:
            try:
                sock, _ = self.sock.accept()
            except TimeoutError:
                continue
            with sock:
                sock.settimeout(0.2)
                try:
                    data = sock.recv(100_000)
                except OSError:
                    continue
                if b"\r\n\r\n" in data:
                    self.requests.append(data)

    def close(self) -> None:
        for sock in (self.sock, *self.in_queue):
            sock.close()


def fill_when_connected(net: Net, listener: FullListener) -> None:
    """The listener is full between the handshake and the request's bytes."""
    whole = net.program.connection_pool.open

    async def opened(address: str) -> Connection:
        connection = await whole(address)
        if address == listener.address:
            listener.fill()
        return connection

    net.program.connection_pool.open = opened


def with_full_listener(check, **more) -> Net:
    """Runs `check(net, listener)` with the listener as the only endpoint."""
    listener = FullListener()

    class Full(Net):
        async def start(self, group) -> None:
            await super().start(group)
            for row in (self.discovery.rows[0], self.table["known"]["endpoints"][0]):
                row["address"] = listener.address

    async def checked(net: Net) -> None:
        fill_when_connected(net, listener)
        await check(net, listener)

    try:
        return on_network(checked, fine, net_of=Full, limits=settings()["limits"] | {"probes": False}, **more)
    finally:
        listener.close()


async def requests_later(listener: FullListener) -> list[bytes]:
    await anyio.to_thread.run_sync(listener.take_for, LATER_S)
    return listener.requests


async def record_lag(lags: list[float]) -> None:
    """Records how late the event loop is, until cancelled."""
    while True:
        began = time.monotonic()
        await anyio.sleep(LAG_INTERVAL_S)
        lags.append(time.monotonic() - began - LAG_INTERVAL_S)


async def block_over_limit(net: Net, seconds: float) -> None:
    """Blocks the event loop from just before the decision module would call off the only attempt."""
    await until(lambda: net.program.request_table.pending_requests)
    (pending,) = net.program.request_table.pending_requests.values()
    await until(lambda: pending.attempts)
    limit = pending.attempts[0].deadline.at
    await anyio.sleep(max(0.0, limit - anyio.current_time() - BEFORE_LIMIT_S))
    time.sleep(seconds)


@pytest.mark.parametrize("blocked_s", [0.0, 0.1])
@pytest.mark.parametrize("workload", ["bid", "issue"])
def test_an_attempt_that_was_given_up_at_its_limit_never_arrives_later(workload, blocked_s):
    """Called off by the decision module shortly before its limit, or ended by the limit if the event loop was
    blocked over both moments."""
    lags: list[float] = []

    async def check(net: Net, listener: FullListener):
        async with anyio.create_task_group() as group:
            group.start_soon(record_lag, lags)
            if blocked_s:
                group.start_soon(block_over_limit, net, blocked_s)
            answer = await net.ask(wanted("s1", workload, "0.3"))
            group.cancel_scope.cancel()
        assert answer.status in (502, 503)
        assert not await requests_later(listener)

    ended = with_full_listener(check).ended()
    if blocked_s:
        assert ended == [t.Outcome.TIMED_OUT]
    elif ended != [t.Outcome.CALLED_OFF]:
        assert ended == [t.Outcome.TIMED_OUT] and max(lags) > CALLED_OFF_BEFORE_LIMIT_S


def test_an_attempt_whose_client_has_left_never_arrives_later():
    async def check(net: Net, listener: FullListener):
        async with await connect(net) as stream:
            await stream.send(wanted("s1", "view", "1.0"))
            await until(lambda: listener.in_queue)
            await anyio.sleep(0.1)
        await until(lambda: not net.program.request_table.pending_requests)
        assert not await requests_later(listener)

    with_full_listener(check)


def test_a_listener_that_is_full_only_for_a_moment_costs_nothing():
    """The attempt waits for as long as it has time."""

    async def check(net: Net, listener: FullListener):
        def take_and_answer() -> None:
            time.sleep(0.1)
            listener.sock.settimeout(3)
            while True:
                sock, _ = listener.sock.accept()
                data = sock.recv(100_000)
                if b"\r\n\r\n" in data:
                    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
                    sock.close()
                    return

        thread = threading.Thread(target=take_and_answer, daemon=True)
        thread.start()
        assert (await net.ask(wanted("s1", "view", "1.0"))).body == b"done"
        await anyio.to_thread.run_sync(thread.join)

    assert with_full_listener(check).ended() == [t.Outcome.HANDLED]


# --- repeats: between the decision and the last byte ------------------------------------------------------

WINDOW_S = 0.3


def with_keyed(**more) -> list[dict]:
    bid = {
        "name": "bid",
        "contract-time-s": 0.9,
        "hard-limit-s": 1.0,
        "repeat": "by_key",
        "group": "cell",
        "window-s": WINDOW_S,
    }
    return [*settings()["workloads"][:1], bid | more]


async def earn_retries(net: Net) -> None:
    """Retries stay below a tenth of the requests."""
    for number in range(25):
        assert (await net.ask(wanted(f"w{number}"))).status == 200


def slow_second_open(net: Net, seconds: float, meanwhile=None) -> None:
    """The connection of the second attempt takes so long, as of an endpoint that accepts late."""
    whole, opened = net.program.connection_pool.open, []

    async def late(address: str) -> Connection:
        opened.append(address)
        connection = await whole(address)
        if len(opened) == 2:
            if meanwhile is not None:
                meanwhile()
            await anyio.sleep(seconds)
        return connection

    net.program.connection_pool.open = late
    net.program.connection_pool.reuse = lambda endpoint: None


def breaks_once_after(seconds: float):
    count = [0]

    async def act(request):
        if request.header(b"req-id") != "s1":
            return await fine(request)
        count[0] += 1
        await anyio.sleep(seconds if count[0] == 1 else 0)
        return "reset" if count[0] == 1 else await fine(request)

    return act


class OneCell(Net):
    async def start(self, group) -> None:
        await super().start(group)
        for row in (*self.discovery.rows, *self.table["known"]["endpoints"]):
            row["group"] = 0


@pytest.mark.parametrize("late", [0.0, 0.25])
def test_a_repeat_whose_connection_comes_up_after_its_window_is_not_sent(late):
    """Guards against a window that is looked at when the repeat is decided only."""
    act = breaks_once_after(0.1)

    async def check(net: Net):
        await earn_retries(net)
        slow_second_open(net, late)
        answer = await net.ask(wanted("s1", "bid", "0.9"))
        assert answer.status == (502 if late else 200)

    net = on_network(check, act, act, net_of=OneCell, workloads=with_keyed())
    assert len(seen(net, "s1")) == (1 if late else 2)


def test_a_repeat_whose_endpoint_moves_to_another_cell_meanwhile_is_not_sent():
    """All endpoints move, each to a cell of its own; also the first attempt's, with a repeat back to it."""
    act = breaks_once_after(0.05)

    async def check(net: Net):
        await earn_retries(net)

        def move() -> None:
            rows = [row | {"group": 7 + at} for at, row in enumerate(net.discovery.rows)]
            net.program.directory.update(lists.parse({"index": 9, "endpoints": rows}), t.ListKind.CHANGES)

        slow_second_open(net, 0.05, move)
        assert (await net.ask(wanted("s1", "bid", "0.9"))).status == 502

    net = on_network(check, act, act, net_of=OneCell, workloads=with_keyed(**{"window-s": 0.8}))
    assert len(seen(net, "s1")) == 1


class LateReader:
    """An endpoint with a small receive buffer: it breaks the first attempt of s1 off when it has it all, and
    begins to read the second one after the window."""

    def __init__(self, size: int) -> None:
        self.size, self.count, self.received = size, 0, []
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen()
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]

    def run(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        with sock:
            sock.settimeout(3)
            data = sock.recv(2_000)
            if b"Req-Id: s1\r\n" not in data:
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                return
            self.count += 1
            if self.count == 2:
                time.sleep(2 * WINDOW_S)
            got = len(data) - data.index(b"\r\n\r\n") - 4
            try:
                while got < self.size and (data := sock.recv(100_000)):
                    got += len(data)
            except OSError:
                pass
            self.received.append(got)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


@pytest.mark.parametrize("size", [60_000, 300_000])
def test_a_repeat_that_is_not_read_is_called_off_at_the_end_of_the_window(size):
    """Its last bytes lie here until its endpoint reads, which is after the window; the first may have run."""
    endpoint = LateReader(size)
    threading.Thread(target=endpoint.run, daemon=True).start()

    class Late(Net):
        async def start(self, group) -> None:
            await super().start(group)
            for row in (*self.discovery.rows, *self.table["known"]["endpoints"]):
                row |= {"address": endpoint.address, "group": 0}

    async def check(net: Net):
        await earn_retries(net)
        with anyio.fail_after(5):
            answer = await net.ask(wanted("s1", "bid", "0.9", body=b"x" * size))
        assert answer.status == 502
        await until(lambda: len(endpoint.received) == 2)

    limits = settings()["limits"] | {"probes": False}
    net = on_network(check, fine, fine, net_of=Late, workloads=with_keyed(), limits=limits)
    endpoint.sock.close()
    assert endpoint.received[0] == size > endpoint.received[1]
    assert "attempt_recalled" in {event for event, _ in net.logs}
