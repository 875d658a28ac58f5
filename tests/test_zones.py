"""Balancing between zones: aggregated reports, the plan's target and its bounded steps, and how a member
applies the plan. Pure, with a small simulation of zones in virtual time around them."""

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lupinmill.zones.follower import FADED_AFTER, FRESH_FOR, MAX_LOCAL_SHIFT, Follower
from lupinmill.zones.plan import (
    FILL_LEVELS,
    MAX_FILL_LEVEL,
    SHIFT_PER_S,
    TRIAL_SHARE,
    LastGoodZoneError,
    Plan,
    Planner,
    compute_target,
)
from lupinmill.zones.reports import (
    REPORT_LIFETIME,
    SECOND,
    AggregateView,
    Report,
    ReportAggregator,
    ZoneObservation,
    ZoneState,
    weighted_median,
)
from lupinmill.zones.zone_map import InvalidZoneMap, Workload, Zone, ZoneMap

BID, VIEW = Workload("bid", 4.0), Workload("view", 1.0)
TWO_WORKLOADS = ZoneMap((Zone("a", "west"), Zone("b", "west"), Zone("c", "east")), (VIEW, BID))


def view_of(
    capacity: dict[str, float], traffic: dict[str, dict[str, float]], **states: ZoneState
) -> AggregateView:
    """`a_b=ZoneState.UNREACHABLE`: b as observed from a. All other pairs are healthy."""
    pairs = {(x, y): ZoneState.HEALTHY for x in capacity for y in capacity}
    pairs |= {tuple(key.split("_")): state for key, state in states.items()}
    return AggregateView(traffic, capacity, pairs)


def down(zone: str, *zones: str) -> dict[str, ZoneState]:
    return {f"{other}_{zone}": ZoneState.DOWN for other in zones}


# --- the target --------------------------------------------------------------------------------------------


def target_of(map_: ZoneMap, view: AggregateView) -> dict:
    return compute_target(map_, view, Planner(map_).drains)


def test_what_fits_stays_at_home():
    routes = target_of(
        TWO_WORKLOADS, view_of(dict.fromkeys("abc", 100.0), {z: {"bid": 30.0, "view": 60.0} for z in "abc"})
    )
    assert all(shares == {z: 1.0} for z, by in routes.items() for shares in by.values())


def test_the_worthiest_keep_their_home_and_the_rest_goes_to_the_nearest_spare():
    view = view_of(
        {"a": 100.0, "b": 100.0, "c": 100.0},
        {
            "a": {"bid": 80.0, "view": 40.0},
            "b": {"bid": 0.0, "view": 60.0},
            "c": {"bid": 0.0, "view": 10.0},
        },
    )
    routes = target_of(TWO_WORKLOADS, view)
    assert (
        routes["a"]["bid"].get("a", 0) >= 70 / 80
    ), "bids come first in their own zone, up to the first level"
    assert routes["a"]["view"].get("b", 0) + routes["a"]["bid"].get("b", 0) > 0
    near = 80 * routes["a"]["bid"].get("b", 0) + 40 * routes["a"]["view"].get("b", 0)
    assert near == pytest.approx(10), "the near zone takes what fits at the level, then the far one"
    assert 80 * routes["a"]["bid"].get("c", 0) + 40 * routes["a"]["view"].get("c", 0) == pytest.approx(40)


def test_two_that_want_one_zones_spare_share_it_and_the_rest_is_denied_at_home():
    map_ = ZoneMap((Zone("a"), Zone("b"), Zone("c", spare=0.2)), (VIEW,))
    view = view_of(
        {"a": 0.0, "b": 50.0, "c": 100.0},
        {
            "a": {"view": 60.0},
            "b": {"view": 107.5},
            "c": {"view": 55.0},
        },
        **down("a", "a", "b", "c"),
    )
    routes = target_of(map_, view)
    into_c = 60.0 * routes["a"]["view"].get("c", 0.0) + 107.5 * routes["b"]["view"].get("c", 0.0)
    assert into_c == pytest.approx(80 - 55), "c keeps a fifth in reserve"
    assert routes["b"]["view"]["b"] * 107.5 >= MAX_FILL_LEVEL * 50 - 1e-6
    assert routes["a"]["view"]["c"] > 0 and routes["b"]["view"]["c"] > 0


