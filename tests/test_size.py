"""Large and slow bodies, and every form of HTTP/1.1: unchanged, within memory limits, never truncated."""

import asyncio
import random
import signal
import socket

import anyio
import h11
import pytest
from bed import IDEM, ONCE, SECOND, Bed, Net, deployment, on_network, wanted
from process_bed import spawn
from endpoint_acts import always, fine, seen, until

from lupinmill import terms as t
from lupinmill.protocol.http import MAX_BUFFERED_BODY, Answer, ClientSide, Garbled, Request, ServerSide
from lupinmill.routing import request_body, request_reader
from lupinmill.routing.request_body import BodyUnavailable, RequestBody
from lupinmill.transport.buffers import MemoryBudget
from lupinmill.workings import RequestTimeout

MIB = 2**20


def noise(size: int, seed: int = 1) -> bytes:
    return random.Random(seed).randbytes(size)


def splits(data: bytes):
    """Every split of the data into two pieces, and a split into single bytes."""
    for at in range(1, len(data)):
        yield [data[:at], data[at:]]
    yield [data[at : at + 1] for at in range(len(data))]


# --- forms of requests and answers --------------------------------------------------------------


CHUNKS = b'3;a=1;b="x"\r\nabc\r\n4\r\ndefg\r\n0\r\nX-Sum: 9\r\n\r\n'
LINE = b"POST /bid?q=1 HTTP/1.1\r\nHost: a\r\n"


@pytest.mark.parametrize(
    "data, target, body",
    [
        (LINE + b"Content-Length: 4\r\n\r\nabcd", b"/bid?q=1", b"abcd"),
        (LINE + b"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n" + CHUNKS, b"/bid?q=1", b"abcdefg"),
        (LINE + b"Transfer-Encoding: Chunked\r\n\r\n" + CHUNKS, b"/bid?q=1", b"abcdefg"),
        (b"\r\n\r\n" + LINE + b"Content-Length: 2\r\n\r\nab", b"/bid?q=1", b"ab"),
        (
            b"POST http://some.where:8/bid?q=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab",
            b"/bid?q=1",
            b"ab",
        ),
        (b"GET http://some.where?q=1 HTTP/1.1\r\nHost: a\r\n\r\n", b"/?q=1", b""),
        (b"GET /view HTTP/1.0\r\n\r\n", b"/view", b""),
        (b"HEAD /view HTTP/1.1\r\nHost: a\r\nConnection: Keep-Alive, TE\r\n\r\n", b"/view", b""),
    ],
)
def test_requests_in_every_form_and_split(data, target, body):
    for pieces in splits(data + b"\r\n" + data):
        side, received = ServerSide(), []
        for piece in pieces:
            side.feed(piece)
            while (request := side.next_request()) is not None:
                received.append(request)
                side.answer(Answer(200, [], b"" if request.method == b"HEAD" else b"ok"), False)
                if not side.goes_on():
                    break
            if side.http.their_state is h11.MUST_CLOSE:
                break
        assert [(one.target, one.body) for one in received] == [(target, body)] * (1 if b"1.0" in data else 2)


@pytest.mark.parametrize(
    "data, status, body, kept",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd", 200, b"abcd", True),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKS, 200, b"abcdefg", True),
        (b"HTTP/1.1 200 OK\r\nConnection: x, ClOsE\r\n\r\nabcd", 200, b"abcd", False),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab", 200, b"ab", False),
        (b"HTTP/1.0 200 OK\r\n\r\nabcd", 200, b"abcd", False),
        (
            b"HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
            200,
            b"a",
            True,
        ),
        (b"HTTP/1.1 204 No\r\n\r\n", 204, b"", True),
        (b"HTTP/1.1 304 No\r\nContent-Length: 7\r\n\r\n", 304, b"", True),
    ],
)
def test_answers_in_every_form_and_split(data, status, body, kept):
    for pieces in splits(data):
        side = ClientSide()
        side.ask(Request(b"GET", b"/", [(b"Host", b"a")]))
        for piece in pieces:
            side.feed(piece)
            answer = side.next_answer()
        if answer is None:
            side.feed(b"")
            answer = side.next_answer()
        assert (answer.status, answer.body, side.reusable()) == (status, body, kept)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab",
        b"HTTP/1.1 200 OK\r\nX: close\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nConnection: closed\r\n\r\nab",
        b"HTTP/1.1 20",
    ],
)
def test_an_end_that_is_none_counts_as_none(data):
    for pieces in splits(data):
        side = ClientSide()
        side.ask(Request(b"GET", b"/", [(b"Host", b"a")]))
        with pytest.raises((Garbled, ConnectionResetError)):
            for piece in pieces:
                side.feed(piece)
                assert side.next_answer() is None
            side.feed(b"")


