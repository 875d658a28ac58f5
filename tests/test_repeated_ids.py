"""An id that comes again after its request may have run: at the same process, or at the other one of an
upgrade."""

import asyncio
import socket
import struct
from collections import Counter

import pytest
from memory_bed import start
from slow_answers_bed import ask, header, sidecar, table_of
from start_bed import line_of
from process_bed import free_address


ENDPOINTS = 4
STUCK_S = 15.0  # for a play
WORK_S = 0.3  # that an endpoint takes for a request
LONG_WORK_S = 1.5
DEADLINE_S = 3.0
LEFT_AFTER_S = 0.05  # from the request to the end of its client's connection
NOT_REPEATED = ["bid", "issue"]


class CountingEndpoints:
    """Count how often each id came whole."""

    def __init__(self, work_s: float = WORK_S) -> None:
        self.work_s, self.runs = work_s, Counter()
        self.servers: list[asyncio.Server] = []

    async def start(self) -> list[str]:
        """Returns their addresses."""
        self.servers = [await asyncio.start_server(self.serve, "127.0.0.1", 0) for _ in range(ENDPOINTS)]
        return ["%s:%d" % server.sockets[0].getsockname()[:2] for server in self.servers]

    def close(self) -> None:
        for server in self.servers:
            server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(int(header(head, "content-length") or 0))
                self.runs[header(head, "req-id")] += 1
                await asyncio.sleep(self.work_s)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side has gone, or the test is over
        finally:
            writer.close()


def request_of(id_: str, workload: str) -> bytes:
    return (
        f"POST /{workload} HTTP/1.1\r\nHost: a\r\nReq-Id: {id_}\r\nReq-Kind: {workload}\r\n"
        f"Req-Deadline: {DEADLINE_S}\r\nIdempotency-Key: k{id_}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


async def send_and_leave(address: str, id_: str, workload: str, reset: bool) -> None:
    host, port = address.split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(request_of(id_, workload))
    await asyncio.sleep(LEFT_AFTER_S)
    if reset:
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.close()


@pytest.mark.parametrize("workload", NOT_REPEATED)
@pytest.mark.parametrize("reset", [True, False])
@pytest.mark.parametrize("again_after_s", [0.0, 0.05, 0.5])
def test_an_id_whose_client_left_does_not_run_again(workload, reset, again_after_s, tmp_path):
    """Guards against forgetting an id with its client, though its attempt may have run (issue 74)."""
    endpoints = CountingEndpoints()

    async def play() -> list[int | None]:
        addresses = await endpoints.start()
        async with sidecar(tmp_path, table_of(addresses)) as running:

            async def one(number: int) -> int | None:
                await send_and_leave(running.address, f"id{number}", workload, reset)
                await asyncio.sleep(again_after_s)
                return (await ask(running.address, f"id{number}", workload, DEADLINE_S)).status

            statuses = await asyncio.gather(*(one(number) for number in range(6)))
        endpoints.close()
        return statuses

    statuses = asyncio.run(asyncio.wait_for(play(), STUCK_S))
    assert endpoints.runs == {f"id{number}": 1 for number in range(6)} and statuses == [400] * 6


@pytest.mark.parametrize("workload", [*NOT_REPEATED, "view"])
def test_an_id_that_was_answered_runs_again_only_where_its_class_may(workload, tmp_path):
    endpoints = CountingEndpoints(0.0)

    async def play() -> list[int | None]:
        addresses = await endpoints.start()
        async with sidecar(tmp_path, table_of(addresses)) as running:
            statuses = [(await ask(running.address, "id", workload, DEADLINE_S)).status for _ in range(2)]
        endpoints.close()
        return statuses

    again = workload == "view"
    assert (
        asyncio.run(asyncio.wait_for(play(), STUCK_S)) == [200, 200 if again else 400]
        and endpoints.runs["id"] == 1 + again
    )


def test_an_id_that_surely_never_ran_may_come_again(tmp_path):
    """Its endpoint declines, and its client is told that repeating is safe."""

    class Declining(CountingEndpoints):
        async def serve(self, reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
            writer.close()

    endpoints = Declining()

    async def play() -> list[int | None]:
        addresses = await endpoints.start()
        async with sidecar(tmp_path, table_of(addresses)) as running:
            statuses = [(await ask(running.address, "id", "issue", DEADLINE_S)).status for _ in range(2)]
        endpoints.close()
        return statuses

    assert asyncio.run(asyncio.wait_for(play(), STUCK_S)) == [503, 503]


@pytest.mark.parametrize("workload", NOT_REPEATED)
@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("old_dies", [False, True])
def test_an_id_of_the_old_process_does_not_run_again_at_the_new_one(workload, leaves, old_dies, tmp_path):
    """Guards against a new process that learns of the old one's ids too late, or only while they are open."""
    endpoints, ids = CountingEndpoints(LONG_WORK_S), [f"id{number}" for number in range(6)]

    async def play() -> list[int | None]:
        addresses = await endpoints.start()
        table = table_of(addresses) | {"listen": free_address()}
        environ = {"TMPDIR": str(tmp_path)}
        processes = [start(tmp_path, table, **environ)]
        try:
            await asyncio.to_thread(line_of, processes[0], "started")
            address = table["listen"]
            if leaves:
                first = [send_and_leave(address, id_, workload, False) for id_ in ids]
            else:
                first = [ask(address, id_, workload, DEADLINE_S) for id_ in ids]
            waiting = [asyncio.create_task(one) for one in first]
            while len(endpoints.runs) < len(ids):
                await asyncio.sleep(0.005)
            processes.append(start(tmp_path, table, **environ))
            await asyncio.to_thread(line_of, processes[1], "started")
            if old_dies:
                processes[0].kill()
            again = await asyncio.gather(*(ask(address, id_, workload, DEADLINE_S) for id_ in ids))
            await asyncio.gather(*waiting)
            return [one.status for one in again]
        finally:
            endpoints.close()
            for process in processes:
                process.kill()
                process.communicate()

    statuses = asyncio.run(asyncio.wait_for(play(), STUCK_S))
    assert endpoints.runs == dict.fromkeys(ids, 1) and statuses == [400] * len(ids)
