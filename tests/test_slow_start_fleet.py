"""What all sidecars together send to an endpoint in slow start when they know least: new processes,
endpoints of other sizes, long idle times, wrong clocks and wrong lists."""

import random

import pytest
import test_cold_fleet
from bed import Bed, deployment, listing
from test_cold_fleet import (
    CAPACITY,
    FAULT,
    FEW,
    MS,
    PER_CLIENT,
    POOL,
    SHARE,
    SPAN,
    TIME,
    Fleet,
    Server,
    allowed,
    bursts,
    few_left,
    half_and_all_processes,
    joins,
)

from lupinmill import terms as t
from lupinmill.rules import SECOND, Sidecar

SHAPES = {"pool": POOL, "beside": PER_CLIENT, "few": FEW}
PROBING = POOL | dict(reports_asked=True, probes_allowed=True)


def one_cold_left_to_new_processes(fleet: Fleet) -> None:
    """All other endpoints are gone, but still listed, when every process restarts."""
    gone = [name for name in fleet.servers if name != "e0"]
    fleet.at(fleet.begin + FAULT - SECOND // 2, fleet.die, *gone)
    fleet.at(fleet.begin + FAULT, fleet.start, "e0")
    fleet.at(fleet.begin + FAULT + 1, fleet.restart_sidecars)


def one_cold_listed_to_new_processes(fleet: Fleet) -> None:
    """As above, but the new processes don't know that there were ten endpoints."""
    gone = [name for name in fleet.servers if name != "e0"]
    one_cold_left_to_new_processes(fleet)
    fleet.at(fleet.begin + FAULT, lambda: [fleet.servers.pop(name) for name in gone])


def processes_replaced_in_turn(fleet: Fleet) -> None:
    joins(fleet)
    for part in range(10):
        fleet.at(fleet.begin + FAULT + part * SECOND // 4, replace_some, fleet, part)


def replace_some(fleet: Fleet, part: int) -> None:
    """Restarts every tenth process with the list that it had."""
    for one in range(part, len(fleet.sidecars), 10):
        for key in [key for key in fleet.out if key[0] == one]:
            fleet.out.pop(key)
        fleet.sidecars[one] = Sidecar(fleet.deployments[one])
        rows = [fleet.row(name, t.EndpointStatus.READY) for name in fleet.servers]
        fleet.step(one, t.ListReceived(t.ListKind.CACHED, rows))


def a_small_one_joins(fleet: Fleet) -> None:
    """An endpoint with one core joins some with four."""

    def join() -> None:
        fleet.servers["new"] = Server("new", 1)
        fleet.start("new")

    fleet.at(fleet.begin + FAULT, join)


def comes_back(fleet: Fleet) -> None:
    fleet.at(fleet.begin + FAULT - 2 * SECOND, fleet.die, "e0")
    fleet.at(fleet.begin + FAULT, fleet.start, "e0")


def three_cold_left(fleet: Fleet) -> None:
    names = list(fleet.servers)
    fleet.at(fleet.begin + FAULT - SECOND // 2, fleet.die, *names)
    fleet.at(fleet.begin + FAULT, fleet.start, *names[:3])
    fleet.at(fleet.begin + FAULT + 1, fleet.restart_sidecars)


CASES = [
    one_cold_left_to_new_processes,
    one_cold_listed_to_new_processes,
    processes_replaced_in_turn,
    a_small_one_joins,
    comes_back,
    three_cold_left,
    joins,
    bursts,
    few_left,
    half_and_all_processes,
]


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("sidecars", [1, 5, 30])
def test_the_budget_of_an_endpoint_in_slow_start_is_kept(case, shape, sidecars):
    """Guards against new processes that send 1.6 times its budget to the one endpoint left, with a sidecar
    per client."""
    fleet = Fleet(11, sidecars, 0.7, **SHAPES[shape])
    case(fleet)
    fleet.run()
    assert fleet.fullest() < 1.0


@pytest.mark.parametrize("seed", range(12))
def test_drawn_fleets_keep_the_budget(seed):
    rng = random.Random(seed)
    case, sidecars = rng.choice(CASES), rng.choice([1, 2, 5, 30])
    settings = rng.choice(list(SHAPES.values()))
    cores, service = rng.choice([(1, 400 * MS), (1, 100 * MS), (4, 50 * MS)])
    sizes = dict(endpoints=rng.choice([4, 10]), cores=cores, service=service)
    fleet = Fleet(seed, sidecars, rng.choice([0.2, 0.5, 0.8]), skew=0.7, clump=3, **sizes, **settings)
    case(fleet)
    fleet.run()
    assert fleet.fullest() < 1.0


# Possible settings: the overload time of a cold endpoint, the overload factor, the cold share, the time
# until it is warm; and the number of endpoints of which one is left.
SETTINGS = [
    (2 * SECOND, 3.0, 0.31, 5 * SECOND, 20),
    (SECOND // 2, 2.5, 0.1, 20 * SECOND, 10),
    (3 * SECOND, 4.0, 0.43, 3 * SECOND, 20),
]


@pytest.mark.parametrize("sidecars", [1, 30])
@pytest.mark.parametrize("span, multiple, share, time, endpoints", SETTINGS)
def test_the_one_that_is_left_keeps_its_budget_under_other_settings(
    span, multiple, share, time, endpoints, sidecars, monkeypatch
):
    for name, value in (("SPAN", span), ("MULTIPLE", multiple), ("SHARE", share), ("TIME", time)):
        monkeypatch.setattr(test_cold_fleet, name, value)
    settings = PER_CLIENT | dict(cold_share=share, cold_time=time, overload_time=span)
    fleet = Fleet(9, sidecars, 1.0, endpoints=endpoints, **settings)
    one_cold_listed_to_new_processes(fleet)
    fleet.run()
    assert fleet.fullest() < 1.0


@pytest.mark.parametrize("sidecars", [1, 30])
def test_the_one_of_twenty_that_is_left_keeps_its_budget_of_half_a_second(sidecars, monkeypatch):
    test_the_one_that_is_left_keeps_its_budget_under_other_settings(
        SECOND // 2, 2.5, 0.1, 20 * SECOND, 20, sidecars, monkeypatch
    )


@pytest.mark.parametrize("span, share", [(SECOND // 2, 0.1), (SECOND, 0.17)])
@pytest.mark.parametrize("sidecars, seed", [(1, 9), (5, 17), (30, 17), (30, 1), (200, 9), (200, 6)])
def test_the_one_of_twenty_that_is_left_keeps_its_budget(sidecars, seed, span, share, monkeypatch):
    """Each of these cases once exceeded the budget, by a factor of up to 1.7."""
    for name, value in (("SPAN", span), ("MULTIPLE", 2.5), ("SHARE", share), ("TIME", 20 * SECOND)):
        monkeypatch.setattr(test_cold_fleet, name, value)
    settings = PER_CLIENT | dict(cold_share=share, cold_time=20 * SECOND, overload_time=span)
    fleet = Fleet(seed, sidecars, 1.0, endpoints=20, **settings)
    one_cold_listed_to_new_processes(fleet)
    fleet.run()
    assert fleet.fullest() < 1.0


@pytest.mark.parametrize("shape, case", [("few", joins), ("pool", one_cold_left_to_new_processes)])
def test_two_hundred_sidecars_of_thin_traffic_keep_the_budget(shape, case):
    fleet = Fleet(5, 200, 0.5, cores=1, service=100 * MS, **SHAPES[shape])
    case(fleet)
    fleet.run()
    assert fleet.fullest() < 1.0


def test_a_count_of_sidecars_that_is_told_too_low_breaks_no_budget():
    fleet = Fleet(3, 30, 0.7, **POOL)
    fleet.deployments = [deployment(seed=at, instances=1, **POOL) for at in range(30)]
    fleet.sidecars = [Sidecar(one) for one in fleet.deployments]
    fleet.tell(t.ListKind.FULL, *fleet.servers)
    bursts(fleet)
    fleet.run()
    assert fleet.fullest() < 1.0


@pytest.mark.parametrize("settings", [POOL, PROBING])
def test_probes_of_an_endpoint_that_comes_back_are_within_its_budget_too(settings):
    """Guards against probes beyond the budget: all sidecars had ejected the endpoint, and each probed it
    twice when it was listed as started, 1.3 times the budget."""
    fleet = Fleet(11, 30, 0.7, **settings)
    fleet.count_probes = True
    comes_back(fleet)
    fleet.run()
    assert fleet.fullest() < 1.0


@pytest.mark.parametrize("shape", SHAPES)
def test_new_processes_use_a_fleet_that_is_all_cold(shape):
    """Guards against a rate that is based only on what cold endpoints have handled: it let a third of the
    attempts through."""
    fleet = Fleet(2, 5, 0.7, **SHAPES[shape])
    everything = list(fleet.servers)
    fleet.at(fleet.begin + FAULT - SECOND // 2, fleet.die, *everything)
    fleet.at(fleet.begin + FAULT, fleet.start, *everything)
    fleet.at(fleet.begin + FAULT + 1, fleet.restart_sidecars)
    fleet.run()
    assert sum(at > fleet.begin + FAULT for at in fleet.handled) > 300 and fleet.fullest() < 1.0


def test_a_cold_endpoint_is_asked_for_no_load_reports():
    """Its reports decide nothing, and all sidecars together would ask about once per attempt."""
    fleet = Fleet(4, 30, 0.3, **PROBING)
    joins(fleet)
    fleet.run()
    assert fleet.probes and "new" not in fleet.probes


def warmed(bed: Bed, handled: int = 200, pause: int = 0) -> None:
    """Sends requests that are answered within 20 ms, with `pause` microseconds between two."""
    names = []
    for _ in range(handled):
        names.append(bed.arrive(t.Workload("view", SECOND, 2 * SECOND)))
        bed.run(20 * MS)
        for name in names:
            for attempt in bed.out(name):
                bed.end(name, attempt, t.Outcome.HANDLED)
        names = [name for name in names if name in bed.unanswered]
        bed.run(pause)


def sent_to(bed: Bed, endpoint: str) -> int:
    return sum(attempt["endpoint"] == endpoint for attempts in bed.attempts.values() for attempt in attempts)


def test_what_was_saved_in_quiet_hours_is_not_spent_at_once():
    """Guards against saved credit: after an idle time each of 200 sidecars had credit for an attempt, more
    than the budget of most endpoints."""
    able = SHARE * CAPACITY * SPAN / SECOND
    ready, endpoints, sidecars = 0, 4, 200
    # the rate that the endpoints can handle
    pause = int(sidecars * SECOND / (endpoints * CAPACITY)) - 20 * MS
    for seed in range(60):
        bed = Bed(deployment(seed=seed, instances=sidecars, **POOL), endpoints)
        warmed(bed, pause=pause)
        bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(9, started=bed.now)]))
        state = bed.sidecar.dispatcher.endpoint_states["e9"]
        state.credit = 0.0
        bed.step(after=TIME - SECOND)
        bed.arrive(t.Workload("view", SECOND, 2 * SECOND))
        ready += bed.sidecar.dispatcher.has_credit(state)
    assert ready * sidecars / 60 < allowed(2.5 * able)


def test_a_start_in_the_future_by_the_clock_of_another_machine_counts_from_when_it_was_heard():
    bed = Bed(deployment(**POOL))
    bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(9, started=bed.now + 3600 * SECOND)]))
    assert bed.sidecar.dispatcher.endpoint_states["e9"].report.cold_since == bed.now


def test_an_endpoint_on_trial_counts_as_cold_also_if_it_was_cold_long_ago():
    """Guards against an endpoint that counts as warm at once when it is on trial a second time."""
    bed = Bed(deployment(probes_allowed=False))
    bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(9, started=bed.now)]))
    one = bed.sidecar.registry.endpoints["e9"]
    bed.step(after=60 * SECOND)
    one.readmit()
    bed.sidecar.message_queue.run()
    state = bed.sidecar.dispatcher.endpoint_states["e9"]
    assert state.report.cold_since == bed.now and bed.sidecar.dispatcher.warmth(state.report) < 0.5


def test_a_small_endpoint_earns_by_its_size():
    bed = Bed(deployment(**POOL))
    dispatcher = bed.sidecar.dispatcher
    dispatcher.warm_rate = 100.0
    rows = [
        t.ListEntry(f"c{size}", t.EndpointStatus.READY, "z", "k", "0", bed.now - 10 * SECOND, size)
        for size in (1.0, 0.25)
    ]
    bed.step(t.ListReceived(t.ListKind.CHANGES, rows))
    for name in ("c1.0", "c0.25"):
        dispatcher.endpoint_states[name].credit = 0.0
    bed.sidecar.message_queue.now += 5 * MS
    earned = [
        dispatcher.has_credit(dispatcher.endpoint_states[name]) or dispatcher.endpoint_states[name].credit
        for name in ("c1.0", "c0.25")
    ]
    assert earned[0] == pytest.approx(4 * earned[1])
