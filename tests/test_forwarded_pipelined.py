"""Several requests sent at once on one connection of a whole program: each reaches an endpoint as it was
written, in order, and nothing behind a malformed one does."""

import random

import anyio
import h11
import pytest
from bed import Net, on_network, wanted
from endpoint_acts import fine
from test_size import chunked, noise

from lupinmill.protocol.http import Answer, ClientSide

EMPTY = [b"", b"\r\n", b"\n", b"\r\n\r\n\n"]


def requests_of(rng: random.Random) -> list[tuple[bytes, bytes]]:
    """Bytes of requests, and their bodies: together no more than is kept of pipelined bytes."""
    made = []
    for at in range(5):
        body = noise(rng.choice([0, 1, 900, 10_000]), at)
        if at % 2:
            made.append((chunked(f"s{at}", body, at), body))
        else:
            made.append((wanted(f"s{at}", body=body), body))
    return made


async def write_cut(stream, data: bytes, rng: random.Random, cuts: int) -> None:
    places = sorted({rng.randrange(len(data)) for _ in range(cuts)} | {0, len(data)})
    for start, end in zip(places, places[1:], strict=False):
        await stream.send(data[start:end])
        if rng.random() < 0.7:
            await anyio.lowlevel.checkpoint()


async def answers_on(stream, count: int) -> list[Answer]:
    """Reads this many responses, one after the other."""
    got, rest = [], b""
    while len(got) < count:
        side = ClientSide()
        side.http.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        side.http.send(h11.EndOfMessage())
        if rest:
            side.feed(rest)
        while (answer := side.next_answer()) is None:
            side.feed(await stream.receive())
        got.append(answer)
        rest = side.incoming.rest()
    return got


@pytest.mark.parametrize("seed", range(12))
def test_pipelined_requests_reach_the_endpoints_as_they_were_written(seed):
    rng = random.Random(seed)
    made = requests_of(rng)
    data = b"".join(rng.choice(EMPTY) + one for one, _ in made) + rng.choice(EMPTY)

    async def check(net: Net):
        host, port = net.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            async with anyio.create_task_group() as group:
                group.start_soon(write_cut, stream, data, rng, rng.choice([0, 3, 40, 400]))
                got = await answers_on(stream, len(made))
        assert [(one.status, one.body) for one in got] == [(200, b"done-s%d" % at) for at in range(len(made))]

    net = on_network(check, fine, fine)
    seen = {one.header(b"req-id"): one for stand in net.stands for one in stand.seen if one.header(b"req-id")}
    assert len(seen) == len(made)
    for at, (_, body) in enumerate(made):
        one = seen[f"s{at}"]
        assert (one.method, one.target, one.body) == (b"POST", b"/view?q=1", body)
        assert one.header(b"idempotency-key") == f"k-s{at}"


@pytest.mark.parametrize("cuts", [0, 30])
@pytest.mark.parametrize(
    "bad",
    [b"nonsense\r\n\r\n", b"GET x HTTP/1.1\r\nHost: a\r\n\r\n", wanted("odd").replace(b"Host", b"Host ")],
)
def test_nothing_behind_a_malformed_request_reaches_an_endpoint(bad, cuts):
    data, rng = wanted("s1") + bad + wanted("s2") * 3, random.Random(cuts)

    async def check(net: Net):
        host, port = net.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await write_cut(stream, data, rng, cuts)
            assert [one.status for one in await answers_on(stream, 2)] == [200, 400]
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                while True:
                    await stream.receive()

    net = on_network(check, fine)
    assert [one.header(b"req-id") for one in net.stands[0].seen if one.header(b"req-id")] == ["s1"]


@pytest.mark.parametrize("form", ["length", "chunked"])
@pytest.mark.parametrize("size", [10, 70_000, 1_500_000])
def test_half_a_request_and_the_end_of_its_connection_reach_no_endpoint_whole(form, size):
    body = noise(size)
    data = wanted("s2", body=body) if form == "length" else chunked("s2", body, 1)

    async def check(net: Net):
        host, port = net.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(wanted("s1") + data[:-1])
            assert [one.status for one in await answers_on(stream, 1)] == [200]
            await stream.send_eof()
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                while True:
                    assert b"200 OK" not in await stream.receive()
        assert (await net.ask(wanted("s3"))).status == 200

    net = on_network(check, fine)
    assert [one.header(b"req-id") for one in net.stands[0].seen if one.header(b"req-id")] == ["s1", "s3"]
