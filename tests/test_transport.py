"""Buffers, descriptors and connections: what is leased is released."""

import random
import socket
import time

import anyio
import pytest

from lupinmill.transport import connection as c
from lupinmill.transport.buffers import BlockPool, RingBuffer
from lupinmill.transport.connection_pool import MIN_IDLE_S, ConnectionPool
from lupinmill.transport.descriptors import ConnectionKind, DescriptorBudget
from lupinmill.transport.listener import Listener


@pytest.mark.parametrize("seed", range(5))
def test_a_ring_keeps_every_byte_in_order_and_its_block_only_while_it_holds_some(seed):
    random_source, store = random.Random(seed), BlockPool(block=37)
    ring, model, serial = RingBuffer(store), b"", 0
    for _ in range(3000):
        if random_source.random() < 0.5:
            data = bytes((serial + i) % 251 for i in range(random_source.randrange(60)))
            done = ring.write(memoryview(data))
            assert done == min(len(data), 37 - len(model))
            model, serial = model + data[:done], serial + done
        else:
            stretch = bytes(ring.readable())
            assert model.startswith(stretch) and (stretch or not model)
            count = random_source.randint(0, len(stretch))
            ring.consume(count)
            model = model[count:]
        assert ring.size == len(model) and store.leased == (1 if model else 0)


def test_short_of_descriptors_idle_endpoint_connections_go_first_then_idle_clients():
    budget, gone = DescriptorBudget(40 + 16), []
    idle = {"endpoint": 1, "client": 2}

    def close(kind: str, side: ConnectionKind) -> bool:
        if not idle[kind]:
            return False
        idle[kind] -= 1
        gone.append(kind)
        budget.release(side)
        return True

    budget.close_idle_endpoint = lambda: close("endpoint", ConnectionKind.ENDPOINT)
    budget.close_idle_client = lambda: close("client", ConnectionKind.CLIENT)
    assert all(budget.lease(ConnectionKind.CLIENT) for _ in range(12))
    assert all(budget.lease(ConnectionKind.ENDPOINT) for _ in range(4))
    assert budget.lease(ConnectionKind.ENDPOINT) and gone == ["endpoint"]
    assert budget.lease(ConnectionKind.ENDPOINT) and gone == ["endpoint", "client"]
    assert budget.lease(ConnectionKind.CLIENT) and gone == ["endpoint", "client", "client"]
    assert not budget.lease(ConnectionKind.CLIENT)
    assert sum(budget.open.values()) <= budget.limit


def test_clients_leave_a_quarter_of_the_descriptors_to_endpoints():
    budget = DescriptorBudget(40 + 100)
    assert sum(budget.lease(ConnectionKind.CLIENT) for _ in range(200)) == 75
    assert sum(budget.lease(ConnectionKind.ENDPOINT) for _ in range(200)) == 25


def pair(store: BlockPool, given: list) -> tuple[c.Connection, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        ours = socket.create_connection(server.getsockname())
        return c.Connection(ours, store, lambda: given.append(1)), server.accept()[0]


def test_a_send_that_is_cancelled_gives_back_storage_and_descriptor():
    store, given = BlockPool(), []

    async def main():
        ours, theirs = pair(store, given)
        with theirs:
            with anyio.move_on_after(0.05) as scope, ours:
                await ours.send(bytes(10_000_000))
            assert scope.cancelled_caught and store.leased == 0 and given == [1]

    anyio.run(main)


def test_a_send_that_waits_holds_no_storage_beside_the_callers_bytes():
    """Guards against a body held twice while the other side does not read."""
    store = BlockPool()

    async def main():
        ours, theirs = pair(store, [])
        with ours, theirs:
            with anyio.move_on_after(0.05) as scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(ours.send, bytes(10_000_000))
                    await anyio.sleep(0.02)
                    assert store.leased == 0
            assert scope.cancelled_caught

    anyio.run(main)


def test_all_bytes_arrive_through_a_slow_reader():
    data = random.Random(3).randbytes(700_000)

    async def main():
        ours, theirs = pair(BlockPool(), [])
        theirs.setblocking(False)
        got = bytearray()

        async def drain():
            while len(got) < len(data):
                await anyio.wait_readable(theirs)
                got.extend(theirs.recv(3000))

        with ours, theirs, anyio.fail_after(10):
            async with anyio.create_task_group() as group:
                group.start_soon(drain)
                await ours.send(data)
        assert got == data

    anyio.run(main)


def test_a_machine_that_says_nothing_is_given_up_in_our_own_time():
    given = []
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        address = "127.0.0.1:%d" % full.getsockname()[1]
        held = [socket.socket() for _ in range(4)]
        for sock in held:
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())

        async def main():
            began = time.monotonic()
            with pytest.raises(c.Unconnected):
                await c.connect(address, 0.1, BlockPool(), lambda: given.append(1))
            assert 0.09 < time.monotonic() - began < 0.5

        anyio.run(main)
        for sock in held:
            sock.close()
    assert given == [1]


@pytest.mark.parametrize("address", ["nowhere", "localhost:80", "127.0.0.1:x", "127.0.0.1:70000"])
def test_an_address_that_is_none_counts_as_unconnected(address):
    given = []

    async def main():
        with pytest.raises(c.Unconnected):
            await c.connect(address, 0.1, BlockPool(), lambda: given.append(1))

    anyio.run(main)
    assert given == [1]


