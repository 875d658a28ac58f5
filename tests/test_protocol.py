"""Parsing: requests, answers, outcomes, load reports and lists, and malformed input."""

import random

import orjson
import pytest

from lupinmill import terms as t
from lupinmill.protocol import client_requests, http, lists, reports, settings
from lupinmill.protocol.http import Answer, ClientSide, Garbled, Malformed, Request, ServerSide

REQUEST = (
    b"POST /view?q=1 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: 77\r\nReq-Deadline: 0.25\r\nCookie: k=5\r\n"
    b"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)


@pytest.mark.parametrize("seed", range(20))
def test_a_request_is_the_same_however_its_bytes_are_cut(seed):
    random_source, side, rest, got = random.Random(seed), ServerSide(), REQUEST, None
    while rest:
        assert got is None
        count = random_source.randint(1, 40)
        side.feed(rest[:count])
        rest = rest[count:]
        got = side.next_request()
    assert (got.method, got.target, got.body) == (b"POST", b"/view?q=1", b"abcde")
    forwarded = http.end_to_end(got.headers)
    assert [key for key, _ in forwarded] == [b"Host", b"Req-Id", b"Req-Deadline", b"Cookie"]


@pytest.mark.parametrize(
    "data, status",
    [
        (b"hello there\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ten\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20_000, 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 33554433\r\n\r\n" + b"z" * 65537, 413),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            + (b"100000\r\n" + b"z" * 2**20 + b"\r\n") * 33,
            413,
        ),
    ],
)
def test_what_is_no_request_is_malformed_and_can_still_be_answered(data, status):
    side = ServerSide()
    with pytest.raises(Malformed) as caught:
        for at in range(0, len(data), 65536):
            side.feed(data[at : at + 65536])
            side.next_request()
    assert caught.value.status == status
    assert side.answer(http.plain(status, "no\n"), True).startswith(b"HTTP/1.1 %d " % status)


def request(**headers: str) -> Request:
    usual = {"Req-Id": "77", "Req-Kind": "view", "Req-Deadline": "0.25"} | headers
    pairs = [(key.replace("_", "-").encode(), value.encode()) for key, value in usual.items() if value != "-"]
    return Request(b"GET", b"/view/more?q=2", pairs)


def test_a_request_becomes_a_submission():
    asked = client_requests.parse(request(**{"Req-Retry": "1", "Req-Owner": "isle"}), {"view"})
    assert asked == client_requests.ClientRequest(
        "77", "view", 250_000, "isle", True, has_idempotency_key=False
    )
    keyed = client_requests.parse(request(**{"Idempotency-Key": "k"}), {"view"})
    assert (
        keyed.has_idempotency_key
        and not client_requests.parse(request(**{"Idempotency-Key": ""}), {"view"}).has_idempotency_key
    )
    assert client_requests.parse(request(**{"Req-Kind": "-"}), {"view"}).workload == "view"


@pytest.mark.parametrize(
    "headers, status",
    [
        ({"Req-Id": "-"}, 400),
        ({"Req-Id": ""}, 400),
        ({"Req-Kind": "odd"}, 404),
        ({"Req-Deadline": "-"}, 400),
        ({"Req-Deadline": "soon"}, 400),
        ({"Req-Deadline": "nan"}, 400),
        ({"Req-Deadline": "inf"}, 400),
        ({"Req-Kind": "bid"}, 400),
        *[
            ({"Req-Deadline": odd}, 400)
            for odd in (
                "-1",
                "-0.2",
                "+1",
                "1_0",
                "1e3",
                "99999999999999999999999",
                "61",
                "\xb2",
                "0x1",
                ".",
                " ",
                "1.2.3",
            )
        ],
    ],
)
def test_bad_headers_get_their_status(headers, status):
    with pytest.raises(Malformed) as caught:
        client_requests.parse(request(**headers), {"view", "bid"})
    assert caught.value.status == status and caught.value.framing_intact


def test_a_launch_goes_on_unchanged_but_for_the_time_left():
    headers = [(b"Req-Deadline", b"9"), (b"A", b"b")]
    sent = client_requests.attempt_request(Request(b"POST", b"/view?q", headers, b"body"), 250_000)
    assert (sent.target, sent.body) == (b"/view?q", b"body")
    assert sent.headers == [(b"A", b"b"), (b"Req-Deadline", b"0.250000")]


