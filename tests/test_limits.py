"""Admission control: the gate's control law in virtual time, and the admission controller on sockets."""

from __future__ import annotations

import random
from collections import deque

import pytest
from bed import Net, on_network, settings, wanted

from lupinmill import terms as t
from lupinmill.limits.gate import ENTER_LATENESS, AdmissionGate, AdmissionRequest, Verdict
from lupinmill.limits.gate import HEARTBEAT as GATE_HEARTBEAT
from lupinmill.protocol import fast_path
from lupinmill.protocol.http import Answer
from lupinmill.routing.admission import AdmissionController

MS, SECOND = 1_000, 1_000_000
VIEW = t.Workload("view", 600 * MS, 1500 * MS, 2.0)
BID = t.Workload("bid", 1200 * MS, 3 * SECOND, 8.0, repeat=t.RepeatPolicy.DEDUPLICATED, window=5 * SECOND)
PASSES = 5  # of the event loop that one request needs


class Core:
    """An event loop in virtual time: each pass admits the requests that have arrived, and works on a part of
    each request inside. Seeded. `cost` and `denial` are microseconds of CPU; `slow` multiplies the cost."""

    def __init__(self, seed: int = 1, cost: int = 1_000, denial: int = 60) -> None:
        deployment = t.Deployment(
            seed=seed, workloads=[VIEW, BID], advice_allowed=True, longest_advice=SECOND
        )
        self.gate, self.rng = AdmissionGate(deployment), random.Random(seed)
        self.cost, self.denial, self.now, self.slow = cost, denial, 0, 1.0
        self.inside: list[list] = []  # [passes left, workload, arrived_at]
        self.arriving: deque[tuple[int, str]] = deque()
        self.beat_due, self.denying = GATE_HEARTBEAT, 0
        self.asked = {"view": 0, "bid": 0}
        self.good = {"view": 0, "bid": 0}
        self.denied = {"view": 0, "bid": 0}
        self.denial_waits: list[int] = []
        self.windows: list[float] = []
        self.answered = 0

    def load(self, until: int, rate: float, bids: float = 0.27) -> None:
        at = self.arriving[-1][0] if self.arriving else self.now
        while (at := at + int(self.rng.expovariate(rate / SECOND)) + 1) < until:
            self.arriving.append((at, "bid" if self.rng.random() < bids else "view"))

    def run(self, until: int) -> None:
        while self.now < until:
            self.one_pass()

    def one_pass(self) -> None:
        pass_start, gate = self.now, self.gate
        spent = 20.0
        while self.arriving and self.arriving[0][0] <= pass_start:
            arrived_at, name = self.arriving.popleft()
            self.asked[name] += 1
            hard = VIEW.hard_limit if name == "view" else BID.hard_limit
            request = AdmissionRequest(name, hard - (pass_start - arrived_at), token=(name, arrived_at))
            verdict = gate.admit(pass_start, request)
            if verdict is Verdict.TAKEN:
                self.inside.append([PASSES, name, arrived_at])
            elif verdict is Verdict.DENIED:
                spent += self.denial
                self.denying += self.denial
                self.deny(name, arrived_at)
        for one in self.inside:
            one[0] -= 1
            spent += self.cost * self.slow / PASSES
        self.now = pass_start + max(int(spent), 100)
        for _, name, arrived_at in [one for one in self.inside if not one[0]]:
            gate.finished(self.now)
            self.answered += 1
            self.good[name] += self.now - arrived_at <= (VIEW.contract if name == "view" else BID.contract)
        self.inside = [one for one in self.inside if one[0]]
        if self.now >= self.beat_due:
            gate.record_lateness(self.now, self.now - self.beat_due, self.denying)
            self.denying, self.beat_due = 0, self.now + GATE_HEARTBEAT
            self.windows.append(gate.window if gate.active else float("nan"))
        for request, verdict in gate.release(self.now):
            name, arrived_at = request.token
            if verdict is Verdict.TAKEN:
                self.inside.append([PASSES, name, arrived_at])
            else:
                self.deny(name, arrived_at)

    def deny(self, name: str, arrived_at: int) -> None:
        self.denied[name] += 1
        self.answered += 1
        self.denial_waits.append(self.now - arrived_at)

    def share(self, name: str) -> float:
        return self.good[name] / max(1, self.asked[name])


