"""Requests that take long to parse for their size: bodies in chunks of one byte, heads with many headers.
What is parsed between two passes of the event loop is limited, so that other clients are served."""

import asyncio

import anyio
import pytest
from bed import Net, on_network, wanted
from endpoint_acts import fine

from lupinmill.lab.sockets.costly_clients import CostlyClient, many_headers_request, tiny_chunks_request
from lupinmill.protocol.http import (
    END,
    MAX_EVENTS_PER_PART,
    MAX_HEAD_LINES,
    Malformed,
    ReceiveBuffer,
    Request,
    ServerSide,
)
from lupinmill.routing import request_reader

CHUNK = b"1\r\nx\r\n"
CHUNKED_HEAD = wanted("bad", "issue", "5").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
COSTLY_CLIENTS = 4
USUAL_REQUESTS = 40


def parts_of(side: ServerSide) -> list[object]:
    found = []
    while (part := side.next_part()) is not None:
        found.append(part)
    return found


def test_a_part_of_a_body_takes_a_limited_number_of_parser_events(monkeypatch):
    """Guards against parsing all that was read in one go: up to 2,730 events, or 43,690 after a time-out."""
    events = count_events(monkeypatch)
    side = ServerSide()
    side.feed(CHUNKED_HEAD + CHUNK * 1000 + b"0\r\n\r\n")
    assert isinstance(side.next_part(), Request)
    body = bytearray()
    while True:
        events.clear()
        part = side.next_part()
        assert len(events) <= MAX_EVENTS_PER_PART + 1
        if part is END:
            break
        body += part
        assert side.incoming.interrupted == (len(part) == MAX_EVENTS_PER_PART) and side.costly()
    assert bytes(body) == b"x" * 1000


@pytest.mark.parametrize("size", [1, 255, 256, 257, 512, 1000])
def test_what_is_parsed_does_not_depend_on_the_limit(size):
    """The end of a body that is as long as the limit is neither lost nor reported twice."""
    side = ServerSide()
    side.feed(CHUNKED_HEAD + CHUNK * size + b"0\r\n\r\n" + wanted("next"))
    parts = parts_of(side)
    assert parts[-1] is END and b"".join(parts[1:-1]) == b"x" * size
    assert not side.incoming.interrupted and side.incoming.rest() == wanted("next")


def head_with(headers: int) -> bytes:
    more = b"".join(b"x-%d: y\r\n" % at for at in range(headers))
    return wanted("s1").replace(b"\r\n\r\n", b"\r\n" + more + b"\r\n")


def test_a_head_with_many_headers_is_refused_before_it_is_parsed(monkeypatch):
    own = wanted("s1").count(b"\n")
    side = ServerSide()
    side.feed(head_with(MAX_HEAD_LINES - own))
    assert isinstance(side.next_part(), Request)
    received = []
    side = ServerSide()
    monkeypatch.setattr(side.http, "receive_data", received.append)
    side.feed(head_with(MAX_HEAD_LINES - own + 1))
    with pytest.raises(Malformed, match="too many headers"):
        side.next_part()
    assert not received


def count_events(monkeypatch) -> list[None]:
    """A list that grows with each event of the parser."""
    events, parse_event = [], ReceiveBuffer.parse_event

    def counted(buffer: ReceiveBuffer):
        events.append(None)
        return parse_event(buffer)

    monkeypatch.setattr(ReceiveBuffer, "parse_event", counted)
    return events


class PassCounter:
    """The largest number of parser events between two passes of the event loop."""

    def __init__(self, events: list[None]) -> None:
        self.events, self.most, self.ends = events, 0, False
        self.loop = asyncio.get_running_loop()
        self.next_pass()

    def next_pass(self) -> None:
        self.most = max(self.most, len(self.events))
        self.events.clear()
        if not self.ends:
            self.loop.call_soon(self.next_pass)


REQUESTS = {
    "tiny chunks": tiny_chunks_request("issue"),
    "tiny chunks, passed on": tiny_chunks_request("issue"),
    "many headers": many_headers_request("issue"),
}


@pytest.mark.parametrize("shape", REQUESTS)
def test_usual_clients_wait_for_one_limited_piece_of_parsing(shape, monkeypatch):
    """Beside four clients that send costly requests at full speed; their bodies are collected, or passed on
    as they arrive."""
    events = count_events(monkeypatch)
    if shape == "tiny chunks, passed on":
        monkeypatch.setattr(request_reader, "MAX_BUFFERED_BODY", 1024)

    async def check(net: Net):
        costly = [CostlyClient(lambda: net.address, *REQUESTS[shape]) for _ in range(COSTLY_CLIENTS)]
        counter = PassCounter(events)
        try:
            for at in range(USUAL_REQUESTS):
                assert (await net.ask(wanted(f"s{at}"))).status == 200
            assert all(client.connections for client in costly)
        finally:
            counter.ends = True
            for client in costly:
                await anyio.to_thread.run_sync(client.close)
        # the first piece of each costly body, and one more
        assert counter.most <= (COSTLY_CLIENTS + 1) * (MAX_EVENTS_PER_PART + 1)

    on_network(check, fine)


def test_heads_with_many_lines_are_parsed_one_in_a_pass(monkeypatch):
    """However many clients send them at a time."""
    events = count_events(monkeypatch)
    reader = request_reader.RequestReader(None, None, None, None)
    found = []

    async def read(side: ServerSide) -> None:
        found.append(await reader.next_head(side))

    async def main() -> None:
        counter = PassCounter(events)
        async with anyio.create_task_group() as group:
            for _ in range(COSTLY_CLIENTS):
                side = ServerSide()
                side.feed(head_with(200))
                group.start_soon(read, side)
        counter.ends = True
        assert counter.most == 1 and len(found) == COSTLY_CLIENTS and all(found)

    anyio.run(main)
