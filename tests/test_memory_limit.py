"""A process holds no more than the memory limit that it is told, whatever its clients and endpoints do."""

import asyncio

import orjson
import pytest
from memory_bed import (
    CLIENTS,
    KIB,
    Body,
    Crowd,
    Endpoint,
    Outcome,
    beside_idle_ones,
    play,
    requests,
    small_requests,
    start,
    table_of,
    with_many_headers,
    with_much_ahead,
    with_too_many_headers,
)

UNDER, AT, OVER, LARGE = 64 * KIB - 1, 64 * KIB, 64 * KIB + 1, 120_000
LATE = Body(UNDER, late_end=True)


def all_at_once(*bodies: Body, reads_slowly: bool = False) -> Crowd:
    return lambda address: requests(address, list(bodies), reads_slowly)


SHAPES: dict[str, tuple[Endpoint, Crowd]] = {
    "silent": (Endpoint("silent"), all_at_once(Body(UNDER), Body(AT))),
    "silent, last bytes late": (Endpoint("silent"), all_at_once(LATE)),
    "silent, over 64 KiB in chunks": (Endpoint("silent"), all_at_once(Body(OVER, chunked=True))),
    "never reads, large, last bytes late": (Endpoint("unread"), all_at_once(Body(LARGE, late_end=True))),
    "reads slowly, last bytes late": (Endpoint("slow"), all_at_once(LATE, Body(OVER))),
    "large both ways, clients read slowly": (
        Endpoint("answers", AT),
        all_at_once(Body(AT), Body(100), reads_slowly=True),
    ),
    "beside idle clients": (Endpoint("unread"), lambda address: beside_idle_ones(address, [LATE])),
    "many headers": (Endpoint("silent"), lambda address: small_requests(address, with_many_headers)),
    "much sent ahead": (Endpoint("silent"), lambda address: small_requests(address, with_much_ahead)),
}


async def too_many_headers(address: str) -> list[int | None]:
    return await small_requests(address, with_too_many_headers)


async def together(address: str) -> list[int | None]:
    """Two shapes at a time."""
    crowds = await asyncio.gather(
        requests(address, [LATE, Body(LARGE)]), small_requests(address, with_much_ahead)
    )
    return [status for statuses in crowds for status in statuses]


def check(outcome: Outcome, memory_mb: int, clients: int) -> None:
    assert outcome.exit_code is None
    assert outcome.peak_kb <= memory_mb * KIB, outcome
    # Each has its one final answer: handled, broken off, or a rejection that says when to come back.
    assert outcome.statuses.total() == clients and set(outcome.statuses) <= {200, 502, 503}, outcome.statuses


@pytest.mark.parametrize("memory_mb", [32, 48])
@pytest.mark.parametrize("shape", list(SHAPES))
def test_the_peak_stays_under_the_limit_and_each_request_is_answered(shape, memory_mb, tmp_path):
    endpoint, crowd = SHAPES[shape]
    check(asyncio.run(play(tmp_path, endpoint, memory_mb, crowd)), memory_mb, CLIENTS)


@pytest.mark.parametrize("memory_mb", [32, 48])
def test_the_peak_stays_under_the_limit_with_heads_that_are_refused(memory_mb, tmp_path):
    """Each is told so, as it is no rejection that says when to come back."""
    outcome = asyncio.run(play(tmp_path, Endpoint("silent"), memory_mb, too_many_headers))
    assert outcome.exit_code is None
    assert outcome.peak_kb <= memory_mb * KIB, outcome
    assert outcome.statuses == {400: CLIENTS}


@pytest.mark.parametrize("memory_mb", [32, 64])
def test_the_peak_stays_under_the_limit_with_two_crowds_together(memory_mb, tmp_path):
    outcome = asyncio.run(play(tmp_path, Endpoint("unread"), memory_mb, together))
    check(outcome, memory_mb, 2 * CLIENTS)


@pytest.mark.parametrize("memory_mb, told", [(16, "16"), (22.5, "22.5")])
def test_a_limit_without_room_for_clients_is_one_line_that_names_the_key(memory_mb, told, tmp_path):
    endpoint = Endpoint("silent")
    endpoint.address = "127.0.0.1:9"
    process = start(tmp_path, table_of(endpoint, memory_mb))
    output, error = process.communicate(timeout=20)
    assert process.returncode == 2 and output == b""
    assert error.startswith(b"lupinmill: limits.memory_mb: " + told.encode() + b" ")
    assert error.count(b"\n") == 1


def test_the_least_limit_that_the_refusal_names_is_served(tmp_path):
    endpoint = Endpoint("silent")
    endpoint.address = "127.0.0.1:9"
    _, error = start(tmp_path, table_of(endpoint, 16)).communicate(timeout=20)
    # The two processes are the same but for some pages of libraries.
    enough = float(error.split(b";")[1].split()[0]) + 0.5
    process = start(tmp_path, table_of(endpoint, enough))
    assert orjson.loads(process.stdout.readline())["event"] == "started"
    process.kill()
    process.communicate()
