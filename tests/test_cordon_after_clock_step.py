"""An endpoint that operators have taken out gets nothing until they put it back, whatever clock is set
meanwhile, and over upgrades. Real processes, whose wall clock a shim steps."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import anyio
import pytest
from clock_step_bed import HOUR_S, Play, run_plays
from process_bed import wait_until_healthy

from lupinmill.lab.earlier import worktree

GRACE_S = 1.0  # from the yes on; the rule on drains
EXPIRY_CHECKS_S = 1.5  # in which a process has checked once which cordons have expired

BEFORE_INCIDENT = "cd47fbe"  # hands over times of its own clock, and doesn't tell it
TODAY = ""


@dataclass(frozen=True)
class Steps:
    """A step in seconds, when it comes, and the versions of the processes, each of which takes over from the
    one before."""

    seconds: float
    when: str = "before"  # the upgrades; or while each next process starts, or after them
    versions: tuple[str, ...] = (TODAY, TODAY)


PLAYS = {
    "no step": Steps(0.0),
    "an hour forward": Steps(HOUR_S),
    "two hours forward": Steps(2 * HOUR_S),
    "an hour forward while the next process starts": Steps(HOUR_S, "during"),
    "an hour forward after the upgrade": Steps(HOUR_S, "after"),
    "an hour back": Steps(-HOUR_S),
    "an hour back, then two upgrades": Steps(-HOUR_S, versions=(TODAY, TODAY, TODAY)),
    "an hour forward at each of two upgrades": Steps(HOUR_S, "during", (TODAY, TODAY, TODAY)),
}
WITH_OLDER = {
    "from an older version, no step": Steps(0.0, versions=(BEFORE_INCIDENT, TODAY)),
    "from an older version, an hour forward": Steps(HOUR_S, versions=(BEFORE_INCIDENT, TODAY)),
    "from an older version, an hour forward meanwhile": Steps(
        HOUR_S, "during", versions=(BEFORE_INCIDENT, TODAY)
    ),
    "from an older version, an hour back": Steps(-HOUR_S, versions=(BEFORE_INCIDENT, TODAY)),
    "to an older version, no step": Steps(0.0, versions=(TODAY, BEFORE_INCIDENT)),
    "to an older version, an hour forward": Steps(HOUR_S, versions=(TODAY, BEFORE_INCIDENT)),
    "to an older version, an hour back": Steps(-HOUR_S, versions=(TODAY, BEFORE_INCIDENT)),
    "to an older version and back, an hour forward": Steps(HOUR_S, versions=(TODAY, BEFORE_INCIDENT, TODAY)),
}


async def play_cordon(folder: Path, steps: Steps, older: str) -> Play:
    """e0 is taken out, leaves the list, and comes back to it after the upgrades. The result has its
    requests from the end of the grace on as `late`. `older`: the tree of the older version."""
    play = Play(folder)
    async with play.running():
        await play.start_version(older if steps.versions[0] else None)
        assert await play.processes.call(0, "PUT", "/admin/cordon?member=e0") == 200
        out_since = time.monotonic()
        play.change(0, status="DELETED")
        if steps.when == "before":
            play.clock.step(steps.seconds)
        for version in steps.versions[1:]:
            play.processes.tree = older if version else None
            await play.upgrade(steps.seconds if steps.when == "during" else 0.0)
        if steps.when == "after":
            play.clock.step(steps.seconds)
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
def plays(tmp_path_factory) -> Iterator[dict[str, Play]]:
    with worktree(BEFORE_INCIDENT) as older:

        def coroutine_of(steps: Steps):
            return lambda: play_cordon(tmp_path_factory.mktemp("play"), steps, older)

        found: dict[str, Play] = {}
        for group in (PLAYS, WITH_OLDER):  # so many processes at a time
            found |= zip(group, run_plays(*(coroutine_of(steps) for steps in group.values())))
        yield found


@pytest.mark.parametrize("name", list(PLAYS))
def test_a_cordon_is_not_lost_in_an_upgrade_after_the_clock_was_set(plays, name):
    check_nothing_late(plays[name])


@pytest.mark.parametrize("name", list(WITH_OLDER))
def test_a_cordon_is_not_lost_between_an_older_version_and_this_one(plays, name):
    check_nothing_late(plays[name])


def check_nothing_late(play: Play) -> None:
    assert play.late[1] and play.late[2], play.late
    assert not play.late[0], (play.late, play.log(1)[-2000:])


@pytest.mark.parametrize("name", list(PLAYS | WITH_OLDER))
def test_an_endpoint_that_is_put_back_after_a_step_serves_again(plays, name):
    assert plays[name].back[0], plays[name].back


HELD_UP_S = 2.5  # of the 6 s in which a new process has to take clients


async def play_held_up(folder: Path, after_s: float) -> Play:
    """The process before is held up just as the next one asks for its state."""
    play = Play(folder)
    async with play.running():
        await play.processes.start()
        assert await play.processes.call(0, "PUT", "/admin/cordon?member=e0") == 200
        out_since, old = time.monotonic(), play.processes.all[0]
        operator = play.processes.begin()
        await anyio.sleep(after_s)
        old.send_signal(signal.SIGSTOP)
        await anyio.sleep(HELD_UP_S)
        old.send_signal(signal.SIGCONT)
        await wait_until_healthy(operator)
        await play.processes.end(0)
        await anyio.sleep(1.0)
        play.late = play.sent_since(out_since + GRACE_S)
    return play


def test_a_cordon_is_not_lost_in_an_upgrade_from_a_process_that_is_held_up(tmp_path):
    """Guards against a next process that starts without the state after 1.5 s, and so without the cordons."""
    moments = (0.02, 0.1, 0.2)
    plays = run_plays(
        *(lambda moment=moment: play_held_up(tmp_path / f"{moment}", moment) for moment in moments)
    )
    for play in plays:
        check_nothing_late(play)