def test_an_answer_to_head_tells_the_length_and_brings_no_body():
    side, server = ClientSide(), ServerSide()
    server.feed(side.ask(Request(b"HEAD", b"/view", [(b"Host", b"a")])))
    assert server.next_request().method == b"HEAD"
    side.feed(server.answer(Answer(200, [(b"Content-Length", b"70000")]), False))
    answer = side.next_answer()
    assert answer.body == b"" and answer.header(b"content-length") == "70000" and side.reusable()


# --- buffered bodies ----------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(20))
def test_a_body_reaches_its_launches_whole_and_within_its_bounds(seed):
    random_source = random.Random(seed)
    memory_budget = MemoryBudget(random_source.choice([0, 40_000, 10**9]))
    data = noise(300_000, seed)
    body = RequestBody(memory_budget, None)

    async def put() -> None:
        at = 0
        while at < len(data):
            size = random_source.randrange(1, 16_000)
            await body.put(data[at : at + size])
            at += size
            held = sum(len(part) for part in body.parts)
            assert (
                memory_budget.leased <= memory_budget.limit
                and held <= memory_budget.leased + request_body.MAX_UNSENT_BYTES + 16_000
            )
            await anyio.sleep(0)
        body.finish()

    async def attempt(until: int) -> bytes:
        received, number = b"", 0
        while len(received) < until and (part := await body.read(len(received), number)):
            received, number = received + part, number + 1
            if random_source.random() < 0.3:
                await anyio.sleep(0)
        return received

    async def main() -> None:
        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(put)
                first = await attempt(20_000)
                assert data.startswith(first)
                try:
                    assert body.can_restart()
                    assert await attempt(10**9) == data
                except BodyUnavailable:
                    assert not body.can_restart() and memory_budget.limit < len(data)
                    group.cancel_scope.cancel()
        assert (memory_budget.limit < len(data)) == (not body.can_restart())
        body.drop()
        assert memory_budget.leased == 0
        with pytest.raises(BodyUnavailable):
            await body.read(0, 0)

    anyio.run(main)


# --- the module ---------------------------------------------------------------------------------


def test_a_launch_whose_submission_still_comes_takes_no_place_and_looks_not_silent():
    bed = Bed(deployment(), 2)
    for at in range(30):
        bed.step(t.RequestArrived(f"u{at}", "view", bed.now + 60 * SECOND, whole=False))
    assert all(len(bed.out(f"u{at}")) == 1 for at in range(30))
    dispatcher = bed.sidecar.dispatcher
    assert dispatcher.in_flight == 0 and not dispatcher.busy
    for _ in range(40):  # usual requests are quick, so the open uploads look slow
        name = bed.arrive(IDEM)
        bed.end(name, 0, t.Outcome.HANDLED, after=10_000)
        bed.run(100_000)
    assert all(endpoint.report.open for endpoint in dispatcher.endpoint_states.values())
    bed.step(t.RequestBodyReceived("u0", bed.now + SECOND))
    assert dispatcher.in_flight == 1 and len(dispatcher.busy) == 1
    bed.run(SECOND + 50_000)  # the hard limit counts from the last byte
    assert bed.closed["u0"] == "denied" and "u1" not in bed.closed
    bed.end("u0", 0, t.Outcome.CALLED_OFF)
    bed.step(t.RequestCancelled("u1"))
    for at in range(1, 30):
        bed.end(f"u{at}", 0, t.Outcome.UNSENT if at % 2 else t.Outcome.UNCONNECTED)
    assert dispatcher.in_flight == sum(
        endpoint.in_flight for endpoint in dispatcher.endpoint_states.values() if endpoint.report.open
    )


def test_what_can_not_be_sent_once_more_is_denied_where_it_never_ran_and_broken_off_where_it_may_have():
    for outcome, answer in ((t.Outcome.UNCONNECTED, "denied"), (t.Outcome.RESET, "broken off")):
        bed = Bed(deployment(), 3)
        for _ in range(40):
            bed.end(bed.arrive(IDEM), 0, t.Outcome.HANDLED, after=10_000)
        name = bed.arrive(ONCE)
        bed.step(t.AttemptEnded(name, 0, outcome, 10_000, last=True))
        assert bed.closed[name] == answer and len(bed.attempts[name]) == 1


