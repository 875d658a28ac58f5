"""The module under changes of its settings: work in hand keeps the terms under which it was taken."""

import pickle
import random

import pytest
from bed import IDEM, KEYED, ONCE, SECOND, Bed, deployment, listing
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from lupinmill import terms as t
from lupinmill.config.model import Key
from lupinmill.limits.gate import Fate, Gate, Offer
from lupinmill.program import live_config
from lupinmill.routing.admit import Admit
from lupinmill.rules import Sidecar

FLEET, MINE = Key("fleet", "settings"), Key("sidecar/n1", "settings")


class Live(Bed):
    """Judges each submission by the deployment under which it came."""

    def __init__(self, d: t.Deployment, endpoints: int = 4) -> None:
        self.newest, self.terms = d, {}
        super().__init__(d, endpoints)

    def book(self, event: t.Event) -> None:
        if isinstance(event, t.DeploymentChanged):
            self.newest = event.deployment
        elif isinstance(event, t.RequestArrived):
            self.terms[event.request] = self.newest
        super().book(event)

    def check(self, command: t.Command) -> None:
        name = getattr(command, "request", None)
        if name is not None:
            self.d = self.terms[name]
            self.workloads = {w.name: w for w in self.d.workloads}
        if isinstance(command, t.CancelAttempt):
            assert self.d.cancel_allowed, f"{name}: called off, which its terms forbid"
        super().check(command)

    def end(self, name: str, launch: int, how: t.Outcome, load=None, after: int = 0) -> list[t.Command]:
        self.now += after  # it took so long
        return super().end(name, launch, how, load)

    def deploy(self, **changes) -> t.Deployment:
        d = deployment(**changes)
        self.step(t.DeploymentChanged(d), after=1)
        return d


def as_(workload: t.Workload, **changes) -> t.Workload:
    return live_config.replace(workload, **changes)


def busy(bed: Bed, count: int = 30) -> None:
    """Handled ones, so that retries have a budget."""
    for _ in range(count):
        name = bed.arrive(IDEM)
        bed.end(name, 0, t.Outcome.HANDLED, after=20_000)


def waits_for_a_retry(bed: Bed, workload: t.Workload, how: t.Outcome) -> str:
    name = bed.arrive(workload)
    bed.end(name, 0, how, after=10_000)
    assert bed.sidecar.dispatcher.open[name].retrying and not bed.out(name)
    return name


def test_what_waits_for_a_retry_while_its_workload_becomes_unrepeatable_is_launched_by_its_own_terms():
    bed = Live(deployment())
    busy(bed)
    name = waits_for_a_retry(bed, IDEM, t.Outcome.ERROR)
    bed.deploy(workloads=[as_(IDEM, repeat=t.RepeatPolicy.UNREPEATABLE), KEYED, ONCE])
    bed.run(SECOND)
    assert len(bed.flights[name]) >= 2
    new = bed.arrive(IDEM)
    bed.end(new, 0, t.Outcome.ERROR, after=10_000)
    assert bed.closed[new] == "broken off" and len(bed.flights[new]) == 1


def test_what_waits_for_a_retry_while_its_workload_becomes_repeatable_never_runs_twice():
    bed = Live(deployment())
    busy(bed)
    name = waits_for_a_retry(bed, ONCE, t.Outcome.REFUSED)  # it never ran: it may be launched again
    bed.deploy(workloads=[IDEM, KEYED, as_(ONCE, repeat=t.RepeatPolicy.IDEMPOTENT)])
    bed.run(SECOND)
    assert len(bed.flights[name]) == 2
    bed.end(name, 1, t.Outcome.ERROR, after=10_000)  # now it may have run, and by its own terms that is all
    assert bed.closed[name] == "broken off"
    bed.run(2 * SECOND)
    assert len(bed.flights[name]) == 2
    new = bed.arrive(as_(ONCE, repeat=t.RepeatPolicy.IDEMPOTENT))
    bed.end(new, 0, t.Outcome.ERROR, after=10_000)
    bed.run(SECOND)
    assert len(bed.flights[new]) >= 2