def test_with_all_zones_short_nobody_spills():
    routes = target_of(
        TWO_WORKLOADS, view_of(dict.fromkeys("abc", 50.0), {z: {"bid": 50.0, "view": 60.0} for z in "abc"})
    )
    assert all(shares.get(z) == 1.0 for z, by in routes.items() for shares in by.values())


def test_budgets_hold_and_a_region_is_left_only_when_it_must_be():
    map_ = ZoneMap(TWO_WORKLOADS.zones, (Workload("view", 1.0, leave_zone=0.5, leave_region=0.1),))
    view = view_of(
        {"a": 0.0, "b": 20.0, "c": 500.0},
        {
            "a": {"view": 100.0},
            "b": {"view": 0.0},
            "c": {"view": 0.0},
        },
        **down("a", "a", "b", "c"),
    )
    shares = target_of(map_, view)["a"]["view"]
    assert shares["b"] == pytest.approx(0.18) and shares["c"] == pytest.approx(0.1)
    assert shares["a"] == pytest.approx(0.72)
    free = ZoneMap(
        TWO_WORKLOADS.zones, (Workload("view", 1.0, leave_zone=0.5, leave_region=0.1, breaks=True),)
    )
    shares = target_of(free, view)["a"]["view"]
    assert shares["c"] > 0.8, "traffic of a lost zone exceeds its budget where that is allowed"


def test_a_zone_that_is_cut_off_from_one_goes_round():
    """From a, neither its own endpoints nor b can be reached, but c can."""
    view = view_of(
        dict.fromkeys("abc", 100.0),
        {z: {"bid": 20.0, "view": 20.0} for z in "abc"},
        a_a=ZoneState.UNREACHABLE,
        a_b=ZoneState.UNREACHABLE,
    )
    routes = target_of(TWO_WORKLOADS, view)
    assert routes["a"]["bid"]["c"] == pytest.approx(1.0) and "b" not in routes["a"]["view"]
    assert routes["b"]["bid"] == {"b": 1.0}


figures = st.floats(0, 200)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(figures, min_size=4, max_size=4),
    st.lists(figures, min_size=8, max_size=8),
    st.sets(st.tuples(st.sampled_from("abcd"), st.sampled_from("abcd"))),
    st.floats(0, 1),
    st.floats(0, 0.5),
)
def test_no_aim_sends_more_than_spare_or_budget_or_where_it_can_not_go(
    capacities, rates, unreachable, leave, spare
):
    workloads = (Workload("view", 1.0, leave, leave / 2), BID)
    map_ = ZoneMap(
        (Zone("a", "w", spare), Zone("b", "w", spare), Zone("c", "e", spare), Zone("d", "e", spare)),
        workloads,
    )
    traffic = {z: {"view": rates[2 * n], "bid": rates[2 * n + 1]} for n, z in enumerate("abcd")}
    view = view_of(
        dict(zip("abcd", capacities)), traffic, **{f"{x}_{y}": ZoneState.UNREACHABLE for x, y in unreachable}
    )
    routes = target_of(map_, view)
    for z in "abcd":
        for w in workloads:
            shares = routes[z][w.name]
            assert sum(shares.values()) == pytest.approx(1) and min(shares.values()) >= 0
            assert 1 - shares.get(z, 0) <= w.leave_zone + 1e-6
            assert not any((z, to) in unreachable for to in shares if to != z)
        came = sum(
            traffic[x][w.name] * routes[x][w.name].get(z, 0.0) for x in "abcd" if x != z for w in workloads
        )
        own = sum(traffic[z][w.name] * routes[z][w.name].get(z, 0.0) for w in workloads)
        own = 0.0 if (z, z) in unreachable else own  # nothing of it arrives
        if came > 1e-6:
            assert (
                came + min(own, MAX_FILL_LEVEL * view.capacity[z])
                <= MAX_FILL_LEVEL * view.capacity[z] * (1 + 1e-6) + 1e-6
            )


