"""Framing: what a client wrote is what is read, however its bytes are split; nothing is read behind a
malformed request; and a response can be written in every state."""

import socket
import struct
from dataclasses import dataclass

import anyio
import h11
import pytest
from bed import Net, on_network, wanted
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from endpoint_acts import always, fine

from lupinmill import terms as t
from lupinmill.protocol import client_requests, http
from lupinmill.protocol.http import END, Answer, ClientSide, Garbled, Malformed, Request, ServerSide

SEARCH = hypothesis_settings(derandomize=True, deadline=None, max_examples=300)


# --- pipelined requests, split anywhere ---------------------------------------------------------


@dataclass(frozen=True)
class WrittenRequest:
    """A request as a client writes it, and as it should be read."""

    data: bytes
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@st.composite
def written_requests(draw) -> WrittenRequest:
    method = draw(st.sampled_from([b"GET", b"POST", b"HEAD", b"PUT", b"X-odd!"]))
    target = b"/" + draw(st.text("/ab?=%~:;", max_size=12)).encode()
    name = st.text("abcXYZ09-_!", min_size=1, max_size=8).map(lambda text: b"X-" + text.encode())
    plain_bytes = st.sampled_from([bytes([at]) for at in range(0x21, 0x100)])
    value = st.lists(plain_bytes, max_size=6).map(b"".join)
    headers = [(b"Host", b"a"), *draw(st.lists(st.tuples(name, value), max_size=4))]
    body = draw(st.binary(max_size=20) | st.sampled_from([b"\r\n", b"\r\n\r\nGET / HTTP/1.1\r\n", b"\n" * 9]))
    form = draw(st.sampled_from(["none", "length", "chunked"]))
    if form == "none":
        framing, sent, body = [], b"", b""
    elif form == "length":
        framing, sent = [(b"Content-Length", b"%d" % len(body))], body
    else:
        framing, sent = [(b"Transfer-Encoding", b"chunked")], chunks(body, draw(st.integers(1, 9)))
    blank = draw(st.sampled_from([b"", b" ", b"\t "]))
    lines = [b"%s:%s%s%s\r\n" % (key, blank, text, blank) for key, text in [*headers, *framing]]
    line = b"%s %s HTTP/1.1\r\n" % (method, target)
    return WrittenRequest(line + b"".join(lines) + b"\r\n" + sent, method, target, tuple(headers), body)


def chunks(body: bytes, size: int) -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    ext = b';a="b c"'
    return b"".join(b"%x%s\r\n%s\r\n" % (len(part), ext, part) for part in parts) + b"0\r\nX-Sum: 1\r\n\r\n"


def pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    return [data[start:end] for start, end in zip(places, places[1:], strict=False)]


class Conversation:
    """What `ClientHandler.serve_requests` does with the bytes of one connection; a malformed request ends
    it."""

    def __init__(self) -> None:
        self.side, self.got, self.over = ServerSide(), [], False

    def receive(self, data: bytes) -> None:
        self.side.feed(data)
        while not self.over and (request := self.next_request()) is not None:
            self.got.append((request.method, request.target, tuple(request.headers), request.body))
            self.side.answer(Answer(200, [], b"" if request.method == b"HEAD" else b"ok"), False)
            self.over = not self.side.goes_on()

    def next_request(self) -> Request | None:
        try:
            return self.side.next_request()
        except Malformed as error:
            self.over = True
            assert self.side.answer(http.plain(error.status, "no\n"), True).startswith(b"HTTP/1.1 4")
            assert not self.side.goes_on()
            with pytest.raises(Malformed):
                self.side.next_request()
            return None


def without_framing(one: tuple) -> tuple:
    method, target, headers, body = one
    kept = tuple(pair for pair in headers if pair[0] not in (b"Content-Length", b"Transfer-Encoding"))
    return method, target, kept, body


EMPTY = st.sampled_from([b"", b"\r\n", b"\n", b"\r\n\r\n\n", b"\r\n" * 5])


def conversation(data: bytes, cuts: list[int] | None) -> Conversation:
    made = Conversation()
    for piece in pieces(data, cuts) if cuts is not None else [bytes([byte]) for byte in data]:
        if not made.over:
            made.receive(piece)
    return made


