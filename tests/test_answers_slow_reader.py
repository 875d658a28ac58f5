"""Large answers to clients that read slowly, over real sockets: whole as long as the client reads, given up
in bounded time when it stops."""

from __future__ import annotations

import socket
import time
from collections.abc import Awaitable, Callable

import anyio

from lupinmill.routing import response_writer
from lupinmill.routing.response_writer import ResponseWriter
from lupinmill.transport.buffers import BlockPool
from lupinmill.transport.client import Client
from lupinmill.transport.connection import Connection
from lupinmill.transport.progress import AcknowledgementProgress

PART_BYTES = 64 * 1024
RECEIVE_BUFFER_BYTES = 64 * 1024
READ_INTERVAL_S = 0.02
Send = Callable[[Client, bytes], Awaitable[None]]


class SlowReader:
    """Both ends of a connection, of which the far one reads `rate` bytes a second."""

    def __init__(self, rate: int) -> None:
        self.rate, self.got = rate, 0
        listener = socket.create_server(("127.0.0.1", 0))
        self.far = socket.socket()
        self.far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.far.connect(listener.getsockname())
        near, _ = listener.accept()
        listener.close()
        self.far.setblocking(False)
        self.near = Client(near, BlockPool(), lambda: None)

    async def read(self) -> None:
        began = time.monotonic()
        while True:
            want = int(self.rate * (time.monotonic() - began)) - self.got
            if want > 0:
                try:
                    self.got += len(self.far.recv(want))
                except BlockingIOError:
                    pass
            await anyio.sleep(READ_INTERVAL_S)

    async def fill_queues(self) -> None:
        """Sends until both kernels take no more, so that their sizes play no part in what follows."""
        while True:
            with anyio.move_on_after(0.3) as scope:
                await self.near.send(bytes(PART_BYTES))
            if scope.cancelled_caught:
                return

    def close(self) -> None:
        self.near.close()
        self.far.close()


async def send_until_read(reader: SlowReader, count: int, send: Send) -> None:
    """Sends part after part until the far end, which reads meanwhile, has read so many bytes."""
    async with anyio.create_task_group() as group:
        group.start_soon(reader.read)
        while reader.got < count:
            await send(reader.near, bytes(PART_BYTES))
        group.cancel_scope.cancel()


async def send_with_timeout(client: Client, data: bytes) -> None:
    await client.send_while_read(data, 3.0)


async def send_until_given_up(reader: SlowReader, stall_timeout_s: float) -> float:
    """Returns how many seconds the last part was tried for."""
    with anyio.fail_after(20):
        while True:
            began = time.monotonic()
            try:
                await reader.near.send_while_read(bytes(PART_BYTES), stall_timeout_s)
            except TimeoutError as error:
                assert "reads nothing" in str(error)
                return time.monotonic() - began


def test_a_client_that_reads_slowly_gets_its_answer_though_its_socket_is_not_writable_for_long(monkeypatch):
    """Guards against answers cut off while the client reads (`review/1`): the kernel calls the socket
    writable when a third of its send buffer is free, for which this client takes longer than the time-out."""

    async def main() -> int:
        reader = SlowReader(150_000)
        try:
            await reader.fill_queues()
            await send_until_read(reader, 1_000_000, ResponseWriter(None, print).write)
            return reader.got
        finally:
            reader.close()

    monkeypatch.setattr(response_writer, "STREAM_STALL_TIMEOUT_S", 3.0)
    assert anyio.run(main) >= 1_000_000


def test_a_client_that_stops_reading_is_given_up_in_bounded_time():
    async def main() -> float:
        reader = SlowReader(0)
        try:
            return await send_until_given_up(reader, 0.5)
        finally:
            reader.close()

    assert anyio.run(main) >= 0.5


def test_a_client_that_reads_for_a_while_and_then_stops_is_given_up():
    async def main() -> int:
        reader = SlowReader(400_000)
        try:
            await reader.fill_queues()
            await send_until_read(reader, 300_000, send_with_timeout)
            await send_until_given_up(reader, 0.5)
            return reader.got
        finally:
            reader.close()

    assert anyio.run(main) >= 300_000


def test_a_kernel_that_tells_nothing_leaves_what_it_takes_as_progress(monkeypatch):
    """Where the queue can't be asked, a client that reads is still told from one that has stopped."""
    monkeypatch.setattr(Connection, "unacknowledged", lambda connection: None)

    async def main() -> float:
        reader = SlowReader(300_000)
        try:
            await reader.fill_queues()
            await send_until_read(reader, 1_200_000, send_with_timeout)
            return await send_until_given_up(reader, 0.5)
        finally:
            reader.close()

    assert anyio.run(main) >= 0.5


def test_progress_counts_from_the_last_byte_that_was_acknowledged():
    progress = AcknowledgementProgress(10.0, 500)
    assert progress.stalled_s(12.0, 500) == 2.0
    assert progress.stalled_s(13.0, 499) == 0.0
    assert progress.stalled_s(16.0, 499) == 3.0
    assert progress.stalled_s(17.0, 0) == 0.0
    assert progress.stalled_s(19.0, None) == 2.0


def test_bytes_that_are_written_later_are_no_progress():
    progress = AcknowledgementProgress(0.0, 500)
    assert progress.stalled_s(1.0, 700) == 1.0
    assert progress.stalled_s(2.0, 600) == 2.0
    assert progress.stalled_s(3.0, 499) == 0.0
