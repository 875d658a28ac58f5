"""Long answers that endpoints give slowly reach clients whole, also where nothing tells their length."""

import asyncio
from collections import Counter

import pytest
from slow_answers_bed import LATE_S, LumpyAnswer, LumpyEndpoint, Received, ask, body_of, sidecar, table_of

CLIENTS, ROUNDS = 4, 3
DEADLINE_S = 0.6
LONG = 152_758  # bytes


async def play(folder, answer: LumpyAnswer, workload: str, version: str = "1.1", **limits):
    """Each client sends one request after another. Returns what they got, and the endpoints."""
    endpoints = [LumpyEndpoint(answer) for _ in range(4)]
    servers = [await endpoint.start() for endpoint in endpoints]
    received: list[Received] = []

    async def client(number: int, address: str) -> None:
        for round_ in range(ROUNDS):
            id_ = f"c{number}r{round_}"
            received.append(await ask(address, id_, workload, DEADLINE_S, version))

    async with sidecar(folder, table_of([one.address for one in endpoints], **limits)) as running:
        await asyncio.gather(*(client(number, running.address) for number in range(CLIENTS)))
    for server in servers:
        server.close()
    return received, endpoints


@pytest.mark.parametrize("framing", ["chunked", "close", "length"])
@pytest.mark.parametrize("parts, gap_s", [(6, 0.28), (4, 0.4), (12, 0.15)])
@pytest.mark.parametrize("workload", ["view", "bid", "issue"])
@pytest.mark.parametrize("hedged", [True, False])
def test_a_long_answer_that_is_given_slowly_is_not_cut_off(framing, parts, gap_s, workload, hedged, tmp_path):
    """Guards against ending an answer at its client's deadline while its endpoint still gives it, as nothing
    tells that it is long (issue 74)."""
    answer = LumpyAnswer(LONG, parts, gap_s, framing)
    received, endpoints = asyncio.run(play(tmp_path, answer, workload, **{"may-duplicate": hedged}))
    statuses = Counter(one.status for one in received)
    assert statuses == {200: CLIENTS * ROUNDS}
    for one in received:
        assert one.whole and one.body == body_of(one.id, LONG)
        assert one.began_s < DEADLINE_S + LATE_S


def test_clients_of_http_1_0_get_such_an_answer_too(tmp_path):
    answer = LumpyAnswer(LONG, 6, 0.28, "chunked")
    received, _ = asyncio.run(play(tmp_path, answer, "issue", "1.0"))
    assert [(one.status, one.body == body_of(one.id, LONG)) for one in received] == [(200, True)] * 12
