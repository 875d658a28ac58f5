"""The fan-out of configuration, in virtual time: whom a version wakes, what is encoded, who is sent away."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from lupinmill.config import wire
from lupinmill.config.fanout import PATIENCE, Asked, Away, Fanout, Gone, Had, Say, Woke
from lupinmill.config.follower import Follower
from lupinmill.config.history import History
from lupinmill.config.model import Answered, Ask, Failed, Key, Reply, Status, Version
from lupinmill.config.relay_file import RelayFile
from lupinmill.config.watcher_table import MOST_PENDING, Times
from lupinmill.protocol.http import Answer

from config_bed import FLEET, NOTHING, SECOND, of_service


class Post:
    """A fan-out in virtual time, with what each token was answered."""

    def __init__(self, entries=None, **more) -> None:
        self.now = 100 * SECOND
        self.history = History(Version(), {})
        self.history.push(entries or {FLEET: {"a": 0}})
        self.fanout = Fanout(self.history, wire.encode, self.now, **more)
        self.answers, self.away, self.wakes, self.token = {}, [], [], 0

    def step(self, *notes, after: int = 0):
        self.now += after
        for order in self.fanout.step(self.now, list(notes)):
            if isinstance(order, Say):
                assert order.token not in self.answers
                self.answers[order.token] = wire.decode(Answer(200, [], order.data))
            elif isinstance(order, Away):
                self.away.append(order.token)
            else:
                assert order.at > self.now
                self.wakes.append(order.at)

    def ask(self, name: str, scopes=(), since=NOTHING, wait: int = 20 * SECOND, **status) -> int:
        self.token += 1
        told = Status(name, since, **status)
        self.step(Asked(self.token, tuple(scopes), since, self.now + wait, told))
        return self.token

    def push(self, changes, after: int = 0) -> Version:
        self.now += after
        version = self.history.push(changes)
        self.step(Had(version, frozenset(key.scope for key in changes)))
        return version


def scopes_of(at: int, services: int) -> tuple[str, ...]:
    return "fleet", f"zone/z{at % 3}", f"service/s{at % services}", f"sidecar/x{at}"


def test_a_change_is_encoded_once_for_400_watchers_and_wakes_those_alone_whom_it_concerns():
    post = Post()
    for at in range(400):
        post.ask(f"x{at}", scopes_of(at, 40), post.history.version)
    assert not post.answers and post.fanout.encoded == 0
    post.push({FLEET: {"a": 1}})
    assert len(post.answers) == 400 and post.fanout.encoded == 1
    assert {frozenset(reply.entries) for reply in post.answers.values()} == {frozenset({FLEET})}
    held, first = post.history.version, post.token + 1
    for at in range(400):
        post.ask(f"x{at}", scopes_of(at, 40), held)
    post.push({of_service("s7"): {"b": 1}})
    woken = {token - first for token in post.answers if token >= first}
    assert woken == {at for at in range(400) if at % 40 == 7} and post.fanout.encoded == 2
    post.push({Key("sidecar/x9", "settings"): {"c": 1}, Key("zone/z1", "settings"): {"d": 1}})
    now_woken = {token - first for token in post.answers if token >= first} - woken
    assert now_woken == {at for at in range(400) if at % 3 == 1 or at == 9} - woken


def test_snapshots_of_like_sidecars_are_encoded_once_though_each_watches_itself_too():
    post = Post({FLEET: {"a": 0}, **{of_service(f"s{at}"): {"b": at} for at in range(5)}})
    for at in range(100):
        post.ask(f"x{at}", ("fleet", f"service/s{at % 5}", f"sidecar/x{at}"))
    assert len(post.answers) == 100 and post.fanout.encoded == 5
    for token, reply in post.answers.items():
        assert reply.whole and set(reply.entries) == {FLEET, of_service(f"s{(token - 1) % 5}")}


def test_the_end_of_a_wait_brings_the_newest_version_and_no_entries():
    post = Post()
    held = post.history.version
    token = post.ask("x", ("service/s",), held, 5 * SECOND)
    post.push({FLEET: {"a": 1}})
    assert post.wakes[-1] == 105 * SECOND and token not in post.answers
    post.step(Woke(), after=5 * SECOND)
    reply = post.answers[token]
    assert (reply.version, reply.whole, reply.entries, reply.since) == (post.history.version, False, {}, held)


def test_a_watch_of_nothing_of_all_scopes_and_from_an_unknown_version():
    post = Post({FLEET: {"a": 0}, of_service("s"): {"b": 0}})
    empty = post.ask("x", ("zone/none",))
    whole = post.ask("relay")
    assert post.answers[empty].whole and post.answers[empty].entries == {}
    assert set(post.answers[whole].entries) == {FLEET, of_service("s")}
    waits = post.ask("relay", (), post.history.version)
    post.push({of_service("s"): None})
    assert post.answers[waits].entries == {of_service("s"): None}
    strange = post.ask("y", ("fleet",), Version(1, "other"))
    assert post.answers[strange].whole and set(post.answers[strange].entries) == {FLEET}


def test_one_that_is_ahead_waits_a_little_and_is_then_told_the_version_alone():
    post = Post({FLEET: {"a": 0}, of_service("s"): {"x": "y" * 5_000}})
    ahead = Version(post.history.version.index + 1, "later")
    token = post.ask("x", ("fleet", "service/s"), ahead)
    assert token not in post.answers and post.history.ahead == ahead
    post.step(Woke(), after=PATIENCE)
    assert post.answers[token].version == post.history.version and not post.answers[token].entries
    # A version beyond its own comes while it waits: it is told at once, though nothing of its scopes changed.
    token = post.ask("x", ("fleet", "service/s"), ahead)
    version = post.history.restore()
    post.step(Had(version, frozenset()))
    assert post.answers[token].whole and post.answers[token].version == version
    # The relay catches up while it waits: it goes on by changes.
    post = Post()
    made = History(post.history.version, post.history.entries)
    made.push({FLEET: {"a": 1}})
    held = made.version
    token = post.ask("x", ("fleet",), held)
    post.history.replace(held, made.entries)
    post.step(Had(held, frozenset({"fleet"})))
    assert token not in post.answers
    made.push({FLEET: {"a": 2}})
    post.history.replace(made.version, made.entries)
    post.step(Had(made.version, frozenset({"fleet"})))
    assert post.answers[token].entries == {FLEET: {"a": 2}} and not post.answers[token].whole


def test_a_relay_that_has_nothing_yet_says_so_soon_and_serves_the_first_version_at_once():
    post = Post()
    post.history = History(Version(), {})
    post.fanout = Fanout(post.history, wire.encode, post.now)
    first, second = post.ask("x", ("fleet",)), post.ask("y", ("fleet",))
    assert not post.answers
    post.step(Woke(), after=PATIENCE)
    assert post.answers[first].version.index == post.answers[second].version.index == 0
    third = post.ask("x", ("fleet",))
    post.push({FLEET: {"a": 1}})
    assert post.answers[third].whole and post.answers[third].entries == {FLEET: {"a": 1}}


def test_watchers_names_and_ends_are_bounded():
    post = Post(most=10)
    held = post.history.version
    for at in range(15):
        post.ask(f"x{at}", ("fleet",), held)
    assert len(post.fanout.waiting) == 10 and len(post.away) == 5 and post.fanout.turned_away == 5
    for at in range(3_000):  # each leaves, and comes by another name
        token = post.ask(f"n{at}", (f"sidecar/n{at}",), held)
        post.step(Gone(token))
    for token in range(1, 16):
        post.step(Gone(token))
    fanout = post.fanout
    assert not fanout.waiting and not fanout.by_scope and not fanout.strangers and len(fanout.untils) <= 64
    assert len(fanout.standing.rows) <= 20 and len(fanout.standing.by_scope) <= 20
    for at in range(3_000):
        post.push({Key(f"service/t{at}", "settings"): {"a": 1}})
        post.push({Key(f"service/t{at}", "settings"): None})
    assert len(fanout.standing.latest) <= 1_010 and len(fanout.standing.had) <= 4_096


def test_cached_answers_are_bounded_by_bytes():
    post = Post({of_service(f"s{at}"): {"x": "y" * 1_000} for at in range(50)}, cached_bytes=10_000)
    for at in range(50):
        post.ask(f"x{at}", (f"service/s{at}",))
        assert post.fanout.cached == sum(map(len, post.fanout.cache.values())) <= 10_000
    assert len(post.answers) == 50


def test_what_watchers_say_of_themselves_is_summed_up():
    post = Post()
    first = post.history.version
    wait = 4 * SECOND
    for name in ("good", "bad", "gone", "far"):
        scopes = ("service/far",) if name == "far" else ("fleet",)
        post.ask(name, scopes, first, wait)
    second = post.push({FLEET: {"a": 1}})
    post.now += SECOND
    post.ask("good", ("fleet",), second, wait)
    post.ask("bad", ("fleet",), first, wait, refused=second.index, why="settings.a: no")
    post.step(Woke(), after=wait)
    post.step(Woke(), after=8 * SECOND + 1)
    rows = {row["name"]: row for row in post.fanout.show(post.now)["watchers"]}
    assert (rows["good"]["index"], rows["good"]["due"]) == (second.index, second.index)
    assert (rows["bad"]["index"], rows["bad"]["refused"], rows["bad"]["why"]) == (1, 2, "settings.a: no")
    assert (rows["far"]["index"], rows["far"]["due"]) == (1, 0)  # nothing concerned it
    assert [name for name, row in rows.items() if row["away"]] == ["gone", "far", "good", "bad"]
    assert post.fanout.standing.times.count == 1 and post.fanout.standing.times.longest == SECOND
    post.step(after=3_600 * SECOND)
    assert post.fanout.show(post.now)["watchers"] == []


def test_time_in_force_counts_each_version_that_concerns_one_also_over_a_move_between_relays():
    post = Post()
    post.ask("x", ("fleet",), post.history.version)
    held = post.history.version
    for after in (0, SECOND, SECOND):
        post.push({FLEET: {"a": post.history.version.index}}, after)
    post.now += SECOND
    post.ask("x", ("fleet",), post.history.version)
    assert post.fanout.standing.times.count == 3 and post.fanout.standing.times.longest == 3 * SECOND
    post.ask("moved", ("fleet",), held)  # it had the first version at another relay
    post.now += SECOND
    post.ask("moved", ("fleet",), post.history.version)
    assert post.fanout.standing.times.count == 6 and post.fanout.standing.times.longest == 4 * SECOND
    for _ in range(2 * MOST_PENDING):
        post.push({FLEET: {"a": post.history.version.index}})
    assert len(post.fanout.standing.rows["moved"].pending) == MOST_PENDING


@given(st.lists(st.integers(1_000, 10**9), min_size=1, max_size=50))
@settings(derandomize=True, deadline=None)
def test_parts_of_the_times_are_a_tenth_too_long_at_most(took):
    times = Times()
    for one in took:
        times.add(one)
    exact = sorted(took)
    for share in (0.5, 0.99, 1.0):
        at = exact[max(0, -int(-share * len(exact) // 1) - 1)]
        assert at <= times.part(share) <= max(at * 1.1 + 1, at)
    halves = Times(), Times()
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
    post = Post()
    post.history.most_changes = kept
    held = [(Version(), {}) for _ in range(6)]
    out: dict[int, int] = {}
    every = [("fleet", f"service/s{at % 2}", f"sidecar/x{at}") for at in range(5)] + [()]

    def hear() -> None:
        for token in [token for token in post.answers if token in out]:
            who, reply = out.pop(token), post.answers[token]
            version, entries = held[who]
            assert reply.version.index >= version.index
            if reply.whole:
                entries = reply.entries
            else:
                assert reply.since == version
                entries = {k: v for k, v in {**entries, **reply.entries}.items() if v is not None}
            held[who] = reply.version, entries

    for act, who, value in acts:
        if act == "p":
            key = (FLEET, of_service("s0"), of_service("s1"), Key("sidecar/x3", "settings"))[value]
            post.push({key: {"v": who} if who else None}) if who or key in post.history.entries else None
        elif act == "a" and who not in out.values():
            out[post.ask(f"x{who}", every[who], held[who][0])] = who
        elif act == "g" and who in out.values():
            token = next(token for token, one in out.items() if one == who)
            del out[token]
            post.step(Gone(token))
        elif act == "w":
            post.step(Woke(), after=7 * SECOND)
        hear()
    post.step(Woke(), after=20 * SECOND)
    hear()
    assert not out and not post.fanout.waiting
    for who, scopes in enumerate(every):
        out[post.ask(f"x{who}", scopes, held[who][0], 0)] = who
    hear()
    for who, scopes in enumerate(every):
        assert held[who] == (post.history.version, post.history.snapshot(scopes))


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

    def asked(follower, now, notes=()) -> list[str]:
        return [order.at for order in follower.step(now, notes) if isinstance(order, Ask)]

    now, came = 0, []
    for follower in followers:
        asked(follower, now)
        assert asked(follower, now + SECOND) == ["a"]
        asked(follower, now + SECOND, [Answered("a", no_news)])
        assert asked(follower, now + 2 * SECOND) == ["a"]
    dies = now + 3 * SECOND
    for follower in followers:
        assert asked(follower, dies, [Failed("a", "reset")]) == []
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
        for standing in follower.standings.values():
            standing.spread = 2 * SECOND
    calls: Counter = Counter()
    out: dict[int, int] = {}
    back, ends = 30 * SECOND, 50 * SECOND
    for follower in followers:
        follower.due = 0
        follower.step(0, [])
        follower.step(SECOND // 100, [Failed(follower.out.at, "reset")])
    for now in range(SECOND // 50, ends, SECOND // 50):
        for at, follower in enumerate(followers):
            notes = []
            if follower.out is not None and at not in out:
                notes = [Failed(follower.out.at, "refused")]
            for order in follower.step(now, notes):
                if isinstance(order, Ask):
                    calls[now * 4 // SECOND] += 1
                    if now >= back:
                        out[at] = now
    assert len(out) == 400 and max(out.values()) <= back + 3 * SECOND
    # In each quarter of a second; half as many more again is what chance does to 50.
    assert max(calls.values()) <= 1.5 * rate / 4 + 25, calls.most_common(3)
