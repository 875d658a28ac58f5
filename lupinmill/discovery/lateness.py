"""Estimates how late discovery answers, from its past answers."""

from __future__ import annotations

# Smoothing factors as in the round-trip time estimate of TCP (RFC 6298).
MEAN_GAIN, DEVIATION_GAIN, DEVIATION_FACTOR = 1 / 8, 1 / 4, 4.0
RECOVERY_RATIO = (
    0.5  # a sample below this fraction of the mean means that the service recovered: restart the estimate
)
MAX_EXPECTED_S = 10.0


class LatenessEstimator:
    """Running estimate of the seconds between an answer's due time and its arrival."""

    def __init__(self) -> None:
        self.mean, self.deviation = 0.0, 0.0
        self.has_sample = False

    def add_sample(self, late: float) -> None:
        """Adds an answer that arrived `late` seconds after it was due."""
        if not self.has_sample or late < RECOVERY_RATIO * self.mean:
            self.mean, self.deviation = late, late / 2
            self.has_sample = True
            return
        self.deviation += DEVIATION_GAIN * (abs(late - self.mean) - self.deviation)
        self.mean += MEAN_GAIN * (late - self.mean)

    def add_upper_bound(self, late: float) -> None:
        """Adds an answer that was at most `late` seconds late; only the bound is known."""
        if self.has_sample and late < self.mean:
            self.add_sample(late)

    @property
    def expected(self) -> float:
        """Lateness, in seconds, that nearly all answers stay below."""
        return min(MAX_EXPECTED_S, self.mean + DEVIATION_FACTOR * self.deviation)
