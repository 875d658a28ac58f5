"""Large requests that endpoints read slowly get their final answers in their time."""

import asyncio
import time
from collections import Counter

import pytest
from slow_answers_bed import LATE_S, Received, SlowReader, sidecar, table_of, upload

RATE = 80_000  # bytes a second
PLAY_S = 6.0
MIB = 1_000_000


@pytest.mark.parametrize(
    "clients, memory_mb, size, deadline_s",
    [(4, 80, 4 * MIB, 1.0), (100, 80, 1 * MIB, 0.8), (100, 48, 1 * MIB, 0.8), (30, 32, 3 * MIB, 1.0)],
)
def test_the_answer_to_a_large_request_comes_in_its_time(clients, memory_mb, size, deadline_s, tmp_path):
    """Guards against counting a body as still to come that its client has written long ago, and that is read
    only as its endpoint takes it (issue 74)."""
    endpoints = [SlowReader(RATE) for _ in range(4)]
    received: list[Received] = []

    async def client(number: int, address: str, end: float) -> None:
        round_ = 0
        while time.monotonic() < end:
            round_ += 1
            received.append(await upload(address, f"c{number}r{round_}", "issue", deadline_s, size))

    async def play() -> None:
        servers = [await endpoint.start() for endpoint in endpoints]
        async with sidecar(tmp_path, table_of([one.address for one in endpoints], memory_mb)) as running:
            end = time.monotonic() + PLAY_S
            await asyncio.gather(*(client(number, running.address, end) for number in range(clients)))
        for server in servers:
            server.close()

    asyncio.run(play())
    runs = {id_ for endpoint in endpoints for id_ in endpoint.runs}
    late = [one for one in received if one.status is not None and one.ended_s > deadline_s + LATE_S]
    assert not late, f"{len(late)} of {len(received)}, at {max(one.ended_s for one in late):.2f} s"
    # Nothing can have run of what is told as failed here, so its client may repeat it.
    assert not [one.id for one in received if one.status == 502 and one.id not in runs]
    assert Counter(one.status is None for one in received)[True] == 0
