"""The decision module under settings changes: requests in progress keep the settings they started with."""

import pickle
import random

import pytest
from bed import IDEM, KEYED, ONCE, SECOND, Bed, deployment, listing
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from lupinmill import terms as t
from lupinmill.config.model import Key
from lupinmill.limits.gate import AdmissionGate, AdmissionRequest, Verdict
from lupinmill.program import live_config
from lupinmill.routing.request_factory import RequestFactory
from lupinmill.rules import Sidecar

FLEET, MINE = Key("fleet", "settings"), Key("sidecar/n1", "settings")


class SettingsBed(Bed):
    """Checks each request against the deployment in force when it arrived."""

    def __init__(self, d: t.Deployment, endpoints: int = 4) -> None:
        self.newest, self.terms = d, {}
        super().__init__(d, endpoints)

    def record(self, event: t.Event) -> None:
        if isinstance(event, t.DeploymentChanged):
            self.newest = event.deployment
        elif isinstance(event, t.RequestArrived):
            self.terms[event.request] = self.newest
        super().record(event)

    def check(self, command: t.Command) -> None:
        name = getattr(command, "request", None)
        if name is not None:
            self.d = self.terms[name]
            self.workloads = {w.name: w for w in self.d.workloads}
        if isinstance(command, t.CancelAttempt):
            assert self.d.cancel_allowed, f"{name}: called off, which its terms forbid"
        super().check(command)

    def end(self, name: str, number: int, how: t.Outcome, load=None, after: int = 0) -> list[t.Command]:
        self.now += after  # how long it took
        return super().end(name, number, how, load)

    def deploy(self, **changes) -> t.Deployment:
        d = deployment(**changes)
        self.step(t.DeploymentChanged(d), after=1)
        return d


def changed(workload: t.Workload, **changes) -> t.Workload:
    return live_config.replace(workload, **changes)


def earn_retry_budget(bed: Bed, count: int = 30) -> None:
    """Handles requests to earn a retry budget."""
    for _ in range(count):
        name = bed.arrive(IDEM)
        bed.end(name, 0, t.Outcome.HANDLED, after=20_000)


def start_waiting_retry(bed: Bed, workload: t.Workload, how: t.Outcome) -> str:
    name = bed.arrive(workload)
    bed.end(name, 0, how, after=10_000)
    assert bed.sidecar.dispatcher.requests[name].retrying and not bed.out(name)
    return name


def test_what_waits_for_a_retry_while_its_workload_becomes_unrepeatable_is_launched_by_its_own_terms():
    bed = SettingsBed(deployment())
    earn_retry_budget(bed)
    name = start_waiting_retry(bed, IDEM, t.Outcome.ERROR)
    bed.deploy(workloads=[changed(IDEM, repeat=t.RepeatPolicy.UNREPEATABLE), KEYED, ONCE])
    bed.run(SECOND)
    assert len(bed.attempts[name]) >= 2
    new = bed.arrive(IDEM)
    bed.end(new, 0, t.Outcome.ERROR, after=10_000)
    assert bed.closed[new] == "broken off" and len(bed.attempts[new]) == 1


def test_what_waits_for_a_retry_while_its_workload_becomes_repeatable_never_runs_twice():
    bed = SettingsBed(deployment())
    earn_retry_budget(bed)
    name = start_waiting_retry(bed, ONCE, t.Outcome.REFUSED)  # it never ran, so it may be sent again
    bed.deploy(workloads=[IDEM, KEYED, changed(ONCE, repeat=t.RepeatPolicy.IDEMPOTENT)])
    bed.run(SECOND)
    assert len(bed.attempts[name]) == 2
    bed.end(
        name, 1, t.Outcome.ERROR, after=10_000
    )  # it may have run, so its own settings forbid another attempt
    assert bed.closed[name] == "broken off"
    bed.run(2 * SECOND)
    assert len(bed.attempts[name]) == 2
    new = bed.arrive(changed(ONCE, repeat=t.RepeatPolicy.IDEMPOTENT))
    bed.end(new, 0, t.Outcome.ERROR, after=10_000)
    bed.run(SECOND)
    assert len(bed.attempts[new]) >= 2


