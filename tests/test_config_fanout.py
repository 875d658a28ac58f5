"""The fan-out of configuration in virtual time: which watches a version wakes, what is encoded, what is
rejected."""

from collections import Counter

from config_bed import FLEET, NO_VERSION, SECOND, service_settings
from hypothesis import given, settings
from hypothesis import strategies as st

from lupinmill.config import wire
from lupinmill.config.fanout import (
    CATCH_UP_WAIT_US,
    Fanout,
    RejectWatch,
    SendReply,
    TimerFired,
    VersionAvailable,
    WatchClosed,
    WatchReceived,
)
from lupinmill.config.follower import Follower
from lupinmill.config.history import History
from lupinmill.config.model import Key, Reply, ReplyReceived, SendWatch, Status, Version, WatchFailed
from lupinmill.config.relay_file import RelayFile
from lupinmill.config.watcher_table import MAX_PENDING, LatencyHistogram
from lupinmill.protocol.http import Answer


class FanoutHarness:
    """A fan-out in virtual time that records the reply for each token."""

    def __init__(self, entries=None, **more) -> None:
        self.now = 100 * SECOND
        self.history = History(Version(), {})
        self.history.push(entries or {FLEET: {"a": 0}})
        self.fanout = Fanout(self.history, wire.encode_reply, self.now, **more)
        self.answers, self.rejected, self.timers, self.token = {}, [], [], 0

    def step(self, *events, after: int = 0):
        self.now += after
        for command in self.fanout.step(self.now, list(events)):
            if isinstance(command, SendReply):
                assert command.token not in self.answers
                self.answers[command.token] = wire.decode_reply(Answer(200, [], command.data))
            elif isinstance(command, RejectWatch):
                self.rejected.append(command.token)
            else:
                assert command.at > self.now
                self.timers.append(command.at)

    def watch(self, name: str, scopes=(), since=NO_VERSION, wait: int = 20 * SECOND, **status) -> int:
        self.token += 1
        status_report = Status(name, since, **status)
        self.step(WatchReceived(self.token, tuple(scopes), since, self.now + wait, status_report))
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
        harness.watch(f"x{at}", scopes_of(at, 40), harness.history.version)
    assert not harness.answers and harness.fanout.encoded == 0
    harness.push({FLEET: {"a": 1}})
    assert len(harness.answers) == 400 and harness.fanout.encoded == 1
    assert {frozenset(reply.entries) for reply in harness.answers.values()} == {frozenset({FLEET})}
    held, first = harness.history.version, harness.token + 1
    for at in range(400):
        harness.watch(f"x{at}", scopes_of(at, 40), held)
    harness.push({service_settings("s7"): {"b": 1}})
    woken = {token - first for token in harness.answers if token >= first}
    assert woken == {at for at in range(400) if at % 40 == 7} and harness.fanout.encoded == 2
    harness.push({Key("sidecar/x9", "settings"): {"c": 1}, Key("zone/z1", "settings"): {"d": 1}})
    now_woken = {token - first for token in harness.answers if token >= first} - woken
    assert now_woken == {at for at in range(400) if at % 3 == 1 or at == 9} - woken


def test_snapshots_of_like_sidecars_are_encoded_once_though_each_watches_itself_too():
    harness = FanoutHarness({FLEET: {"a": 0}, **{service_settings(f"s{at}"): {"b": at} for at in range(5)}})
    for at in range(100):
        harness.watch(f"x{at}", ("fleet", f"service/s{at % 5}", f"sidecar/x{at}"))
    assert len(harness.answers) == 100 and harness.fanout.encoded == 5
    for token, reply in harness.answers.items():
        assert reply.is_snapshot and set(reply.entries) == {FLEET, service_settings(f"s{(token - 1) % 5}")}


def test_the_end_of_a_wait_brings_the_newest_version_and_no_entries():
    harness = FanoutHarness()
    held = harness.history.version
    token = harness.watch("x", ("service/s",), held, 5 * SECOND)
    harness.push({FLEET: {"a": 1}})
    assert harness.timers[-1] == 105 * SECOND and token not in harness.answers
    harness.step(TimerFired(), after=5 * SECOND)
    reply = harness.answers[token]
    assert (reply.version, reply.is_snapshot, reply.entries, reply.since) == (
        harness.history.version,
        False,
        {},
        held,
    )


def test_a_watch_of_nothing_of_all_scopes_and_from_an_unknown_version():
    harness = FanoutHarness({FLEET: {"a": 0}, service_settings("s"): {"b": 0}})
    empty = harness.watch("x", ("zone/none",))
    whole = harness.watch("relay")
    assert harness.answers[empty].is_snapshot and harness.answers[empty].entries == {}
    assert set(harness.answers[whole].entries) == {FLEET, service_settings("s")}
    waits = harness.watch("relay", (), harness.history.version)
    harness.push({service_settings("s"): None})
    assert harness.answers[waits].entries == {service_settings("s"): None}
    strange = harness.watch("y", ("fleet",), Version(1, "other"))
    assert harness.answers[strange].is_snapshot and set(harness.answers[strange].entries) == {FLEET}


