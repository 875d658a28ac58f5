"""Headers and targets that determine identity, workload, repeat safety and deadline: read once, and either
forwarded as they were written or refused."""

import anyio
import pytest
from bed import Net, on_network, settings, wanted
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from endpoint_acts import fine

from lupinmill.protocol import client_requests, fast_path, http
from lupinmill.protocol.http import Answer, ClientSide, Malformed, Request, ServerSide

KNOWN = {"view", "bid"}
KEPT = [
    (b"Req-Id", b"77"),
    (b"Req-Kind", b"view"),
    (b"Req-Deadline", b"0.25"),
    (b"Req-Retry", b"1"),
    (b"Req-Owner", b"isle"),
    (b"Req-Key", b"week"),
    (b"Req-Extra", b"size=2"),
    (b"Idempotency-Key", b"k"),
    (b"Host", b"a"),
    (b"Retry-After", b"0.5"),
    (b"Srv-Declined", b"1"),
    (b"Srv-Load", b"queue=1"),
]
HEADERS = [(b"Host", b"a"), (b"Req-Id", b"77"), (b"Req-Kind", b"view"), (b"Req-Deadline", b"0.25")]


def view(*more: tuple[bytes, bytes], target: bytes = b"/view?q=1") -> Request:
    return Request(b"GET", target, [*HEADERS, *more])


# --- headers that `Connection` names ------------------------------------------------------------


@pytest.mark.parametrize("name, value", KEPT)
def test_a_header_that_safety_hangs_on_is_kept_whatever_connection_names(name, value):
    for named in (name, name.lower(), b"close, " + name, b"close," + name.upper() + b" ,X"):
        pairs = [(b"Connection", named), (name, value), (b"X", b"1")]
        assert (name, value) in http.end_to_end(pairs)
        if b"X" in named.split(b","):
            assert (b"X", b"1") not in http.end_to_end(pairs)


def test_every_header_that_a_submission_is_read_from_is_kept():
    read = {
        value for name, value in vars(client_requests).items() if name.isupper() and isinstance(value, bytes)
    }
    read -= {client_requests.READY, client_requests.HEALTH, client_requests.STATUS}
    assert len(read) == 9 and read <= http.ALWAYS_FORWARDED


def test_what_is_hop_by_hop_goes_also_when_connection_does_not_name_it():
    pairs = [(b"TE", b"x"), (b"Keep-Alive", b"5"), (b"A", b"1"), (b"B", b"2"), (b"Connection", b"b")]
    assert http.end_to_end(pairs) == [(b"A", b"1")]


@pytest.mark.parametrize("named", ["Idempotency-Key", "Req-Id", "Req-Deadline", "Host", "Req-Kind, close"])
def test_an_endpoint_gets_what_the_client_wrote_whatever_connection_names(named):
    async def check(net: Net):
        assert (await net.ask(wanted("s1", "bid", more=f"Connection: {named}\r\n"))).status == 200

    net = on_network(check, fine)
    (got,) = [one for one in net.stands[0].seen if one.header(b"req-id")]
    assert got.header(b"req-id") == "s1" and got.header(b"idempotency-key") == "k-s1"
    assert got.header(b"req-kind") == "bid" and 0 < float(got.header(b"req-deadline")) <= 1.0
    assert got.header(b"host") == "app.svc"


# --- given twice, or empty ----------------------------------------------------------------------

SINGLE = [
    b"Req-Id",
    b"Req-Kind",
    b"Req-Deadline",
    b"Req-Retry",
    b"Req-Owner",
    b"Req-Key",
    b"Idempotency-Key",
]


@pytest.mark.parametrize("name", SINGLE)
@pytest.mark.parametrize("values", [(b"1", b"1"), (b"1", b"2"), (b"1", b""), (b"", b"1"), (b"", b"")])
def test_a_header_that_safety_hangs_on_given_twice_is_refused(name, values):
    rest = [pair for pair in HEADERS if pair[0] != name]
    pairs = [*rest, (name, values[0]), (name.lower(), values[1])]
    with pytest.raises(Malformed) as caught:
        client_requests.parse(Request(b"GET", b"/view", pairs), KNOWN)
    assert caught.value.status == 400 and caught.value.framing_intact


