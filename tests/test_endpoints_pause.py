"""Answers that have begun and pause: an endpoint stands still for up to half a second, or never goes on."""

import time

import anyio
import pytest
from bed import IDEM, ONCE, Bed, Net, deployment, listing, on_network, settings, wanted
from test_crossings_endpoints import NO_PROBES, module_is_idle, until_end_of
from endpoint_acts import fine

from lupinmill import terms as t
from lupinmill.rules import MS, REPLACEMENT_LATENCIES, SECOND

PAUSE_S = 0.5  # the longest standstill that the deployments' pages name
SHORT, LONG = b"s" * 60_000, b"l" * 200_000


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n"
CLOSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
# What comes before the pause, what behind it, and the body of both together.
ANSWERS = {
    "within the head": (LENGTH[:20], LENGTH[20:] + SHORT, SHORT),
    "behind the head": (LENGTH, SHORT, SHORT),
    "behind the head of a chunked answer": (CHUNKED, chunk(LONG) + b"0\r\n\r\n", LONG),
    "within the body": (LENGTH + SHORT[:100], SHORT[100:], SHORT),
    "before the last byte": (LENGTH + SHORT[:-1], SHORT[-1:], SHORT),
    "between two chunks": (CHUNKED + chunk(SHORT), chunk(LONG) + b"0\r\n\r\n", SHORT + LONG),
    "within a chunk's first line": (CHUNKED + b"ea", b"60\r\n" + SHORT + b"\r\n0\r\n\r\n", SHORT),
    "before the last chunk": (CHUNKED + chunk(SHORT), b"0\r\n\r\n", SHORT),
    "within the last chunk": (CHUNKED + chunk(SHORT) + b"0\r", b"\n\r\n", SHORT),
    "of an answer that its connection ends": (CLOSE + SHORT[:100], SHORT[100:], SHORT),
    "before the end of its connection": (CLOSE + SHORT, b"", SHORT),
    "of a long answer that its connection ends": (CLOSE + LONG[:100], LONG[100:], LONG),
}


class PausingEndpoint:
    """Serves a request on each connection: sends the first part, pauses, and sends the rest. Answers at once
    while `healthy`."""

    def __init__(self, first: bytes, rest: bytes, pause_s: float, healthy: bool = False) -> None:
        self.first, self.rest, self.pause_s, self.healthy = first, rest, pause_s, healthy
        self.requests = self.closed = 0  # with a pause; connections that the program closed before the end

    async def __call__(self, stream) -> None:
        async with stream:
            await until_end_of(stream, b"\r\n\r\n")
            if self.healthy:
                return await stream.send(CLOSE + b"fine")
            self.requests += 1
            try:
                await stream.send(self.first)
                with anyio.move_on_after(self.pause_s):
                    await stream.receive()
                    self.closed += 1
                    return
                await stream.send(self.rest)
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                self.closed += 1


def with_limits(**changes) -> dict:
    limits = settings()["limits"] | NO_PROBES | changes
    return {"limits": limits}


@pytest.mark.parametrize("answer", list(ANSWERS))
def test_an_answer_that_pauses_reaches_a_client_that_can_not_have_another(answer):
    """Guards against an answer that is given up for a pause (review/2): its request has run, may not run
    twice, and its client has time left."""
    first, rest, body = ANSWERS[answer]
    endpoint = PausingEndpoint(first, rest, PAUSE_S)

    async def check(net: Net):
        got = await net.ask(wanted("s1", "issue", "1.0"))
        assert got is not None and (got.status, got.body) == (200, body)
        await module_is_idle(net)

    net = on_network(check, fine, endpoint=endpoint, limits=NO_PROBES)
    assert (endpoint.requests, endpoint.closed) == (1, 0) and net.ended() == [t.Outcome.HANDLED]


# A pause that may be the end: what another attempt can still do, is done.

ENDLESS_S = 30.0
UNFINISHED = LENGTH + SHORT[:100]
ALLOWED = {"beside it": with_limits(), "in its place": with_limits(**{"may-duplicate": False})}


@pytest.mark.parametrize("workload", ["view", "bid"])
@pytest.mark.parametrize("allowed", list(ALLOWED))
def test_another_attempt_answers_in_time_where_an_answer_never_goes_on(allowed, workload):
    """Guards against waiting for the rest of an answer until its client's time is over, where the request may
    be sent again."""
    endpoint = PausingEndpoint(UNFINISHED, b"", ENDLESS_S, healthy=True)

    async def check(net: Net):
        for number in range(80):  # retries are a tenth of the requests
            assert (await net.ask(wanted(f"earlier{number}"))).status == 200
        endpoint.healthy = False
        for number in range(8):
            assert (await net.ask(wanted(f"s{number}", workload))).status == 200
        await module_is_idle(net)

    net = on_network(check, fine, fine, fine, endpoint=endpoint, **ALLOWED[allowed])
    assert endpoint.requests and endpoint.closed == endpoint.requests
    stalled = [event for event in net.events if isinstance(event, t.ResponseStalled)]
    # Beside the first attempt another one may have begun before the pause counted: its endpoint was silent.
    assert len(stalled) == endpoint.requests or allowed == "beside it"


