"""State shared by all sidecars, in the decision module: the plan for zones, failover shares, brakes at cold
endpoints and the count of live sidecars. Placement and drains take precedence over it, and without it the
configured values apply."""

import pytest
from bed import IDEM, KEYED, Bed, deployment

from lupinmill import terms as t
from lupinmill.peers.live_count import FALL_DELAY_US, TRUST_US, LiveCount
from lupinmill.peers.view import SECOND
from lupinmill.rules import CAP_START, FLEET_CAP_START, Sidecar
from lupinmill.state import learned

MS = 1_000
ZONES = "abc"


def bed_with_endpoints(per_zone: int = 2, workloads=(IDEM, KEYED), **changes) -> Bed:
    bed = Bed(deployment(workloads=list(workloads), **changes), 0)
    entries = [
        t.ListEntry(f"{zone}{n}", t.EndpointStatus.READY, zone, "k", zone)
        for zone in ZONES
        for n in range(per_zone)
    ]
    bed.step(t.ListReceived(t.ListKind.FULL, entries))
    return bed


def same_plan_for_all(shares: dict, failover: dict | None = None, workloads=("view", "bid")) -> dict:
    return {name: (shares, failover or {}) for name in workloads}


def update_shared_state(bed: Bed, until: int = 10 * SECOND, **common) -> None:
    bed.step(t.FleetState(until=bed.now + until, **common))


def zones_of_first_attempts(bed: Bed, names: list[str]) -> list[str]:
    return [bed.attempts[name][0]["endpoint"][0] if bed.attempts[name] else "" for name in names]


def complete_requests(bed: Bed, count: int, workload=IDEM) -> list[str]:
    names = []
    for _ in range(count):
        names.append(bed.arrive(workload))
        bed.now += 10 * MS
        for attempt in bed.out(names[-1]):
            bed.end(names[-1], attempt, t.Outcome.HANDLED)
    return names


def test_without_a_plan_launches_go_anywhere_and_with_one_they_go_by_its_shares():
    bed = bed_with_endpoints()
    assert len(set(zones_of_first_attempts(bed, complete_requests(bed, 60)))) == 3
    update_shared_state(bed, plan=same_plan_for_all({"a": 1.0}))
    assert set(zones_of_first_attempts(bed, complete_requests(bed, 60))) == {"a"}
    update_shared_state(bed, plan=same_plan_for_all({"a": 0.75, "c": 0.25}))
    found = zones_of_first_attempts(bed, complete_requests(bed, 400))
    assert set(found) == {"a", "c"} and 0.18 < found.count("c") / 400 < 0.32


def test_a_plan_that_is_not_confirmed_ends_by_itself():
    bed = bed_with_endpoints()
    update_shared_state(bed, until=SECOND, plan=same_plan_for_all({"a": 1.0}), sidecars=4)
    assert bed.sidecar.dispatcher.settings.active_sidecars == 4
    bed.run(2 * SECOND)
    assert (
        bed.sidecar.dispatcher.settings.active_sidecars == 2 and not bed.sidecar.dispatcher.fleet_state.plan
    )
    assert len(set(zones_of_first_attempts(bed, complete_requests(bed, 60)))) == 3


def test_a_newer_word_outlives_the_end_of_an_older_one():
    bed = bed_with_endpoints()
    update_shared_state(bed, until=SECOND, plan=same_plan_for_all({"a": 1.0}))
    bed.run(900 * MS)
    update_shared_state(bed, until=5 * SECOND, plan=same_plan_for_all({"b": 1.0}))
    bed.run(SECOND)
    assert set(zones_of_first_attempts(bed, complete_requests(bed, 20))) == {"b"}


def drain(bed: Bed, zone: str) -> None:
    entries = [t.ListEntry(f"{zone}{n}", t.EndpointStatus.DRAINING, zone, "k", zone) for n in range(2)]
    bed.step(t.ListReceived(t.ListKind.CHANGES, entries))


def test_a_zone_with_nothing_open_is_left_by_its_way_out_and_the_rest_is_denied_at_once():
    """Guards against requests in a lost zone that wait in vain until their deadline."""
    bed = bed_with_endpoints()
    update_shared_state(bed, plan=same_plan_for_all({"a": 1.0}, {"b": 0.5}))
    drain(bed, "a")
    names = complete_requests(bed, 200)
    found = zones_of_first_attempts(bed, names)
    assert set(found) == {"b", ""} and 0.4 < found.count("b") / 200 < 0.6
    assert all(bed.closed[name] == "denied" for name, zone in zip(names, found) if not zone)
    assert not bed.sidecar.dispatcher.waiting


def test_what_failed_in_its_zone_may_be_launched_again_in_another():
    bed = bed_with_endpoints(per_zone=1)
    update_shared_state(bed, plan=same_plan_for_all({"a": 1.0}))
    complete_requests(bed, 60)
    name = bed.arrive(IDEM)
    bed.end(name, 0, t.Outcome.UNCONNECTED)
    bed.run(100 * MS)
    assert [attempt["endpoint"][0] for attempt in bed.attempts[name]][0] == "a"
    assert len(bed.attempts[name]) == 2 and bed.attempts[name][1]["endpoint"][0] in "bc"