@pytest.mark.parametrize("name", [b"Req-Id", b"Req-Kind", b"Req-Deadline"])
def test_an_empty_header_of_identity_class_or_deadline_is_refused(name):
    pairs = [(key, b"" if key == name else value) for key, value in HEADERS]
    with pytest.raises(Malformed) as caught:
        client_requests.parse(Request(b"GET", b"/view", pairs), KNOWN)
    assert caught.value.status == 400 and caught.value.framing_intact


@pytest.mark.parametrize("name", ["Req-Id", "Idempotency-Key", "Req-Kind", "Req-Deadline"])
def test_a_request_with_two_of_them_reaches_no_endpoint_and_its_connection_serves_on(name):
    async def check(net: Net):
        host, port = net.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(wanted("s1", more=f"{name}: 0.5\r\n"))
            assert (await stream.receive()).startswith(b"HTTP/1.1 400 ")
            await stream.send(wanted("s2"))
            assert (await stream.receive()).startswith(b"HTTP/1.1 200 ")

    net = on_network(check, fine)
    assert [one.header(b"req-id") for one in net.stands[0].seen if one.header(b"req-id")] == ["s2"]


# --- the quick check is never more lenient than the parser ---------------------------------------


def by_the_parser(data: bytes) -> bool:
    """Whether the parser takes this as one complete request that is accepted."""
    side = ServerSide()
    try:
        side.feed(data)
        request = side.next_request()
        return request is not None and bool(client_requests.parse(request, KNOWN))
    except Malformed:
        return False


def test_a_glance_takes_nothing_that_the_parser_refuses():
    whole = wanted("a", more="Req-Key: x\r\n")
    assert fast_path.parse_simple_request(whole, KNOWN) and by_the_parser(whole)
    lines = [b"%s: 0.5\r\n" % name for name in SINGLE]
    lines += [b"%s:\r\n" % name for name in SINGLE] + [b"Host: b\r\n", b"Content-Length: 0\r\n"]
    lines += [b"X:" + b" " * 1000 + b"1\r\n", b"X: 1\r\n" * 50, b"X: " + b"y" * 1900 + b"\r\n"]
    first, rest = whole.split(b"\r\n", 1)
    doubtful = [first + b"\r\n" + line + rest for line in lines]
    doubtful += [first + b"\r\n" + rest.replace(line, b"") for line in rest.split(b"\r\n") if line]
    doubtful += [first + b"\r\n" + (b"X: " + b"y" * 1900 + b"\r\n") * 10 + rest]
    doubtful += [whole.replace(b"/view", path) for path in (b"/bid", b"//view", b"/b%69d", b"view", b"/x")]
    for data in doubtful:
        assert by_the_parser(data) or fast_path.parse_simple_request(data, KNOWN) is None, data


LINES = st.lists(
    st.tuples(
        st.sampled_from([b"Req-Id", b"REQ-KIND", b"Req-Deadline", b"Req-Retry", b"Req-Owner", b"Req-Key"])
        | st.sampled_from([b"idempotency-key", b"Host", b"Connection", b"Content-Length", b"X", b"Expect"]),
        st.sampled_from([b": ", b":", b":\t", b" :"]),
        st.sampled_from([b"", b"1", b"0.5", b"view", b"bid", b"a b", b"0", b"\xc3\xa9", b"x" * 201]),
        st.sampled_from([b"", b" ", b"\t"]),
    ),
    max_size=3,
)
TARGETS = st.sampled_from(
    [
        b"/view",
        b"/view?q",
        b"/view/x",
        b"/bid?q",
        b"/x",
        b"//view",
        b"/%76iew",
        b"view",
        b"*",
        b"/view/../bid",
    ]
)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=1_000)
@given(st.sampled_from([b"GET", b"POST", b"HEAD", b"CONNECT"]), TARGETS, LINES, st.booleans())
def test_what_a_glance_reads_is_what_the_parser_reads(method, target, lines, hosted):
    first = method + b" " + target + b" HTTP/1.1\r\n"
    known = [b"%s: %s\r\n" % pair for pair in HEADERS[not hosted :]]
    data = first + b"".join(known + [b"".join(line) + b"\r\n" for line in lines]) + b"\r\n"
    seen = fast_path.parse_simple_request(data, KNOWN)
    if seen is not None:
        side = ServerSide()
        side.feed(data)
        read = client_requests.parse(side.next_request(), KNOWN)
        assert (seen.workload, seen.time_left, seen.tenant, seen.is_retry) == (
            read.workload,
            read.time_left,
            read.tenant,
            read.is_retry,
        )