def test_where_no_other_attempt_may_begin_an_answer_that_never_goes_on_is_waited_for():
    """Its client is told when its time is over, not before: the rest could have come."""
    endpoint = PausingEndpoint(UNFINISHED, b"", ENDLESS_S)

    async def check(net: Net):
        began = anyio.current_time()
        assert (await net.ask(wanted("s1", "issue", "0.8"))).status == 502
        assert anyio.current_time() - began >= 0.7
        await module_is_idle(net)

    net = on_network(check, fine, endpoint=endpoint, limits=NO_PROBES)
    assert (endpoint.requests, endpoint.closed) == (1, 1) and net.ended() == [t.Outcome.CALLED_OFF]


# What the decision module makes of a pause.

HANDLED_BEFORE = 200  # requests, so that retries have a budget
SHORT_WINDOW = t.Workload(
    "move", SECOND, 3 * SECOND, 4.0, 0.2, t.RepeatPolicy.DEDUPLICATED, t.DeduplicationScope.CELL, 60 * MS
)


def with_one_pending(workload: t.Workload, **changes) -> tuple[Bed, str]:
    """A module with one request, whose attempt is 50 ms old."""
    bed = Bed(deployment(workloads=[IDEM, ONCE, SHORT_WINDOW], **changes))
    for _ in range(HANDLED_BEFORE):
        bed.end(bed.arrive(IDEM), 0, t.Outcome.HANDLED, after=20 * MS)
    name = bed.arrive(workload)
    bed.run(50 * MS)
    return bed, name


def stall(bed: Bed, name: str, last: bool = False) -> list[t.Command]:
    """The commands that follow within the longest delay of a retry."""
    return bed.step(t.ResponseStalled(name, 0, last)) + bed.run(60 * MS)


def kinds(commands: list[t.Command]) -> list[type]:
    return [type(one) for one in commands if isinstance(one, t.AbandonAttempt | t.StartAttempt)]


def test_a_pause_brings_one_attempt_beside_the_first_where_two_may_be_pending():
    bed, name = with_one_pending(IDEM)
    assert kinds(stall(bed, name)) == [t.StartAttempt] and bed.out(name) == [0, 1]
    assert kinds(stall(bed, name)) == []  # the pause of one, while the other is pending
    bed.end(name, 0, t.Outcome.HANDLED)
    assert bed.closed[name] == "handled"


def test_a_pause_replaces_the_attempt_where_only_one_may_be_pending():
    bed, name = with_one_pending(IDEM, hedging_allowed=False)
    assert kinds(stall(bed, name)) == [t.AbandonAttempt, t.StartAttempt] and bed.out(name) == [1]
    first, second = (attempt["endpoint"] for attempt in bed.attempts[name])
    assert first != second
    bed.step(t.AttemptEnded(name, 0, t.Outcome.SPOILT, 50 * MS))  # the network's word of it comes later
    assert bed.out(name) == [1] and name in bed.unanswered


@pytest.mark.parametrize("hedging", [True, False])
@pytest.mark.parametrize("reason", ["once", "no budget", "body lost", "window over", "last attempt"])
def test_an_attempt_goes_on_where_a_pause_leaves_nothing_else_to_do(reason, hedging):
    changes = {"max_attempts": 1} if reason == "last attempt" else {}
    workload = {"once": ONCE, "window over": SHORT_WINDOW}.get(reason, IDEM)
    bed, name = with_one_pending(workload, hedging_allowed=hedging, **changes)
    if reason == "no budget":
        bed.sidecar.dispatcher.retries.add(bed.now, HANDLED_BEFORE)
    if reason == "window over":
        bed.run(SHORT_WINDOW.window)
    assert kinds(stall(bed, name, last=reason == "body lost")) == [] and bed.out(name) == [0]
    bed.end(name, 0, t.Outcome.HANDLED)
    assert bed.closed[name] == "handled"


def test_an_attempt_goes_on_where_only_one_may_be_pending_and_no_other_endpoint_is_left():
    bed, name = with_one_pending(IDEM, hedging_allowed=False)
    used = bed.attempts[name][0]["endpoint"]
    gone = [listing(i, t.EndpointStatus.GONE) for i in range(4) if f"e{i}" != used]
    bed.step(t.ListReceived(t.ListKind.CHANGES, gone))
    assert kinds(stall(bed, name)) == [] and bed.out(name) == [0]


# Bytes that arrive say that an endpoint is not silent.


def silent_endpoints(bed: Bed) -> set[str]:
    return {line.split()[0] for line in bed.logs if "set aside: silent" in line}


