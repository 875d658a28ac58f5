"""How late discovery answers, learned from its answers."""

from __future__ import annotations

# As in TCP's estimate of the round-trip time (RFC 6298).
MEAN_GAIN, DEVIATION_GAIN, DEVIATION_FACTOR = 1 / 8, 1 / 4, 4.0
RECOVERY_RATIO = (
    0.5  # part of the mean below which an answer counts as a recovery and begins the estimate anew
)
MAX_EXPECTED_S = 10.0  # seconds


class LatenessEstimator:
    """A running estimate of the seconds by which answers come after they are due."""

    def __init__(self) -> None:
        self.mean, self.deviation = 0.0, 0.0
        self.has_sample = False

    def add_sample(self, late: float) -> None:
        """One answer that came `late` seconds after it was due."""
        if not self.has_sample or late < RECOVERY_RATIO * self.mean:
            self.mean, self.deviation = late, late / 2
            self.has_sample = True
            return
        self.deviation += DEVIATION_GAIN * (abs(late - self.mean) - self.deviation)
        self.mean += MEAN_GAIN * (late - self.mean)

    def add_upper_bound(self, late: float) -> None:
        """One answer of which only a bound on its lateness is known."""
        if self.has_sample and late < self.mean:
            self.add_sample(late)

    @property
    def expected(self) -> float:
        """Seconds within which nearly all answers come."""
        return min(MAX_EXPECTED_S, self.mean + DEVIATION_FACTOR * self.deviation)
