"""Takeover of open requests: records, keepers, claims and the choice of the next step, and the explorer
over a small world. The planted faults show that the explorer finds what it is meant to find."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lupinmill import terms as t
from lupinmill.lab import hand_world
from lupinmill.lab.hand_world import Departure, World, explore_schedules, random_schedules, schedules
from lupinmill.takeover import placement
from lupinmill.takeover.claimant import (
    CLEARANCE_LIFETIME_US,
    MAX_SENDS,
    RESEND_INTERVAL_US,
    AddIntent,
    AttemptCleared,
    AttemptEnded,
    Claimant,
    EndStored,
    Fenced,
    FinishRecord,
    KeeperReply,
    OwnedElsewhere,
    RecordClaimed,
    SendRequest,
    StartRecord,
    TakeOver,
    Unprotected,
)
from lupinmill.takeover.keeper import (
    BallotRefused,
    BeginRecord,
    ClaimPromised,
    ClaimRecord,
    Keeper,
    KeeperFull,
    RecordHeld,
    RecordStored,
    WriteRecord,
)
from lupinmill.takeover.record import (
    Intent,
    IntentAges,
    NextAction,
    Outcome,
    OwnerBallot,
    Record,
    RecordEnd,
    RequestInfo,
    merge,
    next_step,
)

MS, SECOND = 1_000, 1_000_000
NAMES = ("k0", "k1", "k2")
BID = RequestInfo("bid-1", "bid", t.RepeatPolicy.DEDUPLICATED, 3 * SECOND, digest=7, body=b"x" * 50)


class Site:
    """Three keepers and some claimants; messages arrive at once, unless a keeper is unreachable."""

    def __init__(self, most: int = 10, most_bytes: int = 100_000) -> None:
        self.now = SECOND
        self.keepers = {name: Keeper(0, 10 * SECOND, most, most_bytes, has_memory=True) for name in NAMES}
        self.away: set[str] = set()
        self.claimants: dict[str, Claimant] = {}
        self.commands: dict[str, list] = {}

    def step(self, name: str, *events) -> list:
        claimant = self.claimants.setdefault(name, Claimant(f"{name}:1", lambda key: NAMES))
        outcomes, pending = [], list(events)
        while True:
            commands = claimant.step(self.now, pending)
            pending = []
            for command in commands:
                if not isinstance(command, SendRequest):
                    outcomes.append(command)
                elif command.to not in self.away:
                    answer = self.keepers[command.to].step(self.now, command.body)
                    if answer is not None:
                        pending.append(KeeperReply(command.to, answer))
            if not pending:
                break
        self.commands.setdefault(name, []).extend(outcomes)
        return outcomes

    def take(self, name: str, work: RequestInfo = BID) -> list:
        return self.step(name, StartRecord(work, "e1", "north"))


def of_type(commands: list, kind: type) -> list:
    return [command for command in commands if isinstance(command, kind)]


# --- once ---------------------------------------------------------------------------------------------------


def test_a_launch_is_cleared_by_a_majority_in_one_round_and_not_by_fewer():
    site = Site()
    site.away = {"k0"}
    (cleared,) = site.take("o")
    assert isinstance(cleared, AttemptCleared) and cleared.intent.endpoint == "e1"
    site = Site()
    site.away = {"k0", "k1"}
    assert site.take("o") == []
    for _ in range(MAX_SENDS):
        site.now += RESEND_INTERVAL_US
        commands = site.step("o")
    assert [type(command) for command in commands] == [Unprotected]


def test_a_late_majority_clears_nothing_that_went_stale():
    """Guards against a process that was paused: it requests a stale clearance again."""
    site = Site()
    site.away = set(NAMES)
    site.take("o")
    claimant, now = site.claimants["o"], site.now
    sent = BeginRecord(BID.key, OwnerBallot(1, "o:1"), claimant.states[BID.key].record)
    answers = [KeeperReply(name, site.keepers[name].step(now, sent)) for name in NAMES]
    site.away, site.now = set(), now + CLEARANCE_LIFETIME_US + 1
    (cleared,) = site.step("o", *answers)
    assert cleared.deadline == site.now + CLEARANCE_LIFETIME_US


def test_who_takes_over_sees_what_may_have_run_and_the_old_owner_is_fenced():
    site = Site()
    site.away = {"k2"}
    site.take("o")
    site.away = {"k0"}
    (won,) = of_type(site.step("t", TakeOver(BID.key)), RecordClaimed)
    assert [intent.endpoint for intent in won.record.intents] == ["e1"]
    site.away = set()
    commands = site.step("o", AddIntent(BID.key, "e2", "south"))
    assert [type(command) for command in commands] == [Fenced] and not of_type(commands, AttemptCleared)


def test_two_that_claim_one_after_the_other_have_different_ballots_and_the_later_one_owns():
    site = Site()
    site.take("o")
    assert of_type(site.step("t", TakeOver(BID.key)), RecordClaimed)
    won = of_type(site.step("u", TakeOver(BID.key)), RecordClaimed)
    if not won:  # of two ballots with one number its was the lower, so it retries with a higher one
        won = of_type(site.step("u", TakeOver(BID.key)), RecordClaimed)
    assert won
    assert not of_type(site.step("t", AddIntent(BID.key, "e2", "south")), AttemptCleared)
    assert of_type(site.step("u", AddIntent(BID.key, "e1", "north")), AttemptCleared)


def test_a_client_that_comes_again_finds_it_held_and_then_its_end():
    site = Site()
    (cleared,) = site.take("o")
    (found,) = site.take("u")
    assert isinstance(found, OwnedElsewhere) and found.record.end is None and found.record.request.digest == 7
    site.step("o", AttemptEnded(cleared.intent, BID.key, Outcome.HANDLED))
    assert of_type(site.step("o", FinishRecord(BID.key, "handled", b"yes")), EndStored)
    (found,) = site.take("t")
    assert found.record.end.answer == b"yes"


def test_a_keeper_that_forgot_says_nothing_until_all_it_may_have_promised_has_run_out():
    site = Site()
    site.take("o")
    for name in ("k0", "k1"):
        site.keepers[name] = Keeper(site.now, 10 * SECOND, 10, 100_000)
    assert not of_type(site.step("t", TakeOver(BID.key)), RecordClaimed)
    site.now += 10 * SECOND
    (cleared,) = of_type(site.take("u"), AttemptCleared)
    assert cleared.intent.ballot == OwnerBallot(1, "u:1")


# --- keepers ------------------------------------------------------------------------------------------------


def test_a_keeper_without_room_says_so_and_counts_it():
    site = Site(most=1)
    site.take("o")
    commands = site.take("o", RequestInfo("bid-2", "bid", t.RepeatPolicy.DEDUPLICATED, SECOND))
    assert [type(command) for command in commands] == [Unprotected] and "room" in commands[0].reason
    assert all(keeper.rejected_count == 1 and len(keeper.entries) == 1 for keeper in site.keepers.values())
    site = Site(most_bytes=100)
    assert [type(command) for command in site.take("o")] == [Unprotected]


def test_an_entry_is_given_back_when_it_has_run_out():
    keeper = Keeper(0, 10 * SECOND, 100, 10**6, has_memory=True)
    for number in range(50):
        work = RequestInfo(f"k{number}", "bid", t.RepeatPolicy.DEDUPLICATED, SECOND, body=b"x" * 100)
        keeper.step(number * SECOND, BeginRecord(work.key, OwnerBallot(1, "o:1"), Record(work)))
    assert len(keeper.entries) == 10 and keeper.size == 10 * 500
    keeper.step(100 * SECOND, ClaimRecord("none", OwnerBallot(1, "o:1")))
    assert len(keeper.entries) == 1 and keeper.size == 0


def test_a_keeper_keeps_its_promise_whatever_comes_and_however_often():
    keeper = Keeper(0, 10 * SECOND, 10, 10**6, has_memory=True)
    record = Record(BID, frozenset({Intent(OwnerBallot(1, "o:1"), 0, "e1", "north")}))
    begin = BeginRecord(BID.key, OwnerBallot(1, "o:1"), record)
    assert isinstance(keeper.step(0, begin), RecordStored) and isinstance(keeper.step(1, begin), RecordStored)
    promised = keeper.step(SECOND, ClaimRecord(BID.key, OwnerBallot(3, "t:1")))
    assert isinstance(promised, ClaimPromised) and dict(promised.ages) == {min(record.intents): SECOND}
    assert isinstance(keeper.step(2, WriteRecord(BID.key, OwnerBallot(1, "o:1"), 1, record)), BallotRefused)
    assert isinstance(keeper.step(2, ClaimRecord(BID.key, OwnerBallot(2, "u:1"))), BallotRefused)
    assert isinstance(keeper.step(2, begin), RecordHeld)
    assert isinstance(keeper.step(2, ClaimRecord(BID.key, OwnerBallot(3, "t:1"))), ClaimPromised)
    full = Keeper(0, SECOND, 0, 10, has_memory=True)
    assert isinstance(full.step(0, ClaimRecord("x", OwnerBallot(1, "a"))), KeeperFull)


# --- the next step ------------------------------------------------------------------------------------------

NORTH = Intent(OwnerBallot(1, "o:1"), 0, "e1", "north")
SOUTH = Intent(OwnerBallot(1, "o:1"), 1, "e2", "south")


@pytest.mark.parametrize(
    "repeat, intents, outcomes, oldest, left, expected",
    [
        (t.RepeatPolicy.UNREPEATABLE, [], [], 0, SECOND, NextAction.ANYWHERE),
        (t.RepeatPolicy.UNREPEATABLE, [], [], 0, 0, NextAction.DENIED),
        (t.RepeatPolicy.UNREPEATABLE, [NORTH], [], 0, SECOND, NextAction.BROKEN_OFF),
        (t.RepeatPolicy.UNREPEATABLE, [NORTH], [(NORTH, Outcome.NEVER_RAN)], 0, SECOND, NextAction.ANYWHERE),
        (
            t.RepeatPolicy.UNREPEATABLE,
            [NORTH, SOUTH],
            [(NORTH, Outcome.NEVER_RAN)],
            0,
            SECOND,
            NextAction.BROKEN_OFF,
        ),
        (t.RepeatPolicy.DEDUPLICATED, [NORTH], [], SECOND, SECOND, NextAction.IN_GROUP),
        (t.RepeatPolicy.DEDUPLICATED, [NORTH], [], 3 * SECOND, SECOND, NextAction.BROKEN_OFF),
        (t.RepeatPolicy.DEDUPLICATED, [NORTH], [], SECOND, 0, NextAction.BROKEN_OFF),
        (t.RepeatPolicy.DEDUPLICATED, [NORTH, SOUTH], [], 0, SECOND, NextAction.BROKEN_OFF),
        (
            t.RepeatPolicy.DEDUPLICATED,
            [NORTH, SOUTH],
            [(NORTH, Outcome.NEVER_RAN)],
            0,
            SECOND,
            NextAction.IN_GROUP,
        ),
        (t.RepeatPolicy.IDEMPOTENT, [NORTH], [], 9 * SECOND, SECOND, NextAction.ANYWHERE),
        (t.RepeatPolicy.IDEMPOTENT, [NORTH], [], 0, 0, NextAction.DENIED),
    ],
)
def test_rule_two_for_the_next_owner(repeat, intents, outcomes, oldest, left, expected):
    work = RequestInfo("k", "w", repeat, 3 * SECOND)
    record = Record(work, frozenset(intents), frozenset(outcomes))
    found = next_step(record, oldest, left, 20 * MS)
    assert found.action is expected
    if expected is NextAction.IN_GROUP:
        assert found.group == record.may_have_run()[0].group
    ended = next_step(Record(work, end=RecordEnd(OwnerBallot(1, "o:1"), "handled")), 0, left, 0)
    assert ended.action is NextAction.ENDED


def test_where_all_drop_repeats_what_may_have_run_may_be_denied():
    work = RequestInfo("k", "w", t.RepeatPolicy.DEDUPLICATED, SECOND, group_all=True)
    record = Record(work, frozenset({Intent(OwnerBallot(1, "o"), 0, "e1", "*")}))
    assert next_step(record, 2 * SECOND, SECOND, 0).action is NextAction.DENIED


parts = st.builds(
    lambda i, o, e: Record(
        BID,
        frozenset(i),
        frozenset((one, Outcome.NEVER_RAN) for one in o),
        RecordEnd(OwnerBallot(e, "p"), f"end {e}") if e else None,
    ),
    st.lists(st.sampled_from([NORTH, SOUTH]), max_size=2),
    st.lists(st.sampled_from([NORTH, SOUTH]), max_size=2),
    st.integers(0, 3),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(parts, min_size=1, max_size=4))
def test_merging_is_a_union_whatever_the_order(records):
    assert merge(records) == merge(reversed(records)) == merge(records + records)


def test_the_oldest_age_that_any_keeper_knows_counts():
    ages = IntentAges()
    ages.merge({NORTH: 5, SOUTH: 9})
    ages.merge({NORTH: 7})
    assert ages.oldest(Record(BID, frozenset({NORTH}))) == 7
    assert ages.oldest(Record(BID, frozenset({NORTH, SOUTH}))) == 9 and ages.oldest(Record(BID)) == 0


# --- placement ----------------------------------------------------------------------------------------------


def test_keepers_are_the_same_everywhere_in_different_zones_and_spread_alike():
    zones = {f"m{n}": "abc"[n % 3] for n in range(12)}
    counts = dict.fromkeys(zones, 0)
    for number in range(3_000):
        chosen = placement.choose_keepers(f"key {number}", zones)
        assert chosen == placement.choose_keepers(f"key {number}", dict(reversed(zones.items())))
        assert len({zones[name] for name in chosen}) == 3
        for name in chosen:
            counts[name] += 1
    assert max(counts.values()) < 1.25 * 750 and min(counts.values()) > 0.75 * 750
    assert (
        placement.choose_keepers("k", {"m0": "a", "m1": "a"})
        and len(placement.choose_keepers("k", {"m0": "a"})) == 1
    )


def test_what_a_dead_sidecar_had_is_spread_over_all_others():
    alive = [f"m{n}" for n in range(10)]
    turns = [placement.choose_successor(f"key {n}", alive, "m3") for n in range(2_000)]
    assert "m3" not in turns and max(turns.count(name) for name in alive) < 1.3 * 2_000 / 9
    assert placement.choose_successor("k", []) is None


# --- every order of what can happen -------------------------------------------------------------------------


def describe(found) -> str:
    return "\n".join(
        f"{schedule}: {broken}\n" + "\n".join(trace) for schedule, broken, trace in found.violations
    )


def test_every_schedule_with_one_departure_keeps_once_and_is_brought_to_an_end():
    found = explore_schedules(schedules(1, 36))
    assert found.runs > 2_000 and not found.violations, describe(found)
    assert not found.stuck, found.stuck[:3]


@pytest.mark.parametrize("seed", range(3))
def test_walks_with_many_departures_keep_once(seed):
    found = explore_schedules(random_schedules(seed, 250, 45))
    assert not found.violations, describe(found)
    assert not found.stuck, found.stuck[:3]


@pytest.mark.parametrize("planted", hand_world.INJECTED_FAULTS[1:])
def test_planted_faults_are_found_and_played_again(planted):
    found = explore_schedules(schedules(1, 30), planted)
    if not found.violations:
        found = explore_schedules(random_schedules(1, 1_500, 40), planted)
    assert found.violations, f"{planted} was not found"
    schedule, broken, _ = found.violations[0]
    again = [World(repeat, refused, planted) for repeat, refused in hand_world.WORLDS]
    for world in again:
        world.run(schedule)
    assert broken in [world.violations() for world in again]
    sound = [World(repeat, refused) for repeat, refused in hand_world.WORLDS]
    for world in sound:
        world.run(schedule)
        assert not world.violations(), "the same schedule is harmless without the injected fault"


def test_an_owner_that_is_stopped_before_its_first_byte_lets_the_launch_go():
    world = World(t.RepeatPolicy.DEDUPLICATED, False)
    world.run((Departure(6, "stop"),))
    assert not world.violations() and any("cleared too long ago" in line for line in world.trace)