@SEARCH
@given(
    st.lists(st.tuples(EMPTY, written_requests()), min_size=1, max_size=4),
    EMPTY,
    st.lists(st.integers(0, 9999)),
)
def test_pipelined_requests_are_the_same_however_they_are_cut(requests, tail, cuts):
    data = b"".join(empty + one.data for empty, one in requests) + tail
    expected = [(one.method, one.target, one.headers, one.body) for _, one in requests]
    for places in (cuts, [], None):
        made = conversation(data, places)
        assert [without_framing(one) for one in made.got] == expected and not made.side.begun()


MALFORMED = [
    b"nonsense\r\n\r\n",
    b"GET /x HTTP/1.1\r\n\r\n",
    b"GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    b"GET /x HTTP/1.1\r\nHost : a\r\n\r\n",
    b"GET /x HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n",
    b"GET /x HTTP/1.1\r\nHost: a\r\nX:" + b" " * 300 + b"b\r\n\r\n",
    b"GET /x HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 17_000 + b"\r\n\r\n",
    b"GET x HTTP/1.1\r\nHost: a\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"HEAD /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
    b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\nabc",
    b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"e" * 2000 + b"\r\na\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b" " * 999 + b"\nx\r\na\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + b"y" * 3000 + b"\r\n\r\n",
]


@pytest.mark.parametrize("first", [b"GET", b"HEAD"])
@pytest.mark.parametrize("bad", MALFORMED)
def test_nothing_is_served_behind_a_malformed_request_and_it_gets_its_answer(bad, first):
    good = first + b" /%d HTTP/1.1\r\nHost: a\r\n\r\n"
    data = good % 1 + bad + good % 2
    for cuts in ([], [len(good % 1)], [len(good % 1) + len(bad)], list(range(0, len(data), 7)), None):
        made = conversation(data, cuts)
        assert made.over and [one[1] for one in made.got] == [b"/1"]


@SEARCH
@given(written_requests(), st.integers(0, 9999), st.lists(st.integers(0, 9999)))
def test_half_a_request_is_none(one, cut, cuts):
    part = one.data[: cut % len(one.data)]
    made = conversation(part, cuts)
    assert not made.got and not made.over and made.side.begun() == bool(part)


@SEARCH
@given(written_requests())
def test_every_attempt_writes_the_same_request(one):
    side = ServerSide()
    side.feed(one.data)
    request = side.next_request()
    launched = client_requests.attempt_request(request, 250_000)
    sent = [ClientSide().ask(launched) for _ in range(2)]
    assert sent[0] == sent[1]
    endpoint = ServerSide()
    endpoint.feed(sent[0])
    got = endpoint.next_request()
    assert (got.method, got.target, got.body) == (one.method, one.target, one.body)
    headers = [pair for pair in got.headers if pair[0] != b"Content-Length"]
    assert headers == [*one.headers, (b"Req-Deadline", b"0.250000")]


def test_the_parts_of_a_chunked_body_are_as_large_as_what_came_at_once():
    """Writing a part for each small chunk would mean a write for each at the endpoint."""
    side, body = ServerSide(), bytes(range(256)) * 256
    side.feed(b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body, 700))
    assert isinstance(side.next_part(), Request)
    assert side.next_part() == body and side.next_part() is END and side.next_part() is None


def test_an_early_answer_to_a_body_that_is_here_serves_the_next_request():
    side = ServerSide()
    post = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(b"abc", 1)
    side.feed(post + b"\r\nGET /y HTTP/1.1\r\nHost: a\r\n\r\n")
    assert isinstance(side.next_part(), Request) and side.next_part() == b"abc"
    side.answer(http.plain(400, "no\n"), False)
    if side.goes_on():
        assert side.next_request().target == b"/y"
    else:
        assert side.next_part() is END


# --- whitespace on which the parser would spend seconds ------------------------------------------


@pytest.mark.parametrize(
    "line", [b"X:" + b" " * 15_000 + b"\x00", b"X:" + b"\t" * 400 + b"\x7f", b"X:" + b"\r\n " * 300 + b"\x00"]
)
def test_many_blanks_are_refused_before_the_parser_sees_them(line):
    server, client = ServerSide(), ClientSide()
    server.feed(b"GET /x HTTP/1.1\r\nHost: a\r\n" + line + b"\r\n\r\n")
    with pytest.raises(Malformed, match="blanks") as caught:
        server.next_request()
    assert caught.value.status == 400
    client.ask(Request(b"GET", b"/", [(b"Host", b"a")]))
    client.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + line + b"\r\n\r\n")
    with pytest.raises(Garbled, match="blanks"):
        client.next_answer()


