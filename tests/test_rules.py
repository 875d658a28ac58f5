"""Basic cases of the decision module, seeded random runs that check the four rules, and a small test for each
failure found."""

import math
import random
import sys

import pytest
from bed import IDEM, KEYED, KEYED_ALL, ONCE, Bed, deployment, listing

from lupinmill import terms as t
from lupinmill.rules import (
    CAP_START,
    FLEET_CAP_START,
    FRACTIONAL_CAP_FACTOR,
    RETRY_BASE_DELAY,
    SECOND,
    LatencyEstimate,
)

MS = 1000
SIDECAR_PER_CLIENT = dict(
    sidecar_per_client=True,
    uneven=True,
    hedging_allowed=False,
    probes_allowed=False,
    zone="z",
    crossing_price=0.1,
    warm_keys=True,
)
OUTCOMES = [outcome for outcome in t.Outcome if outcome is not t.Outcome.CALLED_OFF]


def warm(bed: Bed, rounds: int = 60, took: int = 100 * MS, workload: t.Workload = IDEM) -> None:
    """Enough handled traffic for a retry budget and for stable latency estimates."""
    for _ in range(rounds):
        name = bed.arrive(workload)
        bed.run(took)
        for attempt in bed.out(name):
            bed.end(name, attempt, t.Outcome.HANDLED)


def test_a_submission_is_launched_at_once_and_handled():
    bed = Bed(deployment())
    name = bed.arrive(IDEM)
    bed.end(name, 0, t.Outcome.HANDLED, after=50 * MS)
    assert bed.closed[name] == "handled"


def test_the_endpoint_with_fewest_launches_is_picked_under_the_cap():
    bed = Bed(deployment(), endpoints=3)
    names = [bed.arrive(IDEM) for _ in range(12)]
    picks = [bed.attempts[n][0]["endpoint"] for n in names]
    for start in range(0, 12, 3):
        assert len(set(picks[start : start + 3])) == 3
    held = bed.arrive(IDEM)
    assert held in bed.unanswered and not bed.attempts[held]
    bed.end(names[0], 0, t.Outcome.HANDLED, after=10 * MS)
    assert len(bed.attempts[held]) == 1


def test_a_failure_is_retried_by_the_front_after_a_jittered_delay_elsewhere():
    delays = []
    for seed in range(40):
        bed = Bed(deployment(seed=seed))
        warm(bed, 25)
        name = bed.arrive(IDEM)
        start = bed.now
        bed.end(name, 0, t.Outcome.ERROR)
        bed.run(60 * MS, stride=1000)
        first, second = bed.attempts[name]
        assert first["endpoint"] != second["endpoint"]
        delays.append(second["sent"] - start)
    assert max(delays) <= RETRY_BASE_DELAY + 2 * MS
    assert len(set(delays)) > 10 and min(delays) < RETRY_BASE_DELAY // 4


def test_inner_tiers_launch_once_and_pass_the_failure_up():
    bed = Bed(deployment(tier=1))
    warm(bed, 30)
    name = bed.arrive(IDEM)
    bed.end(name, 0, t.Outcome.ERROR)
    assert bed.closed[name] == "denied" and len(bed.attempts[name]) == 1


def test_retries_stay_under_a_tenth_of_the_submissions():
    bed = Bed(deployment(), endpoints=6)
    taken = 200
    for _ in range(taken):
        bed.arrive(IDEM)
        bed.run(40 * MS)
        for name in list(bed.attempts):
            for attempt in bed.out(name):
                bed.end(name, attempt, t.Outcome.ERROR)
    attempts = sum(len(f) for f in bed.attempts.values())
    assert 0 < attempts - taken < taken / 10


@pytest.mark.parametrize("outcome, closed", [(t.Outcome.ERROR, "broken off"), (t.Outcome.UNCONNECTED, None)])
def test_unrepeatable_is_relaunched_only_if_it_never_ran(outcome, closed):
    bed = Bed(deployment())
    warm(bed, 30)
    name = bed.arrive(ONCE)
    bed.end(name, 0, outcome)
    bed.run(100 * MS)
    assert bed.closed.get(name) == closed
    assert len(bed.attempts[name]) == (1 if closed else 2)


