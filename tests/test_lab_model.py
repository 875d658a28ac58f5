"""The simulated endpoint and registry: queueing compared with theory, and the effect of each fault."""

from __future__ import annotations

from dataclasses import replace
from math import factorial

import numpy as np
import pytest

from lupinmill import terms as t
from lupinmill.lab.endpoint import Endpoint, EndpointSpec, Job
from lupinmill.lab.registry import Entry, Registry, as_gone
from lupinmill.lab.rule_checker import RuleChecker
from lupinmill.lab.timeline import SECOND, Timeline

VIEW = t.Workload("view", SECOND, 2 * SECOND)
BID = t.Workload("bid", SECOND, 3 * SECOND, repeat=t.RepeatPolicy.DEDUPLICATED, window=2 * SECOND)
SPEC = EndpointSpec("e1", 0, cores=1, slots=1, queue=10**9)


class EndpointHarness:
    """One endpoint on its own timeline; `ended` holds outcome, time and load report by request id."""

    def __init__(self, spec: EndpointSpec = SPEC, started: int = 0, seed: int = 1) -> None:
        self.timeline = Timeline(SECOND)
        self.rule_checker = RuleChecker(SECOND, [VIEW, BID], 0, 0, (3.0, 2 * SECOND), True)
        self.endpoint = Endpoint(spec, self.timeline, np.random.default_rng(seed), self.rule_checker, started)
        self.ended: dict[str, tuple[t.Outcome, int, t.LoadReport | None]] = {}
        self.jobs: dict[str, Job] = {}

    def send(self, name: str, work: float, workload: str = "view", key: str = "", calls: int = 0) -> Job:
        def reply(outcome: t.Outcome, load: t.LoadReport | None) -> None:
            assert name not in self.ended, "answered twice"
            self.ended[name] = (outcome, self.timeline.now, load)

        job = Job(name, key, workload, work, self.timeline.now + 10 * SECOND, reply, calls=calls)
        self.jobs[name] = job
        self.endpoint.receive(job)
        return job

    def run(self, seconds: float) -> None:
        self.timeline.run_until(self.timeline.now + int(seconds * SECOND))

    def duration(self, name: str) -> float:
        return (self.ended[name][1] - SECOND) / SECOND

    def outcome(self, name: str) -> t.Outcome | None:
        return self.ended[name][0] if name in self.ended else None


def mean_wait(cores: int, load: float, jobs: int, shared: bool = False) -> float:
    """Returns the mean waiting time in a simulation with Poisson arrivals and exponential work of 10 ms."""
    spec = replace(SPEC, cores=cores, slots=10**9 if shared else cores)
    harness, random_source = EndpointHarness(spec), np.random.default_rng(3)
    arrived: dict[str, int] = {}
    works: list[float] = list(random_source.exponential(0.01, jobs))
    gaps = random_source.exponential(0.01 / cores / load, jobs)

    def arrive(at: int) -> None:
        arrived[str(at)] = harness.timeline.now
        harness.send(str(at), works[at])
        if at + 1 < jobs:
            harness.timeline.after(gaps[at] * SECOND, arrive, at + 1)

    harness.timeline.at(SECOND, arrive, 0)
    harness.timeline.run_until(10**15)
    skipped = jobs // 20
    times = [harness.ended[str(at)][1] - arrived[str(at)] for at in range(skipped, jobs)]
    return float(np.mean(times)) / SECOND - float(np.mean(works[skipped:]))


def erlang_wait(cores: int, load: float) -> float:
    """Returns the mean waiting time of an M/M/c queue with work of 10 ms (Erlang C)."""
    offered = cores * load
    blocked = offered**cores / factorial(cores) / (1 - load)
    waiting = blocked / (sum(offered**k / factorial(k) for k in range(cores)) + blocked)
    return waiting * 0.01 / (cores * (1 - load))


@pytest.mark.parametrize("cores, load, jobs", [(1, 0.5, 60_000), (1, 0.7, 120_000), (3, 0.7, 80_000)])
def test_waiting_is_that_of_the_textbook(cores: int, load: float, jobs: int) -> None:
    assert mean_wait(cores, load, jobs) == pytest.approx(erlang_wait(cores, load), rel=0.03)


