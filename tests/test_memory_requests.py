"""Requests while memory is short: refused at once with 503, or passed on in parts, and nothing that was taken
is lost."""

import gc

import anyio
import orjson
import pytest
from bed import Net, on_network, wanted
from test_admin import admin_request, send_admin_request
from test_clients_answers import connect, statuses
from endpoint_acts import always, fine, seen, until

from lupinmill.limits.memory import REQUEST_MEMORY
from lupinmill.protocol.http import Answer, Request

ROOM = 20_000  # bytes beside the first request
BODY = 60_000


def leave(net: Net, room: int) -> None:
    """Leaves room for one request and so many bytes."""
    net.program.memory.requests.limit = net.program.memory.requests.leased + REQUEST_MEMORY + room


@pytest.mark.parametrize("more, size", [("", BODY), ("", 200_000), ("Expect: 100-continue\r\n", BODY)])
def test_a_request_without_room_is_denied_at_once_and_never_attempted(more, size):
    """Half of its body has come. Guards against a wait for the rest, and against an attempt."""

    async def check(net: Net):
        leave(net, ROOM)
        async with await connect(net) as stream:
            request = wanted("s1", "issue", body=b"x" * size, more=more)
            await stream.send(request[: len(request) - size + size // 2])
            with anyio.fail_after(5):
                got = b""
                while b" 503 " not in got:
                    got += await stream.receive()
                while b"denied" not in got:
                    got += await stream.receive()
            assert b"Retry-After: " in got and b"Connection: close" in got
        assert net.program.memory.refused == 1 and "memory_short" in {event for event, _ in net.logs}
        assert (await net.ask(wanted("s2"))).status == 200

    net = on_network(check, fine)
    assert not seen(net, "s1") and len(seen(net, "s2")) == 1


def test_a_whole_request_without_room_keeps_its_connection():
    async def check(net: Net):
        leave(net, ROOM - REQUEST_MEMORY)
        async with await connect(net) as stream:
            await stream.send(wanted("s1"))
            assert await statuses(stream, 1) == [503]
            leave(net, ROOM)
            await stream.send(wanted("s2"))
            assert await statuses(stream, 1) == [200]

    net = on_network(check, fine)
    assert not seen(net, "s1") and len(seen(net, "s2")) == 1


def test_a_readiness_check_is_answered_however_short_memory_is():
    async def check(net: Net):
        net.program.memory.requests.limit = 0
        assert (await net.ask(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")).status == 200

    on_network(check, fine)


@pytest.mark.parametrize("room", [0, ROOM, BODY])
@pytest.mark.parametrize("form", ["length", "chunked"])
def test_an_answer_without_room_comes_whole_in_parts(form, room):
    """The work has been done: guards against an answer that is dropped for want of memory."""
    body = bytes(number % 251 for number in range(BODY))
    parts = [body[at : at + 7_000] for at in range(0, BODY, 7_000)]
    if form == "chunked":
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        pieces = [head, *(b"%x\r\n%b\r\n" % (len(part), part) for part in parts), b"0\r\n\r\n"]
    else:
        pieces = [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY, *parts]

    async def check(net: Net):
        leave(net, room)
        answer = await net.ask(wanted("s1"))
        assert (answer.status, answer.body) == (200, body)

    net = on_network(check, always(pieces))
    assert len(seen(net, "s1")) == 1


def test_a_rejection_by_the_endpoint_keeps_its_text_however_short_memory_is():
    async def check(net: Net):
        leave(net, 0)
        answer = await net.ask(wanted("s1"))
        assert (answer.status, answer.body) == (400, b"w" * 4_000)

    on_network(check, always(Answer(400, [], b"w" * 4_000)))


def test_what_is_held_for_requests_is_shown_and_given_back():
    async def check(net: Net):
        async def shown() -> dict:
            status, data = await send_admin_request(net, admin_request("GET", "/admin/memory"))
            assert status == 200
            return orjson.loads(data.partition(b"\r\n\r\n")[2])

        async with anyio.create_task_group() as group:
            group.start_soon(net.ask, wanted("s1", body=b"x" * BODY))
            await until(lambda: net.program.request_table.pending_requests)
            table = await shown()
            assert table["leased"] == REQUEST_MEMORY + BODY and table["resident"] > 0
        await until(lambda: not net.program.memory.requests.leased)
        table = await shown()
        assert table["leased"] == 0 and table["peak_leased"] >= REQUEST_MEMORY + BODY

    on_network(check, always(Answer(200), 0.3), operator=True)


def test_nothing_of_a_request_is_kept_while_its_connection_rests():
    """Guards against a body or a large head that is held for as long as the client stays."""

    async def check(net: Net):
        async with await connect(net) as stream:
            await stream.send(wanted("s1", body=b"x" * BODY))
            assert await statuses(stream, 1) == [200]
            await until(lambda: not net.program.request_table.pending_requests)
            received_by_endpoints = [one for stand in net.stands for one in stand.seen]
            await until(lambda: len(requests_in_memory("s1")) == 1)
            assert requests_in_memory("s1")[0] is received_by_endpoints[-1]

    on_network(check, fine)


def requests_in_memory(name: str) -> list[Request]:
    return [one for one in gc.get_objects() if isinstance(one, Request) and one.header(b"req-id") == name]