# --- bounded steps, in a simulation ------------------------------------------------------------------------


class ZoneSimulation:
    """Zones with a capacity per second, members in each with uneven traffic and noisy reports of few
    attempts, a planner, and followers that receive a plan one second later."""

    def __init__(
        self,
        map_: ZoneMap,
        capacity: dict[str, float],
        traffic: dict[str, float],
        members=8,
        seed=1,
        noise=0.0,
    ) -> None:
        self.map, self.capacity, self.traffic = map_, capacity, traffic
        self.true_capacity = dict(capacity)
        self.rng = np.random.default_rng(seed)
        self.member_shares = {z: self.rng.dirichlet([2.0] * members) for z in capacity}
        self.aggregator, self.planner = ReportAggregator(map_), Planner(map_)
        self.followers = {z: Follower(map_, z, Plan(), 0) for z in capacity}
        self.now, self.pending_plans = 0, []
        self.noise = noise  # of reported capacities; that of reported traffic is half
        self.load: list[dict[str, float]] = []
        self.served: list[float] = []
        self.crossing: list[float] = []
        self.plans: list[tuple[int, Plan]] = []
        self.false_reports: list[Report] = []
        self.blocked_links: set[tuple[str, str]] = set()

    def run_second(self) -> None:
        self.now += SECOND
        flows = {}
        for z, rate in self.traffic.items():
            for w in self.map.workloads:
                member_share = (
                    rate * (0.4 if w.name == "bid" else 0.6) if len(self.map.workloads) > 1 else rate
                )
                shares = dict(self.followers[z].shares(self.now, w.name))
                # As the decision module does where the own zone has no usable endpoint.
                if not self.true_capacity[z]:
                    home = shares.pop(z, 0.0)
                    for to, share in self.followers[z].failover_shares(self.now, w.name).items():
                        shares[to] = shares.get(to, 0.0) + home * share
                        shares[z] = max(0.0, shares.get(z, home) - home * share)
                for to, share in shares.items():
                    flows[z, to] = flows.get((z, to), 0.0) + member_share * share
        load = {
            z: sum(rate for (x, to), rate in flows.items() if to == z and (x, z) not in self.blocked_links)
            for z in self.true_capacity
        }
        self.load.append(load)
        served_share = {
            z: min(1.0, self.true_capacity[z] / load[z]) if load[z] else 1.0 for z in self.true_capacity
        }
        total = sum(self.traffic.values())
        self.served.append(
            sum(r * served_share[to] for (x, to), r in flows.items() if (x, to) not in self.blocked_links)
            / total
        )
        self.crossing.append(sum(rate for (x, to), rate in flows.items() if x != to) / total)
        for z, member_shares in self.member_shares.items():
            for n, member_share in enumerate(member_shares):
                seen = {}
                for to in self.true_capacity:
                    attempts = self.rng.poisson(3 * flows.get((z, to), 0.0) * member_share)
                    if not attempts:
                        attempts, share = 1.0, 0.0  # an occasional probe: it says nothing about capacity
                    else:
                        share = (
                            member_share * flows[z, to] / max(1e-9, load[to]) if load[to] else member_share
                        )
                    failure_share = (
                        1.0
                        if (z, to) in self.blocked_links or not self.true_capacity[to]
                        else max(0.0, 1 - served_share[to]) * 0.5
                    )
                    failed = self.rng.binomial(int(attempts), failure_share) if attempts >= 1 else 0.0
                    reported_capacity = self.true_capacity[to] * share * self.with_noise(self.noise)
                    seen[to] = ZoneObservation(float(attempts), float(failed), 0.0, 1.0, reported_capacity)
                workloads = {w.name: 0.0 for w in self.map.workloads}
                for w in workloads:
                    rate = (
                        self.traffic[z] * (0.4 if w == "bid" else 0.6)
                        if len(workloads) > 1
                        else self.traffic[z]
                    )
                    workloads[w] = rate * member_share * self.with_noise(self.noise / 2)
                self.aggregator.add(self.now, Report(f"{z}{n}", z, workloads, seen))
        for report in self.false_reports:
            self.aggregator.add(self.now, report)
        for _, plan in [row for row in self.pending_plans if row[0] <= self.now]:
            for follower in self.followers.values():
                follower.receive(self.now, plan)
        self.pending_plans = [row for row in self.pending_plans if row[0] > self.now]
        for follower in self.followers.values():
            follower.confirmed_at = self.now
        plan = self.planner.step(self.now, self.aggregator.aggregate(self.now))
        if plan is not None:
            self.planner.accept(plan)
            self.plans.append((self.now, plan))
            self.pending_plans.append((self.now + SECOND, plan))

    def with_noise(self, noise: float) -> float:
        return float(self.rng.lognormal(0, noise)) if noise else 1.0

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            self.run_second()