@pytest.mark.parametrize(
    "filler", [b"1;" + b" " * 15_000 + b"\n", b"0\r\nX:" + b" " * 15_000 + b"\x00\r\n\r\n"]
)
def test_between_chunks_the_parser_is_given_little_at_once(filler, monkeypatch):
    given_to: list[int] = []
    whole = h11.Connection.receive_data

    def counted(connection, data):
        given_to.append(len(connection.trailing_data[0]) + len(data))
        whole(connection, data)

    monkeypatch.setattr(h11.Connection, "receive_data", counted)
    server, client = ServerSide(), ClientSide()
    server.feed(b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + filler)
    with pytest.raises(Malformed):
        server.next_request()
    client.ask(Request(b"GET", b"/", [(b"Host", b"a")]))
    client.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + filler)
    with pytest.raises(Garbled):
        client.next_answer()
    assert max(given_to) <= 2 * http.CHUNK_HEADER_PIECE


# --- responses to clients ------------------------------------------------------------------------

ASKED = [
    b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /x HTTP/1.0\r\n\r\n",
    b"GET /x HTTP/0.9\r\n\r\n",
    b"HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n",
    b"HEAD /x HTTP/1.0\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: upgrade\r\nContent-Length: 0\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n",
]
HEADS = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 \xe9\x01 odd reason\r\nContent-Length: 2\r\nX: \xff\x01\r\n",
    b"HTTP/1.1 200\r\nContent-Length: 2\r\nX:\r\n",
    b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\nConnection: Content-Length, X\r\n",
    b"HTTP/1.1 400 No\r\nContent-Length: 2\r\nX: a\r\n b\r\n",
    b"HTTP/1.1 204 No\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 304 No\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 999 Odd\r\nContent-Length: 2\r\nUpgrade: x\r\nConnection: upgrade\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 7\r\n",
]


def by_endpoint(head: bytes) -> Answer:
    side = ClientSide()
    side.ask(Request(b"GET", b"/", [(b"Host", b"a")]))
    side.feed(head + b"\r\n" + (b"2\r\nok\r\n0\r\n\r\n" if b"chunked" in head else b"ok"))
    answer = side.next_answer()
    assert answer is not None
    return answer


def parse_response(asked: bytes, data: bytes) -> Answer:
    """Read by a separate client, up to the end of the connection."""
    method = asked.split()[0]
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method=method, target="/x", headers=[("Host", "a")]))
    client.send(h11.EndOfMessage())
    client.receive_data(data)
    client.receive_data(b"")
    events = []
    while not isinstance(event := client.next_event(), h11.EndOfMessage):
        events.append(event)
    body = b"".join(bytes(event.data) for event in events[1:])
    return Answer(events[0].status_code, events[0].headers.raw_items(), body)


@pytest.mark.parametrize("asked", ASKED)
@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("close", [False, True])
def test_an_answer_that_was_taken_can_be_written_to_every_client(asked, head, close):
    answer = by_endpoint(head)
    bodiless = asked.startswith(b"HEAD") or answer.status in (204, 304)
    side = ServerSide()
    side.feed(asked)
    assert side.next_request() is not None
    got = parse_response(asked, side.answer(answer, close))
    assert (got.status, got.body) == (answer.status, b"" if bodiless else b"ok")
    assert side.goes_on() == (not close and b"HTTP/1.1" in asked)


@pytest.mark.parametrize("asked", ASKED)
def test_an_answer_in_parts_with_no_length_can_be_written_to_every_client(asked):
    side = ServerSide()
    side.feed(asked)
    assert side.next_request() is not None
    data = side.begin(Answer(200), None, False) + side.part(b"o") + side.part(b"k") + side.end()
    assert parse_response(asked, data).body == (b"" if asked.startswith(b"HEAD") else b"ok")
    assert side.truncation_detectable() == (b"HTTP/1.1" in asked)


@pytest.mark.parametrize("status", [204, 304])
def test_a_body_where_the_status_has_none_is_left_out(status):
    side = ServerSide()
    side.feed(ASKED[0])
    side.next_request()
    assert side.answer(Answer(status, [], b"body"), False).endswith(b"\r\n\r\n")


@pytest.mark.parametrize(
    "answer",
    [Answer(99), Answer(101), Answer(1000), Answer(200, [(b"X", b"a\nb")]), Answer(200, [(b"", b"")])],
)
def test_an_answer_that_cannot_be_written_becomes_another_one(answer):
    for asked in ASKED:
        side = ServerSide()
        side.feed(asked)
        side.next_request()
        assert parse_response(asked, side.answer(answer, False)).status == 502
        assert not side.goes_on()


