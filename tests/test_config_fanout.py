"""The fan-out of configuration, in virtual time: whom a version wakes, what is encoded, who is sent away."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from lupinmill.config import wire
from lupinmill.config.fanout import (
    CATCH_UP_WAIT_US,
    WatchReceived,
    RejectWatch,
    Fanout,
    WatchClosed,
    VersionAvailable,
    SendReply,
    TimerFired,
)
from lupinmill.config.follower import Follower
from lupinmill.config.history import History
from lupinmill.config.model import ReplyReceived, SendWatch, WatchFailed, Key, Reply, Status, Version
from lupinmill.config.relay_file import RelayFile
from lupinmill.config.watcher_table import MAX_PENDING, LatencyHistogram
from lupinmill.protocol.http import Answer

from config_bed import FLEET, NOTHING, SECOND, of_service


class FanoutHarness:
    """A fan-out in virtual time, with what each token was answered."""

    def __init__(self, entries=None, **more) -> None:
        self.now = 100 * SECOND
        self.history = History(Version(), {})
        self.history.push(entries or {FLEET: {"a": 0}})
        self.fanout = Fanout(self.history, wire.encode_reply, self.now, **more)
        self.answers, self.away, self.wakes, self.token = {}, [], [], 0

    def step(self, *events, after: int = 0):
        self.now += after
        for order in self.fanout.step(self.now, list(events)):
            if isinstance(order, SendReply):
                assert order.token not in self.answers
                self.answers[order.token] = wire.decode_reply(Answer(200, [], order.data))
            elif isinstance(order, RejectWatch):
                self.away.append(order.token)
            else:
                assert order.at > self.now
                self.wakes.append(order.at)

    def ask(self, name: str, scopes=(), since=NOTHING, wait: int = 20 * SECOND, **status) -> int:
        self.token += 1
        told = Status(name, since, **status)
        self.step(WatchReceived(self.token, tuple(scopes), since, self.now + wait, told))
        return self.token

    def push(self, changes, after: int = 0) -> Version:
        self.now += after
        version = self.history.push(changes)
        self.step(VersionAvailable(version, frozenset(key.scope for key in changes)))
        return version


def scopes_of(at: int, services: int) -> tuple[str, ...]:
    return "fleet", f"zone/z{at % 3}", f"service/s{at % services}", f"sidecar/x{at}"


def test_a_change_is_encoded_once_for_400_watchers_and_wakes_those_alone_whom_it_concerns():
    harness = FanoutHarness()
    for at in range(400):
        harness.ask(f"x{at}", scopes_of(at, 40), harness.history.version)
    assert not harness.answers and harness.fanout.encoded == 0
    harness.push({FLEET: {"a": 1}})
    assert len(harness.answers) == 400 and harness.fanout.encoded == 1
    assert {frozenset(reply.entries) for reply in harness.answers.values()} == {frozenset({FLEET})}
    held, first = harness.history.version, harness.token + 1
    for at in range(400):
        harness.ask(f"x{at}", scopes_of(at, 40), held)
    harness.push({of_service("s7"): {"b": 1}})
    woken = {token - first for token in harness.answers if token >= first}
    assert woken == {at for at in range(400) if at % 40 == 7} and harness.fanout.encoded == 2
    harness.push({Key("sidecar/x9", "settings"): {"c": 1}, Key("zone/z1", "settings"): {"d": 1}})
    now_woken = {token - first for token in harness.answers if token >= first} - woken
    assert now_woken == {at for at in range(400) if at % 3 == 1 or at == 9} - woken


def test_snapshots_of_like_sidecars_are_encoded_once_though_each_watches_itself_too():
    harness = FanoutHarness({FLEET: {"a": 0}, **{of_service(f"s{at}"): {"b": at} for at in range(5)}})
    for at in range(100):
        harness.ask(f"x{at}", ("fleet", f"service/s{at % 5}", f"sidecar/x{at}"))
    assert len(harness.answers) == 100 and harness.fanout.encoded == 5
    for token, reply in harness.answers.items():
        assert reply.is_snapshot and set(reply.entries) == {FLEET, of_service(f"s{(token - 1) % 5}")}


def test_the_end_of_a_wait_brings_the_newest_version_and_no_entries():
    harness = FanoutHarness()
    held = harness.history.version
    token = harness.ask("x", ("service/s",), held, 5 * SECOND)
    harness.push({FLEET: {"a": 1}})
    assert harness.wakes[-1] == 105 * SECOND and token not in harness.answers
    harness.step(TimerFired(), after=5 * SECOND)
    reply = harness.answers[token]
    assert (reply.version, reply.is_snapshot, reply.entries, reply.since) == (
        harness.history.version,
        False,
        {},
        held,
    )


def test_a_watch_of_nothing_of_all_scopes_and_from_an_unknown_version():
    harness = FanoutHarness({FLEET: {"a": 0}, of_service("s"): {"b": 0}})
    empty = harness.ask("x", ("zone/none",))
    whole = harness.ask("relay")
    assert harness.answers[empty].is_snapshot and harness.answers[empty].entries == {}
    assert set(harness.answers[whole].entries) == {FLEET, of_service("s")}
    waits = harness.ask("relay", (), harness.history.version)
    harness.push({of_service("s"): None})
    assert harness.answers[waits].entries == {of_service("s"): None}
    strange = harness.ask("y", ("fleet",), Version(1, "other"))
    assert harness.answers[strange].is_snapshot and set(harness.answers[strange].entries) == {FLEET}


def test_one_that_is_ahead_waits_a_little_and_is_then_told_the_version_alone():
    harness = FanoutHarness({FLEET: {"a": 0}, of_service("s"): {"x": "y" * 5_000}})
    ahead = Version(harness.history.version.index + 1, "later")
    token = harness.ask("x", ("fleet", "service/s"), ahead)
    assert token not in harness.answers and harness.history.ahead == ahead
    harness.step(TimerFired(), after=CATCH_UP_WAIT_US)
    assert harness.answers[token].version == harness.history.version and not harness.answers[token].entries
    # A version beyond its own comes while it waits: it is told at once, though nothing of its scopes changed.
    token = harness.ask("x", ("fleet", "service/s"), ahead)
    version = harness.history.restore()
    harness.step(VersionAvailable(version, frozenset()))
    assert harness.answers[token].is_snapshot and harness.answers[token].version == version
    # The relay catches up while it waits: it goes on by changes.
    harness = FanoutHarness()
    made = History(harness.history.version, harness.history.entries)
    made.push({FLEET: {"a": 1}})
    held = made.version
    token = harness.ask("x", ("fleet",), held)
    harness.history.replace(held, made.entries)
    harness.step(VersionAvailable(held, frozenset({"fleet"})))
    assert token not in harness.answers
    made.push({FLEET: {"a": 2}})
    harness.history.replace(made.version, made.entries)
    harness.step(VersionAvailable(made.version, frozenset({"fleet"})))
    assert harness.answers[token].entries == {FLEET: {"a": 2}} and not harness.answers[token].is_snapshot


def test_a_relay_that_has_nothing_yet_says_so_soon_and_serves_the_first_version_at_once():
    harness = FanoutHarness()
    harness.history = History(Version(), {})
    harness.fanout = Fanout(harness.history, wire.encode_reply, harness.now)
    first, second = harness.ask("x", ("fleet",)), harness.ask("y", ("fleet",))
    assert not harness.answers
    harness.step(TimerFired(), after=CATCH_UP_WAIT_US)
    assert harness.answers[first].version.index == harness.answers[second].version.index == 0
    third = harness.ask("x", ("fleet",))
    harness.push({FLEET: {"a": 1}})
    assert harness.answers[third].is_snapshot and harness.answers[third].entries == {FLEET: {"a": 1}}


def test_watchers_names_and_ends_are_bounded():
    harness = FanoutHarness(max_watches=10)
    held = harness.history.version
    for at in range(15):
        harness.ask(f"x{at}", ("fleet",), held)
    assert len(harness.fanout.waiting) == 10 and len(harness.away) == 5 and harness.fanout.turned_away == 5
    for at in range(3_000):  # each leaves, and comes by another name
        token = harness.ask(f"n{at}", (f"sidecar/n{at}",), held)
        harness.step(WatchClosed(token))
    for token in range(1, 16):
        harness.step(WatchClosed(token))
    fanout = harness.fanout
    assert (
        not fanout.waiting
        and not fanout.by_scope
        and not fanout.unknown_version
        and len(fanout.deadlines) <= 64
    )
    assert len(fanout.watchers.rows) <= 20 and len(fanout.watchers.by_scope) <= 20
    for at in range(3_000):
        harness.push({Key(f"service/t{at}", "settings"): {"a": 1}})
        harness.push({Key(f"service/t{at}", "settings"): None})
    assert len(fanout.watchers.newest_index) <= 1_010 and len(fanout.watchers.versions) <= 4_096


def test_cached_answers_are_bounded_by_bytes():
    harness = FanoutHarness(
        {of_service(f"s{at}"): {"x": "y" * 1_000} for at in range(50)}, max_cache_bytes=10_000
    )
    for at in range(50):
        harness.ask(f"x{at}", (f"service/s{at}",))
        assert harness.fanout.cached_size == sum(map(len, harness.fanout.cache.values())) <= 10_000
    assert len(harness.answers) == 50


def test_what_watchers_say_of_themselves_is_summed_up():
    harness = FanoutHarness()
    first = harness.history.version
    wait = 4 * SECOND
    for name in ("good", "bad", "gone", "far"):
        scopes = ("service/far",) if name == "far" else ("fleet",)
        harness.ask(name, scopes, first, wait)
    second = harness.push({FLEET: {"a": 1}})
    harness.now += SECOND
    harness.ask("good", ("fleet",), second, wait)
    harness.ask("bad", ("fleet",), first, wait, refused=second.index, why="settings.a: no")
    harness.step(TimerFired(), after=wait)
    harness.step(TimerFired(), after=8 * SECOND + 1)
    rows = {row["name"]: row for row in harness.fanout.show(harness.now)["watchers"]}
    assert (rows["good"]["index"], rows["good"]["due"]) == (second.index, second.index)
    assert (rows["bad"]["index"], rows["bad"]["refused"], rows["bad"]["why"]) == (1, 2, "settings.a: no")
    assert (rows["far"]["index"], rows["far"]["due"]) == (1, 0)  # nothing concerned it
    assert [name for name, row in rows.items() if row["away"]] == ["gone", "far", "good", "bad"]
    assert (
        harness.fanout.watchers.sidecar_times.count == 1
        and harness.fanout.watchers.sidecar_times.longest == SECOND
    )
    harness.step(after=3_600 * SECOND)
    assert harness.fanout.show(harness.now)["watchers"] == []


def test_time_in_force_counts_each_version_that_concerns_one_also_over_a_move_between_relays():
    harness = FanoutHarness()
    harness.ask("x", ("fleet",), harness.history.version)
    held = harness.history.version
    for after in (0, SECOND, SECOND):
        harness.push({FLEET: {"a": harness.history.version.index}}, after)
    harness.now += SECOND
    harness.ask("x", ("fleet",), harness.history.version)
    assert (
        harness.fanout.watchers.sidecar_times.count == 3
        and harness.fanout.watchers.sidecar_times.longest == 3 * SECOND
    )
    harness.ask("moved", ("fleet",), held)  # it had the first version at another relay
    harness.now += SECOND
    harness.ask("moved", ("fleet",), harness.history.version)
    assert (
        harness.fanout.watchers.sidecar_times.count == 6
        and harness.fanout.watchers.sidecar_times.longest == 4 * SECOND
    )
    for _ in range(2 * MAX_PENDING):
        harness.push({FLEET: {"a": harness.history.version.index}})
    assert len(harness.fanout.watchers.rows["moved"].pending) == MAX_PENDING


@given(st.lists(st.integers(1_000, 10**9), min_size=1, max_size=50))
@settings(derandomize=True, deadline=None)
def test_parts_of_the_times_are_a_tenth_too_long_at_most(took):
    times = LatencyHistogram()
    for one in took:
        times.add(one)
    exact = sorted(took)
    for share in (0.5, 0.99, 1.0):
        at = exact[max(0, -int(-share * len(exact) // 1) - 1)]
        assert at <= times.quantile(share) <= max(at * 1.1 + 1, at)
    halves = LatencyHistogram(), LatencyHistogram()
    for at, one in enumerate(took):
        halves[at % 2].add(one)
    halves[0].merge(halves[1].counts, halves[1].longest)
    assert halves[0].show() == times.show()


ACTS = st.lists(
    st.tuples(st.sampled_from("pppaaaagw"), st.integers(0, 5), st.integers(0, 3)), min_size=1, max_size=60
)


@given(ACTS, st.integers(1, 6))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_whoever_watches_holds_what_the_history_has_of_its_scopes(acts, kept):
    """Any order of pushes, watches, departures and ends of waits, over a history that forgets soon."""
    harness = FanoutHarness()
    harness.history.max_changes = kept
    held = [(Version(), {}) for _ in range(6)]
    out: dict[int, int] = {}
    every = [("fleet", f"service/s{at % 2}", f"sidecar/x{at}") for at in range(5)] + [()]

    def hear() -> None:
        for token in [token for token in harness.answers if token in out]:
            who, reply = out.pop(token), harness.answers[token]
            version, entries = held[who]
            assert reply.version.index >= version.index
            if reply.is_snapshot:
                entries = reply.entries
            else:
                assert reply.since == version
                entries = {k: v for k, v in {**entries, **reply.entries}.items() if v is not None}
            held[who] = reply.version, entries

    for act, who, value in acts:
        if act == "p":
            key = (FLEET, of_service("s0"), of_service("s1"), Key("sidecar/x3", "settings"))[value]
            harness.push(
                {key: {"v": who} if who else None}
            ) if who or key in harness.history.entries else None
        elif act == "a" and who not in out.values():
            out[harness.ask(f"x{who}", every[who], held[who][0])] = who
        elif act == "g" and who in out.values():
            token = next(token for token, one in out.items() if one == who)
            del out[token]
            harness.step(WatchClosed(token))
        elif act == "w":
            harness.step(TimerFired(), after=7 * SECOND)
        hear()
    harness.step(TimerFired(), after=20 * SECOND)
    hear()
    assert not out and not harness.fanout.waiting
    for who, scopes in enumerate(every):
        out[harness.ask(f"x{who}", scopes, held[who][0], 0)] = who
    hear()
    for who, scopes in enumerate(every):
        assert held[who] == (harness.history.version, harness.history.snapshot(scopes))


def test_400_at_a_relay_that_dies_come_to_another_spread_over_the_time_told_and_none_is_lost():
    """The followers' very core. The other relay takes 200 calls a second: told 400 sidecars, 2 s."""
    file = RelayFile("r", "127.0.0.1:1", "/k", upstreams=["127.0.0.1:2"], sidecars=400, calls_per_s=200)
    version, spread = Version(1, "m"), file.spread_ms * 1_000
    no_news = Reply(version, False, {}, version, file.spread_ms)
    followers = []
    for seed in range(400):
        follower = Follower(f"x{seed}", ("a", "b"), seed, 20 * SECOND, SECOND, version, {FLEET: {"a": 1}})
        follower.relays = ["a", "b"]  # all of them are at the one that dies
        followers.append(follower)

    def asked(follower, now, events=()) -> list[str]:
        return [order.relay for order in follower.step(now, events) if isinstance(order, SendWatch)]

    now, came = 0, []
    for follower in followers:
        asked(follower, now)
        assert asked(follower, now + SECOND) == ["a"]
        asked(follower, now + SECOND, [ReplyReceived("a", no_news)])
        assert asked(follower, now + 2 * SECOND) == ["a"]
    dies = now + 3 * SECOND
    for follower in followers:
        assert asked(follower, dies, [WatchFailed("a", "reset")]) == []
    at = dies
    while at < dies + 10 * SECOND:
        at += 10_000
        for follower in followers:
            for relay in asked(follower, at):
                assert relay == "b"
                came.append(at - dies)
    assert len(came) == 400 and max(came) <= spread + 10_000
    for start in range(0, 2 * SECOND, SECOND // 4):  # a quarter of a second: 50 in the mean
        assert sum(start < one <= start + SECOND // 4 for one in came) <= 2 * 50


def test_after_all_relays_were_away_no_more_calls_a_second_come_than_they_take():
    """400 followers of relays that take 200 calls a second: while they are away, and when they come back."""
    version, rate = Version(1, "m"), 200
    followers = [
        Follower(f"x{seed}", ("a", "b", "c"), seed, 20 * SECOND, 60 * SECOND, version, {FLEET: {"a": 1}})
        for seed in range(400)
    ]
    for follower in followers:  # each has been told the spread, and is at one of them
        for state in follower.relay_states.values():
            state.spread_us = 2 * SECOND
    calls: Counter = Counter()
    out: dict[int, int] = {}
    back, ends = 30 * SECOND, 50 * SECOND
    for follower in followers:
        follower.next_call_at = 0
        follower.step(0, [])
        follower.step(SECOND // 100, [WatchFailed(follower.outstanding.relay, "reset")])
    for now in range(SECOND // 50, ends, SECOND // 50):
        for at, follower in enumerate(followers):
            events = []
            if follower.outstanding is not None and at not in out:
                events = [WatchFailed(follower.outstanding.relay, "refused")]
            for order in follower.step(now, events):
                if isinstance(order, SendWatch):
                    calls[now * 4 // SECOND] += 1
                    if now >= back:
                        out[at] = now
    assert len(out) == 400 and max(out.values()) <= back + 3 * SECOND
    # In each quarter of a second; half as many more again is what chance does to 50.
    assert max(calls.values()) <= 1.5 * rate / 4 + 25, calls.most_common(3)