ONE_WORKLOAD = ZoneMap((Zone("a", "west"), Zone("b", "west"), Zone("c", "east")), (VIEW,))


@pytest.mark.parametrize("seed", range(3))
def test_calm_and_even_nothing_crosses(seed):
    simulation = ZoneSimulation(
        TWO_WORKLOADS, dict.fromkeys("abc", 100.0), dict.fromkeys("abc", 60.0), seed=seed
    )
    simulation.run(60)
    assert max(simulation.crossing) < 0.03 and min(simulation.served) > 0.999


@pytest.mark.parametrize("seed", range(3))
def test_a_short_zone_spills_about_what_does_not_fit_and_then_rests(seed):
    simulation = ZoneSimulation(
        ONE_WORKLOAD, dict.fromkeys("abc", 100.0), {"a": 130.0, "b": 40.0, "c": 40.0}, seed=seed
    )
    simulation.run(90)
    # What a planner with full knowledge would move at the first level.
    expected = (130 - 100 * FILL_LEVELS[0]) / 210
    assert abs(np.mean(simulation.crossing[-20:]) - expected) < 0.05
    assert np.mean(simulation.served[-20:]) > 0.99
    assert sum(at > 40 * SECOND for at, _ in simulation.plans) < 25, "it oscillates"
    assert all(load["b"] < 100 and load["c"] < 100 for load in simulation.load), "spill overloaded a zone"


@pytest.mark.parametrize("seed", range(3))
def test_noise_in_what_thin_members_tell_moves_little(seed):
    """Reported capacities with 30% noise, reported traffic with 15%: without smoothing the plan changed 43 to
    50 times a minute."""
    simulation = ZoneSimulation(
        ONE_WORKLOAD, dict.fromkeys("abc", 100.0), {"a": 130.0, "b": 40.0, "c": 40.0}, seed=seed, noise=0.3
    )
    simulation.run(120)
    assert sum(at > 60 * SECOND for at, _ in simulation.plans) <= 10
    assert (
        np.mean(simulation.served[-40:]) > 0.98 and abs(np.mean(simulation.crossing[-40:]) - 60 / 210) < 0.06
    )
    calm = ZoneSimulation(
        TWO_WORKLOADS, dict.fromkeys("abc", 100.0), dict.fromkeys("abc", 60.0), seed=seed, noise=0.3
    )
    calm.run(60)
    assert np.mean(calm.crossing) < 0.03 and max(calm.crossing) < 0.08


@pytest.mark.parametrize("seed", range(3))
def test_a_lost_zone_is_left_as_fast_as_the_others_take_it_and_comes_back_slowly(seed):
    simulation = ZoneSimulation(
        ONE_WORKLOAD, dict.fromkeys("abc", 100.0), dict.fromkeys("abc", 55.0), seed=seed
    )
    simulation.run(15)
    simulation.true_capacity["a"] = 0.0
    simulation.run(25)
    assert np.mean(simulation.served[-5:]) > 0.9
    rises = [after["b"] - before["b"] for before, after in zip(simulation.load[14:], simulation.load[15:40])]
    assert (
        max(rises) <= (MAX_FILL_LEVEL * 100 - 55) / 2 + 1
    ), "more came at once than failover routes and the bounded steps allow"
    assert np.mean(simulation.served[17:20]) > 0.9, "failover routes need no decision"
    assert all(load["b"] <= 100 and load["c"] <= 100 for load in simulation.load), "spill overloaded a zone"
    simulation.true_capacity["a"] = 100.0
    came_back = len(simulation.load)
    simulation.run(60)
    home = [load["a"] for load in simulation.load[came_back:]]
    assert max(home[:5]) <= 55 * (TRIAL_SHARE + 0.15) + 55 * 0.2 and np.mean(home[-5:]) > 50
    assert np.mean(simulation.crossing[-5:]) < 0.06