def test_deduplicated_is_broken_off_when_its_group_has_nobody_left():
    bed = Bed(deployment(), endpoints=3)  # e1 is alone in its cell
    warm(bed, 30)
    name = next(n for n in iter(lambda: bed.arrive(KEYED), "") if bed.attempts[n][0]["endpoint"] == "e1")
    bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(1, t.EndpointStatus.GONE)]))
    bed.end(name, 0, t.Outcome.RESET)
    bed.run(3 * SECOND)
    assert bed.closed[name] == "broken off" and len(bed.attempts[name]) == 1


def test_a_held_submission_is_answered_without_any_endpoint():
    bed = Bed(deployment(), endpoints=0)
    names = [bed.arrive(w) for w in (IDEM, KEYED, KEYED_ALL, ONCE)]
    bed.run(SECOND)
    assert [bed.closed[n] for n in names] == ["denied"] * 4


def test_a_queue_that_answers_nobody_in_time_is_denied_at_once():
    bed = Bed(deployment(), endpoints=1)
    names = [bed.arrive(IDEM) for _ in range(60)]
    assert [bed.closed.get(n) for n in names[-20:]] == ["denied"] * 20


def test_drained_endpoints_get_nothing_and_an_empty_list_holds():
    bed = Bed(deployment(), endpoints=2)
    bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(0, t.EndpointStatus.DRAINING)]))
    assert {bed.attempts[bed.arrive(IDEM)][0]["endpoint"] for _ in range(4)} == {"e1"}
    bed.step(t.ListReceived(t.ListKind.FULL, []))
    assert not bed.attempts[bed.arrive(IDEM)]


def test_a_cold_endpoint_gets_no_burst():
    bed = Bed(deployment(), endpoints=4)
    warm(bed, 40, took=50 * MS)
    bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(9, started=bed.now)]))
    for _ in range(100):
        name = bed.arrive(IDEM)
        bed.run(20 * MS)
        for attempt in bed.out(name):
            bed.end(name, attempt, t.Outcome.HANDLED)
    sent = [f["sent"] for fs in bed.attempts.values() for f in fs if f["endpoint"] == "e9"]
    assert 1 <= len(sent) <= 100 / 5 + 1


def hang(bed: Bed) -> list[str]:
    """Traffic that e0 never answers; returns the requests that were sent there."""
    warm(bed, 60)
    stuck = []
    for _ in range(80):
        name = bed.arrive(IDEM)
        bed.run(50 * MS)
        for attempt in bed.out(name):
            if bed.attempts[name][attempt]["endpoint"] != "e0":
                bed.end(name, attempt, t.Outcome.HANDLED)
            else:
                stuck.append(name)
    return stuck


def test_a_hanging_endpoint_is_set_aside_and_returns_after_probes():
    bed = Bed(deployment(), endpoints=4)
    stuck = hang(bed)
    assert any("e0 set aside: silent" in line for line in bed.logs)
    assert any(len(bed.attempts[n]) == 2 for n in stuck)  # hedged elsewhere
    for _ in range(4):
        bed.run(SECOND)
        for endpoint in bed.probes:
            bed.step(t.ProbeEnded(endpoint, t.Outcome.HANDLED, MS))
        bed.probes.clear()
    assert any("e0 on trial" in line for line in bed.logs)


def test_quick_errors_set_one_endpoint_aside_but_not_all():
    for bad in (["e0"], ["e0", "e1", "e2", "e3"]):
        bed = Bed(deployment(), endpoints=4)
        warm(bed, 40)
        for _ in range(150):
            name = bed.arrive(ONCE)
            bed.run(20 * MS)
            for attempt in bed.out(name):
                failed = bed.attempts[name][attempt]["endpoint"] in bad
                bed.end(name, attempt, t.Outcome.ERROR if failed else t.Outcome.HANDLED)
        ejected = {line.split()[0] for line in bed.logs if "set aside" in line}
        assert ejected == ({"e0"} if len(bad) == 1 else set())


@pytest.mark.parametrize(
    "away, then, least, most",
    [
        (False, "ready again: it was not away", 0, 400 * MS),
        (True, "on trial", SECOND, 3 * SECOND),
    ],
)
def test_where_connections_break_but_all_probes_are_answered_it_is_back_at_once(away, then, least, most):
    """Guards against a few resets that put three of four endpoints on trial for seconds, with most requests
    denied."""
    bed = Bed(deployment())
    warm(bed)
    name = bed.arrive(IDEM)
    bad = bed.attempts[name][0]["endpoint"]
    bed.end(name, 0, t.Outcome.UNCONNECTED)
    assert any(line == f"{bad} set aside: connections break" for line in bed.logs)
    while "set aside" in bed.logs[-1]:
        bed.run(5 * MS)
        while bed.probes:
            bed.step(t.ProbeEnded(bed.probes.pop(), t.Outcome.UNCONNECTED if away else t.Outcome.HANDLED, MS))
            away = False
    assert bed.logs[-1] == f"{bad} {then}" and least < bed.now - bed.attempts[name][0]["sent"] < most