def test_below_what_it_carries_nothing_is_held_or_denied() -> None:
    core = Core()
    core.load(10 * SECOND, 700)
    core.run(10 * SECOND)
    assert not core.gate.active and core.denied == {"view": 0, "bid": 0}
    assert core.share("view") == core.share("bid") == 1.0


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("times", [1.5, 3.0, 6.0])
def test_bids_are_handled_and_views_are_shed_first(seed: int, times: float) -> None:
    core = Core(seed)
    core.load(10 * SECOND, 1000 * times)
    core.run(13 * SECOND)
    bids = 270 * times
    if bids <= 850:
        assert core.share("bid") > 0.95
    else:  # no lower priority is left to shed: as many bids as fit beside the denials
        assert core.good["bid"] / 10 > 0.5 * (1000 - 0.06 * 1000 * times)
    assert core.share("view") < core.share("bid")
    assert core.answered == sum(core.asked.values()) and not core.gate.held and not core.inside


def test_bids_alone_at_three_times_keep_goodput_near_what_is_carried() -> None:
    core = Core()
    core.load(10 * SECOND, 3000, bids=1.0)
    core.run(13 * SECOND)
    # Of 3,000 requests per second, the denied ones cost 60 us each: at most about 850 per second can be
    # handled.
    assert core.good["bid"] / 10 > 0.75 * 850