# --- whole programs -----------------------------------------------------------------------------


def chunked(name: str, body: bytes, seed: int, more: str = "") -> bytes:
    random_source, at, parts = random.Random(seed), 0, []
    while at < len(body):
        size = random_source.randrange(1, 60_000)
        piece = body[at : at + size]
        parts.append(b"%x;x=y\r\n%s\r\n" % (len(piece), piece))
        at += size
    head = wanted(name, more="Transfer-Encoding: chunked\r\n" + more).replace(b"Content-Length: 0\r\n", b"")
    return head + b"".join(parts) + b"0\r\nX-Sum: 1\r\n\r\n"


@pytest.mark.parametrize("memory_budget", [0, 2 * MIB, 64 * MIB])
@pytest.mark.parametrize("form", ["length", "chunked"])
def test_bodies_reach_the_endpoint_byte_for_byte(form, memory_budget):
    sizes = [MAX_BUFFERED_BODY, MAX_BUFFERED_BODY + 1, 300_000, MIB + 5, 6 * MIB]

    async def check(net: Net):
        net.program.body_memory.limit = memory_budget
        for at, size in enumerate(sizes):
            body = noise(size, at)
            data = wanted(f"s{at}", body=body) if form == "length" else chunked(f"s{at}", body, at)
            assert (await net.ask(data)).body == b"done-s%d" % at
        await until(lambda: net.program.body_memory.leased == 0)

    net = on_network(check, fine)
    received = {one.header(b"req-id"): one.body for one in net.stands[0].seen if one.header(b"req-id")}
    assert received == {f"s{at}": noise(size, at) for at, size in enumerate(sizes)}


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
def test_large_answers_come_back_byte_for_byte_long_after_the_hard_limit(form):
    body, random_source = noise(3 * MIB), random.Random(4)

    async def act(request):
        if not request.header(b"req-id"):
            return Answer(200)
        head = {
            "length": b"Content-Length: %d" % len(body),
            "chunked": b"Transfer-Encoding: chunked",
            "close": b"Connection: close",
        }[form]
        pieces, at = [b"HTTP/1.1 200 OK\r\n%s\r\n\r\n" % head], 0
        while at < len(body):
            size = random_source.randrange(1, 90_000)
            piece = body[at : at + size]
            pieces.append(b"%x\r\n%s\r\n" % (len(piece), piece) if form == "chunked" else piece)
            at += size
        return pieces + ([b"0\r\n\r\n"] if form == "chunked" else [])

    async def check(net: Net):
        host, port = net.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(wanted("s1", deadline="0.2"))
            side = ClientSide(4 * MIB)
            side.http.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
            side.http.send(h11.EndOfMessage())
            at = 0
            while (answer := side.next_answer()) is None:
                side.feed(await stream.receive())
                at += 1
                if at == 10:
                    await anyio.sleep(0.5)  # a slow reader, well past the hard limit
            assert answer.status == 200 and answer.body == body
            await stream.send(wanted("s2", deadline="0.5"))  # the connection stays usable
            assert (await stream.receive()).startswith(b"HTTP/1.1 200 ")

    net = on_network(check, act)
    assert net.ended()[0] is t.Outcome.HANDLED


def test_an_answer_that_breaks_after_its_first_bytes_looks_broken_to_every_client():
    truncated = [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"20000\r\n" + noise(2**17) + b"\r\n"
    ]

    async def check(net: Net):
        assert await net.ask(wanted("s1")) is None
        host, port = net.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(wanted("s2").replace(b"HTTP/1.1", b"HTTP/1.0"))
            # A clean close would look like the end of the answer.
            with pytest.raises(anyio.BrokenResourceError):
                while True:
                    await stream.receive()

    on_network(check, always(truncated))