def test_an_endpoint_that_fails_often_is_not_measured_against_itself():
    """Guards against comparing an endpoint with averages that include itself: one that answered two requests
    of three with quick errors was never ejected, since its own answers dominated the fleet's error rate."""
    bed, rng = Bed(deployment(), endpoints=4), random.Random(3)
    warm(bed, 40)
    out = [bed.arrive(ONCE) for _ in range(5)]
    for at in range(300):
        bed.run(20 * MS)
        for name in [name for name in out if bed.out(name)]:
            attempt = bed.attempts[name][0]
            bad = attempt["endpoint"] == "e0"
            if bad or bed.now - attempt["sent"] >= 100 * MS:
                fails = bad and rng.random() < (0.2 if at < 150 else 0.6)
                bed.end(name, 0, t.Outcome.ERROR if fails else t.Outcome.HANDLED)
                out.append(bed.arrive(ONCE))
    assert any(line.startswith("e0 set aside: failed") for line in bed.logs)
    assert {line.split()[0] for line in bed.logs if "set aside" in line} == {"e0"}


def test_errors_shut_caps_only_while_answers_are_crowded():
    """Unreadable answers from all endpoints alike must not reduce the capacity: half of it was lost under
    light load."""
    bed = Bed(deployment())
    warm(bed)
    for outcome, falls in ((t.Outcome.ERROR, False), (t.Outcome.TIMED_OUT, True)):
        for _ in range(3):
            bed.end(name := bed.arrive(ONCE), 0, outcome, after=100 * MS)
            assert bed.closed[name] == "broken off"
        assert any(e.share < 0.9 for e in bed.sidecar.dispatcher.endpoints.values()) is falls


def test_a_broken_watch_is_asked_for_again_with_jitter():
    waits = []
    for seed in range(10):
        bed = Bed(deployment(poll_discovery=True, poll_interval=10 * SECOND, seed=seed))
        bed.run(5 * SECOND)
        assert len(bed.watches) == 1
        bed.step(t.ListReceived(t.ListKind.FAILED, []))
        start = bed.now
        bed.run(5 * SECOND)
        waits.append(bed.watches[1] - start)
    assert len(set(waits)) > 5


def test_nothing_stays_of_endpoints_that_are_gone():
    """Guards against a leak of an actor, a state and a place among the recent reporters for each of 300
    endpoints."""
    bed = Bed(deployment())
    dispatcher, rng, listed = bed.sidecar.dispatcher, random.Random(5), bed.sidecar.registry.listed
    for at in range(300):
        for _ in range(3):
            bed.arrive(rng.choice([IDEM, KEYED]))
        gone = sorted(listed)[0]
        new = t.ListEntry(f"n{at}", t.EndpointStatus.READY, "z", "k", "0")
        if at % 2:
            bed.step(
                t.ListReceived(t.ListKind.CHANGES, [new, t.ListEntry(gone, t.EndpointStatus.GONE)]),
                after=10 * MS,
            )
        else:
            left = [entry for entry in listed.values() if entry.endpoint != gone]
            bed.step(t.ListReceived(t.ListKind.FULL, [*left, new]), after=10 * MS)
        for name in list(bed.attempts):
            for attempt in bed.out(name):
                outcome = rng.choice([t.Outcome.HANDLED, t.Outcome.RESET, t.Outcome.UNCONNECTED])
                bed.end(name, attempt, outcome, t.LoadReport(1.0))
        bed.step(t.ProbeEnded(gone, t.Outcome.HANDLED, MS))
    bed.run(4 * SECOND)
    for name in list(bed.attempts):
        for attempt in bed.out(name):
            bed.end(name, attempt, t.Outcome.CALLED_OFF)
    assert (
        set(dispatcher.endpoints) == set(dispatcher.endpoint_states) == set(listed)
        and len(dispatcher.endpoint_states) == 4
    )
    assert {state.name for state in dispatcher.recent_reporters} <= set(dispatcher.endpoint_states)
    assert (
        dispatcher.ready == sum(state.report.open for state in dispatcher.endpoint_states.values())
        and dispatcher.in_flight >= 0
    )