def test_a_window_and_a_group_stay_those_under_which_a_keyed_one_was_taken():
    bed = Live(deployment())
    busy(bed)
    name = waits_for_a_retry(bed, KEYED, t.Outcome.RESET)
    bed.deploy(workloads=[IDEM, as_(KEYED, window=1, group=t.DeduplicationScope.ALL), ONCE])
    bed.run(SECOND)
    assert len(bed.flights[name]) >= 2, "its own window was open"
    wide = as_(KEYED, window=60 * SECOND, group=t.DeduplicationScope.ALL)
    bed.deploy(workloads=[IDEM, wide, ONCE])
    bed.run(3 * SECOND)
    assert name in bed.closed


def test_most_launches_and_copies_stay_those_under_which_it_was_taken():
    bed = Live(deployment(max_attempts=2))
    busy(bed)
    name = waits_for_a_retry(bed, IDEM, t.Outcome.ERROR)
    bed.deploy(max_attempts=9, cancel_allowed=False)
    bed.run(SECOND)
    bed.end(name, 1, t.Outcome.ERROR, after=10_000)
    bed.run(SECOND)
    assert len(bed.flights[name]) == 2 and bed.closed[name] == "denied"
    late = bed.arrive(IDEM)  # called off at its end by the terms in force before, not by these
    bed.run(3 * SECOND)
    assert bed.closed[late] == "denied"


def test_a_workload_taken_away_ends_its_last_ones_by_their_own_terms():
    bed = Live(deployment())
    busy(bed)
    held = [bed.arrive(IDEM) for _ in range(40)]
    bed.deploy(workloads=[ONCE])
    assert set(bed.sidecar.dispatcher.settings.workloads) == {"issue"}
    for name in held:
        if name not in bed.closed and bed.out(name):
            bed.end(name, 0, t.Outcome.HANDLED, after=5_000)
    bed.run(3 * SECOND)
    assert all(name in bed.closed for name in held)
    assert sum(bed.closed[name] == "handled" for name in held) >= 8
    bed.deploy(workloads=[ONCE])
    assert set(bed.sidecar.dispatcher.gauges) <= {"issue"} and not bed.sidecar.dispatcher.queues


def test_worths_follow_and_what_was_learned_stays():
    bed = Live(deployment(workloads=[IDEM, KEYED]), endpoints=1)
    busy(bed)
    desk = bed.sidecar.dispatcher
    held = [bed.arrive(one) for one in (IDEM, KEYED) for _ in range(6)]
    cap, gauge, lanes = desk.cap, desk.gauges["view"], dict(desk.queues)
    usual = (gauge.usual, gauge.uncrowded)
    assert {key[0] for key, lane in lanes.items() if lane.waiting} == {"view", "bid"}
    bed.deploy(workloads=[as_(IDEM, value=9.0), KEYED])
    assert desk.cap == cap and desk.gauges["view"] is gauge and (gauge.usual, gauge.uncrowded) == usual
    assert {key: lane.worth for key, lane in desk.queues.items()} == {
        key: 9.0 if key[0] == "view" else KEYED.value for key in desk.queues
    }
    view = next(lane for key, lane in desk.queues.items() if key[0] == "view")
    assert view is lanes["view", False, False, ""]
    launched = [
        command.request
        for command in bed.end(held[0], 0, t.Outcome.HANDLED, after=5_000)
        if isinstance(command, t.StartAttempt)
    ]
    assert launched and all(bed.sidecar.dispatcher.open[name].workload.name == "view" for name in launched)