def test_shared_cores_take_as_long_on_average_as_a_queue() -> None:
    """M/M/1 with processor sharing has the same mean as first come, first served."""
    assert mean_wait(1, 0.5, 60_000, shared=True) == pytest.approx(erlang_wait(1, 0.5), rel=0.03)


def test_two_on_one_core_take_twice_as_long_and_one_alone_its_work() -> None:
    harness = EndpointHarness(replace(SPEC, slots=4))
    harness.send("a", 0.1)
    harness.send("b", 0.1)
    harness.run(0.3)
    assert harness.duration("a") == pytest.approx(0.2, abs=1e-3) and harness.duration("b") == pytest.approx(
        0.2, abs=1e-3
    )


def test_beyond_slots_and_queue_it_turns_away_unseen() -> None:
    harness = EndpointHarness(replace(SPEC, queue=1))
    for name in "abc":
        harness.send(name, 0.1)
    assert harness.outcome("c") is t.Outcome.REFUSED and harness.outcome("a") is None
    harness.run(1)
    assert harness.outcome("a") is harness.outcome("b") is t.Outcome.HANDLED


def test_a_crash_resets_all_it_held_and_comes_back_cold() -> None:
    harness = EndpointHarness(replace(SPEC, cold_from=0.5, cold_s=4.0))
    harness.send("a", 0.2)
    harness.send("b", 0.2)
    harness.endpoint.crash()
    assert harness.outcome("a") is harness.outcome("b") is t.Outcome.RESET
    harness.send("late", 0.1)
    harness.run(1)
    assert harness.outcome("late") is None
    harness.endpoint.restart()
    assert harness.endpoint.warmth() == pytest.approx(0.5)
    harness.run(2)
    assert harness.endpoint.warmth() == pytest.approx(0.75)
    harness.run(3)
    assert harness.endpoint.warmth() == 1.0


def test_a_silent_one_says_nothing_about_what_it_held() -> None:
    harness = EndpointHarness()
    harness.send("a", 0.2)
    harness.endpoint.crash(silently=True)
    harness.run(5)
    assert harness.ended == {} and harness.endpoint.probe() is None


def test_warm_sooner_by_work_done() -> None:
    by_time, by_work = (
        EndpointHarness(replace(SPEC, cold_from=0.5, cold_s=10.0, warm_by_work=by), started=SECOND)
        for by in (False, True)
    )
    for harness in (by_time, by_work):
        for at in range(30):
            harness.send(str(at), 0.1)
        harness.run(4)
    assert by_work.endpoint.warmth() > by_time.endpoint.warmth() == pytest.approx(0.7)


def test_a_hang_takes_work_and_goes_on_afterwards() -> None:
    harness = EndpointHarness(replace(SPEC, slots=2))
    harness.endpoint.hang(True)
    harness.send("a", 0.1)
    harness.run(3)
    assert harness.ended == {}
    harness.endpoint.hang(False)
    harness.run(0.2)
    assert harness.outcome("a") is t.Outcome.HANDLED


@pytest.mark.parametrize(
    "change, expected",
    [
        (lambda e: e.set_slowdown("x", 4.0), 0.4),
        (lambda e: e.set_stolen_share(0.5), 0.2),
        (lambda e: None, 0.1),
        (lambda e: (e.set_slowdown("x", 2.0), e.set_slowdown("y", 3.0)), 0.6),
        (lambda e: (e.set_slowdown("x", 2.0), e.set_slowdown("x", 1.0)), 0.1),
    ],
)
def test_slow_ones_and_neighbours_take_longer(change, expected: float) -> None:
    harness = EndpointHarness()
    change(harness.endpoint)
    harness.send("a", 0.1)
    harness.run(1)
    assert harness.duration("a") == pytest.approx(expected, abs=1e-3)


def test_pauses_stand_still_and_end() -> None:
    harness = EndpointHarness()
    harness.send("a", 0.5)
    harness.endpoint.pause(0.3, 100.0, None, harness.endpoint.epoch)
    harness.run(2)
    assert harness.duration("a") == pytest.approx(0.8, abs=1e-3)


def test_quick_errors_spoilt_answers_and_resets() -> None:
    for name, outcome in (
        ("failing", t.Outcome.ERROR),
        ("spoiling", t.Outcome.SPOILT),
        ("resetting", t.Outcome.RESET),
    ):
        harness = EndpointHarness()
        setattr(harness.endpoint, name, 1.0)
        harness.send("a", 0.1)
        harness.run(0.2)
        assert harness.outcome("a") is outcome