def test_unknown_ends_and_late_notes_are_ignored():
    bed = Bed(deployment())
    name = bed.arrive(IDEM)
    bed.end(name, 0, t.Outcome.HANDLED)
    late = [
        t.AttemptEnded(name, 0, t.Outcome.ERROR, 5),
        t.RequestCancelled(name),
        t.RequestCancelled("other"),
        t.TimerFired(99),
    ]
    commands = bed.sidecar.step(bed.now + 5, late)
    assert all(isinstance(o, t.SetTimer) for o in commands)


@pytest.mark.parametrize("seed", range(45))
def test_the_rules_hold_through_random_days(seed):
    rng = random.Random(seed)
    tier = rng.randrange(2)
    bed = Bed(
        deployment(
            seed=seed,
            tier=tier,
            hedging_allowed=rng.random() < 0.7,
            poll_discovery=rng.random() < 0.5,
            cancel_allowed=rng.random() < 0.7,
            probes_allowed=rng.random() < 0.8,
            poll_interval=10 * SECOND,
            max_attempts=rng.randint(1, 4),
        )
        if seed < 30
        else deployment(
            seed=seed,
            instances=90,
            poll_discovery=True,
            poll_interval=10 * SECOND,
            cancel_allowed=seed % 2 > 0,
            few_connections=seed % 3 > 0,
            **SIDECAR_PER_CLIENT,
        ),
        endpoints=rng.randint(0, 6),
    )
    for _ in range(1500):
        bed.run(5 * MS)
        roll = rng.random()
        live = [(n, i) for n, fs in bed.attempts.items() for i, f in enumerate(fs) if f["how"] is None]
        if roll < 0.45:
            w = rng.choice(bed.d.workloads)
            bed.arrive(w, rng.randint(20 * MS, w.hard_limit))
        elif roll < 0.9 and live:
            name, attempt = rng.choice(live)
            bed.end(name, attempt, t.Outcome.HANDLED if rng.random() < 0.6 else rng.choice(OUTCOMES))
        elif roll < 0.93:
            started = bed.now if rng.random() < 0.5 else 0
            entry = listing(rng.randrange(8), rng.choice(list(t.EndpointStatus)), started)
            bed.step(t.ListReceived(t.ListKind.CHANGES, [entry]))
        elif roll < 0.94 and bed.unanswered:
            bed.step(t.RequestCancelled(rng.choice(list(bed.unanswered))))
        for endpoint in bed.probes:
            bed.step(t.ProbeEnded(endpoint, rng.choice(OUTCOMES), MS))
        bed.probes.clear()
        for name, attempt in live:
            arrived = bed.unanswered.get(name)
            if arrived and arrived.due <= bed.now and attempt in bed.out(name):
                bed.end(name, attempt, t.Outcome.TIMED_OUT)
    bed.run(4 * SECOND)
    assert not bed.unanswered


def test_launches_unanswered_at_the_hard_limit_count_against_their_endpoint():
    bed = Bed(deployment(), endpoints=4)
    warm(bed, 40)
    for _ in range(100):
        bed.arrive(ONCE, 400 * MS)
        bed.run(30 * MS)
        for other in list(bed.attempts):
            for attempt in bed.out(other):
                if bed.attempts[other][attempt]["endpoint"] != "e0":
                    bed.end(other, attempt, t.Outcome.HANDLED)
                elif other not in bed.unanswered:
                    bed.end(other, attempt, t.Outcome.CALLED_OFF)
    assert any("e0 set aside" in line for line in bed.logs)


def test_a_new_endpoint_starts_with_the_cap_the_others_have_learned():
    bed = Bed(deployment(instances=3), endpoints=4)
    warm(bed, 40, took=50 * MS)
    for _ in range(60):  # all answers slow down, so caps fall
        names = [bed.arrive(IDEM) for _ in range(4)]
        bed.run(200 * MS)
        for name in names:
            for attempt in bed.out(name):
                bed.end(name, attempt, t.Outcome.HANDLED)
    bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(9)]))
    for _ in range(12):
        bed.arrive(IDEM)
    in_flight = [f["endpoint"] for fs in bed.attempts.values() for f in fs if f["how"] is None]
    assert 1 <= in_flight.count("e9") < 4