@pytest.mark.parametrize("giving", [0, 1, 2])
def test_an_endpoint_is_silent_only_where_bytes_are_missing(giving):
    """Guards against setting aside an endpoint that is giving all its answers, and against waiting for one
    that no longer begins any. It has two requests, and gives the answers of so many."""
    bed, first = with_one_pending(ONCE)
    endpoint = bed.attempts[first][0]["endpoint"]
    others = [bed.arrive(ONCE) for _ in range(7)]
    (second,) = [name for name in others if bed.attempts[name][0]["endpoint"] == endpoint]
    for name in others:
        if name != second:
            bed.end(name, 0, t.Outcome.HANDLED, after=10 * MS)
    for _ in range(30):
        for name in [first, second][:giving]:
            bed.step(t.ResponseBytesArrived(endpoint, name, 0))
        bed.end(bed.arrive(ONCE), 0, t.Outcome.HANDLED, after=20 * MS)
    assert silent_endpoints(bed) == (set() if giving else {endpoint})
    bed.run(SECOND // 2)  # nothing more comes
    assert silent_endpoints(bed) == (set() if giving == 2 else {endpoint})


# An answer of untold length that has begun, at the deadline of its client.


def run_to_deadline(bed: Bed, name: str) -> None:
    bed.run(bed.unanswered[name].due - bed.d.round - bed.now)


@pytest.mark.parametrize("workload", [IDEM, ONCE])
def test_an_answer_that_has_begun_is_forwarded_at_the_deadline(workload):
    bed, name = with_one_pending(workload)
    bed.step(t.OpenEndedResponseBegan(name, 0))
    run_to_deadline(bed, name)
    assert bed.to_forward == [name] and name in bed.unanswered
    bed.end(name, 0, t.Outcome.HANDLED)
    assert bed.closed[name] == "handled"


@pytest.mark.parametrize("workload, told", [(IDEM, "denied"), (ONCE, "broken off")])
def test_an_answer_that_breaks_just_when_it_is_forwarded_is_answered_at_once(workload, told):
    bed, name = with_one_pending(workload)
    bed.step(t.OpenEndedResponseBegan(name, 0))
    run_to_deadline(bed, name)
    bed.end(name, 0, t.Outcome.RESET)
    assert bed.closed[name] == told


def test_where_one_of_two_answers_breaks_when_it_is_forwarded_the_other_one_follows():
    bed, name = with_one_pending(IDEM)
    stall(bed, name)
    for number in (0, 1):
        bed.step(t.OpenEndedResponseBegan(name, number))
    run_to_deadline(bed, name)
    bed.end(name, 0, t.Outcome.RESET)
    assert bed.to_forward == [name, name] and name in bed.unanswered
    bed.end(name, 1, t.Outcome.RESET)
    assert bed.closed[name] == "denied"


@pytest.mark.parametrize("begun", [True, False])
@pytest.mark.parametrize("latencies_left", [REPLACEMENT_LATENCIES - 0.5, REPLACEMENT_LATENCIES + 1.5])
def test_an_answer_that_can_be_forwarded_is_not_abandoned_for_one_that_would_begin_too_late(
    begun, latencies_left
):
    """Guards against a second answer that meets the same, and is not even begun at the deadline."""
    bed, _ = with_one_pending(IDEM, hedging_allowed=False)
    for _ in range(60):
        name = bed.arrive(IDEM)
        bed.run(100 * MS)
        bed.end(name, 0, t.Outcome.HANDLED)
    latency = int(bed.sidecar.dispatcher.latency_estimate(IDEM).current)
    name = bed.arrive(IDEM, int(latencies_left * latency) + 50 * MS)
    bed.run(50 * MS)
    if begun:
        bed.step(t.OpenEndedResponseBegan(name, 0))
    abandoned = bed.step(t.ResponseStalled(name, 0))[:1] == [t.AbandonAttempt(name, 0)]
    assert abandoned == (not begun or latencies_left > REPLACEMENT_LATENCIES)


@pytest.mark.parametrize("blocked_s", [0.012, 0.03, 0.1])
def test_an_answer_is_forwarded_though_the_loop_is_blocked_past_the_deadline(blocked_s):
    """Guards against an attempt that gives up at its deadline in the very passes of the loop in which its
    answer is forwarded (issue 84, soak seed 8731)."""
    deadline_s = 0.4
    endpoint = PausingEndpoint(CHUNKED + chunk(SHORT), chunk(LONG) + b"0\r\n\r\n", 2 * deadline_s)

    async def block() -> None:
        await anyio.sleep(deadline_s - 0.01)
        time.sleep(blocked_s)

    async def check(net: Net) -> None:
        for number in range(5):
            async with anyio.create_task_group() as group:
                group.start_soon(block)
                got = await net.ask(wanted(f"s{number}", "issue", str(deadline_s)))
            assert got is not None and (got.status, got.body) == (200, SHORT + LONG)
        await module_is_idle(net)

    net = on_network(check, fine, endpoint=endpoint, limits=NO_PROBES)
    assert (endpoint.requests, endpoint.closed) == (5, 0) and set(net.ended()) == {t.Outcome.HANDLED}
