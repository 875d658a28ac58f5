"""Attempts whose bytes were written and have not reached the endpoint: what was given up never arrives later,
and no repeat leaves its window or its group.

A listener that is full when the first bytes come drops them, and this side's kernel sends them again for as
long as the connection is there, or in the background after an ordinary close."""

import socket
import threading
import time

import anyio
import pytest
from bed import Net, on_network, settings, wanted
from test_clients_answers import connect
from test_sidecar import fine, until

from lupinmill import terms as t
from lupinmill.transport.connection import Connection

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


@pytest.mark.parametrize("workload", ["bid", "issue"])
def test_an_attempt_that_was_given_up_at_its_limit_never_arrives_later(workload):
    async def check(net: Net, listener: FullListener):
        answer = await net.ask(wanted("s1", workload, "0.3"))
        assert answer.status in (502, 503)
        assert not await requests_later(listener)

    assert with_full_listener(check).ended() == [t.Outcome.CALLED_OFF]


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