def test_a_launch_that_breaks_before_the_last_byte_is_followed_by_another_while_all_is_kept():
    async def broken(net: Net, memory_budget: int, status: int, attempts: int):
        net.program.body_memory.limit = memory_budget
        opened = []
        whole = net.program.connection_pool.open

        async def opens(address):
            connection = await whole(address)
            opened.append(address)
            if len(opened) == 1:
                send, sent = connection.send, []

                async def breaks(data):
                    sent.append(len(data))
                    if sum(sent) > 500_000:
                        raise BrokenPipeError
                    await send(data)

                connection.send = breaks
            return connection

        net.program.connection_pool.open = opens
        data = chunked("s1", noise(4 * MIB), 1)
        data = data.replace(b"/view", b"/issue").replace(b"Kind: view", b"Kind: issue")
        assert (await net.ask(data)).status == status
        assert len(opened) == attempts

    limits = {"probes": False, "most-launches": 4, "cancel": True}
    warm = [wanted(f"w{at}") for at in range(30)]  # retries are limited to a tenth of these

    async def kept(net: Net):
        for data in warm:
            await net.ask(data)
        net.program.connection_pool.close()
        await broken(net, 64 * MIB, 200, 2)

    net = on_network(kept, fine, limits=limits)
    assert [one.body for one in net.stands[0].seen if one.header(b"req-id") == "s1"] == [noise(4 * MIB)]

    async def gone(net: Net):
        for data in warm:
            await net.ask(data)
        net.program.connection_pool.close()
        await broken(net, 0, 503, 1)

    net = on_network(gone, fine, limits=limits)
    assert not seen(net, "s1")