def test_a_zone_that_flaps_moves_traffic_a_bounded_number_of_times():
    simulation = ZoneSimulation(ONE_WORKLOAD, dict.fromkeys("abc", 100.0), dict.fromkeys("abc", 55.0))
    simulation.run(10)
    for at in range(20):  # 4 s each
        simulation.true_capacity["a"] = 0.0 if at % 2 == 0 else 100.0
        simulation.run(4)
    shares = [plan.shares("a", "view")["a"] for _, plan in simulation.plans]
    reversals = sum((c - b) * (b - a) < -1e-9 for a, b, c in zip(shares, shares[1:], shares[2:]))
    assert reversals <= 8, "the plan follows each flap"
    assert all(load["b"] <= 100 and load["c"] <= 100 for load in simulation.load)


def test_half_of_a_zone_dies_slowly_and_its_surplus_goes():
    simulation = ZoneSimulation(ONE_WORKLOAD, dict.fromkeys("abc", 100.0), dict.fromkeys("abc", 60.0))
    simulation.run(10)
    for left in (90, 80, 70, 60, 50, 40):
        simulation.true_capacity["a"] = float(left)
        simulation.run(5)
    simulation.run(20)
    assert np.mean(simulation.served[-10:]) > 0.97
    assert simulation.plans[-1][1].cross_zone_share("a", "view") == pytest.approx(1 - 38 / 60, abs=0.1)


def test_no_cascade_over_drawn_days():
    """200 random simulations of three to five zones, in which a zone is lost or loses half of its capacity
    and recovers. No other zone is overloaded by spill while its own traffic alone fits."""
    rng = np.random.default_rng(4)
    for day in range(200):
        count = int(rng.integers(3, 6))
        names = "abcde"[:count]
        map_ = ZoneMap(tuple(Zone(z, "we"[n % 2]) for n, z in enumerate(names)), (VIEW,))
        capacity = {z: float(rng.uniform(60, 140)) for z in names}
        traffic = {z: capacity[z] * float(rng.uniform(0.2, 0.85)) for z in names}
        simulation = ZoneSimulation(map_, capacity, traffic, members=3, seed=day)
        simulation.run(6)
        failing = names[int(rng.integers(count))]
        simulation.true_capacity[failing] = capacity[failing] * float(rng.choice([0.0, 0.5]))
        simulation.run(14)
        simulation.true_capacity[failing] = capacity[failing]
        simulation.run(10)
        for load in simulation.load:
            for z in names:
                assert z == failing or load[z] <= capacity[z] * 1.02, (day, z, load[z], capacity[z])


def test_a_new_holder_goes_on_without_a_jump():
    simulation = ZoneSimulation(ONE_WORKLOAD, dict.fromkeys("abc", 100.0), dict.fromkeys("abc", 55.0))
    simulation.run(10)
    simulation.true_capacity["a"] = 0.0
    simulation.run(20)
    before = simulation.planner.plan
    simulation.planner = Planner(ONE_WORKLOAD)
    simulation.planner.take_over(before, simulation.now)
    simulation.true_capacity["a"] = 100.0
    simulation.run(4)
    assert simulation.planner.plan.version >= before.version
    assert (
        simulation.planner.plan.shares("a", "view")["a"]
        <= before.shares("a", "view")["a"] + TRIAL_SHARE + 0.01
    )


# --- drains ------------------------------------------------------------------------------------------------