@pytest.mark.parametrize(
    "status, headers, how",
    [
        (200, [], t.Outcome.HANDLED),
        (500, [], t.Outcome.ERROR),
        (404, [], t.Outcome.ERROR),
        (503, [], t.Outcome.ERROR),
        (400, [], t.Outcome.REJECTED),
        (429, [], t.Outcome.ERROR),
        (503, [(b"Srv-Declined", b"1")], t.Outcome.REFUSED),
        (504, [(b"srv-declined", b"1")], t.Outcome.REFUSED),
        (500, [(b"Srv-Declined", b"1")], t.Outcome.ERROR),
        (503, [(b"Srv-Declined", b"0")], t.Outcome.ERROR),
    ],
)
def test_outcomes_by_the_protocols_table(status, headers, how):
    assert client_requests.outcome(Answer(status, headers)) is how


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\n\r\nno end told",
        b"HTTP/1.1 2x0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\n" + b"z" * 70_000,
    ],
)
def test_an_answer_that_is_not_whole_or_not_http_is_garbled(data):
    side = ClientSide()
    side.ask(Request(b"GET", b"/", [(b"Host", b"a")]))
    with pytest.raises((Garbled, ConnectionResetError)):
        side.feed(data)
        side.next_answer()
        side.feed(b"")
        side.next_answer()


def test_an_answer_of_before_is_not_mixed_with_the_next_on_its_connection():
    side = ClientSide()
    side.ask(Request(b"GET", b"/", [(b"Host", b"a")]))
    side.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n")
    assert side.next_answer().body == b"ab" and not side.reusable()


def test_reports_by_either_name_and_form():
    expected = t.LoadReport(queued=2.0, busy=0.61)
    for text in ("queue=2,util=0.61", " waiting=2 , cpu=0.61,odd=1", '{"queue":2,"util":0.61}'):
        assert reports.parse(text) == expected
    assert reports.parse("inflight=7,latency_ms=1.5,qps=3") == t.LoadReport(
        held=7.0, service=1500.0, rate=3.0
    )
    assert reports.parse("queue=2,util=1e-05") == t.LoadReport(queued=2.0, busy=1e-05)
    for text in (
        None,
        "",
        "queue",
        "queue=many,util=nan",
        "{broken",
        "util=-1",
        "[1]",
        "queue=x,util=0.5",
        "queue=1_0,util=0.5",
        "queue=1e30,util=0.5",
        "queue=99999999999,util=0.5",
        '{"queue":[1]}',
    ):
        assert reports.parse(text) is None


ROW = {
    "name": "s-5",
    "address": "127.0.0.1:1",
    "zone": "a",
    "type": "m",
    "group": 3,
    "status": "DRAINING",
    "weight": 1.0,
    "since_ms": 1_700_000_000_123,
}


def test_a_list_is_read_with_its_starts_on_the_modules_clock():
    known = lists.parse_response(
        Answer(200, [], orjson.dumps({"index": 7, "snapshot": False, "endpoints": [ROW]}))
    )
    entry = t.ListEntry("s-5", t.EndpointStatus.DRAINING, "a", "m", "3", 1_700_000_000_123_000)
    assert (known.index, known.whole, known.entries) == (7, False, [entry])
    assert known.addresses == {"s-5": "127.0.0.1:1"}


@pytest.mark.parametrize(
    "status, body",
    [
        (503, b"{}"),
        (200, b"{nonsense"),
        (200, b"[]"),
        (200, b'{"index":1}'),
        (200, b'{"index":"x","endpoints":[]}'),
        (200, b'{"index":1,"endpoints":[5]}'),
    ],
)
def test_a_broken_list_is_garbled_and_nothing_else(status, body):
    with pytest.raises(Garbled):
        lists.parse_response(Answer(status, [], body))


def test_nested_settings_and_pairs_give_the_same_deployment():
    nested = {
        "tier": 1,
        "instances": 9,
        "discovery": "ask",
        "accounts": [],
        "blend": {"whole": 0.5, "worst-class": 0.2},
        "limits": {"cancel": True, "probes": False, "most-launches": 4},
        "load-report": {"how": "on_probe"},
        "areas": ["x", "y"],
        "workloads": [{"name": "v", "contract-time-s": 0.6, "repeat": "by_key", "window-s": 5}],
    }
    pairs = {
        "tier": "1",
        "instances": "9",
        "discovery": "ask",
        "blend.whole": "0.5",
        "blend.worst-class": "0.2",
        "limits.cancel": "true",
        "limits.probes": "false",
        "limits.most-launches": "4",
        "load-report.how": "on_probe",
        "areas": "x,y",
        "workloads.count": "1",
        "workloads.0.name": "v",
        "workloads.0.contract-time-s": "0.6",
        "workloads.0.repeat": "by_key",
        "workloads.0.window-s": "5",
    }
    made = settings.deployment(settings.flatten(nested))
    assert made == settings.deployment(pairs)
    assert made.workloads[0].repeat is t.RepeatPolicy.DEDUPLICATED
    assert made.cancel_allowed and not made.probes_allowed


def test_a_large_answer_is_written_without_a_copy_of_its_body():
    """Guards against a body held twice while its client reads slowly."""
    side, body = ServerSide(), b"x" * 60_000
    side.feed(b"GET /view HTTP/1.1\r\nHost: a\r\n\r\n")
    assert side.next_request() is not None
    head, written = side.pieces(Answer(200, [], body), False)
    assert written is body and head.endswith(b"Content-Length: 60000\r\n\r\n") and side.goes_on()