def test_a_jam_comes_of_a_deep_queue_and_ends_when_idle() -> None:
    harness = EndpointHarness(replace(SPEC, slots=4, queue=100, jam=(5.0, 1.0, 3.0, 1.0, 0.3, 60.0)))
    for at in range(40):
        harness.send(str(at), 0.1)
    harness.run(1.5)
    assert harness.endpoint.jammed
    harness.run(8)
    # 40 jobs of 0.1 s, at a third of the speed from about 1 s on, are not complete after 9.5 s.
    assert harness.endpoint.jammed and len(harness.ended) == pytest.approx(36, abs=3)
    harness.run(4)
    assert not harness.endpoint.jammed and len(harness.ended) == 40


def test_a_jam_that_goes_on_being_fed_stays_until_its_longest_time() -> None:
    harness = EndpointHarness(replace(SPEC, slots=4, queue=20, jam=(5.0, 1.0, 3.0, 1.0, 0.3, 12.0)))

    def feed(at: int) -> None:
        harness.send(str(at), 0.1)
        harness.timeline.after(0.11 * SECOND, feed, at + 1)

    for at in range(20):
        harness.send(f"first{at}", 0.1)
    feed(0)
    harness.run(10)
    assert harness.endpoint.jammed
    harness.run(6)
    assert not harness.endpoint.jammed and harness.endpoint.was_jammed


def test_crowding_costs_capacity() -> None:
    harness = EndpointHarness(replace(SPEC, slots=100, crowding=1.0, crowding_at=10.0))
    for at in range(20):
        harness.send(str(at), 0.1)
    assert harness.endpoint.efficiency() == pytest.approx(0.5)


def test_a_cold_one_under_too_much_falls_over_and_stays_down() -> None:
    harness = EndpointHarness(replace(SPEC, slots=4, cold_from=0.2, cold_s=100.0), started=SECOND)
    for at in range(30):
        harness.send(str(at), 0.1)
    assert harness.endpoint.collapsed and harness.rule_checker.counts[4] == 1
    harness.run(60)
    harness.send("after", 0.1)
    assert harness.outcome("after") is t.Outcome.REFUSED


def test_a_warm_one_does_not_fall() -> None:
    harness = EndpointHarness()
    for at in range(200):
        harness.send(str(at), 0.1)
    assert not harness.endpoint.collapsed


@pytest.mark.parametrize(
    "cancel, waiting_runs, running_runs",
    [("none", True, True), ("queued", False, True), ("all", False, False)],
)
def test_what_a_cancel_stops_depends_on_the_kind(cancel: str, waiting_runs: bool, running_runs: bool) -> None:
    harness = EndpointHarness(replace(SPEC, cancel=cancel))
    running, waiting = harness.send("running", 0.1), harness.send("waiting", 0.1)
    harness.send("behind", 0.1)
    harness.run(0.05)
    harness.endpoint.cancel(running)
    harness.endpoint.cancel(waiting)
    harness.run(1)
    assert ("running" in harness.ended, "waiting" in harness.ended) == (running_runs, waiting_runs)
    assert harness.duration("behind") == pytest.approx(
        0.1 * (1 + waiting_runs) + (0.1 if running_runs else 0.05), abs=1e-3
    )


def test_a_repeat_is_dropped_within_its_window_and_group_only() -> None:
    harness = EndpointHarness()
    harness.send("a", 0.1, "bid", key="k")
    harness.run(0.5)
    assert harness.send("b", 0.1, "bid", key="k").work == 0.0
    harness.run(2)
    assert harness.send("c", 0.1, "bid", key="k").work == 0.1
    other_endpoint = Endpoint(
        replace(SPEC, name="e2", cell=7), harness.timeline, np.random.default_rng(1), harness.rule_checker
    )
    job = Job("d", "k", "bid", 0.1, 0, lambda outcome, load: None)
    other_endpoint.receive(job)
    assert job.work == 0.1