def test_a_full_zone_holds_up_no_other():
    """Requests for a full zone wait; those for another zone overtake them."""
    bed = bed_with_endpoints(instances=1)
    update_shared_state(bed, plan=same_plan_for_all({"a": 1.0}))
    waiting = [bed.arrive(IDEM) for _ in range(2 * CAP_START + 3)]
    assert sum(not bed.attempts[name] for name in waiting if name in bed.unanswered) > 0
    update_shared_state(bed, plan=same_plan_for_all({"b": 1.0}))
    assert zones_of_first_attempts(bed, [bed.arrive(IDEM)]) == ["b"]
    assert all(zone in "a" for zone in zones_of_first_attempts(bed, waiting))


def test_worth_goes_before_within_a_zone():
    bed = bed_with_endpoints(per_zone=1, instances=1)
    update_shared_state(bed, plan=same_plan_for_all({"a": 1.0}))
    full = [bed.arrive(IDEM) for _ in range(CAP_START)]
    view, bid = bed.arrive(IDEM), bed.arrive(KEYED)
    bed.now += 20 * MS
    bed.end(full[0], 0, t.Outcome.HANDLED)
    assert bed.attempts[bid] and not bed.attempts[view]


@pytest.mark.parametrize("bound", [{"zones": ("c",)}, {"kinds": ("rare",)}])
def test_placement_goes_before_any_plan(bound):
    star = t.Workload("star", SECOND, 2 * SECOND, repeat=t.RepeatPolicy.IDEMPOTENT, **bound)
    bed = bed_with_endpoints(workloads=(IDEM, star))
    bed.step(
        t.ListReceived(t.ListKind.CHANGES, [t.ListEntry("c9", t.EndpointStatus.READY, "c", "rare", "c")])
    )
    update_shared_state(bed, plan=same_plan_for_all({"a": 1.0}, {"b": 1.0}, ("view", "star")))
    found = zones_of_first_attempts(bed, complete_requests(bed, 30, star))
    assert set(found) == {"c"}


def test_a_repeat_stays_in_the_group_that_may_hold_it_whatever_the_plan_says():
    bed = bed_with_endpoints(per_zone=2)
    update_shared_state(bed, plan=same_plan_for_all({"a": 1.0}, {"b": 1.0}))
    complete_requests(bed, 60)
    name = bed.arrive(KEYED)
    drain(bed, "b")
    bed.end(name, 0, t.Outcome.RESET)
    bed.run(SECOND)
    assert {attempt["endpoint"][0] for attempt in bed.attempts[name]} == {"a"}


def test_a_cold_endpoint_gets_less_where_all_together_send_it_too_much():
    def sent(brakes: dict) -> int:
        bed = bed_with_endpoints(per_zone=1, instances=1)
        warm = complete_requests(bed, 100)
        bed.step(
            t.ListReceived(
                t.ListKind.CHANGES, [t.ListEntry("a9", t.EndpointStatus.READY, "a", "k", "a", bed.now)]
            )
        )
        update_shared_state(bed, brakes=brakes)
        names = complete_requests(bed, 200)
        assert warm
        return sum(attempt["endpoint"] == "a9" for name in names for attempt in bed.attempts[name])

    unlimited, limited = sent({}), sent({"a9": 0.1})
    assert unlimited >= 8 and limited <= unlimited / 3


# --- the live count -----------------------------------------------------------------------------------------


def test_caps_follow_the_live_count_and_what_was_learned_is_scaled():
    sidecar = Sidecar(deployment(instances=4))
    start = sidecar.dispatcher.cap
    assert start == FLEET_CAP_START / 4
    sidecar.step(SECOND, [t.FleetState(sidecars=2, until=9 * SECOND)])
    assert sidecar.dispatcher.cap == 2 * start and sidecar.dispatcher.settings.cap_start == CAP_START
    sidecar.step(2 * SECOND, [t.FleetState(sidecars=8, until=9 * SECOND)])
    assert sidecar.dispatcher.cap == start / 2
    sidecar.step(9 * SECOND, [t.TimerFired(1)])
    assert sidecar.dispatcher.cap == start and sidecar.dispatcher.settings.active_sidecars == 4


def test_the_next_process_of_an_upgrade_learns_the_cap_as_among_those_told():
    """Guards against a cap that is scaled by the live count twice."""
    old, new = Sidecar(deployment(instances=4)), Sidecar(deployment(instances=4))
    old.step(SECOND, [t.FleetState(sidecars=2, until=9 * SECOND)])
    learned.recall(new, learned.learned(old), SECOND)
    assert new.dispatcher.cap == FLEET_CAP_START / 4


def test_a_fall_of_the_count_waits_and_a_rise_does_not():
    count = LiveCount(10, 0)
    assert count.step(0, True, 10) == 10
    assert count.step(SECOND, True, 3) == 10, "most of them restart, and are back before the fall counts"
    assert count.step(2 * SECOND, True, 12) == 12
    assert count.step(2 * SECOND + FALL_DELAY_US + 1, True, 9) == 9


def test_who_is_cut_off_goes_back_to_the_told_figure():
    count = LiveCount(10, 0)
    assert count.step(0, True, 20) == 20
    assert count.step(TRUST_US // 2, False, 1) == 15, "never by its own view: the others may be alive"
    assert count.step(TRUST_US, False, 1) == 10
    assert LiveCount(10, 0).step(0, False, 1) == 10
