"""Accepting connections: whatever `accept` and the accepted sockets do, other tasks run, and each descriptor
is released exactly once."""

import errno
import os
import random
import socket
import struct
from contextlib import suppress

import anyio
import pytest

from lupinmill.transport.buffers import BlockPool
from lupinmill.transport.client import Client
from lupinmill.transport.descriptors import (
    MIN_ENDPOINT_CONNECTIONS,
    RESERVED_DESCRIPTORS,
    ConnectionKind,
    DescriptorBudget,
)
from lupinmill.transport.listener import ACCEPT_BATCH, Listener

LONGEST_RUN = ACCEPT_BATCH + 1  # calls of `accept` in a row, the last of which finds nothing


class LoopStarved(Exception):
    """No other task ran between this many calls."""


class ResettingSocket(socket.socket):
    """A connection that was reset before it was accepted, on a system that reports it at the first socket
    option."""

    def setsockopt(self, *_):
        raise OSError(errno.EINVAL, "reset already")


class CountingSocket:
    """The listening socket, with a scripted `accept`. Counts the calls between two runs of other tasks."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.in_a_row, self.most, self.calls = sock, 0, 0, 0
        self.accepting = sock.accept

    def accept(self):
        self.in_a_row += 1
        self.calls += 1
        self.most = max(self.most, self.in_a_row)
        if self.in_a_row > 50 * ACCEPT_BATCH:
            raise LoopStarved(f"{self.in_a_row} calls of accept, and no other task had its turn")
        return self.accepting()

    def __getattr__(self, name):
        return getattr(self.sock, name)

    async def others(self) -> None:
        while True:
            self.in_a_row = 0
            await anyio.sleep(0)


def connections(listener: Listener, count: int) -> list[socket.socket]:
    host, port = listener.address.split(":")
    return [socket.create_connection((host, int(port))) for _ in range(count)]


def run_with_listener(check, limit: int = 1000) -> Listener:
    """Runs `check(listener, sock, group)` beside a listener; `check` starts it with a `serve` of its own."""

    async def main() -> Listener:
        listener = Listener("127.0.0.1:0", DescriptorBudget(limit), BlockPool())
        with listener.sock as sock:
            listener.sock = CountingSocket(sock)
            with anyio.fail_after(20):
                async with anyio.create_task_group() as group:
                    await check(listener, listener.sock, group)
                    group.cancel_scope.cancel()
        return listener

    listener = anyio.run(main)
    assert listener.descriptors.open[ConnectionKind.CLIENT] == 0 and listener.turning_away == 0
    assert listener.descriptors.leaving == 0 and not listener.idle and listener.block_pool.leased == 0
    return listener


@pytest.mark.parametrize(
    "number",
    [
        errno.EPERM,
        errno.EPROTO,
        errno.EINVAL,
        errno.ENOTSOCK,
        errno.ECONNABORTED,
        errno.ENETDOWN,
        errno.EMFILE,
    ],
)
def test_an_accept_that_fails_each_time_leaves_the_others_their_turn(number):
    """Guards against a loop beside which no other task ran: only four errors were followed by a pause."""

    async def check(listener: Listener, sock: CountingSocket, group):
        def failing():
            raise OSError(number, os.strerror(number))

        accepting, sock.accepting = sock.accepting, failing
        served = anyio.Event()

        async def serve(client: Client, welcome: bool):
            with client:
                served.set()

        (waiting,) = connections(listener, 1)
        group.start_soon(sock.others)
        group.start_soon(listener.run, group, serve)
        with waiting:
            while sock.calls < 2:
                await anyio.sleep(0)
            for _ in range(200):
                await anyio.sleep(0)
            sock.accepting = accepting
            await served.wait()  # it continues by itself once the errors end
        assert sock.most <= LONGEST_RUN

    run_with_listener(check)


def test_a_flood_of_connections_leaves_the_others_their_turn_after_each_batch():
    """Guards against accepting all of a full queue in a row: a poll that finds connections does not let other
    tasks run."""

    async def check(listener: Listener, sock: CountingSocket, group):
        ended = []

        async def serve(client: Client, welcome: bool):
            with client:
                ended.append(client)

        waiting = connections(listener, 10 * ACCEPT_BATCH)
        group.start_soon(sock.others)
        group.start_soon(listener.run, group, serve)
        while len(ended) < len(waiting):
            await anyio.sleep(0)
        assert sock.most <= LONGEST_RUN
        for one in waiting:
            one.close()

    run_with_listener(check)


@pytest.mark.parametrize("place", [True, False])
def test_a_connection_that_broke_before_it_was_accepted_costs_itself_alone(place):
    """Guards against an AttributeError from `Client.close`, which ended the accept loop: nobody was accepted
    for a tenth of a second, and an exception was logged."""

    async def check(listener: Listener, sock: CountingSocket, group):
        if not place:
            listener.descriptors.client_limit = 0
        broken, served = [], anyio.Event()

        def first_broken():
            made, address = listener.sock.sock.accept()
            if not broken:
                broken.append(ResettingSocket(fileno=made.detach()))
                return broken[0], address
            return made, address

        async def serve(client: Client, welcome: bool):
            with client:
                assert welcome is place
                served.set()

        sock.accepting = first_broken
        first, second = connections(listener, 2)
        group.start_soon(listener.run, group, serve)
        await served.wait()
        assert broken[0].fileno() == -1
        first.close(), second.close()

    run_with_listener(check)


def test_a_connection_passed_by_another_process_that_broke_is_an_os_error_and_gives_its_place_back():
    """The handover's link takes OSError for the end of that one connection; any other exception ended the
    link."""

    async def check(listener: Listener, sock: CountingSocket, group):
        async def serve(client: Client, welcome: bool):
            raise AssertionError("there is nobody to serve")

        (one,) = connections(listener, 1)
        other, _ = sock.sock.accept()
        broken = ResettingSocket(fileno=other.detach())
        with pytest.raises(OSError):
            listener.adopt(broken, group, serve)
        assert broken.fileno() == -1 and listener.descriptors.open[ConnectionKind.CLIENT] == 0
        one.close()

    run_with_listener(check)


def test_what_comes_to_a_queue_that_was_just_seen_empty_has_all_of_its_time():
    """If the kernel gives no arrival time, a first request counts as having waited for as long as the queue
    was not seen empty. If other tasks run after a batch, it must not count from before."""

    async def check(listener: Listener, sock: CountingSocket, group):
        queued, came = [], []

        async def serve(client: Client, welcome: bool):
            with client:
                if not came:
                    came.extend(connections(listener, 1))  # in the very pass that follows the batch
                queued.append(client.backlog_wait)

        listener.waiting_since -= 100.0
        waiting = connections(listener, 2)
        group.start_soon(listener.run, group, serve)
        while len(queued) < 3:
            await anyio.sleep(0)
        assert min(queued[:2]) >= 100_000_000 and queued[2] < 50_000_000
        for one in waiting + came:
            one.close()

    run_with_listener(check)


class DrawnAdmission:
    """Admission control that is active, accepts all requests, and is busy at times."""

    def __init__(self, random_source: random.Random) -> None:
        self.active, self.random_source = False, random_source

    def busy(self) -> bool:
        return self.random_source.random() < 0.5

    def evaluate(self, client: Client, data: bytes) -> bool:
        return self.random_source.random() < 0.7

    async def wait_for_turn(self, client: Client) -> bool:
        return self.random_source.random() < 0.9


@pytest.mark.parametrize("seed", range(16))
def test_drawn_ends_bytes_and_words_to_close_leave_all_counts_exact(seed, monkeypatch):
    """Bytes, disconnects, requests to close and admission control that becomes active, in one pass and in
    several: `leaving`, idle clients and descriptors are exact at each step."""
    monkeypatch.setattr("lupinmill.transport.client.NEW_IDLE_S", 0.0)
    monkeypatch.setattr("lupinmill.transport.client.USED_IDLE_S", 0.0)
    random_source = random.Random(seed)

    async def check(listener: Listener, sock: CountingSocket, group):
        live = set()

        async def serve(client: Client, welcome: bool):
            with client:
                live.add(client)
                try:
                    while welcome and await listener.next_bytes(client):
                        client.has_requested = True
                        for _ in range(random_source.randrange(3)):
                            await anyio.sleep(0)
                except OSError:
                    pass
                finally:
                    live.discard(client)

        group.start_soon(listener.run, group, serve)
        listener.admission = DrawnAdmission(random_source)
        others: list[socket.socket] = []
        for _ in range(300):
            for _ in range(random_source.randrange(1, 4)):
                draw = random_source.random()
                if draw < 0.25 or not others:
                    others += connections(listener, 1)
                elif draw < 0.5:
                    with suppress(OSError):  # told to close meanwhile
                        others[random_source.randrange(len(others))].send(b"some")
                elif draw < 0.65:
                    one = others.pop(random_source.randrange(len(others)))
                    if random_source.random() < 0.5:
                        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    one.close()
                elif draw < 0.8:
                    listener.evict_idle_client()
                elif draw < 0.85:
                    listener.close_all_idle()
                elif draw < 0.9:
                    listener.admission.active = not listener.admission.active
                else:
                    others = [one for one in others if not ended(one)]
            descriptors = listener.descriptors
            # A client that was told to close counts as gone, and stays after all if bytes arrive in that very
            # pass.
            assert (
                0
                <= descriptors.leaving
                <= descriptors.open[ConnectionKind.CLIENT]
                <= descriptors.client_limit + 2
            )
            assert all(not client.closed for client in listener.idle)
            for _ in range(random_source.randrange(4)):
                await anyio.sleep(0)
        for one in others:
            one.close()
        while live or listener.descriptors.open[ConnectionKind.CLIENT] or listener.turning_away:
            await anyio.sleep(0.001)

    def ended(sock: socket.socket) -> bool:
        sock.setblocking(False)
        try:
            over = sock.recv(1) == b""
        except BlockingIOError:
            over = False
        except OSError:
            over = True
        sock.setblocking(True)
        if over:
            sock.close()
        return over

    run_with_listener(check, limit=RESERVED_DESCRIPTORS + 16)


# --- the budget of descriptors ---------------------------------------------------------------------------


@pytest.mark.parametrize("limit", [8, 16, 32, 64])
@pytest.mark.parametrize("elsewhere", [0, 4, 1000])
@pytest.mark.parametrize("seed", range(3))
def test_an_attempt_has_a_descriptor_whatever_clients_and_another_process_hold(limit, elsewhere, seed):
    """Guards against the process before an upgrade holding all descriptors: no request could be forwarded
    until it had ended, however few this one held."""
    random_source = random.Random(seed)
    descriptors = DescriptorBudget(limit)
    idle, kept = [], []

    def close_client() -> bool:
        if not idle:
            return False
        idle.pop()
        descriptors.release(ConnectionKind.CLIENT)
        return True

    def close_endpoint() -> bool:
        if not kept:
            return False
        kept.pop()
        descriptors.release(ConnectionKind.ENDPOINT)
        return True

    descriptors.close_idle_client, descriptors.close_idle_endpoint = close_client, close_endpoint
    descriptors.held_by_predecessor = elsewhere
    for _ in range(300):
        draw = random_source.random()
        if draw < 0.6 and descriptors.lease(ConnectionKind.CLIENT):
            if random_source.random() < 0.5:
                idle.append(None)
        elif draw < 0.7 and kept:
            close_endpoint()
        elif draw < 0.9:
            assert (
                descriptors.lease(ConnectionKind.ENDPOINT)
                or descriptors.open[ConnectionKind.ENDPOINT] >= MIN_ENDPOINT_CONNECTIONS
            )
            kept.append(None)
        assert sum(descriptors.open.values()) <= descriptors.limit + MIN_ENDPOINT_CONNECTIONS
    while close_endpoint():
        pass
    assert descriptors.lease(ConnectionKind.ENDPOINT)