def test_a_window_and_a_group_stay_those_under_which_a_keyed_one_was_taken():
    bed = SettingsBed(deployment())
    earn_retry_budget(bed)
    name = start_waiting_retry(bed, KEYED, t.Outcome.RESET)
    bed.deploy(workloads=[IDEM, changed(KEYED, window=1, group=t.DeduplicationScope.ALL), ONCE])
    bed.run(SECOND)
    assert len(bed.attempts[name]) >= 2, "its own window was open"
    wide = changed(KEYED, window=60 * SECOND, group=t.DeduplicationScope.ALL)
    bed.deploy(workloads=[IDEM, wide, ONCE])
    bed.run(3 * SECOND)
    assert name in bed.closed


def test_most_launches_and_copies_stay_those_under_which_it_was_taken():
    bed = SettingsBed(deployment(max_attempts=2))
    earn_retry_budget(bed)
    name = start_waiting_retry(bed, IDEM, t.Outcome.ERROR)
    bed.deploy(max_attempts=9, cancel_allowed=False)
    bed.run(SECOND)
    bed.end(name, 1, t.Outcome.ERROR, after=10_000)
    bed.run(SECOND)
    assert len(bed.attempts[name]) == 2 and bed.closed[name] == "denied"
    late = bed.arrive(IDEM)  # cancelled at its end under its own settings, not the new ones
    bed.run(3 * SECOND)
    assert bed.closed[late] == "denied"


def test_a_workload_taken_away_ends_its_last_ones_by_their_own_terms():
    bed = SettingsBed(deployment())
    earn_retry_budget(bed)
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
    assert set(bed.sidecar.dispatcher.latency_estimates) <= {"issue"} and not bed.sidecar.dispatcher.queues


def test_worths_follow_and_what_was_learned_stays():
    bed = SettingsBed(deployment(workloads=[IDEM, KEYED]), endpoints=1)
    earn_retry_budget(bed)
    dispatcher = bed.sidecar.dispatcher
    held = [bed.arrive(one) for one in (IDEM, KEYED) for _ in range(6)]
    cap, estimate, queues = dispatcher.cap, dispatcher.latency_estimates["view"], dict(dispatcher.queues)
    usual = (estimate.current, estimate.uncrowded)
    assert {key[0] for key, queue in queues.items() if queue.waiting} == {"view", "bid"}
    bed.deploy(workloads=[changed(IDEM, value=9.0), KEYED])
    assert (
        dispatcher.cap == cap
        and dispatcher.latency_estimates["view"] is estimate
        and (estimate.current, estimate.uncrowded) == usual
    )
    assert {key: queue.priority for key, queue in dispatcher.queues.items()} == {
        key: 9.0 if key[0] == "view" else KEYED.value for key in dispatcher.queues
    }
    view = next(queue for key, queue in dispatcher.queues.items() if key[0] == "view")
    assert view is queues["view", False, False, ""]
    attempted = [
        command.request
        for command in bed.end(held[0], 0, t.Outcome.HANDLED, after=5_000)
        if isinstance(command, t.StartAttempt)
    ]
    assert attempted and all(
        bed.sidecar.dispatcher.requests[name].workload.name == "view" for name in attempted
    )


def test_instances_share_out_the_learned_cap():
    bed = SettingsBed(deployment(instances=2))
    earn_retry_budget(bed)
    dispatcher = bed.sidecar.dispatcher
    cap = dispatcher.cap
    bed.deploy(instances=8)
    assert (
        dispatcher.cap == cap / 4
        and dispatcher.settings.active_sidecars == 8
        and dispatcher.settings.configured_sidecars == 8
    )
    bed.step(t.FleetState(sidecars=4, until=bed.now + SECOND), after=1)
    assert dispatcher.cap == cap / 2
    bed.deploy(instances=16)  # the live count takes precedence while it is valid
    assert (
        dispatcher.cap == cap / 2
        and dispatcher.settings.active_sidecars == 4
        and dispatcher.settings.configured_sidecars == 16
    )
    bed.run(2 * SECOND)
    assert dispatcher.cap == pytest.approx(cap / 8) and dispatcher.settings.active_sidecars == 16


