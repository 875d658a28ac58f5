"""However a client's connection ends, the whole answers that were written before still reach it.

Each client pipelines, sends more than is read of it, and begins to read late with a small receive buffer. Its
answers lie in the kernel's queue when the connection ends, and a close over unread bytes resets it."""

import re
import signal
import socket

import anyio
import orjson
import pytest
from bed import Net, on_network, wanted
from memory_bed import Endpoint, start, table_of
from test_admin import admin_request, send_admin_request
from endpoint_acts import until

from lupinmill.protocol.http import Answer
from lupinmill.routing import client_handler, request_reader
from lupinmill.transport import closing
from lupinmill.transport.client import CloseReason
from lupinmill.transport.descriptors import ConnectionKind

LARGE, SMALL, BREAKS = 100_000, 10, 200_000
READS_AFTER_S = 1.2  # longer than a connection lingers where nothing is in its queue
BEHIND = 400_000  # bytes that the client goes on sending
SMALL_BUFFER = 4096


async def act(request):
    """Answers by the request's name."""
    name = request.header(b"req-id")
    if name is None:
        return Answer(200)
    if name.startswith("large"):
        return Answer(200, [(b"X-Name", name.encode())], b"l" * LARGE)
    if name.startswith("breaks"):
        return [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BREAKS, b"b" * (BREAKS // 2)]
    if name.startswith("endless"):
        return [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n" + b"e" * 0x18000]
    return Answer(200, [(b"X-Name", name.encode())], b"s" * SMALL)


class LateReader:
    """A pipelining client that reads late."""

    def __init__(self, address: str) -> None:
        host, port = address.split(":")
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.sock.connect((host, int(port)))
        self.sock.setblocking(False)
        self.received = bytearray()
        self.reset = False

    async def send(self, data: bytes, seconds: float = 0.5) -> None:
        """As much as is taken in that time."""
        rest = memoryview(data)
        with anyio.move_on_after(seconds):
            while rest:
                try:
                    rest = rest[self.sock.send(rest) :]
                except BlockingIOError:
                    await anyio.wait_writable(self.sock)
                except OSError:
                    return

    async def send_on_for(self, seconds: float) -> None:
        """Sends something now and then, as a client does that has not seen the end."""
        until = anyio.current_time() + seconds
        while anyio.current_time() < until:
            try:
                self.sock.send(b"q" * 100)
            except OSError:
                pass  # no room now, or the connection has been reset
            await anyio.sleep(0.02)

    async def read_all(self) -> None:
        """Up to the end of the connection."""
        while True:
            await anyio.wait_readable(self.sock)
            try:
                data = self.sock.recv(65536)
            except ConnectionResetError:
                self.reset = True
                return
            if not data:
                return
            self.received += data

    def whole_answers(self) -> list[tuple[int, int]]:
        """Status and length of each complete answer, in order."""
        found, rest = [], bytes(self.received)
        while head := re.match(rb"HTTP/1.1 (\d+) .*?\r\n\r\n", rest, re.DOTALL):
            length = re.search(rb"content-length: *(\d+)", head[0], re.IGNORECASE)
            size = int(length[1]) if length else 0
            if len(rest) < head.end() + size or length is None:
                break
            found.append((int(head[1]), size))
            rest = rest[head.end() + size :]
        return found


def named(*names: str) -> bytes:
    return b"".join(wanted(name, deadline="1.0") for name in names)


def old_version(name: str) -> bytes:
    return wanted(name, deadline="1.0").replace(b"HTTP/1.1", b"HTTP/1.0")


MORE = wanted("behind", body=b"q" * BEHIND)
BEFORE = [(200, LARGE), (200, SMALL)]
ENDS = {
    "a large answer breaks off": (named("large1", "small1", "breaks1", "small2"), MORE, BEFORE),
    "one in chunks breaks off": (named("large1", "small1", "endless1", "small2"), MORE, BEFORE),
    "one without an end that its client could tell": (
        named("large1", "small1") + old_version("breaks1"),
        MORE,
        BEFORE,
    ),
    "what follows is no request": (
        named("large1", "small1") + b"no request\r\n\r\n",
        b"q" * BEHIND,
        [*BEFORE, (400, None)],
    ),
    "the client asks for the end": (
        named("large1", "small1") + wanted("small2", more="Connection: close\r\n"),
        MORE,
        [*BEFORE, (200, SMALL)],
    ),
    "much follows": (
        named("large1", "small1") + wanted("small2", more="Connection: close\r\n"),
        b"q" * 3_000_000,
        [*BEFORE, (200, SMALL)],
    ),
    "half a request follows": (
        named("large1", "small1") + wanted("late", body=b"q" * 60_000)[:-50_000],
        b"",
        [*BEFORE, (408, None)],
    ),
}


@pytest.mark.parametrize("end", list(ENDS))
def test_whole_answers_before_the_end_of_a_connection_reach_a_client_that_reads_late(end, monkeypatch):
    first, behind, expected = ENDS[end]
    if end == "half a request follows":
        monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 0.3)
        monkeypatch.setattr(request_reader, "MIN_UPLOAD_RATE", 10_000_000)

    async def check(net: Net):
        client = LateReader(net.address)
        with client.sock:
            await client.send(first)
            await anyio.sleep(0.1)
            await client.send(behind)
            await client.send_on_for(READS_AFTER_S)
            with anyio.fail_after(15):
                await client.read_all()
        got = client.whole_answers()
        assert [status for status, _ in got] == [status for status, _ in expected], (got, client.reset)
        assert all(size in (None, length) for (_, size), (_, length) in zip(expected, got))

    on_network(check, act)


def test_an_answer_without_an_end_that_breaks_off_is_told_by_a_reset():
    """HTTP/1.0: only a reset tells it from a complete one."""

    async def check(net: Net):
        client = LateReader(net.address)
        with client.sock:
            await client.send(named("large1") + old_version("endless1"))
            await client.send_on_for(READS_AFTER_S)
            with anyio.fail_after(15):
                await client.read_all()
        assert client.whole_answers() == [(200, LARGE)] and client.reset

    on_network(check, act)


def test_an_idle_client_whose_answer_lies_in_the_queue_is_closed_behind_it():
    """It is told to close for want of descriptors, and sends its next request just then."""

    async def check(net: Net):
        client = LateReader(net.address)
        with client.sock:
            await client.send(named("large1", "small1"))
            listener = net.program.listener
            await until(lambda: listener.idle and not net.program.request_table.pending_requests)
            for idle in list(listener.idle):
                listener.close_idle(idle)
            await anyio.sleep(0.05)
            await client.send(MORE)
            await client.send_on_for(READS_AFTER_S)
            with anyio.fail_after(15):
                await client.read_all()
        assert client.whole_answers()[:2] == BEFORE

    on_network(check, act)


@pytest.mark.parametrize("unread", [0, 60_000])
def test_whole_answers_reach_a_client_that_reads_after_the_process_has_ended(unread, tmp_path):
    """SIGTERM, with bytes of a request that never comes whole."""

    async def main() -> list[tuple[int, int]]:
        endpoint = Endpoint("answers", LARGE)
        server = await endpoint.start()
        process = start(tmp_path, table_of(endpoint, None))
        try:
            started = orjson.loads(await anyio.to_thread.run_sync(process.stdout.readline))
            client = LateReader(started["listen"])
            with client.sock:
                await client.send(named("large1", "large2"))
                await anyio.sleep(0.3)
                await client.send(wanted("late", body=b"q" * 100_000)[: unread and -(100_000 - unread)])
                process.send_signal(signal.SIGTERM)
                assert await anyio.to_thread.run_sync(process.wait) == 0
                await client.read_all()
            return client.whole_answers()
        finally:
            process.kill()
            process.communicate()
            server.close()

    assert anyio.run(main)[:2] == [(200, LARGE), (200, LARGE)]


# --- bounds -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("sends", [True, False])
def test_a_client_that_never_reads_holds_its_connection_no_longer_than_the_bound(sends, monkeypatch):
    monkeypatch.setattr(closing, "STALLED_S", 0.5)

    async def check(net: Net):
        client = LateReader(net.address)
        with client.sock:
            await client.send(named("large1", "breaks1"))
            await until(lambda: net.program.listener.closer.lingering)
            began = anyio.current_time()
            async with anyio.create_task_group() as group:
                if sends:
                    group.start_soon(client.send_on_for, 2.0)
                await until(lambda: not net.program.descriptors.open[ConnectionKind.CLIENT])
                assert 0.4 < anyio.current_time() - began < 5
                group.cancel_scope.cancel()
        (closed,) = [fields for event, fields in net.logs if event == "client_closed"]
        assert closed["reason"] == "answer broke off" and closed["unsent"] > 0
        assert net.program.listener.closer.counts[CloseReason.BROKEN_ANSWER] == 1

    on_network(check, act)


def test_a_client_that_reads_a_little_now_and_then_is_cut_off_in_the_end(monkeypatch):
    monkeypatch.setattr(closing, "MAX_LINGER_S", 1.0)
    monkeypatch.setattr(client_handler, "MAX_LINGER_S", 1.0)

    async def check(net: Net):
        client = LateReader(net.address)
        with client.sock:
            await client.send(named("large1", "breaks1"))
            await until(lambda: net.program.listener.closer.lingering)
            while net.program.descriptors.open[ConnectionKind.CLIENT]:
                await anyio.sleep(0.05)
                client.received += client.sock.recv(2_000)
        assert len(client.received) < LARGE

    on_network(check, act)


def test_lingering_connections_give_way_where_descriptors_are_wanted(monkeypatch):
    """The oldest first, and none before it has had its second."""
    monkeypatch.setattr(closing, "LINGER_S", 0.3)

    async def check(net: Net):
        clients = [LateReader(net.address) for _ in range(3)]
        closer, descriptors = net.program.listener.closer, net.program.descriptors
        for number, client in enumerate(clients):
            await client.send(named(f"large{number}", f"breaks{number}"))
            await until(lambda number=number: len(closer.lingering) == number + 1)
        first = next(iter(closer.lingering))
        assert not descriptors.close_idle_client()
        await anyio.sleep(0.35)
        assert descriptors.close_idle_client() and descriptors.leaving == 1
        await until(lambda: first.closed)
        assert descriptors.leaving == 0 and descriptors.open[ConnectionKind.CLIENT] == 2
        for client in clients:
            client.sock.close()
        await until(lambda: not descriptors.open[ConnectionKind.CLIENT])

    on_network(check, act)


def test_why_connections_were_closed_is_shown():
    async def check(net: Net):
        assert (await net.ask(wanted("small1", more="Connection: close\r\n"))).status == 200
        closer = net.program.listener.closer
        await until(lambda: closer.counts[CloseReason.ANSWERED] == 1)
        status, data = await send_admin_request(net, admin_request("GET", "/admin/clients"))
        table = orjson.loads(data.partition(b"\r\n\r\n")[2])
        assert status == 200 and table["closing answer"] == 1 and table["lingering"] == 0

    on_network(check, act, operator=True)
