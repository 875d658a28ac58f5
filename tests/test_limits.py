"""The gate before the program: its law in virtual time, and the door on sockets."""

from __future__ import annotations

import random
from collections import deque

import pytest

from bed import Net, on_network, settings, wanted
from lupinmill import terms as t
from lupinmill.limits.gate import ENTER, Fate, Gate, Offer
from lupinmill.limits.gate import BEAT as GATE_BEAT
from lupinmill.protocol import fast_path
from lupinmill.protocol.http import Answer
from lupinmill.routing.door import Door

MS, SECOND = 1_000, 1_000_000
VIEW = t.Workload("view", 600 * MS, 1500 * MS, 2.0)
BID = t.Workload("bid", 1200 * MS, 3 * SECOND, 8.0, repeat=t.RepeatPolicy.DEDUPLICATED, window=5 * SECOND)
PASSES = 5  # of the loop that one request needs


class Core:
    """A loop in virtual time: each pass takes up what has come and works on all that is inside, a part each.
    Seeded. `cost` and `denial` are microseconds of CPU; `slow` makes all dearer for a while."""

    def __init__(self, seed: int = 1, cost: int = 1_000, denial: int = 60) -> None:
        d = t.Deployment(seed=seed, workloads=[VIEW, BID], advice_allowed=True, longest_advice=SECOND)
        self.gate, self.chance = Gate(d), random.Random(seed)
        self.cost, self.denial, self.now, self.slow = cost, denial, 0, 1.0
        self.inside: list[list] = []  # [passes left, workload, came]
        self.arriving: deque[tuple[int, str]] = deque()
        self.beat_due, self.denying = GATE_BEAT, 0
        self.asked = {"view": 0, "bid": 0}
        self.good = {"view": 0, "bid": 0}
        self.denied = {"view": 0, "bid": 0}
        self.denial_waits: list[int] = []
        self.windows: list[float] = []
        self.answered = 0

    def load(self, until: int, rate: float, bids: float = 0.27) -> None:
        at = self.arriving[-1][0] if self.arriving else self.now
        while (at := at + int(self.chance.expovariate(rate / SECOND)) + 1) < until:
            self.arriving.append((at, "bid" if self.chance.random() < bids else "view"))

    def run(self, until: int) -> None:
        while self.now < until:
            self.one_pass()

    def one_pass(self) -> None:
        began, gate = self.now, self.gate
        spent = 20.0
        while self.arriving and self.arriving[0][0] <= began:
            came, name = self.arriving.popleft()
            self.asked[name] += 1
            hard = VIEW.hard_limit if name == "view" else BID.hard_limit
            offer = Offer(name, hard - (began - came), token=(name, came))
            fate = gate.offer(began, offer)
            if fate is Fate.TAKEN:
                self.inside.append([PASSES, name, came])
            elif fate is Fate.DENIED:
                spent += self.denial
                self.denying += self.denial
                self.deny(name, came)
        for one in self.inside:
            one[0] -= 1
            spent += self.cost * self.slow / PASSES
        self.now = began + max(int(spent), 100)
        for _, name, came in [one for one in self.inside if not one[0]]:
            gate.left(self.now)
            self.answered += 1
            self.good[name] += self.now - came <= (VIEW.contract if name == "view" else BID.contract)
        self.inside = [one for one in self.inside if one[0]]
        if self.now >= self.beat_due:
            gate.beat(self.now, self.now - self.beat_due, self.denying)
            self.denying, self.beat_due = 0, self.now + GATE_BEAT
            self.windows.append(gate.window if gate.active else float("nan"))
        for offer, fate in gate.release(self.now):
            name, came = offer.token
            if fate is Fate.TAKEN:
                self.inside.append([PASSES, name, came])
            else:
                self.deny(name, came)

    def deny(self, name: str, came: int) -> None:
        self.denied[name] += 1
        self.answered += 1
        self.denial_waits.append(self.now - came)

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
    else:  # nothing cheaper is left to shed: as many bids as fit, beside the denials
        assert core.good["bid"] / 10 > 0.5 * (1000 - 0.06 * 1000 * times)
    assert core.share("view") < core.share("bid")
    assert core.answered == sum(core.asked.values()) and not core.gate.held and not core.inside


