"""Idle clients fill the descriptors while discovery is down: the process still gets its list, reports its
readiness truthfully, serves, and stays within its limit."""

import errno
import os
import time
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import pytest
from bed import Net, on_network, wanted
from process_bed import free_address, spawn
from endpoint_acts import fine, until

from lupinmill import terms as t
from lupinmill.protocol.http import Answer, ClientSide, Request
from lupinmill.routing import request_reader
from lupinmill.transport import connection
from lupinmill.transport.client import NEW_IDLE_S
from lupinmill.transport.descriptors import ConnectionKind

READY = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"


async def status(stream) -> int | None:
    """Status of the next response on this connection; None if it ended."""
    side = ClientSide()
    side.ask(Request(b"GET", b"/", [(b"Host", b"a")]))
    try:
        while (answer := side.next_answer()) is None:
            side.feed(await stream.receive())
    except (anyio.EndOfStream, anyio.BrokenResourceError, ConnectionError):
        return None
    return answer.status


@asynccontextmanager
async def crowd(address: str, silent: int, used: int):
    """Idle clients that stay: some never sent a byte, others sent one request and kept their connection."""
    host, port = address.split(":")
    async with AsyncExitStack() as stack:

        async def one():
            return await stack.enter_async_context(await anyio.connect_tcp(host, int(port)))

        for _ in range(used):
            stream = await one()
            await stream.send(READY)
            await status(stream)
        for _ in range(silent):
            await one()
        yield


def test_where_no_place_is_free_readiness_is_told_as_it_is_and_all_else_denied(monkeypatch):
    """Guards against a load balancer that checked /ready while all descriptors were taken, and got 503 from a
    ready sidecar."""
    # seconds for which half a request holds a place
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 60)

    async def check(net: Net):
        host, port = net.address.split(":")
        descriptors = net.program.descriptors
        async with AsyncExitStack() as stack:
            for _ in range(descriptors.client_limit):
                stuck = await stack.enter_async_context(await anyio.connect_tcp(host, int(port)))
                await stuck.send(b"POST /view HTTP/1.1\r\n")
            await until(lambda: descriptors.open[ConnectionKind.CLIENT] == descriptors.client_limit)
            await until(lambda: not descriptors.close_idle_client.__self__.idle)
            assert (await net.ask(READY)).status == 200
            assert (await net.ask(wanted("late"))).status == 503
            net.program.overrides.quiesce(0)
            assert (await net.ask(READY)).status == 503
        assert not net.program.request_table.pending_requests

    net = on_network(check, fine, sockets=48)
    assert not net.ended()


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("fault", ["reset", "silent", Answer(503)])
def test_a_list_that_was_out_of_reach_is_got_through_a_crowd_of_idle_clients(fault, pushed):
    async def check(net: Net):
        async with crowd(net.address, 60, 40):
            assert (await net.ask(READY)).status == 503
            net.discovery.fault = None
            await until(lambda: not net.program.directory.has_no_ready_endpoint())
            assert (await net.ask(READY)).status == 200
            idle = net.program.client_handler.listener.idle
            await until(lambda: any(client.evictable(time.monotonic()) for client in idle))
            for at in range(5):
                assert (await net.ask(wanted(f"s{at}"))).body == b"done-s%d" % at

    class Down(Net):
        async def start(self, group) -> None:
            await super().start(group)
            self.discovery.fault = fault

    net = on_network(
        check, fine, fine, sockets=100, known=False, net_of=Down, discovery="push" if pushed else "ask"
    )
    assert t.ListReceived in map(type, net.events) and not [
        log for log in net.logs if log[0] == "task_failed"
    ]


def test_a_call_for_the_list_that_found_no_descriptor_is_made_again(monkeypatch):
    whole, made = connection.stream_socket, []

    def short(host: str):
        made.append(host)  # the first is the listener's
        if len(made) in (2, 3):
            raise OSError(errno.EMFILE, "Too many open files")
        return whole(host)

    monkeypatch.setattr(connection, "stream_socket", short)

    async def check(net: Net):
        await until(lambda: not net.program.directory.has_no_ready_endpoint())
        assert (await net.ask(READY)).status == 200

    net = on_network(check, fine, known=False, discovery="push")
    failed = [fields["error"] for event, fields in net.logs if event == "watch_failed"]
    assert len(failed) == 2 and all("NoDescriptor" in error for error in failed)


def test_a_process_started_anew_in_a_crowd_while_discovery_is_down_is_ready_and_keeps_its_limit(tmp_path):
    sockets, began = 96, []

    async def started(net: Net, serial: int) -> int:
        """Gives its process id once it listens; the crowd's calls are refused until then."""
        process = spawn(tmp_path, net.table, serial)
        began.append(process)
        while True:
            try:
                async with crowd(net.table["listen"], 1, 0):
                    return process.pid
            except OSError:
                assert process.poll() is None
                await anyio.sleep(0.02)

    def held(pid: int) -> int:
        return len(os.listdir(f"/proc/{pid}/fd"))

    async def main() -> None:
        net = Net([fine], sockets=sockets)
        async with anyio.create_task_group() as group:
            await net.start(group)
            net.discovery.fault = "reset"
            net.address = net.table["listen"] = free_address()
            for serial in range(2):
                pid = await started(net, serial)
                async with crowd(net.address, 50, 100):
                    assert (await net.ask(READY)).status == 200 and held(pid) <= sockets
                    # The whole crowd was accepted before /ready was; silent clients are not evicted for that
                    # long.
                    await anyio.sleep(2 * NEW_IDLE_S)
                    assert (await net.ask(wanted(f"s{serial}"))).status == 200 and held(pid) <= sockets
                    began[serial].kill()
                    began[serial].wait()
            group.cancel_scope.cancel()

    try:
        anyio.run(main)
    finally:
        for process in began:
            process.kill()
            process.wait()
