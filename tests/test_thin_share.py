"""One of many sidecars before few endpoints, whose capacity is less than one attempt."""

import pytest
import test_cold_fleet
from test_cold_fleet import FAULT, MS, POOL, SECOND, Fleet

RATE = 50  # requests a second of the one sidecar
SERVICE = 10 * MS
SPAN = 10 * SECOND
PROBING = POOL | dict(reports_asked=True, probes_allowed=True)


class NewSidecar(Fleet):
    """One of many sidecars, newly started before warm and idle endpoints."""

    def __init__(self, seed: int, sidecars: int, endpoints: int, **settings) -> None:
        capacity = endpoints * test_cold_fleet.CORES * SECOND / SERVICE
        super().__init__(seed, 1, RATE / capacity, endpoints=endpoints, service=SERVICE, **settings)
        self.deployments[0].instances = sidecars
        self.restart_sidecars()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("settings", [POOL, PROBING])
@pytest.mark.parametrize("sidecars, endpoints", [(12, 6), (120, 6), (300, 6), (300, 20)])
def test_one_process_of_many_that_starts_anew_soon_refuses_next_to_nothing(
    sidecars, endpoints, settings, seed, monkeypatch
):
    """Guards against a capacity below one attempt that grows too slowly: 70 to 81% of the requests were
    denied for ten seconds."""
    monkeypatch.setattr(test_cold_fleet, "END", SPAN)
    fleet = NewSidecar(seed, sidecars, endpoints, **settings)
    fleet.run()
    late = [at for at in fleet.denied if at > fleet.begin + SECOND]
    asked = [at for at in fleet.asked if at > fleet.begin + SECOND]
    assert len(asked) > 0.7 * RATE * (SPAN - SECOND) / SECOND
    assert len(late) < 0.02 * len(asked)


@pytest.mark.parametrize("sidecars, load", [(1, 0.7), (30, 0.7), (120, 1.3), (300, 0.7), (300, 1.3)])
def test_processes_that_all_start_anew_fill_no_cold_endpoint(sidecars, load):
    """Rule 4, where each sidecar sees an idle endpoint and may grow its cap."""
    fleet = Fleet(1, sidecars, load, **POOL)
    fleet.at(fleet.begin + FAULT, fleet.start, "e0")
    fleet.at(fleet.begin + FAULT + 1, fleet.restart_sidecars)
    fleet.run()
    assert fleet.fullest() < 1.0