def test_a_drained_zone_is_left_by_steps_and_the_last_good_one_only_by_force():
    planner = Planner(ONE_WORKLOAD)
    view = view_of(dict.fromkeys("abc", 100.0), {z: {"view": 30.0} for z in "abc"})
    planner.drain("a")

    def step(at: int) -> None:
        plan = planner.step(at, view)
        if plan is not None:
            planner.accept(plan)

    step(0)
    assert (
        planner.plan.shares("a", "view")["a"] == pytest.approx(1 - SHIFT_PER_S)
        and "drained" in planner.plan.reason
    )
    for second in range(1, 15):
        step(second * SECOND)
    assert planner.plan.shares("a", "view")["a"] == pytest.approx(0, abs=0.01)
    planner.drain("b")
    with pytest.raises(LastGoodZoneError, match="last good zone"):
        planner.drain("c")
    planner.drain("c", force=True)
    planner.restore("c", 20 * SECOND)
    planner.restore("a", 20 * SECOND)
    for second in range(21, 90):
        step(second * SECOND)
    assert planner.plan.shares("a", "view").get("a") == pytest.approx(1.0)


# --- aggregated reports ------------------------------------------------------------------------------------


def report(
    member: str, zone: str, of: str, attempts: float, failed: float, reported_capacity: float = 10.0
) -> Report:
    return Report(
        member, zone, {"view": 5.0}, {of: ZoneObservation(attempts, failed, 0.0, 1.0, reported_capacity)}
    )


def aggregated(reports: list[Report], now: int = 0) -> AggregateView:
    aggregator = ReportAggregator(ONE_WORKLOAD)
    for one in reports:
        aggregator.add(now, one)
    return aggregator.aggregate(now)


def test_thin_members_add_up():
    assert (
        aggregated([report("m0", "a", "a", 2, 2)]).state["a", "a"] is ZoneState.UNKNOWN
    ), "two attempts are too few for a verdict"
    many = aggregated([report(f"m{n}", "a", "a", 2, 2) for n in range(5)])
    assert many.state["a", "a"] is ZoneState.DOWN


def test_a_zone_that_is_down_is_told_apart_from_one_that_can_not_be_reached_from_here():
    inside = [report(f"c{n}", "c", "c", 5, 0) for n in range(4)]
    outside = [report(f"a{n}", "a", "c", 5, 5) for n in range(4)]
    cut = aggregated(inside + outside)
    assert cut.state["a", "c"] is ZoneState.UNREACHABLE and cut.state["c", "c"] is ZoneState.HEALTHY
    dead = aggregated([report(f"c{n}", "c", "c", 5, 5) for n in range(4)] + outside)
    assert dead.state["a", "c"] is ZoneState.DOWN and dead.state["b", "c"] is ZoneState.DOWN


@pytest.mark.parametrize(
    "lie",
    [
        ZoneObservation(1e9, 1e9, 0.0, 1e9, 0.0, 1.0),
        ZoneObservation(1e9, 0.0, 0.0, 1.0, 1e12),
        ZoneObservation(-5.0, float("nan"), 0.0, -1.0, -1e9, -3.0),
        ZoneObservation(float("inf"), float("inf"), 0.0, float("inf"), float("inf"), float("inf")),
    ],
)
def test_one_that_lies_weighs_like_two_at_most(lie):
    honest_reports = [report(f"a{n}", "a", "a", 10, 0) for n in range(9)]
    true, false = (
        aggregated(honest_reports),
        aggregated([*honest_reports, Report("liar", "a", {"view": 1e12}, {"a": lie})]),
    )
    assert false.state["a", "a"] is ZoneState.HEALTHY
    assert 0.9 * true.capacity["a"] <= false.capacity["a"] <= true.capacity["a"] + 4 * 10
    assert false.traffic["a"]["view"] <= true.traffic["a"]["view"] + 100


