"""The next process of an upgrade imports what the previous one learned of cold endpoints."""

import pytest
from bed import SECOND, deployment, listing

from lupinmill import terms as t
from lupinmill.rules import Sidecar
from lupinmill.state import learned

NOW = 100 * SECOND
STARTED = NOW - SECOND


def sidecar(started: int = 0, **more) -> Sidecar:
    made = Sidecar(deployment(**more))
    made.step(NOW, [t.ListReceived(t.ListKind.CACHED, [listing(0, started=started), listing(1)])])
    return made


@pytest.mark.parametrize("before, after", [(0, STARTED), (STARTED, 0), (STARTED, STARTED), (0, 0)])
def test_a_start_that_either_process_knows_of_stays_known(before, after):
    """Guards against the older process's None overwriting a start that the list has just reported."""
    old, new = sidecar(before), sidecar(after)
    learned.recall(new, learned.learned(old), NOW)
    assert new.dispatcher.endpoints["e0"].cold_since == (STARTED if before or after else None)
    assert new.dispatcher.endpoints["e1"].cold_since is None


def test_what_a_warm_endpoint_handles_is_handed_over():
    old, new = sidecar(), sidecar()
    old.dispatcher.warm_rate = 7.5
    learned.recall(new, learned.learned(old), NOW)
    assert new.dispatcher.warm_rate == 7.5


@pytest.mark.parametrize("live, size", [(False, 4.0), (True, 1.0)])
def test_a_weight_that_falls_with_load_is_taken_for_no_size(live, size):
    """An idle cold endpoint has a greater weight than warm ones under load: taken for its size, the weight
    would multiply its share of the traffic."""
    made = Sidecar(deployment(weights_live=live))
    made.step(
        NOW,
        [
            t.ListReceived(
                t.ListKind.CACHED, [t.ListEntry("e0", t.EndpointStatus.READY, "z", "k", "0", 0, 4.0)]
            )
        ],
    )
    assert made.dispatcher.endpoint_states["e0"].size == size and made.dispatcher.size_sum == size