# --- workload names -----------------------------------------------------------------------------

NAMES = ["für-später", "注文", "new order", "a/b", "50%", "tëst", "\N{NO-BREAK SPACE}x", "é"]


def escaped(name: str) -> bytes:
    return b"".join(b"%%%02X" % byte for byte in name.encode())


@pytest.mark.parametrize("name", NAMES)
def test_a_class_is_found_by_its_utf8_header_and_its_percent_encoded_path(name):
    pairs = [pair for pair in HEADERS if pair[0] != b"Req-Kind"]
    named = (b"Req-Kind", name.encode())
    workloads = KNOWN | {name}
    for target in (b"/" + escaped(name), b"/" + escaped(name).lower() + b"/more?x=%41"):
        for headers in (pairs, [*pairs, named]):
            assert client_requests.parse(Request(b"GET", target, headers), workloads).workload == name
        with pytest.raises(Malformed) as caught:
            client_requests.parse(Request(b"GET", target, [*pairs, (b"Req-Kind", b"view")]), workloads)
        assert caught.value.status == 400
    assert client_requests.parse(Request(b"GET", b"/x", [*pairs, named]), workloads).workload == name


def test_a_class_in_no_utf8_is_unknown():
    for target, kind in ((b"/x", b"\xe9"), (b"/%E9", None), (b"/%", None), (b"/%zz", None)):
        pairs = [pair for pair in HEADERS if pair[0] != b"Req-Kind"]
        pairs += [(b"Req-Kind", kind)] if kind else []
        with pytest.raises(Malformed) as caught:
            client_requests.parse(Request(b"GET", target, pairs), KNOWN | {"\xe9"})
        assert caught.value.status == 404


def test_a_tenant_is_found_by_its_utf8_name():
    assert client_requests.parse(view((b"Req-Owner", "Zoë".encode())), KNOWN).tenant == "Zoë"


def test_ids_that_differ_in_a_byte_are_different():
    ids = [b"a", b"a\xa0", b"a\x85", b"a\x1f", b"\xe9", "é".encode(), b"\xa0"]
    pairs = [pair for pair in HEADERS if pair[0] != b"Req-Id"]
    read = {
        client_requests.parse(Request(b"GET", b"/view", [*pairs, (b"Req-Id", one)]), KNOWN).request_id
        for one in ids
    }
    assert len(read) == len(ids)


def test_a_class_with_other_letters_is_served_and_its_target_stays_as_it_was_written():
    target = b"/f%c3%bcr-sp%C3%A4ter/%7Ex?q=%e9&r=http://b/c"
    head = b"GET " + target + b" HTTP/1.1\r\nHost: a\r\nReq-Deadline: 1.0\r\n"

    async def check(net: Net):
        for at, more in enumerate((b"", "Req-Kind: für-später\r\n".encode())):
            assert (await net.ask(head + b"Req-Id: s%d\r\n" % at + more + b"\r\n")).status == 200

    workloads = [settings()["workloads"][0] | {"name": "für-später"}]
    net = on_network(check, fine, workloads=workloads)
    seen = [one for one in net.stands[0].seen if one.header(b"req-id")]
    assert [one.target for one in seen] == [target] * 2