def test_reports_age_and_go():
    aggregator = ReportAggregator(ONE_WORKLOAD)
    for n in range(4):
        aggregator.add(0, report(f"m{n}", "a", "a", 5, 0))
    assert aggregator.aggregate(REPORT_LIFETIME // 2).state["a", "a"] is ZoneState.HEALTHY
    assert (
        aggregator.aggregate(REPORT_LIFETIME).state["a", "a"] is ZoneState.UNKNOWN and not aggregator.reports
    )
    aggregator.add(REPORT_LIFETIME, report("m0", "a", "a", 50, 0))
    aggregator.expire(REPORT_LIFETIME, present=set())
    assert not aggregator.reports
    aggregator.add(REPORT_LIFETIME, report("m0", "nowhere", "a", 50, 0))
    assert not aggregator.reports


def test_between_lost_and_well_lies_a_band():
    aggregator = ReportAggregator(ONE_WORKLOAD)

    def state(failed: float) -> ZoneState:
        for n in range(4):
            aggregator.add(0, report(f"m{n}", "a", "a", 10, failed))
        return aggregator.aggregate(0).state["a", "a"]

    assert [state(4), state(6), state(4), state(3), state(1), state(4)] == [
        ZoneState.HEALTHY,
        ZoneState.DOWN,
        ZoneState.DOWN,
        ZoneState.DOWN,
        ZoneState.HEALTHY,
        ZoneState.HEALTHY,
    ]


def test_the_weighted_median():
    assert (
        weighted_median([(1, 5.0), (1, 1.0), (1, 9.0)]) == 5.0
        and weighted_median([(10, 5.0), (1, 1.0)]) == 5.0
        and weighted_median([]) == 0
    )


# --- one member --------------------------------------------------------------------------------------------


PLAN = Plan(7, {"a": {"view": {"a": 0.4, "b": 0.6}}}, "a is lost")


def test_a_member_goes_by_the_newest_plan_and_an_old_one_changes_nothing():
    follower = Follower(ONE_WORKLOAD, "a", Plan(), 0)
    assert follower.receive(SECOND, PLAN) and follower.shares(SECOND, "view") == {"a": 0.4, "b": 0.6}
    assert not follower.receive(2 * SECOND, Plan(6, {"a": {"view": {"c": 1.0}}}))
    assert follower.plan is PLAN and follower.confirmed_at == SECOND


def test_a_plan_fades_to_the_local_rule():
    follower = Follower(ONE_WORKLOAD, "a", PLAN, 0)
    assert follower.shares(FRESH_FOR, "view") == {"a": 0.4, "b": 0.6}
    half = follower.shares((FRESH_FOR + FADED_AFTER) // 2, "view")
    assert half["a"] == pytest.approx(0.7) and half["b"] == pytest.approx(0.3)
    assert follower.shares(FADED_AFTER, "view") == {"a": 1.0}


def test_by_itself_a_member_sends_a_tenth_away_at_most_and_only_along_a_way_in_use():
    follower = Follower(ONE_WORKLOAD, "a", Plan(3, {"a": {"view": {"a": 0.9, "c": 0.1}}}), 0)
    shares = follower.shares(FADED_AFTER, "view", home_lost=True)
    assert shares == {"a": pytest.approx(1 - MAX_LOCAL_SHIFT), "c": pytest.approx(MAX_LOCAL_SHIFT)}
    assert sum(shares.values()) == pytest.approx(1)


def test_a_map_that_can_not_be_is_refused_and_its_key_named():
    for zones, workloads, costs, key in (
        ((), (VIEW,), {}, "zones"),
        ((Zone("a"), Zone("a")), (VIEW,), {}, "zones"),
        ((Zone("a", spare=1.0),), (VIEW,), {}, "zones.a.spare"),
        ((Zone("a"),), (Workload("x", 1, 2.0),), {}, "workloads.x.leave_zone"),
        ((Zone("a"),), (Workload("x", 1, 0.1, 0.5),), {}, "workloads.x.leave_region"),
        ((Zone("a"),), (VIEW,), {("a", "z"): 1.0}, "costs.a.z"),
    ):
        with pytest.raises(InvalidZoneMap, match=key):
            ZoneMap(zones, workloads, costs)


def test_nearer_first_and_the_own_region_before_all():
    map_ = ZoneMap(
        (Zone("a", "w"), Zone("b", "w"), Zone("c", "e"), Zone("d", "w")),
        (VIEW,),
        {("a", "c"): 0.5, ("a", "b"): 3.0},
    )
    assert map_.order("a") == ["d", "b", "c"] and map_.cost("c", "a") == 0.5