def test_a_second_answer_is_never_written():
    side = ServerSide()
    side.feed(ASKED[0])
    side.next_request()
    side.answer(Answer(200), False)
    with pytest.raises(h11.LocalProtocolError):
        side.answer(Answer(99), False)


@pytest.mark.parametrize(
    "bad",
    [
        b"nonsense\r\n\r\n",
        b"HEAD /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    ],
)
def test_a_malformed_request_behind_a_head_gets_its_answer_on_its_connection(bad):
    async def check(net: Net):
        host, port = net.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(wanted("s1").replace(b"POST", b"HEAD"))
            assert (await stream.receive()).startswith(b"HTTP/1.1 200 ")
            await stream.send(bad)
            assert (await stream.receive()).startswith(b"HTTP/1.1 40")
            with pytest.raises(anyio.EndOfStream):
                while True:
                    await stream.receive()
        assert not [event for event, _ in net.logs if event == "task_failed"]

    on_network(check, fine)


# --- responses of endpoints ------------------------------------------------------------------------


def client_side(data: bytes, method: bytes = b"GET") -> ClientSide:
    side = ClientSide()
    side.ask(Request(method, b"/", [(b"Host", b"a")]))
    side.feed(data)
    return side


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\nab" % (b"9" * 30),
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab",
        b"HTTP/1.1 099 OK\r\n\r\n",
        b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n",
        b"HTTP/1.1 103 Hints\r\n\r\n" * (http.MAX_INFORMATIONAL + 1),
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * 17_000 + b"\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 4_000 + b"Content-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"e" * 3000 + b"\r\na\r\n0\r\n\r\n",
        b"\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_an_answer_out_of_bounds_is_garbled(data):
    with pytest.raises(Garbled):
        assert client_side(data).next_answer() is None
        pytest.fail("it waits for more")


def test_some_informational_answers_are_passed_over():
    ahead = b"HTTP/1.1 103 Hints\r\n\r\n" * http.MAX_INFORMATIONAL
    side = client_side(ahead + b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert side.next_answer().status == 200 and side.reusable()


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
)
def test_an_answer_to_head_ends_with_its_head_whatever_it_tells(head):
    side = client_side(head, b"HEAD")
    assert side.next_answer().body == b"" and side.reusable() and not side.large


def test_of_a_chunked_answer_the_length_that_it_tells_too_says_nothing():
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\nTransfer-Encoding: chunked\r\n\r\n"
    side = client_side(head + b"2\r\nok\r\n0\r\n\r\n")
    assert side.next_answer().body == b"ok" and side.length is None


@pytest.mark.parametrize("behind", [b"\r\n", b"H", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b"\x00"])
def test_what_lies_behind_an_answer_ends_its_connection(behind):
    for framing in (
        b"Content-Length: 2\r\n\r\nok",
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ):
        side = client_side(b"HTTP/1.1 200 OK\r\n" + framing + behind)
        assert side.next_answer().body == b"ok" and not side.reusable()
        later = client_side(b"HTTP/1.1 200 OK\r\n" + framing)
        assert later.next_answer().body == b"ok" and later.reusable()
        later.feed(behind)
        assert not later.reusable()


def test_an_answer_to_a_request_that_is_not_wholly_written_ends_its_connection():
    side = ClientSide()
    side.begin(Request(b"POST", b"/", [(b"Host", b"a")]), 5)
    side.part(b"abc")
    side.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    assert side.next_answer().body == b"ok" and not side.reusable()


@pytest.mark.parametrize(
    "head", [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", b"HTTP/1.0 200 OK\r\n\r\n"]
)
@pytest.mark.parametrize("size", [4, 100_000])
def test_an_answer_that_a_reset_ends_is_not_whole(head, size):
    seen = []

    async def resets(stream):
        async with stream:
            request, side = None, ServerSide()
            while request is None:
                side.feed(await stream.receive())
                request = side.next_request()
            seen.append(request)
            await stream.send(head + b"x" * size)
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    async def check(net: Net):
        answer = await net.ask(wanted("s1", "issue", deadline="0.5"))
        assert answer is None or answer.status != 200

    net = on_network(check, always("reset"), endpoint=resets)
    assert len([one for one in seen if one.header(b"req-id")]) == 1
    assert t.Outcome.HANDLED not in net.ended() or size > http.MAX_BUFFERED_BODY