# --- targets ------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "target, taken",
    [
        (b"/view", b"/view"),
        (b"//view//x?//", b"//view//x?//"),
        (b"/view?u=http://a/b", b"/view?u=http://a/b"),
        (b"/view#part", b"/view#part"),
        (b"/a/../view;x=1", b"/a/../view;x=1"),
        (b"http://some.where:8/view?q", b"/view?q"),
        (b"HTTPS://u:p@some.where//view", b"//view"),
        (b"http://[::1]:8/view?http://x", b"/view?http://x"),
        (b"http://some.where", b"/"),
        (b"http://some.where?q=/a", b"/?q=/a"),
        (b"view", None),
        (b"view?next=http://a/bid", None),
        (b"?q", None),
        (b"#/view", None),
        (b"some.where:80", None),
        (b"http:///view", None),
        (b"http://", None),
        (b"http://some.where#x/view", None),
        (b"ftp://some.where/view", None),
        (b"://some.where/view", None),
        (b"*", None),
    ],
)
def test_a_target_is_taken_as_it_is_written_or_refused(target, taken):
    data = b"GET " + target + b" HTTP/1.1\r\nHost: a\r\n\r\n"
    side = ServerSide()
    side.feed(data)
    if taken is None:
        with pytest.raises(Malformed) as caught:
            side.next_request()
        assert caught.value.status == 400
        assert side.answer(http.plain(400, "no\n"), True).startswith(b"HTTP/1.1 400 ")
    else:
        assert side.next_request().target == taken


def test_options_may_ask_of_the_whole_server():
    side = ServerSide()
    side.feed(b"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n")
    assert side.next_request().target == b"*"


# --- an accepted request can be forwarded ---------------------------------------------------------


@pytest.mark.parametrize(
    "head",
    [
        b"GET /view HTTP/1.0\r\n",
        b"GET /view HTTP/1.0\r\nConnection: keep-alive\r\n",
        b"GET http://some.where/view HTTP/1.0\r\n",
        b"GET /view HTTP/1.1\r\nHost: a\r\nConnection: Host\r\n",
        b"GET /view HTTP/1.1\r\nHost:\r\n",
        b"HEAD /view HTTP/1.1\r\nHost: a\r\n",
    ],
)
def test_a_request_in_every_form_that_is_taken_is_served(head):
    async def check(net: Net):
        answer = await net.ask(head + b"Req-Id: s1\r\nReq-Kind: view\r\nReq-Deadline: 1.0\r\n\r\n", 3)
        assert head.startswith(b"HEAD") or answer.status == 200

    net = on_network(check, fine)
    (seen,) = [one for one in net.stands[0].seen if one.header(b"req-id")]
    assert (seen.method, seen.target) == (head.split()[0], b"/view")


def test_connect_is_refused_and_reaches_no_endpoint():
    async def check(net: Net):
        answer = await net.ask(wanted("s1").replace(b"POST /view?q=1", b"CONNECT a:80"))
        assert answer.status == 405

    net = on_network(check, fine)
    assert not [one for one in net.stands[0].seen if one.header(b"req-id")]


def test_odd_bytes_in_values_arrive_as_they_were_written():
    odd = [(b"X", bytes([byte])) for byte in range(256) if byte not in b"\x00\t\n\x0b\x0c\r "]
    odd += [(b"Y!#$%&'*+-.^_`|~09az", b"a \t b"), (b"Empty", b""), (b"Req-Id", b"\xff\x01\x7f")]
    data = b"GET /view HTTP/1.1\r\nHost: a\r\n" + b"".join(b"%s: %s\r\n" % pair for pair in odd) + b"\r\n"
    first, second = ServerSide(), ServerSide()
    first.feed(data)
    request = first.next_request()
    assert request.headers == [(b"Host", b"a"), *odd]
    for _ in range(2):  # another attempt writes the same
        second = ServerSide()
        second.feed(ClientSide().ask(request))
        assert second.next_request().headers == [(b"Host", b"a"), *odd]
    out = first.answer(Answer(200, odd, b"x"), False)
    assert all(b"\r\n%s: %s\r\n" % pair in out for pair in odd)