def test_instances_share_out_the_learned_cap():
    bed = Live(deployment(instances=2))
    busy(bed)
    desk = bed.sidecar.dispatcher
    cap = desk.cap
    bed.deploy(instances=8)
    assert desk.cap == cap / 4 and desk.settings.sharers == 8 and desk.settings.told == 8
    bed.step(t.FleetState(sidecars=4, until=bed.now + SECOND), after=1)
    assert desk.cap == cap / 2
    bed.deploy(instances=16)  # the live count goes before it while it counts
    assert desk.cap == cap / 2 and desk.settings.sharers == 4 and desk.settings.told == 16
    bed.run(2 * SECOND)
    assert desk.cap == pytest.approx(cap / 8) and desk.settings.sharers == 16


def test_the_same_deployment_again_changes_no_decision():
    """Two sidecars fed alike, one of which is told its own deployment again and again."""

    def play(again: bool) -> list:
        sidecar, rng, now, commands = Sidecar(deployment()), random.Random(5), 100 * SECOND, []
        commands += sidecar.step(now, [t.ListReceived(t.ListKind.CACHED, [listing(i) for i in range(3)])])
        out = []
        for at in range(1500):
            now += rng.randrange(20_000)
            told = [t.DeploymentChanged(deployment())] if again and at % 7 == 0 else []
            arrived = t.RequestArrived(f"s{at}", rng.choice(("view", "bid", "issue")), now + 2 * SECOND)
            new = sidecar.step(now, [t.TimerFired(1), *told, arrived])
            if out and rng.random() < 0.8:
                name, number = out.pop(rng.randrange(len(out)))
                how = rng.choice((t.Outcome.HANDLED, t.Outcome.HANDLED, t.Outcome.ERROR, t.Outcome.REFUSED))
                new += sidecar.step(
                    now, [t.AttemptEnded(name, number, how, 30_000, how is t.Outcome.HANDLED)]
                )
            launched = [one.request for one in commands if isinstance(one, t.StartAttempt)]
            for command in new:
                if isinstance(command, t.StartAttempt):
                    out.append((command.request, launched.count(command.request)))
                    launched.append(command.request)
            commands += [one for one in new if not isinstance(one, t.SetTimer)]
        return [repr(one) for one in commands]

    assert play(True) == play(False)


REPEATS = st.sampled_from(list(t.RepeatPolicy))
WORKLOADS = st.builds(
    t.Workload,
    name=st.just(""),
    contract=st.integers(100_000, 2 * SECOND),
    hard_limit=st.integers(200_000, 4 * SECOND),
    value=st.floats(0, 9),
    overdue_value=st.floats(0, 1),
    repeat=REPEATS,
    group=st.sampled_from(list(t.DeduplicationScope)),
    window=st.integers(0, 3 * SECOND),
)
DEPLOYMENTS = st.builds(
    lambda names, rows, more: deployment(
        workloads=[live_config.replace(row, name=name) for name, row in zip(sorted(names), rows)], **more
    ),
    st.sets(st.sampled_from("abcde"), min_size=1),
    st.lists(WORKLOADS, min_size=5, max_size=5),
    st.fixed_dictionaries(
        {
            "instances": st.integers(1, 40),
            "max_attempts": st.integers(1, 5),
            "hedging_allowed": st.booleans(),
            "cancel_allowed": st.booleans(),
            "probes_allowed": st.booleans(),
            "cold_time": st.integers(0, SECOND),
            "crossing_price": st.sampled_from((0.0, 0.2)),
            "uneven": st.booleans(),
            "warm_keys": st.booleans(),
            "tenants": st.lists(st.builds(t.Tenant, st.sampled_from("xyz"), st.floats(0, 9)), max_size=3),
        }
    ),
)
HOWS = st.sampled_from(
    [
        t.Outcome.HANDLED,
        t.Outcome.HANDLED,
        t.Outcome.HANDLED,
        t.Outcome.ERROR,
        t.Outcome.REFUSED,
        t.Outcome.RESET,
        t.Outcome.UNCONNECTED,
        t.Outcome.SPOILT,
        t.Outcome.TIMED_OUT,
    ]
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("deploy"), DEPLOYMENTS),
        st.tuples(st.just("arrive"), st.integers(0, 9)),
        st.tuples(st.just("end"), st.tuples(st.integers(0, 99), HOWS)),
        st.tuples(st.just("run"), st.integers(1, 200)),
        st.tuples(st.just("list"), st.tuples(st.integers(0, 3), st.booleans())),
    ),
    min_size=5,
    max_size=60,
)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=150)
@given(DEPLOYMENTS, STEPS)
def test_no_drawn_sequence_of_changes_breaks_a_rule(first, steps):
    bed = Live(first)
    busy_ = [w for w in first.workloads][0]
    for _ in range(15):  # a budget for retries
        name = bed.arrive(busy_)
        if bed.out(name):
            bed.end(name, 0, t.Outcome.HANDLED, after=2_000)
    for what, value in steps:
        if what == "deploy":
            bed.step(t.DeploymentChanged(value), after=1)
        elif what == "arrive":
            bed.arrive(bed.newest.workloads[value % len(bed.newest.workloads)], tenant="xyz"[value % 3])
        elif what == "end":
            out = [(name, at) for name in bed.flights for at in bed.out(name)]
            if out:
                name, at = out[value[0] % len(out)]
                bed.end(name, at, value[1], after=3_000)
        elif what == "run":
            bed.run(value * 5_000)
        else:
            state = t.EndpointStatus.READY if value[1] else t.EndpointStatus.DRAINING
            bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(value[0], state)]), after=1)
    bed.run(5 * SECOND)
    assert not bed.owed, "each is answered once, before its own hard limit"
    for name in list(bed.flights):
        for at in bed.out(name):
            bed.end(name, at, t.Outcome.CALLED_OFF)
    bed.run(SECOND)
    desk = bed.sidecar.dispatcher
    assert not desk.open and not desk.waiting and not desk.in_flight