def test_one_that_is_ahead_waits_a_little_and_is_then_told_the_version_alone():
    harness = FanoutHarness({FLEET: {"a": 0}, service_settings("s"): {"x": "y" * 5_000}})
    ahead = Version(harness.history.version.index + 1, "later")
    token = harness.watch("x", ("fleet", "service/s"), ahead)
    assert token not in harness.answers and harness.history.ahead == ahead
    harness.step(TimerFired(), after=CATCH_UP_WAIT_US)
    assert harness.answers[token].version == harness.history.version and not harness.answers[token].entries
    # A version newer than the watcher's arrives while it waits: it is sent at once, although nothing in its
    # scopes changed.
    token = harness.watch("x", ("fleet", "service/s"), ahead)
    version = harness.history.restore()
    harness.step(VersionAvailable(version, frozenset()))
    assert harness.answers[token].is_snapshot and harness.answers[token].version == version
    # The relay catches up with the watcher while it waits: the watch goes on with changes.
    harness = FanoutHarness()
    newer_history = History(harness.history.version, harness.history.entries)
    newer_history.push({FLEET: {"a": 1}})
    held = newer_history.version
    token = harness.watch("x", ("fleet",), held)
    harness.history.replace(held, newer_history.entries)
    harness.step(VersionAvailable(held, frozenset({"fleet"})))
    assert token not in harness.answers
    newer_history.push({FLEET: {"a": 2}})
    harness.history.replace(newer_history.version, newer_history.entries)
    harness.step(VersionAvailable(newer_history.version, frozenset({"fleet"})))
    assert harness.answers[token].entries == {FLEET: {"a": 2}} and not harness.answers[token].is_snapshot


def test_a_relay_that_has_nothing_yet_says_so_soon_and_serves_the_first_version_at_once():
    harness = FanoutHarness()
    harness.history = History(Version(), {})
    harness.fanout = Fanout(harness.history, wire.encode_reply, harness.now)
    first, second = harness.watch("x", ("fleet",)), harness.watch("y", ("fleet",))
    assert not harness.answers
    harness.step(TimerFired(), after=CATCH_UP_WAIT_US)
    assert harness.answers[first].version.index == harness.answers[second].version.index == 0
    third = harness.watch("x", ("fleet",))
    harness.push({FLEET: {"a": 1}})
    assert harness.answers[third].is_snapshot and harness.answers[third].entries == {FLEET: {"a": 1}}


def test_watchers_names_and_ends_are_bounded():
    harness = FanoutHarness(max_watches=10)
    held = harness.history.version
    for at in range(15):
        harness.watch(f"x{at}", ("fleet",), held)
    assert (
        len(harness.fanout.waiting) == 10 and len(harness.rejected) == 5 and harness.fanout.turned_away == 5
    )
    for at in range(3_000):  # each disconnects and a new name connects
        token = harness.watch(f"n{at}", (f"sidecar/n{at}",), held)
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
        {service_settings(f"s{at}"): {"x": "y" * 1_000} for at in range(50)}, max_cache_bytes=10_000
    )
    for at in range(50):
        harness.watch(f"x{at}", (f"service/s{at}",))
        assert harness.fanout.cached_size == sum(map(len, harness.fanout.cache.values())) <= 10_000
    assert len(harness.answers) == 50


def test_what_watchers_say_of_themselves_is_summed_up():
    harness = FanoutHarness()
    first = harness.history.version
    wait = 4 * SECOND
    for name in ("good", "bad", "gone", "far"):
        scopes = ("service/far",) if name == "far" else ("fleet",)
        harness.watch(name, scopes, first, wait)
    second = harness.push({FLEET: {"a": 1}})
    harness.now += SECOND
    harness.watch("good", ("fleet",), second, wait)
    harness.watch("bad", ("fleet",), first, wait, refused=second.index, why="settings.a: no")
    harness.step(TimerFired(), after=wait)
    harness.step(TimerFired(), after=8 * SECOND + 1)
    rows = {row["name"]: row for row in harness.fanout.show(harness.now)["watchers"]}
    assert (rows["good"]["index"], rows["good"]["due"]) == (second.index, second.index)
    assert (rows["bad"]["index"], rows["bad"]["refused"], rows["bad"]["why"]) == (1, 2, "settings.a: no")
    assert (rows["far"]["index"], rows["far"]["due"]) == (1, 0)  # no change affected it
    assert [name for name, row in rows.items() if row["away"]] == ["gone", "far", "good", "bad"]
    assert (
        harness.fanout.watchers.sidecar_times.count == 1
        and harness.fanout.watchers.sidecar_times.longest == SECOND
    )
    harness.step(after=3_600 * SECOND)
    assert harness.fanout.show(harness.now)["watchers"] == []


