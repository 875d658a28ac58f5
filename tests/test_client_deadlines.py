"""The remaining time that endpoints are told for a client whose request is larger than the kernel's buffers:
with an event loop that is blocked while it arrives, and with clients that write slowly."""

import re
import socket
import time

import anyio
import pytest
from bed import Net, on_network, settings, wanted

from lupinmill.transport.client import Client

NO_PROBES = settings()["limits"] | {"probes": False}
HELD_UP = 0.4  # seconds
SLACK = 0.15  # seconds that an endpoint may be told beyond the client's remaining time
LAG_SHARE = 1 / 3  # of a deadline that is kept back at most while the event loop lags
CLOCK_ERROR = 0.01  # seconds by which clocks and written figures may be off
SEND_BUFFER = 8 * 1024 * 1024  # bytes: the client's kernel accepts a whole request at once
SO_SNDBUFFORCE = 32
DEADLINE = 2.0  # seconds
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def unused(request):
    raise AssertionError("the stand-in is not used")


def request(name: str, size: int, chunked: bool = False, deadline: float = DEADLINE) -> bytes:
    body = b"x" * (size - 3) + b"end"
    data = wanted(name, "issue", str(deadline), body=body)
    if chunked:
        data = data.replace(b"Content-Length: %d" % size, b"Transfer-Encoding: chunked")
        data = data.replace(body, b"%x\r\n%s\r\n0\r\n\r\n" % (size, body))
    return data


