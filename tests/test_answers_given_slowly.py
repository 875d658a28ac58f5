"""Long answers that endpoints give slowly reach clients whole, also where nothing tells their length."""

import asyncio
import socket
from collections import Counter

import anyio
import pytest
from slow_answers_bed import (
    LATE_S,
    EndlessEndpoint,
    LumpyAnswer,
    LumpyEndpoint,
    Received,
    ask,
    body_of,
    sidecar,
    table_of,
)

from lupinmill.routing.deadline import Deadline
from lupinmill.transport.buffers import BlockPool
from lupinmill.transport.connection import Connection

CLIENTS, ROUNDS = 4, 3
DEADLINE_S = 0.6
LONG = 152_758  # bytes
SHORT = 60_000
HELD_BACK_S = 2.0  # for longer nothing that an endpoint has given may be held back


async def play(
    folder,
    answer: LumpyAnswer,
    workload: str,
    version: str = "1.1",
    kind=LumpyEndpoint,
    deadline_s: float = DEADLINE_S,
    **limits,
):
    """Each client sends one request after another. Returns what they got, and the endpoints."""
    endpoints = [kind(answer) for _ in range(4)]
    servers = [await endpoint.start() for endpoint in endpoints]
    received: list[Received] = []

    async def client(number: int, address: str) -> None:
        for round_ in range(ROUNDS):
            id_ = f"c{number}r{round_}"
            received.append(await ask(address, id_, workload, deadline_s, version))

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


def test_an_answer_that_goes_on_after_the_deadline_may_pause_for_longer(tmp_path):
    """It is still short when a request without any answer would be lost, but its endpoint goes on."""
    answer = LumpyAnswer(LONG, 6, 0.7, "chunked")
    received, _ = asyncio.run(play(tmp_path, answer, "issue"))
    assert [(one.status, one.body == body_of(one.id, LONG)) for one in received] == [(200, True)] * 12


def test_clients_of_http_1_0_get_such_an_answer_too(tmp_path):
    answer = LumpyAnswer(LONG, 6, 0.28, "chunked")
    received, _ = asyncio.run(play(tmp_path, answer, "issue", "1.0"))
    assert [(one.status, one.body == body_of(one.id, LONG)) for one in received] == [(200, True)] * 12


@pytest.mark.parametrize("framing", ["chunked", "close"])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("stops_after", [0, 1, 2])
def test_an_answer_that_never_goes_on_has_failed_before_its_request_is_lost(
    framing, version, stops_after, tmp_path
):
    """Its client gets an error, or can tell that what it got is not whole."""
    answer = LumpyAnswer(SHORT, 6, 0.2, framing, stops_after)
    received, _ = asyncio.run(play(tmp_path, answer, "issue", version))
    assert len(received) == CLIENTS * ROUNDS
    for one in received:
        assert one.status in (200, 502) and not (one.whole and one.status == 200)
        assert one.ended_s < DEADLINE_S + LATE_S


def test_an_answer_that_drips_without_end_has_failed_before_its_request_is_lost(tmp_path):
    answer = LumpyAnswer(SHORT, 1, 0.0, "chunked")
    received, _ = asyncio.run(play(tmp_path, answer, "issue", kind=EndlessEndpoint))
    assert [one.whole and one.status == 200 for one in received] == [False] * CLIENTS * ROUNDS
    assert max(one.ended_s for one in received) < DEADLINE_S + LATE_S


def test_the_rest_of_a_long_answer_is_not_held_back_until_a_far_deadline(tmp_path):
    """What has come of it goes on to the client within two seconds, as the platform wants it."""
    answer = LumpyAnswer(SHORT, 12, 0.25, "chunked")
    received, _ = asyncio.run(play(tmp_path, answer, "issue", deadline_s=3.0))
    for one in received:
        assert one.whole and one.status == 200 and one.began_s < answer.head_after_s + HELD_BACK_S


def test_an_answer_that_is_forwarded_just_when_it_stalls_is_not_waited_for_without_end():
    """The decision comes while the stall is reported, when nothing waits that could be interrupted."""

    async def check() -> None:
        deadline = Deadline(anyio.current_time() + 10)
        with socket.create_server(("127.0.0.1", 0)) as server:
            sock, (other, _) = socket.create_connection(server.getsockname()), server.accept()
        connection = Connection(sock, BlockPool(), lambda: None)
        with other, connection, anyio.fail_after(5):
            assert await deadline.receive(connection, True, deadline.interrupt) is None

    anyio.run(check)


@pytest.mark.parametrize("status, told", [(400, 400), (500, 502)])
def test_a_slow_answer_that_is_no_success_is_taken_whole_or_not_at_all(status, told, tmp_path):
    """Guards against forwarding the part of an error that has come within a second."""
    answer = LumpyAnswer(SHORT, 6, 0.28, "chunked", status=status)
    received, endpoints = asyncio.run(play(tmp_path, answer, "issue", deadline_s=3.0))
    assert [one.status for one in received] == [told] * 12 and all(one.whole for one in received)
    assert all(one.body == body_of(one.id, SHORT) for one in received if told == 400)
    assert not any(endpoint.cut for endpoint in endpoints)


@pytest.mark.parametrize(
    "answer, event",
    [
        (LumpyAnswer(LONG, 6, 0.28, "chunked"), "answer_forwarded"),
        (LumpyAnswer(SHORT, 6, 0.28, "length"), "answer_given_up"),
    ],
)
def test_what_became_of_an_answer_that_had_begun_is_logged(answer, event, tmp_path):
    """For whoever looks for a lost answer: its id, its endpoint, how much had come, and when."""

    async def play() -> list[dict]:
        endpoint = LumpyEndpoint(answer)
        server = await endpoint.start()
        async with sidecar(tmp_path, table_of([endpoint.address])) as running:
            await ask(running.address, "id", "issue", DEADLINE_S)
            await asyncio.sleep(0.1)
        server.close()
        return [line for line in running.log if line["event"] == event]

    (line,) = asyncio.run(play())
    assert (line["submission"], line["workload"], line["endpoint"]) == ("id", "issue", "e0")
    assert 0 < line["bytes"] < answer.size and line["begun_ms"] > 0