def test_denials_come_early_for_the_most_part() -> None:
    core = Core()
    core.load(10 * SECOND, 3000)
    core.run(13 * SECOND)
    waits = sorted(core.denial_waits)
    assert waits[len(waits) * 9 // 10] < 50 * MS
    assert max(waits) < VIEW.hard_limit // 2 + 100 * MS


def test_it_returns_to_normal_soon_after_a_jump() -> None:
    core = Core()
    core.load(2 * SECOND, 600)
    core.load(5 * SECOND, 3000)
    core.load(12 * SECOND, 600)
    core.run(7 * SECOND)
    assert not core.gate.held
    before = dict(core.denied)
    core.run(12 * SECOND)
    assert core.denied == before and not core.gate.active
    assert [text.split(":")[0] for text in core.gate.log] == ["own core short", "own core no longer short"]


@pytest.mark.parametrize("seed", range(1, 5))
def test_the_window_settles_and_does_not_swing(seed: int) -> None:
    """Under constant overload the window's standard deviation over the last seconds stays small against its
    mean, and the core stays in use."""
    core = Core(seed)
    core.load(12 * SECOND, 2000)
    core.run(12 * SECOND)
    last = core.windows[-len(core.windows) // 3 :]
    mean = sum(last) / len(last)
    spread = (sum((window - mean) ** 2 for window in last) / len(last)) ** 0.5
    assert spread < 0.5 * mean, (mean, spread)
    assert (core.good["bid"] + core.good["view"]) / 12 > 700


def test_a_core_that_is_taken_away_and_given_back() -> None:
    core = Core()
    core.load(14 * SECOND, 700)
    core.run(4 * SECOND)
    core.slow = 3.0
    core.run(9 * SECOND)
    assert core.gate.active and core.denied["view"] > 100
    core.slow = 1.0
    core.run(11 * SECOND)
    denied = dict(core.denied)
    core.run(14 * SECOND)
    assert core.denied == denied and core.share("bid") > 0.95


def test_a_lines_wait_ends_whatever_stands_before_it() -> None:
    """The queue of the highest priority and the window are full; waits in other queues still end in time."""
    gate = AdmissionGate(t.Deployment(seed=1, workloads=[VIEW, BID]))
    gate.record_lateness(0, 10 * ENTER_LATENESS)
    assert gate.active
    gate.window = 0.0
    gate.peak_rate = 1000.0
    for _ in range(3):
        assert gate.admit(0, AdmissionRequest("bid", BID.hard_limit)) is Verdict.HELD
        assert gate.admit(0, AdmissionRequest("view", VIEW.hard_limit)) is Verdict.HELD
    ended = [(request.workload, verdict) for request, verdict in gate.release(450 * MS)]
    assert ended == [("view", Verdict.DENIED)] * 3 and gate.held == 3


def test_a_repeat_gives_way_to_a_first_try_and_one_that_left_is_forgotten() -> None:
    gate = AdmissionGate(t.Deployment(seed=1, workloads=[VIEW, BID]))
    gate.record_lateness(0, 10 * ENTER_LATENESS)
    gate.window, gate.peak_rate = 0.0, 1000.0
    repeat, first, bid = (
        AdmissionRequest("view", SECOND, True),
        AdmissionRequest("view", SECOND),
        AdmissionRequest("bid", SECOND),
    )
    for request in (repeat, first, bid):
        assert gate.admit(0, request) is Verdict.HELD
    gate.forget(bid)
    gate.window = 10.0
    assert [request for request, _ in gate.release(10 * MS)] == [first, repeat] and gate.held == 0


def test_what_cannot_be_met_any_more_is_denied_at_once() -> None:
    gate = AdmissionGate(t.Deployment(seed=1, workloads=[VIEW, BID]))
    gate.record_lateness(0, 10 * ENTER_LATENESS)
    gate.window, gate.peak_rate = 0.0, 100.0
    assert gate.admit(0, AdmissionRequest("view", 20 * MS)) is Verdict.DENIED
    assert gate.admit(0, AdmissionRequest("view", SECOND)) is Verdict.HELD


def test_a_denied_one_is_told_when_to_come_back_spread_and_only_where_allowed() -> None:
    gate = AdmissionGate(t.Deployment(seed=1, workloads=[VIEW], advice_allowed=True, longest_advice=SECOND))
    advice = [gate.retry_advice() for _ in range(100)]
    assert min(advice) >= SECOND // 4 and max(advice) <= SECOND and len(set(advice)) > 90
    assert AdmissionGate(t.Deployment(seed=1, workloads=[VIEW], longest_advice=SECOND)).retry_advice() == 0


# The quick parser of request heads.

KNOWN = {"view", "bid"}


def test_a_glance_reads_what_the_parser_reads() -> None:
    found = fast_path.parse_simple_request(
        wanted("a", "view", "0.250000", b"xyz", "Req-Retry: 1\r\nReq-Owner: me\r\n"), KNOWN
    )
    assert found == fast_path.RequestSummary("view", 250_000, "me", True)


@pytest.mark.parametrize("data", [
    wanted("a")[:-1], wanted("a") + b"G", wanted("a", "else"), wanted("a", "view", "-1"),
    wanted("a", "view", "1e3"),
    wanted("a", more="Transfer-Encoding: chunked\r\n"), wanted("a", more="Content-Length: 0\r\n"),
    wanted("a", more="Connection: close\r\n"), wanted("a", more="Expect: 100-continue\r\n"),
    wanted("a", body=b"xx")[:-1], wanted("", "view"), wanted("a", "view", "99"),
    wanted("a").replace(b"Req-Kind: view", b"Req-Kind: bid"), wanted("a").replace(b"\r\n", b"\n"),
    wanted("a").replace(b"Host:", b"Host :"), b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", b"", b"\x00" * 500,
])  # fmt: skip
def test_a_glance_leaves_to_the_parser_what_is_doubtful(data: bytes) -> None:
    assert fast_path.parse_simple_request(data, KNOWN) is None


def test_any_bytes_are_glanced_at_without_a_failure() -> None:
    rng = random.Random(4)
    whole = wanted("a", "bid", "0.5", b"body")
    for _ in range(3000):
        data = bytearray(whole)
        for _ in range(rng.randrange(1, 6)):
            at = rng.randrange(len(data))
            data[at : at + rng.randrange(3)] = bytes(rng.randrange(256) for _ in range(rng.randrange(3)))
        fast_path.parse_simple_request(bytes(data), KNOWN)


# Admission control on sockets.


async def answers(request):
    return Answer(200, [], b"ok")


def shut(net: Net) -> AdmissionGate:
    """Closes the window, as when the core is far behind."""
    admission = net.program.admission
    assert isinstance(admission, AdmissionController)
    admission.gate.record_lateness(0, 10 * ENTER_LATENESS)
    admission.gate.window, admission.gate.peak_rate = 0.0, 1.0
    admission.gate.record_lateness = lambda *_: None
    return admission.gate


def test_what_the_door_denies_reaches_no_module_and_no_endpoint() -> None:
    async def check(net: Net) -> None:
        gate = shut(net)
        for name in "abc":
            answer = await net.ask(wanted(name))
            assert answer is not None and answer.status == 503
            assert 0.25 <= float(answer.header(b"retry-after")) <= 1.0
        assert (
            not [event for event in net.events if isinstance(event, t.RequestArrived)]
            and not net.stands[0].seen
        )
        assert gate.inside == gate.held == 0
        gate.active = False
        answer = await net.ask(wanted("d"))
        assert answer is not None and answer.status == 200

    on_network(check, answers, **settings())


def test_what_waits_at_the_door_is_taken_up_in_its_turn_and_what_is_odd_goes_the_usual_way() -> None:
    async def check(net: Net) -> None:
        gate = shut(net)
        gate.peak_rate = 1000.0
        import anyio

        async with anyio.create_task_group() as group:
            group.start_soon(net.ask, wanted("held"))
            while not gate.held:
                await anyio.sleep(0.005)
            answer = await net.ask(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            assert answer is not None and answer.status == 200
            broken = await net.ask(b"GET /view HTTP/1.1\r\nHost: x\r\nReq-Id: z\r\n\r\n")
            assert broken is not None and broken.status == 400
            gate.window = 5.0
            net.program.admission.release()
        assert [event.request for event in net.events if isinstance(event, t.RequestArrived)] == ["held"]
        assert gate.inside == gate.held == 0

    on_network(check, answers, **settings())