class SlowWriter:
    """A client in a thread of its own, which the program's event loop cannot block."""

    def __init__(self, address: str, large_buffer: bool = True) -> None:
        host, port = address.split(":")
        self.sock = socket.socket()
        if large_buffer:
            try:
                self.sock.setsockopt(socket.SOL_SOCKET, SO_SNDBUFFORCE, SEND_BUFFER)
            except OSError:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        self.sock.connect((host, int(port)))
        self.written = 0.0  # when the last byte was

    def write(self, data: bytes, piece: int = 0, pause: float = 0.0, stop: float = 0.0) -> bytes:
        """Sends piece by piece, with one longer pause in the middle; returns the first bytes of the
        response."""
        piece = piece or len(data)
        for at in range(0, len(data), piece):
            self.sock.sendall(data[at : at + piece])
            self.written = time.monotonic()
            if at + piece < len(data):
                time.sleep(pause + stop * (at <= len(data) // 2 < at + piece))
        return self.sock.recv(64)


class Endpoint:
    """Records by how much the time told to the endpoint exceeds the remaining time of `writer`'s client."""

    def __init__(self) -> None:
        self.told: list[tuple[float, float]] = []  # seconds, and when

    async def serve(self, stream) -> None:
        async with stream:
            try:
                while True:
                    await self.one(stream)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass

    async def one(self, stream) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
        told = float(re.search(rb"Req-Deadline: ([0-9.]+)", data)[1])
        self.told.append((told, time.monotonic()))
        tail = data[-16:]
        while not (tail.endswith(b"end") or tail.endswith(b"end\r\n0\r\n\r\n")):
            tail = (tail + await stream.receive())[-16:]
        await stream.send(OK)


def excess_deadline(told: tuple[float, float], written: float, deadline: float = DEADLINE) -> float:
    """Seconds told beyond the remaining time at that moment."""
    seconds, at = told
    return seconds - (deadline - max(0.0, at - written))


def block_loop_once(monkeypatch, after: int, seconds: float = HELD_UP) -> None:
    """The event loop is blocked once, when this many bytes have been read from the client."""
    receive, read = Client.receive, [0]

    async def late(client: Client) -> bytes:
        if after <= read[0] < 1 << 40:
            read[0] = 1 << 40
            time.sleep(seconds)
        data = await receive(client)
        read[0] += len(data)
        return data

    monkeypatch.setattr(Client, "receive", late)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [200_000, 500_000, 1_300_000, 4_000_000])
@pytest.mark.parametrize("after", [1, 150_000])
def test_endpoints_are_told_no_time_that_passed_while_the_loop_was_held_up(after, size, chunked, monkeypatch):
    """Guards against 0.38 to 0.40 s too much: bytes that wait in the sender's buffer get the timestamp of
    their arrival."""
    block_loop_once(monkeypatch, after)
    endpoint = Endpoint()

    async def check(net: Net):
        writer = SlowWriter(net.address)
        data = request("s1", size, chunked)
        assert (await anyio.to_thread.run_sync(writer.write, data)).startswith(b"HTTP/1.1 200")
        writer.sock.close()
        (told,) = endpoint.told
        assert told[1] - writer.written > HELD_UP / 2, "the loop was not held up behind the last byte"
        assert excess_deadline(told, writer.written) < SLACK

    on_network(check, unused, endpoint=endpoint.serve, limits=NO_PROBES)


@pytest.mark.parametrize("size", [500_000, 1_300_000])
def test_the_final_answer_comes_before_the_deadline_of_a_client_that_was_read_late(size, monkeypatch):
    """Also guarded by the hard limit, which is cut by up to a third if the loop lags
    (`RequestFactory.due`)."""
    block_loop_once(monkeypatch, 1)

    async def silent(stream) -> None:
        async with stream:
            try:
                while True:
                    await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass

    async def check(net: Net):
        writer = SlowWriter(net.address)
        data = request("s1", size, deadline=1.0)
        answer = await anyio.to_thread.run_sync(writer.write, data)
        writer.sock.close()
        assert answer.startswith(b"HTTP/1.1 50") and time.monotonic() - writer.written < 1.0 + SLACK

    on_network(check, unused, endpoint=silent, limits=NO_PROBES)


@pytest.mark.parametrize("size", [500_000, 4_000_000])
def test_nothing_is_begun_for_a_client_whose_time_may_be_over_already(size, monkeypatch):
    """The client is told at once that a retry is harmless, although part of its body was not read yet."""
    block_loop_once(monkeypatch, 1)
    endpoint = Endpoint()

    async def check(net: Net):
        writer = SlowWriter(net.address)
        data = request("s1", size, deadline=0.3)
        answer = await anyio.to_thread.run_sync(writer.write, data)
        writer.sock.close()
        assert answer.startswith(b"HTTP/1.1 503")
        assert not net.program.request_table.pending_requests

    on_network(check, unused, endpoint=endpoint.serve, limits=NO_PROBES)
    assert not endpoint.told


def test_a_request_written_behind_a_large_one_is_told_no_time_that_passed_meanwhile(monkeypatch):
    """Guards against counting the request's arrival from when the body before it was read."""
    block_loop_once(monkeypatch, 1)
    endpoint = Endpoint()

    async def check(net: Net):
        writer = SlowWriter(net.address)
        data = request("s1", 900_000) + request("s2", 3)
        await anyio.to_thread.run_sync(writer.write, data)
        with anyio.fail_after(5):
            while len(endpoint.told) < 2:
                await anyio.sleep(0.01)
        writer.sock.close()
        assert all(excess_deadline(told, writer.written) < SLACK for told in endpoint.told)

    on_network(check, unused, endpoint=endpoint.serve, limits=NO_PROBES)


@pytest.mark.parametrize("held_up", [False, True])
@pytest.mark.parametrize(
    "piece, pause, stop",
    [(3_000, 0.002, 0.0), (15_000, 0.015, 0.0), (100_000, 0.1, 0.0), (600_000, 0.0, 1.0)],
)
def test_a_client_that_writes_slowly_keeps_its_time(piece, pause, stop, held_up, monkeypatch):
    """Writing takes longer than its deadline, and nearly all of the deadline is left after its last byte. A
    part of what arrived in a backlog may count as written before."""
    if held_up:
        block_loop_once(monkeypatch, 1)
    endpoint = Endpoint()

    async def check(net: Net):
        writer = SlowWriter(net.address)
        data = request("s1", 1_300_000, deadline=0.8)
        answer = await anyio.to_thread.run_sync(writer.write, data, piece, pause, stop)
        writer.sock.close()
        assert answer.startswith(b"HTTP/1.1 200")
        (told,) = endpoint.told
        assert (
            excess_deadline(told, writer.written, 0.8) < SLACK and told[0] > 0.8 - SLACK - HELD_UP * held_up
        )

    on_network(check, unused, endpoint=endpoint.serve, limits=NO_PROBES)


def lost_time(told: tuple[float, float], began: float, deadline: float) -> float:
    """Seconds that an endpoint was told too little, for a client that began to write its request then."""
    seconds, at = told
    return deadline - (at - began) - seconds


@pytest.mark.parametrize("held_up", [False, True])
def test_large_requests_in_a_row_on_one_connection_keep_their_time(held_up, monkeypatch):
    """Each gets its response before the next is written; together they take longer than one deadline. A
    request loses the time since its own first byte and what is kept back for a loop that lags, no more."""
    endpoint, size, deadline = Endpoint(), 300_000, 0.5
    if held_up:
        block_loop_once(monkeypatch, 3 * size + 1, 0.25)

    async def check(net: Net):
        writer = SlowWriter(net.address)
        began = []
        while not began or time.monotonic() - began[0] <= 1.5:
            data = request(f"s{len(began)}", size, deadline=deadline)
            began.append(time.monotonic())
            answer = await anyio.to_thread.run_sync(writer.write, data)
            assert answer.startswith(b"HTTP/1.1 200"), (len(began), time.monotonic() - began[0])
        writer.sock.close()
        assert len(endpoint.told) == len(began) > 4
        lost = [lost_time(told, at, deadline) for told, at in zip(endpoint.told, began, strict=True)]
        assert max(lost) < LAG_SHARE * deadline + CLOCK_ERROR

    on_network(check, unused, endpoint=endpoint.serve, limits=NO_PROBES)
