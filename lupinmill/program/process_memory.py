"""The memory limit of this process: divided once it has started, and followed from then on.

Owns the budgets from which connections and requests lease. Where no limit is told, they refuse nothing."""

from __future__ import annotations

from typing import Any

import anyio

from lupinmill.limits.memory import (
    CONNECTION_MEMORY,
    MIN_REQUESTS_MEMORY,
    GrowthEstimate,
    MemoryPlan,
    NotEnoughMemory,
    divide,
)
from lupinmill.program.process_settings import StartupError
from lupinmill.routing.engine import Log
from lupinmill.transport.buffers import NO_LIMIT, MemoryBudget
from lupinmill.transport.descriptors import DescriptorBudget
from lupinmill.transport.resident_memory import resident_bytes

DEFAULT_LARGE_BODY_MEMORY = 64 << 20  # bytes, if no limit is told
ASSUMED_BASE = 24 << 20  # bytes, if the kernel does not tell what is resident
CHECK_INTERVAL_S = 0.25
SHORT_CHECKS = 8  # checks without a refusal after which memory counts as no longer short
MIB = 1 << 20


class ProcessMemory:
    def __init__(self, limit: int | None, descriptors: DescriptorBudget, log: Log) -> None:
        self.limit, self.descriptors, self.log = limit, descriptors, log
        self.requests = MemoryBudget(NO_LIMIT)
        self.large_bodies = MemoryBudget(DEFAULT_LARGE_BODY_MEMORY, self.requests)
        self.plan: MemoryPlan | None = None
        self.growth: GrowthEstimate | None = None
        self.refused = 0  # requests refused for want of memory
        self.checks_since_refusal: int | None = None  # None: memory is not short

    def check_start(self) -> None:
        """Raises StartupError if the limit leaves no room for a handful of clients."""
        try:
            self.make_plan()
        except NotEnoughMemory as error:
            text = "leaves no room for clients beside the program itself"
            raise StartupError(
                f"limits.memory_mb: {self.limit / MIB:g} {text}; {error.needed / MIB:.1f} would do"
            ) from error

    def make_plan(self) -> MemoryPlan | None:
        if self.limit is None:
            return None
        base = resident_bytes() or ASSUMED_BASE
        return divide(self.limit, base, self.descriptors.client_limit)

    def divide(self) -> None:
        """Divides the limit. To be called when everything that stays is in memory, and before the first
        client."""
        try:
            plan = self.make_plan()
        except NotEnoughMemory as error:
            # It was enough when the start was checked: a list that came since has taken the room.
            self.log("memory_short", needed_mb=round(error.needed / MIB, 1))
            plan = divide(error.needed, resident_bytes() or ASSUMED_BASE, self.descriptors.client_limit)
        if plan is None:
            return
        self.plan, self.growth = plan, GrowthEstimate(plan.base)
        self.descriptors.client_limit = plan.clients
        self.requests.limit, self.large_bodies.limit = plan.requests, plan.large_bodies

    async def watch(self) -> None:
        """Makes the budget smaller while the process holds more than its leases explain."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        if self.plan is not None and self.growth is not None and (resident := resident_bytes()) is not None:
            leased = self.requests.peak + self.descriptors.peak_clients * CONNECTION_MEMORY
            growth = self.growth.observe(resident, leased)
            self.requests.limit = max(MIN_REQUESTS_MEMORY, self.plan.requests - growth)
        if self.checks_since_refusal is not None:
            self.checks_since_refusal += 1
            if self.checks_since_refusal > SHORT_CHECKS:
                self.checks_since_refusal = None
                self.log("memory_short_over", **self.figures())

    def count_refusal(self) -> None:
        """A request was refused for want of memory."""
        self.refused += 1
        if self.checks_since_refusal is None:
            self.log("memory_short", **self.figures())
        self.checks_since_refusal = 0

    def figures(self) -> dict[str, Any]:
        """In bytes, but for numbers of clients and requests."""
        resident = resident_bytes()
        found: dict[str, Any] = {
            "resident": resident,
            "leased": self.requests.leased,
            "peak_leased": self.requests.peak,
            "refused": self.refused,
        }
        if self.plan is not None and self.growth is not None:
            found |= {
                "limit": self.plan.limit,
                "base": self.plan.base,
                "budget": self.requests.limit,
                "unexplained": self.growth.unexplained,
                "clients": self.plan.clients,
            }
        return found