def test_bids_alone_at_three_times_keep_goodput_near_what_is_carried() -> None:
    core = Core()
    core.load(10 * SECOND, 3000, bids=1.0)
    core.run(13 * SECOND)
    # 3,000 asked a second, 60 us each for those denied: some 850 a second are left at the most.
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
    """Under a steady load that is too much, the window's spread over the last seconds stays small beside its
    mean, and the core goes on being used."""
    core = Core(seed)
    core.load(12 * SECOND, 2000)
    core.run(12 * SECOND)
    last = core.windows[-len(core.windows) // 3 :]
    mean = sum(last) / len(last)
    spread = (sum((w - mean) ** 2 for w in last) / len(last)) ** 0.5
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
    """The line of most worth is full and the window too: those of the others still end in their time."""
    gate = Gate(t.Deployment(seed=1, workloads=[VIEW, BID]))
    gate.beat(0, 10 * ENTER)
    assert gate.active
    gate.window = 0.0
    gate.carries = 1000.0
    for _ in range(3):
        assert gate.offer(0, Offer("bid", BID.hard_limit)) is Fate.HELD
        assert gate.offer(0, Offer("view", VIEW.hard_limit)) is Fate.HELD
    ended = [(offer.workload, fate) for offer, fate in gate.release(450 * MS)]
    assert ended == [("view", Fate.DENIED)] * 3 and gate.held == 3


def test_a_repeat_gives_way_to_a_first_try_and_one_that_left_is_forgotten() -> None:
    gate = Gate(t.Deployment(seed=1, workloads=[VIEW, BID]))
    gate.beat(0, 10 * ENTER)
    gate.window, gate.carries = 0.0, 1000.0
    repeat, first, bid = Offer("view", SECOND, True), Offer("view", SECOND), Offer("bid", SECOND)
    for offer in (repeat, first, bid):
        assert gate.offer(0, offer) is Fate.HELD
    gate.forget(bid)
    gate.window = 10.0
    assert [offer for offer, _ in gate.release(10 * MS)] == [first, repeat] and gate.held == 0


def test_what_cannot_be_met_any_more_is_denied_at_once() -> None:
    gate = Gate(t.Deployment(seed=1, workloads=[VIEW, BID]))
    gate.beat(0, 10 * ENTER)
    gate.window, gate.carries = 0.0, 100.0
    assert gate.offer(0, Offer("view", 20 * MS)) is Fate.DENIED
    assert gate.offer(0, Offer("view", SECOND)) is Fate.HELD


def test_a_denied_one_is_told_when_to_come_back_spread_and_only_where_allowed() -> None:
    gate = Gate(t.Deployment(seed=1, workloads=[VIEW], advice_allowed=True, longest_advice=SECOND))
    told = [gate.come_back() for _ in range(100)]
    assert min(told) >= SECOND // 4 and max(told) <= SECOND and len(set(told)) > 90
    assert Gate(t.Deployment(seed=1, workloads=[VIEW], longest_advice=SECOND)).come_back() == 0


# A head at a glance.

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
    chance = random.Random(4)
    whole = wanted("a", "bid", "0.5", b"body")
    for _ in range(3000):
        data = bytearray(whole)
        for _ in range(chance.randrange(1, 6)):
            at = chance.randrange(len(data))
            data[at : at + chance.randrange(3)] = bytes(
                chance.randrange(256) for _ in range(chance.randrange(3))
            )
        fast_path.parse_simple_request(bytes(data), KNOWN)


# The door on sockets.


async def answers(request):
    return Answer(200, [], b"ok")


def shut(net: Net) -> Gate:
    """A door that takes nothing up, as when the core is far behind."""
    door = net.program.door
    assert isinstance(door, Door)
    door.gate.beat(0, 10 * ENTER)
    door.gate.window, door.gate.carries = 0.0, 1.0
    door.gate.beat = lambda *_: None
    return door.gate


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
        gate.carries = 1000.0
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
            net.program.door.release()
        assert [event.request for event in net.events if isinstance(event, t.RequestArrived)] == ["held"]
        assert gate.inside == gate.held == 0

    on_network(check, answers, **settings())