def test_calls_hold_the_slot_and_a_failed_one_fails_the_job() -> None:
    harness = EndpointHarness()
    calls: list = []
    harness.endpoint.make_call = lambda job, done: calls.append(done) or "call"
    harness.send("a", 0.2, calls=1)
    harness.send("b", 0.2, calls=1)
    harness.run(0.5)
    assert len(calls) == 1 and harness.ended == {}  # b waits: the slot is occupied during the call
    calls[0](True)
    harness.run(0.3)
    assert harness.outcome("a") is t.Outcome.HANDLED
    calls[1](False)
    assert harness.outcome("b") is t.Outcome.ERROR


def test_reports_are_refreshed_delayed_and_only_of_the_told_fields() -> None:
    spec = replace(
        SPEC, slots=1, report_how="answers", report_fields=("queued",), report_s=0.1, report_delay_s=0.5
    )
    harness = EndpointHarness(spec)
    for at in range(5):
        harness.send(str(at), 10.0)
    harness.run(0.3)
    assert harness.endpoint.report() is None  # no report is old enough yet
    harness.run(0.5)
    assert harness.endpoint.report() == t.LoadReport(queued=4.0)


def test_drained_and_full_ones_answer_probes_as_they_are() -> None:
    harness = EndpointHarness()
    assert harness.endpoint.probe() == (t.Outcome.HANDLED, None)
    harness.endpoint.draining = True
    assert harness.endpoint.probe() == (t.Outcome.REFUSED, None)
    harness.send("a", 0.1)
    assert harness.outcome("a") is t.Outcome.REFUSED


def test_connections_are_counted_by_life() -> None:
    harness = EndpointHarness(replace(SPEC, most_connections=1))
    assert harness.endpoint.connect() and not harness.endpoint.connect()
    epoch = harness.endpoint.epoch
    harness.endpoint.crash()
    harness.endpoint.restart()
    assert harness.endpoint.connect()
    harness.endpoint.disconnect(epoch)  # from before the crash
    assert not harness.endpoint.connect()


# The registry.


def registry(timeline: Timeline) -> tuple[Registry, list]:
    found = Registry(timeline, np.random.default_rng(1), lambda: 2.0, lambda: 8.0, lambda: 1.0)
    found.add_initial(Entry("e1", "a", "k", 0, t.EndpointStatus.READY, 0))
    received: list = []
    found.subscribe(
        "s",
        lambda index, entry: received.append((timeline.now / SECOND, entry.name, entry.state)),
        lambda: received.append("broke"),
    )
    return found, received


def test_the_list_comes_late_later_when_behind_and_the_newest_wins() -> None:
    timeline = Timeline(0)
    found, received = registry(timeline)
    found.publish_later(as_gone(found.entries["e1"]), "gone")
    timeline.run_until(2 * SECOND)
    assert received == [(2.0, "e1", t.EndpointStatus.GONE)]
    found.extra_delay_s = 5.0
    entry = Entry("e1", "a", "k", 0, t.EndpointStatus.READY, 3 * SECOND)
    found.publish_later(
        as_gone(entry), "silent"
    )  # would be published after 13 s, but a newer change replaces it
    found.publish_later(entry, "add")
    timeline.run_until(30 * SECOND)
    assert received[1:] == [(8.0, "e1", t.EndpointStatus.READY)]


def test_changes_since_a_version_or_the_whole_list_where_too_much_was_missed() -> None:
    timeline = Timeline(0)
    found, _ = registry(timeline)
    known = found.index
    for at in range(5):
        found.publish_later(Entry(f"n{at}", "a", "k", 0, t.EndpointStatus.READY, 0), "add")
    timeline.run_until(3 * SECOND)
    full, entries = found.since(known)
    assert not full and [entry.name for entry in entries] == [f"n{at}" for at in range(5)]
    found.changes.popleft()
    assert found.since(known)[0] and len(found.since(known)[1]) == 6
    assert found.since(None)[0]


def test_down_breaks_watches_and_what_happened_meanwhile_is_in_the_list() -> None:
    timeline = Timeline(0)
    found, received = registry(timeline)
    found.go_down(silently=False)
    found.publish_later(as_gone(found.entries["e1"]), "gone")
    timeline.run_until(3 * SECOND)
    assert received == ["broke"] and found.entries == {}
    found.come_up()
    assert found.since(1) == (False, [as_gone(Entry("e1", "a", "k", 0, t.EndpointStatus.READY, 0))])
