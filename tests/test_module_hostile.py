"""Drives the decision module with unusual events of every kind that the types allow, over random
deployments, and recounts after every step the totals that the module keeps incrementally."""

import random

import pytest

from lupinmill import terms as t
from lupinmill.rules import SECOND, Sidecar

MS = 1000
STEPS = 350
KINDS, ZONES = ["k0", "k1", ""], ["z0", "z1", ""]
WORKLOADS = ["idem", "all", "cell", "once", "bound"]


def drawn_workloads(rng: random.Random) -> list[t.Workload]:
    contract = rng.choice([0, 1, 2, 50 * MS, SECOND])
    limit = rng.choice([contract, 2 * SECOND])
    return [
        t.Workload("idem", contract, limit, rng.choice([0.0, 1.0, 9.0]), 0.0, t.RepeatPolicy.IDEMPOTENT),
        t.Workload(
            "all",
            SECOND,
            limit,
            1.0,
            0.0,
            t.RepeatPolicy.DEDUPLICATED,
            t.DeduplicationScope.ALL,
            rng.choice([0, SECOND]),
        ),
        t.Workload(
            "cell", SECOND, limit, 1.0, 0.0, t.RepeatPolicy.DEDUPLICATED, t.DeduplicationScope.CELL, SECOND
        ),
        t.Workload("once", SECOND, limit, 1.0),
        t.Workload("bound", SECOND, limit, 1.0, 0.0, t.RepeatPolicy.IDEMPOTENT, zones=("z0",), kinds=("k0",)),
    ]