def test_time_in_force_counts_each_version_that_concerns_one_also_over_a_move_between_relays():
    harness = FanoutHarness()
    harness.watch("x", ("fleet",), harness.history.version)
    held = harness.history.version
    for after in (0, SECOND, SECOND):
        harness.push({FLEET: {"a": harness.history.version.index}}, after)
    harness.now += SECOND
    harness.watch("x", ("fleet",), harness.history.version)
    assert (
        harness.fanout.watchers.sidecar_times.count == 3
        and harness.fanout.watchers.sidecar_times.longest == 3 * SECOND
    )
    harness.watch("moved", ("fleet",), held)  # it got the first version from another relay
    harness.now += SECOND
    harness.watch("moved", ("fleet",), harness.history.version)
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


ACTIONS = st.lists(
    st.tuples(st.sampled_from("pppaaaagw"), st.integers(0, 5), st.integers(0, 3)), min_size=1, max_size=60
)


@given(ACTIONS, st.integers(1, 6))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_whoever_watches_holds_what_the_history_has_of_its_scopes(actions, kept):
    """Any order of pushes, watches, disconnects and timeouts, with a history that retains few changes."""
    harness = FanoutHarness()
    harness.history.max_changes = kept
    held = [(Version(), {}) for _ in range(6)]
    out: dict[int, int] = {}
    watched_scopes = [("fleet", f"service/s{at % 2}", f"sidecar/x{at}") for at in range(5)] + [()]

    def receive_replies() -> None:
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

    for action, who, value in actions:
        if action == "p":
            key = (FLEET, service_settings("s0"), service_settings("s1"), Key("sidecar/x3", "settings"))[
                value
            ]
            harness.push(
                {key: {"v": who} if who else None}
            ) if who or key in harness.history.entries else None
        elif action == "a" and who not in out.values():
            out[harness.watch(f"x{who}", watched_scopes[who], held[who][0])] = who
        elif action == "g" and who in out.values():
            token = next(token for token, one in out.items() if one == who)
            del out[token]
            harness.step(WatchClosed(token))
        elif action == "w":
            harness.step(TimerFired(), after=7 * SECOND)
        receive_replies()
    harness.step(TimerFired(), after=20 * SECOND)
    receive_replies()
    assert not out and not harness.fanout.waiting
    for who, scopes in enumerate(watched_scopes):
        out[harness.watch(f"x{who}", scopes, held[who][0], 0)] = who
    receive_replies()
    for who, scopes in enumerate(watched_scopes):
        assert held[who] == (harness.history.version, harness.history.snapshot(scopes))


def test_400_at_a_relay_that_dies_come_to_another_spread_over_the_time_told_and_none_is_lost():
    """With real followers. The other relay accepts 200 calls per second and expects 400 sidecars: 2 s."""
    file = RelayFile("r", "127.0.0.1:1", "/k", upstreams=["127.0.0.1:2"], sidecars=400, calls_per_s=200)
    version, spread = Version(1, "m"), file.spread_ms * 1_000
    no_news = Reply(version, False, {}, version, file.spread_ms)
    followers = []
    for seed in range(400):
        follower = Follower(f"x{seed}", ("a", "b"), seed, 20 * SECOND, SECOND, version, {FLEET: {"a": 1}})
        follower.relays = ["a", "b"]  # all use the relay that fails
        followers.append(follower)

    def relays_asked(follower, now, events=()) -> list[str]:
        return [command.relay for command in follower.step(now, events) if isinstance(command, SendWatch)]

    now, call_times = 0, []
    for follower in followers:
        relays_asked(follower, now)
        assert relays_asked(follower, now + SECOND) == ["a"]
        relays_asked(follower, now + SECOND, [ReplyReceived("a", no_news)])
        assert relays_asked(follower, now + 2 * SECOND) == ["a"]
    dies = now + 3 * SECOND
    for follower in followers:
        assert relays_asked(follower, dies, [WatchFailed("a", "reset")]) == []
    at = dies
    while at < dies + 10 * SECOND:
        at += 10_000
        for follower in followers:
            for relay in relays_asked(follower, at):
                assert relay == "b"
                call_times.append(at - dies)
    assert len(call_times) == 400 and max(call_times) <= spread + 10_000
    for start in range(0, 2 * SECOND, SECOND // 4):  # 50 per quarter second on average
        assert sum(start < one <= start + SECOND // 4 for one in call_times) <= 2 * 50


def test_after_all_relays_were_away_no_more_calls_a_second_come_than_they_take():
    """400 followers of relays that accept 200 calls per second, during an outage and after it."""
    version, rate = Version(1, "m"), 200
    followers = [
        Follower(f"x{seed}", ("a", "b", "c"), seed, 20 * SECOND, 60 * SECOND, version, {FLEET: {"a": 1}})
        for seed in range(400)
    ]
    for follower in followers:  # each knows the spread and uses one of the relays
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
            for command in follower.step(now, events):
                if isinstance(command, SendWatch):
                    calls[now * 4 // SECOND] += 1
                    if now >= back:
                        out[at] = now
    assert len(out) == 400 and max(out.values()) <= back + 3 * SECOND
    # Per quarter second: an average of 50, with half as many again for random variation.
    assert max(calls.values()) <= 1.5 * rate / 4 + 25, calls.most_common(3)
