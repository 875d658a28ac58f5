"""Logs what would otherwise look like a fault elsewhere: an event loop that lags, and clocks that are set."""

from __future__ import annotations

import anyio

from lupinmill.routing.engine import Log
from lupinmill.transport import wall_clock
from lupinmill.transport.wall_clock import MIN_STEP_US

CHECK_INTERVAL_S = 0.25
LAG_HIGH_S, LAG_LOW_S = 0.05, 0.01  # above which the loop lags, and below which it does no more


class LoopMonitor:
    """Watches the event loop and the clocks of this process."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.lagging = False

    async def measure_lag(self) -> None:
        """Runs for the lifetime of the program."""
        while True:
            due = anyio.current_time() + CHECK_INTERVAL_S
            await anyio.sleep(CHECK_INTERVAL_S)
            self.log_lag(anyio.current_time() - due)
            self.log_clock_steps()

    def log_lag(self, late_s: float) -> None:
        """A lagging loop looks like slow endpoints."""
        if late_s > LAG_HIGH_S if not self.lagging else late_s < LAG_LOW_S:
            self.lagging = not self.lagging
            self.log("lagging" if self.lagging else "lag_over", late_ms=round(late_s * 1000, 1))

    def log_clock_steps(self) -> None:
        """`kernel_by_ms`: of the clock of the kernel's timestamps, which a step of this process's clock alone
        leaves as it was."""
        if steps := wall_clock.SHARED.take_steps():
            self.log("clock_set", by_ms=round(steps.process / 1000), kernel_by_ms=round(steps.kernel / 1000))

    def log_clock_difference(self) -> None:
        """At the start: this process's clock is not the one that the kernel stamps by."""
        difference = wall_clock.SHARED.difference
        if abs(difference) >= MIN_STEP_US:
            self.log("clock_differs", from_kernel_ms=round(difference / 1000))