def drawn_deployment(rng: random.Random) -> t.Deployment:
    def flag() -> bool:
        return rng.random() < 0.5

    per_client = flag()
    return t.Deployment(
        seed=rng.getrandbits(40),
        tier=rng.choice([0, 1]),
        instances=rng.choice([0, 1, 5, 200]),
        workloads=drawn_workloads(rng),
        tenants=[t.Tenant("a", 0.0), t.Tenant("b", rng.choice([0.0, 10.0]))] if flag() else [],
        pooled_weight=rng.choice([0.0, 1.0]),
        evenness_weight=rng.choice([0.0, 1.0]),
        poll_discovery=flag(),
        poll_interval=rng.choice([0, SECOND]),
        grace=rng.choice([0, SECOND // 2]),
        cold_share=rng.choice([0.0, 0.2, 1.0]),
        cold_time=rng.choice([0, 5 * SECOND]),
        overload_time=rng.choice([0, SECOND]),
        round=rng.choice([0, MS, 5 * MS]),
        max_attempts=rng.choice([1, 4]),
        hedging_allowed=flag(),
        cancel_allowed=flag(),
        probes_allowed=flag(),
        reports_asked=flag(),
        advice_allowed=flag(),
        longest_advice=rng.choice([0, SECOND]),
        sidecar_per_client=per_client,
        zone=rng.choice(ZONES),
        gone_binds=flag(),
        uneven=per_client or flag(),
        crossing_price=rng.choice([0.0, 0.1]),
        warm_keys=flag(),
        weights_tell_speed=flag(),
        few_connections=per_client and flag(),
    )


class Hostile:
    """One module and its environment, with the requests that it has to answer and the attempts in attempt."""

    def __init__(self, seed: int) -> None:
        self.rng, self.now, self.serial = random.Random(seed), 100 * SECOND, 0
        self.deployment = drawn_deployment(self.rng)
        self.module = Sidecar(self.deployment)
        self.names = [f"e{at}" for at in range(self.rng.choice([1, 2, 6, 40]))]
        self.owed: dict[str, int] = {}  # deadline by request
        self.guessed: set[str] = set()  # requests with an incomplete body
        self.streams: set[str] = set()  # requests whose response has begun: their deadline no longer applies
        self.in_flight: dict[tuple[str, int], str] = {}
        self.begun: set[tuple[str, int]] = set()  # attempts with an open-ended response
        self.to_forward: list[str] = []
        self.attempts: dict[str, int] = {}
        self.wake: int | None = None

    def step(self, *events: t.Event) -> None:
        for command in self.module.step(self.now, list(events)):
            self.carry_out(command)
        self.check_totals()
        while self.to_forward:
            self.forward(self.to_forward.pop())

    def carry_out(self, command: t.Command) -> None:
        if isinstance(command, t.StartAttempt):
            assert command.request in self.owed, "sent after its end"
            number = self.attempts.get(command.request, 0)
            self.attempts[command.request] = number + 1
            self.in_flight[command.request, number] = command.endpoint
        elif isinstance(command, t.RejectRequest | t.AbortResponse):
            assert command.request in self.owed, "answered twice"
            del self.owed[command.request]
            self.guessed.discard(command.request)
        elif isinstance(command, t.SetTimer):
            assert command.at > self.now
            self.wake = command.at
        elif isinstance(command, t.CancelAttempt):
            assert command.attempt < self.attempts[command.request]
        elif isinstance(command, t.ForwardResponse):
            assert command.request in self.owed, "forwarded after its end"
            self.to_forward.append(command.request)
        elif isinstance(command, t.AbandonAttempt):
            assert command.request in self.owed, "abandoned after its end"
            del self.in_flight[command.request, command.attempt]

    def pass_time(self, span: int) -> None:
        """Fires the module's timers on the way."""
        end = self.now + span
        while self.wake is not None and self.wake <= end:
            self.now, self.wake = max(self.now, self.wake), None
            self.step(t.TimerFired(1))
        self.now = max(self.now, end)
        late = {name for name, due in self.owed.items() if due < self.now}
        assert late <= self.guessed | self.streams, "not answered before its deadline"

    # The module's totals, counted from scratch.

    def check_totals(self) -> None:
        dispatcher = self.module.dispatcher
        ready = [
            state for state in dispatcher.endpoint_states.values() if state.selected and state.report.open
        ]
        assert dispatcher.ready == len(ready)
        assert dispatcher.in_flight == sum(state.in_flight for state in ready)
        assert dispatcher.share_sum == pytest.approx(sum(state.report.share for state in ready), abs=1e-6)
        assert dispatcher.waiting == sum(request.held for request in dispatcher.requests.values())
        zones: dict[str, int] = {}
        for state in ready:
            zones[state.report.entry.zone] = zones.get(state.report.entry.zone, 0) + 1
        assert {zone: count for zone, count in dispatcher.ready_by_zone.items() if count} == zones
        self.check_attempts()
        in_buckets = [state for bucket in dispatcher.load_buckets for state in bucket]
        assert sorted(state.name for state in in_buckets) == sorted(state.name for state in ready)
        assert set(dispatcher.busy) == {
            state.name for state in dispatcher.endpoint_states.values() if state.in_flight
        }
        assert dispatcher.endpoint_states.keys() == dispatcher.endpoints.keys()

    def check_attempts(self) -> None:
        dispatcher = self.module.dispatcher
        counted = {name: state.predecessor_in_flight for name, state in dispatcher.endpoint_states.items()}
        unanswered = dict.fromkeys(dispatcher.endpoint_states, 0)
        coming = dict.fromkeys(dispatcher.endpoint_states, 0)
        for request in dispatcher.requests.values():
            for attempt in request.attempts:
                if attempt.pending:
                    assert dispatcher.endpoint_states[attempt.endpoint_state.name] is attempt.endpoint_state
                    where = counted if attempt.counted else coming
                    where[attempt.endpoint_state.name] += 1
                    unanswered[attempt.endpoint_state.name] += attempt.counted and not attempt.begun
        assert counted == {name: state.in_flight for name, state in dispatcher.endpoint_states.items()}
        assert unanswered == {name: actor.unanswered for name, actor in dispatcher.endpoints.items()}
        assert coming == {name: state.receiving for name, state in dispatcher.endpoint_states.items()}

    # Events.

    def listing(self) -> t.ListEntry:
        rng = self.rng
        started = rng.choice([0, 0, self.now, self.now - SECOND, self.now + 50 * SECOND])
        state = rng.choice([t.EndpointStatus.READY] * 4 + [t.EndpointStatus.DRAINING, t.EndpointStatus.GONE])
        weight = rng.choice([1.0, 1.0, 0.25, 4.0, 0.0, -1.0, float("nan"), float("inf")])
        where = rng.choice(ZONES), rng.choice(KINDS), rng.choice(["0", "1", ""])
        return t.ListEntry(rng.choice([*self.names, "never seen"]), state, *where, started, weight)

    def list_(self) -> None:
        kind = self.rng.choice(list(t.ListKind))
        some = 0 if kind is t.ListKind.FAILED else self.rng.randrange(len(self.names) * 2 + 1)
        self.step(t.ListReceived(kind, [self.listing() for _ in range(some)]))

    def arrive(self) -> None:
        rng = self.rng
        self.serial += 1
        name, whole = f"s{self.serial}", rng.random() < 0.8
        due = self.now + rng.choice([-SECOND, -1, 0, 1, 5 * MS, SECOND, 3 * SECOND])
        self.owed[name] = due
        if not whole:
            self.guessed.add(name)
        workload, tenant = rng.choice([*WORKLOADS, "no such"]), rng.choice(["a", "b", "no such"])
        key = rng.choice(["", "key"])
        self.step(
            t.RequestArrived(name, workload, due, tenant, rng.random() < 0.3, whole, key, rng.random() < 0.8)
        )

    def tell_twice(self) -> None:
        if self.owed:
            name = self.rng.choice(list(self.owed))
            self.step(t.RequestArrived(name, "idem", self.owed[name]))

    def complete(self) -> None:
        name = self.rng.choice([*self.guessed, "no such"])
        due = self.now + self.rng.choice([-1, 0, SECOND])
        self.guessed.discard(name)
        if name in self.owed:
            self.owed[name] = due
        self.step(t.RequestBodyReceived(name, due))

    def end(self) -> None:
        if not self.in_flight:
            return self.step(t.AttemptEnded("no such", 0, t.Outcome.ERROR, 0))
        key = self.rng.choice(list(self.in_flight))
        self.finish(key, self.rng.choice(list(t.Outcome)))

    def finish(self, key: tuple[str, int], outcome: t.Outcome) -> None:
        name, number = key
        del self.in_flight[key]
        handled = outcome is t.Outcome.HANDLED
        closed = handled or name not in self.owed
        if handled:
            self.owed.pop(name, None)
            self.guessed.discard(name)
        duration = self.rng.choice([-5, 0, 0, 1, 20 * MS, SECOND])
        load = t.LoadReport(self.rng.choice([None, 0.0, 9.0]), busy=self.rng.choice([None, 0.0, 1.0]))
        ended = t.AttemptEnded(
            name, number, outcome, duration, closed, self.rng.choice([None, load]), self.rng.random() < 0.1
        )
        self.step(ended)
        self.step(
            t.AttemptEnded(name, self.rng.choice([number, -1, 99]), outcome, duration)
        )  # a repeated outcome, or one of an attempt that was never made

    def withdraw(self) -> None:
        name = self.rng.choice([*self.owed, "no such"])
        self.owed.pop(name, None)
        self.guessed.discard(name)
        self.step(t.RequestCancelled(name))

    def start(self) -> None:
        begun = [key for key in self.in_flight if key[0] in self.owed]
        name, number = self.rng.choice(begun) if begun else ("no such", 0)
        self.streams.add(name)
        self.step(t.ResponseStarted(name, number))

    def begin(self) -> None:
        key = self.rng.choice([*self.in_flight, ("no such", 0)])
        if key in self.in_flight:
            self.begun.add(key)
        self.step(t.OpenEndedResponseBegan(key[0], self.rng.choice([key[1]] * 4 + [-1, 99])))
        self.step(t.OpenEndedResponseBegan(*key))

    def forward(self, name: str) -> None:
        """It may break just then."""
        key = next(key for key in self.in_flight if key[0] == name and key in self.begun)
        self.finish(key, self.rng.choice([t.Outcome.HANDLED, t.Outcome.HANDLED, t.Outcome.RESET]))

    def stall(self) -> None:
        name, number = self.rng.choice([*self.in_flight, ("no such", 0)])
        number = self.rng.choice([number] * 4 + [-1, 99])
        self.step(t.ResponseStalled(name, number, self.rng.random() < 0.1))

    def bytes_arrive(self) -> None:
        name, number = self.rng.choice([*self.in_flight, ("no such", 0)])
        number = self.rng.choice([number] * 4 + [-1, 99])
        self.step(t.ResponseBytesArrived(self.rng.choice([*self.names, "no such"]), name, number))
        self.bytes_of(name, number)

    def bytes_of(self, name: str, number: int) -> None:
        """At the endpoint of that attempt."""
        request = self.module.dispatcher.requests.get(name)
        if request is not None and 0 <= number < len(request.attempts):
            endpoint = request.attempts[number].endpoint_state.name
            self.step(t.ResponseBytesArrived(endpoint, name, number))

    def probed(self) -> None:
        outcome = self.rng.choice([t.Outcome.HANDLED, t.Outcome.UNCONNECTED, t.Outcome.TIMED_OUT])
        load = self.rng.choice([None, t.LoadReport(0.0, busy=0.0), t.LoadReport(50.0)])
        self.step(
            t.ProbeEnded(self.rng.choice([*self.names, "no such"]), outcome, self.rng.choice([0, MS]), load)
        )

    def by_hand(self) -> None:
        self.step(t.OperatorOverride(self.rng.choice([*self.names, "no such"]), self.rng.random() < 0.5))

    def elsewhere(self) -> None:
        some = self.rng.sample([*self.names, "no such"], self.rng.randrange(len(self.names) + 2))
        self.step(t.PredecessorLoad({name: self.rng.randrange(4) for name in some}, self.rng.randrange(3)))

    def common(self) -> None:
        plan = {"idem": ({"z0": 0.5, "z1": 0.5}, {"no such": 1.0}), "once": ({}, {})}
        until = self.rng.choice([0, self.now, self.now + SECOND])
        sidecars = self.rng.choice([-1, 0, 1, 200])
        brakes = {name: self.rng.choice([0.0, 0.5]) for name in self.names[:2]}
        self.step(t.FleetState(sidecars, plan, brakes, {"z0": 3, "z1": 0}, until))

    def deploy(self) -> None:
        again = drawn_deployment(self.rng)
        for held in (
            "tier",
            "sidecar_per_client",
            "few_connections",
            "uneven",
            "seed",
            "poll_discovery",
            "zone",
            "gone_binds",
        ):
            setattr(again, held, getattr(self.deployment, held))
        self.step(t.DeploymentChanged(again))

    def turn_clock_back(self) -> None:
        self.now -= self.rng.choice([1, SECOND])
        self.step(t.TimerFired(1))

    def drive(self) -> None:
        events = [self.list_] * 3 + [self.arrive] * 12 + [self.end] * 8 + [self.probed] * 3
        events += [self.complete, self.withdraw, self.by_hand, self.elsewhere, self.common, self.deploy]
        events += [self.tell_twice, self.turn_clock_back, self.start] + [self.stall] * 3
        events += [self.begin] * 3 + [self.bytes_arrive] * 4
        self.step(
            t.ListReceived(
                t.ListKind.CACHED, [t.ListEntry(name, t.EndpointStatus.READY) for name in self.names]
            )
        )
        for _ in range(STEPS):
            self.rng.choice(events)()
            self.pass_time(self.rng.choice([0, 0, MS, 20 * MS, 300 * MS]))
        self.end_all()

    def end_all(self) -> None:
        """All requests must be answered by their deadlines, and nothing may be left when all attempts have
        ended."""
        self.step(t.PredecessorLoad({}))
        self.pass_time(30 * SECOND)
        assert self.owed.keys() <= self.streams
        for key in list(self.in_flight):
            self.finish(key, t.Outcome.ERROR)
        assert not self.owed
        assert not self.module.dispatcher.requests and not self.module.dispatcher.busy


@pytest.mark.parametrize("seed", range(60))
def test_odd_notes_raise_nothing_leave_nothing_owed_and_counts_true(seed):
    Hostile(seed).drive()