def test_two_thousand_changes_leave_memory_and_tables_bounded():
    """Names come and go, and none comes back: a day's changes of a service that names its releases."""
    bed, rng, names = Live(deployment(workloads=[IDEM])), random.Random(11), iter(range(10**6))
    gate, desk = Gate(deployment(workloads=[IDEM])), bed.sidecar.dispatcher
    gate.active, gate.window, gate.carries = True, 0.0, 1_000.0
    admit = Admit(None, None, {"view"}, None)
    row = live_config.replace(IDEM)
    sizes = []
    for at in range(2_000):
        workloads = [live_config.replace(row, name=f"w{next(names)}") for _ in range(rng.randrange(1, 6))]
        tenants = [t.Tenant(f"t{next(names)}", 1.0)]
        d = deployment(workloads=workloads, tenants=tenants, instances=rng.randrange(1, 5))
        bed.step(t.DeploymentChanged(d), after=1_000)
        gate.deploy(d)
        admit.deploy({w.name for w in workloads}, 0)
        for w in workloads:
            name = bed.arrive(w, tenant=tenants[0].name)
            offer = Offer(w.name, w.hard_limit)
            if gate.offer(bed.now, offer) is Fate.HELD:
                gate.forget(offer)
            if bed.out(name):
                bed.end(name, 0, t.Outcome.HANDLED, after=5_000)
        gate.release(bed.now)
        if at % 500 == 499:
            bed.run(5 * SECOND)
            for name in list(bed.flights):
                for number in bed.out(name):
                    bed.end(name, number, t.Outcome.CALLED_OFF)
            bed.step(t.DeploymentChanged(d))
            gate.deploy(d)
            for book in (bed.flights, bed.terms, bed.closed, bed.answers, bed.logs, bed.wakes, bed.probes):
                book.clear()
            sizes.append(len(pickle.dumps(bed.sidecar)))
        assert len(desk.queues) <= 5 + len(desk.open) and len(desk.gauges) <= 5 + len(desk.open)
        assert len(desk.sent_by) == 1 and len(gate.lines) <= 5
        assert len(admit.gone) <= 1_000 and len(admit.known) <= 1_005
    assert not desk.open and len(desk.queues) == 0
    assert max(sizes[1:]) < 1.2 * sizes[0], sizes
