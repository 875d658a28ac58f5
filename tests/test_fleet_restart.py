"""A whole fleet restarts at once with the endpoint list that it had, in virtual time: when each sidecar hears
of the current list, and what its calls cost discovery, which handles them one after another."""

import pytest

from lupinmill import terms as t
from lupinmill.lab.scenario import check, find, merge_tables, read_tables
from lupinmill.lab.timeline import SECOND
from lupinmill.lab.virtual.run import VirtualRun

RESTART_S = 15.0  # of the run
DOWN_S = 1.0
CALL_SPACING_S = 0.04  # on average between the first calls of a fleet
MAX_SPREAD_S = 4.0  # of the first calls, however large the fleet


def scenario(sidecars: int, calls_per_s: float):
    restart = {"kind": "sidecar_roll", "at_s": RESTART_S, "lasts_s": 0.05, "part": 1.0, "size": 1.0}
    changes = {
        "seconds": 30.0,
        "sidecars": {"count": sidecars},
        "discovery": {"how": "ask", "calls_per_s": calls_per_s},
        "load": {"rate": 20.0},
        "trouble": [restart | {"extra": DOWN_S}],
    }
    return check(merge_tables(read_tables(find("restart-storm")), changes), "restart")


class FirstLists:
    """Traces a run: for each restarted sidecar the time until its first list from discovery, and failed
    calls."""

    def __init__(self, sidecars: int, calls_per_s: float, seed: int) -> None:
        self.started: dict[str, int] = {}
        self.heard: dict[str, float] = {}  # seconds
        self.failed_calls = 0
        self.run = VirtualRun(scenario(sidecars, calls_per_s), seed, trace=self.step)
        self.run.play()

    def step(self, _: int, sidecar, events: list[t.Event], __: list[t.Command]) -> None:
        now = self.run.timeline.now
        for event in events:
            if not isinstance(event, t.ListReceived):
                continue
            if event.kind is t.ListKind.CACHED:
                self.started[sidecar.name] = now
                self.heard.pop(sidecar.name, None)
            elif event.kind is t.ListKind.FAILED:
                self.failed_calls += 1
            else:
                self.heard.setdefault(sidecar.name, (now - self.started[sidecar.name]) / SECOND)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("sidecars", [1, 8, 30, 300])
def test_the_smaller_the_fleet_the_sooner_a_restarted_sidecar_leaves_its_old_list(sidecars, seed):
    """Guards against requests to endpoints that drain for up to 4 s after a restart, and against a fleet
    whose calls discovery refuses."""
    calls_per_s = 50.0
    found = FirstLists(sidecars, calls_per_s, seed)
    assert len(found.heard) == sidecars and found.failed_calls == 0
    spread = min(MAX_SPREAD_S, sidecars * CALL_SPACING_S)
    assert max(found.heard.values()) <= spread + sidecars / calls_per_s + 0.1
