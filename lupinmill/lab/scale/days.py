"""Days of a hollow fleet in virtual time: a zone lost and back, the ordinary day condensed.

Both begin from a settled fleet all of whose cores are played: a lost member is found by as many probes as
there are members, and one that comes back is a fresh one, so a few can't stand for all here."""

from __future__ import annotations

from dataclasses import dataclass

from lupinmill.lab.scale.hollow import SimulatedFleet
from lupinmill.peers.view import SECOND

Figures = dict[str, tuple[float, float]]

BEFORE = 5  # seconds of quiet first
LOST = 0.05  # of the members: one zone of twenty
KNOWN = 120  # seconds for all to know, at most
FAILURES, RESTARTS, FLEET, DAY = 95, 1_200, 20_000, 86_400
EVERY = 5  # seconds between two restarts of the condensed day
AWAY = 3  # seconds that a restart takes
EVENTS = 12


@dataclass
class Lost:
    figures: Figures
    known: float  # seconds until all that are left hold all lost ones for gone; 0: not within `KNOWN`
    back: Figures
    back_known: float


def until(hollow: SimulatedFleet, present: int) -> float:
    """Seconds until each played core that is up sees so many, itself among them; 0: not in time."""
    for at in range(1, KNOWN * 2 + 1):
        hollow.run(0.5)
        if all(core.peer.membership.present_count + 1 == present for core in hollow.simulated if core.up):
            return at / 2
    return 0.0


def zone_lost(members: int, seed: int) -> Lost:
    """5% of the members stop at one moment, and start anew once all know."""
    first = members // 2
    lost = set(range(first, first + max(1, int(LOST * members))))
    hollow = SimulatedFleet(members, seed, 0, watched=20, absent=lost)
    hollow.settle()
    hollow.run(BEFORE)
    hollow.stop_absent()
    known = until(hollow, members - len(lost))
    # Through the news of it, up to a whole second.
    hollow.run((SECOND - hollow.now % SECOND) % SECOND / SECOND)
    ends = hollow.now // SECOND
    figures = hollow.figures(BEFORE, max(BEFORE + 1, ends))
    hollow.restart_absent()
    back_known = until(hollow, members)
    hollow.run((SECOND - hollow.now % SECOND) % SECOND / SECOND)
    return Lost(figures, known, hollow.figures(ends, max(ends + 1, hollow.now // SECOND)), back_known)


@dataclass
class Ordinary:
    quiet: Figures
    condensed: Figures
    rate: float  # restarts a second while condensed
    true_rate: float  # restarts and failures a second of so many members on an ordinary day

    def day(self) -> Figures:
        """Quiet, and what events cost beyond it at their true rate; the dearest second as condensed."""
        found = {}
        for name, (mean, _) in self.quiet.items():
            more = max(0.0, self.condensed[name][0] - mean)
            found[name] = mean + more * self.true_rate / self.rate, self.condensed[name][1]
        return found


def ordinary(members: int, seed: int) -> Ordinary:
    """One after another is restarted, `EVERY` seconds apart; a failure differs by a longer absence only."""
    hollow = SimulatedFleet(members, seed, 0, watched=min(20, members // 2))
    hollow.settle()
    hollow.run(BEFORE + 10)
    began = hollow.now // SECOND
    for at in range(EVENTS):
        core = hollow.random_source.choice([core for core in hollow.simulated if not core.watched])
        hollow.stop(core)
        hollow.run(AWAY)
        hollow.restart(core, members + at + 1)
        hollow.run(EVERY - AWAY)
    rate = (FAILURES + RESTARTS) / DAY * members / FLEET
    return Ordinary(hollow.figures(1, began), hollow.figures(began, hollow.now // SECOND), 1 / EVERY, rate)
