"""An endpoint that operators have taken out gets nothing until they put it back, whatever clock is set
meanwhile, and over upgrades. Real processes, whose wall clock a shim steps."""

from __future__ import annotations

import time
from pathlib import Path

import anyio
import pytest
from clock_step_bed import HOUR_S, Play, run_plays

GRACE_S = 1.0  # from the yes on; the rule on drains
EXPIRY_CHECKS_S = 1.5  # in which a process has checked once which cordons have expired

# Name: step in seconds, when it comes, number of upgrades.
PLAYS = {
    "no step": (0.0, "before", 1),
    "an hour forward": (HOUR_S, "before", 1),
    "two hours forward": (2 * HOUR_S, "before", 1),
    "an hour forward while the next process starts": (HOUR_S, "during", 1),
    "an hour forward after the upgrade": (HOUR_S, "after", 1),
    "an hour back": (-HOUR_S, "before", 1),
    "an hour back, then two upgrades": (-HOUR_S, "before", 2),
    "an hour forward at each of two upgrades": (HOUR_S, "during", 2),
}


async def play_cordon(folder: Path, step_s: float, when: str, upgrades: int) -> Play:
    """e0 is taken out, leaves the list, and comes back to it after the upgrades. The result has its
    requests from the end of the grace on as `late`."""
    play = Play(folder)
    async with play.running():
        await play.processes.start()
        assert await play.processes.call(0, "PUT", "/admin/cordon?member=e0") == 200
        out_since = time.monotonic()
        play.change(0, status="DELETED")
        if when == "before":
            play.clock.step(step_s)
        for _ in range(upgrades):
            await play.upgrade(step_s if when == "during" else 0.0)
        if when == "after":
            play.clock.step(step_s)
        await anyio.sleep(EXPIRY_CHECKS_S)
        play.start_now(0)
        await anyio.sleep(1.5)
        play.late = play.sent_since(out_since + GRACE_S)
        last = len(play.processes.all) - 1
        assert await play.processes.call(last, "PUT", "/admin/uncordon?member=e0") == 200
        back_since = time.monotonic()
        await anyio.sleep(1.5)
        play.back = play.sent_since(back_since)
    return play


@pytest.fixture(scope="module")
def plays(tmp_path_factory) -> dict[str, Play]:
    def coroutine_of(values):
        return lambda: play_cordon(tmp_path_factory.mktemp("play"), *values)

    return dict(zip(PLAYS, run_plays(*(coroutine_of(values) for values in PLAYS.values()))))


@pytest.mark.parametrize("name", list(PLAYS))
def test_a_cordon_is_not_lost_in_an_upgrade_after_the_clock_was_set(plays, name):
    play = plays[name]
    assert play.late[1] and play.late[2], play.late
    assert not play.late[0], (play.late, play.log(1)[-2000:])


@pytest.mark.parametrize("name", list(PLAYS))
def test_an_endpoint_that_is_put_back_after_a_step_serves_again(plays, name):
    assert plays[name].back[0], plays[name].back