def test_an_endpoint_that_answers_early_ends_the_upload():
    async def check(net: Net):
        host, port = net.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            head = wanted("s1", "issue").replace(b"Content-Length: 0", b"Content-Length: 30000000")
            await stream.send(head)
            answer = b""
            with anyio.move_on_after(10):
                async with anyio.create_task_group() as group:

                    async def send() -> None:
                        with anyio.CancelScope():
                            try:
                                while True:
                                    await stream.send(noise(60_000))
                            except (anyio.BrokenResourceError, OSError):
                                pass

                    group.start_soon(send)
                    answer = await stream.receive()
                    group.cancel_scope.cancel()
            assert answer.startswith(b"HTTP/1.1 413 ")

    async def endpoint(stream) -> None:
        """Answers a request as soon as half a megabyte of it has arrived."""
        async with stream:
            received = 0
            try:
                while received < 500_000:
                    received += len(await stream.receive())
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return  # a probe
            await stream.send(b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
            await anyio.sleep(1)

    net = on_network(check, fine, endpoint=endpoint)
    assert net.ended()[0] is t.Outcome.REJECTED


def test_a_slow_body_is_waited_for_and_a_stuck_one_is_not(monkeypatch):
    monkeypatch.setattr(request_reader, "REQUEST_TIMEOUT_S", 0.4)

    async def check(net: Net):
        host, port = net.address.split(":")
        for size, step, whole in ((60_000, 0.1, True), (100_000, 0.1, True), (100_000, 1.0, False)):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                data = wanted(f"s{size}-{step}", body=noise(size))
                await stream.send(data[:200])
                at, received = 200, b""
                try:
                    while at < len(data):
                        await anyio.sleep(step)
                        await stream.send(data[at : at + 7_000])
                        at += 7_000
                    received = await stream.receive()
                except (anyio.BrokenResourceError, anyio.EndOfStream):
                    pass
                assert received.startswith(b"HTTP/1.1 200 ") == whole
        assert not net.program.request_table.pending_requests and net.program.body_memory.leased == 0

    on_network(check, fine)


def test_a_client_that_leaves_in_the_middle_of_an_upload_leaves_nothing_behind():
    async def check(net: Net):
        host, port = net.address.split(":")
        for at, body in enumerate((noise(300_000), noise(3 * MIB))):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                data = wanted(f"s{at}", body=body)
                await stream.send(data[: len(data) - 100_000])
                await anyio.sleep(0.1)
        await until(
            lambda: not net.program.request_table.pending_requests and net.program.body_memory.leased == 0
        )
        assert (await net.ask(wanted("s2"))).status == 200

    net = on_network(check, fine)
    assert not seen(net, "s0") and not seen(net, "s1") and len(seen(net, "s2")) == 1


# --- memory limit of a process ------------------------------------------------------------------


BULK_SIZE, CONCURRENT_REQUESTS = 32 * MIB, 20
CHUNK = noise(MIB)


class BulkServer(asyncio.Protocol):
    """Counts and checks the received body, then answers with 32 MiB."""

    done: dict[str, int] = {}
    wrong: list[str] = []

    def connection_made(self, transport) -> None:
        self.transport, self.head, self.got, self.at = transport, b"", 0, None

    def data_received(self, data: bytes) -> None:
        if self.at is None:
            self.head += data
            if b"\r\n\r\n" not in self.head:
                return
            head, _, data = self.head.partition(b"\r\n\r\n")
            self.at, self.name = 0, head.lower().partition(b"req-id: ")[2].partition(b"\r\n")[0].decode()
            if not self.name:
                self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                return self.connection_made(self.transport)
        place = self.at % MIB
        if data[: MIB - place] != CHUNK[place : place + len(data[: MIB - place])]:
            self.wrong.append(self.name)
        self.at += len(data)
        if self.at == BULK_SIZE:
            self.done[self.name] = self.at
            asyncio.get_running_loop().create_task(self.answer())

    async def answer(self) -> None:
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BULK_SIZE)
        for _ in range(BULK_SIZE // MIB):
            self.transport.write(CHUNK)
            while self.transport.get_write_buffer_size() > MIB:
                await asyncio.sleep(0.002)
        self.connection_made(self.transport)


def test_twenty_of_32_mib_both_ways_at_once_stay_within_the_memory_told(tmp_path):
    net, peak_mib = Net([fine]), []

    async def one(number: int) -> None:
        reader, writer = await asyncio.open_connection(*net.address.split(":"), limit=MIB)
        head = wanted(f"s{number}", deadline="30").replace(
            b"Content-Length: 0", b"Content-Length: %d" % BULK_SIZE
        )
        writer.write(head)
        for _ in range(BULK_SIZE // MIB):
            writer.write(CHUNK)
            await writer.drain()
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
        for _ in range(BULK_SIZE // MIB):
            assert await reader.readexactly(MIB) == CHUNK
        writer.close()

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await net.start(group)
            server = await asyncio.get_running_loop().create_server(BulkServer, "127.0.0.1", 0)
            address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
            net.table["known"]["endpoints"][0]["address"] = net.discovery.rows[0]["address"] = address
            net.table["limits"]["memory_mb"] = 80
            workloads = [
                one | {"hard-limit-s": 60, "contract-time-s": 60}
                for one in net.table["settings"]["workloads"]
            ]
            net.table["settings"]["workloads"] = workloads
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                net.address = net.table["listen"] = "127.0.0.1:%d" % sock.getsockname()[1]
            process = spawn(tmp_path, net.table, 0)
            try:
                with anyio.fail_after(120):
                    while True:
                        try:
                            if (await net.ask(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")).status == 200:
                                break
                        except OSError:
                            await anyio.sleep(0.05)
                    await asyncio.gather(*(one(number) for number in range(CONCURRENT_REQUESTS)))
                status = open(f"/proc/{process.pid}/status").read()
                peak_mib.append(int(status.partition("VmHWM:")[2].split()[0]) // 1024)
            finally:
                process.send_signal(signal.SIGKILL)
                process.wait()
            group.cancel_scope.cancel()

    anyio.run(main)
    assert len(BulkServer.done) == CONCURRENT_REQUESTS and not BulkServer.wrong
    assert peak_mib[0] <= 80 * 9 // 10, f"{peak_mib[0]} MiB"


def test_what_comes_after_a_body_was_dropped_leases_nothing():
    """Guards against a leak: nothing released the lease of a part that was put after the drop."""
    memory_budget = MemoryBudget(100)

    async def main() -> None:
        body = RequestBody(memory_budget, None)
        await body.put(b"x" * 30)
        body.drop()
        await body.put(b"x" * 30)
        assert memory_budget.leased == 0 and not body.parts

    anyio.run(main)


def test_alarms_of_uploads_that_came_soon_do_not_outlast_them_by_minutes():
    """Guards against timers that kept a request for as long as the slowest body could have taken."""
    bed = Bed(deployment(), 2)
    # This one stays open with an earlier timer, as finished timers are only removed at the head of the heap.
    bed.step(t.RequestArrived("stays", "view", bed.now + 300 * SECOND, whole=False))
    for at in range(50):
        bed.step(t.RequestArrived(f"u{at}", "view", bed.now + 600 * SECOND, whole=False))
        bed.step(t.RequestBodyReceived(f"u{at}", bed.now + SECOND), after=5_000)
        if bed.out(f"u{at}"):
            bed.end(f"u{at}", 0, t.Outcome.HANDLED, after=5_000)
    bed.run(11 * SECOND)
    kept = [
        one[3].request.name for one in bed.sidecar.message_queue.timers if isinstance(one[3], RequestTimeout)
    ]
    assert kept == ["stays"]


def test_an_upload_that_never_ends_is_given_up_at_its_guessed_limit_and_not_before():
    bed = Bed(deployment(), 2)
    bed.step(t.RequestArrived("u", "view", bed.now + 25 * SECOND, whole=False))
    bed.run(24 * SECOND)
    assert "u" in bed.unanswered and bed.out("u")
    bed.run(SECOND)
    assert bed.closed["u"] == "denied"