def test_the_same_deployment_again_changes_no_decision():
    """Two sidecars with the same input, one of which is sent its unchanged deployment repeatedly."""

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
            attempted = [one.request for one in commands if isinstance(one, t.StartAttempt)]
            for command in new:
                if isinstance(command, t.StartAttempt):
                    out.append((command.request, attempted.count(command.request)))
                    attempted.append(command.request)
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
    bed = SettingsBed(first)
    busy_ = [w for w in first.workloads][0]
    for _ in range(15):  # earns a retry budget
        name = bed.arrive(busy_)
        if bed.out(name):
            bed.end(name, 0, t.Outcome.HANDLED, after=2_000)
    for what, value in steps:
        if what == "deploy":
            bed.step(t.DeploymentChanged(value), after=1)
        elif what == "arrive":
            bed.arrive(bed.newest.workloads[value % len(bed.newest.workloads)], tenant="xyz"[value % 3])
        elif what == "end":
            out = [(name, at) for name in bed.attempts for at in bed.out(name)]
            if out:
                name, at = out[value[0] % len(out)]
                bed.end(name, at, value[1], after=3_000)
        elif what == "run":
            bed.run(value * 5_000)
        else:
            state = t.EndpointStatus.READY if value[1] else t.EndpointStatus.DRAINING
            bed.step(t.ListReceived(t.ListKind.CHANGES, [listing(value[0], state)]), after=1)
    bed.run(5 * SECOND)
    assert not bed.unanswered, "each is answered once, before its own hard limit"
    for name in list(bed.attempts):
        for at in bed.out(name):
            bed.end(name, at, t.Outcome.CALLED_OFF)
    bed.run(SECOND)
    dispatcher = bed.sidecar.dispatcher
    assert not dispatcher.requests and not dispatcher.waiting and not dispatcher.in_flight


def test_two_thousand_changes_leave_memory_and_tables_bounded():
    """Names appear and never return, as for a day's changes of a service that names its releases."""
    bed, rng, names = SettingsBed(deployment(workloads=[IDEM])), random.Random(11), iter(range(10**6))
    gate, dispatcher = AdmissionGate(deployment(workloads=[IDEM])), bed.sidecar.dispatcher
    gate.active, gate.window, gate.peak_rate = True, 0.0, 1_000.0
    factory = RequestFactory(None, None, {"view"}, None)
    row = live_config.replace(IDEM)
    sizes = []
    for at in range(2_000):
        workloads = [live_config.replace(row, name=f"w{next(names)}") for _ in range(rng.randrange(1, 6))]
        tenants = [t.Tenant(f"t{next(names)}", 1.0)]
        d = deployment(workloads=workloads, tenants=tenants, instances=rng.randrange(1, 5))
        bed.step(t.DeploymentChanged(d), after=1_000)
        gate.deploy(d)
        factory.deploy({w.name for w in workloads}, 0)
        for w in workloads:
            name = bed.arrive(w, tenant=tenants[0].name)
            admission_request = AdmissionRequest(w.name, w.hard_limit)
            if gate.admit(bed.now, admission_request) is Verdict.HELD:
                gate.forget(admission_request)
            if bed.out(name):
                bed.end(name, 0, t.Outcome.HANDLED, after=5_000)
        gate.release(bed.now)
        if at % 500 == 499:
            bed.run(5 * SECOND)
            for name in list(bed.attempts):
                for number in bed.out(name):
                    bed.end(name, number, t.Outcome.CALLED_OFF)
            bed.step(t.DeploymentChanged(d))
            gate.deploy(d)
            for table in (bed.attempts, bed.terms, bed.closed, bed.answers, bed.logs, bed.wakes, bed.probes):
                table.clear()
            sizes.append(len(pickle.dumps(bed.sidecar)))
        assert len(dispatcher.queues) <= 5 + len(dispatcher.requests) and len(
            dispatcher.latency_estimates
        ) <= 5 + len(dispatcher.requests)
        assert len(dispatcher.arrivals_by_tenant) == 1 and len(gate.queues) <= 5
        assert len(factory.removed_workloads) <= 1_000 and len(factory.known_workloads) <= 1_005
    assert not dispatcher.requests and len(dispatcher.queues) == 0
    assert max(sizes[1:]) < 1.2 * sizes[0], sizes
