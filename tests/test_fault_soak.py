"""A short soak: real processes under slow discovery and series of signals, with clients that keep their
connections until the kill. For longer runs: `lupinmill lab faults --soak --seeds 50`."""

from __future__ import annotations

import asyncio

import pytest

from lupinmill.lab.faults import reports
from lupinmill.lab.faults.run import CROWD_EVERY, Campaign, Verdict

SECONDS, PROCESSES = 40.0, 5
# The last one moves discovery again and again while it is crowded.
SEEDS = {"plain": 1, "crowd": 2 * CROWD_EVERY, "moved while crowded": 7422}


@pytest.fixture(scope="module")
def verdicts(tmp_path_factory) -> dict[str, Verdict]:
    async def play_all() -> dict[str, Verdict]:
        campaigns = {
            name: Campaign(seed, PROCESSES, SECONDS, tmp_path_factory.mktemp("soak"), soak=True)
            for name, seed in SEEDS.items()
        }
        found = await asyncio.gather(*(campaign.run() for campaign in campaigns.values()))
        return dict(zip(campaigns, found))

    return asyncio.run(play_all())


@pytest.mark.parametrize("name", list(SEEDS))
def test_the_program_stands_in_a_soak(verdicts, name):
    verdict = verdicts[name]
    assert not verdict.violations, reports.verdict_text(verdict)
    assert verdict.figures["served"] > 100 and verdict.figures["lives"] > PROCESSES, verdict.figures


def test_crowds_and_signals_in_series_were_among_it(verdicts):
    plans = "\n".join(line for verdict in verdicts.values() for line in verdict.schedule)
    for what in ("crowd for", "moved again and again", "KILL at the earliest", "HUP TERM HUP TERM"):
        assert what in plans