def run_with_pool(check, idle_limit: float = 30.0) -> None:
    """Runs `check(pool, address, server)` with one connection in the pool."""
    budget = DescriptorBudget(100)
    pool = ConnectionPool(budget, BlockPool(), idle_limit, 0.5)

    async def main():
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = "127.0.0.1:%d" % server.getsockname()[1]
            pool.keep(await pool.open(address), address)
            age_connection(pool, address)
            theirs, _ = server.accept()
            with theirs:
                await check(pool, address, theirs)
        pool.close()
        assert budget.open[ConnectionKind.ENDPOINT] == 0

    anyio.run(main)


def age_connection(pool, address):
    """Makes it look idle for as long as a kept connection has to be."""
    for kept in pool.idle[address]:
        kept.idle_since -= MIN_IDLE_S


def test_a_second_answer_that_comes_after_the_first_never_passes_for_the_next_ones():
    """Guards against a connection that was idle when kept and when taken and went out at once: bytes that
    arrived then were taken for its next response."""

    async def check(pool, address, theirs):
        (kept,) = pool.idle[address]
        kept.idle_since = time.monotonic()
        assert pool.reuse(address) is None and pool.idle[address] == [kept]  # not idle for long enough
        theirs.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
        await until_unread(kept)
        age_connection(pool, address)
        assert pool.reuse(address) is None and kept.closed and not pool.idle

    run_with_pool(check)


async def until_unread(connection):
    while not connection.has_unread():
        await anyio.sleep(0.001)


def test_of_connections_that_have_rested_the_last_used_goes_out_and_those_that_rest_stay():
    async def check(pool, address, theirs):
        (old,) = pool.idle[address]
        newer, newest = await pool.open(address), await pool.open(address)
        for one in (newer, newest):
            pool.keep(one, address)
        newer.idle_since -= MIN_IDLE_S
        assert pool.reuse(address) is newer and pool.idle[address] == [old, newest]
        newer.close()

    run_with_pool(check)


def test_a_kept_connection_is_used_again_but_not_with_its_end_read_or_bytes_unasked_for():
    async def check(pool, address, theirs):
        again = pool.reuse(address)
        assert again is not None
        pool.keep(again, address)
        age_connection(pool, address)
        theirs.send(b"HTTP/1.1 408 too slow\r\n\r\n")
        await anyio.sleep(0.01)
        assert pool.reuse(address) is None and not pool.idle

    async def check_end(pool, address, theirs):
        theirs.shutdown(socket.SHUT_WR)
        await anyio.sleep(0.01)
        assert pool.reuse(address) is None

    run_with_pool(check)
    run_with_pool(check_end)


def test_a_kept_connection_is_left_alone_near_its_idle_limit():
    async def check(pool, address, theirs):
        (kept,) = pool.idle[address]
        kept.idle_since -= 3.99 - MIN_IDLE_S
        assert pool.reuse(address) is kept
        pool.keep(kept, address)
        kept.idle_since -= 4.0  # of 5 s: the endpoint's clock may be ahead
        assert pool.reuse(address) is None

    run_with_pool(check, 5.0)


def test_the_sweep_closes_what_was_ended():
    async def check(pool, address, theirs):
        pool.close_expired()
        assert pool.idle
        theirs.close()
        await anyio.sleep(0.01)
        pool.close_expired()
        assert not pool.idle and pool.descriptors.open[ConnectionKind.ENDPOINT] == 0

    run_with_pool(check)


def test_bytes_that_lay_unread_are_told_by_how_long():
    async def main():
        with socket.create_server(("127.0.0.1", 0)) as server:
            with await c.connect(
                "127.0.0.1:%d" % server.getsockname()[1], 1, BlockPool(), lambda: None
            ) as ours:
                theirs, _ = server.accept()
                with theirs:
                    theirs.send(b"x")
                    time.sleep(0.1)  # the event loop lags
                    assert await ours.receive() == b"x"
                    assert 85_000 < ours.unread_time() < 130_000

    anyio.run(main)


def test_an_idle_client_told_to_close_is_still_served_when_its_bytes_have_come():
    budget, store = DescriptorBudget(100), BlockPool()

    async def main():
        listener, got = Listener("127.0.0.1:0", budget, store), []

        async def serve(client, welcome):
            with client:
                got.append(await listener.next_bytes(client))

        async with anyio.create_task_group() as group:
            group.start_soon(listener.run, group, serve)
            host, port = listener.address.split(":")
            at = (host, int(port))
            with socket.create_connection(at) as quiet, socket.create_connection(at) as busy:
                await anyio.sleep(0.05)
                assert len(listener.idle) == 2
                for client in list(listener.idle):
                    listener.close_idle(client)
                busy.send(b"GET")
                await anyio.sleep(0.05)
                assert sorted(got) == [b"", b"GET"]
                quiet.setblocking(False)
                assert quiet.recv(1) == b""
            group.cancel_scope.cancel()
        listener.close()

    anyio.run(main)
    assert budget.leaving == 0 and budget.open[ConnectionKind.CLIENT] == 0 and store.leased == 0