@pytest.mark.parametrize("instances", [24, 400])
def test_many_sidecars_share_an_endpoint_in_fractions_rounded_by_chance(instances):
    in_flight = []
    for seed in range(instances):
        bed = Bed(deployment(instances=instances, seed=seed), endpoints=8)
        for _ in range(3):
            bed.arrive(IDEM)
        in_flight.append(sum(f["how"] is None for fs in bed.attempts.values() for f in fs))
    # all sidecars' attempts per endpoint
    assert 0.5 * FLEET_CAP_START < sum(in_flight) / 8 <= 1.1 * FLEET_CAP_START
    assert instances < 100 or min(in_flight) == 0  # some have no attempt in flight


def test_an_endpoint_that_reports_a_crowd_is_passed_over_while_others_have_room():
    bed = Bed(deployment(), endpoints=4)
    for _ in range(100):
        name = bed.arrive(IDEM)
        bed.run(20 * MS)
        bed.end(name, 0, t.Outcome.HANDLED)
        for endpoint in ("e0", "e1", "e2", "e3"):
            bed.step(
                t.ProbeEnded(
                    endpoint, t.Outcome.HANDLED, MS, t.LoadReport(queued=9.0 if endpoint == "e0" else 1.0)
                )
            )
    assert sum(fs[0]["endpoint"] == "e0" for fs in bed.attempts.values()) < 15
    assert "e0" in {bed.attempts[bed.arrive(IDEM)][0]["endpoint"] for _ in range(13)}


@pytest.mark.parametrize("uneven", [False, True])
def test_a_bound_workload_goes_to_no_other_endpoint_and_holds_up_nothing_else(uneven):
    """Guards against a first attempt outside the workload's zones: a workload that only one zone serves was
    sent to another."""
    star = t.Workload(
        "star", SECOND, 2 * SECOND, repeat=t.RepeatPolicy.DEDUPLICATED, window=SECOND, zones=("n",)
    )
    bed = Bed(deployment(workloads=[IDEM, star], uneven=uneven, zone="z"), endpoints=0)
    entries = [
        t.ListEntry(f"e{at}", t.EndpointStatus.READY, "n" if at < 2 else "z", "k", "0") for at in range(6)
    ]
    bed.step(t.ListReceived(t.ListKind.FULL, entries))
    rng, stars, others = random.Random(3), [], []
    outcomes = [t.Outcome.HANDLED] * 8 + [t.Outcome.REFUSED, t.Outcome.ERROR]
    for at in range(400):
        if at == 200:
            bed.step(
                t.ListReceived(
                    t.ListKind.CHANGES, [t.ListEntry(f"e{n}", t.EndpointStatus.GONE) for n in (0, 1)]
                )
            )
        (stars if at % 3 else others).append(bed.arrive(star if at % 3 else IDEM))
        bed.run(20 * MS)
        for name in list(bed.attempts):
            for attempt in bed.out(name):
                bed.end(name, attempt, rng.choice(outcomes))
    assert {f["endpoint"] for name in stars for f in bed.attempts[name]} == {"e0", "e1"}
    assert sum(bed.closed.get(name) == "handled" for name in others) > 0.8 * len(others)


def test_a_workload_that_is_slow_everywhere_shuts_no_caps_and_blames_no_endpoint():
    """One workload took two contract times at every endpoint; the caps fell, and half of all requests were
    denied."""
    bed, rng = Bed(deployment(), endpoints=4), random.Random(4)
    warm(bed, took=40 * MS)
    warm(bed, took=40 * MS, workload=ONCE)
    due = []
    for _ in range(800):
        w = ONCE if rng.random() < 0.4 else IDEM
        due.append((bed.now + (400 if w is ONCE else 40) * MS, bed.arrive(w)))
        bed.run(20 * MS)
        for at, name in due:
            for attempt in bed.out(name) if at <= bed.now else []:
                bed.end(name, attempt, t.Outcome.HANDLED)
        due = [(at, name) for at, name in due if name not in bed.closed]
    assert bed.sidecar.dispatcher.crowding < 1.5 and bed.sidecar.dispatcher.cap >= CAP_START
    assert not any("set aside" in line for line in bed.logs)


