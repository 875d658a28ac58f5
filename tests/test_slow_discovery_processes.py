"""Real processes with a slow discovery: each must know of a drain in time. The drains happen while discovery
is slow, and the referee of the fault campaign judges the requests that the endpoints then receive."""

from __future__ import annotations

import asyncio

import pytest

from lupinmill.lab.faults import discovery, schedule
from lupinmill.lab.faults.records import Fault
from lupinmill.lab.faults.run import Campaign

SEED, PROCESSES, SECONDS = 41, 3, 16.0
SLOW_SINCE = 2.0  # seconds after the start of the campaign
DRAINS = (4.0, 5.3)  # seconds, one endpoint each; must be known 6 s later, plus a tolerance of 1.6 s
LIFE = schedule.ProcessPlan(schedule.SERVE, 60.0, "TERM", "own", "read", True)
RELOADS = [schedule.Event(3.0 + 0.7 * at, "move discovery") for at in range(6)]
RELOADED = schedule.ProcessPlan(schedule.SERVE, 60.0, "TERM", "own", "read", True, events=RELOADS)
CASES = {
    **{mode: (mode, LIFE) for mode in (*discovery.SLOW_MODES, discovery.MIXED)},
    "late, moved by SIGHUP": (discovery.LATE, RELOADED),
}


@pytest.fixture(scope="module")
def verdicts(tmp_path_factory):
    """Runs all cases at once: they share no address, and wait for most of the time."""
    drains = [schedule.ListEvent(at, number, "drain") for number, at in enumerate(DRAINS)]

    async def play_all():
        campaigns = {
            name: Campaign(
                SEED + at,
                PROCESSES,
                SECONDS,
                tmp_path_factory.mktemp("slow"),
                plans=[life],
                fault_share=0.0,
                modes=[(0.0, discovery.UP), (SLOW_SINCE, mode)],
                list_events=drains,
            )
            for at, (name, (mode, life)) in enumerate(CASES.items())
        }
        found = await asyncio.gather(*(one.run() for one in campaigns.values()))
        return dict(zip(campaigns, found))

    return asyncio.run(play_all())


@pytest.mark.parametrize("case", list(CASES))
def test_nothing_is_sent_to_a_draining_server_while_discovery_is_slow(verdicts, case):
    """Guards against cancelling watches 0.6 s after they were due and repeating them for ever."""
    verdict = verdicts[case]
    assert not [one for one in verdict.violations if one.fault is Fault.TOO_LATE], verdict.text()
    assert verdict.figures["served"] > 100, verdict.figures


def test_the_cases_are_heard_of_by_requests_after_the_moment_that_is_judged(verdicts):
    """Requests exist after the judged moment; without them no case could fail."""
    for case, verdict in verdicts.items():
        drained = {change.endpoint for change in verdict.records.status_changes["c0"]}
        known_at = max(change.at for change in verdict.records.status_changes["c0"]) + 6.0
        assert len(drained) == len(DRAINS), case
        assert any(
            sent.written_at and sent.written_at > known_at + 1.7 for sent in verdict.records.requests.values()
        ), case
