"""Another process comes up at the address of an endpoint that has gone, before discovery tells it."""

import asyncio
import socket
import struct
from collections import Counter

import pytest
from bed import IDEM, KEYED, KEYED_ALL, SECOND, Bed, deployment
from slow_answers_bed import ask, header, sidecar, table_of

from lupinmill import terms as t
from lupinmill.rules import MS

STUCK_S = 15.0  # for a play
REQUESTS = 40


class ReplacedEndpoint:
    """Each fourth request, once it has come whole, ends its process with a reset; another one, of another
    group, listens there at once. `runs`: ids by process."""

    def __init__(self) -> None:
        self.port, self.process, self.requests = 0, 0, 0
        self.runs: list[tuple[int, str]] = []
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{self.port}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                self.runs.append((self.process, header(head, "req-id")))
                if self.requests % 4 == 0:
                    self.process += 1
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side has gone, or the test is over
        finally:
            writer.close()


def test_a_request_bound_to_a_group_does_not_run_at_the_process_that_took_its_endpoints_place(tmp_path):
    """Guards against taking it for the old one: it is of another group, which drops no repeat (issue 74)."""
    endpoint = ReplacedEndpoint()

    async def play() -> None:
        async with sidecar(tmp_path, table_of([await endpoint.start()])) as running:
            for number in range(REQUESTS):
                await ask(running.address, f"id{number}", "bid", 1.0)
        endpoint.server.close()

    asyncio.run(asyncio.wait_for(play(), STUCK_S))
    assert endpoint.process > 3
    assert [id_ for id_, count in Counter(id_ for _, id_ in endpoint.runs).items() if count > 1] == []


@pytest.mark.parametrize("workload, again", [(KEYED, False), (KEYED_ALL, True), (IDEM, True)])
@pytest.mark.parametrize("outcome", [t.Outcome.RESET, t.Outcome.SPOILT, t.Outcome.ERROR])
def test_where_one_endpoint_is_left_only_what_may_run_anywhere_is_repeated_there(workload, again, outcome):
    bed = Bed(deployment(), 1)
    for _ in range(60):
        bed.end(bed.arrive(IDEM), 0, t.Outcome.HANDLED, after=20 * MS)
    name = bed.arrive(workload)
    bed.run(20 * MS)
    bed.end(name, 0, outcome)
    bed.run(SECOND // 2)
    assert (len(bed.attempts[name]) > 1) == again


def test_what_never_ran_is_sent_there_again():
    bed = Bed(deployment(), 1)
    for _ in range(60):
        bed.end(bed.arrive(IDEM), 0, t.Outcome.HANDLED, after=20 * MS)
    name = bed.arrive(KEYED)
    bed.run(20 * MS)
    bed.end(name, 0, t.Outcome.REFUSED)
    bed.run(SECOND // 2)
    assert len(bed.attempts[name]) > 1