@pytest.mark.parametrize("drained", [False, True])
def test_where_gone_alone_does_not_bind_what_the_list_drops_serves_until_it_fails(drained):
    """Incident ibd6aa9: the list dropped 10 of 13 endpoints that were still serving; the other three got all
    traffic."""
    bed = Bed(deployment(gone_binds=False), endpoints=4)
    warm(bed)
    if drained:
        bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(0, t.EndpointStatus.DRAINING)]))
    bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(0, t.EndpointStatus.GONE)]))
    bed.state["e0"] = (
        t.EndpointStatus.GONE if drained else t.EndpointStatus.READY
    )  # by which the bed checks each attempt
    picks = []
    for _ in range(20):
        picks.append(name := bed.arrive(IDEM))
        bed.end(name, 0, t.Outcome.HANDLED, after=20 * MS)
    used = [bed.attempts[name][0]["endpoint"] for name in picks]
    assert ("e0" in used) is not drained
    while not drained and "e0" in bed.sidecar.dispatcher.endpoints:
        name = bed.arrive(IDEM)
        bed.end(
            name, 0, t.Outcome.UNCONNECTED if bed.attempts[name][0]["endpoint"] == "e0" else t.Outcome.HANDLED
        )
    assert "e0" not in bed.sidecar.registry.listed and not bed.sidecar.registry.dropped
    bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(0)]))
    assert "e0" in bed.sidecar.dispatcher.endpoint_states


def test_a_workload_bound_to_kinds_goes_to_those_alone():
    heavy = t.Workload("heavy", SECOND, 2 * SECOND, 1.0, 0.0, t.RepeatPolicy.IDEMPOTENT, kinds=("big",))
    bed = Bed(deployment(workloads=[heavy]), endpoints=0)
    entries = [
        t.ListEntry(f"e{at}", t.EndpointStatus.READY, "z", "big" if at == 3 else "small", "0")
        for at in range(4)
    ]
    bed.step(t.ListReceived(t.ListKind.FULL, entries))
    names = [bed.arrive(heavy) for _ in range(9)]
    assert {f["endpoint"] for name in names for f in bed.attempts[name]} == {"e3"}


def test_a_first_report_puts_nobody_behind_before_the_mean_is_known():
    """Guards against picking last whichever endpoint was probed in the first half second, whatever it
    reported."""
    bed = Bed(deployment(reports_asked=True), endpoints=3)
    bed.step(t.ProbeEnded("e0", t.Outcome.HANDLED, MS, t.LoadReport(queued=0.0)))
    assert not bed.sidecar.dispatcher.endpoint_states["e0"].report.crowded


def test_an_endpoint_slower_than_the_others_is_picked_after_them():
    bed = Bed(deployment(instances=20, tier=1), endpoints=4)
    picks = []
    for _ in range(200):
        name = bed.arrive(IDEM)
        picks.append(bed.attempts[name][0]["endpoint"])
        bed.run((150 if picks[-1] == "e0" else 40) * MS)
        bed.end(name, 0, t.Outcome.HANDLED)
    assert picks[100:].count("e0") < 12
    assert not any("set aside" in line for line in bed.logs)


def test_an_inner_launch_that_never_ran_goes_elsewhere_but_one_that_may_have_run_does_not():
    for outcome, attempts in ((t.Outcome.UNCONNECTED, 2), (t.Outcome.REFUSED, 2), (t.Outcome.RESET, 1)):
        bed = Bed(deployment(tier=1))
        warm(bed, 30)
        name = bed.arrive(ONCE)
        bed.end(name, 0, outcome)
        bed.run(100 * MS)
        assert len({f["endpoint"] for f in bed.attempts[name]}) == attempts


@pytest.mark.parametrize(
    "outcome, workload, attempts",
    [
        (t.Outcome.SPOILT, IDEM, 2),
        (t.Outcome.SPOILT, ONCE, 1),
        (t.Outcome.ERROR, IDEM, 1),
    ],
)
def test_an_inner_launch_whose_answer_came_spoilt_goes_out_anew_where_allowed(outcome, workload, attempts):
    """Passed up instead, each used up the retry budget of the front tier, which had none left for others."""
    bed = Bed(deployment(tier=1))
    warm(bed)
    name = bed.arrive(workload)
    bed.end(name, 0, outcome)
    bed.run(RETRY_BASE_DELAY + 5 * MS)
    assert len(bed.attempts[name]) == attempts


def test_a_hang_met_by_single_launches_is_seen_at_their_time_out():
    bed = Bed(deployment(instances=20, tier=1), endpoints=6)
    for _ in range(60):
        name = bed.arrive(ONCE, 600 * MS)
        if bed.attempts[name][0]["endpoint"] == "e0":
            bed.run(600 * MS)
            bed.end(name, 0, t.Outcome.CALLED_OFF)
            break
        bed.run(30 * MS)
        bed.end(name, 0, t.Outcome.HANDLED)
    bed.run(200 * MS)
    assert any("e0 set aside: silent" in line for line in bed.logs)


