"""Scenarios of a hollow fleet in virtual time: a zone lost and back, and a condensed ordinary day.

Both start from a settled fleet with all cores simulated: detecting a lost member takes probes of all members,
and a returning one starts anew, so a subset of the cores can't stand for the fleet here."""

from __future__ import annotations

from dataclasses import dataclass

from lupinmill.lab.scale.hollow import SimulatedFleet
from lupinmill.peers.view import SECOND

Figures = dict[str, tuple[float, float]]

QUIET_S = 5  # quiet seconds before the event
LOST_PART = 0.05  # part of the members: one zone of twenty
MAX_DETECTION_S = 120  # most seconds until all members know
# Of a fleet of `FLEET_SIZE` members.
# Failures and restarts are those of a fleet of `FLEET_SIZE` members.
FAILURES_PER_DAY, RESTARTS_PER_DAY, FLEET_SIZE, SECONDS_PER_DAY = 95, 1_200, 20_000, 86_400
RESTART_INTERVAL_S = 5  # seconds between two restarts in the condensed day
RESTART_DURATION_S = 3  # seconds that a restart takes
RESTART_COUNT = 12


@dataclass
class ZoneLoss:
    figures: Figures
    detected_s: float  # seconds until all remaining members regard the lost ones as gone; 0: not in time
    back_figures: Figures
    back_detected_s: float


def run_until_present(hollow: SimulatedFleet, present: int) -> float:
    """Seconds until each running core sees that many members, including itself; 0: not in time."""
    for at in range(1, MAX_DETECTION_S * 2 + 1):
        hollow.run(0.5)
        if all(core.peer.membership.present_count + 1 == present for core in hollow.simulated if core.up):
            return at / 2
    return 0.0


def zone_lost(members: int, seed: int) -> ZoneLoss:
    """5% of the members stop at the same moment, and start anew once all others know."""
    first = members // 2
    lost = set(range(first, first + max(1, int(LOST_PART * members))))
    hollow = SimulatedFleet(members, seed, 0, watched=20, absent=lost)
    hollow.settle()
    hollow.run(QUIET_S)
    hollow.stop_absent()
    detected_s = run_until_present(hollow, members - len(lost))
    # Runs on to a whole second, to include the updates about it.
    hollow.run((SECOND - hollow.now % SECOND) % SECOND / SECOND)
    ends = hollow.now // SECOND
    figures = hollow.figures(QUIET_S, max(QUIET_S + 1, ends))
    hollow.restart_absent()
    back_detected_s = run_until_present(hollow, members)
    hollow.run((SECOND - hollow.now % SECOND) % SECOND / SECOND)
    return ZoneLoss(
        figures, detected_s, hollow.figures(ends, max(ends + 1, hollow.now // SECOND)), back_detected_s
    )


@dataclass
class OrdinaryDay:
    quiet: Figures
    condensed: Figures
    rate: float  # restarts a second while condensed
    true_rate: float  # restarts and failures per second of that many members on an ordinary day

    def day(self) -> Figures:
        """Quiet cost plus that of events at their true rate; the peak is that of the condensed day."""
        found = {}
        for name, (mean, _) in self.quiet.items():
            more = max(0.0, self.condensed[name][0] - mean)
            found[name] = mean + more * self.true_rate / self.rate, self.condensed[name][1]
        return found


def ordinary_day(members: int, seed: int) -> OrdinaryDay:
    """Restarts one member after another at a fixed interval; a failure differs only by a longer absence."""
    hollow = SimulatedFleet(members, seed, 0, watched=min(20, members // 2))
    hollow.settle()
    hollow.run(QUIET_S + 10)
    began = hollow.now // SECOND
    for at in range(RESTART_COUNT):
        core = hollow.random_source.choice([core for core in hollow.simulated if not core.watched])
        hollow.stop(core)
        hollow.run(RESTART_DURATION_S)
        hollow.restart(core, members + at + 1)
        hollow.run(RESTART_INTERVAL_S - RESTART_DURATION_S)
    rate = (FAILURES_PER_DAY + RESTARTS_PER_DAY) / SECONDS_PER_DAY * members / FLEET_SIZE
    return OrdinaryDay(
        hollow.figures(1, began), hollow.figures(began, hollow.now // SECOND), 1 / RESTART_INTERVAL_S, rate
    )
