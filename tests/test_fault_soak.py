"""A short soak: real processes under slow discovery and series of signals, with clients that keep their
connections until the kill; in some of it operators call, clocks are set, or processes start with old lists.

For longer runs: `lupinmill lab faults --soak --operators --clock-steps --slow-answers --seeds 50`, and
`lupinmill lab faults --old-lists --seeds 50`."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

import pytest

from lupinmill.lab.faults import reports
from lupinmill.lab.faults.run import CROWD_EVERY, Campaign, Verdict

SECONDS, PROCESSES = 40.0, 5


@dataclass(frozen=True)
class Soak:
    seed: int
    operators: bool = False
    clock_steps: bool = False
    slow_answers: bool = False
    old_lists: bool = False

    def campaign(self, folder: Path) -> Campaign:
        return Campaign(
            self.seed,
            PROCESSES,
            SECONDS,
            folder,
            soak=not self.old_lists,
            operators=self.operators,
            clock_steps=self.clock_steps,
            slow_answers=self.slow_answers,
            old_lists=self.old_lists,
        )


SOAKS = {
    "plain": Soak(1),
    "crowd": Soak(2 * CROWD_EVERY),
    "moved while crowded": Soak(7422),
    "out by hand, clocks set": Soak(7604, operators=True, clock_steps=True),
    "old lists": Soak(8805, old_lists=True),
}
WITH_CALLS = "out by hand, clocks set"


@pytest.fixture(scope="module")
def verdicts(tmp_path_factory) -> dict[str, Verdict]:
    async def play_all() -> dict[str, Verdict]:
        campaigns = {name: soak.campaign(tmp_path_factory.mktemp("soak")) for name, soak in SOAKS.items()}
        found = await asyncio.gather(*(campaign.run() for campaign in campaigns.values()))
        return dict(zip(campaigns, found))

    return asyncio.run(play_all())


@pytest.mark.parametrize("name", list(SOAKS))
def test_the_program_stands_in_a_soak(verdicts, name):
    verdict = verdicts[name]
    assert not verdict.violations, reports.verdict_text(verdict)
    assert verdict.figures["served"] > 100 and verdict.figures["lives"] > PROCESSES, verdict.figures


SLOW_ANSWERS = {
    "plain": Soak(9303, slow_answers=True),
    "clocks set": Soak(8714, operators=True, clock_steps=True, slow_answers=True),
    "moved while silent, then late": Soak(8731, operators=True, clock_steps=True, slow_answers=True),
}


@pytest.mark.parametrize("name", list(SLOW_ANSWERS))
def test_the_program_stands_where_long_answers_are_given_slowly(name, tmp_path):
    """On its own: its clients and endpoints have to be in time."""
    verdict = asyncio.run(SLOW_ANSWERS[name].campaign(tmp_path).run())
    assert not verdict.violations, reports.verdict_text(verdict)
    assert verdict.figures["of them whole"] > 50, verdict.figures


def test_crowds_and_signals_in_series_were_among_it(verdicts):
    plans = "\n".join(line for verdict in verdicts.values() for line in verdict.schedule)
    for what in ("crowd for", "moved again and again", "KILL at the earliest", "HUP TERM HUP TERM"):
        assert what in plans
    assert sum(verdict.figures["kills due at the earliest"] for verdict in verdicts.values()) > 3


def test_upgrades_and_steps_came_while_endpoints_were_out(verdicts):
    records = verdicts[WITH_CALLS].records
    assert verdicts[WITH_CALLS].figures["drains by hand"] > 0

    def during(sidecar: str, at: float) -> bool:
        return any(span.sidecar == sidecar and span.since < at < span.until for span in records.out_spans)

    assert any(during(process.sidecar, process.started_at) for process in records.processes)
    assert any(during(sidecar, at) for at, sidecar, _ in records.process_clock_steps)