def test_nothing_deduplicated_is_sent_again_after_its_window():
    kind = t.RepeatPolicy.DEDUPLICATED, t.DeduplicationScope.ALL, SECOND // 2
    short = t.Workload("short", 3 * SECOND, 5 * SECOND, 1.0, 0.0, *kind)
    for wait, attempts in ((100 * MS, 2), (700 * MS, 1)):
        bed = Bed(deployment(workloads=[IDEM, short]))
        warm(bed, 30)
        name = bed.arrive(short)
        bed.run(wait)
        bed.end(name, 0, t.Outcome.ERROR)
        bed.run(200 * MS)
        assert len(bed.attempts[name]) == attempts


def test_a_cold_endpoint_is_not_filled_up_to_the_mean_at_once():
    bed = Bed(deployment(), endpoints=4)
    warm(bed, 40, took=50 * MS)
    names = [bed.arrive(IDEM) for _ in range(12)]
    bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(9, started=bed.now)]))
    names += [bed.arrive(IDEM) for _ in range(6)]
    assert sum(bed.attempts[n][0]["endpoint"] == "e9" for n in names if bed.attempts[n]) <= 1


def test_all_caps_fall_when_all_answers_slow_down():
    bed = Bed(deployment(), endpoints=4)
    warm(bed, 60, took=40 * MS)
    for _ in range(30):
        names = [bed.arrive(IDEM) for _ in range(4)]
        bed.run(150 * MS)
        for name in names:
            for attempt in bed.out(name):
                bed.end(name, attempt, t.Outcome.HANDLED)
    for _ in range(20):
        bed.arrive(IDEM)
    in_flight = sum(f["how"] is None for fs in bed.attempts.values() for f in fs)
    assert in_flight < 4 * CAP_START
    assert not any("set aside" in line for line in bed.logs)


def test_the_work_for_a_submission_does_not_grow_with_the_fleet_and_an_idle_sidecar_sleeps():
    def calls(endpoints: int) -> int:
        bed, counted = Bed(deployment(instances=50), endpoints=endpoints), [0]

        def count(frame, event, _):
            counted[0] += event == "call" and "lupinmill" in frame.f_code.co_filename

        sys.setprofile(count)
        warm(bed, 40)
        sys.setprofile(None)
        bed.run(5 * SECOND)
        assert not bed.wakes
        return counted[0]

    assert calls(300) < 1.3 * calls(10)


def probing(
    instances: int = 20, endpoints: int = 8, heavy: tuple = ("e0",), busy: float = 0.5, load: float = 50.0
) -> Bed:
    """Light traffic of one sidecar among many, whose probes are answered with load reports; those of `heavy`
    are high."""
    bed = Bed(deployment(instances=instances, reports_asked=True), endpoints=endpoints)
    bed.taken = 0
    for _ in range(150):
        name = bed.arrive(IDEM)
        bed.taken += 1
        bed.run(30 * MS)
        for endpoint in bed.probes:
            report = t.LoadReport(queued=load if endpoint in heavy else 1.0, busy=busy)
            bed.step(t.ProbeEnded(endpoint, t.Outcome.HANDLED, MS, report))
        bed.probed = getattr(bed, "probed", 0) + len(bed.probes)
        bed.probes.clear()
        bed.run(100 * MS)
        for attempt in bed.out(name):
            bed.end(name, attempt, t.Outcome.HANDLED)
    return bed


def test_probed_reports_decide_ties_at_one_probe_a_launch():
    bed = probing()
    picks = [fs[0]["endpoint"] for fs in bed.attempts.values() if fs]
    assert 0 < bed.probed <= len(picks)
    assert picks[50:].count("e0") < 100 / 8 / 2
    assert len(set(picks[50:])) > 4  # no herd


def test_no_place_among_the_ready_ones_is_no_fault():
    probing(instances=9, endpoints=3, heavy=("e0", "e1"))  # the only one with a low load is in use


@pytest.mark.parametrize("busy, falls", [(0.4, False), (0.95, True)])
def test_where_caps_are_fractions_probed_reports_must_bear_out_a_crowd(busy, falls):
    bed = probing(busy=busy)
    dispatcher = bed.sidecar.dispatcher
    start = dispatcher.cap
    for _ in range(12):  # 2.5 times slower than before
        name = bed.arrive(IDEM)
        bed.run(325 * MS)
        for endpoint in bed.probes:
            bed.step(t.ProbeEnded(endpoint, t.Outcome.HANDLED, MS, t.LoadReport(queued=1.0, busy=busy)))
        bed.probes.clear()
        for attempt in bed.out(name):
            bed.end(name, attempt, t.Outcome.HANDLED)
    assert (dispatcher.cap < 0.8 * start) is falls


def test_a_jam_at_the_start_is_not_taken_for_the_uncrowded_state():
    estimate = LatencyEstimate(200 * MS, 40)
    for took in (150 * MS, 140 * MS, 130 * MS, 600 * MS, 700 * MS, 800 * MS):
        estimate.add(SECOND, took)
    assert estimate.uncrowded < 200 * MS < estimate.current
    for _ in range(40):  # the first mean is taken in the jam, too
        estimate.add(3 * SECOND, 800 * MS)
    assert len(estimate.means) > 1 and estimate.uncrowded < 300 * MS


def test_a_lasting_overload_keeps_to_the_room():
    bed = Bed(deployment(instances=100), endpoints=50)
    total = []
    for _ in range(60):
        bed.arrive(IDEM)
        bed.run(50 * MS)
        out = [(n, i) for n, fs in bed.attempts.items() for i, f in enumerate(fs) if f["how"] is None]
        for name, attempt in out:
            if bed.now - bed.attempts[name][attempt]["sent"] >= 300 * MS:
                bed.end(name, attempt, t.Outcome.HANDLED)
        total.append(len(out))
    assert sum(total[20:60]) / 40 <= 1.5 * 50 * FLEET_CAP_START * FRACTIONAL_CAP_FACTOR / 100


def test_a_tie_goes_to_the_endpoint_that_told_of_less_even_without_a_crowd():
    bed = probing(load=2.0)
    picks = [fs[0]["endpoint"] for fs in bed.attempts.values() if fs]
    assert not bed.sidecar.dispatcher.endpoint_states["e0"].report.crowded
    assert picks[50:].count("e0") < 100 / 8 / 2


@pytest.mark.parametrize("copies", [True, False])
def test_a_second_copy_is_sent_only_where_two_launches_may_be_out(copies):
    bed = Bed(deployment(hedging_allowed=copies), endpoints=4)
    hang(bed)
    assert any("e0 set aside: silent" in line for line in bed.logs)
    assert any(len(fs) == 2 for fs in bed.attempts.values()) is copies


def test_a_held_call_of_an_inner_tier_is_answered_long_before_its_hard_limit():
    bed = Bed(deployment(tier=1), endpoints=1)
    names = [bed.arrive(ONCE) for _ in range(60)]
    assert [bed.closed.get(n) for n in names[-20:]] == ["denied"] * 20


def keyed_repeat(workload: t.Workload) -> tuple[Bed, str]:
    """A bed with a request whose first attempt may have run and whose second one is out."""
    bed = Bed(deployment(max_attempts=4, seed=11), endpoints=12)
    for _ in range(200):
        name = bed.arrive(workload)
        bed.end(name, 0, t.Outcome.RESET, after=5 * MS)
        bed.run(100 * MS)
        if len(bed.attempts[name]) == 2 and name in bed.unanswered:
            return bed, name
        for number in bed.out(name):
            bed.end(name, number, t.Outcome.HANDLED)
    raise AssertionError("no request was attempted twice")


def test_a_repeat_may_be_sent_until_the_window_ends_and_only_while_it_is_in_its_group():
    """Guards against a repeat that is decided in time and written after its window or outside its group."""
    bed, name = keyed_repeat(KEYED)
    first, second = bed.attempts[name]
    assert bed.now < bed.sidecar.send_limit(name, 1) <= first["sent"] + KEYED.window
    assert bed.sidecar.window_end(name) == bed.sidecar.send_limit(name, 1)
    assert bed.sidecar.send_limit(name, 0) == bed.sidecar.send_limit(
        name, 1
    )  # it may arrive behind the second
    moved = t.ListEntry(second["endpoint"], t.EndpointStatus.READY, "z", "k", "elsewhere", 0)
    bed.step(t.ListReceived(t.ListKind.CHANGES, [moved]))
    assert bed.sidecar.send_limit(name, 1) == 0


def test_what_may_be_repeated_anywhere_is_sent_without_a_limit():
    bed, name = keyed_repeat(IDEM)
    assert bed.sidecar.send_limit(name, 1) == bed.sidecar.window_end(name) == math.inf
    assert bed.sidecar.send_limit("unknown", 0) == bed.sidecar.window_end("unknown") == math.inf
